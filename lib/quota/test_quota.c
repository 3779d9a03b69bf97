#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "quota.h"
#include "unit.h"

#define DAEMONS 4
#define ORG 77
/* A new owner grants after less than this time.  */
#define SETTLED (2 * RW_SEC)
/* Tokens can be used for this time, with the settings of the tests.  */
#define LIFE (400 * RW_MSEC)

/* Daemons with addresses from 1 on.  Messages are handed over by the test.  */
struct fixture
{
  struct quo_table tables[DAEMONS + 1]; /* by address */
  struct quo_view view;
  struct quo_limit limit;
  uint32_t owner; /* of all pools */
  rw_time now;
  rw_time retry;
};

static uint32_t
choose_owner (void *arg, uint64_t key, rw_time now)
{
  (void)key;
  (void)now;
  return ((struct fixture *)arg)->owner;
}

static bool
find_limit (void *arg, uint64_t organisation, struct quo_limit *limit)
{
  struct fixture *f = arg;
  *limit = f->limit;
  limit->organisation = organisation;
  return true;
}

static void
begin (struct fixture *f)
{
  f->now = 100 * RW_SEC;
  f->owner = 2;
  f->view = (struct quo_view){ f, choose_owner, find_limit, DAEMONS,
                               1, NULL,         NULL };
  f->limit = (struct quo_limit){ ORG, 100, 50 };
  for (uint32_t i = 1; i <= DAEMONS; i++)
    {
      struct quo_settings settings = {
        .daemon = i, .window = 5 * RW_SEC, .overshoot = 0.25, .slack = 20
      };
      quo_init (&f->tables[i], &settings, i, f->now);
    }
}

static void
end (struct fixture *f)
{
  for (uint32_t i = 1; i <= DAEMONS; i++)
    quo_finish (&f->tables[i]);
}

UNIT_FIXTURE (begin, end)

static enum quo_verdict
take (struct fixture *f, uint32_t daemon, bool is_repeat)
{
  return quo_take (&f->tables[daemon], &f->view, &f->limit, is_repeat, f->now,
                   &f->retry);
}

/* Returns the next message of DAEMON, whose bytes are in OUT.  */
static struct rw_str
next_message (struct fixture *f, uint32_t daemon, char *out, uint32_t *to)
{
  size_t len
      = quo_next_message (&f->tables[daemon], &f->view, f->now, to, out);
  return (struct rw_str){ out, len };
}

static void
deliver (struct fixture *f, uint32_t from, uint32_t to, struct rw_str message)
{
  assert_int_equal (quo_read (&f->tables[to], &f->view, from, message, f->now),
                    0);
}

/* Hands over all messages, without delay.  */
static void
exchange (struct fixture *f)
{
  bool any = true;
  while (any)
    {
      any = false;
      for (uint32_t i = 1; i <= DAEMONS; i++)
        {
          char out[QUO_MAX_MESSAGE];
          uint32_t to;
          struct rw_str message;
          while ((message = next_message (f, i, out, &to)).len > 0)
            {
              deliver (f, i, to, message);
              any = true;
            }
        }
    }
}

static void
tick_all (struct fixture *f)
{
  for (uint32_t i = 1; i <= DAEMONS; i++)
    quo_tick (&f->tables[i], &f->view, f->now);
}

/* Lets SPAN pass.  */
static void
pass (struct fixture *f, rw_time span)
{
  for (rw_time end = f->now + span; f->now < end;)
    {
      f->now += end - f->now < 100 * RW_MSEC ? end - f->now : 100 * RW_MSEC;
      tick_all (f);
      exchange (f);
    }
}

/* A request at DAEMON with the verdict that it gets in the end.  */
static enum quo_verdict
request (struct fixture *f, uint32_t daemon)
{
  enum quo_verdict verdict = take (f, daemon, false);
  for (int i = 0; i < 20 && verdict == QUO_WAIT; i++)
    {
      exchange (f);
      verdict = take (f, daemon, true);
      if (verdict == QUO_WAIT)
        f->now += 5 * RW_MSEC;
    }
  assert_int_not_equal (verdict, QUO_WAIT);
  return verdict;
}

/* Makes the owner settle and save tokens.  */
static void
settle (struct fixture *f)
{
  (void)request (f, 1);
  pass (f, SETTLED);
  (void)request (f, 1);
  pass (f, 2 * RW_SEC);
}

