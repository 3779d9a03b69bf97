#include "steer.h"
#include "unit.h"

#define MS RW_MSEC

/* Two targets of one data centre; A takes ten times as long as B.  */
struct fixture
{
  struct ste_fleet fleet;
  struct ste_latency latency;
  struct ste_target *a;
  struct ste_target *b;
  rw_time now;
};

static struct ste_target *
put (struct ste_fleet *fleet, const char *id, int64_t revision)
{
  struct cat_target entry = { .id = rw_str_from (id),
                              .service = RW_LIT ("s"),
                              .host = RW_LIT ("10.0.0.1"),
                              .port = 80,
                              .dc = RW_LIT ("near"),
                              .slots = 2 };
  return ste_put (fleet, &entry, revision, 0);
}

/* A request to TARGET that takes TOOK.  */
static void
exchange (struct fixture *f, struct ste_target *target, rw_time took)
{
  struct ste_send send;
  ste_on_sent (&send, target, &f->latency, f->now);
  f->now += took;
  ste_on_load_report (target, 0, 0, 2, f->now);
  ste_on_result (&send, STE_OK, f->now);
}

static void
begin (struct fixture *f)
{
  struct ste_settings settings = { .dc = rw_hash (RW_LIT ("near")),
                                   .daemon_count = 10,
                                   .leave_time = 2 * RW_SEC };
  ste_init (&f->fleet, &settings, 1);
  f->a = put (&f->fleet, "a", 1);
  f->b = put (&f->fleet, "b", 2);
  ste_latency_init (&f->latency, 150 * MS);
  f->now = RW_SEC;
  for (int i = 0; i < 60; i++)
    {
      exchange (f, f->a, 50 * MS);
      exchange (f, f->b, 5 * MS);
    }
}

static void
end (struct fixture *f)
{
  ste_finish (&f->fleet);
}

UNIT_FIXTURE (begin, end)

static struct ste_target *
pick (struct fixture *f)
{
  return ste_pick (&f->fleet, f->a->service, &f->latency, NULL, 0, f->now);
}

/* Guards against estimates that are learned and not used.  */
TEST_WITH_FIXTURE (the_estimate_counts_in_all_that_depends_on_speed)
{
  assert_true (f->a->service->capacity.unevenness > 0.9);
  assert_ptr_equal (pick (f), f->b);
  assert_true (ste_work_ratio (f->a, f->now)
               > 3 * ste_work_ratio (f->b, f->now));
  assert_true (ste_expected_time (&f->fleet, f->a, &f->latency, f->now)
               > 2 * ste_expected_time (&f->fleet, f->b, &f->latency, f->now));
  assert_true (ste_hedge_factor (f->a, f->now) > 1);
  assert_true (ste_hedge_factor (f->b, f->now) < 1);
}

/* Guards against a fast target that is used against the rules.  */
TEST_WITH_FIXTURE (rules_go_before_the_estimate)
{
  ste_on_limit (&f->fleet, f->b, 0, f->now);
  assert_ptr_equal (pick (f), f->a);
  ste_on_no_limit (f->b, true, f->now + 1);
  assert_ptr_equal (pick (f), f->b);
  ste_hold (f->b, RW_SEC, f->now);
  assert_ptr_equal (pick (f), f->a);
  f->now += 1100 * MS;
  f->b->recovering = false;
  assert_ptr_equal (pick (f), f->b);
  ste_on_leaving (&f->fleet, f->b, f->now);
  assert_ptr_equal (pick (f), f->a);
}

/* Guards against a switch that leaves something in use.  */
TEST_WITH_FIXTURE (the_switch_ends_all_use_of_the_estimate)
{
  ste_set_without_capacity (&f->fleet, true);
  assert_true (ste_hedge_factor (f->a, f->now) == 1);
  assert_true (ste_work_ratio (f->a, f->now) <= f->a->latency_ratio * 1.0001);
  exchange (f, f->a, 50 * MS);
  assert_true (f->a->service->capacity.unevenness == 0);
}
