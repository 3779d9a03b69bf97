#include "query.h"
#include "unit.h"

#define TARGETS 8
#define SENDS_MAX 64

/* One query over four shards with two replicas each: targets i and i + 4.  */
struct fixture
{
  struct rte_estimate estimates[TARGETS];
  struct rte_target targets[TARGETS];
  uint32_t replicas[4][2];
  struct rte_shard shards[4];
  struct rte_view view;
  struct qry_map old_map;
  struct qry_map new_map;
  struct qry_latency latency;
  struct qry_budget budget;
  struct rw_rng rng;
  struct qry_env env;
  struct qry_query query;
  struct qry_command sends[SENDS_MAX];
  size_t send_count;
  size_t cancel_count;
  bool answered;
  struct qry_command answer;
  char body[4096];
};

/* Takes all commands and stores them in F.  The answer must come only once. */
static void
take_commands (struct fixture *f)
{
  struct qry_command c;

  while (qry_next_command (&f->query, &c))
    if (c.kind == QRY_SEND_PART)
      f->sends[f->send_count++] = c;
    else if (c.kind == QRY_CANCEL_ATTEMPT)
      f->cancel_count++;
    else
      {
        assert_false (f->answered);
        f->answered = true;
        f->answer = c;
        snprintf (f->body, sizeof f->body, "%.*s",
                  RW_STR_ARG (c.u.answer.body));
      }
}

static void
fixture_init (struct fixture *f)
{
  memset (f, 0, sizeof *f);
  rw_rng_init (&f->rng, 1);
  for (size_t i = 0; i < TARGETS; i++)
    {
      rte_estimate_init (&f->estimates[i], 0);
      f->targets[i].estimate = &f->estimates[i];
    }
  for (uint32_t i = 0; i < 4; i++)
    {
      f->replicas[i][0] = i;
      f->replicas[i][1] = i + 4;
      f->shards[i] = (struct rte_shard){ f->replicas[i], 2 };
    }
  f->view = (struct rte_view){ f->targets, TARGETS, f->shards, 4, NULL, 0 };
  f->old_map = (struct qry_map){ RW_LIT ("s1"), 1, &f->view, 0 };
  f->new_map = (struct qry_map){ RW_LIT ("s2"), 2, &f->view, 0 };
  qry_latency_init (&f->latency, 0);
  qry_budget_init (&f->budget);
  f->env = (struct qry_env){ RW_LIT ("dispatch"),
                             &f->old_map,
                             &f->latency,
                             &f->budget,
                             &f->rng,
                             100.0,
                             10,
                             0 };
}

static void
start_with_sequence (struct fixture *f, uint64_t sequence)
{
  qry_init (&f->query, &f->env, (struct qry_id){ 1, sequence }, 61 * RW_MSEC,
            0);
  take_commands (f);
}

static void
start (struct fixture *f)
{
  start_with_sequence (f, 1);
}

/* Reports the result of the send with index SEND, with one record if it is
   QRY_OK.  Returns the value of qry_on_result.  */
static int
report_result (struct fixture *f, size_t send, enum qry_status status,
               const char *snapshot, rw_time retry_after, rw_time now)
{
  struct qry_record record = { RW_LIT ("r1"), 1.0, RW_LIT ("bulb") };
  struct qry_result r = { .id = f->query.id,
                          .attempt = f->sends[send].u.send.attempt,
                          .shard = f->sends[send].u.send.shard,
                          .status = status,
                          .snapshot = rw_str_from (snapshot),
                          .retry_after = retry_after,
                          .records = &record,
                          .record_count = status == QRY_OK };
  int code = qry_on_result (&f->query, &r, now, NULL);

  take_commands (f);
  return code;
}

static void
report_ok (struct fixture *f, size_t send, rw_time now)
{
  assert_int_equal (report_result (f, send, QRY_OK, "s1", 0, now), 0);
}

/* Calls qry_tick at the next wakeup and returns its time.  */
static rw_time
tick_at_wakeup (struct fixture *f)
{
  rw_time now = qry_next_wakeup (&f->query);

  qry_tick (&f->query, now);
  take_commands (f);
  return now;
}

/* Guards against an answer in another form than docs/design.md states in
   section 6, and against an answer that is delayed after the last part.  */
