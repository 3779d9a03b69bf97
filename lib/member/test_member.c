#include "member.h"
#include "unit.h"

#define DAEMONS_MAX 50
#define ONE_WAY_DELAY (2 * RW_MSEC)

enum kind
{
  PROBE,
  ACK,
  PROBE_REQUEST
};

/* A message between two daemons of a simulated network.  */
struct message
{
  enum kind kind;
  size_t from;
  size_t to;
  uint32_t seq;
  uint64_t incarnation;
  char target[MEM_NAME_MAX + 1];
  size_t change_count;
  struct mem_change changes[MEM_CHANGES_MAX];
};

struct net
{
  size_t count; /* of daemons */
  struct rw_rng rng;
  rw_time now;
  double loss; /* probability that a message is lost */
  bool up[DAEMONS_MAX];
  bool cut[DAEMONS_MAX][DAEMONS_MAX]; /* from, to */
  uint64_t incarnation[DAEMONS_MAX];
  struct mem_members members[DAEMONS_MAX];
  struct rw_heap messages;
  uint64_t sent;
  size_t max_changes; /* in one message */
};

static void
name_of (size_t index, char name[MEM_NAME_MAX + 1])
{
  snprintf (name, MEM_NAME_MAX + 1, "vm-%zu", index);
}

static size_t
index_of (const char *name)
{
  return (size_t)strtoul (name + 3, NULL, 10);
}

static void
load_vm_list (struct net *net, size_t index, size_t excluded)
{
  char name[MEM_NAME_MAX + 1];

  mem_list_begin (&net->members[index]);
  for (size_t i = 0; i < net->count; i++)
    if (i != excluded)
      {
        name_of (i, name);
        mem_list_add (&net->members[index], rw_str_from (name),
                      RW_LIT ("127.0.0.1"), (uint16_t)(7000 + i), false,
                      net->now);
      }
  mem_list_end (&net->members[index]);
}

static void
start (struct net *net, size_t index)
{
  char name[MEM_NAME_MAX + 1];
  struct mem_settings settings = { .addr = RW_LIT ("127.0.0.1"),
                                   .port = (uint16_t)(7000 + index),
                                   .rng_seed = rw_rng_next (&net->rng) };

  name_of (index, name);
  settings.name = rw_str_from (name);
  settings.incarnation = net->incarnation[index] = rw_rng_next (&net->rng);
  net->up[index] = true;
  mem_init (&net->members[index], &settings, net->now);
  load_vm_list (net, index, SIZE_MAX);
}

static void
net_init (struct net *net, size_t count, uint64_t seed)
{
  memset (net, 0, sizeof *net);
  net->count = count;
  rw_rng_init (&net->rng, seed);
  rw_heap_init (&net->messages);
  for (size_t i = 0; i < count; i++)
    start (net, i);
}

static void
stop (struct net *net, size_t index)
{
  net->up[index] = false;
  mem_finish (&net->members[index]);
}

static void
net_finish (struct net *net)
{
  rw_time at;
  void *item;

  while ((item = rw_heap_pop (&net->messages, &at)) != NULL)
    free (item);
  rw_heap_finish (&net->messages);
  for (size_t i = 0; i < net->count; i++)
    if (net->up[i])
      stop (net, i);
}

static void
post_message (struct net *net, size_t from, size_t to, enum kind kind,
              uint32_t seq, const char *target)
{
  struct message *m = rw_xcalloc (1, sizeof *m);
  char name[MEM_NAME_MAX + 1];

  *m = (struct message){ .kind = kind,
                         .from = from,
                         .to = to,
                         .seq = seq,
                         .incarnation = net->incarnation[from] };
  rw_str_copy (m->target, sizeof m->target, rw_str_from (target));
  name_of (to, name);
  m->change_count
      = mem_pick_changes (&net->members[from], rw_str_from (name), m->changes);
  net->sent++;
  net->max_changes = m->change_count > net->max_changes ? m->change_count
                                                        : net->max_changes;
  if (net->cut[from][to] || rw_rng_unit (&net->rng) < net->loss)
    free (m);
  else
    rw_heap_push (&net->messages, net->now + ONE_WAY_DELAY, m);
}

