/* A service in virtual time: callers' queries, entry daemons with their gates,
   admission by lib/admit, and searchers by lib/model.  */

#ifndef LOAD_SIM_H
#define LOAD_SIM_H

#include "admit.h"
#include "model.h"

/* Who decides that an exchange with a target may start.  */
enum sim_design
{
  SIM_RELAY,      /* the target's one holder, which relays the parts */
  SIM_CREDITS,    /* one holder hands out credits; daemons dispatch */
  SIM_INDEPENDENT /* every daemon for itself, each with the full limits */
};

struct sim_class
{
  double rate; /* queries per second */
  int share;
  rw_time deadline; /* of a query, relative */
};

/* The rate of a class changes at a time.  */
struct sim_change
{
  rw_time at;
  size_t class_id;
  double rate;
};

#define SIM_CHANGES 4
#define SIM_SLICE (100 * RW_MSEC)
#define SIM_SLICES 400

struct sim_config
{
  enum sim_design design;
  struct mdl_config searcher;
  rw_time one_way_local;
  rw_time one_way_dc;
  int entries; /* 1 to 64 */
  int gate;    /* running queries per entry daemon */
  int shards;  /* 1 to 64 */
  int replicas;
  size_t classes;
  struct sim_class of[MDL_CLASS_MAX];
  size_t changes;
  struct sim_change change[SIM_CHANGES];
  bool warm;          /* the searchers start warm */
  rw_time restart_at; /* all searchers restart; 0: never */
  rw_time restart_down;
  rw_time measure_from; /* queries that arrive from then on are counted */
  rw_time end;
  bool hedge;
  unsigned int disabled; /* enum adm_mechanism */
  uint64_t seed;
};

struct sim_class_result
{
  uint64_t offered;
  uint64_t complete; /* answered in time with all shards */
  uint64_t partial;  /* answered in time with some shards */
  uint64_t refused;  /* at the gate */
  uint64_t parts_ok;
  struct rw_hist latency; /* of answered queries */
};

/* Queries by the time of their arrival, from 0 on.  */
struct sim_slice
{
  uint32_t offered[MDL_CLASS_MAX];
  uint32_t complete[MDL_CLASS_MAX];
};

struct sim_result
{
  struct sim_class_result of[MDL_CLASS_MAX];
  struct sim_slice slice[SIM_SLICES];
  int peak_permille; /* highest concurrency over what a searcher bears */
  int peak_permille_unnoticed;
  int peak_connections; /* to one searcher */
  uint64_t falls;
  uint64_t shed;
  uint64_t exchanges;
  uint64_t exchange_parts;
  uint64_t cold[ADM_COLD_REASON_COUNT];
};

void sim_config_init (struct sim_config *config,
                      const struct mdl_profile *profile,
                      const struct mdl_service *service);
void sim_run (const struct sim_config *config, struct sim_result *result);

/* Complete answers of a class per second of the measured time.  */
double sim_goodput (const struct sim_config *config,
                    const struct sim_result *result, size_t class_id);

#endif
