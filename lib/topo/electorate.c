#include "topo.h"

#include <string.h>

/* Daemons of a data centre that watch a key.  */
#define WATCHERS_PER_KEY 2

/* The COUNT highest of the (hash, id) pairs inserted, at most MAX, in
   descending order.  */
struct ranking
{
  uint64_t hash[TOP_ELECTORATE_MAX];
  uint64_t id[TOP_ELECTORATE_MAX];
  size_t count;
  size_t max;
};

static bool
ranks_before (uint64_t hash_a, uint64_t id_a, uint64_t hash_b, uint64_t id_b)
{
  return hash_a != hash_b ? hash_a > hash_b : id_a > id_b;
}

/* Inserts a pair if it is among the MAX highest.  */
static void
ranking_insert (struct ranking *ranking, uint64_t hash, uint64_t id)
{
  size_t i = ranking->count;

  while (i > 0
         && ranks_before (hash, id, ranking->hash[i - 1], ranking->id[i - 1]))
    i--;
  if (i == ranking->max)
    return;
  if (ranking->count < ranking->max)
    ranking->count++;
  for (size_t j = ranking->count - 1; j > i; j--)
    {
      ranking->hash[j] = ranking->hash[j - 1];
      ranking->id[j] = ranking->id[j - 1];
    }
  ranking->hash[i] = hash;
  ranking->id[i] = id;
}

uint32_t
top_group_of (uint64_t target_id, uint32_t group_count)
{
  return group_count != 0 ? (uint32_t)(target_id % group_count) : 0;
}

uint64_t
top_group_key (struct rw_str dc, uint32_t group)
{
  return rw_hash_u64 (rw_hash (dc), group);
}

/* Returns the data centre whose live VMs vote for the targets of DC.  That is
   DC itself if it has any; otherwise the one with the most live VMs in the
   region of DC on the VM list or, if DC is not on it, in REGION.  An empty
   region stands for all regions.  Of equal data centres, the first by name is
   chosen.  Returns null if there is none.  */
static const struct top_dc *
find_voting_dc (const struct top_vms *vms, struct rw_str dc,
                struct rw_str region)
{
  const struct top_dc *own = top_dc_by_name (vms, dc);
  const struct top_dc *best = NULL;

  if (own != NULL && own->live_count > 0)
    return own;
  if (own != NULL)
    region = own->region;
  for (size_t i = 0; i < vms->dc_count; i++)
    {
      const struct top_dc *other = &vms->dcs[i];

      if (region.len != 0 && !rw_str_eq (other->region, region))
        continue;
      if (other->live_count > (best != NULL ? best->live_count : 0))
        best = other;
    }
  return best;
}

static uint64_t
electorate_hash (const struct top_electorate *e)
{
  uint64_t hash = rw_hash_u64 (e->group_key, e->group_count);

  for (size_t i = 0; i < e->member_count; i++)
    hash = rw_hash_u64 (hash, e->members[i]);
  return hash != 0 ? hash : 1;
}

static void
sort_ids (uint64_t *ids, size_t count)
{
  for (size_t i = 1; i < count; i++)
    for (size_t j = i; j > 0 && ids[j] < ids[j - 1]; j--)
      {
        uint64_t id = ids[j];

        ids[j] = ids[j - 1];
        ids[j - 1] = id;
      }
}

void
top_electorate (const struct top_vms *vms, struct rw_str dc,
                struct rw_str region, uint32_t group_count, uint32_t group,
                struct top_electorate *electorate)
{
  const struct top_dc *voters = find_voting_dc (vms, dc, region);
  struct ranking ranking = { .max = TOP_ELECTORATE_MAX };

  memset (electorate, 0, sizeof *electorate);
  electorate->dc_id = rw_hash (dc);
  electorate->group_key = top_group_key (dc, group);
  electorate->group_count = group_count;
  electorate->group = group;
  for (size_t i = 0; voters != NULL && i < voters->vm_count; i++)
    {
      const struct top_vm *vm = &vms->vms[voters->first_vm + i];

      if (vm->state == TOP_VM_LIVE)
        ranking_insert (&ranking, rw_hash_u64 (electorate->group_key, vm->id),
                        vm->id);
    }
  memcpy (electorate->members, ranking.id, sizeof ranking.id);
  electorate->member_count = ranking.count;
  sort_ids (electorate->members, electorate->member_count);
  electorate->hash = electorate_hash (electorate);
}

uint64_t
top_rank_hash (uint64_t target_id, uint64_t vm_id)
{
  return rw_hash_u64 (target_id, vm_id);
}

bool
top_outranks (uint64_t target_id, uint64_t vm_a, uint64_t vm_b)
{
  return ranks_before (top_rank_hash (target_id, vm_a), vm_a,
                       top_rank_hash (target_id, vm_b), vm_b);
}

void
top_rank_members (const struct top_electorate *electorate, uint64_t target_id,
                  uint64_t ranked[TOP_ELECTORATE_MAX])
{
  struct ranking ranking = { .max = TOP_ELECTORATE_MAX };

  for (size_t i = 0; i < electorate->member_count; i++)
    ranking_insert (&ranking,
                    top_rank_hash (target_id, electorate->members[i]),
                    electorate->members[i]);
  memcpy (ranked, ranking.id, sizeof ranking.id);
}

bool
top_is_watcher (const struct top_vms *vms, struct rw_str key,
                const struct top_vm *self,
                bool (*alive) (void *arg, const struct top_vm *vm), void *arg)
{
  const struct top_dc *dc = top_dc_by_name (vms, self->dc);
  uint64_t key_hash = rw_hash (key);
  struct ranking ranking = { .max = WATCHERS_PER_KEY };

  for (size_t i = 0; dc != NULL && i < dc->vm_count; i++)
    {
      const struct top_vm *vm = &vms->vms[dc->first_vm + i];

      if (alive != NULL ? alive (arg, vm) : vm->state == TOP_VM_LIVE)
        ranking_insert (&ranking, rw_hash_u64 (key_hash, vm->id), vm->id);
    }
  for (size_t i = 0; i < ranking.count; i++)
    if (ranking.id[i] == self->id)
      return true;
  return false;
}
