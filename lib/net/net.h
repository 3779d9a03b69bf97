/* Sockets: streams of RPC records and datagrams between daemons, an HTTP
   server and an HTTP client, all on one libuv loop.  */

#ifndef NET_NET_H
#define NET_NET_H

#include <h2o.h>
#include <uv.h>

#include "base.h"
#include "wire.h"

/* A numeric IPv4 or IPv6 address and a port.  */
struct net_addr
{
  char host[46];
  uint16_t port;
};

#define NET_ADDR_TEXT_SIZE 64

int net_addr_set (struct net_addr *addr, struct rw_str host, uint16_t port);
int net_addr_parse (struct rw_str text, struct net_addr *addr);
struct rw_str net_addr_format (const struct net_addr *addr,
                               char buf[NET_ADDR_TEXT_SIZE]);
int net_addr_to_sockaddr (const struct net_addr *addr,
                          struct sockaddr_storage *sa);
int net_addr_from_sockaddr (const struct sockaddr *sa, struct net_addr *addr);

/* Streams and datagrams between daemons.  */

/* Connections of other daemons, and of this one to others.  2,300 daemons
   need at most 4,600.  */
#define NET_MAX_STREAMS 8192
/* Bytes queued on one stream.  A SUBMIT is about 2 KB and a FETCH reply at
   most 4 MB.  */
#define NET_MAX_QUEUE_BYTES (8 * 1024 * 1024)
/* Above the time after which a lost SYN is a fault: one way is at most 1.5 ms,
   and the kernel sends a SYN again after 1 s.  */
#define NET_CONNECT_TIMEOUT (500 * RW_MSEC)
/* Data that the peer's kernel does not acknowledge closes the stream.  */
#define NET_UNACKED_TIMEOUT_MS 2000

/* Events of the streams.  Records sent during ON_OPEN go before those that
   waited for the connection.  A negative result of ON_RECORD or ON_DATAGRAM
   means a malformed message, described in ERR; it closes the stream.  */
struct net_rpc_ops
{
  int (*on_record) (void *arg, uint64_t stream, struct rw_str data,
                    struct rw_err *err);
  void (*on_open) (void *arg, uint64_t stream, const struct net_addr *addr);
  void (*on_closed) (void *arg, uint64_t stream);
  void (*on_unsent) (void *arg, uint64_t token);
  int (*on_datagram) (void *arg, const struct net_addr *from,
                      struct rw_str data, struct rw_err *err);
  void (*on_error) (void *arg, const struct rw_err *err);
};

struct net_stream;

struct net_rpc_counts
{
  uint64_t records_in;
  uint64_t records_out;
  uint64_t records_unsent;
  uint64_t writes;
  uint64_t datagrams_in;
  uint64_t datagrams_out;
  uint64_t datagrams_dropped;
  uint64_t streams_refused;
};

struct net_rpc
{
  uv_loop_t *loop;
  const struct net_rpc_ops *ops;
  void *arg;
  uv_tcp_t listener;
  uv_udp_t udp;
  uv_timer_t connect_timer;
  uint64_t next_stream;
  struct rw_map streams;          /* by number */
  struct rw_map outgoing_by_addr; /* streams opened by this daemon */
  struct net_stream *flush_list;
  char *read_buf;
  uint16_t port; /* of the listener and of the UDP socket */
  struct net_rpc_counts counts;
};

int net_rpc_init (struct net_rpc *rpc, uv_loop_t *loop,
                  const struct net_addr *addr, const struct net_rpc_ops *ops,
                  void *arg, struct rw_err *err);
void net_rpc_finish (struct net_rpc *rpc);
void net_rpc_send (struct net_rpc *rpc, uint64_t stream,
                   const struct net_addr *to, uint64_t token,
                   struct rw_str record);
void net_rpc_flush (struct net_rpc *rpc);
void net_rpc_send_datagram (struct net_rpc *rpc, const struct net_addr *to,
                            struct rw_str data);

/* HTTP server.  */

