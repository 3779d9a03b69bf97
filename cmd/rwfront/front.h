/* The daemon of the query tier on a platform whose store can only be read.
   daemon.c: life cycle and timers.  store.c: configuration and targets from
   the store.  callers.c: requests as they arrive.
   request.c: one request from its beginning to its sends.  answer.c:
   what the caller gets.  pool.c: links to targets.  admin.c: readiness and
   metrics.  */

#ifndef FRN_FRONT_H
#define FRN_FRONT_H

#include <netinet/in.h>

#include "cat.h"
#include "event.h"
#include "follow.h"
#include "gather.h"
#include "gossip.h"
#include "h1.h"
#include "platform.h"
#include "replica.h"
#include "stat.h"
#include "steer.h"

/* Daemons assumed to share the sums until their number is known.  */
#define FRN_LEAST_DAEMONS 20
#define FRN_MAX_SEEDS 8

/* The settings of a daemon, from its settings file.  */
struct frn_settings
{
  char name[64];
  char dc[64];
  struct sockaddr_in callers; /* where callers connect */
  struct sockaddr_in ready;   /* readiness and metrics */
  struct sockaddr_in store;
  struct sockaddr_in peers; /* for other daemons */
  struct sockaddr_in seeds[FRN_MAX_SEEDS];
  size_t seed_count;
  unsigned int max_files;
  double cores;       /* of the VM's processor, for this daemon */
  bool first_start;   /* the whole system starts for the first time */
  rw_time drain_time; /* a leaving target serves this long */
  rw_time stop_time;  /* from SIGTERM to SIGKILL */
  double extra_ratio; /* extra sends for each request */
  double extra_slack; /* further ones in a window, of all daemons */
  rw_time extra_window;
};

int frn_settings_parse (struct rw_str text, struct frn_settings *settings,
                        struct rw_err *err);
int frn_settings_read (const char *path, struct frn_settings *settings,
                       struct rw_err *err);

enum frn_outcome
{
  FRN_WHOLE,    /* all parts */
  FRN_PARTIAL,  /* some shards are missing */
  FRN_PASSED,   /* a target's own answer */
  FRN_REFUSED,  /* not run */
  FRN_FAILED,   /* may have run */
  FRN_GONE,     /* the caller left */
  FRN_NO_ROUTE, /* 404 */
  FRN_INVALID,  /* 400, 408, 413, 431 */
  FRN_OUTCOMES
};

enum frn_send_outcome
{
  FRN_SEND_OK,
  FRN_SEND_REFUSED,
  FRN_SEND_BROKEN,
  FRN_SEND_ABANDONED,
  FRN_SEND_OUTCOMES
};

/* Why a request was refused.  */
enum frn_refusal
{
  FRN_REFUSE_NO_CONFIG, /* none is known yet */
  FRN_REFUSE_NO_TARGET, /* too few shards have a target */
  FRN_REFUSE_BUSY,      /* the targets refused it, or could not be reached */
  FRN_REFUSALS
};

struct frn_route_metrics
{
  struct sta_series *outcome[FRN_OUTCOMES];
  struct sta_series *latency;
};

struct frn_metrics
{
  struct sta_set set;
  struct frn_route_metrics no_route; /* requests that reached no route */
  struct sta_series *refusal[FRN_REFUSALS];
  struct sta_series *admission[STE_STATES];
  struct sta_series *send_outcome[FRN_SEND_OUTCOMES];
  struct sta_series *first;
  struct sta_series *retries;
  struct sta_series *hedges;
  struct sta_series *budget_empty;
  struct sta_series *relays;
  struct sta_series *links;
  struct sta_series *store_calls;
  struct sta_series *store_errors;
  struct sta_series *transfers;
  struct sta_series *daemons;
  struct sta_series *store_age;
  struct sta_series *config_version;
  struct sta_series *config_age;
  struct sta_series *loop_lag;
  struct sta_series *memory;
  struct sta_series *log_left_out;
};

/* What is remembered of a route over all versions of the configuration.  */
struct frn_route_stats
{
  struct ste_latency latency; /* of its parts */
  struct ste_latency relay;   /* of whole requests at a larger peer */
  int64_t budget_ms;          /* the longest time that callers have waited */
  struct rw_rng rng;          /* draws the service of a split */
  struct frn_route_metrics metrics;
};

/* What this daemon knows of the store, and what follows from it.  */
struct frn_view
{
  struct rep_replica replica;
  bool config_changed; /* in the present batch of changes */
  char config_key[64];
  bool dcs_changed;
};

/* Other daemons: membership, and copies of the store from daemons that are
   ahead.  */
