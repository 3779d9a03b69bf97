/* When a daemon takes itself to be cut off from the targets, under patterns of
   failure: what connections, sends and probes show from the start of the
   trouble on.  */

#include "reach.h"
#include "unit.h"

#define TICK (100 * RW_MSEC)

/* What the daemon's ways to the targets are like.  */
struct ways
{
  bool replies;   /* sends are answered */
  bool waiting;   /* sends are in flight */
  bool stalled;   /* all of them have stalled */
  size_t opened;  /* probes of each round that are opened */
  bool refused;   /* the others are refused, not unanswered */
  size_t failing; /* targets to which other connections fail */
};

struct fixture
{
  struct rch_reach reach;
  size_t probes;
};

static void
begin (struct fixture *f)
{
  rch_init (&f->reach, 0);
}

static void
end (struct fixture *f)
{
  (void)f;
}

UNIT_FIXTURE (begin, end)

/* Runs ticks from FROM to TO, with probes that take their time.  Returns when
   the state last changed, or 0.  */
static rw_time
run (struct fixture *f, const struct ways *ways, rw_time from, rw_time to)
{
  static rw_time due;
  static size_t left;
  rw_time changed = 0;
  if (f->reach.round_size == 0)
    left = 0;
  for (rw_time now = from; now < to; now += TICK)
    {
      struct rch_sends sends = { 0, 0 };
      if (ways->replies)
        rch_on_reply (&f->reach, now);
      if (ways->waiting)
        sends = (struct rch_sends){ 4, ways->stalled ? 4 : 1 };
      for (size_t i = 0; i < ways->failing; i++)
        rch_on_connect_failed (&f->reach, i + 1, now);
      if (left > 0 && now >= due)
        for (size_t i = 0; left > 0; i++, left--)
          if (rch_on_probe (&f->reach,
                            i < ways->opened ? RCH_PROBE_OPENED
                            : ways->refused  ? RCH_PROBE_REFUSED
                                             : RCH_PROBE_NO_ANSWER,
                            now))
            changed = now;
      size_t count = rch_probes_due (&f->reach, &sends, now);
      if (count == 0)
        continue;
      rch_begin_round (&f->reach, count, now);
      f->probes += count;
      left = count;
      due = now
            + (ways->opened < count && !ways->refused ? RCH_PROBE_TIMEOUT
                                                      : TICK);
    }
  return changed;
}

static const struct ways well
    = { .replies = true, .waiting = true, .opened = RCH_ROUND_PROBES };

/* Guards against a daemon that keeps its callers while its connections to
   targets hang: it is to know within a second, long before the 4 s after which
   its callers must be served as well as those of others.  */
TEST_WITH_FIXTURE (connections_that_hang)
{
  struct ways hang = { .waiting = true, .stalled = true };
  run (f, &well, 0, 5 * RW_SEC);
  assert_false (f->reach.cut_off);
  assert_int_equal (f->probes, 0);
  rw_time at = run (f, &hang, 5 * RW_SEC, 15 * RW_SEC);
  assert_true (f->reach.cut_off);
  assert_in_range (at, 5 * RW_SEC, 6 * RW_SEC);
  at = run (f, &well, 15 * RW_SEC, 20 * RW_SEC);
  assert_false (f->reach.cut_off);
  assert_in_range (at, 15 * RW_SEC, 16 * RW_SEC);
}

/* Guards against replies on connections that live on hiding that no new one
   can be opened.  */
TEST_WITH_FIXTURE (connections_that_live_on_while_new_ones_are_refused)
{
  struct ways refused
      = { .replies = true, .waiting = true, .refused = true, .failing = 3 };
  run (f, &well, 0, 5 * RW_SEC);
  rw_time at = run (f, &refused, 5 * RW_SEC, 15 * RW_SEC);
  assert_true (f->reach.cut_off);
  assert_in_range (at, 5 * RW_SEC, 6 * RW_SEC);
  at = run (f, &well, 15 * RW_SEC, 20 * RW_SEC);
  assert_false (f->reach.cut_off);
  assert_in_range (at, 15 * RW_SEC, 16 * RW_SEC);
}

