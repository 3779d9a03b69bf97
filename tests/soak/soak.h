/* A randomized soak: real daemons as separate processes on loopback, stand-ins
   of the store and the searchers, faults from outside, and checks of what
   callers and searchers see.  fleet.c: processes.  proxy.c: the way to the
   store.  client.c: callers.  check.c: answers.
   organisation.c: keys and a quota.  fault.c: what goes wrong.  */

#ifndef SOK_SOAK_H
#define SOK_SOAK_H

#include <netinet/in.h>

#include "h1.h"
#include "share.h"

#define SOK_MAX_DAEMONS 64
#define SOK_MAX_CLIENTS 256
#define SOK_MAX_CALLERS (SOK_MAX_CLIENTS - SOK_MAX_DAEMONS)
#define SOK_MAX_REFUSED 4000
#define SOK_MAX_FAULTS_TEXT 8192
#define SOK_CALLER_PORT 18104
#define SOK_READY_PORT 18108
#define SOK_PEER_PORT 18380
#define SOK_STORE_PORT 18102

/* A daemon that was disturbed less than this time ago is not judged.  */
#define SOK_CALM (4 * RW_SEC)

/* Seeds from here on add faults of the store and of targets; those below draw
   the same faults as they did before these were added.  */
#define SOK_FIRST_DRILL_SEED 2000
/* Seeds from here on add limits that searchers name.  */
#define SOK_FIRST_LIMIT_SEED 3000
/* And from here on daemons that are cut off from the searchers.  */
#define SOK_FIRST_CUT_SEED 4000
/* And from here on searchers that crash, by themselves or under a request that
   some callers send.  */
#define SOK_FIRST_CRASH_SEED 5000
/* And from here on organisations with keys, one of them with a quota.  */
#define SOK_FIRST_ORGANISATION_SEED 6000
/* The request that crashes searchers, below the prefix of its route.  */
#define SOK_CRASHING_PATH "crashing"

struct sok_soak;

enum sok_proxy_mode
{
  SOK_PROXY_PASS,
  SOK_PROXY_SILENT,  /* nothing passes */
  SOK_PROXY_ONE_WAY, /* requests pass, answers do not */
  SOK_PROXY_RESET    /* connections end */
};

struct sok_proxy
{
  struct sok_soak *soak;
  uv_tcp_t listener;
  enum sok_proxy_mode mode;
  struct sok_pipe *pipes;
};

struct sok_daemon
{
  struct sok_soak *soak;
  size_t index;
  char ip[32];
  char path[256]; /* of the settings */
  uv_process_t process;
  bool running;
  bool stopping; /* after SIGTERM */
  bool frozen;
  bool restart;      /* start again when it has ended */
  rw_time disturbed; /* end of the last disturbance; SIGTERM is none */
  rw_time cut_since; /* it has no ways to the searchers; 0: it has */
  rw_time ways_changed;
  rw_time stop_began;
  struct sok_proxy proxy;
};

struct sok_client
{
  struct sok_soak *soak;
  struct h1_client link;
  bool link_used;
  uv_timer_t timer;
  struct sok_daemon *daemon;
  /* The daemon that it always calls; null: any.  Callers keep their
     connections, so a daemon that started anew might have none otherwise.  */
  struct sok_daemon *own_daemon;
  bool waiting;
  rw_time sent;
  char id[32];
  const char *route;
  char key[16];      /* of its organisation; empty: there are none */
  bool uses_old_key; /* that is revoked at times */
  bool crashing;     /* it sends the request that crashes searchers */
};

