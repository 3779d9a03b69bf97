/* Bytes that are no message in the grammar of RFC 9112, and rare messages that
   are sound.  Guards against a reply in trouble that is taken for an answer,
   and against a check that refuses an answer.  */

#include "h1.h"
#include "unit.h"

#define OK "HTTP/1.1 200 OK\r\n"
#define LEN "Content-Length: 3\r\n\r\nabc"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

struct sample
{
  const char *text;
  const char *body; /* null: it is no message */
};

/* Reads the LEN bytes at TEXT, STEP at a time, and then the end of the stream.
   Returns whether READER has a whole message.  */
static bool
read_all (struct h1_reader *reader, const char *text, size_t len, size_t step)
{
  size_t at = 0;
  while (at < len && !reader->complete && reader->error == H1_PARSE_OK)
    at += h1_reader_feed (reader, text + at,
                          len - at < step ? len - at : step);
  if (!reader->complete && reader->error == H1_PARSE_OK)
    h1_reader_feed (reader, NULL, 0);
  return reader->complete && reader->error == H1_PARSE_OK;
}

static void
check_bytes (enum http_parser_type type, const char *text, size_t len,
             const char *body)
{
  static const size_t steps[] = { SIZE_MAX, 1, 2, 7 };
  for (size_t i = 0; i < RW_ARRAY_LEN (steps); i++)
    {
      struct h1_reader reader;
      struct h1_message message;
      h1_reader_init (&reader, type);
      bool is_message = read_all (&reader, text, len, steps[i]);
      if (is_message != (body != NULL))
        print_message ("%s: %.*s\n", body != NULL ? "refused" : "taken",
                       (int)len, text);
      assert_int_equal (is_message, body != NULL);
      if (is_message)
        {
          h1_reader_message (&reader, &message);
          assert_true (rw_str_eq_cstr (message.body, body));
        }
      h1_reader_finish (&reader);
    }
}

static void
check (const struct sample *samples, size_t count)
{
  for (size_t i = 0; i < count; i++)
    check_bytes (HTTP_RESPONSE, samples[i].text, strlen (samples[i].text),
                 samples[i].body);
}

#define CHECK(SAMPLES) check (SAMPLES, RW_ARRAY_LEN (SAMPLES))

/* Checks replies that are TEXT with each byte in the place of the "?": sound
   are those for which IS_SOUND returns true.  */
static void
check_each_byte (const char *text, bool (*is_sound) (unsigned char))
{
  char copy[256];
  size_t len = strlen (text);
  char *place;
  memcpy (copy, text, len + 1);
  place = strchr (copy, '?');
  for (int c = 0; c < 256; c++)
    {
      *place = (char)c;
      check_bytes (HTTP_RESPONSE, copy, len,
                   is_sound ((unsigned char)c) ? "abc" : NULL);
    }
}

TEST (a_status_has_three_digits_and_is_known)
{
  static const struct sample samples[] = {
    { "HTTP/1.1 000 OK\r\n" LEN, NULL },  { "HTTP/1.1 099 OK\r\n" LEN, NULL },
    { "HTTP/1.1 600 OK\r\n" LEN, NULL },  { "HTTP/1.1 999 OK\r\n" LEN, NULL },
    { "HTTP/1.1 2 OK\r\n" LEN, NULL },    { "HTTP/1.1 20 OK\r\n" LEN, NULL },
    { "HTTP/1.1 0200 OK\r\n" LEN, NULL }, { "HTTP/1.1 2000 OK\r\n" LEN, NULL },
    { "HTTP/1.1 -20 OK\r\n" LEN, NULL },  { "HTTP/1.1 2x0 OK\r\n" LEN, NULL },
    { "HTTP/1.1 200OK\r\n" LEN, NULL },   { "HTTP/1.1 OK\r\n" LEN, NULL },
    { "HTTP/1.1\r\n" LEN, NULL },         { "HTTP/1.1 200 OK\r\n" LEN, "abc" },
    { "HTTP/1.1 299 OK\r\n" LEN, "abc" }, { "HTTP/1.1 418 OK\r\n" LEN, "abc" },
    { "HTTP/1.1 599 OK\r\n" LEN, "abc" },
  };
  CHECK (samples);
}

static bool
is_text (unsigned char c)
{
  return c == '\t' || (c >= 0x20 && c != 0x7f);
}

