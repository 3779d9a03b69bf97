#include "admit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define LONG_TIME (1000 * RW_SEC)

/* A target with its rules, and the parts and exchanges of a test.  */
struct fixture
{
  struct adm_classes classes;
  struct adm_rules rules;
  struct adm_target target;
  struct adm_part parts[256];
  size_t used;
  struct adm_exchange exchanges[256];
  size_t dispatched;
  size_t running; /* exchanges that were dispatched and have not ended */
  rw_time now;
  rw_time lease_end;
};

static void
fixture_init (struct fixture *f, int slots, int cold, int ramp)
{
  memset (f, 0, sizeof *f);
  adm_classes_init (&f->classes);
  f->rules = (struct adm_rules){ slots, 50, cold, ramp, false };
  f->now = RW_SEC;
  f->lease_end = LONG_TIME;
  adm_target_init (&f->target, &f->rules, &f->classes, 0, f->now);
}

static int
enqueue_class (struct fixture *f, rw_time timeout, unsigned int class_id)
{
  struct adm_part *part = &f->parts[f->used++];

  part->item.class_id = class_id;
  part->item.deadline = f->now + timeout;
  part->service = RW_LIT ("partsdesk");
  part->snapshot = RW_LIT ("s1");
  return adm_enqueue (&f->target, part, f->now, f->lease_end);
}

static int
enqueue (struct fixture *f, rw_time timeout)
{
  return enqueue_class (f, timeout, 0);
}

/* Dispatches all exchanges that may run; returns how many run now.  */
static size_t
dispatch_all (struct fixture *f)
{
  while (adm_next_exchange (&f->target, &f->exchanges[f->dispatched], f->now,
                            f->lease_end))
    {
      f->dispatched++;
      f->running++;
    }
  return f->running;
}

static struct adm_outcome
ok_outcome (uint64_t incarnation)
{
  return (struct adm_outcome){ .kind = ADM_OK, .u.ok = { incarnation, -1 } };
}

/* Ends exchange number I, at least ELAPSED after its start.  */
static void
end_exchange (struct fixture *f, size_t i, struct adm_outcome outcome,
              rw_time elapsed)
{
  if (f->exchanges[i].started_at + elapsed > f->now)
    f->now = f->exchanges[i].started_at + elapsed;
  adm_on_done (&f->target, &f->exchanges[i], &outcome, f->now);
  f->running--;
}

/* Runs COUNT exchanges of one part, one after another, each with success.  */
static void
run_successes (struct fixture *f, int count)
{
  for (int i = 0; i < count; i++)
    {
      size_t first = f->dispatched;

      f->used = 0;
      assert_int_equal (enqueue (f, 100 * RW_MSEC), 0);
      f->dispatched = first < 200 ? first : 0;
      first = f->dispatched;
      assert_int_equal (dispatch_all (f), 1);
      end_exchange (f, first, ok_outcome (7), 2 * RW_MSEC);
    }
}

/* Raises the cap to the slots.  */
static void
warm_up (struct fixture *f)
{
  run_successes (f, f->rules.ramp_successes
                        * (f->rules.slots - f->rules.cold_limit));
  assert_int_equal (f->target.cap, f->rules.slots);
  f->used = 0;
  f->dispatched = 0;
}

/* Guards against a cold target that gets more than the cold limit, and against
   a ramp that is too fast.  */
static void
cap_grows_by_one_after_enough_successes (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 4, 1, 8);
  for (int cap = 1; cap < 4; cap++)
    {
      assert_int_equal (f.target.cap, cap);
      run_successes (&f, 7);
      assert_int_equal (f.target.cap, cap);
      run_successes (&f, 1);
    }
  assert_int_equal (f.target.cap, 4);
  run_successes (&f, 20);
  assert_int_equal (f.target.cap, 4);
}

/* Checks that an exchange which ends with OUTCOME marks the target cold for
   REASON, and that the target then gets one exchange with one part.  */
static void
check_cold_sign (struct adm_outcome outcome, rw_time elapsed,
                 enum adm_cold_reason reason)
{
  struct fixture f;

