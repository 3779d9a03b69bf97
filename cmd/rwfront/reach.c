#include "front.h"

/* How lib/reach judges the ways to the targets: its rounds of probes, each a
   connection that is closed as soon as its fate is known.  */

static void
report (struct frn_probe *probe, enum rch_probe_result result)
{
  struct frn_daemon *daemon = probe->daemon;
  struct rch_reach *reach = &daemon->reach.state;
  rw_time now = rw_now ();
  rw_time before = reach->since;
  if (probe->reported)
    return;
  probe->reported = true;
  if (!rch_on_probe (reach, result, now))
    return;
  frn_peers_announce_reach (daemon);
  if (reach->cut_off)
    {
      sta_inc (daemon->metrics.cut_offs);
      evt_line (&daemon->log, EVT_STATE, "reach", now,
                "cut off from the targets: refused=%zu unanswered=%zu "
                "last_reply_ms_ago=%lld",
                reach->refused, reach->unanswered,
                (long long)((now - reach->last_reply) / RW_MSEC));
    }
  else
    {
      ste_forget_backoffs (&daemon->fleet);
      evt_line (&daemon->log, EVT_STATE, "reach", now,
                "targets are reachable again: ms=%lld opened=%zu",
                (long long)((now - before) / RW_MSEC), reach->opened);
    }
}

/* The connection is open; it may still be reset.  */
static void
on_idle (struct h1_client *client)
{
  struct frn_probe *probe = client->arg;
  probe->opened_at = rw_now ();
}

static enum h1_reply_result
on_reply (struct h1_client *client, const struct h1_message *reply)
{
  (void)client;
  (void)reply;
  return H1_REPLY_ACCEPTED;
}

static void
on_disconnect (struct h1_client *client, int code)
{
  struct frn_probe *probe = client->arg;
  (void)code;
  report (probe, RCH_PROBE_REFUSED);
}

static void
on_closed (struct h1_client *client)
{
  struct frn_probe *probe = client->arg;
  probe->used = false;
  report (probe, RCH_PROBE_REFUSED);
}

static const struct h1_client_ops probe_ops = {
  .on_idle = on_idle,
  .on_reply = on_reply,
  .on_disconnect = on_disconnect,
  .on_closed = on_closed,
};

/* Reports the probes whose fate is known by the time that has passed.  */
static void
sweep_probes (struct frn_daemon *daemon, rw_time now)
{
  for (size_t i = 0; i < RCH_ROUND_PROBES; i++)
    {
      struct frn_probe *probe = &daemon->reach.probes[i];
      if (!probe->used || probe->reported)
        continue;
      if (probe->opened_at > 0
          && now - probe->opened_at >= RCH_PROBE_SETTLE_TIME)
        report (probe, RCH_PROBE_OPENED);
      else if (probe->opened_at == 0
               && now - probe->started >= RCH_PROBE_TIMEOUT)
        report (probe, RCH_PROBE_NO_ANSWER);
      if (probe->reported)
        h1_client_close (&probe->conn);
    }
}

const struct sockaddr_in *
frn_source_addr (const struct frn_daemon *daemon)
{
  const struct sockaddr_in *source = &daemon->settings.source_addr;
  return source->sin_family != 0 ? source : NULL;
}

static void
start_probe (struct frn_daemon *daemon, struct frn_probe *probe,
             const struct ste_target *target, rw_time now)
{
  struct sockaddr_in addr;
  *probe = (struct frn_probe){ .daemon = daemon, .started = now };
  if (uv_ip4_addr (target->host, target->port, &addr) != 0)
    {
      report (probe, RCH_PROBE_REFUSED);
      return;
    }
  probe->used = true;
  sta_inc (daemon->metrics.probes);
  /* After an error on_closed is called, which reports it.  */
  (void)h1_client_init_from (
      &probe->conn, daemon->loop, frn_source_addr (daemon),
      (const struct sockaddr *)&addr, daemon->scratch, &probe_ops, probe);
}

static void
start_round (struct frn_daemon *daemon, size_t due, rw_time now)
{
  struct ste_target *targets[RCH_ROUND_PROBES];
  size_t count = ste_pick_last_heard (&daemon->fleet, targets, due, now);
  for (size_t i = 0; i < count; i++)
    if (daemon->reach.probes[i].used)
      return; /* of the last round, still being closed */
  rch_begin_round (&daemon->reach.state, count, now);
  for (size_t i = 0; i < count; i++)
    start_probe (daemon, &daemon->reach.probes[i], targets[i], now);
}

void
frn_reach_tick (struct frn_daemon *daemon, rw_time now)
{
  struct rch_sends sends = { 0, 0 };
  sweep_probes (daemon, now);
  ste_count_waiting (&daemon->fleet, &sends.waiting, &sends.stalled, now);
  size_t due = rch_probes_due (&daemon->reach.state, &sends, now);
  if (due > 0)
    start_round (daemon, due, now);
}

void
frn_reach_finish (struct frn_daemon *daemon)
{
  for (size_t i = 0; i < RCH_ROUND_PROBES; i++)
    {
      struct frn_probe *probe = &daemon->reach.probes[i];
      probe->reported = true;
      if (probe->used)
        h1_client_close (&probe->conn);
    }
}
