/* rwftarget: stand-in of the search targets for tests and the
   demonstration.  */

#include "target.h"

#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define DCS_MAX 8

const char *argp_program_version = "rwftarget (redwingfork) 0.1";

struct options
{
  const struct mdl_profile *profile;
  struct rw_str service;
  struct rw_str prefix;
  struct rw_str snapshot;
  char dcs[DCS_MAX][64];
  int dcs_len;
  bool warm;
  /* -1: as the profile states.  */
  int searchers;
  int replicas;
  int seed;
  int control_port;
  int delay_us;
  int time_us;
  int slots;
  int cold;
  int stragglers;
  int shed_at;
};

enum
{
  KEY_PROFILE = 256,
  KEY_SERVICE,
  KEY_PREFIX,
  KEY_SNAPSHOT,
  KEY_DCS,
  KEY_WARM,
  KEY_NUMBER /* and up: position in NUMBERS */
};

/* The options that are numbers of MIN to MAX.  */
static const struct
{
  size_t offset;
  int min;
  int max;
} numbers[] = {
  { offsetof (struct options, searchers), 1, TGT_SEARCHERS },
  { offsetof (struct options, replicas), 1, 16 },
  { offsetof (struct options, seed), 0, INT32_MAX },
  { offsetof (struct options, control_port), 0, UINT16_MAX },
  { offsetof (struct options, delay_us), 0, RW_SEC },
  { offsetof (struct options, time_us), 1, RW_SEC },
  { offsetof (struct options, slots), 1, 64 },
  { offsetof (struct options, cold), 1, 64 },
  { offsetof (struct options, stragglers), 0, 1000 },
  { offsetof (struct options, shed_at), 0, 1000 },
};

/* The numbers stand in the order of NUMBERS.  */
static const struct argp_option option_list[] = {
  { "profile", KEY_PROFILE, "NAME", 0, "gauteng (default) or seoul", 0 },
  { "service", KEY_SERVICE, "NAME", 0, "Service of the profile", 0 },
  { "prefix", KEY_PREFIX, "TEXT", 0, "Names are TEXT-01 and so on", 0 },
  { "snapshot", KEY_SNAPSHOT, "NAME", 0, "Snapshot served, default s1", 0 },
  { "dcs", KEY_DCS, "A,B", 0, "Data centres, default: the profile's", 0 },
  { "warm", KEY_WARM, NULL, 0, "Start warm", 0 },
  { "searchers", KEY_NUMBER, "N", 0, "Default: the profile's", 0 },
  { "replicas", KEY_NUMBER + 1, "N", 0, "Searchers for each shard", 0 },
  { "seed", KEY_NUMBER + 2, "N", 0, "Seed of service times, default 1", 0 },
  { "control-port", KEY_NUMBER + 3, "N", 0, "0 (default): any", 0 },
  { "delay-us", KEY_NUMBER + 4, "N", 0, "Network time of answers", 0 },
  { "time-us", KEY_NUMBER + 5, "N", 0, "Fixed service time", 0 },
  { "slots", KEY_NUMBER + 6, "N", 0, "Default: the profile's", 0 },
  { "cold", KEY_NUMBER + 7, "N", 0, "Requests that it bears when cold", 0 },
  { "stragglers", KEY_NUMBER + 8, "N", 0, "Of 1000 requests", 0 },
  { "shed-at", KEY_NUMBER + 9, "N", 0, "Requests; 0: never shed", 0 },
  { 0 },
};

static error_t
parse_number (int key, const char *arg, struct argp_state *state)
{
  size_t which = (size_t)(key - KEY_NUMBER);
  int64_t value = 0;

  if (key < KEY_NUMBER || which >= RW_ARRAY_LEN (numbers))
    return ARGP_ERR_UNKNOWN;
  if (rw_str_to_int (rw_str_from (arg), numbers[which].min, numbers[which].max,
                     &value)
      < 0)
    argp_error (state, "%s: expected a number of %d to %d", arg,
                numbers[which].min, numbers[which].max);
  *(int *)((char *)state->input + numbers[which].offset) = (int)value;
  return 0;
}

