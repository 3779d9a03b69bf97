/* Admission control: of one target, on the daemon that holds it, and of the
   queries that one entry daemon runs.  Pure: time is an argument, and every
   node of a queue belongs to the caller.  */

#ifndef ADM_ADMIT_H
#define ADM_ADMIT_H

#include "base.h"

/* Caller classes are numbers below ADM_CLASSES_MAX, chosen by the caller.  */
#define ADM_CLASSES_MAX 32
/* Parts in one exchange when the target is at its full cap.  */
#define ADM_BATCH_MAX 16
#define ADM_SLOTS_MAX 64
/* A target counts a deadline from the moment it received the request.  Making
   a connection takes 6 ms and one way up to 1.5 ms; so an exchange without an
   answer stays counted for this long after its deadline.  It is below the
   margin of the lease (100 ms).  */
#define ADM_DEADLINE_SLACK (20 * RW_MSEC)

/* Shares and queue bounds of the caller classes.  Owned by the caller, shared
   by any number of targets and gates, and may change between calls.  */
struct adm_class
{
  int share;     /* 1 to 1000 */
  int queue_max; /* longest queue of this class: 1 to 100000 */
};
struct adm_classes
{
  struct adm_class by_id[ADM_CLASSES_MAX];
};

void adm_classes_init (struct adm_classes *classes);

/* Mechanisms that tests and scenarios switch off.  */
enum adm_mechanism
{
  ADM_MECH_RAMP = 1 << 0,   /* cold limit, ramp and fall-back */
  ADM_MECH_SHARES = 1 << 1, /* queues by class; off: one queue for all */
  ADM_MECH_REFUSAL = 1 << 2 /* refusal by estimated wait; queue bounds */
};

/* Why something was not admitted.  CODE is 0 or RW_E_NOT_HOLDER; RW_E_OUT;
   RW_E_QUEUE_FULL or RW_E_DEADLINE because of load; RW_E_SHED or RW_E_RESET
   while the target sheds or fails.  RETRY_AFTER is the time in microseconds
   after which another try is reasonable.  */
struct adm_refusal
{
  int code;
  rw_time retry_after;
};

/* The node of a queue.  The caller sets CLASS_ID and DEADLINE before it
   enqueues the node; the rest is private but for REFUSAL, which is valid
   after the node was refused.  */
struct adm_item
{
  unsigned int class_id;
  rw_time deadline; /* absolute */
  struct adm_refusal refusal;
  rw_time queued_at;
  struct adm_item *prev;
  struct adm_item *next;
  enum adm_item_state
  {
    ADM_ITEM_UNLINKED, /* in no list */
    ADM_ITEM_QUEUED,
    ADM_ITEM_REFUSED /* waits for adm_next_refused or adm_gate_next_refused */
  } state;
};

/* Queues by class, served by deficit round robin with the classes' shares.
   Used by targets and gates; private to the library and its tests.  */
struct adm_queue
{
  const struct adm_classes *classes;
  unsigned int disabled;
  size_t len;
  rw_time earliest_deadline; /* no queued deadline is earlier */
  struct adm_class_queue
  {
    struct adm_item *head;
    struct adm_item *tail;
    size_t len;
    int64_t deficit; /* in 1/1000 items */
    bool in_ring;
    bool has_quantum; /* got its quantum of this turn */
  } by_class[ADM_CLASSES_MAX];
  /* The classes that have items or a debt, the one whose turn it is first.  */
  unsigned int ring[ADM_CLASSES_MAX];
  size_t ring_len;
  /* Refused items that the caller has not collected.  */
  struct adm_item *refused_head;
  struct adm_item *refused_tail;
};

/* One part, owned by the caller from before adm_enqueue until it was refused,
   cancelled, or its exchange is done.  The caller sets class and deadline of
   ITEM, and the fields up to ONCE; the strings must live as long.  */
struct adm_part
{
  struct adm_item item; /* first member */
  struct rw_str service;
  struct rw_str snapshot;
  uint32_t shard;
  bool once;                     /* has an exchange of its own */
  void *user;                    /* the caller's; not touched */
  struct adm_exchange *exchange; /* the exchange it runs in, or null */
  bool recalled;                 /* private */
};

/* One exchange with the target, owned by the caller from adm_next_exchange
   until adm_on_done.  */
