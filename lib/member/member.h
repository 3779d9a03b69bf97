/* Membership: probes in random round robin order, suspicion, and changes
   piggybacked on probes and acks.  Its view is a hint for routing and for the
   choice of watchers; leases do not depend on it.  */

#ifndef MEM_MEMBER_H
#define MEM_MEMBER_H

#include "base.h"

#define MEM_NAME_MAX 63
#define MEM_ADDR_MAX 45
#define MEM_CHANGES_MAX 8 /* changes in one message */
#define MEM_PROBE_INTERVAL (500 * RW_MSEC)
#define MEM_ACK_TIMEOUT (200 * RW_MSEC)
#define MEM_INDIRECT_PROBES 2
#define MEM_SUSPICION_TIMEOUT (1 * RW_SEC)
/* A suspected member is probed again at this interval by the daemon that
   suspects it, so that it hears of the suspicion in time to refute it.  */
#define MEM_RECHECK_INTERVAL (200 * RW_MSEC)
#define MEM_RETRANSMIT_FACTOR 3 /* times log2 n, for each change */
#define MEM_EXTRA_PROBES 3

enum mem_state
{
  MEM_ALIVE,
  MEM_SUSPECT,
  MEM_FAILED,
  MEM_LEAVING
};

/* A change of one member as the wire carries it.  Within one incarnation the
   higher counter wins, then the later state of the enumeration.  Incarnations
   have no order: a change of another one is believed only if it says that the
   member is alive, and the known one is not or was never heard of; else only
   a message of the member itself replaces its incarnation.  */
struct mem_change
{
  char name[MEM_NAME_MAX + 1];
  char addr[MEM_ADDR_MAX + 1];
  uint16_t port;
  uint64_t incarnation;
  uint32_t counter;
  enum mem_state state;
};

struct mem_settings
{
  struct rw_str name; /* copied */
  struct rw_str addr; /* copied */
  uint16_t port;
  uint64_t incarnation;
  uint64_t rng_seed;
};

struct mem_entry
{
  char name[MEM_NAME_MAX + 1];
  char addr[MEM_ADDR_MAX + 1];
  uint16_t port;
  uint64_t id;          /* rw_hash (name) */
  uint64_t incarnation; /* 0: never heard of */
  uint32_t counter;
  enum mem_state state;
  bool on_vm_list;         /* on the VM list */
  bool leaving_on_vm_list; /* leaving, according to the VM list */
  rw_time state_since;     /* of the state */
  rw_time last_heard;      /* last message from it, 0: never */
  rw_time suspect_until;   /* MEM_SUSPECT: when it counts as failed */
  rw_time
      next_recheck; /* when to probe it again, if suspected by this daemon */
  unsigned int sends_left; /* remaining broadcasts of its change */
};

/* A probe on its way.  */
struct mem_probe
{
  bool active;
  unsigned int requests_left; /* indirect probes still to send */
  bool direct_timed_out;      /* the time for the direct ack has passed */
  uint64_t target_id;         /* member */
  uint32_t seq;
  rw_time sent_at;
  rw_time deadline;
};

struct mem_relay
{
  bool active;
  uint32_t own_seq;       /* of our probe */
  uint32_t requester_seq; /* of the requester */
  uint64_t requester_id;
  rw_time deadline;
};

#define MEM_PROBES_MAX 8
#define MEM_RELAYS_MAX 32

struct mem_members
{
  struct mem_settings settings;
  char own_name[MEM_NAME_MAX + 1];
  char own_addr[MEM_ADDR_MAX + 1];
  uint64_t own_id;
  struct rw_rng rng;
  struct mem_entry *entries; /* sorted by id, without this daemon */
  size_t count;
  size_t cap;
  uint32_t own_counter; /* of this daemon, raised to refute */
  enum mem_state own_state;
  unsigned int own_sends_left;
  uint32_t next_seq;
  uint64_t *probe_order; /* ids in the order of the present round */
  size_t probe_order_len;
  size_t probe_order_pos;
  rw_time next_probe;
  rw_time next_member_timer;      /* no suspicion or recheck is due before */
  unsigned int extra_probes_left; /* extra probes to send at once */
  struct mem_probe probes[MEM_PROBES_MAX];
  struct mem_relay relays[MEM_RELAYS_MAX];
};

enum mem_send_kind
{
  MEM_SEND_NONE,
  MEM_SEND_PROBE,        /* send a probe with SEQ to MEMBER */
  MEM_SEND_PROBE_REQUEST /* ask VIA to probe MEMBER and to pass on its ack as
                            SEQ */
};

/* One thing to send.  The pointers are valid until the next call that changes
   the members.  */
struct mem_send
{
  enum mem_send_kind kind;
  uint32_t seq;
  const struct mem_entry *target;
  const struct mem_entry *via; /* MEM_SEND_PROBE_REQUEST */
};

void mem_init (struct mem_members *members, const struct mem_settings *s,
               rw_time now);
void mem_finish (struct mem_members *members);

/* The candidates of a new VM list: mem_list_begin, mem_list_add for each VM,
   mem_list_end.  */
void mem_list_begin (struct mem_members *members);
void mem_list_add (struct mem_members *members, struct rw_str name,
                   struct rw_str addr, uint16_t port, bool leaving,
                   rw_time now);
void mem_list_end (struct mem_members *members);

/* What to send now; call until MEM_SEND_NONE.  */
void mem_tick (struct mem_members *members, rw_time now, struct mem_send *out);
rw_time mem_next_tick (const struct mem_members *members);
/* Asks for MEM_EXTRA_PROBES probes of random members at once.  */
void mem_send_extra_probes (struct mem_members *members);

/* Fills CHANGES with at most MEM_CHANGES_MAX changes to piggyback on a message
   to the member TO (its name) and counts them as sent.  */
size_t mem_pick_changes (struct mem_members *members, struct rw_str to,
                         struct mem_change changes[MEM_CHANGES_MAX]);
/* Any message from a member: it is alive with this incarnation.  */
void mem_on_message (struct mem_members *members, struct rw_str name,
                     uint64_t incarnation, rw_time now);
void mem_on_changes (struct mem_members *members,
                     const struct mem_change *changes, size_t count,
                     rw_time now);
/* An ack of the probe SEQ, direct or passed on.  If the ack answers a probe
   that was sent for another member, returns true: pass it on as *SEQ_OUT to
   *REQUESTER.  */
bool mem_on_ack (struct mem_members *members, uint32_t seq, rw_time now,
                 const struct mem_entry **requester, uint32_t *seq_out);
/* A request to probe TARGET for REQUESTER; OUT is the probe to send, or
   MEM_SEND_NONE.  */
void mem_on_probe_request (struct mem_members *members,
                           struct rw_str requester, struct rw_str target,
                           uint32_t seq, rw_time now, struct mem_send *out);
/* Announces that this daemon is leaving.  */
void mem_leave (struct mem_members *members);

const struct mem_entry *mem_find (const struct mem_members *members,
                                  struct rw_str name);
const struct mem_entry *mem_find_id (const struct mem_members *members,
                                     uint64_t id);
/* Alive or suspect and a candidate: usable for routing.  This daemon itself
   counts as alive unless it is leaving.  */
bool mem_is_usable (const struct mem_members *members, struct rw_str name);
size_t mem_count (const struct mem_members *members);
size_t mem_usable_count (const struct mem_members *members);
const struct mem_entry *mem_at (const struct mem_members *members,
                                size_t index);
const char *mem_state_name (enum mem_state state);

#endif
