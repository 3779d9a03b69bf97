#include <math.h>
#include <string.h>

#include "steer.h"

/* Weight of one observation in the averages of a target.  */
#define SLOW_WEIGHT 0.2
#define FAIL_WEIGHT 0.2
/* One observation counts as at most so many times the usual latency.  */
#define MOST_SLOW 20.0
/* The end of a stall says nothing about the speed if the last stall ended that
   long ago: targets pause every few seconds, and slow ones stall again at
   once.  */
#define PAUSE_APART RW_SEC
/* An average that gets no observations returns to normal with this time
   constant: short against a slow spell of seconds, so that its end is
   noticed.  */
#define FORGET_TIME (2 * RW_SEC)
/* A reported queue counts less with age: at two slots and 20 ms of work it
   changes within about 50 ms.  */
#define REPORT_TIME (50 * RW_MSEC)
/* Added to the expected time of a target in another data centre: two ways of
   about 1.5 ms, and the cost of the bytes between data centres.  */
#define OTHER_DC_COST (8 * RW_MSEC)
#define COLD_COST (25 * RW_MSEC)
/* A new connection of 6 ms, and the risk that the target has too many.  */
#define SPARE_COST (15 * RW_MSEC)
/* A target that stopped answering is expected back after a pause of about
   this length.  */
#define STALL_COST (150 * RW_MSEC)
#define FAIL_COST (300 * RW_MSEC)
/* Leaving targets are taken only where no other is usable.  */
#define LEAVING_COST (10 * RW_SEC)
#define AVOID_COST (2 * RW_SEC)
/* Random part of the choice, so that daemons with the same view do not all
   take the same target.  */
#define NOISE (2 * RW_MSEC)
#define AVOID_FIRST (100 * RW_MSEC)
#define AVOID_MAX (2 * RW_SEC)
/* Added to what a part is expected to take before its target counts as
   stalled.  */
#define STALL_MARGIN (12 * RW_MSEC)
/* Part of the cold limit of a target that this daemon's share may use.  */
#define COLD_USED 0.7

/* Starts with the assumption that a part takes an eighth of the aim.  */
void
ste_latency_init (struct ste_latency *latency, rw_time aim)
{
  latency->mean = (double)aim / 8;
  latency->p90 = (double)aim / 5;
  latency->count = 0;
}

static void
latency_add (struct ste_latency *latency, double usec)
{
  double weight = latency->count < 50 ? 0.1 : 0.01;
  double clipped = fmin (usec, latency->mean * 4);
  latency->count++;
  latency->mean += weight * (clipped - latency->mean);
  /* Moves to the 0.9 quantile: up and down steps balance there.  */
  double step = latency->p90 * (latency->count < 50 ? 0.1 : 0.02);
  latency->p90 += usec > latency->p90 ? step * 0.9 : -step * 0.1;
  if (latency->p90 < latency->mean)
    latency->p90 = latency->mean;
}

static double
faded (double value, double normal, rw_time since, rw_time now, rw_time time)
{
  if (now <= since)
    return value;
  return normal + (value - normal) * exp (-(double)(now - since) / time);
}

static bool
dc_is_out (const struct ste_fleet *fleet, uint64_t dc)
{
  for (size_t i = 0; i < fleet->dcs_out_count; i++)
    if (fleet->dcs_out[i] == dc)
      return true;
  return false;
}

bool
ste_usable (const struct ste_fleet *fleet, const struct ste_target *target,
            rw_time now)
{
  if ((target->draining || target->gone) && now >= target->usable_until)
    return false;
  return !dc_is_out (fleet, target->dc);
}

static bool
is_cold (const struct ste_target *target, rw_time now)
{
  return now < target->cold_until;
}

enum ste_state
ste_state_of (const struct ste_target *target, rw_time now)
{
  if (target->draining || target->gone)
    return STE_LEAVING;
  if (is_cold (target, now))
    return STE_COLD;
  return ste_stalled (target, now) ? STE_STALLED : STE_HEALTHY;
}