  fixture_init (&f, 2, 1, 8);
  warm_up (&f);
  assert_int_equal (enqueue (&f, 200 * RW_MSEC), 0);
  assert_int_equal (dispatch_all (&f), 1);
  end_exchange (&f, 0, outcome, elapsed);
  assert_int_equal (f.target.cold_reason, reason);
  assert_int_equal (f.target.cap, 1);
  f.now += 50 * RW_MSEC;
  enqueue (&f, 200 * RW_MSEC);
  enqueue (&f, 200 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  assert_int_equal (f.exchanges[1].count, 1);
}

/* Guards against a sign of a cold target that has no effect.  */
static void
each_cold_sign_falls_back (void **state)
{
  (void)state;
  check_cold_sign (ok_outcome (8), 2 * RW_MSEC, ADM_COLD_INCARNATION);
  check_cold_sign ((struct adm_outcome){ .kind = ADM_SHED }, RW_MSEC,
                   ADM_COLD_SHED);
  check_cold_sign ((struct adm_outcome){ .kind = ADM_ERROR }, RW_MSEC,
                   ADM_COLD_FAILED);
  check_cold_sign ((struct adm_outcome){ .kind = ADM_LOST }, RW_MSEC,
                   ADM_COLD_FAILED);
}

/* Warms up a target of 2 slots and ends an exchange with OUTCOME after 30 ms,
   a latency jump.  Checks that the target gets only one exchange with one
   part.  */
static void
dispatch_after_jump (struct fixture *f, struct adm_outcome outcome)
{
  fixture_init (f, 2, 1, 8);
  warm_up (f);
  enqueue (f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (f), 1);
  end_exchange (f, 0, outcome, 30 * RW_MSEC);
  for (int i = 0; i < 3; i++)
    enqueue (f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (f), 1);
  assert_int_equal (f->exchanges[1].count, 1);
}

/* Guards against a latency jump without effect, and against a target that
   stays at the cold limit after each straggler.  */
static void
exchange_after_a_jump_decides (void **state)
{
  static const struct adm_outcome cancelled
      = { .kind = ADM_CANCELLED, .u.cancelled = { true } };
  static const struct adm_outcome expired
      = { .kind = ADM_EXPIRED, .u.expired = { true } };
  struct fixture f;

  (void)state;
  dispatch_after_jump (&f, ok_outcome (7));
  end_exchange (&f, 1, ok_outcome (7), 2 * RW_MSEC);
  assert_int_equal (f.target.cap, 2);
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  assert_int_equal (f.exchanges[2].count, 3);
  dispatch_after_jump (&f, cancelled);
  end_exchange (&f, 1, ok_outcome (7), 6 * RW_MSEC);
  assert_int_equal (f.target.cap, 1);
  assert_int_equal (f.target.cold_reason, ADM_COLD_LATENCY);
  dispatch_after_jump (&f, expired);
  end_exchange (&f, 1, expired, 30 * RW_MSEC);
  assert_int_equal (f.target.cap, 1);
  assert_int_equal (f.target.cold_reason, ADM_COLD_LATENCY);
}

/* Guards against a part with little time left whose expiry marks its target
   cold.  */
static void
short_deadline_is_no_cold_sign (void **state)
{
  static const struct adm_outcome ends[]
      = { { .kind = ADM_EXPIRED, .u.expired = { false } },
          { .kind = ADM_LOST, .u.lost = { true } },
          { .kind = ADM_ERROR } };

  (void)state;
  for (size_t i = 0; i < RW_ARRAY_LEN (ends); i++)
    {
      struct fixture f;

      fixture_init (&f, 2, 1, 8);
      warm_up (&f);
      enqueue (&f, 4 * RW_MSEC);
      assert_int_equal (dispatch_all (&f), 1);
      end_exchange (&f, 0, ends[i], 4 * RW_MSEC);
      assert_int_equal (f.target.cap, 2);
      assert_int_equal (f.target.suspect_since, RW_TIME_NEVER);
      assert_int_equal (f.target.lost_count, i < 2 ? 1 : 0);
    }
}

/* Guards against a ramp that counts answers of exchanges from before the
   fall-back, and against more exchanges than the cold limit when the target
   falls back while exchanges run.  */
static void
answers_from_before_the_fall_back_do_not_count (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 2, 1, 1);
  warm_up (&f);
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 2);
  end_exchange (&f, 0, ok_outcome (8), 2 * RW_MSEC);
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  end_exchange (&f, 1, ok_outcome (8), 2 * RW_MSEC);
  assert_int_equal (f.target.cap, 1);
}

