#include "ctl.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>

#define TRACE_ID_LEN 32
#define TREE_DEPTH_MAX 64

/* One span of the trace.  SPAN and the strings belong to LINE.  */
struct span
{
  json_t *line; /* the line of the file; holds a reference */
  const json_t *span;
  const char *vm;
  const char *id;
  const char *parent; /* "" for a root */
  int64_t start;      /* nanoseconds of Unix time */
  int64_t end;
  bool printed;
};

struct spans
{
  struct span *list;
  size_t len;
  size_t cap;
};

/* Returns the string value of attribute KEY in ATTRIBUTES, "" if absent.  */
static const char *
attribute_value (const json_t *attributes, const char *key)
{
  size_t i;
  json_t *attr;

  json_array_foreach (attributes, i, attr)
  {
    if (strcmp (ctl_str (attr, "key"), key) == 0)
      return ctl_str (json_object_get (attr, "value"), "stringValue");
  }
  return "";
}

/* Returns the time NAME in nanoseconds, which OTLP JSON has as a string; 0 if
   it is absent or invalid.  */
static int64_t
read_time (const json_t *span, const char *name)
{
  int64_t value = 0;

  rw_str_to_int (rw_str_from (ctl_str (span, name)), 0, INT64_MAX, &value);
  return value;
}

static void
add_span (struct spans *spans, json_t *line, const char *vm,
          const json_t *span)
{
  if (spans->len == spans->cap)
    {
      spans->cap = spans->cap != 0 ? 2 * spans->cap : 64;
      spans->list
          = rw_xrealloc (spans->list, spans->cap * sizeof *spans->list);
    }
  spans->list[spans->len++]
      = (struct span){ .line = json_incref (line),
                       .span = span,
                       .vm = vm,
                       .id = ctl_str (span, "spanId"),
                       .parent = ctl_str (span, "parentSpanId"),
                       .start = read_time (span, "startTimeUnixNano"),
                       .end = read_time (span, "endTimeUnixNano") };
}

static void
add_scope_spans (struct spans *spans, json_t *line, const char *vm,
                 const json_t *scope, const char *id)
{
  size_t i;
  json_t *span;

  json_array_foreach (json_object_get (scope, "spans"), i, span)
  {
    if (strcmp (ctl_str (span, "traceId"), id) == 0)
      add_span (spans, line, vm, span);
  }
}

/* Adds the spans of trace ID in one line of a file.  */
static void
add_line_spans (struct spans *spans, json_t *line, const char *id)
{
  size_t i;
  json_t *resource;

  json_array_foreach (json_object_get (line, "resourceSpans"), i, resource)
  {
    const json_t *attributes = json_object_get (
        json_object_get (resource, "resource"), "attributes");
    const char *vm = attribute_value (attributes, "service.instance.id");
    size_t n;
    json_t *scope;

    json_array_foreach (json_object_get (resource, "scopeSpans"), n, scope)
    {
      add_scope_spans (spans, line, vm, scope, id);
    }
  }
}

/* Adds the spans of trace ID in FILE.  Lines that are not JSON, such as the
   last one of a daemon that was killed, are skipped.  */
static void
read_spans (struct spans *spans, FILE *file, const char *id)
{
  char *text = NULL;
  size_t size = 0;
  ssize_t len;

  while ((len = getline (&text, &size, file)) >= 0)
    {
      json_t *line;

      if (strstr (text, id) == NULL)
        continue;
      line = json_loadb (text, (size_t)len, 0, NULL);
      if (line != NULL)
        add_line_spans (spans, line, id);
      json_decref (line);
    }
  free (text);
}

static int
compare_spans (const void *a, const void *b)
{
  const struct span *x = a;
  const struct span *y = b;

  if (x->start != y->start)
    return x->start < y->start ? -1 : 1;
  return strcmp (x->id, y->id);
}

static void
print_attributes (const json_t *span, FILE *out)
{
  size_t i;
  json_t *attr;

  json_array_foreach (json_object_get (span, "attributes"), i, attr)
  {
    const json_t *value = json_object_get (attr, "value");
    const char *text = ctl_str (value, "stringValue");

    fprintf (out, " %s=%s", ctl_str (attr, "key"),
             text[0] != '\0' ? text : ctl_str (value, "intValue"));
  }
}

/* Prints the start of SPAN relative to ORIGIN, its duration, both in
   milliseconds, its VM, name, attributes and error.  */
