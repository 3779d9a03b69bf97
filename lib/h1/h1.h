/* HTTP/1.1 server and client on libuv.  The parser is http_parser.  A
   connection carries one request at a time, and messages are delivered
   whole.  */

#ifndef H1_H1_H
#define H1_H1_H

#include <http_parser.h>
#include <uv.h>

#include "account.h"
#include "base.h"

/* A message with more headers is rejected.  */
#define H1_MAX_HEADERS 64

struct h1_reader;

struct h1_header
{
  struct rw_str name;
  struct rw_str value;
};

/* A whole message.  The strings point into the connection's buffers and are
   valid only during the call that delivers the message.  */
struct h1_message
{
  unsigned int method;  /* requests: enum http_method */
  struct rw_str target; /* requests: path and query as received */
  int status;           /* replies */
  bool keep_alive;
  struct h1_header headers[H1_MAX_HEADERS];
  size_t header_count;
  struct rw_str body;
  struct h1_reader *reader; /* that holds it */
};

/* Returns a reference to the body of MESSAGE, so that it stays valid after the
   delivery, and counts it in ACCOUNT.  Returns null if the body is so small
   that it is to be copied.  */
struct acc_blob *h1_message_share_body (const struct h1_message *message,
                                        struct acc_account *account);
/* Returns the value of the first header NAME, or an empty string.  */
struct rw_str h1_header_value (const struct h1_message *message,
                               const char *name);
/* Returns whether NAME is a hop-by-hop header, which a proxy must not forward:
   one of a fixed list, or a name in a Connection header of the message.  */
bool h1_is_hop_by_hop (const struct h1_message *message, struct rw_str name);
/* Compares header names without regard to case.  */
bool h1_name_eq (struct rw_str a, const char *b);

/* Limits on the size and duration of callers' requests.  */
struct h1_limits
{
  size_t max_head_bytes; /* path, query, and names and values of headers */
  size_t max_body_bytes;
  rw_time request_timeout; /* from the first byte of a request to its end */
  rw_time idle_timeout;    /* between two requests */
};

/* A part of h1_reader.head.  Offsets stay valid when the buffer grows.  */
struct h1_slice
{
  uint32_t offset;
  uint32_t len;
};

/* Bytes of bodies that several readers buffer together.  */
struct h1_budget
{
  size_t used;
  size_t max;
  struct acc_account *account; /* in which they count too; may be null */
};

enum h1_parse_error
{
  H1_PARSE_OK,
  H1_PARSE_SYNTAX,
  H1_PARSE_HEAD_TOO_LARGE,
  H1_PARSE_BODY_TOO_LARGE
};

/* What the next byte of a message belongs to.  */
enum h1_grammar_state
{
  H1_GRAMMAR_REQUEST_LINE,
  H1_GRAMMAR_STATUS_LINE, /* up to the status code */
  H1_GRAMMAR_STATUS_END,
  H1_GRAMMAR_REASON,
  H1_GRAMMAR_LINE_LF, /* of a status line or a field */
  H1_GRAMMAR_FIELD,   /* the first byte of a line */
  H1_GRAMMAR_NAME,
  H1_GRAMMAR_VALUE,
  H1_GRAMMAR_FIELDS_LF,
  H1_GRAMMAR_FIELDS_END, /* of a head or of trailers */
  H1_GRAMMAR_BODY,       /* any bytes */
  /* A chunked body.  */
  H1_GRAMMAR_SIZE,
  H1_GRAMMAR_SIZE_DIGITS,
  H1_GRAMMAR_SIZE_BLANK,
  H1_GRAMMAR_SIZE_LF,
  H1_GRAMMAR_EXTENSION,
  H1_GRAMMAR_EXTENSION_NAME,
  H1_GRAMMAR_EXTENSION_BLANK,
  H1_GRAMMAR_EXTENSION_EQUALS,
  H1_GRAMMAR_EXTENSION_VALUE,
  H1_GRAMMAR_QUOTED,
  H1_GRAMMAR_QUOTED_PAIR,
  H1_GRAMMAR_QUOTED_END,
  H1_GRAMMAR_DATA,
  H1_GRAMMAR_DATA_CR,
  H1_GRAMMAR_DATA_LF
};

enum h1_line_end
{
  H1_LINE_END_UNKNOWN,
  H1_LINE_END_CRLF,
  H1_LINE_END_LF
};

/* A check of the bytes that frame a message against RFC 9112.  http_parser, as
   it is built for distributions, lets through much that is no message.  */
