#include "net.h"

#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define READ_SIZE ((size_t)64 * 1024)
#define BACKLOG 512
#define SWEEP_MS 100
/* A write that the kernel does not take at once is continued by libuv with
   whole records of about this size.  The records behind them are still unsent
   if the stream breaks.  */
#define FLIGHT_SIZE ((size_t)64 * 1024)
/* Attempts to find a port that is free for TCP and for UDP.  */
#define PORT_ATTEMPTS 20

/* A queued record: where it ends in the queue.  */
struct queued
{
  uint64_t token;
  size_t end;
};

struct net_stream
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  uv_write_t write;
  struct net_rpc *rpc;
  uint64_t id;
  struct net_addr addr;
  char name[NET_ADDR_TEXT_SIZE]; /* of the peer, for errors */
  bool outgoing;
  bool connected;
  bool closing;
  bool writing;
  rw_time started;
  struct wir_reader reader;
  struct rw_buf queue;  /* marked records not handed to the kernel */
  struct rw_buf flight; /* bytes handed to uv_write */
  struct queued *records;
  size_t record_count;
  size_t record_cap;
  bool dirty;
  struct net_stream *next_dirty;
};

static uint64_t
addr_key (const struct net_addr *addr)
{
  return rw_hash_u64 (rw_hash (rw_str_from (addr->host)), addr->port);
}

static struct rw_str
peer_of (const struct net_stream *stream)
{
  return rw_str_from (stream->name);
}

static void
on_stream_freed (uv_handle_t *handle)
{
  struct net_stream *stream = handle->data;

  wir_reader_finish (&stream->reader);
  rw_buf_finish (&stream->queue);
  rw_buf_finish (&stream->flight);
  free (stream->records);
  free (stream);
}

static void
report_unsent (struct net_rpc *rpc, uint64_t token)
{
  rpc->counts.records_unsent++;
  rpc->ops->on_unsent (rpc->arg, token);
}

static void
remove_dirty (struct net_rpc *rpc, struct net_stream *stream)
{
  struct net_stream **at = &rpc->flush_list;

  while (*at != NULL && *at != stream)
    at = &(*at)->next_dirty;
  if (*at != NULL)
    *at = stream->next_dirty;
  stream->dirty = false;
}

/* Closes STREAM.  Records still in its queue are reported as unsent.  */
static void
close_stream (struct net_stream *stream)
{
  struct net_rpc *rpc = stream->rpc;

  if (stream->closing)
    return;
  stream->closing = true;
  rw_map_remove (&rpc->streams, stream->id);
  if (stream->outgoing)
    rw_map_remove (&rpc->outgoing_by_addr, addr_key (&stream->addr));
  if (stream->dirty)
    remove_dirty (rpc, stream);
  uv_close ((uv_handle_t *)&stream->tcp, on_stream_freed);
  for (size_t i = 0; i < stream->record_count; i++)
    report_unsent (rpc, stream->records[i].token);
  if (stream->connected)
    rpc->ops->on_closed (rpc->arg, stream->id);
}

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
              peer_of (stream), "%s", uv_strerror (status));
  fail_stream (stream, &err);
}

static struct net_stream *
new_stream (struct net_rpc *rpc, bool outgoing)
{
  struct net_stream *stream = rw_xcalloc (1, sizeof *stream);

  stream->rpc = rpc;
  stream->id = rpc->next_stream++;
  stream->outgoing = outgoing;
  stream->started = rw_now ();
  wir_reader_init (&stream->reader);
  rw_buf_init (&stream->queue);
  rw_buf_init (&stream->flight);
  uv_tcp_init (rpc->loop, &stream->tcp);
  stream->tcp.data = stream;
  rw_map_put (&rpc->streams, stream->id, stream);
  return stream;
}

/* A peer that was replaced or is cut off does not reset its connections, so
   that the kernel's own limit of about 15 minutes would apply.  */
static void
set_options (struct net_stream *stream)
{
  unsigned int timeout = NET_UNACKED_TIMEOUT_MS;
  int fd;

  uv_tcp_nodelay (&stream->tcp, 1);
  uv_tcp_keepalive (&stream->tcp, 1, 5);
  if (uv_fileno ((uv_handle_t *)&stream->tcp, &fd) == 0)
    setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

static void
on_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct net_stream *stream = handle->data;

  (void)suggested;
  *buf = uv_buf_init (stream->rpc->read_buf, READ_SIZE);
}

