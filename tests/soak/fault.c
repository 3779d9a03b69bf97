#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "soak.h"

#define LEAST_GAP_MS 100
#define MOST_GAP_MS 900
#define START_TIME (300 * RW_MSEC)
/* The end of a run: everything is repaired, and must work after it.  */
#define HEAL_TIME (9 * RW_SEC)
/* When all daemons should hold back what crashes searchers: callers send it
   often enough that it has ended three of them by then.  */
#define LEARN_TIME (6 * RW_SEC)

enum fault
{
  FAULT_KILL,
  FAULT_KILL_ALL,
  FAULT_STOP,
  FAULT_FREEZE,
  FAULT_HUP,
  FAULT_CONFIG,
  FAULT_SEARCHER,
  FAULT_PAUSE,
  FAULT_DRAIN,
  FAULT_STORE, /* from here on only where the store is disturbed */
  FAULT_COMPACT,
  FAULT_PROXY,
  FAULT_RESTORE, /* from here on only in drills */
  FAULT_ANNOUNCE,
  FAULT_HOLD,
  FAULT_LIMIT, /* from here on only in later drills */
  FAULT_WAYS,  /* from here on only in still later ones */
  FAULT_CRASH, /* from here on only in the last ones */
  FAULT_CRASHING,
  FAULT_COUNT
};

/* The time after a restore of the store in which what it lost is written
   again.  */
#define REWRITE_TIME (800 * RW_MSEC)

static uint64_t
below (struct sok_soak *soak, uint64_t bound)
{
  return rw_rng_below (&soak->rng, bound);
}

/* Sends a command that is a fault, and notes it.  */
static void
strike_site (struct sok_soak *soak, const char *path)
{
  sok_note_fault (soak, "%s", path + 1);
  sok_command (soak, "POST", path, "", NULL, 0);
}

static void
thaw (struct sok_daemon *daemon)
{
  if (!daemon->frozen)
    return;
  sok_note_fault (daemon->soak, "thaw/vm-%zu", daemon->index);
  sok_daemon_signal (daemon, SIGCONT);
  daemon->frozen = false;
  daemon->disturbed = rw_now ();
}

static void
kill_daemon (struct sok_daemon *daemon)
{
  sok_note_fault (daemon->soak, "kill/vm-%zu", daemon->index);
  daemon->disturbed = rw_now ();
  sok_daemon_signal (daemon, SIGKILL);
}

static void
stop_daemon (struct sok_daemon *daemon)
{
  if (!daemon->running || daemon->stopping || daemon->frozen)
    return;
  sok_note_fault (daemon->soak, "stop/vm-%zu", daemon->index);
  daemon->stopping = true;
  daemon->stop_began = rw_now ();
  sok_daemon_signal (daemon, SIGTERM);
}

static void
searcher_fault (struct sok_soak *soak, const char *what)
{
  char path[96];
  if (below (soak, 2) == 0)
    snprintf (path, sizeof path, "/searcher/one-%d/%s", (int)below (soak, 2),
              what);
  else
    snprintf (path, sizeof path, "/searcher/s%d-%d/%s",
              (int)below (soak, soak->shards), (int)below (soak, 2), what);
  strike_site (soak, path);
}

static void
store_fault (struct sok_soak *soak)
{
  static const char *const modes[] = { "/store/up", "/store/up", "/store/busy",
                                       "/store/silent", "/store/reset" };
  strike_site (soak, modes[below (soak, RW_ARRAY_LEN (modes))]);
}

/* Sends WHAT to every searcher.  */
static void
to_all_searchers (struct sok_soak *soak, const char *what)
{
  char path[96];
  for (size_t i = 0; i < soak->shards + 1; i++)
    for (int j = 0; j < 2; j++)
      {
        if (i < soak->shards)
          snprintf (path, sizeof path, "/searcher/s%zu-%d/%s", i, j, what);
        else
          snprintf (path, sizeof path, "/searcher/one-%d/%s", j, what);
        sok_command (soak, "POST", path, "", NULL, 0);
      }
}

