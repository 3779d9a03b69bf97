/* Random orders of events by seed, in virtual time.  A few daemons share the
   targets of a service, which end one after the other, and send one popular
   request all the time.  Daemons are paused, cut off from the others
   and restarted; messages are late, lost, repeated and out of order; ends are
   seen late.  The popular request must never be held back.

   Arguments of the environment: QUA_ORDERS, the number of orders, and
   QUA_FIRST_SEED.  */

#include "quarantine.h"
#include "unit.h"

#define KEY 0x600d600dU
#define SOFTWARE 7U
#define MAX_DAEMONS 5
#define MAX_TARGETS 6
#define MAX_SENDS 32
#define MAX_MESSAGES 64
#define MAX_MESSAGE 400
/* With the sanitizers these take about 15 s of processor time.  */
#define ORDERS 100000
#define ORDER_TIME (3 * RW_SEC)
#define STEP (20 * RW_MSEC)
#define GOSSIP_STEPS 25
/* A daemon that was cut off from the others or paused, and had enough evidence
   to hold the request back then, drops it within this time.  */
#define RELEASE_TIME (1500 * RW_MSEC)
#define MAX_RUN_STEPS 4
/* A target that ended is back after 0.1 to 2 s.  */
#define MIN_DOWN_STEPS 5
#define MAX_DOWN_STEPS 100
/* A daemon reads no evidence while its loop lags by more than this.  */
#define MAX_LAG (200 * RW_MSEC)

struct daemon
{
  struct qua_table table;
  bool has_callers;
  rw_time paused_until;
  rw_time cut_until;   /* from the other daemons */
  bool held_apart;     /* it held the request back then */
  unsigned int period; /* it sends once in so many steps */
};

struct target
{
  rw_time up_at; /* it is down before */
};

struct send
{
  bool used;
  size_t daemon;
  size_t target;
  rw_time sent_at;
  rw_time due;      /* when it is completed */
  rw_time ended_at; /* with its target; 0: it runs */
  rw_time seen_at;  /* when the daemon sees that */
};

struct message
{
  size_t to;
  size_t from;
  rw_time due;
  size_t len; /* 0: the slot is free */
  char data[MAX_MESSAGE];
};

struct fixture
{
  struct rw_rng rng;
  rw_time now;
  struct daemon daemons[MAX_DAEMONS];
  size_t daemon_count;
  struct target targets[MAX_TARGETS];
  size_t target_count;
  struct send sends[MAX_SENDS];
  struct message messages[MAX_MESSAGES];
  size_t loss;       /* of 100 messages */
  size_t unlucky;    /* the daemon whose sends are lost most often */
  rw_time gap;       /* a daemon in touch sends the request that often */
  rw_time last_send; /* by such a daemon */
  rw_time proven;    /* when the last completed send of such a daemon began */
  rw_time last_end;
  /* Totals of all orders.  */
  uint64_t ends;
  uint64_t dones;
};

static void
begin (struct fixture *f)
{
  (void)f;
}

static void
end (struct fixture *f)
{
  (void)f;
}

UNIT_FIXTURE (begin, end)

static size_t
below (struct fixture *f, size_t bound)
{
  return (size_t)rw_rng_below (&f->rng, bound);
}

static rw_time
steps (struct fixture *f, size_t least, size_t most)
{
  return (rw_time)(least + below (f, most - least + 1)) * STEP;
}

static bool
is_paused (const struct fixture *f, size_t i)
{
  return f->now < f->daemons[i].paused_until;
}

static bool
is_in_touch (const struct fixture *f, size_t i)
{
  return !is_paused (f, i) && f->now >= f->daemons[i].cut_until;
}

static void
set_up_order (struct fixture *f, uint64_t seed)
{
  rw_rng_init (&f->rng, seed);
  f->now = 1000 * RW_SEC;
  f->daemon_count = 2 + below (f, MAX_DAEMONS - 1);
  f->target_count = 2 + below (f, MAX_TARGETS - 1);
  f->unlucky = below (f, f->daemon_count);
  f->loss = below (f, 11);
  f->gap = steps (f, 2, 30);
  f->last_send = f->last_end = f->proven = f->now;
  memset (f->sends, 0, sizeof f->sends);
  for (size_t i = 0; i < MAX_MESSAGES; i++)
    f->messages[i].len = 0;
  for (size_t i = 0; i < f->daemon_count; i++)
    {
      struct daemon *d = &f->daemons[i];
      qua_init (&d->table, (uint32_t)i + 1, rw_rng_next (&f->rng));
      d->has_callers = i == 0 || below (f, 3) > 0;
      d->paused_until = d->cut_until = 0;
      d->held_apart = false;
      d->period = 1 + (unsigned int)below (f, below (f, 2) == 0 ? 5 : 50);
    }
  for (size_t t = 0; t < f->target_count; t++)
    f->targets[t].up_at = 0;
}

