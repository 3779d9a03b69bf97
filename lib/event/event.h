/* Structured log lines on a descriptor that never blocks: a fixed prefix for
   each part, a short sentence, then key=value fields.  The number of lines is
   bounded; what was left out is counted and reported.  */

#ifndef EVT_EVENT_H
#define EVT_EVENT_H

#include "base.h"

enum evt_class
{
  EVT_SAMPLED, /* one of many ordinary events */
  EVT_NORMAL,  /* a failure or a refusal */
  EVT_STATE    /* start, stop, or a change of what the process believes */
};

/* Lines a second; a sampled line needs half of the burst to be left, a state
   line is written beyond the bound up to as many again.  */
#define EVT_LINES_PER_S 20
#define EVT_BURST_LINES 100
/* Bytes that wait while the reader of the descriptor stands still.  */
#define EVT_MAX_QUEUE_BYTES (64 * 1024)

struct evt_log
{
  int fd;
  struct rw_buf queue;
  double tokens;
  rw_time refilled_at;
  uint64_t written_count;
  uint64_t suppressed_count;
  uint64_t reported_count; /* of left_out */
};

/* Makes FD non-blocking if it is a pipe or a socket.  */
void evt_init (struct evt_log *log, int fd, rw_time now);
void evt_finish (struct evt_log *log);
void evt_line (struct evt_log *log, enum evt_class weight, const char *part,
               rw_time now, const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));
/* Writes what waits, and a line about what was left out.  */
void evt_flush (struct evt_log *log, rw_time now);

#endif
