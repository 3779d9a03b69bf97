#include "internal.h"

/* Recalls the exchanges that a target takes too long over.  A straggler holds
   its slot for about 20 times the usual time; with two slots, stragglers of a
   class with much work hold both for 3% of the time, and the parts of every
   other class wait.  */

/* Returns when EXCHANGE is to be recalled, or RW_TIME_NEVER: it holds up no
   other class, or carries no part or one that was recalled.  A part is
   recalled once, so that a target which is slow for all is not asked without
   end.  */
static rw_time
recall_at (const struct adm_target *target,
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
  return exchange->started_at + adm_overdue_after (target, exchange->count);
}

/* Returns when adm_recall is due, or RW_TIME_NEVER.  */
rw_time
adm_recall_wakeup (const struct adm_target *target)
{
  rw_time earliest = RW_TIME_NEVER;

  for (const struct adm_exchange *exchange = target->running; exchange != NULL;
       exchange = exchange->next)
    {
      rw_time at = recall_at (target, exchange);

      earliest = at < earliest ? at : earliest;
    }
  return earliest;
}

/* Returns an exchange that the caller has to cancel at the target, or null.
   Its parts wait again, before all others of their class.  */
struct adm_exchange *
adm_recall (struct adm_target *target, rw_time now)
{
  struct adm_exchange *exchange = target->running;

  while (exchange != NULL && recall_at (target, exchange) > now)
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