static void
take_records (struct net_stream *stream, struct rw_str input)
{
  struct net_rpc *rpc = stream->rpc;
  struct rw_str record;
  struct rw_err err;
  int code;

  while ((code = wir_reader_next (&stream->reader, &input, &record,
                                  peer_of (stream), &err))
         == 1)
    {
      rpc->counts.records_in++;
      code = rpc->ops->on_record (rpc->arg, stream->id, record, &err);
      if (code < 0 || stream->closing)
        break;
    }
  if (code < 0)
    fail_stream (stream, &err);
}

static void
on_read (uv_stream_t *handle, ssize_t nread, const uv_buf_t *buf)
{
  struct net_stream *stream = handle->data;

  if (nread > 0)
    take_records (stream, (struct rw_str){ buf->base, (size_t)nread });
  else if (nread == UV_EOF && stream->reader.record.len == 0
           && !stream->reader.in_fragment && stream->reader.mark_len == 0)
    close_stream (stream);
  else if (nread < 0)
    fail_uv (stream, "read record", (int)nread);
}

static void
start_stream (struct net_stream *stream)
{
  stream->connected = true;
  set_options (stream);
  uv_read_start ((uv_stream_t *)&stream->tcp, on_alloc, on_read);
}

static void
add_record (struct net_stream *stream, uint64_t token, size_t end)
{
  if (stream->record_count == stream->record_cap)
    {
      stream->record_cap
          = stream->record_cap != 0 ? 2 * stream->record_cap : 16;
      stream->records = rw_xrealloc (
          stream->records, stream->record_cap * sizeof *stream->records);
    }
  stream->records[stream->record_count++] = (struct queued){ token, end };
}

static void flush_stream (struct net_stream *stream);

/* Lets the owner send first what must arrive first, a HELLO, and puts the
   records that waited for the connection behind it.  */
static void
report_open (struct net_stream *stream)
{
  struct net_rpc *rpc = stream->rpc;
  struct rw_buf waiting = stream->queue;
  struct queued *records = stream->records;
  size_t count = stream->record_count;
  size_t shift;

  rw_buf_init (&stream->queue);
  stream->records = NULL;
  stream->record_count = 0;
  stream->record_cap = 0;
  rpc->ops->on_open (rpc->arg, stream->id, &stream->addr);
  shift = stream->queue.len;
  rw_buf_append_str (&stream->queue, rw_buf_str (&waiting));
  for (size_t i = 0; i < count; i++)
    add_record (stream, records[i].token, shift + records[i].end);
  rw_buf_finish (&waiting);
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
  start_stream (stream);
  report_open (stream);
  flush_stream (stream);
}

static struct net_stream *
open_stream (struct net_rpc *rpc, const struct net_addr *to)
{
  struct net_stream *stream = new_stream (rpc, true);
  struct sockaddr_storage sa;
  int rc = net_addr_to_sockaddr (to, &sa);

  stream->addr = *to;
  net_addr_format (to, stream->name);
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

/* Returns the stream for a record, opened if need be, or null.  */
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

/* Queues RECORD, without record mark, on STREAM or, if that is 0, on the
   connection to TO.  net_rpc_flush writes it.  If no byte of it can be handed
   to the transport, on_unsent reports TOKEN, perhaps before this returns.  */
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
  add_record (stream, token, stream->queue.len);
  rpc->counts.records_out++;
  if (stream->dirty)
    return;
  stream->dirty = true;
  stream->next_dirty = rpc->flush_list;
  rpc->flush_list = stream;
}

/* Drops the first LEN bytes of the queue and the records that begin there:
   they count as handed to the transport.  The first record begins at START. */
static void
drop_sent (struct net_stream *stream, size_t len, size_t start)
{
  size_t kept = 0;

  for (size_t i = 0; i < stream->record_count; i++)
    {
      size_t end = stream->records[i].end;

      if (start >= len)
        stream->records[kept++]
            = (struct queued){ stream->records[i].token, end - len };
      start = end;
    }
  stream->record_count = kept;
  rw_buf_consume (&stream->queue, len);
}

static void
on_written (uv_write_t *req, int status)
{
  struct net_stream *stream = req->handle->data;

  stream->writing = false;
  if (status == UV_ECANCELED)
    return;
  if (status < 0)
    {
      fail_uv (stream, "write record", status);
      return;
    }
  flush_stream (stream);
}

/* Hands the rest of a record that was written in part, and whole records of
   about FLIGHT_SIZE, to libuv.  */
