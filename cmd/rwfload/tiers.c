#include "tiers_impl.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Queues an event of KIND for the time AT and returns it; the caller sets its
   argument.  The main loop frees it after it was handled.  */
struct event *
tie_push (struct sim *sim, rw_time at, enum event_kind kind)
{
  struct event *event = rw_xcalloc (1, sizeof *event);

  event->kind = kind;
  rw_heap_push (&sim->heap, at, event);
  return event;
}

/* Returns the one-way delay between two data centres, or within one.  */
rw_time
tie_one_way (const struct sim *sim, uint32_t dc_a, uint32_t dc_b)
{
  return dc_a == dc_b ? sim->config->profile->one_way_local
                      : sim->config->profile->one_way_dc;
}

static rw_time
vm_to_vm_delay (const struct sim *sim, uint32_t a, uint32_t b)
{
  return a == b ? 0 : tie_one_way (sim, sim->vms[a].dc, sim->vms[b].dc);
}

static rw_time
vm_to_target_delay (const struct sim *sim, uint32_t vm, uint32_t target)
{
  return tie_one_way (sim, sim->vms[vm].dc, sim->searchers[target].dc);
}

/* Drops a reference to QUERY and frees it after the last one if it is done.
   Parts and queued timers hold references; a running query always has one.  */
static void
query_unref (struct query *query)
{
  if (--query->refs > 0 || !query->done)
    return;
  free (query->parts);
  free (query);
}

static void
part_unref (struct part *part)
{
  if (--part->refs > 0)
    return;
  query_unref (part->query);
  free (part);
}

static void
exchange_unref (struct exchange *exchange)
{
  if (--exchange->refs == 0)
    free (exchange);
}

static struct part *
part_new (struct sim *sim, struct query *query, uint32_t attempt,
          uint32_t shard, uint32_t target)
{
  struct part *part = rw_xcalloc (1, sizeof *part);

  part->query = query;
  part->attempt = attempt;
  part->shard = shard;
  part->target = target;
  part->refs = 1;
  part->adm.service = rw_str_from (sim->config->service->name);
  part->adm.snapshot = RW_LIT ("s1");
  part->adm.shard = shard;
  query->refs++;
  return part;
}

static bool
is_counted (const struct sim *sim, const struct query *query)
{
  return query->arrived >= sim->config->warm_up;
}

/* Counts the answer to QUERY, which is sent now.  */
static void
count_answer (struct sim *sim, const struct query *query, size_t covered)
{
  struct tie_result *result = sim->result;
  rw_time latency = sim->now - query->arrived;

  if (!is_counted (sim, query))
    return;
  result->queries++;
  result->shards += sim->shard_count;
  result->covered += covered;
  if (latency <= sim->config->service->deadline)
    {
      result->in_time++;
      result->covered_in_time += covered;
    }
  rw_hist_add (&result->latency, latency);
}

static void
push_part (struct sim *sim, rw_time delay, enum event_kind kind,
           struct part *part)
{
  struct event *event = tie_push (sim, sim->now + delay, kind);

  event->target = part->target;
  event->u.part = part;
}

static void
push_exchange (struct sim *sim, rw_time delay, enum event_kind kind,
               struct exchange *exchange)
{
  struct event *event = tie_push (sim, sim->now + delay, kind);

  event->target = exchange->target;
  event->u.exchange = exchange;
}

/* Queues a timer event for the time at which the next request at TARGET ends.
 */
static void
schedule_target (struct sim *sim, uint32_t target)
{
  struct searcher *s = &sim->searchers[target];
  rw_time at = mdl_next_event (&s->model);

  if (at >= s->timer)
    return;
  s->timer = at;
  tie_push (sim, at, EV_TARGET_TIMER)->target = target;
}

/* Sends the result of PART from the holder to its entry daemon.  */
static void
send_result (struct sim *sim, struct part *part, enum qry_status status,
             rw_time retry_after)
{
  part->at_holder = false;
  part->status = status;
  part->retry_after = retry_after;
  if (status == QRY_NOT_RUN)
    sim->result->refused++;
  push_part (sim,
             vm_to_vm_delay (sim, sim->searchers[part->target].holder,
                             part->query->vm),
             EV_RESULT_AT_ENTRY, part);
}

/* Starts the exchanges that admission allows, sends back the parts that it
   refuses, and queues its next wakeup.  */
