#include "holder.h"

#include <stdlib.h>
#include <string.h>

/* Returns the key of an attempt of a request in the map of parts.  */
static uint64_t
part_key (struct wir_request_id id, uint32_t attempt)
{
  return rw_hash_u64 (rw_hash_u64 (id.incarnation, id.sequence), attempt);
}

/* Appends a result for PART, with status 0, to the list that nod_results_flush
   sends, and returns it.  The pointer is valid until the next result is
   appended.  The caller allocates strings of the result in the arena of the
   results.  */
struct wir_part_result *
nod_part_add_result (struct nod_node *node, const struct nod_part *part)
{
  struct nod_results *results = &node->results;
  struct nod_pending_result *item;

  if (results->len == results->cap)
    {
      results->cap = results->cap != 0 ? results->cap * 2 : 64;
      results->items = rw_xrealloc (results->items,
                                    results->cap * sizeof *results->items);
    }
  item = &results->items[results->len];
  memset (item, 0, sizeof *item);
  item->stream = part->batch->stream;
  item->order = results->len++;
  item->result.id = part->batch->submit.id;
  item->result.part = part->wire.number;
  item->result.attempt = part->wire.attempt;
  item->result.shard = part->wire.shard;
  item->result.retry_after_ms = -1;
  item->result.target
      = rw_arena_str (&results->arena, rw_str_from (part->target->name));
  if (part->dispatched_at != 0)
    {
      item->result.queued = part->dispatched_at - part->batch->arrived_at;
      item->result.exchange = node->now - part->dispatched_at;
    }
  else
    item->result.queued = node->now - part->batch->arrived_at;
  return &item->result;
}

/* Removes BATCH, all parts of which are freed, from its list and frees it.  */
static void
free_batch (struct nod_node *node, struct nod_batch *batch)
{
  struct nod_stream *stream = nod_stream_find (node, batch->stream);

  if (batch->linked)
    {
      if (batch->prev != NULL)
        batch->prev->next = batch->next;
      else if (stream != NULL)
        stream->batches = batch->next;
      else
        node->local_batches = batch->next;
      if (batch->next != NULL)
        batch->next->prev = batch->prev;
    }
  acc_sub (node->settings.account, batch->arena.allocated);
  rw_arena_finish (&batch->arena);
  free (batch);
}

/* Frees PART, which is in no queue and no exchange, and its batch with the
   last part.  */
void
nod_part_free (struct nod_node *node, struct nod_part *part)
{
  struct nod_batch *batch = part->batch;

  for (uint32_t i = 0; i < batch->submit.part_count; i++)
    if (batch->parts[i] == part)
      batch->parts[i] = NULL;
  if (rw_map_get (&node->parts, part->key) == part)
    rw_map_remove (&node->parts, part->key);
  acc_sub (node->settings.account, sizeof *part);
  free (part);
  if (--batch->unanswered == 0)
    free_batch (node, batch);
}

/* Sets the error of RESULT, the last appended one: the RW_E code STATUS,
   whether the part ran, and where and why it failed.  Copies STEP and DETAIL.
 */
void
nod_part_error (struct nod_node *node, struct wir_part_result *result,
                int status, enum wir_ran ran, const char *step,
                const char *detail)
{
  struct rw_arena *arena = &node->results.arena;

  result->status = status;
  result->ran = ran;
  result->step = rw_arena_str (arena, rw_str_from (step));
  result->detail = rw_arena_str (arena, rw_str_from (detail));
}

/* Returns the retry time USEC, in microseconds, as milliseconds rounded up, or
   -1, which means none, if it is not above zero.  */
int32_t
nod_retry_after_ms (rw_time usec)
{
  return usec > 0 ? (int32_t)((usec + RW_MSEC - 1) / RW_MSEC) : -1;
}

/* Ends the span of PART and writes it.  */
void
nod_part_end_span (struct nod_node *node, struct nod_part *part, int error)
{
  trc_end (&part->span, error, node->now);
  nod_write_span (node, &part->span);
}

/* Reports the outcome of a once request and frees PART.  */
void
nod_part_report_once (struct nod_node *node, struct nod_part *part,
                      const struct onc_result *outcome)
{
  struct wir_part_result *result = nod_part_add_result (node, part);
  struct rw_arena *arena = &node->results.arena;

  result->retry_after_ms = nod_retry_after_ms (outcome->retry_after);
  switch (outcome->status)
    {
    case ONC_OK:
      result->ran = WIR_RAN_YES;
      result->body = rw_arena_str (arena, outcome->body);
      break;
    case ONC_RECORDED:
      result->status = RW_E_DUPLICATE;
      result->ran = WIR_RAN_YES;
      result->body = rw_arena_str (arena, outcome->body);
      break;
    case ONC_NOT_RUN:
      nod_part_error (node, result, outcome->cause.code, WIR_RAN_NO,
                      outcome->cause.step, outcome->cause.detail);
      break;
    case ONC_UNKNOWN:
    case ONC_DUPLICATE:
      nod_part_error (node, result, outcome->cause.code, WIR_RAN_UNKNOWN,
                      outcome->cause.step, outcome->cause.detail);
      break;
    }
  nod_part_end_span (node, part, result->status);
  nod_part_free (node, part);
}

