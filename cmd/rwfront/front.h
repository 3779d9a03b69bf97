/* rwfront: a daemon that takes callers' HTTP requests, sends their parts to
   targets and merges the answers.  The platform's store is read-only for it.

   A request has one part, or for a gather route one part for each shard.  A
   send is one HTTP request for one part to one target: the first, a retry or
   a hedge.  A request over many shards may instead be forwarded whole to a
   peer with more processor time (a relay); daemons that are large enough to
   serve relays are called gatherers.

   main.c       command line
   settings.c   settings file
   daemon.c     start, periodic work, reload and stop
   store.c      calls to the store: paged reads and watches
   view.c       applies store items to the configuration and the targets
   peers.c      gossip, and transfers of the store's items between daemons
   callers.c    requests as they arrive, and those that wait for a
                configuration
   access.c     whose request it is
   request.c    one request from its arrival to its end
   plan.c       the parts, times and limits of a request
   parts.c      choice of targets, and the sends of parts
   peerlist.c   the peers that take requests: larger ones, and delegates
   relay.c      forwarding of requests to larger peers
   subquery.c   parts that are left to a delegate in another data centre
   overload.c   refusal of requests that targets have no room for
   quarantine.c requests that are held back, as they crash targets
   quota.c      quotas of organisations
   account.c    what callers and peers make the daemon hold
   pool.c       connection pool of each target
   feasible.c   requests that too few targets can answer
   reach.c      whether this daemon is cut off from the targets
   answer.c     answers to the caller, and the log line of each request
   stop.c       planned stop
   span.c       log lines for the sends of a request
   metrics.c    definitions of the metrics
   admin.c, config_admin.c   readiness, metrics, configuration over HTTP  */

#ifndef FRN_FRONT_H
#define FRN_FRONT_H

#include <netinet/in.h>

#include "account.h"
#include "cat.h"
#include "event.h"
#include "fair.h"
#include "follow.h"
#include "gather.h"
#include "gossip.h"
#include "h1.h"
#include "platform.h"
#include "quarantine.h"
#include "quota.h"
#include "reach.h"
#include "replica.h"
#include "shed.h"
#include "stat.h"
#include "steer.h"
#include "stop.h"
#include "subquery.h"

/* Fleet-wide limits (retry budgets, connections to targets, requests to cold
   targets) are divided by the number of daemons.  After a start this is at
   least the following number, until gossip has counted them.  */
#define FRN_ASSUMED_DAEMONS 20
#define FRN_MAX_SEEDS 8

/* What RWF_WITHOUT can switch off.  */
enum frn_mechanism
{
  FRN_MECH_HEDGES,     /* a second send of a part that is late */
  FRN_MECH_PARTIAL,    /* answers without late parts when they are due */
  FRN_MECH_ABANDON,    /* ending sends whose result is not needed */
  FRN_MECH_RELAYS,     /* queries left to larger peers */
  FRN_MECH_FALLBACKS,  /* requests left to peers while cut off */
  FRN_MECH_SUBQUERIES, /* parts left to daemons of other data centres */
  FRN_MECH_OVERLOAD,   /* refusals of what targets cannot answer in time */
  FRN_MECH_RETURNED,   /* estimate of the time that callers have spent */
  FRN_MECH_LATENESS,   /* answers sent earlier by what they are late */
  FRN_MECH_SUBSETS,    /* connections to some targets of a service only */
  FRN_MECH_PREOPEN,    /* connections opened in advance */
  FRN_MECH_QUARANTINE, /* holding back what crashes targets */
  FRN_MECH_FAIR,       /* shares of organisations under pressure */
  FRN_MECH_QUOTAS,     /* limits of organisations */
  FRN_MECH_INFEASIBLE, /* giving up queries that cannot be complete enough */
  FRN_MECH_CAPACITY,   /* estimates of the capacity of targets */
  FRN_MECH_COUNT
};

