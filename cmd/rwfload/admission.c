#include "admission.h"

#include <stdio.h>
#include <string.h>

#include "load.h"
#include "sim.h"

/* Times of the cold runs; the warm runs begin to measure after WARM_UP.  */
#define RESTART_AT (3 * RW_SEC)
#define RESTART_DOWN (200 * RW_MSEC)
#define WARM_UP RW_SEC

struct settings
{
  int64_t seed;
  int64_t rate;
  int64_t seconds;
  const char *profile;
  const char *csv;
};

static const struct argp_option options[] = {
  { "seed", 's', "N", 0, "Seed of arrivals and service times (1; RWF_SEED)",
    0 },
  { "rate", 'r', "N", 0, "Parts per second for the target (500; RWF_RATE)",
    0 },
  { "seconds", 't', "N", 0, "Measured time (20; RWF_SECONDS)", 0 },
  { "profile", 'p', "NAME", 0,
    "Deployment: gauteng or seoul (gauteng; RWF_PROFILE)", 0 },
  { "csv", 'c', "FILE", 0, "Write the figures to FILE (RWF_CSV)", 0 },
  { NULL, 0, NULL, 0, NULL, 0 },
};

static const struct load_env environment[]
    = { { 's', "RWF_SEED" },    { 'r', "RWF_RATE" }, { 't', "RWF_SECONDS" },
        { 'p', "RWF_PROFILE" }, { 'c', "RWF_CSV" },  { 0, NULL } };

static error_t
parse (int key, char *arg, struct argp_state *state)
{
  struct settings *settings = state->input;

  switch (key)
    {
    case 's':
      settings->seed = load_number ("--seed", arg, 0, INT64_MAX);
      return 0;
    case 'r':
      settings->rate = load_number ("--rate", arg, 1, 1000000);
      return 0;
    case 't':
      settings->seconds = load_number ("--seconds", arg, 3, 600);
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
  "Compare three designs of admission control on one target in virtual time, "
  "warm and after a restart: each daemon alone, credits granted by one "
  "holder, and one holder that relays.",
  NULL,
  NULL,
  NULL
};

struct row
{
  enum sim_design design;
  const char *name;
};

static const struct row rows[] = { { SIM_INDEPENDENT, "independent" },
                                   { SIM_CREDITS, "credits" },
                                   { SIM_RELAY, "relay" } };

static void
configure (struct sim_config *config, const struct settings *settings,
           const struct mdl_profile *profile, enum sim_design design,
           bool cold)
{
  sim_config_init (config, profile, &profile->service[0]);
  config->design = design;
  config->seed = (uint64_t)settings->seed;
  config->shards = 1;
  config->replicas = 1;
  config->hedge = false;
  config->class_configs[0].rate = (double)settings->rate;
  config->measure_from = cold ? RESTART_AT + RESTART_DOWN : WARM_UP;
  config->start_warm = true;
  config->restart_at = cold ? RESTART_AT : 0;
  config->restart_down = RESTART_DOWN;
  config->arrivals_until = config->measure_from + settings->seconds * RW_SEC;
}

static void
print_row (FILE *csv, const char *design, const char *state,
           const struct sim_config *config, const struct sim_result *result)
{
  const struct sim_class_result *r = &result->class_results[0];
  double peak = result->peak_permille / 1000.0;
  double goodput = sim_goodput (config, result, 0);
  double answered
      = r->offered != 0 ? 100.0 * (double)r->complete / (double)r->offered : 0;
  double p99 = (double)rw_hist_quantile (&r->latency, 0.99) / RW_MSEC;

  printf ("%-12s %-5s %8.2f %6llu %9.0f %9.1f %8.1f %7d/%d\n", design, state,
          peak, (unsigned long long)result->crashes, goodput, answered, p99,
          result->peak_connections, config->searcher.max_connections);
  if (csv != NULL)
    fprintf (csv, "%s,%s,%.3f,%llu,%.1f,%.2f,%.2f,%d\n", design, state, peak,
             (unsigned long long)result->crashes, goodput, answered, p99,
             result->peak_connections);
}

static void
compare (const struct settings *settings, const struct mdl_profile *profile,
         FILE *csv)
{
  static struct sim_result result;
  struct sim_config config;

  printf (
      "%lld parts/s to one target of %s, %d daemons, seed %lld, %lld s\n\n",
      (long long)settings->rate, profile->name, profile->entry_vms,
      (long long)settings->seed, (long long)settings->seconds);
  printf ("%-12s %-5s %8s %6s %9s %9s %8s %10s\n", "design", "state", "peak",
          "falls", "goodput/s", "in time %", "p99 ms", "connections");
  if (csv != NULL)
    fputs ("design,state,peak,falls,goodput,in_time,p99_ms,connections\n",
           csv);
  for (int cold = 0; cold < 2; cold++)
    for (size_t i = 0; i < RW_ARRAY_LEN (rows); i++)
      {
        configure (&config, settings, profile, rows[i].design, cold != 0);
        sim_run (&config, &result);
        print_row (csv, rows[i].name, cold != 0 ? "cold" : "warm", &config,
                   &result);
      }
  puts ("\npeak: highest concurrency divided by the capacity of the target");
}

/* Runs "rwfload admission"; returns an exit status.  */
int
load_admission (int argc, char **argv)
{
  struct settings settings = { 1, 500, 20, "gauteng", NULL };
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
  compare (&settings, profile, csv);
  return csv != NULL && fclose (csv) != 0 ? 1 : 0;
}
