#include <stdlib.h>
#include <string.h>

#include "gossip.h"

/* After a start, members are assumed to be missing for this time: every
   periodic message also goes to a random seed, and the count of daemons has a
   lower bound.  */
#define BOOTSTRAP_TIME (8 * RW_SEC)
/* Mean interval between periodic messages while this daemon is joining.  */
#define JOIN_SEND_INTERVAL (100 * RW_MSEC)
/* A random member is taken from another data centre with the probability
   1 / OTHER_DC_DIVISOR.  */
#define OTHER_DC_DIVISOR 5
/* While fewer members are known, dead ones included, every periodic message
   also goes to a random seed.  */
#define MIN_MEMBERS_WITHOUT_SEED 3
/* Later, a periodic message also goes to a random seed with the probability
   1 / SEED_DIVISOR, so that groups of daemons that do not know each other
   merge.  */
#define SEED_DIVISOR 10
/* A daemon counts in the ranks that choose the readers of the store if it was
   heard of within this time.  */
#define RANK_MAX_AGE (8 * RW_SEC)
/* The number of daemons estimated from the 40 lowest hashes is within 16%
   of the true number in two of three cases.  This factor makes it more often
   too high than too low.  */
#define ESTIMATE_MARGIN_FACTOR 1.15
/* The age of a copy counts up to this.  */
#define MAX_STALENESS (86400 * RW_SEC)
/* Messages request a reply while fewer live members are known.  */
#define MIN_MEMBERS_WITHOUT_REPLY 10
/* Messages request a reply if no peer was heard of for this time: each daemon
   gets two periodic messages a second on average.  */
#define SILENCE_TIME (2 * RW_SEC)
/* A daemon may decide for all this long after its start.  */
#define SETTLE_TIME (6 * RW_SEC)
/* News that a copy is current is passed on if it is this much newer than what
   was known, and not more often than at this interval.  */
#define MIN_CONFIRM_GAIN (400 * RW_MSEC)
#define MIN_CONFIRM_INTERVAL (400 * RW_MSEC)
/* A daemon reads the store and passes its copy on within about 40 ms.  After
   each such interval without a copy, twice as many daemons may read.  */
#define READ_WAVE_INTERVAL (40 * RW_MSEC)
/* From this wave on all daemons may read: 2^14 readers of each data centre
   exceed GOS_MAX_MEMBERS.  */
#define READ_WAVE_COUNT 13

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
  return !member->left && now - member->last_heard < GOS_MEMBER_TIMEOUT;
}

static struct gos_member *
find_member (const struct gos_gossip *gossip, uint32_t ip)
{
  for (size_t i = 0; i < gossip->count; i++)
    if (gossip->members[i].ip == ip)
      return &gossip->members[i];
  return NULL;
}

/* Adds a member with the address IP in the place of one that was not heard of
   for GOS_COUNT_HOLD_TIME, or else at the end of the array.  If the array is
   full, one that is dead is replaced.  Returns a null pointer if
   GOS_MAX_MEMBERS are live.  */
