#include "wire.h"
#include "unit.h"

#define PEER RW_LIT ("127.0.0.1:7001")

static struct wir_part PARTS[]
    = { { 1, 0, 3, { "pd-01", 5 } }, { 2, 1, 4, { "pd-02", 5 } } };
static struct wir_record RECORDS[] = { { { "r1", 2 }, 0.5, { "lens", 4 } },
                                       { { "r2", 2 }, -2.25, { "", 0 } } };
static struct wir_part_result RESULTS[] = { { .id = { 7, 8 },
                                              .part = 1,
                                              .ran = WIR_RAN_YES,
                                              .retry_after_ms = -1,
                                              .target = { "pd-01", 5 },
                                              .incarnation = 99,
                                              .snapshot = { "s41", 3 },
                                              .queued = 10,
                                              .exchange = 20,
                                              .records = RECORDS,
                                              .record_count = 2 },
                                            { .id = { 7, 9 },
                                              .part = 2,
                                              .attempt = 1,
                                              .status = RW_E_SHED,
                                              .ran = WIR_RAN_NO,
                                              .retry_after_ms = 50,
                                              .target = { "pd-02", 5 },
                                              .step = { "admit", 5 },
                                              .detail = { "shed", 4 },
                                              .http_status = 503,
                                              .body = { "{}", 2 } } };
static struct wir_part_ref REFS[] = { { 1, 0 }, { 2, 3 } };
static struct wir_handoff_target TARGETS[]
    = { { { "pd-01", 5 }, 2, 1, 99, 50000 } };
static struct wir_once_id ONCE_IDS[] = { { 5, 60000000, { "{}", 2 } } };
static struct wir_lease LEASES[] = { { .group = 12,
                                       .electorate = 77,
                                       .claimed = true,
                                       .claimants = 6,
                                       .others = { 5, 7 },
                                       .other_count = 2,
                                       .pred_count = 1,
                                       .preds = { { .hash = 3,
                                                    .stamp = 4,
                                                    .members = { 1, 2, 9 },
                                                    .member_count = 3 } } },
                                     { .group = 13, .released = true } };

#define PROBE                                                                 \
  {                                                                           \
    .vm = { "mid-1", 5 }, .incarnation = 5, .indirect_vm = { "mid-3", 5 },    \
    .changes = { { { "mid-2", 5 }, WIR_LEAVING, 6, 2 } }, .change_count = 1,  \
    .leases = LEASES, .lease_count = 2                                        \
  }

static const struct wir_msg SAMPLES[] = {
  { .type = WIR_HELLO_CALL, .u.hello_call = { { "mid-1", 5 }, 1, 1000 } },
  { .type = WIR_HELLO_REPLY,
    .u.hello_reply = { { "mid-2", 5 }, 2, 1000, 2000 } },
  { .type = WIR_SUBMIT,
    .u.submit = { .id = { 7, 8 },
                  .kind = WIR_KIND_ONCE,
                  .service = { "reserve-svc", 11 },
                  .caller_class = { "crew", 4 },
                  .snapshot = { "s41", 3 },
                  .idempotency_key = { "k1", 2 },
                  .remaining = 60000,
                  .sent = 123456,
                  .trace = { 1, 2, 3, true },
                  .body = { "lens 40mm", 9 },
                  .parts = PARTS,
                  .part_count = 2 } },
  { .type = WIR_RESULT, .u.result = { RESULTS, 2 } },
  { .type = WIR_CANCEL, .u.cancel = { { 7, 8 }, REFS, 2 } },
  { .type = WIR_FETCH_CALL, .u.fetch_call = { { "rules", 5 }, 4 } },
  { .type = WIR_FETCH_REPLY,
    .u.fetch_reply = { { "rules", 5 }, 5, { "target x leaving # me", 21 } } },
  { .type = WIR_HANDOFF_CALL,
    .u.handoff_call = { { "mid-1", 5 },
                        1,
                        { "midrand-a", 9 },
                        3,
                        77,
                        88,
                        TARGETS,
                        1,
                        ONCE_IDS,
                        1 } },
  { .type = WIR_HANDOFF_REPLY,
    .u.handoff_reply = { { "midrand-a", 9 }, 3, true } },
  { .type = WIR_PROBE_CALL, .u.probe = PROBE },
  { .type = WIR_PROBE_REPLY, .u.probe = PROBE }
};

