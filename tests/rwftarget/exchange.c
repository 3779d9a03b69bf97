#include "target.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#define NO_DEADLINE (60 * RW_SEC) /* of a request that states none */

void
tgt_free_exchange (struct tgt_exchange *exchange)
{
  for (int i = 0; i < exchange->queries_len; i++)
    free (exchange->queries[i].text);
  free (exchange);
}

/* Answers EXCHANGE, which the model has ended, and frees it.  */
static void
answer (struct tgt_exchange *exchange)
{
  if (exchange->model.end == MDL_END_FAILED)
    srv_drop (exchange->request);
  else if (exchange->model.end == MDL_END_EXPIRED && !exchange->started)
    tgt_reply_refused (exchange->request, 0);
  else if (exchange->model.end == MDL_END_EXPIRED)
    srv_reply (exchange->request, 504,
               RW_LIT ("{\"error\":\"deadline\",\"ran\":\"unknown\"}"));
  else if (exchange->kind == TGT_SEARCH)
    tgt_search_done (exchange);
  else
    tgt_once_done (exchange);
  tgt_free_exchange (exchange);
}

/* Notes which requests of SEARCHER have begun to run.  */
static void
note_started (struct tgt_searcher *searcher)
{
  for (struct mdl_request *r = searcher->model.head; r != NULL; r = r->next)
    {
      struct tgt_exchange *exchange = r->user;

      if (!r->running || exchange->started)
        continue;
      exchange->started = true;
      if (exchange->kind == TGT_ONCE)
        tgt_once_count (searcher->tgt, exchange->key);
    }
}

/* Takes the requests that have ended out of the model of SEARCHER.  A frozen
   searcher does nothing.  */
void
tgt_run (struct tgt *tgt, struct tgt_searcher *searcher)
{
  rw_time now = rw_now ();
  struct mdl_request *done;

  if (now < searcher->frozen_until)
    return;
  for (;;)
    {
      note_started (searcher);
      done = mdl_next_done (&searcher->model, now);
      if (done == NULL)
        break;
      rw_heap_push (&tgt->answers, done->done_at + tgt->delay, done->user);
    }
}

/* Sends the answers that are due.  */
static void
send_answers (struct tgt *tgt)
{
  rw_time at;

  while (rw_heap_next_time (&tgt->answers) <= rw_now ())
    answer (rw_heap_pop (&tgt->answers, &at));
}

static rw_time
next_event (const struct tgt *tgt)
{
  rw_time next = rw_heap_next_time (&tgt->answers);

  for (int i = 0; i < tgt->searchers_len; i++)
    {
      const struct tgt_searcher *searcher = &tgt->searchers[i];
      rw_time at = mdl_next_event (&searcher->model);

      if (at != RW_TIME_NEVER && at < searcher->frozen_until)
        at = searcher->frozen_until;
      if (at < next)
        next = at;
    }
  return next;
}

