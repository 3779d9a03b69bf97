#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* Time between two rounds of probes to the peers of the settings.  */
#define SEED_PROBE_INTERVAL (250 * RW_MSEC)

/* Returns the peer whose name has the hash ID, or a null pointer.  */
struct nod_peer *
nod_peer_by_id (const struct nod_node *node, uint64_t id)
{
  return rw_map_get (&node->peers, id);
}

/* Returns the peer NAME, created if it is new.  Sets its address if the VM
   list has one.  */
struct nod_peer *
nod_peer_get (struct nod_node *node, struct rw_str name)
{
  uint64_t id = rw_hash (name);
  struct nod_peer *peer = rw_map_get (&node->peers, id);
  const struct top_vm *vm = top_vm_by_id (&node->vms, id);

  if (peer == NULL)
    {
      peer = rw_xcalloc (1, sizeof *peer);
      peer->id = id;
      rw_str_copy (peer->name, sizeof peer->name, name);
      rw_map_put (&node->peers, id, peer);
    }
  if (vm != NULL)
    {
      rw_str_copy (peer->addr.host, sizeof peer->addr.host, vm->addr);
      peer->addr.port = vm->rpc_port;
    }
  return peer;
}

/* Sets OUT to the versions of this daemon's documents.  The key of the map
   that changed last is set only for NOD_MAP_KEY_ANNOUNCE_TIME after the
   change, and belongs to the scratch arena; later the digest of the maps shows
   which peer is behind.  */
void
nod_fill_versions (const struct nod_node *node, struct wir_versions *out)
{
  struct cnf_versions versions;
  struct rw_arena *scratch = (struct rw_arena *)&node->scratch;

  cnf_versions (&node->conf, &versions);
  if (node->now > node->map_changed_at + NOD_MAP_KEY_ANNOUNCE_TIME)
    versions.map_key[0] = '\0';
  *out = (struct wir_versions){ .rules = versions.rules,
                                .vms = versions.vms,
                                .maps_digest = versions.maps_digest,
                                .map_key = rw_arena_str (
                                    scratch, rw_str_from (versions.map_key)),
                                .map_version = versions.map_version };
}

/* Handles the document versions in a message of PEER: fetches the documents
   that are newer there.  */
void
nod_on_peer_versions (struct nod_node *node, struct nod_peer *peer,
                      const struct wir_versions *versions)
{
  struct cnf_versions theirs = { .rules = versions->rules,
                                 .vms = versions->vms,
                                 .maps_digest = versions->maps_digest,
                                 .map_version = versions->map_version };
  struct cnf_fetch fetches[8];
  size_t count;

  peer->rules_version = versions->rules;
  peer->last_heard_at = node->now;
  if (!nod_enabled (node, NOD_MECH_SPREAD))
    return;
  rw_str_copy (theirs.map_key, sizeof theirs.map_key, versions->map_key);
  count = cnf_on_versions (&node->conf, peer->id, &theirs, node->now, fetches,
                           RW_ARRAY_LEN (fetches));
  for (size_t i = 0; i < count; i++)
    nod_fetch (node, peer, &fetches[i]);
  if (count == 0)
    cnf_on_peer_synced (&node->conf, peer->id);
}

/* Sends MSG as a datagram to TO, with the document versions set.  */
static void
send_datagram (struct nod_node *node, const struct nod_addr *to,
               struct wir_msg *msg)
{
  struct nod_action *action;
  struct rw_err err = { 0 };
  struct rw_buf data;
  int rc;

  rw_buf_init (&data);
  nod_fill_versions (node, &msg->versions);
  rc = wir_encode (msg, &data, &err);
  if (rc < 0 && msg->u.probe.lease_count > 1)
    {
      /* The message is too long for a datagram.  Half of the lease entries
         are omitted, which for their groups has the effect of a lost probe.
         The limits of lib/lease make this rare.  */
      msg->u.probe.lease_count /= 2;
      rw_buf_finish (&data);
      send_datagram (node, to, msg);
      return;
    }
  if (rc < 0)
    {
      nod_log (node, NOD_LOG_ERROR, "control", "A probe was not sent: %s.",
               err.detail);
      rw_buf_finish (&data);
      return;
    }
  sta_inc (node->metrics.control_messages);
  sta_add (node->metrics.control_bytes, data.len);
  action = nod_add_action (node, NOD_SEND_DATAGRAM);
  action->u.datagram.to = *to;
  action->data = data;
}

