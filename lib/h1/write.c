#include <stdlib.h>
#include <string.h>

#include "h1.h"

/* Bytes that the socket did not accept at once.  */
struct h1_pending
{
  uv_write_t req;
  struct h1_writer *writer; /* null: the connection is closing */
  struct h1_pending *next;
  size_t size;
  struct acc_blob *blob; /* holds what is not in DATA; may be null */
  size_t copied;         /* bytes of DATA */
  char data[];
};

void
h1_writer_init (struct h1_writer *writer, uv_stream_t *stream,
                void (*on_drained) (struct h1_writer *writer))
{
  *writer = (struct h1_writer){ .stream = stream, .on_drained = on_drained };
}

static void
remove_pending (struct h1_writer *writer, const struct h1_pending *pending)
{
  struct h1_pending **slot = &writer->first;
  while (*slot != pending)
    slot = &(*slot)->next;
  *slot = pending->next;
  writer->queued -= pending->size;
  writer->copied -= pending->copied;
}

static void
on_written (uv_write_t *req, int status)
{
  struct h1_pending *pending = req->data;
  struct h1_writer *writer = pending->writer;
  (void)status; /* a failed write also ends reading with an error */
  acc_blob_unref (pending->blob);
  if (writer != NULL)
    remove_pending (writer, pending);
  free (pending);
  if (writer != NULL && writer->first == NULL && writer->on_drained != NULL)
    writer->on_drained (writer);
}

/* Lets libuv write HEAD, which is copied, and BODY, which is in BLOB or is
   copied as well.  WRITER may be null.  */
static int
write_later (uv_stream_t *stream, struct h1_writer *writer, struct rw_str head,
             struct rw_str body, struct acc_blob *blob)
{
  size_t copied = head.len + (blob == NULL ? body.len : 0);
  struct h1_pending *pending = rw_xmalloc (sizeof *pending + copied);
  uv_buf_t bufs[2];
  unsigned int count = 0;
  if (head.len > 0)
    memcpy (pending->data, head.ptr, head.len);
  if (blob == NULL && body.len > 0)
    memcpy (pending->data + head.len, body.ptr, body.len);
  pending->req.data = pending;
  pending->writer = writer;
  pending->size = head.len + body.len;
  pending->copied = copied;
  pending->blob = acc_blob_ref (blob);
  if (copied > 0)
    bufs[count++] = uv_buf_init (pending->data, (unsigned int)copied);
  if (blob != NULL && body.len > 0)
    bufs[count++] = uv_buf_init ((char *)body.ptr, (unsigned int)body.len);
  int r = uv_write (&pending->req, stream, bufs, count, on_written);
  if (r < 0)
    {
      acc_blob_unref (pending->blob);
      free (pending);
      return r;
    }
  if (writer == NULL)
    return 0;
  pending->next = writer->first;
  writer->first = pending;
  writer->queued += pending->size;
  writer->copied += copied;
  return 0;
}

/* Writes what the socket accepts of HEAD and BODY at once, and takes that off
   them.  Returns 0 or a negative error number.  */
static int
write_now (uv_stream_t *stream, struct rw_str *head, struct rw_str *body)
{
  uv_buf_t bufs[2]
      = { uv_buf_init ((char *)head->ptr, (unsigned int)head->len),
          uv_buf_init ((char *)body->ptr, (unsigned int)body->len) };
  int n = uv_try_write (stream, bufs, body->len > 0 ? 2 : 1);
  if (n == UV_EAGAIN)
    return 0;
  if (n < 0)
    return n;
  size_t of_head = (size_t)n < head->len ? (size_t)n : head->len;
  size_t of_body = (size_t)n - of_head;
  *head = (struct rw_str){ head->ptr + of_head, head->len - of_head };
  *body = (struct rw_str){ body->ptr + of_body, body->len - of_body };
  return 0;
}

int
h1_writer_send (struct h1_writer *writer, struct rw_str head,
                struct rw_str body, struct acc_blob *blob)
{
  int r = write_now (writer->stream, &head, &body);
  if (r != 0 || head.len + body.len == 0)
    return r;
  return write_later (writer->stream, writer, head, body,
                      body.len > 0 ? blob : NULL);
}

int
h1_write (uv_stream_t *stream, struct rw_str data)
{
  struct rw_str none = { NULL, 0 };
  int r = write_now (stream, &data, &none);
  return r != 0 || data.len == 0
             ? r
             : write_later (stream, NULL, data, none, NULL);
}

size_t
h1_writer_unwritten (const struct h1_writer *writer)
{
  return uv_stream_get_write_queue_size (writer->stream);
}

void
h1_writer_close (struct h1_writer *writer)
{
  for (struct h1_pending *p = writer->first; p != NULL; p = p->next)
    {
      /* Nothing is written once the stream closes.  */
      p->writer = NULL;
      acc_blob_unref (p->blob);
      p->blob = NULL;
    }
  writer->first = NULL;
  writer->queued = 0;
  writer->copied = 0;
}
