/* The parts of the node.  Each file owns one: config.c the documents and what
   follows from them, control.c probes and leases, stream.c the messages on
   streams, entry.c and once.c callers' requests, holder.c, part.c, exchange.c
   and result.c the targets, drain.c the planned stop, report.c the admin
   port.  */

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

#define NOD_NAME_SIZE 64
/* Queries of one service that an entry daemon runs at once.  */
#define NOD_GATE_LIMIT 256
#define NOD_ONCE_IDS 65536
/* Targets with queued parts are checked at least this often, because the
   lease may have ended meanwhile.  */
#define NOD_SWEEP_INTERVAL (50 * RW_MSEC)
#define NOD_HELLO_INTERVAL (5 * RW_SEC)
/* A clock offset older than this is measured anew: two clocks may drift apart
   by some 50 us in a second.  */
#define NOD_CLOCK_MAX_AGE (30 * RW_SEC)
#define NOD_PROBE_MEMORY (5 * RW_SEC)
/* Bytes of results after which a RESULT message is sent and another begun.  */
#define NOD_RESULT_BYTES ((size_t)256 * 1024)
#define NOD_DRAIN_MAX (10 * RW_SEC)
/* Time for which messages name the map that changed last: longer than a change
   takes to reach every daemon.  */
#define NOD_MAP_KEY_TIME (10 * RW_SEC)
#define NOD_HANDOFF_WAIT (300 * RW_MSEC)

struct nod_send;
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
  struct nod_send *sends; /* parts on their way, newest first */
  uint64_t rules_version; /* as it stated last */
  rw_time heard;
};

enum nod_owner_kind
{
  NOD_OWNER_SEARCH,
  NOD_OWNER_ONCE
};

/* One part that was sent to a holder and has no result yet.  */
struct nod_send
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
  uint64_t token; /* of the message */
  rw_time sent;
  struct nod_send *prev;
  struct nod_send *next;
};

enum nod_timer_kind
{
  NOD_TIMER_SEARCH,
  NOD_TIMER_ONCE,
  NOD_TIMER_TARGET
};

/* A timer is found by its number, so that its owner may be freed while an
   entry is still in the heap.  */
struct nod_timer
{
  uint64_t number; /* 0: not registered */
  enum nod_timer_kind kind;
  rw_time at; /* RW_TIME_NEVER: not armed */
  void *owner;
};

/* A partition map in use, with the arrays of its view.  */
struct nod_map
{
  struct qry_map query; /* first member: queries refer to it */
  struct top_map topo;
  struct rte_view view;
  struct rte_target *targets;
  struct rte_shard *shards;
  struct nod_target **nodes; /* by index of the map */
  struct rw_str *dcs;
  bool *dc_out;
  struct nod_map *older;
};

/* Where the version of a document that is in force came from.  */
struct nod_origin
{
  uint64_t id; /* rw_hash (key) */
  rw_time since;
  char source[NOD_NAME_SIZE]; /* "service" or a VM */
  struct nod_origin *next;
};

struct nod_service
{
  char name[NOD_NAME_SIZE];
  struct rul_service rules;
  struct nod_map *maps; /* newest first */
  /* A gate for each service: its window follows the load of the service's
     targets, which says nothing of other services.  */
  struct adm_gate gate;
  struct qry_latency latency;
  struct qry_env env[ADM_CLASSES];
  bool env_ready[ADM_CLASSES];
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
  int rule_line; /* of the rule that takes it out, 0: none */
  struct rte_estimate estimate;
  struct rte_correction correction;
  /* As holder.  */
  struct adm_target *admission; /* null until the first part or hand-over */
  bool acting;
  bool handed_over;
  bool yielding; /* to a member of higher rank that has returned */
  rw_time next_yield;
  uint64_t successor;
  struct nod_timer timer;
  bool dirty;
  struct nod_target *next_dirty;
  bool active; /* in the list of targets to sweep */
  struct nod_target *next_active;
};

/* One SUBMIT message, until its last part is answered.  */
struct nod_batch
{
  struct rw_arena arena;
  struct wir_submit submit; /* in ARENA */
  uint64_t stream;          /* 0: this daemon's own entry role */
  rw_time arrived;
  struct nod_part **parts; /* null where a part is answered */
  size_t open;             /* parts not yet answered */
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
  rw_time dispatched;
  struct trc_span span;
};

