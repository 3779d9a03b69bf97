#include "internal.h"

/* A latency is a sign of a cold target when it is above this multiple of the
   moving average and above this time (section 5 of the design page).  */
#define JUMP_FACTOR 4
#define JUMP_MIN (5 * RW_MSEC)
/* Averages of fewer exchanges are not compared with.  */
#define JUMP_SAMPLES 4

/* A target with a slow exchange is not cold if the next exchange takes at most
   this multiple of the average.  */
#define NORMAL_FACTOR 2

/* The size class of an exchange of PARTS parts, 1 to ADM_BATCH_MAX.  */
static struct adm_latency *
latency_of (struct adm_target *target, size_t parts)
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
enum speed
{
  SPEED_NORMAL,
  SPEED_SLOW, /* above NORMAL_FACTOR times the average */
  SPEED_JUMP
};

static enum speed
speed_of (const struct adm_latency *latency, rw_time elapsed)
{
  if (latency->samples < JUMP_SAMPLES || elapsed <= JUMP_MIN
      || elapsed <= NORMAL_FACTOR * latency->warm_mean)
    return SPEED_NORMAL;
  return elapsed > JUMP_FACTOR * latency->warm_mean ? SPEED_JUMP : SPEED_SLOW;
}

static void
move (rw_time *mean, rw_time elapsed, bool first, int shift)
{
  if (first)
    *mean = elapsed;
  else
    *mean += (elapsed - *mean) / (1 << shift);
  if (*mean < 1)
    *mean = 1;
}

/* Moves the averages by the latency ELAPSED of a whole exchange.  A jump moves
   them by at most JUMP_FACTOR, so that they follow a lasting change but not a
   single straggler.  Below the full cap the warm one moves slowly: an average
   of cold exchanges would hide that the target is cold.  */
static void
move_averages (struct adm_latency *latency, rw_time elapsed, bool full_cap)
{
  bool settled = latency->samples >= JUMP_SAMPLES;
  rw_time bound = latency->mean * JUMP_FACTOR;
  rw_time warm_bound = latency->warm_mean * JUMP_FACTOR;
  bool first = latency->samples == 0;

  move (&latency->mean, settled && elapsed > bound ? bound : elapsed, first,
        MEAN_SHIFT);
  move (&latency->warm_mean,
        settled && elapsed > warm_bound ? warm_bound : elapsed, first,
        full_cap || !settled ? MEAN_SHIFT : COLD_MEAN_SHIFT);
  latency->samples++;
}

/* Judges the time of EXCHANGE.  After a jump the target gets the cold limit at
   once, until an exchange that started later ends: in normal time, and the
   jump was a straggler; slowly, and the target counts as cold.  With one
   straggler in 100 exchanges, counting the target as cold after each halved
   the capacity of a service (docs/measurements/overload.md).  WHOLE: the
   exchange ended by itself; otherwise it would have taken longer.  Returns
   whether the exchange speaks for a warm target.  */
bool
adm_judge (struct adm_target *target, const struct adm_exchange *exchange,
           bool whole, rw_time now)
{
  struct adm_latency *latency = latency_of (target, exchange->count);
  rw_time elapsed = now - exchange->started_at;
  enum speed speed = speed_of (latency, elapsed);
  bool decides = exchange->started_at >= target->suspect_since;

  if (whole)
    move_averages (latency, elapsed, target->cap >= target->rules.slots);
  if (decides && speed != SPEED_NORMAL)
    adm_go_cold (target, ADM_COLD_LATENCY, now);
  else if (decides && whole)
    target->suspect_since = RW_TIME_NEVER;
  else if (speed == SPEED_JUMP && target->suspect_since == RW_TIME_NEVER)
    {
      target->suspect_since = now;
      target->recheck_queue = true;
    }
  return speed != SPEED_JUMP;
}
