#include "admit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define PART_COUNT 600
#define EXCHANGE_COUNT 128

enum part_state
{
  PART_NEW,
  PART_QUEUED,
  PART_RUNNING,
  PART_ENDED
};

/* An exchange and what the target does with it.  */
struct run
{
  struct adm_exchange exchange; /* first member */
  bool in_use;                  /* adm_on_done was not called for it yet */
  bool at_target;               /* the target still works on it */
  rw_time report_at;            /* when the daemon learns of its end */
  rw_time target_end;           /* when the target stops working on it */
  struct adm_outcome outcome;
  uint64_t cold_events; /* number of cold events before its start */
};

/* A holder with random events, and an expected cap that is computed separately
   from the library.  */
struct simulation
{
  struct rw_rng rng;
  struct adm_classes classes;
  struct adm_rules rules;
  struct adm_target target;
  struct adm_part parts[PART_COUNT];
  enum part_state state[PART_COUNT];
  struct run *run_of[PART_COUNT]; /* the run of a running part */
  bool recalled[PART_COUNT];
  size_t next_part;
  struct run runs[EXCHANGE_COUNT];
  rw_time now;
  rw_time lease_end;
  uint64_t incarnation;
  uint64_t seen_incarnation; /* the incarnation that the last answer named */
  int fault_percent;
  int cap; /* expected cap */
  int successes;
  uint64_t cold_events;
  int predecessor_running; /* exchanges that the predecessor runs */
  size_t max_running;      /* most exchanges that ran at once */
  size_t recalls;          /* parts */
  uint64_t served[4];      /* parts of each class */
};

static uint64_t
cold_event_count (const struct adm_target *target)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < ADM_COLD_REASON_COUNT; i++)
    sum += target->counters.cold_events[i];
  return sum;
}

static bool
happens (struct simulation *sim, int percent)
{
  return (int)rw_rng_below (&sim->rng, 100) < percent;
}

static void
simulation_init (struct simulation *sim, uint64_t seed)
{
  memset (sim, 0, sizeof *sim);
  rw_rng_init (&sim->rng, seed);
  adm_classes_init (&sim->classes);
  sim->rules.slots = 1 + (int)rw_rng_below (&sim->rng, 6);
  sim->rules.cold_limit
      = 1 + (int)rw_rng_below (&sim->rng, (uint64_t)sim->rules.slots);
  sim->rules.ramp_successes = 1 + (int)rw_rng_below (&sim->rng, 12);
  sim->rules.connections = 50;
  sim->fault_percent = (int)rw_rng_below (&sim->rng, 8);
  sim->now = RW_SEC;
  sim->lease_end = sim->now + RW_SEC;
  sim->incarnation = 1;
  adm_target_init (&sim->target, &sim->rules, &sim->classes, 0, sim->now);
  sim->cap = sim->rules.cold_limit;
  sim->cold_events = cold_event_count (&sim->target);
}

/* Lowers the expected cap to the cold limit if a cold event was counted since
   the last call.  */
static void
update_expected_cap (struct simulation *sim)
{
  uint64_t events = cold_event_count (&sim->target);

  if (events == sim->cold_events)
    return;
  sim->cold_events = events;
  sim->cap = sim->rules.cold_limit;
  sim->successes = 0;
}

static size_t
running_at_target (const struct simulation *sim)
{
  size_t count = 0;

  for (size_t i = 0; i < EXCHANGE_COUNT; i++)
    count += sim->runs[i].at_target;
  return count;
}

static struct adm_part *
unused_part (struct simulation *sim)
{
  for (size_t i = 0; i < PART_COUNT; i++)
    {
      size_t n = (sim->next_part + i) % PART_COUNT;

      if (sim->state[n] == PART_NEW || sim->state[n] == PART_ENDED)
        {
          sim->next_part = n + 1;
          return &sim->parts[n];
        }
    }
  return NULL;
}

/* Checks that a refusal agrees with the estimate before it.  */
static void
check_refusal (struct simulation *sim, const struct adm_part *part,
               rw_time estimate, size_t queued, int code)
{
  rw_time remaining = part->item.deadline - sim->now;

  if (code == 0)
    assert_true (estimate <= remaining);
  else if (code == RW_E_DEADLINE)
    assert_true (estimate > remaining || remaining < RW_MSEC);
  else if (code == RW_E_SHED || code == RW_E_RESET)
    {
      assert_true (estimate > remaining);
      assert_true (sim->target.paused_until > sim->now);
    }
  else if (code == RW_E_QUEUE_FULL)
    assert_true (queued >= 200);
  else
    assert_true (sim->lease_end - RW_MSEC < sim->now || sim->rules.out
                 || sim->target.exported);
}

