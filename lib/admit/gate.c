#include "internal.h"

#include <string.h>

/* Factor of the window when a part was refused because of load.  */
#define LOWER 0.8
/* The window grows only while queries take at most this share of the time they
   have: parts then wait well below the time at which they are refused.  */
#define FAST_PERCENT 40
/* A query that used more of its time was ended by its deadline.  */
#define CUT_PERCENT 90

/* Prepares a gate that lets LIMIT queries run at once.  CLASSES stays the
   caller's and must live as long.  */
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

/* Forgets all queries, which remain the caller's.  */
void
adm_gate_finish (struct adm_gate *gate)
{
  adm_queue_init (&gate->queue, gate->queue.classes, gate->disabled);
  gate->running = 0;
}

static unsigned int
index_of (const struct adm_gate *gate, const struct adm_item *item)
{
  return adm_queue_index (&gate->queue, item->class_id);
}

/* Queries that may run now.  */
static int
allowed (const struct adm_gate *gate)
{
  if ((gate->disabled & ADM_MECH_REFUSAL) != 0)
    return gate->limit;
  return (int)gate->window;
}

/* Moves the window after QUERY, which ran.  A query with many parts is
   incomplete when one of them is refused; so refusals by the targets alone
   leave almost no complete answer under overload.  The window falls when a
   part was refused, once for the queries that ran at the same time; it grows
   by one in the time of one query while it limits and queries are fast.  */
static void
adapt (struct adm_gate *gate, const struct adm_query *query, rw_time now)
{
  rw_time had = query->item.deadline - query->started_at;
  bool fast = now - query->started_at <= had * FAST_PERCENT / 100;

  if (query->overloaded && query->started_at > gate->lowered_at)
    {
      double used = gate->running + 1;

      gate->window = (used < gate->window ? used : gate->window) * LOWER;
      gate->window = gate->window < 1 ? 1 : gate->window;
      gate->lowered_at = now;
    }
  else if (!query->overloaded && fast && gate->full_at >= query->started_at)
    gate->window += 1 / gate->window;
  if (gate->window > gate->limit)
    gate->window = gate->limit;
}

/* Returns the time that a query needs to be worth starting: that of two,
   because a query with many parts lasts as long as the slowest of them, but at
   most half of the time it had at first.  A query that need not wait is always
   started: otherwise an average that is too high could never be corrected.  */
static rw_time
least_remaining (const struct adm_gate *gate, const struct adm_item *item)
{
  rw_time had = item->deadline - item->queued_at;
  rw_time least = 2 * gate->by_class[index_of (gate, item)].mean_run_time;

  if ((gate->disabled & ADM_MECH_REFUSAL) != 0 || gate->running == 0)
    return MIN_REMAINING;
  return MIN_REMAINING + (least < had / 2 ? least : had / 2);
}

static void
move_average (rw_time *mean, int *samples, rw_time elapsed)
{
  if ((*samples)++ == 0)
    *mean = elapsed;
  else
    *mean += (elapsed - *mean) / (1 << MEAN_SHIFT);
}

/* Moves the averages of the time of a query.  One that was cut off, by
   refusals or by its deadline, would have taken longer; counting it would let
   in more and more queries that cannot end in time.  */
static void
note_time (struct adm_gate *gate, const struct adm_query *query, rw_time now)
{
  struct adm_gate_class *of = &gate->by_class[index_of (gate, &query->item)];
  rw_time elapsed = now - query->started_at;
  rw_time had = query->item.deadline - query->started_at;
  bool cut = query->overloaded || elapsed * 100 > had * CUT_PERCENT;

  if (!cut || elapsed > of->mean_run_time)
    move_average (&of->mean_run_time, &of->samples, elapsed);
  if (!cut || elapsed > gate->mean_run_time)
    move_average (&gate->mean_run_time, &gate->samples, elapsed);
}

/* Returns whether a class may start a query although the window is full:
   while it runs less than its share of the window, it does not wait for the
   queries of others.  */
static bool
below_share (const struct adm_gate *gate, unsigned int index)
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

/* Returns the item to start next, or null if none may start.  */
static struct adm_item *
next_item (struct adm_gate *gate)
{
  for (unsigned int i = 0; i < ADM_CLASSES_MAX; i++)
    if (gate->queue.by_class[i].len > 0 && below_share (gate, i))
      return gate->queue.by_class[i].head;
  return gate->running < allowed (gate) ? adm_queue_peek (&gate->queue) : NULL;
}