/* Sets the sender of PROBE and adds membership changes for the member TO.  */
static void
fill_probe (struct nod_node *node, struct wir_probe *probe, struct rw_str to)
{
  struct mem_change changes[MEM_CHANGES_MAX];
  size_t count = mem_pick_changes (&node->members, to, changes);

  probe->vm = node->settings.vm;
  probe->incarnation = node->settings.incarnation;
  for (size_t i = 0; i < count; i++)
    probe->changes[i] = (struct wir_change){
      .vm = rw_arena_str (&node->scratch, rw_str_from (changes[i].name)),
      .addr = rw_arena_str (&node->scratch, rw_str_from (changes[i].addr)),
      .port = changes[i].port,
      .state = (enum wir_member_state)changes[i].state,
      .incarnation = changes[i].incarnation,
      .counter = changes[i].counter
    };
  probe->change_count = (uint32_t)count;
}

/* Adds to PROBE the lease entries of the groups in which this daemon and the
   daemon PEER both vote.  */
static void
fill_lease_probe (struct nod_node *node, struct wir_probe *probe,
                  uint64_t peer)
{
  struct lea_probe_entry entries[LEA_ENTRIES_MAX];
  size_t count = lea_build_probe (&node->leases, peer, node->now, entries);

  probe->leases
      = rw_arena_zalloc (&node->scratch, count, sizeof *probe->leases);
  probe->lease_count = (uint32_t)count;
  for (size_t i = 0; i < count; i++)
    probe->leases[i] = (struct wir_lease){ .group = entries[i].key,
                                           .electorate = entries[i].hash,
                                           .claimed = entries[i].claim,
                                           .released = entries[i].released };
}

/* Records a probe that is sent to PEER, to be matched with its reply, and
   returns its xid.  The record is freed with the reply or after
   NOD_PROBE_RETENTION_TIME.  MEMBER_SEQ is the sequence number of lib/member,
   0 if it did not ask for the probe.  */
static uint32_t
record_probe (struct nod_node *node, uint64_t peer, uint32_t member_seq)
{
  struct nod_probe *probe = rw_xcalloc (1, sizeof *probe);

  probe->xid = ++node->last_xid;
  probe->peer = peer;
  probe->sent_at = node->now;
  probe->member_seq = member_seq;
  rw_map_put (&node->probes, probe->xid, probe);
  return probe->xid;
}

/* Sends a probe to PEER, with the lease entries of the groups in which both
   vote.  If TARGET is not empty, the probe asks the peer to probe that VM, and
   has no lease entries.  */
static void
send_probe (struct nod_node *node, uint64_t peer_id, struct rw_str peer,
            const struct nod_addr *to, struct rw_str target,
            uint32_t member_seq)
{
  struct wir_msg msg = { .type = WIR_PROBE_CALL };

  msg.xid = record_probe (node, peer_id, member_seq);
  msg.u.probe.indirect_vm = target;
  fill_probe (node, &msg.u.probe, peer);
  if (target.len == 0)
    fill_lease_probe (node, &msg.u.probe, peer_id);
  send_datagram (node, to, &msg);
}

static struct nod_addr
entry_addr (const struct mem_entry *entry)
{
  struct nod_addr addr = { .port = entry->port };

  rw_str_copy (addr.host, sizeof addr.host, rw_str_from (entry->addr));
  return addr;
}

/* Sends the probe OUT of lib/member: direct, or a request to another member to
   probe the target.  */
static void
send_member_probe (struct nod_node *node, const struct mem_send *out)
{
  const struct mem_entry *to
      = out->kind == MEM_SEND_PROBE_REQUEST ? out->via : out->target;
  struct nod_addr addr = entry_addr (to);
  struct rw_str target = RW_LIT ("");
  struct rw_str name = rw_arena_str (&node->scratch, rw_str_from (to->name));

  if (out->kind == MEM_SEND_PROBE_REQUEST)
    target = rw_arena_str (&node->scratch, rw_str_from (out->target->name));
  send_probe (node, to->id, name, &addr, target, out->seq);
}

/* Probes the peers of the settings, while this daemon has no VM list.  */
static void
probe_seeds (struct nod_node *node)
{
  if (node->vms.version != 0 || node->now < node->next_seed_probe_at)
    return;
  node->next_seed_probe_at = node->now + SEED_PROBE_INTERVAL;
  for (size_t i = 0; i < node->settings.peer_count; i++)
    send_probe (node, 0, RW_LIT (""), &node->settings.peers[i], RW_LIT (""),
                0);
}

/* Frees the probes without a reply that are older than
   NOD_PROBE_RETENTION_TIME.  They are collected first, since the map must not
   change during the scan.  */
static void
drop_expired_probes (struct nod_node *node)
{
  size_t position = 0;
  struct nod_probe *probe;
  struct nod_probe *old = NULL;

  if (node->now < node->expired_probes_dropped_at + NOD_PROBE_RETENTION_TIME)
    return;
  node->expired_probes_dropped_at = node->now;
  while ((probe = rw_map_next (&node->probes, &position)) != NULL)
    if (probe->sent_at + NOD_PROBE_RETENTION_TIME < node->now)
      {
        probe->next = old;
        old = probe;
      }
  while (old != NULL)
    {
      probe = old;
      old = probe->next;
      rw_map_remove (&node->probes, probe->xid);
      free (probe);
    }
}

