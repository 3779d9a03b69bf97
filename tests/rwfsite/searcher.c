#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "record.h"
#include "site.h"

/* As the stand-in's configuration says.  */
#define MAX_ATTEMPTS 2
/* A request that reaches a searcher later than its drain time plus this is
   late.  */
#define LATE_SLACK (200 * RW_MSEC)
/* A searcher that named a time may still be reached for this long.  */
#define HOLD_SLACK (500 * RW_MSEC)

/* A searcher that names a limit may get, in any LIMIT_WINDOW, so many times
   what that allows and so many requests more; not before daemons have had the
   time to hear of it.  */
#define LIMIT_WINDOW (4 * RW_SEC)
#define LIMIT_TOLERANCE 1.5
#define LIMIT_SLACK 5
#define LIMIT_SETTLE_TIME (4 * RW_SEC)

struct job
{
  uv_timer_t timer;
  struct site_searcher *searcher;
  struct h1_conn *conn; /* null: the caller left */
  bool crashes;         /* it ends the searcher */
  char id[80];
};

static void
on_job_closed (uv_handle_t *handle)
{
  free (handle->data);
}

static void
count_run (struct site_searcher *searcher, const char *id, bool repeatable)
{
  struct site *site = searcher->site;
  uint64_t key
      = rw_hash_pair (rw_str_from (id), rw_str_from (searcher->service));
  struct site_run *run = rw_map_get (&site->runs, key);
  site->ran++;
  if (run == NULL && site->runs.len < SITE_MAX_RUNS)
    {
      run = rw_xcalloc (1, sizeof *run);
      rw_map_put (&site->runs, key, run);
    }
  if (run == NULL)
    return;
  run->count++;
  if (run->count > 1 && !repeatable)
    site->twice++;
  if (run->count > MAX_ATTEMPTS)
    site->over++;
}

static void
write_body (struct rw_buf *body, const struct job *job)
{
  for (uint64_t i = 0; i < SITE_RECORDS; i++)
    site_record (body, rw_str_from (job->searcher->id), rw_str_from (job->id),
                 i);
}

static void
finish (struct job *job)
{
  struct site_searcher *searcher = job->searcher;
  struct rw_buf headers;
  struct rw_buf body;
  struct h1_reply reply = { .status = 200 };
  if (job->conn == NULL)
    return;
  rw_buf_init (&headers);
  rw_buf_init (&body);
  write_body (&body, job);
  rw_buf_printf (&headers,
                 "X-Redwingfork-Request-Id: %s\r\n"
                 "X-Redwingfork-Server-Stamp: %s.%s\r\n"
                 "X-Redwingfork-Server-Load: 1,%u,2\r\n",
                 job->id, searcher->id, job->id, searcher->waiting);
  if (searcher->limit_per_s >= 0)
    rw_buf_printf (&headers, "Server-Limit: %.1f\r\n", searcher->limit_per_s);
  if (searcher->announces)
    {
      rw_buf_printf (&headers, "Server-Leaving: 1\r\n");
      if (searcher->announced == 0)
        searcher->announced = rw_now ();
    }
  if (searcher->fault == SITE_FAULT_ERROR)
    reply.status = 500;
  reply.headers = rw_buf_str (&headers);
  reply.body = rw_buf_str (&body);
  if (searcher->fault == SITE_FAULT_RESET)
    h1_conn_abort (job->conn);
  else
    h1_conn_reply (job->conn, &reply);
  rw_buf_finish (&headers);
  rw_buf_finish (&body);
}

static void
on_job (uv_timer_t *timer)
{
  struct job *job = timer->data;
  rw_time now = rw_now ();
  if (job->conn != NULL && now < job->searcher->paused_until)
    {
      uv_timer_start (
          timer, on_job,
          (uint64_t)((job->searcher->paused_until - now) / RW_MSEC) + 1, 0);
      return;
    }
  if (job->conn != NULL && job->crashes)
    site_searcher_crash (job->searcher);
  else
    finish (job);
  uv_close ((uv_handle_t *)timer, on_job_closed);
}

static void
refuse (struct h1_conn *conn, int status, const char *headers)
{
  struct h1_reply reply
      = { .status = status, .headers = rw_str_from (headers) };
  h1_conn_reply (conn, &reply);
}

