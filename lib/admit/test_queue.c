#include "admit.h"

#include <setjmp.h>
#include <stdarg.h>
#include <string.h>

#include <cmocka.h>

#define ITEM_COUNT 512

/* A simple reference implementation of the same policy, with arrays that are
   shifted instead of lists.  Deficits are in 1/1000 of an item.  */
struct ref_queue
{
  const struct adm_classes *classes;
  struct adm_item *items[ADM_CLASSES_MAX][ITEM_COUNT];
  int len[ADM_CLASSES_MAX];
  int64_t deficit[ADM_CLASSES_MAX];
  int ring[ADM_CLASSES_MAX];
  int ring_len;
  int current; /* class whose turn it is, -1: none; not used */
};

static void
ref_push (struct ref_queue *ref, bool *has_quantum, struct adm_item *item)
{
  int c = (int)item->class_id;

  ref->items[c][ref->len[c]++] = item;
  for (int i = 0; i < ref->ring_len; i++)
    if (ref->ring[i] == c)
      {
        if (ref->len[c] > 1 || has_quantum[c] || ref->deficit[c] <= 0)
          return;
        memmove (ref->ring + 1, ref->ring, (size_t)i * sizeof (int));
        ref->ring[0] = c;
        has_quantum[c] = true;
        return;
      }
  memmove (ref->ring + 1, ref->ring, (size_t)ref->ring_len * sizeof (int));
  ref->ring[0] = c;
  ref->ring_len++;
}

static void
ref_ring_remove_first (struct ref_queue *ref)
{
  ref->ring_len--;
  memmove (ref->ring, ref->ring + 1, (size_t)ref->ring_len * sizeof (int));
}

static int64_t
ref_quantum (const struct ref_queue *ref, int c)
{
  int64_t highest = ref->classes->by_id[c].share;

  for (int i = 0; i < ADM_CLASSES_MAX; i++)
    if (ref->len[i] > 0 && ref->classes->by_id[i].share > highest)
      highest = ref->classes->by_id[i].share;
  return INT64_C (16000) * ref->classes->by_id[c].share / highest;
}

/* Returns the item to serve next, which stays queued.  HAS_QUANTUM[c] tells
   whether class c received the quantum of its present turn.  */
static struct adm_item *
ref_peek (struct ref_queue *ref, bool *has_quantum)
{
  for (;;)
    {
      int c = ref->ring[0];

      if (ref->len[c] == 0 && !has_quantum[c] && ref->deficit[c] >= 0)
        {
          ref->deficit[c] = 0;
          ref_ring_remove_first (ref);
          continue;
        }
      if (!has_quantum[c])
        {
          if (ref->deficit[c] > 0)
            ref->deficit[c] = 0;
          ref->deficit[c] += ref_quantum (ref, c);
          has_quantum[c] = true;
        }
      if (ref->len[c] > 0 && ref->deficit[c] > 0)
        return ref->items[c][0];
      has_quantum[c] = false;
      ref_ring_remove_first (ref);
      ref->ring[ref->ring_len++] = c;
    }
}

static void
ref_take (struct ref_queue *ref, const struct adm_item *item, int64_t charge)
{
  int c = (int)item->class_id;
  int i = 0;

  while (ref->items[c][i] != item)
    i++;
  for (ref->len[c]--; i < ref->len[c]; i++)
    ref->items[c][i] = ref->items[c][i + 1];
  ref->deficit[c] -= charge;
}

/* Takes a batch of one class from both queues and compares each item.  */
static void
take_batch (struct adm_queue *queue, struct ref_queue *ref, bool *has_quantum,
            int batch)
{
  struct adm_item *first = adm_queue_peek (queue);
  struct adm_item *item = first;

  assert_ptr_equal (first, ref_peek (ref, has_quantum));
  for (int i = 0; i < batch && item != NULL; i++)
    {
      struct adm_item *next = item->next;

      assert_ptr_equal (item, ref->items[first->class_id][0]);
      adm_queue_take (queue, item);
      ref_take (ref, item, 1000);
      item = next;
    }
}

static void
compare_with_reference (uint64_t seed)
{
  static struct adm_item items[ITEM_COUNT];
  static struct ref_queue ref;
  bool has_quantum[ADM_CLASSES_MAX] = { false };
  struct adm_classes classes;
  struct adm_queue queue;
  struct rw_rng rng;
  size_t used = 0;

  rw_rng_init (&rng, seed);
  adm_classes_init (&classes);
  for (size_t i = 0; i < ADM_CLASSES_MAX; i++)
    classes.by_id[i].share = 1 + (int)rw_rng_below (&rng, 1000);
  memset (&ref, 0, sizeof ref);
  ref.classes = &classes;
  adm_queue_init (&queue, &classes, 0);
  while (used < ITEM_COUNT || queue.len > 0)
    {
      size_t pushes = rw_rng_below (&rng, 6);

      for (size_t i = 0; i < pushes && used < ITEM_COUNT; i++)
        {
          items[used].class_id = (unsigned int)rw_rng_below (&rng, 5);
          items[used].deadline = RW_SEC;
          adm_queue_push (&queue, &items[used], 0);
          ref_push (&ref, has_quantum, &items[used]);
          used++;
        }
      if (queue.len > 0 && rw_rng_below (&rng, 8) == 0)
        {
          struct adm_item *item = adm_queue_peek (&queue);

          assert_ptr_equal (item, ref_peek (&ref, has_quantum));
          adm_queue_remove (&queue, item);
          ref_take (&ref, item, 0);
        }
      else if (queue.len > 0)
        take_batch (&queue, &ref, has_quantum,
                    1 + (int)rw_rng_below (&rng, 16));
    }
}

