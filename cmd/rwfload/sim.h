/* Discrete-event simulation of one service: queries of callers, entry daemons
   with their gates, admission by lib/admit, and searchers by lib/model.  */

#ifndef LOAD_SIM_H
#define LOAD_SIM_H

#include "admit.h"
#include "model.h"

/* Which daemon decides that an exchange with a target may start.  */
enum sim_design
{
  SIM_RELAY,      /* the target's only holder, which relays the parts */
  SIM_CREDITS,    /* one holder grants credits; entry daemons dispatch */
  SIM_INDEPENDENT /* each daemon alone, with the target's full limits */
};

struct sim_class
{
  double rate;      /* queries per second */
  int share;        /* weight in admission, relative to other classes */
  rw_time deadline; /* of a query, relative */
};

/* A change of the arrival rate of one class.  */
struct sim_change
{
  rw_time at;
  size_t class_id;
  double rate;
};

#define SIM_CHANGE_MAX 4
#define SIM_SLICE_LENGTH (100 * RW_MSEC)
#define SIM_SLICE_COUNT 400

struct sim_config
{
  enum sim_design design;
  struct mdl_config searcher;
  rw_time one_way_local;
  rw_time one_way_dc;
  int entries;    /* 1 to 64 */
  int gate_limit; /* running queries per entry daemon */
  int shards;     /* 1 to 64 */
  int replicas;
  size_t class_count;
  struct sim_class class_configs[MDL_CLASS_MAX];
  size_t change_count;
  struct sim_change changes[SIM_CHANGE_MAX];
  bool start_warm;    /* the searchers start warm */
  rw_time restart_at; /* all searchers restart; 0: never */
  rw_time restart_down;
  rw_time measure_from;   /* queries that arrive earlier are not counted */
  rw_time arrivals_until; /* no query arrives from then on */
  bool hedge;
  unsigned int disabled; /* bits of enum adm_mechanism */
  uint64_t seed;
};

struct sim_class_result
{
  uint64_t offered;
  uint64_t complete; /* answered in time with all shards */
  uint64_t partial;  /* answered in time with some shards */
  uint64_t refused;  /* by the gate */
  uint64_t parts_ok;
  struct rw_hist latency; /* of answered queries */
};

/* Counts of queries that arrived within one slice of SIM_SLICE_LENGTH; slice 0
   begins at time 0, and the last slice has all later arrivals.  */
struct sim_slice
{
  uint32_t offered[MDL_CLASS_MAX];
  uint32_t complete[MDL_CLASS_MAX];
};

struct sim_result
{
  struct sim_class_result class_results[MDL_CLASS_MAX];
  struct sim_slice slice[SIM_SLICE_COUNT];
  int peak_permille; /* highest concurrency over capacity, in 1/1000 */
  int peak_permille_undetected;
  int peak_connections; /* to one searcher */
  uint64_t crashes;     /* of searchers, from overload while cold */
  uint64_t shed;
  uint64_t exchanges;
  uint64_t exchange_parts;
  uint64_t cold[ADM_COLD_REASON_COUNT];
};

void sim_config_init (struct sim_config *config,
                      const struct mdl_profile *profile,
                      const struct mdl_service *service);
void sim_run (const struct sim_config *config, struct sim_result *result);

/* Returns the complete answers of a class per second of the measured time.  */
double sim_goodput (const struct sim_config *config,
                    const struct sim_result *result, size_t class_id);

#endif
