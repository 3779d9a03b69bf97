/* Tests rwfd's sockets, settings and signals with a fake node, which this file
   defines in place of lib/node.  */

#include "rwfd.h"
#include "loop.h"

/* The fake node and the callbacks ignore most of their arguments.  */
#pragma GCC diagnostic ignored "-Wunused-parameter"

#define MAX_ACTIONS 8

struct nod_node
{
  struct nod_action actions[MAX_ACTIONS];
  size_t first;
  size_t count;
  struct rw_buf events; /* one line each */
  rw_time timeout;      /* of the last request */
  bool ready;
  bool draining;
  bool drained;
  rw_time wakeup;
};

static struct nod_node node;

struct nod_node *
nod_new (const struct nod_settings *settings, rw_time now)
{
  memset (&node, 0, sizeof node);
  node.wakeup = RW_TIME_NEVER;
  return &node;
}

void
nod_free (struct nod_node *n)
{
  rw_buf_finish (&n->events);
}

bool
nod_next_action (struct nod_node *n, struct nod_action *action)
{
  if (n->first == n->count)
    return false;
  *action = n->actions[n->first++];
  return true;
}

void
nod_action_finish (struct nod_action *action)
{
  rw_buf_finish (&action->data);
}

rw_time
nod_next_wakeup (const struct nod_node *n)
{
  return n->wakeup;
}

void
nod_tick (struct nod_node *n, rw_time now)
{
  rw_buf_printf (&n->events, "tick %s\n", now >= n->wakeup ? "due" : "early");
  n->wakeup = RW_TIME_NEVER;
}

void
nod_on_request (struct nod_node *n, uint64_t request,
                const struct nod_request *req, rw_time now)
{
  n->timeout = req->timeout;
  rw_buf_printf (&n->events, "request %llu %d %.*s %.*s %.*s %.*s\n",
                 (unsigned long long)request, (int)req->kind,
                 RW_STR_ARG (req->service), RW_STR_ARG (req->caller_class),
                 RW_STR_ARG (req->idempotency_key), RW_STR_ARG (req->body));
}

void
nod_on_caller_disconnect (struct nod_node *n, uint64_t request, rw_time now)
{
  rw_buf_printf (&n->events, "gone\n");
}

int
nod_on_datagram (struct nod_node *n, const struct nod_addr *from,
                 struct rw_str data, rw_time now, struct rw_err *err)
{
  return 0;
}

int
nod_on_record (struct nod_node *n, uint64_t stream, struct rw_str data,
               rw_time now, struct rw_err *err)
{
  return 0;
}

void
nod_on_stream_open (struct nod_node *n, uint64_t stream,
                    const struct nod_addr *addr, rw_time now)
{
}

void
nod_on_stream_closed (struct nod_node *n, uint64_t stream, rw_time now)
{
}

void
nod_on_record_unsent (struct nod_node *n, uint64_t token, rw_time now)
{
  rw_buf_printf (&n->events, "unsent %llu\n", (unsigned long long)token);
}

void
nod_on_exchange_reply (struct nod_node *n, uint64_t exchange, int status,
                       int64_t retry_after_ms, struct rw_str body, rw_time now)
{
  rw_buf_printf (&n->events, "reply %llu %d %lld %.*s\n",
                 (unsigned long long)exchange, status,
                 (long long)retry_after_ms, RW_STR_ARG (body));
}

void
nod_on_exchange_failed (struct nod_node *n, uint64_t exchange, bool sent,
                        const struct rw_err *why, rw_time now)
{
  rw_buf_printf (&n->events, "failed %llu %s %s %s\n",
                 (unsigned long long)exchange, sent ? "sent" : "unsent",
                 why->step, why->peer);
}

void
nod_on_doc (struct nod_node *n, struct rw_str key, uint64_t version,
            struct rw_str body, rw_time now)
{
  rw_buf_printf (&n->events, "doc %.*s %llu %.*s\n", RW_STR_ARG (key),
                 (unsigned long long)version, RW_STR_ARG (body));
}

void
nod_on_doc_failed (struct nod_node *n, struct rw_str key, rw_time now)
{
  rw_buf_printf (&n->events, "doc failed %.*s\n", RW_STR_ARG (key));
}

void
nod_drain (struct nod_node *n, rw_time now)
{
  n->draining = true;
}

bool
nod_drained (const struct nod_node *n)
{
  return n->drained;
}

