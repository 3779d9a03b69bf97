#include "internal.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>

/* Returns the time since AT in milliseconds, 0 if AT is in the future.  */
static json_int_t
ms_ago (const struct nod_node *node, rw_time at)
{
  return node->now > at ? (node->now - at) / RW_MSEC : 0;
}

/* Returns S as a JSON string, without a check for UTF-8.  */
static json_t *
text (struct rw_str s)
{
  return json_stringn_nocheck (s.len != 0 ? s.ptr : "", s.len);
}

/* Returns the object of a report, with the members that all reports have.  */
static json_t *
begin_report (const struct nod_node *node)
{
  json_t *root = json_object ();

  json_object_set_new (root, "vm", text (node->settings.vm));
  json_object_set_new (root, "dc", text (node->settings.dc));
  return root;
}

static json_t *
rule_json (const struct nod_node *node, const struct rul_rule *rule)
{
  json_t *item = json_object ();

  json_object_set_new (item, "line", json_integer (rule->line));
  json_object_set_new (item, "text", text (rule->text));
  json_object_set_new (item, "who", text (rule->who));
  json_object_set_new (item, "why", text (rule->why));
  json_object_set_new (item, "since_ms_ago",
                       json_integer (ms_ago (node, rule->since)));
  return item;
}

/* Returns the report "rules": the rules in force, and the daemons that stated
   an older version in their last message.  */
static json_t *
report_rules (struct nod_node *node)
{
  json_t *root = begin_report (node);
  json_t *rules = json_array ();
  json_t *behind = json_array ();
  struct rw_str body;
  uint64_t version = cnf_get (&node->conf, RW_LIT ("rules"), &body);
  size_t position = 0;
  const struct nod_peer *peer;

  json_object_set_new (root, "version", json_integer ((json_int_t)version));
  json_object_set_new (root, "since_ms_ago",
                       json_integer (ms_ago (node, node->rules_since)));
  for (size_t i = 0; i < node->rules.rule_count; i++)
    json_array_append_new (rules, rule_json (node, &node->rules.rules[i]));
  json_object_set_new (root, "rules", rules);
  while ((peer = rw_map_next (&node->peers, &position)) != NULL)
    if (peer->last_heard_at != 0 && peer->rules_version < version)
      {
        json_t *item = json_object ();

        json_object_set_new (item, "vm", json_string (peer->name));
        json_object_set_new (item, "version",
                             json_integer ((json_int_t)peer->rules_version));
        json_array_append_new (behind, item);
      }
  json_object_set_new (root, "behind", behind);
  return root;
}

/* Returns the name of the limit in REPORT.  COLD is the cold limit of the
   target: a cap above it is shown as "ramp".  */
static const char *
limit_name (const struct adm_report *report, int cold)
{
  switch (report->limit)
    {
    case ADM_LIMIT_SLOTS:
      return "slots";
    case ADM_LIMIT_RAMP:
      return report->cap > cold ? "ramp" : "cold";
    case ADM_LIMIT_IDLE:
      return "cold";
    case ADM_LIMIT_PAUSE:
      return "load";
    case ADM_LIMIT_HANDOVER:
      return "handover";
    case ADM_LIMIT_CONNECTIONS:
      return "connections";
    case ADM_LIMIT_NO_LEASE:
      return "lease";
    case ADM_LIMIT_OUT:
      return "rule";
    }
  return "slots";
}

/* Returns the time since which the rule on LINE takes a target out of service,
   or that of the rules as a whole if no rule is on LINE.  */
static rw_time
rule_since (const struct nod_node *node, int line)
{
  for (size_t i = 0; i < node->rules.rule_count; i++)
    if (node->rules.rules[i].line == line)
      return node->rules.rules[i].since;
  return node->rules_since;
}

/* Adds the admission state of TARGET, for which this daemon acts until UNTIL,
   to ITEM.  */
static void
add_admission (struct nod_node *node, struct nod_target *target, rw_time until,
               json_t *item)
{
  struct adm_report report;
  struct rul_target rules
      = rul_target (&node->rules, rw_str_from (target->name),
                    rw_str_from (target->service->name));
  const char *why;

  nod_holder_init_admission (node, target);
  adm_report (target->admission, &report, node->now, until);
  if (report.limit == ADM_LIMIT_OUT)
    report.cold_at = rule_since (node, target->rule_line);
  why = report.limit == ADM_LIMIT_SLOTS || report.limit == ADM_LIMIT_OUT
            ? ""
            : adm_cold_reason_name (report.cold_reason);
  json_object_set_new (item, "slots", json_integer (report.slots));
  json_object_set_new (item, "cap", json_integer (report.cap));
  json_object_set_new (item, "running", json_integer (report.running));
  json_object_set_new (item, "queued", json_integer (report.queued));
  json_object_set_new (item, "limit",
                       json_string (limit_name (&report, rules.cold_limit)));
  json_object_set_new (item, "why", json_string (why));
  json_object_set_new (item, "since_ms_ago",
                       json_integer (ms_ago (node, report.cold_at)));
  json_object_set_new (item, "line", json_integer (target->rule_line));
}

