/* Estimates of the capacity of targets: what the other files of the daemon
   call.  */

#ifndef FRN_CAPACITY_H
#define FRN_CAPACITY_H

#include "front.h"

/* Counters in frn_metrics.capacity.  */
enum frn_capacity_counter
{
  FRN_CAP_FIGURES,         /* work figures */
  FRN_CAP_INVALID_FIGURES, /* work figures that are not valid */
  FRN_CAP_CHANGES          /* estimates that changed by over a third */
};

/* Creates the counters.  */
void frn_capacity_init_metrics (struct frn_metrics *metrics);
/* Records the load that REPLY of TARGET reports, if any.  */
void frn_capacity_on_report (struct frn_daemon *daemon,
                             struct ste_target *target,
                             const struct plt_reply *reply, rw_time now);
/* Counts and logs the change of the estimate of TARGET, if it changed by over
   a third.  Call it after each result.  */
void frn_capacity_note_change (struct frn_daemon *daemon,
                               struct ste_target *target, rw_time now);
/* Answers the operator's request MESSAGE at the admin port.  Returns false,
   without an answer, if it is another one.  */
bool frn_capacity_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                         const struct h1_message *message);

#endif
