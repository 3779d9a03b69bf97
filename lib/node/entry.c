#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* Retry-After of the answer to a request that arrives before the partition map
   of its service.  */
#define NOT_READY_RETRY_AFTER (1 * RW_SEC)
/* Retry-After of a request for which there is no memory.  */
#define NO_MEMORY_RETRY_AFTER (1 * RW_SEC)

/* Records that the part SHARD of a request is sent to PEER, which is believed
   to hold TARGET, in the message with TOKEN.  The caller sets the owner and
   the time; nod_sent_part_free frees the result.  */
struct nod_sent_part *
nod_sent_part_new (struct nod_peer *peer, struct nod_target *target,
                   uint32_t attempt, uint32_t shard, uint64_t token)
{
  struct nod_sent_part *sent = rw_xcalloc (1, sizeof *sent);

  sent->attempt = attempt;
  sent->shard = shard;
  sent->target = target;
  sent->peer = peer;
  sent->token = token;
  sent->next = peer->sent_parts;
  if (sent->next != NULL)
    sent->next->prev = sent;
  peer->sent_parts = sent;
  return sent;
}

/* Removes SENT from the list of its peer and frees it.  The caller clears
   the owner's pointer to it.  */
void
nod_sent_part_free (struct nod_sent_part *sent)
{
  if (sent->prev != NULL)
    sent->prev->next = sent->next;
  else
    sent->peer->sent_parts = sent->next;
  if (sent->next != NULL)
    sent->next->prev = sent->prev;
  free (sent);
}

/* Returns the daemon believed to hold TARGET, or a null pointer.  This daemon
   is no candidate once it has handed its targets over.  */
struct nod_peer *
nod_find_holder (struct nod_node *node, struct nod_target *target)
{
  struct rte_candidate candidates[TOP_ELECTORATE_MAX];
  uint32_t index;

  if (!nod_enabled (node, NOD_MECH_LEASE))
    return nod_peer_get (node, node->settings.vm);
  for (size_t i = 0; i < target->candidate_count; i++)
    {
      const struct nod_peer *peer
          = nod_peer_by_id (node, target->candidates[i]);

      candidates[i].member = target->candidates[i];
      candidates[i].alive
          = target->candidates[i] == node->self_id
                ? node->drain_state == NOD_RUNNING
                      || node->drain_state == NOD_DRAIN_NOT_READY
                : peer != NULL
                      && mem_is_usable (&node->members,
                                        rw_str_from (peer->name));
    }
  index = rte_choose_holder (candidates, target->candidate_count,
                             &target->correction, node->now);
  if (index == RTE_NONE)
    return NULL;
  if (target->candidates[index] == node->self_id)
    return nod_peer_get (node, node->settings.vm);
  return nod_peer_by_id (node, target->candidates[index]);
}

/* Returns the environment for queries of SERVICE by the caller class,
   initialised at the first use.  */
static struct qry_env *
query_env (struct nod_node *node, struct nod_service *service,
           unsigned int class_id)
{
  struct qry_env *env = &service->env[class_id];
  unsigned int disabled = node->settings.disabled_mechanisms;

  if (service->env_ready[class_id])
    return env;
  env->service = rw_str_from (service->name);
  env->active_map = &service->maps->query;
  env->latency = &service->latency;
  env->budget = &node->budgets[class_id];
  env->rng = &node->rng;
  env->hedge_percent = service->rules.hedge_percent;
  env->max_records = (size_t)service->rules.top_k;
  env->disabled_mechanisms
      = ((disabled & NOD_MECH_HEDGE) != 0 ? QRY_MECH_HEDGE : 0U)
        | ((disabled & NOD_MECH_BUDGET) != 0 ? QRY_MECH_BUDGET : 0U)
        | ((disabled & NOD_MECH_SNAPSHOT) != 0 ? QRY_MECH_SNAPSHOT : 0U)
        | ((disabled & NOD_MECH_TRUE_COVERAGE) != 0 ? QRY_MECH_TRUE_COVERAGE
                                                    : 0U)
        | ((disabled & NOD_MECH_IDENTITY) != 0 ? QRY_MECH_IDENTITY : 0U);
  service->env_ready[class_id] = true;
  return env;
}

