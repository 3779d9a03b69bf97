#include "route.h"
#include "unit.h"

#define TARGET_COUNT 6
#define SHARD_COUNT 2

struct fixture
{
  struct rte_estimate estimates[TARGET_COUNT];
  struct rte_target targets[TARGET_COUNT];
  uint32_t replicas[SHARD_COUNT][TARGET_COUNT];
  struct rte_shard shards[SHARD_COUNT];
  bool dc_out[2];
  struct rte_view view;
  struct rw_rng rng;
};

/* Builds a view in which shard 0 has the first COUNT targets.  The targets
   alternate between two data centres.  */
static void
setup (struct fixture *f, size_t count, uint64_t seed)
{
  memset (f, 0, sizeof *f);
  rw_rng_init (&f->rng, seed);
  for (uint32_t i = 0; i < TARGET_COUNT; i++)
    {
      rte_estimate_init (&f->estimates[i], 0);
      f->targets[i].estimate = &f->estimates[i];
      f->targets[i].dc = i % 2;
      f->replicas[0][i] = i;
    }
  f->shards[0] = (struct rte_shard){ f->replicas[0], count };
  f->view = (struct rte_view){ f->targets,  TARGET_COUNT, f->shards,
                               SHARD_COUNT, f->dc_out,    2 };
}

/* Guards against work for a target that is leaving or whose data centre is
   out (P4, P8), also when it is the fastest or the only one.  */
TEST (out_or_leaving_target_is_not_chosen)
{
  struct fixture f;

  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      struct rw_rng rng;

      setup (&f, TARGET_COUNT, seed);
      rw_rng_init (&rng, seed + 1000);
      f.dc_out[0] = rw_rng_below (&rng, 2) != 0;
      f.dc_out[1] = rw_rng_below (&rng, 2) != 0;
      for (size_t i = 0; i < TARGET_COUNT; i++)
        f.targets[i].leaving = rw_rng_below (&rng, 2) != 0;
      for (int n = 0; n < 50; n++)
        {
          uint32_t t = rte_choose_replica (&f.view, 0, NULL, 0, &f.rng, 0);
          uint32_t first = rte_first_replica (&f.view, 0, NULL, 0);

          assert_int_equal (t == RTE_NONE, first == RTE_NONE);
          if (t == RTE_NONE)
            continue;
          assert_false (f.targets[t].leaving);
          assert_false (f.dc_out[f.targets[t].dc]);
          assert_false (f.targets[first].leaving);
          assert_false (f.dc_out[f.targets[first].dc]);
        }
    }
}

/* Guards against a retry to a tried replica while an untried one is usable,
   and against one to an excluded replica.  */
TEST (tried_replicas_are_chosen_last)
{
  struct fixture f;
  struct rte_tried tried[]
      = { { 0, false }, { 1, false }, { 2, true }, { 0, false } };

  setup (&f, 4, 1);
  for (int n = 0; n < 100; n++)
    assert_int_equal (rte_choose_replica (&f.view, 0, tried, 4, &f.rng, 0), 3);
  f.targets[3].leaving = true;
  for (int n = 0; n < 100; n++)
    assert_in_range (rte_choose_replica (&f.view, 0, tried, 4, &f.rng, 0), 0,
                     1);
  f.dc_out[0] = f.dc_out[1] = true;
  assert_int_equal (rte_choose_replica (&f.view, 0, tried, 4, &f.rng, 0),
                    RTE_NONE);
  assert_int_equal (
      rte_choose_replica (&f.view, SHARD_COUNT, NULL, 0, &f.rng, 0), RTE_NONE);
}

/* Guards against a choice that ignores latency, failures, refusals, the delay
   to the holder or the parts in flight: each alone must change the choice.  */
TEST (replica_with_lower_expected_time_is_chosen)
{
  struct fixture f;

  for (int factor = 0; factor < 5; factor++)
    {
      setup (&f, 2, 1);
      rte_on_latency (&f.estimates[0], 3 * RW_MSEC, 1);
      rte_on_latency (&f.estimates[1], 3 * RW_MSEC, 1);
      if (factor == 0)
        rte_on_latency (&f.estimates[0], 30 * RW_MSEC, 1);
      else if (factor == 1)
        rte_on_failure (&f.estimates[0], 1);
      else if (factor == 2)
        rte_on_refusal (&f.estimates[0], 50 * RW_MSEC, 1);
      else if (factor == 3)
        rte_set_one_way_delay (&f.estimates[0], 2 * RW_MSEC);
      else
        rte_on_send (&f.estimates[0]);
      for (int n = 0; n < 50; n++)
        assert_int_equal (rte_choose_replica (&f.view, 0, NULL, 0, &f.rng, 1),
                          1);
    }
}