struct h1_grammar
{
  enum h1_grammar_state state;
  bool failed;
  enum h1_line_end line_end; /* of the lines so far */
  size_t position;           /* within the start line */
  uint64_t chunk_left;       /* bytes of the chunk's data */
  unsigned int size_digits;
  size_t padding; /* bytes of chunk lines that carry no content */
};

/* Prepares GRAMMAR for a reply or, if not IS_REPLY, a request.  */
void h1_grammar_init (struct h1_grammar *grammar, bool is_reply);
/* Checks DATA, up to the end of the head or of the chunks.  Returns the number
   of bytes that were checked, and sets failed if the last of them makes DATA
   no message.  */
size_t h1_grammar_check (struct h1_grammar *grammar, const char *data,
                         size_t len);
/* Goes on after the end of the head.  */
void h1_grammar_begin_body (struct h1_grammar *grammar, bool is_chunked);

/* A parser that collects one message.  */
struct h1_reader
{
  struct h1_grammar grammar;
  http_parser parser;
  struct rw_buf head; /* target, and names and values of headers */
  struct rw_buf body;
  struct acc_blob *blob; /* holds the body; null: BODY does */
  struct h1_slice target;
  struct h1_slice names[H1_MAX_HEADERS];
  struct h1_slice values[H1_MAX_HEADERS];
  size_t header_count;
  bool in_value;      /* the last piece of a header belonged to its value */
  bool started;       /* a byte of the message was read */
  bool head_complete; /* all headers were read */
  bool complete;
  bool skip_body; /* replies: no body follows, whatever the headers say */
  bool expects_continue;
  bool keep_alive; /* of the complete message */
  size_t max_head_bytes;
  size_t max_body_bytes;
  struct h1_budget *budget; /* for the body; null: none */
  enum h1_parse_error error;
};

/* Sets default limits, which the caller may replace.  */
void h1_reader_init (struct h1_reader *reader, enum http_parser_type type);
void h1_reader_finish (struct h1_reader *reader);
/* Prepares for the next message.  The limits stay.  */
void h1_reader_reset (struct h1_reader *reader);
/* Parses DATA up to the end of the message and returns the number of bytes
   consumed.  LEN 0 means that the connection has ended.  Sets complete or
   error.  */
size_t h1_reader_feed (struct h1_reader *reader, const char *data, size_t len);
/* Fills MESSAGE with views of the complete message, valid until the next call
   of h1_reader_reset.  */
void h1_reader_message (struct h1_reader *reader, struct h1_message *message);
/* Returns the bytes of the buffers, without those of a shared body.  */
size_t h1_reader_held (const struct h1_reader *reader);
/* Returns an upper limit of h1_reader_held after LEN more bytes of a body.  */
size_t h1_reader_need (const struct h1_reader *reader, size_t len);

/* What is written to a connection, and not yet taken by its peer.  */
struct h1_pending;
struct h1_writer
{
  uv_stream_t *stream;
  struct h1_pending *first; /* newest first */
  size_t queued;            /* bytes of all pending writes */
  size_t copied;            /* of these, bytes that are copies */
  void (*on_drained) (struct h1_writer *writer); /* may be null */
};

void h1_writer_init (struct h1_writer *writer, uv_stream_t *stream,
                     void (*on_drained) (struct h1_writer *writer));
/* Writes HEAD and BODY.  What the socket does not accept at once is written
   later and then reported by on_drained; it is copied, but for BODY if it lies
   in BLOB.  Returns 0 or a negative error number.  */
int h1_writer_send (struct h1_writer *writer, struct rw_str head,
                    struct rw_str body, struct acc_blob *blob);
/* Returns the bytes that the socket has not accepted yet.  */
size_t h1_writer_unwritten (const struct h1_writer *writer);
/* Releases what is pending.  The stream must be closing, or be closed before
   the loop runs again.  */
void h1_writer_close (struct h1_writer *writer);

/* Writes DATA.  Copies the bytes that the socket does not accept at once and
   writes them later.  Returns 0 or a negative error number.  */
int h1_write (uv_stream_t *stream, struct rw_str data);

/* Bytes of a read buffer.  One is shared by many connections: input is parsed
   or copied before the read callback returns.  */
#define H1_READ_BUF_SIZE 65536

/* Server.  */

/* A connection of a caller.  */
struct h1_conn;

