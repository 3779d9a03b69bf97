/* Whether callers of daemons that are cut off from the searchers are served as
   well as those of other daemons at the same time.  */

#ifndef SOK_SHARE_H
#define SOK_SHARE_H

#include "base.h"

/* Answers are compared within windows of this length.  */
#define SOK_WINDOW (500 * RW_MSEC)
#define SOK_MAX_WINDOWS 256
/* A window counts if the other daemons answered so many requests in it.  */
#define SOK_MIN_OTHERS 3

struct sok_share
{
  /* By whether the daemon is cut off, and by success.  */
  uint32_t windows[SOK_MAX_WINDOWS][2][2];
};

struct sok_comparison
{
  uint64_t cut_ok;
  uint64_t cut_all;
  double expected; /* of CUT_ALL, had they been served as the others were */
};

/* Counts an answer to a request that was sent at TIME in the run.  */
void sok_share_count (struct sok_share *share, rw_time time, bool is_cut,
                      bool success);
/* Compares the windows in which both kinds of daemons had callers.  Daemons
   that are cut off learn of the return of searchers from others, so what is
   expected of them in a window is the lesser share of that window and of the
   one before.  Returns whether those that were cut off served much less: less
   than two thirds of what was to be expected, and more than a few requests
   failed.  */
bool sok_share_is_unfair (const struct sok_share *share,
                          struct sok_comparison *comparison);

#endif