/* Sends the probes that are due.  */
void
nod_control_tick (struct nod_node *node)
{
  struct mem_send out;
  uint64_t id;

  for (;;)
    {
      mem_tick (&node->members, node->now, &out);
      if (out.kind == MEM_SEND_NONE)
        break;
      send_member_probe (node, &out);
    }
  while ((id = lea_poll (&node->leases, node->now)) != 0)
    {
      const struct nod_peer *peer = nod_peer_by_id (node, id);

      if (peer != NULL && peer->addr.port != 0)
        send_probe (node, id, rw_str_from (peer->name), &peer->addr,
                    RW_LIT (""), 0);
    }
  probe_seeds (node);
  drop_expired_probes (node);
  nod_yield_tick (node);
}

/* Returns when nod_control_tick is due.  */
rw_time
nod_control_wakeup (const struct nod_node *node)
{
  rw_time members = mem_next_tick (&node->members);
  rw_time leases = lea_next_probe (&node->leases);
  rw_time at = members < leases ? members : leases;

  if (node->vms.version == 0 && node->settings.peer_count != 0
      && node->next_seed_probe_at < at)
    at = node->next_seed_probe_at;
  return at;
}

/* Sends the reply to probe XID of the daemon NAME at TO.  TARGET is the VM
   whose ack is relayed, or empty.  */
static void
send_reply (struct nod_node *node, const struct nod_addr *to, uint32_t xid,
            struct rw_str name, struct rw_str target,
            const struct lea_ack_entry *acks, size_t ack_count)
{
  struct wir_msg msg = { .type = WIR_PROBE_REPLY, .xid = xid };
  struct wir_probe *probe = &msg.u.probe;

  probe->indirect_vm = target;
  fill_probe (node, probe, name);
  probe->leases
      = rw_arena_zalloc (&node->scratch, ack_count, sizeof *probe->leases);
  probe->lease_count = (uint32_t)ack_count;
  for (size_t i = 0; i < ack_count; i++)
    {
      struct wir_lease *lease = &probe->leases[i];

      lease->group = acks[i].key;
      lease->electorate = acks[i].hash;
      lease->claimants = acks[i].claimants;
      lease->other_count = acks[i].other_count;
      memcpy (lease->others, acks[i].others, sizeof lease->others);
      lease->pred_count = acks[i].pred_count;
      for (size_t j = 0; j < acks[i].pred_count; j++)
        {
          lease->preds[j].hash = acks[i].preds[j].hash;
          lease->preds[j].stamp = acks[i].preds[j].stamp;
          lease->preds[j].member_count = acks[i].preds[j].member_count;
          memcpy (lease->preds[j].members, acks[i].preds[j].members,
                  sizeof lease->preds[j].members);
        }
    }
  send_datagram (node, to, &msg);
}

/* Passes the sender of MSG and its membership changes to lib/member, and its
   document versions to lib/conf.  A sender without a known address gets that
   of the datagram.  */
static void
on_sender (struct nod_node *node, const struct nod_addr *from,
           const struct wir_msg *msg)
{
  const struct wir_probe *probe = &msg->u.probe;
  struct mem_change changes[MEM_CHANGES_MAX];
  struct nod_peer *peer = nod_peer_get (node, probe->vm);

  if (peer->addr.port == 0)
    peer->addr = *from;
  for (size_t i = 0; i < probe->change_count; i++)
    {
      const struct wir_change *in = &probe->changes[i];

      changes[i] = (struct mem_change){ .port = in->port,
                                        .incarnation = in->incarnation,
                                        .counter = in->counter,
                                        .state = (enum mem_state)in->state };
      rw_str_copy (changes[i].name, sizeof changes[i].name, in->vm);
      rw_str_copy (changes[i].addr, sizeof changes[i].addr, in->addr);
    }
  mem_on_message (&node->members, probe->vm, probe->incarnation, node->now);
  mem_on_changes (&node->members, changes, probe->change_count, node->now);
  nod_on_peer_versions (node, peer, &msg->versions);
}

/* Handles a request to probe another member.  */
static void
on_indirect_probe (struct nod_node *node, const struct wir_msg *msg)
{
  struct mem_send out;

  mem_on_probe_request (&node->members, msg->u.probe.vm,
                        msg->u.probe.indirect_vm, msg->xid, node->now, &out);
  if (out.kind == MEM_SEND_PROBE)
    send_member_probe (node, &out);
}

