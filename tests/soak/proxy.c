#include <stdlib.h>

#include "soak.h"

/* One connection of a daemon to the store: two sockets, in both directions. */
struct sok_pipe
{
  struct sok_proxy *proxy;
  struct sok_pipe *next;
  uv_tcp_t near; /* to the daemon */
  uv_tcp_t far;  /* to the store */
  uv_connect_t connect;
  int open; /* handles that are not closed yet */
};

static void
on_closed (uv_handle_t *handle)
{
  struct sok_pipe *pipe = handle->data;
  if (--pipe->open == 0)
    free (pipe);
}

static void
pipe_close (struct sok_pipe *pipe)
{
  struct sok_pipe **at = &pipe->proxy->pipes;
  if (uv_is_closing ((uv_handle_t *)&pipe->near))
    return;
  while (*at != pipe)
    at = &(*at)->next;
  *at = pipe->next;
  uv_close ((uv_handle_t *)&pipe->near, on_closed);
  uv_close ((uv_handle_t *)&pipe->far, on_closed);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  struct sok_pipe *pipe = handle->data;
  (void)size;
  *buf = uv_buf_init (pipe->proxy->soak->scratch, H1_READ_BUF_SIZE);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct sok_pipe *pipe = stream->data;
  bool from_near = stream == (uv_stream_t *)&pipe->near;
  enum sok_proxy_mode mode = pipe->proxy->mode;
  if (n < 0)
    {
      pipe_close (pipe);
      return;
    }
  /* What does not pass is lost, as behind a partition.  */
  if (mode == SOK_PROXY_SILENT || (mode == SOK_PROXY_ONE_WAY && !from_near))
    return;
  uv_tcp_t *to = from_near ? &pipe->far : &pipe->near;
  struct rw_str data = { buf->base, (size_t)n };
  if (n > 0 && h1_write ((uv_stream_t *)to, data) != 0)
    pipe_close (pipe);
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct sok_pipe *pipe = req->data;
  if (uv_is_closing ((uv_handle_t *)&pipe->near))
    return;
  if (status != 0)
    {
      pipe_close (pipe);
      return;
    }
  uv_read_start ((uv_stream_t *)&pipe->near, on_alloc, on_read);
  uv_read_start ((uv_stream_t *)&pipe->far, on_alloc, on_read);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct sok_proxy *proxy = listener->data;
  if (status != 0)
    return;
  struct sok_pipe *pipe = rw_xcalloc (1, sizeof *pipe);
  pipe->proxy = proxy;
  pipe->open = 2;
  uv_tcp_init (&proxy->soak->loop, &pipe->near);
  uv_tcp_init (&proxy->soak->loop, &pipe->far);
  pipe->near.data = pipe->far.data = pipe->connect.data = pipe;
  pipe->next = proxy->pipes;
  proxy->pipes = pipe;
  if (uv_accept (listener, (uv_stream_t *)&pipe->near) != 0
      || proxy->mode == SOK_PROXY_RESET
      || uv_tcp_connect (&pipe->connect, &pipe->far,
                         (struct sockaddr *)&proxy->soak->store, on_connected)
             != 0)
    pipe_close (pipe);
}

int
sok_proxy_init (struct sok_proxy *proxy, struct sok_soak *soak, const char *ip)
{
  struct sockaddr_in addr;
  proxy->soak = soak;
  uv_ip4_addr (ip, SOK_STORE_PORT, &addr);
  uv_tcp_init (&soak->loop, &proxy->listener);
  proxy->listener.data = proxy;
  int r = uv_tcp_bind (&proxy->listener, (struct sockaddr *)&addr, 0);
  return r != 0
             ? r
             : uv_listen ((uv_stream_t *)&proxy->listener, 16, on_connection);
}

void
sok_proxy_set (struct sok_proxy *proxy, enum sok_proxy_mode mode)
{
  proxy->mode = mode;
  while (mode == SOK_PROXY_RESET && proxy->pipes != NULL)
    pipe_close (proxy->pipes);
}
