/* Declarations shared by sim.c and sim_run.c.  */

#ifndef LOAD_SIM_IMPL_H
#define LOAD_SIM_IMPL_H

#include "sim.h"

struct query;

/* One attempt to run a part on one replica.  */
struct attempt
{
  struct adm_part part; /* first member */
  struct query *query;
  struct holder *holder; /* null: not sent, or ended */
  int shard;
};

struct query
{
  struct adm_query gate; /* first member */
  struct entry *entry;
  size_t class_id;
  rw_time arrived;
  int refs;       /* events and attempts that refer to it */
  int unresolved; /* shards that can still be answered */
  int covered;
  bool ended;
  struct query *next_dead;
  struct shard
  {
    struct attempt attempt[2];
    int attempt_count;
    int live;          /* attempts without result */
    int first_replica; /* of the first attempt */
    bool answered;
  } shards[];
};

/* An entry daemon.  */
struct entry
{
  int number;
  struct adm_gate gate;
  rw_time wake_at;
  double retry_budget; /* tokens */
  struct rw_hist part_latency;
  rw_time hedge_delay;
};

/* A searcher and the time of its next queued event.  */
struct searcher
{
  struct mdl_searcher model;
  rw_time wake_at;
};

/* Admission of one target by one daemon, with its connections.  */
struct holder
{
  struct adm_target target;
  struct searcher *searcher;
  struct entry *entry; /* SIM_INDEPENDENT: the daemon */
  rw_time wake_at;
};

struct exchange
{
  struct adm_exchange adm; /* first member */
  struct mdl_request request;
  struct holder *holder;
  struct entry *entry; /* daemon that dispatches it; null: the holder */
  struct adm_outcome outcome;
  uint64_t incarnation; /* of the searcher that accepted the connection */
  bool connected;
  bool cancel;
  bool cancel_pending; /* a queued cancellation event refers to it */
  bool at_searcher;
  bool done;
};

enum event_kind
{
  EV_ARRIVAL,
  EV_CHANGE,
  EV_RESTART,
  EV_GATE,
  EV_HEDGE,
  EV_DEADLINE,
  EV_PART_AT_HOLDER,
  EV_RESULT_AT_ENTRY,
  EV_CANCEL_AT_HOLDER,
  EV_HOLDER,
  EV_DISPATCH,
  EV_AT_SEARCHER,
  EV_SEARCHER,
  EV_CANCEL_AT_SEARCHER,
  EV_ANSWERED,
  EV_DONE
};
struct event
{
  enum event_kind kind;
  union
  {
    size_t index;
    struct entry *entry;
    struct query *query;
    struct attempt *attempt;
    struct holder *holder;
    struct searcher *searcher;
    struct exchange *exchange;
  } u;
  int shard; /* EV_HEDGE */
  bool ok;   /* EV_RESULT_AT_ENTRY */
  struct event *next_free;
};

struct sim
{
  const struct sim_config *config;
  struct sim_result *result;
  struct rw_heap heap;
  struct event *free_events;
  struct rw_arena arena; /* of events */
  struct query *dead;    /* freed after the current event */
  struct rw_rng rng;
  rw_time now;
  struct adm_classes classes;
  struct mdl_arrivals arrivals;
  rw_time arrival_at; /* time of the queued EV_ARRIVAL */
  struct entry *entries;
  struct searcher *searchers;
  struct holder *holders;
  /* Idle connections by daemon and searcher; the last row is the holder's.  */
  int *idle;
};

int sim_target_count (const struct sim *sim);
struct event *sim_schedule (struct sim *sim, rw_time at, enum event_kind kind);
void sim_free_dead (struct sim *sim);
void sim_schedule_arrival (struct sim *sim);
void sim_handle (struct sim *sim, struct event *event);

#endif
