/* All searchers of a service crash, and start again under their ids, cold.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "../standin-2/rv2.h"

#define WARMUP_PER_S 10
/* warmupPerS x warmupOvershoot + warmupSlack.  */
#define COLD_BOUND (WARMUP_PER_S * 3 / 2 + 5)
#define COLD_MS 3000
#define DOWN_MS 2000
#define WORK_MS 8
#define PERIOD_MS 15 /* between two requests */
#define BEFORE_MS 3000
#define AFTER_MS 5000
#define DEADLINE_MS 800
#define MAX_ARRIVALS 4096
#define MAX_CALLS 4096

static const char config[]
    = "{\"version\":1,\"routes\":[{\"name\":\"crew-spot-scan\",\"hostname\":"
      "\"site.example\",\"prefix\":\"/spot/\",\"type\":\"safe\","
      "\"timeoutMs\":800,\"targetLatencyMs\":80,\"priority\":1,"
      "\"maxAttempts\":2,\"topK\":20,\"minShardShare\":0.89,"
      "\"gather\":[\"dispatch-1\"]}],\"services\":["
      "{\"name\":\"dispatch-1\",\"healthPath\":\"/health\","
      "\"maxConnections\":56,\"warmupPerS\":10}],\"limits\":{"
      "\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";

struct arrival
{
  long long at;
  long long sent; /* by the client */
};

/* The arrivals at one searcher while it is cold.  */
struct cold
{
  long long until;
  struct arrival arrivals[MAX_ARRIVALS];
  size_t count;
};

static struct cold cold[2];
static long long sent_at[MAX_CALLS]; /* by request */
static volatile int served;

static void
note_arrival (struct rv2_searcher *searcher, const struct rv2_request *request)
{
  struct cold *c = &cold[searcher->id[2] - '1'];
  long long now = rv2_now ();
  if (now >= c->until)
    return;
  size_t i = __sync_fetch_and_add (&c->count, 1);
  long number = strtol (request->id + strlen ("r-"), NULL, 10);
  if (i < MAX_ARRIVALS)
    c->arrivals[i] = (struct arrival){ now, sent_at[number] };
  rv2_log ("searcher: cold id=%s at=%s", request->id, searcher->id);
}

static void
handle (struct rv2_searcher *searcher, struct rv2_conn *conn,
        const struct rv2_request *request)
{
  rv2_sleep (WORK_MS);
  (void)rv2_answer (searcher, conn, request, 400);
}

static struct rv2_searcher searchers[] = {
  { .id = "i-1",
    .service = "dispatch-1",
    .arrived = note_arrival,
    .handler = handle,
    .slots = 2,
    .queue_max = 12 },
  { .id = "i-2",
    .service = "dispatch-1",
    .arrived = note_arrival,
    .handler = handle,
    .slots = 2,
    .queue_max = 12 },
};
#define SEARCHERS (sizeof searchers / sizeof searchers[0])

static struct rv2_daemon front;

static void *
call (void *arg)
{
  char id[32];
  struct rv2_exchange e = { .fd = rv2_connect (front.callers, 0) };
  long long begun = rv2_now ();
  snprintf (id, sizeof id, "r-%d", *(const int *)arg);
  if (e.fd < 0)
    return NULL;
  if (rv2_send (e.fd, "GET", "/spot/1", id, DEADLINE_MS))
    rv2_read_answer (&e, 0, begun + DEADLINE_MS);
  if (e.status == 200)
    __sync_fetch_and_add (&served, 1);
  rv2_log ("client: id=%s status=%d ms=%lld", id, e.status,
           rv2_now () - begun);
  close (e.fd);
  return NULL;
}

static int numbers[MAX_CALLS];
static int sent;

static void
send_for (long long ms)
{
  long long until = rv2_now () + ms;
  while (rv2_now () < until && sent < MAX_CALLS)
    {
      numbers[sent] = sent;
      sent_at[sent] = rv2_now ();
      rv2_thread (call, &numbers[sent]);
      sent++;
      rv2_sleep (PERIOD_MS);
    }
}

/* The most requests that were sent and arrived in one second.  */
static size_t
most_in_a_second (const struct cold *c)
{
  size_t most = 0;
  size_t count = c->count < MAX_ARRIVALS ? c->count : MAX_ARRIVALS;
  for (size_t i = 0; i < count; i++)
    {
      long long end = c->arrivals[i].at;
      size_t inside = 0;
      for (size_t j = 0; j < count; j++)
        inside += c->arrivals[j].at <= end && c->arrivals[j].sent > end - 1000;
      if (inside > most)
        most = inside;
    }
  return most;
}

int
main (int argc, char **argv)
{
  size_t most = 0;
  rv2_init (argc, argv);
  rv2_store_start ();
  rv2_store_put ("op/config", config);
  for (size_t i = 0; i < SEARCHERS; i++)
    {
      rv2_searcher_start (&searchers[i]);
      rv2_searcher_publish (&searchers[i], "ready", 0);
    }
  rv2_daemon_start (&front, "front-1");
  rv2_daemon_await (&front);
  send_for (BEFORE_MS);
  if (rv2_trouble ())
    {
      for (size_t i = 0; i < SEARCHERS; i++)
        rv2_searcher_crash (&searchers[i]);
      send_for (DOWN_MS);
      for (size_t i = 0; i < SEARCHERS; i++)
        {
          cold[i].until = rv2_now () + COLD_MS;
          rv2_searcher_start (&searchers[i]);
          rv2_log ("searcher: start id=%s", searchers[i].id);
          rv2_searcher_publish (&searchers[i], "ready", COLD_MS);
        }
    }
  send_for (AFTER_MS);
  rv2_sleep (DEADLINE_MS);
  for (size_t i = 0; i < SEARCHERS; i++)
    {
      size_t m = most_in_a_second (&cold[i]);
      rv2_log ("result: searcher=%s most_per_s=%zu bound=%d", searchers[i].id,
               m, COLD_BOUND);
      if (m > most)
        most = m;
    }
  rv2_log ("result: sent=%d served=%d", sent, served);
  rv2_exit (most > COLD_BOUND ? RV2_BROKEN : RV2_HELD);
}
