/* The daemon without input and output.  The caller feeds it events, each with
   the present time, and drains a queue of actions.  The same code runs in
   rwfd, on real sockets, and in the scenario runner, in virtual time.  */

#ifndef NOD_NODE_H
#define NOD_NODE_H

#include "base.h"

/* Mechanisms that the scenario runner switches off to show that a scenario
   fails without them.  rwfd has no setting for them.  */
enum nod_mechanism
{
  NOD_MECH_LEASE = 1 << 0,          /* only the lease holder admits */
  NOD_MECH_RAMP = 1 << 1,           /* cold targets start at the cold limit */
  NOD_MECH_HEDGE = 1 << 2,          /* hedges of stragglers */
  NOD_MECH_BUDGET = 1 << 3,         /* the budget of hedges and retries */
  NOD_MECH_SNAPSHOT = 1 << 4,       /* refusal of parts of another snapshot */
  NOD_MECH_SHARES = 1 << 5,         /* queues and shares by class */
  NOD_MECH_REFUSAL = 1 << 6,        /* deadline-aware refusal */
  NOD_MECH_AT_MOST_ONCE = 1 << 7,   /* no retry of once requests */
  NOD_MECH_MESSAGE_AGE = 1 << 8,    /* age subtracted from the deadline */
  NOD_MECH_MONOTONIC = 1 << 9,      /* versions never go back */
  NOD_MECH_SPREAD = 1 << 10,        /* versions spread between daemons */
  NOD_MECH_HANDOFF = 1 << 11,       /* graceful hand-over and drain */
  NOD_MECH_ROUTE_OUT = 1 << 12,     /* rules keep work from targets */
  NOD_MECH_TRUE_COVERAGE = 1 << 13, /* each shard counted once */
  NOD_MECH_IDENTITY = 1 << 14       /* answers matched to their request */
};

/* An address of a daemon or target, numeric.  */
struct nod_addr
{
  char host[46];
  uint16_t port;
};

struct nod_settings
{
  struct rw_str vm;                 /* name of this VM in the VM list */
  struct rw_str dc;                 /* data centre of this VM */
  struct rw_str addr;               /* IP number of this VM */
  uint16_t rpc_port;                /* RPC over TCP, probes over UDP */
  uint64_t incarnation;             /* 64 random bits, new at every start */
  uint64_t seed;                    /* seed of routing decisions */
  unsigned int disabled_mechanisms; /* nod_mechanism bits; 0 in production */
  double trace_sample_ratio; /* share of untraced requests that are sampled */
  rw_time drain_delay;       /* from "not ready" to the hand-over at a stop */
  int64_t
      wall_clock_offset; /* wall clock less the clock of NOW, microseconds */
  /* Daemons to ask at the start if the platform does not answer.  */
  const struct nod_addr *peers;
  size_t peer_count;
};

enum nod_action_kind
{
  NOD_SEND_DATAGRAM,
  NOD_SEND_RECORD,
  NOD_START_EXCHANGE,
  NOD_CANCEL_EXCHANGE,
  NOD_ANSWER,
  NOD_READ_DOC,
  NOD_WRITE_LOG,
  NOD_WRITE_SPAN
};

enum nod_exchange_kind
{
  NOD_EXCHANGE_SEARCH, /* POST /search */
  NOD_EXCHANGE_ONCE    /* POST /once */
};

enum nod_log_level
{
  NOD_LOG_ERROR,
  NOD_LOG_WARN,
  NOD_LOG_INFO
};

/* One thing for the caller to do.  "data" is owned by the action and freed by
   nod_action_finish.  */
struct nod_action
{
  enum nod_action_kind kind;
  struct rw_buf data;
  union
  {
    struct
    {
      struct nod_addr to; /* data: one RPC message */
    } datagram;
    struct
    {
      /* Either an accepted or opened stream by its number, or, if STREAM is 0,
         the address to which the caller keeps one connection, opened on
         demand.  If not a single byte of the record could be handed to the
         transport, the caller reports TOKEN with nod_on_record_unsent.  */
      uint64_t stream;
      struct nod_addr to;
      uint64_t token;
    } record; /* data: one RPC message, without its record mark */
    struct
    {
      uint64_t exchange;
      enum nod_exchange_kind kind;
      char target[64];
      struct nod_addr to;
      rw_time timeout;           /* X-Deadline-Ms, rounded down */
      char traceparent[64];      /* empty if not sampled */
      char idempotency_key[128]; /* once requests only */
      int max_connections;       /* to this target */
    } start;                     /* data: the body */
    struct
    {
      uint64_t exchange; /* cancel at the target, then report its end */
    } cancel;
    struct
    {
      uint64_t request;       /* the number given to nod_on_request */
      int status;             /* HTTP status */
      int64_t retry_after_ms; /* -1: no Retry-After header */
      char traceparent[64];
    } answer; /* data: JSON body */
    struct
    {
      char key[96];
      uint64_t after; /* only a newer version is of interest */
      rw_time wait;   /* 0: answered at once, also with "nothing newer" */
    } read_doc;
    struct
    {
      enum nod_log_level level;
      const char *part; /* static prefix */
    } log;              /* data: one line of text */
  } u;                  /* NOD_WRITE_SPAN: data is one JSON line */
};