/* Returns 0 if SERVICE, which may be null, can run the request.  Otherwise
   returns the HTTP status and sets ERR to the reason and *RETRY_AFTER to the
   time after which to retry, -1 for none.  */
static int
check_request (struct nod_node *node, const struct nod_request *req,
               const struct nod_service *service, rw_time *retry_after,
               struct rw_err *err)
{
  enum rul_service_kind kind
      = req->kind == NOD_REQUEST_ONCE ? RUL_ONCE : RUL_SEARCH;

  *retry_after = -1;
  if (service == NULL || service->maps == NULL)
    {
      /* Until a VM list is known, any service may exist.  */
      bool may_exist
          = rul_find (&node->rules, RUL_SERVICE, req->service) != NULL
            || node->vms.version == 0;

      rw_err_set (err, RW_E_NOT_FOUND, "request", req->service,
                  may_exist ? "the partition map is not there yet"
                            : "no such service");
      if (may_exist)
        *retry_after = NOT_READY_RETRY_AFTER;
      return may_exist ? 503 : 404;
    }
  if (service->rules.kind != kind)
    {
      rw_err_set (err, RW_E_NOT_FOUND, "request", req->service,
                  kind == RUL_ONCE ? "the service takes searches only"
                                   : "the service takes once requests only");
      return 404;
    }
  if (req->kind == NOD_REQUEST_ONCE && req->idempotency_key.len == 0)
    {
      rw_err_set (err, RW_E_PARSE, "request", req->service,
                  "the header Idempotency-Key is missing");
      return 400;
    }
  /* One copy of the body for this request, and one for its parts.  */
  if (!acc_has_room (node->settings.account, 2 * req->body.len))
    {
      rw_err_set (err, RW_E_QUEUE_FULL, "request", req->service,
                  "no memory for the request");
      *retry_after = NO_MEMORY_RETRY_AFTER;
      return 503;
    }
  return 0;
}

/* Begins the span of a request, as a child of the caller's span if the request
   has a valid traceparent.  */
static void
begin_span (struct nod_node *node, const struct nod_request *req,
            struct trc_span *span)
{
  struct trc_context parent;

  if (trc_parse (req->traceparent, &parent) < 0)
    trc_start_trace (&parent, node->settings.trace_sample_ratio, &node->rng);
  trc_begin (span, req->kind == NOD_REQUEST_ONCE ? "once request" : "search",
             TRC_SERVER, &parent, node->now, &node->rng);
  trc_attr_str (span, "rwf.service", req->service);
}

void
nod_on_request (struct nod_node *node, uint64_t request,
                const struct nod_request *req, rw_time now)
{
  struct nod_service *service;
  struct trc_span span;
  struct rw_err err = { 0 };
  rw_time retry_after;
  rw_time timeout;
  unsigned int class_id;
  int status;

  node->now = now;
  sta_inc (node->metrics.requests);
  service = nod_service_find (node, req->service);
  begin_span (node, req, &span);
  status = check_request (node, req, service, &retry_after, &err);
  if (status != 0)
    {
      nod_answer_error (node, request, status, QRY_RAN_NO, retry_after, &err,
                        &span.ctx);
      trc_end (&span, err.code, now);
      nod_write_span (node, &span);
      return;
    }
  timeout = service->rules.deadline;
  if (req->timeout > 0 && req->timeout < timeout)
    timeout = req->timeout;
  class_id = nod_class_id (node, req->caller_class);
  if (req->kind == NOD_REQUEST_ONCE)
    nod_once_begin (node, request, req, service, class_id, &span,
                    now + timeout);
  else
    nod_search_begin (node, request, req, service, class_id, &span,
                      now + timeout);
  nod_run_pending (node);
}

/* Ends the search of a caller that closed its connection before the answer.  A
   once request is not in the map and goes on.  */
void
nod_on_caller_disconnect (struct nod_node *node, uint64_t request, rw_time now)
{
  struct nod_search *search = rw_map_get (&node->searches_by_request, request);

  node->now = now;
  if (search != NULL)
    nod_search_abandon (node, search);
  nod_run_pending (node);
}

