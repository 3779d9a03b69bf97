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
  bool in_use;                  /* dispatched, and its end not reported */
  bool at_target;               /* the target still works on it */
  rw_time report_at;            /* when the daemon learns of its end */
  rw_time target_end;           /* when the target stops working on it */
  struct adm_outcome outcome;
  uint64_t cold_events; /* number of cold events before its start */
};

/* A holder with random events, and an independent account of its cap.  */
struct world
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
  int cap; /* expected cap, from the independent account */
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
happens (struct world *w, int percent)
{
  return (int)rw_rng_below (&w->rng, 100) < percent;
}

static void
world_init (struct world *w, uint64_t seed)
{
  memset (w, 0, sizeof *w);
  rw_rng_init (&w->rng, seed);
  adm_classes_init (&w->classes);
  w->rules.slots = 1 + (int)rw_rng_below (&w->rng, 6);
  w->rules.cold_limit
      = 1 + (int)rw_rng_below (&w->rng, (uint64_t)w->rules.slots);
  w->rules.ramp_successes = 1 + (int)rw_rng_below (&w->rng, 12);
  w->rules.connections = 50;
  w->fault_percent = (int)rw_rng_below (&w->rng, 8);
  w->now = RW_SEC;
  w->lease_end = w->now + RW_SEC;
  w->incarnation = 1;
  adm_target_init (&w->target, &w->rules, &w->classes, 0, w->now);
  w->cap = w->rules.cold_limit;
  w->cold_events = cold_event_count (&w->target);
}

/* Lowers the expected cap to the cold limit if a cold event was counted since
   the last call.  */
static void
update_expected_cap (struct world *w)
{
  uint64_t events = cold_event_count (&w->target);

  if (events == w->cold_events)
    return;
  w->cold_events = events;
  w->cap = w->rules.cold_limit;
  w->successes = 0;
}

static size_t
running_at_target (const struct world *w)
{
  size_t count = 0;

  for (size_t i = 0; i < EXCHANGE_COUNT; i++)
    count += w->runs[i].at_target;
  return count;
}

static struct adm_part *
unused_part (struct world *w)
{
  for (size_t i = 0; i < PART_COUNT; i++)
    {
      size_t n = (w->next_part + i) % PART_COUNT;

      if (w->state[n] == PART_NEW || w->state[n] == PART_ENDED)
        {
          w->next_part = n + 1;
          return &w->parts[n];
        }
    }
  return NULL;
}

/* Checks that a refusal agrees with the estimate before it.  */
static void
check_refusal (struct world *w, const struct adm_part *part, rw_time estimate,
               size_t queued, int code)
{
  rw_time remaining = part->item.deadline - w->now;

  if (code == 0)
    assert_true (estimate <= remaining);
  else if (code == RW_E_DEADLINE)
    assert_true (estimate > remaining || remaining < RW_MSEC);
  else if (code == RW_E_SHED || code == RW_E_RESET)
    {
      assert_true (estimate > remaining);
      assert_true (w->target.paused_until > w->now);
    }
  else if (code == RW_E_QUEUE_FULL)
    assert_true (queued >= 200);
  else
    assert_true (w->lease_end - RW_MSEC < w->now || w->rules.out
                 || w->target.exported);
}

static void
enqueue_part (struct world *w)
{
  struct adm_part *part = unused_part (w);
  rw_time estimate;
  size_t queued;
  int code;

  if (part == NULL)
    return;
  memset (part, 0, sizeof *part);
  w->recalled[part - w->parts] = false;
  part->item.class_id = (unsigned int)rw_rng_below (&w->rng, 4);
  part->item.deadline = w->now + (rw_time)rw_rng_below (&w->rng, 80 * RW_MSEC);
  part->service = RW_LIT ("partsdesk");
  part->snapshot = happens (w, 10) ? RW_LIT ("s2") : RW_LIT ("s1");
  part->once = happens (w, 5);
  estimate = adm_response_time (&w->target, part->item.class_id, w->now);
  queued = w->target.queue.by_class[part->item.class_id].len;
  code = adm_enqueue (&w->target, part, w->now, w->lease_end);
  check_refusal (w, part, estimate, queued, code);
  w->state[part - w->parts] = code == 0 ? PART_QUEUED : PART_ENDED;
}

