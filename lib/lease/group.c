#include "group.h"

#include <stdlib.h>
#include <string.h>

/* Returns whether the VM votes in the electorate.  */
bool
lea_is_member (const struct top_electorate *e, uint64_t id)
{
  for (size_t i = 0; i < e->member_count; i++)
    if (e->members[i] == id)
      return true;
  return false;
}

static int
compare_ids (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

/* Returns whether the VM is on the VM list, live or leaving.  */
bool
lea_is_on_vm_list (const struct lea_leases *leases, uint64_t id)
{
  return leases->vm_count > 0
         && bsearch (&id, leases->vms, leases->vm_count, sizeof id,
                     compare_ids)
                != NULL;
}

/* Returns whether the claim was last seen at most MAX_AGE ago.  */
bool
lea_claim_is_recent (const struct lea_claim *claim, rw_time now,
                     rw_time max_age)
{
  return now - claim->last_seen <= max_age;
}

static void
expire_claims (struct lea_group *g, rw_time now, rw_time max_age)
{
  size_t kept = 0;

  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_is_recent (&g->claims[i], now, max_age))
      g->claims[kept++] = g->claims[i];
  g->claim_count = kept;
}

/* Notes a claim of the process INCARNATION of the VM ID, and forgets claims
   older than MAX_AGE.  Returns false if there is no room; then the probe must
   not be acknowledged, because later acks could not name the claimant.  */
bool
lea_claim_note (struct lea_group *g, uint64_t id, uint64_t incarnation,
                rw_time now, rw_time max_age)
{
  expire_claims (g, now, max_age);
  for (size_t i = 0; i < g->claim_count; i++)
    if (g->claims[i].id == id && g->claims[i].incarnation == incarnation)
      {
        g->claims[i].last_seen = now;
        return true;
      }
  if (g->claim_count == LEA_CLAIMS_MAX)
    return false;
  g->claims[g->claim_count++]
      = (struct lea_claim){ id, incarnation, now, now };
  return true;
}

/* Forgets the claim of a process that released the group.  The claims of other
   processes of the same VM stay: a release may arrive late, and an exchange of
   a killed process may end after the release by the process that follows it.
 */
void
lea_claim_drop (struct lea_group *g, uint64_t id, uint64_t incarnation)
{
  for (size_t i = 0; i < g->claim_count; i++)
    if (g->claims[i].id == id && g->claims[i].incarnation == incarnation)
      {
        g->claims[i] = g->claims[--g->claim_count];
        return;
      }
}

/* Returns the vote of the VM ID, or null if it votes neither in the electorate
   nor in a predecessor.  */
struct lea_vote *
lea_vote_find (const struct lea_group *g, uint64_t id)
{
  for (size_t i = 0; i < g->vote_count; i++)
    if (g->votes[i].id == id)
      return &g->votes[i];
  return NULL;
}

static void
add_vote (const struct lea_leases *leases, struct lea_group *g, uint64_t id)
{
  if (id == leases->settings.self || lea_vote_find (g, id) != NULL
      || g->vote_count == LEA_VOTES_MAX)
    return;
  g->votes[g->vote_count++] = (struct lea_vote){ .id = id };
}

/* Adds an empty vote for each voter of the electorate and of the open
   predecessors that has none, if this daemon is a member.  Existing votes
   stay.  */
void
lea_votes_rebuild (const struct lea_leases *leases, struct lea_group *g)
{
  if (!g->member)
    return;
  if (g->votes == NULL)
    g->votes = rw_xcalloc (LEA_VOTES_MAX, sizeof *g->votes);
  for (size_t i = 0; i < g->electorate.member_count; i++)
    add_vote (leases, g, g->electorate.members[i]);
  for (size_t i = 0; i < g->pred_count; i++)
    if (!g->preds[i].closed)
      for (size_t j = 0; j < g->preds[i].pred.member_count; j++)
        add_vote (leases, g, g->preds[i].pred.members[j]);
}

