#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* Key prefix of partition maps; the name of the service follows.  */
#define MAP_PREFIX RW_LIT ("map/")

/* Returns the service NAME, or a null pointer.  */
struct nod_service *
nod_service_find (const struct nod_node *node, struct rw_str name)
{
  struct nod_service *service = node->services;

  while (service != NULL && !rw_str_eq_cstr (name, service->name))
    service = service->next;
  return service;
}

/* Returns the service NAME, created if it is new.  */
static struct nod_service *
service_get (struct nod_node *node, struct rw_str name)
{
  struct nod_service *service = nod_service_find (node, name);

  if (service != NULL)
    return service;
  service = rw_xcalloc (1, sizeof *service);
  rw_str_copy (service->name, sizeof service->name, name);
  service->rules = rul_service (&node->rules, name);
  adm_gate_init (&service->gate, NOD_RUNNING_QUERIES_MAX, &node->classes,
                 nod_admission_disabled (node));
  qry_latency_init (&service->latency, node->now);
  service->next = node->services;
  node->services = service;
  return service;
}

/* Returns the target NAME of any map, or a null pointer.  */
struct nod_target *
nod_target_find (const struct nod_node *node, struct rw_str name)
{
  struct nod_target *target = rw_map_get (&node->targets, rw_hash (name));

  return target != NULL && rw_str_eq_cstr (name, target->name) ? target : NULL;
}

/* Returns the target of the map entry FROM, created if it is new, with its
   service, data centre and address set from the entry.  */
static struct nod_target *
target_get (struct nod_node *node, struct nod_service *service,
            const struct top_target *from)
{
  struct nod_target *target = rw_map_get (&node->targets, from->id);

  if (target == NULL)
    {
      target = rw_xcalloc (1, sizeof *target);
      target->id = from->id;
      rw_str_copy (target->name, sizeof target->name, from->name);
      rte_estimate_init (&target->estimate, node->now);
      rte_correction_init (&target->correction);
      rw_map_put (&node->targets, target->id, target);
    }
  target->service = service;
  rw_str_copy (target->dc, sizeof target->dc, from->dc);
  rw_str_copy (target->addr.host, sizeof target->addr.host, from->addr);
  target->addr.port = from->port;
  return target;
}

/* Returns the index of DC in the data centres of MAP, adding it if it is new.
 */
static uint32_t
dc_index (struct nod_map *map, struct rw_str dc)
{
  for (uint32_t i = 0; i < map->view.dc_count; i++)
    if (rw_str_eq (map->dcs[i], dc))
      return i;
  map->dcs[map->view.dc_count] = dc;
  return (uint32_t)map->view.dc_count++;
}

/* Builds the view of MAP, with its arrays in the arena of the map.  */
static void
build_view (struct nod_node *node, struct nod_service *service,
            struct nod_map *map)
{
  struct rw_arena *arena = &map->topo.arena;
  size_t targets = map->topo.target_count;

  map->targets = rw_arena_zalloc (arena, targets, sizeof *map->targets);
  map->node_targets = rw_arena_zalloc (arena, targets, sizeof (void *));
  map->dcs = rw_arena_zalloc (arena, targets, sizeof *map->dcs);
  map->dc_out = rw_arena_zalloc (arena, targets, sizeof *map->dc_out);
  map->shards
      = rw_arena_zalloc (arena, map->topo.shard_count, sizeof *map->shards);
  for (size_t i = 0; i < targets; i++)
    {
      const struct top_target *from = &map->topo.targets[i];

      map->node_targets[i] = target_get (node, service, from);
      map->targets[i].name = from->name;
      map->targets[i].estimate = &map->node_targets[i]->estimate;
      map->targets[i].dc = dc_index (map, from->dc);
    }
  for (size_t i = 0; i < map->topo.shard_count; i++)
    map->shards[i] = (struct rte_shard){ map->topo.shards[i].replicas,
                                         map->topo.shards[i].replica_count };
  map->view.targets = map->targets;
  map->view.target_count = targets;
  map->view.shards = map->shards;
  map->view.shard_count = map->topo.shard_count;
  map->view.dc_out = map->dc_out;
}

static void
map_free (struct nod_map *map)
{
  top_map_finish (&map->topo);
  free (map);
}

/* Frees the maps that no query uses, except the newest.  */
static void
drop_unused_maps (struct nod_service *service)
{
  struct nod_map **link;

  if (service->maps == NULL)
    return;
  link = &service->maps->older;
  while (*link != NULL)
    {
      struct nod_map *map = *link;

      if (map->query.refs != 0)
        {
          link = &map->older;
          continue;
        }
      *link = map->older;
      map_free (map);
    }
}

