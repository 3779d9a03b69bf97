#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "rvw.h"

#define LISTEN_BACKLOG 512
#define MAX_HEADERS_BYTES 1024
#define MIN_PORT 10000
#define PORT_COUNT 20000
#define PORT_TRIES 100

struct listener
{
  int fd;
  rvw_handler *handler;
  void *arg;
};

struct served
{
  struct rvw_conn *conn;
  rvw_handler *handler;
  void *arg;
};

static struct rvw_conn *
conn_new (int fd)
{
  int on = 1;
  struct rvw_conn *conn = calloc (1, sizeof *conn);
  if (conn == NULL)
    abort ();
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  conn->fd = fd;
  conn->refs = 1;
  pthread_mutex_init (&conn->lock, NULL);
  return conn;
}

void
rvw_conn_ref (struct rvw_conn *conn)
{
  pthread_mutex_lock (&conn->lock);
  conn->refs++;
  pthread_mutex_unlock (&conn->lock);
}

void
rvw_conn_unref (struct rvw_conn *conn)
{
  pthread_mutex_lock (&conn->lock);
  bool is_last = --conn->refs == 0;
  pthread_mutex_unlock (&conn->lock);
  if (!is_last)
    return;
  pthread_mutex_destroy (&conn->lock);
  free (conn);
}

void
rvw_conn_close (struct rvw_conn *conn)
{
  pthread_mutex_lock (&conn->lock);
  conn->closed = true;
  close (conn->fd);
  pthread_mutex_unlock (&conn->lock);
  rvw_conn_unref (conn);
}

static void *
run_served (void *arg)
{
  struct served *served = arg;
  served->handler (served->arg, served->conn);
  rvw_conn_close (served->conn);
  free (served);
  return NULL;
}

static void *
run_listener (void *arg)
{
  const struct listener *listener = arg;
  for (;;)
    {
      int fd = accept (listener->fd, NULL, NULL);
      if (fd < 0)
        continue;
      struct served *served = calloc (1, sizeof *served);
      if (served == NULL)
        abort ();
      served->conn = conn_new (fd);
      served->handler = listener->handler;
      served->arg = listener->arg;
      rvw_start_thread (run_served, served);
    }
  return NULL;
}

unsigned int
rvw_listen (rvw_handler *handler, void *arg)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  struct listener *listener = calloc (1, sizeof *listener);
  if (listener == NULL)
    abort ();
  addr.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  listener->fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  listener->handler = handler;
  listener->arg = arg;
  if (listener->fd < 0
      || bind (listener->fd, (struct sockaddr *)&addr, sizeof addr) != 0
      || listen (listener->fd, LISTEN_BACKLOG) != 0
      || getsockname (listener->fd, (struct sockaddr *)&addr, &len) != 0)
    rvw_finish (RVW_NOT_RUN);
  rvw_start_thread (run_listener, listener);
  return ntohs (addr.sin_port);
}

/* Binds a TCP and a UDP socket to PORT of all addresses, and frees it
   again.  Returns the port, 0 if it is in use.  */
static unsigned int
try_port (unsigned int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  socklen_t len = sizeof addr;
  int tcp = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int udp = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  unsigned int found = 0;
  addr.sin_port = htons ((uint16_t)port);
  if (tcp >= 0 && udp >= 0
      && bind (tcp, (struct sockaddr *)&addr, sizeof addr) == 0
      && getsockname (tcp, (struct sockaddr *)&addr, &len) == 0
      && bind (udp, (struct sockaddr *)&addr, sizeof addr) == 0)
    found = ntohs (addr.sin_port);
  close (tcp);
  close (udp);
  return found;
}

unsigned int
rvw_free_port (void)
{
  unsigned int port = 0;
  /* Below the ports that outgoing connections use.  */
  for (int i = 0; i < PORT_TRIES && port == 0; i++)
    port = try_port (MIN_PORT + (unsigned int)(rvw_random () * PORT_COUNT));
  if (port == 0)
    rvw_finish (RVW_NOT_RUN);
  return port;
}

