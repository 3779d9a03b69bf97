#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* h2o's own timeout is above that of any call, so that only the call's
   deadline applies.  */
#define H2O_IO_TIMEOUT_MS 600000
/* A timer that expires later than this was held up by a pause of the process;
   libuv timers have a resolution of 1 ms.  */
#define MAX_TIMER_DELAY (3 * RW_MSEC)

/* The connection pool of one address.  */
struct net_target
{
  struct net_addr addr;
  h2o_socketpool_t pool;
  size_t active_count; /* calls that have or await a connection */
  rw_time last_used_at;
  struct net_target *next_disposed;
};

enum call_state
{
  CALL_CONNECTING,
  CALL_SENT,
  CALL_DONE /* in the list of finished calls */
};

struct net_call
{
  struct net_client *client;
  struct net_target *target;
  h2o_http1client_t *http1; /* null once h2o has released it */
  uint64_t id;
  enum call_state state;
  bool sent;
  bool aborted;                  /* done must not be called */
  char peer[NET_ADDR_TEXT_SIZE]; /* for errors */
  struct rw_buf request;
  h2o_iovec_t request_iov;
  struct rw_buf body;
  struct net_reply reply;
  struct rw_err err;
  net_call_done *done;
  void *arg;
  uint64_t tag;
  struct net_call *next_finished;
};

static uint64_t
addr_key (const struct net_addr *addr)
{
  return rw_hash_u64 (rw_hash (rw_str_from (addr->host)), addr->port);
}

/* Appends CALL to the list that net_client_flush reports.  By then h2o has
   returned the connection to the pool, so the next call can use it.  */
static void
finish_call (struct net_call *call)
{
  struct net_client *client = call->client;

  call->state = CALL_DONE;
  call->http1 = NULL;
  call->next_finished = NULL;
  if (client->finished_last != NULL)
    client->finished_last->next_finished = call;
  else
    client->finished = call;
  client->finished_last = call;
}

static void
fail_call (struct net_call *call, int code, const char *step,
           const char *detail)
{
  rw_err_set (&call->err, code, step, rw_str_from (call->peer), "%s", detail);
  call->reply.err = &call->err;
  call->client->counts.failed++;
  finish_call (call);
}

/* Moves the bytes that h2o has read to the body.  Returns 0, or RW_E_RANGE if
   the body is too long.  */
static int
append_body (struct net_call *call, h2o_socket_t *sock)
{
  size_t len = sock->input->size;

  if (call->body.len + len > NET_MAX_BODY_BYTES)
    return RW_E_RANGE;
  rw_buf_append (&call->body, sock->input->bytes, len);
  h2o_buffer_consume (&sock->input, len);
  return 0;
}

static int
on_body (h2o_http1client_t *http1, const char *errstr)
{
  struct net_call *call = http1->data;

  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      fail_call (call, RW_E_RESET, "read body", errstr);
      return -1;
    }
  if (append_body (call, http1->sock) < 0)
    {
      fail_call (call, RW_E_RANGE, "read body", "longer than 1 MB");
      return -1;
    }
  if (errstr != NULL)
    finish_call (call);
  return 0;
}

static bool
header_is (const h2o_header_t *header, const char *name)
{
  return h2o_lcstris (header->name->base, header->name->len, name,
                      strlen (name));
}

static int64_t
header_number (const h2o_header_t *header, int64_t absent)
{
  int64_t value = absent;
  struct rw_str text = { header->value.base, header->value.len };

  if (rw_str_to_int (text, 0, INT64_MAX / 1000, &value) < 0)
    return absent;
  return value;
}

/* Stores Retry-After and X-Version in the reply.  Returns the Content-Length,
   or -1 if there is none.  */
