#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* Returns the mechanisms of lib/once that are switched off.  */
static unsigned int
once_disabled (const struct nod_node *node)
{
  return nod_enabled (node, NOD_MECH_AT_MOST_ONCE) ? 0 : ONC_MECH_AT_MOST_ONCE;
}

static void run_command (struct nod_node *node, struct nod_once *once,
                         struct onc_command *command);

/* Frees ONCE.  A result that arrives later is dropped.  */
void
nod_once_free (struct nod_node *node, struct nod_once *once)
{
  nod_disarm (node, &once->timer);
  if (once->sent_part != NULL)
    nod_sent_part_free (once->sent_part);
  acc_sub (node->settings.account, once->body.cap);
  rw_buf_finish (&once->body);
  rw_buf_finish (&once->key);
  rw_map_remove (&node->once_requests, once->entry.id.sequence);
  free (once);
}

/* Begins a once request.  SPAN and the strings of REQ are copied.  */
void
nod_once_begin (struct nod_node *node, uint64_t request,
                const struct nod_request *req, struct nod_service *service,
                unsigned int class_id, const struct trc_span *span,
                rw_time deadline)
{
  struct nod_once *once = rw_xcalloc (1, sizeof *once);
  struct qry_id id = { node->settings.incarnation, ++node->last_sequence };
  struct onc_command command;

  once->request = request;
  once->service = service;
  once->class_id = class_id;
  once->received_at = node->now;
  once->deadline = deadline;
  once->span = *span;
  rw_buf_init (&once->body);
  rw_buf_append_str (&once->body, req->body);
  acc_add (node->settings.account, once->body.cap);
  rw_buf_init (&once->key);
  rw_buf_append_str (&once->key, req->idempotency_key);
  onc_entry_init (&once->entry, id, deadline, once_disabled (node));
  rw_map_put (&node->once_requests, id.sequence, once);
  nod_arm (node, &once->timer, NOD_TIMER_ONCE, once, deadline);
  onc_entry_start (&once->entry, node->now, &command);
  run_command (node, once, &command);
}

/* Answers the caller, and frees ONCE and the body of COMMAND.  */
static void
answer_once (struct nod_node *node, struct nod_once *once,
             struct onc_command *command)
{
  bool ok = command->u.answer.status == 200;

  sta_inc (ok ? node->metrics.answers_ok : node->metrics.answers_error);
  sta_observe (node->metrics.latency, node->now - once->received_at);
  nod_answer (node, once->request, command->u.answer.status,
              command->u.answer.retry_after,
              rw_buf_str (&command->u.answer.body), &once->span.ctx);
  rw_buf_finish (&command->u.answer.body);
  trc_attr_str (&once->span, "rwf.ran",
                rw_str_from (qry_ran_name (command->u.answer.ran)));
  trc_end (&once->span, ok ? 0 : RW_E_DEADLINE, node->now);
  nod_write_span (node, &once->span);
  nod_once_free (node, once);
}

/* Returns the target of the next attempt: the first usable replica of the
   key's shard that was not tried or, if all were tried, the first usable
   replica.  Sets *SHARD and *INDEX, the index of the target in the map.
   Returns a null pointer if no replica is usable.  A target whose attempt was
   refused with "not holder" does not count as tried, so that the next attempt
   reaches it through another daemon.  */
static struct nod_target *
choose_target (struct nod_once *once, uint32_t *shard, uint32_t *index)
{
  struct nod_map *map = once->service->maps;

  if (map->view.shard_count == 0)
    return NULL;
  *shard = rte_shard_of (&map->view, rw_buf_str (&once->key));
  *index
      = rte_first_replica (&map->view, *shard, once->tried, once->tried_count);
  if (*index == RTE_NONE)
    *index = rte_first_replica (&map->view, *shard, NULL, 0);
  return *index == RTE_NONE ? NULL : map->node_targets[*index];
}

/* Sends the request to PEER, the holder of TARGET.  */
static void
submit_once (struct nod_node *node, struct nod_once *once,
             struct nod_target *target, struct nod_peer *peer, uint32_t shard,
             uint32_t attempt)
{
  struct wir_msg msg = { .type = WIR_SUBMIT, .xid = ++node->last_xid };
  struct wir_submit *out = &msg.u.submit;
  struct wir_part part = { .number = attempt,
                           .attempt = attempt,
                           .shard = shard,
                           .target = rw_str_from (target->name) };
  uint64_t token = ++node->last_number;

  out->id = (struct wir_request_id){ once->entry.id.incarnation,
                                     once->entry.id.sequence };
  out->kind = WIR_KIND_ONCE;
  out->service = rw_str_from (once->service->name);
  out->caller_class = rw_str_from (node->class_names[once->class_id]);
  out->snapshot = once->service->maps->query.snapshot;
  out->idempotency_key = rw_buf_str (&once->key);
  out->remaining = once->deadline - node->now;
  out->sent = node->now;
  out->trace
      = (struct wir_trace){ once->span.ctx.trace_hi, once->span.ctx.trace_lo,
                            once->span.ctx.span, once->span.ctx.sampled };
  out->body = rw_buf_str (&once->body);
  out->parts = &part;
  out->part_count = 1;
  once->sent_part = nod_sent_part_new (peer, target, attempt, shard, token);
  once->sent_part->owner_kind = NOD_OWNER_ONCE;
  once->sent_part->owner.once = once;
  once->sent_part->sent_at = node->now;
  sta_inc (node->metrics.parts_sent);
  if (peer->id == node->self_id)
    nod_holder_submit (node, NULL, out);
  else
    nod_send_message (node, 0, peer, token, &msg);
}

