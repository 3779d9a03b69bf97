/* Limits of what all daemons together send to a target: the one that it names,
   and that of its warm-up.  Each daemon has a share.  */

#include <math.h>

#include "impl.h"

/* Fractions of the limits of a target that all daemons together use.  The rest
   covers daemons that disagree on how many they are.  */
#define WARMUP_LIMIT_FRACTION 0.7
#define NAMED_LIMIT_FRACTION 0.9
/* How long an unused part of a share can be used, and saved.  */
#define WARMUP_TOKEN_LIFE (500 * RW_MSEC)
#define LIMIT_TOKEN_LIFE RW_SEC
#define LIMIT_BURST_TIME (500 * RW_MSEC)
/* The daemons of a target's data centre send it most of its requests, so they
   share this fraction of its limit, and all others the rest.  */
#define HOME_SHARE 0.75
/* A lower limit counts as this, as only a reply shows its end.  */
#define MIN_LIMIT_PER_S 0.2

bool
ste_is_cold (const struct ste_target *target, rw_time now)
{
  return now < target->cold_until;
}

/* Returns this daemon's share of PER_S requests a second that TARGET takes
   from all daemons together.  */
static double
share_of (const struct ste_fleet *fleet, const struct ste_target *target,
          double per_s)
{
  const struct ste_settings *s = &fleet->settings;
  bool is_shard = target->service->is_shard;
  double sharers = (double)ste_limit_sharers (fleet, target->service);
  double known = 0;
  double home = 0;
  for (size_t i = 0; i < s->dc_count; i++)
    {
      double count = (double)(is_shard ? s->dcs[i].shard : s->dcs[i].all);
      known += count;
      if (s->dcs[i].dc == (uint32_t)target->dc)
        home += count;
    }
  /* Daemons that are not known are taken to be spread like those that are.  */
  if (known > 0 && known < sharers)
    home = ceil (home * sharers / known);
  if (home < 1 || home >= sharers)
    return per_s / sharers;
  if (target->dc == s->dc)
    return per_s * HOME_SHARE / home;
  return per_s * (1 - HOME_SHARE) / (sharers - home);
}

static struct bkt_rate
limit_rate (const struct ste_fleet *fleet, const struct ste_target *target)
{
  double per_s = fmax (target->limit_per_s, MIN_LIMIT_PER_S);
  return (struct bkt_rate){ .per_s = share_of (fleet, target, per_s)
                                     * NAMED_LIMIT_FRACTION,
                            .life = LIMIT_TOKEN_LIFE,
                            .burst = LIMIT_BURST_TIME };
}

bool
ste_limit_allows (const struct ste_fleet *fleet,
                  const struct ste_target *target, rw_time now)
{
  if (!target->limited)
    return true;
  struct bkt_rate rate = limit_rate (fleet, target);
  return bkt_ready (&target->limit, &rate, now);
}

void
ste_spend_limit (const struct ste_fleet *fleet, struct ste_target *target,
                 rw_time now)
{
  if (!target->limited)
    return;
  struct bkt_rate rate = limit_rate (fleet, target);
  bkt_take (&target->limit, &rate, now);
  target->sends_in_limit++;
}

bool
ste_on_limit (struct ste_fleet *fleet, struct ste_target *target, double per_s,
              rw_time now)
{
  bool is_news = !target->limited || target->limit_per_s != per_s;
  if (!target->limited)
    {
      target->limit_since = now;
      target->sends_in_limit = 0;
      bkt_init (&target->limit, rw_rng_unit (&fleet->rng), now);
    }
  target->limited = true;
  target->limit_per_s = per_s;
  target->limit_heard_at = now;
  return is_news;
}

bool
ste_on_no_limit (struct ste_target *target, bool ran, rw_time sent_at)
{
  if (!target->limited || !ran || sent_at < target->limit_heard_at)
    return false;
  target->limited = false;
  return true;
}

static struct bkt_rate
warmup_rate (const struct ste_fleet *fleet, const struct ste_target *target)
{
  double limit = target->service->warmup_limit_per_s;
  return (struct bkt_rate){ .per_s = share_of (fleet, target, limit)
                                     * WARMUP_LIMIT_FRACTION,
                            .life = WARMUP_TOKEN_LIFE };
}

static bool
has_warmup_limit (const struct ste_target *target, rw_time now)
{
  return target->service->warmup_limit_per_s > 0 && ste_is_cold (target, now);
}

bool
ste_warmup_allows (struct ste_fleet *fleet, struct ste_target *target,
                   rw_time now)
{
  if (!has_warmup_limit (target, now))
    return true;
  if (!target->warmup_begun)
    bkt_init (&target->warmup, rw_rng_unit (&fleet->rng), now);
  target->warmup_begun = true;
  struct bkt_rate rate = warmup_rate (fleet, target);
  return bkt_ready (&target->warmup, &rate, now);
}

void
ste_spend_warmup (struct ste_fleet *fleet, struct ste_target *target,
                  rw_time now)
{
  if (!has_warmup_limit (target, now))
    return;
  struct bkt_rate rate = warmup_rate (fleet, target);
  bkt_take (&target->warmup, &rate, now);
}

double
ste_limit_wait (const struct ste_fleet *fleet, const struct ste_target *target,
                rw_time now)
{
  if (!target->limited)
    return 0;
  struct bkt_rate rate = limit_rate (fleet, target);
  double own_wait = (double)bkt_wait (&target->limit, &rate, now);
  return fmin (own_wait, RW_SEC / fmax (target->limit_per_s, MIN_LIMIT_PER_S));
}
