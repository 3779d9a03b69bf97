#include <limits.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "h1.h"

#define STATUS_SWITCHING_PROTOCOLS 101

bool
h1_name_eq (struct rw_str a, const char *b)
{
  return strlen (b) == a.len && strncasecmp (a.ptr, b, a.len) == 0;
}

struct rw_str
h1_header_value (const struct h1_message *message, const char *name)
{
  for (size_t i = 0; i < message->header_count; i++)
    if (h1_name_eq (message->headers[i].name, name))
      return message->headers[i].value;
  return (struct rw_str){ NULL, 0 };
}

/* Returns whether the comma-separated LIST contains NAME.  */
static bool
list_contains (struct rw_str list, struct rw_str name)
{
  while (list.len > 0)
    {
      struct rw_str token = rw_str_trim (rw_str_token (&list, ","));
      if (token.len == name.len
          && strncasecmp (token.ptr, name.ptr, name.len) == 0)
        return true;
    }
  return false;
}

bool
h1_is_hop_by_hop (const struct h1_message *message, struct rw_str name)
{
  static const char *const hop_by_hop[] = { "Connection",
                                            "Keep-Alive",
                                            "Proxy-Connection",
                                            "TE",
                                            "Trailer",
                                            "Transfer-Encoding",
                                            "Upgrade",
                                            "Proxy-Authenticate",
                                            "Proxy-Authorization",
                                            "Expect" };
  for (size_t i = 0; i < RW_ARRAY_LEN (hop_by_hop); i++)
    if (h1_name_eq (name, hop_by_hop[i]))
      return true;
  for (size_t i = 0; i < message->header_count; i++)
    if (h1_name_eq (message->headers[i].name, "Connection")
        && list_contains (message->headers[i].value, name))
      return true;
  return false;
}

static struct h1_reader *
get_reader (http_parser *parser)
{
  return parser->data;
}

/* Records ERROR and returns a value that makes http_parser stop.  */
static int
fail (struct h1_reader *reader, enum h1_parse_error error)
{
  reader->error = error;
  return 1;
}

static int
append_head (struct h1_reader *reader, const char *at, size_t len)
{
  if (reader->head.len + len > reader->max_head_bytes)
    return fail (reader, H1_PARSE_HEAD_TOO_LARGE);
  rw_buf_append (&reader->head, at, len);
  return 0;
}

static int
on_message_begin (http_parser *parser)
{
  get_reader (parser)->started = true;
  return 0;
}

static int
on_url (http_parser *parser, const char *at, size_t len)
{
  struct h1_reader *reader = get_reader (parser);
  if (reader->target.len == 0)
    reader->target.offset = (uint32_t)reader->head.len;
  reader->target.len += (uint32_t)len;
  return append_head (reader, at, len);
}

/* http_parser may deliver a name or a value in several pieces.  */
static int
on_header_field (http_parser *parser, const char *at, size_t len)
{
  struct h1_reader *reader = get_reader (parser);
  if (reader->head_complete)
    return 0; /* trailers are dropped */
  if (reader->header_count == 0 || reader->in_value)
    {
      if (reader->header_count == H1_MAX_HEADERS)
        return fail (reader, H1_PARSE_HEAD_TOO_LARGE);
      size_t i = reader->header_count++;
      reader->names[i] = (struct h1_slice){ (uint32_t)reader->head.len, 0 };
      reader->values[i] = (struct h1_slice){ 0, 0 };
      reader->in_value = false;
    }
  reader->names[reader->header_count - 1].len += (uint32_t)len;
  return append_head (reader, at, len);
}

static int
on_header_value (http_parser *parser, const char *at, size_t len)
{
  struct h1_reader *reader = get_reader (parser);
  if (reader->head_complete || reader->header_count == 0)
    return 0;
  struct h1_slice *value = &reader->values[reader->header_count - 1];
  if (!reader->in_value)
    {
      *value = (struct h1_slice){ (uint32_t)reader->head.len, 0 };
      reader->in_value = true;
    }
  value->len += (uint32_t)len;
  return append_head (reader, at, len);
}

static struct rw_str
slice_str (const struct h1_reader *reader, struct h1_slice slice)
{
  if (slice.len == 0)
    return (struct rw_str){ NULL, 0 };
  return (struct rw_str){ reader->head.ptr + slice.offset, slice.len };
}

/* Returns whether the body can be read: it has no transfer coding, or only the
   chunked one, which the parser says in IS_CHUNKED.  Others were not asked for
   and would have to be undone.  */
