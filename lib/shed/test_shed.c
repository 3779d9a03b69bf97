#include <math.h>

#include "test_sim.h"
#include "unit.h"

/* The load patterns run on 13 daemons and 20 shards with two searchers each,
   in virtual time.  A pattern lasts from second 4 to second 14; the first two
   seconds of it are not counted.  */
#define DAEMONS 13
#define SHARDS 20
#define PATTERN_START 4
#define PATTERN_END 14
#define SETTLE_SECONDS 2
#define RUN_SECONDS 18
#define SEEDS 8

/* The targets of the tier under overload.  */
#define MIN_URGENT_IN_AIM 0.98
#define MAX_LATE 0.05
#define MAX_FAILED 0.01
#define MIN_GOODPUT_RATIO 0.95

struct outcome
{
  struct sim_counts during[SIM_ROUTES];
  struct sim_counts after[SIM_ROUTES]; /* from SETTLE_SECONDS after the end */
};

typedef void set_pattern (struct sim *sim);

static void
counts_add (struct sim_counts *sum, const struct sim_counts *counts)
{
  sum->asked += counts->asked;
  sum->in_aim += counts->in_aim;
  sum->late += counts->late;
  sum->refused += counts->refused;
  sum->failed += counts->failed;
}

/* Runs a pattern with several seeds, and adds up what happened.  */
static struct outcome
run_pattern (set_pattern *set, bool control)
{
  struct outcome sum = { 0 };
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      struct sim *sim = sim_new (DAEMONS, SHARDS, seed);
      sim->control = control;
      set (sim);
      sim_run (sim, RUN_SECONDS);
      for (int r = 0; r < SIM_ROUTES; r++)
        {
          struct sim_counts during
              = sim_sum (sim, (enum sim_route_id)r,
                         PATTERN_START + SETTLE_SECONDS, PATTERN_END);
          struct sim_counts after
              = sim_sum (sim, (enum sim_route_id)r,
                         PATTERN_END + SETTLE_SECONDS, RUN_SECONDS - 1);
          counts_add (&sum.during[r], &during);
          counts_add (&sum.after[r], &after);
        }
      sim_free (sim);
    }
  return sum;
}

/* The work of the answers that came in time.  */
static double
goodput (const struct outcome *outcome)
{
  double sum = 0;
  for (int r = 0; r < SIM_ROUTES; r++)
    sum += outcome->during[r].in_aim * (double)sim_routes[r].work;
  return sum;
}

static double
in_aim (const struct sim_counts *counts)
{
  return counts->in_aim / counts->asked;
}

static void
print_outcome (const char *pattern, const struct outcome *outcome)
{
  for (int r = 0; r < SIM_ROUTES; r++)
    {
      const struct sim_counts *c = &outcome->during[r];
      print_message ("%s, %s: in aim %.3f late %.3f refused %.3f failed %.3f; "
                     "after: in aim %.3f\n",
                     pattern, sim_routes[r].name, in_aim (c),
                     c->late / c->asked, c->refused / c->asked,
                     c->failed / c->asked, in_aim (&outcome->after[r]));
    }
}

static double
total_asked (const struct outcome *outcome)
{
  return outcome->during[SIM_BULK].asked + outcome->during[SIM_URGENT].asked;
}

static double
total_failed (const struct outcome *outcome)
{
  return outcome->during[SIM_BULK].failed + outcome->during[SIM_URGENT].failed;
}

static double
total_late (const struct outcome *outcome)
{
  return outcome->during[SIM_BULK].late + outcome->during[SIM_URGENT].late;
}

/* Checks what holds under every pattern: hardly a request fails, the urgent
   route is not refused for the bulk, and the share in aim is that of a calm
   time SETTLE_SECONDS after the end.  */
static void
check_pattern (const struct outcome *outcome)
{
  assert_true (total_failed (outcome) <= MAX_FAILED * total_asked (outcome));
  assert_true (outcome->during[SIM_URGENT].refused
               <= MAX_FAILED * outcome->during[SIM_URGENT].asked);
  for (int r = 0; r < SIM_ROUTES; r++)
    assert_true (in_aim (&outcome->after[r]) >= MIN_URGENT_IN_AIM);
}

