/* A query that crashes its targets and reaches one target of each shard at
   once, before anybody can know, in virtual time: how many second copies end
   too.  */

#include "gather.h"
#include "quarantine.h"
#include "unit.h"

#define MS RW_MSEC
#define SHARDS 20
#define COPIES 3
#define KEY 0xbad0bad0U
#define START (1000 * RW_SEC)
/* Targets end within this time of the send.  */
#define END_TIME (110 * MS)
#define HEDGE_DELAY (40 * MS)
#define WORK (20 * MS)
#define MAX_SENDS 400
#define SEEDS 200

struct send
{
  size_t shard;
  size_t copy;
  rw_time result_at;
  bool crashes;
  bool ended;
};

struct fixture
{
  struct rw_arena arena;
  struct rw_rng rng;
  struct qua_table table;
  struct qua_attempt attempt;
  struct gat_query query;
  struct send sends[MAX_SENDS];
  size_t send_count;
  bool is_down[SHARDS][COPIES];
  bool crashes;           /* the query does */
  bool lone_crash;        /* the first target of shard 0 ends by itself */
  rw_time earliest_crash; /* after the send */
  rw_time now;
};

static void
begin (struct fixture *f)
{
  rw_arena_init (&f->arena, 4096);
  qua_init (&f->table, 1, 1);
}

static void
end (struct fixture *f)
{
  rw_arena_finish (&f->arena);
  qua_finish (&f->table);
}

UNIT_FIXTURE (begin, end)

static void
reset (struct fixture *f, uint64_t seed)
{
  end (f);
  memset (f, 0, sizeof *f);
  begin (f);
  f->now = START;
  rw_rng_init (&f->rng, seed);
  struct gat_plan plan = { .part_count = SHARDS,
                           .min_parts = 19,
                           .max_attempts = 3,
                           .idempotent = true,
                           .hedge_delay = HEDGE_DELAY,
                           .soft_deadline = START + 279 * MS,
                           .deadline = START + 1185 * MS };
  gat_init (&f->query, &f->arena, &plan, START);
}

static bool
is_open (const struct fixture *f)
{
  for (size_t i = 0; i < f->send_count; i++)
    if (!f->sends[i].ended)
      return true;
  return false;
}

/* Sends PART to the next copy, as rwfront does, or postpones it.  */
static void
try_part (struct fixture *f, size_t part, enum gat_send_kind kind)
{
  size_t copy = f->query.parts[part].sends % COPIES;
  rw_time delay = qua_delay (&f->table, KEY, &f->attempt, SHARDS,
                             f->query.done, is_open (f), QUA_PASS, f->now);
  if (delay == 0 && kind == GAT_SEND_HEDGE
      && !qua_may_hedge (SHARDS, f->query.done))
    delay = 10 * MS;
  if (delay != 0)
    {
      gat_postpone (&f->query, part, f->now, delay);
      return;
    }
  assert_true (f->send_count < MAX_SENDS);
  struct send *send = &f->sends[f->send_count++];
  *send = (struct send){ .shard = part, .copy = copy };
  send->crashes
      = f->crashes
        || (f->lone_crash && part == 0 && f->query.parts[part].sends == 0);
  send->result_at = f->now + WORK;
  if (send->crashes)
    send->result_at
        = f->now + f->earliest_crash
          + (rw_time)rw_rng_below (&f->rng, END_TIME - f->earliest_crash);
  gat_on_sent (&f->query, part, f->now);
}

/* Takes the results that are due.  A target ends with all its sends.  */
static void
take_results (struct fixture *f)
{
  for (size_t i = 0; i < f->send_count; i++)
    {
      struct send *s = &f->sends[i];
      if (s->ended || f->now < s->result_at)
        continue;
      s->ended = true;
      if (!s->crashes)
        {
          gat_on_part (&f->query, s->shard, RW_LIT ("s"), RW_LIT (""));
          continue;
        }
      f->is_down[s->shard][s->copy] = true;
      qua_on_loss (&f->attempt, f->query.done);
      gat_on_failure (&f->query, s->shard, GAT_FAIL_UNKNOWN, f->now, 0);
    }
}

/* Runs the query to its end.  */
static void
run (struct fixture *f)
{
  for (enum gat_decision decision = GAT_WAIT; decision == GAT_WAIT;
       f->now += MS)
    {
      size_t position = 0;
      size_t part;
      enum gat_send_kind kind;
      take_results (f);
      while (gat_next_send (&f->query, f->now, &position, &part, &kind))
        try_part (f, part, kind);
      decision = gat_decide (&f->query, f->now);
    }
}

static size_t
count_ends (const struct fixture *f, size_t copies)
{
  size_t count = 0;
  for (size_t i = 0; i < SHARDS; i++)
    {
      size_t down = 0;
      for (size_t j = 0; j < COPIES; j++)
        down += f->is_down[i][j];
      count += down >= copies;
    }
  return count;
}

/* Guards against hedges and retries that end second copies while parts of the
   query have ended their targets, or none of them was completed.  One send
   goes alone, to find out.  */
TEST_WITH_FIXTURE (a_crashing_query_leaves_the_other_copies)
{
  static const rw_time earliest[] = { 0, 30 * MS, 60 * MS, 100 * MS };
  for (size_t e = 0; e < RW_ARRAY_LEN (earliest); e++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        reset (f, seed);
        f->crashes = true;
        f->earliest_crash = earliest[e];
        run (f);
        assert_int_equal (count_ends (f, 1), SHARDS);
        if (count_ends (f, 2) > 1)
          fail_msg ("seed %llu, ends from %lld ms on: %zu second copies ended",
                    (unsigned long long)seed, (long long)(earliest[e] / MS),
                    count_ends (f, 2));
        assert_int_equal (count_ends (f, 3), 0);
      }
}

/* Guards against an innocent query that waits: one target ends by itself.  */
TEST_WITH_FIXTURE (a_target_that_ends_by_itself_delays_nothing)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      reset (f, seed);
      f->lone_crash = true;
      run (f);
      assert_int_equal (f->query.done, SHARDS);
      assert_true (f->now - START <= END_TIME + WORK + 10 * MS);
    }
}
