#include <stdlib.h>

#include "forward.h"
#include "front.h"

/* A partial answer is sent this long, plus 1/20 of the aim, before the aim
   ends: the round trip to the caller takes up to 6 ms.  */
#define AIM_MARGIN (6 * RW_MSEC)
#define AIM_MARGIN_DIVISOR 20
/* Added to this margin for a relayed request, as the smaller peer is slow to
   forward the answer.  */
#define RELAY_MARGIN (6 * RW_MSEC)
/* The answer of a subquery is sent this long before it is due.  */
#define SUBQUERY_MARGIN (3 * RW_MSEC)
/* A part is hedged after this multiple of the 0.9 quantile of its route's
   latency, but not before 1/10 of the aim, and at the latest after 1/3 of it,
   so that the hedge can still succeed in time.  A request for one target waits
   up to 60% of the aim, as its work takes a larger part of the aim.  */
#define HEDGE_LATENCY_RATIO 1.5
#define MIN_HEDGE_DELAY_DIVISOR 10
#define MAX_HEDGE_DELAY_DIVISOR 3
#define SINGLE_MAX_HEDGE_DELAY_PERCENT 60

struct frn_route_stats *
frn_route_stats_of (struct frn_daemon *daemon, struct cat_route *route)
{
  if (route->user != NULL)
    return route->user;
  uint64_t key = rw_hash (route->name);
  struct frn_route_stats *stats = rw_map_get (&daemon->route_stats, key);
  if (stats == NULL)
    {
      stats = rw_xcalloc (1, sizeof *stats);
      ste_latency_init (&stats->part_latency, route->aim);
      ste_latency_init (&stats->relay_latency, route->aim * 2);
      ste_latency_init (&stats->subquery_latency, route->aim * 2);
      rw_rng_init (&stats->split_rng, rw_rng_next (&daemon->fleet.rng));
      rw_map_put (&daemon->route_stats, key, stats);
    }
  route->user = stats;
  return stats;
}

/* Draws a service of a split route with probability proportional to its
   weight.  */
static uint32_t
draw_service (const struct cat_route *route, struct frn_route_stats *stats)
{
  uint64_t draw = rw_rng_below (&stats->split_rng, route->u.split.total);
  size_t last = 0;
  for (size_t i = 0; i < route->u.split.count; i++)
    {
      const struct cat_share *share = &route->u.split.shares[i];
      if (draw < share->weight)
        return share->service;
      draw -= share->weight;
      last = i;
    }
  return route->u.split.shares[last].service;
}

void
frn_bind_services (struct frn_request *request)
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
        {
          size_t shard
              = request->order != NULL ? request->order->shards[i] : i;
          request->services[i]
              = services[route->u.gather.services[shard]].user;
        }
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

/* Limits PLAN to what the subquery that REQUEST serves asks for.  */
static void
limit_plan (const struct frn_request *request, struct gat_plan *plan)
{
  const struct sbq_order *order = request->order;
  plan->part_count = order->shard_count;
  plan->min_parts = order->spare < order->shard_count
                        ? order->shard_count - order->spare
                        : 1;
  if (order->max_attempts < plan->max_attempts)
    plan->max_attempts = order->max_attempts;
  plan->soft_deadline
      = request->start + order->soft_ms * RW_MSEC - SUBQUERY_MARGIN;
}

rw_time
frn_time_spent (struct frn_request *request, const struct h1_message *message)
{
  struct gat_patience *patience = &request->stats->patience;
  if (request->relayed)
    return frn_relay_time_spent (message);
  if (request->time_left_ms < 0
      || request->daemon->settings.without[FRN_MECH_RETURNED])
    return 0;
  gat_count_patience (patience, request->time_left_ms);
  return gat_time_spent (patience, request->time_left_ms);
}

struct gat_plan
frn_make_plan (struct frn_request *request)
{
  const struct cat_route *route = request->route;
  struct frn_route_stats *stats = request->stats;
  struct gat_plan plan = { .part_count = 1, .min_parts = 1 };
  rw_time max_hedge_delay = route->aim * SINGLE_MAX_HEDGE_DELAY_PERCENT / 100;

  if (route->kind == CAT_ROUTE_GATHER)
    {
      double share = route->u.gather.min_share * (double)route->u.gather.count;
      plan.part_count = route->u.gather.count;
      /* Rounded up; the tolerance covers the rounding error of SHARE.  */
      plan.min_parts = (size_t)share;
      if ((double)plan.min_parts < share - 1e-9)
        plan.min_parts++;
      if (plan.min_parts == 0)
        plan.min_parts = 1;
      max_hedge_delay = route->aim / MAX_HEDGE_DELAY_DIVISOR;
    }
  plan.max_attempts = route->max_attempts;
  plan.idempotent = route->idempotent;
  plan.hedge_delay
      = clamp ((rw_time)(stats->part_latency.p90 * HEDGE_LATENCY_RATIO),
               route->aim / MIN_HEDGE_DELAY_DIVISOR, max_hedge_delay);
  plan.soft_deadline = request->start + route->aim - request->time_spent
                       - AIM_MARGIN - route->aim / AIM_MARGIN_DIVISOR
                       - (request->relayed ? RELAY_MARGIN : 0);
  if (!request->daemon->settings.without[FRN_MECH_LATENESS])
    plan.soft_deadline -= gat_lateness_margin (&request->daemon->lateness);
  plan.deadline = request->deadline;
  if (request->daemon->settings.without[FRN_MECH_PARTIAL])
    plan.soft_deadline = plan.deadline;
  if (request->daemon->settings.without[FRN_MECH_HEDGES])
    plan.hedge_delay = RW_TIME_NEVER / 2;
  if (request->order != NULL)
    limit_plan (request, &plan);
  return plan;
}
