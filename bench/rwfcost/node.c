#include "cost.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node.h"

#define DCS 5
#define START (1000 * RW_SEC)
#define DELAY (1 * RW_MSEC)
#define WARM_UP (10 * RW_SEC)
#define MEASURED (10 * RW_SEC)

static struct rw_buf doc;

static struct rw_str
vms_doc (size_t count)
{
  doc.len = 0;
  rw_buf_printf (&doc, "{\"vms\":[");
  for (size_t i = 0; i < count; i++)
    rw_buf_printf (&doc,
                   "%s{\"name\":\"vm-%zu\",\"dc\":\"dc-%zu\",\"addr\":"
                   "\"10.%zu.%zu.%zu\",\"rpc\":7000,\"state\":\"live\"}",
                   i != 0 ? "," : "", i, i % DCS, i >> 16, i >> 8 & 255,
                   i & 255);
  rw_buf_printf (&doc, "]}");
  return rw_buf_str (&doc);
}

/* A map of TARGETS searchers in shards of two replicas.  */
static struct rw_str
map_doc (size_t targets, size_t shards)
{
  doc.len = 0;
  rw_buf_printf (&doc, "{\"service\":\"parts\",\"snapshot\":\"s1\","
                       "\"shards\":[");
  for (size_t i = 0; i < shards; i++)
    {
      rw_buf_printf (&doc, "%s[", i != 0 ? "," : "");
      for (size_t t = i; t < targets; t += shards)
        rw_buf_printf (&doc, "%s\"t-%zu\"", t != i ? "," : "", t);
      rw_buf_printf (&doc, "]");
    }
  rw_buf_printf (&doc, "],\"targets\":[");
  for (size_t t = 0; t < targets; t++)
    rw_buf_printf (&doc,
                   "%s{\"name\":\"t-%zu\",\"dc\":\"dc-%zu\",\"addr\":"
                   "\"10.9.%zu.%zu\",\"port\":9000}",
                   t != 0 ? "," : "", t, t % DCS, t >> 8, t & 255);
  rw_buf_printf (&doc, "]}");
  return rw_buf_str (&doc);
}

static struct rw_str
rules_doc (size_t groups)
{
  doc.len = 0;
  rw_buf_printf (&doc, "service parts kind=search deadline=1s # bench\n");
  for (size_t i = 0; i < DCS; i++)
    rw_buf_printf (&doc, "data-centre dc-%zu groups=%zu # bench\n", i,
                   groups != 0 ? groups : 1);
  return rw_buf_str (&doc);
}

/* A VM list with names and addresses in no order, which compress less than the
   sequence of vms_doc.  */
static struct rw_str
scattered_vms_doc (size_t count)
{
  doc.len = 0;
  rw_buf_printf (&doc, "{\"vms\":[");
  for (size_t i = 0; i < count; i++)
    {
      unsigned int n = (unsigned int)rw_hash_u64 (i, 0);

      rw_buf_printf (&doc,
                     "%s{\"name\":\"vm-%05x\",\"dc\":\"midrand-%u\","
                     "\"addr\":\"10.%u.%u.%u\",\"rpc\":7000,"
                     "\"state\":\"live\"}",
                     i != 0 ? "," : "", n >> 12, n % DCS, n & 15, n >> 4 & 255,
                     n >> 12 & 255);
    }
  rw_buf_printf (&doc, "]}");
  return rw_buf_str (&doc);
}

/* LINES rules of the kinds and lengths that operators write.  */
static struct rw_str
long_rules_doc (size_t lines)
{
  doc.len = 0;
  for (size_t i = 0; i < lines; i++)
    rw_buf_printf (&doc,
                   "target t-%zu %s # sipho: ticket %zu, replaced by %zu:00\n",
                   i * 7919 % 9700, i % 3 != 0 ? "leaving" : "slots=1 cold=1",
                   i * 104729 % 65536, i % 24);
  return rw_buf_str (&doc);
}

/* Coding of BODY in a FETCH reply and, as the cost without compression, in a
   SUBMIT.  */
