#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "h1.h"

/* Interval at which all connections are checked for timeouts.  */
#define TIMEOUT_CHECK_MS 500
#define LISTEN_BACKLOG 1024
/* Limit of the input that is buffered while a request is pending; a connection
   that exceeds it is closed.  */
#define MAX_PIPELINED_BYTES (64 * 1024)
/* Time in which a caller can read the last reply before the socket is closed.
   If the caller still sends, closing resets the connection.  */
#define LINGER_TIME (500 * RW_MSEC)
/* A new connection is not idle for this time: its first request is on its way.
 */
#define FIRST_REQUEST_TIME (500 * RW_MSEC)

enum conn_state
{
  CONN_READING, /* idle, or a request is arriving */
  CONN_PENDING, /* a request waits for its reply */
  CONN_LINGER,  /* the last reply was written; input is dropped */
  CONN_CLOSED
};

struct h1_conn
{
  uv_tcp_t tcp;
  struct h1_server *server;
  struct acc_client client;
  struct h1_writer writer;
  struct h1_conn *prev;
  struct h1_conn *next;
  struct h1_reader reader;
  struct rw_buf pipelined; /* input after the pending request */
  enum conn_state state;
  bool in_input;      /* take_input is running */
  bool keep_alive;    /* of the pending request */
  bool continue_sent; /* "100 Continue" */
  bool had_request;
  /* CONN_READING: start of the idle time, or first byte of the request, or
     the last time at which the caller took a part of the replies that it has
     not read; CONN_LINGER: time of the last reply.  */
  rw_time state_since;
  size_t unwritten; /* bytes of replies, at the last check */
  void *data;
};

static rw_time
monotonic_now (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return ts.tv_sec * RW_SEC + ts.tv_nsec / 1000;
}

/* The time at which the present iteration of the loop began.  */
static rw_time
loop_now (const struct h1_server *server)
{
  return (rw_time)uv_now (server->loop) * RW_MSEC;
}

void
h1_conn_message (struct h1_conn *conn, struct h1_message *message)
{
  h1_reader_message (&conn->reader, message);
}

void *
h1_conn_data (const struct h1_conn *conn)
{
  return conn->data;
}

void
h1_conn_set_data (struct h1_conn *conn, void *data)
{
  conn->data = data;
}

static void
on_conn_closed (uv_handle_t *handle)
{
  struct h1_conn *conn = handle->data;
  h1_reader_finish (&conn->reader);
  free (conn);
}

/* Sets the state of CONN in the account, as of the last change of it.  */
static void
update_client (struct h1_conn *conn)
{
  struct acc_client *client = &conn->client;
  client->since = conn->state_since;
  client->keeps = conn->writer.queued - conn->writer.copied;
  switch (conn->state)
    {
    case CONN_READING:
      client->state = conn->writer.queued > 0 ? ACC_UNREAD
                      : conn->reader.started  ? ACC_ARRIVING
                                              : ACC_IDLE;
      break;
    case CONN_PENDING:
      client->state = ACC_SERVED;
      break;
    case CONN_LINGER:
      client->state = conn->writer.queued > 0 ? ACC_UNREAD : ACC_ENDING;
      break;
    case CONN_CLOSED:
      client->state = ACC_ENDING;
      break;
    }
}

/* What CONN holds, without the buffers of its reader.  */
static size_t
held_beside_reader (const struct h1_conn *conn)
{
  return sizeof *conn + conn->pipelined.cap + conn->writer.copied;
}

/* Counts what CONN holds.  */
static void
count_held (struct h1_conn *conn)
{
  update_client (conn);
  acc_set (&conn->client,
           held_beside_reader (conn) + h1_reader_held (&conn->reader));
}

/* Frees the input of CONN that has not been delivered.  */
static void
drop_input (struct h1_conn *conn)
{
  h1_reader_finish (&conn->reader);
  h1_reader_init (&conn->reader, HTTP_REQUEST);
  rw_buf_finish (&conn->pipelined);
}

