#include "world.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time between a daemon and a searcher, one way; the data centre of the
   daemon does not matter for what the scenarios check.  */
#define TARGET_DELAY (200 * RW_USEC)
/* Time after the deadline of an exchange at which the daemon gives up.  */
#define GRACE (5 * RW_MSEC)
/* The holder knows the clock of the entry daemon as exactly as the round trip
   between them.  */
#define CLOCK_ERROR (5 * RW_MSEC)

struct scn_service *
scn_service (struct scn_world *world, const char *name)
{
  struct scn_service *service = world->services;

  while (service != NULL && strcmp (service->name, name) != 0)
    service = service->next;
  return service;
}

struct scn_searcher *
scn_searcher (struct scn_world *world, const char *name)
{
  for (struct scn_service *s = world->services; s != NULL; s = s->next)
    for (size_t i = 0; i < s->searcher_count; i++)
      if (strcmp (s->searchers[i].name, name) == 0)
        return &s->searchers[i];
  return NULL;
}

static uint64_t
exchange_key (const struct scn_world *world, size_t daemon, uint64_t number)
{
  return rw_hash_u64 (rw_hash_u64 (daemon, world->daemons[daemon].starts),
                      number);
}

/* Schedules the next event of the model of SEARCHER.  */
void
scn_model_schedule (struct scn_world *world, struct scn_searcher *searcher)
{
  rw_time at = mdl_next_event (&searcher->model);

  if (at == RW_TIME_NEVER)
    return;
  if (at < world->now)
    at = world->now;
  if (searcher->event_at > world->now && searcher->event_at <= at)
    return;
  searcher->event_at = at;
  scn_event (world, at, SCN_MODEL)->object = searcher;
}

void
scn_start_exchange (struct scn_world *world, size_t daemon,
                    const struct nod_action *action)
{
  struct scn_exchange *exchange = rw_xcalloc (1, sizeof *exchange);
  struct scn_event *event;
  rw_time delay = TARGET_DELAY;

  exchange->number = action->u.start.exchange;
  exchange->daemon = daemon;
  exchange->daemon_start = world->daemons[daemon].starts;
  exchange->searcher = scn_searcher (world, action->u.start.target);
  exchange->kind = action->u.start.kind;
  exchange->deadline = world->now + action->u.start.timeout;
  rw_str_copy (exchange->key, sizeof exchange->key,
               rw_str_from (action->u.start.idempotency_key));
  rw_buf_init (&exchange->body);
  rw_buf_append_str (&exchange->body, rw_buf_str (&action->data));
  rw_map_put (&world->exchanges,
              exchange_key (world, daemon, exchange->number), exchange);
  event = scn_event (world, exchange->deadline + GRACE, SCN_EXCHANGE_TIMEOUT);
  event->daemon = daemon;
  event->daemon_start = exchange->daemon_start;
  event->object = exchange;
  if (exchange->searcher == NULL || world->daemons[daemon].targets_cut)
    return;
  if (exchange->searcher->idle_connections > 0)
    exchange->searcher->idle_connections--;
  else
    delay += exchange->searcher->model.config.connect_time;
  scn_event (world, world->now + delay, SCN_ARRIVE)->object = exchange;
}

static void
reply (struct scn_world *world, struct scn_exchange *exchange, int status,
       struct rw_str body)
{
  struct scn_event *event
      = scn_event (world, world->now + TARGET_DELAY, SCN_REPLY);

  exchange->searcher->idle_connections++;
  event->daemon = exchange->daemon;
  event->daemon_start = exchange->daemon_start;
  event->object = exchange;
  event->value = status;
  rw_buf_append_str (&event->data, body);
}

/* Cancelling tells the searcher, which stops at once and answers 499.  */
void
scn_cancel_exchange (struct scn_world *world, size_t daemon, uint64_t number)
{
  struct scn_exchange *exchange
      = rw_map_get (&world->exchanges, exchange_key (world, daemon, number));

  if (exchange == NULL || !exchange->arrived)
    return;
  mdl_cancel (&exchange->searcher->model, &exchange->request, world->now);
  exchange->arrived = false;
  reply (world, exchange, 499, RW_LIT ("{}"));
  scn_model_schedule (world, exchange->searcher);
}

