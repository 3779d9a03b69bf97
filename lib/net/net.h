/* Sockets on one libuv loop: RPC records over TCP and datagrams over UDP
   between daemons, an HTTP server and an HTTP client.  Streams and the HTTP
   client batch their work: the program calls net_rpc_flush and
   net_client_flush once in each iteration, before the loop waits.  */

#ifndef NET_NET_H
#define NET_NET_H

#include <uv.h>

#include "base.h"
#include "h1.h"
#include "wire.h"

/* A numeric IPv4 or IPv6 address and a port.  */
struct net_addr
{
  char host[46];
  uint16_t port;
};

/* Buffer for "host:port" with the terminating NUL.  */
#define NET_ADDR_TEXT_SIZE 64

int net_addr_set (struct net_addr *addr, struct rw_str host, uint16_t port);
int net_addr_parse (struct rw_str text, struct net_addr *addr);
struct rw_str net_addr_format (const struct net_addr *addr,
                               char buf[NET_ADDR_TEXT_SIZE]);
int net_addr_to_sockaddr (const struct net_addr *addr,
                          struct sockaddr_storage *sa);
int net_addr_from_sockaddr (const struct sockaddr *sa, struct net_addr *addr);

/* RPC: streams of records, and datagrams.  */

/* Limit of the connections, incoming and outgoing together.  2,300 daemons
   need at most 4,600: one in each direction for each peer.  */
#define NET_MAX_STREAMS 8192
/* Limit of the bytes queued on one stream; records above it are unsent.  A
   SUBMIT is about 2 KB and a FETCH reply at most 4 MB.  */
#define NET_MAX_QUEUE_BYTES (8 * 1024 * 1024)
/* A connect that takes longer fails.  The one-way delay is at most 1.5 ms, so
   its SYN was probably lost; the kernel retransmits a SYN only after 1 s.  */
#define NET_CONNECT_TIMEOUT (500 * RW_MSEC)
/* A stream is closed if the peer's kernel does not acknowledge data within
   this time (TCP_USER_TIMEOUT).  */
#define NET_UNACKED_TIMEOUT_MS 2000

/* Callbacks.  DATA is valid during the call.  */
struct net_rpc_ops
{
  /* A record arrived.  Returns 0, or a negative error number after setting
     ERR if the record is malformed; the stream is closed then.  */
  int (*on_record) (void *arg, uint64_t stream, struct rw_str data,
                    struct rw_err *err);
  /* An outgoing connection was established.  Records sent on STREAM within
     this call precede those that were queued during the connect.  */
  void (*on_open) (void *arg, uint64_t stream, const struct net_addr *addr);
  /* An established connection was closed by either side.  */
  void (*on_closed) (void *arg, uint64_t stream);
  /* The record with TOKEN will not be sent: no byte of it was handed to the
     transport.  */
  void (*on_unsent) (void *arg, uint64_t token);
  /* A datagram arrived.  Returns as on_record does; an error is reported.  */
  int (*on_datagram) (void *arg, const struct net_addr *from,
                      struct rw_str data, struct rw_err *err);
  /* A stream failed, or a message was malformed.  */
  void (*on_error) (void *arg, const struct rw_err *err);
};

struct net_stream;

struct net_rpc_counts
{
  uint64_t records_in;
  uint64_t records_out;
  uint64_t records_unsent;
  uint64_t writes; /* attempts to write a stream's queue */
  uint64_t datagrams_in;
  uint64_t datagrams_out;
  uint64_t datagrams_dropped; /* received too long, or not accepted by the
                                 kernel */
  uint64_t streams_refused;   /* for lack of room */
  uint64_t streams_dropped;   /* for others */
};

struct net_rpc
{
  uv_loop_t *loop;
  const struct net_rpc_ops *ops;
  void *arg;
  uv_tcp_t listener;
  uv_udp_t udp;
  uv_timer_t connect_timer; /* runs while streams are connecting */
  uint64_t next_stream;
  struct rw_map streams;          /* by number */
  struct rw_map outgoing_by_addr; /* by hash of the address */
  struct net_stream *flush_list;  /* streams with new records to write */
  struct acc_group incoming;      /* streams that peers have opened */
  char *read_buf;                 /* shared by all sockets */
  uint16_t port;                  /* of the listener and of the UDP socket */
  struct net_rpc_counts counts;
};

int net_rpc_init (struct net_rpc *rpc, uv_loop_t *loop,
                  const struct net_addr *addr, const struct net_rpc_ops *ops,
                  void *arg, struct rw_err *err);
void net_rpc_set_account (struct net_rpc *rpc, struct acc_account *account,
                          size_t max_incoming, size_t reserve, int recv_bytes);
void net_rpc_finish (struct net_rpc *rpc);
void net_rpc_send (struct net_rpc *rpc, uint64_t stream,
                   const struct net_addr *to, uint64_t token,
                   struct rw_str record);
void net_rpc_flush (struct net_rpc *rpc);
void net_rpc_send_datagram (struct net_rpc *rpc, const struct net_addr *to,
                            struct rw_str data);

/* HTTP server.  */

/* Limit of request and response bodies, and of those of the HTTP client unless
   a call has its own.  */
