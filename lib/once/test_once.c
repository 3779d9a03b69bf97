#include "once.h"
#include "unit.h"

#define DEADLINE (500 * RW_MSEC)
#define TRIES 3
#define HOLDERS 2
#define MAX_DEFERRED 8

/* Where a fault strikes one try, in the order of the try's steps.  */
enum fault
{
  NO_FAULT,
  BEFORE_CONNECT, /* entry to holder */
  AFTER_CONNECT,  /* before the first byte */
  DURING_WRITE,   /* the record stays incomplete */
  AFTER_WRITE_HOLDER_DROPS,
  AFTER_WRITE_HOLDER_GOES_ON,
  RELAY_FROZEN, /* the holder reads the message 10 s later */
  RECORD_REPLAYED,
  KILL_BEFORE_DISPATCH,
  FROZEN_BEFORE_DISPATCH, /* past the deadline */
  SHORT_FREEZE_BEFORE_DISPATCH,
  HOLDER_REFUSES,
  TARGET_UNREACHABLE, /* no byte handed to the transport */
  KEY_REPEATED_IN_FLIGHT,
  KILL_DURING_WRITE_TO_TARGET, /* the target gets nothing whole */
  KILL_AFTER_DISPATCH,         /* the target runs it */
  FROZEN_AFTER_DISPATCH,
  RESET_BEFORE_RUN,
  RESET_AFTER_RUN,
  TARGET_REFUSES,
  TARGET_FAILS_BEFORE_RUN, /* status 500 */
  TARGET_FAILS_AFTER_RUN,
  TARGET_REFUSES_UNCLEARLY, /* status 503 without a statement, after a run */
  REPLY_LOST,
  RESULT_LOST,
  RESULT_LATE,
  RESULT_CROSSED, /* belongs to another request */
  FAULTS
};

struct deferred
{
  enum fault fault;
  int holder;
  struct qry_id id;
  rw_time sent;
};

struct world
{
  unsigned int disabled;
  enum fault faults[TRIES];
  bool one_holder;
  rw_time now;
  struct onc_clock clock;
  struct onc_entry entry;
  struct onc_table holders[HOLDERS];
  bool killed;
  bool unlike_holders; /* tries went to more than one holder */
  struct deferred deferred[MAX_DEFERRED];
  size_t deferred_count;
  int runs;
  int late_runs;
  int answers;
  int status;
  enum qry_ran ran;
};

static const struct rw_str key = { "reserve-svc key-7", 17 };

static struct rw_err
why_of (int code)
{
  struct rw_err why = { 0 };

  rw_err_set (&why, code, "test", RW_LIT ("peer"), "fault");
  return why;
}

static void
target_runs (struct world *w)
{
  w->runs++;
  w->late_runs += w->now > DEADLINE;
}

static void
defer (struct world *w, enum fault fault, int holder, struct qry_id id)
{
  assert_true (w->deferred_count < MAX_DEFERRED);
  w->deferred[w->deferred_count++]
      = (struct deferred){ fault, holder, id, w->now };
}

static void
kill_holder (struct world *w, int holder)
{
  onc_table_finish (&w->holders[holder]);
  onc_table_init (&w->holders[holder], 16, w->disabled);
  w->killed = true;
}

/* The holder writes to the target and reports.  Returns whether RESULT reaches
   the entry daemon.  */
static bool
exchange (struct world *w, enum fault fault, int holder, struct qry_id id,
          struct onc_result *result)
{
  struct onc_table *t = &w->holders[holder];
  struct rw_err why = why_of (RW_E_RESET);
  struct rw_str ok = RW_LIT ("{\"reserved\":1}");

