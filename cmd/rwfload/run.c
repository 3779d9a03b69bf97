#include "run.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include "load.h"
#include "model.h"
#include "net.h"

#define ENTRY_MAX 256
#define EXIT_USAGE 64
#define DURATION_DEFAULT (10 * RW_SEC)
#define RATE_DEFAULT 100
/* Deadline of the design page for callers of both regions.  */
#define SEARCH_DEADLINE_MS 61
#define ONCE_DEADLINE_MS 500
/* Time to wait for answers after the end of the load.  */
#define ANSWER_WAIT (2 * RW_SEC)
#define CALL_TIMEOUT (2 * RW_SEC)
#define CONNECTION_MAX 1000 /* connections to one entry daemon */
#define QUERY_COUNT 1000    /* distinct queries */
#define UNKNOWN_LINE_MAX 20 /* printed; the results count all of them */

struct run_options
{
  struct net_addr entries[ENTRY_MAX];
  size_t entry_count;
  const char *profile;
  const char *services; /* null: all of the profile */
  const char *csv;      /* null: none; "-": instead of the text */
  int64_t rate;
  int64_t seed;
  rw_time duration;
};

/* One request that has no answer yet.  */
struct run_request
{
  struct run *run;
  struct run_stream *stream;
  rw_time due;
};

struct run
{
  const struct run_options *options;
  uv_loop_t loop;
  struct net_client client;
  uv_prepare_t flush;
  uv_poll_t timer;
  int timer_fd;
  struct mdl_arrivals arrivals;
  struct rw_rng rng;
  rw_time start;
  uint64_t next_key;
  size_t in_flight; /* requests without answer */
  int unknown_lines;
  struct run_results results;
};

enum
{
  KEY_ENTRIES = 256,
  KEY_PROFILE,
  KEY_SERVICES,
  KEY_RATE,
  KEY_DURATION,
  KEY_SEED,
  KEY_CSV
};

static const struct argp_option option_list[] = {
  { "entries", KEY_ENTRIES, "HOST:PORT,...", 0,
    "Entry daemons' addresses for callers (RWF_ENTRIES)", 0 },
  { "profile", KEY_PROFILE, "NAME", 0,
    "gauteng (default) or seoul (RWF_PROFILE)", 0 },
  { "services", KEY_SERVICES, "A,B", 0,
    "Only these services of the profile (RWF_SERVICES)", 0 },
  { "rate", KEY_RATE, "N", 0, "Requests per second, default 100 (RWF_RATE)",
    0 },
  { "duration", KEY_DURATION, "DUR", 0,
    "Time to send for, default 10s (RWF_DURATION)", 0 },
  { "seed", KEY_SEED, "N", 0,
    "Seed of arrivals and queries, default 1 (RWF_SEED)", 0 },
  { "csv", KEY_CSV, "FILE", 0,
    "Append CSV to FILE; -: print CSV instead of text (RWF_CSV)", 0 },
  { 0 },
};

static const struct load_env environment[] = {
  { KEY_ENTRIES, "RWF_ENTRIES" },   { KEY_PROFILE, "RWF_PROFILE" },
  { KEY_SERVICES, "RWF_SERVICES" }, { KEY_RATE, "RWF_RATE" },
  { KEY_DURATION, "RWF_DURATION" }, { KEY_SEED, "RWF_SEED" },
  { KEY_CSV, "RWF_CSV" },           { 0, NULL },
};

/* The callers of both deployments.  The design page does not state the
   proportions of their requests; these weights, in percent, are assumptions.
   */
struct caller
{
  const char *profile;
  const char *class_name;
  const char *service;
  bool once;
  int weight;
};
static const struct caller callers[] = {
  { "gauteng", "counter", "partsdesk", false, 60 },
  { "gauteng", "foreman", "partsdesk", false, 10 },
  { "gauteng", "portal", "franchise-portal", false, 25 },
  { "gauteng", "counter", "reserve-svc", true, 5 },
  { "seoul", "crew", "dispatch", false, 60 },
  { "seoul", "office", "dispatch", false, 15 },
  { "seoul", "donor", "donor-portal", false, 20 },
  { "seoul", "crew", "photo-intake", true, 5 },
};

