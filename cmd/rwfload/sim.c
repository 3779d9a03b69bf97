#include "sim_impl.h"

#include <stdlib.h>
#include <string.h>

/* Time before the deadline that is reserved for the merge (section 6 of the
   design page).  */
#define MERGE_ALLOWANCE (2 * RW_MSEC)
/* A hedge is sent after the 95th percentile of recent part latencies, but not
   earlier than this.  */
#define HEDGE_DELAY_MIN (2 * RW_MSEC)
/* Part latencies from which the hedge delay is computed.  */
#define HEDGE_SAMPLE_COUNT 256
/* Tokens that a first send adds to the retry budget, and the most that the
   budget holds.  A hedge or retry takes one token.  */
#define RETRY_BUDGET_PER_SEND 0.05
#define RETRY_BUDGET_MAX 50.0

int
sim_target_count (const struct sim *sim)
{
  return sim->config->shards * sim->config->replicas;
}

/* Queues an event of KIND for the time AT and returns it; the caller sets its
   argument.  The main loop puts it on the free list after it was handled.  */
struct event *
sim_schedule (struct sim *sim, rw_time at, enum event_kind kind)
{
  struct event *event = sim->free_events;

  if (event != NULL)
    sim->free_events = event->next_free;
  else
    event = rw_arena_alloc (&sim->arena, sizeof *event);
  memset (event, 0, sizeof *event);
  event->kind = kind;
  rw_heap_push (&sim->heap, at, event);
  return event;
}

/* Returns the one-way delay between an entry daemon and the data centre of the
   target.  Every third daemon is in that data centre.  */
static rw_time
one_way_delay (const struct sim *sim, const struct entry *entry)
{
  return entry->number % 3 == 0 ? sim->config->one_way_local
                                : sim->config->one_way_dc;
}

/* Returns the one-way delay between an entry daemon and the daemon that admits
   its parts.  */
static rw_time
delay_to_holder (const struct sim *sim, const struct entry *entry)
{
  return sim->config->design == SIM_INDEPENDENT ? 0
                                                : one_way_delay (sim, entry);
}

/* Drops a reference to QUERY.  After the last one, the main loop frees it.  */
static void
unref (struct sim *sim, struct query *query)
{
  if (--query->refs > 0)
    return;
  query->next_dead = sim->dead;
  sim->dead = query;
}

/* Frees the queries whose last reference was dropped.  They live until the
   current event was handled, since its handler may still use them.  */
void
sim_free_dead (struct sim *sim)
{
  while (sim->dead != NULL)
    {
      struct query *query = sim->dead;

      sim->dead = query->next_dead;
      free (query);
    }
}

static void run_gate (struct sim *sim, struct entry *entry);
static void run_holder (struct sim *sim, struct holder *holder);
static void cancel_at_searcher (struct sim *sim, struct exchange *exchange);

static bool
is_measured (const struct sim *sim, const struct query *query)
{
  return query->arrived >= sim->config->measure_from;
}

static struct sim_slice *
slice_of (struct sim *sim, rw_time at)
{
  size_t n = (size_t)(at / SIM_SLICE_LENGTH);

  return &sim->result->slice[n < SIM_SLICE_COUNT ? n : SIM_SLICE_COUNT - 1];
}

/* Counts the answer to QUERY.  */
static void
count_answer (struct sim *sim, const struct query *query)
{
  struct sim_class_result *result
      = &sim->result->class_results[query->class_id];
  bool complete = query->covered == sim->config->shards;

  if (complete)
    slice_of (sim, query->arrived)->complete[query->class_id]++;
  if (!is_measured (sim, query))
    return;
  result->complete += complete;
  result->partial += !complete && query->covered > 0;
  result->parts_ok += (uint64_t)query->covered;
  rw_hist_add (&result->latency, sim->now - query->arrived);
}

static void
send_cancel (struct sim *sim, struct attempt *attempt)
{
  rw_time delay = delay_to_holder (sim, attempt->query->entry);

  attempt->query->refs++;
  sim_schedule (sim, sim->now + delay, EV_CANCEL_AT_HOLDER)->u.attempt
      = attempt;
}