/* Parses a partition map and makes it the newest of its service.  New queries
   use it; older maps stay until no query uses them.  */
static int
accept_map (struct nod_node *node, struct rw_str key, uint64_t version,
            struct rw_str body, struct rw_err *err)
{
  struct nod_map *map = rw_xcalloc (1, sizeof *map);
  struct nod_service *service;
  int rc = top_map_init (&map->topo, version, key, body, err);

  if (rc < 0)
    {
      free (map);
      return rc;
    }
  service = service_get (node, map->topo.service);
  build_view (node, service, map);
  map->query.snapshot = map->topo.snapshot;
  map->query.version = version;
  map->query.view = &map->view;
  map->older = service->maps;
  service->maps = map;
  for (size_t i = 0; i < ADM_CLASSES_MAX; i++)
    if (service->env_ready[i])
      service->env[i].active_map = &map->query;
  drop_unused_maps (service);
  node->map_changed_at = node->now;
  return 0;
}

/* Parses the rules and replaces the table.  An unchanged rule keeps the time
   since which it is in force.  */
static int
accept_rules (struct nod_node *node, struct rw_str body, struct rw_err *err)
{
  struct rul_table table;
  struct rul_error error;
  char text[256];
  int rc;

  rul_init (&table);
  rc = rul_parse (&table, body, &error);
  if (rc < 0)
    {
      struct rw_str where = rul_error_format (&error, text, sizeof text);

      rul_finish (&table);
      return rw_err_set (err, rc, "rules", RW_LIT ("rules"), "%.*s",
                         RW_STR_ARG (where));
    }
  rul_set_since (&table, &node->rules, node->now);
  rul_finish (&node->rules);
  node->rules = table;
  node->rules_since = node->now;
  return 0;
}

/* Parses the VM list and replaces the old one.  */
static int
accept_vms (struct nod_node *node, uint64_t version, struct rw_str body,
            struct rw_err *err)
{
  struct top_vms vms;
  int rc = top_vms_init (&vms, version, body, err);

  if (rc < 0)
    return rc;
  top_vms_finish (&node->vms);
  node->vms = vms;
  return 0;
}

/* Validates the document KEY and puts it into force.  The next nod_run_pending
   computes the state derived from it.  The type is cnf_accept_fn.  */
int
nod_config_accept (void *arg, struct rw_str key, uint64_t version,
                   struct rw_str body, struct rw_err *err)
{
  struct nod_node *node = arg;
  int rc;

  if (rw_str_eq_cstr (key, "rules"))
    rc = accept_rules (node, body, err);
  else if (rw_str_eq_cstr (key, "vms"))
    rc = accept_vms (node, version, body, err);
  else if (rw_str_starts (key, MAP_PREFIX))
    rc = accept_map (node, key, version, body, err);
  else
    rc = rw_err_set (err, RW_E_NOT_FOUND, "document", key, "unknown key");
  if (rc == 0)
    node->config_changed = true;
  return rc;
}

/* Returns the origin of the document KEY, or a null pointer if none is in
   force.  */
const struct nod_origin *
nod_config_origin (const struct nod_node *node, struct rw_str key)
{
  const struct nod_origin *origin = node->origins;
  uint64_t id = rw_hash (key);

  while (origin != NULL && origin->id != id)
    origin = origin->next;
  return origin;
}

/* Records SOURCE and the present time as origin of the document KEY.  */
static void
record_origin (struct nod_node *node, struct rw_str key, struct rw_str source)
{
  struct nod_origin *origin = node->origins;
  uint64_t id = rw_hash (key);

  while (origin != NULL && origin->id != id)
    origin = origin->next;
  if (origin == NULL)
    {
      origin = rw_xcalloc (1, sizeof *origin);
      origin->id = id;
      origin->next = node->origins;
      node->origins = origin;
    }
  origin->since = node->now;
  rw_str_copy (origin->source, sizeof origin->source, source);
}

/* Offers a document from SOURCE, which is "service" or the name of a VM, to
   lib/conf, and logs whether it came into force.  An older version is ignored.
   After a new document extra probes tell other daemons of its version.  */
void
nod_config_offer (struct nod_node *node, struct rw_str key, uint64_t version,
                  struct rw_str body, struct rw_str source)
{
  struct rw_err err = { 0 };
  char text[320];
  int rc = cnf_offer (&node->conf, key, version, body, node->now, &err);

