/* A copy of the store's items in memory, and its transfer between daemons.
   The copy at revision R has every change up to R; single items may be newer.
   No item is ever replaced by an older one.  */

#ifndef REP_REPLICA_H
#define REP_REPLICA_H

#include "base.h"

struct rep_item
{
  struct rw_str key;
  int64_t revision;
  bool removed;
  struct rw_str value; /* empty if removed */
};

struct rep_replica
{
  struct rw_map items; /* struct rep_item by hash of the key, on the heap */
  int64_t revision;    /* 0: nothing was read yet */
  int64_t purged_revision; /* removals up to it may have been dropped */
  size_t tombstone_count;
  uint64_t change_count; /* counts them */
  struct rw_buf packed;  /* the last transfer, for those who ask the same */
  int64_t packed_after;
  uint64_t packed_change_count; /* 0: none was packed */
  uint64_t pack_count;
};

/* Removed items that are remembered, so that a copy which is behind learns of
   them without a full transfer.  */
#define REP_MAX_TOMBSTONES 2000

void rep_init (struct rep_replica *replica);
void rep_finish (struct rep_replica *replica);
/* Takes over a copy of ITEM; returns false if what is known is not older.  */
bool rep_put (struct rep_replica *replica, const struct rep_item *item);
/* All changes up to REVISION are known now.  */
void rep_advance (struct rep_replica *replica, int64_t revision);
const struct rep_item *rep_find (const struct rep_replica *replica,
                                 struct rw_str key);
/* The next item that is not removed, in no order; null at the end.  */
const struct rep_item *rep_next (const struct rep_replica *replica,
                                 size_t *position);
/* Marks as removed at REVISION what is not newer and whose key's hash is not
   in LISTED.  Calls GONE for each.  */
void rep_retain (struct rep_replica *replica, int64_t revision,
                 const struct rw_map *listed,
                 void (*gone) (void *arg, const struct rep_item *item),
                 void *arg);

/* Changes from one copy to another.  */
struct rep_transfer
{
  int64_t revision; /* that the receiver has afterwards */
  bool full;        /* what is not among the items is gone */
  struct rep_item *items;
  size_t count;
};

/* The changes after revision AFTER, packed; valid until the next call and the
   next change.  */
struct rw_str rep_pack (struct rep_replica *replica, int64_t after);
int rep_unpack (struct rw_arena *arena, struct rw_str data,
                struct rep_transfer *transfer, struct rw_err *err);

#endif