static void
send_message (struct net *net, size_t from, const struct mem_send *send)
{
  switch (send->kind)
    {
    case MEM_SEND_NONE:
      break;
    case MEM_SEND_PROBE:
      post_message (net, from, index_of (send->target->name), PROBE, send->seq,
                    "");
      break;
    case MEM_SEND_PROBE_REQUEST:
      post_message (net, from, index_of (send->via->name), PROBE_REQUEST,
                    send->seq, send->target->name);
      break;
    }
}

static void
deliver (struct net *net, const struct message *m)
{
  struct mem_members *members = &net->members[m->to];
  const struct mem_entry *requester;
  char name[MEM_NAME_MAX + 1];
  struct mem_send send;
  uint32_t seq;

  if (!net->up[m->to])
    return;
  name_of (m->from, name);
  mem_on_message (members, rw_str_from (name), m->incarnation, net->now);
  mem_on_changes (members, m->changes, m->change_count, net->now);
  switch (m->kind)
    {
    case PROBE:
      post_message (net, m->to, m->from, ACK, m->seq, "");
      break;
    case ACK:
      if (mem_on_ack (members, m->seq, net->now, &requester, &seq))
        post_message (net, m->to, index_of (requester->name), ACK, seq, "");
      break;
    case PROBE_REQUEST:
      mem_on_probe_request (members, rw_str_from (name),
                            rw_str_from (m->target), m->seq, net->now, &send);
      send_message (net, m->to, &send);
      break;
    }
}

static void
tick_all (struct net *net)
{
  for (size_t i = 0; i < net->count; i++)
    {
      struct mem_send send;

      if (!net->up[i] || mem_next_tick (&net->members[i]) > net->now)
        continue;
      do
        {
          mem_tick (&net->members[i], net->now, &send);
          send_message (net, i, &send);
        }
      while (send.kind != MEM_SEND_NONE);
    }
}

static void
run_for (struct net *net, rw_time length)
{
  rw_time end = net->now + length;

  for (; net->now < end; net->now += 5 * RW_MSEC)
    {
      while (rw_heap_next_time (&net->messages) <= net->now)
        {
          rw_time at;
          struct message *m = rw_heap_pop (&net->messages, &at);

          deliver (net, m);
          free (m);
        }
      tick_all (net);
    }
}

/* Returns how many other running daemons consider INDEX usable.  */
static size_t
count_usable_views (const struct net *net, size_t index)
{
  char name[MEM_NAME_MAX + 1];
  size_t count = 0;

  name_of (index, name);
  for (size_t i = 0; i < net->count; i++)
    count += i != index && net->up[i]
             && mem_is_usable (&net->members[i], rw_str_from (name));
  return count;
}

/* Guards against daemons that never learn that a member failed, or that it
   runs again.  */
TEST (failures_are_detected)
{
  const size_t sizes[] = { 2, 3, 10, 50 };

  for (size_t s = 0; s < RW_ARRAY_LEN (sizes); s++)
    {
      static struct net net;

      net_init (&net, sizes[s], s + 1);
      run_for (&net, 3 * RW_SEC);
      assert_int_equal (count_usable_views (&net, 1), sizes[s] - 1);
      stop (&net, 1);
      run_for (&net, 8 * RW_SEC);
      assert_int_equal (count_usable_views (&net, 1), 0);
      assert_true (net.max_changes <= MEM_CHANGES_MAX);
      start (&net, 1);
      run_for (&net, 4 * RW_SEC);
      assert_int_equal (count_usable_views (&net, 1), sizes[s] - 1);
      net_finish (&net);
    }
}

/* Guards against members that count as failed only because messages are lost:
   a suspected member must be able to refute in time.  While 10 % of the
   messages are lost, at most 1 % of the members checked each second may count
   as not usable somewhere; 10 s after the loss ends, none may.  */