/* Cancels the attempts of SHARD that have not ended.  */
static void
cancel_shard (struct sim *sim, struct shard *shard)
{
  for (int i = 0; i < shard->attempt_count; i++)
    if (shard->attempt[i].holder != NULL)
      send_cancel (sim, &shard->attempt[i]);
}

/* Answers QUERY with the shards covered so far and cancels the others.  */
static void
end_query (struct sim *sim, struct query *query)
{
  struct entry *entry = query->entry;

  query->ended = true;
  count_answer (sim, query);
  for (int i = 0; i < sim->config->shards; i++)
    if (!query->shards[i].answered)
      cancel_shard (sim, &query->shards[i]);
  adm_gate_leave (&entry->gate, &query->gate, sim->now);
  unref (sim, query);
  run_gate (sim, entry);
}

static bool
take_retry_token (struct entry *entry)
{
  if (entry->retry_budget < 1)
    return false;
  entry->retry_budget -= 1;
  return true;
}

/* Sends the part of SHARD to the next replica.  */
static void
send_part (struct sim *sim, struct query *query, int number)
{
  struct shard *shard = &query->shards[number];
  struct attempt *attempt = &shard->attempt[shard->attempt_count];
  int replicas = sim->config->replicas;
  int target = number * replicas
               + (shard->first_replica + shard->attempt_count) % replicas;
  rw_time delay = delay_to_holder (sim, query->entry);

  if (sim->config->design == SIM_INDEPENDENT)
    target += query->entry->number * sim_target_count (sim);
  attempt->query = query;
  attempt->shard = number;
  attempt->holder = &sim->holders[target];
  attempt->part.item.class_id = (unsigned int)query->class_id;
  attempt->part.item.deadline
      = query->gate.item.deadline - MERGE_ALLOWANCE - delay;
  attempt->part.shard = (uint32_t)number;
  attempt->part.snapshot = RW_LIT ("s1");
  /* A credit is used by the daemon that asked for it.  */
  if (sim->config->design == SIM_CREDITS)
    attempt->part.shard = (uint32_t)query->entry->number;
  shard->attempt_count++;
  shard->live++;
  query->refs++;
  sim_schedule (sim, sim->now + delay, EV_PART_AT_HOLDER)->u.attempt = attempt;
}

static void
schedule_hedge (struct sim *sim, struct query *query, int number)
{
  struct event *event;

  if (!sim->config->hedge || sim->config->replicas < 2)
    return;
  query->refs++;
  event = sim_schedule (sim, sim->now + query->entry->hedge_delay, EV_HEDGE);
  event->u.query = query;
  event->shard = number;
}

static void
start_query (struct sim *sim, struct query *query)
{
  struct entry *entry = query->entry;

  for (int i = 0; i < sim->config->shards; i++)
    {
      entry->retry_budget += RETRY_BUDGET_PER_SEND;
      query->shards[i].first_replica
          = (int)rw_rng_below (&sim->rng, (uint64_t)sim->config->replicas);
      send_part (sim, query, i);
      schedule_hedge (sim, query, i);
    }
  if (entry->retry_budget > RETRY_BUDGET_MAX)
    entry->retry_budget = RETRY_BUDGET_MAX;
  query->refs++;
  sim_schedule (sim, query->gate.item.deadline - MERGE_ALLOWANCE, EV_DEADLINE)
      ->u.query
      = query;
}

static void
refuse_query (struct sim *sim, struct query *query)
{
  if (is_measured (sim, query))
    sim->result->class_results[query->class_id].refused++;
  query->ended = true;
  unref (sim, query);
}

/* Starts and refuses the queries that the gate of ENTRY releases, and
   schedules its next wakeup.  */
static void
run_gate (struct sim *sim, struct entry *entry)
{
  struct adm_query *query;
  rw_time wake;

  while ((query = adm_gate_next_query (&entry->gate, sim->now)) != NULL)
    start_query (sim, (struct query *)query);
  while ((query = adm_gate_next_refused (&entry->gate, sim->now)) != NULL)
    refuse_query (sim, (struct query *)query);
  wake = adm_gate_next_wakeup (&entry->gate);
  if (wake >= entry->wake_at || wake == RW_TIME_NEVER)
    return;
  entry->wake_at = wake;
  sim_schedule (sim, wake, EV_GATE)->u.entry = entry;
}

