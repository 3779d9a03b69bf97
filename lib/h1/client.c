#include <string.h>
#include <sys/socket.h>

#include "h1.h"

static void
on_closed (uv_handle_t *handle)
{
  struct h1_client *client = handle->data;
  h1_reader_finish (&client->reader);
  client->ops->on_closed (client);
}

void
h1_client_close (struct h1_client *client)
{
  if (client->state == H1_CLIENT_CLOSED)
    return;
  client->state = H1_CLIENT_CLOSED;
  uv_close ((uv_handle_t *)&client->tcp, on_closed);
  h1_writer_close (&client->writer);
}

/* Reports the end of the connection and closes it.  */
static void
disconnect (struct h1_client *client, int code)
{
  if (client->state == H1_CLIENT_CLOSED)
    return;
  client->ops->on_disconnect (client, code);
  h1_client_close (client);
}

void
h1_client_limit (struct h1_client *client, size_t max_body_bytes,
                 struct h1_budget *budget)
{
  client->reader.max_body_bytes = max_body_bytes;
  client->reader.budget = budget;
}

/* Makes the client wait for another reply to the pending request.  */
static void
await_another_reply (struct h1_client *client)
{
  bool skip_body = client->reader.skip_body;
  h1_reader_reset (&client->reader);
  client->reader.skip_body = skip_body;
}

/* Delivers a complete reply, or reports an interim (1xx) one.  Input after an
   accepted reply belongs to no request, so the connection is closed.  Returns
   whether the request is answered.  */
static bool
deliver_reply (struct h1_client *client, bool has_extra_input)
{
  struct h1_message reply;
  h1_reader_message (&client->reader, &reply);
  if (reply.status >= 100 && reply.status < 200)
    {
      if (client->ops->on_interim != NULL)
        client->ops->on_interim (client, &reply);
      if (client->state == H1_CLIENT_BUSY)
        await_another_reply (client);
      return false;
    }
  client->reusable = reply.keep_alive;
  client->keep_alive_timeout = h1_keep_alive_timeout (&reply);
  client->state = H1_CLIENT_DELIVERING;
  enum h1_reply_result result = client->ops->on_reply (client, &reply);
  if (client->state == H1_CLIENT_CLOSED)
    return true;
  if (result == H1_REPLY_SKIPPED)
    {
      client->state = H1_CLIENT_BUSY;
      await_another_reply (client);
      if (!client->reusable)
        disconnect (client, RW_E_MISMATCH);
      return false;
    }
  h1_reader_reset (&client->reader);
  if (!client->reusable || has_extra_input)
    {
      disconnect (client, RW_E_RESET);
      return true;
    }
  client->state = H1_CLIENT_IDLE;
  client->ops->on_idle (client);
  return true;
}

/* Counts LEN bytes of input that may turn out to be no answer.  Returns
   whether the server may go on.  */
static bool
count_unused (struct h1_client *client, size_t len)
{
  client->unused_bytes += len;
  if (client->unused_bytes <= client->reader.max_body_bytes)
    return true;
  disconnect (client, RW_E_MISMATCH);
  return false;
}

/* Parses input.  Input without a pending request ends the connection, because
   it could be taken for the reply to the next request.  */
static void
parse_input (struct h1_client *client, const char *data, size_t len)
{
  while (len > 0)
    {
      if (client->state != H1_CLIENT_BUSY)
        {
          disconnect (client, RW_E_MISMATCH);
          return;
        }
      size_t consumed = h1_reader_feed (&client->reader, data, len);
      if (client->reader.error != H1_PARSE_OK)
        {
          disconnect (client, client->reader.error == H1_PARSE_SYNTAX
                                  ? RW_E_PARSE
                                  : RW_E_RANGE);
          return;
        }
      data += consumed;
      len -= consumed;
      if (!client->reader.complete)
        return;
      bool answered = deliver_reply (client, len > 0);
      if (client->state == H1_CLIENT_CLOSED)
        return;
      if (!answered && !count_unused (client, consumed))
        return;
    }
}

