#include "group.h"

/* What the votes are counted for: the tenure, or the right to act for one
   target, for which acks that name a member of higher rank do not count.  */
struct vote_query
{
  const struct lea_leases *leases;
  const struct lea_group *group;
  bool for_target; /* false: for the tenure */
  uint64_t target;
  rw_time now;
  uint64_t handoff_sender; /* its HANDOFF replaces the warm-up; 0: nobody's */
};

/* Returns whether a valid HANDOFF of the target from the VM ID was received.
 */
static bool
has_handed_over (const struct vote_query *q, uint64_t id)
{
  for (size_t i = 0; i < q->leases->received_handoff_count; i++)
    {
      const struct lea_received_handoff *handoff
          = &q->leases->received_handoffs[i];

      if (handoff->target == q->target && handoff->sender == id
          && q->now < handoff->until)
        return true;
    }
  return false;
}

/* Returns whether the claim of the VM ID keeps this daemon from acting for the
   target.  The claim of a member of higher rank does, unless that member sent
   a HANDOFF.  If this daemon acts by a HANDOFF before its warm-up, other
   members may not know its claim yet, and only the claim of the HANDOFF's
   sender keeps them from acting.  That works only for members that the sender
   outranks, so the claim of a member that outranks the sender blocks this
   daemon, too.  */
static bool
claim_blocks (const struct vote_query *q, uint64_t id)
{
  if (!q->for_target || id == q->leases->settings.self)
    return false;
  if (q->handoff_sender != 0 && id != q->handoff_sender
      && top_outranks (q->target, id, q->handoff_sender))
    return true;
  return top_outranks (q->target, id, q->leases->settings.self)
         && !has_handed_over (q, id);
}

/* Returns whether the voter's last ack counts: no claim that it names keeps
   this daemon from acting.  */
static bool
ack_counts (const struct vote_query *q, const struct lea_vote *vote)
{
  for (size_t i = 0; i < q->group->electorate.member_count; i++)
    if ((vote->claimants >> i & 1) != 0
        && claim_blocks (q, q->group->electorate.members[i]))
      return false;
  for (size_t i = 0; i < vote->other_count; i++)
    if (claim_blocks (q, vote->others[i]))
      return false;
  return true;
}

/* Returns when this daemon would last have sent itself an ack that counts:
   now, or when it first saw a claim that keeps it from acting for the target.
   Returns 0 during the start quarantine.  */
static rw_time
own_vote_time (const struct vote_query *q)
{
  const struct lea_group *g = q->group;
  rw_time at = q->now;

  if (q->now < g->quarantine_end)
    return 0;
  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_is_recent (&g->claims[i], q->now,
                             lea_warm_up_time (&q->leases->settings))
        && claim_blocks (q, g->claims[i].id) && g->claims[i].first_seen < at)
      at = g->claims[i].first_seen;
  return at;
}

/* Returns when the probe of the voter's last ack was sent, or 0 if there is no
   ack or it does not count.  */
static rw_time
vote_time (const struct vote_query *q, uint64_t id)
{
  const struct lea_vote *vote;

  if (id == q->leases->settings.self)
    return own_vote_time (q);
  vote = lea_vote_find (q->group, id);
  return vote != NULL && vote->adopted && ack_counts (q, vote) ? vote->sent
                                                               : 0;
}

/* Returns until when NEEDED of the COUNT members support this daemon: T after
   the NEEDED-th newest vote.  Returns 0 if they do not.  */
static rw_time
majority_end (const struct vote_query *q, const uint64_t *members,
              size_t count, size_t needed)
{
  rw_time newest[TOP_ELECTORATE_MAX] = { 0 };

  if (needed == 0)
    return q->now + q->leases->settings.tenure;
  if (needed > count)
    return 0;
  for (size_t i = 0; i < count; i++)
    {
      rw_time at = vote_time (q, members[i]);
      size_t j = i;

      for (; j > 0 && newest[j - 1] < at; j--)
        newest[j] = newest[j - 1];
      newest[j] = at;
    }
  return newest[needed - 1] != 0
             ? newest[needed - 1] + q->leases->settings.tenure
             : 0;
}

static bool
is_regrouped (const struct lea_tracked_pred *tracked)
{
  return (tracked->pred.stamp & LEA_STAMP_REGROUPED) != 0;
}

/* Returns until when a majority of a predecessor supports this daemon. Members
   that are off the VM list count as supporters.  */
static rw_time
pred_majority_end (const struct vote_query *q,
                   const struct lea_tracked_pred *tracked)
{
  size_t needed = (size_t)tracked->pred.member_count / 2 + 1;
  size_t off_list
      = lea_pred_off_list_count (q->leases, q->group, tracked, q->now);

  return majority_end (q, tracked->pred.members, tracked->pred.member_count,
                       needed > off_list ? needed - off_list : 0);
}

/* Returns until when majorities of the present electorate and of each open
   predecessor support this daemon.  Predecessors with another number of groups
   are left out: lea_act_end lets nobody act while one of them is open.  */
static rw_time
voted_end (const struct vote_query *q)
{
  const struct lea_group *g = q->group;
  rw_time end;

  if (!g->member || q->now < g->blocked_until)
    return 0;
  end = majority_end (q, g->electorate.members, g->electorate.member_count,
                      g->electorate.member_count / 2 + 1);
  if (!lea_rule_enabled (&q->leases->settings, LEA_RULE_PREDECESSORS))
    return end;
  for (size_t i = 0; i < g->pred_count; i++)
    if (!g->preds[i].closed && !is_regrouped (&g->preds[i]))
      {
        rw_time by_pred = pred_majority_end (q, &g->preds[i]);

        if (by_pred < end)
          end = by_pred;
      }
  return end;
}

