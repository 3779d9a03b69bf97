#include <stdlib.h>
#include <string.h>

#include "frn_quarantine.h"

/* News are collected for this time before they are sent.  */
#define PUSH_DELAY_MS 5
/* Time between two rounds if not all news fitted into the first, as when a
   whole data centre is lost.  */
#define BACKLOG_DELAY_MS 50
/* Peers that get each news, and messages of one round.  */
#define PUSH_FANOUT 5
#define PUSH_MESSAGES 4
/* How long a request waits for the grant of a trial: a few round trips between
   data centres.  */
#define GRANT_TIMEOUT_MS 60
/* Retry-After of a request that is held back: nothing that a caller can wait
   for changes it.  */
#define RETRY_AFTER_HELD (30 * RW_SEC)
/* While the loop lags by more than this, messages may have waited in the
   socket, and the ages in them are wrong.  */
#define MAX_LAG (200 * RW_MSEC)
/* The admin port's path of the list, and of an order: the key follows, then
   the name of the order.  */
#define LIST_PATH "/held"
#define ORDER_PREFIX "/held/"

/* Shards of an index run the same software, whatever the shard.  */
static uint32_t
software_of (const struct ste_target *target)
{
  const struct ste_service *service = target->service;
  return service->is_shard
             ? target->version
             : (uint32_t)rw_hash_u64 (service->key, target->version);
}

static void
on_push_timer (uv_timer_t *timer)
{
  struct frn_daemon *daemon = timer->data;
  struct qua_table *table = &daemon->quarantine.table;
  struct gos_message message = { .count = 0 };
  char evidence[GOS_MAX_DATAGRAM];
  uint32_t to[PUSH_FANOUT];
  rw_time now = rw_now ();
  bool repeats = qua_repeat (table, now);
  for (size_t i = 0; i < PUSH_MESSAGES && table->has_news; i++)
    {
      size_t len = qua_write_news (table, evidence,
                                   gos_evidence_space (&message), now);
      size_t count = gos_pick_members (&daemon->peers.gossip, now, to,
                                       RW_ARRAY_LEN (to));
      for (size_t j = 0; j < count && len > 0; j++)
        frn_peers_send_evidence (daemon, to[j],
                                 (struct rw_str){ evidence, len }, now);
    }
  if (repeats)
    uv_timer_start (timer, on_push_timer, QUA_REPEAT_INTERVAL / RW_MSEC, 0);
  else if (table->has_news)
    uv_timer_start (timer, on_push_timer, BACKLOG_DELAY_MS, 0);
}

/* Lets news go out soon.  */
static void
push_news (struct frn_daemon *daemon)
{
  struct frn_quarantine *q = &daemon->quarantine;
  if (q->table.has_news && !uv_is_active ((uv_handle_t *)&q->push_timer))
    uv_timer_start (&q->push_timer, on_push_timer, PUSH_DELAY_MS, 0);
}

/* Whether the record of KEY holds it back.  */
static bool
is_held (const struct frn_daemon *daemon, uint64_t key, rw_time now)
{
  const struct qua_record *r = qua_find (&daemon->quarantine.table, key);
  return r != NULL && qua_is_held (r, now);
}

int
frn_quarantine_init (struct frn_daemon *daemon)
{
  struct frn_quarantine *q = &daemon->quarantine;
  qua_init (&q->table, daemon->peers.gossip.settings.ip,
            rw_rng_next (&daemon->fleet.rng));
  q->push_timer.data = daemon;
  return uv_timer_init (daemon->loop, &q->push_timer);
}

void
frn_quarantine_finish (struct frn_daemon *daemon)
{
  qua_finish (&daemon->quarantine.table);
}

/* Writes a line for each record that begins or ceases to be held back, and
   counts them.  */
static void
update_states (struct frn_daemon *daemon, rw_time now)
{
  size_t position = 0;
  size_t held = 0;
  const struct qua_record *next;
  while ((next = qua_next (&daemon->quarantine.table, &position)) != NULL)
    {
      struct qua_record *r = qua_find (&daemon->quarantine.table, next->key);
      bool is = qua_is_held (r, now);
      held += is;
      if (is == r->reported_held)
        continue;
      r->reported_held = is;
      evt_line (&daemon->log, EVT_STATE, "quarantine", now,
                "%s: key=%016llx ends=%zu trials=%zu refused=%llu",
                is ? "held back" : "released", (unsigned long long)r->key,
                r->end_count, r->trial_count,
                (unsigned long long)r->refused_count);
    }
  sta_set_value (daemon->metrics.requests_held, (double)held);
}

