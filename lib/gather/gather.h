/* Scheduling of the parts of a query, one part for each shard: which part to
   send, when to retry or hedge it, and when to answer with the parts received.
   A request to a single target is a query of one part.  The caller chooses the
   targets, does the sending and reports the results; nothing here reads a
   clock or does I/O.  All times are on the clock of rw_now.  */

#ifndef GAT_GATHER_H
#define GAT_GATHER_H

#include "base.h"

enum gat_part_state
{
  GAT_PART_PENDING, /* waits for its first send or for a retry */
  GAT_PART_SENT,    /* at least one send is in flight */
  GAT_PART_DONE,    /* its answer arrived */
  GAT_PART_LOST     /* given up, although a late answer is still accepted */
};

struct gat_part
{
  enum gat_part_state state;
  unsigned int in_flight; /* sends without a result */
  unsigned int attempts;  /* sends, except those that certainly did not run */
  unsigned int arrivals;  /* sends, except those of which no byte was sent */
  unsigned int sends;     /* all sends */
  rw_time due;            /* PENDING: when to send; SENT: when to hedge */
  rw_time failed_at;      /* last failure of a send; 0: none */
  rw_time ready_at;       /* when it can be answered at the earliest, by the
                             last forecast */
  bool answering;         /* see gat_outlook; for the caller's use */
  bool is_away;           /* no target is known to answer it, likewise */
  struct rw_str stamp;    /* DONE: the target's stamp */
  struct rw_str body;     /* DONE: the target's answer */
};

/* The limits of a query.  */
struct gat_plan
{
  size_t part_count;
  size_t min_parts;          /* with fewer parts the query fails */
  unsigned int max_attempts; /* sends of one part that may have run */
  bool idempotent;           /* a part may run more than once */
  rw_time hedge_delay;       /* from a send to its hedge, without a result */
  rw_time soft_deadline;     /* from then on, min_parts parts are enough */
  rw_time deadline;          /* when the query ends in any case */
};

/* When a query can be answered, as far as is known of its targets.  */
enum gat_prospect
{
  GAT_PROSPECT_IN_TIME, /* by the soft deadline */
  GAT_PROSPECT_LATE,    /* by the deadline */
  GAT_PROSPECT_NONE     /* not by the deadline */
};

struct gat_query
{
  struct gat_plan plan;
  struct gat_part *parts; /* plan.part_count of them */
  size_t done;            /* parts in state DONE */
  size_t lost;            /* parts in state LOST */
  size_t unfinished;      /* parts in state PENDING or SENT */
  size_t sends;           /* of all parts */
  /* Of the last forecast, see gat_forecast.  */
  enum gat_prospect prospect;
  size_t possible;      /* parts that can be done by the deadline */
  bool needs_return;    /* too few parts unless a target returns */
  bool is_probe;        /* sent to find out whether targets returned */
  rw_time forecast_at;  /* 0: none was made */
  rw_time forecast_due; /* RW_TIME_NEVER: none is made */
};

enum gat_send_kind
{
  GAT_SEND_FIRST,
  GAT_SEND_RETRY,
  GAT_SEND_HEDGE,
  GAT_SEND_KIND_COUNT
};

/* Whether a failed send ran on its target.  */
enum gat_failure
{
  GAT_FAIL_UNSENT,  /* no byte of it was sent */
  GAT_FAIL_NOT_RUN, /* the target did not run it */
  GAT_FAIL_UNKNOWN, /* may have run */
  GAT_FAIL_RAN      /* ran, and the target answered with a failure */
};

enum gat_decision
{
  GAT_WAIT,
  GAT_ANSWER, /* with the parts that are DONE */
  GAT_GIVE_UP /* the query failed */
};

/* Returns how often a part may be sent at most, with the sends that a target
   refused.  */
size_t gat_max_sends (const struct gat_plan *plan);
/* Starts a query at NOW, with every part due at once.  PLAN is copied; the
   parts are allocated from ARENA, which must outlive the query.  */
void gat_init (struct gat_query *query, struct rw_arena *arena,
               const struct gat_plan *plan, rw_time now);
