/* Stand-ins of the users' platform on loopback: its store, which can only be
   read, and searchers.  They follow the published protocol as far as the tests
   need it.  store.c: items, ranges and watches.  searcher.c: targets with
   slots, pauses and faults.  crash.c: a request that crashes them.
   organisation.c: who the callers are.  control.c: what a test changes and
   asks.  */

#ifndef SITE_SITE_H
#define SITE_SITE_H

#include "h1.h"

#define SITE_MAX_ITEMS 1024
#define SITE_MAX_WATCHES 256
#define SITE_MAX_SEARCHERS 256
#define SITE_MAX_RUNS 200000
/* Arrivals at one searcher that are kept to check its limit.  */
#define SITE_MAX_ARRIVALS 4096
#define SITE_MAX_ORGANISATIONS 1000

enum site_store_mode
{
  SITE_STORE_UP,
  SITE_STORE_BUSY,   /* 503 */
  SITE_STORE_SILENT, /* no answer */
  SITE_STORE_RESET   /* the connection ends */
};

struct site_item
{
  char key[200];
  char *value; /* null: removed */
  size_t value_len;
  int64_t revision;
};

struct site_watch
{
  struct h1_conn *conn; /* null: free */
  int64_t after;
  rw_time until;
};

enum site_fault
{
  SITE_FAULT_NONE,
  SITE_FAULT_HANG,  /* takes requests and never answers */
  SITE_FAULT_ERROR, /* 500 */
  SITE_FAULT_SHED,  /* 503, not run */
  SITE_FAULT_RESET, /* runs and ends the connection */
  /* Refuses a request once; if it comes again on the same connection, sends
     the refusal a second time in the place of the answer, and runs it.  */
  SITE_FAULT_REPEAT
};

/* The ways from a daemon to all searchers.  */
enum site_ways
{
  SITE_WAYS_OPEN,
  SITE_WAYS_REFUSED, /* connections live on, new ones end at once */
  SITE_WAYS_RESET    /* connections end, and new ones too */
};
#define SITE_MAX_CUTS 64
struct site_cut
{
  uint32_t source; /* address of the daemon, in host order */
  enum site_ways ways;
};

struct site_searcher
{
  struct site *site;
  struct h1_server server;
  char id[64];
  char service[64];
  char dc[32];
  uint16_t port;
  unsigned int listen_retries;
  unsigned int born;    /* which start of the searcher this is, from 1 */
  unsigned int version; /* of its software, from 1 */
  bool down;            /* it crashed, and is not back yet */
  bool draining;
  bool stopped; /* its entry is gone and its id is not known any more */
  enum site_fault fault;
  rw_time work;
  unsigned int waiting; /* requests in its queue, as it reports */
  bool announces;       /* in each answer, that it leaves */
  rw_time announced;    /* first such answer; 0: none */
  unsigned int hold_ms; /* Retry-After of its refusals; 0: none */
  rw_time held_since;   /* of the refusal whose time ends last */
  rw_time held_until;
  uint64_t uninvited; /* requests in that time, less the first half second */
  double limit_per_s; /* that it names in its answers; negative: none */
  rw_time limited;    /* when it began to */
  rw_time arrived[SITE_MAX_ARRIVALS]; /* since then, a ring */
  uint64_t arrived_count;
  uint64_t over_limit; /* arrivals beyond what the limit allows */
  char refused_id[80]; /* of the last refusal of SITE_FAULT_REPEAT */
  rw_time paused_until;
  uint64_t arrivals;
  rw_time changed; /* when it began to leave */
  uint64_t late;   /* requests that were run longer than allowed after it */
};

/* One request that ran: to find those that ran twice, or although they were
   refused.  */
struct site_run
{
  uint64_t id;
  uint64_t service;
  uint32_t count;
};

/* A request that crashes the searchers that run it.  */
struct site_crash
{
  char path[200];           /* and query; empty: none */
  unsigned int max_version; /* later versions of the software bear it */
  uint64_t runs;            /* that crash a searcher */
  uint64_t ends;            /* of searchers */
  rw_time known_at;         /* of the third end; 0: not yet */
  uint64_t late_runs;       /* after the daemons should have known */
};