enum nod_request_kind
{
  NOD_REQUEST_SEARCH,
  NOD_REQUEST_ONCE
};

/* A caller's request.  The strings are copied.  */
struct nod_request
{
  enum nod_request_kind kind;
  struct rw_str service;
  struct rw_str caller_class; /* empty: "default" */
  rw_time timeout;            /* remaining time; 0: the service's deadline */
  struct rw_str idempotency_key;
  struct rw_str traceparent;
  struct rw_str body;
};

struct nod_node;

/* The node is large and its parts are private, so that it is allocated here;
   everything else follows init and finish.  */
struct nod_node *nod_new (const struct nod_settings *settings, rw_time now);
void nod_free (struct nod_node *node);

/* Actions, oldest first.  */
bool nod_next_action (struct nod_node *node, struct nod_action *action);
void nod_action_finish (struct nod_action *action);

/* Time: the caller calls nod_tick no later than nod_next_wakeup.  */
rw_time nod_next_wakeup (const struct nod_node *node);
void nod_tick (struct nod_node *node, rw_time now);

/* Callers.  Each request is answered by exactly one NOD_ANSWER, unless
   nod_on_caller_disconnect came first.  */
void nod_on_request (struct nod_node *node, uint64_t request,
                     const struct nod_request *req, rw_time now);
void nod_on_caller_disconnect (struct nod_node *node, uint64_t request,
                               rw_time now);

/* Other daemons.  A negative result means a malformed message, described in
   ERR: the caller logs it and closes the stream.  */
int nod_on_datagram (struct nod_node *node, const struct nod_addr *from,
                     struct rw_str data, rw_time now, struct rw_err *err);
int nod_on_record (struct nod_node *node, uint64_t stream, struct rw_str data,
                   rw_time now, struct rw_err *err);
/* A stream opened to ADDR is up; records sent to ADDR use it.  */
void nod_on_stream_open (struct nod_node *node, uint64_t stream,
                         const struct nod_addr *addr, rw_time now);
void nod_on_stream_closed (struct nod_node *node, uint64_t stream,
                           rw_time now);
/* No byte of the record with TOKEN was handed to the transport.  */
void nod_on_record_unsent (struct nod_node *node, uint64_t token, rw_time now);

/* Targets.  Each started exchange ends with exactly one of these, also when it
   was cancelled.  SENT tells whether any byte was handed to the transport. */
void nod_on_exchange_reply (struct nod_node *node, uint64_t exchange,
                            int status, int64_t retry_after_ms,
                            struct rw_str body, rw_time now);
void nod_on_exchange_failed (struct nod_node *node, uint64_t exchange,
                             bool sent, const struct rw_err *why, rw_time now);

/* The platform's documents.  Each NOD_READ_DOC ends with one of these;
   VERSION 0 and an empty body: nothing newer within the wait.  */
void nod_on_doc (struct nod_node *node, struct rw_str key, uint64_t version,
                 struct rw_str body, rw_time now);
void nod_on_doc_failed (struct nod_node *node, struct rw_str key, rw_time now);

/* Planned stop: refuses new work, hands targets over, ends what runs.  */
void nod_drain (struct nod_node *node, rw_time now);
bool nod_drained (const struct nod_node *node);
/* Whether the balancer should send callers here.  */
bool nod_ready (const struct nod_node *node, rw_time now);

/* Reports for the admin port: "rules", "targets", "members", "status" as JSON,
   "metrics" as Prometheus text.  Appends to OUT; returns 0 or RW_E_NOT_FOUND.
 */
int nod_report (struct nod_node *node, struct rw_str name, struct rw_buf *out,
                rw_time now);

#endif
