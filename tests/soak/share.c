#include "share.h"

/* Requests that may fail at daemons that are cut off beside those that fail at
   the others too: so many, and one in FAILED_DIVISOR.  */
#define MAX_FAILED 10
#define FAILED_DIVISOR 50
#define MIN_RATIO (2.0 / 3)

void
sok_share_count (struct sok_share *share, rw_time time, bool is_cut,
                 bool success)
{
  rw_time window = time / SOK_WINDOW;
  if (window >= 0 && window < SOK_MAX_WINDOWS)
    share->windows[window][is_cut][success]++;
}

bool
sok_share_is_unfair (const struct sok_share *share,
                     struct sok_comparison *comparison)
{
  struct sok_comparison sum = { 0, 0, 0 };
  double share_before = 1;
  for (size_t i = 0; i < SOK_MAX_WINDOWS; i++)
    {
      const uint32_t *other = share->windows[i][0];
      const uint32_t *cut = share->windows[i][1];
      uint32_t other_all = other[0] + other[1];
      if (other_all < SOK_MIN_OTHERS)
        {
          share_before = 1;
          continue;
        }
      double share_now = (double)other[1] / other_all;
      double least = share_now < share_before ? share_now : share_before;
      sum.cut_ok += cut[1];
      sum.cut_all += cut[0] + cut[1];
      sum.expected += (double)(cut[0] + cut[1]) * least;
      share_before = share_now;
    }
  *comparison = sum;
  double lost = sum.expected - (double)sum.cut_ok;
  return lost > MAX_FAILED + (double)sum.cut_all / FAILED_DIVISOR
         && (double)sum.cut_ok < sum.expected * MIN_RATIO;
}
