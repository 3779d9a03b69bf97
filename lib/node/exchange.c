#include "holder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Writes the id of PART in exchanges with the target.  A recalled part gets a
   different id, so that the cancellation of its first exchange cannot end the
   second one.  */
static void
format_part_id (const struct nod_part *part, char text[64])
{
  snprintf (text, 64, "%016llx-%llx-%x%s",
            (unsigned long long)part->batch->submit.id.incarnation,
            (unsigned long long)part->batch->submit.id.sequence,
            part->wire.attempt, part->admission.recalled ? "-r" : "");
}

/* Appends the body of a search exchange to OUT.  All its parts have the
   snapshot and shard of the first.  */
static void
encode_search (struct nod_node *node, const struct nod_exchange *exchange,
               struct rw_buf *out)
{
  size_t count = exchange->admission.count;
  struct rw_str *ids = rw_arena_zalloc (&node->scratch, count, sizeof *ids);
  struct rw_str *texts
      = rw_arena_zalloc (&node->scratch, count, sizeof *texts);
  const struct nod_part *first = exchange->admission.parts[0]->user;

  for (size_t i = 0; i < count; i++)
    {
      const struct nod_part *part = exchange->admission.parts[i]->user;
      char text[64];

      format_part_id (part, text);
      ids[i] = rw_arena_str (&node->scratch, rw_str_from (text));
      texts[i] = part->batch->submit.body;
    }
  qry_encode_search (first->batch->submit.snapshot, first->wire.shard, ids,
                     texts, count, out);
}

/* Starts EXCHANGE, which the admission of TARGET has filled with parts.  */
static void
start_exchange (struct nod_node *node, struct nod_target *target,
                struct nod_exchange *exchange)
{
  struct nod_part *first = exchange->admission.parts[0]->user;
  struct nod_action *action;
  char header[TRC_HEADER_SIZE];

  exchange->number = ++node->last_number;
  exchange->target = target;
  rw_map_put (&node->exchanges, exchange->number, exchange);
  trc_begin (&exchange->span, "exchange", TRC_CLIENT, &first->span.ctx,
             node->now, &node->rng);
  trc_attr_str (&exchange->span, "rwf.target", rw_str_from (target->name));
  trc_attr_int (&exchange->span, "rwf.parts",
                (int64_t)exchange->admission.count);
  for (size_t i = 0; i < exchange->admission.count; i++)
    ((struct nod_part *)exchange->admission.parts[i]->user)->dispatched_at
        = node->now;
  sta_inc (node->metrics.exchanges);
  sta_add (node->metrics.exchange_parts, exchange->admission.count);

  action = nod_add_action (node, NOD_START_EXCHANGE);
  action->u.start.exchange = exchange->number;
  action->u.start.kind
      = exchange->admission.once ? NOD_EXCHANGE_ONCE : NOD_EXCHANGE_SEARCH;
  rw_str_copy (action->u.start.target, sizeof action->u.start.target,
               rw_str_from (target->name));
  action->u.start.to = target->addr;
  action->u.start.timeout = exchange->admission.deadline - node->now;
  action->u.start.max_connections
      = adm_connection_limit (target->admission, node->now);
  if (exchange->span.ctx.sampled)
    rw_str_copy (action->u.start.traceparent,
                 sizeof action->u.start.traceparent,
                 trc_format (&exchange->span.ctx, header));
  if (!exchange->admission.once)
    {
      encode_search (node, exchange, &action->data);
      return;
    }
  rw_str_copy (action->u.start.idempotency_key,
               sizeof action->u.start.idempotency_key,
               first->batch->submit.idempotency_key);
  rw_buf_append_str (&action->data, first->batch->submit.body);
}

/* Cancels EXCHANGE at the target.  It ends later, with nod_on_exchange_reply
   or nod_on_exchange_failed.  */
void
nod_exchange_cancel (struct nod_node *node, struct nod_exchange *exchange)
{
  exchange->cancelled = true;
  nod_add_action (node, NOD_CANCEL_EXCHANGE)->u.cancel.exchange
      = exchange->number;
}

/* Records that the once request of EXCHANGE is dispatched.  If it may not run,
   ends it without a dispatch and returns false.  */
static bool
dispatch_once (struct nod_node *node, struct nod_target *target,
               struct nod_exchange *exchange)
{
  struct nod_part *part = exchange->admission.parts[0]->user;
  struct adm_outcome outcome = { .kind = ADM_NOT_RUN };
  struct onc_result result;