  switch (fault)
    {
    case TARGET_UNREACHABLE:
      onc_holder_on_unsent (t, key, id, &why, w->now, result);
      return true;
    case KILL_DURING_WRITE_TO_TARGET:
      kill_holder (w, holder);
      return false;
    case KILL_AFTER_DISPATCH:
      target_runs (w);
      kill_holder (w, holder);
      return false;
    case RESET_BEFORE_RUN:
      onc_holder_on_lost (t, key, id, &why, w->now, result);
      return true;
    case TARGET_REFUSES:
      onc_holder_on_reply (t, key, id, 503, RW_MSEC,
                           RW_LIT ("{\"ran\":\"no\"}"), w->now, result);
      return true;
    case TARGET_FAILS_BEFORE_RUN:
      onc_holder_on_reply (t, key, id, 500, 0, RW_LIT ("{\"ran\":\"no\"}"),
                           w->now, result);
      return true;
    default:
      break;
    }
  target_runs (w);
  switch (fault)
    {
    case RESET_AFTER_RUN:
    case REPLY_LOST:
      onc_holder_on_lost (t, key, id, &why, w->now, result);
      return true;
    case TARGET_FAILS_AFTER_RUN:
      onc_holder_on_reply (t, key, id, 500, 0, RW_LIT (""), w->now, result);
      return true;
    case TARGET_REFUSES_UNCLEARLY:
      onc_holder_on_reply (t, key, id, 503, 0, RW_LIT ("busy"), w->now,
                           result);
      return true;
    default:
      onc_holder_on_reply (t, key, id, 200, 0, ok, w->now, result);
      return fault != RESULT_LOST && fault != FROZEN_AFTER_DISPATCH;
    }
}

/* A message arrives at a holder.  Returns whether RESULT reaches the entry
   daemon.  */
static bool
arrive (struct world *w, enum fault fault, int holder, struct qry_id id,
        rw_time sent, struct onc_result *result)
{
  struct onc_table *t = &w->holders[holder];
  struct rw_err why = why_of (RW_E_SHED);
  rw_time left
      = onc_clock_remaining (&w->clock, DEADLINE - sent, sent, w->now, true);
  struct onc_result ignored;

  if (onc_holder_accept (t, key, id, w->now + left, w->now, result) != 0)
    return true;
  if (fault == KEY_REPEATED_IN_FLIGHT
      && onc_holder_accept (t, key, (struct qry_id){ 5, 5 }, w->now + left,
                            w->now, &ignored)
             == 0)
    target_runs (w);
  switch (fault)
    {
    case AFTER_WRITE_HOLDER_DROPS:
      onc_holder_drop (t, key, id, &why, 0, w->now, result);
      assert_int_equal (onc_holder_dispatch (t, key, id, w->now, &ignored),
                        RW_E_DUPLICATE);
      return false;
    case KILL_BEFORE_DISPATCH:
      kill_holder (w, holder);
      return false;
    case FROZEN_BEFORE_DISPATCH:
      defer (w, fault, holder, id);
      return false;
    case HOLDER_REFUSES:
      onc_holder_drop (t, key, id, &why, 2 * RW_MSEC, w->now, result);
      return true;
    default:
      break;
    }
  if (fault == SHORT_FREEZE_BEFORE_DISPATCH)
    w->now += 50 * RW_MSEC;
  if (onc_holder_dispatch (t, key, id, w->now, result) != 0)
    return true;
  return exchange (w, fault, holder, id, result)
         && fault != AFTER_WRITE_HOLDER_GOES_ON;
}

/* The transport's part of one try.  Fills COMMAND with the entry's next step.
 */
