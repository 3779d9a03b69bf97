/* Runs several concurrent queries against simulated targets with random
   faults, and compares each answer with a naive merge over exactly those
   shards that the answer states as covered.  */

#include "query.h"

#include <jansson.h>
#include "unit.h"

#define SHARDS_MAX 12
#define REPLICAS 3
#define TARGETS (SHARDS_MAX * REPLICAS)
#define RECORDS_PER_SNAPSHOT 80
#define QUERIES 6
#define QUERY_TIMEOUT (61 * RW_MSEC)

/* Counts of violations by kind.  RESTARTS and COVERED are not violations; they
   show that the run was not trivial.  */
struct violations
{
  int records;  /* answers that differ from the naive merge */
  int coverage; /* wrong counts or lists of shards in answers */
  int foreign;  /* accepted results that are not genuine */
  int budget;   /* runs with more hedges and retries than allowed */
  int answers;  /* queries with none, two or a late answer */
  int restarts;
  int covered; /* shards in answers */
};

/* A result in transit.  The content_ members say what the target searched; the
   others are the labels of the message, which a fault may have changed.  */
struct message
{
  int query;    /* index of the query that receives it */
  bool genuine; /* content and labels are those of its attempt */
  bool malformed;
  struct qry_id id;
  uint32_t attempt;
  uint32_t shard;
  enum qry_status status;
  int snapshot;
  rw_time retry_after;
  int content_snapshot;
  uint32_t content_shard;
  uint32_t content_salt; /* index of the query that was searched for */
};

/* A simulation with one seed.  Snapshot 0 is "s1", and 1 is "s2".  */
struct run
{
  struct rw_rng rng;
  struct rw_heap events;
  rw_time now;
  struct rte_estimate estimates[TARGETS];
  struct rte_target targets[TARGETS];
  uint32_t replicas[2][SHARDS_MAX][REPLICAS];
  struct rte_shard shards[2][SHARDS_MAX];
  struct rte_view views[2];
  struct qry_map maps[2];
  rw_time moves_at[TARGETS]; /* each target, to snapshot 1 */
  rw_time published_at;      /* the map of snapshot 1 */
  double fault_rate;
  struct qry_latency latency;
  struct qry_budget budget;
  struct qry_env env;
  struct qry_query queries[QUERIES];
  rw_time starts[QUERIES];
  int answers[QUERIES];
  /* By query, snapshot and shard: a genuine result was delivered in time.  */
  bool delivered[QUERIES][2][SHARDS_MAX];
  struct qry_counts counts;
  struct violations violations;
};

static const char *const snapshot_names[2] = { "s1", "s2" };

/* Collects the records of SHARD of SNAPSHOT for the query SALT.  Some records
   are on two shards with different scores, and many scores are equal.  */
static size_t
search_shard (const struct run *run, int snapshot, uint32_t shard,
              uint32_t salt, struct rw_arena *arena, struct qry_record *found)
{
  size_t shards = run->views[snapshot].shard_count;
  size_t count = 0;

  for (uint32_t k = 0; k < RECORDS_PER_SNAPSHOT; k++)
    {
      uint64_t home = rw_hash_u64 (k, (uint64_t)snapshot + 10) % shards;
      bool copy = k % 4 == 0 && (home + 1) % shards == shard;

      if (home != shard && !copy)
        continue;
      found[count].id = rw_arena_printf (arena, "r%u", k);
      found[count].score = (double)(rw_hash_u64 (k, salt) % 20) - copy;
      found[count].text = rw_arena_printf (
          arena, "%s.%u.%u", snapshot_names[snapshot], salt, shard);
      count++;
    }
  return count;
}

static int
compare_records (const void *x, const void *y)
{
  const struct qry_record *a = x;
  const struct qry_record *b = y;

  if (a->score != b->score)
    return a->score > b->score ? -1 : 1;
  if (!rw_str_eq (a->id, b->id))
    return rw_str_cmp (a->id, b->id);
  return rw_str_cmp (a->text, b->text);
}

/* The reference merge: collects the records of all COVERED shards, sorts them,
   and keeps the first copy of each id up to the limit of records.  */
