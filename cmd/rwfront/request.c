#include <stdlib.h>
#include <string.h>

#include "front.h"

#define ARENA_BLOCK 8192
/* Kept from the caller's time for the way of the answer and for timers that
   fire late.  */
#define ANSWER_MARGIN (15 * RW_MSEC)
/* The same for the aim: both ways to the caller take up to 6 ms, the rest is
   a part of the aim.  */
#define AIM_MARGIN (6 * RW_MSEC)
#define AIM_MARGIN_PART 20
/* And for the way back through a smaller peer, which is slow to pass it on. */
#define RELAY_MARGIN (6 * RW_MSEC)
/* A part is hedged after so many times the latency that nine of ten parts of
   its route stay below, but not before a tenth of the aim, and at the latest
   when a third of it has passed: then a second send can still arrive in time.
   A request for one target waits longer, as its work takes a larger part of
   the aim.  */
#define HEDGE_AFTER 1.5
#define HEDGE_EARLIEST_PART 10
#define HEDGE_LATEST_PART 3
#define HEDGE_SINGLE_PERCENT 60
/* After the answer, sends that have no result may still end by themselves:
   longer than a pause of a target, shorter than the half second after which a
   target should not work for a caller that left.  */
#define LINGER (300 * RW_MSEC)
/* When there is no budget or no good target for a hedge.  */
#define HEDGE_DELAY (10 * RW_MSEC)
#define RETRY_DELAY (20 * RW_MSEC)
/* A send is given up if its work takes longer than so many handshakes.  */
#define HANDSHAKES 3
#define ALL_PARTS SIZE_MAX
/* A hedge is not sent to a target that is expected to take longer than this
   part of the aim.  */
#define HEDGE_WORTH 1.0
/* A peer that stopped answering is not waited for after so many aims.  */
#define RELAY_AIMS 3
/* Until when a caller should come back: another daemon may be able to serve at
   once.  */
#define RETRY_NO_TARGET (200 * RW_MSEC)

static void request_run (struct frn_request *request);
static void start_local (struct frn_request *request);

static struct frn_route_stats *
route_stats (struct frn_daemon *daemon, struct cat_route *route)
{
  if (route->user != NULL)
    return route->user;
  uint64_t key = rw_hash (route->name);
  struct frn_route_stats *stats = rw_map_get (&daemon->routes, key);
  if (stats == NULL)
    {
      stats = rw_xcalloc (1, sizeof *stats);
      ste_latency_init (&stats->latency, route->aim);
      ste_latency_init (&stats->relay, route->aim * 2);
      rw_rng_init (&stats->rng, rw_rng_next (&daemon->fleet.rng));
      rw_map_put (&daemon->routes, key, stats);
    }
  route->user = stats;
  return stats;
}

/* Draws the service of a split by its weights.  */
static uint32_t
draw_service (const struct cat_route *route, struct frn_route_stats *stats)
{
  uint64_t at = rw_rng_below (&stats->rng, route->u.split.total);
  size_t last = 0;
  for (size_t i = 0; i < route->u.split.count; i++)
    {
      const struct cat_share *share = &route->u.split.shares[i];
      if (at < share->weight)
        return share->service;
      at -= share->weight;
      last = i;
    }
  return route->u.split.shares[last].service;
}

static void
bind_services (struct frn_request *request)
{
  const struct cat_route *route = request->route;
  const struct cat_service *services = request->config->services;
  size_t parts = request->query.plan.part_count;
  request->services = rw_arena_zalloc (&request->arena, parts,
                                       sizeof (struct ste_service *));
  switch (route->kind)
    {
    case CAT_ROUTE_SERVICE:
      request->services[0] = services[route->u.service].user;
      break;
    case CAT_ROUTE_SPLIT:
      request->services[0]
          = services[draw_service (route, request->stats)].user;
      break;
    case CAT_ROUTE_GATHER:
      for (size_t i = 0; i < parts; i++)
        request->services[i] = services[route->u.gather.services[i]].user;
      break;
    }
}

static rw_time
clamp (rw_time value, rw_time low, rw_time high)
{
  if (value < low)
    return low;
  return value < high ? value : high;
}

/* The parts, times and limits of a request.  A caller that states less time
   than others on its route has spent the difference on earlier attempts.  */
