#include "stat.h"
#include "unit.h"

static int
contains (const struct rw_buf *buf, const char *text)
{
  return memmem (buf->ptr, buf->len, text, strlen (text)) != NULL;
}

/* Guards against output that a Prometheus server cannot parse.  */
TEST (output_is_prometheus_text)
{
  struct sta_set set;
  struct rw_buf out;
  struct sta_series *hist;

  sta_init (&set);
  rw_buf_init (&out);
  sta_add (sta_counter (&set, "c_total", "A counter.", RW_LIT ("")), 3);
  sta_set_value (sta_gauge (&set, "g", "A gauge.", RW_LIT ("a=\"b\"")), 0.5);
  hist = sta_histogram (&set, "h_seconds", "A latency.", RW_LIT ("x=\"1\""));
  sta_observe (hist, 64);
  sta_observe (hist, 65);
  sta_observe (hist, 60 * RW_SEC);
  sta_write (&set, &out);
  assert_true (contains (&out, "# HELP c_total A counter.\n"
                               "# TYPE c_total counter\nc_total 3\n"));
  assert_true (contains (&out, "# TYPE g gauge\ng{a=\"b\"} 0.5\n"));
  assert_true (contains (&out,
                         "h_seconds_bucket{x=\"1\",le=\"0.000064\"} 1\n"
                         "h_seconds_bucket{x=\"1\",le=\"0.000128\"} 2\n"));
  assert_true (contains (&out, "le=\"8.388608\"} 2\n"));
  assert_true (contains (&out, "le=\"+Inf\"} 3\n"));
  assert_true (contains (&out, "h_seconds_sum{x=\"1\"} 60.000129\n"
                               "h_seconds_count{x=\"1\"} 3\n"));
  rw_buf_finish (&out);
  sta_finish (&set);
}

/* Guards against a second series of the same name and labels.  */
TEST (the_same_labels_give_the_same_series)
{
  struct sta_set set;
  struct sta_series *a;

  sta_init (&set);
  a = sta_counter (&set, "c_total", "help", RW_LIT ("x=\"1\""));
  assert_ptr_equal (a, sta_counter (&set, "c_total", "h", RW_LIT ("x=\"1\"")));
  assert_ptr_not_equal (
      a, sta_counter (&set, "c_total", "h", RW_LIT ("x=\"2\"")));
  sta_finish (&set);
}

/* Guards against memory that grows without bound with the label values that
   callers send.  */
TEST (the_number_of_series_is_bounded)
{
  struct sta_set set;
  char label[32];
  size_t used;

  sta_init (&set);
  for (int i = 0; i < STA_MAX_SERIES + 1; i++)
    {
      snprintf (label, sizeof label, "x=\"%d\"", i);
      sta_inc (sta_counter (&set, "c_total", "h", rw_str_from (label)));
    }
  used = set.arena.used;
  for (int i = 0; i < 1000; i++)
    {
      snprintf (label, sizeof label, "y=\"%d\"", i);
      sta_inc (sta_counter (&set, "c_total", "h", rw_str_from (label)));
    }
  assert_int_equal (set.arena.used, used);
  assert_int_equal (sta_counter (&set, "c_total", "h", RW_LIT ("z"))->u.count,
                    1001);
  sta_finish (&set);
}

/* Guards against label values that close the quotes or overflow the buffer. */
TEST (label_values_are_escaped_and_cut)
{
  char buf[12];

  assert_true (rw_str_eq_cstr (
      sta_label (buf, sizeof buf, "a", RW_LIT ("x\"\n")), "a=\"x\\\"\\n\""));
  for (size_t size = 6; size <= sizeof buf; size++)
    {
      struct rw_str s
          = sta_label (buf, size, "a", RW_LIT ("\\\\\\\\\\\\\\\\"));

      assert_true (s.len < size);
      assert_int_equal (s.ptr[s.len - 1], '"');
      assert_int_equal (s.len % 2, 0);
    }
}
