#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "frn_account.h"
#include "frn_quarantine.h"
#include "frn_quota.h"
#include "frn_stop.h"
#include "front.h"

#define TICK_MS 100
/* Ticks between two checks whether the settings file has changed: it may
   change without a signal.  */
#define SETTINGS_CHECK_TICKS 20
/* Descriptors reserved for listeners, files and connections to targets, peers
   and the store; callers and peers that connect get half of the rest each.  */
#define RESERVED_FILES 600
/* Nothing is sent to a draining target in this last part of its drain time. */
#define TARGET_DRAIN_MARGIN (1 * RW_SEC)

bool
frn_is_ready (const struct frn_daemon *daemon)
{
  return !daemon->stop.begun && daemon->config != NULL
         && daemon->view.replica.items.len > 1;
}

size_t
frn_max_conns (const struct frn_daemon *daemon)
{
  unsigned int files = daemon->settings.max_files;
  return files > 2 * RESERVED_FILES ? (files - RESERVED_FILES) / 2
                                    : RESERVED_FILES / 2;
}

static void
on_sigterm (uv_signal_t *handle, int signum)
{
  (void)signum;
  frn_stop_begin (handle->data);
}

/* Intervals without a renewal after which the store drops a target's entry,
   and the time that an entry takes to come back after an outage of the store.
 */
#define ENTRY_EXPIRY_HEARTBEATS 3
#define ENTRY_RETURN_TIME (2 * RW_SEC)

#define BYTES_PER_MB 1000000
/* Replies that are arriving use at most this fraction of the memory.  */
#define REPLY_MEMORY_DIVISOR 8

/* Sets the target selection's settings.  The time for which a draining target
   is used is its drain time less TARGET_DRAIN_MARGIN, but at least half of it
   when the drain time is short.  */
static void
apply_settings (struct frn_daemon *daemon)
{
  daemon->reply_budget.max = (size_t)daemon->settings.memory_mb * BYTES_PER_MB
                             / REPLY_MEMORY_DIVISOR;
  frn_account_update (daemon);
  daemon->fleet.settings.dc = rw_hash (rw_str_from (daemon->settings.dc));
  daemon->fleet.settings.daemon_key
      = rw_hash (rw_str_from (daemon->settings.name));
  daemon->fleet.settings.leave_time
      = daemon->settings.target_drain_time > 2 * TARGET_DRAIN_MARGIN
            ? daemon->settings.target_drain_time - TARGET_DRAIN_MARGIN
            : daemon->settings.target_drain_time / 2;
  ste_set_without_capacity (&daemon->fleet,
                            daemon->settings.without[FRN_MECH_CAPACITY]);
  daemon->fleet.settings.entry_lifetime
      = ENTRY_EXPIRY_HEARTBEATS * daemon->settings.target_heartbeat
        + ENTRY_RETURN_TIME;
}

/* The modification time of the file PATH; 0 if it cannot be read.  */
static int64_t
file_mtime_ns (const char *path)
{
  struct stat st;
  if (stat (path, &st) != 0)
    return 0;
  return st.st_mtim.tv_sec * INT64_C (1000000000) + st.st_mtim.tv_nsec;
}

/* Reads the settings again.  If they are invalid, the old ones stay.  The
   addresses to listen on are not changed while the process runs.  */
static void
reload_settings (struct frn_daemon *daemon, const char *cause)
{
  struct frn_settings settings;
  struct rw_err err;
  rw_time now = rw_now ();
  daemon->settings_mtime = file_mtime_ns (daemon->settings_path);
  if (frn_settings_read (daemon->settings_path, &settings, &err) != 0)
    {
      evt_line (&daemon->log, EVT_STATE, "settings", now,
                "refused: name=%s reason=\"%s\"", err.peer, err.detail);
      return;
    }
  settings.caller_addr = daemon->settings.caller_addr;
  settings.ready_addr = daemon->settings.ready_addr;
  settings.peer_addr = daemon->settings.peer_addr;
  daemon->settings = settings;
  apply_settings (daemon);
  frn_peers_update_settings (daemon);
  frn_quota_update_settings (daemon);
  evt_line (&daemon->log, EVT_STATE, "settings", now, "read again: cause=%s",
            cause);
}

static void
on_sighup (uv_signal_t *handle, int signum)
{
  (void)signum;
  reload_settings (handle->data, "signal");
}

static void
on_tick (uv_timer_t *timer)
{
  static unsigned int ticks;
  struct frn_daemon *daemon = timer->data;
  rw_time now = rw_now ();
  rw_time lag = now - daemon->last_tick - TICK_MS * RW_MSEC;
  sta_set_value (daemon->metrics.loop_lag, lag > 0 ? (double)lag / RW_SEC : 0);
  daemon->loop_lag = lag;
  daemon->last_tick = now;
  frn_peers_tick (daemon, now);
  frn_pool_sweep (daemon, now);
  frn_reach_tick (daemon, now);
  frn_quarantine_tick (daemon, now);
  frn_quota_tick (daemon, now);
  fai_sweep (&daemon->fair, now);
  ste_sweep (&daemon->fleet, frn_pool_release, daemon, now);
  frn_parked_serve (daemon, now);
  frn_account_tick (daemon, now);
  evt_flush (&daemon->log, now);
  if (++ticks % SETTINGS_CHECK_TICKS == 0
      && file_mtime_ns (daemon->settings_path) != daemon->settings_mtime)
    reload_settings (daemon, "file");
  frn_stop_tick (daemon, now);
}