static void
parse_dcs (struct options *options, const char *text)
{
  struct rw_str rest = rw_str_from (text);

  options->dcs_len = 0;
  while (rest.len > 0 && options->dcs_len < DCS_MAX)
    rw_str_copy (options->dcs[options->dcs_len++], sizeof options->dcs[0],
                 rw_str_token (&rest, ","));
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct options *options = state->input;

  switch (key)
    {
    case KEY_PROFILE:
      options->profile = mdl_profile (rw_str_from (arg));
      if (options->profile == NULL)
        argp_error (state, "%s: expected gauteng or seoul", arg);
      return 0;
    case KEY_SERVICE:
      options->service = rw_str_from (arg);
      return 0;
    case KEY_PREFIX:
      options->prefix = rw_str_from (arg);
      return 0;
    case KEY_SNAPSHOT:
      options->snapshot = rw_str_from (arg);
      return 0;
    case KEY_DCS:
      parse_dcs (options, arg);
      return 0;
    case KEY_WARM:
      options->warm = true;
      return 0;
    default:
      return parse_number (key, arg, state);
    }
}

static const struct mdl_service *
find_service (const struct options *options)
{
  const struct mdl_profile *profile = options->profile;

  for (size_t i = 0; profile != NULL && i < profile->service_count; i++)
    if (options->service.len == 0
        || rw_str_eq_cstr (options->service, profile->service[i].name))
      return &profile->service[i];
  fprintf (stderr, "rwftarget: %.*s: not a service of the profile\n",
           RW_STR_ARG (options->service));
  exit (1);
}

/* Completes OPTIONS from the profile.  */
static struct mdl_config
configure (struct options *options, const struct mdl_service *service)
{
  struct mdl_config config = service->config;

  if (options->searchers < 0)
    options->searchers = service->instances * service->searchers;
  if (options->replicas < 0)
    options->replicas = service->replicas;
  if (options->replicas > options->searchers)
    options->replicas = options->searchers;
  if (options->dcs_len == 0)
    for (int i = 0; i < 3; i++)
      rw_str_copy (options->dcs[options->dcs_len++], sizeof options->dcs[0],
                   rw_str_from (options->profile->dcs[i]));
  if (options->time_us > 0)
    config.service_time
        = (struct mdl_time){ MDL_TIME_FIXED, { .value = options->time_us } };
  if (options->slots > 0)
    config.slots = options->slots;
  if (options->cold > 0)
    config.cold_capacity = options->cold;
  if (options->stragglers >= 0)
    config.straggler_share = options->stragglers / 1000.0;
  if (options->shed_at >= 0)
    config.shed_at = options->shed_at;
  return config;
}

/* Prepares searcher NUMBER.  The replicas of a shard are in different data
   centres as far as there are enough.  */
static void
add_searcher (struct tgt *tgt, struct srv_server *server, int number,
              const struct options *options, const struct mdl_config *config)
{
  struct tgt_searcher *searcher = &tgt->searchers[number];
  int shard = number % tgt->shards;
  int replica = number / tgt->shards;

  searcher->tgt = tgt;
  searcher->shard = shard;
  searcher->dc = options->dcs[(shard + replica) % options->dcs_len];
  searcher->lie_load = TGT_NO_LIE;
  snprintf (searcher->name, sizeof searcher->name, "%.*s-%02d",
            RW_STR_ARG (options->prefix), number + 1);
  rw_str_copy (searcher->snapshot, sizeof searcher->snapshot,
               options->snapshot);
  mdl_searcher_init (&searcher->model, config,
                     rw_hash_u64 ((uint64_t)options->seed, (uint64_t)number));
  if (options->warm)
    mdl_warm (&searcher->model);
  srv_check (srv_listen (server, &searcher->listener, "127.0.0.1", 0,
                         tgt_on_request, searcher),
             "bind port");
  searcher->listener.accepts = tgt_accepts;
  searcher->listener.max_connections = config->max_connections;
  searcher->listener.connect_delay
      = (uint64_t)(config->connect_time / RW_MSEC);
}

