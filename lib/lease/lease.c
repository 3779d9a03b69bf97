#include "lease.h"

#include <stdlib.h>
#include <string.h>

#include "group.h"

/* Shortest time between two recomputations of all tenures by lea_poll.  Acks
   update tenures at once; only tenures that need no other voter, and the
   closing of predecessors, wait for this.  */
#define REFRESH_INTERVAL (10 * RW_MSEC)

/* A VM to probe.  */
struct lea_peer
{
  uint64_t id;
  rw_time next_probe;
  size_t next_group; /* first group that the next message may contain */
};

void
lea_settings_default (struct lea_settings *settings, uint64_t self)
{
  *settings = (struct lea_settings){ .self = self,
                                     .tenure = LEA_TENURE,
                                     .margin = LEA_MARGIN,
                                     .probe_interval = LEA_PROBE_INTERVAL };
}

void
lea_init (struct lea_leases *leases, const struct lea_settings *settings,
          rw_time now)
{
  memset (leases, 0, sizeof *leases);
  leases->settings = *settings;
  leases->started = now;
}

void
lea_finish (struct lea_leases *leases)
{
  for (size_t i = 0; i < leases->group_count; i++)
    lea_group_finish (&leases->groups[i]);
  free (leases->groups);
  free (leases->peers);
  free (leases->vms);
  free (leases->received_handoffs);
  free (leases->sent_handoffs);
  memset (leases, 0, sizeof *leases);
}

static int
compare_groups (const void *a, const void *b)
{
  uint64_t x = ((const struct lea_group *)a)->electorate.group_key;
  uint64_t y = ((const struct lea_group *)b)->electorate.group_key;

  return x < y ? -1 : x > y;
}

static int
compare_key (const void *key, const void *element)
{
  uint64_t x = *(const uint64_t *)key;
  uint64_t y = ((const struct lea_group *)element)->electorate.group_key;

  return x < y ? -1 : x > y;
}

static struct lea_group *
find_group (const struct lea_leases *leases, uint64_t key)
{
  return leases->group_count == 0
             ? NULL
             : bsearch (&key, leases->groups, leases->group_count,
                        sizeof *leases->groups, compare_key);
}

