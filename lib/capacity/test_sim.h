/* A simulation in virtual time of daemons that send single requests to the
   targets of one service, with the decisions of lib/steer, of a chooser that
   knows the true state, or of simple rules; without any network.  */

#ifndef CAP_TEST_SIM_H
#define CAP_TEST_SIM_H

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "steer.h"

#define SIM_MAX_TARGETS 12
#define SIM_MAX_DAEMONS 300
#define SIM_MAX_SECONDS 60
#define SIM_WORK (20 * RW_MSEC)
#define SIM_AIM (80 * RW_MSEC)
/* A request that is expected to take longer is refused: its work may take
   twice the mean.  */
#define SIM_MAX_EXPECTED (60 * RW_MSEC)
#define SIM_NET_TIME (1500 * RW_USEC) /* one way */
#define SIM_QUEUE_PER_SLOT 6
#define SIM_BURST_TIME (50 * RW_MSEC)

enum sim_chooser
{
  SIM_ESTIMATES, /* lib/steer with lib/capacity */
  SIM_WITHOUT,   /* lib/steer alone */
  SIM_ORACLE,    /* the true speeds, queues and figures */
  SIM_QUEUES,    /* shortest reported queue */
  SIM_LATENCY,   /* least mean latency */
  SIM_TWO,       /* the better of two at random by latency and queue */
  SIM_GRADIENT,  /* limits by the gradient of latency over load */
  SIM_AIMD,      /* limits with additive increase */
  SIM_PROBE,     /* the better of two at random, which are asked first */
  SIM_CHOOSERS
};

static const char *const sim_chooser_names[SIM_CHOOSERS]
    = { "estimates", "today's",  "oracle", "queues", "latency",
        "two",       "gradient", "aimd",   "probe" };

enum sim_reports
{
  SIM_FULL,    /* with the work figure */
  SIM_THREE,   /* without it */
  SIM_ABSENT,  /* none */
  SIM_STOPPED, /* none from a third of the time on */
  SIM_FALSE    /* one target always says that it is idle and fast */
};

struct sim_config
{
  size_t daemons;
  size_t targets;
  unsigned int slots;
  double speeds[SIM_MAX_TARGETS]; /* 0: 1 */
  double load;                    /* of what the service bears */
  double knee;   /* fraction of the slots from which work slows; 0: none */
  double burst;  /* factor of the time of work in a burst; 0: no bursts */
  double bursts; /* share of time in bursts */
  enum sim_reports reports;
  /* Speed of TARGET at NOW, times that in SPEEDS; may be null.  */
  double (*speed_at) (size_t target, rw_time now);
  size_t late_targets; /* the last of them are listed after 10 s */
  int seconds;
  int warm_seconds; /* results of these do not count */
  uint64_t seed;
  enum sim_chooser chooser;
};

/* What a daemon that uses a simple rule knows of a target.  */
struct sim_view
{
  double latency; /* moving average */
  double least;   /* lowest such average, rising slowly */
  double queue;   /* as last reported */
  double limit;   /* requests in flight */
};

struct sim_daemon
{
  struct ste_fleet fleet;
  struct ste_service *service;
  struct ste_latency latency;
  struct ste_target *targets[SIM_MAX_TARGETS];
  struct sim_view views[SIM_MAX_TARGETS];
};

struct sim_request
{
  enum
  {
    SIM_ARRIVES,
    SIM_PROBED,
    SIM_AT_TARGET,
    SIM_DONE,
    SIM_REPLIED
  } step;
  struct sim_daemon *daemon;
  size_t target;
  struct ste_send send;
  struct sim_request *next; /* in the target's queue */
  rw_time begun;
  double work;
  bool refused;
  unsigned int running, waiting, figure; /* as reported */
};

struct sim_target
{
  unsigned int running;
  unsigned int waiting;
  unsigned int coming; /* sent, and not there yet */
  struct sim_request *head, *tail;
};

