/* Strings, arenas, buffers, errors, seeded random numbers, hashing,
   histograms, maps and heaps, shared by every library.  Only rw_now reads a
   clock; nothing uses a socket.  */

#ifndef RW_BASE_H
#define RW_BASE_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Microseconds of CLOCK_BOOTTIME, or of virtual time in tests.  */
typedef int64_t rw_time;

#define RW_USEC INT64_C (1)
#define RW_MSEC INT64_C (1000)
#define RW_SEC INT64_C (1000000)
#define RW_TIME_NEVER INT64_MAX

/* Returns the current time, which also advances while the machine is
   suspended.  */
rw_time rw_now (void);

#define RW_ARRAY_LEN(a) (sizeof (a) / sizeof ((a)[0]))

/* A string with a length.  It does not own its bytes, which may be part of an
   arena, a literal or a receive buffer, and need not end with a NUL.  */
struct rw_str
{
  const char *ptr;
  size_t len;
};

#define RW_LIT(s) ((struct rw_str){ (s), sizeof (s) - 1 })
/* The arguments of printf for the conversion "%.*s".  */
#define RW_STR_ARG(s) (int)(s).len, (s).len != 0 ? (s).ptr : ""

struct rw_str rw_str_from (const char *cstr);
bool rw_str_eq (struct rw_str a, struct rw_str b);
bool rw_str_eq_cstr (struct rw_str a, const char *b);
int rw_str_cmp (struct rw_str a, struct rw_str b);
bool rw_str_starts (struct rw_str s, struct rw_str prefix);
struct rw_str rw_str_trim (struct rw_str s);
struct rw_str rw_str_token (struct rw_str *rest, const char *separators);
int rw_str_to_int (struct rw_str s, int64_t min, int64_t max, int64_t *value);
int rw_str_to_duration (struct rw_str s, rw_time *value);
size_t rw_str_copy (char *dst, size_t size, struct rw_str s);

/* An arena frees everything that was allocated from it at once.  */
struct rw_arena_block;
struct rw_arena
{
  struct rw_arena_block *head;
  size_t block_size;
  size_t used;      /* bytes handed out since init or reset */
  size_t allocated; /* bytes of its blocks */
};

void rw_arena_init (struct rw_arena *arena, size_t block_size);
void rw_arena_finish (struct rw_arena *arena);
void rw_arena_reset (struct rw_arena *arena);
void *rw_arena_alloc (struct rw_arena *arena, size_t size);
void *rw_arena_zalloc (struct rw_arena *arena, size_t count, size_t size);
struct rw_str rw_arena_str (struct rw_arena *arena, struct rw_str s);
struct rw_str rw_arena_printf (struct rw_arena *arena, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
char *rw_arena_cstr (struct rw_arena *arena, struct rw_str s);

/* Makes the heap return large blocks to the system when they are freed.  The
   C library otherwise raises the size from which it does so.  For the start of
   a daemon.  */
void rw_return_large_blocks (void);

/* Heap allocation.  These functions abort the process when memory runs out,
   and so does every function that allocates through them.  */
void *rw_xmalloc (size_t size);
void *rw_xcalloc (size_t count, size_t size);
void *rw_xrealloc (void *ptr, size_t size);

/* A byte buffer on the heap that grows as needed.  */
struct rw_buf
{
  char *ptr;
  size_t len;
  size_t cap;
};

void rw_buf_init (struct rw_buf *buf);
void rw_buf_finish (struct rw_buf *buf);
void rw_buf_append (struct rw_buf *buf, const void *data, size_t len);
void rw_buf_append_str (struct rw_buf *buf, struct rw_str s);
void rw_buf_printf (struct rw_buf *buf, const char *fmt, ...)
    __attribute__ ((format (printf, 2, 3)));
void rw_buf_consume (struct rw_buf *buf, size_t len);
struct rw_str rw_buf_str (const struct rw_buf *buf);
size_t rw_buf_need (const struct rw_buf *buf, size_t extra);

/* Error numbers, always returned negative, besides those of errno.h.  */
enum rw_errno
{
  RW_E_PARSE = -1001,      /* malformed input */
  RW_E_RANGE = -1002,      /* a value outside its valid range */
  RW_E_NOT_NEWER = -1003,  /* a version not above the active one */
  RW_E_NOT_HOLDER = -1004, /* this daemon does not hold the target */
  RW_E_SNAPSHOT = -1005,   /* another snapshot than the requested one */
  RW_E_SHED = -1006,       /* refused by the target because of load */
  RW_E_QUEUE_FULL = -1007,
  RW_E_DEADLINE = -1008,  /* no time left until the deadline */
  RW_E_BUDGET = -1009,    /* the retry budget is exhausted */
  RW_E_OUT = -1010,       /* data centre out, or target leaving */
  RW_E_RESET = -1011,     /* the connection broke */
  RW_E_MISMATCH = -1012,  /* the answer belongs to another request */
  RW_E_DUPLICATE = -1013, /* a once request seen before */
  RW_E_STOPPING = -1014,  /* the daemon is shutting down */
  RW_E_NOT_FOUND = -1015
};

const char *rw_strerror (int code);

/* An error with the step and the peer at which it arose.  Texts are
   NUL-terminated and cut to fit.  */
struct rw_err
{
  int code; /* 0, or a negative error number */
  char step[32];
  char peer[64];
  char detail[160];
};

int rw_err_set (struct rw_err *err, int code, const char *step,
                struct rw_str peer, const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));
