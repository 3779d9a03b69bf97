#include "ctl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* One log line that names the request.  */
struct log_line
{
  double time; /* seconds, the first word of the line */
  char *text;  /* owned, with its newline */
  const char *file;
};

struct log_lines
{
  struct log_line *list;
  size_t len;
  size_t cap;
};

static void
add_line (struct log_lines *lines, const char *file, const char *text)
{
  if (lines->len == lines->cap)
    {
      lines->cap = lines->cap > 0 ? lines->cap * 2 : 16;
      lines->list
          = rw_xrealloc (lines->list, lines->cap * sizeof *lines->list);
    }
  struct log_line *line = &lines->list[lines->len++];
  line->time = strtod (text, NULL);
  line->text = strdup (text);
  line->file = file;
}

/* Returns whether TEXT has the field id=ID.  */
static bool
names_request (const char *text, const char *id)
{
  size_t len = strlen (id);
  for (const char *at = strstr (text, "id="); at != NULL;
       at = strstr (at + 1, "id="))
    if (strncmp (at + 3, id, len) == 0
        && (at[3 + len] == ' ' || at[3 + len] == '\n'))
      return true;
  return false;
}

/* Adds the lines of FILE that name request ID.  Returns CTL_OK, or CTL_PROBLEM
   after a message if FILE cannot be opened.  */
static int
read_log (struct log_lines *lines, const char *file, const char *id)
{
  char *text = NULL;
  size_t size = 0;
  FILE *f = fopen (file, "r");
  if (f == NULL)
    {
      fprintf (stderr, "rwfctl: %s: %s\n", file, strerror (errno));
      return CTL_PROBLEM;
    }
  while (getline (&text, &size, f) >= 0)
    if (names_request (text, id))
      add_line (lines, file, text);
  free (text);
  fclose (f);
  return CTL_OK;
}

static int
compare_lines (const void *a, const void *b)
{
  const struct log_line *left = a;
  const struct log_line *right = b;
  return left->time < right->time ? -1 : left->time > right->time;
}

/* Runs rwfctl request ID FILE...: prints the log lines of one request, from
   the logs of several daemons, ordered by time.  Returns the exit status.  */
int
ctl_request (const struct ctl_options *options)
{
  struct log_lines lines = { NULL, 0, 0 };
  int status = CTL_OK;
  if (options->arg_count < 2)
    {
      fprintf (stderr, "rwfctl: request: expected ID FILE...\n");
      return CTL_EXIT_USAGE;
    }
  for (int i = 1; i < options->arg_count; i++)
    if (read_log (&lines, options->args[i], options->args[0]) != CTL_OK)
      status = CTL_PROBLEM;
  if (lines.len > 0)
    qsort (lines.list, lines.len, sizeof *lines.list, compare_lines);
  else
    fprintf (stderr, "rwfctl: request %s: not found\n", options->args[0]);
  for (size_t i = 0; i < lines.len; i++)
    {
      printf ("%s: %s", lines.list[i].file, lines.list[i].text);
      free (lines.list[i].text);
    }
  if (lines.len == 0)
    status = CTL_PROBLEM;
  free (lines.list);
  return status;
}
