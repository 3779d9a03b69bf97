#include <math.h>
#include <string.h>

#include "frn_account.h"
#include "frn_quarantine.h"
#include "forward.h"
#include "front.h"

/* Marks a subquery; see sbq_write_order.  */
#define ORDER_HEADER "X-Rwf-Subquery"
/* In the answer: how each part ended, see sbq_write_result.  */
#define RESULTS_HEADER "X-Rwf-Results"
/* In the answer: the delay in the queues of each part's targets in
   microseconds, separated by commas.  The sender has no reports of these
   targets.  */
#define DELAYS_HEADER "X-Rwf-Queue-Delays"
/* In the answer: the parts that were not run are held back, see
   lib/quarantine.  */
#define HELD_HEADER "X-Rwf-Held"
#define MAX_DELAY (60 * RW_SEC)
/* A request with a larger sum of headers and body is not delegated.  */
#define MAX_DELEGATED_BYTES 4096
/* Parts go to another data centre than that of their best target if they are
   answered at most this much later there.  */
#define MAX_DETOUR (8 * RW_MSEC)
/* Parts that are held back get their turn again after this time, should they
   not be sent at once.  */
#define COLLECT_TIME (20 * RW_MSEC)
/* A delegate that has stalled is given up this fraction of the aim after the
   time at which an answer to the query is due.  */
#define EXPIRY_DIVISOR 4

/* Whether parts of REQUEST may be delegated at all.  */
static bool
may_delegate (const struct frn_request *request)
{
  return !request->daemon->settings.without[FRN_MECH_SUBQUERIES]
         && request->mode == FRN_MODE_LOCAL && request->order == NULL
         && request->route->kind == CAT_ROUTE_GATHER && !request->is_head
         && request->header_lines.len + request->body.len
                <= MAX_DELEGATED_BYTES;
}

bool
frn_subquery_collect (struct frn_request *request, size_t part,
                      struct ste_target *target, rw_time now)
{
  size_t part_count = request->query.plan.part_count;
  if (target->dc == request->daemon->fleet.settings.dc
      || !may_delegate (request))
    return false;
  if (request->far_parts == NULL)
    {
      request->far_parts = rw_arena_zalloc (&request->arena, part_count,
                                            sizeof *request->far_parts);
      request->far_targets = rw_arena_zalloc (&request->arena, part_count,
                                              sizeof *request->far_targets);
    }
  request->far_parts[request->far_count++]
      = (struct sbq_part){ (uint32_t)part, target->dc };
  request->far_targets[part] = target;
  gat_postpone (&request->query, part, now, COLLECT_TIME);
  return true;
}

/* Returns a delegate in the data centre DC that can be expected to answer in
   time, or null.  */
static struct ste_target *
pick_delegate (struct frn_request *request, uint64_t dc, rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  struct frn_peers *peers = &daemon->peers;
  const struct ste_latency *latency = &request->stats->subquery_latency;
  for (size_t i = 0; i < peers->delegate_dc_count; i++)
    {
      if (peers->delegates[i].dc != (uint32_t)dc)
        continue;
      if (ste_in_doubt (peers->delegates[i].service, now))
        return NULL;
      struct ste_target *target = ste_pick (
          &daemon->fleet, peers->delegates[i].service, latency, NULL, 0, now);
      return target != NULL && now >= target->backoff_until
                     && !ste_stalled (target, now)
                 ? target
                 : NULL;
    }
  return NULL;
}

/* Sends the COUNT parts at PARTS to DELEGATE.  Of several attempts one is kept
   back, to send a part elsewhere if the delegate fails; but not of two, so
   that the delegate can hedge.  */
static void
send_subquery (struct frn_request *request, const struct sbq_part *parts,
               size_t count, struct ste_target *delegate, rw_time now)
{
  struct frn_send *send = rw_arena_zalloc (&request->arena, 1, sizeof *send);
  unsigned int attempts = request->query.plan.max_attempts;
  if (attempts > 2)
    attempts--;
  send->scope = FRN_SCOPE_SUBQUERY;
  send->target = delegate;
  send->u.subquery.count = count;
  send->u.subquery.attempts = attempts;
  send->u.subquery.parts
      = rw_arena_alloc (&request->arena, count * sizeof (uint32_t));
  for (size_t i = 0; i < count; i++)
    {
      send->u.subquery.parts[i] = parts[i].part;
      gat_on_delegated (&request->query, parts[i].part, attempts, now);
    }
  sta_inc (request->daemon->metrics.subqueries);
  frn_send_start (request, send, GAT_SEND_FIRST, now);
}

