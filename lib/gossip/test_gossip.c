#include "gossip.h"
#include "unit.h"

#define MAX_DAEMONS 600
#define TICK_INTERVAL (20 * RW_MSEC)

/* Daemons that exchange messages in simulated time.  Daemon I has the address
   I + 1.  */
struct fleet
{
  struct gos_gossip daemons[MAX_DAEMONS];
  bool up[MAX_DAEMONS];
  size_t count;
  uint64_t messages;
  /* Whether a message is lost; null: none is.  */
  bool (*is_lost) (size_t from, size_t to, rw_time now);
};

static struct fleet fleet;

static void
start (size_t i, rw_time now, size_t dcs)
{
  struct gos_settings settings = { .ip = (uint32_t)i + 1,
                                   .dc = (uint32_t)(i % dcs) + 100,
                                   .seeds = { 1, 2, 3 },
                                   .seed_count = 3,
                                   .min_daemons = 20,
                                   .rng_seed = i + 77 };
  gos_init (&fleet.daemons[i], &settings, now);
  fleet.up[i] = true;
}

static void
start_all (size_t count, size_t dcs)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.count = count;
  for (size_t i = 0; i < count; i++)
    start (i, 0, dcs);
}

static void
stop_all (void)
{
  for (size_t i = 0; i < fleet.count; i++)
    gos_finish (&fleet.daemons[i]);
}

/* Encodes a message of daemon FROM and, unless it is lost, delivers it to
   daemon TO, which sends a reply if one is requested.  */
static void
deliver (size_t from, size_t to, bool reply_requested, rw_time now)
{
  struct gos_message message
      = { .revision = (int64_t)from, .reply_requested = reply_requested };
  struct gos_message received;
  struct rw_err err;
  char data[GOS_MAX_DATAGRAM];
  fleet.messages++;
  gos_fill_message (&fleet.daemons[from], now, &message);
  size_t len = gos_encode (&message, data, sizeof data);
  assert_in_range (len, 1, GOS_MAX_DATAGRAM);
  if (to >= fleet.count || !fleet.up[to]
      || (fleet.is_lost != NULL && fleet.is_lost (from, to, now)))
    return;
  assert_int_equal (gos_decode ((struct rw_str){ data, len }, &received, &err),
                    0);
  gos_on_message (&fleet.daemons[to], (uint32_t)from + 1, &received, now);
  if (received.reply_requested)
    deliver (to, from, false, now);
}

/* Runs the daemons that are up from the time FROM until the time TO.  */
static void
run (rw_time from, rw_time to)
{
  uint32_t ips[4];
  for (rw_time now = from; now < to; now += TICK_INTERVAL)
    for (size_t i = 0; i < fleet.count; i++)
      {
        if (!fleet.up[i])
          continue;
        size_t n = gos_tick (&fleet.daemons[i], now, ips, RW_ARRAY_LEN (ips));
        if (now % (100 * RW_MSEC) == 0)
          (void)gos_daemon_count (&fleet.daemons[i], now);
        for (size_t j = 0; j < n; j++)
          deliver (i, ips[j] - 1,
                   gos_should_request_reply (&fleet.daemons[i], now), now);
      }
}

/* Checks that 14 s after COUNT daemons started, one of the three seeds being
   down, each daemon counts 80% to 200% of them.  */
static void
check_counts (size_t count)
{
  start_all (count, 4);
  fleet.up[1] = false;
  run (0, 14 * RW_SEC);
  for (size_t i = 0; i < fleet.count; i++)
    if (fleet.up[i])
      assert_in_range (gos_daemon_count (&fleet.daemons[i], 14 * RW_SEC),
                       count * 8 / 10, count * 2);
  stop_all ();
}

/* Guards against a shared limit that is divided by too few daemons, so that
   all of them together exceed it.  The first request comes 14 s after the
   start; by then each daemon must count at least 80% of the daemons, because
   hedges and retries use 80% of their limit, and at most 200%.  One of three
   seeds is down.  */
TEST (members_are_known_before_the_first_request)
{
  check_counts (13);
  check_counts (139);
  check_counts (300);
  check_counts (600);
}

