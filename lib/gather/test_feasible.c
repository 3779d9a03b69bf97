/* Queries over shards of which some cannot answer, by pattern of the trouble,
   in virtual time: lib/gather decides, lib/steer knows the targets.  Each
   pattern is run without forecasts as well, to show that they make the
   difference.  */

#include "gather.h"
#include "steer.h"
#include "unit.h"

#define MS RW_MSEC
#define SHARDS 90
#define COPIES 3
#define MIN_PARTS 86 /* 0.95 of 90, rounded up */
#define AIM (300 * MS)
#define TIME_LEFT (1200 * MS)
#define WORK (20 * MS)
#define ROUND_TRIP (2 * MS)
#define QUERY_INTERVAL (25 * MS)
#define MAX_QUERIES 800
/* As in rwfront.  */
#define LINGER_TIME (300 * MS)
#define POSTPONE_TIME (20 * MS)
/* Queries begin here.  */
#define START (10 * RW_SEC)
#define SEEDS 5

enum trouble
{
  TROUBLE_REFUSES, /* connections are refused, as after a crash */
  TROUBLE_HANGS    /* requests are taken and answered at the end, if ever */
};

struct copy
{
  struct ste_target *target;
  enum trouble trouble;
  rw_time down_from; /* no trouble: never */
  rw_time down_until;
  rw_time pause_from; /* the present or next pause */
  rw_time pause_until;
};

struct send
{
  struct ste_send steer;
  struct send *next;
  struct copy *copy;
  size_t part;
  rw_time result_at; /* RW_TIME_NEVER: while the copy hangs */
  bool refused;
  bool ended;
};

struct outcome
{
  rw_time begun;
  rw_time took;
  size_t done;
  size_t hedges;
  bool answered;
  bool ran; /* a send reached a target */
  bool is_probe;
};

struct query
{
  struct gat_query gat;
  struct rw_arena arena;
  struct send *sends;
  struct ste_target **tried;
  rw_time begun;
  rw_time ended_at; /* 0: not yet */
  bool released;
  struct outcome *outcome;
};

struct fixture
{
  struct ste_fleet fleet;
  struct ste_service *services[SHARDS];
  struct copy copies[SHARDS][COPIES];
  struct ste_latency latency;
  struct rw_rng rng;
  struct query queries[MAX_QUERIES];
  struct outcome outcomes[MAX_QUERIES];
  size_t query_count;
  size_t first_open; /* all queries before are released */
  rw_time next_probe;
  rw_time now;
  bool forecasts;
  bool pauses;
};

static void
begin (struct fixture *f)
{
  (void)f;
}

static void
finish_fleet (struct fixture *f)
{
  if (f->services[0] == NULL)
    return;
  for (size_t i = 0; i < f->query_count; i++)
    rw_arena_finish (&f->queries[i].arena);
  ste_finish (&f->fleet);
}

static void
end (struct fixture *f)
{
  finish_fleet (f);
}

UNIT_FIXTURE (begin, end)

/* Sets the next pause of COPY after NOW: 100 to 250 ms, each 2.4 to 6 s.  */
static void
plan_pause (struct fixture *f, struct copy *copy, rw_time now)
{
  copy->pause_from
      = now + 2400 * MS + (rw_time)rw_rng_below (&f->rng, 3600 * MS);
  copy->pause_until = copy->pause_from + 100 * MS
                      + (rw_time)rw_rng_below (&f->rng, 150 * MS);
}

/* Starts anew with healthy targets that have all replied before START.  */
static void
reset (struct fixture *f, bool forecasts, uint64_t seed)
{
  struct ste_settings settings = { .dc = rw_hash (RW_LIT ("a")),
                                   .daemon_count = 1,
                                   .shard_sharers = 1,
                                   .leave_time = 2 * RW_SEC };
  finish_fleet (f);
  memset (f, 0, sizeof *f);
  f->forecasts = forecasts;
  f->now = START;
  rw_rng_init (&f->rng, seed);
  ste_init (&f->fleet, &settings, seed);
  ste_latency_init (&f->latency, AIM);
  for (size_t i = 0; i < SHARDS; i++)
    for (size_t j = 0; j < COPIES; j++)
      {
        char id[32];
        char service[32];
        snprintf (id, sizeof id, "t%zu-%zu", i, j);
        snprintf (service, sizeof service, "s%zu", i);
        struct cat_target entry = { .id = rw_str_from (id),
                                    .service = rw_str_from (service),
                                    .host = RW_LIT ("10.0.0.1"),
                                    .port = 80,
                                    .dc = RW_LIT ("a"),
                                    .slots = 2 };
        struct copy *copy = &f->copies[i][j];
        copy->target
            = ste_put (&f->fleet, &entry, (int64_t)(i * COPIES + j + 1), 0);
        copy->target->last_reply = START - MS;
        copy->down_from = copy->pause_from = RW_TIME_NEVER;
        f->services[i] = copy->target->service;
      }
}

