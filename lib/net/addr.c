#include "net.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

/* Sets ADDR from a numeric HOST.  Returns 0, or RW_E_PARSE if HOST is not a
   numeric address.  */
int
net_addr_set (struct net_addr *addr, struct rw_str host, uint16_t port)
{
  struct sockaddr_storage sa;

  if (host.len >= sizeof addr->host)
    return RW_E_PARSE;
  rw_str_copy (addr->host, sizeof addr->host, host);
  addr->port = port;
  return net_addr_to_sockaddr (addr, &sa);
}

/* Parses "1.2.3.4:80" or "[::1]:80".  Returns 0, RW_E_PARSE, or RW_E_RANGE if
   the port is not in 1 to 65535.  */
int
net_addr_parse (struct rw_str text, struct net_addr *addr)
{
  const char *colon = memrchr (text.ptr, ':', text.len);
  struct rw_str host;
  struct rw_str digits;
  int64_t port;
  int rc;

  if (colon == NULL)
    return RW_E_PARSE;
  host = (struct rw_str){ text.ptr, (size_t)(colon - text.ptr) };
  digits = (struct rw_str){ colon + 1, text.len - host.len - 1 };
  if (host.len >= 2 && host.ptr[0] == '[' && host.ptr[host.len - 1] == ']')
    host = (struct rw_str){ host.ptr + 1, host.len - 2 };
  rc = rw_str_to_int (digits, 1, UINT16_MAX, &port);
  return rc < 0 ? rc : net_addr_set (addr, host, (uint16_t)port);
}

/* Writes "host:port", or "[host]:port" for IPv6, to BUF and returns a view of
   it.  */
struct rw_str
net_addr_format (const struct net_addr *addr, char buf[NET_ADDR_TEXT_SIZE])
{
  bool v6 = strchr (addr->host, ':') != NULL;
  int len = snprintf (buf, NET_ADDR_TEXT_SIZE, v6 ? "[%s]:%u" : "%s:%u",
                      addr->host, (unsigned int)addr->port);

  return (struct rw_str){ buf, len > 0 ? (size_t)len : 0 };
}

/* Returns 0, or RW_E_PARSE if ADDR is not numeric.  */
int
net_addr_to_sockaddr (const struct net_addr *addr, struct sockaddr_storage *sa)
{
  memset (sa, 0, sizeof *sa);
  if (strchr (addr->host, ':') != NULL)
    return uv_ip6_addr (addr->host, addr->port, (struct sockaddr_in6 *)sa) == 0
               ? 0
               : RW_E_PARSE;
  return uv_ip4_addr (addr->host, addr->port, (struct sockaddr_in *)sa) == 0
             ? 0
             : RW_E_PARSE;
}

/* Returns 0, or RW_E_PARSE for another address family.  */
int
net_addr_from_sockaddr (const struct sockaddr *sa, struct net_addr *addr)
{
  const struct sockaddr_in *v4 = (const struct sockaddr_in *)sa;
  const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)sa;

  memset (addr, 0, sizeof *addr);
  if (sa->sa_family == AF_INET)
    {
      addr->port = ntohs (v4->sin_port);
      return uv_ip4_name (v4, addr->host, sizeof addr->host);
    }
  if (sa->sa_family != AF_INET6)
    return RW_E_PARSE;
  addr->port = ntohs (v6->sin6_port);
  return uv_ip6_name (v6, addr->host, sizeof addr->host);
}