static size_t
naive_merge (const struct run *run, int snapshot, const bool *covered,
             uint32_t salt, struct rw_arena *arena, struct qry_record *all)
{
  size_t count = 0;
  size_t kept = 0;

  for (uint32_t s = 0; s < run->views[snapshot].shard_count; s++)
    if (covered[s])
      count += search_shard (run, snapshot, s, salt, arena, all + count);
  qsort (all, count, sizeof *all, compare_records);
  for (size_t i = 0; i < count && kept < run->env.max_records; i++)
    {
      bool seen = false;

      for (size_t j = 0; j < kept; j++)
        seen = seen || rw_str_eq (all[j].id, all[i].id);
      if (!seen)
        all[kept++] = all[i];
    }
  return kept;
}

static bool
same_records (const json_t *array, const struct qry_record *want, size_t count)
{
  if (json_array_size (array) != count)
    return false;
  for (size_t i = 0; i < count; i++)
    {
      const json_t *r = json_array_get (array, i);

      if (!rw_str_eq_cstr (want[i].id,
                           json_string_value (json_object_get (r, "id")))
          || !rw_str_eq_cstr (want[i].text,
                              json_string_value (json_object_get (r, "text")))
          || json_number_value (json_object_get (r, "score")) != want[i].score)
        return false;
    }
  return true;
}

/* Checks the coverage and the records of a successful answer.  */
static void
check_body (struct run *run, int q, const json_t *root)
{
  const json_t *coverage = json_object_get (root, "coverage");
  const json_t *missing = json_object_get (coverage, "missing");
  int snapshot
      = strcmp (json_string_value (json_object_get (root, "snapshot")), "s2")
        == 0;
  size_t shards = run->views[snapshot].shard_count;
  bool covered[SHARDS_MAX];
  struct qry_record all[SHARDS_MAX * RECORDS_PER_SNAPSHOT] = { 0 };
  struct rw_arena arena;
  size_t claimed
      = (size_t)json_integer_value (json_object_get (coverage, "covered"));
  size_t count;

  for (size_t s = 0; s < shards; s++)
    covered[s] = true;
  for (size_t i = 0; i < json_array_size (missing); i++)
    covered[json_integer_value (json_array_get (missing, i))] = false;
  for (size_t s = 0; s < shards; s++)
    run->violations.coverage += covered[s] != run->delivered[q][snapshot][s];
  run->violations.coverage
      += claimed != shards - json_array_size (missing)
         || (size_t)json_integer_value (json_object_get (coverage, "shards"))
                != shards
         || json_is_true (json_object_get (root, "complete"))
                != (claimed == shards);
  rw_arena_init (&arena, 4096);
  count = naive_merge (run, snapshot, covered, (uint32_t)q, &arena, all);
  run->violations.records
      += !same_records (json_object_get (root, "records"), all, count);
  run->violations.covered += (int)claimed;
  rw_arena_finish (&arena);
}

static void
check_answer (struct run *run, int q, const struct qry_command *answer)
{
  json_t *root = json_loadb (answer->u.answer.body.ptr,
                             answer->u.answer.body.len, 0, NULL);

  run->answers[q]++;
  if (run->now > run->starts[q] + QUERY_TIMEOUT || root == NULL)
    run->violations.answers++;
  if (answer->u.answer.status == 200)
    check_body (run, q, root);
  else
    for (int s = 0; s < 2; s++)
      for (size_t i = 0; i < SHARDS_MAX; i++)
        run->violations.coverage += run->delivered[q][s][i] && s == 1;
  json_decref (root);
}

/* Delivers a copy of M after DELAY.  */
static void
send_message (struct run *run, rw_time delay, const struct message *m)
{
  struct message *copy = rw_xmalloc (sizeof *copy);

  *copy = *m;
  rw_heap_push (&run->events, run->now + delay, copy);
}

/* Returns true with the probability RATE.  */
static bool
happens (struct run *run, double rate)
{
  return rw_rng_unit (&run->rng) < rate;
}

