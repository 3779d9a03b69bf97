#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>

#include "front.h"

#define REPLY_ARENA_BLOCK 65536
#define CALL_ARENA_BLOCK 1024
/* TCP keep-alive: a dead connection is closed after 3 s, that is, after 1 s
   without traffic and 2 probes 1 s apart.  */
#define KEEPALIVE_IDLE_S 1
#define KEEPALIVE_INTERVAL_S 1
#define KEEPALIVE_PROBES 2

/* A daemon that leaves reading the store to others checks at this interval
   whether it has to read.  */
#define READ_CHECK_INTERVAL (200 * RW_MSEC)
/* Interval of these checks while it has no copy yet.  */
#define NO_COPY_CHECK_INTERVAL (30 * RW_MSEC)

static void run_store (struct frn_daemon *daemon);

/* Sets the timer that calls run_store to AT, or stops it if AT is
   RW_TIME_NEVER.  */
static void
set_timer (struct frn_daemon *daemon, rw_time at)
{
  rw_time now = rw_now ();
  rw_time wait = at > now ? at - now : 0;
  if (at == RW_TIME_NEVER)
    uv_timer_stop (&daemon->store.timer);
  else
    uv_timer_start (&daemon->store.timer, daemon->store.timer.timer_cb,
                    (uint64_t)((wait + RW_MSEC - 1) / RW_MSEC), 0);
}

/* Records that the call in progress failed, and sets the timer for the next
   one after a backoff.  Only the first of several failures in a row is logged.
   A loss of the change history is always logged.  */
static void
fail_call (struct frn_daemon *daemon, enum fol_error error, const char *reason)
{
  struct frn_store *store = &daemon->store;
  rw_time now = rw_now ();
  if (!store->reader.in_call)
    return;
  bool list_again = error == FOL_ERROR_COMPACTED || error == FOL_ERROR_NEW_ERA;
  if (list_again)
    evt_line (&daemon->log, EVT_STATE, "store", now,
              "%s, reading again: " FRN_REVISION_FORMAT, reason,
              FRN_REVISION_ARGS (store->reader.revision));
  else if (store->reader.failing_since == 0)
    evt_line (&daemon->log, EVT_STATE, "store", now,
              "lost: reason=\"%s\" " FRN_REVISION_FORMAT, reason,
              FRN_REVISION_ARGS (store->reader.revision));
  sta_inc (daemon->metrics.store_errors);
  store->call_unsent = false;
  fol_on_error (&store->reader, error, now);
  set_timer (daemon, fol_next_call_time (&store->reader));
}

/* Ends a paged read of the whole content: items that were not on its pages are
   removed.  */
static void
finish_paged_read (struct frn_daemon *daemon, struct rw_arena *arena)
{
  struct frn_store *store = &daemon->store;
  int64_t revision = store->reader.listing_revision;
  frn_view_retain (daemon, arena, revision, &store->listed_keys);
  frn_view_commit (daemon, revision);
  evt_line (&daemon->log, EVT_STATE, "store", rw_now (),
            "read: " FRN_REVISION_FORMAT " targets=%zu",
            FRN_REVISION_ARGS (revision), daemon->fleet.targets.len);
}

static void
begin_paged_read (struct frn_store *store)
{
  store->page_after[0] = '\0';
  rw_map_finish (&store->listed_keys);
  rw_map_init (&store->listed_keys);
}

/* Adds the items of a page or of a watch to the view.  */
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
        rw_map_put (&daemon->store.listed_keys, rw_hash (change->key),
                    &daemon->store);
    }
}

static void
log_regained (struct frn_daemon *daemon, rw_time outage_time, rw_time now)
{
  if (outage_time > 0)
    evt_line (&daemon->log, EVT_STATE, "store", now, "regained: away_ms=%lld",
              (long long)(outage_time / RW_MSEC));
}

/* Ends an outage of the store if the copy, which is left to others to keep
   current, was current after the last failed call.  */
static void
end_outage_if_confirmed (struct frn_daemon *daemon, rw_time now)
{
  struct fol_reader *reader = &daemon->store.reader;
  rw_time outage_time = fol_outage_time (reader, now);
  fol_on_confirmed (reader, daemon->peers.current_at);
  if (fol_outage_time (reader, now) == 0)
    log_regained (daemon, outage_time, now);
}

