#include "compare.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>

#include "load.h"
#include "tiers.h"

#define EXIT_USAGE 64
#define WARM_UP (3 * RW_SEC)

struct options
{
  const char *profile;
  int64_t seed;
  int64_t seconds;
  int64_t load;
  bool csv;
};

static const struct argp_option option_table[]
    = { { "profile", 'p', "NAME", 0, "gauteng or seoul (RWF_PROFILE)", 0 },
        { "seed", 's', "N", 0, "seed of the workload, 1 (RWF_SEED)", 0 },
        { "seconds", 't', "N", 0, "counted virtual time, 30 (RWF_SECONDS)",
          0 },
        { "load", 'l', "PERCENT", 0,
          "share of the warm slots in use, 50 (RWF_LOAD)", 0 },
        { "csv", 'c', NULL, 0, "comma-separated output", 0 },
        { 0 } };

static const struct load_env env_table[] = { { 'p', "RWF_PROFILE" },
                                             { 's', "RWF_SEED" },
                                             { 't', "RWF_SECONDS" },
                                             { 'l', "RWF_LOAD" },
                                             { 0, NULL } };

static error_t
parse (int option, char *value, struct argp_state *state)
{
  struct options *options = state->input;

  switch (option)
    {
    case 'p':
      options->profile = value;
      break;
    case 's':
      options->seed = load_number ("--seed", value, 0, INT32_MAX);
      break;
    case 't':
      options->seconds = load_number ("--seconds", value, 1, 3600);
      break;
    case 'l':
      options->load = load_number ("--load", value, 1, 100);
      break;
    case 'c':
      options->csv = true;
      break;
    default:
      return ARGP_ERR_UNKNOWN;
    }
  return 0;
}

static const char *const tier_names[]
    = { [TIE_NAIVE] = "naive",
        [TIE_NAIVE_DEADLINE] = "naive-deadline",
        [TIE_OURS] = "ours" };

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole != 0 ? (double)part / (double)whole : 0.0;
}

static double
quantile_ms (const struct tie_result *result, double q)
{
  return (double)rw_hist_quantile (&result->latency, q) / (double)RW_MSEC;
}

static void
print_row (const struct options *options, const struct tie_config *config,
           enum tie_kind kind, const struct tie_result *r)
{
  printf (options->csv
              ? "%s,%s,%lld,%lld,%.0f,%llu,%.2f,%.2f,%.2f,%.6f,%.6f,%.4f,"
                "%.3f\n"
              : "%-8s %-15s %5lld %5lld %6.0f %8llu %7.2f %7.2f %7.2f "
                "%9.6f %9.6f %7.4f %6.3f\n",
          config->profile->name, tier_names[kind], (long long)options->seed,
          (long long)options->load, tie_rate (config),
          (unsigned long long)r->queries, quantile_ms (r, 0.5),
          quantile_ms (r, 0.99), quantile_ms (r, 0.999),
          ratio (r->covered, r->shards), ratio (r->covered_in_time, r->shards),
          ratio (r->extra_sends, r->first_sends),
          (double)r->peak_permille / 1000.0);
}

static void
print_header (const struct options *options)
{
  if (options->csv)
    puts ("profile,tier,seed,load_pct,queries_per_s,queries,p50_ms,p99_ms,"
          "p999_ms,coverage,coverage_in_time,extra,concurrency");
  else
    printf ("%-8s %-15s %5s %5s %6s %8s %7s %7s %7s %9s %9s %7s %6s\n",
            "profile", "tier", "seed", "load%", "q/s", "queries", "p50 ms",
            "p99 ms", "p99.9", "coverage", "in time", "extra", "conc.");
}

/* Prints the ratios that have bounds and returns whether all bounds are met.
   The reference is the lower p99 and the higher coverage of the two naive
   tiers; coverage counts only answers by the deadline.  */
static bool
print_bounds (const struct options *options, const struct tie_result *results)
{
  const struct tie_result *ours = &results[TIE_OURS];
  double naive_covered = 0;
  double naive_p99 = quantile_ms (&results[TIE_NAIVE], 0.99);
  double extra = ratio (ours->extra_sends, ours->first_sends);
  double peak = (double)ours->peak_permille / 1000.0;
  double p99;
  double covered;
  bool met;

  for (int kind = TIE_NAIVE; kind <= TIE_NAIVE_DEADLINE; kind++)
    {
      const struct tie_result *r = &results[kind];

      naive_covered
          = fmax (naive_covered, ratio (r->covered_in_time, r->shards));
      naive_p99 = fmin (naive_p99, quantile_ms (r, 0.99));
    }
  p99 = quantile_ms (ours, 0.99) / naive_p99;
  covered = ratio (ours->covered_in_time, ours->shards) - naive_covered;
  met = p99 <= 0.35 && extra <= 0.05 && covered >= 0 && peak <= 1.0;
  if (!options->csv)
    printf ("ours against the better naive: p99 ratio %.3f (at most 0.35), "
            "extra %.4f (0.05), coverage %+.6f (not below 0), concurrency "
            "%.3f (1.0): %s\n",
            p99, extra, covered, peak, met ? "met" : "NOT MET");
  return met;
}

/* Runs "rwfload compare": compares the tiers on the first service of one
   profile, or of both.  Returns an exit status, 1 if a bound is not met.  */
int
load_compare (int argc, char **argv)
{
  static const struct argp argp
      = { option_table, parse,
          NULL,         "Compares naive tiers with this one in virtual time.",
          NULL,         NULL,
          NULL };
  struct options options = { NULL, 1, 30, 50, false };
  const char *names[] = { "gauteng", "seoul" };
  bool met = true;
  struct tie_result *results = rw_xcalloc (3, sizeof *results);

  if (load_parse (&argp, env_table, argc, argv, &options) != 0)
    return EXIT_USAGE;
  if (options.profile != NULL
      && mdl_profile (rw_str_from (options.profile)) == NULL)
    {
      fprintf (stderr, "rwfload: unknown profile: %s\n", options.profile);
      return EXIT_USAGE;
    }
  print_header (&options);
  for (size_t i = 0; i < RW_ARRAY_LEN (names); i++)
    {
      const struct mdl_profile *profile = mdl_profile (rw_str_from (names[i]));
      struct tie_config config = { .profile = profile,
                                   .service = &profile->service[0],
                                   .load = (double)options.load / 100.0,
                                   .warm_up = WARM_UP,
                                   .duration = options.seconds * RW_SEC,
                                   .hedge_percent = 5.0,
                                   .seed = (uint64_t)options.seed };

      if (options.profile != NULL
          && !rw_str_eq_cstr (rw_str_from (options.profile), names[i]))
        continue;
      for (int kind = TIE_NAIVE; kind <= TIE_OURS; kind++)
        {
          tie_run (&config, (enum tie_kind)kind, &results[kind]);
          print_row (&options, &config, (enum tie_kind)kind, &results[kind]);
        }
      met = print_bounds (&options, results) && met;
    }
  free (results);
  return met ? 0 : 1;
}