  if (onc_holder_dispatch (&node->idempotency_keys,
                           nod_part_once_key (node, part),
                           nod_part_once_id (part), node->now, &result)
      == 0)
    return true;
  adm_on_done (target->admission, &exchange->admission, &outcome, node->now);
  nod_part_report_once (node, part, &result);
  return false;
}

/* Refuses the queued parts that the admission of TARGET rejects, such as those
   that would miss their deadline or the end of the lease at UNTIL.  */
static void
refuse_expired (struct nod_node *node, struct nod_target *target,
                rw_time until)
{
  struct adm_part *refused;

  while ((refused = adm_next_refused (target->admission, node->now, until))
         != NULL)
    {
      struct nod_part *part = refused->user;
      int code = refused->item.refusal.code;

      if (code == RW_E_NOT_HOLDER && !part->admission.once)
        nod_part_refuse_not_holder (node, part);
      else
        nod_part_refuse (node, part, code, refused->item.refusal.retry_after,
                         rw_strerror (code));
    }
}

/* Cancels the exchanges that take much longer than usual while parts of other
   caller classes wait.  */
static void
recall_exchanges (struct nod_node *node, struct nod_target *target)
{
  struct adm_exchange *recalled;

  while ((recalled = adm_recall (target->admission, node->now)) != NULL)
    nod_exchange_cancel (node, (struct nod_exchange *)recalled);
}

/* Carries out what the admission of TARGET decides: refuses parts, recalls
   exchanges and starts new ones.  Arms the timer of TARGET.  */
static void
run_target (struct nod_node *node, struct nod_target *target)
{
  rw_time until;

  if (target->admission == NULL)
    return;
  nod_holder_may_act (node, target, &until);
  refuse_expired (node, target, until);
  recall_exchanges (node, target);
  for (;;)
    {
      struct nod_exchange *exchange = rw_xcalloc (1, sizeof *exchange);

      if (!adm_next_exchange (target->admission, &exchange->admission,
                              node->now, until))
        {
          free (exchange);
          break;
        }
      if (exchange->admission.once && !dispatch_once (node, target, exchange))
        {
          free (exchange);
          continue;
        }
      start_exchange (node, target, exchange);
    }
  nod_arm (node, &target->timer, NOD_TIMER_TARGET, target,
           adm_next_wakeup (target->admission));
}

/* Runs the admission of the targets that events have changed.  */
void
nod_holder_run (struct nod_node *node)
{
  while (node->dirty_targets != NULL)
    {
      struct nod_target *target = node->dirty_targets;

      node->dirty_targets = target->next_dirty;
      target->dirty = false;
      run_target (node, target);
    }
}

/* Reports OUTCOME to the admission of the target and frees EXCHANGE, but not
   its parts.  */
static void
end_exchange (struct nod_node *node, struct nod_exchange *exchange,
              const struct adm_outcome *outcome)
{
  struct nod_target *target = exchange->target;

  sta_observe (node->metrics.exchange_time,
               node->now - exchange->admission.started_at);
  trc_end (&exchange->span, outcome->kind == ADM_OK ? 0 : RW_E_RESET,
           node->now);
  nod_write_span (node, &exchange->span);
  adm_on_done (target->admission, &exchange->admission, outcome, node->now);
  nod_target_mark_dirty (node, target);
  free (exchange);
}

/* Sends the error STATUS for each of the COUNT entries of PARTS that is not
   null, and frees these parts.  RETRY_AFTER is in microseconds, 0 for none. */
static void
report_parts (struct nod_node *node, struct nod_part **parts, size_t count,
              int status, enum wir_ran ran, rw_time retry_after,
              struct rw_str snapshot, const char *detail)
{
  for (size_t i = 0; i < count; i++)
    {
      struct wir_part_result *result;

      if (parts[i] == NULL)
        continue;
      result = nod_part_add_result (node, parts[i]);
      nod_part_error (node, result, status, ran, "exchange", detail);
      result->retry_after_ms = nod_retry_after_ms (retry_after);
      result->snapshot = rw_arena_str (&node->results.arena, snapshot);
      nod_part_end_span (node, parts[i], status);
      nod_part_free (node, parts[i]);
    }
}

/* Returns the entry of REPLY with the id of PART, or a null pointer.  If the
   check of identity is switched off, returns the first entry.  */
static const struct qry_reply_part *
find_reply_part (const struct nod_node *node, const struct qry_reply *reply,
                 const struct nod_part *part)
{
  char text[64];

  if (!nod_enabled (node, NOD_MECH_IDENTITY) && reply->part_count > 0)
    return &reply->parts[0];
  format_part_id (part, text);
  for (size_t i = 0; i < reply->part_count; i++)
    if (rw_str_eq_cstr (reply->parts[i].id, text))
      return &reply->parts[i];
  return NULL;
}

