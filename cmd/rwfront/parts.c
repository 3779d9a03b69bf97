#include <math.h>
#include <string.h>

#include "frn_feasible.h"
#include "frn_quarantine.h"
#include "forward.h"
#include "front.h"

/* A hedge is tried again after this time if no target is fast enough for it.
 */
#define HEDGE_POSTPONE_TIME (10 * RW_MSEC)
/* Any send is tried again after this time if no target can take it or the
   retry budget is empty.  */
#define SEND_POSTPONE_TIME (20 * RW_MSEC)
/* A send in flight is abandoned only if the work on it exceeds this number of
   handshake times: closing its connection costs the target a handshake.  */
#define MIN_ABANDON_HANDSHAKES 3
/* A hedge is sent neither to a target whose expected latency exceeds this
   multiple of the aim, nor to one with a long queue: in an overload hedges
   would only lengthen the queues.  */
#define MAX_HEDGE_AIM_RATIO 1.0

/* The latency statistics of what a send of SCOPE carries.  */
static struct ste_latency *
latency_of (const struct frn_request *request, enum frn_scope scope)
{
  switch (scope)
    {
    case FRN_SCOPE_PART:
      break;
    case FRN_SCOPE_SUBQUERY:
      return &request->stats->subquery_latency;
    case FRN_SCOPE_QUERY:
      return &request->stats->relay_latency;
    }
  return &request->stats->part_latency;
}

/* What the sends of the parts of the request carry in its present mode.  */
static enum frn_scope
scope_of (const struct frn_request *request)
{
  return request->mode == FRN_MODE_RELAY ? FRN_SCOPE_QUERY : FRN_SCOPE_PART;
}

void
frn_abandon_sends (struct frn_request *request)
{
  for (struct frn_send *s = request->sends; s != NULL; s = s->next)
    frn_send_abandon (s);
}

bool
frn_send_has_part (const struct frn_send *send, size_t part)
{
  if (send->scope != FRN_SCOPE_SUBQUERY)
    return send->u.part == part;
  for (size_t i = 0; i < send->u.subquery.count; i++)
    if (send->u.subquery.parts[i] == part)
      return true;
  return false;
}

/* Returns whether closing the connection of SEND costs less than letting it
   end.  A target drops a request when its connection closes, but the next
   connection costs it a handshake.  A delegate has several targets at work. */
static bool
is_abandon_cheaper (const struct frn_request *request,
                    const struct frn_send *send)
{
  return send->state == FRN_SEND_QUEUED || send->scope == FRN_SCOPE_SUBQUERY
         || latency_of (request, send->scope)->work.mean
                > (double)send->target->service->handshake_time
                      * MIN_ABANDON_HANDSHAKES;
}

void
frn_abandon_if_cheaper (struct frn_request *request, size_t part)
{
  if (request->daemon->settings.without[FRN_MECH_ABANDON])
    return;
  for (struct frn_send *s = request->sends; s != NULL; s = s->next)
    if ((part == FRN_ALL_PARTS
         || (s->scope != FRN_SCOPE_SUBQUERY && s->u.part == part))
        && is_abandon_cheaper (request, s))
      frn_send_abandon (s);
}

/* The targets of the sends of PART, oldest first.  */
static struct ste_target **
tried_of (struct frn_request *request, size_t part)
{
  return request->tried + part * gat_max_sends (&request->query.plan);
}

void
frn_send_start (struct frn_request *request, struct frn_send *send,
                enum gat_send_kind kind, rw_time now)
{
  send->request = request;
  send->kind = kind;
  send->target->refs++;
  send->next = request->sends;
  request->sends = send;
  ste_on_sent (&send->steer, send->target, latency_of (request, send->scope),
               now);
  frn_pool_send (request->daemon, send);
}

/* Sends PART to TARGET and records the send in the request, the query and the
   target's state.  */
static void
send_part (struct frn_request *request, size_t part, struct ste_target *target,
           enum gat_send_kind kind, rw_time now)
{
  struct frn_send *send = rw_arena_zalloc (&request->arena, 1, sizeof *send);
  size_t count = request->query.parts[part].sends;
  tried_of (request, part)[count] = target;
  send->scope = scope_of (request);
  send->u.part = part;
  send->target = target;
  ste_spend_limit (&request->daemon->fleet, target, now);
  sta_inc (request->daemon->metrics.admission[ste_state_of (target, now)]);
  if (target->limited)
    sta_inc (request->daemon->metrics.limited_sends[kind]);
  gat_on_sent (&request->query, part, now);
  gat_scale_hedge (&request->query, part, ste_hedge_factor (target, now), now);
  frn_send_start (request, send, kind, now);
}