/* Notes since when the members of a predecessor are off the VM list.  */
void
lea_pred_note_off_list (const struct lea_leases *leases,
                        struct lea_tracked_pred *tracked, rw_time now)
{
  for (size_t i = 0; i < tracked->pred.member_count; i++)
    if (lea_is_on_vm_list (leases, tracked->pred.members[i]))
      tracked->off_since[i] = RW_TIME_NEVER;
    else if (tracked->off_since[i] == RW_TIME_NEVER)
      tracked->off_since[i] = now;
}

static void
start_tracking (struct lea_tracked_pred *tracked, const struct lea_pred *pred,
                rw_time now)
{
  tracked->pred = *pred;
  tracked->closed = false;
  tracked->added = now;
  tracked->majority_since = RW_TIME_NEVER;
  for (size_t i = 0; i < TOP_ELECTORATE_MAX; i++)
    tracked->off_since[i] = RW_TIME_NEVER;
}

/* Returns whether a newer predecessor may take the slot: this one is closed,
   or so old that a daemon without a vote would have dropped it.  */
static bool
is_replaceable (const struct lea_tracked_pred *tracked, rw_time now)
{
  return tracked->closed || now - tracked->added >= LEA_PRED_REPORT_TIME;
}

/* Returns a slot for one more predecessor: a free one, or that of the
   replaceable one with the lowest stamp; null if there is neither.  */
static struct lea_tracked_pred *
pred_slot (struct lea_group *g, rw_time now)
{
  struct lea_tracked_pred *slot = NULL;

  if (g->pred_count < LEA_PREDS_MAX)
    return &g->preds[g->pred_count++];
  for (size_t i = 0; i < g->pred_count; i++)
    if (is_replaceable (&g->preds[i], now)
        && (slot == NULL || g->preds[i].pred.stamp < slot->pred.stamp))
      slot = &g->preds[i];
  return slot;
}

/* Tracks a predecessor, this daemon's own or one that an ack reported.  A
   closed one is opened again if PRED reports a later replacement of it.
   Returns false if there is no room.  */
bool
lea_pred_add (const struct lea_leases *leases, struct lea_group *g,
              const struct lea_pred *pred, rw_time now)
{
  struct lea_tracked_pred *tracked = NULL;

  if (pred->hash == g->electorate.hash || pred->member_count == 0)
    return true;
  for (size_t i = 0; i < g->pred_count; i++)
    if (g->preds[i].pred.hash == pred->hash)
      tracked = &g->preds[i];
  if (tracked != NULL && tracked->pred.stamp >= pred->stamp)
    return true;
  if (tracked != NULL && !tracked->closed)
    {
      tracked->pred.stamp = pred->stamp;
      return true;
    }
  if (tracked == NULL)
    tracked = pred_slot (g, now);
  if (tracked == NULL)
    return false;
  start_tracking (tracked, pred, now);
  lea_pred_note_off_list (leases, tracked, now);
  lea_votes_rebuild (leases, g);
  return true;
}

static bool
has_recent_claim (const struct lea_leases *leases, const struct lea_group *g,
                  uint64_t id, rw_time now)
{
  for (size_t i = 0; i < g->claim_count; i++)
    if (g->claims[i].id == id
        && lea_claim_is_recent (&g->claims[i], now,
                                lea_warm_up_time (&leases->settings)))
      return true;
  return false;
}

/* Returns how many members of a predecessor have been off the VM list for
   LEA_OFF_LIST_GRACE and have no recent claim.  */
size_t
lea_pred_off_list_count (const struct lea_leases *leases,
                         const struct lea_group *g,
                         const struct lea_tracked_pred *tracked, rw_time now)
{
  size_t off = 0;

  for (size_t i = 0; i < tracked->pred.member_count; i++)
    if (tracked->off_since[i] != RW_TIME_NEVER
        && now - tracked->off_since[i] >= LEA_OFF_LIST_GRACE
        && !has_recent_claim (leases, g, tracked->pred.members[i], now))
      off++;
  return off;
}

