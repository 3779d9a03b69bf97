#include "member.h"

#include <stdlib.h>
#include <string.h>

#include "entry.h"

/* Shuffles the probe order and starts it from the beginning.  */
static void
shuffle_probe_order (struct mem_members *members)
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

/* Starts a new round of probes over all members.  */
void
mem_probe_order_build (struct mem_members *members)
{
  free (members->probe_order);
  members->probe_order
      = rw_xcalloc (members->count, sizeof *members->probe_order);
  members->probe_order_len = members->count;
  for (size_t i = 0; i < members->count; i++)
    members->probe_order[i] = members->entries[i].id;
  shuffle_probe_order (members);
}

/* Returns the next member to probe, or null if there is none.  The order is
   shuffled again after each round.  Members that were removed are skipped.  */
static const struct mem_entry *
next_in_probe_order (struct mem_members *members)
{
  const struct mem_entry *entry = NULL;

  for (size_t i = 0; entry == NULL && i < members->probe_order_len; i++)
    {
      if (members->probe_order_pos == members->probe_order_len)
        shuffle_probe_order (members);
      entry = mem_entry_find (
          members, members->probe_order[members->probe_order_pos++]);
    }
  return entry;
}

/* Fills SEND with a probe of ENTRY and tracks it.  If MEM_PROBES_MAX probes
   are in flight, it is sent but not tracked: a missing ack has no effect.  */
static void
start_probe (struct mem_members *members, const struct mem_entry *entry,
             rw_time now, struct mem_send *send)
{
  uint32_t seq = members->next_seq++;

  *send = (struct mem_send){ MEM_SEND_PROBE, seq, entry, NULL };
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

/* Suspects the member with ID, if it counts as alive, and probes it again at
   once.  */
static void
suspect_member (struct mem_members *members, uint64_t id, rw_time now)
{
  struct mem_entry *entry = mem_entry_find (members, id);

  if (entry == NULL || entry->state != MEM_ALIVE)
    return;
  mem_entry_set_state (members, entry, MEM_SUSPECT, now);
  entry->next_recheck = now;
  members->next_member_timer = now;
}

/* Fills SEND with a probe of a suspected member that is due for a recheck.
   Returns false if there is none.  */
static bool
next_recheck_probe (struct mem_members *members, rw_time now,
                    struct mem_send *send)
{
  for (size_t i = 0; i < members->count; i++)
    {
      struct mem_entry *entry = &members->entries[i];

      if (entry->next_recheck > now)
        continue;
      entry->next_recheck = now + MEM_RECHECK_INTERVAL;
      *send = (struct mem_send){ MEM_SEND_PROBE, members->next_seq++, entry,
                                 NULL };
      return true;
    }
  return false;
}

static void
fail_expired_suspects (struct mem_members *members, rw_time now)
{
  for (size_t i = 0; i < members->count; i++)
    {
      struct mem_entry *entry = &members->entries[i];

      if (entry->state == MEM_SUSPECT && entry->suspect_until <= now)
        mem_entry_set_state (members, entry, MEM_FAILED, now);
    }
}

/* Returns a random usable member whose id is not EXCLUDED, or null.  EXCLUDED
   0 excludes none.  There must be at least one member.  */
static const struct mem_entry *
random_member (struct mem_members *members, uint64_t excluded)
{
  size_t first = rw_rng_below (&members->rng, members->count);

  for (size_t i = 0; i < members->count; i++)
    {
      const struct mem_entry *entry
          = &members->entries[(first + i) % members->count];

      if (entry->id != excluded && mem_entry_is_usable (entry))
        return entry;
    }
  return NULL;
}

/* Handles a probe without an ack in time: after the direct probe, starts the
   indirect probes; after these, suspects the member.  */
static void
on_probe_timeout (struct mem_members *members, struct mem_probe *probe,
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
      suspect_member (members, probe->target_id, now);
    }
}

/* Fills SEND with the next probe request for PROBE's target.  Returns false if
   none is left or no member can relay it.  */
static bool
next_probe_request (struct mem_members *members, struct mem_probe *probe,
                    struct mem_send *send)
{
  const struct mem_entry *target = mem_entry_find (members, probe->target_id);
  const struct mem_entry *via;

