#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "frn_account.h"
#include "frn_capacity.h"
#include "front.h"

const char *
frn_refusal_name (enum frn_refusal reason)
{
  switch (reason)
    {
    case FRN_REFUSE_NO_CONFIG:
      return "no-configuration";
    case FRN_REFUSE_NO_TARGET:
      return "no-target";
    case FRN_REFUSE_OVERLOAD:
      return "overload";
    case FRN_REFUSE_BUSY:
      return "targets-refused";
    case FRN_REFUSE_HELD:
      return "held-back";
    case FRN_REFUSE_STALE:
      return "keys-not-confirmed";
    case FRN_REFUSE_QUOTA:
      return "quota";
    case FRN_REFUSE_MEMORY:
      return "memory";
    case FRN_REFUSE_STOPPING:
      return "stopping";
    case FRN_REFUSAL_COUNT:
      break;
    }
  return "unknown";
}

static void
init_route_metrics (struct sta_set *set, struct frn_route_metrics *metrics,
                    struct rw_str route)
{
  char name[128];
  char outcome[64];
  char labels[256];
  struct rw_str route_label = sta_label (name, sizeof name, "route", route);

  for (int i = 0; i < FRN_OUTCOME_COUNT; i++)
    {
      struct rw_str label
          = sta_label (outcome, sizeof outcome, "outcome",
                       rw_str_from (frn_outcome_name ((enum frn_outcome)i)));
      int len = snprintf (labels, sizeof labels, "%.*s,%.*s",
                          RW_STR_ARG (route_label), RW_STR_ARG (label));
      metrics->outcome[i]
          = sta_counter (set, "rwf_requests_total", "requests by outcome",
                         (struct rw_str){ labels, (size_t)len });
    }
  metrics->latency
      = sta_histogram (set, "rwf_request_seconds",
                       "time from a request to its answer", route_label);
  metrics->refused_share
      = sta_gauge (set, "rwf_refused_share",
                   "share of the requests refused for overload", route_label);
  metrics->queue_delay
      = sta_gauge (set, "rwf_queue_delay_seconds",
                   "delay in the queues of targets, as known", route_label);
}

/* lib/stat limits the number of series, so many routes cannot exhaust memory.
 */
struct frn_route_metrics *
frn_metrics_for_route (struct frn_metrics *m, struct frn_route_stats *stats,
                       struct rw_str route)
{
  if (stats->metrics.latency == NULL)
    init_route_metrics (&m->set, &stats->metrics, route);
  return &stats->metrics;
}

/* Resident memory in bytes; 0 if it cannot be read.  */
static long
resident_memory (void)
{
  long pages = 0;
  FILE *file = fopen ("/proc/self/statm", "r");
  if (file == NULL)
    return 0;
  if (fscanf (file, "%*s %ld", &pages) != 1)
    pages = 0;
  fclose (file);
  return pages * sysconf (_SC_PAGESIZE);
}

