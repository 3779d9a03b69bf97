#include "replica.h"
#include "unit.h"

struct fixture
{
  struct rw_arena arena;
  struct rep_replica a;
  struct rep_replica b;
};

static void
begin (struct fixture *f)
{
  rw_arena_init (&f->arena, 4096);
  rep_init (&f->a);
  rep_init (&f->b);
}

static void
end (struct fixture *f)
{
  rep_finish (&f->a);
  rep_finish (&f->b);
  rw_arena_finish (&f->arena);
}

UNIT_FIXTURE (begin, end)

static bool
put (struct rep_replica *replica, const char *key, int64_t revision,
     const char *value)
{
  struct rep_item item
      = { rw_str_from (key), revision, value == NULL, rw_str_from (value) };
  return rep_put (replica, &item);
}

static void
on_gone (void *arg, const struct rep_item *item)
{
  (void)item;
  ++*(size_t *)arg;
}

/* Sends the changes that TO lacks from FROM to TO, and applies them as a
   daemon does.  */
static void
transfer (struct fixture *f, struct rep_replica *from, struct rep_replica *to)
{
  struct rep_transfer changes;
  struct rw_err err;
  struct rw_map listed;
  size_t gone = 0;
  rw_map_init (&listed);
  assert_int_equal (
      rep_unpack (&f->arena, rep_pack (from, to->revision), &changes, &err),
      0);
  for (size_t i = 0; i < changes.count; i++)
    {
      rep_put (to, &changes.items[i]);
      rw_map_put (&listed, rw_hash (changes.items[i].key), f);
    }
  if (changes.full)
    rep_retain (to, changes.revision, &listed, on_gone, &gone);
  rep_advance (to, changes.revision);
  rw_map_finish (&listed);
}

static bool
same_content (const struct rep_replica *a, const struct rep_replica *b)
{
  const struct rep_item *item;
  size_t position = 0;
  size_t count = 0;
  while ((item = rep_next (a, &position)) != NULL)
    {
      const struct rep_item *other = rep_find (b, item->key);
      if (other == NULL || !rw_str_eq (other->value, item->value)
          || other->revision != item->revision)
        return false;
      count++;
    }
  for (position = 0; rep_next (b, &position) != NULL;)
    count--;
  return count == 0;
}

/* Guards against an old configuration that replaces a newer one.  */
TEST_WITH_FIXTURE (older_items_are_refused)
{
  assert_true (put (&f->a, "k", 5, "new"));
  assert_false (put (&f->a, "k", 4, "old"));
  assert_false (put (&f->a, "k", 5, "same"));
  assert_true (put (&f->a, "k", 6, NULL));
  assert_false (put (&f->a, "k", 5, "new"));
  assert_null (rep_find (&f->a, RW_LIT ("k")));
}

/* Guards against targets that stay listed in a copy that was behind when they
   were removed.  */
TEST_WITH_FIXTURE (removals_are_transferred)
{
  put (&f->a, "x", 1, "1");
  put (&f->a, "y", 2, "2");
  rep_advance (&f->a, 2);
  transfer (f, &f->a, &f->b);
  put (&f->a, "x", 3, NULL);
  rep_advance (&f->a, 3);
  transfer (f, &f->a, &f->b);
  assert_null (rep_find (&f->b, RW_LIT ("x")));
  assert_true (same_content (&f->a, &f->b));
}

/* Guards against copies that differ at the same revision.  The changes are
   random, with so many removals that old tombstones are dropped.  */
TEST_WITH_FIXTURE (copies_agree_after_a_transfer)
{
  struct rw_rng rng;
  int64_t revision = 0;
  rw_rng_init (&rng, 3);
  for (int round = 0; round < 60; round++)
    {
      size_t changes = rw_rng_below (&rng, 1000);
      for (size_t i = 0; i < changes; i++)
        {
          char key[32];
          snprintf (key, sizeof key, "k%d",
                    (int)rw_rng_below (&rng, 100 + 200 * (uint64_t)round));
          put (&f->a, key, ++revision,
               rw_rng_below (&rng, 3) == 0 ? NULL : key);
        }
      rep_advance (&f->a, revision);
      transfer (f, &f->a, &f->b);
      assert_true (same_content (&f->a, &f->b));
      assert_int_equal (f->b.revision, f->a.revision);
    }
  assert_true (f->a.purged_revision > 0);
}

/* Guards against a malformed transfer from a peer that crashes the daemon.  */
TEST_WITH_FIXTURE (malformed_transfers_are_refused)
{
  struct rep_transfer changes;
  struct rw_err err;
  struct rw_rng rng;
  rw_rng_init (&rng, 5);
  put (&f->a, "k", 1, "some value that compresses compresses compresses");
  rep_advance (&f->a, 1);
  struct rw_str packed = rep_pack (&f->a, 0);
  for (size_t len = 0; len < packed.len; len++)
    assert_int_not_equal (rep_unpack (&f->arena,
                                      (struct rw_str){ packed.ptr, len },
                                      &changes, &err),
                          0);
  for (int i = 0; i < 2000; i++)
    {
      char *copy = rw_arena_alloc (&f->arena, packed.len);
      memcpy (copy, packed.ptr, packed.len);
      copy[rw_rng_below (&rng, packed.len)] ^= (char)(1 + i % 255);
      (void)rep_unpack (&f->arena, (struct rw_str){ copy, packed.len },
                        &changes, &err);
    }
}

/* Guards against a daemon that packs its whole copy for each of many peers,
   and against one that sends an outdated copy.  */
TEST_WITH_FIXTURE (a_transfer_is_packed_once_until_something_changes)
{
  put (&f->a, "k", 5, "value");
  rep_advance (&f->a, 5);
  uint64_t packed = f->a.pack_count;
  for (int i = 0; i < 300; i++)
    (void)rep_pack (&f->a, 0);
  assert_int_equal (f->a.pack_count, packed + 1);
  put (&f->a, "k", 6, "other");
  rep_advance (&f->a, 6);
  transfer (f, &f->a, &f->b);
  assert_true (same_content (&f->a, &f->b));
  put (&f->a, "l", 7, "more");
  rep_advance (&f->a, 7);
  transfer (f, &f->a, &f->b);
  assert_true (same_content (&f->a, &f->b));
  assert_int_equal (f->b.revision, 7);
}

/* Guards against one item that is too large for a transfer and leaves every
   transfer empty.  */
TEST_WITH_FIXTURE (an_item_too_large_for_a_transfer_is_not_kept)
{
  char key[600];
  memset (key, 'k', sizeof key);
  key[sizeof key - 1] = '\0';
  assert_true (put (&f->a, "a", 1, "1"));
  assert_false (put (&f->a, key, 2, "2"));
  rep_advance (&f->a, 2);
  transfer (f, &f->a, &f->b);
  assert_non_null (rep_find (&f->b, RW_LIT ("a")));
}

/* Guards against tombstones without limit, when a full read removes more items
   than the limit.  */
TEST_WITH_FIXTURE (a_full_read_keeps_the_limit_of_tombstones)
{
  struct rw_map listed;
  size_t gone = 0;
  rw_map_init (&listed);
  for (int i = 0; i < 2 * REP_MAX_TOMBSTONES; i++)
    {
      char key[32];
      snprintf (key, sizeof key, "k%d", i);
      put (&f->a, key, i + 1, "v");
    }
  rep_retain (&f->a, 1000000, &listed, on_gone, &gone);
  assert_int_equal (gone, 2 * REP_MAX_TOMBSTONES);
  assert_true (f->a.tombstone_count <= REP_MAX_TOMBSTONES);
  rw_map_finish (&listed);
}
