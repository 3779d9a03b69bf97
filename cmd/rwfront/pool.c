#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>

#include "front.h"

/* A connection within a data centre takes 6 ms, a lost SYN is sent again after
   1 s.  */
#define CONNECT_TIMEOUT (800 * RW_MSEC)
/* Links to one target beyond which sends wait here: a target runs two to four
   requests at once.  */
#define MAX_LINKS 6
/* Part of a target's connections that all daemons together use; it accepts
   fewer while its queue is long.  */
#define CONNECTIONS_USED 0.8
/* An idle link is not used in the last fifth of the time that the target
   states.  */
#define IDLE_PART 0.8
/* A target that was not used for this time gets no new link in advance.  */
#define KEEP_READY (10 * RW_SEC)
/* Links that one sweep opens in advance.  */
#define OPEN_AT_ONCE 6

static void pool_serve (struct frn_pool *pool);

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
  if (pool->queue_last != NULL)
    pool->queue_last->queue_next = send;
  else
    pool->queue = send;
  pool->queue_last = send;
}

static void
queue_remove (struct frn_pool *pool, struct frn_send *send)
{
  struct frn_send *prev = NULL;
  for (struct frn_send *s = pool->queue; s != NULL; s = s->queue_next)
    {
      if (s == send)
        {
          if (prev != NULL)
            prev->queue_next = s->queue_next;
          else
            pool->queue = s->queue_next;
          if (pool->queue_last == s)
            pool->queue_last = prev;
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
  send->ended = now;
  ste_on_result (&send->steer, outcome, now);
}

/* Fails every queued send: the target cannot be reached.  */
static void
queue_fail (struct frn_pool *pool, const char *reason)
{
  rw_time now = rw_now ();
  ste_back_off (pool->target, now);
  while (pool->queue != NULL)
    {
      struct frn_send *send = pool->queue;
      queue_remove (pool, send);
      end_send (send, STE_ABANDONED, now);
      frn_request_failed (send, GAT_FAIL_NOT_RUN, reason);
    }
}

/* Another target answers at the address: what the list says is out of date. */
static void
pool_drop (struct frn_pool *pool, rw_time now)
{
  struct frn_daemon *daemon = pool->daemon;
  struct ste_target *target = pool->target;
  if (!ste_usable (&daemon->fleet, target, now))
    return;
  evt_line (&daemon->log, EVT_STATE, "target", now,
            "replaced: id=%s at=%s:%u revision=%lld", target->id, target->host,
            target->port, (long long)target->revision);
  ste_mark_replaced (&daemon->fleet, target, now);
  queue_fail (pool, "target replaced");
}

static size_t
link_limit (const struct frn_pool *pool)
{
  const struct ste_service *service = pool->target->service;
  size_t daemons = ste_connection_sharers (&pool->daemon->fleet, service);
  if (service->max_connections == 0)
    return MAX_LINKS;
  size_t share = (size_t)(service->max_connections * CONNECTIONS_USED
                          / (double)daemons);
  if (share < 1)
    return 1;
  return share < MAX_LINKS ? share : MAX_LINKS;
}

static void
start_send (struct frn_link *link, struct frn_send *send)
{
  struct rw_buf out;
  link->send = send;
  send->link = link;
  send->state = FRN_SEND_SENT;
  rw_buf_init (&out);
  frn_request_write (send, &out);
  /* A failed write is reported by the link's reader.  */
  (void)h1_client_send (&link->link, rw_buf_str (&out), send->request->head);
  rw_buf_finish (&out);
}

static void
on_idle (struct h1_client *h1)
{
  struct frn_link *link = h1->arg;
  struct frn_pool *pool = link->pool;
  struct ste_service *service = pool->target->service;
  rw_time now = rw_now ();
  if (link->idle_since == 0)
    service->handshake_time
        += (now - link->opened - service->handshake_time) / 8;
  link->idle_since = now;
  if (h1->keep_alive_timeout > 0)
    link->idle_limit = (rw_time)(h1->keep_alive_timeout * IDLE_PART);
  if (pool->queue != NULL)
    {
      struct frn_send *send = pool->queue;
      queue_remove (pool, send);
      start_send (link, send);
    }
}

static enum h1_reply_result
on_reply (struct h1_client *h1, const struct h1_message *message)
{
  struct frn_link *link = h1->arg;
  struct frn_send *send = link->send;
  struct ste_target *target = link->pool->target;
  struct plt_reply reply;
  rw_time now = rw_now ();

  plt_read_reply (message, &reply);
  if (reply.request_id.len > 0
      && !rw_str_eq (reply.request_id, send->request->id))
    return H1_REPLY_SKIPPED;
  if (reply.has_load)
    ste_on_load_report (target, reply.running, reply.waiting, reply.slots,
                        now);
  link->send = NULL;
  send->link = NULL;
  bool relay = send->request->mode == FRN_MODE_RELAY;
  bool valid = relay || (reply.request_id.len > 0 && reply.stamp.len > 0);
  if (reply.not_run || (relay && frn_relay_refused (message)))
    end_send (send, STE_SHED, now);
  else if (valid && (relay || message->status < 500))
    end_send (send, STE_OK, now);
  else
    end_send (send, STE_FAILED, now);
  if (reply.misdirected && !relay)
    pool_drop (link->pool, now);
  if (!valid && !reply.not_run)
    {
      h1->reusable = false;
      frn_request_failed (send, GAT_FAIL_UNKNOWN, "unsigned answer");
    }
  else
    frn_request_reply (send, message, &reply);
  return H1_REPLY_ACCEPTED;
}

static void
pool_unlink (struct frn_link *link)
{
  struct frn_link **at = &link->pool->links;
  while (*at != link)
    at = &(*at)->next;
  *at = link->next;
  link->pool->count--;
}

static void
on_lost (struct h1_client *h1, int code)
{
  struct frn_link *link = h1->arg;
  struct frn_pool *pool = link->pool;
  struct frn_send *send = link->send;
  bool connecting = h1->state == H1_CLIENT_CONNECTING;

  (void)code;
  pool_unlink (link);
  link->send = NULL;
  if (send != NULL)
    {
      send->link = NULL;
      end_send (send, STE_FAILED, rw_now ());
      frn_request_failed (send, GAT_FAIL_UNKNOWN, "connection lost");
    }
  if (connecting && pool->count == 0)
    queue_fail (pool, "cannot connect");
  else
    pool_serve (pool);
}

static void
on_finished (struct h1_client *h1)
{
  free (h1->arg);
}

static const struct h1_client_ops link_ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_disconnect = on_lost,
  .on_closed = on_finished,
};

static void
link_drop (struct frn_link *link)
{
  pool_unlink (link);
  h1_client_close (&link->link);
}

static void
link_open (struct frn_pool *pool)
{
  struct sockaddr_in addr;
  struct frn_link *link;
  if (uv_ip4_addr (pool->target->host, pool->target->port, &addr) != 0)
    {
      queue_fail (pool, "invalid address");
      return;
    }
  link = rw_xcalloc (1, sizeof *link);
  link->pool = pool;
  link->opened = rw_now ();
  link->next = pool->links;
  pool->links = link;
  pool->count++;
  pool->opened = true;
  sta_inc (pool->daemon->metrics.links);
  if (h1_client_init (&link->link, pool->daemon->loop,
                      (const struct sockaddr *)&addr, pool->daemon->scratch,
                      &link_ops, link)
      != 0)
    {
      pool_unlink (link);
      if (pool->count == 0)
        queue_fail (pool, "cannot connect");
    }
}

static bool
is_expired (const struct frn_link *link, rw_time now)
{
  return link->idle_limit > 0 && now - link->idle_since > link->idle_limit;
}

/* Gives queued sends to idle links, and opens links for the others.  */
static void
pool_serve (struct frn_pool *pool)
{
  rw_time now = rw_now ();
  size_t opening = 0;
  struct frn_link *next;
  for (struct frn_link *link = pool->links; link != NULL; link = next)
    {
      next = link->next;
      if (link->link.state == H1_CLIENT_CONNECTING
          || link->link.state == H1_CLIENT_DELIVERING)
        opening++;
      if (link->link.state != H1_CLIENT_IDLE)
        continue;
      if (is_expired (link, now))
        link_drop (link);
      else if (pool->queue != NULL)
        {
          struct frn_send *send = pool->queue;
          queue_remove (pool, send);
          start_send (link, send);
        }
    }
  size_t queued = 0;
  for (struct frn_send *s = pool->queue; s != NULL; s = s->queue_next)
    queued++;
  size_t limit = link_limit (pool);
  while (opening < queued && pool->count < limit)
    {
      size_t before = pool->count;
      link_open (pool);
      if (pool->count == before)
        return;
      opening++;
    }
}

void
frn_pool_send (struct frn_daemon *daemon, struct frn_send *send)
{
  struct frn_pool *pool = pool_of (daemon, send->target);
  pool->used = rw_now ();
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
      send->link->send = NULL;
      link_drop (send->link);
      send->link = NULL;
      if (pool->count == 0 && !send->target->gone)
        link_open (pool);
      break;
    case FRN_SEND_ENDED:
      return;
    }
  sta_inc (pool->daemon->metrics.send_outcome[FRN_SEND_ABANDONED]);
  end_send (send, STE_ABANDONED, rw_now ());
}

