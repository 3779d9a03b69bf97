#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "parts.h"

/* An ask without an answer for this time has timed out.  Messages take up to
   1.4 ms one way, and a daemon on a small VM answers some ms late.  The answer
   is still used if it comes before its tokens expire.  */
#define ASK_TIMEOUT (25 * RW_MSEC)
/* A request that waits is decided after one to two of these: time for two asks
   one after the other that time out.  */
#define WAIT_INTERVAL (40 * RW_MSEC)
/* Waiting requests that the caller never asked about again are forgotten.  */
#define WAIT_LIFE (1 * RW_SEC)
/* A daemon is avoided after so many asks without an answer, one after the
   other; a single one may be a lost message.  The first time is doubled with
   each further one.  */
#define AVOID_FAILURES 3
#define AVOID_TIME (250 * RW_MSEC)
#define MAX_AVOID_TIME (2 * RW_SEC)
#define FAILURE_LIFE (10 * RW_SEC)
/* Tokens are asked for ahead of the load.  While no pool is short, unused ones
   do no harm: the load of most of their lifetime is asked for, shortly before
   the last ones are used.  */
#define AHEAD_PART 0.85
#define EARLY_TIME (30 * RW_MSEC)
/* A load of less in a token's lifetime is not steady: many daemons with a
   little of it each would waste more than a tenth.  */
#define MIN_STEADY 4.0
/* Else only for this time, and as many as are nearly always used before they
   expire: the load in their lifetime, less this many times its standard
   deviation.  */
#define SHORT_AHEAD_TIME (200 * RW_MSEC)
#define AHEAD_MARGIN 1.5
#define SHORT_MEMORY (5 * RW_SEC)
/* A pool that had too few tokens is asked again within these times.  The
   upper one is below the time in which a bucket saves tokens.  */
#define MIN_BACKOFF (10 * RW_MSEC)
#define MAX_BACKOFF (150 * RW_MSEC)
/* A request waits for a token that comes within this time.  */
#define SHORT_WAIT (20 * RW_MSEC)
/* The owner of a pool is looked up again after this time.  What was not looked
   up for OWNER_GAP may have changed and changed back.  */
#define OWNER_INTERVAL (1 * RW_SEC)
#define OWNER_GAP (30 * RW_SEC)
/* A daemon does not know how many others there are before.  */
#define LOCAL_START (1 * RW_SEC)
/* Unused tokens of a slow local bucket lapse after this time.  */
#define LOCAL_LIFE (1 * RW_SEC)
/* Callers that are refused are told to return within this time.  */
#define MAX_RETRY (10 * RW_SEC)
#define MIN_RETRY (1 * RW_MSEC)
/* State of an organisation without requests is dropped after this time, or
   after MIN_DROP_AGE if there is no room for another one.  */
#define USER_LIFE (600 * RW_SEC)
#define MIN_DROP_AGE (5 * RW_SEC)
#define DROP_CANDIDATES 16
#define USERS_PER_TICK 64
#define ACTIVE_TIME (5 * RW_SEC)

void
quo_init (struct quo_table *table, const struct quo_settings *settings,
          uint64_t seed, rw_time now)
{
  memset (table, 0, sizeof *table);
  table->settings = *settings;
  table->started = now;
  rw_rng_init (&table->rng, seed);
  rw_map_init (&table->users);
  rw_map_init (&table->buckets);
  rw_heap_init (&table->events);
  table->asks = rw_xcalloc (QUO_MAX_ASKS, sizeof *table->asks);
  table->next_number = (uint32_t)rw_rng_next (&table->rng);
  table->fraction_mark = 0;
  for (size_t i = 0; i < QUO_FRACTION_SLOTS; i++)
    table->fraction_seconds[i] = INT64_MIN / 2;
}

static void
free_items (struct rw_map *map)
{
  size_t position = 0;
  void *item;
  while ((item = rw_map_next (map, &position)) != NULL)
    free (item);
  rw_map_finish (map);
}

void
quo_finish (struct quo_table *table)
{
  free_items (&table->users);
  free_items (&table->buckets);
  rw_heap_finish (&table->events);
  free (table->queue);
  free (table->asks);
}

void
quo_set_rule (struct quo_table *table, const struct quo_settings *settings)
{
  uint32_t daemon = table->settings.daemon;
  table->settings = *settings;
  table->settings.daemon = daemon;
}

