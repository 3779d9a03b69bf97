#include "front.h"

/* One request in so many gets a line for each hop; chosen by its id, so that
   every daemon on its way takes the same ones.  */
#define SPAN_SAMPLE 64
/* Lines for one request: more would use up the rate of the log.  */
#define SPAN_MAX 12

static const char *
kind_name (enum gat_send_kind kind)
{
  switch (kind)
    {
    case GAT_SEND_FIRST:
      return "first";
    case GAT_SEND_RETRY:
      return "retry";
    case GAT_SEND_HEDGE:
      return "hedge";
    }
  return "unknown";
}

static const char *
end_name (const struct frn_send *send)
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
is_plain (const struct frn_send *send)
{
  return send->kind == GAT_SEND_FIRST && send->state == FRN_SEND_ENDED
         && send->outcome == STE_OK;
}

static void
write_span (const struct frn_request *request, const struct frn_send *send,
            rw_time now)
{
  rw_time end = send->state == FRN_SEND_ENDED ? send->ended : now;
  evt_line (&request->daemon->log, EVT_SAMPLED, "span", now,
            "%s: id=%.*s part=%zu service=%s target=%s kind=%s at_ms=%lld "
            "ms=%lld",
            end_name (send), RW_STR_ARG (request->id), send->part,
            request->services[send->part]->name, send->target->id,
            kind_name (send->kind),
            (long long)((send->steer.at - request->start) / RW_MSEC),
            (long long)((end - send->steer.at) / RW_MSEC));
}

void
frn_spans_write (const struct frn_request *request, bool plain)
{
  bool sampled = rw_hash (request->id) % SPAN_SAMPLE == 0;
  rw_time now = rw_now ();
  size_t written = 0;
  if (plain && !sampled)
    return;
  for (const struct frn_send *s = request->sends;
       s != NULL && written < SPAN_MAX; s = s->next)
    if (sampled || !is_plain (s))
      {
        write_span (request, s, now);
        written++;
      }
}
