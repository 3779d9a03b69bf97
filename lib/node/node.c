#include "internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Appends an action of KIND, otherwise zeroed, to the queue and returns it.
   The pointer is valid until the next action is appended.  */
struct nod_action *
nod_add_action (struct nod_node *node, enum nod_action_kind kind)
{
  struct nod_action *action;

  if (node->action_head == node->action_len)
    node->action_head = node->action_len = 0;
  if (node->action_len == node->action_cap)
    {
      node->action_cap = node->action_cap != 0 ? node->action_cap * 2 : 64;
      node->actions = rw_xrealloc (node->actions,
                                   node->action_cap * sizeof *node->actions);
    }
  action = &node->actions[node->action_len++];
  memset (action, 0, sizeof *action);
  action->kind = kind;
  rw_buf_init (&action->data);
  return action;
}

bool
nod_next_action (struct nod_node *node, struct nod_action *action)
{
  if (node->action_head == node->action_len)
    return false;
  *action = node->actions[node->action_head++];
  return true;
}

void
nod_action_finish (struct nod_action *action)
{
  rw_buf_finish (&action->data);
}

/* Adds an action that logs one line, cut to 511 bytes, for PART of the
   program, a static string.  */
void
nod_log (struct nod_node *node, enum nod_log_level level, const char *part,
         const char *fmt, ...)
{
  char text[512];
  va_list args;
  struct nod_action *action = nod_add_action (node, NOD_WRITE_LOG);

  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  action->u.log.level = level;
  action->u.log.part = part;
  rw_buf_append_str (&action->data, rw_str_from (text));
}

/* Returns whether MECHANISM is switched on, which is always true in rwfd.  */
bool
nod_enabled (const struct nod_node *node, enum nod_mechanism mechanism)
{
  return (node->settings.disabled_mechanisms & mechanism) == 0;
}

/* Adds an action that writes SPAN, if it is sampled.  */
void
nod_write_span (struct nod_node *node, const struct trc_span *span)
{
  struct nod_action *action;

  if (!span->ctx.sampled || !trc_valid (&span->ctx))
    return;
  action = nod_add_action (node, NOD_WRITE_SPAN);
  trc_write (span, RW_LIT ("rwfd"), node->settings.vm,
             node->settings.wall_clock_offset, &action->data);
}

/* Arms TIMER of OWNER for the time AT, also if it is armed for another time.
   RW_TIME_NEVER stops the timer.  An entry for a previous time stays in the
   heap, and run_timers skips it.  */
void
nod_arm (struct nod_node *node, struct nod_timer *timer,
         enum nod_timer_kind kind, void *owner, rw_time at)
{
  if (timer->number == 0)
    {
      timer->number = ++node->last_number;
      timer->at = RW_TIME_NEVER;
      rw_map_put (&node->timers, timer->number, timer);
    }
  timer->kind = kind;
  timer->owner = owner;
  if (timer->at == at)
    return;
  timer->at = at;
  if (at != RW_TIME_NEVER)
    rw_heap_push (&node->heap, at, (void *)(uintptr_t)timer->number);
}

/* Unregisters TIMER; to be called before its owner is freed.  */
void
nod_disarm (struct nod_node *node, struct nod_timer *timer)
{
  if (timer->number != 0)
    rw_map_remove (&node->timers, timer->number);
  timer->number = 0;
}

static void
run_timer (struct nod_node *node, struct nod_timer *timer)
{
  timer->at = RW_TIME_NEVER;
  switch (timer->kind)
    {
    case NOD_TIMER_SEARCH:
      nod_search_on_timer (node, timer->owner);
      break;
    case NOD_TIMER_ONCE:
      nod_once_on_timer (node, timer->owner);
      break;
    case NOD_TIMER_TARGET:
      nod_target_mark_dirty (node, timer->owner);
      break;
    }
}

/* Runs the timers that are due.  Skips entries of timers that were
   unregistered or armed for another time.  */
static void
run_timers (struct nod_node *node)
{
  while (rw_heap_next_time (&node->heap) <= node->now)
    {
      rw_time at;
      uintptr_t number = (uintptr_t)rw_heap_pop (&node->heap, &at);
      struct nod_timer *timer = rw_map_get (&node->timers, number);

      if (timer != NULL && timer->at == at)
        run_timer (node, timer);
    }
}

/* Returns the id of the caller class NAME.  Ids are given out in the order in
   which classes are first used.  A class without a rule, or beyond
   ADM_CLASSES_MAX, counts as "default", id 0, so that callers cannot create
   classes.  */