/* The settings file; see rwfront(8).  */
struct frn_settings
{
  char name[64];
  char dc[64];
  struct sockaddr_in caller_addr; /* listens here for callers */
  struct sockaddr_in ready_addr;  /* listens here: readiness and metrics */
  struct sockaddr_in store_addr;
  struct sockaddr_in peer_addr;   /* listens here for peers, TCP and UDP */
  struct sockaddr_in source_addr; /* connects to targets from here; family 0:
                                     from any address */
  struct sockaddr_in seeds[FRN_MAX_SEEDS]; /* only the hosts are used */
  size_t seed_count;
  unsigned int max_files; /* descriptor limit of the process */
  double cores;           /* processor time of this VM, in cores */
  unsigned int memory_mb; /* of this process, at most */
  bool first_start;       /* first start of the whole system: no copies yet */
  rw_time target_drain_time; /* a draining target serves this long */
  rw_time target_heartbeat;  /* interval at which targets renew their entry */
  rw_time stop_time;         /* from SIGTERM to SIGKILL */
  double budget_ratio;       /* hedges and retries per first send */
  double budget_slack;       /* additional ones per window, all daemons */
  rw_time budget_window;
  bool strict_revocation; /* a copy older than REVOCATION_TIME may not
                             admit keys */
  rw_time revocation_time;
  rw_time quota_window; /* see quo_settings */
  double quota_overshoot;
  double quota_slack;
  bool without[FRN_MECH_COUNT];
};

/* Parses lines NAME=VALUE.  Blank lines, lines that begin with # and unknown
   names are ignored; an empty value leaves the default.  Returns 0 or a
   negative error number; SETTINGS is not changed on an error.  */
int frn_settings_parse (struct rw_str text, struct frn_settings *settings,
                        struct rw_err *err);
/* Reads at most 64 KiB of the file PATH and parses them.  */
int frn_settings_read (const char *path, struct frn_settings *settings,
                       struct rw_err *err);

/* The fields and arguments of a log line for a revision.  */
#define FRN_REVISION_FORMAT "era=%lld revision=%lld"
#define FRN_REVISION_ARGS(r)                                                  \
  (long long)rw_revision_era (r), (long long)rw_revision_number (r)

/* The name of MECHANISM in RWF_WITHOUT, a static string.  */
const char *frn_mechanism_name (enum frn_mechanism mechanism);

/* How a request ended.  */
enum frn_outcome
{
  FRN_WHOLE,    /* merged answer with all parts */
  FRN_PARTIAL,  /* merged answer, some parts missing */
  FRN_PASSED,   /* answer of one target or of a peer, forwarded */
  FRN_REFUSED,  /* no target ran it; safe to repeat */
  FRN_FAILED,   /* failure answered; a target may have run it */
  FRN_GONE,     /* the caller disconnected before the answer */
  FRN_NO_ROUTE, /* 404 */
  FRN_NO_KEY,   /* 401 */
  FRN_INVALID,  /* 400, 408, 413, 431 */
  FRN_OUTCOME_COUNT
};

/* How a send ended, as counted by rwf_sends_total.  */
enum frn_send_outcome
{
  FRN_SEND_OK,
  FRN_SEND_REFUSED,   /* the target did not run it */
  FRN_SEND_BROKEN,    /* no connection, no valid reply, or a failure */
  FRN_SEND_ABANDONED, /* cancelled by this daemon */
  FRN_SEND_OUTCOME_COUNT
};

/* Why a request was refused without being run.  */
enum frn_refusal
{
  FRN_REFUSE_NO_CONFIG, /* no configuration is known yet */
  FRN_REFUSE_NO_TARGET, /* too few shards have a usable target */
  FRN_REFUSE_OVERLOAD,  /* the queues of the targets are too long */
  FRN_REFUSE_BUSY,      /* targets refused it or were unreachable */
  FRN_REFUSE_HELD,      /* it crashes targets */
  FRN_REFUSE_STALE,     /* keys may have been revoked meanwhile */
  FRN_REFUSE_QUOTA,     /* its organisation is beyond its limit */
  FRN_REFUSE_MEMORY,    /* callers hold all memory that they may */
  FRN_REFUSE_STOPPING,  /* the stop of this daemon leaves no time for it */
  FRN_REFUSAL_COUNT
};

/* Requests that could not be read, by the status of the answer.  */
enum frn_unreadable
{
  FRN_UNREADABLE_MALFORMED, /* 400 */
  FRN_UNREADABLE_SLOW,      /* 408 */
  FRN_UNREADABLE_BODY,      /* 413 */
  FRN_UNREADABLE_HEAD,      /* 431 */
  FRN_UNREADABLE_COUNT
};

struct frn_route_metrics
{
  struct sta_series *outcome[FRN_OUTCOME_COUNT];
  struct sta_series *latency;
  struct sta_series *refused_share;
  struct sta_series *queue_delay;
};

