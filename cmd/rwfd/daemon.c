#include "rwfd.h"

#include <errno.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>
#include <sys/resource.h>
#include <sys/timerfd.h>
#include <time.h>
#include <unistd.h>

#define SECOND_MS 1000

static void
send_record (struct rwfd *rwfd, const struct nod_action *action)
{
  struct net_addr to;

  memcpy (to.host, action->u.record.to.host, sizeof to.host);
  to.port = action->u.record.to.port;
  net_rpc_send (&rwfd->rpc, action->u.record.stream, &to,
                action->u.record.token, rw_buf_str (&action->data));
}

static void
send_datagram (struct rwfd *rwfd, const struct nod_action *action)
{
  struct net_addr to;

  memcpy (to.host, action->u.datagram.to.host, sizeof to.host);
  to.port = action->u.datagram.to.port;
  net_rpc_send_datagram (&rwfd->rpc, &to, rw_buf_str (&action->data));
}

static enum log_level
to_log_level (enum nod_log_level level)
{
  switch (level)
    {
    case NOD_LOG_ERROR:
      return LOG_LEVEL_ERROR;
    case NOD_LOG_WARN:
      return LOG_LEVEL_WARN;
    case NOD_LOG_INFO:
      return LOG_LEVEL_INFO;
    }
  return LOG_LEVEL_ERROR;
}

/* Appends a span to the trace file.  The file is closed for good at its size
   limit or at a write error.  */
static void
write_span (struct rwfd *rwfd, const struct nod_action *action)
{
  if (rwfd->trace == NULL)
    return;
  rwfd->trace_bytes += action->data.len;
  if (rwfd->trace_bytes <= RWFD_TRACE_BYTES_MAX
      && fwrite (action->data.ptr, 1, action->data.len, rwfd->trace)
             == action->data.len)
    return;
  log_line (&rwfd->log, LOG_LEVEL_WARN, "trace", rw_now (),
            "Spans are no longer written to %s: size limit or write error.",
            rwfd->options->trace_file);
  fclose (rwfd->trace);
  rwfd->trace = NULL;
}

static void
run_action (struct rwfd *rwfd, struct nod_action *action)
{
  switch (action->kind)
    {
    case NOD_SEND_DATAGRAM:
      send_datagram (rwfd, action);
      break;
    case NOD_SEND_RECORD:
      send_record (rwfd, action);
      break;
    case NOD_START_EXCHANGE:
      rwfd_start_exchange (rwfd, action);
      break;
    case NOD_CANCEL_EXCHANGE:
      rwfd_cancel_exchange (rwfd, action->u.cancel.exchange);
      break;
    case NOD_ANSWER:
      rwfd_send_answer (rwfd, action);
      break;
    case NOD_READ_DOC:
      rwfd_read_doc (rwfd, action);
      break;
    case NOD_WRITE_LOG:
      log_text (&rwfd->log, to_log_level (action->u.log.level),
                action->u.log.part, rw_now (), rw_buf_str (&action->data));
      break;
    case NOD_WRITE_SPAN:
      write_span (rwfd, action);
      break;
    }
}

/* Runs the node's queued actions, also those that actions add.  */
void
rwfd_run_actions (struct rwfd *rwfd)
{
  struct nod_action action;

  while (nod_next_action (rwfd->node, &action))
    {
      run_action (rwfd, &action);
      nod_action_finish (&action);
    }
}

/* Sets the timer to the node's next wakeup.  A timerfd is used because libuv's
   timers have a resolution of milliseconds and do not count the time in which
   the machine is suspended.  */
static void
arm_timer (struct rwfd *rwfd)
{
  struct itimerspec spec = { 0 };
  rw_time at = nod_next_wakeup (rwfd->node);

  if (at == rwfd->timer_expiry)
    return;
  rwfd->timer_expiry = at;
  if (at != RW_TIME_NEVER)
    {
      /* A value of zero would disarm the timer.  */
      at = at > 1 ? at : 1;
      spec.it_value.tv_sec = at / RW_SEC;
      spec.it_value.tv_nsec = at % RW_SEC * 1000;
    }
  timerfd_settime (rwfd->timer_fd, TFD_TIMER_ABSTIME, &spec, NULL);
}

static void
on_wakeup (uv_poll_t *poll, int status, int events)
{
  struct rwfd *rwfd = poll->data;
  uint64_t expirations;

  (void)status;
  (void)events;
  if (read (rwfd->timer_fd, &expirations, sizeof expirations) < 0
      && errno == EAGAIN)
    return;
  rwfd->timer_expiry = RW_TIME_NEVER;
  rwfd->tick_due = true;
}

/* Ticks after the sockets were read, so that what arrived while the process
   was paused counts before a deadline that passed in the meantime.  */
