#include <string.h>

#include "config_admin.h"
#include "frn_account.h"
#include "frn_capacity.h"
#include "frn_quarantine.h"
#include "frn_quota.h"
#include "front.h"

/* Enough for the readiness checks and a few metric collectors.  */
#define MAX_ADMIN_CONNS 64

static void
answer_metrics (struct frn_daemon *daemon, struct h1_conn *conn)
{
  struct frn_metrics *m = &daemon->metrics;
  struct rw_buf out;
  struct h1_reply reply
      = { .status = 200, .headers = RW_LIT ("Content-Type: text/plain\r\n") };
  frn_metrics_update (daemon);
  rw_buf_init (&out);
  sta_write (&m->set, &out);
  reply.body = rw_buf_str (&out);
  h1_conn_reply (conn, &reply);
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
  if (frn_quarantine_serve (daemon, conn, message)
      || frn_quota_serve (daemon, conn, message)
      || frn_capacity_serve (daemon, conn, message)
      || frn_config_serve (daemon, conn, message))
    return;
  if (rw_str_eq_cstr (message->target, plt_ready_path))
    reply.status = frn_is_ready (daemon) ? 200 : 503;
  h1_conn_reply (conn, &reply);
}

static const struct h1_server_ops admin_ops = {
  .on_request = on_request,
  .on_drop = frn_on_drop,
};

int
frn_admin_init (struct frn_daemon *daemon)
{
  daemon->admin_limits = (struct h1_limits){
    .max_head_bytes = 8192,
    .max_body_bytes = 8192,
    .request_timeout = 5 * RW_SEC,
    .idle_timeout = 60 * RW_SEC,
  };
  int r = h1_server_init (
      &daemon->admin_server, daemon->loop,
      (const struct sockaddr *)&daemon->settings.ready_addr,
      &daemon->admin_limits, MAX_ADMIN_CONNS, &admin_ops, daemon);
  if (r == 0)
    frn_account_serve (daemon, &daemon->admin_server);
  return r;
}
