/* A fleet of daemons in simulated time: lib/gossip as membership, lib/quota,
   and a network that delays, loses and repeats messages.  Daemon I has the
   address I + 1.  Requests come from sources; the sum of what all daemons let
   through is checked against the rule after each request.  */

#ifndef QUO_FLEET_H
#define QUO_FLEET_H

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gossip.h"
#include "quota.h"
#include "unit.h"

#define MAX_DAEMONS 300
#define MAX_SOURCES 20000
#define GOSSIP_INTERVAL (50 * RW_MSEC)
#define TICK_INTERVAL (200 * RW_MSEC)
/* Daemons apply a new configuration within this time.  */
#define CONFIG_LAG (1 * RW_SEC)
/* Time in which the daemons learn of each other before requests begin.  */
#define WARM_UP (8 * RW_SEC)
#define MAX_VERDICT_TIME (100 * RW_MSEC)
/* Second byte of an answer.  */
#define KIND_ANSWER 2
/* A daemon on a small VM may not run for this long.  */
#define LATE_TIME (100 * RW_MSEC)
/* IP and UDP headers of a message.  */
#define HEADER_BYTES 28

struct waiter
{
  size_t org;
  rw_time since;
};

struct daemon
{
  struct gos_gossip gossip;
  struct quo_table table;
  struct quo_view view;
  rw_time timer; /* of its earliest timer event */
  struct waiter *waiters;
  size_t waiting;
  size_t waiter_cap;
  uint64_t generation; /* counts its starts */
  bool is_down;
};

struct org
{
  struct quo_limit limit;
  struct quo_limit next; /* in force from CHANGE_AT on */
  rw_time change_at;     /* 0: never */
  rw_time *passed;       /* times of the last window */
  size_t first;
  size_t len;
  size_t cap;
  uint64_t offered; /* since COUNT_FROM, as the next two */
  uint64_t served;
  uint64_t refused;
  double worst; /* highest sum of a window over what the rule allows */
};

enum spread
{
  SPREAD_ONE,   /* all at daemon FIXED */
  SPREAD_EVEN,  /* each at a random daemon */
  SPREAD_MOVING /* all at one that changes every second */
};

struct source
{
  size_t org;
  double per_s;
  enum spread spread;
  size_t fixed;
  /* At random times, else evenly spaced.  The number in each second is exact:
     a Poisson process of 0.9 of a limit is above the limit now and then.  */
  bool is_random;
  double left;   /* requests in this second */
  rw_time until; /* end of this second */
};

enum kind
{
  EVENT_GOSSIP,
  EVENT_QUOTA,
  EVENT_TIMER,
  EVENT_TICK,
  EVENT_ARRIVAL,
  EVENT_RETURN
};

struct event
{
  enum kind kind;
  size_t from;
  size_t to;
  uint64_t generation;
  struct source *source;
  size_t org;
  struct gos_message gossip;
  size_t len;
  char data[];
};

struct fleet
{
  struct daemon daemons[MAX_DAEMONS];
  size_t count;
  struct org *orgs;
  size_t org_count;
  struct source sources[MAX_SOURCES];
  size_t source_count;
  struct rw_heap events;
  struct rw_rng rng;
  rw_time now;
  struct quo_settings settings;
  unsigned int without;
  double lost;        /* of all messages */
  double repeated;    /* of the quota messages; the copy is later */
  double late;        /* of all messages, by up to LATE_TIME */
  bool are_returning; /* callers that are refused come back as told */
  bool (*is_cut) (size_t from, size_t to, rw_time now);
  rw_time count_from;
  double worst; /* of all organisations */
  rw_time longest_wait;
  uint64_t messages;          /* of quotas */
  uint64_t bytes;             /* with headers */
  uint64_t answer_bytes;      /* of those that begin with an answer */
  uint64_t sent[MAX_DAEMONS]; /* of all bytes, by sender */
  uint64_t seed;
};

static struct fleet fleet;

static void
push (rw_time at, const struct event *head, const char *data, size_t len)
{
  struct event *event = rw_xmalloc (sizeof *event + len);
  memcpy (event, head, sizeof *event);
  event->len = len;
  if (len > 0)
    memcpy (event->data, data, len);
  rw_heap_push (&fleet.events, at, event);
}