struct frn_metrics
{
  struct sta_set set;
  struct frn_route_metrics no_route; /* requests without a route */
  struct sta_series *refusal[FRN_REFUSAL_COUNT];
  struct sta_series *admission[STE_STATE_COUNT]; /* sends by target state */
  struct sta_series *send_outcome[FRN_SEND_OUTCOME_COUNT];
  struct sta_series *first_sends;
  struct sta_series *retries;
  struct sta_series *hedges;
  struct sta_series *infeasible;   /* given up before their deadline */
  struct sta_series *budget_empty; /* retries and hedges without budget */
  struct sta_series *relays;
  struct sta_series *subqueries;
  struct sta_series *subqueries_served;
  struct sta_series *conns_opened;
  struct sta_series *probes;
  struct sta_series *cut_off;
  struct sta_series *cut_offs;
  struct sta_series *store_calls;
  struct sta_series *store_errors;
  struct sta_series *transfers;
  struct sta_series *daemons;
  struct sta_series *store_lost;
  struct sta_series *store_era;
  struct sta_series *targets_leaving;
  struct sta_series *targets_held;
  struct sta_series *targets_limited;
  struct sta_series *limited_sends[GAT_SEND_KIND_COUNT];
  struct sta_series *targets_ended;
  struct sta_series *broken_answers;
  struct sta_series *capacity[3]; /* by frn_capacity_counter */
  struct sta_series *requests_held;
  struct sta_series *trials;
  struct sta_series *config_version;
  struct sta_series *config_age;
  struct sta_series *loop_lag;
  struct sta_series *memory;
  struct sta_series *dropped[ACC_CAUSE_COUNT]; /* connections */
  struct sta_series *held_bytes;
  struct sta_series *held_places;
  struct sta_series *unreadable[FRN_UNREADABLE_COUNT];
  struct sta_series *log_left_out; /* lines dropped by the rate limit */
};

/* Overload control of the requests of a route that have one rank: the priority
   of their organisation.  */
struct frn_shed_class
{
  unsigned int rank;
  struct shd_route shed;
  rw_time logged_at; /* last line about it; 0: none since it began */
};
/* The last class takes further ranks as well.  */
#define FRN_MAX_SHED_CLASSES 8

/* Statistics of a route, kept when the configuration changes.  Routes of
   several versions with the same name share them.  */
struct frn_route_stats
{
  struct ste_latency part_latency;
  struct ste_latency relay_latency; /* of whole requests at larger peers */
  struct ste_latency subquery_latency;
  struct sbq_sizes sizes;
  struct gat_patience patience;
  struct frn_shed_class shed_classes[FRN_MAX_SHED_CLASSES];
  size_t shed_class_count;
  rw_time next_probe;      /* see gat_begin_probe */
  struct rw_rng split_rng; /* draws the service of a split route */
  struct frn_route_metrics metrics;
};

/* The copy of the store's items, and what the current batch of changes has
   touched so far.  */
struct frn_view
{
  struct rep_replica replica;
  bool config_changed;
  char config_key[64];  /* item that holds the configuration */
  bool dcs_out_changed; /* the list of data centres out of service */
};

#define FRN_MAX_DELEGATE_DCS GOS_MAX_DELEGATE_DCS

/* The delegates of another data centre.  */
struct frn_delegates
{
  uint32_t dc; /* as in gos_member */
  struct ste_service *service;
};

/* The other daemons: gossip of members and revisions over UDP, and over TCP
   transfers of newer items and forwarded requests.  */
struct frn_peers
{
  struct gos_gossip gossip;
  uv_udp_t udp;
  char *recv_buf; /* GOS_MAX_DATAGRAM bytes */
  struct h1_limits limits;
  struct h1_server server;     /* transfers and relays, for peers */
  struct h1_client fetch_conn; /* to the peer of a transfer */
  bool fetch_conn_used;        /* FETCH_CONN is not finished yet */
  uint32_t fetch_from;         /* unused */
  rw_time fetch_deadline;
  rw_time next_fetch;
  int64_t newest_revision; /* highest one announced by a peer or read */
  rw_time current_at;      /* when the copy was last known current; 0: never */
  rw_time notified_at;     /* last notice of a change */
  bool notify_due;         /* peers are to be told of a change */
  rw_time no_read_before;  /* until then, only peers are asked */
  struct ste_service *larger_peers; /* its targets are the larger peers */
  /* Its targets are the peers that serve requests while this daemon is cut off
     from the targets; empty otherwise.  */
  struct ste_service *fallback_peers;
  rw_time small_fallbacks_until; /* small peers are among them */
  rw_time announced_at;          /* last notice that this daemon is cut off */
  struct frn_delegates delegates[FRN_MAX_DELEGATE_DCS];
  size_t delegate_dc_count;
  rw_time lists_next;     /* next update of these lists */
  int64_t lists_revision; /* last one given to an entry of them */
  size_t gatherer_count;  /* 0: all have a similar capacity */
  bool is_gatherer;       /* this daemon is one of them */
  uint32_t max_capacity;  /* of all daemons, in thousandths of a core */
};