static void
continue_write (struct net_stream *stream, size_t partial)
{
  size_t len = partial;
  uv_buf_t buf;
  int rc;

  for (size_t i = 0; i < stream->record_count && len < FLIGHT_SIZE; i++)
    len = stream->records[i].end;
  stream->flight.len = 0;
  rw_buf_append (&stream->flight, stream->queue.ptr, len);
  drop_sent (stream, len, partial);
  buf = uv_buf_init (stream->flight.ptr, (unsigned int)len);
  stream->writing = true;
  rc = uv_write (&stream->write, (uv_stream_t *)&stream->tcp, &buf, 1,
                 on_written);
  if (rc < 0)
    {
      stream->writing = false;
      fail_uv (stream, "write record", rc);
    }
}

/* Returns the length of the rest of the record that ends after LEN bytes were
   written.  */
static size_t
partial_after (const struct net_stream *stream, size_t len)
{
  size_t start = 0;

  for (size_t i = 0; i < stream->record_count && start < len; i++)
    start = stream->records[i].end;
  return start > len ? start - len : 0;
}

/* Writes the queue of STREAM in one call, as far as the kernel takes it.  */
static void
flush_stream (struct net_stream *stream)
{
  uv_buf_t buf;
  size_t partial;
  int rc;

  if (!stream->connected || stream->closing || stream->writing
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
  partial = partial_after (stream, (size_t)rc);
  if (rc > 0)
    drop_sent (stream, (size_t)rc, 0);
  if (stream->queue.len > 0)
    continue_write (stream, partial);
}

/* Writes what net_rpc_send queued: one write for each stream.  Called once in
   an iteration of the loop, before it waits.  */
void
net_rpc_flush (struct net_rpc *rpc)
{
  while (rpc->flush_list != NULL)
    {
      struct net_stream *stream = rpc->flush_list;

      rpc->flush_list = stream->next_dirty;
      stream->dirty = false;
      flush_stream (stream);
    }
}

static void
on_refused_freed (uv_handle_t *handle)
{
  free (handle);
}

/* Closes a connection above the limit.  */
static void
refuse_stream (struct net_rpc *rpc)
{
  uv_tcp_t *tcp = rw_xcalloc (1, sizeof *tcp);

  rpc->counts.streams_refused++;
  uv_tcp_init (rpc->loop, tcp);
  uv_accept ((uv_stream_t *)&rpc->listener, (uv_stream_t *)tcp);
  uv_close ((uv_handle_t *)tcp, on_refused_freed);
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
  if (rpc->streams.len >= NET_MAX_STREAMS)
    {
      refuse_stream (rpc);
      return;
    }
  stream = new_stream (rpc, false);
  if (uv_accept (handle, (uv_stream_t *)&stream->tcp) < 0)
    {
      close_stream (stream);
      return;
    }
  if (uv_tcp_getpeername (&stream->tcp, (struct sockaddr *)&sa, &len) == 0
      && net_addr_from_sockaddr ((struct sockaddr *)&sa, &stream->addr) == 0)
    net_addr_format (&stream->addr, stream->name);
  start_stream (stream);
}

/* Returns a stream that has been connecting for too long, or null, and counts
   the streams that are connecting.  */
static struct net_stream *
find_late (struct net_rpc *rpc, rw_time now, size_t *connecting)
{
  struct net_stream *stream;
  size_t position = 0;

  *connecting = 0;
  while ((stream = rw_map_next (&rpc->streams, &position)) != NULL)
    {
      if (stream->connected)
        continue;
      if (now - stream->started >= NET_CONNECT_TIMEOUT)
        return stream;
      (*connecting)++;
    }
  return NULL;
}

static void
on_sweep (uv_timer_t *timer)
{
  struct net_rpc *rpc = timer->data;
  rw_time now = rw_now ();
  struct net_stream *late;
  size_t connecting;

  while ((late = find_late (rpc, now, &connecting)) != NULL)
    fail_uv (late, "connect", UV_ETIMEDOUT);
  if (connecting == 0)
    uv_timer_stop (timer);
}

static void
on_udp_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct net_rpc *rpc = handle->data;

  (void)suggested;
  *buf = uv_buf_init (rpc->read_buf, READ_SIZE);
}

