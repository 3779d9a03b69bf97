/* A fleet of daemons and a service whose targets end under a request, in
   virtual time: load patterns, faults of daemons, and messages between them
   that are late or lost.  */

#include "quarantine.h"
#include "unit.h"

#define MAX_DAEMONS 300
#define MAX_TARGETS 24
#define MAX_SENDS 4000
#define MAX_MESSAGE 1400
#define CRASHING 0xbad0bad0U
#define POPULAR 0x600d600dU
/* A target works this long on a request, and is away this long after its end.
 */
#define RUN_TIME (60 * RW_MSEC)
#define DOWN_TIME (3 * RW_SEC)
/* A daemon in trouble need not know what others do until this long after.  */
#define CONTACT_TIME (4 * RW_SEC)
#define PUSH_DELAY (5 * RW_MSEC)
#define PUSH_FANOUT 5
#define GOSSIP_INTERVAL (500 * RW_MSEC)
#define GRANT_TIMEOUT (60 * RW_MSEC)

enum event_kind
{
  EVENT_ARRIVAL,   /* of the request KEY at a random daemon */
  EVENT_RUN_END,   /* of a send */
  EVENT_TARGET_UP, /* another process of the target starts */
  EVENT_MESSAGE,
  EVENT_PUSH,
  EVENT_GOSSIP
};

struct event
{
  enum event_kind kind;
  uint64_t key;
  double per_s; /* ARRIVAL */
  size_t index; /* of the send, target or daemon */
  size_t from;
  unsigned int epoch; /* of the target's process or the daemon */
  size_t len;
  char data[];
};

struct target
{
  bool is_up;
  unsigned int epoch; /* of its process */
  uint32_t version;
};

struct daemon
{
  struct qua_table table;
  unsigned int epoch;
  bool push_due;
  bool is_cut_off;     /* from the other daemons */
  rw_time in_touch_at; /* it is not in touch before */
  uint32_t waits_for;  /* software of the trial it asked for */
  rw_time waits_until; /* 0: it does not wait */
};

struct send
{
  uint64_t key;
  size_t daemon;
  unsigned int daemon_epoch;
  size_t target;
  unsigned int target_epoch;
  rw_time sent_at;
  bool open;
};

struct fixture
{
  struct rw_heap heap;
  struct rw_rng rng;
  rw_time now;
  struct daemon daemons[MAX_DAEMONS];
  size_t daemon_count;
  struct target targets[MAX_TARGETS];
  size_t target_count;
  struct send sends[MAX_SENDS];
  uint32_t repaired_version; /* bears the request; 0: none does */
  double loss;               /* share of messages that are lost */
  /* Results.  */
  size_t crashing_sends;
  size_t ends;
  rw_time third_end;
  size_t late_sends; /* of daemons in touch, CONTACT_TIME after it */
  size_t served;     /* crashing requests that a repaired target completed */
  size_t popular_sent;
  size_t popular_refused;
};

static void
begin (struct fixture *f)
{
  rw_heap_init (&f->heap);
  f->now = 1000 * RW_SEC;
}

static void
end (struct fixture *f)
{
  rw_time at;
  while (f->heap.len > 0)
    free (rw_heap_pop (&f->heap, &at));
  rw_heap_finish (&f->heap);
  for (size_t i = 0; i < f->daemon_count; i++)
    qua_finish (&f->daemons[i].table);
}

UNIT_FIXTURE (begin, end)

static struct event *
add_event (struct fixture *f, rw_time at, enum event_kind kind, size_t len)
{
  struct event *event = rw_xcalloc (1, sizeof *event + len);
  event->kind = kind;
  event->len = len;
  rw_heap_push (&f->heap, at, event);
  return event;
}

static void
start_daemon (struct fixture *f, size_t i)
{
  struct daemon *d = &f->daemons[i];
  d->epoch++;
  d->push_due = false;
  d->waits_until = 0;
  qua_init (&d->table, (uint32_t)i + 1, rw_rng_next (&f->rng));
  struct event *gossip = add_event (
      f, f->now + (rw_time)rw_rng_below (&f->rng, GOSSIP_INTERVAL),
      EVENT_GOSSIP, 0);
  gossip->index = i;
  gossip->epoch = d->epoch;
}

static void
restart_daemon (struct fixture *f, size_t i)
{
  qua_finish (&f->daemons[i].table);
  start_daemon (f, i);
  f->daemons[i].in_touch_at = f->now + CONTACT_TIME;
}

