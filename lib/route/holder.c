#include "route.h"

/* Prepares CORRECTION for a target about which no daemon has complained.  */
void
rte_correction_init (struct rte_correction *correction)
{
  *correction = (struct rte_correction){ 0 };
}

static bool
skipped (const struct rte_correction *correction, uint64_t member, rw_time now)
{
  for (size_t i = 0; i < RTE_DENIALS_MAX; i++)
    if (correction->denied[i] == member && correction->denied_until[i] > now)
      return true;
  return false;
}

/* Remembers MEMBER in the place that expires first.  */
static void
skip_member (struct rte_correction *correction, uint64_t member, rw_time now)
{
  size_t place = 0;

  for (size_t i = 0; i < RTE_DENIALS_MAX; i++)
    {
      if (correction->denied[i] == member)
        {
          place = i;
          break;
        }
      if (correction->denied_until[i] < correction->denied_until[place])
        place = i;
    }
  correction->denied[place] = member;
  correction->denied_until[place] = now + RTE_CORRECTION_TIME;
}

/* Notes that MEMBER answered "not holder" and named HINT (0: nobody) instead.
   The correction holds for RTE_CORRECTION_TIME.  A hint at a member that
   itself denied recently is ignored, so that two daemons that name each other
   do not keep a part going round.  */
void
rte_on_not_holder (struct rte_correction *correction, uint64_t member,
                   uint64_t hint, rw_time now)
{
  skip_member (correction, member, now);
  if (correction->hint == member)
    correction->hint = 0;
  if (hint != 0 && !skipped (correction, hint, now))
    {
      correction->hint = hint;
      correction->hint_until = now + RTE_CORRECTION_TIME;
    }
}

/* Returns the index of the first candidate that matches, or RTE_NONE.  */
static uint32_t
first_match (const struct rte_candidate *candidates, size_t count,
             const struct rte_correction *correction, bool allow_skipped,
             rw_time now)
{
  for (size_t i = 0; i < count; i++)
    if (candidates[i].alive
        && (allow_skipped || !skipped (correction, candidates[i].member, now)))
      return (uint32_t)i;
  return RTE_NONE;
}

/* Returns the index of the candidate to which parts for the target are sent,
   or RTE_NONE without candidates.  CANDIDATES are in the order of rank.  The
   hint of a correction comes first, then the first that is considered alive
   and has not denied, then the first alive: its refusal is quick, while a dead
   member answers nothing.  If none is considered alive, the first is returned,
   because membership is only a hint.  */
uint32_t
rte_choose_holder (const struct rte_candidate *candidates, size_t count,
                   const struct rte_correction *correction, rw_time now)
{
  uint32_t found;

  if (count == 0)
    return RTE_NONE;
  if (correction->hint != 0 && correction->hint_until > now)
    for (size_t i = 0; i < count; i++)
      if (candidates[i].member == correction->hint && candidates[i].alive)
        return (uint32_t)i;
  found = first_match (candidates, count, correction, false, now);
  if (found == RTE_NONE)
    found = first_match (candidates, count, correction, true, now);
  return found != RTE_NONE ? found : 0;
}