  if (!probe->active || probe->requests_left == 0)
    return false;
  probe->requests_left--;
  via = random_member (members, probe->target_id);
  if (target == NULL || via == NULL)
    return false;
  *send = (struct mem_send){ MEM_SEND_PROBE_REQUEST, probe->seq, target, via };
  return true;
}

/* Fills SEND with the next extra probe.  Returns false if there is none.  */
static bool
next_extra_probe (struct mem_members *members, rw_time now,
                  struct mem_send *send)
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
  start_probe (members, entry, now, send);
  return true;
}

/* Returns when the next suspicion ends or the next recheck is due.  */
static rw_time
earliest_member_timer (const struct mem_members *members)
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

/* Fails the members whose suspicion has timed out and fills SEND with the next
   recheck.  Returns false if there is none.  The members are scanned only if a
   timer is due, because the daemon asks for the next tick after each event. */
static bool
run_member_timers (struct mem_members *members, rw_time now,
                   struct mem_send *send)
{
  if (now < members->next_member_timer)
    return false;
  fail_expired_suspects (members, now);
  if (next_recheck_probe (members, now, send))
    return true;
  members->next_member_timer = earliest_member_timer (members);
  return false;
}

/* Handles the timers that are due at NOW and fills SEND with the next message
   to send, or MEM_SEND_NONE.  */
void
mem_tick (struct mem_members *members, rw_time now, struct mem_send *send)
{
  const struct mem_entry *entry;

  *send = (struct mem_send){ .kind = MEM_SEND_NONE };
  if (run_member_timers (members, now, send))
    return;
  for (size_t i = 0; i < MEM_PROBES_MAX; i++)
    {
      struct mem_probe *probe = &members->probes[i];

      if (probe->active && probe->deadline <= now)
        on_probe_timeout (members, probe, now);
      if (next_probe_request (members, probe, send))
        return;
    }
  if (next_extra_probe (members, now, send) || now < members->next_probe)
    return;
  members->next_probe = now + MEM_PROBE_INTERVAL;
  entry = next_in_probe_order (members);
  if (entry != NULL)
    start_probe (members, entry, now, send);
}

/* Returns when mem_tick is due; 0 if it is due at once.  */
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

/* Makes mem_tick probe MEM_EXTRA_PROBES random members at once, because probes
   carry member changes and document versions.  */
void
mem_send_extra_probes (struct mem_members *members)
{
  members->extra_probes_left = MEM_EXTRA_PROBES;
}

/* Handles an ack of the probe SEQ, direct or relayed.  Returns true if this
   daemon sent the probe for another member: the ack is then to be relayed to
   *REQUESTER with *SEQ_OUT.  An ack after MEM_ACK_TIMEOUT is not relayed.
   *REQUESTER may be null if the function returns false.  */
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

/* Returns an unused or expired relay, or null.  */
static struct mem_relay *
free_relay (struct mem_members *members, rw_time now)
{
  for (size_t i = 0; i < MEM_RELAYS_MAX; i++)
    if (!members->relays[i].active || members->relays[i].deadline <= now)
      return &members->relays[i];
  return NULL;
}

/* Handles a request to probe TARGET for REQUESTER, whose probe has SEQ.  Fills
   SEND with the probe, or with MEM_SEND_NONE if either member is not known or
   MEM_RELAYS_MAX relayed probes are in flight.  */
void
mem_on_probe_request (struct mem_members *members, struct rw_str requester,
                      struct rw_str target, uint32_t seq, rw_time now,
                      struct mem_send *send)
{
  struct mem_relay *relay = free_relay (members, now);
  const struct mem_entry *from = mem_find (members, requester);
  const struct mem_entry *to = mem_find (members, target);

  *send = (struct mem_send){ .kind = MEM_SEND_NONE };
  if (relay == NULL || from == NULL || to == NULL)
    return;
  *relay = (struct mem_relay){ .active = true,
                               .own_seq = members->next_seq++,
                               .requester_seq = seq,
                               .requester_id = from->id,
                               .deadline = now + MEM_ACK_TIMEOUT };
  *send = (struct mem_send){ MEM_SEND_PROBE, relay->own_seq, to, NULL };
}
