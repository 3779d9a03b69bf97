#include <string.h>

#include "gather.h"

/* Sends of one part that a target refused without running it, beyond the
   attempts.  */
#define MAX_REFUSALS 4

void
gat_init (struct gat_query *query, struct rw_arena *arena,
          const struct gat_plan *plan, rw_time now)
{
  memset (query, 0, sizeof *query);
  query->plan = *plan;
  query->parts = rw_arena_zalloc (arena, plan->parts, sizeof *query->parts);
  query->running = plan->parts;
  for (size_t i = 0; i < plan->parts; i++)
    query->parts[i].due = now;
}

static bool
may_send (const struct gat_query *query, const struct gat_part *part)
{
  return part->attempts < query->plan.attempts
         && part->sends < query->plan.attempts + MAX_REFUSALS;
}

static bool
may_hedge (const struct gat_query *query, const struct gat_part *part)
{
  return query->plan.repeatable && part->running < 2 && may_send (query, part);
}

bool
gat_next_send (struct gat_query *query, rw_time now, size_t *position,
               size_t *part, enum gat_send_kind *kind)
{
  for (; *position < query->plan.parts; ++*position)
    {
      struct gat_part *p = &query->parts[*position];
      if (p->due > now)
        continue;
      if (p->state == GAT_PART_READY)
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
  p->running++;
  p->attempts++;
  p->sends++;
  query->sends++;
  p->due
      = may_hedge (query, p) ? now + query->plan.hedge_after : RW_TIME_NEVER;
}

static void
lose (struct gat_query *query, struct gat_part *p)
{
  p->state = GAT_PART_LOST;
  query->lost++;
  query->running--;
}

void
gat_postpone (struct gat_query *query, size_t part, rw_time now, rw_time delay)
{
  struct gat_part *p = &query->parts[part];
  if (delay < 0 && p->state == GAT_PART_READY && p->running == 0)
    lose (query, p);
  else
    p->due = delay < 0 ? RW_TIME_NEVER : now + delay;
}

bool
gat_on_part (struct gat_query *query, size_t part, struct rw_str stamp,
             struct rw_str body)
{
  struct gat_part *p = &query->parts[part];
  if (p->running > 0)
    p->running--;
  if (p->state == GAT_PART_DONE)
    return false;
  if (p->state == GAT_PART_LOST)
    query->lost--;
  else
    query->running--;
  p->state = GAT_PART_DONE;
  p->stamp = stamp;
  p->body = body;
  p->due = RW_TIME_NEVER;
  query->done++;
  return true;
}

void
gat_on_failure (struct gat_query *query, size_t part, enum gat_failure failure,
                rw_time now, rw_time backoff)
{
  struct gat_part *p = &query->parts[part];
  if (p->running > 0)
    p->running--;
  if (failure == GAT_FAIL_NOT_RUN && p->attempts > 0)
    p->attempts--;
  if (p->state != GAT_PART_SENT)
    return;
  if (!may_send (query, p)
      || (failure != GAT_FAIL_NOT_RUN && !query->plan.repeatable))
    {
      if (p->running == 0)
        lose (query, p);
      return;
    }
  if (p->running > 0)
    {
      p->due = now + backoff;
      return;
    }
  p->state = GAT_PART_READY;
  p->due = now + backoff;
}

enum gat_decision
gat_decide (const struct gat_query *query, rw_time now)
{
  const struct gat_plan *plan = &query->plan;
  bool enough = query->done >= plan->need;
  if (query->done == plan->parts)
    return GAT_ANSWER;
  if (plan->parts - query->lost < plan->need)
    return GAT_GIVE_UP;
  if (query->running == 0 || now >= plan->deadline)
    return enough ? GAT_ANSWER : GAT_GIVE_UP;
  return enough && now >= plan->cut ? GAT_ANSWER : GAT_WAIT;
}

rw_time
gat_next_event (const struct gat_query *query, rw_time now)
{
  rw_time next = query->plan.deadline;
  if (query->plan.cut > now && query->plan.cut < next)
    next = query->plan.cut;
  for (size_t i = 0; i < query->plan.parts; i++)
    {
      const struct gat_part *p = &query->parts[i];
      if ((p->state == GAT_PART_READY
           || (p->state == GAT_PART_SENT && may_hedge (query, p)))
          && p->due < next)
        next = p->due;
    }
  return next > now ? next : now;
}