static struct gat_plan
make_plan (const struct frn_request *request)
{
  const struct cat_route *route = request->route;
  struct frn_route_stats *stats = request->stats;
  struct gat_plan plan = { .part_count = 1, .min_parts = 1 };
  int64_t time_left_ms = request->time_left_ms;
  rw_time spent = 0;
  rw_time longest = route->aim * HEDGE_SINGLE_PERCENT / 100;

  if (time_left_ms > stats->budget_ms)
    stats->budget_ms = time_left_ms;
  if (time_left_ms >= 0)
    spent = (stats->budget_ms - time_left_ms) * RW_MSEC;
  if (route->kind == CAT_ROUTE_GATHER)
    {
      double share = route->u.gather.min_share * (double)route->u.gather.count;
      plan.part_count = route->u.gather.count;
      plan.min_parts = (size_t)share;
      if ((double)plan.min_parts < share - 1e-9)
        plan.min_parts++;
      if (plan.min_parts == 0)
        plan.min_parts = 1;
      longest = route->aim / HEDGE_LATEST_PART;
    }
  plan.max_attempts = route->max_attempts;
  plan.idempotent = route->idempotent;
  plan.hedge_delay = clamp ((rw_time)(stats->latency.p90 * HEDGE_AFTER),
                            route->aim / HEDGE_EARLIEST_PART, longest);
  plan.soft_deadline = request->start + route->aim - spent - AIM_MARGIN
                       - route->aim / AIM_MARGIN_PART
                       - (request->relayed ? RELAY_MARGIN : 0);
  plan.deadline = request->deadline;
  return plan;
}

static void
append_line (struct rw_buf *out, const struct h1_header *header)
{
  rw_buf_append_str (out, header->name);
  rw_buf_append (out, ": ", 2);
  rw_buf_append_str (out, header->value);
  rw_buf_append (out, "\r\n", 2);
}

/* Copies what is passed on to targets.  */
static void
copy_message (struct frn_request *request, const struct h1_message *message,
              struct rw_str id)
{
  struct rw_buf lines;
  request->id = rw_arena_str (&request->arena, id);
  request->method = rw_str_from (http_method_str (message->method));
  request->head = message->method == HTTP_HEAD;
  request->target = rw_arena_str (&request->arena, message->target);
  request->body = rw_arena_str (&request->arena, message->body);
  rw_buf_init (&lines);
  for (size_t i = 0; i < message->header_count; i++)
    {
      struct rw_str name = message->headers[i].name;
      if (!h1_is_hop_by_hop (message, name) && !plt_sets_header (name)
          && !h1_name_eq (name, "Content-Length")
          && !frn_is_relay_header (name))
        append_line (&lines, &message->headers[i]);
    }
  request->headers = rw_arena_str (&request->arena, rw_buf_str (&lines));
  rw_buf_finish (&lines);
}

static bool
has_body (const struct frn_request *request)
{
  return request->body.len > 0 || rw_str_eq_cstr (request->method, "POST")
         || rw_str_eq_cstr (request->method, "PUT");
}

void
frn_request_write (const struct frn_send *send, struct rw_buf *out)
{
  const struct frn_request *request = send->request;
  rw_time left = request->caller_deadline - rw_now ();
  rw_buf_printf (out, "%.*s %.*s HTTP/1.1\r\n", RW_STR_ARG (request->method),
                 RW_STR_ARG (request->target));
  rw_buf_append_str (out, request->headers);
  plt_write_time_left (out, left > 0 ? left / RW_MSEC : 0);
  if (request->mode == FRN_MODE_RELAY)
    frn_relay_write (send, out);
  else
    plt_write_expected_target (out, send->target->id);
  if (has_body (request))
    rw_buf_printf (out, "Content-Length: %zu\r\n", request->body.len);
  rw_buf_append (out, "\r\n", 2);
  rw_buf_append_str (out, request->body);
}

static void
on_timer_closed (uv_handle_t *handle)
{
  struct frn_request *request = handle->data;
  for (struct frn_send *s = request->sends; s != NULL; s = s->next)
    s->target->refs--;
  request->daemon->requests--;
  cat_config_unref (request->config);
  rw_arena_finish (&request->arena);
  free (request);
}

static bool
has_sends (const struct frn_request *request)
{
  for (const struct frn_send *s = request->sends; s != NULL; s = s->next)
    if (s->state != FRN_SEND_ENDED)
      return true;
  return false;
}

/* Frees the request once it has ended and nothing of it is on its way.  */
static void
request_release (struct frn_request *request)
{
  if (!request->ended || request->closing || has_sends (request))
    return;
  request->closing = true;
  uv_close ((uv_handle_t *)&request->timer, on_timer_closed);
}

