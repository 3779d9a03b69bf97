/* Orders of events in which a request that targets complete must not be held
   back, in virtual time: ends that are told late, twice or by daemons that
   were paused or cut off.  */

#include "quarantine.h"
#include "unit.h"

#define KEY 0x600d600dU
#define SOFTWARE 7U
#define MAX_PEERS 8
#define MAX_MESSAGE 1400
#define STEP (10 * RW_MSEC)

struct fixture
{
  struct qua_table daemons[MAX_PEERS];
  rw_time now;
};

static void
begin (struct fixture *f)
{
  for (size_t i = 0; i < MAX_PEERS; i++)
    qua_init (&f->daemons[i], (uint32_t)i + 1, i + 1);
  f->now = 100 * RW_SEC;
}

static void
end (struct fixture *f)
{
  for (size_t i = 0; i < MAX_PEERS; i++)
    qua_finish (&f->daemons[i]);
}

UNIT_FIXTURE (begin, end)

/* Daemon I sees the end of TARGET under the request, which it sent there
   SENT_AGO before now; it notices it now.  */
static void
see_end (struct fixture *f, size_t i, uint64_t target, rw_time sent_ago)
{
  struct qua_end end = { .target = target,
                         .software = SOFTWARE,
                         .sent_at = f->now - sent_ago,
                         .ended_at = f->now };
  qua_on_end (&f->daemons[i], KEY, &end, f->now);
}

static void
see_done (struct fixture *f, size_t i)
{
  qua_on_done (&f->daemons[i], KEY, SOFTWARE, f->now);
}

static enum qua_verdict
verdict_at (const struct fixture *f, size_t i)
{
  return qua_verdict (&f->daemons[i], KEY, SOFTWARE, f->now);
}

static void
ignore_wanted (void *arg, uint64_t key, uint32_t software)
{
  (void)arg;
  (void)key;
  (void)software;
}

/* Gives daemon TO the message of LEN bytes at DATA.  */
static void
receive (struct fixture *f, size_t to, const char *data, size_t len)
{
  assert_int_equal (qua_read (&f->daemons[to], (struct rw_str){ data, len },
                              ignore_wanted, NULL, f->now),
                    0);
}

/* Daemon FROM tells TO its record of the request.  */
static void
tell (struct fixture *f, size_t from, size_t to)
{
  char data[MAX_MESSAGE];
  size_t len
      = qua_write_record (&f->daemons[from], KEY, data, sizeof data, f->now);
  receive (f, to, data, len);
}

/* Daemons 0 to COUNT - 1 exchange their news, and answer what they refute, a
   millisecond later.  */
static void
exchange (struct fixture *f, size_t count)
{
  char data[MAX_MESSAGE];
  for (size_t i = 0; i < count; i++)
    {
      size_t len = qua_write_news (&f->daemons[i], data, sizeof data, f->now);
      f->now += RW_MSEC;
      for (size_t j = 0; j < count; j++)
        if (j != i && len > 0)
          {
            char answer[MAX_MESSAGE];
            receive (f, j, data, len);
            size_t answer_len = qua_write_refutations (&f->daemons[j], answer,
                                                       sizeof answer, f->now);
            receive (f, i, answer, answer_len);
          }
    }
}

/* Guards against ends of long ago that a daemon tells which was cut off from
   the others: they hold back a request at a daemon that has completed it ever
   since, but had no record in which to note that.  */
TEST_WITH_FIXTURE (old_ends_do_not_count_where_it_was_completed_since)
{
  for (uint64_t target = 1; target <= 3; target++)
    {
      f->now += RW_SEC;
      see_end (f, 1, target, 60 * RW_MSEC);
    }
  for (int i = 0; i < 20; i++)
    {
      f->now += 150 * RW_MSEC;
      see_done (f, 0);
    }
  tell (f, 1, 0);
  for (int i = 0; i < 100; i++)
    {
      f->now += STEP;
      if (i % 15 == 14)
        see_done (f, 0);
      assert_true (verdict_at (f, 0) <= QUA_CAREFUL);
    }
}

/* Guards against completions that are not noted because the last end was
   cleared before: ends that are told late count at a daemon that has completed
   the request after them.  */
TEST_WITH_FIXTURE (completions_after_the_first_refute_late_ends)
{
  see_end (f, 0, 9, 60 * RW_MSEC);
  see_done (f, 0);
  for (int i = 0; i < 20; i++)
    {
      f->now += 150 * RW_MSEC;
      see_done (f, 0);
      if (i % 5 == 0)
        see_end (f, 1, (uint64_t)i + 10, 60 * RW_MSEC);
    }
  tell (f, 1, 0);
  for (int i = 0; i < 14; i++)
    {
      f->now += STEP;
      assert_true (verdict_at (f, 0) <= QUA_CAREFUL);
    }
}