static double burst_factor;

static void
set_burst (struct sim *sim)
{
  sim_set_factor (sim, burst_factor, PATTERN_START, PATTERN_END);
}

/* Guards against refusals while the searchers have room.  */
TEST (nothing_is_refused_in_a_calm_time)
{
  burst_factor = 1;
  struct outcome calm = run_pattern (set_burst, true);
  for (int r = 0; r < SIM_ROUTES; r++)
    {
      assert_true (calm.during[r].refused == 0);
      assert_true (in_aim (&calm.during[r]) >= MIN_URGENT_IN_AIM);
    }
}

/* Guards against a goodput that collapses in bursts of up to 3.5 times the
   load, against late answers in place of refusals, and against urgent requests
   that wait behind bulk.  */
TEST (goodput_stays_flat_in_bursts)
{
  static const double factors[] = { 1.5, 2.0, 2.5, 3.0, 3.5 };
  struct outcome outcomes[RW_ARRAY_LEN (factors)];
  double best = 0;
  for (size_t i = 0; i < RW_ARRAY_LEN (factors); i++)
    {
      char name[32];
      burst_factor = factors[i];
      outcomes[i] = run_pattern (set_burst, true);
      snprintf (name, sizeof name, "burst x%.1f", factors[i]);
      print_outcome (name, &outcomes[i]);
      best = fmax (best, goodput (&outcomes[i]));
    }
  for (size_t i = 0; i < RW_ARRAY_LEN (factors); i++)
    {
      check_pattern (&outcomes[i]);
      if (factors[i] < 2.5)
        continue;
      assert_true (goodput (&outcomes[i]) >= MIN_GOODPUT_RATIO * best);
      assert_true (total_late (&outcomes[i])
                   <= MAX_LATE * total_asked (&outcomes[i]));
      assert_true (in_aim (&outcomes[i].during[SIM_URGENT])
                   >= MIN_URGENT_IN_AIM);
    }
}

static void
set_abuse (struct sim *sim)
{
  sim->abuse = 0.3;
  sim->abuse_attempts = 3;
  sim_set_factor (sim, 2.5, PATTERN_START, PATTERN_END);
}

/* Guards against callers that repeat refused requests at once and displace
   others.  */
TEST (callers_that_repeat_at_once_do_not_displace_others)
{
  struct outcome abuse = run_pattern (set_abuse, true);
  burst_factor = 2.5;
  struct outcome burst = run_pattern (set_burst, true);
  print_outcome ("abuse", &abuse);
  check_pattern (&abuse);
  assert_true (goodput (&abuse) >= MIN_GOODPUT_RATIO * goodput (&burst));
  assert_true (in_aim (&abuse.during[SIM_URGENT]) >= MIN_URGENT_IN_AIM);
}

static void
on_second_of_cold_return (struct sim *sim, int second)
{
  for (int i = 0; i < sim->shards; i++)
    {
      struct sim_searcher *searcher = &sim->searchers[i][1];
      if (second == PATTERN_START)
        searcher->down_until = 10 * RW_SEC;
      if (second == 10)
        searcher->slowness = 1.6;
      if (second == PATTERN_END)
        searcher->slowness = 1;
    }
}

static void
set_cold_return (struct sim *sim)
{
  sim->on_second = on_second_of_cold_return;
  sim_set_factor (sim, 1.5, PATTERN_START, PATTERN_END);
}

/* Guards against a loss of half of the searchers, which then return cold under
   1.5 times the load, that the tier answers with failures.  */
TEST (a_data_centre_returns_cold_under_a_burst)
{
  struct outcome controlled = run_pattern (set_cold_return, true);
  struct outcome open = run_pattern (set_cold_return, false);
  print_outcome ("cold return", &controlled);
  print_outcome ("cold return, all admitted", &open);
  check_pattern (&controlled);
  assert_true (in_aim (&controlled.during[SIM_URGENT])
               > in_aim (&open.during[SIM_URGENT]));
}

static void
set_flood (struct sim *sim)
{
  for (int i = PATTERN_START; i < PATTERN_END; i++)
    sim->factor[SIM_BULK][i] = 6;
}

