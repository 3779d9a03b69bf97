#include "steer.h"
#include "unit.h"

#define MS RW_MSEC

struct fixture
{
  struct ste_fleet fleet;
  struct ste_service *service;
  struct ste_latency latency;
  struct ste_target *a; /* in the daemon's data centre */
  struct ste_target *b; /* in another one */
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

/* A send to TARGET at AT whose result, OUTCOME, arrives TOOK later.  */
static void
exchange (struct fixture *f, struct ste_target *target, rw_time at,
          rw_time took, enum ste_outcome outcome)
{
  struct ste_send send;
  ste_on_sent (&send, target, &f->latency, at);
  ste_on_result (&send, outcome, at + took);
}

/* 100 results of 20 ms from each target; the last send is before WARM.  */
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

/* Guards against traffic between data centres while a healthy target of the
   daemon's data centre is there.  */
TEST_WITH_FIXTURE (a_healthy_target_in_the_same_dc_is_preferred)
{
  warm_up (f);
  for (int i = 0; i < 50; i++)
    assert_ptr_equal (pick (f, WARM), f->a);
}

/* Guards against sends to a target that has stalled, and against avoiding it
   when it answers again.  The target pauses for 200 ms.  */
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

/* Guards against taking one long request for a stall while the target answers
   others.  */
TEST_WITH_FIXTURE (a_long_request_is_not_a_stall)
{
  struct ste_send long_send;
  warm_up (f);
  ste_on_sent (&long_send, f->a, &f->latency, WARM);
  exchange (f, f->a, WARM + 50 * MS, 20 * MS, STE_OK);
  assert_false (ste_stalled (f->a, WARM + 90 * MS));
  ste_on_result (&long_send, STE_OK, WARM + 100 * MS);
}

/* Guards against sends to a target that is 8 times as slow as usual for
   seconds, and against never trying it again.  */
TEST_WITH_FIXTURE (a_slow_target_is_avoided_and_tried_again)
{
  warm_up (f);
  for (int i = 0; i < 5; i++)
    exchange (f, f->a, WARM + i * 200 * MS, 160 * MS, STE_OK);
  assert_ptr_equal (pick (f, WARM + RW_SEC), f->b);
  assert_ptr_equal (pick (f, WARM + 12 * RW_SEC), f->a);
}

/* Guards against preferring a target that fails quickly, because only its
   latency counts.  */
TEST_WITH_FIXTURE (a_failing_target_is_avoided)
{
  warm_up (f);
  for (int i = 0; i < 3; i++)
    exchange (f, f->a, WARM + i * 10 * MS, 2 * MS, STE_FAILED);
  assert_ptr_equal (pick (f, WARM + 40 * MS), f->b);
}

/* Guards against sends to a target that reports a long queue while another has
   free slots.  */
TEST_WITH_FIXTURE (a_target_with_a_long_queue_is_avoided)
{
  warm_up (f);
  ste_on_load_report (f->a, 2, 8, 2, WARM);
  assert_ptr_equal (pick (f, WARM + 5 * MS), f->b);
  assert_ptr_equal (pick (f, WARM + RW_SEC), f->a);
}

/* Guards against sends to a leaving target while another is usable, and after
   the leaving time.  */
TEST_WITH_FIXTURE (a_leaving_target_gets_no_sends)
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

/* Guards against sends to a target that may be past its leaving time: a daemon
   that restarts does not know when a leaving target began to leave (soak seed
   148).  */
TEST_WITH_FIXTURE (a_target_first_seen_leaving_gets_no_sends)
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

/* Guards against an outdated list entry that brings a target back, and against
   an outdated removal.  */
TEST_WITH_FIXTURE (older_entries_are_ignored)
{
  assert_null (put (&f->fleet, "a", "near", 1, 0));
  ste_remove (&f->fleet, RW_LIT ("a"), 1, 0);
  assert_false (f->a->gone);
  ste_remove (&f->fleet, RW_LIT ("a"), 3, 0);
  assert_true (f->a->gone);
}

/* Chooses the subsets of DAEMONS daemons in four data centres, three of which
   have one target each.  CONNECTIONS is the limit of a target, and SEED
   changes the daemons' keys.  Returns the largest number of daemons that have
   the same target in their subsets.  */
static size_t
max_daemons_per_target (size_t daemons, unsigned int connections, size_t seed)
{
  static const char *const dcs[] = { "dc0", "dc1", "dc2", "dc3" };
  size_t users[3] = { 0 };
  size_t max = 0;
  for (size_t i = 0; i < daemons; i++)
    {
      struct ste_settings settings
          = { .daemon_key = rw_hash_u64 (i + seed, 3),
              .dc = rw_hash (rw_str_from (dcs[i % 4])),
              .daemon_count = daemons,
              .shard_sharers = daemons };
      struct ste_fleet fleet;
      struct ste_target *targets[3];
      size_t subset_size = 0;
      ste_init (&fleet, &settings, i + 1);
      for (size_t k = 0; k < 3; k++)
        targets[k] = put (&fleet, dcs[k], dcs[k], (int64_t)k + 1, 0);
      targets[0]->service->max_connections = connections;
      ste_choose_subsets (&fleet, 0);
      for (size_t k = 0; k < 3; k++)
        {
          subset_size += !targets[k]->outside_subset;
          users[k] += !targets[k]->outside_subset;
        }
      assert_true (subset_size >= 1);
      ste_finish (&fleet);
    }
  for (size_t k = 0; k < 3; k++)
    max = users[k] > max ? users[k] : max;
  return max;
}

/* Guards against daemons that together open more connections than a target
   accepts: it resets those above the limit, with their requests.  Also guards
   against few daemons that use less of the limit than they may.  In each of 50
   fleets of 139 daemons, the connections to one target may use at most 80% of
   its limit of 105, which is 84.  */
TEST (all_daemons_together_keep_fewer_connections_than_targets_accept)
{
  for (size_t seed = 0; seed < 50; seed++)
    assert_in_range (max_daemons_per_target (139, 105, seed * 1000), 1, 84);
  assert_int_equal (max_daemons_per_target (15, 50, 0), 15);
}

/* Guards against a daemon that never leaves its connection subset, also when
   the targets in it cannot be reached.  */
TEST_WITH_FIXTURE (a_target_outside_the_subset_is_used_if_the_others_fail)
{
  warm_up (f);
  f->b->outside_subset = true;
  for (int i = 0; i < 50; i++)
    assert_ptr_equal (pick (f, WARM), f->a);
  ste_back_off (f->a, WARM);
  assert_ptr_equal (pick (f, WARM), f->b);
}

/* Guards against sends that the metrics count under the wrong state of the
   target.  */
TEST_WITH_FIXTURE (each_state_of_a_target_is_recognised)
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

/* Guards against requests that wait for a target whose address now belongs to
   another one, and against a target that stays unused after it is listed
   again.  */
TEST_WITH_FIXTURE (a_replaced_target_gets_no_sends_until_it_is_listed_again)
{
  ste_mark_replaced (&f->fleet, f->a, WARM);
  ste_mark_replaced (&f->fleet, f->b, WARM);
  assert_false (ste_any_usable (&f->fleet, f->service, WARM));
  assert_null (pick (f, WARM));
  f->a = put (&f->fleet, "a", "near", 3, WARM);
  assert_true (ste_any_usable (&f->fleet, f->service, WARM));
  assert_ptr_equal (pick (f, WARM), f->a);
}

/* Guards against sends to a data centre that operators have taken out of
   service.  */
TEST_WITH_FIXTURE (a_data_centre_out_gets_no_sends)
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

/* Guards against ten daemons that together send more to a cold target in any
   second than it can serve: 1.5 times its warm-up limit of 10, plus 5.  */
TEST (all_daemons_together_keep_the_warm_up_limit)
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
                                  .warmup_left = 20 * RW_SEC,
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

/* Guards against daemons that each save a token for a cold target while others
   are better, and spend all of them at once when those fail: 100 daemons share
   10 requests a second, of which a second may have 20.  */
TEST (a_cold_target_is_needed_by_all_daemons_at_once)
{
  enum
  {
    COUNT = 100
  };
  static struct ste_fleet fleets[COUNT];
  struct ste_service *services[COUNT];
  struct ste_latency latency;
  size_t sent = 0;
  ste_latency_init (&latency, 150 * MS);
  for (size_t i = 0; i < COUNT; i++)
    {
      struct ste_settings settings = { .daemon_count = COUNT };
      struct cat_target entry = { .id = RW_LIT ("cold"),
                                  .service = RW_LIT ("s"),
                                  .host = RW_LIT ("10.0.0.1"),
                                  .port = 80,
                                  .dc = RW_LIT ("a"),
                                  .warmup_left = 60 * RW_SEC,
                                  .slots = 2 };
      ste_init (&fleets[i], &settings, i + 1);
      services[i] = ste_put (&fleets[i], &entry, 1, 0)->service;
      services[i]->warmup_limit_per_s = 10;
      entry.id = RW_LIT ("warm");
      entry.dc = RW_LIT ("b");
      entry.port = 81;
      entry.warmup_left = 0;
      (void)ste_put (&fleets[i], &entry, 2, 0);
      for (rw_time now = 0; now < 30 * RW_SEC; now += RW_SEC)
        (void)ste_pick (&fleets[i], services[i], &latency, NULL, 0, now);
      uint64_t out = rw_hash (RW_LIT ("b"));
      ste_set_dcs_out (&fleets[i], &out, 1);
    }
  for (rw_time now = 30 * RW_SEC; now < 31 * RW_SEC; now += 5 * MS)
    for (size_t i = 0; i < COUNT; i++)
      sent += ste_pick (&fleets[i], services[i], &latency, NULL, 0, now)
              != NULL;
  assert_in_range (sent, 3, 20);
  for (size_t i = 0; i < COUNT; i++)
    ste_finish (&fleets[i]);
}

/* Guards against daemons that all probe the same targets after a start, when
   none has replied yet: 300 daemons, 2 probes each, 40 targets.  */
TEST (probes_spread_over_targets_that_never_replied)
{
  enum
  {
    COUNT = 40
  };
  size_t picked[COUNT] = { 0 };
  for (uint64_t daemon = 1; daemon <= 300; daemon++)
    {
      struct ste_fleet fleet;
      struct ste_settings settings
          = { .daemon_count = 300, .daemon_key = daemon };
      struct ste_target *probed[2];
      ste_init (&fleet, &settings, daemon);
      for (unsigned int i = 0; i < COUNT; i++)
        {
          char id[8];
          snprintf (id, sizeof id, "t%u", i);
          struct cat_target entry = { .id = rw_str_from (id),
                                      .service = RW_LIT ("s"),
                                      .host = RW_LIT ("10.0.0.1"),
                                      .port = (uint16_t)(i + 1),
                                      .slots = 2 };
          (void)ste_put (&fleet, &entry, i + 1, 0);
        }
      assert_int_equal (ste_pick_last_heard (&fleet, probed, 2, 0), 2);
      assert_ptr_not_equal (probed[0], probed[1]);
      picked[probed[0]->port - 1]++;
      picked[probed[1]->port - 1]++;
      /* One that replied comes first.  */
      probed[1]->last_heard = RW_SEC;
      struct ste_target *heard = probed[1];
      (void)ste_pick_last_heard (&fleet, probed, 2, 2 * RW_SEC);
      assert_ptr_equal (probed[0], heard);
      ste_finish (&fleet);
    }
  for (size_t i = 0; i < COUNT; i++)
    assert_in_range (picked[i], 1, 3 * 600 / COUNT);
}

/* Guards against finding out each target of a place that is lost with a
   request of its own, and against leaving a place whose other targets reply.
 */
TEST_WITH_FIXTURE (a_place_is_in_doubt_while_none_of_its_targets_replies)
{
  struct ste_send send;
  warm_up (f);
  assert_false (ste_in_doubt (f->service, WARM));
  ste_back_off (f->a, WARM);
  ste_on_sent (&send, f->b, &f->latency, WARM);
  ste_on_result (&send, STE_OK, WARM + 10 * MS);
  assert_false (ste_in_doubt (f->service, WARM + 40 * MS));
  assert_true (ste_in_doubt (f->service, WARM + 80 * MS));
  /* Without trouble, silence means nothing.  */
  assert_false (ste_in_doubt (f->service, WARM + 10 * RW_SEC));
}

/* Guards against sends to an unreachable target, for example while its address
   belongs to another one, and against never trying it again.  */
TEST_WITH_FIXTURE (an_unreachable_target_is_tried_after_a_backoff)
{
  warm_up (f);
  ste_back_off (f->a, WARM);
  assert_ptr_equal (pick (f, WARM + 50 * MS), f->b);
  assert_ptr_equal (pick (f, WARM + 150 * MS), f->a);
  ste_back_off (f->a, WARM + 150 * MS);
  assert_ptr_equal (pick (f, WARM + 260 * MS), f->b);
}

/* Guards against a queue delay that a single free target does not end, and
   against one that is kept after the queue has gone.  */
TEST_WITH_FIXTURE (the_queue_delay_is_that_of_the_best_target)
{
  warm_up (f);
  for (int i = 0; i < 10; i++)
    {
      ste_on_load_report (f->a, 2, 8, 2, WARM + i * 20 * MS);
      ste_on_load_report (f->b, 2, 4, 2, WARM + i * 20 * MS);
    }
  double delay = ste_queue_delay (&f->fleet, f->service, WARM + 200 * MS);
  assert_in_range ((rw_time)delay, 35 * MS, 45 * MS);
  assert_false (ste_has_room (f->b, WARM + 200 * MS));
  ste_on_load_report (f->b, 1, 0, 2, WARM + 400 * MS);
  delay = ste_queue_delay (&f->fleet, f->service, WARM + 400 * MS);
  assert_in_range ((rw_time)delay, 0, 5 * MS);
  assert_true (ste_has_room (f->b, WARM + 400 * MS));
  assert_in_range (
      (rw_time)ste_queue_delay (&f->fleet, f->service, WARM + 3 * RW_SEC), 0,
      MS);
}

/* Guards against an overload that is not seen by a daemon that sends a target
   few requests a second: each report of a long queue was forgotten before the
   next one.  */
TEST_WITH_FIXTURE (a_queue_that_lasts_is_known_between_rare_reports)
{
  rw_time now = WARM;
  warm_up (f);
  for (int i = 0; i < 12; i++)
    {
      ste_on_load_report (f->a, 2, 100, 2, now);
      now += 350 * MS;
      ste_on_load_report (f->b, 2, 100, 2, now);
      now += 350 * MS;
    }
  assert_true (ste_queue_delay (&f->fleet, f->service, now)
               > 40 * f->service->work.mean);
}

/* Guards against requests that are refused for long after a queue has gone,
   because reports of it were rare.  */
TEST_WITH_FIXTURE (a_queue_known_by_rare_reports_is_forgotten)
{
  rw_time now = WARM;
  warm_up (f);
  for (int i = 0; i < 6; i++, now += 3 * RW_SEC)
    {
      ste_on_load_report (f->a, 2, 100, 2, now);
      ste_on_load_report (f->b, 2, 100, 2, now);
    }
  now -= 3 * RW_SEC;
  assert_true (ste_queue_delay (&f->fleet, f->service, now + 2 * RW_SEC)
               < f->service->work.mean);
  ste_on_load_report (f->a, 2, 0, 2, now + 2 * RW_SEC);
  ste_on_load_report (f->a, 2, 100, 2, now + 5 * RW_SEC);
  assert_true (ste_queue_delay (&f->fleet, f->service, now + 6 * RW_SEC)
               < f->service->work.mean);
}

/* Guards against a service without usable targets that seems free.  */
TEST_WITH_FIXTURE (without_usable_targets_the_queue_delay_is_infinite)
{
  ste_back_off (f->a, WARM);
  ste_back_off (f->b, WARM);
  assert_true (ste_queue_delay (&f->fleet, f->service, WARM + MS) > 1e12);
}

/* Guards against a queue that is not seen while its target is silent.  */
TEST_WITH_FIXTURE (an_old_send_shows_a_queue)
{
  struct ste_send sends[2];
  warm_up (f);
  ste_on_sent (&sends[0], f->a, &f->latency, WARM);
  ste_on_sent (&sends[1], f->b, &f->latency, WARM);
  assert_in_range (
      (rw_time)ste_queue_delay (&f->fleet, f->service, WARM + 30 * MS), 0, MS);
  assert_in_range (
      (rw_time)ste_queue_delay (&f->fleet, f->service, WARM + 140 * MS),
      90 * MS, 110 * MS);
  ste_on_result (&sends[0], STE_OK, WARM + 140 * MS);
  ste_on_result (&sends[1], STE_OK, WARM + 140 * MS);
}

/* Guards against an estimate of the work that includes the wait in queues: an
   overload would then look like slow work.  */
TEST_WITH_FIXTURE (waiting_does_not_count_as_work)
{
  warm_up (f);
  double before = f->service->work.mean;
  for (int i = 0; i < 500; i++)
    {
      ste_on_load_report (f->a, 2, 8, 2, WARM + i * MS);
      exchange (f, f->a, WARM + i * MS, 120 * MS, STE_OK);
    }
  assert_true (f->service->work.mean == before);
  assert_in_range ((rw_time)f->latency.work.mean, 15 * MS, 25 * MS);
}

/* Guards against trust in a target that refuses requests and reports an empty
   queue: the wait then follows from the latency.  */
TEST_WITH_FIXTURE (a_refusal_contradicts_an_empty_queue)
{
  warm_up (f);
  ste_on_load_report (f->a, 1, 0, 2, WARM);
  exchange (f, f->a, WARM - MS, MS, STE_SHED);
  for (int i = 1; i < 20; i++)
    {
      rw_time now = WARM + i * 20 * MS;
      ste_on_load_report (f->a, 1, 0, 2, now);
      exchange (f, f->a, now - 100 * MS, 100 * MS, STE_OK);
    }
  assert_false (ste_has_room (f->a, WARM + 400 * MS));
  ste_on_load_report (f->a, 1, 0, 2, WARM + 12 * RW_SEC);
  assert_true (ste_has_room (f->a, WARM + 12 * RW_SEC));
}

/* Guards against sends to a target that is quiet for longer than expected, but
   not yet for as long as a stalled one.  */
TEST_WITH_FIXTURE (an_overdue_target_is_avoided_before_it_counts_as_stalled)
{
  struct ste_send send;
  warm_up (f);
  ste_on_sent (&send, f->a, &f->latency, WARM);
  assert_false (ste_stalled (f->a, WARM + 36 * MS));
  assert_ptr_equal (pick (f, WARM + 10 * MS), f->a);
  assert_ptr_equal (pick (f, WARM + 36 * MS), f->b);
  ste_on_result (&send, STE_OK, WARM + 40 * MS);
}

/* Guards against small daemons without any retry for a service to which all
   daemons send alike, since a few larger ones send most parts of the shards.
 */
TEST_WITH_FIXTURE (only_the_limits_of_shards_are_shared_unevenly)
{
  f->fleet.settings.daemon_count = 295;
  f->fleet.settings.shard_sharers = 590;
  assert_int_equal (ste_limit_sharers (&f->fleet, f->service), 295);
  f->service->is_shard = true;
  assert_int_equal (ste_limit_sharers (&f->fleet, f->service), 590);
}

/* Guards against a service that is counted as a shard although the
   configuration in force no longer gathers it.  */
TEST_WITH_FIXTURE (a_service_that_is_no_longer_a_shard_is_shared_evenly)
{
  f->fleet.settings.daemon_count = 295;
  f->fleet.settings.shard_sharers = 590;
  f->service->is_shard = true;
  ste_clear_shards (&f->fleet);
  assert_int_equal (ste_limit_sharers (&f->fleet, f->service), 295);
}

/* Guards against a peer that works on slow queries and is taken for one that
   does not answer.  */
TEST_WITH_FIXTURE (progress_ends_a_stall)
{
  struct ste_send send;
  warm_up (f);
  ste_on_sent (&send, f->a, &f->latency, WARM);
  assert_true (ste_stalled (f->a, WARM + 200 * MS));
  ste_on_progress (f->a, WARM + 200 * MS);
  assert_false (ste_stalled (f->a, WARM + 210 * MS));
  ste_on_result (&send, STE_OK, WARM + 300 * MS);
}

/* Guards against a refusal that brings an old report back: the queue of ten
   seconds ago is no longer there.  */
TEST_WITH_FIXTURE (a_refusal_does_not_revive_an_old_report)
{
  warm_up (f);
  ste_on_load_report (f->a, 2, 500, 2, WARM);
  exchange (f, f->a, WARM + 10 * RW_SEC, MS, STE_SHED);
  assert_true (ste_expected_time (&f->fleet, f->a, &f->latency,
                                  WARM + 10 * RW_SEC + 2 * MS)
               < 200 * MS);
}

static bool
release (void *arg, struct ste_target *target)
{
  (void)target;
  ++*(size_t *)arg;
  return true;
}

/* Guards against a memory leak of targets that are gone, and against freeing
   one that a request still refers to.  */
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

/* Guards against an overload that is not seen by daemons which leave the sends
   to peers, and against reports that keep each other alive.  The only target
   of the own data centre is draining.  */
TEST_WITH_FIXTURE (a_delay_that_a_peer_reports_counts_for_a_time)
{
  warm_up (f);
  f->a->draining = true;
  ste_on_delay_report (f->service, 40 * MS, WARM);
  double delay = ste_queue_delay (&f->fleet, f->service, WARM + 50 * MS);
  assert_in_range ((rw_time)delay, 39 * MS, 40 * MS);
  assert_true (ste_own_queue_delay (&f->fleet, f->service, WARM + 50 * MS)
               == 0);
  delay = ste_queue_delay (&f->fleet, f->service, WARM + 2 * RW_SEC);
  assert_in_range ((rw_time)delay, 0, MS);
}

/* Guards against refusals for an overload that a delegate reports, while a
   target of the own data centre, which the delegate does not use, has room. */
TEST_WITH_FIXTURE (a_delay_that_a_peer_reports_leaves_local_targets_free)
{
  warm_up (f);
  ste_on_delay_report (f->service, 400 * MS, WARM);
  assert_true (ste_queue_delay (&f->fleet, f->service, WARM + MS) == 0);
  ste_on_load_report (f->a, 2, 8, 2, WARM + MS);
  double delay = ste_queue_delay (&f->fleet, f->service, WARM + 2 * MS);
  assert_in_range ((rw_time)delay, 20 * MS, 100 * MS);
}

/* Guards against preferring targets of another data centre because their
   queues are not reported here.  */
TEST_WITH_FIXTURE (a_reported_delay_counts_for_targets_of_other_data_centres)
{
  warm_up (f);
  ste_on_load_report (f->a, 2, 3, 2, WARM);
  assert_ptr_equal (pick (f, WARM + MS), f->b);
  ste_on_delay_report (f->service, 200 * MS, WARM);
  assert_ptr_equal (pick (f, WARM + MS), f->a);
}

/* Requests of 220 ms work each for targets in all data centres.  Guards
   against answers of 6,000 bytes that cross between data centres because one
   of two equal targets had a few short requests.  */
TEST_WITH_FIXTURE (long_requests_stay_in_the_data_centre)
{
  struct ste_latency slow;
  ste_latency_init (&slow, 800 * MS);
  for (int i = 0; i < 40; i++)
    {
      struct ste_send near;
      struct ste_send far;
      ste_on_sent (&near, f->a, &slow, i * 600 * MS);
      ste_on_sent (&far, f->b, &slow, i * 600 * MS);
      ste_on_result (&far, STE_OK, (i * 600 + 210) * MS);
      ste_on_result (&near, STE_OK, (i * 600 + 240) * MS);
    }
  rw_time now = 40 * 600 * MS;
  for (int i = 0; i < 50; i++)
    assert_ptr_equal (ste_pick (&f->fleet, f->service, &slow, NULL, 0, now),
                      f->a);
  /* A busy one does not keep them.  */
  ste_on_load_report (f->a, 2, 2, 2, now);
  assert_ptr_equal (ste_pick (&f->fleet, f->service, &slow, NULL, 0, now),
                    f->b);
}

/* Guards against an estimate that leaves out the requests before, those that
   the target reports, or the number of its slots.  */
TEST_WITH_FIXTURE (the_safe_time_covers_the_queue)
{
  double alone = ste_safe_time (f->a, 100.0 * MS, 0, RW_SEC);
  double behind = ste_safe_time (f->a, 100.0 * MS, 22, RW_SEC);
  assert_true (alone >= 100 * MS && alone <= 200 * MS);
  assert_true (behind >= alone + 1000 * MS && behind <= alone + 1200 * MS);
  ste_on_load_report (f->a, 2, 20, 2, RW_SEC);
  assert_true (ste_safe_time (f->a, 100.0 * MS, 0, RW_SEC)
               >= alone + 900 * MS);
}
