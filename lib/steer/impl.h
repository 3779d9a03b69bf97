/* What the files of lib/steer share.  */

#ifndef STE_IMPL_H
#define STE_IMPL_H

#include "steer.h"

/* A stall this long after the end of the last backoff is not the same outage:
   targets pause again after 2.4 s at the earliest.  */
#define STE_MAX_FAILURE_GAP RW_SEC

/* Whether TARGET is within its warm-up time.  */
bool ste_is_cold (const struct ste_target *target, rw_time now);
/* Whether the limit that TARGET names, if any, allows a request of this daemon
   now.  */
bool ste_limit_allows (const struct ste_fleet *fleet,
                       const struct ste_target *target, rw_time now);
/* Returns the time in microseconds until any daemon may send a request to
   TARGET within the limit that it names; 0 if this one may now.  */
double ste_limit_wait (const struct ste_fleet *fleet,
                       const struct ste_target *target, rw_time now);
/* Whether the warm-up limit allows a request to TARGET now.  */
bool ste_warmup_allows (struct ste_fleet *fleet, struct ste_target *target,
                        rw_time now);
/* Counts a request against the warm-up limit of TARGET, if it has one.  */
void ste_spend_warmup (struct ste_fleet *fleet, struct ste_target *target,
                       rw_time now);
/* Return a ratio of the work of TARGET to the usual one, and its number of
   requests, as the estimates of lib/capacity and the given values have
   them.  */
double ste_mix_ratio (const struct ste_target *target, double ratio,
                      rw_time now);
double ste_mix_queue (const struct ste_target *target, double queue_len,
                      rw_time now);
/* Returns the time in microseconds by which the load at TARGET delays a
   request, as the estimates and DELAY have it.  */
double ste_mix_delay (const struct ste_target *target, double delay,
                      rw_time now);
/* Returns what the choice of TARGET costs besides its expected time, in
   microseconds: the other requests there become slower, and the choice is
   spread by RANDOM, 0 to below 1.  */
double ste_choice_cost (const struct ste_target *target, double random,
                        rw_time now);
/* Returns the number of requests at TARGET if it reported that just now, else
   -1.  */
double ste_known_load (const struct ste_target *target, rw_time now);
/* Counts the success of SEND, which was just answered, in the estimates of its
   target.  */
void ste_learn_capacity (const struct ste_send *send, bool trusts_load,
                         rw_time now);

#endif