static void
set_up_fleet (struct fixture *f, size_t daemons, size_t targets, uint64_t seed)
{
  end (f);
  memset (f, 0, sizeof *f);
  begin (f);
  rw_rng_init (&f->rng, seed);
  f->daemon_count = daemons;
  f->target_count = targets;
  for (size_t i = 0; i < daemons; i++)
    start_daemon (f, i);
  for (size_t i = 0; i < targets; i++)
    f->targets[i] = (struct target){ true, 1, 1 };
}

static uint32_t
software_of (const struct target *target)
{
  return target->version;
}

static void
send_message (struct fixture *f, size_t from, size_t to, const char *data,
              size_t len)
{
  if (len == 0 || to == from || rw_rng_unit (&f->rng) < f->loss
      || f->daemons[from].is_cut_off != f->daemons[to].is_cut_off)
    return;
  struct event *message = add_event (
      f, f->now + 500 + (rw_time)rw_rng_below (&f->rng, 3 * RW_MSEC),
      EVENT_MESSAGE, len);
  message->index = to;
  message->from = from;
  message->epoch = f->daemons[to].epoch;
  memcpy (message->data, data, len);
}

static void
push_news (struct fixture *f, size_t i)
{
  struct daemon *d = &f->daemons[i];
  if (!d->table.has_news || d->push_due)
    return;
  d->push_due = true;
  struct event *push = add_event (f, f->now + PUSH_DELAY, EVENT_PUSH, 0);
  push->index = i;
  push->epoch = d->epoch;
}

static void
start_arrivals (struct fixture *f, uint64_t key, double per_s)
{
  struct event *event = add_event (
      f, f->now + (rw_time)rw_rng_exponential (&f->rng, RW_SEC / per_s),
      EVENT_ARRIVAL, 0);
  event->key = key;
  event->per_s = per_s;
}

/* Ends the process of target I; all that is in flight there is lost.  */
static void
end_target (struct fixture *f, size_t i)
{
  struct target *t = &f->targets[i];
  if (!t->is_up)
    return;
  t->is_up = false;
  for (size_t s = 0; s < MAX_SENDS; s++)
    {
      struct send *send = &f->sends[s];
      struct daemon *d = &f->daemons[send->daemon];
      if (!send->open || send->target != i)
        continue;
      send->open = false;
      if (d->epoch != send->daemon_epoch)
        continue;
      struct qua_end end = { .target = i,
                             .software = software_of (t),
                             .sent_at = send->sent_at,
                             .ended_at = f->now };
      qua_on_end (&d->table, send->key, &end, f->now);
      push_news (f, send->daemon);
    }
  struct event *up = add_event (f, f->now + DOWN_TIME, EVENT_TARGET_UP, 0);
  up->index = i;
  up->epoch = t->epoch;
}

/* Sends KEY from daemon I to a random target among those that may get it;
   TRIAL is the software of a trial, 0 for none.  Returns whether it did.  */
static bool
send_request (struct fixture *f, size_t i, uint64_t key, uint32_t trial)
{
  struct daemon *d = &f->daemons[i];
  size_t candidates[MAX_TARGETS];
  size_t count = 0;
  for (size_t t = 0; t < f->target_count; t++)
    if (f->targets[t].is_up
        && (software_of (&f->targets[t]) == trial
            || qua_verdict (&d->table, key, software_of (&f->targets[t]),
                            f->now)
                   <= QUA_CAREFUL))
      candidates[count++] = t;
  if (count == 0)
    return false;
  size_t target = candidates[rw_rng_below (&f->rng, count)];
  size_t s = 0;
  while (f->sends[s].open)
    assert_true (++s < MAX_SENDS);
  f->sends[s]
      = (struct send){ key,    i,   d->epoch, target, f->targets[target].epoch,
                       f->now, true };
  struct event *run = add_event (f, f->now + RUN_TIME, EVENT_RUN_END, 0);
  run->index = s;
  run->epoch = f->targets[target].epoch;
  if (key == CRASHING
      && (f->repaired_version == 0
          || f->targets[target].version < f->repaired_version))
    {
      f->crashing_sends++;
      if (f->third_end > 0 && f->now > f->third_end + CONTACT_TIME
          && f->now >= d->in_touch_at && !d->is_cut_off)
        f->late_sends++;
    }
  return true;
}

/* The daemon that grants the trials of KEY.  */
static size_t
owner_of (const struct fixture *f, uint64_t key)
{
  return key % f->daemon_count;
}

