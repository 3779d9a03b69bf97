#include "conf.h"
#include "unit.h"

/* Accepts every body except "bad" and counts the calls.  */
static int
accept_good (void *arg, struct rw_str key, uint64_t version,
             struct rw_str body, struct rw_err *err)
{
  unsigned int *calls = arg;

  (void)key;
  (void)version;
  ++*calls;
  if (rw_str_eq_cstr (body, "bad"))
    return rw_err_set (err, RW_E_PARSE, "test", key, "bad");
  return 0;
}

static unsigned int accept_calls;

static void
start (struct cnf_conf *conf)
{
  struct cnf_settings settings
      = { .seed = 1, .accept = accept_good, .arg = &accept_calls };

  accept_calls = 0;
  cnf_init (conf, &settings, 0);
  assert_int_equal (cnf_add_key (conf, RW_LIT ("rules")), 0);
  assert_int_equal (cnf_add_key (conf, RW_LIT ("vms")), 0);
  assert_int_equal (cnf_add_key (conf, RW_LIT ("map/a")), 0);
  assert_int_equal (cnf_add_key (conf, RW_LIT ("map/b")), 0);
  assert_int_equal (cnf_add_key (conf, RW_LIT ("map/b")), 0);
}

static int
offer (struct cnf_conf *conf, const char *key, uint64_t version,
       const char *body)
{
  struct rw_err err;

  return cnf_offer (conf, rw_str_from (key), version, rw_str_from (body), 0,
                    &err);
}

/* Guards against versions that decrease, and against a rejected version that
   takes the place of the one in force.  */
TEST (versions_never_decrease)
{
  struct cnf_conf conf;
  struct rw_str body;

  start (&conf);
  assert_int_equal (cnf_get (&conf, RW_LIT ("rules"), &body), 0);
  assert_int_equal (offer (&conf, "rules", 5, "five"), 0);
  assert_int_equal (offer (&conf, "rules", 5, "other"), RW_E_NOT_NEWER);
  assert_int_equal (offer (&conf, "rules", 4, "four"), RW_E_NOT_NEWER);
  assert_int_equal (offer (&conf, "rules", 0, "none"), RW_E_RANGE);
  assert_int_equal (offer (&conf, "rules", 6, "bad"), RW_E_PARSE);
  assert_int_equal (accept_calls, 2);
  assert_int_equal (offer (&conf, "rules", 6, "bad"), RW_E_PARSE);
  assert_int_equal (accept_calls, 2);
  assert_int_equal (cnf_get (&conf, RW_LIT ("rules"), &body), 5);
  assert_true (rw_str_eq_cstr (body, "five"));
  assert_int_equal (offer (&conf, "rules", 7, "seven"), 0);
  assert_int_equal (offer (&conf, "unknown", 1, ""), RW_E_NOT_FOUND);
  cnf_finish (&conf);
}

/* Guards against a document that is fetched from a second peer while a fetch
   is in flight, that is not fetched after a timeout or a failure, or that is
   fetched again after it was rejected.  */
TEST (newer_documents_are_fetched)
{
  struct cnf_conf conf;
  struct cnf_versions theirs = { .rules = 3, .vms = 1 };
  struct cnf_fetch fetches[8];

  start (&conf);
  offer (&conf, "vms", 1, "v");
  assert_int_equal (cnf_on_versions (&conf, 9, &theirs, 10, fetches, 8), 1);
  assert_string_equal (fetches[0].key, "rules");
  assert_int_equal (cnf_on_versions (&conf, 8, &theirs, 20, fetches, 8), 0);
  assert_int_equal (
      cnf_on_versions (&conf, 8, &theirs, 10 + CNF_FETCH_TIMEOUT, fetches, 8),
      1);
  cnf_on_fetch_failed (&conf, RW_LIT ("rules"));
  assert_int_equal (
      cnf_on_versions (&conf, 8, &theirs, 11 + CNF_FETCH_TIMEOUT, fetches, 8),
      1);
  assert_int_equal (offer (&conf, "rules", 3, "bad"), RW_E_PARSE);
  assert_int_equal (
      cnf_on_versions (&conf, 9, &theirs, 5 * RW_SEC, fetches, 8), 0);
  cnf_finish (&conf);
}

