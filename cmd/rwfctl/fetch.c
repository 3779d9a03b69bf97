#include "ctl.h"

#include <stdlib.h>
#include <string.h>

#include "net.h"

#define IN_FLIGHT_MAX 64 /* requests */
#define BODY_BYTES_MAX (16 * 1024 * 1024)

/* The requests of one call of ctl_call.  */
struct batch
{
  uv_loop_t loop;
  struct net_client client;
  const struct ctl_options *options;
  const char *method;
  const char *path;
  struct ctl_reports *reports;
  size_t next; /* index of the next report to request */
  size_t in_flight;
};

/* Parses the answer REPLY into REPORT, and replaces the name by the VM in the
   answer.  Returns null, or an error text in static memory.  */
static const char *
parse_answer (const struct net_reply *reply, struct ctl_report *report)
{
  if (reply->status != 200)
    return "unexpected status";
  report->body = json_loadb (reply->body.ptr, reply->body.len, 0, NULL);
  if (report->body == NULL)
    return "answer is not JSON";
  if (ctl_str (report->body, "vm")[0] != '\0')
    rw_str_copy (report->name, sizeof report->name,
                 rw_str_from (ctl_str (report->body, "vm")));
  return NULL;
}

/* Takes the result of the request to the daemon of the report TAG.  */
static void
on_done (void *arg, uint64_t tag, const struct net_reply *reply)
{
  struct batch *batch = arg;
  struct ctl_report *report = &batch->reports->list[tag];
  const char *error
      = reply->err != NULL ? reply->err->detail : parse_answer (reply, report);

  if (error != NULL)
    rw_str_copy (report->error, sizeof report->error, rw_str_from (error));
  batch->in_flight--;
}

/* Starts the request to the daemon of the report INDEX.  */
static void
start_fetch (struct batch *batch, size_t index)
{
  const struct ctl_addr *addr = &batch->reports->list[index].addr;
  struct net_call_spec spec
      = { .max_connections = IN_FLIGHT_MAX,
          .max_body_bytes = BODY_BYTES_MAX,
          .timeout = batch->options->timeout_ms * RW_MSEC,
          .method = batch->method,
          .path = rw_str_from (batch->path),
          .headers = RW_LIT ("Connection: close\r\n"),
          .done = on_done,
          .arg = batch,
          .tag = index };

  net_addr_set (&spec.to, rw_str_from (addr->host), addr->port);
  batch->in_flight++;
  net_client_start (&batch->client, &spec);
}

/* Starts requests up to IN_FLIGHT_MAX.  */
static void
start_fetches (struct batch *batch)
{
  while (batch->in_flight < IN_FLIGHT_MAX && batch->next < batch->reports->len)
    start_fetch (batch, batch->next++);
}

/* Runs the requests of BATCH to their ends.  */
static void
run_batch (struct batch *batch)
{
  uv_loop_init (&batch->loop);
  net_client_init (&batch->client, &batch->loop);
  start_fetches (batch);
  while (batch->in_flight > 0)
    {
      /* A request that failed at once leaves nothing for the loop to wait
         for.  */
      if (!net_client_flush (&batch->client))
        uv_run (&batch->loop, UV_RUN_ONCE);
      start_fetches (batch);
    }
  net_client_finish (&batch->client);
  uv_run (&batch->loop, UV_RUN_DEFAULT);
  uv_loop_close (&batch->loop);
}

/* Requests PATH with METHOD from every daemon of OPTIONS and waits for all
   answers, errors or timeouts.  REPORTS gets one report for each daemon, in
   the order of OPTIONS; the caller frees them with ctl_reports_finish.  */
void
ctl_call (const struct ctl_options *options, const char *method,
          const char *path, struct ctl_reports *reports)
{
  struct batch batch = {
    .options = options, .method = method, .path = path, .reports = reports
  };

  reports->len = options->daemon_count;
  reports->list = rw_xcalloc (reports->len, sizeof *reports->list);
  for (size_t i = 0; i < reports->len; i++)
    {
      reports->list[i].addr = options->daemons[i];
      snprintf (reports->list[i].name, sizeof reports->list[i].name, "%s:%u",
                options->daemons[i].host, options->daemons[i].port);
    }
  run_batch (&batch);
}

/* Reads PATH from every daemon, as ctl_call does.  */
void
ctl_fetch (const struct ctl_options *options, const char *path,
           struct ctl_reports *reports)
{
  ctl_call (options, "GET", path, reports);
}

/* Frees the reports of ctl_fetch, and leaves REPORTS empty.  */
void
ctl_reports_finish (struct ctl_reports *reports)
{
  for (size_t i = 0; i < reports->len; i++)
    json_decref (reports->list[i].body);
  free (reports->list);
  *reports = (struct ctl_reports){ NULL, 0 };
}

/* Prints a line for each daemon that did not answer.  Returns their number. */
int
ctl_print_unanswered (const struct ctl_reports *reports, FILE *out)
{
  int unanswered = 0;

  for (size_t i = 0; i < reports->len; i++)
    if (reports->list[i].body == NULL)
      {
        fprintf (out, "no answer from %s: %s\n", reports->list[i].name,
                 reports->list[i].error);
        unanswered++;
      }
  return unanswered;
}

/* Returns the string member NAME of OBJECT, which owns it; "" if it is absent
   or OBJECT is null.  */
const char *
ctl_str (const json_t *object, const char *name)
{
  const char *text = json_string_value (json_object_get (object, name));

  return text != NULL ? text : "";
}

/* Returns the integer member NAME of OBJECT, or FALLBACK if it is absent or
   OBJECT is null.  */
int64_t
ctl_int (const json_t *object, const char *name, int64_t fallback)
{
  const json_t *value = json_object_get (object, name);

  return json_is_integer (value) ? json_integer_value (value) : fallback;
}

/* Prints a duration of MS milliseconds: in seconds below two minutes, in
   minutes below two hours, else in hours.  */
void
ctl_print_duration (FILE *out, int64_t ms)
{
  if (ms < 120 * 1000)
    fprintf (out, "%.1f s", (double)ms / 1000);
  else if (ms < 120 * 60 * 1000)
    fprintf (out, "%lld min", (long long)(ms / 60000));
  else
    fprintf (out, "%lld h", (long long)(ms / 3600000));
}
