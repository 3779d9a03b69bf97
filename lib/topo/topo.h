/* The platform's VM list and partition maps, and what rendezvous hashing
   derives from them: target groups, electorates, ranks and watchers.  */

#ifndef TOP_TOPO_H
#define TOP_TOPO_H

#include "base.h"

#define TOP_ELECTORATE_MAX 5          /* members of an electorate */
#define TOP_GROUPS_MAX 4096           /* target groups of a data centre */
#define TOP_NAME_MAX 63               /* bytes of a name */
#define TOP_SNAPSHOT_MAX 63           /* bytes of a snapshot's name */
#define TOP_DOC_MAX ((size_t)1 << 20) /* bytes of a document */

enum top_vm_state
{
  TOP_VM_LIVE,
  TOP_VM_LEAVING
};

/* A VM that runs a daemon.  Electorates and lease messages identify it by ID,
   which is rw_hash (name).  */
struct top_vm
{
  struct rw_str name;
  struct rw_str dc;
  struct rw_str region; /* empty: the list names none */
  struct rw_str addr;   /* numeric IP address */
  uint16_t rpc_port;    /* TCP port of RPC and UDP port of probes */
  enum top_vm_state state;
  uint64_t id;
};

/* A data centre with at least one VM.  Its VMs are VM_COUNT elements of
   top_vms.vms from the index FIRST_VM on.  */
struct top_dc
{
  struct rw_str name;
  struct rw_str region;
  size_t first_vm;
  size_t vm_count;
  size_t live_count; /* VMs in state TOP_VM_LIVE */
};

/* The VM list, immutable once parsed.  VMs are sorted by (dc, name), data
   centres by name.  The arena owns all strings and arrays.  */
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

/* Parses the document "vms".  Returns 0, or RW_E_PARSE or RW_E_RANGE with ERR
   (may be null) naming the position in the document; then VMS is empty.  On
   success the caller frees VMS with top_vms_finish.  */
int top_vms_init (struct top_vms *vms, uint64_t version, struct rw_str body,
                  struct rw_err *err);
void top_vms_finish (struct top_vms *vms);
/* These functions return null if there is no such VM, or no VM in the data
   centre.  */
const struct top_vm *top_vm_by_name (const struct top_vms *vms,
                                     struct rw_str name);
const struct top_vm *top_vm_by_id (const struct top_vms *vms, uint64_t id);
const struct top_dc *top_dc_by_name (const struct top_vms *vms,
                                     struct rw_str name);

/* A searcher, to which parts of queries are sent.  ID is rw_hash (name).  */
struct top_target
{
  struct rw_str name;
  struct rw_str dc;
  struct rw_str addr; /* numeric IP address */
  uint16_t port;
  uint64_t id;
};

/* One shard.  */
struct top_shard
{
  const uint32_t *replicas; /* indices in top_map.targets */
  size_t replica_count;
};

/* The partition map of a service, immutable once parsed.  Targets are sorted
   by name.  The arena owns all strings and arrays.  */
struct top_map
{
  struct rw_arena arena;
  uint64_t version;
  struct rw_str service;
  struct rw_str snapshot;
  struct rw_str region; /* empty: the map names none */
  struct top_shard *shards;
  size_t shard_count;
  struct top_target *targets;
  size_t target_count;
};

/* Parses the document KEY, "map/SERVICE".  Returns 0, or RW_E_PARSE,
   RW_E_RANGE or RW_E_MISMATCH (the document is of another service) with ERR
   (may be null) naming the position in the document; then MAP is empty.  On
   success the caller frees MAP with top_map_finish.  */
int top_map_init (struct top_map *map, uint64_t version, struct rw_str key,
                  struct rw_str body, struct rw_err *err);
void top_map_finish (struct top_map *map);
/* Returns the target NAME or null.  */
const struct top_target *top_target_by_name (const struct top_map *map,
                                             struct rw_str name);
/* Returns the index of the shard that serves the once request with the
   Idempotency-Key KEY.  MAP has at least one shard.  */
size_t top_shard_of_key (const struct top_map *map, struct rw_str key);

/* The VMs that vote on the leases of one target group.  Members are sorted by
   id, so that the same members always have the same hash.  The hash covers the
   data centre, the number of groups, the group and the members, and is never
   0.  */
struct top_electorate
{
  uint64_t group_key;   /* top_group_key (dc, group) */
  uint64_t dc_id;       /* rw_hash (dc) */
  uint32_t group_count; /* groups of the data centre */
  uint32_t group;       /* 0 to group_count - 1 */
  uint64_t hash;
  uint64_t members[TOP_ELECTORATE_MAX]; /* VM ids */
  size_t member_count;                  /* 0: no VM can hold the group */
};

/* Returns the group of a target: 0 to GROUP_COUNT - 1, or 0 if GROUP_COUNT is
   0.  */
uint32_t top_group_of (uint64_t target_id, uint32_t group_count);
/* Returns the key that identifies the group in lease messages.  */
uint64_t top_group_key (struct rw_str dc, uint32_t group);
/* Computes the electorate of GROUP, one of GROUP_COUNT groups of the data
   centre DC: its TOP_ELECTORATE_MAX live VMs (all, if fewer) with the highest
   rendezvous hash of (data centre, group, VM).  If DC has no live VM, those of
   the data centre with the most live VMs vote instead.  That one is in the
   region of DC on the VM list or, if DC is not on it, in REGION; an empty
   region allows all.  */
void top_electorate (const struct top_vms *vms, struct rw_str dc,
                     struct rw_str region, uint32_t group_count,
                     uint32_t group, struct top_electorate *electorate);
/* Returns the rendezvous hash of (target, VM).  The VM with the highest hash
   ranks first for the target; of equal hashes, the one with the higher id.  */
uint64_t top_rank_hash (uint64_t target_id, uint64_t vm_id);
/* Whether VM_A ranks before VM_B for the target.  */
bool top_outranks (uint64_t target_id, uint64_t vm_a, uint64_t vm_b);
/* Writes the electorate's members in rank order to RANKED; the first is the
   preferred holder.  Elements beyond member_count are 0.  */
void top_rank_members (const struct top_electorate *electorate,
                       uint64_t target_id,
                       uint64_t ranked[TOP_ELECTORATE_MAX]);

/* Whether the VM SELF is one of the two watchers of KEY in its data centre:
   those with the highest rendezvous hash of (key, VM) among the VMs for which
   ALIVE returns true.  If ALIVE is null, these are the VMs in state
   TOP_VM_LIVE.  */
bool top_is_watcher (const struct top_vms *vms, struct rw_str key,
                     const struct top_vm *self,
                     bool (*alive) (void *arg, const struct top_vm *vm),
                     void *arg);

#endif
