/* Decides whose request it is, and whether that organisation may ask.  */

#ifndef FRN_ACCESS_H
#define FRN_ACCESS_H

#include "front.h"

enum frn_access
{
  FRN_ACCESS_GRANTED,
  FRN_ACCESS_NO_KEY, /* no key of an organisation, and the route needs one */
  FRN_ACCESS_STALE   /* the keys known here are too old to be relied on */
};

/* Sets the organisation of ARRIVAL, whose other members are set, and decides
   whether the request is admitted.  A peer names the organisation of what it
   forwards, and has checked the key.  */
enum frn_access frn_access_check (const struct frn_daemon *daemon,
                                  struct frn_arrival *arrival);

#endif
