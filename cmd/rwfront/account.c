#include <sys/resource.h>

#include "forward.h"
#include "frn_account.h"

#define BYTES_PER_MB 1000000
/* Part of the memory that callers and peers, and the replies of targets, may
   fill.  The rest is for the daemon's own state, what the kernel has received
   for it, and the allocator's gaps.  */
#define ACCOUNT_DIVISOR 4
/* Part of the memory for input that was received and not read yet.  */
#define RECEIVED_DIVISOR 4
#define MIN_RECV_BYTES 16384
#define MAX_RECV_BYTES 65536
/* Of the descriptors, those for files; sockets share the rest.  */
#define FILE_DESCRIPTORS 200
/* Sockets beside those of callers, peers, operators and targets: listeners,
   the store, a transfer, probes.  */
#define OWN_SOCKETS 24
/* Connections of a listener that are not dropped for those of others.  */
#define RESERVE_DIVISOR 8
#define MAX_RESERVE 64
/* Retry-After of a refusal for lack of memory: another daemon may have room,
   and here the crowd's connections end soon.  */
#define RETRY_AFTER_MEMORY (100 * RW_MSEC)
#define RETRY_AFTER_MEMORY_HEADER "Retry-After: 0.100\r\n"
/* What a request holds at least, beside its body.  */
#define REQUEST_BYTES 16384
#define LOG_INTERVAL RW_SEC

const char *
frn_drop_cause_name (enum acc_cause cause)
{
  switch (cause)
    {
    case ACC_FOR_MEMORY:
      return "memory";
    case ACC_FOR_PLACE:
      return "descriptors";
    case ACC_CAUSE_COUNT:
      break;
    }
  return "unknown";
}

/* The number of descriptors that the process may open.  */
static size_t
file_limit (const struct frn_daemon *daemon)
{
  struct rlimit limit;
  size_t files = daemon->settings.max_files;
  if (getrlimit (RLIMIT_NOFILE, &limit) == 0 && limit.rlim_cur < files)
    files = (size_t)limit.rlim_cur;
  return files;
}

void
frn_account_update (struct frn_daemon *daemon)
{
  struct acc_account *account = &daemon->account;
  size_t files = file_limit (daemon);
  size_t own = FILE_DESCRIPTORS + OWN_SOCKETS;
  account->max
      = (size_t)daemon->settings.memory_mb * BYTES_PER_MB / ACCOUNT_DIVISOR;
  account->max_places = files > 2 * own ? files - own : files / 2;
  daemon->reply_budget.account = account;
  evt_line (&daemon->log, EVT_STATE, "account", rw_now (),
            "limits: bytes=%zu descriptors=%zu", account->max,
            account->max_places);
}

/* What the kernel may keep of the input of one connection.  */
static int
recv_bytes (const struct frn_daemon *daemon)
{
  size_t all
      = (size_t)daemon->settings.memory_mb * BYTES_PER_MB / RECEIVED_DIVISOR;
  size_t each = all / daemon->account.max_places;
  if (each < MIN_RECV_BYTES)
    return MIN_RECV_BYTES;
  return each < MAX_RECV_BYTES ? (int)each : MAX_RECV_BYTES;
}

void
frn_account_serve (struct frn_daemon *daemon, struct h1_server *server)
{
  size_t reserve = daemon->account.max_places / RESERVE_DIVISOR;
  server->refusal = RW_LIT (RETRY_AFTER_MEMORY_HEADER);
  h1_server_set_account (server, &daemon->account,
                         reserve < MAX_RESERVE ? reserve : MAX_RESERVE,
                         recv_bytes (daemon));
}

void
frn_account_count (struct frn_request *request)
{
  size_t bytes = sizeof *request + request->arena.allocated;
  acc_add (&request->daemon->account, bytes - request->counted_bytes);
  request->counted_bytes = bytes;
}

void
frn_account_forget (struct frn_request *request)
{
  acc_sub (&request->daemon->account, request->counted_bytes);
  acc_blob_unref (request->body_blob);
  acc_blob_unref (request->target_reply.blob);
}

bool
frn_account_admit (struct frn_daemon *daemon, struct h1_conn *conn,
                   const struct plt_request *head, bool relayed)
{
  rw_time now = rw_now ();
  if (acc_make_room (&daemon->account, REQUEST_BYTES, now))
    return true;
  sta_inc (daemon->metrics.no_route.outcome[FRN_REFUSED]);
  sta_inc (daemon->metrics.refusal[FRN_REFUSE_MEMORY]);
  evt_line (&daemon->log, EVT_NORMAL, "request", now,
            "refused: id=%s status=503 error=\"no memory for it\"",
            evt_value (head->id).text);
  if (relayed)
    frn_refuse_peer (daemon, conn);
  else
    frn_answer_refusal (conn, 503, RETRY_AFTER_MEMORY);
  return false;
}

void
frn_on_drop (void *arg, struct h1_conn *conn, enum acc_cause cause, int status)
{
  struct frn_daemon *daemon = arg;
  (void)conn;
  sta_inc (daemon->metrics.dropped[cause]);
  if (status == 503)
    sta_inc (daemon->metrics.refusal[FRN_REFUSE_MEMORY]);
}

void
frn_account_tick (struct frn_daemon *daemon, rw_time now)
{
  struct acc_account *account = &daemon->account;
  uint64_t dropped
      = account->dropped[ACC_FOR_MEMORY] + account->dropped[ACC_FOR_PLACE];
  if (dropped == daemon->drops_logged
      || now - daemon->drops_logged_at < LOG_INTERVAL)
    return;
  evt_line (&daemon->log, EVT_STATE, "account", now,
            "connections dropped: count=%llu bytes=%zu max_bytes=%zu "
            "descriptors=%zu max_descriptors=%zu callers=%zu peers=%zu",
            (unsigned long long)(dropped - daemon->drops_logged),
            account->used, account->max, account->places, account->max_places,
            daemon->caller_server.conn_count, daemon->peers.server.conn_count);
  daemon->drops_logged = dropped;
  daemon->drops_logged_at = now;
}