/* Appends the document map/SERVICE for SNAPSHOT to OUT.  */
void
tgt_print_map (const struct tgt *tgt, const char *snapshot, struct rw_buf *out)
{
  rw_buf_printf (out, "{\"service\":\"%s\",\"snapshot\":\"%s\",\"shards\":[",
                 tgt->service, snapshot);
  for (int shard = 0; shard < tgt->shards; shard++)
    {
      rw_buf_printf (out, "%s[", shard > 0 ? "," : "");
      for (int i = shard; i < tgt->searchers_len; i += tgt->shards)
        rw_buf_printf (out, "%s\"%s\"", i > shard ? "," : "",
                       tgt->searchers[i].name);
      rw_buf_printf (out, "]");
    }
  rw_buf_printf (out, "],\"targets\":[");
  for (int i = 0; i < tgt->searchers_len; i++)
    rw_buf_printf (out,
                   "%s{\"name\":\"%s\",\"dc\":\"%s\",\"addr\":\"127.0.0.1\","
                   "\"port\":%d}",
                   i > 0 ? "," : "", tgt->searchers[i].name,
                   tgt->searchers[i].dc, tgt->searchers[i].listener.port);
  rw_buf_printf (out, "]}");
}

/* Prints what the starter of this process needs: ports and map.  */
static void
announce (const struct tgt *tgt, const struct srv_listener *control,
          const struct options *options)
{
  struct rw_buf out;

  rw_buf_init (&out);
  tgt_print_map (tgt, tgt->searchers[0].snapshot, &out);
  printf ("control %d\nmap %.*s\nready %d\n", control->port,
          RW_STR_ARG (rw_buf_str (&out)), options->searchers);
  fflush (stdout);
  rw_buf_finish (&out);
}

static void
start (struct tgt *tgt, struct srv_server *server,
       struct srv_listener *control)
{
  srv_check (tgt_init_timer (tgt), "timer");
  srv_check (srv_start (server, control), "listen");
  for (int i = 0; i < tgt->searchers_len; i++)
    srv_check (srv_start (server, &tgt->searchers[i].listener), "listen");
  srv_stop_on_signals (tgt->loop);
}

int
main (int argc, char **argv)
{
  static const struct argp argp
      = { .options = option_list,
          .parser = parse_option,
          .doc = "Serves many searchers on loopback and prints their map." };
  static struct tgt tgt;
  static struct srv_server server;
  static struct srv_listener control;
  static struct options options = { .searchers = -1,
                                    .replicas = -1,
                                    .seed = 1,
                                    .time_us = -1,
                                    .slots = -1,
                                    .cold = -1,
                                    .stragglers = -1,
                                    .shed_at = -1 };
  const struct mdl_service *service;
  struct mdl_config config;

  options.profile = mdl_profile (RW_LIT ("gauteng"));
  options.prefix = RW_LIT ("t");
  options.snapshot = RW_LIT ("s1");
  argp_parse (&argp, argc, argv, 0, NULL, &options);
  signal (SIGPIPE, SIG_IGN);
  service = find_service (&options);
  config = configure (&options, service);
  tgt.loop = uv_default_loop ();
  tgt.delay = options.delay_us;
  tgt.shards = options.searchers / options.replicas;
  tgt.searchers_len = tgt.shards * options.replicas;
  tgt.searchers
      = rw_xcalloc ((size_t)tgt.searchers_len, sizeof *tgt.searchers);
  tgt.once = rw_xcalloc (TGT_ONCE_KEYS, sizeof *tgt.once);
  rw_heap_init (&tgt.answers);
  rw_str_copy (tgt.service, sizeof tgt.service, rw_str_from (service->name));
  srv_init (&server, tgt.loop);
  srv_check (srv_listen (&server, &control, "127.0.0.1", options.control_port,
                         tgt_on_control, &tgt),
             "bind control port");
  for (int i = 0; i < tgt.searchers_len; i++)
    add_searcher (&tgt, &server, i, &options, &config);
  start (&tgt, &server, &control);
  announce (&tgt, &control, &options);
  uv_run (tgt.loop, UV_RUN_DEFAULT);
  return 0;
}
