/* State of one target group, private to lib/lease.  */

#ifndef LEA_GROUP_H
#define LEA_GROUP_H

#include "lease.h"

#define LEA_CLAIMS_MAX 16
#define LEA_VOTES_MAX (TOP_ELECTORATE_MAX * (LEA_PREDS_MAX + 1))
#define LEA_NAMES_MAX 32

/* A process that claimed the group, seen first and last in probes.  */
struct lea_claim
{
  uint64_t id;
  uint64_t incarnation;
  rw_time first;
  rw_time last;
};

/* The newest counted ack of one voter.  */
struct lea_vote
{
  uint64_t id;
  bool moved;   /* it has acked with the present hash */
  rw_time sent; /* of the acked probe; valid if MOVED */
  uint8_t claimants;
  uint8_t other_count;
  uint64_t others[LEA_OTHERS_MAX];
};

/* A predecessor as this daemon follows it.  */
struct lea_old
{
  struct lea_pred pred;
  bool closed;
  rw_time added;
  rw_time majority_since; /* RW_TIME_NEVER: no majority known to have moved */
  rw_time off_since[TOP_ELECTORATE_MAX]; /* RW_TIME_NEVER: on the VM list */
};

struct lea_group
{
  struct top_electorate now;
  bool member;      /* this daemon votes in it */
  rw_time ready_at; /* no acks, and no vote for itself, before */
  struct lea_claim claims[LEA_CLAIMS_MAX];
  size_t claim_count;
  struct lea_old olds[LEA_PREDS_MAX];
  size_t old_count;
  rw_time blocked_until;  /* more open predecessors than can be followed */
  struct lea_vote *votes; /* null unless MEMBER */
  size_t vote_count;
  rw_time since; /* tenured without a gap; valid while END is ahead */
  rw_time end;   /* of the tenure as last computed */
  /* What remains of the tenure under the previous electorate.  */
  rw_time kept_end;
  uint64_t kept_names[LEA_NAMES_MAX];
  size_t kept_count;
};

static inline rw_time
lea_window (const struct lea_settings *s)
{
  return 2 * s->tenure + s->margin;
}

static inline bool
lea_rule_on (const struct lea_settings *s, enum lea_rule rule)
{
  return (s->disabled_rules & rule) == 0;
}

/* group.c */
bool lea_is_member (const struct top_electorate *e, uint64_t id);
bool lea_on_list (const struct lea_leases *leases, uint64_t id);
bool lea_claim_note (struct lea_group *g, uint64_t id, uint64_t incarnation,
                     rw_time now, rw_time window);
void lea_claim_drop (struct lea_group *g, uint64_t id, uint64_t incarnation);
bool lea_claim_live (const struct lea_claim *claim, rw_time now,
                     rw_time window);
struct lea_vote *lea_vote_find (const struct lea_group *g, uint64_t id);
bool lea_old_add (const struct lea_leases *leases, struct lea_group *g,
                  const struct lea_pred *pred, rw_time now);
void lea_old_note_list (const struct lea_leases *leases, struct lea_old *old,
                        rw_time now);
void lea_votes_rebuild (const struct lea_leases *leases, struct lea_group *g);
void lea_olds_update (const struct lea_leases *leases, struct lea_group *g,
                      rw_time now);
size_t lea_old_off (const struct lea_leases *leases, const struct lea_group *g,
                    const struct lea_old *old, rw_time now);
void lea_group_change (const struct lea_leases *leases, struct lea_group *g,
                       const struct top_electorate *next, uint64_t stamp,
                       rw_time now);
void lea_group_finish (struct lea_group *g);

/* tenure.c */
bool lea_warm (const struct lea_leases *leases, const struct lea_group *g,
               rw_time now);
bool lea_tenured (const struct lea_group *g, rw_time now);
void lea_tenure_update (const struct lea_leases *leases, struct lea_group *g,
                        rw_time now);
void lea_keep_tenure (const struct lea_leases *leases, struct lea_group *g,
                      rw_time now);
rw_time lea_target_end (const struct lea_leases *leases,
                        const struct lea_group *g, uint64_t target,
                        rw_time now);

#endif
