#include <stdlib.h>
#include <string.h>

#include "frn_quota.h"

/* The admin port's path of the list of organisations.  */
#define LIST_PATH "/organisations"
/* Organisations in one answer.  */
#define MAX_LISTED 1000

static uint32_t
find_owner (void *arg, uint64_t key, rw_time now)
{
  const struct frn_daemon *daemon = arg;
  uint32_t owner;
  (void)gos_owns (&daemon->peers.gossip, key, now, &owner);
  return owner;
}

static rw_time
find_owned_time (void *arg, uint64_t key, rw_time now)
{
  const struct frn_daemon *daemon = arg;
  return gos_owned_for (&daemon->peers.gossip, key, now);
}

static rw_time
find_unchanged_time (void *arg, rw_time now)
{
  const struct frn_daemon *daemon = arg;
  return gos_owners_unchanged_for (&daemon->peers.gossip, now);
}

static bool
find_limit (void *arg, uint64_t organisation, struct quo_limit *limit)
{
  const struct frn_daemon *daemon = arg;
  if (daemon->config == NULL)
    return false;
  const struct org_organisation *o
      = org_find_id (&daemon->config->organisations, organisation);
  if (o == NULL || o->rate_per_s <= 0)
    return false;
  *limit = (struct quo_limit){ o->id, o->rate_per_s, o->burst };
  return true;
}

static struct quo_view
view_of (struct frn_daemon *daemon, rw_time now)
{
  return (struct quo_view){
    .arg = daemon,
    .owner = find_owner,
    .owned_for = find_owned_time,
    .unchanged_for = find_unchanged_time,
    .limit = find_limit,
    .daemons = daemon->fleet.settings.daemon_count,
    .fraction = gos_live_fraction (&daemon->peers.gossip, now),
  };
}

static struct quo_settings
rule_of (const struct frn_daemon *daemon)
{
  const struct frn_settings *s = &daemon->settings;
  return (struct quo_settings){
    .daemon = daemon->peers.gossip.settings.ip,
    .window = s->quota_window,
    .overshoot = s->quota_overshoot,
    .slack = s->quota_slack,
  };
}

/* Creates the counters of the organisation NAME.  */
static void
init_metrics (struct sta_set *set, struct frn_org_metrics *metrics,
              struct rw_str name)
{
  char text[ORG_MAX_NAME_BYTES + 32];
  struct rw_str label = sta_label (text, sizeof text, "organisation", name);
  metrics->admitted
      = sta_counter (set, "rwf_organisation_admitted_total",
                     "requests that took a token of a quota", label);
  metrics->refused = sta_counter (set, "rwf_organisation_refused_total",
                                  "requests beyond a quota", label);
}

/* The counters of O, created at its first request.  */
static struct frn_org_metrics *
metrics_of (struct frn_daemon *daemon, const struct org_organisation *o)
{
  struct frn_quota *q = &daemon->quota;
  struct frn_org_metrics *metrics = rw_map_get (&q->metrics, o->id);
  if (metrics != NULL)
    return metrics;
  if (q->metrics.len >= FRN_MAX_ORG_METRICS)
    {
      if (q->other_metrics.admitted == NULL)
        init_metrics (&daemon->metrics.set, &q->other_metrics,
                      (struct rw_str){ NULL, 0 });
      return &q->other_metrics;
    }
  metrics = rw_xcalloc (1, sizeof *metrics);
  init_metrics (&daemon->metrics.set, metrics, o->name);
  rw_map_put (&q->metrics, o->id, metrics);
  return metrics;
}

static void
link_waiter (struct frn_quota *q, struct frn_request *request)
{
  request->quota_prev = q->last_waiter;
  request->quota_next = NULL;
  if (q->last_waiter != NULL)
    q->last_waiter->quota_next = request;
  else
    q->first_waiter = request;
  q->last_waiter = request;
  request->awaits_quota = true;
}

static void
unlink_waiter (struct frn_quota *q, struct frn_request *request)
{
  if (request->quota_prev != NULL)
    request->quota_prev->quota_next = request->quota_next;
  else
    q->first_waiter = request->quota_next;
  if (request->quota_next != NULL)
    request->quota_next->quota_prev = request->quota_prev;
  else
    q->last_waiter = request->quota_prev;
  request->awaits_quota = false;
}

