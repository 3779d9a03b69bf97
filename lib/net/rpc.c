#include "net.h"
#include "rpc_udp.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 512
/* Interval at which connecting streams are checked against
   NET_CONNECT_TIMEOUT.  */
#define CONNECT_CHECK_MS 100
#define KEEPALIVE_DELAY_S 5
/* If the kernel does not accept the whole queue, libuv gets whole records up
   to about this number of bytes.  The records behind them stay in the queue
   and count as unsent if the stream breaks.  */
#define WRITE_CHUNK_BYTES ((size_t)64 * 1024)
/* Attempts to find a port that is free for TCP and for UDP.  */
#define PORT_ATTEMPTS 20

struct queued_record
{
  uint64_t token;
  size_t end; /* offset in the queue */
};

struct net_stream
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  struct net_rpc *rpc;
  struct acc_client client; /* of an incoming stream */
  size_t counted;           /* bytes of an outgoing one in the account */
  uint64_t id;
  struct net_addr addr;
  char peer_name[NET_ADDR_TEXT_SIZE]; /* for errors */
  bool outgoing;                      /* opened by this daemon */
  bool connected;
  bool closing;
  bool write_in_progress; /* by uv_write */
  rw_time created_at;
  struct wir_reader reader;
  struct rw_buf queue;           /* records with their marks, not handed to the
                                   transport yet */
  struct rw_buf write_chunk;     /* bytes that uv_write is writing */
  struct queued_record *records; /* in the queue */
  size_t record_count;
  size_t record_cap;
  bool in_flush_list;
  struct net_stream *next_to_flush;
};

/* A stream is not dropped in favour of others for this time after a record:
   the answer may be due on it.  */
#define ACTIVE_TIME (10 * RW_SEC)
/* A larger buffer is freed when it is empty.  */
#define MAX_EMPTY_BYTES ((size_t)64 * 1024)

static uint64_t
addr_key (const struct net_addr *addr)
{
  return rw_hash_u64 (rw_hash (rw_str_from (addr->host)), addr->port);
}

static struct rw_str
get_peer_name (const struct net_stream *stream)
{
  return rw_str_from (stream->peer_name);
}

static void
on_stream_closed (uv_handle_t *handle)
{
  struct net_stream *stream = handle->data;

  wir_reader_finish (&stream->reader);
  rw_buf_finish (&stream->queue);
  rw_buf_finish (&stream->write_chunk);
  free (stream->records);
  free (stream);
}

static size_t
held_bytes (const struct net_stream *stream)
{
  return sizeof *stream + stream->reader.record.cap + stream->queue.cap
         + stream->write_chunk.cap
         + stream->record_cap * sizeof *stream->records;
}

/* Counts what STREAM holds.  */
static void
count_held (struct net_stream *stream)
{
  struct acc_account *account = stream->rpc->incoming.account;
  const struct wir_reader *reader = &stream->reader;
  enum acc_state before = stream->client.state;
  size_t held = held_bytes (stream);

  if (stream->outgoing)
    {
      acc_add (account, held - stream->counted);
      stream->counted = held;
      return;
    }
  acc_set (&stream->client, held);
  if (stream->queue.len > 0 || stream->write_in_progress)
    stream->client.state = ACC_UNREAD;
  else if (reader->in_fragment || reader->mark_len > 0
           || (reader->record.len > 0 && !reader->complete))
    stream->client.state = ACC_ARRIVING;
  else
    stream->client.state = ACC_IDLE;
  if (stream->client.state == before)
    return;
  stream->client.since = rw_now ();
  if (stream->client.state == ACC_IDLE)
    stream->client.since += ACTIVE_TIME;
}

/* Takes STREAM, which closes, out of the account.  */
static void
leave_account (struct net_stream *stream)
{
  acc_leave (&stream->client);
  if (!stream->outgoing)
    return;
  acc_sub (stream->rpc->incoming.account, stream->counted);
  acc_return_place (stream->rpc->incoming.account);
}

static void
report_unsent (struct net_rpc *rpc, uint64_t token)
{
  rpc->counts.records_unsent++;
  rpc->ops->on_unsent (rpc->arg, token);
}