/* Labels M with the next attempt of the query, if that is of another part.  */
static void
relabel_attempt (const struct run *run, int q, struct message *m)
{
  const struct qry_query *query = &run->queries[q];
  uint32_t other = (m->attempt + 1) % (uint32_t)query->attempt_count;

  if (query->attempts[other].shard == m->shard)
    return;
  m->attempt = other;
  m->genuine = false;
}

/* Simulates the target's answer to the part of C, with a fault at the rate of
   the run.  */
static void
simulate_target (struct run *run, int q, const struct qry_command *c)
{
  uint32_t target = c->u.send.target;
  int asked = c->u.send.map == &run->maps[1];
  int serves = run->now >= run->moves_at[target];
  rw_time delay = 500 + (rw_time)rw_rng_exponential (&run->rng, 2000);
  struct message m = { .query = q,
                       .genuine = true,
                       .id = run->queries[q].id,
                       .attempt = c->u.send.attempt,
                       .shard = c->u.send.shard,
                       .status = asked == serves ? QRY_OK : QRY_OTHER_SNAPSHOT,
                       .snapshot = serves,
                       .content_snapshot = serves,
                       .content_shard = c->u.send.shard,
                       .content_salt = (uint32_t)q };
  uint64_t fault = rw_rng_below (&run->rng, 12);

  if (!happens (run, run->fault_rate))
    {
      send_message (run, delay, &m);
      return;
    }
  if (fault == 0) /* lost */
    return;
  if (fault == 1) /* late */
    delay *= 20;
  else if (fault == 2) /* duplicated, the copy late */
    send_message (run, delay * 4, &m);
  else if (fault == 3) /* crossed: delivered to another query */
    m.query = (q + 1) % QUERIES;
  else if (fault == 4) /* crossed: another attempt of this query */
    relabel_attempt (run, q, &m);
  else if (fault == 5) /* labelled as another shard */
    m.shard = (m.shard + 1) % (uint32_t)run->views[asked].shard_count;
  else if (fault == 6) /* refused */
    {
      m.status = QRY_NOT_RUN;
      m.retry_after = (rw_time)rw_rng_below (&run->rng, 10) * RW_MSEC;
    }
  else if (fault == 7)
    m.status = QRY_FAILED;
  else if (fault == 8)
    m.status = QRY_NOT_HOLDER;
  else if (fault == 9) /* searched another snapshot instead of refusing */
    {
      m.status = QRY_OK;
      m.snapshot = m.content_snapshot = !asked;
      m.content_shard = m.shard % (uint32_t)run->views[!asked].shard_count;
    }
  else if (fault == 10)
    m.malformed = true;
  else /* another query's sequence number */
    m.id.sequence++;
  m.genuine = m.genuine && (fault < 3 || fault == 4);
  send_message (run, delay, &m);
}

static void
take_commands (struct run *run, int q)
{
  struct qry_command c;

  while (qry_next_command (&run->queries[q], &c))
    if (c.kind == QRY_SEND_PART)
      simulate_target (run, q, &c);
    else if (c.kind == QRY_ANSWER)
      check_answer (run, q, &c);
}

/* Reports M to its query, as JSON or as decoded records.  */
static void
deliver (struct run *run, const struct message *m)
{
  struct qry_record found[RECORDS_PER_SNAPSHOT];
  struct qry_query *query = &run->queries[m->query];
  struct rw_arena arena;
  struct rw_buf json;
  struct qry_result r
      = { .id = m->id,
          .attempt = m->attempt,
          .shard = m->shard,
          .status = m->status,
          .snapshot = rw_str_from (snapshot_names[m->snapshot]),
          .retry_after = m->retry_after };
  int result;

  if (run->now < run->starts[m->query])
    return;
  rw_arena_init (&arena, 4096);
  rw_buf_init (&json);
  r.record_count = search_shard (run, m->content_snapshot, m->content_shard,
                                 m->content_salt, &arena, found);
  r.records = found;
  if (m->malformed || m->attempt % 2 == 0)
    {
      qry_encode_records (found, r.record_count, &json);
      r.json = rw_buf_str (&json);
      r.json.len -= m->malformed ? 1 : 0;
    }
  /* Must precede the call, which may already check an answer.  */
  if (m->genuine && m->status == QRY_OK && !query->done
      && m->attempt >= query->first_attempt
      && rw_str_eq (query->map->snapshot, r.snapshot)
      && query->attempts[m->attempt].state == QRY_ATTEMPT_IN_FLIGHT)
    run->delivered[m->query][m->snapshot][m->shard] = true;
  result = qry_on_result (query, &r, run->now, NULL);
  run->violations.foreign += result == 0 && m->status == QRY_OK && !m->genuine;
  take_commands (run, m->query);
  rw_buf_finish (&json);
  rw_arena_finish (&arena);
}

