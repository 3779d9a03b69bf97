#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>

#include "rvw.h"

#define READY_TRIES 200
#define READY_INTERVAL_US 100000
/* An answer is awaited this much longer than the time budget.  */
#define ANSWER_SLACK_MS 1500

static unsigned int caller_port;
static unsigned int ready_port;

void
rvw_set_ports (unsigned int callers, unsigned int ready)
{
  caller_port = callers;
  ready_port = ready;
}

static void
set_timeout (const struct rvw_conn *conn, unsigned int ms)
{
  struct timeval tv = { ms / 1000, ms % 1000 * 1000 };
  setsockopt (conn->fd, SOL_SOCKET, SO_RCVTIMEO, &tv, sizeof tv);
}

static void
drop_conn (struct rvw_client *client)
{
  if (client->conn != NULL)
    rvw_conn_close (client->conn);
  client->conn = NULL;
}

/* The status in the first line of MESSAGE.  */
static int
status_of (const struct rvw_message *message)
{
  const char *at = strchr (message->head, ' ');
  return at != NULL ? (int)strtol (at, NULL, 10) : 0;
}

struct rvw_result
rvw_post (struct rvw_client *client, const char *id, const char *path,
          const char *headers, unsigned int time_left_ms)
{
  struct rvw_result result = { 0, false };
  struct rvw_message message;
  char text[512];
  char value[64];
  int len = snprintf (text, sizeof text,
                      "POST %s HTTP/1.1\r\nHost: site.example\r\n"
                      "X-Redwingfork-Request-Id: %s\r\n"
                      "X-Redwingfork-Deadline-Ms: %u\r\n%s"
                      "Content-Length: 5\r\n\r\nlens\n",
                      path, id, time_left_ms, headers);
  if (client->conn == NULL)
    client->conn = rvw_connect (client->ip, caller_port);
  if (client->conn == NULL)
    return result;
  set_timeout (client->conn, time_left_ms + ANSWER_SLACK_MS);
  if (!rvw_send (client->conn, text, (size_t)len)
      || !rvw_read (client->conn, &message))
    {
      drop_conn (client);
      return result;
    }
  result.status = status_of (&message);
  result.is_own = strcmp (message.body, id) == 0;
  rvw_header (&message, "Connection", value, sizeof value);
  rvw_message_free (&message);
  if (strcmp (value, "close") == 0)
    drop_conn (client);
  return result;
}

/* Whether the daemon at IP says that it is ready.  */
static bool
is_ready (const char *ip)
{
  static const char text[] = "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n";
  struct rvw_message message;
  struct rvw_conn *conn = rvw_connect (ip, ready_port);
  bool ready = false;
  if (conn == NULL)
    return false;
  set_timeout (conn, 1000);
  if (rvw_send (conn, text, sizeof text - 1) && rvw_read (conn, &message))
    {
      ready = status_of (&message) == 200;
      rvw_message_free (&message);
    }
  rvw_conn_close (conn);
  return ready;
}

bool
rvw_await_ready (const char *ip)
{
  for (int i = 0; i < READY_TRIES; i++)
    {
      if (is_ready (ip))
        return true;
      rvw_sleep_us (READY_INTERVAL_US);
    }
  return false;
}

unsigned long
rvw_unread_bytes (const char *ip)
{
  struct in_addr addr;
  char line[512];
  unsigned long unread = 0;
  FILE *file = fopen ("/proc/net/tcp", "re");
  if (file == NULL || inet_pton (AF_INET, ip, &addr) != 1)
    rvw_finish (RVW_NOT_RUN);
  while (fgets (line, sizeof line, file) != NULL)
    {
      unsigned int local;
      unsigned int port;
      unsigned int state;
      unsigned int rx_queue;
      if (sscanf (line, "%*u: %x:%x %*x:%*x %x %*x:%x", &local, &port, &state,
                  &rx_queue)
              == 4
          && local == addr.s_addr && port == caller_port
          && state == TCP_ESTABLISHED)
        unread += rx_queue;
    }
  fclose (file);
  return unread;
}
