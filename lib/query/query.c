#include "query_impl.h"

#include <string.h>

/* Delay before a hedge or retry that found no token asks for one again.  */
#define TOKEN_RETRY_DELAY (2 * RW_MSEC)
/* Shortest time from the last send of a part to a retry on a target that the
   part was sent to before.  */
#define REPLICA_REUSE_DELAY (2 * RW_MSEC)
/* A restart repeats every part, so a query may restart only once.  */
#define RESTARTS_MAX 1
/* Limit on the attempts of one part on one map.  */
#define TRIED_MAX (QRY_ATTEMPTS_MAX + QRY_REDIRECTS_MAX)

/* Returns whether A and B are the id of the same request.  */
bool
qry_id_eq (struct qry_id a, struct qry_id b)
{
  return a.incarnation == b.incarnation && a.sequence == b.sequence;
}

/* Returns whether MECHANISM is in effect; only tests disable any.  */
bool
qry_enabled (const struct qry_query *query, enum qry_mechanism mechanism)
{
  return (query->env->disabled_mechanisms & mechanism) == 0;
}

/* Returns the latency and failure estimate of TARGET, an index into the
   targets of the pinned map.  */
struct rte_estimate *
qry_target_estimate (const struct qry_query *query, uint32_t target)
{
  return query->map->view->targets[target].estimate;
}

/* Returns ARRAY with room for one more element.  If it was full, it is copied
   to new memory of ARENA.  The arena cannot free the old copy, so the capacity
   doubles each time to bound the waste.  */
