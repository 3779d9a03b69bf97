/* Subqueries: parts of a query whose targets are in another data centre are
   sent together to a daemon there (the delegate).  It sends the parts, merges
   the answers and returns one list, so that fewer bytes cross between data
   centres.  This library decides which parts go together and codes the header
   of a subquery and of its answer; its caller does the I/O.  */

#ifndef SBQ_SUBQUERY_H
#define SBQ_SUBQUERY_H

#include "base.h"

/* A part whose best target is in another data centre.  */
struct sbq_part
{
  uint32_t part; /* index in the query */
  uint64_t dc;   /* hash of the data centre's name */
};

/* The data centres that have targets of some parts, and for each part the
   expected times in microseconds.  */
#define SBQ_MAX_DCS 16
struct sbq_choices
{
  uint64_t dcs[SBQ_MAX_DCS];
  size_t dc_count;
  double *times; /* of part I at data centre J: times[I * SBQ_MAX_DCS + J];
                    infinity: no target */
};

/* Moves PARTS to other data centres so that they form few groups: those that
   are answered there at most DETOUR microseconds later than at the best.
   CHOICES has the times of PARTS in the same order.  Where several data
   centres suit as many parts, SEED decides, so that different queries go to
   different ones.  */
void sbq_join (struct sbq_part *parts, size_t count,
               const struct sbq_choices *choices, double detour,
               uint64_t seed);

/* Parts that go to one data centre: a slice of the array of parts.  */
struct sbq_group
{
  uint64_t dc;
  size_t first;
  size_t count;
};

/* Sorts PARTS by data centre, and within one by index, and stores the groups
   in GROUPS, at most MAX.  Returns their number; the parts of further data
   centres are in no group.  */
size_t sbq_group (struct sbq_part *parts, size_t count,
                  struct sbq_group *groups, size_t max);

/* Moving average of the size of the parts of a route.  */
struct sbq_sizes
{
  double part_bytes; /* of a part's answer without its head; 0: not known */
};

/* Counts the answer of a part.  */
void sbq_count_part (struct sbq_sizes *sizes, size_t bytes);
/* Returns whether a subquery of COUNT parts whose answer has up to RECORDS
   records of RECORD_BYTES needs fewer bytes between data centres than the
   parts alone.  */
bool sbq_saves_bytes (const struct sbq_sizes *sizes, size_t count,
                      size_t records, size_t record_bytes);

/* What a subquery asks for.  */
struct sbq_order
{
  uint64_t version;          /* of the sender's configuration */
  unsigned int max_attempts; /* of each part, by the delegate */
  int64_t soft_ms;           /* until the answer is due */
  unsigned int spare;        /* parts that may be missing then */
  uint32_t *shards;          /* indices in the route, ascending */
  size_t shard_count;        /* at least 1 */
};

/* Shards of a route that a subquery can name.  */
#define SBQ_MAX_SHARDS 4096

/* Appends the value of the header that says ORDER.  */
void sbq_write_order (const struct sbq_order *order, struct rw_buf *out);
/* Decodes it.  The shards are allocated from ARENA.  Returns 0 or
   RW_E_PARSE.  */
int sbq_read_order (struct rw_str text, struct rw_arena *arena,
                    struct sbq_order *order);

/* How the delegate ended a part.  */
enum sbq_result
{
  SBQ_DONE,   /* its records are in the answer */
  SBQ_FAILED, /* a target may have run it */
  SBQ_NOT_RUN /* certainly no target ran it */
};

/* Appends the result of the next part to the value of a header of the answer,
   which has one for each part, in the order's sequence.  STAMP is that of a
   part that is DONE, and ATTEMPTS the number of sends of one that has FAILED.
   Returns false, and appends SBQ_FAILED with SBQ_ALL_ATTEMPTS, if the stamp
   cannot be written.  */
#define SBQ_ALL_ATTEMPTS 0
bool sbq_write_result (struct rw_buf *out, enum sbq_result result,
                       struct rw_str stamp, unsigned int attempts);
/* Takes the next result off *TEXT.  Returns false if there is none.  Sets
 *ATTEMPTS to SBQ_ALL_ATTEMPTS where it is not stated.  */
bool sbq_read_result (struct rw_str *text, enum sbq_result *result,
                      struct rw_str *stamp, unsigned int *attempts);

#endif