/* The connection to the store and the call that is in progress.  */
struct frn_store
{
  struct h1_client conn;
  bool conn_used; /* CONN is in use by libuv until on_closed */
  bool stopped;   /* by frn_store_finish: CONN is not opened again */
  struct fol_reader reader;
  struct fol_call call;
  bool call_unsent; /* CALL is sent when the connection is open */
  uv_timer_t timer;
  rw_time call_deadline;
  char page_after[256];      /* last key of the previous page */
  struct rw_map listed_keys; /* key hashes seen in this paged read */
};

/* A connection to a target that only shows whether there is a way.  */
struct frn_probe
{
  struct h1_client conn;
  struct frn_daemon *daemon;
  bool used;     /* CONN is in use by libuv until on_closed */
  bool reported; /* its result */
  rw_time started;
  rw_time opened_at; /* 0: not yet */
};

struct frn_reach
{
  struct rch_reach state;
  struct frn_probe probes[RCH_ROUND_PROBES];
};

/* Requests that crash targets.  */
struct frn_quarantine
{
  struct qua_table table;
  uv_timer_t push_timer;      /* runs when news are to be sent */
  struct frn_request *waiter; /* waits for the grant of a trial; may be null */
};

/* Counters of an organisation with a quota.  */
struct frn_org_metrics
{
  struct sta_series *admitted;
  struct sta_series *refused;
};
/* Organisations with counters of their own; further ones share one pair.  */
#define FRN_MAX_ORG_METRICS 200

/* Quotas of organisations.  */
struct frn_quota
{
  struct rw_map metrics; /* struct frn_org_metrics by organisation */
  struct frn_org_metrics other_metrics;
  struct quo_table table;
  uv_timer_t timer;                 /* runs at quo_next_event */
  struct frn_request *first_waiter; /* requests that wait for a token */
  struct frn_request *last_waiter;
  unsigned int round; /* counts the times that they were tried again */
};

/* A request that waits for the first configuration.  */
struct frn_parked
{
  struct h1_conn *conn;
  rw_time arrived;
};
/* Above the number of connections that a few callers open while a daemon
   starts.  */
#define FRN_MAX_PARKED 128

struct frn_daemon
{
  uv_loop_t *loop;
  const char *settings_path;
  struct frn_settings settings;
  rw_time started;
  struct evt_log log;
  struct frn_metrics metrics;
  struct ste_fleet fleet;
  struct cat_config *config;  /* null: none is known yet */
  rw_time config_since;       /* when it came into force */
  struct rw_map route_stats;  /* struct frn_route_stats by hash of the name */
  struct rw_map shed_groups;  /* struct shd_group by key of a service */
  struct fai_table fair;      /* shares of organisations under pressure */
  struct acc_account account; /* of callers, peers and operators */
  uint64_t drops_logged;      /* connections dropped, in the last line */
  rw_time drops_logged_at;
  struct h1_budget reply_budget;  /* bodies of replies that are arriving */
  struct h1_limits caller_limits; /* from the configuration */
  struct h1_server caller_server;
  struct h1_limits admin_limits;
  struct h1_server admin_server;
  struct frn_view view;
  struct frn_store store;
  struct frn_peers peers;
  struct frn_reach reach;
  struct frn_quarantine quarantine;
  struct frn_quota quota;
  char *scratch; /* H1_READ_BUF_SIZE bytes, read buffer of outgoing connections
                  */
  uv_timer_t tick_timer;
  uv_signal_t sigterm;
  uv_signal_t sighup;
  rw_time last_tick;
  rw_time loop_lag;             /* delay of the last tick */
  struct gat_lateness lateness; /* of answers that were due */
  size_t request_count;         /* requests that are not freed yet */
  struct frn_parked parked[FRN_MAX_PARKED];
  size_t parked_count;
  struct stp_stop stop;   /* begun by SIGTERM */
  int64_t settings_mtime; /* ns; 0: could not be read */
};

struct frn_send;
struct frn_request;

/* Reads the settings, opens all listeners and starts to follow the store.
   Returns 0 or a negative error number with ERR set; the caller then exits,
   as not everything is closed.  */
int frn_daemon_init (struct frn_daemon *daemon, uv_loop_t *loop,
                     const char *settings_path, struct rw_err *err);
/* Closes and frees everything; runs the loop until all handles are closed.  */
void frn_daemon_finish (struct frn_daemon *daemon);
/* The number of connections that are accepted from callers, and as many from
   peers.  */
