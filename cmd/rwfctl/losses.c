#include "ctl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_S 2
/* The longest values that are kept; evt_value cuts longer ones.  */
#define VALUE_MAX 128

/* One request as one daemon logged it.  */
struct entry
{
  size_t file;
  char id[VALUE_MAX];
  char route[VALUE_MAX]; /* "-": the request reached none; with "@" and the
                            organisation, if it has one */
  long long window;      /* number of the window on the clock of its log */
  const char *cause;     /* static string; null: it was not lost */
  bool is_late;
  bool is_forwarded; /* left to the daemon of another line */
  bool is_duplicate; /* that other line, which is not counted */
};

struct entries
{
  struct entry *list;
  size_t len;
  size_t cap;
  size_t forwarded; /* pairs of lines that are counted once */
  long long left_out;
};

/* Copies the value of the field NAME of LINE to VALUE, empty if there is none.
   A value in quotes may have spaces.  Returns whether there is one.  */
static bool
read_field (const char *line, const char *name, char value[VALUE_MAX])
{
  char pattern[32];
  int len = snprintf (pattern, sizeof pattern, " %s=", name);
  const char *at = strstr (line, pattern);
  value[0] = '\0';
  if (at == NULL)
    return false;
  at += len;
  size_t n = *at == '"' ? strcspn (++at, "\"\n") : strcspn (at, " \n");
  rw_str_copy (value, VALUE_MAX, (struct rw_str){ at, n });
  return true;
}

static long long
read_number (const char *line, const char *name)
{
  char value[VALUE_MAX];
  read_field (line, name, value);
  return strtoll (value, NULL, 10);
}

/* What the field error of a refused or failed request stands for.  */
struct cause
{
  const char *error; /* begin of the field */
  const char *name;
};

static const struct cause causes[] = {
  { "overload", "overload" },
  { "no target", "no target" },
  { "too few shards", "too few shards" },
  { "held back", "held back" },
  { "keys are not confirmed", "keys not confirmed" },
  { "no configuration", "no configuration" },
  { "quota", "quota" },
  { "target refused", "targets refused" },
  { "target wants no requests", "targets refused" },
  { "target failed", "target failed" },
  { "unsigned answer", "broken answer" },
  { "encoded answer", "broken answer" },
  { "broken answer", "broken answer" },
  { "answer too large", "broken answer" },
  { "target replaced", "target replaced" },
  { "connection lost", "connection lost" },
  { "cannot connect", "no connection" },
  { "no connection in time", "no connection in time" },
  { "invalid address", "no connection" },
  { "peer refused", "peer refused" },
  { "delegate", "delegate failed" },
};

static const char *
cause_of_error (const char *line)
{
  char error[VALUE_MAX];
  read_field (line, "error", error);
  for (size_t i = 0; i < RW_ARRAY_LEN (causes); i++)
    if (strncmp (error, causes[i].error, strlen (causes[i].error)) == 0)
      return causes[i].name;
  return NULL;
}

/* The cause of a request without an answer, which LINE tells.  */
static const char *
cause_of_failure (const char *line, bool refused)
{
  char value[VALUE_MAX];
  const char *cause = cause_of_error (line);
  if (read_field (line, "possible", value))
    return "too few shards";
  if (!refused && read_number (line, "status") == 504)
    {
      read_field (line, "at", value);
      if (strncmp (value, "peer-", 5) == 0)
        return "peer did not answer";
      read_field (line, "state", value);
      if (strcmp (value, "waiting") == 0)
        return "stalled";
      if (strcmp (value, "no-link") == 0)
        return "no connection in time";
      if (read_number (line, "denied") > 0)
        return "no retry budget";
    }
  if (cause != NULL)
    return cause;
  return refused ? "refused" : "failed";
}

/* The cause of parts that an answer lacks: that of the first one.  */
static const char *
cause_of_missing_part (const char *line)
{
  char state[VALUE_MAX];
  read_field (line, "state", state);
  if (strcmp (state, "waiting") == 0)
    return "left out: stalled";
  if (strcmp (state, "no-link") == 0)
    return "left out: no connection in time";
  if (strcmp (state, "ended") == 0)
    return read_number (line, "denied") > 0 ? "left out: no retry budget"
                                            : "left out: target failed";
  return "left out: no target";
}

/* The sentences of request lines, and the cause that the sentence alone
   tells.  */
static const struct cause sentences[] = {
  { "no route", "no route" },
  { "no valid key", "no key" },
  { "without id", "invalid" },
  { "gone", "caller left" },
};

