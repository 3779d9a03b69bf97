#include <string.h>

#include "access.h"
#include "frn_account.h"
#include "front.h"

/* The longest time that a request waits for the first configuration, which
   arrives within about 20 ms after a start, or 200 ms after a start of all. */
#define MAX_PARK_TIME (150 * RW_MSEC)
/* Later after the start than this, requests are refused at once: neither the
   store nor a peer has the configuration.  */
#define MAX_START_TIME (300 * RW_MSEC)

struct cat_route *
frn_find_route (const struct frn_daemon *daemon,
                const struct h1_message *message)
{
  struct rw_str path = message->target;
  const char *query = memchr (path.ptr, '?', path.len);
  if (query != NULL)
    path.len = (size_t)(query - path.ptr);
  return cat_config_find_route (daemon->config,
                                h1_header_value (message, "Host"), path);
}

/* Answers STATUS to a request that is not begun, and counts OUTCOME.  The line
   says that the request was not begun as it is WHAT.  */
static void
decline (struct frn_daemon *daemon, const struct frn_arrival *arrival,
         enum frn_outcome outcome, int status, const char *what)
{
  sta_inc (daemon->metrics.no_route.outcome[outcome]);
  evt_line (&daemon->log, EVT_NORMAL, "request", rw_now (),
            "%s: id=%s path=%s status=%d version=%llu", what,
            evt_value (arrival->head->id).text,
            evt_value (arrival->message->target).text, status,
            (unsigned long long)daemon->config->version);
  frn_answer_refusal (arrival->conn, status, -1);
}

/* Answers 503 as the keys known here may have been revoked meanwhile.  */
static void
refuse_stale (struct frn_daemon *daemon, const struct frn_arrival *arrival)
{
  rw_time now = rw_now ();
  rw_time age = now - daemon->peers.current_at;
  sta_inc (daemon->metrics.no_route.outcome[FRN_REFUSED]);
  sta_inc (daemon->metrics.refusal[FRN_REFUSE_STALE]);
  evt_line (&daemon->log, EVT_NORMAL, "request", now,
            "refused: id=%s status=503 error=\"keys are not confirmed\" "
            "age_ms=%lld",
            evt_value (arrival->head->id).text, (long long)(age / RW_MSEC));
  frn_answer_refusal (arrival->conn, 503,
                      shd_retry_after (age - daemon->settings.revocation_time,
                                       arrival->head->time_left_ms * RW_MSEC,
                                       &daemon->fleet.rng));
}

void
frn_request_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                   const struct h1_message *message, rw_time start,
                   bool relayed)
{
  struct plt_request head;
  struct frn_arrival arrival = { .conn = conn,
                                 .message = message,
                                 .head = &head,
                                 .route = frn_find_route (daemon, message),
                                 .start = start,
                                 .relayed = relayed };
  plt_read_request (message, &head);
  if (arrival.route == NULL)
    {
      decline (daemon, &arrival, FRN_NO_ROUTE, 404, "no route");
      return;
    }
  if (head.id.len == 0)
    {
      decline (daemon, &arrival, FRN_INVALID, 400, "without id");
      return;
    }
  if (!frn_account_admit (daemon, conn, &head, relayed))
    return;
  switch (frn_access_check (daemon, &arrival))
    {
    case FRN_ACCESS_GRANTED:
      frn_request_begin (daemon, &arrival);
      break;
    case FRN_ACCESS_NO_KEY:
      decline (daemon, &arrival, FRN_NO_KEY, 401, "no valid key");
      break;
    case FRN_ACCESS_STALE:
      refuse_stale (daemon, &arrival);
      break;
    }
}