struct sok_soak
{
  uv_loop_t loop;
  struct rw_rng rng;
  uint64_t seed;
  rw_time length;
  const char *bin;  /* directory of the programs */
  const char *work; /* directory of settings and logs */
  uv_process_t site;
  uv_pipe_t site_out;
  struct sockaddr_in store;
  struct sockaddr_in control;
  char net[24]; /* the first three numbers of the daemons' addresses */
  struct sok_daemon daemons[SOK_MAX_DAEMONS];
  size_t daemon_count;
  struct sok_client clients[SOK_MAX_CLIENTS];
  size_t client_count;
  size_t shards;
  size_t version;
  uv_timer_t fault_timer;
  rw_time began;
  bool healing;
  bool ended;
  bool store_faults; /* this seed disturbs the store */
  bool drills;  /* this seed restores it, and targets announce their end */
  bool limits;  /* searchers name limits */
  bool cuts;    /* daemons are cut off from the searchers */
  bool crashes; /* a request crashes searchers */
  bool organisations;   /* callers have keys */
  rw_time old_key_gone; /* since when that key is revoked; 0: it is valid */
  long crashing_runs;   /* of it when all daemons should hold it back; -1: not
                           that far yet */
  rw_time restored;     /* the store, and not written again yet; 0: it is */
  uint64_t next_id;
  char refused[SOK_MAX_REFUSED][32]; /* unsafe requests answered 503 */
  size_t refused_count;
  uint64_t answers[6]; /* by hundreds of the status; 0: none */
  uint64_t whole;
  struct sok_share share; /* answers of calm daemons */
  uint64_t failures;
  /* Words, each a time in the run and a fault, for the result of a run that
     fails.  */
  char faults[SOK_MAX_FAULTS_TEXT];
  size_t faults_len;
  char *scratch;
};

/* Notes a fault, as a word without blanks, and its time.  */
void sok_note_fault (struct sok_soak *soak, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
/* Reports a broken promise.  */
void sok_fail (struct sok_soak *soak, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));

int sok_site_start (struct sok_soak *soak);
void sok_daemon_init (struct sok_soak *soak, size_t index);
/* Whether DAEMON was not disturbed for SOK_CALM before SINCE.  */
bool sok_is_calm (const struct sok_daemon *daemon, rw_time since);
void sok_daemon_start (struct sok_daemon *daemon);
void sok_daemon_signal (struct sok_daemon *daemon, int signum);
void sok_kill_all (struct sok_soak *soak);
/* Sends a command to the stand-ins and returns the answer's body.  */
int sok_command (struct sok_soak *soak, const char *method, const char *path,
                 const char *body, char *answer, size_t size);

int sok_proxy_init (struct sok_proxy *proxy, struct sok_soak *soak,
                    const char *ip);
void sok_proxy_set (struct sok_proxy *proxy, enum sok_proxy_mode mode);

/* Returns how often searchers have run a request that crashes them, -1 if the
   stand-ins do not say.  */
long sok_crashing_runs (struct sok_soak *soak);

void sok_client_init (struct sok_soak *soak, size_t index);
void sok_client_stop (struct sok_client *client);

/* Whether the answer is right for the client's request.  */
void sok_check_answer (struct sok_client *client,
                       const struct h1_message *reply);
void sok_check_end (struct sok_soak *soak);
/* Counts an answer of the client's daemon, SUCCESS or not.  */
void sok_count_by_cut (struct sok_client *client, bool success);
void sok_put_config (struct sok_soak *soak);

/* Appends the organisations to the configuration OUT.  */
void sok_write_organisations (const struct sok_soak *soak, struct rw_buf *out);
/* Notes whether the configuration that was put last has the old key.  */
void sok_note_old_key (struct sok_soak *soak);
/* Puts a configuration with organisations, which the backup of the store has
   too, and tells the stand-ins of the quota.  */
void sok_start_organisations (struct sok_soak *soak);
/* Chooses the key of the client's next request.  */
void sok_pick_key (struct sok_client *client);
/* Whether STATUS is right for that key.  */
void sok_check_key (struct sok_client *client, int status);
/* What the searchers were told of the organisations, by their REPORT.  */
void sok_check_ledger (struct sok_soak *soak, const char *report);

void sok_fault_init (struct sok_soak *soak);

#endif
