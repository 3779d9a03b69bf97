#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "rvw.h"

#define ANSWER_BYTES 1024
#define NO_TIME_BUDGET_MS 60000
/* A second copy of an answer comes this much later, at the point where the
   next answer is expected.  */
#define MIN_COPY_DELAY_US 1500
#define COPY_DELAY_SPREAD_US 3500
#define COPY_POLL_US 200
#define MAX_COPY_POLLS 100

struct started
{
  struct rvw_searcher *searcher;
  rvw_on_run *on_run;
};

struct copy
{
  struct rvw_conn *conn;
  char text[ANSWER_BYTES];
  size_t len;
};

/* Sends the copy if an answer is expected.  */
static bool
try_copy (const struct copy *copy)
{
  bool sent = false;
  pthread_mutex_lock (&copy->conn->lock);
  bool is_due = copy->conn->expects_answer || copy->conn->closed;
  pthread_mutex_unlock (&copy->conn->lock);
  if (is_due)
    sent = rvw_send (copy->conn, copy->text, copy->len);
  return is_due || sent;
}

static void *
run_copy (void *arg)
{
  struct copy *copy = arg;
  rvw_sleep_us (MIN_COPY_DELAY_US
                + (int64_t)(rvw_random () * COPY_DELAY_SPREAD_US));
  for (int i = 0; i < MAX_COPY_POLLS && !try_copy (copy); i++)
    rvw_sleep_us (COPY_POLL_US);
  rvw_conn_unref (copy->conn);
  free (copy);
  return NULL;
}

/* Answers, and perhaps sends the answer once more later.  */
static bool
answer (struct rvw_searcher *s, struct rvw_conn *conn, int status,
        const char *id, const char *more_headers, const char *body)
{
  char text[ANSWER_BYTES];
  pthread_mutex_lock (&s->lock);
  bool is_copied = s->copy_share > 0 && rvw_random () < s->copy_share;
  int len = snprintf (text, sizeof text,
                      "HTTP/1.1 %d Status\r\n"
                      "X-Redwingfork-Request-Id: %s\r\n"
                      "X-Redwingfork-Server-Stamp: %s.%s\r\n"
                      "X-Redwingfork-Server-Load: %u,%u,%u\r\n"
                      "%sContent-Length: %zu\r\n\r\n%s",
                      status, id, s->id, id, s->running, s->waiting, s->slots,
                      more_headers, strlen (body), body);
  s->copies += is_copied;
  pthread_mutex_unlock (&s->lock);
  pthread_mutex_lock (&conn->lock);
  conn->expects_answer = false;
  pthread_mutex_unlock (&conn->lock);
  if (!rvw_send (conn, text, (size_t)len))
    return false;
  if (!is_copied)
    return true;
  rvw_record ("searcher %s: will send its answer %d to %s once more", s->id,
              status, id);
  struct copy *copy = calloc (1, sizeof *copy);
  if (copy == NULL)
    abort ();
  rvw_conn_ref (conn);
  copy->conn = conn;
  copy->len = (size_t)len;
  memcpy (copy->text, text, copy->len);
  rvw_start_thread (run_copy, copy);
  return true;
}

/* Takes a slot, or waits for one.  Returns false if the queue is full.  */
static bool
take_slot (struct rvw_searcher *s)
{
  pthread_mutex_lock (&s->lock);
  bool has_room = s->running < s->slots || s->waiting < s->queue;
  if (has_room)
    {
      s->waiting++;
      while (s->running >= s->slots)
        pthread_cond_wait (&s->freed, &s->lock);
      s->waiting--;
      s->running++;
    }
  else
    s->refusals++;
  pthread_mutex_unlock (&s->lock);
  return has_room;
}

static void
free_slot (struct rvw_searcher *s)
{
  pthread_mutex_lock (&s->lock);
  s->running--;
  pthread_cond_signal (&s->freed);
  pthread_mutex_unlock (&s->lock);
}

/* Copies the path of the first line of MESSAGE to BUF.  */
static void
read_path (const struct rvw_message *message, char *buf, size_t size)
{
  const char *path = message->head + strcspn (message->head, " ");
  path += strspn (path, " ");
  size_t len = strcspn (path, " \r");
  if (len >= size)
    len = size - 1;
  memcpy (buf, path, len);
  buf[len] = '\0';
}

