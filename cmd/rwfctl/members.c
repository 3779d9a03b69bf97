#include "ctl.h"

#include <stdlib.h>
#include <string.h>

/* A member as one daemon sees it.  */
struct observation
{
  const json_t *entry;  /* belongs to the reports */
  const char *observer; /* name of the daemon */
};

static int
compare_observations (const void *a, const void *b)
{
  const struct observation *x = a;
  const struct observation *y = b;

  return strcmp (ctl_str (x->entry, "vm"), ctl_str (y->entry, "vm"));
}

/* Returns the members of all reports, ordered by VM.  The caller frees the
   array, which is null if there is none.  */
static struct observation *
collect_observations (const struct ctl_reports *reports, size_t *len)
{
  struct observation *list = NULL;
  size_t cap = 0;

  *len = 0;
  for (size_t i = 0; i < reports->len; i++)
    {
      size_t n;
      json_t *entry;

      json_array_foreach (json_object_get (reports->list[i].body, "members"),
                          n, entry)
      {
        if (*len == cap)
          {
            cap = cap != 0 ? 2 * cap : 64;
            list = rw_xrealloc (list, cap * sizeof *list);
          }
        list[(*len)++] = (struct observation){ entry, reports->list[i].name };
      }
    }
  if (*len > 0)
    qsort (list, *len, sizeof *list, compare_observations);
  return list;
}

/* Prints one member; LIST has the LEN observations of it, at least one.
   Returns whether the member is published as live but not alive to some
   daemon.  */
static bool
print_member (const struct observation *list, size_t len, FILE *out)
{
  const json_t *first = list[0].entry;
  bool published = strcmp (ctl_str (first, "published"), "live") == 0;
  int64_t rules = 0;
  size_t alive = 0;

  for (size_t i = 0; i < len; i++)
    {
      int64_t version = ctl_int (list[i].entry, "rules", 0);

      alive += strcmp (ctl_str (list[i].entry, "state"), "alive") == 0;
      if (version > rules)
        rules = version;
    }
  fprintf (out, "%-12s %-12s %15s:%-5lld %-9s %3zu/%-3zu %6lld",
           ctl_str (first, "vm"), ctl_str (first, "dc"),
           ctl_str (first, "addr"), (long long)ctl_int (first, "rpc", 0),
           ctl_str (first, "published"), alive, len, (long long)rules);
  for (size_t i = 0; i < len && alive < len; i++)
    if (strcmp (ctl_str (list[i].entry, "state"), "alive") != 0)
      fprintf (out, "  %s: %s", list[i].observer,
               ctl_str (list[i].entry, "state"));
  fputc ('\n', out);
  return published && alive < len;
}

/* Prints the members of REPORTS.  Returns CTL_PROBLEM if a daemon did not
   answer or does not see a live member as alive, else CTL_OK.  */
int
ctl_print_members (const struct ctl_reports *reports, FILE *out)
{
  size_t len;
  struct observation *list = collect_observations (reports, &len);
  int problems = 0;
  size_t next;

  fprintf (out, "%-12s %-12s %21s %-9s %7s %6s\n", "VM", "DC", "ADDRESS",
           "PUBLISHED", "ALIVE", "RULES");
  for (size_t i = 0; i < len; i = next)
    {
      for (next = i;
           next < len && compare_observations (&list[i], &list[next]) == 0;
           next++)
        continue;
      problems += print_member (&list[i], next - i, out);
    }
  problems += ctl_print_unanswered (reports, out);
  free (list);
  return problems > 0 ? CTL_PROBLEM : CTL_OK;
}

/* Runs rwfctl members.  Returns the exit status.  */
int
ctl_members (const struct ctl_options *options)
{
  struct ctl_reports reports;
  int status;

  if (options->daemon_count == 0)
    {
      fprintf (stderr, "rwfctl: members: expected --daemons\n");
      return CTL_EXIT_USAGE;
    }
  ctl_fetch (options, "/admin/members", &reports);
  status = ctl_print_members (&reports, stdout);
  ctl_reports_finish (&reports);
  return status;
}
