#include "ctl.h"

#include <stdlib.h>
#include <string.h>

#define NAMES_SHOWN_MAX 8 /* daemons listed in one line */

/* One rule and the daemons in which it is in force.  */
struct rule
{
  const json_t *rule;  /* in the report of the newest version that has it */
  int64_t version;     /* of that report */
  bool *in_force;      /* an element for each report; owned */
  size_t daemon_count; /* in which it is in force */
  int64_t min_age_ms;  /* time in force, lowest of all daemons */
  int64_t max_age_ms;  /* and highest */
};

struct rule_set
{
  const struct ctl_reports *reports;
  struct rule *list;
  size_t len;
  int64_t newest_version; /* of all reports; 0 if none has a version */
};

static bool
same_rule (const json_t *a, const json_t *b)
{
  return strcmp (ctl_str (a, "text"), ctl_str (b, "text")) == 0
         && strcmp (ctl_str (a, "who"), ctl_str (b, "who")) == 0
         && strcmp (ctl_str (a, "why"), ctl_str (b, "why")) == 0;
}

/* Returns the element of RULES that equals RULE in text, requester and reason,
   adding one if there is none.  The next call may move the elements.  */
static struct rule *
find_or_add_rule (struct rule_set *rules, const json_t *rule)
{
  struct rule *found;

  for (size_t i = 0; i < rules->len; i++)
    if (same_rule (rules->list[i].rule, rule))
      return &rules->list[i];
  rules->list
      = rw_xrealloc (rules->list, (rules->len + 1) * sizeof *rules->list);
  found = &rules->list[rules->len++];
  *found
      = (struct rule){ .rule = rule, .version = -1, .min_age_ms = INT64_MAX };
  found->in_force = rw_xcalloc (rules->reports->len, sizeof (bool));
  return found;
}

/* Records that the daemon of report REPORT_INDEX has RULE in force.  Its age
   is that of the report's version if the rule has none of its own.  */
static void
record_rule (struct rule_set *rules, size_t report_index, const json_t *rule)
{
  const json_t *body = rules->reports->list[report_index].body;
  struct rule *found = find_or_add_rule (rules, rule);
  int64_t version = ctl_int (body, "version", 0);
  int64_t ms
      = ctl_int (rule, "since_ms_ago", ctl_int (body, "since_ms_ago", 0));

  if (version > found->version)
    {
      found->rule = rule;
      found->version = version;
    }
  if (!found->in_force[report_index])
    found->daemon_count++;
  found->in_force[report_index] = true;
  if (ms < found->min_age_ms)
    found->min_age_ms = ms;
  if (ms > found->max_age_ms)
    found->max_age_ms = ms;
}

static void
collect_rules (struct rule_set *rules, const struct ctl_reports *reports)
{
  *rules = (struct rule_set){ .reports = reports };
  for (size_t i = 0; i < reports->len; i++)
    {
      const json_t *body = reports->list[i].body;
      const json_t *list = json_object_get (body, "rules");
      size_t n;
      json_t *rule;

      if (body == NULL)
        continue;
      if (ctl_int (body, "version", 0) > rules->newest_version)
        rules->newest_version = ctl_int (body, "version", 0);
      json_array_foreach (list, n, rule) { record_rule (rules, i, rule); }
    }
}

/* Orders the rules of the newest version first, then by line.  */
static int
compare_rules (const void *a, const void *b)
{
  const struct rule *x = a;
  const struct rule *y = b;
  int64_t line_x = ctl_int (x->rule, "line", 0);
  int64_t line_y = ctl_int (y->rule, "line", 0);

  if (x->version != y->version)
    return x->version > y->version ? -1 : 1;
  return line_x < line_y ? -1 : line_x > line_y;
}

/* Prints the names of the daemons that have RULE in force, or of those that
   answered and do not.  */
static void
print_names (const struct rule_set *rules, const struct rule *rule,
             bool in_force, FILE *out)
{
  size_t shown = 0;
  size_t more = 0;

  for (size_t i = 0; i < rules->reports->len; i++)
    {
      if (rules->reports->list[i].body == NULL
          || rule->in_force[i] != in_force)
        continue;
      if (shown == NAMES_SHOWN_MAX)
        {
          more++;
          continue;
        }
      fprintf (out, "%s%s", shown > 0 ? ", " : "",
               rules->reports->list[i].name);
      shown++;
    }
  if (more > 0)
    fprintf (out, " and %zu more", more);
  fputc ('\n', out);
}

