#include "once.h"
#include "unit.h"

#define DEADLINE (500 * RW_MSEC)
#define ATTEMPTS 3
#define HOLDER_COUNT 2
#define DEFERRED_MAX 8

/* The fault of one attempt, in the order of the attempt's steps.  */
enum fault
{
  NO_FAULT,
  BEFORE_CONNECT, /* of the entry daemon to the holder */
  AFTER_CONNECT,  /* before the first byte */
  DURING_WRITE,   /* the holder receives an incomplete record */
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
  KILL_DURING_WRITE_TO_TARGET, /* the target gets an incomplete request */
  KILL_AFTER_DISPATCH,         /* the target runs the request */
  FROZEN_AFTER_DISPATCH,
  RESET_BEFORE_RUN,
  RESET_AFTER_RUN,
  TARGET_REFUSES,
  TARGET_FAILS_BEFORE_RUN, /* status 500 */
  TARGET_FAILS_AFTER_RUN,
  TARGET_REFUSES_UNCLEARLY, /* runs; status 503 without {"ran":"no"} */
  REPLY_LOST,
  RESULT_LOST,
  RESULT_LATE,
  RESULT_CROSSED, /* carries the id of another request */
  FAULT_COUNT
};

/* An attempt whose daemon is frozen.  */
struct deferred
{
  enum fault fault;
  int holder;
  struct qry_id id;
  rw_time sent_at;
};

/* A simulated entry daemon with its holders and a target.  */
struct sim
{
  unsigned int disabled;
  enum fault faults[ATTEMPTS];
  bool one_holder;
  rw_time now;
  struct onc_clock clock;
  struct onc_entry entry;
  struct onc_table holders[HOLDER_COUNT];
  bool killed;
  bool several_holders; /* attempts went to more than one holder */
  struct deferred deferred[DEFERRED_MAX];
  size_t deferred_count;
  int runs;
  int late_runs; /* after the deadline */
  int answers;
  int status; /* HTTP status of the last answer */
  enum qry_ran ran;
};

static const struct rw_str key = { "reserve-svc key-7", 17 };

static struct rw_err
make_error (int code)
{
  struct rw_err cause = { 0 };

  rw_err_set (&cause, code, "test", RW_LIT ("peer"), "fault");
  return cause;
}

static void
run_on_target (struct sim *sim)
{
  sim->runs++;
  sim->late_runs += sim->now > DEADLINE;
}

static void
defer (struct sim *sim, enum fault fault, int holder, struct qry_id id)
{
  assert_true (sim->deferred_count < DEFERRED_MAX);
  sim->deferred[sim->deferred_count++]
      = (struct deferred){ fault, holder, id, sim->now };
}

static void
kill_holder (struct sim *sim, int holder)
{
  onc_table_finish (&sim->holders[holder]);
  onc_table_init (&sim->holders[holder], 16, sim->disabled);
  sim->killed = true;
}

/* Simulates the holder's exchange with the target.  Returns whether RESULT
   reaches the entry daemon.  */
static bool
exchange_with_target (struct sim *sim, enum fault fault, int holder,
                      struct qry_id id, struct onc_result *result)
{
  struct onc_table *t = &sim->holders[holder];
  struct rw_err cause = make_error (RW_E_RESET);
  struct rw_str ok = RW_LIT ("{\"reserved\":1}");

  switch (fault)
    {
    case TARGET_UNREACHABLE:
      onc_holder_on_unsent (t, key, id, &cause, sim->now, result);
      return true;
    case KILL_DURING_WRITE_TO_TARGET:
      kill_holder (sim, holder);
      return false;
    case KILL_AFTER_DISPATCH:
      run_on_target (sim);
      kill_holder (sim, holder);
      return false;
    case RESET_BEFORE_RUN:
      onc_holder_on_lost (t, key, id, &cause, sim->now, result);
      return true;
    case TARGET_REFUSES:
      onc_holder_on_reply (t, key, id, 503, RW_MSEC,
                           RW_LIT ("{\"ran\":\"no\"}"), sim->now, result);
      return true;
    case TARGET_FAILS_BEFORE_RUN:
      onc_holder_on_reply (t, key, id, 500, 0, RW_LIT ("{\"ran\":\"no\"}"),
                           sim->now, result);
      return true;
    default:
      break;
    }
  run_on_target (sim);
  switch (fault)
    {
    case RESET_AFTER_RUN:
    case REPLY_LOST:
      onc_holder_on_lost (t, key, id, &cause, sim->now, result);
      return true;
    case TARGET_FAILS_AFTER_RUN:
      onc_holder_on_reply (t, key, id, 500, 0, RW_LIT (""), sim->now, result);
      return true;
    case TARGET_REFUSES_UNCLEARLY:
      onc_holder_on_reply (t, key, id, 503, 0, RW_LIT ("busy"), sim->now,
                           result);
      return true;
    default:
      onc_holder_on_reply (t, key, id, 200, 0, ok, sim->now, result);
      return fault != RESULT_LOST && fault != FROZEN_AFTER_DISPATCH;
    }
}