  if (rc == 0)
    {
      sta_inc (node->metrics.docs_accepted);
      record_origin (node, key, source);
      nod_log (node, NOD_LOG_INFO, "config",
               "%.*s version %llu from %.*s is in force.", RW_STR_ARG (key),
               (unsigned long long)version, RW_STR_ARG (source));
      if (nod_enabled (node, NOD_MECH_SPREAD))
        mem_send_extra_probes (&node->members);
      return;
    }
  if (rc == RW_E_NOT_NEWER)
    return;
  sta_inc (node->metrics.docs_refused);
  nod_log (node, NOD_LOG_ERROR, "config",
           "%.*s version %llu from %.*s was refused: %.*s", RW_STR_ARG (key),
           (unsigned long long)version, RW_STR_ARG (source),
           RW_STR_ARG (rw_err_format (&err, text, sizeof text)));
}

/* The data centres of the VM list and of the maps.  */
struct dc_list
{
  struct rw_str *names;
  struct rw_str *regions; /* of the data centre; if it has no VMs, its voters
                             are found there */
  size_t len;
  size_t cap;
};

/* Adds the data centre NAME to LIST, unless LIST has it already.  */
static void
add_dc (struct dc_list *list, struct rw_str name, struct rw_str region)
{
  for (size_t i = 0; i < list->len; i++)
    if (rw_str_eq (list->names[i], name))
      return;
  if (list->len == list->cap)
    return;
  list->names[list->len] = name;
  list->regions[list->len++] = region;
}

/* Fills LIST, which is zeroed.  Its arrays belong to the scratch arena.  */
static void
collect_dcs (struct nod_node *node, struct dc_list *list)
{
  list->cap = node->vms.dc_count;
  for (struct nod_service *s = node->services; s != NULL; s = s->next)
    for (struct nod_map *map = s->maps; map != NULL; map = map->older)
      list->cap += map->view.dc_count;
  list->names
      = rw_arena_zalloc (&node->scratch, list->cap, sizeof *list->names);
  list->regions
      = rw_arena_zalloc (&node->scratch, list->cap, sizeof *list->regions);
  for (size_t i = 0; i < node->vms.dc_count; i++)
    add_dc (list, node->vms.dcs[i].name, node->vms.dcs[i].region);
  for (struct nod_service *s = node->services; s != NULL; s = s->next)
    for (struct nod_map *map = s->maps; map != NULL; map = map->older)
      for (size_t i = 0; i < map->view.dc_count; i++)
        add_dc (list, map->dcs[i], map->topo.region);
}

/* The electorates of all groups, in the scratch arena, used while derived
   state is computed.  They are computed once and not for each target, because
   each takes a hash for every VM of its data centre.  */
struct electorates
{
  struct top_electorate *items;
  size_t count;
  struct rw_map by_key;
};

/* Computes the electorates of all groups.  The caller ends the map BY_KEY with
   rw_map_finish.  */
static void
electorates_init (struct nod_node *node, struct electorates *electorates)
{
  struct dc_list dcs = { 0 };
  size_t total = 0;

  collect_dcs (node, &dcs);
  for (size_t i = 0; i < dcs.len; i++)
    total += (size_t)rul_data_centre (&node->rules, dcs.names[i]).groups;
  electorates->items
      = rw_arena_zalloc (&node->scratch, total, sizeof *electorates->items);
  electorates->count = 0;
  rw_map_init (&electorates->by_key);
  for (size_t i = 0; i < dcs.len; i++)
    {
      uint32_t groups
          = (uint32_t)rul_data_centre (&node->rules, dcs.names[i]).groups;

      for (uint32_t group = 0; group < groups; group++)
        {
          struct top_electorate *e = &electorates->items[electorates->count++];

          top_electorate (&node->vms, dcs.names[i], dcs.regions[i], groups,
                          group, e);
          rw_map_put (&electorates->by_key, e->group_key, e);
        }
    }
}

/* Returns whether a rule takes TARGET or its data centre out of service.  Sets
   the rule line of TARGET to the line of that rule, or 0.  */
static bool
is_out (const struct nod_node *node, struct nod_target *target)
{
  struct rw_str name = rw_str_from (target->name);
  struct rw_str dc = rw_str_from (target->dc);
  const struct rul_rule *rule;

  target->rule_line = 0;
  if (!nod_enabled (node, NOD_MECH_ROUTE_OUT))
    return false;
  rule = rul_find (&node->rules, RUL_DATA_CENTRE, dc);
  if (rule != NULL && rule->u.data_centre.out)
    {
      target->rule_line = rule->line;
      return true;
    }
  rule = rul_find (&node->rules, RUL_TARGET, name);
  if (rule == NULL || !rule->u.target.leaving)
    return false;
  target->rule_line = rule->line;
  return true;
}

