#include <stdlib.h>
#include <string.h>

#include "gather.h"

/* Sends of one part beyond plan.max_attempts.  A send that did not run, such
   as one that a shedding target refused, is not counted as an attempt; this
   limit keeps refusals from being retried without end.  */
#define MAX_REFUSED_SENDS 4

/* Weight of one query in the average lateness, and the multiple of the average
   that is allowed for.  */
#define LATENESS_WEIGHT 0.05
#define LATENESS_FACTOR 1.5
/* A query that is decided still later was not late, but waited for a part.  */
#define MAX_LATENESS (10 * RW_MSEC)

size_t
gat_max_sends (const struct gat_plan *plan)
{
  return plan->max_attempts + MAX_REFUSED_SENDS;
}

void
gat_init (struct gat_query *query, struct rw_arena *arena,
          const struct gat_plan *plan, rw_time now)
{
  memset (query, 0, sizeof *query);
  query->plan = *plan;
  query->parts
      = rw_arena_zalloc (arena, plan->part_count, sizeof *query->parts);
  query->unfinished = plan->part_count;
  query->forecast_due = RW_TIME_NEVER;
  for (size_t i = 0; i < plan->part_count; i++)
    query->parts[i].due = now;
}

static bool
may_send (const struct gat_query *query, const struct gat_part *part)
{
  return part->attempts < query->plan.max_attempts
         && part->sends < gat_max_sends (&query->plan);
}

/* Returns whether PART, which is in flight, may be sent again before its
   result.  At most two sends of a part are in flight at a time.  */
static bool
may_hedge (const struct gat_query *query, const struct gat_part *part)
{
  return query->plan.idempotent && part->in_flight < 2
         && may_send (query, part);
}

bool
gat_next_send (struct gat_query *query, rw_time now, size_t *position,
               size_t *part, enum gat_send_kind *kind)
{
  for (; *position < query->plan.part_count; ++*position)
    {
      struct gat_part *p = &query->parts[*position];
      if (p->due > now)
        continue;
      if (p->state == GAT_PART_PENDING)
        *kind = p->sends == 0 ? GAT_SEND_FIRST : GAT_SEND_RETRY;
      else if (p->state == GAT_PART_SENT && may_hedge (query, p))
        *kind = GAT_SEND_HEDGE;
      else
        continue;
      *part = (*position)++;
      return true;
    }
  return false;
}

void
gat_on_sent (struct gat_query *query, size_t part, rw_time now)
{
  struct gat_part *p = &query->parts[part];
  p->state = GAT_PART_SENT;
  p->in_flight++;
  p->attempts++;
  p->arrivals++;
  p->sends++;
  query->sends++;
  p->due
      = may_hedge (query, p) ? now + query->plan.hedge_delay : RW_TIME_NEVER;
}

void
gat_scale_hedge (struct gat_query *query, size_t part, double factor,
                 rw_time now)
{
  struct gat_part *p = &query->parts[part];
  rw_time delay = query->plan.hedge_delay;
  /* A longer delay is not scaled: it means that there are no hedges.  */
  if (factor != 1 && delay < RW_TIME_NEVER / 4 && may_hedge (query, p))
    p->due = now + (rw_time)((double)delay * factor);
}

void
gat_on_delegated (struct gat_query *query, size_t part, unsigned int attempts,
                  rw_time now)
{
  struct gat_part *p = &query->parts[part];
  p->attempts += attempts - 1;
  gat_on_sent (query, part, now);
}

void
gat_on_returned (struct gat_query *query, size_t part, unsigned int attempts,
                 enum gat_failure failure, rw_time now)
{
  query->parts[part].attempts -= attempts - 1;
  gat_on_failure (query, part, failure, now, 0);
}

void
gat_on_delegated_failure (struct gat_query *query, size_t part,
                          unsigned int attempts, unsigned int used,
                          rw_time now)
{
  if (used < attempts)
    query->parts[part].attempts -= attempts - used;
  gat_on_failure (query, part, GAT_FAIL_RAN, now, 0);
}

static void
mark_lost (struct gat_query *query, struct gat_part *p)
{
  p->state = GAT_PART_LOST;
  query->lost++;
  query->unfinished--;
}

void
gat_postpone (struct gat_query *query, size_t part, rw_time now, rw_time delay)
{
  struct gat_part *p = &query->parts[part];
  if (delay < 0 && p->state == GAT_PART_PENDING && p->in_flight == 0)
    mark_lost (query, p);
  else
    p->due = delay < 0 ? RW_TIME_NEVER : now + delay;
}

