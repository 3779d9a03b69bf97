#include <stdlib.h>
#include <string.h>

#include "subquery.h"

/* Bytes of the heads of a request and its reply, at a target and at a
   delegate, and of a stamp in a header.  */
#define EXCHANGE_HEAD_BYTES 450.0
#define SUBQUERY_HEAD_BYTES 550.0
#define STAMP_BYTES 40.0
/* Weight of one answer in the average of the size of parts.  */
#define SIZE_WEIGHT 0.05
#define MAX_ATTEMPTS 1000
#define MAX_SOFT_MS 86400000
#define BITS_PER_DIGIT 4
/* In a list of results, in the place of a stamp.  The number of attempts may
   follow the first.  */
#define FAILED_MARK "-"
#define NOT_RUN_MARK "!"

/* Returns whether part I of CHOICES is answered soon enough at data centre
   J.  */
static bool
suits (const struct sbq_choices *choices, size_t i, size_t j, double detour)
{
  const double *times = &choices->times[i * SBQ_MAX_DCS];
  double best = times[j];
  for (size_t k = 0; k < choices->dc_count; k++)
    if (times[k] < best)
      best = times[k];
  return times[j] < (double)RW_TIME_NEVER && times[j] <= best + detour;
}

/* Returns the data centre that suits most of the parts that are not JOINED, as
   an index, and stores their number in *MOST.  The search begins at FIRST.  */
static size_t
find_best_dc (const struct sbq_choices *choices, const bool *joined,
              size_t count, double detour, size_t first, size_t *most)
{
  size_t best = 0;
  *most = 0;
  for (size_t n = 0; n < choices->dc_count; n++)
    {
      size_t j = (first + n) % choices->dc_count;
      size_t suited = 0;
      for (size_t i = 0; i < count; i++)
        suited += !joined[i] && suits (choices, i, j, detour);
      if (suited > *most)
        {
          *most = suited;
          best = j;
        }
    }
  return best;
}

void
sbq_join (struct sbq_part *parts, size_t count,
          const struct sbq_choices *choices, double detour, uint64_t seed)
{
  bool joined[SBQ_MAX_SHARDS] = { false };
  size_t most = 1;
  if (choices->dc_count == 0 || count > SBQ_MAX_SHARDS)
    return;
  size_t first = (size_t)(seed % choices->dc_count);
  while (most > 0)
    {
      size_t dc = find_best_dc (choices, joined, count, detour, first, &most);
      for (size_t i = 0; i < count && most > 0; i++)
        if (!joined[i] && suits (choices, i, dc, detour))
          {
            parts[i].dc = choices->dcs[dc];
            joined[i] = true;
          }
    }
}

static int
compare_parts (const void *a, const void *b)
{
  const struct sbq_part *x = a;
  const struct sbq_part *y = b;
  if (x->dc != y->dc)
    return x->dc < y->dc ? -1 : 1;
  return (x->part > y->part) - (x->part < y->part);
}

size_t
sbq_group (struct sbq_part *parts, size_t count, struct sbq_group *groups,
           size_t max)
{
  size_t group_count = 0;
  qsort (parts, count, sizeof *parts, compare_parts);
  for (size_t i = 0; i < count; i++)
    {
      if (i == 0 || parts[i].dc != parts[i - 1].dc)
        {
          if (group_count == max)
            break;
          groups[group_count++] = (struct sbq_group){ parts[i].dc, i, 0 };
        }
      groups[group_count - 1].count++;
    }
  return group_count;
}

void
sbq_count_part (struct sbq_sizes *sizes, size_t bytes)
{
  if (sizes->part_bytes <= 0)
    sizes->part_bytes = (double)bytes;
  else
    sizes->part_bytes += SIZE_WEIGHT * ((double)bytes - sizes->part_bytes);
}

bool
sbq_saves_bytes (const struct sbq_sizes *sizes, size_t count, size_t records,
                 size_t record_bytes)
{
  double parts = (double)count * sizes->part_bytes;
  double list = (double)records * (double)record_bytes;
  double direct = (double)count * EXCHANGE_HEAD_BYTES + parts;
  double together = SUBQUERY_HEAD_BYTES + (double)count * STAMP_BYTES
                    + (list < parts ? list : parts);
  return together < direct;
}

/* The shards are a bit map in hexadecimal digits, the first shard in the
   lowest bit of the first digit.  */
