#include "model.h"

#include <math.h>
#include "unit.h"

/* Returns a searcher with 2 slots, a fixed service time of 2 ms and no
   stragglers.  */
static struct mdl_config
fixed_time_config (void)
{
  struct mdl_config config
      = mdl_profile (RW_LIT ("gauteng"))->service[0].config;

  config.service_time
      = (struct mdl_time){ .kind = MDL_TIME_FIXED, .u.value = 2 * RW_MSEC };
  config.straggler_share = 0;
  return config;
}

static struct mdl_request
request (rw_time deadline)
{
  return (struct mdl_request){ .parts = 1, .deadline = deadline };
}

/* Guards against a warm searcher that runs more requests than it has slots, or
   loses waiting requests.  */
TEST (warm_searcher_runs_its_slots)
{
  struct mdl_config config = fixed_time_config ();
  struct mdl_searcher s;
  struct mdl_request r[5];
  static const rw_time ends[4] = { 2000, 2000, 4000, 4000 };

  config.shed_at = 4;
  mdl_searcher_init (&s, &config, 1);
  mdl_warm (&s);
  for (size_t i = 0; i < 5; i++)
    {
      r[i] = request (RW_SEC);
      assert_int_equal (mdl_arrive (&s, &r[i], 0),
                        i < 4 ? MDL_ACCEPTED : MDL_SHED);
    }
  assert_int_equal (mdl_load (&s), 200);
  for (size_t i = 0; i < 4; i++)
    {
      assert_int_equal (mdl_next_event (&s), ends[i]);
      assert_null (mdl_next_done (&s, ends[i] - 1));
      assert_ptr_equal (mdl_next_done (&s, ends[i]), &r[i]);
      assert_int_equal (r[i].end, MDL_END_OK);
    }
  assert_int_equal (mdl_next_event (&s), RW_TIME_NEVER);
  assert_int_equal (s.stats.peak_permille, 2000);
}

/* Guards against a cold searcher that accepts more than its capacity, which
   would hide overload in experiments.  */
TEST (cold_searcher_crashes_on_overload)
{
  struct mdl_config config = fixed_time_config ();
  struct mdl_searcher s;
  struct mdl_request r[3]
      = { request (RW_SEC), request (RW_SEC), request (RW_SEC) };
  rw_time now = 100;

  mdl_searcher_init (&s, &config, 1);
  assert_int_equal (mdl_arrive (&s, &r[0], now), MDL_ACCEPTED);
  assert_int_equal (mdl_arrive (&s, &r[1], now), MDL_ACCEPTED);
  assert_ptr_equal (mdl_next_done (&s, now), &r[0]);
  assert_ptr_equal (mdl_next_done (&s, now), &r[1]);
  assert_int_equal (r[0].end, MDL_END_FAILED);
  assert_int_equal (s.stats.crashes, 1);
  assert_int_equal (mdl_arrive (&s, &r[2], now + 1), MDL_DOWN);
  now += config.crash_downtime;
  assert_int_equal (mdl_arrive (&s, &r[2], now), MDL_ACCEPTED);
  assert_int_equal (mdl_next_event (&s), now + 6 * RW_MSEC);
}

/* Serves COUNT requests one after another from *NOW on.  */
static void
serve (struct mdl_searcher *s, int count, rw_time *now)
{
  for (int i = 0; i < count; i++)
    {
      struct mdl_request r = request (RW_TIME_NEVER);

      assert_int_equal (mdl_arrive (s, &r, *now), MDL_ACCEPTED);
      *now = mdl_next_event (s);
      assert_ptr_equal (mdl_next_done (s, *now), &r);
    }
}

/* Guards against a searcher that becomes warm too early or never.  */
TEST (searcher_warms_up_with_requests)
{
  struct mdl_config config = fixed_time_config ();
  struct mdl_searcher s;
  rw_time now = 0;

  config.slots = 4;
  mdl_searcher_init (&s, &config, 1);
  for (int capacity = 1; capacity < 4; capacity++)
    {
      assert_int_equal (mdl_capacity (&s), capacity);
      serve (&s, 7, &now);
      assert_int_equal (mdl_capacity (&s), capacity);
      serve (&s, 1, &now);
    }
  assert_int_equal (mdl_capacity (&s), 4);
  mdl_go_cold (&s, now);
  assert_int_equal (mdl_capacity (&s), 1);
}

/* Guards against attributing overload to callers that cannot detect the cold
   state yet, and against excusing overload after they can detect it.  */
TEST (overload_counts_separately_until_detected)
{
  struct mdl_config config = fixed_time_config ();
  struct mdl_searcher s;
  struct mdl_request a = request (RW_SEC);
  struct mdl_request b = request (RW_SEC);
  rw_time now = 0;

  config.crash_downtime = 0;
  mdl_searcher_init (&s, &config, 1);
  mdl_warm (&s);
  mdl_go_cold (&s, now);
  mdl_arrive (&s, &a, now);
  mdl_arrive (&s, &b, now);
  assert_int_equal (s.stats.peak_permille, 0);
  assert_int_equal (s.stats.peak_permille_undetected, 2000);
  while (mdl_next_done (&s, now) != NULL)
    ;
  mdl_go_cold (&s, now);
  serve (&s, 1, &now);
  now += config.detection_delay;
  mdl_arrive (&s, &a, now);
  mdl_arrive (&s, &b, now);
  assert_int_equal (s.stats.peak_permille, 2000);
}