/* Adds ITEM to the messages that are due.  If the queue is full, it counts as
   lost.  */
static void
push_item (struct quo_table *table, const struct quo_item *item)
{
  if (table->queue_len == QUO_MAX_QUEUE)
    return;
  if (table->queue_len == table->queue_cap)
    {
      table->queue_cap = table->queue_cap > 0 ? table->queue_cap * 2 : 64;
      table->queue = rw_xrealloc (table->queue,
                                  table->queue_cap * sizeof *table->queue);
    }
  table->queue[table->queue_len++] = *item;
}

static struct quo_peer *
find_peer (struct quo_table *table, uint32_t daemon)
{
  for (size_t i = 0; i < QUO_MAX_PEERS; i++)
    if (table->peers[i].failures > 0 && table->peers[i].daemon == daemon)
      return &table->peers[i];
  return NULL;
}

static bool
is_avoided (struct quo_table *table, uint32_t daemon, rw_time now)
{
  const struct quo_peer *peer = find_peer (table, daemon);
  return peer != NULL && now < peer->avoid_until;
}

/* Records that DAEMON did not answer what it was asked at ASKED_AT.  */
static void
note_silence (struct quo_table *table, uint32_t daemon, rw_time asked_at,
              rw_time now)
{
  struct quo_peer *peer = find_peer (table, daemon);
  if (peer == NULL)
    {
      peer = &table->peers[0];
      for (size_t i = 1; i < QUO_MAX_PEERS; i++)
        if (table->peers[i].failed_at < peer->failed_at)
          peer = &table->peers[i];
      *peer = (struct quo_peer){ .daemon = daemon };
    }
  /* Several asks may have been in one message.  */
  if (peer->failures > 0 && asked_at < peer->failed_at)
    return;
  if (now - peer->failed_at >= FAILURE_LIFE)
    peer->failures = 0;
  peer->failures++;
  peer->failed_at = now;
  if (peer->failures < AVOID_FAILURES)
    return;
  rw_time span = MAX_AVOID_TIME;
  if (peer->failures < AVOID_FAILURES + 3)
    span = AVOID_TIME << (peer->failures - AVOID_FAILURES);
  peer->avoid_until = now + span;
}

/* Schedules USER for quo_next_event at AT.  */
static void
schedule (struct quo_table *table, struct quo_user *user, rw_time at)
{
  if (at == RW_TIME_NEVER || (user->event_at != 0 && user->event_at <= at))
    return;
  user->event_at = at;
  user->entries++;
  rw_heap_push (&table->events, at, user);
}

static uint32_t
waiting_count (const struct quo_user *user)
{
  return user->young + user->old + user->overdue;
}

static uint32_t
held_tokens (const struct quo_user *user)
{
  uint32_t held = 0;
  for (size_t i = 0; i < QUO_MAX_LOTS; i++)
    held += user->lots[i].tokens;
  return held;
}

static void
expire_lots (const struct quo_table *table, struct quo_user *user, rw_time now)
{
  if (is_without (table, QUO_WITHOUT_EXPIRY))
    return;
  for (size_t i = 0; i < QUO_MAX_LOTS; i++)
    if (user->lots[i].expires <= now)
      user->lots[i].tokens = 0;
}

/* Adds TOKENS, in the place of none or else to the lot that expires next to
   them; the lot then expires when the earlier of both does.  */
static void
add_lot (struct quo_user *user, uint32_t tokens, rw_time expires)
{
  struct quo_lot *best = NULL;
  for (size_t i = 0; i < QUO_MAX_LOTS; i++)
    {
      struct quo_lot *lot = &user->lots[i];
      if (lot->tokens == 0)
        {
          *lot = (struct quo_lot){ tokens, expires };
          return;
        }
      if (best == NULL
          || llabs (lot->expires - expires) < llabs (best->expires - expires))
        best = lot;
    }
  best->tokens += tokens;
  if (expires < best->expires)
    best->expires = expires;
}

/* Takes a held token, of those that expire first.  */
static bool
take_held (struct quo_user *user)
{
  struct quo_lot *first = NULL;
  for (size_t i = 0; i < QUO_MAX_LOTS; i++)
    if (user->lots[i].tokens > 0
        && (first == NULL || user->lots[i].expires < first->expires))
      first = &user->lots[i];
  if (first == NULL)
    return false;
  first->tokens--;
  user->last_expiry = first->expires;
  return true;
}

