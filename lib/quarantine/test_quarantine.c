/* The evidence against single requests: what counts, what does not, what is
   kept and what messages carry.  */

#include "quarantine.h"
#include "unit.h"

#define KEY 0x1234567890abcdefU
#define SOFTWARE 7U
#define OTHER_SOFTWARE 8U
#define RUN_TIME (60 * RW_MSEC)

struct fixture
{
  struct qua_table table;
  rw_time now;
  uint64_t target; /* of the last end */
};

static void
begin (struct fixture *f)
{
  qua_init (&f->table, 1, 1);
  f->now = 100 * RW_SEC;
}

static void
end (struct fixture *f)
{
  qua_finish (&f->table);
}

UNIT_FIXTURE (begin, end)

/* A target with SOFTWARE ends under KEY, which was sent RUN_TIME ago.  */
static void
end_target (struct fixture *f, uint64_t key, uint32_t software)
{
  struct qua_end end = { .target = ++f->target,
                         .software = software,
                         .sent_at = f->now - RUN_TIME,
                         .ended_at = f->now };
  qua_on_end (&f->table, key, &end, f->now);
}

/* COUNT targets end, one after the other at INTERVAL.  */
static void
end_targets (struct fixture *f, uint64_t key, int count, rw_time interval)
{
  for (int i = 0; i < count; i++)
    {
      f->now += interval;
      end_target (f, key, SOFTWARE);
    }
}

static enum qua_verdict
verdict (const struct fixture *f, uint32_t software)
{
  return qua_verdict (&f->table, KEY, software, f->now);
}

/* Guards against sends of a request under which three targets have ended.  */
TEST_WITH_FIXTURE (three_ends_in_turn_hold_the_request_back)
{
  end_targets (f, KEY, 2, RW_SEC);
  f->now += RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_PASS);
  end_targets (f, KEY, 1, RW_SEC);
  assert_int_equal (verdict (f, SOFTWARE), QUA_CAREFUL);
  f->now += 200 * RW_MSEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
}

/* Guards against a popular request that is refused because a data centre, with
   all targets where it was in flight, was lost at one moment.  */
TEST_WITH_FIXTURE (ends_at_one_moment_do_not_hold_it_back)
{
  end_targets (f, KEY, 20, 0);
  f->now += RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_CAREFUL);
}

/* Guards against a query that ends the targets of all shards at once, again
   and again.  */
TEST_WITH_FIXTURE (an_end_after_those_at_one_moment_holds_it_back)
{
  end_targets (f, KEY, 20, 0);
  end_targets (f, KEY, 1, RW_SEC);
  f->now += 200 * RW_MSEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
}

/* Guards against a popular request that is refused because it was in flight at
   several targets of a release that ended one by one.  */
TEST_WITH_FIXTURE (a_completion_in_between_clears_it)
{
  for (int i = 0; i < 10; i++)
    {
      end_targets (f, KEY, 2, RW_SEC);
      f->now += 10 * RW_MSEC;
      qua_on_done (&f->table, KEY, SOFTWARE, f->now);
    }
  f->now += RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_PASS);
}

/* Guards against a release whose new version crashes under a request that the
   old one completes, and against the refusal of it where it completes.  */
TEST_WITH_FIXTURE (a_completion_counts_for_its_software_only)
{
  end_targets (f, KEY, 1, RW_SEC);
  qua_on_done (&f->table, KEY, OTHER_SOFTWARE, f->now);
  end_targets (f, KEY, 2, RW_SEC);
  f->now += 200 * RW_MSEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
  assert_int_equal (verdict (f, OTHER_SOFTWARE), QUA_PASS);
}

/* Guards against one end that several daemons report, with times that are a
   little off, as several ends.  */
TEST_WITH_FIXTURE (an_end_counts_once)
{
  end_targets (f, KEY, 2, RW_SEC);
  for (int i = 0; i < 10; i++)
    {
      f->target--;
      end_targets (f, KEY, 1, 30 * RW_MSEC);
    }
  f->now += RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_PASS);
}

/* Guards against a target that ends each time that it is back, and counts only
   once.  */
TEST_WITH_FIXTURE (a_target_that_is_back_can_end_again)
{
  for (int i = 0; i < 3; i++)
    {
      f->target = 0;
      end_targets (f, KEY, 1, 3 * RW_SEC);
    }
  f->now += RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
}

