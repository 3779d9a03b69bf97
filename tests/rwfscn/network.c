#include "world.h"

#include <stdlib.h>
#include <string.h>

/* Times after which an unreachable peer is noticed.  */
#define CONNECT_TIMEOUT (1 * RW_SEC)
#define BREAK_TIMEOUT (1 * RW_SEC)

/* Returns the time that a message takes, with a jitter of up to 20%.  */
rw_time
scn_delay (struct scn_world *world, size_t from, size_t to)
{
  bool local = strcmp (world->daemons[from].dc, world->daemons[to].dc) == 0;
  rw_time base = local ? world->delay_local : world->delay_dc;

  return base + (rw_time)rw_rng_below (&world->rng, (uint64_t)base / 5 + 1);
}

static size_t
by_addr (const struct scn_world *world, const struct nod_addr *addr)
{
  for (size_t i = 0; i < world->daemon_count; i++)
    if (strcmp (world->daemons[i].addr.host, addr->host) == 0)
      return i;
  return SIZE_MAX;
}

void
scn_send_datagram (struct scn_world *world, size_t from,
                   const struct nod_action *action)
{
  size_t to = by_addr (world, &action->u.datagram.to);
  struct scn_event *event;

  world->figures.datagrams++;
  world->figures.datagram_bytes += action->data.len;
  if (to == SIZE_MAX || world->cut[from][to]
      || rw_rng_unit (&world->rng) < world->loss)
    return;
  event = scn_event (world, world->now + scn_delay (world, from, to),
                     SCN_DATAGRAM);
  event->daemon = to;
  event->daemon_start = world->daemons[to].starts;
  event->from = world->daemons[from].addr;
  rw_buf_append_str (&event->data, rw_buf_str (&action->data));
}

static struct scn_conn *
conn_by_number (const struct scn_world *world, uint64_t number)
{
  return number != 0 && number <= world->conn_count ? world->conns[number - 1]
                                                    : NULL;
}

static struct scn_conn *
find_open (const struct scn_world *world, size_t from, size_t to)
{
  for (size_t i = world->conn_count; i > 0; i--)
    {
      struct scn_conn *conn = world->conns[i - 1];

      if (conn->open && conn->opener == from && conn->acceptor == to)
        return conn;
    }
  return NULL;
}

static struct scn_conn *
open_conn (struct scn_world *world, size_t from, size_t to)
{
  struct scn_conn *conn = rw_xcalloc (1, sizeof *conn);
  struct scn_event *event;
  rw_time round_trip
      = scn_delay (world, from, to) + scn_delay (world, to, from);

  world->conns = rw_xrealloc (world->conns,
                              (world->conn_count + 1) * sizeof *world->conns);
  world->conns[world->conn_count++] = conn;
  conn->number = world->conn_count;
  conn->opener = from;
  conn->acceptor = to;
  conn->opener_start = world->daemons[from].starts;
  conn->acceptor_start = world->daemons[to].starts;
  conn->open = true;
  conn->last[0] = conn->last[1] = world->now + round_trip;
  event = scn_event (world, world->now + round_trip, SCN_CONN_OPEN);
  event->daemon = from;
  event->daemon_start = conn->opener_start;
  event->number = conn->number;
  event->from = world->daemons[to].addr;
  return conn;
}

static void
notify_closed (struct scn_world *world, const struct scn_conn *conn,
               size_t daemon, unsigned int start, rw_time at)
{
  struct scn_event *event = scn_event (world, at, SCN_CONN_CLOSED);

  event->daemon = daemon;
  event->daemon_start = start;
  event->number = conn->number;
}

/* Breaks a connection; each end that runs notices after DELAY.  */
static void
break_conn (struct scn_world *world, struct scn_conn *conn, rw_time delay)
{
  if (!conn->open)
    return;
  conn->open = false;
  notify_closed (world, conn, conn->opener, conn->opener_start,
                 world->now + delay);
  notify_closed (world, conn, conn->acceptor, conn->acceptor_start,
                 world->now + delay);
}

void
scn_close_conns (struct scn_world *world, size_t daemon)
{
  for (size_t i = 0; i < world->conn_count; i++)
    {
      struct scn_conn *conn = world->conns[i];

      if (conn->open && (conn->opener == daemon || conn->acceptor == daemon))
        break_conn (world, conn,
                    scn_delay (world, conn->opener, conn->acceptor));
    }
}