/* Whether the other side has closed CONN.  Requests are dropped then.  */
static bool
is_abandoned (const struct rvw_conn *conn)
{
  char byte;
  return recv (conn->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

/* The time budget that MESSAGE states.  */
static int64_t
time_left_ms (const struct rvw_message *message)
{
  char value[32];
  rvw_header (message, "X-Redwingfork-Deadline-Ms", value, sizeof value);
  return value[0] != '\0' ? strtoll (value, NULL, 10) : NO_TIME_BUDGET_MS;
}

static bool
answer_health (const struct rvw_searcher *s, struct rvw_conn *conn)
{
  char headers[128];
  snprintf (headers, sizeof headers, "X-Redwingfork-Instance-Id: %s\r\n",
            s->id);
  return rvw_answer (conn, 200, headers, "");
}

static bool
serve_one (const struct started *started, struct rvw_conn *conn,
           const struct rvw_message *message)
{
  struct rvw_searcher *s = started->searcher;
  char id[64];
  char expected[64];
  char path[256];
  rvw_header (message, "X-Redwingfork-Request-Id", id, sizeof id);
  rvw_header (message, "X-Redwingfork-Expect-Instance", expected,
              sizeof expected);
  read_path (message, path, sizeof path);
  pthread_mutex_lock (&conn->lock);
  conn->expects_answer = true;
  pthread_mutex_unlock (&conn->lock);
  if (expected[0] != '\0' && strcmp (expected, s->id) != 0)
    return answer (s, conn, 421, id, "X-Redwingfork-Not-Executed: 1\r\n", "");
  if (strcmp (path, "/health") == 0)
    return answer_health (s, conn);
  int64_t until_ms = rvw_now_ms () + time_left_ms (message);
  rvw_count_arrival (s, id);
  if (!take_slot (s))
    return answer (s, conn, 503, id, "X-Redwingfork-Not-Executed: 1\r\n", "");
  if (is_abandoned (conn))
    {
      free_slot (s);
      return false;
    }
  int64_t left_us = (until_ms - rvw_now_ms ()) * 1000;
  if (left_us <= 0)
    {
      free_slot (s);
      return answer (s, conn, 503, id, "X-Redwingfork-Not-Executed: 1\r\n",
                     "");
    }
  started->on_run (s, id, path);
  rvw_sleep_us (left_us < s->work_us ? left_us : s->work_us);
  free_slot (s);
  return answer (s, conn, left_us < s->work_us ? 504 : 200, id, "", id);
}

static void
serve (void *arg, struct rvw_conn *conn)
{
  struct rvw_message message;
  while (rvw_read (conn, &message))
    {
      bool go_on = serve_one (arg, conn, &message);
      rvw_message_free (&message);
      if (!go_on)
        return;
    }
}

void
rvw_searcher_start (struct rvw_searcher *searcher, rvw_on_run *on_run)
{
  struct started *started = calloc (1, sizeof *started);
  if (started == NULL)
    abort ();
  started->searcher = searcher;
  started->on_run = on_run;
  pthread_mutex_init (&searcher->lock, NULL);
  pthread_cond_init (&searcher->freed, NULL);
  searcher->port = rvw_listen (serve, started);
}

void
rvw_searcher_entry (const struct rvw_searcher *searcher, char *buf,
                    size_t size)
{
  snprintf (buf, size,
            "{\"service\":\"%s\",\"address\":\"127.0.0.1:%u\","
            "\"zone\":\"zone-a\",\"version\":\"v1\",\"capacity\":%u,"
            "\"state\":\"ready\",\"warmupLeftMs\":0,\"sequence\":1,"
            "\"born\":1700000000000}",
            searcher->service, searcher->port, searcher->slots);
}

void
rvw_searcher_publish (const struct rvw_searcher *searcher)
{
  char key[64];
  char entry[512];
  snprintf (key, sizeof key, "servers/%s", searcher->id);
  rvw_searcher_entry (searcher, entry, sizeof entry);
  (void)rvw_store_put (key, entry);
}