/* Returns the entry of TARGET in the report "targets".  */
static json_t *
target_json (struct nod_node *node, struct nod_target *target)
{
  json_t *item = json_object ();
  rw_time until;
  bool acting = nod_holder_may_act (node, target, &until);
  const struct nod_peer *holder = nod_find_holder (node, target);

  json_object_set_new (item, "target", json_string (target->name));
  json_object_set_new (item, "service", json_string (target->service->name));
  json_object_set_new (item, "dc", json_string (target->dc));
  json_object_set_new (item, "holder",
                       json_string (holder != NULL ? holder->name : ""));
  if (acting)
    json_object_set_new (item, "holder", text (node->settings.vm));
  json_object_set_new (item, "acting", json_boolean (acting));
  if (acting)
    add_admission (node, target, until, item);
  else if (target->out)
    {
      json_object_set_new (item, "limit", json_string ("rule"));
      json_object_set_new (item, "line", json_integer (target->rule_line));
    }
  return item;
}

static int
compare_targets (const void *a, const void *b)
{
  const struct nod_target *x = *(struct nod_target *const *)a;
  const struct nod_target *y = *(struct nod_target *const *)b;

  return rw_str_cmp (rw_str_from (x->name), rw_str_from (y->name));
}

/* Returns the report "targets": the targets of the newest maps, by name.  */
static json_t *
report_targets (struct nod_node *node)
{
  json_t *root = begin_report (node);
  json_t *targets = json_array ();
  struct nod_target **sorted = rw_xcalloc (node->targets.len, sizeof (void *));
  struct nod_target *target;
  size_t position = 0;
  size_t count = 0;

  while ((target = rw_map_next (&node->targets, &position)) != NULL)
    if (target->mapped)
      sorted[count++] = target;
  qsort (sorted, count, sizeof (void *), compare_targets);
  for (size_t i = 0; i < count; i++)
    json_array_append_new (targets, target_json (node, sorted[i]));
  free (sorted);
  json_object_set_new (root, "targets", targets);
  return root;
}

/* Returns the entry of another daemon in the report "members".  */
static json_t *
member_json (const struct nod_node *node, const struct mem_entry *entry)
{
  json_t *item = json_object ();
  char incarnation[17];
  const struct top_vm *vm = top_vm_by_id (&node->vms, entry->id);
  const struct nod_peer *peer = nod_peer_by_id (node, entry->id);

  snprintf (incarnation, sizeof incarnation, "%016llx",
            (unsigned long long)entry->incarnation);
  json_object_set_new (item, "vm", json_string (entry->name));
  json_object_set_new (item, "dc",
                       vm != NULL ? text (vm->dc) : json_string (""));
  json_object_set_new (item, "addr", json_string (entry->addr));
  json_object_set_new (item, "rpc", json_integer (entry->port));
  json_object_set_new (item, "state",
                       json_string (entry->incarnation == 0
                                        ? "unknown"
                                        : mem_state_name (entry->state)));
  json_object_set_new (item, "published",
                       json_string (vm != NULL && vm->state == TOP_VM_LIVE
                                        ? "live"
                                        : "leaving"));
  json_object_set_new (item, "incarnation", json_string (incarnation));
  if (peer != NULL && peer->last_heard_at != 0)
    json_object_set_new (item, "rules",
                         json_integer ((json_int_t)peer->rules_version));
  return item;
}

/* Returns the entry of this daemon in the report "members".  */
static json_t *
self_json (const struct nod_node *node)
{
  json_t *item = json_object ();
  const struct top_vm *vm = top_vm_by_id (&node->vms, node->self_id);
  char incarnation[17];
  struct rw_str body;

  snprintf (incarnation, sizeof incarnation, "%016llx",
            (unsigned long long)node->settings.incarnation);
  json_object_set_new (item, "vm", text (node->settings.vm));
  json_object_set_new (item, "dc", text (node->settings.dc));
  json_object_set_new (item, "addr", text (node->settings.addr));
  json_object_set_new (item, "rpc", json_integer (node->settings.rpc_port));
  json_object_set_new (
      item, "state",
      json_string (node->drain_state == NOD_RUNNING ? "alive" : "leaving"));
  json_object_set_new (item, "published",
                       json_string (vm != NULL && vm->state == TOP_VM_LIVE
                                        ? "live"
                                        : "leaving"));
  json_object_set_new (item, "incarnation", json_string (incarnation));
  json_object_set_new (item, "rules",
                       json_integer ((json_int_t)cnf_get (
                           &node->conf, RW_LIT ("rules"), &body)));
  return item;
}

