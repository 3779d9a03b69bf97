#include "member.h"

#include <stdlib.h>
#include <string.h>

#include "entry.h"

/* Initialises MEMBERS with this daemon alone.  Its incarnation is announced
   with its first messages.  The first probe is due after a random part of
   MEM_PROBE_INTERVAL.  */
void
mem_init (struct mem_members *members, const struct mem_settings *s,
          rw_time now)
{
  memset (members, 0, sizeof *members);
  members->settings = *s;
  rw_str_copy (members->own_name, sizeof members->own_name, s->name);
  rw_str_copy (members->own_addr, sizeof members->own_addr, s->addr);
  members->settings.name = rw_str_from (members->own_name);
  members->settings.addr = rw_str_from (members->own_addr);
  members->own_id = rw_hash (members->settings.name);
  members->own_counter = 1;
  members->own_state = MEM_ALIVE;
  members->own_sends_left = mem_retransmit_limit (members);
  members->next_seq = 1;
  members->next_member_timer = RW_TIME_NEVER;
  rw_rng_init (&members->rng, s->rng_seed);
  members->next_probe
      = now + (rw_time)rw_rng_below (&members->rng, MEM_PROBE_INTERVAL);
}

/* Frees all state.  */
void
mem_finish (struct mem_members *members)
{
  free (members->entries);
  free (members->probe_order);
  memset (members, 0, sizeof *members);
}

/* Returns the index of the first entry whose id is not below ID.  */
static size_t
lower_bound (const struct mem_members *members, uint64_t id)
{
  size_t low = 0;
  size_t high = members->count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (members->entries[middle].id < id)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Returns the member with ID, or null.  This daemon has no entry.  */
struct mem_entry *
mem_entry_find (const struct mem_members *members, uint64_t id)
{
  size_t i = lower_bound (members, id);

  return i < members->count && members->entries[i].id == id
             ? &members->entries[i]
             : NULL;
}

/* Adds an entry for ID, which must have none, and returns it with its other
   members zero.  */
static struct mem_entry *
insert_entry (struct mem_members *members, uint64_t id)
{
  size_t i = lower_bound (members, id);

  if (members->count == members->cap)
    {
      members->cap = members->cap * 2 + 16;
      members->entries = rw_xrealloc (members->entries,
                                      members->cap * sizeof *members->entries);
    }
  memmove (&members->entries[i + 1], &members->entries[i],
           (members->count - i) * sizeof *members->entries);
  members->count++;
  memset (&members->entries[i], 0, sizeof members->entries[i]);
  members->entries[i].id = id;
  return &members->entries[i];
}

/* Begins a new VM list.  Members that are not added before mem_list_end are
   removed then.  */
void
mem_list_begin (struct mem_members *members)
{
  for (size_t i = 0; i < members->count; i++)
    members->entries[i].on_vm_list = false;
}

/* Adds a VM of the list.  LEAVING says that the list marks it as leaving.  A
   new VM counts as alive until probes show otherwise.  This daemon, and a name
   longer than MEM_NAME_MAX, are skipped.  */
void
mem_list_add (struct mem_members *members, struct rw_str name,
              struct rw_str addr, uint16_t port, bool leaving, rw_time now)
{
  uint64_t id = rw_hash (name);
  struct mem_entry *entry = mem_entry_find (members, id);

  if (id == members->own_id || name.len > MEM_NAME_MAX)
    return;
  if (entry == NULL)
    {
      entry = insert_entry (members, id);
      entry->state = MEM_ALIVE;
      entry->state_since = now;
      entry->next_recheck = RW_TIME_NEVER;
    }
  rw_str_copy (entry->name, sizeof entry->name, name);
  rw_str_copy (entry->addr, sizeof entry->addr, addr);
  entry->port = port;
  entry->on_vm_list = true;
  entry->leaving_on_vm_list = leaving;
}

/* Ends a new VM list: removes the members that are not on it and starts a new
   round of probes.  */
void
mem_list_end (struct mem_members *members)
{
  size_t count = 0;

  for (size_t i = 0; i < members->count; i++)
    if (members->entries[i].on_vm_list)
      members->entries[count++] = members->entries[i];
  members->count = count;
  mem_probe_order_build (members);
}

/* Returns the member NAME, or null.  This daemon has no entry.  */
const struct mem_entry *
mem_find (const struct mem_members *members, struct rw_str name)
{
  return mem_entry_find (members, rw_hash (name));
}

/* Returns the member with ID, the hash of its name, or null.  */
const struct mem_entry *
mem_find_id (const struct mem_members *members, uint64_t id)
{
  return mem_entry_find (members, id);
}

/* Returns whether the member is on the VM list and neither failed nor leaving.
   A suspected member is usable, because it may still refute.  */
bool
mem_entry_is_usable (const struct mem_entry *entry)
{
  return entry->on_vm_list && !entry->leaving_on_vm_list
         && (entry->state == MEM_ALIVE || entry->state == MEM_SUSPECT);
}

/* Returns whether work may be sent to the member NAME: it is on the VM list,
   alive or suspect, and not leaving.  NAME may be this daemon, which is usable
   unless it is leaving.  */
bool
mem_is_usable (const struct mem_members *members, struct rw_str name)
{
  const struct mem_entry *entry;

  if (rw_str_eq (name, members->settings.name))
    return members->own_state == MEM_ALIVE;
  entry = mem_find (members, name);
  return entry != NULL && mem_entry_is_usable (entry);
}

/* Returns the number of other members.  */
size_t
mem_count (const struct mem_members *members)
{
  return members->count;
}

/* Returns the number of other members to which work may be sent.  */
size_t
mem_usable_count (const struct mem_members *members)
{
  size_t count = 0;

  for (size_t i = 0; i < members->count; i++)
    count += mem_entry_is_usable (&members->entries[i]);
  return count;
}

/* Returns the member at INDEX, which must be below mem_count, in the order of
   ids.  */
const struct mem_entry *
mem_at (const struct mem_members *members, size_t index)
{
  return &members->entries[index];
}

/* Returns the name of STATE as reports show it.  */
const char *
mem_state_name (enum mem_state state)
{
  switch (state)
    {
    case MEM_ALIVE:
      return "alive";
    case MEM_SUSPECT:
      return "suspect";
    case MEM_FAILED:
      return "failed";
    case MEM_LEAVING:
      return "leaving";
    }
  return "unknown";
}