/* Guards against a hint that raises the cap or lowers it to 0.  */
static void
hints_only_lower_the_cap (void **state)
{
  struct fixture f;
  struct adm_hint hint = { .kind = ADM_HINT_LOAD, .u.load = 0 };

  (void)state;
  fixture_init (&f, 4, 2, 4);
  adm_on_hint (&f.target, &hint, f.now);
  assert_int_equal (f.target.cap, 2);
  hint.u.load = 150;
  for (int i = 0; i < 10; i++)
    adm_on_hint (&f.target, &hint, f.now);
  assert_int_equal (f.target.cap, 1);
  hint = (struct adm_hint){ .kind = ADM_HINT_HEALTH, .u.healthy = true };
  adm_on_hint (&f.target, &hint, f.now);
  assert_int_equal (f.target.cap, 1);
  run_successes (&f, 12);
  assert_int_equal (f.target.cap, 4);
  hint.u.healthy = false;
  adm_on_hint (&f.target, &hint, f.now);
  assert_int_equal (f.target.cap, 2);
}

/* Guards against a restart during an idle time that is noticed only after the
   new process got the full load.  */
static void
idle_target_is_confirmed_by_one_exchange (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 2, 1, 8);
  warm_up (&f);
  f.now += 150 * RW_MSEC;
  for (int i = 0; i < 3; i++)
    enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  assert_int_equal (f.exchanges[0].count, 1);
  end_exchange (&f, 0, ok_outcome (7), 2 * RW_MSEC);
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 2);
}

/* Guards against a restart during an idle time that is not noticed because the
   answers name no incarnation.  */
static void
idle_target_without_incarnation_is_cold (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 2, 1, 8);
  warm_up (&f);
  f.now += 150 * RW_MSEC;
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  end_exchange (&f, 0, ok_outcome (0), 2 * RW_MSEC);
  assert_int_equal (f.target.cap, 1);
  assert_int_equal (f.target.cold_reason, ADM_COLD_IDLE);
}

/* Guards against a slot that is reused while the target may still run the
   abandoned exchange.  */
