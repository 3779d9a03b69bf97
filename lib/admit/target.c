#include "internal.h"

#include <string.h>

/* A process cannot restart and accept connections in less time.  After a
   longer time without an exchange the target may be a new, cold process.  */
#define MIN_RESTART_TIME (100 * RW_MSEC)

/* Pause after the second failure in a row; it doubles with each further one.
   The longest pause leaves several attempts within the 5 s in which service
   must have recovered.  */
#define FAILURE_PAUSE_MIN (10 * RW_MSEC)
#define FAILURE_PAUSE_MAX RW_SEC

/* How many queued parts are examined to fill one exchange.  The limit bounds
   the cost when parts of many snapshots or shards wait.  */
#define BATCH_SCAN_MAX 64

/* Retry times of refusals, while the target is out of service or the lease is
   missing.  */
#define RETRY_AFTER_OUT RW_SEC
#define RETRY_AFTER_NO_LEASE (100 * RW_MSEC)

static int
min_int (int a, int b)
{
  return a < b ? a : b;
}

void
adm_target_init (struct adm_target *target, const struct adm_rules *rules,
                 const struct adm_classes *classes, unsigned int disabled,
                 rw_time now)
{
  memset (target, 0, sizeof *target);
  target->rules = *rules;
  target->disabled = disabled;
  adm_queue_init (&target->queue, classes, disabled);
  target->last_ended_at = now;
  target->confirmed = true;
  target->suspect_since = RW_TIME_NEVER;
  target->paused_until = INT64_MIN;
  target->mean_batch_milli = 1000;
  adm_mark_cold (target, ADM_COLD_START, now);
}

void
adm_target_finish (struct adm_target *target)
{
  adm_queue_init (&target->queue, target->queue.classes, target->disabled);
  target->running = NULL;
  target->running_slots = 0;
}

/* Falls back to the cold limit.  Answers of exchanges that are running now do
   not count for the ramp, because the target may have been warm when it
   started them.  */
void
adm_mark_cold (struct adm_target *target, enum adm_cold_reason reason,
               rw_time now)
{
  target->cold_epoch++;
  target->successes = 0;
  target->suspect_since = RW_TIME_NEVER;
  target->cold_reason = reason;
  target->cold_at = now;
  target->counters.cold_events[reason]++;
  target->recheck_queue = true;
  target->cap = (target->disabled & ADM_MECH_RAMP) != 0
                    ? target->rules.slots
                    : min_int (target->rules.cold_limit, target->rules.slots);
}

void
adm_set_rules (struct adm_target *target, const struct adm_rules *rules,
               rw_time now)
{
  struct adm_rules old = target->rules;

  target->rules = *rules;
  target->recheck_queue = true;
  if (old.out && !rules->out)
    adm_mark_cold (target, ADM_COLD_RETURNED, now);
  /* A target at the cold limit follows a change of that limit.  */
  if (target->cap == old.cold_limit || (target->disabled & ADM_MECH_RAMP) != 0)
    target->cap = (target->disabled & ADM_MECH_RAMP) != 0 ? rules->slots
                                                          : rules->cold_limit;
  target->cap = min_int (target->cap, rules->slots);
}

/* Returns 0 if parts may be admitted, or the code with which they are
   refused.  */
int
adm_closed_code (const struct adm_target *target, rw_time now,
                 rw_time lease_end)
{
  if (target->rules.out)
    return RW_E_OUT;
  if (target->exported || lease_end - MIN_REMAINING_TIME < now)
    return RW_E_NOT_HOLDER;
  return 0;
}

static rw_time
closed_retry_after (int code)
{
  return code == RW_E_OUT ? RETRY_AFTER_OUT : RETRY_AFTER_NO_LEASE;
}

/* Returns the code for a part that is refused because of its estimated
   response time: the code of the pause while the target is paused, otherwise
   RW_E_DEADLINE.  */
int
adm_overload_code (const struct adm_target *target, rw_time now)
{
  return now < target->paused_until ? target->pause_code : RW_E_DEADLINE;
}

