#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rv2.h"

#define MAX_DAEMONS 8
#define MAX_CONNS 1024
#define MAX_ITEMS 64
#define ITEM_BYTES 8192
#define THREAD_STACK_BYTES (512 << 10)
/* A little more than contactMs.  */
#define CONTACT_MS 4500

static FILE *record;
static const char *folder;
static bool is_trouble = true;
static long long began;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static pid_t daemons[MAX_DAEMONS];
static size_t daemon_count;
static int store_port;

static long long
clock_ms (clockid_t clock)
{
  struct timespec ts;
  clock_gettime (clock, &ts);
  return ts.tv_sec * 1000LL + ts.tv_nsec / 1000000;
}

long long
rv2_now (void)
{
  return clock_ms (CLOCK_MONOTONIC) - began;
}

void
rv2_sleep (long long ms)
{
  struct timespec ts = { ms / 1000, ms % 1000 * 1000000 };
  if (ms > 0)
    nanosleep (&ts, NULL);
}

void
rv2_init (int argc, char **argv)
{
  const char *trouble = getenv ("TROUBLE");
  began = clock_ms (CLOCK_MONOTONIC);
  if (argc < 3 || (record = fopen (argv[1], "we")) == NULL)
    {
      fprintf (stderr, "usage: %s RECORD FOLDER\n", argv[0]);
      exit (RV2_CANNOT_RUN);
    }
  folder = argv[2];
  is_trouble = trouble == NULL || strcmp (trouble, "0") != 0;
  signal (SIGPIPE, SIG_IGN);
  rv2_log ("begin trouble=%d", is_trouble);
}

bool
rv2_trouble (void)
{
  return is_trouble;
}

void
rv2_log (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  pthread_mutex_lock (&lock);
  fprintf (record, "%8lld ", rv2_now ());
  vfprintf (record, format, args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&lock);
  va_end (args);
}

void
rv2_exit (int code)
{
  rv2_log ("exit code=%d", code);
  for (size_t i = 0; i < daemon_count; i++)
    {
      kill (daemons[i], SIGKILL);
      waitpid (daemons[i], NULL, 0);
    }
  _exit (code);
}

void
rv2_cannot (const char *reason)
{
  rv2_log ("cannot run: %s", reason);
  rv2_exit (RV2_CANNOT_RUN);
}

void
rv2_thread (void *(*run) (void *arg), void *arg)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  pthread_attr_setstacksize (&attr, THREAD_STACK_BYTES);
  if (pthread_create (&thread, &attr, run, arg) != 0)
    rv2_cannot ("no thread");
  pthread_attr_destroy (&attr);
}

/* Sockets and messages.  */

static struct sockaddr_in
loopback (int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  addr.sin_port = htons ((uint16_t)port);
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  return addr;
}

int
rv2_listen (int *port)
{
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in addr = loopback (*port);
  socklen_t len = sizeof addr;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || listen (fd, 512) != 0
      || getsockname (fd, (struct sockaddr *)&addr, &len) != 0)
    rv2_cannot ("cannot listen");
  *port = ntohs (addr.sin_port);
  return fd;
}