static int
compare_ids (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

static void
set_vms (struct lea_leases *leases, const uint64_t *vms, size_t count)
{
  free (leases->vms);
  leases->vms = rw_xcalloc (count, sizeof *vms);
  if (count > 0)
    memcpy (leases->vms, vms, count * sizeof *vms);
  leases->vm_count = count;
  if (count > 1)
    qsort (leases->vms, count, sizeof *vms, compare_ids);
}

static uint32_t
greatest_common_divisor (uint32_t a, uint32_t b)
{
  while (b != 0)
    {
      uint32_t remainder = a % b;

      a = b;
      b = remainder;
    }
  return a;
}

/* Returns whether a target of group OLD may now be in group NEW, because the
   number of groups of their data centre changed.  */
static bool
may_share_targets (const struct top_electorate *old,
                   const struct top_electorate *new)
{
  uint32_t divisor;

  if (old->dc_id != new->dc_id || old->group_count == new->group_count)
    return false;
  divisor = greatest_common_divisor (old->group_count, new->group_count);
  return divisor != 0 && old->group % divisor == new->group % divisor;
}

/* Adds as predecessors of G the groups that may have had targets of G before
   the number of groups changed.  */
static void
add_regrouped_preds (const struct lea_leases *leases, struct lea_group *g,
                     uint64_t stamp, rw_time now)
{
  for (size_t i = 0; i < leases->group_count; i++)
    {
      const struct top_electorate *e = &leases->groups[i].electorate;
      struct lea_pred pred = { .hash = e->hash,
                               .stamp = 2 * stamp | LEA_STAMP_REGROUPED,
                               .member_count = (uint8_t)e->member_count };

      if (!may_share_targets (e, &g->electorate))
        continue;
      memcpy (pred.members, e->members, sizeof pred.members);
      if (!lea_pred_add (leases, g, &pred, now))
        g->blocked_until = now + LEA_PRED_REPORT_TIME;
    }
}

/* Sets up G as a copy of the group OLD with the electorate E or, if OLD is
   null, as a new group.  A group that appears after the first lea_set_groups
   gets a quarantine from NOW, because this daemon may have known it before and
   have forgotten its claims.  The votes of OLD move to G.  */
static void
init_group (const struct lea_leases *leases, struct lea_group *g,
            struct lea_group *old, const struct top_electorate *e,
            uint64_t stamp, rw_time now)
{
  rw_time warm_up = lea_warm_up_time (&leases->settings);

  if (old != NULL)
    {
      *g = *old;
      old->votes = NULL;
      if (g->electorate.hash != e->hash)
        lea_group_change (leases, g, e, stamp, now);
      return;
    }
  g->electorate = *e;
  g->member = lea_is_member (e, leases->settings.self);
  g->quarantine_end
      = (leases->groups == NULL ? leases->started : now) + warm_up;
  if (!lea_rule_enabled (&leases->settings, LEA_RULE_QUARANTINE))
    g->quarantine_end = leases->started;
  lea_votes_rebuild (leases, g);
}

/* Notes which members of the group's predecessors are off the VM list.  */
static void
note_off_list (struct lea_leases *leases, struct lea_group *g, rw_time now)
{
  for (size_t i = 0; i < g->pred_count; i++)
    lea_pred_note_off_list (leases, &g->preds[i], now);
}

static void
add_peer (struct lea_peer *peers, size_t *count, uint64_t id)
{
  for (size_t i = 0; i < *count; i++)
    if (peers[i].id == id)
      return;
  peers[(*count)++] = (struct lea_peer){ .id = id };
}

/* Returns the number of votes in all groups, an upper bound on the number of
   peers.  */
static size_t
count_votes (const struct lea_leases *leases)
{
  size_t count = 0;

  for (size_t i = 0; i < leases->group_count; i++)
    count += leases->groups[i].vote_count;
  return count;
}

static const struct lea_peer *
find_peer (const struct lea_leases *leases, uint64_t id)
{
  for (size_t i = 0; i < leases->peer_count; i++)
    if (leases->peers[i].id == id)
      return &leases->peers[i];
  return NULL;
}

/* Collects the voters of this daemon's groups that are on the VM list as
   peers.  The first probes of new peers are spread over one probe interval. */
static void
rebuild_peers (struct lea_leases *leases, rw_time now)
{
  struct lea_peer *peers
      = rw_xcalloc (count_votes (leases) + 1, sizeof *peers);
  size_t count = 0;

  for (size_t i = 0; i < leases->group_count; i++)
    for (size_t v = 0; v < leases->groups[i].vote_count; v++)
      if (lea_is_on_vm_list (leases, leases->groups[i].votes[v].id))
        add_peer (peers, &count, leases->groups[i].votes[v].id);
  for (size_t i = 0; i < count; i++)
    {
      const struct lea_peer *known = find_peer (leases, peers[i].id);

      if (known != NULL)
        peers[i] = *known;
      else
        peers[i].next_probe
            = now
              + leases->settings.probe_interval * (rw_time)i / (rw_time)count;
    }
  free (leases->peers);
  leases->peers = peers;
  leases->peer_count = count;
}

/* Closes predecessors and recomputes the tenures of all groups.  */
static void
refresh (struct lea_leases *leases, rw_time now)
{
  leases->refreshed_at = now;
  for (size_t i = 0; i < leases->group_count; i++)
    {
      struct lea_group *g = &leases->groups[i];

      if (g->pred_count > 0)
        lea_preds_update (leases, g, now);
      if (g->member || g->tenure_end > 0)
        lea_tenure_update (leases, g, now);
    }
}

/* Makes a probe of every peer due at NOW.  */
static void
probe_all_now (struct lea_leases *leases, rw_time now)
{
  for (size_t i = 0; i < leases->peer_count; i++)
    if (leases->peers[i].next_probe > now)
      {
        leases->peers[i].next_probe = now;
        leases->peers[i].next_group = 0;
      }
}

/* Groups that are not in ELECTORATES are forgotten.  A replaced electorate
   becomes a predecessor: until a majority of it is known to have adopted the
   present electorate for 2T + margin, a majority of it is needed, too.  */
void
lea_set_groups (struct lea_leases *leases, uint64_t stamp,
                const struct top_electorate *electorates, size_t count,
                const uint64_t *vms, size_t vm_count, rw_time now)
{
  struct lea_group *groups = rw_xcalloc (count, sizeof *groups);

  set_vms (leases, vms, vm_count);
  for (size_t i = 0; i < count; i++)
    {
      init_group (leases, &groups[i],
                  find_group (leases, electorates[i].group_key),
                  &electorates[i], stamp, now);
      add_regrouped_preds (leases, &groups[i], stamp, now);
      note_off_list (leases, &groups[i], now);
    }
  for (size_t i = 0; i < leases->group_count; i++)
    lea_group_finish (&leases->groups[i]);
  free (leases->groups);
  leases->groups = groups;
  leases->group_count = count;
  if (count > 1)
    qsort (groups, count, sizeof *groups, compare_groups);
  rebuild_peers (leases, now);
  refresh (leases, now);
  probe_all_now (leases, now);
}

rw_time
lea_next_probe (const struct lea_leases *leases)
{
  rw_time next = leases->refreshed_at + leases->settings.probe_interval;

  for (size_t i = 0; i < leases->peer_count; i++)
    if (leases->peers[i].next_probe < next)
      next = leases->peers[i].next_probe;
  return next;
}

uint64_t
lea_poll (struct lea_leases *leases, rw_time now)
{
  if (now - leases->refreshed_at >= REFRESH_INTERVAL)
    refresh (leases, now);
  for (size_t i = 0; i < leases->peer_count; i++)
    if (leases->peers[i].next_probe <= now)
      return leases->peers[i].id;
  return 0;
}

/* Returns whether PEER votes in the group or in an open predecessor of it.
   Returns false if this daemon does not vote in the group.  */
static bool
is_voter_for (const struct lea_group *g, uint64_t peer)
{
  if (!g->member)
    return false;
  if (lea_is_member (&g->electorate, peer))
    return true;
  for (size_t i = 0; i < g->pred_count; i++)
    for (size_t j = 0;
         !g->preds[i].closed && j < g->preds[i].pred.member_count; j++)
      if (g->preds[i].pred.members[j] == peer)
        return true;
  return false;
}

static struct lea_probe_entry
probe_entry (const struct lea_leases *leases, const struct lea_group *g,
             rw_time now)
{
  return (struct lea_probe_entry){ .key = g->electorate.group_key,
                                   .hash = g->electorate.hash,
                                   .claim = lea_is_tenured (g, now),
                                   .released = leases->released };
}

/* Sets when PEER is due again: one probe interval from now, or at once if it
   has more groups than fit.  */
size_t
lea_build_probe (struct lea_leases *leases, uint64_t peer, rw_time now,
                 struct lea_probe_entry entries[LEA_ENTRIES_MAX])
{
  struct lea_peer *p = (struct lea_peer *)find_peer (leases, peer);
  size_t count = 0;
  size_t i;

  if (p == NULL)
    return 0;
  for (i = p->next_group; i < leases->group_count; i++)
    {
      if (!is_voter_for (&leases->groups[i], peer))
        continue;
      if (count == LEA_ENTRIES_MAX)
        {
          p->next_group = i;
          return count;
        }
      entries[count++] = probe_entry (leases, &leases->groups[i], now);
    }
  p->next_group = 0;
  p->next_probe = now + leases->settings.probe_interval;
  return count;
}

static void
add_claimant (struct lea_ack_entry *ack, const struct top_electorate *e,
              uint64_t id)
{
  for (size_t i = 0; i < e->member_count; i++)
    if (e->members[i] == id)
      {
        ack->claimants |= (uint8_t)(1U << i);
        return;
      }
  for (size_t i = 0; i < ack->other_count; i++)
    if (ack->others[i] == id)
      return;
  if (ack->other_count < LEA_OTHERS_MAX)
    ack->others[ack->other_count++] = id;
}

static void
add_open_preds (const struct lea_group *g, struct lea_ack_entry *ack)
{
  for (size_t i = 0; i < g->pred_count; i++)
    if (!g->preds[i].closed)
      ack->preds[ack->pred_count++] = g->preds[i].pred;
}

static void
fill_ack (const struct lea_leases *leases, struct lea_group *g, rw_time now,
          struct lea_ack_entry *ack)
{
  rw_time warm_up = lea_warm_up_time (&leases->settings);

  ack->hash = g->electorate.hash;
  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_is_recent (&g->claims[i], now, warm_up))
      add_claimant (ack, &g->electorate, g->claims[i].id);
  if (lea_is_tenured (g, now))
    add_claimant (ack, &g->electorate, leases->settings.self);
  if (lea_rule_enabled (&leases->settings, LEA_RULE_PREDECESSORS))
    {
      lea_preds_update (leases, g, now);
      add_open_preds (g, ack);
    }
}

