#include "holder.h"

#include <stdlib.h>

/* Orders by stream, then by the order in which the results were added.  */
static int
compare_results (const void *a, const void *b)
{
  const struct nod_pending_result *x = a;
  const struct nod_pending_result *y = b;

  if (x->stream != y->stream)
    return x->stream < y->stream ? -1 : 1;
  return x->order < y->order ? -1 : x->order > y->order;
}

/* Returns an estimate of the encoded size of RESULT in bytes: 256 and 32 stand
   for the fixed fields of a result and of a record.  */
static size_t
result_bytes (const struct wir_part_result *result)
{
  size_t bytes = 256 + result->body.len;

  for (uint32_t i = 0; i < result->record_count; i++)
    bytes += 32 + result->records[i].id.len + result->records[i].text.len;
  return bytes;
}

/* Sends COUNT results in one message over their common stream, or passes them
   to this daemon's own entry role.  Drops them if the stream is closed.  */
static void
send_results (struct nod_node *node, const struct nod_pending_result *items,
              size_t count)
{
  struct wir_msg msg = { .type = WIR_RESULT, .xid = ++node->last_xid };
  struct wir_part_result *results;

  if (items[0].stream == 0)
    {
      for (size_t i = 0; i < count; i++)
        nod_entry_on_result (node, &items[i].result);
      return;
    }
  if (nod_stream_find (node, items[0].stream) == NULL)
    return;
  results = rw_arena_zalloc (&node->scratch, count, sizeof *results);
  for (size_t i = 0; i < count; i++)
    results[i] = items[i].result;
  msg.u.result.results = results;
  msg.u.result.result_count = (uint32_t)count;
  nod_send_message (node, items[0].stream, NULL, 0, &msg);
}

/* Sends the results that were added since the last call, those for one stream
   together, in messages of at most WIR_MAX_PARTS results and about
   NOD_RESULT_MESSAGE_BYTES.  Results added during the call are left for the
   next one.  */
void
nod_results_flush (struct nod_node *node)
{
  struct nod_results sending = node->results;
  size_t first = 0;

  if (sending.len == 0)
    return;
  node->results = node->sending_results;
  node->sending_results = sending;
  qsort (sending.items, sending.len, sizeof *sending.items, compare_results);
  while (first < sending.len)
    {
      size_t end = first + 1;
      size_t bytes = result_bytes (&sending.items[first].result);

      while (end < sending.len
             && sending.items[end].stream == sending.items[first].stream
             && end - first < WIR_MAX_PARTS
             && bytes < NOD_RESULT_MESSAGE_BYTES)
        bytes += result_bytes (&sending.items[end++].result);
      send_results (node, &sending.items[first], end - first);
      first = end;
    }
  rw_arena_reset (&node->sending_results.arena);
  node->sending_results.len = 0;
}
