#include <math.h>

#include "capacity.h"

/* Number of results from which an estimate has half of its full
   confidence.  */
#define HALF_CONFIDENCE 1.5
/* Least weight of a result in the average of a target, and in that of the last
   few results.  */
#define MIN_WORK_WEIGHT 0.08
/* The same in the average over all targets.  */
#define LEVEL_WEIGHT 0.01
#define RECENT_WEIGHT 0.3
/* The average of the last few results replaces the other one when they differ
   by this many standard deviations, and by this logarithm of a ratio.  */
#define CHANGE_DEVIATIONS 3.0
#define MIN_CHANGE 0.3
/* Results that the average of the last few stands for.  */
#define RECENT_COUNT 5.0
/* Time constant with which evidence loses its weight, as a multiple of the
   usual time between two results of a target, and its bounds.  A target that
   is avoided as slow gets requests again after it, so that the end of a slow
   period is noticed.  A daemon that sees a target once a second would learn
   nothing within the lower bound.  */
#define AGE_INTERVALS 20
#define MIN_AGE_TIME (2 * RW_SEC)
#define MAX_AGE_TIME (40 * RW_SEC)
#define INTERVAL_WEIGHT 0.02
/* Under a high load no result is clear of waits.  That targets differ, found
   before, holds for this multiple of the time.  */
#define CLEAR_AGE_FACTOR 20
/* Bounds of the ratio of one result.  */
#define MIN_RATIO 0.05
#define MAX_RATIO 8.0
/* A target counts as different from the mean from the first logarithm of a
   ratio on, and fully from the second; what the standard deviation may explain
   DOUBT_DEVIATIONS times is left out.  */
#define SLIGHT_RATIO 0.25
#define CLEAR_RATIO 0.4
/* The logarithm of a slow-down counts from the first value on, plus the second
   divided by the slots, and fully from the third above that.  With few slots a
   request that seemed to find a free one often had to wait.  */
#define SLIGHT_SLOWDOWN 0.2
#define SLIGHT_SLOWDOWN_SLOTS 1.0
#define SLOWDOWN_RANGE 0.2
#define DOUBT_DEVIATIONS 3.0
/* The variance of N values that differ by chance alone is hardly ever above
   the expected one by more than this, divided by the square root of N - 1.  */
#define VARIANCE_DOUBT 8.0
/* Weight of a result that possibly had to wait, as the target had no free
   slot when it answered.  */
#define WAITED_QUALITY 0.05
/* Weight of one that had to wait for a time that the load before it tells.  */
#define CORRECTED_QUALITY 0.3
/* The same in the comparison of targets.  With the weight above, equal targets
   that wait differently counted as different.  */
#define CORRECTED_CLEAR_QUALITY 0.1
/* Part of the slots that requests of other daemons may have taken since the
   last report.  */
#define UNSEEN_LOAD 0.25
/* A running request takes on average this part of its time until it ends.  */
#define RUNNING_PART 0.5
/* Least weights of a result in the averages by load: of the target and of the
   service.  */
#define TARGET_STEP_WEIGHT 0.03
#define SERVICE_STEP_WEIGHT 0.01
/* The averages of a service count as this many results of each target.  */
#define SERVICE_STEP_COUNT 100.0
/* Results in a step from which it counts half, and the highest step that may
   serve as reference for the others.  */
#define HALF_STEP_COUNT 5.0
/* What this many standard deviations may explain is no slow-down, and the
   least variance of the logarithm of a time of work.  */
#define STEP_DEVIATIONS 1.0
#define MIN_VARIANCE 0.2
#define MAX_REFERENCE_STEP (CAP_STEPS / 2)
/* A target is said to slow down where its work takes this multiple.  */
#define SLOWDOWN_RATIO 1.2
/* Bounds of the figure, so that a false one neither hides a target nor makes
   it attractive beyond measure.  */