bool
nod_ready (const struct nod_node *n, rw_time now)
{
  return n->ready;
}

int
nod_report (struct nod_node *n, struct rw_str name, struct rw_buf *out,
            rw_time now)
{
  if (!rw_str_eq_cstr (name, "status") && !rw_str_eq_cstr (name, "metrics"))
    return RW_E_NOT_FOUND;
  rw_buf_printf (out, "report %.*s\n", RW_STR_ARG (name));
  return 0;
}

/* Queues an action for the daemon.  */
static struct nod_action *
push_action (enum nod_action_kind kind, const char *data)
{
  struct nod_action *action = &node.actions[node.count++];

  memset (action, 0, sizeof *action);
  action->kind = kind;
  rw_buf_append_str (&action->data, rw_str_from (data));
  return action;
}

/* The daemon, a caller, and a server that acts as targets and platform, all in
   one event loop.  */
struct fixture
{
  struct opt_options options;
  struct rwfd rwfd;
  struct net_client caller;
  struct loop_handles handles;
  struct net_http server;
  struct rw_buf server_log; /* requests to the server, one line each */
  uint64_t held_request;    /* id of the unanswered request to /search */
  int status;               /* of the last answer to the caller */
  int64_t retry_after_ms;
  struct rw_buf answer;
};

static void
on_server_request (void *arg, const struct net_request *request)
{
  struct fixture *f = arg;
  struct rw_str deadline = net_http_header (request, "x-deadline-ms");
  struct rw_str key = net_http_header (request, "idempotency-key");
  int status = 200;

  rw_buf_printf (&f->server_log, "%.*s %.*s?%.*s %.*s %.*s %.*s\n",
                 RW_STR_ARG (request->method), RW_STR_ARG (request->path),
                 RW_STR_ARG (request->query), RW_STR_ARG (deadline),
                 RW_STR_ARG (key), RW_STR_ARG (request->body));
  if (rw_str_eq_cstr (request->path, "/search"))
    {
      f->held_request = request->id;
      return;
    }
  if (rw_str_eq_cstr (request->path, "/v1/docs/none"))
    status = 404;
  if (rw_str_eq_cstr (request->path, "/v1/docs/bad"))
    status = 500;
  rwfd_respond (&f->server, request->id, status, "text/plain", RW_LIT ("ok"));
}

static void
on_server_gone (void *arg, uint64_t id)
{
}

static const struct net_http_ops SERVER_OPS
    = { on_server_request, on_server_gone };

static void
on_answer (void *arg, uint64_t tag, const struct net_reply *reply)
{
  struct fixture *f = arg;

  f->status = reply->err != NULL ? -1 : reply->status;
  f->retry_after_ms = reply->retry_after_ms;
  f->answer.len = 0;
  rw_buf_append_str (&f->answer, reply->body);
}

static void
on_prepare (uv_prepare_t *prepare)
{
  net_client_flush (&((struct fixture *)prepare->data)->caller);
}

static int
set_up (void **state)
{
  struct fixture *f = rw_xcalloc (1, sizeof *f);
  struct net_addr addr;
  struct rw_err err;

  opt_init (&f->options);
  f->options.vm = RW_LIT ("mid-1");
  f->options.dc = RW_LIT ("midrand-a");
  f->options.addr = RW_LIT ("127.0.0.1");
  f->options.rpc_port = f->options.http_port = f->options.admin_port = 0;
  f->options.log_level = LOG_LEVEL_ERROR;
  assert_int_equal (rwfd_init (&f->rwfd, &f->options, &err), 0);
  net_client_init (&f->caller, &f->rwfd.loop);
  loop_start (&f->handles, &f->rwfd.loop, on_prepare, f);
  net_addr_set (&addr, RW_LIT ("127.0.0.1"), 0);
  assert_int_equal (
      net_http_init (&f->server, &f->rwfd.loop, &addr, &SERVER_OPS, f, &err),
      0);
  net_addr_set (&f->options.platform, RW_LIT ("127.0.0.1"), f->server.port);
  *state = f;
  return 0;
}

/* H2o keeps the connections of its servers until the process exits.  The
   fixtures must stay allocated and reachable for the leak check.  */
static struct fixture *ended[16];
static size_t ended_count;

static int
tear_down (void **state)
{
  struct fixture *f = *state;

  net_client_finish (&f->caller);
  net_http_stop (&f->server);
  loop_stop (&f->handles);
  rwfd_finish (&f->rwfd);
  rw_buf_finish (&f->server_log);
  rw_buf_finish (&f->answer);
  ended[ended_count++] = f;
  return 0;
}