static uint64_t
taken (struct fixture *f, uint32_t daemon)
{
  struct quo_usage usage;
  return quo_find_usage (&f->tables[daemon], ORG, &usage, f->now) ? usage.taken
                                                                  : 0;
}

/* Sends requests at DAEMON at the same time, until one gets no token.  Returns
   how many were let through.  */
static uint32_t
drain (struct fixture *f, uint32_t daemon)
{
  uint32_t count = 0;
  enum quo_verdict verdict = QUO_TAKEN;
  while (verdict == QUO_TAKEN)
    {
      verdict = take (f, daemon, false);
      if (verdict == QUO_WAIT)
        {
          exchange (f);
          verdict = take (f, daemon, true);
        }
      count += verdict == QUO_TAKEN;
    }
  if (verdict == QUO_WAIT)
    quo_cancel (&f->tables[daemon], ORG, f->now);
  return count;
}

/* Sends a request at daemon 1 each 0.5 ms for SPAN.  Returns how many were let
   through.  */
static uint64_t
spend (struct fixture *f, rw_time span)
{
  uint64_t before = taken (f, 1);
  for (rw_time end = f->now + span; f->now < end; f->now += RW_MSEC / 2)
    (void)request (f, 1);
  return taken (f, 1) - before;
}

/* Guards against an owner that grants before the daemon that owned the pool
   until now has noticed.  */
TEST_WITH_FIXTURE (a_new_owner_grants_only_when_it_has_settled)
{
  for (rw_time t = 0; t < 1800 * RW_MSEC; t += 100 * RW_MSEC)
    {
      (void)request (f, 1);
      pass (f, 100 * RW_MSEC);
    }
  struct quo_usage usage;
  assert_true (quo_find_usage (&f->tables[2], ORG, &usage, f->now));
  assert_true (usage.is_owner);
  assert_true (usage.granted_per_s <= 0);
  pass (f, 400 * RW_MSEC);
  assert_int_equal (request (f, 1), QUO_TAKEN);
  for (uint32_t i = 1; i <= DAEMONS; i++)
    f->tables[i].without = QUO_WITHOUT_SETTLE;
  f->owner = 3;
  pass (f, 1100 * RW_MSEC);
  (void)request (f, 1);
  pass (f, 300 * RW_MSEC);
  assert_int_equal (request (f, 1), QUO_TAKEN);
}

/* Guards against a bucket that is full when its owner is new, beside one that
   its old owner has just spent.  */
TEST_WITH_FIXTURE (a_new_owner_begins_with_few_tokens)
{
  f->limit.burst = 5000;
  (void)request (f, 1);
  pass (f, SETTLED);
  /* 18, and those of the time since.  */
  assert_in_range (drain (f, 1), 1, 40);
}

/* Guards against two tokens for one, when a message arrives twice or a daemon
   answers what it was not asked.  */
TEST_WITH_FIXTURE (a_grant_answers_one_ask)
{
  char ask[QUO_MAX_MESSAGE];
  char out[QUO_MAX_MESSAGE];
  uint32_t to;
  settle (f);
  pass (f, RW_SEC);
  f->tables[1].without = QUO_WITHOUT_AHEAD;
  assert_int_equal (take (f, 1, false), QUO_WAIT);
  deliver (f, 1, 2, next_message (f, 1, ask, &to));
  assert_int_equal (to, 2);
  struct rw_str grant = next_message (f, 2, out, &to);
  assert_int_equal (to, 1);
  deliver (f, 3, 1, grant);
  assert_int_equal (take (f, 1, true), QUO_WAIT);
  deliver (f, 2, 1, grant);
  deliver (f, 2, 1, grant);
  assert_int_equal (take (f, 1, true), QUO_TAKEN);
  assert_int_equal (take (f, 1, false), QUO_WAIT);
}

/* Guards against tokens that are used long after the owner has given the next
   ones: a grant that comes too late is not used, nor one that lies too
   long.  */
TEST_WITH_FIXTURE (granted_tokens_expire)
{
  char ask[QUO_MAX_MESSAGE];
  char out[QUO_MAX_MESSAGE];
  uint32_t to;
  struct quo_usage usage;
  settle (f);
  pass (f, RW_SEC);
  assert_int_equal (take (f, 1, false), QUO_WAIT);
  deliver (f, 1, 2, next_message (f, 1, ask, &to));
  struct rw_str grant = next_message (f, 2, out, &to);
  f->now += LIFE;
  uint64_t before = taken (f, 1);
  deliver (f, 2, 1, grant);
  assert_true (quo_find_usage (&f->tables[1], ORG, &usage, f->now));
  assert_true (usage.held <= 0);
  assert_int_equal (taken (f, 1), before);
  /* A steady load makes the daemon hold tokens.  */
  for (int i = 0; i < 50; i++)
    {
      (void)request (f, 1);
      pass (f, 20 * RW_MSEC);
    }
  assert_true (quo_find_usage (&f->tables[1], ORG, &usage, f->now));
  assert_true (usage.held > 0);
  f->now += LIFE;
  assert_true (quo_find_usage (&f->tables[1], ORG, &usage, f->now));
  assert_true (usage.held <= 0);
}