static void
run (struct site_searcher *searcher, struct h1_conn *conn,
     const struct h1_message *message)
{
  struct job *job = rw_xcalloc (1, sizeof *job);
  bool repeatable = !rw_str_starts (message->target, RW_LIT ("/unsafe/"));
  rw_str_copy (job->id, sizeof job->id,
               h1_header_value (message, "X-Redwingfork-Request-Id"));
  job->searcher = searcher;
  job->conn = conn;
  uv_timer_init (&searcher->site->loop, &job->timer);
  job->timer.data = job;
  h1_conn_set_data (conn, job);
  job->crashes = site_crashes (searcher->site, searcher, message);
  site_count_caller (searcher->site, message);
  count_run (searcher, job->id, repeatable);
  rw_time leaving_since
      = searcher->announced > 0 ? searcher->announced : searcher->changed;
  if (leaving_since > 0
      && rw_now () - leaving_since > searcher->site->drain_time + LATE_SLACK)
    searcher->late++;
  if (searcher->fault != SITE_FAULT_HANG)
    uv_timer_start (&job->timer, on_job, (uint64_t)(searcher->work / RW_MSEC),
                    0);
}

/* Refuses because of load, and names a time if it is to.  */
static void
shed (struct site_searcher *searcher, struct h1_conn *conn)
{
  char headers[128];
  rw_time now = rw_now ();
  rw_time until = now + searcher->hold_ms * RW_MSEC;
  snprintf (headers, sizeof headers, "X-Redwingfork-Not-Executed: 1\r\n");
  if (searcher->hold_ms > 0)
    snprintf (headers, sizeof headers,
              "X-Redwingfork-Not-Executed: 1\r\nRetry-After: %.3f\r\n",
              searcher->hold_ms / 1000.0);
  if (searcher->hold_ms > 0 && until > searcher->held_until)
    {
      searcher->held_since = now;
      searcher->held_until = until;
    }
  refuse (conn, 503, headers);
}

/* The data of a connection whose last request was refused by repeat.  */
static char refused_mark;

/* Refuses a request, or runs it at its second arrival.  IS_MARKED: the last
   request on CONN was refused so.  */
static void
repeat (struct site_searcher *searcher, struct h1_conn *conn,
        const struct h1_message *message, bool is_marked)
{
  char headers[200];
  struct rw_str id = h1_header_value (message, "X-Redwingfork-Request-Id");
  bool is_second = rw_str_eq_cstr (id, searcher->refused_id);
  if (is_second && !is_marked)
    {
      run (searcher, conn, message);
      return;
    }
  if (is_second)
    count_run (searcher, searcher->refused_id, false);
  h1_conn_set_data (conn, &refused_mark);
  rw_str_copy (searcher->refused_id, sizeof searcher->refused_id, id);
  snprintf (headers, sizeof headers,
            "X-Redwingfork-Not-Executed: 1\r\n"
            "X-Redwingfork-Request-Id: %s\r\n",
            searcher->refused_id);
  refuse (conn, 503, headers);
}

/* Counts an arrival against the limit that the searcher names.  */
static void
check_limit (struct site_searcher *searcher, rw_time now)
{
  size_t allowed = (size_t)(searcher->limit_per_s * LIMIT_TOLERANCE
                                * (double)LIMIT_WINDOW / RW_SEC
                            + LIMIT_SLACK);
  uint64_t count = searcher->arrived_count;
  if (searcher->limit_per_s < 0 || now - searcher->limited < LIMIT_SETTLE_TIME)
    return;
  if (allowed < SITE_MAX_ARRIVALS && count >= allowed
      && now - searcher->arrived[(count - allowed) % SITE_MAX_ARRIVALS]
             < LIMIT_WINDOW)
    searcher->over_limit++;
  searcher->arrived[searcher->arrived_count++ % SITE_MAX_ARRIVALS] = now;
}

void
site_searcher_limit (struct site_searcher *searcher, double per_s)
{
  searcher->limit_per_s = per_s;
  searcher->limited = rw_now ();
  searcher->arrived_count = 0;
}

