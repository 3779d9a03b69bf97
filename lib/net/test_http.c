#include <fcntl.h>

#include "loop.h"

#define MAX_CALLS 8

/* The result of one call.  */
struct outcome
{
  int report_count;
  int status;
  bool sent;
  int64_t retry_after_ms;
  uint64_t version;
  struct rw_err err; /* code 0: none */
  struct rw_buf body;
};

struct fixture
{
  uv_loop_t loop;
  struct loop_handles handles;
  struct net_http http;
  struct net_client client;
  struct net_addr addr;
  struct outcome calls[MAX_CALLS];
  uint64_t held[MAX_CALLS]; /* ids of unanswered requests to /hold */
  int held_count;
  int disconnect_count;
  rw_time timeout; /* of the next calls */
  int raw_fd;      /* listening socket of a server that is not HTTP, or -1 */
};

static void
answer (struct fixture *f, uint64_t id, int status, struct rw_str body)
{
  struct net_response response = { .status = status,
                                   .content_type = "text/plain",
                                   .retry_after_ms = status == 503 ? 1500 : -1,
                                   .traceparent = RW_LIT ("tp"),
                                   .body = body };

  net_http_respond (&f->http, id, &response);
}

static void
on_request (void *arg, const struct net_request *request)
{
  struct fixture *f = arg;
  char *large;

  if (rw_str_eq_cstr (request->path, "/echo"))
    answer (f, request->id, 200, request->body);
  else if (rw_str_eq_cstr (request->path, "/header"))
    answer (f, request->id, 200, net_http_header (request, "x-deadline-ms"));
  else if (rw_str_eq_cstr (request->path, "/query"))
    answer (f, request->id, 200, request->query);
  else if (rw_str_eq_cstr (request->path, "/busy"))
    answer (f, request->id, 503, RW_LIT (""));
  else if (rw_str_eq_cstr (request->path, "/large"))
    {
      large = rw_xcalloc (1, NET_MAX_BODY_BYTES + 1);
      answer (f, request->id, 200,
              (struct rw_str){ large, NET_MAX_BODY_BYTES + 1 });
      free (large);
    }
  else
    f->held[f->held_count++] = request->id;
}

static void
on_disconnect (void *arg, uint64_t id)
{
  (void)id;
  ((struct fixture *)arg)->disconnect_count++;
}

static const struct net_http_ops OPS = { on_request, on_disconnect };

static void
on_done (void *arg, uint64_t tag, const struct net_reply *reply)
{
  struct outcome *o = &((struct fixture *)arg)->calls[tag];

  o->report_count++;
  o->status = reply->status;
  o->sent = reply->sent;
  o->retry_after_ms = reply->retry_after_ms;
  o->version = reply->version;
  if (reply->err != NULL)
    o->err = *reply->err;
  rw_buf_append_str (&o->body, reply->body);
}

static void
on_prepare (uv_prepare_t *prepare)
{
  net_client_flush (&((struct fixture *)prepare->data)->client);
}

static void
begin (struct fixture *f)
{
  struct rw_err err;

  uv_loop_init (&f->loop);
  loop_start (&f->handles, &f->loop, on_prepare, f);
  net_client_init (&f->client, &f->loop);
  net_addr_set (&f->addr, RW_LIT ("127.0.0.1"), 0);
  assert_int_equal (
      net_http_init (&f->http, &f->loop, &f->addr, &OPS, f, &err), 0);
  f->addr.port = f->http.port;
  f->timeout = WAIT;
  f->raw_fd = -1;
}

#define RUN_UNTIL(f, condition) LOOP_RUN_UNTIL (&(f)->loop, condition)