static void
enqueue_part (struct simulation *sim)
{
  struct adm_part *part = unused_part (sim);
  rw_time estimate;
  size_t queued;
  int code;

  if (part == NULL)
    return;
  memset (part, 0, sizeof *part);
  sim->recalled[part - sim->parts] = false;
  part->item.class_id = (unsigned int)rw_rng_below (&sim->rng, 4);
  part->item.deadline
      = sim->now + (rw_time)rw_rng_below (&sim->rng, 80 * RW_MSEC);
  part->service = RW_LIT ("partsdesk");
  part->snapshot = happens (sim, 10) ? RW_LIT ("s2") : RW_LIT ("s1");
  part->once = happens (sim, 5);
  estimate = adm_response_time (&sim->target, part->item.class_id, sim->now);
  queued = sim->target.queue.by_class[part->item.class_id].len;
  code = adm_enqueue (&sim->target, part, sim->now, sim->lease_end);
  check_refusal (sim, part, estimate, queued, code);
  sim->state[part - sim->parts] = code == 0 ? PART_QUEUED : PART_ENDED;
}

static void
choose_outcome (struct simulation *sim, struct run *run)
{
  static const enum adm_outcome_kind faults[]
      = { ADM_SHED, ADM_ERROR, ADM_LOST, ADM_CANCELLED, ADM_NOT_RUN };
  rw_time deadline = run->exchange.deadline;
  rw_time duration = 1000 + (rw_time)rw_rng_below (&sim->rng, 4000);

  if (happens (sim, 2))
    duration *= 20;
  run->target_end
      = sim->now + duration < deadline ? sim->now + duration : deadline;
  run->report_at = run->target_end;
  run->outcome = (struct adm_outcome){ .kind = ADM_OK, .u.ok.load = -1 };
  if (run->target_end == deadline)
    run->outcome = (struct adm_outcome){ .kind = ADM_EXPIRED };
  else if (happens (sim, sim->fault_percent))
    {
      run->outcome.kind = faults[rw_rng_below (&sim->rng, 5)];
      if (run->outcome.kind == ADM_LOST)
        {
          /* The connection breaks, but the target goes on.  */
          run->outcome.u.lost.sent = true;
          run->report_at = sim->now + duration / 2;
          run->target_end = deadline;
        }
      if (run->outcome.kind == ADM_CANCELLED)
        run->outcome.u.cancelled.confirmed = true;
    }
}

/* Checks the rules that hold for every exchange at its start.  */
static void
check_start (struct simulation *sim, const struct run *run)
{
  size_t running = running_at_target (sim) + (size_t)sim->predecessor_running;

  assert_true (running <= (size_t)sim->rules.slots);
  assert_true (running <= (size_t)sim->cap);
  assert_true (run->exchange.deadline <= sim->lease_end);
  assert_true (run->exchange.deadline > sim->now);
  assert_true (run->exchange.count >= 1);
  assert_false (sim->rules.out);
  if (sim->cap < sim->rules.slots || run->exchange.once)
    assert_int_equal (run->exchange.count, 1);
  if (running > sim->max_running)
    sim->max_running = running;
}

static void
dispatch_all (struct simulation *sim)
{
  for (;;)
    {
      struct run *run = sim->runs;

      while (run->in_use || run->at_target)
        run++;
      if (!adm_next_exchange (&sim->target, &run->exchange, sim->now,
                              sim->lease_end))
        return;
      run->in_use = run->at_target = true;
      run->cold_events = sim->cold_events;
      choose_outcome (sim, run);
      check_start (sim, run);
      for (size_t i = 0; i < run->exchange.count; i++)
        {
          struct adm_part *part = run->exchange.parts[i];

          assert_int_equal (sim->state[part - sim->parts], PART_QUEUED);
          assert_true (part->item.deadline > sim->now);
          assert_string_equal (part->snapshot.ptr,
                               run->exchange.parts[0]->snapshot.ptr);
          sim->state[part - sim->parts] = PART_RUNNING;
          sim->run_of[part - sim->parts] = run;
          sim->served[part->item.class_id]++;
        }
    }
}

