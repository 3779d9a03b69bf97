/* One request over one or many shards: which part to send next, when to send a
   part again, and when to answer with the parts in hand.  A request for one
   target is a request over one shard.  */

#ifndef GAT_GATHER_H
#define GAT_GATHER_H

#include "base.h"

enum gat_part_state
{
  GAT_PART_PENDING, /* to be sent, not before its time */
  GAT_PART_SENT,
  GAT_PART_DONE,
  GAT_PART_LOST
};

struct gat_part
{
  enum gat_part_state state;
  unsigned int in_flight; /* sends without a result */
  unsigned int attempts;  /* sends that may have run */
  unsigned int sends;     /* all sends */
  rw_time due;            /* READY: when to send; SENT: when to hedge */
  struct rw_str stamp;    /* DONE */
  struct rw_str body;     /* DONE */
};

struct gat_plan
{
  size_t part_count;
  size_t min_parts;          /* parts without which there is no success */
  unsigned int max_attempts; /* sends of one part that may run */
  bool idempotent;           /* a part may run more than once */
  rw_time hedge_delay;       /* of a part that has no result */
  rw_time soft_deadline;     /* from here on, NEED parts are enough */
  rw_time deadline;
};

struct gat_query
{
  struct gat_plan plan;
  struct gat_part *parts;
  size_t done;
  size_t lost;
  size_t unfinished; /* parts that are READY or SENT */
  size_t sends;
};

enum gat_send_kind
{
  GAT_SEND_FIRST,
  GAT_SEND_RETRY,
  GAT_SEND_HEDGE
};

/* Why a send ended without a part.  */
enum gat_failure
{
  GAT_FAIL_NOT_RUN, /* certainly not run */
  GAT_FAIL_UNKNOWN, /* may have run */
  GAT_FAIL_RAN      /* answered with a failure */
};

enum gat_decision
{
  GAT_WAIT,
  GAT_ANSWER,
  GAT_GIVE_UP
};

/* The parts are allocated from ARENA.  */
void gat_init (struct gat_query *query, struct rw_arena *arena,
               const struct gat_plan *plan, rw_time now);
/* The next part to send at NOW; false if there is none.  *POSITION starts at
   0.  */
bool gat_next_send (struct gat_query *query, rw_time now, size_t *position,
                    size_t *part, enum gat_send_kind *kind);
void gat_on_sent (struct gat_query *query, size_t part, rw_time now);
/* The part cannot be sent now: no target, or no budget.  It is tried again
   after DELAY; a first send without any target is lost if DELAY is negative.
 */
void gat_postpone (struct gat_query *query, size_t part, rw_time now,
                   rw_time delay);
/* The part arrived; false if it was there already.  The strings must live as
   long as the query.  */
bool gat_on_part (struct gat_query *query, size_t part, struct rw_str stamp,
                  struct rw_str body);
void gat_on_failure (struct gat_query *query, size_t part,
                     enum gat_failure failure, rw_time now, rw_time backoff);
enum gat_decision gat_decide (const struct gat_query *query, rw_time now);
/* When to call gat_next_send and gat_decide again at the latest.  */
rw_time gat_next_event (const struct gat_query *query, rw_time now);

#define GAT_RECORD_SIZE 16
/* The greatest TOP records of the parts that are done, greatest first.  */
struct rw_str gat_merge (const struct gat_query *query, size_t top,
                         struct rw_arena *arena);

#endif