/* Guards against requests that survive a restart or run past their deadline,
   and against a restart that keeps its incarnation.  */
TEST (requests_end_at_restart_and_deadline)
{
  struct mdl_config config = fixed_time_config ();
  struct mdl_searcher s;
  struct mdl_request r[3]
      = { request (RW_MSEC), request (RW_SEC), request (RW_MSEC + 1) };
  uint64_t incarnation;

  mdl_searcher_init (&s, &config, 1);
  mdl_warm (&s);
  incarnation = s.incarnation;
  for (size_t i = 0; i < 3; i++)
    mdl_arrive (&s, &r[i], 0);
  assert_ptr_equal (mdl_next_done (&s, RW_MSEC), &r[0]);
  assert_int_equal (r[0].end, MDL_END_EXPIRED);
  mdl_cancel (&s, &r[2], RW_MSEC);
  mdl_restart (&s, 100 * RW_MSEC, RW_MSEC);
  assert_ptr_equal (mdl_next_done (&s, RW_MSEC), &r[1]);
  assert_int_equal (r[1].end, MDL_END_FAILED);
  assert_true (s.incarnation != incarnation);
  assert_true (mdl_is_down (&s, 100 * RW_MSEC));
  assert_false (mdl_is_down (&s, 101 * RW_MSEC));
  assert_int_equal (mdl_capacity (&s), 1);
  mdl_set_draining (&s, true);
  assert_int_equal (mdl_arrive (&s, &r[0], 200 * RW_MSEC), MDL_DRAINING);
}

/* Guards against accepting connections beyond the limit.  */
TEST (connections_are_limited)
{
  struct mdl_config config = fixed_time_config ();
  struct mdl_searcher s;

  config.max_connections = 2;
  mdl_searcher_init (&s, &config, 1);
  assert_true (mdl_connect (&s, 0));
  assert_true (mdl_connect (&s, 0));
  assert_false (mdl_connect (&s, 0));
  mdl_disconnect (&s);
  assert_true (mdl_connect (&s, 0));
  assert_int_equal (s.stats.peak_connections, 2);
}

/* Guards against distributions whose mean differs from the configured one,
   which would change the load of every experiment.  */
TEST (times_and_arrivals_have_their_means)
{
  static const struct mdl_time times[]
      = { { .kind = MDL_TIME_FIXED, .u.value = 3000 },
          { .kind = MDL_TIME_EXPONENTIAL, .u.mean = 3000 },
          { .kind = MDL_TIME_LOGNORMAL, .u.lognormal = { 2000, 0.5 } } };
  static const double means[] = { 3000, 3000, 2266 };
  struct mdl_arrivals arrivals;
  struct rw_rng rng;
  int taken[2] = { 0, 0 };

  rw_rng_init (&rng, 1);
  for (size_t i = 0; i < 3; i++)
    {
      double sum = 0;

      for (int n = 0; n < 100000; n++)
        sum += (double)mdl_time_draw (&times[i], &rng);
      assert_true (fabs (sum / 100000 - means[i]) < 0.02 * means[i]);
    }
  mdl_arrivals_init (&arrivals, 2, 5);
  assert_int_equal (mdl_arrivals_next (&arrivals), RW_TIME_NEVER);
  mdl_arrivals_set_rate (&arrivals, 0, 1000, 0);
  mdl_arrivals_set_rate (&arrivals, 1, 3000, 0);
  while (mdl_arrivals_next (&arrivals) < 20 * RW_SEC)
    {
      rw_time at;

      taken[mdl_arrivals_take (&arrivals, &at)]++;
    }
  assert_true (abs (taken[0] - 20000) < 600);
  assert_true (abs (taken[1] - 60000) < 1000);
}

/* Guards against profiles that differ from section 1 of the design page.  */
TEST (profiles_have_the_stated_sizes)
{
  const struct mdl_profile *gauteng = mdl_profile (RW_LIT ("gauteng"));
  const struct mdl_profile *seoul = mdl_profile (RW_LIT ("seoul"));

  assert_null (mdl_profile (RW_LIT ("lima")));
  assert_int_equal (gauteng->one_way_dc, 1500);
  assert_int_equal (seoul->one_way_dc, 1000);
  assert_int_equal (gauteng->service[0].config.max_connections, 50);
  assert_int_equal (seoul->service[0].config.max_connections, 55);
  assert_int_equal (seoul->service[2].config.slots, 3);
  assert_int_equal (seoul->service[2].instances, 5);
  assert_int_equal (gauteng->service[2].config.slots, 4);
}
