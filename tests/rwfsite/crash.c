#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>

#include "site.h"

/* A searcher that crashed is back after this time, as another process.  */
#define DOWN_TIME_MS 2000
/* Meanwhile a connection of another process may have got its port, and keep it
   for a while.  It tries so often, at this interval, to get it back.  */
#define LISTEN_RETRIES 100
#define LISTEN_RETRY_MS 50
/* Ends of searchers after which a request counts as known to crash them, and
   the time in which all daemons have to learn it.  */
#define KNOWN_AFTER_ENDS 3
#define LEARN_TIME (4 * RW_SEC)

bool
site_crashes (struct site *site, const struct site_searcher *searcher,
              const struct h1_message *message)
{
  struct site_crash *crash = &site->crash;
  if (crash->path[0] == '\0' || searcher->version > crash->max_version
      || !rw_str_eq_cstr (message->target, crash->path))
    return false;
  crash->runs++;
  if (crash->known_at > 0 && rw_now () - crash->known_at > LEARN_TIME)
    crash->late_runs++;
  return true;
}

static void
on_timer_closed (uv_handle_t *handle)
{
  free (handle);
}

static void
on_down_time_over (uv_timer_t *timer)
{
  struct site_searcher *searcher = timer->data;
  h1_server_finish (&searcher->server);
  if (site_searcher_listen (searcher, searcher->port) != 0)
    {
      if (++searcher->listen_retries <= LISTEN_RETRIES)
        {
          h1_server_stop (&searcher->server);
          uv_timer_start (timer, on_down_time_over, LISTEN_RETRY_MS, 0);
          return;
        }
      fprintf (stderr, "rwfsite: cannot listen for searcher %s again\n",
               searcher->id);
      exit (1);
    }
  uv_close ((uv_handle_t *)timer, on_timer_closed);
  searcher->listen_retries = 0;
  searcher->down = false;
  searcher->born++;
  site_searcher_publish (searcher);
}

void
site_searcher_crash (struct site_searcher *searcher)
{
  struct site *site = searcher->site;
  if (searcher->down)
    return;
  searcher->down = true;
  h1_server_stop (&searcher->server);
  if (++site->crash.ends == KNOWN_AFTER_ENDS)
    site->crash.known_at = rw_now ();
  uv_timer_t *timer = rw_xmalloc (sizeof *timer);
  uv_timer_init (&site->loop, timer);
  timer->data = searcher;
  uv_timer_start (timer, on_down_time_over, DOWN_TIME_MS, 0);
}