/* Lets the COUNT parts held back go to few data centres.  */
static void
join_parts (struct frn_request *request, size_t count, rw_time now)
{
  struct sbq_choices choices = { .dc_count = 0 };
  choices.times = rw_arena_alloc (&request->arena,
                                  count * SBQ_MAX_DCS * sizeof (double));
  for (size_t i = 0; i < count; i++)
    ste_times_by_dc (
        &request->daemon->fleet, request->services[request->far_parts[i].part],
        &request->stats->part_latency, choices.dcs, &choices.dc_count,
        SBQ_MAX_DCS, &choices.times[i * SBQ_MAX_DCS], now);
  sbq_join (request->far_parts, count, &choices, (double)MAX_DETOUR,
            rw_hash (request->id));
}

void
frn_subquery_flush (struct frn_request *request, rw_time now)
{
  struct sbq_group groups[FRN_MAX_DELEGATE_DCS];
  size_t count = request->far_count;
  size_t sent = 0;
  if (count == 0)
    return;
  request->far_count = 0;
  join_parts (request, count, now);
  size_t group_count
      = sbq_group (request->far_parts, count, groups, FRN_MAX_DELEGATE_DCS);
  for (size_t i = 0; i < group_count && !request->ended; i++)
    {
      const struct sbq_part *parts = &request->far_parts[groups[i].first];
      struct ste_target *delegate
          = sbq_saves_bytes (&request->stats->sizes, groups[i].count,
                             request->route->u.gather.top, GAT_RECORD_SIZE)
                ? pick_delegate (request, groups[i].dc, now)
                : NULL;
      sent += groups[i].count;
      if (delegate != NULL)
        send_subquery (request, parts, groups[i].count, delegate, now);
      for (size_t j = 0; delegate == NULL && j < groups[i].count; j++)
        if (!request->ended)
          frn_send_first (request, parts[j].part,
                          request->far_targets[parts[j].part], now);
    }
  for (size_t i = sent; i < count && !request->ended; i++)
    frn_send_first (request, request->far_parts[i].part,
                    request->far_targets[request->far_parts[i].part], now);
}

bool
frn_is_subquery_header (struct rw_str name)
{
  return h1_name_eq (name, ORDER_HEADER);
}

/* The number of parts of SEND, a subquery, that may be missing when its answer
   is due: its share of those that the query may lack, rounded up.  */
static unsigned int
spare_parts (const struct frn_send *send)
{
  const struct gat_plan *plan = &send->request->query.plan;
  size_t spare = plan->part_count - plan->min_parts;
  return (unsigned int)((spare * send->u.subquery.count + plan->part_count - 1)
                        / plan->part_count);
}

void
frn_subquery_write_header (const struct frn_send *send, struct rw_buf *out)
{
  const struct frn_request *request = send->request;
  rw_time soft = request->query.plan.soft_deadline - rw_now ();
  struct rw_buf value;
  struct sbq_order order = { .version = request->config->version,
                             .max_attempts = send->u.subquery.attempts,
                             .soft_ms = soft > 0 ? soft / RW_MSEC : 0,
                             .spare = spare_parts (send),
                             .shards = send->u.subquery.parts,
                             .shard_count = send->u.subquery.count };
  rw_buf_init (&value);
  sbq_write_order (&order, &value);
  rw_buf_printf (out, ORDER_HEADER ": %s%.*s\r\n",
                 frn_organisation_mark (request),
                 RW_STR_ARG (rw_buf_str (&value)));
  rw_buf_finish (&value);
}

/* Goes on with the request after one of its subqueries has ended.  */
static void
go_on (struct frn_request *request)
{
  if (request->ended)
    frn_request_release (request);
  else
    frn_request_run (request);
}