/* Guards against a completion that is not noted because the one before it was
   less than 50 ms earlier: an end in between counts.  */
TEST_WITH_FIXTURE (every_completion_counts)
{
  see_end (f, 0, 1, 60 * RW_MSEC);
  see_done (f, 0);
  f->now += 400 * RW_MSEC;
  see_done (f, 0);
  f->now += 30 * RW_MSEC;
  see_end (f, 0, 2, 10 * RW_MSEC);
  f->now += 10 * RW_MSEC;
  see_done (f, 0);
  assert_int_equal (qua_find (&f->daemons[0], KEY)->end_count, 0);
}

/* Guards against two ends that are counted as three, as daemon 1 was paused
   and noticed the first one seconds later, when the target was back.  */
TEST_WITH_FIXTURE (an_end_that_a_paused_daemon_notices_late_counts_once)
{
  see_end (f, 0, 1, 50 * RW_MSEC);
  f->now += 3 * RW_SEC;
  see_end (f, 1, 1, 3 * RW_SEC + 20 * RW_MSEC);
  tell (f, 1, 0);
  f->now += 200 * RW_MSEC;
  see_end (f, 0, 2, 60 * RW_MSEC);
  f->now += RW_SEC;
  assert_int_equal (qua_find (&f->daemons[0], KEY)->end_count, 2);
  assert_true (verdict_at (f, 0) <= QUA_CAREFUL);
}

/* Guards against the same where the late news come first, and against ends
   whose times differ by a little more than QUA_SAME_END_TIME.  */
TEST_WITH_FIXTURE (an_end_with_times_a_second_apart_counts_once)
{
  f->now += 1100 * RW_MSEC;
  see_end (f, 1, 1, 1200 * RW_MSEC);
  tell (f, 1, 0);
  f->now -= 1100 * RW_MSEC;
  see_end (f, 0, 1, 50 * RW_MSEC);
  f->now += 2 * RW_SEC;
  see_end (f, 0, 2, 60 * RW_MSEC);
  assert_int_equal (qua_find (&f->daemons[0], KEY)->end_count, 2);
}

/* Guards against a target that ends under the request in each of its
   lifetimes, and counts only once for it.  */
TEST_WITH_FIXTURE (ends_of_two_lifetimes_count_twice)
{
  see_end (f, 0, 1, 60 * RW_MSEC);
  f->now += 1500 * RW_MSEC;
  see_end (f, 0, 1, 60 * RW_MSEC);
  assert_int_equal (qua_find (&f->daemons[0], KEY)->end_count, 2);
}

/* Guards against messages that arrive again, out of order, as further ends.
 */
TEST_WITH_FIXTURE (repeated_messages_do_not_count)
{
  char first[MAX_MESSAGE];
  char second[MAX_MESSAGE];
  see_end (f, 1, 1, 60 * RW_MSEC);
  size_t first_len
      = qua_write_record (&f->daemons[1], KEY, first, sizeof first, f->now);
  f->now += 500 * RW_MSEC;
  see_end (f, 1, 2, 60 * RW_MSEC);
  size_t second_len
      = qua_write_record (&f->daemons[1], KEY, second, sizeof second, f->now);
  for (int i = 0; i < 5; i++)
    {
      f->now += 30 * RW_MSEC;
      receive (f, 0, second, second_len);
      receive (f, 0, first, first_len);
    }
  assert_int_equal (qua_find (&f->daemons[0], KEY)->end_count, 2);
}

/* Guards against a daemon that has just started, holds back a request for the
   old ends that it is told, and is not told that it was completed since.  */
TEST_WITH_FIXTURE (a_daemon_without_completions_is_told_of_them)
{
  for (uint64_t target = 1; target <= 3; target++)
    {
      f->now += RW_SEC;
      see_end (f, 3, target, 60 * RW_MSEC);
    }
  f->now += 30 * RW_SEC;
  see_done (f, 0);
  see_done (f, 1);
  tell (f, 3, 2);
  exchange (f, 3);
  f->now += 200 * RW_MSEC;
  for (size_t i = 0; i < 3; i++)
    assert_true (verdict_at (f, i) <= QUA_CAREFUL);
}

/* Guards against a request that stays held back when a send that began before
   the third end is completed, at one daemon.  */
TEST_WITH_FIXTURE (a_completion_after_the_third_end_releases_it)
{
  for (uint64_t target = 1; target <= 3; target++)
    {
      f->now += 400 * RW_MSEC;
      see_end (f, 0, target, 60 * RW_MSEC);
    }
  exchange (f, 4);
  f->now += 150 * RW_MSEC;
  for (size_t i = 0; i < 4; i++)
    assert_int_equal (verdict_at (f, i), QUA_HELD);
  see_done (f, 2);
  exchange (f, 4);
  for (size_t i = 0; i < 4; i++)
    assert_int_equal (verdict_at (f, i), QUA_PASS);
}

