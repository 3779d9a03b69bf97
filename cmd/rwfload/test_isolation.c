#include "overload.h"

#include <setjmp.h>
#include <stdarg.h>

#include <cmocka.h>

/* Guards against stragglers of an overloading class that occupy the slots that
   another class needs.  The rates are based on the capacity that
   "rwfload overload" finds with 1% stragglers.  */
static void
stragglers_of_one_class_spare_the_other (void **state)
{
  const struct mdl_profile *profile = mdl_profile (RW_LIT ("gauteng"));
  struct sim_config config;
  static struct sim_result result;
  rw_time alone;
  rw_time loaded;

  (void)state;
  sim_config_init (&config, profile, &profile->service[0]);
  config.start_warm = true;
  config.measure_from = RW_SEC / 2;
  config.arrivals_until = RW_SEC;
  config.class_count = 2;
  config.class_configs[0].rate = 500;
  sim_run (&config, &result);
  alone = rw_hist_quantile (&result.class_results[0].latency, 0.99);
  config.class_configs[1].rate = 10000;
  sim_run (&config, &result);
  loaded = rw_hist_quantile (&result.class_results[0].latency, 0.99);
  print_message ("p99 alone %ld us, loaded %ld us\n", (long)alone,
                 (long)loaded);
  assert_true ((double)loaded <= 1.2 * (double)alone);
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (stragglers_of_one_class_spare_the_other),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