static void
run_admission (struct sim *sim, uint32_t target)
{
  struct searcher *s = &sim->searchers[target];
  rw_time until = sim->now + LEASE_REMAINING;
  struct adm_part *refused;
  rw_time next;

  while ((refused = adm_next_refused (&s->adm, sim->now, until)) != NULL)
    send_result (sim, (struct part *)refused, QRY_NOT_RUN,
                 refused->item.refusal.retry_after);
  for (;;)
    {
      struct exchange *x = rw_xcalloc (1, sizeof *x);

      x->target = target;
      x->refs = 1;
      if (!adm_next_exchange (&s->adm, &x->adm, sim->now, until))
        {
          free (x);
          break;
        }
      x->request.parts = (int)x->adm.count;
      x->request.deadline = x->adm.deadline;
      x->request.user = x;
      push_exchange (sim, vm_to_target_delay (sim, s->holder, target),
                     EV_EXCHANGE_AT_TARGET, x);
    }
  next = adm_next_wakeup (&s->adm);
  if (next < s->adm_timer)
    {
      s->adm_timer = next > sim->now ? next : sim->now;
      tie_push (sim, s->adm_timer, EV_HOLDER_TIMER)->target = target;
    }
}

static void
on_part_at_holder (struct sim *sim, struct part *part)
{
  struct searcher *s = &sim->searchers[part->target];
  int code;

  if (s->holder == 0 && sim->now >= sim->config->no_holder_from
      && sim->now < sim->config->no_holder_until)
    {
      send_result (sim, part, QRY_NOT_HOLDER, 0);
      return;
    }
  part->adm.item.deadline = part->query->arrived
                            + sim->config->service->deadline
                            - QRY_MERGE_ALLOWANCE;
  part->at_holder = true;
  code = adm_enqueue (&s->adm, &part->adm, sim->now,
                      sim->now + LEASE_REMAINING);
  if (code != 0)
    send_result (sim, part, QRY_NOT_RUN, part->adm.item.refusal.retry_after);
  run_admission (sim, part->target);
}

static void
on_cancel_at_holder (struct sim *sim, struct part *part)
{
  struct searcher *s = &sim->searchers[part->target];
  struct adm_exchange *cancelled = NULL;

  if (part->at_holder)
    {
      part->at_holder = false;
      if (adm_on_cancel (&s->adm, &part->adm, &cancelled)
          == ADM_CANCEL_EXCHANGE)
        {
          struct exchange *x
              = (struct exchange *)((char *)cancelled
                                    - offsetof (struct exchange, adm));

          x->refs++;
          push_exchange (sim,
                         vm_to_target_delay (sim, s->holder, part->target),
                         EV_CANCEL_AT_TARGET, x);
        }
      run_admission (sim, part->target);
      part->refs--; /* the holder's reference */
    }
  part_unref (part);
}

/* Sends the answer to X from the target now.  */
static void
send_reply (struct sim *sim, struct exchange *x, enum adm_outcome_kind kind)
{
  const struct mdl_searcher *model = &sim->searchers[x->target].model;
  uint32_t to = x->naive != NULL ? x->naive->query->vm
                                 : sim->searchers[x->target].holder;

  x->in_model = false;
  x->ended = true;
  x->outcome.kind = kind;
  if (kind == ADM_OK)
    {
      x->outcome.u.ok.incarnation = model->incarnation;
      x->outcome.u.ok.load = mdl_load (model);
    }
  else if (kind == ADM_SHED)
    x->outcome.u.shed.retry_after = model->config.shed_retry;
  else if (kind == ADM_CANCELLED)
    x->outcome.u.cancelled.confirmed = true;
  else if (kind == ADM_LOST)
    x->outcome.u.lost.sent = true;
  push_exchange (sim, vm_to_target_delay (sim, to, x->target),
                 EV_REPLY_AT_HOLDER, x);
}

/* Sends the answers to all requests that have ended at TARGET.  */
static void
collect (struct sim *sim, uint32_t target)
{
  struct mdl_request *request;

  while ((request = mdl_next_done (&sim->searchers[target].model, sim->now))
         != NULL)
    send_reply (sim, request->user,
                request->end == MDL_END_OK ? ADM_OK : ADM_LOST);
  schedule_target (sim, target);
}

static void
on_exchange_at_target (struct sim *sim, struct exchange *x)
{
  if (x->ended) /* cancelled before it arrived */
    {
      exchange_unref (x);
      return;
    }
  switch (mdl_arrive (&sim->searchers[x->target].model, &x->request, sim->now))
    {
    case MDL_ACCEPTED:
      x->in_model = true;
      break;
    case MDL_SHED:
    case MDL_DRAINING:
      send_reply (sim, x, ADM_SHED);
      break;
    case MDL_DOWN:
      send_reply (sim, x, ADM_LOST);
      break;
    }
  collect (sim, x->target);
}

