/* Whether a query can still be answered, from what is known of the targets of
   its unfinished parts.  */

#include "gather.h"

/* Targets pause for 100 to 250 ms every few seconds, and each copy of a shard
   by itself.  A service counts as out of order only after twice the longest
   pause.  */
#define MIN_OUTAGE (500 * RW_MSEC)
/* Time between two forecasts of a query, and after a failure.  A forecast of
   90 parts visits some hundred targets.  */
#define FORECAST_INTERVAL (20 * RW_MSEC)
#define MIN_FORECAST_INTERVAL RW_MSEC
/* One query of a route in this time is sent although its service is out of
   order: otherwise nobody would notice its return.  */
#define PROBE_INTERVAL (100 * RW_MSEC)

void
gat_start_forecasts (struct gat_query *query, rw_time now)
{
  query->forecast_due = now;
}

bool
gat_forecast_due (const struct gat_query *query, rw_time now)
{
  return query->done < query->plan.min_parts && now >= query->forecast_due;
}

void
gat_request_forecast (struct gat_query *query, rw_time now)
{
  rw_time due = query->forecast_at + MIN_FORECAST_INTERVAL;
  if (due < now)
    due = now;
  if (query->forecast_due != RW_TIME_NEVER && due < query->forecast_due)
    query->forecast_due = due;
}

/* Returns whether another send of PART is possible now or after the failure of
   one in flight.  */
static bool
has_attempts (const struct gat_query *query, const struct gat_part *part)
{
  return part->attempts < query->plan.max_attempts
         && part->sends < gat_max_sends (&query->plan)
         && (part->state == GAT_PART_PENDING || query->plan.idempotent);
}

/* Returns from when PART can be answered at the earliest.  An outage is
   expected to last as long again as it has lasted.  */
static rw_time
ready_time (const struct gat_query *query, const struct gat_part *part,
            const struct gat_outlook *outlook, rw_time now)
{
  rw_time ready = RW_TIME_NEVER;
  rw_time sendable = now;
  if (outlook->answering || (query->is_probe && part->sends == 0))
    return now;
  if (part->in_flight == 0)
    sendable += outlook->budget_in;
  if (has_attempts (query, part))
    {
      if (outlook->has_target)
        return sendable;
      if (outlook->usable_in < RW_TIME_NEVER - now)
        ready = now + outlook->usable_in;
    }
  else if (part->in_flight == 0)
    return RW_TIME_NEVER;
  if (outlook->outage < MIN_OUTAGE)
    ready = now;
  else if (outlook->outage < RW_TIME_NEVER - now
           && now + outlook->outage < ready)
    ready = now + outlook->outage;
  return ready > sendable ? ready : sendable;
}

void
gat_note_outlook (struct gat_query *query, size_t part,
                  const struct gat_outlook *outlook, rw_time now)
{
  struct gat_part *p = &query->parts[part];
  bool is_first_probe = query->is_probe && p->sends == 0;
  p->ready_at = ready_time (query, p, outlook, now);
  p->is_away
      = !outlook->answering && !outlook->has_proven_target && !is_first_probe;
}

void
gat_forecast (struct gat_query *query, rw_time now)
{
  const struct gat_plan *plan = &query->plan;
  size_t in_time = 0;
  size_t present = 0;
  query->possible = query->done;
  for (size_t i = 0; i < plan->part_count; i++)
    {
      const struct gat_part *p = &query->parts[i];
      if (p->state == GAT_PART_DONE || p->state == GAT_PART_LOST)
        continue;
      query->possible += p->ready_at <= plan->deadline;
      in_time += p->ready_at <= plan->soft_deadline;
      present += !p->is_away;
    }
  if (query->possible < plan->min_parts)
    query->prospect = GAT_PROSPECT_NONE;
  else if (query->done + in_time < plan->min_parts)
    query->prospect = GAT_PROSPECT_LATE;
  else
    query->prospect = GAT_PROSPECT_IN_TIME;
  query->needs_return = query->done + present < plan->min_parts;
  query->forecast_at = now;
  query->forecast_due = now + FORECAST_INTERVAL;
}

bool
gat_begin_probe (struct gat_query *query, rw_time *next_probe, rw_time now)
{
  if (now < *next_probe)
    return false;
  *next_probe = now + PROBE_INTERVAL;
  query->is_probe = true;
  query->forecast_due = now;
  return true;
}

bool
gat_may_hedge (const struct gat_query *query)
{
  return query->plan.part_count == 1
         || query->prospect == GAT_PROSPECT_IN_TIME;
}

rw_time
gat_retry_wait (const struct gat_query *query, size_t part, rw_time now)
{
  const struct gat_part *p = &query->parts[part];
  size_t max_sends = gat_max_sends (&query->plan);
  if (!query->needs_return || !p->is_away || query->plan.part_count == 1
      || p->sends >= max_sends)
    return 0;
  rw_time time_left = query->plan.deadline - p->failed_at;
  rw_time due = p->failed_at + time_left / (rw_time)(max_sends - p->sends + 1);
  return due > now ? due - now : 0;
}
