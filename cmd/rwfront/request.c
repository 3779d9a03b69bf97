#include <stdlib.h>
#include <string.h>

#include "frn_account.h"
#include "frn_feasible.h"
#include "frn_quarantine.h"
#include "frn_quota.h"
#include "forward.h"
#include "front.h"

#define ARENA_BLOCK 8192
/* The answer is sent this long before the caller's deadline, for its way to
   the caller and for timers that fire late.  */
#define DEADLINE_MARGIN (15 * RW_MSEC)
/* After the answer, sends in flight may still end by themselves for this long:
   longer than a pause of a target, shorter than the 500 ms after which a
   target should not work for a caller that disconnected.  */
#define LINGER_TIME (300 * RW_MSEC)
/* A part that a target refused is sent again after this time.  */
#define REFUSED_BACKOFF (1 * RW_MSEC)
/* Aims after which a relay fails if the peer has stopped answering.  */
#define RELAY_TIMEOUT_AIMS 3
/* Retry-After of a refusal for lack of targets.  Short, as another daemon may
   be able to serve the request at once.  */
#define RETRY_AFTER_NO_TARGET (200 * RW_MSEC)

static void start_local (struct frn_request *request);

static void
append_header (struct rw_buf *out, const struct h1_header *header)
{
  rw_buf_append_str (out, header->name);
  rw_buf_append (out, ": ", 2);
  rw_buf_append_str (out, header->value);
  rw_buf_append (out, "\r\n", 2);
}

/* Whether the configuration of REQUEST says who callers are.  */
static bool
has_organisations (const struct frn_request *request)
{
  return request->config->organisations.count > 0;
}

/* Who asks: the organisation, or else the credentials.  A key of an
   organisation is no part of it, as peers and logs get the result.  */
static struct rw_str
caller_of (const struct frn_request *request, const struct h1_message *message)
{
  if (request->organisation != NULL)
    return request->organisation->name;
  if (has_organisations (request))
    return (struct rw_str){ NULL, 0 };
  return h1_header_value (message, "Authorization");
}

/* The key of REQUEST, which is MESSAGE: a hash of the method, host, path,
   query, caller and body.  */
static uint64_t
key_of (const struct frn_request *request, const struct h1_message *message)
{
  const struct rw_str fields[]
      = { request->method, h1_header_value (message, "Host"),
          caller_of (request, message), request->path_query, request->body };
  uint64_t key = 0;
  for (size_t i = 0; i < RW_ARRAY_LEN (fields); i++)
    key = rw_hash_u64 (key, rw_hash (fields[i]));
  return key;
}

/* Copies what is forwarded of MESSAGE: all but the headers that concern one
   connection or that this tier sets itself.  */
static void
copy_message (struct frn_request *request, const struct h1_message *message,
              struct rw_str id)
{
  struct rw_buf lines;
  request->id = rw_arena_str (&request->arena, id);
  request->method = rw_str_from (http_method_str (message->method));
  request->is_head = message->method == HTTP_HEAD;
  request->path_query = rw_arena_str (&request->arena, message->target);
  request->body_blob
      = h1_message_share_body (message, &request->daemon->account);
  request->body = request->body_blob != NULL
                      ? message->body
                      : rw_arena_str (&request->arena, message->body);
  request->key = key_of (request, message);
  rw_buf_init (&lines);
  for (size_t i = 0; i < message->header_count; i++)
    {
      struct rw_str name = message->headers[i].name;
      if (!h1_is_hop_by_hop (message, name) && !plt_sets_header (name)
          && !h1_name_eq (name, "Content-Length")
          && !frn_is_relay_header (name) && !frn_is_subquery_header (name)
          && !(has_organisations (request) && plt_names_caller (name)))
        append_header (&lines, &message->headers[i]);
    }
  request->header_lines = rw_arena_str (&request->arena, rw_buf_str (&lines));
  rw_buf_finish (&lines);
}

/* POST and PUT need a Content-Length without a body too.  */
static bool
needs_content_length (const struct frn_request *request)
{
  return request->body.len > 0 || rw_str_eq_cstr (request->method, "POST")
         || rw_str_eq_cstr (request->method, "PUT");
}

