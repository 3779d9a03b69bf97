/* Stand-ins of the platform for the cases of the review: its store, searchers,
   and clients.  One thread serves each connection.  */

#ifndef RVW_RVW_H
#define RVW_RVW_H

#include <pthread.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RVW_HEAD_BYTES 8192
#define RVW_BUF_BYTES 65536
#define RVW_MAX_REQUESTS 400000

/* Exit status of a case.  */
enum rvw_verdict
{
  RVW_HELD = 0,
  RVW_BROKEN = 1,
  RVW_NOT_RUN = 2
};

/* A connection.  Freed with its last reference.  */
struct rvw_conn
{
  int fd;
  pthread_mutex_t lock; /* of what follows */
  unsigned int refs;
  bool closed;
  bool expects_answer; /* a request was read and is not answered yet */
  size_t len;          /* bytes in BUF; of the reading thread alone */
  char buf[RVW_BUF_BYTES];
};

struct rvw_message
{
  char head[RVW_HEAD_BYTES]; /* with the first line, ends with a NUL */
  char *body;                /* on the heap */
  size_t body_len;
};

typedef void rvw_handler (void *arg, struct rvw_conn *conn);

/* Milliseconds since the start of the program.  */
int64_t rvw_now_ms (void);
void rvw_sleep_us (int64_t us);
/* A random number from 0 to below 1.  */
double rvw_random (void);
/* Opens the record.  Ends the program with RVW_NOT_RUN if it cannot.  */
void rvw_record_open (const char *path);
/* Appends a line with the time to the record.  */
void rvw_record (const char *format, ...)
    __attribute__ ((format (printf, 1, 2)));
/* Closes the record and ends the program.  */
void rvw_finish (enum rvw_verdict verdict) __attribute__ ((noreturn));
void rvw_start_thread (void *(*run) (void *), void *arg);

/* Listens on a free port of 127.0.0.1 and returns it.  HANDLER is called in a
   thread of its own for each connection, which is closed when it returns.  */
unsigned int rvw_listen (rvw_handler *handler, void *arg);
/* Returns a port that is free, for TCP and UDP, at all addresses.  */
unsigned int rvw_free_port (void);
/* Returns a connection to IP:PORT, or a null pointer.  */
struct rvw_conn *rvw_connect (const char *ip, unsigned int port);
void rvw_conn_ref (struct rvw_conn *conn);
/* Closes CONN and drops a reference.  */
void rvw_conn_close (struct rvw_conn *conn);
void rvw_conn_unref (struct rvw_conn *conn);
/* Reads a message, whose body has the length that it states; an answer without
   a length has no body.  Returns false at the end of the connection.  */
bool rvw_read (struct rvw_conn *conn, struct rvw_message *message);
void rvw_message_free (struct rvw_message *message);
/* Copies the value of the header NAME to BUF; empty if there is none.  */
void rvw_header (const struct rvw_message *message, const char *name,
                 char *buf, size_t size);
bool rvw_send (struct rvw_conn *conn, const char *data, size_t len);
/* Sends an answer.  HEADERS ends in CR LF or is empty.  */
bool rvw_answer (struct rvw_conn *conn, int status, const char *headers,
                 const char *body);

/* The store.  Keys are given as the text between the quotes of a JSON
   string.  */
unsigned int rvw_store_start (void);
/* Writes VALUE, and returns the time of the acknowledgement.  */
int64_t rvw_store_put (const char *key, const char *value);

/* A searcher.  It is set up before it is started.  */
struct rvw_searcher
{
  const char *id;
  const char *service;
  unsigned int port;
  unsigned int slots;
  unsigned int queue;
  int64_t work_us;
  pthread_mutex_t lock; /* of what follows */
  pthread_cond_t freed;
  unsigned int running;
  unsigned int waiting;
  double copy_share; /* of its answers that it sends a second time */
  uint64_t copies;
  uint64_t refusals;
};

/* Called when SEARCHER begins to work on the request ID with PATH.  */
typedef void rvw_on_run (const struct rvw_searcher *searcher, const char *id,
                         const char *path);

void rvw_searcher_start (struct rvw_searcher *searcher, rvw_on_run *on_run);
/* Writes the entry that SEARCHER has in the store to BUF.  */
void rvw_searcher_entry (const struct rvw_searcher *searcher, char *buf,
                         size_t size);
void rvw_searcher_publish (const struct rvw_searcher *searcher);

/* What came of a request: the status, 0 if the connection ended; and whether
   the answer bears the id of the request.  */
struct rvw_result
{
  int status;
  bool is_own;
};

/* A client that keeps its connection to the daemon at IP.  */
struct rvw_client
{
  char ip[32];
  struct rvw_conn *conn; /* null: none */
};

/* Sends a POST of ID to PATH with a time budget, and waits for the answer.
   HEADERS ends in CR LF or is empty.  */
struct rvw_result rvw_post (struct rvw_client *client, const char *id,
                            const char *path, const char *headers,
                            unsigned int time_left_ms);
/* Sets the ports at which daemons listen for callers and say whether they are
   ready.  */
void rvw_set_ports (unsigned int callers, unsigned int ready);
/* The bytes that callers have sent to the daemon at IP and that its process
   has not read.  */
unsigned long rvw_unread_bytes (const char *ip);
/* Waits until the daemon at IP is ready.  Returns false after 20 s.  */
bool rvw_await_ready (const char *ip);

/* A request of the load, and what became of it.  */
struct rvw_request
{
  const char *path;
  int64_t sent_ms;
  int64_t ended_ms;         /* answered, or its connection ended */
  int status;               /* 0: no answer */
  unsigned int arrivals;    /* at searchers */
  unsigned int runs;        /* how often it ran */
  int64_t ran_ms;           /* when it began to run last */
  const char *last_service; /* where it ran last; null: nowhere */
};

/* Clients that send requests to all daemons in turns, at fixed times.  */
struct rvw_load
{
  unsigned int daemons;
  unsigned int clients;
  int64_t interval_ms;
  int64_t length_ms;
  unsigned int time_left_ms;
  const char *const *paths; /* of the clients in turn; ends with a null */
  const char *headers;      /* of all requests; null: none */
};

/* The request with NUMBER, from 0 to below rvw_request_count.  */
struct rvw_request *rvw_request_at (unsigned int number);
unsigned int rvw_request_count (void);
/* Records that a request of the load has reached SEARCHER.  */
void rvw_count_arrival (const struct rvw_searcher *searcher, const char *id);
/* Whether the daemon DAEMON has read all that callers have sent to it.  */
bool rvw_has_read_all (unsigned int daemon);
/* Counts a run of a request of the load.  Requests of others have ids that do
   not begin with a q.  */
void rvw_count_run (const struct rvw_searcher *searcher, const char *id,
                    const char *path);
/* Reads the arguments NET TROUBLE RECORD of a case and opens the record.
   Returns whether the disruption is wanted.  */
bool rvw_begin (int argc, char **argv);
/* Starts the store, prints its port and those that the daemons are to use, and
   waits until COUNT daemons are ready.  */
void rvw_await_daemons (unsigned int count);
/* Waits until DAEMON is ready.  */
void rvw_await_one (unsigned int daemon);
/* Starts LOAD, which must stay valid.  */
void rvw_load_start (const struct rvw_load *load);
/* Whether a client still runs.  */
bool rvw_load_runs (void);

#endif
