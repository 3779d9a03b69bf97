/* Carries datagrams between two daemons whose peers' ports differ:

     rwfudp A1 A2 B1 B2

   A1 and B2 are the addresses of the two daemons, each HOST:PORT.  What
   arrives at A2 goes to A1 and comes from B1, and what arrives at B1 goes to
   B2 and comes from A2.  So the daemon at B2 takes the host of A1 for a peer
   with its own port, where another program can listen on TCP.  */

#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>

#include "net.h"

#define MAX_DATAGRAM 65536

enum
{
  A1,
  A2,
  B1,
  B2,
  ADDR_COUNT
};

struct way
{
  int in;  /* datagrams that arrive here */
  int out; /* leave from here */
  const struct sockaddr_storage *to;
};

static int
open_socket (const struct sockaddr_storage *addr)
{
  int fd = socket (AF_INET, SOCK_DGRAM, 0);
  if (bind (fd, (const struct sockaddr *)addr, sizeof (struct sockaddr_in))
      != 0)
    {
      perror ("rwfudp: bind");
      exit (1);
    }
  return fd;
}

static void
carry (const struct way *way)
{
  static char data[MAX_DATAGRAM];
  ssize_t len = recv (way->in, data, sizeof data, MSG_DONTWAIT);
  if (len >= 0)
    (void)sendto (way->out, data, (size_t)len, 0,
                  (const struct sockaddr *)way->to,
                  sizeof (struct sockaddr_in));
}

int
main (int argc, char **argv)
{
  struct sockaddr_storage addrs[ADDR_COUNT];
  if (argc != ADDR_COUNT + 1)
    {
      fprintf (stderr, "usage: rwfudp A1 A2 B1 B2\n");
      return 2;
    }
  for (int i = 0; i < ADDR_COUNT; i++)
    {
      struct net_addr addr;
      if (net_addr_parse (rw_str_from (argv[i + 1]), &addr) != 0
          || net_addr_to_sockaddr (&addr, &addrs[i]) != 0)
        {
          fprintf (stderr, "rwfudp: %s: invalid address\n", argv[i + 1]);
          return 2;
        }
    }
  int a = open_socket (&addrs[A2]);
  int b = open_socket (&addrs[B1]);
  struct way ways[] = { { a, b, &addrs[A1] }, { b, a, &addrs[B2] } };
  struct pollfd fds[]
      = { { .fd = a, .events = POLLIN }, { .fd = b, .events = POLLIN } };
  while (poll (fds, RW_ARRAY_LEN (fds), -1) >= 0)
    for (size_t i = 0; i < RW_ARRAY_LEN (fds); i++)
      if (fds[i].revents != 0)
        carry (&ways[i]);
  return 1;
}