/* Guards against daemons that take the shares of many others in the seconds
   after a restart of all: targets then get more connections than they accept,
   and daemons with little capacity know of no larger one to forward requests
   to.  */
TEST (members_are_known_a_second_after_a_start_of_all)
{
  static const size_t counts[] = { 13, 139, 300, 600 };
  for (size_t k = 0; k < RW_ARRAY_LEN (counts); k++)
    {
      start_all (counts[k], 4);
      fleet.up[1] = false;
      run (0, RW_SEC);
      for (size_t i = 0; i < fleet.count; i++)
        if (fleet.up[i])
          assert_in_range (gos_daemon_count (&fleet.daemons[i], RW_SEC),
                           counts[k] * 8 / 10, counts[k] * 2);
      stop_all ();
    }
}

/* Guards against a store that is overloaded because all daemons read it at
   once after a start of all, and against daemons that do not read it at all
   although no copy reaches them.  */
TEST (few_daemons_read_the_store_after_a_start_of_all)
{
  size_t readers = 0;
  start_all (600, 4);
  run (0, 200 * RW_MSEC);
  for (size_t i = 0; i < fleet.count; i++)
    readers += gos_initial_read_due (&fleet.daemons[i], 0, 200 * RW_MSEC);
  assert_in_range (readers, 4, 60);
  for (size_t i = 0; i < fleet.count; i++)
    assert_true (
        gos_initial_read_due (&fleet.daemons[i], RW_SEC, 200 * RW_MSEC));
  stop_all ();
}

/* Guards against an assumed number that stays in use when the true one is
   known: four daemons used a fifth of what they share for a minute.  One that
   knows nobody may be cut off, and keeps it.  */
TEST (the_assumed_number_ends_when_members_are_known)
{
  start_all (4, 3);
  run (0, 2 * RW_SEC);
  assert_int_equal (gos_daemon_count (&fleet.daemons[0], 2 * RW_SEC), 20);
  run (2 * RW_SEC, 9 * RW_SEC);
  for (size_t i = 0; i < fleet.count; i++)
    assert_int_equal (gos_daemon_count (&fleet.daemons[i], 9 * RW_SEC), 4);
  stop_all ();
  start_all (1, 3);
  run (0, 30 * RW_SEC);
  assert_int_equal (gos_daemon_count (&fleet.daemons[0], 30 * RW_SEC), 20);
  stop_all ();
}

/* Guards against a count that never falls after daemons have stopped, and
   against one that falls at once, so that a daemon that is cut off takes the
   shares of all others.  */
TEST (the_count_is_held_for_a_while)
{
  start_all (30, 3);
  run (0, 20 * RW_SEC);
  for (size_t i = 1; i < 30; i++)
    fleet.up[i] = false;
  run (20 * RW_SEC, 50 * RW_SEC);
  assert_int_equal (gos_live_count (&fleet.daemons[0], 50 * RW_SEC), 0);
  assert_in_range (gos_daemon_count (&fleet.daemons[0], 50 * RW_SEC), 28, 30);
  assert_int_equal (gos_daemon_count (&fleet.daemons[0], 120 * RW_SEC), 1);
  stop_all ();
}

/* Guards against data centres without a reader of the store, and against too
   many readers.  */
TEST (daemons_agree_on_the_readers)
{
  start_all (40, 4);
  run (0, 20 * RW_SEC);
  for (uint32_t dc = 0; dc < 4; dc++)
    {
      size_t readers = 0;
      for (size_t i = dc; i < fleet.count; i += 4)
        readers += gos_rank (&fleet.daemons[i], 20 * RW_SEC) < 2;
      assert_int_equal (readers, 2);
    }
  stop_all ();
}

static bool
crosses_partition (size_t from, size_t to, rw_time now)
{
  return now < 40 * RW_SEC && (from < 10) != (to < 10);
}

/* Guards against two groups of daemons that stay apart after a network
   partition.  It lasts for the first 40 s, and all seeds are on one side.  */
