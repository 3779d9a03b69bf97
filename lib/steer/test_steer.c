#include "steer.h"
#include "unit.h"

#define MS RW_MSEC

struct fixture
{
  struct ste_fleet fleet;
  struct ste_service *service;
  struct ste_latency latency;
  struct ste_target *a; /* in the own data centre */
  struct ste_target *b;
};

static struct ste_target *
put (struct ste_fleet *fleet, const char *id, const char *dc, int64_t revision,
     rw_time now)
{
  struct cat_target entry = { .id = rw_str_from (id),
                              .service = RW_LIT ("s"),
                              .host = RW_LIT ("10.0.0.1"),
                              .port = 80,
                              .dc = rw_str_from (dc),
                              .slots = 2 };
  return ste_put (fleet, &entry, revision, now);
}

static void
begin (struct fixture *f)
{
  struct ste_settings settings = { .dc = rw_hash (RW_LIT ("near")),
                                   .daemon_count = 10,
                                   .leave_time = 2 * RW_SEC };
  ste_init (&f->fleet, &settings, 1);
  f->a = put (&f->fleet, "a", "near", 1, 0);
  f->b = put (&f->fleet, "b", "far", 2, 0);
  f->service = f->a->service;
  ste_latency_init (&f->latency, 150 * MS);
}

static void
end (struct fixture *f)
{
  ste_finish (&f->fleet);
}

UNIT_FIXTURE (begin, end)

static struct ste_target *
pick (struct fixture *f, rw_time now)
{
  return ste_pick (&f->fleet, f->service, &f->latency, NULL, 0, now);
}

/* Sends to TARGET and gets the answer after TOOK.  */
static void
exchange (struct fixture *f, struct ste_target *target, rw_time at,
          rw_time took, enum ste_outcome outcome)
{
  struct ste_send send;
  ste_on_sent (&send, target, &f->latency, at);
  ste_on_result (&send, outcome, at + took);
}

static void
warm_up (struct fixture *f)
{
  for (int i = 0; i < 100; i++)
    {
      exchange (f, f->a, i * 40 * MS, 20 * MS, STE_OK);
      exchange (f, f->b, i * 40 * MS, 20 * MS, STE_OK);
    }
}

#define WARM (4 * RW_SEC)

/* Guards against bytes that cross data centres without need.  */
TEST_WITH_FIXTURE (a_well_target_nearby_is_preferred)
{
  warm_up (f);
  for (int i = 0; i < 50; i++)
    assert_ptr_equal (pick (f, WARM), f->a);
}

/* A pause of 200 ms: guards against later queries that meet the same pause,
   and against a target that is left alone after it.  */
TEST_WITH_FIXTURE (a_paused_target_is_avoided_until_it_answers)
{
  struct ste_send send;
  warm_up (f);
  ste_on_sent (&send, f->a, &f->latency, WARM);
  assert_false (ste_stalled (f->a, WARM + 20 * MS));
  assert_true (ste_stalled (f->a, WARM + 80 * MS));
  assert_ptr_equal (pick (f, WARM + 80 * MS), f->b);
  ste_on_result (&send, STE_OK, WARM + 200 * MS);
  assert_ptr_equal (pick (f, WARM + 201 * MS), f->a);
}

/* One long request of many: guards against taking it for a pause while the
   target answers others.  */
TEST_WITH_FIXTURE (a_long_request_is_not_a_pause)
{
  struct ste_send slow;
  warm_up (f);
  ste_on_sent (&slow, f->a, &f->latency, WARM);
  exchange (f, f->a, WARM + 50 * MS, 20 * MS, STE_OK);
  assert_false (ste_stalled (f->a, WARM + 90 * MS));
  ste_on_result (&slow, STE_OK, WARM + 100 * MS);
}

/* Searchers eight times as slow for seconds: guards against choosing them,
   and against never trying them again.  */
TEST_WITH_FIXTURE (a_slow_target_is_avoided_and_tried_again)
{
  warm_up (f);
  for (int i = 0; i < 5; i++)
    exchange (f, f->a, WARM + i * 200 * MS, 160 * MS, STE_OK);
  assert_ptr_equal (pick (f, WARM + RW_SEC), f->b);
  assert_ptr_equal (pick (f, WARM + 12 * RW_SEC), f->a);
}

/* Good health, failing requests: guards against choosing by health alone.  */
TEST_WITH_FIXTURE (a_failing_target_is_avoided)
{
  warm_up (f);
  for (int i = 0; i < 3; i++)
    exchange (f, f->a, WARM + i * 10 * MS, 2 * MS, STE_FAILED);
  assert_ptr_equal (pick (f, WARM + 40 * MS), f->b);
}

/* A long queue, as the target reports it: guards against sending to it while
   another has free slots.  */
