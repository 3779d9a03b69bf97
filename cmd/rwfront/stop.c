#include "forward.h"
#include "frn_stop.h"

/* Retry-After of a request that was not read to its end: other daemons serve
   it at once.  */
#define RETRY_AFTER_STOP_HEADER "Retry-After: 0\r\n"

void
frn_stop_begin (struct frn_daemon *daemon)
{
  rw_time now = rw_now ();
  if (daemon->stop.begun)
    return;
  stp_begin (&daemon->stop, daemon->settings.stop_time, now);
  h1_server_drain (&daemon->caller_server);
  frn_peers_leave (daemon);
  evt_line (&daemon->log, EVT_STATE, "daemon", now,
            "stopping: connections=%zu running=%zu",
            daemon->caller_server.conn_count,
            daemon->caller_server.busy_count);
}

static void
stop_loop (struct frn_daemon *daemon, rw_time now)
{
  evt_line (&daemon->log, EVT_STATE, "daemon", now,
            "stopped: requests=%zu connections=%zu ms=%lld",
            daemon->request_count, daemon->caller_server.conn_count,
            (long long)((now - daemon->stop.began) / RW_MSEC));
  evt_flush (&daemon->log, now);
  uv_stop (daemon->loop);
}

/* Answers the request that is pending on CONN.  */
static void
answer_pending (void *arg, struct h1_conn *conn)
{
  struct frn_request *request = h1_conn_data (conn);
  if (request == NULL)
    frn_parked_refuse (arg, conn);
  else if (!request->ended)
    frn_request_stop (request);
}

/* Answers every request that is still here: what no target can have run is
   refused, so that callers and peers can send it elsewhere.  */
static void
answer_all (struct frn_daemon *daemon, rw_time now)
{
  struct h1_reply to_caller
      = { .status = 503, .headers = RW_LIT (RETRY_AFTER_STOP_HEADER) };
  struct h1_reply to_peer = frn_peer_refusal (daemon);
  size_t pending = daemon->caller_server.busy_count;
  size_t relayed = daemon->peers.server.busy_count;
  h1_server_each_pending (&daemon->caller_server, answer_pending, daemon);
  h1_server_each_pending (&daemon->peers.server, answer_pending, daemon);
  size_t arriving
      = h1_server_refuse_arriving (&daemon->caller_server, &to_caller)
        + h1_server_refuse_arriving (&daemon->peers.server, &to_peer);
  if (pending + relayed + arriving > 0)
    evt_line (&daemon->log, EVT_STATE, "daemon", now,
              "answered at the end of the stop: pending=%zu relayed=%zu "
              "arriving=%zu",
              pending, relayed, arriving);
}

void
frn_stop_tick (struct frn_daemon *daemon, rw_time now)
{
  enum stp_stage stage = stp_stage_at (&daemon->stop, now);
  switch (stage)
    {
    case STP_RUNNING:
    case STP_SERVING:
      return;
    case STP_CLOSING:
      break;
    case STP_ANSWERING:
    case STP_OVER:
      answer_all (daemon, now);
      break;
    }
  h1_server_stop_listening (&daemon->caller_server);
  h1_server_close_idle (&daemon->caller_server);
  if (stage == STP_OVER
      || (daemon->caller_server.conn_count == 0
          && daemon->peers.server.busy_count == 0))
    stop_loop (daemon, now);
}
