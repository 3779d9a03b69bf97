/* Bytes without end from a server in trouble: in a head, in a body, or in
   replies that answer nothing.  The client closes the connection after few
   bytes, whatever they are, and all clients together buffer a bounded amount.
 */

#include <arpa/inet.h>
#include <fcntl.h>
#include <unistd.h>

#include "h1.h"
#include "unit.h"

#define MAX_CLIENTS 16
#define MAX_BODY_BYTES 100000
/* What is in the buffers of the sockets when the client closes, at most.  */
#define SOCKET_BYTES (8 << 20)
#define RUN_TIME_NS 5000000000U

struct fixture
{
  uv_loop_t loop;
  int listener;
  struct sockaddr_in addr;
  char read_buf[H1_READ_BUF_SIZE];
  struct h1_client clients[MAX_CLIENTS];
  int fds[MAX_CLIENTS]; /* of the server's side */
  size_t count;
  size_t ended;
  size_t replies;
  size_t most_buffered;
  struct h1_budget budget;
  enum h1_reply_result result;
};

static struct fixture *current;

static void
on_idle (struct h1_client *client)
{
  (void)client;
}

static enum h1_reply_result
on_reply (struct h1_client *client, const struct h1_message *reply)
{
  (void)client;
  (void)reply;
  current->replies++;
  return current->result;
}

static void
on_disconnect (struct h1_client *client, int code)
{
  (void)client;
  (void)code;
  current->ended++;
}

static void
on_closed (struct h1_client *client)
{
  (void)client;
}

static const struct h1_client_ops client_ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_disconnect = on_disconnect,
  .on_closed = on_closed,
};

static void
begin (struct fixture *f)
{
  socklen_t len = sizeof f->addr;
  current = f;
  f->result = H1_REPLY_SKIPPED;
  uv_loop_init (&f->loop);
  f->listener = socket (AF_INET, SOCK_STREAM, 0);
  f->addr.sin_family = AF_INET;
  f->addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (
      bind (f->listener, (struct sockaddr *)&f->addr, sizeof f->addr), 0);
  assert_int_equal (listen (f->listener, MAX_CLIENTS), 0);
  getsockname (f->listener, (struct sockaddr *)&f->addr, &len);
}

static void
end (struct fixture *f)
{
  for (size_t i = 0; i < f->count; i++)
    {
      h1_client_close (&f->clients[i]);
      close (f->fds[i]);
    }
  uv_run (&f->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&f->loop), 0);
  close (f->listener);
  assert_int_equal (f->budget.used, 0);
}

UNIT_FIXTURE (begin, end)

/* Connects COUNT clients and lets each send a request.  */
static void
connect_all (struct fixture *f, size_t count)
{
  f->count = count;
  f->budget.max = 4 * MAX_BODY_BYTES;
  for (size_t i = 0; i < count; i++)
    {
      struct h1_client *client = &f->clients[i];
      assert_int_equal (h1_client_init (client, &f->loop,
                                        (struct sockaddr *)&f->addr,
                                        f->read_buf, &client_ops, f),
                        0);
      h1_client_limit (client, MAX_BODY_BYTES, &f->budget);
      while (client->state == H1_CLIENT_CONNECTING)
        uv_run (&f->loop, UV_RUN_NOWAIT);
      f->fds[i] = accept (f->listener, NULL, NULL);
      fcntl (f->fds[i], F_SETFL, O_NONBLOCK);
      h1_client_send (client, RW_LIT ("GET / HTTP/1.1\r\n\r\n"), false);
    }
}

/* Sends HEAD once and then UNIT again and again to all clients, until they
   have ended.  Returns the bytes that were written.  */
static size_t
flood (struct fixture *f, const char *head, const char *unit)
{
  size_t written = 0;
  size_t unit_len = strlen (unit);
  char block[8192];
  size_t len = 0;
  uint64_t until = uv_hrtime () + RUN_TIME_NS;
  while (len + unit_len <= sizeof block)
    {
      for (size_t i = 0; i < unit_len; i++)
        block[len + i] = unit[i];
      len += unit_len;
    }
  for (size_t i = 0; i < f->count; i++)
    written += (size_t)write (f->fds[i], head, strlen (head));
  size_t done[MAX_CLIENTS] = { 0 }; /* bytes of the block that were written */
  while (f->ended < f->count && uv_hrtime () < until)
    {
      size_t buffered = 0;
      for (size_t i = 0; i < f->count; i++)
        {
          ssize_t n = write (f->fds[i], block + done[i], len - done[i]);
          if (n > 0)
            {
              written += (size_t)n;
              done[i] = (done[i] + (size_t)n) % len;
            }
        }
      uv_run (&f->loop, UV_RUN_NOWAIT);
      for (size_t i = 0; i < f->count; i++)
        buffered
            += f->clients[i].reader.head.cap + f->clients[i].reader.body.cap;
      if (buffered > f->most_buffered)
        f->most_buffered = buffered;
    }
  assert_int_equal (f->ended, f->count);
  return written;
}

/* Guards against a reply head without end.  */
TEST_WITH_FIXTURE (a_head_without_end)
{
  connect_all (f, 1);
  assert_true (flood (f, "HTTP/1.1 200 OK\r\n", "X-A: b\r\n") < SOCKET_BYTES);
  assert_int_equal (f->replies, 0);
}

/* Guards against a single header without end.  */
TEST_WITH_FIXTURE (a_header_without_end)
{
  connect_all (f, 1);
  assert_true (flood (f, "HTTP/1.1 200 OK\r\nX-A: ", "aaaaaaaa")
               < SOCKET_BYTES);
}

