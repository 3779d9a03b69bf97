#include "internal.h"

#include <stdlib.h>

/* Time between two steps of a planned stop.  */
#define DRAIN_CHECK_INTERVAL (10 * RW_MSEC)
/* Maximum size of the recorded answers of once requests in one HANDOFF, newest
   first.  Together with the hashed keys, 20 bytes each, they stay below the
   size limit of a record.  */
#define HANDOFF_ANSWER_BYTES_MAX ((size_t)256 * 1024)
/* The daemon runs on for two probe intervals after the release of its leases:
   its probes tell the voters of the release, and parts that arrive late are
   answered with the name of the new holder.  */
#define RELEASE_LINGER_TIME (2 * LEA_PROBE_INTERVAL)

/* Starts a planned stop: from now on nod_ready is false, so that the load
   balancer sends no more callers, and after the drain delay the targets are
   handed over.  Without hand-over there is no delay.  */
void
nod_drain (struct nod_node *node, rw_time now)
{
  node->now = now;
  if (node->drain_state != NOD_RUNNING)
    return;
  node->drain_state = NOD_DRAIN_NOT_READY;
  node->next_drain_step_at = now;
  if (nod_enabled (node, NOD_MECH_HANDOFF))
    node->next_drain_step_at += node->settings.drain_delay;
  node->drain_deadline = node->next_drain_step_at + NOD_DRAIN_TIMEOUT;
  nod_log (node, NOD_LOG_INFO, "drain", "A planned stop began.");
}

/* A target to hand over.  */
struct handover
{
  struct nod_target *target;
  uint64_t successor; /* id of a peer */
};

/* Orders by group, then by successor.  Hand-overs that compare equal go into
   one message.  */
static int
compare_handovers (const void *a, const void *b)
{
  const struct handover *x = a;
  const struct handover *y = b;

  if (x->target->group_key != y->target->group_key)
    return x->target->group_key < y->target->group_key ? -1 : 1;
  return x->successor < y->successor ? -1 : x->successor > y->successor;
}

/* Stops acting for all targets that this daemon holds.  Writes those that have
   a successor to HANDOVERS and returns their number.  */
static size_t
stop_acting (struct nod_node *node, struct handover *handovers)
{
  size_t position = 0;
  size_t count = 0;
  struct nod_target *target;

  while ((target = rw_map_next (&node->targets, &position)) != NULL)
    {
      rw_time until;

      if (!nod_holder_may_act (node, target, &until))
        continue;
      target->successor = lea_pick_successor (&node->leases, target->group_key,
                                              target->id, node->now);
      target->handed_over = true;
      target->acting = false;
      nod_target_mark_dirty (node, target);
      if (target->successor != 0)
        handovers[count++] = (struct handover){ target, target->successor };
    }
  return count;
}

/* Adds to CALL the idempotency keys of once requests that may have run, if one
   of the targets takes once requests: a caller may repeat a key within
   ONC_RETENTION_TIME.  An answer that exceeds the room left is omitted; its
   key is not.  */
static void
add_once_ids (struct nod_node *node, const struct handover *handovers,
              size_t count, struct wir_handoff_call *call)
{
  struct onc_exported_key *keys;
  bool needed = false;
  size_t key_count;
  size_t room = HANDOFF_ANSWER_BYTES_MAX;

  for (size_t i = 0; i < count; i++)
    needed = needed || handovers[i].target->service->rules.kind == RUL_ONCE;
  if (!needed)
    return;
  key_count = onc_table_count (&node->idempotency_keys);
  if (key_count > WIR_MAX_ONCE_IDS)
    key_count = WIR_MAX_ONCE_IDS;
  keys = rw_arena_zalloc (&node->scratch, key_count, sizeof *keys);
  key_count
      = onc_table_export (&node->idempotency_keys, node->now, keys, key_count);
  call->once_ids
      = rw_arena_zalloc (&node->scratch, key_count, sizeof *call->once_ids);
  call->once_id_count = (uint32_t)key_count;
  for (size_t i = 0; i < key_count; i++)
    {
      size_t len = keys[i].answer.len;

      call->once_ids[i]
          = (struct wir_once_id){ keys[i].key_hash, keys[i].time_left,
                                  len <= room ? keys[i].answer : RW_LIT ("") };
      room -= len <= room ? len : 0;
    }
}

/* Sends one HANDOFF for COUNT targets of the same group and successor, each
   with its admission state.  */
