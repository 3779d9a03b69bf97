#include "lint.h"
#include "unit.h"

/* Returns the line times 100 plus the column of PATH in TEXT.  */
static size_t
find (const char *text, const char *path)
{
  struct lin_text index;
  lin_text_init (&index, rw_str_from (text));
  struct lin_place place
      = lin_text_place (&index, lin_text_find (&index, rw_str_from (path)));
  lin_text_finish (&index);
  return place.line * 100 + place.column;
}

static const char document[] = "{\"a\": [1, {\"b\": \"x\\\"}]\"},\n"
                               "  [2, 3]],\n"
                               " \"c\": {\"d e\": true, \"f\\u0067\": null},\n"
                               " \"c\" : {\"h\": 5}}";

/* Guards against a place that is off, or that of the wrong value, in text with
   brackets and quotes within strings.  */
TEST (values_are_found_by_their_path)
{
  assert_int_equal (find (document, ""), 101);
  assert_int_equal (find (document, "a"), 107);
  assert_int_equal (find (document, "a[0]"), 108);
  assert_int_equal (find (document, "a[1].b"), 117);
  assert_int_equal (find (document, "a[2]"), 203);
  assert_int_equal (find (document, "a[2][1]"), 207);
}

/* Guards against the place of a value that the decoder replaced by a later one
   of the same name.  */
TEST (the_last_of_several_fields_is_found)
{
  assert_int_equal (find (document, "c.h"), 414);
  assert_int_equal (find (document, "c"), 408);
}

/* Guards against names with escapes or spaces that are not found.  */
TEST (names_with_escapes_are_found)
{
  static const char text[] = "{\"c\":{\"d e\": true, \"f\\u0067\": null}}";
  assert_int_equal (find (text, "c[\"d e\"]"), 114);
  assert_int_equal (find (text, "c.fg"), 131);
}

/* Guards against a finding without a place: what is missing is reported at the
   value around it.  */
TEST (what_is_missing_is_placed_at_the_value_around_it)
{
  assert_int_equal (find (document, "a[9].x"), 107);
  assert_int_equal (find (document, "a[1].x"), 111);
  assert_int_equal (find (document, "z"), 101);
  assert_int_equal (find (document, "a["), 107);
  assert_int_equal (find (document, "a[x]"), 107);
}

/* Guards against reading beyond the end of text that ends early, or that is no
   JSON at all.  */
TEST (text_that_is_no_json_has_places)
{
  static const char *const texts[]
      = { "",         "\"",       "\"\\", "{",   "{\"a",
          "{\"a\"",   "{\"a\":",  "]]]}", "[[[", "{\"a\":\"\\u",
          "{\"\\u00", "\xff\xfe", ":,:" };
  for (size_t i = 0; i < RW_ARRAY_LEN (texts); i++)
    assert_in_range (find (texts[i], "a[0].b"), 101, 199);
}

/* Guards against a search from the first element for each finding, which took
   longer than the square of their number.  */
TEST (many_elements_are_found_in_one_pass)
{
  enum
  {
    COUNT = 100000
  };
  struct rw_buf text;
  struct lin_text index;
  char path[32];
  rw_buf_init (&text);
  rw_buf_append (&text, "{\"a\":[", 6);
  for (size_t i = 0; i < COUNT; i++)
    rw_buf_printf (&text, "%s\n{\"b\":%zu}", i > 0 ? "," : "", i);
  rw_buf_append (&text, "]}", 2);
  rw_time start = rw_now ();
  lin_text_init (&index, rw_buf_str (&text));
  for (size_t i = 0; i < COUNT; i++)
    {
      snprintf (path, sizeof path, "a[%zu].b", i);
      struct lin_place place = lin_text_place (
          &index, lin_text_find (&index, rw_str_from (path)));
      assert_int_equal (place.line, i + 2);
      assert_int_equal (place.column, 6);
    }
  assert_true (rw_now () - start < RW_SEC);
  lin_text_finish (&index);
  rw_buf_finish (&text);
}

/* Guards against a search through a whole object for each of its fields, and
   against another result once the fields are mapped.  */
TEST (many_fields_are_found_in_one_pass)
{
  enum
  {
    COUNT = 100000
  };
  struct rw_buf text;
  struct lin_text index;
  static char paths[COUNT][16];
  rw_buf_init (&text);
  rw_buf_append (&text, "{\"a0\":0", 7);
  for (size_t i = 0; i < COUNT; i++)
    rw_buf_printf (&text, ",\n\"\\u0061%zu\":%zu", i, i);
  rw_buf_append (&text, "}", 1);
  rw_time start = rw_now ();
  lin_text_init (&index, rw_buf_str (&text));
  for (size_t i = 0; i < COUNT; i++)
    {
      snprintf (paths[i], sizeof paths[i], "a%zu", i);
      struct lin_place place = lin_text_place (
          &index, lin_text_find (&index, rw_str_from (paths[i])));
      assert_int_equal (place.line, i + 2);
    }
  assert_int_equal (lin_text_find (&index, RW_LIT ("b")), 0);
  assert_true (rw_now () - start < RW_SEC);
  lin_text_finish (&index);
  rw_buf_finish (&text);
}