static void
count_refusal (struct adm_target *target, int code)
{
  switch (code)
    {
    case RW_E_OUT:
      target->counters.refused_out++;
      break;
    case RW_E_NOT_HOLDER:
      target->counters.refused_lease++;
      break;
    case RW_E_QUEUE_FULL:
      target->counters.refused_queue++;
      break;
    default:
      target->counters.refused_wait++;
      break;
    }
}

/* Frees the slots whose time is over: those of exchanges whose deadline has
   passed, and those of the predecessor.  Ends a pause that is over.  */
void
adm_release_expired_slots (struct adm_target *target, rw_time now)
{
  struct adm_exchange *exchange;

  for (int i = 0; i < target->lost_count;)
    if (target->lost_until[i] <= now)
      target->lost_until[i] = target->lost_until[--target->lost_count];
    else
      i++;
  for (exchange = target->running; exchange != NULL; exchange = exchange->next)
    if (exchange->holds_slot && exchange->deadline + ADM_DEADLINE_SLACK <= now)
      {
        exchange->holds_slot = false;
        target->running_slots--;
      }
  if (target->predecessor_slots > 0 && target->predecessor_until <= now)
    target->predecessor_slots = 0;
  if (target->paused_until <= now)
    target->paused_until = INT64_MIN;
}

/* Returns how many slots of the target this daemon counts as in use.  */
int
adm_slots_in_use (const struct adm_target *target)
{
  return target->running_slots + target->lost_count;
}

/* Returns whether the target may have become cold unnoticed: restarted while
   it was idle, or slow for a reason other than a straggler.  */
bool
adm_may_be_cold (const struct adm_target *target, rw_time now)
{
  if ((target->disabled & ADM_MECH_RAMP) != 0)
    return false;
  return !target->confirmed || target->suspect_since != RW_TIME_NEVER
         || (target->running == NULL
             && now - target->last_ended_at > MIN_RESTART_TIME);
}

/* Returns how many slots may be in use now.  */
int
adm_slot_limit (const struct adm_target *target, rw_time now)
{
  int limit = min_int (target->cap, target->rules.slots);

  if (adm_may_be_cold (target, now))
    limit = min_int (limit, target->rules.cold_limit);
  return min_int (limit - target->predecessor_slots,
                  adm_connection_limit (target, now));
}

/* Returns how many connections may be open: one for each slot.  While the
   predecessor of a hand-over uses slots, it may have as many open, and these
   count towards the connections of the rules.  */
int
adm_connection_limit (const struct adm_target *target, rw_time now)
{
  const struct adm_rules *rules = &target->rules;
  int own = min_int (rules->slots, rules->connections);

  if (target->predecessor_slots > 0 && now < target->predecessor_until)
    own = min_int (own, rules->connections - own);
  return own > 0 ? own : 0;
}

/* Returns how many parts the next exchange may carry.  */
int
adm_batch_limit (const struct adm_target *target, rw_time now)
{
  if (target->cap < target->rules.slots || adm_may_be_cold (target, now))
    return 1;
  return ADM_BATCH_MAX;
}

/* Queues PART, or refuses it and returns the reason.  */
int
adm_enqueue (struct adm_target *target, struct adm_part *part, rw_time now,
             rw_time lease_end)
{
  struct adm_item *item = &part->item;
  int code = adm_closed_code (target, now, lease_end);
  rw_time estimate;

  adm_release_expired_slots (target, now);
  part->exchange = NULL;
  part->recalled = false;
  item->state = ADM_ITEM_UNLINKED;
  item->refusal = (struct adm_refusal){ code, closed_retry_after (code) };
  if (code == 0 && item->deadline - now < MIN_REMAINING_TIME)
    item->refusal = (struct adm_refusal){ RW_E_DEADLINE, 0 };
  else if (code == 0 && (target->disabled & ADM_MECH_REFUSAL) == 0)
    {
      estimate = adm_response_time (target, item->class_id, now);
      if (adm_queue_full (&target->queue, item->class_id))
        item->refusal = (struct adm_refusal){ RW_E_QUEUE_FULL, estimate };
      else if (estimate > item->deadline - now)
        item->refusal = (struct adm_refusal){ adm_overload_code (target, now),
                                              estimate };
    }
  if (item->refusal.code != 0)
    {
      count_refusal (target, item->refusal.code);
      return item->refusal.code;
    }
  target->counters.accepted++;
  adm_queue_push (&target->queue, item, now);
  return 0;
}