/* Cuts or heals the way from one daemon to another.  Connections that use it
   break, which both ends notice late.  */
void
scn_cut (struct scn_world *world, size_t from, size_t to, bool cut)
{
  world->cut[from][to] = cut;
  if (!cut)
    return;
  for (size_t i = 0; i < world->conn_count; i++)
    {
      struct scn_conn *conn = world->conns[i];

      if ((conn->opener == from && conn->acceptor == to)
          || (conn->opener == to && conn->acceptor == from))
        break_conn (world, conn, BREAK_TIMEOUT);
    }
}

static void
report_unsent (struct scn_world *world, size_t from, uint64_t token,
               rw_time delay)
{
  struct scn_event *event = scn_event (world, world->now + delay, SCN_UNSENT);

  event->daemon = from;
  event->daemon_start = world->daemons[from].starts;
  event->number = token;
}

/* Returns the connection for a record, or null with the time after which its
   failure is noticed in DELAY.  */
static struct scn_conn *
conn_for (struct scn_world *world, size_t from,
          const struct nod_action *action, rw_time *delay)
{
  struct scn_conn *conn;
  size_t to;

  if (action->u.record.stream != 0)
    {
      conn = conn_by_number (world, action->u.record.stream);
      return conn != NULL && conn->open ? conn : NULL;
    }
  to = by_addr (world, &action->u.record.to);
  if (to == SIZE_MAX)
    return NULL;
  conn = find_open (world, from, to);
  if (conn != NULL)
    return conn;
  if (world->cut[from][to] || world->cut[to][from])
    {
      *delay = CONNECT_TIMEOUT;
      return NULL;
    }
  if (world->daemons[to].node == NULL)
    {
      *delay = 2 * scn_delay (world, from, to);
      return NULL;
    }
  return open_conn (world, from, to);
}

void
scn_send_record (struct scn_world *world, size_t from,
                 const struct nod_action *action)
{
  rw_time delay = 0;
  struct scn_conn *conn = conn_for (world, from, action, &delay);
  struct scn_event *event;
  size_t to;
  int way;
  rw_time at;

  if (conn == NULL)
    {
      report_unsent (world, from, action->u.record.token, delay);
      return;
    }
  way = conn->opener == from ? 0 : 1;
  to = way == 0 ? conn->acceptor : conn->opener;
  at = world->now + scn_delay (world, from, to);
  if (at <= conn->last[way])
    at = conn->last[way] + 1;
  conn->last[way] = at;
  event = scn_event (world, at, SCN_RECORD);
  event->daemon = to;
  event->daemon_start = way == 0 ? conn->acceptor_start : conn->opener_start;
  event->number = conn->number;
  rw_buf_append_str (&event->data, rw_buf_str (&action->data));
}

static void
on_record (struct scn_world *world, struct scn_event *event)
{
  struct scn_conn *conn = conn_by_number (world, event->number);
  struct rw_err err = { 0 };

  /* What is still on its way when a connection breaks is lost.  */
  if (conn == NULL || !conn->open)
    return;
  if (nod_on_record (world->daemons[event->daemon].node, event->number,
                     rw_buf_str (&event->data), world->now, &err)
      < 0)
    abort ();
}

void
scn_network_event (struct scn_world *world, struct scn_event *event)
{
  struct nod_node *node;
  struct rw_err err = { 0 };

  if (!scn_running (world, event->daemon, event->daemon_start))
    return;
  node = world->daemons[event->daemon].node;
  switch (event->kind)
    {
    case SCN_DATAGRAM:
      if (nod_on_datagram (node, &event->from, rw_buf_str (&event->data),
                           world->now, &err)
          < 0)
        abort ();
      break;
    case SCN_RECORD:
      on_record (world, event);
      break;
    case SCN_CONN_OPEN:
      nod_on_stream_open (node, event->number, &event->from, world->now);
      break;
    case SCN_CONN_CLOSED:
      nod_on_stream_closed (node, event->number, world->now);
      break;
    case SCN_UNSENT:
      nod_on_record_unsent (node, event->number, world->now);
      break;
    default:
      break;
    }
  scn_drain_actions (world, event->daemon);
}
