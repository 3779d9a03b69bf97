#include "lease.h"

#include <stdlib.h>
#include <string.h>

#include "group.h"

/* Tenures change by acks; only those that need no other voter, and the closing
   of predecessors, wait for this.  */
#define REFRESH_INTERVAL (10 * RW_MSEC)

struct lea_peer
{
  uint64_t id;
  rw_time due;
  size_t cursor; /* groups before this one have had their turn */
};

/* Sets the production constants for the VM SELF.  */
void
lea_settings_default (struct lea_settings *settings, uint64_t self)
{
  *settings = (struct lea_settings){ .self = self,
                                     .tenure = LEA_TENURE,
                                     .margin = LEA_MARGIN,
                                     .probe_interval = LEA_PROBE_INTERVAL };
}

/* Starts with no group.  NOW is the start of the process, from which the start
   quarantine counts.  */
void
lea_init (struct lea_leases *leases, const struct lea_settings *settings,
          rw_time now)
{
  memset (leases, 0, sizeof *leases);
  leases->settings = *settings;
  leases->started = now;
}

/* Frees all state.  */
void
lea_finish (struct lea_leases *leases)
{
  for (size_t i = 0; i < leases->group_count; i++)
    lea_group_finish (&leases->groups[i]);
  free (leases->groups);
  free (leases->peers);
  free (leases->vms);
  free (leases->overrides);
  free (leases->handed);
  memset (leases, 0, sizeof *leases);
}

static int
compare_groups (const void *a, const void *b)
{
  uint64_t x = ((const struct lea_group *)a)->now.group_key;
  uint64_t y = ((const struct lea_group *)b)->now.group_key;

  return x < y ? -1 : x > y;
}