/* Guards against a body without end, with no length or in chunks.  */
TEST_WITH_FIXTURE (a_body_without_end)
{
  connect_all (f, 1);
  assert_true (flood (f, "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa")
               < MAX_BODY_BYTES + SOCKET_BYTES);
  assert_true (f->most_buffered < 4 * MAX_BODY_BYTES);
}

TEST_WITH_FIXTURE (chunks_without_end)
{
  connect_all (f, 1);
  assert_true (flood (f,
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
                      "8\r\naaaaaaaa\r\n")
               < 2 * MAX_BODY_BYTES + SOCKET_BYTES);
}

/* Guards against interim replies without end: none of them is buffered, and
   each begins anew.  */
TEST_WITH_FIXTURE (interim_replies_without_end)
{
  connect_all (f, 1);
  assert_true (flood (f, "", "HTTP/1.1 102 Processing\r\n\r\n")
               < 2 * MAX_BODY_BYTES + SOCKET_BYTES);
  assert_int_equal (f->replies, 0);
}

/* Guards against complete replies without end that answer other requests.  */
TEST_WITH_FIXTURE (replies_to_other_requests_without_end)
{
  connect_all (f, 1);
  assert_true (flood (f, "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nxx")
               < 2 * MAX_BODY_BYTES + SOCKET_BYTES);
}

/* Sends HEAD and then UNIT without end to a client, which must close within
   the limits of a head and of a body, and deliver nothing.  */
static void
check_flood (struct fixture *f, const char *head, const char *unit)
{
  connect_all (f, 1);
  f->ended = f->most_buffered = 0;
  size_t written = flood (f, head, unit);
  if (written >= 2 * MAX_BODY_BYTES + SOCKET_BYTES)
    print_message ("%zu bytes: %s%.20s\n", written, head, unit);
  assert_true (written < 2 * MAX_BODY_BYTES + SOCKET_BYTES);
  assert_true (f->most_buffered < 4 * MAX_BODY_BYTES);
  assert_int_equal (f->replies, 0);
  close (f->fds[0]);
  f->count = 0;
  uv_run (&f->loop, UV_RUN_DEFAULT);
}

/* Guards against bytes without end in each place of a head.  */
TEST_WITH_FIXTURE (each_place_of_a_head)
{
  static const char *const heads[][2] = {
    { "", "aaaaaaaa" },
    { "", "\r\n" },
    { "", "HTTP/1.1" },
    { "HTTP/1.", "1" },
    { "HTTP/1.1", "    " },
    { "HTTP/1.1 ", "2" },
    { "HTTP/1.1 200", "    " },
    { "HTTP/1.1 200 ", "reason " },
    { "HTTP/1.1 200 OK", "\r" },
    { "HTTP/1.1 200 OK\r\n", "name" },
    { "HTTP/1.1 200 OK\r\n", "    " },
    { "HTTP/1.1 200 OK\r\nX", "    " },
    { "HTTP/1.1 200 OK\r\nX:", "    " },
    { "HTTP/1.1 200 OK\r\nX: ", "value" },
    { "HTTP/1.1 200 OK\r\nX: y", "    " },
    { "HTTP/1.1 200 OK\r\nX: y\r\n", " z\r\n" },
    { "HTTP/1.1 200 OK\r\nContent-Length: ", "0" },
    { "HTTP/1.1 200 OK\r\nContent-Length: ", "9" },
    { "HTTP/1.1 200 OK\r\n", "Content-Length: 9\r\n" },
    { "HTTP/1.1 200 OK\r\n", ":\r\n" },
    { "HTTP/1.1 200 OK\r\n", "X:\r\n" },
    { "HTTP/1.1 103 Early Hints\r\n", "X: y\r\n" },
  };
  for (size_t i = 0; i < RW_ARRAY_LEN (heads); i++)
    check_flood (f, heads[i][0], heads[i][1]);
}

/* Guards against bytes without end in each place of a body.  */
TEST_WITH_FIXTURE (each_place_of_a_body)
{
#define CHUNKED "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
#define LONG                                                                  \
  "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefghijklmnop"      \
  "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefghijklmnop"      \
  "abcdefghijklmnopqrstuvwxyzabcdefghijklmnopqrstuvwxyzabcdefghijklmnop"
  static const char *const bodies[][2] = {
    { "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "a" },
    { CHUNKED, "aaaaaaaa" },
    { CHUNKED, "0" },
    { CHUNKED, "\r\n" },
    { CHUNKED "3", "    " },
    { CHUNKED "3;", "    " },
    { CHUNKED "3;", "name" },
    { CHUNKED "3;a=", "value" },
    { CHUNKED "3;a=\"", "value " },
    { CHUNKED "3", ";a=b" },
    { CHUNKED, "1;" LONG "\r\na\r\n" },
    { CHUNKED, "00000000000000000000000000000000001\r\na\r\n" },
    { CHUNKED "0\r\n", "name" },
    { CHUNKED "0\r\nT: ", "value" },
    { CHUNKED "0\r\n", "T: trailer\r\n" },
    { CHUNKED "3\r\nabc", "de" },
    { CHUNKED "5F5E0FF\r\n", "a" },
  };
  for (size_t i = 0; i < RW_ARRAY_LEN (bodies); i++)
    check_flood (f, bodies[i][0], bodies[i][1]);
}

/* Guards against many servers in trouble at once: each stays below its limit,
   and all together would fill the memory.  */
TEST_WITH_FIXTURE (many_bodies_without_end)
{
  connect_all (f, MAX_CLIENTS);
  flood (f, "HTTP/1.1 200 OK\r\n\r\n", "aaaaaaaa");
  /* A buffer may have twice the size of what it holds.  */
  assert_true (f->most_buffered <= 2 * f->budget.max + MAX_CLIENTS * 8192);
}