/* Appends "@NAME" to the route of ENTRY, cut to fit.  */
static void
add_organisation (struct entry *entry, const char *name)
{
  size_t len = strlen (entry->route);
  snprintf (entry->route + len, sizeof entry->route - len, "@%s", name);
}

/* Stores in *ENTRY what LINE, after "request: ", tells.  Returns false if it
   is no line about the outcome of a request.  */
static bool
read_outcome (const char *line, struct entry *entry)
{
  char value[VALUE_MAX];
  struct rw_str sentence = { line, strcspn (line, ":") };
  bool is_whole = rw_str_eq_cstr (sentence, "whole")
                  || rw_str_eq_cstr (sentence, "passed");
  long long aim = read_number (line, "aim_ms");
  if (!read_field (line, "id", entry->id))
    return false;
  if (!read_field (line, "route", entry->route))
    strcpy (entry->route, "-");
  if (read_field (line, "organisation", value))
    add_organisation (entry, value);
  entry->is_late = aim > 0 && read_number (line, "ms") >= aim;
  read_field (line, "at", value);
  entry->is_forwarded = strncmp (value, "peer-", 5) == 0;
  if (read_number (line, "status") == 429)
    entry->cause = "quota";
  else if (is_whole)
    entry->cause = entry->is_late ? "late" : NULL;
  else if (rw_str_eq_cstr (sentence, "partial"))
    entry->cause = cause_of_missing_part (line);
  else if (rw_str_eq_cstr (sentence, "refused"))
    entry->cause = cause_of_failure (line, true);
  else if (rw_str_eq_cstr (sentence, "failed"))
    entry->cause = cause_of_failure (line, false);
  else
    {
      for (size_t i = 0; i < RW_ARRAY_LEN (sentences); i++)
        if (rw_str_eq_cstr (sentence, sentences[i].error))
          {
            entry->cause = sentences[i].name;
            return true;
          }
      return false;
    }
  return true;
}

static void
add_entry (struct entries *entries, const struct entry *entry)
{
  if (entries->len == entries->cap)
    {
      entries->cap = entries->cap > 0 ? entries->cap * 2 : 256;
      entries->list
          = rw_xrealloc (entries->list, entries->cap * sizeof *entries->list);
    }
  entries->list[entries->len++] = *entry;
}

static void
read_line (struct entries *entries, size_t file, const char *line)
{
  static const char request[] = "request: ";
  static const char left_out[] = "log: lines left out:";
  struct entry entry = { .file = file };
  char *rest;
  double time = strtod (line, &rest);
  if (rest == line || *rest != ' ' || time < 0 || time > 1e12)
    return;
  rest++;
  if (strncmp (rest, left_out, strlen (left_out)) == 0)
    entries->left_out += read_number (rest, "count");
  if (strncmp (rest, request, strlen (request)) != 0
      || !read_outcome (rest + strlen (request), &entry))
    return;
  entry.window = (long long)(time / WINDOW_S);
  add_entry (entries, &entry);
}

/* Orders by id, those that were forwarded first.  */
static int
compare_ids (const void *a, const void *b)
{
  const struct entry *x = a;
  const struct entry *y = b;
  int order = strcmp (x->id, y->id);
  return order != 0 ? order : y->is_forwarded - x->is_forwarded;
}

/* Finds the line of the daemon to which the request of ENTRY was forwarded,
   among the LEN lines of its id.  Returns null if it is in no log.  */
static struct entry *
find_peer_line (const struct entry *entry, struct entry *list, size_t len)
{
  for (size_t i = 0; i < len; i++)
    if (!list[i].is_forwarded && !list[i].is_duplicate
        && list[i].file != entry->file)
      return &list[i];
  return NULL;
}

/* Joins the two lines of each forwarded request: the caller got what the first
   daemon sent, and the second one knows why.  */
static void
join_forwarded (struct entries *entries)
{
  size_t len;
  qsort (entries->list, entries->len, sizeof *entries->list, compare_ids);
  for (size_t i = 0; i < entries->len; i += len)
    {
      struct entry *group = &entries->list[i];
      for (len = 1;
           i + len < entries->len && strcmp (group->id, group[len].id) == 0;)
        len++;
      for (size_t j = 0; j < len && group[j].is_forwarded; j++)
        {
          struct entry *peer = find_peer_line (&group[j], group, len);
          if (peer == NULL)
            continue;
          peer->is_duplicate = true;
          entries->forwarded++;
          if (peer->cause != NULL)
            group[j].cause = peer->cause;
        }
    }
}

/* Orders by route, window, and cause; duplicates and requests that were not
   lost come last in their window.  */