static void
end (struct fixture *f)
{
  for (int i = 0; i < f->held_count; i++)
    answer (f, f->held[i], 200, RW_LIT (""));
  net_client_finish (&f->client);
  net_http_stop (&f->http);
  RUN_UNTIL (f, f->http.server.conn_count == 0);
  net_http_finish (&f->http);
  loop_stop (&f->handles);
  loop_finish (&f->loop);
  for (int i = 0; i < MAX_CALLS; i++)
    rw_buf_finish (&f->calls[i].body);
  if (f->raw_fd >= 0)
    close (f->raw_fd);
}

UNIT_FIXTURE (begin, end)

static uint64_t
start (struct fixture *f, uint64_t tag, const char *path, struct rw_str body)
{
  struct net_call_spec spec = { .to = f->addr,
                                .max_connections = 2,
                                .timeout = f->timeout,
                                .method = "POST",
                                .path = rw_str_from (path),
                                .headers = RW_LIT ("x-deadline-ms: 50\r\n"),
                                .body = body,
                                .done = on_done,
                                .arg = f,
                                .tag = tag };

  return net_client_start (&f->client, &spec);
}

/* Starts a call and waits for its report.  */
static void
run_call (struct fixture *f, uint64_t tag, const char *path,
          struct rw_str body)
{
  start (f, tag, path, body);
  RUN_UNTIL (f, f->calls[tag].report_count == 1);
}

static bool
body_is (const struct fixture *f, int tag, const char *text)
{
  return rw_str_eq_cstr (rw_buf_str (&f->calls[tag].body), text);
}

/* Guards against headers, queries or bodies that do not arrive, and against a
   new connection for each call.  */
TEST_WITH_FIXTURE (calls_reuse_a_connection)
{
  run_call (f, 0, "/echo", RW_LIT ("body"));
  assert_int_equal (f->calls[0].err.code, 0);
  assert_int_equal (f->calls[0].status, 200);
  assert_true (body_is (f, 0, "body"));
  run_call (f, 1, "/header", RW_LIT (""));
  assert_true (body_is (f, 1, "50"));
  run_call (f, 2, "/query?after=1&wait=2", RW_LIT (""));
  assert_true (body_is (f, 2, "after=1&wait=2"));
  run_call (f, 3, "/busy", RW_LIT (""));
  assert_int_equal (f->calls[3].status, 503);
  assert_int_equal (f->calls[3].retry_after_ms, 2000);
  assert_int_equal (f->http.server.conn_count, 1);
}

/* Guards against more connections to an address than max_connections.  */
TEST_WITH_FIXTURE (connections_are_limited)
{
  start (f, 0, "/hold", RW_LIT (""));
  start (f, 1, "/hold", RW_LIT (""));
  run_call (f, 2, "/hold", RW_LIT (""));
  assert_int_equal (f->calls[2].err.code, RW_E_QUEUE_FULL);
  assert_false (f->calls[2].sent);
  RUN_UNTIL (f, f->held_count == 2);
  answer (f, f->held[1], 200, RW_LIT ("one"));
  answer (f, f->held[0], 200, RW_LIT ("zero"));
  RUN_UNTIL (f,
             f->calls[0].report_count == 1 && f->calls[1].report_count == 1);
  run_call (f, 3, "/echo", RW_LIT ("three"));
  assert_true (body_is (f, 3, "three"));
  assert_int_equal (f->http.server.conn_count, 2);
}

/* Guards against a response that is reported to another call when responses
   arrive out of order.  */
TEST_WITH_FIXTURE (responses_in_any_order_reach_their_calls)
{
  start (f, 0, "/hold", RW_LIT (""));
  RUN_UNTIL (f, f->held_count == 1);
  start (f, 1, "/hold", RW_LIT (""));
  RUN_UNTIL (f, f->held_count == 2);
  answer (f, f->held[1], 200, RW_LIT ("second"));
  RUN_UNTIL (f, f->calls[1].report_count == 1);
  assert_int_equal (f->calls[0].report_count, 0);
  answer (f, f->held[0], 200, RW_LIT ("first"));
  RUN_UNTIL (f, f->calls[0].report_count == 1);
  assert_true (body_is (f, 0, "first"));
  assert_true (body_is (f, 1, "second"));
}

