#include <string.h>

#include "extra.h"

/* Part of the limit that is used.  The rest covers daemons whose counts of
   each other differ, and requests that arrive late in the window.  */
#define USED_PART 0.8

void
ext_init (struct ext_budget *budget)
{
  memset (budget, 0, sizeof *budget);
}

/* Drops the buckets that have left the window.  */
static size_t
advance (struct ext_budget *budget, const struct ext_limits *limits,
         rw_time now)
{
  int64_t bucket = now / (limits->window / EXT_BUCKET_COUNT);
  if (bucket - budget->newest_bucket >= EXT_BUCKET_COUNT
      || bucket < budget->newest_bucket)
    {
      ext_init (budget);
      budget->newest_bucket = bucket;
    }
  while (budget->newest_bucket < bucket)
    {
      size_t i = (size_t)(++budget->newest_bucket % EXT_BUCKET_COUNT);
      budget->request_sum -= budget->requests[i];
      budget->extra_send_sum -= budget->extra_sends[i];
      budget->requests[i] = 0;
      budget->extra_sends[i] = 0;
    }
  return (size_t)(bucket % EXT_BUCKET_COUNT);
}

static double
allowed (const struct ext_budget *budget, const struct ext_limits *limits)
{
  return USED_PART
         * (limits->ratio * budget->request_sum
            + limits->slack / (double)limits->sharers);
}

void
ext_count_request (struct ext_budget *budget, const struct ext_limits *limits,
                   rw_time now)
{
  size_t i = advance (budget, limits, now);
  if (budget->requests[i] == UINT16_MAX)
    return;
  budget->requests[i]++;
  budget->request_sum++;
}

bool
ext_take (struct ext_budget *budget, const struct ext_limits *limits,
          rw_time now)
{
  size_t i = advance (budget, limits, now);
  if (budget->extra_send_sum + 1 > allowed (budget, limits)
      || budget->extra_sends[i] == UINT16_MAX)
    return false;
  budget->extra_sends[i]++;
  budget->extra_send_sum++;
  return true;
}
