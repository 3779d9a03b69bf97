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

static int
compare_keys (const void *a, const void *b)
{
  const struct event *const *x = a;
  const struct event *const *y = b;
  return strcmp ((*x)->key, (*y)->key);
}

/* Sorts the current items whose keys begin with PREFIX and come after AFTER
   into FOUND.  Returns their number.  */
static size_t
find_items (const char *prefix, const char *after, const struct event **found)
{
  size_t count = 0;
  for (size_t i = 0; i < event_count; i++)
    if (events[i].is_current
        && strncmp (events[i].key, prefix, strlen (prefix)) == 0
        && strcmp (events[i].key, after) > 0)
      found[count++] = &events[i];
  qsort (found, count, sizeof *found, compare_keys);
  return count;
}

/* The events after AFTER of the keys that begin with PREFIX.  */
static size_t
find_events (const char *prefix, long long after, const struct event **found)
{
  size_t count = 0;
  for (size_t i = 0; i < event_count; i++)
    if (events[i].revision > after
        && strncmp (events[i].key, prefix, strlen (prefix)) == 0)
      found[count++] = &events[i];
  return count;
}

static void
write_item (FILE *file, const struct event *e)
{
  fprintf (file,
           "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,"
           "\"created\":%lld,\"leaseId\":0}",
           e->key, e->value, e->revision, e->revision);
}

/* Writes the COUNT entries of FOUND as the list NAME.  */
static char *
write_page (const char *name, const struct event **found, size_t count)
{
  char *out = NULL;
  size_t len = 0;
  FILE *file = open_memstream (&out, &len);
  if (file == NULL)
    abort ();
  fprintf (file, "{\"%s\":[", name);
  for (size_t i = 0; i < count; i++)
    {
      fputs (i > 0 ? "," : "", file);
      write_item (file, found[i]);
    }
  fprintf (file, "],\"hasMore\":false,\"at\":%lld}", revision);
  fclose (file);
  return out;
}

/* Copies the value of the field NAME of the query of LINE to BUF, decoded;
   empty if there is none.  */
static void
query_field (const char *line, const char *name, char *buf, size_t size)
{
  size_t len = 0;
  const char *end = line + strcspn (line, "\r");
  const char *at = strchr (line, '?');
  size_t name_len = strlen (name);
  while (
      at != NULL && at < end
      && !(strncmp (at + 1, name, name_len) == 0 && at[name_len + 1] == '='))
    at = strchr (at + 1, '&');
  if (at != NULL && at < end)
    for (at += name_len + 2;
         at < end && *at != '&' && *at != ' ' && len + 1 < size; at++)
      {
        char hex[3] = { 0 };
        if (*at == '%' && end - at > 2)
          {
            memcpy (hex, at + 1, 2);
            at += 2;
          }
        buf[len++] = hex[0] != '\0' ? (char)strtol (hex, NULL, 16) : *at;
      }
  buf[len] = '\0';
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

/* The answer to the call in the first line of HEAD; null: there is none.  */
static char *
answer_call (const char *head)
{
  static const struct event *found[MAX_EVENTS];
  char prefix[KEY_BYTES];
  char after[KEY_BYTES];
  char text[KEY_BYTES];
  query_field (head, "prefix", prefix, sizeof prefix);
  query_field (head, "after", after, sizeof after);
  if (strncmp (head, "GET /kv-watch", 13) == 0)
    {
      long long since = strtoll (after, NULL, 10);
      query_field (head, "waitMs", text, sizeof text);
      await_change (since, strtoll (text, NULL, 10));
      return write_page ("events", found, find_events (prefix, since, found));
    }
  if (strncmp (head, "GET /kv-range", 13) == 0)
    return write_page ("items", found, find_items (prefix, after, found));
  if (strncmp (head, "GET /kv-key", 11) != 0)
    return NULL;
  char *out = NULL;
  size_t len = 0;
  query_field (head, "key", text, sizeof text);
  if (find_items (text, "", found) == 0 || strcmp (found[0]->key, text) != 0)
    return NULL;
  FILE *file = open_memstream (&out, &len);
  if (file == NULL)
    abort ();
  write_item (file, found[0]);
  fclose (file);
  return out;
}

static void
serve (void *arg, struct rvw_conn *conn)
{
  struct rvw_message message;
  (void)arg;
  while (rvw_read (conn, &message))
    {
      pthread_mutex_lock (&lock);
      char *page = answer_call (message.head);
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
