/* Leases by acknowledgement.  They decide, without a store, which daemon may
   act as holder of a target, and until when.  Section 5 of docs/design.md has
   the protocol and the argument for its safety.

   Targets are divided into groups.  The daemons of a group's electorate probe
   each other.  A daemon is tenured in a group while a majority of the
   electorate has acknowledged probes that it sent within the last T, the
   setting "tenure".  Several members may be tenured at the same time.  A
   tenured daemon claims the group in its probes, and acks name the recent
   claimants.  For a target of the group, only acks that name no claimant of
   higher rank for the target count, so that at most one daemon acts for it.

   An electorate that was replaced is a predecessor of the group.  It stays
   open until a majority of it is known to have adopted the present electorate
   for 2T + margin.  While it is open, a daemon needs the acks of a majority of
   it, too, to be tenured.

   VMs are named by top_vm.id.  */

#ifndef LEA_LEASE_H
#define LEA_LEASE_H

#include "base.h"
#include "topo.h"

/* T: an ack counts for this time after its probe was sent.  */
#define LEA_TENURE (1000 * RW_MSEC)
#define LEA_PROBE_INTERVAL (250 * RW_MSEC)
/* An exchange with a target must end this long before the right to act for
   the target does.  */
#define LEA_MARGIN (100 * RW_MSEC)
/* A member of a predecessor counts as having adopted the present electorate
   when it has been off the VM list for this time: the list reaches every
   reachable daemon within 4 s.  */
#define LEA_OFF_LIST_GRACE (10 * RW_SEC)
/* A daemon that does not vote in a group reports the group's predecessors in
   its acks for this time.  */
#define LEA_PRED_REPORT_TIME (60 * RW_SEC)
/* An older HANDOFF is refused, because its sender may have restarted and may
   hold the group again.  */
#define LEA_HANDOFF_AGE_MAX (500 * RW_MSEC)
/* The interval at which the caller repeats lea_yield and its HANDOFF.  */
#define LEA_YIELD_INTERVAL (300 * RW_MSEC)

/* Limit on the predecessors that a daemon tracks in one group.  */
#define LEA_PREDS_MAX 8
/* Room for claimants outside the electorate in the ack of one group.  A group
   whose ack would fill it is not acknowledged, because the ack might not name
   all claimants.  */
#define LEA_OTHERS_MAX 8
/* Limit on the groups in one message.  With one predecessor each, their acks
   still fit into a datagram.  */
#define LEA_ENTRIES_MAX 12
/* Limit on the estimated size of the acks in one message.  */
#define LEA_ACK_BYTES_MAX 1000

/* Rules of the protocol that a test can switch off to show that each of them
   is needed.  */
enum lea_rule
{
  LEA_RULE_WARM_UP = 1 << 0,     /* act only when tenured for 2T + margin */
  LEA_RULE_QUARANTINE = 1 << 1,  /* no acks for 2T + margin after a start */
  LEA_RULE_RANK = 1 << 2,        /* yield to named claimants of higher rank */
  LEA_RULE_PREDECESSORS = 1 << 3 /* need a majority of open predecessors */
};

struct lea_settings
{
  uint64_t self; /* VM id of this daemon */
  rw_time tenure;
  rw_time margin;
  rw_time probe_interval;
  unsigned int disabled_rules; /* lea_rule bits, for tests; else 0 */
};

/* Sets the production constants for the VM SELF.  */
void lea_settings_default (struct lea_settings *settings, uint64_t self);

/* A bit of lea_pred.stamp: the number of groups changed.  */
#define LEA_STAMP_REGROUPED 1U

/* A former electorate that may still have a holder.  STAMP orders
   the replacements of one electorate: it is twice the stamp of the
   lea_set_groups call that replaced it, plus LEA_STAMP_REGROUPED if that call
   changed the number of groups.  A predecessor with this bit held other
   targets, so nobody may act for the group while it is open.  */
