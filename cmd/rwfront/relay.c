#include <arpa/inet.h>
#include <string.h>

#include "front.h"

/* Marks a forwarded request; the value is the version of the sender's
   configuration.  A peer with another version refuses the request, so that the
   callers of one daemon never see an older version after a newer one.  */
#define RELAY_HEADER "X-Rwf-Relay"
/* In a 503 reply: the peer did not begin the forwarded request.  */
#define RELAY_REFUSED_HEADER "X-Rwf-Relay-Refused"
/* A peer counts as larger if it has at least this multiple of this daemon's
   capacity.  */
#define MIN_CAPACITY_RATIO 2
/* A request with fewer parts is sent by this daemon: forwarding costs more. */
#define MIN_RELAY_PARTS 8
/* A request with a larger sum of headers and body is not forwarded.  */
#define MAX_RELAY_BYTES 4096
/* A peer whose event loop lags by more than this refuses relays.  */
#define MAX_LOOP_LAG (40 * RW_MSEC)
/* Time between two updates of the list of larger peers.  */
#define LIST_UPDATE_INTERVAL (500 * RW_MSEC)
/* At least this many gatherers are assumed, as not all of them are known at
   once after a start.  */
#define MIN_GATHERERS 12
/* Gatherers and other daemons: each group shares half of a limit.  */
#define DAEMON_GROUPS 2

/* Processor capacity in thousandths of a core.  */
static uint32_t
own_capacity (const struct frn_daemon *daemon)
{
  return (uint32_t)(daemon->settings.cores * 1000);
}

bool
frn_relay_available (const struct frn_daemon *daemon, rw_time now)
{
  for (const struct ste_target *t = daemon->peers.larger_peers->targets;
       t != NULL; t = t->next)
    if (!t->gone && now >= t->backoff_until && !ste_stalled (t, now))
      return true;
  return false;
}

bool
frn_should_relay (struct frn_daemon *daemon, const struct frn_request *request,
                  rw_time now)
{
  if (request->relayed || request->route->kind != CAT_ROUTE_GATHER
      || request->route->u.gather.count < MIN_RELAY_PARTS
      || request->header_lines.len + request->body.len > MAX_RELAY_BYTES)
    return false;
  return frn_relay_available (daemon, now);
}

static void
format_peer_id (char *id, size_t size, uint32_t ip)
{
  snprintf (id, size, "peer-%08x", ip);
}

/* Adds MEMBER to the list of larger peers, or updates its entry.  */
static void
list_peer (struct frn_daemon *daemon, const struct gos_member *member,
           rw_time now)
{
  char id[32];
  char host[INET_ADDRSTRLEN];
  struct in_addr addr = { htonl (member->ip) };
  format_peer_id (id, sizeof id, member->ip);
  inet_ntop (AF_INET, &addr, host, sizeof host);
  struct cat_target entry = {
    .id = rw_str_from (id),
    .service = rw_str_from (daemon->peers.larger_peers->name),
    .host = rw_str_from (host),
    .port = ntohs (daemon->settings.peer_addr.sin_port),
    .slots = member->capacity / 50 + 1, /* relays at once: one per 0.05 core */
  };
  struct ste_target *target = ste_put (
      &daemon->fleet, &entry, ++daemon->peers.larger_peers_revision, now);
  if (target != NULL && member->dc == daemon->peers.gossip.settings.dc)
    target->dc = daemon->fleet.settings.dc;
}

/* Counts the gatherers: the daemons, this one included, with more than half of
   the largest capacity.  If no daemon is smaller, none forwards anything and
   the count is 0.  */
static void
update_gatherers (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  uint32_t own = own_capacity (daemon);
  uint32_t max_capacity = own;
  size_t position = 0;
  size_t count = 0;
  size_t small_count = 0;
  const struct gos_member *member;
  while ((member = gos_next_member (&peers->gossip, 0, now, &position))
         != NULL)
    if (member->capacity > max_capacity)
      max_capacity = member->capacity;
  for (position = 0;
       (member = gos_next_member (&peers->gossip, 0, now, &position)) != NULL;)
    {
      bool gathers = member->capacity * MIN_CAPACITY_RATIO > max_capacity;
      count += gathers;
      small_count += !gathers;
    }
  peers->is_gatherer = own * MIN_CAPACITY_RATIO > max_capacity;
  small_count += !peers->is_gatherer;
  peers->gatherer_count = small_count > 0 ? count + peers->is_gatherer : 0;
}

size_t
frn_shard_sharers (const struct frn_daemon *daemon)
{
  const struct frn_peers *peers = &daemon->peers;
  size_t all = daemon->fleet.settings.daemon_count;
  if (peers->gatherer_count == 0)
    return all;
  if (!peers->is_gatherer)
    return all * DAEMON_GROUPS;
  size_t gatherers = peers->gatherer_count > MIN_GATHERERS
                         ? peers->gatherer_count
                         : MIN_GATHERERS;
  return (gatherers < all ? gatherers : all) * DAEMON_GROUPS;
}

void
frn_relay_tick (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  size_t position = 0;
  int64_t before = peers->larger_peers_revision;
  const struct gos_member *member;
  if (now < peers->larger_peers_next)
    return;
  peers->larger_peers_next = gos_is_joining (&peers->gossip, now)
                                 ? now
                                 : now + LIST_UPDATE_INTERVAL;
  update_gatherers (daemon, now);
  /* Every entry that is still valid gets a new revision; those that keep an
     old one are removed.  */
  while ((member = gos_next_member (&peers->gossip,
                                    own_capacity (daemon) * MIN_CAPACITY_RATIO,
                                    now, &position))
         != NULL)
    list_peer (daemon, member, now);
  for (struct ste_target *t = peers->larger_peers->targets; t != NULL;
       t = t->next)
    if (!t->gone && t->revision <= before)
      ste_remove (&daemon->fleet, rw_str_from (t->id),
                  ++peers->larger_peers_revision, now);
}

bool
frn_is_relay_header (struct rw_str name)
{
  return h1_name_eq (name, RELAY_HEADER);
}

void
frn_relay_write_header (const struct frn_send *send, struct rw_buf *out)
{
  rw_buf_printf (out, RELAY_HEADER ": %llu\r\n",
                 (unsigned long long)send->request->config->version);
}

bool
frn_relay_refused (const struct h1_message *message)
{
  return h1_header_value (message, RELAY_REFUSED_HEADER).len > 0;
}

bool
frn_relay_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                 const struct h1_message *message)
{
  struct rw_str text = h1_header_value (message, RELAY_HEADER);
  struct h1_reply refusal
      = { .status = 503, .headers = RW_LIT (RELAY_REFUSED_HEADER ": 1\r\n") };
  int64_t version = 0;
  if (text.len == 0)
    return false;
  if (daemon->config == NULL || daemon->stopping
      || daemon->loop_lag > MAX_LOOP_LAG
      || rw_str_to_int (text, 0, INT64_MAX, &version) != 0
      || (uint64_t)version != daemon->config->version)
    h1_conn_reply (conn, &refusal);
  else
    frn_request_serve (daemon, conn, message, rw_now (), true);
  return true;
}
