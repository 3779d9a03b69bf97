#include "loop.h"

/* One daemon and the events reported to it.  */
struct side
{
  struct net_rpc rpc;
  struct net_addr addr;
  struct rw_buf received; /* records, each followed by "|" */
  struct rw_buf unsent;   /* one letter for each token */
  uint64_t last_stream;   /* of the last record received */
  int open_count;
  int close_count;
  int datagram_count;
  int error_count;
  struct rw_err last_error;
  bool send_hello;     /* sends "hello" on streams that it opened */
  bool reject_records; /* treats every record as malformed */
};

struct fixture
{
  uv_loop_t loop;
  struct loop_handles handles;
  struct side a;
  struct side b;
};

static int
on_record (void *arg, uint64_t stream, struct rw_str data, struct rw_err *err)
{
  struct side *side = arg;

  side->last_stream = stream;
  if (side->reject_records)
    return rw_err_set (err, RW_E_PARSE, "decode", RW_LIT ("peer"), "refused");
  rw_buf_append_str (&side->received, data);
  rw_buf_append (&side->received, "|", 1);
  return 0;
}

static void
on_open (void *arg, uint64_t stream, const struct net_addr *addr)
{
  struct side *side = arg;

  (void)addr;
  side->open_count++;
  if (side->send_hello)
    net_rpc_send (&side->rpc, stream, NULL, 'h', RW_LIT ("hello"));
}

static void
on_closed (void *arg, uint64_t stream)
{
  (void)stream;
  ((struct side *)arg)->close_count++;
}

static void
on_unsent (void *arg, uint64_t token)
{
  char letter = (char)token;

  rw_buf_append (&((struct side *)arg)->unsent, &letter, 1);
}

static int
on_datagram (void *arg, const struct net_addr *from, struct rw_str data,
             struct rw_err *err)
{
  struct side *side = arg;

  (void)from;
  (void)err;
  side->datagram_count++;
  rw_buf_append_str (&side->received, data);
  return 0;
}

static void
on_error (void *arg, const struct rw_err *err)
{
  struct side *side = arg;

  side->error_count++;
  side->last_error = *err;
}

static const struct net_rpc_ops OPS
    = { on_record, on_open, on_closed, on_unsent, on_datagram, on_error };

static void
on_prepare (uv_prepare_t *prepare)
{
  struct fixture *f = prepare->data;

  net_rpc_flush (&f->a.rpc);
  net_rpc_flush (&f->b.rpc);
}

static void
start_side (struct fixture *f, struct side *side)
{
  struct rw_err err;

  assert_int_equal (net_addr_set (&side->addr, RW_LIT ("127.0.0.1"), 0), 0);
  assert_int_equal (
      net_rpc_init (&side->rpc, &f->loop, &side->addr, &OPS, side, &err), 0);
  side->addr.port = side->rpc.port;
}

static void
begin (struct fixture *f)
{
  uv_loop_init (&f->loop);
  loop_start (&f->handles, &f->loop, on_prepare, f);
  start_side (f, &f->a);
  start_side (f, &f->b);
}

static void
end (struct fixture *f)
{
  struct side *sides[] = { &f->a, &f->b };

  for (size_t i = 0; i < RW_ARRAY_LEN (sides); i++)
    {
      net_rpc_finish (&sides[i]->rpc);
      rw_buf_finish (&sides[i]->received);
      rw_buf_finish (&sides[i]->unsent);
    }
  loop_stop (&f->handles);
  loop_finish (&f->loop);
}

UNIT_FIXTURE (begin, end)

#define RUN_UNTIL(f, condition) LOOP_RUN_UNTIL (&(f)->loop, condition)

static bool
received (const struct side *side, const char *text)
{
  return rw_str_eq_cstr (rw_buf_str (&side->received), text);
}

/* Guards against records that arrive out of order, and against replies or
   later records that open a second connection.  */
