#include "ctl.h"

#include <stdlib.h>
#include <string.h>

#include "platform.h"

/* Findings of one severity that are printed; the others are counted.  */
#define MAX_FINDINGS 100000

/* A finding with its place in the file.  */
struct placed
{
  const struct lin_finding *finding;
  struct lin_place place;
  size_t order; /* in which it was found */
};

static const char *const severity_names[LIN_SEVERITIES]
    = { "error", "warning", "change", "effect" };

/* Orders errors and warnings by their place, then changes, then effects.  */
static int
compare_placed (const void *a, const void *b)
{
  const struct placed *x = a;
  const struct placed *y = b;
  enum lin_severity first = x->finding->severity;
  enum lin_severity second = y->finding->severity;

  if ((first >= LIN_CHANGE || second >= LIN_CHANGE) && first != second)
    return first < second ? -1 : 1;
  if (x->place.line != y->place.line)
    return x->place.line < y->place.line ? -1 : 1;
  if (x->place.column != y->place.column)
    return x->place.column < y->place.column ? -1 : 1;
  return x->order < y->order ? -1 : 1;
}

/* Returns the findings in the order in which they are printed, with their
   places in TEXT.  The caller frees the array.  */
static struct placed *
place_findings (const struct lin_findings *findings, struct rw_str text)
{
  struct placed *list = rw_xcalloc (findings->len + 1, sizeof *list);
  struct lin_text index;

  lin_text_init (&index, text);
  for (size_t i = 0; i < findings->len; i++)
    {
      const struct lin_finding *f = &findings->list[i];
      size_t offset = f->offset != LIN_NO_OFFSET
                          ? f->offset
                          : lin_text_find (&index, f->path);

      list[i] = (struct placed){ f, lin_text_place (&index, offset), i };
    }
  lin_text_finish (&index);
  qsort (list, findings->len, sizeof *list, compare_placed);
  return list;
}

/* Returns whether the configuration BEFORE of CHECK could be compared.  If it
   is refused, says so to ERR.  */
static bool
compare (const struct ctl_config_check *check, const struct cat_config *after,
         struct lin_findings *findings, FILE *err)
{
  struct cat_config *before = cat_config_new ();
  struct rw_err error;
  bool valid = plt_decode_config (check->before, before, &error) == 0;

  if (valid)
    {
      plt_compare_configs (check->before, check->text, findings);
      lin_compare (before, after, &plt_fields, findings);
    }
  else
    fprintf (err, "%s: cannot be compared: %s\n", check->before_name,
             error.detail);
  cat_config_unref (before);
  return valid;
}

static void
print_text (const struct ctl_config_check *check,
            const struct lin_findings *findings, FILE *out, FILE *err)
{
  struct placed *list = place_findings (findings, check->text);
  struct rw_buf line;

  rw_buf_init (&line);
  for (size_t i = 0; i < findings->len; i++)
    {
      const struct lin_finding *f = list[i].finding;

      line.len = 0;
      rw_buf_printf (&line, "%s:%zu:%zu: %s: ", check->file,
                     list[i].place.line, list[i].place.column,
                     severity_names[f->severity]);
      lin_write (f, &line);
      rw_buf_append (&line, "\n", 1);
      fwrite (line.ptr, 1, line.len, f->severity < LIN_CHANGE ? err : out);
    }
  rw_buf_finish (&line);
  free (list);
  for (size_t i = 0; i < LIN_SEVERITIES; i++)
    if (findings->count[i] > findings->max[i])
      fprintf (i < LIN_CHANGE ? err : out, "%s: %zu more: %s\n", check->file,
               findings->count[i] - findings->max[i], severity_names[i]);
}

static void
print_summary (const struct ctl_config_check *check,
               const struct lin_findings *findings,
               const struct cat_config *config, bool compared, FILE *out)
{
  if (findings->count[LIN_ERROR] > 0)
    {
      fprintf (out, "%s: %zu errors, %zu warnings\n", check->file,
               findings->count[LIN_ERROR], findings->count[LIN_WARNING]);
      return;
    }
  if (compared)
    {
      fprintf (out, "%s: compared with %s", check->file, check->before_name);
      if (check->daemons_asked > 0)
        fprintf (out, ", which %zu of %zu daemons have",
                 check->daemons_with_before, check->daemons_asked);
      fprintf (out, ": %zu changes\n", findings->count[LIN_CHANGE]);
    }
  fprintf (out,
           "%s: version %llu, %zu routes, %zu services, %zu organisations, "
           "no errors, %zu warnings\n",
           check->file, (unsigned long long)config->version,
           config->route_count, config->service_count,
           config->organisations.count, findings->count[LIN_WARNING]);
}