size_t frn_max_conns (const struct frn_daemon *daemon);
/* Whether the daemon serves: it has a configuration and at least one more item
   of the store, and is not stopping.  */
bool frn_is_ready (const struct frn_daemon *daemon);

/* Creates all series except those of single routes.  */
void frn_metrics_init (struct frn_metrics *metrics);
/* Returns the series of ROUTE, and creates them at the first call.  */
struct frn_route_metrics *frn_metrics_for_route (struct frn_metrics *metrics,
                                                 struct frn_route_stats *stats,
                                                 struct rw_str route);
/* Sets the gauges to their present values.  */
void frn_metrics_update (struct frn_daemon *daemon);
const char *frn_refusal_name (enum frn_refusal reason);
/* Listens for readiness checks and metric collectors.  Returns 0 or a negative
   error number.  */
int frn_admin_init (struct frn_daemon *daemon);

/* Starts to follow the store.  Returns 0 or a negative error number.  */
int frn_store_init (struct frn_daemon *daemon);
void frn_store_finish (struct frn_daemon *daemon);

/* The view.  */

/* Stores ITEM unless a newer one is known, and applies it.  The configuration
   and the data centres out of service are applied by frn_view_commit.  ARENA
   holds decoded values during the call.  */
void frn_view_put (struct frn_daemon *daemon, struct rw_arena *arena,
                   const struct rep_item *item);
/* Ends a full read: removes the items whose key's hash is not in LISTED,
   except those newer than REVISION.  In a new era of the store the
   configuration stays and is added to LISTED, and data centres stay out of
   service for a time.  */
void frn_view_retain (struct frn_daemon *daemon, struct rw_arena *arena,
                      int64_t revision, struct rw_map *listed);
/* Ends a batch of changes: all of them up to REVISION are known.  Returns
   whether REVISION is above the previous one.  */
bool frn_view_commit (struct frn_daemon *daemon, int64_t revision);

/* Peers.  */

/* Listens for peers on UDP and TCP, and sends a first message to each seed.
   Returns 0 or a negative error number.  */
int frn_peers_init (struct frn_daemon *daemon);
void frn_peers_finish (struct frn_daemon *daemon);
/* Makes the peers learn the data centre and the processor share of settings
   that were read again.  */
void frn_peers_update_settings (struct frn_daemon *daemon);
/* Periodic work: gossip, notices, transfers, and the estimate of the number of
   daemons.  */
void frn_peers_tick (struct frn_daemon *daemon, rw_time now);
/* Records that the store confirmed the copy at NOW, and announces a newer
   revision to peers.  */
void frn_peers_mark_current (struct frn_daemon *daemon, rw_time now);
/* Whether this daemon reads the store itself, rather than leaving that to
   others and fetching from them.  */
bool frn_peers_should_read_store (struct frn_daemon *daemon, rw_time now);
/* Tells some peers that this daemon is stopping.  */
void frn_peers_leave (struct frn_daemon *daemon);
/* Tells many peers whether this daemon is cut off from the targets, and
   updates the peers that serve its requests.  */
void frn_peers_announce_reach (struct frn_daemon *daemon);
/* Lists the peers that serve the requests of this daemon while it is cut
   off.  */
void frn_peerlist_update_fallbacks (struct frn_daemon *daemon, rw_time now);

/* Returns the route of MESSAGE, or null; a configuration must be known.  */
struct cat_route *frn_find_route (const struct frn_daemon *daemon,
                                  const struct h1_message *message);
/* Serves a request that arrived at START; a configuration must be known.
   RELAYED: a peer forwarded it.  */
void frn_request_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                        const struct h1_message *message, rw_time start,
                        bool relayed);

/* Requests.  */

enum frn_mode
{
  FRN_MODE_LOCAL, /* this daemon sends the parts */
  FRN_MODE_RELAY  /* forwarded whole to a larger peer */
};

/* A request of a caller, or of a smaller peer.  Allocated when it arrives and
   freed when it has ended and no send is in flight.  */
