#include <stdlib.h>
#include <string.h>

#include "h1.h"

struct pending
{
  uv_write_t req;
  char data[];
};

static void
on_written (uv_write_t *req, int status)
{
  (void)status; /* a failed write is seen by the reader as well */
  free (req->data);
}

int
h1_write (uv_stream_t *stream, struct rw_str data)
{
  uv_buf_t buf = uv_buf_init ((char *)data.ptr, (unsigned int)data.len);
  int n = uv_try_write (stream, &buf, 1);
  if (n < 0 && n != UV_EAGAIN)
    return n;
  size_t done = n < 0 ? 0 : (size_t)n;
  if (done == data.len)
    return 0;
  struct pending *pending = rw_xmalloc (sizeof *pending + data.len - done);
  memcpy (pending->data, data.ptr + done, data.len - done);
  pending->req.data = pending;
  buf = uv_buf_init (pending->data, (unsigned int)(data.len - done));
  n = uv_write (&pending->req, stream, &buf, 1, on_written);
  if (n < 0)
    free (pending);
  return n;
}
