/* The daemon rwfd without input and output: a state machine.  The caller
   passes it events, each with the present time, and afterwards takes the
   resulting actions from a queue and carries them out.  The same code runs in
   rwfd, on real sockets, and in the scenario runner, in virtual time.

   All times are in microseconds of the caller's monotonic clock.  */

#ifndef NOD_NODE_H
#define NOD_NODE_H

#include "account.h"
#include "base.h"

/* Mechanisms that the scenario runner can switch off, to show that a scenario
   fails without them.  rwfd has no setting for them.  */
enum nod_mechanism
{
  NOD_MECH_LEASE = 1 << 0,        /* only the lease holder admits */
  NOD_MECH_RAMP = 1 << 1,         /* cold targets start at the cold limit */
  NOD_MECH_HEDGE = 1 << 2,        /* hedges for stragglers */
  NOD_MECH_BUDGET = 1 << 3,       /* retry budget, also of hedges */
  NOD_MECH_SNAPSHOT = 1 << 4,     /* refusal of parts of another snapshot */
  NOD_MECH_SHARES = 1 << 5,       /* queues and shares by caller class */
  NOD_MECH_REFUSAL = 1 << 6,      /* refusal by estimated wait; queue bounds */
  NOD_MECH_AT_MOST_ONCE = 1 << 7, /* no retry of once requests */
  NOD_MECH_MESSAGE_AGE = 1 << 8, /* message age subtracted from the deadline */
  NOD_MECH_MONOTONIC = 1 << 9,   /* document versions never go back */
  NOD_MECH_SPREAD = 1 << 10,     /* documents fetched from other daemons */
  NOD_MECH_HANDOFF = 1 << 11,    /* graceful hand-over and drain */
  NOD_MECH_ROUTE_OUT = 1 << 12,  /* rules take targets out of service */
  NOD_MECH_TRUE_COVERAGE = 1 << 13, /* each shard counted once */
  NOD_MECH_IDENTITY = 1 << 14       /* answers matched to their request */
};

/* Address of a daemon or target.  */
struct nod_addr
{
  char host[46]; /* numeric IPv4 or IPv6 address */
  uint16_t port;
};