static rw_time
delay (void)
{
  rw_time time = 500 + (rw_time)rw_rng_below (&fleet.rng, 2500);
  if (rw_rng_unit (&fleet.rng) < fleet.late)
    time += (rw_time)rw_rng_below (&fleet.rng, LATE_TIME);
  return time;
}

static bool
is_lost (size_t from, size_t to)
{
  return to >= fleet.count || rw_rng_unit (&fleet.rng) < fleet.lost
         || (fleet.is_cut != NULL && fleet.is_cut (from, to, fleet.now));
}

static uint32_t
find_owner (void *arg, uint64_t key, rw_time now)
{
  struct daemon *d = arg;
  uint32_t owner;
  gos_owns (&d->gossip, key, now, &owner);
  return owner;
}

static rw_time
find_owned_time (void *arg, uint64_t key, rw_time now)
{
  struct daemon *d = arg;
  return gos_owned_for (&d->gossip, key, now);
}

static rw_time
find_unchanged_time (void *arg, rw_time now)
{
  struct daemon *d = arg;
  return gos_owners_unchanged_for (&d->gossip, now);
}

static bool
find_limit (void *arg, uint64_t organisation, struct quo_limit *limit)
{
  struct daemon *d = arg;
  size_t i = (size_t)organisation - 1;
  if (i >= fleet.org_count)
    return false;
  const struct org *org = &fleet.orgs[i];
  rw_time lag = (rw_time)(rw_hash_u64 (d->gossip.settings.ip, 5) % CONFIG_LAG);
  *limit = org->change_at > 0 && fleet.now >= org->change_at + lag
               ? org->next
               : org->limit;
  return true;
}

static void
send_gossip (size_t from, size_t to, bool reply_requested)
{
  struct event event = { .kind = EVENT_GOSSIP, .from = from, .to = to };
  if (is_lost (from, to))
    return;
  gos_fill_message (&fleet.daemons[from].gossip, fleet.now, &event.gossip);
  event.gossip.reply_requested = reply_requested;
  push (fleet.now + delay (), &event, NULL, 0);
}

/* Sends the messages that are due at daemon I, and sets its timer.  */
static void
flush (size_t i)
{
  struct daemon *d = &fleet.daemons[i];
  char data[QUO_MAX_MESSAGE];
  uint32_t to;
  size_t len;
  while ((len = quo_next_message (&d->table, &d->view, fleet.now, &to, data))
         > 0)
    {
      struct event event = { .kind = EVENT_QUOTA, .from = i, .to = to - 1 };
      assert_in_range (len, 1, QUO_MAX_MESSAGE);
      assert_int_not_equal (to, d->gossip.settings.ip);
      fleet.messages++;
      fleet.bytes += len + HEADER_BYTES;
      fleet.sent[i] += len + HEADER_BYTES;
      if (data[1] == KIND_ANSWER)
        fleet.answer_bytes += len + HEADER_BYTES;
      if (!is_lost (i, event.to))
        push (fleet.now + delay (), &event, data, len);
      if (rw_rng_unit (&fleet.rng) < fleet.repeated && !is_lost (i, event.to))
        push (fleet.now + delay ()
                  + (rw_time)rw_rng_below (&fleet.rng, 300 * RW_MSEC),
              &event, data, len);
    }
  rw_time next = quo_next_event (&d->table, fleet.now);
  if (next != RW_TIME_NEVER && (d->timer == 0 || next < d->timer))
    {
      struct event event
          = { .kind = EVENT_TIMER, .to = i, .generation = d->generation };
      d->timer = next;
      push (next, &event, NULL, 0);
    }
}

/* What the rule allows ORG in a window that ends now.  */
static double
allowed (const struct org *org)
{
  const struct quo_settings *s = &fleet.settings;
  const struct quo_limit *limit = &org->limit;
  if (org->change_at > 0
      && (fleet.now >= org->change_at + CONFIG_LAG + s->window
          || (fleet.now >= org->change_at
              && org->next.rate_per_s > org->limit.rate_per_s)))
    limit = &org->next;
  return (limit->rate_per_s * (double)s->window / RW_SEC + limit->burst)
             * (1 + s->overshoot)
         + s->slack;
}

