#include <argp.h>
#include <arpa/inet.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "site.h"

struct options
{
  unsigned int store_port;
  unsigned int control_port;
  unsigned int first_port; /* of the searchers */
  unsigned int shards;
  unsigned int replicas;
  unsigned int singles;    /* searchers of the service without shards */
  unsigned int timeout_ms; /* of the routes of that service */
};

static const struct argp_option option_list[] = {
  { "port", 'p', "PORT", 0, "the store's port (0: any)", 0 },
  { "control-port", 'c', "PORT", 0, "the control port (0: any)", 0 },
  { "first-port", 'f', "PORT", 0, "the first searcher's port (0: any)", 0 },
  { "shards", 's', "N", 0, "shards of the service \"shard\" (4)", 0 },
  { "replicas", 'r', "N", 0, "searchers of each shard (2)", 0 },
  { "singles", 'o', "N", 0, "searchers of the service \"one\" (2)", 0 },
  { "timeout", 't', "MS", 0, "timeout of the routes to \"one\" (2000)", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct options *o = state->input;
  unsigned int value = arg != NULL ? (unsigned int)atoi (arg) : 0;
  switch (key)
    {
    case 'p':
      o->store_port = value;
      return 0;
    case 'c':
      o->control_port = value;
      return 0;
    case 'f':
      o->first_port = value;
      return 0;
    case 's':
      o->shards = value;
      return 0;
    case 'r':
      o->replicas = value;
      return 0;
    case 'o':
      o->singles = value;
      return 0;
    case 't':
      o->timeout_ms = value;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { option_list, parse_option,
        NULL,        "Stand-ins of the platform's store and of searchers.",
        NULL,        NULL,
        NULL };

int
site_listen (struct site *site, struct h1_server *server, uint16_t port,
             const struct h1_server_ops *ops, void *arg)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  addr.sin_port = htons (port);
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return h1_server_init (server, &site->loop, (struct sockaddr *)&addr,
                         &site->limits, 2000, ops, arg);
}

uint16_t
site_server_port (const struct h1_server *server)
{
  struct sockaddr_in addr;
  int len = sizeof addr;
  uv_tcp_getsockname (&server->listener, (struct sockaddr *)&addr, &len);
  return ntohs (addr.sin_port);
}

static void
put_config (struct site *site, const struct options *o)
{
  struct rw_buf text;
  rw_buf_init (&text);
  rw_buf_printf (&text,
                 "{\"version\":1,\"routes\":[{\"name\":\"all\",\"hostname\":"
                 "\"site.example\",\"prefix\":\"/all/\",\"type\":\"safe\","
                 "\"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":1,"
                 "\"maxAttempts\":2,\"topK\":20,\"minShardShare\":0.75,"
                 "\"gather\":[");
  for (unsigned int i = 0; i < o->shards; i++)
    rw_buf_printf (&text, "%s\"shard%u\"", i > 0 ? "," : "", i);
  rw_buf_printf (&text, "]}");
  static const char *const kinds[] = { "safe", "unsafe" };
  for (size_t i = 0; i < RW_ARRAY_LEN (kinds); i++)
    rw_buf_printf (&text,
                   ",{\"name\":\"%s\",\"hostname\":\"site.example\","
                   "\"prefix\":\"/%s/\",\"type\":\"%s\",\"timeoutMs\":%u,"
                   "\"targetLatencyMs\":300,\"priority\":2,\"maxAttempts\":2,"
                   "\"service\":\"one\"}",
                   kinds[i], kinds[i], kinds[i], o->timeout_ms);
  rw_buf_printf (
      &text, "],\"services\":[{\"name\":\"one\",\"healthPath\":\"/health\","
             "\"maxConnections\":200}],\"limits\":{\"maxHeaderBytes\":"
             "16384,\"maxBodyBytes\":262144,\"headerTimeoutMs\":3000,"
             "\"idleTimeoutMs\":15000}}");
  site_put (site, "op/config", text.ptr, text.len);
  rw_buf_finish (&text);
}

static void
add_searchers (struct site *site, const struct options *o)
{
  char id[64];
  char service[64];
  unsigned int port = o->first_port;
  for (unsigned int i = 0; i < o->shards; i++)
    for (unsigned int j = 0; j < o->replicas; j++)
      {
        snprintf (id, sizeof id, "s%u-%u", i, j);
        snprintf (service, sizeof service, "shard%u", i);
        site_searcher_publish (
            site_searcher_add (site, id, service, j % 2 == 0 ? "dc-a" : "dc-b",
                               (uint16_t)port, 5 * RW_MSEC));
        port += port > 0;
      }
  for (unsigned int i = 0; i < o->singles; i++)
    {
      snprintf (id, sizeof id, "one-%u", i);
      site_searcher_publish (site_searcher_add (site, id, "one", "dc-a",
                                                (uint16_t)port, 20 * RW_MSEC));
      port += port > 0;
    }
}

int
main (int argc, char **argv)
{
  static struct site site;
  struct options options
      = { .shards = 4, .replicas = 2, .singles = 2, .timeout_ms = 2000 };
  if (argp_parse (&parser, argc, argv, 0, NULL, &options) != 0)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  uv_loop_init (&site.loop);
  site.revision = 1;
  site.drain_time = 3 * RW_SEC;
  site.limits = (struct h1_limits){ 65536, 1 << 20, 60 * RW_SEC, 60 * RW_SEC };
  rw_map_init (&site.runs);
  rw_map_init (&site.organisations);
  rw_map_init (&site.ids);
  if (site_store_init (&site, (uint16_t)options.store_port) != 0
      || site_control_init (&site, (uint16_t)options.control_port) != 0)
    {
      fprintf (stderr, "rwfsite: cannot listen\n");
      return 1;
    }
  put_config (&site, &options);
  add_searchers (&site, &options);
  site_backup (&site);
  printf ("store=%u control=%u\n", site_server_port (&site.store),
          site_server_port (&site.control));
  fflush (stdout);
  uv_run (&site.loop, UV_RUN_DEFAULT);
  return 0;
}
