#include <stdlib.h>
#include <string.h>

#include "h1.h"

/* Bytes that the socket did not accept at once.  */
struct pending
{
  uv_write_t req;
  char data[];
};

static void
on_written (uv_write_t *req, int status)
{
  (void)status; /* a failed write also ends reading with an error */
  free (req->data);
}

int
h1_write (uv_stream_t *stream, struct rw_str data)
{
  uv_buf_t buf = uv_buf_init ((char *)data.ptr, (unsigned int)data.len);
  int n = uv_try_write (stream, &buf, 1);
  if (n < 0 && n != UV_EAGAIN)
    return n;
  size_t written = n < 0 ? 0 : (size_t)n;
  if (written == data.len)
    return 0;
  struct pending *pending = rw_xmalloc (sizeof *pending + data.len - written);
  memcpy (pending->data, data.ptr + written, data.len - written);
  pending->req.data = pending;
  buf = uv_buf_init (pending->data, (unsigned int)(data.len - written));
  n = uv_write (&pending->req, stream, &buf, 1, on_written);
  if (n < 0)
    free (pending);
  return n;
}
