#include "sim_impl.h"

#include <stdlib.h>
#include <string.h>

static void
init_entries (struct sim *sim)
{
  const struct sim_config *config = sim->config;

  sim->entries = rw_xcalloc ((size_t)config->entries, sizeof *sim->entries);
  for (int i = 0; i < config->entries; i++)
    {
      struct entry *entry = &sim->entries[i];

      entry->number = i;
      entry->wake_at = RW_TIME_NEVER;
      entry->hedge_delay = 10 * RW_MSEC;
      rw_hist_init (&entry->part_latency);
      adm_gate_init (&entry->gate, config->gate_limit, &sim->classes,
                     config->disabled);
    }
}

static void
init_targets (struct sim *sim)
{
  const struct sim_config *config = sim->config;
  struct adm_rules rules
      = { config->searcher.slots, config->searcher.max_connections,
          config->searcher.cold_capacity, config->searcher.requests_per_slot,
          false };
  int targets = sim_target_count (sim);
  int daemons = config->design == SIM_INDEPENDENT ? config->entries : 1;

  sim->searchers = rw_xcalloc ((size_t)targets, sizeof *sim->searchers);
  sim->holders
      = rw_xcalloc ((size_t)daemons * (size_t)targets, sizeof *sim->holders);
  sim->idle = rw_xcalloc ((size_t)(config->entries + 1) * (size_t)targets,
                          sizeof *sim->idle);
  for (int i = 0; i < targets; i++)
    {
      mdl_searcher_init (&sim->searchers[i].model, &config->searcher,
                         rw_rng_next (&sim->rng));
      if (config->start_warm)
        mdl_warm (&sim->searchers[i].model);
      sim->searchers[i].wake_at = RW_TIME_NEVER;
    }
  for (int i = 0; i < daemons * targets; i++)
    {
      struct holder *holder = &sim->holders[i];

      holder->searcher = &sim->searchers[i % targets];
      holder->wake_at = RW_TIME_NEVER;
      if (config->design == SIM_INDEPENDENT)
        holder->entry = &sim->entries[i / targets];
      adm_target_init (&holder->target, &rules, &sim->classes,
                       config->disabled, 0);
    }
}

static void
init_load (struct sim *sim)
{
  const struct sim_config *config = sim->config;

  mdl_arrivals_init (&sim->arrivals, config->class_count,
                     rw_rng_next (&sim->rng));
  for (size_t i = 0; i < config->class_count; i++)
    mdl_arrivals_set_rate (&sim->arrivals, i, config->class_configs[i].rate,
                           0);
  sim_schedule_arrival (sim);
  for (size_t i = 0; i < config->change_count; i++)
    sim_schedule (sim, config->changes[i].at, EV_CHANGE)->u.index = i;
  if (config->restart_at > 0)
    sim_schedule (sim, config->restart_at, EV_RESTART);
}

static void
sim_init (struct sim *sim, const struct sim_config *config,
          struct sim_result *result)
{
  memset (sim, 0, sizeof *sim);
  memset (result, 0, sizeof *result);
  sim->config = config;
  sim->result = result;
  sim->arrival_at = RW_TIME_NEVER;
  rw_heap_init (&sim->heap);
  rw_arena_init (&sim->arena, 65536);
  rw_rng_init (&sim->rng, config->seed);
  adm_classes_init (&sim->classes);
  for (size_t i = 0; i < config->class_count; i++)
    sim->classes.by_id[i].share = config->class_configs[i].share;
  init_entries (sim);
  init_targets (sim);
  init_load (sim);
}

static int
max_int (int a, int b)
{
  return a > b ? a : b;
}

static void
collect (struct sim *sim)
{
  struct sim_result *r = sim->result;
  int targets = sim_target_count (sim);
  int daemons
      = sim->config->design == SIM_INDEPENDENT ? sim->config->entries : 1;

  for (int i = 0; i < targets; i++)
    {
      const struct mdl_stats *stats = &sim->searchers[i].model.stats;

      r->peak_permille = max_int (r->peak_permille, stats->peak_permille);
      r->peak_permille_undetected = max_int (r->peak_permille_undetected,
                                             stats->peak_permille_undetected);
      r->peak_connections
          = max_int (r->peak_connections, stats->peak_connections);
      r->crashes += stats->crashes;
      r->shed += stats->shed;
    }
  for (int i = 0; i < daemons * targets; i++)
    {
      const struct adm_counters *c = &sim->holders[i].target.counters;

      r->exchanges += c->exchanges;
      r->exchange_parts += c->parts;
      for (int k = 0; k < ADM_COLD_REASON_COUNT; k++)
        r->cold[k] += c->cold_events[k];
    }
}

static void
sim_finish (struct sim *sim)
{
  free (sim->entries);
  free (sim->searchers);
  free (sim->holders);
  free (sim->idle);
  rw_heap_finish (&sim->heap);
  rw_arena_finish (&sim->arena);
}

/* Runs CONFIG until every query that arrived before arrivals_until has ended.
   The same configuration and seed give the same RESULT.  */
void
sim_run (const struct sim_config *config, struct sim_result *result)
{
  struct sim sim;
  struct event *event;

  sim_init (&sim, config, result);
  while ((event = rw_heap_pop (&sim.heap, &sim.now)) != NULL)
    {
      sim_handle (&sim, event);
      sim_free_dead (&sim);
      event->next_free = sim.free_events;
      sim.free_events = event;
    }
  collect (&sim);
  sim_finish (&sim);
}

/* Initializes CONFIG for one search service of a deployment, with its sizes,
   delays and searchers, one class and arrival rate 0.  */
void
sim_config_init (struct sim_config *config, const struct mdl_profile *profile,
                 const struct mdl_service *service)
{
  memset (config, 0, sizeof *config);
  config->searcher = service->config;
  config->one_way_local = profile->one_way_local;
  config->one_way_dc = profile->one_way_dc;
  config->entries = profile->entry_vms;
  config->gate_limit = 256;
  config->replicas = service->replicas;
  config->shards = service->instances * service->searchers / service->replicas;
  config->class_count = 1;
  for (size_t i = 0; i < MDL_CLASS_MAX; i++)
    config->class_configs[i] = (struct sim_class){ 0, 10, service->deadline };
  config->hedge = true;
  config->seed = 1;
  config->measure_from = RW_SEC;
  config->arrivals_until = 5 * RW_SEC;
}

double
sim_goodput (const struct sim_config *config, const struct sim_result *result,
             size_t class_id)
{
  return (double)result->class_results[class_id].complete * (double)RW_SEC
         / (double)(config->arrivals_until - config->measure_from);
}