static void
print_span (const struct span *span, int depth, int64_t origin, FILE *out)
{
  const json_t *status = json_object_get (span->span, "status");

  fprintf (out, "%10.3f %10.3f  %-12s %*s%s",
           (double)(span->start - origin) / 1e6,
           (double)(span->end - span->start) / 1e6, span->vm, 2 * depth, "",
           ctl_str (span->span, "name"));
  print_attributes (span->span, out);
  if (ctl_int (status, "code", 0) == 2)
    fprintf (out, " error=\"%s\"", ctl_str (status, "message"));
  fputc ('\n', out);
}

/* Prints the span at INDEX and its descendants, down to TREE_DEPTH_MAX.  */
static void
print_tree (struct spans *spans, size_t index, int depth, FILE *out)
{
  struct span *span = &spans->list[index];

  span->printed = true;
  print_span (span, depth, spans->list[0].start, out);
  if (depth == TREE_DEPTH_MAX)
    return;
  for (size_t i = 0; i < spans->len; i++)
    if (!spans->list[i].printed && span->id[0] != '\0'
        && strcmp (spans->list[i].parent, span->id) == 0)
      print_tree (spans, i, depth + 1, out);
}

static bool
has_parent (const struct spans *spans, const struct span *span)
{
  for (size_t i = 0; i < spans->len; i++)
    if (span->parent[0] != '\0'
        && strcmp (spans->list[i].id, span->parent) == 0)
      return true;
  return false;
}

/* Prints the spans of trace ID in FILES as a tree.  A span whose parent is in
   none of the files is printed as a root.  Returns CTL_PROBLEM if there is no
   span, else CTL_OK.  */
int
ctl_print_trace (FILE *const *files, size_t file_count, const char *id,
                 FILE *out)
{
  struct spans spans = { NULL, 0, 0 };
  int status;

  for (size_t i = 0; i < file_count; i++)
    read_spans (&spans, files[i], id);
  if (spans.len > 0)
    {
      qsort (spans.list, spans.len, sizeof *spans.list, compare_spans);
      fprintf (out, "trace %s, %zu spans\n%10s %10s  %-12s %s\n", id,
               spans.len, "START MS", "MS", "VM", "SPAN");
    }
  for (size_t i = 0; i < spans.len; i++)
    if (!spans.list[i].printed && !has_parent (&spans, &spans.list[i]))
      print_tree (&spans, i, 0, out);
  for (size_t i = 0; i < spans.len; i++)
    json_decref (spans.list[i].line);
  status = spans.len > 0 ? CTL_OK : CTL_PROBLEM;
  free (spans.list);
  return status;
}

/* Stores the trace id of TEXT, a trace id or a traceparent header, in ID.
   Returns whether TEXT has a valid one.  */
static bool
parse_trace_id (const char *text, char id[TRACE_ID_LEN + 1])
{
  size_t len = strlen (text);

  if (len > 3 + TRACE_ID_LEN && text[2] == '-'
      && text[3 + TRACE_ID_LEN] == '-')
    text += 3;
  else if (len != TRACE_ID_LEN)
    return false;
  rw_str_copy (id, TRACE_ID_LEN + 1, (struct rw_str){ text, TRACE_ID_LEN });
  return strspn (id, "0123456789abcdef") == TRACE_ID_LEN;
}

/* Runs rwfctl trace ID FILE...  Returns the exit status.  */
int
ctl_trace (const struct ctl_options *options)
{
  char id[TRACE_ID_LEN + 1];
  size_t len = (size_t)options->arg_count - 1;
  FILE **files;
  int status = CTL_OK;

  if (options->arg_count < 2 || !parse_trace_id (options->args[0], id))
    {
      fprintf (stderr, "rwfctl: trace: expected a trace id of 32 hexadecimal "
                       "digits, or a traceparent, and FILE...\n");
      return CTL_EXIT_USAGE;
    }
  files = rw_xcalloc (len, sizeof (FILE *));
  for (size_t i = 0; i < len && status == CTL_OK; i++)
    {
      files[i] = fopen (options->args[i + 1], "r");
      if (files[i] == NULL)
        {
          fprintf (stderr, "rwfctl: trace: %s: %s\n", options->args[i + 1],
                   strerror (errno));
          status = CTL_PROBLEM;
        }
    }
  if (status == CTL_OK)
    {
      status = ctl_print_trace (files, len, id, stdout);
      if (status != CTL_OK)
        fprintf (stderr, "rwfctl: trace: no span of %s\n", id);
    }
  for (size_t i = 0; i < len && files[i] != NULL; i++)
    fclose (files[i]);
  free (files);
  return status;
}