bool
gat_send_is_extra (const struct gat_query *query, size_t part)
{
  return query->parts[part].arrivals > 0;
}

void
gat_deny (struct gat_query *query, size_t part, rw_time now, rw_time delay)
{
  bool is_idle = query->parts[part].in_flight == 0;
  gat_postpone (query, part, now,
                query->plan.part_count == 1 && is_idle ? -1 : delay);
}

bool
gat_on_part (struct gat_query *query, size_t part, struct rw_str stamp,
             struct rw_str body)
{
  struct gat_part *p = &query->parts[part];
  if (p->in_flight > 0)
    p->in_flight--;
  if (p->state == GAT_PART_DONE)
    return false;
  if (p->state == GAT_PART_LOST)
    query->lost--;
  else
    query->unfinished--;
  p->state = GAT_PART_DONE;
  p->stamp = stamp;
  p->body = body;
  p->due = RW_TIME_NEVER;
  query->done++;
  return true;
}

void
gat_on_delegated_part (struct gat_query *query, size_t part,
                       struct rw_str stamp, struct rw_str body)
{
  if (gat_on_part (query, part, stamp, body))
    return;
  query->parts[part].stamp = stamp;
  query->parts[part].body = body;
}

void
gat_on_failure (struct gat_query *query, size_t part, enum gat_failure failure,
                rw_time now, rw_time backoff)
{
  struct gat_part *p = &query->parts[part];
  if (p->in_flight > 0)
    p->in_flight--;
  p->failed_at = now;
  gat_request_forecast (query, now);
  bool may_have_run = failure == GAT_FAIL_UNKNOWN || failure == GAT_FAIL_RAN;
  if (!may_have_run && p->attempts > 0)
    p->attempts--;
  if (failure == GAT_FAIL_UNSENT && p->arrivals > 0)
    p->arrivals--;
  if (p->state != GAT_PART_SENT)
    return;
  if (!may_send (query, p) || (may_have_run && !query->plan.idempotent))
    {
      if (p->in_flight == 0)
        mark_lost (query, p);
      return;
    }
  if (p->in_flight > 0)
    {
      /* The part stays SENT: its next send is a hedge.  */
      p->due = now + backoff;
      return;
    }
  p->state = GAT_PART_PENDING;
  p->due = now + backoff;
}

static int
compare_times (const void *a, const void *b)
{
  double x = *(const double *)a;
  double y = *(const double *)b;
  return (x > y) - (x < y);
}

double
gat_time_until_enough (double *times, const struct gat_plan *plan)
{
  if (plan->min_parts == 0)
    return 0;
  qsort (times, plan->part_count, sizeof *times, compare_times);
  return times[plan->min_parts - 1];
}

enum gat_decision
gat_decide (const struct gat_query *query, rw_time now)
{
  const struct gat_plan *plan = &query->plan;
  bool enough = query->done >= plan->min_parts;
  if (query->done == plan->part_count)
    return GAT_ANSWER;
  if (plan->part_count - query->lost < plan->min_parts
      || (!enough && query->prospect == GAT_PROSPECT_NONE))
    return GAT_GIVE_UP;
  if (query->unfinished == 0 || now >= plan->deadline)
    return enough ? GAT_ANSWER : GAT_GIVE_UP;
  return enough && now >= plan->soft_deadline ? GAT_ANSWER : GAT_WAIT;
}

rw_time
gat_next_event (const struct gat_query *query, rw_time now)
{
  rw_time next = query->plan.deadline;
  if (query->plan.soft_deadline > now && query->plan.soft_deadline < next)
    next = query->plan.soft_deadline;
  if (query->done < query->plan.min_parts && query->forecast_due < next)
    next = query->forecast_due;
  for (size_t i = 0; i < query->plan.part_count; i++)
    {
      const struct gat_part *p = &query->parts[i];
      if ((p->state == GAT_PART_PENDING
           || (p->state == GAT_PART_SENT && may_hedge (query, p)))
          && p->due < next)
        next = p->due;
    }
  return next > now ? next : now;
}

void
gat_count_lateness (struct gat_lateness *lateness, rw_time soft_deadline,
                    rw_time now)
{
  rw_time late = now - soft_deadline;
  if (late >= 0 && late <= MAX_LATENESS)
    lateness->mean += LATENESS_WEIGHT * ((double)late - lateness->mean);
}

rw_time
gat_lateness_margin (const struct gat_lateness *lateness)
{
  return (rw_time)(lateness->mean * LATENESS_FACTOR);
}