static void
finish_order (struct fixture *f)
{
  for (size_t i = 0; i < f->daemon_count; i++)
    qua_finish (&f->daemons[i].table);
}

/* Sends a message, which may be lost, late or repeated.  */
static void
post (struct fixture *f, size_t from, size_t to, const char *data, size_t len)
{
  if (len == 0 || to == from || !is_in_touch (f, from) || !is_in_touch (f, to))
    return;
  size_t copies = below (f, 100) < f->loss ? 0 : below (f, 10) == 0 ? 2 : 1;
  for (size_t i = 0; i < MAX_MESSAGES && copies > 0; i++)
    {
      struct message *m = &f->messages[i];
      if (m->len > 0)
        continue;
      bool is_late = below (f, 8) == 0;
      m->from = from;
      m->to = to;
      m->due = f->now
               + (is_late ? (rw_time)below (f, MAX_LAG)
                          : RW_MSEC + (rw_time)below (f, 10 * RW_MSEC));
      m->len = len;
      memcpy (m->data, data, len);
      copies--;
    }
}

static void
post_news (struct fixture *f, size_t i)
{
  char data[MAX_MESSAGE];
  (void)qua_repeat (&f->daemons[i].table, f->now);
  if (!f->daemons[i].table.has_news)
    return;
  size_t len
      = qua_write_news (&f->daemons[i].table, data, sizeof data, f->now);
  for (size_t j = 0; j < f->daemon_count; j++)
    post (f, i, j, data, len);
}

static void
gossip (struct fixture *f, size_t i)
{
  char data[MAX_MESSAGE];
  size_t len
      = qua_write_next (&f->daemons[i].table, data, sizeof data, f->now);
  post (f, i, below (f, f->daemon_count), data, len);
}

static void
ignore_wanted (void *arg, uint64_t key, uint32_t software)
{
  (void)arg;
  (void)key;
  (void)software;
}

static void
receive (struct fixture *f, const struct message *m)
{
  struct qua_table *table = &f->daemons[m->to].table;
  char data[MAX_MESSAGE];
  if (!is_in_touch (f, m->to))
    return;
  (void)qua_read (table, (struct rw_str){ m->data, m->len }, ignore_wanted,
                  NULL, f->now);
  size_t len = qua_write_refutations (table, data, sizeof data, f->now);
  post (f, m->to, m->from, data, len);
}

/* Daemon I sends the request to a target that is up, if there is one, unless
   it is held back.  */
static void
send_key (struct fixture *f, size_t i)
{
  struct qua_table *table = &f->daemons[i].table;
  size_t first = below (f, f->target_count);
  size_t slot = 0;
  if (qua_verdict (table, KEY, SOFTWARE, f->now) >= QUA_UNTRIED)
    {
      qua_on_refused (table, KEY, f->now);
      return;
    }
  while (slot < MAX_SENDS && f->sends[slot].used)
    slot++;
  for (size_t k = 0; k < f->target_count && slot < MAX_SENDS; k++)
    {
      size_t t = (first + k) % f->target_count;
      if (f->now < f->targets[t].up_at)
        continue;
      rw_time due = f->now + steps (f, 1, MAX_RUN_STEPS);
      f->sends[slot] = (struct send){ true, i, t, f->now, due, 0, 0 };
      if (is_in_touch (f, i))
        f->last_send = f->now;
      return;
    }
}

/* Ends target T; daemons see that at once or some time later.  */
static void
end_target (struct fixture *f, size_t t)
{
  f->targets[t].up_at = f->now + steps (f, MIN_DOWN_STEPS, MAX_DOWN_STEPS);
  f->last_end = f->now;
  f->ends++;
  for (size_t i = 0; i < MAX_SENDS; i++)
    {
      struct send *s = &f->sends[i];
      if (!s->used || s->target != t || s->ended_at > 0)
        continue;
      s->ended_at = f->now;
      s->seen_at = f->now + (below (f, 4) == 0 ? steps (f, 0, 5) : 0);
    }
}

/* Lets daemons see how their sends went.  */
static void
settle_sends (struct fixture *f)
{
  for (size_t i = 0; i < MAX_SENDS; i++)
    {
      struct send *s = &f->sends[i];
      if (!s->used || is_paused (f, s->daemon))
        continue;
      struct qua_table *table = &f->daemons[s->daemon].table;
      if (s->ended_at > 0 && f->now >= s->seen_at)
        {
          struct qua_end e = { .target = s->target,
                               .software = SOFTWARE,
                               .sent_at = s->sent_at,
                               .ended_at = f->now };
          qua_on_end (table, KEY, &e, f->now);
          s->used = false;
        }
      else if (s->ended_at == 0 && f->now >= s->due)
        {
          qua_on_done (table, KEY, SOFTWARE, f->now);
          f->dones++;
          if (is_in_touch (f, s->daemon) && s->sent_at > f->proven)
            f->proven = s->sent_at;
          s->used = false;
        }
    }
}