/* Builds the map of SNAPSHOT with COUNT shards.  Both maps have the same
   targets, but the targets have other shards in the second.  */
static void
make_map (struct run *run, int snapshot, size_t count)
{
  for (uint32_t s = 0; s < count; s++)
    {
      for (uint32_t r = 0; r < REPLICAS; r++)
        run->replicas[snapshot][s][r]
            = (s * REPLICAS + r + (uint32_t)snapshot * 5) % TARGETS;
      run->shards[snapshot][s]
          = (struct rte_shard){ run->replicas[snapshot][s], REPLICAS };
    }
  run->views[snapshot]
      = (struct rte_view){ run->targets, TARGETS, run->shards[snapshot],
                           count,        NULL,    0 };
  run->maps[snapshot]
      = (struct qry_map){ rw_str_from (snapshot_names[snapshot]),
                          (uint64_t)snapshot + 1, &run->views[snapshot], 0 };
}

static void
run_init (struct run *run, uint64_t seed, unsigned int disabled)
{
  memset (run, 0, sizeof *run);
  rw_rng_init (&run->rng, seed);
  rw_heap_init (&run->events);
  for (size_t i = 0; i < TARGETS; i++)
    {
      rte_estimate_init (&run->estimates[i], 0);
      run->targets[i].estimate = &run->estimates[i];
      run->moves_at[i] = RW_TIME_NEVER;
    }
  make_map (run, 0, 4 + rw_rng_below (&run->rng, SHARDS_MAX - 3));
  make_map (run, 1, 4 + rw_rng_below (&run->rng, SHARDS_MAX - 3));
  run->published_at = RW_TIME_NEVER;
  if (seed % 2 == 0) /* repartition during the run */
    {
      run->published_at = (rw_time)rw_rng_below (&run->rng, 60 * RW_MSEC);
      for (size_t i = 0; i < TARGETS; i++)
        run->moves_at[i] = run->published_at - 5 * RW_MSEC
                           + (rw_time)rw_rng_below (&run->rng, 20 * RW_MSEC);
    }
  run->fault_rate = (double)(seed % 5) / 10.0;
  qry_latency_init (&run->latency, 0);
  qry_budget_init (&run->budget);
  run->env = (struct qry_env){ RW_LIT ("partsdesk"),
                               &run->maps[0],
                               &run->latency,
                               &run->budget,
                               &run->rng,
                               seed % 3 == 0 ? 5.0 : 60.0,
                               seed % 7 == 0 ? 1000 : 10,
                               disabled };
  for (int q = 0; q < QUERIES; q++)
    run->starts[q] = (rw_time)q * 10 * RW_MSEC;
}

/* Advances the time to the next start of a query, wakeup or message, and
   handles it.  Returns false if there is none.  */
static bool
run_step (struct run *run)
{
  rw_time next = rw_heap_next_time (&run->events);
  int due = -1;

  for (int q = 0; q < QUERIES; q++)
    {
      rw_time t = run->queries[q].env == NULL
                      ? run->starts[q]
                      : qry_next_wakeup (&run->queries[q]);

      if (t < next)
        {
          next = t;
          due = q;
        }
    }
  if (next == RW_TIME_NEVER)
    return false;
  run->now = next;
  if (run->now >= run->published_at)
    run->env.active_map = &run->maps[1];
  if (due < 0)
    {
      struct message *m = rw_heap_pop (&run->events, &next);

      deliver (run, m);
      free (m);
      return true;
    }
  if (run->queries[due].env == NULL)
    qry_init (&run->queries[due], &run->env,
              (struct qry_id){ 99, (uint64_t)due * 2 },
              run->now + QUERY_TIMEOUT, run->now);
  else
    qry_tick (&run->queries[due], run->now);
  take_commands (run, due);
  return true;
}