/* Answers a search that the gate refused, and frees it.  */
static void
refuse_search (struct nod_node *node, struct nod_search *search)
{
  const struct adm_refusal *refusal = &search->admission.item.refusal;
  struct rw_err err = { 0 };

  rw_err_set (&err, refusal->code, "queue",
              rw_str_from (node->class_names[search->class_id]),
              "the daemon is busy");
  nod_answer_error (node, search->request,
                    refusal->code == RW_E_QUEUE_FULL ? 429 : 503, QRY_RAN_NO,
                    refusal->retry_after, &err, &search->span.ctx);
  trc_end (&search->span, refusal->code, node->now);
  nod_write_span (node, &search->span);
  nod_search_free (node, search);
}

/* Begins a search.  It starts, waits at the gate of SERVICE or is refused.
   SPAN and the strings of REQ are copied.  */
void
nod_search_begin (struct nod_node *node, uint64_t request,
                  const struct nod_request *req, struct nod_service *service,
                  unsigned int class_id, const struct trc_span *span,
                  rw_time deadline)
{
  struct nod_search *search = rw_xcalloc (1, sizeof *search);

  search->request = request;
  search->id.incarnation = node->settings.incarnation;
  search->id.sequence = ++node->last_sequence;
  search->service = service;
  search->class_id = class_id;
  search->received_at = node->now;
  search->deadline = deadline;
  search->span = *span;
  rw_buf_init (&search->body);
  rw_buf_append_str (&search->body, req->body);
  acc_add (node->settings.account, search->body.cap);
  search->admission.item.class_id = class_id;
  search->admission.item.deadline = deadline;
  search->admission.user = search;
  rw_map_put (&node->searches, search->id.sequence, search);
  rw_map_put (&node->searches_by_request, request, search);
  if (adm_gate_enter (&service->gate, &search->admission, node->now) < 0)
    refuse_search (node, search);
}

/* Frees SEARCH with the records of its parts that have no result yet.  */
void
nod_search_free (struct nod_node *node, struct nod_search *search)
{
  struct nod_search **link = &node->dirty_searches;

  while (search->dirty && *link != search)
    link = &(*link)->next_dirty;
  if (search->dirty)
    *link = search->next_dirty;
  adm_gate_leave (&search->service->gate, &search->admission, node->now);
  nod_disarm (node, &search->timer);
  for (size_t i = 0; i < search->sent_part_cap; i++)
    if (search->sent_parts[i] != NULL)
      nod_sent_part_free (search->sent_parts[i]);
  free (search->sent_parts);
  if (search->started)
    qry_finish (&search->query);
  acc_sub (node->settings.account, search->body.cap);
  rw_buf_finish (&search->body);
  rw_map_remove (&node->searches, search->id.sequence);
  rw_map_remove (&node->searches_by_request, search->request);
  free (search);
}

/* Adds SEARCH to the list of nod_entry_run, unless it is there already.  */
void
nod_search_mark_dirty (struct nod_node *node, struct nod_search *search)
{
  if (search->dirty)
    return;
  search->dirty = true;
  search->next_dirty = node->dirty_searches;
  node->dirty_searches = search;
}

/* Answers the queries that the gate of SERVICE refuses and starts those that
   it admits.  */
static void
run_gate (struct nod_node *node, struct nod_service *service)
{
  struct adm_query *query;

  while ((query = adm_gate_next_refused (&service->gate, node->now)) != NULL)
    refuse_search (node, query->user);
  while ((query = adm_gate_next_query (&service->gate, node->now)) != NULL)
    {
      struct nod_search *search = query->user;

      search->started = true;
      qry_init (&search->query, query_env (node, service, search->class_id),
                search->id, search->deadline, node->now);
      nod_search_mark_dirty (node, search);
    }
}

/* Starts or refuses the queries that wait at the gates of the services.  */
void
nod_entry_run_gates (struct nod_node *node)
{
  for (struct nod_service *s = node->services; s != NULL; s = s->next)
    run_gate (node, s);
}

