#include "admit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define PARTS 600
#define EXCHANGES 128

enum part_state
{
  PART_NEW,
  PART_QUEUED,
  PART_RUNNING,
  PART_OVER
};

/* An exchange and what the target really does with it.  */
struct run
{
  struct adm_exchange exchange; /* first member */
  bool in_use;                  /* dispatched and not reported */
  bool at_target;               /* the target still works on it */
  rw_time report_at;
  rw_time real_end;
  struct adm_outcome outcome;
  uint64_t signs; /* cold signs before its start */
};

/* A holder with random events, and a naive account of its cap.  */
struct world
{
  struct rw_rng rng;
  struct adm_classes classes;
  struct adm_rules rules;
  struct adm_target target;
  struct adm_part parts[PARTS];
  enum part_state state[PARTS];
  struct run *held[PARTS]; /* the run of a running part */
  bool recalled[PARTS];
  size_t next_part;
  struct run runs[EXCHANGES];
  rw_time now;
  rw_time until;
  uint64_t incarnation;
  uint64_t seen; /* the incarnation that the last answer named */
  int fault_percent;
  int cap; /* the naive account */
  int streak;
  uint64_t signs;
  int foreign; /* what a predecessor really runs */
  size_t most;
  size_t recalls;
  uint64_t served[4];
};

static uint64_t
cold_signs (const struct adm_target *target)
{
  uint64_t sum = 0;

  for (size_t i = 0; i < ADM_COLD_REASON_COUNT; i++)
    sum += target->counters.cold_events[i];
  return sum;
}

static bool
chance (struct world *w, int percent)
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
  w->until = w->now + RW_SEC;
  w->incarnation = 1;
  adm_target_init (&w->target, &w->rules, &w->classes, 0, w->now);
  w->cap = w->rules.cold_limit;
  w->signs = cold_signs (&w->target);
}

/* A sign of a cold target must have been seen by now.  */
static void
note_signs (struct world *w)
{
  uint64_t signs = cold_signs (&w->target);

  if (signs == w->signs)
    return;
  w->signs = signs;
  w->cap = w->rules.cold_limit;
  w->streak = 0;
}

static size_t
really_running (const struct world *w)
{
  size_t count = 0;

  for (size_t i = 0; i < EXCHANGES; i++)
    count += w->runs[i].at_target;
  return count;
}

static struct adm_part *
unused_part (struct world *w)
{
  for (size_t i = 0; i < PARTS; i++)
    {
      size_t n = (w->next_part + i) % PARTS;

      if (w->state[n] == PART_NEW || w->state[n] == PART_OVER)
        {
          w->next_part = n + 1;
          return &w->parts[n];
        }
    }
  return NULL;
}

/* A refusal by estimate must agree with the estimate that is published.  */
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
    assert_true (w->until - RW_MSEC < w->now || w->rules.out
                 || w->target.exported);
}

static void
offer (struct world *w)
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
  part->snapshot = chance (w, 10) ? RW_LIT ("s2") : RW_LIT ("s1");
  part->once = chance (w, 5);
  estimate = adm_response_time (&w->target, part->item.class_id, w->now);
  queued = w->target.queue.by_class[part->item.class_id].len;
  code = adm_enqueue (&w->target, part, w->now, w->until);
  check_refusal (w, part, estimate, queued, code);
  w->state[part - w->parts] = code == 0 ? PART_QUEUED : PART_OVER;
}

static void
choose_outcome (struct world *w, struct run *run)
{
  static const enum adm_outcome_kind faults[]
      = { ADM_SHED, ADM_ERROR, ADM_LOST, ADM_CANCELLED, ADM_NOT_RUN };
  rw_time deadline = run->exchange.deadline;
  rw_time takes = 1000 + (rw_time)rw_rng_below (&w->rng, 4000);

  if (chance (w, 2))
    takes *= 20;
  run->real_end = w->now + takes < deadline ? w->now + takes : deadline;
  run->report_at = run->real_end;
  run->outcome = (struct adm_outcome){ .kind = ADM_OK, .u.ok.load = -1 };
  if (run->real_end == deadline)
    run->outcome = (struct adm_outcome){ .kind = ADM_EXPIRED };
  else if (chance (w, w->fault_percent))
    {
      run->outcome.kind = faults[rw_rng_below (&w->rng, 5)];
      if (run->outcome.kind == ADM_LOST)
        {
          /* The connection breaks, but the target goes on.  */
          run->outcome.u.lost.sent = true;
          run->report_at = w->now + takes / 2;
          run->real_end = deadline;
        }
      if (run->outcome.kind == ADM_CANCELLED)
        run->outcome.u.cancelled.confirmed = true;
    }
}