/* Sets the timer for the next event.  */
void
tgt_schedule (struct tgt *tgt)
{
  rw_time at = next_event (tgt);
  struct itimerspec spec = { { 0, 0 }, { 0, 0 } };

  if (at != RW_TIME_NEVER)
    {
      if (at < 1)
        at = 1;
      spec.it_value.tv_sec = at / RW_SEC;
      spec.it_value.tv_nsec = at % RW_SEC * 1000;
    }
  timerfd_settime (tgt->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
on_timer (uv_poll_t *poll, int status, int events)
{
  struct tgt *tgt = poll->data;
  uint64_t expirations;

  (void)status;
  (void)events;
  if (read (tgt->timer_fd, &expirations, sizeof expirations) < 0)
    return;
  for (int i = 0; i < tgt->searchers_len; i++)
    tgt_run (tgt, &tgt->searchers[i]);
  send_answers (tgt);
  tgt_schedule (tgt);
}

/* Prepares the timer of TGT.  libuv's timers count milliseconds, which is too
   coarse for service times of 2 ms.  Returns 0 or a negative error.  */
int
tgt_init_timer (struct tgt *tgt)
{
  int rc;

  tgt->timer_fd = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  if (tgt->timer_fd < 0)
    return -1;
  rc = uv_poll_init (tgt->loop, &tgt->timer, tgt->timer_fd);
  tgt->timer.data = tgt;
  if (rc == 0)
    rc = uv_poll_start (&tgt->timer, UV_READABLE, on_timer);
  return rc;
}

/* Answers "not run", with Retry-After if RETRY is above 0.  */
void
tgt_reply_refused (struct srv_request *request, rw_time retry)
{
  char seconds[24];

  if (retry > 0)
    {
      snprintf (seconds, sizeof seconds, "%lld",
                (long long)((retry + RW_SEC - 1) / RW_SEC));
      srv_add_header (request, "retry-after", rw_str_from (seconds));
    }
  srv_reply (request, 503, RW_LIT ("{\"error\":\"refused\",\"ran\":\"no\"}"));
}

/* Gives EXCHANGE of PARTS parts to the model of its searcher, or refuses it.
   Takes EXCHANGE over.  */
void
tgt_accept (struct tgt_exchange *exchange, int parts)
{
  struct tgt_searcher *searcher = exchange->searcher;
  rw_time now = rw_now ();
  int64_t ms;
  enum mdl_arrival arrival;

  searcher->last_arrival = now;
  if (rw_str_to_int (srv_header (exchange->request, "x-deadline-ms"), 0,
                     NO_DEADLINE / RW_MSEC, &ms)
      < 0)
    ms = NO_DEADLINE / RW_MSEC;
  exchange->model.parts = parts;
  exchange->model.deadline = now + ms * RW_MSEC;
  exchange->model.user = exchange;
  arrival = now < searcher->sheds_until
                ? MDL_SHED
                : mdl_arrive (&searcher->model, &exchange->model, now);
  switch (arrival)
    {
    case MDL_ACCEPTED:
      tgt_run (searcher->tgt, searcher);
      tgt_schedule (searcher->tgt);
      return;
    case MDL_SHED:
      tgt_reply_refused (exchange->request, searcher->model.config.shed_retry);
      break;
    case MDL_DRAINING:
      tgt_reply_refused (exchange->request, 0);
      break;
    case MDL_DOWN:
      srv_drop (exchange->request);
      break;
    }
  tgt_free_exchange (exchange);
}

/* Removes the query ID from what SEARCHER runs; an exchange ends with its last
   query.  Returns whether it was there.  */
static bool
cancel (struct tgt_searcher *searcher, const char *id)
{
  struct mdl_request *next;
  bool found = false;

  for (struct mdl_request *r = searcher->model.head; r != NULL; r = next)
    {
      struct tgt_exchange *exchange = r->user;
      int left = 0;

      next = r->next;
      for (int i = 0; i < exchange->queries_len; i++)
        {
          struct tgt_query *query = &exchange->queries[i];

          if (rw_str_eq_cstr (rw_str_from (id), query->id))
            found = query->cancelled = true;
          left += !query->cancelled;
        }
      if (left > 0 || exchange->queries_len == 0)
        continue;
      mdl_cancel (&searcher->model, r, rw_now ());
      srv_reply (exchange->request, 410, RW_LIT ("{\"error\":\"cancelled\"}"));
      tgt_free_exchange (exchange);
    }
  return found;
}

/* POST /cancel {"id"}.  */
static void
on_cancel (struct tgt_searcher *searcher, struct srv_request *request)
{
  json_t *body = json_loadb (request->body.ptr, request->body.len, 0, NULL);
  const char *id = json_string_value (json_object_get (body, "id"));

  if (id == NULL)
    srv_reply (request, 400, RW_LIT ("{\"error\":\"expected id\"}"));
  else if (cancel (searcher, id))
    srv_reply (request, 200, RW_LIT ("{\"cancelled\":true}"));
  else
    srv_reply (request, 200, RW_LIT ("{\"cancelled\":false}"));
  json_decref (body);
  tgt_run (searcher->tgt, searcher);
  tgt_schedule (searcher->tgt);
}

static void
on_load (struct tgt_searcher *searcher, struct srv_request *request)
{
  char text[48];

  snprintf (text, sizeof text, "{\"load\":%lld}",
            searcher->lie_load != TGT_NO_LIE
                ? (long long)searcher->lie_load
                : (long long)mdl_load (&searcher->model));
  srv_reply (request, 200, rw_str_from (text));
}

/* Tells whether a searcher accepts connections: not while it is down.  */
bool
tgt_accepts (void *data)
{
  const struct tgt_searcher *searcher = data;

  return !mdl_is_down (&searcher->model, rw_now ());
}

/* Serves the port of one searcher.  */
void
tgt_on_request (void *data, struct srv_request *request)
{
  struct tgt_searcher *searcher = data;
  bool post = rw_str_eq_cstr (request->method, "POST");

  if (!tgt_accepts (searcher))
    srv_drop (request);
  else if (post && rw_str_eq_cstr (request->path, "/search"))
    tgt_search (searcher, request);
  else if (post && rw_str_eq_cstr (request->path, "/once"))
    tgt_once (searcher, request);
  else if (post && rw_str_eq_cstr (request->path, "/cancel"))
    on_cancel (searcher, request);
  else if (rw_str_eq_cstr (request->path, "/health"))
    srv_reply (request, 200, RW_LIT ("{\"health\":\"ok\"}"));
  else if (rw_str_eq_cstr (request->path, "/load"))
    on_load (searcher, request);
  else
    srv_reply (request, 404, RW_LIT ("{\"error\":\"not found\"}"));
}