static void *
grow_array (struct rw_arena *arena, void *array, size_t len, size_t *cap,
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

/* Queues a command about ATTEMPT on the pinned map.  */
static void
enqueue (struct qry_query *query, enum qry_command_kind kind, uint32_t attempt)
{
  if (query->queue_head == query->queue_len)
    query->queue_head = query->queue_len = 0;
  query->queue = grow_array (&query->arena, query->queue, query->queue_len,
                             &query->queue_cap, sizeof *query->queue);
  query->queue[query->queue_len++]
      = (struct qry_queued_command){ kind, attempt, query->map };
}

/* Sets the time of the next hedge or retry of PART.  */
static void
set_due (struct qry_query *query, struct qry_part *part, rw_time due)
{
  part->due_at = due;
  if (due < query->next_due_at)
    query->next_due_at = due;
}

/* Records whether PART waits for a token and nothing else, and keeps the count
   of such parts.  */
static void
set_waits_for_token (struct qry_query *query, struct qry_part *part,
                     bool waits)
{
  if (part->waits_for_token == waits)
    return;
  part->waits_for_token = waits;
  if (waits)
    query->parts_waiting_for_token++;
  else
    query->parts_waiting_for_token--;
}

/* Closes PART, which is open, as covered or uncovered.  If a test has disabled
   QRY_MECH_TRUE_COVERAGE, an uncovered part counts as covered too.  */
void
qry_close_part (struct qry_query *query, struct qry_part *part,
                enum qry_part_state state)
{
  set_waits_for_token (query, part, false);
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

/* Takes a token for a hedge or a retry.  Returns false if there is none.  */
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

/* Starts an attempt of part SHARD on TARGET and sets when it is hedged.  The
   caller has taken the token, if REASON needs one.  */
void
qry_send_part (struct qry_query *query, uint32_t shard, uint32_t target,
               enum qry_send_reason reason, rw_time now)
{
  struct qry_part *part = &query->parts[shard];
  uint32_t number = (uint32_t)query->attempt_count;

  query->attempts
      = grow_array (&query->arena, query->attempts, query->attempt_count,
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
  set_waits_for_token (query, part, false);
  set_due (query, part,
           qry_enabled (query, QRY_MECH_HEDGE)
               ? now + qry_hedge_delay (query->env->latency, now)
               : RW_TIME_NEVER);
}

/* Ends ATTEMPT, which is in flight, in STATE.  Queues no command.  */
void
qry_end_attempt (struct qry_query *query, struct qry_attempt *attempt,
                 enum qry_attempt_state state)
{
  attempt->state = state;
  query->parts[attempt->shard].in_flight--;
  query->in_flight--;
  rte_on_end (qry_target_estimate (query, attempt->target));
}

/* Records the time since ATTEMPT, which has no result, was sent.  This is only
   a lower bound of its latency.  Below the 95th percentile it is not added to
   the latency window, as it would lower the percentile.  */
static void
record_unfinished_attempt (struct qry_query *query,
                           const struct qry_attempt *attempt, rw_time now)
{
  rw_time elapsed = now - attempt->sent_at;

  rte_on_unfinished (qry_target_estimate (query, attempt->target), elapsed,
                     now);
  if (elapsed >= qry_latency_p95 (query->env->latency, now)
      && elapsed >= QRY_HEDGE_DELAY_MIN)
    qry_latency_add (query->env->latency, elapsed, now);
}

/* Cancels an attempt that is in flight.  */
static void
cancel_attempt (struct qry_query *query, uint32_t number, rw_time now)
{
  struct qry_attempt *attempt = &query->attempts[number];

  record_unfinished_attempt (query, attempt, now);
  qry_end_attempt (query, attempt, QRY_ATTEMPT_CANCELLED);
  query->may_have_run = true;
  query->counts.cancelled++;
  enqueue (query, QRY_CANCEL_ATTEMPT, number);
}

/* Cancels the attempts of PART that are in flight.  */
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

/* Cancels all attempts that are in flight.  */
static void
cancel_all (struct qry_query *query, rw_time now)
{
  for (size_t i = query->first_attempt; i < query->attempt_count; i++)
    if (query->attempts[i].state == QRY_ATTEMPT_IN_FLIGHT)
      cancel_attempt (query, (uint32_t)i, now);
}

/* Lists the targets that PART was sent to, latest first, and returns their
   number.  For a hedge, all of them are excluded; for a retry, those at which
   the part is in flight and those that serve another snapshot.  */
static size_t
list_tried (const struct qry_query *query, const struct qry_part *part,
            bool for_hedge, struct rte_tried *tried)
{
  size_t count = 0;
  uint32_t number = part->last_attempt;

  while (number != QRY_NO_ATTEMPT && count < TRIED_MAX)
    {
      const struct qry_attempt *a = &query->attempts[number];

      tried[count].target = a->target;
      tried[count].excluded = for_hedge || a->state == QRY_ATTEMPT_IN_FLIGHT
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

/* Changes TRIED, as list_tried filled it, so that a late part may be hedged to
   a target at which it is in flight: often a single exchange is slow, not the
   target.  The target of the last send is excluded, unless no other attempt is
   in flight.  */
static void
allow_in_flight (const struct qry_query *query, const struct qry_part *part,
                 struct rte_tried *tried, size_t count)
{
  uint32_t last = query->attempts[part->last_attempt].target;
  uint32_t number = part->last_attempt;

  for (size_t i = 0; i < count; i++)
    {
      const struct qry_attempt *a = &query->attempts[number];

      tried[i].excluded = a->state != QRY_ATTEMPT_IN_FLIGHT
                          || (a->target == last && part->in_flight > 1);
      number = a->previous;
    }
}

/* Hedges a late part: on a replica that it was not sent to, else on one at
   which it is in flight.  Without a token, the hedge is tried again after
   TOKEN_RETRY_DELAY; at the limit of sends or without a suitable target, the
   part is not hedged again.  */
static void
hedge_part (struct qry_query *query, uint32_t shard, rw_time now)
{
  struct qry_part *part = &query->parts[shard];
  struct rte_tried tried[TRIED_MAX];
  size_t count = list_tried (query, part, true, tried);
  uint32_t target;

  part->due_at = RW_TIME_NEVER;
  if (part->send_count >= QRY_ATTEMPTS_MAX)
    return;
  target = rte_choose_replica (query->map->view, shard, tried, count,
                               query->env->rng, now);
  if (target == RTE_NONE)
    {
      allow_in_flight (query, part, tried, count);
      target = rte_choose_replica (query->map->view, shard, tried, count,
                                   query->env->rng, now);
    }
  if (target == RTE_NONE)
    return;
  if (!take_token (query))
    {
      set_due (query, part, now + TOKEN_RETRY_DELAY);
      return;
    }
  qry_send_part (query, shard, target, QRY_HEDGE, now);
}

/* Returns whether a target that PART was sent to serves another snapshot.  */
static bool
found_other_snapshot (const struct qry_query *query,
                      const struct qry_part *part)
{
  uint32_t number = part->last_attempt;

  while (number != QRY_NO_ATTEMPT
         && query->attempts[number].state != QRY_ATTEMPT_OTHER_SNAPSHOT)
    number = query->attempts[number].previous;
  return number != QRY_NO_ATTEMPT;
}

/* Retries a part that has no attempt in flight.  The retry is delayed if there
   is no token, or if the part was already sent to all targets that are left.
   In the second case it waits until REPLICA_REUSE_DELAY after the last send,
   or until the end of the target's Retry-After if that is later.  The part is
   given up at the limit of sends, if no target is left, or if the delay would
   not end before the result deadline.  */
void
qry_retry_part (struct qry_query *query, uint32_t shard, rw_time now)
{
  struct qry_part *part = &query->parts[shard];
  struct rte_tried tried[TRIED_MAX];
  size_t count = list_tried (query, part, false, tried);
  uint32_t target = RTE_NONE;
  rw_time retry_at = now;

  if (part->send_count < QRY_ATTEMPTS_MAX)
    target = rte_choose_replica (query->map->view, shard, tried, count,
                                 query->env->rng, now);
  if (target == RTE_NONE)
    {
      query->restart_wanted
          = query->restart_wanted || found_other_snapshot (query, part);
      qry_close_part (query, part, QRY_PART_UNCOVERED);
      return;
    }
  if (was_tried (tried, count, target))
    {
      const struct rte_estimate *e = qry_target_estimate (query, target);

      retry_at
          = query->attempts[part->last_attempt].sent_at + REPLICA_REUSE_DELAY;
      if (e->refused_until > retry_at)
        retry_at = e->refused_until;
    }
  if (retry_at >= query->result_deadline)
    qry_close_part (query, part, QRY_PART_UNCOVERED);
  else if (retry_at > now)
    {
      set_waits_for_token (query, part, false);
      set_due (query, part, retry_at);
    }
  else if (!take_token (query))
    {
      set_waits_for_token (query, part, true);
      set_due (query, part, now + TOKEN_RETRY_DELAY);
    }
  else
    qry_send_part (query, shard, target, QRY_RETRY, now);
}

/* Sends one part for each shard of the pinned map and adds what these sends
   earn to the retry budget.  A part without a usable target is uncovered.  */
static void
send_all_parts (struct qry_query *query, rw_time now)
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
      uint32_t target = rte_choose_replica (view, (uint32_t)i, NULL, 0,
                                            query->env->rng, now);

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

/* Ends the query: queues the answer, then cancels the attempts in flight.
   LATE: the result deadline has passed.  */
static void
finish_with_answer (struct qry_query *query, bool late, rw_time now)
{
  query->done = true;
  query->next_due_at = RW_TIME_NEVER;
  query->may_have_run = query->may_have_run || query->in_flight > 0;
  qry_build_answer (query, late);
  enqueue (query, QRY_ANSWER, QRY_NO_ATTEMPT);
  cancel_all (query, now);
}

/* Returns whether the query may restart on the active map.  All of these must
   be true: a target was just found on the snapshot of that map, or a part was
   given up because of such a target; the map is newer than the pinned one; the
   query has not reached RESTARTS_MAX; more than half of its time remains.  */
bool
qry_may_restart (const struct qry_query *query, rw_time now)
{
  const struct qry_map *active = query->env->active_map;

  return query->restart_wanted && active != NULL && active != query->map
         && active->version > query->map->version
         && rw_str_eq (active->snapshot, query->other_snapshot)
         && query->counts.restarts < RESTARTS_MAX
         && 2 * (query->caller_deadline - now)
                > query->caller_deadline - query->started_at;
}

/* Restarts the query on the active map.  Drops all records merged so far, so
   that the answer does not mix snapshots.  */
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
  send_all_parts (query, now);
}

/* Restarts the query if it may, and answers if no more results can be
   expected.  Parts that only wait for a token do not delay the answer, because
   there may never be a token.  */
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
    finish_with_answer (query, false, now);
}

/* Answers with the results so far if the result deadline has passed.  Results
   themselves never end a query late: after a pause of the process, several of
   them may wait in its sockets.  */
static void
answer_if_late (struct qry_query *query, rw_time now)
{
  if (!query->done && now >= query->result_deadline)
    finish_with_answer (query, true, now);
}

/* Starts a query with the id ID on the active map of ENV, which it pins until
   qry_finish.  DEADLINE is the time by which the caller needs the answer.
   Queues one QRY_SEND_PART for each shard that has a usable target; if there
   is none, or the time is too short, queues an error answer.  */
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
      /* One attempt for each shard, and some hedges and retries.  */
      query->attempt_cap = query->map->view->shard_count * 9 / 8 + 8;
      query->attempts = rw_arena_alloc (
          &query->arena, query->attempt_cap * sizeof *query->attempts);
      send_all_parts (query, now);
    }
  qry_restart_or_answer (query, now);
  answer_if_late (query, now);
}

static void
unpin (struct qry_map *map)
{
  if (map != NULL)
    map->refs--;
}

/* Unpins the maps and frees the query's memory, including the strings in its
   commands.  Attempts in flight end without a QRY_CANCEL_ATTEMPT.  */
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
fill_send_command (const struct qry_query *query,
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
fill_cancel_command (const struct qry_query *query,
                     const struct qry_queued_command *queued,
                     struct qry_command *command)
{
  const struct qry_attempt *a = &query->attempts[queued->attempt];

  command->u.cancel.attempt = queued->attempt;
  command->u.cancel.shard = a->shard;
  command->u.cancel.target = a->target;
  command->u.cancel.map = queued->map;
}

/* Moves the oldest queued command to COMMAND.  Returns false if the queue is
   empty.  */
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
      fill_send_command (query, queued, command);
      break;
    case QRY_CANCEL_ATTEMPT:
      fill_cancel_command (query, queued, command);
      break;
    case QRY_ANSWER:
      *command = query->answer;
      break;
    }
  return true;
}