struct fixture
{
  struct rw_arena arena;
  struct rw_buf buf;
  struct wir_msg msg;
  struct rw_err err;
};

static void
begin (struct fixture *f)
{
  rw_arena_init (&f->arena, 0);
  rw_buf_init (&f->buf);
}

static void
end (struct fixture *f)
{
  rw_arena_finish (&f->arena);
  rw_buf_finish (&f->buf);
}

UNIT_FIXTURE (begin, end)

/* Encodes SAMPLES[i] with versions and transaction id 42.  */
static void
encode_sample (struct fixture *f, size_t i)
{
  struct wir_msg msg = SAMPLES[i];

  msg.xid = 42;
  msg.versions = (struct wir_versions){ 1, 2, 3, RW_LIT ("map/partsdesk"), 4 };
  f->buf.len = 0;
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), 0);
}

static int
decode (struct fixture *f, struct rw_str data)
{
  return wir_decode (data, PEER, &f->arena, &f->msg, &f->err);
}

/* Guards against a field that is lost or read from the wrong position:
   encoding the decoded message again must give the same bytes.  */
TEST_WITH_FIXTURE (every_message_round_trips)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (SAMPLES); i++)
    {
      struct rw_buf again;

      encode_sample (f, i);
      assert_int_equal (decode (f, rw_buf_str (&f->buf)), 0);
      assert_int_equal (f->msg.type, SAMPLES[i].type);
      assert_int_equal (f->msg.xid, 42);
      assert_int_equal (f->msg.versions.map_version, 4);
      rw_buf_init (&again);
      assert_int_equal (wir_encode (&f->msg, &again, &f->err), 0);
      assert_true (rw_str_eq (rw_buf_str (&again), rw_buf_str (&f->buf)));
      rw_buf_finish (&again);
    }
}

/* Guards against swapped fields, which a round trip does not detect because
   encoding and decoding swap them alike.  */
TEST_WITH_FIXTURE (fields_decode_to_their_members)
{
  const struct wir_part_result *r;

  encode_sample (f, 2);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), 0);
  assert_int_equal (f->msg.u.submit.kind, WIR_KIND_ONCE);
  assert_true (rw_str_eq_cstr (f->msg.u.submit.caller_class, "crew"));
  assert_true (rw_str_eq_cstr (f->msg.u.submit.idempotency_key, "k1"));
  assert_int_equal (f->msg.u.submit.remaining, 60000);
  assert_int_equal (f->msg.u.submit.sent, 123456);
  assert_int_equal (f->msg.u.submit.parts[1].attempt, 1);
  assert_int_equal (f->msg.u.submit.parts[1].shard, 4);
  encode_sample (f, 3);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), 0);
  r = f->msg.u.result.results;
  assert_int_equal (r[1].status, RW_E_SHED);
  assert_int_equal (r[1].retry_after_ms, 50);
  assert_int_equal (r[0].incarnation, 99);
  assert_true (r[0].records[1].score == -2.25);
  assert_true (rw_str_eq_cstr (r[0].records[0].text, "lens"));
  encode_sample (f, 9);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), 0);
  assert_true (f->msg.u.probe.leases[0].claimed);
  assert_false (f->msg.u.probe.leases[0].released);
  assert_int_equal (f->msg.u.probe.leases[0].claimants, 6);
  assert_int_equal (f->msg.u.probe.leases[0].others[1], 7);
  assert_int_equal (f->msg.u.probe.leases[0].preds[0].members[2], 9);
  assert_int_equal (f->msg.u.probe.changes[0].state, WIR_LEAVING);
}

/* Guards against a truncated message that is read past its end or accepted
   with fields missing.  */