/* The rules that hold for each exchange at its start.  */
static void
check_start (struct world *w, const struct run *run)
{
  size_t running = really_running (w) + (size_t)w->foreign;

  assert_true (running <= (size_t)w->rules.slots);
  assert_true (running <= (size_t)w->cap);
  assert_true (run->exchange.deadline <= w->until);
  assert_true (run->exchange.deadline > w->now);
  assert_true (run->exchange.count >= 1);
  assert_false (w->rules.out);
  if (w->cap < w->rules.slots || run->exchange.once)
    assert_int_equal (run->exchange.count, 1);
  if (running > w->most)
    w->most = running;
}

static void
dispatch (struct world *w)
{
  for (;;)
    {
      struct run *run = w->runs;

      while (run->in_use || run->at_target)
        run++;
      if (!adm_next_exchange (&w->target, &run->exchange, w->now, w->until))
        return;
      run->in_use = run->at_target = true;
      run->signs = w->signs;
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
          w->held[part - w->parts] = run;
          w->served[part->item.class_id]++;
        }
    }
}

static void
report (struct world *w, struct run *run)
{
  enum adm_outcome_kind kind = run->outcome.kind;
  bool restarted = kind == ADM_OK && w->target.incarnation != w->incarnation
                   && w->target.incarnation != 0;
  uint64_t before = cold_signs (&w->target);

  run->in_use = false;
  if (kind == ADM_OK)
    run->outcome.u.ok.incarnation = w->incarnation;
  if (kind == ADM_NOT_RUN)
    run->outcome.u.not_run.incarnation = w->incarnation;
  for (size_t i = 0; i < run->exchange.count; i++)
    if (run->exchange.parts[i] != NULL)
      w->state[run->exchange.parts[i] - w->parts] = PART_OVER;
  if (kind == ADM_OK || kind == ADM_NOT_RUN)
    w->seen = w->incarnation;
  adm_on_done (&w->target, &run->exchange, &run->outcome, w->now);
  if (kind == ADM_SHED || restarted
      || ((kind == ADM_ERROR || kind == ADM_LOST)
          && w->now <= run->exchange.deadline - RW_MSEC))
    assert_true (cold_signs (&w->target) > before);
  note_signs (w);
  if (kind == ADM_OK && run->signs == w->signs
      && cold_signs (&w->target) == before
      && ++w->streak >= w->rules.ramp_successes)
    {
      w->streak = 0;
      w->cap += w->cap < w->rules.slots;
    }
}

/* The target ends a recalled exchange at once.  A part is recalled once.  */
static void
recall (struct world *w)
{
  struct adm_exchange *exchange;

  while ((exchange = adm_recall (&w->target, w->now)) != NULL)
    {
      struct run *run = (struct run *)exchange;

      assert_false (exchange->once);
      for (size_t i = 0; i < PARTS; i++)
        if (w->held[i] == run && w->state[i] == PART_RUNNING)
          {
            assert_null (w->parts[i].exchange);
            assert_false (w->recalled[i]);
            w->recalled[i] = true;
            w->state[i] = PART_QUEUED;
            w->recalls++;
          }
      run->real_end = run->report_at = w->now;
      run->outcome = (struct adm_outcome){ .kind = ADM_CANCELLED,
                                           .u.cancelled.confirmed = true };
    }
}

static void
refuse (struct world *w)
{
  struct adm_part *part;

  while ((part = adm_next_refused (&w->target, w->now, w->until)) != NULL)
    {
      assert_int_equal (w->state[part - w->parts], PART_QUEUED);
      assert_true (part->item.refusal.code < 0);
      w->state[part - w->parts] = PART_OVER;
    }
}