struct sim
{
  struct sim_config config;
  struct rw_rng rng;
  struct rw_heap events;
  struct sim_daemon *daemons;
  struct sim_target targets[SIM_MAX_TARGETS];
  double mean_gap; /* between arrivals, in microseconds */
  double work_mean;
  /* Results.  */
  double asked, in_aim, refused;
  double sent[SIM_MAX_SECONDS][SIM_MAX_TARGETS];
  double pressed; /* requests that began past the knee while another target
                     was below it by more than a request */
  double started; /* requests that began */
  double speed[SIM_MAX_SECONDS * 10][SIM_MAX_TARGETS]; /* as estimated */
};

static double
sim_figure (const struct sim *sim, size_t target, rw_time now)
{
  const struct sim_config *c = &sim->config;
  uint64_t place = rw_hash_u64 (rw_hash_u64 (c->seed, target),
                                (uint64_t)(now / SIM_BURST_TIME));
  return c->burst > 0 && ldexp ((double)place, -64) < c->bursts ? c->burst : 1;
}

static double
sim_speed (const struct sim *sim, size_t target, rw_time now)
{
  const struct sim_config *c = &sim->config;
  double speed = c->speeds[target] > 0 ? c->speeds[target] : 1;
  return c->speed_at != NULL ? speed * c->speed_at (target, now) : speed;
}

/* How much longer work takes with RUNNING requests: at all slots three times
   as long.  */
static double
sim_slowdown (const struct sim_config *c, unsigned int running)
{
  double past = (double)running / c->slots - c->knee;
  return c->knee > 0 && past > 0 ? 1 + 2 * past / (1 - c->knee) : 1;
}

/* Requests that the targets can work on in a microsecond.  */
static double
sim_capacity (const struct sim *sim)
{
  const struct sim_config *c = &sim->config;
  double best = 0;
  double sum = 0;
  for (unsigned int n = 1; n <= c->slots; n++)
    best = fmax (best, n / sim_slowdown (c, n));
  for (size_t i = 0; i < c->targets; i++)
    sum += sim_speed (sim, i, 0);
  double mean_figure = 1 + (c->burst > 0 ? (c->burst - 1) * c->bursts : 0);
  return sum * best / (SIM_WORK * mean_figure);
}

static void
sim_begin_work (struct sim *sim, size_t i, rw_time now)
{
  const struct sim_config *c = &sim->config;
  struct sim_target *t = &sim->targets[i];
  struct sim_request *r = t->head;
  t->head = r->next;
  t->waiting--;
  t->running++;
  bool spare = false;
  for (size_t j = 0; j < c->targets; j++)
    spare |= sim->targets[j].running + sim->targets[j].waiting
                 + sim->targets[j].coming + 2
             <= c->knee * c->slots;
  sim->started++;
  sim->pressed += spare && t->running > c->knee * c->slots;
  r->step = SIM_DONE;
  rw_heap_push (&sim->events,
                now
                    + (rw_time)(r->work * sim_slowdown (c, t->running)
                                * sim_figure (sim, i, now)
                                / sim_speed (sim, i, now)),
                r);
}

static void
sim_report (struct sim *sim, struct sim_request *r, rw_time now)
{
  const struct sim_target *t = &sim->targets[r->target];
  r->running = t->running;
  r->waiting = t->waiting;
  r->figure = (unsigned int)lround (sim_figure (sim, r->target, now) * 100);
  if (sim->config.reports == SIM_FALSE && r->target == 0)
    {
      r->running = r->waiting = 0;
      r->figure = 1;
    }
  r->step = SIM_REPLIED;
  rw_heap_push (&sim->events, now + SIM_NET_TIME, r);
}

static bool
sim_reports_at (const struct sim_config *c, rw_time now)
{
  return c->reports != SIM_ABSENT
         && (c->reports != SIM_STOPPED || now < c->seconds * RW_SEC / 3);
}

static size_t
sim_other (struct sim *sim, size_t first)
{
  size_t n = sim->config.targets;
  return (first + 1 + rw_rng_below (&sim->rng, n - 1)) % n;
}

