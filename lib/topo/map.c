#include "topo.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "json.h"

#define SHARDS_MAX 10000
#define TARGETS_MAX 20000 /* twice the searchers expected in two years */
#define REPLICAS_MAX 64   /* of one shard */
#define ARENA_BLOCK_SIZE 16384

static int
parse_target (const struct top_doc *doc, const json_t *item, size_t index,
              struct top_target *target)
{
  char path[32];
  int rc;

  snprintf (path, sizeof path, "targets[%zu]", index);
  if ((rc = top_json_name (doc, item, path, "name", &target->name)) != 0
      || (rc = top_json_name (doc, item, path, "dc", &target->dc)) != 0
      || (rc = top_json_addr (doc, item, path, &target->addr)) != 0
      || (rc = top_json_port (doc, item, path, "port", &target->port)) != 0)
    return rc;
  target->id = rw_hash (target->name);
  return 0;
}

static int
compare_targets (const void *a, const void *b)
{
  return rw_str_cmp (((const struct top_target *)a)->name,
                     ((const struct top_target *)b)->name);
}

/* Parses the targets, sorts them by name and rejects names that appear twice.
 */
static int
parse_targets (const struct top_doc *doc, struct top_map *map,
               const json_t *root)
{
  json_t *array;
  int rc = top_json_array (doc, root, "", "targets", TARGETS_MAX, &array);

  if (rc != 0)
    return rc;
  map->targets = rw_arena_zalloc (doc->arena, json_array_size (array),
                                  sizeof *map->targets);
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      rc = parse_target (doc, json_array_get (array, i), i, &map->targets[i]);
      if (rc != 0)
        return rc;
      map->target_count++;
    }
  if (map->target_count > 1)
    qsort (map->targets, map->target_count, sizeof *map->targets,
           compare_targets);
  for (size_t i = 1; i < map->target_count; i++)
    if (rw_str_eq (map->targets[i].name, map->targets[i - 1].name))
      return rw_err_set (doc->err, RW_E_PARSE, "parse document", doc->key,
                         "targets: the name \"%.*s\" appears twice",
                         RW_STR_ARG (map->targets[i].name));
  return 0;
}

static bool
contains (const uint32_t *indices, size_t count, uint32_t index)
{
  for (size_t i = 0; i < count; i++)
    if (indices[i] == index)
      return true;
  return false;
}

/* Parses the name of a target and returns the target's index in *INDEX.  */
static int
parse_replica (const struct top_doc *doc, const struct top_map *map,
               const json_t *item, const char *path, uint32_t *index)
{
  const struct top_target *target;
  struct rw_str name;

  if (!json_is_string (item))
    return top_json_fail (doc, RW_E_PARSE, path, "", "expected a string");
  name
      = (struct rw_str){ json_string_value (item), json_string_length (item) };
  target = top_target_by_name (map, name);
  if (target == NULL)
    return rw_err_set (doc->err, RW_E_PARSE, "parse document", doc->key,
                       "%s: \"%.*s\" is not in targets", path,
                       (int)(name.len < 64 ? name.len : 64), name.ptr);
  *index = (uint32_t)(target - map->targets);
  return 0;
}

static int
parse_shard (const struct top_doc *doc, const struct top_map *map,
             const json_t *item, size_t index, struct top_shard *shard)
{
  size_t count = json_array_size (item);
  uint32_t *replicas;
  char path[48];

  snprintf (path, sizeof path, "shards[%zu]", index);
  if (!json_is_array (item))
    return top_json_fail (doc, RW_E_PARSE, path, "", "expected an array");
  if (count == 0 || count > REPLICAS_MAX)
    return top_json_fail (doc, RW_E_RANGE, path, "",
                          "expected 1 to 64 replicas");
  replicas = rw_arena_zalloc (doc->arena, count, sizeof *replicas);
  for (size_t i = 0; i < count; i++)
    {
      int rc;

      snprintf (path, sizeof path, "shards[%zu][%zu]", index, i);
      rc = parse_replica (doc, map, json_array_get (item, i), path,
                          &replicas[i]);
      if (rc != 0)
        return rc;
      if (contains (replicas, i, replicas[i]))
        return top_json_fail (doc, RW_E_PARSE, path, "",
                              "the replica appears twice");
    }
  *shard = (struct top_shard){ replicas, count };
  return 0;
}

static int
parse_shards (const struct top_doc *doc, struct top_map *map,
              const json_t *root)
{
  json_t *array;
  int rc = top_json_array (doc, root, "", "shards", SHARDS_MAX, &array);

  if (rc != 0)
    return rc;
  if (json_array_size (array) == 0)
    return top_json_fail (doc, RW_E_RANGE, "", "shards",
                          "expected at least one shard");
  map->shards = rw_arena_zalloc (doc->arena, json_array_size (array),
                                 sizeof *map->shards);
  for (size_t i = 0; i < json_array_size (array); i++)
    {
      rc = parse_shard (doc, map, json_array_get (array, i), i,
                        &map->shards[i]);
      if (rc != 0)
        return rc;
      map->shard_count++;
    }
  return 0;
}

/* Checks that the key is "map/" and the name of the service in the document.
 */
static int
check_key (const struct top_doc *doc, const struct top_map *map)
{
  struct rw_str prefix = RW_LIT ("map/");
  struct rw_str rest = doc->key;

  if (rw_str_starts (rest, prefix))
    {
      rest.ptr += prefix.len;
      rest.len -= prefix.len;
      if (rw_str_eq (rest, map->service))
        return 0;
    }
  return top_json_fail (doc, RW_E_MISMATCH, "", "service",
                        "does not match the key of the document");
}

static int
parse_map (const struct top_doc *doc, struct top_map *map, const json_t *root)
{
  int rc;

  if ((rc = top_json_name (doc, root, "", "service", &map->service)) != 0
      || (rc = check_key (doc, map)) != 0
      || (rc = top_json_str (doc, root, "", "snapshot", TOP_SNAPSHOT_MAX,
                             &map->snapshot))
             != 0
      || (rc = top_json_optional_name (doc, root, "", "region", &map->region))
             != 0
      || (rc = parse_targets (doc, map, root)) != 0)
    return rc;
  return parse_shards (doc, map, root);
}

int
top_map_init (struct top_map *map, uint64_t version, struct rw_str key,
              struct rw_str body, struct rw_err *err)
{
  struct top_doc doc = { key, &map->arena, err };
  json_t *root = NULL;
  int rc;

  memset (map, 0, sizeof *map);
  map->version = version;
  rw_arena_init (&map->arena, ARENA_BLOCK_SIZE);
  rc = top_json_load (&doc, body, &root);
  if (rc == 0)
    rc = parse_map (&doc, map, root);
  json_decref (root);
  if (rc != 0)
    top_map_finish (map);
  return rc;
}

/* Frees the map and makes it empty.  */
void
top_map_finish (struct top_map *map)
{
  rw_arena_finish (&map->arena);
  map->targets = NULL;
  map->shards = NULL;
  map->target_count = 0;
  map->shard_count = 0;
}

const struct top_target *
top_target_by_name (const struct top_map *map, struct rw_str name)
{
  struct top_target key = { .name = name };

  if (map->target_count == 0)
    return NULL;
  return bsearch (&key, map->targets, map->target_count, sizeof *map->targets,
                  compare_targets);
}

size_t
top_shard_of_key (const struct top_map *map, struct rw_str key)
{
  return (size_t)(rw_hash (key) % map->shard_count);
}
