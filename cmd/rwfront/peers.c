#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "front.h"

/* A copy that was not known to be current for this time is read from the
   store: below the time in which a change must be in force.  */
#define STALE (2500 * RW_MSEC)
/* A starting daemon asks its peers first: they answer within a few ms.  When
   all start for the first time nobody has anything, and the first
   configuration comes seconds before the first caller.  */
#define ASK_PEERS (25 * RW_MSEC)
#define ASK_PEERS_FIRST (600 * RW_MSEC)
/* A daemon without a copy that has heard of one reads the store only if it did
   not get it within this time: a transfer takes a few ms, 100 ms from a peer
   that many ask.  */
#define FETCH_FIRST (300 * RW_MSEC)
#define FETCH_TIMEOUT (600 * RW_MSEC)
/* Shortest time between two transfers: changes in quick succession are fetched
   together.  */
#define FETCH_PAUSE (150 * RW_MSEC)
/* Shortest time between two notices of a change, and the daemons told by
   each.  */
#define TELL_PAUSE (100 * RW_MSEC)
#define TELL_COUNT 5
#define MAX_VIEW_CONNS 256
#define VIEW_PATH "/view?after="

static void
send_to (struct frn_daemon *daemon, uint32_t ip, bool wants_reply)
{
  struct frn_peers *peers = &daemon->peers;
  struct gos_message message = { .wants_reply = wants_reply };
  char data[GOS_MAX_DATAGRAM];
  struct sockaddr_in addr = daemon->settings.peers;
  rw_time now = rw_now ();
  message.leaving = daemon->stopping;
  message.revision = daemon->view.replica.revision;
  message.fresh_age_ms = (uint32_t)((now - peers->fresh) / RW_MSEC);
  gos_fill (&peers->gossip, now, &message);
  size_t len = gos_encode (&message, data, sizeof data);
  uv_buf_t buf = uv_buf_init (data, (unsigned int)len);
  addr.sin_addr.s_addr = htonl (ip);
  /* A datagram that cannot be sent is like one that is lost.  */
  (void)uv_udp_try_send (&peers->udp, &buf, 1, (struct sockaddr *)&addr);
}

static void
tell (struct frn_daemon *daemon, rw_time now)
{
  uint32_t to[TELL_COUNT];
  size_t count = gos_pick (&daemon->peers.gossip, now, to, TELL_COUNT);
  daemon->peers.told = now;
  daemon->peers.tell = false;
  for (size_t i = 0; i < count; i++)
    send_to (daemon, to[i], false);
}

static void
on_fetch_idle (struct h1_client *link)
{
  struct frn_daemon *daemon = link->arg;
  char request[160];
  int len = snprintf (request, sizeof request,
                      "GET " VIEW_PATH "%lld HTTP/1.1\r\nHost: peer\r\n"
                      "Connection: close\r\n\r\n",
                      (long long)daemon->view.replica.revision);
  if (link->request_sent)
    return;
  /* A failed write is reported by the link's reader.  */
  (void)h1_client_send (link, (struct rw_str){ request, (size_t)len }, false);
}

static void
take_transfer (struct frn_daemon *daemon, struct rw_str body)
{
  struct rw_arena arena;
  struct rep_transfer transfer;
  struct rw_err err;
  struct rw_map listed;
  rw_time now = rw_now ();

  rw_arena_init (&arena, 65536);
  if (rep_unpack (&arena, body, &transfer, &err) != 0)
    {
      evt_line (&daemon->log, EVT_NORMAL, "peer", now,
                "transfer refused: reason=\"%s\"", err.detail);
      rw_arena_finish (&arena);
      return;
    }
  rw_map_init (&listed);
  for (size_t i = 0; i < transfer.count; i++)
    {
      frn_view_put (daemon, &arena, &transfer.items[i]);
      if (transfer.full)
        rw_map_put (&listed, rw_hash (transfer.items[i].key), daemon);
    }
  if (transfer.full)
    frn_view_retain (daemon, &arena, transfer.revision, &listed);
  if (frn_view_commit (daemon, transfer.revision))
    daemon->peers.tell = true;
  sta_inc (daemon->metrics.transfers);
  rw_map_finish (&listed);
  rw_arena_finish (&arena);
}

