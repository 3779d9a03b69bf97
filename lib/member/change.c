#include "member.h"

#include <string.h>

#include "entry.h"

/* Returns how many times a change is sent: MEM_RETRANSMIT_FACTOR times log2 of
   the number of members, rounded up, so that it reaches all members with high
   probability.  */
unsigned int
mem_retransmit_limit (const struct mem_members *members)
{
  unsigned int log = 1;

  while ((size_t)1 << log < members->count + 1)
    log++;
  return MEM_RETRANSMIT_FACTOR * log;
}

/* Sets the member's state and queues the change to be announced.  */
void
mem_entry_set_state (struct mem_members *members, struct mem_entry *entry,
                     enum mem_state state, rw_time now)
{
  entry->state = state;
  entry->state_since = now;
  entry->suspect_until
      = state == MEM_SUSPECT ? now + MEM_SUSPICION_TIMEOUT : RW_TIME_NEVER;
  entry->next_recheck = RW_TIME_NEVER;
  if (entry->suspect_until < members->next_member_timer)
    members->next_member_timer = entry->suspect_until;
  entry->sends_left = mem_retransmit_limit (members);
}

static struct mem_change
own_change (const struct mem_members *members)
{
  struct mem_change change = { .port = members->settings.port,
                               .incarnation = members->settings.incarnation,
                               .counter = members->own_counter,
                               .state = members->own_state };

  memcpy (change.name, members->own_name, sizeof change.name);
  memcpy (change.addr, members->own_addr, sizeof change.addr);
  return change;
}

static struct mem_change
entry_change (const struct mem_entry *entry)
{
  struct mem_change change = { .port = entry->port,
                               .incarnation = entry->incarnation,
                               .counter = entry->counter,
                               .state = entry->state };

  memcpy (change.name, entry->name, sizeof change.name);
  memcpy (change.addr, entry->addr, sizeof change.addr);
  return change;
}

/* Returns whether A is announced before B: the change that was sent less often
   comes first, then the newer one.  */
static bool
precedes (const struct mem_entry *a, const struct mem_entry *b)
{
  return a->sends_left != b->sends_left ? a->sends_left > b->sends_left
                                        : a->state_since > b->state_since;
}

/* Inserts ENTRY into PICKED, which holds the first COUNT of at most MAX
   entries in the order of precedes.  If PICKED is full, the last entry is left
   out.  Returns the new count.  */
static size_t
insert_picked (struct mem_entry *entry,
               struct mem_entry *picked[MEM_CHANGES_MAX], size_t count,
               size_t max)
{
  size_t i = count;

  if (count == max && !precedes (entry, picked[count - 1]))
    return count;
  if (count < max)
    count++;
  else
    i--;
  for (; i > 0 && precedes (entry, picked[i - 1]); i--)
    picked[i] = picked[i - 1];
  picked[i] = entry;
  return count;
}

static bool
is_suspect_or_failed (const struct mem_entry *entry)
{
  return entry->state == MEM_SUSPECT || entry->state == MEM_FAILED;
}

/* Fills CHANGES with at most MEM_CHANGES_MAX changes to piggyback on a message
   to the member named TO, counts them as sent, and returns their number.  If
   TO is suspect or has failed, its own change comes first, so that it can
   refute; then come this daemon's change and the changes that were sent least
   often.  Members whose incarnation is not known are left out.  */
size_t
mem_pick_changes (struct mem_members *members, struct rw_str to,
                  struct mem_change changes[MEM_CHANGES_MAX])
{
  const struct mem_entry *receiver = mem_find (members, to);
  struct mem_entry *picked[MEM_CHANGES_MAX];
  size_t picked_count = 0;
  size_t count = 0;

  if (receiver != NULL && is_suspect_or_failed (receiver)
      && receiver->incarnation != 0)
    changes[count++] = entry_change (receiver);
  if (members->own_sends_left > 0)
    {
      members->own_sends_left--;
      changes[count++] = own_change (members);
    }
  for (size_t i = 0; i < members->count; i++)
    if (members->entries[i].sends_left > 0
        && members->entries[i].incarnation != 0
        && &members->entries[i] != receiver)
      picked_count = insert_picked (&members->entries[i], picked, picked_count,
                                    MEM_CHANGES_MAX - count);
  for (size_t i = 0; i < picked_count; i++)
    {
      picked[i]->sends_left--;
      changes[count++] = entry_change (picked[i]);
    }
  return count;
}

/* Records that a message arrived from the member NAME with INCARNATION.  A new
   incarnation is a new process, so the member is alive.  This is announced
   only if it changes the member's state; otherwise the start of a whole fleet
   would fill all messages with changes.  */
void
mem_on_message (struct mem_members *members, struct rw_str name,
                uint64_t incarnation, rw_time now)
{
  struct mem_entry *entry = mem_entry_find (members, rw_hash (name));

  if (entry == NULL)
    return;
  entry->last_heard = now;
  if (entry->incarnation == incarnation)
    return;
  entry->incarnation = incarnation;
  entry->counter = 0;
  if (entry->state != MEM_ALIVE)
    mem_entry_set_state (members, entry, MEM_ALIVE, now);
}

/* Refutes a change of this daemon's incarnation that names another state, by
   announcing the true state with a higher counter.  A change with a counter
   below this daemon's was refuted already.  */
static void
on_own_change (struct mem_members *members, const struct mem_change *change)
{
  if (change->incarnation != members->settings.incarnation
      || change->state == members->own_state
      || change->counter < members->own_counter)
    return;
  members->own_counter = change->counter + 1;
  members->own_sends_left = mem_retransmit_limit (members);
}

/* Returns whether CHANGE replaces what is known of ENTRY, by the rules of
   struct mem_change.  */
static bool
supersedes (const struct mem_entry *entry, const struct mem_change *change)
{
  if (entry->incarnation == 0)
    return true;
  if (change->incarnation != entry->incarnation)
    return change->state == MEM_ALIVE
           && (entry->state == MEM_FAILED || entry->state == MEM_LEAVING);
  if (change->counter != entry->counter)
    return change->counter > entry->counter;
  return change->state > entry->state;
}

static void
on_change (struct mem_members *members, const struct mem_change *change,
           rw_time now)
{
  uint64_t id = rw_hash (rw_str_from (change->name));
  struct mem_entry *entry;
  bool same_state; /* only the incarnation becomes known */

  if (id == members->own_id)
    {
      on_own_change (members, change);
      return;
    }
  entry = mem_entry_find (members, id);
  if (entry == NULL || !supersedes (entry, change))
    return;
  same_state = entry->incarnation == 0 && entry->state == change->state;
  entry->incarnation = change->incarnation;
  entry->counter = change->counter;
  if (!same_state)
    mem_entry_set_state (members, entry, change->state, now);
}

/* Applies the changes of a message.  Changes of members that are not on the VM
   list are ignored.  */
void
mem_on_changes (struct mem_members *members, const struct mem_change *changes,
                size_t count, rw_time now)
{
  for (size_t i = 0; i < count; i++)
    on_change (members, &changes[i], now);
}

/* Announces that this daemon is leaving, so that no work is sent to it.  */
void
mem_leave (struct mem_members *members)
{
  members->own_state = MEM_LEAVING;
  members->own_counter++;
  members->own_sends_left = mem_retransmit_limit (members);
}