TEST (complete_answer)
{
  struct fixture f;

  fixture_init (&f);
  start (&f);
  assert_int_equal (f.send_count, 4);
  for (size_t i = 0; i < 4; i++)
    report_ok (&f, i, RW_MSEC);
  assert_true (f.answered);
  assert_int_equal (f.answer.u.answer.status, 200);
  assert_string_equal (
      f.body, "{\"service\":\"dispatch\",\"snapshot\":\"s1\","
              "\"complete\":true,\"coverage\":{\"covered\":4,\"shards\":4,"
              "\"missing\":[]},\"records\":[{\"id\":\"r1\",\"score\":1.0,"
              "\"text\":\"bulb\"}]}");
  assert_int_equal (report_result (&f, 0, QRY_OK, "s1", 0, RW_MSEC),
                    RW_E_MISMATCH);
  qry_finish (&f.query);
}

/* Guards against a partial answer that is late or does not state the missing
   shards.  It must be queued QRY_MERGE_ALLOWANCE before the deadline.  */
TEST (partial_answer_at_the_deadline)
{
  struct fixture f;

  fixture_init (&f);
  f.env.disabled_mechanisms = QRY_MECH_HEDGE;
  start (&f);
  report_ok (&f, 0, RW_MSEC);
  assert_int_equal (qry_next_wakeup (&f.query),
                    61 * RW_MSEC - QRY_MERGE_ALLOWANCE);
  tick_at_wakeup (&f);
  assert_true (f.answered);
  assert_false (f.answer.u.answer.complete);
  assert_int_equal (f.answer.u.answer.covered, 1);
  assert_non_null (strstr (f.body, "\"covered\":1,\"shards\":4"));
  assert_int_equal (f.cancel_count, 3);
  qry_finish (&f.query);
}

/* Guards against results that are dropped because the daemon was paused past
   the deadline while they waited in its sockets: only a tick ends a query
   late, and the caller of ticks reads the sockets first.  */
TEST (results_that_waited_during_a_pause_count)
{
  struct fixture f;

  fixture_init (&f);
  start (&f);
  for (size_t i = 0; i < 3; i++)
    report_ok (&f, i, 90 * RW_MSEC);
  assert_false (f.answered);
  assert_true (qry_next_wakeup (&f.query) <= 90 * RW_MSEC);
  qry_tick (&f.query, 90 * RW_MSEC);
  take_commands (&f);
  assert_true (f.answered);
  assert_int_equal (f.answer.u.answer.covered, 3);
  assert_int_equal (f.cancel_count, 1);
  qry_finish (&f.query);
}

/* Guards against a straggler that is not hedged, a hedge to the same target or
   earlier than 2 ms after the send, and an attempt that is not cancelled when
   the other one has answered.  */
TEST (straggler_is_hedged)
{
  struct fixture f;
  uint32_t slow;

  fixture_init (&f);
  for (int i = 0; i < 1000; i++)
    qry_latency_add (&f.latency, 500, 0);
  start (&f);
  for (size_t i = 0; i < 3; i++)
    report_ok (&f, i, 400);
  slow = f.sends[3].u.send.target;
  assert_int_equal (qry_next_wakeup (&f.query), QRY_HEDGE_DELAY_MIN);
  tick_at_wakeup (&f);
  assert_int_equal (f.send_count, 5);
  assert_int_equal (f.sends[4].u.send.reason, QRY_HEDGE);
  assert_int_equal (f.sends[4].u.send.target, (slow + 4) % 8);
  report_ok (&f, 4, 3 * RW_MSEC);
  assert_true (f.answer.u.answer.complete);
  assert_int_equal (f.cancel_count, 1);
  assert_int_equal (qry_get_counts (&f.query).hedge_wins, 1);
  assert_int_equal (report_result (&f, 3, QRY_OK, "s1", 0, 9 * RW_MSEC),
                    RW_E_MISMATCH);
  qry_finish (&f.query);
}

/* Guards against a part that is lost because one exchange was slow on each of
   its two replicas, and against more than one hedge to the only replica.  */
TEST (slow_replicas_get_the_part_again)
{
  struct fixture f;
  uint32_t first;

  for (int only_replica = 0; only_replica < 2; only_replica++)
    {
      fixture_init (&f);
      for (uint32_t i = 4; i < 8 && only_replica; i++)
        f.targets[i].leaving = true;
      start (&f);
      for (size_t i = 0; i < 3; i++)
        report_ok (&f, i, 400);
      first = f.sends[3].u.send.target;
      while (!f.answered)
        tick_at_wakeup (&f);
      assert_int_equal (f.send_count, only_replica ? 5 : 7);
      if (only_replica)
        assert_int_equal (f.sends[4].u.send.target, first);
      else
        {
          assert_int_equal (f.sends[4].u.send.target, (first + 4) % 8);
          assert_int_equal (f.sends[5].u.send.target, first);
          assert_int_equal (f.sends[6].u.send.target, (first + 4) % 8);
        }
      qry_finish (&f.query);
    }
}