/* The expected time at target I for the chooser that knows everything.  */
static double
sim_true_time (struct sim *sim, size_t i, rw_time now)
{
  const struct sim_config *c = &sim->config;
  const struct sim_target *t = &sim->targets[i];
  unsigned int load = t->running + t->waiting + t->coming;
  unsigned int next = load < c->slots ? load + 1 : c->slots;
  double alone = SIM_WORK * sim_figure (sim, i, now) / sim_speed (sim, i, now);
  double work = alone * sim_slowdown (c, next);
  double running = load < c->slots ? load : c->slots;
  double burden
      = running * alone
        * (sim_slowdown (c, next) - sim_slowdown (c, (unsigned int)running));
  double wait = load >= c->slots
                    ? work * (load - running + 0.5 * running) / c->slots
                    : 0;
  return work + wait + burden;
}

static double
sim_rule_cost (struct sim *sim, const struct sim_daemon *d, size_t i)
{
  const struct sim_view *v = &d->views[i];
  double in_flight = d->targets[i]->in_flight;
  double queue = fmax (v->queue, in_flight);
  switch (sim->config.chooser)
    {
    case SIM_QUEUES:
      return queue;
    case SIM_LATENCY:
      return v->latency;
    case SIM_TWO:
      return v->latency * (1 + queue / sim->config.slots);
    default: /* limits: the largest free share */
      return (in_flight + 1) / v->limit;
    }
}

/* The target that a simple rule or the true state gives.  */
static size_t
sim_choose (struct sim *sim, const struct sim_daemon *d, rw_time now)
{
  size_t best = 0;
  double best_cost = INFINITY;
  size_t n = sim->config.targets;
  size_t first = rw_rng_below (&sim->rng, n);
  size_t second = sim_other (sim, first);
  for (size_t i = 0; i < n; i++)
    {
      if (d->targets[i] == NULL
          || (sim->config.chooser == SIM_TWO && i != first && i != second))
        continue;
      double cost = sim->config.chooser == SIM_ORACLE
                        ? sim_true_time (sim, i, now)
                        : sim_rule_cost (sim, d, i);
      cost *= 1 + 0.01 * rw_rng_unit (&sim->rng);
      if (cost < best_cost)
        {
          best = i;
          best_cost = cost;
        }
    }
  return best;
}

/* Whether a request that arrives now could still be in time.  This is the same
   for all choosers, so that they differ in the choice alone.  */
static bool
sim_admits (struct sim *sim, rw_time now)
{
  double best = INFINITY;
  for (size_t i = 0; i < sim->config.targets; i++)
    best = fmin (best, sim_true_time (sim, i, now));
  return best <= SIM_MAX_EXPECTED;
}

static void
sim_arrive (struct sim *sim, rw_time now)
{
  const struct sim_config *c = &sim->config;
  struct sim_request *next = rw_xcalloc (1, sizeof *next);
  next->step = SIM_ARRIVES;
  next->daemon = &sim->daemons[rw_rng_below (&sim->rng, c->daemons)];
  rw_heap_push (&sim->events,
                now + (rw_time)rw_rng_exponential (&sim->rng, sim->mean_gap),
                next);
}