/* Records that the parts of SEND have no answer.  */
static void
lose_parts (struct frn_send *send, enum gat_failure failure, rw_time now)
{
  struct gat_query *query = &send->request->query;
  bool may_have_run = failure == GAT_FAIL_UNKNOWN || failure == GAT_FAIL_RAN;
  for (size_t i = 0; i < send->u.subquery.count; i++)
    if (may_have_run)
      gat_on_failure (query, send->u.subquery.parts[i], failure, now, 0);
    else
      gat_on_returned (query, send->u.subquery.parts[i],
                       send->u.subquery.attempts, failure, now);
}

void
frn_subquery_fail (struct frn_send *send, enum gat_failure failure,
                   rw_time now)
{
  lose_parts (send, failure, now);
  go_on (send->request);
}

/* Records how each part of SEND ended, as RESULTS say; BODY is the merged list
   of those that are done.  */
static void
take_results (struct frn_send *send, struct rw_str results, struct rw_str body,
              rw_time now)
{
  struct frn_request *request = send->request;
  struct gat_query *query = &request->query;
  struct rw_str list = rw_arena_str (&request->arena, body);
  for (size_t i = 0; i < send->u.subquery.count; i++)
    {
      size_t part = send->u.subquery.parts[i];
      enum sbq_result result;
      struct rw_str stamp;
      unsigned int given = send->u.subquery.attempts;
      unsigned int used = SBQ_ALL_ATTEMPTS;
      if (!sbq_read_result (&results, &result, &stamp, &used))
        result = SBQ_FAILED;
      switch (result)
        {
        case SBQ_DONE:
          gat_on_delegated_part (query, part,
                                 rw_arena_str (&request->arena, stamp), list);
          list.len = 0;
          break;
        case SBQ_FAILED:
          frn_quarantine_on_loss (request);
          gat_on_delegated_failure (query, part, given,
                                    used != SBQ_ALL_ATTEMPTS ? used : given,
                                    now);
          break;
        case SBQ_NOT_RUN:
          gat_on_returned (query, part, send->u.subquery.attempts,
                           GAT_FAIL_NOT_RUN, now);
          break;
        }
    }
}

/* Records the delays that the delegate of SEND reports in MESSAGE.  */
static void
take_delays (const struct frn_send *send, const struct h1_message *message,
             rw_time now)
{
  struct rw_str text = h1_header_value (message, DELAYS_HEADER);
  for (size_t i = 0; i < send->u.subquery.count; i++)
    {
      int64_t delay;
      if (rw_str_to_int (rw_str_token (&text, ","), 0, MAX_DELAY, &delay) != 0)
        return;
      ste_on_delay_report (send->request->services[send->u.subquery.parts[i]],
                           (double)delay, now);
    }
}

void
frn_subquery_take_reply (struct frn_send *send,
                         const struct h1_message *message)
{
  struct frn_request *request = send->request;
  struct frn_metrics *metrics = &request->daemon->metrics;
  struct rw_str results = h1_header_value (message, RESULTS_HEADER);
  rw_time now = rw_now ();
  if (frn_relay_refused (send, message))
    {
      sta_inc (metrics->send_outcome[FRN_SEND_REFUSED]);
      frn_set_last_error (request, send, "delegate refused");
      lose_parts (send, GAT_FAIL_UNSENT, now);
    }
  else if (message->status == 200 && results.len > 0)
    {
      sta_inc (metrics->send_outcome[FRN_SEND_OK]);
      if (h1_header_value (message, HELD_HEADER).len > 0)
        request->attempt.held = true;
      take_delays (send, message, now);
      take_results (send, results, message->body, now);
    }
  else
    {
      sta_inc (metrics->send_outcome[FRN_SEND_BROKEN]);
      frn_set_last_error (request, send, "delegate failed");
      lose_parts (send, GAT_FAIL_UNKNOWN, now);
    }
  go_on (request);
}

/* When the subqueries of REQUEST are overdue.  */
static rw_time
overdue_at (const struct frn_request *request)
{
  return request->query.plan.soft_deadline
         + request->route->aim / EXPIRY_DIVISOR;
}

static bool
is_open (const struct frn_send *send)
{
  return send->scope == FRN_SCOPE_SUBQUERY && send->state == FRN_SEND_SENT;
}

