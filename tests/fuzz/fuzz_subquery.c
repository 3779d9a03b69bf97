#include "fuzz.h"
#include "subquery.h"

/* An order that was read is written as one that is read as the same.  */
static void
check_order (struct rw_str text, struct rw_arena *arena)
{
  struct sbq_order order;
  struct sbq_order again;
  struct rw_buf out;
  if (sbq_read_order (text, arena, &order) != 0)
    return;
  FUZZ_CHECK (order.shard_count >= 1 && order.shard_count <= SBQ_MAX_SHARDS);
  for (size_t i = 1; i < order.shard_count; i++)
    FUZZ_CHECK (order.shards[i - 1] < order.shards[i]);
  rw_buf_init (&out);
  sbq_write_order (&order, &out);
  FUZZ_CHECK (sbq_read_order (rw_buf_str (&out), arena, &again) == 0);
  FUZZ_CHECK (again.version == order.version
              && again.max_attempts == order.max_attempts
              && again.soft_ms == order.soft_ms && again.spare == order.spare
              && again.shard_count == order.shard_count);
  for (size_t i = 0; i < order.shard_count; i++)
    FUZZ_CHECK (again.shards[i] == order.shards[i]);
  rw_buf_finish (&out);
}

/* Results are read to their end, and each takes at least a byte.  */
static void
check_results (struct rw_str text)
{
  enum sbq_result result;
  struct rw_str stamp;
  unsigned int attempts;
  size_t left = text.len;
  while (sbq_read_result (&text, &result, &stamp, &attempts))
    {
      FUZZ_CHECK (text.len < left && stamp.len <= left);
      FUZZ_CHECK (result == SBQ_DONE || result == SBQ_FAILED
                  || result == SBQ_NOT_RUN);
      left = text.len;
    }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rw_str text = { (const char *)data, size };
  struct rw_arena arena;
  rw_arena_init (&arena, 4096);
  check_order (text, &arena);
  check_results (text);
  rw_arena_finish (&arena);
  return 0;
}

FUZZ_SAMPLES ("7 2 80 1 f02", "0 1 0 0 1", "s-1.a,-2,s-4.b")