static void
run_document (const char *name, struct rw_str body)
{
  struct wir_msg msg = { .type = WIR_SUBMIT, .u.submit.body = body };
  char text[64];
  double encode;
  double decode;

  snprintf (text, sizeof text, "%s, not compressed", name);
  cst_run_message (text, &msg, &encode, &decode);
  msg = (struct wir_msg){ .type = WIR_FETCH_REPLY };
  msg.u.fetch_reply.key = rw_str_from (name);
  msg.u.fetch_reply.version = 1;
  msg.u.fetch_reply.body = body;
  snprintf (text, sizeof text, "%s, FETCH reply", name);
  cst_run_message (text, &msg, &encode, &decode);
}

static void
run_documents (void)
{
  run_document ("vms of 2300", scattered_vms_doc (2300));
  run_document ("map of 9700 targets", map_doc (9700, 540));
  run_document ("rules of 500 lines", long_rules_doc (500));
}

static struct nod_node *
new_node (size_t index)
{
  char vm[32];
  char dc[32];
  char addr[32];
  struct nod_settings settings
      = { .rpc_port = 7000, .incarnation = index + 1, .seed = index + 1 };

  snprintf (vm, sizeof vm, "vm-%zu", index);
  snprintf (dc, sizeof dc, "dc-%zu", index % DCS);
  snprintf (addr, sizeof addr, "10.%zu.%zu.%zu", index >> 16, index >> 8 & 255,
            index & 255);
  settings.vm = rw_str_from (vm);
  settings.dc = rw_str_from (dc);
  settings.addr = rw_str_from (addr);
  return nod_new (&settings, START);
}

static void
drop_actions (struct nod_node *node)
{
  struct nod_action action;

  while (nod_next_action (node, &action))
    nod_action_finish (&action);
}

static double
offer (struct nod_node *node, const char *key, struct rw_str body)
{
  double before = cst_thread_time ();

  nod_on_doc (node, rw_str_from (key), 1, body, START + RW_MSEC);
  drop_actions (node);
  return cst_thread_time () - before;
}

/* Memory of a node, and the time that each document takes.  */
static void
run_memory (size_t vms, size_t targets)
{
  size_t before = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;
  struct nod_node *node = new_node (0);
  size_t groups = vms / DCS * 2 / 5;
  double rules = offer (node, "rules", rules_doc (groups));
  double list = offer (node, "vms", vms_doc (vms));
  double map = offer (node, "map/parts", map_doc (targets, targets / 18 + 1));
  size_t after = mallinfo2 ().uordblks + mallinfo2 ().hblkhd;

  printf ("node, %zu VMs, %zu targets: %.1f MB; rules %.1f ms, VM list %.1f "
          "ms, map %.1f ms\n",
          vms, targets, (double)(after - before) / 1e6, rules / 1000,
          list / 1000, map / 1000);
  nod_free (node);
}

/* Datagrams among COUNT nodes in virtual time.  */
struct datagram
{
  size_t to;
  struct nod_addr from;
  struct rw_buf data;
};

struct fleet
{
  struct nod_node **nodes;
  size_t count;
  struct rw_heap heap;
  uint64_t messages;
  uint64_t bytes;
};

static size_t
index_of (const struct nod_addr *addr)
{
  unsigned int a = 0;
  unsigned int b = 0;
  unsigned int c = 0;

  if (sscanf (addr->host, "10.%u.%u.%u", &a, &b, &c) != 3)
    return 0;
  return (size_t)a << 16 | (size_t)b << 8 | c;
}

static void
route (struct fleet *fleet, size_t from, rw_time now)
{
  struct nod_action action;

  while (nod_next_action (fleet->nodes[from], &action))
    {
      size_t to = action.kind == NOD_SEND_DATAGRAM
                      ? index_of (&action.u.datagram.to)
                      : fleet->count;

      if (to < fleet->count)
        {
          struct datagram *d = rw_xcalloc (1, sizeof *d);

          d->to = to;
          snprintf (d->from.host, sizeof d->from.host, "10.%zu.%zu.%zu",
                    from >> 16, from >> 8 & 255, from & 255);
          d->from.port = 7000;
          d->data = action.data;
          rw_buf_init (&action.data);
          fleet->messages++;
          fleet->bytes += d->data.len;
          rw_heap_push (&fleet->heap, now + DELAY, d);
        }
      nod_action_finish (&action);
    }
}

