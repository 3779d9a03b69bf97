#include "query_impl.h"

#include <string.h>

/* A hedge or retry that found no token is tried again after this time.  */
#define RECHECK (2 * RW_MSEC)
/* Least delay before a replica that failed is used again for a part.  */
#define REUSE_DELAY (2 * RW_MSEC)
/* A restart repeats every part, so that one is allowed for each query.  */
#define MAX_RESTARTS 1
#define MAX_TRIED (QRY_ATTEMPTS_MAX + QRY_REDIRECTS_MAX)

/* Returns whether A and B name the same request.  */
bool
qry_id_eq (struct qry_id a, struct qry_id b)
{
  return a.incarnation == b.incarnation && a.sequence == b.sequence;
}

bool
qry_enabled (const struct qry_query *query, enum qry_mechanism mechanism)
{
  return (query->env->disabled_mechanisms & mechanism) == 0;
}

struct rte_estimate *
qry_target_estimate (const struct qry_query *query, uint32_t target)
{
  return query->map->view->targets[target].estimate;
}

/* Makes room for one element more in an array of the arena.  The old copy
   stays in the arena, so the size doubles.  */
static void *
grown (struct rw_arena *arena, void *array, size_t len, size_t *cap,
       size_t size)
{
  void *copy;

  if (len < *cap)
    return array;
  *cap = *cap != 0 ? *cap * 2 : 16;
  copy = rw_arena_alloc (arena, *cap * size);
  if (len != 0)
    memcpy (copy, array, len * size);
  return copy;
}

static void
enqueue (struct qry_query *query, enum qry_command_kind kind, uint32_t attempt)
{
  if (query->queue_head == query->queue_len)
    query->queue_head = query->queue_len = 0;
  query->queue = grown (&query->arena, query->queue, query->queue_len,
                        &query->queue_cap, sizeof *query->queue);
  query->queue[query->queue_len++]
      = (struct qry_queued_command){ kind, attempt, query->map };
}

/* Sets when PART is looked at next.  */
static void
set_due (struct qry_query *query, struct qry_part *part, rw_time due)
{
  part->due_at = due;
  if (due < query->next_due_at)
    query->next_due_at = due;
}

static void
set_starved (struct qry_query *query, struct qry_part *part, bool starved)
{
  if (part->waits_for_token == starved)
    return;
  part->waits_for_token = starved;
  if (starved)
    query->parts_waiting_for_token++;
  else
    query->parts_waiting_for_token--;
}

/* Ends PART.  Test only: without the coverage count, every part that ended
   counts as covered.  */
void
qry_close_part (struct qry_query *query, struct qry_part *part,
                enum qry_part_state state)
{
  set_starved (query, part, false);
  if (state == QRY_PART_UNCOVERED
      && !qry_enabled (query, QRY_MECH_TRUE_COVERAGE))
    {
      state = QRY_PART_COVERED;
      query->covered_count++;
    }
  part->state = (uint8_t)state;
  part->due_at = RW_TIME_NEVER;
  query->open_parts--;
}

static bool
take_token (struct qry_query *query)
{
  return !qry_enabled (query, QRY_MECH_BUDGET)
         || qry_budget_take (query->env->budget);
}

static void
count_send (struct qry_counts *counts, enum qry_send_reason reason)
{
  switch (reason)
    {
    case QRY_FIRST_SEND:
      counts->first_sends++;
      break;
    case QRY_HEDGE:
      counts->hedges++;
      break;
    case QRY_RETRY:
      counts->retries++;
      break;
    case QRY_REDIRECT:
      counts->redirects++;
      break;
    }
}

void
qry_send_part (struct qry_query *query, uint32_t shard, uint32_t target,
               enum qry_send_reason reason, rw_time now)
{
  struct qry_part *part = &query->parts[shard];
  uint32_t number = (uint32_t)query->attempt_count;

