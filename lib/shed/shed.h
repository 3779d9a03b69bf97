/* Overload control.  Each daemon decides for itself which requests it refuses
   before any part is sent, and when the refused callers are to return.

   The daemons do not coordinate.  All of them see the same queues at the
   targets, and each refuses the share of its own requests that keeps the delay
   in these queues at a target value.  Routes that use the same targets form a
   group: those of low rank, and of low value within a rank, get a short target
   delay and so give way first, while the delay is still short enough for the
   others.

   Nothing here reads a clock or does I/O.  Delays and work are in
   microseconds.  */

#ifndef SHD_SHED_H
#define SHD_SHED_H

#include "base.h"

/* What a route needs from the targets of its group.  */
struct shd_claim
{
  uint64_t key;      /* of the route, and of the rank if there are several */
  unsigned int rank; /* goes before the value; 0 is the highest */
  unsigned int priority; /* 0 is the highest */
  double work;           /* of a target on a part; above 0 */
  double slack;          /* longest delay with which an answer is in time */
  rw_time seen_at;       /* last request */
};

/* Routes of a group beyond this number replace the one unused for longest.  */
#define SHD_MAX_CLAIMS 16

/* The routes that had requests for the same targets lately.  */
struct shd_group
{
  struct shd_claim claims[SHD_MAX_CLAIMS];
  size_t count;
};

/* Under pressure, requests of the first kind go before the others.  */
enum shd_order
{
  SHD_FIRST,
  SHD_LAST, /* cannot be answered in time any more, or repeated at once */
  SHD_ORDER_COUNT
};

/* The state of a route.  */
struct shd_route
{
  double share;                    /* refused of all requests, 0 to 1 */
  double integral;                 /* part of SHARE that has built up */
  double delay;                    /* last one */
  double target;                   /* last one */
  double balance[SHD_ORDER_COUNT]; /* refusals owed, below 1 */
  rw_time updated_at;              /* 0: never */
  rw_time pressed_since;           /* SHARE has been above 0; 0: it is not */
};

/* Records that the route of CLAIM has a request; a zeroed group is empty.  */
void shd_group_claim (struct shd_group *group, const struct shd_claim *claim);
/* Returns the target delay of the route KEY, which must have a claim.  Claims
   without a request for 10 s are left out.  */
double shd_target_delay (const struct shd_group *group, uint64_t key,
                         rw_time now);
/* Returns the delay that decides whether a request with COUNT parts is
   answered in time, if NEEDED of them are enough: that of the last part needed
   or, as a few bad shards are no overload, of the last of three quarters.
   DELAYS are those of each part, and are reordered.  COUNT is at least 1.  */
double shd_critical_delay (double *delays, size_t count, size_t needed);

void shd_init (struct shd_route *route);
/* Returns whether the state is older than 10 ms.  */
bool shd_update_due (const struct shd_route *route, rw_time now);
/* Adapts the share to the DELAY that a request meets at NOW, which may be
   infinite, so that it approaches TARGET, which is positive.  */
void shd_update (struct shd_route *route, double delay, double target,
                 rw_time now);
/* Returns the order of a request whose caller spent TIME_SPENT on earlier
   attempts, and whose answer loses value after TIME_TO_AIM.  WORK is that of a
   target on a part.  A caller that returns before the earliest time that
   shd_retry_after states did not wait as told.  */
enum shd_order shd_order_of (rw_time time_spent, rw_time time_to_aim,
                             double work);
/* Decides on a request.  Returns whether it is admitted.  */
bool shd_admit (struct shd_route *route, enum shd_order order);
/* Returns when a caller is to return that is refused because of something that
   has LASTED for a time, and is expected to last as long again.  The times are
   spread, so that the callers do not return all at once, and leave at least
   two thirds of TIME_LEFT for the next attempt; TIME_LEFT is negative if
   unknown.  */
rw_time shd_retry_after (rw_time lasted, rw_time time_left,
                         struct rw_rng *rng);
/* Returns how long the share of ROUTE has been above 0 at NOW.  */
rw_time shd_pressure_time (const struct shd_route *route, rw_time now);

#endif