void
frn_quarantine_tick (struct frn_daemon *daemon, rw_time now)
{
  if (daemon->quarantine.table.records.len == 0)
    return;
  qua_sweep (&daemon->quarantine.table, now);
  update_states (daemon, now);
}

void
frn_quarantine_on_end (struct frn_daemon *daemon,
                       const struct ste_target *target, uint64_t key,
                       rw_time sent_at, rw_time ended_at)
{
  struct qua_end end = { .target = target->key,
                         .software = software_of (target),
                         .sent_at = sent_at,
                         .ended_at = ended_at };
  /* Without a way to the targets, their end cannot be seen.  */
  if (daemon->reach.state.cut_off
      || daemon->settings.without[FRN_MECH_QUARANTINE])
    return;
  qua_on_end (&daemon->quarantine.table, key, &end, rw_now ());
  push_news (daemon);
}

void
frn_quarantine_on_done (const struct frn_request *request,
                        const struct ste_target *target)
{
  struct frn_daemon *daemon = request->daemon;
  qua_on_done (&daemon->quarantine.table, request->key, software_of (target),
               rw_now ());
  push_news (daemon);
}

void
frn_quarantine_on_loss (struct frn_request *request)
{
  qua_on_loss (&request->attempt, request->query.done);
}

/* Whether REQUEST may be sent to a target with SOFTWARE.  */
static bool
may_get (const struct frn_request *request, uint32_t software, rw_time now)
{
  if (request->attempt.is_trial && software == request->attempt.trial_software)
    return true;
  switch (qua_verdict (&request->daemon->quarantine.table, request->key,
                       software, now))
    {
    case QUA_PASS:
    case QUA_CAREFUL:
      return true;
    case QUA_UNTRIED:
    case QUA_HELD:
      break;
    }
  return false;
}

/* The best verdict on REQUEST at the usable targets of SERVICE, QUA_HELD if
   there is none; *SOFTWARE is set to that for which it holds.  */
static enum qua_verdict
best_verdict (const struct frn_request *request,
              const struct ste_service *service, uint32_t *software,
              rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  enum qua_verdict best = QUA_HELD;
  for (const struct ste_target *t = service->targets; t != NULL; t = t->next)
    {
      if (!ste_usable (&daemon->fleet, t, now))
        continue;
      enum qua_verdict v = qua_verdict (&daemon->quarantine.table,
                                        request->key, software_of (t), now);
      if (v < best)
        {
          best = v;
          *software = software_of (t);
        }
    }
  return best;
}

/* Refuses REQUEST, of which nothing was sent.  */
static void
refuse (struct frn_request *request, rw_time now)
{
  request->attempt.held = true;
  request->last_error = "held back: crashes targets";
  qua_on_refused (&request->daemon->quarantine.table, request->key, now);
  push_news (request->daemon);
  if (request->order != NULL)
    frn_answer_query (request, true);
  else
    frn_refuse_request (request, FRN_REFUSE_HELD, RETRY_AFTER_HELD);
  frn_request_end (request);
}

/* Lets REQUEST go on as the trial that was granted.  */
static void
begin_trial (struct frn_request *request, rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  request->attempt.is_trial = true;
  sta_inc (daemon->metrics.trials);
  evt_line (&daemon->log, EVT_STATE, "quarantine", now,
            "trial: id=%s key=%016llx", evt_value (request->id).text,
            (unsigned long long)request->key);
}

/* Asks the owner of the request's key for a trial with SOFTWARE.  Returns
   whether it was granted at once; else the request waits, or is refused.  */
static bool
ask_for_trial (struct frn_request *request, uint32_t software, rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  struct frn_quarantine *q = &daemon->quarantine;
  const struct gos_gossip *gossip = &daemon->peers.gossip;
  uint32_t owner;
  char item[QUA_MAX_ITEM];
  request->attempt.trial_software = software;
  if (gos_owns (gossip, request->key, now, &owner))
    {
      if (gos_may_decide (gossip, now)
          && qua_grant (&q->table, request->key, software, owner, now)
          && qua_take_trial (&q->table, request->key, now))
        {
          push_news (daemon);
          begin_trial (request, now);
          return true;
        }
      refuse (request, now);
      return false;
    }
  if (q->waiter != NULL)
    {
      refuse (request, now);
      return false;
    }
  size_t len = qua_write_wanted (request->key, software, item, sizeof item);
  q->waiter = request;
  request->awaits_trial = true;
  frn_peers_send_evidence (daemon, owner, (struct rw_str){ item, len }, now);
  frn_request_wait (request, GRANT_TIMEOUT_MS);
  return false;
}