static enum site_ways
ways_from (const struct site *site, uint32_t source)
{
  for (size_t i = 0; i < site->cut_count; i++)
    if (site->cuts[i].source == source)
      return site->cuts[i].ways;
  return SITE_WAYS_OPEN;
}

void
site_set_ways (struct site *site, uint32_t source, enum site_ways ways)
{
  size_t i = 0;
  while (i < site->cut_count && site->cuts[i].source != source)
    i++;
  if (i == SITE_MAX_CUTS)
    return;
  if (i == site->cut_count)
    site->cut_count++;
  site->cuts[i] = (struct site_cut){ source, ways };
}

static bool
on_accept (void *arg, struct h1_conn *conn)
{
  const struct site_searcher *searcher = arg;
  return ways_from (searcher->site, h1_conn_peer (conn)) == SITE_WAYS_OPEN;
}

static void
on_request (void *arg, struct h1_conn *conn, const struct h1_message *message)
{
  struct site_searcher *searcher = arg;
  struct rw_str expected
      = h1_header_value (message, "X-Redwingfork-Expect-Instance");
  bool is_marked = h1_conn_data (conn) == &refused_mark;
  h1_conn_set_data (conn, NULL);
  if (ways_from (searcher->site, h1_conn_peer (conn)) == SITE_WAYS_RESET)
    {
      h1_conn_abort (conn);
      return;
    }
  rw_time now = rw_now ();
  searcher->arrivals++;
  check_limit (searcher, now);
  if (now > searcher->held_since + HOLD_SLACK && now < searcher->held_until)
    searcher->uninvited++;
  if (searcher->stopped
      || (expected.len > 0 && !rw_str_eq_cstr (expected, searcher->id)))
    refuse (conn, 421, "X-Redwingfork-Instance-Id: another\r\n");
  else if (searcher->fault == SITE_FAULT_SHED)
    shed (searcher, conn);
  else if (searcher->fault == SITE_FAULT_REPEAT)
    repeat (searcher, conn, message, is_marked);
  else
    run (searcher, conn, message);
}

static void
on_gone (void *arg, struct h1_conn *conn)
{
  struct job *job = h1_conn_data (conn);
  (void)arg;
  if (job == NULL)
    return;
  job->conn = NULL;
  if (job->searcher->fault == SITE_FAULT_HANG)
    uv_close ((uv_handle_t *)&job->timer, on_job_closed);
}

static const struct h1_server_ops searcher_ops = {
  .on_accept = on_accept,
  .on_request = on_request,
  .on_disconnect = on_gone,
};

int
site_searcher_listen (struct site_searcher *s, uint16_t port)
{
  return site_listen (s->site, &s->server, port, &searcher_ops, s);
}

struct site_searcher *
site_searcher_add (struct site *site, const char *id, const char *service,
                   const char *dc, uint16_t port, rw_time work)
{
  if (site->searcher_count == SITE_MAX_SEARCHERS)
    abort ();
  struct site_searcher *s = &site->searchers[site->searcher_count++];
  s->site = site;
  s->work = work;
  s->born = 1;
  s->version = 1;
  s->limit_per_s = -1;
  snprintf (s->id, sizeof s->id, "%s", id);
  snprintf (s->service, sizeof s->service, "%s", service);
  snprintf (s->dc, sizeof s->dc, "%s", dc);
  if (site_searcher_listen (s, port) != 0)
    {
      fprintf (stderr, "rwfsite: cannot listen for searcher %s\n", id);
      exit (1);
    }
  s->port = site_server_port (&s->server);
  return s;
}

void
site_searcher_publish (struct site_searcher *s)
{
  char key[100];
  char value[400];
  snprintf (key, sizeof key, "servers/%s", s->id);
  int len = snprintf (value, sizeof value,
                      "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
                      "\"zone\":\"%s\",\"version\":\"v%u\",\"capacity\":2,"
                      "\"state\":\"%s\",\"warmupLeftMs\":0,\"sequence\":1,"
                      "\"born\":%u}",
                      s->service, s->port, s->dc, s->version,
                      s->draining ? "draining" : "ready", s->born);
  site_put (s->site, key, s->stopped ? NULL : value, (size_t)len);
}
