#include "rpc_udp.h"

static void
on_udp_alloc (uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
  struct net_rpc *rpc = handle->data;

  (void)suggested;
  *buf = uv_buf_init (rpc->read_buf, RPC_READ_BUF_SIZE);
}

static void
on_udp_read (uv_udp_t *udp, ssize_t nread, const uv_buf_t *buf,
             const struct sockaddr *sa, unsigned int flags)
{
  struct net_rpc *rpc = udp->data;
  struct net_addr from;
  struct rw_err err;
  int code;

  if (nread <= 0 || sa == NULL || net_addr_from_sockaddr (sa, &from) < 0)
    return;
  if ((flags & UV_UDP_PARTIAL) != 0 || nread > WIR_MAX_DATAGRAM)
    {
      rpc->counts.datagrams_dropped++;
      return;
    }
  rpc->counts.datagrams_in++;
  code = rpc->ops->on_datagram (
      rpc->arg, &from, (struct rw_str){ buf->base, (size_t)nread }, &err);
  if (code < 0)
    rpc->ops->on_error (rpc->arg, &err);
}

/* Sends a datagram.  It is dropped if the kernel does not accept it at once;
   the probes sent this way are repeated.  */
void
net_rpc_send_datagram (struct net_rpc *rpc, const struct net_addr *to,
                       struct rw_str data)
{
  struct sockaddr_storage sa;
  uv_buf_t buf = uv_buf_init ((char *)data.ptr, (unsigned int)data.len);

  if (net_addr_to_sockaddr (to, &sa) == 0
      && uv_udp_try_send (&rpc->udp, &buf, 1, (struct sockaddr *)&sa) >= 0)
    rpc->counts.datagrams_out++;
  else
    rpc->counts.datagrams_dropped++;
}

int
net_rpc_bind_udp (struct net_rpc *rpc, const struct net_addr *addr)
{
  struct net_addr same_port = *addr;
  struct sockaddr_storage sa;
  int rc;

  same_port.port = rpc->port;
  rc = net_addr_to_sockaddr (&same_port, &sa);
  uv_udp_init (rpc->loop, &rpc->udp);
  rpc->udp.data = rpc;
  if (rc == 0)
    rc = uv_udp_bind (&rpc->udp, (struct sockaddr *)&sa, 0);
  if (rc == 0)
    rc = uv_udp_recv_start (&rpc->udp, on_udp_alloc, on_udp_read);
  return rc;
}
