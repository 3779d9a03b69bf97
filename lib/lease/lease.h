/* Leases by acknowledgement: which daemon may act as holder of a target, and
   until when.  docs/design.md, section 5.  VMs are named by top_vm.id.  */

#ifndef LEA_LEASE_H
#define LEA_LEASE_H

#include "base.h"
#include "topo.h"

#define LEA_TENURE (1000 * RW_MSEC)
#define LEA_PROBE_INTERVAL (250 * RW_MSEC)
#define LEA_MARGIN (100 * RW_MSEC)
/* A member of a predecessor that is off the VM list counts as moved after
   this time: the list reaches every reachable daemon within 4 s.  */
#define LEA_OFF_LIST_GRACE (10 * RW_SEC)
/* For this time a daemon reports predecessors in which it does not vote.  */
#define LEA_PRED_REPORT_TIME (60 * RW_SEC)
/* A HANDOFF older than this is refused.  */
#define LEA_HANDOFF_AGE_MAX (500 * RW_MSEC)

#define LEA_YIELD_INTERVAL (300 * RW_MSEC)

#define LEA_PREDS_MAX 8
#define LEA_OTHERS_MAX 8
/* Groups in one message: with a predecessor each, their acks still fit into a
   datagram.  */
#define LEA_ENTRIES_MAX 12
#define LEA_ACK_BYTES_MAX                                                     \
  1000 /* estimated size of the acks in one message                           \
        */

/* Rules of the protocol that tests switch off to show that they are needed. */
enum lea_rule
{
  LEA_RULE_WARM_UP = 1 << 0,     /* act only after 2T + margin of tenure */
  LEA_RULE_QUARANTINE = 1 << 1,  /* no acks for 2T + margin after a start */
  LEA_RULE_RANK = 1 << 2,        /* yield to named claimants of higher rank */
  LEA_RULE_PREDECESSORS = 1 << 3 /* majority of open predecessors, too */
};

struct lea_settings
{
  uint64_t self; /* VM id */
  rw_time tenure;
  rw_time margin;
  rw_time probe_interval;
  unsigned int disabled_rules; /* lea_rule bits, for tests; 0 in production */
};

/* The production constants.  */
void lea_settings_default (struct lea_settings *settings, uint64_t self);

/* An electorate that was in force before and may still have a holder.  STAMP
   orders its abandonments: twice the stamp under which it was replaced, plus
   LEA_STAMP_REGROUPED if it was of another number of groups.  It held other
   targets then, and nobody may act for the group while it is open.  */
#define LEA_STAMP_REGROUPED 1U
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
  uint8_t pred_count;              /* 0: settled */
  uint64_t others[LEA_OTHERS_MAX]; /* claimants outside the electorate */
  struct lea_pred preds[LEA_PREDS_MAX];
};

struct lea_group;
struct lea_peer;

/* A HANDOFF that was received: until then HOLDER does not act for the target
   and keeps members of lower rank than its own away.  */
struct lea_received_handoff
{
  uint64_t target;
  uint64_t sender;
  rw_time until;
};

/* A target that was handed to another member.  */
struct lea_sent_handoff
{
  uint64_t target;
  uint64_t recipient;
  bool replaces_warm_up; /* TO may be acting by the HANDOFF alone */
  rw_time first_sent;
  rw_time until; /* this daemon does not act before */
};

struct lea_leases
{
  struct lea_settings settings;
  rw_time started;
  rw_time refreshed_at;     /* when tenures were last recomputed */
  bool released;            /* all groups were released */
  struct lea_group *groups; /* sorted by key */
  size_t group_count;
  struct lea_peer *peers; /* sorted by id */
  size_t peer_count;
  uint64_t *vms; /* ids of the VM list, sorted */
  size_t vm_count;
  struct lea_received_handoff *received_handoffs;
  size_t received_handoff_count;
  size_t received_handoff_cap;
  struct lea_sent_handoff *sent_handoffs;
  size_t sent_handoff_count;
  size_t sent_handoff_cap;
  size_t ack_rotation; /* rotates the entries of acks that do not fit */
};

void lea_init (struct lea_leases *leases, const struct lea_settings *settings,
               rw_time now);
void lea_finish (struct lea_leases *leases);

