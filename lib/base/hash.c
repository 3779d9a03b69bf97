#include "base.h"

#include <xxhash.h>

/* Fixed, because every daemon must compute the same values.  */
#define HASH_SEED UINT64_C (0x72656477696e67)

/* Returns the hash of S, the same in every daemon.  */
uint64_t
rw_hash (struct rw_str s)
{
  return XXH64 (s.len != 0 ? s.ptr : "", s.len, HASH_SEED);
}

/* Returns the hash of an ordered pair.  The strings are hashed separately, so
   that ("ab", "c") and ("a", "bc") differ.  */
uint64_t
rw_hash_pair (struct rw_str a, struct rw_str b)
{
  return rw_hash_u64 (rw_hash (a), rw_hash (b));
}

/* Returns the hash of an ordered pair of numbers.  */
uint64_t
rw_hash_u64 (uint64_t a, uint64_t b)
{
  uint64_t words[2] = { a, b };

  return XXH64 (words, sizeof words, HASH_SEED);
}
