#include <string.h>

#include "reach.h"

/* Without a reply for this time, while all sends in flight have stalled, the
   ways to the targets are in doubt.  */
#define QUIET_TIME (150 * RW_MSEC)
/* Without any contact for this time, they are checked.  */
#define IDLE_TIME RW_SEC
/* While cut off, connections that brought a reply within this time may bring
   more.  */
#define LIVE_TIME (300 * RW_MSEC)
/* Failed connections count for this time.  */
#define REFUSAL_LIFE (2 * RW_SEC)
/* Time between two rounds, and while cut off.  */
#define ROUND_INTERVAL (500 * RW_MSEC)
#define CUT_OFF_ROUND_INTERVAL (250 * RW_MSEC)

void
rch_init (struct rch_reach *reach, rw_time now)
{
  memset (reach, 0, sizeof *reach);
  reach->since = now;
  reach->last_reply = now;
  reach->last_contact = now;
}

void
rch_on_reply (struct rch_reach *reach, rw_time now)
{
  reach->last_reply = now;
  reach->last_contact = now;
}

void
rch_on_connected (struct rch_reach *reach, rw_time now)
{
  reach->last_contact = now;
  reach->refusal_count = 0;
}

void
rch_on_connect_failed (struct rch_reach *reach, uint64_t key, rw_time now)
{
  if (now - reach->refused_at > REFUSAL_LIFE)
    reach->refusal_count = 0;
  reach->refused_at = now;
  for (size_t i = 0; i < reach->refusal_count; i++)
    if (reach->refusals[i] == key)
      return;
  if (reach->refusal_count < RCH_SUSPICIOUS_REFUSALS)
    reach->refusals[reach->refusal_count++] = key;
}

bool
rch_can_send (const struct rch_reach *reach, rw_time now)
{
  return !reach->cut_off || now - reach->last_reply <= LIVE_TIME;
}

static bool
is_suspicious (const struct rch_reach *reach, const struct rch_sends *sends,
               rw_time now)
{
  if (reach->refusal_count == RCH_SUSPICIOUS_REFUSALS
      && now - reach->refused_at <= REFUSAL_LIFE)
    return true;
  return sends->waiting > 0 && sends->stalled == sends->waiting
         && now - reach->last_reply > QUIET_TIME;
}

size_t
rch_probes_due (const struct rch_reach *reach, const struct rch_sends *sends,
                rw_time now)
{
  if (reach->round_size > 0 || now < reach->next_round)
    return 0;
  if (reach->cut_off || reach->is_check_failed
      || is_suspicious (reach, sends, now))
    return RCH_ROUND_PROBES;
  return now - reach->last_contact > IDLE_TIME ? RCH_CHECK_PROBES : 0;
}

void
rch_begin_round (struct rch_reach *reach, size_t count, rw_time now)
{
  reach->round_size = count;
  reach->round_began = now;
  reach->opened = 0;
  reach->refused = 0;
  reach->unanswered = 0;
  if (count == 0)
    reach->next_round = now + ROUND_INTERVAL;
}

/* Returns whether the results of the round say that this daemon is cut off.
   Connections may also go unanswered at targets that are too busy for new
   ones; these answer what they have.  */
static bool
round_says_cut_off (const struct rch_reach *reach)
{
  if (reach->cut_off)
    return reach->opened * 2 <= reach->round_size;
  if (reach->opened > 0)
    return false;
  return reach->unanswered == 0 || reach->last_reply < reach->round_began;
}

bool
rch_on_probe (struct rch_reach *reach, enum rch_probe_result result,
              rw_time now)
{
  switch (result)
    {
    case RCH_PROBE_OPENED:
      reach->opened++;
      break;
    case RCH_PROBE_REFUSED:
      reach->refused++;
      break;
    case RCH_PROBE_NO_ANSWER:
      reach->unanswered++;
      break;
    }
  if (reach->opened + reach->refused + reach->unanswered < reach->round_size)
    return false;
  bool was_check = !reach->cut_off && !reach->is_check_failed
                   && reach->round_size <= RCH_CHECK_PROBES
                   && reach->refusal_count < RCH_SUSPICIOUS_REFUSALS;
  bool says_cut_off = round_says_cut_off (reach);
  reach->round_size = 0;
  reach->is_check_failed = was_check && says_cut_off;
  if (reach->is_check_failed)
    {
      reach->next_round = now;
      return false;
    }
  reach->next_round
      = now + (says_cut_off ? CUT_OFF_ROUND_INTERVAL : ROUND_INTERVAL);
  if (reach->opened > 0)
    rch_on_connected (reach, now);
  if (says_cut_off == reach->cut_off)
    return false;
  reach->cut_off = says_cut_off;
  reach->since = now;
  return true;
}