/* The limits of the retry budget of SERVICE.  Its rounding differs between
   daemons and services.  */
struct ext_limits
frn_budget_limits (const struct frn_daemon *daemon,
                   const struct ste_service *service)
{
  uint64_t hash
      = rw_hash_u64 (daemon->fleet.settings.daemon_key, service->key);
  return (struct ext_limits){ .ratio = daemon->settings.budget_ratio,
                              .slack = daemon->settings.budget_slack,
                              .window = daemon->settings.budget_window,
                              .sharers
                              = ste_limit_sharers (&daemon->fleet, service),
                              .rounding = ldexp ((double)hash, -64) };
}

void
frn_send_first (struct frn_request *request, size_t part,
                struct ste_target *target, rw_time now)
{
  struct ste_service *service = request->services[part];
  struct ext_limits limits = frn_budget_limits (request->daemon, service);
  ext_count_request (&service->budget, &limits, now);
  sta_inc (request->daemon->metrics.first_sends);
  send_part (request, part, target, GAT_SEND_FIRST, now);
}

bool
frn_can_answer (const struct frn_request *request,
                const struct ste_target *target, double ahead, rw_time now)
{
  const struct stp_stop *stop = &request->daemon->stop;
  if (!stop->begun)
    return true;
  /* A peer that was asked little needs at least as long as a target.  */
  double work = fmax (latency_of (request, scope_of (request))->work.mean,
                      request->stats->part_latency.work.mean);
  return stp_can_answer (stop, ste_safe_time (target, work, ahead, now), now);
}

void
frn_try_part (struct frn_request *request, size_t part,
              enum gat_send_kind kind, rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  struct ste_service *service = request->services[part];
  struct ste_latency *latency = latency_of (request, scope_of (request));
  struct ext_limits limits = frn_budget_limits (daemon, service);
  size_t tried_n = request->query.parts[part].sends;
  rw_time delay = frn_quarantine_delay (request, part, now);
  if (delay != 0)
    {
      gat_postpone (&request->query, part, now, delay);
      return;
    }
  rw_time wait = kind == GAT_SEND_RETRY
                     ? gat_retry_wait (&request->query, part, now)
                     : 0;
  if (wait > 0)
    {
      gat_postpone (&request->query, part, now,
                    wait < SEND_POSTPONE_TIME ? wait : SEND_POSTPONE_TIME);
      return;
    }
  struct ste_target *target = frn_quarantine_pick (
      request, service, latency, tried_of (request, part), tried_n, now);
  if (target == NULL && kind == GAT_SEND_RETRY)
    target = frn_quarantine_pick (request, service, latency, NULL, 0, now);
  if (target == NULL)
    {
      bool no_target = kind == GAT_SEND_FIRST
                       || (kind == GAT_SEND_RETRY
                           && !ste_any_usable (&daemon->fleet, service, now));
      gat_postpone (&request->query, part, now,
                    no_target ? -1 : SEND_POSTPONE_TIME);
      return;
    }
  if (!frn_can_answer (request, target, target->in_flight, now))
    {
      bool is_hedge = kind == GAT_SEND_HEDGE;
      if (!is_hedge)
        {
          request->stopped = true;
          request->last_error = "daemon is stopping";
        }
      gat_postpone (&request->query, part, now,
                    is_hedge ? HEDGE_POSTPONE_TIME : -1);
      return;
    }
  if (kind == GAT_SEND_HEDGE
      && (!gat_may_hedge (&request->query)
          || !frn_quarantine_may_hedge (request) || !ste_has_room (target, now)
          || ste_expected_time (&daemon->fleet, target, latency, now)
                 > (double)request->route->aim * MAX_HEDGE_AIM_RATIO))
    {
      gat_postpone (&request->query, part, now, HEDGE_POSTPONE_TIME);
      return;
    }
  if (request->mode == FRN_MODE_RELAY)
    sta_inc (daemon->metrics.relays);
  else if (kind == GAT_SEND_FIRST)
    {
      if (frn_quarantine_sends_alone (request, now)
          || !frn_subquery_collect (request, part, target, now))
        frn_send_first (request, part, target, now);
      return;
    }
  else if (gat_send_is_extra (&request->query, part)
           && !ext_take (&service->budget, &limits, now))
    {
      sta_inc (daemon->metrics.budget_empty);
      request->denied_sends++;
      gat_deny (&request->query, part, now, SEND_POSTPONE_TIME);
      return;
    }
  else
    sta_inc (kind == GAT_SEND_HEDGE ? daemon->metrics.hedges
                                    : daemon->metrics.retries);
  send_part (request, part, target, kind, now);
}