/* Looks up the owner of POOL of USER, if it may have changed.  */
static void
refresh_owner (const struct quo_view *view, struct quo_user *user,
               uint32_t pool, rw_time now)
{
  struct quo_pool *p = &user->pools[pool];
  if (p->checked_at > 0 && now - p->checked_at < OWNER_INTERVAL)
    return;
  uint32_t owner = view->owner (
      view->arg, quo_pool_key (user->limit.organisation, pool), now);
  if (p->checked_at == 0 || owner != p->owner
      || now - p->checked_at >= OWNER_GAP)
    p->owner_since = now;
  if (owner != p->owner)
    {
      p->owner = owner;
      p->is_silent = false;
      p->closed_until = 0;
    }
  p->checked_at = now;
}

/* Applies ANSWER to the ask that POOL of USER has sent.  */
static void
apply_answer (struct quo_table *table, struct quo_user *user,
              struct quo_pool *pool, const struct quo_item *answer,
              rw_time now)
{
  rw_time expires = pool->asked_at + quo_token_life (table);
  if (is_without (table, QUO_WITHOUT_EXPIRY))
    expires = RW_TIME_NEVER;
  double interval = RW_SEC / user->limit.rate_per_s;
  rw_time longest = MAX_BACKOFF;
  pool->is_pending = false;
  pool->is_silent = false;
  pool->answer = answer->answer;
  pool->token_at = now + answer->wait;
  if (answer->answer == QUO_NOT_OWNER)
    pool->owner_since = now;
  else if (answer->answer != QUO_SETTLING)
    user->decided_at = now;
  if (answer->answer == QUO_SHORT && pool == &user->pools[user->first])
    user->first = (user->first + 1) % QUO_MAX_STRIPES;
  if (answer->tokens > 0 && expires > now)
    add_lot (user,
             answer->tokens < pool->wanted ? answer->tokens : pool->wanted,
             expires);
  if (interval / 2 > (double)longest)
    longest = (rw_time)fmin (interval / 2, 2 * RW_SEC);
  if (answer->answer == QUO_GRANTED)
    pool->closed_until = 0;
  else if (answer->wait < MIN_BACKOFF)
    pool->closed_until = now + MIN_BACKOFF;
  else
    pool->closed_until
        = now + (answer->wait < longest ? answer->wait : longest);
}

/* Asks the owner of POOL of USER for WANTED tokens.  */
static void
send_ask (struct quo_table *table, const struct quo_view *view,
          struct quo_user *user, uint32_t pool, uint32_t wanted, rw_time now)
{
  struct quo_pool *p = &user->pools[pool];
  rw_time age = (now - p->owner_since) / RW_MSEC;
  struct quo_item answer = { 0 };
  struct quo_item ask
      = { .to = p->owner,
          .organisation = user->limit.organisation,
          .pool = pool,
          .age_ms = age < UINT16_MAX ? (uint32_t)age : UINT16_MAX,
          .wanted = wanted < UINT16_MAX ? wanted : UINT16_MAX,
          .waiting = waiting_count (user) };
  p->wanted = ask.wanted;
  p->asked = p->owner;
  p->asked_at = now;
  p->number = 0;
  if (p->owner == table->settings.daemon)
    {
      quo_grant (table, view, &ask, now, &answer);
      apply_answer (table, user, p, &answer, now);
      return;
    }
  if (table->next_number == 0)
    table->next_number++;
  ask.number = table->next_number++;
  table->asks[ask.number % QUO_MAX_ASKS]
      = (struct quo_ask){ ask.organisation, ask.number, pool };
  p->number = ask.number;
  p->is_pending = true;
  push_item (table, &ask);
}

/* Returns the tokens to hold for the expected load of USER, and sets *LEAST to
   the number below which more are asked for.  */
