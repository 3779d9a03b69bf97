/* A daemon that is stopped with SIGTERM while requests wait for sound
   searchers that are busy.  Broken if the connection of a request that the
   daemon had read before, and that no searcher was ever sent, ends without an
   answer before the time budget is over.  */

#include <stdio.h>
#include <string.h>

#include "../standin/rvw.h"

#define DAEMONS 2
#define SETTLE_US 2000000
#define BURST 100
#define TIME_LEFT_MS 8000
/* The daemon reads the burst in this time.  */
#define BEFORE_TERM_US 200000

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

/* Judges the requests from FIRST on.  Those that a searcher was sent are not
   counted: it may count as at work on them while they wait in its queue.  */
static enum rvw_verdict
judge (unsigned int first)
{
  unsigned int served = 0;
  unsigned int other = 0;
  unsigned int at_work = 0;
  unsigned int queued = 0;
  unsigned int lost = 0;
  unsigned int count = rvw_request_count ();
  for (unsigned int i = first; i < count; i++)
    {
      const struct rvw_request *r = rvw_request_at (i);
      int64_t held_ms = r->ended_ms - r->sent_ms;
      served += r->status == 200;
      other += r->status != 200 && r->status != 0;
      if (r->status != 0 || held_ms >= TIME_LEFT_MS)
        continue;
      at_work += r->runs > 0;
      queued += r->runs == 0 && r->arrivals > 0;
      if (r->arrivals > 0)
        continue;
      rvw_record ("LOST: the connection of q%u ended after %lld ms without an "
                  "answer, and no searcher was sent it",
                  i, (long long)held_ms);
      lost++;
    }
  rvw_record ("requests=%u served=%u other answers=%u cut at work=%u cut in a "
              "searcher's queue=%u",
              count - first, served, other, at_work, queued);
  rvw_record ("cut without having been sent to a searcher=%u", lost);
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
      searchers[i].slots = 4;
      searchers[i].queue = 16;
      searchers[i].work_us = 550000;
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
  if (rvw_request_count () != first + BURST || !rvw_has_read_all (1))
    {
      rvw_record ("daemon 1 has not read all requests");
      rvw_finish (RVW_NOT_RUN);
    }
  rvw_record ("daemon 1 has read all requests");
  if (trouble)
    {
      rvw_record ("daemon 1 gets SIGTERM");
      printf ("term\n");
      fflush (stdout);
    }
  await_end_of_load ();
  rvw_finish (judge (first));
}
