#include "net.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

/* A timer that expires later than this was held up by a pause of the process;
   libuv timers have a resolution of 1 ms.  */
#define MAX_TIMER_DELAY (3 * RW_MSEC)

/* The connection pool of one address.  */
struct net_target
{
  struct net_addr addr;
  struct sockaddr_storage sockaddr;
  struct connection *idle; /* last used first */
  size_t active_count;     /* calls that have or await a connection */
  rw_time last_used_at;
};

/* A connection is freed once libuv has closed it.  */
struct connection
{
  struct h1_client h1;
  struct acc_account *account; /* in which its descriptor counts */
  struct net_target *target;   /* valid while it has a call or is idle */
  struct net_call *call;       /* null: idle, or closing */
  struct connection *next_idle;
  rw_time idle_since;
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
  struct connection *connection; /* null: none yet, or not any more */
  uint64_t id;
  enum call_state state;
  bool sent;
  bool aborted; /* done must not be called */
  size_t max_body_bytes;
  char peer[NET_ADDR_TEXT_SIZE]; /* for errors */
  struct rw_buf request;
  struct rw_str request_body; /* in BLOB; empty: in REQUEST */
  struct acc_blob *blob;      /* may be null */
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

/* Appends CALL to the list that net_client_flush reports.  By then its
   connection is back in the pool, so the next call can use it.  */
static void
finish_call (struct net_call *call)
{
  struct net_client *client = call->client;

  call->state = CALL_DONE;
  if (call->connection != NULL)
    call->connection->call = NULL;
  call->connection = NULL;
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

static int64_t
header_number (const struct h1_header *header)
{
  int64_t value = -1;

  if (rw_str_to_int (header->value, 0, INT64_MAX / 1000, &value) < 0)
    return -1;
  return value;
}

/* Stores Retry-After and X-Version in the reply of CALL.  */
static void
read_headers (struct net_call *call, const struct h1_message *message)
{
  for (size_t i = 0; i < message->header_count; i++)
    {
      const struct h1_header *header = &message->headers[i];
      int64_t number = header_number (header);

      if (number < 0)
        continue;
      if (h1_name_eq (header->name, "Retry-After"))
        call->reply.retry_after_ms = number * 1000;
      else if (h1_name_eq (header->name, "X-Version"))
        call->reply.version = (uint64_t)number;
    }
}

/* Sends the request of the call of CONNECTION, which is idle.  */
static void
send_request (struct connection *connection)
{
  struct net_call *call = connection->call;

  call->state = CALL_SENT;
  call->sent = true;
  h1_client_limit (&connection->h1, call->max_body_bytes,
                   &call->client->arriving);
  /* After a failed write reading fails too, and on_disconnect is called.  */
  (void)h1_client_send_body (&connection->h1, rw_buf_str (&call->request),
                             call->request_body, call->blob, false);
}

/* The connection was established, or its call has been answered.  */
static void
on_idle (struct h1_client *h1)
{
  struct connection *connection = h1->arg;
  struct net_target *target = connection->target;

  if (connection->call != NULL)
    {
      send_request (connection);
      return;
    }
  connection->idle_since = rw_now ();
  connection->next_idle = target->idle;
  target->idle = connection;
}

static enum h1_reply_result
on_reply (struct h1_client *h1, const struct h1_message *message)
{
  struct net_call *call = ((struct connection *)h1->arg)->call;

  call->reply.status = message->status;
  read_headers (call, message);
  rw_buf_append_str (&call->body, message->body);
  acc_add (call->client->account, call->body.cap);
  finish_call (call);
  return H1_REPLY_ACCEPTED;
}

static void
remove_idle (struct connection *connection)
{
  struct connection **slot = &connection->target->idle;

  while (*slot != NULL && *slot != connection)
    slot = &(*slot)->next_idle;
  if (*slot != NULL)
    *slot = connection->next_idle;
}

static void
on_disconnect (struct h1_client *h1, int code)
{
  struct connection *connection = h1->arg;
  struct net_call *call = connection->call;

  if (call == NULL)
    {
      if (h1->state == H1_CLIENT_IDLE)
        remove_idle (connection);
    }
  else if (call->state == CALL_CONNECTING)
    fail_call (call, RW_E_RESET, "connect", uv_strerror (code));
  else if (code == RW_E_PARSE)
    fail_call (call, code, "read answer", "no HTTP/1.1");
  else if (code == RW_E_RANGE)
    fail_call (call, code, "read body", "above the limits of a response");
  else
    fail_call (call, RW_E_RESET,
               h1->reader.head_complete ? "read body" : "read answer",
               "the connection was closed");
}

static void
on_closed (struct h1_client *h1)
{
  struct connection *connection = h1->arg;

  acc_return_place (connection->account);
  free (connection);
}

static const struct h1_client_ops connection_ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_disconnect = on_disconnect,
  .on_closed = on_closed,
};

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
  if (spec->blob == NULL)
    rw_buf_append_str (&call->request, spec->body);
  else
    {
      call->request_body = spec->body;
      call->blob = acc_blob_ref (spec->blob);
    }
  acc_add (call->client->account, call->request.cap);
}

/* Returns the connection pool of an address, which its first call creates.
   Returns null if there are NET_MAX_TARGETS or the address is invalid.  */
static struct net_target *
get_target (struct net_client *client, const struct net_addr *addr)
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
  target->sockaddr = sa;
  rw_map_put (&client->targets, addr_key (addr), target);
  return target;
}