static uint32_t
tokens_ahead (const struct quo_table *table, const struct quo_user *user,
              rw_time now, uint32_t *least)
{
  double rate
      = fmin (quo_meter_rate (&user->demand, now), user->limit.rate_per_s);
  double used = rate * (double)quo_token_life (table) / RW_SEC;
  double ahead = AHEAD_PART * used;
  double early = 1 + rate * EARLY_TIME / RW_SEC;
  *least = 0;
  if (is_without (table, QUO_WITHOUT_AHEAD))
    return 0;
  if (used < MIN_STEADY
      || (user->short_at > 0 && now - user->short_at < SHORT_MEMORY))
    {
      ahead = fmin (used - AHEAD_MARGIN * sqrt (used),
                    rate * SHORT_AHEAD_TIME / RW_SEC);
      early = ceil (ahead / 2);
    }
  ahead = fmax (fmin (ahead, UINT16_MAX), 0);
  *least = (uint32_t)fmax (fmin (early, floor (ahead)), 0);
  return (uint32_t)ahead;
}

/* Returns the tokens that USER should ask for: those that its waiting requests
   lack, and those of the expected load.  */
static uint32_t
missing_tokens (const struct quo_table *table, const struct quo_user *user,
                rw_time now)
{
  uint32_t least;
  uint32_t ahead = tokens_ahead (table, user, now, &least);
  uint32_t waiting = waiting_count (user);
  uint32_t have = held_tokens (user);
  for (size_t i = 0; i < QUO_POOLS; i++)
    have += user->pools[i].is_pending ? user->pools[i].wanted : 0;
  return have >= waiting + least ? 0 : waiting + ahead - have;
}

/* Returns whether POOL of USER can be asked.  */
static bool
is_open (struct quo_table *table, const struct quo_view *view,
         struct quo_user *user, uint32_t pool, rw_time now)
{
  struct quo_pool *p = &user->pools[pool];
  refresh_owner (view, user, pool, now);
  return !p->is_pending && p->closed_until <= now
         && !is_avoided (table, p->owner, now);
}

/* Returns whether the owner of POOL does not answer, or may not grant.  */
static bool
is_absent (struct quo_table *table, const struct quo_pool *pool, rw_time now)
{
  bool may_not = pool->answer == QUO_SETTLING || pool->answer == QUO_NOT_OWNER;
  return pool->is_silent || (may_not && pool->closed_until > now)
         || is_avoided (table, pool->owner, now);
}

/* Chooses the stripe of USER that is asked next, QUO_RESERVE if there is none.
   Daemons begin with different stripes and go on to another one when theirs is
   empty.  Those that did not answer come last.  */
static uint32_t
choose_stripe (struct quo_table *table, const struct quo_view *view,
               struct quo_user *user, rw_time now)
{
  uint32_t stripes = quo_stripes (table, &user->limit);
  for (uint32_t silent = 0; silent < 2; silent++)
    for (uint32_t i = 0; i < stripes; i++)
      {
        uint32_t pool = (user->first + i) % stripes;
        if (is_open (table, view, user, pool, now)
            && user->pools[pool].is_silent == (silent == 1))
          return pool;
      }
  return QUO_RESERVE;
}

/* Asks the reserve for the requests that wait, if an owner does not answer. */
static void
ask_reserve (struct quo_table *table, const struct quo_view *view,
             struct quo_user *user, rw_time now)
{
  uint32_t stripes = quo_stripes (table, &user->limit);
  uint32_t waiting = waiting_count (user);
  uint32_t expected = held_tokens (user);
  bool is_any_absent = false;
  for (uint32_t i = 0; i < stripes; i++)
    {
      const struct quo_pool *pool = &user->pools[i];
      is_any_absent |= is_absent (table, pool, now);
      expected += pool->is_pending && !pool->is_silent ? pool->wanted : 0;
    }
  if (waiting > expected && is_any_absent
      && !is_without (table, QUO_WITHOUT_RESERVE)
      && is_open (table, view, user, QUO_RESERVE, now))
    send_ask (table, view, user, QUO_RESERVE, waiting - expected, now);
}

/* Records that no stripe of USER can be asked, unless an answer is due.  */
static void
note_short (struct quo_user *user, rw_time now)
{
  for (size_t i = 0; i < QUO_MAX_STRIPES; i++)
    if (user->pools[i].is_pending)
      return;
  user->short_at = now;
}

/* Asks for the tokens that USER lacks.  */
static void
seek (struct quo_table *table, const struct quo_view *view,
      struct quo_user *user, rw_time now)
{
  uint32_t missing;
  while ((missing = missing_tokens (table, user, now)) > 0)
    {
      uint32_t pool = choose_stripe (table, view, user, now);
      if (pool == QUO_RESERVE)
        {
          note_short (user, now);
          break;
        }
      send_ask (table, view, user, pool, missing, now);
    }
  ask_reserve (table, view, user, now);
}

