#include "world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

void
scn_init (struct scn_world *world, uint64_t seed, unsigned int disabled)
{
  memset (world, 0, sizeof *world);
  rw_rng_init (&world->rng, seed);
  rw_heap_init (&world->events);
  rw_map_init (&world->exchanges);
  rw_hist_init (&world->figures.latency);
  world->now = SCN_START_TIME;
  world->disabled = disabled;
  world->delay_local = 200 * RW_USEC;
  world->delay_dc = 1500 * RW_USEC;
  world->platform_delay = 3 * RW_MSEC;
  scn_event (world, world->now, SCN_BALANCER);
}

/* Schedules an event and returns it, for the caller to fill in.  */
struct scn_event *
scn_event (struct scn_world *world, rw_time at, enum scn_event_kind kind)
{
  struct scn_event *event = rw_xcalloc (1, sizeof *event);

  event->kind = kind;
  rw_buf_init (&event->data);
  rw_heap_push (&world->events, at, event);
  return event;
}

static void
event_free (struct scn_event *event)
{
  rw_buf_finish (&event->data);
  free (event);
}

size_t
scn_add_daemon (struct scn_world *world, const char *name, const char *dc)
{
  size_t index = world->daemon_count++;
  struct scn_daemon *daemon = &world->daemons[index];

  if (index >= SCN_DAEMONS)
    abort ();
  rw_str_copy (daemon->name, sizeof daemon->name, rw_str_from (name));
  rw_str_copy (daemon->dc, sizeof daemon->dc, rw_str_from (dc));
  snprintf (daemon->addr.host, sizeof daemon->addr.host, "192.0.2.%zu",
            index + 1);
  daemon->addr.port = 7000;
  daemon->listed = true;
  return index;
}

struct scn_daemon *
scn_daemon (struct scn_world *world, const char *name)
{
  for (size_t i = 0; i < world->daemon_count; i++)
    if (strcmp (world->daemons[i].name, name) == 0)
      return &world->daemons[i];
  return NULL;
}

/* Starts the process of a daemon, with empty memory.  */
void
scn_start (struct scn_world *world, size_t index)
{
  struct scn_daemon *daemon = &world->daemons[index];
  struct nod_settings settings
      = { .vm = rw_str_from (daemon->name),
          .dc = rw_str_from (daemon->dc),
          .addr = rw_str_from (daemon->addr.host),
          .rpc_port = daemon->addr.port,
          .incarnation = rw_rng_next (&world->rng) | 1,
          .seed = rw_rng_next (&world->rng),
          .disabled_mechanisms = world->disabled,
          .drain_delay = 500 * RW_MSEC };

  if (daemon->node != NULL)
    return;
  daemon->starts++;
  daemon->frozen_until = 0;
  daemon->stopping = false;
  daemon->rules_seen = 0;
  daemon->node = nod_new (&settings, world->now);
  daemon->tick_at = RW_TIME_NEVER;
  scn_drain_actions (world, index);
}

/* Ends the process of a daemon; STOP: it ended by itself after a drain.  */
void
scn_kill (struct scn_world *world, size_t index, bool stop)
{
  struct scn_daemon *daemon = &world->daemons[index];

  if (daemon->node == NULL)
    return;
  nod_free (daemon->node);
  daemon->node = NULL;
  scn_close_conns (world, index);
  scn_lost_requests (world, index, stop);
}

bool
scn_running (const struct scn_world *world, size_t index, unsigned int start)
{
  return world->daemons[index].node != NULL
         && world->daemons[index].starts == start;
}

/* Schedules the next tick of a daemon.  */
void
scn_reschedule (struct scn_world *world, size_t index)
{
  struct scn_daemon *daemon = &world->daemons[index];
  struct scn_event *event;
  rw_time at;

  if (daemon->node == NULL)
    return;
  at = nod_next_wakeup (daemon->node);
  if (at == RW_TIME_NEVER)
    return;
  if (at <= world->now)
    at = world->now + 1;
  if (daemon->tick_at > world->now && daemon->tick_at <= at)
    return;
  daemon->tick_at = at;
  event = scn_event (world, at, SCN_TICK);
  event->daemon = index;
  event->daemon_start = daemon->starts;
}

static void
on_log (const struct scn_world *world, size_t index,
        const struct nod_action *action)
{
  if (world->verbose)
    printf ("%9.3f %s: %s: %.*s\n",
            (double)(world->now - SCN_START_TIME) / 1e6,
            world->daemons[index].name, action->u.log.part,
            RW_STR_ARG (rw_buf_str (&action->data)));
}

