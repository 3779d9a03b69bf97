/* Parser and table of the operators' rules.  A document has one rule a line,
   each with a comment that names who requested it.  See rwf.rules(5).  */

#ifndef RUL_RULES_H
#define RUL_RULES_H

#include "base.h"

#define RUL_NAME_MAX 63            /* bytes of a name */
#define RUL_TEXT_MAX (1024 * 1024) /* bytes of a rules document */

enum rul_kind
{
  RUL_DATA_CENTRE,
  RUL_SERVICE,
  RUL_TARGET,
  RUL_CALLER
};

enum rul_service_kind
{
  RUL_SEARCH, /* a query to all shards; parts may be sent again */
  RUL_ONCE    /* a request that must not be executed twice */
};

struct rul_data_centre
{
  bool out;   /* out of service: its targets get no new work */
  int groups; /* number of target groups, 1 to 4096 */
};

struct rul_service
{
  enum rul_service_kind kind;
  rw_time deadline;   /* longest time that a request may take, 1 ms to 60 s */
  int hedge_percent;  /* hedges and retries per 100 first sends, 0 to 100 */
  int top_k;          /* maximum number of records in an answer, 1 to 10000 */
  int slots;          /* concurrent exchanges of one target, 1 to 64 */
  int connections;    /* connections that one target accepts, 1 to 10000 */
  int cold_limit;     /* concurrent exchanges of a cold target, 1 to slots */
  int ramp_successes; /* successes in a row that raise the limit of concurrent
                         exchanges of a target by one, 1 to 10000 */
};

struct rul_target
{
  bool leaving;   /* gets no new work */
  int slots;      /* as in rul_service, 1 to 64 */
  int cold_limit; /* as in rul_service, 1 to slots */
};

struct rul_caller
{
  int share;     /* weight when classes compete, 1 to 1000 */
  int queue_max; /* requests and parts waiting in one queue, 1 to 100000 */
};

/* One rule.  Settings that the rule does not contain have their defaults,
   except in a target rule, where they are 0.  The table owns the strings.  */
struct rul_rule
{
  enum rul_kind kind;
  int line; /* from 1 */
  struct rw_str name;
  struct rw_str text; /* the rule without its comment */
  struct rw_str who;  /* who requested the rule; never empty */
  struct rw_str why;  /* the reason; may be empty */
  rw_time since;      /* in force unchanged since then; see rul_set_since */
  union
  {
    struct rul_data_centre data_centre;
    struct rul_service service;
    struct rul_target target;
    struct rul_caller caller;
  } u;
};

/* The rules of one document in the order of their lines.  */
struct rul_table
{
  struct rw_arena arena;
  struct rul_rule *rules;
  size_t rule_count;
  /* Hash table with open addressing: 0, or 1 + the index in RULES.  */
  uint32_t *index;
  size_t index_len; /* entries, a power of two */
};

/* Why a document was rejected.  */
struct rul_error
{
  int line;          /* from 1 */
  int column;        /* in bytes, from 1 */
  char expected[96]; /* what was expected there */
  char found[40];    /* text found there, cut; may be empty */
};

void rul_init (struct rul_table *table);
void rul_finish (struct rul_table *table);
int rul_parse (struct rul_table *table, struct rw_str text,
               struct rul_error *error);
void rul_set_since (struct rul_table *table, const struct rul_table *previous,
                    rw_time now);
struct rw_str rul_error_format (const struct rul_error *error, char *buf,
                                size_t size);

struct rul_data_centre rul_data_centre (const struct rul_table *table,
                                        struct rw_str dc);
struct rul_service rul_service (const struct rul_table *table,
                                struct rw_str service);
struct rul_target rul_target (const struct rul_table *table,
                              struct rw_str target, struct rw_str service);
struct rul_caller rul_caller (const struct rul_table *table,
                              struct rw_str caller_class);
const struct rul_rule *rul_find (const struct rul_table *table,
                                 enum rul_kind kind, struct rw_str name);
const char *rul_kind_name (enum rul_kind kind);

#endif