/* Answers 503 because no configuration is known.  */
static void
refuse_unconfigured (struct frn_daemon *daemon, struct h1_conn *conn,
                     const struct h1_message *message)
{
  struct plt_request head;
  plt_read_request (message, &head);
  sta_inc (daemon->metrics.no_route.outcome[FRN_REFUSED]);
  sta_inc (daemon->metrics.refusal[FRN_REFUSE_NO_CONFIG]);
  evt_line (&daemon->log, EVT_NORMAL, "request", rw_now (),
            "refused: id=%s status=503 error=\"no configuration is known\"",
            evt_value (head.id).text);
  frn_answer_refusal (conn, 503,
                      shd_retry_after (rw_now () - daemon->started,
                                       head.time_left_ms * RW_MSEC,
                                       &daemon->fleet.rng));
}

/* Whether the first configuration is expected soon.  */
static bool
is_starting (const struct frn_daemon *daemon, rw_time now)
{
  return now - daemon->started < MAX_START_TIME;
}

void
frn_parked_serve (struct frn_daemon *daemon, rw_time now)
{
  size_t i = 0;
  while (i < daemon->parked_count)
    {
      struct frn_parked parked = daemon->parked[i];
      struct h1_message message;
      if (daemon->config == NULL && is_starting (daemon, now)
          && now - parked.arrived < MAX_PARK_TIME)
        {
          i++;
          continue;
        }
      daemon->parked[i] = daemon->parked[--daemon->parked_count];
      h1_conn_message (parked.conn, &message);
      if (daemon->config == NULL)
        refuse_unconfigured (daemon, parked.conn, &message);
      else
        frn_request_serve (daemon, parked.conn, &message, parked.arrived,
                           false);
    }
}

static void
remove_parked (struct frn_daemon *daemon, const struct h1_conn *conn)
{
  for (size_t i = 0; i < daemon->parked_count; i++)
    if (daemon->parked[i].conn == conn)
      {
        daemon->parked[i] = daemon->parked[--daemon->parked_count];
        return;
      }
}

void
frn_parked_refuse (struct frn_daemon *daemon, struct h1_conn *conn)
{
  struct h1_message message;
  remove_parked (daemon, conn);
  h1_conn_message (conn, &message);
  refuse_unconfigured (daemon, conn, &message);
}

static void
on_request (void *arg, struct h1_conn *conn, const struct h1_message *message)
{
  struct frn_daemon *daemon = arg;
  rw_time now = rw_now ();

  h1_conn_set_data (conn, NULL);
  if (daemon->config != NULL)
    frn_request_serve (daemon, conn, message, now, false);
  else if (is_starting (daemon, now) && daemon->parked_count < FRN_MAX_PARKED)
    daemon->parked[daemon->parked_count++] = (struct frn_parked){ conn, now };
  else
    refuse_unconfigured (daemon, conn, message);
}

void
frn_on_caller_gone (void *arg, struct h1_conn *conn)
{
  struct frn_request *request = h1_conn_data (conn);
  if (request == NULL)
    remove_parked (arg, conn);
  if (request == NULL || request->ended)
    return;
  frn_log_outcome (request, FRN_GONE, 0);
  frn_request_end (request);
}

static enum frn_unreadable
unreadable_as (int status)
{
  switch (status)
    {
    case 408:
      return FRN_UNREADABLE_SLOW;
    case 413:
      return FRN_UNREADABLE_BODY;
    case 431:
      return FRN_UNREADABLE_HEAD;
    default:
      return FRN_UNREADABLE_MALFORMED;
    }
}

static void
on_bad_request (void *arg, struct h1_conn *conn, int status)
{
  struct frn_daemon *daemon = arg;
  (void)conn;
  sta_inc (daemon->metrics.no_route.outcome[FRN_INVALID]);
  sta_inc (daemon->metrics.unreadable[unreadable_as (status)]);
  evt_line (&daemon->log, EVT_NORMAL, "caller", rw_now (),
            "unreadable request: status=%d", status);
}

const struct h1_server_ops frn_caller_ops = {
  .on_request = on_request,
  .on_disconnect = frn_on_caller_gone,
  .on_bad_request = on_bad_request,
  .on_drop = frn_on_drop,
};
