/* Target selection: the targets of each service as this daemon sees them, and
   the choice of the target for a send.  The platform's list says which targets
   are leaving, cold or gone.  This daemon's own sends show a target's latency
   and failure rate, whether it has stalled, and how long its queue is.  */

#ifndef STE_STEER_H
#define STE_STEER_H

#include "bucket.h"
#include "capacity.h"
#include "cat.h"
#include "extra.h"

#define STE_HOST_MAX 45

/* Time in microseconds that targets work on a request.  */
struct ste_work
{
  double mean;    /* moving average; 0: not known */
  uint64_t count; /* results counted in it */
};

/* Latency in microseconds of the parts of one route, over all its targets.  */
struct ste_latency
{
  double mean;          /* moving average, outliers clipped */
  double p90;           /* estimate of the 0.9 quantile, at least the mean */
  uint64_t count;       /* results counted in the estimates */
  struct ste_work work; /* of one part */
};

struct ste_service;

struct ste_target
{
  struct ste_service *service;
  struct ste_target *next; /* next target of the service */
  uint64_t key;            /* hash of the id */
  char id[CAT_MAX_TARGET_ID + 1];
  char host[STE_HOST_MAX + 1];
  uint16_t port;
  uint64_t dc;           /* hash of the data centre's name */
  unsigned int slots;    /* requests it runs at once, at least 1 */
  int64_t start_time_ms; /* of its process, as listed; 0: not stated */
  uint32_t version;      /* hash of its software's version */
  int64_t revision;      /* of the list entry */
  bool draining;
  bool announced_leaving; /* in a reply; holds as long as the process runs */
  bool gone;              /* removed from the list, or replaced */
  bool outside_subset;    /* see ste_choose_subsets */
  rw_time usable_until;   /* no sends from then on, if draining or gone; 0:
                             it did not begin to leave */
  rw_time doubtful_until; /* no sends before, as the list entry may be out of
                             date; 0: it is not */
  rw_time held_until; /* no sends before, as the target asked; 0: it did not */
  bool recovering;    /* was held, and has not answered since */
  bool limited;       /* names a limit of the requests that it takes */
  double limit_per_s; /* from all daemons together; if LIMITED */
  rw_time limit_since;     /* when it first named one */
  rw_time limit_heard_at;  /* last reply that named it; 0: none */
  uint64_t sends_in_limit; /* of this daemon, since LIMIT_SINCE */
  struct bkt_bucket limit; /* a request while LIMITED takes a token */
  rw_time cold_until;
  struct bkt_bucket warmup; /* a request to a cold target takes a token */
  bool warmup_begun;        /* WARMUP is initialised */

  struct ste_send *oldest_send; /* list of the sends without a result */
  struct ste_send *newest_send;
  unsigned int in_flight;   /* sends without a result */
  unsigned int refs;        /* pointers that requests hold */
  rw_time last_heard;       /* last reply of any kind; 0: none */
  rw_time last_reply;       /* last result, not STE_ABANDONED; 0: none */
  rw_time last_stall_end;   /* 0: none yet */
  rw_time last_pause_end;   /* of the last pause, see MIN_PAUSE_INTERVAL */
  double latency_ratio;     /* latency divided by route mean, moving average */
  rw_time latency_ratio_at; /* time of the last update */
  double failure_rate;      /* 0 to 1, moving average */
  rw_time failure_rate_at;  /* time of the last update */
  rw_time backoff_until;    /* end of the backoff; 0: none */
  unsigned int backoff_count; /* backoffs since the last success */
  rw_time failing_since;      /* first of them, without a long gap; if any */
  double queue_len;     /* requests running or waiting, as last reported */
  rw_time queue_len_at; /* time of the last update */
  bool reports_load;    /* in its replies */
  rw_time load_distrusted_until;
  double backlog;          /* requests waiting per slot, moving average */
  double backlog_mean;     /* of the reports, each with the same weight */
  rw_time backlog_at;      /* time of the last update */
  unsigned int running;    /* requests, as last reported */
  unsigned int waiting;    /* the same */
  unsigned int sent_since; /* requests of this daemon since that report */
  struct cap_target capacity;
  void *user; /* connection pool; set and freed by the caller */
};

