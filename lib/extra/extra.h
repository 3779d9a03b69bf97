/* The budget of extra sends to one service: hedges and retries in a sliding
   window stay below a ratio of the requests for it plus this daemon's share of
   an allowance that all daemons have together.  */

#ifndef EXT_EXTRA_H
#define EXT_EXTRA_H

#include "base.h"

#define EXT_BUCKET_COUNT 40

struct ext_limits
{
  double ratio;   /* extra sends for each request */
  double slack;   /* further extra sends in a window, all daemons together */
  rw_time window; /* above 0 */
  size_t sharers; /* that share the slack, at least 1 */
};

struct ext_budget
{
  uint16_t requests[EXT_BUCKET_COUNT];
  uint16_t extra_sends[EXT_BUCKET_COUNT];
  uint32_t request_sum;
  uint32_t extra_send_sum;
  int64_t newest_bucket; /* number of the newest bucket */
};

void ext_init (struct ext_budget *budget);
void ext_count_request (struct ext_budget *budget,
                        const struct ext_limits *limits, rw_time now);
/* Takes one extra send, or returns false when the budget is used up.  */
bool ext_take (struct ext_budget *budget, const struct ext_limits *limits,
               rw_time now);

#endif
