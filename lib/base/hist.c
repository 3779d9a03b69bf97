#include "base.h"

#include <string.h>

#define SUB_BITS 5 /* log2 (RW_HIST_SUB_BUCKETS) */

/* Prepares a histogram without samples.  */
void
rw_hist_init (struct rw_hist *hist)
{
  memset (hist, 0, sizeof *hist);
}

/* Returns the index of the bucket of USEC.  Values below RW_HIST_SUB_BUCKETS
   have a bucket each; every power of two above is divided into
   RW_HIST_SUB_BUCKETS buckets.  */
static size_t
bucket_of (rw_time usec)
{
  uint64_t v = usec > 0 ? (uint64_t)usec : 0;
  unsigned int shift;
  size_t index;

  if (v < RW_HIST_SUB_BUCKETS)
    return (size_t)v;
  shift = 63U - (unsigned int)__builtin_clzll (v) - SUB_BITS;
  index = (size_t)(shift + 1) * RW_HIST_SUB_BUCKETS
          + (size_t)((v >> shift) - RW_HIST_SUB_BUCKETS);
  return index < RW_HIST_BUCKET_COUNT ? index : RW_HIST_BUCKET_COUNT - 1;
}

/* Returns the highest value in bucket INDEX.  */
static rw_time
bucket_top (size_t index)
{
  size_t shift;

  if (index < RW_HIST_SUB_BUCKETS)
    return (rw_time)index;
  shift = index / RW_HIST_SUB_BUCKETS - 1;
  return (rw_time)((((uint64_t)(index % RW_HIST_SUB_BUCKETS)
                     + RW_HIST_SUB_BUCKETS + 1)
                    << shift)
                   - 1);
}

/* Adds a sample of USEC microseconds; negative ones count as 0.  */
void
rw_hist_add (struct rw_hist *hist, rw_time usec)
{
  hist->bucket[bucket_of (usec)]++;
  hist->count++;
  hist->sum += usec > 0 ? (uint64_t)usec : 0;
  if (usec > hist->max)
    hist->max = usec;
}

/* Adds the samples of OTHER to HIST.  */
void
rw_hist_merge (struct rw_hist *hist, const struct rw_hist *other)
{
  for (size_t i = 0; i < RW_HIST_BUCKET_COUNT; i++)
    hist->bucket[i] += other->bucket[i];
  hist->count += other->count;
  hist->sum += other->sum;
  if (other->max > hist->max)
    hist->max = other->max;
}

/* Returns the quantile Q (0 to 1) of the samples, rounded up to the highest
   value of its bucket but not above the maximum, or 0 without samples.  */
rw_time
rw_hist_quantile (const struct rw_hist *hist, double q)
{
  uint64_t rank = (uint64_t)(q * (double)hist->count);
  uint64_t seen = 0;

  if (hist->count == 0)
    return 0;
  if (rank >= hist->count)
    rank = hist->count - 1;
  for (size_t i = 0; i < RW_HIST_BUCKET_COUNT; i++)
    {
      seen += hist->bucket[i];
      if (seen > rank)
        return bucket_top (i) < hist->max ? bucket_top (i) : hist->max;
    }
  return hist->max;
}
