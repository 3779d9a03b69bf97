/* How targets are compared: the estimates of latency, failures and load, the
   detection of stalls, and the choice of the best target.  */

#include <math.h>
#include <string.h>

#include "impl.h"

/* Weights of one result in the moving averages of a target.  */
#define LATENCY_RATIO_WEIGHT 0.2
#define FAILURE_RATE_WEIGHT 0.2
/* Upper bound of the latency ratio of one result, and lower bound of the
   average of a target.  */
#define MAX_LATENCY_RATIO 20.0
#define MIN_LATENCY_RATIO 0.3
/* A stall counts as a pause if it ends more than this after the end of the
   previous stall: healthy targets pause every few seconds, while slow ones
   stall again at once.  A send that a pause held up does not count in the
   target's latency ratio, as it says nothing about the target's speed.  */
#define MIN_PAUSE_INTERVAL RW_SEC
/* Time constant with which the averages of a target return to normal without
   results.  It is short against slow periods of seconds, so that their end is
   noticed.  */
#define AVERAGE_DECAY_TIME (2 * RW_SEC)
/* Time constant with which a reported queue length decays to 0.  At two
   slots and 20 ms for each request, a queue changes within about 50 ms.  */
#define QUEUE_DECAY_TIME (50 * RW_MSEC)
/* A target that shed a request is assumed to have at least this many requests
   running or waiting for each of its slots.  */
#define SHED_QUEUE_PER_SLOT 4.0
/* A running request takes on average this fraction of its time until it
   ends.  */
#define RUNNING_TIME_FRACTION 0.5
/* Weight of one result in the estimates of the time that targets work, and the
   highest backlog per slot with which a result counts.  */
#define WORK_WEIGHT 0.005
#define MAX_IDLE_BACKLOG 0.25
/* A single result counts as at most this multiple of such an estimate.  */
#define MAX_WORK_RATIO 4.0
/* Time constant of the average of the reported backlog, and the least weight
   of a report in it.  */
#define BACKLOG_AVERAGE_TIME (60 * RW_MSEC)
#define MIN_BACKLOG_WEIGHT 0.3
/* A backlog that is not reported again is taken as unchanged for some time,
   and then decays.  If even the mean of the reports needs longer than the
   decay to drain, the backlog decays only to that at first.  */
#define BACKLOG_HOLD_TIME (100 * RW_MSEC)
#define BACKLOG_MEAN_HOLD_TIME RW_SEC
#define BACKLOG_MEAN_WEIGHT 0.2
#define BACKLOG_DECAY_TIME (200 * RW_MSEC)
/* The load that a target reports is not used for this long after it refused a
   request while it reported free slots.  */
#define DISTRUST_TIME (10 * RW_SEC)
/* A target that has not replied for longer than expected, as it does in a
   pause, is expected to need this multiple of the excess.  */
#define OVERDUE_WEIGHT 3.0
/* The oldest send without a result shows a queue when it is older than this
   multiple of the work on a request.  */
#define MAX_WORK_AGE_RATIO 2.0

/* While a target is in trouble, one of the same place must have replied within
   this time.  */
#define MAX_DOUBTFUL_SILENCE (50 * RW_MSEC)

/* Penalties: times added to the expected time of a target.  */

/* A message takes about 1.5 ms in each direction, and traffic between data
   centres has a cost.  On routes with long work the differences between
   targets that are as good are larger than that: there it is this fraction of
   the mean latency.  */
#define OTHER_DC_PENALTY (8 * RW_MSEC)
#define OTHER_DC_LATENCY_FRACTION 0.25
#define COLD_PENALTY (25 * RW_MSEC)
/* A new connection takes 6 ms, and the target may have too many already.  */
#define OUTSIDE_SUBSET_PENALTY (15 * RW_MSEC)
/* About the length of a pause, after which a stalled target answers again.  */
#define STALL_PENALTY (150 * RW_MSEC)
/* At a failure rate of 1.  */
#define FAILURE_PENALTY (300 * RW_MSEC)
/* A target that names a limit is in need, and its share is of use to parts
   that are late elsewhere; but it is nearer than one of another data
   centre.  */
