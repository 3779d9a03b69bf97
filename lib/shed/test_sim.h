/* A simulation in virtual time of daemons that send the parts of queries to
   searchers with FIFO queues, with the decisions of lib/steer, lib/gather and
   lib/shed, and without any network.  */

#ifndef SHD_TEST_SIM_H
#define SHD_TEST_SIM_H

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gather.h"
#include "shed.h"
#include "steer.h"

#define SIM_MAX_SHARDS 40
#define SIM_COPIES 2
#define SIM_MAX_DAEMONS 40
#define SIM_MAX_SECONDS 64
#define SIM_ROUTES 2
/* One way, between any two processes.  */
#define SIM_NET_TIME (200 * RW_USEC)
#define SIM_CONNECT_TIME (6 * RW_MSEC)
#define SIM_QUEUE_LIMIT 12
#define SIM_PAUSE_INTERVAL (4500 * RW_MSEC)
#define SIM_PAUSE_TIME (200 * RW_MSEC)

enum sim_route_id
{
  SIM_BULK,
  SIM_URGENT
};

struct sim_route_config
{
  const char *name;
  unsigned int priority;
  rw_time aim;
  rw_time timeout;
  rw_time work; /* mean, of one part */
  double min_share;
  double rate; /* requests per second at factor 1, all daemons */
};

static const struct sim_route_config sim_routes[SIM_ROUTES] = {
  [SIM_BULK]
  = { "bulk", 1, 150 * RW_MSEC, 1500 * RW_MSEC, 20 * RW_MSEC, 0.89, 67.5 },
  [SIM_URGENT]
  = { "urgent", 2, 60 * RW_MSEC, 600 * RW_MSEC, 6700 * RW_USEC, 0.75, 22.5 },
};

/* What happened to the requests that arrived in one second.  */
struct sim_counts
{
  double asked;
  double in_aim;
  double late;
  double refused;
  double failed;
};

struct sim;
struct sim_query;

struct sim_send
{
  struct ste_send steer; /* first */
  struct sim_query *query;
  size_t part;
  struct sim_searcher *searcher;
  struct ste_target *target;
  struct sim_send *next; /* in the queue, or of the query */
  struct sim_send *next_of_query;
  rw_time work;
  bool arrived_back;
  bool unwanted;
  bool shed;
  unsigned int running; /* reported */
  unsigned int waiting;
};

struct sim_searcher
{
  struct sim_send *head;
  struct sim_send *tail;
  int slots;
  int running;
  int waiting;
  double slowness;
  bool lies; /* reports an empty queue */
  rw_time down_until;
  rw_time pause_phase;
};

struct sim_daemon
{
  struct sim *sim;
  struct ste_fleet fleet;
  struct ste_service *services[SIM_MAX_SHARDS];
  struct ste_latency latency[SIM_ROUTES];
  struct shd_route shed[SIM_ROUTES];
  struct shd_group group;
};

struct sim_query
{
  struct sim_daemon *daemon;
  enum sim_route_id route;
  struct gat_query gather;
  struct sim_send *sends;
  struct ste_target *tried[SIM_MAX_SHARDS][8];
  rw_time first_asked; /* by the caller */
  rw_time arrived;
  bool done;
  int attempt;
};

/* Options that tests change before sim_run, and callbacks while it runs.  */
struct sim
{
  struct rw_rng rng;
  struct rw_heap events;
  struct rw_arena arena;
  rw_time now;
  int shards;
  int daemon_count;
  bool control;                               /* overload control is on */
  double factor[SIM_ROUTES][SIM_MAX_SECONDS]; /* of the rate, each second */
  double abuse;       /* share of callers that repeat at once */
  int abuse_attempts; /* of these callers */
  void (*on_second) (struct sim *sim, int second);
  struct sim_daemon daemons[SIM_MAX_DAEMONS];
  struct sim_searcher searchers[SIM_MAX_SHARDS][SIM_COPIES];
  struct sim_counts counts[SIM_ROUTES][SIM_MAX_SECONDS];
};

enum sim_event_kind
{
  SIM_ASK,    /* a caller's request reaches a daemon */
  SIM_NEXT,   /* time for the next new caller of a route */
  SIM_ARRIVE, /* a send reaches its searcher */
  SIM_END,    /* a searcher ends its work on a send */
  SIM_REPLY,  /* the reply reaches the daemon */
  SIM_TIMER,  /* of a query */
  SIM_SECOND
};