  query->attempts
      = grown (&query->arena, query->attempts, query->attempt_count,
               &query->attempt_cap, sizeof *query->attempts);
  query->attempts[query->attempt_count++]
      = (struct qry_attempt){ .sent_at = now,
                              .shard = shard,
                              .target = target,
                              .previous = part->last_attempt,
                              .reason = reason,
                              .state = QRY_ATTEMPT_IN_FLIGHT };
  part->last_attempt = number;
  part->in_flight++;
  if (reason == QRY_REDIRECT)
    part->redirect_count++;
  else
    part->send_count++;
  query->in_flight++;
  count_send (&query->counts, reason);
  rte_on_send (qry_target_estimate (query, target));
  enqueue (query, QRY_SEND_PART, number);
  set_starved (query, part, false);
  set_due (query, part,
           qry_enabled (query, QRY_MECH_HEDGE)
               ? now + qry_hedge_delay (query->env->latency, now)
               : RW_TIME_NEVER);
}

/* Ends the running ATTEMPT with OUTCOME.  */
void
qry_end_attempt (struct qry_query *query, struct qry_attempt *attempt,
                 enum qry_attempt_state outcome)
{
  attempt->state = outcome;
  query->parts[attempt->shard].in_flight--;
  query->in_flight--;
  rte_on_end (qry_target_estimate (query, attempt->target));
}

/* Notes the time that an attempt without result has taken so far.  A sample
   below the 95th percentile is dropped: it is only a lower bound, and would
   pull the percentile down.  */
static void
note_unfinished (struct qry_query *query, const struct qry_attempt *attempt,
                 rw_time now)
{
  rw_time elapsed = now - attempt->sent_at;

  rte_on_slow (qry_target_estimate (query, attempt->target), elapsed, now);
  if (elapsed >= qry_latency_p95 (query->env->latency, now)
      && elapsed >= QRY_HEDGE_DELAY_MIN)
    qry_latency_add (query->env->latency, elapsed, now);
}

static void
cancel_attempt (struct qry_query *query, uint32_t number, rw_time now)
{
  struct qry_attempt *attempt = &query->attempts[number];

  note_unfinished (query, attempt, now);
  qry_end_attempt (query, attempt, QRY_ATTEMPT_CANCELLED);
  query->may_have_run = true;
  query->counts.cancelled++;
  enqueue (query, QRY_CANCEL_ATTEMPT, number);
}

/* Cancels what still runs of PART.  */
void
qry_cancel_part (struct qry_query *query, const struct qry_part *part,
                 rw_time now)
{
  uint32_t number = part->last_attempt;

  while (part->in_flight > 0 && number != QRY_NO_ATTEMPT)
    {
      if (query->attempts[number].state == QRY_ATTEMPT_IN_FLIGHT)
        cancel_attempt (query, number, now);
      number = query->attempts[number].previous;
    }
}

static void
cancel_all (struct qry_query *query, rw_time now)
{
  for (size_t i = query->first_attempt; i < query->attempt_count; i++)
    if (query->attempts[i].state == QRY_ATTEMPT_IN_FLIGHT)
      cancel_attempt (query, (uint32_t)i, now);
}

/* Collects the targets that PART was sent to.  HEDGE: none of them may get it
   again; otherwise those that run it or serve another snapshot.  */
static size_t
tried_of (const struct qry_query *query, const struct qry_part *part,
          bool hedge, struct rte_tried *tried)
{
  size_t count = 0;
  uint32_t number = part->last_attempt;

  while (number != QRY_NO_ATTEMPT && count < MAX_TRIED)
    {
      const struct qry_attempt *a = &query->attempts[number];

      tried[count].target = a->target;
      tried[count].never = hedge || a->state == QRY_ATTEMPT_IN_FLIGHT
                           || a->state == QRY_ATTEMPT_OTHER_SNAPSHOT;
      count++;
      number = a->previous;
    }
  return count;
}

static bool
was_tried (const struct rte_tried *tried, size_t count, uint32_t target)
{
  for (size_t i = 0; i < count; i++)
    if (tried[i].target == target)
      return true;
  return false;
}

