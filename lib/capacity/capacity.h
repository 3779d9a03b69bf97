/* Capacity of the targets of a service, as one daemon measures it: how long
   each target works on a request compared to the mean of the service, and from
   which load on it slows down.  The evidence is the time of the daemon's own
   requests and the load that replies report.  Estimates return to the mean of
   the service without new evidence.  Nothing here reads a clock.  */

#ifndef CAP_CAPACITY_H
#define CAP_CAPACITY_H

#include "base.h"

/* The load of a target, as a fraction of its slots, is divided into steps: the
   first is idle, the last has all slots taken.  */
#define CAP_STEPS 11

/* Moving average with the number of results that it rests on.  */
struct cap_mean
{
  double value;
  double count;
};

/* What is known of the targets of a service together.  */
struct cap_service
{
  struct cap_mean figure;           /* reported work figure, 1: as usual */
  struct cap_mean figure_deviation; /* of the figures from 1 */
  struct cap_mean steps[CAP_STEPS]; /* as in cap_target */
  struct cap_mean level;    /* as WORK of cap_target, over all results */
  struct cap_mean interval; /* usual time between results of a target */
  rw_time result_at;        /* last result of any target; 0: none */
  rw_time compared_at;      /* last update of UNEVENNESS */
  /* How far the targets are known to differ from each other or to slow down: 0
     (not at all) to 1.  The estimates are used in this proportion.  */
  double unevenness;
  /* The parts of it that are due to speeds and to slow-downs.  */
  double speed_share;
  double slowdown_share;
};

struct cap_target
{
  struct cap_mean
      work; /* logarithm of the time of work divided by the service's
               mean, without the effects of load and figure */
  struct cap_mean clear; /* WORK of results whose wait is known */
  double work_variance;
  double recent;   /* the same average over the last few results */
  rw_time work_at; /* last update; 0: none */
  struct cap_mean steps[CAP_STEPS]; /* logarithm of the time of work by load,
                                       less WORK */
  double slowdown[CAP_STEPS];       /* what follows from them and those of the
                                       service; not set before the first result */
  unsigned int slots;               /* as last reported; 0: not known */
  struct cap_mean figure;
  double last_figure;
  rw_time figure_at;    /* 0: none was reported */
  struct cap_mean load; /* requests running or waiting */
  double last_load;
  rw_time load_at;  /* 0: none was reported */
  double announced; /* value of WORK in the last announced change; 0: none */
};

/* The result of one request.  */
struct cap_sample
{
  double latency; /* in microseconds */
  double usual;   /* mean time of work of such requests at the service */
  bool has_load;  /* the reply reported the next three */
  unsigned int running;
  unsigned int waiting;
  unsigned int slots;
  size_t targets;     /* of the service */
  double load_before; /* requests at the target when this one was sent; -1:
                         not known */
};

/* An estimate for requests that are sent now.  */
struct cap_estimate
{
  double work;       /* time of work divided by the service's mean, at the load
                        expected now */
  double alone;      /* the same at low load */
  double base;       /* the same at low load and with a usual figure */
  double burden;     /* time by which one more request lengthens the others
                        that run, divided by the service's mean work */
  double load;       /* requests running or waiting; -1: not known */
  double bearable;   /* requests that the target runs before it slows down */
  double confidence; /* 0 to 1 */
  rw_time age;       /* of the newest evidence; -1: there is none */
};

/* Bounds of a figure in percent that counts.  */
#define CAP_MIN_FIGURE 1
#define CAP_MAX_FIGURE 100000

/* Records that TARGET reported the work figure PERCENT, CAP_MIN_FIGURE to
   CAP_MAX_FIGURE: how long work takes there at the moment, 100 as usual.  */
void cap_on_figure (struct cap_target *target, struct cap_service *service,
                    unsigned int percent, rw_time now);
/* Records that TARGET reported LOAD requests running or waiting.  */
void cap_on_load (struct cap_target *target, const struct cap_service *service,
                  double load, rw_time now);
/* Records the result of a request to TARGET.  What its reply reported must
   have been recorded before.  */
void cap_on_result (struct cap_target *target, struct cap_service *service,
                    const struct cap_sample *sample, rw_time now);
/* Returns the estimate of TARGET, which has SLOTS slots and ADDED requests
   more than it last reported.  */
struct cap_estimate cap_estimate (const struct cap_target *target,
                                  const struct cap_service *service,
                                  unsigned int slots, unsigned int added,
                                  rw_time now);
/* Returns whether the targets of SERVICE are to be compared again.  */
bool cap_comparison_due (const struct cap_service *service, rw_time now);
/* A comparison of the targets of a service.  */
struct cap_comparison
{
  double sum;      /* of logarithms of the time of work */
  double squares;  /* of the same, summed */
  double noise;    /* part of SQUARES that is due to chance */
  size_t count;    /* targets in these */
  double highest;  /* logarithm that is surely exceeded, of any target */
  double lowest;   /* the same the other way */
  double slowdown; /* logarithm, of the target that slows down most, less what
                      its number of slots makes likely */
};

/* Adds TARGET to COMPARISON, which is zeroed at first.  */
void cap_compare (struct cap_comparison *comparison,
                  const struct cap_target *target,
                  const struct cap_service *service, rw_time now);
/* Sets the unevenness of SERVICE after all its targets were compared.  */
void cap_set_unevenness (struct cap_service *service,
                         const struct cap_comparison *comparison, rw_time now);
/* Returns whether the estimate of TARGET differs by more than a third, and by
   more than chance explains, from the last one for which this function
   returned true, or from 1.  */
bool cap_take_change (struct cap_target *target,
                      const struct cap_service *service, rw_time now);

#endif
