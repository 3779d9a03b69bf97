#include <string.h>

#include "forward.h"
#include "frn_feasible.h"
#include "frn_quota.h"

/* Retry-After of a request that no target accepted: by then the targets have
   finished a few queued parts.  */
#define RETRY_AFTER_BUSY (50 * RW_MSEC)

const char *
frn_outcome_name (enum frn_outcome outcome)
{
  switch (outcome)
    {
    case FRN_WHOLE:
      return "whole";
    case FRN_PARTIAL:
      return "partial";
    case FRN_PASSED:
      return "passed";
    case FRN_REFUSED:
      return "refused";
    case FRN_FAILED:
      return "failed";
    case FRN_GONE:
      return "gone";
    case FRN_NO_ROUTE:
      return "no-route";
    case FRN_NO_KEY:
      return "no-key";
    case FRN_INVALID:
      return "invalid";
    case FRN_OUTCOME_COUNT:
      break;
    }
  return "unknown";
}

/* Writes log fields for a refusal because of overload to BUF, and returns
   it.  */
static const char *
describe_overload (const struct frn_request *request, char *buf, size_t size)
{
  static const struct shd_route none;
  const struct shd_route *shed = request->shed != NULL ? request->shed : &none;
  snprintf (buf, size,
            " share=%.2f delay_ms=%.0f target_delay_ms=%.0f retry_ms=%lld",
            shed->share, shed->delay / RW_MSEC, shed->target / RW_MSEC,
            (long long)(request->retry_after / RW_MSEC));
  return buf;
}

/* Writes log fields for the first missing part to BUF: its service, the target
   of its last send and the state of that send, the number of this daemon's
   sends in flight to the target, and the queue length that the target
   reported.  Returns BUF, which is empty if no part is missing or the request
   is at a peer.  */
static const char *
describe_missing_part (const struct frn_request *request, char *buf,
                       size_t size)
{
  const struct gat_query *query = &request->query;
  const struct frn_send *send = NULL;
  size_t i = 0;
  buf[0] = '\0';
  if (request->mode == FRN_MODE_RELAY || query->done == query->plan.part_count)
    return buf;
  while (query->parts[i].state == GAT_PART_DONE)
    i++;
  for (const struct frn_send *s = request->sends; s != NULL; s = s->next)
    if (s->scope != FRN_SCOPE_QUERY && frn_send_has_part (s, i)
        && (send == NULL || s->steer.sent_at > send->steer.sent_at))
      send = s;
  if (send == NULL)
    snprintf (buf, size, " missing=%s sent=no", request->services[i]->name);
  else
    snprintf (buf, size,
              " missing=%s target=%s state=%s running=%u queued=%.0f "
              "sent_ms_ago=%lld",
              request->services[i]->name, send->target->id,
              send->state == FRN_SEND_QUEUED
                  ? "no-link"
                  : (send->state == FRN_SEND_SENT ? "waiting" : "ended"),
              send->target->in_flight, send->target->queue_len,
              (long long)((rw_now () - send->steer.sent_at) / RW_MSEC));
  return buf;
}

/* Every request that was not answered completely within its aim gets a line;
   the others are sampled.  */
void
frn_log_outcome (struct frn_request *request, enum frn_outcome outcome,
                 int status)
{
  struct frn_daemon *daemon = request->daemon;
  rw_time now = rw_now ();
  rw_time latency = now - request->start;
  bool complete = outcome == FRN_WHOLE || outcome == FRN_PASSED;
  bool overload = outcome == FRN_REFUSED && request->query.sends == 0
                  && request->shed != NULL;
  char details[512];
  char organisation[ORG_MAX_NAME_BYTES + 16] = "";
  char forecast[64] = "";

  if (frn_is_infeasible (request))
    {
      sta_inc (daemon->metrics.infeasible);
      snprintf (forecast, sizeof forecast, " possible=%zu needed=%zu",
                request->query.possible, request->query.plan.min_parts);
    }
  if (request->organisation != NULL)
    snprintf (organisation, sizeof organisation, " organisation=%s",
              evt_value (request->organisation->name).text);
  if (request->order == NULL)
    {
      struct frn_route_metrics *metrics = frn_metrics_for_route (
          &daemon->metrics, request->stats, request->route->name);
      sta_inc (metrics->outcome[outcome]);
      sta_observe (metrics->latency, latency);
    }
  evt_line (
      &daemon->log,
      complete && latency < request->route->aim ? EVT_SAMPLED : EVT_NORMAL,
      request->order == NULL ? "request" : "subquery", now,
      "%s: id=%s route=%s%s key=%016llx status=%d ms=%lld aim_ms=%lld "
      "left_ms=%lld "
      "spent_ms=%lld parts=%zu/%zu "
      "lost=%zu sends=%zu denied=%u%s%s error=\"%s\" at=%s version=%llu "
      "age_ms=%lld",
      frn_outcome_name (outcome), evt_value (request->id).text,
      evt_value (request->route->name).text, organisation,
      (unsigned long long)request->key, status, (long long)(latency / RW_MSEC),
      (long long)(request->route->aim / RW_MSEC),
      (long long)request->time_left_ms,
      (long long)(request->time_spent / RW_MSEC), request->query.done,
      request->query.plan.part_count, request->query.lost,
      request->query.sends, request->denied_sends, forecast,
      overload ? describe_overload (request, details, sizeof details)
               : describe_missing_part (request, details, sizeof details),
      request->last_error != NULL ? request->last_error : "",
      request->last_target, (unsigned long long)request->config->version,
      (long long)((now - daemon->config_since) / RW_MSEC));
  frn_spans_write (request, complete && latency < request->route->aim);
}