/* Delivers the next query to a random entry daemon.  */
static void
arrive (struct sim *sim)
{
  const struct sim_config *config = sim->config;
  size_t size
      = sizeof (struct query) + (size_t)config->shards * sizeof (struct shard);
  struct query *query = rw_xcalloc (1, size);
  rw_time at;

  query->class_id = mdl_arrivals_take (&sim->arrivals, &at);
  query->entry
      = &sim->entries[rw_rng_below (&sim->rng, (uint64_t)config->entries)];
  query->arrived = at;
  query->refs = 1;
  query->unresolved = config->shards;
  query->gate.item.class_id = (unsigned int)query->class_id;
  query->gate.item.deadline
      = at + config->class_configs[query->class_id].deadline;
  slice_of (sim, at)->offered[query->class_id]++;
  if (is_measured (sim, query))
    sim->result->class_results[query->class_id].offered++;
  if (adm_gate_enter (&query->entry->gate, &query->gate, sim->now) != 0)
    refuse_query (sim, query);
  else
    run_gate (sim, query->entry);
}

/* Queues EV_ARRIVAL for the next arrival, unless an earlier one is queued or
   the arrivals have ended.  */
void
sim_schedule_arrival (struct sim *sim)
{
  rw_time next = mdl_arrivals_next (&sim->arrivals);

  if (next >= sim->arrival_at || next >= sim->config->arrivals_until)
    return;
  sim->arrival_at = next;
  sim_schedule (sim, next, EV_ARRIVAL);
}

static void
on_arrival (struct sim *sim)
{
  sim->arrival_at = RW_TIME_NEVER;
  while (mdl_arrivals_next (&sim->arrivals) <= sim->now)
    arrive (sim);
  sim_schedule_arrival (sim);
}

static void
on_change (struct sim *sim, size_t index)
{
  const struct sim_change *change = &sim->config->changes[index];

  mdl_arrivals_set_rate (&sim->arrivals, change->class_id, change->rate,
                         sim->now);
  sim_schedule_arrival (sim);
}

static void
on_hedge (struct sim *sim, struct query *query, int number)
{
  struct shard *shard = &query->shards[number];

  if (!query->ended && !shard->answered && shard->attempt_count == 1
      && take_retry_token (query->entry))
    send_part (sim, query, number);
  unref (sim, query);
}

/* Records the latency of a part, and recomputes the hedge delay of ENTRY after
   each HEDGE_SAMPLE_COUNT of them.  */
static void
note_part_latency (struct entry *entry, rw_time latency)
{
  rw_hist_add (&entry->part_latency, latency);
  if (entry->part_latency.count < HEDGE_SAMPLE_COUNT)
    return;
  entry->hedge_delay = rw_hist_quantile (&entry->part_latency, 0.95);
  if (entry->hedge_delay < HEDGE_DELAY_MIN)
    entry->hedge_delay = HEDGE_DELAY_MIN;
  rw_hist_init (&entry->part_latency);
}

/* Returns whether refusal CODE shows that the target is overloaded.  */
static bool
is_overload (int code)
{
  return code == RW_E_QUEUE_FULL || code == RW_E_DEADLINE || code == RW_E_SHED;
}

/* Handles the result of ATTEMPT at its entry daemon: counts the shard as
   covered, or retries on another replica if the retry budget allows it.  */
static void
on_result (struct sim *sim, struct attempt *attempt, bool ok)
{
  struct query *query = attempt->query;
  struct shard *shard = &query->shards[attempt->shard];

  shard->live--;
  if (!query->ended && !shard->answered)
    {
      if (ok)
        {
          note_part_latency (query->entry, sim->now - query->arrived);
          shard->answered = true;
          query->covered++;
          query->unresolved--;
          cancel_shard (sim, shard);
        }
      else if (shard->attempt_count < 2 && sim->config->replicas > 1
               && take_retry_token (query->entry))
        send_part (sim, query, attempt->shard);
      else if (shard->live == 0)
        {
          query->unresolved--;
          if (is_overload (attempt->part.item.refusal.code))
            adm_gate_on_overload (&query->gate);
        }
      if (query->unresolved == 0)
        end_query (sim, query);
    }
  unref (sim, query);
}

/* Sends the result of ATTEMPT, which has left the holder, to its entry daemon.
 */
