#include "ctl.h"

#include <stdlib.h>
#include <string.h>

/* What one daemon estimates of a target.  */
struct estimate
{
  const json_t *entry; /* belongs to the reports */
  const char *daemon;
};

static int
compare_estimates (const void *a, const void *b)
{
  const struct estimate *x = a;
  const struct estimate *y = b;
  int order
      = strcmp (ctl_str (x->entry, "service"), ctl_str (y->entry, "service"));
  if (order == 0)
    order
        = strcmp (ctl_str (x->entry, "target"), ctl_str (y->entry, "target"));
  return order != 0 ? order : strcmp (x->daemon, y->daemon);
}

static double
number_of (const json_t *entry, const char *name)
{
  return json_number_value (json_object_get (entry, name));
}

/* Returns the estimates in REPORTS of the targets whose name or service is
   FILTER, all if it is empty, in order.  The caller frees the array, which is
   null if there are none.  */
static struct estimate *
collect (const struct ctl_reports *reports, struct rw_str filter, size_t *len)
{
  struct estimate *list = NULL;
  size_t cap = 0;

  *len = 0;
  for (size_t i = 0; i < reports->len; i++)
    {
      size_t n;
      json_t *entry;

      json_array_foreach (json_object_get (reports->list[i].body, "targets"),
                          n, entry)
      {
        if (filter.len > 0
            && !rw_str_eq_cstr (filter, ctl_str (entry, "target"))
            && !rw_str_eq_cstr (filter, ctl_str (entry, "service")))
          continue;
        if (*len == cap)
          {
            cap = cap != 0 ? 2 * cap : 64;
            list = rw_xrealloc (list, cap * sizeof *list);
          }
        list[(*len)++] = (struct estimate){ entry, reports->list[i].name };
      }
    }
  if (*len > 0)
    qsort (list, *len, sizeof *list, compare_estimates);
  return list;
}

/* Prints the estimates in REPORTS of the targets whose name or service is
   FILTER; all if it is empty.  Returns CTL_PROBLEM if a daemon did not answer,
   else CTL_OK.  */
int
ctl_print_estimates (const struct ctl_reports *reports, struct rw_str filter,
                     FILE *out)
{
  size_t len;
  struct estimate *list = collect (reports, filter, &len);

  fprintf (out, "%-16s %-16s %-10s %6s %8s %5s %6s %6s %5s %7s  %s\n",
           "TARGET", "SERVICE", "DAEMON", "SPEED", "BEARABLE", "SLOTS",
           "FIGURE", "SURE", "USED", "AGE", "SOURCE");
  for (size_t i = 0; i < len; i++)
    {
      const json_t *entry = list[i].entry;
      int64_t age = ctl_int (entry, "age_ms", -1);

      fprintf (out, "%-16s %-16s %-10s %6.2f %8.1f %5lld %6.2f %6.2f %5.2f ",
               ctl_str (entry, "target"), ctl_str (entry, "service"),
               list[i].daemon, number_of (entry, "speed"),
               number_of (entry, "bearable"),
               (long long)ctl_int (entry, "slots", 0),
               number_of (entry, "figure"), number_of (entry, "confidence"),
               number_of (entry, "used"));
      if (age < 0)
        fprintf (out, "%7s", "-");
      else
        fprintf (out, "%6.1fs", (double)age / 1000);
      fprintf (out, "  %s\n", ctl_str (entry, "source"));
    }
  free (list);
  return ctl_print_unanswered (reports, out) > 0 ? CTL_PROBLEM : CTL_OK;
}

/* Runs rwfctl estimates [NAME].  Returns the exit status.  */
int
ctl_estimates (const struct ctl_options *options)
{
  struct ctl_reports reports;
  struct rw_str filter = RW_LIT ("");

  if (options->daemon_count == 0 || options->arg_count > 1)
    {
      fputs ("rwfctl: estimates: expected --daemons and at most one NAME\n",
             stderr);
      return CTL_EXIT_USAGE;
    }
  if (options->arg_count == 1)
    filter = rw_str_from (options->args[0]);
  ctl_fetch (options, "/targets", &reports);
  int status = ctl_print_estimates (&reports, filter, stdout);
  ctl_reports_finish (&reports);
  return status;
}
