#include "fleet.h"

/* Time in which the daemons learn of each other before requests begin.  */
#define WARM_UP (8 * RW_SEC)
#define SEEDS 2

static double
lost_part (size_t number)
{
  const struct org *org = &fleet.orgs[number];
  assert_true (org->offered > 0);
  return 1 - (double)org->served / (double)org->offered;
}

/* Prints the result of a run.  Lines of failures give the seed.  */
static void
report (const char *pattern)
{
  printf ("%s: daemons=%zu seed=%llu sum/allowed=%.3f lost=%.4f "
          "longest wait=%.1f ms\n",
          pattern, fleet.count, (unsigned long long)fleet.seed, fleet.worst,
          fleet.orgs[0].offered > 0 ? lost_part (0) : 0,
          (double)fleet.longest_wait / RW_MSEC);
}

/* Checks what holds in every pattern.  */
static void
check_rule (const char *pattern)
{
  report (pattern);
  assert_true (fleet.worst <= 1);
  assert_true (fleet.longest_wait <= MAX_VERDICT_TIME);
}

static const size_t sizes[] = { 3, 30, 144, 300 };

/* Load pattern: all requests of an organisation at one daemon, 0.9 of its
   limit.  Guards against limits that are divided by the number of daemons, and
   against refusals when messages are lost.  */
TEST (load_below_the_limit_at_one_daemon_is_served)
{
  static const struct
  {
    double rate;
    double burst;
    bool is_random;
  } cases[] = { { 10, 10, false },
                { 100, 1, false },
                { 100, 50, true },
                { 1000, 100, true } };
  for (size_t n = 0; n < RW_ARRAY_LEN (sizes); n++)
    for (size_t c = 0; c < RW_ARRAY_LEN (cases); c++)
      for (uint64_t seed = 1; seed <= (sizes[n] < 300 ? SEEDS : 1); seed++)
        {
          struct source source = { .per_s = 0.9 * cases[c].rate,
                                   .fixed = sizes[n] / 2,
                                   .is_random = cases[c].is_random,
                                   .until = RW_TIME_NEVER };
          start_fleet (sizes[n], 1, cases[c].rate, cases[c].burst, seed, 0);
          run_until (WARM_UP);
          add_source (&source);
          fleet.count_from = fleet.now + 2 * RW_SEC;
          run_until (fleet.now + 22 * RW_SEC);
          check_rule ("one daemon, 0.9 of the limit");
          assert_true (lost_part (0) <= 0.01);
          stop_fleet ();
        }
}
