/* A simulation model of the search targets: searchers with slots, cold start,
   stragglers and shedding; query arrivals; the sizes of both deployments.
   The model does no I/O and reads no clock: the caller passes the time and
   the random seeds, and owns the requests.  */

#ifndef MDL_MODEL_H
#define MDL_MODEL_H

#include "base.h"

/* A probability distribution of durations.  */
enum mdl_time_kind
{
  MDL_TIME_FIXED,
  MDL_TIME_EXPONENTIAL,
  MDL_TIME_LOGNORMAL
};
struct mdl_time
{
  enum mdl_time_kind kind;
  union
  {
    rw_time value; /* fixed */
    rw_time mean;  /* exponential */
    struct
    {
      rw_time median;
      double sigma;
    } lognormal;
  } u;
};

rw_time mdl_time_draw (const struct mdl_time *time, struct rw_rng *rng);

/* Properties of a searcher.  At most SLOTS requests run at once; others wait
   inside the searcher.  Its capacity, above which it is overloaded, is
   COLD_CAPACITY requests at once when it is cold, and grows by one for each
   REQUESTS_PER_SLOT requests served, up to SLOTS.  A cold searcher that holds
   more requests than its capacity crashes: it fails every request for
   CRASH_DOWNTIME and is cold afterwards.  */
struct mdl_config
{
  int slots;
  int max_connections;          /* most open at once */
  rw_time connect_time;         /* to open a connection */
  struct mdl_time service_time; /* of a request of one part */
  rw_time time_per_part;        /* added for each part after the first */
  int cold_capacity;            /* requests at once */
  int requests_per_slot;        /* served while cold, for each further slot */
  double cold_factor;           /* multiplies the service time while cold */
  rw_time crash_downtime;
  int shed_at; /* requests in flight at which it sheds; 0: never */
  rw_time shed_retry;
  double straggler_share;  /* fraction of the requests, 0 to 1 */
  double straggler_factor; /* multiplies their service time */
  /* When a searcher becomes cold without a restart, callers can detect that
     from its first answer, this long after the answer was sent.  */
  rw_time detection_delay;
};

/* One request at a searcher.  The caller owns the memory and keeps it valid
   from mdl_arrive until the request is refused, returned by mdl_next_done, or
   cancelled.  The caller sets PARTS, DEADLINE and USER.  */
enum mdl_end
{
  MDL_END_OK,
  MDL_END_FAILED, /* connection reset: the searcher restarted or crashed */
  MDL_END_EXPIRED /* dropped at its deadline */
};
struct mdl_request
{
  int parts;
  rw_time deadline; /* absolute */
  void *user;
  /* Set by the model.  */
  enum mdl_end end;
  rw_time arrived;
  rw_time done_at; /* end of service; RW_TIME_NEVER while it waits */
  bool running;
  struct mdl_request *prev;
  struct mdl_request *next;
};

struct mdl_stats
{
  uint64_t arrived;
  uint64_t ok;
  uint64_t parts_ok;
  uint64_t shed;
  uint64_t refused; /* while down or draining */
  uint64_t failed;
  uint64_t expired;
  uint64_t cancelled;
  uint64_t crashes;
  int peak_in_flight;   /* most requests in flight */
  int peak_connections; /* most connections at once */
  uint64_t connections_refused;
  /* The highest ratio of requests in flight to the capacity at that moment,
     in 1/1000.  Arrivals after the searcher became cold without a restart and
     before its callers could detect that count only in the second one.  */
  int peak_permille;
  int peak_permille_undetected;
};

struct mdl_searcher
{
  struct mdl_config config; /* may be changed at any time */
  struct rw_rng rng;
  uint64_t incarnation;
  struct mdl_request *head; /* in order of arrival */
  struct mdl_request *tail;
  int in_flight; /* requests running and waiting */
  int running;   /* of those, running */
  int served;    /* since it became cold; not counted once warm */
  bool draining;
  rw_time down_until;
  rw_time cold_known_at; /* when callers can detect that it is cold */
  bool cold_unannounced; /* became cold and has not answered since */
  int connections;
  struct mdl_stats stats;
};