static struct ste_latency *
latency_of (const struct frn_request *request)
{
  return request->mode == FRN_MODE_RELAY ? &request->stats->relay
                                         : &request->stats->latency;
}

static void
abandon_sends (struct frn_request *request)
{
  for (struct frn_send *s = request->sends; s != NULL; s = s->next)
    frn_send_abandon (s);
}

/* Gives up the sends that nobody waits for any more, where that is cheaper for
   the target than the work: it drops a request when its connection closes, but
   the next connection costs it a handshake.  */
static void
abandon_costly (struct frn_request *request, size_t part)
{
  for (struct frn_send *s = request->sends; s != NULL; s = s->next)
    if ((part == ALL_PARTS || s->part == part)
        && (s->state == FRN_SEND_QUEUED
            || latency_of (request)->mean
                   > (double)s->target->service->handshake_time * HANDSHAKES))
      frn_send_abandon (s);
}

static void
on_timer (uv_timer_t *timer)
{
  struct frn_request *request = timer->data;
  if (!request->ended)
    request_run (request);
  else
    {
      abandon_sends (request);
      request_release (request);
    }
}

/* After the answer, or after the caller left: what waits for a link is not
   sent any more, the rest may end by itself for a while.  */
void
frn_request_end (struct frn_request *request)
{
  request->ended = true;
  request->conn = NULL;
  abandon_costly (request, ALL_PARTS);
  uv_timer_start (&request->timer, on_timer, LINGER / RW_MSEC, 0);
  request_release (request);
}

static void
arm_timer (struct frn_request *request, rw_time now)
{
  rw_time next = gat_next_event (&request->query, now);
  /* Rounded up, so that the timer does not fire before its time.  */
  uint64_t ms = (uint64_t)((next - now + RW_MSEC - 1) / RW_MSEC);
  uv_timer_start (&request->timer, on_timer, ms, 0);
}

static struct ste_target **
tried_of (struct frn_request *request, size_t part)
{
  return request->tried + part * (request->query.plan.max_attempts + 4);
}

static void
send_part (struct frn_request *request, size_t part, struct ste_target *target,
           enum gat_send_kind kind, rw_time now)
{
  struct frn_send *send = rw_arena_zalloc (&request->arena, 1, sizeof *send);
  size_t count = request->query.parts[part].sends;
  tried_of (request, part)[count] = target;
  send->request = request;
  send->part = part;
  send->kind = kind;
  send->target = target;
  target->refs++;
  send->next = request->sends;
  request->sends = send;
  gat_on_sent (&request->query, part, now);
  ste_on_sent (&send->steer, target, latency_of (request), now);
  frn_pool_send (request->daemon, send);
}

/* Chooses the target of a part and sends it there, or puts it off.  */
static void
try_part (struct frn_request *request, size_t part, enum gat_send_kind kind,
          rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  struct ste_service *service = request->services[part];
  struct ste_latency *latency = latency_of (request);
  struct ext_limits limits
      = { daemon->settings.extra_ratio, daemon->settings.extra_slack,
          daemon->settings.extra_window,
          daemon->fleet.settings.shard_sharers };
  size_t tried_n = request->query.parts[part].sends;
  struct ste_target *target
      = ste_pick (&daemon->fleet, service, latency, tried_of (request, part),
                  tried_n, now);
  if (target == NULL && kind == GAT_SEND_RETRY)
    target = ste_pick (&daemon->fleet, service, latency, NULL, 0, now);
  if (target == NULL)
    {
      bool lost = kind == GAT_SEND_FIRST
                  || (kind == GAT_SEND_RETRY
                      && !ste_any_usable (&daemon->fleet, service, now));
      gat_postpone (&request->query, part, now, lost ? -1 : RETRY_DELAY);
      return;
    }
  if (kind == GAT_SEND_HEDGE
      && ste_expected_time (&daemon->fleet, target, latency, now)
             > (double)request->route->aim * HEDGE_WORTH)
    {
      gat_postpone (&request->query, part, now, HEDGE_DELAY);
      return;
    }
  if (request->mode == FRN_MODE_RELAY)
    sta_inc (daemon->metrics.relays);
  else if (kind == GAT_SEND_FIRST)
    {
      ext_count_request (&service->budget, &limits, now);
      sta_inc (daemon->metrics.first);
    }
  else if (!ext_take (&service->budget, &limits, now))
    {
      sta_inc (daemon->metrics.budget_empty);
      gat_postpone (&request->query, part, now, RETRY_DELAY);
      return;
    }
  else
    sta_inc (kind == GAT_SEND_HEDGE ? daemon->metrics.hedges
                                    : daemon->metrics.retries);
  sta_inc (daemon->metrics.admission[ste_state_of (target, now)]);
  send_part (request, part, target, kind, now);
}

