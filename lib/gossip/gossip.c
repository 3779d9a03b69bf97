#include <stdlib.h>
#include <string.h>

#include "gossip.h"

/* After a start the members are not known yet.  */
#define START_TIME (8 * RW_SEC)
/* Mean time between messages while GOS_JOIN_TIME lasts.  */
#define YOUNG_PERIOD (100 * RW_MSEC)
/* Of the periodic messages, one in so many goes to another data centre.  */
#define OTHER_DC_ONE_IN 5
/* One message in so many goes to a seed, so that parts of the fleet that do
   not know each other meet.  */
#define SEED_ONE_IN 10
/* A daemon counts for the choice of readers if it was heard of lately.  */
#define RANK_AGE (8 * RW_SEC)
/* The number estimated from the 40 lowest hashes is within 16% in two of three
   cases; this much is added to it.  */
#define ESTIMATE_MARGIN 1.15
#define LONELY 10
/* A copy is read and passed on within 40 ms or so; after each such time
   without one twice as many daemons read the store.  */
#define READ_WAVE (40 * RW_MSEC)
/* Waves until everybody reads: 2^14 readers.  */
#define READ_WAVES 13

void
gos_init (struct gos_gossip *gossip, const struct gos_settings *settings,
          rw_time now)
{
  memset (gossip, 0, sizeof *gossip);
  gossip->settings = *settings;
  gossip->started = now;
  gossip->next_send = now;
  rw_rng_init (&gossip->rng, settings->rng_seed);
}

void
gos_finish (struct gos_gossip *gossip)
{
  free (gossip->members);
}

static bool
is_alive (const struct gos_member *member, rw_time now)
{
  return now - member->last_heard < GOS_MEMBER_TIMEOUT;
}

static struct gos_member *
find (const struct gos_gossip *gossip, uint32_t ip)
{
  for (size_t i = 0; i < gossip->count; i++)
    if (gossip->members[i].ip == ip)
      return &gossip->members[i];
  return NULL;
}

/* Takes the place of a member that is dead, or adds one.  */
static struct gos_member *
add (struct gos_gossip *gossip, uint32_t ip, rw_time now)
{
  struct gos_member *member = NULL;
  for (size_t i = 0; i < gossip->count && member == NULL; i++)
    if (!is_alive (&gossip->members[i], now))
      member = &gossip->members[i];
  if (member == NULL && gossip->count == GOS_MAX_MEMBERS)
    return NULL;
  if (member == NULL)
    {
      if (gossip->count == gossip->cap)
        {
          gossip->cap = gossip->cap > 0 ? gossip->cap * 2 : 16;
          gossip->members = rw_xrealloc (
              gossip->members, gossip->cap * sizeof *gossip->members);
        }
      member = &gossip->members[gossip->count++];
    }
  memset (member, 0, sizeof *member);
  member->ip = ip;
  return member;
}

static void
hear (struct gos_gossip *gossip, uint32_t ip, uint32_t dc, uint32_t capacity,
      rw_time heard, rw_time now)
{
  if (ip == gossip->settings.ip || ip == 0
      || now - heard >= GOS_MEMBER_TIMEOUT)
    return;
  struct gos_member *member = find (gossip, ip);
  if (member == NULL)
    member = add (gossip, ip, now);
  if (member == NULL || member->last_heard >= heard)
    return;
  member->last_heard = heard;
  member->dc = dc;
  member->capacity = capacity;
}

static void
forget (struct gos_gossip *gossip, uint32_t ip)
{
  struct gos_member *member = find (gossip, ip);
  if (member != NULL)
    *member = gossip->members[--gossip->count];
}

void
gos_on_message (struct gos_gossip *gossip, uint32_t from,
                const struct gos_message *message, rw_time now)
{
  for (size_t i = 0; i < message->count; i++)
    {
      const struct gos_entry *entry = &message->entries[i];
      hear (gossip, entry->ip, entry->dc, entry->capacity,
            now - entry->age_ms * RW_MSEC, now);
    }
  if (message->leaving)
    {
      forget (gossip, from);
      return;
    }
  hear (gossip, from, message->dc, message->capacity, now, now);
  struct gos_member *member = find (gossip, from);
  if (member == NULL)
    return;
  member->revision = message->revision;
  member->current_at = now - message->staleness_ms * RW_MSEC;
}