/* Guards against a late response that is taken for that of the next request:
   the connection of a call that timed out must be closed.  */
TEST_WITH_FIXTURE (late_responses_are_dropped)
{
  f->timeout = 300 * RW_MSEC;
  run_call (f, 0, "/hold", RW_LIT (""));
  f->timeout = WAIT;
  assert_int_equal (f->calls[0].err.code, RW_E_DEADLINE);
  assert_string_equal (f->calls[0].err.step, "read answer");
  assert_true (f->calls[0].sent);
  assert_int_equal (f->held_count, 1);
  answer (f, f->held[0], 200, RW_LIT ("late"));
  run_call (f, 1, "/echo", RW_LIT ("own"));
  assert_true (body_is (f, 1, "own"));
  assert_int_equal (f->calls[0].report_count, 1);
}

/* Guards against a response that is dropped because the process was paused
   past the deadline while the response waited in the socket.  */
TEST_WITH_FIXTURE (responses_that_waited_during_a_pause_count)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  char buf[512];
  int fd;

  f->raw_fd = loop_listen_raw (&f->addr);
  f->timeout = 300 * RW_MSEC;
  start (f, 0, "/", RW_LIT (""));
  uv_run (&f->loop, UV_RUN_ONCE);
  fd = accept (f->raw_fd, NULL, NULL);
  RUN_UNTIL (f, recv (fd, buf, sizeof buf, MSG_DONTWAIT | MSG_PEEK) > 0);
  assert_true (recv (fd, buf, sizeof buf, 0) > 0);
  assert_int_equal (write (fd, text, strlen (text)), strlen (text));
  usleep (350 * 1000);
  RUN_UNTIL (f, f->calls[0].report_count == 1);
  assert_int_equal (f->calls[0].err.code, 0);
  assert_true (body_is (f, 0, "ok"));
  close (fd);
}

/* Guards against reports of aborted calls.  One call is aborted before its
   connection is established, one afterwards.  */
TEST_WITH_FIXTURE (aborted_calls_are_not_reported)
{
  uint64_t call = start (f, 0, "/hold", RW_LIT (""));

  assert_true (net_client_abort (&f->client, call));
  assert_false (net_client_abort (&f->client, call));
  call = start (f, 1, "/hold", RW_LIT (""));
  RUN_UNTIL (f, f->held_count >= 1);
  assert_true (net_client_abort (&f->client, call));
  run_call (f, 2, "/echo", RW_LIT ("x"));
  assert_int_equal (f->calls[0].report_count, 0);
  assert_int_equal (f->calls[1].report_count, 0);
  assert_false (net_client_abort (&f->client, call));
}

/* Guards against a failed connect that counts as sent: it would turn "not run"
   into "unknown".  */
TEST_WITH_FIXTURE (refused_connect_counts_as_unsent)
{
  f->addr.port = 1;
  run_call (f, 0, "/echo", RW_LIT (""));
  assert_int_equal (f->calls[0].err.code, RW_E_RESET);
  assert_string_equal (f->calls[0].err.step, "connect");
  assert_string_equal (f->calls[0].err.peer, "127.0.0.1:1");
  assert_false (f->calls[0].sent);
}

/* Guards against buffering of bodies above the limit, in both directions.  */
TEST_WITH_FIXTURE (oversize_bodies_are_rejected)
{
  char *large = rw_xcalloc (1, NET_MAX_BODY_BYTES + 1);

  run_call (f, 0, "/large", RW_LIT (""));
  assert_int_equal (f->calls[0].err.code, RW_E_RANGE);
  assert_string_equal (f->calls[0].err.step, "read body");
  run_call (f, 1, "/echo", (struct rw_str){ large, NET_MAX_BODY_BYTES + 1 });
  assert_int_equal (f->calls[1].status, 413);
  free (large);
}