static void
count_passed (struct org *org)
{
  while (org->len > 0
         && org->passed[org->first] <= fleet.now - fleet.settings.window)
    {
      org->first = (org->first + 1) % org->cap;
      org->len--;
    }
  if (org->len == org->cap)
    {
      size_t cap = org->cap > 0 ? 2 * org->cap : 16;
      rw_time *passed = rw_xmalloc (cap * sizeof *passed);
      for (size_t i = 0; i < org->len; i++)
        passed[i] = org->passed[(org->first + i) % org->cap];
      free (org->passed);
      org->passed = passed;
      org->first = 0;
      org->cap = cap;
    }
  org->passed[(org->first + org->len++) % org->cap] = fleet.now;
  org->worst = fmax (org->worst, (double)org->len / allowed (org));
  fleet.worst = fmax (fleet.worst, org->worst);
  if (fleet.now >= fleet.count_from)
    org->served++;
}

/* Asks daemon I about a request of organisation NUMBER.  Returns false if it
   is to wait.  */
static bool
decide (size_t i, size_t number, bool is_repeat, rw_time since)
{
  struct daemon *d = &fleet.daemons[i];
  struct org *org = &fleet.orgs[number];
  struct quo_limit limit;
  rw_time retry = 0;
  assert_true (find_limit (d, number + 1, &limit));
  switch (quo_take (&d->table, &d->view, &limit, is_repeat, fleet.now, &retry))
    {
    case QUO_TAKEN:
      count_passed (org);
      break;
    case QUO_REFUSED:
      assert_in_range (retry, 1, 60 * RW_SEC);
      if (fleet.are_returning)
        {
          struct event event
              = { .kind = EVENT_RETURN, .to = i, .org = number };
          push (fleet.now + retry, &event, NULL, 0);
        }
      if (fleet.now >= fleet.count_from)
        org->refused++;
      break;
    default:
      return false;
    }
  if (fleet.now - since > fleet.longest_wait)
    fleet.longest_wait = fleet.now - since;
  return true;
}

static void
retry_waiters (size_t i)
{
  struct daemon *d = &fleet.daemons[i];
  size_t kept = 0;
  for (size_t j = 0; j < d->waiting; j++)
    if (!decide (i, d->waiters[j].org, true, d->waiters[j].since))
      d->waiters[kept++] = d->waiters[j];
  d->waiting = kept;
}

static void
request (size_t i, size_t number)
{
  struct daemon *d = &fleet.daemons[i];
  if (fleet.now >= fleet.count_from)
    fleet.orgs[number].offered++;
  if (d->is_down)
    return;
  if (!decide (i, number, false, fleet.now))
    {
      if (d->waiting == d->waiter_cap)
        {
          d->waiter_cap = d->waiter_cap > 0 ? 2 * d->waiter_cap : 16;
          d->waiters
              = rw_xrealloc (d->waiters, d->waiter_cap * sizeof *d->waiters);
        }
      d->waiters[d->waiting++] = (struct waiter){ number, fleet.now };
    }
  flush (i);
}

static void
start_daemon (size_t i)
{
  struct daemon *d = &fleet.daemons[i];
  uint64_t seed = rw_rng_next (&fleet.rng);
  struct gos_settings settings = { .ip = (uint32_t)i + 1,
                                   .dc = (uint32_t)(i % 3) + 100,
                                   .seeds = { 1, 2, 3 },
                                   .seed_count = 3,
                                   .min_daemons = fleet.count,
                                   .rng_seed = seed };
  struct quo_settings quotas = fleet.settings;
  quotas.daemon = settings.ip;
  gos_init (&d->gossip, &settings, fleet.now);
  quo_init (&d->table, &quotas, seed + 1, fleet.now);
  d->table.without = fleet.without;
  d->view = (struct quo_view){ .arg = d,
                               .owner = find_owner,
                               .limit = find_limit,
                               .daemons = fleet.count,
                               .fraction = 1,
                               .owned_for = find_owned_time,
                               .unchanged_for = find_unchanged_time };
  d->timer = 0;
  d->waiting = 0;
  d->generation++;
  d->is_down = false;
  struct event event
      = { .kind = EVENT_TICK, .to = i, .generation = d->generation };
  push (fleet.now + (rw_time)rw_rng_below (&fleet.rng, GOSSIP_INTERVAL),
        &event, NULL, 0);
}