static void
send_handoff (struct nod_node *node, const struct handover *handovers,
              size_t count)
{
  struct wir_msg msg = { .type = WIR_HANDOFF_CALL, .xid = ++node->last_xid };
  struct wir_handoff_call *call = &msg.u.handoff_call;
  const struct nod_peer *peer = nod_peer_by_id (node, handovers[0].successor);

  node->unaccepted_handoffs += node->drain_state != NOD_RUNNING;
  if (peer == NULL)
    {
      nod_log (node, NOD_LOG_WARN, "drain",
               "%zu targets have a successor that is not known here.", count);
      return;
    }
  call->vm = node->settings.vm;
  call->incarnation = node->settings.incarnation;
  call->dc = rw_str_from (handovers[0].target->dc);
  call->group = handovers[0].target->group;
  call->sent = node->now;
  call->targets
      = rw_arena_zalloc (&node->scratch, count, sizeof *call->targets);
  for (size_t i = 0; i < count; i++)
    {
      struct nod_target *target = handovers[i].target;
      struct adm_handover state = { 0 };

      if (target->admission != NULL)
        adm_export (target->admission, &state, node->now);
      call->targets[call->target_count++]
          = (struct wir_handoff_target){ .target = rw_str_from (target->name),
                                         .cap = (uint32_t)state.cap,
                                         .running = (uint32_t)state.running,
                                         .incarnation = state.incarnation,
                                         .remaining = state.remaining };
    }
  add_once_ids (node, handovers, count, call);
  nod_send_message (node, 0, peer, 0, &msg);
}

/* Hands COUNT targets over, with one message for each group and successor.
   Sorts HANDOVERS.  */
static void
send_handoffs (struct nod_node *node, struct handover *handovers, size_t count)
{
  size_t first = 0;

  if (count > 1)
    qsort (handovers, count, sizeof *handovers, compare_handovers);
  while (first < count)
    {
      size_t end = first + 1;

      while (end < count
             && compare_handovers (&handovers[end], &handovers[first]) == 0)
        end++;
      send_handoff (node, &handovers[first], end - first);
      first = end;
    }
}

/* Hands all targets over, as part of a planned stop.  */
static void
hand_over (struct nod_node *node)
{
  struct handover *handovers
      = rw_arena_zalloc (&node->scratch, node->targets.len, sizeof *handovers);
  size_t count = stop_acting (node, handovers);

  node->first_stop_xid = node->last_xid + 1;
  send_handoffs (node, handovers, count);
  nod_log (node, NOD_LOG_INFO, "drain", "%zu targets are handed over.", count);
}

/* Returns whether to hand TARGET, which this daemon held, back to a member of
   higher rank now.  If so, sets the successor of TARGET to that member.
   Updates the yield state of TARGET.  */
static bool
prepare_hand_back (struct nod_node *node, struct nod_target *target)
{
  rw_time until;

  if (target->acting && !nod_holder_may_act (node, target, &until))
    nod_target_mark_dirty (node, target);
  if (!target->yielding || target->acting || node->now < target->next_yield_at)
    return false;
  target->successor
      = lea_yield (&node->leases, target->group_key, target->id, node->now);
  target->yielding = target->successor != 0;
  target->next_yield_at = node->now + LEA_YIELD_INTERVAL;
  return target->yielding;
}

/* Hands targets over to members of higher rank that have returned.  Without
   this, no daemon could act for these targets until the members' tenure is
   long enough.  */
void
nod_yield_tick (struct nod_node *node)
{
  struct nod_target *target;
  struct handover *handovers = NULL;
  size_t position = 0;
  size_t count = 0;

  if (node->drain_state != NOD_RUNNING || !nod_enabled (node, NOD_MECH_LEASE)
      || !nod_enabled (node, NOD_MECH_HANDOFF))
    return;
  while ((target = rw_map_next (&node->targets, &position)) != NULL)
    {
      if (!prepare_hand_back (node, target))
        continue;
      if (handovers == NULL)
        handovers = rw_arena_zalloc (&node->scratch, node->targets.len,
                                     sizeof *handovers);
      handovers[count++] = (struct handover){ target, target->successor };
    }
  send_handoffs (node, handovers, count);
}

/* Releases the leases and leaves the membership, if lib/lease allows the
   release now.  */
static void
release_targets (struct nod_node *node)
{
  if (!lea_release (&node->leases, node->now))
    return;
  mem_leave (&node->members);
  node->drain_state = NOD_DRAIN_FINISH;
  node->released_at = node->now;
  nod_log (node, NOD_LOG_INFO, "drain", "All targets are released.");
}

/* Returns whether the leases may be released: no exchange runs, and each
   HANDOFF was accepted or NOD_HANDOFF_REPLY_TIMEOUT has passed.  From the
   drain deadline on they may be released in any case.  */
static bool
may_release (const struct nod_node *node)
{
  if (node->now >= node->drain_deadline)
    return true;
  return node->exchanges.len == 0
         && (node->unaccepted_handoffs == 0
             || node->now
                    >= node->handoff_sent_at + NOD_HANDOFF_REPLY_TIMEOUT);
}

/* Takes the next step of a planned stop, if one is due.  The release waits
   until no exchange is running or the drain deadline has passed: until then
   the claims of this daemon keep other daemons from acting, except the
   successors, which know of the exchanges and may act before the release.  */
