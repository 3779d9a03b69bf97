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
  free (fleet->departed);
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
  service->without_capacity = fleet->settings.without_capacity;
  ext_init (&service->budget);
  service->next = fleet->first_service;
  fleet->first_service = service;
  rw_map_put (&fleet->services, key, service);
  return service;
}

void
ste_set_without_capacity (struct ste_fleet *fleet, bool without)
{
  fleet->settings.without_capacity = without;
  for (struct ste_service *s = fleet->first_service; s != NULL; s = s->next)
    {
      s->without_capacity = without;
      if (without)
        s->capacity.unevenness = 0;
    }
}

void
ste_clear_shards (struct ste_fleet *fleet)
{
  for (struct ste_service *s = fleet->first_service; s != NULL; s = s->next)
    s->is_shard = false;
}

/* Sets usable_until of a target that begins to leave.  One that began to leave
   before keeps its time, also if its entry no longer said so meanwhile.  */
static void
start_leaving (struct ste_fleet *fleet, struct ste_target *target, rw_time now)
{
  if (!target->draining && !target->gone && target->usable_until == 0)
    target->usable_until = now + fleet->settings.leave_time;
}

/* Hash of what tells the process of a target from others with its id.  */
static uint64_t
identity_of (struct rw_str host, uint16_t port, struct rw_str service,
             int64_t start_time_ms)
{
  return rw_hash_u64 (rw_hash_pair (host, service),
                      rw_hash_u64 (port, (uint64_t)start_time_ms));
}

static uint64_t
entry_identity (const struct cat_target *entry)
{
  return identity_of (entry->host, entry->port, entry->service,
                      entry->start_time_ms);
}

static void
remember_departed (struct ste_fleet *fleet, const struct ste_target *target,
                   int64_t revision)
{
  if (fleet->departed == NULL)
    fleet->departed = rw_xcalloc (STE_MAX_DEPARTED, sizeof *fleet->departed);
  fleet->departed[fleet->departed_next] = (struct ste_departed){
    .key = target->key,
    .identity
    = identity_of (rw_str_from (target->host), target->port,
                   rw_str_from (target->service->name), target->start_time_ms),
    .revision = revision,
    .usable_until = target->usable_until,
    .announced_leaving = target->announced_leaving,
  };
  fleet->departed_next = (fleet->departed_next + 1) % STE_MAX_DEPARTED;
}

/* Returns the last departure of the process that ENTRY describes, or null.  */
static const struct ste_departed *
find_departed (const struct ste_fleet *fleet, const struct cat_target *entry)
{
  uint64_t key = rw_hash (entry->id);
  uint64_t identity = entry_identity (entry);
  const struct ste_departed *found = NULL;
  if (fleet->departed == NULL)
    return NULL;
  for (size_t i = 0; i < STE_MAX_DEPARTED; i++)
    {
      const struct ste_departed *d = &fleet->departed[i];
      if (d->key == key && d->identity == identity && d->revision > 0
          && (found == NULL || d->revision > found->revision))
        found = d;
    }
  return found;
}

/* Takes TARGET off the list at REVISION.  It stays in memory until
   ste_sweep.  */
static void
mark_gone (struct ste_fleet *fleet, struct ste_target *target,
           int64_t revision, rw_time now)
{
  start_leaving (fleet, target, now);
  if (!target->gone)
    remember_departed (fleet, target, revision);
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

/* Applies what is known of an earlier departure of TARGET, which was added for
   an entry of REVISION.  */
static void
apply_departure (struct ste_fleet *fleet, struct ste_target *target,
                 const struct ste_departed *departed, int64_t revision,
                 rw_time now)
{
  if (rw_revision_era (departed->revision) < rw_revision_era (revision))
    target->doubtful_until = now + fleet->settings.entry_lifetime;
  if (!departed->announced_leaving)
    return;
  target->announced_leaving = true;
  target->draining = true;
  target->usable_until = departed->usable_until;
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
      mark_gone (fleet, target, revision, now);
      target = NULL;
    }
  bool is_new = target == NULL;
  bool is_restored
      = !is_new
        && rw_revision_era (target->revision) < rw_revision_era (revision);
  rw_time cold_until = entry->warmup_left > 0 ? now + entry->warmup_left : 0;
  if (is_new)
    {
      const struct ste_departed *departed = find_departed (fleet, entry);
      target = add_target (fleet, ste_service (fleet, entry->service), entry,
                           key);
      if (departed != NULL)
        apply_departure (fleet, target, departed, revision, now);
    }
  target->revision = revision;
  target->dc = rw_hash (entry->dc);
  target->version = (uint32_t)rw_hash (entry->version);
  target->slots = entry->slots > 0 ? entry->slots : 1;
  if (!is_restored || cold_until > target->cold_until)
    target->cold_until = cold_until;
  if (is_restored && target->draining && !entry->draining)
    target->doubtful_until = now + fleet->settings.entry_lifetime;
  /* If a target is already leaving when it is first seen, it is not known how
     long ago that began: nothing is sent to it.  */
  if (entry->draining && is_new)
    target->usable_until = now;
  else if (entry->draining)
    start_leaving (fleet, target, now);
  target->draining = entry->draining || target->announced_leaving;
  return target;
}

bool
ste_on_leaving (struct ste_fleet *fleet, struct ste_target *target,
                rw_time now)
{
  if (target->announced_leaving)
    return false;
  start_leaving (fleet, target, now);
  target->announced_leaving = true;
  target->draining = true;
  return true;
}

void
ste_hold (struct ste_target *target, rw_time delay, rw_time now)
{
  rw_time until
      = now + (delay < STE_MAX_HOLD_TIME ? delay : STE_MAX_HOLD_TIME);
  if (delay <= 0)
    return;
  if (until > target->held_until)
    target->held_until = until;
  target->recovering = true;
}

void
ste_remove (struct ste_fleet *fleet, struct rw_str id, int64_t revision,
            rw_time now)
{
  struct ste_target *target = rw_map_get (&fleet->targets, rw_hash (id));
  if (target != NULL && target->revision < revision)
    mark_gone (fleet, target, revision, now);
}

void
ste_mark_replaced (struct ste_fleet *fleet, struct ste_target *target,
                   rw_time now)
{
  mark_gone (fleet, target, target->revision, now);
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

void
ste_hold_dc_out (struct ste_fleet *fleet, uint64_t dc, rw_time now)
{
  struct ste_held_dc *free_entry = NULL;
  for (size_t i = 0; i < STE_MAX_DCS_OUT; i++)
    {
      struct ste_held_dc *held = &fleet->held_dcs[i];
      if (held->dc == dc && held->until > now)
        return;
      if (held->until <= now)
        free_entry = held;
    }
  if (free_entry != NULL)
    *free_entry = (struct ste_held_dc){ dc, now + STE_DC_HOLD_TIME };
}

void
ste_release_dc (struct ste_fleet *fleet, uint64_t dc)
{
  for (size_t i = 0; i < STE_MAX_DCS_OUT; i++)
    if (fleet->held_dcs[i].dc == dc)
      fleet->held_dcs[i].until = 0;
}
