#include "ctl.h"

#include <stdlib.h>
#include <string.h>

static bool
matches_filter (const json_t *entry, struct rw_str filter)
{
  return filter.len == 0 || rw_str_eq_cstr (filter, ctl_str (entry, "target"))
         || rw_str_eq_cstr (filter, ctl_str (entry, "service"))
         || rw_str_eq_cstr (filter, ctl_str (entry, "dc"));
}

static bool
is_acting (const json_t *entry)
{
  return json_is_true (json_object_get (entry, "acting"));
}

/* Orders by service, then target, then acting entries first, since the numbers
   of an acting daemon are printed.  */
static int
compare_entries (const void *a, const void *b)
{
  const json_t *x = *(const json_t *const *)a;
  const json_t *y = *(const json_t *const *)b;
  int order = strcmp (ctl_str (x, "service"), ctl_str (y, "service"));

  if (order == 0)
    order = strcmp (ctl_str (x, "target"), ctl_str (y, "target"));
  if (order == 0)
    order = (int)is_acting (y) - (int)is_acting (x);
  return order;
}

static bool
same_target (const json_t *a, const json_t *b)
{
  return strcmp (ctl_str (a, "service"), ctl_str (b, "service")) == 0
         && strcmp (ctl_str (a, "target"), ctl_str (b, "target")) == 0;
}

/* Returns the entries of all reports that match FILTER, in the order of
   compare_entries.  The caller frees the array, which is null if there is
   none; the entries belong to REPORTS.  */
static const json_t **
collect_entries (const struct ctl_reports *reports, struct rw_str filter,
                 size_t *len)
{
  const json_t **entries = NULL;
  size_t cap = 0;

  *len = 0;
  for (size_t i = 0; i < reports->len; i++)
    {
      size_t n;
      json_t *entry;

      json_array_foreach (json_object_get (reports->list[i].body, "targets"),
                          n, entry)
      {
        if (!matches_filter (entry, filter))
          continue;
        if (*len == cap)
          {
            cap = cap != 0 ? 2 * cap : 64;
            entries = rw_xrealloc (entries, cap * sizeof (const json_t *));
          }
        entries[(*len)++] = entry;
      }
    }
  if (*len > 0)
    qsort (entries, *len, sizeof (const json_t *), compare_entries);
  return entries;
}

static void
print_load (const json_t *entry, FILE *out)
{
  fprintf (out, " %3lld/%-3lld %7lld %6lld",
           (long long)ctl_int (entry, "cap", 0),
           (long long)ctl_int (entry, "slots", 0),
           (long long)ctl_int (entry, "running", 0),
           (long long)ctl_int (entry, "queued", 0));
}

static void
print_reason (const json_t *entry, FILE *out)
{
  int64_t line = ctl_int (entry, "line", 0);
  int64_t since = ctl_int (entry, "since_ms_ago", -1);

  fprintf (out, "  %-8s", ctl_str (entry, "limit"));
  if (ctl_str (entry, "why")[0] != '\0')
    fprintf (out, "  %s", ctl_str (entry, "why"));
  if (line > 0)
    fprintf (out, "  (rule on line %lld)", (long long)line);
  if (since >= 0)
    {
      fprintf (out, "  since ");
      ctl_print_duration (out, since);
    }
}

/* Prints one target, which ACTING_COUNT daemons say they act for.  Returns
   whether that is more than one, which must never happen.  */
static bool
print_target (const json_t *entry, int acting_count, FILE *out)
{
  const char *holder = ctl_str (entry, "holder");

  fprintf (out, "%-16s %-16s %-12s %-12s", ctl_str (entry, "target"),
           ctl_str (entry, "service"), ctl_str (entry, "dc"),
           holder[0] != '\0' ? holder : "none");
  if (acting_count > 0)
    print_load (entry, out);
  else
    fprintf (out, " %7s %7s %6s", "-", "-", "-");
  print_reason (entry, out);
  if (acting_count > 1)
    fprintf (out, "  CONFLICT: %d daemons act", acting_count);
  fputc ('\n', out);
  return acting_count > 1;
}

/* Prints the targets of REPORTS whose target, service or data centre is
   FILTER; all if it is empty.  Returns CTL_PROBLEM if a daemon did not answer
   or two daemons act for a target, else CTL_OK.  */
int
ctl_print_targets (const struct ctl_reports *reports, struct rw_str filter,
                   FILE *out)
{
  size_t len;
  const json_t **entries = collect_entries (reports, filter, &len);
  int problems = 0;
  size_t next;

  fprintf (out, "%-16s %-16s %-12s %-12s %7s %7s %6s  %s\n", "TARGET",
           "SERVICE", "DC", "HOLDER", "CAP", "RUNNING", "QUEUED", "LIMIT");
  for (size_t i = 0; i < len; i = next)
    {
      int acting_count = 0;

      for (next = i; next < len && same_target (entries[i], entries[next]);
           next++)
        acting_count += is_acting (entries[next]);
      problems += print_target (entries[i], acting_count, out);
    }
  problems += ctl_print_unanswered (reports, out);
  free (entries);
  return problems > 0 ? CTL_PROBLEM : CTL_OK;
}

/* Runs rwfctl targets [NAME].  Returns the exit status.  */
int
ctl_targets (const struct ctl_options *options)
{
  struct ctl_reports reports;
  struct rw_str filter = RW_LIT ("");
  int status;

  if (options->daemon_count == 0 || options->arg_count > 1)
    {
      fprintf (stderr, "rwfctl: targets: expected --daemons and at most one "
                       "NAME\n");
      return CTL_EXIT_USAGE;
    }
  if (options->arg_count == 1)
    filter = rw_str_from (options->args[0]);
  ctl_fetch (options, "/admin/targets", &reports);
  status = ctl_print_targets (&reports, filter, stdout);
  ctl_reports_finish (&reports);
  return status;
}
