#include "extra.h"
#include "unit.h"

static const struct ext_limits limits = { 0.2, 100, 10 * RW_SEC, 10, 0 };

/* Guards against a budget that drops counted sends too early, so that a span
   of one window has more extra sends than the limit.  */
TEST (extra_sends_stay_below_the_limit_in_every_window)
{
  struct ext_budget budget;
  static rw_time taken[20000];
  size_t count = 0;
  ext_init (&budget);
  for (rw_time now = 0; now < 60 * RW_SEC; now += 5 * RW_MSEC)
    {
      if (now % (50 * RW_MSEC) == 0)
        ext_count_request (&budget, &limits, now);
      if (ext_take (&budget, &limits, now))
        taken[count++] = now;
    }
  /* 20 requests a second, 200 in a window: 0.2 x 200 + 100 / 10 = 50.  A
     bucket is 250 ms.  */
  for (size_t i = 0; i + 50 < count; i++)
    assert_true (taken[i + 50] - taken[i] >= 10 * RW_SEC - 250 * RW_MSEC);
  assert_true (count > 100);
}

/* Guards against daemons that together exceed the slack they share.  */
TEST (the_slack_is_shared_by_all_daemons)
{
  size_t sum = 0;
  for (size_t i = 0; i < limits.sharers; i++)
    {
      struct ext_budget budget;
      ext_init (&budget);
      while (ext_take (&budget, &limits, RW_SEC))
        sum++;
    }
  assert_true (sum <= 100);
  assert_true (sum >= 50);
}

/* Guards against a budget that stays used up after a window without sends, or
   that fails when the clock stands still or steps back.  */
TEST (the_budget_is_refilled_after_a_window)
{
  struct ext_budget budget;
  ext_init (&budget);
  while (ext_take (&budget, &limits, 20 * RW_SEC))
    ;
  assert_false (ext_take (&budget, &limits, 25 * RW_SEC));
  assert_true (ext_take (&budget, &limits, 31 * RW_SEC));
  assert_true (ext_take (&budget, &limits, 5 * RW_SEC));
}

/* Guards against shares below one that are all rounded to nothing: 2,000
   daemons share an allowance of 500, of which four fifths are used.  */
TEST (shares_below_one_add_up)
{
  struct ext_limits shared = { 0.2, 500, 10 * RW_SEC, 2000, 0 };
  size_t sum = 0;
  for (size_t i = 0; i < shared.sharers; i++)
    {
      struct ext_budget budget;
      shared.rounding = ((double)i + 0.5) / (double)shared.sharers;
      ext_init (&budget);
      while (ext_take (&budget, &shared, RW_SEC))
        sum++;
    }
  assert_in_range (sum, 399, 401);
}

/* Guards against a time until the next extra send that is later than the real
   one, so that a query is given up that could be served.
   Requests come steadily, and others take each extra send that there is.  */
TEST (the_time_until_an_extra_send_is_known)
{
  for (unsigned int per_s = 1; per_s <= 100; per_s += 9)
    {
      struct ext_limits few = { 0.1, 10, 10 * RW_SEC, 100, 0.5 };
      struct ext_budget budget;
      rw_time told[40];
      size_t count = 0;
      ext_init (&budget);
      for (rw_time now = RW_SEC; now < 40 * RW_SEC; now += 10 * RW_MSEC)
        {
          if (now % (RW_SEC / per_s / 10000 * 10000) == 0)
            ext_count_request (&budget, &few, now);
          rw_time wait = ext_time_until_free (&budget, &few, now);
          assert_in_range (wait, 0, few.window);
          bool is_free = ext_take (&budget, &few, now);
          assert_int_equal (wait == 0, is_free);
          if (now < 20 * RW_SEC)
            continue;
          /* What was told before is not later than now.  */
          for (size_t i = 0; i < count && is_free; i++)
            assert_true (told[i] <= now);
          if (is_free)
            count = 0;
          else if (count < RW_ARRAY_LEN (told))
            told[count++] = now + wait;
        }
    }
}

/* Guards against a time that is too early, so that a query waits in vain: the
   allowance of one extra send is spent, and no request comes.  */
TEST (a_budget_that_is_spent_is_free_after_the_window)
{
  struct ext_limits one = { 0.1, 125, 10 * RW_SEC, 100, 0 };
  struct ext_budget budget;
  ext_init (&budget);
  assert_true (ext_take (&budget, &one, 20 * RW_SEC));
  for (rw_time now = 20 * RW_SEC; now < 29 * RW_SEC; now += 130 * RW_MSEC)
    assert_in_range (ext_time_until_free (&budget, &one, now) + now,
                     29700 * RW_MSEC, 30250 * RW_MSEC);
}