#define LIMITED_PENALTY (5 * RW_MSEC)
/* So long that a leaving target is picked only if no other is usable.  */
#define LEAVING_PENALTY (10 * RW_SEC)
#define BACKOFF_PENALTY (2 * RW_SEC)

/* Upper bound of the random part of the choice, so that daemons with the same
   view do not all pick the same target.  */
#define MAX_JITTER (2 * RW_MSEC)
/* The first backoff of a target, and the bound up to which it doubles.  */
#define MIN_BACKOFF (100 * RW_MSEC)
#define MAX_BACKOFF (2 * RW_SEC)
#define MAX_BACKOFF_DOUBLINGS 5
/* A target without other sends is stalled if a send takes longer than this
   factor times its expected p90 latency, plus the margin.  The other sends in
   flight, divided by the number of slots, are added to the factor.  */
#define STALL_TIME_FACTOR 1.2
#define STALL_MARGIN (12 * RW_MSEC)

/* A target rarely works longer than this multiple of the average.  */
#define SAFE_WORK_RATIO 1.5

/* Number of results of a route after which its estimates move more slowly.  */
#define INITIAL_RESULT_COUNT 50

/* Before the first result, the mean is assumed to be 1/8 of the aim and the
   p90 1/5 of it.  */
void
ste_latency_init (struct ste_latency *latency, rw_time aim)
{
  latency->mean = (double)aim / 8;
  latency->p90 = (double)aim / 5;
  latency->count = 0;
  latency->work = (struct ste_work){ latency->mean, 0 };
}

/* Adds a latency in USEC to the estimates of a route.  In the mean, outliers
   count as 4 times the mean.  */
static void
latency_add (struct ste_latency *latency, double usec)
{
  double weight = latency->count < INITIAL_RESULT_COUNT ? 0.1 : 0.01;
  double clipped = fmin (usec, latency->mean * 4);
  latency->count++;
  latency->mean += weight * (clipped - latency->mean);
  /* A step up is 9 times as long as a step down, so they balance where 1 of 10
     latencies is above the estimate: at the 0.9 quantile.  */
  double step
      = latency->p90 * (latency->count < INITIAL_RESULT_COUNT ? 0.1 : 0.02);
  latency->p90 += usec > latency->p90 ? step * 0.9 : -step * 0.1;
  if (latency->p90 < latency->mean)
    latency->p90 = latency->mean;
}

/* Returns VALUE, which was last updated at SINCE, after exponential decay
   towards NORMAL.  */
static double
decayed (double value, double normal, rw_time since, rw_time now,
         rw_time time_constant)
{
  if (now <= since)
    return value;
  return normal
         + (value - normal) * exp (-(double)(now - since) / time_constant);
}

static bool
dc_is_out (const struct ste_fleet *fleet, uint64_t dc, rw_time now)
{
  for (size_t i = 0; i < fleet->dcs_out_count; i++)
    if (fleet->dcs_out[i] == dc)
      return true;
  for (size_t i = 0; i < STE_MAX_DCS_OUT; i++)
    if (fleet->held_dcs[i].until > now && fleet->held_dcs[i].dc == dc)
      return true;
  return false;
}

bool
ste_usable (const struct ste_fleet *fleet, const struct ste_target *target,
            rw_time now)
{
  if ((target->draining || target->gone) && now >= target->usable_until)
    return false;
  if (now < target->doubtful_until || now < target->held_until)
    return false;
  return !dc_is_out (fleet, target->dc, now);
}