struct frn_request
{
  struct frn_daemon *daemon;
  enum frn_mode mode;
  bool relayed;            /* a peer forwarded it to this daemon */
  bool fell_back;          /* left to a peer, as this daemon was cut off */
  struct sbq_order *order; /* the subquery that it serves; null: none */
  int64_t time_left_ms; /* stated by the caller on arrival; -1: not stated */
  rw_time time_spent;   /* by earlier attempts of the caller, as estimated */
  struct rw_arena arena;
  struct h1_conn *conn; /* of the caller; null once the request has ended */
  struct cat_config *config; /* the version it began with; a reference */
  const struct org_organisation *organisation; /* of CONFIG; null: none */
  struct cat_route *route;
  struct frn_route_stats *stats;
  const struct shd_route *shed; /* that decided on it; null: none did */
  struct gat_query query;
  struct ste_service **services;   /* of each part */
  struct ste_target **tried;       /* targets of all sends; see tried_of */
  struct sbq_part *far_parts;      /* held back; null: none was yet */
  struct ste_target **far_targets; /* of each part that is held back */
  size_t far_count;
  struct frn_send *sends; /* newest first */
  uv_timer_t timer;
  rw_time start;
  rw_time deadline;           /* when to answer at the latest */
  rw_time caller_deadline;    /* when the caller gives up */
  rw_time next_interim;       /* relayed: when to send an interim reply */
  struct qua_attempt attempt; /* see lib/quarantine */
  bool awaits_trial;          /* until this daemon is granted one */
  bool checked_by_peer; /* a peer has checked the key and taken the token */
  bool has_token;       /* of its organisation's quota */
  bool awaits_quota;    /* in the list of waiters, like the next three */
  unsigned int quota_round;
  struct frn_request *quota_next;
  struct frn_request *quota_prev;
  struct rw_str id;
  /* Hash of what is asked and by whom: the same for all repeats, at every
     daemon.  */
  uint64_t key;
  struct rw_str method;
  struct rw_str path_query;
  struct rw_str header_lines; /* forwarded to targets, each ends in CR LF */
  struct rw_str body;
  struct acc_blob *body_blob; /* holds it; null: the arena does */
  size_t counted_bytes;       /* in the account */
  bool is_head;               /* HEAD: replies have no body */
  /* The reply of a single target or of a peer, forwarded as it is: a success,
     or a failure if no later attempt succeeds.  */
  struct h1_reply target_reply;
  bool has_target_reply;
  bool stopped;              /* it lacks sends, as this daemon stops */
  bool ended;                /* answered, or the caller disconnected */
  bool closing;              /* TIMER is being closed, then this is freed */
  unsigned int denied_sends; /* extra sends postponed for lack of budget */
  rw_time retry_after;       /* stated in the answer; -1: none */
  const char *last_error;    /* of a send, for the log; may be null */
  char last_target[64];      /* id of the target of that send */
};

extern const struct h1_server_ops frn_caller_ops;
/* Goes on with a request that is within its organisation's quota.  */
void frn_request_start (struct frn_request *request);
/* Goes on with a request that is not held back: sends its parts, or refuses
   it.  */
void frn_request_admit (struct frn_request *request);
/* Lets REQUEST wait for TIME_MS without a decision.  */
void frn_request_wait (struct frn_request *request, uint64_t time_ms);
/* Whether a send of REQUEST is queued or in flight.  */
bool frn_has_open_sends (const struct frn_request *request);
/* A request as it arrived.  */
struct frn_arrival
{
  struct h1_conn *conn;
  const struct h1_message *message;
  const struct plt_request *head; /* decoded head of MESSAGE */
  struct cat_route *route;        /* of the current configuration */
  const struct org_organisation *organisation; /* of it; null: none */
  const struct sbq_order *order; /* the subquery asked for; null: none */
  rw_time start;
  bool relayed;         /* a peer forwarded it */
  bool checked_by_peer; /* and names its organisation */
};
/* Starts the request of ARRIVAL, of which what is needed is copied.  */
void frn_request_begin (struct frn_daemon *daemon,
                        const struct frn_arrival *arrival);
/* Sends the parts that are due, then answers, fails or waits for the next
   event.  */
void frn_request_run (struct frn_request *request);
/* Answers the request with what is known of it, as this daemon exits.  */
void frn_request_stop (struct frn_request *request);
/* Frees the request if it has ended and no send is queued or in flight.  */
void frn_request_release (struct frn_request *request);
/* Returns the statistics of ROUTE, created at the first request.  */
struct frn_route_stats *frn_route_stats_of (struct frn_daemon *daemon,
                                            struct cat_route *route);
/* Sets the service of each part.  */
void frn_bind_services (struct frn_request *request);
/* Returns the time that the caller of REQUEST, which is MESSAGE, has spent on
   earlier attempts: as the peer that forwarded it states, or else as
   estimated.  */
rw_time frn_time_spent (struct frn_request *request,
                        const struct h1_message *message);
/* Returns the parts, times and limits of a request.  The time for a full-value
   answer is reduced by what the caller has spent on earlier attempts.  */