static void
remove_from_flush_list (struct net_rpc *rpc, struct net_stream *stream)
{
  struct net_stream **at = &rpc->flush_list;

  while (*at != NULL && *at != stream)
    at = &(*at)->next_to_flush;
  if (*at != NULL)
    *at = stream->next_to_flush;
  stream->in_flush_list = false;
}

/* Closes STREAM.  Records still in its queue are reported as unsent.  */
static void
close_stream (struct net_stream *stream)
{
  struct net_rpc *rpc = stream->rpc;

  if (stream->closing)
    return;
  stream->closing = true;
  leave_account (stream);
  rw_map_remove (&rpc->streams, stream->id);
  if (stream->outgoing)
    rw_map_remove (&rpc->outgoing_by_addr, addr_key (&stream->addr));
  if (stream->in_flush_list)
    remove_from_flush_list (rpc, stream);
  uv_close ((uv_handle_t *)&stream->tcp, on_stream_closed);
  for (size_t i = 0; i < stream->record_count; i++)
    report_unsent (rpc, stream->records[i].token);
  if (stream->connected)
    rpc->ops->on_closed (rpc->arg, stream->id);
}

/* Reports ERR and closes STREAM.  */
static void
fail_stream (struct net_stream *stream, const struct rw_err *err)
{
  if (stream->closing)
    return;
  stream->rpc->ops->on_error (stream->rpc->arg, err);
  close_stream (stream);
}

static void
fail_uv (struct net_stream *stream, const char *step, int status)
{
  struct rw_err err;

  rw_err_set (&err, status == UV_EOF ? RW_E_RESET : status, step,
              get_peer_name (stream), "%s", uv_strerror (status));
  fail_stream (stream, &err);
}

/* Ends the stream of CLIENT, whose memory or descriptor is needed.  */
static void
on_drop (struct acc_client *client, enum acc_cause cause)
{
  struct net_stream *stream = client->owner;
  struct rw_err err;

  stream->rpc->counts.streams_dropped++;
  rw_err_set (&err, RW_E_QUEUE_FULL, "hold record", get_peer_name (stream),
              "closed for lack of %s",
              cause == ACC_FOR_MEMORY ? "memory" : "descriptors");
  fail_stream (stream, &err);
}

static struct net_stream *
new_stream (struct net_rpc *rpc, bool outgoing)
{
  struct net_stream *stream = rw_xcalloc (1, sizeof *stream);

  stream->rpc = rpc;
  stream->id = rpc->next_stream++;
  stream->outgoing = outgoing;
  stream->created_at = rw_now ();
  wir_reader_init (&stream->reader);
  rw_buf_init (&stream->queue);
  rw_buf_init (&stream->write_chunk);
  uv_tcp_init (rpc->loop, &stream->tcp);
  stream->tcp.data = stream;
  rw_map_put (&rpc->streams, stream->id, stream);
  return stream;
}

/* Sets the socket options.  A peer that was replaced or has lost its network
   does not reset its connections; without TCP_USER_TIMEOUT the kernel would
   retransmit for about 15 minutes.  */
