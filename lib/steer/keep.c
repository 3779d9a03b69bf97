#include "steer.h"

/* Part of the connections that a target accepts which all daemons together
   keep open: after a loss of power the target counts the old ones for some
   seconds beside the new ones.  */
#define KEPT_PART 0.4
/* Shortest time between two choices: at every tick of 100 ms they took a sixth
   of the processor time on a quiet day of 139 daemons and 278 targets.  */
#define CHOICE_PAUSE (500 * RW_MSEC)
/* Part of them that the daemons of one data centre may use when all of these
   prefer its targets.  */
#define LOCAL_PART 0.8

/* Rendezvous hashing (Thaler and Ravishankar, 1998): each daemon keeps the
   targets with its lowest values, so that the daemons spread evenly and a
   change of one member or target moves few of them.  Targets of the own data
   centre come first if it has room for half of all daemons.  */
static uint64_t
weight (const struct ste_fleet *fleet, const struct ste_target *target,
        bool local_first)
{
  uint64_t value = rw_hash_u64 (fleet->settings.daemon_key, target->key) >> 1;
  bool local = target->dc == fleet->settings.dc;
  return local_first && !local ? value | (UINT64_C (1) << 63) : value;
}

static void
keep_some (const struct ste_fleet *fleet, struct ste_service *service,
           size_t keep, bool local_first, rw_time now)
{
  for (struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      uint64_t own = weight (fleet, t, local_first);
      size_t before = 0;
      for (const struct ste_target *o = service->targets; o != NULL;
           o = o->next)
        before += ste_usable (fleet, o, now)
                  && weight (fleet, o, local_first) < own;
      t->outside_subset = before >= keep;
    }
}

static void
keep_all (struct ste_service *service)
{
  for (struct ste_target *t = service->targets; t != NULL; t = t->next)
    t->outside_subset = false;
}

static void
choose (const struct ste_fleet *fleet, struct ste_service *service,
        rw_time now)
{
  size_t daemons = ste_connection_sharers (fleet, service);
  double each = service->max_connections * KEPT_PART;
  size_t usable = 0;
  size_t local = 0;
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    if (ste_usable (fleet, t, now))
      {
        usable++;
        local += t->dc == fleet->settings.dc;
      }
  size_t keep = daemons > 0 ? (size_t)(each * (double)usable / (double)daemons)
                            : usable;
  if (service->max_connections == 0 || keep >= usable)
    {
      keep_all (service);
      return;
    }
  double room = (double)local * service->max_connections * LOCAL_PART;
  keep_some (fleet, service, keep > 0 ? keep : 1, (double)daemons / 2 <= room,
             now);
}

void
ste_choose_subsets (struct ste_fleet *fleet, rw_time now)
{
  if (now < fleet->next_subset_choice)
    return;
  fleet->next_subset_choice = now + CHOICE_PAUSE;
  for (struct ste_service *s = fleet->first_service; s != NULL; s = s->next)
    choose (fleet, s, now);
}