static void
send_result (struct sim *sim, struct attempt *attempt, bool ok, rw_time delay)
{
  struct event *event;

  attempt->holder = NULL;
  event = sim_schedule (sim, sim->now + delay, EV_RESULT_AT_ENTRY);
  event->u.attempt = attempt;
  event->ok = ok;
}

static void
send_refusal (struct sim *sim, struct attempt *attempt)
{
  send_result (sim, attempt, false,
               delay_to_holder (sim, attempt->query->entry));
}

static void
on_part_at_holder (struct sim *sim, struct attempt *attempt)
{
  struct holder *holder = attempt->holder;

  if (adm_enqueue (&holder->target, &attempt->part, sim->now, RW_TIME_NEVER)
      != 0)
    send_refusal (sim, attempt);
  else
    run_holder (sim, holder);
}

/* Returns the number of idle connections from the daemon that dispatches
   EXCHANGE to its searcher.  */
static int *
idle_connections (struct sim *sim, const struct exchange *exchange)
{
  int daemon = exchange->entry != NULL ? exchange->entry->number
                                       : sim->config->entries;
  int target = (int)(exchange->holder->searcher - sim->searchers);

  return &sim->idle[daemon * sim_target_count (sim) + target];
}

/* Returns the one-way delay between the daemon that dispatches EXCHANGE and
   the searcher.  */
static rw_time
delay_to_searcher (const struct sim *sim, const struct exchange *exchange)
{
  return exchange->entry != NULL ? one_way_delay (sim, exchange->entry)
                                 : sim->config->one_way_local;
}

/* Sends EXCHANGE to the searcher on an idle connection, or on a new one if
   there is none.  */
static void
on_dispatch (struct sim *sim, struct exchange *exchange)
{
  int *idle = idle_connections (sim, exchange);
  rw_time at = sim->now + delay_to_searcher (sim, exchange);

  if (*idle > 0)
    {
      (*idle)--;
      exchange->connected = true;
    }
  else
    at += sim->config->searcher.connect_time;
  sim_schedule (sim, at, EV_AT_SEARCHER)->u.exchange = exchange;
}

static void
start_exchange (struct sim *sim, struct holder *holder,
                struct exchange *exchange)
{
  const struct attempt *first = (const struct attempt *)exchange->adm.parts[0];
  rw_time at = sim->now;

  exchange->holder = holder;
  exchange->entry = holder->entry;
  exchange->incarnation = holder->searcher->model.incarnation;
  if (sim->config->design == SIM_CREDITS)
    {
      exchange->entry = first->query->entry;
      at += one_way_delay (sim, exchange->entry);
    }
  sim_schedule (sim, at, EV_DISPATCH)->u.exchange = exchange;
}

/* Cancels, starts and refuses what the admission of HOLDER releases, and
   schedules its next wakeup.  */
static void
run_holder (struct sim *sim, struct holder *holder)
{
  struct exchange *exchange = rw_xcalloc (1, sizeof *exchange);
  struct adm_exchange *recalled;
  struct adm_part *part;
  rw_time wake;

  while ((recalled = adm_recall (&holder->target, sim->now)) != NULL)
    cancel_at_searcher (sim, (struct exchange *)recalled);
  while (adm_next_exchange (&holder->target, &exchange->adm, sim->now,
                            RW_TIME_NEVER))
    {
      start_exchange (sim, holder, exchange);
      exchange = rw_xcalloc (1, sizeof *exchange);
    }
  free (exchange);
  while ((part = adm_next_refused (&holder->target, sim->now, RW_TIME_NEVER))
         != NULL)
    send_refusal (sim, (struct attempt *)part);
  wake = adm_next_wakeup (&holder->target);
  if (wake >= holder->wake_at || wake == RW_TIME_NEVER)
    return;
  holder->wake_at = wake;
  sim_schedule (sim, wake, EV_HOLDER)->u.holder = holder;
}

/* Sends the answer to EXCHANGE, or the loss of its connection, from the
   searcher to the dispatching daemon.  */