static bool
is_coding_known (const struct h1_reader *reader, bool is_chunked)
{
  size_t count = 0;
  for (size_t i = 0; i < reader->header_count; i++)
    if (h1_name_eq (slice_str (reader, reader->names[i]), "Transfer-Encoding"))
      {
        struct rw_str value
            = rw_str_trim (slice_str (reader, reader->values[i]));
        if (++count > 1 || !h1_name_eq (value, "chunked"))
          return false;
      }
  return count == 0 || (is_chunked && reader->parser.http_minor > 0);
}

/* Returns whether a reply ends with its head, whatever the head says.  */
static bool
has_no_content (const struct h1_reader *reader)
{
  unsigned int status = reader->parser.status_code;
  return reader->skip_body || status < 200 || status == 204 || status == 304;
}

static int
on_headers_complete (http_parser *parser)
{
  struct h1_reader *reader = get_reader (parser);
  bool is_reply = parser->type == HTTP_RESPONSE;
  bool is_chunked = (parser->flags & F_CHUNKED) != 0;
  reader->head_complete = true;
  h1_grammar_begin_body (&reader->grammar, is_chunked);
  if (!is_coding_known (reader, is_chunked)
      || (is_reply && parser->status_code == STATUS_SWITCHING_PROTOCOLS))
    {
      fail (reader, H1_PARSE_SYNTAX);
      return -1;
    }
  if (is_reply)
    return has_no_content (reader) ? 1 : 0;
  if (parser->content_length != ULLONG_MAX
      && parser->content_length > reader->max_body_bytes)
    {
      fail (reader, H1_PARSE_BODY_TOO_LARGE);
      return -1;
    }
  for (size_t i = 0; i < reader->header_count; i++)
    {
      struct rw_str name = { reader->head.ptr + reader->names[i].offset,
                             reader->names[i].len };
      if (h1_name_eq (name, "Expect"))
        reader->expects_continue = true;
    }
  return 0;
}

static int
on_body (http_parser *parser, const char *at, size_t len)
{
  struct h1_reader *reader = get_reader (parser);
  struct h1_budget *budget = reader->budget;
  if (reader->body.len + len > reader->max_body_bytes
      || (budget != NULL && budget->used + len > budget->max))
    return fail (reader, H1_PARSE_BODY_TOO_LARGE);
  rw_buf_append (&reader->body, at, len);
  if (budget != NULL)
    {
      budget->used += len;
      acc_add (budget->account, len);
    }
  return 0;
}

/* Pauses the parser, so that it does not read into the next message.  */
static int
on_message_complete (http_parser *parser)
{
  struct h1_reader *reader = get_reader (parser);
  reader->complete = true;
  reader->keep_alive = http_should_keep_alive (parser) != 0;
  http_parser_pause (parser, 1);
  return 0;
}

static const http_parser_settings parser_settings = {
  .on_message_begin = on_message_begin,
  .on_url = on_url,
  .on_header_field = on_header_field,
  .on_header_value = on_header_value,
  .on_headers_complete = on_headers_complete,
  .on_body = on_body,
  .on_message_complete = on_message_complete,
};

#define DEFAULT_MAX_HEAD_BYTES 65536
#define DEFAULT_MAX_BODY_BYTES ((size_t)16 << 20)

void
h1_reader_init (struct h1_reader *reader, enum http_parser_type type)
{
  memset (reader, 0, sizeof *reader);
  http_parser_init (&reader->parser, type);
  reader->parser.data = reader;
  h1_grammar_init (&reader->grammar, type == HTTP_RESPONSE);
  rw_buf_init (&reader->head);
  rw_buf_init (&reader->body);
  reader->max_head_bytes = DEFAULT_MAX_HEAD_BYTES;
  reader->max_body_bytes = DEFAULT_MAX_BODY_BYTES;
}

/* Takes the body of READER off the budget.  */
static void
release_budget (struct h1_reader *reader)
{
  if (reader->budget == NULL)
    return;
  reader->budget->used -= reader->body.len;
  acc_sub (reader->budget->account, reader->body.len);
}

/* Lets go of the body, which others may keep.  */
static void
release_body (struct h1_reader *reader)
{
  if (reader->blob == NULL)
    {
      release_budget (reader);
      return;
    }
  acc_blob_unref (reader->blob);
  reader->blob = NULL;
  rw_buf_init (&reader->body);
}

void
h1_reader_finish (struct h1_reader *reader)
{
  release_body (reader);
  rw_buf_finish (&reader->head);
  rw_buf_finish (&reader->body);
}

size_t
h1_reader_held (const struct h1_reader *reader)
{
  return reader->head.cap + reader->body.cap;
}

size_t
h1_reader_need (const struct h1_reader *reader, size_t len)
{
  return reader->head.cap + rw_buf_need (&reader->body, len);
}