TEST (groups_merge_after_a_partition)
{
  start_all (20, 2);
  fleet.is_lost = crosses_partition;
  run (0, 40 * RW_SEC);
  assert_in_range (gos_live_count (&fleet.daemons[15], 40 * RW_SEC), 0, 9);
  run (40 * RW_SEC, 60 * RW_SEC);
  assert_in_range (gos_live_count (&fleet.daemons[15], 60 * RW_SEC), 17, 19);
  stop_all ();
}

/* Guards against control traffic of a daemon that grows with the number of
   daemons: each sends about two messages a second, which is below 7 KB a
   second.  */
TEST (message_rate_does_not_grow_with_the_fleet)
{
  start_all (140, 4);
  run (0, 30 * RW_SEC);
  assert_true (fleet.messages < 140 * 30 * 5);
  stop_all ();
}

/* Guards against a daemon whose copy stays behind although a peer has a newer
   one.  */
TEST (a_peer_that_is_ahead_is_found)
{
  start_all (10, 2);
  run (0, 20 * RW_SEC);
  assert_int_equal (gos_pick_source (&fleet.daemons[0], 9, 20 * RW_SEC), 10);
  assert_int_equal (gos_pick_source (&fleet.daemons[0], 10, 20 * RW_SEC), 0);
  stop_all ();
}

/* Guards against a leaving daemon that is counted until GOS_MEMBER_TIMEOUT has
   passed.  */
TEST (a_leaving_daemon_is_dropped_at_once)
{
  start_all (2, 1);
  run (0, 10 * RW_SEC);
  assert_int_equal (gos_live_count (&fleet.daemons[0], 10 * RW_SEC), 1);
  struct gos_message message = { .leaving = true };
  gos_on_message (&fleet.daemons[0], 2, &message, 10 * RW_SEC);
  assert_int_equal (gos_live_count (&fleet.daemons[0], 10 * RW_SEC), 0);
  stop_all ();
}

/* Guards against a daemon that left and is counted again, because another one
   has not heard of that yet.  */
TEST (a_daemon_that_left_is_not_added_by_older_news)
{
  start_all (3, 1);
  run (0, 10 * RW_SEC);
  struct gos_message leave = { .leaving = true };
  gos_on_message (&fleet.daemons[0], 2, &leave, 10 * RW_SEC);
  assert_int_equal (gos_live_count (&fleet.daemons[0], 10 * RW_SEC), 1);
  struct gos_message old
      = { .dc = 100, .count = 1, .entries = { { 2, 100, 0, 300 } } };
  gos_on_message (&fleet.daemons[0], 3, &old, 10 * RW_SEC + 100 * RW_MSEC);
  assert_int_equal (gos_live_count (&fleet.daemons[0], 10 * RW_SEC), 1);
  /* It started again, and says so itself.  */
  struct gos_message back = { .dc = 100 };
  gos_on_message (&fleet.daemons[0], 2, &back, 11 * RW_SEC);
  assert_int_equal (gos_live_count (&fleet.daemons[0], 11 * RW_SEC), 2);
  stop_all ();
}

/* Guards against an old copy that looks current: the milliseconds of its age
   took more than 32 bits after 49.7 days.  */
TEST (the_age_of_a_copy_does_not_wrap)
{
  assert_int_equal (gos_staleness_ms (1500 * RW_MSEC), 1500);
  assert_true (gos_staleness_ms (50 * 86400 * RW_SEC) >= 86400000);
  assert_int_equal (gos_staleness_ms (-RW_SEC), 0);
}

/* Guards against malformed datagrams that are accepted or that crash the
   daemon.  */
TEST (malformed_messages_are_refused)
{
  struct gos_message message = { .count = 3, .revision = 5 };
  struct gos_message received;
  struct rw_err err;
  char data[GOS_MAX_DATAGRAM];
  size_t len = gos_encode (&message, data, sizeof data);
  for (size_t i = 0; i < len; i++)
    assert_int_not_equal (
        gos_decode ((struct rw_str){ data, i }, &received, &err), 0);
  data[0] ^= 1;
  assert_int_not_equal (
      gos_decode ((struct rw_str){ data, len }, &received, &err), 0);
}