#define MIN_FIGURE 0.25
#define MAX_FIGURE 10.0
#define FIGURE_WEIGHT 0.05
#define SERVICE_FIGURE_WEIGHT 0.01
/* The figures count from the first mean deviation from 1 on, and fully from
   the second.  */
#define SLIGHT_DEVIATION 0.02
#define CLEAR_DEVIATION 0.05
/* The same for the standard deviation between the targets of a service, less
   what is due to chance.  */
#define SLIGHT_SPREAD 0.2
#define CLEAR_SPREAD 0.35
/* Comparing all targets costs about as much as choosing one.  */
#define COMPARISON_INTERVAL (20 * RW_MSEC)
/* Targets with fewer results are not compared to others.  */
#define MIN_COMPARED_COUNT 4.0
/* Time constant with which a reported figure returns to the mean of the
   target's figures.  In bursts of 50 ms, 30 to 100 ms gave the highest
   goodput; 1 s gave less than not following the last figure.  */
#define FIGURE_TIME (50 * RW_MSEC)
/* The same for the number of requests at a target.  */
#define LOAD_TIME (50 * RW_MSEC)
#define LOAD_WEIGHT 0.15
/* An estimate is announced when it changed by this factor, and by more than
   chance explains.  */
#define ANNOUNCED_RATIO (4.0 / 3)

static double
clamp (double value, double low, double high)
{
  return fmin (fmax (value, low), high);
}

/* Returns the part that is left of something after AGE.  */
static double
left_after (rw_time since, rw_time now, rw_time time_constant)
{
  return now <= since ? 1 : exp (-(double)(now - since) / time_constant);
}

static void
mean_add (struct cap_mean *mean, double sample, double quality,
          double min_weight)
{
  double weight
      = fmax (quality / (mean->count + quality), min_weight * quality);
  mean->value += weight * (sample - mean->value);
  mean->count = fmin (mean->count + quality, 2 / min_weight);
}

/* The time constant with which evidence of the targets of SERVICE ages.  */
static rw_time
age_time (const struct cap_service *service)
{
  return (rw_time)clamp (service->interval.value * AGE_INTERVALS, MIN_AGE_TIME,
                         MAX_AGE_TIME);
}

/* The figure expected of TARGET now, divided by the mean of SERVICE.  It
   counts in proportion to the results that confirm the figures.  */
static double
figure_now (const struct cap_target *target, const struct cap_service *service,
            rw_time now)
{
  if (target->figure_at == 0 || service->figure.value <= 0)
    return 1;
  double confirmed
      = target->work.count / (target->work.count + HALF_CONFIDENCE);
  double held = left_after (target->figure_at, now, age_time (service));
  double mean = service->figure.value
                + (target->figure.value - service->figure.value) * held;
  double figure = mean
                  + (target->last_figure - target->figure.value)
                        * left_after (target->figure_at, now, FIGURE_TIME);
  return pow (fmax (figure, MIN_FIGURE) / service->figure.value, confirmed);
}

/* The figure to which the latency of a request that was just answered is due,
   divided by the mean of SERVICE: the reported one holds for the end of the
   request, and the longer it took the less.  */
static double
figure_during (const struct cap_target *target,
               const struct cap_service *service, double latency, rw_time now)
{
  if (target->figure_at != now || service->figure.value <= 0)
    return 1;
  double periods = latency / FIGURE_TIME;
  double held = periods > 0 ? (1 - exp (-periods)) / periods : 1;
  double figure = target->figure.value
                  + (target->last_figure - target->figure.value) * held;
  return fmax (figure, MIN_FIGURE) / service->figure.value;
}

/* The average by load at STEP, of TARGET and SERVICE together.  */
static struct cap_mean
step_mean (const struct cap_target *target, const struct cap_service *service,
           size_t step)
{
  const struct cap_mean *own = &target->steps[step];
  const struct cap_mean *all = &service->steps[step];
  double all_count = fmin (all->count, SERVICE_STEP_COUNT);
  double count = own->count + all_count;
  if (count <= 0)
    return (struct cap_mean){ 0, 0 };
  return (struct cap_mean){
    (own->value * own->count + all->value * all_count) / count, count
  };
}

