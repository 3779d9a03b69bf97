#include "rwfd.h"

#include <string.h>

/* Answers request ID of HTTP with BODY, which is copied, and without a
   Retry-After header.  */
void
rwfd_respond (struct net_http *http, uint64_t id, int status,
              const char *content_type, struct rw_str body)
{
  struct net_response response = { .status = status,
                                   .content_type = content_type,
                                   .retry_after_ms = -1,
                                   .body = body };

  net_http_respond (http, id, &response);
}

static void
reply_ready (struct rwfd *rwfd, struct net_http *http, uint64_t id)
{
  bool ready
      = rwfd->stop_state == RWFD_RUNNING && nod_ready (rwfd->node, rw_now ());

  rwfd_respond (http, id, ready ? 200 : 503, "application/json",
                ready ? RW_LIT ("{\"ready\":true}\n")
                      : RW_LIT ("{\"ready\":false}\n"));
}

/* Answers /ready and /healthz, which are served on the callers' and on the
   admin port.  Returns false, without an answer, for any other path.  */
bool
rwfd_handle_health (struct rwfd *rwfd, struct net_http *http,
                    const struct net_request *request)
{
  if (rw_str_eq_cstr (request->path, "/ready"))
    reply_ready (rwfd, http, request->id);
  else if (rw_str_eq_cstr (request->path, "/healthz"))
    rwfd_respond (http, request->id, 200, "application/json",
                  RW_LIT ("{\"health\":\"ok\"}\n"));
  else
    return false;
  return true;
}

static void
set_counter (struct rwfd *rwfd, const char *name, const char *help,
             uint64_t value)
{
  sta_counter (&rwfd->stats, name, help, RW_LIT (""))->u.count = value;
}

static void
set_gauge (struct rwfd *rwfd, const char *name, const char *help, size_t value)
{
  sta_set_value (sta_gauge (&rwfd->stats, name, help, RW_LIT ("")),
                 (double)value);
}

static void
update_rpc_metrics (struct rwfd *rwfd)
{
  const struct net_rpc_counts *c = &rwfd->rpc.counts;

  set_counter (rwfd, "rwf_net_records_received_total", "RPC records received.",
               c->records_in);
  set_counter (rwfd, "rwf_net_records_sent_total", "RPC records queued.",
               c->records_out);
  set_counter (rwfd, "rwf_net_records_unsent_total",
               "RPC records of which no byte was sent.", c->records_unsent);
  set_counter (rwfd, "rwf_net_writes_total", "Writes to RPC streams.",
               c->writes);
  set_counter (rwfd, "rwf_net_datagrams_received_total", "Datagrams received.",
               c->datagrams_in);
  set_counter (rwfd, "rwf_net_datagrams_sent_total", "Datagrams sent.",
               c->datagrams_out);
  set_counter (rwfd, "rwf_net_datagrams_dropped_total",
               "Datagrams too long or refused by the kernel.",
               c->datagrams_dropped);
  set_counter (rwfd, "rwf_net_streams_refused_total",
               "RPC connections refused for lack of room.",
               c->streams_refused);
  set_counter (rwfd, "rwf_net_streams_dropped_total",
               "RPC connections closed for others.", c->streams_dropped);
  set_gauge (rwfd, "rwf_net_streams", "RPC connections.",
             rwfd->rpc.streams.len);
}

static void
update_http_metrics (struct rwfd *rwfd)
{
  const struct net_client_counts *c = &rwfd->client.counts;

  set_counter (rwfd, "rwf_net_calls_total",
               "HTTP calls to targets and platform.", c->calls);
  set_counter (rwfd, "rwf_net_calls_failed_total", "HTTP calls that failed.",
               c->failed);
  set_counter (rwfd, "rwf_net_calls_timed_out_total",
               "HTTP calls that timed out.", c->timeouts);
  set_counter (rwfd, "rwf_net_calls_refused_total",
               "HTTP calls refused at the connection limit.", c->refused);
  set_counter (rwfd, "rwf_net_connections_refused_total",
               "Callers' connections refused at the limit.",
               rwfd->callers.server.closed_conns);
  set_gauge (rwfd, "rwf_net_caller_connections", "Callers' connections.",
             rwfd->callers.server.conn_count);
  set_gauge (rwfd, "rwf_net_pending_requests",
             "Callers' requests without an answer.",
             rwfd->callers.pending.len);
}