/* Guards against target selection that prefers a target without a holder.  No
   part reaches such a target, so its latency average gets no samples and stays
   low.  */
TEST (targets_without_holder_are_avoided)
{
  struct fixture f;

  fixture_init (&f);
  start (&f);
  for (size_t i = 0; i < 4; i++)
    {
      size_t send = i;
      uint32_t target = f.sends[i].u.send.target;

      for (int n = 0; n <= QRY_REDIRECTS_MAX; n++)
        {
          report_result (&f, send, QRY_NOT_HOLDER, "", 0, 100);
          send = f.send_count - 1;
        }
      assert_int_equal (f.sends[send].u.send.target, (target + 4) % 8);
      report_ok (&f, send, RW_MSEC);
    }
  assert_true (f.answered);
  qry_finish (&f.query);
  for (size_t i = 0; i < 4; i++)
    {
      uint32_t bad = f.sends[i].u.send.target;

      for (int n = 0; n < 20; n++)
        assert_int_equal (rte_choose_replica (&f.view, bad % 4, NULL, 0,
                                              &f.rng, 2 * RW_MSEC),
                          (bad + 4) % 8);
    }
}

/* Guards against a hedge delay other than the 95th percentile of the recent
   latencies, and against old samples that are never dropped.  */
TEST (hedge_delay_follows_the_percentile)
{
  struct qry_latency latency;

  qry_latency_init (&latency, 0);
  assert_int_equal (qry_hedge_delay (&latency, 0), QRY_HEDGE_DELAY_DEFAULT);
  for (int i = 1; i <= 1000; i++)
    qry_latency_add (&latency, i * 10, 0);
  assert_in_range (qry_hedge_delay (&latency, 0), 9400, 9900);
  for (int i = 1; i <= 1000; i++)
    qry_latency_add (&latency, 3000, 5 * RW_SEC);
  assert_in_range (qry_hedge_delay (&latency, 5 * RW_SEC), 2900, 3100);
}

/* Guards against hedges and retries without tokens, and against bursts of them
   above QRY_BUDGET_TOKENS_MAX.  */
TEST (budget_limits_extra_sends)
{
  struct qry_budget budget;
  int taken = 0;

  qry_budget_init (&budget);
  assert_false (qry_budget_take (&budget));
  qry_budget_earn (&budget, 540, 5.0);
  while (qry_budget_take (&budget))
    taken++;
  assert_int_equal (taken, 27);
  for (taken = 0; taken < 100; taken++)
    qry_budget_earn (&budget, 540, 5.0);
  taken = 0;
  while (qry_budget_take (&budget))
    taken++;
  assert_int_equal (taken, 50);
}

/* Guards against a token shortage that affects the same shards in every query:
   of four late parts, only one can be hedged.  */
TEST (token_shortage_affects_all_shards_alike)
{
  struct fixture f;
  int hedged[4] = { 0 };

  for (uint64_t n = 0; n < 8; n++)
    {
      fixture_init (&f);
      f.env.hedge_percent = 25.0;
      start_with_sequence (&f, n);
      tick_at_wakeup (&f);
      assert_int_equal (f.send_count, 5);
      hedged[f.sends[4].u.send.shard]++;
      qry_on_caller_disconnect (&f.query, 20 * RW_MSEC);
      qry_finish (&f.query);
    }
  for (size_t i = 0; i < 4; i++)
    assert_int_equal (hedged[i], 2);
}

/* Guards against an answer that is delayed until the deadline although no more
   results can arrive: the only open part was refused and the retry budget is
   empty.  */
TEST (answers_early_without_budget)
{
  struct fixture f;

  fixture_init (&f);
  f.env.hedge_percent = 0.0;
  start (&f);
  assert_int_equal (report_result (&f, 0, QRY_NOT_RUN, "", 5 * RW_MSEC, 100),
                    0);
  assert_false (f.answered);
  for (size_t i = 1; i < 4; i++)
    report_ok (&f, i, 200);
  assert_true (f.answered);
  assert_int_equal (f.answer.u.answer.covered, 3);
  assert_non_null (strstr (f.body, "\"missing\":[0]"));
  qry_finish (&f.query);
}