/* Sends the records of IN as the result of PART, and frees PART.  */
static void
report_records (struct nod_node *node, struct nod_part *part,
                const struct qry_reply *reply, const struct qry_reply_part *in)
{
  struct wir_part_result *result = nod_part_add_result (node, part);

  result->ran = WIR_RAN_YES;
  result->incarnation = reply->incarnation;
  result->snapshot = reply->snapshot;
  result->shard = reply->shard;
  result->records = rw_arena_zalloc (&node->results.arena, in->record_count,
                                     sizeof *result->records);
  result->record_count = (uint32_t)in->record_count;
  for (size_t i = 0; i < in->record_count; i++)
    result->records[i]
        = (struct wir_record){ in->records[i].id, in->records[i].score,
                               in->records[i].text };
  nod_part_end_span (node, part, 0);
  nod_part_free (node, part);
}

/* Checks that REPLY comes from TARGET and is for the shard and snapshot of
   PART.  Returns 0, RW_E_MISMATCH or RW_E_SNAPSHOT.  */
static int
check_reply (const struct nod_node *node, const struct nod_target *target,
             const struct nod_part *part, const struct qry_reply *reply)
{
  if (!nod_enabled (node, NOD_MECH_IDENTITY))
    return 0;
  if (!rw_str_eq_cstr (reply->target, target->name)
      || reply->shard != part->wire.shard)
    return RW_E_MISMATCH;
  if (!rw_str_eq (reply->snapshot, part->batch->submit.snapshot)
      && nod_enabled (node, NOD_MECH_SNAPSHOT))
    return RW_E_SNAPSHOT;
  return 0;
}

/* Sends a result for each of PARTS, taken from REPLY, or an error if REPLY
   does not match the part.  Frees the parts.  */
static void
report_reply (struct nod_node *node, const struct nod_target *target,
              struct nod_part **parts, size_t count,
              const struct qry_reply *reply)
{
  for (size_t i = 0; i < count; i++)
    {
      const struct qry_reply_part *in;
      int rc;

      if (parts[i] == NULL)
        continue;
      in = find_reply_part (node, reply, parts[i]);
      rc = in == NULL ? RW_E_MISMATCH
                      : check_reply (node, target, parts[i], reply);
      if (rc == 0)
        report_records (node, parts[i], reply, in);
      else
        report_parts (node, &parts[i], 1, rc, WIR_RAN_YES, 0, reply->snapshot,
                      "the answer does not match the request");
    }
}

/* Handles an answer with status 200 to a search exchange.  */
static void
on_search_ok (struct nod_node *node, struct nod_exchange *exchange,
              struct nod_part **parts, size_t count, struct rw_str body)
{
  struct adm_outcome outcome = { .kind = ADM_OK };
  struct nod_target *target = exchange->target;
  struct qry_reply reply;
  struct rw_err err = { 0 };

  if (qry_parse_reply (body, &node->results.arena, &reply, &err) < 0)
    {
      nod_log (node, NOD_LOG_WARN, "target",
               "%s sent an answer that was refused: %s.", target->name,
               err.detail);
      outcome.kind = ADM_ERROR;
      end_exchange (node, exchange, &outcome);
      report_parts (node, parts, count, err.code, WIR_RAN_UNKNOWN, 0,
                    RW_LIT (""), err.detail);
      return;
    }
  outcome.u.ok.incarnation = reply.incarnation;
  outcome.u.ok.load = reply.load > 0 ? (int)reply.load : -1;
  end_exchange (node, exchange, &outcome);
  report_reply (node, target, parts, count, &reply);
}

/* Handles the answer to a search exchange.  */
static void
on_search_reply (struct nod_node *node, struct nod_exchange *exchange,
                 struct nod_part **parts, size_t count, int status,
                 rw_time retry_after, struct rw_str body)
{
  struct adm_outcome outcome = { .kind = ADM_ERROR };
  struct rw_str snapshot = RW_LIT ("");

  switch (status)
    {
    case 200:
      on_search_ok (node, exchange, parts, count, body);
      break;
    case 409:
      outcome.kind = ADM_NOT_RUN;
      end_exchange (node, exchange, &outcome);
      qry_parse_snapshot_refusal (body, &node->results.arena, &snapshot);
      report_parts (node, parts, count, RW_E_SNAPSHOT, WIR_RAN_NO, 0, snapshot,
                    "the target serves another snapshot");
      break;
    case 503:
      outcome.kind = ADM_SHED;
      outcome.u.shed.retry_after = retry_after;
      end_exchange (node, exchange, &outcome);
      report_parts (node, parts, count, RW_E_SHED, WIR_RAN_NO, retry_after,
                    RW_LIT (""), "the target shed the request");
      break;
    default:
      end_exchange (node, exchange, &outcome);
      report_parts (node, parts, count, RW_E_MISMATCH, WIR_RAN_UNKNOWN, 0,
                    RW_LIT (""), "the target answered with an error");
      break;
    }
}