void
nod_drain_tick (struct nod_node *node)
{
  if (node->drain_state == NOD_RUNNING || node->now < node->next_drain_step_at)
    return;
  if (node->drain_state == NOD_DRAIN_NOT_READY)
    {
      node->drain_state = NOD_DRAIN_HANDOVER;
      node->handoff_sent_at = node->now;
      if (nod_enabled (node, NOD_MECH_HANDOFF))
        hand_over (node);
      node->drain_deadline = node->now + NOD_DRAIN_TIMEOUT;
    }
  if (node->drain_state == NOD_DRAIN_HANDOVER && may_release (node))
    release_targets (node);
  node->next_drain_step_at = node->now + DRAIN_CHECK_INTERVAL;
}

/* The stop is complete when RELEASE_LINGER_TIME has passed since the release
   of the leases and no request, part, exchange or result is left.  Once the
   leases are released, it is also complete at the drain deadline and, without
   hand-over, at once.  */
bool
nod_drained (const struct nod_node *node)
{
  if (node->drain_state != NOD_DRAIN_FINISH)
    return false;
  if (node->now >= node->drain_deadline
      || !nod_enabled (node, NOD_MECH_HANDOFF))
    return true;
  if (node->now < node->released_at + RELEASE_LINGER_TIME)
    return false;
  return node->searches.len == 0 && node->once_requests.len == 0
         && node->parts.len == 0 && node->exchanges.len == 0
         && node->results.len == 0;
}

/* Takes over the targets, admission state and idempotency keys of a HANDOFF.
   Returns false if this daemon is stopping itself or a target may not be taken
   over.  Targets that are unknown here or not of the group are skipped.  */
static bool
accept_handoff (struct nod_node *node, struct nod_stream *stream,
                const struct wir_handoff_call *call)
{
  uint64_t key = top_group_key (call->dc, call->group);
  rw_time age = onc_clock_max_age (&stream->clock, call->sent, node->now);

  if (node->drain_state != NOD_RUNNING)
    return false;
  for (uint32_t i = 0; i < call->once_id_count; i++)
    onc_table_import (&node->idempotency_keys,
                      &(struct onc_exported_key){ call->once_ids[i].key,
                                                  call->once_ids[i].remaining,
                                                  call->once_ids[i].answer },
                      node->now);
  for (uint32_t i = 0; i < call->target_count; i++)
    {
      const struct wir_handoff_target *in = &call->targets[i];
      struct nod_target *target = nod_target_find (node, in->target);
      struct adm_handover state
          = { .cap = (int)(in->cap < ADM_SLOTS_MAX ? in->cap : ADM_SLOTS_MAX),
              .running = (int)(in->running < ADM_SLOTS_MAX ? in->running
                                                           : ADM_SLOTS_MAX),
              .incarnation = in->incarnation,
              .remaining = in->remaining };
      rw_time until;

      if (target == NULL || target->group_key != key)
        continue;
      if (lea_on_handoff (&node->leases, key, target->id, rw_hash (call->vm),
                          age, node->now)
          < 0)
        return false;
      if (in->cap == 0 || target->acting)
        continue;
      nod_holder_init_admission (node, target);
      nod_holder_may_act (node, target, &until);
      adm_import (target->admission, &state, node->now);
    }
  return true;
}

/* Handles a HANDOFF message, with targets of one group, and replies to it.  */
void
nod_on_handoff (struct nod_node *node, struct nod_stream *stream, uint32_t xid,
                const struct wir_handoff_call *call)
{
  struct wir_msg msg = { .type = WIR_HANDOFF_REPLY, .xid = xid };

  msg.u.handoff_reply.dc = call->dc;
  msg.u.handoff_reply.group = call->group;
  msg.u.handoff_reply.accepted = accept_handoff (node, stream, call);
  nod_log (node, NOD_LOG_INFO, "drain",
           "A hand-over of %u targets of %.*s group %u from %.*s was %s.",
           call->target_count, RW_STR_ARG (call->dc), call->group,
           RW_STR_ARG (call->vm),
           msg.u.handoff_reply.accepted ? "accepted" : "refused");
  nod_send_message (node, stream->number, NULL, 0, &msg);
}

/* Handles the reply to the HANDOFF call XID.  A refusal leaves the count above
   zero, so that the release waits until NOD_HANDOFF_REPLY_TIMEOUT has passed.
   The reply to a call from before the stop is not counted.  */
void
nod_on_handoff_reply (struct nod_node *node, uint32_t xid,
                      const struct wir_handoff_reply *reply)
{
  bool of_stop = (int32_t)(xid - node->first_stop_xid) >= 0;

  if (reply->accepted && of_stop && node->unaccepted_handoffs > 0)
    node->unaccepted_handoffs--;
}