/* Guards against a daemon that never takes the ends that followed its last
   completion at once, while all others hold the request back.  */
TEST_WITH_FIXTURE (ends_after_the_last_completion_count_in_the_end)
{
  see_done (f, 0);
  for (uint64_t target = 1; target <= 3; target++)
    {
      f->now += 70 * RW_MSEC;
      see_end (f, 1, target, 60 * RW_MSEC);
    }
  for (int i = 0; i < 3; i++)
    {
      tell (f, 1, 0);
      f->now += 500 * RW_MSEC;
    }
  f->now += RW_SEC;
  assert_true (verdict_at (f, 0) >= QUA_UNTRIED);
}

/* Both targets of a service end under another request, at which this one is in
   flight, and one of them again when it is back.  */
static void
end_with_another (struct fixture *f)
{
  see_done (f, 0);
  f->now += 20 * RW_MSEC;
  see_end (f, 0, 1, 18 * RW_MSEC);
  f->now += 20 * RW_MSEC;
  see_end (f, 0, 2, 10 * RW_MSEC);
  f->now += 2 * RW_SEC;
  see_end (f, 0, 1, RW_MSEC);
}

/* Guards against the order of events of a run of seed 5016: a popular request
   was held back 0.1 s after the third end, when no target had been up to
   complete it, and for 15 s.  */
TEST_WITH_FIXTURE (it_passes_until_its_targets_are_back)
{
  end_with_another (f);
  for (int i = 0; i < 50; i++)
    {
      f->now += STEP;
      assert_true (verdict_at (f, 0) <= QUA_CAREFUL);
    }
  see_done (f, 0);
  f->now += RW_SEC;
  assert_int_equal (verdict_at (f, 0), QUA_PASS);
}

/* Guards against the same where the targets are away for longer: a trial comes
   at once, and again when another request ended the target of the first.  */
TEST_WITH_FIXTURE (it_is_tried_when_its_targets_are_back)
{
  end_with_another (f);
  f->now += 2 * RW_SEC;
  assert_int_equal (verdict_at (f, 0), QUA_UNTRIED);
  assert_true (qua_grant (&f->daemons[0], KEY, SOFTWARE, 1, f->now));
  assert_int_equal (verdict_at (f, 0), QUA_HELD);
  f->now += 20 * RW_MSEC;
  see_end (f, 0, 2, 20 * RW_MSEC);
  f->now += 12 * RW_SEC;
  assert_int_equal (verdict_at (f, 0), QUA_HELD);
  f->now += 2 * RW_SEC;
  assert_true (qua_grant (&f->daemons[0], KEY, SOFTWARE, 1, f->now));
  f->now += 20 * RW_MSEC;
  see_end (f, 0, 1, 20 * RW_MSEC);
  f->now += 3600 * RW_SEC;
  assert_int_equal (verdict_at (f, 0), QUA_HELD);
}

/* Guards against a completion that seems later each time that a daemon tells
   another one of it, and in the end refutes ends of the time after it.  */
TEST_WITH_FIXTURE (a_completion_that_is_told_again_gets_no_later)
{
  see_end (f, 0, 1, 60 * RW_MSEC);
  see_done (f, 0);
  rw_time done_at = f->now;
  for (int i = 0; i < 200; i++)
    {
      char data[MAX_MESSAGE];
      rw_time delay = i % 3 == 0 ? 190 * RW_MSEC : 30 * RW_MSEC;
      size_t from = (size_t)i % 2;
      size_t len = qua_write_record (&f->daemons[from], KEY, data, sizeof data,
                                     f->now);
      f->now += delay;
      receive (f, 1 - from, data, len);
    }
  for (size_t i = 0; i < 2; i++)
    assert_true (qua_find (&f->daemons[i], KEY)->proofs[0].at
                 <= done_at + QUA_MAX_DELAY);
}

/* Guards against a message that was under way for 200 ms, whose ends seem to
   have been sent after a completion that was in fact later.  */
TEST_WITH_FIXTURE (the_delay_of_a_message_makes_no_end_later)
{
  char data[MAX_MESSAGE];
  for (uint64_t target = 1; target <= 3; target++)
    {
      f->now += 100 * RW_MSEC;
      see_end (f, 1, target, 90 * RW_MSEC);
    }
  size_t len
      = qua_write_record (&f->daemons[1], KEY, data, sizeof data, f->now);
  see_done (f, 0);
  f->now += 200 * RW_MSEC;
  receive (f, 0, data, len);
  f->now += 120 * RW_MSEC;
  assert_true (verdict_at (f, 0) <= QUA_CAREFUL);
}