static void
on_check (uv_check_t *check)
{
  struct rwfd *rwfd = check->data;

  if (!rwfd->tick_due)
    return;
  rwfd->tick_due = false;
  net_client_flush (&rwfd->client);
  nod_tick (rwfd->node, rw_now ());
}

static void
on_linger_timeout (uv_timer_t *timer)
{
  uv_stop (timer->loop);
}

/* Sends the last answers for RWFD_LINGER_TIME, then exits with STATUS.  */
static void
exit_after_linger (struct rwfd *rwfd, int status)
{
  rwfd->stop_state = RWFD_LINGERING;
  rwfd->status = status;
  uv_timer_start (&rwfd->linger_timer, on_linger_timeout,
                  RWFD_LINGER_TIME / RW_MSEC, 0);
}

/* Ends a planned stop when all work has ended or its time is over.  */
static void
check_stop (struct rwfd *rwfd)
{
  if (rwfd->stop_state != RWFD_DRAINING)
    return;
  if (nod_drained (rwfd->node) && rwfd->callers.pending.len == 0)
    {
      log_line (&rwfd->log, LOG_LEVEL_INFO, "daemon", rw_now (),
                "All work has ended.");
      exit_after_linger (rwfd, EXIT_SUCCESS);
    }
  else if (rw_now () >= rwfd->stop_deadline)
    {
      log_line (&rwfd->log, LOG_LEVEL_ERROR, "daemon", rw_now (),
                "The planned stop timed out with %zu requests unanswered.",
                rwfd->callers.pending.len);
      exit_after_linger (rwfd, EXIT_FAILURE);
    }
}

/* Runs before the loop waits, and sends everything that the events caused.
   Calls that end queue actions and actions start calls, so both are repeated
   until none is left.  */
static void
on_prepare (uv_prepare_t *prepare)
{
  struct rwfd *rwfd = prepare->data;

  do
    rwfd_run_actions (rwfd);
  while (net_client_flush (&rwfd->client));
  net_rpc_flush (&rwfd->rpc);
  arm_timer (rwfd);
  check_stop (rwfd);
}

static void
on_second (uv_timer_t *timer)
{
  struct rwfd *rwfd = timer->data;

  log_tick (&rwfd->log, rw_now ());
  if (rwfd->trace != NULL)
    fflush (rwfd->trace);
}

/* The first signal starts a planned stop; the second exits at once.  */
static void
on_signal (uv_signal_t *handle, int number)
{
  struct rwfd *rwfd = handle->data;
  rw_time now = rw_now ();

  log_line (&rwfd->log, LOG_LEVEL_INFO, "daemon", now, "Signal %d: %s.",
            number,
            rwfd->stop_state == RWFD_RUNNING ? "draining" : "stopping now");
  if (rwfd->stop_state != RWFD_RUNNING)
    {
      rwfd->status = EXIT_FAILURE;
      uv_stop (&rwfd->loop);
      return;
    }
  rwfd->stop_state = RWFD_DRAINING;
  rwfd->stop_deadline = now + rwfd->options->drain_delay + RWFD_STOP_TIME_MAX;
  net_http_drain (&rwfd->callers);
  nod_drain (rwfd->node, now);
}

static int
on_record (void *arg, uint64_t stream, struct rw_str data, struct rw_err *err)
{
  struct rwfd *rwfd = arg;

  return nod_on_record (rwfd->node, stream, data, rw_now (), err);
}

/* Runs the actions at once, because what the node sends on opening a stream
   must precede the records that waited for the stream.  */
static void
on_open (void *arg, uint64_t stream, const struct net_addr *addr)
{
  struct rwfd *rwfd = arg;
  struct nod_addr to;

  memcpy (to.host, addr->host, sizeof to.host);
  to.port = addr->port;
  nod_on_stream_open (rwfd->node, stream, &to, rw_now ());
  rwfd_run_actions (rwfd);
}

static void
on_closed (void *arg, uint64_t stream)
{
  struct rwfd *rwfd = arg;

  nod_on_stream_closed (rwfd->node, stream, rw_now ());
}

static void
on_unsent (void *arg, uint64_t token)
{
  struct rwfd *rwfd = arg;

  nod_on_record_unsent (rwfd->node, token, rw_now ());
}

static int
on_datagram (void *arg, const struct net_addr *addr, struct rw_str data,
             struct rw_err *err)
{
  struct rwfd *rwfd = arg;
  struct nod_addr from;

  memcpy (from.host, addr->host, sizeof from.host);
  from.port = addr->port;
  return nod_on_datagram (rwfd->node, &from, data, rw_now (), err);
}

static void
on_error (void *arg, const struct rw_err *err)
{
  struct rwfd *rwfd = arg;

  log_err (&rwfd->log, LOG_LEVEL_WARN, "rpc", rw_now (), err);
}

