/* Clients that do not behave:

     rwfcrowd [OPTION...] KIND HOST:PORT

   opens connections to HOST:PORT and keeps them open.  KIND is what each of
   them sends:

     body    a request with a body of --bytes
     chunks  a request with that body in chunks of --chunk bytes
     head    a head of --bytes
     ahead   --bytes of whole requests, whose answers it does not read
     last    a whole request that closes its connection, whose answer it does
             not read
     record  an RPC record of --bytes
     silent  nothing

   Of body, chunks and record, seven connections of eight stop one byte before
   the end; a head never ends.  A connection that is closed is opened again.
   "sent" is printed when each connection has sent all it will send, or was
   closed once.  The program runs until it is ended.  */

#include <argp.h>
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

/* One connection in this many sends its message to the end.  */
#define WHOLE_EVERY 8
/* A closed connection is opened again after this time.  */
#define REOPEN_MS 200
#define MAX_CONNS 4000
#define BUF_SIZE 65536

enum kind
{
  KIND_BODY,
  KIND_CHUNKS,
  KIND_HEAD,
  KIND_AHEAD,
  KIND_LAST,
  KIND_RECORD,
  KIND_SILENT,
  KIND_COUNT
};

static const char *const kind_names[KIND_COUNT]
    = { "body", "chunks", "head", "ahead", "last", "record", "silent" };

struct options
{
  enum kind kind;
  size_t conns;
  size_t bytes;
  size_t chunk;
  size_t piece; /* most bytes of one write */
  unsigned int pause_ms;
  const char *path;
  struct sockaddr_storage addr;
};

/* A message is HEAD, then UNIT again and again, then END, of which the first
   TOTAL bytes are sent.  */
struct conn
{
  int fd;
  size_t number;
  unsigned int opened; /* times */
  struct rw_buf head;
  size_t total;
  size_t sent;
  bool done_once;
  rw_time reopen_at; /* while FD is negative */
};

static struct options options
    = { .conns = 100, .bytes = 262144, .chunk = 16384, .piece = BUF_SIZE };
static struct rw_buf unit; /* what follows the head, again and again */
static size_t unit_total;  /* bytes of all repeats of UNIT */
static struct rw_str end;  /* what ends the message */

static const struct argp_option option_list[] = {
  { "connections", 'n', "N", 0, "connections (100)", 0 },
  { "bytes", 'b', "N", 0, "bytes of a message (262144)", 0 },
  { "chunk", 'k', "N", 0, "bytes of a chunk (16384)", 0 },
  { "piece", 'p', "N", 0, "most bytes of one write (65536)", 0 },
  { "pause", 'w', "MS", 0, "between two rounds of writes (0)", 0 },
  { "path", 'u', "PATH", 0, "path of the requests (/)", 0 },
  { 0 },
};

static size_t
read_count (struct argp_state *state, const char *text, size_t max)
{
  int64_t value = 0;
  if (rw_str_to_int (rw_str_from (text), 0, (int64_t)max, &value) != 0)
    argp_error (state, "%s is no number up to %zu", text, max);
  return (size_t)value;
}

