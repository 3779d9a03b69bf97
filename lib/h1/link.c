#include <string.h>
#include <sys/socket.h>

#include "h1.h"

static void
on_finished (uv_handle_t *handle)
{
  struct h1_client *link = handle->data;
  h1_reader_finish (&link->reader);
  link->ops->on_closed (link);
}

void
h1_client_close (struct h1_client *link)
{
  if (link->state == H1_CLIENT_CLOSED)
    return;
  link->state = H1_CLIENT_CLOSED;
  uv_close ((uv_handle_t *)&link->tcp, on_finished);
}

static void
lose (struct h1_client *link, int code)
{
  if (link->state == H1_CLIENT_CLOSED)
    return;
  link->ops->on_disconnect (link, code);
  h1_client_close (link);
}

/* Hands over a complete reply.  Bytes after it belong to no request, so the
   link ends with them.  */
static void
take_reply (struct h1_client *link, bool bytes_left)
{
  struct h1_message reply;
  h1_reader_message (&link->reader, &reply);
  if (reply.status >= 100 && reply.status < 200)
    {
      h1_reader_reset (&link->reader);
      return;
    }
  link->reusable = reply.keep_alive;
  link->keep_alive_timeout = h1_keep_alive_timeout (&reply);
  link->state = H1_CLIENT_DELIVERING;
  enum h1_reply_result verdict = link->ops->on_reply (link, &reply);
  if (link->state == H1_CLIENT_CLOSED)
    return;
  bool skip_body = link->reader.skip_body;
  h1_reader_reset (&link->reader);
  if (verdict == H1_REPLY_SKIPPED)
    {
      link->state = H1_CLIENT_BUSY;
      link->reader.skip_body = skip_body;
      if (!link->reusable)
        lose (link, RW_E_MISMATCH);
      return;
    }
  if (!link->reusable || bytes_left)
    {
      lose (link, RW_E_RESET);
      return;
    }
  link->state = H1_CLIENT_IDLE;
  link->ops->on_idle (link);
}

static void
link_input (struct h1_client *link, const char *data, size_t len)
{
  while (len > 0)
    {
      if (link->state != H1_CLIENT_BUSY)
        {
          lose (link, RW_E_MISMATCH);
          return;
        }
      size_t taken = h1_reader_feed (&link->reader, data, len);
      if (link->reader.error != H1_PARSE_OK)
        {
          lose (link, RW_E_PARSE);
          return;
        }
      data += taken;
      len -= taken;
      if (!link->reader.complete)
        return;
      take_reply (link, len > 0);
      if (link->state == H1_CLIENT_CLOSED)
        return;
    }
}

/* Whether the connection was closed in order.  libuv reports the end of the
   stream for a connection that was reset after its last bytes as well.  */
static bool
closed_in_order (struct h1_client *link)
{
  uv_os_fd_t fd;
  char byte;
  if (uv_fileno ((uv_handle_t *)&link->tcp, &fd) != 0)
    return false;
  return recv (fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
}

/* The target ended the connection: a reply without a length ends here, unless
   the connection was reset.  */
static void
link_eof (struct h1_client *link)
{
  if (link->state == H1_CLIENT_BUSY && link->reader.started
      && closed_in_order (link))
    {
      h1_reader_feed (&link->reader, NULL, 0);
      if (link->reader.complete)
        {
          link->reader.keep_alive = false;
          take_reply (link, false);
        }
    }
  lose (link, RW_E_RESET);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct h1_client *link = stream->data;
  if (n > 0)
    link_input (link, buf->base, (size_t)n);
  else if (n == UV_EOF)
    link_eof (link);
  else if (n < 0)
    lose (link, (int)n);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  struct h1_client *link = handle->data;
  (void)size;
  *buf = uv_buf_init (link->read_buf, H1_READ_BUF_SIZE);
}

static void
on_connect (uv_connect_t *req, int status)
{
  struct h1_client *link = req->data;
  if (link->state == H1_CLIENT_CLOSED)
    return;
  if (status == 0)
    status = uv_read_start ((uv_stream_t *)&link->tcp, on_alloc, on_read);
  if (status != 0)
    {
      lose (link, status);
      return;
    }
  uv_tcp_nodelay (&link->tcp, 1);
  link->state = H1_CLIENT_IDLE;
  link->ops->on_idle (link);
}

int
h1_client_init (struct h1_client *link, uv_loop_t *loop,
                const struct sockaddr *addr, char *scratch,
                const struct h1_client_ops *ops, void *arg)
{
  memset (link, 0, sizeof *link);
  uv_tcp_init (loop, &link->tcp);
  link->tcp.data = link;
  link->connect.data = link;
  link->ops = ops;
  link->arg = arg;
  link->read_buf = scratch;
  link->state = H1_CLIENT_CONNECTING;
  h1_reader_init (&link->reader, HTTP_RESPONSE);
  int r = uv_tcp_connect (&link->connect, &link->tcp, addr, on_connect);
  if (r != 0)
    h1_client_close (link);
  return r;
}

int
h1_client_send (struct h1_client *link, struct rw_str request, bool skip_body)
{
  if (link->state != H1_CLIENT_IDLE)
    return RW_E_RANGE;
  link->state = H1_CLIENT_BUSY;
  link->request_sent = true;
  link->reader.skip_body = skip_body;
  return h1_write ((uv_stream_t *)&link->tcp, request);
}
