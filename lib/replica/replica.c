#include <stdlib.h>
#include <string.h>

#include "replica.h"

void
rep_init (struct rep_replica *replica)
{
  memset (replica, 0, sizeof *replica);
  rw_map_init (&replica->items);
  rw_buf_init (&replica->packed);
  replica->change_count = 1; /* as a packed_change_count of 0 means none */
}

void
rep_finish (struct rep_replica *replica)
{
  size_t position = 0;
  void *item;
  while ((item = rw_map_next (&replica->items, &position)) != NULL)
    free (item);
  rw_map_finish (&replica->items);
  rw_buf_finish (&replica->packed);
}

/* Returns a copy of FROM.  The item, its key and its value are in one
   allocation.  */
static struct rep_item *
copy_item (const struct rep_item *from)
{
  size_t value_len = from->removed ? 0 : from->value.len;
  struct rep_item *item
      = rw_xmalloc (sizeof *item + from->key.len + value_len);
  char *bytes = (char *)(item + 1);
  if (from->key.len > 0)
    memcpy (bytes, from->key.ptr, from->key.len);
  if (value_len > 0)
    memcpy (bytes + from->key.len, from->value.ptr, value_len);
  item->key = (struct rw_str){ bytes, from->key.len };
  item->value = (struct rw_str){ bytes + from->key.len, value_len };
  item->revision = from->revision;
  item->removed = from->removed;
  return item;
}

/* Drops all tombstones.  A copy that is behind their revisions is then sent a
   full transfer.  */
static void
purge_tombstones (struct rep_replica *replica)
{
  struct rw_map kept;
  size_t position = 0;
  struct rep_item *item;
  rw_map_init (&kept);
  while ((item = rw_map_next (&replica->items, &position)) != NULL)
    {
      if (!item->removed)
        {
          rw_map_put (&kept, rw_hash (item->key), item);
          continue;
        }
      if (item->revision > replica->purged_revision)
        replica->purged_revision = item->revision;
      free (item);
    }
  rw_map_finish (&replica->items);
  replica->items = kept;
  replica->tombstone_count = 0;
}

bool
rep_put (struct rep_replica *replica, const struct rep_item *item)
{
  uint64_t key = rw_hash (item->key);
  struct rep_item *known = rw_map_get (&replica->items, key);
  if (item->key.len > REP_MAX_KEY_BYTES
      || item->value.len > REP_MAX_VALUE_BYTES)
    return false;
  if (known != NULL && known->revision >= item->revision)
    return false;
  if (rw_revision_era (item->revision) < rw_revision_era (replica->revision))
    return false;
  if (known == NULL && item->removed
      && item->revision <= replica->purged_revision)
    return false;
  if (known != NULL && known->removed)
    replica->tombstone_count--;
  replica->change_count++;
  rw_map_put (&replica->items, key, copy_item (item));
  free (known);
  if (item->removed && ++replica->tombstone_count > REP_MAX_TOMBSTONES)
    purge_tombstones (replica);
  return true;
}

void
rep_advance (struct rep_replica *replica, int64_t revision)
{
  if (revision <= replica->revision)
    return;
  replica->revision = revision;
  replica->change_count++;
}

const struct rep_item *
rep_find (const struct rep_replica *replica, struct rw_str key)
{
  const struct rep_item *item = rw_map_get (&replica->items, rw_hash (key));
  return item != NULL && !item->removed ? item : NULL;
}

const struct rep_item *
rep_next (const struct rep_replica *replica, size_t *position)
{
  const struct rep_item *item;
  while ((item = rw_map_next (&replica->items, position)) != NULL)
    if (!item->removed)
      return item;
  return NULL;
}

void
rep_retain (struct rep_replica *replica, int64_t revision,
            const struct rw_map *listed,
            void (*gone) (void *arg, const struct rep_item *item), void *arg)
{
  size_t position = 0;
  struct rep_item *item;
  while ((item = rw_map_next (&replica->items, &position)) != NULL)
    {
      if (item->removed || item->revision > revision
          || rw_map_get (listed, rw_hash (item->key)) != NULL)
        continue;
      item->removed = true;
      item->revision = revision;
      item->value.len = 0;
      replica->tombstone_count++;
      replica->change_count++;
      gone (arg, item);
    }
  /* Items that came and went since the last read left no tombstone.  */
  if (revision > replica->purged_revision)
    replica->purged_revision = revision;
  if (replica->tombstone_count > REP_MAX_TOMBSTONES)
    purge_tombstones (replica);
}