/* A random living member, of the own data centre or of another one; null if
   there is none.  */
static struct gos_member *
pick_one (struct gos_gossip *gossip, bool own_dc, rw_time now)
{
  size_t seen = 0;
  struct gos_member *picked = NULL;
  for (size_t i = 0; i < gossip->count; i++)
    {
      struct gos_member *member = &gossip->members[i];
      if (!is_alive (member, now)
          || (member->dc == gossip->settings.dc) != own_dc)
        continue;
      if (rw_rng_below (&gossip->rng, ++seen) == 0)
        picked = member;
    }
  return picked;
}

size_t
gos_pick_members (struct gos_gossip *gossip, rw_time now, uint32_t *to,
                  size_t max)
{
  size_t count = 0;
  for (size_t i = 0; i < max; i++)
    {
      bool own = rw_rng_below (&gossip->rng, OTHER_DC_ONE_IN) != 0;
      struct gos_member *member = pick_one (gossip, own, now);
      if (member == NULL)
        member = pick_one (gossip, !own, now);
      if (member != NULL)
        to[count++] = member->ip;
    }
  return count;
}

size_t
gos_tick (struct gos_gossip *gossip, rw_time now, uint32_t *to, size_t max)
{
  const struct gos_settings *s = &gossip->settings;
  size_t count = 0;
  if (now < gossip->next_send)
    return 0;
  bool young = now - gossip->started < START_TIME;
  if (gos_is_joining (gossip, now))
    gossip->next_send = now + YOUNG_PERIOD / 2
                        + (rw_time)rw_rng_below (&gossip->rng, YOUNG_PERIOD);
  else
    gossip->next_send
        = now + GOS_SEND_INTERVAL * 3 / 4
          + (rw_time)rw_rng_below (&gossip->rng, GOS_SEND_INTERVAL / 2);
  if (max > 0 && s->seed_count > 0
      && (gossip->count < 3 || young
          || rw_rng_below (&gossip->rng, SEED_ONE_IN) == 0))
    {
      size_t i = (size_t)rw_rng_below (&gossip->rng, s->seed_count);
      if (s->seeds[i] != s->ip)
        to[count++] = s->seeds[i];
    }
  return count
         + gos_pick_members (gossip, now, to + count, max > count ? 1 : 0);
}

static uint64_t
member_hash (uint32_t ip)
{
  return rw_hash_u64 (ip, 0);
}

/* The living members with the lowest hashes, in their order.  */
static size_t
find_lowest (const struct gos_gossip *gossip, rw_time now,
             const struct gos_member *lowest[GOS_LOWEST_HASHES])
{
  size_t count = 0;
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member = &gossip->members[i];
      uint64_t hash = member_hash (member->ip);
      size_t at = count;
      if (!is_alive (member, now))
        continue;
      while (at > 0 && member_hash (lowest[at - 1]->ip) > hash)
        at--;
      if (at == GOS_LOWEST_HASHES)
        continue;
      if (count < GOS_LOWEST_HASHES)
        count++;
      memmove (&lowest[at + 1], &lowest[at],
               (count - 1 - at) * sizeof lowest[0]);
      lowest[at] = member;
    }
  return count;
}

static void
add_entry (struct gos_message *message, const struct gos_member *member,
           rw_time now)
{
  if (message->count == GOS_MAX_ENTRIES)
    return;
  message->entries[message->count++]
      = (struct gos_entry){ member->ip, member->dc, member->capacity,
                            (uint32_t)((now - member->last_heard) / RW_MSEC) };
}