/* Handles the answer to a once exchange.  PART is null if it was freed before.
 */
static void
on_once_reply (struct nod_node *node, struct nod_exchange *exchange,
               struct nod_part *part, int status, rw_time retry_after,
               struct rw_str body)
{
  struct adm_outcome outcome = { .kind = ADM_OK };
  struct onc_result result;

  if (status == 503)
    {
      outcome.kind = ADM_SHED;
      outcome.u.shed.retry_after = retry_after;
    }
  else if (status == 409)
    outcome.kind = ADM_NOT_RUN;
  else if (status != 200)
    outcome.kind = ADM_ERROR;
  else
    outcome.u.ok.load = -1;
  end_exchange (node, exchange, &outcome);
  if (part == NULL)
    return;
  onc_holder_on_reply (&node->idempotency_keys, nod_part_once_key (node, part),
                       nod_part_once_id (part), status, retry_after, body,
                       node->now, &result);
  nod_part_report_once (node, part, &result);
}

/* Sets PARTS to the parts of EXCHANGE, with a null pointer for each cancelled
   part.  Returns the number of entries.  */
static size_t
get_parts (const struct nod_exchange *exchange,
           struct nod_part *parts[ADM_BATCH_MAX])
{
  for (size_t i = 0; i < exchange->admission.count; i++)
    parts[i] = exchange->admission.parts[i] != NULL
                   ? exchange->admission.parts[i]->user
                   : NULL;
  return exchange->admission.count;
}

/* Handles the answer of a target.  Any answer to a cancelled exchange confirms
   the cancellation.  */
void
nod_on_exchange_reply (struct nod_node *node, uint64_t number, int status,
                       int64_t retry_after_ms, struct rw_str body, rw_time now)
{
  struct nod_exchange *exchange = rw_map_remove (&node->exchanges, number);
  rw_time retry_after = retry_after_ms > 0 ? retry_after_ms * RW_MSEC : 0;
  struct nod_part *parts[ADM_BATCH_MAX] = { NULL };
  size_t count;

  node->now = now;
  if (exchange == NULL)
    return;
  count = get_parts (exchange, parts);
  if (exchange->cancelled)
    {
      struct adm_outcome outcome
          = { .kind = ADM_CANCELLED, .u.cancelled.confirmed = true };

      end_exchange (node, exchange, &outcome);
    }
  else if (exchange->admission.once)
    on_once_reply (node, exchange, parts[0], status, retry_after, body);
  else
    on_search_reply (node, exchange, parts, count, status, retry_after, body);
  nod_run_pending (node);
}

/* Handles an exchange that ended without an answer.  If a byte was sent, its
   parts may have run.  */
void
nod_on_exchange_failed (struct nod_node *node, uint64_t number, bool sent,
                        const struct rw_err *why, rw_time now)
{
  struct nod_exchange *exchange = rw_map_remove (&node->exchanges, number);
  struct adm_outcome outcome = { .kind = ADM_LOST, .u.lost.sent = sent };
  struct nod_part *parts[ADM_BATCH_MAX] = { NULL };
  size_t count;
  bool once;

  node->now = now;
  if (exchange == NULL)
    return;
  count = get_parts (exchange, parts);
  once = exchange->admission.once;
  if (exchange->cancelled)
    {
      outcome.kind = ADM_CANCELLED;
      outcome.u.cancelled.confirmed = false;
    }
  end_exchange (node, exchange, &outcome);
  if (once && parts[0] != NULL)
    {
      struct onc_result result;
      struct rw_str key = nod_part_once_key (node, parts[0]);

      if (sent)
        onc_holder_on_lost (&node->idempotency_keys, key,
                            nod_part_once_id (parts[0]), why, now, &result);
      else
        onc_holder_on_unsent (&node->idempotency_keys, key,
                              nod_part_once_id (parts[0]), why, now, &result);
      nod_part_report_once (node, parts[0], &result);
    }
  else
    report_parts (node, parts, count, why->code,
                  sent ? WIR_RAN_UNKNOWN : WIR_RAN_NO, 0, RW_LIT (""),
                  why->detail);
  nod_run_pending (node);
}
