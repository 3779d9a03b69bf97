/* A search query over all shards of a service, as a state machine.  It splits
   the query into one part for each shard, hedges and retries the parts until
   the deadline, merges their records, and states in the answer which shards
   are covered.  All parts of an answer were searched on one snapshot.  The
   retry budget and the latency window are shared by many queries.

   The caller reports events together with the current time and takes the
   resulting commands; nothing here reads a clock or does I/O.  Times are in
   microseconds, on the clock of rw_now.  Strings in commands and answers
   belong to the query's arena and are valid until qry_finish.  */

#ifndef QRY_QUERY_H
#define QRY_QUERY_H

#include "base.h"
#include "route.h"

/* Mechanisms that a test can disable, to show that it detects their absence.
 */
enum qry_mechanism
{
  QRY_MECH_HEDGE = 1 << 0,    /* stragglers are hedged */
  QRY_MECH_BUDGET = 1 << 1,   /* the retry budget limits hedges and retries */
  QRY_MECH_SNAPSHOT = 1 << 2, /* results of another snapshot are refused */
  QRY_MECH_TRUE_COVERAGE = 1 << 3, /* only merged shards count, and once */
  QRY_MECH_IDENTITY = 1 << 4       /* results must match their attempt */
};

/* Whether a request ran on a target.  */
enum qry_ran
{
  QRY_RAN_NO,
  QRY_RAN_YES,
  QRY_RAN_UNKNOWN
};

const char *qry_ran_name (enum qry_ran ran);

/* The id of a request, unique among all daemons and across their restarts.  */
struct qry_id
{
  uint64_t incarnation; /* of the daemon that took the request */
  uint64_t sequence;    /* counts the requests of that incarnation */
};

bool qry_id_eq (struct qry_id a, struct qry_id b);

/* The retry budget of one caller class, a token bucket.  Each first send of
   the class adds a part of a token; each hedge and each retry takes one.  The
   bucket starts empty, so that hedges and retries together never exceed the
   configured percentage of the first sends.  */
struct qry_budget
{
  double tokens;
  uint64_t first_sends;
  uint64_t taken;   /* tokens */
  uint64_t refused; /* hedges and retries that found no token */
};

/* Limits the burst of hedges and retries after a time without any.  */
#define QRY_BUDGET_TOKENS_MAX 50.0

void qry_budget_init (struct qry_budget *budget);
void qry_budget_earn (struct qry_budget *budget, size_t first_sends,
                      double percent);
bool qry_budget_take (struct qry_budget *budget);

/* The recent part latencies of one service, in two histograms.  When CURRENT
   is older than QRY_LATENCY_WINDOW, it replaces PREVIOUS.  */
struct qry_latency
{
  struct rw_hist current;
  struct rw_hist previous;
  rw_time window_start; /* of CURRENT */
  rw_time p95;          /* cached 95th percentile; 0: too few samples */
  uint64_t new_samples; /* samples since p95 was computed */
};

#define QRY_LATENCY_WINDOW (2 * RW_SEC)
/* A part is hedged after this quantile of the recent latencies.  */
#define QRY_HEDGE_QUANTILE 0.95
#define QRY_HEDGE_DELAY_MIN (2 * RW_MSEC)
/* The hedge delay while there are too few samples for the quantile.  */
#define QRY_HEDGE_DELAY_DEFAULT (10 * RW_MSEC)

void qry_latency_init (struct qry_latency *latency, rw_time now);
void qry_latency_add (struct qry_latency *latency, rw_time sample,
                      rw_time now);
rw_time qry_latency_p95 (struct qry_latency *latency, rw_time now);
rw_time qry_hedge_delay (struct qry_latency *latency, rw_time now);

/* A partition map.  The caller owns it and must keep it, its view and what
   they point to until REFS, the number of queries that pin it, is 0.  The
   flags in the view may change while queries run.  */
struct qry_map
{
  struct rw_str snapshot;
  uint64_t version; /* of the map's document; a newer map has a higher one */
  const struct rte_view *view;
  unsigned int refs;
};

/* The state that the queries of one service and one caller class share.  The
   caller owns it and all that it points to; they must outlive the queries.  */
