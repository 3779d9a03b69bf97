#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>

#include "front.h"

#define ARENA_BLOCK 65536
/* Keep-alive probes, in seconds: a link that went silent ends after three.  */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 2

/* A daemon that leaves the reading to others looks that often whether it is
   needed.  */
#define IDLE_CHECK (200 * RW_MSEC)
/* The same for a daemon that has no copy yet.  */
#define FIRST_CHECK (30 * RW_MSEC)

static void store_run (struct frn_daemon *daemon);

static void
arm (struct frn_daemon *daemon, rw_time at)
{
  rw_time now = rw_now ();
  rw_time wait = at > now ? at - now : 0;
  if (at == RW_TIME_NEVER)
    uv_timer_stop (&daemon->store.timer);
  else
    uv_timer_start (&daemon->store.timer, daemon->store.timer.timer_cb,
                    (uint64_t)((wait + RW_MSEC - 1) / RW_MSEC), 0);
}

static void
call_failed (struct frn_daemon *daemon, enum fol_error error,
             const char *reason)
{
  struct frn_store *store = &daemon->store;
  rw_time now = rw_now ();
  if (!store->reader.in_call)
    return;
  if (store->reader.failing_since == 0 && error != FOL_ERROR_COMPACTED)
    evt_line (&daemon->log, EVT_STATE, "store", now,
              "lost: reason=\"%s\" revision=%lld", reason,
              (long long)store->reader.revision);
  if (error == FOL_ERROR_COMPACTED)
    evt_line (&daemon->log, EVT_STATE, "store", now,
              "history is gone, reading again: revision=%lld",
              (long long)store->reader.revision);
  sta_inc (daemon->metrics.store_errors);
  store->waiting = false;
  fol_on_error (&store->reader, error, now);
  arm (daemon, fol_next_call_time (&store->reader));
}

/* The content was read to its end: what was not on its pages is gone.  */
static void
finish_reading (struct frn_daemon *daemon, struct rw_arena *arena)
{
  struct frn_store *store = &daemon->store;
  int64_t revision = store->reader.listing_revision;
  frn_view_retain (daemon, arena, revision, &store->listed);
  frn_view_commit (daemon, revision);
  evt_line (&daemon->log, EVT_STATE, "store", rw_now (),
            "read: revision=%lld targets=%zu", (long long)revision,
            daemon->fleet.targets.len);
}

static void
begin_reading (struct frn_store *store)
{
  store->after[0] = '\0';
  rw_map_finish (&store->listed);
  rw_map_init (&store->listed);
}

static void
put_page (struct frn_daemon *daemon, struct rw_arena *arena,
          const struct plt_page *page)
{
  for (size_t i = 0; i < page->count; i++)
    {
      const struct plt_change *change = &page->changes[i];
      struct rep_item item
          = { change->key, change->revision, change->removed, change->value };
      frn_view_put (daemon, arena, &item);
      if (!change->removed)
        rw_map_put (&daemon->store.listed, rw_hash (change->key),
                    &daemon->store);
    }
}

static void
take_page (struct frn_daemon *daemon, struct rw_arena *arena,
           struct rw_str body)
{
  struct frn_store *store = &daemon->store;
  struct plt_page page;
  struct rw_err err;
  rw_time now = rw_now ();
  if (plt_decode_page (arena, body, &page, &err) != 0)
    {
      call_failed (daemon, FOL_ERROR_NO_REPLY, err.detail);
      return;
    }
  if (store->reader.failing_since != 0)
    evt_line (&daemon->log, EVT_STATE, "store", now, "regained: away_ms=%lld",
              (long long)(fol_outage_time (&store->reader, now) / RW_MSEC));
  if (store->call.kind == FOL_CALL_WATCH)
    {
      put_page (daemon, arena, &page);
      frn_view_commit (daemon, page.revision);
      fol_on_changes (&store->reader, page.revision, now);
    }
  else
    {
      if (store->call.first_page)
        begin_reading (store);
      put_page (daemon, arena, &page);
      rw_str_copy (store->after, sizeof store->after, page.last_key);
      if (fol_on_page (&store->reader, page.revision,
                       page.has_more && page.count > 0, now))
        finish_reading (daemon, arena);
    }
  if (!store->reader.listing)
    frn_peers_on_current (daemon, now);
  arm (daemon, fol_next_call_time (&store->reader));
}

static enum h1_reply_result
on_reply (struct h1_client *link, const struct h1_message *reply)
{
  struct frn_daemon *daemon = link->arg;
  struct rw_arena arena;
  if (!daemon->store.reader.in_call)
    return H1_REPLY_ACCEPTED;
  sta_inc (daemon->metrics.store_calls);
  if (reply->status == PLT_STATUS_COMPACTED)
    call_failed (daemon, FOL_ERROR_COMPACTED, "history is gone");
  else if (reply->status != 200)
    call_failed (daemon, FOL_ERROR_REFUSED, "refused");
  else
    {
      rw_arena_init (&arena, ARENA_BLOCK);
      take_page (daemon, &arena, reply->body);
      rw_arena_finish (&arena);
    }
  return H1_REPLY_ACCEPTED;
}

