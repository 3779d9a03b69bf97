/* All daemons together, each with its share of one rate, under patterns of
   load: what they spend in any window stays within 1.5 times the rate and 5
   tokens.  */

#include "bucket.h"
#include "unit.h"

#define MAX_DAEMONS 2300
#define MAX_SPENT 400000
#define WINDOW (4 * RW_SEC)
#define STEP (5 * RW_MSEC)

struct fixture
{
  struct rw_rng rng;
  struct bkt_bucket buckets[MAX_DAEMONS];
  struct bkt_rate rates[MAX_DAEMONS];
  double demand[MAX_DAEMONS]; /* requests a second; negative: no end of them */
  size_t count;
  double limit_per_s;
  rw_time spent[MAX_SPENT];
  size_t spent_count;
};

static void
begin (struct fixture *f)
{
  rw_rng_init (&f->rng, 7);
}

static void
end (struct fixture *f)
{
  (void)f;
}

UNIT_FIXTURE (begin, end)

/* COUNT daemons share 0.9 of LIMIT_PER_S evenly.  */
static void
start (struct fixture *f, size_t count, double limit_per_s)
{
  f->count = count;
  f->limit_per_s = limit_per_s;
  f->spent_count = 0;
  for (size_t i = 0; i < count; i++)
    {
      f->rates[i] = (struct bkt_rate){ .per_s = 0.9 * limit_per_s / count,
                                       .life = RW_SEC,
                                       .burst = RW_SEC / 2 };
      f->demand[i] = 0;
      bkt_init (&f->buckets[i], rw_rng_unit (&f->rng), 0);
    }
}

static void
demand_of_all (struct fixture *f, double per_s)
{
  for (size_t i = 0; i < f->count; i++)
    f->demand[i] = per_s;
}

static void
spend (struct fixture *f, size_t daemon, rw_time now)
{
  while (bkt_ready (&f->buckets[daemon], &f->rates[daemon], now))
    {
      if (f->demand[daemon] >= 0
          && rw_rng_unit (&f->rng) * RW_SEC >= f->demand[daemon] * STEP)
        return;
      bkt_take (&f->buckets[daemon], &f->rates[daemon], now);
      assert_true (f->spent_count < MAX_SPENT);
      f->spent[f->spent_count++] = now;
    }
}

static void
run (struct fixture *f, rw_time from, rw_time to)
{
  for (rw_time now = from; now < to; now += STEP)
    for (size_t i = 0; i < f->count; i++)
      if (f->demand[i] != 0)
        spend (f, i, now);
}

/* The largest number spent in any window.  */
static size_t
worst_window (const struct fixture *f)
{
  size_t worst = 0;
  size_t first = 0;
  for (size_t i = 0; i < f->spent_count; i++)
    {
      while (f->spent[i] - f->spent[first] >= WINDOW)
        first++;
      if (i - first + 1 > worst)
        worst = i - first + 1;
    }
  return worst;
}

static size_t
allowed (const struct fixture *f)
{
  return (size_t)(f->limit_per_s * 1.5 * WINDOW / RW_SEC) + 5;
}

/* Guards against daemons that each saved a token while there was little to do,
   and spend them all when a burst reaches all of them at once.  */
TEST_WITH_FIXTURE (a_burst_after_a_calm_time)
{
  static const size_t counts[] = { 1, 4, 15, 117, 300, 2300 };
  static const double limits[] = { 0.2, 2, 8, 27, 500, 10000 };
  for (size_t i = 0; i < RW_ARRAY_LEN (counts); i++)
    for (size_t j = 0; j < RW_ARRAY_LEN (limits); j++)
      {
        start (f, counts[i], limits[j]);
        demand_of_all (f, -1);
        run (f, 60 * RW_SEC, 70 * RW_SEC);
        assert_true (worst_window (f) <= allowed (f));
        if (f->limit_per_s >= 8)
          assert_true (f->spent_count >= 0.6 * f->limit_per_s * 10);
      }
}

/* Guards against a sum that holds only while all daemons have the same load:
   two of fifteen have nearly all of it.  */
TEST_WITH_FIXTURE (a_load_on_few_of_the_daemons)
{
  start (f, 15, 27);
  demand_of_all (f, 0.2);
  f->demand[3] = f->demand[8] = 200;
  run (f, 0, 30 * RW_SEC);
  assert_true (worst_window (f) <= allowed (f));
  /* Both use all of their shares.  */
  assert_true (f->spent_count >= 2 * 30 * 0.9 * 27 / 15 * 0.95);
}