/* Returns when a pool of USER can be asked again, RW_TIME_NEVER if none
   can be.  */
static rw_time
opens_at (struct quo_table *table, const struct quo_user *user, rw_time now)
{
  uint32_t stripes = quo_stripes (table, &user->limit);
  rw_time at = RW_TIME_NEVER;
  for (uint32_t i = 0; i < stripes; i++)
    {
      const struct quo_pool *pool = &user->pools[i];
      if (!is_absent (table, pool, now) && !pool->is_pending
          && pool->closed_until < at)
        at = pool->closed_until;
    }
  return at;
}

/* Schedules the next time at which USER needs attention.  */
static void
reschedule (struct quo_table *table, struct quo_user *user, rw_time now)
{
  rw_time at = RW_TIME_NEVER;
  for (size_t i = 0; i < QUO_POOLS; i++)
    {
      const struct quo_pool *pool = &user->pools[i];
      if (pool->is_pending && pool->asked_at + ASK_TIMEOUT < at)
        at = pool->asked_at + ASK_TIMEOUT;
    }
  if (user->young + user->old > 0)
    {
      rw_time opens = opens_at (table, user, now);
      if (user->interval_start + WAIT_INTERVAL < at)
        at = user->interval_start + WAIT_INTERVAL;
      if (opens > now && opens < at)
        at = opens;
    }
  schedule (table, user, at);
}

/* Moves waiting requests to the next interval of age.  */
static void
age_waiting (struct quo_user *user, rw_time now)
{
  if (now - user->interval_start >= WAIT_LIFE)
    user->overdue = user->old = user->young = 0;
  while (user->young + user->old > 0
         && now - user->interval_start >= WAIT_INTERVAL)
    {
      user->overdue += user->old;
      user->old = user->young;
      user->young = 0;
      user->interval_start += WAIT_INTERVAL;
    }
  if (user->young + user->old == 0)
    user->interval_start = now;
}

/* Brings USER up to NOW: tokens that expired, asks that timed out.  */
static void
advance (struct quo_table *table, struct quo_user *user, rw_time now)
{
  age_waiting (user, now);
  expire_lots (table, user, now);
  for (size_t i = 0; i < QUO_POOLS; i++)
    {
      struct quo_pool *pool = &user->pools[i];
      if (!pool->is_pending || now - pool->asked_at < ASK_TIMEOUT)
        continue;
      pool->is_pending = false;
      pool->is_silent = true;
      note_silence (table, pool->asked, pool->asked_at, now);
    }
}

/* Handles the events that are due.  */
static void
run_events (struct quo_table *table, const struct quo_view *view, rw_time now)
{
  while (rw_heap_next_time (&table->events) <= now)
    {
      rw_time at;
      struct quo_user *user = rw_heap_pop (&table->events, &at);
      user->entries--;
      /* An earlier entry may have been added.  */
      if (user->event_at != at)
        continue;
      user->event_at = 0;
      advance (table, user, now);
      seek (table, view, user, now);
      reschedule (table, user, now);
    }
}

static bool
is_idle (const struct quo_user *user, rw_time age, rw_time now)
{
  return user->entries == 0 && waiting_count (user) == 0
         && now - user->used_at >= age;
}

/* Makes room for one more organisation.  Returns false if none is idle.  */
static bool
make_room (struct quo_table *table, rw_time now)
{
  struct quo_user *idle = NULL;
  if (table->users.len < QUO_MAX_USERS)
    return true;
  size_t position = (size_t)rw_rng_below (&table->rng, table->users.cap);
  for (size_t i = 0; i < DROP_CANDIDATES; i++)
    {
      struct quo_user *user = rw_map_next (&table->users, &position);
      if (user == NULL)
        break;
      if (is_idle (user, MIN_DROP_AGE, now)
          && (idle == NULL || user->used_at < idle->used_at))
        idle = user;
    }
  if (idle == NULL)
    return false;
  rw_map_remove (&table->users, idle->limit.organisation);
  free (idle);
  return true;
}

/* Adds the organisation of LIMIT.  Its local bucket begins with a token at a
   few of all daemons only.  */
