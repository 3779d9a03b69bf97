#include "ctl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "rules.h"

/* Appends the contents of FILE, or of standard input if it is "-", to TEXT.
   Stops once TEXT exceeds RUL_TEXT_MAX, which the parser then refuses.
   Returns 0 or a negative errno.  */
static int
read_file (const char *file, struct rw_buf *text)
{
  FILE *in = strcmp (file, "-") == 0 ? stdin : fopen (file, "r");
  char block[4096];
  size_t n;
  int rc;

  if (in == NULL)
    return -errno;
  while (text->len <= RUL_TEXT_MAX
         && (n = fread (block, 1, sizeof block, in)) > 0)
    rw_buf_append (text, block, n);
  rc = ferror (in) ? -EIO : 0;
  if (in != stdin)
    fclose (in);
  return rc;
}

/* Returns line NUMBER, from 1, of TEXT without surrounding space; an empty
   string if TEXT has fewer lines.  */
static struct rw_str
find_line (struct rw_str text, int number)
{
  const char *end = text.ptr + text.len;
  const char *start = text.ptr;
  const char *stop;

  while (number-- > 1)
    {
      start = memchr (start, '\n', (size_t)(end - start));
      if (start == NULL)
        return RW_LIT ("");
      start++;
    }
  stop = memchr (start, '\n', (size_t)(end - start));
  return rw_str_trim (
      (struct rw_str){ start, (size_t)((stop ? stop : end) - start) });
}

/* Prints LINE and a newline, with '?' in place of each control character.  */
static void
print_sanitised (FILE *out, struct rw_str line)
{
  for (size_t i = 0; i < line.len; i++)
    {
      unsigned char c = (unsigned char)line.ptr[i];

      putc (c >= 0x20 && c != 0x7f ? c : '?', out);
    }
  putc ('\n', out);
}

/* Prints ERROR, its line of TEXT, and the comment of that line, which states
   who requested the rule.  */
static void
print_error (const char *file, struct rw_str text,
             const struct rul_error *error, FILE *err)
{
  struct rw_str line = find_line (text, error->line);
  const char *comment = memchr (line.ptr, '#', line.len);

  fprintf (err, "%s:%d:%d: expected %s", file, error->line, error->column,
           error->expected);
  if (error->found[0] != '\0')
    fprintf (err, ", found '%s'", error->found);
  fprintf (err, "\n    ");
  print_sanitised (err, line);
  if (comment == NULL)
    return;
  fprintf (err, "    requested by ");
  print_sanitised (
      err, rw_str_trim ((struct rw_str){
               comment + 1, line.len - (size_t)(comment + 1 - line.ptr) }));
}

static void
print_rule (const struct rul_rule *rule, FILE *out)
{
  fprintf (out, "%5d  %.*s  # %.*s%s%.*s\n", rule->line,
           RW_STR_ARG (rule->text), RW_STR_ARG (rule->who),
           rule->why.len > 0 ? ": " : "", RW_STR_ARG (rule->why));
}

/* Returns whether a target in REPORTS has the value NAME for MEMBER.  */
static bool
is_reported (const struct ctl_reports *reports, const char *member,
             struct rw_str name)
{
  for (size_t i = 0; i < reports->len; i++)
    {
      size_t n;
      json_t *entry;

      json_array_foreach (json_object_get (reports->list[i].body, "targets"),
                          n, entry)
      {
        if (rw_str_eq_cstr (name, ctl_str (entry, member)))
          return true;
      }
    }
  return false;
}

/* Warns if no daemon reports the data centre, service or target of RULE: most
   often its name is misspelt.  */
static void
warn_unknown (const char *file, const struct rul_rule *rule,
              const struct ctl_reports *known, FILE *err)
{
  const char *member;

  switch (rule->kind)
    {
    case RUL_DATA_CENTRE:
      member = "dc";
      break;
    case RUL_SERVICE:
      member = "service";
      break;
    case RUL_TARGET:
      member = "target";
      break;
    default:
      return;
    }
  if (!is_reported (known, member, rule->name))
    fprintf (err, "%s:%d: warning: no daemon knows the %s %.*s\n", file,
             rule->line, rul_kind_name (rule->kind), RW_STR_ARG (rule->name));
}

/* Checks TEXT, the contents of FILE: prints its rules to OUT, or its first
   error to ERR.  KNOWN has the daemons' reports of targets; rules for names
   that they lack cause warnings, but no failure.  Without
   KNOWN, which may be null, there are no warnings.  Returns the exit status.
 */
int
ctl_check_rules (const char *file, struct rw_str text,
                 const struct ctl_reports *known, FILE *out, FILE *err)
{
  struct rul_table table;
  struct rul_error error;

  if (rul_parse (&table, text, &error) < 0)
    {
      print_error (file, text, &error, err);
      return CTL_PROBLEM;
    }
  for (size_t i = 0; i < table.rule_count; i++)
    {
      print_rule (&table.rules[i], out);
      if (known != NULL)
        warn_unknown (file, &table.rules[i], known, err);
    }
  fprintf (out, "%s: %zu rules, no errors\n", file, table.rule_count);
  rul_finish (&table);
  return CTL_OK;
}

/* Checks TEXT, and its names against the targets of the daemons that the
   options list, if any.  */
static int
check_with_daemons (const struct ctl_options *options, struct rw_str text)
{
  struct ctl_reports reports;
  int status;

  if (options->daemon_count == 0)
    return ctl_check_rules (options->args[0], text, NULL, stdout, stderr);
  ctl_fetch (options, "/admin/targets", &reports);
  status = ctl_check_rules (options->args[0], text, &reports, stdout, stderr);
  ctl_print_unanswered (&reports, stderr);
  ctl_reports_finish (&reports);
  return status;
}

/* Runs rwfctl check FILE.  Returns the exit status.  */
int
ctl_check (const struct ctl_options *options)
{
  struct rw_buf text;
  int rc;

  if (options->arg_count != 1)
    {
      fprintf (stderr, "rwfctl: check: expected one FILE\n");
      return CTL_EXIT_USAGE;
    }
  rw_buf_init (&text);
  rc = read_file (options->args[0], &text);
  if (rc < 0)
    {
      fprintf (stderr, "rwfctl: check: %s: %s\n", options->args[0],
               strerror (-rc));
      rc = CTL_PROBLEM;
    }
  else
    rc = check_with_daemons (options, rw_buf_str (&text));
  rw_buf_finish (&text);
  return rc;
}
