#include "net.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define LISTEN_BACKLOG 512

/* A request without a response.  It is allocated in the memory pool of the h2o
   request, whose disposal calls on_request_disposed.  */
struct pending_request
{
  struct net_http *http;
  uint64_t id;
  h2o_req_t *req;
};

struct connection
{
  uv_tcp_t tcp; /* first member, since h2o uses the data pointer */
  struct net_http *http;
};

struct handler
{
  h2o_handler_t super;
  struct net_http *http;
};

static struct rw_str
iovec_str (h2o_iovec_t v)
{
  return (struct rw_str){ v.base, v.len };
}

static void
on_request_disposed (void *ptr)
{
  struct pending_request *pending = ptr;
  struct net_http *http = pending->http;

  if (rw_map_remove (&http->pending, pending->id) != NULL)
    http->ops->on_disconnect (http->arg, pending->id);
}

static int
on_request (h2o_handler_t *self, h2o_req_t *req)
{
  struct net_http *http = ((struct handler *)self)->http;
  struct pending_request *pending = h2o_mem_alloc_shared (
      &req->pool, sizeof *pending, on_request_disposed);
  size_t path_len = req->query_at != SIZE_MAX ? req->query_at : req->path.len;
  struct net_request request = { .id = http->next_id++,
                                 .method = iovec_str (req->method),
                                 .path = { req->path.base, path_len },
                                 .query = RW_LIT (""),
                                 .body = iovec_str (req->entity),
                                 .req = req };

  if (path_len < req->path.len)
    request.query = (struct rw_str){ req->path.base + path_len + 1,
                                     req->path.len - path_len - 1 };
  *pending = (struct pending_request){ http, request.id, req };
  rw_map_put (&http->pending, request.id, pending);
  http->ops->on_request (http->arg, &request);
  return 0;
}

/* Returns the value of the header NAME, which is given in lower case, or an
   empty string.  The value is valid as long as REQUEST.  */
struct rw_str
net_http_header (const struct net_request *request, const char *name)
{
  const h2o_headers_t *headers = &request->req->headers;
  const h2o_token_t *token = h2o_lookup_token (name, strlen (name));
  ssize_t at = token != NULL
                   ? h2o_find_header (headers, token, -1)
                   : h2o_find_header_by_str (headers, name, strlen (name), -1);

  return at >= 0 ? iovec_str (headers->entries[at].value) : RW_LIT ("");
}

static const char *
reason_phrase (int status)
{
  switch (status)
    {
    case 200:
      return "OK";
    case 400:
      return "Bad Request";
    case 404:
      return "Not Found";
    case 405:
      return "Method Not Allowed";
    case 409:
      return "Conflict";
    case 429:
      return "Too Many Requests";
    case 500:
      return "Internal Server Error";
    case 503:
      return "Service Unavailable";
    case 504:
      return "Gateway Timeout";
    default:
      return "Status";
    }
}

static void
add_header (h2o_req_t *req, const char *name, struct rw_str value)
{
  h2o_iovec_t copy = h2o_strdup (&req->pool, value.ptr, value.len);

  h2o_add_header_by_str (&req->pool, &req->res.headers, name, strlen (name), 1,
                         NULL, copy.base, copy.len);
}

/* Retry-After has whole seconds, so MS is rounded up; the body of an error
   response has the milliseconds.  */
static void
add_retry_after (h2o_req_t *req, int64_t ms)
{
  char text[24];

  snprintf (text, sizeof text, "%lld", (long long)((ms + 999) / 1000));
  add_header (req, "retry-after", rw_str_from (text));
}

/* Sends RESPONSE, which is copied, to the request ID.  Does nothing if the
   request was answered or its connection was closed.  */
void
net_http_respond (struct net_http *http, uint64_t id,
                  const struct net_response *response)
{
  struct pending_request *pending = rw_map_remove (&http->pending, id);
  h2o_req_t *req;

  if (pending == NULL)
    return;
  req = pending->req;
  req->res.status = response->status;
  req->res.reason = reason_phrase (response->status);
  req->res.content_length = response->body.len;
  add_header (req, "content-type", rw_str_from (response->content_type));
  if (response->retry_after_ms >= 0)
    add_retry_after (req, response->retry_after_ms);
  if (response->traceparent.len > 0)
    add_header (req, "traceparent", response->traceparent);
  h2o_send_inline (req, response->body.len > 0 ? response->body.ptr : "",
                   response->body.len);
}

