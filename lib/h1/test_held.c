/* What a server holds for callers that send and do not finish, or send ahead
   and do not read.  */

#include <arpa/inet.h>
#include <unistd.h>

#include "h1.h"
#include "unit.h"

#define MAX_BYTES 400000
#define BODY_BYTES 100000
#define MAX_CONNS 6
#define RUN_TIME_NS 5000000000U

struct fixture
{
  uv_loop_t loop;
  struct acc_account account;
  struct h1_limits limits;
  struct h1_server server;
  struct sockaddr_in addr;
  struct rw_str reply; /* body of all replies */
  bool is_late;        /* replies are sent by answer_late */
  struct h1_conn *late[MAX_CONNS];
  size_t late_count;
  size_t requests;
  struct acc_blob *shared; /* body of the last request */
  bool is_sharing;
  struct rw_str shared_body;
  size_t drops[ACC_CAUSE_COUNT];
  int drop_status; /* of the last drop */
};

static void
on_request (void *arg, struct h1_conn *conn, const struct h1_message *request)
{
  struct fixture *f = arg;
  struct h1_reply reply = { .status = 200, .body = f->reply };
  f->requests++;
  if (f->is_late)
    {
      f->late[f->late_count++] = conn;
      return;
    }
  if (f->is_sharing)
    {
      f->shared = h1_message_share_body (request, &f->account);
      f->shared_body = request->body;
    }
  h1_conn_reply (conn, &reply);
}

static void
on_drop (void *arg, struct h1_conn *conn, enum acc_cause cause, int status)
{
  struct fixture *f = arg;
  (void)conn;
  f->drops[cause]++;
  f->drop_status = status;
}

static const struct h1_server_ops ops
    = { .on_request = on_request, .on_drop = on_drop };

static void
begin (struct fixture *f)
{
  int len = sizeof f->addr;
  f->limits = (struct h1_limits){ 1024, BODY_BYTES, 60 * RW_SEC, 60 * RW_SEC };
  f->reply = RW_LIT ("ok");
  acc_init (&f->account, MAX_BYTES, 100);
  uv_loop_init (&f->loop);
  f->addr.sin_family = AF_INET;
  f->addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (h1_server_init (&f->server, &f->loop,
                                    (struct sockaddr *)&f->addr, &f->limits,
                                    MAX_CONNS, &ops, f),
                    0);
  h1_server_set_account (&f->server, &f->account, 0, 0);
  uv_tcp_getsockname (&f->server.listener, (struct sockaddr *)&f->addr, &len);
}

static void
end (struct fixture *f)
{
  h1_server_stop (&f->server);
  uv_run (&f->loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (&f->loop), 0);
  h1_server_finish (&f->server);
  assert_int_equal (f->account.used, 0);
  assert_int_equal (f->account.places, 0);
}

UNIT_FIXTURE (begin, end)

static void
run (struct fixture *f)
{
  for (int i = 0; i < 200; i++)
    {
      uv_run (&f->loop, UV_RUN_NOWAIT);
      usleep (100);
    }
}

static int
open_conn (struct fixture *f)
{
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  assert_int_equal (connect (fd, (struct sockaddr *)&f->addr, sizeof f->addr),
                    0);
  return fd;
}

static void
send_text (int fd, const char *text)
{
  assert_int_equal (write (fd, text, strlen (text)), strlen (text));
}

/* Sends LEN bytes of a body of BODY_BYTES.  */
static void
send_body (struct fixture *f, int fd, size_t len)
{
  char *body = rw_xcalloc (1, len);
  char head[80];
  snprintf (head, sizeof head, "POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n",
            BODY_BYTES);
  send_text (fd, head);
  for (size_t sent = 0; sent < len;)
    {
      ssize_t n = write (fd, body + sent, len - sent);
      assert_true (n > 0);
      sent += (size_t)n;
      uv_run (&f->loop, UV_RUN_NOWAIT);
    }
  free (body);
}

/* Reads what has arrived; returns whether it begins with TEXT.  */
static bool
receives (int fd, const char *text)
{
  char buf[256] = "";
  ssize_t n = recv (fd, buf, sizeof buf - 1, MSG_DONTWAIT);
  return n > 0 && strncmp (buf, text, strlen (text)) == 0;
}

/* Guards against bodies that are kept until the memory is used up, and against
   a caller that finds no place beside those that stay.  */
TEST_WITH_FIXTURE (unfinished_bodies_make_room_for_others)
{
  int fds[5];
  for (int i = 0; i < 5; i++)
    {
      fds[i] = open_conn (f);
      send_body (f, fds[i], BODY_BYTES - 1);
      run (f);
      assert_true (f->account.used <= MAX_BYTES);
    }
  assert_true (f->drops[ACC_FOR_MEMORY] > 0);
  assert_int_equal (f->drop_status, 503);
  assert_true (receives (fds[0], "HTTP/1.1 503"));
  int own = open_conn (f);
  send_body (f, own, BODY_BYTES);
  run (f);
  assert_true (receives (own, "HTTP/1.1 200"));
  assert_int_equal (f->requests, 1);
  for (int i = 0; i < 5; i++)
    close (fds[i]);
  close (own);
}

/* Guards against answers that pile up for a caller that does not read, and
   against requests that are run for it meanwhile.  */
