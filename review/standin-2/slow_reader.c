#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "rv2.h"
#include "slow_reader.h"

#define MAX_CLIENTS 8
/* The window of a client.  */
#define WINDOW_BYTES 65536
#define SMALL_BYTES 1000
#define GRACE_MS 6000

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"donor-page\",\"hostname\":"
      "\"site.example\",\"prefix\":\"/donor/\",\"type\":\"safe\","
      "\"timeoutMs\":8000,\"targetLatencyMs\":250,\"priority\":2,"
      "\"maxAttempts\":2,\"service\":\"donor-portal\"}],\"services\":["
      "{\"name\":\"donor-portal\",\"healthPath\":\"/health\","
      "\"maxConnections\":84}],\"limits\":{\"maxHeaderBytes\":16384,"
      "\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
      "\"idleTimeoutMs\":15000}}";

static struct slow_reader_plan plan;
static long long stopped_at;
/* Whether a searcher has handed over its whole answer to a client's request.
 */
static bool handed_over[MAX_CLIENTS];

static void
handle (struct rv2_searcher *searcher, struct rv2_conn *conn,
        const struct rv2_request *request)
{
  bool is_large = strncmp (request->id, "large", 5) == 0;
  rv2_sleep (20);
  bool ok = rv2_answer (searcher, conn, request,
                        is_large ? plan.answer_bytes : SMALL_BYTES);
  rv2_log ("searcher: ran id=%s at=%s answered=%s", request->id, searcher->id,
           ok ? "whole" : "not");
  if (is_large && ok)
    handed_over[strtol (request->id + strlen ("large-"), NULL, 10)] = true;
}

static struct rv2_searcher searchers[] = {
  { .id = "i-1",
    .service = "donor-portal",
    .handler = handle,
    .slots = 3,
    .queue_max = 12 },
  { .id = "i-2",
    .service = "donor-portal",
    .handler = handle,
    .slots = 3,
    .queue_max = 12 },
};

struct client
{
  int index;
  bool done;
  struct rv2_exchange exchange;
};

static struct client clients[MAX_CLIENTS];

/* Reads the answer on the kept connection of a client.  */
static void *
read_slowly (void *arg)
{
  struct client *client = arg;
  struct rv2_exchange *e = &client->exchange;
  rv2_read_answer (e, plan.bytes_per_s, e->sent_at + plan.deadline_ms);
  rv2_log ("client: id=large-%d status=%d complete=%d bytes=%zu/%zu ms=%lld",
           client->index, e->status, e->complete, e->body_read, e->body_len,
           e->ended_at - e->sent_at);
  client->done = true;
  return NULL;
}

static void
stop (const struct rv2_daemon *daemon)
{
  if (!rv2_trouble ())
    return;
  stopped_at = rv2_now ();
  rv2_log ("daemon: SIGTERM");
  kill (daemon->pid, SIGTERM);
}

void
slow_reader_run (int argc, char **argv, const struct slow_reader_plan *p)
{
  struct rv2_daemon daemon;
  char id[80];
  int cut = 0;
  int served = 0;
  plan = *p;
  rv2_init (argc, argv);
  rv2_store_start ();
  rv2_store_put ("op/config", config);
  for (size_t i = 0; i < sizeof searchers / sizeof searchers[0]; i++)
    {
      rv2_searcher_start (&searchers[i]);
      rv2_searcher_publish (&searchers[i], "ready", 0);
    }
  rv2_daemon_start (&daemon, "front-1");
  rv2_daemon_await (&daemon);
  /* Each client uses its connection once before the stop: it is kept.  */
  for (int i = 0; i < plan.clients; i++)
    {
      struct rv2_exchange first
          = { .fd = rv2_connect (daemon.callers, WINDOW_BYTES) };
      snprintf (id, sizeof id, "small-%d", i);
      if (first.fd < 0 || !rv2_send (first.fd, "GET", "/donor/1", id, 2500))
        rv2_cannot ("no connection");
      rv2_read_answer (&first, 0, rv2_now () + 2500);
      if (!first.complete || first.status != 200)
        rv2_cannot ("a request before the stop failed");
      clients[i].index = i;
      clients[i].exchange.fd = first.fd;
    }
  if (plan.send_after_ms >= 0)
    stop (&daemon);
  rv2_sleep (plan.send_after_ms);
  for (int i = 0; i < plan.clients; i++)
    {
      struct rv2_exchange *e = &clients[i].exchange;
      snprintf (id, sizeof id, "large-%d", i);
      e->sent_at = rv2_now ();
      if (!rv2_send (e->fd, "GET", "/donor/2", id, plan.deadline_ms))
        rv2_cannot ("a kept connection was closed");
      rv2_log ("client: sent id=%s", id);
      rv2_thread (read_slowly, &clients[i]);
    }
  rv2_sleep (-plan.send_after_ms);
  if (plan.send_after_ms < 0)
    stop (&daemon);
  rv2_sleep (plan.deadline_ms + 500);
  /* Passed on to a searcher, which did its part, and ended without a complete
     answer: before the time budget, and up to 1 s after graceS.  */
  for (int i = 0; i < plan.clients; i++)
    {
      const struct rv2_exchange *e = &clients[i].exchange;
      served += e->complete && e->status == 200;
      cut += clients[i].done && !e->complete && handed_over[i]
             && stopped_at > 0 && e->ended_at < e->sent_at + plan.deadline_ms
             && e->ended_at < stopped_at + GRACE_MS + 1000;
    }
  rv2_log ("result: served=%d cut=%d of=%d", served, cut, plan.clients);
  rv2_exit (cut > 0 ? RV2_BROKEN : served == plan.clients ? RV2_HELD : 2);
}
