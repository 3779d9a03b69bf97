/* The platform's VM list and partition maps, and what follows from them by
   rendezvous hashing: target groups, electorates, ranks and watchers.  */

#ifndef TOP_TOPO_H
#define TOP_TOPO_H

#include "base.h"

#define TOP_ELECTORATE_MAX 5
#define TOP_GROUPS_MAX 4096
#define TOP_NAME_MAX 63
#define TOP_SNAPSHOT_MAX 63
#define TOP_DOC_MAX ((size_t)1 << 20) /* bytes of one document */

enum top_vm_state
{
  TOP_VM_LIVE,
  TOP_VM_LEAVING
};

/* One VM of the system's own.  ID is rw_hash (name), by which electorates and
   lease messages name it.  */
struct top_vm
{
  struct rw_str name;
  struct rw_str dc;
  struct rw_str region; /* empty if the list does not say */
  struct rw_str addr;   /* numeric IP address */
  uint16_t rpc_port;    /* TCP port of the RPC, UDP port of the probes */
  enum top_vm_state state;
  uint64_t id;
};

/* A data centre that has VMs; its VMs are vms[first] up to first + count.  */
struct top_dc
{
  struct rw_str name;
  struct rw_str region;
  size_t first_vm;
  size_t vm_count;
  size_t live_count;
};

/* The VM list, immutable after the parse.  VMs are sorted by (dc, name), data
   centres by name.  */
struct top_vms
{
  struct rw_arena arena;
  uint64_t version;
  struct top_vm *vms;
  size_t vm_count;
  struct top_dc *dcs;
  size_t dc_count;
  const struct top_vm **by_id; /* sorted by id */
};

int top_vms_init (struct top_vms *vms, uint64_t version, struct rw_str body,
                  struct rw_err *err);
void top_vms_finish (struct top_vms *vms);
const struct top_vm *top_vm_by_name (const struct top_vms *vms,
                                     struct rw_str name);
const struct top_vm *top_vm_by_id (const struct top_vms *vms, uint64_t id);
const struct top_dc *top_dc_by_name (const struct top_vms *vms,
                                     struct rw_str name);

/* One searcher.  ID is rw_hash (name).  */
struct top_target
{
  struct rw_str name;
  struct rw_str dc;
  struct rw_str addr; /* numeric IP address */
  uint16_t port;
  uint64_t id;
};

/* The replicas of one shard, as indices into the map's targets.  */
struct top_shard
{
  const uint32_t *replicas;
  size_t replica_count;
};

/* One service's partition map, immutable after the parse.  Targets are sorted
   by name.  */
struct top_map
{
  struct rw_arena arena;
  uint64_t version;
  struct rw_str service;
  struct rw_str snapshot;
  struct rw_str region; /* empty if the map does not say */
  struct top_shard *shards;
  size_t shard_count;
  struct top_target *targets;
  size_t target_count;
};

int top_map_init (struct top_map *map, uint64_t version, struct rw_str key,
                  struct rw_str body, struct rw_err *err);
void top_map_finish (struct top_map *map);
const struct top_target *top_target_by_name (const struct top_map *map,
                                             struct rw_str name);
/* The shard that serves a once request with the given Idempotency-Key.  */
size_t top_shard_of_key (const struct top_map *map, struct rw_str key);

/* The voters of one target group.  Members are sorted by id, so that equal
   hashes mean equal order.  The hash covers the data centre, the number of
   groups, the group and the members, and is never 0.  */
struct top_electorate
{
  uint64_t group_key;   /* top_group_key (dc, group) */
  uint64_t dc_id;       /* rw_hash (dc) */
  uint32_t group_count; /* number of groups of the data centre */
  uint32_t group;
  uint64_t hash;
  uint64_t members[TOP_ELECTORATE_MAX]; /* VM ids */
  size_t member_count;                  /* 0: no VM can hold the group */
};

uint32_t top_group_of (uint64_t target_id, uint32_t groups);
uint64_t top_group_key (struct rw_str dc, uint32_t group);
void top_electorate (const struct top_vms *vms, struct rw_str dc,
                     struct rw_str region, uint32_t groups, uint32_t group,
                     struct top_electorate *electorate);
/* Rank of a VM for a target: the higher value ranks first; ties by id.  */
uint64_t top_rank_value (uint64_t target_id, uint64_t vm_id);
bool top_outranks (uint64_t target_id, uint64_t vm_a, uint64_t vm_b);
/* Writes the electorate's members in rank order to RANKED.  */
void top_rank_members (const struct top_electorate *electorate,
                       uint64_t target_id,
                       uint64_t ranked[TOP_ELECTORATE_MAX]);

/* Whether the VM SELF is one of the two watchers of KEY in its data centre.
   ALIVE (may be null: all live VMs) tells which members are considered alive.
 */
bool top_is_watcher (const struct top_vms *vms, struct rw_str key,
                     const struct top_vm *self,
                     bool (*alive) (void *arg, const struct top_vm *vm),
                     void *arg);

#endif