/* Handles a probe: replies with the acks of its lease entries.  */
static void
on_probe (struct nod_node *node, const struct nod_addr *from,
          const struct wir_msg *msg)
{
  const struct wir_probe *probe = &msg->u.probe;
  struct lea_probe_entry entries[WIR_MAX_LEASES];
  struct lea_ack_entry *acks;
  size_t count = probe->lease_count;

  if (probe->indirect_vm.len != 0
      && !rw_str_eq (probe->indirect_vm, node->settings.vm))
    {
      on_indirect_probe (node, msg);
      return;
    }
  for (size_t i = 0; i < count; i++)
    entries[i] = (struct lea_probe_entry){ probe->leases[i].group,
                                           probe->leases[i].electorate,
                                           probe->leases[i].claimed,
                                           probe->leases[i].released };
  acks = rw_arena_zalloc (&node->scratch, count, sizeof *acks);
  count = lea_on_probe (&node->leases, rw_hash (probe->vm), probe->incarnation,
                        entries, count, node->now, acks);
  send_reply (node, from, msg->xid, probe->vm, RW_LIT (""), acks, count);
}

/* Passes the lease acks of the reply to PENDING to lib/lease.  */
static void
on_acks (struct nod_node *node, const struct nod_probe *pending,
         const struct wir_probe *probe)
{
  struct lea_ack_entry *acks
      = rw_arena_zalloc (&node->scratch, probe->lease_count, sizeof *acks);

  for (size_t i = 0; i < probe->lease_count; i++)
    {
      const struct wir_lease *in = &probe->leases[i];

      acks[i].key = in->group;
      acks[i].hash = in->electorate;
      acks[i].claimants = (uint8_t)in->claimants;
      acks[i].other_count = (uint8_t)in->other_count;
      memcpy (acks[i].others, in->others, sizeof acks[i].others);
      acks[i].pred_count = (uint8_t)in->pred_count;
      for (size_t j = 0; j < in->pred_count; j++)
        {
          acks[i].preds[j].hash = in->preds[j].hash;
          acks[i].preds[j].stamp = in->preds[j].stamp;
          acks[i].preds[j].member_count = (uint8_t)in->preds[j].member_count;
          memcpy (acks[i].preds[j].members, in->preds[j].members,
                  sizeof acks[i].preds[j].members);
        }
    }
  lea_on_ack (&node->leases, pending->peer, pending->sent_at, acks,
              probe->lease_count, node->now);
}

/* Relays the ack of TARGET to the member that requested the probe as SEQ.  */
static void
relay_ack (struct nod_node *node, const struct mem_entry *requester,
           uint32_t seq, struct rw_str target)
{
  struct nod_addr addr = entry_addr (requester);
  struct rw_str name
      = rw_arena_str (&node->scratch, rw_str_from (requester->name));

  send_reply (node, &addr, seq, name, target, NULL, 0);
}

/* Handles the reply to a probe.  Only a reply of the probed daemon itself
   counts for leases, not a relayed ack.  */
static void
on_probe_reply (struct nod_node *node, const struct wir_msg *msg)
{
  struct nod_probe *pending = rw_map_remove (&node->probes, msg->xid);
  const struct wir_probe *probe = &msg->u.probe;
  const struct mem_entry *requester;
  uint32_t seq;

  if (pending == NULL)
    return;
  if (probe->indirect_vm.len == 0 && pending->peer == rw_hash (probe->vm))
    on_acks (node, pending, probe);
  if (pending->member_seq != 0
      && mem_on_ack (&node->members, pending->member_seq, node->now,
                     &requester, &seq))
    relay_ack (node, requester, seq, probe->vm);
  free (pending);
}

/* Handles a datagram.  One that this daemon itself sent is ignored.  */
int
nod_on_datagram (struct nod_node *node, const struct nod_addr *from,
                 struct rw_str data, rw_time now, struct rw_err *err)
{
  struct wir_msg msg;
  struct rw_str peer = rw_str_from (from->host);
  int rc;

  node->now = now;
  rc = wir_decode (data, peer, &node->scratch, &msg, err);
  if (rc == 0 && msg.type != WIR_PROBE_CALL && msg.type != WIR_PROBE_REPLY)
    rc = rw_err_set (err, RW_E_PARSE, "datagram", peer,
                     "%s does not belong in a datagram",
                     wir_type_name (msg.type));
  if (rc < 0)
    {
      sta_inc (node->metrics.malformed);
      rw_arena_reset (&node->scratch);
      return rc;
    }
  if (!rw_str_eq (msg.u.probe.vm, node->settings.vm))
    {
      on_sender (node, from, &msg);
      if (msg.type == WIR_PROBE_CALL)
        on_probe (node, from, &msg);
      else
        on_probe_reply (node, &msg);
    }
  nod_control_tick (node);
  nod_run_pending (node);
  return 0;
}