#define RUN_UNTIL(f, condition) LOOP_RUN_UNTIL (&(f)->rwfd.loop, condition)

/* Sends a request to PORT and waits for its answer or an event of the node.
   Returns the status, 0 without an answer, -1 after an error.  */
static int
send_request (struct fixture *f, const struct net_http *port,
              const char *method, const char *path, const char *headers)
{
  struct net_call_spec spec = { .max_connections = 4,
                                .timeout = WAIT,
                                .method = method,
                                .path = rw_str_from (path),
                                .headers = rw_str_from (headers),
                                .body = RW_LIT ("lens"),
                                .done = on_answer,
                                .arg = f };

  net_addr_set (&spec.to, RW_LIT ("127.0.0.1"), port->port);
  f->status = 0;
  net_client_start (&f->caller, &spec);
  RUN_UNTIL (f, f->status != 0 || node.events.len > 0);
  return f->status;
}

static bool
node_saw (const char *text)
{
  return node.events.len > 0
         && memmem (node.events.ptr, node.events.len, text, strlen (text))
                != NULL;
}

static bool
server_saw (const struct fixture *f, const char *text)
{
  return f->server_log.len > 0
         && memmem (f->server_log.ptr, f->server_log.len, text, strlen (text))
                != NULL;
}

/* Guards against headers that are not passed to the node, and answers that are
   not passed to the caller.  */
TEST_WITH_FIXTURE (a_request_reaches_the_node_and_back)
{
  struct nod_action *action;

  send_request (f, &f->rwfd.callers, "POST", "/v1/once/reserve-svc",
                "X-Caller-Class: crew\r\nIdempotency-Key: k1\r\n"
                "X-Deadline-Ms: 40\r\n");
  assert_true (node_saw ("request 1 1 reserve-svc crew k1 lens\n"));
  assert_int_equal (node.timeout, 40 * RW_MSEC);
  action = push_action (NOD_ANSWER, "{\"error\":\"busy\"}");
  action->u.answer.request = 1;
  action->u.answer.status = 503;
  action->u.answer.retry_after_ms = 20;
  RUN_UNTIL (f, f->status != 0);
  assert_int_equal (f->status, 503);
  assert_int_equal (f->retry_after_ms, 1000);
  assert_true (
      rw_str_eq_cstr (rw_buf_str (&f->answer), "{\"error\":\"busy\"}"));
}

/* Guards against invalid requests that are passed to the node, and refusals
   without "ran":"no".  */
TEST_WITH_FIXTURE (invalid_requests_are_refused)
{
  static const struct
  {
    const char *method;
    const char *path;
    const char *headers;
    int status;
  } cases[] = {
    { "GET", "/v1/search/x", "", 405 },
    { "POST", "/v1/search/", "", 404 },
    { "POST", "/v1/other/x", "", 404 },
    { "POST", "/v1/once/x", "", 400 },
    { "POST", "/v1/search/x", "X-Deadline-Ms: 1.5\r\n", 400 },
    { "POST", "/v1/search/x", "X-Deadline-Ms: -1\r\n", 400 },
    { "POST", "/v1/search/x", "X-Deadline-Ms: 0\r\n", 504 },
    { "POST", "/v1/search/x", "X-Caller-Class: \303\251\r\n", 400 },
  };

  for (size_t i = 0; i < RW_ARRAY_LEN (cases); i++)
    {
      assert_int_equal (send_request (f, &f->rwfd.callers, cases[i].method,
                                      cases[i].path, cases[i].headers),
                        cases[i].status);
      assert_non_null (
          memmem (f->answer.ptr, f->answer.len, "\"ran\":\"no\"", 10));
    }
  assert_int_equal (node.events.len, 0);
}

static void
start_exchange (struct fixture *f, const char *body, uint16_t port)
{
  struct nod_action *action = push_action (NOD_START_EXCHANGE, body);

  action->u.start.exchange = 5;
  rw_str_copy (action->u.start.target, 64, RW_LIT ("pd-01"));
  rw_str_copy (action->u.start.to.host, 46, RW_LIT ("127.0.0.1"));
  action->u.start.to.port = port;
  action->u.start.timeout = 1500;
  action->u.start.timeout += RW_SEC;
  action->u.start.max_connections = 1;
}