/* Sends the attempt to the holder of the next target, or, if no target is
   usable or no holder is known, reports that to the state machine of ONCE.  */
static void
send_once (struct nod_node *node, struct nod_once *once, uint32_t attempt)
{
  struct onc_command command;
  struct rw_err why = { 0 };
  struct nod_peer *peer = NULL;
  uint32_t shard = 0;
  uint32_t index = RTE_NONE;
  struct nod_target *target = choose_target (once, &shard, &index);

  if (target != NULL)
    peer = nod_find_holder (node, target);
  if (peer != NULL)
    {
      submit_once (node, once, target, peer, shard, attempt);
      return;
    }
  rw_err_set (&why, target == NULL ? RW_E_OUT : RW_E_NOT_HOLDER, "route",
              rw_str_from (once->service->name),
              target == NULL ? "no target is in service"
                             : "no holder is known");
  onc_entry_on_no_target (&once->entry, &why, node->now, &command);
  run_command (node, once, &command);
}

/* Carries out COMMAND.  Frees ONCE if COMMAND is an answer.  */
static void
run_command (struct nod_node *node, struct nod_once *once,
             struct onc_command *command)
{
  switch (command->kind)
    {
    case ONC_WAIT:
      break;
    case ONC_SEND:
      send_once (node, once, command->u.send.attempt);
      break;
    case ONC_ANSWER:
      answer_once (node, once, command);
      break;
    }
}

static enum onc_status
once_status (const struct wir_part_result *result)
{
  if (result->status == 0)
    return ONC_OK;
  if (result->status == RW_E_DUPLICATE)
    return result->ran == WIR_RAN_YES ? ONC_RECORDED : ONC_DUPLICATE;
  return result->ran == WIR_RAN_NO ? ONC_NOT_RUN : ONC_UNKNOWN;
}

/* Records the refusal of SENT, so that the next attempt goes to another
   replica or, after "not holder", to the same target through another daemon.
 */
static void
record_refusal (struct nod_node *node, struct nod_once *once,
                const struct nod_sent_part *sent,
                const struct wir_part_result *result)
{
  const struct nod_map *map = once->service->maps;

  if (result->status == RW_E_NOT_HOLDER)
    {
      rte_on_not_holder (&sent->target->correction, sent->peer->id,
                         result->hint.len != 0 ? rw_hash (result->hint) : 0,
                         node->now);
      return;
    }
  for (uint32_t i = 0; i < map->topo.target_count; i++)
    if (map->node_targets[i] == sent->target
        && once->tried_count < ONC_ATTEMPTS_MAX)
      once->tried[once->tried_count++] = i;
}

/* Handles the holder's result of an attempt.  Counts and drops a result that
   is not of the present attempt.  */
void
nod_once_on_result (struct nod_node *node, struct nod_once *once,
                    const struct wir_part_result *in)
{
  struct qry_id id = { in->id.incarnation, in->id.sequence };
  struct onc_result result
      = { .status = once_status (in),
          .retry_after
          = in->retry_after_ms > 0 ? in->retry_after_ms * RW_MSEC : 0,
          .body = in->body };
  struct onc_command command;
  char step[64];

  if (once->sent_part == NULL || once->sent_part->attempt != in->attempt)
    {
      sta_inc (node->metrics.results_refused);
      return;
    }
  if (result.status != ONC_OK && result.status != ONC_RECORDED)
    {
      rw_str_copy (step, sizeof step, in->step);
      rw_err_set (&result.cause, in->status, step, in->target, "%.*s",
                  RW_STR_ARG (in->detail));
    }
  if (result.status == ONC_NOT_RUN)
    record_refusal (node, once, once->sent_part, in);
  nod_sent_part_free (once->sent_part);
  once->sent_part = NULL;
  if (onc_entry_on_result (&once->entry, id, in->attempt, &result, node->now,
                           &command)
      == 0)
    run_command (node, once, &command);
}

/* Handles an attempt whose connection to the holder broke.  UNSENT: no byte
   was sent, so the request did not run.  The caller has freed the
   record of the sent part.  */
void
nod_once_on_lost (struct nod_node *node, struct nod_once *once,
                  uint32_t attempt, bool unsent, const struct rw_err *why)
{
  struct onc_command command;

  if (unsent)
    onc_entry_on_unsent (&once->entry, attempt, why, node->now, &command);
  else
    onc_entry_on_lost (&once->entry, attempt, why, node->now, &command);
  run_command (node, once, &command);
}

/* Handles the timer of ONCE: the deadline has passed.  */
void
nod_once_on_timer (struct nod_node *node, struct nod_once *once)
{
  struct onc_command command;

  onc_entry_tick (&once->entry, node->now, &command);
  run_command (node, once, &command);
}
