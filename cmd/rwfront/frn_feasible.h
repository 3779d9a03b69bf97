/* Requests that cannot be served: what the other files of the daemon call.  */

#ifndef FRN_FEASIBLE_H
#define FRN_FEASIBLE_H

#include "front.h"

/* Returns the time until the least number of parts of REQUEST have a usable
   target: 0 if they have, RW_TIME_NEVER if that is not known.  */
rw_time frn_time_until_servable (struct frn_request *request, rw_time now);
/* Returns when the caller of a refused request is to return: when the targets
   that asked to be left alone can be used again, or the targets that failed
   are expected back, or after the USUAL time if that is not what the request
   waits for.  */
rw_time frn_return_time (struct frn_request *request, rw_time usual,
                         rw_time now);
/* The limits of the retry budget of SERVICE.  */
struct ext_limits frn_budget_limits (const struct frn_daemon *daemon,
                                     const struct ste_service *service);
/* Decides whether a request that is not sent yet can be served before its
   deadline, or is to be sent as a probe.  */
bool frn_feasible_admit (struct frn_request *request, rw_time now);
/* Renews the forecast of REQUEST if it is due.  */
void frn_feasible_update (struct frn_request *request, rw_time now);
/* Whether REQUEST is given up before its deadline, as too few of its parts can
   be answered.  */
bool frn_is_infeasible (const struct frn_request *request);
/* Whether a part for which an infeasible REQUEST was given up is at a target
   that does not answer.  */
bool frn_gave_up_waiting (const struct frn_request *request);

#endif
