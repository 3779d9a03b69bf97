#include "ctl.h"

#include <stdlib.h>
#include <string.h>

/* Digits of a key.  */
#define KEY_LEN 16

/* A request as one daemon knows it.  */
struct finding
{
  const json_t *entry; /* belongs to the reports */
  const char *daemon;
};

static int
compare_findings (const void *a, const void *b)
{
  const struct finding *x = a;
  const struct finding *y = b;
  return strcmp (ctl_str (x->entry, "key"), ctl_str (y->entry, "key"));
}

/* Returns what all REPORTS say, ordered by key.  The caller frees the array,
   which is null if there is nothing.  */
static struct finding *
collect (const struct ctl_reports *reports, size_t *len)
{
  struct finding *list = NULL;
  size_t cap = 0;

  *len = 0;
  for (size_t i = 0; i < reports->len; i++)
    {
      size_t n;
      json_t *entry;

      json_array_foreach (json_object_get (reports->list[i].body, "requests"),
                          n, entry)
      {
        if (*len == cap)
          {
            cap = cap != 0 ? 2 * cap : 64;
            list = rw_xrealloc (list, cap * sizeof *list);
          }
        list[(*len)++] = (struct finding){ entry, reports->list[i].name };
      }
    }
  if (*len > 0)
    qsort (list, *len, sizeof *list, compare_findings);
  return list;
}

/* Prints the request that the LEN findings at LIST, at least one, are about.
   DAEMONS is the number of daemons that answered.  */
static void
print_request (const struct finding *list, size_t len, size_t daemons,
               FILE *out)
{
  size_t held = 0;
  int64_t refused = 0;
  int64_t ends = 0;
  int64_t trials = 0;
  int64_t last_end = -1;
  bool by_order = false;

  for (size_t i = 0; i < len; i++)
    {
      const json_t *entry = list[i].entry;
      int64_t last = ctl_int (entry, "last_end_ms", -1);

      held += strcmp (ctl_str (entry, "state"), "held") == 0;
      refused += ctl_int (entry, "refused", 0);
      if (ctl_int (entry, "ends", 0) > ends)
        ends = ctl_int (entry, "ends", 0);
      if (ctl_int (entry, "trials", 0) > trials)
        trials = ctl_int (entry, "trials", 0);
      if (last >= 0 && (last_end < 0 || last < last_end))
        last_end = last;
      by_order
          = by_order || json_is_true (json_object_get (entry, "by_order"));
    }
  fprintf (out, "%s  held at %zu of %zu  ends %lld  trials %lld  refused %lld",
           ctl_str (list[0].entry, "key"), held, daemons, (long long)ends,
           (long long)trials, (long long)refused);
  if (last_end >= 0)
    {
      fputs ("  last end ", out);
      ctl_print_duration (out, last_end);
      fputs (" ago", out);
    }
  fputs (by_order ? "  by order\n" : "\n", out);
}

/* Prints the requests of REPORTS.  Returns CTL_PROBLEM if a daemon did not
   answer, else CTL_OK.  */
int
ctl_print_held (const struct ctl_reports *reports, FILE *out)
{
  size_t len;
  struct finding *list = collect (reports, &len);
  size_t daemons = 0;

  for (size_t i = 0; i < reports->len; i++)
    daemons += reports->list[i].body != NULL;
  for (size_t i = 0; i < len;)
    {
      size_t n = 1;
      while (i + n < len && compare_findings (&list[i], &list[i + n]) == 0)
        n++;
      print_request (&list[i], n, daemons, out);
      i += n;
    }
  fprintf (out, "%zu daemons answered\n", daemons);
  free (list);
  return ctl_print_unanswered (reports, out) > 0 ? CTL_PROBLEM : CTL_OK;
}

/* Returns whether TEXT is a key.  */
static bool
is_key (const char *text)
{
  return strlen (text) == KEY_LEN
         && strspn (text, "0123456789abcdef") == KEY_LEN;
}

/* Runs rwfctl held [release KEY | hold KEY].  Returns the exit status.  */
int
ctl_held (const struct ctl_options *options)
{
  struct ctl_reports reports;
  char path[64] = "/held";
  const char *method = "GET";

  if (options->arg_count == 2
      && (strcmp (options->args[0], "release") == 0
          || strcmp (options->args[0], "hold") == 0)
      && is_key (options->args[1]))
    {
      method = "POST";
      snprintf (path, sizeof path, "/held/%s/%s", options->args[1],
                options->args[0]);
    }
  else if (options->arg_count != 0)
    {
      fputs ("rwfctl: held: expected no arguments, or release or hold and a "
             "key of 16 hexadecimal digits\n",
             stderr);
      return CTL_EXIT_USAGE;
    }
  ctl_call (options, method, path, &reports);
  int status = ctl_print_held (&reports, stdout);
  ctl_reports_finish (&reports);
  return status;
}