bool
frn_quarantine_admit (struct frn_request *request)
{
  struct frn_daemon *daemon = request->daemon;
  rw_time now = rw_now ();
  enum qua_verdict best = QUA_HELD;
  uint32_t software = 0;
  if (!is_held (daemon, request->key, now))
    return true;
  for (size_t i = 0; i < request->query.plan.part_count; i++)
    {
      uint32_t s;
      enum qua_verdict v
          = best_verdict (request, request->services[i], &s, now);
      if (v < best)
        {
          best = v;
          software = s;
        }
    }
  switch (best)
    {
    case QUA_PASS:
    case QUA_CAREFUL:
      return true;
    case QUA_UNTRIED:
      if (request->order == NULL)
        return ask_for_trial (request, software, now);
      break;
    case QUA_HELD:
      break;
    }
  refuse (request, now);
  return false;
}

void
frn_quarantine_forget (const struct frn_request *request)
{
  struct frn_quarantine *q = &request->daemon->quarantine;
  if (q->waiter == request)
    q->waiter = NULL;
}

void
frn_quarantine_give_up (struct frn_request *request)
{
  request->awaits_trial = false;
  if (!request->ended)
    refuse (request, rw_now ());
}

bool
frn_quarantine_sends_alone (const struct frn_request *request, rw_time now)
{
  return request->mode == FRN_MODE_LOCAL
         && qua_sends_alone (&request->daemon->quarantine.table, request->key,
                             &request->attempt, request->query.plan.part_count,
                             request->query.done, now);
}

rw_time
frn_quarantine_delay (struct frn_request *request, size_t part, rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  enum qua_verdict best = QUA_PASS;
  uint32_t software;
  if (request->mode != FRN_MODE_LOCAL)
    return 0;
  if (is_held (daemon, request->key, now))
    best = best_verdict (request, request->services[part], &software, now);
  rw_time delay
      = qua_delay (&daemon->quarantine.table, request->key, &request->attempt,
                   request->query.plan.part_count, request->query.done,
                   frn_has_open_sends (request), best, now);
  if (delay < 0)
    request->last_error = "held back: crashes targets";
  return delay;
}

bool
frn_quarantine_may_hedge (const struct frn_request *request)
{
  return request->mode != FRN_MODE_LOCAL
         || request->daemon->settings.without[FRN_MECH_QUARANTINE]
         || qua_may_hedge (request->query.plan.part_count,
                           request->query.done);
}

struct ste_target *
frn_quarantine_pick (struct frn_request *request, struct ste_service *service,
                     const struct ste_latency *latency,
                     struct ste_target *const *tried, size_t tried_n,
                     rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  if (service->of_peers || !is_held (daemon, request->key, now))
    return ste_pick (&daemon->fleet, service, latency, tried, tried_n, now);
  struct ste_target **avoided
      = rw_arena_zalloc (&request->arena, tried_n + service->target_count,
                         sizeof (struct ste_target *));
  size_t count = 0;
  for (size_t i = 0; i < tried_n; i++)
    avoided[count++] = tried[i];
  for (struct ste_target *t = service->targets; t != NULL; t = t->next)
    if (!may_get (request, software_of (t), now))
      avoided[count++] = t;
  return ste_pick (&daemon->fleet, service, latency, avoided, count, now);
}

struct frn_wanted
{
  struct frn_daemon *daemon;
  uint32_t from;
  rw_time now;
};

/* Grants a peer a trial, if this daemon is the one to do so.  */
static void
on_wanted (void *arg, uint64_t key, uint32_t software)
{
  struct frn_wanted *wanted = arg;
  struct frn_daemon *daemon = wanted->daemon;
  struct qua_table *table = &daemon->quarantine.table;
  struct gos_message message = { .count = 0 };
  char evidence[GOS_MAX_DATAGRAM];
  uint32_t owner;
  if (!gos_owns (&daemon->peers.gossip, key, wanted->now, &owner)
      || !gos_may_decide (&daemon->peers.gossip, wanted->now)
      || !qua_grant (table, key, software, wanted->from, wanted->now))
    return;
  size_t len = qua_write_record (table, key, evidence,
                                 gos_evidence_space (&message), wanted->now);
  frn_peers_send_evidence (daemon, wanted->from,
                           (struct rw_str){ evidence, len }, wanted->now);
}