/* A smaller body is copied rather than shared.  */
#define MIN_SHARED_BYTES 4096

struct acc_blob *
h1_message_share_body (const struct h1_message *message,
                       struct acc_account *account)
{
  struct h1_reader *reader = message->reader;
  if (reader == NULL || message->body.len < MIN_SHARED_BYTES)
    return NULL;
  if (reader->blob == NULL)
    {
      release_budget (reader);
      reader->blob = acc_blob_new (account, &reader->body);
      reader->body
          = (struct rw_buf){ reader->blob->buf.ptr, message->body.len, 0 };
    }
  return acc_blob_ref (reader->blob);
}

/* A larger buffer is freed after a message, so that idle connections hold
   little memory.  */
#define MAX_IDLE_BUF_BYTES 4096

static void
clear_buf (struct rw_buf *buf)
{
  buf->len = 0;
  if (buf->cap <= MAX_IDLE_BUF_BYTES)
    return;
  rw_buf_finish (buf);
  rw_buf_init (buf);
}

void
h1_reader_reset (struct h1_reader *reader)
{
  http_parser_init (&reader->parser, reader->parser.type);
  h1_grammar_init (&reader->grammar, reader->parser.type == HTTP_RESPONSE);
  release_body (reader);
  clear_buf (&reader->head);
  clear_buf (&reader->body);
  reader->target = (struct h1_slice){ 0, 0 };
  reader->header_count = 0;
  reader->in_value = false;
  reader->started = false;
  reader->head_complete = false;
  reader->complete = false;
  reader->skip_body = false;
  reader->expects_continue = false;
  reader->error = H1_PARSE_OK;
}

/* Parses DATA, which is checked.  */
static size_t
parse (struct h1_reader *reader, const char *data, size_t len)
{
  size_t consumed
      = http_parser_execute (&reader->parser, &parser_settings, data, len);
  enum http_errno code = HTTP_PARSER_ERRNO (&reader->parser);
  if (reader->complete)
    {
      http_parser_pause (&reader->parser, 0);
      return consumed;
    }
  if (reader->parser.upgrade != 0 && reader->error == H1_PARSE_OK)
    reader->error = H1_PARSE_SYNTAX;
  if (code != HPE_OK && reader->error == H1_PARSE_OK)
    reader->error = code == HPE_HEADER_OVERFLOW ? H1_PARSE_HEAD_TOO_LARGE
                                                : H1_PARSE_SYNTAX;
  return consumed;
}

size_t
h1_reader_feed (struct h1_reader *reader, const char *data, size_t len)
{
  size_t consumed = 0;
  if (len == 0)
    return parse (reader, data, len);
  while (consumed < len && !reader->complete && reader->error == H1_PARSE_OK)
    {
      size_t checked = h1_grammar_check (&reader->grammar, data + consumed,
                                         len - consumed);
      /* No byte is left if the parser sees no end where the grammar does.  */
      if (reader->grammar.failed || checked == 0)
        reader->error = H1_PARSE_SYNTAX;
      else
        consumed += parse (reader, data + consumed, checked);
    }
  return consumed;
}

void
h1_reader_message (struct h1_reader *reader, struct h1_message *message)
{
  message->reader = reader;
  message->method = reader->parser.method;
  message->status = (int)reader->parser.status_code;
  message->keep_alive = reader->keep_alive;
  message->target = slice_str (reader, reader->target);
  message->header_count = reader->header_count;
  for (size_t i = 0; i < reader->header_count; i++)
    message->headers[i] = (struct h1_header){
      slice_str (reader, reader->names[i]),
      rw_str_trim (slice_str (reader, reader->values[i]))
    };
  message->body = rw_buf_str (&reader->body);
}

/* A larger Keep-Alive timeout is ignored.  */
#define MAX_KEEP_ALIVE_S 86400
#define TIMEOUT_PREFIX "timeout="

rw_time
h1_keep_alive_timeout (const struct h1_message *reply)
{
  struct rw_str value = h1_header_value (reply, "Keep-Alive");
  while (value.len > 0)
    {
      struct rw_str token = rw_str_trim (rw_str_token (&value, ","));
      int64_t seconds = 0;
      if (!rw_str_starts (token, RW_LIT (TIMEOUT_PREFIX)))
        continue;
      token.ptr += strlen (TIMEOUT_PREFIX);
      token.len -= strlen (TIMEOUT_PREFIX);
      if (rw_str_to_int (token, 0, MAX_KEEP_ALIVE_S, &seconds) == 0)
        return seconds * RW_SEC;
    }
  return 0;
}