static void
note_late_work (struct scn_world *world, struct scn_searcher *searcher)
{
  if (searcher->out_since != RW_TIME_NEVER
      && world->now > searcher->out_since + SCN_RULE_LIMIT)
    searcher->late_work++;
}

static const char *
text_member (json_t *object, const char *name)
{
  const char *value = json_string_value (json_object_get (object, name));

  return value != NULL ? value : "";
}

/* The records of shard SHARD: record r is in shard r mod SHARDS.  The text
   names snapshot and query, so that a wrong answer is noticed.  */
static json_t *
records_of (const struct scn_searcher *searcher, uint32_t shard,
            const char *query)
{
  json_t *records = json_array ();

  for (uint32_t r = shard; r < searcher->service->records;
       r += searcher->shards)
    {
      char id[32];
      char text[2 * SCN_NAME + 2];

      snprintf (id, sizeof id, "r%u", r);
      snprintf (text, sizeof text, "%s %s", searcher->snapshot, query);
      json_array_append_new (records,
                             json_pack ("{s:s,s:f,s:s}", "id", id, "score",
                                        1.0 / (r + 1), "text", text));
    }
  return records;
}

static void
answer_search (struct scn_world *world, struct scn_exchange *exchange)
{
  const struct scn_searcher *searcher = exchange->searcher;
  json_t *request
      = json_loadb (exchange->body.ptr, exchange->body.len, 0, NULL);
  uint32_t shard
      = (uint32_t)json_integer_value (json_object_get (request, "shard"));
  json_t *queries = json_object_get (request, "queries");
  json_t *results = json_array ();
  json_t *root;
  json_t *query;
  size_t i;
  char *text;

  json_array_foreach (queries, i, query)
  {
    json_t *result
        = json_pack ("{s:s,s:o}", "id", text_member (query, "id"), "records",
                     records_of (searcher, shard, text_member (query, "q")));

    json_array_append_new (results, result);
  }
  root = json_pack ("{s:s,s:I,s:s,s:i,s:i,s:o}", "target", searcher->name,
                    "incarnation", (json_int_t)searcher->model.incarnation,
                    "snapshot", searcher->snapshot, "shard", (int)shard,
                    "load", mdl_load (&searcher->model), "results", results);
  text = json_dumps (root, JSON_COMPACT);
  if (rw_rng_unit (&world->rng) < world->crossed
      && exchange->searcher->last_answer.len != 0)
    reply (world, exchange, 200,
           rw_buf_str (&exchange->searcher->last_answer));
  else
    reply (world, exchange, 200, rw_str_from (text));
  rw_buf_finish (&exchange->searcher->last_answer);
  rw_buf_append_str (&exchange->searcher->last_answer, rw_str_from (text));
  free (text);
  json_decref (root);
  json_decref (request);
}

/* Counts a run of a once request.  */
static void
run_once (struct scn_world *world, struct scn_exchange *exchange)
{
  struct scn_request *request
      = scn_request_by_text (world, rw_str_from (exchange->key));

  exchange->searcher->once_arrived++;
  if (request == NULL)
    return;
  request->runs++;
  if (world->now > request->deadline + CLOCK_ERROR)
    request->late = true;
}

static int
part_count (const struct scn_exchange *exchange)
{
  json_t *request;
  size_t count;

  if (exchange->kind != NOD_EXCHANGE_SEARCH)
    return 1;
  request = json_loadb (exchange->body.ptr, exchange->body.len, 0, NULL);
  count = json_array_size (json_object_get (request, "queries"));
  json_decref (request);
  return count > 0 ? (int)count : 1;
}

static bool
is_other_snapshot (const struct scn_world *world,
                   const struct scn_exchange *exchange)
{
  json_t *request;
  bool other;

  if (exchange->kind != NOD_EXCHANGE_SEARCH)
    return false;
  request = json_loadb (exchange->body.ptr, exchange->body.len, 0, NULL);
  other = strcmp (text_member (request, "snapshot"),
                  exchange->searcher->snapshot)
          != 0;
  json_decref (request);
  /* Without the check, a searcher serves what it has, as many do.  */
  return other && (world->disabled & NOD_MECH_SNAPSHOT) == 0;
}

