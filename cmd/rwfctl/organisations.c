#include "ctl.h"

#include <stdlib.h>
#include <string.h>

/* An organisation as all daemons together know it.  */
struct total
{
  const char *name; /* belongs to the reports */
  int64_t version;  /* of the configuration that LIMIT and BURST are from */
  double limit;     /* requests per second; 0: none */
  double burst;
  int64_t keys;
  bool differs; /* daemons have different limits */
  double use;   /* requests per second at all daemons */
  int64_t refused;
  double largest; /* use at the daemon LARGEST_AT */
  const char *largest_at;
  int64_t copy_age_ms; /* of the oldest copy */
  const char *oldest_at;
};

struct totals
{
  struct total *list;
  size_t len;
  size_t cap;
  struct rw_map by_name; /* index plus 1, by the hash of the name */
};

static double
number (const json_t *object, const char *name)
{
  return json_number_value (json_object_get (object, name));
}

/* Returns the total of the organisation NAME, which is added if it is new.  */
static struct total *
total_of (struct totals *totals, const char *name)
{
  uint64_t key = rw_hash (rw_str_from (name));
  uintptr_t found = (uintptr_t)rw_map_get (&totals->by_name, key);

  if (found != 0)
    return &totals->list[found - 1];
  if (totals->len == totals->cap)
    {
      totals->cap = totals->cap != 0 ? 2 * totals->cap : 64;
      totals->list
          = rw_xrealloc (totals->list, totals->cap * sizeof *totals->list);
    }
  struct total *added = &totals->list[totals->len++];
  *added = (struct total){ .name = name, .version = -1, .copy_age_ms = -1 };
  rw_map_put (&totals->by_name, key, (void *)(uintptr_t)totals->len);
  return added;
}

/* Adds what the daemon of REPORT says about an organisation in ENTRY.  */
static void
add_entry (struct totals *totals, const struct ctl_report *report,
           const json_t *entry)
{
  struct total *t = total_of (totals, ctl_str (entry, "name"));
  int64_t version = ctl_int (report->body, "version", 0);
  int64_t age = ctl_int (report->body, "copy_age_ms", -1);
  double here = number (entry, "here_per_s");
  double limit = number (entry, "limit_per_s");
  double burst = number (entry, "burst");

  if (t->version >= 0 && (limit != t->limit || burst != t->burst))
    t->differs = true;
  if (version > t->version)
    {
      t->version = version;
      t->limit = limit;
      t->burst = burst;
      t->keys = ctl_int (entry, "keys", 0);
    }
  t->use += here;
  t->refused += ctl_int (entry, "refused", 0);
  if (here > t->largest)
    {
      t->largest = here;
      t->largest_at = report->name;
    }
  if (age > t->copy_age_ms)
    {
      t->copy_age_ms = age;
      t->oldest_at = report->name;
    }
}

static int
compare_totals (const void *a, const void *b)
{
  const struct total *x = a;
  const struct total *y = b;

  return strcmp (x->name, y->name);
}

static void
print_total (const struct total *t, FILE *out)
{
  fprintf (out, "%s  limit ", t->name);
  if (t->limit > 0)
    fprintf (out, "%g/s  burst %g", t->limit, t->burst);
  else
    fputs ("none", out);
  if (t->differs)
    fprintf (out, " (version %lld; other daemons have another limit)",
             (long long)t->version);
  fprintf (out, "  use %.1f/s", t->use);
  if (t->limit > 0)
    fprintf (out, " (%.0f%%)", 100 * t->use / t->limit);
  fprintf (out, "  refused %lld", (long long)t->refused);
  if (t->largest > 0)
    fprintf (out, "  largest share %.0f%% at %s", 100 * t->largest / t->use,
             t->largest_at);
  fprintf (out, "  keys %lld", (long long)t->keys);
  if (t->copy_age_ms >= 0)
    {
      fputs ("  oldest copy ", out);
      ctl_print_duration (out, t->copy_age_ms);
      fprintf (out, " at %s", t->oldest_at);
    }
  putc ('\n', out);
}

/* Prints the organisations of REPORTS.  Returns CTL_PROBLEM if a daemon did
   not answer, else CTL_OK.  */
int
ctl_print_organisations (const struct ctl_reports *reports, FILE *out)
{
  struct totals totals = { 0 };
  size_t daemons = 0;
  int64_t left_out = 0;

  for (size_t i = 0; i < reports->len; i++)
    {
      const json_t *body = reports->list[i].body;
      int64_t n = ctl_int (body, "left_out", 0);
      size_t j;
      json_t *entry;

      daemons += body != NULL;
      if (n > left_out)
        left_out = n;
      json_array_foreach (json_object_get (body, "organisations"), j, entry)
      {
        add_entry (&totals, &reports->list[i], entry);
      }
    }
  if (totals.len > 0)
    qsort (totals.list, totals.len, sizeof *totals.list, compare_totals);
  for (size_t i = 0; i < totals.len; i++)
    print_total (&totals.list[i], out);
  fprintf (out, "%zu organisations, %zu daemons answered\n", totals.len,
           daemons);
  if (left_out > 0)
    fprintf (out, "a daemon left out %lld organisations\n",
             (long long)left_out);
  free (totals.list);
  rw_map_finish (&totals.by_name);
  return ctl_print_unanswered (reports, out) > 0 ? CTL_PROBLEM : CTL_OK;
}

/* Runs rwfctl organisations.  Returns the exit status.  */
int
ctl_organisations (const struct ctl_options *options)
{
  struct ctl_reports reports;

  if (options->arg_count != 0)
    {
      fputs ("rwfctl: organisations: expected no arguments\n", stderr);
      return CTL_EXIT_USAGE;
    }
  ctl_fetch (options, "/organisations", &reports);
  int status = ctl_print_organisations (&reports, stdout);
  ctl_reports_finish (&reports);
  return status;
}
