/* Goodput, isolation and recovery under overload.  */

#ifndef LOAD_OVERLOAD_H
#define LOAD_OVERLOAD_H

#include "sim.h"

/* Results of one service, with or without admission shares and refusal.  */
struct load_overload
{
  double goodput;        /* complete answers per second at capacity */
  double goodput_twice;  /* at twice the capacity */
  rw_time p99_alone;     /* of a class with 10% of the capacity */
  rw_time p99_loaded;    /* while another class has twice the capacity */
  double complete_alone; /* fraction of its queries that are complete */
  double complete_loaded;
  rw_time recovery; /* after the end of a surge; RW_TIME_NEVER: none seen */
};

int load_overload (int argc, char **argv);
double load_find_capacity (const struct sim_config *base);
void load_measure_overload (const struct sim_config *base, double capacity,
                            struct load_overload *result);

#endif
