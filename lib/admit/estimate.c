#include "internal.h"

/* An exchange that takes more than this multiple of the average is a straggler
   and may hold its slot much longer.  Counting such slots as usable let parts
   queue behind them: 8% less goodput under overload.  */
#define OVERDUE_FACTOR 3

/* Assumed before the first answer: the service time of the searchers of today
   with one way there and back.  */
#define FIRST_GUESS (4 * RW_MSEC)

/* Returns the average time of an exchange of PARTS parts (1 to ADM_BATCH_MAX),
   or of the nearest known size below or above, or a guess.  */
rw_time
adm_exchange_time (const struct adm_target *target, int parts)
{
  int size = 0;

  while (parts > 1 && size < ADM_SIZE_CLASSES - 1)
    {
      parts /= 2;
      size++;
    }
  for (int i = size; i >= 0; i--)
    if (target->latency[i].samples > 0)
      return target->latency[i].mean;
  for (int i = size + 1; i < ADM_SIZE_CLASSES; i++)
    if (target->latency[i].samples > 0)
      return target->latency[i].mean;
  return FIRST_GUESS;
}

/* Returns the time until one of the slots that only time can free is free:
   those of lost exchanges and of the predecessor.  */
static rw_time
until_lapse (const struct adm_target *target, rw_time now)
{
  rw_time at = target->predecessor_slots > 0 ? target->predecessor_until
                                             : RW_TIME_NEVER;

  for (int i = 0; i < target->lost_count; i++)
    if (target->lost_until[i] < at)
      at = target->lost_until[i];
  return at > now && at != RW_TIME_NEVER ? at - now : 0;
}

/* Returns the time after which an exchange of PARTS parts is a straggler.  */
rw_time
adm_overdue_after (const struct adm_target *target, size_t parts)
{
  return OVERDUE_FACTOR * adm_exchange_time (target, (int)parts);
}

static int
overdue (const struct adm_target *target, rw_time now)
{
  const struct adm_exchange *exchange;
  int count = 0;

  for (exchange = target->running; exchange != NULL; exchange = exchange->next)
    if (exchange->holds_slot
        && now - exchange->started_at
               > adm_overdue_after (target, exchange->count))
      count++;
  return count;
}

/* Returns the estimated time until a part of CLASS_ID with AHEAD parts of its
   class before it is answered: the exchanges before it share the slots, and
   its own exchange follows.  */
rw_time
adm_wait (const struct adm_target *target, unsigned int class_id, size_t ahead,
          rw_time now)
{
  int64_t batch
      = adm_batch_limit (target, now) > 1 ? target->mean_batch_milli : 1000;
  rw_time exchange = adm_exchange_time (target, (int)(batch / 1000));
  int usable
      = adm_limit (target, now) - target->lost_count - overdue (target, now);
  size_t before = adm_queue_items_before (&target->queue, class_id, ahead);
  rw_time wait = 0;

  if (target->paused_until > now)
    wait = target->paused_until - now;
  if (usable <= 0)
    {
      rw_time lapse = until_lapse (target, now);

      wait = lapse > wait ? lapse : wait;
      usable = 1;
    }
  if (before > 0 || target->running_slots >= usable)
    wait += (rw_time)(before * 1000 / (size_t)batch + 1) * exchange / usable;
  return wait + exchange;
}

/* Returns the estimated time, in microseconds, until a part of CLASS_ID
   that is queued at NOW is answered.  */
rw_time
adm_response_time (const struct adm_target *target, unsigned int class_id,
                   rw_time now)
{
  unsigned int index = adm_queue_index (&target->queue, class_id);

  /* A target without work takes one part however long exchanges took before:
     otherwise an average that is too high could never be corrected.  */
  if (target->queue.len == 0 && adm_counted (target) == 0
      && now >= target->paused_until && adm_limit (target, now) > 0)
    return 0;
  return adm_wait (target, class_id, target->queue.by_class[index].len, now);
}
