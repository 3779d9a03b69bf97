#include "fleet.h"

/* Load with faults of messages.  Each test also shows that the rule is broken,
   or more is lost, without the mechanism that it is for.  */

static rw_time cut_from;

/* Many copies of messages, up to 300 ms late.  */
static void
repeated_messages (size_t count, uint64_t seed, unsigned int without)
{
  start_far_above (count, seed, without);
  fleet.repeated = 0.5;
  run_until (fleet.now + 10 * RW_SEC);
}

/* Load pattern: four times the limit, at one daemon and at all, while half of
   the messages arrive twice.  Guards against a grant that is used twice.  */
TEST (repeated_messages_stay_within_the_rule)
{
  check_pattern ("repeated messages", repeated_messages);
  run ("without one use", repeated_messages, 30, 1, QUO_WITHOUT_ONE_USE);
  assert_true (fleet.worst > 1);
}

/* Load that moves for a while and then comes to all daemons at once.  */
static void
moving_then_even (size_t count, uint64_t seed, unsigned int without)
{
  start_fleet (count, 1, 200, 1, seed, without);
  run_until (WARM_UP);
  add_load (0, 180, SPREAD_MOVING, 0, true);
  run_until (fleet.now + 60 * RW_SEC);
  add_load (0, 4000, SPREAD_EVEN, 0, true);
  run_until (fleet.now + 6 * RW_SEC);
}

/* Load pattern: load that moves between daemons every second, and then comes
   to all of them at once.  Guards against tokens that daemons keep when the
   load has moved on.  */
TEST (tokens_left_behind_expire)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      run ("moving, then even", moving_then_even, 30, seed, 0);
      assert_true (fleet.worst <= 1);
    }
  run ("without expiry", moving_then_even, 30, 1, QUO_WITHOUT_EXPIRY);
  assert_true (fleet.worst > 1);
}

static bool
is_all_cut (size_t from, size_t to, rw_time now)
{
  return from != to && now >= cut_from;
}

static uint64_t served_alone;

/* No daemon reaches another one.  */
static void
isolation_of_all (size_t count, uint64_t seed, unsigned int without)
{
  start_far_above (count, seed, without);
  cut_from = fleet.now + 3 * RW_SEC;
  fleet.is_cut = is_all_cut;
  fleet.count_from = cut_from + 2 * RW_SEC;
  run_until (cut_from + 10 * RW_SEC);
  served_alone = fleet.orgs[0].served;
  run_until (cut_from + 18 * RW_SEC);
  printf ("  served %llu until the cut is known\n",
          (unsigned long long)served_alone);
}

/* Load pattern: far above the limit at all daemons, none of which reaches
   another one.  Guards against local buckets that add up to more than the
   tolerance, and against a fleet that then refuses all.  */
TEST (isolation_of_all_stays_within_the_rule)
{
  check_pattern ("isolation of all", isolation_of_all);
  run ("without division", isolation_of_all, 144, 1, QUO_WITHOUT_DIVISION);
  assert_true (fleet.worst > 1);
  run ("with local buckets", isolation_of_all, 30, 1, 0);
  uint64_t with_local = served_alone;
  run ("without local buckets", isolation_of_all, 30, 1, QUO_WITHOUT_LOCAL);
  assert_true (served_alone < with_local);
}

/* One message of twenty is up to 100 ms late.  */
static void
late_messages (size_t count, uint64_t seed, unsigned int without)
{
  start_fleet (count, 2, 100, 50, seed, without);
  run_until (WARM_UP);
  fleet.late = 0.05;
  add_load (0, 90, SPREAD_ONE, count / 2, true);
  add_load (1, 400, SPREAD_EVEN, 0, true);
  fleet.count_from = fleet.now + 2 * RW_SEC;
  run_until (fleet.now + 20 * RW_SEC);
  printf ("  lost=%.4f of 0.9 of the limit\n", lost_part (0));
  assert_true (lost_part (0) <= 0.01);
}

/* Load pattern: 0.9 of a limit at one daemon, and four times a limit at all,
   while daemons on small VMs answer late.  Guards against owners that are
   taken for dead because they are slow, and against late tokens.  */
TEST (late_messages_stay_within_the_rule)
{
  check_pattern ("late messages", late_messages);
}

#define CROWD 500

/* 500 callers at once at 30 daemons, 100/s, who return as they are told.
   Returns the number of tries of each.  */
static double
return_as_told (uint64_t seed)
{
  start_fleet (30, 1, 100, 10, seed, 0);
  run_until (WARM_UP);
  add_load (0, 20, SPREAD_EVEN, 0, true);
  run_until (fleet.now + 4 * RW_SEC);
  fleet.are_returning = true;
  fleet.count_from = fleet.now;
  for (size_t i = 0; i < CROWD; i++)
    request ((size_t)rw_rng_below (&fleet.rng, 30), 0);
  run_until (fleet.now + 10 * RW_SEC);
  const struct org *org = &fleet.orgs[0];
  double tries = (double)org->offered / (double)org->served;
  printf ("returning callers: seed=%llu served=%llu, %.2f tries for "
          "each, sum/allowed=%.3f\n",
          (unsigned long long)seed, (unsigned long long)org->served, tries,
          fleet.worst);
  assert_true (fleet.worst <= 1);
  assert_true (org->served >= 0.98 * (CROWD + 200));
  stop_fleet ();
  return tries;
}

/* Load pattern: a crowd of callers at once at all daemons, five times what the
   limit lets through in a second.  Guards against callers that are all told
   the same time, or times at which there is no token: one try to be told and
   one to be served are the least.  */
TEST (callers_return_in_order)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    assert_true (return_as_told (seed) <= 2);
}