static void
reject_option (const char *name, const char *text, const char *expected)
{
  fprintf (stderr, "rwfload: run: %s: %s: expected %s\n", name, text,
           expected);
  exit (EXIT_USAGE);
}

static void
parse_entries (struct run_options *options, const char *text)
{
  struct rw_str rest = rw_str_from (text);

  options->entry_count = 0;
  for (;;)
    {
      struct rw_str item = rw_str_token (&rest, ", ");

      if (item.len == 0)
        return;
      if (options->entry_count == ENTRY_MAX
          || net_addr_parse (item, &options->entries[options->entry_count])
                 < 0)
        reject_option ("--entries", text,
                       "HOST:PORT,... with numeric addresses");
      options->entry_count++;
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct run_options *options = state->input;

  switch (key)
    {
    case KEY_ENTRIES:
      parse_entries (options, arg);
      return 0;
    case KEY_PROFILE:
      if (mdl_profile (rw_str_from (arg)) == NULL)
        reject_option ("--profile", arg, "gauteng or seoul");
      options->profile = arg;
      return 0;
    case KEY_SERVICES:
      options->services = arg;
      return 0;
    case KEY_RATE:
      options->rate = load_number ("--rate", arg, 1, 1000000);
      return 0;
    case KEY_DURATION:
      if (rw_str_to_duration (rw_str_from (arg), &options->duration) < 0)
        reject_option ("--duration", arg, "a duration such as 10s");
      return 0;
    case KEY_SEED:
      options->seed = load_number ("--seed", arg, 0, INT64_MAX);
      return 0;
    case KEY_CSV:
      options->csv = arg;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Returns whether NAME is in LIST, which is separated by commas.  A null list
   contains every name.  */
static bool
is_listed (const char *list, const char *name)
{
  struct rw_str rest = rw_str_from (list);
  struct rw_str item;

  if (list == NULL)
    return true;
  while ((item = rw_str_token (&rest, ",")).len > 0)
    if (rw_str_eq_cstr (item, name))
      return true;
  return false;
}

/* Initializes the streams that the options select, and their rates.  */
static void
init_streams (struct run *run)
{
  const struct run_options *options = run->options;
  struct run_results *results = &run->results;
  int total_weight = 0;

  for (size_t i = 0; i < RW_ARRAY_LEN (callers); i++)
    {
      const struct caller *caller = &callers[i];
      struct run_stream *stream = &results->streams[results->stream_count];

      if (strcmp (caller->profile, options->profile) != 0
          || !is_listed (options->services, caller->service))
        continue;
      *stream = (struct run_stream){ .class_name = caller->class_name,
                                     .service = caller->service,
                                     .once = caller->once,
                                     .weight = caller->weight };
      rw_hist_init (&stream->latency);
      total_weight += caller->weight;
      results->stream_count++;
    }
  if (results->stream_count == 0)
    reject_option ("--services", options->services, "services of the profile");
  mdl_arrivals_init (&run->arrivals, results->stream_count,
                     (uint64_t)options->seed);
  for (size_t i = 0; i < results->stream_count; i++)
    mdl_arrivals_set_rate (&run->arrivals, i,
                           (double)options->rate * results->streams[i].weight
                               / total_weight,
                           run->start);
}

/* Prints a request whose outcome is unknown, at most UNKNOWN_LINE_MAX times
   per run.  */
static void
report_unknown (const struct run_request *request,
                const struct net_reply *reply)
{
  struct run *run = request->run;
  rw_time now = rw_now ();

  if (run->unknown_lines == UNKNOWN_LINE_MAX)
    return;
  run->unknown_lines++;
  fprintf (stderr,
           "rwfload: run: outcome unknown: %s of %s due at %.3f s, %.1f ms: ",
           request->stream->once ? "once request" : "search",
           request->stream->service,
           (double)(request->due - run->start) / RW_SEC,
           (double)(now - request->due) / RW_MSEC);
  if (reply->err != NULL)
    fprintf (stderr, "no answer: %s at %s: %s\n", reply->err->step,
             reply->err->peer, reply->err->detail);
  else
    fprintf (stderr, "status %d: %.*s\n", reply->status,
             RW_STR_ARG (reply->body));
}

static void
on_reply (void *arg, uint64_t tag, const struct net_reply *reply)
{
  struct run_request *request = arg;
  struct run_stream *stream = request->stream;
  uint64_t unknown = stream->unknown;

  (void)tag;
  if (reply->err != NULL)
    run_count_failure (stream, reply->sent);
  else if (reply->status == 200)
    run_count_answer (stream, reply->body, rw_now () - request->due);
  else
    run_count_error (stream, reply->body);
  if (stream->unknown > unknown)
    report_unknown (request, reply);
  request->run->in_flight--;
  free (request);
}

/* Sends one request of STREAM that was due at DUE.  */
static void
send_request (struct run *run, struct run_stream *stream, rw_time due)
{
  const struct run_options *options = run->options;
  struct run_request *request = rw_xmalloc (sizeof *request);
  char path[128];
  char headers[256];
  char body[64];
  struct net_call_spec spec = { .method = "POST",
                                .max_connections = CONNECTION_MAX,
                                .timeout = CALL_TIMEOUT,
                                .done = on_reply,
                                .arg = request };

  *request = (struct run_request){ run, stream, due };
  snprintf (path, sizeof path, "/v1/%s/%s", stream->once ? "once" : "search",
            stream->service);
  snprintf (headers, sizeof headers,
            "X-Caller-Class: %s\r\nX-Deadline-Ms: %d\r\n"
            "Idempotency-Key: load-%lld-%lld-%llu\r\n",
            stream->class_name,
            stream->once ? ONCE_DEADLINE_MS : SEARCH_DEADLINE_MS,
            (long long)options->seed, (long long)run->start,
            (unsigned long long)run->next_key++);
  snprintf (body, sizeof body, "part %llu",
            (unsigned long long)rw_rng_below (&run->rng, QUERY_COUNT));
  spec.to = options->entries[rw_rng_below (&run->rng, options->entry_count)];
  spec.path = rw_str_from (path);
  spec.headers = rw_str_from (headers);
  spec.body = rw_str_from (body);
  stream->sent++;
  run->in_flight++;
  net_client_start (&run->client, &spec);
}

static rw_time
run_end (const struct run *run)
{
  return run->start + run->options->duration;
}

/* Sets the timer for the next arrival, or for the end.  libuv timers have a
   resolution of 1 ms, which would add to the measured latency.  */
static void
set_timer (struct run *run)
{
  rw_time at = mdl_arrivals_next (&run->arrivals);
  struct itimerspec spec = { { 0, 0 }, { 0, 0 } };

  if (at >= run_end (run))
    at = run_end (run) + (rw_now () >= run_end (run) ? ANSWER_WAIT : 0);
  spec.it_value.tv_sec = at / RW_SEC;
  spec.it_value.tv_nsec = at % RW_SEC * 1000;
  timerfd_settime (run->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
on_timer (uv_poll_t *poll, int status, int events)
{
  struct run *run = poll->data;
  rw_time now = rw_now ();
  uint64_t expirations;

  (void)status;
  (void)events;
  if (read (run->timer_fd, &expirations, sizeof expirations) < 0)
    return;
  while (mdl_arrivals_next (&run->arrivals) <= now
         && mdl_arrivals_next (&run->arrivals) < run_end (run))
    {
      rw_time due;
      size_t stream = mdl_arrivals_take (&run->arrivals, &due);

      send_request (run, &run->results.streams[stream], due);
    }
  set_timer (run);
}

/* Delivers completed calls before the loop blocks, and stops the loop when the
   load has ended and all answers have arrived or ANSWER_WAIT has passed.  */
static void
on_flush (uv_prepare_t *prepare)
{
  struct run *run = prepare->data;
  rw_time now = rw_now ();

  net_client_flush (&run->client);
  if ((now >= run_end (run) && run->in_flight == 0)
      || now >= run_end (run) + ANSWER_WAIT)
    uv_stop (&run->loop);
}

static int
start_run (struct run *run)
{
  uv_loop_init (&run->loop);
  net_client_init (&run->client, &run->loop);
  rw_rng_init (&run->rng, (uint64_t)run->options->seed);
  run->timer_fd = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  if (run->timer_fd < 0)
    return -errno;
  uv_poll_init (&run->loop, &run->timer, run->timer_fd);
  run->timer.data = run;
  uv_poll_start (&run->timer, UV_READABLE, on_timer);
  uv_prepare_init (&run->loop, &run->flush);
  run->flush.data = run;
  uv_prepare_start (&run->flush, on_flush);
  run->start = rw_now ();
  init_streams (run);
  set_timer (run);
  return 0;
}

/* Counts requests without answer at the end as unknown, since they may have
   run.  */
static void
count_unanswered (struct run *run)
{
  uint64_t answered;

  for (size_t i = 0; i < run->results.stream_count; i++)
    {
      struct run_stream *s = &run->results.streams[i];

      answered = s->ok + s->not_run + s->ran + s->unknown;
      s->unknown += s->sent - answered;
    }
}

/* Prints the results.  Returns the exit status, 1 if no request was answered
   or the CSV file cannot be opened.  */
static int
print_results (const struct run *run)
{
  const struct run_results *results = &run->results;
  const char *csv = run->options->csv;
  uint64_t ok = 0;
  FILE *file;

  for (size_t i = 0; i < results->stream_count; i++)
    ok += results->streams[i].ok;
  if (csv != NULL && strcmp (csv, "-") == 0)
    {
      run_print_csv (results, true, stdout);
      return ok > 0 ? 0 : 1;
    }
  run_print_text (results, stdout);
  if (csv == NULL)
    return ok > 0 ? 0 : 1;
  file = fopen (csv, "a");
  if (file == NULL)
    {
      fprintf (stderr, "rwfload: run: %s: %s\n", csv, strerror (errno));
      return 1;
    }
  run_print_csv (results, ftell (file) == 0, file);
  fclose (file);
  return ok > 0 ? 0 : 1;
}

/* Runs "rwfload run": sends requests in an open loop, at the times of a
   Poisson process, whether or not earlier ones were answered.  Returns an exit
   status.  */
int
load_run (int argc, char **argv)
{
  static const struct argp argp
      = { option_list,
          parse_option,
          NULL,
          "Sends load to running daemons and prints latency, coverage and "
          "errors.  Latency counts from the time at which a request was due.",
          NULL,
          NULL,
          NULL };
  static struct run_options options = { .profile = "gauteng",
                                        .rate = RATE_DEFAULT,
                                        .seed = 1,
                                        .duration = DURATION_DEFAULT };
  static struct run run;
  int rc = load_parse (&argp, environment, argc, argv, &options);

  if (rc != 0)
    return EXIT_USAGE;
  if (options.entry_count == 0)
    reject_option ("--entries", "none", "at least one HOST:PORT");
  signal (SIGPIPE, SIG_IGN);
  run.options = &options;
  run.results.profile = options.profile;
  run.results.seed = options.seed;
  run.results.rate = (double)options.rate;
  run.results.duration = options.duration;
  rc = start_run (&run);
  if (rc < 0)
    {
      fprintf (stderr, "rwfload: run: timer: %s\n", strerror (-rc));
      return 1;
    }
  uv_run (&run.loop, UV_RUN_DEFAULT);
  count_unanswered (&run);
  return print_results (&run);
}
