/* Token bucket of this daemon's share of a rate that all daemons have
   together.  What all of them spend in a window is bounded by the sum of the
   shares, and by what they have saved when a burst begins.  A share may be far
   below one token a second, so that each daemon could hold a whole token and
   all spend it at once: unused tokens therefore lapse.  Nothing here reads a
   clock.  */

#ifndef BKT_BUCKET_H
#define BKT_BUCKET_H

#include "base.h"

struct bkt_rate
{
  double per_s;  /* tokens a second, at least 0 */
  rw_time life;  /* how long an unused token can be spent */
  rw_time burst; /* a bucket that gets more than one token in its LIFE saves
                    those of this time, but at least one */
};

struct bkt_bucket
{
  double tokens; /* at the time AT */
  rw_time at;
};

/* Initialises BUCKET with LEVEL, 0 to 1.  The levels of different daemons are
   spread evenly over that range, so that their tokens come one after the
   other.  */
void bkt_init (struct bkt_bucket *bucket, double level, rw_time now);
/* Returns whether a token can be spent at NOW.  */
bool bkt_ready (const struct bkt_bucket *bucket, const struct bkt_rate *rate,
                rw_time now);
/* Spends a token, also if none is ready: the next one then comes later, by at
   most the time of two tokens.  */
void bkt_take (struct bkt_bucket *bucket, const struct bkt_rate *rate,
               rw_time now);
/* Returns the time from NOW until a token is ready, RW_TIME_NEVER if that is
   never.  */
rw_time bkt_wait (const struct bkt_bucket *bucket, const struct bkt_rate *rate,
                  rw_time now);

#endif
