#include "table.h"

/* With up to 5 VMs in a data centre, as in the current deployment, all groups
   have the same voters, so one group is enough.  */
#define DEFAULT_GROUP_COUNT 1
#define DEFAULT_HEDGE_PERCENT 5
#define DEFAULT_TOP_K 100
#define DEFAULT_SLOTS 2
#define DEFAULT_CONNECTIONS 50
#define DEFAULT_COLD_LIMIT 1
#define DEFAULT_RAMP_SUCCESSES 8
#define DEFAULT_SHARE 10
#define DEFAULT_QUEUE_MAX 200
#define DEFAULT_SEARCH_DEADLINE (61 * RW_MSEC)
#define DEFAULT_ONCE_DEADLINE (500 * RW_MSEC)
#define ARENA_BLOCK_SIZE 4096

/* Initialises TABLE without rules.  */
void
rul_init (struct rul_table *table)
{
  rw_arena_init (&table->arena, ARENA_BLOCK_SIZE);
  table->rules = NULL;
  table->rule_count = 0;
  table->index = NULL;
  table->index_len = 0;
}

/* Frees all rules of TABLE with their strings.  TABLE is then empty and may be
   used for look-ups.  */
void
rul_finish (struct rul_table *table)
{
  rw_arena_finish (&table->arena);
  rul_init (table);
}

/* Returns the keyword at the start of a rule of KIND.  */
const char *
rul_kind_name (enum rul_kind kind)
{
  switch (kind)
    {
    case RUL_DATA_CENTRE:
      return "data-centre";
    case RUL_SERVICE:
      return "service";
    case RUL_TARGET:
      return "target";
    case RUL_CALLER:
      return "caller";
    }
  return "unknown";
}

/* Sets every setting of RULE, whose kind is set, to its default.  The deadline
   of a service remains 0, because its default depends on the service's kind.
   The settings of a target remain 0, which stands for the service's value.  */
void
rul_set_defaults (struct rul_rule *rule)
{
  switch (rule->kind)
    {
    case RUL_DATA_CENTRE:
      rule->u.data_centre
          = (struct rul_data_centre){ .groups = DEFAULT_GROUP_COUNT };
      break;
    case RUL_SERVICE:
      rule->u.service
          = (struct rul_service){ .kind = RUL_SEARCH,
                                  .hedge_percent = DEFAULT_HEDGE_PERCENT,
                                  .top_k = DEFAULT_TOP_K,
                                  .slots = DEFAULT_SLOTS,
                                  .connections = DEFAULT_CONNECTIONS,
                                  .cold_limit = DEFAULT_COLD_LIMIT,
                                  .ramp_successes = DEFAULT_RAMP_SUCCESSES };
      break;
    case RUL_TARGET:
      rule->u.target = (struct rul_target){ .leaving = false };
      break;
    case RUL_CALLER:
      rule->u.caller = (struct rul_caller){ .share = DEFAULT_SHARE,
                                            .queue_max = DEFAULT_QUEUE_MAX };
      break;
    }
}

/* Returns the default deadline of a service of KIND.  */
rw_time
rul_default_deadline (enum rul_service_kind kind)
{
  return kind == RUL_ONCE ? DEFAULT_ONCE_DEADLINE : DEFAULT_SEARCH_DEADLINE;
}

/* Allocates the index of TABLE for up to RULE_COUNT rules.  At most half of
   the entries are used, so a search always ends at an empty one.  */
void
rul_index_init (struct rul_table *table, size_t rule_count)
{
  table->index_len = 4;
  while (table->index_len < 2 * rule_count)
    table->index_len *= 2;
  table->index = rw_arena_zalloc (&table->arena, table->index_len,
                                  sizeof *table->index);
}

/* Returns the index entry of the rule (KIND, NAME), or the empty entry where
   it would be added.  */
static size_t
find_index_entry (const struct rul_table *table, enum rul_kind kind,
                  struct rw_str name)
{
  size_t mask = table->index_len - 1;
  size_t at = (size_t)rw_hash_u64 (rw_hash (name), kind) & mask;

