#include "fuzz.h"
#include "h1.h"

/* Fields are passed on, so none may hold what would be another line.  */
static void
check_field (const struct h1_header *field)
{
  FUZZ_CHECK (field->name.len > 0);
  for (size_t i = 0; i < field->name.len; i++)
    FUZZ_CHECK (field->name.ptr[i] > ' ' && field->name.ptr[i] < 0x7f
                && field->name.ptr[i] != ':');
  for (size_t i = 0; i < field->value.len; i++)
    {
      unsigned char c = (unsigned char)field->value.ptr[i];
      FUZZ_CHECK (c == '\t' || (c >= ' ' && c != 0x7f));
    }
}

/* Requests of callers and replies of targets, in two pieces.  */
static void
read_messages (enum http_parser_type type, const char *data, size_t size)
{
  struct h1_reader reader;
  struct h1_message message;
  size_t half = size / 2;
  h1_reader_init (&reader, type);
  reader.max_head_bytes = 512;
  reader.max_body_bytes = 256;
  size_t taken = h1_reader_feed (&reader, data, half);
  if (!reader.complete && reader.error == H1_PARSE_OK && taken == half)
    h1_reader_feed (&reader, data + half, size - half);
  if (reader.complete)
    {
      h1_reader_message (&reader, &message);
      FUZZ_CHECK (message.body.len <= 256);
      FUZZ_CHECK (type == HTTP_REQUEST
                  || (message.status >= 100 && message.status <= 599
                      && message.status != 101));
      for (size_t i = 0; i < message.header_count; i++)
        {
          (void)h1_is_hop_by_hop (&message, message.headers[i].name);
          check_field (&message.headers[i]);
        }
      (void)h1_keep_alive_timeout (&message);
    }
  h1_reader_finish (&reader);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  read_messages (HTTP_REQUEST, (const char *)data, size);
  read_messages (HTTP_RESPONSE, (const char *)data, size);
  return 0;
}

FUZZ_SAMPLES ("POST /a/ HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
              "Keep-Alive: timeout=5\r\n\r\n2\r\nab\r\n0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
              "X: \t y\r\n\r\n2;a=\"b\\\"\"\r\nab\r\n0\r\nT: z\r\n\r\n")
