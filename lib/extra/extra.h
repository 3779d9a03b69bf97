/* Retry budget of one service at one daemon.  It limits the extra sends, which
   are hedges and retries: in a sliding window they stay below a ratio of the
   requests for the service plus this daemon's share of an allowance (the
   slack) that all daemons have together.  */

#ifndef EXT_EXTRA_H
#define EXT_EXTRA_H

#include "base.h"

/* Number of equal buckets that a window is divided into.  */
#define EXT_BUCKET_COUNT 40

struct ext_limits
{
  double ratio;   /* extra sends allowed for each request */
  double slack;   /* allowance in a window, of all daemons together */
  rw_time window; /* at least EXT_BUCKET_COUNT microseconds */
  size_t sharers; /* daemons that share the slack, at least 1 */
  /* Added to the share before it is rounded down: 0 to 1, spread evenly over
     the daemons, so that shares with fractions add up to the limit.  */
  double rounding;
};

struct ext_budget
{
  uint16_t requests[EXT_BUCKET_COUNT];
  uint16_t extra_sends[EXT_BUCKET_COUNT];
  uint32_t request_sum;    /* of all buckets */
  uint32_t extra_send_sum; /* of all buckets */
  int64_t newest_bucket;   /* bucket number, counted from time 0 */
};

void ext_init (struct ext_budget *budget);
/* Counts the first send of a request for the service.  LIMITS must state the
   same window in all calls for one budget.  */
void ext_count_request (struct ext_budget *budget,
                        const struct ext_limits *limits, rw_time now);
/* Takes one extra send from the budget.  Returns false, and counts nothing, if
   the budget is used up.  */
bool ext_take (struct ext_budget *budget, const struct ext_limits *limits,
               rw_time now);
/* Returns the time until the budget has an extra send if no other is taken and
   requests come as fast as at any time of the window: 0 if it has one now, the
   window if it has none in it.  Nothing is counted.  */
rw_time ext_time_until_free (const struct ext_budget *budget,
                             const struct ext_limits *limits, rw_time now);

#endif