static void
try_once (struct world *w, uint32_t attempt, struct onc_command *command)
{
  enum fault fault = w->faults[(attempt - 1) % TRIES];
  int holder = w->one_holder ? 0 : (int)attempt % HOLDERS;
  struct rw_err why = why_of (RW_E_RESET);
  struct onc_result result = { 0 };
  struct qry_id id = w->entry.id;
  bool arrived;

  command->kind = ONC_WAIT;
  w->now += RW_MSEC;
  if (fault == BEFORE_CONNECT || fault == AFTER_CONNECT)
    {
      onc_entry_on_unsent (&w->entry, attempt, &why, w->now, command);
      return;
    }
  if (fault == RELAY_FROZEN)
    {
      defer (w, fault, holder, id);
      return;
    }
  if (fault == DURING_WRITE)
    {
      onc_entry_on_lost (&w->entry, attempt, &why, w->now, command);
      return;
    }
  arrived = arrive (w, fault, holder, id, w->now, &result);
  if (fault == RECORD_REPLAYED)
    {
      struct onc_result ignored;

      arrive (w, NO_FAULT, holder, id, w->now, &ignored);
    }
  w->now += RW_MSEC;
  if (fault == RESULT_LATE)
    w->now = DEADLINE + RW_MSEC;
  if (fault == FROZEN_BEFORE_DISPATCH || fault == FROZEN_AFTER_DISPATCH)
    return;
  if (fault == RESULT_CROSSED)
    assert_int_equal (onc_entry_on_result (&w->entry, (struct qry_id){ 1, 9 },
                                           attempt, &result, w->now, command),
                      RW_E_MISMATCH);
  else if (fault == RESULT_LATE)
    onc_entry_tick (&w->entry, w->now, command);
  else if (arrived)
    assert_int_equal (
        onc_entry_on_result (&w->entry, id, attempt, &result, w->now, command),
        0);
  else
    onc_entry_on_lost (&w->entry, attempt, &why, w->now, command);
}

/* Carries one caller's request to its answer.  */
static void
request (struct world *w, struct qry_id id)
{
  struct onc_command command;

  onc_entry_init (&w->entry, id, DEADLINE, w->disabled);
  onc_entry_start (&w->entry, w->now, &command);
  while (command.kind == ONC_SEND)
    {
      uint32_t attempt = command.u.send.attempt;

      w->unlike_holders |= attempt > 1 && !w->one_holder;
      try_once (w, attempt, &command);
    }
  if (command.kind == ONC_WAIT)
    {
      w->now = DEADLINE;
      onc_entry_tick (&w->entry, w->now, &command);
    }
  assert_int_equal (command.kind, ONC_ANSWER);
  w->answers++;
  w->status = command.u.answer.status;
  w->ran = command.u.answer.ran;
  assert_int_equal (w->ran == QRY_RAN_NO, command.u.answer.retry_after >= 0);
  rw_buf_finish (&command.u.answer.body);
}

/* Lets frozen processes resume 10 s later.  */
static void
resume (struct world *w)
{
  struct onc_command command;

  for (size_t i = 0; i < w->deferred_count; i++)
    {
      struct deferred *d = &w->deferred[i];
      struct onc_result result;

      w->now = d->sent + 10 * RW_SEC;
      if (d->fault == RELAY_FROZEN)
        arrive (w, NO_FAULT, d->holder, d->id, d->sent, &result);
      else if (onc_holder_dispatch (&w->holders[d->holder], key, d->id, w->now,
                                    &result)
               == 0)
        exchange (w, NO_FAULT, d->holder, d->id, &result);
      if (result.status == ONC_OK || result.status == ONC_NOT_RUN)
        assert_int_equal (onc_entry_on_result (&w->entry, d->id,
                                               w->entry.attempt, &result,
                                               w->now, &command),
                          RW_E_MISMATCH);
    }
}

static void
world_init (struct world *w, unsigned int disabled, unsigned int sequence,
            bool one_holder)
{
  memset (w, 0, sizeof *w);
  w->disabled = disabled;
  w->one_holder = one_holder;
  for (size_t i = 0; i < TRIES; i++, sequence /= FAULTS)
    w->faults[i] = (enum fault) (sequence % FAULTS);
  onc_clock_init (&w->clock, disabled);
  onc_clock_add_sample (&w->clock, 0, RW_MSEC, 2 * RW_MSEC);
  for (int i = 0; i < HOLDERS; i++)
    onc_table_init (&w->holders[i], 16, disabled);
}