/* Returns the end of the tenure under the previous electorate, or 0 if it has
   ended or if a claim keeps this daemon from acting for the target.  */
static rw_time
prev_tenure_end (const struct vote_query *q)
{
  const struct lea_group *g = q->group;

  if (g->prev_tenure_end <= q->now || own_vote_time (q) < q->now)
    return 0;
  for (size_t i = 0; i < g->prev_claimant_count; i++)
    if (claim_blocks (q, g->prev_claimants[i]))
      return 0;
  return g->prev_tenure_end;
}

static rw_time
tenure_end (const struct vote_query *q)
{
  rw_time voted = voted_end (q);
  rw_time prev = prev_tenure_end (q);

  if (q->leases->released)
    return 0;
  return voted > prev ? voted : prev;
}

/* Returns whether this daemon is tenured at NOW, as of the last call of
   lea_tenure_update.  */
bool
lea_is_tenured (const struct lea_group *g, rw_time now)
{
  return g->tenure_end > now;
}

/* Recomputes the end of the tenure.  If there was none, it starts now.  */
void
lea_tenure_update (const struct lea_leases *leases, struct lea_group *g,
                   rw_time now)
{
  struct vote_query q = { .leases = leases, .group = g, .now = now };
  rw_time end = tenure_end (&q);

  if (g->tenure_end <= now)
    g->tenured_since = now;
  g->tenure_end = end;
}

/* Adds a claimant that acks of the previous tenure name.  Without room for it
   that tenure must end, because a claim could be missed.  */
static void
save_claimant (struct lea_group *g, uint64_t id)
{
  for (size_t i = 0; i < g->prev_claimant_count; i++)
    if (g->prev_claimants[i] == id)
      return;
  if (g->prev_claimant_count < LEA_PREV_CLAIMANTS_MAX)
    g->prev_claimants[g->prev_claimant_count++] = id;
  else
    g->prev_tenure_end = 0;
}

/* Saves the end of the tenure and the claimants that its acks name, before
   another electorate comes into force.  Claimants saved at an earlier change
   stay while the tenure saved then lasts.  */
void
lea_save_prev_tenure (const struct lea_leases *leases, struct lea_group *g,
                      rw_time now)
{
  if (g->prev_tenure_end <= now)
    g->prev_claimant_count = 0;
  lea_tenure_update (leases, g, now);
  g->prev_tenure_end = g->tenure_end;
  for (size_t v = 0; v < g->vote_count; v++)
    {
      const struct lea_vote *vote = &g->votes[v];

      for (size_t i = 0; vote->adopted && i < g->electorate.member_count; i++)
        if ((vote->claimants >> i & 1) != 0)
          save_claimant (g, g->electorate.members[i]);
      for (size_t i = 0; vote->adopted && i < vote->other_count; i++)
        save_claimant (g, vote->others[i]);
    }
}

/* Returns whether a predecessor with another number of groups is open.  */
static bool
has_open_regrouped (const struct lea_group *g)
{
  for (size_t i = 0; i < g->pred_count; i++)
    if (!g->preds[i].closed && is_regrouped (&g->preds[i]))
      return true;
  return false;
}

/* Returns whether this daemon has been tenured for 2T + margin, so that the
   other members know its claim.  */
bool
lea_is_warmed_up (const struct lea_leases *leases, const struct lea_group *g,
                  rw_time now)
{
  return lea_is_tenured (g, now)
         && now - g->tenured_since >= lea_warm_up_time (&leases->settings);
}

/* Returns until when this daemon may act before its warm-up, by HANDOFF
   messages from members of lower rank, whose claims still keep others from
   acting.  A sender of higher rank is stopping, so its HANDOFF does not
   replace the warm-up.  */
static rw_time
handoff_end (struct vote_query *q)
{
  rw_time best = 0;

  for (size_t i = 0; i < q->leases->received_handoff_count; i++)
    {
      const struct lea_received_handoff *handoff
          = &q->leases->received_handoffs[i];
      rw_time end;

      if (handoff->target != q->target || handoff->until <= q->now
          || !top_outranks (q->target, q->leases->settings.self,
                            handoff->sender))
        continue;
      q->handoff_sender = handoff->sender;
      end = tenure_end (q);
      end = end < handoff->until ? end : handoff->until;
      best = end > best ? end : best;
    }
  q->handoff_sender = 0;
  return best;
}

/* Returns whether this daemon handed the target to another member, which may
   still be acting by that.  */
static bool
was_handed_over (const struct vote_query *q)
{
  for (size_t i = 0; i < q->leases->sent_handoff_count; i++)
    if (q->leases->sent_handoffs[i].target == q->target
        && q->now < q->leases->sent_handoffs[i].until)
      return true;
  return false;
}

/* Returns until when this daemon may act for the target; 0 if it may not.  */
rw_time
lea_act_end (const struct lea_leases *leases, const struct lea_group *g,
             uint64_t target, rw_time now)
{
  const struct lea_settings *s = &leases->settings;
  struct vote_query q
      = { leases, g, lea_rule_enabled (s, LEA_RULE_RANK), target, now, 0 };
  rw_time end;

  if (!lea_is_tenured (g, now) || was_handed_over (&q))
    return 0;
  if (lea_rule_enabled (s, LEA_RULE_PREDECESSORS) && has_open_regrouped (g))
    return 0;
  if (lea_rule_enabled (s, LEA_RULE_WARM_UP)
      && !lea_is_warmed_up (leases, g, now))
    end = handoff_end (&q);
  else
    end = tenure_end (&q);
  return end > now ? end : 0;
}
