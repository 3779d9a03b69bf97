#include <stdio.h>

#include "test_patterns.h"
#include "unit.h"

/* Guards against sending equal shares to targets of different speed.  */
TEST (copies_of_different_speed_are_used_as_they_bear)
{
  static const double loads[] = { 0.3, 0.6, 0.9, 1.1 };
  check_goodput ("uneven", uneven_config (3), loads, RW_ARRAY_LEN (loads),
                 0.01);
}

/* Guards against filling targets that slow down before all slots are taken,
   while others are idle.  */
TEST (targets_that_slow_down_early_are_not_filled)
{
  static const double loads[] = { 0.3, 0.6 };
  check_goodput ("knee", knee_config (3), loads, RW_ARRAY_LEN (loads), 0.01);
}

/* Guards against following speeds that change too slowly.  */
TEST (speeds_that_drift_are_followed)
{
  struct sim_config config = base_config (3);
  config.speed_at = drifting_speed;
  check_goodput ("drift", config, usual_loads, RW_ARRAY_LEN (usual_loads),
                 0.005);
}

/* Guards against not using the work figure, or using it when it is old.  */
TEST (bursts_of_other_users_are_avoided)
{
  static const double loads[] = { 0.6 };
  check_goodput ("noisy", noisy_config (3), loads, RW_ARRAY_LEN (loads), 0.01);
}

/* Guards against missing that a machine drops to a third, or that it recovers.
   The bound of 1 s is in test_bounds.c.  */
TEST (a_machine_that_drops_and_recovers_is_noticed)
{
  struct sim_config config = base_config (3);
  config.speed_at = third_of_speed;
  config.load = 0.6;
  for (config.seed = 1; config.seed <= SEEDS; config.seed++)
    assert_true (has_learned_fall (&config, 4)
                 && has_learned_rise (&config, 4));
  /* Without the mechanism there is no estimate.  */
  config.seed = 1;
  config.chooser = SIM_WITHOUT;
  assert_false (has_learned_fall (&config, 4));
}

/* Guards against flooding a target that falsely reports that it is idle and
   fast, and against losing it.  */
TEST (a_target_with_false_reports_is_neither_flooded_nor_lost)
{
  struct sim_config config = uneven_config (3);
  config.speeds[0] = 0.5;
  config.reports = SIM_FALSE;
  config.load = 0.6;
  config.seed = 1;
  struct sim *sim = sim_run (&config);
  double share = share_of (sim, 0, 10, 25);
  printf ("false reports: share %.2f, goodput %.3f\n", share,
          sim->in_aim / sim->asked);
  assert_true (share < 0.25 && share > 0.01);
  sim_free (sim);
}

/* Guards against depending on reports.  */
TEST (reports_may_stop_or_be_absent)
{
  static const enum sim_reports kinds[] = { SIM_ABSENT, SIM_STOPPED };
  for (size_t i = 0; i < RW_ARRAY_LEN (kinds); i++)
    {
      struct sim_config config = uneven_config (3);
      config.reports = kinds[i];
      config.load = 0.6;
      assert_true (goodput (config, SIM_ESTIMATES)
                   >= MIN_GOODPUT * goodput (config, SIM_ORACLE));
      config.seed = 1;
      struct sim *sim = sim_run (&config);
      const double *speed = sim->speed[249];
      printf ("%s reports: speeds %.2f %.2f %.2f\n",
              kinds[i] == SIM_ABSENT ? "absent" : "stopped", speed[0],
              speed[1], speed[2]);
      assert_true (speed[2] / speed[0] >= 1.25);
      sim_free (sim);
      config.chooser = SIM_WITHOUT;
      sim = sim_run (&config);
      assert_true (sim->speed[249][2] / sim->speed[249][0] < 1.25);
      sim_free (sim);
    }
}

/* Guards against a first second that is wasted on learning.  */
TEST (a_cold_start_serves)
{
  struct sim_config config = uneven_config (3);
  config.seconds = 8;
  config.warm_seconds = 0;
  check_goodput ("cold start", config, usual_loads, 3, 0.001);
}

/* Guards against oscillation when all targets become slow together, and there
   is nothing to gain: equal targets are served as without the estimates.  */
TEST (targets_that_slow_together_are_served_as_before)
{
  struct sim_config config = base_config (3);
  config.speed_at = all_slow;
  config.load = 0.4;
  config.seed = 1;
  struct sim *sim = sim_run (&config);
  double swing = largest_swing (sim, 6, 25);
  sim_free (sim);
  config.chooser = SIM_WITHOUT;
  sim = sim_run (&config);
  double without = largest_swing (sim, 6, 25);
  sim_free (sim);
  printf ("all slow: largest swing of a share %.3f, without the estimates "
          "%.3f\n",
          swing, without);
  assert_true (swing <= without + 0.02);
}

