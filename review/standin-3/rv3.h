/* Stand-ins of the platform for the cases of the third review: the store,
   searchers and clients, and the start of rwfront as separate processes.  All
   addresses are loopback addresses.  One thread serves each connection.  */

#ifndef RV3_H
#define RV3_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

/* Starts the clock, the record and the folder of the settings and logs, and
   chooses loopback addresses.  The arguments are those of run.sh: TROUBLE and
   the path of the record.  */
void rv_init (int argc, char **argv);
/* Ends all processes that were started and removes the folder.  Returns
   STATUS.  */
int rv_finish (int status);
/* Exits with 2, after ending all processes: the case could not run.  */
void rv_cannot_run (const char *why) __attribute__ ((noreturn));
/* Whether the disruption is to be left out (TROUBLE=0).  */
bool rv_is_calm (void);

/* Milliseconds since rv_init, on the steady clock.  */
double rv_now (void);
void rv_sleep (double ms);
void rv_sleep_until (double at);
/* Writes a line with the time to the record.  */
void rv_log (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* The store.  */

/* Sets KEY; returns the time of the acknowledgement.  A null VALUE removes
   it.  */
double rv_store_put (const char *key, const char *value);
/* While it is silent, the store answers nothing and takes no beats.  */
void rv_store_set_silent (bool is_silent);

/* Searchers.  */

struct rv_searcher
{
  /* Set by the case before rv_searcher_start.  */
  const char *id;
  const char *service;
  const char *zone;
  int capacity;       /* requests at once */
  int queue;          /* further ones that wait */
  double work_ms;     /* of a request */
  size_t body_bytes;  /* of an answer, at least */
  size_t body_spread; /* up to so much more, by the number of the path */
  double warmup_ms;   /* cold after each start but the first; 0: never */
  int crash_per_s;    /* a cold searcher ends above this rate; 0: never */
  double down_ms;     /* before it starts again after such an end */

  char host[40];
  uint16_t port;
  int64_t born;
  int64_t sequence;
  char written[600]; /* its entry, without the sequence */
  double started_at;
  double cold_until;
  bool is_up;
  bool is_draining; /* it reports so, and says in its answers that it leaves */
  bool is_reporting;
  int generation;
  int listener;
  int running;
  int waiting;
  pthread_mutex_t lock;
  pthread_cond_t change;
  /* Arrivals of requests that expect this searcher.  */
  double *arrivals;
  size_t arrival_count;
  size_t arrival_cap;
  int fds[4096];
  int fd_count;
  struct rv_searcher *next;
};

/* Starts SEARCHER on an address of its own, and writes its entry.  */
void rv_searcher_start (struct rv_searcher *searcher);
/* Ends its process: its connections are reset.  */
void rv_searcher_crash (struct rv_searcher *searcher);
/* Starts it again under its id and address.  */
void rv_searcher_restart (struct rv_searcher *searcher);
/* Lets it say that it leaves, in its entry and its answers.  Returns the time
   of the store's acknowledgement, or a negative value.  */
double rv_searcher_drain (struct rv_searcher *searcher);
/* Writes its entry, which changes if more than the sequence does.  */
double rv_searcher_beat (struct rv_searcher *searcher);
/* A run or a refusal, for the check of a case.  */
struct rv_arrival
{
  const struct rv_searcher *searcher;
  char request[40];
  char source[16]; /* address of the daemon */
  double at;
  int generation;
};
extern struct rv_arrival *rv_arrivals;
extern size_t rv_arrival_count;

/* Daemons.  */

#define RV_MAX_FRONTS 16

struct rv_front
{
  char name[16];
  char host[40];
  const char *zone;
  bool binds_source; /* its connections to searchers come from its address */
  pid_t pid;
  int number;
  bool was_started;
};

/* Starts the daemon N, 1 or more, in ZONE with the command of the deploy
   file.  */
void rv_front_start (struct rv_front *front, int n, int count,
                     const char *zone);
void rv_front_signal (struct rv_front *front, int signum);
/* Kills the daemon and waits for its end.  */
void rv_front_kill (struct rv_front *front);
/* Starts it again; it is not the first start of the system any more.  */
void rv_front_restart (struct rv_front *front, int count);
/* Its resident memory in bytes; 0 if it has ended.  */
size_t rv_front_memory (const struct rv_front *front);
/* A value of its metrics; negative if there is none.  */
double rv_front_metric (const struct rv_front *front, const char *name);
/* Waits until the daemon answers 200 to GET /ready.  */
void rv_front_await (const struct rv_front *front);
/* Whether connections from SOURCE to searchers are reset, new ones too.  */
void rv_cut (const char *source, bool is_cut);

/* Clients.  */

struct rv_call
{
  /* Set by the case.  */
  const struct rv_front *front;
  const char *method;
  const char *path;
  const char *first_path; /* asked before on the connection; may be null */
  int time_ms;            /* time budget */
  double bytes_per_s;     /* of the client's link; 0: no limit */
  char id[40];

  int status;      /* 0: no answer */
  bool is_closing; /* the answer says that the connection ends */
  bool is_leaving; /* the answer says that the searcher leaves */
  size_t length;   /* Content-Length */
  size_t received; /* bytes of the body */
  bool is_complete;
  double sent_at;
  double head_at;
  double ended_at;
};

/* Sends a request on a new connection and reads its answer.  If there is a
   first path and it is not answered, the request is not sent.  */
void rv_call (struct rv_call *call);
/* Sends a request on the connection FD and reads its answer.  */
void rv_call_on (int fd, struct rv_call *call);
/* Opens a connection, sends TEXT and leaves it open.  */
int rv_connect (const struct rv_front *front, const char *text);
/* The same as rv_call in a thread of its own.  */
pthread_t rv_call_start (struct rv_call *call);
/* A new id of a request.  */
void rv_new_id (char *id, size_t size);

#endif