bool
rv2_write (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Copies the value of the header NAME in HEAD to OUT, or an empty text.  */
static void
header_value (const char *head, const char *name, char *out, size_t size)
{
  size_t name_len = strlen (name);
  out[0] = '\0';
  for (const char *line = strstr (head, "\r\n"); line != NULL;
       line = strstr (line + 2, "\r\n"))
    {
      const char *at = line + 2;
      if (strncasecmp (at, name, name_len) != 0 || at[name_len] != ':')
        continue;
      at += name_len + 1;
      while (*at == ' ')
        at++;
      size_t len = strcspn (at, "\r\n");
      snprintf (out, size, "%.*s", (int)(len < size ? len : size - 1), at);
      return;
    }
}

static void
consume (struct rv2_conn *conn, size_t len)
{
  memmove (conn->buf, conn->buf + len, conn->len - len);
  conn->len -= len;
}

/* Reads until the head of a message is in the buffer.  Returns its length, or
   0 at the end of the connection.  */
static size_t
read_head (struct rv2_conn *conn)
{
  for (;;)
    {
      conn->buf[conn->len] = '\0';
      const char *end = strstr (conn->buf, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - conn->buf) + 4;
      ssize_t n = recv (conn->fd, conn->buf + conn->len,
                        sizeof conn->buf - conn->len - 1, 0);
      if (n < 0 && errno == EINTR)
        continue;
      if (n <= 0)
        return 0;
      conn->len += (size_t)n;
    }
}

bool
rv2_read_request (struct rv2_conn *conn, struct rv2_request *request)
{
  char text[80];
  size_t head = read_head (conn);
  if (head == 0)
    return false;
  char end = conn->buf[head];
  conn->buf[head] = '\0';
  memset (request, 0, sizeof *request);
  if (sscanf (conn->buf, "%15s %511s", request->method, request->path) != 2)
    return false;
  header_value (conn->buf, "X-Redwingfork-Request-Id", request->id,
                sizeof request->id);
  header_value (conn->buf, "X-Redwingfork-Expect-Instance", request->expect,
                sizeof request->expect);
  header_value (conn->buf, "X-Redwingfork-Deadline-Ms", text, sizeof text);
  request->deadline_ms = strtoll (text, NULL, 10);
  header_value (conn->buf, "Content-Length", text, sizeof text);
  size_t body = strtoull (text, NULL, 10);
  conn->buf[head] = end;
  consume (conn, head);
  while (body > 0)
    {
      size_t part = body < conn->len ? body : conn->len;
      consume (conn, part);
      body -= part;
      if (body == 0)
        break;
      ssize_t n = recv (conn->fd, conn->buf, sizeof conn->buf - 1, 0);
      if (n <= 0)
        return false;
      conn->len = (size_t)n;
    }
  return true;
}

/* The store.  */

struct item
{
  char key[200];
  char value[ITEM_BYTES];
  bool removed;
  long long revision;
};

static struct item items[MAX_ITEMS];
static size_t item_count;
static long long store_revision = 1;

/* Returns the item KEY, added in the order of the keys if it is new.  */
static struct item *
item_of (const char *key)
{
  size_t at = 0;
  while (at < item_count && strcmp (items[at].key, key) < 0)
    at++;
  if (at < item_count && strcmp (items[at].key, key) == 0)
    return &items[at];
  if (item_count == MAX_ITEMS)
    abort ();
  memmove (&items[at + 1], &items[at], (item_count - at) * sizeof items[0]);
  item_count++;
  memset (&items[at], 0, sizeof items[at]);
  snprintf (items[at].key, sizeof items[at].key, "%s", key);
  return &items[at];
}

void
rv2_store_put (const char *key, const char *value)
{
  pthread_mutex_lock (&lock);
  struct item *item = item_of (key);
  item->removed = value == NULL;
  snprintf (item->value, sizeof item->value, "%s", value != NULL ? value : "");
  item->revision = ++store_revision;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  rv2_log ("store: ack key=%s%s", key, value == NULL ? " removed" : "");
}

static void
write_base64 (FILE *out, const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text);
  for (size_t i = 0; i < len; i += 3)
    {
      unsigned int word = 0;
      for (size_t j = 0; j < 3; j++)
        word = word << 8 | (i + j < len ? (unsigned char)text[i + j] : 0);
      fputc (digits[word >> 18 & 63], out);
      fputc (digits[word >> 12 & 63], out);
      fputc (i + 1 < len ? digits[word >> 6 & 63] : '=', out);
      fputc (i + 2 < len ? digits[word & 63] : '=', out);
    }
}

/* Writes the items changed after REVISION; if ALL, those that are there.
   Returns their number.  */
static size_t
write_items (FILE *out, long long revision, bool all)
{
  size_t count = 0;
  for (size_t i = 0; i < item_count; i++)
    {
      const struct item *item = &items[i];
      if (all ? item->removed : item->revision <= revision)
        continue;
      fprintf (out, "%s{\"key\":\"%s\",\"revision\":%lld",
               count++ > 0 ? "," : "", item->key, item->revision);
      if (item->removed)
        {
          fprintf (out, ",\"deleted\":true}");
          continue;
        }
      fprintf (out, ",\"created\":1,\"leaseId\":0,\"value\":\"");
      write_base64 (out, item->value);
      fprintf (out, "\"}");
    }
  return count;
}

