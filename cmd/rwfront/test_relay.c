#include <math.h>

#include "forward.h"
#include "front.h"
#include "unit.h"

struct fixture
{
  struct frn_daemon daemon;
};

static void
begin (struct fixture *f)
{
  struct ste_settings steer = { .daemon_count = 1 };
  struct gos_settings gossip = { .ip = 1, .dc = 1, .rng_seed = 1 };
  ste_init (&f->daemon.fleet, &steer, 1);
  gos_init (&f->daemon.peers.gossip, &gossip, 0);
  f->daemon.peers.larger_peers
      = ste_service (&f->daemon.fleet, RW_LIT ("peers"));
  f->daemon.peers.fallback_peers
      = ste_service (&f->daemon.fleet, RW_LIT ("fallbacks"));
}

static void
end (struct fixture *f)
{
  gos_finish (&f->daemon.peers.gossip);
  ste_finish (&f->daemon.fleet);
}

UNIT_FIXTURE (begin, end)

/* Sets the members that a daemon with CORES sees: LARGE peers with 0.5 cores
   and SMALL ones with 0.084.  */
static void
set_fleet (struct fixture *f, double cores, size_t large, size_t small)
{
  f->daemon.settings.cores = cores;
  for (size_t i = 0; i < large + small; i++)
    {
      struct gos_message message
          = { .dc = 1, .capacity = i < large ? 500 : 84, .revision = 1 };
      gos_on_message (&f->daemon.peers.gossip, (uint32_t)i + 2, &message,
                      RW_SEC);
    }
  f->daemon.fleet.settings.daemon_count = large + small + 1;
  frn_peerlist_tick (&f->daemon, RW_SEC);
}

/* Guards against fleet-wide limits that are exceeded when 6 large daemons and
   111 small ones each use their share.  */
TEST_WITH_FIXTURE (shares_of_all_daemons_stay_within_the_limit)
{
  double sum = 0;
  set_fleet (f, 0.5, 5, 111);
  assert_true (f->daemon.peers.is_gatherer);
  sum += 6.0 / (double)frn_shard_sharers (&f->daemon);
  f->daemon.settings.cores = 0.084;
  f->daemon.peers.lists_next = 0;
  frn_peerlist_tick (&f->daemon, RW_SEC);
  assert_false (f->daemon.peers.is_gatherer);
  sum += 111.0 / (double)frn_shard_sharers (&f->daemon);
  assert_true (sum <= 1);
}

/* Guards against a larger peer that closes the connections of smaller ones, of
   which each keeps one, in a fleet of hundreds: their relays were answered 502
   with an unknown outcome.  */
TEST_WITH_FIXTURE (a_larger_peer_accepts_a_connection_of_each_smaller_one)
{
  f->daemon.settings.max_files = 8192;
  assert_true (frn_max_conns (&f->daemon) >= 2300);
  f->daemon.settings.max_files = 4100;
  assert_true (frn_max_conns (&f->daemon) >= 1000);
}

/* Guards against peers that forward to a daemon, or read the store for its
   data centre, by settings that it has read again since.  */
TEST_WITH_FIXTURE (peers_learn_settings_that_were_read_again)
{
  struct gos_message message = { .count = 0 };
  f->daemon.settings.cores = 0.25;
  rw_str_copy (f->daemon.settings.dc, sizeof f->daemon.settings.dc,
               RW_LIT ("dc-b"));
  frn_peers_update_settings (&f->daemon);
  gos_fill_head (&f->daemon.peers.gossip, &message);
  assert_int_equal (message.capacity, 250);
  assert_int_equal (message.dc, (uint32_t)rw_hash (RW_LIT ("dc-b")));
}

/* Guards against daemons of equal size that forward requests to each other. */
TEST_WITH_FIXTURE (daemons_of_equal_size_do_not_forward)
{
  set_fleet (f, 0.5, 12, 0);
  assert_int_equal (f->daemon.peers.gatherer_count, 0);
  assert_int_equal (frn_shard_sharers (&f->daemon), 13);
  assert_false (frn_relay_available (&f->daemon, RW_SEC));
}

/* Guards against small daemons that do not list the larger ones.  */
TEST_WITH_FIXTURE (small_daemons_list_larger_peers)
{
  set_fleet (f, 0.084, 2, 30);
  assert_true (frn_relay_available (&f->daemon, RW_SEC));
  assert_int_equal (f->daemon.peers.larger_peers->target_count, 2);
}

/* Guards against requests that are forwarded to a larger peer after it has
   left.  */
TEST_WITH_FIXTURE (larger_peers_that_left_are_not_used)
{
  struct gos_message leaving = { .leaving = true };
  set_fleet (f, 0.084, 2, 30);
  gos_on_message (&f->daemon.peers.gossip, 2, &leaving, 2 * RW_SEC);
  frn_peerlist_tick (&f->daemon, 2 * RW_SEC);
  assert_true (frn_relay_available (&f->daemon, 2 * RW_SEC));
  gos_on_message (&f->daemon.peers.gossip, 3, &leaving, 3 * RW_SEC);
  frn_peerlist_tick (&f->daemon, 3 * RW_SEC);
  assert_false (frn_relay_available (&f->daemon, 3 * RW_SEC));
}

/* Guards against requests that are refused every few seconds at a daemon that
   is cut off, as its list of fallback peers is without small ones although no
   large one is left.  */
TEST_WITH_FIXTURE (small_peers_stay_listed_while_no_large_one_is_left)
{
  struct gos_message cut_off
      = { .dc = 1, .capacity = 500, .revision = 1, .cut_off = true };
  struct gos_message small = { .dc = 1, .capacity = 84, .revision = 1 };
  f->daemon.settings.cores = 0.5;
  f->daemon.reach.state.cut_off = true;
  for (rw_time now = RW_SEC; now < 30 * RW_SEC; now += 100 * RW_MSEC)
    {
      gos_on_message (&f->daemon.peers.gossip, 2, &cut_off, now);
      gos_on_message (&f->daemon.peers.gossip, 3, &small, now);
      frn_peerlist_tick (&f->daemon, now);
      assert_true (frn_fallback_available (&f->daemon, now));
    }
}

/* Guards against small daemons that carry the requests of a large one for
   longer than needed.  */
TEST_WITH_FIXTURE (small_peers_are_not_listed_once_a_large_one_is_back)
{
  struct gos_message large
      = { .dc = 1, .capacity = 500, .revision = 1, .cut_off = true };
  struct gos_message small = { .dc = 1, .capacity = 84, .revision = 1 };
  f->daemon.settings.cores = 0.5;
  f->daemon.reach.state.cut_off = true;
  for (rw_time now = RW_SEC; now < 20 * RW_SEC; now += 100 * RW_MSEC)
    {
      large.cut_off = now < 10 * RW_SEC;
      gos_on_message (&f->daemon.peers.gossip, 2, &large, now);
      gos_on_message (&f->daemon.peers.gossip, 3, &small, now);
      frn_peerlist_tick (&f->daemon, now);
    }
  size_t listed = 0;
  for (const struct ste_target *t = f->daemon.peers.fallback_peers->targets;
       t != NULL; t = t->next)
    listed += !t->gone;
  assert_int_equal (listed, 1);
}