static void
deliver (struct fleet *fleet, rw_time now)
{
  struct datagram *d = rw_heap_pop (&fleet->heap, NULL);
  struct rw_err err;

  nod_on_datagram (fleet->nodes[d->to], &d->from, rw_buf_str (&d->data), now,
                   &err);
  route (fleet, d->to, now);
  rw_buf_finish (&d->data);
  free (d);
}

static void
run_until (struct fleet *fleet, rw_time *now, rw_time end)
{
  while (*now < end)
    {
      rw_time next = rw_heap_next_time (&fleet->heap);

      for (size_t i = 0; i < fleet->count; i++)
        {
          rw_time at = nod_next_wakeup (fleet->nodes[i]);

          next = at < next ? at : next;
        }
      if (next > *now)
        *now = next;
      while (rw_heap_next_time (&fleet->heap) <= *now)
        deliver (fleet, *now);
      for (size_t i = 0; i < fleet->count; i++)
        if (nod_next_wakeup (fleet->nodes[i]) <= *now)
          {
            nod_tick (fleet->nodes[i], *now);
            route (fleet, i, *now);
          }
    }
}

/* Control traffic and processor time of each of COUNT nodes.  The search for
   the next wake-up looks at every node and is measured separately.  */
static void
run_control (size_t count, size_t groups)
{
  struct fleet fleet = { .count = count };
  rw_time now = START;
  double used;
  double seconds = (double)MEASURED / 1e6;

  rw_heap_init (&fleet.heap);
  fleet.nodes = rw_xcalloc (count, sizeof (void *));
  for (size_t i = 0; i < count; i++)
    {
      fleet.nodes[i] = new_node (i);
      offer (fleet.nodes[i], "rules", rules_doc (groups));
      offer (fleet.nodes[i], "vms", vms_doc (count));
    }
  run_until (&fleet, &now, START + WARM_UP);
  fleet.messages = fleet.bytes = 0;
  used = cst_thread_time ();
  run_until (&fleet, &now, START + WARM_UP + MEASURED);
  used = cst_thread_time () - used;
  printf ("control, %zu nodes, %zu groups per data centre: %.1f messages/s, "
          "%.0f bytes/s sent by each, at "
          "most %.0f us of processor time in a second\n",
          count, groups, (double)fleet.messages / seconds / (double)count,
          (double)fleet.bytes / seconds / (double)count,
          used / seconds / (double)count);
  while (rw_heap_next_time (&fleet.heap) != RW_TIME_NEVER)
    {
      struct datagram *d = rw_heap_pop (&fleet.heap, NULL);

      rw_buf_finish (&d->data);
      free (d);
    }
  rw_heap_finish (&fleet.heap);
  for (size_t i = 0; i < count; i++)
    nod_free (fleet.nodes[i]);
  free (fleet.nodes);
}

/* The value of the string or number NAME in the JSON TEXT, up to a quote,
   comma or bracket.  */
static struct rw_str
member_of (struct rw_str text, const char *name)
{
  char key[32];
  const char *at;
  size_t len = 0;

  snprintf (key, sizeof key, "\"%s\":", name);
  at = memmem (text.ptr, text.len, key, strlen (key));
  if (at == NULL)
    return RW_LIT ("");
  at += strlen (key);
  if (*at == '"')
    at++;
  while (at + len < text.ptr + text.len && strchr ("\",]}", at[len]) == NULL)
    len++;
  return (struct rw_str){ at, len };
}

/* Answers an exchange with four records for its one part and returns the
   processor time that the node took.  */