TEST (a_status_line_has_one_form)
{
  static const struct sample samples[] = {
    { "HTTP/2.0 200 OK\r\n" LEN, NULL },
    { "HTTP/0.9 200 OK\r\n" LEN, NULL },
    { "HTTP/1 200 OK\r\n" LEN, NULL },
    { "HTTP/1.10 200 OK\r\n" LEN, NULL },
    { "http/1.1 200 OK\r\n" LEN, NULL },
    { "ICY 200 OK\r\n" LEN, NULL },
    { "HTTP/1.1  200 OK\r\n" LEN, NULL },
    { "HTTP/1.1\t200 OK\r\n" LEN, NULL },
    { "HTTP/1.1 200\tOK\r\n" LEN, NULL },
    { " HTTP/1.1 200 OK\r\n" LEN, NULL },
    { "\r\nHTTP/1.1 200 OK\r\n" LEN, NULL },
    { "\nHTTP/1.1 200 OK\r\n" LEN, NULL },
    { "", NULL },
    { "\r\n\r\n", NULL },
    { "HTTP/1.0 200 OK\r\n" LEN, "abc" },
    { "HTTP/1.1 200 \r\n" LEN, "abc" },
    { "HTTP/1.1 200 a reason: \"\t\xc3\xa4\"\r\n" LEN, "abc" },
    /* A recipient may ignore that the space is missing, and a CR.  */
    { "HTTP/1.1 200\r\n" LEN, "abc" },
    { "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc", "abc" },
    /* One kind of line end in a message.  */
    { "HTTP/1.1 200 OK\n" LEN, NULL },
    { OK "\nX: y\r\n" LEN, NULL },
    { OK "X: y\n" LEN, NULL },
  };
  CHECK (samples);
  check_each_byte ("HTTP/1.1 200 ?K\r\n" LEN, is_text);
  check_each_byte ("HTTP/1.1 200 O?\r\n" LEN, is_text);
}