/* Guards against a refusal that is not retried on the other replica.  */
TEST (refusal_goes_to_another_replica)
{
  struct fixture f;

  fixture_init (&f);
  start (&f);
  report_result (&f, 0, QRY_NOT_RUN, "", 50 * RW_MSEC, 100);
  assert_int_equal (f.send_count, 5);
  assert_int_equal (f.sends[4].u.send.reason, QRY_RETRY);
  assert_int_equal (f.sends[4].u.send.target,
                    (f.sends[0].u.send.target + 4) % 8);
  qry_on_caller_disconnect (&f.query, 200);
  take_commands (&f);
  assert_int_equal (f.cancel_count, 4);
  assert_false (f.answered);
  qry_finish (&f.query);
}

/* Guards against a retry before the end of Retry-After if there is no other
   replica, and against a retry on a target that began to leave after the start
   of the query.  */
TEST (only_replica_is_retried_after_its_delay)
{
  struct fixture f;
  rw_time now = 0;

  fixture_init (&f);
  for (uint32_t i = 4; i < 8; i++)
    f.targets[i].leaving = true;
  start (&f);
  for (size_t i = 1; i < 4; i++)
    report_ok (&f, i, 100);
  report_result (&f, 0, QRY_NOT_RUN, "", 20 * RW_MSEC, 100);
  assert_false (f.answered);
  while (f.send_count == 4)
    now = tick_at_wakeup (&f);
  assert_int_equal (now, 20 * RW_MSEC + 100);
  f.targets[0].leaving = true;
  report_result (&f, 4, QRY_NOT_RUN, "", RW_MSEC, 21 * RW_MSEC);
  assert_true (f.answered);
  assert_int_equal (f.send_count, 5);
  assert_int_equal (f.answer.u.answer.covered, 3);
  qry_finish (&f.query);
}

/* Guards against an error answer that states "not run" although the query may
   have run (promise P6), or that has no reason or no Retry-After.  */
TEST (errors_state_whether_the_query_ran)
{
  struct fixture f;

  for (int lost = 0; lost < 2; lost++)
    {
      fixture_init (&f);
      f.env.hedge_percent = 0.0;
      start (&f);
      for (size_t i = 0; i < 4; i++)
        report_result (&f, i, i == 0 && lost ? QRY_FAILED : QRY_NOT_RUN, "",
                       30 * RW_MSEC, 100);
      assert_true (f.answered);
      assert_int_equal (f.answer.u.answer.status, 503);
      assert_int_equal (f.answer.u.answer.retry_after, 30 * RW_MSEC);
      assert_non_null (
          strstr (f.body, lost ? "\"ran\":\"unknown\"" : "\"ran\":\"no\""));
      assert_non_null (strstr (f.body, "\"step\":\"part\""));
      assert_non_null (strstr (f.body, "\"retry_after_ms\":30"));
      qry_finish (&f.query);
    }
  fixture_init (&f);
  start (&f);
  while (!f.answered)
    tick_at_wakeup (&f);
  assert_int_equal (f.answer.u.answer.status, 504);
  assert_non_null (strstr (f.body, "\"ran\":\"unknown\""));
  qry_finish (&f.query);
}

/* Guards against an answer that is delayed although no part can be sent: there
   is no map, no shard, or no usable target.  */
TEST (queries_without_target_fail_at_once)
{
  struct fixture f;

  /* 0: no map; 1: a map without shards; 2: all targets are leaving.  */
  for (int kind = 0; kind < 3; kind++)
    {
      fixture_init (&f);
      if (kind == 0)
        f.env.active_map = NULL;
      else if (kind == 1)
        f.view.shard_count = 0;
      for (uint32_t i = 0; i < TARGETS; i++)
        f.targets[i].leaving = true;
      start (&f);
      assert_true (f.answered);
      assert_int_equal (f.answer.u.answer.status, 503);
      assert_non_null (strstr (f.body, "\"ran\":\"no\""));
      qry_finish (&f.query);
    }
}

/* Guards against a restart that mixes snapshots, that happens with less than
   half of the time left, or that happens before the map of the newer snapshot
   is active.  */