/* Lets all copies of the first COUNT shards be in TROUBLE from FROM to
   UNTIL.  */
static void
take_down (struct fixture *f, size_t count, enum trouble trouble, rw_time from,
           rw_time until)
{
  for (size_t i = 0; i < count; i++)
    for (size_t j = 0; j < COPIES; j++)
      {
        f->copies[i][j].trouble = trouble;
        f->copies[i][j].down_from = from;
        f->copies[i][j].down_until = until;
      }
}

static struct copy *
copy_of (struct fixture *f, size_t shard, const struct ste_target *target)
{
  for (size_t j = 0; j < COPIES; j++)
    if (f->copies[shard][j].target == target)
      return &f->copies[shard][j];
  return NULL;
}

static bool
is_down (const struct copy *copy, rw_time now)
{
  return now >= copy->down_from && now < copy->down_until;
}

/* When COPY answers a request that arrives at NOW.  */
static rw_time
answer_time (const struct copy *copy, rw_time now)
{
  rw_time at = now + WORK + ROUND_TRIP;
  if (now < copy->pause_until && at > copy->pause_from)
    at = copy->pause_until + WORK;
  if (now < copy->down_until && at > copy->down_from)
    at = copy->down_until == RW_TIME_NEVER ? RW_TIME_NEVER
                                           : copy->down_until + WORK;
  return at;
}

static void
send_part (struct fixture *f, struct query *q, size_t part,
           struct ste_target *target)
{
  struct send *send = rw_arena_zalloc (&q->arena, 1, sizeof *send);
  struct copy *copy = copy_of (f, part, target);
  size_t max_sends = gat_max_sends (&q->gat.plan);
  q->tried[part * max_sends + q->gat.parts[part].sends] = target;
  send->copy = copy;
  send->part = part;
  send->refused = is_down (copy, f->now) && copy->trouble == TROUBLE_REFUSES;
  send->result_at = send->refused ? f->now + MS : answer_time (copy, f->now);
  send->next = q->sends;
  q->sends = send;
  q->outcome->ran |= !send->refused;
  ste_on_sent (&send->steer, target, &f->latency, f->now);
  gat_on_sent (&q->gat, part, f->now);
}

/* As rwfront does.  */
static void
try_part (struct fixture *f, struct query *q, size_t part,
          enum gat_send_kind kind)
{
  size_t max_sends = gat_max_sends (&q->gat.plan);
  rw_time wait
      = kind == GAT_SEND_RETRY ? gat_retry_wait (&q->gat, part, f->now) : 0;
  if (wait > 0 || (kind == GAT_SEND_HEDGE && !gat_may_hedge (&q->gat)))
    {
      gat_postpone (&q->gat, part, f->now, POSTPONE_TIME);
      return;
    }
  struct ste_target *target = ste_pick (
      &f->fleet, f->services[part], &f->latency, &q->tried[part * max_sends],
      q->gat.parts[part].sends, f->now);
  if (target == NULL && kind == GAT_SEND_RETRY)
    target = ste_pick (&f->fleet, f->services[part], &f->latency, NULL, 0,
                       f->now);
  if (target == NULL
      || (kind == GAT_SEND_HEDGE
          && ste_expected_time (&f->fleet, target, &f->latency, f->now) > AIM))
    {
      gat_postpone (&q->gat, part, f->now, POSTPONE_TIME);
      return;
    }
  q->outcome->hedges += kind == GAT_SEND_HEDGE;
  send_part (f, q, part, target);
}