/* Requests that searchers were sent in the name of an organisation.  */
struct site_organisation
{
  uint64_t requests; /* parts count one by one */
  double rate_per_s; /* of its quota; 0: none */
  double burst;
  rw_time arrived[SITE_MAX_ARRIVALS]; /* of requests, a ring */
  uint64_t arrived_count;
  uint64_t over_quota; /* arrivals beyond what the quota allows */
};

/* A copy of the store that can be restored.  */
struct site_backup
{
  struct site_item items[SITE_MAX_ITEMS];
  size_t item_count;
  int64_t revision;
};

struct site
{
  uv_loop_t loop;
  struct h1_limits limits;
  struct h1_server store;
  struct h1_server control;
  enum site_store_mode mode;
  struct site_item items[SITE_MAX_ITEMS];
  size_t item_count;
  int64_t revision;
  int64_t compacted; /* history up to it is gone */
  int64_t era;       /* 0: not stated */
  struct site_backup backup;
  uint64_t calls;
  struct site_watch watches[SITE_MAX_WATCHES];
  uv_timer_t timer;
  struct site_searcher searchers[SITE_MAX_SEARCHERS];
  size_t searcher_count;
  struct site_cut cuts[SITE_MAX_CUTS];
  size_t cut_count;
  struct rw_map runs; /* struct site_run */
  uint64_t ran;
  uint64_t twice; /* unsafe requests that ran more than once */
  uint64_t over;  /* parts that ran more often than maxAttempts */
  struct site_crash crash;
  struct rw_map organisations; /* struct site_organisation by name */
  uint64_t keys_seen;          /* requests that carried a caller's key */
  struct rw_map ids; /* of requests of organisations: each counts once */
  rw_time drain_time;
};

int site_store_init (struct site *site, uint16_t port);
/* Sets an item, or removes it if VALUE is null.  */
void site_put (struct site *site, const char *key, const char *value,
               size_t len);
/* Copies the present items, to be restored later.  */
void site_backup (struct site *site);
/* Goes back to that copy, in the next era.  */
void site_restore (struct site *site);
int site_control_init (struct site *site, uint16_t port);
struct site_searcher *site_searcher_add (struct site *site, const char *id,
                                         const char *service, const char *dc,
                                         uint16_t port, rw_time work);
void site_searcher_publish (struct site_searcher *searcher);
/* Listens on PORT, 0: any.  Returns 0 or a negative error number.  */
int site_searcher_listen (struct site_searcher *searcher, uint16_t port);
/* Returns whether MESSAGE crashes SEARCHER, which begins to run it, and counts
   it if so.  */
bool site_crashes (struct site *site, const struct site_searcher *searcher,
                   const struct h1_message *message);
/* Ends the process of SEARCHER; another one takes its place later.  */
void site_searcher_crash (struct site_searcher *searcher);
/* Makes SEARCHER name a limit of PER_S requests a second, or none if that is
   negative.  */
void site_searcher_limit (struct site_searcher *searcher, double per_s);
/* Sets the ways from the daemon SOURCE.  */
void site_set_ways (struct site *site, uint32_t source, enum site_ways ways);
/* Counts the organisation that MESSAGE names to a searcher, and a key.  */
void site_count_caller (struct site *site, const struct h1_message *message);
/* Returns how many requests named the organisation NAME; empty: none.  */
uint64_t site_requests_of (struct site *site, struct rw_str name);
/* Sets the quota that the requests of the organisation NAME are checked by. */
void site_set_quota (struct site *site, struct rw_str name, double rate_per_s,
                     double burst);
/* Returns how many requests went beyond a quota.  */
uint64_t site_over_quota (const struct site *site);
uint16_t site_server_port (const struct h1_server *server);
int site_listen (struct site *site, struct h1_server *server, uint16_t port,
                 const struct h1_server_ops *ops, void *arg);

#endif
