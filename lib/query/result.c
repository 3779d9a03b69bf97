#include "query_impl.h"

/* Counts a result that does not belong to an attempt in flight, and returns
   RW_E_MISMATCH with ERR set.  */
static int
refuse_result (struct qry_query *query, const struct qry_result *result,
               struct rw_err *err, const char *detail)
{
  query->counts.refused_results++;
  return rw_err_set (err, RW_E_MISMATCH, "result", query->env->service,
                     "attempt %u, shard %u: %s", result->attempt,
                     result->shard, detail);
}

/* Keeps the cause of RESULT for an error answer.  If RESULT has none, keeps
   CODE and DETAIL instead.  */
static void
set_last_error (struct qry_query *query, const struct qry_result *result,
                int code, const char *detail)
{
  if (result->cause != NULL && result->cause->code != 0)
    query->last_error = *result->cause;
  else
    rw_err_set (&query->last_error, code, "part", query->env->service,
                "shard %u: %s", result->shard, detail);
}

/* Retries the part of SHARD, after an attempt ended without records, unless
   another attempt is in flight.  */
static void
retry_if_lost (struct qry_query *query, uint32_t shard, rw_time now)
{
  struct qry_part *part = &query->parts[shard];

  if (part->state == QRY_PART_OPEN && part->in_flight == 0)
    qry_retry_part (query, shard, now);
}

/* Makes target selection avoid the target of ATTEMPT, which refused it, for
   RETRY_AFTER, and keeps that time for an error answer if it is the shortest.
   If it is 0, the refusal counts as a failure of the target, so that the next
   queries do not spend their tokens on it.  */
static void
record_refusal (struct qry_query *query, const struct qry_attempt *attempt,
                rw_time retry_after, rw_time now)
{
  struct rte_estimate *estimate = qry_target_estimate (query, attempt->target);

  if (retry_after > 0
      && (query->min_retry_after < 0 || retry_after < query->min_retry_after))
    query->min_retry_after = retry_after;
  if (retry_after > 0)
    rte_on_refusal (estimate, retry_after, now);
  else
    rte_on_failure (estimate, now);
}

static void
on_not_run (struct qry_query *query, struct qry_attempt *attempt,
            const struct qry_result *result, rw_time now)
{
  set_last_error (query, result, RW_E_SHED, "refused");
  record_refusal (query, attempt, result->retry_after, now);
  qry_end_attempt (query, attempt, QRY_ATTEMPT_REFUSED);
  retry_if_lost (query, attempt->shard, now);
}

/* Sends the part to the same target through another holder.  This takes no
   token, because the part did not reach a target.  At the limit of redirects,
   or if the target is no longer usable, the answer counts as a refusal.  */
static void
on_not_holder (struct qry_query *query, struct qry_attempt *attempt,
               const struct qry_result *result, rw_time now)
{
  const struct qry_part *part = &query->parts[attempt->shard];
  uint32_t shard = attempt->shard;
  uint32_t target = attempt->target;

  set_last_error (query, result, RW_E_NOT_HOLDER, "not the holder");
  qry_end_attempt (query, attempt, QRY_ATTEMPT_REDIRECTED);
  if (part->redirect_count < QRY_REDIRECTS_MAX
      && rte_is_usable (query->map->view, target))
    qry_send_part (query, shard, target, QRY_REDIRECT, now);
  else
    {
      record_refusal (query, attempt, result->retry_after, now);
      retry_if_lost (query, shard, now);
    }
}

/* Handles an attempt whose target serves another snapshot: prepares a restart
   if the query may restart now, else retries the part.  */
static void
on_other_snapshot (struct qry_query *query, struct qry_attempt *attempt,
                   const struct qry_result *result, rw_time now)
{
  set_last_error (query, result, RW_E_SNAPSHOT,
                  "the target has another snapshot");
  query->may_have_run = query->may_have_run || result->may_have_run;
  query->other_snapshot = rw_arena_str (&query->arena, result->snapshot);
  query->restart_wanted = true;
  qry_end_attempt (query, attempt, QRY_ATTEMPT_OTHER_SNAPSHOT);
  if (qry_may_restart (query, now))
    return;
  query->restart_wanted = false;
  retry_if_lost (query, attempt->shard, now);
}

static void
on_failed (struct qry_query *query, struct qry_attempt *attempt,
           const struct qry_result *result, rw_time now)
{
  set_last_error (query, result, RW_E_RESET, "failed");
  query->may_have_run = true;
  rte_on_failure (qry_target_estimate (query, attempt->target), now);
  qry_end_attempt (query, attempt, QRY_ATTEMPT_FAILED);
  retry_if_lost (query, attempt->shard, now);
}

/* Merges the records of RESULT into the query; those in JSON are decoded into
   SCRATCH.  Returns 0, or RW_E_PARSE or RW_E_RANGE with ERR set, and then
   nothing is merged.  */
static int
merge_result (struct qry_query *query, const struct qry_result *result,
              struct rw_arena *scratch, struct rw_err *err)
{
  struct qry_record *decoded = NULL;
  size_t count = result->record_count;
  int code;

  if (result->json.len != 0)
    {
      code = qry_parse_records (result->json, scratch, &decoded, &count, err);
      if (code != 0)
        return code;
      qry_merge_records (query, decoded, count);
      return 0;
    }
  code = qry_check_records (result->records, count);
  if (code != 0)
    return rw_err_set (err, code, "result", query->env->service,
                       "shard %u: record without id or score", result->shard);
  qry_merge_records (query, result->records, count);
  return 0;
}

/* Closes the part that ATTEMPT answered as covered and cancels its other
   attempts.  */