/* Notes the claim or release of one entry of a probe and fills ACK.  Returns
   false if the entry must not be acknowledged, such as when ACK might not name
   all claimants.  */
static bool
answer_entry (struct lea_leases *leases, uint64_t from, uint64_t incarnation,
              const struct lea_probe_entry *entry, rw_time now,
              struct lea_ack_entry *ack)
{
  struct lea_group *g = find_group (leases, entry->key);

  memset (ack, 0, sizeof *ack);
  ack->key = entry->key;
  if (g == NULL)
    return true;
  if (entry->released)
    lea_claim_drop (g, from, incarnation);
  else if (entry->claim
           && !lea_claim_note (g, from, incarnation, now,
                               lea_warm_up_time (&leases->settings)))
    return false;
  if (now < g->quarantine_end || now < g->blocked_until)
    return false;
  fill_ack (leases, g, now, ack);
  return ack->other_count < LEA_OTHERS_MAX;
}

/* Estimates the size of an entry in XDR, in bytes: 32 for its fixed part, 24
   for that of each predecessor, and 8 for each VM id.  */
static size_t
ack_size (const struct lea_ack_entry *ack)
{
  size_t bytes = 32 + 8 * (size_t)ack->other_count;

  for (size_t i = 0; i < ack->pred_count; i++)
    bytes += 24 + 8 * (size_t)ack->preds[i].member_count;
  return bytes;
}