TEST_WITH_FIXTURE (truncated_messages_are_refused)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (SAMPLES); i++)
    {
      encode_sample (f, i);
      for (size_t len = 0; len < f->buf.len; len++)
        {
          /* An exact allocation lets the sanitizer see reads past the end. */
          char *copy = rw_xmalloc (len);

          memcpy (copy, f->buf.ptr, len);
          assert_true (decode (f, (struct rw_str){ copy, len }) < 0);
          assert_string_equal (f->err.peer, "127.0.0.1:7001");
          assert_string_equal (f->err.step, "decode");
          free (copy);
        }
    }
}

/* Guards against crashes and leaks on messages with corrupted bytes.  */
TEST_WITH_FIXTURE (corrupted_messages_do_not_crash)
{
  struct rw_rng rng;

  rw_rng_init (&rng, 1);
  for (size_t i = 0; i < 20000; i++)
    {
      size_t flips = 1 + rw_rng_below (&rng, 4);

      encode_sample (f, i % RW_ARRAY_LEN (SAMPLES));
      for (size_t j = 0; j < flips; j++)
        f->buf.ptr[rw_rng_below (&rng, f->buf.len)] = (char)rw_rng_next (&rng);
      decode (f, rw_buf_str (&f->buf));
      rw_arena_reset (&f->arena);
    }
}

static void
put_u32 (struct rw_buf *buf, size_t at, uint32_t value)
{
  for (size_t i = 0; i < 4; i++)
    buf->ptr[at + i] = (char)(value >> (24 - 8 * i));
}

/* Guards against acting on calls of another program, version or procedure, and
   on replies that report an error.  */
TEST_WITH_FIXTURE (other_programs_and_procedures_are_refused)
{
  static const size_t words[] = { 8, 12, 16, 20 };

  for (size_t i = 0; i < RW_ARRAY_LEN (words); i++)
    {
      encode_sample (f, 5);
      put_u32 (&f->buf, words[i], 1234);
      assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_PARSE);
    }
  encode_sample (f, 5);
  put_u32 (&f->buf, 20, 0); /* the null procedure has no message */
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_PARSE);
  encode_sample (f, 6);
  put_u32 (&f->buf, 20, 3); /* procedure unavailable */
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_PARSE);
  encode_sample (f, 6);
  put_u32 (&f->buf, 24, 2); /* SUBMIT has no reply */
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_PARSE);
}

/* Guards against accepting bytes after the end of a message: its sender uses
   another layout.  */
TEST_WITH_FIXTURE (trailing_bytes_are_refused)
{
  encode_sample (f, 0);
  rw_buf_append (&f->buf, "\0\0\0\0", 4);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_PARSE);
}

/* Guards against sending fields above their limits, and names with control
   characters, which would be written to logs and headers.  */
TEST_WITH_FIXTURE (invalid_fields_are_not_encoded)
{
  struct wir_msg msg = SAMPLES[0];
  char name[WIR_MAX_NAME + 1];

  memset (name, 'a', sizeof name);
  msg.u.hello_call.vm = (struct rw_str){ name, sizeof name };
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), RW_E_RANGE);
  msg.u.hello_call.vm = RW_LIT ("a\nb");
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), RW_E_RANGE);
  msg.u.hello_call.vm = (struct rw_str){ name, WIR_MAX_NAME };
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), 0);
  msg = SAMPLES[2];
  msg.u.submit.part_count = WIR_MAX_PARTS + 1;
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), RW_E_RANGE);
}

/* Guards against accepting an unknown enumeration value or a negative time. */
TEST_WITH_FIXTURE (invalid_values_are_not_decoded)
{
  struct wir_msg msg = SAMPLES[2];

  msg.u.submit.kind = (enum wir_kind)2;
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), 0);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_RANGE);
  msg = SAMPLES[2];
  msg.u.submit.remaining = -1;
  f->buf.len = 0;
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), 0);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_RANGE);
}

/* Guards against datagrams that the network would fragment, and records above
   their limits.  */