struct adm_exchange
{
  /* The parts, in order; null where a part was cancelled since.  */
  struct adm_part *parts[ADM_BATCH_MAX];
  size_t count;
  bool once;
  rw_time started_at;
  rw_time deadline; /* for the target; at most UNTIL */
  void *user;       /* the caller's; not touched */
  /* Private.  */
  uint64_t cold_epoch;
  bool holds_slot;
  struct adm_exchange *prev;
  struct adm_exchange *next;
};

/* How an exchange ended.  */
enum adm_outcome_kind
{
  ADM_OK,        /* the target ran it */
  ADM_NOT_RUN,   /* the target answered that it did not run it (snapshot) */
  ADM_SHED,      /* the target refused it because of load */
  ADM_ERROR,     /* the target answered with an error or nonsense */
  ADM_CANCELLED, /* at the wish of the caller */
  ADM_EXPIRED,   /* its deadline passed before it ended */
  ADM_LOST       /* no answer: connection broken */
};
struct adm_outcome
{
  enum adm_outcome_kind kind;
  union
  {
    struct
    {
      uint64_t incarnation; /* of the target; 0: unknown */
      int load;             /* percent of what it can handle; -1: unknown */
    } ok;
    struct
    {
      uint64_t incarnation;
    } not_run;
    struct
    {
      rw_time retry_after; /* 0: none given */
    } shed;
    struct
    {
      bool confirmed; /* the target answered, so that its slot is free */
    } cancelled;
    struct
    {
      bool answered; /* the target said so, so that its slot is free */
    } expired;
    struct
    {
      bool sent; /* a byte was handed to the transport */
    } lost;
  } u;
};

/* What a target reports of itself outside of exchanges.  A hint can lower the
   cap, never raise it, and never to 0.  */
enum adm_hint_kind
{
  ADM_HINT_LOAD,       /* GET /load */
  ADM_HINT_HEALTH,     /* GET /health */
  ADM_HINT_INCARNATION /* another incarnation was seen */
};
struct adm_hint
{
  enum adm_hint_kind kind;
  union
  {
    int load; /* percent of what it can handle */
    bool healthy;
    uint64_t incarnation;
  } u;
};

/* The rules in effect for one target.  */
struct adm_rules
{
  int slots;          /* 1 to ADM_SLOTS_MAX */
  int connections;    /* 1 to 10000 */
  int cold_limit;     /* 1 to ADM_SLOTS_MAX */
  int ramp_successes; /* successes per step: 1 to 10000 */
  bool out;           /* leaving, or its data centre out of service */
};

enum adm_cold_reason
{
  ADM_COLD_START,       /* this daemon began to hold the target */
  ADM_COLD_RETURNED,    /* returned to service */
  ADM_COLD_INCARNATION, /* the target was restarted */
  ADM_COLD_SHED,
  ADM_COLD_FAILED,
  ADM_COLD_LATENCY,
  ADM_COLD_HINT,
  ADM_COLD_IDLE, /* idle, and its answers name no incarnation */
  ADM_COLD_REASON_COUNT
};

/* What limits the target at present.  */
enum adm_limit
{
  ADM_LIMIT_SLOTS, /* the rule: full cap */
  ADM_LIMIT_RAMP,  /* cold, or ramping */
  ADM_LIMIT_IDLE,  /* unconfirmed after an idle time or a slow exchange */
  ADM_LIMIT_PAUSE, /* shed or failing: waits before the next exchange */
  ADM_LIMIT_HANDOVER,
  ADM_LIMIT_CONNECTIONS,
  ADM_LIMIT_NO_LEASE,
  ADM_LIMIT_OUT
};

/* Moving averages of the latency, by size class of the exchange: 1, 2 to 3,
   4 to 7, 8 to 15, 16 parts.  */
#define ADM_SIZE_CLASSES 5
struct adm_latency
{
  int samples;
  rw_time mean; /* of late: for estimates */
  rw_time
      warm_mean; /* moves slowly below the full cap: to notice a cold target */
};

struct adm_counters
{
  uint64_t accepted;  /* parts */
  uint64_t exchanges; /* dispatched */
  uint64_t parts;     /* dispatched in them */
  uint64_t refused_queue;
  uint64_t refused_wait;    /* by estimated wait */
  uint64_t refused_expired; /* while queued */
  uint64_t refused_out;
  uint64_t refused_lease;
  uint64_t cancelled; /* parts */
  uint64_t recalled;  /* exchanges */
  uint64_t cold_events[ADM_COLD_REASON_COUNT];
};

