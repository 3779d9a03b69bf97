/* Simulates two query tiers on the same seeded workload: a naive one, and this
   project's, built from lib/query, lib/route and lib/admit.  */

#ifndef LOAD_TIERS_H
#define LOAD_TIERS_H

#include "model.h"

enum tie_kind
{
  /* Each daemon alone sends to a random replica, without limits or hedges, and
     waits for all parts.  */
  TIE_NAIVE,
  /* Like TIE_NAIVE, but answers at the deadline with the parts it has.  */
  TIE_NAIVE_DEADLINE,
  TIE_OURS
};

struct tie_config
{
  const struct mdl_profile *profile;
  const struct mdl_service *service;
  double load;          /* fraction of the warm slots that first sends use */
  rw_time warm_up;      /* queries that arrive earlier are not counted */
  rw_time duration;     /* counted time */
  double hedge_percent; /* as in struct qry_env */
  unsigned int disabled_mechanisms; /* qry_mechanism bits to disable */
  rw_time straggler_change_at;      /* the straggler share changes; 0: never */
  double new_straggler_share;       /* the share from then on */
  /* Between these times VM 0 refuses parts for its targets, as if they had no
     holder.  */
  rw_time no_holder_from;
  rw_time no_holder_until;
  uint64_t seed;
};

struct tie_result
{
  uint64_t queries;
  uint64_t in_time; /* answered by the deadline */
  uint64_t shards;
  uint64_t covered;
  uint64_t covered_in_time;
  uint64_t first_sends;
  uint64_t extra_sends; /* hedges and retries, including the warm-up */
  uint64_t hedges;
  uint64_t refused;  /* parts that were refused before they ran */
  int peak_permille; /* highest concurrency over capacity, in 1/1000 */
  struct rw_hist latency;
};

double tie_rate (const struct tie_config *config);
void tie_run (const struct tie_config *config, enum tie_kind kind,
              struct tie_result *result);

#endif