/* Marks in TRIED, as tried_of filled it, where a late part may go again: to a
   target that runs it already, because slowness is often that of one exchange.
   The target that got it last must wait, unless it is alone.  */
static void
allow_running (const struct qry_query *query, const struct qry_part *part,
               struct rte_tried *tried, size_t count)
{
  uint32_t last = query->attempts[part->last_attempt].target;
  uint32_t number = part->last_attempt;

  for (size_t i = 0; i < count; i++)
    {
      const struct qry_attempt *a = &query->attempts[number];

      tried[i].never = a->state != QRY_ATTEMPT_IN_FLIGHT
                       || (a->target == last && part->in_flight > 1);
      number = a->previous;
    }
}

/* Sends a further attempt of a part that is late, to a replica that has not
   seen it if there is one.  */
static void
hedge (struct qry_query *query, uint32_t shard, rw_time now)
{
  struct qry_part *part = &query->parts[shard];
  struct rte_tried tried[MAX_TRIED];
  size_t count = tried_of (query, part, true, tried);
  uint32_t target;

  part->due_at = RW_TIME_NEVER;
  if (part->send_count >= QRY_ATTEMPTS_MAX)
    return;
  target = rte_choose (query->map->view, shard, tried, count, query->env->rng,
                       now);
  if (target == RTE_NONE)
    {
      allow_running (query, part, tried, count);
      target = rte_choose (query->map->view, shard, tried, count,
                           query->env->rng, now);
    }
  if (target == RTE_NONE)
    return;
  if (!take_token (query))
    {
      set_due (query, part, now + RECHECK);
      return;
    }
  qry_send_part (query, shard, target, QRY_HEDGE, now);
}

/* Whether a target that was asked for PART serves another snapshot.  */
static bool
has_moved_on (const struct qry_query *query, const struct qry_part *part)
{
  uint32_t number = part->last_attempt;

  while (number != QRY_NO_ATTEMPT
         && query->attempts[number].state != QRY_ATTEMPT_OTHER_SNAPSHOT)
    number = query->attempts[number].previous;
  return number != QRY_NO_ATTEMPT;
}

/* Sends a part again of which no attempt is running, or plans that, or gives
   the part up.  */
void
qry_retry_part (struct qry_query *query, uint32_t shard, rw_time now)
{
  struct qry_part *part = &query->parts[shard];
  struct rte_tried tried[MAX_TRIED];
  size_t count = tried_of (query, part, false, tried);
  uint32_t target = RTE_NONE;
  rw_time from = now;

  if (part->send_count < QRY_ATTEMPTS_MAX)
    target = rte_choose (query->map->view, shard, tried, count,
                         query->env->rng, now);
  if (target == RTE_NONE)
    {
      query->restart_wanted
          = query->restart_wanted || has_moved_on (query, part);
      qry_close_part (query, part, QRY_PART_UNCOVERED);
      return;
    }
  if (was_tried (tried, count, target))
    {
      const struct rte_estimate *e = qry_target_estimate (query, target);

      from = query->attempts[part->last_attempt].sent_at + REUSE_DELAY;
      if (e->refused_until > from)
        from = e->refused_until;
    }
  if (from >= query->result_deadline)
    qry_close_part (query, part, QRY_PART_UNCOVERED);
  else if (from > now)
    {
      set_starved (query, part, false);
      set_due (query, part, from);
    }
  else if (!take_token (query))
    {
      set_starved (query, part, true);
      set_due (query, part, now + RECHECK);
    }
  else
    qry_send_part (query, shard, target, QRY_RETRY, now);
}

