#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

/* Counts what searchers are told of the callers.  */

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

void
site_count_caller (struct site *site, const struct h1_message *message)
{
  struct rw_str name = h1_header_value (message, "X-Redwingfork-Tenant");
  if (site->organisations.len < SITE_MAX_ORGANISATIONS)
    organisation_of (site, name)->requests++;
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