/* The electorates of all groups of all data centres, after every change of
   the VM list, of the number of groups or of the set of data centres.  STAMP
   must not fall (the sum of the versions of "vms" and "rules" will do).  VMS
   are the ids of the VM list, sorted, live and leaving.  Copied.  */
void lea_set_groups (struct lea_leases *leases, uint64_t stamp,
                     const struct top_electorate *electorates, size_t count,
                     const uint64_t *vms, size_t vm_count, rw_time now);

/* Probes.  lea_next_probe returns when lea_poll is due.  lea_poll returns the
   VM to probe now, or 0; it is called until it returns 0, and after each
   result lea_build_probe fills the entries for that VM and returns their
   number.  A VM with more groups than fit is returned again at once.  The
   sender keeps the time of the probe for lea_on_ack.  */
rw_time lea_next_probe (const struct lea_leases *leases);
uint64_t lea_poll (struct lea_leases *leases, rw_time now);
size_t lea_build_probe (struct lea_leases *leases, uint64_t peer, rw_time now,
                        struct lea_probe_entry entries[LEA_ENTRIES_MAX]);

/* A probe from the process INCARNATION of the VM FROM.  Fills ACKS, room for
   COUNT entries, and returns their number.  A group that is left out is not
   acknowledged: all of them during the start quarantine, and those that do not
   fit.  */
size_t lea_on_probe (struct lea_leases *leases, uint64_t from,
                     uint64_t incarnation,
                     const struct lea_probe_entry *entries, size_t count,
                     rw_time now, struct lea_ack_entry *acks);
/* An ack of the probe that was sent to FROM at SENT.  */
void lea_on_ack (struct lea_leases *leases, uint64_t from, rw_time sent,
                 const struct lea_ack_entry *acks, size_t count, rw_time now);

/* Whether this daemon may act for the target (rw_hash of its name) of group
   KEY at NOW.  *UNTIL is the end of that right; exchanges end by *UNTIL -
   margin.  */
bool lea_may_act (const struct lea_leases *leases, uint64_t key,
                  uint64_t target, rw_time now, rw_time *until);
/* The VM believed to hold the target: the highest ranked member that is known
   to claim the group; 0 if unknown.  */
uint64_t lea_holder_hint (const struct lea_leases *leases, uint64_t key,
                          uint64_t target, rw_time now);
/* The member to which a holder that stops hands the target: the highest ranked
   claimant below itself; 0 if there is none or if this daemon may not hand
   over.  It does not act for the target for one tenure + margin after this
   call.  */
uint64_t lea_pick_successor (struct lea_leases *leases, uint64_t key,
                             uint64_t target, rw_time now);
/* The member of higher rank to which this daemon, which may no longer act for
   the target because of it, hands the target; 0 if there is none.  The caller
   asks when lea_may_act has become false, and every LEA_YIELD_INTERVAL after
   that until the result is 0, and sends a HANDOFF each time: until the member
   has been tenured for 2T + margin it acts by these.  */
uint64_t lea_yield (struct lea_leases *leases, uint64_t key, uint64_t target,
                    rw_time now);

/* Planned stop: gives up all groups for good.  The caller has stopped
   admitting, has sent HANDOFF for the targets for which it could act, and its
   exchanges have ended: until the release its claims keep others than the
   successor away.  Probes with the release are due at once.  Returns false,
   and does nothing, while a member may be acting by a HANDOFF of lea_yield;
   the caller tries again.  */
bool lea_release (struct lea_leases *leases, rw_time now);
/* A HANDOFF of a target of group KEY from its holder, AGE after it was sent;
   called for each target of the message.  For one tenure after the sending,
   the holder's claim is ignored for this target, and, if this daemon outranks
   the holder, it may act before it has been tenured for 2T + margin.  Returns
   0, RW_E_NOT_FOUND (unknown group) or RW_E_DEADLINE (too old).  */
int lea_on_handoff (struct lea_leases *leases, uint64_t key, uint64_t target,
                    uint64_t holder, rw_time age, rw_time now);

/* For reports.  */
struct lea_status
{
  uint64_t key;
  uint64_t hash;
  bool member;
  bool settled;
  rw_time tenured_since; /* RW_TIME_NEVER: not tenured */
  rw_time tenure_end;
};
size_t lea_group_count (const struct lea_leases *leases);
void lea_group_status (const struct lea_leases *leases, size_t index,
                       rw_time now, struct lea_status *status);

#endif