void
frn_request_write (const struct frn_send *send, struct rw_buf *out)
{
  const struct frn_request *request = send->request;
  rw_time stop = stp_answer_time (&request->daemon->stop) - DEADLINE_MARGIN;
  rw_time end
      = stop < request->caller_deadline ? stop : request->caller_deadline;
  rw_time left = end - rw_now ();
  rw_buf_printf (out, "%.*s %.*s HTTP/1.1\r\n", RW_STR_ARG (request->method),
                 RW_STR_ARG (request->path_query));
  rw_buf_append_str (out, request->header_lines);
  plt_write_time_left (out, left > 0 ? left / RW_MSEC : 0);
  switch (send->scope)
    {
    case FRN_SCOPE_PART:
      plt_write_expected_target (out, send->target->id);
      if (request->organisation != NULL)
        plt_write_organisation (out, request->organisation->name);
      break;
    case FRN_SCOPE_SUBQUERY:
      frn_subquery_write_header (send, out);
      frn_relay_write_organisation (request, out);
      break;
    case FRN_SCOPE_QUERY:
      frn_relay_write_header (send, out);
      frn_relay_write_organisation (request, out);
      break;
    }
  if (needs_content_length (request))
    rw_buf_printf (out, "Content-Length: %zu\r\n", request->body.len);
  rw_buf_append (out, "\r\n", 2);
}

/* Frees the request: the last handle of it is closed.  */
static void
on_timer_closed (uv_handle_t *handle)
{
  struct frn_request *request = handle->data;
  for (struct frn_send *s = request->sends; s != NULL; s = s->next)
    s->target->refs--;
  request->daemon->request_count--;
  frn_account_forget (request);
  cat_config_unref (request->config);
  rw_arena_finish (&request->arena);
  free (request);
}

bool
frn_has_open_sends (const struct frn_request *request)
{
  for (const struct frn_send *s = request->sends; s != NULL; s = s->next)
    if (s->state != FRN_SEND_ENDED)
      return true;
  return false;
}

void
frn_request_release (struct frn_request *request)
{
  if (!request->ended || request->closing || frn_has_open_sends (request))
    return;
  request->closing = true;
  uv_close ((uv_handle_t *)&request->timer, on_timer_closed);
}

/* Runs the request, or abandons its last sends when the linger time after its
   end is over.  */
static void
on_timer (uv_timer_t *timer)
{
  struct frn_request *request = timer->data;
  if (request->awaits_trial)
    frn_quarantine_give_up (request);
  else if (!request->ended)
    frn_request_run (request);
  else
    {
      frn_abandon_sends (request);
      frn_request_release (request);
    }
}

void
frn_request_end (struct frn_request *request)
{
  request->ended = true;
  request->conn = NULL;
  frn_quarantine_forget (request);
  frn_quota_forget (request);
  frn_abandon_if_cheaper (request, FRN_ALL_PARTS);
  uv_timer_start (&request->timer, on_timer, LINGER_TIME / RW_MSEC, 0);
  frn_request_release (request);
}

void
frn_request_stop (struct frn_request *request)
{
  struct gat_query *query = &request->query;
  bool is_enough = query->done > 0 && query->done >= query->plan.min_parts;
  query->plan.deadline = rw_now ();
  request->stopped = true;
  request->last_error = "daemon is stopping";
  frn_answer_query (request, is_enough);
  frn_request_end (request);
}

/* Tells the peer that relayed the request that this daemon still works on it,
   when its aim is over and again each further aim: else the peer would take a
   slow query for a daemon that does not answer.  */
static void
show_progress (struct frn_request *request, rw_time now)
{
  if (!request->relayed || now < request->next_interim)
    return;
  h1_conn_interim (request->conn, 102);
  request->next_interim = now + request->route->aim;
}

/* Sets the timer to the next time at which the query needs a decision.  */
static void
arm_timer (struct frn_request *request, rw_time now)
{
  rw_time next = gat_next_event (&request->query, now);
  if (request->relayed && request->next_interim < next)
    next = request->next_interim;
  rw_time expiry = frn_subquery_expiry (request, now);
  if (expiry < next)
    next = expiry;
  /* Rounded up to ms, so that the timer does not fire early.  */
  uint64_t ms = (uint64_t)((next - now + RW_MSEC - 1) / RW_MSEC);
  uv_timer_start (&request->timer, on_timer, ms, 0);
}

