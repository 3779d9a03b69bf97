/* A server that stops within the head of its reply and closes the connection.
   Guards against a reply that is taken for a whole one with an empty or short
   body.  */

#include <arpa/inet.h>
#include <unistd.h>

#include "h1.h"
#include "unit.h"

#define RUN_TIME_NS 5000000000U

struct fixture
{
  uv_loop_t loop;
  int listener;
  struct sockaddr_in addr;
  char read_buf[H1_READ_BUF_SIZE];
  struct h1_client client;
  size_t replies;
  size_t disconnects;
  bool closed;
};

static void
on_idle (struct h1_client *client)
{
  if (!client->request_sent)
    assert_int_equal (
        h1_client_send (client, RW_LIT ("GET /a HTTP/1.1\r\n\r\n"), false), 0);
}

static enum h1_reply_result
on_reply (struct h1_client *client, const struct h1_message *reply)
{
  struct fixture *f = client->arg;
  (void)reply;
  f->replies++;
  return H1_REPLY_ACCEPTED;
}

static void
on_disconnect (struct h1_client *client, int code)
{
  struct fixture *f = client->arg;
  (void)code;
  f->disconnects++;
}

static void
on_closed (struct h1_client *client)
{
  struct fixture *f = client->arg;
  f->closed = true;
}

static const struct h1_client_ops ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_disconnect = on_disconnect,
  .on_closed = on_closed,
};

static void
begin (struct fixture *f)
{
  socklen_t len = sizeof f->addr;
  uv_loop_init (&f->loop);
  f->listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  f->addr.sin_family = AF_INET;
  f->addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (
      bind (f->listener, (struct sockaddr *)&f->addr, sizeof f->addr), 0);
  assert_int_equal (listen (f->listener, 4), 0);
  getsockname (f->listener, (struct sockaddr *)&f->addr, &len);
}

static void
end (struct fixture *f)
{
  uv_run (&f->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&f->loop), 0);
  close (f->listener);
}

UNIT_FIXTURE (begin, end)

static void
run_once (struct fixture *f, uint64_t until)
{
  uv_run (&f->loop, UV_RUN_NOWAIT);
  assert_true (uv_hrtime () < until);
}

/* Answers a request with the LEN bytes at TEXT, and then ends the connection,
   by a reset if RESET.  Returns whether the client delivered a reply.  */
static bool
answer (struct fixture *f, const char *text, size_t len, bool reset)
{
  static const struct linger at_once = { .l_onoff = 1 };
  uint64_t until = uv_hrtime () + RUN_TIME_NS;
  char request[64];
  int fd;
  f->replies = f->disconnects = 0;
  f->closed = false;
  assert_int_equal (h1_client_init (&f->client, &f->loop,
                                    (struct sockaddr *)&f->addr, f->read_buf,
                                    &ops, f),
                    0);
  while ((fd = accept (f->listener, NULL, NULL)) < 0)
    run_once (f, until);
  while (recv (fd, request, sizeof request, MSG_DONTWAIT) <= 0)
    run_once (f, until);
  assert_int_equal (write (fd, text, len), len);
  if (reset)
    {
      /* Read before the reset, which drops what is unread.  */
      uv_run (&f->loop, UV_RUN_NOWAIT);
      setsockopt (fd, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    }
  close (fd);
  while (!f->closed)
    run_once (f, until);
  assert_int_equal (f->disconnects, 1);
  return f->replies > 0;
}

TEST_WITH_FIXTURE (a_reply_that_ends_within_its_head_is_not_delivered)
{
  static const struct
  {
    const char *interim;
    const char *head;
    const char *body;
  } replies[] = {
    { "", "HTTP/1.1 200 OK\r\nStamp: s\r\nContent-Length: 3\r\n\r\n", "abc" },
    { "", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nStamp: s\r\n\r\n", "" },
    { "", "HTTP/1.1 200 OK\r\nStamp: s\r\n\r\n", "abc" },
    { "", "HTTP/1.0 200 OK\nStamp: s\n\n", "abc" },
    { "", "HTTP/1.1 204 No Content\r\nStamp: s\r\n\r\n", "" },
    { "", "HTTP/1.1 200 OK\r\nStamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
      "3\r\nabc\r\n0\r\n\r\n" },
    { "HTTP/1.1 103 Early Hints\r\nStamp: t\r\n\r\n",
      "HTTP/1.1 200 OK\r\nStamp: s\r\nConnection: close\r\n\r\n", "abc" },
  };
  char text[512];
  for (size_t i = 0; i < RW_ARRAY_LEN (replies); i++)
    {
      size_t len
          = (size_t)snprintf (text, sizeof text, "%s%s%s", replies[i].interim,
                              replies[i].head, replies[i].body);
      size_t head_len = strlen (replies[i].interim) + strlen (replies[i].head);
      for (size_t cut = 0; cut < head_len; cut++)
        {
          assert_false (answer (f, text, cut, false));
          assert_false (answer (f, text, cut, true));
        }
      assert_true (answer (f, text, len, false));
    }
}
