#include "base.h"

#include <stdlib.h>

/* Prepares an empty heap.  */
void
rw_heap_init (struct rw_heap *heap)
{
  *heap = (struct rw_heap){ NULL, 0, 0, 0 };
}

/* Frees the entries; the items belong to the caller.  */
void
rw_heap_finish (struct rw_heap *heap)
{
  free (heap->entries);
  rw_heap_init (heap);
}

/* Returns whether A must be popped before B.  */
static bool
pops_before (const struct rw_heap_entry *a, const struct rw_heap_entry *b)
{
  return a->at < b->at || (a->at == b->at && a->order < b->order);
}

/* Adds ITEM, which still belongs to the caller, at time AT.  */
void
rw_heap_push (struct rw_heap *heap, rw_time at, void *item)
{
  struct rw_heap_entry entry = { at, heap->next_order++, item };
  size_t i = heap->len++;

  if (heap->len > heap->cap)
    {
      heap->cap = heap->cap != 0 ? heap->cap * 2 : 64;
      heap->entries
          = rw_xrealloc (heap->entries, heap->cap * sizeof *heap->entries);
    }
  while (i > 0 && pops_before (&entry, &heap->entries[(i - 1) / 2]))
    {
      heap->entries[i] = heap->entries[(i - 1) / 2];
      i = (i - 1) / 2;
    }
  heap->entries[i] = entry;
}

/* Returns the earliest time, or RW_TIME_NEVER when the heap is empty.  */
rw_time
rw_heap_next_time (const struct rw_heap *heap)
{
  return heap->len > 0 ? heap->entries[0].at : RW_TIME_NEVER;
}

/* Removes the earliest entry and returns its item; its time goes to *AT if AT
   is not null.  Returns a null pointer when the heap is empty.  */
void *
rw_heap_pop (struct rw_heap *heap, rw_time *at)
{
  struct rw_heap_entry top;
  struct rw_heap_entry last;
  size_t i = 0;

  if (heap->len == 0)
    return NULL;
  top = heap->entries[0];
  last = heap->entries[--heap->len];
  for (;;)
    {
      size_t child = 2 * i + 1;

      if (child >= heap->len)
        break;
      if (child + 1 < heap->len
          && pops_before (&heap->entries[child + 1], &heap->entries[child]))
        child++;
      if (!pops_before (&heap->entries[child], &last))
        break;
      heap->entries[i] = heap->entries[child];
      i = child;
    }
  if (heap->len > 0)
    heap->entries[i] = last;
  if (at != NULL)
    *at = top.at;
  return top.item;
}
