#include "fleet.h"

/* Losses count after this time, until the end of the run.  */
#define START_TIME (2 * RW_SEC)
#define RUN_TIME (20 * RW_SEC)
#define COUNTED_S 18
/* The most that may be lost below the limit.  */
#define MAX_LOST 0.01
/* The least part of a limit that is used when the load is far above it.  */
#define MIN_USE 0.9

/* A load pattern: a number of organisations, from FIRST on, and what holds
   for them.  */
struct pattern
{
  const char *name;
  size_t orgs;
  void (*start) (size_t first);
  void (*check) (size_t first);
};

static void
set_limit (size_t number, double rate, double burst)
{
  fleet.orgs[number].limit = (struct quo_limit){ number + 1, rate, burst };
}

/* All at one daemon, 0.9 of the limit.  Without a burst, only even arrivals
   are below the limit.  */
static void
start_one_daemon (size_t first)
{
  static const double rates[] = { 10, 100, 100, 1000 };
  static const double bursts[] = { 10, 1, 50, 100 };
  for (size_t i = 0; i < 4; i++)
    {
      set_limit (first + i, rates[i], bursts[i]);
      add_load (first + i, 0.9 * rates[i], SPREAD_ONE,
                (i + 1) * fleet.count / 5, i >= 2);
    }
}

static void
check_one_daemon (size_t first)
{
  for (size_t i = first; i < first + 4; i++)
    {
      printf ("  limit %.0f/s, burst %.0f: lost=%.4f of %llu\n",
              fleet.orgs[i].limit.rate_per_s, fleet.orgs[i].limit.burst,
              lost_part (i), (unsigned long long)fleet.orgs[i].offered);
      assert_true (lost_part (i) <= MAX_LOST);
    }
}

static double
used_part (size_t number)
{
  const struct org *org = &fleet.orgs[number];
  return (double)org->served / (COUNTED_S * org->limit.rate_per_s);
}

/* 0.9 and 3 times the limit at random daemons.  */
static void
start_even (size_t first)
{
  set_limit (first, 200, 50);
  set_limit (first + 1, 200, 50);
  add_load (first, 180, SPREAD_EVEN, 0, true);
  add_load (first + 1, 600, SPREAD_EVEN, 0, true);
}

static void
check_even (size_t first)
{
  printf ("  lost=%.4f; far above: used %.3f of the limit\n",
          lost_part (first), used_part (first + 1));
  assert_true (lost_part (first) <= MAX_LOST);
  assert_true (used_part (first + 1) >= MIN_USE);
}

/* 0.9 and 3 times the limit at one daemon, another one each second.  */
static void
start_moving (size_t first)
{
  set_limit (first, 200, 50);
  set_limit (first + 1, 200, 50);
  add_load (first, 180, SPREAD_MOVING, 0, true);
  add_load (first + 1, 600, SPREAD_MOVING, 0, true);
}

static void
check_moving (size_t first)
{
  printf ("  lost=%.4f; far above: used %.3f of the limit\n",
          lost_part (first), used_part (first + 1));
  assert_true (used_part (first + 1) >= MIN_USE);
}

/* One organisation with ten times its limit, ninety with 0.9 of theirs.  */
static void
start_one_above (size_t first)
{
  for (size_t i = first; i < first + 91; i++)
    set_limit (i, 20, 20);
  add_load (first, 200, SPREAD_EVEN, 0, true);
  for (size_t i = first + 1; i < first + 91; i++)
    add_load (i, 18, SPREAD_ONE, i % fleet.count, false);
}

static void
check_one_above (size_t first)
{
  double lost = 0;
  double most = 0;
  for (size_t i = first + 1; i < first + 91; i++)
    {
      lost += lost_part (i) / 90;
      most = fmax (most, lost_part (i));
    }
  printf ("  ninety below: lost=%.4f, most %.4f; one far above: used %.3f of "
          "its limit\n",
          lost, most, used_part (first));
  assert_true (most <= MAX_LOST);
  assert_true (used_part (first) >= MIN_USE);
}