/* Finds the next part that is due at NOW; returns false if there is none.
   *POSITION is the cursor of the scan: the caller sets it to 0 at the start
   and then leaves it unchanged.  For each part found, the caller then calls
   gat_on_sent or gat_postpone.  */
bool gat_next_send (struct gat_query *query, rw_time now, size_t *position,
                    size_t *part, enum gat_send_kind *kind);
/* Records that PART was sent at NOW; if it may be hedged, it is due again
   after plan.hedge_delay.  */
void gat_on_sent (struct gat_query *query, size_t part, rw_time now);
/* Multiplies that delay by FACTOR, above 0 and at most 2, for a send of PART
   that began at NOW: its target is known to be slower or faster than
   others.  */
void gat_scale_hedge (struct gat_query *query, size_t part, double factor,
                      rw_time now);
/* Records that PART was left at NOW to another daemon, which may send it up to
   ATTEMPTS times; at least 1.  It counts as one send in flight.  */
void gat_on_delegated (struct gat_query *query, size_t part,
                       unsigned int attempts, rw_time now);
/* Records that PART, which was left to a daemon with ATTEMPTS, certainly did
   not run: FAILURE is GAT_FAIL_UNSENT or GAT_FAIL_NOT_RUN.  The part is due
   again at once.  */
void gat_on_returned (struct gat_query *query, size_t part,
                      unsigned int attempts, enum gat_failure failure,
                      rw_time now);
/* Records that PART, which was left to a daemon with ATTEMPTS, failed there
   after USED of them, which may have run.  The part is due again at once if
   the query has attempts left.  */
void gat_on_delegated_failure (struct gat_query *query, size_t part,
                               unsigned int attempts, unsigned int used,
                               rw_time now);
/* Records the answer of PART as part of a list that the other daemon merged
   from several: it takes the place of an answer of its own, which would count
   twice.  The BODY of the list belongs to one of its parts, and is empty for
   the others.  The strings are not copied and must outlive the query.  */
void gat_on_delegated_part (struct gat_query *query, size_t part,
                            struct rw_str stamp, struct rw_str body);
/* Records that PART was due at NOW but is not sent, for lack of a suitable
   target or of retry budget.  The part is due again after DELAY.  A negative
   DELAY means that there is no target at all: a pending part is lost, and a
   part in flight is not hedged unless one of its sends fails.  */
void gat_postpone (struct gat_query *query, size_t part, rw_time now,
                   rw_time delay);
/* Returns whether another send of PART would be an extra one at its service:
   an earlier one has arrived there, or may have.  */
bool gat_send_is_extra (const struct gat_query *query, size_t part);
/* Records that PART was due at NOW but may not be sent, as the budget of extra
   sends is used up.  It is due again after DELAY; but a query of one part that
   has no send in flight fails at once, since it can only wait for a budget
   that is refilled in seconds.  */
void gat_deny (struct gat_query *query, size_t part, rw_time now,
               rw_time delay);
/* Records the answer of PART; returns false if it had one already, which is
   then kept.  The strings are not copied and must outlive the query.  */
bool gat_on_part (struct gat_query *query, size_t part, struct rw_str stamp,
                  struct rw_str body);
/* Records that a send of PART failed.  The part is sent again after BACKOFF,
   or is lost if it may not be sent again and no other send of it is in flight.
   A part that is not idempotent is only sent again if it certainly did not
   run.  A part that is already done or lost stays so.  */
void gat_on_failure (struct gat_query *query, size_t part,
                     enum gat_failure failure, rw_time now, rw_time backoff);
/* Returns the time until the least number of parts can be sent, 0 if they can
   be sent now; TIMES has that of each part, and is reordered.  */
double gat_time_until_enough (double *times, const struct gat_plan *plan);
/* Decides at NOW whether to wait, answer or give up.  The query is answered
   early if all parts are done, and fails early if min_parts parts cannot be
   done any more, also by the last forecast.  */
enum gat_decision gat_decide (const struct gat_query *query, rw_time now);
/* Returns the time, not before NOW, by which gat_next_send and gat_decide must
   be called again.  */