static void
lost_exchange_stays_counted_until_its_deadline (void **state)
{
  static const struct adm_outcome lost
      = { .kind = ADM_LOST, .u.lost = { true } };
  static const struct adm_outcome unsent
      = { .kind = ADM_LOST, .u.lost = { false } };
  struct fixture f;

  (void)state;
  fixture_init (&f, 1, 1, 8);
  enqueue (&f, 60 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  end_exchange (&f, 0, lost, 2 * RW_MSEC);
  enqueue (&f, 300 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 0);
  assert_true (adm_next_wakeup (&f.target)
               <= f.exchanges[0].deadline + ADM_DEADLINE_SLACK);
  f.now = f.exchanges[0].deadline + ADM_DEADLINE_SLACK - 1;
  assert_int_equal (dispatch_all (&f), 0);
  f.now++;
  assert_int_equal (dispatch_all (&f), 1);
  end_exchange (&f, 1, unsent, RW_MSEC);
  f.now += 50 * RW_MSEC;
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
}

/* Guards against a slot that is never freed because the end of its exchange is
   reported late or never.  */
static void
unreported_exchange_is_counted_until_its_deadline (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 1, 1, 8);
  enqueue (&f, 60 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  enqueue (&f, 300 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  f.now = f.exchanges[0].deadline + ADM_DEADLINE_SLACK;
  assert_int_equal (dispatch_all (&f), 2);
  end_exchange (&f, 0, ok_outcome (7), 0);
  enqueue (&f, 300 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
}

/* Guards against exchanges that mix snapshots, shards, services or once
   requests, and against exchanges that are too large.  */
static void
only_matching_parts_share_an_exchange (void **state)
{
  struct fixture f;
  struct adm_exchange *e;

  (void)state;
  fixture_init (&f, 1, 1, 1);
  run_successes (&f, 5);
  f.used = 0;
  f.dispatched = 0;
  for (int i = 0; i < 24; i++)
    {
      struct adm_part *part = &f.parts[f.used++];

      part->item.class_id = i < 20 ? 0U : 1U;
      part->item.deadline = f.now + RW_SEC;
      part->service = i == 1 ? RW_LIT ("other") : RW_LIT ("partsdesk");
      part->snapshot = i == 2 ? RW_LIT ("s2") : RW_LIT ("s1");
      part->shard = i == 3 ? 1 : 0;
      part->once = i == 4;
      assert_int_equal (adm_enqueue (&f.target, part, f.now, f.lease_end), 0);
    }
  assert_int_equal (dispatch_all (&f), 1);
  e = &f.exchanges[0];
  if (e->parts[0]->item.class_id == 1)
    {
      assert_int_equal (e->count, 4);
      end_exchange (&f, 0, ok_outcome (7), RW_MSEC);
      assert_int_equal (dispatch_all (&f), 1);
      e = &f.exchanges[1];
    }
  assert_int_equal (e->count, ADM_BATCH_MAX);
  for (size_t i = 0; i < e->count; i++)
    {
      size_t number = (size_t)(e->parts[i] - f.parts);

      assert_true (number == 0 || number > 4);
      assert_true (number < 20);
      assert_ptr_equal (e->parts[i]->exchange, e);
    }
}

/* Guards against work for a target after the end of the lease, and against
   exchanges whose deadline is after it.  */
static void
nothing_is_admitted_without_a_lease (void **state)
{
  struct fixture f;
  struct adm_part *refused;

  (void)state;
  fixture_init (&f, 1, 1, 8);
  f.lease_end = f.now;
  assert_int_equal (enqueue (&f, 60 * RW_MSEC), RW_E_NOT_HOLDER);
  f.lease_end = f.now + 10 * RW_MSEC;
  assert_int_equal (enqueue (&f, 60 * RW_MSEC), 0);
  assert_int_equal (dispatch_all (&f), 1);
  assert_int_equal (f.exchanges[0].deadline, f.lease_end);
  assert_int_equal (enqueue (&f, 60 * RW_MSEC), 0);
  f.now = f.lease_end;
  end_exchange (&f, 0, ok_outcome (7), 0);
  assert_int_equal (dispatch_all (&f), 0);
  refused = adm_next_refused (&f.target, f.now, f.lease_end);
  assert_ptr_equal (refused, &f.parts[2]);
  assert_int_equal (refused->item.refusal.code, RW_E_NOT_HOLDER);
  assert_null (adm_next_refused (&f.target, f.now, f.lease_end));
}

/* Guards against rules that take effect for new parts only, and against a full
   load for a target that returns to service.  */
static void
rules_take_the_target_out_and_back (void **state)
{
  struct fixture f;
  struct adm_part *refused;

  (void)state;
  fixture_init (&f, 2, 1, 8);
  warm_up (&f);
  for (int i = 0; i < 3; i++)
    {
      enqueue (&f, 100 * RW_MSEC);
      dispatch_all (&f);
    }
  assert_int_equal (f.running, 2);
  f.rules.out = true;
  adm_set_rules (&f.target, &f.rules, f.now);
  refused = adm_next_refused (&f.target, f.now, f.lease_end);
  assert_non_null (refused);
  assert_int_equal (refused->item.refusal.code, RW_E_OUT);
  assert_int_equal (enqueue (&f, 100 * RW_MSEC), RW_E_OUT);
  end_exchange (&f, 0, ok_outcome (7), RW_MSEC);
  end_exchange (&f, 1, ok_outcome (7), RW_MSEC);
  assert_int_equal (dispatch_all (&f), 0);
  f.rules.out = false;
  adm_set_rules (&f.target, &f.rules, f.now);
  assert_int_equal (f.target.cap, 1);
  assert_int_equal (f.target.cold_reason, ADM_COLD_RETURNED);
}

/* Guards against more connections than the rule allows, alone and during a
   hand-over.  */
static void
connections_bound_the_exchanges (void **state)
{
  struct fixture f;
  struct adm_handover handover = { 4, 2, 7, 80 * RW_MSEC };

  (void)state;
  fixture_init (&f, 4, 4, 1);
  f.rules.connections = 3;
  adm_set_rules (&f.target, &f.rules, f.now);
  for (int i = 0; i < 5; i++)
    {
      enqueue (&f, 100 * RW_MSEC);
      dispatch_all (&f);
    }
  assert_int_equal (f.running, 3);
  f.rules.connections = 5;
  adm_set_rules (&f.target, &f.rules, f.now);
  adm_import (&f.target, &handover, f.now);
  assert_int_equal (adm_connection_limit (&f.target, f.now), 1);
  assert_int_equal (adm_connection_limit (&f.target, f.now + RW_SEC), 4);
}

/* Guards against parts that are held until their deadline although they cannot
   be served, and against refusals by an idle target.  */
static void
refuses_at_once_when_the_wait_is_too_long (void **state)
{
  struct fixture f;
  int accepted = 0;
  int code;

  (void)state;
  fixture_init (&f, 1, 1, 1000);
  run_successes (&f, 20);
  f.used = 0;
  f.dispatched = 0;
  while ((code = enqueue (&f, 21 * RW_MSEC)) == 0)
    {
      dispatch_all (&f);
      accepted++;
    }
  assert_int_equal (code, RW_E_DEADLINE);
  assert_true (accepted >= 8 && accepted <= 11);
  assert_true (f.parts[accepted].item.refusal.retry_after > 21 * RW_MSEC);
  assert_int_equal (enqueue (&f, 80 * RW_MSEC), 0);
}

/* Guards against a target that refuses all parts for ever after slow
   exchanges.  */
static void
idle_target_accepts_a_part_despite_its_average (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 1, 1, 8);
  enqueue (&f, RW_SEC);
  dispatch_all (&f);
  end_exchange (&f, 0, ok_outcome (7), 500 * RW_MSEC);
  assert_int_equal (enqueue (&f, 20 * RW_MSEC), 0);
  assert_int_equal (dispatch_all (&f), 1);
}

/* Guards against a queue that keeps parts which can no longer be served in
   time after the target fell back.  */
static void
fall_back_refuses_parts_that_wait_too_long (void **state)
{
  static const struct adm_outcome shed
      = { .kind = ADM_SHED, .u.shed = { 200 * RW_MSEC } };
  struct fixture f;
  int refused = 0;

  (void)state;
  fixture_init (&f, 2, 1, 8);
  warm_up (&f);
  for (int i = 0; i < 30; i++)
    {
      assert_int_equal (enqueue (&f, 60 * RW_MSEC), 0);
      dispatch_all (&f);
    }
  end_exchange (&f, 0, shed, RW_MSEC);
  while (adm_next_refused (&f.target, f.now, f.lease_end) != NULL)
    refused++;
  assert_int_equal (refused, 28);
}

/* Guards against a queue without bound.  */
static void
queue_of_a_class_is_bounded (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 1, 1, 8);
  f.classes.by_id[1].queue_max = 5;
  for (int i = 0; i < 5; i++)
    assert_int_equal (enqueue_class (&f, LONG_TIME, 1), 0);
  assert_int_equal (enqueue_class (&f, LONG_TIME, 1), RW_E_QUEUE_FULL);
  assert_int_equal (enqueue_class (&f, LONG_TIME, 2), 0);
}

/* Guards against cancelled parts that still run, and against exchanges that
   keep pointers to them.  */
static void
cancelled_parts_are_removed (void **state)
{
  struct fixture f;
  struct adm_exchange *exchange;

  (void)state;
  fixture_init (&f, 1, 1, 1);
  run_successes (&f, 3);
  f.used = 0;
  f.dispatched = 0;
  for (int i = 0; i < 3; i++)
    enqueue (&f, 100 * RW_MSEC);
  dispatch_all (&f);
  enqueue (&f, 100 * RW_MSEC);
  assert_int_equal (f.exchanges[0].count, 3);
  assert_int_equal (adm_on_cancel (&f.target, &f.parts[3], &exchange),
                    ADM_CANCEL_REMOVED);
  assert_int_equal (adm_on_cancel (&f.target, &f.parts[0], &exchange),
                    ADM_CANCEL_DETACHED);
  assert_null (f.exchanges[0].parts[0]);
  adm_on_cancel (&f.target, &f.parts[1], &exchange);
  assert_int_equal (adm_on_cancel (&f.target, &f.parts[2], &exchange),
                    ADM_CANCEL_EXCHANGE);
  assert_ptr_equal (exchange, &f.exchanges[0]);
  assert_int_equal (f.target.running_slots, 1);
  assert_int_equal (f.target.queue.len, 0);
}

/* Guards against a failing target that gets new exchanges as fast as it
   fails.  */
static void
failures_in_a_row_pause_the_target (void **state)
{
  static const struct adm_outcome error = { .kind = ADM_ERROR };
  struct fixture f;
  rw_time start;

  (void)state;
  fixture_init (&f, 1, 1, 8);
  start = f.now;
  for (int i = 0; i < 20; i++)
    {
      f.used = 0;
      f.dispatched = 0;
      enqueue (&f, 2 * RW_SEC);
      if (dispatch_all (&f) == 0)
        {
          f.now = adm_next_wakeup (&f.target);
          assert_int_equal (dispatch_all (&f), 1);
        }
      end_exchange (&f, 0, error, RW_MSEC);
    }
  assert_true (f.now - start > 10 * RW_SEC);
  assert_true (f.now - start < 15 * RW_SEC);
}

/* Guards against a successor that uses slots which the predecessor still uses,
   or waits for them for ever.  */
static void
successor_subtracts_what_the_predecessor_runs (void **state)
{
  struct fixture predecessor;
  struct fixture successor;
  struct adm_handover handover;

  (void)state;
  fixture_init (&predecessor, 2, 1, 8);
  fixture_init (&successor, 2, 1, 8);
  warm_up (&predecessor);
  enqueue (&predecessor, 60 * RW_MSEC);
  dispatch_all (&predecessor);
  adm_export (&predecessor.target, &handover, predecessor.now);
  assert_int_equal (handover.cap, 2);
  assert_int_equal (handover.running, 1);
  assert_int_equal (handover.remaining, 60 * RW_MSEC + ADM_DEADLINE_SLACK);
  assert_int_equal (enqueue (&predecessor, 60 * RW_MSEC), RW_E_NOT_HOLDER);
  successor.now = predecessor.now;
  handover.running = 2;
  adm_import (&successor.target, &handover, successor.now);
  enqueue (&successor, 200 * RW_MSEC);
  assert_int_equal (dispatch_all (&successor), 0);
  adm_on_predecessor_slots (&successor.target, 0);
  assert_int_equal (dispatch_all (&successor), 1);
}

/* Guards against a switched-off mechanism that still acts in scenarios.  */
static void
mechanisms_can_be_switched_off (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 4, 1, 8);
  adm_target_init (&f.target, &f.rules, &f.classes,
                   ADM_MECH_RAMP | ADM_MECH_REFUSAL, f.now);
  for (int i = 0; i < 250; i++)
    {
      assert_int_equal (enqueue (&f, 2 * RW_MSEC), 0);
      dispatch_all (&f);
    }
  assert_int_equal (f.running, 4);
}

