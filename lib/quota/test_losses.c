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