/* Guards against a cut that is noticed only with the first request: at many
   daemons with few callers, each would lose one.  */
TEST_WITH_FIXTURE (a_daemon_without_requests_is_cut_off)
{
  struct ways calm = { .opened = RCH_ROUND_PROBES };
  struct ways cut = { .opened = 0 };
  run (f, &calm, 0, 10 * RW_SEC);
  assert_false (f->reach.cut_off);
  assert_in_range (f->probes, 5, 11);
  rw_time at = run (f, &cut, 10 * RW_SEC, 20 * RW_SEC);
  assert_in_range (at, 10 * RW_SEC, 12500 * RW_MSEC);
}

/* Guards against taking the loss of some targets for a cut: two crashed, and
   their shard's connections are refused.  */
TEST_WITH_FIXTURE (some_targets_crash)
{
  struct ways crash = { .replies = true,
                        .waiting = true,
                        .refused = true,
                        .opened = 1,
                        .failing = 4 };
  assert_int_equal (run (f, &crash, 0, 20 * RW_SEC), 0);
  assert_false (f->reach.cut_off);
}

/* Guards against taking a pause of the only target at work for a cut.  */
TEST_WITH_FIXTURE (the_only_target_at_work_pauses)
{
  struct ways pause
      = { .waiting = true, .stalled = true, .opened = RCH_ROUND_PROBES };
  run (f, &well, 0, 5 * RW_SEC);
  assert_int_equal (run (f, &pause, 5 * RW_SEC, 7 * RW_SEC), 0);
  assert_false (f->reach.cut_off);
  assert_in_range (f->probes, 1, 4 * RCH_ROUND_PROBES);
}

/* Guards against taking targets that are too busy for new connections for a
   cut, in an overload of all of them: they answer what they have.  */
TEST_WITH_FIXTURE (busy_targets_accept_no_connections)
{
  struct ways busy = { .replies = true, .waiting = true, .failing = 9 };
  assert_int_equal (run (f, &busy, 0, 20 * RW_SEC), 0);
  assert_false (f->reach.cut_off);
}

/* Guards against going back and forth while some ways are open and others are
   not: most of a round must be opened.  */
TEST_WITH_FIXTURE (few_ways_are_back)
{
  struct ways hang = { .waiting = true, .stalled = true };
  struct ways few = { .opened = 2 };
  struct ways most = { .opened = 3 };
  run (f, &hang, 0, 2 * RW_SEC);
  assert_true (f->reach.cut_off);
  assert_int_equal (run (f, &few, 2 * RW_SEC, 6 * RW_SEC), 0);
  assert_true (f->reach.cut_off);
  run (f, &most, 6 * RW_SEC, 8 * RW_SEC);
  assert_false (f->reach.cut_off);
}

/* Guards against rounds that never end where fewer targets are known than a
   round has probes, or none.  */
TEST (few_targets_are_known)
{
  struct rch_reach reach;
  struct rch_sends none = { 0, 0 };
  rch_init (&reach, 0);
  assert_int_equal (rch_probes_due (&reach, &none, RW_SEC), 0);
  assert_int_equal (rch_probes_due (&reach, &none, 2 * RW_SEC),
                    RCH_CHECK_PROBES);
  rch_begin_round (&reach, 0, 2 * RW_SEC);
  assert_int_equal (rch_probes_due (&reach, &none, 2 * RW_SEC), 0);
  assert_int_equal (rch_probes_due (&reach, &none, 3 * RW_SEC),
                    RCH_CHECK_PROBES);
  rch_begin_round (&reach, 1, 3 * RW_SEC);
  assert_false (rch_on_probe (&reach, RCH_PROBE_NO_ANSWER, 4 * RW_SEC));
  assert_int_equal (rch_probes_due (&reach, &none, 4 * RW_SEC),
                    RCH_ROUND_PROBES);
  rch_begin_round (&reach, 1, 4 * RW_SEC);
  assert_true (rch_on_probe (&reach, RCH_PROBE_NO_ANSWER, 5 * RW_SEC));
  assert_true (reach.cut_off);
}