/* Applies the answer to the call in progress, given in ERA.  */
static void
apply_page (struct frn_daemon *daemon, struct rw_arena *arena,
            struct rw_str body, int64_t era)
{
  struct frn_store *store = &daemon->store;
  struct plt_page page;
  struct rw_err err;
  rw_time now = rw_now ();
  if (plt_decode_page (arena, body, era, &page, &err) != 0)
    {
      fail_call (daemon, FOL_ERROR_NO_REPLY, err.detail);
      return;
    }
  log_regained (daemon, fol_outage_time (&store->reader, now), now);
  if (store->call.kind == FOL_CALL_WATCH)
    {
      put_page (daemon, arena, &page);
      frn_view_commit (daemon, page.revision);
      fol_on_changes (&store->reader, page.revision, now);
    }
  else
    {
      if (store->call.first_page)
        begin_paged_read (store);
      put_page (daemon, arena, &page);
      rw_str_copy (store->page_after, sizeof store->page_after, page.last_key);
      if (fol_on_page (&store->reader, page.revision,
                       page.has_more && page.count > 0, now))
        finish_paged_read (daemon, arena);
    }
  if (!store->reader.listing)
    frn_peers_mark_current (daemon, now);
  set_timer (daemon, fol_next_call_time (&store->reader));
}

/* Sets *ERA to that of REPLY.  Fails the call and returns false if the reply
   cannot be used because of its era: a reply of an older era than the copy
   would bring back what the store has lost or replaced since.  */
static bool
check_era (struct frn_daemon *daemon, const struct h1_message *reply,
           int64_t *era)
{
  struct fol_reader *reader = &daemon->store.reader;
  int r = plt_read_era (reply, era);
  if (r == RW_E_NOT_FOUND)
    *era = fol_known_era (reader);
  else if (r != 0)
    {
      fail_call (daemon, FOL_ERROR_NO_REPLY, "invalid era");
      return false;
    }
  if (*era < rw_revision_era (daemon->view.replica.revision))
    {
      fail_call (daemon, FOL_ERROR_NO_REPLY, "answer of an older era");
      return false;
    }
  switch (fol_check_era (reader, *era))
    {
    case FOL_ERA_SAME:
      return true;
    case FOL_ERA_NEWER:
      fail_call (daemon, FOL_ERROR_NEW_ERA, "restored from an older copy");
      return false;
    case FOL_ERA_OLDER:
      break;
    }
  fail_call (daemon, FOL_ERROR_NO_REPLY, "answer of an older era");
  return false;
}

static enum h1_reply_result
on_reply (struct h1_client *conn, const struct h1_message *reply)
{
  struct frn_daemon *daemon = conn->arg;
  struct rw_arena arena;
  int64_t era;
  /* The call failed already, for instance by its timeout.  */
  if (!daemon->store.reader.in_call)
    return H1_REPLY_ACCEPTED;
  sta_inc (daemon->metrics.store_calls);
  if (!check_era (daemon, reply, &era))
    return H1_REPLY_ACCEPTED;
  if (reply->status == PLT_STATUS_COMPACTED)
    fail_call (daemon, FOL_ERROR_COMPACTED, "history is gone");
  else if (reply->status != 200)
    fail_call (daemon, FOL_ERROR_REFUSED, "refused");
  else
    {
      rw_arena_init (&arena, REPLY_ARENA_BLOCK);
      apply_page (daemon, &arena, reply->body, era);
      rw_arena_finish (&arena);
    }
  return H1_REPLY_ACCEPTED;
}

/* Sends the call on the idle connection.  */
static void
send_call (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  struct rw_arena arena;
  struct rw_buf out;
  struct rw_str path;
  char host[64];
  rw_arena_init (&arena, CALL_ARENA_BLOCK);
  if (store->call.kind == FOL_CALL_WATCH)
    path = plt_watch_path (&arena, store->call.revision, store->call.wait);
  else
    path = plt_page_path (&arena, store->call.first_page
                                      ? (struct rw_str){ NULL, 0 }
                                      : rw_str_from (store->page_after));
  uv_ip4_name (&daemon->settings.store_addr, host, sizeof host);
  rw_buf_init (&out);
  rw_buf_printf (&out, "GET %.*s HTTP/1.1\r\nHost: %s:%d\r\n\r\n",
                 RW_STR_ARG (path), host,
                 ntohs (daemon->settings.store_addr.sin_port));
  store->call_unsent = false;
  /* After a failed write reading fails too, and on_disconnect is called.  */
  (void)h1_client_send (&store->conn, rw_buf_str (&out), false);
  rw_buf_finish (&out);
  rw_arena_finish (&arena);
}