static int64_t
read_headers (struct net_call *call, const h2o_header_t *headers, size_t count)
{
  int64_t length = -1;

  for (size_t i = 0; i < count; i++)
    {
      int64_t number = header_number (&headers[i], -1);

      if (number < 0)
        continue;
      if (header_is (&headers[i], "retry-after"))
        call->reply.retry_after_ms = number * 1000;
      else if (header_is (&headers[i], "x-version"))
        call->reply.version = (uint64_t)number;
      else if (header_is (&headers[i], "content-length"))
        length = number;
    }
  return length;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *http1, const char *errstr, int minor_version,
         int status, h2o_iovec_t msg, h2o_header_t *headers, size_t count,
         int rlen)
{
  struct net_call *call = http1->data;

  (void)minor_version;
  (void)msg;
  (void)rlen;
  if (errstr != NULL && errstr != h2o_http1client_error_is_eos)
    {
      fail_call (call, RW_E_RESET, "read answer", errstr);
      return NULL;
    }
  call->reply.status = status;
  if (read_headers (call, headers, count) > NET_MAX_BODY_BYTES)
    {
      fail_call (call, RW_E_RANGE, "read body", "longer than 1 MB");
      return NULL;
    }
  if (errstr != NULL)
    {
      finish_call (call);
      return NULL;
    }
  return on_body;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *http1, const char *errstr, h2o_iovec_t **bufs,
            size_t *count, int *method_is_head)
{
  struct net_call *call = http1->data;

  if (errstr != NULL)
    {
      fail_call (call, RW_E_RESET, "connect", errstr);
      return NULL;
    }
  call->state = CALL_SENT;
  call->sent = true;
  call->request_iov = h2o_iovec_init (call->request.ptr, call->request.len);
  *bufs = &call->request_iov;
  *count = 1;
  *method_is_head = 0;
  return on_head;
}

static void
write_request (struct net_call *call, const struct net_call_spec *spec)
{
  char host[NET_ADDR_TEXT_SIZE];
  struct rw_str name = net_addr_format (&spec->to, host);

  rw_buf_printf (&call->request,
                 "%s %.*s HTTP/1.1\r\nhost: %.*s\r\n"
                 "content-length: %zu\r\n%.*s\r\n",
                 spec->method, RW_STR_ARG (spec->path), RW_STR_ARG (name),
                 spec->body.len, RW_STR_ARG (spec->headers));
  rw_buf_append_str (&call->request, spec->body);
}

/* Returns the connection pool of an address, which its first call creates.
   Returns null if there are NET_MAX_TARGETS or the address is invalid.  */
static struct net_target *
get_target (struct net_client *client, const struct net_addr *addr,
            size_t max_connections)
{
  struct net_target *target = rw_map_get (&client->targets, addr_key (addr));
  struct sockaddr_storage sa;

  if (target != NULL)
    return target;
  if (client->targets.len >= NET_MAX_TARGETS
      || net_addr_to_sockaddr (addr, &sa) < 0)
    return NULL;
  target = rw_xcalloc (1, sizeof *target);
  target->addr = *addr;
  h2o_socketpool_init_by_address (&target->pool, (struct sockaddr *)&sa,
                                  sa.ss_family == AF_INET
                                      ? sizeof (struct sockaddr_in)
                                      : sizeof (struct sockaddr_in6),
                                  0, max_connections);
  h2o_socketpool_set_timeout (&target->pool, client->loop,
                              NET_KEEPALIVE_TIMEOUT_MS);
  rw_map_put (&client->targets, addr_key (addr), target);
  return target;
}

static struct net_call *
new_call (struct net_client *client, const struct net_call_spec *spec)
{
  struct net_call *call = rw_xcalloc (1, sizeof *call);
  char name[NET_ADDR_TEXT_SIZE];

  call->client = client;
  call->id = client->next_call++;
  call->done = spec->done;
  call->arg = spec->arg;
  call->tag = spec->tag;
  call->reply.retry_after_ms = -1;
  rw_buf_init (&call->request);
  rw_buf_init (&call->body);
  rw_str_copy (call->peer, sizeof call->peer,
               spec->peer.len > 0 ? spec->peer
                                  : net_addr_format (&spec->to, name));
  rw_map_put (&client->calls, call->id, call);
  client->counts.calls++;
  return call;
}

static void on_deadline (uv_timer_t *timer);

/* Starts the timer for the next deadline.  It counts milliseconds and must not
   expire early, so the time is rounded up.  */
static void
set_timer (struct net_client *client)
{
  rw_time next = rw_heap_next_time (&client->deadlines);
  rw_time left;

  if (next == RW_TIME_NEVER)
    return;
  left = next - rw_now ();
  uv_update_time (client->loop);
  uv_timer_start (&client->deadline_timer, on_deadline,
                  left > 0 ? (uint64_t)((left + RW_MSEC - 1) / RW_MSEC) : 0,
                  0);
}