/* Guards against a flood of one class that pushes out another.  */
TEST (a_flood_of_one_class_does_not_push_out_another)
{
  struct outcome flood = run_pattern (set_flood, true);
  print_outcome ("flood", &flood);
  check_pattern (&flood);
  assert_true (in_aim (&flood.during[SIM_URGENT]) >= MIN_URGENT_IN_AIM);
}

static void
on_second_of_slow_shards (struct sim *sim, int second)
{
  for (int i = 0; i < sim->shards / 2; i++)
    for (int j = 0; j < SIM_COPIES; j++)
      {
        if (second == PATTERN_START)
          sim->searchers[i][j].slowness = 2;
        if (second == PATTERN_END)
          sim->searchers[i][j].slowness = 1;
      }
}

static void
set_slow_shards (struct sim *sim)
{
  sim->on_second = on_second_of_slow_shards;
  sim_set_factor (sim, 1.5, PATTERN_START, PATTERN_END);
}

/* Guards against queues that build up at half of the shards, whose searchers
   work at half of their speed, while the others are idle.  */
TEST (searchers_slow_across_many_shards_do_not_collapse)
{
  struct outcome controlled = run_pattern (set_slow_shards, true);
  struct outcome open = run_pattern (set_slow_shards, false);
  print_outcome ("slow shards", &controlled);
  print_outcome ("slow shards, all admitted", &open);
  check_pattern (&controlled);
  assert_true (goodput (&controlled) > goodput (&open));
}

static void
on_second_of_lost_shard (struct sim *sim, int second)
{
  if (second == PATTERN_START)
    for (int j = 0; j < SIM_COPIES; j++)
      sim->searchers[3][j].down_until = PATTERN_END * RW_SEC;
}

static void
set_lost_shard (struct sim *sim)
{
  sim->on_second = on_second_of_lost_shard;
}

/* Guards against refusals because of one shard that is not needed for an
   answer.  */
TEST (the_loss_of_all_copies_of_a_shard_is_no_overload)
{
  struct outcome lost = run_pattern (set_lost_shard, true);
  print_outcome ("lost shard", &lost);
  check_pattern (&lost);
  for (int r = 0; r < SIM_ROUTES; r++)
    {
      assert_true (lost.during[r].refused == 0);
      assert_true (in_aim (&lost.during[r]) >= MIN_URGENT_IN_AIM);
    }
}

/* Each daemon lacks one copy of about a third of the shards.  */
static void
set_different_views (struct sim *sim)
{
  for (int d = 0; d < sim->daemon_count; d++)
    for (int i = 0; i < sim->shards; i++)
      if (rw_rng_below (&sim->rng, 3) == 0)
        {
          char id[32];
          snprintf (id, sizeof id, "s%d-%d", i,
                    (int)rw_rng_below (&sim->rng, SIM_COPIES));
          ste_remove (&sim->daemons[d].fleet, rw_str_from (id), 2, 0);
        }
  sim_set_factor (sim, 2.5, PATTERN_START, PATTERN_END);
}

/* Guards against a control that holds only if all daemons see the same
   searchers.  */
TEST (daemons_with_different_views_share_an_overload)
{
  struct outcome views = run_pattern (set_different_views, true);
  struct outcome open = run_pattern (set_different_views, false);
  print_outcome ("different views", &views);
  print_outcome ("different views, all admitted", &open);
  check_pattern (&views);
  assert_true (in_aim (&views.during[SIM_URGENT])
               > in_aim (&open.during[SIM_URGENT]));
}

static void
set_lies (struct sim *sim)
{
  for (int i = 0; i < sim->shards; i++)
    for (int j = 0; j < SIM_COPIES; j++)
      sim->searchers[i][j].lies = true;
  sim_set_factor (sim, 2.5, PATTERN_START, PATTERN_END);
}

/* Guards against searchers that always report an empty queue.  */
TEST (a_queue_that_lies_is_not_trusted)
{
  struct outcome lies = run_pattern (set_lies, true);
  struct outcome open = run_pattern (set_lies, false);
  print_outcome ("lies", &lies);
  print_outcome ("lies, all admitted", &open);
  assert_true (total_failed (&lies) < total_failed (&open) / 2);
  assert_true (in_aim (&lies.during[SIM_URGENT])
               > in_aim (&open.during[SIM_URGENT]));
}