/* Guards against a newer map at a peer that is missed because another map
   changed there later, and against repeated fetches of the same list.  */
TEST (changed_maps_are_found_by_digest)
{
  struct cnf_conf conf, peer;
  struct cnf_versions theirs;
  struct cnf_fetch fetches[8];
  struct rw_buf list;

  start (&conf);
  start (&peer);
  offer (&peer, "map/a", 2, "a2");
  offer (&peer, "map/b", 2, "b2");
  offer (&conf, "map/b", 2, "b2");
  cnf_versions (&peer, &theirs);
  assert_string_equal (theirs.map_key, "map/b");
  assert_int_equal (cnf_on_versions (&conf, 9, &theirs, 0, fetches, 8), 1);
  assert_string_equal (fetches[0].key, CNF_MAPS_KEY);
  rw_buf_init (&list);
  cnf_maps_list (&peer, &list);
  assert_int_equal (
      cnf_on_maps_list (&conf, rw_buf_str (&list), 0, fetches, 8), 1);
  assert_string_equal (fetches[0].key, "map/a");
  offer (&conf, "map/a", 3, "a3");
  assert_int_equal (
      cnf_on_versions (&conf, 9, &theirs, 10 * RW_SEC, fetches, 8), 1);
  assert_int_equal (
      cnf_on_maps_list (&conf, rw_buf_str (&list), 0, fetches, 8), 0);
  assert_int_equal (
      cnf_on_versions (&conf, 9, &theirs, 20 * RW_SEC, fetches, 8), 0);
  rw_buf_finish (&list);
  cnf_finish (&conf);
  cnf_finish (&peer);
}

static bool
watches (void *arg, struct rw_str key)
{
  const bool *watching = arg;

  (void)key;
  return *watching;
}

/* Guards against a watcher that has no watch in flight, one that reads in a
   loop when the service answers at once without a new version, and one that
   stops reading after failures.  */
TEST (watchers_keep_a_watch_in_flight)
{
  struct cnf_conf conf;
  struct cnf_read reads[8];
  bool watching = true;
  rw_time now = 0;

  start (&conf);
  assert_int_equal (cnf_tick (&conf, watches, &watching, now, reads, 8), 4);
  assert_int_equal (reads[0].wait, 0);
  offer (&conf, "rules", 2, "two");
  cnf_on_read (&conf, RW_LIT ("rules"), true, now);
  assert_true (cnf_next_tick (&conf) <= now);
  assert_int_equal (cnf_tick (&conf, watches, &watching, now, reads, 8), 1);
  assert_int_equal (reads[0].after, 2);
  assert_int_equal (reads[0].wait, CNF_WATCH_WAIT);
  offer (&conf, "rules", 3, "bad");
  cnf_on_read (&conf, RW_LIT ("rules"), true, now);
  assert_int_equal (cnf_tick (&conf, watches, &watching, now, reads, 8), 1);
  assert_int_equal (reads[0].after, 3);
  cnf_on_read (&conf, RW_LIT ("rules"), true, now);
  assert_int_equal (cnf_tick (&conf, watches, &watching, now, reads, 8), 0);
  now += CNF_BACKOFF_MIN;
  assert_int_equal (cnf_tick (&conf, watches, &watching, now, reads, 8), 1);
  for (int i = 0; i < 10; i++)
    {
      cnf_on_read (&conf, RW_LIT ("rules"), false, now);
      assert_true (cnf_next_tick (&conf) > now);
      now += CNF_BACKOFF_MAX;
      assert_int_equal (cnf_tick (&conf, watches, &watching, now, reads, 8),
                        1);
    }
  cnf_finish (&conf);
}

