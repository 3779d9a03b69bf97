#include "cost.h"

#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>

/* Records that one side may be ahead of the other.  */
#define WINDOW 64

enum role
{
  ROLE_SENDER,
  ROLE_RECEIVER
};

/* One daemon of the measurement, in its own thread.  */
struct side
{
  enum role role;
  uv_loop_t loop;
  uv_prepare_t prepare;
  uv_timer_t timer;
  struct net_rpc rpc;
  struct net_addr addr;
  struct net_addr peer;
  struct rw_arena arena;
  struct rw_buf out;
  const struct wir_msg *msg; /* what the sender repeats */
  uint64_t stream;           /* of the receiver */
  uint64_t in;
  uint64_t sent;
  double cpu; /* microseconds, when the thread ended */
};

static atomic_uint_fast64_t received; /* records at the receiver */
static atomic_bool over;

static int
take (struct side *side, struct rw_str data, struct rw_err *err)
{
  struct wir_msg msg;
  int rc = wir_decode (data, RW_LIT ("peer"), &side->arena, &msg, err);

  rw_arena_reset (&side->arena);
  side->in++;
  return rc;
}

static int
on_record (void *arg, uint64_t stream, struct rw_str data, struct rw_err *err)
{
  (void)stream;
  atomic_fetch_add (&received, 1);
  return take (arg, data, err);
}

static void
answer_probe (struct side *side, const struct net_addr *to)
{
  struct rw_err err;

  side->out.len = 0;
  if (wir_encode (cst_probe (WIR_PROBE_REPLY), &side->out, &err) == 0)
    net_rpc_send_datagram (&side->rpc, to, rw_buf_str (&side->out));
}

static int
on_datagram (void *arg, const struct net_addr *from, struct rw_str data,
             struct rw_err *err)
{
  struct side *side = arg;
  int rc = take (side, data, err);

  if (side->role == ROLE_RECEIVER)
    answer_probe (side, from);
  return rc;
}

static void
on_open (void *arg, uint64_t stream, const struct net_addr *addr)
{
  (void)arg;
  (void)stream;
  (void)addr;
}

static void
on_closed (void *arg, uint64_t stream)
{
  (void)arg;
  (void)stream;
}

static void
on_unsent (void *arg, uint64_t token)
{
  (void)arg;
  (void)token;
}

static void
on_error (void *arg, const struct rw_err *err)
{
  char text[320];

  (void)arg;
  fprintf (stderr, "rwfcost: %.*s\n",
           RW_STR_ARG (rw_err_format (err, text, sizeof text)));
}

static const struct net_rpc_ops OPS
    = { on_record, on_open, on_closed, on_unsent, on_datagram, on_error };

static void
send_records (struct side *side)
{
  struct rw_err err;

  while (side->sent - atomic_load (&received) < WINDOW)
    {
      side->out.len = 0;
      if (wir_encode (side->msg, &side->out, &err) < 0)
        abort ();
      net_rpc_send (&side->rpc, 0, &side->peer, 1, rw_buf_str (&side->out));
      side->sent++;
    }
  net_rpc_flush (&side->rpc);
}

/* One probe at a time: datagrams above the socket's buffer would be lost.  */
static void
send_probes (struct side *side)
{
  struct rw_err err;

  if (side->sent > side->in)
    return;
  side->out.len = 0;
  if (wir_encode (side->msg, &side->out, &err) < 0)
    abort ();
  net_rpc_send_datagram (&side->rpc, &side->peer, rw_buf_str (&side->out));
  side->sent++;
}

static void
on_prepare (uv_prepare_t *prepare)
{
  struct side *side = prepare->data;

  if (atomic_load (&over))
    uv_stop (&side->loop);
  else if (side->role == ROLE_RECEIVER)
    net_rpc_flush (&side->rpc);
  else if (side->msg->type == WIR_PROBE_CALL)
    send_probes (side);
  else
    send_records (side);
}

static void
on_timer (uv_timer_t *timer)
{
  (void)timer;
}

static void
side_init (struct side *side, enum role role)
{
  struct rw_err err;

  side->role = role;
  uv_loop_init (&side->loop);
  uv_prepare_init (&side->loop, &side->prepare);
  side->prepare.data = side;
  uv_prepare_start (&side->prepare, on_prepare);
  uv_timer_init (&side->loop, &side->timer);
  uv_timer_start (&side->timer, on_timer, 1, 1);
  rw_arena_init (&side->arena, 64 * 1024);
  rw_buf_init (&side->out);
  net_addr_set (&side->addr, RW_LIT ("127.0.0.1"), 0);
  if (net_rpc_init (&side->rpc, &side->loop, &side->addr, &OPS, side, &err)
      < 0)
    abort ();
  side->addr.port = side->rpc.port;
}

static void
side_finish (struct side *side)
{
  uv_prepare_stop (&side->prepare);
  net_rpc_finish (&side->rpc);
  uv_close ((uv_handle_t *)&side->prepare, NULL);
  uv_close ((uv_handle_t *)&side->timer, NULL);
  uv_run (&side->loop, UV_RUN_DEFAULT);
  uv_loop_close (&side->loop);
  rw_arena_finish (&side->arena);
  rw_buf_finish (&side->out);
}

static void *
run_side (void *arg)
{
  struct side *side = arg;

  uv_run (&side->loop, UV_RUN_DEFAULT);
  side->cpu = cst_thread_time ();
  return NULL;
}

/* Sends MSG for a while and stores the processor time of a message of the
   sender and of the receiver.  */
static void
run_case (const struct wir_msg *msg, double *sender, double *receiver)
{
  static struct side a;
  static struct side b;
  pthread_t threads[2];

  a = (struct side){ .msg = msg };
  b = (struct side){ 0 };
  atomic_store (&received, 0);
  atomic_store (&over, false);
  side_init (&a, ROLE_SENDER);
  side_init (&b, ROLE_RECEIVER);
  a.peer = b.addr;
  pthread_create (&threads[0], NULL, run_side, &a);
  pthread_create (&threads[1], NULL, run_side, &b);
  uv_sleep ((unsigned int)(2 * CST_CASE_TIME / RW_MSEC));
  atomic_store (&over, true);
  pthread_join (threads[0], NULL);
  pthread_join (threads[1], NULL);
  *sender = a.cpu / (double)a.sent;
  *receiver = b.cpu / (double)b.in;
  side_finish (&a);
  side_finish (&b);
}

/* Messages over loopback, coding included.  */
void
cst_run_rpc (void)
{
  double sender[16];
  double receiver[16];

  for (size_t i = 0; i < cst_size_count; i++)
    {
      run_case (cst_submit (cst_sizes[i]), &sender[i], &receiver[i]);
      printf ("SUBMIT on loopback, %u parts: sender %.2f us, receiver "
              "%.2f us\n",
              (unsigned int)cst_sizes[i], sender[i], receiver[i]);
    }
  cst_print_slope ("SUBMIT on loopback, sender", sender);
  cst_print_slope ("SUBMIT on loopback, receiver", receiver);
  run_case (cst_probe (WIR_PROBE_CALL), &sender[0], &receiver[0]);
  printf ("PROBE and reply on loopback: prober %.2f us, probed %.2f us\n",
          sender[0], receiver[0]);
}
