#include <string.h>

#include "front.h"

/* Links the services of CONFIG to those of the fleet, which outlive it, and
   applies their limits and the limits on callers.  */
static void
bind_config (struct frn_daemon *daemon, struct cat_config *config)
{
  ste_clear_shards (&daemon->fleet);
  for (size_t i = 0; i < config->service_count; i++)
    {
      struct cat_service *service_entry = &config->services[i];
      struct ste_service *service
          = ste_service (&daemon->fleet, service_entry->name);
      service->max_connections = service_entry->max_connections;
      service->warmup_limit_per_s = service_entry->warmup_limit_per_s;
      service_entry->user = service;
    }
  for (size_t i = 0; i < config->route_count; i++)
    {
      const struct cat_route *route = &config->routes[i];
      if (route->kind != CAT_ROUTE_GATHER)
        continue;
      for (size_t j = 0; j < route->u.gather.count; j++)
        {
          struct cat_service *service_entry
              = &config->services[route->u.gather.services[j]];
          ((struct ste_service *)service_entry->user)->is_shard = true;
        }
    }
  daemon->caller_limits.max_head_bytes = config->limits.max_head_bytes;
  daemon->caller_limits.max_body_bytes = config->limits.max_body_bytes;
  daemon->caller_limits.request_timeout = config->limits.request_timeout;
  daemon->caller_limits.idle_timeout = config->limits.idle_timeout;
}

/* Decodes the configuration in ITEM and puts it into force if its version is
   newer.  One that cannot be decoded is refused, and the old one stays.  */
static void
apply_config (struct frn_daemon *daemon, const struct rep_item *item)
{
  struct rw_err err;
  rw_time now = rw_now ();
  struct cat_config *config;
  config = cat_config_new ();
  if (plt_decode_config (item->value, config, &err) != 0)
    {
      evt_line (&daemon->log, EVT_STATE, "config", now,
                "refused: revision=%lld reason=\"%s\"",
                (long long)item->revision, err.detail);
      cat_config_unref (config);
      return;
    }
  if (daemon->config != NULL && config->version <= daemon->config->version)
    {
      cat_config_unref (config);
      return;
    }
  bind_config (daemon, config);
  evt_line (&daemon->log, EVT_STATE, "config", now,
            "in force: version=%llu routes=%zu services=%zu",
            (unsigned long long)config->version, config->route_count,
            config->service_count);
  cat_config_unref (daemon->config);
  daemon->config = config;
  daemon->config_since = now;
  frn_parked_serve (daemon, now);
}

/* Adds, updates or removes the target ID.  */
static void
apply_target (struct frn_daemon *daemon, struct rw_arena *arena,
              struct rw_str id, const struct rep_item *item)
{
  struct rw_err err;
  struct cat_target entry;
  rw_time now = rw_now ();
  if (item->removed)
    {
      ste_remove (&daemon->fleet, id, item->revision, now);
      evt_line (&daemon->log, EVT_STATE, "target", now,
                "gone: id=%s revision=%lld", evt_value (id).text,
                (long long)item->revision);
      return;
    }
  if (plt_decode_target (arena, id, item->value, &entry, &err) != 0)
    {
      evt_line (&daemon->log, EVT_NORMAL, "target", now,
                "entry ignored: id=%s reason=\"%s\"", evt_value (id).text,
                err.detail);
      return;
    }
  if (ste_put (&daemon->fleet, &entry, item->revision, now) != NULL)
    evt_line (
        &daemon->log, entry.draining ? EVT_STATE : EVT_SAMPLED, "target", now,
        "%s: id=%s service=%s dc=%s cold_ms=%lld "
        "revision=%lld",
        entry.draining ? "leaving" : "listed", evt_value (entry.id).text,
        evt_value (entry.service).text, evt_value (entry.dc).text,
        (long long)(entry.warmup_left / RW_MSEC), (long long)item->revision);
}

/* Rebuilds the list of data centres out of service from all items.  At most
   STE_MAX_DCS_OUT are taken.  */
static void
apply_dcs (struct frn_daemon *daemon)
{
  uint64_t out[STE_MAX_DCS_OUT];
  size_t count = 0;
  size_t position = 0;
  const struct rep_item *item;
  struct rw_str name;
  while ((item = rep_next (&daemon->view.replica, &position)) != NULL)
    if (plt_classify_key (item->key, &name) == PLT_DC_OUT
        && count < STE_MAX_DCS_OUT)
      out[count++] = rw_hash (name);
  ste_set_dcs_out (&daemon->fleet, out, count);
}

/* Applies a changed or removed item.  The configuration and the data centres
   out of service are marked as changed, and applied by frn_view_commit.  */
static void
apply_item (struct frn_daemon *daemon, struct rw_arena *arena,
            const struct rep_item *item)
{
  struct frn_view *view = &daemon->view;
  struct rw_str name;
  switch (plt_classify_key (item->key, &name))
    {
    case PLT_CONFIG:
      view->config_changed = !item->removed;
      if (!item->removed)
        rw_str_copy (view->config_key, sizeof view->config_key, item->key);
      break;
    case PLT_TARGET:
      apply_target (daemon, arena, name, item);
      break;
    case PLT_DC_OUT:
      view->dcs_out_changed = true;
      evt_line (&daemon->log, EVT_STATE, "dc", rw_now (),
                "%s of service: name=%s revision=%lld",
                item->removed ? "no longer out" : "out", evt_value (name).text,
                (long long)item->revision);
      break;
    case PLT_OTHER:
      break;
    }
}

void
frn_view_put (struct frn_daemon *daemon, struct rw_arena *arena,
              const struct rep_item *item)
{
  if (item->key.len > 0 && rep_put (&daemon->view.replica, item))
    apply_item (daemon, arena, item);
}

struct retain_arg
{
  struct frn_daemon *daemon;
  struct rw_arena *arena;
};

static void
on_removed (void *arg, const struct rep_item *item)
{
  struct retain_arg *retain_arg = arg;
  apply_item (retain_arg->daemon, retain_arg->arena, item);
}

void
frn_view_retain (struct frn_daemon *daemon, struct rw_arena *arena,
                 int64_t revision, const struct rw_map *listed)
{
  struct retain_arg retain_arg = { daemon, arena };
  rep_retain (&daemon->view.replica, revision, listed, on_removed,
              &retain_arg);
}

/* If a batch changes the configuration several times, only the last version is
   decoded.  */
bool
frn_view_commit (struct frn_daemon *daemon, int64_t revision)
{
  struct frn_view *view = &daemon->view;
  bool newer = revision > view->replica.revision;
  rep_advance (&view->replica, revision);
  if (view->dcs_out_changed)
    apply_dcs (daemon);
  view->dcs_out_changed = false;
  if (view->config_changed)
    {
      const struct rep_item *item
          = rep_find (&view->replica, rw_str_from (view->config_key));
      view->config_changed = false;
      if (item != NULL)
        apply_config (daemon, item);
    }
  return newer;
}