static bool
can_share_exchange (const struct adm_part *first, const struct adm_part *part)
{
  return !first->once && !part->once && first->shard == part->shard
         && rw_str_eq (first->snapshot, part->snapshot)
         && rw_str_eq (first->service, part->service);
}

static void
add_to_exchange (struct adm_target *target, struct adm_exchange *exchange,
                 struct adm_part *part)
{
  adm_queue_take (&target->queue, &part->item);
  part->exchange = exchange;
  exchange->parts[exchange->count++] = part;
  if (part->item.deadline > exchange->deadline)
    exchange->deadline = part->item.deadline;
}

/* Refuses ITEM, which is about to be dispatched, if even an exchange with no
   other part would end too late, and returns whether it did.  If no slot of
   the target is in use, ITEM is kept whatever the average: otherwise an
   average that is too high could never be corrected.  */
static bool
refuse_if_too_late (struct adm_target *target, struct adm_item *item,
                    rw_time now)
{
  rw_time remaining = item->deadline - now;

  if (remaining >= MIN_REMAINING_TIME
      && (adm_slots_in_use (target) == 0
          || (target->disabled & ADM_MECH_REFUSAL) != 0
          || remaining >= adm_exchange_time (target, 1)))
    return false;
  target->counters.refused_expired++;
  adm_queue_refuse (&target->queue, item, RW_E_DEADLINE,
                    adm_exchange_time (target, 1));
  return true;
}

/* Fills EXCHANGE with FIRST and the queued parts that may be sent with it.  */
static void
fill_exchange (struct adm_target *target, struct adm_exchange *exchange,
               struct adm_part *first, rw_time now)
{
  size_t limit = (size_t)adm_batch_limit (target, now);
  struct adm_item *item = first->item.next;

  add_to_exchange (target, exchange, first);
  for (int seen = 0; seen < BATCH_SCAN_MAX && item != NULL; seen++)
    {
      struct adm_part *part = (struct adm_part *)item;

      item = item->next;
      if (exchange->count >= limit)
        break;
      if (part->item.class_id == first->item.class_id
          && can_share_exchange (first, part)
          && !refuse_if_too_late (target, &part->item, now))
        add_to_exchange (target, exchange, part);
    }
}

static void
start_exchange (struct adm_target *target, struct adm_exchange *exchange,
                rw_time now, rw_time lease_end)
{
  if (exchange->deadline > lease_end)
    exchange->deadline = lease_end;
  exchange->started_at = now;
  exchange->cold_epoch = target->cold_epoch;
  exchange->holds_slot = true;
  exchange->prev = NULL;
  exchange->next = target->running;
  if (target->running != NULL)
    target->running->prev = exchange;
  target->running = exchange;
  target->running_slots++;
  target->counters.exchanges++;
  target->counters.parts += exchange->count;
}

/* Updates the average of parts per exchange with an exchange at full cap.  */
static void
update_mean_batch (struct adm_target *target, size_t count)
{
  target->mean_batch_milli
      += ((int64_t)count * 1000 - target->mean_batch_milli)
         >> MEAN_WEIGHT_SHIFT;
}

bool
adm_next_exchange (struct adm_target *target, struct adm_exchange *exchange,
                   rw_time now, rw_time lease_end)
{
  struct adm_item *item;

  adm_release_expired_slots (target, now);
  if (adm_closed_code (target, now, lease_end) != 0
      || now < target->paused_until
      || adm_slots_in_use (target) >= adm_slot_limit (target, now))
    return false;
  do
    {
      item = adm_queue_peek (&target->queue);
      if (item == NULL)
        return false;
    }
  while (refuse_if_too_late (target, item, now));
  /* The answer to this exchange must show whether the target was restarted. */
  if (adm_may_be_cold (target, now))
    target->confirmed = false;
  memset (exchange, 0, sizeof *exchange);
  exchange->once = ((struct adm_part *)item)->once;
  if (adm_batch_limit (target, now) > 1)
    {
      fill_exchange (target, exchange, (struct adm_part *)item, now);
      update_mean_batch (target, exchange->count);
    }
  else
    add_to_exchange (target, exchange, (struct adm_part *)item);
  start_exchange (target, exchange, now, lease_end);
  return true;
}