/* Guards against an exchange that ends twice or never, and a cancel that waits
   for the connection that the cancelled exchange occupies.  */
TEST_WITH_FIXTURE (a_cancelled_exchange_ends_once)
{
  static const char body[] = "{\"queries\":[{\"id\":\"a\"},{\"id\":\"b\"}]}";

  start_exchange (f, body, f->server.port);
  RUN_UNTIL (f, f->held_request != 0);
  push_action (NOD_CANCEL_EXCHANGE, "")->u.cancel.exchange = 5;
  RUN_UNTIL (f, server_saw (f, "POST /cancel?   {\"id\":\"b\"}\n"));
  assert_true (server_saw (f, "POST /search? 1001  {"));
  assert_true (server_saw (f, "POST /cancel?   {\"id\":\"a\"}\n"));
  assert_int_equal (node.events.len, 0);
  rwfd_respond (&f->server, f->held_request, 410, "text/plain",
                RW_LIT ("gone"));
  RUN_UNTIL (f, node.events.len > 0);
  assert_true (
      rw_str_eq_cstr (rw_buf_str (&node.events), "reply 5 410 -1 gone\n"));
  assert_int_equal (f->rwfd.exchanges.len, 0);
}

/* Guards against an unreachable target that is treated as having run the
   request.  */
TEST_WITH_FIXTURE (a_refused_connection_is_unsent)
{
  start_exchange (f, "{}", 1);
  RUN_UNTIL (f, node.events.len > 0);
  assert_true (node_saw ("failed 5 unsent connect pd-01\n"));
}

static void
read_doc (const char *key, uint64_t after, rw_time wait)
{
  struct nod_action *action = push_action (NOD_READ_DOC, "");

  rw_str_copy (action->u.read_doc.key, 96, rw_str_from (key));
  action->u.read_doc.after = after;
  action->u.read_doc.wait = wait;
}

/* Guards against a missing document, an error status or an answer without a
   version that is taken for an empty document.  */
TEST_WITH_FIXTURE (documents_need_a_version)
{
  read_doc ("none", 0, 0);
  RUN_UNTIL (f, node_saw ("doc none 0 \n"));
  read_doc ("bad", 0, 0);
  RUN_UNTIL (f, node_saw ("doc failed bad\n"));
  read_doc ("map/partsdesk", 7, 2 * RW_SEC);
  RUN_UNTIL (f, node_saw ("doc failed map/partsdesk\n"));
  assert_true (
      server_saw (f, "GET /v1/docs/map/partsdesk?after=7&wait=2000 "));
}

/* Guards against a timer that expires early, which would repeat ticks, or
   never.  */
TEST_WITH_FIXTURE (ticks_come_when_they_are_due)
{
  node.wakeup = rw_now () + 1500;
  RUN_UNTIL (f, node.events.len > 0);
  assert_true (rw_str_eq_cstr (rw_buf_str (&node.events), "tick due\n"));
}

/* Guards against a tick that ends a request late although its response waited
   in a socket while the process was paused.  */
