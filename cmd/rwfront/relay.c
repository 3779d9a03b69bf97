#include <string.h>

#include "forward.h"
#include "front.h"

/* Marks a forwarded request; the value is the version of the sender's
   configuration.  A peer with another version refuses the request, so that the
   callers of one daemon never see an older version after a newer one.  */
#define RELAY_HEADER "X-Rwf-Relay"
/* The name of the organisation of a forwarded request.  The value of the
   header that marks such a request, or a subquery, then begins with
   FRN_ORGANISATION_MARK: a daemon of a version that does not know
   organisations cannot read it, and refuses the request before it is begun. */
#define ORGANISATION_HEADER "X-Rwf-Organisation"
/* The time in milliseconds that the caller has spent, at this daemon too.  */
#define SPENT_HEADER "X-Rwf-Spent-Ms"
#define MAX_SPENT_MS 86400000
/* In a 503 reply: the peer did not begin the forwarded request; the value says
   why.  */
#define RELAY_REFUSED_HEADER "X-Rwf-Relay-Refused"
#define REFUSED_CUT_OFF "cut-off"
/* A request with fewer parts is sent by this daemon: forwarding costs more. */
#define MIN_RELAY_PARTS 8
/* A request with a larger sum of headers and body is not forwarded.  */
#define MAX_RELAY_BYTES 4096
/* While this daemon is cut off, requests up to these sizes are forwarded, to
   at most this many peers one after the other.  */
#define MAX_FALLBACK_HEAD_BYTES 12288
#define MAX_FALLBACK_SENDS 4
/* A peer whose event loop lags by more than this refuses relays.  */
#define MAX_LOOP_LAG (40 * RW_MSEC)

bool
frn_any_peer_available (const struct ste_service *peers, int64_t since,
                        rw_time now)
{
  for (const struct ste_target *t = peers->targets; t != NULL; t = t->next)
    if (!t->gone && t->revision > since && now >= t->backoff_until
        && !ste_stalled (t, now))
      return true;
  return false;
}

bool
frn_relay_available (const struct frn_daemon *daemon, rw_time now)
{
  return frn_any_peer_available (daemon->peers.larger_peers, 0, now);
}

bool
frn_fallback_available (const struct frn_daemon *daemon, rw_time now)
{
  return frn_any_peer_available (daemon->peers.fallback_peers, 0, now);
}

/* Whether REQUEST is left to a peer because this daemon is cut off.  */
static bool
should_fall_back (const struct frn_daemon *daemon,
                  const struct frn_request *request, rw_time now)
{
  return daemon->reach.state.cut_off
         && !daemon->settings.without[FRN_MECH_FALLBACKS]
         && request->header_lines.len + request->path_query.len
                <= MAX_FALLBACK_HEAD_BYTES
         && frn_fallback_available (daemon, now);
}

struct ste_service **
frn_relay_peers (struct frn_request *request)
{
  struct frn_peers *peers = &request->daemon->peers;
  return request->fell_back ? &peers->fallback_peers : &peers->larger_peers;
}

bool
frn_may_relay_again (const struct frn_request *request, rw_time now)
{
  return request->fell_back && request->query.sends < MAX_FALLBACK_SENDS
         && frn_fallback_available (request->daemon, now);
}

bool
frn_should_relay (struct frn_daemon *daemon, const struct frn_request *request,
                  rw_time now)
{
  if (!request->relayed && should_fall_back (daemon, request, now))
    return true;
  if (request->relayed || daemon->settings.without[FRN_MECH_RELAYS]
      || request->route->kind != CAT_ROUTE_GATHER
      || request->route->u.gather.count < MIN_RELAY_PARTS
      || request->header_lines.len + request->body.len > MAX_RELAY_BYTES)
    return false;
  return frn_relay_available (daemon, now);
}

bool
frn_is_relay_header (struct rw_str name)
{
  return h1_name_eq (name, RELAY_HEADER) || h1_name_eq (name, SPENT_HEADER)
         || h1_name_eq (name, ORGANISATION_HEADER);
}