struct gat_plan frn_make_plan (struct frn_request *request);

/* Whether TARGET can answer a part of REQUEST, which comes after AHEAD others,
   before this daemon has to give its last answers as it stops.  */
bool frn_can_answer (const struct frn_request *request,
                     const struct ste_target *target, double ahead,
                     rw_time now);
/* Selects a target for PART and sends it there, or postpones the send.

   A retry may go to a target that was tried before if there is no other.  A
   first send without any target fails the part at once; so does a retry if no
   target of the service is usable, unless another send of the part is in
   flight, and so does either if this daemon stops before the answer.  Hedges
   and retries take from the service's retry budget; relays do not, as they
   have a single attempt.  */
void frn_try_part (struct frn_request *request, size_t part,
                   enum gat_send_kind kind, rw_time now);
void frn_abandon_sends (struct frn_request *request);
#define FRN_ALL_PARTS SIZE_MAX
/* Abandons the sends of PART alone, or of FRN_ALL_PARTS, as their results are
   not needed, if that is cheaper than to let them end.  */
void frn_abandon_if_cheaper (struct frn_request *request, size_t part);
/* Sends PART for the first time, to TARGET.  */
void frn_send_first (struct frn_request *request, size_t part,
                     struct ste_target *target, rw_time now);
/* Adds SEND, whose scope and target are set, to the request and sends it.  */
void frn_send_start (struct frn_request *request, struct frn_send *send,
                     enum gat_send_kind kind, rw_time now);
/* Records for the log that SEND failed for REASON, a static string.  */
void frn_set_last_error (struct frn_request *request,
                         const struct frn_send *send, const char *reason);
/* Called after the answer, or after the caller disconnected.  Abandons queued
   sends at once, and sends in flight at once or after a linger time in which
   they may end by themselves.  The request is freed after the last one.  */
void frn_request_end (struct frn_request *request);
/* The caller of CONN disconnected before the answer.  ARG is the daemon.  */
void frn_on_caller_gone (void *arg, struct h1_conn *conn);
/* Serves the requests that wait for a configuration once there is one, and
   refuses those that have waited too long.  */
void frn_parked_serve (struct frn_daemon *daemon, rw_time now);
/* Refuses the request of CONN, which waits for a configuration.  */
void frn_parked_refuse (struct frn_daemon *daemon, struct h1_conn *conn);
/* The target of SEND replied with MESSAGE; REPLY has its decoded headers.  The
   request may be freed by the call.  */
void frn_on_send_reply (struct frn_send *send,
                        const struct h1_message *message,
                        const struct plt_reply *reply);
/* SEND ended without a usable reply.  REASON is a static string for the log.
   The request may be freed by the call.  */
void frn_on_send_failed (struct frn_send *send, enum gat_failure failure,
                         const char *reason);
/* If SUCCESS, answers with the merged parts or with the reply of the target or
   peer, else with a failure.  Marks the request as ended.  */
void frn_answer_query (struct frn_request *request, bool success);
/* Answers 200 with HEADERS and the merged records of the parts that
   arrived.  */
void frn_answer_merged (struct frn_request *request, struct rw_str headers);
/* Answers STATUS without a body.  RETRY_AFTER is stated in a Retry-After
   header unless it is negative.  */
void frn_answer_refusal (struct h1_conn *conn, int status,
                         rw_time retry_after);
/* Answers 503, or 429 beyond a quota, to a request that no target has run, and
   counts the refusal.  */
void frn_refuse_request (struct frn_request *request, enum frn_refusal reason,
                         rw_time retry_after);
const char *frn_outcome_name (enum frn_outcome outcome);
/* Counts the request and writes its log line and spans.  STATUS is 0 if there
   was no answer.  */
void frn_log_outcome (struct frn_request *request, enum frn_outcome outcome,
                      int status);

/* The kind's name in logs and metrics, a static string.  */
const char *frn_send_kind_name (enum gat_send_kind kind);
/* Writes log lines for the sends of REQUEST: for each send if the request is
   sampled; else, unless it was answered IN_TIME, for each retry, hedge and
   first send without success.  */
void frn_spans_write (const struct frn_request *request, bool in_time);

/* Reach.  */

/* Periodic work: checks whether the targets can be reached, and writes a line
   when that changes.  */
void frn_reach_tick (struct frn_daemon *daemon, rw_time now);
/* Returns the address from which this daemon connects to targets, null: any.
 */
const struct sockaddr_in *frn_source_addr (const struct frn_daemon *daemon);
/* Closes the probes.  */
void frn_reach_finish (struct frn_daemon *daemon);