static void
unlink_exchange (struct adm_target *target, struct adm_exchange *exchange)
{
  if (exchange->prev != NULL)
    exchange->prev->next = exchange->next;
  else
    target->running = exchange->next;
  if (exchange->next != NULL)
    exchange->next->prev = exchange->prev;
  exchange->prev = exchange->next = NULL;
  for (size_t i = 0; i < exchange->count; i++)
    if (exchange->parts[i] != NULL)
      exchange->parts[i]->exchange = NULL;
}

/* Frees the slot of EXCHANGE, or keeps it in use until the target must have
   dropped the exchange.  */
static void
release_slot (struct adm_target *target, struct adm_exchange *exchange,
              const struct adm_outcome *outcome, rw_time now)
{
  rw_time counted_until = exchange->deadline + ADM_DEADLINE_SLACK;
  bool may_still_run
      = (outcome->kind == ADM_LOST && outcome->u.lost.sent)
        || (outcome->kind == ADM_EXPIRED && !outcome->u.expired.answered)
        || (outcome->kind == ADM_CANCELLED && !outcome->u.cancelled.confirmed);

  if (!exchange->holds_slot)
    return;
  exchange->holds_slot = false;
  target->running_slots--;
  if (may_still_run && counted_until > now
      && target->lost_count < ADM_SLOTS_MAX)
    target->lost_until[target->lost_count++] = counted_until;
}

/* Pauses the target for AT_LEAST, or for the backoff time if that is longer,
   but at most for FAILURE_PAUSE_MAX.  The backoff time is 0 after the first
   failure in a row, then FAILURE_PAUSE_MIN, and doubles with each further
   failure.  CODE is the reason for refusals during the pause.  */
static void
pause_after_failure (struct adm_target *target, int code, rw_time at_least,
                     rw_time now)
{
  rw_time pause = 0;
  int doublings = target->failures - 1;

  target->failures++;
  target->pause_code = code;
  /* After 7 doublings it would be 1280 ms, above the longest pause.  */
  if (doublings >= 0)
    pause = doublings < 7 ? FAILURE_PAUSE_MIN << doublings : FAILURE_PAUSE_MAX;
  if (pause < at_least)
    pause = at_least;
  if (pause > FAILURE_PAUSE_MAX)
    pause = FAILURE_PAUSE_MAX;
  if (now + pause > target->paused_until)
    target->paused_until = now + pause;
}

/* Records the incarnation that an answer named; a change means a restart.  An
   answer without one cannot tell whether the target was restarted while it was
   idle, so the target then counts as cold.  Returns whether the target was
   marked cold.  */
static bool
check_incarnation (struct adm_target *target, uint64_t incarnation,
                   rw_time now)
{
  uint64_t old = target->incarnation;
  bool confirmed = target->confirmed;

  if ((target->disabled & ADM_MECH_RAMP) != 0)
    return false;
  target->confirmed = true;
  if (incarnation == 0 && !confirmed)
    {
      adm_mark_cold (target, ADM_COLD_IDLE, now);
      return true;
    }
  if (incarnation == 0 || incarnation == old)
    return false;
  target->incarnation = incarnation;
  if (old == 0)
    return false;
  adm_mark_cold (target, ADM_COLD_INCARNATION, now);
  return true;
}

/* If LOAD, in percent of what the target can handle, is above 100, lowers the
   cap by one and restarts the count of successes for the ramp.  */
static void
apply_load (struct adm_target *target, int load)
{
  if (load <= 100 || (target->disabled & ADM_MECH_RAMP) != 0)
    return;
  target->successes = 0;
  target->cap = target->cap > 1 ? target->cap - 1 : 1;
  target->recheck_queue = true;
}

static void
count_success (struct adm_target *target, const struct adm_exchange *exchange)
{
  target->failures = 0;
  if (exchange->cold_epoch != target->cold_epoch
      || target->cap >= target->rules.slots)
    return;
  target->successes++;
  if (target->successes < target->rules.ramp_successes)
    return;
  target->successes = 0;
  target->cap++;
}

