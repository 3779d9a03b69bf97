#include "ctl.h"

#include <h2o.h>
#include <h2o/http1client.h>
#include <stdlib.h>
#include <string.h>

#define IN_FLIGHT_MAX 64 /* requests */
#define BODY_BYTES_MAX (16 * 1024 * 1024)

/* The requests of one call of ctl_fetch.  */
struct batch
{
  uv_loop_t loop;
  h2o_timeout_t timeout;
  h2o_http1client_ctx_t ctx;
  const char *method;
  const char *path;
  struct ctl_reports *reports;
  size_t next; /* index of the next report to request */
  size_t in_flight;
};

/* One request.  REPORT belongs to the caller of ctl_fetch.  */
struct fetch
{
  struct batch *batch;
  struct ctl_report *report;
  h2o_iovec_t request;
  char request_text[256];
  struct rw_buf body;
  int status;
};

static void start_fetches (struct batch *batch);

/* Parses the answer of FETCH into REPORT, and replaces the name by the VM in
   the answer.  Returns null, or an error text in static memory.  */
static const char *
parse_answer (const struct fetch *fetch, struct ctl_report *report)
{
  if (fetch->status != 200)
    return "unexpected status";
  report->body = json_loadb (fetch->body.ptr, fetch->body.len, 0, NULL);
  if (report->body == NULL)
    return "answer is not JSON";
  if (ctl_str (report->body, "vm")[0] != '\0')
    rw_str_copy (report->name, sizeof report->name,
                 rw_str_from (ctl_str (report->body, "vm")));
  return NULL;
}

/* Completes and frees FETCH, and starts the next.  ERROR is null if the whole
   answer arrived.  */
static void
finish_fetch (struct fetch *fetch, const char *error)
{
  struct batch *batch = fetch->batch;

  if (error == NULL)
    error = parse_answer (fetch, fetch->report);
  if (error != NULL)
    rw_str_copy (fetch->report->error, sizeof fetch->report->error,
                 rw_str_from (error));
  rw_buf_finish (&fetch->body);
  free (fetch);
  batch->in_flight--;
  start_fetches (batch);
}

/* Appends the received part of the body.  Returns non-zero to make h2o close
   the connection.  */
static int
on_body (h2o_http1client_t *client, const char *error)
{
  struct fetch *fetch = client->data;
  h2o_buffer_t *input = client->sock->input;

  if (error != NULL && error != h2o_http1client_error_is_eos)
    {
      finish_fetch (fetch, error);
      return -1;
    }
  rw_buf_append (&fetch->body, input->bytes, input->size);
  h2o_buffer_consume (&client->sock->input, input->size);
  if (fetch->body.len > BODY_BYTES_MAX)
    {
      finish_fetch (fetch, "answer too long");
      return -1;
    }
  if (error == h2o_http1client_error_is_eos)
    finish_fetch (fetch, NULL);
  return 0;
}

static h2o_http1client_body_cb
on_head (h2o_http1client_t *client, const char *error, int minor_version,
         int status, h2o_iovec_t msg, struct st_h2o_header_t *headers,
         size_t headers_len, int rlen)
{
  struct fetch *fetch = client->data;

  (void)minor_version;
  (void)msg;
  (void)headers;
  (void)headers_len;
  (void)rlen;
  fetch->status = status;
  if (error == h2o_http1client_error_is_eos)
    finish_fetch (fetch, NULL);
  else if (error != NULL)
    finish_fetch (fetch, error);
  return error == NULL ? on_body : NULL;
}

static h2o_http1client_head_cb
on_connect (h2o_http1client_t *client, const char *error,
            h2o_iovec_t **request, size_t *request_len, int *is_head)
{
  struct fetch *fetch = client->data;

  if (error != NULL)
    {
      finish_fetch (fetch, error);
      return NULL;
    }
  *request = &fetch->request;
  *request_len = 1;
  *is_head = 0;
  return on_head;
}

/* Starts the request to the daemon of REPORT.  */
static void
start_fetch (struct batch *batch, struct ctl_report *report)
{
  struct fetch *fetch = rw_xcalloc (1, sizeof *fetch);
  const struct ctl_addr *addr = &report->addr;

  fetch->batch = batch;
  fetch->report = report;
  rw_buf_init (&fetch->body);
  fetch->request.base = fetch->request_text;
  fetch->request.len = (size_t)snprintf (
      fetch->request_text, sizeof fetch->request_text,
      "%s %s HTTP/1.1\r\nHost: %s:%u\r\nContent-Length: 0\r\n"
      "Connection: close\r\n\r\n",
      batch->method, batch->path, addr->host, addr->port);
  batch->in_flight++;
  h2o_http1client_connect (NULL, fetch, &batch->ctx,
                           h2o_iovec_init (addr->host, strlen (addr->host)),
                           addr->port, 0, on_connect);
}

/* Starts requests up to IN_FLIGHT_MAX.  */
static void
start_fetches (struct batch *batch)
{
  while (batch->in_flight < IN_FLIGHT_MAX && batch->next < batch->reports->len)
    start_fetch (batch, &batch->reports->list[batch->next++]);
}

/* Requests PATH with METHOD from every daemon of OPTIONS and waits for all
   answers, errors or timeouts.  REPORTS gets one report for each daemon, in
   the order of OPTIONS; the caller frees them with ctl_reports_finish.  */
void
ctl_call (const struct ctl_options *options, const char *method,
          const char *path, struct ctl_reports *reports)
{
  struct batch batch = { .method = method, .path = path, .reports = reports };

  reports->len = options->daemon_count;
  reports->list = rw_xcalloc (reports->len, sizeof *reports->list);
  for (size_t i = 0; i < reports->len; i++)
    {
      reports->list[i].addr = options->daemons[i];
      snprintf (reports->list[i].name, sizeof reports->list[i].name, "%s:%u",
                options->daemons[i].host, options->daemons[i].port);
    }
  uv_loop_init (&batch.loop);
  h2o_timeout_init (&batch.loop, &batch.timeout,
                    (uint64_t)options->timeout_ms);
  batch.ctx.loop = &batch.loop;
  batch.ctx.io_timeout = &batch.timeout;
  start_fetches (&batch);
  while (batch.in_flight > 0)
    uv_run (&batch.loop, UV_RUN_ONCE);
  h2o_timeout_dispose (&batch.loop, &batch.timeout);
  uv_run (&batch.loop, UV_RUN_NOWAIT);
  uv_loop_close (&batch.loop);
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
