/* Admission control of one target, on the daemon that holds it, and of the
   queries that one entry daemon runs.  The library does no I/O and reads no
   clock: the time is an argument, and every queue node belongs to the caller.

   The cap of a target is its present concurrency limit: how many exchanges may
   run at once.  A cold target starts at the cold limit; slow start (the ramp)
   raises the cap by one after a number of successes, up to the slots of the
   rules.  A sign of a cold target lowers the cap to the cold limit again (the
   fall-back).  One running exchange uses one slot.  */

#ifndef ADM_ADMIT_H
#define ADM_ADMIT_H

#include "base.h"

/* Caller classes are numbers from 0 to ADM_CLASSES_MAX - 1, chosen by the
   caller.  */
#define ADM_CLASSES_MAX 32
/* Most parts in one exchange.  Below its full cap a target gets one part per
   exchange.  */
#define ADM_BATCH_MAX 16
/* Most slots that the rules may give one target.  */
#define ADM_SLOTS_MAX 64
/* An exchange without an answer keeps its slot for this long after its
   deadline.  The target counts the time left from the receipt of the request,
   which arrives late: opening a connection takes 6 ms, and the one-way delay
   is up to 1.5 ms.  The slack must be below the margin of the lease
   (100 ms).  */
#define ADM_DEADLINE_SLACK (20 * RW_MSEC)

/* Shares and queue bounds of the caller classes.  Owned by the caller, shared
   by any number of targets and gates, and may change between calls.  */
struct adm_class
{
  int share;     /* relative to the other classes: 1 to 1000 */
  int queue_max; /* longest queue of this class: 1 to 100000 */
};
struct adm_classes
{
  struct adm_class by_id[ADM_CLASSES_MAX];
};

/* Gives every class the defaults of the rules: share 10, a queue of 200.  */
void adm_classes_init (struct adm_classes *classes);

/* Mechanisms that tests and scenarios switch off.  */
enum adm_mechanism
{
  ADM_MECH_RAMP = 1 << 0,   /* cold limit, ramp and fall-back */
  ADM_MECH_SHARES = 1 << 1, /* queues by class; off: one queue for all */
  ADM_MECH_REFUSAL = 1 << 2 /* refusal by response time; queue bounds */
};

/* Why something was not admitted.  CODE is 0 or
   RW_E_NOT_HOLDER: this daemon may not act for the target;
   RW_E_OUT: the target is out of service;
   RW_E_QUEUE_FULL, RW_E_DEADLINE: refused because of load;
   RW_E_SHED, RW_E_RESET: the target sheds load or fails.
   RETRY_AFTER is the time in microseconds after which to retry.  */
struct adm_refusal
{
  int code;
  rw_time retry_after;
};

/* A queue node.  The caller sets CLASS_ID and DEADLINE before it enqueues the
   node.  REFUSAL is valid after the node was refused; the rest is private.  */
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
    /* Until adm_next_refused or adm_gate_next_refused returns it.  */
    ADM_ITEM_REFUSED
  } state;
};

/* One queue per class, served by deficit round robin with the classes' shares.
   Used by targets and gates; private to the library and its tests.  */
struct adm_queue
{
  const struct adm_classes *classes;
  unsigned int disabled; /* bits of enum adm_mechanism */
  size_t len;            /* items of all classes */
  /* No queued deadline is earlier; RW_TIME_NEVER if the queue is empty.  */
  rw_time earliest_deadline;
  struct adm_class_queue
  {
    struct adm_item *head;
    struct adm_item *tail;
    size_t len;
    int64_t deficit; /* in 1/1000 items; negative: a debt */
    bool in_ring;
    bool has_quantum; /* received the quantum of its present turn */
  } by_class[ADM_CLASSES_MAX];
  /* The classes in the order of their turns, the current one first.  A class
     stays in the ring until a turn begins at which it has neither items nor a
     debt.  */
  unsigned int ring[ADM_CLASSES_MAX];
  size_t ring_len;
  /* Refused items that the caller has not collected.  */
  struct adm_item *refused_head;
  struct adm_item *refused_tail;
};

/* One part, owned by the caller from before adm_enqueue until it was refused
   or cancelled, or its exchange is done.  The caller sets class and deadline
   of ITEM, and the fields from SERVICE to ONCE; the strings must live as long
   as the part.  */
struct adm_part
{
  struct adm_item item; /* first member */
  struct rw_str service;
  struct rw_str snapshot;
  uint32_t shard;
  bool once;                     /* has an exchange of its own */
  void *user;                    /* for the caller; not read or changed */
  struct adm_exchange *exchange; /* the exchange it runs in, or null */
  bool recalled;                 /* by adm_recall; private */
};

