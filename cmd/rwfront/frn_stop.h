/* The planned stop of the daemon: what the other files of it call.  */

#ifndef FRN_STOP_H
#define FRN_STOP_H

#include "front.h"

/* Begins a stop, unless one has begun.  */
void frn_stop_begin (struct frn_daemon *daemon);
/* Periodic work during a stop.  Ends the event loop once no request of a
   caller or a peer is running or on its way, and at the latest when the stop
   is over; main then calls frn_daemon_finish.  */
void frn_stop_tick (struct frn_daemon *daemon, rw_time now);

#endif