struct nod_exchange
{
  struct adm_exchange admission; /* first member */
  uint64_t number;
  struct nod_target *target;
  bool cancelled;
  struct trc_span span;
};

/* A record that needs the age of the message and waits for the clock.  */
struct nod_parked
{
  struct rw_buf data;
  struct nod_parked *next;
};

struct nod_stream
{
  uint64_t number;
  bool opened; /* by this daemon */
  struct nod_addr addr;
  char vm[NOD_NAME_SIZE]; /* from HELLO */
  struct onc_clock clock;
  rw_time clock_at;
  rw_time hello_sent;
  struct nod_parked *parked;
  struct nod_batch *batches;
};

struct nod_pending_result
{
  uint64_t stream;
  size_t order;
  size_t bytes;
  struct wir_part_result result;
};

struct nod_results
{
  struct rw_arena arena;
  struct nod_pending_result *items;
  size_t len;
  size_t cap;
};

struct nod_probe
{
  uint32_t xid;
  uint64_t peer;
  rw_time sent;
  uint32_t member_seq; /* 0: not of the membership */
  struct nod_probe *next;
};

struct nod_search
{
  struct adm_query gate; /* first member */
  uint64_t request;
  struct qry_id id;
  struct nod_service *service;
  unsigned int class_id;
  rw_time start;
  rw_time deadline;
  struct rw_buf body;
  struct qry_query query;
  bool started;
  struct nod_send **sends; /* by attempt; null: no result expected */
  size_t send_cap;
  struct trc_span span;
  struct nod_timer timer;
  bool dirty;
  struct nod_search *next_dirty;
};

struct nod_once
{
  uint64_t request;
  struct onc_entry entry;
  struct nod_service *service;
  unsigned int class_id;
  rw_time start;
  rw_time deadline;
  struct rw_buf body;
  struct rw_buf key;
  uint32_t tried[ONC_ATTEMPTS_MAX];
  size_t tried_count;
  struct nod_send *send;
  struct trc_span span;
  struct nod_timer timer;
};

enum nod_drain_state
{
  NOD_RUNNING,
  NOD_DRAIN_NOT_READY, /* the balancer notices; everything still works */
  NOD_DRAIN_HANDOVER,  /* HANDOFF messages wait for their replies */
  NOD_DRAIN_FINISH     /* what runs ends */
};

struct nod_counters
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
  uint64_t self; /* rw_hash (vm) */
  rw_time now;
  rw_time started;
  uint64_t last_number;
  uint32_t last_xid;

  struct nod_action *actions;
  size_t action_head;
  size_t action_len;
  size_t action_cap;

  /* Documents.  */
  struct cnf_conf conf;
  struct rul_table rules;
  struct top_vms vms;
  struct nod_origin *origins; /* one for each document in force */
  rw_time rules_since;
  rw_time map_changed;
  bool changed; /* derived state must be computed anew */
  struct nod_service *services;
  struct rw_map targets; /* by id */
  struct adm_classes classes;
  char class_names[ADM_CLASSES][NOD_NAME_SIZE];
  unsigned int class_count;
  struct qry_budget budgets[ADM_CLASSES];

  /* Control.  */
  struct mem_members members;
  struct lea_leases leases;
  struct rw_map peers;  /* by id */
  struct rw_map probes; /* by xid */
  rw_time probes_swept;
  struct rw_map fetches; /* xid to peer */
  rw_time next_seed_probe;

  /* Streams.  */
  struct rw_map streams;

  /* Entry.  */
  struct rw_map searches; /* by sequence */
  struct rw_map onces;    /* by sequence */
  struct rw_map requests; /* caller's request number to sequence owner */
  uint64_t last_sequence;
  struct nod_search *dirty_searches;

  /* Holder.  */
  struct rw_map parts; /* by hash of request id and attempt */
  struct rw_map exchanges;
  struct onc_table once_ids;
  struct nod_batch *local_batches; /* of this daemon's own entry role */
  struct nod_target *dirty_targets;
  struct nod_target *active_targets;
  rw_time next_sweep;
  struct nod_results results;
  struct nod_results sending;

  /* Timers.  */
  struct rw_heap heap;
  struct rw_map timers;

  /* Planned stop.  */
  enum nod_drain_state drain;
  rw_time drain_at;
  rw_time drain_limit;
  size_t handoffs; /* replies not yet received */
  rw_time handoff_sent;
  rw_time released_at;

  struct sta_set stats;
  struct nod_counters count;
};

