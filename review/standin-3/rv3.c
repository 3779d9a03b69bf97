#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include "rv3.h"

#define MAX_ITEMS 256
#define MAX_HEAD 65536
#define BEAT_MS 1200
/* link_mbps of the settings' machine, in bytes a millisecond.  */
#define LINK_BYTES_PER_MS (700e3 / 8)
#define LINK_CHUNK ((size_t)32768)
#define CALLERS_PORT 8104
#define READY_PORT 8108
#define PEERS_PORT 7380
#define STORE_PORT 8102
#define SEARCHER_PORT 9000

struct item
{
  char key[200];
  char *value; /* null: removed */
  int64_t revision;
};

static char folder[128];
static FILE *record;
static bool is_calm;
/* Of each last byte of an address.  */
static double link_free_at[256];
static double start_ms;
static char net[16]; /* first three bytes of the addresses */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_change = PTHREAD_COND_INITIALIZER;
static struct item items[MAX_ITEMS];
static size_t item_count;
static int64_t revision = 1;
static bool store_is_silent;
static struct rv_searcher *searchers;
static int searcher_count;
static struct rv_front *fronts[RV_MAX_FRONTS];
static size_t front_count;
static char cut_sources[RV_MAX_FRONTS][16];
static size_t cut_count;
static unsigned int next_id;

struct rv_arrival *rv_arrivals;
size_t rv_arrival_count;
static size_t arrival_cap;

static double
steady_ms (void)
{
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  return (double)ts.tv_sec * 1000 + (double)ts.tv_nsec / 1e6;
}

double
rv_now (void)
{
  return steady_ms () - start_ms;
}

void
rv_sleep (double ms)
{
  struct timespec ts;
  if (ms <= 0)
    return;
  ts.tv_sec = (time_t)(ms / 1000);
  ts.tv_nsec = (long)((ms - (double)ts.tv_sec * 1000) * 1e6);
  while (nanosleep (&ts, &ts) != 0 && errno == EINTR)
    ;
}

void
rv_sleep_until (double at)
{
  rv_sleep (at - rv_now ());
}

bool
rv_is_calm (void)
{
  return is_calm;
}

void
rv_log (const char *format, ...)
{
  static pthread_mutex_t log_lock = PTHREAD_MUTEX_INITIALIZER;
  va_list args;
  pthread_mutex_lock (&log_lock);
  fprintf (record, "%9.3f s  ", rv_now () / 1000);
  va_start (args, format);
  vfprintf (record, format, args);
  va_end (args);
  fputc ('\n', record);
  fflush (record);
  pthread_mutex_unlock (&log_lock);
}

static void
start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 256 * 1024);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, run, arg) != 0)
    rv_cannot_run ("no thread");
  pthread_attr_destroy (&attr);
}

/* Sockets.  */

static struct sockaddr_in
address (const char *host, int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  addr.sin_port = htons ((uint16_t)port);
  inet_pton (AF_INET, host, &addr.sin_addr);
  return addr;
}

static int
listen_at (const char *host, int port)
{
  struct sockaddr_in addr = address (host, port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || listen (fd, 512) != 0)
    {
      close (fd);
      return -1;
    }
  return fd;
}

/* Whether nobody listens at HOST yet.  */
static bool
is_free (const char *host, int port)
{
  int fd = listen_at (host, port);
  if (fd < 0)
    return false;
  close (fd);
  return true;
}

static void
host_name (char *host, size_t size, int n)
{
  snprintf (host, size, "%s.%d", net, n);
}