struct rvw_conn *
rvw_connect (const char *ip, unsigned int port)
{
  struct sockaddr_in addr = { .sin_family = AF_INET };
  addr.sin_port = htons ((uint16_t)port);
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return NULL;
  if (inet_pton (AF_INET, ip, &addr.sin_addr) != 1
      || connect (fd, (struct sockaddr *)&addr, sizeof addr) != 0)
    {
      close (fd);
      return NULL;
    }
  return conn_new (fd);
}

/* Reads more bytes.  Returns false at the end, or if the buffer is full.  */
static bool
fill (struct rvw_conn *conn)
{
  if (conn->len == sizeof conn->buf)
    return false;
  ssize_t n = recv (conn->fd, conn->buf + conn->len,
                    sizeof conn->buf - conn->len, 0);
  if (n <= 0)
    return false;
  conn->len += (size_t)n;
  return true;
}

/* Takes LEN bytes off the front of the buffer.  */
static void
consume (struct rvw_conn *conn, size_t len)
{
  memmove (conn->buf, conn->buf + len, conn->len - len);
  conn->len -= len;
}

bool
rvw_read (struct rvw_conn *conn, struct rvw_message *message)
{
  char value[32];
  const char *end;
  while ((end = memmem (conn->buf, conn->len, "\r\n\r\n", 4)) == NULL)
    if (!fill (conn))
      return false;
  size_t head_len = (size_t)(end - conn->buf) + 4;
  if (head_len >= sizeof message->head)
    return false;
  memcpy (message->head, conn->buf, head_len);
  message->head[head_len] = '\0';
  consume (conn, head_len);
  rvw_header (message, "Content-Length", value, sizeof value);
  message->body_len = strtoul (value, NULL, 10);
  message->body = malloc (message->body_len + 1);
  if (message->body == NULL)
    abort ();
  for (size_t have = 0; have < message->body_len;)
    {
      if (conn->len == 0 && !fill (conn))
        {
          rvw_message_free (message);
          return false;
        }
      size_t n = message->body_len - have;
      if (n > conn->len)
        n = conn->len;
      memcpy (message->body + have, conn->buf, n);
      consume (conn, n);
      have += n;
    }
  message->body[message->body_len] = '\0';
  return true;
}

void
rvw_message_free (struct rvw_message *message)
{
  free (message->body);
  message->body = NULL;
}

void
rvw_header (const struct rvw_message *message, const char *name, char *buf,
            size_t size)
{
  size_t name_len = strlen (name);
  const char *line = message->head;
  buf[0] = '\0';
  while ((line = strstr (line, "\r\n")) != NULL)
    {
      line += 2;
      if (strncasecmp (line, name, name_len) != 0 || line[name_len] != ':')
        continue;
      const char *value = line + name_len + 1;
      value += strspn (value, " ");
      size_t len = strcspn (value, "\r");
      if (len >= size)
        len = size - 1;
      memcpy (buf, value, len);
      buf[len] = '\0';
      return;
    }
}

/* Sends with the lock held.  */
static bool
send_locked (struct rvw_conn *conn, const char *data, size_t len)
{
  while (len > 0 && !conn->closed)
    {
      ssize_t n = send (conn->fd, data, len, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      data += n;
      len -= (size_t)n;
    }
  return len == 0;
}

bool
rvw_send (struct rvw_conn *conn, const char *data, size_t len)
{
  pthread_mutex_lock (&conn->lock);
  bool sent = send_locked (conn, data, len);
  pthread_mutex_unlock (&conn->lock);
  return sent;
}

bool
rvw_answer (struct rvw_conn *conn, int status, const char *headers,
            const char *body)
{
  char head[MAX_HEADERS_BYTES + 128];
  size_t body_len = strlen (body);
  int len = snprintf (head, sizeof head,
                      "HTTP/1.1 %d Status\r\n%sContent-Length: %zu\r\n\r\n",
                      status, headers, body_len);
  pthread_mutex_lock (&conn->lock);
  conn->expects_answer = false;
  bool sent = send_locked (conn, head, (size_t)len)
              && send_locked (conn, body, body_len);
  pthread_mutex_unlock (&conn->lock);
  return sent;
}