TEST_WITH_FIXTURE (a_full_target_is_avoided)
{
  warm_up (f);
  ste_on_load_report (f->a, 2, 8, 2, WARM);
  assert_ptr_equal (pick (f, WARM + 5 * MS), f->b);
  assert_ptr_equal (pick (f, WARM + RW_SEC), f->a);
}

/* Guards against work for a target that leaves while another is there, and
   past the time until which it serves.  */
TEST_WITH_FIXTURE (a_leaving_target_gets_no_work)
{
  struct cat_target entry = { .id = RW_LIT ("a"),
                              .service = RW_LIT ("s"),
                              .host = RW_LIT ("10.0.0.1"),
                              .port = 80,
                              .dc = RW_LIT ("near"),
                              .draining = true,
                              .slots = 2 };
  ste_put (&f->fleet, &entry, 5, WARM);
  assert_ptr_equal (pick (f, WARM + 1), f->b);
  ste_remove (&f->fleet, RW_LIT ("b"), 6, WARM);
  assert_non_null (pick (f, WARM + RW_SEC));
  assert_null (pick (f, WARM + 2 * RW_SEC));
}

/* A daemon that restarts: guards against work for a target that has been
   leaving for longer than it serves (soak seed 148).  */
TEST_WITH_FIXTURE (a_target_first_seen_leaving_gets_no_work)
{
  struct cat_target entry = { .id = RW_LIT ("c"),
                              .service = RW_LIT ("t"),
                              .host = RW_LIT ("10.0.0.1"),
                              .port = 80,
                              .dc = RW_LIT ("near"),
                              .draining = true,
                              .slots = 2 };
  struct ste_target *c = ste_put (&f->fleet, &entry, 5, WARM);
  assert_false (ste_usable (&f->fleet, c, WARM));
  assert_null (ste_pick (&f->fleet, c->service, &f->latency, NULL, 0, WARM));
}

/* Guards against an old entry that brings a target back.  */
TEST_WITH_FIXTURE (older_entries_are_ignored)
{
  assert_null (put (&f->fleet, "a", "near", 1, 0));
  ste_remove (&f->fleet, RW_LIT ("a"), 1, 0);
  assert_false (f->a->gone);
  ste_remove (&f->fleet, RW_LIT ("a"), 3, 0);
  assert_true (f->a->gone);
}

/* Chooses for each of DAEMONS daemons in four data centres, of which three
   have a target; returns the most that keep one target.  */
static size_t
most_kept (size_t daemons, unsigned int connections, size_t moved_by)
{
  static const char *const dcs[] = { "dc0", "dc1", "dc2", "dc3" };
  size_t kept[3] = { 0 };
  size_t most = 0;
  for (size_t i = 0; i < daemons; i++)
    {
      struct ste_settings settings
          = { .daemon_key = rw_hash_u64 (i + moved_by, 3),
              .dc = rw_hash (rw_str_from (dcs[i % 4])),
              .daemon_count = daemons,
              .shard_sharers = daemons };
      struct ste_fleet fleet;
      struct ste_target *targets[3];
      size_t own = 0;
      ste_init (&fleet, &settings, i + 1);
      for (size_t k = 0; k < 3; k++)
        targets[k] = put (&fleet, dcs[k], dcs[k], (int64_t)k + 1, 0);
      targets[0]->service->max_connections = connections;
      ste_choose_subsets (&fleet, 0);
      for (size_t k = 0; k < 3; k++)
        {
          own += !targets[k]->outside_subset;
          kept[k] += !targets[k]->outside_subset;
        }
      assert_true (own >= 1);
      ste_finish (&fleet);
    }
  for (size_t k = 0; k < 3; k++)
    most = kept[k] > most ? kept[k] : most;
  return most;
}

/* Guards against daemons that together open more connections than a target
   accepts, which resets what is above, with requests in it; and against small
   fleets that do not use what they may.  */
TEST (all_daemons_together_keep_fewer_connections_than_targets_accept)
{
  for (size_t seed = 0; seed < 50; seed++)
    assert_in_range (most_kept (139, 105, seed * 1000), 1, 84);
  assert_int_equal (most_kept (15, 50, 0), 15);
}

/* Guards against a daemon that has no target when those it keeps are
   unwell.  */
TEST_WITH_FIXTURE (a_spare_target_is_used_when_the_others_are_unwell)
{
  warm_up (f);
  f->b->outside_subset = true;
  for (int i = 0; i < 50; i++)
    assert_ptr_equal (pick (f, WARM), f->a);
  ste_back_off (f->a, WARM);
  assert_ptr_equal (pick (f, WARM), f->b);
}

