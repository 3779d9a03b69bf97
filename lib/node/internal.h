/* Declarations that the files of this folder share:

   node.c      the event loop, timers, actions and answers to callers
   config.c    the documents (rules, VM list, partition maps) and the state
               derived from them
   control.c   probes: membership, leases and document versions
   stream.c    messages on streams between daemons
   entry.c     the entry role: admission and execution of searches
   once.c      the entry role: once requests
   holder.c    the holder role: targets, their leases and admission state
   part.c      the holder role: parts that entry daemons submit
   exchange.c  the holder role: exchanges with targets
   result.c    the holder role: results sent back to entry daemons
   drain.c     planned stop and hand-over of targets
   report.c    reports for the admin port  */

#ifndef NOD_INTERNAL_H
#define NOD_INTERNAL_H

#include "admit.h"
#include "base.h"
#include "conf.h"
#include "lease.h"
#include "member.h"
#include "node.h"
#include "once.h"
#include "query.h"
#include "route.h"
#include "rules.h"
#include "stat.h"
#include "topo.h"
#include "trace.h"
#include "wire.h"

#define NOD_NAME_SIZE 64 /* with the terminating null byte */
/* Maximum number of queries of one service that an entry daemon runs
   concurrently.  */
#define NOD_RUNNING_QUERIES_MAX 256
/* Maximum number of idempotency keys that a holder remembers.  */
#define NOD_IDEMPOTENCY_KEYS_MAX 65536
/* Maximum time between two checks of the lease of a target with parts: the
   lease may have ended since the last check.  */
#define NOD_LEASE_CHECK_INTERVAL (50 * RW_MSEC)
/* Minimum time between two HELLO calls on a stream.  */
#define NOD_HELLO_INTERVAL (5 * RW_SEC)
/* A clock offset older than this is measured again: two clocks may drift apart
   by about 50 us per second.  */
#define NOD_CLOCK_SAMPLE_AGE_MAX (30 * RW_SEC)
/* A probe without a reply is freed after this time.  */
#define NOD_PROBE_RETENTION_TIME (5 * RW_SEC)
/* Estimated size at which a RESULT message is closed and the next result
   starts another message.  */
#define NOD_RESULT_MESSAGE_BYTES ((size_t)256 * 1024)
/* Timeout of a planned stop, counted from the hand-over of targets.  */
#define NOD_DRAIN_TIMEOUT (10 * RW_SEC)
/* Time after the change of a partition map during which messages carry its
   key: longer than a change takes to reach every daemon.  */
#define NOD_MAP_KEY_ANNOUNCE_TIME (10 * RW_SEC)
/* The release of the leases waits for replies to HANDOFF for at most this
   time.  */
#define NOD_HANDOFF_REPLY_TIMEOUT (300 * RW_MSEC)

struct nod_sent_part;
struct nod_search;
struct nod_once;
struct nod_target;
struct nod_service;
struct nod_stream;

/* Another daemon.  */
struct nod_peer
{
  uint64_t id; /* rw_hash (name) */
  char name[NOD_NAME_SIZE];
  struct nod_addr addr;
  struct nod_sent_part *sent_parts; /* parts without a result, newest first */
  uint64_t rules_version;           /* in its last message */
  rw_time last_heard_at;            /* 0: never */
};

enum nod_owner_kind
{
  NOD_OWNER_SEARCH,
  NOD_OWNER_ONCE
};

/* One part that was sent to a holder and has no result yet.  It is in the list
   of its peer, and its owner points to it.  */
struct nod_sent_part
{
  enum nod_owner_kind owner_kind;
  union
  {
    struct nod_search *search;
    struct nod_once *once;
  } owner;
  uint32_t attempt;
  uint32_t shard;
  struct nod_target *target;
  struct nod_peer *peer;
  uint64_t token; /* of the SUBMIT message, for nod_on_record_unsent */
  rw_time sent_at;
  struct nod_sent_part *prev;
  struct nod_sent_part *next;
};

enum nod_timer_kind
{
  NOD_TIMER_SEARCH,
  NOD_TIMER_ONCE,
  NOD_TIMER_TARGET
};