static void
on_success (struct adm_target *target, struct adm_exchange *exchange,
            const struct adm_outcome *outcome, rw_time now)
{
  if (check_incarnation (target, outcome->u.ok.incarnation, now))
    return;
  if (adm_check_latency (target, exchange, true, now))
    count_success (target, exchange);
  apply_load (target, outcome->u.ok.load);
}

/* An exchange ended with an error or without an answer.  */
static void
on_failed (struct adm_target *target, rw_time now)
{
  adm_mark_cold (target, ADM_COLD_FAILED, now);
  pause_after_failure (target, RW_E_RESET, 0, now);
}

/* The deadline of EXCHANGE passed.  That says only that the exchange
   took longer than the time it was given, so the target is marked cold only if
   the latency shows it.  The successes in a row end in any case, because a
   target that becomes cold during the ramp need not be slower than its
   average.  */
static void
on_expired (struct adm_target *target, const struct adm_exchange *exchange,
            rw_time now)
{
  uint64_t epoch = target->cold_epoch;

  target->successes = 0;
  adm_check_latency (target, exchange, false, now);
  if (target->cold_epoch != epoch)
    pause_after_failure (target, RW_E_RESET, 0, now);
}

/* Returns how EXCHANGE ended.  An error or a broken connection at the deadline
   only means that the time was over: the caller gave the exchange up, or the
   target answered with an error because of the deadline.  */
static enum adm_outcome_kind
effective_kind (const struct adm_exchange *exchange,
                const struct adm_outcome *outcome, rw_time now)
{
  bool over = now > exchange->deadline - MIN_REMAINING_TIME;
  bool unclear = outcome->kind == ADM_ERROR
                 || (outcome->kind == ADM_LOST && outcome->u.lost.sent);

  return over && unclear ? ADM_EXPIRED : outcome->kind;
}

void
adm_on_done (struct adm_target *target, struct adm_exchange *exchange,
             const struct adm_outcome *outcome, rw_time now)
{
  unlink_exchange (target, exchange);
  release_slot (target, exchange, outcome, now);
  switch (effective_kind (exchange, outcome, now))
    {
    case ADM_OK:
      on_success (target, exchange, outcome, now);
      break;
    case ADM_NOT_RUN:
      check_incarnation (target, outcome->u.not_run.incarnation, now);
      break;
    case ADM_SHED:
      adm_mark_cold (target, ADM_COLD_SHED, now);
      pause_after_failure (target, RW_E_SHED, outcome->u.shed.retry_after,
                           now);
      break;
    case ADM_ERROR:
    case ADM_LOST:
      on_failed (target, now);
      break;
    case ADM_CANCELLED:
      adm_check_latency (target, exchange, false, now);
      break;
    case ADM_EXPIRED:
      on_expired (target, exchange, now);
      break;
    }
  target->last_ended_at = now;
}

enum adm_cancel_result
adm_on_cancel (struct adm_target *target, struct adm_part *part,
               struct adm_exchange **exchange)
{
  struct adm_exchange *current = part->exchange;
  bool parts_left = false;

  target->counters.cancelled++;
  *exchange = current;
  adm_queue_unlink (&target->queue, &part->item);
  if (current == NULL)
    return ADM_CANCEL_REMOVED;
  part->exchange = NULL;
  for (size_t i = 0; i < current->count; i++)
    {
      if (current->parts[i] == part)
        current->parts[i] = NULL;
      parts_left = parts_left || current->parts[i] != NULL;
    }
  return parts_left ? ADM_CANCEL_DETACHED : ADM_CANCEL_EXCHANGE;
}

/* Applies what the target reports about itself; it can only lower the cap.  */
void
adm_on_hint (struct adm_target *target, const struct adm_hint *hint,
             rw_time now)
{
  if ((target->disabled & ADM_MECH_RAMP) != 0)
    return;
  switch (hint->kind)
    {
    case ADM_HINT_LOAD:
      apply_load (target, hint->u.load);
      break;
    case ADM_HINT_HEALTH:
      if (!hint->u.healthy)
        adm_mark_cold (target, ADM_COLD_HINT, now);
      break;
    case ADM_HINT_INCARNATION:
      if (hint->u.incarnation != 0 && target->incarnation != 0
          && hint->u.incarnation != target->incarnation)
        adm_mark_cold (target, ADM_COLD_HINT, now);
      break;
    }
}

