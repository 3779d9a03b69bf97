/* Parts of the library: the buckets of an owner and the messages.  */

#ifndef QUO_PARTS_H
#define QUO_PARTS_H

#include "quota.h"

/* The part of the tolerance, overshoot x rate x window, that each mechanism
   may use.  They add up to less than one, with the tokens that a daemon gets
   back and uses later.  */
#define LIFE_PART 0.32    /* tokens are used up to their lifetime later */
#define SAVED_PART 0.16   /* a bucket holds the tokens of some time */
#define START_PART 0.12   /* a new owner begins with those of some time */
#define RESERVE_PART 0.20 /* rate of the reserve */
#define LOCAL_PART 0.10   /* rate of all local buckets */
/* The part of the slack that each mechanism may use in a window.  For small
   limits it is more than their part of the overshoot.  */
#define START_SLACK_PART 0.15
#define RESERVE_SLACK_PART 0.25
#define LOCAL_SLACK_PART 0.1
/* All local buckets together begin with this part of the slack.  */
#define LOCAL_START_PART 0.1

/* A daemon grants this long after it became the owner.  Views of a daemon that
   comes or goes differ for about this time.  */
#define SETTLE_TIME (1900 * RW_MSEC)
/* It grants sooner if by its view no owner has changed for this time: then the
   views agree.  With 0.7 of the messages lost, 1 s exceeded the rule with 2 of
   16 seeds (by up to 0.12), 1.2 s with none.  */
#define STABLE_TIME (1500 * RW_MSEC)

static inline bool
is_without (const struct quo_table *table, unsigned int mechanism)
{
  return (table->without & mechanism) != 0;
}

/* Returns the number of stripes of LIMIT.  Each bucket holds some tokens.  */
uint32_t quo_stripes (const struct quo_table *table,
                      const struct quo_limit *limit);
/* Returns the key whose owner keeps POOL of ORGANISATION.  */
uint64_t quo_pool_key (uint64_t organisation, uint32_t pool);
/* Returns the time in which a bucket without burst saves tokens.  */
rw_time quo_saved_time (const struct quo_table *table);
/* Returns how long tokens can be used, counted from the ask.  */
rw_time quo_token_life (const struct quo_table *table);

/* Returns the tokens a second that a mechanism may grant beside the owners of
   LIMIT with its PART of the overshoot and SLACK_PART of the slack.  */
double quo_spare_rate (const struct quo_table *table,
                       const struct quo_limit *limit, double part,
                       double slack_part);

void quo_meter_add (struct quo_meter *meter, double count, rw_time now);
double quo_meter_rate (const struct quo_meter *meter, rw_time now);

/* Follows the fraction of VIEW.  */
void quo_note_fraction (struct quo_table *table, const struct quo_view *view,
                        rw_time now);
/* Answers ASK as the owner of its pool: deducts tokens and sets the answer,
   tokens and wait of *ANSWER.  */
void quo_grant (struct quo_table *table, const struct quo_view *view,
                const struct quo_item *ask, rw_time now,
                struct quo_item *answer);
/* Drops buckets that this daemon no longer owns or that nobody asks for; looks
   at some of them in each call.  */
void quo_tick_buckets (struct quo_table *table, const struct quo_view *view,
                       rw_time now);

/* Adds ITEM to the messages that are due.  If the queue is full, it counts as
   lost.  */
void quo_push_item (struct quo_table *table, const struct quo_item *item);
struct quo_peer *quo_find_peer (struct quo_table *table, uint32_t daemon);
/* Records that DAEMON did not answer what it was asked at ASKED_AT.  */
void quo_note_silence (struct quo_table *table, uint32_t daemon,
                       rw_time asked_at, rw_time now);
uint32_t quo_waiting_count (const struct quo_user *user);
uint32_t quo_held_tokens (const struct quo_user *user);
void quo_expire_lots (const struct quo_table *table, struct quo_user *user,
                      rw_time now);
/* Adds TOKENS, in the place of none or else to the lot that expires next to
   them; the lot then expires when the earlier of both does.  */
void quo_add_lot (struct quo_user *user, uint32_t tokens, rw_time expires);
/* Looks up the owner of POOL of USER, if it may have changed.  */
void quo_refresh_owner (const struct quo_view *view, struct quo_user *user,
                        uint32_t pool, rw_time now);
/* Applies ANSWER to the ask that POOL of USER has sent.  */
void quo_apply_answer (struct quo_table *table, struct quo_user *user,
                       struct quo_pool *pool, const struct quo_item *answer,
                       rw_time now);
/* Returns whether the owner of POOL does not answer, or may not grant.  */
bool quo_is_absent (struct quo_table *table, const struct quo_pool *pool,
                    rw_time now);
/* Asks for the tokens that USER lacks.  */
void quo_seek (struct quo_table *table, const struct quo_view *view,
               struct quo_user *user, rw_time now);

/* Takes an ask or an answer that the daemon FROM sent.  */
void quo_take_item (struct quo_table *table, const struct quo_view *view,
                    uint32_t from, const struct quo_item *item, rw_time now);

/* Writes ITEM to OUT.  Returns its length, 0 if SIZE is too small.  */
size_t quo_write_item (const struct quo_item *item, char *out, size_t size);
/* Reads the item at the beginning of MESSAGE and removes it.  Returns 1 if it
   is of a kind that is not known, 0, or RW_E_PARSE.  */
int quo_read_item (struct rw_str *message, struct quo_item *item);

#endif
