#include "fuzz.h"
#include "topo.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct top_map map;
  struct rw_err err;

  if (top_map_init (&map, 1, RW_LIT ("map/s"),
                    (struct rw_str){ (const char *)data, size }, &err)
      < 0)
    return 0;
  for (size_t i = 0; i < map.shard_count; i++)
    {
      FUZZ_CHECK (map.shards[i].replica_count > 0);
      for (size_t j = 0; j < map.shards[i].replica_count; j++)
        FUZZ_CHECK (map.shards[i].replicas[j] < map.target_count);
    }
  for (size_t i = 0; i < map.target_count; i++)
    FUZZ_CHECK (top_target_by_name (&map, map.targets[i].name)
                == &map.targets[i]);
  FUZZ_CHECK (map.shard_count == 0
              || top_shard_of_key (&map, RW_LIT ("k")) < map.shard_count);
  top_map_finish (&map);
  return 0;
}

FUZZ_SAMPLES (
    "{\"service\":\"s\",\"snapshot\":\"s41\",\"shards\":[[\"a\",\"b\"],"
    "[\"b\"]],\"targets\":[{\"name\":\"a\",\"dc\":\"x\",\"addr\":"
    "\"127.0.0.1\",\"port\":9001},{\"name\":\"b\",\"dc\":\"y\",\"addr\":"
    "\"127.0.0.1\",\"port\":9002}]}")