/* When each daemon's copy was last known to be current, when it last heard
   from the store itself, and the messages that passed it on.  */
static rw_time current_at[MAX_DAEMONS];
static rw_time watched_at[MAX_DAEMONS];
static size_t passed_on;

/* Daemon I learns at NOW that its copy was current at AT, and tells others, as
   a daemon does.  */
static void
learn_current (size_t i, rw_time at, rw_time now)
{
  uint32_t ips[GOS_CONFIRM_FANOUT];
  rw_time gain = at - current_at[i];
  if (gain <= 0)
    return;
  current_at[i] = at;
  if (!gos_should_pass_on (&fleet.daemons[i], gain, now))
    return;
  size_t n
      = gos_pick_members (&fleet.daemons[i], now, ips, GOS_CONFIRM_FANOUT);
  passed_on += n;
  for (size_t j = 0; j < n; j++)
    learn_current (ips[j] - 1, at, now);
}

/* Guards against daemons that read the store because nobody told them in time
   that their copy is current: of 300 daemons nearly all did, on a calm day.
   The two readers of each of five data centres hear from the store each 2.25
   s; a copy that is older than 2.5 s is read.  */
TEST (a_few_readers_confirm_the_copies_of_a_large_fleet)
{
  enum
  {
    DAEMONS = 300,
    DCS = 5
  };
  size_t old = 0;
  size_t samples = 0;
  start_all (DAEMONS, DCS);
  run (0, 3 * RW_SEC);
  memset (current_at, 0, sizeof current_at);
  passed_on = 0;
  for (size_t i = 0; i < DAEMONS; i++)
    watched_at[i] = (rw_time)(i * 37 % 2250) * RW_MSEC;
  for (rw_time now = 3 * RW_SEC; now < 13 * RW_SEC; now += 50 * RW_MSEC)
    {
      run (now, now + 50 * RW_MSEC);
      for (size_t i = 0; i < DAEMONS; i++)
        if (gos_rank (&fleet.daemons[i], now) < GOS_READERS_PER_DC
            && now - watched_at[i] >= 2250 * RW_MSEC)
          {
            watched_at[i] = now - (rw_time)(i % 4) * 20 * RW_MSEC;
            learn_current (i, now, now);
          }
      for (size_t i = 0; i < DAEMONS && now > 6 * RW_SEC; i++)
        {
          samples++;
          old += now - current_at[i] > 2500 * RW_MSEC;
        }
    }
  print_message ("old copies: %zu of %zu; messages: %zu\n", old, samples,
                 passed_on);
  assert_true (old <= samples / 100);
  /* At most GOS_CONFIRM_FANOUT messages for each daemon in half a second.  */
  assert_true (passed_on <= DAEMONS * 20 * GOS_CONFIRM_FANOUT);
  stop_all ();
}

/* Guards against delegates that take the work of too many daemons, against
   small ones, and against choices that all change when one daemon leaves.  */