/* Computes again how much longer the work of TARGET takes at each step of load
   than at low load.  A step without evidence is as the one before.  */
static void
update_slowdowns (struct cap_target *target, const struct cap_service *service)
{
  struct cap_mean reference = { 0, 0 };
  double highest = 1;
  for (size_t i = 0; i <= MAX_REFERENCE_STEP; i++)
    {
      struct cap_mean mean = step_mean (target, service, i);
      if (mean.count < HALF_STEP_COUNT)
        continue;
      reference.value
          = (reference.value * reference.count + mean.value * mean.count)
            / (reference.count + mean.count);
      reference.count += mean.count;
    }
  for (size_t i = 0; i < CAP_STEPS; i++)
    {
      struct cap_mean mean = step_mean (target, service, i);
      if (reference.count > 0 && i > MAX_REFERENCE_STEP)
        {
          double chance = STEP_DEVIATIONS
                          * sqrt (fmax (target->work_variance, MIN_VARIANCE)
                                  / (mean.count + 1));
          double excess = mean.value - reference.value - chance;
          double sure = mean.count / (mean.count + HALF_STEP_COUNT);
          highest = fmax (highest, exp (excess * sure));
        }
      target->slowdown[i] = highest;
    }
}

/* How much longer the work of TARGET takes with the FRACTION of its slots
   taken than at low load.  */
static double
slowdown_at (const struct cap_target *target, double fraction)
{
  double place = clamp (fraction, 0, 1) * (CAP_STEPS - 1);
  size_t step = (size_t)place;
  if (target->work_at == 0)
    return 1;
  if (step >= CAP_STEPS - 1)
    return target->slowdown[CAP_STEPS - 1];
  double part = place - (double)step;
  return target->slowdown[step]
         + part * (target->slowdown[step + 1] - target->slowdown[step]);
}

void
cap_on_figure (struct cap_target *target, struct cap_service *service,
               unsigned int percent, rw_time now)
{
  double figure = clamp (percent / 100.0, MIN_FIGURE, MAX_FIGURE);
  mean_add (&target->figure, figure, 1, FIGURE_WEIGHT);
  mean_add (&service->figure, figure, 1, SERVICE_FIGURE_WEIGHT);
  mean_add (&service->figure_deviation, fabs (figure - 1), 1,
            SERVICE_FIGURE_WEIGHT);
  target->last_figure = figure;
  target->figure_at = now;
}

void
cap_on_load (struct cap_target *target, const struct cap_service *service,
             double load, rw_time now)
{
  target->load.count *= left_after (target->load_at, now, age_time (service));
  mean_add (&target->load, load, 1, LOAD_WEIGHT);
  target->last_load = load;
  target->load_at = now;
}

/* Moves the speed of TARGET towards RATIO, the time of work of one result.  */
static void
add_work (struct cap_target *target, const struct cap_service *service,
          double ratio, double quality, bool is_clear, rw_time now)
{
  struct cap_mean *work = &target->work;
  double left = left_after (target->work_at, now, age_time (service));
  work->count *= left;
  target->clear.count *= pow (left, 1.0 / CLEAR_AGE_FACTOR);
  target->work_at = now;
  double difference = ratio - work->value;
  if (work->count <= 0)
    target->recent = ratio;
  mean_add (work, ratio, quality, MIN_WORK_WEIGHT);
  double weight = fmax (1 / (work->count + 1), MIN_WORK_WEIGHT) * quality;
  target->work_variance
      += weight * (difference * difference - target->work_variance);
  target->recent += RECENT_WEIGHT * quality * (ratio - target->recent);
  double deviation = sqrt (target->work_variance * RECENT_WEIGHT / 2);
  if (work->count > RECENT_COUNT
      && fabs (target->recent - work->value)
             > fmax (CHANGE_DEVIATIONS * deviation, MIN_CHANGE))
    {
      *work = (struct cap_mean){ target->recent, RECENT_COUNT };
      if (is_clear)
        target->clear = *work;
    }
  else if (is_clear)
    mean_add (&target->clear, ratio, quality < 1 ? CORRECTED_CLEAR_QUALITY : 1,
              MIN_WORK_WEIGHT);
}

