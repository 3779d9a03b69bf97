#include "trace.h"

#include <jansson.h>
#include "unit.h"

#define HEADER "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01"

/* Guards against a trace id, span id or flag that changes between parsing and
   formatting, and against a header for a request without trace.  */
TEST (a_header_survives_a_round_trip)
{
  struct trc_context ctx;
  char buf[TRC_HEADER_SIZE];

  assert_int_equal (trc_parse (RW_LIT (HEADER), &ctx), 0);
  assert_true (ctx.sampled);
  assert_int_equal (ctx.span, 0xb7ad6b7169203331);
  assert_true (rw_str_eq_cstr (trc_format (&ctx, buf), HEADER));
  memset (&ctx, 0, sizeof ctx);
  assert_int_equal (trc_format (&ctx, buf).len, 0);
}

/* Guards against accepting, and so forwarding, invalid headers.  */
TEST (invalid_headers_are_refused)
{
  static const char *const bad[]
      = { "",
          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-0",
          "00-0AF7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-00000000000000000000000000000000-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-0000000000000000-01",
          "ff-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01",
          "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01-x",
          "01-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01x",
          "00+0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01" };
  struct trc_context ctx;

  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    {
      assert_int_equal (trc_parse (rw_str_from (bad[i]), &ctx), RW_E_PARSE);
      assert_false (trc_valid (&ctx));
    }
  assert_int_equal (trc_parse (RW_LIT ("01-0af7651916cd43dd8448eb211c80319c-"
                                       "b7ad6b7169203331-00-more"),
                               &ctx),
                    0);
  assert_false (ctx.sampled);
}

/* Guards against sampling that ignores the configured probability.  */
TEST (sampling_matches_the_probability)
{
  struct rw_rng rng;
  struct trc_context ctx;
  int sampled = 0;

  rw_rng_init (&rng, 1);
  for (int i = 0; i < 10000; i++)
    {
      trc_start_trace (&ctx, 0.1, &rng);
      sampled += ctx.sampled ? 1 : 0;
    }
  assert_in_range (sampled, 900, 1100);
  trc_start_trace (&ctx, 0, &rng);
  assert_false (ctx.sampled);
  trc_start_trace (&ctx, 1, &rng);
  assert_true (ctx.sampled);
}

/* Guards against output that is not valid JSON, wrong timestamps, and a root
   span that is written with a parent.  */
TEST (spans_are_json_lines)
{
  struct rw_rng rng;
  struct trc_context root;
  struct trc_span span;
  struct rw_buf out;
  json_t *line;

  rw_rng_init (&rng, 1);
  rw_buf_init (&out);
  trc_start_trace (&root, 1, &rng);
  trc_begin (&span, "search", TRC_SERVER, &root, 5, &rng);
  trc_attr_str (&span, "service", RW_LIT ("a\"b\\c\n\303"));
  for (int i = 0; i < TRC_MAX_ATTRS + 3; i++)
    trc_attr_int (&span, "n", -1);
  trc_end (&span, RW_E_DEADLINE, 7);
  trc_write (&span, RW_LIT ("rwfd"), RW_LIT ("mid-1"), 1000000, &out);
  assert_int_equal (out.ptr[out.len - 1], '\n');
  line = json_loadb (out.ptr, out.len, 0, NULL);
  assert_non_null (line);
  json_decref (line);
  assert_non_null (memmem (out.ptr, out.len, "Nano\":\"1000005000\"", 18));
  assert_null (memmem (out.ptr, out.len, "parentSpanId", 12));
  rw_buf_finish (&out);
}

/* Guards against writing spans of traces that are not sampled.  */
TEST (unsampled_spans_write_nothing)
{
  struct rw_rng rng;
  struct trc_context root;
  struct trc_span span;
  struct rw_buf out;

  rw_rng_init (&rng, 1);
  rw_buf_init (&out);
  trc_start_trace (&root, 0, &rng);
  trc_begin (&span, "search", TRC_SERVER, &root, 5, &rng);
  trc_write (&span, RW_LIT ("rwfd"), RW_LIT ("mid-1"), 0, &out);
  assert_int_equal (out.len, 0);
  rw_buf_finish (&out);
}
