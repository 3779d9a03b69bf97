#include "ctl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "rules.h"

/* Bytes of a file.  A configuration is far smaller; the parser of rules
   refuses more than RUL_TEXT_MAX.  */
#define FILE_MAX (64 * 1024 * 1024)

/* Appends the contents of FILE, or of standard input if it is "-", to TEXT.
   Returns 0 or a negative errno; -EFBIG for more than FILE_MAX.  */
static int
read_file (const char *file, struct rw_buf *text)
{
  FILE *in = strcmp (file, "-") == 0 ? stdin : fopen (file, "r");
  char block[4096];
  size_t n;
  int rc;

  if (in == NULL)
    return -errno;
  while (text->len <= FILE_MAX && (n = fread (block, 1, sizeof block, in)) > 0)
    rw_buf_append (text, block, n);
  rc = ferror (in) ? -EIO : 0;
  if (in != stdin)
    fclose (in);
  if (rc == 0 && text->len > FILE_MAX)
    rc = -EFBIG;
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
   often its name is misspelt.  Returns whether it did.  */
static bool
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
      return false;
    }
  if (is_reported (known, member, rule->name))
    return false;
  fprintf (err, "%s:%d: warning: no daemon knows the %s %.*s\n", file,
           rule->line, rul_kind_name (rule->kind), RW_STR_ARG (rule->name));
  return true;
}

/* Checks TEXT, the contents of FILE: prints its rules to OUT, or its first
   error to ERR.  KNOWN has the daemons' reports of targets; rules for names
   that they lack cause warnings, which give an exit status only if STRICT.
   Without KNOWN, which may be null, there are no warnings.  Returns the exit
   status.  */
int
ctl_check_rules (const char *file, struct rw_str text,
                 const struct ctl_reports *known, bool strict, FILE *out,
                 FILE *err)
{
  bool warned = false;
  struct rul_table table;
  struct rul_error error;

  if (rul_parse (&table, text, &error) < 0)
    {
      print_error (file, text, &error, err);
      return CTL_REFUSED;
    }
  for (size_t i = 0; i < table.rule_count; i++)
    {
      print_rule (&table.rules[i], out);
      if (known != NULL && warn_unknown (file, &table.rules[i], known, err))
        warned = true;
    }
  fprintf (out, "%s: %zu rules, no errors\n", file, table.rule_count);
  rul_finish (&table);
  return warned && strict ? CTL_WARNINGS : CTL_OK;
}

/* Checks TEXT, rules from FILE, and prints the result to OUT as JSON in the
   form of ctl_check_config.  Names are not compared with those of daemons.
   Returns the exit status.  */
int
ctl_check_rules_json (const char *file, struct rw_str text, FILE *out)
{
  struct rul_table table;
  struct rul_error error;
  bool valid = rul_parse (&table, text, &error) == 0;
  json_t *root = json_object ();
  json_t *findings = json_array ();

  json_object_set_new (root, "file", json_string (file));
  json_object_set_new (root, "kind", json_string ("rules"));
  json_object_set_new (root, "errors", json_integer (valid ? 0 : 1));
  if (!valid)
    {
      json_t *finding = json_object ();

      json_object_set_new (finding, "severity", json_string ("error"));
      json_object_set_new (finding, "line", json_integer (error.line));
      json_object_set_new (finding, "column", json_integer (error.column));
      json_object_set_new (finding, "message",
                           json_sprintf ("expected %s", error.expected));
      json_array_append_new (findings, finding);
    }
  else
    rul_finish (&table);
  json_object_set_new (root, "findings", findings);
  json_dumpf (root, out, JSON_INDENT (1));
  putc ('\n', out);
  json_decref (root);
  return valid ? CTL_OK : CTL_REFUSED;
}

/* Returns whether TEXT is a configuration, a JSON document, rather than rules,
   of which no line begins with a bracket.  */
bool
ctl_is_config (struct rw_str text)
{
  struct rw_str mark = RW_LIT ("\xef\xbb\xbf");

  if (rw_str_starts (text, mark))
    text = (struct rw_str){ text.ptr + mark.len, text.len - mark.len };
  text = rw_str_trim (text);
  return text.len > 0 && (text.ptr[0] == '{' || text.ptr[0] == '[');
}

/* Checks TEXT, rules, and its names against the targets of the daemons that
   the options list, if any.  */
static int
check_rules (const struct ctl_options *options, struct rw_str text)
{
  struct ctl_reports reports;
  int status;

  if (options->against != NULL)
    {
      fprintf (stderr, "rwfctl: check: --against: expected a configuration, "
                       "not rules\n");
      return CTL_EXIT_USAGE;
    }
  if (options->json)
    return ctl_check_rules_json (options->args[0], text, stdout);
  if (options->daemon_count == 0)
    return ctl_check_rules (options->args[0], text, NULL, options->strict,
                            stdout, stderr);
  ctl_fetch (options, "/admin/targets", &reports);
  status = ctl_check_rules (options->args[0], text, &reports, options->strict,
                            stdout, stderr);
  if ((size_t)ctl_print_unanswered (&reports, stderr) == reports.len
      && status != CTL_REFUSED)
    status = CTL_UNREACHABLE;
  ctl_reports_finish (&reports);
  return status;
}

/* Says why FILE cannot be read.  Returns the exit status.  */
static int
report_unreadable (const char *file, int rc)
{
  fprintf (stderr, "rwfctl: check: %s: %s\n", file, strerror (-rc));
  return CTL_REFUSED;
}

/* Checks CHECK against the configuration in force at the daemons.  */
static int
check_with_daemons (const struct ctl_options *options,
                    struct ctl_config_check *check)
{
  struct ctl_reports reports;
  int status;

  ctl_fetch (options, "/config", &reports);
  ctl_print_unanswered (&reports, stderr);
  ctl_use_config_in_force (check, &reports, stderr);
  status = ctl_check_config (check, stdout, stderr);
  ctl_reports_finish (&reports);
  return status;
}

/* Checks CHECK against the configuration in the file of the options.  */
static int
check_with_file (const struct ctl_options *options,
                 struct ctl_config_check *check)
{
  struct rw_buf before;
  int status;

  rw_buf_init (&before);
  int rc = read_file (options->against, &before);
  if (rc < 0)
    status = report_unreadable (options->against, rc);
  else
    {
      /* An empty file is no configuration, and not the lack of one.  */
      check->before = before.len > 0 ? rw_buf_str (&before) : RW_LIT (" ");
      snprintf (check->before_name, sizeof check->before_name, "%s",
                options->against);
      status = ctl_check_config (check, stdout, stderr);
    }
  rw_buf_finish (&before);
  return status;
}

static int
check_config (const struct ctl_options *options, struct rw_str text)
{
  struct ctl_config_check check
      = { .file = options->args[0],
          .text = text,
          .quota_window = options->quota_window_s * RW_SEC,
          .json = options->json,
          .strict = options->strict };

  if (options->against != NULL)
    return check_with_file (options, &check);
  if (options->daemon_count > 0)
    return check_with_daemons (options, &check);
  return ctl_check_config (&check, stdout, stderr);
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
    rc = report_unreadable (options->args[0], rc);
  else if (ctl_is_config (rw_buf_str (&text)))
    rc = check_config (options, rw_buf_str (&text));
  else
    rc = check_rules (options, rw_buf_str (&text));
  rw_buf_finish (&text);
  return rc;
}