/* The first entry rotates from probe to probe, so that all are acknowledged in
   turn if they do not fit into one message.  */
size_t
lea_on_probe (struct lea_leases *leases, uint64_t from, uint64_t incarnation,
              const struct lea_probe_entry *entries, size_t count, rw_time now,
              struct lea_ack_entry *acks)
{
  size_t ack_count = 0;
  size_t bytes = 0;
  size_t first = leases->ack_rotation++;

  for (size_t i = 0; i < count; i++)
    {
      if (!answer_entry (leases, from, incarnation,
                         &entries[(first + i) % count], now, &acks[ack_count]))
        continue;
      bytes += ack_size (&acks[ack_count]);
      if (bytes <= LEA_ACK_BYTES_MAX)
        ack_count++;
    }
  return ack_count;
}

/* Tracks the predecessors that an ack reports.  Returns false if there is no
   room; then the ack must not be counted.  */
static bool
track_preds (const struct lea_leases *leases, struct lea_group *g,
             const struct lea_ack_entry *ack, rw_time now)
{
  if (!lea_rule_enabled (&leases->settings, LEA_RULE_PREDECESSORS))
    return true;
  for (size_t i = 0; i < ack->pred_count; i++)
    if (!lea_pred_add (leases, g, &ack->preds[i], now))
      return false;
  return true;
}