enum ste_state
ste_state_of (const struct ste_target *target, rw_time now)
{
  if (target->draining || target->gone)
    return STE_LEAVING;
  if (ste_is_cold (target, now))
    return STE_COLD;
  return ste_stalled (target, now) ? STE_STALLED : STE_HEALTHY;
}

const char *
ste_state_name (enum ste_state state)
{
  switch (state)
    {
    case STE_HEALTHY:
      return "well";
    case STE_COLD:
      return "cold";
    case STE_LEAVING:
      return "leaving";
    case STE_STALLED:
      return "stalled";
    case STE_STATE_COUNT:
      break;
    }
  return "unknown";
}

bool
ste_any_usable (const struct ste_fleet *fleet,
                const struct ste_service *service, rw_time now)
{
  const struct ste_target *target = service->targets;
  while (target != NULL && !ste_usable (fleet, target, now))
    target = target->next;
  return target != NULL;
}

double
ste_time_until_usable (const struct ste_fleet *fleet,
                       const struct ste_service *service, rw_time now)
{
  double best = INFINITY;
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      rw_time at = t->held_until > t->doubtful_until ? t->held_until
                                                     : t->doubtful_until;
      if (!ste_usable (fleet, t, now))
        {
          if (at > now && ste_usable (fleet, t, at))
            best = fmin (best, (double)(at - now));
          continue;
        }
      best = fmin (best, ste_limit_wait (fleet, t, now));
    }
  return best;
}

bool
ste_stalled (const struct ste_target *target, rw_time now)
{
  for (const struct ste_send *s = target->oldest_send; s != NULL; s = s->next)
    if (s->sent_at >= target->last_reply)
      return now > s->stall_deadline;
  return false;
}

void
ste_count_waiting (const struct ste_fleet *fleet, size_t *waiting,
                   size_t *stalled, rw_time now)
{
  *waiting = 0;
  *stalled = 0;
  for (const struct ste_service *s = fleet->first_service; s != NULL;
       s = s->next)
    for (const struct ste_target *t = s->targets; t != NULL; t = t->next)
      {
        if (s->of_peers || t->in_flight == 0)
          continue;
        *waiting += 1;
        *stalled += ste_stalled (t, now);
      }
}

/* Whether A is to be probed before B: the one that replied last, and of those
   that never did a different one at each daemon.  */
static bool
is_probed_before (const struct ste_fleet *fleet, const struct ste_target *a,
                  const struct ste_target *b)
{
  uint64_t own = fleet->settings.daemon_key;
  if (a->last_heard != b->last_heard)
    return a->last_heard > b->last_heard;
  return rw_hash_u64 (own, a->key) > rw_hash_u64 (own, b->key);
}

size_t
ste_pick_last_heard (const struct ste_fleet *fleet,
                     struct ste_target **targets, size_t max, rw_time now)
{
  size_t count = 0;
  for (const struct ste_service *s = fleet->first_service; s != NULL;
       s = s->next)
    for (struct ste_target *t = s->targets; t != NULL; t = t->next)
      {
        size_t at = count;
        if (s->of_peers || !ste_usable (fleet, t, now) || t->draining
            || t->gone)
          continue;
        while (at > 0 && is_probed_before (fleet, t, targets[at - 1]))
          at--;
        if (at == max)
          continue;
        if (count < max)
          count++;
        memmove (&targets[at + 1], &targets[at],
                 (count - 1 - at) * sizeof targets[0]);
        targets[at] = t;
      }
  return count;
}

bool
ste_in_doubt (const struct ste_service *service, rw_time now)
{
  bool in_trouble = false;
  rw_time last_reply = 0;
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      in_trouble |= now < t->backoff_until || ste_stalled (t, now);
      if (t->last_reply > last_reply)
        last_reply = t->last_reply;
    }
  return in_trouble && now - last_reply > MAX_DOUBTFUL_SILENCE;
}

static bool
trusts_load (const struct ste_target *target, rw_time now)
{
  return target->reports_load && now >= target->load_distrusted_until;
}