void
gos_fill_message (struct gos_gossip *gossip, rw_time now,
                  struct gos_message *message)
{
  const struct gos_member *lowest[GOS_LOWEST_HASHES];
  size_t count = find_lowest (gossip, now, lowest);
  message->dc = gossip->settings.dc;
  message->capacity = gossip->settings.capacity;
  message->count = 0;
  for (size_t i = 0; i < count; i++)
    add_entry (message, lowest[i], now);
  if (count < GOS_LOWEST_HASHES)
    return;
  uint64_t last = member_hash (lowest[count - 1]->ip);
  size_t start = (size_t)rw_rng_below (&gossip->rng, gossip->count);
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member
          = &gossip->members[(start + i) % gossip->count];
      if (is_alive (member, now) && member_hash (member->ip) > last)
        add_entry (message, member, now);
    }
}

bool
gos_is_joining (const struct gos_gossip *gossip, rw_time now)
{
  return now - gossip->started < GOS_JOIN_TIME;
}

bool
gos_should_request_reply (const struct gos_gossip *gossip, rw_time now)
{
  return gos_is_joining (gossip, now) || gos_live_count (gossip, now) < LONELY;
}

const struct gos_member *
gos_next_member (const struct gos_gossip *gossip, uint32_t capacity,
                 rw_time now, size_t *position)
{
  while (*position < gossip->count)
    {
      const struct gos_member *member = &gossip->members[(*position)++];
      if (member->capacity >= capacity && is_alive (member, now))
        return member;
    }
  return NULL;
}

size_t
gos_live_count (const struct gos_gossip *gossip, rw_time now)
{
  size_t count = 0;
  for (size_t i = 0; i < gossip->count; i++)
    if (is_alive (&gossip->members[i], now))
      count++;
  return count;
}

static size_t
estimate (const struct gos_gossip *gossip, rw_time now)
{
  const struct gos_member *lowest[GOS_LOWEST_HASHES];
  size_t count = find_lowest (gossip, now, lowest);
  if (count < GOS_LOWEST_HASHES)
    return 0;
  double part
      = (double)member_hash (lowest[count - 1]->ip) / (double)UINT64_MAX;
  return (size_t)((GOS_LOWEST_HASHES - 1) / part * ESTIMATE_MARGIN);
}

size_t
gos_daemon_count (struct gos_gossip *gossip, rw_time now)
{
  size_t count = gos_live_count (gossip, now) + 1;
  size_t estimated = estimate (gossip, now);
  if (count < estimated)
    count = estimated;
  if (now - gossip->started < START_TIME
      && count < gossip->settings.min_daemons)
    count = gossip->settings.min_daemons;
  if (count >= gossip->held_count
      || now - gossip->held_at > GOS_COUNT_HOLD_TIME)
    {
      gossip->held_count = count;
      gossip->held_at = now;
    }
  return gossip->held_count;
}

size_t
gos_rank (const struct gos_gossip *gossip, rw_time now)
{
  const struct gos_settings *s = &gossip->settings;
  uint64_t own = member_hash (s->ip);
  size_t rank = 0;
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member = &gossip->members[i];
      if (member->dc == s->dc && now - member->last_heard < RANK_AGE
          && member_hash (member->ip) < own)
        rank++;
    }
  return rank;
}

bool
gos_initial_read_due (const struct gos_gossip *gossip, rw_time waited,
                      rw_time now)
{
  rw_time wave = waited / READ_WAVE;
  if (wave >= READ_WAVES)
    return true;
  return gos_rank (gossip, now) < (size_t)GOS_READERS_PER_DC << wave;
}

uint32_t
gos_pick_source (struct gos_gossip *gossip, int64_t revision, rw_time now)
{
  uint32_t best = 0;
  bool best_own = false;
  size_t seen = 0;
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member = &gossip->members[i];
      bool own = member->dc == gossip->settings.dc;
      if (!is_alive (member, now) || member->revision < revision
          || (best_own && !own))
        continue;
      if (own && !best_own)
        seen = 0;
      if (rw_rng_below (&gossip->rng, ++seen) == 0)
        best = member->ip;
      best_own = best_own || own;
    }
  return best;
}
