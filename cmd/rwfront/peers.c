#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "frn_account.h"
#include "frn_quarantine.h"
#include "frn_quota.h"
#include "forward.h"
#include "front.h"

/* A daemon reads the store itself if its copy was not confirmed as current for
   this time, which is below the time in which a change must be in force.  */
#define MAX_COPY_AGE (2500 * RW_MSEC)
/* After its start a daemon waits this long for copies of its peers, which
   answer within a few ms, before it may read the store.  It waits longer when
   the whole system starts for the first time: no daemon has a copy then, and
   the first configuration is published seconds before the first caller
   connects.  */
#define PEER_WAIT (25 * RW_MSEC)
#define FIRST_START_PEER_WAIT (600 * RW_MSEC)
/* The whole system has time at its first start: more daemons read the store
   this many times later than after another start.  A read of 12 pages takes
   about 100 ms, and each daemon that begins one before another has finished
   costs the store as many calls.  */
#define FIRST_START_SLOWNESS 10
/* A daemon without a copy that knows a peer with one reads the store only if
   no transfer has succeeded within this time.  A transfer takes a few ms, or
   100 ms from a peer that many daemons ask.  */
#define FETCH_WAIT (300 * RW_MSEC)
/* As large as the configuration may allow callers.  */
#define MAX_RELAYED_BODY_BYTES ((size_t)64 << 20)
#define FETCH_TIMEOUT (600 * RW_MSEC)
/* Minimum time between the starts of two transfers, so that changes in quick
   succession are fetched together.  */
#define MIN_FETCH_INTERVAL (150 * RW_MSEC)
/* Minimum time between two rounds of notices of a change.  */
#define MIN_NOTICE_INTERVAL (100 * RW_MSEC)
/* Number of peers that one round of notices is sent to.  */
#define NOTICE_FANOUT 5
/* Number of peers that are told at once that this daemon is cut off, and the
   time after which others are told.  */
#define REACH_FANOUT 24
#define REACH_INTERVAL RW_SEC
/* Messages of evidence that follow a reply.  */
#define REPLY_EVIDENCE_MESSAGES 3
#define TRANSFER_ARENA_BLOCK 65536
/* Path of a transfer; the revision of the client's copy follows.  */
#define VIEW_PATH "/view?after="

/* Sends MESSAGE, whose entries are set, to the daemon IP (host order).  */
static void
send_filled (struct frn_daemon *daemon, uint32_t ip,
             struct gos_message *message, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  char data[GOS_MAX_DATAGRAM];
  struct sockaddr_in addr = daemon->settings.peer_addr;
  message->leaving = daemon->stop.begun;
  message->cut_off = daemon->reach.state.cut_off;
  message->revision = daemon->view.replica.revision;
  message->staleness_ms = gos_staleness_ms (now - peers->current_at);
  size_t len = gos_encode (message, data, sizeof data);
  uv_buf_t buf = uv_buf_init (data, (unsigned int)len);
  addr.sin_addr.s_addr = htonl (ip);
  /* A datagram that cannot be sent is treated as lost.  */
  (void)uv_udp_try_send (&peers->udp, &buf, 1, (struct sockaddr *)&addr);
}

void
frn_peers_send_evidence (struct frn_daemon *daemon, uint32_t ip,
                         struct rw_str evidence, rw_time now)
{
  struct gos_message message = { .evidence = evidence };
  gos_fill_head (&daemon->peers.gossip, &message);
  send_filled (daemon, ip, &message, now);
}

void
frn_peers_send_quota (struct frn_daemon *daemon, uint32_t ip,
                      struct rw_str quota, rw_time now)
{
  struct gos_message message = { .quota = quota };
  gos_fill_head (&daemon->peers.gossip, &message);
  send_filled (daemon, ip, &message, now);
}

/* Sends a gossip message to the daemon IP (host order).  */
static void
send_message (struct frn_daemon *daemon, uint32_t ip, bool reply_requested)
{
  struct gos_message message = { .reply_requested = reply_requested };
  char evidence[GOS_MAX_DATAGRAM];
  rw_time now = rw_now ();
  gos_fill_message (&daemon->peers.gossip, now, &message);
  message.evidence.ptr = evidence;
  message.evidence.len = qua_write_next (&daemon->quarantine.table, evidence,
                                         gos_evidence_space (&message), now);
  send_filled (daemon, ip, &message, now);
}