static void
stop_daemon (size_t i)
{
  struct daemon *d = &fleet.daemons[i];
  gos_finish (&d->gossip);
  quo_finish (&d->table);
  d->waiting = 0;
  d->is_down = true;
}

/* Sets the view of D.  In large fleets this is done less often, as it takes
   most of the time of a test.  */
static void
look_around (struct daemon *d)
{
  d->view.daemons = gos_daemon_count (&d->gossip, fleet.now);
  d->view.fraction = gos_live_fraction (&d->gossip, fleet.now);
}

static void
tick (size_t i, const struct event *event)
{
  struct daemon *d = &fleet.daemons[i];
  uint32_t to[4];
  size_t count = gos_tick (&d->gossip, fleet.now, to, 4);
  for (size_t j = 0; j < count; j++)
    send_gossip (i, to[j] - 1,
                 gos_should_request_reply (&d->gossip, fleet.now));
  if (fleet.now / TICK_INTERVAL
      != (fleet.now - GOSSIP_INTERVAL) / TICK_INTERVAL)
    {
      if (fleet.count < 100
          || fleet.now / RW_SEC != (fleet.now - TICK_INTERVAL) / RW_SEC)
        look_around (d);
      gos_note_owners (&d->gossip, fleet.now);
      quo_tick (&d->table, &d->view, fleet.now);
      flush (i);
    }
  push (fleet.now + GOSSIP_INTERVAL, event, NULL, 0);
}

/* The time until the next of the requests of SOURCE, which are spread at
   random over each second.  */
static double
random_wait (struct source *source)
{
  double skipped = 0;
  while (source->left < 1)
    {
      rw_time start = source->until > 0 ? source->until : fleet.now;
      source->left += source->per_s;
      source->until = start + RW_SEC;
      skipped = (double)(start - fleet.now);
    }
  double rest = (double)(source->until - fleet.now) - skipped;
  double first = 1 - pow (rw_rng_unit (&fleet.rng), 1 / floor (source->left));
  source->left--;
  return skipped + rest * first;
}

static void
arrive (const struct event *event)
{
  struct source *s = event->source;
  double interval = RW_SEC / s->per_s;
  size_t i = s->fixed;
  if (s->spread == SPREAD_EVEN)
    i = (size_t)rw_rng_below (&fleet.rng, fleet.count);
  if (s->spread == SPREAD_MOVING)
    i = (size_t)(rw_hash_u64 ((uint64_t)(fleet.now / RW_SEC), s->org)
                 % fleet.count);
  request (i, s->org);
  double wait = interval * (0.9 + rw_rng_unit (&fleet.rng) / 5);
  if (s->is_random)
    wait = random_wait (s);
  push (fleet.now + (rw_time)fmax (wait, 1), event, NULL, 0);
}

static void
handle (const struct event *event)
{
  struct daemon *d = &fleet.daemons[event->to];
  bool is_stale = event->generation != d->generation;
  if (event->kind != EVENT_ARRIVAL && d->is_down)
    return;
  switch (event->kind)
    {
    case EVENT_GOSSIP:
      gos_on_message (&d->gossip, (uint32_t)event->from + 1, &event->gossip,
                      fleet.now);
      if (event->gossip.reply_requested)
        send_gossip (event->to, event->from, false);
      break;
    case EVENT_QUOTA:
      assert_int_equal (
          quo_read (&d->table, &d->view, (uint32_t)event->from + 1,
                    (struct rw_str){ event->data, event->len }, fleet.now),
          0);
      retry_waiters (event->to);
      flush (event->to);
      break;
    case EVENT_TIMER:
      if (is_stale)
        break;
      d->timer = 0;
      retry_waiters (event->to);
      flush (event->to);
      break;
    case EVENT_TICK:
      if (!is_stale)
        tick (event->to, event);
      break;
    case EVENT_ARRIVAL:
      arrive (event);
      break;
    case EVENT_RETURN:
      request (event->to, event->org);
      break;
    }
}

static void
run_until (rw_time end)
{
  while (rw_heap_next_time (&fleet.events) < end)
    {
      struct event *event = rw_heap_pop (&fleet.events, &fleet.now);
      handle (event);
      free (event);
    }
  fleet.now = end;
}