struct totals
{
  int cases;
  int twice;
  int false_no;
  int false_yes;
  int late;
  int repeats_run;
  int yes;
  int no;
  int unknown;
};

/* Runs one sequence of faults; REPEAT: the caller sends its key again.  */
static void
run_case (struct totals *sum, unsigned int disabled, unsigned int sequence,
          bool one_holder, bool repeat)
{
  struct world w;
  int before;

  world_init (&w, disabled, sequence, one_holder);
  request (&w, (struct qry_id){ 1, 1 });
  resume (&w);
  sum->cases++;
  sum->twice += w.runs > 1;
  sum->late += w.late_runs > 0;
  sum->false_no += w.ran == QRY_RAN_NO && w.runs != 0;
  sum->false_yes += w.ran == QRY_RAN_YES && w.runs == 0;
  sum->yes += w.ran == QRY_RAN_YES;
  sum->no += w.ran == QRY_RAN_NO;
  sum->unknown += w.ran == QRY_RAN_UNKNOWN;
  before = w.runs;
  if (repeat && before > 0 && !w.killed && !w.unlike_holders)
    {
      memset (w.faults, 0, sizeof w.faults);
      w.deferred_count = 0;
      w.now = 3 * RW_MSEC;
      request (&w, (struct qry_id){ 1, 2 });
      sum->repeats_run += w.runs > before;
    }
  for (int i = 0; i < HOLDERS; i++)
    onc_table_finish (&w.holders[i]);
}

static struct totals
enumerate (unsigned int disabled)
{
  struct totals sum = { 0 };
  unsigned int sequences = 1;

  for (size_t i = 0; i < TRIES; i++)
    sequences *= FAULTS;
  for (unsigned int s = 0; s < sequences; s++)
    {
      run_case (&sum, disabled, s, false, false);
      run_case (&sum, disabled, s, true, true);
    }
  print_message ("disabled %#x: %d cases, yes %d no %d unknown %d; twice %d "
                 "false no %d false yes %d late %d repeats run %d\n",
                 disabled, sum.cases, sum.yes, sum.no, sum.unknown, sum.twice,
                 sum.false_no, sum.false_yes, sum.late, sum.repeats_run);
  return sum;
}

/* Guards against a request that runs twice, a "not run" or "yes" that is not
   true, a run after the deadline, and a repeated key that runs again (P6, P7),
   for every sequence of three faults.  */
TEST (every_fault_at_every_step)
{
  struct totals sum = enumerate (0);

  assert_int_equal (sum.twice, 0);
  assert_int_equal (sum.false_no, 0);
  assert_int_equal (sum.false_yes, 0);
  assert_int_equal (sum.late, 0);
  assert_int_equal (sum.repeats_run, 0);
  assert_true (sum.yes > 0 && sum.no > 0 && sum.unknown > 0);
}

/* Guards against an enumeration that would not see a retry of what may have
   run.  */
TEST (fails_with_retries_of_the_unknown)
{
  struct totals sum = enumerate (ONC_MECH_AT_MOST_ONCE);

  assert_true (sum.twice > 0);
  assert_true (sum.false_no > 0);
}

/* Guards against an enumeration that would not see a holder without memory.
 */
TEST (fails_without_the_memory_of_ids)
{
  struct totals sum = enumerate (ONC_MECH_DEDUPLICATION);

  assert_true (sum.twice > 0);
  assert_true (sum.repeats_run > 0);
}

/* Guards against an enumeration that would not see a frozen relay run a
   request late.  */
TEST (fails_without_the_message_age)
{
  assert_true (enumerate (ONC_MECH_MESSAGE_AGE).late > 0);
}

/* Guards against an id that is forgotten too early, or a table that grows or
   evicts instead of refusing.  */
