#include "topo.h"

#include <string.h>

/* Keeps the COUNT highest (value, id) pairs, in falling order.  */
struct highest
{
  uint64_t value[TOP_ELECTORATE_MAX];
  uint64_t id[TOP_ELECTORATE_MAX];
  size_t count;
  size_t max;
};

static bool
above (uint64_t value_a, uint64_t id_a, uint64_t value_b, uint64_t id_b)
{
  return value_a != value_b ? value_a > value_b : id_a > id_b;
}

static void
highest_add (struct highest *h, uint64_t value, uint64_t id)
{
  size_t i = h->count;

  while (i > 0 && above (value, id, h->value[i - 1], h->id[i - 1]))
    i--;
  if (i == h->max)
    return;
  if (h->count < h->max)
    h->count++;
  for (size_t j = h->count - 1; j > i; j--)
    {
      h->value[j] = h->value[j - 1];
      h->id[j] = h->id[j - 1];
    }
  h->value[i] = value;
  h->id[i] = id;
}

/* Returns the group of a target, 0 to GROUPS - 1.  */
uint32_t
top_group_of (uint64_t target_id, uint32_t groups)
{
  return groups != 0 ? (uint32_t)(target_id % groups) : 0;
}

/* Names a group in lease messages.  */
uint64_t
top_group_key (struct rw_str dc, uint32_t group)
{
  return rw_hash_u64 (rw_hash (dc), group);
}

/* The data centre whose VMs vote for the targets of DC: DC itself, or the one
   with the most live VMs among those of REGION (of all, if REGION is empty),
   ties by name.  Returns null if there is none.  */
static const struct top_dc *
voting_dc (const struct top_vms *vms, struct rw_str dc, struct rw_str region)
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

/* Computes the electorate of group GROUP of GROUPS of the data centre DC: the
   live VMs with the highest rendezvous hash of (data centre, group, VM).
   REGION (may be empty) limits the choice when DC has no live VM.  */
void
top_electorate (const struct top_vms *vms, struct rw_str dc,
                struct rw_str region, uint32_t groups, uint32_t group,
                struct top_electorate *electorate)
{
  const struct top_dc *voters = voting_dc (vms, dc, region);
  struct highest h = { .max = TOP_ELECTORATE_MAX };

  memset (electorate, 0, sizeof *electorate);
  electorate->dc_id = rw_hash (dc);
  electorate->group_key = top_group_key (dc, group);
  electorate->group_count = groups;
  electorate->group = group;
  for (size_t i = 0; voters != NULL && i < voters->vm_count; i++)
    {
      const struct top_vm *vm = &vms->vms[voters->first_vm + i];

      if (vm->state == TOP_VM_LIVE)
        highest_add (&h, rw_hash_u64 (electorate->group_key, vm->id), vm->id);
    }
  memcpy (electorate->members, h.id, sizeof h.id);
  electorate->member_count = h.count;
  sort_ids (electorate->members, electorate->member_count);
  electorate->hash = electorate_hash (electorate);
}

/* Returns the rendezvous hash of (target, VM).  */
uint64_t
top_rank_value (uint64_t target_id, uint64_t vm_id)
{
  return rw_hash_u64 (target_id, vm_id);
}

/* Whether VM_A ranks before VM_B for the target.  */
bool
top_outranks (uint64_t target_id, uint64_t vm_a, uint64_t vm_b)
{
  return above (top_rank_value (target_id, vm_a), vm_a,
                top_rank_value (target_id, vm_b), vm_b);
}

/* Writes the electorate's members to RANKED, the first holder first.  */
void
top_rank_members (const struct top_electorate *electorate, uint64_t target_id,
                  uint64_t ranked[TOP_ELECTORATE_MAX])
{
  struct highest h = { .max = TOP_ELECTORATE_MAX };

  for (size_t i = 0; i < electorate->member_count; i++)
    highest_add (&h, top_rank_value (target_id, electorate->members[i]),
                 electorate->members[i]);
  memcpy (ranked, h.id, sizeof h.id);
}

/* Whether SELF is one of the two watchers of KEY in its data centre: the two
   highest by rendezvous hash of (key, VM) among the VMs considered alive.  */
bool
top_is_watcher (const struct top_vms *vms, struct rw_str key,
                const struct top_vm *self,
                bool (*alive) (void *arg, const struct top_vm *vm), void *arg)
{
  const struct top_dc *dc = top_dc_by_name (vms, self->dc);
  uint64_t hash = rw_hash (key);
  struct highest h = { .max = 2 };

  for (size_t i = 0; dc != NULL && i < dc->vm_count; i++)
    {
      const struct top_vm *vm = &vms->vms[dc->first_vm + i];

      if (alive != NULL ? alive (arg, vm) : vm->state == TOP_VM_LIVE)
        highest_add (&h, rw_hash_u64 (hash, vm->id), vm->id);
    }
  for (size_t i = 0; i < h.count; i++)
    if (h.id[i] == self->id)
      return true;
  return false;
}