struct h1_server_ops
{
  /* A whole request, to be answered by h1_conn_reply, now or later.  */
  void (*on_request) (void *arg, struct h1_conn *conn,
                      const struct h1_message *request);
  /* CONN is closing before its request was answered.  It must not be used
     after this call.  May be null.  */
  void (*on_disconnect) (void *arg, struct h1_conn *conn);
  /* A request was malformed, too large or too slow.  The server answers with
     STATUS and closes the connection.  May be null.  */
  void (*on_bad_request) (void *arg, struct h1_conn *conn, int status);
  /* CONN was accepted; returns false to close it at once.  May be null.  */
  bool (*on_accept) (void *arg, struct h1_conn *conn);
  /* CONN is dropped for CAUSE, as the account is full.  STATUS is 503 if a
     request of which a part has arrived is answered with it, else 0.  May be
     null.  */
  void (*on_drop) (void *arg, struct h1_conn *conn, enum acc_cause cause,
                   int status);
};

struct h1_server
{
  uv_loop_t *loop;
  const struct h1_server_ops *ops;
  void *arg;
  const struct h1_limits *limits; /* read at each use, so they may change */
  uv_tcp_t listener;
  uv_timer_t timeout_timer;
  struct h1_conn *conns; /* doubly linked list */
  size_t conn_count;
  struct acc_group group; /* its max: that of connections */
  uint64_t closed_conns;  /* for lack of room, when they were accepted */
  struct rw_str refusal;  /* header lines of a 503 for lack of memory */
  struct rw_str refusal_body;
  size_t busy_count; /* connections whose request is not answered yet */
  bool draining;     /* replies say Connection: close */
  char *read_buf;    /* H1_READ_BUF_SIZE, shared by all connections */
};

struct h1_reply
{
  int status;
  struct rw_str headers; /* lines that each end in CR LF; without
                            Content-Length and Connection */
  struct rw_str body;
  struct acc_blob *blob; /* holds BODY, which then is not copied; null: no */
  bool close;            /* end the connection after the reply */
};

/* Listens on ADDR.  LIMITS must stay valid as long as SERVER.  Above MAX_CONNS
   connections, a new one takes the place of one that is not served, see
   lib/account; if all are served, the new one is closed.  Returns 0 or a
   negative error number; after an error, too, h1_server_stop and
   h1_server_finish free the handles and the memory.  */
int h1_server_init (struct h1_server *server, uv_loop_t *loop,
                    const struct sockaddr *addr, struct h1_limits *limits,
                    size_t max_conns, const struct h1_server_ops *ops,
                    void *arg);
/* Counts what the connections hold in ACCOUNT, which must outlive SERVER.
   RESERVE of them are not dropped for connections of other servers.
   RECV_BYTES limits what the kernel keeps of a connection's input; 0: its
   default.  To be called before the loop runs.  */
void h1_server_set_account (struct h1_server *server,
                            struct acc_account *account, size_t reserve,
                            int recv_bytes);
/* Answers the pending request of CONN; the reply is copied, except for a body
   that lies in a blob.  Does nothing if no request is pending.  If the caller
   has already sent its next request, and has taken its replies, on_request is
   called for it before this returns.  */
void h1_conn_reply (struct h1_conn *conn, const struct h1_reply *reply);
/* Sends an interim reply with the 1xx STATUS, to show that the pending request
   is worked on.  Does nothing if no request is pending.  */
void h1_conn_interim (struct h1_conn *conn, int status);
/* Fills MESSAGE with the pending request again; valid until it is
   answered.  */
void h1_conn_message (struct h1_conn *conn, struct h1_message *message);
/* Returns the address of the peer of CONN in host order, 0 if it is not
   known.  */
uint32_t h1_conn_peer (const struct h1_conn *conn);
/* A pointer for the owner of the server; initially null, and kept from one
   request to the next.  */
void *h1_conn_data (const struct h1_conn *conn);
void h1_conn_set_data (struct h1_conn *conn, void *data);
/* Closes the connection at once.  A pending request is not answered and is
   reported by on_disconnect.  */
void h1_conn_abort (struct h1_conn *conn);
/* Makes each connection end after its next reply.  New connections and
   requests are still accepted.  */
void h1_server_drain (struct h1_server *server);
/* Accepts the connections that wait, and then no more.  */
void h1_server_stop_listening (struct h1_server *server);
/* Closes the connections on which no request is pending or arriving, but not
   those that are so new that the first one is on its way.  */
void h1_server_close_idle (struct h1_server *server);
/* Calls FN with ARG for each connection whose request is pending.  FN may
   answer it.  */
void h1_server_each_pending (struct h1_server *server,
                             void (*fn) (void *arg, struct h1_conn *conn),
                             void *arg);
