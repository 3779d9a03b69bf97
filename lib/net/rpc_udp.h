/* The datagrams of lib/net's RPC.  */

#ifndef NET_RPC_UDP_H
#define NET_RPC_UDP_H

#include "net.h"

/* Bytes of the read buffer that all sockets of a net_rpc share.  */
#define RPC_READ_BUF_SIZE ((size_t)64 * 1024)

/* Binds the datagram socket to the host of ADDR and the port RPC->port, and
   starts to read.  Returns 0 or a negative error number.  */
int net_rpc_bind_udp (struct net_rpc *rpc, const struct net_addr *addr);

#endif
