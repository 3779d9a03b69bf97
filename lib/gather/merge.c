#include <string.h>

#include "gather.h"

/* Inserts RECORD into the COUNT records at BEST, which are sorted with the
   greatest first.  BEST has room for TOP_K records: if it is full, the
   smallest record is dropped.  Returns the new count.  */
static size_t
insert_record (char *best, size_t count, size_t top_k, const char *record)
{
  size_t i = count;
  while (i > 0
         && memcmp (best + (i - 1) * GAT_RECORD_SIZE, record, GAT_RECORD_SIZE)
                < 0)
    i--;
  if (i == top_k)
    return count;
  if (count < top_k)
    count++;
  memmove (best + (i + 1) * GAT_RECORD_SIZE, best + i * GAT_RECORD_SIZE,
           (count - 1 - i) * GAT_RECORD_SIZE);
  memcpy (best + i * GAT_RECORD_SIZE, record, GAT_RECORD_SIZE);
  return count;
}

struct rw_str
gat_merge (const struct gat_query *query, size_t top_k, struct rw_arena *arena)
{
  size_t total = 0;
  size_t count = 0;
  for (size_t i = 0; i < query->plan.part_count; i++)
    if (query->parts[i].state == GAT_PART_DONE)
      total += query->parts[i].body.len / GAT_RECORD_SIZE;
  if (top_k > total)
    top_k = total;
  char *best = rw_arena_alloc (arena, top_k * GAT_RECORD_SIZE + 1);
  for (size_t i = 0; i < query->plan.part_count && top_k > 0; i++)
    {
      const struct gat_part *p = &query->parts[i];
      if (p->state != GAT_PART_DONE)
        continue;
      for (size_t offset = 0; offset + GAT_RECORD_SIZE <= p->body.len;
           offset += GAT_RECORD_SIZE)
        count = insert_record (best, count, top_k, p->body.ptr + offset);
    }
  return (struct rw_str){ best, count * GAT_RECORD_SIZE };
}
