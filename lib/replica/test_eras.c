/* Copies of a store that is restored from an older copy of its own: all short
   orders of changes, restores, reads and transfers, and random longer ones. */

#include "replica.h"
#include "unit.h"

#define KEYS 2
#define COPIES 2

/* A store with its history, of which a backup is restored.  */
struct store
{
  int64_t era;
  int64_t number;
  int64_t changed[KEYS]; /* number of the last change; 0: never */
  char value[KEYS];      /* 0: removed */
};

struct world
{
  struct rw_arena arena;
  struct store store;
  struct store backup;
  struct rep_replica copies[COPIES];
  char next_value;
};

enum step
{
  STEP_WRITE_0,
  STEP_REMOVE_0,
  STEP_WRITE_1,
  STEP_RESTORE,
  STEP_READ_0,
  STEP_READ_1,
  STEP_TRANSFER_0_TO_1,
  STEP_TRANSFER_1_TO_0,
  STEP_COUNT
};

static const char *const key_names[KEYS] = { "x", "y" };

static int64_t
revision_in (int64_t era, int64_t number)
{
  int64_t revision;
  assert_int_equal (rw_revision_make (era, number, &revision), 0);
  return revision;
}

static void
change (struct world *w, int key, char value)
{
  w->store.changed[key] = ++w->store.number;
  w->store.value[key] = value;
}

static void
ignore_gone (void *arg, const struct rep_item *item)
{
  (void)arg;
  (void)item;
}

static struct rep_item
item_of (const struct store *store, int key)
{
  return (struct rep_item){ rw_str_from (key_names[key]),
                            revision_in (store->era, store->changed[key]),
                            store->value[key] == 0,
                            { &store->value[key], store->value[key] != 0 } };
}

/* Reads the store as lib/follow does: lists it after a new era, otherwise
   reads the changes.  */
static void
read_store (struct world *w, struct rep_replica *copy)
{
  const struct store *store = &w->store;
  int64_t now = revision_in (store->era, store->number);
  bool list = rw_revision_era (copy->revision) < store->era;
  struct rw_map listed;
  rw_map_init (&listed);
  for (int key = 0; key < KEYS; key++)
    {
      struct rep_item item = item_of (store, key);
      if (store->changed[key] == 0 || (list && item.removed)
          || (!list && item.revision <= copy->revision))
        continue;
      (void)rep_put (copy, &item);
      rw_map_put (&listed, rw_hash (item.key), w);
    }
  if (list)
    rep_retain (copy, now, &listed, ignore_gone, NULL);
  rep_advance (copy, now);
  rw_map_finish (&listed);
}

static void
transfer (struct world *w, struct rep_replica *from, struct rep_replica *to)
{
  struct rep_transfer changes;
  struct rw_err err;
  struct rw_map listed;
  if (from->revision <= to->revision)
    return; /* a daemon asks only a peer whose copy is newer */
  rw_map_init (&listed);
  assert_int_equal (
      rep_unpack (&w->arena, rep_pack (from, to->revision), &changes, &err),
      0);
  for (size_t i = 0; i < changes.count; i++)
    {
      (void)rep_put (to, &changes.items[i]);
      rw_map_put (&listed, rw_hash (changes.items[i].key), w);
    }
  if (changes.full)
    rep_retain (to, changes.revision, &listed, ignore_gone, NULL);
  rep_advance (to, changes.revision);
  rw_map_finish (&listed);
}

static void
take_step (struct world *w, enum step step)
{
  switch (step)
    {
    case STEP_WRITE_0:
      change (w, 0, w->next_value++);
      break;
    case STEP_REMOVE_0:
      change (w, 0, 0);
      break;
    case STEP_WRITE_1:
      change (w, 1, w->next_value++);
      break;
    case STEP_RESTORE:
      w->backup.era = w->store.era + 1;
      w->store = w->backup;
      break;
    case STEP_READ_0:
      read_store (w, &w->copies[0]);
      break;
    case STEP_READ_1:
      read_store (w, &w->copies[1]);
      break;
    case STEP_TRANSFER_0_TO_1:
      transfer (w, &w->copies[0], &w->copies[1]);
      break;
    case STEP_TRANSFER_1_TO_0:
      transfer (w, &w->copies[1], &w->copies[0]);
      break;
    case STEP_COUNT:
      break;
    }
}