/* Guards against polls that together exceed the service's capacity, and
   against daemons that miss a new version because the service is down for
   their watchers.  */
TEST (non_watchers_poll_at_the_shared_rate)
{
  struct cnf_conf conf;
  struct cnf_read reads[8];
  bool watching = false;
  size_t rules = 0;
  size_t others = 0;

  start (&conf);
  cnf_set_daemon_count (&conf, 460);
  for (rw_time now = 0; now < 460 * RW_SEC; now += 100 * RW_MSEC)
    {
      size_t count = cnf_tick (&conf, watches, &watching, now, reads, 8);

      for (size_t i = 0; i < count; i++)
        {
          assert_int_equal (reads[i].wait, 0);
          rules += strcmp (reads[i].key, "rules") == 0 ? 1 : 0;
          others += strcmp (reads[i].key, "vms") == 0 ? 1 : 0;
          cnf_on_read (&conf, rw_str_from (reads[i].key), true, now);
        }
    }
  /* 460 daemons poll the rules every 4.6 s and another key every 46 s, plus up
     to a quarter.  */
  assert_in_range (rules, 460 / (4.6 * 1.25), CNF_RULES_POLLS_PER_S + 1);
  assert_in_range (others, 460 / (46 * 1.25), CNF_POLLS_PER_S + 1);
  cnf_finish (&conf);
}

/* Guards against reads by all daemons at once when a rule adds a service.  */
TEST (first_reads_of_a_new_key_are_spread)
{
  bool watching = false;
  size_t early_reads = 0;

  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      struct cnf_settings settings
          = { .seed = seed, .accept = accept_good, .arg = &accept_calls };
      struct cnf_conf conf;
      struct cnf_read reads[8];
      rw_time now = 100 * RW_SEC;

      cnf_init (&conf, &settings, 0);
      cnf_add_key (&conf, RW_LIT ("map/new"));
      cnf_tick (&conf, watches, &watching, now, reads, 8);
      now += 200 * RW_MSEC;
      early_reads += cnf_tick (&conf, watches, &watching, now, reads, 8);
      now += 2 * RW_SEC;
      cnf_tick (&conf, watches, &watching, now, reads, 8);
      assert_true (cnf_next_tick (&conf) > now);
      cnf_finish (&conf);
    }
  /* 200 ms are a tenth of the time over which the 100 first reads are spread:
     about 10 are expected.  */
  assert_in_range (early_reads, 2, 25);
}

/* Guards against a daemon that serves callers with old documents before it has
   queried the service and its peers, and against one that never becomes ready
   because they do not answer.  */
TEST (ready_after_service_and_peers_or_timeout)
{
  struct cnf_conf conf;
  struct cnf_read reads[8];
  bool watching = false;

  start (&conf);
  cnf_tick (&conf, watches, &watching, 0, reads, 8);
  for (size_t i = 0; i < 4; i++)
    {
      assert_false (cnf_ready (&conf, 2, 0));
      offer (&conf, reads[i].key, 1, "x");
      cnf_on_read (&conf, rw_str_from (reads[i].key), true, 0);
    }
  cnf_on_peer_synced (&conf, 11);
  cnf_on_peer_synced (&conf, 11);
  assert_false (cnf_ready (&conf, 2, 0));
  cnf_on_peer_synced (&conf, 12);
  assert_false (cnf_ready (&conf, 5, 0));
  assert_true (cnf_ready (&conf, 2, 0));
  cnf_finish (&conf);
  start (&conf);
  assert_false (cnf_ready (&conf, 5, CNF_START_TIMEOUT));
  offer (&conf, "rules", 1, "x");
  offer (&conf, "vms", 1, "x");
  assert_false (cnf_ready (&conf, 5, CNF_START_TIMEOUT - 1));
  assert_true (cnf_ready (&conf, 5, CNF_START_TIMEOUT));
  cnf_finish (&conf);
}