/* Guards against a gate that lets too many queries run, or keeps a query that
   cannot be answered in time.  */
static void
gate_bounds_running_and_waiting_queries (void **state)
{
  struct adm_classes classes;
  struct adm_gate gate;
  struct adm_query queries[64];
  struct adm_query *started[64];
  size_t running = 0;
  int accepted = 0;
  rw_time now = RW_SEC;

  (void)state;
  memset (queries, 0, sizeof queries);
  adm_classes_init (&classes);
  adm_gate_init (&gate, 4, &classes, 0);
  for (int i = 0; i < 8; i++)
    {
      queries[0].item.deadline = now + RW_SEC;
      assert_int_equal (adm_gate_enter (&gate, &queries[0], now), 0);
      started[0] = adm_gate_next_query (&gate, now);
      now += 10 * RW_MSEC;
      adm_gate_leave (&gate, started[0], now);
    }
  for (size_t i = 0; i < 64; i++)
    {
      queries[i].item.deadline = now + 35 * RW_MSEC;
      accepted += adm_gate_enter (&gate, &queries[i], now) == 0;
      while ((started[running] = adm_gate_next_query (&gate, now)) != NULL)
        running++;
    }
  assert_int_equal (running, 4);
  assert_int_equal (accepted, 10);
  assert_null (adm_gate_next_refused (&gate, now));
  now = adm_gate_next_wakeup (&gate);
  assert_non_null (adm_gate_next_refused (&gate, now));
  adm_gate_leave (&gate, started[0], now);
  assert_int_equal (gate.running, 3);
}

