#include "internal.h"

/* An exchange that takes more than this multiple of the average is a straggler
   and may hold its slot much longer.  When such slots were counted as usable,
   parts queued behind them: 8% less goodput under overload.  */
#define STRAGGLER_LATENCY_RATIO 3

/* Assumed before the first answer: the service time of the present searchers
   and one round trip.  */
#define INITIAL_EXCHANGE_TIME (4 * RW_MSEC)

/* Returns the average time of an exchange of PARTS parts (1 to
   ADM_BATCH_MAX).  Without samples of that size it returns the average of the
   nearest smaller size, else of the nearest larger one, else
   INITIAL_EXCHANGE_TIME.  */
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
  return INITIAL_EXCHANGE_TIME;
}

/* Returns the time until the first slot of a lost exchange or of the
   predecessor becomes free, or 0 if there is none.  No event is certain to
   free such a slot earlier.  */
static rw_time
time_to_free_slot (const struct adm_target *target, rw_time now)
{
  rw_time at = target->predecessor_slots > 0 ? target->predecessor_until
                                             : RW_TIME_NEVER;

  for (int i = 0; i < target->lost_count; i++)
    if (target->lost_until[i] < at)
      at = target->lost_until[i];
  return at > now && at != RW_TIME_NEVER ? at - now : 0;
}

/* Returns the age at which an exchange of PARTS parts is a straggler.  */
rw_time
adm_straggler_threshold (const struct adm_target *target, size_t parts)
{
  return STRAGGLER_LATENCY_RATIO * adm_exchange_time (target, (int)parts);
}

static int
straggler_count (const struct adm_target *target, rw_time now)
{
  const struct adm_exchange *exchange;
  int count = 0;

  for (exchange = target->running; exchange != NULL; exchange = exchange->next)
    if (exchange->holds_slot
        && now - exchange->started_at
               > adm_straggler_threshold (target, exchange->count))
      count++;
  return count;
}

/* Returns the estimated response time of a part of CLASS_ID that has AHEAD
   queued parts of its class before it.  The exchanges that run before its own
   are assumed to be spread over the usable slots.  Slots of lost exchanges and
   of stragglers are not usable.  */
rw_time
adm_queued_response_time (const struct adm_target *target,
                          unsigned int class_id, size_t ahead, rw_time now)
{
  int64_t batch_milli
      = adm_batch_limit (target, now) > 1 ? target->mean_batch_milli : 1000;
  rw_time exchange_time
      = adm_exchange_time (target, (int)(batch_milli / 1000));
  int usable_slots = adm_slot_limit (target, now) - target->lost_count
                     - straggler_count (target, now);
  size_t before = adm_queue_items_before (&target->queue, class_id, ahead);
  rw_time wait = 0;

  if (target->paused_until > now)
    wait = target->paused_until - now;
  if (usable_slots <= 0)
    {
      rw_time free_in = time_to_free_slot (target, now);

      wait = free_in > wait ? free_in : wait;
      usable_slots = 1;
    }
  if (before > 0 || target->running_slots >= usable_slots)
    wait += (rw_time)(before * 1000 / (size_t)batch_milli + 1) * exchange_time
            / usable_slots;
  return wait + exchange_time;
}

/* Returns the estimated time, in microseconds, until a part of CLASS_ID that
   is queued at NOW is answered.  */
rw_time
adm_response_time (const struct adm_target *target, unsigned int class_id,
                   rw_time now)
{
  unsigned int index = adm_queue_index (&target->queue, class_id);

  /* An idle target accepts one part whatever its average: otherwise an average
     that is too high could never be corrected.  */
  if (target->queue.len == 0 && adm_slots_in_use (target) == 0
      && now >= target->paused_until && adm_slot_limit (target, now) > 0)
    return 0;
  return adm_queued_response_time (target, class_id,
                                   target->queue.by_class[index].len, now);
}
