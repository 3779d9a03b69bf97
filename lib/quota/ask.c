#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "parts.h"

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
/* The owner of a pool is looked up again after this time.  What was not looked
   up for OWNER_GAP may have changed and changed back.  */
#define OWNER_INTERVAL (1 * RW_SEC)
#define OWNER_GAP (30 * RW_SEC)

void
quo_push_item (struct quo_table *table, const struct quo_item *item)
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

struct quo_peer *
quo_find_peer (struct quo_table *table, uint32_t daemon)
{
  for (size_t i = 0; i < QUO_MAX_PEERS; i++)
    if (table->peers[i].failures > 0 && table->peers[i].daemon == daemon)
      return &table->peers[i];
  return NULL;
}

static bool
is_avoided (struct quo_table *table, uint32_t daemon, rw_time now)
{
  const struct quo_peer *peer = quo_find_peer (table, daemon);
  return peer != NULL && now < peer->avoid_until;
}

void
quo_note_silence (struct quo_table *table, uint32_t daemon, rw_time asked_at,
                  rw_time now)
{
  struct quo_peer *peer = quo_find_peer (table, daemon);
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

uint32_t
quo_waiting_count (const struct quo_user *user)
{
  return user->young + user->old + user->overdue;
}

uint32_t
quo_held_tokens (const struct quo_user *user)
{
  uint32_t held = 0;
  for (size_t i = 0; i < QUO_MAX_LOTS; i++)
    held += user->lots[i].tokens;
  return held;
}

void
quo_expire_lots (const struct quo_table *table, struct quo_user *user,
                 rw_time now)
{
  if (is_without (table, QUO_WITHOUT_EXPIRY))
    return;
  for (size_t i = 0; i < QUO_MAX_LOTS; i++)
    if (user->lots[i].expires <= now)
      user->lots[i].tokens = 0;
}

void
quo_add_lot (struct quo_user *user, uint32_t tokens, rw_time expires)
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

void
quo_refresh_owner (const struct quo_view *view, struct quo_user *user,
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

void
quo_apply_answer (struct quo_table *table, struct quo_user *user,
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
    quo_add_lot (user,
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
          .waiting = quo_waiting_count (user) };
  p->wanted = ask.wanted;
  p->asked = p->owner;
  p->asked_at = now;
  p->number = 0;
  if (p->owner == table->settings.daemon)
    {
      quo_grant (table, view, &ask, now, &answer);
      quo_apply_answer (table, user, p, &answer, now);
      return;
    }
  if (table->next_number == 0)
    table->next_number++;
  ask.number = table->next_number++;
  table->asks[ask.number % QUO_MAX_ASKS]
      = (struct quo_ask){ ask.organisation, ask.number, pool };
  p->number = ask.number;
  p->is_pending = true;
  quo_push_item (table, &ask);
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
  uint32_t waiting = quo_waiting_count (user);
  uint32_t have = quo_held_tokens (user);
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
  quo_refresh_owner (view, user, pool, now);
  return !p->is_pending && p->closed_until <= now
         && !is_avoided (table, p->owner, now);
}

bool
quo_is_absent (struct quo_table *table, const struct quo_pool *pool,
               rw_time now)
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
  uint32_t waiting = quo_waiting_count (user);
  uint32_t expected = quo_held_tokens (user);
  bool is_any_absent = false;
  for (uint32_t i = 0; i < stripes; i++)
    {
      const struct quo_pool *pool = &user->pools[i];
      is_any_absent |= quo_is_absent (table, pool, now);
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

void
quo_seek (struct quo_table *table, const struct quo_view *view,
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