/* Guards against requests that wait without end when no owner answers, also
   when others keep coming.  */
TEST_WITH_FIXTURE (a_waiting_request_is_decided_in_bounded_time)
{
  enum
  {
    COUNT = 400
  };
  rw_time since[COUNT];
  size_t waiting = 0;
  settle (f);
  f->owner = 99;
  for (int i = 0; i < COUNT; i++)
    {
      char out[QUO_MAX_MESSAGE];
      uint32_t to;
      size_t kept = 0;
      for (size_t j = 0; j < waiting; j++)
        if (take (f, 1, true) == QUO_WAIT)
          since[kept++] = since[j];
        else
          assert_true (f->now - since[j] <= 100 * RW_MSEC);
      waiting = kept;
      if (take (f, 1, false) == QUO_WAIT)
        since[waiting++] = f->now;
      while (next_message (f, 1, out, &to).len > 0)
        continue;
      f->now += 5 * RW_MSEC;
    }
  /* The last ones, without further requests.  */
  for (int i = 0; i < 30 && waiting > 0; i++)
    {
      rw_time next = quo_next_event (&f->tables[1], f->now);
      char out[QUO_MAX_MESSAGE];
      uint32_t to;
      assert_true (next < f->now + 100 * RW_MSEC);
      f->now = next;
      while (next_message (f, 1, out, &to).len > 0)
        continue;
      for (size_t j = waiting; j > 0; j--)
        if (take (f, 1, true) != QUO_WAIT)
          waiting--;
    }
  assert_int_equal (waiting, 0);
}

/* Guards against a message for each organisation, and against a message to
   itself.  */
TEST_WITH_FIXTURE (asks_of_one_owner_share_a_message)
{
  char out[QUO_MAX_MESSAGE];
  uint32_t to;
  for (uint64_t i = 0; i < 10; i++)
    {
      f->limit.organisation = 1000 + i;
      assert_int_equal (take (f, 1, false), QUO_WAIT);
    }
  assert_in_range (next_message (f, 1, out, &to).len, 10 * 24, 10 * 24);
  assert_int_equal (to, 2);
  assert_int_equal (next_message (f, 1, out, &to).len, 0);
  for (uint64_t i = 0; i < 10; i++)
    {
      f->limit.organisation = 1000 + i;
      (void)take (f, 2, false);
    }
  assert_int_equal (next_message (f, 2, out, &to).len, 0);
}

/* Guards against tokens of a higher limit that are used under a lower one: in
   the bucket and at the daemon that holds them.  */
TEST_WITH_FIXTURE (a_lower_limit_cuts_what_is_saved)
{
  struct quo_usage usage;
  for (int round = 0; round < 2; round++)
    {
      for (uint32_t i = 1; i <= DAEMONS; i++)
        f->tables[i].without = round == 0 ? 0 : QUO_WITHOUT_FALL;
      f->limit = (struct quo_limit){ ORG, 1000, 1000 };
      settle (f);
      for (int i = 0; i < 200; i++)
        {
          (void)request (f, 1);
          exchange (f);
          f->now += 2 * RW_MSEC;
        }
      assert_true (quo_find_usage (&f->tables[1], ORG, &usage, f->now));
      double held = usage.held;
      assert_true (held >= 10);
      f->limit = (struct quo_limit){ ORG, 100, 100 };
      (void)request (f, 1);
      assert_true (quo_find_usage (&f->tables[1], ORG, &usage, f->now));
      assert_true ((usage.held <= held / 10) == (round == 0));
      if (round == 0)
        assert_in_range (drain (f, 1), 0, 100 + 100 / 4);
      pass (f, 10 * RW_SEC);
    }
}

/* Guards against callers that are all told to return at the same time, at one
   daemon and at several.  */
