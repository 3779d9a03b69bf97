#include "stat.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#define OVERFLOW_LABELS RW_LIT ("overflow=\"true\"")

/* Prepares a set without series.  */
void
sta_init (struct sta_set *set)
{
  memset (set, 0, sizeof *set);
  rw_arena_init (&set->arena, 16384);
}

/* Frees all series; pointers to them become invalid.  */
void
sta_finish (struct sta_set *set)
{
  rw_arena_finish (&set->arena);
  memset (set, 0, sizeof *set);
}

static struct sta_family *
find_family (struct sta_set *set, const char *name, const char *help,
             enum sta_kind kind)
{
  struct sta_family *family;

  for (family = set->first; family != NULL; family = family->next)
    if (strcmp (family->name, name) == 0)
      {
        assert (family->kind == kind);
        return family;
      }
  family = rw_arena_zalloc (&set->arena, 1, sizeof *family);
  family->name = name;
  family->help = help;
  family->kind = kind;
  if (set->last != NULL)
    set->last->next = family;
  else
    set->first = family;
  set->last = family;
  return family;
}

static struct sta_series *
find_series (const struct sta_family *family, struct rw_str labels)
{
  struct sta_series *series;

  for (series = family->first; series != NULL; series = series->next)
    if (rw_str_eq (series->labels, labels))
      return series;
  return NULL;
}

static struct sta_series *
add_series (struct sta_set *set, struct sta_family *family,
            struct rw_str labels)
{
  struct sta_series *series = rw_arena_zalloc (&set->arena, 1, sizeof *series);

  series->kind = family->kind;
  series->labels = rw_arena_str (&set->arena, labels);
  if (family->kind == STA_HISTOGRAM)
    series->u.hist = rw_arena_zalloc (&set->arena, 1, sizeof *series->u.hist);
  if (family->last != NULL)
    family->last->next = series;
  else
    family->first = series;
  family->last = series;
  set->series_count++;
  return series;
}

/* Returns the series of NAME and LABELS, created at the first call.  Above
   STA_MAX_SERIES each family gets one more series for all other labels.  */
static struct sta_series *
get_series (struct sta_set *set, const char *name, const char *help,
            struct rw_str labels, enum sta_kind kind)
{
  struct sta_family *family = find_family (set, name, help, kind);
  struct sta_series *series = find_series (family, labels);

  if (series != NULL)
    return series;
  if (set->series_count < STA_MAX_SERIES)
    return add_series (set, family, labels);
  series = find_series (family, OVERFLOW_LABELS);
  return series != NULL ? series : add_series (set, family, OVERFLOW_LABELS);
}

/* Returns the counter NAME with LABELS, the text between the braces in the
   Prometheus format.  NAME and HELP must be static; LABELS is copied.  */
struct sta_series *
sta_counter (struct sta_set *set, const char *name, const char *help,
             struct rw_str labels)
{
  return get_series (set, name, help, labels, STA_COUNTER);
}

/* Returns the gauge NAME with LABELS; see sta_counter.  */
struct sta_series *
sta_gauge (struct sta_set *set, const char *name, const char *help,
           struct rw_str labels)
{
  return get_series (set, name, help, labels, STA_GAUGE);
}

/* Returns the histogram NAME with LABELS; see sta_counter.  NAME ends in
   "_seconds", the unit of the output.  */
struct sta_series *
sta_histogram (struct sta_set *set, const char *name, const char *help,
               struct rw_str labels)
{
  return get_series (set, name, help, labels, STA_HISTOGRAM);
}

/* Adds a latency of USEC microseconds to a histogram; a negative value counts
   as 0.  */
void
sta_observe (struct sta_series *series, rw_time usec)
{
  struct sta_hist *hist = series->u.hist;
  uint64_t value = usec > 0 ? (uint64_t)usec : 0;
  size_t index = 0;

  while (index < STA_BUCKET_COUNT - 1
         && value > (uint64_t)STA_FIRST_BUCKET_USEC << index)
    index++;
  hist->bucket[index]++;
  hist->count++;
  hist->sum += value;
}