static void
on_arrival (struct fixture *f, const struct event *event)
{
  size_t i = rw_rng_below (&f->rng, f->daemon_count);
  struct daemon *d = &f->daemons[i];
  uint32_t untried = 0;
  bool any_up = false;
  start_arrivals (f, event->key, event->per_s);
  if (event->key == POPULAR)
    f->popular_sent++;
  if (send_request (f, i, event->key, 0))
    return;
  for (size_t t = 0; t < f->target_count; t++)
    {
      any_up = any_up || f->targets[t].is_up;
      if (f->targets[t].is_up
          && qua_verdict (&d->table, event->key, software_of (&f->targets[t]),
                          f->now)
                 == QUA_UNTRIED)
        untried = software_of (&f->targets[t]);
    }
  if (event->key == POPULAR)
    f->popular_refused += any_up;
  if (untried == 0 || f->now < d->waits_until)
    return;
  if (owner_of (f, event->key) == i)
    {
      if (qua_grant (&d->table, event->key, untried, (uint32_t)i + 1, f->now)
          && qua_take_trial (&d->table, event->key, f->now))
        send_request (f, i, event->key, untried);
      push_news (f, i);
      return;
    }
  char item[QUA_MAX_ITEM];
  size_t len = qua_write_wanted (event->key, untried, item, sizeof item);
  d->waits_for = untried;
  d->waits_until = f->now + GRANT_TIMEOUT;
  send_message (f, i, owner_of (f, event->key), item, len);
}

static void
on_run_end (struct fixture *f, const struct event *event)
{
  struct send *send = &f->sends[event->index];
  struct target *t = &f->targets[send->target];
  if (!send->open || send->target_epoch != event->epoch || !t->is_up
      || t->epoch != event->epoch)
    return;
  bool crashes
      = send->key == CRASHING
        && (f->repaired_version == 0 || t->version < f->repaired_version);
  if (crashes)
    {
      if (++f->ends == 3)
        f->third_end = f->now;
      end_target (f, send->target);
      return;
    }
  send->open = false;
  f->served += send->key == CRASHING;
  struct daemon *d = &f->daemons[send->daemon];
  if (d->epoch == send->daemon_epoch)
    qua_on_done (&d->table, send->key, software_of (t), f->now);
  push_news (f, send->daemon);
}

struct wanted
{
  struct fixture *f;
  size_t owner;
  size_t from;
};

static void
on_wanted (void *arg, uint64_t key, uint32_t software)
{
  struct wanted *w = arg;
  struct qua_table *table = &w->f->daemons[w->owner].table;
  char data[MAX_MESSAGE];
  if (!qua_grant (table, key, software, (uint32_t)w->from + 1, w->f->now))
    return;
  size_t len = qua_write_record (table, key, data, sizeof data, w->f->now);
  send_message (w->f, w->owner, w->from, data, len);
}

static void
on_message (struct fixture *f, const struct event *event)
{
  struct daemon *d = &f->daemons[event->index];
  struct wanted wanted = { f, event->index, event->from };
  if (d->epoch != event->epoch)
    return;
  assert_int_equal (qua_read (&d->table,
                              (struct rw_str){ event->data, event->len },
                              on_wanted, &wanted, f->now),
                    0);
  push_news (f, event->index);
  if (f->now < d->waits_until && qua_take_trial (&d->table, CRASHING, f->now))
    {
      d->waits_until = 0;
      send_request (f, event->index, CRASHING, d->waits_for);
    }
}

static void
on_push (struct fixture *f, const struct event *event)
{
  struct daemon *d = &f->daemons[event->index];
  char data[MAX_MESSAGE];
  if (d->epoch != event->epoch)
    return;
  d->push_due = false;
  size_t len = qua_write_news (&d->table, data, sizeof data, f->now);
  for (int i = 0; i < PUSH_FANOUT; i++)
    send_message (f, event->index, rw_rng_below (&f->rng, f->daemon_count),
                  data, len);
  push_news (f, event->index);
}

static void
on_gossip (struct fixture *f, const struct event *event)
{
  struct daemon *d = &f->daemons[event->index];
  char data[400];
  if (d->epoch != event->epoch)
    return;
  size_t len = qua_write_next (&d->table, data, sizeof data, f->now);
  send_message (f, event->index, rw_rng_below (&f->rng, f->daemon_count), data,
                len);
  struct event *next
      = add_event (f, f->now + GOSSIP_INTERVAL, EVENT_GOSSIP, 0);
  next->index = event->index;
  next->epoch = event->epoch;
}