static struct quo_user *
add_user (struct quo_table *table, const struct quo_view *view,
          const struct quo_limit *limit, rw_time now)
{
  double daemons = fmax ((double)view->daemons, 1);
  double chance = LOCAL_START_PART * table->settings.slack / daemons;
  double level = rw_rng_unit (&table->rng);
  if (!make_room (table, now))
    return NULL;
  struct quo_user *user = rw_xcalloc (1, sizeof *user);
  user->limit = *limit;
  user->first
      = (uint32_t)(rw_hash_u64 (limit->organisation, table->settings.daemon)
                   % QUO_MAX_STRIPES);
  bkt_init (&user->local, rw_rng_unit (&table->rng) < chance ? 1 : level, now);
  rw_map_put (&table->users, limit->organisation, user);
  return user;
}

/* Applies LIMIT to USER.  Tokens held of a higher limit are cut.  */
static void
set_limit (const struct quo_table *table, struct quo_user *user,
           const struct quo_limit *limit)
{
  double ratio = limit->rate_per_s / user->limit.rate_per_s;
  if (ratio < 1 && !is_without (table, QUO_WITHOUT_FALL))
    for (size_t i = 0; i < QUO_MAX_LOTS; i++)
      user->lots[i].tokens = (uint32_t)(user->lots[i].tokens * ratio);
  user->limit = *limit;
}

/* Takes a token of the local bucket, if no owner answers.  */
static bool
take_local (struct quo_table *table, const struct quo_view *view,
            struct quo_user *user, rw_time now)
{
  double daemons = fmax ((double)view->daemons, 1);
  double all
      = quo_spare_rate (table, &user->limit, LOCAL_PART, LOCAL_SLACK_PART);
  struct bkt_rate rate
      = { .per_s
          = is_without (table, QUO_WITHOUT_DIVISION) ? all : all / daemons,
          .life = LOCAL_LIFE,
          .burst = quo_saved_time (table) };
  uint32_t stripes = quo_stripes (table, &user->limit);
  if (now - table->started < LOCAL_START
      || is_without (table, QUO_WITHOUT_LOCAL))
    return false;
  for (uint32_t i = 0; i < stripes; i++)
    if (!is_absent (table, &user->pools[i], now))
      return false;
  if (!bkt_ready (&user->local, &rate, now))
    return false;
  bkt_take (&user->local, &rate, now);
  return true;
}

/* Returns the time after which the caller that is refused now is to return:
   after the one that was refused before it.  */
static rw_time
retry_time (struct quo_table *table, struct quo_user *user, rw_time now)
{
  uint32_t stripes = quo_stripes (table, &user->limit);
  rw_time at = RW_TIME_NEVER;
  for (uint32_t i = 0; i < stripes; i++)
    if (user->pools[i].token_at < at)
      at = user->pools[i].token_at;
  if (at < now + MIN_RETRY)
    at = now + MIN_RETRY;
  if (at < user->promised_at)
    at = user->promised_at;
  double step = fmin (RW_SEC / user->limit.rate_per_s, MAX_RETRY);
  user->promised_at = at + (rw_time)step;
  if (user->promised_at > now + MAX_RETRY)
    user->promised_at = now + MAX_RETRY;
  if (at < now + MAX_RETRY)
    return at - now;
  /* More were refused than can be served until then.  */
  return MAX_RETRY / 2 + (rw_time)rw_rng_below (&table->rng, MAX_RETRY / 2);
}

/* One request fewer waits: the youngest one if IS_NEW, else the oldest.  */
static void
end_waiting (struct quo_user *user, bool is_new)
{
  if (is_new && user->young > 0)
    user->young--;
  else if (user->overdue > 0)
    user->overdue--;
  else if (user->old > 0)
    user->old--;
  else if (user->young > 0)
    user->young--;
}

/* Returns whether a request of USER that has no token is to wait.  */
static bool
should_wait (struct quo_table *table, const struct quo_user *user,
             bool is_repeat, rw_time now)
{
  if (is_repeat && user->overdue > 0)
    return false;
  for (size_t i = 0; i < QUO_POOLS; i++)
    if (user->pools[i].is_pending)
      return true;
  rw_time opens = opens_at (table, user, now);
  double soon = user->limit.rate_per_s * SHORT_WAIT / RW_SEC;
  return opens != RW_TIME_NEVER && opens - now <= SHORT_WAIT
         && waiting_count (user) <= fmax (soon, 1);
}