/* Answers 429.  The line says what decided.  */
static void
refuse (struct frn_request *request, rw_time retry_after, rw_time now)
{
  struct frn_daemon *daemon = request->daemon;
  const struct org_organisation *o = request->organisation;
  struct quo_usage usage = { 0 };
  (void)quo_find_usage (&daemon->quota.table, o->id, &usage, now);
  evt_line (&daemon->log, EVT_NORMAL, "quota", now,
            "refused: id=%s organisation=%s limit_per_s=%.1f burst=%.1f "
            "here_per_s=%.1f tokens=%.0f decided_ms_ago=%lld retry_ms=%lld",
            evt_value (request->id).text, evt_value (o->name).text,
            o->rate_per_s, o->burst, usage.rate_per_s, usage.held,
            usage.decided_at > 0
                ? (long long)((now - usage.decided_at) / RW_MSEC)
                : -1LL,
            (long long)(retry_after / RW_MSEC));
  sta_inc (metrics_of (daemon, o)->refused);
  request->last_error = "quota used up";
  frn_refuse_request (request, FRN_REFUSE_QUOTA, retry_after);
  frn_request_end (request);
}

static void
take_token (struct frn_request *request)
{
  request->has_token = true;
  sta_inc (metrics_of (request->daemon, request->organisation)->admitted);
}

static void
send_messages (struct frn_daemon *daemon, rw_time now)
{
  struct quo_view view = view_of (daemon, now);
  char message[QUO_MAX_MESSAGE];
  uint32_t to;
  size_t len;
  while (
      (len = quo_next_message (&daemon->quota.table, &view, now, &to, message))
      > 0)
    frn_peers_send_quota (daemon, to, (struct rw_str){ message, len }, now);
}

static void on_timer (uv_timer_t *timer);

static void
arm_timer (struct frn_daemon *daemon, rw_time now)
{
  rw_time next = quo_next_event (&daemon->quota.table, now);
  if (next == RW_TIME_NEVER)
    uv_timer_stop (&daemon->quota.timer);
  else
    uv_timer_start (&daemon->quota.timer, on_timer,
                    (uint64_t)((next - now + RW_MSEC - 1) / RW_MSEC), 0);
}

/* Tries again to take a token for each request that waits.  Requests that
   begin to wait meanwhile have their turn at the next call.  */
static void
serve_waiters (struct frn_daemon *daemon, rw_time now)
{
  struct frn_quota *q = &daemon->quota;
  struct quo_view view = view_of (daemon, now);
  unsigned int round = ++q->round;
  while (q->first_waiter != NULL && q->first_waiter->quota_round != round)
    {
      struct frn_request *request = q->first_waiter;
      const struct org_organisation *o = request->organisation;
      struct quo_limit limit = { o->id, o->rate_per_s, o->burst };
      rw_time retry_after = 0;
      unlink_waiter (q, request);
      request->quota_round = round;
      switch (quo_take (&q->table, &view, &limit, true, now, &retry_after))
        {
        case QUO_TAKEN:
          take_token (request);
          frn_request_start (request);
          break;
        case QUO_WAIT:
          link_waiter (q, request);
          break;
        case QUO_REFUSED:
          refuse (request, retry_after, now);
          break;
        }
    }
}

/* Goes on after news or at a time at which something is due.  */
static void
go_on (struct frn_daemon *daemon, rw_time now)
{
  serve_waiters (daemon, now);
  send_messages (daemon, now);
  arm_timer (daemon, now);
}

static void
on_timer (uv_timer_t *timer)
{
  go_on (timer->data, rw_now ());
}

int
frn_quota_init (struct frn_daemon *daemon)
{
  struct frn_quota *q = &daemon->quota;
  struct quo_settings rule = rule_of (daemon);
  quo_init (&q->table, &rule, rw_rng_next (&daemon->fleet.rng), rw_now ());
  q->timer.data = daemon;
  return uv_timer_init (daemon->loop, &q->timer);
}

void
frn_quota_finish (struct frn_daemon *daemon)
{
  struct frn_quota *q = &daemon->quota;
  size_t position = 0;
  void *metrics;
  while ((metrics = rw_map_next (&q->metrics, &position)) != NULL)
    free (metrics);
  rw_map_finish (&q->metrics);
  quo_finish (&q->table);
}

void
frn_quota_update_settings (struct frn_daemon *daemon)
{
  struct quo_settings rule = rule_of (daemon);
  quo_set_rule (&daemon->quota.table, &rule);
}

void
frn_quota_tick (struct frn_daemon *daemon, rw_time now)
{
  if (daemon->config == NULL || daemon->config->organisations.count == 0)
    return;
  struct quo_view view = view_of (daemon, now);
  gos_note_owners (&daemon->peers.gossip, now);
  quo_tick (&daemon->quota.table, &view, now);
  go_on (daemon, now);
}