static long long
query_number (const char *path, const char *name)
{
  const char *at = strstr (path, name);
  return at != NULL ? strtoll (at + strlen (name), NULL, 10) : 0;
}

/* Waits for changes after the revision in PATH, and writes them to OUT.  */
static void
watch (FILE *out, const char *path)
{
  long long after = query_number (path, "after=");
  long long until = clock_ms (CLOCK_REALTIME) + query_number (path, "waitMs=");
  struct timespec ts = { until / 1000, until % 1000 * 1000000 };
  pthread_mutex_lock (&lock);
  while (store_revision <= after
         && pthread_cond_timedwait (&changed, &lock, &ts) == 0)
    ;
  fprintf (out, "{\"events\":[");
  (void)write_items (out, after, false);
  fprintf (out, "],\"at\":%lld}", store_revision);
  pthread_mutex_unlock (&lock);
}

static void
range (FILE *out)
{
  pthread_mutex_lock (&lock);
  fprintf (out, "{\"items\":[");
  (void)write_items (out, 0, true);
  fprintf (out, "],\"hasMore\":false,\"at\":%lld}", store_revision);
  pthread_mutex_unlock (&lock);
}

static void *
serve_store (void *arg)
{
  struct rv2_conn *conn = arg;
  struct rv2_request request;
  while (rv2_read_request (conn, &request))
    {
      char *body = NULL;
      char head[200];
      size_t len = 0;
      FILE *out = open_memstream (&body, &len);
      if (out == NULL)
        break;
      if (strncmp (request.path, "/kv-watch", 9) == 0)
        watch (out, request.path);
      else
        range (out);
      fclose (out);
      snprintf (head, sizeof head,
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                "Store-Era: 1\r\nContent-Length: %zu\r\n\r\n",
                len);
      bool ok = rv2_write (conn->fd, head, strlen (head))
                && rv2_write (conn->fd, body, len);
      free (body);
      if (!ok)
        break;
    }
  close (conn->fd);
  free (conn);
  return NULL;
}

static struct rv2_conn *
accept_conn (int listener)
{
  int on = 1;
  int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
  if (fd < 0)
    return NULL;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  struct rv2_conn *conn = malloc (sizeof *conn);
  if (conn == NULL)
    abort ();
  conn->fd = fd;
  conn->len = 0;
  return conn;
}

static void *
accept_store (void *arg)
{
  int listener = *(const int *)arg;
  struct rv2_conn *conn;
  while ((conn = accept_conn (listener)) != NULL)
    rv2_thread (serve_store, conn);
  return NULL;
}

int
rv2_store_start (void)
{
  static int listener;
  store_port = 0;
  listener = rv2_listen (&store_port);
  rv2_thread (accept_store, &listener);
  return store_port;
}

/* Searchers.  */

/* An open connection to a searcher, or its listener.  */
struct socket
{
  struct rv2_searcher *searcher;
  int generation;
  int fd; /* -1: free */
};

static struct socket sockets[MAX_CONNS];
static size_t socket_count;

static void
add_socket (struct rv2_searcher *searcher, int fd)
{
  size_t i = 0;
  pthread_mutex_lock (&lock);
  while (i < socket_count && sockets[i].fd >= 0)
    i++;
  if (i == MAX_CONNS)
    abort ();
  if (i == socket_count)
    socket_count++;
  sockets[i] = (struct socket){ searcher, searcher->generation, fd };
  pthread_mutex_unlock (&lock);
}

static void
close_socket (int fd)
{
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < socket_count; i++)
    if (sockets[i].fd == fd)
      sockets[i].fd = -1;
  close (fd);
  pthread_mutex_unlock (&lock);
}

struct served
{
  struct rv2_searcher *searcher;
  struct rv2_conn *conn;
};

static pthread_mutex_t slot_lock = PTHREAD_MUTEX_INITIALIZER;

/* Writes the headers that each answer of SEARCHER to REQUEST has.  */
static void
common_headers (const struct rv2_searcher *searcher,
                const struct rv2_request *request, char *out, size_t size)
{
  pthread_mutex_lock (&slot_lock);
  snprintf (out, size,
            "X-Redwingfork-Request-Id: %s\r\n"
            "X-Redwingfork-Server-Load: %d,%d,%d\r\n%s",
            request->id, searcher->running, searcher->waiting, searcher->slots,
            searcher->leaving ? "Server-Leaving: 1\r\nConnection: close\r\n"
                              : "");
  pthread_mutex_unlock (&slot_lock);
}