struct nod_settings
{
  struct rw_str vm;                 /* name of this VM in the VM list */
  struct rw_str dc;                 /* data centre of this VM */
  struct rw_str addr;               /* IP address of this VM, numeric */
  uint16_t rpc_port;                /* for RPC over TCP and probes over UDP */
  uint64_t incarnation;             /* 64 random bits, new at every start */
  uint64_t seed;                    /* seed of routing decisions */
  unsigned int disabled_mechanisms; /* nod_mechanism bits; 0 in production */
  double trace_sample_ratio;        /* of untraced requests, 0 to 1 */
  rw_time drain_delay; /* in a planned stop, from "not ready" to hand-over */
  int64_t wall_clock_offset; /* wall clock minus monotonic clock, in us */
  /* In which requests count; may be null.  The node drops no connection.  */
  struct acc_account *account;
  /* Daemons to probe until a VM list is known, in case the platform does not
     answer.  */
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

/* One thing for the caller to do.  The action owns DATA; nod_action_finish
   frees it.  */
struct nod_action
{
  enum nod_action_kind kind;
  struct rw_buf data;
  union
  {
    struct
    {
      struct nod_addr to; /* DATA: one RPC message */
    } datagram;
    struct
    {
      /* STREAM is the number of an accepted or opened stream.  If it is 0, the
         record goes to the address TO, to which the caller keeps one
         connection that it opens on demand.  If no byte of the record could
         be passed to the transport, the caller reports TOKEN with
         nod_on_record_unsent.  */
      uint64_t stream;
      struct nod_addr to;
      uint64_t token;
    } record; /* DATA: one RPC message, without its record mark */
    struct
    {
      uint64_t exchange;
      enum nod_exchange_kind kind;
      char target[64];
      struct nod_addr to;
      rw_time timeout;           /* sent as X-Deadline-Ms, rounded down */
      char traceparent[64];      /* empty if not sampled */
      char idempotency_key[128]; /* once requests only */
      int max_connections;       /* to this target */
    } start;                     /* DATA: the body */
    struct
    {
      uint64_t exchange; /* cancelled at the target; its end is still
                            reported */
    } cancel;
    struct
    {
      uint64_t request;       /* the number given to nod_on_request */
      int status;             /* HTTP status */
      int64_t retry_after_ms; /* -1: no Retry-After header */
      char traceparent[64];
    } answer; /* DATA: JSON body */
    struct
    {
      char key[96];
      uint64_t after; /* read only a version newer than this one */
      rw_time wait;   /* maximum wait for one; 0: answer at once */
    } read_doc;
    struct
    {
      enum nod_log_level level;
      const char *part; /* part of the program, a static string */
    } log;              /* DATA: one line of text */
  } u;                  /* NOD_WRITE_SPAN: DATA is one line of JSON */
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
  rw_time timeout;            /* remaining time; 0: that of the service */
  struct rw_str idempotency_key;
  struct rw_str traceparent;
  struct rw_str body;
};

struct nod_node;

/* nod_new returns a new node and copies the strings of SETTINGS; nod_free
   frees it with all it owns and leaves open requests unanswered.  Other
   libraries have init and finish functions; this one allocates the node,
   because it is large and its members are private.  */
struct nod_node *nod_new (const struct nod_settings *settings, rw_time now);
void nod_free (struct nod_node *node);

/* Moves the oldest action to ACTION, which the caller ends with
   nod_action_finish.  Returns false if there is none.  */
bool nod_next_action (struct nod_node *node, struct nod_action *action);
void nod_action_finish (struct nod_action *action);

/* The caller calls nod_tick no later than at the time that nod_next_wakeup
   returns, which is RW_TIME_NEVER if nothing is due.  */
rw_time nod_next_wakeup (const struct nod_node *node);
void nod_tick (struct nod_node *node, rw_time now);

/* Requests of callers.  REQUEST is a number that the caller of this function
   chooses.  Each request is answered by exactly one NOD_ANSWER, unless
   nod_on_caller_disconnect comes first.  */
void nod_on_request (struct nod_node *node, uint64_t request,
                     const struct nod_request *req, rw_time now);
void nod_on_caller_disconnect (struct nod_node *node, uint64_t request,
                               rw_time now);

/* Messages of other daemons.  Returns 0, or a negative error number with ERR
   set if the message is malformed: the caller logs it and closes the
   stream.  */
int nod_on_datagram (struct nod_node *node, const struct nod_addr *from,
                     struct rw_str data, rw_time now, struct rw_err *err);
int nod_on_record (struct nod_node *node, uint64_t stream, struct rw_str data,
                   rw_time now, struct rw_err *err);
/* A stream that this daemon opened to ADDR is connected; records sent to ADDR
   use it.  */
void nod_on_stream_open (struct nod_node *node, uint64_t stream,
                         const struct nod_addr *addr, rw_time now);
void nod_on_stream_closed (struct nod_node *node, uint64_t stream,
                           rw_time now);
/* No byte of the record with TOKEN was passed to the transport.  */
void nod_on_record_unsent (struct nod_node *node, uint64_t token, rw_time now);

/* Ends of exchanges with targets.  Each started exchange ends with exactly one
   of these, also if it was cancelled.  STATUS is the HTTP status, SENT whether
   any byte of the request was passed to the transport.  */
void nod_on_exchange_reply (struct nod_node *node, uint64_t exchange,
                            int status, int64_t retry_after_ms,
                            struct rw_str body, rw_time now);
void nod_on_exchange_failed (struct nod_node *node, uint64_t exchange,
                             bool sent, const struct rw_err *why, rw_time now);

/* Documents of the platform.  Each NOD_READ_DOC ends with one of these calls.
   VERSION 0 with an empty body: there was nothing newer within the wait.  */
void nod_on_doc (struct nod_node *node, struct rw_str key, uint64_t version,
                 struct rw_str body, rw_time now);
void nod_on_doc_failed (struct nod_node *node, struct rw_str key, rw_time now);

/* Planned stop.  nod_drain starts it: this daemon reports that it is not
   ready, hands its targets over after the drain delay and refuses parts for
   them from then on, and ends what still runs.  nod_drained returns whether
   the stop is complete.  */
void nod_drain (struct nod_node *node, rw_time now);
bool nod_drained (const struct nod_node *node);
/* Returns whether the load balancer should send callers here.  */
bool nod_ready (const struct nod_node *node, rw_time now);

/* Appends the report NAME for the admin port to OUT: "rules", "targets",
   "members" or "status" as JSON, "metrics" as Prometheus text.  Returns 0 or
   RW_E_NOT_FOUND.  */
int nod_report (struct nod_node *node, struct rw_str name, struct rw_buf *out,
                rw_time now);

#endif