/* Takes a backup of the store, or goes back to the last one.  */
static void
restore_store (struct sok_soak *soak)
{
  bool back = below (soak, 2) == 0;
  strike_site (soak, back ? "/store/restore" : "/store/backup");
  if (back)
    soak->restored = rw_now ();
}

/* Writes again what a restored store has lost.  */
static void
rewrite_store (struct sok_soak *soak)
{
  soak->restored = 0;
  to_all_searchers (soak, "publish");
  sok_put_config (soak);
}

static void
set_ways (struct sok_daemon *daemon, const char *ways)
{
  char path[96];
  bool cut = strcmp (ways, "open") != 0;
  snprintf (path, sizeof path, "/ways/%s/%s", daemon->ip, ways);
  strike_site (daemon->soak, path);
  daemon->cut_since = cut ? rw_now () : 0;
  daemon->ways_changed = rw_now ();
}

/* Cuts some daemons off from the searchers, most or all of them at times, or
   gives all of them their ways back.  */
static void
cut_daemons (struct sok_soak *soak)
{
  const char *ways = below (soak, 2) == 0 ? "refused" : "reset";
  uint64_t share = below (soak, 4);
  for (size_t i = 0; i < soak->daemon_count; i++)
    if (share == 0)
      set_ways (&soak->daemons[i], "open");
    else if (below (soak, 4) < share)
      set_ways (&soak->daemons[i], ways);
}

static void
strike (struct sok_soak *soak)
{
  static const char *const faults[]
      = { "none", "none", "hang", "error", "shed", "reset", "reset" };
  static const char *const pauses[]
      = { "pause/100", "pause/200", "pause/800" };
  static const char *const leaves[] = { "drain", "stop", "start", "start" };
  struct sok_daemon *daemon = &soak->daemons[below (soak, soak->daemon_count)];
  static const char *const holds[] = { "hold/300", "hold/1500", "hold/0" };
  static const char *const proxies[]
      = { "pass", "silent", "one-way", "reset" };
  enum sok_proxy_mode mode;
  static const char *const limits[]
      = { "limit/0", "limit/20", "limit/60", "limit/200" };
  size_t kinds = soak->store_faults ? FAULT_RESTORE : FAULT_STORE;
  if (soak->drills)
    kinds = FAULT_LIMIT;
  if (soak->limits)
    kinds = FAULT_WAYS;
  if (soak->cuts)
    kinds = FAULT_CRASH;
  enum fault fault = (enum fault)below (soak, kinds);
  if (soak->crashes && below (soak, 3) == 0)
    fault = below (soak, 2) == 0 ? FAULT_CRASH : FAULT_CRASHING;
  switch (fault)
    {
    case FAULT_KILL:
      kill_daemon (daemon);
      break;
    case FAULT_KILL_ALL:
      if (below (soak, 6) == 0)
        for (size_t i = 0; i < soak->daemon_count; i++)
          kill_daemon (&soak->daemons[i]);
      break;
    case FAULT_STOP:
      stop_daemon (daemon);
      break;
    case FAULT_FREEZE:
      sok_note_fault (soak, "freeze/vm-%zu", daemon->index);
      daemon->frozen = daemon->running;
      daemon->disturbed = rw_now ();
      sok_daemon_signal (daemon, SIGSTOP);
      break;
    case FAULT_HUP:
      /* A process that has not reached its main function, perhaps because it
         was frozen at once, cannot handle a signal.  */
      if (!daemon->frozen && rw_now () - daemon->disturbed > START_TIME)
        {
          sok_note_fault (soak, "hup/vm-%zu", daemon->index);
          sok_daemon_signal (daemon, SIGHUP);
        }
      break;
    case FAULT_CONFIG:
      sok_note_fault (soak, "config/%zu", soak->version + 2);
      sok_put_config (soak);
      break;
    case FAULT_SEARCHER:
      searcher_fault (soak, faults[below (soak, RW_ARRAY_LEN (faults))]);
      break;
    case FAULT_PAUSE:
      searcher_fault (soak, pauses[below (soak, RW_ARRAY_LEN (pauses))]);
      break;
    case FAULT_DRAIN:
      searcher_fault (soak, leaves[below (soak, RW_ARRAY_LEN (leaves))]);
      break;
    case FAULT_STORE:
      store_fault (soak);
      break;
    case FAULT_COMPACT:
      strike_site (soak, "/store/compact");
      break;
    case FAULT_PROXY:
      mode = (enum sok_proxy_mode)below (soak, 4);
      sok_note_fault (soak, "proxy/vm-%zu/%s", daemon->index, proxies[mode]);
      sok_proxy_set (&daemon->proxy, mode);
      break;
    case FAULT_RESTORE:
      restore_store (soak);
      break;
    case FAULT_ANNOUNCE:
      searcher_fault (soak, below (soak, 2) == 0 ? "announce/1" : "start");
      break;
    case FAULT_HOLD:
      searcher_fault (soak, holds[below (soak, RW_ARRAY_LEN (holds))]);
      searcher_fault (soak, "shed");
      break;
    case FAULT_LIMIT:
      searcher_fault (soak, limits[below (soak, RW_ARRAY_LEN (limits))]);
      break;
    case FAULT_WAYS:
      cut_daemons (soak);
      break;
    case FAULT_CRASH:
      searcher_fault (soak, "crash");
      break;
    case FAULT_CRASHING:
      strike_site (soak, below (soak, 2) == 0
                             ? "/crash/1/safe/" SOK_CRASHING_PATH
                             : "/crash/1/all/" SOK_CRASHING_PATH);
      break;
    case FAULT_COUNT:
      break;
    }
}