/* One exchange with the target, owned by the caller from adm_next_exchange
   until adm_on_done.  */
struct adm_exchange
{
  /* The parts, in order; null where a part was cancelled or recalled.  */
  struct adm_part *parts[ADM_BATCH_MAX];
  size_t count;
  bool once;
  rw_time started_at;
  /* Deadline that the target gets: the latest deadline of the parts, but not
     after the end of the lease.  */
  rw_time deadline;
  void *user; /* for the caller; not read or changed */
  /* Private.  */
  uint64_t cold_epoch; /* of the target when the exchange started */
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
  ADM_ERROR,     /* the target answered with an error or a malformed answer */
  ADM_CANCELLED, /* the caller cancelled it */
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
      uint64_t incarnation; /* of the target; 0: unknown */
    } not_run;
    struct
    {
      rw_time retry_after; /* 0: none given */
    } shed;
    struct
    {
      bool confirmed; /* the target answered, so its slot is free */
    } cancelled;
    struct
    {
      bool answered; /* the target reported the expiry, so its slot is free */
    } expired;
    struct
    {
      bool sent; /* a byte was handed to the transport */
    } lost;
  } u;
};

/* What a target reports about itself outside of exchanges.  A hint can lower
   the cap, but never raise it, and never lower it to 0.  */
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
  int slots;          /* cap of a warm target: 1 to ADM_SLOTS_MAX */
  int connections;    /* most open connections: 1 to 10000 */
  int cold_limit;     /* cap of a cold target: 1 to ADM_SLOTS_MAX */
  int ramp_successes; /* in a row, to raise the cap by one: 1 to 10000 */
  bool out;           /* leaving, or its data centre is out of service */
};

/* Why the target fell back to the cold limit.  */
enum adm_cold_reason
{
  ADM_COLD_START,       /* this daemon began to hold the target */
  ADM_COLD_RETURNED,    /* returned to service */
  ADM_COLD_INCARNATION, /* the target was restarted */
  ADM_COLD_SHED,        /* the target refused an exchange because of load */
  ADM_COLD_FAILED,      /* an error, or no answer */
  ADM_COLD_LATENCY,     /* a slow exchange after a latency jump */
  ADM_COLD_HINT,        /* a hint: unhealthy, or another incarnation */
  ADM_COLD_IDLE,        /* was idle, and its answers name no incarnation */
  ADM_COLD_REASON_COUNT
};

/* What limits the target at present.  */
enum adm_limit
{
  ADM_LIMIT_SLOTS,       /* the slots of the rules */
  ADM_LIMIT_RAMP,        /* cold, or in slow start */
  ADM_LIMIT_IDLE,        /* may be cold: was idle, or an exchange was slow */
  ADM_LIMIT_PAUSE,       /* sheds or fails: waits before the next exchange */
  ADM_LIMIT_HANDOVER,    /* the predecessor still uses slots */
  ADM_LIMIT_CONNECTIONS, /* the rules allow fewer connections than slots */
  ADM_LIMIT_NO_LEASE,    /* this daemon may not act for the target */
  ADM_LIMIT_OUT          /* out of service */
};

/* Moving averages of the latency, by size class of the exchange: 1, 2 to 3,
   4 to 7, 8 to 15, 16 parts.  */
#define ADM_SIZE_CLASSES 5
struct adm_latency
{
  int samples;
  rw_time mean; /* of recent exchanges, to estimate response times */
  /* To detect a cold target.  Below the full cap it changes slowly.  */
  rw_time warm_mean;
};

/* Totals since adm_target_init; in parts unless noted.  */
struct adm_counters
{
  uint64_t accepted;
  uint64_t exchanges;     /* exchanges dispatched */
  uint64_t parts;         /* dispatched in these exchanges */
  uint64_t refused_queue; /* the queue was full */
  /* On arrival: the estimated response time was too long, or the deadline too
     close.  */
  uint64_t refused_wait;
  /* While queued: the estimate became too long, or the deadline too close.  */
  uint64_t refused_expired;
  uint64_t refused_out;
  uint64_t refused_lease;
  uint64_t cancelled;
  uint64_t recalled;                           /* exchanges */
  uint64_t cold_events[ADM_COLD_REASON_COUNT]; /* fall-backs */
};

