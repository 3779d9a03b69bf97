/* A server whose answers are any bytes:

     rwfbroken DIRECTORY [HOST:PORT]

   It listens on HOST:PORT, by default on a free port of the loopback address.
   In DIRECTORY it looks, at each request, for these files:

     answer  what it sends; "%I" stands for the request's id
     repeat  what it sends after that, again and again until the client closes
     close   if it is there, the server then closes the connection

   It prints its port, then "request ID" for each request and "closed ID BYTES"
   when a client has closed while the server was sending.  */

#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "net.h"

#define MAX_REQUEST_BYTES 65536
#define MIN_REPEAT_BYTES 65536
#define ID_HEADER "X-Redwingfork-Request-Id: "
#define ID_MARK "%I"

static const char *directory;

/* Reads the file NAME of the directory into OUT.  Returns whether there is
   one.  */
static bool
read_file (const char *name, struct rw_buf *out)
{
  char path[512];
  char piece[4096];
  size_t len;
  snprintf (path, sizeof path, "%s/%s", directory, name);
  FILE *file = fopen (path, "r");
  if (file == NULL)
    return false;
  while ((len = fread (piece, 1, sizeof piece, file)) > 0)
    rw_buf_append (out, piece, len);
  fclose (file);
  return true;
}

/* Reads the head of a request.  Returns whether there is a whole one, and its
   id in ID.  */
static bool
read_request (int fd, char *id, size_t size)
{
  char head[MAX_REQUEST_BYTES];
  size_t len = 0;
  while (memmem (head, len, "\r\n\r\n", 4) == NULL)
    {
      ssize_t n
          = len < sizeof head ? read (fd, head + len, sizeof head - len) : 0;
      if (n <= 0)
        return false;
      len += (size_t)n;
    }
  const char *at = memmem (head, len, ID_HEADER, strlen (ID_HEADER));
  struct rw_str value = RW_LIT ("none");
  if (at != NULL)
    {
      at += strlen (ID_HEADER);
      value = (struct rw_str){
        at, (size_t)((const char *)memchr (at, '\r', len) - at)
      };
    }
  rw_str_copy (id, size, value);
  return true;
}

/* Writes DATA.  Returns whether the client took all of it.  */
static bool
write_all (int fd, struct rw_str data, uint64_t *written)
{
  while (data.len > 0)
    {
      ssize_t n = write (fd, data.ptr, data.len);
      if (n <= 0)
        return false;
      data.ptr += n;
      data.len -= (size_t)n;
      *written += (uint64_t)n;
    }
  return true;
}

/* Writes TEXT to FD with ID in the place of each ID_MARK.  */
static bool
write_answer (int fd, struct rw_str text, const char *id, uint64_t *written)
{
  const char *mark;
  while ((mark = memmem (text.ptr, text.len, ID_MARK, strlen (ID_MARK)))
         != NULL)
    {
      size_t len = (size_t)(mark - text.ptr);
      if (!write_all (fd, (struct rw_str){ text.ptr, len }, written)
          || !write_all (fd, rw_str_from (id), written))
        return false;
      text.ptr += len + strlen (ID_MARK);
      text.len -= len + strlen (ID_MARK);
    }
  return write_all (fd, text, written);
}

/* Writes UNIT again and again until the client closes.  */
static void
write_without_end (int fd, struct rw_str unit, uint64_t *written)
{
  struct rw_buf block;
  rw_buf_init (&block);
  while (block.len < MIN_REPEAT_BYTES)
    rw_buf_append_str (&block, unit);
  while (write_all (fd, rw_buf_str (&block), written))
    ;
  rw_buf_finish (&block);
}

/* Answers one request.  Returns whether the connection can take another.  */
static bool
serve (int fd)
{
  char id[256];
  struct rw_buf answer;
  struct rw_buf unit;
  struct rw_buf none;
  uint64_t written = 0;
  if (!read_request (fd, id, sizeof id))
    return false;
  printf ("request %s\n", id);
  rw_buf_init (&answer);
  rw_buf_init (&unit);
  rw_buf_init (&none);
  read_file ("answer", &answer);
  bool open = write_answer (fd, rw_buf_str (&answer), id, &written);
  if (open && read_file ("repeat", &unit) && unit.len > 0)
    {
      write_without_end (fd, rw_buf_str (&unit), &written);
      open = false;
    }
  if (!open)
    printf ("closed %s %llu\n", id, (unsigned long long)written);
  open = open && !read_file ("close", &none);
  rw_buf_finish (&answer);
  rw_buf_finish (&unit);
  rw_buf_finish (&none);
  return open;
}

static void *
run_connection (void *arg)
{
  int fd = (int)(intptr_t)arg;
  while (serve (fd))
    ;
  close (fd);
  return NULL;
}

int
main (int argc, char **argv)
{
  struct net_addr listen_on = { .host = "127.0.0.1" };
  struct sockaddr_storage addr;
  socklen_t len = sizeof (struct sockaddr_in);
  pthread_t thread;
  int on = 1;
  int fd;
  if (argc < 2 || argc > 3
      || (argc == 3 && net_addr_parse (rw_str_from (argv[2]), &listen_on) != 0)
      || net_addr_to_sockaddr (&listen_on, &addr) != 0)
    {
      fprintf (stderr, "usage: rwfbroken DIRECTORY [HOST:PORT]\n");
      return 2;
    }
  directory = argv[1];
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  int listener = socket (AF_INET, SOCK_STREAM, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (listener, (struct sockaddr *)&addr, len) != 0
      || listen (listener, 128) != 0)
    {
      perror ("rwfbroken");
      return 1;
    }
  getsockname (listener, (struct sockaddr *)&addr, &len);
  printf ("port=%u\n", ntohs (((struct sockaddr_in *)&addr)->sin_port));
  while ((fd = accept (listener, NULL, NULL)) >= 0)
    if (pthread_create (&thread, NULL, run_connection, (void *)(intptr_t)fd)
        == 0)
      pthread_detach (thread);
    else
      close (fd);
  return 1;
}