void
frn_answer_refusal (struct h1_conn *conn, int status, rw_time retry_after)
{
  char header[64] = "";
  struct h1_reply reply = { .status = status };
  if (retry_after >= 0)
    snprintf (header, sizeof header, "Retry-After: %.3f\r\n",
              (double)retry_after / RW_SEC);
  reply.headers = rw_str_from (header);
  h1_conn_reply (conn, &reply);
}

void
frn_refuse_request (struct frn_request *request, enum frn_refusal reason,
                    rw_time retry_after)
{
  int status = reason == FRN_REFUSE_QUOTA ? 429 : 503;
  request->retry_after = retry_after;
  frn_quota_give_back (request);
  frn_log_outcome (request, FRN_REFUSED, status);
  sta_inc (request->daemon->metrics.refusal[reason]);
  /* A peer can send it elsewhere.  */
  if (reason == FRN_REFUSE_STOPPING && request->relayed)
    frn_refuse_peer (request->daemon, request->conn);
  else
    frn_answer_refusal (request->conn, status, retry_after);
}

void
frn_answer_merged (struct frn_request *request, struct rw_str headers)
{
  const struct gat_query *query = &request->query;
  struct h1_reply reply = { .status = 200, .headers = headers };
  reply.body
      = gat_merge (query, request->route->u.gather.top, &request->arena);
  frn_log_outcome (
      request, query->done == query->plan.part_count ? FRN_WHOLE : FRN_PARTIAL,
      reply.status);
  h1_conn_reply (request->conn, &reply);
}

/* Answers with the merged records of the parts that arrived, and headers with
   their stamps and the number of missing parts.  */
static void
answer_gather (struct frn_request *request)
{
  const struct gat_query *query = &request->query;
  struct rw_buf stamps;
  struct rw_buf headers;

  rw_buf_init (&stamps);
  rw_buf_init (&headers);
  for (size_t i = 0; i < query->plan.part_count; i++)
    {
      if (query->parts[i].state != GAT_PART_DONE)
        continue;
      if (stamps.len > 0)
        rw_buf_append (&stamps, ", ", 2);
      rw_buf_append_str (&stamps, query->parts[i].stamp);
    }
  plt_write_parts (&headers, rw_buf_str (&stamps),
                   query->plan.part_count - query->done);
  frn_answer_merged (request, rw_buf_str (&headers));
  rw_buf_finish (&stamps);
  rw_buf_finish (&headers);
}

/* Whether a target may have run a part of the request.  A queued send counts
   as in flight and as an attempt, but has not run.  A refused send does not
   count as an attempt.  A part with more attempts than sends in flight may
   therefore have run.  */
static bool
may_have_run (const struct frn_request *request)
{
  for (const struct frn_send *s = request->sends; s != NULL; s = s->next)
    if (s->state == FRN_SEND_SENT)
      return true;
  for (size_t i = 0; i < request->query.plan.part_count; i++)
    {
      const struct gat_part *p = &request->query.parts[i];
      if (p->state == GAT_PART_DONE || p->attempts > p->in_flight)
        return true;
    }
  return false;
}

/* Answers a request that failed: with the failure that the target replied, or
   else 503 if it did not run, 504 after the deadline or if a send was not
   answered until the request was given up, or 502.  */
static void
answer_failure (struct frn_request *request)
{
  bool timed_out = rw_now () >= request->query.plan.deadline
                   || frn_gave_up_waiting (request);
  if (request->has_target_reply)
    {
      frn_log_outcome (request, FRN_FAILED, request->target_reply.status);
      h1_conn_reply (request->conn, &request->target_reply);
      return;
    }
  if (!may_have_run (request))
    {
      frn_refuse_request (
          request, request->stopped ? FRN_REFUSE_STOPPING : FRN_REFUSE_BUSY,
          frn_return_time (request, RETRY_AFTER_BUSY, rw_now ()));
      return;
    }
  frn_log_outcome (request, FRN_FAILED, timed_out ? 504 : 502);
  struct h1_reply reply = { .status = timed_out ? 504 : 502 };
  h1_conn_reply (request->conn, &reply);
}

void
frn_answer_query (struct frn_request *request, bool success)
{
  request->ended = true;
  if (request->order != NULL)
    frn_subquery_answer (request);
  else if (!success)
    answer_failure (request);
  else if (request->route->kind == CAT_ROUTE_GATHER
           && request->mode == FRN_MODE_LOCAL)
    answer_gather (request);
  else
    {
      int status = request->target_reply.status;
      if (status == 503)
        frn_quota_give_back (request);
      frn_log_outcome (request, status == 503 ? FRN_REFUSED : FRN_PASSED,
                       status);
      h1_conn_reply (request->conn, &request->target_reply);
    }
}