/* A send that waits for its result.  The caller owns it, and keeps it until
   ste_on_result.  */
struct ste_send
{
  struct ste_target *target;
  struct ste_latency *latency; /* of the route */
  struct ste_send *prev;
  struct ste_send *next;
  rw_time sent_at;
  rw_time stall_deadline; /* the target stalls if it has not replied by then */
  double load; /* requests at the target at SENT_AT; -1: not known */
};

struct ste_service
{
  struct ste_service *next;
  uint64_t key; /* hash of the name */
  char name[128];
  struct ste_target *targets;
  size_t target_count;
  struct ext_budget budget;
  unsigned int max_connections; /* accepted by each target; 0: not stated */
  double warmup_limit_per_s;    /* to a cold target, all daemons; 0: none */
  rw_time handshake_time;       /* moving average; 0: not known */
  struct ste_work work;         /* of requests of all routes */
  struct cap_service capacity;
  double peer_delay;     /* in microseconds; see ste_on_delay_report */
  rw_time peer_delay_at; /* 0: none was reported */
  bool is_shard;         /* a shard of a route that gathers */
  bool without_capacity; /* as in the settings */
  bool of_peers;         /* its targets are other daemons */
};

/* The daemons of a data centre that divide limits, each weighted as in
   ste_limit_sharers.  */
struct ste_dc_sharers
{
  uint32_t dc;  /* low half of the hash of its name */
  size_t all;   /* for targets other than those of shards */
  size_t shard; /* for targets of shards */
};
#define STE_MAX_DCS 16

struct ste_settings
{
  uint64_t dc;         /* hash of the name of this daemon's data centre */
  uint64_t daemon_key; /* hash of this daemon's name, different for each */
  size_t daemon_count; /* estimate, at least 1 */
  /* The daemon divides the limits of the shards' targets by this number.  Some
     daemons send more requests to them than others, and take a larger
     share.  */
  size_t shard_sharers;
  /* Those of them that are known, this one included; none: not known yet.  */
  struct ste_dc_sharers dcs[STE_MAX_DCS];
  size_t dc_count;
  rw_time leave_time; /* how long a leaving target may still be used */
  /* Targets are compared by their last results alone, without the estimates
     of lib/capacity.  */
  bool without_capacity;
  /* How long the entry of a target that has ended may stay on the list.  */
  rw_time entry_lifetime;
};

#define STE_MAX_DCS_OUT 64
/* A store that lost the order to leave a data centre gets it again; until then
   the data centre counts as out of service, at most for this time.  */
#define STE_DC_HOLD_TIME (30 * RW_SEC)

/* A data centre out of service by an order that the store has lost.  */
struct ste_held_dc
{
  uint64_t dc; /* hash of the name */
  rw_time until;
};

/* What is kept of a target that left the list: its entry may come back, as the
   store can be restored from an older copy.  */
struct ste_departed
{
  uint64_t key;      /* of the id */
  uint64_t identity; /* hash of what tells its process from others */
  int64_t revision;  /* at which it left; 0: unused */
  rw_time usable_until;
  bool announced_leaving;
};
/* The oldest is dropped for a new one.  */
#define STE_MAX_DEPARTED 1024

struct ste_fleet
{
  struct ste_settings settings;
  struct rw_rng rng;
  struct rw_map services; /* by key */
  struct ste_service *first_service;
  struct rw_map targets;             /* those on the list, by key */
  uint64_t dcs_out[STE_MAX_DCS_OUT]; /* data centres out, by hash */
  size_t dcs_out_count;
  struct ste_held_dc held_dcs[STE_MAX_DCS_OUT];
  struct ste_departed *departed; /* STE_MAX_DEPARTED of them; null: none yet */
  size_t departed_next;          /* index of the next one to be written */
  rw_time next_subset_choice;
};

void ste_init (struct ste_fleet *fleet, const struct ste_settings *settings,
               uint64_t seed);
/* Frees all services and targets, but not the user data of the targets.  */
void ste_finish (struct ste_fleet *fleet);
/* Returns the service NAME, added if it is new.  The fleet owns it, and keeps
   it until ste_finish.  */