/* Computes from the rules and the VM list whether TARGET is out, its group,
   the candidates for its holder and its limits.  */
static void
apply_to_target (struct nod_node *node, struct nod_target *target,
                 const struct electorates *electorates)
{
  struct rw_str dc = rw_str_from (target->dc);
  uint32_t groups = (uint32_t)rul_data_centre (&node->rules, dc).groups;
  const struct top_electorate *electorate;

  target->out = is_out (node, target);
  target->group = top_group_of (target->id, groups);
  target->group_key = top_group_key (dc, target->group);
  electorate = rw_map_get (&electorates->by_key, target->group_key);
  target->candidate_count = electorate != NULL ? electorate->member_count : 0;
  if (electorate != NULL)
    top_rank_members (electorate, target->id, target->candidates);
  nod_holder_apply_rules (node, target);
}

/* Sets in the view of MAP which data centres and targets are out.  */
static void
apply_to_map (struct nod_node *node, struct nod_map *map)
{
  for (size_t i = 0; i < map->view.dc_count; i++)
    map->dc_out[i] = nod_enabled (node, NOD_MECH_ROUTE_OUT)
                     && rul_data_centre (&node->rules, map->dcs[i]).out;
  for (size_t i = 0; i < map->topo.target_count; i++)
    map->targets[i].leaving = map->node_targets[i]->out;
}

/* Applies the rules to SERVICE and the targets of all its maps.  */
static void
apply_to_service (struct nod_node *node, struct nod_service *service,
                  const struct electorates *electorates)
{
  service->rules = rul_service (&node->rules, rw_str_from (service->name));
  for (size_t i = 0; i < ADM_CLASSES_MAX; i++)
    if (service->env_ready[i])
      {
        service->env[i].hedge_percent = service->rules.hedge_percent;
        service->env[i].max_records = (size_t)service->rules.top_k;
      }
  for (struct nod_map *map = service->maps; map != NULL; map = map->older)
    {
      for (size_t i = 0; i < map->topo.target_count; i++)
        apply_to_target (node, map->node_targets[i], electorates);
      apply_to_map (node, map);
    }
}

/* Applies the rules to the caller classes.  */
static void
apply_classes (struct nod_node *node)
{
  for (unsigned int i = 0; i < node->class_count; i++)
    {
      struct rul_caller rule
          = rul_caller (&node->rules, rw_str_from (node->class_names[i]));

      node->classes.by_id[i].share = rule.share;
      node->classes.by_id[i].queue_max = rule.queue_max;
    }
}

/* Passes the VM list to lib/member, and the number of live daemons in this
   daemon's data centre to lib/conf.  */
static void
apply_members (struct nod_node *node)
{
  const struct top_dc *dc;

  mem_list_begin (&node->members);
  for (size_t i = 0; i < node->vms.vm_count; i++)
    {
      const struct top_vm *vm = &node->vms.vms[i];

      mem_list_add (&node->members, vm->name, vm->addr, vm->rpc_port,
                    vm->state == TOP_VM_LEAVING, node->now);
      if (vm->id != node->self_id)
        nod_peer_get (node, vm->name);
    }
  mem_list_end (&node->members);
  dc = top_dc_by_name (&node->vms, node->settings.dc);
  cnf_set_daemon_count (&node->conf, dc != NULL ? dc->live_count : 1);
}

static int
compare_ids (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a;
  uint64_t y = *(const uint64_t *)b;

  return x < y ? -1 : x > y;
}

/* Passes the electorates of all groups to lib/lease.  The stamp, the sum of
   the versions of VM list and rules, grows with every new version of either.
 */
static void
apply_leases (struct nod_node *node, const struct electorates *electorates)
{
  struct rw_str body;
  uint64_t stamp
      = node->vms.version + cnf_get (&node->conf, RW_LIT ("rules"), &body);
  uint64_t *ids
      = rw_arena_zalloc (&node->scratch, node->vms.vm_count, sizeof *ids);

  for (size_t i = 0; i < node->vms.vm_count; i++)
    ids[i] = node->vms.vms[i].id;
  if (node->vms.vm_count > 1)
    qsort (ids, node->vms.vm_count, sizeof *ids, compare_ids);
  lea_set_groups (&node->leases, stamp, electorates->items, electorates->count,
                  ids, node->vms.vm_count, node->now);
}