TEST_WITH_FIXTURE (records_and_replies_share_a_stream)
{
  net_rpc_send (&f->a.rpc, 0, &f->b.addr, '1', RW_LIT ("one"));
  net_rpc_send (&f->a.rpc, 0, &f->b.addr, '2', RW_LIT ("two"));
  RUN_UNTIL (f, received (&f->b, "one|two|"));
  net_rpc_send (&f->b.rpc, f->b.last_stream, NULL, '3', RW_LIT ("three"));
  RUN_UNTIL (f, received (&f->a, "three|"));
  net_rpc_send (&f->a.rpc, 0, &f->b.addr, '4', RW_LIT ("four"));
  RUN_UNTIL (f, received (&f->b, "one|two|four|"));
  assert_int_equal (f->a.open_count, 1);
  assert_int_equal (f->a.rpc.streams.len, 1);
  assert_int_equal (f->b.rpc.streams.len, 1);
  assert_int_equal (f->a.unsent.len, 0);
}

/* Guards against a SUBMIT that arrives before the HELLO from which its age is
   computed.  */
TEST_WITH_FIXTURE (records_sent_in_on_open_arrive_first)
{
  f->a.send_hello = true;
  net_rpc_send (&f->a.rpc, 0, &f->b.addr, '1', RW_LIT ("one"));
  RUN_UNTIL (f, received (&f->b, "hello|one|"));
}

/* Guards against a system call for each record.  */
TEST_WITH_FIXTURE (records_of_one_iteration_share_a_write)
{
  net_rpc_send (&f->a.rpc, 0, &f->b.addr, '1', RW_LIT ("one"));
  RUN_UNTIL (f, f->b.rpc.counts.records_in == 1);
  for (int i = 0; i < 100; i++)
    net_rpc_send (&f->a.rpc, 0, &f->b.addr, '1', RW_LIT ("more"));
  RUN_UNTIL (f, f->b.rpc.counts.records_in == 101);
  assert_int_equal (f->a.rpc.counts.writes, 2);
}

/* Guards against a record that was never sent and is not reported: its part
   would wait until the deadline.  */
TEST_WITH_FIXTURE (records_to_a_closed_port_are_unsent)
{
  struct net_addr closed = f->b.addr;

  closed.port = 1;
  net_rpc_send (&f->a.rpc, 0, &closed, 'x', RW_LIT ("one"));
  net_rpc_send (&f->a.rpc, 0, &closed, 'y', RW_LIT ("two"));
  RUN_UNTIL (f, f->a.unsent.len == 2);
  assert_memory_equal (f->a.unsent.ptr, "xy", 2);
  assert_string_equal (f->a.last_error.step, "connect");
  assert_string_equal (f->a.last_error.peer, "127.0.0.1:1");
  assert_int_equal (f->a.open_count, 0);
  assert_int_equal (f->a.close_count, 0);
  net_rpc_send (&f->a.rpc, 9999, NULL, 'z', RW_LIT ("no such stream"));
  assert_int_equal (f->a.unsent.len, 3);
}

/* Guards against a queue that grows without bound if the peer does not read,
   and against records reported as unsent of which bytes were sent.  */
TEST_WITH_FIXTURE (queue_to_a_stalled_peer_is_limited)
{
  struct net_addr addr;
  int fd = loop_listen_raw (&addr);
  char *data = rw_xcalloc (1, 1024 * 1024);
  struct rw_str record = { data, 1024 * 1024 };
  size_t refused;
  int conn;

  net_rpc_send (&f->a.rpc, 0, &addr, 'f', RW_LIT ("first"));
  RUN_UNTIL (f, f->a.open_count == 1);
  conn = accept (fd, NULL, NULL);
  for (int i = 0; i < 40; i++)
    {
      net_rpc_send (&f->a.rpc, 0, &addr, 'r', record);
      /* Some writes then end within a record that is not the last.  */
      if (i % 3 == 2)
        uv_run (&f->loop, UV_RUN_ONCE);
    }
  refused = f->a.unsent.len;
  assert_in_range (refused, 1, 39);
  close (conn);
  close (fd);
  RUN_UNTIL (f, f->a.close_count == 1);
  /* The queue held seven whole records; another was sent in part.  */
  assert_int_equal (f->a.unsent.len - refused, 7);
  assert_null (memchr (f->a.unsent.ptr, 'f', f->a.unsent.len));
  free (data);
}

