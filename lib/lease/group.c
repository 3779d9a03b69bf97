#include "group.h"

#include <stdlib.h>
#include <string.h>

/* Whether the VM votes in the electorate.  */
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

/* Whether the VM is on the VM list, live or leaving.  */
bool
lea_on_list (const struct lea_leases *leases, uint64_t id)
{
  return leases->vm_count > 0
         && bsearch (&id, leases->vms, leases->vm_count, sizeof id,
                     compare_ids)
                != NULL;
}

/* Whether the claim was seen within WINDOW.  */
bool
lea_claim_live (const struct lea_claim *claim, rw_time now, rw_time window)
{
  return now - claim->last <= window;
}

static void
claims_expire (struct lea_group *g, rw_time now, rw_time window)
{
  size_t kept = 0;

  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_live (&g->claims[i], now, window))
      g->claims[kept++] = g->claims[i];
  g->claim_count = kept;
}

/* Notes a claim.  Returns false if there is no room; the probe must not be
   acknowledged then, because later acks could not name the claimant.  */
bool
lea_claim_note (struct lea_group *g, uint64_t id, uint64_t incarnation,
                rw_time now, rw_time window)
{
  claims_expire (g, now, window);
  for (size_t i = 0; i < g->claim_count; i++)
    if (g->claims[i].id == id && g->claims[i].incarnation == incarnation)
      {
        g->claims[i].last = now;
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
   a killed process may outlive the release by its successor.  */
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

/* Returns the vote of a member of the electorate or of a predecessor, or
   null.  */
struct lea_vote *
lea_vote_find (const struct lea_group *g, uint64_t id)
{
  for (size_t i = 0; i < g->vote_count; i++)
    if (g->votes[i].id == id)
      return &g->votes[i];
  return NULL;
}

static void
vote_add (const struct lea_leases *leases, struct lea_group *g, uint64_t id)
{
  if (id == leases->settings.self || lea_vote_find (g, id) != NULL
      || g->vote_count == LEA_VOTES_MAX)
    return;
  g->votes[g->vote_count++] = (struct lea_vote){ .id = id };
}

/* Adds a vote for each voter that has none; the others stay.  */
void
lea_votes_rebuild (const struct lea_leases *leases, struct lea_group *g)
{
  if (!g->member)
    return;
  if (g->votes == NULL)
    g->votes = rw_xcalloc (LEA_VOTES_MAX, sizeof *g->votes);
  for (size_t i = 0; i < g->now.member_count; i++)
    vote_add (leases, g, g->now.members[i]);
  for (size_t i = 0; i < g->old_count; i++)
    if (!g->olds[i].closed)
      for (size_t j = 0; j < g->olds[i].pred.count; j++)
        vote_add (leases, g, g->olds[i].pred.members[j]);
}

/* Notes which members of a predecessor are off the VM list, and since when. */
void
lea_old_note_list (const struct lea_leases *leases, struct lea_old *old,
                   rw_time now)
{
  for (size_t i = 0; i < old->pred.count; i++)
    if (lea_on_list (leases, old->pred.members[i]))
      old->off_since[i] = RW_TIME_NEVER;
    else if (old->off_since[i] == RW_TIME_NEVER)
      old->off_since[i] = now;
}

static void
old_open (struct lea_old *old, const struct lea_pred *pred, rw_time now)
{
  old->pred = *pred;
  old->closed = false;
  old->added = now;
  old->majority_since = RW_TIME_NEVER;
  for (size_t i = 0; i < TOP_ELECTORATE_MAX; i++)
    old->off_since[i] = RW_TIME_NEVER;
}

/* Whether a predecessor may make room for a newer one: it is closed, or so old
   that a daemon with no vote would have dropped it.  */
static bool
is_droppable (const struct lea_old *old, rw_time now)
{
  return old->closed || now - old->added >= LEA_REPORT_TIME;
}

/* Returns a place for one more predecessor: a new one, or that of the
   droppable one with the lowest stamp; null if there is none.  */
static struct lea_old *
old_place (struct lea_group *g, rw_time now)
{
  struct lea_old *place = NULL;

  if (g->old_count < LEA_PREDS_MAX)
    return &g->olds[g->old_count++];
  for (size_t i = 0; i < g->old_count; i++)
    if (is_droppable (&g->olds[i], now)
        && (place == NULL || g->olds[i].pred.stamp < place->pred.stamp))
      place = &g->olds[i];
  return place;
}

/* Follows a predecessor, this daemon's own or one that an ack reported.  A
   closed one is opened again if it was abandoned later than the one known
   here.  Returns false if there is no room.  */
bool
lea_old_add (const struct lea_leases *leases, struct lea_group *g,
             const struct lea_pred *pred, rw_time now)
{
  struct lea_old *old = NULL;

  if (pred->hash == g->now.hash || pred->count == 0)
    return true;
  for (size_t i = 0; i < g->old_count; i++)
    if (g->olds[i].pred.hash == pred->hash)
      old = &g->olds[i];
  if (old != NULL && old->pred.stamp >= pred->stamp)
    return true;
  if (old != NULL && !old->closed)
    {
      old->pred.stamp = pred->stamp;
      return true;
    }
  if (old == NULL)
    old = old_place (g, now);
  if (old == NULL)
    return false;
  old_open (old, pred, now);
  lea_old_note_list (leases, old, now);
  lea_votes_rebuild (leases, g);
  return true;
}

static bool
has_live_claim (const struct lea_leases *leases, const struct lea_group *g,
                uint64_t id, rw_time now)
{
  for (size_t i = 0; i < g->claim_count; i++)
    if (g->claims[i].id == id
        && lea_claim_live (&g->claims[i], now, lea_window (&leases->settings)))
      return true;
  return false;
}

/* Returns how many members of a predecessor are off the VM list for the grace
   time and have not been seen to claim since.  */
size_t
lea_old_off (const struct lea_leases *leases, const struct lea_group *g,
             const struct lea_old *old, rw_time now)
{
  size_t off = 0;

  for (size_t i = 0; i < old->pred.count; i++)
    if (old->off_since[i] != RW_TIME_NEVER
        && now - old->off_since[i] >= LEA_OFF_LIST_GRACE
        && !has_live_claim (leases, g, old->pred.members[i], now))
      off++;
  return off;
}

static size_t
old_moved (const struct lea_leases *leases, const struct lea_group *g,
           const struct lea_old *old)
{
  size_t moved = 0;

  for (size_t i = 0; i < old->pred.count; i++)
    {
      const struct lea_vote *vote = lea_vote_find (g, old->pred.members[i]);

      if (old->pred.members[i] == leases->settings.self
          || (vote != NULL && vote->moved))
        moved++;
    }
  return moved;
}

static void
old_update (const struct lea_leases *leases, struct lea_group *g,
            struct lea_old *old, rw_time now)
{
  size_t gone = old_moved (leases, g, old) + lea_old_off (leases, g, old, now);

  if (gone < (size_t)old->pred.count / 2 + 1)
    old->majority_since = RW_TIME_NEVER;
  else if (old->majority_since == RW_TIME_NEVER)
    old->majority_since = now;
  else if (now - old->majority_since >= lea_window (&leases->settings))
    old->closed = true;
}

/* Closes the predecessors of which a majority is known to have moved for 2T +
   margin.  A daemon that has no vote cannot know; it drops them after
   LEA_REPORT_TIME.  */
void
lea_olds_update (const struct lea_leases *leases, struct lea_group *g,
                 rw_time now)
{
  size_t kept = 0;

  for (size_t i = 0; i < g->old_count; i++)
    {
      struct lea_old *old = &g->olds[i];

      if (g->member && !old->closed)
        old_update (leases, g, old, now);
      if (!g->member && now - old->added >= LEA_REPORT_TIME)
        continue;
      g->olds[kept++] = *old;
    }
  g->old_count = kept;
}

static void
forget_current (struct lea_group *g)
{
  size_t kept = 0;

  for (size_t i = 0; i < g->old_count; i++)
    if (g->olds[i].pred.hash != g->now.hash)
      g->olds[kept++] = g->olds[i];
  g->old_count = kept;
}

/* Puts another electorate into force.  What remains of the tenure is kept;
   the electorate until now becomes a predecessor.  */
void
lea_group_change (const struct lea_leases *leases, struct lea_group *g,
                  const struct top_electorate *next, uint64_t stamp,
                  rw_time now)
{
  bool strict = g->now.group_count != next->group_count;
  struct lea_pred pred
      = { .hash = g->now.hash,
          .stamp = 2 * stamp | (strict ? LEA_STAMP_STRICT : 0),
          .count = (uint8_t)g->now.member_count };

  memcpy (pred.members, g->now.members, sizeof pred.members);
  lea_olds_update (leases, g, now);
  lea_keep_tenure (leases, g, now);
  if (strict)
    g->kept_end = g->end = 0;
  g->now = *next;
  g->member = lea_is_member (next, leases->settings.self);
  g->vote_count = 0;
  forget_current (g);
  for (size_t i = 0; i < g->old_count; i++)
    g->olds[i].majority_since = RW_TIME_NEVER;
  if (!lea_old_add (leases, g, &pred, now))
    g->blocked_until = now + LEA_REPORT_TIME;
  lea_votes_rebuild (leases, g);
}

/* Frees what the group owns.  */
void
lea_group_finish (struct lea_group *g)
{
  free (g->votes);
  g->votes = NULL;
}