/* Starts the call TAG, answers its connection with TEXT and closes it.  */
static void
serve_raw (struct fixture *f, uint64_t tag, const char *text)
{
  char buf[512];
  int fd;

  start (f, tag, "/", RW_LIT (""));
  uv_run (&f->loop, UV_RUN_ONCE);
  fd = accept (f->raw_fd, NULL, NULL);
  RUN_UNTIL (f, recv (fd, buf, sizeof buf, MSG_DONTWAIT | MSG_PEEK) > 0);
  assert_true (recv (fd, buf, sizeof buf, 0) > 0);
  assert_int_equal (write (fd, text, strlen (text)), strlen (text));
  close (fd);
  RUN_UNTIL (f, f->calls[tag].report_count == 1);
}

/* Guards against truncated or malformed responses that are taken for whole
   ones.  */
TEST_WITH_FIXTURE (truncated_or_malformed_responses_are_errors)
{
  static const char *const bad[]
      = { "",
          "HTTP/1.1 200 OK\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n12345",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\n123",
          "no HTTP\r\n\r\n",
          "HTTP/1.1 200 OK\r\nContent-Length: 1048577\r\n\r\n" };

  f->raw_fd = loop_listen_raw (&f->addr);
  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    {
      serve_raw (f, i, bad[i]);
      assert_true (f->calls[i].err.code < 0);
      assert_true (f->calls[i].sent);
    }
  serve_raw (f, 6,
             "HTTP/1.1 200 OK\r\nX-Version: 7\r\n"
             "Content-Length: 2\r\n\r\nok");
  assert_int_equal (f->calls[6].err.code, 0);
  assert_int_equal (f->calls[6].version, 7);
  assert_true (body_is (f, 6, "ok"));
}

#define OK "HTTP/1.1 200 OK\r\n"
#define LEN "Content-Length: 2\r\n\r\nok"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"

/* Guards against bytes that are no HTTP/1.1 and are taken for a response.
   lib/h1 has the whole grammar.  */
TEST_WITH_FIXTURE (responses_outside_the_grammar_are_errors)
{
  static const char *const bad[] = {
    "HTTP/1.1 000 OK\r\n" LEN,
    "HTTP/1.1 099 OK\r\n" LEN,
    "HTTP/1.1 600 OK\r\n" LEN,
    "HTTP/1.1 20 OK\r\n" LEN,
    "HTTP/1.1 0200 OK\r\n" LEN,
    "HTTP/1.1 101 Switching\r\nUpgrade: x\r\n\r\n",
    OK "X Y: z\r\n" LEN,
    OK "Content-Length : 2\r\n\r\nok",
    OK " X: y\r\n" LEN,
    OK "X\001: y\r\n" LEN,
    OK "X: \001\r\n" LEN,
    OK "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
    OK "Content-Length: 2\r\nTransfer-Encoding: gzip, chunked\r\n\r\nok",
    OK "Transfer-Encoding: gzip\r\n\r\nok",
    OK "Transfer-Encoding: identity\r\n\r\nok",
    OK CHUNKED "2\r\nokXX0\r\n\r\n",
    OK CHUNKED "2 z\r\nok\r\n0\r\n\r\n",
    OK CHUNKED "2\nok\r\n0\r\n\r\n",
    OK CHUNKED "2\r\nok\r\n0\r\nT x: y\r\n\r\n",
  };
  bool failed = false;

  f->raw_fd = loop_listen_raw (&f->addr);
  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    {
      f->calls[0].report_count = 0;
      f->calls[0].err.code = 0;
      serve_raw (f, 0, bad[i]);
      assert_true (f->calls[0].sent);
      if (f->calls[0].err.code >= 0)
        print_message ("taken: %s\n", bad[i]);
      failed = failed || f->calls[0].err.code >= 0;
    }
  assert_false (failed);
}