static double
reply (struct nod_node *node, const struct nod_action *start, rw_time now)
{
  struct rw_str request = rw_buf_str (&start->data);
  struct rw_str shard = member_of (request, "shard");
  struct rw_str id = member_of (request, "id");
  double before;

  doc.len = 0;
  rw_buf_printf (&doc,
                 "{\"target\":\"%s\",\"incarnation\":7,\"snapshot\":\"s1\","
                 "\"shard\":%.*s,\"load\":10,\"results\":[{\"id\":\"%.*s\","
                 "\"records\":[",
                 start->u.start.target, RW_STR_ARG (shard), RW_STR_ARG (id));
  for (int i = 0; i < 4; i++)
    rw_buf_printf (&doc,
                   "%s{\"id\":\"%.*s-%d\",\"score\":0.%d%.*s,"
                   "\"text\":\"red lens 210 mm, depot 7, row 12\"}",
                   i != 0 ? "," : "", RW_STR_ARG (shard), i, i + 1,
                   RW_STR_ARG (shard));
  rw_buf_printf (&doc, "]}]}");
  before = cst_thread_time ();
  nod_on_exchange_reply (node, start->u.start.exchange, 200, -1,
                         rw_buf_str (&doc), now);
  return cst_thread_time () - before;
}

/* Answers what the node asks its targets, until its caller is answered.  */
static double
answer_all (struct nod_node *node, rw_time now, uint64_t *complete)
{
  struct nod_action action;
  double used = 0;

  while (nod_next_action (node, &action))
    {
      if (action.kind == NOD_START_EXCHANGE)
        used += reply (node, &action, now);
      else if (action.kind == NOD_ANSWER
               && memmem (action.data.ptr, action.data.len,
                          "\"complete\":true", 15)
                      != NULL)
        ++*complete;
      nod_action_finish (&action);
    }
  return used;
}

/* Processor time of whole queries to SHARDS searchers in a node that is entry
   and holder in one: no message between daemons, one part an exchange.  */
static void
run_queries (size_t shards)
{
  static const struct nod_request REQUEST
      = { .kind = NOD_REQUEST_SEARCH,
          .service = { "parts", 5 },
          .timeout = 500 * RW_MSEC,
          .body = { "red lens 210 mm", 15 } };
  struct nod_node *node = new_node (0);
  rw_time now = START;
  uint64_t complete = 0;
  uint64_t count = 0;
  double used = 0;

  offer (node, "rules", rules_doc (8));
  offer (node, "vms", vms_doc (1));
  offer (node, "map/parts", map_doc (shards, shards));
  for (; now < START + WARM_UP; now += 50 * RW_MSEC)
    {
      nod_tick (node, now);
      drop_actions (node);
    }
  for (; used < (double)CST_CASE_TIME && count < 5000; count++)
    {
      double before = cst_thread_time ();

      now += 20 * RW_MSEC;
      nod_tick (node, now);
      nod_on_request (node, count + 1, &REQUEST, now);
      used += cst_thread_time () - before;
      used += answer_all (node, now + RW_MSEC, &complete);
    }
  printf ("query, %zu parts: %.0f us, %.2f us for each part (%llu queries, "
          "%llu complete)\n",
          shards, used / (double)count, used / (double)count / (double)shards,
          (unsigned long long)count, (unsigned long long)complete);
  nod_free (node);
}

void
cst_run_node (void)
{

  static const size_t FLEETS[] = { 10, 25, 50, 100, 200 };

  rw_buf_init (&doc);
  run_documents ();
  run_memory (15, 134);
  run_memory (230, 970);
  run_memory (1150, 4850);
  run_memory (2300, 9700);
  for (size_t i = 0; i < RW_ARRAY_LEN (FLEETS); i++)
    run_control (FLEETS[i], FLEETS[i] / DCS * 2 / 5);
  run_control (200, 10);
  run_control (200, 8);
  rw_buf_finish (&doc);
}

void
cst_run_query (void)
{
  static const size_t SHARDS[] = { 10, 40, 150, 540 };

  rw_buf_init (&doc);
  for (size_t i = 0; i < RW_ARRAY_LEN (SHARDS); i++)
    run_queries (SHARDS[i]);
  rw_buf_finish (&doc);
}