TEST (restart_on_the_newer_snapshot)
{
  struct fixture f;
  size_t before;

  for (int late = 0; late < 2; late++)
    {
      rw_time now = late ? 31 * RW_MSEC : 5 * RW_MSEC;

      fixture_init (&f);
      f.env.disabled_mechanisms = QRY_MECH_HEDGE;
      start (&f);
      report_ok (&f, 0, 100);
      report_result (&f, 1, QRY_OTHER_SNAPSHOT, "s2", 0, 200);
      before = f.send_count;
      assert_int_equal (before, 5); /* the other replica may still serve s1 */
      f.env.active_map = &f.new_map;
      report_result (&f, 2, QRY_OTHER_SNAPSHOT, "s2", 0, now);
      assert_int_equal (f.query.map == &f.new_map, !late);
      if (late)
        assert_int_equal (f.send_count, 6);
      else
        {
          assert_int_equal (f.send_count, before + 4);
          assert_int_equal (report_result (&f, 3, QRY_OK, "s1", 0, now),
                            RW_E_MISMATCH);
          for (size_t i = before; i < before + 4; i++)
            assert_int_equal (report_result (&f, i, QRY_OK, "s2", 0, now), 0);
          assert_true (f.answer.u.answer.complete);
          assert_non_null (strstr (f.body, "\"snapshot\":\"s2\""));
        }
      qry_finish (&f.query);
      assert_int_equal (f.old_map.refs + f.new_map.refs, 0);
    }
}

/* Guards against "not run" in the error answer of a query whose part was
   searched on another snapshot.  */
TEST (other_snapshot_that_ran_is_not_reported_as_not_run)
{
  struct fixture f;

  for (int ran = 0; ran < 2; ran++)
    {
      struct qry_result r = { .status = QRY_OTHER_SNAPSHOT,
                              .may_have_run = ran != 0,
                              .snapshot = RW_LIT ("s2") };

      fixture_init (&f);
      f.env.disabled_mechanisms = QRY_MECH_HEDGE;
      start (&f);
      r.id = f.query.id;
      for (size_t i = 0; i < f.send_count && !f.answered; i++)
        {
          r.attempt = f.sends[i].u.send.attempt;
          r.shard = f.sends[i].u.send.shard;
          qry_on_result (&f.query, &r, 100, NULL);
          take_commands (&f);
        }
      if (!f.answered)
        {
          qry_tick (&f.query, 61 * RW_MSEC);
          take_commands (&f);
        }
      assert_true (f.answered);
      assert_non_null (
          strstr (f.body, ran ? "\"ran\":\"unknown\"" : "\"ran\":\"no\""));
      qry_finish (&f.query);
    }
}

/* Guards against the retry time of a daemon that is not the holder, and knows
   no other, that does not reach the caller.  */
TEST (retry_time_of_not_holder_is_reported)
{
  struct fixture f;

  fixture_init (&f);
  f.env.disabled_mechanisms = QRY_MECH_HEDGE;
  start (&f);
  for (size_t i = 0; i < f.send_count && !f.answered; i++)
    report_result (&f, i, QRY_NOT_HOLDER, "", 700 * RW_MSEC, 100);
  if (!f.answered)
    {
      qry_tick (&f.query, 61 * RW_MSEC);
      take_commands (&f);
    }
  assert_true (f.answered);
  assert_int_equal (f.answer.u.answer.retry_after, 700 * RW_MSEC);
  qry_finish (&f.query);
}

/* Guards against a restart because of a part that another replica has covered
   since.  A restart would repeat all parts.  */
TEST (no_restart_for_a_covered_part)
{
  struct fixture f;

  for (int lost = 0; lost < 2; lost++)
    {
      fixture_init (&f);
      f.env.disabled_mechanisms = QRY_MECH_HEDGE;
      start (&f);
      report_result (&f, 0, QRY_OTHER_SNAPSHOT, "s2", 0, 100);
      assert_int_equal (f.send_count, 5);
      if (lost)
        report_result (&f, 4, QRY_OTHER_SNAPSHOT, "s2", 0, 200);
      else
        report_ok (&f, 4, 200);
      f.env.active_map = &f.new_map;
      report_ok (&f, 1, 300);
      assert_int_equal (qry_get_counts (&f.query).restarts, lost);
      qry_on_caller_disconnect (&f.query, 400);
      qry_finish (&f.query);
    }
}

/* Guards against a redirect that takes a token, and against redirects without
   limit, when a part was sent to a daemon that does not hold the target.  */
TEST (redirects_cost_no_token)
{
  struct fixture f;

  fixture_init (&f);
  f.env.hedge_percent = 0.0;
  start (&f);
  report_result (&f, 0, QRY_NOT_HOLDER, "", 0, 100);
  report_result (&f, 4, QRY_NOT_HOLDER, "", 0, 200);
  assert_int_equal (f.send_count, 6);
  assert_int_equal (f.sends[5].u.send.target, f.sends[0].u.send.target);
  assert_int_equal (f.sends[5].u.send.reason, QRY_REDIRECT);
  report_result (&f, 5, QRY_NOT_HOLDER, "", 0, 300);
  assert_int_equal (f.send_count, 6);
  qry_on_caller_disconnect (&f.query, 400);
  qry_finish (&f.query);
}