static enum quo_verdict
decide (struct quo_table *table, const struct quo_view *view,
        struct quo_user *user, bool is_repeat, rw_time now,
        rw_time *retry_after)
{
  bool is_taken = take_held (user);
  if (!is_taken)
    {
      seek (table, view, user, now);
      is_taken = take_held (user);
    }
  if (!is_taken && should_wait (table, user, is_repeat, now))
    return QUO_WAIT;
  is_taken = is_taken || take_local (table, view, user, now);
  end_waiting (user, !is_repeat);
  if (!is_taken)
    {
      user->refused++;
      *retry_after = retry_time (table, user, now);
      return QUO_REFUSED;
    }
  user->taken++;
  quo_meter_add (&user->use, 1, now);
  seek (table, view, user, now);
  return QUO_TAKEN;
}

enum quo_verdict
quo_take (struct quo_table *table, const struct quo_view *view,
          const struct quo_limit *limit, bool is_repeat, rw_time now,
          rw_time *retry_after)
{
  struct quo_user *user = rw_map_get (&table->users, limit->organisation);
  if (!(limit->rate_per_s > 0))
    return QUO_TAKEN;
  if (user == NULL)
    user = add_user (table, view, limit, now);
  if (user == NULL)
    {
      *retry_after = RW_SEC;
      return QUO_REFUSED;
    }
  set_limit (table, user, limit);
  user->used_at = now;
  advance (table, user, now);
  if (!is_repeat)
    {
      quo_meter_add (&user->demand, 1, now);
      user->young++;
    }
  enum quo_verdict verdict
      = decide (table, view, user, is_repeat, now, retry_after);
  reschedule (table, user, now);
  return verdict;
}

void
quo_cancel (struct quo_table *table, uint64_t organisation, rw_time now)
{
  struct quo_user *user = rw_map_get (&table->users, organisation);
  if (user == NULL)
    return;
  advance (table, user, now);
  end_waiting (user, true);
}

void
quo_give_back (struct quo_table *table, uint64_t organisation, rw_time now)
{
  struct quo_user *user = rw_map_get (&table->users, organisation);
  if (user == NULL)
    return;
  user->taken -= user->taken > 0;
  expire_lots (table, user, now);
  /* Not more than were taken while the token lived.  */
  double most = quo_meter_rate (&user->use, now)
                * (double)quo_token_life (table) / RW_SEC;
  if (user->last_expiry > now && held_tokens (user) < fmax (most, 1))
    add_lot (user, 1, user->last_expiry);
}

/* Takes an answer of the daemon FROM.  Each answers one ask: a second answer,
   or one to an ask that was repeated, is not used.  */
static void
take_answer (struct quo_table *table, const struct quo_view *view,
             uint32_t from, const struct quo_item *answer, rw_time now)
{
  struct quo_ask *ask = &table->asks[answer->number % QUO_MAX_ASKS];
  if (answer->number == 0 || ask->number != answer->number)
    return;
  struct quo_user *user = rw_map_get (&table->users, ask->organisation);
  if (user == NULL)
    return;
  struct quo_pool *pool = &user->pools[ask->pool];
  if (pool->asked != from
      || (pool->number != answer->number
          && !is_without (table, QUO_WITHOUT_ONE_USE)))
    return;
  struct quo_peer *peer = find_peer (table, from);
  if (peer != NULL)
    *peer = (struct quo_peer){ 0 };
  if (!is_without (table, QUO_WITHOUT_ONE_USE))
    pool->number = ask->number = 0;
  advance (table, user, now);
  apply_answer (table, user, pool, answer, now);
  seek (table, view, user, now);
  reschedule (table, user, now);
}

void
quo_take_item (struct quo_table *table, const struct quo_view *view,
               uint32_t from, const struct quo_item *item, rw_time now)
{
  struct quo_item answer
      = { .to = from, .is_answer = true, .number = item->number };
  if (item->is_answer)
    {
      take_answer (table, view, from, item, now);
      return;
    }
  quo_grant (table, view, item, now, &answer);
  push_item (table, &answer);
}

