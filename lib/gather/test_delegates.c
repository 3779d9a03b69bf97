/* Queries of which parts are left to daemons in other data centres that get
   into trouble, by pattern of the trouble.  */

#include "gather.h"
#include "unit.h"

#define MS RW_MSEC
#define PARTS 12
/* The first parts of a query are delegated; the others are sent directly.  */
#define DELEGATED_PARTS 8
#define DELEGATES 2

/* What becomes of the delegates.  */
enum trouble
{
  TROUBLE_NONE,
  TROUBLE_KILLED,     /* both, at once */
  TROUBLE_ONE_KILLED, /* only the first of them */
  TROUBLE_FROZEN,     /* given up when the answer is overdue */
  TROUBLE_NO_TARGETS, /* they are cut off from all targets */
  TROUBLE_NO_SENDER,  /* they work, but their answers do not arrive */
  TROUBLE_OVERLOADED, /* they refuse */
  TROUBLE_COLD,       /* their targets fail once or answer late */
  TROUBLE_COUNT
};

struct fixture
{
  struct rw_arena arena;
  struct rw_rng rng;
  struct gat_query query;
  unsigned int runs[PARTS]; /* sends to targets that may have run */
  unsigned int given[PARTS];
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

static struct gat_plan
make_plan (unsigned int max_attempts, size_t min_parts)
{
  return (struct gat_plan){ .part_count = PARTS,
                            .min_parts = min_parts,
                            .max_attempts = max_attempts,
                            .idempotent = true,
                            .hedge_delay = 20 * MS,
                            .soft_deadline = 100 * MS,
                            .deadline = 600 * MS };
}

/* Ends the part at its delegate, as TROUBLE has it.  */
static void
end_delegated (struct fixture *f, size_t part, enum trouble trouble,
               rw_time now)
{
  struct gat_query *query = &f->query;
  unsigned int given = f->given[part];
  unsigned int used = 1 + (unsigned int)rw_rng_below (&f->rng, given);
  bool first = part % DELEGATES == 0;
  switch (trouble)
    {
    case TROUBLE_KILLED:
    case TROUBLE_FROZEN:
    case TROUBLE_NO_SENDER:
      f->runs[part] += used;
      gat_on_failure (query, part, GAT_FAIL_UNKNOWN, now, 0);
      return;
    case TROUBLE_ONE_KILLED:
      f->runs[part] += used;
      if (first)
        gat_on_failure (query, part, GAT_FAIL_UNKNOWN, now, 0);
      else
        gat_on_delegated_part (query, part, RW_LIT ("s"), RW_LIT (""));
      return;
    case TROUBLE_NO_TARGETS:
      gat_on_returned (query, part, given, GAT_FAIL_NOT_RUN, now);
      return;
    case TROUBLE_OVERLOADED:
      gat_on_returned (query, part, given, GAT_FAIL_UNSENT, now);
      return;
    case TROUBLE_COLD:
      f->runs[part] += used;
      if (first)
        gat_on_delegated_failure (query, part, given, used, now);
      else
        gat_on_delegated_part (query, part, RW_LIT ("s"), RW_LIT (""));
      return;
    case TROUBLE_NONE:
    case TROUBLE_COUNT:
      break;
    }
  f->runs[part] += used;
  gat_on_delegated_part (query, part, RW_LIT ("s"), RW_LIT (""));
}

/* Sends the parts that are due.  DIRECT counts the sends of delegated parts by
   the sender itself.  A send of FAIL_SHARE fails, the others are answered at
   once.  */
static void
send_due (struct fixture *f, rw_time now, double fail_share, size_t *direct)
{
  size_t position = 0;
  size_t part;
  enum gat_send_kind kind;
  while (gat_next_send (&f->query, now, &position, &part, &kind))
    {
      *direct += part < DELEGATED_PARTS;
      gat_on_sent (&f->query, part, now);
      f->runs[part]++;
      if (rw_rng_unit (&f->rng) < fail_share)
        gat_on_failure (&f->query, part, GAT_FAIL_RAN, now, 5 * MS);
      else
        gat_on_part (&f->query, part, RW_LIT ("s"), RW_LIT (""));
    }
}

/* Plays one query, and returns the number of its parts that are done at its
   end.  If all direct sends fail, an answer needs no part, so that each part
   is sent as often as it may be.  DIRECT: see send_due.  */
static size_t
play (struct fixture *f, unsigned int max_attempts, unsigned int given,
      enum trouble trouble, double fail_share, size_t *direct)
{
  struct gat_plan plan
      = make_plan (max_attempts, fail_share < 1 ? PARTS - 1 : 0);
  rw_time delegates_end
      = trouble == TROUBLE_FROZEN || trouble == TROUBLE_NO_SENDER ? 140 * MS
        : trouble == TROUBLE_OVERLOADED                           ? 3 * MS
                                                                  : 40 * MS;
  memset (f->runs, 0, sizeof f->runs);
  *direct = 0;
  gat_init (&f->query, &f->arena, &plan, 0);
  for (size_t part = 0; part < DELEGATED_PARTS; part++)
    {
      f->given[part] = given;
      gat_on_delegated (&f->query, part, given, 0);
    }
  for (rw_time now = 0; now <= plan.deadline; now += MS)
    {
      if (now == delegates_end)
        for (size_t part = 0; part < DELEGATED_PARTS; part++)
          end_delegated (f, part, trouble, now);
      send_due (f, now, fail_share, direct);
      if (gat_decide (&f->query, now) != GAT_WAIT)
        break;
    }
  return f->query.done;
}

/* Guards against parts that run more often than the route allows, whatever
   becomes of their delegates.  */
TEST_WITH_FIXTURE (no_part_runs_too_often)
{
  size_t direct;
  for (uint64_t seed = 1; seed <= 200; seed++)
    for (int trouble = 0; trouble < TROUBLE_COUNT; trouble++)
      for (unsigned int most = 1; most <= 4; most++)
        for (unsigned int given = 1; given <= most; given++)
          {
            rw_rng_init (&f->rng, seed);
            play (f, most, given, (enum trouble)trouble, 0.3, &direct);
            for (size_t part = 0; part < PARTS; part++)
              assert_in_range (f->runs[part], 0, most);
          }
}

/* Guards against queries that fail with their delegates, although attempts are
   left: they are answered whole.  */
TEST_WITH_FIXTURE (parts_with_attempts_left_have_another_way)
{
  size_t direct;
  for (int trouble = 0; trouble < TROUBLE_COUNT; trouble++)
    {
      rw_rng_init (&f->rng, 1);
      assert_int_equal (play (f, 3, 2, (enum trouble)trouble, 0, &direct),
                        PARTS);
    }
}

/* Guards against failures where all attempts were given to delegates that did
   not use them, and against attempts that do not come back with them.  */
TEST_WITH_FIXTURE (attempts_that_were_not_used_come_back)
{
  static const enum trouble troubles[]
      = { TROUBLE_NO_TARGETS, TROUBLE_OVERLOADED };
  size_t direct;
  rw_rng_init (&f->rng, 1);
  for (size_t i = 0; i < 2; i++)
    {
      assert_int_equal (play (f, 2, 2, troubles[i], 0, &direct), PARTS);
      assert_int_equal (direct, DELEGATED_PARTS);
      assert_int_equal (play (f, 2, 2, troubles[i], 1, &direct), 0);
      assert_int_equal (direct, 2 * DELEGATED_PARTS);
    }
}

/* Guards against queries that wait for other parts, or for their limit, when
   too many are lost with their delegates, and against one that is given up
   although enough parts are left.  */
TEST_WITH_FIXTURE (lost_parts_end_the_query_at_once)
{
  struct gat_plan plan = make_plan (2, PARTS - 1);
  gat_init (&f->query, &f->arena, &plan, 0);
  for (size_t part = 0; part < DELEGATED_PARTS; part++)
    gat_on_delegated (&f->query, part, 2, 0);
  for (size_t part = 0; part < DELEGATED_PARTS / 2; part++)
    gat_on_failure (&f->query, part, GAT_FAIL_UNKNOWN, 40 * MS, 0);
  assert_int_equal (gat_decide (&f->query, 40 * MS), GAT_GIVE_UP);
  f->query.plan.min_parts = PARTS - DELEGATED_PARTS;
  assert_int_equal (gat_decide (&f->query, 40 * MS), GAT_WAIT);
  for (size_t part = DELEGATED_PARTS; part < PARTS; part++)
    gat_on_part (&f->query, part, RW_LIT ("s"), RW_LIT (""));
  assert_int_equal (gat_decide (&f->query, 100 * MS), GAT_ANSWER);
}

/* Guards against direct sends while the delegates are at work and hold all
   attempts: they would undo what grouping saves.  */
TEST_WITH_FIXTURE (healthy_delegates_are_left_alone)
{
  size_t direct;
  rw_rng_init (&f->rng, 1);
  assert_int_equal (play (f, 2, 2, TROUBLE_NONE, 0, &direct), PARTS);
  assert_int_equal (direct, 0);
}