static void
send_answer (struct sim *sim, struct exchange *exchange,
             enum adm_outcome_kind kind)
{
  exchange->outcome.kind = kind;
  exchange->at_searcher = false;
  switch (kind)
    {
    case ADM_OK:
      exchange->outcome.u.ok.incarnation = exchange->incarnation;
      exchange->outcome.u.ok.load
          = mdl_load (&exchange->holder->searcher->model);
      break;
    case ADM_SHED:
      exchange->outcome.u.shed.retry_after
          = exchange->holder->searcher->model.config.shed_retry;
      break;
    case ADM_CANCELLED:
      exchange->outcome.u.cancelled.confirmed = true;
      break;
    case ADM_EXPIRED:
      exchange->outcome.u.expired.answered = true;
      break;
    case ADM_LOST:
      exchange->outcome.u.lost.sent = exchange->connected;
      break;
    case ADM_NOT_RUN:
    case ADM_ERROR:
      break;
    }
  sim_schedule (sim, sim->now + delay_to_searcher (sim, exchange), EV_ANSWERED)
      ->u.exchange
      = exchange;
}

static void
run_searcher (struct sim *sim, struct searcher *searcher)
{
  struct mdl_request *request;
  rw_time wake;

  while ((request = mdl_next_done (&searcher->model, sim->now)) != NULL)
    switch (request->end)
      {
      case MDL_END_OK:
        send_answer (sim, request->user, ADM_OK);
        break;
      case MDL_END_EXPIRED:
        send_answer (sim, request->user, ADM_EXPIRED);
        break;
      case MDL_END_FAILED:
        send_answer (sim, request->user, ADM_LOST);
        break;
      }
  wake = mdl_next_event (&searcher->model);
  if (wake >= searcher->wake_at || wake == RW_TIME_NEVER)
    return;
  searcher->wake_at = wake;
  sim_schedule (sim, wake, EV_SEARCHER)->u.searcher = searcher;
}

/* Delivers EXCHANGE to the searcher, on a connection to its current process.
 */
static void
on_at_searcher (struct sim *sim, struct exchange *exchange)
{
  struct searcher *searcher = exchange->holder->searcher;
  struct mdl_searcher *model = &searcher->model;

  if (exchange->cancel)
    {
      send_answer (sim, exchange, ADM_CANCELLED);
      return;
    }
  if (!exchange->connected)
    exchange->connected = mdl_connect (model, sim->now);
  exchange->incarnation = model->incarnation;
  exchange->request.parts = (int)exchange->adm.count;
  exchange->request.deadline = exchange->adm.deadline;
  exchange->request.user = exchange;
  if (!exchange->connected)
    {
      send_answer (sim, exchange, ADM_LOST);
      return;
    }
  switch (mdl_arrive (model, &exchange->request, sim->now))
    {
    case MDL_ACCEPTED:
      exchange->at_searcher = true;
      run_searcher (sim, searcher);
      break;
    case MDL_SHED:
    case MDL_DRAINING:
      send_answer (sim, exchange, ADM_SHED);
      break;
    case MDL_DOWN:
      send_answer (sim, exchange, ADM_LOST);
      break;
    }
}

/* Handles the answer at the daemon that dispatched EXCHANGE.  The connection
   becomes idle, or is closed if it was lost.  */
static void
on_answered (struct sim *sim, struct exchange *exchange)
{
  struct adm_exchange *adm = &exchange->adm;
  rw_time delay = 0;
  bool reusable = exchange->outcome.kind != ADM_LOST
                  && exchange->incarnation
                         == exchange->holder->searcher->model.incarnation;

  if (exchange->connected && reusable)
    (*idle_connections (sim, exchange))++;
  else if (exchange->connected
           && exchange->incarnation
                  == exchange->holder->searcher->model.incarnation)
    mdl_disconnect (&exchange->holder->searcher->model);
  if (sim->config->design == SIM_CREDITS)
    delay = one_way_delay (sim, exchange->entry);
  for (size_t i = 0; i < adm->count; i++)
    if (adm->parts[i] != NULL)
      {
        struct attempt *attempt = (struct attempt *)adm->parts[i];

        adm->parts[i]->exchange = NULL;
        adm->parts[i] = NULL;
        send_result (sim, attempt, exchange->outcome.kind == ADM_OK,
                     sim->config->design == SIM_CREDITS
                         ? 0
                         : delay_to_holder (sim, attempt->query->entry));
      }
  sim_schedule (sim, sim->now + delay, EV_DONE)->u.exchange = exchange;
}

