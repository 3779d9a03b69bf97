#include "table.h"

/* Up to 5 VMs per data centre, as today, all groups have the same voters.  */
#define DEFAULT_GROUPS 1
#define DEFAULT_HEDGE_PERCENT 5
#define DEFAULT_TOP 100
#define DEFAULT_SLOTS 2
#define DEFAULT_CONNECTIONS 50
#define DEFAULT_COLD 1
#define DEFAULT_RAMP 8
#define DEFAULT_SHARE 10
#define DEFAULT_QUEUE 200
#define DEFAULT_SEARCH_DEADLINE (61 * RW_MSEC)
#define DEFAULT_ONCE_DEADLINE (500 * RW_MSEC)
#define ARENA_BLOCK 4096

/* Makes TABLE a table without rules.  */
void
rul_init (struct rul_table *table)
{
  rw_arena_init (&table->arena, ARENA_BLOCK);
  table->rules = NULL;
  table->rule_count = 0;
  table->index = NULL;
  table->index_len = 0;
}

/* Frees the memory of TABLE, and with it every string of its rules.  */
void
rul_finish (struct rul_table *table)
{
  rw_arena_finish (&table->arena);
  rul_init (table);
}

/* Returns the word that begins a rule of KIND.  */
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

/* Gives every setting of RULE, whose kind is set, its default.  The deadline
   of a service depends on another setting and stays 0.  */
void
rul_set_defaults (struct rul_rule *rule)
{
  switch (rule->kind)
    {
    case RUL_DATA_CENTRE:
      rule->u.data_centre
          = (struct rul_data_centre){ .groups = DEFAULT_GROUPS };
      break;
    case RUL_SERVICE:
      rule->u.service
          = (struct rul_service){ .kind = RUL_SEARCH,
                                  .hedge_percent = DEFAULT_HEDGE_PERCENT,
                                  .top_k = DEFAULT_TOP,
                                  .slots = DEFAULT_SLOTS,
                                  .connections = DEFAULT_CONNECTIONS,
                                  .cold_limit = DEFAULT_COLD,
                                  .ramp_successes = DEFAULT_RAMP };
      break;
    case RUL_TARGET:
      rule->u.target = (struct rul_target){ .leaving = false };
      break;
    case RUL_CALLER:
      rule->u.caller = (struct rul_caller){ .share = DEFAULT_SHARE,
                                            .queue_max = DEFAULT_QUEUE };
      break;
    }
}

/* Returns the deadline of a service of KIND that states none.  */
rw_time
rul_default_deadline (enum rul_service_kind kind)
{
  return kind == RUL_ONCE ? DEFAULT_ONCE_DEADLINE : DEFAULT_SEARCH_DEADLINE;
}

/* Prepares the index of TABLE for up to RULES rules.  At most half of it is
   used, so that a search always ends at an empty place.  */
void
rul_index_init (struct rul_table *table, size_t rules)
{
  table->index_len = 4;
  while (table->index_len < 2 * rules)
    table->index_len *= 2;
  table->index = rw_arena_zalloc (&table->arena, table->index_len,
                                  sizeof *table->index);
}

/* Returns the place in the index where the rule (KIND, NAME) is or would be
   entered.  */
static size_t
find_place (const struct rul_table *table, enum rul_kind kind,
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

/* Enters the rule at POSITION.  Returns false if a rule of the same kind and
   name was entered before.  */
bool
rul_index_add (struct rul_table *table, size_t position)
{
  const struct rul_rule *rule = &table->rules[position];
  size_t at = find_place (table, rule->kind, rule->name);

  if (table->index[at] != 0)
    return false;
  table->index[at] = (uint32_t)position + 1;
  return true;
}

/* Returns the rule of KIND for NAME, or null.  It belongs to TABLE.  */
const struct rul_rule *
rul_find (const struct rul_table *table, enum rul_kind kind,
          struct rw_str name)
{
  size_t at;

  if (table->index_len == 0)
    return NULL;
  at = find_place (table, kind, name);
  return table->index[at] != 0 ? &table->rules[table->index[at] - 1] : NULL;
}

/* Returns the settings of the data centre DC.  */
struct rul_data_centre
rul_data_centre (const struct rul_table *table, struct rw_str dc)
{
  const struct rul_rule *rule = rul_find (table, RUL_DATA_CENTRE, dc);
  struct rul_rule absent = { .kind = RUL_DATA_CENTRE };

  if (rule != NULL)
    return rule->u.data_centre;
  rul_set_defaults (&absent);
  return absent.u.data_centre;
}

/* Returns the settings of SERVICE.  Without a rule it is a search service.  */
struct rul_service
rul_service (const struct rul_table *table, struct rw_str service)
{
  const struct rul_rule *rule = rul_find (table, RUL_SERVICE, service);
  struct rul_rule absent = { .kind = RUL_SERVICE };

  if (rule != NULL)
    return rule->u.service;
  rul_set_defaults (&absent);
  absent.u.service.deadline = rul_default_deadline (RUL_SEARCH);
  return absent.u.service;
}

/* Returns the settings of TARGET, which belongs to SERVICE: what its own rule
   does not state comes from the service.  The cold limit is never above the
   slots.  */
struct rul_target
rul_target (const struct rul_table *table, struct rw_str target,
            struct rw_str service)
{
  const struct rul_rule *rule = rul_find (table, RUL_TARGET, target);
  struct rul_service inherited = rul_service (table, service);
  struct rul_target found = { .leaving = false };

  if (rule != NULL)
    found = rule->u.target;
  if (found.slots == 0)
    found.slots = inherited.slots;
  if (found.cold_limit == 0)
    found.cold_limit = inherited.cold_limit;
  if (found.cold_limit > found.slots)
    found.cold_limit = found.slots;
  return found;
}

/* Returns the settings of CALLER_CLASS.  */
struct rul_caller
rul_caller (const struct rul_table *table, struct rw_str caller_class)
{
  const struct rul_rule *rule = rul_find (table, RUL_CALLER, caller_class);
  struct rul_rule absent = { .kind = RUL_CALLER };

  if (rule != NULL)
    return rule->u.caller;
  rul_set_defaults (&absent);
  return absent.u.caller;
}

/* Notes for each rule of TABLE, which replaces PREVIOUS at NOW, since when it
   has been in force with the same text and comment.  */
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
