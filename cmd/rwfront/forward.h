/* Forwarding between daemons: whole requests to larger peers or, while this
   daemon is cut off, to others; and subqueries to other data centres.  */

#ifndef FRN_FORWARD_H
#define FRN_FORWARD_H

#include "front.h"

/* Relays.  A small VM has too little processor time for requests over many
   shards, and if all small VMs connected to the targets of the shards, each
   would get too small a share of a target's connection limit.  Small daemons
   therefore forward such requests to larger ones.  */

/* Whether REQUEST is to be forwarded to a larger peer.  */
bool frn_should_relay (struct frn_daemon *daemon,
                       const struct frn_request *request, rw_time now);
/* Whether PEERS has one that is neither in backoff nor stalled, and that was
   listed after the revision SINCE.  */
bool frn_any_peer_available (const struct ste_service *peers, int64_t since,
                             rw_time now);
/* Whether there is a larger peer that is neither in backoff nor stalled.  */
bool frn_relay_available (const struct frn_daemon *daemon, rw_time now);
/* Whether there is a peer that serves requests while this daemon is cut off.
 */
bool frn_fallback_available (const struct frn_daemon *daemon, rw_time now);
/* Periodic work: updates the lists of larger peers and of delegates from the
   gossip members.  */
void frn_peerlist_tick (struct frn_daemon *daemon, rw_time now);
/* Processor capacity of this daemon in thousandths of a core.  */
uint32_t frn_own_capacity (const struct frn_daemon *daemon);
/* The number by which this daemon divides the limits of the shards' targets.
   It differs between gatherers and other daemons, as the gatherers send most
   of the requests; the shares of all daemons add up to at most the limit.  */
size_t frn_shard_sharers (const struct frn_daemon *daemon);
bool frn_is_relay_header (struct rw_str name);
/* Appends the header that names the organisation of a forwarded request.  */
void frn_relay_write_organisation (const struct frn_request *request,
                                   struct rw_buf *out);
/* Begins the value of a header that marks what is forwarded for an
   organisation.  */
#define FRN_ORGANISATION_MARK "@"
/* Returns that mark, or an empty string if REQUEST has no organisation.  */
const char *frn_organisation_mark (const struct frn_request *request);
/* Takes the mark off *TEXT.  Returns whether it was there.  */
bool frn_take_organisation_mark (struct rw_str *text);
/* Returns the organisation that the peer names in MESSAGE, null: none.  */
const struct org_organisation *
frn_relay_organisation (const struct frn_daemon *daemon,
                        const struct h1_message *message);
/* Appends the header that marks a forwarded request.  */
void frn_relay_write_header (const struct frn_send *send, struct rw_buf *out);
/* Returns the time that the caller of a forwarded request has spent, as the
   sender states; 0 if it does not.  */
rw_time frn_relay_time_spent (const struct h1_message *message);
/* Whether the peer of SEND answered that it did not begin what was forwarded.
   If that is because it is cut off itself, it is avoided for a while.  */
bool frn_relay_refused (struct frn_send *send,
                        const struct h1_message *message);
/* Whether REQUEST, which a peer refused, may be left to another one.  */
bool frn_may_relay_again (const struct frn_request *request, rw_time now);
/* The peers that REQUEST is left to.  */
struct ste_service **frn_relay_peers (struct frn_request *request);
/* Serves a request from the peer port, or refuses it.  Returns false, without
   an answer, if it is not a forwarded request.  */
bool frn_relay_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                      const struct h1_message *message);
/* Whether this daemon takes requests of peers now whose configuration has
   VERSION.  */
bool frn_serves_peers (const struct frn_daemon *daemon, uint64_t version);
/* Returns the answer to a peer's request that this daemon does not begin; its
   strings are static.  */
struct h1_reply frn_peer_refusal (const struct frn_daemon *daemon);
/* Answers a peer's request in that way.  */
void frn_refuse_peer (const struct frn_daemon *daemon, struct h1_conn *conn);

/* Subqueries: see lib/subquery.  */

/* Holds back the first send of PART to TARGET if it may become part of a
   subquery.  Returns whether it did; frn_subquery_flush then sends it.  */
bool frn_subquery_collect (struct frn_request *request, size_t part,
                           struct ste_target *target, rw_time now);
/* Sends the parts held back, to delegates or else to their targets.  */
void frn_subquery_flush (struct frn_request *request, rw_time now);
/* Appends the header that says which parts SEND, a subquery, asks for.  */
void frn_subquery_write_header (const struct frn_send *send,
                                struct rw_buf *out);
bool frn_is_subquery_header (struct rw_str name);
/* Takes the delegate's reply to SEND.  */
void frn_subquery_take_reply (struct frn_send *send,
                              const struct h1_message *message);
/* Records that SEND, a subquery, ended without a reply.  */
void frn_subquery_fail (struct frn_send *send, enum gat_failure failure,
                        rw_time now);
/* Gives up the subqueries that are overdue at a delegate that has stalled.  */
void frn_subquery_expire (struct frn_request *request, rw_time now);
/* Returns when to do that again, RW_TIME_NEVER if no subquery is open.  */
rw_time frn_subquery_expiry (const struct frn_request *request, rw_time now);
/* Serves a subquery from the peer port, or refuses it.  Returns false, without
   an answer, if MESSAGE is none.  */
bool frn_subquery_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                         const struct h1_message *message);
/* Answers the subquery that REQUEST serves, with the parts that arrived.  */
void frn_subquery_answer (struct frn_request *request);

#endif
