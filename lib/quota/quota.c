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
/* A request waits for a token that comes within this time.  */
#define SHORT_WAIT (20 * RW_MSEC)
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
      if (!quo_is_absent (table, pool, now) && !pool->is_pending
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
  quo_expire_lots (table, user, now);
  for (size_t i = 0; i < QUO_POOLS; i++)
    {
      struct quo_pool *pool = &user->pools[i];
      if (!pool->is_pending || now - pool->asked_at < ASK_TIMEOUT)
        continue;
      pool->is_pending = false;
      pool->is_silent = true;
      quo_note_silence (table, pool->asked, pool->asked_at, now);
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
      quo_seek (table, view, user, now);
      reschedule (table, user, now);
    }
}

static bool
is_idle (const struct quo_user *user, rw_time age, rw_time now)
{
  return user->entries == 0 && quo_waiting_count (user) == 0
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
    if (!quo_is_absent (table, &user->pools[i], now))
      return false;
  if (!bkt_ready (&user->local, &rate, now))
    return false;
  bkt_take (&user->local, &rate, now);
  return true;
}

/* Returns the time after which the caller that is refused now is to return:
   after the one that was refused before it, by the time in which this daemon
   gets a token.  */
static rw_time
retry_time (struct quo_table *table, const struct quo_view *view,
            struct quo_user *user, rw_time now)
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
  /* Other daemons refuse callers of the same organisation.  */
  double rate = user->limit.rate_per_s;
  double here = fmax (quo_meter_rate (&user->use, now),
                      rate / fmax ((double)view->daemons, 1));
  double step = fmin (RW_SEC / fmin (here, rate), MAX_RETRY);
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
         && quo_waiting_count (user) <= fmax (soon, 1);
}

static enum quo_verdict
decide (struct quo_table *table, const struct quo_view *view,
        struct quo_user *user, bool is_repeat, rw_time now,
        rw_time *retry_after)
{
  bool is_taken = take_held (user);
  if (!is_taken)
    {
      quo_seek (table, view, user, now);
      is_taken = take_held (user);
    }
  if (!is_taken && should_wait (table, user, is_repeat, now))
    return QUO_WAIT;
  is_taken = is_taken || take_local (table, view, user, now);
  end_waiting (user, !is_repeat);
  if (!is_taken)
    {
      user->refused++;
      *retry_after = retry_time (table, view, user, now);
      return QUO_REFUSED;
    }
  user->taken++;
  quo_meter_add (&user->use, 1, now);
  quo_seek (table, view, user, now);
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
  quo_expire_lots (table, user, now);
  /* Not more than were taken while the token lived.  */
  double most = quo_meter_rate (&user->use, now)
                * (double)quo_token_life (table) / RW_SEC;
  if (user->last_expiry > now && quo_held_tokens (user) < fmax (most, 1))
    quo_add_lot (user, 1, user->last_expiry);
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
  struct quo_peer *peer = quo_find_peer (table, from);
  if (peer != NULL)
    *peer = (struct quo_peer){ 0 };
  if (!is_without (table, QUO_WITHOUT_ONE_USE))
    pool->number = ask->number = 0;
  advance (table, user, now);
  quo_apply_answer (table, user, pool, answer, now);
  quo_seek (table, view, user, now);
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
  quo_push_item (table, &answer);
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
        quo_refresh_owner (view, user, QUO_RESERVE, now);
    }
}