const char *
ste_state_name (enum ste_state state)
{
  switch (state)
    {
    case STE_HEALTHY:
      return "well";
    case STE_COLD:
      return "cold";
    case STE_LEAVING:
      return "leaving";
    case STE_STALLED:
      return "stalled";
    case STE_STATE_COUNT:
      break;
    }
  return "unknown";
}

bool
ste_any_usable (const struct ste_fleet *fleet,
                const struct ste_service *service, rw_time now)
{
  const struct ste_target *target = service->targets;
  while (target != NULL && !ste_usable (fleet, target, now))
    target = target->next;
  return target != NULL;
}

/* A target is stalled if a send is overdue and nothing at all arrived from the
   target since that send.  */
bool
ste_stalled (const struct ste_target *target, rw_time now)
{
  for (const struct ste_send *s = target->oldest_send; s != NULL; s = s->next)
    if (s->sent_at >= target->last_reply)
      return now > s->stall_deadline;
  return false;
}

double
ste_expected_time (const struct ste_fleet *fleet,
                   const struct ste_target *target,
                   const struct ste_latency *latency, rw_time now)
{
  double slow = faded (target->latency_ratio, 1, target->latency_ratio_at, now,
                       FORGET_TIME);
  double failing = faded (target->failure_rate, 0, target->failure_rate_at,
                          now, FORGET_TIME);
  double queued
      = faded (target->queue_len, 0, target->queue_len_at, now, REPORT_TIME);
  if (queued < target->in_flight)
    queued = target->in_flight;
  double work = latency->mean * slow;
  double cost = work;
  cost += work * 0.5 * queued / target->slots;
  if (target->dc != fleet->settings.dc)
    cost += OTHER_DC_COST;
  if (target->outside_subset)
    cost += SPARE_COST;
  if (is_cold (target, now))
    cost += COLD_COST;
  if (ste_stalled (target, now))
    cost += STALL_COST;
  cost += failing * FAIL_COST;
  if (now < target->backoff_until)
    cost += AVOID_COST;
  if (target->draining || target->gone)
    cost += LEAVING_COST;
  return cost;
}

/* Refills the tokens for requests to a cold target: the share of this daemon
   in what the target bears.  The first token is drawn at random, so that
   daemons do not send at once when a target appears.  */
static bool
cold_token (struct ste_fleet *fleet, struct ste_target *target, rw_time now)
{
  double limit = target->service->warmup_limit_per_s;
  if (limit <= 0 || !is_cold (target, now))
    return true;
  double rate = limit * COLD_USED / (double)fleet->settings.daemon_count;
  if (target->warmup_refilled_at == 0)
    target->warmup_tokens = rw_rng_unit (&fleet->rng);
  else
    target->warmup_tokens
        += rate * (double)(now - target->warmup_refilled_at) / RW_SEC;
  target->warmup_refilled_at = now;
  if (target->warmup_tokens > 1)
    target->warmup_tokens = 1;
  return target->warmup_tokens >= 1;
}

static bool
is_tried (const struct ste_target *target, struct ste_target *const *tried,
          size_t tried_n)
{
  for (size_t i = 0; i < tried_n; i++)
    if (tried[i] == target)
      return true;
  return false;
}

struct ste_target *
ste_pick (struct ste_fleet *fleet, struct ste_service *service,
          const struct ste_latency *latency, struct ste_target *const *tried,
          size_t tried_n, rw_time now)
{
  struct ste_target *best = NULL;
  double best_cost = 0;
  for (struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      if (is_tried (t, tried, tried_n) || !ste_usable (fleet, t, now)
          || !cold_token (fleet, t, now))
        continue;
      double cost = ste_expected_time (fleet, t, latency, now)
                    + rw_rng_unit (&fleet->rng) * NOISE;
      if (best == NULL || cost < best_cost)
        {
          best = t;
          best_cost = cost;
        }
    }
  if (best != NULL && is_cold (best, now) && service->warmup_limit_per_s > 0)
    best->warmup_tokens -= 1;
  return best;
}