/* Answers with REPLY the requests of which only a part has arrived, and ends
   their connections.  Returns their number.  */
size_t h1_server_refuse_arriving (struct h1_server *server,
                                  const struct h1_reply *reply);
/* Closes the listener and all connections; pending requests are reported by
   on_disconnect.  */
void h1_server_stop (struct h1_server *server);
/* Frees the remaining memory once the loop has run after h1_server_stop.  */
void h1_server_finish (struct h1_server *server);

/* Client: one connection to a server.  */

enum h1_client_state
{
  H1_CLIENT_CONNECTING,
  H1_CLIENT_IDLE,
  H1_CLIENT_BUSY,       /* waits for a reply */
  H1_CLIENT_DELIVERING, /* within on_reply; accepts no request yet */
  H1_CLIENT_CLOSED
};

struct h1_client;

enum h1_reply_result
{
  H1_REPLY_ACCEPTED, /* the reply belongs to the request */
  H1_REPLY_SKIPPED   /* it does not; the client waits for another reply */
};

struct h1_client_ops
{
  /* The client can send a request.  */
  void (*on_idle) (struct h1_client *client);
  enum h1_reply_result (*on_reply) (struct h1_client *client,
                                    const struct h1_message *reply);
  /* The connection failed, could not be set up, cannot be reused or was closed
     by the server; on_closed follows.  CODE is a negative error number:
     RW_E_PARSE if the server sent no HTTP/1.1 reply, RW_E_RANGE if the reply
     exceeds a limit.  Not called after h1_client_close.  */
  void (*on_disconnect) (struct h1_client *client, int code);
  /* The last call; the client's memory may be freed.  */
  void (*on_closed) (struct h1_client *client);
  /* An interim (1xx) REPLY arrived, which is valid during the call: the server
     still works on the request.  May be null.  */
  void (*on_interim) (struct h1_client *client,
                      const struct h1_message *reply);
};

struct h1_client
{
  uv_tcp_t tcp;
  uv_connect_t connect;
  const struct h1_client_ops *ops;
  void *arg;
  char *read_buf;
  struct h1_reader reader;
  struct h1_writer writer;
  enum h1_client_state state;
  bool request_sent;   /* h1_client_send was called; never cleared */
  bool reusable;       /* after the last reply; on_reply may clear it */
  size_t unused_bytes; /* of replies to the pending request that were no answer
                          to it, or interim */
  /* Timeout in the last reply's Keep-Alive header; 0: not stated.  */
  rw_time keep_alive_timeout;
};

/* Like h1_client_init, from the address SOURCE, whose port is 0; null: any. */
int h1_client_init_from (struct h1_client *client, uv_loop_t *loop,
                         const struct sockaddr_in *source,
                         const struct sockaddr *addr, char *read_buf,
                         const struct h1_client_ops *ops, void *arg);
/* Starts to connect to ADDR.  READ_BUF has H1_READ_BUF_SIZE bytes and may be
   shared by all clients of the loop.  Returns 0 or a negative error number;
   after an error, too, on_closed is called.  */
int h1_client_init (struct h1_client *client, uv_loop_t *loop,
                    const struct sockaddr *addr, char *read_buf,
                    const struct h1_client_ops *ops, void *arg);
/* Sends one request, which is copied if necessary.  SKIP_BODY says that the
   reply has no body, as to HEAD.  Returns RW_E_RANGE if the client is not
   idle, or a negative error number of the write; a failed write is reported by
   on_disconnect as well.  */
int h1_client_send (struct h1_client *client, struct rw_str request,
                    bool skip_body);
/* The same for a request whose BODY follows HEAD; a body in BLOB is not
   copied.  */
int h1_client_send_body (struct h1_client *client, struct rw_str head,
                         struct rw_str body, struct acc_blob *blob,
                         bool skip_body);
/* Sets the highest size of a reply's body, and of all replies together that
   are no answer to a request.  The body also counts in BUDGET, which must
   outlive the client; null: in none.  A reply that exceeds either ends the
   connection. Not to be called while a reply is arriving.  */
void h1_client_limit (struct h1_client *client, size_t max_body_bytes,
                      struct h1_budget *budget);
/* Closes the connection, unless it is closed.  on_closed is called in a later
   iteration of the loop.  */
void h1_client_close (struct h1_client *client);
/* Returns how long the server keeps an idle connection according to REPLY's
   Keep-Alive header, or 0 if it does not say.  */
rw_time h1_keep_alive_timeout (const struct h1_message *reply);

#endif