/* Closes CONN and reports a pending request.  CONN is freed in a later
   iteration of the loop.  */
static void
conn_close (struct h1_conn *conn)
{
  struct h1_server *server = conn->server;
  if (conn->state == CONN_CLOSED)
    return;
  if (conn->state == CONN_PENDING)
    {
      server->busy_count--;
      if (server->ops->on_disconnect != NULL)
        server->ops->on_disconnect (server->arg, conn);
    }
  conn->state = CONN_CLOSED;
  acc_leave (&conn->client);
  if (conn->prev != NULL)
    conn->prev->next = conn->next;
  else
    server->conns = conn->next;
  if (conn->next != NULL)
    conn->next->prev = conn->prev;
  server->conn_count--;
  uv_close ((uv_handle_t *)&conn->tcp, on_conn_closed);
  h1_writer_close (&conn->writer);
  rw_buf_finish (&conn->pipelined);
}

void
h1_conn_abort (struct h1_conn *conn)
{
  conn_close (conn);
}

static void
on_shutdown (uv_shutdown_t *req, int status)
{
  (void)status; /* the timer closes the connection in any case */
  free (req);
}

/* Shuts down the sending side after the last reply and closes the connection
   later: closing a socket with unread input would reset it, and the caller
   could lose the reply.  */
static void
conn_linger (struct h1_conn *conn)
{
  uv_shutdown_t *req = rw_xmalloc (sizeof *req);
  conn->state = CONN_LINGER;
  conn->state_since = monotonic_now ();
  drop_input (conn);
  if (uv_shutdown (req, (uv_stream_t *)&conn->tcp, on_shutdown) != 0)
    {
      free (req);
      conn_close (conn);
      return;
    }
  count_held (conn);
}

static const char *
reason_phrase (int status)
{
  switch (status)
    {
#define PHRASE(num, name, string)                                             \
  case num:                                                                   \
    return #string;
      HTTP_STATUS_MAP (PHRASE)
#undef PHRASE
    default:
      return "Unknown";
    }
}

static void
write_reply (struct h1_conn *conn, const struct h1_reply *reply, bool close)
{
  struct rw_buf out;
  struct rw_str body = reply->body;
  bool no_content = reply->status == 204 || reply->status == 304;
  bool head = conn->reader.parser.method == HTTP_HEAD;
  rw_buf_init (&out);
  rw_buf_printf (&out, "HTTP/1.1 %d %s\r\n", reply->status,
                 reason_phrase (reply->status));
  rw_buf_append_str (&out, reply->headers);
  /* The body of a forwarded reply to HEAD is not known.  */
  if (!no_content && !(head && reply->body.len == 0))
    rw_buf_printf (&out, "Content-Length: %zu\r\n", reply->body.len);
  rw_buf_printf (&out, "%s\r\n", close ? "Connection: close\r\n" : "");
  if (no_content || head)
    body.len = 0;
  if (h1_writer_send (&conn->writer, rw_buf_str (&out), body, reply->blob)
      != 0)
    conn->keep_alive = false;
  conn->unwritten = h1_writer_unwritten (&conn->writer);
  rw_buf_finish (&out);
}

/* Rejects a malformed, too large or too slow request with STATUS and ends the
   connection.  */
static void
reject (struct h1_conn *conn, int status)
{
  struct h1_server *server = conn->server;
  struct h1_reply reply = { .status = status, .close = true };
  if (server->ops->on_bad_request != NULL)
    server->ops->on_bad_request (server->arg, conn, status);
  write_reply (conn, &reply, true);
  conn_linger (conn);
}

static int
error_status (enum h1_parse_error error)
{
  switch (error)
    {
    case H1_PARSE_HEAD_TOO_LARGE:
      return 431;
    case H1_PARSE_BODY_TOO_LARGE:
      return 413;
    case H1_PARSE_OK:
    case H1_PARSE_SYNTAX:
      break;
    }
  return 400;
}

