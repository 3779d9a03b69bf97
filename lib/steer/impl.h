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

#endif
