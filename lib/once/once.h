/* Runs a once request, which may not be repeated, at most once.  The entry
   daemon, which received the request from the caller (struct onc_entry), sends
   it to the holder of a target, the daemon that has the target's lease, and
   resends it only if it certainly did not run.  The holder (struct onc_table)
   dispatches each key once and refuses repeated keys.  It subtracts the
   age of the message (struct onc_clock) from the time left, so that a delayed
   message does not run the request late.  */

#ifndef ONC_ONCE_H
#define ONC_ONCE_H

#include "base.h"
#include "query.h"

/* Mechanisms that tests disable to show which faults they prevent.  */
enum onc_mechanism
{
  ONC_MECH_AT_MOST_ONCE = 1 << 0,  /* no retry if the request may have run */
  ONC_MECH_DEDUPLICATION = 1 << 1, /* the holder refuses repeated keys */
  ONC_MECH_MESSAGE_AGE = 1 << 2    /* age subtracted from the deadline */
};

#define ONC_KEY_MAX 256    /* bytes */
#define ONC_ATTEMPTS_MAX 4 /* sends of one request by the entry daemon */

enum onc_state
{
  ONC_NEW,            /* no byte was sent by this daemon */
  ONC_SENT_TO_HOLDER, /* entry daemon: passed to the transport */
  ONC_DISPATCHED,     /* holder: passed to the target's transport */
  ONC_DONE
};

/* Outcome of a request at the holder.  */
enum onc_status
{
  ONC_OK,        /* the target answered 200: the request ran */
  ONC_NOT_RUN,   /* refused by the holder or the target */
  ONC_UNKNOWN,   /* the request may have run */
  ONC_DUPLICATE, /* repeated key without a recorded answer; may have run */
  ONC_RECORDED   /* repeated key with a recorded answer */
};

/* Report of the holder to the entry daemon, carried by a RESULT message.  */
struct onc_result
{
  enum onc_status status;
  rw_time retry_after; /* ONC_NOT_RUN: microseconds, 0: none */
  struct rw_str body;  /* ONC_OK and ONC_RECORDED: the target's answer */
  struct rw_err cause; /* ONC_NOT_RUN, ONC_UNKNOWN and ONC_DUPLICATE */
};

enum onc_command_kind
{
  ONC_WAIT,  /* wait for the next event */
  ONC_SEND,  /* send to the holder of a target that was not tried yet */
  ONC_ANSWER /* answer the caller */
};

/* The entry daemon's next action.  */
struct onc_command
{
  enum onc_command_kind kind;
  union
  {
    struct
    {
      uint32_t attempt; /* number of this attempt, from 1 */
      rw_time deadline;
    } send;
    struct
    {
      int status; /* HTTP status: 200, 503 or 504 */
      enum qry_ran ran;
      rw_time retry_after; /* microseconds, -1: none */
      struct rw_buf body;  /* JSON; the receiver calls rw_buf_finish */
    } answer;
  } u;
};

/* One request at the entry daemon.  */
struct onc_entry
{
  enum onc_state state; /* never ONC_DISPATCHED */
  struct qry_id id;
  uint32_t attempt; /* number of the last attempt, 0: none */
  rw_time deadline;
  unsigned int disabled_mechanisms; /* onc_mechanism bits; 0 in production */
  rw_time retry_after; /* microseconds, last named by a refusal; -1: none */
  struct rw_err last_cause; /* of the last attempt that did not run */
};

void onc_entry_init (struct onc_entry *entry, struct qry_id id,
                     rw_time deadline, unsigned int disabled);
/* Each of the following functions fills COMMAND.  */
void onc_entry_start (struct onc_entry *entry, rw_time now,
                      struct onc_command *command);
int onc_entry_on_result (struct onc_entry *entry, struct qry_id id,
                         uint32_t attempt, const struct onc_result *result,
                         rw_time now, struct onc_command *command);
void onc_entry_on_unsent (struct onc_entry *entry, uint32_t attempt,
                          const struct rw_err *cause, rw_time now,
                          struct onc_command *command);
void onc_entry_on_lost (struct onc_entry *entry, uint32_t attempt,
                        const struct rw_err *cause, rw_time now,
                        struct onc_command *command);
/* No target is left to try, or its holder is not known.  */
void onc_entry_on_no_target (struct onc_entry *entry,
                             const struct rw_err *cause, rw_time now,
                             struct onc_command *command);