unsigned int
nod_class_id (struct nod_node *node, struct rw_str name)
{
  for (unsigned int i = 0; i < node->class_count; i++)
    if (rw_str_eq_cstr (name, node->class_names[i]))
      return i;
  if (rul_find (&node->rules, RUL_CALLER, name) == NULL
      || node->class_count == ADM_CLASSES_MAX)
    return 0;
  rw_str_copy (node->class_names[node->class_count], NOD_NAME_SIZE, name);
  node->classes.by_id[node->class_count].share
      = rul_caller (&node->rules, name).share;
  node->classes.by_id[node->class_count].queue_max
      = rul_caller (&node->rules, name).queue_max;
  return node->class_count++;
}

/* Copies SETTINGS, with its strings and peers, to the arena of NODE.  */
static void
copy_settings (struct nod_node *node, const struct nod_settings *settings)
{
  struct nod_settings *own = &node->settings;
  struct nod_addr *peers;

  *own = *settings;
  own->vm = rw_arena_str (&node->arena, settings->vm);
  own->dc = rw_arena_str (&node->arena, settings->dc);
  own->addr = rw_arena_str (&node->arena, settings->addr);
  peers = rw_arena_zalloc (&node->arena, settings->peer_count, sizeof *peers);
  if (settings->peer_count != 0)
    memcpy (peers, settings->peers, settings->peer_count * sizeof *peers);
  own->peers = peers;
}

/* Registers the metrics.  */
static void
init_stats (struct nod_node *node)
{
  struct sta_set *set = &node->stats;
  struct nod_metrics *c = &node->metrics;
  struct rw_str none = RW_LIT ("");

  sta_init (set);
  c->requests = sta_counter (set, "rwf_requests_total",
                             "Requests from callers.", none);
  c->answers_ok
      = sta_counter (set, "rwf_answers_total", "Answers to callers by result.",
                     RW_LIT ("result=\"complete\""));
  c->answers_partial
      = sta_counter (set, "rwf_answers_total", "Answers to callers by result.",
                     RW_LIT ("result=\"partial\""));
  c->answers_error
      = sta_counter (set, "rwf_answers_total", "Answers to callers by result.",
                     RW_LIT ("result=\"error\""));
  c->parts_sent = sta_counter (set, "rwf_parts_sent_total",
                               "First sends of parts to holders.", none);
  c->hedges = sta_counter (set, "rwf_hedges_total", "Hedges sent.", none);
  c->retries = sta_counter (set, "rwf_retries_total", "Retries sent.", none);
  c->redirects = sta_counter (set, "rwf_redirects_total",
                              "Parts sent again to another holder.", none);
  c->results_refused
      = sta_counter (set, "rwf_results_refused_total",
                     "Results that matched no running attempt.", none);
  c->parts_accepted = sta_counter (set, "rwf_parts_accepted_total",
                                   "Parts admitted as holder.", none);
  c->parts_refused = sta_counter (set, "rwf_parts_refused_total",
                                  "Parts refused as holder, not run.", none);
  c->exchanges = sta_counter (set, "rwf_exchanges_total",
                              "Exchanges started with targets.", none);
  c->exchange_parts = sta_counter (set, "rwf_exchange_parts_total",
                                   "Parts in exchanges with targets.", none);
  c->control_messages = sta_counter (set, "rwf_control_messages_total",
                                     "Probes and probe replies sent.", none);
  c->control_bytes = sta_counter (
      set, "rwf_control_bytes_total",
      "Bytes of probes, probe replies and documents sent to daemons.", none);
  c->malformed = sta_counter (set, "rwf_malformed_messages_total",
                              "Malformed messages from other daemons.", none);
  c->docs_accepted = sta_counter (set, "rwf_documents_accepted_total",
                                  "Documents that came into force.", none);
  c->docs_refused = sta_counter (set, "rwf_documents_refused_total",
                                 "Documents refused as invalid.", none);
  c->latency = sta_histogram (set, "rwf_request_seconds",
                              "Time from request to answer.", none);
  c->exchange_time
      = sta_histogram (set, "rwf_exchange_seconds",
                       "Duration of exchanges with targets.", none);
  c->ready = sta_gauge (set, "rwf_ready",
                        "1 if this daemon is ready for callers.", none);
  c->targets_held = sta_gauge (set, "rwf_targets_held",
                               "Targets for which this daemon acts.", none);
}

