#include "cost.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

#define CONCURRENT 8
#define BODY                                                                  \
  "{\"snapshot\":\"s41\",\"shard\":3,\"queries\":[{\"id\":\"1\",\"q\":"       \
  "\"lens 40mm\"}]}"

static atomic_bool over;

struct server
{
  uv_loop_t loop;
  uv_timer_t timer;
  struct net_http http;
  double cpu;
};

struct client
{
  uv_loop_t loop;
  uv_prepare_t prepare;
  struct net_client client;
  struct net_addr to;
  uint64_t done;
  uint64_t failed;
  double cpu;
};

static void
on_request (void *arg, const struct net_request *request)
{
  struct server *server = arg;
  struct net_response response = { .status = 200,
                                   .content_type = "application/json",
                                   .retry_after_ms = -1,
                                   .body = RW_LIT (BODY) };

  net_http_respond (&server->http, request->id, &response);
}

static void
on_gone (void *arg, uint64_t id)
{
  (void)arg;
  (void)id;
}

static const struct net_http_ops OPS = { on_request, on_gone };

static void
on_timer (uv_timer_t *timer)
{
  if (atomic_load (&over))
    uv_stop (timer->loop);
}

static void *
run_server (void *arg)
{
  struct server *server = arg;

  uv_run (&server->loop, UV_RUN_DEFAULT);
  server->cpu = cst_thread_time ();
  return NULL;
}

static void start_call (struct client *client);

static void
on_done (void *arg, uint64_t tag, const struct net_reply *reply)
{
  struct client *client = arg;

  (void)tag;
  client->done++;
  client->failed += reply->err != NULL ? 1 : 0;
  start_call (client);
}

static void
start_call (struct client *client)
{
  struct net_call_spec spec
      = { .to = client->to,
          .max_connections = CONCURRENT,
          .timeout = RW_SEC,
          .method = "POST",
          .path = RW_LIT ("/search"),
          .headers = RW_LIT ("content-type: application/json\r\n"
                             "x-deadline-ms: 50\r\n"),
          .body = RW_LIT (BODY),
          .done = on_done,
          .arg = client };

  if (!atomic_load (&over))
    net_client_start (&client->client, &spec);
}

static void
on_prepare (uv_prepare_t *prepare)
{
  struct client *client = prepare->data;

  net_client_flush (&client->client);
  if (atomic_load (&over))
    uv_stop (&client->loop);
}

static void *
run_client (void *arg)
{
  struct client *client = arg;

  for (int i = 0; i < CONCURRENT; i++)
    start_call (client);
  uv_run (&client->loop, UV_RUN_DEFAULT);
  client->cpu = cst_thread_time ();
  return NULL;
}

static void
init (struct server *server, struct client *client)
{
  struct rw_err err;

  uv_loop_init (&server->loop);
  uv_timer_init (&server->loop, &server->timer);
  uv_timer_start (&server->timer, on_timer, 1, 1);
  net_addr_set (&client->to, RW_LIT ("127.0.0.1"), 0);
  if (net_http_init (&server->http, &server->loop, &client->to, &OPS, server,
                     &err)
      < 0)
    abort ();
  client->to.port = server->http.port;
  uv_loop_init (&client->loop);
  uv_prepare_init (&client->loop, &client->prepare);
  client->prepare.data = client;
  uv_prepare_start (&client->prepare, on_prepare);
  net_client_init (&client->client, &client->loop);
}

/* Exchanges over loopback on connections that are reused.  */
void
cst_run_http (void)
{
  static struct server server;
  static struct client client;
  pthread_t threads[2];

  init (&server, &client);
  pthread_create (&threads[0], NULL, run_server, &server);
  pthread_create (&threads[1], NULL, run_client, &client);
  uv_sleep ((unsigned int)(5 * CST_CASE_TIME / RW_MSEC));
  atomic_store (&over, true);
  pthread_join (threads[0], NULL);
  pthread_join (threads[1], NULL);
  printf ("HTTP exchange on loopback: client %.2f us, server %.2f us "
          "(%llu exchanges, %llu failed, %zu connections)\n",
          client.cpu / (double)client.done, server.cpu / (double)client.done,
          (unsigned long long)client.done, (unsigned long long)client.failed,
          server.http.server.conn_count);
}