/* Returns the key of a once request in the table of idempotency keys: the
   service and the caller's key.  Allocated in the scratch arena.  */
struct rw_str
nod_part_once_key (struct nod_node *node, const struct nod_part *part)
{
  const struct wir_submit *submit = &part->batch->submit;

  return rw_arena_printf (&node->scratch, "%.*s\n%.*s",
                          RW_STR_ARG (submit->service),
                          RW_STR_ARG (submit->idempotency_key));
}

struct qry_id
nod_part_once_id (const struct nod_part *part)
{
  return (struct qry_id){ part->batch->submit.id.incarnation,
                          part->batch->submit.id.sequence };
}

/* Refuses PART with the RW_E error CODE and frees it.  The part has not run,
   unless it was recalled from an exchange: then it may have.  */
void
nod_part_refuse (struct nod_node *node, struct nod_part *part, int code,
                 rw_time retry_after, const char *detail)
{
  struct wir_part_result *result;

  sta_inc (node->metrics.parts_refused);
  if (part->admission.once)
    {
      struct onc_result outcome;
      struct rw_err why = { 0 };

      rw_err_set (&why, code, "admission", rw_str_from (part->target->name),
                  "%s", detail);
      onc_holder_drop (&node->idempotency_keys, nod_part_once_key (node, part),
                       nod_part_once_id (part), &why, retry_after, node->now,
                       &outcome);
      nod_part_report_once (node, part, &outcome);
      return;
    }
  result = nod_part_add_result (node, part);
  nod_part_error (node, result, code,
                  part->admission.recalled ? WIR_RAN_UNKNOWN : WIR_RAN_NO,
                  "admission", detail);
  result->retry_after_ms = nod_retry_after_ms (retry_after);
  nod_part_end_span (node, part, code);
  nod_part_free (node, part);
}

/* Returns the name of the daemon believed to hold TARGET, or an empty string
   if it is unknown or this daemon.  */
static struct rw_str
holder_hint (struct nod_node *node, const struct nod_target *target)
{
  uint64_t id = target->handed_over
                    ? target->successor
                    : lea_holder_hint (&node->leases, target->group_key,
                                       target->id, node->now);
  const struct nod_peer *peer;

  if (id == 0 || id == node->self_id)
    return RW_LIT ("");
  peer = nod_peer_by_id (node, id);
  return peer != NULL
             ? rw_arena_str (&node->results.arena, rw_str_from (peer->name))
             : RW_LIT ("");
}

/* Refuses PART because another daemon holds the target, and frees it.  PART
   has no entry in the table of idempotency keys: a once request that has one
   is refused with nod_part_refuse.  */
void
nod_part_refuse_not_holder (struct nod_node *node, struct nod_part *part)
{
  struct wir_part_result *result = nod_part_add_result (node, part);

  sta_inc (node->metrics.parts_refused);
  nod_part_error (node, result, RW_E_NOT_HOLDER, WIR_RAN_NO, "admission",
                  "this daemon does not hold the target");
  result->hint = holder_hint (node, part->target);
  nod_part_end_span (node, part, RW_E_NOT_HOLDER);
  nod_part_free (node, part);
}

/* Adds PART to the queue of its target, or refuses it and frees it.  */
static void
enqueue (struct nod_node *node, struct nod_part *part)
{
  struct nod_target *target = part->target;
  rw_time until;
  int rc;

  if (!nod_holder_may_act (node, target, &until))
    {
      nod_part_refuse_not_holder (node, part);
      return;
    }
  nod_holder_init_admission (node, target);
  if (part->admission.once)
    {
      struct onc_result outcome;

      if (onc_holder_accept (
              &node->idempotency_keys, nod_part_once_key (node, part),
              nod_part_once_id (part), part->admission.item.deadline,
              node->now, &outcome)
          != 0)
        {
          nod_part_report_once (node, part, &outcome);
          return;
        }
    }
  rc = adm_enqueue (target->admission, &part->admission, node->now, until);
  if (rc < 0)
    {
      nod_part_refuse (node, part, rc,
                       part->admission.item.refusal.retry_after,
                       rw_strerror (rc));
      return;
    }
  sta_inc (node->metrics.parts_accepted);
  nod_target_mark_dirty (node, target);
}