struct lea_pred
{
  uint64_t hash;
  uint64_t stamp;
  uint8_t member_count;
  uint64_t members[TOP_ELECTORATE_MAX];
};

/* One group in a probe.  */
struct lea_probe_entry
{
  uint64_t key;  /* top_group_key */
  uint64_t hash; /* the sender's electorate */
  bool claim;    /* the sender is tenured now */
  bool released; /* the sender gave the group up for good */
};

/* One group in an ack.  Bit i of CLAIMANTS stands for the i-th member of the
   electorate with this hash.  OTHERS and PREDS are empty most of the time. */
struct lea_ack_entry
{
  uint64_t key;
  uint64_t hash; /* 0: group unknown to the acker */
  uint8_t claimants;
  uint8_t other_count;
  uint8_t pred_count;              /* 0: settled, no open predecessor */
  uint64_t others[LEA_OTHERS_MAX]; /* claimants outside the electorate */
  struct lea_pred preds[LEA_PREDS_MAX];
};

struct lea_group;
struct lea_peer;

/* A HANDOFF that was received.  Before UNTIL, SENDER does not act for the
   target, and its claim keeps members of lower rank than SENDER from acting.
 */
struct lea_received_handoff
{
  uint64_t target;
  uint64_t sender;
  rw_time until;
};

/* A target that this daemon handed to another member.  */
struct lea_sent_handoff
{
  uint64_t target;
  uint64_t recipient;
  bool replaces_warm_up; /* the HANDOFF may be all that lets RECIPIENT act */
  rw_time first_sent;
  rw_time until; /* this daemon does not act before */
};

struct lea_leases
{
  struct lea_settings settings;
  rw_time started;
  rw_time refreshed_at;     /* when all tenures were last recomputed */
  bool released;            /* lea_release succeeded; never act again */
  struct lea_group *groups; /* sorted by key */
  size_t group_count;
  struct lea_peer *peers; /* the VMs to probe */
  size_t peer_count;
  uint64_t *vms; /* ids of the VM list, sorted */
  size_t vm_count;
  struct lea_received_handoff *received_handoffs;
  size_t received_handoff_count;
  size_t received_handoff_cap;
  struct lea_sent_handoff *sent_handoffs;
  size_t sent_handoff_count;
  size_t sent_handoff_cap;
  size_t ack_rotation; /* probes so far; rotates the entries of an ack */
};

/* Starts without groups.  NOW is the start of the process, from which the
   start quarantine counts.  */
void lea_init (struct lea_leases *leases, const struct lea_settings *settings,
               rw_time now);

/* Frees all state.  */
void lea_finish (struct lea_leases *leases);

/* Puts the electorates of all groups of all data centres into force.  Call it
   after every change of the VM list, of the number of groups or of the set of
   data centres.  STAMP must never decrease; the sum of the versions of "vms"
   and "rules" has this property.  VMS are the ids of the VM list, live and
   leaving.  Both arrays are copied.  */
void lea_set_groups (struct lea_leases *leases, uint64_t stamp,
                     const struct top_electorate *electorates, size_t count,
                     const uint64_t *vms, size_t vm_count, rw_time now);

/* Returns when lea_poll is due.  */
rw_time lea_next_probe (const struct lea_leases *leases);

/* Updates the tenures and returns the VM to probe now, or 0.  Call it until it
   returns 0, and call lea_build_probe for each VM that it returns.  */
uint64_t lea_poll (struct lea_leases *leases, rw_time now);

/* Fills the entries of a probe to PEER, a result of lea_poll, and returns
   their number, 0 to LEA_ENTRIES_MAX.  If PEER has more groups than fit,
   lea_poll returns it again at once.  The caller keeps NOW for lea_on_ack.  */
size_t lea_build_probe (struct lea_leases *leases, uint64_t peer, rw_time now,
                        struct lea_probe_entry entries[LEA_ENTRIES_MAX]);

