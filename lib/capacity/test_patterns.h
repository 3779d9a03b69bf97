/* The patterns of the tests, and what they measure.  */

#ifndef CAP_TEST_PATTERNS_H
#define CAP_TEST_PATTERNS_H

#include "test_sim.h"
#include "unit.h"

#define SEEDS 2
/* Of what a chooser gains that knows each target's speed and queue.  */
#define MIN_GOODPUT 0.95

/* The share of the requests that are answered in time, over all seeds.  */
static double
goodput (struct sim_config config, enum sim_chooser chooser)
{
  double in_aim = 0;
  double asked = 0;
  config.chooser = chooser;
  for (config.seed = 1; config.seed <= SEEDS; config.seed++)
    {
      struct sim *sim = sim_run (&config);
      in_aim += sim->in_aim;
      asked += sim->asked;
      sim_free (sim);
    }
  return in_aim / asked;
}

/* Runs CONFIG at LOADS, and checks that the goodput is within the bound.
   Checks also that without the estimates it is not at one of the loads, or is
   lower by MARGIN at the last one.  */
static void
check_goodput (const char *name, struct sim_config config, const double *loads,
               size_t load_count, double margin)
{
  bool fails_without = false;
  bool holds = true;
  for (size_t i = 0; i < load_count; i++)
    {
      config.load = loads[i];
      double best = goodput (config, SIM_ORACLE);
      double with = goodput (config, SIM_ESTIMATES);
      double without = goodput (config, SIM_WITHOUT);
      printf ("%s, %zu daemons: load %.1f: %.3f, without the estimates %.3f, "
              "best %.3f\n",
              name, config.daemons, config.load, with, without, best);
      fails_without |= without < MIN_GOODPUT * best;
      if (i + 1 == load_count)
        fails_without |= without + margin <= with;
      holds &= with >= MIN_GOODPUT * best;
    }
  assert_true (holds);
  assert_true (fails_without);
}

static const double usual_loads[] __attribute__ ((unused)) = { 0.3, 0.6, 0.9 };

static struct sim_config
base_config (size_t daemons)
{
  return (struct sim_config){ .daemons = daemons,
                              .targets = daemons > 100 ? 12 : 3,
                              .slots = 4,
                              .reports = SIM_THREE,
                              .seconds = 25,
                              .warm_seconds = 5 };
}

/* Three kinds of targets, of speed 0.5, 1 and 2.  */
static struct sim_config
uneven_config (size_t daemons)
{
  static const double speeds[] = { 0.5, 1, 2 };
  struct sim_config config = base_config (daemons);
  for (size_t i = 0; i < config.targets; i++)
    config.speeds[i] = speeds[i % 3];
  return config;
}

static struct sim_config
knee_config (size_t daemons)
{
  struct sim_config config = base_config (daemons);
  config.slots = 10;
  config.knee = 0.6;
  config.targets = 3;
  return config;
}

/* Another user takes most of a machine in bursts, a fifth of the time.  */
static struct sim_config
noisy_config (size_t daemons)
{
  struct sim_config config = base_config (daemons);
  config.burst = 4;
  config.bursts = 0.2;
  config.reports = SIM_FULL;
  return config;
}

/* The first target drops to a third for 5 s.  */
static inline double
third_of_speed (size_t target, rw_time now)
{
  return target == 0 && now >= 10 * RW_SEC && now < 15 * RW_SEC ? 1 / 3.0 : 1;
}

/* Each speed moves between 0.4 and 1.6 within 20 s.  */
static inline double
drifting_speed (size_t target, rw_time now)
{
  return 1
         + 0.6
               * sin ((double)now / (20 * RW_SEC) * 2 * M_PI
                      + 2 * (double)target);
}

/* All targets become slower at the same time.  */
static inline double
all_slow (size_t target __attribute__ ((unused)), rw_time now)
{
  return now >= 10 * RW_SEC ? 0.6 : 1;
}

/* Whether the daemons' estimate of a machine that fell to a third is half of
   the way there after 1 s.  */
static inline bool
has_learned_fall (const struct sim_config *config, int seconds)
{
  struct sim *sim = sim_run (config);
  double before = sim->speed[99][0];
  double after = sim->speed[100 + 10 * seconds][0];
  printf ("fall, load %.1f, seed %d: before %.2f, %d s later %.2f\n",
          config->load, (int)config->seed, before, seconds, after);
  sim_free (sim);
  return after <= (before + before / 3) / 2;
}

/* The same for its recovery.  */
static inline bool
has_learned_rise (const struct sim_config *config, int seconds)
{
  struct sim *sim = sim_run (config);
  double usual = sim->speed[99][0];
  double before = sim->speed[149][0];
  double after = sim->speed[150 + 10 * seconds][0];
  printf ("rise, load %.1f, seed %d: before %.2f, %d s later %.2f\n",
          config->load, (int)config->seed, before, seconds, after);
  sim_free (sim);
  return after >= (before + usual) / 2;
}

/* The share of the requests that TARGET got in the seconds FROM to TO.  */
static inline double
share_of (const struct sim *sim, size_t target, int from, int to)
{
  double sent = 0;
  double all = 0;
  for (int second = from; second < to; second++)
    for (size_t i = 0; i < sim->config.targets; i++)
      {
        all += sim->sent[second][i];
        if (i == target)
          sent += sim->sent[second][i];
      }
  return sent / all;
}

/* The largest difference between the share of a target in one of the seconds
   FROM to TO and its mean share.  */
static inline double
largest_swing (const struct sim *sim, int from, int to)
{
  double largest = 0;
  for (size_t i = 0; i < sim->config.targets; i++)
    for (int second = from; second < to; second++)
      largest = fmax (largest, fabs (share_of (sim, i, second, second + 1)
                                     - share_of (sim, i, from, to)));
  return largest;
}

#endif