/* node.c */
struct nod_action *nod_push (struct nod_node *node, enum nod_action_kind kind);
void nod_log (struct nod_node *node, enum nod_log_level level,
              const char *part, const char *fmt, ...)
    __attribute__ ((format (printf, 4, 5)));
bool nod_enabled (const struct nod_node *node, enum nod_mechanism mechanism);
void nod_arm (struct nod_node *node, struct nod_timer *timer,
              enum nod_timer_kind kind, void *owner, rw_time at);
void nod_disarm (struct nod_node *node, struct nod_timer *timer);
void nod_pump (struct nod_node *node);
void nod_write_span (struct nod_node *node, const struct trc_span *span);
void nod_answer (struct nod_node *node, uint64_t request, int status,
                 rw_time retry_after, struct rw_str body,
                 const struct trc_context *trace);
void nod_answer_error (struct nod_node *node, uint64_t request, int status,
                       enum qry_ran ran, rw_time retry_after,
                       const struct rw_err *why,
                       const struct trc_context *trace);
unsigned int nod_class (struct nod_node *node, struct rw_str name);
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
void nod_versions (const struct nod_node *node, struct wir_versions *out);
void nod_note_versions (struct nod_node *node, struct nod_peer *peer,
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
void nod_search_mark (struct nod_node *node, struct nod_search *search);
void nod_search_gone (struct nod_node *node, struct nod_search *search);
void nod_entry_run (struct nod_node *node);
void nod_entry_gate (struct nod_node *node);
rw_time nod_entry_wakeup (const struct nod_node *node);
void nod_entry_result (struct nod_node *node,
                       const struct wir_part_result *result);
void nod_search_timer (struct nod_node *node, struct nod_search *search);
void nod_send_lost (struct nod_node *node, struct nod_send *send, bool unsent,
                    const struct rw_err *why);
struct nod_send *nod_send_new (struct nod_peer *peer,
                               struct nod_target *target, uint32_t attempt,
                               uint32_t shard, uint64_t token);
void nod_send_free (struct nod_send *send);
struct nod_peer *nod_holder_of (struct nod_node *node,
                                struct nod_target *target);
void nod_search_free (struct nod_node *node, struct nod_search *search);

/* once.c */
void nod_once_begin (struct nod_node *node, uint64_t request,
                     const struct nod_request *req,
                     struct nod_service *service, unsigned int class_id,
                     const struct trc_span *span, rw_time deadline);
void nod_once_result (struct nod_node *node, struct nod_once *once,
                      const struct wir_part_result *result);
void nod_once_lost (struct nod_node *node, struct nod_once *once,
                    uint32_t attempt, bool unsent, const struct rw_err *why);
void nod_once_timer (struct nod_node *node, struct nod_once *once);
void nod_once_free (struct nod_node *node, struct nod_once *once);

/* holder.c */
void nod_holder_submit (struct nod_node *node, struct nod_stream *stream,
                        const struct wir_submit *submit);
void nod_holder_cancel (struct nod_node *node,
                        const struct wir_cancel *cancel);
void nod_holder_drop_stream (struct nod_node *node, struct nod_stream *stream);
bool nod_holder_acts (struct nod_node *node, struct nod_target *target,
                      rw_time *until);
void nod_holder_admission (struct nod_node *node, struct nod_target *target);
void nod_holder_rules (struct nod_node *node, struct nod_target *target);
void nod_target_mark (struct nod_node *node, struct nod_target *target);
void nod_holder_run (struct nod_node *node);
void nod_holder_sweep (struct nod_node *node);
void nod_holder_finish (struct nod_node *node);
void nod_results_flush (struct nod_node *node);

/* drain.c */
void nod_drain_tick (struct nod_node *node);
void nod_yield_tick (struct nod_node *node);
void nod_on_handoff (struct nod_node *node, struct nod_stream *stream,
                     uint32_t xid, const struct wir_handoff_call *call);
void nod_on_handoff_reply (struct nod_node *node,
                           const struct wir_handoff_reply *reply);

#endif
