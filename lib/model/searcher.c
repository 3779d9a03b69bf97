#include "model.h"

#include <math.h>
#include <string.h>

/* Draws a time of at least 1 microsecond.  */
rw_time
mdl_time_draw (const struct mdl_time *time, struct rw_rng *rng)
{
  double drawn = 1;

  switch (time->kind)
    {
    case MDL_TIME_FIXED:
      drawn = (double)time->u.value;
      break;
    case MDL_TIME_EXPONENTIAL:
      drawn = rw_rng_exponential (rng, (double)time->u.mean);
      break;
    case MDL_TIME_LOGNORMAL:
      {
        /* Box-Muller; 1 - unit is never 0.  */
        double radius = sqrt (-2 * log (1 - rw_rng_unit (rng)));
        double normal = radius * cos (2 * M_PI * rw_rng_unit (rng));

        drawn = (double)time->u.lognormal.median
                * exp (time->u.lognormal.sigma * normal);
        break;
      }
    }
  return drawn < 1 ? 1 : (rw_time)drawn;
}

/* Prepares a cold searcher that is up; SEED also gives its incarnation.  */
void
mdl_searcher_init (struct mdl_searcher *searcher,
                   const struct mdl_config *config, uint64_t seed)
{
  memset (searcher, 0, sizeof *searcher);
  searcher->config = *config;
  rw_rng_init (&searcher->rng, seed);
  searcher->incarnation = rw_rng_next (&searcher->rng) | 1;
  searcher->down_until = INT64_MIN;
  searcher->cold_known_at = INT64_MIN;
}

/* Forgets all requests, which remain the caller's.  */
void
mdl_searcher_finish (struct mdl_searcher *searcher)
{
  searcher->head = searcher->tail = NULL;
  searcher->in_flight = searcher->running = 0;
}

/* Returns how many requests SEARCHER bears at once, at least 1.  */
int
mdl_capacity (const struct mdl_searcher *searcher)
{
  const struct mdl_config *config = &searcher->config;
  int step = config->requests_per_slot > 0 ? config->requests_per_slot : 1;
  int bears = config->cold_capacity + searcher->served / step;

  if (bears > config->slots)
    bears = config->slots;
  return bears > 0 ? bears : 1;
}

static bool
is_warm (const struct mdl_searcher *searcher)
{
  return mdl_capacity (searcher) >= searcher->config.slots;
}

/* Returns the load in percent of what the searcher bears now.  */
int
mdl_load (const struct mdl_searcher *searcher)
{
  return 100 * searcher->in_flight / mdl_capacity (searcher);
}

/* Returns whether the searcher fails everything at NOW.  */
bool
mdl_is_down (const struct mdl_searcher *searcher, rw_time now)
{
  return now < searcher->down_until;
}

/* An answer or an error leaves the searcher: from it callers can know that
   the searcher is cold.  */
static void
signal_state (struct mdl_searcher *searcher, rw_time now)
{
  if (!searcher->cold_unannounced)
    return;
  searcher->cold_unannounced = false;
  searcher->cold_known_at = now + searcher->config.detection_delay;
}

static void
append (struct mdl_searcher *searcher, struct mdl_request *request)
{
  request->next = NULL;
  request->prev = searcher->tail;
  if (searcher->tail != NULL)
    searcher->tail->next = request;
  else
    searcher->head = request;
  searcher->tail = request;
  searcher->in_flight++;
}

static void
unlink_request (struct mdl_searcher *searcher, struct mdl_request *request)
{
  if (request->prev != NULL)
    request->prev->next = request->next;
  else
    searcher->head = request->next;
  if (request->next != NULL)
    request->next->prev = request->prev;
  else
    searcher->tail = request->prev;
  searcher->in_flight--;
  searcher->running -= request->running;
  request->prev = request->next = NULL;
}

static void
start_request (struct mdl_searcher *searcher, struct mdl_request *request,
               rw_time now)
{
  const struct mdl_config *config = &searcher->config;
  double time = (double)mdl_time_draw (&config->service_time, &searcher->rng);

  time += (double)(config->time_per_part * (request->parts - 1));
  if (!is_warm (searcher) && config->cold_factor > 0)
    time *= config->cold_factor;
  if (rw_rng_unit (&searcher->rng) < config->straggler_share)
    time *= config->straggler_factor;
  request->end = MDL_END_OK;
  request->done_at = now + (rw_time)time;
  if (request->done_at > request->deadline)
    {
      request->end = MDL_END_EXPIRED;
      request->done_at = request->deadline > now ? request->deadline : now;
    }
  request->running = true;
  searcher->running++;
}

/* Starts waiting requests while a slot is free.  */
static void
start_waiting (struct mdl_searcher *searcher, rw_time now)
{
  struct mdl_request *request = searcher->head;

  while (request != NULL && searcher->running < searcher->config.slots)
    {
      if (!request->running && request->done_at == RW_TIME_NEVER)
        start_request (searcher, request, now);
      request = request->next;
    }
}

/* Ends all requests at NOW; the searcher is down until NOW + DOWN and cold
   afterwards.  */
static void
fail_all (struct mdl_searcher *searcher, rw_time down, rw_time now)
{
  struct mdl_request *request;

  for (request = searcher->head; request != NULL; request = request->next)
    {
      request->end = MDL_END_FAILED;
      request->done_at = now;
      searcher->running -= request->running;
      request->running = false;
    }
  searcher->down_until = now + down;
  searcher->served = 0;
  searcher->cold_unannounced = false;
}

