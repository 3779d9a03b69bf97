#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "frn_quarantine.h"
#include "frn_capacity.h"
#include "forward.h"
#include "front.h"

/* Between the 6 ms that connecting within a data centre takes and the 1 s
   after which a lost SYN is sent again.  */
#define CONNECT_TIMEOUT (800 * RW_MSEC)
/* Sends that wait for the first connection to a target longer than this go to
   another one.  The attempt to connect goes on.  */
#define CONNECT_PATIENCE (100 * RW_MSEC)
/* At most this many connections to one target; further sends are queued here.
   A target runs two to four requests at once.  */
#define MAX_CONNS 6
/* Share of a target's connection limit that all daemons together use: the
   target accepts fewer while its queue is long.  */
#define CONN_LIMIT_RATIO 0.8
/* Share of the target's Keep-Alive timeout for which an idle connection is
   used, as the target may be closing it when the timeout is nearly over.  */
#define IDLE_LIMIT_RATIO 0.8
/* A lost connection is replaced in advance only if the target was used within
   this time.  */
#define MAX_UNUSED_TIME (10 * RW_SEC)
/* At most this many connections are opened in advance by one sweep.  */
#define MAX_PREOPENS 6
/* A reply that exceeds this fraction of the memory for replies is no answer.
 */
#define MAX_REPLY_DIVISOR 2
/* A part that exceeds this multiple of the average of its route, and this
   size, is no answer.  */
#define MAX_PART_RATIO 64
#define MIN_PART_BYTES (256 << 10)

static void pool_serve (struct frn_pool *pool);
static void conn_open (struct frn_pool *pool);

static struct frn_pool *
pool_of (struct frn_daemon *daemon, struct ste_target *target)
{
  if (target->user == NULL)
    {
      struct frn_pool *pool = rw_xcalloc (1, sizeof *pool);
      pool->daemon = daemon;
      pool->target = target;
      target->user = pool;
    }
  return target->user;
}

static void
queue_push (struct frn_pool *pool, struct frn_send *send)
{
  send->queue_next = NULL;
  if (pool->queue_tail != NULL)
    pool->queue_tail->queue_next = send;
  else
    pool->queue_head = send;
  pool->queue_tail = send;
}

static void
queue_remove (struct frn_pool *pool, struct frn_send *send)
{
  struct frn_send *prev = NULL;
  for (struct frn_send *s = pool->queue_head; s != NULL; s = s->queue_next)
    {
      if (s == send)
        {
          if (prev != NULL)
            prev->queue_next = s->queue_next;
          else
            pool->queue_head = s->queue_next;
          if (pool->queue_tail == s)
            pool->queue_tail = prev;
          return;
        }
      prev = s;
    }
}

static void
end_send (struct frn_send *send, enum ste_outcome outcome, rw_time now)
{
  send->state = FRN_SEND_ENDED;
  send->outcome = outcome;
  send->ended_at = now;
  ste_on_result (&send->steer, outcome, now);
}

/* Fails every queued send, as not run.  */
static void
fail_queued (struct frn_pool *pool, const char *reason, rw_time now)
{
  while (pool->queue_head != NULL)
    {
      struct frn_send *send = pool->queue_head;
      queue_remove (pool, send);
      end_send (send, STE_ABANDONED, now);
      frn_on_send_failed (send, GAT_FAIL_UNSENT, reason);
    }
}

/* Returns the first queued send that cannot be answered any more before this
   daemon has to give its last answers as it stops, or null.  */
static struct frn_send *
find_late (const struct frn_pool *pool, rw_time now)
{
  double ahead = 0; /* sends in flight, and those before it in the queue */
  for (const struct frn_pool_conn *c = pool->conns; c != NULL; c = c->next)
    ahead += c->send != NULL;
  for (struct frn_send *s = pool->queue_head; s != NULL; s = s->queue_next)
    {
      if (!frn_can_answer (s->request, pool->target, ahead, now))
        return s;
      ahead++;
    }
  return NULL;
}