/* Guards against list or ring handling that changes the order of service.  */
static void
order_equals_reference_round_robin (void **state)
{
  (void)state;
  for (uint64_t seed = 1; seed <= 400; seed++)
    compare_with_reference (seed);
}

struct served
{
  uint64_t parts[ADM_CLASSES_MAX];
};

/* Keeps COUNT classes backlogged while ROUNDS batches of BATCH are served.  */
static void
serve_backlog (struct adm_classes *classes, unsigned int count, int batch,
               int rounds, struct served *served)
{
  static struct adm_item items[8][64];
  struct adm_queue queue;

  memset (items, 0, sizeof items);
  memset (served, 0, sizeof *served);
  adm_queue_init (&queue, classes, 0);
  for (unsigned int c = 0; c < count; c++)
    for (int i = 0; i < 64; i++)
      {
        items[c][i].class_id = c;
        adm_queue_push (&queue, &items[c][i], 0);
      }
  for (int r = 0; r < rounds; r++)
    {
      struct adm_item *item = adm_queue_peek (&queue);
      unsigned int c = item->class_id;

      for (int i = 0; i < batch; i++)
        {
          item = queue.by_class[c].head;
          adm_queue_take (&queue, item);
          adm_queue_push (&queue, item, 0);
        }
      served->parts[c] += (uint64_t)batch;
    }
}

/* Guards against batches that give a class more than its share, and against a
   class with a small share that is never served.  */
static void
backlogged_classes_get_their_shares (void **state)
{
  static const int shares[4] = { 1, 10, 30, 100 };
  struct adm_classes classes;
  struct served served;

  (void)state;
  adm_classes_init (&classes);
  for (size_t i = 0; i < 4; i++)
    classes.by_id[i].share = shares[i];
  for (int batch = 1; batch <= 16; batch *= 2)
    {
      uint64_t total;

      serve_backlog (&classes, 4, batch, 200000 / batch, &served);
      total = served.parts[0] + served.parts[1] + served.parts[2]
              + served.parts[3];
      for (size_t i = 0; i < 4; i++)
        {
          /* 141 is the sum of the shares.  */
          double expected = (double)total * shares[i] / 141;

          assert_true ((double)served.parts[i] > 0.97 * expected);
          assert_true ((double)served.parts[i] < 1.03 * expected);
        }
    }
}

/* Guards against a class that takes all service by emptying its queue again
   and again, because a class that becomes active comes first.  */
static void
frequently_empty_class_does_not_starve_others (void **state)
{
  static struct adm_item backlog[64];
  static struct adm_item burst[16];
  struct adm_classes classes;
  struct adm_queue queue;
  int served[2] = { 0, 0 };

  (void)state;
  adm_classes_init (&classes);
  adm_queue_init (&queue, &classes, 0);
  memset (backlog, 0, sizeof backlog);
  memset (burst, 0, sizeof burst);
  for (size_t i = 0; i < 64; i++)
    {
      backlog[i].class_id = 1;
      adm_queue_push (&queue, &backlog[i], 0);
    }
  for (int i = 0; i < 16; i++)
    burst[i].state = ADM_ITEM_UNLINKED;
  for (int r = 0; r < 20000; r++)
    {
      struct adm_item *item;

      if (queue.by_class[0].len == 0)
        for (size_t i = 0; i < 16; i++)
          adm_queue_push (&queue, &burst[i], 0);
      item = adm_queue_peek (&queue);
      served[item->class_id]++;
      adm_queue_take (&queue, item);
      if (item->class_id == 1)
        adm_queue_push (&queue, item, 0);
    }
  assert_true (served[1] > 9700);
}

/* Guards against a class with little load that waits for a round of all the
   others.  */
static void
newly_active_class_is_next (void **state)
{
  struct adm_item items[7] = { { 0 } };
  struct adm_item late = { .class_id = 7 };
  struct adm_classes classes;
  struct adm_queue queue;

  (void)state;
  adm_classes_init (&classes);
  adm_queue_init (&queue, &classes, 0);
  for (unsigned int i = 0; i < 7; i++)
    {
      items[i].class_id = i;
      adm_queue_push (&queue, &items[i], 0);
    }
  adm_queue_take (&queue, adm_queue_peek (&queue));
  adm_queue_push (&queue, &late, 0);
  assert_ptr_equal (adm_queue_peek (&queue), &late);
}

/* Guards against a class number from a caller that writes past the arrays, and
   against a switch for the shares that has no effect.  */
static void
unknown_classes_and_no_shares_use_one_queue (void **state)
{
  struct adm_item items[3]
      = { { .class_id = 99999 }, { .class_id = 4 }, { .class_id = 0 } };
  struct adm_classes classes;
  struct adm_queue queue;

  (void)state;
  adm_classes_init (&classes);
  adm_queue_init (&queue, &classes, ADM_MECH_SHARES);
  for (size_t i = 0; i < 3; i++)
    adm_queue_push (&queue, &items[i], 0);
  assert_false (adm_queue_full (&queue, 99999));
  assert_int_equal (queue.by_class[0].len, 3);
  for (size_t i = 0; i < 3; i++)
    {
      assert_ptr_equal (adm_queue_peek (&queue), &items[i]);
      adm_queue_take (&queue, &items[i]);
    }
  assert_null (adm_queue_peek (&queue));
}

int
main (void)
{
  const struct CMUnitTest tests[] = {
    cmocka_unit_test (order_equals_reference_round_robin),
    cmocka_unit_test (backlogged_classes_get_their_shares),
    cmocka_unit_test (frequently_empty_class_does_not_starve_others),
    cmocka_unit_test (newly_active_class_is_next),
    cmocka_unit_test (unknown_classes_and_no_shares_use_one_queue),
  };

  return cmocka_run_group_tests (tests, NULL, NULL);
}
