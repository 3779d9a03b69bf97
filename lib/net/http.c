#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

/* A request without a response.  */
struct pending_request
{
  uint64_t id;
  struct h1_conn *conn;
};

static void
on_request (void *arg, struct h1_conn *conn, const struct h1_message *message)
{
  struct net_http *http = arg;
  struct pending_request *pending = rw_xcalloc (1, sizeof *pending);
  struct rw_str path = message->target;
  const char *query = memchr (path.ptr, '?', path.len);
  struct net_request request
      = { .id = http->next_id++,
          .method = rw_str_from (http_method_str (message->method)),
          .path = path,
          .query = RW_LIT (""),
          .body = message->body,
          .message = message };

  if (query != NULL)
    {
      request.path.len = (size_t)(query - path.ptr);
      request.query
          = (struct rw_str){ query + 1, path.len - request.path.len - 1 };
    }
  *pending = (struct pending_request){ request.id, conn };
  h1_conn_set_data (conn, pending);
  rw_map_put (&http->pending, request.id, pending);
  http->ops->on_request (http->arg, &request);
}

static void
on_disconnect (void *arg, struct h1_conn *conn)
{
  struct net_http *http = arg;
  struct pending_request *pending = h1_conn_data (conn);
  uint64_t id = pending->id;

  rw_map_remove (&http->pending, id);
  free (pending);
  http->ops->on_disconnect (http->arg, id);
}

static void
on_bad_request (void *arg, struct h1_conn *conn, int status)
{
  struct net_http *http = arg;

  (void)conn;
  switch (status)
    {
    case 408:
      http->counts.slow++;
      break;
    case 413:
    case 431:
      http->counts.too_large++;
      break;
    default:
      http->counts.malformed++;
      break;
    }
}

static void
on_drop (void *arg, struct h1_conn *conn, enum acc_cause cause, int status)
{
  struct net_http *http = arg;

  (void)conn;
  http->counts.dropped[cause]++;
  if (status == 503)
    http->counts.refused++;
}

static const struct h1_server_ops SERVER_OPS = {
  .on_request = on_request,
  .on_disconnect = on_disconnect,
  .on_bad_request = on_bad_request,
  .on_drop = on_drop,
};

/* Returns the value of the header NAME, without regard to case, or an empty
   string.  The value is valid as long as REQUEST.  */
struct rw_str
net_http_header (const struct net_request *request, const char *name)
{
  struct rw_str value = h1_header_value (request->message, name);

  return value.len > 0 ? value : RW_LIT ("");
}

static void
write_date (struct rw_buf *out)
{
  char text[40];
  time_t now = time (NULL);
  struct tm tm;

  gmtime_r (&now, &tm);
  strftime (text, sizeof text, "%a, %d %b %Y %H:%M:%S GMT", &tm);
  rw_buf_printf (out, "date: %s\r\n", text);
}

/* Sends RESPONSE, which is copied, to the request ID.  Does nothing if the
   request was answered or its connection was closed.  */
void
net_http_respond (struct net_http *http, uint64_t id,
                  const struct net_response *response)
{
  struct pending_request *pending = rw_map_remove (&http->pending, id);
  struct h1_reply reply = { .status = response->status };
  struct h1_conn *conn;
  struct rw_buf headers;

  if (pending == NULL)
    return;
  conn = pending->conn;
  free (pending);
  h1_conn_set_data (conn, NULL);
  rw_buf_init (&headers);
  write_date (&headers);
  rw_buf_printf (&headers, "content-type: %s\r\n", response->content_type);
  /* Whole seconds, so it is rounded up; the body of an error response has the
     milliseconds.  */
  if (response->retry_after_ms >= 0)
    rw_buf_printf (&headers, "retry-after: %lld\r\n",
                   (long long)((response->retry_after_ms + 999) / 1000));
  if (response->traceparent.len > 0)
    rw_buf_printf (&headers, "traceparent: %.*s\r\n",
                   RW_STR_ARG (response->traceparent));
  reply.headers = rw_buf_str (&headers);
  reply.body = response->body;
  h1_conn_reply (conn, &reply);
  rw_buf_finish (&headers);
}

/* Listens on ADDR and reports requests to OPS with ARG.  Each request must be
   answered once with net_http_respond.  Port 0 selects a free port, which is
   stored in HTTP->port.  Returns 0, or a negative error number after setting
   ERR.  */
int
net_http_init (struct net_http *http, uv_loop_t *loop,
               const struct net_addr *addr, const struct net_http_ops *ops,
               void *arg, struct rw_err *err)
{
  char name[NET_ADDR_TEXT_SIZE];
  struct sockaddr_storage sa;
  struct net_addr bound;
  int len = sizeof sa;
  int rc = net_addr_to_sockaddr (addr, &sa);

  memset (http, 0, sizeof *http);
  http->ops = ops;
  http->arg = arg;
  http->next_id = 1;
  http->limits = (struct h1_limits){
    .max_head_bytes = NET_MAX_HEAD_BYTES,
    .max_body_bytes = NET_MAX_BODY_BYTES,
    .request_timeout = NET_HTTP_REQUEST_TIMEOUT_MS * RW_MSEC,
    .idle_timeout = NET_HTTP_REQUEST_TIMEOUT_MS * RW_MSEC,
  };
  rw_map_init (&http->pending);
  if (rc == 0)
    rc = h1_server_init (&http->server, loop, (struct sockaddr *)&sa,
                         &http->limits, NET_MAX_HTTP_CONNECTIONS, &SERVER_OPS,
                         http);
  if (rc == 0)
    rc = uv_tcp_getsockname (&http->server.listener, (struct sockaddr *)&sa,
                             &len);
  if (rc == 0)
    rc = net_addr_from_sockaddr ((struct sockaddr *)&sa, &bound);
  if (rc == 0)
    http->port = bound.port;
  else
    return rw_err_set (err, rc, "listen http", net_addr_format (addr, name),
                       "%s", uv_strerror (rc));
  return 0;
}

/* Counts the connections in ACCOUNT, which must outlive HTTP: at most
   MAX_CONNECTIONS, of which RESERVE are not dropped for those of other
   listeners.  RECV_BYTES limits what the kernel keeps of a connection's input.
   A request that is refused for lack of memory gets BODY, which is static.  */
void
net_http_set_account (struct net_http *http, struct acc_account *account,
                      size_t max_connections, size_t reserve, int recv_bytes,
                      struct rw_str body)
{
  if (max_connections < NET_MAX_HTTP_CONNECTIONS)
    http->server.group.max = max_connections;
  http->server.refusal
      = RW_LIT ("content-type: application/json\r\nretry-after: 1\r\n");
  http->server.refusal_body = body;
  h1_server_set_account (&http->server, account, reserve, recv_bytes);
}

/* Makes each connection end after its next response.  New connections and
   requests are still accepted.  */
void
net_http_drain (struct net_http *http)
{
  h1_server_drain (&http->server);
}

/* Closes the listener.  Connections and pending requests stay.  */
void
net_http_stop (struct net_http *http)
{
  h1_server_stop_listening (&http->server);
}

/* Closes all connections, and frees the memory.  Call it after net_http_stop.
   HTTP must stay valid until the loop has closed its handles.  */
void
net_http_finish (struct net_http *http)
{
  h1_server_stop (&http->server);
  h1_server_finish (&http->server);
  rw_map_finish (&http->pending);
}
