#include "internal.h"

/* A latency above JUMP_LATENCY_RATIO times the moving average and above
   JUMP_MIN_LATENCY is a jump, a sign of a cold target (section 5 of the design
   page).  */
#define JUMP_LATENCY_RATIO 4
#define JUMP_MIN_LATENCY (5 * RW_MSEC)
/* A latency is not compared with an average of fewer exchanges than this.  */
#define JUMP_MIN_SAMPLES 4

/* After a jump the target is not cold if the next exchange takes at most this
   multiple of the average.  */
#define NORMAL_MAX_LATENCY_RATIO 2

/* Returns the averages of the size class of an exchange of PARTS parts (1 to
   ADM_BATCH_MAX).  */
static struct adm_latency *
size_class_latency (struct adm_target *target, size_t parts)
{
  size_t size = 0;

  while (parts > 1 && size < ADM_SIZE_CLASSES - 1)
    {
      parts /= 2;
      size++;
    }
  return &target->latency[size];
}

/* How the latency of an exchange compares with the average.  */
enum latency_level
{
  LATENCY_NORMAL,
  LATENCY_SLOW, /* above NORMAL_MAX_LATENCY_RATIO times the average */
  LATENCY_JUMP  /* above JUMP_LATENCY_RATIO times the average */
};

static enum latency_level
classify_latency (const struct adm_latency *latency, rw_time elapsed)
{
  if (latency->samples < JUMP_MIN_SAMPLES || elapsed <= JUMP_MIN_LATENCY
      || elapsed <= NORMAL_MAX_LATENCY_RATIO * latency->warm_mean)
    return LATENCY_NORMAL;
  return elapsed > JUMP_LATENCY_RATIO * latency->warm_mean ? LATENCY_JUMP
                                                           : LATENCY_SLOW;
}

static void
update_mean (rw_time *mean, rw_time elapsed, bool first, int shift)
{
  if (first)
    *mean = elapsed;
  else
    *mean += (elapsed - *mean) / (1 << shift);
  if (*mean < 1)
    *mean = 1;
}

/* Updates the averages with the latency ELAPSED of a completed exchange.  A
   sample counts as at most JUMP_LATENCY_RATIO times the average, so that the
   averages follow a lasting change but not a single straggler.  Below the full
   cap the warm average moves slowly: an average of cold exchanges would hide
   that the target is cold.  */
static void
update_means (struct adm_latency *latency, rw_time elapsed, bool full_cap)
{
  bool enough_samples = latency->samples >= JUMP_MIN_SAMPLES;
  rw_time max_mean_sample = latency->mean * JUMP_LATENCY_RATIO;
  rw_time max_warm_sample = latency->warm_mean * JUMP_LATENCY_RATIO;
  bool first = latency->samples == 0;

  update_mean (&latency->mean,
               enough_samples && elapsed > max_mean_sample ? max_mean_sample
                                                           : elapsed,
               first, MEAN_WEIGHT_SHIFT);
  update_mean (&latency->warm_mean,
               enough_samples && elapsed > max_warm_sample ? max_warm_sample
                                                           : elapsed,
               first,
               full_cap || !enough_samples ? MEAN_WEIGHT_SHIFT
                                           : COLD_MEAN_WEIGHT_SHIFT);
  latency->samples++;
}

/* Compares the latency of EXCHANGE with the average of its size class, which
   may mark the target cold.  Updates the averages if COMPLETED, that is, if
   the exchange ended by itself; otherwise it would have taken longer.  Returns
   false if the latency was a jump: the exchange then does not count as a
   success for the ramp.

   A jump may be a straggler or the sign of a cold target.  So after a jump the
   target has the cold limit until an exchange that started later decides: if
   its latency is normal, the jump was a straggler and the cap applies again;
   otherwise the target counts as cold.  When each straggler made the target
   cold, one straggler in 100 exchanges halved the capacity of a service
   (docs/measurements/overload.md).  */
bool
adm_check_latency (struct adm_target *target,
                   const struct adm_exchange *exchange, bool completed,
                   rw_time now)
{
  struct adm_latency *latency = size_class_latency (target, exchange->count);
  rw_time elapsed = now - exchange->started_at;
  enum latency_level level = classify_latency (latency, elapsed);
  bool decides = exchange->started_at >= target->suspect_since;

  if (completed)
    update_means (latency, elapsed, target->cap >= target->rules.slots);
  if (decides && level != LATENCY_NORMAL)
    adm_mark_cold (target, ADM_COLD_LATENCY, now);
  else if (decides && completed)
    target->suspect_since = RW_TIME_NEVER;
  else if (level == LATENCY_JUMP && target->suspect_since == RW_TIME_NEVER)
    {
      target->suspect_since = now;
      target->recheck_queue = true;
    }
  return level != LATENCY_JUMP;
}