static bool
write_all (int fd, const char *data, size_t len)
{
  while (len > 0)
    {
      ssize_t n = send (fd, data, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return true;
}

/* Reads a head into HEAD, with what follows it; returns the length of the
   head, 0 if the connection ended.  */
static size_t
read_head (int fd, char *head, size_t *len)
{
  for (;;)
    {
      head[*len] = '\0';
      char *end = strstr (head, "\r\n\r\n");
      if (end != NULL)
        return (size_t)(end - head) + 4;
      if (*len >= MAX_HEAD)
        return 0;
      ssize_t n = recv (fd, head + *len, MAX_HEAD - *len, 0);
      if (n <= 0)
        return 0;
      *len += (size_t)n;
    }
}

/* Copies the value of the header NAME in HEAD; empty if it is missing.  */
static void
header_value (const char *head, const char *name, char *value, size_t size)
{
  size_t len = strlen (name);
  value[0] = '\0';
  for (const char *line = strstr (head, "\r\n");
       line != NULL && line[2] != '\r'; line = strstr (line + 2, "\r\n"))
    {
      if (strncasecmp (line + 2, name, len) != 0 || line[2 + len] != ':')
        continue;
      const char *from = line + 3 + len;
      while (*from == ' ')
        from++;
      size_t n = strcspn (from, "\r");
      snprintf (value, size, "%.*s", (int)n, from);
      return;
    }
}

/* The store.  */

static double
put_item (const char *key, const char *value)
{
  size_t i = 0;
  pthread_mutex_lock (&lock);
  while (i < item_count && strcmp (items[i].key, key) != 0)
    i++;
  if (i == item_count && item_count < MAX_ITEMS)
    snprintf (items[item_count++].key, sizeof items[i].key, "%s", key);
  free (items[i].value);
  items[i].value = value != NULL ? strdup (value) : NULL;
  items[i].revision = ++revision;
  pthread_cond_broadcast (&store_change);
  pthread_mutex_unlock (&lock);
  return rv_now ();
}

double
rv_store_put (const char *key, const char *value)
{
  double at = put_item (key, value);
  rv_log ("store: acknowledges %s %s", key,
          value != NULL ? value : "(removed)");
  return at;
}

void
rv_store_set_silent (bool is_silent)
{
  pthread_mutex_lock (&lock);
  store_is_silent = is_silent;
  pthread_cond_broadcast (&store_change);
  pthread_mutex_unlock (&lock);
  rv_log ("store: %s", is_silent ? "silent" : "answers again");
}

static void
append_base64 (char **out, const char *text)
{
  static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrst"
                               "uvwxyz0123456789+/";
  size_t len = strlen (text);
  char *to = *out;
  for (size_t i = 0; i < len; i += 3)
    {
      uint32_t bits = (uint32_t)(unsigned char)text[i] << 16;
      if (i + 1 < len)
        bits |= (uint32_t)(unsigned char)text[i + 1] << 8;
      if (i + 2 < len)
        bits |= (unsigned char)text[i + 2];
      *to++ = digits[bits >> 18];
      *to++ = digits[bits >> 12 & 63];
      *to++ = i + 1 < len ? digits[bits >> 6 & 63] : '=';
      *to++ = i + 2 < len ? digits[bits & 63] : '=';
    }
  *out = to;
}

/* Writes the items later than AFTER, or for a list (AFTER < 0) those that
   exist.  Returns their number.  */
static size_t
write_items (char **out, int64_t after)
{
  size_t count = 0;
  for (size_t i = 0; i < item_count; i++)
    {
      const struct item *item = &items[i];
      if (after < 0 ? item->value == NULL : item->revision <= after)
        continue;
      *out += sprintf (*out, "%s{\"key\":\"%s\",\"revision\":%lld",
                       count++ > 0 ? "," : "", item->key,
                       (long long)item->revision);
      if (item->value == NULL)
        {
          *out += sprintf (*out, ",\"deleted\":true}");
          continue;
        }
      *out += sprintf (*out, ",\"created\":1,\"leaseId\":0,\"value\":\"");
      append_base64 (out, item->value);
      *out += sprintf (*out, "\"}");
    }
  return count;
}

static size_t
items_size (void)
{
  size_t size = 1024;
  for (size_t i = 0; i < item_count; i++)
    size += 400
            + (items[i].value != NULL ? strlen (items[i].value) * 4 / 3 + 8
                                      : 0);
  return size;
}

/* Waits for a change after AFTER, for at most WAIT_MS.  */
static void
await_change (int64_t after, double wait_ms)
{
  double until = rv_now () + wait_ms;
  while (revision <= after && !store_is_silent && rv_now () < until)
    {
      struct timespec ts;
      clock_gettime (CLOCK_REALTIME, &ts);
      ts.tv_nsec += 20000000;
      ts.tv_sec += ts.tv_nsec / 1000000000;
      ts.tv_nsec %= 1000000000;
      pthread_cond_timedwait (&store_change, &lock, &ts);
    }
}

/* Answers the call in HEAD.  Returns whether the connection goes on.  */
static bool
answer_call (int fd, const char *head)
{
  const char *target = strchr (head, ' ') + 1;
  bool is_watch = strncmp (target, "/kv-watch", 9) == 0;
  const char *after_text = strstr (target, "after=");
  const char *wait_text = strstr (target, "waitMs=");
  int64_t after = is_watch && after_text != NULL
                      ? strtoll (after_text + 6, NULL, 10)
                      : -1;
  char head_text[200];
  pthread_mutex_lock (&lock);
  if (is_watch && wait_text != NULL)
    await_change (after, (double)strtoll (wait_text + 7, NULL, 10));
  while (store_is_silent)
    pthread_cond_wait (&store_change, &lock);
  char *body = malloc (items_size ());
  char *out = body;
  out += sprintf (out, "{\"%s\":[", is_watch ? "events" : "items");
  (void)write_items (&out, after);
  out += sprintf (out, "],\"hasMore\":false,\"at\":%lld}",
                  (long long)revision);
  pthread_mutex_unlock (&lock);
  int n = snprintf (head_text, sizeof head_text,
                    "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\n\r\n",
                    (size_t)(out - body));
  bool ok = write_all (fd, head_text, (size_t)n)
            && write_all (fd, body, (size_t)(out - body));
  free (body);
  return ok;
}

static void *
serve_store (void *arg)
{
  int fd = (int)(intptr_t)arg;
  char *head = malloc (MAX_HEAD + 1);
  size_t len = 0;
  size_t used;
  while ((used = read_head (fd, head, &len)) > 0 && answer_call (fd, head))
    {
      len -= used;
      memmove (head, head + used, len);
    }
  free (head);
  close (fd);
  return NULL;
}

static void *
accept_store (void *arg)
{
  int listener = (int)(intptr_t)arg;
  int on = 1;
  for (;;)
    {
      int fd = accept4 (listener, NULL, NULL, SOCK_CLOEXEC);
      if (fd < 0)
        continue;
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      start_thread (serve_store, (void *)(intptr_t)fd);
    }
  return NULL;
}

/* Searchers.  */

static void *
grow (void *array, size_t size)
{
  void *grown = realloc (array, size);
  if (grown == NULL)
    rv_cannot_run ("no memory");
  return grown;
}

static void
add_arrival (struct rv_searcher *s, const char *request, const char *source)
{
  pthread_mutex_lock (&lock);
  if (rv_arrival_count == arrival_cap)
    {
      arrival_cap = arrival_cap > 0 ? 2 * arrival_cap : 1024;
      rv_arrivals = grow (rv_arrivals, arrival_cap * sizeof *rv_arrivals);
    }
  struct rv_arrival *a = &rv_arrivals[rv_arrival_count++];
  a->searcher = s;
  a->at = rv_now ();
  a->generation = s->generation;
  snprintf (a->request, sizeof a->request, "%s", request);
  snprintf (a->source, sizeof a->source, "%s", source);
  if (s->arrival_count == s->arrival_cap)
    {
      s->arrival_cap = s->arrival_cap > 0 ? 2 * s->arrival_cap : 1024;
      s->arrivals = grow (s->arrivals, s->arrival_cap * sizeof *s->arrivals);
    }
  s->arrivals[s->arrival_count++] = a->at;
  pthread_mutex_unlock (&lock);
}

/* Whether the store holds KEY with the value that its searcher wrote.  */
static bool
is_unchanged (const char *key, const char *value)
{
  bool found = false;
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < item_count; i++)
    if (strcmp (items[i].key, key) == 0 && items[i].value != NULL)
      found = strncmp (items[i].value, value, strlen (value)) == 0;
  pthread_mutex_unlock (&lock);
  return found;
}

double
rv_searcher_beat (struct rv_searcher *s)
{
  char key[128];
  char value[700];
  double left = s->cold_until - rv_now ();
  snprintf (key, sizeof key, "servers/%s", s->id);
  snprintf (s->written, sizeof s->written,
            "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"capacity\":%d,\"state\":\"%s\","
            "\"warmupLeftMs\":%lld,\"born\":%lld,",
            s->service, s->host, s->port, s->zone, s->capacity,
            s->is_draining ? "draining" : "ready",
            left > 0 ? (long long)left : 0LL, (long long)s->born);
  s->sequence++;
  if (is_unchanged (key, s->written))
    return rv_now ();
  snprintf (value, sizeof value, "%s\"sequence\":%lld}", s->written,
            (long long)s->sequence);
  return put_item (key, value);
}

/* Writes the entry every BEAT_MS while the store answers.  */
static void *
beat (void *arg)
{
  struct rv_searcher *s = arg;
  char key[128];
  snprintf (key, sizeof key, "servers/%s", s->id);
  for (;;)
    {
      rv_sleep (BEAT_MS);
      pthread_mutex_lock (&s->lock);
      bool writes = s->is_up && s->is_reporting && !store_is_silent;
      if (writes)
        (void)rv_searcher_beat (s);
      pthread_mutex_unlock (&s->lock);
    }
  return NULL;
}

struct connection
{
  struct rv_searcher *searcher;
  int fd;
  int generation;
  char source[16];
};

static bool
is_cut (const char *source)
{
  bool found = false;
  pthread_mutex_lock (&lock);
  for (size_t i = 0; i < cut_count; i++)
    found |= strcmp (cut_sources[i], source) == 0;
  pthread_mutex_unlock (&lock);
  return found;
}

/* Whether the client of FD has closed its connection.  */
static bool
has_left (int fd)
{
  char byte;
  return recv (fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* Takes a slot for a request; returns 0, or -1 if the searcher is full, or -2
   if the connection ended meanwhile.  */
static int
take_slot (struct connection *c)
{
  struct rv_searcher *s = c->searcher;
  int result = 0;
  pthread_mutex_lock (&s->lock);
  if (s->running >= s->capacity && s->waiting >= s->queue)
    result = -1;
  else
    {
      s->waiting++;
      while (s->running >= s->capacity && c->generation == s->generation
             && result == 0)
        {
          pthread_mutex_unlock (&s->lock);
          rv_sleep (1);
          result = has_left (c->fd) ? -2 : 0;
          pthread_mutex_lock (&s->lock);
        }
      s->waiting--;
      if (c->generation != s->generation)
        result = -2;
      if (result == 0)
        s->running++;
    }
  pthread_mutex_unlock (&s->lock);
  return result;
}

/* Sends a body to the daemon at SOURCE, not faster than the link of its
   machine.  Daemons whose connections come from one address have one link
   together.  */
static bool
write_body (int fd, const char *source, const char *body, size_t len)
{
  const char *dot = strrchr (source, '.');
  double *free_at = &link_free_at[dot != NULL ? atoi (dot + 1) & 255 : 0];
  bool ok = true;
  for (size_t at = 0; at < len && ok; at += LINK_CHUNK)
    {
      size_t n = len - at < LINK_CHUNK ? len - at : LINK_CHUNK;
      pthread_mutex_lock (&lock);
      double now = rv_now ();
      *free_at
          = (*free_at > now ? *free_at : now) + (double)n / LINK_BYTES_PER_MS;
      double until = *free_at;
      pthread_mutex_unlock (&lock);
      rv_sleep_until (until);
      ok = write_all (fd, body + at, n);
    }
  return ok;
}

/* Works on a request; returns whether it was not dropped.  */
static bool
work (struct connection *c)
{
  struct rv_searcher *s = c->searcher;
  double until = rv_now () + s->work_ms;
  bool goes_on = true;
  while (goes_on && rv_now () < until)
    {
      double left = until - rv_now ();
      rv_sleep (left < 5 ? left : 5);
      goes_on = c->generation == s->generation && !has_left (c->fd);
    }
  pthread_mutex_lock (&s->lock);
  if (c->generation == s->generation)
    s->running--;
  pthread_mutex_unlock (&s->lock);
  return goes_on;
}

static bool
answer_request (struct connection *c, const char *request, int status,
                const char *more, size_t body_bytes)
{
  struct rv_searcher *s = c->searcher;
  char head[1024];
  int n = snprintf (
      head, sizeof head,
      "HTTP/1.1 %d X\r\nX-Redwingfork-Request-Id: %s\r\n"
      "X-Redwingfork-Server-Load: %d,%d,%d\r\n%s%s"
      "Content-Length: %zu\r\n\r\n",
      status, request, s->running, s->waiting, s->capacity, more,
      s->is_draining ? "Server-Leaving: 1\r\nConnection: close\r\n" : "",
      body_bytes);
  char *body = malloc (body_bytes + 1);
  memset (body, 'r', body_bytes);
  bool ok = write_all (c->fd, head, (size_t)n)
            && write_body (c->fd, c->source, body, body_bytes);
  bool goes_on = ok && strstr (head, "Connection: close") == NULL;
  free (body);
  return goes_on;
}

/* Ends a cold searcher that gets requests well above its rate.  */
static void
crash_if_flooded (struct rv_searcher *s)
{
  double now = rv_now ();
  size_t recent = 0;
  if (s->crash_per_s == 0 || now >= s->cold_until)
    return;
  pthread_mutex_lock (&lock);
  for (size_t i = s->arrival_count; i > 0; i--)
    {
      if (s->arrivals[i - 1] < now - 1000
          || s->arrivals[i - 1] < s->started_at)
        break;
      recent++;
    }
  pthread_mutex_unlock (&lock);
  if ((int)recent <= s->crash_per_s)
    return;
  rv_log ("searcher %s: ends, as it got %zu requests in a second while cold",
          s->id, recent);
  rv_searcher_crash (s);
}

/* The size of the answer to the request in HEAD.  Of numbers in a row the
   sizes differ much.  */
static size_t
answer_bytes (const struct rv_searcher *s, const char *head)
{
  const char *end = strstr (head, " HTTP/");
  const char *at = end;
  while (at != NULL && at > head && at[-1] != '/')
    at--;
  unsigned long number = at != NULL ? strtoul (at, NULL, 10) : 0;
  return s->body_bytes + s->body_spread * (number * 37 % 64) / 64;
}

/* Runs or refuses the request in HEAD.  */
static bool
serve_request (struct connection *c, const char *head)
{
  struct rv_searcher *s = c->searcher;
  char request[40];
  char expected[64];
  char more[256];
  header_value (head, "X-Redwingfork-Request-Id", request, sizeof request);
  header_value (head, "X-Redwingfork-Expect-Instance", expected,
                sizeof expected);
  if (strncmp (head, "GET /health ", 12) == 0)
    {
      double left = s->cold_until - rv_now ();
      snprintf (more, sizeof more,
                "X-Redwingfork-Instance-Id: %s\r\n"
                "X-Redwingfork-Warmup-Ms: %lld\r\n",
                s->id, left > 0 ? (long long)left : 0LL);
      return answer_request (c, "", s->is_draining ? 503 : 200, more, 0);
    }
  if (expected[0] != '\0' && strcmp (expected, s->id) != 0)
    {
      snprintf (more, sizeof more, "X-Redwingfork-Instance-Id: %s\r\n", s->id);
      return answer_request (c, request, 421, more, 0);
    }
  add_arrival (s, request, c->source);
  crash_if_flooded (s);
  int slot = take_slot (c);
  if (slot == -2)
    return false;
  if (slot == -1)
    {
      rv_log ("searcher %s: %s from %s refused, full", s->id, request,
              c->source);
      return answer_request (c, request, 503,
                             "X-Redwingfork-Not-Executed: 1\r\n", 0);
    }
  rv_log ("searcher %s: runs %s from %s", s->id, request, c->source);
  if (!work (c))
    {
      rv_log ("searcher %s: %s is lost or was abandoned", s->id, request);
      return false;
    }
  snprintf (more, sizeof more, "X-Redwingfork-Server-Stamp: %s.%s\r\n", s->id,
            request);
  return answer_request (c, request, 200, more, answer_bytes (s, head));
}

static void *
serve_searcher (void *arg)
{
  struct connection *c = arg;
  char *head = malloc (MAX_HEAD + 1);
  size_t len = 0;
  size_t used;
  while ((used = read_head (c->fd, head, &len)) > 0)
    {
      char length[24];
      if (is_cut (c->source) || c->generation != c->searcher->generation)
        break;
      header_value (head, "Content-Length", length, sizeof length);
      size_t body = (size_t)strtoull (length, NULL, 10);
      while (len < used + body)
        {
          ssize_t n = recv (c->fd, head + len, MAX_HEAD - len, 0);
          if (n <= 0)
            break;
          len += (size_t)n;
        }
      if (len < used + body || !serve_request (c, head))
        break;
      used += body;
      len -= used;
      memmove (head, head + used, len);
    }
  pthread_mutex_lock (&c->searcher->lock);
  for (int i = 0; i < c->searcher->fd_count; i++)
    if (c->searcher->fds[i] == c->fd)
      c->searcher->fds[i] = c->searcher->fds[--c->searcher->fd_count];
  struct linger reset = { 1, 0 };
  if (is_cut (c->source) || c->generation != c->searcher->generation)
    setsockopt (c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close (c->fd);
  pthread_mutex_unlock (&c->searcher->lock);
  free (head);
  free (c);
  return NULL;
}

struct listening
{
  struct rv_searcher *searcher;
  int listener;
  int generation;
};

static void *
accept_searcher (void *arg)
{
  struct listening *l = arg;
  struct rv_searcher *s = l->searcher;
  struct sockaddr_in from;
  int on = 1;
  for (;;)
    {
      socklen_t size = sizeof from;
      int fd = accept4 (l->listener, (struct sockaddr *)&from, &size,
                        SOCK_CLOEXEC);
      if (fd < 0)
        break;
      struct connection *c = calloc (1, sizeof *c);
      setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
      c->searcher = s;
      c->fd = fd;
      c->generation = l->generation;
      inet_ntop (AF_INET, &from.sin_addr, c->source, sizeof c->source);
      pthread_mutex_lock (&s->lock);
      bool refused = l->generation != s->generation || is_cut (c->source)
                     || s->fd_count == 4096;
      if (!refused)
        s->fds[s->fd_count++] = fd;
      pthread_mutex_unlock (&s->lock);
      if (refused)
        {
          struct linger reset = { 1, 0 };
          setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
          close (fd);
          free (c);
          continue;
        }
      start_thread (serve_searcher, c);
    }
  close (l->listener);
  free (l);
  return NULL;
}

static void
open_searcher (struct rv_searcher *s)
{
  struct timespec ts;
  struct listening *l = calloc (1, sizeof *l);
  clock_gettime (CLOCK_REALTIME, &ts);
  int fd = -1;
  for (int i = 0; i < 100 && fd < 0; i++)
    {
      fd = listen_at (s->host, s->port);
      if (fd < 0)
        rv_sleep (10);
    }
  if (fd < 0)
    rv_cannot_run ("no address for a searcher");
  pthread_mutex_lock (&s->lock);
  s->listener = fd;
  s->born = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
  s->sequence = 0;
  s->started_at = rv_now ();
  s->running = 0;
  s->waiting = 0;
  s->is_up = true;
  s->is_draining = false;
  *l = (struct listening){ s, fd, s->generation };
  pthread_mutex_unlock (&s->lock);
  start_thread (accept_searcher, l);
}

void
rv_searcher_start (struct rv_searcher *s)
{
  pthread_mutex_init (&s->lock, NULL);
  pthread_cond_init (&s->change, NULL);
  searcher_count++;
  host_name (s->host, sizeof s->host, 100 + searcher_count);
  s->port = SEARCHER_PORT;
  s->next = searchers;
  searchers = s;
  s->is_reporting = true;
  open_searcher (s);
  (void)rv_searcher_beat (s);
  start_thread (beat, s);
  rv_log ("searcher %s: starts, service %s, zone %s", s->id, s->service,
          s->zone);
}

void
rv_searcher_crash (struct rv_searcher *s)
{
  pthread_mutex_lock (&s->lock);
  if (!s->is_up)
    {
      pthread_mutex_unlock (&s->lock);
      return;
    }
  s->generation++;
  s->is_up = false;
  shutdown (s->listener, SHUT_RDWR);
  for (int i = 0; i < s->fd_count; i++)
    {
      struct linger reset = { 1, 0 };
      setsockopt (s->fds[i], SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
      shutdown (s->fds[i], SHUT_RDWR);
    }
  pthread_mutex_unlock (&s->lock);
  rv_log ("searcher %s: its process ends", s->id);
}

void
rv_searcher_restart (struct rv_searcher *s)
{
  open_searcher (s);
  s->cold_until = s->warmup_ms > 0 ? rv_now () + s->warmup_ms : 0;
  pthread_mutex_lock (&s->lock);
  (void)rv_searcher_beat (s);
  pthread_mutex_unlock (&s->lock);
  rv_log ("searcher %s: starts again under its id, cold for %.0f ms, born "
          "%lld",
          s->id, s->warmup_ms, (long long)s->born);
}

double
rv_searcher_drain (struct rv_searcher *s)
{
  double at = -1;
  pthread_mutex_lock (&s->lock);
  s->is_draining = true;
  if (!store_is_silent)
    at = rv_searcher_beat (s);
  pthread_mutex_unlock (&s->lock);
  rv_log ("searcher %s: leaves%s", s->id,
          at >= 0 ? ", acknowledged by the store" : "");
  return at;
}

void
rv_cut (const char *source, bool cut)
{
  pthread_mutex_lock (&lock);
  if (cut && cut_count < RV_MAX_FRONTS)
    snprintf (cut_sources[cut_count++], sizeof cut_sources[0], "%s", source);
  else if (!cut)
    cut_count = 0;
  pthread_mutex_unlock (&lock);
  rv_log ("the ways from %s to the searchers are %s", source,
          cut ? "cut" : "open again");
}

/* Daemons.  */

static void
setting (const struct rv_front *front, int count, const char *name, char *out,
         size_t size)
{
  const char *const values[][2]
      = { { "internalPorts.0", "7380" },
          { "bootstrap", front->was_started ? "false" : "true" },
          { "limits.maxFds", "2870" },
          { "bounds.drainMs", "3000" },
          { "heartbeatMs", "1200" },
          { "bounds.graceS", "6" },
          { "bounds.retryBudgetRatio", "0.2" },
          { "bounds.budgetSlack", "113" },
          { "bounds.budgetWindowS", "10" },
          { "limits.cpuShare", "0.17" },
          { "limits.memoryMb", "182" } };
  out[0] = '\0';
  for (size_t i = 0; i < sizeof values / sizeof values[0]; i++)
    if (strcmp (name, values[i][0]) == 0)
      snprintf (out, size, "%s", values[i][1]);
  if (strcmp (name, "nodeName") == 0)
    snprintf (out, size, "%s", front->name);
  else if (strcmp (name, "zone") == 0)
    snprintf (out, size, "%s", front->zone);
  else if (strcmp (name, "ip") == 0)
    snprintf (out, size, "%s", front->host);
  else if (strcmp (name, "listenAddrs.front") == 0)
    snprintf (out, size, "%s:%d", front->host, CALLERS_PORT);
  else if (strcmp (name, "listenAddrs.ready") == 0)
    snprintf (out, size, "%s:%d", front->host, READY_PORT);
  else if (strcmp (name, "platform.address") == 0)
    snprintf (out, size, "%s.100:%d", net, STORE_PORT);
  else if (strcmp (name, "seeds") == 0)
    for (int i = 1; i <= count && i <= 3; i++)
      {
        size_t len = strlen (out);
        snprintf (out + len, size - len, "%s%s.%d:8106", i > 1 ? "," : "", net,
                  i);
      }
}

/* Fills in the template of the deploy file.  */
static void
write_settings (const struct rv_front *front, int count, const char *path)
{
  FILE *in = fopen ("deploy/rwfront.settings", "r");
  FILE *out = fopen (path, "w");
  char line[512];
  if (in == NULL || out == NULL)
    rv_cannot_run ("no settings");
  while (fgets (line, sizeof line, in) != NULL)
    {
      char *from = line;
      char *open;
      while ((open = strstr (from, "{{")) != NULL)
        {
          char value[256];
          char *end = strstr (open, "}}");
          *open = '\0';
          *end = '\0';
          setting (front, count, open + 2, value, sizeof value);
          fprintf (out, "%s%s", from, value);
          from = end + 2;
        }
      fputs (from, out);
    }
  if (front->binds_source)
    fprintf (out, "RWF_SOURCE=%s\n", front->host);
  fclose (in);
  fclose (out);
}

static void
launch (struct rv_front *front, int count)
{
  char path[200];
  char log_path[200];
  snprintf (path, sizeof path, "%s/%s.settings", folder, front->name);
  snprintf (log_path, sizeof log_path, "%s/%s.log", folder, front->name);
  write_settings (front, count, path);
  front->pid = fork ();
  if (front->pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      int fd = open (log_path, O_WRONLY | O_CREAT | O_APPEND, 0644);
      dup2 (fd, 1);
      dup2 (fd, 2);
      setenv ("REDWINGFORK_BOOT", path, 1);
      execl ("target/opt/bin/rwfront", "target/opt/bin/rwfront", (char *)NULL);
      _exit (127);
    }
  if (front->pid < 0)
    rv_cannot_run ("no process");
  front->was_started = true;
  rv_log ("%s: starts at %s in %s", front->name, front->host, front->zone);
}

void
rv_front_start (struct rv_front *front, int n, int count, const char *zone)
{
  if (front_count == RV_MAX_FRONTS)
    rv_cannot_run ("too many daemons");
  snprintf (front->name, sizeof front->name, "front-%d", n);
  host_name (front->host, sizeof front->host, n);
  front->zone = zone;
  front->number = n;
  fronts[front_count++] = front;
  launch (front, count);
}

void
rv_front_signal (struct rv_front *front, int signum)
{
  if (front->pid > 0)
    kill (front->pid, signum);
  rv_log ("%s: gets signal %d", front->name, signum);
}

void
rv_front_kill (struct rv_front *front)
{
  rv_front_signal (front, SIGKILL);
  if (front->pid > 0)
    waitpid (front->pid, NULL, 0);
  front->pid = 0;
}

void
rv_front_restart (struct rv_front *front, int count)
{
  launch (front, count);
}

static int
connect_to (const char *host, int port, int recv_bytes)
{
  struct sockaddr_in addr = address (host, port);
  int on = 1;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (recv_bytes > 0)
    {
      /* The segments and windows of an ordinary link, not of loopback.  */
      int segment = 1400;
      setsockopt (fd, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &recv_bytes, sizeof recv_bytes);
    }
  if (connect (fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      close (fd);
      return -1;
    }
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  return fd;
}

void
rv_front_await (const struct rv_front *front)
{
  char answer[64];
  for (int i = 0; i < 200; i++)
    {
      int fd = connect_to (front->host, READY_PORT, 0);
      if (fd >= 0)
        {
          bool ok
              = write_all (fd, "GET /ready HTTP/1.1\r\nHost: x\r\n\r\n",
                           strlen ("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n"));
          ssize_t n = ok ? recv (fd, answer, sizeof answer - 1, 0) : -1;
          close (fd);
          if (n > 12 && strncmp (answer, "HTTP/1.1 200", 12) == 0)
            return;
        }
      rv_sleep (50);
    }
  rv_cannot_run ("a daemon is not ready");
}

size_t
rv_front_memory (const struct rv_front *front)
{
  char path[64];
  unsigned long pages = 0;
  unsigned long resident = 0;
  snprintf (path, sizeof path, "/proc/%d/statm", (int)front->pid);
  FILE *in = fopen (path, "r");
  if (in == NULL)
    return 0;
  if (fscanf (in, "%lu %lu", &pages, &resident) != 2)
    resident = 0;
  fclose (in);
  return resident * (size_t)sysconf (_SC_PAGESIZE);
}

double
rv_front_metric (const struct rv_front *front, const char *name)
{
  static const char call[]
      = "GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
  char *text = malloc (MAX_HEAD * 4 + 1);
  size_t len = 0;
  double value = -1;
  int fd = connect_to (front->host, READY_PORT, 0);
  if (fd >= 0 && write_all (fd, call, strlen (call)))
    {
      ssize_t n;
      while ((n = recv (fd, text + len, MAX_HEAD * 4 - len, 0)) > 0)
        len += (size_t)n;
    }
  text[len] = '\0';
  for (char *line = strstr (text, name); line != NULL && value < 0;
       line = strstr (line + 1, name))
    if (line[strlen (name)] == ' ' && line > text && line[-1] == '\n')
      value = strtod (line + strlen (name), NULL);
  if (fd >= 0)
    close (fd);
  free (text);
  return value;
}

/* Clients.  */

void
rv_new_id (char *id, size_t size)
{
  pthread_mutex_lock (&lock);
  snprintf (id, size, "%08x%08x", (unsigned int)getpid (), ++next_id);
  pthread_mutex_unlock (&lock);
}

/* Reads the body, not faster than the client's link.  */
static void
read_body (int fd, struct rv_call *call, double end)
{
  char *buf = malloc (MAX_HEAD);
  double begun = rv_now ();
  size_t before = call->received;
  while (call->received < call->length)
    {
      size_t most = MAX_HEAD;
      if (call->bytes_per_s > 0)
        {
          double due
              = (double)(call->received - before) / call->bytes_per_s * 1000;
          rv_sleep_until (begun + due);
          most = 8192;
        }
      if (rv_now () > end)
        break;
      ssize_t n = recv (fd, buf, most, 0);
      if (n <= 0)
        break;
      call->received += (size_t)n;
    }
  free (buf);
}

/* Sends a request for PATH on FD and reads the answer into CALL.  */
static void
exchange (int fd, struct rv_call *call, const char *path, char *head)
{
  char text[512];
  char value[64];
  size_t len = 0;
  size_t used = 0;
  int n = snprintf (
      text, sizeof text,
      "%s %s HTTP/1.1\r\nHost: site.example\r\n"
      "X-Redwingfork-Request-Id: %s\r\n"
      "X-Redwingfork-Deadline-Ms: %d\r\n%s\r\n",
      call->method, path, call->id, call->time_ms,
      strcmp (call->method, "POST") == 0 ? "Content-Length: 0\r\n" : "");
  call->status = 0;
  call->received = 0;
  call->length = 0;
  call->is_complete = false;
  call->is_closing = false;
  call->sent_at = rv_now ();
  rv_log ("client: sends %s %s to %s", call->id, path, call->front->name);
  if (write_all (fd, text, (size_t)n))
    used = read_head (fd, head, &len);
  if (used > 0)
    {
      call->head_at = rv_now ();
      call->status = atoi (head + 9);
      header_value (head, "Content-Length", value, sizeof value);
      call->length = (size_t)strtoull (value, NULL, 10);
      header_value (head, "Connection", value, sizeof value);
      call->is_closing = strcasecmp (value, "close") == 0;
      header_value (head, "Server-Leaving", value, sizeof value);
      call->is_leaving = strcmp (value, "1") == 0;
      call->received = len - used;
      read_body (fd, call, call->sent_at + call->time_ms);
      call->is_complete = call->received >= call->length;
    }
  call->ended_at = rv_now ();
  rv_log ("client: %s ends with status %d, %zu of %zu bytes%s", call->id,
          call->status, call->received, call->length,
          call->is_leaving ? ", the searcher leaves" : "");
}

void
rv_call (struct rv_call *call)
{
  char *head = malloc (MAX_HEAD + 1);
  struct timeval wait
      = { call->time_ms / 1000, (call->time_ms % 1000) * 1000 + 1 };
  int fd = connect_to (call->front->host, CALLERS_PORT,
                       call->bytes_per_s > 0 ? 32768 : 0);
  rv_new_id (call->id, sizeof call->id);
  if (fd >= 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
      if (call->first_path != NULL)
        {
          exchange (fd, call, call->first_path, head);
          rv_new_id (call->id, sizeof call->id);
        }
      if (call->first_path == NULL
          || (call->status == 200 && call->is_complete))
        exchange (fd, call, call->path, head);
      else
        {
          call->status = 0;
          call->is_complete = false;
          call->sent_at = 0;
          call->ended_at = 0;
        }
      close (fd);
    }
  free (head);
}

void
rv_call_on (int fd, struct rv_call *call)
{
  char *head = malloc (MAX_HEAD + 1);
  struct timeval wait
      = { call->time_ms / 1000, (call->time_ms % 1000) * 1000 + 1 };
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
  rv_new_id (call->id, sizeof call->id);
  exchange (fd, call, call->path, head);
  free (head);
}

int
rv_connect (const struct rv_front *front, const char *text)
{
  int fd = connect_to (front->host, CALLERS_PORT, 0);
  if (fd >= 0)
    (void)write_all (fd, text, strlen (text));
  return fd;
}

static void *
run_call (void *arg)
{
  rv_call (arg);
  return NULL;
}

pthread_t
rv_call_start (struct rv_call *call)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, 256 * 1024);
  if (pthread_create (&thread, &attr, run_call, call) != 0)
    rv_cannot_run ("no thread");
  pthread_attr_destroy (&attr);
  return thread;
}

/* Start and end.  */

static void
end_processes (void)
{
  for (size_t i = 0; i < front_count; i++)
    if (fronts[i]->pid > 0)
      {
        kill (fronts[i]->pid, SIGKILL);
        waitpid (fronts[i]->pid, NULL, 0);
      }
  front_count = 0;
}

static void
remove_folder (void)
{
  char path[200];
  const char *kinds[] = { "settings", "log" };
  if (getenv ("KEEP") != NULL)
    {
      fprintf (stderr, "logs: %s\n", folder);
      return;
    }
  for (int n = 1; n <= RV_MAX_FRONTS; n++)
    for (size_t k = 0; k < 2; k++)
      {
        snprintf (path, sizeof path, "%s/front-%d.%s", folder, n, kinds[k]);
        unlink (path);
      }
  rmdir (folder);
}

int
rv_finish (int status)
{
  end_processes ();
  rv_log ("result: %s", status == 0   ? "the rule held"
                        : status == 1 ? "the rule was broken"
                                      : "the case could not run");
  remove_folder ();
  return status;
}

void
rv_cannot_run (const char *why)
{
  fprintf (stderr, "cannot run: %s\n", why);
  if (record != NULL)
    rv_log ("cannot run: %s", why);
  end_processes ();
  remove_folder ();
  _exit (2);
}

static void
on_signal (int signum)
{
  (void)signum;
  for (size_t i = 0; i < front_count; i++)
    if (fronts[i]->pid > 0)
      kill (fronts[i]->pid, SIGKILL);
  _exit (2);
}

/* Chooses a net whose addresses nobody uses.  */
static void
choose_net (void)
{
  for (int i = 0; i < 100; i++)
    {
      char host[40];
      int seed = (int)getpid () + i * 7;
      snprintf (net, sizeof net, "127.%d.%d", 40 + seed % 200,
                seed / 200 % 250);
      bool ok = true;
      for (int n = 1; n <= RV_MAX_FRONTS && ok; n++)
        {
          host_name (host, sizeof host, n);
          ok = is_free (host, CALLERS_PORT) && is_free (host, READY_PORT)
               && is_free (host, PEERS_PORT);
        }
      host_name (host, sizeof host, 100);
      ok = ok && is_free (host, STORE_PORT);
      host_name (host, sizeof host, 101);
      if (ok && is_free (host, SEARCHER_PORT))
        return;
    }
  rv_cannot_run ("no free addresses");
}

void
rv_init (int argc, char **argv)
{
  char host[40];
  const char *tmp = getenv ("TMPDIR");
  struct rlimit limit;
  if (argc != 3)
    {
      fprintf (stderr, "usage: %s TROUBLE RECORD\n", argv[0]);
      _exit (2);
    }
  start_ms = steady_ms ();
  is_calm = strcmp (argv[1], "0") == 0;
  /* Each descriptor of a crowd has one here, too.  */
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < 8192)
    {
      limit.rlim_cur = limit.rlim_max < 8192 ? limit.rlim_max : 8192;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  snprintf (folder, sizeof folder, "%s/rv3-XXXXXX",
            tmp != NULL ? tmp : "/tmp");
  if (mkdtemp (folder) == NULL)
    rv_cannot_run ("no folder");
  record = fopen (argv[2], "w");
  if (record == NULL)
    rv_cannot_run ("no record");
  if (access ("target/opt/bin/rwfront", X_OK) != 0)
    rv_cannot_run ("target/opt/bin/rwfront is not built");
  choose_net ();
  host_name (host, sizeof host, 100);
  int fd = listen_at (host, STORE_PORT);
  if (fd < 0)
    rv_cannot_run ("no address for the store");
  start_thread (accept_store, (void *)(intptr_t)fd);
  rv_log ("the disruption is %s", rv_is_calm () ? "left out" : "played");
}