static int
compare_key (const void *key, const void *element)
{
  uint64_t x = *(const uint64_t *)key;
  uint64_t y = ((const struct lea_group *)element)->now.group_key;

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
set_list (struct lea_leases *leases, const uint64_t *vms, size_t count)
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
common_divisor (uint32_t a, uint32_t b)
{
  while (b != 0)
    {
      uint32_t rest = a % b;

      a = b;
      b = rest;
    }
  return a;
}

/* Whether a target of group OLD may now be in group NEW, because the number of
   groups of their data centre changed.  */
static bool
is_regrouped (const struct top_electorate *old,
              const struct top_electorate *new)
{
  uint32_t divisor;

  if (old->dc_id != new->dc_id || old->group_count == new->group_count)
    return false;
  divisor = common_divisor (old->group_count, new->group_count);
  return divisor != 0 && old->group % divisor == new->group % divisor;
}

/* Makes the groups that may have held targets of G, by another number of
   groups, its predecessors.  */
static void
add_regrouped (const struct lea_leases *leases, struct lea_group *g,
               uint64_t stamp, rw_time now)
{
  for (size_t i = 0; i < leases->group_count; i++)
    {
      const struct top_electorate *e = &leases->groups[i].now;
      struct lea_pred pred = { .hash = e->hash,
                               .stamp = 2 * stamp | LEA_STAMP_STRICT,
                               .count = (uint8_t)e->member_count };

      if (!is_regrouped (e, &g->now))
        continue;
      memcpy (pred.members, e->members, sizeof pred.members);
      if (!lea_old_add (leases, g, &pred, now))
        g->blocked_until = now + LEA_REPORT_TIME;
    }
}

/* Sets up G, which starts as a copy of the group BEFORE or, if that is null,
   empty.  A group that appears later than the first list gets the start
   quarantine, because it may have existed and been forgotten.  */
static void
place_group (const struct lea_leases *leases, struct lea_group *g,
             struct lea_group *before, const struct top_electorate *e,
             uint64_t stamp, rw_time now)
{
  rw_time window = lea_window (&leases->settings);

  if (before != NULL)
    {
      *g = *before;
      before->votes = NULL;
      if (g->now.hash != e->hash)
        lea_group_change (leases, g, e, stamp, now);
      return;
    }
  g->now = *e;
  g->member = lea_is_member (e, leases->settings.self);
  g->ready_at = (leases->groups == NULL ? leases->started : now) + window;
  if (!lea_rule_on (&leases->settings, LEA_RULE_QUARANTINE))
    g->ready_at = leases->started;
  lea_votes_rebuild (leases, g);
}

static void
note_list (struct lea_leases *leases, struct lea_group *g, rw_time now)
{
  for (size_t i = 0; i < g->old_count; i++)
    lea_old_note_list (leases, &g->olds[i], now);
}

static void
peer_add (struct lea_peer *peers, size_t *count, uint64_t id)
{
  for (size_t i = 0; i < *count; i++)
    if (peers[i].id == id)
      return;
  peers[(*count)++] = (struct lea_peer){ .id = id };
}

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

/* Collects the voters of this daemon's groups that are on the VM list.  New
   peers are probed within one interval, spread over it.  */
static void
peers_rebuild (struct lea_leases *leases, rw_time now)
{
  struct lea_peer *peers
      = rw_xcalloc (count_votes (leases) + 1, sizeof *peers);
  size_t count = 0;

  for (size_t i = 0; i < leases->group_count; i++)
    for (size_t v = 0; v < leases->groups[i].vote_count; v++)
      if (lea_on_list (leases, leases->groups[i].votes[v].id))
        peer_add (peers, &count, leases->groups[i].votes[v].id);
  for (size_t i = 0; i < count; i++)
    {
      const struct lea_peer *known = find_peer (leases, peers[i].id);

      if (known != NULL)
        peers[i] = *known;
      else
        peers[i].due
            = now
              + leases->settings.probe_interval * (rw_time)i / (rw_time)count;
    }
  free (leases->peers);
  leases->peers = peers;
  leases->peer_count = count;
}

static void
refresh (struct lea_leases *leases, rw_time now)
{
  leases->refreshed = now;
  for (size_t i = 0; i < leases->group_count; i++)
    {
      struct lea_group *g = &leases->groups[i];

      if (g->old_count > 0)
        lea_olds_update (leases, g, now);
      if (g->member || g->end > 0)
        lea_tenure_update (leases, g, now);
    }
}

/* Probes all peers at once.  */
static void
hurry (struct lea_leases *leases, rw_time now)
{
  for (size_t i = 0; i < leases->peer_count; i++)
    if (leases->peers[i].due > now)
      {
        leases->peers[i].due = now;
        leases->peers[i].cursor = 0;
      }
}

/* Puts the electorates of all groups into force.  Groups that are missing are
   forgotten.  A change of an electorate makes the old one a predecessor: until
   a majority of it is known to have moved, a majority of it is needed, too. */
void
lea_set_groups (struct lea_leases *leases, uint64_t stamp,
                const struct top_electorate *electorates, size_t count,
                const uint64_t *vms, size_t vm_count, rw_time now)
{
  struct lea_group *groups = rw_xcalloc (count, sizeof *groups);

  set_list (leases, vms, vm_count);
  for (size_t i = 0; i < count; i++)
    {
      place_group (leases, &groups[i],
                   find_group (leases, electorates[i].group_key),
                   &electorates[i], stamp, now);
      add_regrouped (leases, &groups[i], stamp, now);
      note_list (leases, &groups[i], now);
    }
  for (size_t i = 0; i < leases->group_count; i++)
    lea_group_finish (&leases->groups[i]);
  free (leases->groups);
  leases->groups = groups;
  leases->group_count = count;
  if (count > 1)
    qsort (groups, count, sizeof *groups, compare_groups);
  peers_rebuild (leases, now);
  refresh (leases, now);
  hurry (leases, now);
}

/* Returns when lea_poll is due.  */
rw_time
lea_next_probe (const struct lea_leases *leases)
{
  rw_time next = leases->refreshed + leases->settings.probe_interval;

  for (size_t i = 0; i < leases->peer_count; i++)
    if (leases->peers[i].due < next)
      next = leases->peers[i].due;
  return next;
}

/* Updates the tenures and returns the VM to probe now, or 0.  */
uint64_t
lea_poll (struct lea_leases *leases, rw_time now)
{
  if (now - leases->refreshed >= REFRESH_INTERVAL)
    refresh (leases, now);
  for (size_t i = 0; i < leases->peer_count; i++)
    if (leases->peers[i].due <= now)
      return leases->peers[i].id;
  return 0;
}

/* Whether the peer votes in the group or in an open predecessor of it.  */
static bool
concerns (const struct lea_group *g, uint64_t peer)
{
  if (!g->member)
    return false;
  if (lea_is_member (&g->now, peer))
    return true;
  for (size_t i = 0; i < g->old_count; i++)
    for (size_t j = 0; !g->olds[i].closed && j < g->olds[i].pred.count; j++)
      if (g->olds[i].pred.members[j] == peer)
        return true;
  return false;
}

static struct lea_probe_entry
probe_entry (const struct lea_leases *leases, const struct lea_group *g,
             rw_time now)
{
  return (struct lea_probe_entry){ .key = g->now.group_key,
                                   .hash = g->now.hash,
                                   .claim = lea_tenured (g, now),
                                   .released = leases->stopping };
}

/* Fills the entries of a probe for the peer that lea_poll returned, and sets
   when it is due again.  Returns their number, 0 to LEA_ENTRIES_MAX.  */
size_t
lea_build_probe (struct lea_leases *leases, uint64_t peer, rw_time now,
                 struct lea_probe_entry entries[LEA_ENTRIES_MAX])
{
  struct lea_peer *p = (struct lea_peer *)find_peer (leases, peer);
  size_t count = 0;
  size_t i;

  if (p == NULL)
    return 0;
  for (i = p->cursor; i < leases->group_count; i++)
    {
      if (!concerns (&leases->groups[i], peer))
        continue;
      if (count == LEA_ENTRIES_MAX)
        {
          p->cursor = i;
          return count;
        }
      entries[count++] = probe_entry (leases, &leases->groups[i], now);
    }
  p->cursor = 0;
  p->due = now + leases->settings.probe_interval;
  return count;
}

static void
ack_name (struct lea_ack_entry *ack, const struct top_electorate *e,
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
ack_preds (const struct lea_group *g, struct lea_ack_entry *ack)
{
  for (size_t i = 0; i < g->old_count; i++)
    if (!g->olds[i].closed)
      ack->preds[ack->pred_count++] = g->olds[i].pred;
}

static void
fill_ack (const struct lea_leases *leases, struct lea_group *g, rw_time now,
          struct lea_ack_entry *ack)
{
  rw_time window = lea_window (&leases->settings);

  ack->hash = g->now.hash;
  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_live (&g->claims[i], now, window))
      ack_name (ack, &g->now, g->claims[i].id);
  if (lea_tenured (g, now))
    ack_name (ack, &g->now, leases->settings.self);
  if (lea_rule_on (&leases->settings, LEA_RULE_SETTLED))
    {
      lea_olds_update (leases, g, now);
      ack_preds (g, ack);
    }
}

/* Answers one entry of a probe.  Returns false if it must not be acknowledged.
 */
static bool
answer (struct lea_leases *leases, uint64_t from, uint64_t incarnation,
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
                               lea_window (&leases->settings)))
    return false;
  if (now < g->ready_at || now < g->blocked_until)
    return false;
  fill_ack (leases, g, now, ack);
  return ack->other_count < LEA_OTHERS_MAX;
}