TEST (memory_is_bounded_and_lasts)
{
  struct onc_table table;
  struct onc_result result;
  struct qry_id id = { 1, 1 };
  rw_time end = RW_SEC;
  char name[16] = "";

  onc_table_init (&table, 3, 0);
  for (int i = 0; i < 3; i++)
    {
      struct rw_str k
          = { name, (size_t)snprintf (name, sizeof name, "key-%d", i) };

      assert_int_equal (onc_holder_accept (&table, k, id, end, 0, &result), 0);
      assert_int_equal (onc_holder_dispatch (&table, k, id, 0, &result), 0);
      assert_int_equal (onc_holder_dispatch (&table, k, id, 0, &result),
                        RW_E_DUPLICATE);
      onc_holder_on_reply (&table, k, id, 200, 0, RW_LIT ("done"), 0, &result);
    }
  assert_int_equal (
      onc_holder_accept (&table, RW_LIT ("key-3"), id, end, 1, &result),
      RW_E_QUEUE_FULL);
  assert_int_equal (result.status, ONC_NOT_RUN);
  assert_int_equal (result.retry_after, end + ONC_RETENTION_TIME - 1);
  assert_int_equal (onc_holder_accept (&table, RW_LIT ("key-0"), id, 100 * end,
                                       end + ONC_RETENTION_TIME - 1, &result),
                    RW_E_DUPLICATE);
  assert_int_equal (result.status, ONC_RECORDED);
  assert_true (rw_str_eq (result.body, RW_LIT ("done")));
  assert_int_equal (onc_holder_accept (&table, RW_LIT ("key-0"), id, 100 * end,
                                       end + ONC_RETENTION_TIME, &result),
                    0);
  assert_int_equal (onc_table_count (&table), 1);
  assert_int_equal (
      onc_holder_accept (&table, RW_LIT (""), id, 100 * end, 0, &result),
      RW_E_RANGE);
  onc_table_finish (&table);
}

/* Guards against a long answer that fills the memory, or that is reported as
   "not run" when its key is repeated.  */
TEST (long_answers_are_not_recorded)
{
  static char body[ONC_ANSWER_MAX + 1];
  struct onc_table table;
  struct onc_result result;
  struct qry_id id = { 1, 1 };

  onc_table_init (&table, 4, 0);
  onc_holder_accept (&table, key, id, RW_SEC, 0, &result);
  onc_holder_dispatch (&table, key, id, 0, &result);
  onc_holder_on_reply (&table, key, id, 200, 0,
                       (struct rw_str){ body, sizeof body }, 0, &result);
  assert_int_equal (result.status, ONC_OK);
  assert_int_equal (onc_holder_accept (&table, key, id, RW_SEC, 1, &result),
                    RW_E_DUPLICATE);
  assert_int_equal (result.status, ONC_DUPLICATE);
  onc_table_finish (&table);
}

/* Guards against an age above or below what clock offsets and uneven delays
   allow: the highest age is never too low, the estimate is off by at most half
   the round trip.  */
TEST (ages_stay_within_their_bounds)
{
  struct rw_rng rng;

  rw_rng_init (&rng, 3);
  for (int n = 0; n < 2000; n++)
    {
      struct onc_clock clock;
      rw_time offset = (rw_time)rw_rng_below (&rng, 1000 * RW_SEC) - RW_SEC;
      rw_time now = 2 * RW_SEC;
      rw_time age = (rw_time)rw_rng_below (&rng, RW_SEC);
      rw_time best = RW_TIME_NEVER;
      rw_time estimate;

      onc_clock_init (&clock, 0);
      for (int i = 0; i < 4; i++)
        {
          rw_time there = (rw_time)rw_rng_below (&rng, 20 * RW_MSEC);
          rw_time back = (rw_time)rw_rng_below (&rng, 20 * RW_MSEC);

          onc_clock_add_sample (&clock, 100, 100 + there + offset,
                                100 + there + back);
          best = there + back < best ? there + back : best;
        }
      estimate = onc_clock_age (&clock, now - age + offset, now);
      assert_in_range (estimate - age + best, 0, 2 * best);
      assert_true (2 * (estimate - age) <= best + 2
                   && 2 * (age - estimate) <= best + 2);
      assert_true (onc_clock_max_age (&clock, now - age + offset, now) >= age);
    }
}

