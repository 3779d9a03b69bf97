/* Whether this daemon is cut off from the targets while others may not be.
   Failures of single targets do not show that: when they raise a suspicion, a
   round of connections (probes) to the targets that answered last decides.
   Its caller opens them, and reports their results; nothing here reads a clock
   or does I/O.  */

#ifndef RCH_REACH_H
#define RCH_REACH_H

#include "base.h"

/* Probes of a round that decides, and of one that checks for a cut while
   nothing is sent to targets.  */
#define RCH_ROUND_PROBES 5
#define RCH_CHECK_PROBES 1
/* A probe without a connection for this time has no answer.  It is longer than
   the pauses of targets.  */
#define RCH_PROBE_TIMEOUT (300 * RW_MSEC)
/* A probe whose connection is closed within this time was refused.  */
#define RCH_PROBE_SETTLE_TIME (20 * RW_MSEC)
/* Targets whose failed connections raise a suspicion.  */
#define RCH_SUSPICIOUS_REFUSALS 2

enum rch_probe_result
{
  RCH_PROBE_OPENED,
  RCH_PROBE_REFUSED,  /* or reset */
  RCH_PROBE_NO_ANSWER /* within RCH_PROBE_TIMEOUT */
};

/* The sends that are in flight.  */
struct rch_sends
{
  size_t waiting; /* targets that have not answered one */
  size_t stalled; /* those of them that have stalled */
};

struct rch_reach
{
  bool cut_off;
  rw_time since;        /* of that state */
  rw_time last_reply;   /* of any target, or the start */
  rw_time last_contact; /* last reply or opened connection, or the start */
  /* Targets to which connections failed since the last one that opened.  */
  uint64_t refusals[RCH_SUSPICIOUS_REFUSALS];
  size_t refusal_count;
  rw_time refused_at; /* of the last of them */
  size_t round_size;  /* probes of the present round; 0: none */
  size_t opened;      /* its results so far */
  size_t refused;
  size_t unanswered;
  rw_time round_began;
  rw_time next_round;   /* not before */
  bool is_check_failed; /* a check found no way: a whole round follows */
};

void rch_init (struct rch_reach *reach, rw_time now);
/* Records a reply of a target.  */
void rch_on_reply (struct rch_reach *reach, rw_time now);
/* Records that a connection to a target, not a probe, was opened.  */
void rch_on_connected (struct rch_reach *reach, rw_time now);
/* Records that a connection to the target KEY could not be opened.  */
void rch_on_connect_failed (struct rch_reach *reach, uint64_t key,
                            rw_time now);
/* Returns the number of probes that are due at NOW, 0 if none.  The caller
   then calls rch_begin_round.  */
size_t rch_probes_due (const struct rch_reach *reach,
                       const struct rch_sends *sends, rw_time now);
/* Begins a round of COUNT probes to different targets; 0 if there is none to
   probe.  */
void rch_begin_round (struct rch_reach *reach, size_t count, rw_time now);
/* Returns whether requests may be sent to targets at NOW: there are ways, or
   connections that live on still bring replies.  */
bool rch_can_send (const struct rch_reach *reach, rw_time now);
/* Records the result of one probe of the round.  Returns whether the state
   CUT_OFF changed.  */
bool rch_on_probe (struct rch_reach *reach, enum rch_probe_result result,
                   rw_time now);

#endif