static void
refuse_all (struct adm_target *target, int code)
{
  struct adm_item *item;

  while ((item = adm_queue_peek (&target->queue)) != NULL)
    {
      count_refusal (target, code);
      adm_queue_refuse (&target->queue, item, code, closed_retry_after (code));
    }
}

/* Returns the remaining time below which a queued part is refused: what its
   own exchange takes, if refusal is enabled, and MIN_REMAINING_TIME.  */
static rw_time
min_remaining_time (const struct adm_target *target)
{
  rw_time needed = MIN_REMAINING_TIME;

  if ((target->disabled & ADM_MECH_REFUSAL) == 0)
    needed += adm_exchange_time (target, 1);
  return needed;
}

/* Refuses the parts of one class whose deadline is too close or, if RECHECK,
   whose estimated response time has become too long.  Returns the earliest
   deadline of the rest.  */
static rw_time
refuse_late_in_class (struct adm_target *target, unsigned int class_id,
                      bool recheck, rw_time now)
{
  struct adm_item *item = target->queue.by_class[class_id].head;
  rw_time earliest = RW_TIME_NEVER;
  rw_time needed = min_remaining_time (target);
  size_t ahead = 0;

  while (item != NULL)
    {
      struct adm_item *next = item->next;
      rw_time remaining = item->deadline - now;
      rw_time response_time
          = recheck ? adm_queued_response_time (target, class_id, ahead, now)
                    : 0;

      if (remaining < needed || response_time > remaining)
        {
          target->counters.refused_expired++;
          adm_queue_refuse (&target->queue, item,
                            adm_overload_code (target, now), response_time);
        }
      else
        {
          earliest = item->deadline < earliest ? item->deadline : earliest;
          ahead++;
        }
      item = next;
    }
  return earliest;
}

/* Refuses queued parts that can no longer be answered in time.  The queues are
   searched only if a recheck is due or the earliest deadline is too close.  */
static void
refuse_late_parts (struct adm_target *target, rw_time now)
{
  bool recheck
      = target->recheck_queue && (target->disabled & ADM_MECH_REFUSAL) == 0;
  rw_time earliest = RW_TIME_NEVER;

  target->recheck_queue = false;
  if (!recheck
      && now <= target->queue.earliest_deadline - min_remaining_time (target))
    return;
  for (unsigned int i = 0; i < ADM_CLASSES_MAX; i++)
    {
      rw_time at = refuse_late_in_class (target, i, recheck, now);

      earliest = at < earliest ? at : earliest;
    }
  target->queue.earliest_deadline = earliest;
}

struct adm_part *
adm_next_refused (struct adm_target *target, rw_time now, rw_time lease_end)
{
  int code = adm_closed_code (target, now, lease_end);

  adm_release_expired_slots (target, now);
  if (code != 0)
    refuse_all (target, code);
  else if (target->queue.len > 0)
    refuse_late_parts (target, now);
  return (struct adm_part *)adm_queue_next_refused (&target->queue);
}

static rw_time
min_time (rw_time a, rw_time b)
{
  return a < b ? a : b;
}

rw_time
adm_next_wakeup (const struct adm_target *target)
{
  const struct adm_exchange *exchange;
  rw_time at;

  if (target->queue.refused_head != NULL)
    return 0;
  if (target->queue.len == 0)
    return RW_TIME_NEVER;
  at = min_time (target->queue.earliest_deadline - min_remaining_time (target)
                     + 1,
                 adm_recall_wakeup (target));
  if (target->paused_until > INT64_MIN)
    at = min_time (at, target->paused_until);
  if (target->predecessor_slots > 0)
    at = min_time (at, target->predecessor_until);
  for (int i = 0; i < target->lost_count; i++)
    at = min_time (at, target->lost_until[i]);
  for (exchange = target->running; exchange != NULL; exchange = exchange->next)
    if (exchange->holds_slot)
      at = min_time (at, exchange->deadline + ADM_DEADLINE_SLACK);
  return at;
}
