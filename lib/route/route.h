/* Choice of replica and of holder.  The caller describes the partition map by
   a view: arrays that it owns, whose flags it may change at any time.  */

#ifndef RTE_ROUTE_H
#define RTE_ROUTE_H

#include "base.h"

#define RTE_NONE UINT32_MAX

/* What an entry daemon knows of one target from the parts it sent to it.  It
   belongs to the target, not to a map, so that it survives a new map.  */
struct rte_estimate
{
  rw_time latency;       /* moving average less the way there and back */
  rw_time latency_at;    /* time of the last sample, 0: none yet */
  rw_time one_way_delay; /* one way to the daemon that holds the target */
  uint32_t in_flight;    /* parts sent and not ended */
  double failures;       /* halved every RTE_FAILURE_HALF_LIFE */
  rw_time failures_at;   /* time at which "failures" was computed */
  rw_time refused_until; /* end of the Retry-After of the last refusal */
};

#define RTE_FAILURE_HALF_LIFE (500 * RW_MSEC)
/* More recent failures than these count no more: a target that failed for long
   is tried again within 2 s.  */
#define RTE_FAILURES_MAX 4.0
/* An average without new samples halves in this time, so that a target that
   was slow once is tried again.  */
#define RTE_LATENCY_HALF_LIFE (1 * RW_SEC)
/* Expected time of a target without samples, so that new targets are tried
   early, and the time that one recent failure adds.  */
#define RTE_LATENCY_DEFAULT (1 * RW_MSEC)
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
  bool leaving;                  /* by rule or by the platform's list */
};

struct rte_shard
{
  const uint32_t *replicas; /* indexes into targets of the view */
  size_t replica_count;
};

struct rte_view
{
  const struct rte_target *targets;
  size_t target_count;
  const struct rte_shard *shards;
  size_t shard_count;
  const bool *dc_out; /* data centres that a rule has taken out */
  size_t dc_count;
};

/* A replica that was used for the same part before.  */
struct rte_tried
{
  uint32_t target;
  bool excluded; /* not again, even if there is no other */
};

bool rte_is_usable (const struct rte_view *view, uint32_t target);
uint32_t rte_choose_replica (const struct rte_view *view, uint32_t shard,
                             const struct rte_tried *tried, size_t tried_count,
                             struct rw_rng *rng, rw_time now);
uint32_t rte_first_replica (const struct rte_view *view, uint32_t shard,
                            const uint32_t *tried, size_t tried_count);
uint32_t rte_shard_of (const struct rte_view *view, struct rw_str key);

/* A daemon that may hold a target, in the order of rank.  */
struct rte_candidate
{
  uint64_t member; /* any number that names the daemon, not 0 */
  bool alive;      /* membership hint */
};

#define RTE_CORRECTION_TIME (1 * RW_SEC)
#define RTE_DENIALS_MAX 4

/* What "not holder" answers said about one target.  */
struct rte_correction
{
  uint64_t hint; /* member named as holder, 0: none */
  rw_time hint_until;
  uint64_t denied[RTE_DENIALS_MAX]; /* members that said they do not hold */
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
