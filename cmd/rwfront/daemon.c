#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "front.h"

#define TICK_MS 100
/* Ticks between two looks at the settings file, which may change without a
   signal.  */
#define SETTINGS_TICKS 20
/* Descriptors kept for listeners, files and links.  */
#define FILES_KEPT 600
/* A leaving target stops that much before its drain time ends.  */
#define LEAVE_MARGIN (1 * RW_SEC)
/* After SIGTERM the readiness check fails; two misses a second apart take the
   daemon out of rotation.  New connections are served until then.  */
#define ROTATION_TIME (2500 * RW_MSEC)
/* Kept of the stop time for the exit itself.  */
#define EXIT_MARGIN (700 * RW_MSEC)

bool
frn_is_ready (const struct frn_daemon *daemon)
{
  return !daemon->stopping && daemon->config != NULL
         && daemon->view.replica.items.len > 1;
}

/* Ends the loop; main closes and frees everything.  */
static void
daemon_exit (struct frn_daemon *daemon)
{
  evt_line (&daemon->log, EVT_STATE, "daemon", rw_now (),
            "stopped: requests=%zu ms=%lld", daemon->requests,
            (long long)((rw_now () - daemon->stop_began) / RW_MSEC));
  evt_flush (&daemon->log, rw_now ());
  uv_stop (daemon->loop);
}

static void
stop_step (struct frn_daemon *daemon, rw_time now)
{
  rw_time since = now - daemon->stop_began;
  if (since < ROTATION_TIME)
    return;
  h1_server_close_idle (&daemon->callers);
  if (daemon->callers.busy_count == 0
      || since > daemon->settings.stop_time - EXIT_MARGIN)
    daemon_exit (daemon);
}

static void
on_sigterm (uv_signal_t *handle, int signum)
{
  struct frn_daemon *daemon = handle->data;
  (void)signum;
  if (daemon->stopping)
    return;
  daemon->stopping = true;
  daemon->stop_began = rw_now ();
  h1_server_drain (&daemon->callers);
  frn_peers_leave (daemon);
  evt_line (&daemon->log, EVT_STATE, "daemon", daemon->stop_began,
            "stopping: connections=%zu running=%zu",
            daemon->callers.conn_count, daemon->callers.busy_count);
}

static void
apply_settings (struct frn_daemon *daemon)
{
  daemon->fleet.settings.dc = rw_hash (rw_str_from (daemon->settings.dc));
  daemon->fleet.settings.self = rw_hash (rw_str_from (daemon->settings.name));
  daemon->fleet.settings.leave_time
      = daemon->settings.drain_time > 2 * LEAVE_MARGIN
            ? daemon->settings.drain_time - LEAVE_MARGIN
            : daemon->settings.drain_time / 2;
}

static int64_t
file_time (const char *path)
{
  struct stat st;
  if (stat (path, &st) != 0)
    return 0;
  return st.st_mtim.tv_sec * INT64_C (1000000000) + st.st_mtim.tv_nsec;
}

/* Reads the settings again.  Addresses to listen on do not change while the
   process runs.  */
static void
reload (struct frn_daemon *daemon, const char *cause)
{
  struct frn_settings settings;
  struct rw_err err;
  rw_time now = rw_now ();
  daemon->settings_mtime = file_time (daemon->settings_path);
  if (frn_settings_read (daemon->settings_path, &settings, &err) != 0)
    {
      evt_line (&daemon->log, EVT_STATE, "settings", now,
                "refused: name=%s reason=\"%s\"", err.peer, err.detail);
      return;
    }
  settings.callers = daemon->settings.callers;
  settings.ready = daemon->settings.ready;
  settings.peers = daemon->settings.peers;
  daemon->settings = settings;
  apply_settings (daemon);
  evt_line (&daemon->log, EVT_STATE, "settings", now, "read again: cause=%s",
            cause);
}

static void
on_sighup (uv_signal_t *handle, int signum)
{
  (void)signum;
  reload (handle->data, "signal");
}

static void
on_tick (uv_timer_t *timer)
{
  static unsigned int ticks;
  struct frn_daemon *daemon = timer->data;
  rw_time now = rw_now ();
  rw_time lag = now - daemon->ticked - TICK_MS * RW_MSEC;
  sta_set_value (daemon->metrics.loop_lag, lag > 0 ? (double)lag / RW_SEC : 0);
  daemon->lag = lag;
  daemon->ticked = now;
  frn_peers_tick (daemon, now);
  frn_pool_sweep (daemon, now);
  ste_sweep (&daemon->fleet, frn_pool_release, daemon, now);
  frn_parked_run (daemon, now);
  evt_flush (&daemon->log, now);
  if (++ticks % SETTINGS_TICKS == 0
      && file_time (daemon->settings_path) != daemon->settings_mtime)
    reload (daemon, "file");
  if (daemon->stopping)
    stop_step (daemon, now);
}