/* Guards against a sum that holds only while all daemons agree on how many
   they are: their counts are up to 15% too low or 30% too high.  */
TEST_WITH_FIXTURE (daemons_that_disagree_on_their_number)
{
  static const size_t counts[] = { 15, 300 };
  for (size_t k = 0; k < RW_ARRAY_LEN (counts); k++)
    {
      start (f, counts[k], 27);
      for (size_t i = 0; i < f->count; i++)
        f->rates[i].per_s /= 0.85 + rw_rng_unit (&f->rng) * 0.45;
      demand_of_all (f, -1);
      run (f, 0, 40 * RW_SEC);
      assert_true (worst_window (f) <= allowed (f));
    }
}

/* Guards against daemons that begin with a whole token each time they
   restart.  */
TEST_WITH_FIXTURE (daemons_that_restart_one_after_the_other)
{
  start (f, 15, 8);
  demand_of_all (f, -1);
  for (rw_time now = 0; now < 40 * RW_SEC; now += RW_SEC)
    {
      bkt_init (&f->buckets[now / RW_SEC % 15], rw_rng_unit (&f->rng), now);
      run (f, now, now + RW_SEC);
    }
  assert_true (worst_window (f) <= allowed (f));
}

/* Guards against a rate that changes, ends or falls to nothing while tokens
   are saved, and against a clock that steps back.  */
TEST (tokens_follow_the_rate)
{
  struct bkt_bucket bucket;
  struct bkt_rate rate = { .per_s = 10, .life = RW_SEC, .burst = RW_SEC / 2 };
  bkt_init (&bucket, 0, RW_SEC);
  assert_false (bkt_ready (&bucket, &rate, RW_SEC));
  assert_int_equal (bkt_wait (&bucket, &rate, RW_SEC), 100 * RW_MSEC);
  assert_true (bkt_ready (&bucket, &rate, RW_SEC + 100 * RW_MSEC));
  assert_int_equal (bkt_wait (&bucket, &rate, 2 * RW_SEC), 0);
  for (int i = 0; i < 5; i++)
    {
      assert_true (bkt_ready (&bucket, &rate, 60 * RW_SEC));
      bkt_take (&bucket, &rate, 60 * RW_SEC);
    }
  assert_false (bkt_ready (&bucket, &rate, 60 * RW_SEC));
  assert_false (bkt_ready (&bucket, &rate, 50 * RW_SEC));
  rate.per_s = 0;
  assert_false (bkt_ready (&bucket, &rate, 90 * RW_SEC));
  assert_true (bkt_wait (&bucket, &rate, 90 * RW_SEC) == RW_TIME_NEVER);
  /* What was overdrawn is paid back, but no more than two tokens of it.  */
  rate.per_s = 10;
  for (int i = 0; i < 9; i++)
    bkt_take (&bucket, &rate, 91 * RW_SEC);
  assert_true (bkt_ready (&bucket, &rate, 91 * RW_SEC + 200 * RW_MSEC));
}

/* Guards against a token of a small share that is lost for good when it
   lapses, or is kept until the next one.  */
TEST (a_token_that_lapses_comes_again_in_its_turn)
{
  struct bkt_bucket bucket;
  struct bkt_rate rate = { .per_s = 0.1, .life = RW_SEC };
  bkt_init (&bucket, 0.5, 0);
  assert_false (bkt_ready (&bucket, &rate, 4 * RW_SEC));
  assert_int_equal (bkt_wait (&bucket, &rate, 4 * RW_SEC), RW_SEC);
  assert_true (bkt_ready (&bucket, &rate, 5 * RW_SEC + 1));
  assert_true (bkt_ready (&bucket, &rate, 5900 * RW_MSEC));
  assert_false (bkt_ready (&bucket, &rate, 6 * RW_SEC + 1));
  assert_true (bkt_ready (&bucket, &rate, 15 * RW_SEC + 1));
  bkt_take (&bucket, &rate, 15500 * RW_MSEC);
  assert_false (bkt_ready (&bucket, &rate, 24 * RW_SEC));
  assert_true (bkt_ready (&bucket, &rate, 25 * RW_SEC + 1));
}
