#include "group.h"

/* What the votes are counted for: the tenure, or the right to act for one
   target, for which acks that name a member of higher rank do not count.
   GUARD is the member whose HANDOFF stands in for the warm-up, or 0.  */
struct question
{
  const struct lea_leases *leases;
  const struct lea_group *group;
  bool for_target;
  uint64_t target;
  rw_time now;
  uint64_t guard;
};

static bool
is_overridden (const struct question *q, uint64_t id)
{
  for (size_t i = 0; i < q->leases->override_count; i++)
    {
      const struct lea_override *o = &q->leases->overrides[i];

      if (o->target == q->target && o->holder == id && q->now < o->until)
        return true;
    }
  return false;
}

/* Whether the claim of the VM ID hinders this daemon to act.  A guard keeps
   only members of lower rank than its own away.  */
static bool
hinders (const struct question *q, uint64_t id)
{
  if (!q->for_target || id == q->leases->settings.self)
    return false;
  if (q->guard != 0 && id != q->guard
      && top_outranks (q->target, id, q->guard))
    return true;
  return top_outranks (q->target, id, q->leases->settings.self)
         && !is_overridden (q, id);
}

static bool
is_clean (const struct question *q, const struct lea_vote *vote)
{
  for (size_t i = 0; i < q->group->now.member_count; i++)
    if ((vote->claimants >> i & 1) != 0
        && hinders (q, q->group->now.members[i]))
      return false;
  for (size_t i = 0; i < vote->other_count; i++)
    if (hinders (q, vote->others[i]))
      return false;
  return true;
}

/* The time at which this daemon would last have acked itself: now, or, for a
   target, the moment before the first claim of a member of higher rank.  */
static rw_time
own_vote (const struct question *q)
{
  const struct lea_group *g = q->group;
  rw_time at = q->now;

  if (q->now < g->ready_at)
    return 0;
  for (size_t i = 0; i < g->claim_count; i++)
    if (lea_claim_live (&g->claims[i], q->now,
                        lea_window (&q->leases->settings))
        && hinders (q, g->claims[i].id) && g->claims[i].first < at)
      at = g->claims[i].first;
  return at;
}

/* The send time of the member's newest ack that counts; 0: none.  */
static rw_time
vote_time (const struct question *q, uint64_t id)
{
  const struct lea_vote *vote;

  if (id == q->leases->settings.self)
    return own_vote (q);
  vote = lea_vote_find (q->group, id);
  return vote != NULL && vote->moved && is_clean (q, vote) ? vote->sent : 0;
}

/* The end of the tenure by the COUNT members: the NEED-th newest vote + T.  */
static rw_time
majority_end (const struct question *q, const uint64_t *members, size_t count,
              size_t need)
{
  rw_time newest[TOP_ELECTORATE_MAX] = { 0 };

  if (need == 0)
    return q->now + q->leases->settings.tenure;
  if (need > count)
    return 0;
  for (size_t i = 0; i < count; i++)
    {
      rw_time at = vote_time (q, members[i]);
      size_t j = i;

      for (; j > 0 && newest[j - 1] < at; j--)
        newest[j] = newest[j - 1];
      newest[j] = at;
    }
  return newest[need - 1] != 0 ? newest[need - 1] + q->leases->settings.tenure
                               : 0;
}

static bool
is_strict (const struct lea_old *old)
{
  return (old->pred.stamp & LEA_STAMP_STRICT) != 0;
}

static rw_time
pred_end (const struct question *q, const struct lea_old *old)
{
  size_t need = (size_t)old->pred.count / 2 + 1;
  size_t off = lea_old_off (q->leases, q->group, old, q->now);

  return majority_end (q, old->pred.members, old->pred.count,
                       need > off ? need - off : 0);
}

/* The end by the present electorate and by each open predecessor.  */
static rw_time
counted_end (const struct question *q)
{
  const struct lea_group *g = q->group;
  rw_time end;

  if (!g->member || q->now < g->blocked_until)
    return 0;
  end = majority_end (q, g->now.members, g->now.member_count,
                      g->now.member_count / 2 + 1);
  if (!lea_rule_on (&q->leases->settings, LEA_RULE_SETTLED))
    return end;
  for (size_t i = 0; i < g->old_count; i++)
    if (!g->olds[i].closed && !is_strict (&g->olds[i]))
      {
        rw_time by_pred = pred_end (q, &g->olds[i]);

        if (by_pred < end)
          end = by_pred;
      }
  return end;
}

