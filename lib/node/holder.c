#include "holder.h"

#include <stdlib.h>
#include <string.h>

/* Adds TARGET to the lists of nod_holder_run and nod_holder_check_leases,
   unless it is there already.  */
void
nod_target_mark_dirty (struct nod_node *node, struct nod_target *target)
{
  if (!target->active)
    {
      target->active = true;
      target->next_active = node->active_targets;
      node->active_targets = target;
    }
  if (target->dirty)
    return;
  target->dirty = true;
  target->next_dirty = node->dirty_targets;
  node->dirty_targets = target;
}

/* Returns the rules of admission for TARGET.  */
static struct adm_rules
admission_rules (const struct nod_node *node, const struct nod_target *target)
{
  const struct rul_service *service = &target->service->rules;
  struct rul_target own = rul_target (&node->rules, rw_str_from (target->name),
                                      rw_str_from (target->service->name));

  return (struct adm_rules){ .slots = own.slots,
                             .connections = service->connections,
                             .cold_limit = own.cold_limit,
                             .ramp_successes = service->ramp_successes,
                             .out = target->out };
}

/* Allocates the admission state of TARGET, if it has none.  */
void
nod_holder_init_admission (struct nod_node *node, struct nod_target *target)
{
  struct adm_rules rules;

  if (target->admission != NULL)
    return;
  rules = admission_rules (node, target);
  target->admission = rw_xcalloc (1, sizeof *target->admission);
  adm_target_init (target->admission, &rules, &node->classes,
                   nod_admission_disabled (node), node->now);
}

/* Applies the rules in force to the admission of TARGET, if it has any.  */
void
nod_holder_apply_rules (struct nod_node *node, struct nod_target *target)
{
  struct adm_rules rules;

  if (target->admission == NULL)
    return;
  rules = admission_rules (node, target);
  adm_set_rules (target->admission, &rules, node->now);
  nod_target_mark_dirty (node, target);
}

/* Makes TARGET cold: a daemon that holds a target again does not know the load
   that it can take now.  Setting the rule "out" for a moment does this;
   exchanges that still run stay counted.  */
static void
reset_to_cold (struct nod_node *node, struct nod_target *target)
{
  struct adm_rules rules;

  if (target->admission == NULL)
    return;
  rules = admission_rules (node, target);
  rules.out = true;
  adm_set_rules (target->admission, &rules, node->now);
  rules.out = target->out;
  adm_set_rules (target->admission, &rules, node->now);
}

/* Returns whether this daemon may act for TARGET: whether it has the lease and
   has not handed the target over.  Sets *UNTIL to the end of the lease minus
   LEA_MARGIN, to RW_TIME_NEVER if leases are switched off, or to 0 if the
   result is false.  Records the result in TARGET: the target becomes cold when
   this daemon begins to act, and is marked as yielding when this daemon stops
   acting.  */
bool
nod_holder_may_act (struct nod_node *node, struct nod_target *target,
                    rw_time *until)
{
  bool acts = true;

  *until = RW_TIME_NEVER;
  if (nod_enabled (node, NOD_MECH_LEASE))
    {
      acts = !target->handed_over
             && lea_may_act (&node->leases, target->group_key, target->id,
                             node->now, until);
      *until -= LEA_MARGIN;
      acts = acts && *until > node->now;
    }
  if (acts && !target->acting)
    reset_to_cold (node, target);
  if (!acts && target->acting)
    {
      target->yielding = true;
      target->next_yield_at = node->now;
    }
  target->acting = acts;
  if (!acts)
    *until = 0;
  return acts;
}

/* Returns whether TARGET has no part in a queue or an exchange.  */
static bool
is_idle (const struct nod_node *node, const struct nod_target *target)
{
  struct adm_report report;

  if (target->admission == NULL)
    return true;
  adm_report (target->admission, &report, node->now, 0);
  return report.queued == 0 && report.running == 0;
}

/* Marks every target with parts as dirty, because its lease may have ended,
   and removes idle targets from the list of active ones.  */
void
nod_holder_check_leases (struct nod_node *node)
{
  struct nod_target **link = &node->active_targets;

  node->next_lease_check_at = node->now + NOD_LEASE_CHECK_INTERVAL;
  while (*link != NULL)
    {
      struct nod_target *target = *link;

      if (is_idle (node, target) && !target->dirty)
        {
          *link = target->next_active;
          target->active = false;
          continue;
        }
      nod_target_mark_dirty (node, target);
      link = &target->next_active;
    }
}

/* Frees the exchanges, the parts and the admission state of the targets.  */
void
nod_holder_finish (struct nod_node *node)
{
  size_t position = 0;
  struct nod_exchange *exchange;
  struct nod_part *part;
  struct nod_target *target;

  while ((exchange = rw_map_next (&node->exchanges, &position)) != NULL)
    free (exchange);
  rw_map_finish (&node->exchanges);
  position = 0;
  while ((part = rw_map_next (&node->parts, &position)) != NULL)
    {
      nod_part_free (node, part);
      position = 0;
    }
  rw_map_finish (&node->parts);
  position = 0;
  while ((target = rw_map_next (&node->targets, &position)) != NULL)
    if (target->admission != NULL)
      {
        adm_target_finish (target->admission);
        free (target->admission);
      }
}