/* Admission of one target.  Private but for COUNTERS.  */
struct adm_target
{
  struct adm_rules rules;
  unsigned int disabled;
  struct adm_queue queue;
  struct adm_exchange *running;      /* dispatched and not done */
  int running_slots;                 /* of those, that occupy a slot */
  rw_time lost_until[ADM_SLOTS_MAX]; /* slots counted until then, unordered */
  int lost_count;
  int predecessor_slots; /* slots that the predecessor may still use */
  rw_time predecessor_until;
  int cap;
  int successes;       /* successes in a row at this cap */
  uint64_t cold_epoch; /* counts the cold events */
  uint64_t incarnation;
  rw_time last_ended_at; /* last proof that the target lives */
  bool confirmed;        /* answered since the last idle time */
  /* A slow exchange may be a straggler or the sign of a cold target: the next
     one that started after this time decides.  RW_TIME_NEVER: none.  */
  rw_time suspect_since;
  bool exported; /* handed over: admits nothing */
  rw_time paused_until;
  int pause_code; /* RW_E_SHED or RW_E_RESET */
  int failures;   /* in a row */
  struct adm_latency latency[ADM_SIZE_CLASSES];
  int64_t mean_batch_milli; /* parts per exchange, in 1/1000 */
  bool recheck_queue; /* the queue must be checked against the estimate */
  enum adm_cold_reason cold_reason;
  rw_time cold_at;
  struct adm_counters counters;
};

void adm_target_init (struct adm_target *target, const struct adm_rules *rules,
                      const struct adm_classes *classes, unsigned int disabled,
                      rw_time now);
void adm_target_finish (struct adm_target *target);

/* Rules in effect changed, or the target was taken out or returned.  */
void adm_set_rules (struct adm_target *target, const struct adm_rules *rules,
                    rw_time now);

/* UNTIL, here and below: the end of this daemon's right to act for the target
   (tenure end less margin); at or before NOW: no right.  Returns 0 or, with
   the same code and the retry time in PART->item.refusal, one of the numbers
   above.  After 0 the caller calls adm_next_exchange.  */
int adm_enqueue (struct adm_target *target, struct adm_part *part, rw_time now,
                 rw_time until);

/* Call in a loop after adm_enqueue, adm_on_done and at wake-ups: while true,
   EXCHANGE was filled and is to be dispatched now.  */
bool adm_next_exchange (struct adm_target *target,
                        struct adm_exchange *exchange, rw_time now,
                        rw_time until);

/* EXCHANGE ended; its memory and its parts are the caller's again.  */
void adm_on_done (struct adm_target *target, struct adm_exchange *exchange,
                  const struct adm_outcome *outcome, rw_time now);

/* The result of adm_on_cancel.  */
enum adm_cancel_result
{
  ADM_CANCEL_REMOVED,  /* was queued, or not known: never ran */
  ADM_CANCEL_DETACHED, /* its exchange goes on for other parts */
  ADM_CANCEL_EXCHANGE  /* no part is left: cancel *EXCHANGE at the target */
};
enum adm_cancel_result adm_on_cancel (struct adm_target *target,
                                      struct adm_part *part,
                                      struct adm_exchange **exchange);

/* Call in a loop at wake-ups and after adm_on_done, adm_set_rules,
   adm_on_hint: returns the next queued part that is refused now, with the
   reason in its item, or null.  */
struct adm_part *adm_next_refused (struct adm_target *target, rw_time now,
                                   rw_time until);

/* Call in a loop at wake-ups, before adm_next_exchange: returns an exchange
   that takes much longer than usual while parts of another class wait, or
   null.  The caller cancels it at the target; its parts are queued again.  */
struct adm_exchange *adm_recall (struct adm_target *target, rw_time now);

/* The latest time of the next call of adm_next_refused and adm_next_exchange,
   or RW_TIME_NEVER.  A change of UNTIL needs a call as well.  */
rw_time adm_next_wakeup (const struct adm_target *target);

void adm_on_hint (struct adm_target *target, const struct adm_hint *hint,
                  rw_time now);

/* Connections that may be open to the target now.  */
int adm_connection_limit (const struct adm_target *target, rw_time now);

/* The estimated time until a part of class CLASS_ID that is enqueued now is
   answered, in microseconds.  */
rw_time adm_response_time (const struct adm_target *target,
                           unsigned int class_id, rw_time now);

/* Hand-over.  The predecessor exports and from then on admits nothing: its
   queued parts are refused by adm_next_refused.  The successor imports.  */
struct adm_handover
{
  int cap;
  int running;          /* slots that the predecessor still counts */
  uint64_t incarnation; /* 0: unknown */
  rw_time remaining;    /* until the last of them is over, microseconds */
};
void adm_export (struct adm_target *target, struct adm_handover *state,
                 rw_time now);