/* Guards against a target that is never chosen again after failures, a
   refusal and slow parts: its expected time must fall again.  */
TEST (expected_time_recovers)
{
  struct rte_estimate e;
  rw_time initial_time;

  rte_estimate_init (&e, 0);
  rte_on_latency (&e, 2 * RW_MSEC, 1);
  initial_time = rte_expected_time (&e, 1);
  rte_on_failure (&e, 1);
  rte_on_refusal (&e, 100 * RW_MSEC, 1);
  rte_on_unfinished (&e, 60 * RW_MSEC, 1);
  assert_true (rte_expected_time (&e, 1) > initial_time + 100 * RW_MSEC);
  assert_true (rte_expected_time (&e, 10 * RW_SEC) <= initial_time);
  rte_on_unfinished (&e, 1, 1);
  assert_true (e.latency > 2 * RW_MSEC);
  rte_estimate_init (&e, 0);
  rte_on_latency (&e, 2 * RW_MSEC, 1);
  for (int i = 0; i < 1000; i++)
    rte_on_failure (&e, RW_SEC);
  assert_true (rte_expected_time (&e, RW_SEC) > 20 * RW_MSEC);
  assert_true (rte_expected_time (&e, 3 * RW_SEC) <= 6 * RW_MSEC);
}

/* Guards against an uneven choice among replicas with equal expected times. */
TEST (equal_replicas_are_chosen_equally)
{
  struct fixture f;
  int choices[TARGET_COUNT] = { 0 };

  setup (&f, TARGET_COUNT, 7);
  for (int n = 0; n < 6000; n++)
    choices[rte_choose_replica (&f.view, 0, NULL, 0, &f.rng, 0)]++;
  for (size_t i = 0; i < TARGET_COUNT; i++)
    assert_in_range (choices[i], 850, 1150);
}

/* Guards against two entry daemons choosing different targets for one key of
   a once request while nothing has failed.  */
TEST (once_requests_agree_on_the_target)
{
  struct fixture f;
  uint32_t tried[] = { 0, 1 };

  setup (&f, 3, 1);
  assert_int_equal (rte_first_replica (&f.view, 0, NULL, 0), 0);
  assert_int_equal (rte_first_replica (&f.view, 0, tried, 2), 2);
  f.targets[2].leaving = true;
  assert_int_equal (rte_first_replica (&f.view, 0, tried, 2), RTE_NONE);
  assert_int_equal (rte_shard_of (&f.view, RW_LIT ("key-1")),
                    rte_shard_of (&f.view, RW_LIT ("key-1")));
  assert_in_range (rte_shard_of (&f.view, RW_LIT ("key-2")), 0,
                   SHARD_COUNT - 1);
}

/* Guards against parts that are sent to a dead or wrong holder repeatedly,
   against a part that alternates between two members that name each other, and
   against a correction that does not expire.  */
TEST (not_holder_answers_change_the_holder)
{
  struct rte_candidate c[] = { { 11, true }, { 12, true }, { 13, true } };
  struct rte_correction correction;
  rw_time now = RW_SEC;

  rte_correction_init (&correction);
  assert_int_equal (rte_choose_holder (c, 3, &correction, now), 0);
  c[0].alive = false;
  assert_int_equal (rte_choose_holder (c, 3, &correction, now), 1);
  rte_on_not_holder (&correction, 12, 13, now);
  assert_int_equal (rte_choose_holder (c, 3, &correction, now), 2);
  c[0].alive = true;
  assert_int_equal (rte_choose_holder (c, 3, &correction, now), 2);
  rte_on_not_holder (&correction, 13, 12, now);
  assert_int_equal (rte_choose_holder (c, 3, &correction, now), 0);
  rte_on_not_holder (&correction, 11, 0, now);
  assert_int_equal (rte_choose_holder (c, 3, &correction, now), 0);
  now += RTE_CORRECTION_TIME;
  rte_on_not_holder (&correction, 11, 13, now);
  assert_int_equal (rte_choose_holder (c, 3, &correction, now), 2);
  assert_int_equal (
      rte_choose_holder (c, 3, &correction, now + RTE_CORRECTION_TIME), 0);
  c[0].alive = c[1].alive = c[2].alive = false;
  assert_int_equal (rte_choose_holder (c, 3, &correction, now), 0);
  assert_int_equal (rte_choose_holder (c, 0, &correction, now), RTE_NONE);
}
