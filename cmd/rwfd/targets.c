#include "rwfd.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* The connection limit of a cancel is this multiple of the exchange's limit,
   because exchanges may occupy all their connections.  Twice the slots is also
   the limit during a hand-over.  */
#define CANCEL_CONNECTIONS_FACTOR 2
/* Short, because the answer to a cancel is not used.  */
#define CANCEL_TIMEOUT (100 * RW_MSEC)

struct exchange
{
  struct rwfd *rwfd;
  uint64_t id; /* chosen by the node */
  enum nod_exchange_kind kind;
  struct net_addr to;
  char target[64];
  size_t max_connections;
  struct acc_blob *body; /* of the request, with the ids of its queries */
};

/* Cancels the queries of one exchange, one call at a time.  It may outlive the
   exchange and so has copies of its members.  */
struct cancel
{
  struct rwfd *rwfd;
  struct net_addr to;
  char target[64];
  size_t max_connections;
  json_t *body;      /* of the exchange; null if it is not JSON */
  size_t next_query; /* index in the body's queries */
};

static void
free_exchange (struct exchange *exchange)
{
  rw_map_remove (&exchange->rwfd->exchanges, exchange->id);
  acc_blob_unref (exchange->body);
  free (exchange);
}

static void
on_done (void *arg, uint64_t tag, const struct net_reply *reply)
{
  struct rwfd *rwfd = arg;
  struct exchange *exchange = rw_map_get (&rwfd->exchanges, tag);

  if (exchange == NULL)
    return;
  if (reply->err != NULL)
    nod_on_exchange_failed (rwfd->node, tag, reply->sent, reply->err,
                            rw_now ());
  else
    nod_on_exchange_reply (rwfd->node, tag, reply->status,
                           reply->retry_after_ms, reply->body, rw_now ());
  free_exchange (exchange);
}

/* Creates the exchange of ACTION and moves the data of ACTION to its body.  */
static struct exchange *
new_exchange (struct rwfd *rwfd, struct nod_action *action)
{
  struct exchange *exchange = rw_xcalloc (1, sizeof *exchange);

  exchange->rwfd = rwfd;
  exchange->id = action->u.start.exchange;
  exchange->kind = action->u.start.kind;
  memcpy (exchange->to.host, action->u.start.to.host,
          sizeof exchange->to.host);
  exchange->to.port = action->u.start.to.port;
  memcpy (exchange->target, action->u.start.target, sizeof exchange->target);
  exchange->max_connections = action->u.start.max_connections > 0
                                  ? (size_t)action->u.start.max_connections
                                  : 0;
  exchange->body = acc_blob_new (&rwfd->account, &action->data);
  rw_map_put (&rwfd->exchanges, exchange->id, exchange);
  return exchange;
}

static void
write_headers (const struct nod_action *action, struct rw_buf *out)
{
  rw_buf_printf (out,
                 "content-type: application/json\r\n"
                 "x-deadline-ms: %lld\r\n",
                 (long long)(action->u.start.timeout / RW_MSEC));
  if (action->u.start.traceparent[0] != '\0')
    rw_buf_printf (out, "traceparent: %s\r\n", action->u.start.traceparent);
  if (action->u.start.kind == NOD_EXCHANGE_ONCE)
    rw_buf_printf (out, "idempotency-key: %s\r\n",
                   action->u.start.idempotency_key);
}

/* Sends a request to a target.  The data of ACTION is moved and ACTION left
   with none.  The node gets the result from on_done.  */
void
rwfd_start_exchange (struct rwfd *rwfd, struct nod_action *action)
{
  struct exchange *exchange = new_exchange (rwfd, action);
  struct net_call_spec spec
      = { .to = exchange->to,
          .peer = rw_str_from (exchange->target),
          .max_connections = exchange->max_connections,
          .timeout = action->u.start.timeout,
          .method = "POST",
          .path = exchange->kind == NOD_EXCHANGE_ONCE ? RW_LIT ("/once")
                                                      : RW_LIT ("/search"),
          .body = rw_buf_str (&exchange->body->buf),
          .blob = exchange->body,
          .done = on_done,
          .arg = rwfd,
          .tag = exchange->id };
  struct rw_buf headers;

  rw_buf_init (&headers);
  write_headers (action, &headers);
  spec.headers = rw_buf_str (&headers);
  net_client_start (&rwfd->client, &spec);
  rw_buf_finish (&headers);
}

static void
free_cancel (struct cancel *cancel)
{
  json_decref (cancel->body);
  free (cancel);
}

static void send_next_cancel (struct cancel *cancel);

static void
on_cancel_done (void *arg, uint64_t tag, const struct net_reply *reply)
{
  (void)tag;
  (void)reply;
  send_next_cancel (arg);
}

/* Sends the cancel of the next query; its end sends the one after it.  Frees
   CANCEL if there is no query left.  */
static void
send_next_cancel (struct cancel *cancel)
{
  json_t *queries = json_object_get (cancel->body, "queries");
  json_t *query = json_array_get (queries, cancel->next_query++);
  json_t *id = json_object_get (query, "id");
  char *text = NULL;
  json_t *body;
  struct net_call_spec spec
      = { .to = cancel->to,
          .peer = rw_str_from (cancel->target),
          .max_connections = cancel->max_connections,
          .timeout = CANCEL_TIMEOUT,
          .method = "POST",
          .path = RW_LIT ("/cancel"),
          .headers = RW_LIT ("content-type: application/json\r\n"),
          .done = on_cancel_done,
          .arg = cancel };

  if (id == NULL)
    {
      free_cancel (cancel);
      return;
    }
  body = json_pack ("{s:O}", "id", id);
  text = json_dumps (body, JSON_COMPACT);
  spec.body = rw_str_from (text != NULL ? text : "");
  net_client_start (&cancel->rwfd->client, &spec);
  free (text);
  json_decref (body);
}

/* Asks the target to stop working for an exchange; only search exchanges can
   be cancelled.  The exchange stays until the target answers or, at its
   deadline, its connection is closed.  */
void
rwfd_cancel_exchange (struct rwfd *rwfd, uint64_t id)
{
  const struct exchange *exchange = rw_map_get (&rwfd->exchanges, id);
  struct cancel *cancel;

  if (exchange == NULL || exchange->kind != NOD_EXCHANGE_SEARCH)
    return;
  cancel = rw_xcalloc (1, sizeof *cancel);
  cancel->rwfd = rwfd;
  cancel->to = exchange->to;
  memcpy (cancel->target, exchange->target, sizeof cancel->target);
  cancel->max_connections
      = CANCEL_CONNECTIONS_FACTOR * exchange->max_connections;
  cancel->body
      = json_loadb (exchange->body->buf.ptr, exchange->body->buf.len, 0, NULL);
  send_next_cancel (cancel);
}

/* Frees the exchanges in flight when the daemon exits.  */
void
rwfd_free_exchanges (struct rwfd *rwfd)
{
  struct exchange *exchange;
  size_t position = 0;

  while ((exchange = rw_map_next (&rwfd->exchanges, &position)) != NULL)
    {
      free_exchange (exchange);
      position = 0;
    }
  rw_map_finish (&rwfd->exchanges);
}
