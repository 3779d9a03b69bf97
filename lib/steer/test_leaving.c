/* Targets that leave, ask to be left alone, or come back in the list of a
   store that was restored from an older copy.  */

#include <math.h>

#include "steer.h"
#include "unit.h"

#define MS RW_MSEC
#define DRAIN_TIME (2 * RW_SEC)
#define ENTRY_LIFETIME (5 * RW_SEC)

struct fixture
{
  struct ste_fleet fleet;
  struct ste_service *service;
  struct ste_latency latency;
  struct ste_target *a;
  struct ste_target *b;
};

static int64_t
revision_in (int64_t era, int64_t number)
{
  int64_t revision;
  assert_int_equal (rw_revision_make (era, number, &revision), 0);
  return revision;
}

static struct cat_target
entry_of (const char *id)
{
  return (struct cat_target){ .id = rw_str_from (id),
                              .service = RW_LIT ("s"),
                              .host = RW_LIT ("10.0.0.1"),
                              .port = 80,
                              .dc = RW_LIT ("near"),
                              .slots = 2,
                              .start_time_ms = 1000 };
}

static void
begin (struct fixture *f)
{
  struct ste_settings settings = { .dc = rw_hash (RW_LIT ("near")),
                                   .daemon_count = 10,
                                   .leave_time = DRAIN_TIME,
                                   .entry_lifetime = ENTRY_LIFETIME };
  struct cat_target a = entry_of ("a");
  struct cat_target b = entry_of ("b");
  ste_init (&f->fleet, &settings, 1);
  f->a = ste_put (&f->fleet, &a, revision_in (1, 1), RW_SEC);
  f->b = ste_put (&f->fleet, &b, revision_in (1, 2), RW_SEC);
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

/* Guards against a time in the past for a target that has left, which callers
   were told as a Retry-After of 100,000 years.  */
TEST_WITH_FIXTURE (a_target_that_has_left_is_never_usable_again)
{
  rw_time now = 10 * RW_SEC;
  ste_on_leaving (&f->fleet, f->a, now);
  ste_mark_replaced (&f->fleet, f->b, now);
  now += DRAIN_TIME;
  assert_false (ste_any_usable (&f->fleet, f->service, now));
  assert_true (isinf (ste_time_until_usable (&f->fleet, f->service, now)));
}

/* Guards against sends to a target that announced in a reply that it leaves:
   another one is there, and later the time is over.  */
TEST_WITH_FIXTURE (a_target_that_announces_that_it_leaves_is_left)
{
  rw_time now = 10 * RW_SEC;
  assert_true (ste_on_leaving (&f->fleet, f->a, now));
  for (int i = 0; i < 50; i++)
    assert_ptr_equal (pick (f, now), f->b);
  assert_true (ste_usable (&f->fleet, f->a, now + DRAIN_TIME - 1));
  assert_false (ste_usable (&f->fleet, f->a, now + DRAIN_TIME));
}

/* Guards against a longer use of a target that announces again and again that
   it leaves, and whose entry says that it is ready, drains, or comes back.  */
TEST_WITH_FIXTURE (an_announced_end_holds_for_the_process)
{
  rw_time now = 10 * RW_SEC;
  struct cat_target entry = entry_of ("a");
  ste_on_leaving (&f->fleet, f->a, now);
  assert_false (ste_on_leaving (&f->fleet, f->a, now + RW_SEC));
  ste_put (&f->fleet, &entry, revision_in (1, 3), now + RW_SEC);
  entry.draining = true;
  ste_put (&f->fleet, &entry, revision_in (1, 4), now + RW_SEC);
  assert_false (ste_usable (&f->fleet, f->a, now + DRAIN_TIME));
  ste_remove (&f->fleet, RW_LIT ("a"), revision_in (1, 5), now + DRAIN_TIME);
  entry.draining = false;
  struct ste_target *back = ste_put (&f->fleet, &entry, revision_in (1, 6),
                                     now + DRAIN_TIME + RW_SEC);
  assert_false (ste_usable (&f->fleet, back, now + DRAIN_TIME + RW_SEC));
  /* The next process of that id is another target.  */
  entry.start_time_ms++;
  struct ste_target *next = ste_put (&f->fleet, &entry, revision_in (1, 7),
                                     now + DRAIN_TIME + RW_SEC);
  assert_true (ste_usable (&f->fleet, next, now + DRAIN_TIME + RW_SEC));
}

/* Guards against sends to a target that asked to be left alone, and against a
   burst at the end of the time.  */
TEST_WITH_FIXTURE (a_held_target_gets_nothing_and_then_one_request)
{
  rw_time now = 10 * RW_SEC;
  struct ste_send first;
  ste_hold (f->a, 1500 * MS, now);
  ste_hold (f->b, 700 * MS, now);
  ste_hold (f->b, 1 * MS, now);
  ste_hold (f->b, -1, now);
  assert_null (pick (f, now + 699 * MS));
  assert_ptr_equal (pick (f, now + 700 * MS), f->b);
  ste_on_sent (&first, f->b, &f->latency, now + 700 * MS);
  assert_null (pick (f, now + 701 * MS));
  ste_on_result (&first, STE_OK, now + 720 * MS);
  assert_ptr_equal (pick (f, now + 721 * MS), f->b);
  ste_on_sent (&first, f->b, &f->latency, now + 721 * MS);
  assert_ptr_equal (pick (f, now + 722 * MS), f->b);
  ste_on_result (&first, STE_OK, now + 730 * MS);
}

/* Guards against a shard that is lost for good, as its targets name times
   without end.  */
TEST_WITH_FIXTURE (a_hold_ends)
{
  rw_time now = 10 * RW_SEC;
  ste_hold (f->a, RW_TIME_NEVER, now);
  ste_hold (f->b, RW_TIME_NEVER, now);
  assert_false (ste_any_usable (&f->fleet, f->service, now + RW_SEC));
  assert_true (
      ste_any_usable (&f->fleet, f->service, now + STE_MAX_HOLD_TIME));
}

/* Guards against refusals that do not tell when the targets take requests
   again.  */
TEST_WITH_FIXTURE (the_time_until_a_service_is_usable_is_known)
{
  rw_time now = 10 * RW_SEC;
  ste_hold (f->a, 1500 * MS, now);
  assert_true (ste_time_until_usable (&f->fleet, f->service, now) == 0);
  ste_hold (f->b, 700 * MS, now);
  assert_true (ste_time_until_usable (&f->fleet, f->service, now + 100 * MS)
               == 600 * MS);
  ste_mark_replaced (&f->fleet, f->a, now);
  ste_mark_replaced (&f->fleet, f->b, now);
  assert_true (isinf (ste_time_until_usable (&f->fleet, f->service, now)));
}

/* Guards against sends to the entry of an ended target that a restored store
   lists again, until the store has had time to drop it.  */
TEST_WITH_FIXTURE (a_gone_target_that_a_restored_store_lists_is_doubtful)
{
  rw_time now = 10 * RW_SEC;
  struct cat_target entry = entry_of ("a");
  ste_remove (&f->fleet, RW_LIT ("a"), revision_in (1, 9), now);
  struct ste_target *back
      = ste_put (&f->fleet, &entry, revision_in (2, 1), now + RW_SEC);
  assert_false (ste_usable (&f->fleet, back, now + RW_SEC));
  assert_false (
      ste_usable (&f->fleet, back, now + RW_SEC + ENTRY_LIFETIME - 1));
  assert_true (ste_usable (&f->fleet, back, now + RW_SEC + ENTRY_LIFETIME));
  /* In the same era a target that is listed again has come back.  */
  ste_remove (&f->fleet, RW_LIT ("a"), revision_in (2, 5), now + 2 * RW_SEC);
  back = ste_put (&f->fleet, &entry, revision_in (2, 6), now + 3 * RW_SEC);
  assert_true (ste_usable (&f->fleet, back, now + 3 * RW_SEC));
}

/* Guards against sends to a leaving target that a restored store lists as
   ready, and against a second drain time when it says again that it leaves. */
TEST_WITH_FIXTURE (a_leaving_target_that_a_restored_store_lists_is_doubtful)
{
  rw_time now = 10 * RW_SEC;
  struct cat_target entry = entry_of ("a");
  entry.draining = true;
  ste_put (&f->fleet, &entry, revision_in (1, 9), now);
  entry.draining = false;
  ste_put (&f->fleet, &entry, revision_in (2, 1), now + RW_SEC);
  assert_false (ste_usable (&f->fleet, f->a, now + RW_SEC));
  entry.draining = true;
  ste_put (&f->fleet, &entry, revision_in (2, 2), now + 1500 * MS);
  assert_false (ste_usable (&f->fleet, f->a, now + DRAIN_TIME));
}

/* Guards against a burst of requests to a cold target whose entry a restored
   store lists from before it was cold.  */
TEST_WITH_FIXTURE (a_cold_target_stays_cold_in_a_restored_store)
{
  rw_time now = 10 * RW_SEC;
  struct cat_target entry = entry_of ("a");
  entry.warmup_left = 8 * RW_SEC;
  ste_put (&f->fleet, &entry, revision_in (1, 9), now);
  entry.warmup_left = 0;
  ste_put (&f->fleet, &entry, revision_in (2, 1), now + RW_SEC);
  assert_int_equal (ste_state_of (f->a, now + 7 * RW_SEC), STE_COLD);
  ste_put (&f->fleet, &entry, revision_in (2, 2), now + 2 * RW_SEC);
  assert_int_equal (ste_state_of (f->a, now + 2 * RW_SEC), STE_HEALTHY);
}

/* Guards against sends to a data centre whose order to leave the store has
   lost, and against a data centre that stays out for good.  */
TEST_WITH_FIXTURE (a_lost_order_to_leave_a_data_centre_holds_for_a_time)
{
  rw_time now = 10 * RW_SEC;
  uint64_t dc = rw_hash (RW_LIT ("near"));
  ste_hold_dc_out (&f->fleet, dc, now);
  assert_false (ste_usable (&f->fleet, f->a, now + STE_DC_HOLD_TIME - 1));
  assert_true (ste_usable (&f->fleet, f->a, now + STE_DC_HOLD_TIME));
  ste_hold_dc_out (&f->fleet, dc, now);
  ste_release_dc (&f->fleet, dc);
  assert_true (ste_usable (&f->fleet, f->a, now));
}

/* Guards against departed targets that take memory without end, and against
   forgetting the recent ones.  */
TEST_WITH_FIXTURE (departed_targets_are_bounded)
{
  rw_time now = 10 * RW_SEC;
  for (int i = 0; i < 3 * STE_MAX_DEPARTED; i++)
    {
      char id[32];
      snprintf (id, sizeof id, "t%d", i);
      struct cat_target entry = entry_of (id);
      ste_put (&f->fleet, &entry, revision_in (1, 10 + 2 * i), now);
      ste_remove (&f->fleet, entry.id, revision_in (1, 11 + 2 * i), now);
    }
  char last[32];
  snprintf (last, sizeof last, "t%d", 3 * STE_MAX_DEPARTED - 1);
  struct cat_target entry = entry_of (last);
  struct ste_target *back
      = ste_put (&f->fleet, &entry, revision_in (2, 1), now);
  assert_false (ste_usable (&f->fleet, back, now));
}
