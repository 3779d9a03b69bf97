#include "route.h"

/* Replicas of one shard beyond this number are not considered.  */
#define REPLICAS_MAX 64

/* Returns whether new work may be sent to TARGET: it is not leaving, and its
   data centre is in service.  */
bool
rte_is_usable (const struct rte_view *view, uint32_t target)
{
  const struct rte_target *t;

  if (target >= view->target_count)
    return false;
  t = &view->targets[target];
  return !t->leaving && (t->dc >= view->dc_count || !view->dc_out[t->dc]);
}

/* Whether the part was sent to a replica before.  */
enum history
{
  UNTRIED,
  TRIED,   /* sent before; may be sent again */
  EXCLUDED /* must not be sent there */
};

static enum history
history_of (uint32_t target, const struct rte_tried *tried, size_t count)
{
  enum history found = UNTRIED;

  for (size_t i = 0; i < count; i++)
    if (tried[i].target == target)
      {
        if (tried[i].excluded)
          return EXCLUDED;
        found = TRIED;
      }
  return found;
}

/* Fills FOUND, which has room for REPLICAS_MAX, with the usable replicas of
   SHARD that have the history WANTED.  Returns their number.  */
static size_t
collect_replicas (const struct rte_view *view, uint32_t shard,
                  const struct rte_tried *tried, size_t tried_count,
                  enum history wanted, uint32_t *found)
{
  const struct rte_shard *s = &view->shards[shard];
  size_t count = 0;

  for (size_t i = 0; i < s->replica_count && count < REPLICAS_MAX; i++)
    if (rte_is_usable (view, s->replicas[i])
        && history_of (s->replicas[i], tried, tried_count) == wanted)
      found[count++] = s->replicas[i];
  return count;
}

/* Draws two different replicas of FOUND at random and returns the one with the
   lower expected time, or the first drawn if the times are equal.  COUNT is at
   least 1.  Reorders FOUND.  */
static uint32_t
better_of_two (const struct rte_view *view, uint32_t *found, size_t count,
               struct rw_rng *rng, rw_time now)
{
  size_t i = (size_t)rw_rng_below (rng, count);
  uint32_t first = found[i];
  uint32_t second;

  if (count == 1)
    return first;
  found[i] = found[count - 1];
  second = found[rw_rng_below (rng, count - 1)];
  return rte_expected_time (view->targets[second].estimate, now)
                 < rte_expected_time (view->targets[first].estimate, now)
             ? second
             : first;
}

/* Returns a target for a part of SHARD, or RTE_NONE: of two usable replicas
   drawn at random, the one with the lower expected time.  Replicas in TRIED
   are drawn only if there is no other, and never if they are excluded.  */
uint32_t
rte_choose_replica (const struct rte_view *view, uint32_t shard,
                    const struct rte_tried *tried, size_t tried_count,
                    struct rw_rng *rng, rw_time now)
{
  uint32_t found[REPLICAS_MAX];
  size_t count;

  if (shard >= view->shard_count)
    return RTE_NONE;
  count = collect_replicas (view, shard, tried, tried_count, UNTRIED, found);
  if (count == 0)
    count = collect_replicas (view, shard, tried, tried_count, TRIED, found);
  if (count == 0)
    return RTE_NONE;
  return better_of_two (view, found, count, rng, now);
}

/* Returns the first usable replica of SHARD that is not in TRIED, or RTE_NONE.
   It is used for once requests: every entry daemon chooses the same target for
   a key, so that the holder of the target, which remembers the keys, detects a
   repeated request.  */
uint32_t
rte_first_replica (const struct rte_view *view, uint32_t shard,
                   const uint32_t *tried, size_t tried_count)
{
  const struct rte_shard *s;

  if (shard >= view->shard_count)
    return RTE_NONE;
  s = &view->shards[shard];
  for (size_t i = 0; i < s->replica_count; i++)
    {
      bool was_tried = false;

      for (size_t j = 0; j < tried_count; j++)
        was_tried = was_tried || tried[j] == s->replicas[i];
      if (!was_tried && rte_is_usable (view, s->replicas[i]))
        return s->replicas[i];
    }
  return RTE_NONE;
}

/* Returns the shard of a once request with the idempotency key KEY, or
   RTE_NONE if the map has no shards.  */
uint32_t
rte_shard_of (const struct rte_view *view, struct rw_str key)
{
  if (view->shard_count == 0)
    return RTE_NONE;
  return (uint32_t)(rw_hash (key) % view->shard_count);
}
