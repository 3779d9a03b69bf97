#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <string.h>

#include "front.h"

#define ARENA_BLOCK 65536
/* Keep-alive probes, in seconds: a link that went silent ends after three.  */
#define PROBE_IDLE_S 1
#define PROBE_INTERVAL_S 1
#define PROBE_COUNT 2

static void store_run (struct frn_daemon *daemon);

static void
arm (struct frn_daemon *daemon, rw_time at)
{
  rw_time now = frn_now ();
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
  rw_time now = frn_now ();
  if (!store->reader.in_call)
    return;
  if (store->reader.lost_at == 0 && error != FOL_ERROR_COMPACTED)
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
  arm (daemon, fol_next_time (&store->reader));
}

/* Routes of the new version refer to the services of the fleet.  */
static void
bind_config (struct frn_daemon *daemon, struct cat_config *config)
{
  for (size_t i = 0; i < config->service_count; i++)
    {
      struct cat_service *from = &config->services[i];
      struct ste_service *service = ste_service (&daemon->fleet, from->name);
      service->connections = from->connections;
      service->cold_per_s = from->cold_per_s;
      from->user = service;
    }
  daemon->limits.header_bytes = config->limits.header_bytes;
  daemon->limits.body_bytes = config->limits.body_bytes;
  daemon->limits.header_time = config->limits.header_time;
  daemon->limits.idle_time = config->limits.idle_time;
}

static void
apply_config (struct frn_daemon *daemon, const struct plt_change *change)
{
  struct rw_err err;
  rw_time now = frn_now ();
  struct cat_config *config;
  if (change->removed || change->value.len == 0)
    return;
  config = cat_config_new ();
  if (plt_decode_config (change->value, config, &err) != 0)
    {
      evt_line (&daemon->log, EVT_STATE, "config", now,
                "refused: revision=%lld reason=\"%s\"",
                (long long)change->revision, err.detail);
      cat_config_unref (config);
      return;
    }
  if (daemon->config != NULL && config->version <= daemon->config->version)
    {
      cat_config_unref (config);
      return;
    }
  bind_config (daemon, config);
  evt_line (&daemon->log, EVT_STATE, "config",
            now, "in force: version=%llu routes=%zu services=%zu",
            (unsigned long long)config->version, config->route_count,
            config->service_count);
  cat_config_unref (daemon->config);
  daemon->config = config;
  daemon->config_since = now;
  frn_parked_run (daemon, now);
}

static void
apply_target (struct frn_daemon *daemon, struct rw_arena *arena,
              const struct plt_change *change)
{
  struct rw_err err;
  struct cat_target entry;
  rw_time now = frn_now ();
  if (change->removed)
    {
      ste_remove (&daemon->fleet, change->name, change->revision, now);
      evt_line (&daemon->log, EVT_STATE, "target", now,
                "gone: id=%.*s revision=%lld", RW_STR_ARG (change->name),
                (long long)change->revision);
      return;
    }
  if (plt_decode_target (arena, change->name, change->value, &entry, &err)
      != 0)
    {
      evt_line (&daemon->log, EVT_NORMAL, "target", now,
                "entry ignored: id=%.*s reason=\"%s\"",
                RW_STR_ARG (change->name), err.detail);
      return;
    }
  if (ste_put (&daemon->fleet, &entry, change->revision, now) != NULL)
    evt_line (&daemon->log, entry.draining ? EVT_STATE : EVT_SAMPLE, "target",
              now, "%s: id=%.*s service=%.*s dc=%.*s cold_ms=%lld "
              "revision=%lld",
              entry.draining ? "leaving" : "listed", RW_STR_ARG (entry.id),
              RW_STR_ARG (entry.service), RW_STR_ARG (entry.dc),
              (long long)(entry.cold_for / RW_MSEC),
              (long long)change->revision);
}

static void
set_dcs_out (struct frn_daemon *daemon)
{
  uint64_t out[STE_MAX_DCS_OUT];
  size_t count = 0;
  for (size_t i = 0; i < daemon->store.dc_count; i++)
    if (daemon->store.dcs[i].out)
      out[count++] = daemon->store.dcs[i].key;
  ste_dcs_out (&daemon->fleet, out, count);
}

static void
apply_dc (struct frn_daemon *daemon, const struct plt_change *change)
{
  struct frn_store *store = &daemon->store;
  uint64_t key = rw_hash (change->name);
  struct frn_dc *dc = NULL;
  for (size_t i = 0; i < store->dc_count; i++)
    if (store->dcs[i].key == key)
      dc = &store->dcs[i];
  if (dc == NULL)
    {
      if (store->dc_count == STE_MAX_DCS_OUT)
        return;
      dc = &store->dcs[store->dc_count++];
      *dc = (struct frn_dc){ .key = key };
    }
  dc->listed = true;
  if (change->revision <= dc->revision)
    return;
  dc->revision = change->revision;
  dc->out = !change->removed;
  set_dcs_out (daemon);
  evt_line (&daemon->log, EVT_STATE, "dc", frn_now (),
            "%s of service: dc=%.*s revision=%lld",
            dc->out ? "out" : "back, no longer out",
            RW_STR_ARG (change->name), (long long)change->revision);
}

static void
apply_change (struct frn_daemon *daemon, struct rw_arena *arena,
              const struct plt_change *change)
{
  switch (change->kind)
    {
    case PLT_CONFIG:
      apply_config (daemon, change);
      break;
    case PLT_TARGET:
      apply_target (daemon, arena, change);
      break;
    case PLT_DC_OUT:
      apply_dc (daemon, change);
      break;
    case PLT_OTHER:
      break;
    }
}