/* Returns the time at which qry_tick must be called, or RW_TIME_NEVER if the
   query is done.  */
rw_time
qry_next_wakeup (const struct qry_query *query)
{
  if (query->done)
    return RW_TIME_NEVER;
  return query->next_due_at < query->result_deadline ? query->next_due_at
                                                     : query->result_deadline;
}

/* Hedges or retries the part of SHARD if that is due.  */
static void
tick_part (struct qry_query *query, uint32_t shard, rw_time now)
{
  struct qry_part *part = &query->parts[shard];

  if (part->state != QRY_PART_OPEN)
    return;
  if (part->due_at > now)
    set_due (query, part, part->due_at);
  else if (part->in_flight > 0)
    hedge_part (query, shard, now);
  else
    qry_retry_part (query, shard, now);
}

/* Hedges and retries the parts that are due at NOW, and answers if the result
   deadline has passed.  The first part to be tried depends on the query's id,
   so that a shortage of tokens does not always affect the same shards.  */
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
  answer_if_late (query, now);
}

/* Ends the query without an answer, because the caller has closed its
   connection.  Cancels the attempts in flight.  */
void
qry_on_caller_disconnect (struct qry_query *query, rw_time now)
{
  if (query->done)
    return;
  query->done = true;
  cancel_all (query, now);
}

/* Returns whether the answer has been queued or the caller has disconnected.
   Commands may still be in the queue.  */
bool
qry_done (const struct qry_query *query)
{
  return query->done;
}

struct qry_counts
qry_get_counts (const struct qry_query *query)
{
  return query->counts;
}