static void
on_cancel_at_target (struct sim *sim, struct exchange *x)
{
  if (x->in_model)
    {
      mdl_cancel (&sim->searchers[x->target].model, &x->request, sim->now);
      send_reply (sim, x, ADM_CANCELLED);
      collect (sim, x->target);
    }
  exchange_unref (x);
}

static void
on_reply_at_holder (struct sim *sim, struct exchange *x)
{
  static const enum qry_status status_of[] = { [ADM_OK] = QRY_OK,
                                               [ADM_NOT_RUN] = QRY_NOT_RUN,
                                               [ADM_SHED] = QRY_NOT_RUN,
                                               [ADM_ERROR] = QRY_FAILED,
                                               [ADM_CANCELLED] = QRY_FAILED,
                                               [ADM_LOST] = QRY_FAILED };

  for (size_t i = 0; i < x->adm.count; i++)
    if (x->adm.parts[i] != NULL)
      send_result (sim, (struct part *)x->adm.parts[i],
                   status_of[x->outcome.kind], 0);
  adm_on_done (&sim->searchers[x->target].adm, &x->adm, &x->outcome, sim->now);
  run_admission (sim, x->target);
  exchange_unref (x);
}

static void finish_naive (struct sim *sim, struct query *query);

/* Handles the answer to a part of a naive tier.  */
static void
on_naive_reply (struct sim *sim, struct exchange *x)
{
  struct part *part = x->naive;
  struct query *query = part->query;

  if (!query->done)
    {
      query->unanswered--;
      query->covered += x->outcome.kind == ADM_OK;
      if (query->unanswered == 0)
        finish_naive (sim, query);
    }
  part_unref (part);
  exchange_unref (x);
}

static void
finish_naive (struct sim *sim, struct query *query)
{
  query->done = true;
  count_answer (sim, query, query->covered);
}

static void
send_naive (struct sim *sim, struct query *query, uint32_t shard)
{
  const struct rte_shard *s = &sim->shards[shard];
  uint32_t target = s->replicas[rw_rng_below (&sim->rng, s->replica_count)];
  struct exchange *x = rw_xcalloc (1, sizeof *x);

  x->naive = part_new (sim, query, shard, shard, target);
  x->target = target;
  x->refs = 1;
  x->request.parts = 1;
  x->request.deadline = RW_TIME_NEVER;
  x->request.user = x;
  sim->result->first_sends++;
  push_exchange (sim, vm_to_target_delay (sim, query->vm, target),
                 EV_EXCHANGE_AT_TARGET, x);
}

static void
start_naive (struct sim *sim, struct query *query)
{
  query->unanswered = sim->shard_count;
  for (uint32_t i = 0; i < sim->shard_count; i++)
    send_naive (sim, query, i);
  if (sim->kind == TIE_NAIVE_DEADLINE)
    {
      query->refs++;
      tie_push (sim, query->arrived + sim->config->service->deadline,
                EV_QUERY_TIMER)
          ->u.query
          = query;
    }
}

/* Stores PART under its attempt number.  */
static void
store_part (struct query *query, struct part *part)
{
  if (part->attempt >= query->part_cap)
    {
      query->part_cap = part->attempt * 2 + 16;
      query->parts = rw_xrealloc (query->parts,
                                  query->part_cap * sizeof (struct part *));
    }
  query->parts[part->attempt] = part;
}

static void
send_part (struct sim *sim, struct query *query, const struct qry_command *c)
{
  struct part *part = part_new (sim, query, c->u.send.attempt, c->u.send.shard,
                                c->u.send.target);

  store_part (query, part);
  push_part (
      sim,
      vm_to_vm_delay (sim, query->vm, sim->searchers[part->target].holder),
      EV_PART_AT_HOLDER, part);
}

static void
cancel_attempt (struct sim *sim, struct query *query, uint32_t attempt)
{
  struct part *part = query->parts[attempt];

  part->refs++;
  push_part (
      sim,
      vm_to_vm_delay (sim, query->vm, sim->searchers[part->target].holder),
      EV_CANCEL_AT_HOLDER, part);
}

static void
count_sends (struct sim *sim, const struct query *query)
{
  struct qry_counts c = qry_get_counts (&query->qry);

  sim->result->first_sends += c.first_sends;
  sim->result->extra_sends += c.hedges + c.retries;
  sim->result->hedges += c.hedges;
}

