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
  int64_t bucket = now / (limits->window / EXT_BUCKETS);
  if (bucket - budget->bucket >= EXT_BUCKETS || bucket < budget->bucket)
    {
      ext_init (budget);
      budget->bucket = bucket;
    }
  while (budget->bucket < bucket)
    {
      size_t i = (size_t)(++budget->bucket % EXT_BUCKETS);
      budget->first_sum -= budget->first[i];
      budget->extra_sum -= budget->extra[i];
      budget->first[i] = 0;
      budget->extra[i] = 0;
    }
  return (size_t)(bucket % EXT_BUCKETS);
}

static double
allowed (const struct ext_budget *budget, const struct ext_limits *limits)
{
  return USED_PART
         * (limits->ratio * budget->first_sum
            + limits->slack / (double)limits->daemons);
}

void
ext_count_first (struct ext_budget *budget, const struct ext_limits *limits,
                 rw_time now)
{
  size_t i = advance (budget, limits, now);
  if (budget->first[i] == UINT16_MAX)
    return;
  budget->first[i]++;
  budget->first_sum++;
}

bool
ext_take (struct ext_budget *budget, const struct ext_limits *limits,
          rw_time now)
{
  size_t i = advance (budget, limits, now);
  if (budget->extra_sum + 1 > allowed (budget, limits)
      || budget->extra[i] == UINT16_MAX)
    return false;
  budget->extra[i]++;
  budget->extra_sum++;
  return true;
}
