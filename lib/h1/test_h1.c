#include <arpa/inet.h>
#include <unistd.h>

#include "h1.h"
#include "unit.h"

/* A loop with a server under test, a raw listening socket and a client under
   test that connects to it.  */
struct fixture
{
  uv_loop_t loop;
  struct h1_limits limits;
  struct h1_server server;
  struct sockaddr_in server_addr;
  int listener;
  struct sockaddr_in listener_addr;
  char read_buf[H1_READ_BUF_SIZE];
  struct h1_client client;
  size_t request_count;
  size_t disconnect_count;
  int rejected_status;
  struct h1_conn *conn;
  char request_body[256];
  bool answer_at_once;
  size_t idle_count;
  size_t reply_count;
  size_t interim_count;
  size_t client_disconnect_count;
  size_t client_closed_count;
  int reply_status;
  char reply_body[256];
  enum h1_reply_result result;
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
  f->request_count++;
  f->conn = conn;
  copy (f->request_body, sizeof f->request_body, message->body);
  if (f->answer_at_once)
    h1_conn_reply (conn, &reply);
}

static void
on_disconnect (void *arg, struct h1_conn *conn)
{
  struct fixture *f = arg;
  (void)conn;
  f->disconnect_count++;
}

static void
on_bad_request (void *arg, struct h1_conn *conn, int status)
{
  struct fixture *f = arg;
  (void)conn;
  f->rejected_status = status;
}

static const struct h1_server_ops server_ops
    = { .on_request = on_request,
        .on_disconnect = on_disconnect,
        .on_bad_request = on_bad_request };

static void
on_idle (struct h1_client *client)
{
  (void)client;
  current->idle_count++;
}

static enum h1_reply_result
on_reply (struct h1_client *client, const struct h1_message *reply)
{
  current->reply_count++;
  if (current->send_in_reply)
    current->send_result = h1_client_send (
        client, RW_LIT ("GET /early HTTP/1.1\r\n\r\n"), false);
  current->reply_status = reply->status;
  copy (current->reply_body, sizeof current->reply_body, reply->body);
  enum h1_reply_result result = current->result;
  current->result = H1_REPLY_ACCEPTED;
  return result;
}

static void
on_client_disconnect (struct h1_client *client, int code)
{
  (void)client;
  (void)code;
  current->client_disconnect_count++;
}

static void
on_client_closed (struct h1_client *client)
{
  (void)client;
  current->client_closed_count++;
}

static void
on_interim (struct h1_client *client, const struct h1_message *reply)
{
  assert_in_range (reply->status, 100, 199);
  (void)client;
  current->interim_count++;
}

static const struct h1_client_ops client_ops = {
  .on_idle = on_idle,
  .on_interim = on_interim,
  .on_reply = on_reply,
  .on_disconnect = on_client_disconnect,
  .on_closed = on_client_closed,
};

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
  f->result = H1_REPLY_ACCEPTED;
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
  if (f->client.ops != NULL)
    h1_client_close (&f->client);
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
send_text (int fd, const char *text)
{
  assert_int_equal (write (fd, text, strlen (text)), strlen (text));
}

/* Reads the bytes that have arrived on FD into BUF and terminates them.
   Returns their number, 0 at the end of the stream, or -1 if none arrived.  */
static ssize_t
receive (int fd, char *buf, size_t size)
{
  ssize_t n = recv (fd, buf, size - 1, MSG_DONTWAIT);
  buf[n > 0 ? n : 0] = '\0';
  return n;
}

/* Runs the loop until bytes have arrived on FD.  */
#define RECEIVE(fd, buf)                                                      \
  do                                                                          \
    {                                                                         \
      ssize_t received = -1;                                                  \
      RUN_UNTIL (received > 0                                                 \
                 || (received = receive ((fd), (buf), sizeof (buf))) > 0);    \
    }                                                                         \
  while (0)

/* Guards against a connection that serves one request only, against chunked
   bodies that are not read, and against pipelined requests that are lost.  */