/* A peer that still answers others is waited for until the end.  */
static bool
extend_relay (struct frn_request *request, rw_time now)
{
  if (request->mode != FRN_MODE_RELAY || request->query.unfinished == 0
      || now >= request->deadline)
    return false;
  for (const struct frn_send *s = request->sends; s != NULL; s = s->next)
    if (s->state == FRN_SEND_SENT && !ste_stalled (s->target, now))
      {
        request->query.plan.deadline = request->deadline;
        return true;
      }
  return false;
}

/* Sends what is due, then answers, gives up or waits.  */
static void
request_run (struct frn_request *request)
{
  rw_time now = rw_now ();
  size_t position = 0;
  size_t part;
  enum gat_send_kind kind;

  enum gat_decision decision = gat_decide (&request->query, now);
  while (decision == GAT_WAIT
         && gat_next_send (&request->query, now, &position, &part, &kind))
    {
      try_part (request, part, kind, now);
      if (request->ended)
        return;
      decision = gat_decide (&request->query, now);
    }
  if (decision == GAT_WAIT)
    {
      arm_timer (request, now);
      return;
    }
  if (decision == GAT_GIVE_UP && extend_relay (request, now))
    {
      arm_timer (request, now);
      return;
    }
  frn_answer_query (request, decision == GAT_ANSWER);
  frn_request_end (request);
}

/* Keeps a target's own failure: it is passed on if no attempt succeeds.  */
static void
keep_failure (struct frn_request *request, const struct h1_message *message)
{
  struct rw_buf lines;
  rw_buf_init (&lines);
  for (size_t i = 0; i < message->header_count; i++)
    if (!h1_is_hop_by_hop (message, message->headers[i].name)
        && !h1_name_eq (message->headers[i].name, "Content-Length"))
      append_line (&lines, &message->headers[i]);
  request->failure.status = message->status;
  request->failure.headers
      = rw_arena_str (&request->arena, rw_buf_str (&lines));
  request->failure.body = rw_arena_str (&request->arena, message->body);
  request->has_failure = true;
  rw_buf_finish (&lines);
}

static void
note_error (struct frn_request *request, const struct frn_send *send,
            const char *reason)
{
  request->last_error = reason;
  rw_str_copy (request->last_target, sizeof request->last_target,
               rw_str_from (send->target->id));
}

static void
after_failure (struct frn_request *request, size_t part,
               enum gat_failure failure)
{
  gat_on_failure (&request->query, part, failure, rw_now (),
                  failure == GAT_FAIL_NOT_RUN ? RW_MSEC : 0);
  if (request->ended)
    request_release (request);
  else if (request->mode == FRN_MODE_RELAY && failure == GAT_FAIL_NOT_RUN)
    start_local (request);
  else
    request_run (request);
}

void
frn_request_failed (struct frn_send *send, enum gat_failure failure,
                    const char *reason)
{
  struct frn_request *request = send->request;
  sta_inc (request->daemon->metrics.send_outcome[FRN_SEND_BROKEN]);
  note_error (request, send, reason);
  after_failure (request, send->part, failure);
}

/* The answer of a larger peer is final, unless the peer refused.  */
static void
take_relayed (struct frn_send *send, const struct h1_message *message)
{
  struct frn_request *request = send->request;
  note_error (request, send, "");
  if (request->ended)
    {
      request_release (request);
      return;
    }
  if (frn_relay_refused (message))
    {
      note_error (request, send, "peer refused");
      after_failure (request, send->part, GAT_FAIL_NOT_RUN);
      return;
    }
  keep_failure (request, message);
  gat_on_part (&request->query, 0, (struct rw_str){ NULL, 0 },
               (struct rw_str){ NULL, 0 });
  request_run (request);
}