static struct gos_member *
add_member (struct gos_gossip *gossip, uint32_t ip, rw_time now)
{
  struct gos_member *member = NULL;
  rw_time age = gossip->count < GOS_MAX_MEMBERS ? GOS_COUNT_HOLD_TIME
                                                : GOS_MEMBER_TIMEOUT;
  for (size_t i = 0; i < gossip->count && member == NULL; i++)
    if (now - gossip->members[i].last_heard >= age)
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

/* Adds or updates the member with the address IP, which was heard of at HEARD.
   Does nothing for this daemon itself, for news older than what is known,
   and for news so old that the member counts as dead.  */
static void
update_member (struct gos_gossip *gossip, uint32_t ip, uint32_t dc,
               uint32_t capacity, rw_time heard, rw_time now)
{
  if (ip == gossip->settings.ip || ip == 0
      || now - heard >= GOS_MEMBER_TIMEOUT)
    return;
  struct gos_member *member = find_member (gossip, ip);
  if (member == NULL)
    member = add_member (gossip, ip, now);
  if (member == NULL || member->last_heard >= heard)
    return;
  member->last_heard = heard;
  member->left = false;
  member->dc = dc;
  member->capacity = capacity;
}

/* Records that the member with the address IP left at NOW.  It stays in the
   array, so that older news of it does not add it again.  */
static void
mark_left (struct gos_gossip *gossip, uint32_t ip, rw_time now)
{
  struct gos_member *member = find_member (gossip, ip);
  if (member == NULL)
    return;
  member->left = true;
  member->last_heard = now;
}

uint32_t
gos_staleness_ms (rw_time age)
{
  if (age <= 0)
    return 0;
  return age < MAX_STALENESS ? (uint32_t)(age / RW_MSEC)
                             : (uint32_t)(MAX_STALENESS / RW_MSEC);
}

void
gos_on_message (struct gos_gossip *gossip, uint32_t from,
                const struct gos_message *message, rw_time now)
{
  for (size_t i = 0; i < message->count; i++)
    {
      const struct gos_entry *entry = &message->entries[i];
      update_member (gossip, entry->ip, entry->dc, entry->capacity,
                     now - entry->age_ms * RW_MSEC, now);
    }
  if (message->leaving)
    {
      mark_left (gossip, from, now);
      return;
    }
  gossip->last_message = now;
  update_member (gossip, from, message->dc, message->capacity, now, now);
  struct gos_member *member = find_member (gossip, from);
  if (member == NULL)
    return;
  member->revision = message->revision;
  member->current_at = now - message->staleness_ms * RW_MSEC;
  member->cut_off_until = message->cut_off ? now + GOS_CUT_OFF_LIFE : 0;
}

/* Returns a random live member, of this daemon's data centre or of another
   one, by reservoir sampling.  Returns a null pointer if there is none.  */
static struct gos_member *
pick_member (struct gos_gossip *gossip, bool in_own_dc, rw_time now)
{
  size_t candidates = 0;
  struct gos_member *picked = NULL;
  for (size_t i = 0; i < gossip->count; i++)
    {
      struct gos_member *member = &gossip->members[i];
      if (!is_alive (member, now)
          || (member->dc == gossip->settings.dc) != in_own_dc)
        continue;
      if (rw_rng_below (&gossip->rng, ++candidates) == 0)
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
      bool in_own_dc = rw_rng_below (&gossip->rng, OTHER_DC_DIVISOR) != 0;
      struct gos_member *member = pick_member (gossip, in_own_dc, now);
      if (member == NULL)
        member = pick_member (gossip, !in_own_dc, now);
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
  bool bootstrapping = now - gossip->started < BOOTSTRAP_TIME;
  if (gos_is_joining (gossip, now))
    gossip->next_send
        = now + JOIN_SEND_INTERVAL / 2
          + (rw_time)rw_rng_below (&gossip->rng, JOIN_SEND_INTERVAL);
  else
    gossip->next_send
        = now + GOS_SEND_INTERVAL * 3 / 4
          + (rw_time)rw_rng_below (&gossip->rng, GOS_SEND_INTERVAL / 2);
  if (max > 0 && s->seed_count > 0
      && (gossip->count < MIN_MEMBERS_WITHOUT_SEED || bootstrapping
          || gos_live_count (gossip, now) < MIN_MEMBERS_WITHOUT_SEED
          || rw_rng_below (&gossip->rng, SEED_DIVISOR) == 0))
    {
      size_t i = (size_t)rw_rng_below (&gossip->rng, s->seed_count);
      if (s->seeds[i] != s->ip)
        to[count++] = s->seeds[i];
    }
  return count
         + gos_pick_members (gossip, now, to + count, max > count ? 1 : 0);
}

bool
gos_should_pass_on (struct gos_gossip *gossip, rw_time gain, rw_time now)
{
  if (gain < MIN_CONFIRM_GAIN
      || now - gossip->passed_on_at < MIN_CONFIRM_INTERVAL)
    return false;
  gossip->passed_on_at = now;
  return true;
}

/* All daemons order the members by this hash.  */
static uint64_t
member_hash (uint32_t ip)
{
  return rw_hash_u64 (ip, 0);
}

/* Stores in LOWEST the members with the lowest hashes, in ascending order, of
   those that were heard of within MAX_AGE and did not say that they stop.
   Returns their number.  */
static size_t
find_lowest (const struct gos_gossip *gossip, rw_time max_age, rw_time now,
             const struct gos_member *lowest[GOS_LOWEST_HASHES])
{
  size_t count = 0;
  uint64_t hashes[GOS_LOWEST_HASHES];
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member = &gossip->members[i];
      if (member->left || now - member->last_heard >= max_age)
        continue;
      uint64_t hash = member_hash (member->ip);
      size_t at = count;
      while (at > 0 && hashes[at - 1] > hash)
        at--;
      if (at == GOS_LOWEST_HASHES)
        continue;
      if (count < GOS_LOWEST_HASHES)
        count++;
      memmove (&lowest[at + 1], &lowest[at],
               (count - 1 - at) * sizeof lowest[0]);
      memmove (&hashes[at + 1], &hashes[at],
               (count - 1 - at) * sizeof hashes[0]);
      lowest[at] = member;
      hashes[at] = hash;
    }
  return count;
}

/* Adds MEMBER to the entries of MESSAGE, unless they are full.  */
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
gos_fill_head (const struct gos_gossip *gossip, struct gos_message *message)
{
  message->dc = gossip->settings.dc;
  message->capacity = gossip->settings.capacity;
  message->count = 0;
}

void
gos_fill_message (struct gos_gossip *gossip, rw_time now,
                  struct gos_message *message)
{
  const struct gos_member *lowest[GOS_LOWEST_HASHES];
  size_t count = find_lowest (gossip, GOS_MEMBER_TIMEOUT, now, lowest);
  gos_fill_head (gossip, message);
  for (size_t i = 0; i < count; i++)
    add_entry (message, lowest[i], now);
  if (count < GOS_LOWEST_HASHES)
    return;
  /* The remaining entries begin at a random place in the array, so that
     successive messages list different members of a large fleet.  */
  uint64_t highest_listed = member_hash (lowest[count - 1]->ip);
  size_t start = (size_t)rw_rng_below (&gossip->rng, gossip->count);
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member
          = &gossip->members[(start + i) % gossip->count];
      if (is_alive (member, now) && member_hash (member->ip) > highest_listed)
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
  return gos_is_joining (gossip, now)
         || now - gossip->last_message > SILENCE_TIME
         || gos_live_count (gossip, now) < MIN_MEMBERS_WITHOUT_REPLY;
}

/* Keeps of the COUNT members in LOWEST those that, with this daemon, are the
   GOS_LOWEST_HASHES lowest of all.  Returns their number and sets *WITH_SELF
   to whether this daemon is one of them.  */
static size_t
rank_self (const struct gos_gossip *gossip,
           const struct gos_member *const *lowest, size_t count,
           bool *with_self)
{
  *with_self = count < GOS_LOWEST_HASHES
               || member_hash (gossip->settings.ip)
                      < member_hash (lowest[count - 1]->ip);
  return *with_self && count == GOS_LOWEST_HASHES ? count - 1 : count;
}

/* Sets OWNERS to the daemons that can own keys at NOW.  */
static void
find_owners (const struct gos_gossip *gossip, rw_time now,
             struct gos_owners *owners)
{
  const struct gos_member *members[GOS_LOWEST_HASHES];
  bool with_self;
  size_t count = find_lowest (gossip, GOS_MEMBER_TIMEOUT, now, members);
  count = rank_self (gossip, members, count, &with_self);
  owners->at = now;
  owners->count = 0;
  for (size_t i = 0; i < count; i++)
    owners->ips[owners->count++] = members[i]->ip;
  if (with_self)
    owners->ips[owners->count++] = gossip->settings.ip;
}

/* Returns the one of OWNERS that owns KEY.  */
static uint32_t
pick_owner (const struct gos_owners *owners, uint64_t key)
{
  uint32_t owner = 0;
  uint64_t lowest = UINT64_MAX;
  for (size_t i = 0; i < owners->count; i++)
    {
      uint64_t hash = rw_hash_u64 (key, owners->ips[i]);
      if (hash < lowest)
        {
          lowest = hash;
          owner = owners->ips[i];
        }
    }
  return owner;
}

bool
gos_owns (const struct gos_gossip *gossip, uint64_t key, rw_time now,
          uint32_t *owner)
{
  struct gos_owners owners;
  find_owners (gossip, now, &owners);
  *owner = pick_owner (&owners, key);
  return *owner == gossip->settings.ip;
}

void
gos_note_owners (struct gos_gossip *gossip, rw_time now)
{
  size_t last = (gossip->owners_next + GOS_OWNERS_KEPT - 1) % GOS_OWNERS_KEPT;
  if (now - gossip->owners[last].at < GOS_OWNERS_INTERVAL)
    return;
  find_owners (gossip, now, &gossip->owners[gossip->owners_next]);
  gossip->owners_next = (gossip->owners_next + 1) % GOS_OWNERS_KEPT;
}

/* Returns the owners that were kept as the one before last by I, null if there
   are none, or if this daemon did not run between them and SINCE.  */
static const struct gos_owners *
kept_owners (const struct gos_gossip *gossip, size_t i, rw_time since)
{
  size_t at
      = (gossip->owners_next + GOS_OWNERS_KEPT - 1 - i) % GOS_OWNERS_KEPT;
  const struct gos_owners *owners = &gossip->owners[at];
  return owners->at > 0 && since - owners->at <= 4 * GOS_OWNERS_INTERVAL
             ? owners
             : NULL;
}

rw_time
gos_owned_for (const struct gos_gossip *gossip, uint64_t key, rw_time now)
{
  rw_time since = now;
  const struct gos_owners *owners;
  for (size_t i = 0; i < GOS_OWNERS_KEPT; i++)
    {
      owners = kept_owners (gossip, i, since);
      if (owners == NULL || pick_owner (owners, key) != gossip->settings.ip)
        break;
      since = owners->at;
    }
  return now - since;
}

/* The owners of a time are kept in the order of their hashes, with this daemon
   last, so equal sets are equal arrays.  */
static bool
are_same (const struct gos_owners *a, const struct gos_owners *b)
{
  return a->count == b->count
         && memcmp (a->ips, b->ips, a->count * sizeof a->ips[0]) == 0;
}

rw_time
gos_owners_unchanged_for (const struct gos_gossip *gossip, rw_time now)
{
  struct gos_owners present;
  rw_time since = now;
  find_owners (gossip, now, &present);
  for (size_t i = 0; i < GOS_OWNERS_KEPT; i++)
    {
      const struct gos_owners *owners = kept_owners (gossip, i, since);
      if (owners == NULL || !are_same (owners, &present))
        break;
      since = owners->at;
    }
  return now - since;
}

double
gos_live_fraction (const struct gos_gossip *gossip, rw_time now)
{
  const struct gos_member *recent[GOS_LOWEST_HASHES];
  bool with_self;
  size_t count = find_lowest (gossip, GOS_COUNT_HOLD_TIME, now, recent);
  count = rank_self (gossip, recent, count, &with_self);
  size_t live = with_self;
  for (size_t i = 0; i < count; i++)
    live += is_alive (recent[i], now);
  return (double)live / (double)(count + with_self);
}

bool
gos_may_decide (const struct gos_gossip *gossip, rw_time now)
{
  size_t recent = 0;
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member = &gossip->members[i];
      recent
          += !member->left && now - member->last_heard < GOS_COUNT_HOLD_TIME;
    }
  return now - gossip->started >= SETTLE_TIME
         && 2 * (gos_live_count (gossip, now) + 1) > recent + 1;
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

/* Counts a daemon of DC.  Returns the new number of data centres.  */
static size_t
count_daemon (struct gos_dc_count *counts, size_t dcs, uint32_t dc,
              bool is_large)
{
  size_t i = 0;
  while (i < dcs && counts[i].dc != dc)
    i++;
  if (i == GOS_MAX_DCS)
    return dcs;
  if (i == dcs)
    counts[dcs++] = (struct gos_dc_count){ .dc = dc };
  counts[i].all++;
  counts[i].large += is_large;
  return dcs;
}

size_t
gos_count_by_dc (const struct gos_gossip *gossip, uint32_t capacity,
                 rw_time now, struct gos_dc_count *out)
{
  const struct gos_settings *s = &gossip->settings;
  size_t dcs = count_daemon (out, 0, s->dc, s->capacity >= capacity);
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member = &gossip->members[i];
      if (!member->left && now - member->last_heard < GOS_COUNT_HOLD_TIME)
        dcs = count_daemon (out, dcs, member->dc,
                            member->capacity >= capacity);
    }
  return dcs;
}