static void
start_fleet (size_t count, size_t orgs, double rate, double burst,
             uint64_t seed, unsigned int without)
{
  memset (&fleet, 0, sizeof fleet);
  fleet.count = count;
  fleet.seed = seed;
  fleet.now = RW_SEC;
  fleet.without = without;
  fleet.lost = 0.01;
  fleet.repeated = 0.01;
  fleet.count_from = RW_TIME_NEVER;
  fleet.settings = (struct quo_settings){ .window = 5 * RW_SEC,
                                          .overshoot = 0.25,
                                          .slack = 20 };
  rw_rng_init (&fleet.rng, seed);
  rw_heap_init (&fleet.events);
  fleet.orgs = rw_xcalloc (orgs, sizeof *fleet.orgs);
  fleet.org_count = orgs;
  for (size_t i = 0; i < orgs; i++)
    fleet.orgs[i].limit = (struct quo_limit){ i + 1, rate, burst };
  for (size_t i = 0; i < count; i++)
    start_daemon (i);
}

static void
stop_fleet (void)
{
  struct event *event;
  for (size_t i = 0; i < fleet.count; i++)
    {
      if (!fleet.daemons[i].is_down)
        stop_daemon (i);
      free (fleet.daemons[i].waiters);
    }
  while ((event = rw_heap_pop (&fleet.events, NULL)) != NULL)
    free (event);
  rw_heap_finish (&fleet.events);
  for (size_t i = 0; i < fleet.org_count; i++)
    free (fleet.orgs[i].passed);
  free (fleet.orgs);
}

/* Starts requests of organisation NUMBER at PER_S.  */
static void
add_load (size_t number, double per_s, enum spread spread, size_t fixed,
          bool is_random)
{
  assert_true (fleet.source_count < MAX_SOURCES);
  struct source *source = &fleet.sources[fleet.source_count++];
  *source = (struct source){ .org = number,
                             .per_s = per_s,
                             .spread = spread,
                             .fixed = fixed,
                             .is_random = is_random };
  struct event event = { .kind = EVENT_ARRIVAL, .source = source };
  push (fleet.now + (rw_time)(rw_rng_unit (&fleet.rng) * RW_SEC / per_s),
        &event, NULL, 0);
}

/* The part of the requests since COUNT_FROM that was not served.  */
static inline double
lost_part (size_t number)
{
  const struct org *org = &fleet.orgs[number];
  assert_true (org->offered > 0);
  return 1 - (double)org->served / (double)org->offered;
}

/* Load and faults in a fleet of COUNT daemons.  */
typedef void (*pattern_fn) (size_t count, uint64_t seed, unsigned int without);

/* Runs PATTERN and prints the result.  Lines of failures give the seed.  */
static inline void
run (const char *name, pattern_fn pattern, size_t count, uint64_t seed,
     unsigned int without)
{
  pattern (count, seed, without);
  printf ("%s: daemons=%zu seed=%llu without=%u sum/allowed=%.3f "
          "longest wait=%.1f ms\n",
          name, count, (unsigned long long)seed, without, fleet.worst,
          (double)fleet.longest_wait / RW_MSEC);
  stop_fleet ();
}

/* Runs PATTERN in fleets of several sizes, small ones with several seeds, and
   checks what holds in every pattern.  */
static inline void
check_pattern (const char *name, pattern_fn pattern)
{
  static const size_t sizes[] = { 3, 30, 144, 300 };
  for (size_t n = 0; n < RW_ARRAY_LEN (sizes); n++)
    for (uint64_t seed = 1; seed <= (sizes[n] < 100 ? 2 : 1); seed++)
      {
        run (name, pattern, sizes[n], seed, 0);
        assert_true (fleet.worst <= 1);
        assert_true (fleet.longest_wait <= MAX_VERDICT_TIME);
      }
}

/* Two organisations send four times their limit, one at all daemons and one at
   one daemon.  */
static inline void
start_far_above (size_t count, uint64_t seed, unsigned int without)
{
  start_fleet (count, 2, 500, 1, seed, without);
  run_until (WARM_UP);
  add_load (0, 2000, SPREAD_EVEN, 0, true);
  add_load (1, 2000, SPREAD_ONE, count / 2, true);
}

#endif
