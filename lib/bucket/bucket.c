#include <math.h>

#include "bucket.h"

#define MAX_DEBT_TOKENS 1.0

void
bkt_init (struct bkt_bucket *bucket, double level, rw_time now)
{
  *bucket = (struct bkt_bucket){ level, now };
}

/* Tokens that RATE yields in SPAN.  */
static double
yield (const struct bkt_rate *rate, rw_time span)
{
  return rate->per_s * (double)span / RW_SEC;
}

/* The tokens of BUCKET at NOW, without those that have lapsed.  */
static double
tokens_at (const struct bkt_bucket *bucket, const struct bkt_rate *rate,
           rw_time now)
{
  double tokens = bucket->tokens;
  double in_life = yield (rate, rate->life);
  if (now > bucket->at)
    tokens += yield (rate, now - bucket->at);
  if (in_life >= 1)
    return fmin (tokens, fmax (yield (rate, rate->burst), 1));
  /* A token lapses when IN_LIFE of the next one has come.  */
  if (tokens >= 1 + in_life)
    tokens -= floor (tokens - in_life);
  return tokens;
}

bool
bkt_ready (const struct bkt_bucket *bucket, const struct bkt_rate *rate,
           rw_time now)
{
  return tokens_at (bucket, rate, now) >= 1;
}

void
bkt_take (struct bkt_bucket *bucket, const struct bkt_rate *rate, rw_time now)
{
  bucket->tokens = fmax (tokens_at (bucket, rate, now) - 1, -MAX_DEBT_TOKENS);
  bucket->at = now;
}

rw_time
bkt_wait (const struct bkt_bucket *bucket, const struct bkt_rate *rate,
          rw_time now)
{
  double missing = 1 - tokens_at (bucket, rate, now);
  if (missing <= 0)
    return 0;
  double wait = ceil (missing / rate->per_s * RW_SEC);
  return wait < (double)RW_TIME_NEVER / 2 ? (rw_time)wait : RW_TIME_NEVER;
}