struct ste_service *ste_service (struct ste_fleet *fleet, struct rw_str name);
/* Sets without_capacity of the settings.  */
void ste_set_without_capacity (struct ste_fleet *fleet, bool without);
/* Clears is_shard of all services, before the shards of another configuration
   are marked.  */
void ste_clear_shards (struct ste_fleet *fleet);

/* Applies a list entry of REVISION.  Returns its target, which the fleet owns
   and ste_sweep frees, or null if REVISION is not above the known one.  An
   entry with another address, start time or service than the known target of
   its id makes a new target; the old one is gone.  The revision of a removed
   entry is not kept, so the caller must leave out entries older than that.

   In a new era of the store (see rw_revision_make) an entry may be older than
   what is known.  A target that was leaving or gone is then not used until it
   is certain that the entry is not that of an ended process, and a cold one
   stays cold.  A target that announced in a reply that it leaves, leaves
   whatever the entry says.  */
struct ste_target *ste_put (struct ste_fleet *fleet,
                            const struct cat_target *entry, int64_t revision,
                            rw_time now);
/* Applies the removal of a list entry at REVISION.  Ignored unless REVISION is
   above the known one.  */
void ste_remove (struct ste_fleet *fleet, struct rw_str id, int64_t revision,
                 rw_time now);
/* Records that TARGET announced in a reply that it is about to stop: it is
   used for leave_time, and only if no other is usable.  Returns whether that
   is news.  */
bool ste_on_leaving (struct ste_fleet *fleet, struct ste_target *target,
                     rw_time now);
/* Records that TARGET refused a request and wants none for DELAY, which counts
   as at most STE_MAX_HOLD_TIME.  Afterwards it gets one request at a time
   until it answers one.  */
#define STE_MAX_HOLD_TIME (300 * RW_SEC)
void ste_hold (struct ste_target *target, rw_time delay, rw_time now);
/* Records that TARGET takes at most PER_S requests a second, at least 0, from
   all daemons together.  Until the limit ends, this daemon sends at most its
   share.  Returns whether that is news.  */
bool ste_on_limit (struct ste_fleet *fleet, struct ste_target *target,
                   double per_s, rw_time now);
/* Records that a reply of TARGET to a request of SENT_AT named no limit.  RAN:
   TARGET ran the request and signed the reply; a refusal may be sent before
   the part of TARGET that knows its limit has seen the request.  The limit
   ends if RAN, unless it was named after the request was sent: replies on
   different connections may overtake each other.  Returns whether that is
   news.  */
bool ste_on_no_limit (struct ste_target *target, bool ran, rw_time sent_at);
/* Marks TARGET gone at once, as another target answers at its address.
   Nothing more is sent to it.  A later list entry of its id makes a new
   target.  */
void ste_mark_replaced (struct ste_fleet *fleet, struct ste_target *target,
                        rw_time now);
/* Frees the targets that are gone and past usable_until, and that no send or
   request refers to.  RELEASE frees the user data of a target, or returns
   false to keep the target until the next sweep.  */
void ste_sweep (struct ste_fleet *fleet,
                bool (*release) (void *arg, struct ste_target *target),
                void *arg, rw_time now);
/* Number by which this daemon divides the fleet-wide limits of SERVICE: those
   of connections and of extra sends.  */
size_t ste_limit_sharers (const struct ste_fleet *fleet,
                          const struct ste_service *service);
/* Chooses the connection subset of each service: the targets to which this
   daemon keeps connections.  These are all targets, or as many as the
   connection limit allows when all daemons do the same.  A target outside the
   subset still gets a send when it is expected to answer sooner than those
   inside.  Does nothing if the last choice is less than 500 ms old.  */
void ste_choose_subsets (struct ste_fleet *fleet, rw_time now);
/* Sets the data centres out of service, as hashes of their names.  Uses only
   the first STE_MAX_DCS_OUT of them.  DCS may be null if COUNT is 0.  */
void ste_set_dcs_out (struct ste_fleet *fleet, const uint64_t *dcs,
                      size_t count);

