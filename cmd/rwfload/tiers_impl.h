/* Declarations shared by tiers.c and tiers_run.c.  */

#ifndef LOAD_TIERS_IMPL_H
#define LOAD_TIERS_IMPL_H

#include "tiers.h"
#include "admit.h"
#include "query.h"

#define MAX_VMS 32
#define MAX_SEARCHERS 128
#define MAX_REPLICAS 4
#define DC_COUNT 3
/* Remaining time of the holder's lease when a part arrives (section 5 of the
   design page).  */
#define LEASE_REMAINING (900 * RW_MSEC)
#define MAX_RECORDS 100

struct query;

/* One attempt to run a part.  Freed after its last event.  */
struct part
{
  struct adm_part adm; /* first member */
  struct query *query;
  uint32_t attempt;
  uint32_t shard;
  uint32_t target;
  int refs;
  bool at_holder;
  enum qry_status status;
  rw_time retry_after;
};

/* One exchange with a searcher.  Freed after its last event.  */
struct exchange
{
  struct mdl_request request;
  struct adm_exchange adm; /* TIE_OURS */
  struct part *naive;      /* naive tiers; null for TIE_OURS */
  uint32_t target;
  struct adm_outcome outcome;
  bool in_model;
  bool ended;
  int refs;
};

struct query
{
  struct qry_query qry;
  uint32_t vm;
  rw_time arrived;
  rw_time timer;       /* earliest queued timer event */
  struct part **parts; /* indexed by attempt number */
  size_t part_cap;
  size_t unanswered; /* parts without answer (naive tiers) */
  size_t covered;    /* parts answered (naive tiers) */
  bool done;
  int refs;
};

enum event_kind
{
  EV_ARRIVAL,
  EV_STRAGGLER_CHANGE,
  EV_QUERY_TIMER,
  EV_PART_AT_HOLDER,
  EV_CANCEL_AT_HOLDER,
  EV_HOLDER_TIMER,
  EV_EXCHANGE_AT_TARGET,
  EV_TARGET_TIMER,
  EV_REPLY_AT_HOLDER,
  EV_CANCEL_AT_TARGET,
  EV_RESULT_AT_ENTRY
};

struct event
{
  enum event_kind kind;
  uint32_t target;
  union
  {
    struct query *query;
    struct part *part;
    struct exchange *exchange;
  } u;
};

struct searcher
{
  struct mdl_searcher model;
  struct adm_target adm;
  uint32_t dc;
  uint32_t holder; /* index of the holder's VM */
  rw_time timer;   /* earliest queued event of the model */
  rw_time adm_timer;
};

struct vm
{
  uint32_t dc;
  struct rte_estimate estimates[MAX_SEARCHERS];
  struct rte_target targets[MAX_SEARCHERS];
  struct rte_view view;
  struct qry_map map;
  struct qry_latency latency;
  struct qry_budget budget;
  struct qry_env env;
};

struct sim
{
  const struct tie_config *config;
  enum tie_kind kind;
  struct tie_result *result;
  rw_time now;
  rw_time end; /* of the arrivals */
  struct rw_rng rng;
  struct rw_heap heap;
  struct mdl_arrivals arrivals;
  struct adm_classes classes;
  uint64_t sequence;
  size_t vm_count;
  size_t searcher_count;
  size_t shard_count;
  uint32_t replicas[MAX_SEARCHERS][MAX_REPLICAS];
  struct rte_shard shards[MAX_SEARCHERS];
  struct searcher searchers[MAX_SEARCHERS];
  struct vm vms[MAX_VMS];
};

struct event *tie_push (struct sim *sim, rw_time at, enum event_kind kind);
rw_time tie_one_way (const struct sim *sim, uint32_t dc_a, uint32_t dc_b);
void tie_schedule_arrival (struct sim *sim);
void tie_handle (struct sim *sim, const struct event *event);

#endif