/* Adds a number of waiting requests per slot to the averages of TARGET.  */
static void
backlog_add (struct ste_target *target, double backlog, rw_time now)
{
  double weight
      = 1 - exp (-(double)(now - target->backlog_at) / BACKLOG_AVERAGE_TIME);
  target->backlog
      += fmax (weight, MIN_BACKLOG_WEIGHT) * (backlog - target->backlog);
  target->backlog_mean
      += BACKLOG_MEAN_WEIGHT * (backlog - target->backlog_mean);
  target->backlog_at = now;
}

static double
backlog_of (const struct ste_target *target, rw_time now)
{
  if (target->backlog == 0)
    return 0;
  double floor = fmin (target->backlog, target->backlog_mean);
  if (floor * target->service->work.mean < BACKLOG_DECAY_TIME)
    floor = 0;
  floor = decayed (floor, 0, target->backlog_at + BACKLOG_MEAN_HOLD_TIME, now,
                   BACKLOG_DECAY_TIME);
  return decayed (target->backlog, floor,
                  target->backlog_at + BACKLOG_HOLD_TIME, now,
                  BACKLOG_DECAY_TIME);
}

double
ste_work_ratio (const struct ste_target *target, rw_time now)
{
  double latency_ratio
      = decayed (target->latency_ratio, 1, target->latency_ratio_at, now,
                 AVERAGE_DECAY_TIME);
  return ste_mix_ratio (target, latency_ratio, now);
}

bool
ste_has_room (const struct ste_target *target, rw_time now)
{
  return backlog_of (target, now) < 1;
}

/* The delay in the queues of SERVICE that a peer last reported.  */
static double
peer_delay_of (const struct ste_service *service, rw_time now)
{
  if (service->peer_delay_at == 0)
    return 0;
  return decayed (service->peer_delay, 0,
                  service->peer_delay_at + BACKLOG_HOLD_TIME, now,
                  BACKLOG_DECAY_TIME);
}

void
ste_on_delay_report (struct ste_service *service, double delay, rw_time now)
{
  service->peer_delay = delay;
  service->peer_delay_at = now;
}

/* The delay in the queue of the best target of SERVICE, if those of other data
   centres have at least OTHER_DC_DELAY.  */
static double
best_queue_delay (const struct ste_fleet *fleet,
                  const struct ste_service *service, double other_dc_delay,
                  rw_time now)
{
  double best = INFINITY;
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      if (!ste_usable (fleet, t, now) || now < t->backoff_until
          || !ste_limit_allows (fleet, t, now))
        continue;
      double delay = backlog_of (t, now) * service->work.mean;
      if (delay > 0)
        delay *= fmax (decayed (t->latency_ratio, 1, t->latency_ratio_at, now,
                                AVERAGE_DECAY_TIME),
                       1);
      delay = ste_mix_delay (t, delay, now);
      if (t->oldest_send != NULL)
        delay = fmax (delay, (double)(now - t->oldest_send->sent_at)
                                 - MAX_WORK_AGE_RATIO * service->work.mean);
      if (t->dc != fleet->settings.dc)
        delay = fmax (delay, other_dc_delay);
      best = fmin (best, delay);
    }
  return best;
}

double
ste_own_queue_delay (const struct ste_fleet *fleet,
                     const struct ste_service *service, rw_time now)
{
  return best_queue_delay (fleet, service, 0, now);
}

double
ste_queue_delay (const struct ste_fleet *fleet,
                 const struct ste_service *service, rw_time now)
{
  return best_queue_delay (fleet, service, peer_delay_of (service, now), now);
}

/* Returns the time in microseconds until a target of SLOTS that has QUEUE_LEN
   requests of WORK each, running or waiting, begins another one.  */
static double
queue_time (double queue_len, double slots, double work)
{
  double running = fmin (queue_len, slots);
  double waiting = queue_len - running;
  return work * (RUNNING_TIME_FRACTION * running + waiting) / slots;
}

