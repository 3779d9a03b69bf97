#include "query.h"
#include "tiers.h"
#include "unit.h"

struct tier_results
{
  struct tie_result naive;     /* answers at the deadline */
  struct tie_result unlimited; /* waits for all parts */
  struct tie_result ours;
};

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole != 0 ? (double)part / (double)whole : 0.0;
}

static double
p99_ratio (const struct tier_results *results)
{
  return (double)rw_hist_quantile (&results->ours.latency, 0.99)
         / (double)rw_hist_quantile (&results->naive.latency, 0.99);
}

static void
run (const char *profile, uint64_t seed, double load, unsigned int disabled,
     struct tier_results *results)
{
  const struct mdl_profile *p = mdl_profile (rw_str_from (profile));
  struct tie_config config = { .profile = p,
                               .service = &p->service[0],
                               .load = load,
                               .warm_up = 3 * RW_SEC,
                               .duration = 4 * RW_SEC,
                               .hedge_percent = 5.0,
                               .disabled_mechanisms = disabled,
                               .seed = seed };

  tie_run (&config, TIE_NAIVE, &results->unlimited);
  tie_run (&config, TIE_NAIVE_DEADLINE, &results->naive);
  tie_run (&config, TIE_OURS, &results->ours);
  print_message (
      "%s seed %u load %.1f disabled %#x: queries %u p99 ratio %.3f extra "
      "%.4f coverage %.6f naive %.6f concurrency %d\n",
      profile, (unsigned)seed, load, disabled, (unsigned)results->ours.queries,
      p99_ratio (results),
      ratio (results->ours.extra_sends, results->ours.first_sends),
      ratio (results->ours.covered, results->ours.shards),
      ratio (results->naive.covered, results->naive.shards),
      results->ours.peak_permille);
}

/* Guards against a tail latency dominated by stragglers, and against a tier
   that lowers it at the cost of extra load, coverage or overload.  */
TEST (bounds_are_met)
{
  static const char *const profiles[] = { "gauteng", "seoul" };
  struct tier_results *results = malloc (sizeof *results);

  for (uint64_t seed = 1; seed <= 2; seed++)
    for (size_t i = 0; i < RW_ARRAY_LEN (profiles); i++)
      {
        run (profiles[i], seed, 0.5, 0, results);
        assert_true (results->ours.queries > 2000);
        assert_int_equal (results->ours.queries, results->naive.queries);
        assert_true (p99_ratio (results) <= 0.35);
        assert_true (results->ours.extra_sends * 100
                     <= results->ours.first_sends * 5);
        assert_true (results->naive.covered <= results->ours.covered);
        assert_true (results->unlimited.covered <= results->ours.covered);
        assert_true (results->ours.peak_permille <= 1000);
      }
  free (results);
}

/* Guards against a workload on which bounds_are_met passes without hedges.  */
TEST (tail_needs_hedges)
{
  struct tier_results *results = malloc (sizeof *results);

  run ("gauteng", 1, 0.5, QRY_MECH_HEDGE, results);
  assert_true (p99_ratio (results) > 0.35);
  free (results);
}

/* Guards against extra load after a service has become slow: until the
   estimate of the 95th percentile rises, hedges without a retry budget would
   add load.  */
TEST (extra_load_needs_the_budget)
{
  const struct mdl_profile *p = mdl_profile (RW_LIT ("gauteng"));
  struct tie_result *r = malloc (sizeof *r);
  struct tie_config config = { .profile = p,
                               .service = &p->service[0],
                               .load = 0.3,
                               .duration = 3 * RW_SEC,
                               .straggler_change_at = RW_SEC,
                               .new_straggler_share = 0.3,
                               .hedge_percent = 5.0,
                               .seed = 1 };
  double with;
  double without;

  tie_run (&config, TIE_OURS, r);
  with = ratio (r->extra_sends, r->first_sends);
  config.disabled_mechanisms = QRY_MECH_BUDGET;
  tie_run (&config, TIE_OURS, r);
  without = ratio (r->extra_sends, r->first_sends);
  print_message ("30%% slow: extra %.4f, without the budget %.4f\n", with,
                 without);
  assert_true (with <= 0.05);
  assert_true (without > 0.05);
  free (r);
}

/* Guards against partial answers while a holder is replaced, which takes 2.4 s
   (section 5 of the design page): each part for its targets would take a token
   of the retry budget.  */
TEST (coverage_survives_a_change_of_holder)
{
  const struct mdl_profile *p = mdl_profile (RW_LIT ("gauteng"));
  struct tie_result *r = malloc (sizeof *r);
  struct tie_config config = { .profile = p,
                               .service = &p->service[0],
                               .load = 0.2,
                               .warm_up = 3 * RW_SEC,
                               .duration = 2400 * RW_MSEC,
                               .hedge_percent = 5.0,
                               .no_holder_from = 3 * RW_SEC,
                               .no_holder_until = 5400 * RW_MSEC,
                               .seed = 1 };
  double covered;

  tie_run (&config, TIE_OURS, r);
  covered = ratio (r->covered, r->shards);
  print_message ("change of holder: coverage %.6f extra %.4f p99 %.2f ms\n",
                 covered, ratio (r->extra_sends, r->first_sends),
                 (double)rw_hist_quantile (&r->latency, 0.99) / 1000);
  assert_true (covered >= 0.999);
  assert_true (r->extra_sends * 100 <= r->first_sends * 5);
  free (r);
}
