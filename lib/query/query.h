/* One query as a state machine: parts, hedges, retries, deadline, merge and
   coverage; the retry budget and the latency window that queries share.

   The caller feeds events with the present time and drains commands.  Strings
   in commands and answers belong to the query's arena and are valid until
   qry_finish.  */

#ifndef QRY_QUERY_H
#define QRY_QUERY_H

#include "base.h"
#include "route.h"

/* Mechanisms that tests switch off to show what fails without them.  */
enum qry_mechanism
{
  QRY_MECH_HEDGE = 1 << 0,         /* hedges of stragglers */
  QRY_MECH_BUDGET = 1 << 1,        /* the budget of hedges and retries */
  QRY_MECH_SNAPSHOT = 1 << 2,      /* refusal of answers of another snapshot */
  QRY_MECH_TRUE_COVERAGE = 1 << 3, /* each shard counted once */
  QRY_MECH_IDENTITY = 1 << 4       /* answers matched to their attempt */
};

/* Whether a request ran at a target.  */
enum qry_ran
{
  QRY_RAN_NO,
  QRY_RAN_YES,
  QRY_RAN_UNKNOWN
};

const char *qry_ran_name (enum qry_ran ran);

/* Names a request in all daemons: it does not repeat across restarts.  */
struct qry_id
{
  uint64_t incarnation; /* of the entry daemon */
  uint64_t sequence;
};

bool qry_id_eq (struct qry_id a, struct qry_id b);

/* Retry budget of one caller class: hedges and retries of a class take tokens
   that its first sends earn.  It starts empty, so that extra sends never
   exceed the percentage.  */
struct qry_budget
{
  double tokens;
  uint64_t first_sends;
  uint64_t taken;
  uint64_t refused;
};

#define QRY_BUDGET_TOKENS_MAX 50.0

void qry_budget_init (struct qry_budget *budget);
void qry_budget_earn (struct qry_budget *budget, size_t first_sends,
                      double percent);
bool qry_budget_take (struct qry_budget *budget);

/* Recent part latencies of one service: two histograms, of which the older is
   dropped after QRY_LATENCY_WINDOW.  */
struct qry_latency
{
  struct rw_hist current;
  struct rw_hist previous;
  rw_time window_start;
  rw_time p95;          /* cached */
  uint64_t new_samples; /* samples since the cached value was computed */
};

#define QRY_LATENCY_WINDOW (2 * RW_SEC)
#define QRY_HEDGE_QUANTILE 0.95
#define QRY_HEDGE_DELAY_MIN (2 * RW_MSEC)
/* Delay until the first samples arrive.  */
#define QRY_HEDGE_DELAY_DEFAULT (10 * RW_MSEC)

void qry_latency_init (struct qry_latency *latency, rw_time now);
void qry_latency_add (struct qry_latency *latency, rw_time sample,
                      rw_time now);
rw_time qry_latency_p95 (struct qry_latency *latency, rw_time now);
rw_time qry_hedge_delay (struct qry_latency *latency, rw_time now);

/* A partition map in use.  The caller owns it and keeps it, its view and what
   they point to until "refs" is 0: every query that has pinned it counts.  The
   flags in the view may change while queries run.  */
struct qry_map
{
  struct rw_str snapshot;
  uint64_t version; /* of the document */
  const struct rte_view *view;
  unsigned int refs;
};

/* What the queries of one service and one caller class share.  The caller
   owns it; it must outlive the queries.  */
struct qry_env
{
  struct rw_str service;
  struct qry_map
      *active_map; /* the active map; replaced when a newer arrives */
  struct qry_latency *latency; /* of the service */
  struct qry_budget *budget;   /* of the caller class */
  struct rw_rng *rng;
  double hedge_percent;             /* rule "hedge" of the service */
  size_t max_records;               /* rule "top": records in an answer */
  unsigned int disabled_mechanisms; /* qry_mechanism bits; 0 in production */
};

struct qry_record
{
  struct rw_str id;
  double score; /* finite */
  struct rw_str text;
};

/* Time kept back at the deadline for the merge and the answer.  */
#define QRY_MERGE_ALLOWANCE (2 * RW_MSEC)
/* Sends of one part, including the first, that reach a target.  */
#define QRY_ATTEMPTS_MAX 4
/* Further sends of a part after "not holder" answers, which reach no target.
 */