static int
compare_entries (const void *a, const void *b)
{
  const struct entry *x = a;
  const struct entry *y = b;
  int order = strcmp (x->route, y->route);
  if (order != 0)
    return order;
  if (x->window != y->window)
    return x->window < y->window ? -1 : 1;
  if (x->cause == NULL || y->cause == NULL)
    return (x->cause == NULL) - (y->cause == NULL);
  order = strcmp (x->cause, y->cause);
  return order != 0 ? order : strcmp (x->id, y->id);
}

/* Prints the losses among the LEN entries at LIST, which are of one route and
   window.  Returns their number.  */
static size_t
print_window (const struct entry *list, size_t len, FILE *out)
{
  size_t lost = 0;
  size_t n;
  for (size_t i = 0; i < len && list[i].cause != NULL; i += n)
    {
      size_t late = 0;
      for (n = 0; i + n < len && list[i + n].cause != NULL
                  && strcmp (list[i].cause, list[i + n].cause) == 0;
           n++)
        late += list[i + n].is_late;
      fprintf (out, "%-20s %10lld %6zu %6zu %6.3f  %-32s %s\n", list[i].route,
               list[i].window * WINDOW_S, n, late, (double)n / (double)len,
               list[i].cause, list[i].id);
      lost += n;
    }
  return lost;
}

/* Prints what ENTRIES, without duplicates, tell.  Returns CTL_PROBLEM if
   requests were lost, else CTL_OK.  */
static int
print_entries (struct entries *entries, FILE *out)
{
  size_t lost = 0;
  size_t n;
  if (entries->len > 0)
    qsort (entries->list, entries->len, sizeof *entries->list,
           compare_entries);
  fprintf (out, "%-20s %10s %6s %6s %6s  %-32s %s\n", "ROUTE", "FROM S",
           "COUNT", "LATE", "SHARE", "CAUSE", "EXAMPLE");
  for (size_t i = 0; i < entries->len; i += n)
    {
      const struct entry *first = &entries->list[i];
      for (n = 1; i + n < entries->len && first[n].window == first->window
                  && strcmp (first[n].route, first->route) == 0;)
        n++;
      lost += print_window (first, n, out);
    }
  fprintf (out,
           "%zu requests in the logs, %zu lost, %zu forwarded ones counted "
           "once, %lld lines left out of the logs\n"
           "Requests that were answered in time are sampled in the logs: "
           "SHARE is of the\nrequests of that route and window that the logs "
           "show, and LATE of those lost.\n",
           entries->len, lost, entries->forwarded, entries->left_out);
  return lost > 0 ? CTL_PROBLEM : CTL_OK;
}

static void
drop_duplicates (struct entries *entries)
{
  size_t kept = 0;
  for (size_t i = 0; i < entries->len; i++)
    if (!entries->list[i].is_duplicate)
      entries->list[kept++] = entries->list[i];
  entries->len = kept;
}

/* Prints the requests in FILES, logs of rwfront, that were not answered within
   the aim of their route or lacked parts, by route, window and cause.  Returns
   CTL_PROBLEM if there are any, else CTL_OK.  */
int
ctl_print_losses (FILE *const *files, size_t file_count, FILE *out)
{
  struct entries entries = { .list = NULL };
  char *text = NULL;
  size_t size = 0;
  for (size_t i = 0; i < file_count; i++)
    while (getline (&text, &size, files[i]) >= 0)
      read_line (&entries, i, text);
  free (text);
  if (entries.len > 0)
    join_forwarded (&entries);
  drop_duplicates (&entries);
  int status = print_entries (&entries, out);
  free (entries.list);
  return status;
}

/* Runs rwfctl losses FILE...  Returns the exit status.  */
int
ctl_losses (const struct ctl_options *options)
{
  size_t len = (size_t)options->arg_count;
  int status = CTL_OK;
  if (len == 0)
    {
      fprintf (stderr, "rwfctl: losses: expected FILE...\n");
      return CTL_EXIT_USAGE;
    }
  FILE **files = rw_xcalloc (len, sizeof (FILE *));
  for (size_t i = 0; i < len && status == CTL_OK; i++)
    {
      files[i] = fopen (options->args[i], "r");
      if (files[i] == NULL)
        {
          fprintf (stderr, "rwfctl: losses: %s: %s\n", options->args[i],
                   strerror (errno));
          status = CTL_PROBLEM;
        }
    }
  if (status == CTL_OK)
    status = ctl_print_losses (files, len, stdout);
  for (size_t i = 0; i < len && files[i] != NULL; i++)
    fclose (files[i]);
  free (files);
  return status;
}