/* Refuses the request of which a part has arrived, for lack of memory.  It has
   not run.  */
static void
refuse_arriving (struct h1_conn *conn, enum acc_cause cause)
{
  struct h1_server *server = conn->server;
  struct h1_reply reply = { .status = 503,
                            .headers = server->refusal,
                            .body = server->refusal_body,
                            .close = true };
  if (server->ops->on_drop != NULL)
    server->ops->on_drop (server->arg, conn, cause, reply.status);
  write_reply (conn, &reply, true);
  conn_linger (conn);
}

/* Ends CONN, whose memory or place is needed.  */
static void
on_drop (struct acc_client *client, enum acc_cause cause)
{
  struct h1_conn *conn = client->owner;
  struct h1_server *server = conn->server;
  if (client->state == ACC_ARRIVING)
    {
      refuse_arriving (conn, cause);
      /* Its buffers are free; the caller may still read the refusal.  */
      if (cause == ACC_FOR_MEMORY)
        return;
    }
  else if (client->state != ACC_ENDING && server->ops->on_drop != NULL)
    server->ops->on_drop (server->arg, conn, cause, 0);
  conn_close (conn);
}

/* Makes room for LEN more bytes of the request that arrives on CONN.  Refuses
   it and returns false if there is none.  */
static bool
make_room (struct h1_conn *conn, size_t len)
{
  update_client (conn);
  if (acc_charge (&conn->client,
                  held_beside_reader (conn)
                      + h1_reader_need (&conn->reader, len),
                  loop_now (conn->server)))
    return true;
  if (conn->client.group != NULL)
    conn->client.group->account->dropped[ACC_FOR_MEMORY]++;
  refuse_arriving (conn, ACC_FOR_MEMORY);
  return false;
}

/* Parses input from the caller and delivers a whole request.  Returns the
   number of bytes that were parsed.  */
static size_t
conn_input (struct h1_conn *conn, const char *data, size_t len)
{
  struct h1_server *server = conn->server;
  struct h1_message message;

  if (!conn->reader.started)
    {
      conn->state_since = monotonic_now ();
      conn->reader.max_head_bytes = server->limits->max_head_bytes;
      conn->reader.max_body_bytes = server->limits->max_body_bytes;
    }
  if (!make_room (conn, len))
    return len;
  size_t consumed = h1_reader_feed (&conn->reader, data, len);
  count_held (conn);
  if (conn->reader.error != H1_PARSE_OK)
    {
      reject (conn, error_status (conn->reader.error));
      return len;
    }
  if (!conn->reader.complete)
    {
      if (conn->reader.head_complete && conn->reader.expects_continue
          && !conn->continue_sent)
        {
          conn->continue_sent = true;
          h1_writer_send (&conn->writer,
                          RW_LIT ("HTTP/1.1 100 Continue\r\n\r\n"),
                          RW_LIT (""), NULL);
        }
      return consumed;
    }
  conn->state = CONN_PENDING;
  conn->had_request = true;
  conn->keep_alive = conn->reader.keep_alive;
  server->busy_count++;
  update_client (conn);
  h1_reader_message (&conn->reader, &message);
  server->ops->on_request (server->arg, conn, &message);
  return consumed;
}

/* Counts what CONN holds after it was answered or has sent ahead, and drops
   what there is no room for, maybe CONN itself.  */
static void
settle (struct h1_conn *conn)
{
  count_held (conn);
  if (conn->writer.queued + conn->pipelined.cap > 0)
    (void)acc_make_room (conn->server->group.account, 0,
                         loop_now (conn->server));
}

/* Whether the next request of CONN may be delivered: the last one was
   answered, and the caller has taken the answer.  */
static bool
is_reading (const struct h1_conn *conn)
{
  return conn->state == CONN_READING && conn->writer.queued == 0;
}