struct sim_event
{
  enum sim_event_kind kind;
  enum sim_route_id route;
  int attempt;
  rw_time first_asked;
  struct sim_query *query;
  struct sim_send *send;
};

static void
sim_at (struct sim *sim, rw_time at, struct sim_event event)
{
  struct sim_event *copy = rw_arena_alloc (&sim->arena, sizeof *copy);
  *copy = event;
  rw_heap_push (&sim->events, at, copy);
}

static struct sim_counts *
sim_counts_of (struct sim *sim, const struct sim_query *query)
{
  return &sim->counts[query->route][query->first_asked / RW_SEC];
}

/* The end of the pause that holds up SEARCHER at AT, or AT.  */
static rw_time
sim_pause_end (const struct sim_searcher *searcher, rw_time at)
{
  rw_time into = (at + searcher->pause_phase) % SIM_PAUSE_INTERVAL;
  return into < SIM_PAUSE_TIME ? at + SIM_PAUSE_TIME - into : at;
}

static void
sim_start_work (struct sim *sim, struct sim_searcher *searcher)
{
  while (searcher->running < searcher->slots && searcher->head != NULL)
    {
      struct sim_send *send = searcher->head;
      searcher->head = send->next;
      searcher->waiting--;
      /* Its connection was closed; the next one takes the slot.  */
      if (send->unwanted)
        send->work = SIM_CONNECT_TIME;
      searcher->running++;
      rw_time start = sim_pause_end (searcher, sim->now);
      rw_time end = start + (rw_time)((double)send->work * searcher->slowness);
      rw_time into = (start + searcher->pause_phase) % SIM_PAUSE_INTERVAL;
      if (into + (end - start) > SIM_PAUSE_INTERVAL)
        end += SIM_PAUSE_TIME;
      sim_at (sim, end, (struct sim_event){ .kind = SIM_END, .send = send });
    }
}

static void
sim_reply (struct sim *sim, struct sim_send *send)
{
  struct sim_searcher *searcher = send->searcher;
  send->running = searcher->lies ? 0 : (unsigned int)searcher->running;
  send->waiting = searcher->lies ? 0 : (unsigned int)searcher->waiting;
  sim_at (sim, sim->now + SIM_NET_TIME,
          (struct sim_event){ .kind = SIM_REPLY, .send = send });
}

static void
sim_on_arrive (struct sim *sim, struct sim_send *send)
{
  struct sim_searcher *searcher = send->searcher;
  if (sim->now < searcher->down_until)
    return; /* lost without a reply */
  if (searcher->waiting >= SIM_QUEUE_LIMIT)
    {
      send->shed = true;
      sim_reply (sim, send);
      return;
    }
  send->next = NULL;
  if (searcher->head != NULL)
    searcher->tail->next = send;
  else
    searcher->head = send;
  searcher->tail = send;
  searcher->waiting++;
  sim_start_work (sim, searcher);
}

static void sim_run_query (struct sim_query *query);

static void
sim_on_end (struct sim *sim, struct sim_send *send)
{
  struct sim_searcher *searcher = send->searcher;
  searcher->running--;
  if (sim->now >= searcher->down_until)
    sim_reply (sim, send);
  sim_start_work (sim, searcher);
}

static void
sim_on_reply (struct sim *sim, struct sim_send *send)
{
  struct sim_query *query = send->query;
  struct rw_str none = { NULL, 0 };
  if (send->arrived_back)
    return;
  send->arrived_back = true;
  ste_on_load_report (send->target, send->running, send->waiting, 2, sim->now);
  ste_on_result (&send->steer, send->shed ? STE_SHED : STE_OK, sim->now);
  if (query->done)
    return;
  if (send->shed)
    gat_on_failure (&query->gather, send->part, GAT_FAIL_NOT_RUN, sim->now,
                    RW_MSEC);
  else
    gat_on_part (&query->gather, send->part, none, none);
  sim_run_query (query);
}

