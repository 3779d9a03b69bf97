#include "internal.h"

/* Recall of exchanges that take too long.  A straggler holds its slot for
   about 20 times the usual time.  With two slots, stragglers of a class with
   much work hold both for 3% of the time, and the parts of every other class
   wait.  */

/* Returns when EXCHANGE is to be recalled, or RW_TIME_NEVER if no part of
   another class waits, or if EXCHANGE is a once request, holds no slot, or
   carries no part or a part that was recalled before.  A part is recalled only
   once: otherwise a target that is slow for every part would get the same part
   again without end.  */
static rw_time
recall_time (const struct adm_target *target,
             const struct adm_exchange *exchange)
{
  const struct adm_part *part = NULL;
  unsigned int index;

  if (exchange->once || !exchange->holds_slot)
    return RW_TIME_NEVER;
  for (size_t i = 0; i < exchange->count; i++)
    if (exchange->parts[i] != NULL)
      {
        part = exchange->parts[i];
        if (part->recalled)
          return RW_TIME_NEVER;
      }
  if (part == NULL)
    return RW_TIME_NEVER;
  index = adm_queue_index (&target->queue, part->item.class_id);
  if (target->queue.len == target->queue.by_class[index].len)
    return RW_TIME_NEVER;
  return exchange->started_at
         + adm_straggler_threshold (target, exchange->count);
}

/* Returns when adm_recall is due, or RW_TIME_NEVER.  */
rw_time
adm_recall_wakeup (const struct adm_target *target)
{
  rw_time earliest = RW_TIME_NEVER;

  for (const struct adm_exchange *exchange = target->running; exchange != NULL;
       exchange = exchange->next)
    {
      rw_time at = recall_time (target, exchange);

      earliest = at < earliest ? at : earliest;
    }
  return earliest;
}

/* Returns an exchange that the caller must cancel at the target, or null.  Its
   parts are queued again, before all others of their class.  */
struct adm_exchange *
adm_recall (struct adm_target *target, rw_time now)
{
  struct adm_exchange *exchange = target->running;

  while (exchange != NULL && recall_time (target, exchange) > now)
    exchange = exchange->next;
  if (exchange == NULL)
    return NULL;
  for (size_t i = exchange->count; i-- > 0;)
    if (exchange->parts[i] != NULL)
      {
        struct adm_part *part = exchange->parts[i];

        exchange->parts[i] = NULL;
        part->exchange = NULL;
        part->recalled = true;
        adm_queue_push_front (&target->queue, &part->item);
      }
  target->counters.recalled++;
  return exchange;
}
