/* A daemon that is stopped with SIGTERM while requests wait at sound searchers
   that are busy.  Broken if the connection of a request that a searcher has
   not begun ends without an answer, before the time budget is over.  */

#include <stdio.h>
#include <string.h>

#include "../standin/rvw.h"

#define DAEMONS 2
#define SETTLE_US 2000000
#define BURST 40
#define TIME_LEFT_MS 8000
#define BEFORE_TERM_US 100000

static struct rvw_searcher searchers[]
    = { { .id = "i-archive-1", .service = "archive-tool" },
        { .id = "i-archive-2", .service = "archive-tool" } };
#define SEARCHERS (sizeof searchers / sizeof searchers[0])

static const char config[]
    = "{\"version\":1,\"routes\":["
      "{\"name\":\"archive\",\"hostname\":\"site.example\","
      "\"prefix\":\"/archive/\",\"type\":\"unsafe\",\"timeoutMs\":8000,"
      "\"targetLatencyMs\":1500,\"priority\":2,\"maxAttempts\":3,"
      "\"service\":\"archive-tool\"}],"
      "\"services\":[{\"name\":\"archive-tool\",\"healthPath\":\"/health\","
      "\"maxConnections\":208}],"
      "\"limits\":{\"maxHeaderBytes\":16384,\"maxBodyBytes\":262144,"
      "\"headerTimeoutMs\":3000,\"idleTimeoutMs\":15000}}";
static const char *const paths[] = { "/archive/dig", NULL };
/* So that the daemon knows how long the work takes.  */
static const struct rvw_load warm_up = { .daemons = 1,
                                         .clients = 2,
                                         .interval_ms = 800,
                                         .length_ms = 4800,
                                         .time_left_ms = TIME_LEFT_MS,
                                         .paths = paths };
static const struct rvw_load burst = { .daemons = 1,
                                       .clients = BURST,
                                       .interval_ms = 1,
                                       .length_ms = 1,
                                       .time_left_ms = TIME_LEFT_MS,
                                       .paths = paths };

static void
await_end_of_load (void)
{
  while (rvw_load_runs ())
    rvw_sleep_us (20000);
}

/* Judges the requests from FIRST on.  */
static enum rvw_verdict
judge (unsigned int first)
{
  unsigned int served = 0;
  unsigned int refused = 0;
  unsigned int at_work = 0;
  unsigned int lost = 0;
  unsigned int count = rvw_request_count ();
  for (unsigned int i = first; i < count; i++)
    {
      const struct rvw_request *r = rvw_request_at (i);
      int64_t held_ms = r->ended_ms - r->sent_ms;
      served += r->status == 200;
      refused += r->status != 200 && r->status != 0;
      if (r->status != 0 || held_ms >= TIME_LEFT_MS)
        continue;
      /* A searcher was still at work on it.  */
      at_work += r->runs > 0;
      if (r->runs > 0)
        continue;
      rvw_record ("LOST: the connection of q%u ended after %lld ms without an "
                  "answer",
                  i, (long long)held_ms);
      lost++;
    }
  rvw_record ("requests=%u served=%u other answers=%u cut at work=%u",
              count - first, served, refused, at_work);
  rvw_record ("lost=%u", lost);
  if (served == 0)
    return RVW_NOT_RUN;
  return lost > 0 ? RVW_BROKEN : RVW_HELD;
}

int
main (int argc, char **argv)
{
  bool trouble = rvw_begin (argc, argv);
  (void)rvw_store_put ("op/config", config);
  for (size_t i = 0; i < SEARCHERS; i++)
    {
      searchers[i].slots = 2;
      searchers[i].queue = 12;
      searchers[i].work_us = 700000;
      rvw_searcher_start (&searchers[i], rvw_count_run);
      rvw_searcher_publish (&searchers[i]);
    }
  rvw_await_daemons (DAEMONS);
  rvw_sleep_us (SETTLE_US);
  rvw_load_start (&warm_up);
  await_end_of_load ();
  unsigned int first = rvw_request_count ();
  rvw_load_start (&burst);
  rvw_sleep_us (BEFORE_TERM_US);
  if (trouble)
    {
      rvw_record ("daemon 1 gets SIGTERM");
      printf ("term\n");
      fflush (stdout);
    }
  await_end_of_load ();
  rvw_finish (judge (first));
}
