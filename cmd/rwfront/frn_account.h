/* The account of what callers and peers make this daemon hold.  */

#ifndef FRN_ACCOUNT_H
#define FRN_ACCOUNT_H

#include "front.h"

/* Sets the bounds of the account from the settings.  */
void frn_account_update (struct frn_daemon *daemon);
/* Lets SERVER count its connections in the account.  */
void frn_account_serve (struct frn_daemon *daemon, struct h1_server *server);
/* Counts what REQUEST holds beside the shared bodies.  Called when that has
   grown.  */
void frn_account_count (struct frn_request *request);
/* Takes REQUEST, which is being freed, out of the account.  */
void frn_account_forget (struct frn_request *request);
/* Whether there is memory for the request on CONN, which a peer forwarded if
   RELAYED.  Refuses it if not.  */
bool frn_account_admit (struct frn_daemon *daemon, struct h1_conn *conn,
                        const struct plt_request *head, bool relayed);
/* A connection of a caller, a peer or an operator was dropped; a callback of
   h1_server_ops.  */
void frn_on_drop (void *arg, struct h1_conn *conn, enum acc_cause cause,
                  int status);
const char *frn_drop_cause_name (enum acc_cause cause);
/* Writes a line about the connections that were dropped since the last one.
   Called periodically.  */
void frn_account_tick (struct frn_daemon *daemon, rw_time now);

#endif