static void
choose_outcome (struct world *w, struct run *run)
{
  static const enum adm_outcome_kind faults[]
      = { ADM_SHED, ADM_ERROR, ADM_LOST, ADM_CANCELLED, ADM_NOT_RUN };
  rw_time deadline = run->exchange.deadline;
  rw_time duration = 1000 + (rw_time)rw_rng_below (&w->rng, 4000);

  if (happens (w, 2))
    duration *= 20;
  run->target_end
      = w->now + duration < deadline ? w->now + duration : deadline;
  run->report_at = run->target_end;
  run->outcome = (struct adm_outcome){ .kind = ADM_OK, .u.ok.load = -1 };
  if (run->target_end == deadline)
    run->outcome = (struct adm_outcome){ .kind = ADM_EXPIRED };
  else if (happens (w, w->fault_percent))
    {
      run->outcome.kind = faults[rw_rng_below (&w->rng, 5)];
      if (run->outcome.kind == ADM_LOST)
        {
          /* The connection breaks, but the target goes on.  */
          run->outcome.u.lost.sent = true;
          run->report_at = w->now + duration / 2;
          run->target_end = deadline;
        }
      if (run->outcome.kind == ADM_CANCELLED)
        run->outcome.u.cancelled.confirmed = true;
    }
}

/* Checks the rules that hold for every exchange at its start.  */
static void
check_start (struct world *w, const struct run *run)
{
  size_t running = running_at_target (w) + (size_t)w->predecessor_running;

  assert_true (running <= (size_t)w->rules.slots);
  assert_true (running <= (size_t)w->cap);
  assert_true (run->exchange.deadline <= w->lease_end);
  assert_true (run->exchange.deadline > w->now);
  assert_true (run->exchange.count >= 1);
  assert_false (w->rules.out);
  if (w->cap < w->rules.slots || run->exchange.once)
    assert_int_equal (run->exchange.count, 1);
  if (running > w->max_running)
    w->max_running = running;
}

static void
dispatch_all (struct world *w)
{
  for (;;)
    {
      struct run *run = w->runs;

      while (run->in_use || run->at_target)
        run++;
      if (!adm_next_exchange (&w->target, &run->exchange, w->now,
                              w->lease_end))
        return;
      run->in_use = run->at_target = true;
      run->cold_events = w->cold_events;
      choose_outcome (w, run);
      check_start (w, run);
      for (size_t i = 0; i < run->exchange.count; i++)
        {
          struct adm_part *part = run->exchange.parts[i];

          assert_int_equal (w->state[part - w->parts], PART_QUEUED);
          assert_true (part->item.deadline > w->now);
          assert_string_equal (part->snapshot.ptr,
                               run->exchange.parts[0]->snapshot.ptr);
          w->state[part - w->parts] = PART_RUNNING;
          w->run_of[part - w->parts] = run;
          w->served[part->item.class_id]++;
        }
    }
}

static void
report_end (struct world *w, struct run *run)
{
  enum adm_outcome_kind kind = run->outcome.kind;
  bool restarted = kind == ADM_OK && w->target.incarnation != w->incarnation
                   && w->target.incarnation != 0;
  uint64_t before = cold_event_count (&w->target);

  run->in_use = false;
  if (kind == ADM_OK)
    run->outcome.u.ok.incarnation = w->incarnation;
  if (kind == ADM_NOT_RUN)
    run->outcome.u.not_run.incarnation = w->incarnation;
  for (size_t i = 0; i < run->exchange.count; i++)
    if (run->exchange.parts[i] != NULL)
      w->state[run->exchange.parts[i] - w->parts] = PART_ENDED;
  if (kind == ADM_OK || kind == ADM_NOT_RUN)
    w->seen_incarnation = w->incarnation;
  adm_on_done (&w->target, &run->exchange, &run->outcome, w->now);
  if (kind == ADM_SHED || restarted
      || ((kind == ADM_ERROR || kind == ADM_LOST)
          && w->now <= run->exchange.deadline - RW_MSEC))
    assert_true (cold_event_count (&w->target) > before);
  update_expected_cap (w);
  if (kind == ADM_OK && run->cold_events == w->cold_events
      && cold_event_count (&w->target) == before
      && ++w->successes >= w->rules.ramp_successes)
    {
      w->successes = 0;
      w->cap += w->cap < w->rules.slots;
    }
}

/* The target ends a recalled exchange at once.  Checks that a part is recalled
   only once.  */
static void
recall_stragglers (struct world *w)
{
  struct adm_exchange *exchange;

  while ((exchange = adm_recall (&w->target, w->now)) != NULL)
    {
      struct run *run = (struct run *)exchange;

      assert_false (exchange->once);
      for (size_t i = 0; i < PART_COUNT; i++)
        if (w->run_of[i] == run && w->state[i] == PART_RUNNING)
          {
            assert_null (w->parts[i].exchange);
            assert_false (w->recalled[i]);
            w->recalled[i] = true;
            w->state[i] = PART_QUEUED;
            w->recalls++;
          }
      run->target_end = run->report_at = w->now;
      run->outcome = (struct adm_outcome){ .kind = ADM_CANCELLED,
                                           .u.cancelled.confirmed = true };
    }
}