static void
on_arrive (struct scn_world *world, struct scn_exchange *exchange)
{
  struct scn_searcher *searcher = exchange->searcher;
  enum mdl_arrival arrival;
  int peak;

  note_late_work (world, searcher);
  if (is_other_snapshot (world, exchange))
    {
      char body[SCN_NAME + 32];

      snprintf (body, sizeof body, "{\"snapshot\":\"%s\"}",
                searcher->snapshot);
      reply (world, exchange, 409, rw_str_from (body));
      return;
    }
  exchange->request.parts = part_count (exchange);
  exchange->request.deadline = exchange->deadline;
  exchange->request.user = exchange;
  peak = searcher->model.stats.peak_permille;
  arrival = mdl_arrive (&searcher->model, &exchange->request, world->now);
  if (world->verbose && searcher->model.stats.peak_permille > 1000
      && searcher->model.stats.peak_permille > peak)
    printf ("%9.3f %s: overrun by %s\n",
            (double)(world->now - SCN_START_TIME) / 1e6, searcher->name,
            world->daemons[exchange->daemon].name);
  switch (arrival)
    {
    case MDL_ACCEPTED:
      exchange->arrived = true;
      if (exchange->kind == NOD_EXCHANGE_ONCE)
        run_once (world, exchange);
      break;
    case MDL_SHED:
    case MDL_DRAINING:
      reply (world, exchange, 503, RW_LIT ("{\"ran\":\"no\"}"));
      break;
    case MDL_DOWN:
      reply (world, exchange, -1, RW_LIT (""));
      break;
    }
  scn_model_schedule (world, searcher);
}

static void
on_model (struct scn_world *world, struct scn_searcher *searcher)
{
  struct mdl_request *request;

  while ((request = mdl_next_done (&searcher->model, world->now)) != NULL)
    {
      struct scn_exchange *exchange = request->user;

      exchange->arrived = false;
      if (request->end == MDL_END_OK && exchange->kind == NOD_EXCHANGE_SEARCH)
        answer_search (world, exchange);
      else if (request->end == MDL_END_OK)
        reply (world, exchange, 200, RW_LIT ("{\"done\":true}"));
      else
        reply (world, exchange, -1, RW_LIT (""));
    }
  scn_model_schedule (world, searcher);
}

static void
fail_exchange (struct scn_world *world, struct scn_exchange *exchange,
               const char *detail)
{
  struct rw_err err = { 0 };

  rw_err_set (
      &err, RW_E_RESET, "exchange",
      rw_str_from (exchange->searcher != NULL ? exchange->searcher->name : ""),
      "%s", detail);
  nod_on_exchange_failed (world->daemons[exchange->daemon].node,
                          exchange->number, true, &err, world->now);
}

static void
on_reply (struct scn_world *world, struct scn_event *event)
{
  struct scn_exchange *exchange = event->object;

  if (exchange->ended
      || !scn_running (world, event->daemon, event->daemon_start))
    return;
  exchange->ended = true;
  if (event->value < 0)
    fail_exchange (world, exchange, "connection reset");
  else
    nod_on_exchange_reply (world->daemons[event->daemon].node,
                           exchange->number, (int)event->value, -1,
                           rw_buf_str (&event->data), world->now);
  scn_drain_actions (world, event->daemon);
}

static void
on_timeout (struct scn_world *world, struct scn_event *event)
{
  struct scn_exchange *exchange = event->object;

  if (exchange->ended
      || !scn_running (world, event->daemon, event->daemon_start))
    return;
  exchange->ended = true;
  fail_exchange (world, exchange, "no answer in time");
  scn_drain_actions (world, event->daemon);
}

void
scn_searcher_event (struct scn_world *world, struct scn_event *event)
{
  struct scn_searcher *searcher = event->object;

  switch (event->kind)
    {
    case SCN_ARRIVE:
      on_arrive (world, event->object);
      break;
    case SCN_MODEL:
      on_model (world, searcher);
      break;
    case SCN_REPLY:
      on_reply (world, event);
      break;
    case SCN_EXCHANGE_TIMEOUT:
      on_timeout (world, event);
      break;
    case SCN_SWITCH_SNAPSHOT:
      rw_str_copy (searcher->snapshot, sizeof searcher->snapshot,
                   rw_str_from (event->text));
      searcher->shards = (uint32_t)event->value;
      break;
    default:
      break;
    }
}