void
ste_on_sent (struct ste_send *send, struct ste_target *target,
             struct ste_latency *latency, rw_time now)
{
  double slow = faded (target->latency_ratio, 1, target->latency_ratio_at, now,
                       FORGET_TIME);
  double work = latency->p90 * fmax (slow, 1);
  double queue = (double)target->in_flight / target->slots;
  memset (send, 0, sizeof *send);
  send->target = target;
  send->latency = latency;
  send->sent_at = now;
  send->stall_deadline = now + (rw_time)(work * (1.2 + queue)) + STALL_MARGIN;
  send->prev = target->newest_send;
  if (target->newest_send != NULL)
    target->newest_send->next = send;
  else
    target->oldest_send = send;
  target->newest_send = send;
  target->in_flight++;
}

static void
unlink_send (struct ste_send *send)
{
  struct ste_target *target = send->target;
  if (send->prev != NULL)
    send->prev->next = send->next;
  else
    target->oldest_send = send->next;
  if (send->next != NULL)
    send->next->prev = send->prev;
  else
    target->newest_send = send->prev;
  target->in_flight--;
}

static void
add_failure (struct ste_target *target, double failed, rw_time now)
{
  double old = faded (target->failure_rate, 0, target->failure_rate_at, now,
                      FORGET_TIME);
  target->failure_rate = old + FAIL_WEIGHT * (failed - old);
  target->failure_rate_at = now;
}

static void
add_latency (struct ste_target *target, const struct ste_send *send,
             rw_time now)
{
  double took = (double)(now - send->sent_at);
  double ratio = fmin (took / send->latency->mean, MOST_SLOW);
  double old = faded (target->latency_ratio, 1, target->latency_ratio_at, now,
                      FORGET_TIME);
  target->latency_ratio = fmax (0.3, old + SLOW_WEIGHT * (ratio - old));
  target->latency_ratio_at = now;
}

static void
end_stall (struct ste_target *target, rw_time now)
{
  if (target->last_stall_end == 0
      || now - target->last_stall_end > PAUSE_APART)
    target->last_pause_end = now;
  target->last_stall_end = now;
}

void
ste_on_result (struct ste_send *send, enum ste_outcome outcome, rw_time now)
{
  struct ste_target *target = send->target;
  bool was_stalled = ste_stalled (target, now);
  unlink_send (send);
  switch (outcome)
    {
    case STE_OK:
      if (was_stalled)
        end_stall (target, now);
      if (send->sent_at >= target->last_pause_end)
        add_latency (target, send, now);
      latency_add (send->latency, (double)(now - send->sent_at));
      add_failure (target, 0, now);
      target->backoff_count = 0;
      target->backoff_until = 0;
      target->last_reply = now;
      break;
    case STE_SHED:
      target->last_reply = now;
      target->queue_len = fmax (target->queue_len, target->slots * 4.0);
      target->queue_len_at = now;
      break;
    case STE_FAILED:
      target->last_reply = now;
      add_failure (target, 1, now);
      break;
    case STE_ABANDONED:
      if (was_stalled)
        ste_back_off (target, now);
      break;
    }
}

void
ste_back_off (struct ste_target *target, rw_time now)
{
  rw_time span = AVOID_FIRST
                 << (target->backoff_count < 5 ? target->backoff_count : 5);
  if (now < target->backoff_until)
    return;
  target->backoff_count++;
  target->backoff_until = now + (span < AVOID_MAX ? span : AVOID_MAX);
}

void
ste_on_load_report (struct ste_target *target, unsigned int running,
                    unsigned int waiting, unsigned int slots, rw_time now)
{
  target->queue_len = running + waiting;
  target->queue_len_at = now;
  if (slots > 0)
    target->slots = slots;
}