/* Ends CONN, which sends ahead of its answers, for lack of memory.  */
static void
drop_ahead (struct h1_conn *conn)
{
  struct h1_server *server = conn->server;
  if (server->group.account != NULL)
    server->group.account->dropped[ACC_FOR_MEMORY]++;
  if (server->ops->on_drop != NULL)
    server->ops->on_drop (server->arg, conn, ACC_FOR_MEMORY, 0);
  conn_close (conn);
}

/* Keeps DATA, which was sent ahead of an answer.  Ends CONN if that is too
   much for it or for the memory.  */
static void
keep_ahead (struct h1_conn *conn, const char *data, size_t len)
{
  if (len == 0)
    return;
  if (conn->pipelined.len + len > MAX_PIPELINED_BYTES)
    {
      conn_close (conn);
      return;
    }
  update_client (conn);
  conn->client.state = ACC_UNREAD;
  if (!acc_charge (&conn->client,
                   held_beside_reader (conn) - conn->pipelined.cap
                       + rw_buf_need (&conn->pipelined, len)
                       + h1_reader_held (&conn->reader),
                   loop_now (conn->server)))
    {
      drop_ahead (conn);
      return;
    }
  rw_buf_append (&conn->pipelined, data, len);
}

/* Takes DATA, which arrived after what is in conn->pipelined.  Delivers the
   requests in it, one after the other, and keeps the rest.  A loop, because
   each may be answered within its delivery, which ends here again.  */
static void
take_input (struct h1_conn *conn, const char *data, size_t len)
{
  struct rw_buf ahead = conn->pipelined;
  size_t used = 0;
  if (conn->in_input)
    return;
  if (!is_reading (conn))
    {
      keep_ahead (conn, data, len);
      if (conn->state != CONN_CLOSED)
        count_held (conn);
      return;
    }
  rw_buf_init (&conn->pipelined);
  if (ahead.len > 0)
    {
      rw_buf_append (&ahead, data, len);
      data = ahead.ptr;
      len = ahead.len;
    }
  conn->in_input = true;
  while (is_reading (conn) && used < len)
    used += conn_input (conn, data + used, len - used);
  conn->in_input = false;
  if (conn->state == CONN_READING || conn->state == CONN_PENDING)
    keep_ahead (conn, data + used, len - used);
  rw_buf_finish (&ahead);
  if (conn->state != CONN_CLOSED)
    settle (conn);
}

static void
on_read (uv_stream_t *stream, ssize_t n, const uv_buf_t *buf)
{
  struct h1_conn *conn = stream->data;
  if (n == 0)
    return;
  if (n < 0)
    {
      conn_close (conn);
      return;
    }
  switch (conn->state)
    {
    case CONN_READING:
    case CONN_PENDING:
      take_input (conn, buf->base, (size_t)n);
      break;
    case CONN_LINGER:
    case CONN_CLOSED:
      break;
    }
}

/* The caller has taken all replies.  */
static void
on_drained (struct h1_writer *writer)
{
  struct h1_conn *conn = writer->stream->data;
  if (conn->state == CONN_READING && !conn->reader.started)
    conn->state_since = monotonic_now ();
  count_held (conn);
  if (conn->state == CONN_READING)
    take_input (conn, NULL, 0);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  struct h1_conn *conn = handle->data;
  (void)size;
  *buf = uv_buf_init (conn->server->read_buf, H1_READ_BUF_SIZE);
}

void
h1_conn_reply (struct h1_conn *conn, const struct h1_reply *reply)
{
  struct h1_server *server = conn->server;
  bool close = reply->close || !conn->keep_alive || server->draining;

  if (conn->state != CONN_PENDING)
    return;
  write_reply (conn, reply, close);
  server->busy_count--;
  conn->state = CONN_READING;
  if (close || !conn->keep_alive)
    {
      conn_linger (conn);
      if (conn->state == CONN_LINGER)
        settle (conn);
      return;
    }
  h1_reader_reset (&conn->reader);
  conn->continue_sent = false;
  conn->state_since = monotonic_now ();
  if (conn->in_input)
    return;
  settle (conn);
  if (is_reading (conn))
    take_input (conn, NULL, 0);
}

