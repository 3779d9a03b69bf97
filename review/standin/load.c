#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rvw.h"

static const char *net;
static const struct rvw_load *load;
static int64_t begin_ms;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static struct rvw_request requests[RVW_MAX_REQUESTS];
static unsigned int request_count;
static unsigned int clients_left;

struct rvw_request *
rvw_request_at (unsigned int number)
{
  return &requests[number];
}

unsigned int
rvw_request_count (void)
{
  pthread_mutex_lock (&lock);
  unsigned int count = request_count;
  pthread_mutex_unlock (&lock);
  return count;
}

/* The number of the request ID, RVW_MAX_REQUESTS if it is not of the load.  */
static unsigned long
number_of (const char *id)
{
  return id[0] == 'q' ? strtoul (id + 1, NULL, 10) : RVW_MAX_REQUESTS;
}

void
rvw_count_arrival (const struct rvw_searcher *searcher, const char *id)
{
  unsigned long number = number_of (id);
  rvw_record ("searcher %s: is sent %s", searcher->id, id);
  pthread_mutex_lock (&lock);
  if (number < request_count)
    requests[number].arrivals++;
  pthread_mutex_unlock (&lock);
}

void
rvw_count_run (const struct rvw_searcher *searcher, const char *id,
               const char *path)
{
  unsigned long number = number_of (id);
  rvw_record ("searcher %s of %s: runs %s %s", searcher->id, searcher->service,
              id, path);
  pthread_mutex_lock (&lock);
  if (number < request_count)
    {
      requests[number].runs++;
      requests[number].ran_ms = rvw_now_ms ();
      requests[number].last_service = searcher->service;
    }
  pthread_mutex_unlock (&lock);
}

bool
rvw_has_read_all (unsigned int daemon)
{
  char ip[32];
  snprintf (ip, sizeof ip, "%s.%u", net, daemon);
  return rvw_unread_bytes (ip) == 0;
}

bool
rvw_begin (int argc, char **argv)
{
  if (argc != 4)
    exit (RVW_NOT_RUN);
  net = argv[1];
  rvw_record_open (argv[3]);
  return strcmp (argv[2], "0") != 0;
}

void
rvw_await_one (unsigned int daemon)
{
  char ip[32];
  snprintf (ip, sizeof ip, "%s.%u", net, daemon);
  if (rvw_await_ready (ip))
    return;
  rvw_record ("daemon %u is not ready", daemon);
  rvw_finish (RVW_NOT_RUN);
}

void
rvw_await_daemons (unsigned int count)
{
  unsigned int callers = rvw_free_port ();
  unsigned int ready = rvw_free_port ();
  rvw_set_ports (callers, ready);
  printf ("callers=%u\nready=%u\npeers=%u\nstore=%u\n", callers, ready,
          rvw_free_port (), rvw_store_start ());
  fflush (stdout);
  for (unsigned int i = 1; i <= count; i++)
    rvw_await_one (i);
}

/* Adds a request to PATH and returns its number.  */
static unsigned int
add_request (const char *path)
{
  pthread_mutex_lock (&lock);
  unsigned int number = request_count;
  if (number < RVW_MAX_REQUESTS)
    {
      requests[number].path = path;
      requests[number].sent_ms = rvw_now_ms ();
      request_count++;
    }
  pthread_mutex_unlock (&lock);
  return number;
}

static void
send_request (struct rvw_client *client, const char *path)
{
  char id[32];
  unsigned int number = add_request (path);
  if (number == RVW_MAX_REQUESTS)
    return;
  snprintf (id, sizeof id, "q%u", number);
  rvw_record ("client: sends %s %s to %s", id, path, client->ip);
  struct rvw_result result
      = rvw_post (client, id, path, load->headers != NULL ? load->headers : "",
                  load->time_left_ms);
  rvw_record ("client: %s is answered %d%s", id, result.status,
              result.status == 200 && !result.is_own ? ", not its own" : "");
  pthread_mutex_lock (&lock);
  requests[number].status = result.status;
  requests[number].ended_ms = rvw_now_ms ();
  pthread_mutex_unlock (&lock);
}

static void *
run_client (void *arg)
{
  const size_t *index = arg;
  size_t path_count = 1;
  struct rvw_client client = { .conn = NULL };
  while (load->paths[path_count] != NULL)
    path_count++;
  snprintf (client.ip, sizeof client.ip, "%s.%zu", net,
            *index % load->daemons + 1);
  for (int64_t at = 0; at < load->length_ms; at += load->interval_ms)
    {
      rvw_sleep_us ((begin_ms + at - rvw_now_ms ()) * 1000);
      send_request (&client, load->paths[*index / load->daemons % path_count]);
    }
  pthread_mutex_lock (&lock);
  clients_left--;
  pthread_mutex_unlock (&lock);
  return NULL;
}

void
rvw_load_start (const struct rvw_load *wanted)
{
  load = wanted;
  begin_ms = rvw_now_ms ();
  clients_left = load->clients;
  size_t *indices = calloc (load->clients, sizeof *indices);
  if (indices == NULL)
    abort ();
  for (size_t i = 0; i < load->clients; i++)
    {
      indices[i] = i;
      rvw_start_thread (run_client, &indices[i]);
    }
}

bool
rvw_load_runs (void)
{
  pthread_mutex_lock (&lock);
  bool runs = clients_left > 0;
  pthread_mutex_unlock (&lock);
  return runs;
}