/* Guards against an admission that is counted for another kind of target.  */
TEST_WITH_FIXTURE (the_state_of_a_target_is_what_it_is_counted_as)
{
  struct ste_send send;
  warm_up (f);
  assert_int_equal (ste_state_of (f->a, WARM), STE_HEALTHY);
  f->a->cold_until = WARM + MS;
  assert_int_equal (ste_state_of (f->a, WARM), STE_COLD);
  ste_on_sent (&send, f->b, &f->latency, WARM);
  assert_int_equal (ste_state_of (f->b, WARM + 2 * RW_SEC), STE_STALLED);
  f->a->draining = true;
  assert_int_equal (ste_state_of (f->a, WARM), STE_LEAVING);
  ste_on_result (&send, STE_ABANDONED, WARM + 2 * RW_SEC);
}

/* Guards against requests that wait for a target whose address belongs to
   another one now, and against a target that is never used again.  */
TEST_WITH_FIXTURE (a_replaced_target_gets_no_work_until_it_is_listed_again)
{
  ste_mark_replaced (&f->fleet, f->a, WARM);
  ste_mark_replaced (&f->fleet, f->b, WARM);
  assert_false (ste_any_usable (&f->fleet, f->service, WARM));
  assert_null (pick (f, WARM));
  f->a = put (&f->fleet, "a", "near", 3, WARM);
  assert_true (ste_any_usable (&f->fleet, f->service, WARM));
  assert_ptr_equal (pick (f, WARM), f->a);
}

/* Guards against work in a data centre that operators took out.  */
TEST_WITH_FIXTURE (a_data_centre_out_gets_no_work)
{
  uint64_t near = rw_hash (RW_LIT ("near"));
  uint64_t both[] = { near, rw_hash (RW_LIT ("far")) };
  ste_set_dcs_out (&f->fleet, &near, 1);
  assert_ptr_equal (pick (f, WARM), f->b);
  ste_set_dcs_out (&f->fleet, both, 2);
  assert_null (pick (f, WARM));
  ste_set_dcs_out (&f->fleet, NULL, 0);
  assert_non_null (pick (f, WARM));
}

/* Ten daemons and one cold target: guards against more requests in any second
   than it bears, 1.5 times its rate and 5.  */
TEST (all_daemons_together_spare_a_cold_target)
{
  static rw_time sent[10000];
  size_t count = 0;
  struct ste_fleet fleets[10];
  struct ste_service *services[10];
  struct ste_latency latency;
  ste_latency_init (&latency, 150 * MS);
  for (size_t i = 0; i < 10; i++)
    {
      struct ste_settings settings = { .daemon_count = 10 };
      struct cat_target entry = { .id = RW_LIT ("a"),
                                  .service = RW_LIT ("s"),
                                  .host = RW_LIT ("10.0.0.1"),
                                  .port = 80,
                                  .cold_for = 20 * RW_SEC,
                                  .slots = 2 };
      ste_init (&fleets[i], &settings, i + 1);
      services[i] = ste_put (&fleets[i], &entry, 1, 0)->service;
      services[i]->warmup_limit_per_s = 10;
    }
  for (rw_time now = 0; now < 20 * RW_SEC; now += 5 * MS)
    for (size_t i = 0; i < 10; i++)
      if (ste_pick (&fleets[i], services[i], &latency, NULL, 0, now) != NULL)
        sent[count++] = now;
  assert_in_range (count, 100, 200);
  for (size_t i = 0; i + 20 < count; i++)
    assert_true (sent[i + 20] - sent[i] > RW_SEC);
  for (size_t i = 0; i < 10; i++)
    ste_finish (&fleets[i]);
}

/* An address given to another target: guards against sends to it, and against
   a target that is never tried again.  */
TEST_WITH_FIXTURE (an_unreachable_target_is_tried_after_a_while)
{
  warm_up (f);
  ste_back_off (f->a, WARM);
  assert_ptr_equal (pick (f, WARM + 50 * MS), f->b);
  assert_ptr_equal (pick (f, WARM + 150 * MS), f->a);
  ste_back_off (f->a, WARM + 150 * MS);
  assert_ptr_equal (pick (f, WARM + 260 * MS), f->b);
}

static bool
release (void *arg, struct ste_target *target)
{
  (void)target;
  ++*(size_t *)arg;
  return true;
}

/* Guards against targets that stay in memory for ever, and against one that is
   freed while a request still names it.  */
TEST_WITH_FIXTURE (targets_that_are_gone_are_freed)
{
  size_t released = 0;
  ste_remove (&f->fleet, RW_LIT ("a"), 9, 0);
  ste_sweep (&f->fleet, release, &released, RW_SEC);
  assert_int_equal (released, 0);
  f->a->refs++;
  ste_sweep (&f->fleet, release, &released, 3 * RW_SEC);
  assert_int_equal (released, 0);
  f->a->refs--;
  ste_sweep (&f->fleet, release, &released, 3 * RW_SEC);
  assert_int_equal (released, 1);
  assert_int_equal (f->service->target_count, 1);
}