/* Plays until AT.  */
static void
play (struct fixture *f, rw_time at)
{
  while (f->heap.len > 0 && rw_heap_next_time (&f->heap) <= at)
    {
      struct event *event = rw_heap_pop (&f->heap, &f->now);
      switch (event->kind)
        {
        case EVENT_ARRIVAL:
          on_arrival (f, event);
          break;
        case EVENT_RUN_END:
          on_run_end (f, event);
          break;
        case EVENT_TARGET_UP:
          f->targets[event->index].is_up = true;
          f->targets[event->index].epoch++;
          break;
        case EVENT_MESSAGE:
          on_message (f, event);
          break;
        case EVENT_PUSH:
          on_push (f, event);
          break;
        case EVENT_GOSSIP:
          on_gossip (f, event);
          break;
        }
      free (event);
    }
  f->now = at;
}

static void
play_for (struct fixture *f, rw_time time)
{
  play (f, f->now + time);
}

#define SEEDS 5

/* Whether daemon I holds the request back from the first version.  */
static bool
is_held_at (const struct fixture *f, size_t i)
{
  return qua_verdict (&f->daemons[i].table, CRASHING, 1, f->now)
         >= QUA_UNTRIED;
}

/* Guards against sends that go on once a request has ended three targets: a
   few a minute to many a second, few daemons and many, messages that are lost.
 */
TEST_WITH_FIXTURE (a_crashing_request_is_stopped)
{
  static const double rates[] = { 0.2, 1, 5, 50 };
  static const size_t fleets[] = { 4, 15, 117, 300 };
  for (size_t r = 0; r < RW_ARRAY_LEN (rates); r++)
    for (size_t n = 0; n < RW_ARRAY_LEN (fleets); n++)
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          set_up_fleet (f, fleets[n], 8, seed);
          f->loss = 0.05;
          start_arrivals (f, CRASHING, rates[r]);
          play_for (f, 90 * RW_SEC);
          assert_true (f->ends >= 3);
          assert_true (f->late_sends <= 3);
        }
}

/* Guards against a popular request that is refused when a data centre, or the
   whole service, is lost at one moment with all that is in flight there.  */
TEST_WITH_FIXTURE (a_popular_request_survives_the_loss_of_a_data_centre)
{
  static const double rates[] = { 1, 20, 200 };
  for (size_t lost = 8; lost <= 24; lost += 16)
    for (size_t r = 0; r < RW_ARRAY_LEN (rates); r++)
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          set_up_fleet (f, 15, 24, seed);
          start_arrivals (f, POPULAR, rates[r]);
          for (int i = 0; i < 4; i++)
            {
              play_for (f, 8 * RW_SEC);
              for (size_t t = 0; t < lost; t++)
                end_target (f, t);
            }
          play_for (f, 8 * RW_SEC);
          assert_true (f->popular_sent > 10);
          assert_int_equal (f->popular_refused, 0);
        }
}

/* Guards against a popular request that is refused when a release ends one
   target after the other.  */
TEST_WITH_FIXTURE (a_popular_request_survives_a_release)
{
  static const double rates[] = { 20, 200 };
  for (size_t r = 0; r < RW_ARRAY_LEN (rates); r++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        set_up_fleet (f, 15, 12, seed);
        start_arrivals (f, POPULAR, rates[r]);
        for (size_t t = 0; t < f->target_count; t++)
          {
            play_for (f, RW_SEC);
            end_target (f, t);
          }
        play_for (f, 10 * RW_SEC);
        assert_int_equal (f->popular_refused, 0);
      }
}

/* Guards against an innocent request that is refused for what another one did
   at the same targets.  */
TEST_WITH_FIXTURE (a_popular_request_survives_a_crashing_one)
{
  for (uint64_t seed = 1; seed <= 2 * SEEDS; seed++)
    {
      set_up_fleet (f, 15, 8, seed);
      start_arrivals (f, POPULAR, 40);
      start_arrivals (f, CRASHING, 5);
      play_for (f, 40 * RW_SEC);
      assert_true (f->late_sends <= 3);
      assert_int_equal (f->popular_refused, 0);
    }
}

/* Guards against news of a crashing request that wait behind those of
   thousands of others, which were in flight when a data centre was lost.  */