void onc_entry_tick (struct onc_entry *entry, rw_time now,
                     struct onc_command *command);

/* A key is remembered until ONC_RETENTION_TIME after the request's deadline,
   unless the request did not run.  It is never evicted earlier, because a
   repetition could run again: a full table refuses new requests as "not run".
 */
#define ONC_RETENTION_TIME (60 * RW_SEC)
#define ONC_ANSWER_MAX 4096 /* bytes; longer answers are not recorded */

struct onc_slot;

/* The keys of once requests that a holder remembers.  */
struct onc_table
{
  struct onc_slot *slots;
  uint32_t *buckets; /* first slot of each hash chain */
  size_t bucket_count;
  size_t capacity;    /* of SLOTS */
  size_t count;       /* of remembered keys */
  uint32_t free_head; /* first slot of the free list */
  uint32_t oldest;    /* in the order of acceptance */
  uint32_t newest;
  rw_time unknown_until; /* until then, keys are missing that did not fit */
  unsigned int disabled_mechanisms; /* onc_mechanism bits; 0 in production */
};

void onc_table_init (struct onc_table *table, size_t capacity,
                     unsigned int disabled);
void onc_table_finish (struct onc_table *table);
size_t onc_table_count (const struct onc_table *table);

/* A key that is handed over with a target, so that the new holder recognises
   its repetition.  Only the hash of the key is handed over.  */
struct onc_exported_key
{
  uint64_t key_hash;
  rw_time time_left;    /* until the key is forgotten, microseconds */
  struct rw_str answer; /* recorded answer; empty: none */
};

size_t onc_table_export (const struct onc_table *table, rw_time now,
                         struct onc_exported_key *keys, size_t max);
void onc_table_import (struct onc_table *table,
                       const struct onc_exported_key *key, rw_time now);

/* For each request, call onc_holder_accept, then either onc_holder_drop, or
   onc_holder_dispatch followed by exactly one of onc_holder_on_unsent,
   onc_holder_on_reply and onc_holder_on_lost.  KEY is the service and the
   Idempotency-Key, joined by the calling code.  Accept and dispatch fill
   RESULT if they return an error that is to be reported; the functions that
   end a request always fill it.  RESULT does not own its body, which is valid
   until the next call with TABLE.  */
int onc_holder_accept (struct onc_table *table, struct rw_str key,
                       struct qry_id id, rw_time deadline, rw_time now,
                       struct onc_result *result);
int onc_holder_dispatch (struct onc_table *table, struct rw_str key,
                         struct qry_id id, rw_time now,
                         struct onc_result *result);
void onc_holder_drop (struct onc_table *table, struct rw_str key,
                      struct qry_id id, const struct rw_err *cause,
                      rw_time retry_after, rw_time now,
                      struct onc_result *result);
void onc_holder_on_unsent (struct onc_table *table, struct rw_str key,
                           struct qry_id id, const struct rw_err *cause,
                           rw_time now, struct onc_result *result);
void onc_holder_on_reply (struct onc_table *table, struct rw_str key,
                          struct qry_id id, int http_status,
                          rw_time retry_after, struct rw_str body, rw_time now,
                          struct onc_result *result);
void onc_holder_on_lost (struct onc_table *table, struct rw_str key,
                         struct qry_id id, const struct rw_err *cause,
                         rw_time now, struct onc_result *result);

/* Estimate of a peer's clock offset, from HELLO exchanges on one connection.
   The sample with the shortest round trip is used.  */
struct onc_clock
{
  bool has_sample;
  rw_time offset;                   /* peer's time minus own time */
  rw_time rtt;                      /* round-trip time of the sample in use */
  unsigned int disabled_mechanisms; /* onc_mechanism bits; 0 in production */
};

void onc_clock_init (struct onc_clock *clock, unsigned int disabled);
void onc_clock_add_sample (struct onc_clock *clock, rw_time sent,
                           rw_time peer_time, rw_time received);
rw_time onc_clock_age (const struct onc_clock *clock, rw_time peer_sent,
                       rw_time now);
rw_time onc_clock_max_age (const struct onc_clock *clock, rw_time peer_sent,
                           rw_time now);
rw_time onc_clock_remaining (const struct onc_clock *clock, rw_time remaining,
                             rw_time peer_sent, rw_time now, bool once);

#endif
