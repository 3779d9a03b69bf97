/* Stand-ins of the second review, all on loopback: the platform's store,
   searchers and clients, each connection in a thread of its own with blocking
   sockets.  They also start and signal the daemons, and write the record.  */

#ifndef RV2_H
#define RV2_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/types.h>

/* Exit codes of a case.  */
#define RV2_HELD 0
#define RV2_BROKEN 1
#define RV2_CANNOT_RUN 2

/* Milliseconds on the steady clock since rv2_init.  */
long long rv2_now (void);
void rv2_sleep (long long ms);
/* Prepares a case: ARGV[1] is the file of the record, ARGV[2] a temporary
   folder.  Reads TROUBLE from the environment.  */
void rv2_init (int argc, char **argv);
/* Whether the disruption is to take place.  */
bool rv2_trouble (void);
/* Writes a line, with the time, to the record.  */
void rv2_log (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
/* Ends all daemons and the process with CODE.  */
void rv2_exit (int code) __attribute__ ((noreturn));
/* Writes the reason and exits with RV2_CANNOT_RUN.  */
void rv2_cannot (const char *reason) __attribute__ ((noreturn));
/* Starts a thread.  */
void rv2_thread (void *(*run) (void *arg), void *arg);

/* A connection with the input that was read and not used yet.  */
struct rv2_conn
{
  int fd;
  size_t len;
  char buf[65536];
};

struct rv2_request
{
  char method[16];
  char path[512];
  char id[80];
  char expect[80]; /* the searcher that the request is for */
  long long deadline_ms;
};

int rv2_listen (int *port);
/* Reads a request and its body.  Returns false at the end of the connection.
 */
bool rv2_read_request (struct rv2_conn *conn, struct rv2_request *request);
bool rv2_write (int fd, const char *data, size_t len);

/* The store.  Returns its port.  */
int rv2_store_start (void);
/* Writes the item KEY, or removes it if VALUE is null: the ack.  */
void rv2_store_put (const char *key, const char *value);

struct rv2_searcher;
typedef void (*rv2_handler) (struct rv2_searcher *searcher,
                             struct rv2_conn *conn,
                             const struct rv2_request *request);

typedef void (*rv2_observer) (struct rv2_searcher *searcher,
                              const struct rv2_request *request);

/* A searcher.  It runs SLOTS requests at once, lets QUEUE_MAX more wait, and
   refuses the others as not run; it drops a request that waits when its
   connection closes, and refuses it when its time is over.  ARRIVED, which may
   be null, is called for each request that is for it, and HANDLER answers
   those that it runs.  */
struct rv2_searcher
{
  const char *id;
  const char *service;
  rv2_observer arrived;
  rv2_handler handler;
  int slots;
  int queue_max;
  int running;
  int waiting;
  bool leaving;   /* says so in all its answers */
  long long born; /* Unix ms */
  int port;
  int generation; /* counts its starts */
};

/* Listens, at first on any port, later on the same one.  */
void rv2_searcher_start (struct rv2_searcher *searcher);
/* Ends the process that SEARCHER stands for: its connections and its port.  */
void rv2_searcher_crash (struct rv2_searcher *searcher);
/* Writes the entry of SEARCHER in the store.  */
void rv2_searcher_publish (struct rv2_searcher *searcher, const char *state,
                           int warmup_ms);
/* Answers 200 with the id and the stamp of REQUEST and BODY_LEN bytes.  */
bool rv2_answer (struct rv2_searcher *searcher, struct rv2_conn *conn,
                 const struct rv2_request *request, size_t body_len);

struct rv2_daemon
{
  pid_t pid;
  int callers;
  int ready;
  int peers;
};

/* Starts the program of the deploy file with its settings.  */
void rv2_daemon_start (struct rv2_daemon *daemon, const char *name);
/* Waits until the daemon is ready, and then until it is in touch: contactMs
   after its start.  */
void rv2_daemon_await (const struct rv2_daemon *daemon);

/* A request of a client and what became of it.  */
struct rv2_exchange
{
  int fd;
  int status;       /* 0: none was read */
  bool complete;    /* the whole answer arrived */
  size_t body_len;  /* as the answer says */
  size_t body_read; /* bytes */
  long long sent_at;
  long long ended_at;
};

/* Connects to PORT with a receive buffer of RCVBUF bytes; 0: the usual one.
   Returns the descriptor, or -1.  */
int rv2_connect (int port, int rcvbuf);
/* Sends a request of METHOD for PATH on FD.  */
bool rv2_send (int fd, const char *method, const char *path, const char *id,
               long long deadline_ms);
/* Reads an answer, at BYTES_PER_S at most; 0: as fast as it comes.  */
void rv2_read_answer (struct rv2_exchange *exchange, long bytes_per_s,
                      long long until);

#endif