static void
sim_send_part (struct sim_query *query, size_t part, enum gat_send_kind kind)
{
  struct sim_daemon *daemon = query->daemon;
  struct sim *sim = daemon->sim;
  struct ste_latency *latency = &daemon->latency[query->route];
  const struct sim_route_config *config = &sim_routes[query->route];
  size_t tried_n = query->gather.parts[part].sends;
  struct ste_target *target
      = ste_pick (&daemon->fleet, daemon->services[part], latency,
                  query->tried[part], tried_n, sim->now);
  if (target == NULL && kind == GAT_SEND_RETRY)
    target = ste_pick (&daemon->fleet, daemon->services[part], latency, NULL,
                       0, sim->now);
  if (target == NULL
      || (kind == GAT_SEND_HEDGE && !ste_has_room (target, sim->now)))
    {
      gat_postpone (&query->gather, part, sim->now,
                    target == NULL && kind == GAT_SEND_FIRST ? -1
                                                             : 10 * RW_MSEC);
      return;
    }
  struct sim_send *send = rw_arena_zalloc (&sim->arena, 1, sizeof *send);
  query->tried[part][tried_n] = target;
  send->query = query;
  send->part = part;
  send->target = target;
  send->searcher = target->user;
  send->next_of_query = query->sends;
  query->sends = send;
  send->work = (rw_time)((double)config->work
                         * (0.65 + 0.7 * rw_rng_unit (&sim->rng)));
  if (rw_rng_below (&sim->rng, 100) == 0)
    send->work *= 5;
  gat_on_sent (&query->gather, part, sim->now);
  ste_on_sent (&send->steer, target, latency, sim->now);
  sim_at (sim, sim->now + SIM_NET_TIME,
          (struct sim_event){ .kind = SIM_ARRIVE, .send = send });
}

/* Ends QUERY; what still waits for it at searchers is not worked on.  */
static void
sim_end_query (struct sim_query *query)
{
  rw_time now = query->daemon->sim->now;
  query->done = true;
  for (struct sim_send *s = query->sends; s != NULL; s = s->next_of_query)
    if (s->steer.target != NULL && !s->unwanted)
      {
        s->unwanted = true;
        if (!s->arrived_back)
          {
            s->arrived_back = true;
            ste_on_result (&s->steer, STE_ABANDONED, now);
          }
      }
}

static void
sim_run_query (struct sim_query *query)
{
  struct sim *sim = query->daemon->sim;
  struct sim_counts *counts = sim_counts_of (sim, query);
  size_t position = 0;
  size_t part;
  enum gat_send_kind kind;
  enum gat_decision decision = gat_decide (&query->gather, sim->now);
  while (decision == GAT_WAIT
         && gat_next_send (&query->gather, sim->now, &position, &part, &kind))
    {
      sim_send_part (query, part, kind);
      decision = gat_decide (&query->gather, sim->now);
    }
  switch (decision)
    {
    case GAT_WAIT:
      sim_at (sim, gat_next_event (&query->gather, sim->now),
              (struct sim_event){ .kind = SIM_TIMER, .query = query });
      return;
    case GAT_ANSWER:
      if (sim->now - query->first_asked <= sim_routes[query->route].aim)
        counts->in_aim++;
      else
        counts->late++;
      break;
    case GAT_GIVE_UP:
      counts->failed++;
      break;
    }
  sim_end_query (query);
}

static bool
sim_admits (struct sim_query *query)
{
  struct sim_daemon *daemon = query->daemon;
  const struct sim_route_config *config = &sim_routes[query->route];
  struct shd_route *shed = &daemon->shed[query->route];
  rw_time now = daemon->sim->now;
  double work = daemon->latency[query->route].work.mean;
  double delays[SIM_MAX_SHARDS];
  if (!daemon->sim->control)
    return true;
  if (shd_update_due (shed, now))
    {
      struct shd_claim claim = { .key = (uint64_t)query->route,
                                 .priority = config->priority,
                                 .work = work,
                                 .slack = (double)config->aim * 0.85 - work,
                                 .seen_at = now };
      for (int i = 0; i < daemon->sim->shards; i++)
        delays[i] = ste_queue_delay (&daemon->fleet, daemon->services[i], now);
      shd_group_claim (&daemon->group, &claim);
      shd_update (shed,
                  shd_critical_delay (delays, (size_t)daemon->sim->shards,
                                      query->gather.plan.min_parts),
                  shd_target_delay (&daemon->group, claim.key, now), now);
    }
  return shd_admit (shed, shd_order_of (now - query->first_asked,
                                        query->first_asked + config->aim - now,
                                        work));
}