/* The searcher starts cold; mdl_warm makes it warm at once.  */
void mdl_searcher_init (struct mdl_searcher *searcher,
                        const struct mdl_config *config, uint64_t seed);
void mdl_searcher_finish (struct mdl_searcher *searcher);

enum mdl_arrival
{
  MDL_ACCEPTED,
  MDL_SHED,     /* 503, not run */
  MDL_DRAINING, /* 503, not run */
  MDL_DOWN      /* connection refused or reset */
};
enum mdl_arrival mdl_arrive (struct mdl_searcher *searcher,
                             struct mdl_request *request, rw_time now);
/* Returns the next request that has ended by NOW, or null.  Call it until it
   returns null at the time that mdl_next_event returns, after mdl_arrive, and
   after the state changes below.  */
struct mdl_request *mdl_next_done (struct mdl_searcher *searcher, rw_time now);
rw_time mdl_next_event (const struct mdl_searcher *searcher);
void mdl_cancel (struct mdl_searcher *searcher, struct mdl_request *request,
                 rw_time now);

/* Returns the present capacity: the most requests, running and waiting, with
   which the searcher is not overloaded.  */
int mdl_capacity (const struct mdl_searcher *searcher);
/* Returns the requests in flight in percent of the capacity, which targets
   report at GET /load.  */
int mdl_load (const struct mdl_searcher *searcher);
bool mdl_is_down (const struct mdl_searcher *searcher, rw_time now);

/* Connections: false when the limit is reached or the searcher is down.  */
bool mdl_connect (struct mdl_searcher *searcher, rw_time now);
void mdl_disconnect (struct mdl_searcher *searcher);

/* State changes.  Requests that end by one are returned by mdl_next_done.  */
void mdl_warm (struct mdl_searcher *searcher);
void mdl_go_cold (struct mdl_searcher *searcher, rw_time now);
void mdl_restart (struct mdl_searcher *searcher, rw_time down, rw_time now);
void mdl_set_draining (struct mdl_searcher *searcher, bool draining);

/* Open-loop Poisson arrivals of several classes.  */
#define MDL_CLASS_MAX 8
struct mdl_arrivals
{
  struct rw_rng rng;
  size_t class_count;
  double rate[MDL_CLASS_MAX]; /* per second; 0: none */
  rw_time next[MDL_CLASS_MAX];
};

void mdl_arrivals_init (struct mdl_arrivals *arrivals, size_t classes,
                        uint64_t seed);
void mdl_arrivals_set_rate (struct mdl_arrivals *arrivals, size_t class_id,
                            double rate, rw_time now);
/* Time of the next arrival, RW_TIME_NEVER if none.  */
rw_time mdl_arrivals_next (const struct mdl_arrivals *arrivals);
/* Takes the next arrival, stores its time and returns its class.  */
size_t mdl_arrivals_take (struct mdl_arrivals *arrivals, rw_time *at);

/* Deployments.  */
struct mdl_service
{
  const char *name;
  bool once;
  int instances;
  int searchers; /* in each instance */
  int replicas;  /* searchers for each shard */
  rw_time deadline;
  struct mdl_config config;
};
struct mdl_profile
{
  const char *name;
  const char *dcs[3];
  rw_time one_way_dc;     /* between two data centres */
  rw_time one_way_local;  /* within one */
  rw_time one_way_client; /* to callers */
  int entry_vms;
  size_t class_count;
  const char *class_names[MDL_CLASS_MAX];
  size_t service_count;
  struct mdl_service service[4];
};

/* Returns the profile "gauteng" or "seoul", or null.  */
const struct mdl_profile *mdl_profile (struct rw_str name);

#endif