/* Records that the copy was current at AT, learned at NOW, and passes it on to
   a few peers if it is news.  */
static void
confirm_copy (struct frn_daemon *daemon, rw_time at, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  struct gos_message message = { .reply_requested = false };
  uint32_t to[GOS_CONFIRM_FANOUT];
  rw_time gain = at - peers->current_at;
  if (gain <= 0)
    return;
  peers->current_at = at;
  if (!gos_should_pass_on (&peers->gossip, gain, now))
    return;
  gos_fill_head (&peers->gossip, &message);
  size_t count
      = gos_pick_members (&peers->gossip, now, to, GOS_CONFIRM_FANOUT);
  for (size_t i = 0; i < count; i++)
    send_filled (daemon, to[i], &message, now);
}

/* Sends a message with this copy's revision to a few peers.  */
static void
send_notices (struct frn_daemon *daemon, rw_time now)
{
  uint32_t to[NOTICE_FANOUT];
  size_t count
      = gos_pick_members (&daemon->peers.gossip, now, to, NOTICE_FANOUT);
  daemon->peers.notified_at = now;
  daemon->peers.notify_due = false;
  for (size_t i = 0; i < count; i++)
    send_message (daemon, to[i], false);
}

static void
on_fetch_idle (struct h1_client *conn)
{
  struct frn_daemon *daemon = conn->arg;
  char request[160];
  int len = snprintf (request, sizeof request,
                      "GET " VIEW_PATH "%lld HTTP/1.1\r\nHost: peer\r\n"
                      "Connection: close\r\n\r\n",
                      (long long)daemon->view.replica.revision);
  if (conn->request_sent) /* one request for each connection */
    return;
  /* After a failed write reading fails too, and on_fetch_disconnect runs.  */
  (void)h1_client_send (conn, (struct rw_str){ request, (size_t)len }, false);
}

/* Applies a transfer, a full copy or changes only, and schedules notices to
   peers if the copy is newer now.  */
static void
apply_transfer (struct frn_daemon *daemon, struct rw_str body)
{
  struct rw_arena arena;
  struct rep_transfer transfer;
  struct rw_err err;
  struct rw_map listed;
  rw_time now = rw_now ();

  rw_arena_init (&arena, TRANSFER_ARENA_BLOCK);
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
    daemon->peers.notify_due = true;
  sta_inc (daemon->metrics.transfers);
  rw_map_finish (&listed);
  rw_arena_finish (&arena);
}

static enum h1_reply_result
on_fetch_reply (struct h1_client *conn, const struct h1_message *reply)
{
  struct frn_daemon *daemon = conn->arg;
  if (reply->status == 200)
    apply_transfer (daemon, reply->body);
  return H1_REPLY_ACCEPTED;
}

static void
on_fetch_disconnect (struct h1_client *conn, int code)
{
  (void)conn;
  (void)code; /* fetch_if_behind starts the next one */
}

static void
on_fetch_closed (struct h1_client *conn)
{
  struct frn_daemon *daemon = conn->arg;
  daemon->peers.fetch_conn_used = false;
}

static const struct h1_client_ops fetch_ops = {
  .on_idle = on_fetch_idle,
  .on_reply = on_fetch_reply,
  .on_disconnect = on_fetch_disconnect,
  .on_closed = on_fetch_closed,
};

/* Starts a transfer from a peer with a newer copy, if there is one and
   MIN_FETCH_INTERVAL has passed.  Closes a transfer that timed out.  */
static void
fetch_if_behind (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  struct sockaddr_in addr = daemon->settings.peer_addr;
  int64_t own = daemon->view.replica.revision;
  if (peers->fetch_conn_used)
    {
      if (now > peers->fetch_deadline)
        h1_client_close (&peers->fetch_conn);
      return;
    }
  if (peers->newest_revision <= own || now < peers->next_fetch)
    return;
  uint32_t ip = gos_pick_source (&peers->gossip, own + 1, now);
  if (ip == 0)
    return;
  addr.sin_addr.s_addr = htonl (ip);
  peers->fetch_conn_used = true;
  peers->fetch_deadline = now + FETCH_TIMEOUT;
  peers->next_fetch = now + MIN_FETCH_INTERVAL;
  /* A failure leads to on_fetch_closed.  */
  (void)h1_client_init (&peers->fetch_conn, daemon->loop,
                        (struct sockaddr *)&addr, daemon->scratch, &fetch_ops,
                        daemon);
}