/* Admission of one target.  Private except COUNTERS.  */
struct adm_target
{
  struct adm_rules rules;
  unsigned int disabled; /* bits of enum adm_mechanism */
  struct adm_queue queue;
  struct adm_exchange *running; /* dispatched and not done */
  int running_slots;            /* slots that RUNNING holds */
  /* Times until which the slots of abandoned exchanges stay in use, because
     the target may still run them; unordered.  */
  rw_time lost_until[ADM_SLOTS_MAX];
  int lost_count;
  int predecessor_slots;     /* that the predecessor may still use */
  rw_time predecessor_until; /* the predecessor uses no slot after this time */
  int cap;
  int successes;         /* in a row at this cap */
  uint64_t cold_epoch;   /* number of fall-backs to the cold limit */
  uint64_t incarnation;  /* that the target last named; 0: unknown */
  rw_time last_ended_at; /* end of the last exchange, or start of the hold */
  /* The target answered since it was last idle, taken over from another daemon
     or suspected to be cold.  */
  bool confirmed;
  /* Time of a slow exchange, which may be a straggler or the sign of a cold
     target: the next exchange that starts after this time decides.
     RW_TIME_NEVER: none.  */
  rw_time suspect_since;
  bool exported;        /* handed over: admits nothing */
  rw_time paused_until; /* INT64_MIN: not paused */
  int pause_code;       /* RW_E_SHED or RW_E_RESET */
  int failures;         /* in a row */
  struct adm_latency latency[ADM_SIZE_CLASSES];
  int64_t mean_batch_milli; /* average of parts per exchange, in 1/1000 */
  /* The estimated response time may have grown: adm_next_refused is to compare
     the queued parts with it.  */
  bool recheck_queue;
  enum adm_cold_reason cold_reason; /* of the last fall-back */
  rw_time cold_at;                  /* time of the last fall-back */
  struct adm_counters counters;
};

/* Prepares a target that this daemon begins to hold: it counts as cold.
   CLASSES remains the caller's and must live as long as TARGET; DISABLED are
   bits of enum adm_mechanism.  */
void adm_target_init (struct adm_target *target, const struct adm_rules *rules,
                      const struct adm_classes *classes, unsigned int disabled,
                      rw_time now);
/* Drops all parts and exchanges, which remain the caller's.  */
void adm_target_finish (struct adm_target *target);

/* Applies changed rules, also when the target is taken out or returned.  A
   target that returns to service counts as cold; a higher number of slots is
   reached by the ramp.  */
void adm_set_rules (struct adm_target *target, const struct adm_rules *rules,
                    rw_time now);

/* Queues PART and returns 0, or refuses it and returns one of the codes of
   struct adm_refusal; code and retry time are then in PART->item.refusal.
   After 0 the caller calls adm_next_exchange.
   LEASE_END, here and below, is the end of this daemon's right to act for the
   target: the end of its lease less the margin.  There is no right if it is at
   or before NOW.  */
int adm_enqueue (struct adm_target *target, struct adm_part *part, rw_time now,
                 rw_time lease_end);

/* Fills EXCHANGE with the parts to dispatch at NOW and returns true, or
   returns false if none may be dispatched.  Call it in a loop after
   adm_enqueue, adm_on_done and at wake-ups.  */
bool adm_next_exchange (struct adm_target *target,
                        struct adm_exchange *exchange, rw_time now,
                        rw_time lease_end);

/* Takes the outcome of an exchange that ended.  EXCHANGE and its parts are the
   caller's again.  */
void adm_on_done (struct adm_target *target, struct adm_exchange *exchange,
                  const struct adm_outcome *outcome, rw_time now);

/* What adm_on_cancel did with the part.  */
enum adm_cancel_result
{
  ADM_CANCEL_REMOVED,  /* was queued, or not known: never ran */
  ADM_CANCEL_DETACHED, /* its exchange goes on for other parts */
  ADM_CANCEL_EXCHANGE  /* no part is left: cancel *EXCHANGE at the target */
};
/* Removes PART, whose caller cancelled it, and sets *EXCHANGE to the exchange
   that PART runs in, or to null.  PART is the caller's again.  */
enum adm_cancel_result adm_on_cancel (struct adm_target *target,
                                      struct adm_part *part,
                                      struct adm_exchange **exchange);

/* Returns the next queued part that is refused at NOW, with the reason in its
   item, or null.  Call it in a loop at wake-ups and after adm_on_done,
   adm_set_rules and adm_on_hint.  */
struct adm_part *adm_next_refused (struct adm_target *target, rw_time now,
                                   rw_time lease_end);

/* Returns an exchange that takes much longer than usual while parts of another
   class wait, or null.  The caller cancels it at the target; its parts are
   queued again, before all others of their class.  Call it in a loop at
   wake-ups, before adm_next_exchange.  */
struct adm_exchange *adm_recall (struct adm_target *target, rw_time now);

/* Returns the time at which adm_next_refused, adm_recall and adm_next_exchange
   must be called at the latest, or RW_TIME_NEVER.  They must also be called
   when the end of the lease changes.  */
rw_time adm_next_wakeup (const struct adm_target *target);

void adm_on_hint (struct adm_target *target, const struct adm_hint *hint,
                  rw_time now);