static int
start_timers (struct frn_daemon *daemon)
{
  uv_timer_init (daemon->loop, &daemon->tick_timer);
  daemon->tick_timer.data = daemon;
  daemon->last_tick = rw_now ();
  uv_timer_start (&daemon->tick_timer, on_tick, TICK_MS, TICK_MS);
  uv_signal_init (daemon->loop, &daemon->sigterm);
  daemon->sigterm.data = daemon;
  uv_signal_init (daemon->loop, &daemon->sighup);
  daemon->sighup.data = daemon;
  int r = uv_signal_start (&daemon->sigterm, on_sigterm, SIGTERM);
  return r != 0 ? r : uv_signal_start (&daemon->sighup, on_sighup, SIGHUP);
}

/* Sets ERR to the error CODE of a STEP of the start, and returns CODE.  */
static int
start_error (struct rw_err *err, const char *step, int code)
{
  return rw_err_set (err, code, step, RW_LIT ("self"), "%s",
                     uv_strerror (code));
}

int
frn_daemon_init (struct frn_daemon *daemon, uv_loop_t *loop,
                 const char *settings_path, struct rw_err *err)
{
  struct ste_settings steer = { .daemon_count = FRN_ASSUMED_DAEMONS,
                                .shard_sharers = FRN_ASSUMED_DAEMONS };
  int r;

  memset (daemon, 0, sizeof *daemon);
  daemon->loop = loop;
  daemon->settings_path = settings_path;
  r = frn_settings_read (settings_path, &daemon->settings, err);
  if (r != 0)
    return r;
  daemon->settings_mtime = file_mtime_ns (settings_path);
  daemon->started = rw_now ();
  evt_init (&daemon->log, STDOUT_FILENO, rw_now ());
  frn_metrics_init (&daemon->metrics);
  ste_init (&daemon->fleet, &steer,
            rw_hash (rw_str_from (daemon->settings.name))
                ^ (uint64_t)rw_now ());
  apply_settings (daemon);
  rw_map_init (&daemon->route_stats);
  rw_map_init (&daemon->shed_groups);
  fai_init (&daemon->fair);
  daemon->scratch = rw_xmalloc (H1_READ_BUF_SIZE);
  /* In force until the first configuration.  */
  daemon->caller_limits = (struct h1_limits){
    .max_head_bytes = 16384,
    .max_body_bytes = 262144,
    .request_timeout = 5 * RW_SEC,
    .idle_timeout = 60 * RW_SEC,
  };
  r = h1_server_init (&daemon->caller_server, loop,
                      (const struct sockaddr *)&daemon->settings.caller_addr,
                      &daemon->caller_limits, frn_max_conns (daemon),
                      &frn_caller_ops, daemon);
  if (r != 0)
    return start_error (err, "listen-callers", r);
  frn_account_serve (daemon, &daemon->caller_server);
  r = frn_admin_init (daemon);
  if (r != 0)
    return start_error (err, "listen-ready", r);
  rch_init (&daemon->reach.state, rw_now ());
  r = start_timers (daemon);
  if (r != 0)
    return start_error (err, "timers", r);
  rep_init (&daemon->view.replica);
  r = frn_peers_init (daemon);
  if (r != 0)
    return start_error (err, "listen-peers", r);
  r = frn_quarantine_init (daemon);
  if (r != 0)
    return start_error (err, "quarantine", r);
  r = frn_quota_init (daemon);
  if (r != 0)
    return start_error (err, "quota", r);
  r = frn_store_init (daemon);
  evt_line (&daemon->log, EVT_STATE, "daemon", rw_now (),
            "started: name=%s dc=%s pid=%d", daemon->settings.name,
            daemon->settings.dc, (int)getpid ());
  return r != 0 ? start_error (err, "store", r) : 0;
}

static void
close_pools (struct frn_daemon *daemon)
{
  for (struct ste_service *s = daemon->fleet.first_service; s != NULL;
       s = s->next)
    for (struct ste_target *t = s->targets; t != NULL; t = t->next)
      frn_pool_close (t);
}

static void
free_routes (struct frn_daemon *daemon)
{
  size_t position = 0;
  void *stats;
  while ((stats = rw_map_next (&daemon->route_stats, &position)) != NULL)
    free (stats);
  rw_map_finish (&daemon->route_stats);
}

void
frn_daemon_finish (struct frn_daemon *daemon)
{
  frn_store_finish (daemon);
  h1_server_stop (&daemon->caller_server);
  h1_server_stop (&daemon->admin_server);
  frn_peers_finish (daemon);
  frn_reach_finish (daemon);
  uv_close ((uv_handle_t *)&daemon->quarantine.push_timer, NULL);
  uv_close ((uv_handle_t *)&daemon->quota.timer, NULL);
  uv_close ((uv_handle_t *)&daemon->tick_timer, NULL);
  uv_close ((uv_handle_t *)&daemon->sigterm, NULL);
  uv_close ((uv_handle_t *)&daemon->sighup, NULL);
  close_pools (daemon);
  uv_run (daemon->loop, UV_RUN_DEFAULT);
  h1_server_finish (&daemon->caller_server);
  h1_server_finish (&daemon->admin_server);
  h1_server_finish (&daemon->peers.server);
  gos_finish (&daemon->peers.gossip);
  free (daemon->peers.recv_buf);
  rep_finish (&daemon->view.replica);
  ste_finish (&daemon->fleet);
  free_routes (daemon);
  frn_overload_finish (daemon);
  frn_quarantine_finish (daemon);
  frn_quota_finish (daemon);
  cat_config_unref (daemon->config);
  sta_finish (&daemon->metrics.set);
  evt_finish (&daemon->log);
  free (daemon->scratch);
}