static void
forecast (struct fixture *f, struct query *q)
{
  for (size_t i = 0; i < SHARDS; i++)
    q->gat.parts[i].answering = false;
  for (struct send *s = q->sends; s != NULL; s = s->next)
    q->gat.parts[s->part].answering
        |= !s->ended
           && (!ste_stalled (s->copy->target, f->now)
               || (q->gat.is_probe
                   && f->now < s->steer.sent_at + q->gat.plan.hedge_delay));
  for (size_t i = 0; i < SHARDS; i++)
    {
      struct ste_outlook known
          = ste_outlook_of (&f->fleet, f->services[i], f->now);
      struct gat_outlook outlook = { .answering = q->gat.parts[i].answering,
                                     .has_target = known.has_target,
                                     .has_proven_target = known.has_proven,
                                     .usable_in = RW_TIME_NEVER,
                                     .outage = known.outage };
      gat_note_outlook (&q->gat, i, &outlook, f->now);
    }
  gat_forecast (&q->gat, f->now);
}

static void
end_query (struct fixture *f, struct query *q, bool answered)
{
  q->ended_at = f->now;
  q->outcome->took = f->now - q->begun;
  q->outcome->done = q->gat.done;
  q->outcome->answered = answered;
  q->outcome->is_probe = q->gat.is_probe;
}

/* Takes the results that are due, and the decision on Q.  */
static void
run_query (struct fixture *f, struct query *q)
{
  size_t position = 0;
  size_t part;
  enum gat_send_kind kind;
  for (struct send *s = q->sends; s != NULL; s = s->next)
    {
      if (s->ended || s->result_at > f->now)
        continue;
      s->ended = true;
      if (s->refused)
        {
          ste_back_off (s->copy->target, f->now);
          ste_on_result (&s->steer, STE_ABANDONED, f->now);
          gat_on_failure (&q->gat, s->part, GAT_FAIL_UNSENT, f->now, MS);
          continue;
        }
      ste_on_result (&s->steer, STE_OK, f->now);
      gat_on_part (&q->gat, s->part, RW_LIT ("s"), RW_LIT (""));
    }
  if (q->ended_at > 0)
    return;
  if (gat_forecast_due (&q->gat, f->now))
    forecast (f, q);
  enum gat_decision decision = gat_decide (&q->gat, f->now);
  while (decision == GAT_WAIT
         && gat_next_send (&q->gat, f->now, &position, &part, &kind))
    {
      try_part (f, q, part, kind);
      decision = gat_decide (&q->gat, f->now);
    }
  if (decision != GAT_WAIT)
    end_query (f, q, decision == GAT_ANSWER);
}

/* Ends the sends that are still open some time after Q has ended.  */
static void
release_query (struct fixture *f, struct query *q)
{
  if (q->released || q->ended_at == 0 || f->now < q->ended_at + LINGER_TIME)
    return;
  q->released = true;
  for (struct send *s = q->sends; s != NULL; s = s->next)
    if (!s->ended)
      {
        s->ended = true;
        ste_on_result (&s->steer, STE_ABANDONED, f->now);
      }
}

static void
begin_query (struct fixture *f)
{
  struct query *q = &f->queries[f->query_count];
  struct gat_plan plan = { .part_count = SHARDS,
                           .min_parts = MIN_PARTS,
                           .max_attempts = 2,
                           .idempotent = true,
                           .hedge_delay = 60 * MS,
                           .soft_deadline = f->now + 279 * MS,
                           .deadline = f->now + TIME_LEFT - 15 * MS };
  q->outcome = &f->outcomes[f->query_count++];
  q->begun = q->outcome->begun = f->now;
  rw_arena_init (&q->arena, 8192);
  gat_init (&q->gat, &q->arena, &plan, f->now);
  q->tried = rw_arena_zalloc (&q->arena, SHARDS * gat_max_sends (&plan),
                              sizeof *q->tried);
  if (!f->forecasts)
    return;
  gat_start_forecasts (&q->gat, f->now);
  forecast (f, q);
  if (q->gat.prospect == GAT_PROSPECT_NONE
      && !gat_begin_probe (&q->gat, &f->next_probe, f->now))
    end_query (f, q, false);
}

/* Runs queries that begin at START and each QUERY_INTERVAL until UNTIL, to
   their end.  */
