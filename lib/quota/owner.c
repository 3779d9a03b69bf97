#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "parts.h"

/* A bucket with less capacity than this is not divided.  */
#define MIN_STRIPE_CAP 3.0
/* A new owner waits as long as the fraction of live daemons falls: the others
   are found to be silent one after the other, and an owner among them grants
   as much as before until it finds the same.  */
#define FALL_STEP 0.02
/* Later, an owner only follows the fraction.  */
#define YOUNG_TIME (30 * RW_SEC)
/* Callers that are refused are told to return within this time.  */
#define MAX_PROMISE (4 * RW_SEC)
/* Ownership of a bucket is looked up again after this time.  */
#define CHECK_INTERVAL (250 * RW_MSEC)
/* Buckets that were not asked for this time are dropped.  Their next owner
   must settle, so this is long.  */
#define BUCKET_LIFE (600 * RW_SEC)
/* Buckets that a tick looks at.  */
#define BUCKETS_PER_TICK 64
/* Entries among which an idle one is sought in a full table.  */
#define DROP_CANDIDATES 16
#define MIN_DROP_AGE (10 * RW_SEC)
#define METER_TIME (0.5)

void
quo_meter_add (struct quo_meter *meter, double count, rw_time now)
{
  meter->per_s = quo_meter_rate (meter, now) + count / METER_TIME;
  meter->at = now;
}

double
quo_meter_rate (const struct quo_meter *meter, rw_time now)
{
  double span = (double)(now - meter->at) / RW_SEC;
  return span > 0 ? meter->per_s * exp (-span / METER_TIME) : meter->per_s;
}

rw_time
quo_saved_time (const struct quo_table *table)
{
  const struct quo_settings *s = &table->settings;
  return (rw_time)(SAVED_PART * s->overshoot * (double)s->window);
}

rw_time
quo_token_life (const struct quo_table *table)
{
  const struct quo_settings *s = &table->settings;
  double life = LIFE_PART * s->overshoot * (double)s->window;
  return (rw_time)fmin (fmax (life, 100 * RW_MSEC), RW_SEC);
}

double
quo_spare_rate (const struct quo_table *table, const struct quo_limit *limit,
                double part, double slack_part)
{
  const struct quo_settings *s = &table->settings;
  return part * s->overshoot * limit->rate_per_s
         + slack_part * s->slack * RW_SEC / (double)s->window;
}

/* Tokens that all buckets of LIMIT hold together.  */
static double
whole_cap (const struct quo_table *table, const struct quo_limit *limit)
{
  double saved = limit->rate_per_s * (double)quo_saved_time (table) / RW_SEC;
  /* One token more than the least, so that none is lost while it is asked
     for.  */
  double least = table->settings.slack >= 4 ? 2 : 1;
  return fmax (fmax (limit->burst, saved), least);
}

uint32_t
quo_stripes (const struct quo_table *table, const struct quo_limit *limit)
{
  double stripes = floor (whole_cap (table, limit) / MIN_STRIPE_CAP);
  return (uint32_t)fmin (fmax (stripes, 1), QUO_MAX_STRIPES);
}

uint64_t
quo_pool_key (uint64_t organisation, uint32_t pool)
{
  return rw_hash_u64 (organisation, pool);
}

/* Sets the rate and the capacity of POOL of LIMIT.  Returns false if LIMIT has
   no such pool.  */
static bool
pool_limit (const struct quo_table *table, const struct quo_limit *limit,
            uint32_t pool, double *rate, double *cap)
{
  uint32_t stripes = quo_stripes (table, limit);
  if (pool == QUO_RESERVE)
    {
      *rate = quo_spare_rate (table, limit, RESERVE_PART, RESERVE_SLACK_PART);
      *cap = fmax (*rate * (double)quo_saved_time (table) / RW_SEC, 1);
      return *rate > 0;
    }
  *rate = limit->rate_per_s / stripes;
  *cap = whole_cap (table, limit) / stripes;
  return pool < stripes;
}

void
quo_note_fraction (struct quo_table *table, const struct quo_view *view,
                   rw_time now)
{
  double fraction = fmin (fmax (view->fraction, 0), 1);
  int64_t second = now / RW_SEC;
  size_t slot = (size_t)(second % QUO_FRACTION_SLOTS);
  if (table->fraction_seconds[slot] != second)
    {
      table->fraction_seconds[slot] = second;
      table->fractions[slot] = fraction;
    }
  table->fractions[slot] = fmin (table->fractions[slot], fraction);
  if (fraction < table->fraction_mark - FALL_STEP)
    {
      table->fraction_mark = fraction;
      table->fraction_fell_at = now;
    }
  table->fraction_mark = fmax (table->fraction_mark, fraction);
}

/* The lowest fraction of the last seconds.  When two sides of a partition meet
   again, their fractions rise only after their views agree on the owners.  */
static double
held_fraction (const struct quo_table *table, rw_time now)
{
  double lowest = 1;
  int64_t second = now / RW_SEC;
  if (is_without (table, QUO_WITHOUT_FRACTION))
    return 1;
  for (size_t i = 0; i < QUO_FRACTION_SLOTS; i++)
    if (second - table->fraction_seconds[i] < QUO_FRACTION_SLOTS)
      lowest = fmin (lowest, table->fractions[i]);
  return lowest;
}