TEST (loss_alone_rarely_fails_members)
{
  static struct net net;
  size_t wrong_views = 0;

  net_init (&net, 20, 5);
  net.loss = 0.1;
  for (int i = 0; i < 60; i++)
    {
      run_for (&net, RW_SEC);
      for (size_t m = 0; m < net.count; m++)
        wrong_views += count_usable_views (&net, m) != net.count - 1;
    }
  assert_true (wrong_views <= 60 * net.count / 100);
  net.loss = 0;
  run_for (&net, 10 * RW_SEC);
  for (size_t m = 0; m < net.count; m++)
    assert_int_equal (count_usable_views (&net, m), net.count - 1);
  net_finish (&net);
}

/* Guards against a member that counts as failed because its link to one other
   member is broken: indirect probes must reach it.  */
TEST (indirect_probes_bypass_a_broken_link)
{
  static struct net net;

  net_init (&net, 5, 9);
  net.cut[0][1] = net.cut[1][0] = true;
  for (int i = 0; i < 20; i++)
    {
      run_for (&net, RW_SEC);
      assert_int_equal (count_usable_views (&net, 1), 4);
      assert_int_equal (count_usable_views (&net, 0), 4);
    }
  net_finish (&net);
}

/* Guards against members that stay failed after a network partition ends.  */
TEST (partitions_heal)
{
  static struct net net;

  net_init (&net, 10, 3);
  run_for (&net, 2 * RW_SEC);
  for (size_t i = 0; i < 5; i++)
    for (size_t j = 5; j < 10; j++)
      net.cut[i][j] = net.cut[j][i] = true;
  run_for (&net, 20 * RW_SEC);
  assert_int_equal (count_usable_views (&net, 0), 4);
  assert_int_equal (count_usable_views (&net, 9), 4);
  memset (net.cut, 0, sizeof net.cut);
  run_for (&net, 10 * RW_SEC);
  for (size_t m = 0; m < net.count; m++)
    assert_int_equal (count_usable_views (&net, m), net.count - 1);
  net_finish (&net);
}

/* Guards against work that is sent to a leaving member or to a member that is
   no longer on the VM list.  */
TEST (leaving_members_get_no_work)
{
  static struct net net;

  net_init (&net, 20, 4);
  run_for (&net, 2 * RW_SEC);
  mem_leave (&net.members[7]);
  mem_send_extra_probes (&net.members[7]);
  run_for (&net, 4 * RW_SEC);
  assert_int_equal (count_usable_views (&net, 7), 0);
  for (size_t i = 0; i < net.count; i++)
    load_vm_list (&net, i, 8);
  assert_int_equal (count_usable_views (&net, 8), 0);
  assert_int_equal (mem_count (&net.members[0]), 18);
  net_finish (&net);
}

/* Guards against changes that are sent without end: if nothing changes, the
   messages carry no change after a while.  */
TEST (changes_are_sent_a_limited_number_of_times)
{
  static struct net net;
  struct mem_change changes[MEM_CHANGES_MAX];

  net_init (&net, 10, 6);
  run_for (&net, 60 * RW_SEC);
  for (size_t i = 0; i < net.count; i++)
    assert_int_equal (
        mem_pick_changes (&net.members[i], RW_LIT ("vm-0"), changes), 0);
  net_finish (&net);
}

/* Guards against a late change of an earlier process that replaces the state
   of the running one.  */
TEST (old_incarnations_are_ignored)
{
  static struct net net;
  struct mem_change old_change = {
    .name = "vm-1", .incarnation = 4711, .counter = 9, .state = MEM_FAILED
  };

  net_init (&net, 3, 8);
  run_for (&net, 3 * RW_SEC);
  mem_on_changes (&net.members[0], &old_change, 1, net.now);
  assert_true (mem_is_usable (&net.members[0], RW_LIT ("vm-1")));
  old_change.state = MEM_ALIVE;
  mem_on_changes (&net.members[0], &old_change, 1, net.now);
  assert_true (mem_find (&net.members[0], RW_LIT ("vm-1"))->incarnation
               == net.incarnation[1]);
  net_finish (&net);
}