/* Returns a new part for the entry INDEX of BATCH.  The caller sets its
   target.  */
static struct nod_part *
part_new (struct nod_node *node, struct nod_batch *batch, uint32_t index,
          rw_time deadline, unsigned int class_id)
{
  struct nod_part *part = rw_xcalloc (1, sizeof *part);
  const struct wir_submit *submit = &batch->submit;
  struct trc_context parent = { submit->trace.trace_hi, submit->trace.trace_lo,
                                submit->trace.span, submit->trace.sampled };

  acc_add (node->settings.account, sizeof *part);
  part->batch = batch;
  part->wire = submit->parts[index];
  part->key = part_key (submit->id, part->wire.attempt);
  part->admission.item.class_id = class_id;
  part->admission.item.deadline = deadline;
  part->admission.service = submit->service;
  part->admission.snapshot = submit->snapshot;
  part->admission.shard = part->wire.shard;
  part->admission.once = submit->kind == WIR_KIND_ONCE;
  part->admission.user = part;
  trc_begin (&part->span, "hold", TRC_SERVER, &parent, node->now, &node->rng);
  trc_attr_str (&part->span, "rwf.target", part->wire.target);
  batch->parts[index] = part;
  batch->unanswered++;
  return part;
}

/* Why a part is refused as it arrives.  */
enum submitted
{
  SUBMITTED_REPEATED,    /* its attempt is in the map of parts, and may run */
  SUBMITTED_TO_UNKNOWN,  /* its target is unknown here */
  SUBMITTED_WITHOUT_ROOM /* there is no memory for it */
};

/* Sends an error for a part, for which none is allocated.  */
static void
refuse_submitted (struct nod_node *node, struct nod_batch *batch,
                  const struct wir_part *wire, enum submitted reason)
{
  struct nod_target unknown_target = { .name = "" };
  struct nod_part part
      = { .batch = batch, .wire = *wire, .target = &unknown_target };
  struct wir_part_result *result = nod_part_add_result (node, &part);

  result->target = rw_arena_str (&node->results.arena, wire->target);
  switch (reason)
    {
    case SUBMITTED_REPEATED:
      nod_part_error (node, result, RW_E_DUPLICATE, WIR_RAN_UNKNOWN,
                      "admission", "the attempt was received before");
      break;
    case SUBMITTED_TO_UNKNOWN:
      nod_part_error (node, result, RW_E_NOT_FOUND, WIR_RAN_NO, "admission",
                      "this daemon does not know the target");
      break;
    case SUBMITTED_WITHOUT_ROOM:
      nod_part_error (node, result, RW_E_QUEUE_FULL, WIR_RAN_NO, "admission",
                      "no memory for the request");
      break;
    }
}

/* Returns a new batch with a copy of SUBMIT, in the list of STREAM or, if that
   is null, of this daemon's own entry role.  */
static struct nod_batch *
batch_new (struct nod_node *node, struct nod_stream *stream,
           const struct wir_submit *submit)
{
  struct nod_batch *batch = rw_xcalloc (1, sizeof *batch);
  struct nod_batch **list
      = stream != NULL ? &stream->batches : &node->local_batches;
  struct wir_submit *copy = &batch->submit;

  rw_arena_init (&batch->arena, 2048);
  *copy = *submit;
  copy->service = rw_arena_str (&batch->arena, submit->service);
  copy->caller_class = rw_arena_str (&batch->arena, submit->caller_class);
  copy->snapshot = rw_arena_str (&batch->arena, submit->snapshot);
  copy->idempotency_key
      = rw_arena_str (&batch->arena, submit->idempotency_key);
  copy->body = rw_arena_str (&batch->arena, submit->body);
  copy->parts = rw_arena_zalloc (&batch->arena, submit->part_count,
                                 sizeof *copy->parts);
  for (uint32_t i = 0; i < submit->part_count; i++)
    {
      copy->parts[i] = submit->parts[i];
      copy->parts[i].target
          = rw_arena_str (&batch->arena, submit->parts[i].target);
    }
  batch->parts
      = rw_arena_zalloc (&batch->arena, submit->part_count, sizeof (void *));
  acc_add (node->settings.account, batch->arena.allocated);
  batch->stream = stream != NULL ? stream->number : 0;
  batch->arrived_at = node->now;
  batch->unanswered = 1; /* for nod_holder_submit, until its loop ends */
  batch->linked = true;
  batch->next = *list;
  if (batch->next != NULL)
    batch->next->prev = batch;
  *list = batch;
  return batch;
}