/* Returns the time in microseconds since TARGET last replied, or since its
   oldest send if that was later; 0 if no send is in flight.  */
static double
quiet_time (const struct ste_target *target, rw_time now)
{
  const struct ste_send *oldest = target->oldest_send;
  if (oldest == NULL)
    return 0;
  return (double)(now
                  - (oldest->sent_at > target->last_reply
                         ? oldest->sent_at
                         : target->last_reply));
}

double
ste_safe_time (const struct ste_target *target, double work, double ahead,
               rw_time now)
{
  double uneven = target->service->capacity.unevenness;
  double queue_len = decayed (target->queue_len, 0, target->queue_len_at, now,
                              QUEUE_DECAY_TIME);
  if (uneven > 0)
    work *= 1 + uneven * fmax (ste_work_ratio (target, now) - 1, 0);
  return work * SAFE_WORK_RATIO
         + queue_time (fmax (queue_len, ahead), target->slots, work);
}

double
ste_expected_time (const struct ste_fleet *fleet,
                   const struct ste_target *target,
                   const struct ste_latency *latency, rw_time now)
{
  double ratio = ste_work_ratio (target, now);
  double failure_rate
      = decayed (target->failure_rate, 0, target->failure_rate_at, now,
                 AVERAGE_DECAY_TIME);
  double queue_len = decayed (target->queue_len, 0, target->queue_len_at, now,
                              QUEUE_DECAY_TIME);
  if (queue_len < target->in_flight)
    queue_len = target->in_flight;
  queue_len = ste_mix_queue (target, queue_len, now);
  double run_time = latency->mean * ratio;
  double uneven = target->service->capacity.unevenness;
  double work = target->service->work.mean;
  if (uneven > 0)
    {
      run_time += uneven * (latency->work.mean * ratio - run_time);
      work *= 1 + uneven * (ratio - 1);
    }
  double time = run_time;
  double wait
      = queue_time (queue_len, target->slots, work > 0 ? work : run_time);
  if (target->dc != fleet->settings.dc)
    wait = fmax (wait, peer_delay_of (target->service, now));
  time += wait;
  time += OVERDUE_WEIGHT * fmax (quiet_time (target, now) - time, 0);
  if (target->dc != fleet->settings.dc)
    time += fmax (OTHER_DC_PENALTY, latency->mean * OTHER_DC_LATENCY_FRACTION);
  if (target->outside_subset)
    time += OUTSIDE_SUBSET_PENALTY;
  if (ste_is_cold (target, now))
    time += COLD_PENALTY;
  if (target->limited)
    time += LIMITED_PENALTY;
  if (ste_stalled (target, now))
    time += STALL_PENALTY;
  time += failure_rate * FAILURE_PENALTY;
  if (now < target->backoff_until)
    time += BACKOFF_PENALTY;
  if (target->draining || target->gone)
    time += LEAVING_PENALTY;
  return time;
}

void
ste_times_by_dc (const struct ste_fleet *fleet,
                 const struct ste_service *service,
                 const struct ste_latency *latency, uint64_t *dcs,
                 size_t *dc_count, size_t max, double *times, rw_time now)
{
  for (size_t i = 0; i < max; i++)
    times[i] = INFINITY;
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      size_t i = 0;
      if (t->dc == fleet->settings.dc || !ste_usable (fleet, t, now)
          || !ste_limit_allows (fleet, t, now))
        continue;
      while (i < *dc_count && dcs[i] != t->dc)
        i++;
      if (i == max)
        continue;
      if (i == *dc_count)
        dcs[(*dc_count)++] = t->dc;
      times[i] = fmin (times[i], ste_expected_time (fleet, t, latency, now));
    }
}

static bool
is_tried (const struct ste_target *target, struct ste_target *const *tried,
          size_t tried_n)
{
  for (size_t i = 0; i < tried_n; i++)
    if (tried[i] == target)
      return true;
  return false;
}

