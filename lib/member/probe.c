#include "member.h"

#include <stdlib.h>
#include <string.h>

#include "entry.h"

static void
ring_shuffle (struct mem_members *members)
{
  for (size_t i = members->probe_order_len; i > 1; i--)
    {
      size_t j = rw_rng_below (&members->rng, i);
      uint64_t id = members->probe_order[i - 1];

      members->probe_order[i - 1] = members->probe_order[j];
      members->probe_order[j] = id;
    }
  members->probe_order_pos = 0;
}

/* Starts a new round over all members.  */
void
mem_ring_build (struct mem_members *members)
{
  free (members->probe_order);
  members->probe_order
      = rw_xcalloc (members->count, sizeof *members->probe_order);
  members->probe_order_len = members->count;
  for (size_t i = 0; i < members->count; i++)
    members->probe_order[i] = members->entries[i].id;
  ring_shuffle (members);
}

static const struct mem_entry *
ring_next (struct mem_members *members)
{
  const struct mem_entry *entry = NULL;

  for (size_t i = 0; entry == NULL && i < members->probe_order_len; i++)
    {
      if (members->probe_order_pos == members->probe_order_len)
        ring_shuffle (members);
      entry = mem_entry_find (
          members, members->probe_order[members->probe_order_pos++]);
    }
  return entry;
}

/* Starts a probe.  Without a free place the probe is sent, but a missing ack
   has no consequence.  */
static void
start_probe (struct mem_members *members, const struct mem_entry *entry,
             rw_time now, struct mem_send *out)
{
  uint32_t seq = members->next_seq++;

  *out = (struct mem_send){ MEM_SEND_PROBE, seq, entry, NULL };
  for (size_t i = 0; i < MEM_PROBES_MAX; i++)
    if (!members->probes[i].active)
      {
        members->probes[i]
            = (struct mem_probe){ .active = true,
                                  .target_id = entry->id,
                                  .seq = seq,
                                  .sent_at = now,
                                  .deadline = now + MEM_ACK_TIMEOUT };
        return;
      }
}

static void
suspect (struct mem_members *members, uint64_t id, rw_time now)
{
  struct mem_entry *entry = mem_entry_find (members, id);

  if (entry == NULL || entry->state != MEM_ALIVE)
    return;
  mem_entry_set (members, entry, MEM_SUSPECT, now);
  entry->next_recheck = now;
  members->next_member_timer = now;
}

static bool
recheck_out (struct mem_members *members, rw_time now, struct mem_send *out)
{
  for (size_t i = 0; i < members->count; i++)
    {
      struct mem_entry *entry = &members->entries[i];

      if (entry->next_recheck > now)
        continue;
      entry->next_recheck = now + MEM_RECHECK_INTERVAL;
      *out = (struct mem_send){ MEM_SEND_PROBE, members->next_seq++, entry,
                                NULL };
      return true;
    }
  return false;
}

static void
expire_suspects (struct mem_members *members, rw_time now)
{
  for (size_t i = 0; i < members->count; i++)
    {
      struct mem_entry *entry = &members->entries[i];

      if (entry->state == MEM_SUSPECT && entry->suspect_until <= now)
        mem_entry_set (members, entry, MEM_FAILED, now);
    }
}

/* Returns a random usable member other than NOT, or null.  */
static const struct mem_entry *
random_member (struct mem_members *members, uint64_t not )
{
  size_t first = rw_rng_below (&members->rng, members->count);

  for (size_t i = 0; i < members->count; i++)
    {
      const struct mem_entry *entry
          = &members->entries[(first + i) % members->count];

      if (entry->id != not &&mem_entry_usable (entry))
        return entry;
    }
  return NULL;
}

static void
probe_timed_out (struct mem_members *members, struct mem_probe *probe,
                 rw_time now)
{
  const struct mem_entry *entry = mem_entry_find (members, probe->target_id);

  if (entry == NULL || entry->state != MEM_ALIVE)
    probe->active = false;
  else if (!probe->direct_timed_out)
    {
      probe->direct_timed_out = true;
      probe->requests_left = MEM_INDIRECT_PROBES;
      probe->deadline = now + MEM_ACK_TIMEOUT;
    }
  else
    {
      probe->active = false;
      suspect (members, probe->target_id, now);
    }
}

static bool
indirect_out (struct mem_members *members, struct mem_probe *probe,
              struct mem_send *out)
{
  const struct mem_entry *target = mem_entry_find (members, probe->target_id);
  const struct mem_entry *via;

  if (!probe->active || probe->requests_left == 0)
    return false;
  probe->requests_left--;
  via = random_member (members, probe->target_id);
  if (target == NULL || via == NULL)
    return false;
  *out = (struct mem_send){ MEM_SEND_PROBE_REQUEST, probe->seq, target, via };
  return true;
}