static enum h1_reply_result
on_fetch_reply (struct h1_client *link, const struct h1_message *reply)
{
  struct frn_daemon *daemon = link->arg;
  if (reply->status == 200)
    take_transfer (daemon, reply->body);
  return H1_REPLY_ACCEPTED;
}

static void
on_fetch_lost (struct h1_client *link, int code)
{
  (void)link;
  (void)code; /* another transfer is started when one is due */
}

static void
on_fetch_finished (struct h1_client *link)
{
  struct frn_daemon *daemon = link->arg;
  daemon->peers.link_used = false;
}

static const struct h1_client_ops fetch_ops = {
  .on_idle = on_fetch_idle,
  .on_reply = on_fetch_reply,
  .on_disconnect = on_fetch_lost,
  .on_closed = on_fetch_finished,
};

/* Fetches from a daemon that is ahead, if there is one.  */
static void
fetch (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  struct sockaddr_in addr = daemon->settings.peers;
  int64_t own = daemon->view.replica.revision;
  if (peers->link_used)
    {
      if (now > peers->fetch_deadline)
        h1_client_close (&peers->link);
      return;
    }
  if (peers->wanted <= own || now < peers->fetch_next)
    return;
  uint32_t ip = gos_ahead (&peers->gossip, own + 1, now);
  if (ip == 0)
    return;
  addr.sin_addr.s_addr = htonl (ip);
  peers->link_used = true;
  peers->fetch_deadline = now + FETCH_TIMEOUT;
  peers->fetch_next = now + FETCH_PAUSE;
  /* A failure ends in on_fetch_finished.  */
  (void)h1_client_init (&peers->link, daemon->loop, (struct sockaddr *)&addr,
                        daemon->scratch, &fetch_ops, daemon);
}

static void
on_datagram (uv_udp_t *udp, ssize_t n, const uv_buf_t *buf,
             const struct sockaddr *from, unsigned int flags)
{
  struct frn_daemon *daemon = udp->data;
  struct frn_peers *peers = &daemon->peers;
  struct gos_message message;
  struct rw_err err;
  rw_time now = rw_now ();
  if (n <= 0 || from == NULL || (flags & UV_UDP_PARTIAL) != 0)
    return;
  uint32_t ip = ntohl (((const struct sockaddr_in *)from)->sin_addr.s_addr);
  if (gos_decode ((struct rw_str){ buf->base, (size_t)n }, &message, &err)
      != 0)
    {
      evt_line (&daemon->log, EVT_NORMAL, "peer", now,
                "message ignored: ip=%08x reason=\"%s\"", ip, err.detail);
      return;
    }
  gos_on_message (&peers->gossip, ip, &message, now);
  rw_time fresh = now - message.fresh_age_ms * RW_MSEC;
  if (message.revision > daemon->view.replica.revision)
    {
      if (message.revision > peers->wanted)
        peers->wanted = message.revision;
      fetch (daemon, now);
    }
  else if (message.revision > 0 && fresh > peers->fresh)
    peers->fresh = fresh;
  if (message.wants_reply)
    send_to (daemon, ip, false);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  struct frn_daemon *daemon = handle->data;
  (void)size;
  *buf = uv_buf_init (daemon->peers.datagram, GOS_MAX_DATAGRAM);
}

static void
on_view_request (void *arg, struct h1_conn *conn,
                 const struct h1_message *message)
{
  struct frn_daemon *daemon = arg;
  struct h1_reply reply = { .status = 404 };
  struct rw_str prefix = RW_LIT (VIEW_PATH);
  int64_t after = 0;
  h1_conn_set_data (conn, NULL);
  if (frn_relay_serve (daemon, conn, message))
    return;
  if (rw_str_starts (message->target, prefix))
    {
      struct rw_str number = { message->target.ptr + prefix.len,
                               message->target.len - prefix.len };
      reply.status = 400;
      if (rw_str_to_int (number, 0, INT64_MAX, &after) == 0)
        {
          reply.status = 200;
          reply.body = rep_pack (&daemon->view.replica, after);
        }
    }
  h1_conn_reply (conn, &reply);
}

