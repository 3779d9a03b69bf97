/* Chooses the replica for a part, and the daemon to which the part is sent.
   The caller describes the partition map by a view: arrays that it owns, of
   which it may change the flags at any time.  */

#ifndef RTE_ROUTE_H
#define RTE_ROUTE_H

#include "base.h"

/* Returned instead of an index if there is nothing to choose.  */
#define RTE_NONE UINT32_MAX

/* What an entry daemon has learned of one target from the parts that it sent
   there.  The estimate belongs to the target, not to a partition map, so that
   a new map does not reset it.  */
struct rte_estimate
{
  rw_time latency;       /* moving average, without the round trip */
  rw_time latency_at;    /* time of the last sample, 0: no sample */
  rw_time one_way_delay; /* from this daemon to the target's holder */
  uint32_t in_flight;    /* parts sent that have not ended */
  double failures;       /* recent failures, halved per half-life */
  rw_time failures_at;   /* time of the last change of failures */
  rw_time refused_until; /* end of the Retry-After of the last refusal */
};

/* Recent failures lose half of their weight in this time.  */
#define RTE_FAILURE_HALF_LIFE (500 * RW_MSEC)
/* Bound of rte_estimate.failures: a target that failed for long is tried again
   within 2 s.  */
#define RTE_FAILURES_MAX 4.0
/* Without new samples, the average halves in this time, so that a target that
   was slow once is tried again.  */
#define RTE_LATENCY_HALF_LIFE (1 * RW_SEC)
/* Latency of a target without samples; low, so that new targets are tried
   early.  */
#define RTE_LATENCY_DEFAULT (1 * RW_MSEC)
/* What one recent failure adds to the expected time.  */
#define RTE_FAILURE_PENALTY (20 * RW_MSEC)

void rte_estimate_init (struct rte_estimate *estimate, rw_time now);
void rte_on_send (struct rte_estimate *estimate);
void rte_on_end (struct rte_estimate *estimate);
void rte_on_latency (struct rte_estimate *estimate, rw_time latency,
                     rw_time now);
void rte_on_unfinished (struct rte_estimate *estimate, rw_time at_least,
                        rw_time now);
void rte_on_failure (struct rte_estimate *estimate, rw_time now);
void rte_on_refusal (struct rte_estimate *estimate, rw_time retry_after,
                     rw_time now);
void rte_set_one_way_delay (struct rte_estimate *estimate, rw_time one_way);
rw_time rte_expected_time (const struct rte_estimate *estimate, rw_time now);

/* A target as the map and the rules describe it.  */
struct rte_target
{
  struct rw_str name;
  struct rte_estimate *estimate; /* owned by the caller, never null */
  uint32_t dc;                   /* index into dc_out of the view */
  bool leaving;                  /* by a rule or the platform's list */
};

/* The replicas of one shard, in the order of the map.  */
struct rte_shard
{
  const uint32_t *replicas; /* indexes into targets of the view */
  size_t replica_count;
};

/* A partition map.  All arrays are owned by the caller.  */
struct rte_view
{
  const struct rte_target *targets;
  size_t target_count;
  const struct rte_shard *shards;
  size_t shard_count;
  const bool *dc_out; /* by data centre: whether a rule has taken it out */
  size_t dc_count;
};

/* A replica to which the same part was sent before.  */
struct rte_tried
{
  uint32_t target;
  bool excluded; /* never choose it, even if there is no other */
};

bool rte_is_usable (const struct rte_view *view, uint32_t target);
uint32_t rte_choose_replica (const struct rte_view *view, uint32_t shard,
                             const struct rte_tried *tried, size_t tried_count,
                             struct rw_rng *rng, rw_time now);
uint32_t rte_first_replica (const struct rte_view *view, uint32_t shard,
                            const uint32_t *tried, size_t tried_count);
uint32_t rte_shard_of (const struct rte_view *view, struct rw_str key);

/* A daemon that may hold a target.  */
struct rte_candidate
{
  uint64_t member; /* a number that identifies the daemon, not 0 */
  bool alive;      /* by membership, which is only a hint */
};

/* How long a "not holder" answer is followed.  */
#define RTE_CORRECTION_TIME (1 * RW_SEC)
/* Members whose "not holder" answers are remembered at a time.  */
#define RTE_DENIALS_MAX 4

/* What recent "not holder" answers said about one target.  */
struct rte_correction
{
  uint64_t hint; /* member named as holder, 0: none */
  rw_time hint_until;
  uint64_t denied[RTE_DENIALS_MAX]; /* members that answered so, 0: none */
  rw_time denied_until[RTE_DENIALS_MAX];
};

void rte_correction_init (struct rte_correction *correction);
void rte_on_not_holder (struct rte_correction *correction, uint64_t member,
                        uint64_t hint, rw_time now);
uint32_t rte_choose_holder (const struct rte_candidate *candidates,
                            size_t count,
                            const struct rte_correction *correction,
                            rw_time now);

#endif