static rw_time
kept_end (const struct question *q)
{
  const struct lea_group *g = q->group;

  if (g->kept_end <= q->now || own_vote (q) < q->now)
    return 0;
  for (size_t i = 0; i < g->kept_count; i++)
    if (hinders (q, g->kept_names[i]))
      return 0;
  return g->kept_end;
}

static rw_time
end_of (const struct question *q)
{
  rw_time counted = counted_end (q);
  rw_time kept = kept_end (q);

  if (q->leases->stopping)
    return 0;
  return counted > kept ? counted : kept;
}

/* Whether the daemon is tenured, by the last update.  */
bool
lea_tenured (const struct lea_group *g, rw_time now)
{
  return g->end > now;
}

/* Recomputes the end of the tenure and notes where a gap ended.  */
void
lea_tenure_update (const struct lea_leases *leases, struct lea_group *g,
                   rw_time now)
{
  struct question q = { .leases = leases, .group = g, .now = now };
  rw_time end = end_of (&q);

  if (g->end <= now)
    g->since = now;
  g->end = end;
}

static void
keep_name (struct lea_group *g, uint64_t id)
{
  for (size_t i = 0; i < g->kept_count; i++)
    if (g->kept_names[i] == id)
      return;
  if (g->kept_count < LEA_NAMES_MAX)
    g->kept_names[g->kept_count++] = id;
  else
    g->kept_end = 0;
}

/* Saves what remains of the tenure, with the claimants that its acks name,
   before another electorate comes into force.  Those of an earlier change
   stay named.  */
void
lea_keep_tenure (const struct lea_leases *leases, struct lea_group *g,
                 rw_time now)
{
  if (g->kept_end <= now)
    g->kept_count = 0;
  lea_tenure_update (leases, g, now);
  g->kept_end = g->end;
  for (size_t v = 0; v < g->vote_count; v++)
    {
      const struct lea_vote *vote = &g->votes[v];

      for (size_t i = 0; vote->moved && i < g->now.member_count; i++)
        if ((vote->claimants >> i & 1) != 0)
          keep_name (g, g->now.members[i]);
      for (size_t i = 0; vote->moved && i < vote->other_count; i++)
        keep_name (g, vote->others[i]);
    }
}

static bool
has_open_strict (const struct lea_group *g)
{
  for (size_t i = 0; i < g->old_count; i++)
    if (!g->olds[i].closed && is_strict (&g->olds[i]))
      return true;
  return false;
}

/* Whether the daemon is tenured for long enough that others know of it.  */
bool
lea_warm (const struct lea_leases *leases, const struct lea_group *g,
          rw_time now)
{
  return lea_tenured (g, now)
         && now - g->since >= lea_window (&leases->settings);
}

/* The end of the right to act by the HANDOFF messages that were received from
   members of lower rank.  Those of higher rank stop, and do not guard.  */
static rw_time
guarded_end (struct question *q)
{
  rw_time best = 0;

  for (size_t i = 0; i < q->leases->override_count; i++)
    {
      const struct lea_override *o = &q->leases->overrides[i];
      rw_time end;

      if (o->target != q->target || o->until <= q->now
          || !top_outranks (q->target, q->leases->settings.self, o->holder))
        continue;
      q->guard = o->holder;
      end = end_of (q);
      end = end < o->until ? end : o->until;
      best = end > best ? end : best;
    }
  q->guard = 0;
  return best;
}

static bool
is_handed (const struct question *q)
{
  for (size_t i = 0; i < q->leases->handed_count; i++)
    if (q->leases->handed[i].target == q->target
        && q->now < q->leases->handed[i].until)
      return true;
  return false;
}

/* Returns until when this daemon may act for the target; 0 if it may not.  */
rw_time
lea_target_end (const struct lea_leases *leases, const struct lea_group *g,
                uint64_t target, rw_time now)
{
  const struct lea_settings *s = &leases->settings;
  struct question q
      = { leases, g, lea_rule_on (s, LEA_RULE_NAMING), target, now, 0 };
  rw_time end;

  if (!lea_tenured (g, now) || is_handed (&q))
    return 0;
  if (lea_rule_on (s, LEA_RULE_SETTLED) && has_open_strict (g))
    return 0;
  if (lea_rule_on (s, LEA_RULE_WARM_UP) && !lea_warm (leases, g, now))
    end = guarded_end (&q);
  else
    end = end_of (&q);
  return end > now ? end : 0;
}