/* Whether the attempt WIRE of SUBMIT was received before, and may run.  */
static bool
is_repeated (struct nod_node *node, const struct wir_submit *submit,
             const struct wir_part *wire)
{
  return rw_map_get (&node->parts, part_key (submit->id, wire->attempt))
         != NULL;
}

/* Refuses all parts of SUBMIT, as there is no memory for them.  */
static void
refuse_all (struct nod_node *node, struct nod_stream *stream,
            const struct wir_submit *submit)
{
  struct nod_batch batch = { .submit = *submit, .arrived_at = node->now };

  batch.stream = stream != NULL ? stream->number : 0;
  for (uint32_t i = 0; i < submit->part_count; i++)
    {
      const struct wir_part *wire = &submit->parts[i];

      refuse_submitted (node, &batch, wire,
                        is_repeated (node, submit, wire)
                            ? SUBMITTED_REPEATED
                            : SUBMITTED_WITHOUT_ROOM);
    }
}

/* Handles a SUBMIT message.  STREAM is null if it comes from this daemon's own
   entry role; otherwise the age of the message is subtracted from the time
   that remains.  */
void
nod_holder_submit (struct nod_node *node, struct nod_stream *stream,
                   const struct wir_submit *submit)
{
  struct nod_batch *batch;
  rw_time remaining = submit->remaining;
  unsigned int class_id = nod_class_id (node, submit->caller_class);

  if (!acc_has_room (node->settings.account,
                     submit->body.len
                         + submit->part_count * sizeof (struct nod_part)))
    {
      refuse_all (node, stream, submit);
      return;
    }
  batch = batch_new (node, stream, submit);
  if (stream != NULL)
    remaining
        = onc_clock_remaining (&stream->clock, submit->remaining, submit->sent,
                               node->now, submit->kind == WIR_KIND_ONCE);
  for (uint32_t i = 0; i < batch->submit.part_count; i++)
    {
      const struct wir_part *wire = &batch->submit.parts[i];
      struct nod_target *target = nod_target_find (node, wire->target);
      struct nod_part *part;
      bool repeated = is_repeated (node, submit, wire);

      if (target == NULL || repeated)
        {
          refuse_submitted (node, batch, wire,
                            repeated ? SUBMITTED_REPEATED
                                     : SUBMITTED_TO_UNKNOWN);
          continue;
        }
      part = part_new (node, batch, i, node->now + remaining, class_id);
      part->target = target;
      rw_map_put (&node->parts, part->key, part);
      enqueue (node, part);
    }
  if (--batch->unanswered == 0)
    free_batch (node, batch);
}

/* Cancels and frees PART, whose result the entry daemon no longer needs.  A
   once request that was dispatched is not cancelled, because it may have run.
 */
static void
cancel_part (struct nod_node *node, struct nod_part *part)
{
  struct nod_exchange *exchange
      = (struct nod_exchange *)part->admission.exchange;
  struct adm_exchange *running;

  if (part->admission.once && part->admission.exchange != NULL)
    return;
  if (adm_on_cancel (part->target->admission, &part->admission, &running)
      == ADM_CANCEL_EXCHANGE)
    nod_exchange_cancel (node, exchange);
  if (part->admission.once)
    {
      struct onc_result outcome;
      struct rw_err why = { 0 };

      rw_err_set (&why, RW_E_RESET, "admission",
                  rw_str_from (part->target->name), "cancelled");
      onc_holder_drop (&node->idempotency_keys, nod_part_once_key (node, part),
                       nod_part_once_id (part), &why, 0, node->now, &outcome);
    }
  nod_part_end_span (node, part, RW_E_RESET);
  nod_target_mark_dirty (node, part->target);
  nod_part_free (node, part);
}

/* Handles a CANCEL message.  Attempts that are unknown here are skipped.  */
void
nod_holder_cancel (struct nod_node *node, const struct wir_cancel *cancel)
{
  for (uint32_t i = 0; i < cancel->part_count; i++)
    {
      struct nod_part *part = rw_map_get (
          &node->parts, part_key (cancel->id, cancel->parts[i].attempt));

      if (part != NULL)
        cancel_part (node, part);
    }
}

/* Cancels the parts that came over STREAM, which is closed: the entry daemon
   can no longer receive their results.  */
void
nod_holder_cancel_stream (struct nod_node *node, struct nod_stream *stream)
{
  while (stream->batches != NULL)
    {
      struct nod_batch *batch = stream->batches;

      stream->batches = batch->next;
      if (batch->next != NULL)
        batch->next->prev = NULL;
      batch->linked = false;
      batch->unanswered++;
      for (uint32_t i = 0; i < batch->submit.part_count; i++)
        if (batch->parts[i] != NULL)
          cancel_part (node, batch->parts[i]);
      if (--batch->unanswered == 0)
        free_batch (node, batch);
    }
}
