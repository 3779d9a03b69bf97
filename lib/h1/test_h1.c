#include <arpa/inet.h>
#include <unistd.h>

#include "h1.h"
#include "unit.h"

/* A loop with a server, a raw listener and a link to it.  */
struct fixture
{
  uv_loop_t loop;
  struct h1_limits limits;
  struct h1_server server;
  struct sockaddr_in server_addr;
  int listener;
  struct sockaddr_in listener_addr;
  char scratch[H1_READ_BUF_SIZE];
  struct h1_client link;
  size_t requests;
  size_t gone;
  int refused;
  struct h1_conn *conn;
  char request_body[256];
  bool answer_at_once;
  size_t idle;
  size_t replies;
  size_t lost;
  size_t finished;
  int reply_status;
  char reply_body[256];
  enum h1_reply_result verdict;
  bool send_in_reply;
  int send_result;
};

static struct fixture *current;

static void
copy (char *dst, size_t size, struct rw_str s)
{
  rw_str_copy (dst, size, s);
}

static void
on_request (void *arg, struct h1_conn *conn, const struct h1_message *message)
{
  struct fixture *f = arg;
  struct h1_reply reply = { .status = 200, .body = RW_LIT ("ok") };
  f->requests++;
  f->conn = conn;
  copy (f->request_body, sizeof f->request_body, message->body);
  if (f->answer_at_once)
    h1_conn_reply (conn, &reply);
}

static void
on_gone (void *arg, struct h1_conn *conn)
{
  struct fixture *f = arg;
  (void)conn;
  f->gone++;
}

static void
on_refused (void *arg, struct h1_conn *conn, int status)
{
  struct fixture *f = arg;
  (void)conn;
  f->refused = status;
}

static const struct h1_server_ops server_ops
    = { on_request, on_gone, on_refused };

static void
on_idle (struct h1_client *link)
{
  (void)link;
  current->idle++;
}

static enum h1_reply_result
on_reply (struct h1_client *link, const struct h1_message *reply)
{
  current->replies++;
  if (current->send_in_reply)
    current->send_result
        = h1_client_send (link, RW_LIT ("GET /early HTTP/1.1\r\n\r\n"), false);
  current->reply_status = reply->status;
  copy (current->reply_body, sizeof current->reply_body, reply->body);
  enum h1_reply_result verdict = current->verdict;
  current->verdict = H1_REPLY_ACCEPTED;
  return verdict;
}

static void
on_lost (struct h1_client *link, int code)
{
  (void)link;
  (void)code;
  current->lost++;
}

static void
on_finished (struct h1_client *link)
{
  (void)link;
  current->finished++;
}

static const struct h1_client_ops link_ops
    = { on_idle, on_reply, on_lost, on_finished };

static int
listen_on_loopback (struct sockaddr_in *addr)
{
  socklen_t len = sizeof *addr;
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  memset (addr, 0, sizeof *addr);
  addr->sin_family = AF_INET;
  addr->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)addr, sizeof *addr), 0);
  assert_int_equal (listen (fd, 4), 0);
  getsockname (fd, (struct sockaddr *)addr, &len);
  return fd;
}

static void
begin (struct fixture *f)
{
  int len = sizeof f->server_addr;
  current = f;
  f->answer_at_once = true;
  f->verdict = H1_REPLY_ACCEPTED;
  f->limits = (struct h1_limits){ 1024, 100, 5 * RW_SEC, 5 * RW_SEC };
  uv_loop_init (&f->loop);
  f->server_addr.sin_family = AF_INET;
  f->server_addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (h1_server_init (&f->server, &f->loop,
                                    (struct sockaddr *)&f->server_addr,
                                    &f->limits, 10, &server_ops, f),
                    0);
  uv_tcp_getsockname (&f->server.listener, (struct sockaddr *)&f->server_addr,
                      &len);
  f->listener = listen_on_loopback (&f->listener_addr);
}

static void
end (struct fixture *f)
{
  h1_server_stop (&f->server);
  if (f->link.ops != NULL)
    h1_client_close (&f->link);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&f->loop), 0);
  h1_server_finish (&f->server);
  close (f->listener);
}

UNIT_FIXTURE (begin, end)

#define RUN_UNTIL(condition)                                                  \
  do                                                                          \
    {                                                                         \
      uint64_t until = uv_hrtime () + 5000000000U;                            \
      while (!(condition) && uv_hrtime () < until)                            \
        {                                                                     \
          uv_run (&f->loop, UV_RUN_NOWAIT);                                   \
          usleep (200);                                                       \
        }                                                                     \
      assert_true (condition);                                                \
    }                                                                         \
  while (0)

static int
connect_to (const struct sockaddr_in *addr)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (const struct sockaddr *)addr, sizeof *addr),
                    0);
  return fd;
}