/* Guards against a repaired version that never gets the request, and against a
   second trial while the first runs.  */
TEST_WITH_FIXTURE (new_software_is_tried_once)
{
  end_targets (f, KEY, 3, RW_SEC);
  f->now += 6 * RW_SEC;
  assert_int_equal (verdict (f, OTHER_SOFTWARE), QUA_UNTRIED);
  assert_true (qua_grant (&f->table, KEY, OTHER_SOFTWARE, 1, f->now));
  assert_false (qua_grant (&f->table, KEY, OTHER_SOFTWARE, 2, f->now));
  assert_true (qua_take_trial (&f->table, KEY, f->now));
  assert_false (qua_take_trial (&f->table, KEY, f->now));
  assert_int_equal (verdict (f, OTHER_SOFTWARE), QUA_HELD);
  f->now += RUN_TIME;
  qua_on_done (&f->table, KEY, OTHER_SOFTWARE, f->now);
  assert_int_equal (verdict (f, OTHER_SOFTWARE), QUA_PASS);
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
}

/* Guards against more trials than are allowed when one version after the other
   is not repaired either.  */
TEST_WITH_FIXTURE (trials_are_bounded)
{
  int trials = 0;
  end_targets (f, KEY, 3, RW_SEC);
  for (uint32_t version = 100; version < 200; version++)
    {
      f->now += 60 * RW_SEC;
      if (!qua_grant (&f->table, KEY, version, 1, f->now))
        continue;
      trials++;
      f->now += RUN_TIME;
      end_target (f, KEY, version);
    }
  assert_int_equal (trials, QUA_MAX_TRIALS);
}

/* Guards against a request that is refused for good because of chance: all
   targets were lost one by one while it was in flight.  */
TEST_WITH_FIXTURE (the_same_software_is_tried_once_later)
{
  end_targets (f, KEY, 3, RW_SEC);
  f->now += 14 * RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
  f->now += 2 * RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_UNTRIED);
  assert_true (qua_grant (&f->table, KEY, SOFTWARE, 1, f->now));
  f->now += RUN_TIME;
  qua_on_done (&f->table, KEY, SOFTWARE, f->now);
  assert_int_equal (verdict (f, SOFTWARE), QUA_PASS);
}

/* Guards against orders of an operator that have no effect, or for good.  */
TEST_WITH_FIXTURE (an_operator_releases_and_holds_back)
{
  end_targets (f, KEY, 3, RW_SEC);
  f->now += RW_SEC;
  qua_release (&f->table, KEY, f->now);
  assert_int_equal (verdict (f, SOFTWARE), QUA_PASS);
  end_targets (f, KEY, 3, RW_SEC);
  f->now += RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
  qua_release (&f->table, KEY, f->now);
  f->now += RW_SEC;
  qua_hold (&f->table, KEY, f->now);
  qua_on_done (&f->table, KEY, SOFTWARE, f->now);
  f->now += 100 * RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
  qua_release (&f->table, KEY, f->now);
  assert_int_equal (verdict (f, SOFTWARE), QUA_PASS);
}

/* Guards against memory that grows with invented requests, and against the
   loss of one that is held back among them.  */
TEST_WITH_FIXTURE (a_full_table_keeps_what_is_held_back)
{
  end_targets (f, KEY, 3, RW_SEC);
  for (uint64_t key = 1; key < 10 * QUA_MAX_RECORDS; key++)
    {
      f->now += RW_MSEC;
      end_target (f, key, SOFTWARE);
    }
  assert_int_equal (f->table.records.len, QUA_MAX_RECORDS);
  assert_int_equal (verdict (f, SOFTWARE), QUA_HELD);
}

/* Guards against records that are kept for good.  */
TEST_WITH_FIXTURE (records_expire)
{
  end_targets (f, KEY, 1, RW_SEC);
  qua_on_done (&f->table, KEY, SOFTWARE, f->now);
  end_targets (f, KEY + 1, 3, RW_SEC);
  f->now += 3600 * RW_SEC;
  qua_sweep (&f->table, f->now);
  assert_null (qua_find (&f->table, KEY));
  assert_non_null (qua_find (&f->table, KEY + 1));
  f->now += 100000 * RW_SEC;
  qua_sweep (&f->table, f->now);
  assert_int_equal (f->table.records.len, 0);
}

static void
ignore_wanted (void *arg, uint64_t key, uint32_t software)
{
  (void)key;
  (void)software;
  ++*(int *)arg;
}

