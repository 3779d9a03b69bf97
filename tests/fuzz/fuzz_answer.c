#include "fuzz.h"
#include "query.h"

#include <math.h>

/* Records that were read are written as JSON that is read as the same
   records.  */
static void
check_records (const struct qry_reply_part *part, struct rw_arena *arena)
{
  struct rw_buf out;
  struct qry_record *again;
  struct rw_err err;
  size_t count;

  rw_buf_init (&out);
  for (size_t i = 0; i < part->record_count; i++)
    FUZZ_CHECK (isfinite (part->records[i].score));
  qry_encode_records (part->records, part->record_count, &out);
  FUZZ_CHECK (
      qry_parse_records (rw_buf_str (&out), arena, &again, &count, &err) == 0);
  FUZZ_CHECK (count == part->record_count);
  for (size_t i = 0; i < count; i++)
    FUZZ_CHECK (rw_str_eq (again[i].id, part->records[i].id)
                && rw_str_eq (again[i].text, part->records[i].text));
  rw_buf_finish (&out);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rw_str json = { (const char *)data, size };
  struct rw_arena arena;
  struct qry_reply reply;
  struct rw_str snapshot;
  struct rw_err err;

  rw_arena_init (&arena, 4096);
  if (qry_parse_reply (json, &arena, &reply, &err) == 0)
    for (size_t i = 0; i < reply.part_count; i++)
      check_records (&reply.parts[i], &arena);
  qry_parse_snapshot_refusal (json, &arena, &snapshot);
  rw_arena_finish (&arena);
  return 0;
}

FUZZ_SAMPLES (
    "{\"target\":\"pd-01\",\"incarnation\":\"cf6cc5f500d0ab6f\","
    "\"snapshot\":\"s1\",\"shard\":0,\"load\":50,\"results\":[{\"id\":"
    "\"1\",\"records\":[{\"id\":\"r\",\"score\":0.28,\"text\":\"x\"}]},"
    "{\"id\":\"2\",\"records\":[]}]}",
    "{\"snapshot\":\"s2\",\"ran\":\"no\"}")