/* The heap refers to a timer by its number, so that the owner may be freed
   while an entry of the timer is still in the heap.  */
struct nod_timer
{
  uint64_t number; /* 0: not registered */
  enum nod_timer_kind kind;
  rw_time at; /* RW_TIME_NEVER: not armed */
  void *owner;
};

/* A partition map in use, with the arrays of its view.  The arrays are
   allocated in the arena of TOPO.  */
struct nod_map
{
  struct qry_map query; /* first member: queries point to it */
  struct top_map topo;
  struct rte_view view;
  struct rte_target *targets;
  struct rte_shard *shards;
  struct nod_target **node_targets; /* same index as TARGETS */
  struct rw_str *dcs;
  bool *dc_out; /* same index as DCS: out of service */
  struct nod_map *older;
};

/* Source of the version of a document that is in force.  */
struct nod_origin
{
  uint64_t id;   /* rw_hash (key) */
  rw_time since; /* time at which this daemon put the version in force */
  char source[NOD_NAME_SIZE]; /* "service" or the name of a VM */
  struct nod_origin *next;
};

struct nod_service
{
  char name[NOD_NAME_SIZE];
  struct rul_service rules;
  struct nod_map *maps; /* newest first */
  /* Each service has its own gate, because the gate's window follows the load
     of the service's targets, which is unrelated to that of other services.
   */
  struct adm_gate gate;
  struct qry_latency latency;
  struct qry_env env[ADM_CLASSES_MAX]; /* by caller class */
  bool env_ready[ADM_CLASSES_MAX];     /* ENV is initialised */
  struct nod_service *next;
};

/* A target of any map.  */
struct nod_target
{
  uint64_t id;
  char name[NOD_NAME_SIZE];
  char dc[NOD_NAME_SIZE];
  struct nod_addr addr;
  struct nod_service *service;
  bool mapped; /* in the newest map of its service */
  uint32_t group;
  uint64_t group_key;
  uint64_t candidates[TOP_ELECTORATE_MAX]; /* in rank order */
  size_t candidate_count;
  bool out;      /* data centre out, or target leaving */
  int rule_line; /* line of the rule that sets OUT; 0: none */
  struct rte_estimate estimate;
  struct rte_correction correction;
  /* Holder role.  */
  struct adm_target *admission; /* null until the first part, hand-over or
                                   report */
  bool acting;                  /* had a valid lease at the last check */
  bool handed_over;             /* to SUCCESSOR, in a planned stop */
  bool yielding; /* the target goes back to a member of higher rank that has
                    returned */
  rw_time next_yield_at;
  uint64_t successor; /* id of a peer; 0: none */
  struct nod_timer timer;
  bool dirty; /* in the list of nod_holder_run */
  struct nod_target *next_dirty;
  bool active; /* in the list of nod_holder_check_leases */
  struct nod_target *next_active;
};

/* One SUBMIT message, until its last part is answered or cancelled.  */
struct nod_batch
{
  struct rw_arena arena;
  struct wir_submit submit; /* in ARENA */
  uint64_t stream;          /* 0: this daemon's own entry role */
  rw_time arrived_at;
  struct nod_part **parts; /* null where a part is answered */
  size_t unanswered;       /* parts neither answered nor cancelled, plus 1
                              while a function uses the batch */
  bool linked;             /* in the list of its stream */
  struct nod_batch *prev;
  struct nod_batch *next;
};

struct nod_part
{
  struct adm_part admission; /* first member */
  uint64_t key;              /* in the table of parts */
  struct nod_batch *batch;
  struct wir_part wire;
  struct nod_target *target;
  rw_time dispatched_at; /* 0: queued */
  struct trc_span span;
};

struct nod_exchange
{
  struct adm_exchange admission; /* first member */
  uint64_t number;
  struct nod_target *target;
  bool cancelled; /* cancellation requested, exchange not ended yet */
  struct trc_span span;
};

/* A record whose message age is needed, kept until the clock offset of the
   other end is known.  */
struct nod_deferred_record
{
  struct rw_buf data;
  struct nod_deferred_record *next;
};