/* Guards against requests that are refused long after an overload, and against
   shares that swing: between the end of a burst and the end of the run, the
   share falls to 0 and stays there.  */
TEST (the_share_falls_once_when_the_pressure_ends)
{
  struct shd_route route;
  rw_time now = RW_SEC;
  double delay = 40000;
  double last;
  shd_init (&route);
  for (; now < 3 * RW_SEC; now += 50 * RW_MSEC)
    shd_update (&route, delay, 10000, now);
  assert_true (route.share > 0.5);
  last = route.share;
  for (; now < 5 * RW_SEC; now += 50 * RW_MSEC)
    {
      delay /= 2;
      shd_update (&route, delay, 10000, now);
      assert_true (route.share <= last);
      last = route.share;
    }
  assert_true (route.share == 0);
  assert_true (shd_admit (&route, SHD_FIRST));
  assert_true (shd_admit (&route, SHD_LAST));
}

/* Guards against the refusal of the first request after an idle time, for an
   overload that ended long before.  */
TEST (idle_time_releases_the_share)
{
  struct shd_route route;
  rw_time now = RW_SEC;
  shd_init (&route);
  for (; now < 3 * RW_SEC; now += 100 * RW_MSEC)
    {
      shd_update (&route, 300000, 90000, now);
      shd_admit (&route, SHD_FIRST);
    }
  assert_true (route.share > 0.9);
  now += 3 * RW_SEC;
  shd_update (&route, 0, 90000, now);
  assert_true (route.share == 0);
  assert_true (shd_admit (&route, SHD_FIRST));
}

/* Guards against more or fewer refusals than the share says, also over few
   requests.  */
TEST (refusals_follow_the_share_evenly)
{
  struct shd_route route;
  int refused = 0;
  shd_init (&route);
  route.share = 0.3;
  for (int i = 0; i < 10; i++)
    refused += !shd_admit (&route, SHD_FIRST);
  assert_in_range (refused, 2, 3);
  for (int i = 0; i < 10; i++)
    assert_int_equal (shd_admit (&route, SHD_LAST), false);
}

/* Guards against callers that are late, or that repeat at once, and displace
   new ones.  */
TEST (late_and_hasty_callers_come_last)
{
  assert_int_equal (shd_order_of (0, 150 * RW_MSEC, 20000), SHD_FIRST);
  assert_int_equal (shd_order_of (50 * RW_MSEC, 100 * RW_MSEC, 20000),
                    SHD_FIRST);
  assert_int_equal (shd_order_of (1, 149 * RW_MSEC, 20000), SHD_LAST);
  assert_int_equal (shd_order_of (300 * RW_MSEC, -150 * RW_MSEC, 20000),
                    SHD_LAST);
}

static const struct shd_claim heavy = { 1, 0, 1, 20000, 110000, RW_SEC };
static const struct shd_claim light = { 2, 0, 2, 6700, 44000, RW_SEC };

/* Guards against a target delay that leaves the light requests of a group no
   time, and against a short one for a route that is alone.  */
TEST (heavy_requests_give_way_to_light_ones)
{
  struct shd_group group = { 0 };
  shd_group_claim (&group, &heavy);
  double alone = shd_target_delay (&group, heavy.key, RW_SEC);
  shd_group_claim (&group, &light);
  double low = shd_target_delay (&group, heavy.key, RW_SEC);
  double high = shd_target_delay (&group, light.key, RW_SEC);
  assert_true (low < high);
  assert_true (high < light.slack);
  assert_true (alone > heavy.slack / 2);
  /* A claim without requests for 10 s does not count.  */
  assert_true (shd_target_delay (&group, heavy.key, 12 * RW_SEC) == alone);
}

/* Guards against a priority that does not count: two steps outweigh three
   times the work.  */