static bool
matches_store (const struct world *w, const struct rep_replica *copy)
{
  for (int key = 0; key < KEYS; key++)
    {
      const struct rep_item *item
          = rep_find (copy, rw_str_from (key_names[key]));
      char value = item != NULL ? item->value.ptr[0] : 0;
      if (value != w->store.value[key])
        return false;
    }
  return true;
}

/* Runs STEPS, then lets one copy read the store and the other learn from it.
   Fails if a copy goes back, or if one differs from the store in the end.  */
static void
run (const enum step *steps, size_t count)
{
  struct world w = { .next_value = 'a' };
  rw_arena_init (&w.arena, 1024);
  for (int i = 0; i < COPIES; i++)
    rep_init (&w.copies[i]);
  change (&w, 0, w.next_value++);
  w.backup = w.store;
  change (&w, 1, w.next_value++);
  read_store (&w, &w.copies[0]);
  read_store (&w, &w.copies[1]);
  for (size_t i = 0; i < count; i++)
    {
      int64_t before[COPIES] = { w.copies[0].revision, w.copies[1].revision };
      take_step (&w, steps[i]);
      for (int c = 0; c < COPIES; c++)
        assert_true (w.copies[c].revision >= before[c]);
    }
  read_store (&w, &w.copies[0]);
  transfer (&w, &w.copies[0], &w.copies[1]);
  assert_true (matches_store (&w, &w.copies[0]));
  assert_true (matches_store (&w, &w.copies[1]));
  assert_int_equal (w.copies[0].revision, w.copies[1].revision);
  for (int i = 0; i < COPIES; i++)
    rep_finish (&w.copies[i]);
  rw_arena_finish (&w.arena);
}

#define ORDER_LENGTH 5

/* Guards against copies that differ for good after a restore: an item that the
   store has lost and only one copy knew, a removal that was lost, or a number
   that was given out twice.  */
TEST (copies_agree_after_each_order_of_steps)
{
  size_t orders = 1;
  for (int i = 0; i < ORDER_LENGTH; i++)
    orders *= STEP_COUNT;
  for (size_t n = 0; n < orders; n++)
    {
      enum step steps[ORDER_LENGTH];
      size_t rest = n;
      for (int i = 0; i < ORDER_LENGTH; i++, rest /= STEP_COUNT)
        steps[i] = (enum step) (rest % STEP_COUNT);
      run (steps, ORDER_LENGTH);
    }
}

#define LONG_ORDER_LENGTH 14

TEST (copies_agree_after_long_random_orders)
{
  struct rw_rng rng;
  rw_rng_init (&rng, 1);
  for (int n = 0; n < 5000; n++)
    {
      enum step steps[LONG_ORDER_LENGTH];
      for (int i = 0; i < LONG_ORDER_LENGTH; i++)
        steps[i] = (enum step)rw_rng_below (&rng, STEP_COUNT);
      run (steps, LONG_ORDER_LENGTH);
    }
}

/* Guards against an item of an older era that a late transfer brings back.  */
TEST (items_of_an_older_era_are_refused)
{
  struct rep_replica copy;
  struct rep_item old
      = { RW_LIT ("x"), revision_in (1, 900), false, RW_LIT ("lost") };
  rep_init (&copy);
  rep_advance (&copy, revision_in (2, 10));
  assert_false (rep_put (&copy, &old));
  assert_null (rep_find (&copy, RW_LIT ("x")));
  rep_finish (&copy);
}
