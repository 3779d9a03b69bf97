#include "fuzz.h"
#include "gossip.h"
#include "replica.h"

/* Datagrams and transfers of peers.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rw_arena arena;
  struct gos_message message;
  struct rep_transfer transfer;
  struct rw_err err;
  struct rw_str text = { (const char *)data, size };
  if (gos_decode (text, &message, &err) == 0)
    FUZZ_CHECK (message.count <= GOS_MAX_ENTRIES && message.revision >= 0);
  rw_arena_init (&arena, 4096);
  (void)rep_unpack (&arena, text, &transfer, &err);
  rw_arena_finish (&arena);
  return 0;
}

FUZZ_SAMPLES ("RWG\001")