/* Sends every part of the pinned map for the first time.  */
static void
send_first (struct qry_query *query, rw_time now)
{
  const struct rte_view *view = query->map->view;
  size_t sent = 0;

  query->part_count = view->shard_count;
  query->parts = rw_arena_zalloc (&query->arena, query->part_count,
                                  sizeof *query->parts);
  query->open_parts = query->part_count;
  query->parts_waiting_for_token = 0;
  query->first_attempt = query->attempt_count;
  query->next_due_at = RW_TIME_NEVER;
  for (size_t i = 0; i < query->part_count; i++)
    {
      struct qry_part *part = &query->parts[i];
      uint32_t target
          = rte_choose (view, (uint32_t)i, NULL, 0, query->env->rng, now);

      part->last_attempt = QRY_NO_ATTEMPT;
      if (target == RTE_NONE)
        {
          qry_close_part (query, part, QRY_PART_UNCOVERED);
          rw_err_set (&query->last_error, RW_E_OUT, "route",
                      query->env->service,
                      "no replica of shard %zu is in service", i);
          continue;
        }
      qry_send_part (query, (uint32_t)i, target, QRY_FIRST_SEND, now);
      sent++;
    }
  qry_budget_earn (query->env->budget, sent, query->env->hedge_percent);
}

static void
pin (struct qry_query *query, struct qry_map *map)
{
  query->map = map;
  if (map != NULL)
    map->refs++;
}

/* Queues the answer, then the cancellation of what still runs.  */
static void
finish_answer (struct qry_query *query, bool late, rw_time now)
{
  query->done = true;
  query->next_due_at = RW_TIME_NEVER;
  query->may_have_run = query->may_have_run || query->in_flight > 0;
  qry_build_answer (query, late);
  enqueue (query, QRY_ANSWER, QRY_NO_ATTEMPT);
  cancel_all (query, now);
}

/* Whether the query may start again on the newest map: a target just refused
   for that map, or a part was lost so, and more than half of the time remains.
 */
bool
qry_may_restart (const struct qry_query *query, rw_time now)
{
  const struct qry_map *newest = query->env->active_map;

  return query->restart_wanted && newest != NULL && newest != query->map
         && newest->version > query->map->version
         && rw_str_eq (newest->snapshot, query->other_snapshot)
         && query->counts.restarts < MAX_RESTARTS
         && 2 * (query->caller_deadline - now)
                > query->caller_deadline - query->started_at;
}

/* Starts again on the newest map with nothing merged.  */
static void
restart (struct qry_query *query, rw_time now)
{
  cancel_all (query, now);
  query->previous_map = query->map;
  pin (query, query->env->active_map);
  query->counts.restarts++;
  query->covered_count = 0;
  query->top_count = 0;
  query->restart_wanted = false;
  send_first (query, now);
}

/* Restarts or answers if it is time to.  Parts that only wait for a token do
   not keep the query open: no token may ever come.  */
void
qry_restart_or_answer (struct qry_query *query, rw_time now)
{
  if (query->done)
    return;
  if (qry_may_restart (query, now))
    restart (query, now);
  if (query->open_parts == 0
      || (query->in_flight == 0
          && query->open_parts == query->parts_waiting_for_token))
    finish_answer (query, false, now);
  else if (now >= query->result_deadline)
    finish_answer (query, true, now);
}

/* Starts a query on the active map of ENV.  DEADLINE is the time by which the
   caller needs the answer.  The commands to send its parts are queued; if
   nothing can be sent, the answer is queued at once.  */
void
qry_init (struct qry_query *query, struct qry_env *env, struct qry_id id,
          rw_time deadline, rw_time now)
{
  *query
      = (struct qry_query){ .env = env,
                            .id = id,
                            .started_at = now,
                            .caller_deadline = deadline,
                            .result_deadline = deadline - QRY_MERGE_ALLOWANCE,
                            .next_due_at = RW_TIME_NEVER,
                            .top_cap = env->max_records,
                            .min_retry_after = -1 };
  rw_arena_init (&query->arena, QRY_ARENA_BLOCK);
  query->top_records = rw_arena_alloc (
      &query->arena, query->top_cap * sizeof *query->top_records);
  pin (query, env->active_map);
  if (query->map != NULL && now < query->result_deadline)
    {
      query->attempt_cap = query->map->view->shard_count * 9 / 8 + 8;
      query->attempts = rw_arena_alloc (
          &query->arena, query->attempt_cap * sizeof *query->attempts);
      send_first (query, now);
    }
  qry_restart_or_answer (query, now);
}