static bool
spread_out (struct mem_members *members, rw_time now, struct mem_send *out)
{
  const struct mem_entry *entry;

  if (members->extra_probes_left == 0)
    return false;
  members->extra_probes_left--;
  entry = members->count > 0 ? random_member (members, 0) : NULL;
  if (entry == NULL)
    {
      members->extra_probes_left = 0;
      return false;
    }
  start_probe (members, entry, now, out);
  return true;
}

static rw_time
first_timer (const struct mem_members *members)
{
  rw_time first = RW_TIME_NEVER;

  for (size_t i = 0; i < members->count; i++)
    {
      const struct mem_entry *entry = &members->entries[i];

      if (entry->state == MEM_SUSPECT && entry->suspect_until < first)
        first = entry->suspect_until;
      if (entry->next_recheck < first)
        first = entry->next_recheck;
    }
  return first;
}

/* Carries out what is due by the members' timers.  The members are scanned
   only when a timer is due, because a node asks for the next tick after each
   event.  */
static bool
timers_out (struct mem_members *members, rw_time now, struct mem_send *out)
{
  if (now < members->next_member_timer)
    return false;
  expire_suspects (members, now);
  if (recheck_out (members, now, out))
    return true;
  members->next_member_timer = first_timer (members);
  return false;
}

/* Advances time and writes the next thing to send to OUT.  */
void
mem_tick (struct mem_members *members, rw_time now, struct mem_send *out)
{
  const struct mem_entry *entry;

  *out = (struct mem_send){ .kind = MEM_SEND_NONE };
  if (timers_out (members, now, out))
    return;
  for (size_t i = 0; i < MEM_PROBES_MAX; i++)
    {
      struct mem_probe *probe = &members->probes[i];

      if (probe->active && probe->deadline <= now)
        probe_timed_out (members, probe, now);
      if (indirect_out (members, probe, out))
        return;
    }
  if (spread_out (members, now, out) || now < members->next_probe)
    return;
  members->next_probe = now + MEM_PROBE_INTERVAL;
  entry = ring_next (members);
  if (entry != NULL)
    start_probe (members, entry, now, out);
}

/* Returns when mem_tick is due.  */
rw_time
mem_next_tick (const struct mem_members *members)
{
  rw_time next = members->next_probe;

  if (members->extra_probes_left > 0)
    return 0;
  for (size_t i = 0; i < MEM_PROBES_MAX; i++)
    if (members->probes[i].active && members->probes[i].deadline < next)
      next = members->probes[i].deadline;
  if (members->next_member_timer < next)
    next = members->next_member_timer;
  return next;
}

/* Asks for probes of random members at once, because they carry news.  */
void
mem_send_extra_probes (struct mem_members *members)
{
  members->extra_probes_left = MEM_EXTRA_PROBES;
}

/* Takes an ack.  Returns true if it answers a probe that was sent for another
   member, to which it must be passed on.  */
bool
mem_on_ack (struct mem_members *members, uint32_t seq, rw_time now,
            const struct mem_entry **requester, uint32_t *seq_out)
{
  for (size_t i = 0; i < MEM_PROBES_MAX; i++)
    if (members->probes[i].active && members->probes[i].seq == seq)
      members->probes[i].active = false;
  for (size_t i = 0; i < MEM_RELAYS_MAX; i++)
    {
      struct mem_relay *relay = &members->relays[i];

      if (!relay->active || relay->own_seq != seq)
        continue;
      relay->active = false;
      *requester = mem_entry_find (members, relay->requester_id);
      *seq_out = relay->requester_seq;
      return *requester != NULL && now < relay->deadline;
    }
  return false;
}

static struct mem_relay *
free_relay (struct mem_members *members, rw_time now)
{
  for (size_t i = 0; i < MEM_RELAYS_MAX; i++)
    if (!members->relays[i].active || members->relays[i].deadline <= now)
      return &members->relays[i];
  return NULL;
}

/* Takes a request to probe TARGET for REQUESTER.  It is dropped if either is
   not known or too many requests are under way.  */
void
mem_on_probe_request (struct mem_members *members, struct rw_str requester,
                      struct rw_str target, uint32_t seq, rw_time now,
                      struct mem_send *out)
{
  struct mem_relay *relay = free_relay (members, now);
  const struct mem_entry *from = mem_find (members, requester);
  const struct mem_entry *to = mem_find (members, target);

  *out = (struct mem_send){ .kind = MEM_SEND_NONE };
  if (relay == NULL || from == NULL || to == NULL)
    return;
  *relay = (struct mem_relay){ .active = true,
                               .own_seq = members->next_seq++,
                               .requester_seq = seq,
                               .requester_id = from->id,
                               .deadline = now + MEM_ACK_TIMEOUT };
  *out = (struct mem_send){ MEM_SEND_PROBE, relay->own_seq, to, NULL };
}
