#include "internal.h"

#include <string.h>

/* A process cannot restart and accept connections in less; so after a longer
   time without an exchange the target may be a new, cold process.  */
#define IDLE_TIME (100 * RW_MSEC)

/* Pause after the second failure in a row; it doubles with each further one.
   The longest pause leaves several attempts within the 5 s in which service
   must have recovered.  */
#define PAUSE_FIRST (10 * RW_MSEC)
#define PAUSE_MAX RW_SEC

/* Parts that are looked at for one exchange; bounds its cost when parts of
   many snapshots or shards wait.  */
#define BATCH_SCAN 64

#define RETRY_OUT RW_SEC
#define RETRY_NO_LEASE (100 * RW_MSEC)

static int
min_int (int a, int b)
{
  return a < b ? a : b;
}

/* Prepares a target that this daemon begins to hold: it counts as cold.
   CLASSES stays the caller's and must live as long; DISABLED are bits of enum
   adm_mechanism.  */
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
  adm_go_cold (target, ADM_COLD_START, now);
}

/* Forgets all parts and exchanges, which remain the caller's.  */
void
adm_target_finish (struct adm_target *target)
{
  adm_queue_init (&target->queue, target->queue.classes, target->disabled);
  target->running = NULL;
  target->running_slots = 0;
}

/* Falls back to the cold limit.  Answers of exchanges that are running now do
   not count for the ramp, because the target may have started them warm.  */
void
adm_go_cold (struct adm_target *target, enum adm_cold_reason reason,
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

/* Applies RULES.  A target that is returned to service counts as cold; a
   higher number of slots is reached by the ramp.  */
void
adm_set_rules (struct adm_target *target, const struct adm_rules *rules,
               rw_time now)
{
  struct adm_rules old = target->rules;

  target->rules = *rules;
  target->recheck_queue = true;
  if (old.out && !rules->out)
    adm_go_cold (target, ADM_COLD_RETURNED, now);
  if (target->cap == old.cold_limit || (target->disabled & ADM_MECH_RAMP) != 0)
    target->cap = (target->disabled & ADM_MECH_RAMP) != 0 ? rules->slots
                                                          : rules->cold_limit;
  target->cap = min_int (target->cap, rules->slots);
}

/* Returns 0 if parts may be admitted, or why not.  */
int
adm_closed (const struct adm_target *target, rw_time now, rw_time until)
{
  if (target->rules.out)
    return RW_E_OUT;
  if (target->exported || until - MIN_REMAINING < now)
    return RW_E_NOT_HOLDER;
  return 0;
}

static rw_time
closed_retry (int code)
{
  return code == RW_E_OUT ? RETRY_OUT : RETRY_NO_LEASE;
}

/* Returns why a part is refused that cannot wait: the target pauses, or has
   too much to do.  */
int
adm_refusal_code (const struct adm_target *target, rw_time now)
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

/* Frees slots that are counted no longer: of exchanges whose deadline has
   passed, and of the predecessor.  */
void
adm_lapse (struct adm_target *target, rw_time now)
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

/* Returns the slots of the target that this daemon counts as in use.  */
int
adm_counted (const struct adm_target *target)
{
  return target->running_slots + target->lost_count;
}

/* Returns whether the target may be cold unseen: restarted while it was idle,
   or slow for another reason than a straggler.  */
bool
adm_unconfirmed (const struct adm_target *target, rw_time now)
{
  if ((target->disabled & ADM_MECH_RAMP) != 0)
    return false;
  return !target->confirmed || target->suspect_since != RW_TIME_NEVER
         || (target->running == NULL
             && now - target->last_ended_at > IDLE_TIME);
}

/* Returns how many slots may be counted now.  */
int
adm_limit (const struct adm_target *target, rw_time now)
{
  int limit = min_int (target->cap, target->rules.slots);

  if (adm_unconfirmed (target, now))
    limit = min_int (limit, target->rules.cold_limit);
  return min_int (limit - target->predecessor_slots,
                  adm_connection_limit (target, now));
}

/* Returns the connections that may be open: one for each slot, and none that
   the predecessor of a hand-over may still have open.  */
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
  if (target->cap < target->rules.slots || adm_unconfirmed (target, now))
    return 1;
  return ADM_BATCH_MAX;
}

