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
                "refused: " FRN_REVISION_FORMAT " reason=\"%s\"",
                FRN_REVISION_ARGS (item->revision), err.detail);
      cat_config_unref (config);
      return;
    }
  if (daemon->config != NULL && config->version <= daemon->config->version)
    {
      cat_config_unref (config);
      return;
    }
  bind_config (daemon, config);
  /* A later version that is refused replaces the item, but not this one.  */
  config->text = rw_arena_str (&config->arena, item->value);
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
                "gone: id=%s " FRN_REVISION_FORMAT, evt_value (id).text,
                FRN_REVISION_ARGS (item->revision));
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
    evt_line (&daemon->log, entry.draining ? EVT_STATE : EVT_SAMPLED, "target",
              now,
              "%s: id=%s service=%s dc=%s cold_ms=%lld " FRN_REVISION_FORMAT,
              entry.draining ? "leaving" : "listed", evt_value (entry.id).text,
              evt_value (entry.service).text, evt_value (entry.dc).text,
              (long long)(entry.warmup_left / RW_MSEC),
              FRN_REVISION_ARGS (item->revision));
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
      ste_release_dc (&daemon->fleet, rw_hash (name));
      evt_line (&daemon->log, EVT_STATE, "dc", rw_now (),
                "%s of service: name=%s " FRN_REVISION_FORMAT,
                item->removed ? "no longer out" : "out", evt_value (name).text,
                FRN_REVISION_ARGS (item->revision));
      break;
    case PLT_OTHER:
      break;
    }
}

/* Returns the version of the configuration in ITEM, 0 if it is invalid.  */
static uint64_t
config_version (const struct rep_item *item)
{
  struct rw_err err;
  struct cat_config *config = cat_config_new ();
  uint64_t version = plt_decode_config (item->value, config, &err) == 0
                         ? config->version
                         : 0;
  cat_config_unref (config);
  return version;
}

/* Returns whether REVISION is of a newer era than the copy.  */
static bool
is_new_era (const struct frn_daemon *daemon, int64_t revision)
{
  return rw_revision_era (revision)
         > rw_revision_era (daemon->view.replica.revision);
}

/* A store that was restored from an older copy may list an older configuration
   than the one in force, until the newer one is published again.  Returns the
   item to keep for ITEM: with the value of the newer configuration, which a
   daemon that starts meanwhile then gets from its peers.  */
static struct rep_item
newer_config (const struct frn_daemon *daemon, const struct rep_item *item)
{
  const struct rep_item *known = rep_find (&daemon->view.replica, item->key);
  struct rep_item kept = *item;
  if (known != NULL && config_version (known) > config_version (item))
    kept.value = known->value;
  return kept;
}

void
frn_view_put (struct frn_daemon *daemon, struct rw_arena *arena,
              const struct rep_item *item)
{
  struct rep_item kept = *item;
  struct rw_str name;
  if (item->key.len == 0)
    return;
  if (!item->removed && plt_classify_key (item->key, &name) == PLT_CONFIG)
    {
      if (is_new_era (daemon, item->revision))
        kept = newer_config (daemon, item);
      kept.value = plt_hide_keys (arena, kept.value);
    }
  if (rep_put (&daemon->view.replica, &kept))
    apply_item (daemon, arena, &kept);
}

struct retain_arg
{
  struct frn_daemon *daemon;
  struct rw_arena *arena;
  bool new_era;
};

/* Applies the removal of an item that a full read did not return.  In a new
   era of the store that is no order: a data centre that was out of service
   stays so until the operator has had time to say it again.  */
static void
on_removed (void *arg, const struct rep_item *item)
{
  struct retain_arg *retain = arg;
  struct rw_str name;
  rw_time now = rw_now ();
  apply_item (retain->daemon, retain->arena, item);
  if (!retain->new_era || plt_classify_key (item->key, &name) != PLT_DC_OUT)
    return;
  ste_hold_dc_out (&retain->daemon->fleet, rw_hash (name), now);
  evt_line (&retain->daemon->log, EVT_STATE, "dc", now,
            "held out of service: name=%s ms=%lld", evt_value (name).text,
            (long long)(STE_DC_HOLD_TIME / RW_MSEC));
}

void
frn_view_retain (struct frn_daemon *daemon, struct rw_arena *arena,
                 int64_t revision, struct rw_map *listed)
{
  struct frn_view *view = &daemon->view;
  struct retain_arg retain = { daemon, arena, is_new_era (daemon, revision) };
  struct rw_str config_key = rw_str_from (view->config_key);
  const struct rep_item *config = rep_find (&view->replica, config_key);
  /* The configuration in force stays if the store has lost all of them.  */
  if (retain.new_era && config != NULL
      && rw_map_get (listed, rw_hash (config_key)) == NULL)
    {
      struct rep_item kept = *config;
      kept.revision = revision;
      (void)rep_put (&view->replica, &kept);
      rw_map_put (listed, rw_hash (config_key), daemon);
    }
  rep_retain (&view->replica, revision, listed, on_removed, &retain);
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