/* Initialises membership, documents and leases.  */
static void
init_control (struct nod_node *node, rw_time now)
{
  const struct nod_settings *own = &node->settings;
  struct mem_settings members = { .name = own->vm,
                                  .addr = own->addr,
                                  .port = own->rpc_port,
                                  .incarnation = own->incarnation,
                                  .rng_seed = rw_hash_u64 (own->seed, 1) };
  struct cnf_settings conf
      = { .seed = rw_hash_u64 (own->seed, 2),
          .accept = nod_config_accept,
          .arg = node,
          .allow_older = !nod_enabled (node, NOD_MECH_MONOTONIC) };
  struct lea_settings leases;

  mem_init (&node->members, &members, now);
  cnf_init (&node->conf, &conf, now);
  cnf_add_key (&node->conf, RW_LIT ("rules"));
  cnf_add_key (&node->conf, RW_LIT ("vms"));
  lea_settings_default (&leases, node->self_id);
  lea_init (&node->leases, &leases, now);
}

static void
init_maps (struct nod_node *node)
{
  struct rw_map *maps[] = { &node->targets,       &node->peers,
                            &node->probes,        &node->fetches,
                            &node->streams,       &node->searches,
                            &node->once_requests, &node->searches_by_request,
                            &node->parts,         &node->timers,
                            &node->exchanges };

  for (size_t i = 0; i < RW_ARRAY_LEN (maps); i++)
    rw_map_init (maps[i]);
}

/* Returns the mechanisms of lib/admit that are switched off.  */
unsigned int
nod_admission_disabled (const struct nod_node *node)
{
  return (nod_enabled (node, NOD_MECH_RAMP) ? 0U : ADM_MECH_RAMP)
         | (nod_enabled (node, NOD_MECH_SHARES) ? 0U : ADM_MECH_SHARES)
         | (nod_enabled (node, NOD_MECH_REFUSAL) ? 0U : ADM_MECH_REFUSAL);
}

struct nod_node *
nod_new (const struct nod_settings *settings, rw_time now)
{
  struct nod_node *node = rw_xcalloc (1, sizeof *node);

  rw_arena_init (&node->arena, 0);
  rw_arena_init (&node->scratch, 64 * 1024);
  copy_settings (node, settings);
  node->self_id = rw_hash (settings->vm);
  node->now = node->started_at = now;
  rw_rng_init (&node->rng, settings->seed);
  init_maps (node);
  rw_heap_init (&node->heap);
  init_stats (node);
  rul_init (&node->rules);
  top_vms_init (&node->vms, 0, RW_LIT ("{\"vms\":[]}"), NULL);
  adm_classes_init (&node->classes);
  rw_str_copy (node->class_names[0], NOD_NAME_SIZE, RW_LIT ("default"));
  node->class_count = 1;
  for (size_t i = 0; i < ADM_CLASSES_MAX; i++)
    qry_budget_init (&node->budgets[i]);
  onc_table_init (&node->idempotency_keys, NOD_IDEMPOTENCY_KEYS_MAX,
                  nod_enabled (node, NOD_MECH_AT_MOST_ONCE)
                      ? 0
                      : ONC_MECH_AT_MOST_ONCE | ONC_MECH_DEDUPLICATION);
  rw_arena_init (&node->results.arena, 64 * 1024);
  rw_arena_init (&node->sending_results.arena, 64 * 1024);
  node->next_drain_step_at = RW_TIME_NEVER;
  init_control (node, now);
  return node;
}

/* Frees the open searches and once requests.  The scan of a map starts again
   after each removal, which moves entries.  */
static void
free_requests (struct nod_node *node)
{
  size_t position = 0;
  struct nod_search *search;
  struct nod_once *once;

  while ((search = rw_map_next (&node->searches, &position)) != NULL)
    {
      nod_search_free (node, search);
      position = 0;
    }
  position = 0;
  while ((once = rw_map_next (&node->once_requests, &position)) != NULL)
    {
      nod_once_free (node, once);
      position = 0;
    }
}

/* Frees MAP and its items, each allocated on its own.  */
static void
free_map_items (struct rw_map *map)
{
  size_t position = 0;
  void *item;

  while ((item = rw_map_next (map, &position)) != NULL)
    free (item);
  rw_map_finish (map);
}