void
frn_request_reply (struct frn_send *send, const struct h1_message *message,
                   const struct plt_reply *reply)
{
  struct frn_request *request = send->request;
  struct frn_metrics *metrics = &request->daemon->metrics;
  bool gather = request->route->kind == CAT_ROUTE_GATHER;
  bool success = message->status >= 200 && message->status < 300;

  if (request->mode == FRN_MODE_RELAY)
    {
      take_relayed (send, message);
      return;
    }
  if (reply->not_run)
    {
      sta_inc (metrics->send_outcome[FRN_SEND_REFUSED]);
      note_error (request, send, "target refused");
      after_failure (request, send->part, GAT_FAIL_NOT_RUN);
      return;
    }
  if (!success && (gather || message->status >= 500))
    {
      sta_inc (metrics->send_outcome[FRN_SEND_BROKEN]);
      note_error (request, send, "target failed");
      if (!gather && !request->ended)
        keep_failure (request, message);
      after_failure (request, send->part, GAT_FAIL_RAN);
      return;
    }
  sta_inc (metrics->send_outcome[FRN_SEND_OK]);
  if (request->ended)
    {
      request_release (request);
      return;
    }
  if (!gather)
    keep_failure (request, message);
  gat_on_part (&request->query, send->part,
               rw_arena_str (&request->arena, reply->stamp),
               gather ? rw_arena_str (&request->arena, message->body)
                      : (struct rw_str){ NULL, 0 });
  abandon_costly (request, send->part);
  request_run (request);
}

/* Shards that no target serves now make an answer impossible: refused at
   once.  */
static bool
is_servable (const struct frn_request *request, rw_time now)
{
  const struct gat_plan *plan = &request->query.plan;
  size_t served = 0;
  for (size_t i = 0; i < plan->part_count; i++)
    served
        += ste_any_usable (&request->daemon->fleet, request->services[i], now);
  return served >= plan->min_parts;
}

static void
init_query (struct frn_request *request, const struct gat_plan *plan)
{
  gat_init (&request->query, &request->arena, plan, rw_now ());
  request->tried = rw_arena_zalloc (
      &request->arena, plan->part_count * (plan->max_attempts + 4),
      sizeof (struct ste_target *));
}

/* Sends the parts from here.  */
static void
start_local (struct frn_request *request)
{
  struct gat_plan plan = make_plan (request);
  request->mode = FRN_MODE_LOCAL;
  init_query (request, &plan);
  bind_services (request);
  if (is_servable (request, rw_now ()))
    {
      request_run (request);
      return;
    }
  request->last_error = "no target";
  frn_refuse_request (request, FRN_REFUSE_NO_TARGET, RETRY_NO_TARGET);
  frn_request_end (request);
}

/* Leaves the parts to a larger peer.  What the peer certainly did not begin is
   sent from here; anything else would exceed the attempts of the route.  */
static void
start_relay (struct frn_request *request)
{
  struct gat_plan plan
      = { .part_count = 1, .min_parts = 1, .max_attempts = 1 };
  plan.deadline = request->start + request->route->aim * RELAY_AIMS;
  if (plan.deadline > request->deadline)
    plan.deadline = request->deadline;
  plan.soft_deadline = plan.deadline;
  request->mode = FRN_MODE_RELAY;
  init_query (request, &plan);
  request->services = &request->daemon->peers.large;
  request_run (request);
}

void
frn_request_begin (struct frn_daemon *daemon, struct h1_conn *conn,
                   const struct h1_message *message, struct cat_route *route,
                   const struct plt_request *head, rw_time start, bool relayed)
{
  struct frn_request *request = rw_xcalloc (1, sizeof *request);
  rw_time limit = route->timeout;

  if (head->time_left_ms >= 0 && head->time_left_ms * RW_MSEC < limit)
    limit = head->time_left_ms * RW_MSEC;
  request->daemon = daemon;
  request->conn = conn;
  request->relayed = relayed;
  request->time_left_ms = head->time_left_ms;
  request->config = cat_config_ref (daemon->config);
  request->route = route;
  request->stats = route_stats (daemon, route);
  request->start = start;
  request->caller_deadline = start + limit;
  request->deadline = start + limit - ANSWER_MARGIN;
  rw_arena_init (&request->arena, ARENA_BLOCK);
  copy_message (request, message, head->id);
  uv_timer_init (daemon->loop, &request->timer);
  request->timer.data = request;
  daemon->requests++;
  h1_conn_set_data (conn, request);
  if (frn_relay_wanted (daemon, request, rw_now ()))
    start_relay (request);
  else
    start_local (request);
}