/* Carries out what the node of a daemon asked for.  */
void
scn_drain_actions (struct scn_world *world, size_t index)
{
  struct scn_daemon *daemon = &world->daemons[index];
  struct nod_action action;

  while (daemon->node != NULL && nod_next_action (daemon->node, &action))
    {
      switch (action.kind)
        {
        case NOD_SEND_DATAGRAM:
          scn_send_datagram (world, index, &action);
          break;
        case NOD_SEND_RECORD:
          scn_send_record (world, index, &action);
          break;
        case NOD_START_EXCHANGE:
          scn_start_exchange (world, index, &action);
          break;
        case NOD_CANCEL_EXCHANGE:
          scn_cancel_exchange (world, index, action.u.cancel.exchange);
          break;
        case NOD_ANSWER:
          scn_on_answer (world, index, &action);
          break;
        case NOD_READ_DOC:
          scn_read_doc (world, index, &action);
          break;
        case NOD_WRITE_LOG:
          on_log (world, index, &action);
          break;
        case NOD_WRITE_SPAN:
          break;
        }
      nod_action_finish (&action);
    }
  if (daemon->node != NULL && daemon->stopping && nod_drained (daemon->node))
    scn_kill (world, index, true);
  scn_reschedule (world, index);
}

static void
on_tick (struct scn_world *world, struct scn_event *event)
{
  if (!scn_running (world, event->daemon, event->daemon_start))
    return;
  nod_tick (world->daemons[event->daemon].node, world->now);
  scn_drain_actions (world, event->daemon);
}

/* Returns whether the event goes to the process of a daemon, which does not
   run while it is frozen.  */
static bool
is_for_process (const struct scn_event *event)
{
  switch (event->kind)
    {
    case SCN_TICK:
    case SCN_DATAGRAM:
    case SCN_RECORD:
    case SCN_CONN_OPEN:
    case SCN_CONN_CLOSED:
    case SCN_UNSENT:
    case SCN_REPLY:
    case SCN_EXCHANGE_TIMEOUT:
    case SCN_DOC:
      return true;
    default:
      return false;
    }
}

static void
handle (struct scn_world *world, struct scn_event *event)
{
  switch (event->kind)
    {
    case SCN_TICK:
      on_tick (world, event);
      break;
    case SCN_START:
      scn_start (world, event->daemon);
      break;
    case SCN_DATAGRAM:
    case SCN_RECORD:
    case SCN_CONN_OPEN:
    case SCN_CONN_CLOSED:
    case SCN_UNSENT:
      scn_network_event (world, event);
      break;
    case SCN_ARRIVE:
    case SCN_MODEL:
    case SCN_REPLY:
    case SCN_EXCHANGE_TIMEOUT:
    case SCN_SWITCH_SNAPSHOT:
      scn_searcher_event (world, event);
      break;
    case SCN_DOC:
      scn_platform_event (world, event);
      break;
    case SCN_LOAD:
    case SCN_REPEAT:
      scn_load_event (world, event);
      break;
    case SCN_BALANCER:
      scn_balancer_event (world);
      break;
    case SCN_CHECK:
      scn_check_rules (world);
      break;
    }
}

/* Runs all events up to the time AT.  */
void
scn_run_until (struct scn_world *world, rw_time at)
{
  while (rw_heap_next (&world->events) <= at)
    {
      rw_time when;
      struct scn_event *event = rw_heap_pop (&world->events, &when);

      world->now = when;
      if (is_for_process (event)
          && world->daemons[event->daemon].frozen_until > when)
        {
          rw_heap_push (&world->events,
                        world->daemons[event->daemon].frozen_until, event);
          continue;
        }
      handle (world, event);
      event_free (event);
    }
  world->now = at;
}

static void
free_services (struct scn_world *world)
{
  while (world->services != NULL)
    {
      struct scn_service *service = world->services;

      world->services = service->next;
      for (size_t i = 0; i < service->searcher_count; i++)
        {
          mdl_searcher_finish (&service->searchers[i].model);
          rw_buf_finish (&service->searchers[i].last_answer);
        }
      free (service->searchers);
      free (service);
    }
}

static void
free_docs (struct scn_world *world)
{
  while (world->docs != NULL)
    {
      struct scn_doc *doc = world->docs;

      world->docs = doc->next;
      rw_buf_finish (&doc->body);
      rw_buf_finish (&doc->old_body);
      free (doc);
    }
}

void
scn_finish (struct scn_world *world)
{
  struct scn_event *event;
  struct scn_exchange *exchange;
  size_t position = 0;

  for (size_t i = 0; i < world->daemon_count; i++)
    if (world->daemons[i].node != NULL)
      nod_free (world->daemons[i].node);
  while ((event = rw_heap_pop (&world->events, NULL)) != NULL)
    event_free (event);
  rw_heap_finish (&world->events);
  while ((exchange = rw_map_next (&world->exchanges, &position)) != NULL)
    {
      rw_buf_finish (&exchange->body);
      free (exchange);
    }
  rw_map_finish (&world->exchanges);
  free_services (world);
  free_docs (world);
  for (size_t i = 0; i < world->conn_count; i++)
    free (world->conns[i]);
  for (size_t i = 0; i < world->read_count; i++)
    free (world->reads[i]);
  for (size_t i = 0; i < world->load_count; i++)
    free (world->loads[i]);
  for (size_t i = 0; i < world->request_count; i++)
    free (world->requests[i]);
  free (world->conns);
  free (world->reads);
  free (world->loads);
  free (world->requests);
}