static void
refill (const struct quo_table *table, struct quo_bucket *bucket, rw_time now)
{
  double fraction = held_fraction (table, now);
  if (now > bucket->at)
    {
      bucket->tokens
          += fraction * bucket->rate * (double)(now - bucket->at) / RW_SEC;
      bucket->at = now;
    }
  bucket->tokens = fmin (bucket->tokens, fmax (fraction * bucket->cap, 1));
}

/* Applies RATE and CAP.  What a lower limit would not have given is taken
   away.  */
static void
set_limit (const struct quo_table *table, struct quo_bucket *bucket,
           double rate, double cap)
{
  if (rate < bucket->rate && !is_without (table, QUO_WITHOUT_FALL))
    bucket->tokens *= rate / bucket->rate;
  bucket->rate = rate;
  bucket->cap = cap;
}

/* Makes room for one more bucket.  Returns false if none is idle.  */
static bool
make_room (struct quo_table *table, rw_time now)
{
  struct quo_bucket *idle = NULL;
  size_t position = 0;
  if (table->buckets.len < QUO_MAX_BUCKETS)
    return true;
  position = (size_t)rw_rng_below (&table->rng, table->buckets.cap);
  for (size_t i = 0; i < DROP_CANDIDATES; i++)
    {
      struct quo_bucket *bucket = rw_map_next (&table->buckets, &position);
      if (bucket == NULL)
        break;
      if (idle == NULL || bucket->asked_at < idle->asked_at)
        idle = bucket;
    }
  if (idle == NULL || now - idle->asked_at < MIN_DROP_AGE)
    return false;
  rw_map_remove (&table->buckets,
                 quo_pool_key (idle->organisation, idle->pool));
  free (idle);
  return true;
}

/* Adds a bucket for ASK, with the tokens of the time for which this daemon has
   been the owner, when nobody asked.  Returns a null pointer if there is no
   room.  */
static struct quo_bucket *
add_bucket (struct quo_table *table, const struct quo_view *view,
            const struct quo_item *ask, double rate, double cap, rw_time now)
{
  rw_time owned = 0;
  if (view->owned_for != NULL)
    owned = view->owned_for (view->arg,
                             quo_pool_key (ask->organisation, ask->pool), now);
  rw_time asked = (rw_time)ask->age_ms * RW_MSEC;
  rw_time age = asked > owned ? asked : owned;
  rw_time rest = age < SETTLE_TIME ? SETTLE_TIME - age : 0;
  if (!make_room (table, now))
    return NULL;
  struct quo_bucket *bucket = rw_xcalloc (1, sizeof *bucket);
  bucket->organisation = ask->organisation;
  bucket->pool = ask->pool;
  bucket->rate = rate;
  bucket->cap = cap;
  bucket->at = now;
  bucket->owned_since = now - owned;
  if (owned > SETTLE_TIME)
    bucket->tokens = fmin (rate * (double)(owned - SETTLE_TIME) / RW_SEC, cap);
  bucket->settled_at
      = is_without (table, QUO_WITHOUT_SETTLE) ? now : now + rest;
  rw_map_put (&table->buckets, quo_pool_key (ask->organisation, ask->pool),
              bucket);
  return bucket;
}

static void
drop_bucket (struct quo_table *table, struct quo_bucket *bucket)
{
  rw_map_remove (&table->buckets,
                 quo_pool_key (bucket->organisation, bucket->pool));
  free (bucket);
}

/* Returns whether this daemon owns the pool with KEY, of which it may have
   BUCKET.  */
static bool
owns (const struct quo_table *table, const struct quo_view *view,
      struct quo_bucket *bucket, uint64_t key, rw_time now)
{
  if (bucket != NULL && now - bucket->checked_at < CHECK_INTERVAL)
    return true;
  if (view->owner (view->arg, key, now) != table->settings.daemon)
    return false;
  if (bucket != NULL)
    bucket->checked_at = now;
  return true;
}

/* Returns the time from which BUCKET may grant.  */
static rw_time
settled_time (const struct quo_table *table, const struct quo_view *view,
              const struct quo_bucket *bucket, rw_time now)
{
  rw_time fell_at = table->fraction_fell_at;
  if (is_without (table, QUO_WITHOUT_SETTLE))
    return bucket->owned_since;
  if (now - bucket->owned_since < YOUNG_TIME && fell_at > 0
      && fell_at + SETTLE_TIME > bucket->settled_at)
    return fell_at + SETTLE_TIME;
  if (bucket->settled_at > now && now - bucket->owned_since >= STABLE_TIME
      && view->unchanged_for != NULL
      && view->unchanged_for (view->arg, now) >= STABLE_TIME)
    return now;
  return bucket->settled_at;
}

