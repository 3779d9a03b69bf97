/* Targets of each service as this daemon sees them, and the choice of the
   target for a send.  What is known of a target comes from the platform's list
   (leaving, cold, gone) and from this daemon's own sends: how slow it is, how
   often it fails, whether it has stopped answering, how long its queue is.  */

#ifndef STE_STEER_H
#define STE_STEER_H

#include "cat.h"
#include "extra.h"

#define STE_HOST_MAX 45

/* Latency of the parts of one route, the same for all its targets.  */
struct ste_latency
{
  double mean; /* us */
  double p90;  /* us: about 9 of 10 parts are faster */
  uint64_t count;
};

struct ste_service;

struct ste_target
{
  struct ste_service *service;
  struct ste_target *next; /* of the service */
  uint64_t key;            /* hash of the id */
  char id[128];
  char host[STE_HOST_MAX + 1];
  uint16_t port;
  uint64_t dc; /* hash of its data centre */
  unsigned int slots;
  int64_t start_time_ms;
  int64_t revision; /* of the list entry */
  bool draining;
  bool gone;            /* not on the list any more */
  bool outside_subset;  /* this daemon keeps no connection to it */
  rw_time usable_until; /* draining or gone: last time to send */
  rw_time cold_until;
  double warmup_tokens;
  rw_time warmup_refilled_at;

  struct ste_send *oldest_send; /* oldest send without a result */
  struct ste_send *newest_send;
  unsigned int in_flight;
  unsigned int refs;      /* pointers of requests; not freed before they end */
  rw_time last_reply;     /* last reply */
  rw_time last_stall_end; /* of the last stall */
  rw_time last_pause_end; /* of the last stall that counts as a pause */
  double latency_ratio;   /* latency over that of the route, moving average */
  rw_time latency_ratio_at;
  double failure_rate; /* part of the sends that fail, moving average */
  rw_time failure_rate_at;
  rw_time backoff_until;      /* after a failure that concerns all sends */
  unsigned int backoff_count; /* times in a row */
  double queue_len;           /* requests it reported running or waiting */
  rw_time queue_len_at;
  void *user; /* of the connections; freed by their owner */
};

/* One send that waits for its result.  Owned by the caller.  */
struct ste_send
{
  struct ste_target *target;
  struct ste_latency *latency;
  struct ste_send *prev;
  struct ste_send *next;
  rw_time sent_at;
  rw_time
      stall_deadline; /* without any sign of life until then, it is stalled */
};

struct ste_service
{
  struct ste_service *next;
  uint64_t key;
  char name[128];
  struct ste_target *targets;
  size_t target_count;
  struct ext_budget budget;
  unsigned int max_connections; /* a target's limit; 0: not stated */
  double warmup_limit_per_s;
  rw_time handshake_time; /* usual time of a new connection; 0: not known */
  bool is_shard;          /* a shard of a query over many */
};

struct ste_settings
{
  uint64_t dc;          /* of this daemon */
  uint64_t daemon_key;  /* of this daemon, different for each */
  size_t daemon_count;  /* estimate, at least 1 */
  size_t shard_sharers; /* those that share what the shards bear */
  rw_time leave_time;   /* a leaving target may still be used this long */
};

#define STE_MAX_DCS_OUT 64

struct ste_fleet
{
  struct ste_settings settings;
  struct rw_rng rng;
  struct rw_map services; /* by key */
  struct ste_service *first_service;
  struct rw_map targets;             /* by key */
  uint64_t dcs_out[STE_MAX_DCS_OUT]; /* data centres taken out of service */
  size_t dcs_out_count;
  rw_time next_subset_choice; /* of the targets to keep connections to */
};

void ste_init (struct ste_fleet *fleet, const struct ste_settings *settings,
               uint64_t seed);
void ste_finish (struct ste_fleet *fleet);
/* Services stay until ste_finish.  */
struct ste_service *ste_service (struct ste_fleet *fleet, struct rw_str name);

/* An entry of the list at REVISION, or null if it is older than what is known.
   An id with another address or another start is a new target: the old one is
   gone.  */
struct ste_target *ste_put (struct ste_fleet *fleet,
                            const struct cat_target *entry, int64_t revision,
                            rw_time now);
/* The entry of the target left the list at REVISION.  */
void ste_remove (struct ste_fleet *fleet, struct rw_str id, int64_t revision,
                 rw_time now);
/* Another target has the address: nothing is sent to this one any more, until
   a later entry of the list names it.  */
void ste_mark_replaced (struct ste_fleet *fleet, struct ste_target *target,
                        rw_time now);
/* Frees the targets that are gone and that nobody uses.  RELEASE frees their
   user data, or returns false to keep the target.  */
void ste_sweep (struct ste_fleet *fleet,
                bool (*release) (void *arg, struct ste_target *target),
                void *arg, rw_time now);
/* Daemons that share the connections to the targets of SERVICE.  */
size_t ste_connection_sharers (const struct ste_fleet *fleet,
                               const struct ste_service *service);
/* Chooses the targets that this daemon keeps connections to: all, or as many
   as the daemons together may.  The others are used where these are unwell. */
void ste_choose_subsets (struct ste_fleet *fleet, rw_time now);
void ste_set_dcs_out (struct ste_fleet *fleet, const uint64_t *dcs,
                      size_t count);

/* Whether a request may be sent to the target at all.  */
bool ste_usable (const struct ste_fleet *fleet,
                 const struct ste_target *target, rw_time now);
/* Whether a request may be sent to any target of SERVICE.  */
bool ste_any_usable (const struct ste_fleet *fleet,
                     const struct ste_service *service, rw_time now);
/* What a target is like at the moment.  */
enum ste_state
{
  STE_HEALTHY,
  STE_COLD,    /* has just started */
  STE_LEAVING, /* drains, or is gone from the list */
  STE_STALLED, /* has stopped answering */
  STE_STATE_COUNT
};
enum ste_state ste_state_of (const struct ste_target *target, rw_time now);
const char *ste_state_name (enum ste_state state);
bool ste_stalled (const struct ste_target *target, rw_time now);
/* Expected time in us until the target answers a request of the route.  */
double ste_expected_time (const struct ste_fleet *fleet,
                          const struct ste_target *target,
                          const struct ste_latency *latency, rw_time now);
/* The best target that is not among TRIED, or null.  A cold target is taken
   only with a token, which the choice spends.  */
struct ste_target *ste_pick (struct ste_fleet *fleet,
                             struct ste_service *service,
                             const struct ste_latency *latency,
                             struct ste_target *const *tried, size_t tried_n,
                             rw_time now);

void ste_on_sent (struct ste_send *send, struct ste_target *target,
                  struct ste_latency *latency, rw_time now);
enum ste_outcome
{
  STE_OK,
  STE_SHED,     /* refused because it is full */
  STE_FAILED,   /* answered with a failure, or garbage, or broke off */
  STE_ABANDONED /* nobody waits for it any more */
};
void ste_on_result (struct ste_send *send, enum ste_outcome outcome,
                    rw_time now);
/* The target cannot be reached.  */
void ste_back_off (struct ste_target *target, rw_time now);
void ste_on_load_report (struct ste_target *target, unsigned int running,
                         unsigned int waiting, unsigned int slots,
                         rw_time now);
void ste_latency_init (struct ste_latency *latency, rw_time aim);

#endif