/* Counts one entry of an ack.  Returns true if predecessors that it reports
   added voters.  */
static bool
count_ack (const struct lea_leases *leases, uint64_t from, rw_time sent,
           const struct lea_ack_entry *ack, rw_time now)
{
  struct lea_group *g = find_group (leases, ack->key);
  struct lea_vote *vote;
  size_t old_vote_count;

  if (g == NULL || !g->member || ack->hash != g->electorate.hash)
    return false;
  old_vote_count = g->vote_count;
  vote = lea_vote_find (g, from);
  if (vote == NULL || !track_preds (leases, g, ack, now))
    return g->vote_count != old_vote_count;
  if (!vote->adopted || sent > vote->sent)
    {
      vote->sent = sent;
      vote->claimants = ack->claimants;
      vote->other_count = ack->other_count;
      memcpy (vote->others, ack->others, sizeof vote->others);
    }
  vote->adopted = true;
  return g->vote_count != old_vote_count;
}

/* A daemon that becomes tenured claims the group at once.  */
void
lea_on_ack (struct lea_leases *leases, uint64_t from, rw_time sent,
            const struct lea_ack_entry *acks, size_t count, rw_time now)
{
  bool new_voters = false;
  bool became_tenured = false;

  if (sent < leases->started || sent > now)
    return;
  for (size_t i = 0; i < count; i++)
    {
      struct lea_group *g = find_group (leases, acks[i].key);
      bool was_tenured = g != NULL && lea_is_tenured (g, now);

      if (count_ack (leases, from, sent, &acks[i], now))
        new_voters = true;
      if (g == NULL)
        continue;
      lea_preds_update (leases, g, now);
      lea_tenure_update (leases, g, now);
      became_tenured
          = became_tenured || (!was_tenured && lea_is_tenured (g, now));
    }
  if (new_voters)
    rebuild_peers (leases, now);
  if (became_tenured)
    probe_all_now (leases, now);
}

bool
lea_may_act (const struct lea_leases *leases, uint64_t key, uint64_t target,
             rw_time now, rw_time *until)
{
  const struct lea_group *g = find_group (leases, key);

  *until = g != NULL ? lea_act_end (leases, g, target, now) : 0;
  return *until > now;
}

/* Sets *BEST to ID if *BEST is 0 or of lower rank for the target.  */
static void
keep_higher_ranked (uint64_t target, uint64_t id, uint64_t *best)
{
  if (*best == 0 || top_outranks (target, id, *best))
    *best = id;
}

/* Returns the highest ranked VM whose claim was received within the last T, or
   0.  */
static uint64_t
highest_recent_claimant (const struct lea_leases *leases,
                         const struct lea_group *g, uint64_t target,
                         rw_time now)
{
  uint64_t best = 0;

  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_is_recent (&g->claims[i], now, leases->settings.tenure))
      keep_higher_ranked (target, g->claims[i].id, &best);
  return best;
}

uint64_t
lea_holder_hint (const struct lea_leases *leases, uint64_t key,
                 uint64_t target, rw_time now)
{
  const struct lea_group *g = find_group (leases, key);
  uint64_t best;

  if (g == NULL)
    return 0;
  best = highest_recent_claimant (leases, g, target, now);
  if (lea_is_tenured (g, now))
    keep_higher_ranked (target, leases->settings.self, &best);
  return best;
}

