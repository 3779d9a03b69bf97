#include "forward.h"
#include "access.h"

/* Whether the copy of the configuration was confirmed as current too long ago
   for its keys to be relied on.  */
static bool
is_stale (const struct frn_daemon *daemon, rw_time now)
{
  return daemon->settings.strict_revocation
         && now - daemon->peers.current_at > daemon->settings.revocation_time;
}

enum frn_access
frn_access_check (const struct frn_daemon *daemon, struct frn_arrival *arrival)
{
  const struct org_directory *organisations = &daemon->config->organisations;
  if (organisations->count == 0)
    return FRN_ACCESS_GRANTED;
  if (arrival->relayed)
    arrival->organisation = frn_relay_organisation (daemon, arrival->message);
  arrival->checked_by_peer = arrival->organisation != NULL;
  if (arrival->checked_by_peer)
    return FRN_ACCESS_GRANTED;
  arrival->organisation = org_find_key (organisations, arrival->head->key);
  if (arrival->route->is_public)
    return FRN_ACCESS_GRANTED;
  if (is_stale (daemon, rw_now ()))
    return FRN_ACCESS_STALE;
  return arrival->organisation != NULL ? FRN_ACCESS_GRANTED
                                       : FRN_ACCESS_NO_KEY;
}
