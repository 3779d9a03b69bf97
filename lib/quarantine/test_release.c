/* How long it takes until a request that is held back everywhere is released
   everywhere, after it was completed at one daemon, in virtual time.  Messages
   as the daemons send them: news 5 ms after they arise to five peers, and all
   records in turn to one peer each 500 ms; one message in 20 is lost.  */

#include "quarantine.h"
#include "unit.h"

#define KEY 0x600d600dU
#define SOFTWARE 7U
#define MAX_DAEMONS 300
#define MAX_MESSAGE 400
#define PUSH_DELAY (5 * RW_MSEC)
#define PUSH_FANOUT 5
#define GOSSIP_INTERVAL (500 * RW_MSEC)
#define SEEDS 20

struct message
{
  size_t from;
  size_t to; /* FROM itself: it sends its news, or gossips if LEN is 1 */
  size_t len;
  char data[MAX_MESSAGE];
};

struct fixture
{
  struct rw_heap heap;
  struct rw_rng rng;
  rw_time now;
  size_t count;
  struct qua_table daemons[MAX_DAEMONS];
  bool push_due[MAX_DAEMONS];
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

static void
add (struct fixture *f, rw_time at, size_t from, size_t to, const char *data,
     size_t len)
{
  struct message *m = rw_xcalloc (1, sizeof *m);
  m->from = from;
  m->to = to;
  m->len = len;
  if (data != NULL)
    memcpy (m->data, data, len);
  rw_heap_push (&f->heap, at, m);
}

static void
post (struct fixture *f, size_t from, const char *data, size_t len)
{
  size_t to = rw_rng_below (&f->rng, f->count);
  rw_time delay = 500 + (rw_time)rw_rng_below (&f->rng, 3 * RW_MSEC);
  if (len > 0 && to != from && rw_rng_unit (&f->rng) >= 0.05)
    add (f, f->now + delay, from, to, data, len);
}

static void
push_news (struct fixture *f, size_t i)
{
  if (!f->daemons[i].has_news || f->push_due[i])
    return;
  f->push_due[i] = true;
  add (f, f->now + PUSH_DELAY, i, i, NULL, 0);
}

static void
ignore_wanted (void *arg, uint64_t key, uint32_t software)
{
  (void)arg;
  (void)key;
  (void)software;
}

static void
handle (struct fixture *f, const struct message *m)
{
  char data[MAX_MESSAGE];
  struct qua_table *table = &f->daemons[m->to];
  if (m->to != m->from)
    {
      (void)qua_read (table, (struct rw_str){ m->data, m->len }, ignore_wanted,
                      NULL, f->now);
      size_t len = qua_write_refutations (table, data, sizeof data, f->now);
      if (len > 0)
        add (f, f->now + RW_MSEC, m->to, m->from, data, len);
    }
  else if (m->len == 1)
    {
      size_t len = qua_write_next (table, data, sizeof data, f->now);
      post (f, m->to, data, len);
      add (f, f->now + GOSSIP_INTERVAL, m->to, m->to, "", 1);
    }
  else
    {
      f->push_due[m->to] = false;
      size_t len = qua_write_news (table, data, sizeof data, f->now);
      for (int i = 0; i < PUSH_FANOUT; i++)
        post (f, m->to, data, len);
    }
  push_news (f, m->to);
}

static void
play (struct fixture *f, rw_time until)
{
  while (rw_heap_next_time (&f->heap) <= until)
    {
      struct message *m = rw_heap_pop (&f->heap, &f->now);
      handle (f, m);
      free (m);
    }
  f->now = until;
}

static size_t
count_held (const struct fixture *f)
{
  size_t held = 0;
  for (size_t i = 0; i < f->count; i++)
    held += qua_verdict (&f->daemons[i], KEY, SOFTWARE, f->now) >= QUA_UNTRIED;
  return held;
}

/* Returns the time from the completion until no daemon of COUNT holds the
   request back.  */
static rw_time
release_time (struct fixture *f, size_t count, uint64_t seed)
{
  rw_time at;
  rw_rng_init (&f->rng, seed);
  rw_heap_init (&f->heap);
  f->now = 1000 * RW_SEC;
  f->count = count;
  for (size_t i = 0; i < count; i++)
    {
      qua_init (&f->daemons[i], (uint32_t)i + 1, rw_rng_next (&f->rng));
      f->push_due[i] = false;
      add (f, f->now + (rw_time)rw_rng_below (&f->rng, GOSSIP_INTERVAL), i, i,
           "", 1);
    }
  for (uint64_t target = 1; target <= QUA_HELD_ENDS; target++)
    {
      struct qua_end e = { target, SOFTWARE, f->now - 60 * RW_MSEC, f->now };
      qua_on_end (&f->daemons[0], KEY, &e, f->now);
      push_news (f, 0);
      play (f, f->now + RW_SEC);
    }
  play (f, f->now + QUA_LEARN_TIME);
  assert_int_equal (count_held (f), count);
  rw_time done_at = f->now;
  size_t witness = rw_rng_below (&f->rng, count);
  qua_on_done (&f->daemons[witness], KEY, SOFTWARE, f->now);
  push_news (f, witness);
  while (count_held (f) > 0 && f->now - done_at < 2 * QUA_LEARN_TIME)
    play (f, f->now + RW_MSEC);
  while (f->heap.len > 0)
    free (rw_heap_pop (&f->heap, &at));
  rw_heap_finish (&f->heap);
  for (size_t i = 0; i < count; i++)
    qua_finish (&f->daemons[i]);
  return f->now - done_at;
}

/* Guards against callers that are refused long after the request was completed
   somewhere.  */
TEST_WITH_FIXTURE (a_completion_anywhere_releases_it_everywhere)
{
  static const size_t fleets[] = { 4, 15, 117, 300 };
  for (size_t n = 0; n < RW_ARRAY_LEN (fleets); n++)
    {
      rw_time sum = 0;
      rw_time most = 0;
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          rw_time time = release_time (f, fleets[n], seed);
          sum += time;
          if (time > most)
            most = time;
        }
      print_message ("daemons=%zu mean_ms=%lld most_ms=%lld\n", fleets[n],
                     (long long)(sum / SEEDS / RW_MSEC),
                     (long long)(most / RW_MSEC));
      assert_true (most <= QUA_LEARN_TIME);
    }
}
