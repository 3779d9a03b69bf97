#include "front.h"

/* One of this many requests is sampled: all its sends are logged.  The choice
   depends on the hash of the id, so that every daemon that handles a request
   makes the same choice.  */
#define SAMPLE_INTERVAL 64
/* At most this many lines for one request; more would use up the rate limit of
   the log.  */
#define MAX_SPANS 12

const char *
frn_send_kind_name (enum gat_send_kind kind)
{
  switch (kind)
    {
    case GAT_SEND_FIRST:
      return "first";
    case GAT_SEND_RETRY:
      return "retry";
    case GAT_SEND_HEDGE:
      return "hedge";
    case GAT_SEND_KIND_COUNT:
      break;
    }
  return "unknown";
}

static const char *
send_state_name (const struct frn_send *send)
{
  if (send->state == FRN_SEND_QUEUED)
    return "no-link";
  if (send->state == FRN_SEND_SENT)
    return "waiting";
  switch (send->outcome)
    {
    case STE_OK:
      return "ok";
    case STE_SHED:
      return "refused";
    case STE_FAILED:
      return "failed";
    case STE_ABANDONED:
      return "abandoned";
    }
  return "unknown";
}

static bool
is_first_success (const struct frn_send *send)
{
  return send->kind == GAT_SEND_FIRST && send->state == FRN_SEND_ENDED
         && send->outcome == STE_OK;
}

static void
write_span (const struct frn_request *request, const struct frn_send *send,
            rw_time now)
{
  rw_time end = send->state == FRN_SEND_ENDED ? send->ended_at : now;
  evt_line (&request->daemon->log, EVT_SAMPLED, "span", now,
            "%s: id=%s part=%zu parts=%zu service=%s target=%s kind=%s "
            "at_ms=%lld ms=%lld",
            send_state_name (send), evt_value (request->id).text,
            send->scope == FRN_SCOPE_SUBQUERY ? send->u.subquery.parts[0]
                                              : send->u.part,
            send->scope == FRN_SCOPE_SUBQUERY ? send->u.subquery.count : 1,
            send->target->service->name, send->target->id,
            frn_send_kind_name (send->kind),
            (long long)((send->steer.sent_at - request->start) / RW_MSEC),
            (long long)((end - send->steer.sent_at) / RW_MSEC));
}

void
frn_spans_write (const struct frn_request *request, bool in_time)
{
  bool sampled = rw_hash (request->id) % SAMPLE_INTERVAL == 0;
  rw_time now = rw_now ();
  size_t written = 0;
  if (in_time && !sampled)
    return;
  for (const struct frn_send *s = request->sends;
       s != NULL && written < MAX_SPANS; s = s->next)
    if (sampled || !is_first_success (s))
      {
        write_span (request, s, now);
        written++;
      }
}
