/* State of one target group, private to lib/lease.  */

#ifndef LEA_GROUP_H
#define LEA_GROUP_H

#include "lease.h"

/* At this number of recent claims, a probe with the claim of another process
   is not acknowledged.  */
#define LEA_CLAIMS_MAX 16
#define LEA_VOTES_MAX (TOP_ELECTORATE_MAX * (LEA_PREDS_MAX + 1))
/* With more claimants, the tenure under the previous electorate ends.  */
#define LEA_PREV_CLAIMANTS_MAX 32

/* A process that claimed the group in probes.  */
struct lea_claim
{
  uint64_t id;
  uint64_t incarnation;
  rw_time first_seen; /* when its first probe with the claim arrived */
  rw_time last_seen;  /* when the last one arrived */
};

/* The newest counted ack of one voter.  */
struct lea_vote
{
  uint64_t id;
  bool adopted; /* it has acked with the hash of the present electorate */
  rw_time sent; /* when the acked probe was sent; valid if ADOPTED */
  uint8_t claimants;
  uint8_t other_count;
  uint64_t others[LEA_OTHERS_MAX];
};

/* What this daemon knows of a predecessor.  */
struct lea_tracked_pred
{
  struct lea_pred pred;
  bool closed;
  rw_time added;
  /* Since when a majority of the members is known to have adopted the present
     electorate or to be off the VM list; RW_TIME_NEVER: it is not.  */
  rw_time majority_since;
  rw_time off_since[TOP_ELECTORATE_MAX]; /* RW_TIME_NEVER: on the VM list */
};

struct lea_group
{
  struct top_electorate electorate;
  bool member;            /* this daemon votes in the electorate */
  rw_time quarantine_end; /* no ack, and no vote for itself, before */
  struct lea_claim claims[LEA_CLAIMS_MAX];
  size_t claim_count;
  struct lea_tracked_pred preds[LEA_PREDS_MAX];
  size_t pred_count;
  rw_time blocked_until;  /* no room for a predecessor: no ack, no vote */
  struct lea_vote *votes; /* null unless MEMBER */
  size_t vote_count;
  rw_time tenured_since; /* start of the tenure; valid before TENURE_END */
  rw_time tenure_end;    /* as last computed */
  /* The tenure under the previous electorate lasts until PREV_TENURE_END.  Its
     acks name PREV_CLAIMANTS.  */
  rw_time prev_tenure_end;
  uint64_t prev_claimants[LEA_PREV_CLAIMANTS_MAX];
  size_t prev_claimant_count;
};

/* 2T + margin: how long a daemon must be tenured before it acts; how long the
   start quarantine lasts, a claim is remembered, and a predecessor stays open
   after a majority of it adopted the present electorate.  */
static inline rw_time
lea_warm_up_time (const struct lea_settings *s)
{
  return 2 * s->tenure + s->margin;
}

static inline bool
lea_rule_enabled (const struct lea_settings *s, enum lea_rule rule)
{
  return (s->disabled_rules & rule) == 0;
}

/* group.c */
bool lea_is_member (const struct top_electorate *e, uint64_t id);
bool lea_is_on_vm_list (const struct lea_leases *leases, uint64_t id);
bool lea_claim_note (struct lea_group *g, uint64_t id, uint64_t incarnation,
                     rw_time now, rw_time max_age);
void lea_claim_drop (struct lea_group *g, uint64_t id, uint64_t incarnation);
bool lea_claim_is_recent (const struct lea_claim *claim, rw_time now,
                          rw_time max_age);
struct lea_vote *lea_vote_find (const struct lea_group *g, uint64_t id);
bool lea_pred_add (const struct lea_leases *leases, struct lea_group *g,
                   const struct lea_pred *pred, rw_time now);
void lea_pred_note_off_list (const struct lea_leases *leases,
                             struct lea_tracked_pred *tracked, rw_time now);
void lea_votes_rebuild (const struct lea_leases *leases, struct lea_group *g);
void lea_preds_update (const struct lea_leases *leases, struct lea_group *g,
                       rw_time now);
size_t lea_pred_off_list_count (const struct lea_leases *leases,
                                const struct lea_group *g,
                                const struct lea_tracked_pred *tracked,
                                rw_time now);
void lea_group_change (const struct lea_leases *leases, struct lea_group *g,
                       const struct top_electorate *next, uint64_t stamp,
                       rw_time now);
void lea_group_finish (struct lea_group *g);

/* tenure.c */
bool lea_is_warmed_up (const struct lea_leases *leases,
                       const struct lea_group *g, rw_time now);
bool lea_is_tenured (const struct lea_group *g, rw_time now);
void lea_tenure_update (const struct lea_leases *leases, struct lea_group *g,
                        rw_time now);
void lea_save_prev_tenure (const struct lea_leases *leases,
                           struct lea_group *g, rw_time now);
rw_time lea_act_end (const struct lea_leases *leases,
                     const struct lea_group *g, uint64_t target, rw_time now);

#endif
