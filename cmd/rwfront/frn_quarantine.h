/* Requests that crash targets: what the other files of the daemon call.  */

#ifndef FRN_QUARANTINE_H
#define FRN_QUARANTINE_H

#include "front.h"

int frn_quarantine_init (struct frn_daemon *daemon);
void frn_quarantine_finish (struct frn_daemon *daemon);
/* Periodic work.  */
void frn_quarantine_tick (struct frn_daemon *daemon, rw_time now);
/* Records that the process of TARGET ended before it answered the request KEY,
   which was sent there at SENT_AT.  */
void frn_quarantine_on_end (struct frn_daemon *daemon,
                            const struct ste_target *target, uint64_t key,
                            rw_time sent_at, rw_time ended_at);
/* Records that TARGET completed REQUEST.  */
void frn_quarantine_on_done (const struct frn_request *request,
                             const struct ste_target *target);
/* Records that the connection of a send of REQUEST was lost.  */
void frn_quarantine_on_loss (struct frn_request *request);
/* Decides whether a request whose parts are bound to their services is
   admitted.  Returns false if it was refused, or waits for a trial; then
   frn_request_admit goes on with it.  */
bool frn_quarantine_admit (struct frn_request *request);
/* Refuses a request that waited for a trial in vain.  */
void frn_quarantine_give_up (struct frn_request *request);
/* Forgets that REQUEST waits.  */
void frn_quarantine_forget (const struct frn_request *request);
/* Returns when PART may be sent, as qua_delay does.  */
rw_time frn_quarantine_delay (struct frn_request *request, size_t part,
                              rw_time now);
/* Whether parts of REQUEST may be hedged; see qua_may_hedge.  */
bool frn_quarantine_may_hedge (const struct frn_request *request);
/* Picks a target for REQUEST as ste_pick does, without those whose software
   must not get it.  */
struct ste_target *frn_quarantine_pick (struct frn_request *request,
                                        struct ste_service *service,
                                        const struct ste_latency *latency,
                                        struct ste_target *const *tried,
                                        size_t tried_n, rw_time now);
/* Whether the next send of REQUEST goes alone, so not with others to a
   delegate.  */
bool frn_quarantine_sends_alone (const struct frn_request *request,
                                 rw_time now);
/* Takes the evidence that the daemon FROM sent.  */
void frn_quarantine_take (struct frn_daemon *daemon, uint32_t from,
                          struct rw_str evidence, rw_time now);
/* Answers the operator's request MESSAGE at the admin port.  Returns false,
   without an answer, if it is another one.  */
bool frn_quarantine_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                           const struct h1_message *message);

#endif
