#include <string.h>

#include "extra.h"

/* Fraction of the limit that is used.  The rest covers daemons that disagree
   on how many of them there are, and requests that arrive late in the
   window.  */
#define USED_LIMIT_FRACTION 0.8

void
ext_init (struct ext_budget *budget)
{
  memset (budget, 0, sizeof *budget);
}

/* Empties the buckets that have left the window and returns the index of the
   newest one.  The budget starts anew if the clock stepped back or if a whole
   window has passed.  */
static size_t
advance_window (struct ext_budget *budget, const struct ext_limits *limits,
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

/* Returns the number of extra sends allowed in the current window.  */
static double
extra_send_limit (const struct ext_budget *budget,
                  const struct ext_limits *limits)
{
  return USED_LIMIT_FRACTION
         * (limits->ratio * budget->request_sum
            + limits->slack / (double)limits->sharers);
}

void
ext_count_request (struct ext_budget *budget, const struct ext_limits *limits,
                   rw_time now)
{
  size_t i = advance_window (budget, limits, now);
  if (budget->requests[i] == UINT16_MAX)
    return; /* the count cannot go higher */
  budget->requests[i]++;
  budget->request_sum++;
}

bool
ext_take (struct ext_budget *budget, const struct ext_limits *limits,
          rw_time now)
{
  size_t i = advance_window (budget, limits, now);
  if (budget->extra_send_sum + 1
          > extra_send_limit (budget, limits) + limits->rounding
      || budget->extra_sends[i] == UINT16_MAX)
    return false;
  budget->extra_sends[i]++;
  budget->extra_send_sum++;
  return true;
}

/* The highest number of requests in a part of the window.  */
static unsigned int
highest_requests (const struct ext_budget *budget)
{
  unsigned int highest = 0;
  for (size_t i = 0; i < EXT_BUCKET_COUNT; i++)
    if (budget->requests[i] > highest)
      highest = budget->requests[i];
  return highest;
}

rw_time
ext_time_until_free (const struct ext_budget *budget,
                     const struct ext_limits *limits, rw_time now)
{
  struct ext_budget later = *budget;
  rw_time span = limits->window / EXT_BUCKET_COUNT;
  unsigned int requests = highest_requests (budget);
  size_t newest = advance_window (&later, limits, now);
  if (later.extra_send_sum + 1
      <= extra_send_limit (&later, limits) + limits->rounding)
    return 0;
  for (int64_t i = 0; i < EXT_BUCKET_COUNT; i++)
    {
      rw_time at = i == 0 ? now + 1 : (now / span + i) * span;
      if (i > 0)
        newest = advance_window (&later, limits, at);
      /* All requests of this part of the window count from its begin on.  */
      if (later.requests[newest] < requests)
        {
          later.request_sum += requests - later.requests[newest];
          later.requests[newest] = (uint16_t)requests;
        }
      if (later.extra_send_sum + 1
          <= extra_send_limit (&later, limits) + limits->rounding)
        return at - now;
    }
  return limits->window;
}
