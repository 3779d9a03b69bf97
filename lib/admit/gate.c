#include "internal.h"

#include <string.h>

/* The window is multiplied by this after a part was refused because of
   load.  */
#define WINDOW_DECREASE_RATIO 0.8
/* The window grows only while queries take at most this share of the time from
   their start to their deadline.  Their parts then wait much less than the
   wait at which targets refuse parts.  */
#define FAST_QUERY_PERCENT 40
/* A query that used more than this share of the time from its start to its
   deadline counts as ended by the deadline.  */
#define CUT_SHORT_PERCENT 90

void
adm_gate_init (struct adm_gate *gate, int limit,
               const struct adm_classes *classes, unsigned int disabled)
{
  memset (gate, 0, sizeof *gate);
  gate->limit = limit > 0 ? limit : 1;
  gate->disabled = disabled;
  gate->window = gate->limit;
  gate->lowered_at = INT64_MIN;
  gate->full_at = INT64_MIN;
  adm_queue_init (&gate->queue, classes, disabled);
}

void
adm_gate_finish (struct adm_gate *gate)
{
  adm_queue_init (&gate->queue, gate->queue.classes, gate->disabled);
  gate->running = 0;
}

static unsigned int
class_index (const struct adm_gate *gate, const struct adm_item *item)
{
  return adm_queue_index (&gate->queue, item->class_id);
}

/* Returns how many queries may run now.  */
static int
running_limit (const struct adm_gate *gate)
{
  if ((gate->disabled & ADM_MECH_REFUSAL) != 0)
    return gate->limit;
  return (int)gate->window;
}

/* Adjusts the window after QUERY, which ran.  The window is needed because a
   query with many parts is incomplete when one of them is refused: if only the
   targets refused work, almost no answer would be complete under overload.
   The window shrinks when a part was refused, but only once for the queries
   that ran at the same time.  It grows by one in about the run time of one
   query, while queries are fast and the window limits their number.  */
static void
adjust_window (struct adm_gate *gate, const struct adm_query *query,
               rw_time now)
{
  rw_time time_allowed = query->item.deadline - query->started_at;
  bool fast
      = now - query->started_at <= time_allowed * FAST_QUERY_PERCENT / 100;

  if (query->overloaded && query->started_at > gate->lowered_at)
    {
      double in_use = gate->running + 1;

      gate->window = (in_use < gate->window ? in_use : gate->window)
                     * WINDOW_DECREASE_RATIO;
      gate->window = gate->window < 1 ? 1 : gate->window;
      gate->lowered_at = now;
    }
  else if (!query->overloaded && fast && gate->full_at >= query->started_at)
    gate->window += 1 / gate->window;
  if (gate->window > gate->limit)
    gate->window = gate->limit;
}

/* Returns the remaining time below which the query of ITEM is refused: twice
   the average run time of its class, because a query with many parts takes as
   long as its slowest part, but at most half of the time it had when it was
   queued.  While no query runs, any query is started: otherwise an average
   that is too high could never be corrected.  */
static rw_time
min_remaining_time (const struct adm_gate *gate, const struct adm_item *item)
{
  rw_time time_allowed = item->deadline - item->queued_at;
  rw_time needed = 2 * gate->by_class[class_index (gate, item)].mean_run_time;

  if ((gate->disabled & ADM_MECH_REFUSAL) != 0 || gate->running == 0)
    return MIN_REMAINING_TIME;
  return MIN_REMAINING_TIME
         + (needed < time_allowed / 2 ? needed : time_allowed / 2);
}

static void
update_mean (rw_time *mean, int *samples, rw_time elapsed)
{
  if ((*samples)++ == 0)
    *mean = elapsed;
  else
    *mean += (elapsed - *mean) / (1 << MEAN_WEIGHT_SHIFT);
}

/* Updates the averages of the time that a query runs.  A query that was cut
   short, by refusals or by its deadline, would have taken longer: its time
   only counts if it is above the average.  Otherwise the gate would start
   more and more queries that cannot end in time.  */
static void
update_run_times (struct adm_gate *gate, const struct adm_query *query,
                  rw_time now)
{
  struct adm_gate_class *class_state
      = &gate->by_class[class_index (gate, &query->item)];
  rw_time elapsed = now - query->started_at;
  rw_time time_allowed = query->item.deadline - query->started_at;
  bool cut_short
      = query->overloaded || elapsed * 100 > time_allowed * CUT_SHORT_PERCENT;

  if (!cut_short || elapsed > class_state->mean_run_time)
    update_mean (&class_state->mean_run_time, &class_state->samples, elapsed);
  if (!cut_short || elapsed > gate->mean_run_time)
    update_mean (&gate->mean_run_time, &gate->samples, elapsed);
}

/* Returns whether the class of INDEX may start a query even if the window is
   full.  It may while it runs less than its share of the window, so that it
   does not wait for the queries of other classes.  The share is relative to
   the other classes with running or queued queries.  The limit of the gate
   always holds.  */
static bool
may_exceed_window (const struct adm_gate *gate, unsigned int index)
{
  const struct adm_classes *classes = gate->queue.classes;
  int64_t sum = 0;

  if ((gate->disabled & (ADM_MECH_SHARES | ADM_MECH_REFUSAL)) != 0)
    return false;
  for (size_t i = 0; i < ADM_CLASSES_MAX; i++)
    if (i == index || gate->by_class[i].running > 0
        || gate->queue.by_class[i].len > 0)
      sum += classes->by_id[i].share;
  return gate->running < gate->limit
         && (double)gate->by_class[index].running * (double)sum
                < gate->window * classes->by_id[index].share;
}

