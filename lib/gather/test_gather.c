#include "gather.h"
#include "unit.h"

struct fixture
{
  struct rw_arena arena;
  struct gat_query query;
};

static void
begin (struct fixture *f)
{
  rw_arena_init (&f->arena, 4096);
}

static void
end (struct fixture *f)
{
  rw_arena_finish (&f->arena);
}

UNIT_FIXTURE (begin, end)

#define MS RW_MSEC

static struct gat_plan
plan_of (size_t parts, size_t need)
{
  return (struct gat_plan){ .part_count = parts,
                            .min_parts = need,
                            .max_attempts = 2,
                            .idempotent = true,
                            .hedge_delay = 20 * MS,
                            .soft_deadline = 50 * MS,
                            .deadline = 600 * MS };
}

static size_t
send_all (struct fixture *f, rw_time now, enum gat_send_kind expected)
{
  size_t position = 0;
  size_t part;
  size_t count = 0;
  enum gat_send_kind kind;
  while (gat_next_send (&f->query, now, &position, &part, &kind))
    {
      assert_int_equal (kind, expected);
      gat_on_sent (&f->query, part, now);
      count++;
    }
  return count;
}

static void
arrive (struct fixture *f, size_t part)
{
  gat_on_part (&f->query, part, RW_LIT ("s"), RW_LIT ("0123456789abcdef"));
}

/* A shard that pauses past the aim: guards against an answer that waits for
   the last part and is late as a whole.  */
TEST_WITH_FIXTURE (enough_parts_are_answered_at_the_cut)
{
  struct gat_plan plan = plan_of (4, 3);
  gat_init (&f->query, &f->arena, &plan, 0);
  assert_int_equal (send_all (f, 0, GAT_SEND_FIRST), 4);
  for (size_t i = 0; i < 3; i++)
    arrive (f, i);
  assert_int_equal (gat_decide (&f->query, 49 * MS), GAT_WAIT);
  assert_int_equal (gat_decide (&f->query, 50 * MS), GAT_ANSWER);
  arrive (f, 3);
  assert_int_equal (gat_decide (&f->query, 10 * MS), GAT_ANSWER);
}

/* Guards against a late answer that is held back although its parts are
   there.  */
TEST_WITH_FIXTURE (after_the_cut_the_first_sufficient_set_is_answered)
{
  struct gat_plan plan = plan_of (4, 3);
  gat_init (&f->query, &f->arena, &plan, 0);
  send_all (f, 0, GAT_SEND_FIRST);
  arrive (f, 0);
  arrive (f, 1);
  assert_int_equal (gat_decide (&f->query, 100 * MS), GAT_WAIT);
  arrive (f, 2);
  assert_int_equal (gat_decide (&f->query, 100 * MS), GAT_ANSWER);
}

/* A paused target: guards against a query that never hedges, and against more
   sends than the route allows.  */
TEST_WITH_FIXTURE (a_silent_part_is_hedged_once)
{
  struct gat_plan plan = plan_of (2, 2);
  gat_init (&f->query, &f->arena, &plan, 0);
  send_all (f, 0, GAT_SEND_FIRST);
  arrive (f, 0);
  assert_int_equal (gat_next_event (&f->query, 0), 20 * MS);
  assert_int_equal (send_all (f, 19 * MS, GAT_SEND_HEDGE), 0);
  assert_int_equal (send_all (f, 20 * MS, GAT_SEND_HEDGE), 1);
  assert_int_equal (send_all (f, 500 * MS, GAT_SEND_HEDGE), 0);
  arrive (f, 1);
  assert_false (gat_on_part (&f->query, 1, RW_LIT ("t"), RW_LIT ("")));
  assert_string_equal (f->query.parts[1].stamp.ptr, "s");
}

/* A target that sheds: guards against a refusal that uses up an attempt, and
   against retries without end.  */
TEST_WITH_FIXTURE (refusals_are_retried_a_few_times)
{
  struct gat_plan plan = plan_of (1, 1);
  size_t sends = 0;
  gat_init (&f->query, &f->arena, &plan, 0);
  for (rw_time now = 0; now < 100 * MS; now += MS)
    {
      size_t position = 0;
      size_t part;
      enum gat_send_kind kind;
      if (!gat_next_send (&f->query, now, &position, &part, &kind))
        continue;
      gat_on_sent (&f->query, part, now);
      sends++;
      gat_on_failure (&f->query, part, GAT_FAIL_NOT_RUN, now, 0);
    }
  assert_int_equal (sends, 6);
  assert_int_equal (gat_decide (&f->query, 100 * MS), GAT_GIVE_UP);
}