static void
on_refused_closed (uv_handle_t *handle)
{
  free (handle);
}

static void
on_connection_closed (uv_handle_t *handle)
{
  struct connection *connection = (struct connection *)handle;

  connection->http->connection_count--;
  free (connection);
}

static void
on_connection (uv_stream_t *listener, int status)
{
  struct net_http *http = listener->data;
  struct connection *connection;
  uv_tcp_t *tcp;

  if (status < 0)
    return;
  connection = rw_xcalloc (1, sizeof *connection);
  connection->http = http;
  tcp = &connection->tcp;
  uv_tcp_init (http->loop, tcp);
  if (uv_accept (listener, (uv_stream_t *)tcp) < 0
      || http->connection_count >= NET_MAX_HTTP_CONNECTIONS)
    {
      http->connections_refused++;
      uv_close ((uv_handle_t *)tcp, on_refused_closed);
      return;
    }
  http->connection_count++;
  uv_tcp_nodelay (tcp, 1);
  h2o_accept (&http->accept_ctx,
              h2o_uv_socket_create ((uv_stream_t *)tcp, on_connection_closed));
}

static int
listen_on (struct net_http *http, const struct net_addr *addr)
{
  struct sockaddr_storage sa;
  struct net_addr bound;
  int len = sizeof sa;
  int rc = net_addr_to_sockaddr (addr, &sa);

  uv_tcp_init (http->loop, &http->listener);
  http->listener.data = http;
  if (rc == 0)
    rc = uv_tcp_bind (&http->listener, (struct sockaddr *)&sa, 0);
  if (rc == 0)
    rc = uv_listen ((uv_stream_t *)&http->listener, LISTEN_BACKLOG,
                    on_connection);
  if (rc == 0)
    rc = uv_tcp_getsockname (&http->listener, (struct sockaddr *)&sa, &len);
  if (rc == 0)
    rc = net_addr_from_sockaddr ((struct sockaddr *)&sa, &bound);
  if (rc == 0)
    http->port = bound.port;
  return rc;
}

static void
configure_h2o (struct net_http *http)
{
  h2o_hostconf_t *host;
  struct handler *handler;

  h2o_config_init (&http->config);
  http->config.max_request_entity_size = NET_MAX_BODY_BYTES;
  http->config.http1.req_timeout = NET_HTTP_REQUEST_TIMEOUT_MS;
  http->config.http1.upgrade_to_http2 = 0;
  http->config.server_name = h2o_iovec_init (H2O_STRLIT ("rwfd"));
  host = h2o_config_register_host (
      &http->config, h2o_iovec_init (H2O_STRLIT ("default")), 65535);
  handler = (struct handler *)h2o_create_handler (
      h2o_config_register_path (host, "/", 0), sizeof *handler);
  handler->super.on_req = on_request;
  handler->http = http;
  h2o_context_init (&http->context, http->loop, &http->config);
  http->accept_ctx.ctx = &http->context;
  http->accept_ctx.hosts = http->config.hosts;
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
  int rc;

  memset (http, 0, sizeof *http);
  http->loop = loop;
  http->ops = ops;
  http->arg = arg;
  http->next_id = 1;
  rw_map_init (&http->pending);
  configure_h2o (http);
  rc = listen_on (http, addr);
  if (rc < 0)
    return rw_err_set (err, rc, "listen http", net_addr_format (addr, name),
                       "%s", uv_strerror (rc));
  return 0;
}

/* Makes each connection end after its next response.  New connections and
   requests are still accepted.  */
void
net_http_drain (struct net_http *http)
{
  h2o_context_request_shutdown (&http->context);
}

/* Closes the listener.  Connections and pending requests stay.  */
void
net_http_stop (struct net_http *http)
{
  uv_close ((uv_handle_t *)&http->listener, NULL);
}

/* Frees the memory of h2o.  Call it after net_http_stop, when
   connection_count is 0.  HTTP must stay valid until the loop has closed its
   handles.  */
void
net_http_finish (struct net_http *http)
{
  h2o_context_dispose (&http->context);
  h2o_config_dispose (&http->config);
  rw_map_finish (&http->pending);
}