static void
sweep_pool (struct frn_pool *pool, rw_time now)
{
  struct frn_link *next;
  bool failed = false;
  for (struct frn_link *link = pool->links; link != NULL; link = next)
    {
      next = link->next;
      if (link->link.state == H1_CLIENT_CONNECTING
          && now - link->opened > CONNECT_TIMEOUT)
        {
          link_drop (link);
          failed = true;
        }
      else if (link->link.state == H1_CLIENT_IDLE && is_expired (link, now))
        link_drop (link);
    }
  if (failed && pool->count == 0)
    queue_fail (pool, "no connection in time");
}

/* Opens links in advance, so that a first send or a hedge finds one; not
   before this daemon knows how many others do so.  */
static bool
wants_link (const struct frn_daemon *daemon, const struct ste_target *target,
            bool relays, rw_time now)
{
  const struct frn_pool *pool = target->user;
  if ((relays && target->service->is_shard) || target->outside_subset
      || target->draining || target->gone || now < target->backoff_until
      || !ste_usable (&daemon->fleet, target, now))
    return false;
  if (pool == NULL || !pool->opened)
    return true;
  return pool->count == 0 && now - pool->used < KEEP_READY;
}

void
frn_pool_sweep (struct frn_daemon *daemon, rw_time now)
{
  size_t left = gos_is_joining (&daemon->peers.gossip, now) ? 0 : OPEN_AT_ONCE;
  bool relays = frn_relay_available (daemon, now);
  for (struct ste_service *s = daemon->fleet.first_service; s != NULL;
       s = s->next)
    for (struct ste_target *t = s->targets; t != NULL; t = t->next)
      {
        if (t->user != NULL)
          sweep_pool (t->user, now);
        if (left > 0 && wants_link (daemon, t, relays, now))
          {
            link_open (pool_of (daemon, t));
            left--;
          }
      }
}

/* Frees the pool of a target that is gone.  */
bool
frn_pool_release (void *arg, struct ste_target *target)
{
  struct frn_pool *pool = target->user;
  (void)arg;
  if (pool == NULL)
    return true;
  if (pool->queue != NULL)
    return false;
  while (pool->links != NULL)
    link_drop (pool->links);
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