/* Returns how many connections may be open to the target now.  */
int adm_connection_limit (const struct adm_target *target, rw_time now);

/* Returns the estimated time until a part of class CLASS_ID that is enqueued
   at NOW is answered, in microseconds.  */
rw_time adm_response_time (const struct adm_target *target,
                           unsigned int class_id, rw_time now);

/* Hand-over.  The predecessor exports the state; from then on it admits
   nothing, and adm_next_refused refuses its queued parts.  The successor
   imports the state.  */
struct adm_handover
{
  int cap;
  int running;          /* slots that the predecessor still counts */
  uint64_t incarnation; /* 0: unknown */
  rw_time remaining;    /* microseconds until the last of them is free */
};
void adm_export (struct adm_target *target, struct adm_handover *state,
                 rw_time now);
void adm_import (struct adm_target *target, const struct adm_handover *state,
                 rw_time now);
/* Lowers the number of slots that the predecessor still counts to RUNNING, but
   never raises it.  */
void adm_on_predecessor_slots (struct adm_target *target, int running);
/* Admits parts again after a hand-over that the successor did not accept.  */
void adm_resume (struct adm_target *target, rw_time now);

/* The state of one target, for operators.  */
struct adm_report
{
  enum adm_limit limit;
  int cap;
  int slots;             /* of the rules */
  int running;           /* slots in use, without those of the predecessor */
  int predecessor_slots; /* that the predecessor may still use */
  int queued;            /* parts */
  rw_time latency;       /* moving average of an exchange with one part */
  enum adm_cold_reason cold_reason; /* of the last fall-back */
  rw_time cold_at;                  /* time of the last fall-back */
};
void adm_report (const struct adm_target *target, struct adm_report *report,
                 rw_time now, rw_time lease_end);
/* The names are in static memory.  */
const char *adm_limit_name (enum adm_limit limit);
const char *adm_cold_reason_name (enum adm_cold_reason reason);

/* The gate of an entry daemon for one service: at most LIMIT queries run; the
   others wait in a queue per class, under the same rules as the parts of a
   target.  Private.  */
struct adm_gate
{
  struct adm_queue queue;
  unsigned int disabled; /* bits of enum adm_mechanism */
  int limit;             /* most queries that may ever run at once */
  int running;
  struct adm_gate_class
  {
    int running;
    int samples;
    rw_time mean_run_time; /* moving average of the time a query runs */
  } by_class[ADM_CLASSES_MAX];
  rw_time mean_run_time; /* of all classes */
  int samples;
  /* Queries that may run now: 1 to LIMIT, fewer while targets refuse parts
     because of load.  */
  double window;
  rw_time lowered_at; /* when the window was last lowered */
  rw_time full_at;    /* when a query last filled the window */
  uint64_t accepted;
  uint64_t refused;
};

/* A query at the gate, owned by the caller from adm_gate_enter until it was
   refused or has left.  The caller sets class and deadline of ITEM; the rest
   is private.  */
struct adm_query
{
  struct adm_item item; /* first member */
  void *user;           /* for the caller; not read or changed */
  bool running;
  bool overloaded; /* lost a part because of load */
  rw_time started_at;
};

/* Prepares a gate that lets at most LIMIT queries run.  CLASSES remains the
   caller's and must live as long as GATE; DISABLED are bits of enum
   adm_mechanism.  */
void adm_gate_init (struct adm_gate *gate, int limit,
                    const struct adm_classes *classes, unsigned int disabled);
/* Drops all queries, which remain the caller's.  */
void adm_gate_finish (struct adm_gate *gate);
/* Queues QUERY and returns 0, or refuses it and returns RW_E_QUEUE_FULL or
   RW_E_DEADLINE, with the retry time in QUERY->item.refusal.  After 0 the
   caller calls adm_gate_next_query.  */
int adm_gate_enter (struct adm_gate *gate, struct adm_query *query,
                    rw_time now);
/* Returns the next query to start at NOW, or null.  */
struct adm_query *adm_gate_next_query (struct adm_gate *gate, rw_time now);
/* Notes that the answer of QUERY will be incomplete, because a part of it was
   refused for good because of load (RW_E_QUEUE_FULL, RW_E_DEADLINE,
   RW_E_SHED).  */
void adm_gate_on_overload (struct adm_query *query);
/* Removes QUERY, queued or running, which ended or whose caller has gone.  */
void adm_gate_leave (struct adm_gate *gate, struct adm_query *query,
                     rw_time now);
/* Returns the next queued query that is refused at NOW, or null.  */
struct adm_query *adm_gate_next_refused (struct adm_gate *gate, rw_time now);
/* Returns when adm_gate_next_refused is due, or RW_TIME_NEVER.  */
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