static void
on_udp (uv_udp_t *udp, ssize_t nread, const uv_buf_t *buf,
        const struct sockaddr *sa, unsigned int flags)
{
  struct net_rpc *rpc = udp->data;
  struct net_addr from;
  struct rw_err err;
  int code;

  if (nread <= 0 || sa == NULL || net_addr_from_sockaddr (sa, &from) < 0)
    return;
  if ((flags & UV_UDP_PARTIAL) != 0 || nread > WIR_MAX_DATAGRAM)
    {
      rpc->counts.datagrams_dropped++;
      return;
    }
  rpc->counts.datagrams_in++;
  code = rpc->ops->on_datagram (
      rpc->arg, &from, (struct rw_str){ buf->base, (size_t)nread }, &err);
  if (code < 0)
    rpc->ops->on_error (rpc->arg, &err);
}

/* Sends a datagram.  One that the kernel does not take is dropped: probes are
   repeated.  */
void
net_rpc_send_datagram (struct net_rpc *rpc, const struct net_addr *to,
                       struct rw_str data)
{
  struct sockaddr_storage sa;
  uv_buf_t buf = uv_buf_init ((char *)data.ptr, (unsigned int)data.len);

  if (net_addr_to_sockaddr (to, &sa) == 0
      && uv_udp_try_send (&rpc->udp, &buf, 1, (struct sockaddr *)&sa) >= 0)
    rpc->counts.datagrams_out++;
  else
    rpc->counts.datagrams_dropped++;
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
    rc = uv_listen ((uv_stream_t *)&rpc->listener, BACKLOG, on_connection);
  if (rc == 0)
    rc = uv_tcp_getsockname (&rpc->listener, (struct sockaddr *)&sa, &len);
  if (rc == 0)
    rc = net_addr_from_sockaddr ((struct sockaddr *)&sa, &bound);
  if (rc == 0)
    rpc->port = bound.port;
  return rc;
}

static int
bind_udp (struct net_rpc *rpc, const struct net_addr *addr)
{
  struct net_addr same_port = *addr;
  struct sockaddr_storage sa;
  int rc;

  same_port.port = rpc->port;
  rc = net_addr_to_sockaddr (&same_port, &sa);
  uv_udp_init (rpc->loop, &rpc->udp);
  rpc->udp.data = rpc;
  if (rc == 0)
    rc = uv_udp_bind (&rpc->udp, (struct sockaddr *)&sa, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&rpc->udp, on_udp_alloc, on_udp);
  return rc;
}

static void
close_both (struct net_rpc *rpc, bool udp)
{
  uv_close ((uv_handle_t *)&rpc->listener, NULL);
  if (udp)
    uv_close ((uv_handle_t *)&rpc->udp, NULL);
  uv_run (rpc->loop, UV_RUN_NOWAIT);
}

/* Binds TCP and UDP to the same port.  With port 0, a TCP port whose number
   is taken for UDP is given up for another one.  */
static int
bind_both (struct net_rpc *rpc, const struct net_addr *addr)
{
  int rc = 0;

  for (int i = 0; i < PORT_ATTEMPTS; i++)
    {
      bool udp = false;

      rc = bind_tcp (rpc, addr);
      if (rc == 0)
        {
          udp = true;
          rc = bind_udp (rpc, addr);
        }
      if (rc == 0)
        return 0;
      close_both (rpc, udp);
      if (addr->port != 0)
        return rc;
    }
  return rc;
}

/* Listens on ADDR, TCP and UDP, and reports events to OPS with ARG.  Port 0
   selects a free port, which RPC->port tells.  Returns 0 or a negative error
   number.  */
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
  rw_map_init (&rpc->streams);
  rw_map_init (&rpc->outgoing_by_addr);
  rc = bind_both (rpc, addr);
  if (rc < 0)
    return rw_err_set (err, rc, "listen rpc", net_addr_format (addr, name),
                       "%s", uv_strerror (rc));
  rpc->read_buf = rw_xmalloc (READ_SIZE);
  uv_timer_init (loop, &rpc->connect_timer);
  rpc->connect_timer.data = rpc;
  uv_timer_start (&rpc->connect_timer, on_sweep, SWEEP_MS, SWEEP_MS);
  return 0;
}

static void
on_sweep_freed (uv_handle_t *handle)
{
  struct net_rpc *rpc = handle->data;

  rw_map_finish (&rpc->streams);
  rw_map_finish (&rpc->outgoing_by_addr);
  free (rpc->read_buf);
}

/* Closes everything.  RPC must stay until the loop has run its close
   callbacks.  */
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
  uv_close ((uv_handle_t *)&rpc->connect_timer, on_sweep_freed);
}