static void
run_seed (struct run *run, uint64_t seed, unsigned int disabled)
{
  size_t first = 0;
  size_t extra = 0;

  run_init (run, seed, disabled);
  while (run_step (run))
    ;
  for (int q = 0; q < QUERIES; q++)
    {
      struct qry_counts c = qry_get_counts (&run->queries[q]);

      run->violations.answers += run->answers[q] != 1;
      first += c.first_sends;
      extra += c.hedges + c.retries;
      run->violations.restarts += (int)c.restarts;
      qry_finish (&run->queries[q]);
    }
  run->violations.budget
      += (double)extra > (double)first * run->env.hedge_percent / 100.0;
  assert_int_equal (run->maps[0].refs + run->maps[1].refs, 0);
  for (size_t i = 0; i < TARGETS; i++)
    assert_int_equal (run->estimates[i].in_flight, 0);
  rw_heap_finish (&run->events);
}

#define SEED_COUNT 500
#define SEED_COUNT_DISABLED 100

/* Runs the seeds from 1 to SEEDS and returns the sums of their counts.  */
static struct violations
run_seeds (unsigned int disabled, uint64_t seeds)
{
  struct run *run = rw_xmalloc (sizeof *run);
  struct violations sum = { 0 };

  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      run_seed (run, seed, disabled);
      sum.records += run->violations.records;
      sum.coverage += run->violations.coverage;
      sum.foreign += run->violations.foreign;
      sum.budget += run->violations.budget;
      sum.answers += run->violations.answers;
      sum.restarts += run->violations.restarts;
      sum.covered += run->violations.covered;
    }
  free (run);
  print_message ("disabled %#x: records %d coverage %d foreign %d budget %d "
                 "answers %d; restarts %d covered %d\n",
                 disabled, sum.records, sum.coverage, sum.foreign, sum.budget,
                 sum.answers, sum.restarts, sum.covered);
  return sum;
}

/* Guards against answers that mix snapshots, state a wrong coverage or contain
   records of another request, and against more hedges and retries than the
   budget allows (promises P1, P2 and P5).  Results are late, crossed,
   duplicated, lost, refused or malformed, and the map changes during the
   run.  */
TEST (matches_the_naive_merge)
{
  struct violations violations = run_seeds (0, SEED_COUNT);

  assert_int_equal (violations.records, 0);
  assert_int_equal (violations.coverage, 0);
  assert_int_equal (violations.foreign, 0);
  assert_int_equal (violations.budget, 0);
  assert_int_equal (violations.answers, 0);
  assert_true (violations.restarts > 50);
  assert_true (violations.covered > SEED_COUNT * QUERIES * 2);
}

/* Shows that the test detects a missing check of snapshots.  */
TEST (fails_without_the_snapshot_check)
{
  assert_true (run_seeds (QRY_MECH_SNAPSHOT, SEED_COUNT_DISABLED).records > 0);
}

/* Shows that the test detects results that are matched to a wrong attempt.  */
TEST (fails_without_the_attempt_identity)
{
  struct violations violations
      = run_seeds (QRY_MECH_IDENTITY, SEED_COUNT_DISABLED);

  assert_true (violations.records > 0);
  assert_true (violations.foreign > 0);
}

/* Shows that the test detects a shard that is counted twice or without being
   merged.  */
TEST (fails_without_the_coverage_count)
{
  assert_true (run_seeds (QRY_MECH_TRUE_COVERAGE, SEED_COUNT_DISABLED).coverage
               > 0);
}

/* Shows that the test detects hedges and retries without a limit.  */
TEST (fails_without_the_budget)
{
  assert_true (run_seeds (QRY_MECH_BUDGET, SEED_COUNT_DISABLED).budget > 0);
}
