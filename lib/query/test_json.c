#include "query.h"
#include "unit.h"

static int
parse_records (const char *text)
{
  struct rw_arena arena;
  struct qry_record *records;
  size_t count;
  int code;

  rw_arena_init (&arena, 0);
  code
      = qry_parse_records (rw_str_from (text), &arena, &records, &count, NULL);
  rw_arena_finish (&arena);
  return code;
}

/* Guards against accepting records that lack a member or have one of a wrong
   type, and against accepting truncated or otherwise malformed JSON.  */
TEST (malformed_records_are_refused)
{
  static const char *const bad[]
      = { "",
          "{}",
          "[",
          "[1]",
          "[{\"id\":\"a\",\"score\":1}]",
          "[{\"id\":\"\",\"score\":1,\"text\":\"\"}]",
          "[{\"id\":1,\"score\":1,\"text\":\"\"}]",
          "[{\"id\":\"a\",\"score\":\"1\",\"text\":\"\"}]",
          "[{\"id\":\"a\",\"score\":1e999,\"text\":\"\"}]",
          "[{\"id\":\"a\",\"id\":\"b\",\"score\":1,\"text\":\"\"}]",
          "[{\"id\":\"a\\u0000b\",\"score\":1,\"text\":\"\"}]",
          "[{\"id\":\"\xff\",\"score\":1,\"text\":\"\"}]",
          "[] x" };

  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    assert_int_equal (parse_records (bad[i]), RW_E_PARSE);
  assert_int_equal (parse_records ("[]"), 0);
  assert_int_equal (
      parse_records ("[{\"id\":\"a\",\"score\":1,\"text\":\"\"}]"), 0);
}

/* Guards against accepting a body above QRY_BODY_MAX bytes or more than
   QRY_RECORDS_MAX records.  */
TEST (sizes_are_limited)
{
  struct rw_buf buf;
  struct rw_arena arena;
  struct qry_record *records;
  size_t count;
  struct rw_err err = { 0 };

  rw_buf_init (&buf);
  rw_arena_init (&arena, 0);
  rw_buf_append_str (&buf, RW_LIT ("[\""));
  while (buf.len < QRY_BODY_MAX + 1)
    rw_buf_append (&buf, "x", 1);
  assert_int_equal (
      qry_parse_records (rw_buf_str (&buf), &arena, &records, &count, &err),
      RW_E_RANGE);
  assert_string_equal (err.step, "decode");
  for (int extra = 0; extra < 2; extra++)
    {
      buf.len = 0;
      rw_buf_append_str (&buf, RW_LIT ("["));
      for (int i = 0; i < QRY_RECORDS_MAX + extra; i++)
        rw_buf_printf (&buf, "%s{\"id\":\"a\",\"score\":1,\"text\":\"\"}",
                       i == 0 ? "" : ",");
      rw_buf_append_str (&buf, RW_LIT ("]"));
      assert_int_equal (qry_parse_records (rw_buf_str (&buf), &arena, &records,
                                           &count, &err),
                        extra ? RW_E_PARSE : 0);
    }
  rw_arena_finish (&arena);
  rw_buf_finish (&buf);
}

/* Guards against records that change when they are encoded and decoded, as
   between daemons.  */
TEST (records_survive_a_round_trip)
{
  struct qry_record in[]
      = { { RW_LIT ("a \"quoted\" id"), 0.1, RW_LIT ("\xec\x84\x9c\n\t") },
          { RW_LIT ("b"), -1e300, RW_LIT ("") } };
  struct qry_record *out;
  struct rw_arena arena;
  struct rw_buf buf;
  size_t count;

  rw_buf_init (&buf);
  rw_arena_init (&arena, 0);
  qry_encode_records (in, 2, &buf);
  assert_int_equal (
      qry_parse_records (rw_buf_str (&buf), &arena, &out, &count, NULL), 0);
  assert_int_equal (count, 2);
  for (size_t i = 0; i < 2; i++)
    {
      assert_true (rw_str_eq (in[i].id, out[i].id));
      assert_true (rw_str_eq (in[i].text, out[i].text));
      assert_true (in[i].score == out[i].score);
    }
  rw_arena_finish (&arena);
  rw_buf_finish (&buf);
}

