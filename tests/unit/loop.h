/* Event loops of tests, and a listening socket without a server.  */

#ifndef UNIT_LOOP_H
#define UNIT_LOOP_H

#include <arpa/inet.h>
#include <unistd.h>

#include "net.h"
#include "unit.h"

#define WAIT (5 * RW_SEC)

/* Runs LOOP until CONDITION holds; fails if it does not within WAIT.  */
#define LOOP_RUN_UNTIL(LOOP, CONDITION)                                       \
  do                                                                          \
    {                                                                         \
      rw_time until = rw_now () + WAIT;                                       \
      while (!(CONDITION) && rw_now () < until)                               \
        uv_run (LOOP, UV_RUN_ONCE);                                           \
      assert_true (CONDITION);                                                \
    }                                                                         \
  while (0)

/* Handles that flush before each poll and end each poll after 1 ms.  */
struct loop_handles
{
  uv_prepare_t prepare;
  uv_timer_t timer;
};

static void
loop_on_timer (uv_timer_t *timer)
{
  (void)timer;
}

/* Starts H on LOOP; FLUSH gets a handle with DATA.  */
static void
loop_start (struct loop_handles *h, uv_loop_t *loop, uv_prepare_cb flush,
            void *data)
{
  uv_prepare_init (loop, &h->prepare);
  h->prepare.data = data;
  uv_prepare_start (&h->prepare, flush);
  uv_timer_init (loop, &h->timer);
  uv_timer_start (&h->timer, loop_on_timer, 1, 1);
}

static void
loop_stop (struct loop_handles *h)
{
  uv_close ((uv_handle_t *)&h->prepare, NULL);
  uv_close ((uv_handle_t *)&h->timer, NULL);
}

/* Ends LOOP, which must have no active handles.  */
static inline void
loop_finish (uv_loop_t *loop)
{
  uv_run (loop, UV_RUN_DEFAULT);
  assert_int_equal (uv_loop_close (loop), 0);
}

/* Returns a socket that listens on the loopback address ADDR.  */
static inline int
loop_listen_raw (struct net_addr *addr)
{
  struct sockaddr_in sa = { .sin_family = AF_INET };
  socklen_t len = sizeof sa;
  int fd = socket (AF_INET, SOCK_STREAM, 0);

  sa.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  assert_int_equal (bind (fd, (struct sockaddr *)&sa, sizeof sa), 0);
  assert_int_equal (listen (fd, 4), 0);
  getsockname (fd, (struct sockaddr *)&sa, &len);
  net_addr_from_sockaddr ((struct sockaddr *)&sa, addr);
  return fd;
}

#endif