void
frn_metrics_init (struct frn_metrics *m)
{
  static const char *const sends[FRN_SEND_OUTCOME_COUNT]
      = { "ok", "refused", "broken", "abandoned" };
  static const char *const unreadable[FRN_UNREADABLE_COUNT]
      = { "400", "408", "413", "431" };
  struct rw_str none = { NULL, 0 };
  char label[64];
  sta_init (&m->set);
  init_route_metrics (&m->set, &m->no_route, (struct rw_str){ NULL, 0 });
  for (int i = 0; i < FRN_REFUSAL_COUNT; i++)
    m->refusal[i] = sta_counter (
        &m->set, "rwf_refusals_total", "refused requests by reason",
        sta_label (label, sizeof label, "reason",
                   rw_str_from (frn_refusal_name ((enum frn_refusal)i))));
  for (int i = 0; i < STE_STATE_COUNT; i++)
    m->admission[i] = sta_counter (
        &m->set, "rwf_admissions_total", "sends by the state of the target",
        sta_label (label, sizeof label, "target",
                   rw_str_from (ste_state_name ((enum ste_state)i))));
  for (int i = 0; i < FRN_SEND_OUTCOME_COUNT; i++)
    m->send_outcome[i] = sta_counter (
        &m->set, "rwf_sends_total", "sends to targets by outcome",
        sta_label (label, sizeof label, "outcome", rw_str_from (sends[i])));
  m->first_sends = sta_counter (&m->set, "rwf_first_sends_total",
                                "parts sent for the first time", none);
  m->retries = sta_counter (&m->set, "rwf_retries_total",
                            "parts sent again after a failure", none);
  m->hedges = sta_counter (&m->set, "rwf_hedges_total",
                           "parts sent to a second target", none);
  m->infeasible = sta_counter (
      &m->set, "rwf_infeasible_total",
      "requests given up early, as too few parts could be answered", none);
  m->budget_empty
      = sta_counter (&m->set, "rwf_extra_budget_empty_total",
                     "hedges and retries postponed for lack of budget", none);
  m->relays = sta_counter (&m->set, "rwf_relays_total",
                           "requests forwarded to a larger peer", none);
  m->subqueries = sta_counter (
      &m->set, "rwf_subqueries_total",
      "groups of parts left to a daemon of another data centre", none);
  m->subqueries_served
      = sta_counter (&m->set, "rwf_subqueries_served_total",
                     "such groups that peers left to this daemon", none);
  m->conns_opened = sta_counter (&m->set, "rwf_links_opened_total",
                                 "connections opened to targets", none);
  m->probes
      = sta_counter (&m->set, "rwf_probes_total",
                     "connections that checked the ways to targets", none);
  m->cut_off = sta_gauge (&m->set, "rwf_cut_off",
                          "1 while no target can be reached", none);
  m->cut_offs
      = sta_counter (&m->set, "rwf_cut_offs_total",
                     "times that no target could be reached any more", none);
  m->store_calls = sta_counter (&m->set, "rwf_store_calls_total",
                                "answers of the store", none);
  m->store_errors = sta_counter (&m->set, "rwf_store_errors_total",
                                 "failed calls to the store", none);
  m->transfers = sta_counter (&m->set, "rwf_transfers_total",
                              "transfers of store items from peers", none);
  m->daemons = sta_gauge (&m->set, "rwf_daemons",
                          "daemons that share fleet-wide limits", none);
  m->store_lost = sta_gauge (
      &m->set, "rwf_store_lost_seconds",
      "time since calls to the store began to fail, 0 while the copy is "
      "confirmed",
      none);
  m->store_era
      = sta_gauge (&m->set, "rwf_store_era",
                   "era of the copy; it rises when the store was restored "
                   "from an older copy, 0: not stated",
                   none);
  m->targets_leaving = sta_counter (
      &m->set, "rwf_targets_announced_leaving_total",
      "targets that announced in a reply that they leave", none);
  m->targets_held = sta_counter (
      &m->set, "rwf_targets_held_total",
      "refusals that asked to send nothing for a stated time", none);
  m->targets_limited = sta_counter (
      &m->set, "rwf_targets_limited_total",
      "limits named by targets, and changes of such limits", none);
  for (int i = 0; i < GAT_SEND_KIND_COUNT; i++)
    m->limited_sends[i] = sta_counter (
        &m->set, "rwf_limited_sends_total",
        "sends to targets that name a limit, by kind",
        sta_label (label, sizeof label, "kind",
                   rw_str_from (frn_send_kind_name ((enum gat_send_kind)i))));
  m->targets_ended
      = sta_counter (&m->set, "rwf_targets_ended_total",
                     "targets that ended with a request of this daemon", none);
  m->broken_answers = sta_counter (
      &m->set, "rwf_broken_answers_total",
      "bytes of targets and peers that were no answer to a request", none);
  frn_capacity_init_metrics (m);
  m->requests_held
      = sta_gauge (&m->set, "rwf_requests_held_back",
                   "requests that are held back, as they crash targets", none);
  m->trials
      = sta_counter (&m->set, "rwf_trials_total",
                     "requests that were held back and sent in a trial", none);
  m->config_version = sta_gauge (&m->set, "rwf_config_version",
                                 "version in force, 0: none", none);
  m->config_age = sta_gauge (&m->set, "rwf_config_age_seconds",
                             "time since that version came into force", none);
  m->loop_lag = sta_gauge (&m->set, "rwf_loop_lag_seconds",
                           "delay of the last tick of the loop", none);
  m->memory = sta_gauge (&m->set, "rwf_memory_bytes",
                         "resident memory of the process", none);
  for (int i = 0; i < ACC_CAUSE_COUNT; i++)
    m->dropped[i] = sta_counter (
        &m->set, "rwf_connections_dropped_total",
        "connections that were closed for others, by what was short",
        sta_label (label, sizeof label, "cause",
                   rw_str_from (frn_drop_cause_name ((enum acc_cause)i))));
  m->held_bytes
      = sta_gauge (&m->set, "rwf_held_bytes",
                   "bytes held for callers, peers and their requests", none);
  m->held_places = sta_gauge (&m->set, "rwf_held_descriptors",
                              "connections of callers, peers, operators and "
                              "to targets",
                              none);
  for (int i = 0; i < FRN_UNREADABLE_COUNT; i++)
    m->unreadable[i] = sta_counter (
        &m->set, "rwf_unreadable_requests_total",
        "requests that were not read, by the status of the answer",
        sta_label (label, sizeof label, "status",
                   rw_str_from (unreadable[i])));
  m->log_left_out = sta_gauge (&m->set, "rwf_log_lines_left_out",
                               "log lines not written", none);
}

void
frn_metrics_update (struct frn_daemon *daemon)
{
  struct frn_metrics *m = &daemon->metrics;
  rw_time now = rw_now ();
  sta_set_value (m->store_lost,
                 (double)fol_outage_time (&daemon->store.reader, now)
                     / RW_SEC);
  sta_set_value (m->store_era,
                 (double)rw_revision_era (daemon->view.replica.revision));
  sta_set_value (m->cut_off, daemon->reach.state.cut_off ? 1 : 0);
  sta_set_value (m->daemons, (double)daemon->fleet.settings.daemon_count);
  sta_set_value (m->config_version,
                 daemon->config ? (double)daemon->config->version : 0);
  sta_set_value (m->config_age,
                 daemon->config ? (double)(now - daemon->config_since) / RW_SEC
                                : 0);
  sta_set_value (m->memory, (double)resident_memory ());
  sta_set_value (m->held_bytes, (double)daemon->account.used);
  sta_set_value (m->held_places, (double)daemon->account.places);
  sta_set_value (m->log_left_out, (double)daemon->log.suppressed_count);
}