static void
run (struct fixture *f, rw_time until)
{
  rw_time next_query = f->now;
  for (; f->now < until + TIME_LEFT + LINGER_TIME; f->now += MS)
    {
      for (size_t i = 0; i < SHARDS * COPIES && f->pauses; i++)
        {
          struct copy *copy = &f->copies[i / COPIES][i % COPIES];
          if (f->now >= copy->pause_until)
            plan_pause (f, copy, f->now);
        }
      if (f->now >= next_query && f->now < until)
        {
          begin_query (f);
          next_query += QUERY_INTERVAL;
        }
      while (f->first_open < f->query_count
             && f->queries[f->first_open].released)
        f->first_open++;
      for (size_t i = f->first_open; i < f->query_count; i++)
        {
          run_query (f, &f->queries[i]);
          release_query (f, &f->queries[i]);
        }
    }
}

/* The longest time that an unanswered query took which began from FROM on;
   with PROBES, of probes, else of other queries.  */
static rw_time
longest_refusal (const struct fixture *f, rw_time from, bool probes)
{
  rw_time longest = 0;
  for (size_t i = 0; i < f->query_count; i++)
    {
      const struct outcome *o = &f->outcomes[i];
      if (o->begun >= from && !o->answered && o->is_probe == probes
          && o->took > longest)
        longest = o->took;
    }
  return longest;
}

static size_t
count_unanswered (const struct fixture *f, rw_time from, rw_time until)
{
  size_t count = 0;
  for (size_t i = 0; i < f->query_count; i++)
    count += f->outcomes[i].begun >= from && f->outcomes[i].begun < until
             && !f->outcomes[i].answered;
  return count;
}

/* Guards against a query that waits for its whole time although all copies of
   10 of 90 shards have not answered for seconds, and against sends for it.  */
TEST_WITH_FIXTURE (an_outage_is_refused_at_once)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int trouble = TROUBLE_REFUSES; trouble <= TROUBLE_HANGS; trouble++)
      {
        reset (f, true, seed);
        take_down (f, 10, (enum trouble)trouble, START + 100 * MS,
                   RW_TIME_NEVER);
        run (f, START + 6 * RW_SEC);
        size_t ran = 0;
        for (size_t i = 0; i < f->query_count; i++)
          {
            const struct outcome *o = &f->outcomes[i];
            if (o->begun < START + 2 * RW_SEC)
              continue;
            assert_false (o->answered);
            assert_false (!o->is_probe && o->ran);
            ran += o->ran;
          }
        /* One probe each 100 ms.  */
        assert_in_range (ran, 1, 41);
        assert_in_range (longest_refusal (f, START + 2 * RW_SEC, false), 0,
                         5 * MS);
        assert_in_range (longest_refusal (f, START + 2 * RW_SEC, true), 0,
                         trouble == TROUBLE_REFUSES ? 10 * MS : 150 * MS);
      }
  reset (f, false, 1);
  take_down (f, 10, TROUBLE_HANGS, START + 100 * MS, RW_TIME_NEVER);
  run (f, START + 6 * RW_SEC);
  assert_true (longest_refusal (f, START + 2 * RW_SEC, false) > 1100 * MS);
}

/* Guards against refusing or delaying a query that has enough shards: all
   copies of 3 of 90 are down.  */
TEST_WITH_FIXTURE (few_lost_shards_give_a_partial_answer_as_without)
{
  for (int trouble = TROUBLE_REFUSES; trouble <= TROUBLE_HANGS; trouble++)
    {
      rw_time longest[2] = { 0, 0 };
      for (int on = 0; on < 2; on++)
        {
          reset (f, on == 1, 1);
          take_down (f, 3, (enum trouble)trouble, START + 100 * MS,
                     RW_TIME_NEVER);
          run (f, START + 4 * RW_SEC);
          assert_int_equal (count_unanswered (f, START, RW_TIME_NEVER), 0);
          for (size_t i = 0; i < f->query_count; i++)
            {
              assert_true (f->outcomes[i].done >= SHARDS - 3);
              if (f->outcomes[i].took > longest[on])
                longest[on] = f->outcomes[i].took;
            }
        }
      assert_in_range (longest[1], 0, longest[0] + 2 * MS);
      assert_in_range (longest[1], 0, 280 * MS);
    }
}

/* Guards against giving up a query whose targets return in its time: all
   copies of 10 shards end when it begins and are back 400 ms later.  */