/* Returns when nod_entry_run_gates is due, or RW_TIME_NEVER.  */
rw_time
nod_entry_wakeup (const struct nod_node *node)
{
  rw_time at = RW_TIME_NEVER;

  for (const struct nod_service *s = node->services; s != NULL; s = s->next)
    {
      rw_time due = adm_gate_next_wakeup (&s->gate);

      at = due < at ? due : at;
    }
  return at;
}

/* Returns the map of which MAP is the first member.  */
static struct nod_map *
node_map (const struct qry_map *map)
{
  return (struct nod_map *)map;
}

/* A part to send, and the daemon believed to hold its target.  */
struct planned_send
{
  struct nod_peer *peer; /* null: no holder is known */
  struct nod_target *target;
  uint32_t attempt;
  uint32_t shard;
};

/* The parts that one search is to send, collected so that parts for the same
   holder share a message.  */
struct send_plan
{
  struct planned_send *items; /* in the scratch arena */
  size_t len;
  size_t cap;
  rw_time deadline;
  struct rw_str snapshot;
};

/* Makes room for the record of ATTEMPT in the array of SEARCH.  */
static void
grow_sent_parts (struct nod_search *search, uint32_t attempt)
{
  size_t cap = search->sent_part_cap != 0 ? search->sent_part_cap : 64;

  if (attempt < search->sent_part_cap)
    return;
  while (cap <= attempt)
    cap *= 2;
  search->sent_parts = rw_xrealloc (search->sent_parts, cap * sizeof (void *));
  memset (search->sent_parts + search->sent_part_cap, 0,
          (cap - search->sent_part_cap) * sizeof (void *));
  search->sent_part_cap = cap;
}

static void
count_send (struct nod_node *node, enum qry_send_reason reason)
{
  switch (reason)
    {
    case QRY_FIRST_SEND:
      sta_inc (node->metrics.parts_sent);
      break;
    case QRY_HEDGE:
      sta_inc (node->metrics.hedges);
      break;
    case QRY_RETRY:
      sta_inc (node->metrics.retries);
      break;
    case QRY_REDIRECT:
      sta_inc (node->metrics.redirects);
      break;
    }
}

/* Adds a send command to PLAN.  */
static void
plan_send (struct nod_node *node, struct send_plan *plan,
           const struct qry_command *command)
{
  struct nod_map *map = node_map (command->u.send.map);
  struct nod_target *target = map->node_targets[command->u.send.target];
  struct planned_send *item;

  if (plan->len == plan->cap)
    {
      size_t cap = plan->cap != 0 ? plan->cap * 2 : 64;
      struct planned_send *items
          = rw_arena_zalloc (&node->scratch, cap, sizeof *items);

      if (plan->len != 0)
        memcpy (items, plan->items, plan->len * sizeof *items);
      plan->items = items;
      plan->cap = cap;
    }
  item = &plan->items[plan->len++];
  item->peer = nod_find_holder (node, target);
  item->target = target;
  item->attempt = command->u.send.attempt;
  item->shard = command->u.send.shard;
  plan->deadline = command->u.send.deadline;
  plan->snapshot = map->query.snapshot;
  count_send (node, command->u.send.reason);
}

/* Orders by holder, unknown holders first, then by attempt.  */
static int
compare_planned_sends (const void *a, const void *b)
{
  const struct planned_send *x = a;
  const struct planned_send *y = b;
  uint64_t p = x->peer != NULL ? x->peer->id : 0;
  uint64_t q = y->peer != NULL ? y->peer->id : 0;

  if (p != q)
    return p < q ? -1 : 1;
  return x->attempt < y->attempt ? -1 : x->attempt > y->attempt;
}

/* Reports the result "not run" for a part for which no holder is known.  */
static void
fail_without_holder (struct nod_node *node, struct nod_search *search,
                     const struct planned_send *item)
{
  struct qry_result result = { .id = search->id,
                               .attempt = item->attempt,
                               .shard = item->shard,
                               .status = QRY_NOT_RUN };
  struct rw_err why = { 0 };

  rw_err_set (&why, RW_E_NOT_HOLDER, "route", rw_str_from (item->target->name),
              "no holder is known");
  result.cause = &why;
  qry_on_result (&search->query, &result, node->now, NULL);
}

