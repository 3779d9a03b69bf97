#include "route.h"

#include <math.h>

/* Weight of a new sample in the moving average: a quarter follows a change of
   the target's load within about ten parts.  */
#define LATENCY_WEIGHT 0.25

/* Prepares ESTIMATE for a target of which nothing is known.  */
void
rte_estimate_init (struct rte_estimate *estimate, rw_time now)
{
  *estimate = (struct rte_estimate){ .failures_at = now };
}

/* Returns what is left of VALUE after ELAPSED.  */
static double
decayed (double value, rw_time elapsed, rw_time half_life)
{
  if (elapsed <= 0)
    return value;
  return value * exp2 (-(double)elapsed / (double)half_life);
}

/* Counts a part that was sent to the target.  */
void
rte_on_send (struct rte_estimate *estimate)
{
  estimate->in_flight++;
}

/* Counts the end of a part, whatever its outcome.  */
void
rte_on_end (struct rte_estimate *estimate)
{
  if (estimate->in_flight > 0)
    estimate->in_flight--;
}

static rw_time
round_trip (const struct rte_estimate *estimate)
{
  return 2 * estimate->one_way_delay;
}

/* Adds the time between send and result of a successful part.  The way to the
   holder and back is taken out, so that the average stays valid when another
   daemon becomes the holder.  */
void
rte_on_latency (struct rte_estimate *estimate, rw_time latency, rw_time now)
{
  rw_time net = latency - round_trip (estimate);

  if (net < 0)
    net = 0;
  if (estimate->latency_at == 0)
    estimate->latency = net;
  else
    estimate->latency
        += (rw_time)((double)(net - estimate->latency) * LATENCY_WEIGHT);
  estimate->latency_at = now != 0 ? now : 1;
}

/* Notes a part without result that had run for AT_LEAST.  It only raises the
   average: below it, the part tells nothing.  */
void
rte_on_unfinished (struct rte_estimate *estimate, rw_time at_least,
                   rw_time now)
{
  if (at_least - round_trip (estimate) > estimate->latency)
    rte_on_latency (estimate, at_least, now);
}

/* Notes a reset, a lost connection, an invalid answer, or that nobody admits
   parts for the target.  */
void
rte_on_failure (struct rte_estimate *estimate, rw_time now)
{
  estimate->failures
      = decayed (estimate->failures, now - estimate->failures_at,
                 RTE_FAILURE_HALF_LIFE)
        + 1.0;
  if (estimate->failures > RTE_FAILURES_MAX)
    estimate->failures = RTE_FAILURES_MAX;
  estimate->failures_at = now;
}

/* Notes a refusal; RETRY_AFTER is the time that the refuser asked for.  */
void
rte_on_refusal (struct rte_estimate *estimate, rw_time retry_after,
                rw_time now)
{
  if (now + retry_after > estimate->refused_until)
    estimate->refused_until = now + retry_after;
}

/* Sets the one-way delay to the daemon that holds the target.  */
void
rte_set_one_way_delay (struct rte_estimate *estimate, rw_time one_way)
{
  estimate->one_way_delay = one_way > 0 ? one_way : 0;
}

/* Returns the time that a part sent now is expected to take: the average,
   once more for every part that runs there already, the way to the holder and
   back, a penalty for recent failures and the rest of a Retry-After.  */
rw_time
rte_expected_time (const struct rte_estimate *estimate, rw_time now)
{
  double service = RTE_LATENCY_DEFAULT;
  double failures = decayed (estimate->failures, now - estimate->failures_at,
                             RTE_FAILURE_HALF_LIFE);
  rw_time wait = 0;

  if (estimate->latency_at != 0)
    service = decayed ((double)estimate->latency, now - estimate->latency_at,
                       RTE_LATENCY_HALF_LIFE);
  if (estimate->refused_until > now)
    wait = estimate->refused_until - now;
  return (rw_time)(service * (1.0 + estimate->in_flight)
                   + failures * (double)RTE_FAILURE_PENALTY)
         + round_trip (estimate) + wait;
}
