#include "tiers_impl.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Creates the targets.  The replicas of a shard are in different data centres,
   and the holder of a target is in the same data centre as the target.  */
static void
build_targets (struct sim *sim)
{
  const struct mdl_service *service = sim->config->service;
  struct adm_rules rules = { .slots = service->config.slots,
                             .connections = service->config.max_connections,
                             .cold_limit = service->config.cold_capacity,
                             .ramp_successes = 8 };

  sim->searcher_count
      = (size_t)service->instances * (size_t)service->searchers;
  sim->shard_count = sim->searcher_count / (size_t)service->replicas;
  for (uint32_t i = 0; i < sim->searcher_count; i++)
    {
      struct searcher *s = &sim->searchers[i];
      uint32_t shard = i % (uint32_t)sim->shard_count;
      uint32_t replica = i / (uint32_t)sim->shard_count;

      mdl_searcher_init (&s->model, &service->config,
                         rw_hash_u64 (sim->config->seed, i));
      mdl_warm (&s->model);
      adm_target_init (&s->adm, &rules, &sim->classes, 0, 0);
      s->dc = (shard + replica) % DC_COUNT;
      s->holder
          = s->dc
            + DC_COUNT * (uint32_t)(i / DC_COUNT % (sim->vm_count / DC_COUNT));
      s->timer = s->adm_timer = RW_TIME_NEVER;
      sim->replicas[shard][replica] = i;
      sim->shards[shard]
          = (struct rte_shard){ sim->replicas[shard], replica + 1 };
    }
}

static void
build_vm (struct sim *sim, uint32_t index)
{
  struct vm *vm = &sim->vms[index];

  vm->dc = index % DC_COUNT;
  for (uint32_t i = 0; i < sim->searcher_count; i++)
    {
      uint32_t holder = sim->searchers[i].holder;

      rte_estimate_init (&vm->estimates[i], 0);
      rte_set_one_way_delay (
          &vm->estimates[i],
          holder == index ? 0 : tie_one_way (sim, vm->dc, holder % DC_COUNT));
      vm->targets[i] = (struct rte_target){ .estimate = &vm->estimates[i] };
    }
  vm->view = (struct rte_view){ vm->targets, sim->searcher_count,
                                sim->shards, sim->shard_count,
                                NULL,        0 };
  vm->map = (struct qry_map){ RW_LIT ("s1"), 1, &vm->view, 0 };
  qry_latency_init (&vm->latency, 0);
  qry_budget_init (&vm->budget);
  vm->env
      = (struct qry_env){ .service = rw_str_from (sim->config->service->name),
                          .active_map = &vm->map,
                          .latency = &vm->latency,
                          .budget = &vm->budget,
                          .rng = &sim->rng,
                          .hedge_percent = sim->config->hedge_percent,
                          .max_records = MAX_RECORDS,
                          .disabled_mechanisms
                          = sim->config->disabled_mechanisms };
}

/* Returns the arrival rate, in queries per second, that causes the load of
   CONFIG if each first send is a separate exchange.  */
double
tie_rate (const struct tie_config *config)
{
  const struct mdl_config *c = &config->service->config;
  double sigma = c->service_time.u.lognormal.sigma;
  double mean = (double)c->service_time.u.lognormal.median
                * exp (sigma * sigma / 2)
                * (1 + c->straggler_share * (c->straggler_factor - 1));
  int slots_of_shard = config->service->replicas * c->slots;

  return config->load * slots_of_shard * (double)RW_SEC / mean;
}

/* Runs the workload of CONFIG on one tier.  The result depends only on the
   configuration and the tier.  */
void
tie_run (const struct tie_config *config, enum tie_kind kind,
         struct tie_result *result)
{
  struct sim *sim = rw_xcalloc (1, sizeof *sim);

  memset (result, 0, sizeof *result);
  sim->config = config;
  sim->kind = kind;
  sim->result = result;
  sim->end = config->warm_up + config->duration;
  sim->vm_count = (size_t)config->profile->entry_vms;
  rw_rng_init (&sim->rng, rw_hash_u64 (config->seed, 1));
  rw_heap_init (&sim->heap);
  adm_classes_init (&sim->classes);
  build_targets (sim);
  for (uint32_t i = 0; i < sim->vm_count; i++)
    build_vm (sim, i);
  mdl_arrivals_init (&sim->arrivals, 1, rw_hash_u64 (config->seed, 2));
  mdl_arrivals_set_rate (&sim->arrivals, 0, tie_rate (config), 0);
  tie_schedule_arrival (sim);
  if (config->straggler_change_at != 0)
    tie_push (sim, config->straggler_change_at, EV_STRAGGLER_CHANGE);
  for (;;)
    {
      struct event *event = rw_heap_pop (&sim->heap, &sim->now);

      if (event == NULL)
        break;
      tie_handle (sim, event);
      free (event);
    }
  for (size_t i = 0; i < sim->searcher_count; i++)
    {
      if (sim->searchers[i].model.stats.peak_permille > result->peak_permille)
        result->peak_permille = sim->searchers[i].model.stats.peak_permille;
      mdl_searcher_finish (&sim->searchers[i].model);
      adm_target_finish (&sim->searchers[i].adm);
    }
  rw_heap_finish (&sim->heap);
  free (sim);
}
