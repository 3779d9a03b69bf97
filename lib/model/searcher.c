#include "model.h"

#include <math.h>
#include <string.h>

/* Draws a duration from TIME; the result is at least 1 microsecond.  */
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
        /* Box-Muller transform; 1 - unit is never 0.  */
        double radius = sqrt (-2 * log (1 - rw_rng_unit (rng)));
        double normal = radius * cos (2 * M_PI * rw_rng_unit (rng));

        drawn = (double)time->u.lognormal.median
                * exp (time->u.lognormal.sigma * normal);
        break;
      }
    }
  return drawn < 1 ? 1 : (rw_time)drawn;
}

/* Initializes a cold searcher that is up.  The incarnation is drawn from
   SEED, too.  */
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

/* Removes all requests without ending them; the caller still owns them.  */
void
mdl_searcher_finish (struct mdl_searcher *searcher)
{
  searcher->head = searcher->tail = NULL;
  searcher->in_flight = searcher->running = 0;
}

/* Returns the number of requests above which SEARCHER is overloaded, at least
   1.  */
int
mdl_capacity (const struct mdl_searcher *searcher)
{
  const struct mdl_config *config = &searcher->config;
  int step = config->requests_per_slot > 0 ? config->requests_per_slot : 1;
  int capacity = config->cold_capacity + searcher->served / step;

  if (capacity > config->slots)
    capacity = config->slots;
  return capacity > 0 ? capacity : 1;
}

static bool
is_warm (const struct mdl_searcher *searcher)
{
  return mdl_capacity (searcher) >= searcher->config.slots;
}

/* Returns the requests in flight in percent of the present capacity.  */
int
mdl_load (const struct mdl_searcher *searcher)
{
  return 100 * searcher->in_flight / mdl_capacity (searcher);
}

/* Returns whether the searcher fails every request at NOW.  */
bool
mdl_is_down (const struct mdl_searcher *searcher, rw_time now)
{
  return now < searcher->down_until;
}

/* Records that an answer or an error leaves the searcher at NOW.  Callers can
   detect from it that the searcher is cold.  */
static void
note_answer (struct mdl_searcher *searcher, rw_time now)
{
  if (!searcher->cold_unannounced)
    return;
  searcher->cold_unannounced = false;
  searcher->cold_known_at = now + searcher->config.detection_delay;
}

static void
append_request (struct mdl_searcher *searcher, struct mdl_request *request)
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

/* Fails all requests at NOW.  The searcher is down until NOW + DOWN and cold
   afterwards.  */
static void
fail_all_requests (struct mdl_searcher *searcher, rw_time down, rw_time now)
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
  bool undetected
      = searcher->cold_unannounced || now < searcher->cold_known_at;
  int *peak
      = undetected ? &stats->peak_permille_undetected : &stats->peak_permille;

  if (searcher->in_flight > stats->peak_in_flight)
    stats->peak_in_flight = searcher->in_flight;
  if (permille > *peak)
    *peak = permille;
}

/* Delivers REQUEST to SEARCHER at NOW.  The model keeps a pointer to REQUEST
   only if it returns MDL_ACCEPTED.  */
enum mdl_arrival
mdl_arrive (struct mdl_searcher *searcher, struct mdl_request *request,
            rw_time now)
{
  const struct mdl_config *config = &searcher->config;

  searcher->stats.arrived++;
  if (mdl_is_down (searcher, now) || searcher->draining)
    {
      searcher->stats.refused++;
      note_answer (searcher, now);
      return mdl_is_down (searcher, now) ? MDL_DOWN : MDL_DRAINING;
    }
  if (config->shed_at > 0 && searcher->in_flight >= config->shed_at)
    {
      searcher->stats.shed++;
      note_answer (searcher, now);
      return MDL_SHED;
    }
  request->arrived = now;
  request->running = false;
  request->done_at = RW_TIME_NEVER;
  append_request (searcher, request);
  record_concurrency (searcher, now);
  if (!is_warm (searcher) && searcher->in_flight > mdl_capacity (searcher))
    {
      searcher->stats.crashes++;
      fail_all_requests (searcher, config->crash_downtime, now);
    }
  else
    start_waiting (searcher, now);
  return MDL_ACCEPTED;
}

/* Counts how REQUEST, which has left the searcher, ended.  */
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

/* Returns when REQUEST ends: at the end of its service if that is known, at
   its deadline at the latest.  */
static rw_time
end_time (const struct mdl_request *request)
{
  return request->done_at < request->deadline ? request->done_at
                                              : request->deadline;
}

/* Removes and returns the request that ends first if it ends by NOW, or
   returns null.  */
struct mdl_request *
mdl_next_done (struct mdl_searcher *searcher, rw_time now)
{
  struct mdl_request *first = NULL;
  struct mdl_request *r;

  for (r = searcher->head; r != NULL; r = r->next)
    if (end_time (r) <= now
        && (first == NULL || end_time (r) < end_time (first)))
      first = r;
  if (first == NULL)
    return NULL;
  if (first->done_at == RW_TIME_NEVER)
    first->end = MDL_END_EXPIRED;
  first->done_at = end_time (first);
  unlink_request (searcher, first);
  first->running = false;
  count_end (searcher, first);
  note_answer (searcher, first->done_at);
  start_waiting (searcher, first->done_at);
  return first;
}

/* Returns when the next request ends, or RW_TIME_NEVER.  */
rw_time
mdl_next_event (const struct mdl_searcher *searcher)
{
  rw_time at = RW_TIME_NEVER;

  for (const struct mdl_request *r = searcher->head; r != NULL; r = r->next)
    if (end_time (r) < at)
      at = end_time (r);
  return at;
}

/* Removes REQUEST, which the searcher must hold.  mdl_next_done will not
   return it.  */
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

/* Makes SEARCHER cold without a restart.  Running requests continue, and
   callers cannot detect the change before the next answer.  */
void
mdl_go_cold (struct mdl_searcher *searcher, rw_time now)
{
  (void)now;
  searcher->served = 0;
  searcher->cold_unannounced = true;
}

/* Restarts SEARCHER at NOW: its requests fail, its connections are closed, and
   it is down for the time DOWN.  Afterwards it is cold and has a new
   incarnation.  */
void
mdl_restart (struct mdl_searcher *searcher, rw_time down, rw_time now)
{
  fail_all_requests (searcher, down, now);
  searcher->incarnation = rw_rng_next (&searcher->rng) | 1;
  searcher->connections = 0;
  searcher->draining = false;
  searcher->cold_known_at = INT64_MIN;
}

/* A draining searcher completes the requests that it holds and refuses new
   ones.  */
void
mdl_set_draining (struct mdl_searcher *searcher, bool draining)
{
  searcher->draining = draining;
}
