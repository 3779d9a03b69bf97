#include "run.h"

#include <jansson.h>
#include <string.h>

/* Counts an answer with status 200.  LATENCY is the time since the request was
   due.  */
void
run_count_answer (struct run_stream *stream, struct rw_str body,
                  rw_time latency)
{
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  const json_t *coverage = json_object_get (root, "coverage");

  stream->ok++;
  rw_hist_add (&stream->latency, latency);
  if (json_is_true (json_object_get (root, "complete")) || stream->once)
    stream->complete++;
  stream->covered
      += (uint64_t)json_integer_value (json_object_get (coverage, "covered"));
  stream->shards
      += (uint64_t)json_integer_value (json_object_get (coverage, "shards"));
  json_decref (root);
}

/* Counts an answer with a status other than 200 by its "ran" field.  Without a
   valid field the outcome is unknown.  */
void
run_count_error (struct run_stream *stream, struct rw_str body)
{
  json_t *root = json_loadb (body.ptr, body.len, 0, NULL);
  const char *ran = json_string_value (json_object_get (root, "ran"));

  if (ran != NULL && strcmp (ran, "no") == 0)
    stream->not_run++;
  else if (ran != NULL && strcmp (ran, "yes") == 0)
    stream->ran++;
  else
    stream->unknown++;
  json_decref (root);
}

/* Counts a request without answer.  SENT is whether any byte of it was passed
   to the transport; if so, it may have run.  */
void
run_count_failure (struct run_stream *stream, bool sent)
{
  if (sent)
    stream->unknown++;
  else
    stream->not_run++;
}

/* Formats the fraction of the shards that the answers cover into BUF and
   returns BUF, or returns NONE if no answer stated its coverage.  */
static const char *
format_coverage (const struct run_stream *stream, const char *none,
                 char buf[16])
{
  if (stream->shards == 0)
    return none;
  snprintf (buf, 16, "%.6f", (double)stream->covered / (double)stream->shards);
  return buf;
}

static double
ms (rw_time usec)
{
  return (double)usec / RW_MSEC;
}

/* Prints the results as a table with a line per stream.  Latencies are in
   milliseconds.  */
void
run_print_text (const struct run_results *results, FILE *out)
{
  fprintf (out,
           "profile %s, seed %lld, %.1f s, %.1f requests/s intended\n"
           "%-8s %-16s %7s %7s %8s %8s %8s %8s %8s %8s %7s %5s %7s\n",
           results->profile, (long long)results->seed,
           (double)results->duration / RW_SEC, results->rate, "CLASS",
           "SERVICE", "SENT", "OK", "COMPLETE", "COVERAGE", "P50", "P99",
           "P99.9", "MAX", "NOT RUN", "RAN", "UNKNOWN");
  for (size_t i = 0; i < results->stream_count; i++)
    {
      const struct run_stream *s = &results->streams[i];
      char coverage[16];

      fprintf (out,
               "%-8s %-16s %7llu %7llu %8llu %8s %8.2f %8.2f %8.2f %8.2f "
               "%7llu %5llu %7llu\n",
               s->class_name, s->service, (unsigned long long)s->sent,
               (unsigned long long)s->ok, (unsigned long long)s->complete,
               format_coverage (s, "-", coverage),
               ms (rw_hist_quantile (&s->latency, 0.5)),
               ms (rw_hist_quantile (&s->latency, 0.99)),
               ms (rw_hist_quantile (&s->latency, 0.999)), ms (s->latency.max),
               (unsigned long long)s->not_run, (unsigned long long)s->ran,
               (unsigned long long)s->unknown);
    }
}

/* Prints the results as CSV with a row per stream, after the column names if
   HEADER.  Latencies are in microseconds.  */
void
run_print_csv (const struct run_results *results, bool header, FILE *out)
{
  if (header)
    fprintf (out, "profile,seed,rate,seconds,class,service,sent,ok,complete,"
                  "coverage,p50_us,p99_us,p999_us,max_us,not_run,ran,"
                  "unknown\n");
  for (size_t i = 0; i < results->stream_count; i++)
    {
      const struct run_stream *s = &results->streams[i];
      char coverage[16];

      fprintf (out,
               "%s,%lld,%.1f,%.1f,%s,%s,%llu,%llu,%llu,%s,%lld,%lld,%lld,"
               "%lld,%llu,%llu,%llu\n",
               results->profile, (long long)results->seed, results->rate,
               (double)results->duration / RW_SEC, s->class_name, s->service,
               (unsigned long long)s->sent, (unsigned long long)s->ok,
               (unsigned long long)s->complete,
               format_coverage (s, "", coverage),
               (long long)rw_hist_quantile (&s->latency, 0.5),
               (long long)rw_hist_quantile (&s->latency, 0.99),
               (long long)rw_hist_quantile (&s->latency, 0.999),
               (long long)s->latency.max, (unsigned long long)s->not_run,
               (unsigned long long)s->ran, (unsigned long long)s->unknown);
    }
}
