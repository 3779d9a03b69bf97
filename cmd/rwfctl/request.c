#include "ctl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

/* One log line that names the request.  */
struct line
{
  double at; /* seconds, the first word of the line */
  char *text;
  const char *file;
};

struct lines
{
  struct line *list;
  size_t len;
  size_t cap;
};

static void
add_line (struct lines *lines, const char *file, const char *text)
{
  if (lines->len == lines->cap)
    {
      lines->cap = lines->cap > 0 ? lines->cap * 2 : 16;
      lines->list
          = rw_xrealloc (lines->list, lines->cap * sizeof *lines->list);
    }
  struct line *line = &lines->list[lines->len++];
  line->at = strtod (text, NULL);
  line->text = strdup (text);
  line->file = file;
}

/* Tells whether TEXT has the field id=ID.  */
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

static int
read_file (struct lines *lines, const char *file, const char *id)
{
  char text[2048];
  FILE *f = fopen (file, "r");
  if (f == NULL)
    {
      fprintf (stderr, "rwfctl: %s: %s\n", file, strerror (errno));
      return CTL_PROBLEM;
    }
  while (fgets (text, sizeof text, f) != NULL)
    if (names_request (text, id))
      add_line (lines, file, text);
  fclose (f);
  return CTL_OK;
}

static int
compare_lines (const void *a, const void *b)
{
  const struct line *left = a;
  const struct line *right = b;
  return left->at < right->at ? -1 : left->at > right->at;
}

/* Prints the log lines of one request, from the logs of several daemons, in
   the order of their times.  */
int
ctl_request (const struct ctl_options *options)
{
  struct lines lines = { NULL, 0, 0 };
  int status = CTL_OK;
  if (options->args_len < 2)
    {
      fprintf (stderr, "rwfctl: request: expected ID FILE...\n");
      return CTL_EXIT_USAGE;
    }
  for (int i = 1; i < options->args_len; i++)
    if (read_file (&lines, options->args[i], options->args[0]) != CTL_OK)
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