/* Sends the COUNT parts of ITEMS to their common holder in one SUBMIT message.
 */
static void
submit_parts (struct nod_node *node, struct nod_search *search,
              const struct send_plan *plan, const struct planned_send *items,
              size_t count)
{
  struct wir_msg msg = { .type = WIR_SUBMIT, .xid = ++node->last_xid };
  struct wir_submit *out = &msg.u.submit;
  uint64_t token = ++node->last_number;

  out->id
      = (struct wir_request_id){ search->id.incarnation, search->id.sequence };
  out->kind = WIR_KIND_SEARCH;
  out->service = rw_str_from (search->service->name);
  out->caller_class = rw_str_from (node->class_names[search->class_id]);
  out->snapshot = plan->snapshot;
  out->remaining = plan->deadline > node->now ? plan->deadline - node->now : 0;
  out->sent = node->now;
  out->trace
      = (struct wir_trace){ search->span.ctx.trace_hi,
                            search->span.ctx.trace_lo, search->span.ctx.span,
                            search->span.ctx.sampled };
  out->body = rw_buf_str (&search->body);
  out->parts = rw_arena_zalloc (&node->scratch, count, sizeof *out->parts);
  out->part_count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    {
      struct nod_sent_part *sent
          = nod_sent_part_new (items[i].peer, items[i].target,
                               items[i].attempt, items[i].shard, token);

      sent->owner_kind = NOD_OWNER_SEARCH;
      sent->owner.search = search;
      sent->sent_at = node->now;
      grow_sent_parts (search, sent->attempt);
      search->sent_parts[sent->attempt] = sent;
      out->parts[i]
          = (struct wir_part){ .number = sent->attempt,
                               .attempt = sent->attempt,
                               .shard = sent->shard,
                               .target = rw_str_from (items[i].target->name) };
    }
  if (items[0].peer->id == node->self_id)
    nod_holder_submit (node, NULL, out);
  else
    nod_send_message (node, 0, items[0].peer, token, &msg);
}

/* Sends the parts of PLAN.  Parts for the same holder share a message of up to
   WIR_MAX_PARTS parts.  */
static void
submit_plan (struct nod_node *node, struct nod_search *search,
             struct send_plan *plan)
{
  size_t first = 0;

  if (plan->len == 0)
    return;
  qsort (plan->items, plan->len, sizeof *plan->items, compare_planned_sends);
  while (first < plan->len)
    {
      size_t end = first + 1;

      while (end < plan->len && end - first < WIR_MAX_PARTS
             && plan->items[end].peer == plan->items[first].peer)
        end++;
      if (plan->items[first].peer != NULL)
        submit_parts (node, search, plan, &plan->items[first], end - first);
      else
        for (size_t i = first; i < end; i++)
          fail_without_holder (node, search, &plan->items[i]);
      first = end;
    }
}

/* Sends CANCEL for ATTEMPT, if its result has not arrived.  */
static void
cancel_send (struct nod_node *node, struct nod_search *search,
             uint32_t attempt)
{
  struct nod_sent_part *sent
      = attempt < search->sent_part_cap ? search->sent_parts[attempt] : NULL;
  struct wir_part_ref ref = { attempt, attempt };
  struct wir_msg msg = { .type = WIR_CANCEL, .xid = ++node->last_xid };

  if (sent == NULL)
    return;
  msg.u.cancel.id
      = (struct wir_request_id){ search->id.incarnation, search->id.sequence };
  msg.u.cancel.parts = &ref;
  msg.u.cancel.part_count = 1;
  if (sent->peer->id == node->self_id)
    nod_holder_cancel (node, &msg.u.cancel);
  else
    nod_send_message (node, 0, sent->peer, 0, &msg);
  search->sent_parts[attempt] = NULL;
  nod_sent_part_free (sent);
}