/* Returns the report "members": this daemon first, then the daemons that are
   on the VM list or have a known incarnation.  */
static json_t *
report_members (struct nod_node *node)
{
  json_t *root = begin_report (node);
  json_t *members = json_array ();

  json_array_append_new (members, self_json (node));
  for (size_t i = 0; i < mem_count (&node->members); i++)
    {
      const struct mem_entry *entry = mem_at (&node->members, i);

      if (entry->on_vm_list || entry->incarnation != 0)
        json_array_append_new (members, member_json (node, entry));
    }
  json_object_set_new (root, "members", members);
  return root;
}

/* Returns the list of documents in force.  */
static json_t *
docs_json (const struct nod_node *node)
{
  json_t *docs = json_array ();

  for (size_t i = 0; i < cnf_key_count (&node->conf); i++)
    {
      json_t *doc;
      struct rw_str body;
      struct rw_str key = cnf_key (&node->conf, i);
      uint64_t version = cnf_get (&node->conf, key, &body);
      const struct nod_origin *origin = nod_config_origin (node, key);

      if (version == 0 || origin == NULL)
        continue;
      doc = json_object ();
      json_object_set_new (doc, "key", text (key));
      json_object_set_new (doc, "version", json_integer ((json_int_t)version));
      json_object_set_new (doc, "since_ms_ago",
                           json_integer (ms_ago (node, origin->since)));
      json_object_set_new (doc, "source", json_string (origin->source));
      json_array_append_new (docs, doc);
    }
  return docs;
}

/* Returns the report "status".  */
static json_t *
report_status (struct nod_node *node)
{
  json_t *root = begin_report (node);
  json_t *queries = json_object ();
  json_t *parts = json_object ();
  json_int_t running = 0;
  json_int_t queued = 0;
  char incarnation[17];

  snprintf (incarnation, sizeof incarnation, "%016llx",
            (unsigned long long)node->settings.incarnation);
  json_object_set_new (root, "incarnation", json_string (incarnation));
  json_object_set_new (root, "uptime_ms",
                       json_integer (ms_ago (node, node->started_at)));
  json_object_set_new (root, "ready",
                       json_boolean (nod_ready (node, node->now)));
  json_object_set_new (root, "draining",
                       json_boolean (node->drain_state != NOD_RUNNING));
  json_object_set_new (root, "docs", docs_json (node));
  for (const struct nod_service *s = node->services; s != NULL; s = s->next)
    {
      running += s->gate.running;
      queued += (json_int_t)s->gate.queue.len;
    }
  json_object_set_new (queries, "running", json_integer (running));
  json_object_set_new (queries, "queued", json_integer (queued));
  json_object_set_new (root, "queries", queries);
  json_object_set_new (parts, "held",
                       json_integer ((json_int_t)node->parts.len));
  json_object_set_new (parts, "exchanges",
                       json_integer ((json_int_t)node->exchanges.len));
  json_object_set_new (root, "parts", parts);
  return root;
}

/* Updates the gauges and appends all metrics to OUT as Prometheus text.  */
static void
write_metrics (struct nod_node *node, struct rw_buf *out)
{
  size_t position = 0;
  size_t held = 0;
  const struct nod_target *target;

  while ((target = rw_map_next (&node->targets, &position)) != NULL)
    held += target->acting ? 1 : 0;
  sta_set_value (node->metrics.ready, nod_ready (node, node->now) ? 1 : 0);
  sta_set_value (node->metrics.targets_held, (double)held);
  sta_write (&node->stats, out);
}

int
nod_report (struct nod_node *node, struct rw_str name, struct rw_buf *out,
            rw_time now)
{
  json_t *root;
  char *dump;

  node->now = now;
  if (rw_str_eq_cstr (name, "metrics"))
    {
      write_metrics (node, out);
      return 0;
    }
  if (rw_str_eq_cstr (name, "rules"))
    root = report_rules (node);
  else if (rw_str_eq_cstr (name, "targets"))
    root = report_targets (node);
  else if (rw_str_eq_cstr (name, "members"))
    root = report_members (node);
  else if (rw_str_eq_cstr (name, "status"))
    root = report_status (node);
  else
    return RW_E_NOT_FOUND;
  dump = json_dumps (root, JSON_COMPACT);
  json_decref (root);
  if (dump != NULL)
    rw_buf_append_str (out, rw_str_from (dump));
  free (dump);
  return 0;
}