void
nod_free (struct nod_node *node)
{
  struct nod_action action;

  free_requests (node);
  nod_streams_finish (node);
  nod_holder_finish (node);
  nod_config_finish (node);
  while (nod_next_action (node, &action))
    nod_action_finish (&action);
  free (node->actions);
  free_map_items (&node->peers);
  free_map_items (&node->probes);
  rw_map_finish (&node->fetches);
  rw_map_finish (&node->searches);
  rw_map_finish (&node->once_requests);
  rw_map_finish (&node->searches_by_request);
  rw_map_finish (&node->timers);
  rw_heap_finish (&node->heap);
  rw_arena_finish (&node->results.arena);
  rw_arena_finish (&node->sending_results.arena);
  free (node->results.items);
  free (node->sending_results.items);
  onc_table_finish (&node->idempotency_keys);
  lea_finish (&node->leases);
  mem_finish (&node->members);
  cnf_finish (&node->conf);
  rul_finish (&node->rules);
  top_vms_finish (&node->vms);
  sta_finish (&node->stats);
  rw_arena_finish (&node->scratch);
  rw_arena_finish (&node->arena);
  free (node);
}

/* Runs gates, searches and targets and sends results until nothing is left to
   do: each step may cause work for another.  Resets the scratch arena.  Called
   at the end of each event.  */
void
nod_run_pending (struct nod_node *node)
{
  do
    {
      if (node->config_changed)
        nod_config_apply (node);
      nod_entry_run_gates (node);
      nod_entry_run (node);
      nod_holder_run (node);
      nod_results_flush (node);
    }
  while (node->config_changed || node->dirty_searches != NULL
         || node->dirty_targets != NULL || node->results.len != 0);
  rw_arena_reset (&node->scratch);
}

void
nod_tick (struct nod_node *node, rw_time now)
{
  node->now = now;
  nod_config_tick (node);
  nod_drain_tick (node);
  nod_control_tick (node);
  run_timers (node);
  if (now >= node->next_lease_check_at)
    nod_holder_check_leases (node);
  nod_run_pending (node);
}

static rw_time
earlier_time (rw_time a, rw_time b)
{
  return a < b ? a : b;
}

rw_time
nod_next_wakeup (const struct nod_node *node)
{
  rw_time at = nod_control_wakeup (node);

  at = earlier_time (at, rw_heap_next_time (&node->heap));
  at = earlier_time (at, cnf_next_tick (&node->conf));
  at = earlier_time (at, nod_entry_wakeup (node));
  at = earlier_time (at, node->next_drain_step_at);
  if (node->active_targets != NULL)
    at = earlier_time (at, node->next_lease_check_at);
  return at;
}

/* This daemon is ready if it has the documents it needs, its data centre is in
   service and no planned stop has begun.  */
bool
nod_ready (const struct nod_node *node, rw_time now)
{
  struct nod_node *self = (struct nod_node *)node;

  if (node->drain_state != NOD_RUNNING || node->vms.version == 0)
    return false;
  if (rul_data_centre (&node->rules, node->settings.dc).out)
    return false;
  return cnf_ready (&self->conf, mem_count (&node->members), now);
}

/* Adds the answer to the request of a caller.  RETRY_AFTER is in microseconds,
   negative for none.  TRACE may be null.  */
void
nod_answer (struct nod_node *node, uint64_t request, int status,
            rw_time retry_after, struct rw_str body,
            const struct trc_context *trace)
{
  struct nod_action *action = nod_add_action (node, NOD_ANSWER);
  char header[TRC_HEADER_SIZE];

  action->u.answer.request = request;
  action->u.answer.status = status;
  action->u.answer.retry_after_ms
      = retry_after < 0 ? -1 : (retry_after + RW_MSEC - 1) / RW_MSEC;
  if (trace != NULL && trc_valid (trace))
    rw_str_copy (action->u.answer.traceparent,
                 sizeof action->u.answer.traceparent,
                 trc_format (trace, header));
  rw_buf_append_str (&action->data, body);
}

/* Adds an error as the answer to the request of a caller: the reason WHY and
   whether the request ran.  RETRY_AFTER and TRACE are as for nod_answer.  */
void
nod_answer_error (struct nod_node *node, uint64_t request, int status,
                  enum qry_ran ran, rw_time retry_after,
                  const struct rw_err *why, const struct trc_context *trace)
{
  struct rw_buf body;

  rw_buf_init (&body);
  qry_encode_error (why, ran, retry_after, &body);
  nod_answer (node, request, status, retry_after, rw_buf_str (&body), trace);
  rw_buf_finish (&body);
  sta_inc (node->metrics.answers_error);
}