static const struct net_rpc_ops RPC_OPS
    = { on_record, on_open, on_closed, on_unsent, on_datagram, on_error };

/* Part of the memory that clients and their requests may fill.  The rest is
   for the node's own state, what the kernel has received for the process, and
   the allocator's gaps.  */
#define ACCOUNT_DIVISOR 4
/* Part of the memory for input that was received and not read yet.  */
#define RECEIVED_DIVISOR 4
#define MIN_RECV_BYTES 16384
#define MAX_RECV_BYTES 262144
/* Descriptors beside connections: listeners, files, timers, signals.  */
#define OWN_DESCRIPTORS 40
/* Connections of a listener that are not dropped for those of others.  */
#define RESERVE_DIVISOR 8
#define MAX_RESERVE 64
#define REFUSAL_BODY                                                          \
  "{\"error\":\"no memory for the request\",\"ran\":\"no\","                  \
  "\"retry_after_ms\":1000,\"step\":\"read request\",\"peer\":\"\"}"

static void
init_account (struct rwfd *rwfd)
{
  const struct opt_options *options = rwfd->options;
  size_t files = options->max_files;
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < files)
    files = (size_t)limit.rlim_cur;
  acc_init (&rwfd->account, options->memory_mb * 1000000 / ACCOUNT_DIVISOR,
            files > 2 * OWN_DESCRIPTORS ? files - OWN_DESCRIPTORS : files / 2);
  log_line (&rwfd->log, LOG_LEVEL_INFO, "daemon", rw_now (),
            "Clients may use %zu MB and %zu descriptors.",
            rwfd->account.max / 1000000, rwfd->account.max_places);
}

/* Lets all listeners and the calls count in the account.  */
static void
use_account (struct rwfd *rwfd)
{
  size_t places = rwfd->account.max_places;
  size_t reserve = places / RESERVE_DIVISOR;
  size_t recv_bytes
      = rwfd->options->memory_mb * 1000000 / RECEIVED_DIVISOR / places;

  if (reserve > MAX_RESERVE)
    reserve = MAX_RESERVE;
  if (recv_bytes < MIN_RECV_BYTES)
    recv_bytes = MIN_RECV_BYTES;
  if (recv_bytes > MAX_RECV_BYTES)
    recv_bytes = MAX_RECV_BYTES;
  net_client_set_account (&rwfd->client, &rwfd->account);
  net_rpc_set_account (&rwfd->rpc, &rwfd->account, places / 2, reserve,
                       (int)recv_bytes);
  net_http_set_account (&rwfd->callers, &rwfd->account, places / 2, reserve,
                        (int)recv_bytes, RW_LIT (REFUSAL_BODY));
  net_http_set_account (&rwfd->admin, &rwfd->account, places / 8, reserve,
                        (int)recv_bytes, RW_LIT (REFUSAL_BODY));
}

static int
listen_all (struct rwfd *rwfd, struct rw_err *err)
{
  const struct opt_options *options = rwfd->options;
  struct net_addr addr;
  int rc = net_addr_set (&addr, options->addr, options->rpc_port);

  if (rc < 0)
    return rw_err_set (err, rc, "listen", options->addr, "invalid address");
  rc = net_rpc_init (&rwfd->rpc, &rwfd->loop, &addr, &RPC_OPS, rwfd, err);
  if (rc < 0)
    return rc;
  addr.port = options->http_port;
  rc = net_http_init (&rwfd->callers, &rwfd->loop, &addr, &rwfd_caller_ops,
                      rwfd, err);
  if (rc < 0)
    return rc;
  addr.port = options->admin_port;
  rc = net_http_init (&rwfd->admin, &rwfd->loop, &addr, &rwfd_admin_ops, rwfd,
                      err);
  if (rc == 0)
    use_account (rwfd);
  return rc;
}

/* Returns a random number that is not 0.  */
static uint64_t
random_u64 (void)
{
  uint64_t value = 0;

  while (value == 0)
    if (getrandom (&value, sizeof value, 0) != sizeof value)
      value = 0;
  return value;
}

/* Returns the wall clock minus rw_now (CLOCK_BOOTTIME), in microseconds.
   Spans have wall-clock times.  */
static int64_t
wall_clock_offset (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_REALTIME, &ts);
  return (int64_t)ts.tv_sec * RW_SEC + ts.tv_nsec / 1000 - rw_now ();
}