/* The time until a query of CLASS_ID that enters now would start.  */
static rw_time
estimate (const struct adm_gate *gate, unsigned int class_id)
{
  unsigned int index = adm_queue_index (&gate->queue, class_id);
  size_t ahead = gate->queue.by_class[index].len;

  if ((gate->queue.len == 0 && gate->running < allowed (gate))
      || (ahead == 0 && below_share (gate, index)))
    return 0;
  return (rw_time)(adm_queue_items_before (&gate->queue, class_id, ahead) + 1)
         * gate->mean_run_time / allowed (gate);
}

/* Notes that a target refused a part of QUERY because of load.  */
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
  rw_time time = estimate (gate, item->class_id);
  int code = 0;

  query->running = false;
  query->overloaded = false;
  item->state = ADM_ITEM_UNLINKED;
  item->queued_at = now;
  if (item->deadline - now < MIN_REMAINING)
    code = RW_E_DEADLINE;
  else if ((gate->disabled & ADM_MECH_REFUSAL) != 0)
    code = 0;
  else if (adm_queue_full (&gate->queue, item->class_id))
    code = RW_E_QUEUE_FULL;
  else if (time > 0
           && time + least_remaining (gate, item) > item->deadline - now)
    code = RW_E_DEADLINE;
  item->refusal = (struct adm_refusal){ code, time };
  if (code != 0)
    {
      gate->refused++;
      return code;
    }
  gate->accepted++;
  adm_queue_push (&gate->queue, item, now);
  return 0;
}

/* Returns the next query to start at NOW, or a null pointer.  */
struct adm_query *
adm_gate_next_query (struct adm_gate *gate, rw_time now)
{
  struct adm_item *item;
  struct adm_query *query;

  while ((item = next_item (gate)) != NULL
         && item->deadline - now < least_remaining (gate, item))
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
  gate->by_class[index_of (gate, item)].running++;
  if (gate->running >= allowed (gate))
    gate->full_at = now;
  return query;
}

/* Removes QUERY, queued or running, which ended or whose caller has gone.
 */
void
adm_gate_leave (struct adm_gate *gate, struct adm_query *query, rw_time now)
{
  adm_queue_unlink (&gate->queue, &query->item);
  if (!query->running)
    return;
  query->running = false;
  gate->running--;
  gate->by_class[index_of (gate, &query->item)].running--;
  adapt (gate, query, now);
  note_time (gate, query, now);
}

/* The time after which the first queued query is refused.  */
static rw_time
first_expiry (const struct adm_gate *gate)
{
  rw_time first = RW_TIME_NEVER;

  if ((gate->disabled & ADM_MECH_REFUSAL) != 0)
    return gate->queue.earliest_deadline - MIN_REMAINING;
  for (unsigned int i = 0; i < ADM_CLASSES_MAX; i++)
    {
      const struct adm_item *item = gate->queue.by_class[i].head;

      for (; item != NULL; item = item->next)
        if (item->deadline - least_remaining (gate, item) < first)
          first = item->deadline - least_remaining (gate, item);
    }
  return first;
}

/* Refuses the queries that have too little time left.  */
static void
expire (struct adm_gate *gate, rw_time now)
{
  rw_time earliest = RW_TIME_NEVER;

  for (unsigned int i = 0; i < ADM_CLASSES_MAX; i++)
    {
      struct adm_item *item = gate->queue.by_class[i].head;

      while (item != NULL)
        {
          struct adm_item *next = item->next;

          if (item->deadline - now < least_remaining (gate, item))
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

/* Returns the next queued query that is refused at NOW, or a null pointer.
 */
struct adm_query *
adm_gate_next_refused (struct adm_gate *gate, rw_time now)
{
  if (gate->queue.len > 0 && now > first_expiry (gate))
    expire (gate, now);
  return (struct adm_query *)adm_queue_next_refused (&gate->queue);
}

/* Returns when adm_gate_next_refused is due, or RW_TIME_NEVER.  */
rw_time
adm_gate_next_wakeup (const struct adm_gate *gate)
{
  if (gate->queue.refused_head != NULL)
    return 0;
  if (gate->queue.len == 0)
    return RW_TIME_NEVER;
  return first_expiry (gate) + 1;
}