/* Closes the connections of TARGET that have been idle since before TIME.  */
static void
close_idle (struct net_target *target, rw_time time)
{
  struct connection **slot = &target->idle;

  while (*slot != NULL)
    {
      struct connection *connection = *slot;

      if (connection->idle_since < time)
        {
          *slot = connection->next_idle;
          h1_client_close (&connection->h1);
        }
      else
        slot = &connection->next_idle;
    }
}

/* Opens a connection for CALL, whose request is sent once it is open.  */
static void
open_connection (struct net_call *call)
{
  struct acc_account *account = call->client->account;
  struct connection *connection;
  int rc;

  if (!acc_take_place (account, rw_now ()))
    {
      fail_call (call, RW_E_QUEUE_FULL, "connect", "no descriptor");
      return;
    }
  connection = rw_xcalloc (1, sizeof *connection);
  connection->account = account;

  connection->target = call->target;
  connection->call = call;
  call->connection = connection;
  rc = h1_client_init (&connection->h1, call->client->loop,
                       (const struct sockaddr *)&call->target->sockaddr,
                       call->client->read_buf, &connection_ops, connection);
  if (rc < 0)
    fail_call (call, RW_E_RESET, "connect", uv_strerror (rc));
}

/* Returns whether nothing has arrived on CONNECTION, which is idle: the end of
   the stream would fail the next call, and other input could be taken for its
   response.  */
static bool
is_quiet (const struct connection *connection)
{
  uv_os_fd_t fd;
  char byte;

  return uv_fileno ((const uv_handle_t *)&connection->h1.tcp, &fd) == 0
         && recv (fd, &byte, 1, MSG_DONTWAIT | MSG_PEEK) < 0
         && errno == EAGAIN;
}

/* Takes the idle connection of TARGET that was used last, and closes those
   that cannot be used.  Returns null if there is none.  */
static struct connection *
take_idle (struct net_target *target)
{
  struct connection *connection;

  close_idle (target, rw_now () - NET_KEEPALIVE_TIMEOUT_MS * RW_MSEC);
  while ((connection = target->idle) != NULL)
    {
      target->idle = connection->next_idle;
      if (is_quiet (connection))
        return connection;
      h1_client_close (&connection->h1);
    }
  return NULL;
}

/* Sends CALL on an idle connection, or opens one for it.  */
static void
give_connection (struct net_call *call)
{
  struct connection *connection = take_idle (call->target);

  if (connection == NULL)
    {
      open_connection (call);
      return;
    }
  connection->call = call;
  call->connection = connection;
  send_request (connection);
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
  call->max_body_bytes
      = spec->max_body_bytes > 0 ? spec->max_body_bytes : NET_MAX_BODY_BYTES;
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

  target = get_target (client, &spec->to);
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
  if (!acc_make_room (client->account, spec->blob == NULL ? spec->body.len : 0,
                      rw_now ()))
    {
      client->counts.refused++;
      fail_call (call, RW_E_QUEUE_FULL, "connect", "no memory");
      return call->id;
    }
  call->target = target;
  target->active_count++;
  target->last_used_at = rw_now ();
  write_request (call, spec);
  add_deadline (client, call, spec->timeout);
  give_connection (call);
  return call->id;
}

/* Closes the connection of CALL.  */
static void
cancel (struct net_call *call)
{
  struct connection *connection = call->connection;

  call->connection = NULL;
  if (connection == NULL)
    return;
  connection->call = NULL;
  h1_client_close (&connection->h1);
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
  cancel (call);
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
  cancel (call);
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
  acc_sub (call->client->account, call->request.cap + call->body.cap);
  acc_blob_unref (call->blob);
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

/* Closes the connections of a target, which are idle, and frees it.  */
static void
dispose_target (struct net_client *client, struct net_target *target)
{
  rw_map_remove (&client->targets, addr_key (&target->addr));
  close_idle (target, RW_TIME_NEVER);
  free (target);
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

/* Closes connections that were idle for the keep-alive timeout, and disposes
   of targets that were not used for twice that time.  */
static void
on_sweep (uv_timer_t *timer)
{
  struct net_client *client = timer->data;
  rw_time now = rw_now ();
  struct net_target *target;
  size_t position = 0;

  while ((target = rw_map_next (&client->targets, &position)) != NULL)
    close_idle (target, now - NET_KEEPALIVE_TIMEOUT_MS * RW_MSEC);
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
  client->arriving.max = NET_MAX_ARRIVING_BYTES;
  client->read_buf = rw_xmalloc (H1_READ_BUF_SIZE);
}

/* Counts the descriptors and the memory of CLIENT's calls in ACCOUNT, which
   must outlive it.  To be called before there are calls.  Responses that are
   arriving get half of the memory at most.  */
void
net_client_set_account (struct net_client *client, struct acc_account *account)
{
  client->account = account;
  client->arriving.account = account;
  if (client->arriving.max > account->max / 2)
    client->arriving.max = account->max / 2;
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
        cancel (call);
        fail_call (call, RW_E_STOPPING, "stop", "the client is stopping");
      }
  net_client_flush (client);
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
  uv_close ((uv_handle_t *)&client->deadline_timer, NULL);
  uv_close ((uv_handle_t *)&client->sweep_timer, NULL);
  free (client->read_buf);
  rw_heap_finish (&client->deadlines);
  rw_map_finish (&client->calls);
  rw_map_finish (&client->targets);
}