void
frn_subquery_expire (struct frn_request *request, rw_time now)
{
  if (now < overdue_at (request))
    return;
  for (struct frn_send *s = request->sends; s != NULL; s = s->next)
    if (is_open (s) && ste_stalled (s->target, now))
      {
        frn_set_last_error (request, s, "delegate stalled");
        frn_send_abandon (s);
        lose_parts (s, GAT_FAIL_UNKNOWN, now);
      }
}

rw_time
frn_subquery_expiry (const struct frn_request *request, rw_time now)
{
  rw_time overdue = overdue_at (request);
  for (const struct frn_send *s = request->sends; s != NULL; s = s->next)
    if (is_open (s))
      return now < overdue ? overdue
                           : now + request->route->aim / EXPIRY_DIVISOR;
  return RW_TIME_NEVER;
}

/* Returns the route that ORDER is for, or null if it does not fit, or if the
   route needs an organisation and ORGANISATION is null.  */
static struct cat_route *
route_of (const struct frn_daemon *daemon, const struct h1_message *message,
          const struct sbq_order *order,
          const struct org_organisation *organisation)
{
  struct cat_route *route = frn_find_route (daemon, message);
  if (route == NULL || route->kind != CAT_ROUTE_GATHER
      || order->shards[order->shard_count - 1] >= route->u.gather.count)
    return NULL;
  if (organisation == NULL && !route->is_public
      && daemon->config->organisations.count > 0)
    return NULL;
  return route;
}

bool
frn_subquery_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                    const struct h1_message *message)
{
  struct rw_str text = h1_header_value (message, ORDER_HEADER);
  struct rw_arena arena;
  struct sbq_order order;
  struct plt_request head;
  struct frn_arrival arrival = { .conn = conn,
                                 .message = message,
                                 .head = &head,
                                 .order = &order,
                                 .start = rw_now (),
                                 .relayed = true,
                                 .checked_by_peer = true };
  if (text.len == 0)
    return false;
  rw_arena_init (&arena, 1024);
  plt_read_request (message, &head);
  (void)frn_take_organisation_mark (&text);
  if (sbq_read_order (text, &arena, &order) == 0 && head.id.len > 0
      && frn_serves_peers (daemon, order.version))
    {
      arrival.organisation = frn_relay_organisation (daemon, message);
      arrival.route = route_of (daemon, message, &order, arrival.organisation);
    }
  if (arrival.route == NULL)
    frn_refuse_peer (daemon, conn);
  else if (frn_account_admit (daemon, conn, &head, true))
    {
      sta_inc (daemon->metrics.subqueries_served);
      frn_request_begin (daemon, &arrival);
    }
  rw_arena_finish (&arena);
  return true;
}

/* How PART of a subquery ended.  */
static enum sbq_result
result_of (const struct gat_part *part)
{
  if (part->state == GAT_PART_DONE)
    return SBQ_DONE;
  return part->attempts == 0 ? SBQ_NOT_RUN : SBQ_FAILED;
}

static void
write_delays (const struct frn_request *request, struct rw_buf *headers)
{
  rw_time now = rw_now ();
  rw_buf_printf (headers, DELAYS_HEADER ": ");
  for (size_t i = 0; i < request->query.plan.part_count; i++)
    rw_buf_printf (
        headers, "%s%lld", i > 0 ? "," : "",
        (long long)fmin (ste_own_queue_delay (&request->daemon->fleet,
                                              request->services[i], now),
                         MAX_DELAY));
  rw_buf_printf (headers, "\r\n");
}

void
frn_subquery_answer (struct frn_request *request)
{
  struct gat_query *query = &request->query;
  struct rw_buf results;
  struct rw_buf headers;
  rw_buf_init (&results);
  rw_buf_init (&headers);
  for (size_t i = 0; i < query->plan.part_count; i++)
    if (!sbq_write_result (&results, result_of (&query->parts[i]),
                           query->parts[i].stamp, query->parts[i].attempts))
      query->parts[i].body.len = 0;
  rw_buf_printf (&headers, RESULTS_HEADER ": %.*s\r\n",
                 RW_STR_ARG (rw_buf_str (&results)));
  if (request->attempt.held)
    rw_buf_printf (&headers, HELD_HEADER ": 1\r\n");
  write_delays (request, &headers);
  frn_answer_merged (request, rw_buf_str (&headers));
  rw_buf_finish (&results);
  rw_buf_finish (&headers);
}