void
frn_request_wait (struct frn_request *request, uint64_t time_ms)
{
  uv_timer_start (&request->timer, on_timer, time_ms, 0);
}

/* When a relay that had no reply is to be given up, seen at NOW.  */
static rw_time
relay_deadline (const struct frn_request *request, rw_time now)
{
  rw_time deadline = now + request->route->aim * RELAY_TIMEOUT_AIMS;
  return deadline < request->deadline ? deadline : request->deadline;
}

/* Called when a relay has had no reply for RELAY_TIMEOUT_AIMS.  Extends the
   wait by as long again if the peer is not stalled, that is, if it still
   answers other relays or shows progress.  Returns whether it did.  */
static bool
extend_relay_deadline (struct frn_request *request, rw_time now)
{
  if (request->mode != FRN_MODE_RELAY || request->query.unfinished == 0
      || now >= request->deadline)
    return false;
  for (const struct frn_send *s = request->sends; s != NULL; s = s->next)
    if (s->state == FRN_SEND_SENT && !ste_stalled (s->target, now))
      {
        request->query.plan.deadline = relay_deadline (request, now);
        return true;
      }
  return false;
}

void
frn_request_run (struct frn_request *request)
{
  rw_time now = rw_now ();
  size_t position = 0;
  size_t part;
  enum gat_send_kind kind;

  frn_account_count (request);
  frn_subquery_expire (request, now);
  frn_feasible_update (request, now);
  enum gat_decision decision = gat_decide (&request->query, now);
  while (decision == GAT_WAIT
         && gat_next_send (&request->query, now, &position, &part, &kind))
    {
      frn_try_part (request, part, kind, now);
      if (request->ended)
        return;
      decision = gat_decide (&request->query, now);
    }
  frn_subquery_flush (request, now);
  if (request->ended)
    return;
  decision = gat_decide (&request->query, now);
  if (decision == GAT_WAIT)
    {
      show_progress (request, now);
      arm_timer (request, now);
      return;
    }
  if (decision == GAT_GIVE_UP && extend_relay_deadline (request, now))
    {
      arm_timer (request, now);
      return;
    }
  if (decision == GAT_ANSWER && request->query.unfinished > 0)
    gat_count_lateness (&request->daemon->lateness,
                        request->query.plan.soft_deadline, now);
  frn_answer_query (request, decision == GAT_ANSWER);
  frn_request_end (request);
}

/* Keeps the reply of a single target or of a peer for the caller: a success,
   or a failure that is forwarded if no later attempt succeeds.  */
static void
keep_target_reply (struct frn_request *request,
                   const struct h1_message *message)
{
  struct rw_buf lines;
  rw_buf_init (&lines);
  for (size_t i = 0; i < message->header_count; i++)
    if (!h1_is_hop_by_hop (message, message->headers[i].name)
        && !h1_name_eq (message->headers[i].name, "Content-Length"))
      append_header (&lines, &message->headers[i]);
  request->target_reply.status = message->status;
  request->target_reply.headers
      = rw_arena_str (&request->arena, rw_buf_str (&lines));
  acc_blob_unref (request->target_reply.blob);
  request->target_reply.blob
      = h1_message_share_body (message, &request->daemon->account);
  request->target_reply.body
      = request->target_reply.blob != NULL
            ? message->body
            : rw_arena_str (&request->arena, message->body);
  request->has_target_reply = true;
  rw_buf_finish (&lines);
}

void
frn_set_last_error (struct frn_request *request, const struct frn_send *send,
                    const char *reason)
{
  request->last_error = reason;
  rw_str_copy (request->last_target, sizeof request->last_target,
               rw_str_from (send->target->id));
}

/* Records the failure of a send of PART and goes on with the request.  A relay
   that the peer certainly did not begin is replaced by local sends.  */