#define NET_MAX_BODY_BYTES (1024 * 1024)
#define NET_MAX_HTTP_CONNECTIONS 4096
#define NET_HTTP_REQUEST_TIMEOUT_MS 60000

/* A request; the views are valid during the call of the handler.  */
struct net_request
{
  uint64_t id; /* not 0, new for each request */
  struct rw_str method;
  struct rw_str path; /* without the query */
  struct rw_str query;
  struct rw_str body;
  const h2o_req_t *req;
};

struct net_response
{
  int status;
  const char *content_type;  /* static */
  int64_t retry_after_ms;    /* -1: no Retry-After header */
  struct rw_str traceparent; /* empty: none */
  struct rw_str body;
};

struct net_http_ops
{
  void (*on_request) (void *arg, const struct net_request *request);
  /* The connection ended before the answer.  */
  void (*on_disconnect) (void *arg, uint64_t id);
};

struct net_http
{
  uv_loop_t *loop;
  const struct net_http_ops *ops;
  void *arg;
  uv_tcp_t listener;
  h2o_globalconf_t config;
  h2o_context_t context;
  h2o_accept_ctx_t accept_ctx;
  uint64_t next_id;
  struct rw_map pending; /* requests without answer, by id */
  size_t connection_count;
  uint64_t connections_refused; /* connections */
  uint16_t port;
};

int net_http_init (struct net_http *http, uv_loop_t *loop,
                   const struct net_addr *addr, const struct net_http_ops *ops,
                   void *arg, struct rw_err *err);
struct rw_str net_http_header (const struct net_request *request,
                               const char *name);
void net_http_respond (struct net_http *http, uint64_t id,
                       const struct net_response *response);
void net_http_drain (struct net_http *http);
void net_http_stop (struct net_http *http);
void net_http_finish (struct net_http *http);

/* HTTP client.  */

/* Idle connections are closed after this time, and unused targets are
   forgotten after twice this time.  */
#define NET_KEEPALIVE_TIMEOUT_MS 10000
#define NET_MAX_TARGETS 16384

struct net_reply
{
  const struct rw_err *err; /* null: STATUS and BODY are the answer */
  bool sent;                /* bytes were handed to the transport */
  int status;
  int64_t retry_after_ms; /* -1: none */
  uint64_t version;       /* header X-Version; 0: none */
  struct rw_str body;
};

typedef void net_call_done (void *arg, uint64_t tag,
                            const struct net_reply *reply);

/* One call.  The strings are copied.  */
struct net_call_spec
{
  struct net_addr to;
  struct rw_str peer;     /* name for errors; empty: the address */
  size_t max_connections; /* to this address */
  rw_time timeout;
  const char *method;
  struct rw_str path;
  struct rw_str headers; /* lines that each end in CR LF, or empty */
  struct rw_str body;
  net_call_done *done;
  void *arg;
  uint64_t tag;
};

struct net_call;
struct net_target;

struct net_client_counts
{
  uint64_t calls;
  uint64_t failed;
  uint64_t timeouts;
  uint64_t refused; /* by the limit of connections */
};

struct net_client
{
  uv_loop_t *loop;
  uv_timer_t deadline_timer; /* deadlines */
  uv_timer_t sweep_timer;    /* unused targets */
  h2o_timeout_t io_timeout;
  h2o_http1client_ctx_t ctx;
  struct rw_heap deadlines;
  struct rw_map calls;   /* by number */
  struct rw_map targets; /* by hash of the address */
  struct net_target *disposed;
  struct net_call *finished; /* calls to report, oldest first */
  struct net_call *finished_last;
  uint64_t next_call;
  bool stopping;
  struct net_client_counts counts;
};

void net_client_init (struct net_client *client, uv_loop_t *loop);
void net_client_finish (struct net_client *client);
uint64_t net_client_start (struct net_client *client,
                           const struct net_call_spec *spec);
bool net_client_abort (struct net_client *client, uint64_t call);
bool net_client_flush (struct net_client *client);

#endif