/* Guards against shares that oscillate at steady load, for 3 and 300
   daemons.  */
TEST (shares_are_steady_at_steady_load)
{
  static const size_t daemons[] = { 3, 300 };
  for (size_t i = 0; i < RW_ARRAY_LEN (daemons); i++)
    {
      struct sim_config config = uneven_config (daemons[i]);
      config.load = 0.6;
      config.seed = 1;
      struct sim *sim = sim_run (&config);
      double swing = largest_swing (sim, 15, 25);
      printf ("steady load, %zu daemons: largest swing of a share %.3f\n",
              daemons[i], swing);
      assert_true (swing <= 0.1);
      sim_free (sim);
    }
}

/* Guards against all daemons going to the fastest target at the same time when
   they learn of it, so that it gets more than it bears.  */
TEST (daemons_that_learn_together_do_not_flood_the_fastest)
{
  struct sim_config config = uneven_config (300);
  config.load = 0.9;
  config.seed = 1;
  struct sim *sim = sim_run (&config);
  double highest = 0;
  for (int second = 0; second < 25; second++)
    for (size_t i = 2; i < config.targets; i += 3)
      highest = fmax (highest,
                      sim->sent[second][i] * SIM_WORK
                          / (RW_SEC * config.slots * sim_speed (sim, i, 0)));
  printf ("300 daemons: highest use of a target in a second %.2f\n", highest);
  sim_free (sim);
  config.chooser = SIM_WITHOUT;
  sim = sim_run (&config);
  double without = 0;
  for (int second = 0; second < 25; second++)
    for (size_t i = 0; i < config.targets; i++)
      without = fmax (without,
                      sim->sent[second][i] * SIM_WORK
                          / (RW_SEC * config.slots * sim_speed (sim, i, 0)));
  printf ("300 daemons, without the estimates: %.2f\n", without);
  sim_free (sim);
  assert_true (highest <= 1.25);
}

/* Guards against a law that learns in small fleets alone.  */
TEST (small_and_large_fleets_learn_the_same)
{
  static const size_t daemons[] = { 3, 300 };
  for (size_t i = 0; i < RW_ARRAY_LEN (daemons); i++)
    {
      struct sim_config config = uneven_config (daemons[i]);
      config.load = 0.6;
      config.seed = 1;
      config.seconds = 60;
      struct sim *sim = sim_run (&config);
      const double *speed = sim->speed[599];
      printf ("%zu daemons: speeds %.2f %.2f %.2f\n", daemons[i], speed[0],
              speed[1], speed[2]);
      assert_true (speed[0] < speed[1] && speed[1] < speed[2]);
      assert_true (speed[2] / speed[0] >= 1.5);
      sim_free (sim);
    }
}

/* Guards against a new target that gets far more than its share to be
   learned, or nothing.  */
TEST (a_new_target_gets_enough_to_be_learned_and_no_more)
{
  struct sim_config config = uneven_config (3);
  config.late_targets = 1;
  config.speeds[2] = 0.5;
  config.load = 0.6;
  config.seed = 1;
  struct sim *sim = sim_run (&config);
  double first = share_of (sim, 2, 10, 11);
  double later = share_of (sim, 2, 13, 25);
  printf ("new target: share in the first second %.2f, later %.2f\n", first,
          later);
  assert_true (first <= 0.5 && first >= 0.01);
  assert_true (later <= 0.35 && later >= 0.005);
  sim_free (sim);
}

/* Guards against serving a deployment of equal targets, which report three
   figures, in another way than without the estimates: each choice must be the
   same.  */
TEST (equal_targets_are_served_as_without_the_estimates)
{
  struct sim_config config = base_config (3);
  for (config.seed = 1; config.seed <= 9; config.seed++)
    {
      config.slots = 2 + (unsigned int)config.seed % 3;
      config.load = config.seed <= 4 ? 0.3 : 0.6;
      printf ("equal targets, seed %d\n", (int)config.seed);
      config.chooser = SIM_ESTIMATES;
      struct sim *with = sim_run (&config);
      config.chooser = SIM_WITHOUT;
      struct sim *without = sim_run (&config);
      assert_memory_equal (with->sent, without->sent, sizeof with->sent);
      sim_free (with);
      sim_free (without);
    }
}