struct frn_peers
{
  struct gos_gossip gossip;
  uv_udp_t udp;
  char *datagram;
  struct h1_limits limits;
  struct h1_server views;
  struct h1_client link; /* for one transfer */
  bool link_used;
  uint32_t fetch_from;
  rw_time fetch_deadline;
  rw_time fetch_next;
  int64_t wanted;    /* the newest revision that a peer said it has */
  rw_time fresh;     /* when the copy was known to be current; 0: never */
  rw_time told;      /* of the last notice of a change */
  bool tell;         /* a notice is due */
  rw_time read_from; /* before it, the store is left alone */
  struct ste_service *large; /* peers that gather for smaller ones */
  rw_time large_next;
  int64_t large_revision;
  size_t gatherers; /* daemons that gather for others; 0: each for itself */
  bool gathers;     /* this daemon is one of them */
};

struct frn_store
{
  struct h1_client link;
  bool link_used; /* the memory of LINK belongs to libuv */
  bool ended;     /* LINK is to be opened again */
  struct fol_reader reader;
  struct fol_call call;
  bool waiting; /* CALL is to be sent once the link is open */
  uv_timer_t timer;
  rw_time call_deadline;
  char after[256];      /* key after which the next page begins */
  struct rw_map listed; /* keys on the pages of this reading */
};

/* A request that arrived before the first configuration.  */
struct frn_parked
{
  struct h1_conn *conn;
  rw_time since;
};
/* More than the connections that a few callers open in a daemon's start.  */
#define FRN_MAX_PARKED 128

struct frn_daemon
{
  uv_loop_t *loop;
  const char *settings_path;
  struct frn_settings settings;
  struct evt_log log;
  struct frn_metrics metrics;
  struct ste_fleet fleet;
  struct cat_config *config; /* null: none known yet */
  rw_time config_since;
  struct rw_map routes; /* frn_route_stats by hash of the name */
  struct h1_limits limits;
  struct h1_server callers;
  struct h1_limits admin_limits;
  struct h1_server admin;
  struct frn_view view;
  struct frn_store store;
  struct frn_peers peers;
  char *scratch;
  uv_timer_t tick;
  uv_signal_t sigterm;
  uv_signal_t sighup;
  rw_time ticked;
  rw_time lag;     /* of the last tick */
  size_t requests; /* not yet freed */
  struct frn_parked parked[FRN_MAX_PARKED];
  size_t parked_count;
  bool stopping;
  rw_time stop_began;
  int64_t settings_mtime;
};

struct frn_send;
struct frn_request;

int frn_daemon_init (struct frn_daemon *daemon, uv_loop_t *loop,
                     const char *settings_path, struct rw_err *err);
void frn_daemon_finish (struct frn_daemon *daemon);
bool frn_is_ready (const struct frn_daemon *daemon);

void frn_metrics_init (struct frn_metrics *metrics);
struct frn_route_metrics *frn_metrics_of (struct frn_metrics *metrics,
                                          struct frn_route_stats *stats,
                                          struct rw_str route);
void frn_metrics_update (struct frn_daemon *daemon);
const char *frn_refusal_name (enum frn_refusal reason);
int frn_admin_init (struct frn_daemon *daemon);

int frn_store_init (struct frn_daemon *daemon);
void frn_store_finish (struct frn_daemon *daemon);

/* The view.  Changes are put one by one; frn_view_commit ends a batch.  */
void frn_view_put (struct frn_daemon *daemon, struct rw_arena *arena,
                   const struct rep_item *item);
/* What is not among LISTED (hashes of keys) and not newer than REVISION is
   gone.  */
void frn_view_retain (struct frn_daemon *daemon, struct rw_arena *arena,
                      int64_t revision, const struct rw_map *listed);
bool frn_view_commit (struct frn_daemon *daemon, int64_t revision);

/* Peers.  */
int frn_peers_init (struct frn_daemon *daemon);
void frn_peers_finish (struct frn_daemon *daemon);
void frn_peers_tick (struct frn_daemon *daemon, rw_time now);
/* The store has just answered: this copy is current.  */
void frn_peers_on_current (struct frn_daemon *daemon, rw_time now);
/* Whether this daemon is to read the store itself.  */
bool frn_peers_reads_store (struct frn_daemon *daemon, rw_time now);
/* Tells peers that this daemon leaves.  */
void frn_peers_leave (struct frn_daemon *daemon);

/* Relays.  A small VM has too little processor time for queries over many
   shards, and too many small VMs would share a target's connections: a larger
   peer gathers for it.  */
bool frn_relay_wanted (struct frn_daemon *daemon,
                       const struct frn_request *request, rw_time now);
bool frn_relay_available (const struct frn_daemon *daemon, rw_time now);
/* Keeps the list of larger peers up to date.  */
void frn_relay_tick (struct frn_daemon *daemon, rw_time now);
/* Daemons that share what targets bear, as far as this daemon is concerned:
   where few gather for all, these share most of it.  */