void
frn_relay_write_organisation (const struct frn_request *request,
                              struct rw_buf *out)
{
  if (request->organisation != NULL)
    rw_buf_printf (out, ORGANISATION_HEADER ": %.*s\r\n",
                   RW_STR_ARG (request->organisation->name));
}

const struct org_organisation *
frn_relay_organisation (const struct frn_daemon *daemon,
                        const struct h1_message *message)
{
  return org_find_name (&daemon->config->organisations,
                        h1_header_value (message, ORGANISATION_HEADER));
}

const char *
frn_organisation_mark (const struct frn_request *request)
{
  return request->organisation != NULL ? FRN_ORGANISATION_MARK : "";
}

bool
frn_take_organisation_mark (struct rw_str *text)
{
  if (!rw_str_starts (*text, RW_LIT (FRN_ORGANISATION_MARK)))
    return false;
  text->ptr += sizeof FRN_ORGANISATION_MARK - 1;
  text->len -= sizeof FRN_ORGANISATION_MARK - 1;
  return true;
}

void
frn_relay_write_header (const struct frn_send *send, struct rw_buf *out)
{
  const struct frn_request *request = send->request;
  rw_time spent = request->time_spent + rw_now () - request->start;
  rw_buf_printf (out, RELAY_HEADER ": %s%llu\r\n" SPENT_HEADER ": %lld\r\n",
                 frn_organisation_mark (request),
                 (unsigned long long)request->config->version,
                 (long long)(spent / RW_MSEC));
}

rw_time
frn_relay_time_spent (const struct h1_message *message)
{
  int64_t spent_ms;
  if (rw_str_to_int (h1_header_value (message, SPENT_HEADER), 0, MAX_SPENT_MS,
                     &spent_ms)
      != 0)
    return 0;
  return spent_ms * RW_MSEC;
}

bool
frn_relay_refused (struct frn_send *send, const struct h1_message *message)
{
  struct frn_daemon *daemon = send->request->daemon;
  rw_time now = rw_now ();
  struct rw_str reason = h1_header_value (message, RELAY_REFUSED_HEADER);
  if (rw_str_eq_cstr (reason, REFUSED_CUT_OFF))
    {
      ste_back_off (send->target, now);
      if (send->request->fell_back && !frn_fallback_available (daemon, now))
        frn_peerlist_update_fallbacks (daemon, now);
    }
  return reason.len > 0;
}

bool
frn_serves_peers (const struct frn_daemon *daemon, uint64_t version)
{
  return daemon->config != NULL && !daemon->stop.begun
         && !daemon->reach.state.cut_off && daemon->loop_lag <= MAX_LOOP_LAG
         && version == daemon->config->version;
}

struct h1_reply
frn_peer_refusal (const struct frn_daemon *daemon)
{
  struct h1_reply refusal
      = { .status = 503, .headers = RW_LIT (RELAY_REFUSED_HEADER ": 1\r\n") };
  if (daemon->reach.state.cut_off)
    refusal.headers
        = RW_LIT (RELAY_REFUSED_HEADER ": " REFUSED_CUT_OFF "\r\n");
  return refusal;
}

void
frn_refuse_peer (const struct frn_daemon *daemon, struct h1_conn *conn)
{
  struct h1_reply refusal = frn_peer_refusal (daemon);
  h1_conn_reply (conn, &refusal);
}

bool
frn_relay_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                 const struct h1_message *message)
{
  struct rw_str text = h1_header_value (message, RELAY_HEADER);
  int64_t version = 0;
  if (text.len == 0)
    return false;
  bool is_marked = frn_take_organisation_mark (&text);
  if (rw_str_to_int (text, 0, INT64_MAX, &version) != 0
      || !frn_serves_peers (daemon, (uint64_t)version)
      || (is_marked && frn_relay_organisation (daemon, message) == NULL))
    frn_refuse_peer (daemon, conn);
  else
    frn_request_serve (daemon, conn, message, rw_now (), true);
  return true;
}