static void
collect_refused (struct world *w)
{
  struct adm_part *part;

  while ((part = adm_next_refused (&w->target, w->now, w->lease_end)) != NULL)
    {
      assert_int_equal (w->state[part - w->parts], PART_QUEUED);
      assert_true (part->item.refusal.code < 0);
      w->state[part - w->parts] = PART_ENDED;
    }
}

static void
cancel_random_part (struct world *w)
{
  size_t n = rw_rng_below (&w->rng, PART_COUNT);
  struct adm_exchange *exchange;
  enum adm_cancel_result result;

  if (w->state[n] != PART_QUEUED && w->state[n] != PART_RUNNING)
    return;
  result = adm_on_cancel (&w->target, &w->parts[n], &exchange);
  assert_int_equal (result == ADM_CANCEL_REMOVED, w->state[n] == PART_QUEUED);
  w->state[n] = PART_ENDED;
  memset (&w->parts[n], 0xee, sizeof w->parts[n]);
}

static void
random_event (struct world *w)
{
  struct adm_hint hint = { .kind = ADM_HINT_LOAD };

  if (happens (w, 2))
    w->incarnation++;
  if (happens (w, 2))
    {
      w->rules.out = !w->rules.out;
      adm_set_rules (&w->target, &w->rules, w->now);
    }
  if (happens (w, 50))
    w->lease_end = w->now + RW_SEC;
  if (happens (w, 5))
    w->lease_end = w->now + (rw_time)rw_rng_below (&w->rng, 30 * RW_MSEC);
  hint.u.load = (int)rw_rng_below (&w->rng, 160);
  if (happens (w, 2))
    adm_on_hint (&w->target, &hint, w->now);
  update_expected_cap (w);
}

static void
advance (struct world *w, rw_time max_elapsed, int new_parts)
{
  w->now += 1 + (rw_time)rw_rng_below (&w->rng, (uint64_t)max_elapsed);
  for (size_t i = 0; i < EXCHANGE_COUNT; i++)
    {
      struct run *run = &w->runs[i];

      if (run->at_target && run->target_end <= w->now)
        run->at_target = false;
      if (run->in_use && run->report_at <= w->now)
        report_end (w, run);
    }
  collect_refused (w);
  for (int i = 0; i < new_parts; i++)
    enqueue_part (w);
  if (happens (w, 20))
    cancel_random_part (w);
  collect_refused (w);
  recall_stragglers (w);
  dispatch_all (w);
  collect_refused (w);
  assert_true (adm_next_wakeup (&w->target) > w->now);
}

/* Checks that every part is refused or dispatched in the end, and that no part
   stays queued.  */
static void
drain (struct world *w)
{
  w->rules.out = false;
  adm_set_rules (&w->target, &w->rules, w->now);
  update_expected_cap (w);
  for (int i = 0; i < 400; i++)
    {
      w->lease_end = w->now + RW_SEC;
      advance (w, 2000, 0);
    }
  for (size_t i = 0; i < PART_COUNT; i++)
    assert_true (w->state[i] == PART_NEW || w->state[i] == PART_ENDED);
  assert_int_equal (w->target.queue.len, 0);
  assert_int_equal (w->target.running_slots + w->target.lost_count, 0);
}

/* Guards against more exchanges than the cap in any order of events, lost or
   duplicated parts, refusals that the estimate does not justify, and wake-ups
   that are due at once for ever.  */
static void
limits_hold_in_random_histories (void **state)
{
  static struct world w;
  size_t max_running = 0;
  size_t recalls = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= 150; seed++)
    {
      world_init (&w, seed);
      for (int i = 0; i < 1500; i++)
        {
          if (happens (&w, 10))
            random_event (&w);
          advance (&w, 1500, (int)rw_rng_below (&w.rng, 4));
        }
      drain (&w);
      max_running = w.max_running > max_running ? w.max_running : max_running;
      recalls += w.recalls;
    }
  assert_int_equal (max_running, 6);
  assert_true (recalls > 0);
}

/* Guards against a class that gets no service under overload by others.  */
static void
no_class_is_starved (void **state)
{
  static struct world w;

  (void)state;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      uint64_t total = 0;

      world_init (&w, seed);
      w.fault_percent = 0;
      for (int i = 0; i < 4000; i++)
        {
          w.lease_end = w.now + RW_SEC;
          advance (&w, 1500, 12);
        }
      for (int c = 0; c < 4; c++)
        total += w.served[c];
      for (int c = 0; c < 4; c++)
        assert_true (w.served[c] > total / 5);
    }
}

/* Guards against a hand-over in which predecessor and successor together run
   more than the cap.  */
static void
hand_over_keeps_the_limit (void **state)
{
  static struct world a;
  static struct world b;

  (void)state;
  for (uint64_t seed = 1; seed <= 200; seed++)
    {
      struct adm_handover handover;

      world_init (&a, seed);
      world_init (&b, seed);
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
    cmocka_unit_test (hand_over_keeps_the_limit),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