/* Answers that the request was not run.  */
static bool
refuse (const struct served *served, const struct rv2_request *request,
        const char *status)
{
  char common[300];
  char text[600];
  common_headers (served->searcher, request, common, sizeof common);
  snprintf (text, sizeof text,
            "HTTP/1.1 %s\r\n%sX-Redwingfork-Not-Executed: 1\r\n"
            "Content-Length: 0\r\n\r\n",
            status, common);
  rv2_log ("searcher: refused id=%s at=%s status=%s", request->id,
           served->searcher->id, status);
  return rv2_write (served->conn->fd, text, strlen (text));
}

static bool
is_closed (int fd)
{
  struct pollfd p = { fd, POLLRDHUP, 0 };
  return poll (&p, 1, 0) > 0;
}

enum turn
{
  TURN_RUN,
  TURN_FULL, /* or the time of the request is over */
  TURN_GONE  /* its connection closed */
};

/* Waits for a slot of the searcher.  */
static enum turn
take_slot (const struct served *served, const struct rv2_request *request)
{
  struct rv2_searcher *s = served->searcher;
  long long until = rv2_now () + request->deadline_ms;
  enum turn turn = TURN_RUN;
  pthread_mutex_lock (&slot_lock);
  if (s->running >= s->slots && s->waiting >= s->queue_max)
    {
      pthread_mutex_unlock (&slot_lock);
      return TURN_FULL;
    }
  s->waiting++;
  while (s->running >= s->slots && turn == TURN_RUN)
    {
      pthread_mutex_unlock (&slot_lock);
      rv2_sleep (1);
      if (is_closed (served->conn->fd))
        turn = TURN_GONE;
      else if (rv2_now () >= until)
        turn = TURN_FULL;
      pthread_mutex_lock (&slot_lock);
    }
  s->waiting--;
  s->running += turn == TURN_RUN;
  pthread_mutex_unlock (&slot_lock);
  return turn;
}

static void
give_slot (struct rv2_searcher *searcher, int generation)
{
  pthread_mutex_lock (&slot_lock);
  if (generation == searcher->generation)
    searcher->running--;
  pthread_mutex_unlock (&slot_lock);
}

/* Serves REQUEST.  Returns whether the connection goes on.  */
static bool
serve_request (const struct served *served, const struct rv2_request *request)
{
  struct rv2_searcher *s = served->searcher;
  int generation = s->generation;
  if (request->expect[0] != '\0' && strcmp (request->expect, s->id) != 0)
    return refuse (served, request, "421 Misdirected Request");
  if (s->arrived != NULL)
    s->arrived (s, request);
  switch (take_slot (served, request))
    {
    case TURN_RUN:
      break;
    case TURN_FULL:
      return refuse (served, request, "503 Service Unavailable");
    case TURN_GONE:
      return false;
    }
  s->handler (s, served->conn, request);
  give_slot (s, generation);
  return !s->leaving;
}

static void *
serve_searcher (void *arg)
{
  struct served served = *(struct served *)arg;
  struct rv2_request request;
  free (arg);
  while (rv2_read_request (served.conn, &request)
         && serve_request (&served, &request))
    ;
  close_socket (served.conn->fd);
  free (served.conn);
  return NULL;
}

struct listener
{
  struct rv2_searcher *searcher;
  int fd;
};

static void *
accept_searcher (void *arg)
{
  struct listener listener = *(struct listener *)arg;
  struct rv2_conn *conn;
  free (arg);
  while ((conn = accept_conn (listener.fd)) != NULL)
    {
      struct served *served = malloc (sizeof *served);
      if (served == NULL)
        abort ();
      *served = (struct served){ listener.searcher, conn };
      add_socket (listener.searcher, conn->fd);
      rv2_thread (serve_searcher, served);
    }
  close_socket (listener.fd);
  return NULL;
}