static void
send_call (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  struct rw_arena arena;
  struct rw_buf out;
  struct rw_str path;
  char host[64];
  rw_arena_init (&arena, 1024);
  if (store->call.kind == FOL_CALL_WATCH)
    path = plt_watch_path (&arena, store->call.revision, store->call.wait);
  else
    path = plt_page_path (&arena, store->call.first_page
                                      ? (struct rw_str){ NULL, 0 }
                                      : rw_str_from (store->after));
  uv_ip4_name (&daemon->settings.store, host, sizeof host);
  rw_buf_init (&out);
  rw_buf_printf (&out, "GET %.*s HTTP/1.1\r\nHost: %s:%d\r\n\r\n",
                 RW_STR_ARG (path), host,
                 ntohs (daemon->settings.store.sin_port));
  store->waiting = false;
  /* A failed write is reported by the link's reader.  */
  (void)h1_client_send (&store->link, rw_buf_str (&out), false);
  rw_buf_finish (&out);
  rw_arena_finish (&arena);
}

static void
on_idle (struct h1_client *link)
{
  struct frn_daemon *daemon = link->arg;
  if (daemon->store.waiting)
    send_call (daemon);
}

static void
on_lost (struct h1_client *link, int code)
{
  struct frn_daemon *daemon = link->arg;
  (void)code;
  call_failed (daemon, FOL_ERROR_NO_REPLY, "connection lost");
}

static void
on_finished (struct h1_client *link)
{
  struct frn_daemon *daemon = link->arg;
  daemon->store.link_used = false;
  if (!daemon->store.ended)
    store_run (daemon);
}

static const struct h1_client_ops store_ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_disconnect = on_lost,
  .on_closed = on_finished,
};

static void
set_probes (struct h1_client *link)
{
  uv_os_fd_t fd;
  int on = 1;
  int idle = PROBE_IDLE_S;
  int interval = PROBE_INTERVAL_S;
  int count = PROBE_COUNT;
  if (uv_fileno ((uv_handle_t *)&link->tcp, &fd) != 0)
    return;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}

static void
start_call (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  store->call_deadline = rw_now () + store->call.timeout;
  arm (daemon, store->call_deadline);
  store->waiting = true;
  if (store->link_used)
    {
      if (store->link.state == H1_CLIENT_IDLE)
        send_call (daemon);
      return;
    }
  store->link_used = true;
  if (h1_client_init (&store->link, daemon->loop,
                      (const struct sockaddr *)&daemon->settings.store,
                      daemon->scratch, &store_ops, daemon)
      == 0)
    set_probes (&store->link);
}

/* Makes the call that is due, or gives up the one that got no answer.  */
static void
store_run (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  rw_time now = rw_now ();
  if (store->reader.in_call && now >= store->call_deadline)
    {
      call_failed (daemon, FOL_ERROR_NO_REPLY, "no answer in time");
      if (store->link_used)
        h1_client_close (&store->link);
    }
  if (!store->reader.in_call && !frn_peers_reads_store (daemon, now))
    {
      bool known = daemon->view.replica.revision > 0;
      rw_time next = now + (known ? IDLE_CHECK : FIRST_CHECK);
      if (daemon->peers.read_from > now && daemon->peers.read_from < next)
        next = daemon->peers.read_from;
      arm (daemon, next);
      return;
    }
  fol_resume (&store->reader, daemon->view.replica.revision);
  if (fol_next_call (&store->reader, now, &store->call))
    start_call (daemon);
  else if (store->reader.in_call)
    {
      if (store->waiting && !store->link_used)
        start_call (daemon);
      else
        arm (daemon, store->call_deadline);
    }
  else
    arm (daemon, fol_next_call_time (&store->reader));
}

static void
on_timer (uv_timer_t *timer)
{
  store_run (timer->data);
}

int
frn_store_init (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  memset (store, 0, sizeof *store);
  fol_init (&store->reader, rw_rng_next (&daemon->fleet.rng));
  rw_map_init (&store->listed);
  uv_timer_init (daemon->loop, &store->timer);
  store->timer.data = daemon;
  return uv_timer_start (&store->timer, on_timer, 0, 0);
}

void
frn_store_finish (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  store->ended = true;
  uv_close ((uv_handle_t *)&store->timer, NULL);
  if (store->link_used)
    h1_client_close (&store->link);
  rw_map_finish (&store->listed);
}