int
quo_read (struct quo_table *table, const struct quo_view *view, uint32_t from,
          struct rw_str message, rw_time now)
{
  while (message.len > 0)
    {
      struct quo_item item;
      int rc = quo_read_item (&message, &item);
      if (rc < 0)
        return rc;
      if (rc == 0)
        quo_take_item (table, view, from, &item, now);
    }
  return 0;
}

size_t
quo_next_message (struct quo_table *table, const struct quo_view *view,
                  rw_time now, uint32_t *to, char *out)
{
  size_t len = 0;
  size_t kept = 0;
  run_events (table, view, now);
  if (table->queue_len == 0)
    return 0;
  *to = table->queue[0].to;
  for (size_t i = 0; i < table->queue_len; i++)
    {
      const struct quo_item *item = &table->queue[i];
      size_t written = 0;
      if (item->to == *to)
        written = quo_write_item (item, out + len, QUO_MAX_MESSAGE - len);
      len += written;
      if (written == 0)
        table->queue[kept++] = *item;
    }
  table->queue_len = kept;
  return len;
}

rw_time
quo_next_event (const struct quo_table *table, rw_time now)
{
  rw_time at = rw_heap_next_time (&table->events);
  if (table->queue_len > 0 || at < now)
    return now;
  return at;
}

void
quo_tick (struct quo_table *table, const struct quo_view *view, rw_time now)
{
  quo_note_fraction (table, view, now);
  run_events (table, view, now);
  quo_tick_buckets (table, view, now);
  for (size_t i = 0; i < USERS_PER_TICK && table->users.len > 0; i++)
    {
      struct quo_user *user = rw_map_next (&table->users, &table->next_user);
      if (user == NULL)
        {
          table->next_user = 0;
          return;
        }
      if (is_idle (user, USER_LIFE, now))
        {
          rw_map_remove (&table->users, user->limit.organisation);
          free (user);
        }
      /* The reserve is asked rarely, but how long its owner has been the same
         counts then.  */
      else if (now - user->used_at < ACTIVE_TIME)
        refresh_owner (view, user, QUO_RESERVE, now);
    }
}

/* Adds what this daemon knows as the owner of pools.  */
static void
add_owned (const struct quo_table *table, struct quo_usage *usage, rw_time now)
{
  for (uint32_t i = 0; i < QUO_POOLS; i++)
    {
      const struct quo_bucket *bucket = rw_map_get (
          &table->buckets, quo_pool_key (usage->organisation, i));
      if (bucket == NULL)
        continue;
      usage->is_owner = true;
      usage->granted_per_s += quo_meter_rate (&bucket->granted, now);
    }
}

bool
quo_find_usage (const struct quo_table *table, uint64_t organisation,
                struct quo_usage *usage, rw_time now)
{
  const struct quo_user *user = rw_map_get (&table->users, organisation);
  *usage = (struct quo_usage){ .organisation = organisation };
  if (user != NULL)
    {
      usage->rate_per_s = quo_meter_rate (&user->use, now);
      usage->taken = user->taken;
      usage->refused = user->refused;
      usage->decided_at = user->decided_at;
      for (size_t i = 0; i < QUO_MAX_LOTS; i++)
        if (user->lots[i].expires > now)
          usage->held += user->lots[i].tokens;
    }
  add_owned (table, usage, now);
  return user != NULL || usage->is_owner;
}

/* Returns whether BUCKET is the first one of its organisation, which has no
   requests here.  */
static bool
is_listed (const struct quo_table *table, const struct quo_bucket *bucket)
{
  if (rw_map_get (&table->users, bucket->organisation) != NULL)
    return false;
  for (uint32_t i = 0; i < bucket->pool; i++)
    if (rw_map_get (&table->buckets, quo_pool_key (bucket->organisation, i))
        != NULL)
      return false;
  return true;
}

bool
quo_next_usage (const struct quo_table *table, size_t *position,
                struct quo_usage *usage, rw_time now)
{
  const struct quo_user *user = rw_map_next (&table->users, position);
  if (user != NULL)
    return quo_find_usage (table, user->limit.organisation, usage, now);
  /* Buckets follow the organisations.  */
  size_t rest = *position - table->users.cap;
  const struct quo_bucket *bucket;
  while ((bucket = rw_map_next (&table->buckets, &rest)) != NULL)
    if (is_listed (table, bucket))
      break;
  *position = table->users.cap + rest;
  return bucket != NULL
         && quo_find_usage (table, bucket->organisation, usage, now);
}