static void
report_end (struct simulation *sim, struct run *run)
{
  enum adm_outcome_kind kind = run->outcome.kind;
  bool restarted = kind == ADM_OK
                   && sim->target.incarnation != sim->incarnation
                   && sim->target.incarnation != 0;
  uint64_t before = cold_event_count (&sim->target);

  run->in_use = false;
  if (kind == ADM_OK)
    run->outcome.u.ok.incarnation = sim->incarnation;
  if (kind == ADM_NOT_RUN)
    run->outcome.u.not_run.incarnation = sim->incarnation;
  for (size_t i = 0; i < run->exchange.count; i++)
    if (run->exchange.parts[i] != NULL)
      sim->state[run->exchange.parts[i] - sim->parts] = PART_ENDED;
  if (kind == ADM_OK || kind == ADM_NOT_RUN)
    sim->seen_incarnation = sim->incarnation;
  adm_on_done (&sim->target, &run->exchange, &run->outcome, sim->now);
  if (kind == ADM_SHED || restarted
      || ((kind == ADM_ERROR || kind == ADM_LOST)
          && sim->now <= run->exchange.deadline - RW_MSEC))
    assert_true (cold_event_count (&sim->target) > before);
  update_expected_cap (sim);
  if (kind == ADM_OK && run->cold_events == sim->cold_events
      && cold_event_count (&sim->target) == before
      && ++sim->successes >= sim->rules.ramp_successes)
    {
      sim->successes = 0;
      sim->cap += sim->cap < sim->rules.slots;
    }
}

/* Recalls stragglers; the target ends a recalled exchange at once.  Checks
   that a part is recalled only once.  */
static void
recall_stragglers (struct simulation *sim)
{
  struct adm_exchange *exchange;

  while ((exchange = adm_recall (&sim->target, sim->now)) != NULL)
    {
      struct run *run = (struct run *)exchange;

      assert_false (exchange->once);
      for (size_t i = 0; i < PART_COUNT; i++)
        if (sim->run_of[i] == run && sim->state[i] == PART_RUNNING)
          {
            assert_null (sim->parts[i].exchange);
            assert_false (sim->recalled[i]);
            sim->recalled[i] = true;
            sim->state[i] = PART_QUEUED;
            sim->recalls++;
          }
      run->target_end = run->report_at = sim->now;
      run->outcome = (struct adm_outcome){ .kind = ADM_CANCELLED,
                                           .u.cancelled.confirmed = true };
    }
}

static void
collect_refused (struct simulation *sim)
{
  struct adm_part *part;

  while ((part = adm_next_refused (&sim->target, sim->now, sim->lease_end))
         != NULL)
    {
      assert_int_equal (sim->state[part - sim->parts], PART_QUEUED);
      assert_true (part->item.refusal.code < 0);
      sim->state[part - sim->parts] = PART_ENDED;
    }
}

static void
cancel_random_part (struct simulation *sim)
{
  size_t n = rw_rng_below (&sim->rng, PART_COUNT);
  struct adm_exchange *exchange;
  enum adm_cancel_result result;

  if (sim->state[n] != PART_QUEUED && sim->state[n] != PART_RUNNING)
    return;
  result = adm_on_cancel (&sim->target, &sim->parts[n], &exchange);
  assert_int_equal (result == ADM_CANCEL_REMOVED,
                    sim->state[n] == PART_QUEUED);
  sim->state[n] = PART_ENDED;
  memset (&sim->parts[n], 0xee, sizeof sim->parts[n]);
}

static void
random_event (struct simulation *sim)
{
  struct adm_hint hint = { .kind = ADM_HINT_LOAD };

  if (happens (sim, 2))
    sim->incarnation++;
  if (happens (sim, 2))
    {
      sim->rules.out = !sim->rules.out;
      adm_set_rules (&sim->target, &sim->rules, sim->now);
    }
  if (happens (sim, 50))
    sim->lease_end = sim->now + RW_SEC;
  if (happens (sim, 5))
    sim->lease_end
        = sim->now + (rw_time)rw_rng_below (&sim->rng, 30 * RW_MSEC);
  hint.u.load = (int)rw_rng_below (&sim->rng, 160);
  if (happens (sim, 2))
    adm_on_hint (&sim->target, &hint, sim->now);
  update_expected_cap (sim);
}

