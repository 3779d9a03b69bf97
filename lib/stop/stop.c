#include "stop.h"

/* Two failed readiness checks a second apart take the daemon out of rotation.
 */
#define ROTATION_OUT_TIME (2500 * RW_MSEC)
/* The last answers are given this long before the stop time ends, for their
   way to callers and for a loop that lags.  */
#define ANSWER_MARGIN (700 * RW_MSEC)
#define EXIT_MARGIN (200 * RW_MSEC)

void
stp_begin (struct stp_stop *stop, rw_time stop_time, rw_time now)
{
  rw_time answer_time = stop_time > 2 * ANSWER_MARGIN
                            ? stop_time - ANSWER_MARGIN
                            : stop_time / 2;
  rw_time exit_time = stop_time - answer_time > 2 * EXIT_MARGIN
                          ? stop_time - EXIT_MARGIN
                          : answer_time + (stop_time - answer_time) / 2;
  stop->begun = true;
  stop->began = now;
  stop->close_at
      = now
        + (answer_time < ROTATION_OUT_TIME ? answer_time : ROTATION_OUT_TIME);
  stop->answer_at = now + answer_time;
  stop->exit_at = now + exit_time;
}

enum stp_stage
stp_stage_at (const struct stp_stop *stop, rw_time now)
{
  if (!stop->begun)
    return STP_RUNNING;
  if (now < stop->close_at)
    return STP_SERVING;
  if (now < stop->answer_at)
    return STP_CLOSING;
  return now < stop->exit_at ? STP_ANSWERING : STP_OVER;
}

rw_time
stp_answer_time (const struct stp_stop *stop)
{
  return stop->begun ? stop->answer_at : RW_TIME_NEVER;
}

bool
stp_can_answer (const struct stp_stop *stop, double time, rw_time now)
{
  return !stop->begun || time < (double)(stop->answer_at - now);
}