struct ste_target *
ste_pick (struct ste_fleet *fleet, struct ste_service *service,
          const struct ste_latency *latency, struct ste_target *const *tried,
          size_t tried_n, rw_time now)
{
  struct ste_target *best = NULL;
  double best_time = 0;
  for (struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      if (is_tried (t, tried, tried_n) || !ste_usable (fleet, t, now)
          || (t->recovering && t->in_flight > 0)
          || !ste_limit_allows (fleet, t, now)
          || !ste_warmup_allows (fleet, t, now))
        continue;
      double random = rw_rng_unit (&fleet->rng);
      double time = ste_expected_time (fleet, t, latency, now)
                    + random * MAX_JITTER + ste_choice_cost (t, random, now);
      if (best == NULL || time < best_time)
        {
          best = t;
          best_time = time;
        }
    }
  if (best != NULL)
    ste_spend_warmup (fleet, best, now);
  return best;
}

void
ste_on_sent (struct ste_send *send, struct ste_target *target,
             struct ste_latency *latency, rw_time now)
{
  double run_time = latency->p90 * fmax (ste_work_ratio (target, now), 1);
  double queue_per_slot = (double)target->in_flight / target->slots;
  memset (send, 0, sizeof *send);
  send->target = target;
  send->latency = latency;
  send->sent_at = now;
  send->load = ste_known_load (target, now);
  send->stall_deadline
      = now + (rw_time)(run_time * (STALL_TIME_FACTOR + queue_per_slot))
        + STALL_MARGIN;
  send->prev = target->newest_send;
  if (target->newest_send != NULL)
    target->newest_send->next = send;
  else
    target->oldest_send = send;
  target->newest_send = send;
  target->sent_since++;
  target->in_flight++;
}

void
ste_on_progress (struct ste_target *target, rw_time now)
{
  target->last_reply = now;
}

static void
unlink_send (struct ste_send *send)
{
  struct ste_target *target = send->target;
  if (send->prev != NULL)
    send->prev->next = send->next;
  else
    target->oldest_send = send->next;
  if (send->next != NULL)
    send->next->prev = send->prev;
  else
    target->newest_send = send->prev;
  target->in_flight--;
}

static void
update_failure_rate (struct ste_target *target, double failed, rw_time now)
{
  double old = decayed (target->failure_rate, 0, target->failure_rate_at, now,
                        AVERAGE_DECAY_TIME);
  target->failure_rate = old + FAILURE_RATE_WEIGHT * (failed - old);
  target->failure_rate_at = now;
}

static void
update_latency_ratio (struct ste_target *target, const struct ste_send *send,
                      rw_time now)
{
  double took = (double)(now - send->sent_at);
  double ratio = fmin (took / send->latency->mean, MAX_LATENCY_RATIO);
  double old = decayed (target->latency_ratio, 1, target->latency_ratio_at,
                        now, AVERAGE_DECAY_TIME);
  target->latency_ratio
      = fmax (MIN_LATENCY_RATIO, old + LATENCY_RATIO_WEIGHT * (ratio - old));
  target->latency_ratio_at = now;
}

static void
work_add (struct ste_work *work, double sample)
{
  double weight = fmax (WORK_WEIGHT, 1 / (double)++work->count);
  if (work->mean > 0)
    sample = fmin (sample, work->mean * MAX_WORK_RATIO);
  work->mean += weight * (sample - work->mean);
}

/* Counts a success in the estimates of the time that targets work, if the
   request had hardly to wait for others.  The wait at a target that does not
   report its load follows from the latency.  */