static int
connect_raw (struct fixture *f, const struct net_addr *addr)
{
  struct sockaddr_storage sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  net_addr_to_sockaddr (addr, &sa);
  assert_int_equal (
      connect (fd, (struct sockaddr *)&sa, sizeof (struct sockaddr_in)), 0);
  RUN_UNTIL (f, f->b.rpc.streams.len == 1);
  return fd;
}

static void
check_rejected (struct fixture *f, const void *bytes, size_t len, int code,
                const char *step)
{
  int fd = connect_raw (f, &f->b.addr);

  assert_int_equal (write (fd, bytes, len), len);
  RUN_UNTIL (f, f->b.close_count == 1);
  assert_int_equal (f->b.last_error.code, code);
  assert_string_equal (f->b.last_error.step, step);
  close (fd);
}

/* Guards against the allocation of memory for the length that a record mark
   claims.  */
TEST_WITH_FIXTURE (oversize_record_closes_the_stream)
{
  check_rejected (f, "\377\377\377\377", 4, RW_E_RANGE, "read record");
  assert_int_equal (strncmp (f->b.last_error.peer, "127.0.0.1:", 10), 0);
}

/* Guards against further records that are read after a malformed one.  */
TEST_WITH_FIXTURE (malformed_record_closes_the_stream)
{
  f->b.reject_records = true;
  check_rejected (f, "\200\0\0\1x\200\0\0\1y", 10, RW_E_PARSE, "decode");
  assert_int_equal (f->b.rpc.counts.records_in, 1);
}

/* Guards against a truncated record that is taken for a clean end of the
   stream.  */
TEST_WITH_FIXTURE (end_of_stream_within_a_record_is_an_error)
{
  int fd = connect_raw (f, &f->b.addr);

  assert_int_equal (write (fd, "\200\0\0\5ab", 6), 6);
  close (fd);
  RUN_UNTIL (f, f->b.close_count == 1);
  assert_int_equal (f->b.error_count, 1);
  assert_int_equal (f->b.received.len, 0);
}

/* Guards against the end of a peer that is not reported: the daemon would wait
   for its parts.  */
TEST_WITH_FIXTURE (end_of_stream_is_reported)
{
  int fd = connect_raw (f, &f->b.addr);

  close (fd);
  RUN_UNTIL (f, f->b.close_count == 1);
  assert_int_equal (f->b.error_count, 0);
  assert_int_equal (f->b.rpc.streams.len, 0);
}

/* Guards against a UDP port that differs from the TCP port, and against
   oversize datagrams.  */
TEST_WITH_FIXTURE (datagrams_use_the_port_of_the_streams)
{
  char large[WIR_MAX_DATAGRAM + 1] = { 0 };

  net_rpc_send_datagram (&f->a.rpc, &f->b.addr,
                         (struct rw_str){ large, sizeof large });
  net_rpc_send_datagram (&f->a.rpc, &f->b.addr, RW_LIT ("probe"));
  RUN_UNTIL (f, received (&f->b, "probe"));
  assert_int_equal (f->b.rpc.counts.datagrams_dropped, 1);
}

/* Guards against two daemons on one port, one of which would receive
   nothing.  */
TEST_WITH_FIXTURE (port_in_use_is_an_error)
{
  struct net_rpc rpc;
  struct rw_err err;

  assert_int_equal (
      net_rpc_init (&rpc, &f->loop, &f->b.addr, &OPS, &f->a, &err),
      UV_EADDRINUSE);
  assert_string_equal (err.step, "listen rpc");
}