static void
expire_sent_handoffs (struct lea_leases *leases, rw_time now)
{
  size_t kept = 0;

  for (size_t i = 0; i < leases->sent_handoff_count; i++)
    if (now < leases->sent_handoffs[i].until)
      leases->sent_handoffs[kept++] = leases->sent_handoffs[i];
  leases->sent_handoff_count = kept;
}

static struct lea_sent_handoff *
find_sent_handoff (struct lea_leases *leases, uint64_t target)
{
  for (size_t i = 0; i < leases->sent_handoff_count; i++)
    if (leases->sent_handoffs[i].target == target)
      return &leases->sent_handoffs[i];
  return NULL;
}

static struct lea_sent_handoff *
add_sent_handoff (struct lea_leases *leases, uint64_t target,
                  uint64_t recipient, rw_time now)
{
  if (leases->sent_handoff_count == leases->sent_handoff_cap)
    {
      leases->sent_handoff_cap = 2 * leases->sent_handoff_cap + 8;
      leases->sent_handoffs = rw_xrealloc (
          leases->sent_handoffs,
          leases->sent_handoff_cap * sizeof *leases->sent_handoffs);
    }
  leases->sent_handoffs[leases->sent_handoff_count]
      = (struct lea_sent_handoff){ target, recipient, false, now, now };
  return &leases->sent_handoffs[leases->sent_handoff_count++];
}

/* Records that the target is handed to RECIPIENT now, and returns RECIPIENT.
   Two members must not have a valid HANDOFF of the target at the same time, so
   the result is 0 while an earlier one to another member is valid.  */
static uint64_t
record_handoff (struct lea_leases *leases, uint64_t target, uint64_t recipient,
                bool replaces_warm_up, rw_time now)
{
  struct lea_sent_handoff *handoff;

  expire_sent_handoffs (leases, now);
  handoff = find_sent_handoff (leases, target);
  if (handoff == NULL)
    handoff = add_sent_handoff (leases, target, recipient, now);
  if (handoff->recipient != recipient)
    return 0;
  handoff->replaces_warm_up = handoff->replaces_warm_up || replaces_warm_up;
  handoff->until = now + leases->settings.tenure + leases->settings.margin;
  return recipient;
}

uint64_t
lea_pick_successor (struct lea_leases *leases, uint64_t key, uint64_t target,
                    rw_time now)
{
  const struct lea_group *g = find_group (leases, key);
  uint64_t recipient = 0;

  if (g == NULL || !lea_is_warmed_up (leases, g, now))
    return 0;
  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_is_recent (&g->claims[i], now, leases->settings.tenure)
        && top_outranks (target, leases->settings.self, g->claims[i].id))
      keep_higher_ranked (target, g->claims[i].id, &recipient);
  return recipient != 0
             ? record_handoff (leases, target, recipient, false, now)
             : 0;
}

/* Returns the highest ranked VM whose claim was received within the last T or
   is named in an ack of a probe sent within the last T, or 0.  A claim may
   reach other voters before it reaches this daemon.  */
static uint64_t
highest_known_claimant (const struct lea_leases *leases,
                        const struct lea_group *g, uint64_t target,
                        rw_time now)
{
  uint64_t best = highest_recent_claimant (leases, g, target, now);

  for (size_t v = 0; v < g->vote_count; v++)
    {
      const struct lea_vote *vote = &g->votes[v];

      for (size_t i = 0; vote->adopted && i < g->electorate.member_count; i++)
        if ((vote->claimants >> i & 1) != 0
            && now - vote->sent < leases->settings.tenure
            && g->electorate.members[i] != leases->settings.self)
          keep_higher_ranked (target, g->electorate.members[i], &best);
    }
  return best;
}

/* Later than 2T + margin after the first HANDOFF, the recipient has warmed up
   and needs no further HANDOFF.  */
