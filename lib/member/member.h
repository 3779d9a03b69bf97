/* Membership by probes in the manner of SWIM: each daemon probes the others in
   a random round-robin order, suspects those that do not answer, and
   piggybacks changes on probes and acks.  The view is a hint for routing and
   for the choice of watchers; leases do not depend on it.  */

#ifndef MEM_MEMBER_H
#define MEM_MEMBER_H

#include "base.h"

#define MEM_NAME_MAX 63   /* bytes, without the final NUL */
#define MEM_ADDR_MAX 45   /* bytes, without the final NUL */
#define MEM_CHANGES_MAX 8 /* in one message */
#define MEM_PROBE_INTERVAL (500 * RW_MSEC)
#define MEM_ACK_TIMEOUT (200 * RW_MSEC)
#define MEM_INDIRECT_PROBES 2 /* probe requests after a missing ack */
#define MEM_SUSPICION_TIMEOUT (1 * RW_SEC)
/* The daemon that suspects a member probes it again at this interval, so that
   the member learns of the suspicion in time to refute it.  */
#define MEM_RECHECK_INTERVAL (200 * RW_MSEC)
/* Each change is sent this many times log2 of the number of members.  */
#define MEM_RETRANSMIT_FACTOR 3
#define MEM_EXTRA_PROBES 3 /* sent by one mem_send_extra_probes */

enum mem_state
{
  MEM_ALIVE,
  MEM_SUSPECT,
  MEM_FAILED,
  MEM_LEAVING
};

/* A change of one member, as sent in messages.  Within one incarnation, the
   change with the higher counter wins, then the one with the later state of
   the enumeration.  Incarnations are not ordered: a change of another
   incarnation is accepted if none is known, or if it says that the member is
   alive and the known incarnation has failed or is leaving.  Otherwise only a
   message from the member itself replaces its incarnation.  */
struct mem_change
{
  char name[MEM_NAME_MAX + 1];
  char addr[MEM_ADDR_MAX + 1];
  uint16_t port;
  uint64_t incarnation; /* of the member's process */
  uint32_t counter;     /* raised by the member to replace its change */
  enum mem_state state;
};

/* This daemon, as mem_init takes it.  */
struct mem_settings
{
  struct rw_str name; /* copied */
  struct rw_str addr; /* copied */
  uint16_t port;
  uint64_t incarnation;
  uint64_t rng_seed;
};

/* Another member.  */
struct mem_entry
{
  char name[MEM_NAME_MAX + 1];
  char addr[MEM_ADDR_MAX + 1];
  uint16_t port;
  uint64_t id;          /* rw_hash (name) */
  uint64_t incarnation; /* 0: not known yet */
  uint32_t counter;
  enum mem_state state;
  bool on_vm_list;
  bool leaving_on_vm_list; /* the VM list says that it is leaving */
  rw_time state_since;
  rw_time last_heard;      /* time of its last message, 0: none */
  rw_time suspect_until;   /* MEM_SUSPECT: when it counts as failed */
  rw_time next_recheck;    /* if this daemon suspects it, else RW_TIME_NEVER */
  unsigned int sends_left; /* of its change */
};

/* A probe in flight.  */
struct mem_probe
{
  bool active;
  unsigned int requests_left; /* probe requests to send */
  bool direct_timed_out;      /* no ack of the direct probe in time */
  uint64_t target_id;         /* the probed member */
  uint32_t seq;
  rw_time sent_at;
  rw_time deadline;
};

/* A probe that this daemon sends for another member.  */
struct mem_relay
{
  bool active;
  uint32_t own_seq;       /* of the probe that this daemon sent */
  uint32_t requester_seq; /* of the requester's probe */
  uint64_t requester_id;
  rw_time deadline;
};

#define MEM_PROBES_MAX 8  /* tracked at one time */
#define MEM_RELAYS_MAX 32 /* tracked at one time */

struct mem_members
{
  struct mem_settings settings; /* its strings are own_name and own_addr */
  char own_name[MEM_NAME_MAX + 1];
  char own_addr[MEM_ADDR_MAX + 1];
  uint64_t own_id;
  struct rw_rng rng;
  struct mem_entry *entries; /* sorted by id, without this daemon */
  size_t count;              /* of entries */
  size_t cap;
  uint32_t own_counter; /* raised to refute a change and by mem_leave */
  enum mem_state own_state;
  unsigned int own_sends_left; /* of this daemon's change */
  uint32_t next_seq;
  uint64_t *probe_order; /* ids in the order of the current round */
  size_t probe_order_len;
  size_t probe_order_pos;
  rw_time next_probe;
  rw_time next_member_timer;      /* no suspicion or recheck is due earlier */
  unsigned int extra_probes_left; /* to send at once */
  struct mem_probe probes[MEM_PROBES_MAX];
  struct mem_relay relays[MEM_RELAYS_MAX];
};

enum mem_send_kind
{
  MEM_SEND_NONE,
  MEM_SEND_PROBE,        /* send a probe with SEQ to TARGET */
  MEM_SEND_PROBE_REQUEST /* ask VIA to probe TARGET and to relay the ack with
                            SEQ */
};

/* One message to send.  The pointers are valid until the next call that
   changes the members.  */
struct mem_send
{
  enum mem_send_kind kind;
  uint32_t seq;
  const struct mem_entry *target;
  const struct mem_entry *via; /* MEM_SEND_PROBE_REQUEST only */
};

void mem_init (struct mem_members *members, const struct mem_settings *s,
               rw_time now);
void mem_finish (struct mem_members *members);

/* To load a new VM list, call mem_list_begin, mem_list_add for each VM and
   mem_list_end.  */
void mem_list_begin (struct mem_members *members);
void mem_list_add (struct mem_members *members, struct rw_str name,
                   struct rw_str addr, uint16_t port, bool leaving,
                   rw_time now);
void mem_list_end (struct mem_members *members);

/* Call until SEND is MEM_SEND_NONE.  */
void mem_tick (struct mem_members *members, rw_time now,
               struct mem_send *send);
rw_time mem_next_tick (const struct mem_members *members);
void mem_send_extra_probes (struct mem_members *members);

size_t mem_pick_changes (struct mem_members *members, struct rw_str to,
                         struct mem_change changes[MEM_CHANGES_MAX]);
void mem_on_message (struct mem_members *members, struct rw_str name,
                     uint64_t incarnation, rw_time now);
void mem_on_changes (struct mem_members *members,
                     const struct mem_change *changes, size_t count,
                     rw_time now);
bool mem_on_ack (struct mem_members *members, uint32_t seq, rw_time now,
                 const struct mem_entry **requester, uint32_t *seq_out);
void mem_on_probe_request (struct mem_members *members,
                           struct rw_str requester, struct rw_str target,
                           uint32_t seq, rw_time now, struct mem_send *send);
void mem_leave (struct mem_members *members);

const struct mem_entry *mem_find (const struct mem_members *members,
                                  struct rw_str name);
const struct mem_entry *mem_find_id (const struct mem_members *members,
                                     uint64_t id);
bool mem_is_usable (const struct mem_members *members, struct rw_str name);
size_t mem_count (const struct mem_members *members);
size_t mem_usable_count (const struct mem_members *members);
const struct mem_entry *mem_at (const struct mem_members *members,
                                size_t index);
const char *mem_state_name (enum mem_state state);

#endif