/* Guards against wrong decoding of a target's answer, and against accepting a
   malformed one.  */
TEST (replies_are_decoded)
{
  static const char text[]
      = "{\"target\":\"pd-01\",\"incarnation\":7,\"snapshot\":\"s41\","
        "\"shard\":3,\"load\":0.5,\"results\":[{\"id\":\"q1\",\"records\":"
        "[{\"id\":\"r\",\"score\":2,\"text\":\"lens\"}]},"
        "{\"id\":\"q2\",\"records\":[]}]}";
  static const char *const bad[]
      = { "[]",
          "{\"target\":\"t\",\"incarnation\":1,\"snapshot\":\"s\","
          "\"shard\":-1,\"results\":[]}",
          "{\"target\":\"t\",\"incarnation\":1,\"snapshot\":\"s\","
          "\"shard\":4294967295,\"results\":[]}",
          "{\"target\":\"t\",\"incarnation\":true,\"snapshot\":\"s\","
          "\"shard\":1,\"results\":[]}",
          "{\"target\":\"t\",\"incarnation\":1,\"snapshot\":\"s\","
          "\"shard\":1,\"results\":[{}]}" };
  struct qry_reply reply;
  struct rw_arena arena;
  struct rw_str snapshot;

  rw_arena_init (&arena, 0);
  assert_int_equal (qry_parse_reply (rw_str_from (text), &arena, &reply, NULL),
                    0);
  assert_true (rw_str_eq_cstr (reply.target, "pd-01"));
  assert_true (rw_str_eq_cstr (reply.snapshot, "s41"));
  assert_int_equal (reply.incarnation, 7);
  assert_int_equal (reply.shard, 3);
  assert_int_equal (reply.part_count, 2);
  assert_true (rw_str_eq_cstr (reply.parts[1].id, "q2"));
  assert_int_equal (reply.parts[0].record_count, 1);
  assert_true (reply.parts[0].records[0].score == 2.0);
  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    assert_int_equal (
        qry_parse_reply (rw_str_from (bad[i]), &arena, &reply, NULL),
        RW_E_PARSE);
  assert_int_equal (qry_parse_snapshot_refusal (
                        RW_LIT ("{\"snapshot\":\"s42\"}"), &arena, &snapshot),
                    0);
  assert_true (rw_str_eq_cstr (snapshot, "s42"));
  assert_int_equal (
      qry_parse_snapshot_refusal (RW_LIT ("{}"), &arena, &snapshot),
      RW_E_PARSE);
  rw_arena_finish (&arena);
}

/* Guards against an error answer that cannot be encoded because its detail is
   not UTF-8, and against a Retry-After that is rounded down.  */
TEST (errors_are_always_encoded)
{
  struct rw_err err = { 0 };
  struct rw_buf buf;

  rw_err_set (&err, RW_E_SHED, "admit", RW_LIT ("pd-01"), "bad \xff byte");
  rw_buf_init (&buf);
  qry_encode_error (&err, QRY_RAN_NO, 1500, &buf);
  rw_buf_append (&buf, "", 1);
  assert_string_equal (
      buf.ptr, "{\"error\":\"admit: pd-01: bad ? byte (shed by the target)\","
               "\"ran\":\"no\",\"retry_after_ms\":2,\"step\":\"admit\","
               "\"peer\":\"pd-01\"}");
  rw_buf_finish (&buf);
}

/* Guards against a search request in another form than docs/design.md states
   in section 10.  */
TEST (search_bodies_are_encoded)
{
  struct rw_str ids[] = { RW_LIT ("1"), RW_LIT ("2") };
  struct rw_str texts[] = { RW_LIT ("red lens"), RW_LIT ("") };
  struct rw_buf buf;

  rw_buf_init (&buf);
  qry_encode_search (RW_LIT ("s41"), 5, ids, texts, 2, &buf);
  rw_buf_append (&buf, "", 1);
  assert_string_equal (buf.ptr,
                       "{\"snapshot\":\"s41\",\"shard\":5,\"queries\":["
                       "{\"id\":\"1\",\"q\":\"red lens\"},"
                       "{\"id\":\"2\",\"q\":\"\"}]}");
  rw_buf_finish (&buf);
}