/* Guards against responses that are refused although they are sound.  */
TEST_WITH_FIXTURE (rare_responses_are_taken)
{
  static const struct
  {
    const char *text;
    int status;
  } good[] = {
    { "HTTP/1.1 200 \r\n" LEN, 200 },
    { "HTTP/1.1 299 \xc3\xa4\r\nX: \xc3\xa4\r\n" LEN, 299 },
    { "HTTP/1.1 599 Rare\r\n" LEN, 599 },
    { "HTTP/1.0 200 OK\r\n\r\nok", 200 },
    { OK CHUNKED "2;a=b\r\nok\r\n0\r\nT: x\r\n\r\n", 200 },
    { "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" OK LEN, 200 },
  };

  f->raw_fd = loop_listen_raw (&f->addr);
  for (size_t i = 0; i < RW_ARRAY_LEN (good); i++)
    {
      f->calls[0].report_count = 0;
      f->calls[0].body.len = 0;
      serve_raw (f, 0, good[i].text);
      assert_int_equal (f->calls[0].err.code, 0);
      assert_int_equal (f->calls[0].status, good[i].status);
      assert_true (body_is (f, 0, "ok"));
    }
}

/* What the buffers of the sockets take, at most.  */
#define SOCKET_BYTES (8 << 20)

/* Starts the call 0, sends HEAD and then UNIT without end, and returns how
   many bytes were taken until the call ended.  */
static size_t
flood (struct fixture *f, const char *head, const char *unit)
{
  struct rw_buf block;
  char request[512];
  size_t written = 0;
  size_t at = 0;
  int fd;

  rw_buf_init (&block);
  while (block.len < 65536)
    rw_buf_append (&block, unit, strlen (unit));
  f->calls[0].report_count = 0;
  f->calls[0].err.code = 0;
  start (f, 0, "/", RW_LIT (""));
  uv_run (&f->loop, UV_RUN_ONCE);
  fd = accept (f->raw_fd, NULL, NULL);
  RUN_UNTIL (f,
             recv (fd, request, sizeof request, MSG_DONTWAIT | MSG_PEEK) > 0);
  assert_true (recv (fd, request, sizeof request, 0) > 0);
  assert_int_equal (write (fd, head, strlen (head)), strlen (head));
  while (f->calls[0].report_count == 0
         && written <= NET_MAX_BODY_BYTES + SOCKET_BYTES)
    {
      ssize_t n = send (fd, block.ptr + at, block.len - at,
                        MSG_DONTWAIT | MSG_NOSIGNAL);

      written += n > 0 ? (size_t)n : 0;
      at = n > 0 ? (at + (size_t)n) % block.len : at;
      uv_run (&f->loop, UV_RUN_NOWAIT);
    }
  close (fd);
  RUN_UNTIL (f, f->calls[0].report_count > 0);
  rw_buf_finish (&block);
  return written;
}

/* Guards against a response without end that is kept until the deadline.  */
TEST_WITH_FIXTURE (responses_without_end_are_cut_off)
{
  static const char *const parts[][2] = {
    { "HTTP/1.1 200 ", "reason " },
    { "HTTP/1.1 200 OK\r\n", "name" },
    { "HTTP/1.1 200 OK\r\nX: ", "value" },
    { "HTTP/1.1 200 OK\r\n", "X: y\r\n" },
    { "HTTP/1.1 200 OK\r\n\r\n", "body" },
    { OK CHUNKED, "1\r\na\r\n" },
    { OK CHUNKED "2;a=", "value" },
    { OK CHUNKED "0\r\n", "T: x\r\n" },
    { "", "HTTP/1.1 103 Early Hints\r\n\r\n" },
  };
  bool failed = false;

  f->raw_fd = loop_listen_raw (&f->addr);
  for (size_t i = 0; i < RW_ARRAY_LEN (parts); i++)
    {
      size_t written = flood (f, parts[i][0], parts[i][1]);
      if (written > NET_MAX_BODY_BYTES + SOCKET_BYTES)
        print_message ("%zu bytes taken: %s%s\n", written, parts[i][0],
                       parts[i][1]);
      failed = failed || written > NET_MAX_BODY_BYTES + SOCKET_BYTES;
      assert_true (f->calls[0].err.code < 0);
    }
  assert_false (failed);
}