/* Guards against a reservation that runs twice after a lost answer.  */
TEST_WITH_FIXTURE (what_may_not_be_repeated_is_sent_again_only_if_not_run)
{
  struct gat_plan plan = plan_of (1, 1);
  plan.idempotent = false;
  gat_init (&f->query, &f->arena, &plan, 0);
  send_all (f, 0, GAT_SEND_FIRST);
  assert_int_equal (send_all (f, 400 * MS, GAT_SEND_HEDGE), 0);
  gat_on_failure (&f->query, 0, GAT_FAIL_NOT_RUN, 0, 0);
  assert_int_equal (send_all (f, 0, GAT_SEND_RETRY), 1);
  gat_on_failure (&f->query, 0, GAT_FAIL_UNKNOWN, 0, 0);
  assert_int_equal (send_all (f, 400 * MS, GAT_SEND_RETRY), 0);
  assert_int_equal (gat_decide (&f->query, 0), GAT_GIVE_UP);
}

/* Shards without any target: guards against a query that waits for its
   deadline although it cannot succeed.  */
TEST_WITH_FIXTURE (too_many_lost_shards_end_the_query_at_once)
{
  struct gat_plan plan = plan_of (4, 3);
  gat_init (&f->query, &f->arena, &plan, 0);
  gat_postpone (&f->query, 0, 0, -1);
  assert_int_equal (gat_decide (&f->query, 0), GAT_WAIT);
  gat_postpone (&f->query, 1, 0, -1);
  assert_int_equal (gat_decide (&f->query, 0), GAT_GIVE_UP);
}

/* Guards against a late part that is counted as missing.  */
TEST_WITH_FIXTURE (a_part_may_arrive_after_its_hedge_failed)
{
  struct gat_plan plan = plan_of (1, 1);
  gat_init (&f->query, &f->arena, &plan, 0);
  send_all (f, 0, GAT_SEND_FIRST);
  send_all (f, 20 * MS, GAT_SEND_HEDGE);
  gat_on_failure (&f->query, 0, GAT_FAIL_UNKNOWN, 30 * MS, 0);
  assert_int_equal (gat_decide (&f->query, 30 * MS), GAT_WAIT);
  arrive (f, 0);
  assert_int_equal (gat_decide (&f->query, 31 * MS), GAT_ANSWER);
}

static int
compare_records (const void *a, const void *b)
{
  return memcmp (b, a, GAT_RECORD_SIZE);
}

/* Guards against lost, doubled or misordered records, against the naive way:
   sort all and cut.  */
TEST_WITH_FIXTURE (merging_gives_the_greatest_records)
{
  struct rw_rng rng;
  rw_rng_init (&rng, 7);
  for (int round = 0; round < 300; round++)
    {
      struct gat_plan plan = plan_of (1 + rw_rng_below (&rng, 8), 1);
      size_t top = rw_rng_below (&rng, 30);
      static char all[8 * 40 * GAT_RECORD_SIZE];
      size_t total = 0;
      gat_init (&f->query, &f->arena, &plan, 0);
      for (size_t i = 0; i < plan.part_count; i++)
        {
          size_t count = rw_rng_below (&rng, 40);
          size_t rest = rw_rng_below (&rng, GAT_RECORD_SIZE);
          char *body = rw_arena_zalloc (&f->arena, 1,
                                        count * GAT_RECORD_SIZE + rest + 1);
          for (size_t j = 0; j < count * GAT_RECORD_SIZE + rest; j++)
            body[j] = (char)rw_rng_below (&rng, j % 16 < 15 ? 2 : 4);
          memcpy (all + total * GAT_RECORD_SIZE, body,
                  count * GAT_RECORD_SIZE);
          total += count;
          gat_on_part (
              &f->query, i, RW_LIT ("s"),
              (struct rw_str){ body, count * GAT_RECORD_SIZE + rest });
        }
      qsort (all, total, GAT_RECORD_SIZE, compare_records);
      struct rw_str merged = gat_merge (&f->query, top, &f->arena);
      size_t expected = top < total ? top : total;
      assert_int_equal (merged.len, expected * GAT_RECORD_SIZE);
      assert_memory_equal (merged.ptr, all, merged.len);
    }
}