static void
record_concurrency (struct mdl_searcher *searcher, rw_time now)
{
  struct mdl_stats *stats = &searcher->stats;
  int permille = 1000 * searcher->in_flight / mdl_capacity (searcher);
  bool unnoticed = searcher->cold_unannounced || now < searcher->cold_known_at;
  int *peak
      = unnoticed ? &stats->peak_permille_undetected : &stats->peak_permille;

  if (searcher->in_flight > stats->peak_in_flight)
    stats->peak_in_flight = searcher->in_flight;
  if (permille > *peak)
    *peak = permille;
}

/* REQUEST reaches SEARCHER at NOW.  Only after MDL_ACCEPTED does the model
   hold it.  */
enum mdl_arrival
mdl_arrive (struct mdl_searcher *searcher, struct mdl_request *request,
            rw_time now)
{
  const struct mdl_config *config = &searcher->config;

  searcher->stats.arrived++;
  if (mdl_is_down (searcher, now) || searcher->draining)
    {
      searcher->stats.refused++;
      signal_state (searcher, now);
      return mdl_is_down (searcher, now) ? MDL_DOWN : MDL_DRAINING;
    }
  if (config->shed_at > 0 && searcher->in_flight >= config->shed_at)
    {
      searcher->stats.shed++;
      signal_state (searcher, now);
      return MDL_SHED;
    }
  request->arrived = now;
  request->running = false;
  request->done_at = RW_TIME_NEVER;
  append (searcher, request);
  record_concurrency (searcher, now);
  if (!is_warm (searcher) && searcher->in_flight > mdl_capacity (searcher))
    {
      searcher->stats.crashes++;
      fail_all (searcher, config->crash_downtime, now);
    }
  else
    start_waiting (searcher, now);
  return MDL_ACCEPTED;
}

/* Counts the end of REQUEST, which has left the searcher.  */
static void
count_end (struct mdl_searcher *searcher, const struct mdl_request *request)
{
  switch (request->end)
    {
    case MDL_END_OK:
      searcher->stats.ok++;
      searcher->stats.parts_ok += (uint64_t)request->parts;
      if (!is_warm (searcher))
        searcher->served++;
      break;
    case MDL_END_FAILED:
      searcher->stats.failed++;
      break;
    case MDL_END_EXPIRED:
      searcher->stats.expired++;
      break;
    }
}

/* The time at which REQUEST ends, as far as it is known now.  */
static rw_time
ends_at (const struct mdl_request *request)
{
  return request->done_at < request->deadline ? request->done_at
                                              : request->deadline;
}

/* Returns the request that ends first, by NOW at the latest, or null.  */
struct mdl_request *
mdl_next_done (struct mdl_searcher *searcher, rw_time now)
{
  struct mdl_request *first = NULL;
  struct mdl_request *r;

  for (r = searcher->head; r != NULL; r = r->next)
    if (ends_at (r) <= now && (first == NULL || ends_at (r) < ends_at (first)))
      first = r;
  if (first == NULL)
    return NULL;
  if (first->done_at == RW_TIME_NEVER)
    first->end = MDL_END_EXPIRED;
  first->done_at = ends_at (first);
  unlink_request (searcher, first);
  first->running = false;
  count_end (searcher, first);
  signal_state (searcher, first->done_at);
  start_waiting (searcher, first->done_at);
  return first;
}

/* Returns the time of the next end, or RW_TIME_NEVER.  */
rw_time
mdl_next_event (const struct mdl_searcher *searcher)
{
  rw_time at = RW_TIME_NEVER;

  for (const struct mdl_request *r = searcher->head; r != NULL; r = r->next)
    if (ends_at (r) < at)
      at = ends_at (r);
  return at;
}

/* Removes REQUEST, which the searcher holds, at the wish of its caller.  */
void
mdl_cancel (struct mdl_searcher *searcher, struct mdl_request *request,
            rw_time now)
{
  unlink_request (searcher, request);
  request->running = false;
  searcher->stats.cancelled++;
  start_waiting (searcher, now);
}

/* Opens a connection unless the limit is reached or SEARCHER is down.  */
bool
mdl_connect (struct mdl_searcher *searcher, rw_time now)
{
  if (mdl_is_down (searcher, now)
      || searcher->connections >= searcher->config.max_connections)
    {
      searcher->stats.connections_refused++;
      return false;
    }
  searcher->connections++;
  if (searcher->connections > searcher->stats.peak_connections)
    searcher->stats.peak_connections = searcher->connections;
  return true;
}

/* Closes one connection.  */
void
mdl_disconnect (struct mdl_searcher *searcher)
{
  if (searcher->connections > 0)
    searcher->connections--;
}

/* Makes SEARCHER warm at once.  */
void
mdl_warm (struct mdl_searcher *searcher)
{
  int step = searcher->config.requests_per_slot > 0
                 ? searcher->config.requests_per_slot
                 : 1;

  searcher->served = searcher->config.slots * step;
}

/* SEARCHER becomes cold without a restart: what runs goes on, and callers
   cannot know until it answers.  */
void
mdl_go_cold (struct mdl_searcher *searcher, rw_time now)
{
  (void)now;
  searcher->served = 0;
  searcher->cold_unannounced = true;
}

/* SEARCHER dies at NOW and is up again, cold and with a new incarnation,
   after the time DOWN.  Its connections are gone.  */
void
mdl_restart (struct mdl_searcher *searcher, rw_time down, rw_time now)
{
  fail_all (searcher, down, now);
  searcher->incarnation = rw_rng_next (&searcher->rng) | 1;
  searcher->connections = 0;
  searcher->draining = false;
  searcher->cold_known_at = INT64_MIN;
}

/* A draining searcher ends what it has and accepts nothing.  */
void
mdl_set_draining (struct mdl_searcher *searcher, bool draining)
{
  searcher->draining = draining;
}