/* Delivers a message that was sent at SENT to a holder.  Returns whether
   RESULT reaches the entry daemon.  */
static bool
deliver (struct sim *sim, enum fault fault, int holder, struct qry_id id,
         rw_time sent, struct onc_result *result)
{
  struct onc_table *t = &sim->holders[holder];
  struct rw_err cause = make_error (RW_E_SHED);
  rw_time left = onc_clock_remaining (&sim->clock, DEADLINE - sent, sent,
                                      sim->now, true);
  struct onc_result ignored;

  if (onc_holder_accept (t, key, id, sim->now + left, sim->now, result) != 0)
    return true;
  if (fault == KEY_REPEATED_IN_FLIGHT
      && onc_holder_accept (t, key, (struct qry_id){ 5, 5 }, sim->now + left,
                            sim->now, &ignored)
             == 0)
    run_on_target (sim);
  switch (fault)
    {
    case AFTER_WRITE_HOLDER_DROPS:
      onc_holder_drop (t, key, id, &cause, 0, sim->now, result);
      assert_int_equal (onc_holder_dispatch (t, key, id, sim->now, &ignored),
                        RW_E_DUPLICATE);
      return false;
    case KILL_BEFORE_DISPATCH:
      kill_holder (sim, holder);
      return false;
    case FROZEN_BEFORE_DISPATCH:
      defer (sim, fault, holder, id);
      return false;
    case HOLDER_REFUSES:
      onc_holder_drop (t, key, id, &cause, 2 * RW_MSEC, sim->now, result);
      return true;
    default:
      break;
    }
  if (fault == SHORT_FREEZE_BEFORE_DISPATCH)
    sim->now += 50 * RW_MSEC;
  if (onc_holder_dispatch (t, key, id, sim->now, result) != 0)
    return true;
  return exchange_with_target (sim, fault, holder, id, result)
         && fault != AFTER_WRITE_HOLDER_GOES_ON;
}

/* Simulates the transport for one attempt.  Fills COMMAND with the entry
   daemon's next step.  */
static void
make_attempt (struct sim *sim, uint32_t attempt, struct onc_command *command)
{
  enum fault fault = sim->faults[(attempt - 1) % ATTEMPTS];
  int holder = sim->one_holder ? 0 : (int)attempt % HOLDER_COUNT;
  struct rw_err cause = make_error (RW_E_RESET);
  struct onc_result result = { 0 };
  struct qry_id id = sim->entry.id;
  bool has_result;

  command->kind = ONC_WAIT;
  sim->now += RW_MSEC;
  if (fault == BEFORE_CONNECT || fault == AFTER_CONNECT)
    {
      onc_entry_on_unsent (&sim->entry, attempt, &cause, sim->now, command);
      return;
    }
  if (fault == RELAY_FROZEN)
    {
      defer (sim, fault, holder, id);
      return;
    }
  if (fault == DURING_WRITE)
    {
      onc_entry_on_lost (&sim->entry, attempt, &cause, sim->now, command);
      return;
    }
  has_result = deliver (sim, fault, holder, id, sim->now, &result);
  if (fault == RECORD_REPLAYED)
    {
      struct onc_result ignored;

      deliver (sim, NO_FAULT, holder, id, sim->now, &ignored);
    }
  sim->now += RW_MSEC;
  if (fault == RESULT_LATE)
    sim->now = DEADLINE + RW_MSEC;
  if (fault == FROZEN_BEFORE_DISPATCH || fault == FROZEN_AFTER_DISPATCH)
    return;
  if (fault == RESULT_CROSSED)
    assert_int_equal (onc_entry_on_result (&sim->entry,
                                           (struct qry_id){ 1, 9 }, attempt,
                                           &result, sim->now, command),
                      RW_E_MISMATCH);
  else if (fault == RESULT_LATE)
    onc_entry_tick (&sim->entry, sim->now, command);
  else if (has_result)
    assert_int_equal (onc_entry_on_result (&sim->entry, id, attempt, &result,
                                           sim->now, command),
                      0);
  else
    onc_entry_on_lost (&sim->entry, attempt, &cause, sim->now, command);
}

