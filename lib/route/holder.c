#include "route.h"

/* Initialises CORRECTION for a target without "not holder" answers.  */
void
rte_correction_init (struct rte_correction *correction)
{
  *correction = (struct rte_correction){ 0 };
}

/* Returns whether MEMBER recently answered that it is not the holder.  */
static bool
has_denied (const struct rte_correction *correction, uint64_t member,
            rw_time now)
{
  for (size_t i = 0; i < RTE_DENIALS_MAX; i++)
    if (correction->denied[i] == member && correction->denied_until[i] > now)
      return true;
  return false;
}

/* Records that MEMBER answered "not holder", in the slot that it has already
   or else in the slot that expires first.  */
static void
record_denial (struct rte_correction *correction, uint64_t member, rw_time now)
{
  size_t slot = 0;

  for (size_t i = 0; i < RTE_DENIALS_MAX; i++)
    {
      if (correction->denied[i] == member)
        {
          slot = i;
          break;
        }
      if (correction->denied_until[i] < correction->denied_until[slot])
        slot = i;
    }
  correction->denied[slot] = member;
  correction->denied_until[slot] = now + RTE_CORRECTION_TIME;
}

/* Records that MEMBER answered "not holder" and named HINT as the holder, or 0
   for nobody.  The answer is followed for RTE_CORRECTION_TIME.  A hint at a
   member that recently denied being the holder is ignored, so that a part does
   not alternate between two daemons that name each other.  */
void
rte_on_not_holder (struct rte_correction *correction, uint64_t member,
                   uint64_t hint, rw_time now)
{
  record_denial (correction, member, now);
  if (correction->hint == member)
    correction->hint = 0;
  if (hint != 0 && !has_denied (correction, hint, now))
    {
      correction->hint = hint;
      correction->hint_until = now + RTE_CORRECTION_TIME;
    }
}

/* Returns the index of the first candidate that is alive, or RTE_NONE if there
   is none.  Unless ALLOW_DENIED, skips candidates that recently answered "not
   holder".  */
static uint32_t
first_alive (const struct rte_candidate *candidates, size_t count,
             const struct rte_correction *correction, bool allow_denied,
             rw_time now)
{
  for (size_t i = 0; i < count; i++)
    if (candidates[i].alive
        && (allow_denied
            || !has_denied (correction, candidates[i].member, now)))
      return (uint32_t)i;
  return RTE_NONE;
}

/* Returns the index of the candidate to which to send parts for the target, or
   RTE_NONE if there are no candidates.  CANDIDATES are in the order of rank.
   In order of preference:
   - the member that an answer named as holder, if it is alive;
   - the first that is alive and did not recently answer "not holder";
   - the first that is alive, because it refuses quickly, while a dead member
     does not answer;
   - the first, because membership is only a hint.  */
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
  found = first_alive (candidates, count, correction, false, now);
  if (found == RTE_NONE)
    found = first_alive (candidates, count, correction, true, now);
  return found != RTE_NONE ? found : 0;
}