static void
update_work (struct ste_send *send, rw_time now)
{
  struct ste_target *target = send->target;
  struct ste_work *work = &target->service->work;
  double latency = (double)(now - send->sent_at);
  double wait = fmax (latency - send->latency->work.mean, 0);
  if (!trusts_load (target, now) && work->mean > 0)
    backlog_add (target, wait / work->mean, now);
  if (backlog_of (target, now) > MAX_IDLE_BACKLOG)
    return;
  work_add (work, latency);
  work_add (&send->latency->work, latency);
}

/* Records the end of a stall, and of a pause if the stall counts as one.  */
static void
end_stall (struct ste_target *target, rw_time now)
{
  if (target->last_stall_end == 0
      || now - target->last_stall_end > MIN_PAUSE_INTERVAL)
    target->last_pause_end = now;
  target->last_stall_end = now;
}

void
ste_on_result (struct ste_send *send, enum ste_outcome outcome, rw_time now)
{
  struct ste_target *target = send->target;
  bool was_stalled = ste_stalled (target, now);
  unlink_send (send);
  switch (outcome)
    {
    case STE_OK:
      if (was_stalled)
        end_stall (target, now);
      /* A send from before the end of a pause was held up by it.  */
      if (send->sent_at >= target->last_pause_end)
        {
          ste_learn_capacity (send, trusts_load (target, now), now);
          update_latency_ratio (target, send, now);
        }
      latency_add (send->latency, (double)(now - send->sent_at));
      update_work (send, now);
      update_failure_rate (target, 0, now);
      target->backoff_count = 0;
      target->backoff_until = 0;
      target->recovering = false;
      target->last_reply = now;
      break;
    case STE_SHED:
      target->last_reply = now;
      if (target->queue_len_at == now && target->queue_len <= target->slots)
        target->load_distrusted_until = now + DISTRUST_TIME;
      target->queue_len
          = fmax (decayed (target->queue_len, 0, target->queue_len_at, now,
                           QUEUE_DECAY_TIME),
                  target->slots * SHED_QUEUE_PER_SLOT);
      target->queue_len_at = now;
      break;
    case STE_FAILED:
      target->last_reply = now;
      update_failure_rate (target, 1, now);
      break;
    case STE_ABANDONED:
      if (was_stalled)
        {
          /* Else two pauses without a success between them would count as one
             long outage.  */
          bool is_first = target->backoff_count == 0
                          || now - target->backoff_until > STE_MAX_FAILURE_GAP;
          ste_back_off (target, now);
          if (is_first)
            target->failing_since = send->sent_at > target->last_reply
                                        ? send->sent_at
                                        : target->last_reply;
        }
      break;
    }
}

void
ste_back_off (struct ste_target *target, rw_time now)
{
  rw_time span = MIN_BACKOFF << (target->backoff_count < MAX_BACKOFF_DOUBLINGS
                                     ? target->backoff_count
                                     : MAX_BACKOFF_DOUBLINGS);
  if (now < target->backoff_until)
    return;
  if (target->backoff_count == 0)
    target->failing_since = now;
  target->backoff_count++;
  target->backoff_until = now + (span < MAX_BACKOFF ? span : MAX_BACKOFF);
}

void
ste_forget_backoffs (struct ste_fleet *fleet)
{
  for (struct ste_service *s = fleet->first_service; s != NULL; s = s->next)
    for (struct ste_target *t = s->targets; t != NULL && !s->of_peers;
         t = t->next)
      {
        t->backoff_until = 0;
        t->backoff_count = 0;
        t->failure_rate = 0;
      }
}

void
ste_on_load_report (struct ste_target *target, unsigned int running,
                    unsigned int waiting, unsigned int slots, rw_time now)
{
  if (slots > 0)
    target->slots = slots;
  target->reports_load = true;
  if (trusts_load (target, now))
    backlog_add (target, (double)waiting / target->slots, now);
  target->queue_len = running + waiting;
  target->queue_len_at = now;
  target->running = running;
  target->waiting = waiting;
  target->sent_since = 0;
  cap_on_load (&target->capacity, &target->service->capacity,
               target->queue_len, now);
}
