/* The stages of a planned stop, from the signal to the exit.  Whoever stops
   the daemon kills it when the stop time is over, so every request must have
   an answer before.  Nothing here reads a clock or does I/O.  */

#ifndef STP_STOP_H
#define STP_STOP_H

#include "base.h"

enum stp_stage
{
  STP_RUNNING,   /* no stop has begun */
  STP_SERVING,   /* not ready, but still in rotation: takes connections */
  STP_CLOSING,   /* takes no more connections; ends those that are idle */
  STP_ANSWERING, /* answers what is left: it cannot wait any longer */
  STP_OVER       /* exits, whatever is left */
};

struct stp_stop
{
  bool begun;
  rw_time began;
  rw_time close_at;  /* begin of STP_CLOSING */
  rw_time answer_at; /* begin of STP_ANSWERING */
  rw_time exit_at;   /* begin of STP_OVER */
};

/* Begins a stop at NOW, for which there is STOP_TIME, above 0.  STOP must be
   zero before.  */
void stp_begin (struct stp_stop *stop, rw_time stop_time, rw_time now);
enum stp_stage stp_stage_at (const struct stp_stop *stop, rw_time now);
/* Returns when the last answers are given; RW_TIME_NEVER if no stop has
   begun.  */
rw_time stp_answer_time (const struct stp_stop *stop);
/* Returns whether a request that needs TIME, in microseconds, from NOW on is
   answered before that.  */
bool stp_can_answer (const struct stp_stop *stop, double time, rw_time now);

#endif
