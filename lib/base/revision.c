#include "base.h"

/* The low bits of a revision hold the store's own number, those above it the
   era.  */
#define NUMBER_BITS 43

int
rw_revision_make (int64_t era, int64_t number, int64_t *revision)
{
  if (era < 0 || era > RW_ERA_MAX || number < 0 || number >> NUMBER_BITS != 0)
    return RW_E_RANGE;
  *revision = era << NUMBER_BITS | number;
  return 0;
}

int64_t
rw_revision_era (int64_t revision)
{
  return revision >> NUMBER_BITS;
}

int64_t
rw_revision_number (int64_t revision)
{
  return revision & ((INT64_C (1) << NUMBER_BITS) - 1);
}