#define QRY_REDIRECTS_MAX 2

enum qry_send_reason
{
  QRY_FIRST_SEND, /* also the sends that a restart repeats */
  QRY_HEDGE,      /* another attempt is still running */
  QRY_RETRY,      /* the other attempts failed or were refused */
  QRY_REDIRECT    /* same target, other holder: the last was not its holder */
};

enum qry_command_kind
{
  QRY_SEND_PART,
  QRY_CANCEL_ATTEMPT,
  QRY_ANSWER
};

/* The attempt number is unique within a query, also across a restart, and
   names a part alone in messages between daemons.  */
struct qry_command
{
  enum qry_command_kind kind;
  union
  {
    struct
    {
      uint32_t attempt;
      uint32_t shard;  /* of "map" */
      uint32_t target; /* index into the targets of map->view */
      enum qry_send_reason reason;
      rw_time deadline; /* the result must be here by then */
      const struct qry_map *map;
    } send;
    struct
    {
      uint32_t attempt;
      uint32_t shard;
      uint32_t target;
      const struct qry_map *map;
    } cancel;
    struct
    {
      int status;          /* HTTP status: 200, 503 or 504 */
      rw_time retry_after; /* microseconds, -1: none */
      struct rw_str body;  /* JSON */
      bool complete;
      size_t covered;
      size_t shards;
    } answer;
  } u;
};

enum qry_status
{
  QRY_OK,             /* the target answered */
  QRY_NOT_RUN,        /* refused: shed, queue full, no time, taken out */
  QRY_NOT_HOLDER,     /* refused; the caller has applied the correction */
  QRY_OTHER_SNAPSHOT, /* refused: the target serves another snapshot */
  QRY_FAILED          /* connection lost, reset, invalid answer */
};

/* The outcome of one attempt, from a RESULT message or from the caller itself
   (the holder's connection closed: QRY_FAILED; no byte sent: QRY_NOT_RUN).
   The strings are copied as far as they are needed.  */
struct qry_result
{
  struct qry_id id;
  uint32_t attempt;
  uint32_t shard;
  enum qry_status status;
  struct rw_str snapshot; /* the one that was searched, or the refuser's */
  rw_time retry_after;    /* QRY_NOT_RUN: microseconds, 0: none */
  /* QRY_OK: decoded records, or, if "json" is not empty, the JSON array of
     records, which is decoded here.  */
  const struct qry_record *records;
  size_t record_count;
  struct rw_str json;
  const struct rw_err *cause; /* may be null; else shown in an error answer */
};

/* Sends by reason, and results that were refused.  */
struct qry_counts
{
  uint32_t first_sends;
  uint32_t hedges;
  uint32_t retries;
  uint32_t redirects;
  uint32_t restarts;
  uint32_t cancelled;
  uint32_t refused_results; /* late, crossed, wrong shard or snapshot */
  uint32_t hedge_wins;
};

enum qry_attempt_state
{
  QRY_ATTEMPT_IN_FLIGHT,
  QRY_ATTEMPT_MERGED,    /* merged */
  QRY_ATTEMPT_CANCELLED, /* cancelled: the part no longer needs it */
  QRY_ATTEMPT_REFUSED,   /* not run */
  QRY_ATTEMPT_REDIRECTED,
  QRY_ATTEMPT_OTHER_SNAPSHOT, /* the target serves another snapshot */
  QRY_ATTEMPT_FAILED
};

/* One send of a part; its number is its index in the query's array.  */
struct qry_attempt
{
  rw_time sent_at;
  uint32_t shard;
  uint32_t target;
  uint32_t previous; /* attempt of the same part, or QRY_NO_ATTEMPT */
  enum qry_send_reason reason;
  enum qry_attempt_state state;
};

#define QRY_NO_ATTEMPT UINT32_MAX

enum qry_part_state
{
  QRY_PART_OPEN,
  QRY_PART_COVERED,  /* merged */
  QRY_PART_UNCOVERED /* nothing more can arrive */
};