/* Fails all of these, as not sent.  */
static void
fail_late (struct frn_pool *pool, rw_time now)
{
  struct frn_send *send;
  while (pool->daemon->stop.begun && (send = find_late (pool, now)) != NULL)
    {
      queue_remove (pool, send);
      end_send (send, STE_ABANDONED, now);
      frn_on_send_failed (send, GAT_FAIL_UNSENT, "daemon is stopping");
    }
}

/* Fails every queued send, and makes target selection avoid the target for a
   while.  */
static void
back_off (struct frn_pool *pool, const char *reason)
{
  rw_time now = rw_now ();
  ste_back_off (pool->target, now);
  fail_queued (pool, reason, now);
}

/* Stops using the target: a reply from its address says that another target is
   there now, so its list entry is out of date.  */
static void
drop_target (struct frn_pool *pool, rw_time now)
{
  struct frn_daemon *daemon = pool->daemon;
  struct ste_target *target = pool->target;
  if (target->gone && now >= target->usable_until)
    return;
  evt_line (&daemon->log, EVT_STATE, "target", now,
            "replaced: id=%s at=%s:%u " FRN_REVISION_FORMAT, target->id,
            target->host, target->port, FRN_REVISION_ARGS (target->revision));
  ste_mark_replaced (&daemon->fleet, target, now);
  fail_queued (pool, "target replaced", now);
}

/* Keeps SEND, whose connection was lost before a reply, until it is known
   whether the target's process has ended.  */
static void
note_loss (struct frn_pool *pool, const struct frn_send *send, rw_time now)
{
  const struct frn_request *request = send->request;
  if (pool->target->service->of_peers)
    return;
  pool->lost_at = now;
  pool->refuses = false;
  if (pool->loss_count == FRN_MAX_LOSSES)
    return;
  struct frn_loss *loss = &pool->losses[pool->loss_count++];
  loss->key = request->key;
  loss->sent_at = send->steer.sent_at;
  loss->completed = request->query.done > 0;
  rw_str_copy (loss->id, sizeof loss->id, request->id);
}

/* Reports the requests that were at the target when its process ended.  */
static void
report_end (struct frn_pool *pool, rw_time now)
{
  const struct ste_target *target = pool->target;
  sta_inc (pool->daemon->metrics.targets_ended);
  for (size_t i = 0; i < pool->loss_count; i++)
    evt_line (&pool->daemon->log, EVT_NORMAL, "target", now,
              "ended with a request: target=%s service=%s id=%s key=%016llx "
              "sent_ms_ago=%lld",
              target->id, target->service->name,
              evt_value (rw_str_from (pool->losses[i].id)).text,
              (unsigned long long)pool->losses[i].key,
              (long long)((now - pool->losses[i].sent_at) / RW_MSEC));
  for (size_t i = 0; i < pool->loss_count; i++)
    if (!pool->losses[i].completed)
      frn_quarantine_on_end (pool->daemon, target, pool->losses[i].key,
                             pool->losses[i].sent_at, pool->lost_at);
  pool->loss_count = 0;
}

/* Decides whether the target's process has ended: it has if no connection is
   left and a new one cannot be opened.  */
static void
check_losses (struct frn_pool *pool, rw_time now)
{
  if (pool->loss_count == 0 || pool->conn_count > 0)
    return;
  if (pool->refuses)
    report_end (pool, now);
  else
    conn_open (pool);
}

/* This daemon's share of the connections to the target, 1 to MAX_CONNS.  */
static size_t
conn_limit (const struct frn_pool *pool)
{
  const struct ste_service *service = pool->target->service;
  size_t daemons = ste_limit_sharers (&pool->daemon->fleet, service);
  if (service->max_connections == 0)
    return MAX_CONNS;
  size_t share = (size_t)(service->max_connections * CONN_LIMIT_RATIO
                          / (double)daemons);
  if (share < 1)
    return 1;
  return share < MAX_CONNS ? share : MAX_CONNS;
}