TEST_WITH_FIXTURE (connection_serves_several_requests)
{
  char buf[512];
  int fd = connect_to (&f->server_addr);
  send_text (fd, "GET /a/ HTTP/1.1\r\nHost: h\r\n\r\n");
  RECEIVE (fd, buf);
  assert_non_null (strstr (buf, "HTTP/1.1 200 OK"));
  send_text (
      fd, "POST /a/ HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
          "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
  RECEIVE (fd, buf);
  assert_string_equal (f->request_body, "abcde");
  send_text (fd, "GET /a/ HTTP/1.1\r\n\r\nGET /b/ HTTP/1.1\r\n\r\n");
  RUN_UNTIL (f->request_count == 4);
  close (fd);
}

/* Guards against a stack that grows with the number of pipelined requests: one
   write of 3,640 of them ended the process.  */
TEST_WITH_FIXTURE (pipelined_requests_do_not_grow_the_stack)
{
  enum
  {
    COUNT = 3640 /* fit into one read */
  };
  struct rw_buf text;
  char buf[4096];
  int fd = connect_to (&f->server_addr);
  rw_buf_init (&text);
  for (int i = 0; i < COUNT; i++)
    rw_buf_append_str (&text, RW_LIT ("GET / HTTP/1.1\r\n\r\n"));
  assert_int_equal (write (fd, text.ptr, text.len), text.len);
  RUN_UNTIL (receive (fd, buf, sizeof buf) == 0 || f->request_count == COUNT);
  assert_int_equal (f->request_count, COUNT);
  assert_int_equal (f->rejected_status, 0);
  rw_buf_finish (&text);
  close (fd);
}

/* Guards against work for a caller that has closed its connection.  */
TEST_WITH_FIXTURE (disconnect_during_a_request_is_reported)
{
  int fd = connect_to (&f->server_addr);
  f->answer_at_once = false;
  send_text (fd, "GET /a/ HTTP/1.1\r\n\r\n");
  RUN_UNTIL (f->request_count == 1);
  close (fd);
  RUN_UNTIL (f->disconnect_count == 1);
}

/* Guards against requests that exceed the limits or are malformed, and against
   request smuggling through contradictory lengths.  */
TEST_WITH_FIXTURE (bad_requests_are_rejected)
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
      send_text (fd, cases[i].text);
      RECEIVE (fd, buf);
      snprintf (expected, sizeof expected, "HTTP/1.1 %d", cases[i].status);
      assert_memory_equal (buf, expected, strlen (expected));
      assert_int_equal (f->rejected_status, cases[i].status);
      close (fd);
    }
  char long_request[4096];
  memset (long_request, 'a', sizeof long_request);
  for (size_t i = 0; i < 5; i++)
    long_request[i] = "GET /"[i];
  int fd = connect_to (&f->server_addr);
  assert_int_equal (write (fd, long_request, sizeof long_request),
                    sizeof long_request);
  RECEIVE (fd, buf);
  assert_int_equal (f->rejected_status, 431);
  close (fd);
  assert_int_equal (f->request_count, 0);
}

/* Guards against a drain after which callers still send requests on
   connections that are about to be closed.  */
TEST_WITH_FIXTURE (draining_server_replies_and_closes)
{
  char buf[512];
  int fd = connect_to (&f->server_addr);
  h1_server_drain (&f->server);
  send_text (fd, "GET /a/ HTTP/1.1\r\n\r\n");
  RECEIVE (fd, buf);
  assert_non_null (strstr (buf, "Connection: close"));
  ssize_t received = -1;
  RUN_UNTIL (received == 0 || (received = receive (fd, buf, sizeof buf)) == 0);
  close (fd);
}

/* Connects the client, sends a request and reads it.  Returns the server's
   socket.  */
static int
start_exchange (struct fixture *f)
{
  char buf[256];
  assert_int_equal (h1_client_init (&f->client, &f->loop,
                                    (struct sockaddr *)&f->listener_addr,
                                    f->read_buf, &client_ops, f),
                    0);
  RUN_UNTIL (f->idle_count == 1);
  int fd = accept (f->listener, NULL, NULL);
  assert_int_equal (
      h1_client_send (&f->client, RW_LIT ("GET / HTTP/1.1\r\n\r\n"), false),
      0);
  RECEIVE (fd, buf);
  return fd;
}

/* Guards against a connection that is not reused, or is reused although the
   server closes it.  */