void adm_import (struct adm_target *target, const struct adm_handover *state,
                 rw_time now);
/* The predecessor still counts RUNNING slots (at most as many as before).  */
void adm_on_predecessor_slots (struct adm_target *target, int running);
/* Takes admission up again after a hand-over that was not accepted.  */
void adm_resume (struct adm_target *target, rw_time now);

struct adm_report
{
  enum adm_limit limit;
  int cap;
  int slots;
  int running; /* slots counted, the predecessor's not included */
  int predecessor_slots;
  int queued;
  rw_time latency; /* moving average of one exchange */
  enum adm_cold_reason cold_reason;
  rw_time cold_at;
};
void adm_report (const struct adm_target *target, struct adm_report *report,
                 rw_time now, rw_time until);
const char *adm_limit_name (enum adm_limit limit);
const char *adm_cold_reason_name (enum adm_cold_reason reason);

/* The gate of an entry daemon for one service: at most LIMIT queries run; the
   others wait in a queue per class, under the same rules as the parts of a
   target.  */
struct adm_gate
{
  struct adm_queue queue;
  unsigned int disabled;
  int limit;
  int running;
  struct adm_gate_class
  {
    int running;
    int samples;
    rw_time mean_run_time; /* moving average of the time a query runs */
  } by_class[ADM_CLASSES_MAX];
  rw_time mean_run_time; /* of all classes */
  int samples;
  /* Queries that may run now: at most LIMIT, fewer while targets refuse parts
     because of load.  */
  double window;
  rw_time lowered_at;
  rw_time full_at; /* when the window was last full */
  uint64_t accepted;
  uint64_t refused;
};

/* A query at the gate, owned by the caller from adm_gate_enter until it was
   refused, cancelled or has left.  The caller sets class and deadline.  */
struct adm_query
{
  struct adm_item item; /* first member */
  void *user;           /* the caller's; not touched */
  bool running;
  bool overloaded;
  rw_time started_at;
};

void adm_gate_init (struct adm_gate *gate, int limit,
                    const struct adm_classes *classes, unsigned int disabled);
void adm_gate_finish (struct adm_gate *gate);
/* Returns 0, or RW_E_QUEUE_FULL or RW_E_DEADLINE with the retry time in
   QUERY->item.refusal.  After 0 the caller calls adm_gate_next_query.  */
int adm_gate_enter (struct adm_gate *gate, struct adm_query *query,
                    rw_time now);
/* Returns the next query to start now, or null.  */
struct adm_query *adm_gate_next_query (struct adm_gate *gate, rw_time now);
/* A part of QUERY was refused for good because of load (RW_E_QUEUE_FULL,
   RW_E_DEADLINE, RW_E_SHED), so that the answer will be incomplete.  */
void adm_gate_on_overload (struct adm_query *query);
/* QUERY ended, or its caller has gone: removes it, queued or running.  */
void adm_gate_leave (struct adm_gate *gate, struct adm_query *query,
                     rw_time now);
/* Returns the next queued query that is refused now, or null.  */
struct adm_query *adm_gate_next_refused (struct adm_gate *gate, rw_time now);
rw_time adm_gate_next_wakeup (const struct adm_gate *gate);

/* Queue functions, for the library and its tests.  */
void adm_queue_init (struct adm_queue *queue,
                     const struct adm_classes *classes, unsigned int disabled);
void adm_queue_push (struct adm_queue *queue, struct adm_item *item,
                     rw_time now);
void adm_queue_push_front (struct adm_queue *queue, struct adm_item *item);
unsigned int adm_queue_index (const struct adm_queue *queue,
                              unsigned int class_id);
bool adm_queue_full (const struct adm_queue *queue, unsigned int class_id);
struct adm_item *adm_queue_peek (struct adm_queue *queue);
void adm_queue_take (struct adm_queue *queue, struct adm_item *item);
void adm_queue_remove (struct adm_queue *queue, struct adm_item *item);
void adm_queue_refuse (struct adm_queue *queue, struct adm_item *item,
                       int code, rw_time retry_after);
struct adm_item *adm_queue_next_refused (struct adm_queue *queue);
void adm_queue_unlink (struct adm_queue *queue, struct adm_item *item);
size_t adm_queue_items_before (const struct adm_queue *queue,
                               unsigned int class_id, size_t ahead);
struct adm_class_queue *adm_queue_class (struct adm_queue *queue,
                                         unsigned int class_id);

#endif
