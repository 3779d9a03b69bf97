#include "rwfd.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

/* A cancel may need a connection besides those of the exchanges, because all
   of these may be busy.  Twice the slots is also the bound of a hand-over.  */
#define CANCEL_CONNECTIONS 2
/* The answer to a cancel does not matter.  */
#define CANCEL_TIMEOUT (100 * RW_MSEC)

struct exchange
{
  struct rwfd *rwfd;
  uint64_t number; /* of the node */
  enum nod_exchange_kind kind;
  struct net_addr to;
  char target[64];
  size_t max_connections;
  struct rw_buf body; /* of the request; names the queries to cancel */
};

/* A cancelled exchange: its queries are cancelled one after another.  */
struct cancel
{
  struct rwfd *rwfd;
  struct net_addr to;
  char target[64];
  size_t max_connections;
  json_t *body; /* of the exchange */
  size_t next;  /* query */
};

static void
free_exchange (struct exchange *exchange)
{
  rw_map_remove (&exchange->rwfd->exchanges, exchange->number);
  rw_buf_finish (&exchange->body);
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

static struct exchange *
new_exchange (struct rwfd *rwfd, struct nod_action *action)
{
  struct exchange *exchange = rw_xcalloc (1, sizeof *exchange);

  exchange->rwfd = rwfd;
  exchange->number = action->u.start.exchange;
  exchange->kind = action->u.start.kind;
  memcpy (exchange->to.host, action->u.start.to.host,
          sizeof exchange->to.host);
  exchange->to.port = action->u.start.to.port;
  memcpy (exchange->target, action->u.start.target, sizeof exchange->target);
  exchange->max_connections = action->u.start.max_connections > 0
                                  ? (size_t)action->u.start.max_connections
                                  : 0;
  exchange->body = action->data;
  rw_buf_init (&action->data);
  rw_map_put (&rwfd->exchanges, exchange->number, exchange);
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

/* Sends a request to a target.  Takes the data of ACTION.  */
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
          .body = rw_buf_str (&exchange->body),
          .done = on_done,
          .arg = rwfd,
          .tag = exchange->number };
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

static void send_cancel (struct cancel *cancel);

static void
on_cancelled (void *arg, uint64_t tag, const struct net_reply *reply)
{
  (void)tag;
  (void)reply;
  send_cancel (arg);
}

/* Sends the cancel of the next query, one after another, or frees CANCEL.  */
static void
send_cancel (struct cancel *cancel)
{
  json_t *queries = json_object_get (cancel->body, "queries");
  json_t *query = json_array_get (queries, cancel->next++);
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
          .done = on_cancelled,
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

/* Asks the target to stop working for an exchange.  The exchange then ends by
   the target's answer or, at its deadline, by closing its connection.  */
void
rwfd_cancel_exchange (struct rwfd *rwfd, uint64_t number)
{
  const struct exchange *exchange = rw_map_get (&rwfd->exchanges, number);
  struct cancel *cancel;

  if (exchange == NULL || exchange->kind != NOD_EXCHANGE_SEARCH)
    return;
  cancel = rw_xcalloc (1, sizeof *cancel);
  cancel->rwfd = rwfd;
  cancel->to = exchange->to;
  memcpy (cancel->target, exchange->target, sizeof cancel->target);
  cancel->max_connections = CANCEL_CONNECTIONS * exchange->max_connections;
  cancel->body = json_loadb (exchange->body.ptr, exchange->body.len, 0, NULL);
  send_cancel (cancel);
}

/* Frees the exchanges that have not ended, when the daemon ends.  */
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