/* Answers a peer that requested a reply: it may have missed news.  */
static void
reply_to (struct frn_daemon *daemon, uint32_t ip, rw_time now)
{
  struct gos_message message = { .count = 0 };
  char evidence[GOS_MAX_DATAGRAM];
  send_message (daemon, ip, false);
  for (size_t i = 0; i < REPLY_EVIDENCE_MESSAGES; i++)
    {
      size_t len = qua_write_next (&daemon->quarantine.table, evidence,
                                   gos_evidence_space (&message), now);
      if (len == 0)
        return;
      frn_peers_send_evidence (daemon, ip, (struct rw_str){ evidence, len },
                               now);
    }
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
  rw_time current_at = now - message.staleness_ms * RW_MSEC;
  if (message.revision > daemon->view.replica.revision)
    {
      if (message.revision > peers->newest_revision)
        peers->newest_revision = message.revision;
      fetch_if_behind (daemon, now);
    }
  else if (message.revision > 0)
    confirm_copy (daemon, current_at, now);
  frn_quarantine_take (daemon, ip, message.evidence, now);
  frn_quota_take (daemon, ip, message.quota, now);
  if (message.reply_requested)
    reply_to (daemon, ip, now);
}

static void
on_alloc (uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
  struct frn_daemon *daemon = handle->data;
  (void)size;
  *buf = uv_buf_init (daemon->peers.recv_buf, GOS_MAX_DATAGRAM);
}