/* Adds the map keys of the services in the rules to the documents to read.  */
static void
add_map_keys (struct nod_node *node)
{
  for (size_t i = 0; i < node->rules.rule_count; i++)
    if (node->rules.rules[i].kind == RUL_SERVICE)
      cnf_add_key (&node->conf,
                   rw_arena_printf (&node->scratch, "map/%.*s",
                                    RW_STR_ARG (node->rules.rules[i].name)));
}

/* Computes the state derived from the documents in force.  */
void
nod_config_apply (struct nod_node *node)
{
  size_t position = 0;
  struct nod_target *target;
  struct electorates electorates;

  node->config_changed = false;
  add_map_keys (node);
  apply_classes (node);
  apply_members (node);
  electorates_init (node, &electorates);
  while ((target = rw_map_next (&node->targets, &position)) != NULL)
    target->mapped = false;
  for (struct nod_service *s = node->services; s != NULL; s = s->next)
    {
      apply_to_service (node, s, &electorates);
      for (size_t i = 0; s->maps != NULL && i < s->maps->topo.target_count;
           i++)
        s->maps->node_targets[i]->mapped = true;
    }
  apply_leases (node, &electorates);
  rw_map_finish (&electorates.by_key);
}

/* Argument of is_watcher and is_vm_alive.  */
struct watch_arg
{
  struct nod_node *node;
  const struct top_vm *self; /* null: not in the VM list */
};

/* Returns whether the membership considers VM usable.  */
static bool
is_vm_alive (void *arg, const struct top_vm *vm)
{
  const struct watch_arg *watch = arg;

  return mem_is_usable (&watch->node->members, vm->name);
}

/* Returns whether this daemon reads KEY from the service.  A daemon that has
   no VM list, or is not in it, always does, to obtain a list.  The type is
   cnf_watcher_fn.  */
static bool
is_watcher (void *arg, struct rw_str key)
{
  struct watch_arg *watch = arg;

  if (watch->self == NULL || !nod_enabled (watch->node, NOD_MECH_SPREAD))
    return watch->self == NULL;
  return top_is_watcher (&watch->node->vms, key, watch->self, is_vm_alive,
                         watch);
}

/* Starts the reads of documents that are due, and frees unused maps.  */
void
nod_config_tick (struct nod_node *node)
{
  struct watch_arg watch
      = { node, top_vm_by_name (&node->vms, node->settings.vm) };
  struct cnf_read reads[8];
  size_t count;

  if (cnf_next_tick (&node->conf) > node->now)
    return;
  count = cnf_tick (&node->conf, is_watcher, &watch, node->now, reads,
                    RW_ARRAY_LEN (reads));
  for (size_t i = 0; i < count; i++)
    {
      struct nod_action *action = nod_add_action (node, NOD_READ_DOC);

      rw_str_copy (action->u.read_doc.key, sizeof action->u.read_doc.key,
                   rw_str_from (reads[i].key));
      action->u.read_doc.after = reads[i].after;
      action->u.read_doc.wait = reads[i].wait;
    }
  for (struct nod_service *s = node->services; s != NULL; s = s->next)
    drop_unused_maps (s);
}

void
nod_on_doc (struct nod_node *node, struct rw_str key, uint64_t version,
            struct rw_str body, rw_time now)
{
  node->now = now;
  if (version != 0)
    nod_config_offer (node, key, version, body, RW_LIT ("service"));
  cnf_on_read (&node->conf, key, true, now);
  nod_config_tick (node);
  nod_control_tick (node);
  nod_run_pending (node);
}

void
nod_on_doc_failed (struct nod_node *node, struct rw_str key, rw_time now)
{
  node->now = now;
  cnf_on_read (&node->conf, key, false, now);
  nod_run_pending (node);
}

/* Frees services, maps and targets.  To be called after all queries are freed.
 */
void
nod_config_finish (struct nod_node *node)
{
  size_t position = 0;
  struct nod_target *target;

  while (node->services != NULL)
    {
      struct nod_service *service = node->services;

      while (service->maps != NULL)
        {
          struct nod_map *map = service->maps;

          service->maps = map->older;
          map_free (map);
        }
      node->services = service->next;
      adm_gate_finish (&service->gate);
      free (service);
    }
  while (node->origins != NULL)
    {
      struct nod_origin *origin = node->origins;

      node->origins = origin->next;
      free (origin);
    }
  while ((target = rw_map_next (&node->targets, &position)) != NULL)
    free (target);
  rw_map_finish (&node->targets);
}