struct qry_env
{
  struct rw_str service;
  /* The newest map, for new queries and restarts.  Null until the first map
     arrives.  */
  struct qry_map *active_map;
  struct qry_latency *latency; /* of the service */
  struct qry_budget *budget;   /* of the caller class */
  struct rw_rng *rng;
  double hedge_percent;             /* rule "hedge" of the service, 0 to 100 */
  size_t max_records;               /* rule "top": most records in an answer */
  unsigned int disabled_mechanisms; /* qry_mechanism bits; 0 in production */
};

struct qry_record
{
  struct rw_str id;
  double score; /* finite */
  struct rw_str text;
};

/* Time reserved before the deadline for the merge and the answer.  */
#define QRY_MERGE_ALLOWANCE (2 * RW_MSEC)
/* Limit on the sends of one part: the first, hedges and retries.  Redirects
   are not included, as a target never gets the send they replace.  */
#define QRY_ATTEMPTS_MAX 4
/* Limit on the sends of one part that follow a "not holder" answer.  */
#define QRY_REDIRECTS_MAX 2

enum qry_send_reason
{
  QRY_FIRST_SEND, /* also the first send of a part after a restart */
  QRY_HEDGE,      /* another attempt of the part is in flight */
  QRY_RETRY,      /* all other attempts of the part failed or were refused */
  QRY_REDIRECT /* the same target through another holder, after "not holder" */
};

enum qry_command_kind
{
  QRY_SEND_PART,
  QRY_CANCEL_ATTEMPT,
  QRY_ANSWER
};

/* The attempt number is unique within a query, also across a restart.  In
   messages between daemons, it alone identifies the part of a query.  */
struct qry_command
{
  enum qry_command_kind kind;
  union
  {
    struct
    {
      uint32_t attempt;
      uint32_t shard;  /* index into the shards of map->view */
      uint32_t target; /* index into the targets of map->view */
      enum qry_send_reason reason;
      rw_time deadline; /* by which the result must arrive */
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
      rw_time retry_after; /* -1: none */
      struct rw_str body;  /* JSON */
      bool complete;       /* all shards are covered */
      size_t covered;      /* number of merged shards */
      size_t shards;       /* number of shards of the map */
    } answer;
  } u;
};

enum qry_status
{
  QRY_OK,         /* the target answered */
  QRY_NOT_RUN,    /* refused: shed, queue full, too late, target taken out */
  QRY_NOT_HOLDER, /* refused; the caller has updated the holder */
  QRY_OTHER_SNAPSHOT, /* refused: the target serves another snapshot */
  QRY_FAILED          /* connection lost or reset, or invalid answer */
};

/* The result of one attempt, from a RESULT message or made by the caller: if
   the connection to the holder closed, it is QRY_FAILED, or QRY_NOT_RUN if no
   byte was sent.  qry_on_result copies the strings that it keeps.  */
struct qry_result
{
  struct qry_id id;
  uint32_t attempt;
  uint32_t shard;
  enum qry_status status;
  bool may_have_run;      /* QRY_OTHER_SNAPSHOT: the target searched it */
  struct rw_str snapshot; /* that the target searched, or now serves */
  rw_time retry_after;    /* QRY_NOT_RUN, QRY_NOT_HOLDER; 0: none */
  /* QRY_OK: the records, either decoded or, if JSON is not empty, as a JSON
     array.  */
  const struct qry_record *records;
  size_t record_count;
  struct rw_str json;
  const struct rw_err *cause; /* may be null; else copied to an error answer */
};

/* Counts of one query.  */
struct qry_counts
{
  uint32_t first_sends;
  uint32_t hedges;
  uint32_t retries;
  uint32_t redirects;
  uint32_t restarts;
  uint32_t cancelled;       /* attempts */
  uint32_t refused_results; /* mismatched, of another snapshot or malformed */
  uint32_t hedge_wins;      /* hedges that answered before another attempt */
};

enum qry_attempt_state
{
  QRY_ATTEMPT_IN_FLIGHT,
  QRY_ATTEMPT_MERGED,
  QRY_ATTEMPT_CANCELLED,      /* the part no longer needs it */
  QRY_ATTEMPT_REFUSED,        /* the target did not run it */
  QRY_ATTEMPT_REDIRECTED,     /* the daemon does not hold the target */
  QRY_ATTEMPT_OTHER_SNAPSHOT, /* the target serves another snapshot */
  QRY_ATTEMPT_FAILED
};