/* Serves a request of a peer: a relay or a transfer.  */
static void
on_peer_request (void *arg, struct h1_conn *conn,
                 const struct h1_message *message)
{
  struct frn_daemon *daemon = arg;
  struct h1_reply reply = { .status = 404 };
  struct rw_str prefix = RW_LIT (VIEW_PATH);
  int64_t after = 0;
  h1_conn_set_data (conn, NULL);
  if (frn_relay_serve (daemon, conn, message)
      || frn_subquery_serve (daemon, conn, message))
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

static const struct h1_server_ops peer_ops = {
  .on_request = on_peer_request,
  .on_disconnect = frn_on_caller_gone,
  .on_drop = frn_on_drop,
};

void
frn_peers_mark_current (struct frn_daemon *daemon, rw_time now)
{
  confirm_copy (daemon, now, now);
  if (daemon->view.replica.revision > daemon->peers.newest_revision)
    {
      daemon->peers.newest_revision = daemon->view.replica.revision;
      daemon->peers.notify_due = true;
    }
}

bool
frn_peers_should_read_store (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  bool has_copy = daemon->view.replica.revision > 0;
  rw_time waited = now - peers->no_read_before;
  if (daemon->settings.first_start)
    waited /= FIRST_START_SLOWNESS;
  /* A daemon without a copy first waits for its peers, and longer if a peer
     has a copy to transfer.  After that a few daemons of each data centre read
     the store, then more and more.  */
  if (!has_copy)
    return now >= peers->no_read_before
           && (peers->newest_revision == 0
               || now >= peers->no_read_before + FETCH_WAIT)
           && gos_initial_read_due (&peers->gossip, waited, now);
  if (now - peers->current_at > MAX_COPY_AGE)
    return true;
  /* A current copy is kept current by the readers of the data centre only.  */
  return gos_rank (&peers->gossip, now) < GOS_READERS_PER_DC;
}

void
frn_peers_announce_reach (struct frn_daemon *daemon)
{
  uint32_t to[REACH_FANOUT];
  rw_time now = rw_now ();
  size_t count
      = gos_pick_members (&daemon->peers.gossip, now, to, REACH_FANOUT);
  daemon->peers.announced_at = now;
  for (size_t i = 0; i < count; i++)
    send_message (daemon, to[i], false);
  frn_peerlist_update_fallbacks (daemon, now);
}

void
frn_peers_leave (struct frn_daemon *daemon)
{
  send_notices (daemon, rw_now ());
}

void
frn_peers_tick (struct frn_daemon *daemon, rw_time now)
{
  struct frn_peers *peers = &daemon->peers;
  uint32_t to[2];
  bool no_copy = daemon->view.replica.revision == 0;
  size_t count = gos_tick (&peers->gossip, now, to, RW_ARRAY_LEN (to));
  for (size_t i = 0; i < count; i++)
    send_message (daemon, to[i],
                  no_copy || gos_should_request_reply (&peers->gossip, now));
  if (daemon->reach.state.cut_off
      && now - peers->announced_at > REACH_INTERVAL)
    frn_peers_announce_reach (daemon);
  if (peers->notify_due && now - peers->notified_at > MIN_NOTICE_INTERVAL)
    send_notices (daemon, now);
  fetch_if_behind (daemon, now);
  frn_peerlist_tick (daemon, now);
  daemon->fleet.settings.daemon_count = gos_daemon_count (&peers->gossip, now);
  daemon->fleet.settings.shard_sharers = frn_shard_sharers (daemon);
  if (!daemon->settings.without[FRN_MECH_SUBSETS])
    ste_choose_subsets (&daemon->fleet, now);
}

void
frn_peers_update_settings (struct frn_daemon *daemon)
{
  struct gos_settings *settings = &daemon->peers.gossip.settings;
  settings->dc = (uint32_t)rw_hash (rw_str_from (daemon->settings.dc));
  settings->capacity = (uint32_t)(daemon->settings.cores * 1000);
}

int
frn_peers_init (struct frn_daemon *daemon)
{
  struct frn_peers *peers = &daemon->peers;
  const struct frn_settings *settings = &daemon->settings;
  rw_time now = rw_now ();
  struct gos_settings gossip = {
    .ip = ntohl (settings->peer_addr.sin_addr.s_addr),
    .dc = (uint32_t)rw_hash (rw_str_from (settings->dc)),
    .capacity = (uint32_t)(settings->cores * 1000),
    .min_daemons = FRN_ASSUMED_DAEMONS,
    .rng_seed = rw_rng_next (&daemon->fleet.rng),
  };
  for (size_t i = 0; i < settings->seed_count && i < GOS_MAX_SEEDS; i++)
    gossip.seeds[gossip.seed_count++]
        = ntohl (settings->seeds[i].sin_addr.s_addr);
  memset (peers, 0, sizeof *peers);
  peers->larger_peers = ste_service (&daemon->fleet, RW_LIT ("peers"));
  /* Larger peers accept at least as many connections as this daemon.  */
  peers->larger_peers->max_connections = (unsigned int)frn_max_conns (daemon);
  peers->larger_peers->of_peers = true;
  peers->fallback_peers = ste_service (&daemon->fleet, RW_LIT ("fallbacks"));
  peers->fallback_peers->max_connections
      = peers->larger_peers->max_connections;
  peers->fallback_peers->of_peers = true;
  gos_init (&peers->gossip, &gossip, now);
  peers->no_read_before
      = now + (settings->first_start ? FIRST_START_PEER_WAIT : PEER_WAIT);
  peers->recv_buf = rw_xmalloc (GOS_MAX_DATAGRAM);
  peers->limits = (struct h1_limits){
    .max_head_bytes = 16384,
    .max_body_bytes = MAX_RELAYED_BODY_BYTES,
    .request_timeout = 2 * RW_SEC,
    .idle_timeout = 30 * RW_SEC,
  };
  uv_udp_init (daemon->loop, &peers->udp);
  peers->udp.data = daemon;
  int r = uv_udp_bind (&peers->udp,
                       (const struct sockaddr *)&settings->peer_addr, 0);
  if (r == 0)
    r = uv_udp_recv_start (&peers->udp, on_alloc, on_datagram);
  if (r == 0)
    r = h1_server_init (&peers->server, daemon->loop,
                        (const struct sockaddr *)&settings->peer_addr,
                        &peers->limits, frn_max_conns (daemon), &peer_ops,
                        daemon);
  if (r == 0)
    {
      frn_account_serve (daemon, &peers->server);
      /* The peer sends it elsewhere.  */
      peers->server.refusal = frn_peer_refusal (daemon).headers;
    }
  for (size_t i = 0; r == 0 && i < gossip.seed_count; i++)
    if (gossip.seeds[i] != gossip.ip)
      send_message (daemon, gossip.seeds[i], true);
  return r;
}

void
frn_peers_finish (struct frn_daemon *daemon)
{
  struct frn_peers *peers = &daemon->peers;
  h1_server_stop (&peers->server);
  uv_close ((uv_handle_t *)&peers->udp, NULL);
  if (peers->fetch_conn_used)
    h1_client_close (&peers->fetch_conn);
}
