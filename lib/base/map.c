#include "base.h"

#include <stdlib.h>

#define INITIAL_CAP 32

/* Prepares an empty map.  */
void
rw_map_init (struct rw_map *map)
{
  *map = (struct rw_map){ NULL, 0, 0 };
}

/* Frees the slots but not the items.  */
void
rw_map_finish (struct rw_map *map)
{
  free (map->slots);
  rw_map_init (map);
}

/* Returns the index of the slot of KEY, or of the free slot where KEY is to be
   inserted.  The map must have slots, and at least one must be free.  */
static size_t
slot_of (const struct rw_map *map, uint64_t key)
{
  size_t i = (size_t)rw_hash_u64 (key, 0) & (map->cap - 1);

  while (map->slots[i].item != NULL && map->slots[i].key != key)
    i = (i + 1) & (map->cap - 1);
  return i;
}

/* Returns the item of KEY, or a null pointer if there is none.  */
void *
rw_map_get (const struct rw_map *map, uint64_t key)
{
  return map->cap != 0 ? map->slots[slot_of (map, key)].item : NULL;
}

/* Doubles the number of slots.  */
static void
grow (struct rw_map *map)
{
  struct rw_map old = *map;

  map->cap = old.cap != 0 ? old.cap * 2 : INITIAL_CAP;
  map->slots = rw_xcalloc (map->cap, sizeof *map->slots);
  for (size_t i = 0; i < old.cap; i++)
    if (old.slots[i].item != NULL)
      map->slots[slot_of (map, old.slots[i].key)] = old.slots[i];
  free (old.slots);
}

/* Sets the item of KEY to ITEM, which must not be null, and replaces an
   earlier one.  */
void
rw_map_put (struct rw_map *map, uint64_t key, void *item)
{
  size_t i;

  if (map->len * 4 >= map->cap * 3)
    grow (map);
  i = slot_of (map, key);
  if (map->slots[i].item == NULL)
    map->len++;
  map->slots[i] = (struct rw_map_slot){ key, item };
}

/* Removes KEY and returns its item, or a null pointer if there is none.  The
   entries in the following slots are inserted again, so that no lookup stops
   early at the freed slot.  */
void *
rw_map_remove (struct rw_map *map, uint64_t key)
{
  size_t i;
  size_t j;
  void *item;

  if (map->cap == 0)
    return NULL;
  i = slot_of (map, key);
  item = map->slots[i].item;
  if (item == NULL)
    return NULL;
  map->slots[i].item = NULL;
  map->len--;
  for (j = (i + 1) & (map->cap - 1); map->slots[j].item != NULL;
       j = (j + 1) & (map->cap - 1))
    {
      struct rw_map_slot moved = map->slots[j];

      map->slots[j].item = NULL;
      map->slots[slot_of (map, moved.key)] = moved;
    }
  return item;
}

/* Returns the next item of an iteration, or a null pointer at the end.
   *POSITION must be 0 at the first call.  The map must not change during the
   iteration.  */
void *
rw_map_next (const struct rw_map *map, size_t *position)
{
  while (*position < map->cap)
    {
      void *item = map->slots[(*position)++].item;

      if (item != NULL)
        return item;
    }
  return NULL;
}
