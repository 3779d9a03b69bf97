/* Counters, gauges and latency histograms, written in the Prometheus text
   format.  */

#ifndef STA_STAT_H
#define STA_STAT_H

#include "base.h"

enum sta_kind
{
  STA_COUNTER,
  STA_GAUGE,
  STA_HISTOGRAM
};

/* Limits the memory that label values received from outside can use.  Beyond
   it, all further series of a name are counted in one series with the label
   overflow="true".  */
#define STA_MAX_SERIES 2048

/* The upper bounds of the histogram buckets are powers of two from 64 us to
   8.4 s; the last bucket has no upper bound.  */
#define STA_BUCKET_COUNT 19
#define STA_FIRST_BUCKET_USEC 64

struct sta_hist
{
  uint64_t bucket[STA_BUCKET_COUNT]; /* not cumulative */
  uint64_t count;
  uint64_t sum; /* microseconds */
};

/* One time series.  Its address is valid until sta_finish, so that callers can
   keep the pointer and update the series without a lookup.  */
struct sta_series
{
  enum sta_kind kind;
  union
  {
    uint64_t count;        /* STA_COUNTER */
    double value;          /* STA_GAUGE */
    struct sta_hist *hist; /* STA_HISTOGRAM */
  } u;
  struct rw_str labels; /* such as class="a",target="b" */
  struct sta_series *next;
};

/* All series of one metric name, in the order in which they were created.  */
struct sta_family
{
  const char *name; /* static */
  const char *help; /* static */
  enum sta_kind kind;
  struct sta_series *first;
  struct sta_series *last;
  struct sta_family *next;
};

struct sta_set
{
  struct rw_arena arena;
  struct sta_family *first;
  struct sta_family *last;
  size_t series_count;
};

void sta_init (struct sta_set *set);
void sta_finish (struct sta_set *set);

struct sta_series *sta_counter (struct sta_set *set, const char *name,
                                const char *help, struct rw_str labels);
struct sta_series *sta_gauge (struct sta_set *set, const char *name,
                              const char *help, struct rw_str labels);
struct sta_series *sta_histogram (struct sta_set *set, const char *name,
                                  const char *help, struct rw_str labels);

/* Adds N to a counter.  */
static inline void
sta_add (struct sta_series *series, uint64_t n)
{
  series->u.count += n;
}

/* Adds 1 to a counter.  */
static inline void
sta_inc (struct sta_series *series)
{
  series->u.count++;
}

/* Sets the value of a gauge.  */
static inline void
sta_set_value (struct sta_series *series, double value)
{
  series->u.value = value;
}

void sta_observe (struct sta_series *series, rw_time usec);

struct rw_str sta_label (char *buf, size_t size, const char *name,
                         struct rw_str value);
void sta_write (const struct sta_set *set, struct rw_buf *out);

#endif