TEST (the_daemons_spread_over_the_delegates)
{
  enum
  {
    DAEMONS = 120,
    DCS = 3
  };
  size_t load[DAEMONS + 1] = { 0 };
  start_all (DAEMONS, DCS);
  for (size_t i = 0; i < DAEMONS; i++)
    fleet.daemons[i].settings.capacity = i % 4 == 0 ? 500 : 80;
  run (0, 4 * RW_SEC);
  size_t changed = 0;
  for (size_t i = 0; i < DAEMONS; i++)
    {
      struct gos_delegates before[GOS_MAX_DELEGATE_DCS];
      struct gos_delegates after[GOS_MAX_DELEGATE_DCS];
      struct gos_gossip *gossip = &fleet.daemons[i];
      size_t dcs = gos_pick_delegates (gossip, 400, false, 4 * RW_SEC, before);
      assert_int_equal (dcs, DCS - 1);
      for (size_t d = 0; d < dcs; d++)
        {
          assert_int_equal (before[d].count, GOS_DELEGATES_PER_DC);
          assert_int_not_equal (before[d].dc, gossip->settings.dc);
          for (size_t j = 0; j < before[d].count; j++)
            {
              assert_int_equal (before[d].members[j]->capacity, 500);
              load[before[d].members[j]->ip]++;
            }
        }
      /* The daemon with the address 1 leaves.  */
      struct gos_message leaving = { .leaving = true };
      gos_on_message (gossip, 1, &leaving, 4 * RW_SEC);
      gos_pick_delegates (gossip, 400, false, 4 * RW_SEC, after);
      for (size_t d = 0; d < dcs; d++)
        for (size_t j = 0; j < after[d].count; j++)
          {
            bool known = false;
            for (size_t k = 0; k < dcs * GOS_DELEGATES_PER_DC; k++)
              known = known
                      || before[k / GOS_DELEGATES_PER_DC]
                                 .members[k % GOS_DELEGATES_PER_DC]
                             == after[d].members[j];
            changed += !known;
          }
    }
  /* 30 daemons are large: each is a delegate of 80 daemons' 3 of 10.  */
  for (size_t ip = 1; ip <= DAEMONS; ip++)
    if ((ip - 1) % 4 == 0)
      assert_in_range (load[ip], 8, 48);
  assert_true (changed <= load[1]);
  stop_all ();
}

/* Guards against work that is left to daemons that reach no target, and
   against avoiding them for good.  */
TEST (members_that_are_cut_off_take_no_work)
{
  struct gos_delegates out[GOS_MAX_DELEGATE_DCS];
  struct gos_settings settings = { .ip = 1, .dc = 0, .capacity = 400 };
  struct gos_gossip gossip;
  struct gos_message message = { .dc = 1, .capacity = 400, .cut_off = true };
  struct gos_message received;
  struct rw_err err;
  char data[GOS_MAX_DATAGRAM];
  gos_init (&gossip, &settings, 0);
  size_t len = gos_encode (&message, data, sizeof data);
  assert_int_equal (gos_decode ((struct rw_str){ data, len }, &received, &err),
                    0);
  assert_true (received.cut_off);
  gos_on_message (&gossip, 2, &received, RW_SEC);
  received.cut_off = false;
  gos_on_message (&gossip, 3, &received, RW_SEC);
  assert_int_equal (gos_pick_delegates (&gossip, 400, true, RW_SEC, out), 1);
  assert_int_equal (out[0].count, 1);
  assert_int_equal (out[0].members[0]->ip, 3);
  rw_time later = RW_SEC + GOS_CUT_OFF_LIFE;
  gos_pick_delegates (&gossip, 400, true, later, out);
  assert_int_equal (out[0].count, 2);
  /* Those of the own data centre only where they are asked for.  */
  received.dc = 0;
  gos_on_message (&gossip, 4, &received, RW_SEC);
  assert_int_equal (gos_pick_delegates (&gossip, 400, false, later, out), 1);
  assert_int_equal (gos_pick_delegates (&gossip, 400, true, later, out), 2);
  gos_finish (&gossip);
}

/* A message as all versions before the sections encoded it.  */
static const unsigned char old_message[]
    = { 0x52, 0x57, 0x47, 0x01, 0x00, 0x00, 0x00, 0x02, 0x11, 0x22, 0x33,
        0x44, 0x00, 0x00, 0x00, 0xaa, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
        0x00, 0x4d, 0x00, 0x00, 0x04, 0xd2, 0x00, 0x00, 0x00, 0x02, 0x0a,
        0x01, 0x00, 0x09, 0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0xaa,
        0x00, 0x00, 0x00, 0xfa, 0x0a, 0x02, 0x00, 0x15, 0x55, 0x66, 0x77,
        0x88, 0x00, 0x00, 0x01, 0x54, 0x00, 0x00, 0x0f, 0xa0 };

/* Guards against builds that cannot read each other's messages while the fleet
   is upgraded: an old message is read, and what an old build reads of a new
   one is the same.  */
