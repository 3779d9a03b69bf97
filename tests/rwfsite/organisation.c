#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

/* Counts what searchers are told of the callers.  */

/* In any window of an organisation with a quota, so many times what the quota
   allows and so many requests more may arrive.  */
#define QUOTA_WINDOW (5 * RW_SEC)
#define QUOTA_TOLERANCE 1.25
#define QUOTA_SLACK 20

static struct site_organisation *
organisation_of (struct site *site, struct rw_str name)
{
  uint64_t key = rw_hash (name);
  struct site_organisation *o = rw_map_get (&site->organisations, key);
  if (o != NULL)
    return o;
  o = rw_xcalloc (1, sizeof *o);
  rw_map_put (&site->organisations, key, o);
  return o;
}

/* Checks the arrival of a request by the quota of O.  */
static void
check_quota (struct site_organisation *o, rw_time now)
{
  size_t allowed = (size_t)((o->rate_per_s * QUOTA_WINDOW / RW_SEC + o->burst)
                                * QUOTA_TOLERANCE
                            + QUOTA_SLACK);
  if (o->rate_per_s <= 0 || allowed >= SITE_MAX_ARRIVALS)
    return;
  if (o->arrived_count >= allowed
      && now - o->arrived[(o->arrived_count - allowed) % SITE_MAX_ARRIVALS]
             < QUOTA_WINDOW)
    o->over_quota++;
  o->arrived[o->arrived_count++ % SITE_MAX_ARRIVALS] = now;
}

void
site_count_caller (struct site *site, const struct h1_message *message)
{
  struct rw_str name = h1_header_value (message, "X-Redwingfork-Tenant");
  uint64_t id
      = rw_hash (h1_header_value (message, "X-Redwingfork-Request-Id"));
  if (site->organisations.len < SITE_MAX_ORGANISATIONS)
    organisation_of (site, name)->requests++;
  if (rw_map_get (&site->ids, id) == NULL && site->ids.len < SITE_MAX_RUNS)
    {
      rw_map_put (&site->ids, id, site);
      check_quota (organisation_of (site, name), rw_now ());
    }
  if (h1_header_value (message, "Authorization").len > 0)
    site->keys_seen++;
}

uint64_t
site_requests_of (struct site *site, struct rw_str name)
{
  const struct site_organisation *o
      = rw_map_get (&site->organisations, rw_hash (name));
  return o != NULL ? o->requests : 0;
}

void
site_set_quota (struct site *site, struct rw_str name, double rate_per_s,
                double burst)
{
  struct site_organisation *o = organisation_of (site, name);
  o->rate_per_s = rate_per_s;
  o->burst = burst;
}

uint64_t
site_over_quota (const struct site *site)
{
  size_t position = 0;
  uint64_t sum = 0;
  const struct site_organisation *o;
  while ((o = rw_map_next (&site->organisations, &position)) != NULL)
    sum += o->over_quota;
  return sum;
}