static void
cancel_one (struct world *w)
{
  size_t n = rw_rng_below (&w->rng, PARTS);
  struct adm_exchange *exchange;
  enum adm_cancel_result result;

  if (w->state[n] != PART_QUEUED && w->state[n] != PART_RUNNING)
    return;
  result = adm_on_cancel (&w->target, &w->parts[n], &exchange);
  assert_int_equal (result == ADM_CANCEL_REMOVED, w->state[n] == PART_QUEUED);
  w->state[n] = PART_OVER;
  memset (&w->parts[n], 0xee, sizeof w->parts[n]);
}

static void
random_event (struct world *w)
{
  struct adm_hint hint = { .kind = ADM_HINT_LOAD };

  if (chance (w, 2))
    w->incarnation++;
  if (chance (w, 2))
    {
      w->rules.out = !w->rules.out;
      adm_set_rules (&w->target, &w->rules, w->now);
    }
  if (chance (w, 50))
    w->until = w->now + RW_SEC;
  if (chance (w, 5))
    w->until = w->now + (rw_time)rw_rng_below (&w->rng, 30 * RW_MSEC);
  hint.u.load = (int)rw_rng_below (&w->rng, 160);
  if (chance (w, 2))
    adm_on_hint (&w->target, &hint, w->now);
  note_signs (w);
}

static void
step (struct world *w, rw_time most, int offers)
{
  w->now += 1 + (rw_time)rw_rng_below (&w->rng, (uint64_t)most);
  for (size_t i = 0; i < EXCHANGES; i++)
    {
      struct run *run = &w->runs[i];

      if (run->at_target && run->real_end <= w->now)
        run->at_target = false;
      if (run->in_use && run->report_at <= w->now)
        report (w, run);
    }
  refuse (w);
  for (int i = 0; i < offers; i++)
    offer (w);
  if (chance (w, 20))
    cancel_one (w);
  refuse (w);
  recall (w);
  dispatch (w);
  refuse (w);
  assert_true (adm_next_wakeup (&w->target) > w->now);
}

/* Every part is refused or dispatched in the end; nothing stays queued.  */
static void
drain (struct world *w)
{
  w->rules.out = false;
  adm_set_rules (&w->target, &w->rules, w->now);
  note_signs (w);
  for (int i = 0; i < 400; i++)
    {
      w->until = w->now + RW_SEC;
      step (w, 2000, 0);
    }
  for (size_t i = 0; i < PARTS; i++)
    assert_true (w->state[i] == PART_NEW || w->state[i] == PART_OVER);
  assert_int_equal (w->target.queue.len, 0);
  assert_int_equal (w->target.running_slots + w->target.lost_count, 0);
}

/* Guards against load above the cap in any order of events, lost or doubled
   parts, refusals that the estimate does not justify, and idle loops.  */
static void
limits_hold_in_random_histories (void **state)
{
  static struct world w;
  size_t most = 0;
  size_t recalls = 0;

  (void)state;
  for (uint64_t seed = 1; seed <= 150; seed++)
    {
      world_init (&w, seed);
      for (int i = 0; i < 1500; i++)
        {
          if (chance (&w, 10))
            random_event (&w);
          step (&w, 1500, (int)rw_rng_below (&w.rng, 4));
        }
      drain (&w);
      most = w.most > most ? w.most : most;
      recalls += w.recalls;
    }
  assert_int_equal (most, 6);
  assert_true (recalls > 0);
}

/* Guards against a class that gets no service while others overload the
   target.  */
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
          w.until = w.now + RW_SEC;
          step (&w, 1500, 12);
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
        step (&a, 1500, 3);
      b.now = b.until = a.now;
      b.incarnation = b.seen = a.incarnation;
      adm_target_init (&b.target, &b.rules, &b.classes, 0, b.now);
      adm_export (&a.target, &handover, a.now);
      adm_import (&b.target, &handover, b.now);
      b.cap = handover.cap > b.cap ? handover.cap : b.cap;
      b.signs = cold_signs (&b.target);
      for (int i = 0; i < 300; i++)
        {
          step (&a, 1500, 1);
          b.until = a.now + RW_SEC;
          b.foreign = (int)really_running (&a);
          if (chance (&b, 10))
            adm_on_predecessor_slots (&b.target, a.target.running_slots
                                                     + a.target.lost_count);
          b.now = a.now - 1;
          step (&b, 1, 2);
        }
      assert_true (b.most > 0);
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