void
cap_on_result (struct cap_target *target, struct cap_service *service,
               const struct cap_sample *sample, rw_time now)
{
  double taken = 0;
  double quality = 1;
  bool had_room = false;
  bool is_clear = true;
  double ratio = sample->latency / sample->usual
                 / figure_during (target, service, sample->latency, now);
  if (sample->has_load)
    {
      had_room
          = sample->load_before >= 0
            && sample->load_before + 1 <= sample->slots * (1 - UNSEEN_LOAD);
      is_clear = sample->load_before >= 0
                 || (sample->waiting == 0 && sample->running < sample->slots);
      taken = fmin ((double)sample->running / sample->slots, 1);
      target->slots = sample->slots;
      if (had_room)
        taken = (taken + sample->load_before / sample->slots) / 2;
      else if (sample->load_before >= 0)
        ratio
            /= 1 + (sample->load_before + 0.5) / sample->slots - RUNNING_PART;
      else
        ratio /= 1 + (double)sample->waiting / sample->slots;
      if (!had_room && sample->load_before >= 0)
        quality = CORRECTED_QUALITY;
      else if (!had_room && sample->running >= sample->slots)
        quality = WAITED_QUALITY;
    }
  ratio = clamp (ratio, MIN_RATIO, MAX_RATIO);
  if (service->result_at > 0)
    mean_add (&service->interval,
              fmin ((double)(now - service->result_at), MAX_AGE_TIME)
                  * (double)sample->targets,
              1, INTERVAL_WEIGHT);
  service->result_at = now;
  ratio = log (ratio);
  double before = target->work.count > 0 ? target->work.value : ratio;
  double alone = ratio - log (slowdown_at (target, taken));
  add_work (target, service, alone, quality, is_clear, now);
  mean_add (&service->level, alone, quality, LEVEL_WEIGHT);
  if (had_room)
    {
      size_t step = (size_t)lround (taken * (CAP_STEPS - 1));
      double at_step = ratio - before;
      mean_add (&target->steps[step], at_step, 1, TARGET_STEP_WEIGHT);
      mean_add (&service->steps[step], at_step, 1, SERVICE_STEP_WEIGHT);
    }
  update_slowdowns (target, service);
}

/* The share of its confidence that the speed of TARGET has at NOW.  */
static double
confidence_at (const struct cap_target *target,
               const struct cap_service *service, rw_time now)
{
  double count = target->work.count
                 * left_after (target->work_at, now, age_time (service));
  return count / (count + HALF_CONFIDENCE);
}

/* The speed of TARGET, which returns to the mean as its confidence falls.  */
static double
base_at (const struct cap_target *target, const struct cap_service *service,
         rw_time now)
{
  if (target->work.count <= 0)
    return 1;
  return exp ((target->work.value - service->level.value)
              * confidence_at (target, service, now));
}