/* Sends the quota message MESSAGE to the daemon IP (host order).  */
void frn_peers_send_quota (struct frn_daemon *daemon, uint32_t ip,
                           struct rw_str message, rw_time now);
/* Sends EVIDENCE alone to the daemon IP (host order).  */
void frn_peers_send_evidence (struct frn_daemon *daemon, uint32_t ip,
                              struct rw_str evidence, rw_time now);

/* Overload.  */

/* Decides whether a request whose query is initialised is admitted.  Refuses
   it if not, and returns false.  */
bool frn_overload_admit (struct frn_request *request);
void frn_overload_finish (struct frn_daemon *daemon);

/* Sends and connection pools.  */

enum frn_send_state
{
  FRN_SEND_QUEUED, /* waits for a connection */
  FRN_SEND_SENT,
  FRN_SEND_ENDED
};

/* What a send carries.  */
enum frn_scope
{
  FRN_SCOPE_PART,     /* one part, to a target */
  FRN_SCOPE_SUBQUERY, /* several parts, to a delegate */
  FRN_SCOPE_QUERY     /* the whole request, to a larger peer */
};

/* One send to one target or peer.  In the arena of its request.  */
struct frn_send
{
  struct ste_send steer; /* first: frn_pool_close casts a pointer to it */
  struct frn_request *request;
  struct frn_send *next; /* next older send of the request */
  enum frn_scope scope;
  union
  {
    size_t part; /* PART; QUERY: 0, its only part */
    struct
    {
      uint32_t *parts;
      size_t count;
      unsigned int attempts; /* of each part */
    } subquery;
  } u;
  enum frn_send_state state;
  enum gat_send_kind kind;
  enum ste_outcome outcome; /* ENDED */
  rw_time ended_at;         /* ENDED */
  struct ste_target *target;
  struct frn_pool_conn *conn;  /* SENT */
  struct frn_send *queue_next; /* QUEUED */
};

/* A connection to a target.  Carries one request at a time.  */
struct frn_pool_conn
{
  struct h1_client h1;
  struct acc_account *account; /* in which its descriptor counts */
  struct frn_pool *pool;
  struct frn_pool_conn *next; /* of the pool */
  struct frn_send *send;      /* in flight; null: none */
  uint64_t last_id; /* hash of the id of the last request sent; 0: none */
  rw_time opened_at;
  rw_time idle_since; /* 0: not connected yet */
  rw_time idle_limit; /* not reused after this idle time; 0: no limit */
  bool proven;        /* a way to the target: it stayed open or was used */
};

/* A request that was at a target when its connection was lost.  */
struct frn_loss
{
  uint64_t key;
  rw_time sent_at;
  bool completed; /* in part, by another target */
  char id[64];    /* of the request */
};
#define FRN_MAX_LOSSES 16

/* The connections to one target, and the sends that wait for one.  Created at
   the first use of the target and kept in its user pointer.  */
struct frn_pool
{
  struct frn_daemon *daemon;
  struct ste_target *target;
  struct frn_pool_conn *conns;
  size_t conn_count;
  struct frn_send *queue_head; /* oldest first */
  struct frn_send *queue_tail;
  bool ever_opened;  /* a connection was started once */
  rw_time last_used; /* last call of frn_pool_send; 0: never */
  /* Requests that were lost at LOST_AT and before, until it is known whether
     the target's process has ended.  */
  struct frn_loss losses[FRN_MAX_LOSSES];
  size_t loss_count;
  rw_time lost_at;
  bool refuses; /* a connection failed to open since the last loss */
};

/* Whether SEND carries PART.  */
bool frn_send_has_part (const struct frn_send *send, size_t part);
/* Sends SEND to its target, or queues it until a connection is free.  */
void frn_pool_send (struct frn_daemon *daemon, struct frn_send *send);
/* Cancels a send whose result is not needed: takes it from the queue, or
   closes its connection.  Does nothing if it has ended.  */
void frn_send_abandon (struct frn_send *send);
/* Periodic work: closes connections that failed to open in time or were idle
   too long, and opens some in advance.  */
void frn_pool_sweep (struct frn_daemon *daemon, rw_time now);
/* Closes and frees the pool of TARGET; returns false if sends are queued.  A
   callback of ste_sweep, which frees the target after it returned true.  */
bool frn_pool_release (void *arg, struct ste_target *target);
/* Abandons every send to TARGET and frees its pool.  */
void frn_pool_close (struct ste_target *target);
/* Appends the head of the HTTP request of SEND.  */
void frn_request_write (const struct frn_send *send, struct rw_buf *out);

#endif