TEST (priority_outweighs_work)
{
  struct shd_group group = { 0 };
  struct shd_claim first = heavy;
  first.priority = 0;
  shd_group_claim (&group, &first);
  shd_group_claim (&group, &light);
  assert_true (shd_target_delay (&group, first.key, RW_SEC)
               > shd_target_delay (&group, light.key, RW_SEC));
}

/* Guards against a table of claims that grows, and against a newer claim that
   is lost when the table is full.  */
TEST (the_oldest_claim_is_replaced)
{
  struct shd_group group = { 0 };
  for (uint64_t i = 1; i <= SHD_MAX_CLAIMS + 5; i++)
    {
      struct shd_claim claim = light;
      claim.key = i;
      claim.seen_at = (rw_time)i;
      shd_group_claim (&group, &claim);
    }
  assert_int_equal (group.count, SHD_MAX_CLAIMS);
  for (uint64_t i = 6; i <= SHD_MAX_CLAIMS + 5; i++)
    assert_true (shd_target_delay (&group, i, RW_SEC) > 0);
}

/* Guards against an order statistic that is off by one, and against a few bad
   shards that count as an overload.  */
TEST (the_critical_delay_is_that_of_the_last_part_needed)
{
  double delays[20];
  for (size_t needed = 1; needed <= 20; needed++)
    {
      for (size_t i = 0; i < 20; i++)
        delays[i] = (double)((i * 7) % 20);
      double expected = (double)(needed < 15 ? needed : 15) - 1;
      assert_true (shd_critical_delay (delays, 20, needed) == expected);
    }
  double lost[4] = { INFINITY, 0, 1, 2 };
  assert_true (shd_critical_delay (lost, 4, 4) == 2);
  double one[1] = { 5 };
  assert_true (shd_critical_delay (one, 1, 1) == 5);
}

/* Guards against an infinite delay, as when no target can be reached, that
   makes the share invalid.  */
TEST (an_infinite_delay_refuses_most)
{
  struct shd_route route;
  shd_init (&route);
  for (rw_time now = RW_SEC; now < 4 * RW_SEC; now += 50 * RW_MSEC)
    shd_update (&route, INFINITY, 10000, now);
  assert_true (route.share > 0.9 && route.share < 1);
}

/* Guards against refused callers that return all at once, too late to be
   answered, or while the pressure that they met has only begun.  */
TEST (refused_callers_return_spread_over_the_expected_pressure)
{
  struct rw_rng rng;
  rw_time sum = 0;
  rw_rng_init (&rng, 1);
  rw_time first = RW_TIME_NEVER;
  rw_time last = 0;
  for (int i = 0; i < 1000; i++)
    {
      rw_time after = shd_retry_after (400 * RW_MSEC, 3 * RW_SEC, &rng);
      first = after < first ? after : first;
      last = after > last ? after : last;
      sum += after;
    }
  assert_in_range (first, 200 * RW_MSEC, 210 * RW_MSEC);
  assert_in_range (last, 590 * RW_MSEC, 600 * RW_MSEC);
  assert_in_range (sum / 1000, 380 * RW_MSEC, 420 * RW_MSEC);
  for (int i = 0; i < 1000; i++)
    assert_in_range (shd_retry_after (9 * RW_SEC, 600 * RW_MSEC, &rng),
                     100 * RW_MSEC, 200 * RW_MSEC);
  assert_true (shd_retry_after (0, -1, &rng) > 0);
}

/* Guards against routes whose work decides although their callers'
   organisations differ in priority.  */
TEST (the_rank_goes_before_the_value)
{
  struct shd_group group = { .count = 0 };
  struct shd_claim low
      = { .key = 1, .rank = 2, .work = 1, .slack = 100000, .seen_at = RW_SEC };
  struct shd_claim high = {
    .key = 2, .rank = 1, .work = 50, .slack = 100000, .seen_at = RW_SEC
  };
  shd_group_claim (&group, &low);
  shd_group_claim (&group, &high);
  assert_true (shd_target_delay (&group, 2, RW_SEC)
               > shd_target_delay (&group, 1, RW_SEC));
  group.claims[0].rank = 1;
  assert_true (shd_target_delay (&group, 2, RW_SEC)
               < shd_target_delay (&group, 1, RW_SEC));
}
