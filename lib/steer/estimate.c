/* The use of the estimates of lib/capacity.  They count in proportion to the
   unevenness of a service: as long as its targets are not known to differ from
   each other or to slow down early, nothing depends on them.  */

#include <math.h>

#include "impl.h"

/* Results of a route after which the mean of its work can be compared to the
   work of single targets.  */
#define MIN_WORK_COUNT 20
/* A load report is taken to hold for this long: by then requests of other
   daemons may have arrived.  */
#define FRESH_LOAD_TIME (30 * RW_MSEC)
/* Spread of the choice, as a fraction of the mean work, so that many daemons
   that know the same do not all pick the fastest target.  */
#define CHOICE_SPREAD 0.15

/* The requests of this daemon that the last report of TARGET did not
   count.  */
static unsigned int
added_load (const struct ste_target *target)
{
  return target->sent_since < target->in_flight ? target->sent_since
                                                : target->in_flight;
}

static struct cap_estimate
estimate_of (const struct ste_target *target, rw_time now)
{
  return cap_estimate (&target->capacity, &target->service->capacity,
                       target->slots, added_load (target), now);
}

double
ste_mix_ratio (const struct ste_target *target, double ratio, rw_time now)
{
  double share = target->service->capacity.unevenness;
  if (share <= 0)
    return ratio;
  return ratio + share * (estimate_of (target, now).work - ratio);
}

double
ste_hedge_factor (const struct ste_target *target, rw_time now)
{
  double ratio = ste_mix_ratio (target, 1, now);
  return fmin (fmax (ratio, STE_MIN_HEDGE_FACTOR), STE_MAX_HEDGE_FACTOR);
}

double
ste_mix_queue (const struct ste_target *target, double queue_len, rw_time now)
{
  double share = target->service->capacity.unevenness;
  if (share <= 0)
    return queue_len;
  struct cap_estimate estimate = estimate_of (target, now);
  double load = fmax (estimate.load, target->in_flight);
  return queue_len + share * (load - queue_len);
}

double
ste_choice_cost (const struct ste_target *target, double random, rw_time now)
{
  double share = target->service->capacity.unevenness;
  if (share <= 0)
    return 0;
  struct cap_estimate estimate = estimate_of (target, now);
  double spread = -log (1 - random) * CHOICE_SPREAD;
  return share * target->service->work.mean * (estimate.burden + spread);
}

double
ste_known_load (const struct ste_target *target, rw_time now)
{
  if (!target->reports_load || now - target->queue_len_at > FRESH_LOAD_TIME)
    return -1;
  return target->queue_len + target->sent_since;
}

double
ste_mix_delay (const struct ste_target *target, double delay, rw_time now)
{
  double share = target->service->capacity.unevenness;
  if (share <= 0)
    return delay;
  struct cap_estimate estimate = estimate_of (target, now);
  double load = fmax (estimate.load, target->in_flight);
  double waiting = fmax (load - target->slots, 0) / target->slots;
  double model = target->service->work.mean
                 * (waiting * estimate.work + estimate.work - estimate.alone
                    + estimate.burden);
  return delay + share * (model - delay);
}

/* Computes again how uneven the targets of SERVICE are known to be.  */
static void
update_unevenness (struct ste_service *service, rw_time now)
{
  struct cap_comparison comparison = { 0 };
  if (!cap_comparison_due (&service->capacity, now))
    return;
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    cap_compare (&comparison, &t->capacity, &service->capacity, now);
  cap_set_unevenness (&service->capacity, &comparison, now);
}

void
ste_learn_capacity (const struct ste_send *send, bool trusts_load, rw_time now)
{
  struct ste_target *target = send->target;
  struct ste_service *service = target->service;
  const struct ste_work *usual = &send->latency->work;
  if (service->without_capacity || service->of_peers
      || usual->count < MIN_WORK_COUNT || usual->mean <= 0)
    return;
  struct cap_sample sample
      = { .latency = (double)(now - send->sent_at),
          .usual = usual->mean,
          .has_load = trusts_load && target->queue_len_at == now,
          .running = target->running,
          .waiting = target->waiting,
          .slots = target->slots,
          .targets = service->target_count,
          .load_before = send->load };
  cap_on_result (&target->capacity, &service->capacity, &sample, now);
  update_unevenness (service, now);
}

void
ste_on_work_figure (struct ste_target *target, unsigned int percent,
                    rw_time now)
{
  cap_on_figure (&target->capacity, &target->service->capacity, percent, now);
}