TEST_WITH_FIXTURE (it_is_stopped_while_a_data_centre_is_lost)
{
  for (uint64_t seed = 1; seed <= 2; seed++)
    {
      set_up_fleet (f, 40, 8, seed);
      start_arrivals (f, CRASHING, 2);
      play_for (f, 200 * RW_MSEC);
      for (size_t i = 0; i < f->daemon_count; i++)
        for (uint64_t key = 0; key < 40; key++)
          {
            struct qua_end end = { .target = key,
                                   .software = 1,
                                   .sent_at = f->now - RUN_TIME,
                                   .ended_at = f->now };
            qua_on_end (&f->daemons[i].table, rw_hash_u64 (key, i), &end,
                        f->now);
            push_news (f, i);
          }
      play_for (f, 30 * RW_SEC);
      assert_true (f->ends >= 3);
      assert_true (f->late_sends <= 3);
      for (size_t i = 0; i < f->daemon_count; i++)
        assert_true (f->daemons[i].table.records.len <= QUA_MAX_RECORDS);
    }
}

/* Guards against daemons that start with nothing and send the request again.
 */
TEST_WITH_FIXTURE (restarted_daemons_learn)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      set_up_fleet (f, 15, 8, seed);
      f->loss = 0.05;
      start_arrivals (f, CRASHING, 3);
      play_for (f, 5 * RW_SEC);
      for (size_t i = 0; i < f->daemon_count; i++)
        {
          restart_daemon (f, i);
          play_for (f, CONTACT_TIME);
          assert_true (is_held_at (f, i));
        }
      assert_true (f->late_sends <= 3);
    }
}

/* Guards against daemons that were cut off from the others, with different
   evidence on both sides.  */
TEST_WITH_FIXTURE (daemons_that_were_cut_off_learn)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      set_up_fleet (f, 15, 8, seed);
      start_arrivals (f, CRASHING, 3);
      for (size_t i = 0; i < 5; i++)
        f->daemons[i].is_cut_off = true;
      play_for (f, 20 * RW_SEC);
      for (size_t i = 0; i < 5; i++)
        {
          f->daemons[i].is_cut_off = false;
          f->daemons[i].in_touch_at = f->now + CONTACT_TIME;
        }
      play_for (f, CONTACT_TIME);
      for (size_t i = 0; i < f->daemon_count; i++)
        assert_true (is_held_at (f, i));
      play_for (f, 20 * RW_SEC);
      assert_true (f->late_sends <= 3);
    }
}

/* Guards against a fleet that starts anew, with no memory, and lets the
   request end targets for as long as before.  */
TEST_WITH_FIXTURE (a_fleet_that_starts_anew_learns_again)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      set_up_fleet (f, 15, 8, seed);
      start_arrivals (f, CRASHING, 3);
      play_for (f, 20 * RW_SEC);
      for (size_t i = 0; i < f->daemon_count; i++)
        restart_daemon (f, i);
      play_for (f, 40 * RW_SEC);
      assert_true (f->late_sends <= 3);
    }
}

static void
set_version (struct fixture *f, uint32_t version)
{
  for (size_t t = 0; t < f->target_count; t++)
    {
      end_target (f, t);
      f->targets[t].version = version;
    }
}

/* Guards against a request that stays refused when the service is repaired. */
TEST_WITH_FIXTURE (a_repaired_version_serves_it_again)
{
  static const size_t fleets[] = { 4, 15, 300 };
  for (size_t n = 0; n < RW_ARRAY_LEN (fleets); n++)
    for (uint64_t seed = 1; seed <= SEEDS; seed++)
      {
        set_up_fleet (f, fleets[n], 8, seed);
        start_arrivals (f, CRASHING, 4);
        play_for (f, 20 * RW_SEC);
        assert_int_equal (f->served, 0);
        f->repaired_version = 2;
        set_version (f, 2);
        play_for (f, 15 * RW_SEC);
        assert_true (f->served > 0);
        size_t before = f->served;
        play_for (f, 10 * RW_SEC);
        assert_true (f->served - before > 20);
        assert_true (f->late_sends <= 3);
      }
}

/* Guards against trials of one version after the other that is not repaired.
 */
TEST_WITH_FIXTURE (versions_that_are_not_repaired_get_few_trials)
{
  for (uint64_t seed = 1; seed <= SEEDS; seed++)
    {
      set_up_fleet (f, 15, 8, seed);
      start_arrivals (f, CRASHING, 4);
      for (uint32_t version = 2; version < 12; version++)
        {
          play_for (f, 20 * RW_SEC);
          set_version (f, version);
        }
      assert_true (f->late_sends <= 3);
    }
}