struct rw_str rw_err_format (const struct rw_err *err, char *buf, size_t size);

/* A seeded random number generator.  The same seed gives the same sequence on
   every machine.  */
struct rw_rng
{
  uint64_t state[2];
};

void rw_rng_init (struct rw_rng *rng, uint64_t seed);
uint64_t rw_rng_next (struct rw_rng *rng);
uint64_t rw_rng_below (struct rw_rng *rng, uint64_t bound);
double rw_rng_unit (struct rw_rng *rng);
double rw_rng_exponential (struct rw_rng *rng, double mean);

/* The only hash functions of the system.  Their seed is fixed, so that all
   daemons compute the same value from the same name.  */
uint64_t rw_hash (struct rw_str s);
uint64_t rw_hash_pair (struct rw_str a, struct rw_str b);
uint64_t rw_hash_u64 (uint64_t a, uint64_t b);

/* A log-linear histogram of microseconds, from 1 us to about 70 minutes, with
   a relative error below 1/32.  Larger values count in the last bucket.  */
#define RW_HIST_SUB_BUCKETS 32
#define RW_HIST_BUCKET_COUNT (28 * RW_HIST_SUB_BUCKETS)
struct rw_hist
{
  uint64_t count;
  uint64_t sum;
  rw_time max;
  uint32_t bucket[RW_HIST_BUCKET_COUNT];
};

void rw_hist_init (struct rw_hist *hist);
void rw_hist_add (struct rw_hist *hist, rw_time usec);
void rw_hist_merge (struct rw_hist *hist, const struct rw_hist *other);
rw_time rw_hist_quantile (const struct rw_hist *hist, double q);

/* A hash map from numbers to pointers, with linear probing.  The items belong
   to the caller.  */
struct rw_map_slot
{
  uint64_t key;
  void *item; /* null: the slot is free */
};
struct rw_map
{
  struct rw_map_slot *slots;
  size_t cap; /* 0 or a power of two */
  size_t len;
};

void rw_map_init (struct rw_map *map);
void rw_map_finish (struct rw_map *map);
void *rw_map_get (const struct rw_map *map, uint64_t key);
void rw_map_put (struct rw_map *map, uint64_t key, void *item);
void *rw_map_remove (struct rw_map *map, uint64_t key);
void *rw_map_next (const struct rw_map *map, size_t *position);

/* A revision of the platform's store.  A store that is restored from an older
   copy loses changes and gives their numbers out again, in a new era.  A
   revision therefore holds the era above the store's number, so that revisions
   compare as integers in the order of what is newer.  Without eras it is the
   store's number.  */
#define RW_ERA_MAX ((1 << 20) - 1)
/* Sets *REVISION from an era and the store's number in it.  Returns 0, or
   RW_E_RANGE if ERA is not in 0 to RW_ERA_MAX or NUMBER not in 0 to 2^43 - 1.
 */
int rw_revision_make (int64_t era, int64_t number, int64_t *revision);
int64_t rw_revision_era (int64_t revision);
int64_t rw_revision_number (int64_t revision);

/* A priority queue of items by time, for timers and events, as a binary heap.
   Entries of equal time are popped in the order in which they were pushed.  */
struct rw_heap_entry
{
  rw_time at;
  uint64_t order; /* number of the push; orders entries of equal time */
  void *item;
};
struct rw_heap
{
  struct rw_heap_entry *entries;
  size_t len;
  size_t cap;
  uint64_t next_order;
};

void rw_heap_init (struct rw_heap *heap);
void rw_heap_finish (struct rw_heap *heap);
void rw_heap_push (struct rw_heap *heap, rw_time at, void *item);
rw_time rw_heap_next_time (const struct rw_heap *heap);
void *rw_heap_pop (struct rw_heap *heap, rw_time *at);

#endif