static void
on_idle (struct h1_client *conn)
{
  struct frn_daemon *daemon = conn->arg;
  if (daemon->store.call_unsent)
    send_call (daemon);
}

static void
on_disconnect (struct h1_client *conn, int code)
{
  struct frn_daemon *daemon = conn->arg;
  (void)code;
  fail_call (daemon, FOL_ERROR_NO_REPLY, "connection lost");
}

static void
on_closed (struct h1_client *conn)
{
  struct frn_daemon *daemon = conn->arg;
  daemon->store.conn_used = false;
  if (!daemon->store.stopped)
    run_store (daemon);
}

static const struct h1_client_ops store_ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_disconnect = on_disconnect,
  .on_closed = on_closed,
};

static void
enable_keepalive (struct h1_client *conn)
{
  uv_os_fd_t fd;
  int on = 1;
  int idle = KEEPALIVE_IDLE_S;
  int interval = KEEPALIVE_INTERVAL_S;
  int count = KEEPALIVE_PROBES;
  if (uv_fileno ((uv_handle_t *)&conn->tcp, &fd) != 0)
    return;
  setsockopt (fd, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPIDLE, &idle, sizeof idle);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPINTVL, &interval, sizeof interval);
  setsockopt (fd, IPPROTO_TCP, TCP_KEEPCNT, &count, sizeof count);
}

/* Sends the call, on the open connection or once a new one is open.  */
static void
start_call (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  store->call_deadline = rw_now () + store->call.timeout;
  set_timer (daemon, store->call_deadline);
  store->call_unsent = true;
  if (store->conn_used)
    {
      if (store->conn.state == H1_CLIENT_IDLE)
        send_call (daemon);
      return;
    }
  store->conn_used = true;
  if (h1_client_init (&store->conn, daemon->loop,
                      (const struct sockaddr *)&daemon->settings.store_addr,
                      daemon->scratch, &store_ops, daemon)
      == 0)
    enable_keepalive (&store->conn);
  else
    fail_call (daemon, FOL_ERROR_NO_REPLY, "no connection");
}

/* Starts the call that is due, fails the one that timed out, and sets the
   timer for the next event.  */
static void
run_store (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  rw_time now = rw_now ();
  if (store->reader.in_call && now >= store->call_deadline)
    {
      fail_call (daemon, FOL_ERROR_NO_REPLY, "no answer in time");
      if (store->conn_used)
        h1_client_close (&store->conn);
    }
  if (!store->reader.in_call && !frn_peers_should_read_store (daemon, now))
    {
      bool has_copy = daemon->view.replica.revision > 0;
      rw_time next
          = now + (has_copy ? READ_CHECK_INTERVAL : NO_COPY_CHECK_INTERVAL);
      if (daemon->peers.no_read_before > now
          && daemon->peers.no_read_before < next)
        next = daemon->peers.no_read_before;
      end_outage_if_confirmed (daemon, now);
      set_timer (daemon, next);
      return;
    }
  fol_resume (&store->reader, daemon->view.replica.revision);
  if (fol_next_call (&store->reader, now, &store->call))
    start_call (daemon);
  else if (store->reader.in_call)
    {
      /* The connection could not be opened.  */
      if (store->call_unsent && !store->conn_used)
        start_call (daemon);
      else
        set_timer (daemon, store->call_deadline);
    }
  else
    set_timer (daemon, fol_next_call_time (&store->reader));
}

static void
on_timer (uv_timer_t *timer)
{
  run_store (timer->data);
}

int
frn_store_init (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  memset (store, 0, sizeof *store);
  fol_init (&store->reader, rw_rng_next (&daemon->fleet.rng));
  rw_map_init (&store->listed_keys);
  uv_timer_init (daemon->loop, &store->timer);
  store->timer.data = daemon;
  return uv_timer_start (&store->timer, on_timer, 0, 0);
}

void
frn_store_finish (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  store->stopped = true;
  uv_close ((uv_handle_t *)&store->timer, NULL);
  if (store->conn_used)
    h1_client_close (&store->conn);
  rw_map_finish (&store->listed_keys);
}