static const struct h1_server_ops view_ops = {
  .on_request = on_view_request,
  .on_disconnect = frn_request_gone,
};

void
frn_peers_on_current (struct frn_daemon *daemon, rw_time now)
{
  daemon->peers.fresh = now;
  if (daemon->view.replica.revision > daemon->peers.wanted)
    {
      daemon->peers.wanted = daemon->view.replica.revision;
      daemon->peers.tell = true;
    }
}

bool
frn_peers_reads_store (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  bool known = daemon->view.replica.revision > 0;
  if (!known)
    return now >= peers->read_from
           && (peers->wanted == 0 || now >= peers->read_from + FETCH_FIRST)
           && gos_reads_first (&peers->gossip, now - peers->read_from, now);
  if (now - peers->fresh > STALE)
    return true;
  return gos_rank (&peers->gossip, now) < GOS_READERS;
}

void
frn_peers_leave (struct frn_daemon *daemon)
{
  tell (daemon, rw_now ());
}

void
frn_peers_tick (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  uint32_t to[2];
  bool behind = daemon->view.replica.revision == 0;
  size_t count = gos_tick (&peers->gossip, now, to, RW_ARRAY_LEN (to));
  for (size_t i = 0; i < count; i++)
    send_to (daemon, to[i], behind || gos_is_lonely (&peers->gossip, now));
  if (peers->tell && now - peers->told > TELL_PAUSE)
    tell (daemon, now);
  fetch (daemon, now);
  frn_relay_tick (daemon, now);
  daemon->fleet.settings.daemons = gos_daemons (&peers->gossip, now);
  daemon->fleet.settings.sharers = frn_sharers (daemon);
  ste_choose_kept (&daemon->fleet, now);
}

int
frn_peers_init (struct frn_daemon *daemon)
{
  struct frn_peers *peers = &daemon->peers;
  const struct frn_settings *settings = &daemon->settings;
  rw_time now = rw_now ();
  struct gos_settings gossip = {
    .ip = ntohl (settings->peers.sin_addr.s_addr),
    .dc = (uint32_t)rw_hash (rw_str_from (settings->dc)),
    .capacity = (uint32_t)(settings->cores * 1000),
    .least = FRN_LEAST_DAEMONS,
    .seed = rw_rng_next (&daemon->fleet.rng),
  };
  for (size_t i = 0; i < settings->seed_count && i < GOS_MAX_SEEDS; i++)
    gossip.seeds[gossip.seed_count++]
        = ntohl (settings->seeds[i].sin_addr.s_addr);
  memset (peers, 0, sizeof *peers);
  peers->large = ste_service (&daemon->fleet, RW_LIT ("peers"));
  gos_init (&peers->gossip, &gossip, now);
  peers->read_from
      = now + (settings->first_start ? ASK_PEERS_FIRST : ASK_PEERS);
  peers->datagram = rw_xmalloc (GOS_MAX_DATAGRAM);
  peers->limits = (struct h1_limits){ 16384, 16384, 2 * RW_SEC, 30 * RW_SEC };
  uv_udp_init (daemon->loop, &peers->udp);
  peers->udp.data = daemon;
  int r = uv_udp_bind (&peers->udp, (const struct sockaddr *)&settings->peers,
                       0);
  if (r == 0)
    r = uv_udp_recv_start (&peers->udp, on_alloc, on_datagram);
  if (r == 0)
    r = h1_server_init (&peers->views, daemon->loop,
                        (const struct sockaddr *)&settings->peers,
                        &peers->limits, MAX_VIEW_CONNS, &view_ops, daemon);
  for (size_t i = 0; r == 0 && i < gossip.seed_count; i++)
    if (gossip.seeds[i] != gossip.ip)
      send_to (daemon, gossip.seeds[i], true);
  return r;
}

void
frn_peers_finish (struct frn_daemon *daemon)
{
  struct frn_peers *peers = &daemon->peers;
  h1_server_stop (&peers->views);
  uv_close ((uv_handle_t *)&peers->udp, NULL);
  if (peers->link_used)
    h1_client_close (&peers->link);
}