TEST_WITH_FIXTURE (message_length_is_limited)
{
  struct wir_msg msg = SAMPLES[9];
  struct wir_lease leases[WIR_MAX_LEASES];
  char *body = rw_xcalloc (1, WIR_MAX_DOC);

  memset (leases, 0, sizeof leases);
  msg.u.probe.leases = leases;
  msg.u.probe.lease_count = WIR_MAX_LEASES;
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), RW_E_RANGE);
  assert_int_equal (f->buf.len, 0);
  msg = SAMPLES[2];
  msg.u.submit.body = (struct rw_str){ body, WIR_MAX_BODY };
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), RW_E_RANGE);
  msg = SAMPLES[6];
  msg.u.fetch_reply.body = (struct rw_str){ body, WIR_MAX_DOC };
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), 0);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), 0);
  assert_int_equal (f->msg.u.fetch_reply.body.len, WIR_MAX_DOC);
  free (body);
}

/* Encodes a FETCH reply with a document of LEN equal bytes.  Returns the
   encoded length of its body, which is the last field of the message.  */
static size_t
encode_doc (struct fixture *f, size_t len)
{
  struct wir_msg msg = SAMPLES[6];
  char *body = rw_xcalloc (1, len);
  size_t plain;

  msg.u.fetch_reply.body = RW_LIT ("");
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), 0);
  plain = f->buf.len;
  f->buf.len = 0;
  memset (body, 'x', len);
  msg.u.fetch_reply.body = (struct rw_str){ body, len };
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), 0);
  free (body);
  return f->buf.len - plain;
}

/* Guards against documents above the threshold being sent uncompressed, and
   against documents that compression changes.  */
TEST_WITH_FIXTURE (documents_are_compressed)
{
  assert_int_equal (encode_doc (f, WIR_COMPRESS_ABOVE), WIR_COMPRESS_ABOVE);
  f->buf.len = 0;
  assert_in_range (encode_doc (f, 200000), 1, 1000);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), 0);
  assert_int_equal (f->msg.u.fetch_reply.body.len, 200000);
  assert_int_equal (f->msg.u.fetch_reply.body.ptr[199999], 'x');
}

/* Guards against allocating more than the stated length (a compression bomb)
   or the limit of a document, and against accepting a truncated document: any
   stated length but the true one, and a shorter body, must be refused.  */
TEST_WITH_FIXTURE (invalid_compressed_documents_are_refused)
{
  static const uint32_t STATED[]
      = { 1, 1024, 199999, 200001, WIR_MAX_DOC, WIR_MAX_DOC + 1, UINT32_MAX };
  size_t len = encode_doc (f, 200000);
  size_t at = f->buf.len - len;

  for (size_t i = 0; i < RW_ARRAY_LEN (STATED); i++)
    {
      put_u32 (&f->buf, at - 8, STATED[i]);
      assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_RANGE);
      assert_true (rw_str_eq_cstr (rw_str_from (f->err.peer), PEER.ptr));
      assert_non_null (strstr (f->err.detail, "FETCH reply"));
    }
  put_u32 (&f->buf, at - 8, 200000);
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), 0);
  put_u32 (&f->buf, at - 4, (uint32_t)len - 4);
  f->buf.len -= 4;
  assert_int_equal (decode (f, rw_buf_str (&f->buf)), RW_E_RANGE);
}

/* Guards against a large but normal probe that does not fit a datagram: ten
   shared groups with five claimants each and the maximum number of changes. */
TEST_WITH_FIXTURE (a_full_probe_fits_a_datagram)
{
  struct wir_msg msg = SAMPLES[9];
  struct wir_lease leases[10];

  for (size_t i = 0; i < RW_ARRAY_LEN (leases); i++)
    leases[i] = (struct wir_lease){ .claimants = 31 };
  msg.u.probe.leases = leases;
  msg.u.probe.lease_count = RW_ARRAY_LEN (leases);
  for (size_t i = 0; i < WIR_MAX_CHANGES; i++)
    {
      msg.u.probe.changes[i].vm = RW_LIT ("centurion-c-0460");
      msg.u.probe.changes[i].addr = RW_LIT ("255.255.255.255");
    }
  msg.u.probe.change_count = WIR_MAX_CHANGES;
  msg.versions.map_key = RW_LIT ("map/franchise-portal");
  assert_int_equal (wir_encode (&msg, &f->buf, &f->err), 0);
}