/* Chooses a target for R and sends it there.  */
static void
sim_send (struct sim *sim, struct sim_request *r, rw_time now)
{
  const struct sim_config *c = &sim->config;
  struct sim_daemon *d = r->daemon;
  if (c->chooser <= SIM_WITHOUT)
    {
      const struct ste_target *t
          = ste_pick (&d->fleet, d->service, &d->latency, NULL, 0, now);
      r->target = 0;
      while (d->targets[r->target] != t)
        r->target++;
    }
  else if (c->chooser == SIM_PROBE && r->step == SIM_ARRIVES)
    {
      /* Both targets see the question at NOW.  */
      size_t other;
      r->target = rw_rng_below (&sim->rng, c->targets);
      other = sim_other (sim, r->target);
      if (sim_true_time (sim, other, now)
          < sim_true_time (sim, r->target, now))
        r->target = other;
      r->step = SIM_PROBED;
      r->begun = now - SIM_NET_TIME;
      rw_heap_push (&sim->events, now + SIM_NET_TIME, r);
      return;
    }
  else if (c->chooser != SIM_PROBE)
    r->target = sim_choose (sim, d, now);
  struct ste_target *target = d->targets[r->target];
  bool counts = now >= sim->config.warm_seconds * RW_SEC;
  sim->asked += counts;
  if (!sim_admits (sim, now))
    {
      sim->refused += counts;
      free (r);
      return;
    }
  sim->sent[now / RW_SEC][r->target]++;
  sim->targets[r->target].coming++;
  if (r->step != SIM_PROBED)
    r->begun = now;
  r->work = SIM_WORK * (0.3 + rw_rng_exponential (&sim->rng, 0.7));
  r->step = SIM_AT_TARGET;
  ste_on_sent (&r->send, target, &d->latency, now);
  rw_heap_push (&sim->events, now + SIM_NET_TIME, r);
}

static void
sim_take (struct sim *sim, struct sim_request *r, rw_time now)
{
  struct sim_target *t = &sim->targets[r->target];
  t->coming--;
  if (t->waiting >= SIM_QUEUE_PER_SLOT * sim->config.slots)
    {
      r->refused = true;
      sim_report (sim, r, now);
      return;
    }
  r->next = NULL;
  if (t->head == NULL)
    t->head = r;
  else
    t->tail->next = r;
  t->tail = r;
  t->waiting++;
  if (t->running < sim->config.slots)
    sim_begin_work (sim, r->target, now);
}

static void
sim_learn_rule (struct sim_view *v, const struct sim_request *r, bool reports,
                rw_time now)
{
  double took = (double)(now - r->begun);
  v->latency += 0.1 * (took - v->latency);
  v->least = fmin (v->least * 1.001, v->latency);
  if (reports)
    v->queue = r->running + r->waiting;
}

static void
sim_reply (struct sim *sim, struct sim_request *r, rw_time now)
{
  struct sim_daemon *d = r->daemon;
  struct ste_target *t = d->targets[r->target];
  struct sim_view *v = &d->views[r->target];
  bool reports = sim_reports_at (&sim->config, now);
  bool in_aim = !r->refused && now - r->begun <= SIM_AIM;
  if (reports && sim->config.reports != SIM_THREE)
    ste_on_work_figure (t, r->figure, now);
  if (reports)
    ste_on_load_report (t, r->running, r->waiting, sim->config.slots, now);
  ste_on_result (&r->send, r->refused ? STE_SHED : STE_OK, now);
  sim_learn_rule (v, r, reports, now);
  if (sim->config.chooser == SIM_GRADIENT)
    v->limit += 0.2
                * (fmax (0.5, fmin (1, 1.5 * v->least / v->latency)) * v->limit
                   + sqrt (v->limit) - v->limit);
  else
    v->limit = in_aim ? v->limit + 1 / v->limit : v->limit * 0.7;
  v->limit = fmin (fmax (v->limit, 0.1), 100);
  if (r->begun >= sim->config.warm_seconds * RW_SEC)
    sim->in_aim += in_aim;
  free (r);
}

static void
sim_list_target (struct sim *sim, struct sim_daemon *d, size_t i, rw_time now)
{
  char id[16];
  snprintf (id, sizeof id, "t%zu", i);
  struct cat_target entry = { .id = rw_str_from (id),
                              .service = RW_LIT ("s"),
                              .host = RW_LIT ("10.0.0.1"),
                              .port = (uint16_t)(i + 1),
                              .dc = RW_LIT ("dc"),
                              .slots = sim->config.slots };
  d->targets[i] = ste_put (&d->fleet, &entry, (int64_t)i + 1, now);
  d->service = d->targets[i]->service;
  d->views[i] = (struct sim_view){ SIM_WORK, SIM_WORK, 0, 2 };
}