/* Records that CONN shows a way to a target, as it was not reset at once.  */
static void
prove (struct frn_pool_conn *conn, rw_time now)
{
  if (!conn->proven && !conn->pool->target->service->of_peers)
    rch_on_connected (&conn->pool->daemon->reach.state, now);
  conn->proven = true;
}

/* Records that a connection to the target could not be opened.  */
static void
note_refused (struct frn_pool *pool, rw_time now)
{
  if (!pool->target->service->of_peers)
    rch_on_connect_failed (&pool->daemon->reach.state, pool->target->key, now);
}

/* The largest body that is expected in the reply to SEND.  The parts of a
   route are of similar size; any other reply may use a part of the memory that
   replies have together.  */
static size_t
max_reply_bytes (const struct frn_send *send)
{
  const struct frn_request *request = send->request;
  size_t max = request->daemon->reply_budget.max / MAX_REPLY_DIVISOR;
  double part = request->stats->sizes.part_bytes * MAX_PART_RATIO;
  if (send->scope != FRN_SCOPE_PART || request->route->kind != CAT_ROUTE_GATHER
      || request->stats->sizes.part_bytes <= 0)
    return max;
  if (part < MIN_PART_BYTES)
    part = MIN_PART_BYTES;
  return part < (double)max ? (size_t)part : max;
}

static void
start_send (struct frn_pool_conn *conn, struct frn_send *send)
{
  struct rw_buf out;
  conn->send = send;
  conn->last_id = rw_hash (send->request->id);
  send->conn = conn;
  send->state = FRN_SEND_SENT;
  rw_buf_init (&out);
  frn_request_write (send, &out);
  h1_client_limit (&conn->h1, max_reply_bytes (send),
                   &conn->pool->daemon->reply_budget);
  /* After a failed write reading fails too, and on_disconnect is called.  */
  (void)h1_client_send_body (&conn->h1, rw_buf_str (&out), send->request->body,
                             send->request->body_blob, send->request->is_head);
  rw_buf_finish (&out);
}

/* Takes the oldest queued send that CONN may carry.  A request is not sent
   again on the connection of its last send: a second copy of the answer to
   that could not be told from the answer to this one.  Peers send no copies.
 */
static struct frn_send *
take_queued (struct frn_pool_conn *conn)
{
  struct frn_pool *pool = conn->pool;
  for (struct frn_send *s = pool->queue_head; s != NULL; s = s->queue_next)
    if (pool->target->service->of_peers
        || conn->last_id != rw_hash (s->request->id))
      {
        queue_remove (pool, s);
        return s;
      }
  return NULL;
}

static void
on_idle (struct h1_client *h1)
{
  struct frn_pool_conn *conn = h1->arg;
  struct frn_pool *pool = conn->pool;
  struct ste_service *service = pool->target->service;
  rw_time now = rw_now ();
  /* Just connected: updates the moving average of the handshake time, with a
     weight of 1/8.  */
  if (conn->idle_since == 0)
    service->handshake_time
        += (now - conn->opened_at - service->handshake_time) / 8;
  conn->idle_since = now;
  /* The target lives, so its losses were not its end.  */
  if (conn->opened_at >= pool->lost_at)
    pool->loss_count = 0;
  if (h1->keep_alive_timeout > 0)
    conn->idle_limit = (rw_time)(h1->keep_alive_timeout * IDLE_LIMIT_RATIO);
  struct frn_send *send = take_queued (conn);
  if (send != NULL)
    start_send (conn, send);
  else if (pool->queue_head != NULL)
    pool_serve (pool);
}

/* Records the limit that REPLY names.  SENT_AT is when its request was sent;
   RW_TIME_NEVER if that is not known, so that it can only begin a limit.  */