/* Limits that fall to a tenth under load above them.  */
static void
start_falling (size_t first)
{
  for (size_t i = first; i < first + 2; i++)
    {
      struct org *org = &fleet.orgs[i];
      set_limit (i, 500, 500);
      org->next = (struct quo_limit){ i + 1, 50, 50 };
      org->change_at = fleet.now + 6 * RW_SEC;
    }
  add_load (first, 1000, SPREAD_EVEN, 0, true);
  add_load (first + 1, 1000, SPREAD_ONE, fleet.count / 2, true);
}

/* The rule is checked in each run.  */
static void
check_rule_only (size_t first)
{
  (void)first;
}

static const struct pattern patterns[] = {
  { "one daemon", 4, start_one_daemon, check_one_daemon },
  { "even load", 2, start_even, check_even },
  { "load that moves every second", 2, start_moving, check_moving },
  { "one at ten times its limit", 91, start_one_above, check_one_above },
  { "limit that falls to a tenth", 2, start_falling, check_rule_only },
};

/* Checks PATTERN after a run.  Lines of failures give the seed.  */
static void
check (const struct pattern *pattern, size_t first)
{
  double worst = 0;
  for (size_t i = first; i < first + pattern->orgs; i++)
    worst = fmax (worst, fleet.orgs[i].worst);
  printf ("%s: daemons=%zu seed=%llu sum/allowed=%.3f longest wait=%.1f ms\n",
          pattern->name, fleet.count, (unsigned long long)fleet.seed, worst,
          (double)fleet.longest_wait / RW_MSEC);
  pattern->check (first);
  assert_true (worst <= 1);
  assert_true (fleet.longest_wait <= MAX_VERDICT_TIME);
}

/* Runs COUNT patterns at the same time in a fleet of SIZE daemons.  */
static void
run_patterns (const struct pattern *first, size_t count, size_t size,
              uint64_t seed)
{
  size_t orgs = 0;
  for (size_t i = 0; i < count; i++)
    orgs += first[i].orgs;
  start_fleet (size, orgs, 1, 1, seed, 0);
  run_until (WARM_UP);
  orgs = 0;
  for (size_t i = 0; i < count; i++)
    {
      first[i].start (orgs);
      orgs += first[i].orgs;
    }
  fleet.count_from = fleet.now + START_TIME;
  run_until (fleet.now + RUN_TIME);
  orgs = 0;
  for (size_t i = 0; i < count; i++)
    {
      check (&first[i], orgs);
      orgs += first[i].orgs;
    }
  stop_fleet ();
}

/* Runs one pattern in small fleets, with several seeds.  */
static void
run_small (const struct pattern *pattern)
{
  for (uint64_t seed = 1; seed <= 3; seed++)
    {
      run_patterns (pattern, 1, 3, seed);
      run_patterns (pattern, 1, 30, seed);
    }
}

/* Load pattern: all requests of an organisation at one daemon, 0.9 of its
   limit.  Guards against limits that are divided by the number of daemons, and
   against refusals when messages are lost.  */
TEST (load_below_the_limit_at_one_daemon_is_served)
{
  run_small (&patterns[0]);
}

/* Load pattern: even load.  Guards against daemons that each grant themselves
   a little, and against tokens that lie unused at many of them.  */
TEST (even_load_stays_within_the_rule) { run_small (&patterns[1]); }

/* Load pattern: load that moves between daemons every second.  Guards against
   shares that follow the load too late, so that the old and the new daemon
   both have one.  */
TEST (load_that_moves_stays_within_the_rule) { run_small (&patterns[2]); }

/* Load pattern: one organisation at ten times its limit beside ninety below
   theirs.  Guards against an organisation whose refusals take tokens or
   messages of others.  */
TEST (one_far_above_does_not_take_from_ninety_below)
{
  run_small (&patterns[3]);
}

/* Load pattern: a limit that falls to a tenth under load above it.  Guards
   against tokens of the old limit that are used under the new one.  */
TEST (a_limit_that_falls_binds_after_a_window) { run_small (&patterns[4]); }

/* Load pattern: all of the above at the same time, in large fleets.  Guards
   against owners that daemons of a large fleet disagree on.  */
TEST (all_patterns_in_large_fleets)
{
  run_patterns (patterns, RW_ARRAY_LEN (patterns), 144, 1);
  run_patterns (patterns, RW_ARRAY_LEN (patterns), 300, 1);
}
