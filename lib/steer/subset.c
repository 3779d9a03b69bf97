/* Connection subsets: which targets this daemon keeps connections to, so that
   all daemons together stay below the targets' connection limits.  */

#include "steer.h"

/* Fraction of a target's connection limit that all daemons together keep open.
   After a power loss the target counts the lost connections for some seconds
   in addition to the new ones.  */
#define SUBSET_CONN_FRACTION 0.4
/* Shortest time between two choices of the subsets.  Choices at every tick of
   100 ms took one sixth of the processor time under low load, with 139 daemons
   and 278 targets.  */
#define MIN_CHOICE_INTERVAL (500 * RW_MSEC)
/* Fraction of the connection limits of a data centre's targets that its
   daemons may use when all of them prefer these targets.  */
#define LOCAL_CONN_FRACTION 0.8

/* Rank of TARGET for this daemon by rendezvous hashing (Thaler and
   Ravishankar, 1998).  A daemon's subset is the targets that rank lowest.  So
   the daemons spread evenly over the targets, and a change of one daemon or
   target changes few subsets.  With LOCAL_FIRST, the targets of this daemon's
   data centre rank below all others.  */
static uint64_t
subset_rank (const struct ste_fleet *fleet, const struct ste_target *target,
             bool local_first)
{
  uint64_t hash = rw_hash_u64 (fleet->settings.daemon_key, target->key) >> 1;
  bool local = target->dc == fleet->settings.dc;
  return local_first && !local ? hash | (UINT64_C (1) << 63) : hash;
}

/* Puts a target into the subset if fewer than SIZE usable targets rank below
   it.  */
static void
use_lowest_ranked (const struct ste_fleet *fleet, struct ste_service *service,
                   size_t size, bool local_first, rw_time now)
{
  for (struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      uint64_t rank = subset_rank (fleet, t, local_first);
      size_t lower = 0;
      for (const struct ste_target *o = service->targets; o != NULL;
           o = o->next)
        lower += ste_usable (fleet, o, now)
                 && subset_rank (fleet, o, local_first) < rank;
      t->outside_subset = lower >= size;
    }
}

static void
use_all (struct ste_service *service)
{
  for (struct ste_target *t = service->targets; t != NULL; t = t->next)
    t->outside_subset = false;
}

/* Chooses the subset of SERVICE.  Its size, at least 1, is such that all
   daemons together keep SUBSET_CONN_FRACTION of the targets' connections.  The
   targets of this daemon's data centre go first if they have room for one
   connection from each of half the daemons.  */
static void
choose_subset (const struct ste_fleet *fleet, struct ste_service *service,
               rw_time now)
{
  size_t daemons = ste_limit_sharers (fleet, service);
  double conns_per_target = service->max_connections * SUBSET_CONN_FRACTION;
  size_t usable = 0;
  size_t local = 0;
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    if (ste_usable (fleet, t, now))
      {
        usable++;
        local += t->dc == fleet->settings.dc;
      }
  size_t size
      = daemons > 0
            ? (size_t)(conns_per_target * (double)usable / (double)daemons)
            : usable;
  if (service->max_connections == 0 || size >= usable)
    {
      use_all (service);
      return;
    }
  double local_conns
      = (double)local * service->max_connections * LOCAL_CONN_FRACTION;
  use_lowest_ranked (fleet, service, size > 0 ? size : 1,
                     (double)daemons / 2 <= local_conns, now);
}

void
ste_choose_subsets (struct ste_fleet *fleet, rw_time now)
{
  if (now < fleet->next_subset_choice)
    return;
  fleet->next_subset_choice = now + MIN_CHOICE_INTERVAL;
  for (struct ste_service *s = fleet->first_service; s != NULL; s = s->next)
    choose_subset (fleet, s, now);
}
