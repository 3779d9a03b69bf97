#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "rvw.h"

#define MAX_EVENTS 4096
#define KEY_BYTES 128

/* A write, in the order of the revisions.  The newest of a key is the item. */
struct event
{
  char key[KEY_BYTES];
  char *value; /* base64 */
  long long revision;
  bool is_current;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;
static struct event events[MAX_EVENTS];
static size_t event_count;
static long long revision = 1;

static char *
encode_base64 (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t len = strlen (text);
  char *out = malloc ((len + 2) / 3 * 4 + 1);
  char *at = out;
  if (out == NULL)
    abort ();
  for (size_t i = 0; i < len; i += 3)
    {
      size_t n = len - i < 3 ? len - i : 3;
      unsigned int bits = (unsigned int)(unsigned char)text[i] << 16;
      if (n > 1)
        bits |= (unsigned int)(unsigned char)text[i + 1] << 8;
      if (n > 2)
        bits |= (unsigned char)text[i + 2];
      for (size_t j = 0; j < 4; j++)
        *at++ = j <= n ? digits[bits >> (18 - 6 * j) & 63] : '=';
    }
  *at = '\0';
  return out;
}

int64_t
rvw_store_put (const char *key, const char *value)
{
  pthread_mutex_lock (&lock);
  if (event_count == MAX_EVENTS)
    rvw_finish (RVW_NOT_RUN);
  for (size_t i = 0; i < event_count; i++)
    if (strcmp (events[i].key, key) == 0)
      events[i].is_current = false;
  struct event *event = &events[event_count++];
  snprintf (event->key, sizeof event->key, "%s", key);
  event->value = encode_base64 (value);
  event->revision = ++revision;
  event->is_current = true;
  pthread_cond_broadcast (&changed);
  pthread_mutex_unlock (&lock);
  rvw_record ("store: written key=%s revision=%lld", key, event->revision);
  return rvw_now_ms ();
}

/* Writes the items, or the events after AFTER if LIST is "events".  */
static char *
write_page (const char *list, long long after)
{
  char *out = NULL;
  size_t len = 0;
  bool is_first = true;
  FILE *file = open_memstream (&out, &len);
  if (file == NULL)
    abort ();
  fprintf (file, "{\"%s\":[", list);
  for (size_t i = 0; i < event_count; i++)
    {
      const struct event *e = &events[i];
      if (after < 0 ? !e->is_current : e->revision <= after)
        continue;
      fprintf (file,
               "%s{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,"
               "\"created\":%lld,\"leaseId\":0}",
               is_first ? "" : ",", e->key, e->value, e->revision,
               e->revision);
      is_first = false;
    }
  fprintf (file, "],\"hasMore\":false,\"at\":%lld}", revision);
  fclose (file);
  return out;
}

/* Returns the number behind NAME in the query of LINE, 0 if there is none.  */
static long long
query_number (const char *line, const char *name)
{
  const char *at = strstr (line, name);
  return at != NULL ? strtoll (at + strlen (name), NULL, 10) : 0;
}

/* Waits with the lock held for a change after AFTER.  */
static void
await_change (long long after, long long wait_ms)
{
  struct timespec until;
  clock_gettime (CLOCK_REALTIME, &until);
  until.tv_sec += wait_ms / 1000;
  until.tv_nsec += wait_ms % 1000 * 1000000;
  if (until.tv_nsec >= 1000000000)
    {
      until.tv_sec++;
      until.tv_nsec -= 1000000000;
    }
  while (revision <= after)
    if (pthread_cond_timedwait (&changed, &lock, &until) == ETIMEDOUT)
      return;
}

static void
serve (void *arg, struct rvw_conn *conn)
{
  struct rvw_message message;
  (void)arg;
  while (rvw_read (conn, &message))
    {
      char *page = NULL;
      bool is_watch = strncmp (message.head, "GET /kv-watch", 13) == 0;
      pthread_mutex_lock (&lock);
      if (is_watch)
        {
          long long after = query_number (message.head, "after=");
          await_change (after, query_number (message.head, "waitMs="));
          page = write_page ("events", after);
        }
      else if (strncmp (message.head, "GET /kv-range", 13) == 0)
        page = write_page ("items", -1);
      pthread_mutex_unlock (&lock);
      rvw_message_free (&message);
      bool sent = rvw_answer (conn, page != NULL ? 200 : 404, "",
                              page != NULL ? page : "");
      free (page);
      if (!sent)
        return;
    }
}

unsigned int
rvw_store_start (void)
{
  return rvw_listen (serve, NULL);
}
