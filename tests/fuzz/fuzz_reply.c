#include "fuzz.h"
#include "platform.h"

#include <math.h>

/* What targets and the store say about themselves in the headers of a reply:
   whatever they send, the numbers are in range.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct h1_reader reader;
  struct h1_message message;
  struct plt_reply reply;
  int64_t era;
  h1_reader_init (&reader, HTTP_RESPONSE);
  reader.max_head_bytes = 4096;
  reader.max_body_bytes = 256;
  h1_reader_feed (&reader, (const char *)data, size);
  if (reader.complete)
    {
      h1_reader_message (&reader, &message);
      plt_read_reply (&message, &reply);
      FUZZ_CHECK (reply.retry_after >= -1
                  && reply.retry_after <= 86400 * RW_SEC);
      FUZZ_CHECK (isfinite (reply.limit_per_s)
                  && (reply.limit_per_s >= 0 || reply.limit_per_s == -1));
      FUZZ_CHECK (reply.names_limit || reply.limit_per_s < 0);
      if (reply.has_load)
        FUZZ_CHECK (reply.running <= 1000000 && reply.waiting <= 1000000
                    && reply.slots <= 1000000);
      FUZZ_CHECK (reply.work_figure <= 100000
                  && !(reply.invalid_figure && reply.work_figure > 0));
      if (plt_read_era (&message, &era) == 0)
        FUZZ_CHECK (era >= 0 && era <= RW_ERA_MAX);
    }
  h1_reader_finish (&reader);
  return 0;
}

FUZZ_SAMPLES (
    "HTTP/1.1 200 OK\r\nX-Redwingfork-Request-Id: a\r\n"
    "X-Redwingfork-Server-Stamp: s.a\r\nX-Redwingfork-Server-Load: 1,0,2\r\n"
    "Server-Limit: 12.5\r\nContent-Length: 2\r\n\r\nab",
    "HTTP/1.1 200 OK\r\nX-Redwingfork-Server-Load: 1,0,2,250,9\r\n"
    "Content-Length: 0\r\n\r\n",
    "HTTP/1.1 503 -\r\nX-Redwingfork-Not-Executed: 1\r\nRetry-After: 0.25\r\n"
    "Server-Leaving: 1\r\nStore-Era: 3\r\nContent-Length: 0\r\n\r\n")