/* Runs ROUNDS rounds.  In each the gate starts as many queries as it allows,
   and each runs for 10 ms; if more than MAX_RUNNING run, every query loses a
   part because of load.  Returns how many queries ran in the last round.  */
static int
run_rounds (struct adm_gate *gate, int rounds, int max_running, rw_time *now)
{
  static struct adm_query queries[400];
  struct adm_query *running[400];
  int count = 0;

  for (int r = 0; r < rounds; r++)
    {
      count = 0;
      for (size_t i = 0; i < 400; i++)
        {
          queries[i] = (struct adm_query){ 0 };
          queries[i].item.deadline = *now + 61 * RW_MSEC;
          adm_gate_enter (gate, &queries[i], *now);
        }
      while ((running[count] = adm_gate_next_query (gate, *now)) != NULL)
        count++;
      *now += 10 * RW_MSEC;
      for (int i = 0; i < count; i++)
        {
          if (count > max_running)
            adm_gate_on_overload (running[i]);
          adm_gate_leave (gate, running[i], *now);
        }
      for (size_t i = 0; i < 400; i++)
        adm_gate_leave (gate, &queries[i], *now);
      while (adm_gate_next_refused (gate, *now) != NULL)
        ;
    }
  return count;
}

/* Guards against a gate that keeps overloading the targets, and against one
   that does not start more queries when the targets can handle more again.  */