static void
note_limit (struct frn_pool *pool, const struct plt_reply *reply,
            rw_time sent_at, rw_time now)
{
  struct frn_daemon *daemon = pool->daemon;
  struct ste_target *target = pool->target;
  if (reply->names_limit && reply->limit_per_s < 0)
    evt_line (&daemon->log, EVT_NORMAL, "target", now,
              "limit that is no number: id=%s", target->id);
  else if (reply->names_limit)
    {
      if (!ste_on_limit (&daemon->fleet, target, reply->limit_per_s, now))
        return;
      sta_inc (daemon->metrics.targets_limited);
      evt_line (&daemon->log, EVT_STATE, "target", now,
                "limited: id=%s service=%s per_s=%.3f daemons=%zu", target->id,
                target->service->name, target->limit_per_s,
                ste_limit_sharers (&daemon->fleet, target->service));
    }
  else if (sent_at != RW_TIME_NEVER
           && ste_on_no_limit (target, !reply->not_run && reply->stamp.len > 0,
                               sent_at))
    evt_line (&daemon->log, EVT_STATE, "target", now,
              "not limited any more: id=%s per_s=%.3f ms=%lld sends=%llu",
              target->id, target->limit_per_s,
              (long long)((now - target->limit_since) / RW_MSEC),
              (unsigned long long)target->sends_in_limit);
}

/* Records what REPLY says about the target itself, whatever request it
   answers; SENT_AT is as for note_limit.  Returns whether the target wants no
   further requests, so that the caller must withdraw the queued sends.  */
static bool
note_target_state (struct frn_pool *pool, const struct plt_reply *reply,
                   rw_time sent_at, rw_time now)
{
  bool withdraw = false;
  struct frn_daemon *daemon = pool->daemon;
  struct ste_target *target = pool->target;
  if (reply->misdirected)
    return false; /* another target sent it */
  note_limit (pool, reply, sent_at, now);
  if (reply->leaving && ste_on_leaving (&daemon->fleet, target, now))
    {
      sta_inc (daemon->metrics.targets_leaving);
      evt_line (&daemon->log, EVT_STATE, "target", now,
                "announced that it leaves: id=%s usable_ms=%lld", target->id,
                (long long)((target->usable_until - now) / RW_MSEC));
      withdraw = true;
    }
  if (reply->retry_after > 0)
    {
      ste_hold (target, reply->retry_after, now);
      sta_inc (daemon->metrics.targets_held);
      evt_line (&daemon->log, EVT_NORMAL, "target", now,
                "left alone: id=%s ms=%lld", target->id,
                (long long)((target->held_until - now) / RW_MSEC));
      withdraw = true;
    }
  return withdraw;
}

/* Records that what the target sent in reply to SEND is no answer, for REASON,
   and fails the send: the request may have run.  */
static void
fail_broken (struct frn_pool *pool, struct frn_send *send, const char *reason)
{
  struct frn_daemon *daemon = pool->daemon;
  sta_inc (daemon->metrics.broken_answers);
  evt_line (&daemon->log, EVT_NORMAL, "target", rw_now (),
            "%s: target=%s id=%s", reason, pool->target->id,
            evt_value (send->request->id).text);
  frn_on_send_failed (send, GAT_FAIL_UNKNOWN, reason);
}

/* Ends the send of CONN with the REPLY that answers it.  */
static void
take_reply (struct frn_pool_conn *conn, const struct h1_message *message,
            const struct plt_reply *reply, rw_time now)
{
  struct frn_send *send = conn->send;
  bool to_peer = send->scope != FRN_SCOPE_PART;
  frn_capacity_on_report (conn->pool->daemon, conn->pool->target, reply, now);
  conn->send = NULL;
  send->conn = NULL;
  /* A reply that lacks its request's id or its stamp, which is a signature, is
     not trusted: it may come from something else at the target's address.
     Replies of peers are not signed.  */
  bool is_signed = reply->request_id.len > 0 && reply->stamp.len > 0
                   && !reply->is_ambiguous;
  bool valid = to_peer || (is_signed && !reply->is_encoded);
  if (reply->not_run || (to_peer && message->status == 503))
    end_send (send, STE_SHED, now);
  else if (valid && (to_peer || message->status < 500))
    end_send (send, STE_OK, now);
  else
    end_send (send, STE_FAILED, now);
  frn_capacity_note_change (conn->pool->daemon, conn->pool->target, now);
  if (reply->misdirected && !to_peer)
    drop_target (conn->pool, now);
  if (!valid && !reply->not_run)
    {
      conn->h1.reusable = false;
      fail_broken (conn->pool, send,
                   is_signed ? "encoded answer" : "unsigned answer");
    }
  else
    frn_on_send_reply (send, message, reply);
}