static json_t *
finding_as_json (const struct placed *placed)
{
  const struct lin_finding *f = placed->finding;
  json_t *object = json_object ();

  json_object_set_new (object, "severity",
                       json_string (severity_names[f->severity]));
  json_object_set_new (object, "path",
                       json_stringn (f->path.ptr, f->path.len));
  json_object_set_new (object, "line",
                       json_integer ((json_int_t)placed->place.line));
  json_object_set_new (object, "column",
                       json_integer ((json_int_t)placed->place.column));
  json_object_set_new (object, "message",
                       json_stringn (f->message.ptr, f->message.len));
  return object;
}

static void
print_json (const struct ctl_config_check *check,
            const struct lin_findings *findings, bool compared, FILE *out)
{
  struct placed *list = place_findings (findings, check->text);
  json_t *root = json_object ();
  json_t *array = json_array ();

  json_object_set_new (root, "file", json_string (check->file));
  json_object_set_new (root, "kind", json_string ("configuration"));
  for (size_t i = 0; i < LIN_SEVERITIES; i++)
    {
      char name[16];

      snprintf (name, sizeof name, "%ss", severity_names[i]);
      json_object_set_new (root, name,
                           json_integer ((json_int_t)findings->count[i]));
    }
  if (compared)
    json_object_set_new (root, "compared_with",
                         json_string (check->before_name));
  if (check->daemons_asked > 0)
    {
      json_object_set_new (root, "daemons_asked",
                           json_integer ((json_int_t)check->daemons_asked));
      json_object_set_new (
          root, "daemons_with_version",
          json_integer ((json_int_t)check->daemons_with_before));
    }
  for (size_t i = 0; i < findings->len; i++)
    json_array_append_new (array, finding_as_json (&list[i]));
  json_object_set_new (root, "findings", array);
  json_dumpf (root, out, JSON_INDENT (1));
  putc ('\n', out);
  json_decref (root);
  free (list);
}

/* Checks the configuration of CHECK: prints errors and warnings to ERR, and
   differences and a summary to OUT; or all to OUT as JSON.  Returns the exit
   status.  */
int
ctl_check_config (const struct ctl_config_check *check, FILE *out, FILE *err)
{
  struct lin_findings findings;
  struct cat_config *config = cat_config_new ();
  bool compared = false;
  int status = CTL_OK;

  lin_init (&findings, MAX_FINDINGS, MAX_FINDINGS);
  if (plt_check_config (check->text, config, &findings) != 0)
    status = CTL_REFUSED;
  else
    {
      lin_check (config, &plt_fields, check->quota_window, &findings);
      if (check->before.len > 0)
        {
          compared = compare (check, config, &findings, err);
          status = compared ? CTL_OK : CTL_REFUSED;
        }
    }
  if (check->json)
    print_json (check, &findings, compared, out);
  else
    {
      print_text (check, &findings, out, err);
      print_summary (check, &findings, config, compared, out);
    }
  if (status == CTL_OK && check->daemons_asked > 0 && !compared)
    status = CTL_UNREACHABLE;
  if (status == CTL_OK && check->strict && findings.count[LIN_WARNING] > 0)
    status = CTL_WARNINGS;
  lin_finish (&findings);
  cat_config_unref (config);
  return status;
}

/* Sets the configuration that CHECK is compared with to the newest version of
   REPORTS, which must outlive CHECK, and prints the daemons that have another
   one to ERR.  */
void
ctl_use_config_in_force (struct ctl_config_check *check,
                         const struct ctl_reports *reports, FILE *err)
{
  const json_t *newest = NULL;
  int64_t version = -1;

  check->daemons_asked = reports->len;
  check->daemons_with_before = 0;
  for (size_t i = 0; i < reports->len; i++)
    {
      const json_t *body = reports->list[i].body;
      const json_t *text = json_object_get (body, "config");

      if (json_string_length (text) > 0
          && ctl_int (body, "version", -1) > version)
        {
          newest = text;
          version = ctl_int (body, "version", -1);
        }
    }
  for (size_t i = 0; i < reports->len; i++)
    {
      const json_t *body = reports->list[i].body;

      if (newest != NULL
          && json_equal (json_object_get (body, "config"), newest))
        check->daemons_with_before++;
      else if (body != NULL)
        fprintf (err, "%s has %s (version %lld)\n", reports->list[i].name,
                 json_string_length (json_object_get (body, "config")) > 0
                     ? "another configuration"
                     : "no readable copy of its configuration",
                 (long long)ctl_int (body, "version", -1));
    }
  if (newest == NULL)
    {
      fputs ("no daemon has a configuration to compare with\n", err);
      return;
    }
  check->before = (struct rw_str){ json_string_value (newest),
                                   json_string_length (newest) };
  snprintf (check->before_name, sizeof check->before_name, "version %lld",
            (long long)version);
}