/* Estimates the size of an entry in XDR.  */
static size_t
ack_size (const struct lea_ack_entry *ack)
{
  size_t size = 32 + 8 * (size_t)ack->other_count;

  for (size_t i = 0; i < ack->pred_count; i++)
    size += 24 + 8 * (size_t)ack->preds[i].count;
  return size;
}

/* Notes the claims of a probe and fills ACKS, which has room for COUNT.  The
   first entry rotates, so that all are acknowledged in turn if they do not fit
   together.  */
size_t
lea_on_probe (struct lea_leases *leases, uint64_t from, uint64_t incarnation,
              const struct lea_probe_entry *entries, size_t count, rw_time now,
              struct lea_ack_entry *acks)
{
  size_t used = 0;
  size_t size = 0;
  size_t first = leases->ack_turn++;

  for (size_t i = 0; i < count; i++)
    {
      if (!answer (leases, from, incarnation, &entries[(first + i) % count],
                   now, &acks[used]))
        continue;
      size += ack_size (&acks[used]);
      if (size <= LEA_ACK_BYTES_MAX)
        used++;
    }
  return used;
}

static bool
adopt_preds (const struct lea_leases *leases, struct lea_group *g,
             const struct lea_ack_entry *ack, rw_time now)
{
  if (!lea_rule_on (&leases->settings, LEA_RULE_SETTLED))
    return true;
  for (size_t i = 0; i < ack->pred_count; i++)
    if (!lea_old_add (leases, g, &ack->preds[i], now))
      return false;
  return true;
}

/* Counts one entry.  Returns true if predecessors became known by it.  */
static bool
count_ack (const struct lea_leases *leases, uint64_t from, rw_time sent,
           const struct lea_ack_entry *ack, rw_time now)
{
  struct lea_group *g = find_group (leases, ack->key);
  struct lea_vote *vote;
  size_t votes;

  if (g == NULL || !g->member || ack->hash != g->now.hash)
    return false;
  votes = g->vote_count;
  vote = lea_vote_find (g, from);
  if (vote == NULL || !adopt_preds (leases, g, ack, now))
    return g->vote_count != votes;
  if (!vote->moved || sent > vote->sent)
    {
      vote->sent = sent;
      vote->claimants = ack->claimants;
      vote->other_count = ack->other_count;
      memcpy (vote->others, ack->others, sizeof vote->others);
    }
  vote->moved = true;
  return g->vote_count != votes;
}

