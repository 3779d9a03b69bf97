/* A daemon's copy of the store's items in memory, and its transfer between
   daemons.  A copy at revision R has every change up to R; single items may be
   newer.  An item is never replaced by an older one.

   Revisions hold the era of the store, see rw_revision_make.  In a new era the
   store has lost changes that a copy may have, so a copy enters an era only by
   a full read or a full transfer.  */

#ifndef REP_REPLICA_H
#define REP_REPLICA_H

#include "base.h"

struct rep_item
{
  struct rw_str key;
  int64_t revision;    /* of the item's last change */
  bool removed;        /* the item is a tombstone */
  struct rw_str value; /* empty if removed */
};

struct rep_replica
{
  struct rw_map items; /* struct rep_item by hash of the key, on the heap */
  int64_t revision;    /* 0: nothing was read yet */
  /* Tombstones up to this revision may be missing: they were dropped, or the
     items came and went between two full reads.  */
  int64_t purged_revision;
  size_t tombstone_count;
  uint64_t change_count; /* raised by each change of items or revision */
  /* The last packed transfer is kept for peers that ask for the same one.  */
  struct rw_buf packed;
  int64_t packed_after;
  uint64_t packed_change_count; /* when it was packed; 0: none was */
  uint64_t pack_count;          /* transfers packed so far */
};

/* Tombstones that are kept, so that a copy which is behind learns of removals
   without a full transfer.  */
#define REP_MAX_TOMBSTONES 2000
/* Larger items are not kept, since a transfer could not hold them.  */
#define REP_MAX_KEY_BYTES 512
#define REP_MAX_VALUE_BYTES (2U << 20)

void rep_init (struct rep_replica *replica);
void rep_finish (struct rep_replica *replica);
/* Stores a copy of ITEM.  Returns false, and stores nothing, if the replica
   has the item at the same or a newer revision, if ITEM is of an older era
   than the replica, or if ITEM is a removal so old that its tombstone may have
   been dropped.  */
bool rep_put (struct rep_replica *replica, const struct rep_item *item);
/* Raises the revision of the replica to REVISION, up to which the caller has
   put all changes.  A lower REVISION is ignored.  */
void rep_advance (struct rep_replica *replica, int64_t revision);
/* Returns the item of KEY, or a null pointer if it is removed or unknown.
   The item belongs to the replica and is valid until the next change.  */
const struct rep_item *rep_find (const struct rep_replica *replica,
                                 struct rw_str key);
/* Returns the next item that is not removed, in no order, or a null pointer at
   the end.  *POSITION starts at 0.  The replica must not change meanwhile.  */
const struct rep_item *rep_next (const struct rep_replica *replica,
                                 size_t *position);
/* Ends a full read of the store, or a full transfer.  LISTED has the hashes of
   all keys that it returned.  Each item that is not listed and not newer than
   REVISION becomes a tombstone at REVISION, and GONE is called for it.  GONE
   must not change the replica.  */
void rep_retain (struct rep_replica *replica, int64_t revision,
                 const struct rw_map *listed,
                 void (*gone) (void *arg, const struct rep_item *item),
                 void *arg);

/* The changes that bring another copy up to date.  */
struct rep_transfer
{
  int64_t revision; /* of the receiver's copy afterwards */
  bool full;        /* items that are not listed are removed */
  struct rep_item *items;
  size_t count;
};

/* Returns the changes after revision AFTER, packed.  All items are packed if
   AFTER is not positive or tombstones after it may have been dropped.  The
   result is empty if an item is too large to be encoded; it is valid until the
   next call or change.  */
struct rw_str rep_pack (struct rep_replica *replica, int64_t after);
/* Decodes a packed transfer.  The items, with their keys and values, are in
   ARENA.  Returns RW_E_PARSE if DATA is malformed or too long.  */
int rep_unpack (struct rw_arena *arena, struct rw_str data,
                struct rep_transfer *transfer, struct rw_err *err);

#endif