static void
unpin (struct qry_map *map)
{
  if (map != NULL)
    map->refs--;
}

/* Releases the maps and all memory.  Attempts that still run are not
   cancelled.  */
void
qry_finish (struct qry_query *query)
{
  for (size_t i = query->first_attempt; i < query->attempt_count; i++)
    if (query->attempts[i].state == QRY_ATTEMPT_IN_FLIGHT)
      qry_end_attempt (query, &query->attempts[i], QRY_ATTEMPT_CANCELLED);
  unpin (query->map);
  unpin (query->previous_map);
  rw_arena_finish (&query->arena);
}

static void
fill_send (const struct qry_query *query,
           const struct qry_queued_command *queued,
           struct qry_command *command)
{
  const struct qry_attempt *a = &query->attempts[queued->attempt];

  command->u.send.attempt = queued->attempt;
  command->u.send.shard = a->shard;
  command->u.send.target = a->target;
  command->u.send.reason = a->reason;
  command->u.send.deadline = query->result_deadline;
  command->u.send.map = queued->map;
}

static void
fill_cancel (const struct qry_query *query,
             const struct qry_queued_command *queued,
             struct qry_command *command)
{
  const struct qry_attempt *a = &query->attempts[queued->attempt];

  command->u.cancel.attempt = queued->attempt;
  command->u.cancel.shard = a->shard;
  command->u.cancel.target = a->target;
  command->u.cancel.map = queued->map;
}

/* Takes the oldest command.  Returns false if there is none.  */
bool
qry_next_command (struct qry_query *query, struct qry_command *command)
{
  const struct qry_queued_command *queued;

  if (query->queue_head == query->queue_len)
    return false;
  queued = &query->queue[query->queue_head++];
  command->kind = queued->kind;
  switch (queued->kind)
    {
    case QRY_SEND_PART:
      fill_send (query, queued, command);
      break;
    case QRY_CANCEL_ATTEMPT:
      fill_cancel (query, queued, command);
      break;
    case QRY_ANSWER:
      *command = query->answer;
      break;
    }
  return true;
}

/* Returns the time at which qry_tick is needed, RW_TIME_NEVER after the
   answer.  */
rw_time
qry_next_wakeup (const struct qry_query *query)
{
  if (query->done)
    return RW_TIME_NEVER;
  return query->next_due_at < query->result_deadline ? query->next_due_at
                                                     : query->result_deadline;
}

/* Hedges or retries shard SHARD if that is due.  */
static void
tick_part (struct qry_query *query, uint32_t shard, rw_time now)
{
  struct qry_part *part = &query->parts[shard];

  if (part->state != QRY_PART_OPEN)
    return;
  if (part->due_at > now)
    set_due (query, part, part->due_at);
  else if (part->in_flight > 0)
    hedge (query, shard, now);
  else
    qry_retry_part (query, shard, now);
}

/* Hedges, retries and answers that are due at NOW.  Every query begins with
   another shard, so that the last shards are not the ones that always miss out
   when tokens are short.  */
void
qry_tick (struct qry_query *query, rw_time now)
{
  if (query->done)
    return;
  if (now >= query->next_due_at && now < query->result_deadline)
    {
      size_t first = query->id.sequence % query->part_count;

      query->next_due_at = RW_TIME_NEVER;
      for (size_t i = 0; i < query->part_count; i++)
        tick_part (query, (uint32_t)((first + i) % query->part_count), now);
    }
  qry_restart_or_answer (query, now);
}

/* Cancels everything without an answer: the caller has closed its connection.
 */
void
qry_on_caller_disconnect (struct qry_query *query, rw_time now)
{
  if (query->done)
    return;
  query->done = true;
  cancel_all (query, now);
}

/* Whether the answer was queued, or is no longer wanted.  */
bool
qry_done (const struct qry_query *query)
{
  return query->done;
}

/* Returns the numbers of sends and refused results so far.  */
struct qry_counts
qry_get_counts (const struct qry_query *query)
{
  return query->counts;
}
