/* How long the targets of a service have failed or been silent.  */

#include "impl.h"

/* Returns when TARGET, which has stalled, was first asked in vain.  */
static rw_time
silent_since (const struct ste_target *target)
{
  const struct ste_send *s = target->oldest_send;
  while (s->sent_at < target->last_reply)
    s = s->next;
  if (target->backoff_count > 0
      && s->sent_at - target->backoff_until <= STE_MAX_FAILURE_GAP
      && target->failing_since < s->sent_at)
    return target->failing_since;
  return s->sent_at;
}

/* Whether TARGET failed and has had no chance to succeed since: it is in
   backoff or was so a moment ago.  */
static bool
has_failed (const struct ste_target *target, rw_time now)
{
  return target->backoff_count > 0
         && now - target->backoff_until <= STE_MAX_FAILURE_GAP;
}

/* Returns how long TARGET has failed or been silent; 0: it has not.  */
static rw_time
outage_of (const struct ste_target *target, rw_time now)
{
  rw_time outage = 0;
  if (has_failed (target, now))
    outage = now - target->failing_since;
  if (ste_stalled (target, now) && now - silent_since (target) > outage)
    outage = now - silent_since (target);
  return outage;
}

struct ste_outlook
ste_outlook_of (const struct ste_fleet *fleet,
                const struct ste_service *service, rw_time now)
{
  struct ste_outlook outlook = { .outage = RW_TIME_NEVER };
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      if (!ste_usable (fleet, t, now))
        continue;
      rw_time outage = outage_of (t, now);
      if (outage < outlook.outage)
        outlook.outage = outage;
      if (has_failed (t, now) || ste_stalled (t, now))
        continue;
      outlook.has_target = true;
      outlook.has_proven |= t->backoff_count == 0;
    }
  return outlook;
}