static void
read_argument (struct argp_state *state, const char *arg)
{
  struct net_addr addr;
  int kind = 0;
  switch (state->arg_num)
    {
    case 0:
      while (kind < KIND_COUNT && strcmp (arg, kind_names[kind]) != 0)
        kind++;
      if (kind == KIND_COUNT)
        argp_error (state, "%s is no kind", arg);
      options.kind = (enum kind)kind;
      break;
    case 1:
      if (net_addr_parse (rw_str_from (arg), &addr) != 0
          || net_addr_to_sockaddr (&addr, &options.addr) != 0)
        argp_error (state, "%s is no address", arg);
      break;
    default:
      argp_usage (state);
    }
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  switch (key)
    {
    case 'n':
      options.conns = read_count (state, arg, MAX_CONNS);
      return 0;
    case 'b':
      options.bytes = read_count (state, arg, (size_t)1 << 30);
      return 0;
    case 'k':
      options.chunk = read_count (state, arg, BUF_SIZE);
      return 0;
    case 'p':
      options.piece = read_count (state, arg, BUF_SIZE);
      return 0;
    case 'w':
      options.pause_ms = (unsigned int)read_count (state, arg, 10000);
      return 0;
    case 'u':
      options.path = arg;
      return 0;
    case ARGP_KEY_ARG:
      read_argument (state, arg);
      return 0;
    case ARGP_KEY_END:
      if (state->arg_num != 2)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser = { option_list,
                                    parse_option,
                                    "KIND HOST:PORT",
                                    "Clients that do not "
                                    "behave.",
                                    NULL,
                                    NULL,
                                    NULL };

/* Sets what all messages have after their heads.  */
static void
init_message (void)
{
  static const char filler[BUF_SIZE];
  size_t repeats = 0;
  rw_buf_init (&unit);
  end = RW_LIT ("");
  switch (options.kind)
    {
    case KIND_CHUNKS:
      rw_buf_printf (&unit, "%zx\r\n", options.chunk);
      rw_buf_append (&unit, filler, options.chunk);
      rw_buf_append (&unit, "\r\n", 2);
      repeats = options.bytes / options.chunk;
      end = RW_LIT ("0\r\n\r\n");
      break;
    case KIND_AHEAD:
      rw_buf_printf (&unit,
                     "GET %s HTTP/1.1\r\nHost: site.example\r\n"
                     "X-Redwingfork-Request-Id: ahead\r\n"
                     "X-Redwingfork-Deadline-Ms: 1500\r\n\r\n",
                     options.path);
      repeats = options.bytes / unit.len;
      break;
    case KIND_BODY:
    case KIND_RECORD:
    case KIND_HEAD:
      for (size_t i = 0; i < BUF_SIZE; i++)
        rw_buf_append (&unit, "x", 1);
      unit_total = options.bytes;
      return;
    case KIND_LAST:
      rw_buf_printf (&unit,
                     "GET %s HTTP/1.1\r\nHost: site.example\r\n"
                     "X-Redwingfork-Request-Id: last\r\n"
                     "X-Redwingfork-Deadline-Ms: 1500\r\n"
                     "Connection: close\r\n\r\n",
                     options.path);
      repeats = 1;
      break;
    case KIND_SILENT:
    case KIND_COUNT:
      break;
    }
  unit_total = repeats * unit.len;
}

/* Writes the head of the next message of CONN, and sets its length.  */
static void
begin_message (struct conn *conn)
{
  bool whole = conn->number % WHOLE_EVERY == 0;
  unsigned char mark[4];
  conn->head.len = 0;
  conn->sent = 0;
  switch (options.kind)
    {
    case KIND_BODY:
    case KIND_CHUNKS:
      rw_buf_printf (&conn->head,
                     "POST %s HTTP/1.1\r\nHost: site.example\r\n"
                     "X-Redwingfork-Request-Id: crowd-%zu-%u\r\n"
                     "X-Redwingfork-Deadline-Ms: 1500\r\n",
                     options.path, conn->number, conn->opened);
      if (options.kind == KIND_BODY)
        rw_buf_printf (&conn->head, "Content-Length: %zu\r\n\r\n",
                       options.bytes);
      else
        rw_buf_printf (&conn->head, "Transfer-Encoding: chunked\r\n\r\n");
      break;
    case KIND_HEAD:
      whole = true;
      rw_buf_printf (&conn->head, "GET %s HTTP/1.1\r\nX: ", options.path);
      break;
    case KIND_RECORD:
      wir_write_record_mark (mark, options.bytes);
      rw_buf_append (&conn->head, mark, sizeof mark);
      break;
    case KIND_AHEAD:
    case KIND_LAST:
    case KIND_SILENT:
    case KIND_COUNT:
      whole = true;
      break;
    }
  conn->total = conn->head.len + unit_total + end.len - (whole ? 0 : 1);
}

static void
close_conn (struct conn *conn)
{
  if (conn->fd >= 0)
    close (conn->fd);
  conn->fd = -1;
  conn->done_once = true;
  conn->reopen_at = rw_now () + REOPEN_MS * RW_MSEC;
}

static void
open_conn (struct conn *conn)
{
  conn->fd = socket (options.addr.ss_family, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (conn->fd < 0
      || (connect (conn->fd, (struct sockaddr *)&options.addr,
                   sizeof (struct sockaddr_in))
              != 0
          && errno != EINPROGRESS))
    {
      close_conn (conn);
      return;
    }
  conn->opened++;
  begin_message (conn);
}

/* Copies bytes of the message of CONN, from the one at conn->sent on, to BUF.
   Returns their number.  */
static size_t
copy_message (const struct conn *conn, char *buf, size_t size)
{
  size_t len = 0;
  size_t at = conn->sent;
  while (len < size && at < conn->total)
    {
      size_t offset = at;
      struct rw_str from = rw_buf_str (&conn->head);
      if (offset >= conn->head.len + unit_total)
        {
          offset -= conn->head.len + unit_total;
          from = end;
        }
      else if (offset >= conn->head.len)
        {
          size_t left = unit_total - (offset - conn->head.len);
          offset = (offset - conn->head.len) % unit.len;
          from = rw_buf_str (&unit);
          if (from.len - offset > left)
            from.len = offset + left;
        }
      size_t n = from.len - offset;
      if (n > size - len)
        n = size - len;
      if (n > conn->total - at)
        n = conn->total - at;
      memcpy (buf + len, from.ptr + offset, n);
      len += n;
      at += n;
    }
  return len;
}

static void
write_some (struct conn *conn)
{
  static char buf[BUF_SIZE];
  size_t len = copy_message (conn, buf, options.piece);
  ssize_t n = write (conn->fd, buf, len);
  if (n > 0)
    conn->sent += (size_t)n;
  else if (n < 0 && errno != EAGAIN)
    close_conn (conn);
  if (conn->sent == conn->total)
    conn->done_once = true;
}

/* Reads and drops answers.  */
static void
read_some (struct conn *conn)
{
  static char buf[BUF_SIZE];
  ssize_t n = read (conn->fd, buf, sizeof buf);
  if (n == 0 || (n < 0 && errno != EAGAIN))
    close_conn (conn);
}

/* Waits for events of the connections, and handles them.  */
static void
run_round (struct conn *conns, struct pollfd *polls)
{
  rw_time now = rw_now ();
  for (size_t i = 0; i < options.conns; i++)
    {
      if (conns[i].fd < 0 && now >= conns[i].reopen_at)
        open_conn (&conns[i]);
      polls[i].fd = conns[i].fd;
      polls[i].events = options.kind == KIND_AHEAD || options.kind == KIND_LAST
                            ? 0
                            : POLLIN;
      if (conns[i].sent < conns[i].total)
        polls[i].events |= POLLOUT;
    }
  (void)poll (polls, options.conns, REOPEN_MS / 2);
  for (size_t i = 0; i < options.conns; i++)
    {
      if (conns[i].fd >= 0 && (polls[i].revents & POLLIN) != 0)
        read_some (&conns[i]);
      else if (conns[i].fd >= 0
               && (polls[i].revents & (POLLERR | POLLHUP)) != 0)
        close_conn (&conns[i]);
      if (conns[i].fd >= 0 && (polls[i].revents & POLLOUT) != 0)
        write_some (&conns[i]);
    }
  usleep (options.pause_ms * 1000);
}

int
main (int argc, char **argv)
{
  static struct conn conns[MAX_CONNS];
  static struct pollfd polls[MAX_CONNS];
  bool announced = false;
  options.path = "/";
  if (argp_parse (&parser, argc, argv, 0, NULL, NULL) != 0)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  init_message ();
  for (size_t i = 0; i < options.conns; i++)
    {
      conns[i].fd = -1;
      conns[i].number = i;
      rw_buf_init (&conns[i].head);
    }
  while (true)
    {
      size_t done = 0;
      run_round (conns, polls);
      for (size_t i = 0; i < options.conns; i++)
        done += conns[i].done_once;
      if (done == options.conns && !announced)
        printf ("sent\n");
      announced = announced || done == options.conns;
    }
}
