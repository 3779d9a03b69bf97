#include <stdlib.h>
#include <string.h>

#include "steer.h"

void
ste_init (struct ste_fleet *fleet, const struct ste_settings *settings,
          uint64_t seed)
{
  memset (fleet, 0, sizeof *fleet);
  fleet->settings = *settings;
  rw_rng_init (&fleet->rng, seed);
  rw_map_init (&fleet->services);
  rw_map_init (&fleet->targets);
}

void
ste_finish (struct ste_fleet *fleet)
{
  while (fleet->first_service != NULL)
    {
      struct ste_service *service = fleet->first_service;
      fleet->first_service = service->next;
      while (service->targets != NULL)
        {
          struct ste_target *target = service->targets;
          service->targets = target->next;
          free (target);
        }
      free (service);
    }
  rw_map_finish (&fleet->services);
  rw_map_finish (&fleet->targets);
}

struct ste_service *
ste_service (struct ste_fleet *fleet, struct rw_str name)
{
  uint64_t key = rw_hash (name);
  struct ste_service *service = rw_map_get (&fleet->services, key);
  if (service != NULL)
    return service;
  service = rw_xcalloc (1, sizeof *service);
  service->key = key;
  rw_str_copy (service->name, sizeof service->name, name);
  ext_init (&service->budget);
  service->next = fleet->first_service;
  fleet->first_service = service;
  rw_map_put (&fleet->services, key, service);
  return service;
}

void
ste_clear_shards (struct ste_fleet *fleet)
{
  for (struct ste_service *s = fleet->first_service; s != NULL; s = s->next)
    s->is_shard = false;
}

/* Sets usable_until of a target that begins to leave.  One that is already
   leaving keeps its time.  */
static void
start_leaving (struct ste_fleet *fleet, struct ste_target *target, rw_time now)
{
  rw_time until = now + fleet->settings.leave_time;
  if (!target->draining && !target->gone)
    target->usable_until = until;
}

/* Takes TARGET off the list.  It stays in memory until ste_sweep.  */
static void
mark_gone (struct ste_fleet *fleet, struct ste_target *target, rw_time now)
{
  start_leaving (fleet, target, now);
  target->gone = true;
  if (rw_map_get (&fleet->targets, target->key) == target)
    rw_map_remove (&fleet->targets, target->key);
}

static struct ste_target *
add_target (struct ste_fleet *fleet, struct ste_service *service,
            const struct cat_target *entry, uint64_t key)
{
  struct ste_target *target = rw_xcalloc (1, sizeof *target);
  target->service = service;
  target->key = key;
  rw_str_copy (target->id, sizeof target->id, entry->id);
  rw_str_copy (target->host, sizeof target->host, entry->host);
  target->port = entry->port;
  target->start_time_ms = entry->start_time_ms;
  target->latency_ratio = 1;
  target->next = service->targets;
  service->targets = target;
  service->target_count++;
  rw_map_put (&fleet->targets, key, target);
  return target;
}

/* Returns whether ENTRY describes the process that TARGET stands for, not
   another one that was given its id.  */
static bool
is_same_target (const struct ste_target *target,
                const struct cat_target *entry)
{
  return rw_str_eq_cstr (entry->host, target->host)
         && target->port == entry->port
         && target->start_time_ms == entry->start_time_ms
         && rw_str_eq_cstr (entry->service, target->service->name);
}

struct ste_target *
ste_put (struct ste_fleet *fleet, const struct cat_target *entry,
         int64_t revision, rw_time now)
{
  uint64_t key = rw_hash (entry->id);
  struct ste_target *target = rw_map_get (&fleet->targets, key);
  if (target != NULL && target->revision >= revision)
    return NULL;
  if (target != NULL && !is_same_target (target, entry))
    {
      mark_gone (fleet, target, now);
      target = NULL;
    }
  bool is_new = target == NULL;
  if (is_new)
    target
        = add_target (fleet, ste_service (fleet, entry->service), entry, key);
  target->revision = revision;
  target->dc = rw_hash (entry->dc);
  target->slots = entry->slots > 0 ? entry->slots : 1;
  target->cold_until = entry->warmup_left > 0 ? now + entry->warmup_left : 0;
  /* If a target is already leaving when it is first seen, it is not known how
     long ago that began.  Its usable_until stays 0: nothing is sent to it.  */
  if (entry->draining && !is_new)
    start_leaving (fleet, target, now);
  target->draining = entry->draining;
  return target;
}

void
ste_remove (struct ste_fleet *fleet, struct rw_str id, int64_t revision,
            rw_time now)
{
  struct ste_target *target = rw_map_get (&fleet->targets, rw_hash (id));
  if (target != NULL && target->revision < revision)
    mark_gone (fleet, target, now);
}

void
ste_mark_replaced (struct ste_fleet *fleet, struct ste_target *target,
                   rw_time now)
{
  mark_gone (fleet, target, now);
  target->usable_until = now;
}

void
ste_sweep (struct ste_fleet *fleet,
           bool (*release) (void *arg, struct ste_target *target), void *arg,
           rw_time now)
{
  for (struct ste_service *s = fleet->first_service; s != NULL; s = s->next)
    {
      struct ste_target **at = &s->targets;
      while (*at != NULL)
        {
          struct ste_target *t = *at;
          if (!t->gone || t->usable_until > now || t->in_flight > 0
              || t->refs > 0 || !release (arg, t))
            {
              at = &t->next;
              continue;
            }
          *at = t->next;
          s->target_count--;
          free (t);
        }
    }
}

size_t
ste_limit_sharers (const struct ste_fleet *fleet,
                   const struct ste_service *service)
{
  return service->is_shard ? fleet->settings.shard_sharers
                           : fleet->settings.daemon_count;
}

void
ste_set_dcs_out (struct ste_fleet *fleet, const uint64_t *dcs, size_t count)
{
  if (count > STE_MAX_DCS_OUT)
    count = STE_MAX_DCS_OUT;
  if (count > 0)
    memcpy (fleet->dcs_out, dcs, count * sizeof *dcs);
  fleet->dcs_out_count = count;
}