/* Counts the acks of the probe that was sent to FROM at SENT and updates the
   tenures.  An ack of a probe sent before this process started, or after NOW,
   is ignored.  A daemon that becomes tenured claims at once.  */
void
lea_on_ack (struct lea_leases *leases, uint64_t from, rw_time sent,
            const struct lea_ack_entry *acks, size_t count, rw_time now)
{
  bool more_peers = false;
  bool claims = false;

  if (sent < leases->started || sent > now)
    return;
  for (size_t i = 0; i < count; i++)
    {
      struct lea_group *g = find_group (leases, acks[i].key);
      bool before = g != NULL && lea_tenured (g, now);

      if (count_ack (leases, from, sent, &acks[i], now))
        more_peers = true;
      if (g == NULL)
        continue;
      lea_olds_update (leases, g, now);
      lea_tenure_update (leases, g, now);
      claims = claims || (!before && lea_tenured (g, now));
    }
  if (more_peers)
    peers_rebuild (leases, now);
  if (claims)
    hurry (leases, now);
}

/* Returns whether this daemon may act for the target of group KEY at NOW, and
   until when.  */
bool
lea_may_act (const struct lea_leases *leases, uint64_t key, uint64_t target,
             rw_time now, rw_time *until)
{
  const struct lea_group *g = find_group (leases, key);

  *until = g != NULL ? lea_target_end (leases, g, target, now) : 0;
  return *until > now;
}

static void
consider (uint64_t target, uint64_t id, uint64_t *best)
{
  if (*best == 0 || top_outranks (target, id, *best))
    *best = id;
}

static uint64_t
best_claimant (const struct lea_leases *leases, const struct lea_group *g,
               uint64_t target, rw_time now)
{
  uint64_t best = 0;

  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_live (&g->claims[i], now, leases->settings.tenure))
      consider (target, g->claims[i].id, &best);
  return best;
}

/* Returns the member believed to hold the target, or 0.  Only voters see
   claims.  */
uint64_t
lea_hint (const struct lea_leases *leases, uint64_t key, uint64_t target,
          rw_time now)
{
  const struct lea_group *g = find_group (leases, key);
  uint64_t best;

  if (g == NULL)
    return 0;
  best = best_claimant (leases, g, target, now);
  if (lea_tenured (g, now))
    consider (target, leases->settings.self, &best);
  return best;
}

static void
handed_expire (struct lea_leases *leases, rw_time now)
{
  size_t kept = 0;

  for (size_t i = 0; i < leases->handed_count; i++)
    if (now < leases->handed[i].until)
      leases->handed[kept++] = leases->handed[i];
  leases->handed_count = kept;
}

static struct lea_handed *
handed_find (struct lea_leases *leases, uint64_t target)
{
  for (size_t i = 0; i < leases->handed_count; i++)
    if (leases->handed[i].target == target)
      return &leases->handed[i];
  return NULL;
}

static struct lea_handed *
handed_add (struct lea_leases *leases, uint64_t target, uint64_t to,
            rw_time now)
{
  if (leases->handed_count == leases->handed_cap)
    {
      leases->handed_cap = 2 * leases->handed_cap + 8;
      leases->handed = rw_xrealloc (
          leases->handed, leases->handed_cap * sizeof *leases->handed);
    }
  leases->handed[leases->handed_count]
      = (struct lea_handed){ target, to, false, now, now };
  return &leases->handed[leases->handed_count++];
}

/* Notes that the target is handed to TO now.  Two members must not have a
   valid HANDOFF of it at the same time, so another one is refused.  */
static uint64_t
hand_to (struct lea_leases *leases, uint64_t target, uint64_t to, bool guards,
         rw_time now)
{
  struct lea_handed *handed;

  handed_expire (leases, now);
  handed = handed_find (leases, target);
  if (handed == NULL)
    handed = handed_add (leases, target, to, now);
  if (handed->to != to)
    return 0;
  handed->guards = handed->guards || guards;
  handed->until = now + leases->settings.tenure + leases->settings.margin;
  return to;
}

/* Returns the member that succeeds this daemon at a planned stop, or 0.  */
uint64_t
lea_successor (struct lea_leases *leases, uint64_t key, uint64_t target,
               rw_time now)
{
  const struct lea_group *g = find_group (leases, key);
  uint64_t to = 0;

  if (g == NULL || !lea_warm (leases, g, now))
    return 0;
  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_live (&g->claims[i], now, leases->settings.tenure)
        && top_outranks (target, leases->settings.self, g->claims[i].id))
      consider (target, g->claims[i].id, &to);
  return to != 0 ? hand_to (leases, target, to, false, now) : 0;
}