static int
next_record (struct wir_reader *reader, struct rw_str *input,
             struct rw_str *record, struct rw_err *err)
{
  return wir_reader_next (reader, input, record, PEER, err);
}

/* Guards against records that differ with the sizes of the reads in which the
   stream arrives.  */
TEST_WITH_FIXTURE (records_are_reassembled_from_any_pieces)
{
  static const char stream[] = "\200\0\0\5first\0\0\0\3sec\0\0\0\1o\200\0\0"
                               "\2nd\200\0\0\0\200\0\0\1x";
  static const char *const expected[] = { "first", "second", "", "x" };

  for (size_t piece = 1; piece < sizeof stream; piece++)
    {
      struct wir_reader reader;
      size_t found = 0;

      wir_reader_init (&reader);
      for (size_t at = 0; at < sizeof stream - 1; at += piece)
        {
          size_t left = sizeof stream - 1 - at;
          struct rw_str input = { stream + at, left < piece ? left : piece };
          struct rw_str record;

          while (next_record (&reader, &input, &record, &f->err) == 1)
            {
              assert_true (found < RW_ARRAY_LEN (expected));
              assert_true (rw_str_eq_cstr (record, expected[found]));
              found++;
            }
          assert_int_equal (input.len, 0);
        }
      assert_int_equal (found, RW_ARRAY_LEN (expected));
      wir_reader_finish (&reader);
    }
}

/* Guards against allocating whatever length a record mark announces, in one
   fragment or in several, and against endless empty fragments.  */
TEST_WITH_FIXTURE (oversize_records_are_refused)
{
  static const struct
  {
    const char *bytes;
    size_t len;
    int code;
  } cases[] = { { "\377\377\377\377x", 5, RW_E_RANGE },
                { "\200\100\0\1x", 5, RW_E_RANGE },
                /* above 1 MB and a call */
                { "\200\20\0\1\0\0\0\0\0\0\0\0", 12, RW_E_RANGE },
                /* above 1 MB and a reply */
                { "\200\20\0\1\0\0\0\0\0\0\0\1", 12, 0 },
                { "\0\0\0\0", 4, RW_E_PARSE },
                { "\0\0\0\010aaaa\0\0\0\0\200\17\377\371x", 17, RW_E_RANGE },
                { "\0\0\0\010aaaa\0\0\0\0\200\17\377\370x", 17, 0 } };

  for (size_t i = 0; i < RW_ARRAY_LEN (cases); i++)
    {
      struct wir_reader reader;
      struct rw_str input = { cases[i].bytes, cases[i].len };
      struct rw_str record;

      wir_reader_init (&reader);
      assert_int_equal (next_record (&reader, &input, &record, &f->err),
                        cases[i].code);
      wir_reader_finish (&reader);
    }
}

/* Guards against record marks that the reader decodes differently than the
   writer encoded them.  */
TEST_WITH_FIXTURE (a_written_record_is_read_back)
{
  struct wir_reader reader;
  struct rw_str input;
  struct rw_str record;

  wir_append_record (&f->buf, RW_LIT ("one"));
  wir_append_record (&f->buf, RW_LIT ("two"));
  wir_reader_init (&reader);
  input = rw_buf_str (&f->buf);
  assert_int_equal (next_record (&reader, &input, &record, &f->err), 1);
  assert_true (rw_str_eq_cstr (record, "one"));
  assert_int_equal (next_record (&reader, &input, &record, &f->err), 1);
  assert_true (rw_str_eq_cstr (record, "two"));
  assert_int_equal (next_record (&reader, &input, &record, &f->err), 0);
  wir_reader_finish (&reader);
}