TEST_WITH_FIXTURE (requests_sent_ahead_wait_for_a_reader)
{
  size_t size = (size_t)8 << 20; /* more than the kernel takes */
  char *body = rw_xcalloc (1, size);
  int fd = open_conn (f);
  f->account.max = 4 * size;
  f->reply = (struct rw_str){ body, size };
  for (int i = 0; i < 20; i++)
    send_text (fd, "GET / HTTP/1.1\r\n\r\n");
  run (f);
  assert_int_equal (f->requests, 1);
  assert_true (f->account.used <= size + H1_READ_BUF_SIZE);
  for (size_t got = 0; f->requests < 2 && got < 2 * size;)
    {
      static char buf[65536];
      ssize_t n = recv (fd, buf, sizeof buf, MSG_DONTWAIT);
      got += n > 0 ? (size_t)n : 0;
      uv_run (&f->loop, UV_RUN_NOWAIT);
    }
  assert_int_equal (f->requests, 2);
  close (fd);
  run (f);
  free (body);
}

/* Guards against unread answers that are kept beyond the memory.  */
TEST_WITH_FIXTURE (unread_answers_count)
{
  size_t size = (size_t)8 << 20;
  char *body = rw_xcalloc (1, size);
  int fds[4];
  f->account.max = size + size / 2;
  f->reply = (struct rw_str){ body, size };
  for (int i = 0; i < 4; i++)
    {
      fds[i] = open_conn (f);
      send_text (fds[i], "GET / HTTP/1.1\r\n\r\n");
      run (f);
      assert_true (f->account.used <= f->account.max);
    }
  assert_true (f->drops[ACC_FOR_MEMORY] >= 2);
  assert_int_equal (f->drop_status, 0);
  for (int i = 0; i < 4; i++)
    close (fds[i]);
  free (body);
}

/* Answers the requests of which the replies are late.  */
static void
answer_late (struct fixture *f)
{
  struct h1_reply reply = { .status = 200, .body = f->reply };
  for (size_t i = 0; i < f->late_count; i++)
    h1_conn_reply (f->late[i], &reply);
  f->late_count = 0;
}

/* Lets four callers ask for a last reply that they do not read.  */
static void
check_unread_last (struct fixture *f, bool is_late)
{
  size_t size = (size_t)8 << 20;
  char *body = rw_xcalloc (1, size);
  int fds[4];
  f->account.max = size + size / 2;
  f->reply = (struct rw_str){ body, size };
  f->is_late = is_late;
  for (int i = 0; i < 4; i++)
    {
      fds[i] = open_conn (f);
      send_text (fds[i], "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
      run (f);
      answer_late (f);
      assert_true (f->account.used <= f->account.max);
    }
  assert_int_equal (f->requests, 4);
  for (int i = 0; i < 4; i++)
    close (fds[i]);
  free (body);
}

/* Guards against last replies that are not read and are kept beyond the
   memory, as their connections are ending.  */
TEST_WITH_FIXTURE (unread_last_answers_count) { check_unread_last (f, false); }

TEST_WITH_FIXTURE (unread_last_answers_that_come_late_count)
{
  check_unread_last (f, true);
}

/* Guards against an ending connection that is chosen again and again and so
   keeps the memory of all others from being freed.  */
TEST_WITH_FIXTURE (ending_connections_do_not_keep_others)
{
  int ending = open_conn (f);
  int silent = open_conn (f);
  send_text (ending, "GET / HTTP/1.1\r\nConnection: close\r\n\r\n");
  run (f);
  assert_int_equal (f->server.conn_count, 2);
  f->account.max = f->account.used;
  assert_true (acc_make_room (&f->account, 1, 0));
  close (ending);
  close (silent);
}

/* Guards against silent connections that keep all others out.  */
TEST_WITH_FIXTURE (silent_connections_make_place)
{
  int fds[MAX_CONNS + 1];
  for (int i = 0; i <= MAX_CONNS; i++)
    {
      fds[i] = open_conn (f);
      usleep (2000);
      run (f);
    }
  assert_int_equal (f->server.conn_count, MAX_CONNS);
  assert_int_equal (f->drops[ACC_FOR_PLACE], 1);
  send_text (fds[MAX_CONNS], "GET / HTTP/1.1\r\n\r\n");
  run (f);
  assert_true (receives (fds[MAX_CONNS], "HTTP/1.1 200"));
  assert_int_equal (recv (fds[0], &(char){ 0 }, 1, MSG_DONTWAIT), 0);
  for (int i = 0; i <= MAX_CONNS; i++)
    close (fds[i]);
}

/* Guards against a body that is freed or counted twice while its request goes
   on after its connection has closed.  */
TEST_WITH_FIXTURE (a_shared_body_outlives_its_connection)
{
  int fd = open_conn (f);
  f->is_sharing = true;
  send_body (f, fd, BODY_BYTES);
  run (f);
  close (fd);
  run (f);
  assert_int_equal (f->server.conn_count, 0);
  assert_non_null (f->shared);
  assert_int_equal (f->shared_body.len, BODY_BYTES);
  assert_int_equal (f->shared_body.ptr[BODY_BYTES - 1], 0);
  assert_int_equal (f->account.used, f->shared->buf.cap);
  acc_blob_unref (f->shared);
}

/* Guards against memory that an answered connection keeps until its end.  */
TEST_WITH_FIXTURE (a_refused_body_is_freed_at_once)
{
  int fd = open_conn (f);
  send_text (fd, "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "18700\r\n"); /* above BODY_BYTES with the next chunk */
  char *body = rw_xcalloc (1, 0x18700);
  for (size_t sent = 0; sent < 0x18700;)
    {
      ssize_t n = write (fd, body + sent, 0x18700 - sent);
      assert_true (n > 0);
      sent += (size_t)n;
      uv_run (&f->loop, UV_RUN_NOWAIT);
    }
  run (f);
  assert_true (receives (fd, "HTTP/1.1 413"));
  assert_true (f->account.used < 16384);
  close (fd);
  free (body);
}