/* Returns how many members of a predecessor, this daemon included, are known
   to have adopted the present electorate.  */
static size_t
adopted_count (const struct lea_leases *leases, const struct lea_group *g,
               const struct lea_tracked_pred *tracked)
{
  size_t adopted = 0;

  for (size_t i = 0; i < tracked->pred.member_count; i++)
    {
      const struct lea_vote *vote
          = lea_vote_find (g, tracked->pred.members[i]);

      if (tracked->pred.members[i] == leases->settings.self
          || (vote != NULL && vote->adopted))
        adopted++;
    }
  return adopted;
}

/* Closes a predecessor if a majority of it has moved on, and has been known to
   for 2T + margin.  A member has moved on if it has adopted the present
   electorate or is off the VM list, as lea_pred_off_list_count counts it.  */
static void
pred_update (const struct lea_leases *leases, struct lea_group *g,
             struct lea_tracked_pred *tracked, rw_time now)
{
  size_t moved_on = adopted_count (leases, g, tracked)
                    + lea_pred_off_list_count (leases, g, tracked, now);

  if (moved_on < (size_t)tracked->pred.member_count / 2 + 1)
    tracked->majority_since = RW_TIME_NEVER;
  else if (tracked->majority_since == RW_TIME_NEVER)
    tracked->majority_since = now;
  else if (now - tracked->majority_since
           >= lea_warm_up_time (&leases->settings))
    tracked->closed = true;
}

/* Closes the predecessors of which a majority is known to have adopted the
   present electorate for 2T + margin.  A daemon without a vote receives no
   acks, so it cannot know this; it drops predecessors after
   LEA_PRED_REPORT_TIME.  */
void
lea_preds_update (const struct lea_leases *leases, struct lea_group *g,
                  rw_time now)
{
  size_t kept = 0;

  for (size_t i = 0; i < g->pred_count; i++)
    {
      struct lea_tracked_pred *tracked = &g->preds[i];

      if (g->member && !tracked->closed)
        pred_update (leases, g, tracked, now);
      if (!g->member && now - tracked->added >= LEA_PRED_REPORT_TIME)
        continue;
      g->preds[kept++] = *tracked;
    }
  g->pred_count = kept;
}

/* Stops tracking the electorate in force, which may have been a predecessor.
 */
static void
drop_current (struct lea_group *g)
{
  size_t kept = 0;

  for (size_t i = 0; i < g->pred_count; i++)
    if (g->preds[i].pred.hash != g->electorate.hash)
      g->preds[kept++] = g->preds[i];
  g->pred_count = kept;
}

/* Puts the electorate NEXT into force; the present one becomes a predecessor.
   The tenure continues until its end, unless the number of groups changed:
   then the group has other targets.  */
void
lea_group_change (const struct lea_leases *leases, struct lea_group *g,
                  const struct top_electorate *next, uint64_t stamp,
                  rw_time now)
{
  bool regrouped = g->electorate.group_count != next->group_count;
  struct lea_pred pred
      = { .hash = g->electorate.hash,
          .stamp = 2 * stamp | (regrouped ? LEA_STAMP_REGROUPED : 0),
          .member_count = (uint8_t)g->electorate.member_count };

  memcpy (pred.members, g->electorate.members, sizeof pred.members);
  lea_preds_update (leases, g, now);
  lea_save_prev_tenure (leases, g, now);
  if (regrouped)
    g->prev_tenure_end = g->tenure_end = 0;
  g->electorate = *next;
  g->member = lea_is_member (next, leases->settings.self);
  g->vote_count = 0;
  drop_current (g);
  for (size_t i = 0; i < g->pred_count; i++)
    g->preds[i].majority_since = RW_TIME_NEVER;
  if (!lea_pred_add (leases, g, &pred, now))
    g->blocked_until = now + LEA_PRED_REPORT_TIME;
  lea_votes_rebuild (leases, g);
}

/* Frees what the group owns.  */
void
lea_group_finish (struct lea_group *g)
{
  free (g->votes);
  g->votes = NULL;
}