uint64_t
lea_yield (struct lea_leases *leases, uint64_t key, uint64_t target,
           rw_time now)
{
  const struct lea_group *g = find_group (leases, key);
  const struct lea_sent_handoff *handoff;
  uint64_t recipient;

  expire_sent_handoffs (leases, now);
  handoff = find_sent_handoff (leases, target);
  if (g == NULL || !lea_is_warmed_up (leases, g, now)
      || lea_act_end (leases, g, target, now) != 0)
    return 0;
  if (handoff != NULL
      && now - handoff->first_sent > lea_warm_up_time (&leases->settings))
    return 0;
  recipient = highest_known_claimant (leases, g, target, now);
  if (recipient == 0
      || !top_outranks (target, recipient, leases->settings.self))
    return 0;
  return record_handoff (leases, target, recipient, true, now);
}

/* The exchanges of this process must have ended, because other members forget
   its claims at once.  While the recipient of a HANDOFF of lea_yield has not
   warmed up, other members may not know the recipient's claim yet.  This
   daemon's claim must then still keep them from acting.  */
bool
lea_release (struct lea_leases *leases, rw_time now)
{
  for (size_t i = 0; i < leases->sent_handoff_count; i++)
    if (leases->sent_handoffs[i].replaces_warm_up
        && now < leases->sent_handoffs[i].until)
      return false;
  leases->released = true;
  refresh (leases, now);
  probe_all_now (leases, now);
  return true;
}

static void
expire_received_handoffs (struct lea_leases *leases, rw_time now)
{
  size_t kept = 0;

  for (size_t i = 0; i < leases->received_handoff_count; i++)
    if (now < leases->received_handoffs[i].until)
      leases->received_handoffs[kept++] = leases->received_handoffs[i];
  leases->received_handoff_count = kept;
}

static void
drop_received_handoff (struct lea_leases *leases, uint64_t target,
                       uint64_t sender)
{
  size_t kept = 0;

  for (size_t i = 0; i < leases->received_handoff_count; i++)
    if (leases->received_handoffs[i].target != target
        || leases->received_handoffs[i].sender != sender)
      leases->received_handoffs[kept++] = leases->received_handoffs[i];
  leases->received_handoff_count = kept;
}

/* Ignoring the sender's claim for one tenure after the sending is safe even if
   it restarts: it cannot act within 2T + margin of its start.  */
int
lea_on_handoff (struct lea_leases *leases, uint64_t key, uint64_t target,
                uint64_t holder, rw_time age, rw_time now)
{
  if (find_group (leases, key) == NULL)
    return RW_E_NOT_FOUND;
  if (age < 0 || age > LEA_HANDOFF_AGE_MAX)
    return RW_E_DEADLINE;
  expire_received_handoffs (leases, now);
  drop_received_handoff (leases, target, holder);
  if (leases->received_handoff_count == leases->received_handoff_cap)
    {
      leases->received_handoff_cap = 2 * leases->received_handoff_cap + 8;
      leases->received_handoffs = rw_xrealloc (
          leases->received_handoffs,
          leases->received_handoff_cap * sizeof *leases->received_handoffs);
    }
  leases->received_handoffs[leases->received_handoff_count++]
      = (struct lea_received_handoff){ target, holder,
                                       now - age + leases->settings.tenure };
  probe_all_now (leases, now);
  return 0;
}

size_t
lea_group_count (const struct lea_leases *leases)
{
  return leases->group_count;
}

void
lea_group_status (const struct lea_leases *leases, size_t index, rw_time now,
                  struct lea_status *status)
{
  const struct lea_group *g = &leases->groups[index];
  bool tenured = lea_is_tenured (g, now);

  *status = (struct lea_status){ .key = g->electorate.group_key,
                                 .hash = g->electorate.hash,
                                 .member = g->member,
                                 .settled = true,
                                 .tenured_since
                                 = tenured ? g->tenured_since : RW_TIME_NEVER,
                                 .tenure_end = tenured ? g->tenure_end : 0 };
  for (size_t i = 0; i < g->pred_count; i++)
    status->settled = status->settled && g->preds[i].closed;
}