/* One send of a part; its number is its index in the query's array.  */
struct qry_attempt
{
  rw_time sent_at;
  uint32_t shard;
  uint32_t target;
  uint32_t previous; /* number of the part's attempt before this one, or
                        QRY_NO_ATTEMPT */
  enum qry_send_reason reason;
  enum qry_attempt_state state;
};

#define QRY_NO_ATTEMPT UINT32_MAX

enum qry_part_state
{
  QRY_PART_OPEN,
  QRY_PART_COVERED,  /* its records are merged */
  QRY_PART_UNCOVERED /* given up; no attempt is in flight */
};

/* The part of a query for one shard.  */
struct qry_part
{
  rw_time due_at;        /* of the next hedge or retry; RW_TIME_NEVER: none */
  uint32_t last_attempt; /* number of the last attempt, or QRY_NO_ATTEMPT */
  uint8_t state;         /* enum qry_part_state */
  uint8_t send_count;    /* at most QRY_ATTEMPTS_MAX; without redirects */
  uint8_t redirect_count;
  uint8_t in_flight;    /* attempts */
  bool waits_for_token; /* only a token is missing for its retry */
};

/* One of the best records of a query.  */
struct qry_ranked_record
{
  struct qry_record record;
  uint64_t hash; /* of the record's id */
};

/* A command in the queue; qry_next_command fills in the rest.  */
struct qry_queued_command
{
  enum qry_command_kind kind;
  uint32_t attempt;    /* QRY_NO_ATTEMPT for QRY_ANSWER */
  struct qry_map *map; /* pinned when the command was queued */
};

/* A query.  The members are private to the implementation.  */
struct qry_query
{
  struct rw_arena arena;
  struct qry_env *env;
  struct qry_id id;
  struct qry_map *map;          /* pinned */
  struct qry_map *previous_map; /* pinned before the restart; null: none yet */
  rw_time started_at;
  rw_time caller_deadline; /* by which the caller needs the answer */
  rw_time result_deadline; /* caller_deadline less QRY_MERGE_ALLOWANCE */
  rw_time next_due_at;     /* not later than due_at of any open part */
  struct qry_part *parts;
  size_t part_count;
  size_t open_parts; /* parts in state QRY_PART_OPEN */
  size_t parts_waiting_for_token;
  size_t in_flight;     /* attempts */
  size_t covered_count; /* parts in state QRY_PART_COVERED */
  struct qry_attempt *attempts;
  size_t attempt_count;
  size_t attempt_cap;
  size_t first_attempt; /* on the pinned map; older ones are ignored */
  struct qry_ranked_record *top_records; /* best first */
  size_t top_count;
  size_t top_cap;
  bool done;
  bool may_have_run;       /* an attempt may have run on its target */
  rw_time min_retry_after; /* least of all QRY_NOT_RUN results; -1: none */
  struct rw_str other_snapshot; /* from the last attempt that found one */
  bool restart_wanted;          /* on other_snapshot, if qry_may_restart */
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

/* JSON of targets and of messages between daemons.  */

/* Larger bodies are refused (docs/design.md, section 10).  */
#define QRY_BODY_MAX (1024 * 1024) /* bytes */
#define QRY_RECORDS_MAX 10000      /* records of one part */
#define QRY_RECORD_ID_MAX 256      /* bytes */

/* The answer of a target to POST /search: one shard, searched for one or more
   queries.  */
struct qry_reply_part
{
  struct rw_str id; /* of the query, as in the request */
  struct qry_record *records;
  size_t record_count;
};

struct qry_reply
{
  struct rw_str target;
  uint64_t incarnation; /* of the target */
  struct rw_str snapshot;
  uint32_t shard;
  double load; /* percent of what the target can handle; 0 if absent */
  struct qry_reply_part *parts; /* one for each query */
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
void qry_encode_error (const struct rw_err *err, enum qry_ran ran,
                       rw_time retry_after, struct rw_buf *out);

#endif