/* Queues PART, or refuses it and returns the reason.  */
int
adm_enqueue (struct adm_target *target, struct adm_part *part, rw_time now,
             rw_time until)
{
  struct adm_item *item = &part->item;
  int code = adm_closed (target, now, until);
  rw_time estimate;

  adm_lapse (target, now);
  part->exchange = NULL;
  part->recalled = false;
  item->state = ADM_ITEM_UNLINKED;
  item->refusal = (struct adm_refusal){ code, closed_retry (code) };
  if (code == 0 && item->deadline - now < MIN_REMAINING)
    item->refusal = (struct adm_refusal){ RW_E_DEADLINE, 0 };
  else if (code == 0 && (target->disabled & ADM_MECH_REFUSAL) == 0)
    {
      estimate = adm_response_time (target, item->class_id, now);
      if (adm_queue_full (&target->queue, item->class_id))
        item->refusal = (struct adm_refusal){ RW_E_QUEUE_FULL, estimate };
      else if (estimate > item->deadline - now)
        item->refusal
            = (struct adm_refusal){ adm_refusal_code (target, now), estimate };
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
batches_with (const struct adm_part *first, const struct adm_part *part)
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

/* Refuses ITEM, which is about to be dispatched, when not even an exchange of
   its own would end in time.  A target without exchanges gets it all the same:
   otherwise an average that is too high could never be corrected.  */
static bool
refuse_hopeless (struct adm_target *target, struct adm_item *item, rw_time now)
{
  rw_time remaining = item->deadline - now;

  if (remaining >= MIN_REMAINING
      && (adm_counted (target) == 0
          || (target->disabled & ADM_MECH_REFUSAL) != 0
          || remaining >= adm_exchange_time (target, 1)))
    return false;
  target->counters.refused_expired++;
  adm_queue_refuse (&target->queue, item, RW_E_DEADLINE,
                    adm_exchange_time (target, 1));
  return true;
}

/* Fills EXCHANGE with FIRST and the parts that may share its exchange.  */
static void
fill_exchange (struct adm_target *target, struct adm_exchange *exchange,
               struct adm_part *first, rw_time now)
{
  size_t limit = (size_t)adm_batch_limit (target, now);
  struct adm_item *item = first->item.next;

  add_to_exchange (target, exchange, first);
  for (int seen = 0; seen < BATCH_SCAN && item != NULL; seen++)
    {
      struct adm_part *part = (struct adm_part *)item;

      item = item->next;
      if (exchange->count >= limit)
        break;
      if (part->item.class_id == first->item.class_id
          && batches_with (first, part)
          && !refuse_hopeless (target, &part->item, now))
        add_to_exchange (target, exchange, part);
    }
}

static void
start_exchange (struct adm_target *target, struct adm_exchange *exchange,
                rw_time now, rw_time until)
{
  if (exchange->deadline > until)
    exchange->deadline = until;
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

/* Moves the average of parts per exchange, at full cap.  */
static void
note_batch (struct adm_target *target, size_t count)
{
  target->mean_batch_milli
      += ((int64_t)count * 1000 - target->mean_batch_milli) >> MEAN_SHIFT;
}

/* Fills EXCHANGE with the parts to dispatch at NOW and returns true, or
   returns false if none may be dispatched.  */
bool
adm_next_exchange (struct adm_target *target, struct adm_exchange *exchange,
                   rw_time now, rw_time until)
{
  struct adm_item *item;

  adm_lapse (target, now);
  if (adm_closed (target, now, until) != 0 || now < target->paused_until
      || adm_counted (target) >= adm_limit (target, now))
    return false;
  do
    {
      item = adm_queue_peek (&target->queue);
      if (item == NULL)
        return false;
    }
  while (refuse_hopeless (target, item, now));
  if (adm_unconfirmed (target, now))
    target->confirmed = false;
  memset (exchange, 0, sizeof *exchange);
  exchange->once = ((struct adm_part *)item)->once;
  if (adm_batch_limit (target, now) > 1)
    {
      fill_exchange (target, exchange, (struct adm_part *)item, now);
      note_batch (target, exchange->count);
    }
  else
    add_to_exchange (target, exchange, (struct adm_part *)item);
  start_exchange (target, exchange, now, until);
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

/* Frees the slot of EXCHANGE, or keeps it counted until the target must have
   dropped it.  */
static void
release_slot (struct adm_target *target, struct adm_exchange *exchange,
              const struct adm_outcome *outcome, rw_time now)
{
  rw_time until = exchange->deadline + ADM_DEADLINE_SLACK;
  bool may_run
      = (outcome->kind == ADM_LOST && outcome->u.lost.sent)
        || (outcome->kind == ADM_EXPIRED && !outcome->u.expired.answered)
        || (outcome->kind == ADM_CANCELLED && !outcome->u.cancelled.confirmed);

  if (!exchange->holds_slot)
    return;
  exchange->holds_slot = false;
  target->running_slots--;
  if (may_run && until > now && target->lost_count < ADM_SLOTS_MAX)
    target->lost_until[target->lost_count++] = until;
}

/* Waits longer before the next exchange with each failure in a row.  */
static void
pause_after_failure (struct adm_target *target, int code, rw_time at_least,
                     rw_time now)
{
  rw_time pause = 0;
  int doublings = target->failures - 1;

  target->failures++;
  target->pause_code = code;
  if (doublings >= 0)
    pause = doublings < 7 ? PAUSE_FIRST << doublings : PAUSE_MAX;
  if (pause < at_least)
    pause = at_least;
  if (pause > PAUSE_MAX)
    pause = PAUSE_MAX;
  if (now + pause > target->paused_until)
    target->paused_until = now + pause;
}

/* Notes the incarnation that an answer named; a change means a restart.  An
   answer without one cannot tell whether the target was restarted while it
   was idle.  Returns whether the target counts as cold now.  */
static bool
note_incarnation (struct adm_target *target, uint64_t incarnation, rw_time now)
{
  uint64_t old = target->incarnation;
  bool confirmed = target->confirmed;

  if ((target->disabled & ADM_MECH_RAMP) != 0)
    return false;
  target->confirmed = true;
  if (incarnation == 0 && !confirmed)
    {
      adm_go_cold (target, ADM_COLD_IDLE, now);
      return true;
    }
  if (incarnation == 0 || incarnation == old)
    return false;
  target->incarnation = incarnation;
  if (old == 0)
    return false;
  adm_go_cold (target, ADM_COLD_INCARNATION, now);
  return true;
}

/* A load above what the target can handle lowers the cap by one.  */
static void
note_load (struct adm_target *target, int load)
{
  if (load <= 100 || (target->disabled & ADM_MECH_RAMP) != 0)
    return;
  target->successes = 0;
  target->cap = target->cap > 1 ? target->cap - 1 : 1;
  target->recheck_queue = true;
}

static void
note_success (struct adm_target *target, const struct adm_exchange *exchange)
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
on_ok (struct adm_target *target, struct adm_exchange *exchange,
       const struct adm_outcome *outcome, rw_time now)
{
  if (note_incarnation (target, outcome->u.ok.incarnation, now))
    return;
  if (adm_judge (target, exchange, true, now))
    note_success (target, exchange);
  note_load (target, outcome->u.ok.load);
}

/* EXCHANGE failed: an error, or no answer.  */
static void
on_failed (struct adm_target *target, rw_time now)
{
  adm_go_cold (target, ADM_COLD_FAILED, now);
  pause_after_failure (target, RW_E_RESET, 0, now);
}

/* The deadline of EXCHANGE passed, which says only that it took longer than
   it had.  It ends the successes in a row: a target that became cold while it
   ramped is not slower than its average shows.  */
static void
on_expired (struct adm_target *target, const struct adm_exchange *exchange,
            rw_time now)
{
  uint64_t epoch = target->cold_epoch;

  target->successes = 0;
  adm_judge (target, exchange, false, now);
  if (target->cold_epoch != epoch)
    pause_after_failure (target, RW_E_RESET, 0, now);
}

/* Returns how EXCHANGE ended.  A caller that gave it up, or a target that
   answered with an error, when its time was over means no more than that.  */
static enum adm_outcome_kind
kind_of (const struct adm_exchange *exchange,
         const struct adm_outcome *outcome, rw_time now)
{
  bool over = now > exchange->deadline - MIN_REMAINING;
  bool unclear = outcome->kind == ADM_ERROR
                 || (outcome->kind == ADM_LOST && outcome->u.lost.sent);

  return over && unclear ? ADM_EXPIRED : outcome->kind;
}

/* Takes the OUTCOME of EXCHANGE; its memory is the caller's again.  */
void
adm_on_done (struct adm_target *target, struct adm_exchange *exchange,
             const struct adm_outcome *outcome, rw_time now)
{
  unlink_exchange (target, exchange);
  release_slot (target, exchange, outcome, now);
  switch (kind_of (exchange, outcome, now))
    {
    case ADM_OK:
      on_ok (target, exchange, outcome, now);
      break;
    case ADM_NOT_RUN:
      note_incarnation (target, outcome->u.not_run.incarnation, now);
      break;
    case ADM_SHED:
      adm_go_cold (target, ADM_COLD_SHED, now);
      pause_after_failure (target, RW_E_SHED, outcome->u.shed.retry_after,
                           now);
      break;
    case ADM_ERROR:
    case ADM_LOST:
      on_failed (target, now);
      break;
    case ADM_CANCELLED:
      adm_judge (target, exchange, false, now);
      break;
    case ADM_EXPIRED:
      on_expired (target, exchange, now);
      break;
    }
  target->last_ended_at = now;
}

/* The caller of PART no longer wants it.  PART is the caller's again.  */
enum adm_cancel_result
adm_on_cancel (struct adm_target *target, struct adm_part *part,
               struct adm_exchange **exchange)
{
  struct adm_exchange *in = part->exchange;
  bool left = false;

  target->counters.cancelled++;
  *exchange = in;
  adm_queue_unlink (&target->queue, &part->item);
  if (in == NULL)
    return ADM_CANCEL_REMOVED;
  part->exchange = NULL;
  for (size_t i = 0; i < in->count; i++)
    {
      if (in->parts[i] == part)
        in->parts[i] = NULL;
      left = left || in->parts[i] != NULL;
    }
  return left ? ADM_CANCEL_DETACHED : ADM_CANCEL_EXCHANGE;
}

/* Takes what the target reports of itself, which can only lower the cap.
 */
void
adm_on_hint (struct adm_target *target, const struct adm_hint *hint,
             rw_time now)
{
  if ((target->disabled & ADM_MECH_RAMP) != 0)
    return;
  switch (hint->kind)
    {
    case ADM_HINT_LOAD:
      note_load (target, hint->u.load);
      break;
    case ADM_HINT_HEALTH:
      if (!hint->u.healthy)
        adm_go_cold (target, ADM_COLD_HINT, now);
      break;
    case ADM_HINT_INCARNATION:
      if (hint->u.incarnation != 0 && target->incarnation != 0
          && hint->u.incarnation != target->incarnation)
        adm_go_cold (target, ADM_COLD_HINT, now);
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
      adm_queue_refuse (&target->queue, item, code, closed_retry (code));
    }
}

/* A queued part with less time than this cannot be answered in time.  */
static rw_time
least_remaining (const struct adm_target *target)
{
  rw_time least = MIN_REMAINING;

  if ((target->disabled & ADM_MECH_REFUSAL) == 0)
    least += adm_exchange_time (target, 1);
  return least;
}

/* Refuses the items of one class whose deadline has come or, if REASSESS,
   whose estimated wait has become too long.  Returns the earliest deadline of
   the rest.  */
static rw_time
expire_class (struct adm_target *target, unsigned int class_id, bool reassess,
              rw_time now)
{
  struct adm_item *item = target->queue.by_class[class_id].head;
  rw_time earliest = RW_TIME_NEVER;
  rw_time least = least_remaining (target);
  size_t ahead = 0;

  while (item != NULL)
    {
      struct adm_item *next = item->next;
      rw_time remaining = item->deadline - now;
      rw_time wait = reassess ? adm_wait (target, class_id, ahead, now) : 0;

      if (remaining < least || wait > remaining)
        {
          target->counters.refused_expired++;
          adm_queue_refuse (&target->queue, item,
                            adm_refusal_code (target, now), wait);
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

static void
expire_all (struct adm_target *target, rw_time now)
{
  bool reassess
      = target->recheck_queue && (target->disabled & ADM_MECH_REFUSAL) == 0;
  rw_time earliest = RW_TIME_NEVER;

  target->recheck_queue = false;
  if (!reassess
      && now <= target->queue.earliest_deadline - least_remaining (target))
    return;
  for (unsigned int i = 0; i < ADM_CLASSES_MAX; i++)
    {
      rw_time at = expire_class (target, i, reassess, now);

      earliest = at < earliest ? at : earliest;
    }
  target->queue.earliest_deadline = earliest;
}

/* Returns the next queued part that is refused at NOW, or a null pointer.
 */
struct adm_part *
adm_next_refused (struct adm_target *target, rw_time now, rw_time until)
{
  int code = adm_closed (target, now, until);

  adm_lapse (target, now);
  if (code != 0)
    refuse_all (target, code);
  else if (target->queue.len > 0)
    expire_all (target, now);
  return (struct adm_part *)adm_queue_next_refused (&target->queue);
}

static rw_time
min_time (rw_time a, rw_time b)
{
  return a < b ? a : b;
}

/* Returns when adm_next_refused and adm_next_exchange are due, or
 * RW_TIME_NEVER.
 */
rw_time
adm_next_wakeup (const struct adm_target *target)
{
  const struct adm_exchange *exchange;
  rw_time at;

  if (target->queue.refused_head != NULL)
    return 0;
  if (target->queue.len == 0)
    return RW_TIME_NEVER;
  at = min_time (target->queue.earliest_deadline - least_remaining (target)
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