static void
handle_failure (struct frn_request *request, size_t part,
                enum gat_failure failure)
{
  bool may_have_run = failure == GAT_FAIL_UNKNOWN || failure == GAT_FAIL_RAN;
  gat_on_failure (&request->query, part, failure, rw_now (),
                  may_have_run ? 0 : REFUSED_BACKOFF);
  if (request->ended)
    frn_request_release (request);
  else if (request->mode == FRN_MODE_RELAY && !may_have_run
           && !frn_may_relay_again (request, rw_now ()))
    start_local (request);
  else
    frn_request_run (request);
}

void
frn_on_send_failed (struct frn_send *send, enum gat_failure failure,
                    const char *reason)
{
  struct frn_request *request = send->request;
  sta_inc (request->daemon->metrics.send_outcome[FRN_SEND_BROKEN]);
  frn_set_last_error (request, send, reason);
  if (send->scope == FRN_SCOPE_SUBQUERY)
    frn_subquery_fail (send, failure, rw_now ());
  else
    handle_failure (request, send->u.part, failure);
}

/* Takes the reply of a larger peer.  It is final, also if the peer refused the
   request for the whole fleet, as for an overload; but not if only that peer
   did not take it.  */
static void
take_relay_reply (struct frn_send *send, const struct h1_message *message)
{
  struct frn_request *request = send->request;
  /* No error, but the log line names the peer.  */
  frn_set_last_error (request, send, "");
  if (request->ended)
    {
      frn_request_release (request);
      return;
    }
  if (frn_relay_refused (send, message))
    {
      frn_set_last_error (request, send, "peer refused");
      handle_failure (request, send->u.part, GAT_FAIL_NOT_RUN);
      return;
    }
  keep_target_reply (request, message);
  gat_on_part (&request->query, 0, (struct rw_str){ NULL, 0 },
               (struct rw_str){ NULL, 0 });
  frn_request_run (request);
}

void
frn_on_send_reply (struct frn_send *send, const struct h1_message *message,
                   const struct plt_reply *reply)
{
  struct frn_request *request = send->request;
  struct frn_metrics *metrics = &request->daemon->metrics;
  bool is_gather = request->route->kind == CAT_ROUTE_GATHER;
  bool success = message->status >= 200 && message->status < 300;

  switch (send->scope)
    {
    case FRN_SCOPE_PART:
      break;
    case FRN_SCOPE_SUBQUERY:
      frn_subquery_take_reply (send, message);
      return;
    case FRN_SCOPE_QUERY:
      take_relay_reply (send, message);
      return;
    }
  if (reply->not_run)
    {
      sta_inc (metrics->send_outcome[FRN_SEND_REFUSED]);
      frn_set_last_error (request, send, "target refused");
      handle_failure (request, send->u.part, GAT_FAIL_NOT_RUN);
      return;
    }
  if (!success && (is_gather || message->status >= 500 || reply->is_unfounded))
    {
      sta_inc (metrics->send_outcome[FRN_SEND_BROKEN]);
      frn_set_last_error (request, send, "target failed");
      if (!is_gather && !request->ended && !reply->is_unfounded)
        keep_target_reply (request, message);
      handle_failure (request, send->u.part, GAT_FAIL_RAN);
      return;
    }
  sta_inc (metrics->send_outcome[FRN_SEND_OK]);
  frn_quarantine_on_done (request, send->target);
  if (is_gather)
    sbq_count_part (&request->stats->sizes, message->body.len);
  if (request->ended)
    {
      frn_request_release (request);
      return;
    }
  if (!is_gather)
    keep_target_reply (request, message);
  gat_on_part (&request->query, send->u.part,
               rw_arena_str (&request->arena, reply->stamp),
               is_gather ? rw_arena_str (&request->arena, message->body)
                         : (struct rw_str){ NULL, 0 });
  frn_abandon_if_cheaper (request, send->u.part);
  frn_request_run (request);
}

static void
init_query (struct frn_request *request, const struct gat_plan *plan)
{
  gat_init (&request->query, &request->arena, plan, rw_now ());
  request->tried = rw_arena_zalloc (&request->arena,
                                    plan->part_count * gat_max_sends (plan),
                                    sizeof (struct ste_target *));
  frn_account_count (request);
}