/* Rank of MEMBER as a delegate of the daemon OWN_IP.  */
static uint64_t
delegate_rank (uint32_t own_ip, const struct gos_member *member)
{
  return rw_hash_u64 (own_ip, member->ip);
}

/* Inserts MEMBER into DELEGATES, which are sorted by rank, unless they are
   full and it ranks behind them.  */
static void
insert_delegate (struct gos_delegates *delegates, uint32_t own_ip,
                 const struct gos_member *member)
{
  uint64_t rank = delegate_rank (own_ip, member);
  size_t at = delegates->count;
  while (at > 0 && delegate_rank (own_ip, delegates->members[at - 1]) > rank)
    at--;
  if (at == GOS_DELEGATES_PER_DC)
    return;
  if (delegates->count < GOS_DELEGATES_PER_DC)
    delegates->count++;
  memmove (&delegates->members[at + 1], &delegates->members[at],
           (delegates->count - 1 - at) * sizeof delegates->members[0]);
  delegates->members[at] = member;
}

size_t
gos_pick_delegates (const struct gos_gossip *gossip, uint32_t capacity,
                    bool with_own_dc, rw_time now, struct gos_delegates *out)
{
  size_t dc_count = 0;
  size_t position = 0;
  const struct gos_member *member;
  while ((member = gos_next_member (gossip, capacity, now, &position)) != NULL)
    {
      size_t i = 0;
      if ((member->dc == gossip->settings.dc && !with_own_dc)
          || now < member->cut_off_until)
        continue;
      while (i < dc_count && out[i].dc != member->dc)
        i++;
      if (i == GOS_MAX_DELEGATE_DCS)
        continue;
      if (i == dc_count)
        out[dc_count++] = (struct gos_delegates){ .dc = member->dc };
      insert_delegate (&out[i], gossip->settings.ip, member);
    }
  return dc_count;
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

/* Estimates the number of live daemons from the lowest hashes (k minimum
   values): if the K-th lowest of N evenly distributed hashes is at the
   fraction F of the range, N is about (K - 1) / F.  Returns 0 if fewer than K
   members are live.  */
static size_t
estimate_count (const struct gos_gossip *gossip, rw_time now)
{
  const struct gos_member *lowest[GOS_LOWEST_HASHES];
  size_t count = find_lowest (gossip, GOS_MEMBER_TIMEOUT, now, lowest);
  if (count < GOS_LOWEST_HASHES)
    return 0;
  double fraction
      = (double)member_hash (lowest[count - 1]->ip) / (double)UINT64_MAX;
  return (size_t)((GOS_LOWEST_HASHES - 1) / fraction * ESTIMATE_MARGIN_FACTOR);
}

size_t
gos_daemon_count (struct gos_gossip *gossip, rw_time now)
{
  size_t count = gos_live_count (gossip, now) + 1;
  size_t estimated = estimate_count (gossip, now);
  if (count < estimated)
    count = estimated;
  if (count >= gossip->held_count
      || now - gossip->held_at > GOS_COUNT_HOLD_TIME)
    {
      gossip->held_count = count;
      gossip->held_at = now;
    }
  /* A daemon that knows nobody may be cut off.  */
  rw_time assumed_for
      = gossip->held_count > 1 ? BOOTSTRAP_TIME : GOS_COUNT_HOLD_TIME;
  if (now - gossip->started < assumed_for
      && gossip->held_count < gossip->settings.min_daemons)
    return gossip->settings.min_daemons;
  return gossip->held_count;
}

size_t
gos_rank (const struct gos_gossip *gossip, rw_time now)
{
  const struct gos_settings *s = &gossip->settings;
  uint64_t own_hash = member_hash (s->ip);
  size_t rank = 0;
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member = &gossip->members[i];
      if (member->dc == s->dc && now - member->last_heard < RANK_MAX_AGE
          && member_hash (member->ip) < own_hash)
        rank++;
    }
  return rank;
}

bool
gos_initial_read_due (const struct gos_gossip *gossip, rw_time waited,
                      rw_time now)
{
  rw_time wave = waited / READ_WAVE_INTERVAL;
  if (wave >= READ_WAVE_COUNT)
    return true;
  return gos_rank (gossip, now) < (size_t)GOS_READERS_PER_DC << wave;
}

uint32_t
gos_pick_source (struct gos_gossip *gossip, int64_t revision, rw_time now)
{
  uint32_t picked = 0;
  bool picked_in_own_dc = false;
  size_t candidates = 0;
  for (size_t i = 0; i < gossip->count; i++)
    {
      const struct gos_member *member = &gossip->members[i];
      bool in_own_dc = member->dc == gossip->settings.dc;
      if (!is_alive (member, now) || member->revision < revision
          || (picked_in_own_dc && !in_own_dc))
        continue;
      /* The first candidate in this daemon's data centre replaces all
         others.  */
      if (in_own_dc && !picked_in_own_dc)
        candidates = 0;
      if (rw_rng_below (&gossip->rng, ++candidates) == 0)
        picked = member->ip;
      picked_in_own_dc = picked_in_own_dc || in_own_dc;
    }
  return picked;
}