static void
heal (struct sok_soak *soak)
{
  soak->healing = true;
  sok_note_fault (soak, "heal");
  sok_command (soak, "POST", "/store/up", "", NULL, 0);
  for (size_t i = 0; i < soak->daemon_count; i++)
    {
      thaw (&soak->daemons[i]);
      sok_proxy_set (&soak->daemons[i].proxy, SOK_PROXY_PASS);
      if (soak->cuts)
        set_ways (&soak->daemons[i], "open");
    }
  to_all_searchers (soak, "none");
  to_all_searchers (soak, "limit/0");
  to_all_searchers (soak, "start");
  if (soak->restored > 0)
    rewrite_store (soak);
}

static void
on_fault_timer (uv_timer_t *timer)
{
  struct sok_soak *soak = timer->data;
  rw_time elapsed = rw_now () - soak->began;
  for (size_t i = 0; i < soak->daemon_count; i++)
    {
      struct sok_daemon *daemon = &soak->daemons[i];
      if (daemon->restart)
        sok_daemon_start (daemon);
      else if (daemon->frozen && below (soak, 3) == 0)
        thaw (daemon);
    }
  if (soak->restored > 0 && rw_now () - soak->restored > REWRITE_TIME)
    rewrite_store (soak);
  if (elapsed > soak->length + HEAL_TIME)
    {
      uv_stop (&soak->loop);
      return;
    }
  if (soak->crashes && soak->crashing_runs < 0
      && elapsed > soak->length + LEARN_TIME)
    soak->crashing_runs = sok_crashing_runs (soak);
  if (elapsed > soak->length && !soak->healing)
    heal (soak);
  else if (!soak->healing && elapsed > 3 * RW_SEC)
    strike (soak);
  uv_timer_start (timer, on_fault_timer,
                  LEAST_GAP_MS + below (soak, MOST_GAP_MS - LEAST_GAP_MS), 0);
}

void
sok_fault_init (struct sok_soak *soak)
{
  uv_timer_init (&soak->loop, &soak->fault_timer);
  soak->fault_timer.data = soak;
  uv_timer_start (&soak->fault_timer, on_fault_timer, 1000, 0);
}