/* Guards against a rule that is simpler and better.  The last chooser asks the
   targets first, which lib/steer cannot.  */
TEST (simple_rules_are_not_better)
{
  const struct
  {
    const char *name;
    struct sim_config config;
  } patterns[]
      = { { "uneven", uneven_config (3) }, { "noisy", noisy_config (3) } };
  for (size_t i = 0; i < RW_ARRAY_LEN (patterns); i++)
    {
      struct sim_config config = patterns[i].config;
      config.load = 0.9;
      double with = goodput (config, SIM_ESTIMATES);
      for (int c = SIM_ESTIMATES; c < SIM_CHOOSERS; c++)
        {
          double result = goodput (config, (enum sim_chooser)c);
          printf ("%s, load 0.9, %s: %.3f\n", patterns[i].name,
                  sim_chooser_names[c], result);
          if (c != SIM_ORACLE && c != SIM_PROBE)
            assert_true (result <= with);
        }
    }
}

/* Feeds COUNT results of RATIO times the usual work to TARGET, one each
   10 ms.  */
static rw_time
feed (struct cap_target *target, struct cap_service *service, int count,
      double ratio, rw_time now)
{
  struct cap_sample sample = {
    .latency = 20000 * ratio, .usual = 20000, .targets = 3, .load_before = -1
  };
  for (int i = 0; i < count; i++, now += 10 * RW_MSEC)
    cap_on_result (target, service, &sample, now);
  return now;
}

/* Guards against estimates that stay when the evidence ends.  */
TEST (an_estimate_without_new_evidence_returns_to_the_mean)
{
  struct cap_target target = { 0 };
  struct cap_target others = { 0 };
  struct cap_service service = { 0 };
  rw_time now = feed (&others, &service, 200, 1, RW_SEC);
  now = feed (&target, &service, 20, 3, now);
  struct cap_estimate e = cap_estimate (&target, &service, 4, 0, now);
  assert_true (e.base > 2 && e.confidence > 0.8 && e.age == 10 * RW_MSEC);
  e = cap_estimate (&target, &service, 4, 0, now + 60 * RW_SEC);
  assert_true (e.base < 1.01 && e.confidence < 0.01);
}

/* Guards against figures out of any range that hide a target or make it look
   idle: what one figure changes is bounded.  */
TEST (figures_at_the_bounds_change_an_estimate_within_bounds)
{
  static const unsigned int figures[] = { CAP_MIN_FIGURE, CAP_MAX_FIGURE };
  for (size_t i = 0; i < RW_ARRAY_LEN (figures); i++)
    {
      struct cap_target target = { 0 };
      struct cap_service service = { 0 };
      rw_time now = RW_SEC;
      for (int n = 0; n < 50; n++)
        {
          cap_on_figure (&target, &service, 100, now);
          now = feed (&target, &service, 1, 1, now);
        }
      cap_on_figure (&target, &service, figures[i], now);
      double work = cap_estimate (&target, &service, 4, 0, now).work;
      assert_true (work >= 0.2 && work <= 12);
      work = cap_estimate (&target, &service, 4, 0, now + RW_SEC).work;
      assert_true (work >= 0.7 && work <= 1.5);
    }
}

/* Guards against announcing the same change again and again.  */
TEST (a_change_by_over_a_third_is_announced_once)
{
  struct cap_target target = { 0 };
  struct cap_target others = { 0 };
  struct cap_service service = { 0 };
  rw_time now = feed (&others, &service, 200, 1, RW_SEC);
  now = feed (&target, &service, 50, 1, now);
  assert_false (cap_take_change (&target, &service, now));
  now = feed (&target, &service, 20, 3, now);
  assert_true (cap_take_change (&target, &service, now));
  assert_false (cap_take_change (&target, &service, now));
}

/* Guards against a line in the log for each run of short or long requests at a
   target like any other.  */
TEST (chance_is_not_announced_as_a_change)
{
  struct cap_target targets[3] = { 0 };
  struct cap_service service = { 0 };
  struct rw_rng rng;
  rw_time now = RW_SEC;
  int announced = 0;
  rw_rng_init (&rng, 1);
  for (int i = 0; i < 6000; i++)
    {
      struct cap_target *target = &targets[i % 3];
      now = feed (target, &service, 1, 0.3 + rw_rng_exponential (&rng, 0.7),
                  now);
      announced += cap_take_change (target, &service, now);
    }
  printf ("announced by chance: %d of 6000\n", announced);
  assert_true (announced <= 6);
}