TEST_WITH_FIXTURE (targets_that_return_in_time_answer)
{
  rw_time back = START + RW_SEC + 400 * MS;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int trouble = TROUBLE_REFUSES; trouble <= TROUBLE_HANGS; trouble++)
      {
        reset (f, true, seed);
        take_down (f, 10, (enum trouble)trouble, START + RW_SEC, back);
        run (f, START + 3 * RW_SEC);
        assert_int_equal (count_unanswered (f, START, RW_TIME_NEVER), 0);
      }
  reset (f, false, 1);
  take_down (f, 10, TROUBLE_REFUSES, START + RW_SEC, back);
  run (f, START + 3 * RW_SEC);
  assert_true (count_unanswered (f, START, RW_TIME_NEVER) > 0);
}

/* Guards against pauses that are taken for outages: each copy pauses for 100
   to 250 ms each 2.4 to 6 s, and once all copies of 10 shards at the same
   time for 250 ms.  */
TEST_WITH_FIXTURE (pauses_are_not_refused)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      reset (f, true, seed);
      f->pauses = true;
      take_down (f, 10, TROUBLE_HANGS, START + 8 * RW_SEC,
                 START + 8 * RW_SEC + 250 * MS);
      run (f, START + 12 * RW_SEC);
      assert_int_equal (count_unanswered (f, START, RW_TIME_NEVER), 0);
    }
}

/* Guards against an outage whose end nobody notices, as all queries are
   refused: after 5 s all copies are back.  */
TEST_WITH_FIXTURE (the_end_of_an_outage_is_noticed)
{
  rw_time back = START + 5 * RW_SEC;
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    for (int trouble = TROUBLE_REFUSES; trouble <= TROUBLE_HANGS; trouble++)
      {
        reset (f, true, seed);
        take_down (f, 10, (enum trouble)trouble, START + 100 * MS, back);
        run (f, START + 8 * RW_SEC);
        assert_true (count_unanswered (f, back - RW_SEC, back) > 30);
        assert_int_equal (count_unanswered (f, back + 200 * MS, RW_TIME_NEVER),
                          0);
      }
}

/* Guards against hedges for a query that is not expected to be complete enough
   in time: all copies of 10 shards have hung for 0.75 s when it begins, and
   single copies of the others pause.  */
TEST_WITH_FIXTURE (late_queries_are_not_hedged)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      size_t hedges[2] = { 0, 0 };
      for (int on = 0; on < 2; on++)
        {
          reset (f, on == 1, seed);
          f->pauses = true;
          take_down (f, 10, TROUBLE_HANGS, START + 3 * RW_SEC, RW_TIME_NEVER);
          run (f, START + 3950 * MS);
          for (size_t i = 0; i < f->query_count; i++)
            if (f->outcomes[i].begun >= START + 3750 * MS)
              hedges[on] += f->outcomes[i].hedges;
        }
      assert_int_equal (hedges[1], 0);
      assert_true (hedges[0] > 0);
    }
}

/* Guards against a pause that is taken for an outage by a caller with little
   time left, and against a time that a target named being ignored.  */
TEST_WITH_FIXTURE (the_length_of_an_outage_decides)
{
  static const struct
  {
    rw_time outage;
    rw_time usable_in;
    enum gat_prospect prospect;
  } cases[] = {
    { 250 * MS, RW_TIME_NEVER, GAT_PROSPECT_IN_TIME },
    { 499 * MS, RW_TIME_NEVER, GAT_PROSPECT_IN_TIME },
    { 500 * MS, RW_TIME_NEVER, GAT_PROSPECT_NONE },
    { 500 * MS, 40 * MS, GAT_PROSPECT_IN_TIME },
    { 500 * MS, 150 * MS, GAT_PROSPECT_LATE },
    { 500 * MS, 201 * MS, GAT_PROSPECT_NONE },
    { RW_TIME_NEVER, RW_TIME_NEVER, GAT_PROSPECT_NONE },
    { RW_TIME_NEVER, 200 * MS, GAT_PROSPECT_LATE },
  };
  struct rw_arena arena;
  (void)f;
  rw_arena_init (&arena, 4096);
  for (size_t i = 0; i < RW_ARRAY_LEN (cases); i++)
    {
      struct gat_query query;
      struct gat_plan plan = { .part_count = 1,
                               .min_parts = 1,
                               .max_attempts = 2,
                               .idempotent = true,
                               .hedge_delay = 20 * MS,
                               .soft_deadline = START + 100 * MS,
                               .deadline = START + 200 * MS };
      struct gat_outlook outlook
          = { .usable_in = cases[i].usable_in, .outage = cases[i].outage };
      gat_init (&query, &arena, &plan, START);
      assert_false (gat_forecast_due (&query, START));
      gat_start_forecasts (&query, START);
      assert_true (gat_forecast_due (&query, START));
      gat_note_outlook (&query, 0, &outlook, START);
      gat_forecast (&query, START);
      assert_int_equal (query.prospect, cases[i].prospect);
      assert_int_equal (gat_decide (&query, START),
                        cases[i].prospect == GAT_PROSPECT_NONE ? GAT_GIVE_UP
                                                               : GAT_WAIT);
    }
  rw_arena_finish (&arena);
}