/* Sets what HTTP has refused; LABELS name the listener.  */
static void
update_listener_metrics (struct rwfd *rwfd, const struct net_http *http,
                         struct rw_str labels)
{
  const struct net_http_counts *c = &http->counts;
  const struct
  {
    const char *name;
    const char *help;
    uint64_t value;
  } counters[] = {
    { "rwf_net_requests_malformed_total", "Requests answered 400.",
      c->malformed },
    { "rwf_net_requests_slow_total", "Requests answered 408.", c->slow },
    { "rwf_net_requests_too_large_total", "Requests answered 413 or 431.",
      c->too_large },
    { "rwf_net_requests_refused_total",
      "Requests answered 503 for lack of memory before they were read.",
      c->refused },
    { "rwf_net_dropped_for_memory_total",
      "Connections closed as their memory was needed.",
      c->dropped[ACC_FOR_MEMORY] },
    { "rwf_net_dropped_for_descriptors_total",
      "Connections closed as their descriptors were needed.",
      c->dropped[ACC_FOR_PLACE] },
  };

  for (size_t i = 0; i < RW_ARRAY_LEN (counters); i++)
    sta_counter (&rwfd->stats, counters[i].name, counters[i].help, labels)
        ->u.count
        = counters[i].value;
}

static void
update_account_metrics (struct rwfd *rwfd)
{
  update_listener_metrics (rwfd, &rwfd->callers,
                           RW_LIT ("listener=\"callers\""));
  update_listener_metrics (rwfd, &rwfd->admin, RW_LIT ("listener=\"admin\""));
  set_gauge (rwfd, "rwf_held_bytes",
             "Bytes held for clients and their requests.", rwfd->account.used);
  set_gauge (rwfd, "rwf_held_bytes_peak", "The highest value of it so far.",
             rwfd->account.peak);
  set_gauge (rwfd, "rwf_held_descriptors",
             "Connections of clients, daemons and to targets.",
             rwfd->account.places);
}

static void
reply_metrics (struct rwfd *rwfd, uint64_t id)
{
  struct rw_buf out;

  rw_buf_init (&out);
  nod_report (rwfd->node, RW_LIT ("metrics"), &out, rw_now ());
  update_rpc_metrics (rwfd);
  update_http_metrics (rwfd);
  update_account_metrics (rwfd);
  sta_write (&rwfd->stats, &out);
  rwfd_respond (&rwfd->admin, id, 200, "text/plain; version=0.0.4",
                rw_buf_str (&out));
  rw_buf_finish (&out);
}

static void
reply_report (struct rwfd *rwfd, uint64_t id, struct rw_str name)
{
  struct rw_buf out;
  int rc = RW_E_NOT_FOUND;

  rw_buf_init (&out);
  if (!rw_str_eq_cstr (name, "metrics"))
    rc = nod_report (rwfd->node, name, &out, rw_now ());
  if (rc == 0)
    rwfd_respond (&rwfd->admin, id, 200, "application/json",
                  rw_buf_str (&out));
  else
    rwfd_respond (&rwfd->admin, id, 404, "application/json",
                  RW_LIT ("{\"error\":\"no such report\"}\n"));
  rw_buf_finish (&out);
}

static void
on_request (void *arg, const struct net_request *request)
{
  struct rwfd *rwfd = arg;
  struct rw_str prefix = RW_LIT ("/admin/");

  if (!rw_str_eq_cstr (request->method, "GET"))
    rwfd_respond (&rwfd->admin, request->id, 405, "application/json",
                  RW_LIT ("{\"error\":\"expected GET\"}\n"));
  else if (rw_str_eq_cstr (request->path, "/metrics"))
    reply_metrics (rwfd, request->id);
  else if (rw_str_starts (request->path, prefix))
    reply_report (rwfd, request->id,
                  (struct rw_str){ request->path.ptr + prefix.len,
                                   request->path.len - prefix.len });
  else if (!rwfd_handle_health (rwfd, &rwfd->admin, request))
    reply_report (rwfd, request->id, RW_LIT (""));
}

static void
on_disconnect (void *arg, uint64_t id)
{
  (void)arg;
  (void)id;
}

const struct net_http_ops rwfd_admin_ops = { on_request, on_disconnect };
