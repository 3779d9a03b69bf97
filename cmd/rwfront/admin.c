#include <string.h>

#include "front.h"

/* Readiness checks and metrics of a few collectors.  */
#define MAX_ADMIN_CONNS 64

void
frn_metrics_init (struct frn_metrics *m)
{
  static const char *const sends[FRN_SEND_OUTCOMES]
      = { "ok", "refused", "broken", "abandoned" };
  struct rw_str none = { NULL, 0 };
  char label[64];
  sta_init (&m->set);
  for (int i = 0; i < FRN_OUTCOMES; i++)
    m->outcome[i] = sta_counter (
        &m->set, "rwf_requests_total", "requests by outcome",
        sta_label (label, sizeof label, "outcome",
                   rw_str_from (frn_outcome_name ((enum frn_outcome)i))));
  for (int i = 0; i < FRN_SEND_OUTCOMES; i++)
    m->send_outcome[i] = sta_counter (
        &m->set, "rwf_sends_total", "sends to targets by outcome",
        sta_label (label, sizeof label, "outcome", rw_str_from (sends[i])));
  m->latency = sta_histogram (&m->set, "rwf_request_seconds",
                              "time from a request to its answer", none);
  m->first = sta_counter (&m->set, "rwf_first_sends_total",
                          "parts sent for the first time", none);
  m->retries = sta_counter (&m->set, "rwf_retries_total",
                            "parts sent again after a failure", none);
  m->hedges = sta_counter (&m->set, "rwf_hedges_total",
                           "parts sent to a second target", none);
  m->budget_empty
      = sta_counter (&m->set, "rwf_extra_budget_empty_total",
                     "extra sends put off because of the budget", none);
  m->relays = sta_counter (&m->set, "rwf_relays_total",
                           "requests left to a larger peer", none);
  m->links = sta_counter (&m->set, "rwf_links_opened_total",
                          "connections opened to targets", none);
  m->store_calls = sta_counter (&m->set, "rwf_store_calls_total",
                                "answers of the store", none);
  m->store_errors = sta_counter (&m->set, "rwf_store_errors_total",
                                 "failed calls to the store", none);
  m->transfers = sta_counter (&m->set, "rwf_transfers_total",
                              "changes taken over from peers", none);
  m->daemons = sta_gauge (&m->set, "rwf_daemons",
                          "daemons that share the sums", none);
  m->store_age
      = sta_gauge (&m->set, "rwf_store_lost_seconds",
                   "time since the store was lost, 0: in touch", none);
  m->config_version = sta_gauge (&m->set, "rwf_config_version",
                                 "version in force, 0: none", none);
  m->config_age = sta_gauge (&m->set, "rwf_config_age_seconds",
                             "time since that version came into force", none);
  m->loop_lag = sta_gauge (&m->set, "rwf_loop_lag_seconds",
                           "delay of the last tick of the loop", none);
  m->log_left_out = sta_gauge (&m->set, "rwf_log_lines_left_out",
                               "log lines not written", none);
}

static void
answer_metrics (struct frn_daemon *daemon, struct h1_conn *conn)
{
  struct frn_metrics *m = &daemon->metrics;
  rw_time now = frn_now ();
  struct rw_buf out;
  struct h1_reply reply
      = { .status = 200, .headers = RW_LIT ("Content-Type: text/plain\r\n") };
  sta_set_value (m->store_age,
                 (double)fol_age (&daemon->store.reader, now) / RW_SEC);
  sta_set_value (m->daemons, (double)daemon->fleet.settings.daemons);
  sta_set_value (m->config_version,
                 daemon->config ? (double)daemon->config->version : 0);
  sta_set_value (m->config_age,
                 daemon->config ? (double)(now - daemon->config_since) / RW_SEC
                                : 0);
  sta_set_value (m->log_left_out, (double)daemon->log.left_out);
  rw_buf_init (&out);
  sta_write (&m->set, &out);
  reply.body = rw_buf_str (&out);
  h1_answer (conn, &reply);
  rw_buf_finish (&out);
}

static void
on_request (void *arg, struct h1_conn *conn, const struct h1_message *message)
{
  struct frn_daemon *daemon = arg;
  struct h1_reply reply = { .status = 404 };
  if (rw_str_eq_cstr (message->target, "/metrics"))
    {
      answer_metrics (daemon, conn);
      return;
    }
  if (rw_str_eq_cstr (message->target, plt_ready_path))
    reply.status = frn_is_ready (daemon) ? 200 : 503;
  h1_answer (conn, &reply);
}

static const struct h1_server_ops admin_ops = {
  .on_request = on_request,
};

int
frn_admin_init (struct frn_daemon *daemon)
{
  daemon->admin_limits = (struct h1_limits){
    .header_bytes = 8192,
    .body_bytes = 8192,
    .header_time = 5 * RW_SEC,
    .idle_time = 60 * RW_SEC,
  };
  return h1_server_init (&daemon->admin, daemon->loop,
                         (const struct sockaddr *)&daemon->settings.ready,
                         &daemon->admin_limits, MAX_ADMIN_CONNS, &admin_ops,
                         daemon);
}