TEST (messages_of_other_versions_are_read)
{
  struct gos_message message;
  struct rw_err err;
  char data[GOS_MAX_DATAGRAM];
  char evidence[] = "evidence";
  struct rw_str old = { (const char *)old_message, sizeof old_message };
  assert_int_equal (gos_decode (old, &message, &err), 0);
  assert_int_equal (message.dc, 0x11223344);
  assert_int_equal (message.revision, 77);
  assert_int_equal (message.staleness_ms, 1234);
  assert_true (message.reply_requested);
  assert_int_equal (message.count, 2);
  assert_int_equal (message.entries[1].ip, 0x0a020015);
  assert_int_equal (message.evidence.len, 0);
  message.evidence = (struct rw_str){ evidence, 8 };
  size_t len = gos_encode (&message, data, sizeof data);
  assert_int_equal (len, sizeof old_message + 16);
  assert_memory_equal (data, old_message, sizeof old_message);
  /* A section of a later version comes first.  */
  static const unsigned char later[12]
      = { 0, 0, 0, 99, 0, 0, 0, 4, 'a', 'b', 'c', 'd' };
  memmove (data + sizeof old_message + 12, data + sizeof old_message, 16);
  memcpy (data + sizeof old_message, later, sizeof later);
  assert_int_equal (
      gos_decode ((struct rw_str){ data, len + 12 }, &message, &err), 0);
  assert_true (rw_str_eq (message.evidence, (struct rw_str){ evidence, 8 }));
}

/* Guards against datagrams that are too long to be sent.  */
TEST (evidence_fits_beside_the_entries)
{
  struct gos_message message = { .count = 0 };
  char data[GOS_MAX_DATAGRAM];
  char evidence[GOS_MAX_DATAGRAM] = "";
  for (message.count = 0; message.count <= GOS_MAX_ENTRIES; message.count++)
    {
      message.evidence
          = (struct rw_str){ evidence, gos_evidence_space (&message) };
      assert_int_equal (gos_encode (&message, data, sizeof data),
                        GOS_MAX_DATAGRAM);
      message.evidence.len++;
      assert_int_equal (gos_encode (&message, data, sizeof data), 0);
    }
}

/* When daemon CUT is cut off.  */
static const size_t cut = 7;
#define CUT_FROM (10 * RW_SEC)
#define CUT_TO (40 * RW_SEC)

static bool
is_cut (size_t from, size_t to, rw_time now)
{
  return (from == cut || to == cut) && now >= CUT_FROM && now < CUT_TO;
}

/* Guards against a daemon that was cut off for so long that all others count
   as dead, and hears their news only by chance: 4 s after the cut it must
   have.  */
TEST (a_daemon_that_was_cut_off_hears_the_others_again)
{
  static const size_t fleets[] = { 13, 139, 300 };
  for (size_t n = 0; n < RW_ARRAY_LEN (fleets); n++)
    {
      start_all (fleets[n], 3);
      fleet.is_lost = is_cut;
      run (0, CUT_TO + 4 * RW_SEC);
      assert_true (fleet.daemons[cut].last_message > CUT_TO);
      assert_true (gos_live_count (&fleet.daemons[cut], CUT_TO + 4 * RW_SEC)
                   > 0);
      stop_all ();
    }
}

/* Guards against a limit of trials that two daemons grant, each for itself:
   daemons agree on the owner of a key, and one that hears of few others
   decides nothing.  */
TEST (one_daemon_decides_for_all)
{
  start_all (15, 3);
  run (0, 14 * RW_SEC);
  rw_time now = 14 * RW_SEC;
  for (uint64_t key = 0; key < 100; key++)
    {
      uint32_t owner;
      size_t owners = 0;
      for (size_t i = 0; i < fleet.count; i++)
        owners
            += gos_owns (&fleet.daemons[i], rw_hash_u64 (key, 0), now, &owner);
      assert_int_equal (owners, 1);
    }
  assert_true (gos_may_decide (&fleet.daemons[cut], now));
  fleet.is_lost = is_cut;
  run (now, 30 * RW_SEC);
  assert_false (gos_may_decide (&fleet.daemons[cut], 30 * RW_SEC));
  assert_true (gos_may_decide (&fleet.daemons[0], 30 * RW_SEC));
  stop_all ();
}

