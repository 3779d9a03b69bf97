/* The stages of a planned stop.  Guards against a daemon that is killed before
   it has answered what it read.  */

#include "stop.h"
#include "unit.h"

#define BEGAN (50 * RW_SEC)

static struct stp_stop
begin (rw_time stop_time)
{
  struct stp_stop stop = { .begun = false };
  stp_begin (&stop, stop_time, BEGAN);
  return stop;
}

TEST (a_stop_of_six_seconds)
{
  struct stp_stop stop = begin (6 * RW_SEC);
  assert_int_equal (stp_stage_at (&stop, BEGAN), STP_SERVING);
  assert_int_equal (stp_stage_at (&stop, BEGAN + 2 * RW_SEC), STP_SERVING);
  assert_int_equal (stp_stage_at (&stop, BEGAN + 3 * RW_SEC), STP_CLOSING);
  assert_int_equal (stp_stage_at (&stop, BEGAN + 5 * RW_SEC), STP_CLOSING);
  assert_int_equal (stp_stage_at (&stop, BEGAN + 5500 * RW_MSEC),
                    STP_ANSWERING);
  assert_int_equal (stp_stage_at (&stop, BEGAN + 6 * RW_SEC), STP_OVER);
}

TEST (no_stop_has_begun)
{
  struct stp_stop stop = { .begun = false };
  assert_int_equal (stp_stage_at (&stop, BEGAN), STP_RUNNING);
}

/* A stop time below the time in rotation left no time to answer.  */
TEST (each_stage_comes_before_the_kill)
{
  for (rw_time time = 10 * RW_MSEC; time < 30 * RW_SEC; time += 10 * RW_MSEC)
    {
      struct stp_stop stop = begin (time);
      assert_true (BEGAN < stop.close_at);
      assert_true (stop.close_at <= stop.answer_at);
      assert_true (stop.answer_at < stop.exit_at);
      assert_true (stop.exit_at < BEGAN + time);
    }
}

/* Guards against requests that are begun and cannot be answered, and against
   refusals when no stop has begun.  */
TEST (what_cannot_be_answered_is_known)
{
  struct stp_stop stop = begin (6 * RW_SEC);
  struct stp_stop none = { .begun = false };
  rw_time last = stp_answer_time (&stop);
  assert_true (stp_can_answer (&stop, RW_SEC, BEGAN));
  assert_true (stp_can_answer (&stop, RW_SEC, last - RW_SEC - RW_MSEC));
  assert_false (stp_can_answer (&stop, RW_SEC, last - RW_SEC));
  assert_false (stp_can_answer (&stop, 0, last));
  assert_false (stp_can_answer (&stop, 0, last + 30 * RW_SEC));
  assert_true (stp_can_answer (&none, 3600.0 * RW_SEC, BEGAN));
  assert_int_equal (stp_answer_time (&none), RW_TIME_NEVER);
}