void
rv2_searcher_start (struct rv2_searcher *searcher)
{
  struct listener *listener = malloc (sizeof *listener);
  if (listener == NULL)
    abort ();
  listener->searcher = searcher;
  listener->fd = rv2_listen (&searcher->port);
  searcher->born = clock_ms (CLOCK_REALTIME);
  pthread_mutex_lock (&slot_lock);
  searcher->generation++;
  searcher->running = 0;
  searcher->waiting = 0;
  searcher->leaving = false;
  pthread_mutex_unlock (&slot_lock);
  add_socket (searcher, listener->fd);
  rv2_thread (accept_searcher, listener);
}

void
rv2_searcher_crash (struct rv2_searcher *searcher)
{
  struct linger reset = { 1, 0 };
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < socket_count; i++)
    if (sockets[i].fd >= 0 && sockets[i].searcher == searcher
        && sockets[i].generation == searcher->generation)
      {
        setsockopt (sockets[i].fd, SOL_SOCKET, SO_LINGER, &reset,
                    sizeof reset);
        shutdown (sockets[i].fd, SHUT_RDWR);
      }
  pthread_mutex_unlock (&lock);
  rv2_log ("searcher: crash id=%s", searcher->id);
}

void
rv2_searcher_publish (struct rv2_searcher *searcher, const char *state,
                      int warmup_ms)
{
  static long long sequence;
  char key[100];
  char value[500];
  searcher->leaving = strcmp (state, "draining") == 0;
  snprintf (key, sizeof key, "servers/%s", searcher->id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
            "\"zone\":\"zone-a\",\"version\":\"v1\",\"capacity\":%d,"
            "\"state\":\"%s\",\"warmupLeftMs\":%d,\"sequence\":%lld,"
            "\"born\":%lld}",
            searcher->service, searcher->port, searcher->slots, state,
            warmup_ms, ++sequence, searcher->born);
  rv2_store_put (key, value);
}

bool
rv2_answer (struct rv2_searcher *searcher, struct rv2_conn *conn,
            const struct rv2_request *request, size_t body_len)
{
  char common[300];
  char head[600];
  char *body = malloc (body_len + 1);
  if (body == NULL)
    abort ();
  memset (body, 'r', body_len);
  common_headers (searcher, request, common, sizeof common);
  snprintf (head, sizeof head,
            "HTTP/1.1 200 OK\r\n%sX-Redwingfork-Server-Stamp: %s.%s\r\n"
            "Content-Length: %zu\r\n\r\n",
            common, searcher->id, request->id, body_len);
  bool ok = rv2_write (conn->fd, head, strlen (head))
            && rv2_write (conn->fd, body, body_len);
  free (body);
  return ok;
}

/* Daemons.  */

static void
write_settings (const struct rv2_daemon *daemon, const char *name,
                const char *path)
{
  FILE *file = fopen (path, "we");
  if (file == NULL)
    rv2_cannot ("no settings file");
  fprintf (file,
           "RWF_NAME=%s\nRWF_DC=zone-a\nRWF_CALLERS=127.0.0.1:%d\n"
           "RWF_READY=127.0.0.1:%d\nRWF_PEERS=127.0.0.1:%d\n"
           "RWF_FIRST_START=true\nRWF_SEEDS=127.0.0.1:%d\n"
           "RWF_STORE=127.0.0.1:%d\nRWF_MAX_FILES=2870\n"
           "RWF_TARGET_DRAIN_MS=3000\nRWF_TARGET_HEARTBEAT_MS=1200\n"
           "RWF_STOP_S=6\nRWF_EXTRA_RATIO=0.2\nRWF_EXTRA_SLACK=116\n"
           "RWF_EXTRA_WINDOW_S=10\nRWF_CORES=0.17\nRWF_MEMORY_MB=182\n",
           name, daemon->callers, daemon->ready, daemon->peers, daemon->peers,
           store_port);
  fclose (file);
}

static int
free_port (void)
{
  int port = 0;
  close (rv2_listen (&port));
  return port;
}