static void
sim_step (struct sim *sim, struct sim_request *r, rw_time now)
{
  switch (r->step)
    {
    case SIM_ARRIVES:
      sim_arrive (sim, now);
      sim_send (sim, r, now);
      break;
    case SIM_PROBED:
      sim_send (sim, r, now);
      break;
    case SIM_AT_TARGET:
      sim_take (sim, r, now);
      break;
    case SIM_DONE:
      sim->targets[r->target].running--;
      if (sim->targets[r->target].head != NULL)
        sim_begin_work (sim, r->target, now);
      sim_report (sim, r, now);
      break;
    case SIM_REPLIED:
      sim_reply (sim, r, now);
      break;
    }
}

/* Records the mean of the daemons' estimates of the speeds.  */
static void
sim_note_speeds (struct sim *sim, size_t tenth, rw_time now)
{
  for (size_t i = 0; i < sim->config.targets; i++)
    for (size_t n = 0; n < sim->config.daemons; n++)
      {
        const struct ste_target *t = sim->daemons[n].targets[i];
        if (t != NULL)
          sim->speed[tenth][i]
              += 1
                 / cap_estimate (&t->capacity, &t->service->capacity, t->slots,
                                 0, now)
                       .base
                 / (double)sim->config.daemons;
      }
}

/* Runs CONFIG.  The caller frees the result.  */
static struct sim *
sim_run (const struct sim_config *config)
{
  struct sim *sim = rw_xcalloc (1, sizeof *sim);
  rw_time now = 0;
  size_t tenths = 0;
  size_t listed = config->targets - config->late_targets;
  sim->config = *config;
  rw_rng_init (&sim->rng, config->seed);
  rw_heap_init (&sim->events);
  sim->mean_gap = 1 / (sim_capacity (sim) * config->load);
  sim->daemons = rw_xcalloc (config->daemons, sizeof *sim->daemons);
  for (size_t n = 0; n < config->daemons; n++)
    {
      struct ste_settings settings
          = { .dc = rw_hash (RW_LIT ("dc")),
              .daemon_count = config->daemons,
              .leave_time = 2 * RW_SEC,
              .without_capacity = config->chooser != SIM_ESTIMATES };
      ste_init (&sim->daemons[n].fleet, &settings, config->seed * 1000 + n);
      ste_latency_init (&sim->daemons[n].latency, SIM_AIM);
      for (size_t i = 0; i < listed; i++)
        sim_list_target (sim, &sim->daemons[n], i, 0);
    }
  struct sim_request *first = rw_xcalloc (1, sizeof *first);
  first->daemon = sim->daemons;
  rw_heap_push (&sim->events, 0, first);
  while (now < config->seconds * RW_SEC)
    {
      struct sim_request *r = rw_heap_pop (&sim->events, &now);
      for (; (rw_time)tenths * RW_SEC / 10 <= now
             && tenths < (size_t)config->seconds * 10;
           tenths++)
        sim_note_speeds (sim, tenths, now);
      for (; listed < config->targets && now >= 10 * RW_SEC; listed++)
        for (size_t n = 0; n < config->daemons; n++)
          sim_list_target (sim, &sim->daemons[n], listed, now);
      if (now < config->seconds * RW_SEC)
        sim_step (sim, r, now);
      else
        free (r);
    }
  return sim;
}

static void
sim_free (struct sim *sim)
{
  rw_time at;
  while (sim->events.len > 0)
    free (rw_heap_pop (&sim->events, &at));
  for (size_t i = 0; i < sim->config.targets; i++)
    while (sim->targets[i].head != NULL)
      {
        struct sim_request *r = sim->targets[i].head;
        sim->targets[i].head = r->next;
        free (r);
      }
  rw_heap_finish (&sim->events);
  for (size_t n = 0; n < sim->config.daemons; n++)
    ste_finish (&sim->daemons[n].fleet);
  free (sim->daemons);
  free (sim);
}

#endif
