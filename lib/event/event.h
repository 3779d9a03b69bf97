/* Structured log lines on a descriptor that never blocks.  A line consists of
   a time stamp, the part of the program, a short phrase and key=value fields.
   The rate of lines is limited by a token bucket; suppressed lines are counted
   and reported.  */

#ifndef EVT_EVENT_H
#define EVT_EVENT_H

#include "base.h"

/* Decides which lines are suppressed first when tokens run short.  */
enum evt_class
{
  EVT_SAMPLED, /* an ordinary event; needs a half-full bucket */
  EVT_NORMAL,  /* a failure or a refusal; needs one token */
  EVT_STATE    /* start, stop, or a change of the process's view; may overdraw
                  the bucket by EVT_BURST_LINES */
};

/* Rate at which the bucket is refilled, and its capacity.  */
#define EVT_LINES_PER_S 20
#define EVT_BURST_LINES 100
/* Lines are suppressed while more bytes than this are queued because the
   reader of the descriptor does not keep up.  */
#define EVT_MAX_QUEUE_BYTES (64 * 1024)

struct evt_log
{
  int fd;
  struct rw_buf queue; /* bytes not yet accepted by FD */
  double tokens;       /* each line costs one */
  rw_time refilled_at;
  uint64_t written_count;    /* lines put in the queue */
  uint64_t suppressed_count; /* lines */
  uint64_t reported_count;   /* suppressed lines already reported */
};

/* Starts a log on FD, which stays the caller's.  Makes FD non-blocking if it
   is a pipe or a socket.  */
void evt_init (struct evt_log *log, int fd, rw_time now);
/* Frees the queue; bytes still in it are lost.  FD stays open.  */
void evt_finish (struct evt_log *log);
/* A value of a field, cut at EVT_MAX_VALUE_LEN bytes.  */
#define EVT_MAX_VALUE_LEN 128
struct evt_value
{
  char text[EVT_MAX_VALUE_LEN + 1];
};

/* Returns TEXT in a form that reads as one value: spaces, quotes and control
   characters, with which a caller, a peer or an entry of the store could add
   fields or lines of its own, become '?'.  */
struct evt_value evt_value (struct rw_str text);
/* Queues a line of PART and writes as much as FD accepts.  The text is cut at
   511 bytes; control characters in it are replaced by '?'.  */
void evt_line (struct evt_log *log, enum evt_class class, const char *part,
               rw_time now, const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));
/* Queues a report of the lines suppressed since the last report, if any, and
   writes as much of the queue as FD accepts.  Call it regularly.  */
void evt_flush (struct evt_log *log, rw_time now);

#endif