/* Answers the caller of SEARCH and ends the span.  */
static void
answer_search (struct nod_node *node, struct nod_search *search,
               const struct qry_command *command)
{
  bool ok = command->u.answer.status == 200;
  struct sta_series *counter = node->metrics.answers_error;

  if (ok)
    counter = command->u.answer.complete ? node->metrics.answers_ok
                                         : node->metrics.answers_partial;
  sta_inc (counter);
  sta_observe (node->metrics.latency, node->now - search->received_at);
  nod_answer (node, search->request, command->u.answer.status,
              command->u.answer.retry_after, command->u.answer.body,
              &search->span.ctx);
  trc_attr_int (&search->span, "rwf.covered",
                (int64_t)command->u.answer.covered);
  trc_attr_int (&search->span, "rwf.shards",
                (int64_t)command->u.answer.shards);
  trc_attr_int (&search->span, "rwf.hedges",
                qry_get_counts (&search->query).hedges);
  trc_attr_int (&search->span, "http.status", command->u.answer.status);
  trc_end (&search->span, ok ? 0 : RW_E_DEADLINE, node->now);
  nod_write_span (node, &search->span);
}

/* Carries out the commands of SEARCH until there is none left.  Sending parts
   may add commands, because a part without a holder fails at once; so the
   commands are fetched again afterwards.  Frees SEARCH if it is answered or
   complete.  */
static void
run_search (struct nod_node *node, struct nod_search *search)
{
  struct qry_command command;
  bool answered = false;
  struct send_plan plan;

  do
    {
      plan = (struct send_plan){ 0 };
      while (qry_next_command (&search->query, &command))
        switch (command.kind)
          {
          case QRY_SEND_PART:
            plan_send (node, &plan, &command);
            break;
          case QRY_CANCEL_ATTEMPT:
            cancel_send (node, search, command.u.cancel.attempt);
            break;
          case QRY_ANSWER:
            answer_search (node, search, &command);
            answered = true;
            break;
          }
      if (!answered)
        submit_plan (node, search, &plan);
    }
  while (!answered && plan.len != 0);
  if (answered || qry_done (&search->query))
    {
      nod_search_free (node, search);
      return;
    }
  nod_arm (node, &search->timer, NOD_TIMER_SEARCH, search,
           qry_next_wakeup (&search->query));
}

/* Carries out the commands of the searches that events have changed.  */
void
nod_entry_run (struct nod_node *node)
{
  while (node->dirty_searches != NULL)
    {
      struct nod_search *search = node->dirty_searches;

      node->dirty_searches = search->next_dirty;
      search->dirty = false;
      run_search (node, search);
    }
}

/* Handles the timer of SEARCH: a hedge, a retry or the deadline is due.  */
void
nod_search_on_timer (struct nod_node *node, struct nod_search *search)
{
  qry_tick (&search->query, node->now);
  nod_search_mark_dirty (node, search);
}

/* Ends SEARCH without an answer, because the caller has disconnected.  */
void
nod_search_abandon (struct nod_node *node, struct nod_search *search)
{
  trc_end (&search->span, RW_E_RESET, node->now);
  nod_write_span (node, &search->span);
  if (!search->started)
    {
      nod_search_free (node, search);
      return;
    }
  qry_on_caller_disconnect (&search->query, node->now);
  nod_search_mark_dirty (node, search);
}

static enum qry_status
query_status (const struct wir_part_result *result)
{
  if (result->status == 0)
    return QRY_OK;
  if (result->status == RW_E_SNAPSHOT)
    return QRY_OTHER_SNAPSHOT;
  if (result->ran != WIR_RAN_NO)
    return QRY_FAILED;
  return result->status == RW_E_NOT_HOLDER ? QRY_NOT_HOLDER : QRY_NOT_RUN;
}

/* Updates, from a result, the moving average of the one-way delay to the
   holder of the target (weight 1/4 for the new value), or after "not holder"
   the correction of who holds the target.  */
static void
update_target_estimate (struct nod_node *node,
                        const struct nod_sent_part *sent,
                        const struct wir_part_result *result)
{
  struct nod_target *target = sent->target;
  rw_time one_way
      = (node->now - sent->sent_at - result->queued - result->exchange) / 2;
  rw_time old = target->estimate.one_way_delay;

  if (result->status == RW_E_NOT_HOLDER)
    {
      uint64_t hint = result->hint.len != 0 ? rw_hash (result->hint) : 0;

      rte_on_not_holder (&target->correction, sent->peer->id, hint, node->now);
    }
  else if (result->status == 0 && one_way >= 0)
    rte_set_one_way_delay (&target->estimate,
                           old != 0 ? (3 * old + one_way) / 4 : one_way);
}