/* Guards against buffering of an oversize response without Content-Length.  */
TEST_WITH_FIXTURE (oversize_chunked_response_is_rejected)
{
  struct rw_buf text;
  size_t sent = 0;
  int fd;

  rw_buf_init (&text);
  rw_buf_printf (&text,
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked"
                 "\r\n\r\n%x\r\n%0*d",
                 4 * NET_MAX_BODY_BYTES, 4 * NET_MAX_BODY_BYTES, 0);
  f->raw_fd = loop_listen_raw (&f->addr);
  start (f, 0, "/", RW_LIT (""));
  uv_run (&f->loop, UV_RUN_ONCE);
  fd = accept (f->raw_fd, NULL, NULL);
  while (f->calls[0].report_count == 0)
    {
      ssize_t n = send (fd, text.ptr + sent, text.len - sent, MSG_DONTWAIT);

      sent += n > 0 ? (size_t)n : 0;
      uv_run (&f->loop, UV_RUN_ONCE);
    }
  assert_int_equal (f->calls[0].err.code, RW_E_RANGE);
  close (fd);
  rw_buf_finish (&text);
}

/* Guards against the reuse of an idle connection that the server has closed:
   the next call would fail.  */
TEST_WITH_FIXTURE (closed_idle_connections_are_not_reused)
{
  f->raw_fd = loop_listen_raw (&f->addr);
  serve_raw (f, 0, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  serve_raw (f, 1, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
  assert_int_equal (f->calls[1].err.code, 0);
}

/* Guards against a request that is sent on a connection whose end, or whose
   input without a request, has arrived but was not read: it would count as
   sent, or that input be taken for its response.  */
TEST_WITH_FIXTURE (idle_connections_with_unread_input_are_not_reused)
{
  static const char text[] = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  static const char *const late[] = { "", text };
  char buf[512];
  int fd;

  f->raw_fd = loop_listen_raw (&f->addr);
  fcntl (f->raw_fd, F_SETFL, O_NONBLOCK);
  for (size_t i = 0; i < RW_ARRAY_LEN (late); i++)
    {
      start (f, i, "/", RW_LIT (""));
      uv_run (&f->loop, UV_RUN_ONCE);
      fd = accept (f->raw_fd, NULL, NULL);
      RUN_UNTIL (f, recv (fd, buf, sizeof buf, MSG_DONTWAIT | MSG_PEEK) > 0);
      assert_int_equal (write (fd, text, strlen (text)), strlen (text));
      RUN_UNTIL (f, f->calls[i].report_count == 1);
      if (late[i][0] == '\0')
        shutdown (fd, SHUT_WR);
      else
        assert_int_equal (write (fd, late[i], strlen (late[i])),
                          strlen (late[i]));
      f->calls[i].report_count = 0;
      f->calls[i].err.code = 0;
      f->calls[i].body.len = 0;
      serve_raw (f, i, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown");
      assert_int_equal (f->calls[i].err.code, 0);
      assert_true (body_is (f, (int)i, "own"));
      close (fd);
    }
}

/* Guards against the use of a request that was freed with its connection, and
   against a second response to one request.  */
TEST_WITH_FIXTURE (responses_to_closed_connections_are_dropped)
{
  uint64_t call = start (f, 0, "/hold", RW_LIT (""));

  RUN_UNTIL (f, f->held_count == 1);
  net_client_abort (&f->client, call);
  for (int i = 0; i < 10; i++)
    uv_run (&f->loop, UV_RUN_ONCE);
  answer (f, f->held[0], 200, RW_LIT ("late"));
  answer (f, f->held[0], 200, RW_LIT ("twice"));
  RUN_UNTIL (f, f->http.server.conn_count == 0);
}
