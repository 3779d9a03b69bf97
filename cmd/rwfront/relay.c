#include <arpa/inet.h>
#include <string.h>

#include "front.h"

/* The version of the sender's configuration.  A peer with another one refuses,
   so that callers of one daemon never see an older version after a newer
   one.  */
#define H_RELAY "X-Rwf-Relay"
#define H_REFUSED "X-Rwf-Relay-Refused"
/* A peer must be that much larger than this daemon.  */
#define LARGER 2
/* Queries over fewer parts cost less than the way to a peer.  */
#define LEAST_PARTS 8
#define LARGEST_REQUEST 4096
/* A peer that runs late by this time refuses.  */
#define BUSY_LAG (40 * RW_MSEC)
#define LIST_PAUSE (500 * RW_MSEC)
/* Gatherers that are assumed at least: not all are known at once.  */
#define LEAST_GATHERERS 12
/* The gatherers share one half of a sum, all others the other half.  */
#define HALVES 2

static uint32_t
own_capacity (const struct frn_daemon *daemon)
{
  return (uint32_t)(daemon->settings.cores * 1000);
}

bool
frn_relay_available (const struct frn_daemon *daemon, rw_time now)
{
  for (const struct ste_target *t = daemon->peers.large->targets; t != NULL;
       t = t->next)
    if (!t->gone && now >= t->avoid_until && !ste_stalled (t, now))
      return true;
  return false;
}

bool
frn_relay_wanted (struct frn_daemon *daemon, const struct frn_request *request,
                  rw_time now)
{
  if (request->relayed || request->route->kind != CAT_ROUTE_GATHER
      || request->route->u.gather.count < LEAST_PARTS
      || request->headers.len + request->body.len > LARGEST_REQUEST)
    return false;
  return frn_relay_available (daemon, now);
}

static void
peer_id (char *id, size_t size, uint32_t ip)
{
  snprintf (id, size, "peer-%08x", ip);
}

static void
list_peer (struct frn_daemon *daemon, const struct gos_member *member,
           rw_time now)
{
  char id[32];
  char host[INET_ADDRSTRLEN];
  struct in_addr addr = { htonl (member->ip) };
  peer_id (id, sizeof id, member->ip);
  inet_ntop (AF_INET, &addr, host, sizeof host);
  struct cat_target entry = {
    .id = rw_str_from (id),
    .service = rw_str_from (daemon->peers.large->name),
    .host = rw_str_from (host),
    .port = ntohs (daemon->settings.peers.sin_port),
    .slots = member->capacity / 50 + 1, /* queries side by side */
  };
  struct ste_target *target
      = ste_put (&daemon->fleet, &entry, ++daemon->peers.large_revision, now);
  if (target != NULL && member->dc == daemon->peers.gossip.settings.dc)
    target->dc = daemon->fleet.settings.dc;
}

/* Finds out whether few larger daemons gather for all others, and whether this
   is one of them.  */
static void
count_gatherers (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  uint32_t own = own_capacity (daemon);
  uint32_t most = own;
  size_t position = 0;
  size_t count = 0;
  size_t small = 0;
  const struct gos_member *member;
  while ((member = gos_next_large (&peers->gossip, 0, now, &position)) != NULL)
    if (member->capacity > most)
      most = member->capacity;
  for (position = 0;
       (member = gos_next_large (&peers->gossip, 0, now, &position)) != NULL;)
    {
      bool gathers = member->capacity * LARGER > most;
      count += gathers;
      small += !gathers;
    }
  peers->gathers = own * LARGER > most;
  small += !peers->gathers;
  peers->gatherers = small > 0 ? count + peers->gathers : 0;
}

size_t
frn_sharers (const struct frn_daemon *daemon)
{
  const struct frn_peers *peers = &daemon->peers;
  size_t all = daemon->fleet.settings.daemons;
  if (peers->gatherers == 0)
    return all;
  if (!peers->gathers)
    return all * HALVES;
  size_t gatherers = peers->gatherers > LEAST_GATHERERS ? peers->gatherers
                                                        : LEAST_GATHERERS;
  return (gatherers < all ? gatherers : all) * HALVES;
}

void
frn_relay_tick (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  size_t position = 0;
  int64_t before = peers->large_revision;
  const struct gos_member *member;
  if (now < peers->large_next)
    return;
  peers->large_next
      = gos_is_young (&peers->gossip, now) ? now : now + LIST_PAUSE;
  count_gatherers (daemon, now);
  while ((member = gos_next_large (
              &peers->gossip, own_capacity (daemon) * LARGER, now, &position))
         != NULL)
    list_peer (daemon, member, now);
  for (struct ste_target *t = peers->large->targets; t != NULL; t = t->next)
    if (!t->gone && t->revision <= before)
      ste_remove (&daemon->fleet, rw_str_from (t->id), ++peers->large_revision,
                  now);
}

bool
frn_is_relay_header (struct rw_str name)
{
  return h1_name_eq (name, H_RELAY);
}

void
frn_relay_write (const struct frn_send *send, struct rw_buf *out)
{
  rw_buf_printf (out, H_RELAY ": %llu\r\n",
                 (unsigned long long)send->request->config->version);
}

bool
frn_relay_refused (const struct h1_message *message)
{
  return h1_header_value (message, H_REFUSED).len > 0;
}

bool
frn_relay_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                 const struct h1_message *message)
{
  struct rw_str text = h1_header_value (message, H_RELAY);
  struct h1_reply refusal
      = { .status = 503, .headers = RW_LIT (H_REFUSED ": 1\r\n") };
  int64_t version = 0;
  if (text.len == 0)
    return false;
  if (daemon->config == NULL || daemon->stopping || daemon->lag > BUSY_LAG
      || rw_str_to_int (text, 0, INT64_MAX, &version) != 0
      || (uint64_t)version != daemon->config->version)
    h1_conn_reply (conn, &refusal);
  else
    frn_request_serve (daemon, conn, message, rw_now (), true);
  return true;
}
