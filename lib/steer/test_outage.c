/* How long the targets of a service have failed or been silent.  */

#include "steer.h"
#include "unit.h"

#define MS RW_MSEC
#define START (10 * RW_SEC)

struct fixture
{
  struct ste_fleet fleet;
  struct ste_target *a;
  struct ste_target *b;
  struct ste_latency latency;
};

static struct ste_target *
put (struct ste_fleet *fleet, const char *id, int64_t revision)
{
  struct cat_target entry = { .id = rw_str_from (id),
                              .service = RW_LIT ("s"),
                              .host = RW_LIT ("10.0.0.1"),
                              .port = 80,
                              .dc = RW_LIT ("a"),
                              .slots = 2 };
  return ste_put (fleet, &entry, revision, 0);
}

static void
begin (struct fixture *f)
{
  struct ste_settings settings
      = { .daemon_count = 1, .shard_sharers = 1, .leave_time = 2 * RW_SEC };
  ste_init (&f->fleet, &settings, 1);
  f->a = put (&f->fleet, "a", 1);
  f->b = put (&f->fleet, "b", 2);
  ste_latency_init (&f->latency, 300 * MS);
}

static void
end (struct fixture *f)
{
  ste_finish (&f->fleet);
}

UNIT_FIXTURE (begin, end)

static struct ste_outlook
outlook (struct fixture *f, rw_time now)
{
  return ste_outlook_of (&f->fleet, f->a->service, now);
}

/* TARGET is asked at AT, pauses for 250 ms and is given up at the end of the
   pause.  */
static void
pause_once (struct fixture *f, struct ste_target *target, rw_time at)
{
  struct ste_send send;
  ste_on_sent (&send, target, &f->latency, at);
  ste_on_result (&send, STE_ABANDONED, at + 250 * MS);
}

/* Guards against a service that counts as lost while one of its targets
   works.  */
TEST_WITH_FIXTURE (one_target_that_works_is_enough)
{
  assert_true (outlook (f, START).has_target);
  ste_back_off (f->a, START);
  struct ste_outlook o = outlook (f, START + 50 * MS);
  assert_true (o.has_target && o.has_proven);
  assert_int_equal (o.outage, 0);
  ste_back_off (f->b, START + 20 * MS);
  o = outlook (f, START + 50 * MS);
  assert_false (o.has_target);
  assert_int_equal (o.outage, 30 * MS);
}

/* Guards against an outage that seems to begin anew with each backoff, and
   against one that a success does not end.  */
TEST_WITH_FIXTURE (an_outage_lasts_until_a_success)
{
  struct ste_send send;
  for (rw_time at = START; at < START + 3 * RW_SEC; at += 50 * MS)
    {
      ste_back_off (f->a, at);
      ste_back_off (f->b, at);
    }
  assert_int_equal (outlook (f, START + 3 * RW_SEC).outage, 3 * RW_SEC);
  ste_on_sent (&send, f->b, &f->latency, START + 3 * RW_SEC);
  ste_on_result (&send, STE_OK, START + 3 * RW_SEC + 20 * MS);
  struct ste_outlook o = outlook (f, START + 3 * RW_SEC + 20 * MS);
  assert_true (o.has_target && o.has_proven);
  assert_int_equal (o.outage, 0);
}

/* Guards against two pauses, between which a target was not asked, that count
   as one outage of seconds.  Targets pause again after 2.4 s.  */
TEST_WITH_FIXTURE (pauses_are_no_outage)
{
  for (int i = 0; i < 4; i++)
    {
      rw_time at = START + i * 2400 * MS;
      pause_once (f, f->a, at);
      pause_once (f, f->b, at);
      assert_in_range (outlook (f, at + 260 * MS).outage, 0, 260 * MS);
    }
}

/* Guards against targets that hang and count as silent only since the last
   send that was given up.  */
TEST_WITH_FIXTURE (silence_counts_from_the_first_send)
{
  struct ste_send sends[2][8];
  for (int i = 0; i < 8; i++)
    {
      rw_time at = START + i * 200 * MS;
      ste_on_sent (&sends[0][i], f->a, &f->latency, at);
      ste_on_sent (&sends[1][i], f->b, &f->latency, at);
      assert_in_range (outlook (f, at + 199 * MS).outage,
                       (uint64_t)(at - START + 199 * MS),
                       (uint64_t)(at - START + 199 * MS));
      if (i < 2)
        continue;
      ste_on_result (&sends[0][i - 2], STE_ABANDONED, at + 199 * MS);
      ste_on_result (&sends[1][i - 2], STE_ABANDONED, at + 199 * MS);
    }
}

/* Guards against a service without a usable target that counts as one that
   may answer.  */
TEST_WITH_FIXTURE (no_usable_target_is_an_outage_without_end)
{
  ste_remove (&f->fleet, RW_LIT ("a"), 3, START);
  ste_remove (&f->fleet, RW_LIT ("b"), 4, START);
  struct ste_outlook o = outlook (f, START + 3 * RW_SEC);
  assert_false (o.has_target);
  assert_true (o.outage == RW_TIME_NEVER);
}