static void
advance (struct simulation *sim, rw_time max_elapsed, int new_parts)
{
  sim->now += 1 + (rw_time)rw_rng_below (&sim->rng, (uint64_t)max_elapsed);
  for (size_t i = 0; i < EXCHANGE_COUNT; i++)
    {
      struct run *run = &sim->runs[i];

      if (run->at_target && run->target_end <= sim->now)
        run->at_target = false;
      if (run->in_use && run->report_at <= sim->now)
        report_end (sim, run);
    }
  collect_refused (sim);
  for (int i = 0; i < new_parts; i++)
    enqueue_part (sim);
  if (happens (sim, 20))
    cancel_random_part (sim);
  collect_refused (sim);
  recall_stragglers (sim);
  dispatch_all (sim);
  collect_refused (sim);
  assert_true (adm_next_wakeup (&sim->target) > sim->now);
}

/* Checks that every part is refused or dispatched in the end, and that no part
   stays queued.  */
static void
drain (struct simulation *sim)
{
  sim->rules.out = false;
  adm_set_rules (&sim->target, &sim->rules, sim->now);
  update_expected_cap (sim);
  for (int i = 0; i < 400; i++)
    {
      sim->lease_end = sim->now + RW_SEC;
      advance (sim, 2000, 0);
    }
  for (size_t i = 0; i < PART_COUNT; i++)
    assert_true (sim->state[i] == PART_NEW || sim->state[i] == PART_ENDED);
  assert_int_equal (sim->target.queue.len, 0);
  assert_int_equal (sim->target.running_slots + sim->target.lost_count, 0);
}

/* Guards against more exchanges than the cap in any order of events, lost or
   duplicated parts, refusals that the estimate does not justify, and a wake-up
   time that is not after the present, so that the caller would loop.  */
static void
limits_hold_in_random_histories (void **state)
{
  static struct simulation sim;
  size_t max_running = 0;
  size_t recalls = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= 150; seed++)
    {
      simulation_init (&sim, seed);
      for (int i = 0; i < 1500; i++)
        {
          if (happens (&sim, 10))
            random_event (&sim);
          advance (&sim, 1500, (int)rw_rng_below (&sim.rng, 4));
        }
      drain (&sim);
      max_running
          = sim.max_running > max_running ? sim.max_running : max_running;
      recalls += sim.recalls;
    }
  assert_int_equal (max_running, 6);
  assert_true (recalls > 0);
}

/* Guards against a class that gets no service under overload by others.  */
static void
no_class_is_starved (void **state)
{
  static struct simulation sim;

  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      uint64_t total = 0;

      simulation_init (&sim, seed);
      sim.fault_percent = 0;
      for (int i = 0; i < 4000; i++)
        {
          sim.lease_end = sim.now + RW_SEC;
          advance (&sim, 1500, 12);
        }
      for (int c = 0; c < 4; c++)
        total += sim.served[c];
      for (int c = 0; c < 4; c++)
        assert_true (sim.served[c] > total / 5);
    }
}

/* Guards against a hand-over in which predecessor and successor together run
   more than the cap.  */
static void
running_exchanges_stay_within_the_cap_during_hand_over (void **state)
{
  static struct simulation a;
  static struct simulation b;

  (void)state;
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      struct adm_handover handover;

      simulation_init (&a, seed);
      simulation_init (&b, seed);
      a.fault_percent = 3;
      for (int i = 0; i < 300 + (int)(seed % 50); i++)
        advance (&a, 1500, 3);
      b.now = b.lease_end = a.now;
      b.incarnation = b.seen_incarnation = a.incarnation;
      adm_target_init (&b.target, &b.rules, &b.classes, 0, b.now);
      adm_export (&a.target, &handover, a.now);
      adm_import (&b.target, &handover, b.now);
      b.cap = handover.cap > b.cap ? handover.cap : b.cap;
      b.cold_events = cold_event_count (&b.target);
      for (int i = 0; i < 300; i++)
        {
          advance (&a, 1500, 1);
          b.lease_end = a.now + RW_SEC;
          b.predecessor_running = (int)running_at_target (&a);
          if (happens (&b, 10))
            adm_on_predecessor_slots (&b.target, a.target.running_slots
                                                     + a.target.lost_count);
          b.now = a.now - 1;
          advance (&b, 1, 2);
        }
      assert_true (b.max_running > 0);
      assert_int_equal (a.target.queue.len, 0);
    }
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (limits_hold_in_random_histories),
    cmocka_unit_test (no_class_is_starved),
    cmocka_unit_test (running_exchanges_stay_within_the_cap_during_hand_over),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