/* Lets the caller of a refused request return once, or give up.  */
static void
sim_refuse (struct sim_query *query)
{
  struct sim_daemon *daemon = query->daemon;
  struct sim *sim = daemon->sim;
  const struct sim_route_config *config = &sim_routes[query->route];
  rw_time left = query->first_asked + config->timeout - sim->now;
  bool abuses = rw_rng_unit (&sim->rng) < sim->abuse;
  rw_time after = shd_retry_after (
      shd_pressure_time (&daemon->shed[query->route], sim->now), left,
      &daemon->fleet.rng);
  query->done = true;
  if (query->attempt >= (abuses ? sim->abuse_attempts : 1))
    {
      sim_counts_of (sim, query)->refused++;
      return;
    }
  sim_at (sim, sim->now + (abuses ? RW_MSEC : after),
          (struct sim_event){ .kind = SIM_ASK,
                              .route = query->route,
                              .attempt = query->attempt + 1,
                              .first_asked = query->first_asked });
}

static void
sim_on_ask (struct sim *sim, const struct sim_event *event)
{
  struct sim_query *query = rw_arena_zalloc (&sim->arena, 1, sizeof *query);
  const struct sim_route_config *config = &sim_routes[event->route];
  struct sim_daemon *daemon
      = &sim->daemons[rw_rng_below (&sim->rng, (uint64_t)sim->daemon_count)];
  struct ste_latency *latency = &daemon->latency[event->route];
  rw_time hedge = (rw_time)(latency->p90 * 1.5);
  query->daemon = daemon;
  query->route = event->route;
  query->attempt = event->attempt;
  query->first_asked = event->first_asked;
  query->arrived = sim->now;
  if (hedge < config->aim / 10)
    hedge = config->aim / 10;
  if (hedge > config->aim / 3)
    hedge = config->aim / 3;
  struct gat_plan plan = {
    .part_count = (size_t)sim->shards,
    .min_parts = (size_t)((double)sim->shards * config->min_share + 0.99),
    .max_attempts = 2,
    .idempotent = true,
    .hedge_delay = hedge,
    .soft_deadline = event->first_asked + config->aim * 9 / 10,
    .deadline = event->first_asked + config->timeout,
  };
  gat_init (&query->gather, &sim->arena, &plan, sim->now);
  if (sim_admits (query))
    sim_run_query (query);
  else
    sim_refuse (query);
}

/* The next new caller of a route, in a Poisson process.  */
static void
sim_on_next (struct sim *sim, enum sim_route_id route)
{
  int second = (int)(sim->now / RW_SEC);
  double rate = sim_routes[route].rate * sim->factor[route][second];
  struct sim_event ask
      = { .kind = SIM_ASK, .route = route, .first_asked = sim->now };
  struct sim_event next = { .kind = SIM_NEXT, .route = route };
  sim->counts[route][second].asked++;
  sim_on_ask (sim, &ask);
  sim_at (sim,
          sim->now + (rw_time)rw_rng_exponential (&sim->rng, RW_SEC / rate),
          next);
}

static void
sim_handle (struct sim *sim, const struct sim_event *event)
{
  switch (event->kind)
    {
    case SIM_ASK:
      sim_on_ask (sim, event);
      break;
    case SIM_NEXT:
      sim_on_next (sim, event->route);
      break;
    case SIM_ARRIVE:
      sim_on_arrive (sim, event->send);
      break;
    case SIM_END:
      sim_on_end (sim, event->send);
      break;
    case SIM_REPLY:
      sim_on_reply (sim, event->send);
      break;
    case SIM_TIMER:
      if (!event->query->done)
        sim_run_query (event->query);
      break;
    case SIM_SECOND:
      if (sim->on_second != NULL)
        sim->on_second (sim, (int)(sim->now / RW_SEC));
      sim_at (sim, sim->now + RW_SEC, *event);
      break;
    }
}