void
frn_request_admit (struct frn_request *request)
{
  rw_time now = rw_now ();
  if (request->order != NULL)
    {
      frn_request_run (request);
      return;
    }
  if (frn_time_until_servable (request, now) != 0
      || !rch_can_send (&request->daemon->reach.state, now))
    request->last_error = "no target";
  else if (!frn_feasible_admit (request, now))
    request->last_error = "too few shards";
  else
    {
      /* Targets that all failed count as queues without end, so a probe would
         be refused for overload.  */
      if (request->query.is_probe || frn_overload_admit (request))
        frn_request_run (request);
      return;
    }
  frn_refuse_request (request, FRN_REFUSE_NO_TARGET,
                      frn_return_time (request, RETRY_AFTER_NO_TARGET, now));
  frn_request_end (request);
}

/* Sends the parts from this daemon, or refuses the request.  */
static void
start_local (struct frn_request *request)
{
  struct gat_plan plan = frn_make_plan (request);
  request->mode = FRN_MODE_LOCAL;
  init_query (request, &plan);
  frn_bind_services (request);
  if (frn_quarantine_admit (request))
    frn_request_admit (request);
}

/* Forwards the request to a larger peer, as one part with a single attempt.
   After a failure this daemon sends the parts itself only if the peer
   certainly did not begin the request; otherwise a part could run more often
   than the route's max_attempts.  */
static void
start_relay (struct frn_request *request)
{
  struct gat_plan plan
      = { .part_count = 1, .min_parts = 1, .max_attempts = 1 };
  plan.deadline = relay_deadline (request, request->start);
  plan.soft_deadline = plan.deadline;
  request->mode = FRN_MODE_RELAY;
  init_query (request, &plan);
  request->fell_back = request->daemon->reach.state.cut_off;
  request->services = frn_relay_peers (request);
  frn_request_run (request);
}

void
frn_request_start (struct frn_request *request)
{
  if (frn_should_relay (request->daemon, request, rw_now ()))
    start_relay (request);
  else
    start_local (request);
}

/* Copies ORDER into the arena of REQUEST.  */
static void
copy_order (struct frn_request *request, const struct sbq_order *order)
{
  request->order
      = rw_arena_zalloc (&request->arena, 1, sizeof *request->order);
  *request->order = *order;
  request->order->shards = rw_arena_alloc (
      &request->arena, order->shard_count * sizeof *order->shards);
  memcpy (request->order->shards, order->shards,
          order->shard_count * sizeof *order->shards);
}

void
frn_request_begin (struct frn_daemon *daemon,
                   const struct frn_arrival *arrival)
{
  struct frn_request *request = rw_xcalloc (1, sizeof *request);
  const struct plt_request *head = arrival->head;
  struct cat_route *route = arrival->route;
  rw_time start = arrival->start;
  rw_time limit = route->timeout;

  if (head->time_left_ms >= 0 && head->time_left_ms * RW_MSEC < limit)
    limit = head->time_left_ms * RW_MSEC;
  request->daemon = daemon;
  request->conn = arrival->conn;
  request->relayed = arrival->relayed;
  request->time_left_ms = head->time_left_ms;
  request->retry_after = -1;
  request->config = cat_config_ref (daemon->config);
  request->organisation = arrival->organisation;
  request->checked_by_peer = arrival->checked_by_peer;
  request->route = route;
  request->stats = frn_route_stats_of (daemon, route);
  request->start = start;
  request->caller_deadline = start + limit;
  request->next_interim = start + route->aim;
  request->deadline = start + limit - DEADLINE_MARGIN;
  rw_arena_init (&request->arena, ARENA_BLOCK);
  request->time_spent = frn_time_spent (request, arrival->message);
  copy_message (request, arrival->message, head->id);
  if (arrival->order != NULL)
    copy_order (request, arrival->order);
  uv_timer_init (daemon->loop, &request->timer);
  request->timer.data = request;
  daemon->request_count++;
  h1_conn_set_data (arrival->conn, request);
  frn_account_count (request);
  if (frn_quota_admit (request))
    frn_request_start (request);
}
