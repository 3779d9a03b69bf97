/* The records of a searcher's answer: 16 bytes each, a function of searcher,
   request and number, so that a test can tell a right answer from a wrong
   one.  */

#ifndef SITE_RECORD_H
#define SITE_RECORD_H

#include "base.h"

#define SITE_RECORDS 25
#define SITE_RECORD_SIZE 16

static inline void
site_record (struct rw_buf *out, struct rw_str searcher, struct rw_str request,
             uint64_t number)
{
  rw_buf_printf (out, "%016llx",
                 (unsigned long long)rw_hash_u64 (
                     rw_hash (request), rw_hash (searcher) + number));
}

#endif