static void
set_options (struct net_stream *stream)
{
  unsigned int timeout = NET_UNACKED_TIMEOUT_MS;
  int fd;

  uv_tcp_nodelay (&stream->tcp, 1);
  uv_tcp_keepalive (&stream->tcp, 1, KEEPALIVE_DELAY_S);
  if (uv_fileno ((uv_handle_t *)&stream->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct net_stream *stream = handle->data;

  (void)suggested;
  *buf = uv_buf_init (stream->rpc->read_buf, RPC_READ_BUF_SIZE);
}

/* Delivers the whole records in INPUT until one is malformed or the stream is
   closed.  */
static void
read_records (struct net_stream *stream, struct rw_str input)
{
  struct net_rpc *rpc = stream->rpc;
  struct rw_str record;
  struct rw_err err;
  int code;

  /* What has been read of a record may double as its buffer grows.  */
  if (!stream->outgoing
      && !acc_charge (&stream->client,
                      held_bytes (stream) - stream->reader.record.cap
                          + rw_buf_need (&stream->reader.record, input.len),
                      rw_now ()))
    {
      on_drop (&stream->client, ACC_FOR_MEMORY);
      return;
    }
  while ((code = wir_reader_next (&stream->reader, &input, &record,
                                  get_peer_name (stream), &err))
         == 1)
    {
      rpc->counts.records_in++;
      stream->client.since = rw_now () + ACTIVE_TIME;
      code = rpc->ops->on_record (rpc->arg, stream->id, record, &err);
      if (code < 0 || stream->closing)
        break;
    }
  if (code < 0)
    fail_stream (stream, &err);
  if (stream->closing)
    return;
  if (stream->reader.complete && stream->reader.record.cap > MAX_EMPTY_BYTES)
    {
      rw_buf_finish (&stream->reader.record);
      stream->reader.complete = false;
    }
  count_held (stream);
}

static void
on_read (uv_stream_t *handle, ssize_t nread, const uv_buf_t *buf)
{
  struct net_stream *stream = handle->data;

  if (nread > 0)
    read_records (stream, (struct rw_str){ buf->base, (size_t)nread });
  else if (nread == UV_EOF && stream->reader.record.len == 0
           && !stream->reader.in_fragment && stream->reader.mark_len == 0)
    close_stream (stream);
  else if (nread < 0)
    fail_uv (stream, "read record", (int)nread);
}

static void
start_reading (struct net_stream *stream)
{
  stream->connected = true;
  set_options (stream);
  uv_read_start ((uv_stream_t *)&stream->tcp, on_alloc, on_read);
}

static void
append_queued_record (struct net_stream *stream, uint64_t token, size_t end)
{
  if (stream->record_count == stream->record_cap)
    {
      stream->record_cap
          = stream->record_cap != 0 ? 2 * stream->record_cap : 16;
      stream->records = rw_xrealloc (
          stream->records, stream->record_cap * sizeof *stream->records);
    }
  stream->records[stream->record_count++]
      = (struct queued_record){ token, end };
}

static void flush_stream (struct net_stream *stream);

/* Reports a new connection.  Records that the owner sends in on_open, such as
   the HELLO, are put before the records queued during the connect.  */
static void
report_open (struct net_stream *stream)
{
  struct net_rpc *rpc = stream->rpc;
  struct rw_buf queued_before = stream->queue;
  struct queued_record *records = stream->records;
  size_t count = stream->record_count;
  size_t prefix_len;

  rw_buf_init (&stream->queue);
  stream->records = NULL;
  stream->record_count = 0;
  stream->record_cap = 0;
  rpc->ops->on_open (rpc->arg, stream->id, &stream->addr);
  prefix_len = stream->queue.len;
  rw_buf_append_str (&stream->queue, rw_buf_str (&queued_before));
  for (size_t i = 0; i < count; i++)
    append_queued_record (stream, records[i].token,
                          prefix_len + records[i].end);
  rw_buf_finish (&queued_before);
  free (records);
}

static void
on_connected (uv_connect_t *req, int status)
{
  struct net_stream *stream = req->handle->data;

  if (status == UV_ECANCELED)
    return;
  if (status < 0)
    {
      fail_uv (stream, "connect", status);
      return;
    }
  start_reading (stream);
  report_open (stream);
  flush_stream (stream);
}

static struct net_stream *
open_stream (struct net_rpc *rpc, const struct net_addr *to)
{
  struct net_stream *stream;
  struct sockaddr_storage sa;
  int rc = net_addr_to_sockaddr (to, &sa);

  if (!acc_take_place (rpc->incoming.account, rw_now ()))
    {
      rpc->counts.streams_refused++;
      return NULL;
    }
  stream = new_stream (rpc, true);
  stream->addr = *to;
  net_addr_format (to, stream->peer_name);
  rw_map_put (&rpc->outgoing_by_addr, addr_key (to), stream);
  if (rc == 0)
    rc = uv_tcp_connect (&stream->connect, &stream->tcp,
                         (const struct sockaddr *)&sa, on_connected);
  if (rc < 0)
    {
      fail_uv (stream, "connect", rc);
      return NULL;
    }
  if (!uv_is_active ((uv_handle_t *)&rpc->connect_timer))
    uv_timer_again (&rpc->connect_timer);
  return stream;
}

/* Returns the stream ID, or the outgoing stream to TO if ID is 0; opens it if
   necessary.  Returns null if there is none, at NET_MAX_STREAMS, or if another
   address has the same hash.  */
static struct net_stream *
find_stream (struct net_rpc *rpc, uint64_t id, const struct net_addr *to)
{
  struct net_stream *stream;

  if (id != 0)
    return rw_map_get (&rpc->streams, id);
  stream = rw_map_get (&rpc->outgoing_by_addr, addr_key (to));
  if (stream == NULL)
    return rpc->streams.len < NET_MAX_STREAMS ? open_stream (rpc, to) : NULL;
  return strcmp (stream->addr.host, to->host) == 0
                 && stream->addr.port == to->port
             ? stream
             : NULL;
}

/* Queues RECORD, without a record mark, on the stream ID or, if ID is 0, on
   the connection to TO, which is opened if necessary.  RECORD is copied;
   net_rpc_flush writes it.  If no byte of it can be handed to the transport,
   on_unsent reports TOKEN, possibly before this returns.  */
void
net_rpc_send (struct net_rpc *rpc, uint64_t id, const struct net_addr *to,
              uint64_t token, struct rw_str record)
{
  struct net_stream *stream = find_stream (rpc, id, to);

  if (stream == NULL || stream->closing
      || stream->queue.len + record.len > NET_MAX_QUEUE_BYTES)
    {
      report_unsent (rpc, token);
      return;
    }
  wir_append_record (&stream->queue, record);
  append_queued_record (stream, token, stream->queue.len);
  count_held (stream);
  rpc->counts.records_out++;
  if (stream->in_flush_list)
    return;
  stream->in_flush_list = true;
  stream->next_to_flush = rpc->flush_list;
  rpc->flush_list = stream;
}

/* Removes the first LEN bytes of the queue and the records that begin in them:
   these were handed to the transport.  The first record begins at START.  */
static void
remove_written (struct net_stream *stream, size_t len, size_t start)
{
  size_t kept = 0;

  for (size_t i = 0; i < stream->record_count; i++)
    {
      size_t end = stream->records[i].end;

      if (start >= len)
        stream->records[kept++]
            = (struct queued_record){ stream->records[i].token, end - len };
      start = end;
    }
  stream->record_count = kept;
  rw_buf_consume (&stream->queue, len);
}

static void
on_written (uv_write_t *req, int status)
{
  struct net_stream *stream = req->handle->data;

  stream->write_in_progress = false;
  if (status == UV_ECANCELED)
    return;
  stream->client.since = rw_now ();
  if (stream->write_chunk.cap > 2 * MAX_EMPTY_BYTES)
    rw_buf_finish (&stream->write_chunk);
  if (status < 0)
    {
      fail_uv (stream, "write record", status);
      return;
    }
  flush_stream (stream);
}

/* Hands the start of the queue to libuv: PARTIAL bytes, the rest of a record
   that was written in part, then whole records up to about
   WRITE_CHUNK_BYTES.  */
static void
continue_write (struct net_stream *stream, size_t partial)
{
  size_t len = partial;
  uv_buf_t buf;
  int rc;

  for (size_t i = 0; i < stream->record_count && len < WRITE_CHUNK_BYTES; i++)
    len = stream->records[i].end;
  stream->write_chunk.len = 0;
  rw_buf_append (&stream->write_chunk, stream->queue.ptr, len);
  remove_written (stream, len, partial);
  buf = uv_buf_init (stream->write_chunk.ptr, (unsigned int)len);
  stream->write_in_progress = true;
  rc = uv_write (&stream->write, (uv_stream_t *)&stream->tcp, &buf, 1,
                 on_written);
  if (rc < 0)
    {
      stream->write_in_progress = false;
      fail_uv (stream, "write record", rc);
    }
}

/* Returns how many bytes of a record remain if the first LEN bytes of the
   queue were written and end within that record, or else 0.  */
static size_t
partial_record_rest (const struct net_stream *stream, size_t len)
{
  size_t start = 0;

  for (size_t i = 0; i < stream->record_count && start < len; i++)
    start = stream->records[i].end;
  return start > len ? start - len : 0;
}

/* Writes the queue of STREAM in one call, as far as the kernel accepts it, and
   hands libuv a chunk of the rest.  */
static void
flush_stream (struct net_stream *stream)
{
  uv_buf_t buf;
  size_t partial;
  int rc;

  if (!stream->connected || stream->closing || stream->write_in_progress
      || stream->queue.len == 0)
    return;
  buf = uv_buf_init (stream->queue.ptr, (unsigned int)stream->queue.len);
  stream->rpc->counts.writes++;
  rc = uv_try_write ((uv_stream_t *)&stream->tcp, &buf, 1);
  if (rc == UV_EAGAIN)
    rc = 0;
  if (rc < 0)
    {
      fail_uv (stream, "write record", rc);
      return;
    }
  partial = partial_record_rest (stream, (size_t)rc);
  if (rc > 0)
    remove_written (stream, (size_t)rc, 0);
  if (stream->queue.len > 0)
    continue_write (stream, partial);
  if (stream->closing)
    return;
  if (stream->queue.len == 0 && stream->queue.cap > MAX_EMPTY_BYTES)
    rw_buf_finish (&stream->queue);
  count_held (stream);
}

/* Writes what net_rpc_send queued: one write for each stream.  Called once in
   an iteration of the loop, before it waits.  */
void
net_rpc_flush (struct net_rpc *rpc)
{
  while (rpc->flush_list != NULL)
    {
      struct net_stream *stream = rpc->flush_list;

      rpc->flush_list = stream->next_to_flush;
      stream->in_flush_list = false;
      flush_stream (stream);
    }
  (void)acc_make_room (rpc->incoming.account, 0, rw_now ());
}

static void
on_connection (uv_stream_t *handle, int status)
{
  struct net_rpc *rpc = handle->data;
  struct net_stream *stream;
  struct sockaddr_storage sa;
  int len = sizeof sa;

  if (status < 0)
    return;
  stream = new_stream (rpc, false);
  if (!acc_enter (&stream->client, &rpc->incoming, stream, sizeof *stream,
                  stream->created_at))
    {
      rpc->counts.streams_refused++;
      uv_accept (handle, (uv_stream_t *)&stream->tcp);
      close_stream (stream);
      return;
    }
  if (uv_accept (handle, (uv_stream_t *)&stream->tcp) < 0)
    {
      close_stream (stream);
      return;
    }
  if (uv_tcp_getpeername (&stream->tcp, (struct sockaddr *)&sa, &len) == 0
      && net_addr_from_sockaddr ((struct sockaddr *)&sa, &stream->addr) == 0)
    net_addr_format (&stream->addr, stream->peer_name);
  start_reading (stream);
}

/* Returns a stream that has been connecting for too long, or null, and counts
   the streams that are connecting.  */
static struct net_stream *
find_overdue_connect (struct net_rpc *rpc, rw_time now, size_t *connecting)
{
  struct net_stream *stream;
  size_t position = 0;

  *connecting = 0;
  while ((stream = rw_map_next (&rpc->streams, &position)) != NULL)
    {
      if (stream->connected)
        continue;
      if (now - stream->created_at >= NET_CONNECT_TIMEOUT)
        return stream;
      (*connecting)++;
    }
  return NULL;
}

static void
on_connect_check (uv_timer_t *timer)
{
  struct net_rpc *rpc = timer->data;
  rw_time now = rw_now ();
  struct net_stream *overdue;
  size_t connecting;

  while ((overdue = find_overdue_connect (rpc, now, &connecting)) != NULL)
    fail_uv (overdue, "connect", UV_ETIMEDOUT);
  if (connecting == 0)
    uv_timer_stop (timer);
}

static int
bind_tcp (struct net_rpc *rpc, const struct net_addr *addr)
{
  struct sockaddr_storage sa;
  struct net_addr bound;
  int len = sizeof sa;
  int rc = net_addr_to_sockaddr (addr, &sa);

  uv_tcp_init (rpc->loop, &rpc->listener);
  rpc->listener.data = rpc;
  if (rc == 0)
    rc = uv_tcp_bind (&rpc->listener, (struct sockaddr *)&sa, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&rpc->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc == 0)
    rc = uv_tcp_getsockname (&rpc->listener, (struct sockaddr *)&sa, &len);
  if (rc == 0)
    rc = net_addr_from_sockaddr ((struct sockaddr *)&sa, &bound);
  if (rc == 0)
    rpc->port = bound.port;
  return rc;
}

/* Closes the sockets of a failed attempt, and runs the loop once, so that the
   handles can be used again.  */
static void
close_sockets (struct net_rpc *rpc, bool udp)
{
  uv_close ((uv_handle_t *)&rpc->listener, NULL);
  if (udp)
    uv_close ((uv_handle_t *)&rpc->udp, NULL);
  uv_run (rpc->loop, UV_RUN_NOWAIT);
}

/* Binds TCP and UDP to the same port.  With port 0, another TCP port is tried
   if the number is in use for UDP.  */
static int
bind_sockets (struct net_rpc *rpc, const struct net_addr *addr)
{
  int rc = 0;

  for (int i = 0; i < PORT_ATTEMPTS; i++)
    {
      bool udp = false;

      rc = bind_tcp (rpc, addr);
      if (rc == 0)
        {
          udp = true;
          rc = net_rpc_bind_udp (rpc, addr);
        }
      if (rc == 0)
        return 0;
      close_sockets (rpc, udp);
      if (addr->port != 0)
        return rc;
    }
  return rc;
}

/* Listens on ADDR, TCP and UDP, and reports events to OPS with ARG.  Port 0
   selects a free port, which is stored in RPC->port.  Returns 0, or a negative
   error number after setting ERR.  */
int
net_rpc_init (struct net_rpc *rpc, uv_loop_t *loop,
              const struct net_addr *addr, const struct net_rpc_ops *ops,
              void *arg, struct rw_err *err)
{
  char name[NET_ADDR_TEXT_SIZE];
  int rc;

  memset (rpc, 0, sizeof *rpc);
  rpc->loop = loop;
  rpc->ops = ops;
  rpc->arg = arg;
  rpc->next_stream = 1;
  acc_group_init (&rpc->incoming, NULL, NET_MAX_STREAMS, 0, on_drop);
  rw_map_init (&rpc->streams);
  rw_map_init (&rpc->outgoing_by_addr);
  rc = bind_sockets (rpc, addr);
  if (rc < 0)
    return rw_err_set (err, rc, "listen rpc", net_addr_format (addr, name),
                       "%s", uv_strerror (rc));
  rpc->read_buf = rw_xmalloc (RPC_READ_BUF_SIZE);
  uv_timer_init (loop, &rpc->connect_timer);
  rpc->connect_timer.data = rpc;
  uv_timer_start (&rpc->connect_timer, on_connect_check, CONNECT_CHECK_MS,
                  CONNECT_CHECK_MS);
  return 0;
}

/* Counts the streams in ACCOUNT, which must outlive RPC: at most MAX_INCOMING
   that peers have opened, of which RESERVE are not dropped for connections of
   other listeners.  RECV_BYTES limits what the kernel keeps of a stream's
   input.  To be called before there are streams.  */
void
net_rpc_set_account (struct net_rpc *rpc, struct acc_account *account,
                     size_t max_incoming, size_t reserve, int recv_bytes)
{
  rpc->incoming.account = account;
  rpc->incoming.reserve = reserve;
  if (max_incoming < NET_MAX_STREAMS)
    rpc->incoming.max = max_incoming;
  uv_recv_buffer_size ((uv_handle_t *)&rpc->listener, &recv_bytes);
}

static void
on_connect_timer_closed (uv_handle_t *handle)
{
  struct net_rpc *rpc = handle->data;

  rw_map_finish (&rpc->streams);
  rw_map_finish (&rpc->outgoing_by_addr);
  free (rpc->read_buf);
}

/* Closes the sockets and all streams, whose queued records are reported as
   unsent.  RPC must stay valid until the loop has run the close callbacks.  */
void
net_rpc_finish (struct net_rpc *rpc)
{
  struct net_stream *stream;
  size_t position = 0;

  while ((stream = rw_map_next (&rpc->streams, &position)) != NULL)
    {
      close_stream (stream);
      position = 0;
    }
  uv_close ((uv_handle_t *)&rpc->listener, NULL);
  uv_close ((uv_handle_t *)&rpc->udp, NULL);
  uv_close ((uv_handle_t *)&rpc->connect_timer, on_connect_timer_closed);
}