struct qry_part
{
  rw_time due_at;        /* next hedge or retry, RW_TIME_NEVER: none */
  uint32_t last_attempt; /* attempt, or QRY_NO_ATTEMPT */
  uint8_t state;         /* enum qry_part_state */
  uint8_t send_count;    /* without redirects */
  uint8_t redirect_count;
  uint8_t in_flight;    /* attempts */
  bool waits_for_token; /* waits for a token of the budget and nothing else */
};

/* A record among the best of a query, with the hash of its id.  */
struct qry_ranked_record
{
  struct qry_record record;
  uint64_t hash;
};

/* A command is built when it is taken from the queue.  */
struct qry_queued_command
{
  enum qry_command_kind kind;
  uint32_t attempt;
  struct qry_map *map;
};

/* The members are private to the implementation.  */
struct qry_query
{
  struct rw_arena arena;
  struct qry_env *env;
  struct qry_id id;
  struct qry_map *map;          /* pinned */
  struct qry_map *previous_map; /* before a restart, null if there was none */
  rw_time started_at;
  rw_time caller_deadline; /* the caller's deadline */
  rw_time result_deadline; /* the same less the merge allowance */
  rw_time next_due_at;     /* no part is due before */
  struct qry_part *parts;
  size_t part_count;
  size_t open_parts;              /* parts */
  size_t parts_waiting_for_token; /* parts */
  size_t in_flight;               /* attempts */
  size_t covered_count;           /* merged shards */
  struct qry_attempt *attempts;
  size_t attempt_count;
  size_t attempt_cap;
  size_t first_attempt;                  /* of the pinned map */
  struct qry_ranked_record *top_records; /* best first */
  size_t top_count;
  size_t top_cap;
  bool done;
  bool may_have_run;            /* some attempt may have run */
  rw_time min_retry_after;      /* least of the refusals, -1: none */
  struct rw_str other_snapshot; /* snapshot that a refusing target named */
  bool restart_wanted;          /* a reason to restart on that snapshot */
  struct rw_err last_error;     /* of the last failure or refusal */
  struct qry_counts counts;
  struct qry_command answer;
  struct qry_queued_command *queue;
  size_t queue_head;
  size_t queue_len;
  size_t queue_cap;
};

void qry_init (struct qry_query *query, struct qry_env *env, struct qry_id id,
               rw_time deadline, rw_time now);
void qry_finish (struct qry_query *query);
bool qry_next_command (struct qry_query *query, struct qry_command *command);
rw_time qry_next_wakeup (const struct qry_query *query);
void qry_tick (struct qry_query *query, rw_time now);
int qry_on_result (struct qry_query *query, const struct qry_result *result,
                   rw_time now, struct rw_err *err);
void qry_on_caller_disconnect (struct qry_query *query, rw_time now);
bool qry_done (const struct qry_query *query);
struct qry_counts qry_get_counts (const struct qry_query *query);

/* JSON.  */

/* Bodies are refused above this size (section 10).  */
#define QRY_BODY_MAX (1024 * 1024)
#define QRY_RECORDS_MAX 10000
#define QRY_RECORD_ID_MAX 256

/* The answer of a target to POST /search.  */
struct qry_reply_part
{
  struct rw_str id;
  struct qry_record *records;
  size_t record_count;
};
struct qry_reply
{
  struct rw_str target;
  uint64_t incarnation;
  struct rw_str snapshot;
  uint32_t shard;
  double load; /* 0 if absent */
  struct qry_reply_part *parts;
  size_t part_count;
};

int qry_parse_records (struct rw_str json, struct rw_arena *arena,
                       struct qry_record **records, size_t *count,
                       struct rw_err *err);
int qry_parse_reply (struct rw_str json, struct rw_arena *arena,
                     struct qry_reply *reply, struct rw_err *err);
int qry_parse_snapshot_refusal (struct rw_str json, struct rw_arena *arena,
                                struct rw_str *snapshot);
void qry_encode_records (const struct qry_record *records, size_t count,
                         struct rw_buf *out);
void qry_encode_search (struct rw_str snapshot, uint32_t shard,
                        const struct rw_str *ids, const struct rw_str *texts,
                        size_t count, struct rw_buf *out);
void qry_encode_error (const struct rw_err *why, enum qry_ran ran,
                       rw_time retry_after, struct rw_buf *out);

#endif