/* Notes the claims of a probe from the process INCARNATION of the VM FROM.
   Fills ACKS, which has room for COUNT entries, and returns their number.  A
   group without entry is not acknowledged: all of them during the start
   quarantine, and those that do not fit.  */
size_t lea_on_probe (struct lea_leases *leases, uint64_t from,
                     uint64_t incarnation,
                     const struct lea_probe_entry *entries, size_t count,
                     rw_time now, struct lea_ack_entry *acks);

/* Counts the acks of the probe that was built for FROM at SENT and updates the
   tenures.  Acks of a probe that was sent before this process started, or
   after NOW, are ignored.  */
void lea_on_ack (struct lea_leases *leases, uint64_t from, rw_time sent,
                 const struct lea_ack_entry *acks, size_t count, rw_time now);

/* Returns whether this daemon may act at NOW for TARGET, the rw_hash of the
   name of a target of group KEY.  *UNTIL is the end of that right, 0 if there
   is none.  Exchanges must end by *UNTIL - margin.  */
bool lea_may_act (const struct lea_leases *leases, uint64_t key,
                  uint64_t target, rw_time now, rw_time *until);

/* Returns the VM that probably holds the target: the highest ranked member
   that is known to claim the group, or 0.  Only voters see claims.  */
uint64_t lea_holder_hint (const struct lea_leases *leases, uint64_t key,
                          uint64_t target, rw_time now);

/* Returns the member to which this daemon, a holder that stops, hands the
   target: the highest ranked claimant below itself.  Returns 0 if there is
   none or if this daemon may not hand over.  After a result other than 0 this
   daemon does not act for the target for one tenure + margin.  */
uint64_t lea_pick_successor (struct lea_leases *leases, uint64_t key,
                             uint64_t target, rw_time now);

/* Returns the member of higher rank because of which this daemon may no longer
   act for the target, and to which it hands the target; 0 if there is none.
   Call it when lea_may_act becomes false, and every LEA_YIELD_INTERVAL after
   that until the result is 0.  Send a HANDOFF to the member after each call
   that returns one: until it has been tenured for 2T + margin, it may act only
   by these messages.  */
uint64_t lea_yield (struct lea_leases *leases, uint64_t key, uint64_t target,
                    rw_time now);

/* Gives up all groups for good, at a planned stop.  Probes with the release
   are due at once.  The caller must have stopped admitting, must have sent
   HANDOFF for the targets for which it could act, and its exchanges must have
   ended: until the release, its claims keep members other than the successor
   from acting.  Returns false, and does nothing, while a member may be acting
   only by a HANDOFF of lea_yield; the caller tries again.  */
bool lea_release (struct lea_leases *leases, rw_time now);

/* Accepts a HANDOFF of one target of group KEY from HOLDER, which was sent AGE
   ago.  Call it for each target of the message.  For one tenure after the
   sending, HOLDER's claim is ignored for this target, and if this daemon
   outranks HOLDER, it may act before it has been tenured for 2T + margin.
   Returns 0, RW_E_NOT_FOUND (unknown group) or RW_E_DEADLINE (too old).  */
int lea_on_handoff (struct lea_leases *leases, uint64_t key, uint64_t target,
                    uint64_t holder, rw_time age, rw_time now);

/* The state of one group, for reports.  */
struct lea_status
{
  uint64_t key;
  uint64_t hash;
  bool member;           /* this daemon votes in the group */
  bool settled;          /* no predecessor is open */
  rw_time tenured_since; /* RW_TIME_NEVER: not tenured */
  rw_time tenure_end;    /* 0: not tenured */
};

size_t lea_group_count (const struct lea_leases *leases);

/* Describes the group with INDEX, which is below lea_group_count.  */
void lea_group_status (const struct lea_leases *leases, size_t index,
                       rw_time now, struct lea_status *status);

#endif
