#include "overload.h"

#include <stdio.h>

#include "load.h"

/* The capacity is the highest rate at which this fraction of the queries is
   answered completely.  */
#define CAPACITY_COMPLETE_RATIO 0.97
#define CAPACITY_STEPS 7
#define RATE_MAX 20000.0
/* Load of the isolated class, relative to the capacity.  */
#define ISOLATED_LOAD 0.1
/* Load outside and during the surge, relative to the capacity.  */
#define BASE_LOAD 0.6
#define SURGE_LOAD 3.0
#define SURGE_AT (1 * RW_SEC)
#define SURGE_UNTIL (2 * RW_SEC)
#define RECOVERY_RUN_END (8 * RW_SEC)
/* The service has recovered when this fraction of the queries is complete over
   1 s.  */
#define RECOVERED_RATIO 0.95
#define RECOVERED_SLICE_COUNT 10

struct settings
{
  int64_t seed;
  int64_t seconds;
  int64_t stragglers;
  int64_t shards;
  const char *profile;
  const char *csv;
};

static const struct argp_option options[] = {
  { "seed", 's', "N", 0, "Seed of arrivals and service times (1; RWF_SEED)",
    0 },
  { "seconds", 't', "N", 0, "Measured time of each run (1; RWF_SECONDS)", 0 },
  { "stragglers", 'g', "N", 0,
    "Requests per 1000 that take 20 times as long (10; RWF_STRAGGLERS)", 0 },
  { "shards", 'n', "N", 0,
    "Shards of the service (those of the deployment; RWF_SHARDS)", 0 },
  { "profile", 'p', "NAME", 0,
    "Deployment: gauteng or seoul (gauteng; RWF_PROFILE)", 0 },
  { "csv", 'c', "FILE", 0, "Write the figures to FILE (RWF_CSV)", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static const struct load_env environment[] = { { 's', "RWF_SEED" },
                                               { 't', "RWF_SECONDS" },
                                               { 'g', "RWF_STRAGGLERS" },
                                               { 'n', "RWF_SHARDS" },
                                               { 'p', "RWF_PROFILE" },
                                               { 'c', "RWF_CSV" },
                                               { 0, NULL } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct settings *settings = state->input;

  switch (key)
    {
    case 's':
      settings->seed = load_number ("--seed", arg, 0, INT64_MAX);
      return 0;
    case 't':
      settings->seconds = load_number ("--seconds", arg, 1, 20);
      return 0;
    case 'g':
      settings->stragglers = load_number ("--stragglers", arg, 0, 1000);
      return 0;
    case 'n':
      settings->shards = load_number ("--shards", arg, 1, 64);
      return 0;
    case 'p':
      settings->profile = arg;
      return 0;
    case 'c':
      settings->csv = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
  options,
  parse,
  NULL,
  "Measure a search service under overload in virtual time, with and "
  "without shares and refusal: goodput at its capacity and at twice its "
  "capacity, the latency of an isolated class, and recovery after a surge.",
  NULL,
  NULL,
  NULL
};

static struct sim_result result;

static double
complete_ratio (size_t class_id)
{
  const struct sim_class_result *of = &result.class_results[class_id];

  return of->offered != 0 ? (double)of->complete / (double)of->offered : 0;
}

static double
run_goodput (const struct sim_config *base, double rate)
{
  struct sim_config config = *base;

  config.class_configs[0].rate = rate;
  sim_run (&config, &result);
  return sim_goodput (&config, &result, 0);
}

/* Returns the highest rate, in queries per second, at which BASE answers
   CAPACITY_COMPLETE_RATIO of the queries completely, by bisection.  */
double
load_find_capacity (const struct sim_config *base)
{
  double low = 0;
  double high = RATE_MAX;

  for (int i = 0; i < CAPACITY_STEPS; i++)
    {
      double rate = (low + high) / 2;

      run_goodput (base, rate);
      if (complete_ratio (0) >= CAPACITY_COMPLETE_RATIO)
        low = rate;
      else
        high = rate;
    }
  return low;
}

static void
measure_isolation (const struct sim_config *base, double capacity,
                   struct load_overload *out)
{
  struct sim_config config = *base;

  config.class_count = 2;
  config.class_configs[0].rate = capacity * ISOLATED_LOAD;
  sim_run (&config, &result);
  out->p99_alone = rw_hist_quantile (&result.class_results[0].latency, 0.99);
  out->complete_alone = complete_ratio (0);
  config.class_configs[1].rate = capacity * 2;
  sim_run (&config, &result);
  out->p99_loaded = rw_hist_quantile (&result.class_results[0].latency, 0.99);
  out->complete_loaded = complete_ratio (0);
}

/* Returns the time from the end of the surge to the start of the first second
   in which RECOVERED_RATIO of the queries were complete, or RW_TIME_NEVER.  */
static rw_time
recovery_time (void)
{
  size_t first = SURGE_UNTIL / SIM_SLICE_LENGTH;
  size_t last = RECOVERY_RUN_END / SIM_SLICE_LENGTH;

  for (size_t i = first; i + RECOVERED_SLICE_COUNT <= last; i++)
    {
      uint64_t offered = 0;
      uint64_t complete = 0;

      for (size_t k = i; k < i + RECOVERED_SLICE_COUNT; k++)
        {
          offered += result.slice[k].offered[0];
          complete += result.slice[k].complete[0];
        }
      if ((double)complete >= RECOVERED_RATIO * (double)offered)
        return (rw_time)(i - first) * SIM_SLICE_LENGTH;
    }
  return RW_TIME_NEVER;
}

static void
measure_recovery (const struct sim_config *base, double capacity,
                  struct load_overload *out)
{
  struct sim_config config = *base;

  config.class_configs[0].rate = capacity * BASE_LOAD;
  config.change_count = 2;
  config.changes[0]
      = (struct sim_change){ SURGE_AT, 0, capacity * SURGE_LOAD };
  config.changes[1]
      = (struct sim_change){ SURGE_UNTIL, 0, capacity * BASE_LOAD };
  config.arrivals_until = RECOVERY_RUN_END;
  sim_run (&config, &result);
  out->recovery = recovery_time ();
}

/* Measures goodput, isolation and recovery of the service BASE, whose capacity
   is CAPACITY queries per second.  */
void
load_measure_overload (const struct sim_config *base, double capacity,
                       struct load_overload *out)
{
  out->goodput = run_goodput (base, capacity);
  out->goodput_twice = run_goodput (base, capacity * 2);
  measure_isolation (base, capacity, out);
  measure_recovery (base, capacity, out);
}

static void
print_result (FILE *csv, const char *name, const struct load_overload *r)
{
  double recovery = r->recovery == RW_TIME_NEVER
                        ? -1
                        : (double)r->recovery / (double)RW_SEC;

  printf ("%-4s %8.0f %8.0f %6.2f %8.1f %8.1f %6.2f %7.1f %7.1f %8.1f\n", name,
          r->goodput, r->goodput_twice, r->goodput_twice / r->goodput,
          (double)r->p99_alone / RW_MSEC, (double)r->p99_loaded / RW_MSEC,
          (double)r->p99_loaded / (double)r->p99_alone,
          100 * r->complete_alone, 100 * r->complete_loaded, recovery);
  if (csv != NULL)
    fprintf (csv, "%s,%.1f,%.1f,%.2f,%.2f,%.4f,%.4f,%.1f\n", name, r->goodput,
             r->goodput_twice, (double)r->p99_alone / RW_MSEC,
             (double)r->p99_loaded / RW_MSEC, r->complete_alone,
             r->complete_loaded, recovery);
}

static void
measure (const struct settings *settings, const struct mdl_profile *profile,
         FILE *csv)
{
  struct sim_config config;
  struct load_overload on;
  struct load_overload off;
  double capacity;

  sim_config_init (&config, profile, &profile->service[0]);
  config.start_warm = true;
  if (settings->shards > 0)
    config.shards = (int)settings->shards;
  config.seed = (uint64_t)settings->seed;
  config.arrivals_until = config.measure_from + settings->seconds * RW_SEC;
  config.searcher.straggler_share = (double)settings->stragglers / 1000;
  capacity = load_find_capacity (&config);
  load_measure_overload (&config, capacity, &on);
  config.disabled = ADM_MECH_SHARES | ADM_MECH_REFUSAL;
  load_measure_overload (&config, capacity, &off);
  printf ("%s of %s: capacity %.0f queries/s, %d shards, seed %lld, "
          "%lld of 1000 requests slow\n\n",
          profile->service[0].name, profile->name, capacity, config.shards,
          (long long)settings->seed, (long long)settings->stragglers);
  puts ("     goodput/s                  isolated class: p99 ms     complete "
        "%   recovery");
  puts (
      "      at 1x    at 2x  ratio    alone   loaded  ratio   alone  loaded  "
      "      s");
  if (csv != NULL)
    fputs ("mechanism,goodput_1x,goodput_2x,p99_alone_ms,p99_loaded_ms,"
           "complete_alone,complete_loaded,recovery_s\n",
           csv);
  print_result (csv, "on", &on);
  print_result (csv, "off", &off);
}

/* Runs "rwfload overload"; returns an exit status.  */
int
load_overload (int argc, char **argv)
{
  struct settings settings = { 1, 1, 10, 0, "gauteng", NULL };
  const struct mdl_profile *profile;
  FILE *csv = NULL;

  if (load_parse (&argp, environment, argc, argv, &settings) != 0)
    return 1;
  profile = mdl_profile (rw_str_from (settings.profile));
  if (profile == NULL)
    {
      fprintf (stderr, "rwfload: unknown profile: %s\n", settings.profile);
      return 1;
    }
  if (settings.csv != NULL && (csv = fopen (settings.csv, "w")) == NULL)
    {
      perror (settings.csv);
      return 1;
    }
  measure (&settings, profile, csv);
  return csv != NULL && fclose (csv) != 0 ? 1 : 0;
}
