#include <stdlib.h>

#include "front.h"

/* Time between two log lines about the overload of a route.  */
#define LOG_INTERVAL RW_SEC
/* Parts whose delays are read; more are not needed to notice an overload.  */
#define MAX_DELAYS 1024

/* The group of routes that use the same targets as REQUEST, created at the
   first request.  Its key is the lowest of the parts' services, since two
   routes may list the same shards in another order.  */
static struct shd_group *
group_of (const struct frn_request *request)
{
  struct rw_map *groups = &request->daemon->shed_groups;
  uint64_t key = request->services[0]->key;
  for (size_t i = 1; i < request->query.plan.part_count; i++)
    if (request->services[i]->key < key)
      key = request->services[i]->key;
  struct shd_group *group = rw_map_get (groups, key);
  if (group == NULL)
    {
      group = rw_xcalloc (1, sizeof *group);
      rw_map_put (groups, key, group);
    }
  return group;
}

/* The delay in queues that the request would meet.  */
static double
queue_delay (const struct frn_request *request, rw_time now)
{
  const struct gat_plan *plan = &request->query.plan;
  double delays[MAX_DELAYS];
  size_t count = plan->part_count < MAX_DELAYS ? plan->part_count : MAX_DELAYS;
  for (size_t i = 0; i < count; i++)
    delays[i]
        = ste_queue_delay (&request->daemon->fleet, request->services[i], now);
  return shd_critical_delay (delays, count, plan->min_parts);
}

/* The rank of REQUEST: an organisation's priority goes before the route's.  */
static unsigned int
rank_of (const struct frn_request *request)
{
  const struct org_organisation *o = request->organisation;
  return o != NULL && o->has_priority ? o->priority : 0;
}

/* The class of REQUEST, added at the first request of its rank.  */
static struct frn_shed_class *
class_of (const struct frn_request *request)
{
  struct frn_route_stats *stats = request->stats;
  unsigned int rank = rank_of (request);
  for (size_t i = 0; i < stats->shed_class_count; i++)
    if (stats->shed_classes[i].rank == rank)
      return &stats->shed_classes[i];
  if (stats->shed_class_count == FRN_MAX_SHED_CLASSES)
    return &stats->shed_classes[FRN_MAX_SHED_CLASSES - 1];
  struct frn_shed_class *class = &stats->shed_classes
                                      [stats->shed_class_count++];
  class->rank = rank;
  shd_init (&class->shed);
  return class;
}

/* Writes a line when the class begins or ceases to refuse requests, and
   regularly in between.  */
static void
log_share (const struct frn_request *request, struct frn_shed_class *class,
           rw_time now)
{
  const struct shd_route *shed = &class->shed;
  bool ended = shed->share == 0;
  if (ended && class->logged_at == 0)
    return;
  if (!ended && class->logged_at > 0 && now - class->logged_at < LOG_INTERVAL)
    return;
  evt_line (&request->daemon->log, EVT_NORMAL, "overload", now,
            "%s: route=%s share=%.2f delay_ms=%.1f target_delay_ms=%.1f "
            "work_ms=%.1f rank=%u",
            ended ? "ended" : "refusing",
            evt_value (request->route->name).text, shed->share,
            shed->delay / RW_MSEC, shed->target / RW_MSEC,
            request->stats->part_latency.work.mean / RW_MSEC, class->rank);
  class->logged_at = ended ? 0 : now;
}

/* Adapts the share of CLASS that is refused.  SLACK is the time that a part
   may wait in a queue.  */
static void
update_share (const struct frn_request *request, struct frn_shed_class *class,
              rw_time now)
{
  struct frn_route_stats *stats = request->stats;
  const struct gat_plan *plan = &request->query.plan;
  struct shd_group *group = group_of (request);
  rw_time budget = plan->soft_deadline - request->start + request->time_spent;
  struct shd_claim claim
      = { .key = rw_hash_u64 (rw_hash (request->route->name), class->rank),
          .rank = class->rank,
          .priority = request->route->priority,
          .work = stats->part_latency.work.mean,
          .slack = (double)budget - stats->part_latency.work.mean,
          .seen_at = now };
  shd_group_claim (group, &claim);
  shd_update (&class->shed, queue_delay (request, now),
              shd_target_delay (group, claim.key, now), now);
  log_share (request, class, now);
  struct frn_route_metrics *metrics = frn_metrics_for_route (
      &request->daemon->metrics, stats, request->route->name);
  sta_set_value (metrics->refused_share, class->shed.share);
  sta_set_value (metrics->queue_delay, class->shed.delay / RW_SEC);
}

/* Decides on REQUEST of CLASS.  An organisation far above its usual load comes
   last, one that was served much less often than others comes first.  */
static bool
is_admitted (const struct frn_request *request, struct frn_shed_class *class,
             rw_time now)
{
  struct fai_table *fair = &request->daemon->fair;
  const struct org_organisation *o = request->organisation;
  enum fai_standing standing = FAI_NORMAL;
  enum shd_order order = shd_order_of (request->time_spent,
                                       request->query.plan.soft_deadline - now,
                                       request->stats->part_latency.work.mean);
  if (o != NULL && !request->daemon->settings.without[FRN_MECH_FAIR])
    {
      fai_on_request (fair, o->id, now);
      standing = fai_standing (fair, o->id, now);
    }
  if (standing == FAI_ABOVE_USUAL)
    order = SHD_LAST;
  bool is_admitted = shd_admit (&class->shed, order)
                     || (standing == FAI_NEGLECTED && order == SHD_FIRST);
  if (o != NULL && class->shed.share > 0)
    fai_on_decision (fair, o->id, is_admitted, now);
  return is_admitted;
}

bool
frn_overload_admit (struct frn_request *request)
{
  struct frn_shed_class *class;
  rw_time now = rw_now ();
  if (request->daemon->settings.without[FRN_MECH_OVERLOAD])
    return true;
  class = class_of (request);
  request->shed = &class->shed;
  if (shd_update_due (&class->shed, now))
    update_share (request, class, now);
  if (is_admitted (request, class, now))
    return true;
  request->last_error = "overload";
  frn_refuse_request (request, FRN_REFUSE_OVERLOAD,
                      shd_retry_after (shd_pressure_time (&class->shed, now),
                                       request->time_left_ms * RW_MSEC,
                                       &request->daemon->fleet.rng));
  frn_request_end (request);
  return false;
}

void
frn_overload_finish (struct frn_daemon *daemon)
{
  size_t position = 0;
  void *group;
  while ((group = rw_map_next (&daemon->shed_groups, &position)) != NULL)
    free (group);
  rw_map_finish (&daemon->shed_groups);
  fai_finish (&daemon->fair);
}