struct cap_estimate
cap_estimate (const struct cap_target *target,
              const struct cap_service *service, unsigned int slots,
              unsigned int added, rw_time now)
{
  struct cap_estimate estimate = { .load = -1, .age = -1, .bearable = slots };
  double load = added;
  estimate.base = base_at (target, service, now);
  estimate.confidence = confidence_at (target, service, now);
  if (target->work_at > 0)
    estimate.age = now - target->work_at;
  if (target->load_at > 0)
    {
      double mean = target->load.value
                    * left_after (target->load_at, now, age_time (service));
      load += mean
              + (target->last_load - target->load.value)
                    * left_after (target->load_at, now, LOAD_TIME);
      estimate.load = load;
    }
  for (size_t i = 0; i < CAP_STEPS && target->work_at > 0; i++)
    if (target->slowdown[i] > SLOWDOWN_RATIO)
      {
        estimate.bearable = slots * ((double)i - 0.5) / (CAP_STEPS - 1);
        break;
      }
  double share = service->slowdown_share;
  estimate.alone = pow (estimate.base, service->speed_share)
                   * figure_now (target, service, now);
  estimate.work = estimate.alone;
  if (share > 0)
    {
      double slowed = pow (slowdown_at (target, load / slots), share);
      double next = pow (slowdown_at (target, (load + 1) / slots), share);
      estimate.work *= slowed;
      estimate.burden = estimate.alone * fmin (load, slots) * (next - slowed);
    }
  return estimate;
}

bool
cap_comparison_due (const struct cap_service *service, rw_time now)
{
  return now - service->compared_at >= COMPARISON_INTERVAL;
}

void
cap_compare (struct cap_comparison *comparison,
             const struct cap_target *target,
             const struct cap_service *service, rw_time now)
{
  double count = target->clear.count
                 * left_after (target->work_at, now, age_time (service));
  if (target->slots > 0)
    comparison->slowdown = fmax (comparison->slowdown,
                                 log (slowdown_at (target, 1))
                                     - SLIGHT_SLOWDOWN_SLOTS / target->slots);
  if (count < MIN_COMPARED_COUNT)
    return;
  double noise = target->work_variance / count;
  double doubt = DOUBT_DEVIATIONS * sqrt (noise);
  double work = target->clear.value;
  bool is_first = comparison->count == 0;
  comparison->sum += work;
  comparison->squares += work * work;
  comparison->noise += noise;
  comparison->count++;
  if (is_first || work - doubt > comparison->highest)
    comparison->highest = work - doubt;
  if (is_first || work + doubt < comparison->lowest)
    comparison->lowest = work + doubt;
}

/* Returns where VALUE lies between LOW and HIGH, 0 to 1.  */
static double
ramp (double value, double low, double high)
{
  return clamp ((value - low) / (high - low), 0, 1);
}

void
cap_set_unevenness (struct cap_service *service,
                    const struct cap_comparison *comparison, rw_time now)
{
  double speeds = 0;
  if (comparison->count > 1)
    {
      double n = (double)comparison->count;
      double mean = comparison->sum / n;
      double variance = (comparison->squares / n - mean * mean) * n / (n - 1);
      double chance
          = comparison->noise / n * (1 + VARIANCE_DOUBT / sqrt (n - 1));
      double spread = sqrt (fmax (variance - chance, 0));
      double ratio
          = fmax (comparison->highest - mean, mean - comparison->lowest);
      speeds = fmax (ramp (spread, SLIGHT_SPREAD, CLEAR_SPREAD),
                     ramp (ratio, SLIGHT_RATIO, CLEAR_RATIO));
    }
  service->speed_share = speeds;
  service->slowdown_share = ramp (comparison->slowdown, SLIGHT_SLOWDOWN,
                                  SLIGHT_SLOWDOWN + SLOWDOWN_RANGE);
  service->unevenness = fmax (fmax (speeds, service->slowdown_share),
                              ramp (service->figure_deviation.value,
                                    SLIGHT_DEVIATION, CLEAR_DEVIATION));
  service->compared_at = now;
}

bool
cap_take_change (struct cap_target *target, const struct cap_service *service,
                 rw_time now)
{
  double base = base_at (target, service, now);
  double last = target->announced > 0 ? target->announced : 1;
  double change = fabs (log (base / last));
  double doubt = target->work.count > 0
                     ? DOUBT_DEVIATIONS
                           * sqrt (target->work_variance / target->work.count)
                     : 0;
  if (change <= fmax (log (ANNOUNCED_RATIO), doubt))
    return false;
  target->announced = base;
  return true;
}