/* Returns the time from NOW until the next token is there.  */
static rw_time
next_token (const struct quo_table *table, const struct quo_bucket *bucket,
            rw_time now)
{
  double rate = bucket->rate * held_fraction (table, now);
  double missing = fmax (1 - bucket->tokens, 0);
  double wait = missing * RW_SEC;
  if (rate <= 0 || wait / rate > MAX_PROMISE * 15)
    return MAX_PROMISE * 15;
  return (rw_time)ceil (wait / rate);
}

/* Returns the time after which an asker with LEFT requests that got no token
   is to ask again.  Askers get successive times.  */
static rw_time
promise (const struct quo_table *table, struct quo_bucket *bucket,
         uint32_t left, rw_time now)
{
  rw_time first = now + next_token (table, bucket, now);
  double rate = bucket->rate * held_fraction (table, now);
  if (left == 0 || rate <= 0 || is_without (table, QUO_WITHOUT_RETRY))
    return first - now;
  if (bucket->promised_at > first)
    first = bucket->promised_at;
  double span = fmin (left / rate, (double)MAX_PROMISE / RW_SEC) * RW_SEC;
  rw_time last = now + MAX_PROMISE;
  bucket->promised_at = first + (rw_time)span;
  if (bucket->promised_at > last)
    bucket->promised_at = last;
  return first - now;
}

/* Returns whether BUCKET of LIMIT may grant.  When it begins to, it has saved
   the tokens of a short time at most: an owner before it may have granted all
   that it had.  */
static bool
is_settled (const struct quo_table *table, const struct quo_view *view,
            struct quo_bucket *bucket, const struct quo_limit *limit,
            rw_time now)
{
  const struct quo_settings *s = &table->settings;
  rw_time from = settled_time (table, view, bucket, now);
  if (from > now)
    {
      bucket->is_settled = false;
      return false;
    }
  if (bucket->is_settled)
    return true;
  double saved = START_PART * s->overshoot * limit->rate_per_s
                     * (double)s->window / RW_SEC
                 + START_SLACK_PART * s->slack;
  double since = bucket->rate * held_fraction (table, now)
                 * (double)(now - from) / RW_SEC;
  bucket->tokens
      = fmin (bucket->tokens, saved / quo_stripes (table, limit) + since);
  bucket->is_settled = true;
  return true;
}

void
quo_grant (struct quo_table *table, const struct quo_view *view,
           const struct quo_item *ask, rw_time now, struct quo_item *answer)
{
  struct quo_limit limit;
  uint64_t key = quo_pool_key (ask->organisation, ask->pool);
  struct quo_bucket *bucket = rw_map_get (&table->buckets, key);
  double rate = 0;
  double cap = 0;
  answer->answer = QUO_NOT_OWNER;
  answer->tokens = 0;
  answer->wait = SETTLE_TIME;
  quo_note_fraction (table, view, now);
  if (!view->limit (view->arg, ask->organisation, &limit)
      || !pool_limit (table, &limit, ask->pool, &rate, &cap)
      || !owns (table, view, bucket, key, now))
    {
      if (bucket != NULL)
        drop_bucket (table, bucket);
      return;
    }
  if (bucket == NULL)
    bucket = add_bucket (table, view, ask, rate, cap, now);
  if (bucket == NULL)
    return;
  bucket->asked_at = now;
  refill (table, bucket, now);
  set_limit (table, bucket, rate, cap);
  refill (table, bucket, now);
  answer->answer = QUO_SETTLING;
  if (!is_settled (table, view, bucket, &limit, now))
    {
      answer->wait = settled_time (table, view, bucket, now) - now;
      return;
    }
  answer->wait = 0;
  answer->tokens = (uint32_t)fmin (floor (bucket->tokens), ask->wanted);
  bucket->tokens -= answer->tokens;
  quo_meter_add (&bucket->granted, answer->tokens, now);
  answer->answer = answer->tokens < ask->wanted ? QUO_SHORT : QUO_GRANTED;
  if (answer->answer == QUO_SHORT)
    answer->wait = promise (
        table, bucket,
        ask->waiting > answer->tokens ? ask->waiting - answer->tokens : 0,
        now);
}

/* Returns whether BUCKET is still of use.  */
static bool
is_wanted (struct quo_table *table, const struct quo_view *view,
           struct quo_bucket *bucket, rw_time now)
{
  struct quo_limit limit;
  double rate;
  double cap;
  uint64_t key = quo_pool_key (bucket->organisation, bucket->pool);
  if (now - bucket->asked_at >= BUCKET_LIFE
      || !view->limit (view->arg, bucket->organisation, &limit)
      || !pool_limit (table, &limit, bucket->pool, &rate, &cap)
      || !owns (table, view, bucket, key, now))
    return false;
  refill (table, bucket, now);
  set_limit (table, bucket, rate, cap);
  return true;
}

void
quo_tick_buckets (struct quo_table *table, const struct quo_view *view,
                  rw_time now)
{
  for (size_t i = 0; i < BUCKETS_PER_TICK && table->buckets.len > 0; i++)
    {
      struct quo_bucket *bucket
          = rw_map_next (&table->buckets, &table->next_bucket);
      if (bucket == NULL)
        {
          table->next_bucket = 0;
          return;
        }
      if (!is_wanted (table, view, bucket, now))
        drop_bucket (table, bucket);
    }
}