rw_time gat_next_event (const struct gat_query *query, rw_time now);

/* What is known of the targets of a part that is not done.  */
struct gat_outlook
{
  bool answering;         /* a send is in flight to a target that has not
                             stalled, or of a probe, not yet due for a hedge */
  bool has_target;        /* a usable target that did not fail lately and has
                             not stalled */
  bool has_proven_target; /* such a target has not failed since its last
                             success */
  rw_time budget_in; /* until the budget of extra sends allows another send, if
                        it needs one; 0: now */
  rw_time usable_in; /* until a target can be used that named the time;
                             RW_TIME_NEVER: none did */
  rw_time outage;    /* how long the usable targets have failed or been silent,
                        the shortest time; RW_TIME_NEVER: none is usable */
};

/* Starts forecasts for QUERY.  Without this call none is due.  */
void gat_start_forecasts (struct gat_query *query, rw_time now);
/* Whether a forecast is due: the caller then calls gat_note_outlook for each
   part that is neither done nor lost, and gat_forecast.  */
bool gat_forecast_due (const struct gat_query *query, rw_time now);
/* Makes a forecast due soon, as a send failed.  */
void gat_request_forecast (struct gat_query *query, rw_time now);
/* Records what is known of the targets of PART at NOW.  */
void gat_note_outlook (struct gat_query *query, size_t part,
                       const struct gat_outlook *outlook, rw_time now);
/* Sets the prospect of QUERY from the outlooks noted at NOW.  A service whose
   targets have failed or been silent for some time, longer than a pause of a
   target, is expected to return after as long again.  */
void gat_forecast (struct gat_query *query, rw_time now);
/* Makes QUERY, whose prospect is GAT_PROSPECT_NONE, a probe, if the route has
   sent none lately: its parts are sent once in any case.  *NEXT_PROBE belongs
   to the route and is 0 at first.  Returns whether it did; a forecast is then
   due.  */
bool gat_begin_probe (struct gat_query *query, rw_time *next_probe,
                      rw_time now);
/* Whether the parts of QUERY may be hedged: not those of a query that cannot
   be complete enough in time.  */
bool gat_may_hedge (const struct gat_query *query);
/* Returns the time until PART, which is due for a retry, is to be sent: 0 at
   once.  If the query needs the return of a target, the sends that are left
   are spread over the time that is left.  */
rw_time gat_retry_wait (const struct gat_query *query, size_t part,
                        rw_time now);

/* The times that callers of a route state they will wait.  Callers that begin
   state one of a few usual times; those that return state what is left.  */
#define GAT_MAX_USUAL 8
struct gat_stated
{
  int64_t time_left_ms;
  unsigned int count; /* 0: unused */
};
struct gat_patience
{
  struct gat_stated stated[GAT_MAX_USUAL];
};

/* Counts a caller that stated TIME_LEFT_MS.  */
void gat_count_patience (struct gat_patience *patience, int64_t time_left_ms);
/* Returns the time that a caller who states TIME_LEFT_MS has probably spent on
   earlier attempts: what it lacks to the next usual time, 0 if that is its own
   or if none is longer.  */
rw_time gat_time_spent (const struct gat_patience *patience,
                        int64_t time_left_ms);

/* How much later than their soft deadline queries are decided, as a moving
   average: timers fire late, and other work waits for the processor too.  */
struct gat_lateness
{
  double mean; /* microseconds */
};

/* Counts a query that was answered at NOW without all parts.  */
void gat_count_lateness (struct gat_lateness *lateness, rw_time soft_deadline,
                         rw_time now);
/* Returns by how much a soft deadline is to be set earlier.  */
rw_time gat_lateness_margin (const struct gat_lateness *lateness);

#define GAT_RECORD_SIZE 16 /* bytes */
/* Returns the TOP_K greatest records, or all if there are fewer, of the parts
   that are done, greatest first.  Records are compared as unsigned bytes;
   bytes after the last whole record of a part are ignored.  The result is
   allocated from ARENA.  */
struct rw_str gat_merge (const struct gat_query *query, size_t top_k,
                         struct rw_arena *arena);

#endif