TEST_WITH_FIXTURE (refused_callers_are_told_to_return_in_order)
{
  rw_time last = 0;
  f->limit = (struct quo_limit){ ORG, 10, 10 };
  settle (f);
  (void)drain (f, 1);
  for (int i = 0; i < 20; i++)
    {
      assert_int_equal (request (f, 1), QUO_REFUSED);
      rw_time at = f->now + f->retry;
      if (i > 0)
        assert_in_range (at - last, 50 * RW_MSEC, 150 * RW_MSEC);
      last = at;
    }
}

/* When DAEMON has been told that its first stripe has a token.  */
static rw_time
told_time (struct fixture *f, uint32_t daemon)
{
  const struct quo_user *user = rw_map_get (&f->tables[daemon].users, ORG);
  return user->pools[0].token_at;
}

/* Guards against daemons that are all told to ask again at the same time.  */
TEST_WITH_FIXTURE (askers_are_told_to_ask_in_order)
{
  f->limit = (struct quo_limit){ ORG, 10, 1 };
  settle (f);
  for (int round = 0; round < 2; round++)
    {
      f->tables[2].without = round == 0 ? 0 : QUO_WITHOUT_RETRY;
      pass (f, 10 * RW_SEC);
      (void)drain (f, 1);
      pass (f, 100 * RW_MSEC);
      (void)drain (f, 1);
      for (uint32_t i = 3; i <= 4; i++)
        {
          (void)take (f, i, false);
          exchange (f);
          (void)take (f, i, true);
        }
      assert_true ((told_time (f, 4) >= told_time (f, 3) + 100 * RW_MSEC)
                   == (round == 0));
    }
}

/* Guards against a quota that requests use up that were not run, and against
   one that grows by tokens that are given back.  */
TEST_WITH_FIXTURE (tokens_given_back_are_used_once_more)
{
  settle (f);
  f->tables[1].without = QUO_WITHOUT_AHEAD;
  uint32_t count = drain (f, 1);
  assert_true (count >= 40);
  quo_give_back (&f->tables[1], ORG, f->now);
  assert_int_equal (take (f, 1, false), QUO_TAKEN);
  assert_int_not_equal (take (f, 1, false), QUO_TAKEN);
  for (int i = 0; i < 10000; i++)
    quo_give_back (&f->tables[1], ORG, f->now);
  uint32_t back = 0;
  while (take (f, 1, false) == QUO_TAKEN)
    back++;
  assert_in_range (back, 1, count);
  quo_give_back (&f->tables[1], ORG, f->now);
  f->now += LIFE;
  struct quo_usage usage;
  assert_true (quo_find_usage (&f->tables[1], ORG, &usage, f->now));
  assert_true (usage.held <= 0);
}

/* Guards against a side of a partition that grants more than its fraction, and
   against two sides that rise before they agree on the owners.  */
TEST_WITH_FIXTURE (an_owner_grants_its_fraction)
{
  f->limit = (struct quo_limit){ ORG, 1000, 1 };
  settle (f);
  f->view.fraction = 0.25;
  pass (f, 3 * RW_SEC);
  (void)spend (f, RW_SEC);
  assert_in_range (spend (f, RW_SEC), 200, 300);
  f->view.fraction = 1;
  assert_in_range (spend (f, 5 * RW_SEC), 1000, 1500);
  pass (f, 4 * RW_SEC);
  (void)spend (f, RW_SEC);
  assert_in_range (spend (f, RW_SEC), 800, 1200);
}

/* Guards against a request that waits for a message when a steady load could
   have been foreseen.  */
TEST_WITH_FIXTURE (a_steady_load_finds_its_tokens_ready)
{
  size_t waited[2] = { 0, 0 };
  settle (f);
  for (int round = 0; round < 2; round++)
    {
      f->tables[1].without = round == 0 ? 0 : QUO_WITHOUT_AHEAD;
      for (int i = 0; i < 500; i++)
        {
          if (take (f, 1, false) == QUO_WAIT)
            {
              waited[round]++;
              exchange (f);
              (void)take (f, 1, true);
            }
          exchange (f);
          f->now += 12 * RW_MSEC;
          if (i % 10 == 0)
            tick_all (f);
        }
    }
  assert_in_range (waited[0], 0, 25);
  assert_in_range (waited[1], 400, 500);
}

/* Guards against a crash, or a message that is taken for another one, by
   malformed messages, and against a later version that this one refuses.  */