/* Runs one caller's request until its answer.  */
static void
run_request (struct sim *sim, struct qry_id id)
{
  struct onc_command command;

  onc_entry_init (&sim->entry, id, DEADLINE, sim->disabled);
  onc_entry_start (&sim->entry, sim->now, &command);
  while (command.kind == ONC_SEND)
    {
      uint32_t attempt = command.u.send.attempt;

      sim->several_holders |= attempt > 1 && !sim->one_holder;
      make_attempt (sim, attempt, &command);
    }
  if (command.kind == ONC_WAIT)
    {
      sim->now = DEADLINE;
      onc_entry_tick (&sim->entry, sim->now, &command);
    }
  assert_int_equal (command.kind, ONC_ANSWER);
  sim->answers++;
  sim->status = command.u.answer.status;
  sim->ran = command.u.answer.ran;
  assert_int_equal (sim->ran == QRY_RAN_NO, command.u.answer.retry_after >= 0);
  rw_buf_finish (&command.u.answer.body);
}

/* Resumes each frozen daemon 10 s after its attempt was sent.  */
static void
resume_frozen (struct sim *sim)
{
  struct onc_command command;

  for (size_t i = 0; i < sim->deferred_count; i++)
    {
      struct deferred *d = &sim->deferred[i];
      struct onc_result result = { .status = ONC_DUPLICATE };

      sim->now = d->sent_at + 10 * RW_SEC;
      if (d->fault == RELAY_FROZEN)
        deliver (sim, NO_FAULT, d->holder, d->id, d->sent_at, &result);
      else if (onc_holder_dispatch (&sim->holders[d->holder], key, d->id,
                                    sim->now, &result)
               == 0)
        exchange_with_target (sim, NO_FAULT, d->holder, d->id, &result);
      if (result.status == ONC_OK || result.status == ONC_NOT_RUN)
        assert_int_equal (onc_entry_on_result (&sim->entry, d->id,
                                               sim->entry.attempt, &result,
                                               sim->now, &command),
                          RW_E_MISMATCH);
    }
}

static void
sim_init (struct sim *sim, unsigned int disabled, unsigned int sequence,
          bool one_holder)
{
  memset (sim, 0, sizeof *sim);
  sim->disabled = disabled;
  sim->one_holder = one_holder;
  for (size_t i = 0; i < ATTEMPTS; i++, sequence /= FAULT_COUNT)
    sim->faults[i] = (enum fault) (sequence % FAULT_COUNT);
  onc_clock_init (&sim->clock, disabled);
  onc_clock_add_sample (&sim->clock, 0, RW_MSEC, 2 * RW_MSEC);
  for (int i = 0; i < HOLDER_COUNT; i++)
    onc_table_init (&sim->holders[i], 16, disabled);
}

/* Counts of cases by outcome.  */
struct totals
{
  int cases;
  int ran_twice;
  int false_no;    /* answered "not run", but ran */
  int false_yes;   /* answered "ran", but did not run */
  int ran_late;    /* after the deadline */
  int repeats_run; /* the repeated key ran again */
  int yes;         /* answered "ran" */
  int no;          /* answered "not run" */
  int unknown;
};

/* Runs a request with one sequence of faults and adds what was seen to SUM.
   With REPEAT, the caller sends the key again, without faults.  */