static void
gate_adapts_to_target_capacity (void **state)
{
  struct adm_classes classes;
  struct adm_gate gate;
  rw_time now = RW_SEC;

  (void)state;
  adm_classes_init (&classes);
  classes.by_id[0].queue_max = 1000;
  adm_gate_init (&gate, 256, &classes, 0);
  assert_int_equal (run_rounds (&gate, 5, 300, &now), 256);
  run_rounds (&gate, 30, 20, &now);
  for (int i = 0; i < 20; i++)
    {
      int count = run_rounds (&gate, 1, 20, &now);

      assert_true (count >= 15 && count <= 22);
    }
  assert_true (run_rounds (&gate, 300, 100, &now) >= 78);
  run_rounds (&gate, 60, 0, &now);
  assert_int_equal (run_rounds (&gate, 1, 0, &now), 1);
}

/* Guards against stragglers of one class that hold every slot while the parts
   of another class wait.  */
static void
slow_exchange_is_recalled_for_another_class (void **state)
{
  struct adm_exchange *recalled;
  struct fixture f;

  (void)state;
  fixture_init (&f, 1, 1, 1);
  run_successes (&f, 8);
  f.used = f.dispatched = 0;
  assert_int_equal (enqueue_class (&f, 200 * RW_MSEC, 1), 0);
  assert_int_equal (dispatch_all (&f), 1);
  assert_int_equal (enqueue_class (&f, 200 * RW_MSEC, 1), 0);
  f.now += 20 * RW_MSEC;
  assert_null (adm_recall (&f.target, f.now));
  assert_int_equal (enqueue_class (&f, 200 * RW_MSEC, 2), 0);
  assert_true (adm_next_wakeup (&f.target) <= f.now);
  recalled = adm_recall (&f.target, f.now);
  assert_ptr_equal (recalled, &f.exchanges[0]);
  assert_null (f.parts[0].exchange);
  assert_int_equal (f.target.queue.len, 3);

  /* The slot is free when the target has confirmed the end.  The recalled part
     is the first of its class, and is not recalled again.  */
  assert_int_equal (dispatch_all (&f), 1);
  end_exchange (&f, 0,
                (struct adm_outcome){ .kind = ADM_CANCELLED,
                                      .u.cancelled.confirmed = true },
                20 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  end_exchange (&f, 1, ok_outcome (7), 2 * RW_MSEC);
  assert_int_equal (dispatch_all (&f), 1);
  assert_ptr_equal (f.exchanges[2].parts[0], &f.parts[0]);
  f.now += 20 * RW_MSEC;
  assert_null (adm_recall (&f.target, f.now));
  assert_int_equal (f.target.counters.recalled, 1);
}

/* Guards against a once request that is sent again.  */
static void
once_exchange_is_not_recalled (void **state)
{
  struct fixture f;

  (void)state;
  fixture_init (&f, 1, 1, 1);
  run_successes (&f, 8);
  f.used = f.dispatched = 0;
  f.parts[0].once = true;
  assert_int_equal (enqueue_class (&f, 200 * RW_MSEC, 1), 0);
  assert_int_equal (dispatch_all (&f), 1);
  assert_int_equal (enqueue_class (&f, 200 * RW_MSEC, 2), 0);
  f.now += 50 * RW_MSEC;
  assert_null (adm_recall (&f.target, f.now));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (cap_grows_by_one_after_enough_successes),
    cmocka_unit_test (each_cold_sign_falls_back),
    cmocka_unit_test (exchange_after_a_jump_decides),
    cmocka_unit_test (short_deadline_is_no_cold_sign),
    cmocka_unit_test (answers_from_before_the_fall_back_do_not_count),
    cmocka_unit_test (hints_only_lower_the_cap),
    cmocka_unit_test (idle_target_is_confirmed_by_one_exchange),
    cmocka_unit_test (idle_target_without_incarnation_is_cold),
    cmocka_unit_test (lost_exchange_stays_counted_until_its_deadline),
    cmocka_unit_test (unreported_exchange_is_counted_until_its_deadline),
    cmocka_unit_test (only_matching_parts_share_an_exchange),
    cmocka_unit_test (nothing_is_admitted_without_a_lease),
    cmocka_unit_test (rules_take_the_target_out_and_back),
    cmocka_unit_test (connections_bound_the_exchanges),
    cmocka_unit_test (refuses_at_once_when_the_wait_is_too_long),
    cmocka_unit_test (idle_target_accepts_a_part_despite_its_average),
    cmocka_unit_test (fall_back_refuses_parts_that_wait_too_long),
    cmocka_unit_test (queue_of_a_class_is_bounded),
    cmocka_unit_test (cancelled_parts_are_removed),
    cmocka_unit_test (slow_exchange_is_recalled_for_another_class),
    cmocka_unit_test (once_exchange_is_not_recalled),
    cmocka_unit_test (failures_in_a_row_pause_the_target),
    cmocka_unit_test (successor_subtracts_what_the_predecessor_runs),
    cmocka_unit_test (mechanisms_can_be_switched_off),
    cmocka_unit_test (gate_bounds_running_and_waiting_queries),
    cmocka_unit_test (gate_adapts_to_target_capacity),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
