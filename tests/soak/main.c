#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "soak.h"

struct options
{
  const char *bin;
  const char *work;
  uint64_t seed;
  unsigned int seconds;
  unsigned int daemons;
  unsigned int clients;
  unsigned int shards;
};

static const struct argp_option option_list[] = {
  { "bin", 'b', "DIR", 0, "directory of the programs", 0 },
  { "work", 'w', "DIR", 0, "directory of settings and logs", 0 },
  { "seed", 's', "N", 0, "seed of the faults (1)", 0 },
  { "seconds", 't', "N", 0, "time with faults (12)", 0 },
  { "daemons", 'd', "N", 0, "daemons (6)", 0 },
  { "clients", 'c', "N", 0, "callers of any daemon (16)", 0 },
  { "shards", 'n', "N", 0, "shards (8)", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct options *o = state->input;
  unsigned int value = 0;
  if (arg == NULL)
    return ARGP_ERR_UNKNOWN;
  value = (unsigned int)strtoul (arg, NULL, 10);
  switch (key)
    {
    case 'b':
      o->bin = arg;
      return 0;
    case 'w':
      o->work = arg;
      return 0;
    case 's':
      o->seed = strtoull (arg, NULL, 10);
      return 0;
    case 't':
      o->seconds = value;
      return 0;
    case 'd':
      o->daemons = value;
      return 0;
    case 'c':
      o->clients = value;
      return 0;
    case 'n':
      o->shards = value;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = {
  option_list, parse_option,
  NULL,        "Runs daemons under random faults and checks what callers see.",
  NULL,        NULL,
  NULL
};

void
sok_fail (struct sok_soak *soak, const char *format, ...)
{
  va_list args;
  soak->failures++;
  printf ("seed %llu: %.3f s: ", (unsigned long long)soak->seed,
          (double)(rw_now () - soak->began) / RW_SEC);
  va_start (args, format);
  vprintf (format, args);
  va_end (args);
  printf ("\n");
}

void
sok_note_fault (struct sok_soak *soak, const char *format, ...)
{
  va_list args;
  char what[96];
  size_t space = sizeof soak->faults - soak->faults_len;
  va_start (args, format);
  vsnprintf (what, sizeof what, format, args);
  va_end (args);
  int len = snprintf (soak->faults + soak->faults_len, space, " %.3f:%s",
                      (double)(rw_now () - soak->began) / RW_SEC, what);
  if (len > 0 && (size_t)len < space)
    soak->faults_len += (size_t)len;
  else
    soak->faults[soak->faults_len] = '\0';
}

static int
run (struct sok_soak *soak, const struct options *o)
{
  soak->began = rw_now ();
  if (sok_site_start (soak) != 0)
    {
      fprintf (stderr, "rwfsoak: cannot start the stand-ins\n");
      return 2;
    }
  if (soak->organisations)
    sok_start_organisations (soak);
  soak->daemon_count = o->daemons;
  soak->client_count = o->daemons + o->clients;
  for (size_t i = 0; i < soak->daemon_count; i++)
    sok_daemon_init (soak, i);
  for (size_t i = 0; i < soak->client_count; i++)
    sok_client_init (soak, i);
  sok_fault_init (soak);
  uv_run (&soak->loop, UV_RUN_DEFAULT);
  soak->ended = true;
  for (size_t i = 0; i < soak->client_count; i++)
    sok_client_stop (&soak->clients[i]);
  sok_check_end (soak);
  sok_kill_all (soak);
  printf (
      "seed %llu: %s: failures=%llu answers: 2xx=%llu 4xx=%llu 5xx=%llu "
      "none=%llu whole=%llu",
      (unsigned long long)soak->seed,
      soak->failures == 0 ? "passed" : "failed",
      (unsigned long long)soak->failures, (unsigned long long)soak->answers[2],
      (unsigned long long)soak->answers[4],
      (unsigned long long)soak->answers[5],
      (unsigned long long)soak->answers[0], (unsigned long long)soak->whole);
  /* What a failure is judged by: when the run began, on the clock of the
     daemons' logs, and the faults with their times in the run.  */
  if (soak->failures > 0)
    printf (" began=%.6f faults:%s", (double)soak->began / RW_SEC,
            soak->faults);
  printf ("\n");
  return soak->failures == 0 ? 0 : 1;
}

int
main (int argc, char **argv)
{
  static struct sok_soak soak;
  struct options o = { .bin = "build/opt/bin",
                       .work = "build/soak",
                       .seed = 1,
                       .seconds = 12,
                       .daemons = 6,
                       .clients = 16,
                       .shards = 8 };
  if (argp_parse (&parser, argc, argv, 0, NULL, &o) != 0)
    return 2;
  if (o.daemons < 1 || o.daemons > SOK_MAX_DAEMONS || o.clients < 1
      || o.clients > SOK_MAX_CALLERS || o.shards < 2 || o.shards > 32)
    {
      fprintf (stderr, "rwfsoak: daemons, clients or shards out of range\n");
      return 2;
    }
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  mkdir (o.work, 0755);
  uv_loop_init (&soak.loop);
  rw_rng_init (&soak.rng, o.seed);
  soak.seed = o.seed;
  soak.length = o.seconds * RW_SEC;
  soak.bin = o.bin;
  soak.work = o.work;
  soak.shards = o.shards;
  soak.store_faults = o.seed % 2 == 1;
  soak.drills = o.seed >= SOK_FIRST_DRILL_SEED;
  soak.cuts = o.seed >= SOK_FIRST_CUT_SEED;
  soak.crashes = o.seed >= SOK_FIRST_CRASH_SEED;
  soak.organisations = o.seed >= SOK_FIRST_ORGANISATION_SEED;
  soak.crashing_runs = -1;
  soak.limits = o.seed >= SOK_FIRST_LIMIT_SEED;
  soak.scratch = rw_xmalloc (H1_READ_BUF_SIZE);
  /* Addresses of the loopback range that other soaks do not use.  */
  snprintf (soak.net, sizeof soak.net, "127.%d.%d", 20 + getpid () / 200 % 200,
            getpid () % 200);
  return run (&soak, &o);
}