static void
add_deadline (struct net_client *client, const struct net_call *call,
              rw_time timeout)
{
  rw_time at = rw_now () + (timeout > 0 ? timeout : 0);
  bool first = at < rw_heap_next_time (&client->deadlines);

  rw_heap_push (&client->deadlines, at, (void *)(uintptr_t)call->id);
  if (first)
    set_timer (client);
}

/* Starts a call and returns its number.  net_client_flush calls DONE of SPEC
   once, unless the call is aborted.  A call above the limit of connections
   fails with RW_E_QUEUE_FULL without being sent.  */
uint64_t
net_client_start (struct net_client *client, const struct net_call_spec *spec)
{
  struct net_call *call = new_call (client, spec);
  struct net_target *target;

  target = get_target (client, &spec->to, spec->max_connections);
  if (target == NULL || client->stopping)
    {
      fail_call (call, RW_E_RANGE, "connect",
                 "invalid address, too many targets, or stopping");
      return call->id;
    }
  if (target->active_count >= spec->max_connections)
    {
      client->counts.refused++;
      fail_call (call, RW_E_QUEUE_FULL, "connect", "too many connections");
      return call->id;
    }
  call->target = target;
  target->active_count++;
  target->last_used_at = rw_now ();
  write_request (call, spec);
  add_deadline (client, call, spec->timeout);
  h2o_http1client_connect_with_pool (&call->http1, call, &client->ctx,
                                     &target->pool, on_connect);
  if (call->state == CALL_DONE)
    call->http1 = NULL;
  return call->id;
}

static void
cancel_http1 (struct net_call *call)
{
  h2o_http1client_t *http1 = call->http1;

  call->http1 = NULL;
  if (http1 != NULL)
    h2o_http1client_cancel (http1);
}

/* Aborts the call ID and closes its connection; DONE will not be called.
   Returns whether there was such a call.  */
bool
net_client_abort (struct net_client *client, uint64_t id)
{
  struct net_call *call = rw_map_get (&client->calls, id);

  if (call == NULL || call->aborted)
    return false;
  call->aborted = true;
  if (call->state == CALL_DONE)
    return true;
  cancel_http1 (call);
  finish_call (call);
  return true;
}

/* Fails CALL and closes its connection, so that a late response is not taken
   for that of the next call.  */
static void
time_out_call (struct net_call *call)
{
  const char *step
      = call->state == CALL_CONNECTING ? "connect" : "read answer";

  call->client->counts.timeouts++;
  cancel_http1 (call);
  fail_call (call, RW_E_DEADLINE, step, "no answer in time");
}

/* Returns whether the timer expired so late that the process must have been
   paused or busy, and responses may wait in the sockets.  Timers run before
   the sockets are read, so the calls are then failed in the next iteration. */
static bool
defer_deadlines (struct net_client *client, rw_time now)
{
  client->deadlines_deferred
      = !client->deadlines_deferred
        && now - rw_heap_next_time (&client->deadlines) > MAX_TIMER_DELAY;
  if (client->deadlines_deferred)
    uv_timer_start (&client->deadline_timer, on_deadline, 1, 0);
  return client->deadlines_deferred;
}

/* Fails the calls whose deadline has passed.  Entries of finished calls are
   skipped.  */
static void
on_deadline (uv_timer_t *timer)
{
  struct net_client *client = timer->data;
  rw_time now = rw_now ();

  if (defer_deadlines (client, now))
    return;

  while (rw_heap_next_time (&client->deadlines) <= now)
    {
      rw_time at;
      uintptr_t id = (uintptr_t)rw_heap_pop (&client->deadlines, &at);
      struct net_call *call = rw_map_get (&client->calls, id);

      if (call != NULL && call->state != CALL_DONE)
        time_out_call (call);
    }
  set_timer (client);
}

static void
free_call (struct net_call *call)
{
  rw_map_remove (&call->client->calls, call->id);
  rw_buf_finish (&call->request);
  rw_buf_finish (&call->body);
  free (call);
}

static void
release_target (struct net_call *call)
{
  if (call->target == NULL)
    return;
  call->target->active_count--;
  call->target->last_used_at = rw_now ();
  call->target = NULL;
}

/* Reports the finished calls.  Call it once in each iteration of the loop,
   before it waits.  Returns whether there was one.  */