/* Guards against an answer that is ready and not delivered, as it is late or
   as further parts cannot come.  */
TEST_WITH_FIXTURE (an_answer_that_is_ready_is_delivered)
{
  struct rw_arena arena;
  struct gat_query query;
  struct gat_plan plan = { .part_count = 3,
                           .min_parts = 2,
                           .max_attempts = 1,
                           .soft_deadline = START + 100 * MS,
                           .deadline = START + 600 * MS };
  struct gat_outlook away
      = { .usable_in = RW_TIME_NEVER, .outage = 10 * RW_SEC };
  (void)f;
  rw_arena_init (&arena, 4096);
  gat_init (&query, &arena, &plan, START);
  gat_start_forecasts (&query, START);
  for (size_t i = 0; i < 3; i++)
    gat_on_sent (&query, i, START);
  gat_on_part (&query, 0, RW_LIT ("s"), RW_LIT (""));
  gat_on_part (&query, 1, RW_LIT ("s"), RW_LIT (""));
  gat_note_outlook (&query, 2, &away, START + 300 * MS);
  gat_forecast (&query, START + 300 * MS);
  assert_int_equal (gat_decide (&query, START + 300 * MS), GAT_ANSWER);
  rw_arena_finish (&arena);
}

/* Guards against a query that waits for its whole time although the budget of
   extra sends has nothing for the parts that it needs: their sends were lost
   with their targets.  */
TEST_WITH_FIXTURE (a_budget_that_is_used_up_decides)
{
  struct rw_arena arena;
  struct gat_outlook outlook = { .has_target = true,
                                 .has_proven_target = true,
                                 .usable_in = RW_TIME_NEVER };
  (void)f;
  rw_arena_init (&arena, 4096);
  for (rw_time budget_in = 0; budget_in <= 700 * MS; budget_in += 50 * MS)
    {
      struct gat_query query;
      struct gat_plan plan = { .part_count = 4,
                               .min_parts = 3,
                               .max_attempts = 2,
                               .idempotent = true,
                               .hedge_delay = 20 * MS,
                               .soft_deadline = START + 100 * MS,
                               .deadline = START + 600 * MS };
      rw_time now = START + 10 * MS;
      gat_init (&query, &arena, &plan, START);
      gat_start_forecasts (&query, START);
      for (size_t i = 0; i < 4; i++)
        gat_on_sent (&query, i, START);
      for (size_t i = 0; i < 2; i++)
        gat_on_part (&query, i, RW_LIT ("s"), RW_LIT (""));
      for (size_t i = 2; i < 4; i++)
        gat_on_failure (&query, i, GAT_FAIL_UNKNOWN, now, 0);
      assert_true (gat_forecast_due (&query, now));
      outlook.budget_in = budget_in;
      gat_note_outlook (&query, 2, &outlook, now);
      gat_note_outlook (&query, 3, &outlook, now);
      gat_forecast (&query, now);
      assert_int_equal (gat_decide (&query, now),
                        now + budget_in > plan.deadline ? GAT_GIVE_UP
                                                        : GAT_WAIT);
      /* A send in flight needs no budget.  */
      gat_on_sent (&query, 2, now);
      gat_note_outlook (&query, 2, &outlook, now);
      gat_forecast (&query, now);
      assert_int_equal (gat_decide (&query, now), GAT_WAIT);
    }
  rw_arena_finish (&arena);
}