static bool
is_listed (void *arg, uint64_t key)
{
  return rw_map_get (arg, key) != NULL;
}

/* The content was read to its end: what was not on its pages is gone.  */
static void
finish_reading (struct frn_daemon *daemon)
{
  struct frn_store *store = &daemon->store;
  int64_t revision = store->reader.first_at;
  rw_time now = frn_now ();
  ste_retain (&daemon->fleet, revision, is_listed, &store->listed, now);
  for (size_t i = 0; i < store->dc_count; i++)
    {
      struct frn_dc *dc = &store->dcs[i];
      if (dc->out && !dc->listed && dc->revision <= revision)
        dc->out = false;
    }
  set_dcs_out (daemon);
  evt_line (&daemon->log, EVT_STATE, "store", now,
            "read: revision=%lld targets=%zu", (long long)revision,
            daemon->fleet.targets.len);
}

static void
begin_reading (struct frn_store *store)
{
  store->after[0] = '\0';
  rw_map_finish (&store->listed);
  rw_map_init (&store->listed);
  for (size_t i = 0; i < store->dc_count; i++)
    store->dcs[i].listed = false;
}

/* Of several versions of the configuration on one page only the newest is
   decoded.  */
static void
apply_page (struct frn_daemon *daemon, struct rw_arena *arena,
            const struct plt_page *page)
{
  const struct plt_change *config = NULL;
  for (size_t i = 0; i < page->count; i++)
    {
      const struct plt_change *change = &page->changes[i];
      if (change->kind == PLT_CONFIG)
        config = change;
      else
        apply_change (daemon, arena, change);
      if (change->kind == PLT_TARGET && !change->removed)
        rw_map_put (&daemon->store.listed, rw_hash (change->name),
                    &daemon->store);
    }
  if (config != NULL)
    apply_config (daemon, config);
}

static void
take_page (struct frn_daemon *daemon, struct rw_arena *arena,
           struct rw_str body)
{
  struct frn_store *store = &daemon->store;
  struct plt_page page;
  struct rw_err err;
  rw_time now = frn_now ();
  if (plt_decode_page (arena, body, &page, &err) != 0)
    {
      call_failed (daemon, FOL_ERROR_BROKEN, err.detail);
      return;
    }
  if (store->reader.lost_at != 0)
    evt_line (&daemon->log, EVT_STATE, "store", now,
              "regained: away_ms=%lld",
              (long long)(fol_age (&store->reader, now) / RW_MSEC));
  if (store->call.kind == FOL_CALL_WATCH)
    {
      apply_page (daemon, arena, &page);
      fol_on_changes (&store->reader, page.at, now);
    }
  else
    {
      if (store->call.first)
        begin_reading (store);
      apply_page (daemon, arena, &page);
      rw_str_copy (store->after, sizeof store->after, page.last_key);
      if (fol_on_page (&store->reader, page.at, page.more && page.count > 0,
                       now))
        finish_reading (daemon);
    }
  arm (daemon, fol_next_time (&store->reader));
}

static enum h1_verdict
on_reply (struct h1_link *link, const struct h1_message *reply)
{
  struct frn_daemon *daemon = link->arg;
  struct rw_arena arena;
  if (!daemon->store.reader.in_call)
    return H1_REPLY_TAKEN;
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
  return H1_REPLY_TAKEN;
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
    path = plt_page_path (&arena, store->call.first
                                      ? (struct rw_str){ NULL, 0 }
                                      : rw_str_from (store->after));
  uv_ip4_name (&daemon->settings.store, host, sizeof host);
  rw_buf_init (&out);
  rw_buf_printf (&out, "GET %.*s HTTP/1.1\r\nHost: %s:%d\r\n\r\n",
                 RW_STR_ARG (path), host,
                 ntohs (daemon->settings.store.sin_port));
  store->waiting = false;
  /* A failed write is reported by the link's reader.  */
  (void)h1_link_send (&store->link, rw_buf_str (&out), false);
  rw_buf_finish (&out);
  rw_arena_finish (&arena);
}

static void
on_idle (struct h1_link *link)
{
  struct frn_daemon *daemon = link->arg;
  if (daemon->store.waiting)
    send_call (daemon);
}

static void
on_lost (struct h1_link *link, int code)
{
  struct frn_daemon *daemon = link->arg;
  (void)code;
  call_failed (daemon, FOL_ERROR_BROKEN, "connection lost");
}

static void
on_finished (struct h1_link *link)
{
  struct frn_daemon *daemon = link->arg;
  daemon->store.link_used = false;
  if (!daemon->store.ended)
    store_run (daemon);
}

static const struct h1_link_ops store_ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_lost = on_lost,
  .on_finished = on_finished,
};

static void
set_probes (struct h1_link *link)
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
  store->call_deadline = frn_now () + store->call.timeout;
  arm (daemon, store->call_deadline);
  store->waiting = true;
  if (store->link_used)
    {
      if (store->link.state == H1_LINK_IDLE)
        send_call (daemon);
      return;
    }
  store->link_used = true;
  if (h1_link_init (&store->link, daemon->loop,
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
  rw_time now = frn_now ();
  if (store->reader.in_call && now >= store->call_deadline)
    {
      call_failed (daemon, FOL_ERROR_BROKEN, "no answer in time");
      if (store->link_used)
        h1_link_close (&store->link);
    }
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
    arm (daemon, fol_next_time (&store->reader));
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
    h1_link_close (&store->link);
  rw_map_finish (&store->listed);
}