/* Counts the data centre DC, a hash, as out of service for STE_DC_HOLD_TIME,
   as the store lost the order without taking it back.  Does nothing if
   STE_MAX_DCS_OUT are held.  */
void ste_hold_dc_out (struct ste_fleet *fleet, uint64_t dc, rw_time now);
/* Ends that: the order was given again, or taken back.  */
void ste_release_dc (struct ste_fleet *fleet, uint64_t dc);

/* Returns whether a request may be sent to TARGET: its data centre is not out,
   it is not past its leaving time, its entry is not doubtful, and it did not
   ask to be left alone.  */
bool ste_usable (const struct ste_fleet *fleet,
                 const struct ste_target *target, rw_time now);
/* Returns whether SERVICE has a usable target.  */
bool ste_any_usable (const struct ste_fleet *fleet,
                     const struct ste_service *service, rw_time now);
/* Returns the time in microseconds, from NOW, until SERVICE has a usable
   target as far as is known: 0 if it has one, infinity if that cannot be
   known.  If targets that name a limit are all that is left, it is the time
   until any daemon may send to one of them.  */
double ste_time_until_usable (const struct ste_fleet *fleet,
                              const struct ste_service *service, rw_time now);
/* State of a target.  If several apply, leaving takes precedence over cold,
   and cold over stalled.  */
enum ste_state
{
  STE_HEALTHY,
  STE_COLD,    /* within its warm-up time */
  STE_LEAVING, /* draining, or gone from the list */
  STE_STALLED, /* see ste_stalled */
  STE_STATE_COUNT
};
enum ste_state ste_state_of (const struct ste_target *target, rw_time now);
/* The state's name in metrics, a static string.  */
const char *ste_state_name (enum ste_state state);
/* Returns whether TARGET has stopped answering: of the sends since its last
   reply, the oldest is past its stall deadline.  */
bool ste_stalled (const struct ste_target *target, rw_time now);
/* Counts the targets, without peers, that have sends of this daemon without a
   result, and those of them that have stalled.  */
void ste_count_waiting (const struct ste_fleet *fleet, size_t *waiting,
                        size_t *stalled, rw_time now);
/* Stores in TARGETS up to MAX usable targets, without peers, that replied
   last, and returns their number.  Of those that never replied, different
   daemons pick different ones.  */
size_t ste_pick_last_heard (const struct ste_fleet *fleet,
                            struct ste_target **targets, size_t max,
                            rw_time now);
/* Returns whether a target of SERVICE, all of which are in one place, is in
   backoff or has stalled while none of the others has replied lately: the
   place may be lost, and each target would otherwise be found out with a send.
 */
bool ste_in_doubt (const struct ste_service *service, rw_time now);
/* How the usable targets of a service fare.  */
struct ste_outlook
{
  bool has_target; /* one has not stalled, and did not fail lately */
  bool has_proven; /* such a one has not failed since its last success */
  rw_time outage;  /* how long all of them have failed or been silent; 0 if
                      has_target, RW_TIME_NEVER if none is usable */
};
struct ste_outlook ste_outlook_of (const struct ste_fleet *fleet,
                                   const struct ste_service *service,
                                   rw_time now);
/* Returns whether fewer than one request per slot waits at TARGET, as far as
   is known.  */
bool ste_has_room (const struct ste_target *target, rw_time now);
/* Records the delay, as ste_own_queue_delay returns it, that a peer knows
   which sends to SERVICE for this daemon.  */
void ste_on_delay_report (struct ste_service *service, double delay,
                          rw_time now);
/* Returns the time in microseconds that a request waits at the best target of
   SERVICE before that works on it, as far as is known here or at a peer;
   infinity if no target is usable.  */
double ste_queue_delay (const struct ste_fleet *fleet,
                        const struct ste_service *service, rw_time now);
/* The same from what is known here alone: what peers reported must not be
   reported to them again.  */
double ste_own_queue_delay (const struct ste_fleet *fleet,
                            const struct ste_service *service, rw_time now);
/* Returns the expected time in microseconds until TARGET answers a request of
   the route of LATENCY.  It includes penalties, such as those for another data
   centre, a stall, failures or leaving.  */