static void
run_case (struct totals *sum, unsigned int disabled, unsigned int sequence,
          bool one_holder, bool repeat)
{
  struct sim sim;
  int before;

  sim_init (&sim, disabled, sequence, one_holder);
  run_request (&sim, (struct qry_id){ 1, 1 });
  resume_frozen (&sim);
  sum->cases++;
  sum->ran_twice += sim.runs > 1;
  sum->ran_late += sim.late_runs > 0;
  sum->false_no += sim.ran == QRY_RAN_NO && sim.runs != 0;
  sum->false_yes += sim.ran == QRY_RAN_YES && sim.runs == 0;
  sum->yes += sim.ran == QRY_RAN_YES;
  sum->no += sim.ran == QRY_RAN_NO;
  sum->unknown += sim.ran == QRY_RAN_UNKNOWN;
  before = sim.runs;
  if (repeat && before > 0 && !sim.killed && !sim.several_holders)
    {
      memset (sim.faults, 0, sizeof sim.faults);
      sim.deferred_count = 0;
      sim.now = 3 * RW_MSEC;
      run_request (&sim, (struct qry_id){ 1, 2 });
      sum->repeats_run += sim.runs > before;
    }
  for (int i = 0; i < HOLDER_COUNT; i++)
    onc_table_finish (&sim.holders[i]);
}

static struct totals
enumerate (unsigned int disabled)
{
  struct totals sum = { 0 };
  unsigned int sequences = 1;

  for (size_t i = 0; i < ATTEMPTS; i++)
    sequences *= FAULT_COUNT;
  for (unsigned int s = 0; s < sequences; s++)
    {
      run_case (&sum, disabled, s, false, false);
      run_case (&sum, disabled, s, true, true);
    }
  print_message ("disabled %#x: %d cases, yes %d no %d unknown %d; twice %d "
                 "false no %d false yes %d late %d repeats run %d\n",
                 disabled, sum.cases, sum.yes, sum.no, sum.unknown,
                 sum.ran_twice, sum.false_no, sum.false_yes, sum.ran_late,
                 sum.repeats_run);
  return sum;
}

/* Guards against a request that runs twice or after its deadline, a false
   answer that it ran or did not run, and a repeated key that runs again
   (properties P6 and P7), for every sequence of three faults.  */
TEST (at_most_once_under_every_fault)
{
  struct totals sum = enumerate (0);

  assert_int_equal (sum.ran_twice, 0);
  assert_int_equal (sum.false_no, 0);
  assert_int_equal (sum.false_yes, 0);
  assert_int_equal (sum.ran_late, 0);
  assert_int_equal (sum.repeats_run, 0);
  assert_true (sum.yes > 0 && sum.no > 0 && sum.unknown > 0);
}

/* Guards against an enumeration that misses a retry of a request that may have
   run.  */
TEST (fails_if_unknown_outcomes_are_retried)
{
  struct totals sum = enumerate (ONC_MECH_AT_MOST_ONCE);

  assert_true (sum.ran_twice > 0);
  assert_true (sum.false_no > 0);
}

/* Guards against an enumeration that misses a holder that accepts a repeated
   key.  */
TEST (fails_without_deduplication)
{
  struct totals sum = enumerate (ONC_MECH_DEDUPLICATION);

  assert_true (sum.ran_twice > 0);
  assert_true (sum.repeats_run > 0);
}

/* Guards against an enumeration that misses a request that runs late because
   its message was delayed by a frozen relay.  */
TEST (fails_without_message_age)
{
  assert_true (enumerate (ONC_MECH_MESSAGE_AGE).ran_late > 0);
}

/* Guards against a key that is forgotten too early, and a full table that
   grows or evicts a key instead of refusing.  */
TEST (table_is_bounded_and_retains_keys)
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

/* Guards against a long answer that is recorded and uses memory, or that is
   reported as "not run" if its key is repeated.  */
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

/* Guards against a wrong message age under clock offsets and asymmetric
   delays: the upper bound must not be below the true age, and the error of the
   estimate must not exceed half the round trip.  */
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
          rw_time forward = (rw_time)rw_rng_below (&rng, 20 * RW_MSEC);
          rw_time back = (rw_time)rw_rng_below (&rng, 20 * RW_MSEC);

          onc_clock_add_sample (&clock, 100, 100 + forward + offset,
                                100 + forward + back);
          best = forward + back < best ? forward + back : best;
        }
      estimate = onc_clock_age (&clock, now - age + offset, now);
      assert_in_range (estimate - age + best, 0, 2 * best);
      assert_true (2 * (estimate - age) <= best + 2
                   && 2 * (age - estimate) <= best + 2);
      assert_true (onc_clock_max_age (&clock, now - age + offset, now) >= age);
    }
}