  while (table->index[at] != 0)
    {
      const struct rul_rule *rule = &table->rules[table->index[at] - 1];

      if (rule->kind == kind && rw_str_eq (rule->name, name))
        break;
      at = (at + 1) & mask;
    }
  return at;
}

/* Adds the rule at POSITION to the index.  Returns false if the index has a
   rule of the same kind and name.  */
bool
rul_index_add (struct rul_table *table, size_t position)
{
  const struct rul_rule *rule = &table->rules[position];
  size_t at = find_index_entry (table, rule->kind, rule->name);

  if (table->index[at] != 0)
    return false;
  table->index[at] = (uint32_t)position + 1;
  return true;
}

/* Returns the rule of KIND for NAME, or null.  TABLE owns the rule.  */
const struct rul_rule *
rul_find (const struct rul_table *table, enum rul_kind kind,
          struct rw_str name)
{
  size_t at;

  if (table->index_len == 0)
    return NULL;
  at = find_index_entry (table, kind, name);
  return table->index[at] != 0 ? &table->rules[table->index[at] - 1] : NULL;
}

/* Returns the settings of the data centre DC, or the defaults if it has no
   rule.  */
struct rul_data_centre
rul_data_centre (const struct rul_table *table, struct rw_str dc)
{
  const struct rul_rule *rule = rul_find (table, RUL_DATA_CENTRE, dc);
  struct rul_rule defaults = { .kind = RUL_DATA_CENTRE };

  if (rule != NULL)
    return rule->u.data_centre;
  rul_set_defaults (&defaults);
  return defaults.u.data_centre;
}

/* Returns the settings of SERVICE, or the defaults of a search service if it
   has no rule.  */
struct rul_service
rul_service (const struct rul_table *table, struct rw_str service)
{
  const struct rul_rule *rule = rul_find (table, RUL_SERVICE, service);
  struct rul_rule defaults = { .kind = RUL_SERVICE };

  if (rule != NULL)
    return rule->u.service;
  rul_set_defaults (&defaults);
  defaults.u.service.deadline = rul_default_deadline (RUL_SEARCH);
  return defaults.u.service;
}

/* Returns the settings of TARGET, which belongs to SERVICE.  Settings that the
   target's rule does not contain are those of the service.  The cold limit is
   reduced to the slots if it is above them.  */
struct rul_target
rul_target (const struct rul_table *table, struct rw_str target,
            struct rw_str service)
{
  const struct rul_rule *rule = rul_find (table, RUL_TARGET, target);
  struct rul_service inherited = rul_service (table, service);
  struct rul_target result = { .leaving = false };

  if (rule != NULL)
    result = rule->u.target;
  if (result.slots == 0)
    result.slots = inherited.slots;
  if (result.cold_limit == 0)
    result.cold_limit = inherited.cold_limit;
  if (result.cold_limit > result.slots)
    result.cold_limit = result.slots;
  return result;
}

/* Returns the settings of CALLER_CLASS, or the defaults if it has no rule.  */
struct rul_caller
rul_caller (const struct rul_table *table, struct rw_str caller_class)
{
  const struct rul_rule *rule = rul_find (table, RUL_CALLER, caller_class);
  struct rul_rule defaults = { .kind = RUL_CALLER };

  if (rule != NULL)
    return rule->u.caller;
  rul_set_defaults (&defaults);
  return defaults.u.caller;
}

/* Sets the member since of each rule of TABLE, which replaces PREVIOUS at NOW:
   a rule with the same text and comment in PREVIOUS keeps its time, any other
   gets NOW.  */
void
rul_set_since (struct rul_table *table, const struct rul_table *previous,
               rw_time now)
{
  for (size_t i = 0; i < table->rule_count; i++)
    {
      struct rul_rule *rule = &table->rules[i];
      const struct rul_rule *old = rul_find (previous, rule->kind, rule->name);
      bool same = old != NULL && rw_str_eq (old->text, rule->text)
                  && rw_str_eq (old->who, rule->who)
                  && rw_str_eq (old->why, rule->why);

      rule->since = same ? old->since : now;
    }
}