static void
cover_part (struct qry_query *query, struct qry_attempt *attempt, rw_time now)
{
  struct qry_part *part = &query->parts[attempt->shard];
  rw_time latency = now - attempt->sent_at;

  rte_on_latency (qry_target_estimate (query, attempt->target), latency, now);
  qry_latency_add (query->env->latency, latency, now);
  if (attempt->reason == QRY_HEDGE && part->in_flight > 1)
    query->counts.hedge_wins++;
  query->may_have_run = true;
  qry_end_attempt (query, attempt, QRY_ATTEMPT_MERGED);
  qry_cancel_part (query, part, now);
  qry_close_part (query, part, QRY_PART_COVERED);
  query->covered_count++;
}

/* Merges a successful result.  One that was searched on another snapshot, or
   whose records are malformed, is an error instead.  */
static int
on_ok (struct qry_query *query, struct qry_attempt *attempt,
       const struct qry_result *result, rw_time now, struct rw_err *err)
{
  struct rw_arena scratch;
  int code;

  if (qry_enabled (query, QRY_MECH_SNAPSHOT)
      && !rw_str_eq (result->snapshot, query->map->snapshot))
    {
      query->may_have_run = true;
      on_other_snapshot (query, attempt, result, now);
      return rw_err_set (err, RW_E_SNAPSHOT, "result", query->env->service,
                         "shard %u was searched on another snapshot",
                         result->shard);
    }
  rw_arena_init (&scratch, QRY_ARENA_BLOCK);
  code = merge_result (query, result, &scratch, err);
  rw_arena_finish (&scratch);
  if (code != 0)
    on_failed (query, attempt, result, now);
  else
    cover_part (query, attempt, now);
  return code;
}

static int
dispatch (struct qry_query *query, struct qry_attempt *attempt,
          const struct qry_result *result, rw_time now, struct rw_err *err)
{
  switch (result->status)
    {
    case QRY_OK:
      return on_ok (query, attempt, result, now, err);
    case QRY_NOT_RUN:
      on_not_run (query, attempt, result, now);
      break;
    case QRY_NOT_HOLDER:
      on_not_holder (query, attempt, result, now);
      break;
    case QRY_OTHER_SNAPSHOT:
      on_other_snapshot (query, attempt, result, now);
      break;
    case QRY_FAILED:
      on_failed (query, attempt, result, now);
      break;
    }
  return 0;
}

/* Merges a result that would be refused, if a test has disabled the mechanism
   that refuses it.  Returns whether RESULT was accepted.  */
static bool
accept_unchecked (struct qry_query *query, const struct qry_result *result,
                  struct rw_err *err)
{
  struct rw_arena scratch;
  struct qry_part *part;

  if (result->status != QRY_OK || result->shard >= query->part_count)
    return false;
  part = &query->parts[result->shard];
  if (qry_enabled (query, QRY_MECH_IDENTITY)
      && (qry_enabled (query, QRY_MECH_TRUE_COVERAGE)
          || part->state != QRY_PART_COVERED))
    return false;
  rw_arena_init (&scratch, QRY_ARENA_BLOCK);
  merge_result (query, result, &scratch, err);
  rw_arena_finish (&scratch);
  if (part->state == QRY_PART_COVERED
      && qry_enabled (query, QRY_MECH_TRUE_COVERAGE))
    return true;
  if (part->state == QRY_PART_OPEN)
    qry_close_part (query, part, QRY_PART_COVERED);
  part->state = QRY_PART_COVERED;
  query->covered_count++;
  return true;
}

/* Returns the reason why RESULT does not belong to an attempt in flight, or
   null.  The shard is not compared.  */
static const char *
mismatch_reason (const struct qry_query *query,
                 const struct qry_result *result)
{
  if (!qry_id_eq (result->id, query->id))
    return "answers another query";
  if (result->attempt >= query->attempt_count)
    return "no such attempt";
  if (result->attempt < query->first_attempt)
    return "attempt on an older snapshot";
  if (query->attempts[result->attempt].state != QRY_ATTEMPT_IN_FLIGHT)
    return "the attempt has ended";
  return NULL;
}

/* Handles the result of an attempt.  Returns 0, also if RESULT is a refusal or
   a failure, or an error with the reason in ERR, which may be null:

   RW_E_MISMATCH  the result does not belong to an attempt in flight and is
                  ignored, or its shard is not that of its attempt, which
                  counts as a failure of the attempt
   RW_E_SNAPSHOT  another snapshot was searched; the part is retried, or the
                  query restarts
   RW_E_PARSE, RW_E_RANGE
                  the records are malformed, which counts as a failure of the
                  attempt  */
int
qry_on_result (struct qry_query *query, const struct qry_result *result,
               rw_time now, struct rw_err *err)
{
  const char *reason;
  int code = 0;

  if (query->done)
    return refuse_result (query, result, err, "the query was answered");
  reason = mismatch_reason (query, result);
  if (reason != NULL
      || query->attempts[result->attempt].shard != result->shard)
    {
      if (query->env->disabled_mechanisms != 0
          && accept_unchecked (query, result, err))
        {
          qry_restart_or_answer (query, now);
          return 0;
        }
      code = refuse_result (query, result, err,
                            reason != NULL ? reason : "wrong shard");
    }
  if (reason == NULL && code != 0)
    on_failed (query, &query->attempts[result->attempt], result, now);
  else if (reason == NULL)
    {
      code = dispatch (query, &query->attempts[result->attempt], result, now,
                       err);
      if (code != 0)
        query->counts.refused_results++;
    }
  qry_restart_or_answer (query, now);
  return code;
}