static void
say (int fd, const char *text)
{
  assert_int_equal (write (fd, text, strlen (text)), strlen (text));
}

/* Reads what has arrived on FD, or returns -1 at its end.  */
static ssize_t
hear (int fd, char *buf, size_t size)
{
  ssize_t n = recv (fd, buf, size - 1, MSG_DONTWAIT);
  buf[n > 0 ? n : 0] = '\0';
  return n;
}

/* Runs the loop until FD has said something.  */
#define HEAR(fd, buf)                                                         \
  do                                                                          \
    {                                                                         \
      ssize_t heard = -1;                                                     \
      RUN_UNTIL (heard > 0                                                    \
                 || (heard = hear ((fd), (buf), sizeof (buf))) > 0);          \
    }                                                                         \
  while (0)

/* Guards against a connection that serves one request only, and against bodies
   in chunks that are not read.  */
TEST_WITH_FIXTURE (requests_follow_each_other_on_a_connection)
{
  char buf[512];
  int fd = connect_to (&f->server_addr);
  say (fd, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
  HEAR (fd, buf);
  assert_non_null (strstr (buf, "HTTP/1.1 200 OK"));
  say (fd, "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
           "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  HEAR (fd, buf);
  assert_string_equal (f->request_body, "abcde");
  say (fd, "GET /a/ HTTP/1.1\r\n\r\nGET /b/ HTTP/1.1\r\n\r\n");
  RUN_UNTIL (f->requests == 4);
  close (fd);
}

/* Guards against work for a caller that left.  */
TEST_WITH_FIXTURE (a_caller_that_leaves_is_noticed_during_its_request)
{
  int fd = connect_to (&f->server_addr);
  f->answer_at_once = false;
  say (fd, "GET /a/ HTTP/1.1\r\n\r\n");
  RUN_UNTIL (f->requests == 1);
  close (fd);
  RUN_UNTIL (f->gone == 1);
}

/* Guards against requests that exceed the limits or cannot be read, and
   against one request smuggled inside another.  */
TEST_WITH_FIXTURE (bad_requests_are_refused)
{
  static const struct
  {
    const char *text;
    int status;
  } cases[] = {
    { "nonsense\r\n\r\n", 400 },
    { "POST /a/ HTTP/1.1\r\nContent-Length: 101\r\n\r\n", 413 },
    { "POST /a/ HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
      "65\r\n0123456789012345678901234567890123456789012345678901234567890"
      "1234567890123456789012345678901234567890\r\n0\r\n\r\n",
      413 },
    { "POST /a/ HTTP/1.1\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      400 },
    { "POST /a/ HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
      400 },
  };
  char buf[512];
  char expected[32];
  for (size_t i = 0; i < RW_ARRAY_LEN (cases); i++)
    {
      int fd = connect_to (&f->server_addr);
      say (fd, cases[i].text);
      HEAR (fd, buf);
      snprintf (expected, sizeof expected, "HTTP/1.1 %d", cases[i].status);
      assert_memory_equal (buf, expected, strlen (expected));
      assert_int_equal (f->refused, cases[i].status);
      close (fd);
    }
  char long_request[4096];
  memset (long_request, 'a', sizeof long_request);
  for (size_t i = 0; i < 5; i++)
    long_request[i] = "GET /"[i];
  int fd = connect_to (&f->server_addr);
  assert_int_equal (write (fd, long_request, sizeof long_request),
                    sizeof long_request);
  HEAR (fd, buf);
  assert_int_equal (f->refused, 431);
  close (fd);
  assert_int_equal (f->requests, 0);
}

/* Guards against a stop that leaves callers on a connection that ends.  */
TEST_WITH_FIXTURE (draining_answers_and_closes)
{
  char buf[512];
  int fd = connect_to (&f->server_addr);
  h1_server_drain (&f->server);
  say (fd, "GET /a/ HTTP/1.1\r\n\r\n");
  HEAR (fd, buf);
  assert_non_null (strstr (buf, "Connection: close"));
  ssize_t heard = -1;
  RUN_UNTIL (heard == 0 || (heard = hear (fd, buf, sizeof buf)) == 0);
  close (fd);
}

/* Accepts the link and reads its request.  */
static int
accept_link (struct fixture *f)
{
  char buf[256];
  assert_int_equal (h1_client_init (&f->link, &f->loop,
                                    (struct sockaddr *)&f->listener_addr,
                                    f->scratch, &link_ops, f),
                    0);
  RUN_UNTIL (f->idle == 1);
  int fd = accept (f->listener, NULL, NULL);
  assert_int_equal (
      h1_client_send (&f->link, RW_LIT ("GET / HTTP/1.1\r\n\r\n"), false), 0);
  HEAR (fd, buf);
  return fd;
}

/* Guards against a link that is not used again, or used again although it
   ends.  */
TEST_WITH_FIXTURE (a_link_is_reused_until_the_target_closes_it)
{
  char buf[256];
  int fd = accept_link (f);
  say (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  RUN_UNTIL (f->idle == 2);
  assert_string_equal (f->reply_body, "ab");
  h1_client_send (&f->link, RW_LIT ("GET / HTTP/1.1\r\n\r\n"), false);
  HEAR (fd, buf);
  say (fd,
       "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  RUN_UNTIL (f->lost == 1);
  assert_int_equal (f->reply_status, 503);
  assert_int_equal (f->idle, 2);
  close (fd);
}

/* Guards against an answer without length that is passed on although the
   connection was reset in its midst; libuv reports the end of the stream for
   it.  */
TEST_WITH_FIXTURE (an_answer_without_length_that_is_reset_is_lost)
{
  struct linger at_once = { 1, 0 };
  int fd = accept_link (f);
  say (fd, "HTTP/1.1 200 OK\r\n\r\nhalf of it");
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (fd);
  RUN_UNTIL (f->lost == 1);
  assert_int_equal (f->replies, 0);
}

/* Guards against an answer without length that is lost although it is
   whole.  */
TEST_WITH_FIXTURE (an_answer_without_length_ends_with_its_connection)
{
  int fd = accept_link (f);
  say (fd, "HTTP/1.1 200 OK\r\n\r\nall of it");
  close (fd);
  RUN_UNTIL (f->lost == 1);
  assert_int_equal (f->replies, 1);
  assert_string_equal (f->reply_body, "all of it");
}

/* Guards against an answer that ends early and looks complete.  */
TEST_WITH_FIXTURE (an_answer_that_ends_early_is_lost)
{
  int fd = accept_link (f);
  say (fd, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it");
  close (fd);
  RUN_UNTIL (f->lost == 1);
  assert_int_equal (f->replies, 0);
}

/* A second answer to an earlier request: guards against taking it for the
   answer of the present one.  */
TEST_WITH_FIXTURE (a_skipped_answer_is_followed_by_the_right_one)
{
  int fd = accept_link (f);
  f->verdict = H1_REPLY_SKIPPED;
  say (fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
           "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
  RUN_UNTIL (f->idle == 2);
  assert_int_equal (f->replies, 2);
  assert_string_equal (f->reply_body, "new");
  close (fd);
}

/* Guards against a request that is sent while the reply before it is handed
   over: it was forgotten when the link became idle.  */
TEST_WITH_FIXTURE (no_request_is_sent_before_the_reply_was_taken)
{
  char buf[256];
  int fd = accept_link (f);
  f->send_in_reply = true;
  say (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_UNTIL (f->idle == 2);
  assert_int_equal (f->send_result, RW_E_RANGE);
  assert_int_equal (
      h1_client_send (&f->link, RW_LIT ("GET /next HTTP/1.1\r\n\r\n"), false),
      0);
  HEAR (fd, buf);
  assert_non_null (strstr (buf, "/next"));
  assert_null (strstr (buf, "/early"));
  close (fd);
}

/* Guards against bytes of nobody's request that wait for the next one.  */
TEST_WITH_FIXTURE (bytes_without_a_request_end_the_link)
{
  int fd = accept_link (f);
  say (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_UNTIL (f->idle == 2);
  say (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_UNTIL (f->lost == 1);
  assert_int_equal (f->replies, 1);
  close (fd);
}

/* Guards against garbage that is taken for an answer.  */
TEST_WITH_FIXTURE (garbage_ends_the_link)
{
  int fd = accept_link (f);
  say (fd, "\x01\x02 nothing of the protocol\r\n\r\n");
  RUN_UNTIL (f->lost == 1);
  assert_int_equal (f->replies, 0);
  close (fd);
}

/* Guards against headers of one connection that are passed on.  */
TEST (headers_of_one_connection_are_recognized)
{
  struct h1_message message = { .header_count = 2 };
  message.headers[0]
      = (struct h1_header){ RW_LIT ("Connection"), RW_LIT ("close, X-Own") };
  message.headers[1] = (struct h1_header){ RW_LIT ("keep-alive"),
                                           RW_LIT ("timeout=7, max=3") };
  assert_true (h1_is_hop_by_hop (&message, RW_LIT ("x-own")));
  assert_true (h1_is_hop_by_hop (&message, RW_LIT ("transfer-encoding")));
  assert_false (h1_is_hop_by_hop (&message, RW_LIT ("X-Other")));
  assert_int_equal (h1_keep_alive_timeout (&message), 7 * RW_SEC);
}