static enum h1_reply_result
on_reply (struct h1_client *h1, const struct h1_message *message)
{
  struct frn_pool_conn *conn = h1->arg;
  struct frn_pool *pool = conn->pool;
  const struct frn_request *request = conn->send->request;
  enum h1_reply_result result = H1_REPLY_ACCEPTED;
  struct plt_reply reply;
  rw_time now = rw_now ();

  plt_read_reply (message, &reply);
  if (!pool->target->service->of_peers)
    {
      pool->target->last_heard = now;
      pool->loss_count = 0; /* it lives */
      rch_on_reply (&pool->daemon->reach.state, now);
      prove (conn, now);
    }
  bool is_earlier = reply.request_id.len > 0 && !reply.is_ambiguous
                    && !rw_str_eq (reply.request_id, request->id);
  bool withdraw = conn->send->scope == FRN_SCOPE_PART
                  && note_target_state (pool, &reply,
                                        is_earlier ? RW_TIME_NEVER
                                                   : conn->send->steer.sent_at,
                                        now);
  if (is_earlier)
    result = H1_REPLY_SKIPPED;
  else
    take_reply (conn, message, &reply, now);
  if (withdraw)
    fail_queued (pool, "target wants no requests", now);
  return result;
}

/* A peer still works on a relayed request or a subquery, or a target tells its
   state.  */
static void
on_interim (struct h1_client *h1, const struct h1_message *message)
{
  struct frn_pool_conn *conn = h1->arg;
  struct plt_reply reply;
  if (conn->send->scope != FRN_SCOPE_PART)
    {
      ste_on_progress (conn->pool->target, rw_now ());
      return;
    }
  plt_read_reply (message, &reply);
  if (note_target_state (conn->pool, &reply, RW_TIME_NEVER, rw_now ()))
    fail_queued (conn->pool, "target wants no requests", rw_now ());
}

static void
pool_remove_conn (struct frn_pool_conn *conn)
{
  struct frn_pool_conn **slot = &conn->pool->conns;
  while (*slot != conn)
    slot = &(*slot)->next;
  *slot = conn->next;
  conn->pool->conn_count--;
}

static void
on_disconnect (struct h1_client *h1, int code)
{
  struct frn_pool_conn *conn = h1->arg;
  struct frn_pool *pool = conn->pool;
  struct frn_send *send = conn->send;
  bool connecting = h1->state == H1_CLIENT_CONNECTING;

  pool_remove_conn (conn);
  conn->send = NULL;
  if (connecting && conn->opened_at >= pool->lost_at)
    pool->refuses = true;
  if (send != NULL)
    {
      note_loss (pool, send, rw_now ());
      frn_quarantine_on_loss (send->request);
      send->conn = NULL;
      end_send (send, STE_FAILED, rw_now ());
      if (code == RW_E_PARSE)
        fail_broken (pool, send, "broken answer");
      else if (code == RW_E_RANGE)
        fail_broken (pool, send, "answer too large");
      else
        frn_on_send_failed (send, GAT_FAIL_UNKNOWN, "connection lost");
    }
  if (!conn->proven)
    note_refused (pool, rw_now ());
  check_losses (pool, rw_now ());
  /* A connection that could not be opened is not replaced at once: the others
     take the queued sends, or the last one that fails ends the wait.  */
  if (!connecting)
    pool_serve (pool);
  else if (pool->conn_count == 0)
    back_off (pool, "cannot connect");
}