/* Guards against a once request that runs though its age is not known.  */
TEST (unknown_age_leaves_no_time)
{
  struct onc_clock clock;

  onc_clock_init (&clock, 0);
  assert_int_equal (onc_clock_remaining (&clock, RW_SEC, 0, 0, true), 0);
  assert_int_equal (onc_clock_remaining (&clock, RW_SEC, 0, 0, false), RW_SEC);
  onc_clock_add_sample (&clock, 10, 5, 4);
  assert_false (clock.has_sample);
  onc_clock_add_sample (&clock, 0, 100, 20);
  assert_int_equal (onc_clock_remaining (&clock, 500, 190, 200, false), 400);
  assert_int_equal (onc_clock_remaining (&clock, 500, 190, 200, true), 390);
  assert_int_equal (onc_clock_remaining (&clock, 50, 190, 200, false), 0);
}

/* Guards against a request without target that is held, or reported as
   unknown although it was never sent.  */
TEST (no_target_is_not_run)
{
  struct onc_entry entry;
  struct onc_command command;
  struct rw_err why = why_of (RW_E_OUT);

  onc_entry_init (&entry, (struct qry_id){ 1, 1 }, RW_SEC, 0);
  onc_entry_start (&entry, 0, &command);
  assert_int_equal (command.kind, ONC_SEND);
  onc_entry_on_no_target (&entry, &why, 0, &command);
  assert_int_equal (command.kind, ONC_ANSWER);
  assert_int_equal (command.u.answer.status, 503);
  assert_int_equal (command.u.answer.ran, QRY_RAN_NO);
  rw_buf_finish (&command.u.answer.body);
  onc_entry_init (&entry, (struct qry_id){ 1, 2 }, RW_SEC, 0);
  onc_entry_start (&entry, RW_SEC, &command);
  assert_int_equal (command.u.answer.ran, QRY_RAN_NO);
  rw_buf_finish (&command.u.answer.body);
}

/* Guards against a key that runs again at the successor of a holder, and
   against one that never ran and is taken for a duplicate there.  */
TEST (ids_that_may_have_run_are_handed_over)
{
  struct qry_id id = { 1, 1 };
  struct rw_str ran = RW_LIT ("s\nran");
  struct rw_str waits = RW_LIT ("s\nwaits");
  struct onc_table from;
  struct onc_table to;
  struct onc_exported_key memories[4];
  struct onc_result result;

  onc_table_init (&from, 4, 0);
  onc_table_init (&to, 4, 0);
  assert_int_equal (onc_holder_accept (&from, ran, id, 10, 0, &result), 0);
  assert_int_equal (onc_holder_dispatch (&from, ran, id, 0, &result), 0);
  onc_holder_on_reply (&from, ran, id, 200, 0, RW_LIT ("{}"), 1, &result);
  assert_int_equal (onc_holder_accept (&from, waits, id, 10, 1, &result), 0);
  assert_int_equal (onc_table_export (&from, 1, memories, 4), 1);
  onc_table_import (&to, &memories[0], 1);
  assert_int_equal (onc_holder_accept (&to, ran, id, 10, 2, &result),
                    RW_E_DUPLICATE);
  assert_int_equal (result.status, ONC_RECORDED);
  assert_true (rw_str_eq_cstr (result.body, "{}"));
  assert_int_equal (onc_holder_accept (&to, waits, id, 10, 2, &result), 0);
  onc_table_finish (&from);
  onc_table_finish (&to);
}