double ste_expected_time (const struct ste_fleet *fleet,
                          const struct ste_target *target,
                          const struct ste_latency *latency, rw_time now);
/* Returns the time in microseconds within which TARGET very probably answers a
   request of WORK, in microseconds, that comes after AHEAD others of this
   daemon.  It has no penalties: it is a time, not a preference.  */
double ste_safe_time (const struct ste_target *target, double work,
                      double ahead, rw_time now);
/* Stores in TIMES the shortest expected time of the usable targets of SERVICE
   in each of the data centres DCS, and infinity for the others; TIMES has room
   for MAX.  Data centres that are not among the *DC_COUNT known ones are
   added, but for this daemon's, up to MAX.  */
void ste_times_by_dc (const struct ste_fleet *fleet,
                      const struct ste_service *service,
                      const struct ste_latency *latency, uint64_t *dcs,
                      size_t *dc_count, size_t max, double *times,
                      rw_time now);
/* Returns the usable target with the shortest expected time plus a random
   jitter, or null if there is none.  Targets among TRIED are left out, and so
   are those that named a limit of which this daemon's share is spent.  A cold
   target of a service with a warm-up limit needs a token, which is spent if
   the target is picked.  */
struct ste_target *ste_pick (struct ste_fleet *fleet,
                             struct ste_service *service,
                             const struct ste_latency *latency,
                             struct ste_target *const *tried, size_t tried_n,
                             rw_time now);

/* Counts a request, which is about to be sent to TARGET, against the limit
   that TARGET names, if any.  */
void ste_spend_limit (const struct ste_fleet *fleet, struct ste_target *target,
                      rw_time now);
/* Initialises SEND and adds it to the sends in flight to TARGET.  LATENCY must
   outlive the send.  */
void ste_on_sent (struct ste_send *send, struct ste_target *target,
                  struct ste_latency *latency, rw_time now);
/* Records that TARGET showed at NOW that it works on a send in flight: it has
   not stalled.  */
void ste_on_progress (struct ste_target *target, rw_time now);
enum ste_outcome
{
  STE_OK,
  STE_SHED,     /* refused because of load */
  STE_FAILED,   /* error reply, malformed reply or broken connection */
  STE_ABANDONED /* given up by this daemon, no result */
};
/* Removes SEND from its target and counts OUTCOME in the averages of the
   target and the route.  Call it once for each ste_on_sent.  */
void ste_on_result (struct ste_send *send, enum ste_outcome outcome,
                    rw_time now);
/* Begins a backoff of a target that cannot be reached or that stalled, unless
   one is under way: the target is picked only if no other is better.  The time
   doubles with each backoff, up to a bound, until a send succeeds.  */
void ste_back_off (struct ste_target *target, rw_time now);
/* Ends the backoffs of all targets, without peers: it was this daemon that
   reached none of them.  */
void ste_forget_backoffs (struct ste_fleet *fleet);
/* Records the work figure that TARGET reported with a reply, as
   cap_on_figure.  */
void ste_on_work_figure (struct ste_target *target, unsigned int percent,
                         rw_time now);
/* Returns how much longer than usual a request of the service of TARGET takes
   there, once it runs: 1 as usual.  */
double ste_work_ratio (const struct ste_target *target, rw_time now);
/* Returns the factor of the time after which a send to TARGET is late: 1
   unless it is known to be faster or slower than others, and then within
   STE_MIN_HEDGE_FACTOR and STE_MAX_HEDGE_FACTOR.  */
#define STE_MIN_HEDGE_FACTOR 0.5
#define STE_MAX_HEDGE_FACTOR 2.0
double ste_hedge_factor (const struct ste_target *target, rw_time now);
/* Records the load that TARGET reported with a reply.  SLOTS is 0 if not
   stated.  */
void ste_on_load_report (struct ste_target *target, unsigned int running,
                         unsigned int waiting, unsigned int slots,
                         rw_time now);
/* Initialises the estimates of a route, which has no results yet, from its
   AIM.  */
void ste_latency_init (struct ste_latency *latency, rw_time aim);

#endif
