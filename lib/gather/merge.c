#include <string.h>

#include "gather.h"

/* Puts RECORD into the sorted records BEST, of which there are at most TOP. */
static size_t
insert (char *best, size_t count, size_t top, const char *record)
{
  size_t at = count;
  while (at > 0
         && memcmp (best + (at - 1) * GAT_RECORD_SIZE, record, GAT_RECORD_SIZE)
                < 0)
    at--;
  if (at == top)
    return count;
  if (count < top)
    count++;
  memmove (best + (at + 1) * GAT_RECORD_SIZE, best + at * GAT_RECORD_SIZE,
           (count - 1 - at) * GAT_RECORD_SIZE);
  memcpy (best + at * GAT_RECORD_SIZE, record, GAT_RECORD_SIZE);
  return count;
}

struct rw_str
gat_merge (const struct gat_query *query, size_t top, struct rw_arena *arena)
{
  size_t total = 0;
  size_t count = 0;
  for (size_t i = 0; i < query->plan.part_count; i++)
    if (query->parts[i].state == GAT_PART_DONE)
      total += query->parts[i].body.len / GAT_RECORD_SIZE;
  if (top > total)
    top = total;
  char *best = rw_arena_alloc (arena, top * GAT_RECORD_SIZE + 1);
  for (size_t i = 0; i < query->plan.part_count && top > 0; i++)
    {
      const struct gat_part *p = &query->parts[i];
      if (p->state != GAT_PART_DONE)
        continue;
      for (size_t at = 0; at + GAT_RECORD_SIZE <= p->body.len;
           at += GAT_RECORD_SIZE)
        count = insert (best, count, top, p->body.ptr + at);
    }
  return (struct rw_str){ best, count * GAT_RECORD_SIZE };
}