struct nod_stream
{
  uint64_t number;
  bool opened_here;       /* by this daemon, not accepted */
  struct nod_addr addr;   /* if OPENED_HERE */
  char vm[NOD_NAME_SIZE]; /* of the other end, from HELLO; empty: unknown */
  struct onc_clock clock;
  rw_time clock_sampled_at;             /* of the sample that CLOCK uses */
  rw_time hello_sent_at;                /* 0: never */
  struct nod_deferred_record *deferred; /* oldest first */
  struct nod_batch *batches;
};

struct nod_pending_result
{
  uint64_t stream; /* 0: this daemon's own entry role */
  size_t order;    /* position in the list before sorting */
  size_t bytes;
  struct wir_part_result result;
};

struct nod_results
{
  struct rw_arena arena; /* strings of the results */
  struct nod_pending_result *items;
  size_t len;
  size_t cap;
};

struct nod_probe
{
  uint32_t xid;
  uint64_t peer; /* id; 0: unknown */
  rw_time sent_at;
  uint32_t member_seq;    /* sequence number of lib/member; 0: not its probe */
  struct nod_probe *next; /* used while expired probes are collected */
};

struct nod_search
{
  struct adm_query admission; /* first member */
  uint64_t request;           /* the caller's request number */
  struct qry_id id;
  struct nod_service *service;
  unsigned int class_id;
  rw_time received_at;
  rw_time deadline;
  struct rw_buf body;
  struct qry_query query;
  bool started;                      /* admitted: QUERY is initialised */
  struct nod_sent_part **sent_parts; /* by attempt; null: no result expected */
  size_t sent_part_cap;
  struct trc_span span;
  struct nod_timer timer;
  bool dirty; /* in the list of nod_entry_run */
  struct nod_search *next_dirty;
};

struct nod_once
{
  uint64_t request;
  struct onc_entry entry;
  struct nod_service *service;
  unsigned int class_id;
  rw_time received_at;
  rw_time deadline;
  struct rw_buf body;
  struct rw_buf key;                /* idempotency key */
  uint32_t tried[ONC_ATTEMPTS_MAX]; /* indices of targets in the map */
  size_t tried_count;
  struct nod_sent_part *sent_part; /* null: no result expected */
  struct trc_span span;
  struct nod_timer timer;
};

enum nod_drain_state
{
  NOD_RUNNING,
  NOD_DRAIN_NOT_READY, /* not ready for the balancer; requests still served */
  NOD_DRAIN_HANDOVER,  /* HANDOFF sent; waits for replies and exchanges */
  NOD_DRAIN_FINISH     /* leases released; remaining requests end */
};

/* The metrics of the daemon.  They belong to nod_node.stats.  */
struct nod_metrics
{
  struct sta_series *requests;
  struct sta_series *answers_ok;
  struct sta_series *answers_partial;
  struct sta_series *answers_error;
  struct sta_series *parts_sent;
  struct sta_series *hedges;
  struct sta_series *retries;
  struct sta_series *redirects;
  struct sta_series *results_refused;
  struct sta_series *parts_accepted;
  struct sta_series *parts_refused;
  struct sta_series *exchanges;
  struct sta_series *exchange_parts;
  struct sta_series *control_messages;
  struct sta_series *control_bytes;
  struct sta_series *malformed;
  struct sta_series *docs_accepted;
  struct sta_series *docs_refused;
  struct sta_series *latency;
  struct sta_series *exchange_time;
  struct sta_series *ready;
  struct sta_series *targets_held;
};

struct nod_node
{
  struct nod_settings settings; /* strings in ARENA */
  struct rw_arena arena;
  struct rw_arena scratch; /* reset after each event */
  struct rw_rng rng;
  uint64_t self_id; /* rw_hash (vm) */
  rw_time now;      /* time of the present event */
  rw_time started_at;
  uint64_t last_number; /* of timers, exchanges and tokens */
  uint32_t last_xid;    /* of messages */

  struct nod_action *actions; /* queue */
  size_t action_head;
  size_t action_len;
  size_t action_cap;