/* The highest ranked claimant that this daemon heard or that counted acks
   name: a claim may reach the voters first.  */
static uint64_t
best_named (const struct lea_leases *leases, const struct lea_group *g,
            uint64_t target, rw_time now)
{
  uint64_t best = best_claimant (leases, g, target, now);

  for (size_t v = 0; v < g->vote_count; v++)
    {
      const struct lea_vote *vote = &g->votes[v];

      for (size_t i = 0; vote->moved && i < g->now.member_count; i++)
        if ((vote->claimants >> i & 1) != 0
            && now - vote->sent < leases->settings.tenure
            && g->now.members[i] != leases->settings.self)
          consider (target, g->now.members[i], &best);
    }
  return best;
}

/* Returns the member of higher rank that takes the target over, or 0.  After
   2T + margin it does not need this daemon any more.  */
uint64_t
lea_yield (struct lea_leases *leases, uint64_t key, uint64_t target,
           rw_time now)
{
  const struct lea_group *g = find_group (leases, key);
  const struct lea_handed *handed = handed_find (leases, target);
  uint64_t to;

  if (g == NULL || !lea_warm (leases, g, now)
      || lea_target_end (leases, g, target, now) != 0)
    return 0;
  if (handed != NULL && now - handed->first > lea_window (&leases->settings))
    return 0;
  to = best_named (leases, g, target, now);
  if (to == 0 || !top_outranks (target, to, leases->settings.self))
    return 0;
  return hand_to (leases, target, to, true, now);
}

/* Gives up all groups for good; this process never acts again.  Its exchanges
   must have ended, because its claims are forgotten at once.  Returns false if
   its claims must still stand for those of a member that is not yet warm.  */
bool
lea_release (struct lea_leases *leases, rw_time now)
{
  for (size_t i = 0; i < leases->handed_count; i++)
    if (leases->handed[i].guards && now < leases->handed[i].until)
      return false;
  leases->stopping = true;
  refresh (leases, now);
  hurry (leases, now);
  return true;
}

static void
overrides_expire (struct lea_leases *leases, rw_time now)
{
  size_t kept = 0;

  for (size_t i = 0; i < leases->override_count; i++)
    if (now < leases->overrides[i].until)
      leases->overrides[kept++] = leases->overrides[i];
  leases->override_count = kept;
}

static void
overrides_drop (struct lea_leases *leases, uint64_t target, uint64_t holder)
{
  size_t kept = 0;

  for (size_t i = 0; i < leases->override_count; i++)
    if (leases->overrides[i].target != target
        || leases->overrides[i].holder != holder)
      leases->overrides[kept++] = leases->overrides[i];
  leases->override_count = kept;
}

/* Accepts a HANDOFF.  A restarted holder cannot act within 2T + margin of its
   start, so ignoring its name for one tenure after the sending is safe.  */
int
lea_on_handoff (struct lea_leases *leases, uint64_t key, uint64_t target,
                uint64_t holder, rw_time age, rw_time now)
{
  if (find_group (leases, key) == NULL)
    return RW_E_NOT_FOUND;
  if (age < 0 || age > LEA_HANDOFF_AGE_MAX)
    return RW_E_DEADLINE;
  overrides_expire (leases, now);
  overrides_drop (leases, target, holder);
  if (leases->override_count == leases->override_cap)
    {
      leases->override_cap = 2 * leases->override_cap + 8;
      leases->overrides = rw_xrealloc (
          leases->overrides, leases->override_cap * sizeof *leases->overrides);
    }
  leases->overrides[leases->override_count++]
      = (struct lea_override){ target, holder,
                               now - age + leases->settings.tenure };
  hurry (leases, now);
  return 0;
}

/* Returns the number of groups, for lea_group_status.  */
size_t
lea_group_count (const struct lea_leases *leases)
{
  return leases->group_count;
}

/* Describes the group with that index, below lea_group_count.  */
void
lea_group_status (const struct lea_leases *leases, size_t index, rw_time now,
                  struct lea_status *status)
{
  const struct lea_group *g = &leases->groups[index];
  bool tenured = lea_tenured (g, now);

  *status = (struct lea_status){ .key = g->now.group_key,
                                 .hash = g->now.hash,
                                 .member = g->member,
                                 .settled = true,
                                 .tenured_since
                                 = tenured ? g->since : RW_TIME_NEVER,
                                 .tenure_end = tenured ? g->end : 0 };
  for (size_t i = 0; i < g->old_count; i++)
    status->settled = status->settled && g->olds[i].closed;
}