/* Writes NAME="VALUE" to BUF, with VALUE escaped and cut to the size of the
   buffer, and returns a view of it.  BUF must have room for an empty VALUE. */
struct rw_str
sta_label (char *buf, size_t size, const char *name, struct rw_str value)
{
  int start = snprintf (buf, size, "%s=\"", name);
  size_t len = start > 0 ? (size_t)start : 0;

  assert (len + 2 < size);
  for (size_t i = 0; i < value.len && len + 4 < size; i++)
    {
      char c = value.ptr[i];

      if (c == '\\' || c == '"' || c == '\n')
        buf[len++] = '\\';
      buf[len++] = c == '\n' ? 'n' : c;
    }
  buf[len++] = '"';
  buf[len] = '\0';
  return (struct rw_str){ buf, len };
}

static const char *
kind_name (enum sta_kind kind)
{
  switch (kind)
    {
    case STA_COUNTER:
      return "counter";
    case STA_GAUGE:
      return "gauge";
    case STA_HISTOGRAM:
      return "histogram";
    }
  return "untyped";
}

/* Writes NAME, SUFFIX and, in braces, LABELS if there are any.  */
static void
write_name (const char *name, const char *suffix, struct rw_str labels,
            struct rw_buf *out)
{
  rw_buf_printf (out, "%s%s", name, suffix);
  if (labels.len > 0)
    rw_buf_printf (out, "{%.*s}", RW_STR_ARG (labels));
}

static void
write_hist (const char *name, const struct sta_series *series,
            struct rw_buf *out)
{
  const struct sta_hist *hist = series->u.hist;
  uint64_t cumulative = 0;

  for (size_t i = 0; i < STA_BUCKET_COUNT; i++)
    {
      cumulative += hist->bucket[i];
      rw_buf_printf (out, "%s_bucket{%.*s%sle=\"", name,
                     RW_STR_ARG (series->labels),
                     series->labels.len > 0 ? "," : "");
      if (i < STA_BUCKET_COUNT - 1)
        rw_buf_printf (out, "%.6f",
                       (double)((uint64_t)STA_FIRST_BUCKET_USEC << i) / 1e6);
      else
        rw_buf_printf (out, "+Inf");
      rw_buf_printf (out, "\"} %llu\n", (unsigned long long)cumulative);
    }
  write_name (name, "_sum", series->labels, out);
  rw_buf_printf (out, " %.6f\n", (double)hist->sum / 1e6);
  write_name (name, "_count", series->labels, out);
  rw_buf_printf (out, " %llu\n", (unsigned long long)hist->count);
}

static void
write_series (const char *name, const struct sta_series *series,
              struct rw_buf *out)
{
  switch (series->kind)
    {
    case STA_COUNTER:
      write_name (name, "", series->labels, out);
      rw_buf_printf (out, " %llu\n", (unsigned long long)series->u.count);
      break;
    case STA_GAUGE:
      write_name (name, "", series->labels, out);
      rw_buf_printf (out, " %.10g\n", series->u.value);
      break;
    case STA_HISTOGRAM:
      write_hist (name, series, out);
      break;
    }
}

/* Appends all series to OUT in the Prometheus text format, grouped by name.
   Names, and the series of a name, are in the order of their creation.  */
void
sta_write (const struct sta_set *set, struct rw_buf *out)
{
  for (const struct sta_family *f = set->first; f != NULL; f = f->next)
    {
      rw_buf_printf (out, "# HELP %s %s\n# TYPE %s %s\n", f->name, f->help,
                     f->name, kind_name (f->kind));
      for (const struct sta_series *s = f->first; s != NULL; s = s->next)
        write_series (f->name, s, out);
    }
}