TEST_WITH_FIXTURE (sockets_are_read_before_a_late_tick)
{
  struct net_addr addr;
  char buf[512];
  int listener;
  int fd;

  net_addr_set (&addr, RW_LIT ("127.0.0.1"), 0);
  listener = loop_listen_raw (&addr);
  start_exchange (f, "{}", addr.port);
  uv_run (&f->rwfd.loop, UV_RUN_ONCE);
  fd = accept (listener, NULL, NULL);
  RUN_UNTIL (f, recv (fd, buf, sizeof buf, MSG_DONTWAIT | MSG_PEEK) > 0);
  assert_true (recv (fd, buf, sizeof buf, 0) > 0);
  node.wakeup = rw_now () + 50 * RW_MSEC;
  uv_run (&f->rwfd.loop, UV_RUN_NOWAIT);
  assert_int_equal (node.events.len, 0);
  usleep (60 * 1000);
  assert_true (dprintf (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
               > 0);
  RUN_UNTIL (f, node_saw ("tick") && node_saw ("reply"));
  assert_true (rw_str_eq_cstr (rw_buf_str (&node.events),
                               "reply 5 200 -1 ok\ntick due\n"));
  close (fd);
  close (listener);
}

/* Guards against reports on the callers' port, and answers to unknown names
   and methods.  */
TEST_WITH_FIXTURE (reports_are_on_the_admin_port)
{
  assert_int_equal (
      send_request (f, &f->rwfd.admin, "GET", "/admin/status", ""), 200);
  assert_true (rw_str_eq_cstr (rw_buf_str (&f->answer), "report status\n"));
  assert_int_equal (send_request (f, &f->rwfd.admin, "GET", "/metrics", ""),
                    200);
  assert_non_null (
      memmem (f->answer.ptr, f->answer.len, "report metrics\n# HELP", 21));
  assert_int_equal (send_request (f, &f->rwfd.admin, "GET", "/admin/x", ""),
                    404);
  assert_int_equal (
      send_request (f, &f->rwfd.admin, "GET", "/admin/metrics", ""), 404);
  assert_int_equal (
      send_request (f, &f->rwfd.admin, "POST", "/admin/status", ""), 405);
  assert_int_equal (
      send_request (f, &f->rwfd.callers, "GET", "/admin/status", ""), 404);
}

/* Guards against a stop that aborts a request in flight.  */
TEST_WITH_FIXTURE (sigterm_waits_for_requests)
{
  struct nod_action *action;

  node.ready = true;
  assert_int_equal (send_request (f, &f->rwfd.callers, "GET", "/ready", ""),
                    200);
  send_request (f, &f->rwfd.callers, "POST", "/v1/search/x", "");
  assert_true (node_saw ("request 2 0 x"));
  raise (SIGTERM);
  RUN_UNTIL (f, node.draining);
  node.drained = true;
  for (int i = 0; i < 20; i++)
    uv_run (&f->rwfd.loop, UV_RUN_ONCE);
  assert_int_equal (f->rwfd.stop_state, RWFD_DRAINING);
  action = push_action (NOD_ANSWER, "{}");
  action->u.answer.request = 2;
  action->u.answer.status = 200;
  action->u.answer.retry_after_ms = -1;
  RUN_UNTIL (f, f->status == 200);
  RUN_UNTIL (f, f->rwfd.stop_state == RWFD_LINGERING);
  assert_int_equal (f->rwfd.status, 0);
}

/* Guards against an error that lacks the flag, the variable or the valid
   values.  */
TEST (invalid_settings_are_named)
{
  static const struct
  {
    const char *variable;
    const char *value;
    const char *expected;
  } cases[] = {
    { "RWF_HTTP_PORT", "65536",
      "--http-port (RWF_HTTP_PORT): \"65536\" is invalid: "
      "expected 0 to 65535" },
    { "RWF_VM", "a b", "--vm (RWF_VM): \"a b\" is invalid" },
    { "RWF_ADDR", "localhost", "--addr (RWF_ADDR): \"localhost\"" },
    { "RWF_PLATFORM", "10.0.0.1", "--platform (RWF_PLATFORM)" },
    { "RWF_PEERS", "10.0.0.1:1,x", "--peers (RWF_PEERS)" },
    { "RWF_DRAIN_DELAY", "10s", "expected 1ms to 9s" },
    { "RWF_TRACE_SAMPLE", "1.5", "expected 0 to 1" },
    { "RWF_TRACE_SAMPLE", "nan", "expected 0 to 1" },
    { "RWF_LOG_LEVEL", "loud", "expected error, warn, info or debug" },
    { "RWF_LOG_FORMAT", "xml", "expected text or json" },
  };
  struct opt_options options;
  struct rw_err err;

  for (size_t i = 0; i < RW_ARRAY_LEN (cases); i++)
    {
      opt_init (&options);
      setenv (cases[i].variable, cases[i].value, 1);
      assert_true (opt_read_env (&options, (opt_getenv *)getenv, &err) < 0);
      unsetenv (cases[i].variable);
      assert_non_null (strstr (err.detail, cases[i].expected));
    }
}

/* Guards against a start without a required setting or with equal ports.  */
TEST (required_settings_are_checked)
{
  struct opt_options options;
  struct rw_err err;

  opt_init (&options);
  assert_true (opt_check (&options, &err) < 0);
  assert_non_null (strstr (err.detail, "--vm (RWF_VM) is required"));
  options.vm = options.dc = RW_LIT ("x");
  options.addr = RW_LIT ("127.0.0.1");
  assert_true (opt_check (&options, &err) < 0);
  assert_non_null (strstr (err.detail, "--platform"));
  options.platform.port = 1;
  assert_int_equal (opt_check (&options, &err), 0);
  options.http_port = options.rpc_port;
  assert_int_equal (opt_check (&options, &err), RW_E_RANGE);
}