static void
on_done (struct sim *sim, struct exchange *exchange)
{
  struct holder *holder = exchange->holder;

  adm_on_done (&holder->target, &exchange->adm, &exchange->outcome, sim->now);
  exchange->done = true;
  if (!exchange->cancel_pending)
    free (exchange);
  run_holder (sim, holder);
}

/* Sends a cancellation of EXCHANGE to its searcher.  */
static void
cancel_at_searcher (struct sim *sim, struct exchange *exchange)
{
  exchange->cancel = exchange->cancel_pending = true;
  sim_schedule (sim, sim->now + delay_to_searcher (sim, exchange),
                EV_CANCEL_AT_SEARCHER)
      ->u.exchange
      = exchange;
}

static void
on_cancel_at_holder (struct sim *sim, struct attempt *attempt)
{
  struct holder *holder = attempt->holder;
  struct adm_exchange *adm;

  if (holder != NULL)
    {
      if (adm_on_cancel (&holder->target, &attempt->part, &adm)
          == ADM_CANCEL_EXCHANGE)
        cancel_at_searcher (sim, (struct exchange *)adm);
      send_refusal (sim, attempt);
    }
  unref (sim, attempt->query);
}

static void
cancel_exchange (struct sim *sim, struct exchange *exchange)
{
  mdl_cancel (&exchange->holder->searcher->model, &exchange->request,
              sim->now);
  send_answer (sim, exchange, ADM_CANCELLED);
  run_searcher (sim, exchange->holder->searcher);
}

static void
on_cancel_at_searcher (struct sim *sim, struct exchange *exchange)
{
  exchange->cancel_pending = false;
  if (exchange->done)
    free (exchange);
  else if (exchange->at_searcher)
    cancel_exchange (sim, exchange);
}

/* Restarts all searchers; all connections are lost.  */
static void
on_restart (struct sim *sim)
{
  for (int i = 0; i < sim_target_count (sim); i++)
    {
      mdl_restart (&sim->searchers[i].model, sim->config->restart_down,
                   sim->now);
      run_searcher (sim, &sim->searchers[i]);
    }
  memset (sim->idle, 0,
          (size_t)(sim->config->entries + 1) * (size_t)sim_target_count (sim)
              * sizeof sim->idle[0]);
}

static void
on_deadline (struct sim *sim, struct query *query)
{
  if (!query->ended)
    end_query (sim, query);
  unref (sim, query);
}

/* Handles EVENT at the time sim->now.  */
void
sim_handle (struct sim *sim, struct event *event)
{
  switch (event->kind)
    {
    case EV_ARRIVAL:
      on_arrival (sim);
      break;
    case EV_CHANGE:
      on_change (sim, event->u.index);
      break;
    case EV_RESTART:
      on_restart (sim);
      break;
    case EV_GATE:
      event->u.entry->wake_at = RW_TIME_NEVER;
      run_gate (sim, event->u.entry);
      break;
    case EV_HEDGE:
      on_hedge (sim, event->u.query, event->shard);
      break;
    case EV_DEADLINE:
      on_deadline (sim, event->u.query);
      break;
    case EV_PART_AT_HOLDER:
      on_part_at_holder (sim, event->u.attempt);
      break;
    case EV_RESULT_AT_ENTRY:
      on_result (sim, event->u.attempt, event->ok);
      break;
    case EV_CANCEL_AT_HOLDER:
      on_cancel_at_holder (sim, event->u.attempt);
      break;
    case EV_HOLDER:
      event->u.holder->wake_at = RW_TIME_NEVER;
      run_holder (sim, event->u.holder);
      break;
    case EV_DISPATCH:
      on_dispatch (sim, event->u.exchange);
      break;
    case EV_AT_SEARCHER:
      on_at_searcher (sim, event->u.exchange);
      break;
    case EV_SEARCHER:
      event->u.searcher->wake_at = RW_TIME_NEVER;
      run_searcher (sim, event->u.searcher);
      break;
    case EV_CANCEL_AT_SEARCHER:
      on_cancel_at_searcher (sim, event->u.exchange);
      break;
    case EV_ANSWERED:
      on_answered (sim, event->u.exchange);
      break;
    case EV_DONE:
      on_done (sim, event->u.exchange);
      break;
    }
}