/* Passes the news of FROM to TO, whose clock is another one.  */
static void
tell (struct qua_table *from, struct qua_table *to, rw_time from_now,
      rw_time to_now)
{
  char data[4096];
  int wanted = 0;
  size_t len = qua_write_news (from, data, sizeof data, from_now);
  assert_int_equal (qua_read (to, (struct rw_str){ data, len }, ignore_wanted,
                              &wanted, to_now),
                    0);
}

/* Guards against evidence that is lost or altered on its way to a peer.  */
TEST_WITH_FIXTURE (peers_learn_the_evidence)
{
  struct qua_table peer;
  qua_init (&peer, 2, 2);
  end_targets (f, KEY, 3, RW_SEC);
  tell (&f->table, &peer, f->now, 5 * RW_SEC);
  assert_int_equal (qua_verdict (&peer, KEY, SOFTWARE, 6 * RW_SEC), QUA_HELD);
  f->now += 10 * RW_SEC;
  assert_true (qua_grant (&f->table, KEY, OTHER_SOFTWARE, 2, f->now));
  tell (&f->table, &peer, f->now, 15 * RW_SEC);
  assert_true (qua_take_trial (&peer, KEY, 15 * RW_SEC));
  qua_on_done (&peer, KEY, SOFTWARE, 16 * RW_SEC);
  tell (&peer, &f->table, 16 * RW_SEC, f->now + RW_SEC);
  f->now += RW_SEC;
  assert_int_equal (verdict (f, SOFTWARE), QUA_PASS);
  qua_finish (&peer);
}

/* Guards against messages without end between peers that have all been told.
 */
TEST_WITH_FIXTURE (what_is_known_is_no_news)
{
  struct qua_table peer;
  qua_init (&peer, 2, 2);
  end_targets (f, KEY, 20, 0);
  end_targets (f, KEY, 1, RW_SEC);
  for (int i = 0; i < 4; i++)
    {
      tell (&f->table, &peer, f->now, f->now + 2 * RW_MSEC);
      tell (&peer, &f->table, f->now, f->now + 2 * RW_MSEC);
    }
  assert_false (f->table.has_news);
  assert_false (peer.has_news);
  qua_finish (&peer);
}

/* Guards against daemons of this version that cannot read what a later one
   sends: longer items, and kinds that are not known.  */
TEST_WITH_FIXTURE (later_versions_can_be_read)
{
  struct qua_table peer;
  char data[1024];
  char longer[1200];
  int wanted = 0;
  qua_init (&peer, 2, 2);
  end_targets (f, KEY, 3, RW_SEC);
  size_t len = qua_write_news (&f->table, data, sizeof data, f->now);
  /* An unknown kind, then the record with 12 more bytes.  */
  memset (longer, 0, sizeof longer);
  longer[3] = 99;
  longer[7] = 4;
  memcpy (longer + 12, data, len);
  longer[12 + 6] = (char)((len - 8 + 12) >> 8);
  longer[12 + 7] = (char)(len - 8 + 12);
  struct rw_str items = { longer, 12 + len + 12 };
  assert_int_equal (
      qua_read (&peer, items, ignore_wanted, &wanted, 5 * RW_SEC), 0);
  assert_int_equal (qua_verdict (&peer, KEY, SOFTWARE, 6 * RW_SEC), QUA_HELD);
  len = qua_write_wanted (KEY, SOFTWARE, data, sizeof data);
  assert_int_equal (qua_read (&peer, (struct rw_str){ data, len },
                              ignore_wanted, &wanted, 5 * RW_SEC),
                    0);
  assert_int_equal (wanted, 1);
  qua_finish (&peer);
}

/* Guards against reads beyond a message that is cut off.  */
TEST_WITH_FIXTURE (truncated_messages_are_refused)
{
  struct qua_table peer;
  char data[1024];
  int wanted = 0;
  qua_init (&peer, 2, 2);
  end_targets (f, KEY, 3, RW_SEC);
  size_t len = qua_write_news (&f->table, data, sizeof data, f->now);
  for (size_t i = 1; i < len; i++)
    {
      char *copy = malloc (i);
      memcpy (copy, data, i);
      assert_int_equal (qua_read (&peer, (struct rw_str){ copy, i },
                                  ignore_wanted, &wanted, f->now),
                        RW_E_PARSE);
      free (copy);
    }
  qua_finish (&peer);
}