static void
on_closed (struct h1_client *h1)
{
  struct frn_pool_conn *conn = h1->arg;
  acc_return_place (conn->account);
  free (conn);
}

static const struct h1_client_ops conn_ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_disconnect = on_disconnect,
  .on_closed = on_closed,
  .on_interim = on_interim,
};

static void
conn_close (struct frn_pool_conn *conn)
{
  pool_remove_conn (conn);
  h1_client_close (&conn->h1);
}

static void
conn_open (struct frn_pool *pool)
{
  struct sockaddr_in addr;
  struct frn_pool_conn *conn;
  if (uv_ip4_addr (pool->target->host, pool->target->port, &addr) != 0)
    {
      back_off (pool, "invalid address");
      return;
    }
  if (!acc_take_place (&pool->daemon->account, rw_now ()))
    {
      if (pool->conn_count == 0)
        back_off (pool, "no descriptor");
      return;
    }
  conn = rw_xcalloc (1, sizeof *conn);
  conn->account = &pool->daemon->account;
  conn->pool = pool;
  conn->opened_at = rw_now ();
  conn->next = pool->conns;
  pool->conns = conn;
  pool->conn_count++;
  pool->ever_opened = true;
  sta_inc (pool->daemon->metrics.conns_opened);
  if (h1_client_init_from (&conn->h1, pool->daemon->loop,
                           pool->target->service->of_peers
                               ? NULL
                               : frn_source_addr (pool->daemon),
                           (const struct sockaddr *)&addr,
                           pool->daemon->scratch, &conn_ops, conn)
      != 0)
    {
      pool_remove_conn (conn);
      if (pool->conn_count == 0)
        back_off (pool, "cannot connect");
    }
}

static bool
is_expired (const struct frn_pool_conn *conn, rw_time now)
{
  return conn->idle_limit > 0 && now - conn->idle_since > conn->idle_limit;
}

/* Puts queued sends on idle connections, and opens connections for those that
   no other connection will take soon.  */
static void
pool_serve (struct frn_pool *pool)
{
  rw_time now = rw_now ();
  size_t soon_idle = 0; /* connections that can take a send soon */
  struct frn_pool_conn *next;
  for (struct frn_pool_conn *conn = pool->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      if (conn->h1.state == H1_CLIENT_CONNECTING
          || conn->h1.state == H1_CLIENT_DELIVERING)
        soon_idle++;
      if (conn->h1.state != H1_CLIENT_IDLE)
        continue;
      if (is_expired (conn, now))
        conn_close (conn);
      else if (pool->queue_head != NULL)
        {
          struct frn_send *send = take_queued (conn);
          if (send != NULL)
            start_send (conn, send);
          else
            conn_close (conn);
        }
    }
  size_t queued = 0;
  for (struct frn_send *s = pool->queue_head; s != NULL; s = s->queue_next)
    queued++;
  size_t limit = conn_limit (pool);
  while (soon_idle < queued && pool->conn_count < limit)
    {
      size_t before = pool->conn_count;
      conn_open (pool);
      if (pool->conn_count == before)
        return;
      soon_idle++;
    }
}

void
frn_pool_send (struct frn_daemon *daemon, struct frn_send *send)
{
  struct frn_pool *pool = pool_of (daemon, send->target);
  pool->last_used = rw_now ();
  send->state = FRN_SEND_QUEUED;
  queue_push (pool, send);
  pool_serve (pool);
}

void
frn_send_abandon (struct frn_send *send)
{
  struct frn_pool *pool = send->target->user;
  switch (send->state)
    {
    case FRN_SEND_QUEUED:
      queue_remove (pool, send);
      break;
    case FRN_SEND_SENT:
      send->conn->send = NULL;
      conn_close (send->conn);
      send->conn = NULL;
      /* Opens a replacement, so that the next send need not wait for a
         handshake.  */
      if (pool->conn_count == 0 && !send->target->gone)
        conn_open (pool);
      break;
    case FRN_SEND_ENDED:
      return;
    }
  sta_inc (pool->daemon->metrics.send_outcome[FRN_SEND_ABANDONED]);
  end_send (send, STE_ABANDONED, rw_now ());
}