/* Passes the result of a part to its search, which has started.  */
static void
on_search_result (struct nod_node *node, struct nod_search *search,
                  const struct wir_part_result *in)
{
  struct nod_sent_part *sent = in->attempt < search->sent_part_cap
                                   ? search->sent_parts[in->attempt]
                                   : NULL;
  struct qry_result result
      = { .id = { in->id.incarnation, in->id.sequence },
          .attempt = in->attempt,
          .shard = in->shard,
          .status = query_status (in),
          .may_have_run = in->ran != WIR_RAN_NO,
          .snapshot = in->snapshot,
          .retry_after
          = in->retry_after_ms > 0 ? in->retry_after_ms * RW_MSEC : 0 };
  struct qry_record *records
      = rw_arena_zalloc (&node->scratch, in->record_count, sizeof *records);
  struct rw_err why = { 0 };
  struct rw_err refused = { 0 };

  for (uint32_t i = 0; i < in->record_count; i++)
    records[i] = (struct qry_record){ in->records[i].id, in->records[i].score,
                                      in->records[i].text };
  result.records = records;
  result.record_count = in->record_count;
  if (in->status != 0)
    {
      char step[64];

      rw_str_copy (step, sizeof step, in->step);
      rw_err_set (&why, in->status, step, in->target, "%.*s",
                  RW_STR_ARG (in->detail));
      result.cause = &why;
    }
  if (in->status == RW_E_SHED || in->status == RW_E_QUEUE_FULL
      || in->status == RW_E_DEADLINE)
    adm_gate_on_overload (&search->admission);
  if (sent != NULL && sent->shard == in->shard)
    {
      update_target_estimate (node, sent, in);
      search->sent_parts[in->attempt] = NULL;
      nod_sent_part_free (sent);
    }
  if (qry_on_result (&search->query, &result, node->now, &refused) < 0)
    sta_inc (node->metrics.results_refused);
  nod_search_mark_dirty (node, search);
}

/* Handles the result of one part.  Counts and drops a result that belongs to
   no open request of this incarnation.  */
void
nod_entry_on_result (struct nod_node *node,
                     const struct wir_part_result *result)
{
  struct nod_search *search;
  struct nod_once *once;

  if (result->id.incarnation != node->settings.incarnation)
    {
      sta_inc (node->metrics.results_refused);
      return;
    }
  search = rw_map_get (&node->searches, result->id.sequence);
  if (search != NULL && search->started)
    {
      on_search_result (node, search, result);
      return;
    }
  once = rw_map_get (&node->once_requests, result->id.sequence);
  if (once != NULL)
    {
      nod_once_on_result (node, once, result);
      return;
    }
  sta_inc (node->metrics.results_refused);
}

/* Handles a part whose connection to the holder broke before its result came,
   and frees SENT.  UNSENT: no byte was sent, so the part did not run;
   otherwise it may have run.  */
void
nod_on_sent_part_lost (struct nod_node *node, struct nod_sent_part *sent,
                       bool unsent, const struct rw_err *why)
{
  struct qry_result result = { .attempt = sent->attempt,
                               .shard = sent->shard,
                               .status = unsent ? QRY_NOT_RUN : QRY_FAILED,
                               .cause = why };
  struct nod_search *search;

  rte_on_not_holder (&sent->target->correction, sent->peer->id, 0, node->now);
  if (sent->owner_kind == NOD_OWNER_ONCE)
    {
      struct nod_once *once = sent->owner.once;
      uint32_t attempt = sent->attempt;

      once->sent_part = NULL;
      nod_sent_part_free (sent);
      nod_once_on_lost (node, once, attempt, unsent, why);
      return;
    }
  search = sent->owner.search;
  result.id = search->id;
  search->sent_parts[sent->attempt] = NULL;
  nod_sent_part_free (sent);
  qry_on_result (&search->query, &result, node->now, NULL);
  nod_search_mark_dirty (node, search);
}