uint32_t
h1_conn_peer (const struct h1_conn *conn)
{
  struct sockaddr_in addr;
  int len = sizeof addr;
  if (uv_tcp_getpeername (&conn->tcp, (struct sockaddr *)&addr, &len) != 0)
    return 0;
  return ntohl (addr.sin_addr.s_addr);
}

static struct h1_conn *
conn_new (struct h1_server *server)
{
  struct h1_conn *conn = rw_xcalloc (1, sizeof *conn);
  uv_tcp_init (server->loop, &conn->tcp);
  conn->tcp.data = conn;
  conn->server = server;
  conn->state_since = monotonic_now ();
  h1_reader_init (&conn->reader, HTTP_REQUEST);
  rw_buf_init (&conn->pipelined);
  h1_writer_init (&conn->writer, (uv_stream_t *)&conn->tcp, on_drained);
  conn->next = server->conns;
  if (conn->next != NULL)
    conn->next->prev = conn;
  server->conns = conn;
  server->conn_count++;
  return conn;
}

/* Begins to read from CONN; R is the result of accepting it.  */
static void
conn_begin (struct h1_conn *conn, int r)
{
  struct h1_server *server = conn->server;
  if (r != 0
      || !acc_enter (&conn->client, &server->group, conn, sizeof *conn,
                     conn->state_since)
      || (server->ops->on_accept != NULL
          && !server->ops->on_accept (server->arg, conn)))
    {
      server->closed_conns++;
      conn_close (conn);
      return;
    }
  uv_tcp_nodelay (&conn->tcp, 1);
  uv_read_start ((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct h1_server *server = listener->data;
  if (status != 0)
    return;
  struct h1_conn *conn = conn_new (server);
  conn_begin (conn, uv_accept (listener, (uv_stream_t *)&conn->tcp));
}

void
h1_server_stop_listening (struct h1_server *server)
{
  uv_os_fd_t listener;
  int fd;
  if (uv_is_closing ((uv_handle_t *)&server->listener))
    return;
  /* Closing the listener would reset the connections that wait there.  */
  if (uv_fileno ((uv_handle_t *)&server->listener, &listener) == 0)
    while ((fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
           >= 0)
      {
        struct h1_conn *conn = conn_new (server);
        int r = uv_tcp_open (&conn->tcp, fd);
        if (r != 0)
          close (fd);
        conn_begin (conn, r);
      }
  uv_close ((uv_handle_t *)&server->listener, NULL);
}

static void
check_timeout (struct h1_conn *conn, rw_time now)
{
  const struct h1_limits *limits = conn->server->limits;
  switch (conn->state)
    {
    case CONN_READING:
      if (conn->writer.queued > 0
          && h1_writer_unwritten (&conn->writer) != conn->unwritten)
        {
          conn->unwritten = h1_writer_unwritten (&conn->writer);
          conn->state_since = now;
          update_client (conn);
        }
      else if (conn->writer.queued > 0 || !conn->reader.started)
        {
          if (now - conn->state_since > limits->idle_timeout)
            conn_close (conn);
        }
      else if (now - conn->state_since > limits->request_timeout)
        reject (conn, 408);
      break;
    case CONN_LINGER:
      if (now - conn->state_since > LINGER_TIME)
        conn_close (conn);
      break;
    case CONN_PENDING:
    case CONN_CLOSED:
      break;
    }
}

static void
on_timeout_check (uv_timer_t *timer)
{
  struct h1_server *server = timer->data;
  rw_time now = monotonic_now ();
  struct h1_conn *next;
  for (struct h1_conn *conn = server->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      check_timeout (conn, now);
    }
}

int
h1_server_init (struct h1_server *server, uv_loop_t *loop,
                const struct sockaddr *addr, struct h1_limits *limits,
                size_t max_conns, const struct h1_server_ops *ops, void *arg)
{
  int r;
  memset (server, 0, sizeof *server);
  server->loop = loop;
  server->ops = ops;
  server->arg = arg;
  server->limits = limits;
  acc_group_init (&server->group, NULL, max_conns, 0, on_drop);
  server->read_buf = rw_xmalloc (H1_READ_BUF_SIZE);
  uv_tcp_init (loop, &server->listener);
  server->listener.data = server;
  uv_timer_init (loop, &server->timeout_timer);
  server->timeout_timer.data = server;
  if ((r = uv_tcp_bind (&server->listener, addr, 0)) != 0
      || (r = uv_listen ((uv_stream_t *)&server->listener, LISTEN_BACKLOG,
                         on_connection))
             != 0)
    return r;
  return uv_timer_start (&server->timeout_timer, on_timeout_check,
                         TIMEOUT_CHECK_MS, TIMEOUT_CHECK_MS);
}

void
h1_server_set_account (struct h1_server *server, struct acc_account *account,
                       size_t reserve, int recv_bytes)
{
  server->group.account = account;
  server->group.reserve = reserve;
  /* Accepted sockets inherit it.  */
  if (recv_bytes > 0)
    uv_recv_buffer_size ((uv_handle_t *)&server->listener, &recv_bytes);
}

void
h1_server_drain (struct h1_server *server)
{
  server->draining = true;
}

/* Returns whether no request is pending on CONN, arriving or on its way as far
   as can be known.  */
static bool
is_idle (const struct h1_conn *conn, rw_time now)
{
  uv_os_fd_t fd;
  int unread = 0;
  if (conn->state != CONN_READING || conn->reader.started
      || (!conn->had_request && now - conn->state_since < FIRST_REQUEST_TIME))
    return false;
  return uv_fileno ((const uv_handle_t *)&conn->tcp, &fd) != 0
         || ioctl (fd, FIONREAD, &unread) != 0 || unread == 0;
}

void
h1_server_close_idle (struct h1_server *server)
{
  rw_time now = monotonic_now ();
  struct h1_conn *next;
  for (struct h1_conn *conn = server->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      if (is_idle (conn, now))
        conn_close (conn);
    }
}

void
h1_server_each_pending (struct h1_server *server,
                        void (*fn) (void *arg, struct h1_conn *conn),
                        void *arg)
{
  struct h1_conn *next;
  for (struct h1_conn *conn = server->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      if (conn->state == CONN_PENDING)
        fn (arg, conn);
    }
}

size_t
h1_server_refuse_arriving (struct h1_server *server,
                           const struct h1_reply *reply)
{
  size_t count = 0;
  struct h1_conn *next;
  for (struct h1_conn *conn = server->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      if (conn->state != CONN_READING || !conn->reader.started)
        continue;
      write_reply (conn, reply, true);
      conn_linger (conn);
      count++;
    }
  return count;
}

void
h1_server_stop (struct h1_server *server)
{
  while (server->conns != NULL)
    conn_close (server->conns);
  if (!uv_is_closing ((uv_handle_t *)&server->listener))
    uv_close ((uv_handle_t *)&server->listener, NULL);
  if (!uv_is_closing ((uv_handle_t *)&server->timeout_timer))
    uv_close ((uv_handle_t *)&server->timeout_timer, NULL);
}

void
h1_server_finish (struct h1_server *server)
{
  free (server->read_buf);
}

void
h1_conn_interim (struct h1_conn *conn, int status)
{
  struct rw_buf out;
  if (conn->state != CONN_PENDING)
    return;
  rw_buf_init (&out);
  rw_buf_printf (&out, "HTTP/1.1 %d %s\r\n\r\n", status,
                 reason_phrase (status));
  h1_writer_send (&conn->writer, rw_buf_str (&out), RW_LIT (""), NULL);
  rw_buf_finish (&out);
}
