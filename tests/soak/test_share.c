/* The comparison of daemons that are cut off from the searchers with others.
 */

#include "share.h"
#include "unit.h"

/* Counts ALL answers from FROM to TO, OK of them successes, spread evenly.  */
static void
count (struct sok_share *share, bool is_cut, uint64_t ok, uint64_t all,
       rw_time from, rw_time to)
{
  for (uint64_t i = 0; i < all; i++)
    sok_share_count (share, from + (to - from) * (rw_time)i / (rw_time)all,
                     is_cut, (i + 1) * ok / all > i * ok / all);
}

/* Guards against the failure of seed 5016: others were served before daemons
   were cut off, and four seconds later all searchers of a service were down,
   for callers of every daemon.  The sums say 474 of 988 and 629 of 630.  */
TEST (losses_of_searchers_are_no_fault_of_the_cut)
{
  struct sok_share share = { 0 };
  struct sok_comparison c;
  count (&share, false, 600, 600, 4 * RW_SEC, 5500 * RW_MSEC);
  count (&share, true, 474, 988, 9500 * RW_MSEC, 12500 * RW_MSEC);
  count (&share, false, 29, 60, 9500 * RW_MSEC, 12500 * RW_MSEC);
  assert_false (sok_share_is_unfair (&share, &c));
  assert_int_equal (c.cut_all, 988);
  assert_int_equal (c.cut_ok, 474);
  assert_true (c.expected > 450 && c.expected < 500);
}

/* Guards against the same where one window is good and one bad for all, and
   others have most of their callers in the good one.  */
TEST (windows_are_weighed_by_the_callers_of_the_cut)
{
  struct sok_share share = { 0 };
  struct sok_comparison c;
  count (&share, false, 1000, 1000, 0, SOK_WINDOW);
  count (&share, false, 0, 10, SOK_WINDOW, 2 * SOK_WINDOW);
  count (&share, true, 10, 10, 0, SOK_WINDOW);
  count (&share, true, 0, 1000, SOK_WINDOW, 2 * SOK_WINDOW);
  assert_false (sok_share_is_unfair (&share, &c));
}

/* Guards against a comparison that misses the failure of seed 4002, where
   others were served at the same time.  */
TEST (cut_daemons_that_fail_alone_are_found)
{
  struct sok_share share = { 0 };
  struct sok_comparison c;
  count (&share, true, 64, 1964, 8 * RW_SEC, 12 * RW_SEC);
  count (&share, false, 215, 215, 8 * RW_SEC, 12 * RW_SEC);
  assert_true (sok_share_is_unfair (&share, &c));
}

/* Guards against bounds that are weaker than two thirds and a few requests. */
TEST (the_bounds_are_two_thirds_and_a_few_requests)
{
  struct sok_share worse = { 0 };
  struct sok_share better = { 0 };
  struct sok_share few = { 0 };
  struct sok_comparison c;
  count (&worse, true, 65, 100, 0, 2 * RW_SEC);
  count (&worse, false, 50, 50, 0, 2 * RW_SEC);
  count (&better, true, 68, 100, 0, 2 * RW_SEC);
  count (&better, false, 50, 50, 0, 2 * RW_SEC);
  count (&few, true, 0, 10, 0, 2 * RW_SEC);
  count (&few, false, 50, 50, 0, 2 * RW_SEC);
  assert_true (sok_share_is_unfair (&worse, &c));
  assert_false (sok_share_is_unfair (&better, &c));
  assert_false (sok_share_is_unfair (&few, &c));
}

/* Guards against a return of the searchers that the others see a moment
   earlier and that counts as a difference, and against one that lasts.  */
TEST (a_return_may_be_seen_a_window_later)
{
  struct sok_share share = { 0 };
  struct sok_comparison c;
  count (&share, false, 0, 20, 0, 2 * SOK_WINDOW);
  count (&share, true, 0, 200, 0, 2 * SOK_WINDOW);
  count (&share, false, 20, 20, 2 * SOK_WINDOW, 3 * SOK_WINDOW);
  count (&share, true, 0, 100, 2 * SOK_WINDOW, 3 * SOK_WINDOW);
  assert_false (sok_share_is_unfair (&share, &c));
  count (&share, false, 20, 20, 3 * SOK_WINDOW, 4 * SOK_WINDOW);
  count (&share, true, 0, 100, 3 * SOK_WINDOW, 4 * SOK_WINDOW);
  assert_true (sok_share_is_unfair (&share, &c));
}

/* Guards against a judgement by a few requests, where nearly all fail for
   every daemon.  */
TEST (failures_that_others_see_too_do_not_count)
{
  struct sok_share share = { 0 };
  struct sok_comparison c;
  count (&share, true, 0, 100, 0, 2 * SOK_WINDOW);
  count (&share, false, 4, 40, 0, 2 * SOK_WINDOW);
  assert_false (sok_share_is_unfair (&share, &c));
}

/* Guards against windows that are judged by one or two answers.  */
TEST (windows_with_few_others_do_not_count)
{
  struct sok_share share = { 0 };
  struct sok_comparison c;
  count (&share, true, 0, 500, 0, SOK_WINDOW);
  count (&share, false, SOK_MIN_OTHERS - 1, SOK_MIN_OTHERS - 1, 0, SOK_WINDOW);
  assert_false (sok_share_is_unfair (&share, &c));
  assert_int_equal (c.cut_all, 0);
}