static bool
is_token (unsigned char c)
{
  return (c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z')
         || (c >= 'a' && c <= 'z')
         || (c != 0 && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_token_or_colon (unsigned char c)
{
  return is_token (c) || c == ':';
}

TEST (a_name_of_a_field_is_a_token)
{
  static const struct sample samples[] = {
    { OK "X Y: z\r\n" LEN, NULL },
    { OK "X : z\r\n" LEN, NULL },
    { OK "X\t: z\r\n" LEN, NULL },
    { OK " X: z\r\n" LEN, NULL },
    { OK ": z\r\n" LEN, NULL },
    { OK "X\r\n" LEN, NULL },
    { OK "Content-Length : 3\r\n\r\nabc", NULL },
    { OK " Content-Length: 3\r\n\r\nabc", NULL },
    { OK "Content Length: 3\r\n" LEN, NULL },
    { OK "Transfer-Encoding : chunked\r\n" LEN, NULL },
    /* A line that begins with a blank continues the one before it.  A gateway
       may refuse this, and senders must not do it.  */
    { OK "X: y\r\n Content-Length: 3\r\n\r\nabc", NULL },
    { OK "X: y\r\n\tz\r\n" LEN, NULL },
    { OK "X: y\r\n \r\n" LEN, NULL },
    { OK "!#$%&'*+-.^_`|~9aZ:z\r\n" LEN, "abc" },
  };
  CHECK (samples);
  check_each_byte (OK "?: z\r\n" LEN, is_token);
  check_each_byte (OK "A: b\r\n?Y: z\r\n" LEN, is_token);
  check_each_byte (OK "X?Y: z\r\n" LEN, is_token_or_colon);
  check_each_byte (OK "X?: z\r\n" LEN, is_token_or_colon);
}

TEST (a_value_of_a_field_has_no_control_bytes)
{
  check_each_byte (OK "X:?\r\n" LEN, is_text);
  check_each_byte (OK "X:?z\r\n" LEN, is_text);
  check_each_byte (OK "X: y?z\r\n" LEN, is_text);
  check_each_byte (OK "X: y ?\r\n" LEN, is_text);
  check_each_byte (OK "Connection:?\r\n" LEN, is_text);
}

TEST (a_carriage_return_is_followed_by_a_line_feed)
{
  static const struct sample samples[] = {
    { "HTTP/1.1 200 OK\rX" LEN, NULL },
    { "HTTP/1.1 200 O\rK\r\n" LEN, NULL },
    { "HTTP/1.1 200 OK\r\r\n" LEN, NULL },
    { OK "X: y\r\r\n" LEN, NULL },
    { OK "X: y\rZ: z\r\n" LEN, NULL },
    { OK "Content-Length: 3\r\n\rXabc", NULL },
    { OK "Content-Length: 3\r\n\r\r\nabc", NULL },
    { OK "X\r: y\r\n" LEN, NULL },
  };
  CHECK (samples);
}

TEST (a_transfer_coding_is_chunked_alone)
{
#define CHUNKS "\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
  static const struct sample samples[] = {
    { OK "Transfer-Encoding: gzip\r\n\r\nabc", NULL },
    { OK "Transfer-Encoding: identity\r\n\r\nabc", NULL },
    { OK "Transfer-Encoding: xchunked\r\n\r\nabc", NULL },
    { OK "Transfer-Encoding:\r\n\r\nabc", NULL },
    { OK "Transfer-Encoding: gzip, chunked" CHUNKS, NULL },
    { OK "Transfer-Encoding: chunked, gzip" CHUNKS, NULL },
    { OK "Transfer-Encoding: chunked, chunked" CHUNKS, NULL },
    { OK "Transfer-Encoding: x chunked" CHUNKS, NULL },
    { OK "Transfer-Encoding: chunked;q=1" CHUNKS, NULL },
    { OK "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked" CHUNKS,
      NULL },
    { OK "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked" CHUNKS,
      NULL },
    { OK "Content-Length: 3\r\nTransfer-Encoding: chunked" CHUNKS, NULL },
    { OK "Transfer-Encoding: chunked\r\nContent-Length: 3" CHUNKS, NULL },
    { "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked" CHUNKS, NULL },
    { OK "Transfer-Encoding: chunked" CHUNKS, "abc" },
    { OK "Transfer-Encoding:CHUNKED " CHUNKS, "abc" },
  };
  CHECK (samples);
}

TEST (a_length_is_one_number)
{
  static const struct sample samples[] = {
    { OK "Content-Length: +3\r\n\r\nabc", NULL },
    { OK "Content-Length: -3\r\n\r\nabc", NULL },
    { OK "Content-Length: 0x3\r\n\r\nabc", NULL },
    { OK "Content-Length: 3;\r\n\r\nabc", NULL },
    { OK "Content-Length: 3 4\r\n\r\nabc", NULL },
    { OK "Content-Length:\r\n\r\nabc", NULL },
    { OK "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", NULL },
    { OK "Content-Length: 18446744073709551619\r\n\r\nabc", NULL },
    { OK "Content-Length: 18446744073709551615\r\n\r\nabc", NULL },
    { OK "Content-Length: 4\r\n\r\nabc", NULL },
    { OK "Content-Length: 03\r\n\r\nabc", "abc" },
    { OK "Content-Length:3  \r\n\r\nabc", "abc" },
    { OK "\r\nabc", "abc" },
  };
  CHECK (samples);
}

TEST (chunks_have_one_form)
{
  static const struct sample samples[] = {
    /* The line after the data of a chunk.  */
    { OK CHUNKED "3\r\nabcXY0\r\n\r\n", NULL },
    { OK CHUNKED "3\r\nabcde\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3\r\nabc\n0\r\n\r\n", NULL },
    { OK CHUNKED "3\r\nabc\r0\r\n\r\n", NULL },
    { OK CHUNKED "5\r\nabc\r\n0\r\n\r\n", NULL },
    /* The size.  */
    { OK CHUNKED "\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "+3\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "0x3\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED " 3\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3 \r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3 z\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3\rXabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "10000000000000003\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "ffffffffffffffff\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3\r\nabc\r\n\r\n\r\n", NULL },
    { OK CHUNKED "3\r\nabc\r\n", NULL },
    { OK CHUNKED "3\r\nabc\r\n0\r\n", NULL },
    { OK CHUNKED "003\r\nabc\r\n00\r\n\r\n", "abc" },
    { OK CHUNKED "A\r\n0123456789\r\n1\r\nx\r\n0\r\n\r\n", "0123456789x" },
    { OK CHUNKED "0\r\n\r\n", "" },
    /* Extensions.  */
    { OK CHUNKED "3;\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a b\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a=\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a=b\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a=\"b\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a=\"b\"c\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a=b;\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a\001=b\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a=\"\001\"\r\nabc\r\n0\r\n\r\n", NULL },
    { OK CHUNKED "3;a\r\nabc\r\n0;z\r\n\r\n", "abc" },
    { OK CHUNKED "3 ; a = b\t;c=\"d;\\\" \xc3\xa4\" ;e\r\nabc\r\n0\r\n\r\n",
      "abc" },
    /* Trailers.  */
    { OK CHUNKED "3\r\nabc\r\n0\r\nT x: y\r\n\r\n", NULL },
    { OK CHUNKED "3\r\nabc\r\n0\r\nT\r\n\r\n", NULL },
    { OK CHUNKED "3\r\nabc\r\n0\r\nT:\001\r\n\r\n", NULL },
    { OK CHUNKED "3\r\nabc\r\n0\r\n\rX", NULL },
    { OK CHUNKED "3\r\nabc\r\n0\r\nT: y\r\nU:\r\n\r\n", "abc" },
  };
  CHECK (samples);
}

TEST (a_reply_without_content_ends_with_its_head)
{
  static const struct sample samples[] = {
    { "HTTP/1.1 204 No Content\r\n" LEN, "" },
    { "HTTP/1.1 304 Not Modified\r\n" LEN, "" },
    { "HTTP/1.1 304 Not Modified\r\nContent-Length: 500\r\n\r\n", "" },
    { "HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: chunked\r\n\r\n", "" },
    { "HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", "" },
    { "HTTP/1.1 103 Early Hints\r\nContent-Length: 500\r\n\r\n", "" },
    { "HTTP/1.1 103 Early Hints\r\nTransfer-Encoding: chunked\r\n\r\n", "" },
    { "HTTP/1.1 205 Reset Content\r\nContent-Length: 0\r\n\r\n", "" },
  };
  CHECK (samples);
}

TEST (nobody_asked_to_switch_protocols)
{
  static const struct sample samples[] = {
    { "HTTP/1.1 101 Switching\r\n\r\n", NULL },
    { "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
      NULL },
    { OK "Upgrade: x\r\nConnection: upgrade\r\n" LEN, "abc" },
  };
  CHECK (samples);
}

/* Guards against an id or a stamp that does not match because of blanks.  */
TEST (blanks_around_a_value_are_no_part_of_it)
{
  static const char text[] = OK "A:b\r\nC: \t d e\t \r\nF: \r\n" LEN;
  struct h1_reader reader;
  struct h1_message message;
  h1_reader_init (&reader, HTTP_RESPONSE);
  assert_true (read_all (&reader, text, strlen (text), SIZE_MAX));
  h1_reader_message (&reader, &message);
  assert_true (rw_str_eq_cstr (h1_header_value (&message, "A"), "b"));
  assert_true (rw_str_eq_cstr (h1_header_value (&message, "C"), "d e"));
  assert_true (rw_str_eq_cstr (h1_header_value (&message, "F"), ""));
  h1_reader_finish (&reader);
}

/* A request that is refused by the targets' servers, or that they read
   otherwise than this tier, must not be forwarded.  */
TEST (requests_have_the_same_fields_and_chunks)
{
#define POST "POST /a HTTP/1.1\r\nHost: h\r\n"
  static const struct sample samples[] = {
    { POST "X Y: z\r\n" LEN, NULL },
    { POST "Content-Length : 3\r\n\r\nabc", NULL },
    { POST " X: z\r\n" LEN, NULL },
    { POST "X: y\r\n z\r\n" LEN, NULL },
    { POST "X:\001\r\n" LEN, NULL },
    { POST "Content-Length: 3\r\n\rXabc", NULL },
    { POST "Transfer-Encoding: gzip, chunked" CHUNKS, NULL },
    { POST CHUNKED "3\r\nabcXY0\r\n\r\n", NULL },
    { POST CHUNKED "3 z\r\nabc\r\n0\r\n\r\n", NULL },
    { POST LEN, "abc" },
    { "\r\n" POST LEN, "abc" },
    { POST CHUNKED "3;a=b\r\nabc\r\n0\r\nT: x\r\n\r\n", "abc" },
    { "GET /a HTTP/1.1\r\nHost: h\r\n\r\n", "" },
  };
  for (size_t i = 0; i < RW_ARRAY_LEN (samples); i++)
    check_bytes (HTTP_REQUEST, samples[i].text, strlen (samples[i].text),
                 samples[i].body);
}