void
sbq_write_order (const struct sbq_order *order, struct rw_buf *out)
{
  size_t shard = 0;
  rw_buf_printf (out, "%llu %u %lld %u ", (unsigned long long)order->version,
                 order->max_attempts, (long long)order->soft_ms, order->spare);
  for (uint32_t base = 0; shard < order->shard_count; base += BITS_PER_DIGIT)
    {
      unsigned int digit = 0;
      while (shard < order->shard_count
             && order->shards[shard] < base + BITS_PER_DIGIT)
        digit |= 1U << (order->shards[shard++] - base);
      rw_buf_printf (out, "%x", digit);
    }
}

static int
hex_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

static int
read_shards (struct rw_str text, struct rw_arena *arena,
             struct sbq_order *order)
{
  if (text.len == 0 || text.len > SBQ_MAX_SHARDS / BITS_PER_DIGIT)
    return RW_E_PARSE;
  order->shards = rw_arena_zalloc (arena, text.len * BITS_PER_DIGIT,
                                   sizeof *order->shards);
  order->shard_count = 0;
  for (size_t i = 0; i < text.len; i++)
    {
      int digit = hex_value (text.ptr[i]);
      if (digit < 0)
        return RW_E_PARSE;
      for (uint32_t bit = 0; bit < BITS_PER_DIGIT; bit++)
        if ((digit >> bit & 1) != 0)
          order->shards[order->shard_count++]
              = (uint32_t)i * BITS_PER_DIGIT + bit;
    }
  return order->shard_count > 0 ? 0 : RW_E_PARSE;
}

int
sbq_read_order (struct rw_str text, struct rw_arena *arena,
                struct sbq_order *order)
{
  int64_t version;
  int64_t attempts;
  int64_t spare;
  if (rw_str_to_int (rw_str_token (&text, " "), 0, INT64_MAX, &version) != 0
      || rw_str_to_int (rw_str_token (&text, " "), 1, MAX_ATTEMPTS, &attempts)
             != 0
      || rw_str_to_int (rw_str_token (&text, " "), 0, MAX_SOFT_MS,
                        &order->soft_ms)
             != 0
      || rw_str_to_int (rw_str_token (&text, " "), 0, SBQ_MAX_SHARDS, &spare)
             != 0)
    return RW_E_PARSE;
  order->version = (uint64_t)version;
  order->max_attempts = (unsigned int)attempts;
  order->spare = (unsigned int)spare;
  return read_shards (rw_str_trim (text), arena, order);
}

static bool
is_failed_mark (struct rw_str word)
{
  size_t digits = 0;
  if (word.len == 0 || word.ptr[0] != FAILED_MARK[0])
    return false;
  while (1 + digits < word.len && word.ptr[1 + digits] >= '0'
         && word.ptr[1 + digits] <= '9')
    digits++;
  return 1 + digits == word.len;
}

bool
sbq_write_result (struct rw_buf *out, enum sbq_result result,
                  struct rw_str stamp, unsigned int attempts)
{
  bool writable = stamp.len > 0 && !is_failed_mark (stamp)
                  && !rw_str_eq_cstr (stamp, NOT_RUN_MARK)
                  && memchr (stamp.ptr, ',', stamp.len) == NULL
                  && memchr (stamp.ptr, ' ', stamp.len) == NULL;
  if (out->len > 0)
    rw_buf_append (out, ",", 1);
  switch (result)
    {
    case SBQ_DONE:
      if (writable)
        {
          rw_buf_append_str (out, stamp);
          return true;
        }
      break;
    case SBQ_FAILED:
      if (attempts != SBQ_ALL_ATTEMPTS)
        {
          rw_buf_printf (out, FAILED_MARK "%u", attempts);
          return true;
        }
      break;
    case SBQ_NOT_RUN:
      rw_buf_append (out, NOT_RUN_MARK, 1);
      return true;
    }
  rw_buf_append (out, FAILED_MARK, 1);
  return result != SBQ_DONE;
}

bool
sbq_read_result (struct rw_str *text, enum sbq_result *result,
                 struct rw_str *stamp, unsigned int *attempts)
{
  int64_t number = SBQ_ALL_ATTEMPTS;
  struct rw_str word = rw_str_token (text, ",");
  if (word.len == 0)
    return false;
  *stamp = word;
  if (is_failed_mark (word))
    {
      struct rw_str digits = { word.ptr + 1, word.len - 1 };
      if (rw_str_to_int (digits, 1, MAX_ATTEMPTS, &number) != 0)
        number = SBQ_ALL_ATTEMPTS;
      *result = SBQ_FAILED;
    }
  else if (rw_str_eq_cstr (word, NOT_RUN_MARK))
    *result = SBQ_NOT_RUN;
  else
    *result = SBQ_DONE;
  *attempts = (unsigned int)number;
  return true;
}