static void
print_rule (const struct rule_set *rules, const struct rule *rule,
            size_t answered, FILE *out)
{
  const char *why = ctl_str (rule->rule, "why");

  if (rule->version == rules->newest_version)
    fprintf (out, "%lld  %s\n", (long long)ctl_int (rule->rule, "line", 0),
             ctl_str (rule->rule, "text"));
  else
    fprintf (out, "-  %s  (not in version %lld)\n",
             ctl_str (rule->rule, "text"), (long long)rules->newest_version);
  fprintf (out, "    requested by %s%s%s\n", ctl_str (rule->rule, "who"),
           why[0] != '\0' ? ": " : "", why);
  fprintf (out, "    in force in %zu of %zu for ", rule->daemon_count,
           answered);
  ctl_print_duration (out, rule->min_age_ms);
  if (rule->max_age_ms - rule->min_age_ms >= 100)
    {
      fprintf (out, " to ");
      ctl_print_duration (out, rule->max_age_ms);
    }
  fprintf (out, ": ");
  print_names (rules, rule, true, out);
  if (rule->daemon_count == answered)
    return;
  fprintf (out, "    not in force in ");
  print_names (rules, rule, false, out);
}

static bool
was_asked (const struct ctl_reports *reports, const char *vm)
{
  for (size_t i = 0; i < reports->len; i++)
    if (strcmp (reports->list[i].name, vm) == 0)
      return true;
  return false;
}

/* Prints the daemons that BODY, a report of the newest version, lists as
   behind and that were not asked themselves.  Returns their number.  */
static size_t
print_behind_unasked (const struct rule_set *rules, const json_t *body,
                      FILE *out)
{
  size_t behind = 0;
  size_t n;
  json_t *peer;

  json_array_foreach (json_object_get (body, "behind"), n, peer)
  {
    const char *vm = ctl_str (peer, "vm");

    if (was_asked (rules->reports, vm))
      continue;
    fprintf (out, "behind: %s (version %lld, not asked)\n", vm,
             (long long)ctl_int (peer, "version", 0));
    behind++;
  }
  return behind;
}

/* Prints the daemons that have an older version.  Those that were not asked
   are taken from the first report of the newest version.  Returns their
   number.  */
static size_t
print_behind (const struct rule_set *rules, FILE *out)
{
  size_t behind = 0;
  bool unasked_printed = false;

  for (size_t i = 0; i < rules->reports->len; i++)
    {
      const struct ctl_report *report = &rules->reports->list[i];
      int64_t version = ctl_int (report->body, "version", 0);

      if (report->body == NULL)
        continue;
      if (version < rules->newest_version)
        {
          fprintf (out, "behind: %s (version %lld)\n", report->name,
                   (long long)version);
          behind++;
        }
      else if (!unasked_printed)
        {
          behind += print_behind_unasked (rules, report->body, out);
          unasked_printed = true;
        }
    }
  return behind;
}

/* Prints the rules of REPORTS.  Returns CTL_PROBLEM if a daemon did not answer
   or is behind, or if no daemon has rules, else CTL_OK.  */
int
ctl_print_rules (const struct ctl_reports *reports, FILE *out)
{
  struct rule_set rules;
  size_t answered = 0;
  size_t current = 0;
  size_t problems;

  collect_rules (&rules, reports);
  for (size_t i = 0; i < reports->len; i++)
    {
      const json_t *body = reports->list[i].body;

      answered += body != NULL;
      current += body != NULL
                 && ctl_int (body, "version", 0) == rules.newest_version;
    }
  fprintf (out, "version %lld, in force in %zu of %zu daemons\n",
           (long long)rules.newest_version,
           rules.newest_version > 0 ? current : 0, reports->len);
  if (rules.len > 0)
    qsort (rules.list, rules.len, sizeof *rules.list, compare_rules);
  for (size_t i = 0; i < rules.len; i++)
    {
      print_rule (&rules, &rules.list[i], answered, out);
      free (rules.list[i].in_force);
    }
  problems = print_behind (&rules, out);
  problems += (size_t)ctl_print_unanswered (reports, out);
  free (rules.list);
  return problems > 0 || rules.newest_version == 0 ? CTL_PROBLEM : CTL_OK;
}

/* Runs rwfctl rules.  Returns the exit status.  */
int
ctl_rules (const struct ctl_options *options)
{
  struct ctl_reports reports;
  int status;

  if (options->daemon_count == 0)
    {
      fprintf (stderr, "rwfctl: rules: expected --daemons\n");
      return CTL_EXIT_USAGE;
    }
  ctl_fetch (options, "/admin/rules", &reports);
  status = ctl_print_rules (&reports, stdout);
  ctl_reports_finish (&reports);
  return status;
}
