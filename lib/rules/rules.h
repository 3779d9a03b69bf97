/* The operators' rules: one rule a line, each with a comment that names who
   requested it.  See rwf.rules(5).  */

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
  RUL_SEARCH, /* a query to all shards; parts may be repeated */
  RUL_ONCE    /* a request that may not be repeated */
};

struct rul_data_centre
{
  bool out;   /* taken out of service */
  int groups; /* number of target groups, 1 to 4096 */
};

struct rul_service
{
  enum rul_service_kind kind;
  rw_time deadline;   /* longest time that a request may take */
  int hedge_percent;  /* hedges and retries per 100 first sends, 0 to 100 */
  int top_k;          /* most records in an answer, 1 to 10000 */
  int slots;          /* concurrent exchanges of one target, 1 to 64 */
  int connections;    /* connections that one target accepts, 1 to 10000 */
  int cold_limit;     /* concurrent exchanges of a cold target, 1 to SLOTS */
  int ramp_successes; /* successes before the cap grows by one, 1 to 10000 */
};

struct rul_target
{
  bool leaving;
  int slots;      /* 1 to 64 */
  int cold_limit; /* 1 to SLOTS */
};

struct rul_caller
{
  int share;     /* weight of the class, 1 to 1000 */
  int queue_max; /* longest queue of the class, 1 to 100000 */
};

/* One rule as it was written.  Settings that the rule does not state have
   their defaults, except in a target rule, where they are 0.  The strings
   belong to the table.  */
struct rul_rule
{
  enum rul_kind kind;
  int line; /* from 1 */
  struct rw_str name;
  struct rw_str text; /* the rule without its comment */
  struct rw_str who;  /* never empty */
  struct rw_str why;  /* may be empty */
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
  uint32_t *index; /* open addressing: 0 or position in RULES + 1 */
  size_t index_len;
};

/* Where a text was refused.  Columns count bytes from 1.  */
struct rul_error
{
  int line;
  int column;
  char expected[96];
  char found[40];
};

void rul_init (struct rul_table *table);
void rul_finish (struct rul_table *table);
int rul_parse (struct rul_table *table, struct rw_str text,
               struct rul_error *error);
void rul_set_since (struct rul_table *table, const struct rul_table *previous,
                    rw_time now);
struct rw_str rul_error_format (const struct rul_error *error, char *buf,
                                size_t size);

/* Look-ups: the rule's settings, or the defaults.  */
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