TEST_WITH_FIXTURE (client_is_reused_until_the_server_closes_it)
{
  char buf[256];
  int fd = start_exchange (f);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab");
  RUN_UNTIL (f->idle_count == 2);
  assert_string_equal (f->reply_body, "ab");
  h1_client_send (&f->client, RW_LIT ("GET / HTTP/1.1\r\n\r\n"), false);
  RECEIVE (fd, buf);
  send_text (
      fd, "HTTP/1.1 503 No\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
  RUN_UNTIL (f->client_disconnect_count == 1);
  assert_int_equal (f->reply_status, 503);
  assert_int_equal (f->idle_count, 2);
  close (fd);
}

/* Guards against the delivery of a truncated reply: libuv reports the end of
   the stream for a reset, and a reply without a length ends there.  */
TEST_WITH_FIXTURE (reset_reply_without_length_is_not_delivered)
{
  struct linger at_once = { 1, 0 };
  int fd = start_exchange (f);
  send_text (fd, "HTTP/1.1 200 OK\r\n\r\nhalf of it");
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
  close (fd);
  RUN_UNTIL (f->client_disconnect_count == 1);
  assert_int_equal (f->reply_count, 0);
}

/* Guards against a whole reply without a length that is not delivered.  */
TEST_WITH_FIXTURE (reply_without_length_ends_with_its_connection)
{
  int fd = start_exchange (f);
  send_text (fd, "HTTP/1.1 200 OK\r\n\r\nall of it");
  close (fd);
  RUN_UNTIL (f->client_disconnect_count == 1);
  assert_int_equal (f->reply_count, 1);
  assert_string_equal (f->reply_body, "all of it");
}

/* Guards against a truncated reply that is taken for a complete one.  */
TEST_WITH_FIXTURE (truncated_reply_is_not_delivered)
{
  int fd = start_exchange (f);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nhalf of it");
  close (fd);
  RUN_UNTIL (f->client_disconnect_count == 1);
  assert_int_equal (f->reply_count, 0);
}

/* Guards against a client that waits for the body of a reply to HEAD after an
   interim reply.  */
TEST_WITH_FIXTURE (reply_to_head_after_an_interim_one_has_no_body)
{
  char buf[256];
  int fd = start_exchange (f);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_UNTIL (f->idle_count == 2);
  h1_client_send (&f->client, RW_LIT ("HEAD / HTTP/1.1\r\n\r\n"), true);
  RECEIVE (fd, buf);
  send_text (fd, "HTTP/1.1 103 Early Hints\r\n\r\n"
                 "HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\n");
  RUN_UNTIL (f->reply_count == 2);
  assert_int_equal (f->interim_count, 1);
  assert_int_equal (f->client_disconnect_count, 0);
  close (fd);
}

/* Guards against an interim reply that is taken for the final one, and against
   one without a pending request, which would be taken for a reply.  */
TEST_WITH_FIXTURE (interim_replies_precede_the_reply)
{
  char buf[512];
  int fd = connect_to (&f->server_addr);
  f->answer_at_once = false;
  send_text (fd, "GET /a/ HTTP/1.1\r\n\r\n");
  RUN_UNTIL (f->request_count == 1);
  h1_conn_interim (f->conn, 102);
  RECEIVE (fd, buf);
  assert_string_equal (buf, "HTTP/1.1 102 Processing\r\n\r\n");
  h1_conn_reply (f->conn, &(struct h1_reply){ .status = 204 });
  h1_conn_interim (f->conn, 102);
  RECEIVE (fd, buf);
  assert_memory_equal (buf, "HTTP/1.1 204", 12);
  assert_null (strstr (buf, "102"));
  close (fd);
}

/* Guards against a second reply to an earlier request that is taken for the
   reply to the current one.  */
TEST_WITH_FIXTURE (client_waits_on_after_a_skipped_reply)
{
  int fd = start_exchange (f);
  f->result = H1_REPLY_SKIPPED;
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold"
                 "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nnew");
  RUN_UNTIL (f->idle_count == 2);
  assert_int_equal (f->reply_count, 2);
  assert_string_equal (f->reply_body, "new");
  close (fd);
}

/* Guards against a request that is sent within on_reply: its state was lost
   when the client became idle afterwards.  */
TEST_WITH_FIXTURE (send_within_on_reply_is_rejected)
{
  char buf[256];
  int fd = start_exchange (f);
  f->send_in_reply = true;
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_UNTIL (f->idle_count == 2);
  assert_int_equal (f->send_result, RW_E_RANGE);
  assert_int_equal (h1_client_send (&f->client,
                                    RW_LIT ("GET /next HTTP/1.1\r\n\r\n"),
                                    false),
                    0);
  RECEIVE (fd, buf);
  assert_non_null (strstr (buf, "/next"));
  assert_null (strstr (buf, "/early"));
  close (fd);
}

/* Guards against input without a request that is taken for the reply to the
   next one.  */
TEST_WITH_FIXTURE (input_without_a_request_closes_the_connection)
{
  int fd = start_exchange (f);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_UNTIL (f->idle_count == 2);
  send_text (fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  RUN_UNTIL (f->client_disconnect_count == 1);
  assert_int_equal (f->reply_count, 1);
  close (fd);
}

/* Guards against a malformed reply that is delivered.  */
TEST_WITH_FIXTURE (malformed_reply_closes_the_connection)
{
  int fd = start_exchange (f);
  send_text (fd, "\x01\x02 nothing of the protocol\r\n\r\n");
  RUN_UNTIL (f->client_disconnect_count == 1);
  assert_int_equal (f->reply_count, 0);
  close (fd);
}

/* Guards against the forwarding of hop-by-hop headers.  */
TEST (hop_by_hop_headers_are_recognized)
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
