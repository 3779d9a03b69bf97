/* What the files of the simulation share.  */

#ifndef LOAD_SIM_IMPL_H
#define LOAD_SIM_IMPL_H

#include "sim.h"

struct query;

/* One try of a part at one replica.  */
struct attempt
{
  struct adm_part part; /* first member */
  struct query *query;
  struct holder *holder; /* null: not sent, or over */
  int shard;
};

struct query
{
  struct adm_query gate; /* first member */
  struct entry *entry;
  size_t class_id;
  rw_time arrived;
  int refs; /* events and attempts that name it */
  int unresolved;
  int covered;
  bool over;
  struct query *next_dead;
  struct shard
  {
    struct attempt attempt[2];
    int tries;
    int live;
    int first; /* replica of the first try */
    bool answered;
  } shards[];
};

/* An entry daemon.  */
struct entry
{
  int number;
  struct adm_gate gate;
  rw_time wake_at;
  double budget;
  struct rw_hist part_latency;
  rw_time hedge_after;
};

/* A searcher with the time of its next event.  */
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
  struct entry *entry; /* the daemon that dispatches it, null: the holder's */
  struct adm_outcome outcome;
  uint64_t incarnation; /* of the searcher that accepted the connection */
  bool connected;
  bool cancel;
  bool cancel_pending; /* an event of a cancellation names it */
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
  struct query *dead;    /* to be freed after the event */
  struct rw_rng rng;
  rw_time now;
  struct adm_classes classes;
  struct mdl_arrivals arrivals;
  rw_time arrival_at; /* of the scheduled event */
  struct entry *entries;
  struct searcher *searchers;
  struct holder *holders;
  /* Idle connections by daemon and searcher; the last daemon is the holder. */
  int *idle;
};

int sim_targets_of (const struct sim *sim);
struct event *sim_schedule (struct sim *sim, rw_time at, enum event_kind kind);
void sim_free_dead (struct sim *sim);
void sim_schedule_arrival (struct sim *sim);
void sim_handle (struct sim *sim, struct event *event);

#endif
