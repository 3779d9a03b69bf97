#include <stdlib.h>

#include "frn_feasible.h"

/* Callers that are told when targets can be used again return within this
   fraction of the time after it, not all at once.  */
#define RETURN_SPREAD_DIVISOR 4
/* Bounds of the Retry-After of an infeasible request.  The end of an outage is
   noticed within 100 ms by probes, so callers are not sent away for long.  */
#define MIN_OUTAGE_WAIT (200 * RW_MSEC)
#define MAX_OUTAGE_WAIT (2 * RW_SEC)

rw_time
frn_time_until_servable (struct frn_request *request, rw_time now)
{
  const struct gat_plan *plan = &request->query.plan;
  double *times
      = rw_arena_zalloc (&request->arena, plan->part_count, sizeof *times);
  for (size_t i = 0; i < plan->part_count; i++)
    times[i] = ste_time_until_usable (&request->daemon->fleet,
                                      request->services[i], now);
  double time = gat_time_until_enough (times, plan);
  return time < (double)RW_TIME_NEVER ? (rw_time)time : RW_TIME_NEVER;
}

/* Returns the time until enough parts of REQUEST, which is infeasible, are
   expected to be possible.  */
static rw_time
outage_wait (struct frn_request *request, rw_time now)
{
  const struct gat_query *query = &request->query;
  double *times = rw_arena_zalloc (&request->arena, query->plan.part_count,
                                   sizeof *times);
  for (size_t i = 0; i < query->plan.part_count; i++)
    if (query->parts[i].state != GAT_PART_DONE)
      times[i] = (double)query->parts[i].ready_at - (double)now;
  double wait = gat_time_until_enough (times, &query->plan);
  if (wait < (double)MIN_OUTAGE_WAIT)
    return MIN_OUTAGE_WAIT;
  return wait < (double)MAX_OUTAGE_WAIT ? (rw_time)wait : MAX_OUTAGE_WAIT;
}

rw_time
frn_return_time (struct frn_request *request, rw_time usual, rw_time now)
{
  rw_time wait = frn_time_until_servable (request, now);
  if (wait == 0 && frn_is_infeasible (request))
    wait = outage_wait (request, now);
  if (wait == 0 || wait == RW_TIME_NEVER)
    return usual;
  return wait
         + (rw_time)rw_rng_below (&request->daemon->fleet.rng,
                                  (uint64_t)wait / RETURN_SPREAD_DIVISOR + 1);
}

/* Notes which parts of QUERY have a send in flight that may be answered.  What
   was left to a delegate is up to that, which is watched by
   frn_subquery_expire.  The queue of a target that has stalled would excuse a
   new send for long, so only a probe waits for its answer.  */
static void
note_sends (struct frn_request *request, rw_time now)
{
  struct gat_query *query = &request->query;
  rw_time wait = query->plan.hedge_delay < request->route->aim
                     ? query->plan.hedge_delay
                     : request->route->aim;
  for (size_t i = 0; i < query->plan.part_count; i++)
    query->parts[i].answering = false;
  for (const struct frn_send *s = request->sends; s != NULL; s = s->next)
    {
      if (s->state == FRN_SEND_ENDED)
        continue;
      if (s->scope != FRN_SCOPE_SUBQUERY)
        {
          query->parts[s->u.part].answering
              |= !ste_stalled (s->target, now)
                 || (query->is_probe && now < s->steer.sent_at + wait);
          continue;
        }
      for (size_t i = 0; i < s->u.subquery.count; i++)
        query->parts[s->u.subquery.parts[i]].answering = true;
    }
}

/* What is known of the targets of PART.  */
static struct gat_outlook
outlook_of (const struct frn_request *request, size_t part, rw_time now)
{
  const struct frn_daemon *daemon = request->daemon;
  const struct ste_service *service = request->services[part];
  struct ste_outlook known = ste_outlook_of (&daemon->fleet, service, now);
  struct gat_outlook outlook
      = { .answering = request->query.parts[part].answering,
          .has_target = known.has_target,
          .has_proven_target = known.has_proven,
          .usable_in = RW_TIME_NEVER,
          .outage = known.outage };
  if (!known.has_target)
    {
      double wait = ste_time_until_usable (&daemon->fleet, service, now);
      if (wait > 0 && wait < (double)RW_TIME_NEVER)
        outlook.usable_in = (rw_time)wait;
    }
  if (request->query.parts[part].in_flight == 0
      && gat_send_is_extra (&request->query, part))
    {
      struct ext_limits limits = frn_budget_limits (daemon, service);
      outlook.budget_in = ext_time_until_free (&service->budget, &limits, now);
    }
  return outlook;
}

static void
forecast (struct frn_request *request, rw_time now)
{
  struct gat_query *query = &request->query;
  note_sends (request, now);
  for (size_t i = 0; i < query->plan.part_count; i++)
    {
      const struct gat_part *p = &query->parts[i];
      if (p->state == GAT_PART_DONE || p->state == GAT_PART_LOST)
        continue;
      struct gat_outlook outlook = outlook_of (request, i, now);
      gat_note_outlook (query, i, &outlook, now);
    }
  gat_forecast (query, now);
}

/* Whether forecasts are made for REQUEST.  A relayed request is judged by the
   peer, and a subquery by the daemon that has the whole query.  */
static bool
is_judged (const struct frn_request *request)
{
  return request->mode == FRN_MODE_LOCAL && request->order == NULL
         && !request->daemon->settings.without[FRN_MECH_INFEASIBLE];
}

void
frn_feasible_update (struct frn_request *request, rw_time now)
{
  if (is_judged (request) && gat_forecast_due (&request->query, now))
    forecast (request, now);
}

bool
frn_feasible_admit (struct frn_request *request, rw_time now)
{
  if (!is_judged (request))
    return true;
  gat_start_forecasts (&request->query, now);
  frn_feasible_update (request, now);
  return !frn_is_infeasible (request)
         || gat_begin_probe (&request->query, &request->stats->next_probe,
                             now);
}

bool
frn_gave_up_waiting (const struct frn_request *request)
{
  const struct gat_query *query = &request->query;
  for (size_t i = 0; i < query->plan.part_count; i++)
    {
      const struct gat_part *p = &query->parts[i];
      if (p->state == GAT_PART_SENT && p->ready_at > query->plan.deadline)
        return frn_is_infeasible (request);
    }
  return false;
}

bool
frn_is_infeasible (const struct frn_request *request)
{
  return request->query.prospect == GAT_PROSPECT_NONE;
}
