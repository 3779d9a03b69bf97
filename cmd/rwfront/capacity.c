#include <jansson.h>
#include <math.h>
#include <stdlib.h>

#include "frn_capacity.h"

#define LIST_PATH "/targets"

void
frn_capacity_init_metrics (struct frn_metrics *m)
{
  struct rw_str none = { NULL, 0 };
  m->capacity[FRN_CAP_FIGURES]
      = sta_counter (&m->set, "rwf_work_figures_total",
                     "work figures that targets reported", none);
  m->capacity[FRN_CAP_INVALID_FIGURES]
      = sta_counter (&m->set, "rwf_work_figures_invalid_total",
                     "work figures that were not valid", none);
  m->capacity[FRN_CAP_CHANGES] = sta_counter (
      &m->set, "rwf_target_estimate_changes_total",
      "estimates of targets that changed by over a third", none);
}

void
frn_capacity_on_report (struct frn_daemon *daemon, struct ste_target *target,
                        const struct plt_reply *reply, rw_time now)
{
  if (!reply->has_load)
    return;
  if (reply->invalid_figure)
    sta_inc (daemon->metrics.capacity[FRN_CAP_INVALID_FIGURES]);
  if (reply->work_figure > 0)
    {
      sta_inc (daemon->metrics.capacity[FRN_CAP_FIGURES]);
      ste_on_work_figure (target, reply->work_figure, now);
    }
  ste_on_load_report (target, reply->running, reply->waiting, reply->slots,
                      now);
}

/* What the estimate of TARGET rests on.  */
static const char *
source_of (const struct ste_target *target)
{
  if (target->capacity.work_at == 0)
    return target->capacity.load_at > 0 ? "reports" : "none";
  if (target->capacity.figure_at > 0)
    return "replies, reports and figures";
  return target->capacity.load_at > 0 ? "replies and reports" : "replies";
}

void
frn_capacity_note_change (struct frn_daemon *daemon, struct ste_target *target,
                          rw_time now)
{
  const struct cap_target *capacity = &target->capacity;
  const struct ste_service *service = target->service;
  double before = capacity->announced > 0 ? capacity->announced : 1;
  if (service->without_capacity || service->of_peers
      || !cap_take_change (&target->capacity, &service->capacity, now))
    return;
  struct cap_estimate estimate = cap_estimate (
      capacity, &service->capacity, target->slots, target->in_flight, now);
  sta_inc (daemon->metrics.capacity[FRN_CAP_CHANGES]);
  evt_line (&daemon->log, EVT_NORMAL, "target", now,
            "estimate changed: id=%s service=%s speed=%.2f was=%.2f "
            "confidence=%.2f bearable=%.1f slots=%u running=%u waiting=%u "
            "figure=%.2f recent=%.2f results=%.0f",
            target->id, service->name, 1 / estimate.base, 1 / before,
            estimate.confidence, estimate.bearable, target->slots,
            target->running, target->waiting, capacity->last_figure,
            exp (capacity->recent), capacity->work.count);
}

/* Appends TEXT, which another process chose, as a JSON string; empty if it is
   not UTF-8.  */
static void
write_string (struct rw_buf *out, const char *text)
{
  json_t *string = json_string (text);
  char *encoded = string != NULL ? json_dumps (string, JSON_ENCODE_ANY) : NULL;
  rw_buf_printf (out, "%s", encoded != NULL ? encoded : "\"\"");
  free (encoded);
  json_decref (string);
}

static void
write_target (const struct ste_target *target, struct rw_buf *out, rw_time now)
{
  const struct ste_service *service = target->service;
  struct cap_estimate estimate
      = cap_estimate (&target->capacity, &service->capacity, target->slots,
                      target->in_flight, now);
  rw_buf_printf (out, "{\"target\":");
  write_string (out, target->id);
  rw_buf_printf (out, ",\"service\":");
  write_string (out, service->name);
  rw_buf_printf (
      out,
      ",\"speed\":%.3f,"
      "\"bearable\":%.1f,\"slots\":%u,\"load\":%.1f,\"figure\":%.2f,"
      "\"confidence\":%.2f,\"age_ms\":%lld,\"used\":%.2f,\"source\":\"%s\"}",
      1 / estimate.base, estimate.bearable, target->slots, estimate.load,
      target->capacity.last_figure, estimate.confidence,
      estimate.age < 0 ? -1LL : (long long)(estimate.age / RW_MSEC),
      service->capacity.unevenness, source_of (target));
}

bool
frn_capacity_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                    const struct h1_message *message)
{
  struct h1_reply reply
      = { .status = 200,
          .headers = RW_LIT ("Content-Type: application/json\r\n") };
  struct rw_buf out;
  bool is_first = true;
  if (!rw_str_eq_cstr (message->target, LIST_PATH))
    return false;
  rw_buf_init (&out);
  rw_buf_printf (&out, "{\"vm\":\"%s\",\"targets\":[", daemon->settings.name);
  for (const struct ste_service *s = daemon->fleet.first_service; s != NULL;
       s = s->next)
    for (const struct ste_target *t = s->targets; t != NULL && !s->of_peers;
         t = t->next)
      {
        rw_buf_printf (&out, is_first ? "" : ",");
        write_target (t, &out, rw_now ());
        is_first = false;
      }
  rw_buf_printf (&out, "]}\n");
  reply.body = rw_buf_str (&out);
  h1_conn_reply (conn, &reply);
  rw_buf_finish (&out);
  return true;
}
