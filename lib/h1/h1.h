/* HTTP/1.1 connections on libuv: those of callers, and links to targets.  The
   parser is http_parser.  One request at a time runs on a connection; messages
   are handed over whole.  */

#ifndef H1_H1_H
#define H1_H1_H

#include <http_parser.h>
#include <uv.h>

#include "base.h"

#define H1_MAX_HEADERS 64

struct h1_header
{
  struct rw_str name;
  struct rw_str value;
};

/* A whole message.  The views are valid during the call that hands it over. */
struct h1_message
{
  unsigned int method;  /* requests: enum http_method */
  struct rw_str target; /* requests: path and query as received */
  int status;           /* replies */
  bool keep_alive;
  struct h1_header headers[H1_MAX_HEADERS];
  size_t header_count;
  struct rw_str body;
};

struct rw_str h1_header_value (const struct h1_message *message,
                               const char *name);
/* Whether NAME concerns only one connection: a fixed list, and the names that
   the message's Connection header lists.  */
bool h1_is_hop_by_hop (const struct h1_message *message, struct rw_str name);
bool h1_name_eq (struct rw_str a, const char *b);

/* What a caller may send, and how long it may take.  */
struct h1_limits
{
  size_t max_head_bytes;
  size_t max_body_bytes;
  rw_time request_timeout; /* from the first byte of a request to its end */
  rw_time idle_timeout;    /* between two requests */
};

/* A parser that collects one message.  */
struct h1_slice
{
  uint32_t offset;
  uint32_t len;
};

enum h1_parse_error
{
  H1_PARSE_OK,
  H1_PARSE_SYNTAX,
  H1_PARSE_HEAD_TOO_LARGE,
  H1_PARSE_BODY_TOO_LARGE
};

struct h1_reader
{
  http_parser parser;
  struct rw_buf head; /* target and headers */
  struct rw_buf body;
  struct h1_slice target;
  struct h1_slice names[H1_MAX_HEADERS];
  struct h1_slice values[H1_MAX_HEADERS];
  size_t header_count;
  bool in_value;
  bool started;       /* a byte of the message was read */
  bool head_complete; /* all headers were read */
  bool complete;
  bool skip_body; /* replies: no body follows, whatever the headers say */
  bool expects_continue;
  bool keep_alive; /* of the complete message */
  size_t max_head_bytes;
  size_t max_body_bytes;
  enum h1_parse_error error;
};

void h1_reader_init (struct h1_reader *reader, enum http_parser_type type);
void h1_reader_finish (struct h1_reader *reader);
/* Prepares for the next message.  */
void h1_reader_reset (struct h1_reader *reader);
/* Takes bytes until the message is complete; returns the number taken.  A
   length of 0 says that the connection ended.  */
size_t h1_reader_feed (struct h1_reader *reader, const char *data, size_t len);
void h1_reader_message (const struct h1_reader *reader,
                        struct h1_message *message);

/* Writes DATA; what the socket does not take at once is copied.  Returns 0 or
   a negative error number.  */
int h1_write (uv_stream_t *stream, struct rw_str data);

/* Server.  */

struct h1_conn;

struct h1_server_ops
{
  /* A whole request.  It is answered by h1_conn_reply, now or later.  */
  void (*on_request) (void *arg, struct h1_conn *conn,
                      const struct h1_message *request);
  /* The caller left before the answer.  May be null.  */
  void (*on_disconnect) (void *arg, struct h1_conn *conn);
  /* A request that cannot be read, answered with STATUS.  May be null.  */
  void (*on_bad_request) (void *arg, struct h1_conn *conn, int status);
};

struct h1_server
{
  uv_loop_t *loop;
  const struct h1_server_ops *ops;
  void *arg;
  const struct h1_limits *limits; /* read at each use */
  uv_tcp_t listener;
  uv_timer_t timeout_timer;
  struct h1_conn *conns;
  size_t conn_count;
  size_t max_conns;
  size_t busy_count; /* connections with a request that waits for its answer */
  bool draining;     /* answers say Connection: close */
  char *read_buf;
};

/* An answer.  HEADERS are whole lines that each end in CR LF.  */
struct h1_reply
{
  int status;
  struct rw_str headers;
  struct rw_str body;
  bool close;
};

int h1_server_init (struct h1_server *server, uv_loop_t *loop,
                    const struct sockaddr *addr, struct h1_limits *limits,
                    size_t max_conns, const struct h1_server_ops *ops,
                    void *arg);
void h1_conn_reply (struct h1_conn *conn, const struct h1_reply *reply);
/* The running request again; valid until its answer.  */
void h1_conn_message (const struct h1_conn *conn, struct h1_message *message);
void *h1_conn_data (const struct h1_conn *conn);
void h1_conn_set_data (struct h1_conn *conn, void *user);
/* Ends the connection at once, without an answer.  */
void h1_conn_abort (struct h1_conn *conn);
/* Answers from now on end their connection.  */
void h1_server_drain (struct h1_server *server);
/* Closes the connections on which no request is running or arriving.  */
void h1_server_close_idle (struct h1_server *server);
/* Closes everything.  */
void h1_server_stop (struct h1_server *server);
void h1_server_finish (struct h1_server *server);

/* Links to targets.  */

enum h1_client_state
{
  H1_CLIENT_CONNECTING,
  H1_CLIENT_IDLE,
  H1_CLIENT_BUSY,
  H1_CLIENT_DELIVERING, /* within on_reply; takes no request yet */
  H1_CLIENT_CLOSED
};

struct h1_client;

enum h1_reply_result
{
  H1_REPLY_ACCEPTED, /* the reply belongs to the request */
  H1_REPLY_SKIPPED   /* another reply is awaited */
};

struct h1_client_ops
{
  /* The link can take a request.  */
  void (*on_idle) (struct h1_client *link);
  enum h1_reply_result (*on_reply) (struct h1_client *link,
                                    const struct h1_message *reply);
  /* The link ended by itself; CODE is a negative error number.  */
  void (*on_disconnect) (struct h1_client *link, int code);
  /* After h1_client_close or on_lost: the memory may be freed.  */
  void (*on_closed) (struct h1_client *link);
};

struct h1_client
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  const struct h1_client_ops *ops;
  void *arg;
  char *read_buf; /* shared read buffer */
  struct h1_reader reader;
  enum h1_client_state state;
  bool request_sent; /* a byte of the present request went to the transport */
  bool reusable;     /* after the present reply */
  rw_time
      keep_alive_timeout; /* Keep-Alive timeout of the target; 0: not stated */
};

/* Starts to connect.  SCRATCH has H1_READ_BUF_SIZE bytes and is shared by all
   connections of the loop.  */
#define H1_READ_BUF_SIZE 65536
int h1_client_init (struct h1_client *link, uv_loop_t *loop,
                    const struct sockaddr *addr, char *scratch,
                    const struct h1_client_ops *ops, void *arg);
/* Sends one request on an idle link.  */
int h1_client_send (struct h1_client *link, struct rw_str request,
                    bool skip_body);
void h1_client_close (struct h1_client *link);
/* The link's age limit for reuse passed from a reply's Keep-Alive header,
   or 0.  */
rw_time h1_keep_alive_timeout (const struct h1_message *reply);

#endif
