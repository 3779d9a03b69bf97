/* Main program of rwfd.  The node (lib/node) decides what to do; this program
   gives it requests, messages and the time, and runs the actions it queues. */

#ifndef RWFD_RWFD_H
#define RWFD_RWFD_H

#include <stdio.h>

#include "log.h"
#include "net.h"
#include "node.h"
#include "options.h"
#include "stat.h"

/* Maximum duration of a planned stop, without the drain delay.  */
#define RWFD_STOP_TIME_MAX (10 * RW_SEC)
/* Delay before exit in which the last answers are sent.  */
#define RWFD_LINGER_TIME (50 * RW_MSEC)
/* Maximum number of bytes that one process appends to the trace file.  */
#define RWFD_TRACE_BYTES_MAX ((uint64_t)256 * 1024 * 1024)

enum rwfd_stop_state
{
  RWFD_RUNNING,
  RWFD_DRAINING, /* waits for the node and the callers' requests */
  RWFD_LINGERING /* sends the last answers, then exits */
};

struct rwfd
{
  const struct opt_options *options;
  struct acc_account account; /* of callers, daemons, operators, targets */
  uv_loop_t loop;
  uv_prepare_t prepare;
  uv_check_t check;      /* runs after the sockets were read */
  uv_poll_t wakeup_poll; /* of timer_fd */
  bool tick_due;         /* timer_fd has expired */
  uv_timer_t second_timer;
  uv_timer_t linger_timer;
  uv_signal_t signals[2];
  int timer_fd;
  rw_time timer_expiry; /* of timer_fd; RW_TIME_NEVER if disarmed */
  struct nod_node *node;
  struct net_rpc rpc;
  struct net_http callers;
  struct net_http admin;
  struct net_client client;
  struct rw_map exchanges; /* struct exchange by the node's exchange id */
  struct log_log log;
  struct sta_set stats;
  FILE *trace;          /* null: no spans are written */
  uint64_t trace_bytes; /* passed to the trace file by this process */
  enum rwfd_stop_state stop_state;
  rw_time stop_deadline; /* valid while draining */
  int status;            /* exit status of the process */
};

int rwfd_init (struct rwfd *rwfd, const struct opt_options *options,
               struct rw_err *err);
int rwfd_run (struct rwfd *rwfd);
void rwfd_finish (struct rwfd *rwfd);
void rwfd_run_actions (struct rwfd *rwfd);

/* callers.c */
extern const struct net_http_ops rwfd_caller_ops;
void rwfd_send_answer (struct rwfd *rwfd, const struct nod_action *action);

/* admin.c */
extern const struct net_http_ops rwfd_admin_ops;
bool rwfd_handle_health (struct rwfd *rwfd, struct net_http *http,
                         const struct net_request *request);
void rwfd_respond (struct net_http *http, uint64_t id, int status,
                   const char *content_type, struct rw_str body);

/* targets.c */
void rwfd_start_exchange (struct rwfd *rwfd, struct nod_action *action);
void rwfd_cancel_exchange (struct rwfd *rwfd, uint64_t id);
void rwfd_free_exchanges (struct rwfd *rwfd);

/* platform.c */
void rwfd_read_doc (struct rwfd *rwfd, const struct nod_action *action);

#endif
