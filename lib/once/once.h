/* Requests that may not be repeated: what is known of their fate at the entry
   daemon and at the holder, and the age of messages.  */

#ifndef ONC_ONCE_H
#define ONC_ONCE_H

#include "base.h"
#include "query.h"

/* Mechanisms that tests switch off to show what fails without them.  */
enum onc_mechanism
{
  ONC_MECH_AT_MOST_ONCE = 1 << 0,  /* no retry of what may have run */
  ONC_MECH_DEDUPLICATION = 1 << 1, /* ids remembered by the holder */
  ONC_MECH_MESSAGE_AGE = 1 << 2    /* age subtracted from the deadline */
};

#define ONC_KEY_MAX 256
#define ONC_ATTEMPTS_MAX 4

enum onc_state
{
  ONC_NEW,            /* no byte has left this daemon */
  ONC_SENT_TO_HOLDER, /* at the entry: handed to a transport */
  ONC_DISPATCHED,     /* at the holder: handed to the target's transport */
  ONC_DONE
};

/* The entry side of one request.  */
enum onc_status
{
  ONC_OK,        /* the target answered 200: ran */
  ONC_NOT_RUN,   /* explicit refusal of the holder or the target */
  ONC_UNKNOWN,   /* it may have run */
  ONC_DUPLICATE, /* seen before, fate unknown */
  ONC_RECORDED   /* seen before; the recorded answer */
};

/* What the holder reports for a request, in a RESULT message.  */
struct onc_result
{
  enum onc_status status;
  rw_time retry_after; /* ONC_NOT_RUN: microseconds, 0: none */
  struct rw_str body;  /* ONC_OK and ONC_RECORDED: the target's answer */
  struct rw_err cause; /* the other statuses */
};

enum onc_command_kind
{
  ONC_WAIT, /* wait for the next event */
  ONC_SEND, /* send to the holder of a target not in "tried" */
  ONC_ANSWER
};

struct onc_command
{
  enum onc_command_kind kind;
  union
  {
    struct
    {
      uint32_t attempt; /* number of this try, from 1 */
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

struct onc_entry
{
  enum onc_state state;
  struct qry_id id;
  uint32_t attempt;
  rw_time deadline;
  unsigned int disabled_mechanisms; /* onc_mechanism bits; 0 in production */
  rw_time retry_after;              /* of the last refusal, -1: none */
  struct rw_err last_cause;         /* of the last refusal */
};

void onc_entry_init (struct onc_entry *entry, struct qry_id id,
                     rw_time deadline, unsigned int disabled);
/* Each of these fills COMMAND with what to do next.  */
void onc_entry_start (struct onc_entry *entry, rw_time now,
                      struct onc_command *command);
int onc_entry_on_result (struct onc_entry *entry, struct qry_id id,
                         uint32_t attempt, const struct onc_result *result,
                         rw_time now, struct onc_command *command);
void onc_entry_on_unsent (struct onc_entry *entry, uint32_t attempt,
                          const struct rw_err *why, rw_time now,
                          struct onc_command *command);
void onc_entry_on_lost (struct onc_entry *entry, uint32_t attempt,
                        const struct rw_err *why, rw_time now,
                        struct onc_command *command);
/* There is no target or holder to send to, or only tried ones.  */
void onc_entry_on_no_target (struct onc_entry *entry, const struct rw_err *why,
                             rw_time now, struct onc_command *command);
void onc_entry_tick (struct onc_entry *entry, rw_time now,
                     struct onc_command *command);

/* The holder side: a bounded table of ids, each remembered for
   ONC_RETENTION_TIME. An id is never evicted earlier: a full table refuses,
   "not run".  */
#define ONC_RETENTION_TIME (60 * RW_SEC)
#define ONC_ANSWER_MAX 4096 /* bytes of a recorded answer */

struct onc_slot;
struct onc_table
{
  struct onc_slot *slots;
  uint32_t *buckets;
  size_t bucket_count;
  size_t capacity;
  size_t count;
  uint32_t free_head;
  uint32_t oldest; /* in the order of expiry */
  uint32_t newest;
  unsigned int disabled_mechanisms;
};

void onc_table_init (struct onc_table *table, size_t capacity,
                     unsigned int disabled);
void onc_table_finish (struct onc_table *table);
size_t onc_table_count (const struct onc_table *table);

/* Hand-over of a target: the ids that may have run, as hashes of their keys,
   so that the successor recognises a repeated key.  onc_table_export writes at
   most MAX, the newest first, and returns their number; the answers are
   valid until the next call with TABLE.  */
struct onc_exported_key
{
  uint64_t key_hash;
  rw_time time_left;    /* for which it is remembered */
  struct rw_str answer; /* recorded; empty: none */
};
size_t onc_table_export (const struct onc_table *table, rw_time now,
                         struct onc_exported_key *memories, size_t max);
void onc_table_import (struct onc_table *table,
                       const struct onc_exported_key *memory, rw_time now);

/* Called in this order for each request: accept, dispatch, then exactly one of
   unsent, reply or lost; or, instead of dispatch, drop.  KEY is the service
   and the Idempotency-Key, joined by the caller.  RESULT is filled if the
   return value is not 0, and always by the functions that end a request; its
   body is valid until the next call with TABLE.  */
int onc_holder_accept (struct onc_table *table, struct rw_str key,
                       struct qry_id id, rw_time deadline, rw_time now,
                       struct onc_result *result);
int onc_holder_dispatch (struct onc_table *table, struct rw_str key,
                         struct qry_id id, rw_time now,
                         struct onc_result *result);
void onc_holder_drop (struct onc_table *table, struct rw_str key,
                      struct qry_id id, const struct rw_err *why,
                      rw_time retry_after, rw_time now,
                      struct onc_result *result);
void onc_holder_on_unsent (struct onc_table *table, struct rw_str key,
                           struct qry_id id, const struct rw_err *why,
                           rw_time now, struct onc_result *result);
void onc_holder_on_reply (struct onc_table *table, struct rw_str key,
                          struct qry_id id, int http_status,
                          rw_time retry_after, struct rw_str body, rw_time now,
                          struct onc_result *result);
void onc_holder_on_lost (struct onc_table *table, struct rw_str key,
                         struct qry_id id, const struct rw_err *why,
                         rw_time now, struct onc_result *result);

/* Offset of a peer's clock, from HELLO exchanges on one connection.  */
struct onc_clock
{
  bool has_sample;
  rw_time offset;                   /* peer's time minus own time */
  rw_time rtt;                      /* round trip of the sample in use */
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