/* Returns whether the server closed the connection without a reset.  libuv
   reports UV_EOF also for a connection that was reset after its last bytes;
   recv tells the two apart.  */
static bool
was_orderly_shutdown (struct h1_client *client)
{
  uv_os_fd_t fd;
  char byte;
  if (uv_fileno ((uv_handle_t *)&client->tcp, &fd) != 0)
    return false;
  return recv (fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) == 0;
}

/* Handles the end of the stream.  It completes a reply without a length,
   unless the connection was reset: then the reply may be truncated.  */
static void
handle_eof (struct h1_client *client)
{
  if (client->state == H1_CLIENT_BUSY && client->reader.started
      && was_orderly_shutdown (client))
    {
      h1_reader_feed (&client->reader, NULL, 0);
      if (client->reader.complete)
        {
          client->reader.keep_alive = false;
          (void)deliver_reply (client, false);
        }
    }
  disconnect (client, RW_E_RESET);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct h1_client *client = stream->data;
  if (n > 0)
    parse_input (client, buf->base, (size_t)n);
  else if (n == UV_EOF)
    handle_eof (client);
  else if (n < 0)
    disconnect (client, (int)n);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  struct h1_client *client = handle->data;
  (void)size;
  *buf = uv_buf_init (client->read_buf, H1_READ_BUF_SIZE);
}

static void
on_connect (uv_connect_t *req, int status)
{
  struct h1_client *client = req->data;
  if (client->state == H1_CLIENT_CLOSED)
    return;
  if (status == 0)
    status = uv_read_start ((uv_stream_t *)&client->tcp, on_alloc, on_read);
  if (status != 0)
    {
      disconnect (client, status);
      return;
    }
  uv_tcp_nodelay (&client->tcp, 1);
  client->state = H1_CLIENT_IDLE;
  client->ops->on_idle (client);
}

int
h1_client_init (struct h1_client *client, uv_loop_t *loop,
                const struct sockaddr *addr, char *read_buf,
                const struct h1_client_ops *ops, void *arg)
{
  return h1_client_init_from (client, loop, NULL, addr, read_buf, ops, arg);
}

int
h1_client_init_from (struct h1_client *client, uv_loop_t *loop,
                     const struct sockaddr_in *source,
                     const struct sockaddr *addr, char *read_buf,
                     const struct h1_client_ops *ops, void *arg)
{
  memset (client, 0, sizeof *client);
  uv_tcp_init (loop, &client->tcp);
  client->tcp.data = client;
  client->connect.data = client;
  client->ops = ops;
  client->arg = arg;
  client->read_buf = read_buf;
  client->state = H1_CLIENT_CONNECTING;
  h1_reader_init (&client->reader, HTTP_RESPONSE);
  h1_writer_init (&client->writer, (uv_stream_t *)&client->tcp, NULL);
  int r = source == NULL
              ? 0
              : uv_tcp_bind (&client->tcp, (const struct sockaddr *)source, 0);
  if (r == 0)
    r = uv_tcp_connect (&client->connect, &client->tcp, addr, on_connect);
  if (r != 0)
    h1_client_close (client);
  return r;
}

int
h1_client_send_body (struct h1_client *client, struct rw_str head,
                     struct rw_str body, struct acc_blob *blob, bool skip_body)
{
  if (client->state != H1_CLIENT_IDLE)
    return RW_E_RANGE;
  client->state = H1_CLIENT_BUSY;
  client->request_sent = true;
  client->unused_bytes = 0;
  client->reader.skip_body = skip_body;
  return h1_writer_send (&client->writer, head, body, blob);
}

int
h1_client_send (struct h1_client *client, struct rw_str request,
                bool skip_body)
{
  return h1_client_send_body (client, request, (struct rw_str){ NULL, 0 },
                              NULL, skip_body);
}