/* One of the things that happen to daemons.  */
static void
disturb (struct fixture *f)
{
  size_t i = below (f, 2) == 0 ? f->unlucky : below (f, f->daemon_count);
  struct daemon *d = &f->daemons[i];
  switch (below (f, 4))
    {
    case 0:
      if (i > 0)
        d->paused_until = f->now + steps (f, 2, 100);
      break;
    case 1:
      if (i > 0)
        d->cut_until = f->now + steps (f, 2, 150);
      break;
    case 2:
      for (size_t s = 0; s < MAX_SENDS; s++)
        if (f->sends[s].daemon == i)
          f->sends[s].used = false;
      qua_finish (&d->table);
      qua_init (&d->table, (uint32_t)i + 1, rw_rng_next (&f->rng));
      f->proven = f->last_end; /* it may have been the only one to know */
      break;
    default:
      d->has_callers = i == 0 || !d->has_callers;
      break;
    }
}

/* Whether the request was completed since the last end, by a send of after it
   at a daemon in touch.  A target ends only then.  */
static bool
is_completed (const struct fixture *f)
{
  return f->proven > f->last_end;
}

/* Whether another target is up than T.  */
static bool
is_another_up (const struct fixture *f, size_t t)
{
  for (size_t i = 0; i < f->target_count; i++)
    if (i != t && f->now >= f->targets[i].up_at)
      return true;
  return false;
}

static void
step (struct fixture *f, uint64_t n)
{
  for (size_t i = 0; i < MAX_MESSAGES; i++)
    if (f->messages[i].len > 0 && f->now >= f->messages[i].due)
      {
        struct message m = f->messages[i];
        f->messages[i].len = 0;
        receive (f, &m);
      }
  settle_sends (f);
  size_t t = below (f, f->target_count);
  bool is_aimed = false;
  for (size_t i = 0; i < MAX_SENDS && !is_aimed; i++)
    if (f->sends[i].used && f->sends[i].ended_at == 0
        && f->sends[i].daemon == f->unlucky)
      {
        t = f->sends[i].target;
        is_aimed = true;
      }
  if (below (f, is_aimed ? 2 : 8) == 0 && is_completed (f)
      && is_another_up (f, t) && f->now >= f->targets[t].up_at)
    end_target (f, t);
  if (below (f, 20) == 0)
    disturb (f);
  for (size_t i = 0; i < f->daemon_count; i++)
    {
      if (is_paused (f, i))
        continue;
      if ((f->daemons[i].has_callers && below (f, f->daemons[i].period) == 0)
          || (i == 0 && f->now - f->last_send >= f->gap))
        send_key (f, i);
      post_news (f, i);
      if ((n + i) % GOSSIP_STEPS == 0)
        gossip (f, i);
    }
}

/* Returns whether a daemon in touch holds the request back, for other reasons
   than what it had seen when it was not in touch.  */
static bool
is_held (struct fixture *f)
{
  for (size_t i = 0; i < f->daemon_count; i++)
    {
      struct daemon *d = &f->daemons[i];
      const struct qua_record *r = qua_find (&d->table, KEY);
      bool is_suspect = r != NULL && r->known_at > 0;
      if (!is_in_touch (f, i))
        d->held_apart = is_suspect;
      rw_time since
          = d->cut_until > d->paused_until ? d->cut_until : d->paused_until;
      if (!is_suspect || f->now >= since + RELEASE_TIME)
        d->held_apart = false;
      if (is_in_touch (f, i) && !d->held_apart
          && qua_verdict (&d->table, KEY, SOFTWARE, f->now) >= QUA_UNTRIED)
        return true;
    }
  return false;
}

static uint64_t
setting (const char *name, uint64_t otherwise)
{
  const char *text = getenv (name);
  return text != NULL ? strtoull (text, NULL, 10) : otherwise;
}

/* Guards against any order of events in which a request that targets complete
   all the time is held back somewhere.  */
TEST_WITH_FIXTURE (a_completed_request_is_never_held_back)
{
  uint64_t orders = setting ("QUA_ORDERS", ORDERS);
  uint64_t first = setting ("QUA_FIRST_SEED", 1);
  uint64_t failed = 0;
  for (uint64_t seed = first; seed < first + orders; seed++)
    {
      bool held = false;
      set_up_order (f, seed);
      for (uint64_t n = 0; n < ORDER_TIME / STEP && !held; n++)
        {
          step (f, n);
          held = is_held (f);
          f->now += STEP;
        }
      if (held && failed++ < 10)
        print_error ("seed %llu: held back at %lld ms\n",
                     (unsigned long long)seed,
                     (long long)((f->now - 1000 * RW_SEC) / RW_MSEC));
      finish_order (f);
    }
  print_message ("orders=%llu ends=%llu completions=%llu failed=%llu\n",
                 (unsigned long long)orders, (unsigned long long)f->ends,
                 (unsigned long long)f->dones, (unsigned long long)failed);
  assert_int_equal (failed, 0);
}