bool
frn_quota_admit (struct frn_request *request)
{
  struct frn_daemon *daemon = request->daemon;
  const struct org_organisation *o = request->organisation;
  rw_time now = rw_now ();
  rw_time retry_after = 0;
  if (o == NULL || o->rate_per_s <= 0 || request->checked_by_peer
      || daemon->settings.without[FRN_MECH_QUOTAS])
    return true;
  struct quo_view view = view_of (daemon, now);
  struct quo_limit limit = { o->id, o->rate_per_s, o->burst };
  enum quo_verdict verdict = quo_take (&daemon->quota.table, &view, &limit,
                                       false, now, &retry_after);
  switch (verdict)
    {
    case QUO_TAKEN:
      take_token (request);
      break;
    case QUO_WAIT:
      request->quota_round = daemon->quota.round;
      link_waiter (&daemon->quota, request);
      break;
    case QUO_REFUSED:
      refuse (request, retry_after, now);
      break;
    }
  send_messages (daemon, now);
  arm_timer (daemon, now);
  return verdict == QUO_TAKEN;
}

void
frn_quota_give_back (struct frn_request *request)
{
  if (!request->has_token)
    return;
  request->has_token = false;
  quo_give_back (&request->daemon->quota.table, request->organisation->id,
                 rw_now ());
}

void
frn_quota_forget (struct frn_request *request)
{
  struct frn_quota *q = &request->daemon->quota;
  if (!request->awaits_quota)
    return;
  unlink_waiter (q, request);
  quo_cancel (&q->table, request->organisation->id, rw_now ());
}

void
frn_quota_take (struct frn_daemon *daemon, uint32_t from,
                struct rw_str message, rw_time now)
{
  struct quo_view view;
  if (message.len == 0 || daemon->settings.without[FRN_MECH_QUOTAS])
    return;
  view = view_of (daemon, now);
  if (quo_read (&daemon->quota.table, &view, from, message, now) != 0)
    evt_line (&daemon->log, EVT_NORMAL, "peer", now,
              "quota message ignored: ip=%08x", from);
  go_on (daemon, now);
}

/* Appends TEXT as a JSON string.  */
static void
write_json_string (struct rw_buf *out, struct rw_str text)
{
  rw_buf_append (out, "\"", 1);
  for (size_t i = 0; i < text.len; i++)
    {
      if (text.ptr[i] == '"' || text.ptr[i] == '\\')
        rw_buf_append (out, "\\", 1);
      rw_buf_append (out, &text.ptr[i], 1);
    }
  rw_buf_append (out, "\"", 1);
}

static void
write_organisation (const struct frn_daemon *daemon,
                    const struct org_organisation *o, struct rw_buf *out,
                    rw_time now)
{
  struct quo_usage usage = { 0 };
  (void)quo_find_usage (&daemon->quota.table, o->id, &usage, now);
  rw_buf_printf (out, "{\"name\":");
  write_json_string (out, o->name);
  rw_buf_printf (
      out,
      ",\"limit_per_s\":%.3f,\"burst\":%.3f,\"keys\":%zu,\"here_per_s\":%.3f,"
      "\"taken\":%llu,\"refused\":%llu,\"tokens\":%.1f,\"owner\":%s,"
      "\"granted_per_s\":%.3f,\"decided_ms_ago\":%lld}",
      o->rate_per_s, o->burst, o->key_count, usage.rate_per_s,
      (unsigned long long)usage.taken, (unsigned long long)usage.refused,
      usage.held, usage.is_owner ? "true" : "false", usage.granted_per_s,
      usage.decided_at > 0 ? (long long)((now - usage.decided_at) / RW_MSEC)
                           : -1LL);
}

bool
frn_quota_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                 const struct h1_message *message)
{
  struct h1_reply reply
      = { .status = 200,
          .headers = RW_LIT ("Content-Type: application/json\r\n") };
  struct rw_buf out;
  rw_time now = rw_now ();
  if (!rw_str_eq_cstr (message->target, LIST_PATH))
    return false;
  const struct org_directory *directory
      = daemon->config != NULL ? &daemon->config->organisations : NULL;
  size_t count = directory != NULL ? directory->count : 0;
  rw_buf_init (&out);
  rw_buf_printf (
      &out,
      "{\"vm\":\"%s\",\"version\":%llu,\"copy_age_ms\":%lld,"
      "\"organisations\":[",
      daemon->settings.name,
      daemon->config != NULL ? (unsigned long long)daemon->config->version : 0,
      (long long)((now - daemon->peers.current_at) / RW_MSEC));
  for (size_t i = 0; i < count && i < MAX_LISTED; i++)
    {
      rw_buf_printf (&out, i > 0 ? "," : "");
      write_organisation (daemon, &directory->list[i], &out, now);
    }
  rw_buf_printf (&out, "],\"left_out\":%zu}\n",
                 count > MAX_LISTED ? count - MAX_LISTED : 0);
  reply.body = rw_buf_str (&out);
  h1_conn_reply (conn, &reply);
  rw_buf_finish (&out);
  return true;
}