/* Guards against a once request that runs although the age of its message is
   not known.  */
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

/* Guards against a request without a target that is kept waiting, or that is
   reported as unknown although it was never sent.  */
TEST (no_target_is_not_run)
{
  struct onc_entry entry;
  struct onc_command command;
  struct rw_err cause = make_error (RW_E_OUT);

  onc_entry_init (&entry, (struct qry_id){ 1, 1 }, RW_SEC, 0);
  onc_entry_start (&entry, 0, &command);
  assert_int_equal (command.kind, ONC_SEND);
  onc_entry_on_no_target (&entry, &cause, 0, &command);
  assert_int_equal (command.kind, ONC_ANSWER);
  assert_int_equal (command.u.answer.status, 503);
  assert_int_equal (command.u.answer.ran, QRY_RAN_NO);
  rw_buf_finish (&command.u.answer.body);
  onc_entry_init (&entry, (struct qry_id){ 1, 2 }, RW_SEC, 0);
  onc_entry_start (&entry, RW_SEC, &command);
  assert_int_equal (command.u.answer.ran, QRY_RAN_NO);
  rw_buf_finish (&command.u.answer.body);
}

/* Guards against a request that runs twice, because its key was handed over to
   a full table: until the key would have been forgotten, a request that is not
   in the table may be its repetition.  */
TEST (a_key_handed_to_a_full_table_does_not_run_again)
{
  struct qry_id id = { 1, 1 };
  struct rw_str handed = RW_LIT ("s\nhanded");
  struct rw_err cancelled = make_error (RW_E_RESET);
  struct onc_exported_key lost = { rw_hash (handed), 3 * RW_SEC, RW_LIT ("") };
  struct onc_table table;
  struct onc_result result;

  onc_table_init (&table, 1, 0);
  assert_int_equal (
      onc_holder_accept (&table, RW_LIT ("s\nother"), id, 10, 0, &result), 0);
  onc_table_import (&table, &lost, 1);
  onc_holder_drop (&table, RW_LIT ("s\nother"), id, &cancelled, 0, 2, &result);
  assert_int_equal (onc_holder_accept (&table, handed, id, RW_SEC, 3, &result),
                    RW_E_QUEUE_FULL);
  assert_int_equal (result.status, ONC_NOT_RUN);
  assert_int_equal (result.retry_after, 3 * RW_SEC - 2);
  assert_int_equal (onc_holder_accept (&table, handed, id, 5 * RW_SEC,
                                       3 * RW_SEC + 1, &result),
                    0);
  onc_table_finish (&table);
}

/* Guards against a key that runs again at the next holder of a target, and
   against a key that never ran but is refused as a duplicate there.  */
TEST (keys_that_may_have_run_are_handed_over)
{
  struct qry_id id = { 1, 1 };
  struct rw_str ran = RW_LIT ("s\nran");
  struct rw_str not_dispatched = RW_LIT ("s\nwaits");
  struct onc_table from;
  struct onc_table to;
  struct onc_exported_key keys[4];
  struct onc_result result;

  onc_table_init (&from, 4, 0);
  onc_table_init (&to, 4, 0);
  assert_int_equal (onc_holder_accept (&from, ran, id, 10, 0, &result), 0);
  assert_int_equal (onc_holder_dispatch (&from, ran, id, 0, &result), 0);
  onc_holder_on_reply (&from, ran, id, 200, 0, RW_LIT ("{}"), 1, &result);
  assert_int_equal (
      onc_holder_accept (&from, not_dispatched, id, 10, 1, &result), 0);
  assert_int_equal (onc_table_export (&from, 1, keys, 4), 1);
  onc_table_import (&to, &keys[0], 1);
  assert_int_equal (onc_holder_accept (&to, ran, id, 10, 2, &result),
                    RW_E_DUPLICATE);
  assert_int_equal (result.status, ONC_RECORDED);
  assert_true (rw_str_eq_cstr (result.body, "{}"));
  assert_int_equal (
      onc_holder_accept (&to, not_dispatched, id, 10, 2, &result), 0);
  onc_table_finish (&from);
  onc_table_finish (&to);
}