/* Guards against malformed addresses that are accepted.  */
TEST (addresses_are_numeric)
{
  static const char *const bad[] = { "",
                                     "127.0.0.1",
                                     ":80",
                                     "localhost:80",
                                     "127.0.0.1:0",
                                     "127.0.0.1:65536",
                                     "127.0.0.1:8x",
                                     "[::1:80" };
  struct net_addr addr;
  char buf[NET_ADDR_TEXT_SIZE];

  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    assert_true (net_addr_parse (rw_str_from (bad[i]), &addr) < 0);
  assert_int_equal (net_addr_parse (RW_LIT ("[::1]:80"), &addr), 0);
  assert_true (rw_str_eq_cstr (net_addr_format (&addr, buf), "[::1]:80"));
  assert_int_equal (net_addr_parse (RW_LIT ("10.0.0.1:8080"), &addr), 0);
  assert_true (rw_str_eq_cstr (net_addr_format (&addr, buf), "10.0.0.1:8080"));
}

#define HELD_BYTES 1000000
#define PARTIAL_BYTES 300000

/* Connects to A and sends LEN bytes of a record of WIR_MAX_RECORD.  */
static int
send_partial (struct fixture *f, size_t len)
{
  struct sockaddr_storage sa;
  unsigned char mark[4];
  char *bytes = rw_xcalloc (1, len);
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  net_addr_to_sockaddr (&f->a.addr, &sa);
  assert_int_equal (
      connect (fd, (struct sockaddr *)&sa, sizeof (struct sockaddr_in)), 0);
  wir_write_record_mark (mark, WIR_MAX_RECORD);
  assert_int_equal (write (fd, mark, sizeof mark), sizeof mark);
  for (size_t sent = 0; sent < len;)
    {
      ssize_t n
          = send (fd, bytes + sent, len - sent, MSG_DONTWAIT | MSG_NOSIGNAL);

      sent += n > 0 ? (size_t)n : 0;
      uv_run (&f->loop, UV_RUN_NOWAIT);
      if (n < 0 && errno != EAGAIN)
        break;
    }
  free (bytes);
  for (int i = 0; i < 50; i++)
    uv_run (&f->loop, UV_RUN_ONCE);
  return fd;
}

/* Guards against records that are never finished and are kept until the memory
   is used up, and against a peer that finds no room beside them.  */
TEST_WITH_FIXTURE (unfinished_records_make_room)
{
  static struct acc_account account;
  int fds[6];

  acc_init (&account, HELD_BYTES, 100);
  net_rpc_set_account (&f->a.rpc, &account, 50, 0, 65536);
  for (size_t i = 0; i < RW_ARRAY_LEN (fds); i++)
    {
      fds[i] = send_partial (f, PARTIAL_BYTES);
      assert_true (account.used <= HELD_BYTES);
    }
  assert_true (f->a.rpc.counts.streams_dropped >= 4);
  net_rpc_send (&f->b.rpc, 0, &f->a.addr, 'x', RW_LIT ("own"));
  RUN_UNTIL (f, f->a.received.len > 0);
  assert_true (rw_str_eq_cstr (rw_buf_str (&f->a.received), "own|"));
  for (size_t i = 0; i < RW_ARRAY_LEN (fds); i++)
    close (fds[i]);
  RUN_UNTIL (f, f->a.rpc.streams.len == 1);
}

/* Guards against silent streams that keep peers out.  */
TEST_WITH_FIXTURE (silent_streams_make_place)
{
  static struct acc_account account;
  int fds[6];

  acc_init (&account, HELD_BYTES, 100);
  net_rpc_set_account (&f->a.rpc, &account, 3, 0, 65536);
  for (size_t i = 0; i < RW_ARRAY_LEN (fds); i++)
    fds[i] = send_partial (f, 0);
  assert_int_equal (f->a.rpc.incoming.count, 3);
  net_rpc_send (&f->b.rpc, 0, &f->a.addr, 'x', RW_LIT ("own"));
  RUN_UNTIL (f, f->a.received.len > 0);
  for (size_t i = 0; i < RW_ARRAY_LEN (fds); i++)
    close (fds[i]);
}