void
rv2_daemon_start (struct rv2_daemon *daemon, const char *name)
{
  char settings[400];
  char log[400];
  char variable[440];
  snprintf (settings, sizeof settings, "%s/%s.settings", folder, name);
  snprintf (log, sizeof log, "%s/%s.log", folder, name);
  snprintf (variable, sizeof variable, "REDWINGFORK_BOOT=%s", settings);
  daemon->callers = free_port ();
  daemon->ready = free_port ();
  daemon->peers = free_port ();
  write_settings (daemon, name, settings);
  daemon->pid = fork ();
  if (daemon->pid == 0)
    {
      static char program[] = "target/opt/bin/rwfront";
      char *args[] = { program, NULL };
      char *env[] = { variable, NULL };
      /* The daemon ends with the case, however that ends.  */
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (freopen (log, "a", stdout) == NULL)
        _exit (127);
      dup2 (STDOUT_FILENO, STDERR_FILENO);
      execve (program, args, env);
      _exit (127);
    }
  if (daemon->pid < 0 || daemon_count == MAX_DAEMONS)
    rv2_cannot ("no process");
  daemons[daemon_count++] = daemon->pid;
  rv2_log ("daemon: start name=%s", name);
}

void
rv2_daemon_await (const struct rv2_daemon *daemon)
{
  for (int i = 0; i < 200; i++)
    {
      struct rv2_exchange exchange = { .fd = rv2_connect (daemon->ready, 0) };
      if (exchange.fd >= 0
          && rv2_send (exchange.fd, "GET", "/ready", "ready", 500))
        rv2_read_answer (&exchange, 0, rv2_now () + 500);
      if (exchange.fd >= 0)
        close (exchange.fd);
      if (exchange.status == 200)
        {
          rv2_log ("daemon: ready");
          rv2_sleep (CONTACT_MS);
          return;
        }
      rv2_sleep (50);
    }
  rv2_cannot ("the daemon is not ready");
}

/* Clients.  */

int
rv2_connect (int port, int rcvbuf)
{
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  struct sockaddr_in addr = loopback (port);
  if (rcvbuf > 0)
    {
      /* Segments of an Ethernet link: with those of the loopback device, the
         buffers of the sender would be larger than on any real link.  */
      int segment = 1448;
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &rcvbuf, sizeof rcvbuf);
    }
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

bool
rv2_send (int fd, const char *method, const char *path, const char *id,
          long long deadline_ms)
{
  char text[800];
  bool has_body = strcmp (method, "POST") == 0;
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: site.example\r\n"
            "X-Redwingfork-Request-Id: %s\r\n"
            "X-Redwingfork-Deadline-Ms: %lld\r\n%s\r\n%s",
            method, path, id, deadline_ms,
            has_body ? "Content-Length: 4\r\n" : "", has_body ? "work" : "");
  return rv2_write (fd, text, strlen (text));
}

/* Waits for input until UNTIL.  */
static bool
await_input (int fd, long long until)
{
  struct pollfd p = { fd, POLLIN, 0 };
  long long left = until - rv2_now ();
  return left > 0 && poll (&p, 1, (int)left) > 0;
}

/* Reads a byte at a time, so that nothing behind the head is taken.  */
static bool
read_answer_head (struct rv2_exchange *exchange, char *head, size_t size,
                  long long until)
{
  size_t len = 0;
  while (len + 1 < size && await_input (exchange->fd, until))
    {
      if (recv (exchange->fd, head + len, 1, 0) != 1)
        return false;
      head[++len] = '\0';
      if (len >= 4 && strcmp (head + len - 4, "\r\n\r\n") == 0)
        return true;
    }
  return false;
}

void
rv2_read_answer (struct rv2_exchange *exchange, long bytes_per_s,
                 long long until)
{
  char head[16384] = "";
  char text[80];
  char part[16384];
  if (!read_answer_head (exchange, head, sizeof head, until))
    {
      exchange->ended_at = rv2_now ();
      return;
    }
  exchange->status = (int)strtol (head + strlen ("HTTP/1.1 "), NULL, 10);
  header_value (head, "Content-Length", text, sizeof text);
  exchange->body_len = strtoull (text, NULL, 10);
  long long start = rv2_now ();
  while (exchange->body_read < exchange->body_len
         && await_input (exchange->fd, until))
    {
      ssize_t n = recv (exchange->fd, part, sizeof part, 0);
      if (n <= 0)
        break;
      exchange->body_read += (size_t)n;
      if (bytes_per_s > 0)
        rv2_sleep (start + (long long)exchange->body_read * 1000 / bytes_per_s
                   - rv2_now ());
    }
  exchange->complete = exchange->body_read == exchange->body_len;
  exchange->ended_at = rv2_now ();
}
