#include "internal.h"

/* Fills *STATE with what the successor needs.  From now on TARGET admits
   nothing, until adm_resume.  */
void
adm_export (struct adm_target *target, struct adm_handover *state, rw_time now)
{
  const struct adm_exchange *exchange;
  rw_time last_free_at = now;

  adm_release_expired_slots (target, now);
  target->exported = true;
  for (exchange = target->running; exchange != NULL; exchange = exchange->next)
    if (exchange->holds_slot
        && exchange->deadline + ADM_DEADLINE_SLACK > last_free_at)
      last_free_at = exchange->deadline + ADM_DEADLINE_SLACK;
  for (int i = 0; i < target->lost_count; i++)
    if (target->lost_until[i] > last_free_at)
      last_free_at = target->lost_until[i];
  if (target->predecessor_slots > 0
      && target->predecessor_until > last_free_at)
    last_free_at = target->predecessor_until;
  state->cap = target->cap;
  state->running = adm_slots_in_use (target) + target->predecessor_slots;
  state->incarnation = target->incarnation;
  state->remaining = last_free_at - now;
}

/* Continues with the cap of the predecessor, less the slots that it still
   counts.  These become free when the predecessor reports fewer slots, or at
   the latest after STATE->remaining.  The first exchange must confirm that the
   target was not restarted.  */
void
adm_import (struct adm_target *target, const struct adm_handover *state,
            rw_time now)
{
  int cap = state->cap;

  if (cap > target->rules.slots)
    cap = target->rules.slots;
  if (cap > target->cap)
    target->cap = cap;
  if (state->incarnation != 0)
    target->incarnation = state->incarnation;
  target->confirmed = false;
  target->predecessor_slots = state->running > 0 ? state->running : 0;
  target->predecessor_until
      = now + (state->remaining > 0 ? state->remaining : 0);
  target->recheck_queue = true;
}

void
adm_on_predecessor_slots (struct adm_target *target, int running)
{
  if (running >= 0 && running < target->predecessor_slots)
    target->predecessor_slots = running;
}

/* The target counts as cold, because the successor may have used it.  */
void
adm_resume (struct adm_target *target, rw_time now)
{
  target->exported = false;
  adm_mark_cold (target, ADM_COLD_START, now);
}