static void
start_node (struct rwfd *rwfd)
{
  const struct opt_options *options = rwfd->options;
  struct nod_settings settings
      = { .vm = options->vm,
          .dc = options->dc,
          .addr = options->addr,
          .rpc_port = rwfd->rpc.port,
          .incarnation = random_u64 (),
          .seed = random_u64 (),
          .trace_sample_ratio = options->trace_sample_ratio,
          .drain_delay = options->drain_delay,
          .wall_clock_offset = wall_clock_offset (),
          .account = &rwfd->account,
          .peers = options->peers,
          .peer_count = options->peer_count };

  if (rwfd->trace == NULL)
    settings.trace_sample_ratio = 0;
  rwfd->node = nod_new (&settings, rw_now ());
}

static int
open_trace (struct rwfd *rwfd, struct rw_err *err)
{
  const char *path = rwfd->options->trace_file;

  if (path == NULL)
    return 0;
  rwfd->trace = fopen (path, "ae");
  return rwfd->trace != NULL
             ? 0
             : rw_err_set (err, -errno, "open trace file", rw_str_from (path),
                           "%s", strerror (errno));
}

static int
start_timers (struct rwfd *rwfd, struct rw_err *err)
{
  static const int SIGNALS[] = { SIGTERM, SIGINT };

  rwfd->timer_expiry = RW_TIME_NEVER;
  rwfd->timer_fd = timerfd_create (CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC);
  if (rwfd->timer_fd < 0)
    return rw_err_set (err, -errno, "create timer", RW_LIT (""), "%s",
                       strerror (errno));
  uv_poll_init (&rwfd->loop, &rwfd->wakeup_poll, rwfd->timer_fd);
  rwfd->wakeup_poll.data = rwfd;
  uv_poll_start (&rwfd->wakeup_poll, UV_READABLE, on_wakeup);
  uv_prepare_init (&rwfd->loop, &rwfd->prepare);
  rwfd->prepare.data = rwfd;
  uv_prepare_start (&rwfd->prepare, on_prepare);
  uv_check_init (&rwfd->loop, &rwfd->check);
  rwfd->check.data = rwfd;
  uv_check_start (&rwfd->check, on_check);
  uv_timer_init (&rwfd->loop, &rwfd->linger_timer);
  uv_timer_init (&rwfd->loop, &rwfd->second_timer);
  rwfd->second_timer.data = rwfd;
  uv_timer_start (&rwfd->second_timer, on_second, SECOND_MS, SECOND_MS);
  for (size_t i = 0; i < RW_ARRAY_LEN (SIGNALS); i++)
    {
      uv_signal_init (&rwfd->loop, &rwfd->signals[i]);
      rwfd->signals[i].data = rwfd;
      uv_signal_start (&rwfd->signals[i], on_signal, SIGNALS[i]);
    }
  return 0;
}

/* Binds the ports and starts the node.  OPTIONS must outlive RWFD.  Returns 0
   or a negative error number; nothing is freed then, since the process
   exits.  */
int
rwfd_init (struct rwfd *rwfd, const struct opt_options *options,
           struct rw_err *err)
{
  int rc;

  memset (rwfd, 0, sizeof *rwfd);
  rwfd->options = options;
  rw_map_init (&rwfd->exchanges);
  sta_init (&rwfd->stats);
  rc = log_init (&rwfd->log, "rwfd", options->log_level, options->log_format,
                 options->vm);
  if (rc < 0)
    return rw_err_set (err, rc, "open log", RW_LIT (""), "no log4c category");
  rc = open_trace (rwfd, err);
  if (rc < 0)
    return rc;
  init_account (rwfd);
  uv_loop_init (&rwfd->loop);
  net_client_init (&rwfd->client, &rwfd->loop);
  rc = listen_all (rwfd, err);
  if (rc < 0)
    return rc;
  start_node (rwfd);
  return start_timers (rwfd, err);
}

/* Runs until a planned stop has ended.  Returns the exit status.  */
int
rwfd_run (struct rwfd *rwfd)
{
  uv_run (&rwfd->loop, UV_RUN_DEFAULT);
  return rwfd->status;
}

/* Closes all connections and frees the daemon's resources.  */
void
rwfd_finish (struct rwfd *rwfd)
{
  net_http_stop (&rwfd->callers);
  net_http_stop (&rwfd->admin);
  net_http_finish (&rwfd->callers);
  net_http_finish (&rwfd->admin);
  net_rpc_finish (&rwfd->rpc);
  net_client_finish (&rwfd->client);
  uv_close ((uv_handle_t *)&rwfd->prepare, NULL);
  uv_close ((uv_handle_t *)&rwfd->check, NULL);
  uv_run (&rwfd->loop, UV_RUN_NOWAIT);
  uv_run (&rwfd->loop, UV_RUN_NOWAIT);
  rwfd_free_exchanges (rwfd);
  nod_free (rwfd->node);
  sta_finish (&rwfd->stats);
  log_finish (&rwfd->log);
  if (rwfd->trace != NULL)
    fclose (rwfd->trace);
  close (rwfd->timer_fd);
}