/* Executes the pending commands of QUERY and queues its next timer.  */
static void
run_commands (struct sim *sim, struct query *query)
{
  struct qry_command c;
  rw_time next;

  while (qry_next_command (&query->qry, &c))
    switch (c.kind)
      {
      case QRY_SEND_PART:
        send_part (sim, query, &c);
        break;
      case QRY_CANCEL_ATTEMPT:
        cancel_attempt (sim, query, c.u.cancel.attempt);
        break;
      case QRY_ANSWER:
        count_answer (sim, query, c.u.answer.covered);
        break;
      }
  if (qry_done (&query->qry))
    {
      query->done = true;
      count_sends (sim, query);
      qry_finish (&query->qry);
      return;
    }
  next = qry_next_wakeup (&query->qry);
  if (next < query->timer)
    {
      query->timer = next;
      query->refs++;
      tie_push (sim, next, EV_QUERY_TIMER)->u.query = query;
    }
}

static void
on_query_timer (struct sim *sim, struct query *query)
{
  if (query->done)
    ;
  else if (sim->kind == TIE_NAIVE_DEADLINE)
    finish_naive (sim, query);
  else
    {
      query->timer = RW_TIME_NEVER;
      qry_tick (&query->qry, sim->now);
      run_commands (sim, query);
    }
  query_unref (query);
}

static void
on_result_at_entry (struct sim *sim, struct part *part)
{
  struct query *query = part->query;
  struct qry_result r = { .attempt = part->attempt,
                          .shard = part->shard,
                          .status = part->status,
                          .snapshot = RW_LIT ("s1"),
                          .retry_after = part->retry_after };

  if (!query->done)
    {
      r.id = query->qry.id;
      qry_on_result (&query->qry, &r, sim->now, NULL);
      run_commands (sim, query);
    }
  part_unref (part);
}

/* Queues EV_ARRIVAL for the next arrival, unless the arrivals have ended.  */
void
tie_schedule_arrival (struct sim *sim)
{
  rw_time at = mdl_arrivals_next (&sim->arrivals);

  if (at < sim->end)
    tie_push (sim, at, EV_ARRIVAL);
}

static void
on_arrival (struct sim *sim)
{
  struct query *query = rw_xcalloc (1, sizeof *query);
  rw_time at;

  mdl_arrivals_take (&sim->arrivals, &at);
  tie_schedule_arrival (sim);
  query->vm = (uint32_t)(sim->sequence++ % sim->vm_count);
  query->arrived = sim->now;
  query->timer = RW_TIME_NEVER;
  if (sim->kind != TIE_OURS)
    {
      start_naive (sim, query);
      return;
    }
  qry_init (&query->qry, &sim->vms[query->vm].env,
            (struct qry_id){ 1, sim->sequence },
            sim->now + sim->config->service->deadline, sim->now);
  run_commands (sim, query);
}

/* Applies the new straggler share to all searchers.  */
static void
on_straggler_change (struct sim *sim)
{
  for (size_t i = 0; i < sim->searcher_count; i++)
    sim->searchers[i].model.config.straggler_share
        = sim->config->new_straggler_share;
}

/* Handles EVENT at the time sim->now.  */
void
tie_handle (struct sim *sim, const struct event *event)
{
  switch (event->kind)
    {
    case EV_ARRIVAL:
      on_arrival (sim);
      break;
    case EV_STRAGGLER_CHANGE:
      on_straggler_change (sim);
      break;
    case EV_QUERY_TIMER:
      on_query_timer (sim, event->u.query);
      break;
    case EV_PART_AT_HOLDER:
      on_part_at_holder (sim, event->u.part);
      break;
    case EV_CANCEL_AT_HOLDER:
      on_cancel_at_holder (sim, event->u.part);
      break;
    case EV_HOLDER_TIMER:
      sim->searchers[event->target].adm_timer = RW_TIME_NEVER;
      run_admission (sim, event->target);
      break;
    case EV_EXCHANGE_AT_TARGET:
      on_exchange_at_target (sim, event->u.exchange);
      break;
    case EV_TARGET_TIMER:
      sim->searchers[event->target].timer = RW_TIME_NEVER;
      collect (sim, event->target);
      break;
    case EV_REPLY_AT_HOLDER:
      if (event->u.exchange->naive != NULL)
        on_naive_reply (sim, event->u.exchange);
      else
        on_reply_at_holder (sim, event->u.exchange);
      break;
    case EV_CANCEL_AT_TARGET:
      on_cancel_at_target (sim, event->u.exchange);
      break;
    case EV_RESULT_AT_ENTRY:
      on_result_at_entry (sim, event->u.part);
      break;
    }
}