/* Returns the item to start next, or null if none may start.  Classes that run
   less than their share of the window come first.  */
static struct adm_item *
next_item (struct adm_gate *gate)
{
  for (unsigned int i = 0; i < ADM_CLASSES_MAX; i++)
    if (gate->queue.by_class[i].len > 0 && may_exceed_window (gate, i))
      return gate->queue.by_class[i].head;
  return gate->running < running_limit (gate) ? adm_queue_peek (&gate->queue)
                                              : NULL;
}

/* Returns the estimated time until a query of CLASS_ID that enters now
   starts.  */
static rw_time
start_delay (const struct adm_gate *gate, unsigned int class_id)
{
  unsigned int index = adm_queue_index (&gate->queue, class_id);
  size_t ahead = gate->queue.by_class[index].len;

  if ((gate->queue.len == 0 && gate->running < running_limit (gate))
      || (ahead == 0 && may_exceed_window (gate, index)))
    return 0;
  return (rw_time)(adm_queue_items_before (&gate->queue, class_id, ahead) + 1)
         * gate->mean_run_time / running_limit (gate);
}

void
adm_gate_on_overload (struct adm_query *query)
{
  query->overloaded = true;
}

/* Queues QUERY, or refuses it and returns the reason.  */
int
adm_gate_enter (struct adm_gate *gate, struct adm_query *query, rw_time now)
{
  struct adm_item *item = &query->item;
  rw_time delay = start_delay (gate, item->class_id);
  int code = 0;

  query->running = false;
  query->overloaded = false;
  item->state = ADM_ITEM_UNLINKED;
  item->queued_at = now;
  if (item->deadline - now < MIN_REMAINING_TIME)
    code = RW_E_DEADLINE;
  else if ((gate->disabled & ADM_MECH_REFUSAL) != 0)
    code = 0;
  else if (adm_queue_full (&gate->queue, item->class_id))
    code = RW_E_QUEUE_FULL;
  else if (delay > 0
           && delay + min_remaining_time (gate, item) > item->deadline - now)
    code = RW_E_DEADLINE;
  item->refusal = (struct adm_refusal){ code, delay };
  if (code != 0)
    {
      gate->refused++;
      return code;
    }
  gate->accepted++;
  adm_queue_push (&gate->queue, item, now);
  return 0;
}

/* Returns the next query to start at NOW, or null.  Refuses the queries before
   it that have too little time left.  */
struct adm_query *
adm_gate_next_query (struct adm_gate *gate, rw_time now)
{
  struct adm_item *item;
  struct adm_query *query;

  while ((item = next_item (gate)) != NULL
         && item->deadline - now < min_remaining_time (gate, item))
    {
      gate->refused++;
      adm_queue_refuse (&gate->queue, item, RW_E_DEADLINE,
                        gate->mean_run_time);
    }
  if (item == NULL)
    return NULL;
  adm_queue_take (&gate->queue, item);
  query = (struct adm_query *)item;
  query->running = true;
  query->started_at = now;
  gate->running++;
  gate->by_class[class_index (gate, item)].running++;
  if (gate->running >= running_limit (gate))
    gate->full_at = now;
  return query;
}

/* Removes QUERY.  If it ran, adjusts window and averages.  */
void
adm_gate_leave (struct adm_gate *gate, struct adm_query *query, rw_time now)
{
  adm_queue_unlink (&gate->queue, &query->item);
  if (!query->running)
    return;
  query->running = false;
  gate->running--;
  gate->by_class[class_index (gate, &query->item)].running--;
  adjust_window (gate, query, now);
  update_run_times (gate, query, now);
}

/* Returns the last time at which no queued query is refused.  */
static rw_time
first_refusal_time (const struct adm_gate *gate)
{
  rw_time first = RW_TIME_NEVER;

  if ((gate->disabled & ADM_MECH_REFUSAL) != 0)
    return gate->queue.earliest_deadline - MIN_REMAINING_TIME;
  for (unsigned int i = 0; i < ADM_CLASSES_MAX; i++)
    {
      const struct adm_item *item = gate->queue.by_class[i].head;

      for (; item != NULL; item = item->next)
        if (item->deadline - min_remaining_time (gate, item) < first)
          first = item->deadline - min_remaining_time (gate, item);
    }
  return first;
}

/* Refuses the queued queries that have too little time left.  */
static void
refuse_late_queries (struct adm_gate *gate, rw_time now)
{
  rw_time earliest = RW_TIME_NEVER;

  for (unsigned int i = 0; i < ADM_CLASSES_MAX; i++)
    {
      struct adm_item *item = gate->queue.by_class[i].head;

      while (item != NULL)
        {
          struct adm_item *next = item->next;

          if (item->deadline - now < min_remaining_time (gate, item))
            {
              gate->refused++;
              adm_queue_refuse (&gate->queue, item, RW_E_DEADLINE,
                                gate->mean_run_time);
            }
          else if (item->deadline < earliest)
            earliest = item->deadline;
          item = next;
        }
    }
  gate->queue.earliest_deadline = earliest;
}

struct adm_query *
adm_gate_next_refused (struct adm_gate *gate, rw_time now)
{
  if (gate->queue.len > 0 && now > first_refusal_time (gate))
    refuse_late_queries (gate, now);
  return (struct adm_query *)adm_queue_next_refused (&gate->queue);
}

rw_time
adm_gate_next_wakeup (const struct adm_gate *gate)
{
  if (gate->queue.refused_head != NULL)
    return 0;
  if (gate->queue.len == 0)
    return RW_TIME_NEVER;
  return first_refusal_time (gate) + 1;
}