  /* Documents.  */
  struct cnf_conf conf;
  struct rul_table rules;
  struct top_vms vms;
  struct nod_origin *origins; /* one for each document in force */
  rw_time rules_since;
  rw_time map_changed_at;
  bool config_changed; /* derived state must be computed again */
  struct nod_service *services;
  struct rw_map targets; /* by id */
  struct adm_classes classes;
  char class_names[ADM_CLASSES_MAX][NOD_NAME_SIZE];
  unsigned int class_count;
  struct qry_budget budgets[ADM_CLASSES_MAX];

  /* Control.  */
  struct mem_members members;
  struct lea_leases leases;
  struct rw_map peers;  /* by id */
  struct rw_map probes; /* by xid */
  rw_time expired_probes_dropped_at;
  struct rw_map fetches; /* xid to peer */
  rw_time next_seed_probe_at;

  /* Streams.  */
  struct rw_map streams; /* by number */

  /* Entry role.  */
  struct rw_map searches;            /* by sequence number */
  struct rw_map once_requests;       /* by sequence number */
  struct rw_map searches_by_request; /* by the caller's request number */
  uint64_t last_sequence;
  struct nod_search *dirty_searches;

  /* Holder role.  */
  struct rw_map parts;     /* by hash of request id and attempt */
  struct rw_map exchanges; /* by number */
  struct onc_table idempotency_keys;
  struct nod_batch *local_batches; /* of this daemon's own entry role */
  struct nod_target *dirty_targets;
  struct nod_target *active_targets;
  rw_time next_lease_check_at;
  struct nod_results results;         /* added since the last flush */
  struct nod_results sending_results; /* being sent by nod_results_flush */

  /* Timers.  */
  struct rw_heap heap;  /* numbers of timers, by time */
  struct rw_map timers; /* by number */

  /* Planned stop.  */
  enum nod_drain_state drain_state;
  rw_time next_drain_step_at;
  rw_time drain_deadline;
  size_t unaccepted_handoffs; /* HANDOFF calls without a reply, and refused
                                 ones */
  uint32_t first_stop_xid;    /* of the HANDOFF calls of the stop */
  rw_time handoff_sent_at;
  rw_time released_at; /* time at which the leases were released */

  struct sta_set stats;
  struct nod_metrics metrics;
};

/* node.c */
struct nod_action *nod_add_action (struct nod_node *node,
                                   enum nod_action_kind kind);
void nod_log (struct nod_node *node, enum nod_log_level level,
              const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));
bool nod_enabled (const struct nod_node *node, enum nod_mechanism mechanism);
void nod_arm (struct nod_node *node, struct nod_timer *timer,
              enum nod_timer_kind kind, void *owner, rw_time at);
void nod_disarm (struct nod_node *node, struct nod_timer *timer);
void nod_run_pending (struct nod_node *node);
void nod_write_span (struct nod_node *node, const struct trc_span *span);
void nod_answer (struct nod_node *node, uint64_t request, int status,
                 rw_time retry_after, struct rw_str body,
                 const struct trc_context *trace);
void nod_answer_error (struct nod_node *node, uint64_t request, int status,
                       enum qry_ran ran, rw_time retry_after,
                       const struct rw_err *why,
                       const struct trc_context *trace);
unsigned int nod_class_id (struct nod_node *node, struct rw_str name);
unsigned int nod_admission_disabled (const struct nod_node *node);

/* config.c */
int nod_config_accept (void *arg, struct rw_str key, uint64_t version,
                       struct rw_str body, struct rw_err *err);
void nod_config_apply (struct nod_node *node);
void nod_config_offer (struct nod_node *node, struct rw_str key,
                       uint64_t version, struct rw_str body,
                       struct rw_str source);
const struct nod_origin *nod_config_origin (const struct nod_node *node,
                                            struct rw_str key);
void nod_config_tick (struct nod_node *node);
void nod_config_finish (struct nod_node *node);
struct nod_service *nod_service_find (const struct nod_node *node,
                                      struct rw_str name);
struct nod_target *nod_target_find (const struct nod_node *node,
                                    struct rw_str name);