bool
net_client_flush (struct net_client *client)
{
  bool any = client->finished != NULL;

  while (client->finished != NULL)
    {
      struct net_call *call = client->finished;
      struct net_reply reply = call->reply;

      client->finished = call->next_finished;
      if (client->finished == NULL)
        client->finished_last = NULL;
      /* Released first, so that a call started by DONE can use the
         connection.  */
      release_target (call);
      reply.sent = call->sent;
      reply.body = rw_buf_str (&call->body);
      if (!call->aborted)
        call->done (call->arg, call->tag, &reply);
      free_call (call);
    }
  return any;
}

/* Closes the connections of a target.  Its memory contains a timer that libuv
   closes in a later iteration, so the next sweep frees it.  */
static void
dispose_target (struct net_client *client, struct net_target *target)
{
  rw_map_remove (&client->targets, addr_key (&target->addr));
  h2o_socketpool_dispose (&target->pool);
  target->next_disposed = client->disposed;
  client->disposed = target;
}

static void
free_disposed (struct net_client *client)
{
  while (client->disposed != NULL)
    {
      struct net_target *target = client->disposed;

      client->disposed = target->next_disposed;
      free (target);
    }
}

static struct net_target *
find_unused (struct net_client *client, rw_time now)
{
  struct net_target *target;
  size_t position = 0;

  while ((target = rw_map_next (&client->targets, &position)) != NULL)
    if (target->active_count == 0
        && now - target->last_used_at
               >= 2 * NET_KEEPALIVE_TIMEOUT_MS * RW_MSEC)
      return target;
  return NULL;
}

/* Disposes of targets that were not used for twice the keep-alive timeout.  */
static void
on_sweep (uv_timer_t *timer)
{
  struct net_client *client = timer->data;
  rw_time now = rw_now ();
  struct net_target *target;

  free_disposed (client);
  while ((target = find_unused (client, now)) != NULL)
    dispose_target (client, target);
}

/* Prepares CLIENT to make calls on LOOP.  */
void
net_client_init (struct net_client *client, uv_loop_t *loop)
{
  memset (client, 0, sizeof *client);
  client->loop = loop;
  client->next_call = 1;
  rw_heap_init (&client->deadlines);
  rw_map_init (&client->calls);
  rw_map_init (&client->targets);
  uv_timer_init (loop, &client->deadline_timer);
  client->deadline_timer.data = client;
  uv_timer_init (loop, &client->sweep_timer);
  client->sweep_timer.data = client;
  uv_timer_start (&client->sweep_timer, on_sweep, NET_KEEPALIVE_TIMEOUT_MS,
                  NET_KEEPALIVE_TIMEOUT_MS);
  h2o_timeout_init (loop, &client->io_timeout, H2O_IO_TIMEOUT_MS);
  client->ctx.loop = loop;
  client->ctx.io_timeout = &client->io_timeout;
}

/* Fails and reports all calls.  Calls that DONE starts meanwhile fail at
   once.  */
static void
fail_all_calls (struct net_client *client)
{
  struct net_call *call;
  size_t position = 0;

  while ((call = rw_map_next (&client->calls, &position)) != NULL)
    if (call->state != CALL_DONE)
      {
        cancel_http1 (call);
        fail_call (call, RW_E_STOPPING, "stop", "the client is stopping");
      }
  net_client_flush (client);
}

static void
on_last_sweep (uv_timer_t *timer)
{
  free_disposed (timer->data);
  uv_close ((uv_handle_t *)timer, NULL);
}

/* Reports all calls as failed and closes all connections.  CLIENT must stay
   valid until the loop has closed its handles.  */
void
net_client_finish (struct net_client *client)
{
  struct net_target *target;
  size_t position = 0;

  client->stopping = true;
  fail_all_calls (client);
  while ((target = rw_map_next (&client->targets, &position)) != NULL)
    {
      dispose_target (client, target);
      position = 0;
    }
  h2o_timeout_dispose (client->loop, &client->io_timeout);
  uv_close ((uv_handle_t *)&client->deadline_timer, NULL);
  uv_timer_start (&client->sweep_timer, on_last_sweep, 0, 0);
  rw_heap_finish (&client->deadlines);
  rw_map_finish (&client->calls);
  rw_map_finish (&client->targets);
}