static void
sim_init_daemon (struct sim *sim, struct sim_daemon *daemon, uint64_t seed)
{
  struct ste_settings settings = { .dc = 1,
                                   .daemon_key = seed,
                                   .daemon_count = (size_t)sim->daemon_count,
                                   .shard_sharers = (size_t)sim->daemon_count,
                                   .leave_time = 2 * RW_SEC };
  daemon->sim = sim;
  ste_init (&daemon->fleet, &settings, seed);
  for (int i = 0; i < sim->shards; i++)
    for (int j = 0; j < SIM_COPIES; j++)
      {
        char id[32];
        char service[32];
        snprintf (id, sizeof id, "s%d-%d", i, j);
        snprintf (service, sizeof service, "s%d", i);
        struct cat_target entry = { .id = rw_str_from (id),
                                    .service = rw_str_from (service),
                                    .host = RW_LIT ("10.0.0.1"),
                                    .port = 80,
                                    .dc = RW_LIT ("near"),
                                    .slots = 2 };
        struct ste_target *target = ste_put (&daemon->fleet, &entry, 1, 0);
        target->user = &sim->searchers[i][j];
        daemon->services[i] = target->service;
      }
  for (int i = 0; i < SIM_ROUTES; i++)
    {
      ste_latency_init (&daemon->latency[i], sim_routes[i].aim);
      shd_init (&daemon->shed[i]);
    }
}

/* Sets the load of all routes to FACTOR from second FROM to second TO.  */
static void
sim_set_factor (struct sim *sim, double factor, int from, int to)
{
  for (int i = from; i < to; i++)
    for (int r = 0; r < SIM_ROUTES; r++)
      sim->factor[r][i] = factor;
}

/* Begins a simulation of DAEMONS and SHARDS at the load factor 1.  */
static struct sim *
sim_new (int daemons, int shards, uint64_t seed)
{
  struct sim *sim = rw_xcalloc (1, sizeof *sim);
  rw_rng_init (&sim->rng, seed);
  rw_heap_init (&sim->events);
  rw_arena_init (&sim->arena, 1 << 20);
  sim->shards = shards;
  sim->daemon_count = daemons;
  sim->control = true;
  for (int i = 0; i < shards; i++)
    for (int j = 0; j < SIM_COPIES; j++)
      sim->searchers[i][j] = (struct sim_searcher){
        .slots = 2,
        .slowness = 1,
        .pause_phase
        = (rw_time)rw_rng_below (&sim->rng, (uint64_t)SIM_PAUSE_INTERVAL),
      };
  for (int i = 0; i < daemons; i++)
    sim_init_daemon (sim, &sim->daemons[i], seed * 1000 + (uint64_t)i);
  sim_set_factor (sim, 1, 0, SIM_MAX_SECONDS);
  return sim;
}

/* Runs the simulation for SECONDS.  */
static void
sim_run (struct sim *sim, int seconds)
{
  rw_time end = seconds * RW_SEC;
  sim_at (sim, 0, (struct sim_event){ .kind = SIM_SECOND });
  for (int i = 0; i < SIM_ROUTES; i++)
    sim_at (
        sim, 1 + i,
        (struct sim_event){ .kind = SIM_NEXT, .route = (enum sim_route_id)i });
  while (rw_heap_next_time (&sim->events) < end)
    {
      struct sim_event *event = rw_heap_pop (&sim->events, &sim->now);
      sim_handle (sim, event);
    }
}

static void
sim_free (struct sim *sim)
{
  for (int i = 0; i < sim->daemon_count; i++)
    ste_finish (&sim->daemons[i].fleet);
  rw_heap_finish (&sim->events);
  rw_arena_finish (&sim->arena);
  free (sim);
}

/* The sum of what happened on ROUTE to the requests of the seconds FROM to
   TO.  */
static struct sim_counts
sim_sum (const struct sim *sim, enum sim_route_id route, int from, int to)
{
  struct sim_counts sum = { 0 };
  for (int i = from; i < to; i++)
    {
      const struct sim_counts *c = &sim->counts[route][i];
      sum.asked += c->asked;
      sum.in_aim += c->in_aim;
      sum.late += c->late;
      sum.refused += c->refused;
      sum.failed += c->failed;
    }
  return sum;
}

#endif