/* control.c */
struct nod_peer *nod_peer_get (struct nod_node *node, struct rw_str name);
struct nod_peer *nod_peer_by_id (const struct nod_node *node, uint64_t id);
void nod_fill_versions (const struct nod_node *node, struct wir_versions *out);
void nod_on_peer_versions (struct nod_node *node, struct nod_peer *peer,
                           const struct wir_versions *versions);
void nod_control_tick (struct nod_node *node);
rw_time nod_control_wakeup (const struct nod_node *node);

/* stream.c */
size_t nod_send_message (struct nod_node *node, uint64_t stream,
                         const struct nod_peer *peer, uint64_t token,
                         struct wir_msg *msg);
void nod_fetch (struct nod_node *node, struct nod_peer *peer,
                const struct cnf_fetch *fetch);
struct nod_stream *nod_stream_find (const struct nod_node *node,
                                    uint64_t number);
void nod_streams_finish (struct nod_node *node);

/* entry.c */
void nod_search_begin (struct nod_node *node, uint64_t request,
                       const struct nod_request *req,
                       struct nod_service *service, unsigned int class_id,
                       const struct trc_span *span, rw_time deadline);
void nod_search_mark_dirty (struct nod_node *node, struct nod_search *search);
void nod_search_abandon (struct nod_node *node, struct nod_search *search);
void nod_entry_run (struct nod_node *node);
void nod_entry_run_gates (struct nod_node *node);
rw_time nod_entry_wakeup (const struct nod_node *node);
void nod_entry_on_result (struct nod_node *node,
                          const struct wir_part_result *result);
void nod_search_on_timer (struct nod_node *node, struct nod_search *search);
void nod_on_sent_part_lost (struct nod_node *node, struct nod_sent_part *sent,
                            bool unsent, const struct rw_err *why);
struct nod_sent_part *nod_sent_part_new (struct nod_peer *peer,
                                         struct nod_target *target,
                                         uint32_t attempt, uint32_t shard,
                                         uint64_t token);
void nod_sent_part_free (struct nod_sent_part *sent);
struct nod_peer *nod_find_holder (struct nod_node *node,
                                  struct nod_target *target);
void nod_search_free (struct nod_node *node, struct nod_search *search);

/* once.c */
void nod_once_begin (struct nod_node *node, uint64_t request,
                     const struct nod_request *req,
                     struct nod_service *service, unsigned int class_id,
                     const struct trc_span *span, rw_time deadline);
void nod_once_on_result (struct nod_node *node, struct nod_once *once,
                         const struct wir_part_result *result);
void nod_once_on_lost (struct nod_node *node, struct nod_once *once,
                       uint32_t attempt, bool unsent,
                       const struct rw_err *why);
void nod_once_on_timer (struct nod_node *node, struct nod_once *once);
void nod_once_free (struct nod_node *node, struct nod_once *once);

/* holder.c */
bool nod_holder_may_act (struct nod_node *node, struct nod_target *target,
                         rw_time *until);
void nod_holder_init_admission (struct nod_node *node,
                                struct nod_target *target);
void nod_holder_apply_rules (struct nod_node *node, struct nod_target *target);
void nod_target_mark_dirty (struct nod_node *node, struct nod_target *target);
void nod_holder_check_leases (struct nod_node *node);
void nod_holder_finish (struct nod_node *node);

/* part.c */
void nod_holder_submit (struct nod_node *node, struct nod_stream *stream,
                        const struct wir_submit *submit);
void nod_holder_cancel (struct nod_node *node,
                        const struct wir_cancel *cancel);
void nod_holder_cancel_stream (struct nod_node *node,
                               struct nod_stream *stream);

/* exchange.c */
void nod_holder_run (struct nod_node *node);

/* result.c */
void nod_results_flush (struct nod_node *node);

/* drain.c */
void nod_drain_tick (struct nod_node *node);
void nod_yield_tick (struct nod_node *node);
void nod_on_handoff (struct nod_node *node, struct nod_stream *stream,
                     uint32_t xid, const struct wir_handoff_call *call);
void nod_on_handoff_reply (struct nod_node *node, uint32_t xid,
                           const struct wir_handoff_reply *reply);

#endif