#define NET_MAX_BODY_BYTES (1024 * 1024)
/* Limit of the request line and of the headers.  */
#define NET_MAX_HEAD_BYTES (64 * 1024)
/* Limit of connections; see h1_server_init.  */
#define NET_MAX_HTTP_CONNECTIONS 4096
/* A request takes at most this time to arrive, and a connection is closed on
   which none arrives within it.  */
#define NET_HTTP_REQUEST_TIMEOUT_MS 60000

/* A request.  The strings are valid during the call of on_request.  */
struct net_request
{
  uint64_t id; /* not 0, new for each request */
  struct rw_str method;
  struct rw_str path; /* without the query */
  struct rw_str query;
  struct rw_str body;
  const struct h1_message *message;
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
  /* A whole request, to be answered by net_http_respond, now or later.  */
  void (*on_request) (void *arg, const struct net_request *request);
  /* The connection was closed before the response.  */
  void (*on_disconnect) (void *arg, uint64_t id);
};

struct net_http_counts
{
  uint64_t malformed;                /* requests answered 400 */
  uint64_t slow;                     /* 408 */
  uint64_t too_large;                /* 413 and 431 */
  uint64_t refused;                  /* 503 for lack of memory */
  uint64_t dropped[ACC_CAUSE_COUNT]; /* connections, for others */
};

struct net_http
{
  const struct net_http_ops *ops;
  void *arg;
  struct h1_limits limits;
  struct h1_server server;
  uint64_t next_id;
  struct rw_map pending; /* requests without a response, by id */
  struct net_http_counts counts;
  uint16_t port;
};

int net_http_init (struct net_http *http, uv_loop_t *loop,
                   const struct net_addr *addr, const struct net_http_ops *ops,
                   void *arg, struct rw_err *err);
void net_http_set_account (struct net_http *http, struct acc_account *account,
                           size_t max_connections, size_t reserve,
                           int recv_bytes, struct rw_str body);
struct rw_str net_http_header (const struct net_request *request,
                               const char *name);
void net_http_respond (struct net_http *http, uint64_t id,
                       const struct net_response *response);
void net_http_drain (struct net_http *http);
void net_http_stop (struct net_http *http);
void net_http_finish (struct net_http *http);

/* HTTP client.  */

/* Idle connections are closed after this time, and the pools of addresses
   that are not used are freed after twice this time.  */
#define NET_KEEPALIVE_TIMEOUT_MS 10000
/* Limit of the addresses with a connection pool.  */
#define NET_MAX_TARGETS 16384

/* The result of a call, valid during net_call_done.  */
struct net_reply
{
  const struct rw_err *err; /* null: STATUS and BODY are the response */
  bool sent;                /* bytes of the request were handed to the
                               transport */
  int status;
  int64_t retry_after_ms; /* -1: none */
  uint64_t version;       /* header X-Version; 0: none */
  struct rw_str body;
};

typedef void net_call_done (void *arg, uint64_t tag,
                            const struct net_reply *reply);

/* Parameters of a call.  The strings are copied.  */
struct net_call_spec
{
  struct net_addr to;
  struct rw_str peer;     /* name for errors; empty: the address */
  size_t max_connections; /* to this address; a call above it fails unsent */
  size_t max_body_bytes;  /* of the response; 0: NET_MAX_BODY_BYTES */
  rw_time timeout; /* from the start of the call to the whole response */
  const char *method;
  struct rw_str path;
  struct rw_str headers; /* lines that each end in CR LF, or empty */
  struct rw_str body;
  struct acc_blob *blob; /* holds BODY, not copied then; may be null */
  net_call_done *done;
  void *arg;
  uint64_t tag;
};

/* Limit of the bodies of all responses that are arriving at a client.  */
#define NET_MAX_ARRIVING_BYTES ((size_t)64 * 1024 * 1024)

struct net_call;
struct net_target;

struct net_client_counts
{
  uint64_t calls;
  uint64_t failed; /* for any reason */
  uint64_t timeouts;
  uint64_t refused; /* by max_connections */
};

struct net_client
{
  uv_loop_t *loop;
  uv_timer_t deadline_timer;
  bool deadlines_deferred;     /* to the next iteration, after a pause */
  uv_timer_t sweep_timer;      /* frees unused connection pools */
  struct h1_budget arriving;   /* bodies of responses */
  struct acc_account *account; /* of requests and responses; may be null */
  char *read_buf;              /* shared by all connections */
  struct rw_heap deadlines;
  struct rw_map calls;       /* by number */
  struct rw_map targets;     /* connection pools by hash of the address */
  struct net_call *finished; /* to be reported by net_client_flush,
                                oldest first */
  struct net_call *finished_last;
  uint64_t next_call;
  bool stopping;
  struct net_client_counts counts;
};

void net_client_init (struct net_client *client, uv_loop_t *loop);
void net_client_finish (struct net_client *client);
void net_client_set_account (struct net_client *client,
                             struct acc_account *account);
uint64_t net_client_start (struct net_client *client,
                           const struct net_call_spec *spec);
bool net_client_abort (struct net_client *client, uint64_t call);
bool net_client_flush (struct net_client *client);

#endif
