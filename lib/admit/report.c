#include "internal.h"

/* Returns what limits TARGET at NOW.  If several limits apply it returns the
   first in the order below.  */
static enum adm_limit
current_limit (const struct adm_target *target, rw_time now, rw_time lease_end)
{
  switch (adm_closed_code (target, now, lease_end))
    {
    case 0:
      break;
    case RW_E_OUT:
      return ADM_LIMIT_OUT;
    default:
      return ADM_LIMIT_NO_LEASE;
    }
  if (now < target->paused_until)
    return ADM_LIMIT_PAUSE;
  if (target->predecessor_slots > 0)
    return ADM_LIMIT_HANDOVER;
  if (target->cap < target->rules.slots)
    return ADM_LIMIT_RAMP;
  if (adm_may_be_cold (target, now)
      && target->rules.cold_limit < target->rules.slots)
    return ADM_LIMIT_IDLE;
  if (target->rules.connections < target->rules.slots)
    return ADM_LIMIT_CONNECTIONS;
  return ADM_LIMIT_SLOTS;
}

void
adm_report (const struct adm_target *target, struct adm_report *report,
            rw_time now, rw_time lease_end)
{
  report->limit = current_limit (target, now, lease_end);
  report->cap = target->cap;
  report->slots = target->rules.slots;
  report->running = adm_slots_in_use (target);
  report->predecessor_slots = target->predecessor_slots;
  report->queued = (int)target->queue.len;
  report->latency = adm_exchange_time (target, 1);
  report->cold_reason = target->cold_reason;
  report->cold_at = target->cold_at;
}

const char *
adm_limit_name (enum adm_limit limit)
{
  switch (limit)
    {
    case ADM_LIMIT_SLOTS:
      return "slots";
    case ADM_LIMIT_RAMP:
      return "ramp";
    case ADM_LIMIT_IDLE:
      return "idle";
    case ADM_LIMIT_PAUSE:
      return "pause";
    case ADM_LIMIT_HANDOVER:
      return "hand-over";
    case ADM_LIMIT_CONNECTIONS:
      return "connections";
    case ADM_LIMIT_NO_LEASE:
      return "no-lease";
    case ADM_LIMIT_OUT:
      return "out";
    }
  return "?";
}

const char *
adm_cold_reason_name (enum adm_cold_reason reason)
{
  switch (reason)
    {
    case ADM_COLD_START:
      return "start";
    case ADM_COLD_RETURNED:
      return "returned";
    case ADM_COLD_INCARNATION:
      return "incarnation";
    case ADM_COLD_SHED:
      return "shed";
    case ADM_COLD_FAILED:
      return "failed";
    case ADM_COLD_LATENCY:
      return "latency";
    case ADM_COLD_HINT:
      return "hint";
    case ADM_COLD_IDLE:
      return "idle";
    case ADM_COLD_REASON_COUNT:
      break;
    }
  return "?";
}