#define HALVES_APART_FROM (30 * RW_SEC)

static bool
crosses_halves (size_t from, size_t to, rw_time now)
{
  return from % 2 != to % 2 && now >= HALVES_APART_FROM;
}

/* Guards against a share of a limit that both sides of a partition take: their
   live fractions add up to about one, and to all before the partition.  */
TEST (live_fractions_of_two_halves_add_up_to_one)
{
  static const size_t fleets[] = { 3, 30, 144 };
  for (size_t n = 0; n < RW_ARRAY_LEN (fleets); n++)
    {
      start_all (fleets[n], 3);
      fleet.is_lost = crosses_halves;
      run (0, HALVES_APART_FROM);
      for (size_t i = 0; i < fleet.count; i++)
        assert_true (gos_live_fraction (&fleet.daemons[i], HALVES_APART_FROM)
                     >= 0.98);
      rw_time now = HALVES_APART_FROM + 14 * RW_SEC;
      run (HALVES_APART_FROM, now);
      double sum = gos_live_fraction (&fleet.daemons[0], now)
                   + gos_live_fraction (&fleet.daemons[1], now);
      assert_in_range ((uint64_t)(1000 * sum), 980, 1020);
      stop_all ();
    }
}

/* Guards against owners that daemons of a large fleet disagree on, because
   each knows recent news of only a part of the others.  */
TEST (daemons_of_a_large_fleet_agree_on_owners)
{
  static const size_t fleets[] = { 144, 300 };
  for (size_t n = 0; n < RW_ARRAY_LEN (fleets); n++)
    {
      rw_time now = 20 * RW_SEC;
      start_all (fleets[n], 3);
      run (0, now);
      size_t several = 0;
      for (uint64_t key = 0; key < 100; key++)
        {
          uint32_t owner;
          size_t owners = 0;
          for (size_t i = 0; i < fleet.count; i++)
            owners += gos_owns (&fleet.daemons[i], rw_hash_u64 (key, 0), now,
                                &owner);
          several += owners != 1;
        }
      assert_int_equal (several, 0);
      stop_all ();
    }
}

/* Guards against sections that take each other's place: a message may carry
   evidence and quota messages, or one of them.  */
TEST (sections_are_read_as_written)
{
  static const char *const bodies[][2]
      = { { "evid", "" }, { "", "quot" }, { "evid", "quotquot" } };
  struct rw_err err;
  char data[GOS_MAX_DATAGRAM];
  for (size_t i = 0; i < RW_ARRAY_LEN (bodies); i++)
    {
      struct gos_message message = { .dc = 7 };
      struct gos_message read;
      message.evidence = rw_str_from (bodies[i][0]);
      message.quota = rw_str_from (bodies[i][1]);
      size_t len = gos_encode (&message, data, sizeof data);
      assert_true (len > 0);
      assert_int_equal (gos_decode ((struct rw_str){ data, len }, &read, &err),
                        0);
      assert_true (rw_str_eq (read.evidence, message.evidence));
      assert_true (rw_str_eq (read.quota, message.quota));
    }
}

/* Guards against a daemon that grants as an owner of long standing although it
   became one only now: after its start, or since the owner before it ended. */
TEST (the_time_of_ownership_begins_anew)
{
  rw_time now = 0;
  uint64_t owned = 0;
  start_all (30, 3);
  for (; now <= 10 * RW_SEC; now += 100 * RW_MSEC)
    {
      run (now, now + 100 * RW_MSEC);
      for (size_t i = 0; i < fleet.count; i++)
        gos_note_owners (&fleet.daemons[i], now);
      if (now != 500 * RW_MSEC && now != 10 * RW_SEC)
        continue;
      for (uint64_t key = 0; key < 100; key++)
        for (size_t i = 0; i < fleet.count; i++)
          {
            rw_time time = gos_owned_for (&fleet.daemons[i], key, now);
            assert_true (time <= now);
            owned += now == 10 * RW_SEC && time >= 2 * RW_SEC;
          }
    }
  assert_in_range (owned, 98, 102);
  stop_all ();
}
