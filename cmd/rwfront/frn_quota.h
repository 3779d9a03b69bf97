/* Quotas of organisations: carries what lib/quota decides.  */

#ifndef FRN_QUOTA_H
#define FRN_QUOTA_H

#include "front.h"

int frn_quota_init (struct frn_daemon *daemon);
void frn_quota_finish (struct frn_daemon *daemon);
/* Periodic work.  */
void frn_quota_tick (struct frn_daemon *daemon, rw_time now);
/* Applies settings that were read again.  */
void frn_quota_update_settings (struct frn_daemon *daemon);
/* Takes a token for REQUEST.  Returns whether it may go on; else it was
   refused, or waits for a token, and frn_request_start goes on with it.  */
bool frn_quota_admit (struct frn_request *request);
/* Gives back the token of a request that no target has run.  */
void frn_quota_give_back (struct frn_request *request);
/* Forgets that REQUEST waits.  */
void frn_quota_forget (struct frn_request *request);
/* Takes the message that the daemon FROM sent.  */
void frn_quota_take (struct frn_daemon *daemon, uint32_t from,
                     struct rw_str message, rw_time now);
/* Answers the operator's request MESSAGE at the admin port.  Returns false,
   without an answer, if it is another one.  */
bool frn_quota_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                      const struct h1_message *message);

#endif