void
frn_quarantine_take (struct frn_daemon *daemon, uint32_t from,
                     struct rw_str evidence, rw_time now)
{
  struct frn_quarantine *q = &daemon->quarantine;
  struct frn_wanted wanted = { daemon, from, now };
  struct frn_request *waiter = q->waiter;
  struct gos_message message = { .count = 0 };
  char answer[GOS_MAX_DATAGRAM];
  if (evidence.len == 0 || daemon->settings.without[FRN_MECH_QUARANTINE]
      || daemon->loop_lag > MAX_LAG || now - daemon->last_tick > MAX_LAG)
    return;
  if (qua_read (&q->table, evidence, on_wanted, &wanted, now) != 0)
    evt_line (&daemon->log, EVT_NORMAL, "peer", now,
              "evidence ignored: ip=%08x", from);
  size_t len = qua_write_refutations (&q->table, answer,
                                      gos_evidence_space (&message), now);
  if (len > 0)
    frn_peers_send_evidence (daemon, from, (struct rw_str){ answer, len },
                             now);
  push_news (daemon);
  if (waiter != NULL && qua_take_trial (&q->table, waiter->key, now))
    {
      q->waiter = NULL;
      waiter->awaits_trial = false;
      begin_trial (waiter, now);
      frn_request_admit (waiter);
    }
}

static void
write_record (const struct qua_record *r, struct rw_buf *out, rw_time now)
{
  rw_time last = 0;
  for (size_t i = 0; i < r->end_count; i++)
    if (r->ends[i].ended_at > last)
      last = r->ends[i].ended_at;
  rw_buf_printf (
      out,
      "{\"key\":\"%016llx\",\"state\":\"%s\",\"ends\":%zu,\"trials\":%zu,"
      "\"refused\":%llu,\"last_end_ms\":%lld,\"by_order\":%s}",
      (unsigned long long)r->key, qua_is_held (r, now) ? "held" : "watched",
      r->end_count, r->trial_count, (unsigned long long)r->refused_count,
      last > 0 ? (long long)((now - last) / RW_MSEC) : -1LL,
      r->held_at > r->released_at ? "true" : "false");
}

static void
answer_list (struct frn_daemon *daemon, struct h1_conn *conn)
{
  struct h1_reply reply
      = { .status = 200,
          .headers = RW_LIT ("Content-Type: application/json\r\n") };
  struct rw_buf out;
  size_t position = 0;
  const struct qua_record *r;
  bool is_first = true;
  rw_buf_init (&out);
  rw_buf_printf (&out, "{\"vm\":\"%s\",\"requests\":[", daemon->settings.name);
  while ((r = qua_next (&daemon->quarantine.table, &position)) != NULL)
    if (r->end_count > 0 || r->held_at > r->released_at)
      {
        rw_buf_printf (&out, is_first ? "" : ",");
        write_record (r, &out, rw_now ());
        is_first = false;
      }
  rw_buf_printf (&out, "]}\n");
  reply.body = rw_buf_str (&out);
  h1_conn_reply (conn, &reply);
  rw_buf_finish (&out);
}

/* Carries out the order ORDER, "KEY/release" or "KEY/hold".  Returns whether
   it is one.  */
static bool
carry_out (struct frn_daemon *daemon, struct rw_str order)
{
  struct qua_table *table = &daemon->quarantine.table;
  char text[17];
  char *end;
  rw_time now = rw_now ();
  struct rw_str word = rw_str_token (&order, "/");
  rw_str_copy (text, sizeof text, word);
  uint64_t key = strtoull (text, &end, 16);
  struct rw_str what = rw_str_token (&order, "/");
  if (word.len != 16 || *end != '\0')
    return false;
  if (rw_str_eq_cstr (what, "release"))
    qua_release (table, key, now);
  else if (rw_str_eq_cstr (what, "hold"))
    qua_hold (table, key, now);
  else
    return false;
  evt_line (&daemon->log, EVT_STATE, "quarantine", now,
            "ordered: what=%s key=%016llx", evt_value (what).text,
            (unsigned long long)key);
  push_news (daemon);
  return true;
}

bool
frn_quarantine_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                      const struct h1_message *message)
{
  struct rw_str prefix = RW_LIT (ORDER_PREFIX);
  if (rw_str_eq_cstr (message->target, LIST_PATH))
    {
      answer_list (daemon, conn);
      return true;
    }
  if (!rw_str_starts (message->target, prefix))
    return false;
  struct rw_str order
      = { message->target.ptr + prefix.len, message->target.len - prefix.len };
  struct h1_reply refusal = { .status = 405 };
  if (message->method == HTTP_POST)
    refusal.status = 400;
  if (message->method == HTTP_POST && carry_out (daemon, order))
    answer_list (daemon, conn);
  else
    h1_conn_reply (conn, &refusal);
  return true;
}