static int
start_timers (struct frn_daemon *daemon)
{
  uv_timer_init (daemon->loop, &daemon->tick);
  daemon->tick.data = daemon;
  daemon->ticked = rw_now ();
  uv_timer_start (&daemon->tick, on_tick, TICK_MS, TICK_MS);
  uv_signal_init (daemon->loop, &daemon->sigterm);
  daemon->sigterm.data = daemon;
  uv_signal_init (daemon->loop, &daemon->sighup);
  daemon->sighup.data = daemon;
  int r = uv_signal_start (&daemon->sigterm, on_sigterm, SIGTERM);
  return r != 0 ? r : uv_signal_start (&daemon->sighup, on_sighup, SIGHUP);
}

static int
failed (struct rw_err *err, const char *step, int code)
{
  return rw_err_set (err, code, step, RW_LIT ("self"), "%s",
                     uv_strerror (code));
}

int
frn_daemon_init (struct frn_daemon *daemon, uv_loop_t *loop,
                 const char *settings_path, struct rw_err *err)
{
  struct ste_settings steer
      = { .daemons = FRN_LEAST_DAEMONS, .sharers = FRN_LEAST_DAEMONS };
  int r;

  memset (daemon, 0, sizeof *daemon);
  daemon->loop = loop;
  daemon->settings_path = settings_path;
  r = frn_settings_read (settings_path, &daemon->settings, err);
  if (r != 0)
    return r;
  daemon->settings_mtime = file_time (settings_path);
  evt_init (&daemon->log, STDOUT_FILENO, rw_now ());
  frn_metrics_init (&daemon->metrics);
  ste_init (&daemon->fleet, &steer,
            rw_hash (rw_str_from (daemon->settings.name))
                ^ (uint64_t)rw_now ());
  apply_settings (daemon);
  rw_map_init (&daemon->routes);
  daemon->scratch = rw_xmalloc (H1_READ_BUF_SIZE);
  daemon->limits
      = (struct h1_limits){ 16384, 262144, 5 * RW_SEC, 60 * RW_SEC };
  size_t conns = daemon->settings.max_files > 2 * FILES_KEPT
                     ? daemon->settings.max_files - FILES_KEPT
                     : FILES_KEPT;
  r = h1_server_init (&daemon->callers, loop,
                      (const struct sockaddr *)&daemon->settings.callers,
                      &daemon->limits, conns, &frn_caller_ops, daemon);
  if (r != 0)
    return failed (err, "listen-callers", r);
  r = frn_admin_init (daemon);
  if (r != 0)
    return failed (err, "listen-ready", r);
  r = start_timers (daemon);
  if (r != 0)
    return failed (err, "timers", r);
  rep_init (&daemon->view.replica);
  r = frn_peers_init (daemon);
  if (r != 0)
    return failed (err, "listen-peers", r);
  r = frn_store_init (daemon);
  evt_line (&daemon->log, EVT_STATE, "daemon", rw_now (),
            "started: name=%s dc=%s pid=%d", daemon->settings.name,
            daemon->settings.dc, (int)getpid ());
  return r != 0 ? failed (err, "store", r) : 0;
}

static void
close_pools (struct frn_daemon *daemon)
{
  for (struct ste_service *s = daemon->fleet.first; s != NULL; s = s->next)
    for (struct ste_target *t = s->targets; t != NULL; t = t->next)
      frn_pool_close (t);
}

static void
free_routes (struct frn_daemon *daemon)
{
  size_t position = 0;
  void *stats;
  while ((stats = rw_map_next (&daemon->routes, &position)) != NULL)
    free (stats);
  rw_map_finish (&daemon->routes);
}

/* Closes everything and frees it; runs the loop until all handles are
   closed.  */
void
frn_daemon_finish (struct frn_daemon *daemon)
{
  frn_store_finish (daemon);
  h1_server_stop (&daemon->callers);
  h1_server_stop (&daemon->admin);
  frn_peers_finish (daemon);
  uv_close ((uv_handle_t *)&daemon->tick, NULL);
  uv_close ((uv_handle_t *)&daemon->sigterm, NULL);
  uv_close ((uv_handle_t *)&daemon->sighup, NULL);
  close_pools (daemon);
  uv_run (daemon->loop, UV_RUN_DEFAULT);
  h1_server_finish (&daemon->callers);
  h1_server_finish (&daemon->admin);
  h1_server_finish (&daemon->peers.views);
  gos_finish (&daemon->peers.gossip);
  free (daemon->peers.datagram);
  rep_finish (&daemon->view.replica);
  ste_finish (&daemon->fleet);
  free_routes (daemon);
  cat_config_unref (daemon->config);
  sta_finish (&daemon->metrics.set);
  evt_finish (&daemon->log);
  free (daemon->scratch);
}