TEST_WITH_FIXTURE (malformed_messages_are_refused)
{
  char out[QUO_MAX_MESSAGE];
  char longer[64] = { 0 };
  uint32_t to;
  assert_int_equal (take (f, 1, false), QUO_WAIT);
  struct rw_str ask = next_message (f, 1, out, &to);
  assert_int_equal (ask.len, 24);
  for (size_t len = 1; len < ask.len; len++)
    assert_int_equal (quo_read (&f->tables[2], &f->view, 1,
                                (struct rw_str){ out, len }, f->now),
                      RW_E_PARSE);
  /* Fields of a later version follow the known ones.  */
  memcpy (longer, out, ask.len);
  longer[3] = 24;
  assert_int_equal (quo_read (&f->tables[2], &f->view, 1,
                              (struct rw_str){ longer, 28 }, f->now),
                    0);
  /* A kind of a later version.  */
  longer[1] = 9;
  assert_int_equal (quo_read (&f->tables[2], &f->view, 1,
                              (struct rw_str){ longer, 28 }, f->now),
                    0);
  /* A pool that does not exist.  */
  out[17] = QUO_POOLS;
  assert_int_equal (quo_read (&f->tables[2], &f->view, 1, ask, f->now),
                    RW_E_PARSE);
}

/* Guards against memory that grows with the number of organisations, and with
   those that nobody asks for any more.  */
TEST_WITH_FIXTURE (state_is_bounded)
{
  struct quo_table *table = &f->tables[2];
  size_t refused = 0;
  for (uint64_t i = 0; i < 2 * QUO_MAX_USERS; i++)
    {
      f->limit.organisation = i + 1;
      refused += take (f, 2, false) == QUO_REFUSED;
    }
  assert_in_range (table->users.len, 1, QUO_MAX_USERS);
  assert_in_range (table->buckets.len, 1, QUO_MAX_BUCKETS);
  assert_true (refused >= QUO_MAX_USERS);
  size_t bytes
      = table->users.len * sizeof (struct quo_user)
        + table->buckets.len * sizeof (struct quo_bucket)
        + (table->users.cap + table->buckets.cap) * sizeof (struct rw_map_slot)
        + QUO_MAX_QUEUE * sizeof (struct quo_item)
        + QUO_MAX_ASKS * sizeof (struct quo_ask) + sizeof *table;
  printf ("state of a daemon at most %zu KB; organisation %zu, bucket %zu "
          "bytes\n",
          bytes / 1024, sizeof (struct quo_user), sizeof (struct quo_bucket));
  assert_in_range (bytes, 1, 16 << 20);
  /* Organisations that are idle make room.  */
  f->now += 10 * RW_SEC;
  f->limit.organisation = 1000000;
  (void)quo_next_message (table, &f->view, f->now, &f->owner,
                          (char[QUO_MAX_MESSAGE]){ 0 });
  (void)take (f, 2, false);
  struct quo_usage usage;
  assert_true (quo_find_usage (table, 1000000, &usage, f->now));
  for (int i = 0; i < 4000; i++)
    {
      f->now += 200 * RW_MSEC;
      quo_tick (table, &f->view, f->now);
    }
  assert_int_equal (table->users.len, 0);
  assert_int_equal (table->buckets.len, 0);
}

/* Guards against a page for operators that lists an organisation twice or
   not, at a daemon that asks for it, owns it, or both.  */
TEST_WITH_FIXTURE (each_organisation_is_listed_once)
{
  struct quo_usage usage;
  for (uint32_t i = 1; i <= 2; i++)
    for (uint64_t org = i; org <= i + 20; org++)
      {
        f->limit.organisation = org;
        (void)request (f, i);
      }
  for (uint32_t i = 1; i <= 2; i++)
    {
      size_t position = 0;
      size_t count = 0;
      uint64_t sum = 0;
      while (quo_next_usage (&f->tables[i], &position, &usage, f->now))
        {
          count++;
          sum += usage.organisation;
        }
      assert_int_equal (count, i == 1 ? 21 : 22);
      assert_int_equal (sum, i == 1 ? 231 : 253);
    }
}

/* Guards against a request that went away and is waited for.  */
TEST_WITH_FIXTURE (a_cancelled_request_waits_no_more)
{
  settle (f);
  pass (f, RW_SEC);
  f->tables[1].without = QUO_WITHOUT_AHEAD;
  assert_int_equal (take (f, 1, false), QUO_WAIT);
  quo_cancel (&f->tables[1], ORG, f->now);
  exchange (f);
  pass (f, RW_SEC);
  assert_int_equal (quo_next_event (&f->tables[1], f->now), RW_TIME_NEVER);
}