/* Whether sends wait for a first connection that takes so long that another
   target is likely to answer sooner.  */
static bool
is_connect_overdue (const struct frn_pool *pool, rw_time now)
{
  if (pool->queue_head == NULL)
    return false;
  for (const struct frn_pool_conn *c = pool->conns; c != NULL; c = c->next)
    if (c->h1.state != H1_CLIENT_CONNECTING
        || now - c->opened_at < CONNECT_PATIENCE)
      return false;
  return true;
}

static void
sweep_pool (struct frn_pool *pool, rw_time now)
{
  struct frn_pool_conn *next;
  bool timed_out = false;
  for (struct frn_pool_conn *conn = pool->conns; conn != NULL; conn = next)
    {
      next = conn->next;
      if (conn->h1.state == H1_CLIENT_CONNECTING
          && now - conn->opened_at > CONNECT_TIMEOUT)
        {
          pool->refuses = conn->opened_at >= pool->lost_at;
          conn_close (conn);
          timed_out = true;
          note_refused (pool, now);
        }
      else if (conn->h1.state == H1_CLIENT_IDLE && is_expired (conn, now))
        conn_close (conn);
      else if (conn->h1.state == H1_CLIENT_IDLE
               && now - conn->idle_since > RCH_PROBE_SETTLE_TIME)
        prove (conn, now);
    }
  check_losses (pool, now);
  fail_late (pool, now);
  if ((timed_out && pool->conn_count == 0) || is_connect_overdue (pool, now))
    back_off (pool, "no connection in time");
  else if (pool->queue_head != NULL)
    pool_serve (pool);
}

/* Whether a connection to TARGET is opened in advance, so that a first send or
   a hedge needs no handshake.  While larger peers are available the targets of
   shards get none, as requests to them are forwarded.  */
static bool
needs_conn (const struct frn_daemon *daemon, const struct ste_target *target,
            bool relay_available, rw_time now)
{
  const struct frn_pool *pool = target->user;
  if ((relay_available && target->service->is_shard) || target->outside_subset
      || target->draining || target->gone || now < target->backoff_until
      || !ste_usable (&daemon->fleet, target, now))
    return false;
  if (pool == NULL || !pool->ever_opened)
    return true;
  return pool->conn_count == 0 && now - pool->last_used < MAX_UNUSED_TIME;
}

void
frn_pool_sweep (struct frn_daemon *daemon, rw_time now)
{
  /* None is opened while the number of daemons, which share the targets'
     connections, is not known.  */
  size_t opens_left = gos_is_joining (&daemon->peers.gossip, now)
                              || daemon->settings.without[FRN_MECH_PREOPEN]
                          ? 0
                          : MAX_PREOPENS;
  bool relay_available = frn_relay_available (daemon, now);
  bool cut_off = daemon->reach.state.cut_off;
  for (struct ste_service *s = daemon->fleet.first_service; s != NULL;
       s = s->next)
    for (struct ste_target *t = s->targets; t != NULL; t = t->next)
      {
        if (t->user != NULL)
          sweep_pool (t->user, now);
        if (opens_left > 0 && (!cut_off || s->of_peers)
            && needs_conn (daemon, t, relay_available, now))
          {
            conn_open (pool_of (daemon, t));
            opens_left--;
          }
      }
}

bool
frn_pool_release (void *arg, struct ste_target *target)
{
  struct frn_pool *pool = target->user;
  (void)arg;
  if (pool == NULL)
    return true;
  if (pool->queue_head != NULL)
    return false;
  while (pool->conns != NULL)
    conn_close (pool->conns);
  free (pool);
  target->user = NULL;
  return true;
}

void
frn_pool_close (struct ste_target *target)
{
  while (target->oldest_send != NULL)
    frn_send_abandon ((struct frn_send *)target->oldest_send);
  (void)frn_pool_release (NULL, target);
}
