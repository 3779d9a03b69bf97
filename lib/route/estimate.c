#include "route.h"

#include <math.h>

/* Weight of a new sample in the moving average.  A quarter makes the average
   follow a change of the target's load within about ten parts.  */
#define LATENCY_WEIGHT 0.25

/* Initialises ESTIMATE for a target without samples.  */
void
rte_estimate_init (struct rte_estimate *estimate, rw_time now)
{
  *estimate = (struct rte_estimate){ .failures_at = now };
}

/* Returns VALUE after exponential decay over the time ELAPSED.  */
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

/* Returns the network delay to the holder and back.  */
static rw_time
round_trip (const struct rte_estimate *estimate)
{
  return 2 * estimate->one_way_delay;
}

/* Adds the time between the sending and the result of a successful part to the
   average.  The round trip to the holder is subtracted, so that the average
   stays valid when another daemon becomes the holder.  */
void
rte_on_latency (struct rte_estimate *estimate, rw_time latency, rw_time now)
{
  rw_time sample = latency - round_trip (estimate);

  if (sample < 0)
    sample = 0;
  if (estimate->latency_at == 0)
    estimate->latency = sample;
  else
    estimate->latency
        += (rw_time)((double)(sample - estimate->latency) * LATENCY_WEIGHT);
  estimate->latency_at = now != 0 ? now : 1;
}

/* Adds a part that has run for AT_LEAST without a result.  This is only a
   lower bound of its latency, so it is used only if it is above the average.
 */
void
rte_on_unfinished (struct rte_estimate *estimate, rw_time at_least,
                   rw_time now)
{
  if (at_least - round_trip (estimate) > estimate->latency)
    rte_on_latency (estimate, at_least, now);
}

/* Counts a failure: the connection was reset or lost, the answer was invalid,
   or no daemon admits parts for the target.  */
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

/* Records a refusal, with the delay that its Retry-After asks for.  */
void
rte_on_refusal (struct rte_estimate *estimate, rw_time retry_after,
                rw_time now)
{
  if (now + retry_after > estimate->refused_until)
    estimate->refused_until = now + retry_after;
}

/* Sets the one-way delay to the daemon that holds the target.  A negative
   value counts as 0.  */
void
rte_set_one_way_delay (struct rte_estimate *estimate, rw_time one_way)
{
  estimate->one_way_delay = one_way > 0 ? one_way : 0;
}

/* Returns the time that a part sent at NOW is expected to take.  It is the sum
   of the decayed average latency, once for this part and once for each part in
   flight; the round trip to the holder; a penalty for recent failures; and the
   rest of a Retry-After.  */
rw_time
rte_expected_time (const struct rte_estimate *estimate, rw_time now)
{
  double service_time = RTE_LATENCY_DEFAULT;
  double failures = decayed (estimate->failures, now - estimate->failures_at,
                             RTE_FAILURE_HALF_LIFE);
  rw_time wait = 0;

  if (estimate->latency_at != 0)
    service_time = decayed ((double)estimate->latency,
                            now - estimate->latency_at, RTE_LATENCY_HALF_LIFE);
  if (estimate->refused_until > now)
    wait = estimate->refused_until - now;
  return (rw_time)(service_time * (1.0 + estimate->in_flight)
                   + failures * (double)RTE_FAILURE_PENALTY)
         + round_trip (estimate) + wait;
}
