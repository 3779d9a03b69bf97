#include <arpa/inet.h>
#include <string.h>

#include "forward.h"
#include "front.h"

/* A peer counts as larger if it has at least this multiple of this daemon's
   capacity.  */
#define MIN_CAPACITY_RATIO 2
/* Time between two updates of the lists.  */
#define LIST_UPDATE_INTERVAL (500 * RW_MSEC)
/* At least this many gatherers are assumed, as not all of them are known at
   once after a start.  */
#define MIN_GATHERERS 12
/* While this daemon is cut off, small peers stay listed for this time after no
   large one took requests.  */
#define SMALL_FALLBACKS_TIME (3 * RW_SEC)
/* Gatherers and other daemons: each group shares half of a limit.  */
#define DAEMON_GROUPS 2

uint32_t
frn_own_capacity (const struct frn_daemon *daemon)
{
  return (uint32_t)(daemon->settings.cores * 1000);
}

/* Adds MEMBER to the peers of SERVICE, or updates its entry.  KIND begins its
   id, as a peer may be in two lists.  */
static void
list_peer (struct frn_daemon *daemon, const struct ste_service *service,
           const char *kind, const struct gos_member *member, rw_time now)
{
  char id[32];
  char host[INET_ADDRSTRLEN];
  struct in_addr addr = { htonl (member->ip) };
  snprintf (id, sizeof id, "%s-%08x", kind, member->ip);
  inet_ntop (AF_INET, &addr, host, sizeof host);
  struct cat_target entry = {
    .id = rw_str_from (id),
    .service = rw_str_from (service->name),
    .host = rw_str_from (host),
    .port = ntohs (daemon->settings.peer_addr.sin_port),
    .slots = member->capacity / 50 + 1, /* relays at once: one per 0.05 core */
  };
  struct ste_target *target
      = ste_put (&daemon->fleet, &entry, ++daemon->peers.lists_revision, now);
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
  uint32_t own = frn_own_capacity (daemon);
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
  peers->max_capacity = max_capacity;
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

/* Counts the daemons of each data centre by the weight that they have in
   frn_shard_sharers.  */
static void
update_dc_sharers (struct frn_daemon *daemon, rw_time now)
{
  const struct frn_peers *peers = &daemon->peers;
  struct ste_settings *steer = &daemon->fleet.settings;
  struct gos_dc_count counts[GOS_MAX_DCS];
  size_t dcs = gos_count_by_dc (&peers->gossip,
                                peers->max_capacity / MIN_CAPACITY_RATIO + 1,
                                now, counts);
  size_t groups = peers->gatherer_count > 0 ? DAEMON_GROUPS : 1;
  steer->dc_count = dcs < STE_MAX_DCS ? dcs : STE_MAX_DCS;
  for (size_t i = 0; i < steer->dc_count; i++)
    steer->dcs[i] = (struct ste_dc_sharers){
      .dc = counts[i].dc,
      .all = counts[i].all,
      .shard
      = groups
        * (groups > 1 && peers->is_gatherer ? counts[i].large : counts[i].all),
    };
}

/* Removes the peers of SERVICE whose entry has not been updated since the
   revision BEFORE.  */
static void
drop_unlisted (struct frn_daemon *daemon, struct ste_service *service,
               int64_t before, rw_time now)
{
  if (service == NULL)
    return;
  for (struct ste_target *t = service->targets; t != NULL; t = t->next)
    if (!t->gone && t->revision <= before)
      ste_remove (&daemon->fleet, rw_str_from (t->id),
                  ++daemon->peers.lists_revision, now);
}

static void
update_larger_peers (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  size_t position = 0;
  int64_t before = peers->lists_revision;
  const struct gos_member *member;
  while ((member = gos_next_member (
              &peers->gossip, frn_own_capacity (daemon) * MIN_CAPACITY_RATIO,
              now, &position))
         != NULL)
    if (now >= member->cut_off_until)
      list_peer (daemon, peers->larger_peers, "peer", member, now);
  drop_unlisted (daemon, peers->larger_peers, before, now);
}

/* Returns the list of delegates in the data centre DC, added if it is new, or
   null if there are too many.  */
static struct ste_service *
delegates_of (struct frn_daemon *daemon, uint32_t dc)
{
  struct frn_peers *peers = &daemon->peers;
  char name[32];
  for (size_t i = 0; i < peers->delegate_dc_count; i++)
    if (peers->delegates[i].dc == dc)
      return peers->delegates[i].service;
  if (peers->delegate_dc_count == FRN_MAX_DELEGATE_DCS)
    return NULL;
  snprintf (name, sizeof name, "delegate-%08x", dc);
  struct ste_service *service
      = ste_service (&daemon->fleet, rw_str_from (name));
  service->max_connections = (unsigned int)frn_max_conns (daemon);
  service->of_peers = true;
  peers->delegates[peers->delegate_dc_count++]
      = (struct frn_delegates){ dc, service };
  return service;
}

/* Delegates are daemons that gather for others, if some are too small for
   that.  */
static void
update_delegates (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  struct gos_delegates picked[GOS_MAX_DELEGATE_DCS];
  int64_t before = peers->lists_revision;
  size_t dcs = gos_pick_delegates (
      &peers->gossip, peers->max_capacity / MIN_CAPACITY_RATIO + 1, false, now,
      picked);
  for (size_t i = 0; i < dcs; i++)
    {
      struct ste_service *service = delegates_of (daemon, picked[i].dc);
      for (size_t j = 0; service != NULL && j < picked[i].count; j++)
        list_peer (daemon, service, "delegate", picked[i].members[j], now);
    }
  for (size_t i = 0; i < peers->delegate_dc_count; i++)
    drop_unlisted (daemon, peers->delegates[i].service, before, now);
}

/* Lists fallback peers with at least CAPACITY.  */
static void
list_fallbacks (struct frn_daemon *daemon, uint32_t capacity, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  struct gos_delegates picked[GOS_MAX_DELEGATE_DCS];
  size_t dcs
      = gos_pick_delegates (&peers->gossip, capacity, true, now, picked);
  for (size_t i = 0; i < dcs; i++)
    for (size_t j = 0; j < picked[i].count; j++)
      list_peer (daemon, peers->fallback_peers, "fallback",
                 picked[i].members[j], now);
}

/* Small daemons are listed only if lately no large one was available.  */
void
frn_peerlist_update_fallbacks (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  int64_t before = peers->lists_revision;
  if (daemon->reach.state.cut_off)
    {
      list_fallbacks (daemon, peers->max_capacity / MIN_CAPACITY_RATIO + 1,
                      now);
      if (!frn_any_peer_available (peers->fallback_peers, before, now))
        peers->small_fallbacks_until = now + SMALL_FALLBACKS_TIME;
      if (now < peers->small_fallbacks_until)
        list_fallbacks (daemon, 0, now);
    }
  drop_unlisted (daemon, peers->fallback_peers, before, now);
}

/* Every entry that is still valid gets a new revision; those that keep an old
   one are removed.  */
void
frn_peerlist_tick (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  if (now < peers->lists_next)
    return;
  peers->lists_next = gos_is_joining (&peers->gossip, now)
                          ? now
                          : now + LIST_UPDATE_INTERVAL;
  update_gatherers (daemon, now);
  update_dc_sharers (daemon, now);
  update_larger_peers (daemon, now);
  update_delegates (daemon, now);
  frn_peerlist_update_fallbacks (daemon, now);
}