size_t frn_sharers (const struct frn_daemon *daemon);
bool frn_is_relay_header (struct rw_str name);
void frn_relay_write (const struct frn_send *send, struct rw_buf *out);
/* Whether the answer says that the peer does not serve the request.  */
bool frn_relay_refused (const struct h1_message *message);
/* A request on the port of the peers: returns false if it is not relayed.  */
bool frn_relay_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                      const struct h1_message *message);
/* Serves a request that arrived at START.  */
void frn_request_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                        const struct h1_message *message, rw_time start,
                        bool relayed);

/* Requests.  */

enum frn_mode
{
  FRN_MODE_LOCAL, /* this daemon sends the parts */
  FRN_MODE_RELAY  /* a larger peer does */
};

struct frn_request
{
  struct frn_daemon *daemon;
  enum frn_mode mode;
  bool relayed;         /* by a smaller peer, to this daemon */
  int64_t time_left_ms; /* as the caller stated it; -1: not stated */
  struct rw_arena arena;
  struct h1_conn *conn; /* null: answered, or the caller left */
  struct cat_config *config;
  struct cat_route *route;
  struct frn_route_stats *stats;
  struct gat_query query;
  struct ste_service **services; /* of each part */
  struct ste_target **tried;     /* plan.attempts of each part */
  struct frn_send *sends;
  uv_timer_t timer;
  rw_time start;
  rw_time deadline;
  rw_time caller_deadline;
  struct rw_str id;
  struct rw_str method;
  struct rw_str target;
  struct rw_str headers; /* lines to pass on */
  struct rw_str body;
  bool head;
  struct h1_reply failure; /* a target's own failure, to pass on */
  bool has_failure;
  bool ended; /* answered, or the caller left */
  bool closing;
  const char *last_error; /* of a send, for the log */
  char last_target[64];
};

extern const struct h1_server_ops frn_caller_ops;
/* Starts the request MESSAGE, which arrived at START, on ROUTE of the
   configuration in force.  */
void frn_request_begin (struct frn_daemon *daemon, struct h1_conn *conn,
                        const struct h1_message *message,
                        struct cat_route *route,
                        const struct plt_request *head, rw_time start,
                        bool relayed);
/* After the answer, or after the caller left.  */
void frn_request_end (struct frn_request *request);
/* The caller of CONN left.  */
void frn_request_gone (void *arg, struct h1_conn *conn);
/* Starts the requests that waited for a configuration, or refuses those that
   have waited for long enough.  */
void frn_parked_run (struct frn_daemon *daemon, rw_time now);
/* A send ended.  MESSAGE and REPLY are null if there was no answer.  */
void frn_request_reply (struct frn_send *send,
                        const struct h1_message *message,
                        const struct plt_reply *reply);
void frn_request_failed (struct frn_send *send, enum gat_failure failure,
                         const char *reason);
/* Answers with what the query has; ends the request.  */
void frn_answer_query (struct frn_request *request, bool success);
void frn_answer_refusal (struct h1_conn *conn, int status,
                         rw_time retry_after);
void frn_refuse_request (struct frn_request *request, enum frn_refusal reason,
                         rw_time retry_after);
const char *frn_outcome_name (enum frn_outcome outcome);
void frn_log_outcome (struct frn_request *request, enum frn_outcome outcome,
                      int status);

/* Log lines for the hops of a request: all of a sampled one, of the others
   those that failed or were sent in addition.  */
void frn_spans_write (const struct frn_request *request, bool plain);

/* Links.  */

enum frn_send_state
{
  FRN_SEND_QUEUED, /* waits for a link */
  FRN_SEND_SENT,
  FRN_SEND_ENDED
};

/* One send of one part to one target.  In the arena of its request.  */
struct frn_send
{
  struct ste_send steer;
  struct frn_request *request;
  struct frn_send *next; /* of the request */
  size_t part;
  enum frn_send_state state;
  enum gat_send_kind kind;
  enum ste_outcome outcome; /* once it has ended */
  rw_time ended;
  struct ste_target *target;
  struct frn_link *link;
  struct frn_send *queue_next;
};

struct frn_link
{
  struct h1_client link;
  struct frn_pool *pool;
  struct frn_link *next; /* all links of the pool */
  struct frn_send *send;
  rw_time opened;
  rw_time idle_since;
  rw_time idle_limit; /* 0: none */
};

struct frn_pool
{
  struct frn_daemon *daemon;
  struct ste_target *target;
  struct frn_link *links;
  size_t count;
  struct frn_send *queue;
  struct frn_send *queue_last;
  bool opened; /* a link was opened once */
  rw_time used;
};

/* Sends, or queues for a link.  */
void frn_pool_send (struct frn_daemon *daemon, struct frn_send *send);
/* Gives up a send whose request has ended.  */
void frn_send_abandon (struct frn_send *send);
void frn_pool_sweep (struct frn_daemon *daemon, rw_time now);
bool frn_pool_release (void *arg, struct ste_target *target);
/* Gives up every send to TARGET and closes its links.  */
void frn_pool_close (struct ste_target *target);
/* Writes the request of SEND.  */
void frn_request_write (const struct frn_send *send, struct rw_buf *out);

#endif
