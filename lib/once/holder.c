#include "once.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define NO_SLOT UINT32_MAX

/* One remembered key.  */
struct onc_slot
{
  enum onc_state state; /* never ONC_SENT_TO_HOLDER */
  struct qry_id id;     /* of the request that used the key */
  uint64_t key_hash;
  rw_time deadline;
  rw_time expires_at;
  uint32_t next;  /* in the same bucket, or in the free list */
  uint32_t older; /* neighbours in the order of acceptance */
  uint32_t newer;
  bool has_answer;
  bool imported;     /* KEY is not known, only KEY_HASH */
  struct rw_buf key; /* service and Idempotency-Key */
  struct rw_buf answer;
};

/* Initialises TABLE for at most CAPACITY keys (1 to 2^31).  DISABLED holds
   onc_mechanism bits, 0 in production.  */
void
onc_table_init (struct onc_table *table, size_t capacity,
                unsigned int disabled)
{
  *table = (struct onc_table){ .capacity = capacity,
                               .bucket_count = capacity * 2,
                               .oldest = NO_SLOT,
                               .newest = NO_SLOT,
                               .free_head = 0,
                               .disabled_mechanisms = disabled };
  table->slots = rw_xcalloc (capacity, sizeof *table->slots);
  table->buckets = rw_xcalloc (table->bucket_count, sizeof *table->buckets);
  for (size_t i = 0; i < table->bucket_count; i++)
    table->buckets[i] = NO_SLOT;
  for (size_t i = 0; i < capacity; i++)
    table->slots[i].next = i + 1 < capacity ? (uint32_t)i + 1 : NO_SLOT;
}

/* Frees all keys and answers.  */
void
onc_table_finish (struct onc_table *table)
{
  for (size_t i = 0; i < table->capacity; i++)
    {
      rw_buf_finish (&table->slots[i].key);
      rw_buf_finish (&table->slots[i].answer);
    }
  free (table->slots);
  free (table->buckets);
}

/* Returns the number of remembered keys.  Expired keys count until the next
   call that removes them.  */
size_t
onc_table_count (const struct onc_table *table)
{
  return table->count;
}

static uint32_t *
bucket_of (const struct onc_table *table, uint64_t hash)
{
  return &table->buckets[hash % table->bucket_count];
}

/* Returns the slot of KEY, or NO_SLOT.  An imported slot is compared by its
   hash only.  On a collision, a new request counts as a repetition of the
   other key: it does not run and gets that key's recorded answer, if any.  */
static uint32_t
find_slot (const struct onc_table *table, struct rw_str key)
{
  uint64_t hash = rw_hash (key);
  uint32_t i = *bucket_of (table, hash);

  while (i != NO_SLOT
         && (table->slots[i].key_hash != hash
             || (!table->slots[i].imported
                 && !rw_str_eq (rw_buf_str (&table->slots[i].key), key))))
    i = table->slots[i].next;
  return i;
}

static void
unlink_acceptance_order (struct onc_table *table, const struct onc_slot *slot)
{
  if (slot->older != NO_SLOT)
    table->slots[slot->older].newer = slot->newer;
  else
    table->oldest = slot->newer;
  if (slot->newer != NO_SLOT)
    table->slots[slot->newer].older = slot->older;
  else
    table->newest = slot->older;
}

/* Removes slot I from the table and frees its key and answer.  */
static void
remove_slot (struct onc_table *table, uint32_t i)
{
  struct onc_slot *slot = &table->slots[i];
  uint32_t *link = bucket_of (table, slot->key_hash);

  while (*link != i)
    link = &table->slots[*link].next;
  *link = slot->next;
  unlink_acceptance_order (table, slot);
  rw_buf_finish (&slot->key);
  rw_buf_finish (&slot->answer);
  slot->next = table->free_head;
  table->free_head = i;
  table->count--;
}

/* Removes expired keys.  The list is in the order of acceptance and the scan
   stops at the first key that has not expired, so a key with a long deadline
   delays the removal of those accepted after it.  */
static void
remove_expired (struct onc_table *table, rw_time now)
{
  while (table->oldest != NO_SLOT
         && table->slots[table->oldest].expires_at <= now)
    remove_slot (table, table->oldest);
}

/* Adds a slot without key or answer and returns it.  The table must not be
   full.  */
static struct onc_slot *
add_slot (struct onc_table *table, uint64_t key_hash, struct qry_id id,
          rw_time deadline, rw_time expires_at)
{
  uint32_t i = table->free_head;
  struct onc_slot *slot = &table->slots[i];
  uint32_t *bucket = bucket_of (table, key_hash);

  table->free_head = slot->next;
  *slot = (struct onc_slot){ .state = ONC_NEW,
                             .id = id,
                             .key_hash = key_hash,
                             .deadline = deadline,
                             .expires_at = expires_at,
                             .next = *bucket,
                             .older = table->newest,
                             .newer = NO_SLOT };
  rw_buf_init (&slot->key);
  rw_buf_init (&slot->answer);
  *bucket = i;
  if (table->newest != NO_SLOT)
    table->slots[table->newest].newer = i;
  else
    table->oldest = i;
  table->newest = i;
  table->count++;
  return slot;
}

static void
add_key (struct onc_table *table, struct rw_str key, struct qry_id id,
         rw_time deadline)
{
  struct onc_slot *slot = add_slot (table, rw_hash (key), id, deadline,
                                    deadline + ONC_RETENTION_TIME);

  rw_buf_append_str (&slot->key, key);
}

/* Writes the keys of requests that may have run to KEYS, at most MAX, the
   newest first, and returns their number.  The answers are valid until the
   next call with TABLE.  A key that was accepted but not dispatched is left
   out: this daemon refuses the request, and it may run elsewhere.  */
size_t
onc_table_export (const struct onc_table *table, rw_time now,
                  struct onc_exported_key *keys, size_t max)
{
  size_t count = 0;

  for (uint32_t i = table->newest; i != NO_SLOT && count < max;
       i = table->slots[i].older)
    {
      const struct onc_slot *slot = &table->slots[i];

      if (slot->state != ONC_NEW && slot->expires_at > now)
        keys[count++] = (struct onc_exported_key){
          slot->key_hash, slot->expires_at - now, rw_buf_str (&slot->answer)
        };
    }
  return count;
}

/* Remembers a key of the previous holder, unless it is known already.  The key
   is kept for its time_left, cut at twice ONC_RETENTION_TIME, which covers the
   retention time and the longest deadline.  If the table is full, new requests
   are refused for that time, since each may be a repetition.  */
void
onc_table_import (struct onc_table *table,
                  const struct onc_exported_key *exported, rw_time now)
{
  uint32_t i;
  rw_time time_left = exported->time_left < 2 * ONC_RETENTION_TIME
                          ? exported->time_left
                          : 2 * ONC_RETENTION_TIME;
  struct onc_slot *slot;

  remove_expired (table, now);
  i = *bucket_of (table, exported->key_hash);
  while (i != NO_SLOT && table->slots[i].key_hash != exported->key_hash)
    i = table->slots[i].next;
  if (i != NO_SLOT)
    return;
  if (table->count == table->capacity)
    {
      if (table->unknown_until < now + time_left)
        table->unknown_until = now + time_left;
      return;
    }
  slot = add_slot (table, exported->key_hash, (struct qry_id){ 0, 0 }, now,
                   now + time_left);
  slot->state = ONC_DONE;
  slot->imported = true;
  slot->has_answer = exported->answer.len != 0;
  rw_buf_append_str (&slot->answer, exported->answer);
}

/* Fills RESULT as "not run" and returns CODE.  */
static int
set_not_run (struct onc_result *result, int code, rw_time retry_after,
             const char *detail)
{
  *result = (struct onc_result){ .status = ONC_NOT_RUN,
                                 .retry_after = retry_after };
  return rw_err_set (&result->cause, code, "once", RW_LIT (""), "%s", detail);
}

/* Fills RESULT for a repetition of the key in slot I: with the recorded answer
   if there is one.  Returns RW_E_DUPLICATE.  */
static int
set_repeated (const struct onc_table *table, uint32_t i,
              struct onc_result *result)
{
  const struct onc_slot *slot = &table->slots[i];

  *result = (struct onc_result){ .status = ONC_DUPLICATE };
  if (slot->has_answer)
    {
      result->status = ONC_RECORDED;
      result->body = rw_buf_str (&slot->answer);
    }
  return rw_err_set (&result->cause, RW_E_DUPLICATE, "once", RW_LIT (""),
                     "the key was used within the last %d s",
                     (int)(ONC_RETENTION_TIME / RW_SEC));
}

/* Accepts a request that may run until DEADLINE.  Returns 0 or an error, with
   RESULT to report: RW_E_RANGE if the key is empty or longer than ONC_KEY_MAX,
   RW_E_DUPLICATE if the key is remembered, RW_E_DEADLINE if the deadline has
   passed, RW_E_QUEUE_FULL if the table is full or was too full for a key that
   was handed over.  */
int
onc_holder_accept (struct onc_table *table, struct rw_str key,
                   struct qry_id id, rw_time deadline, rw_time now,
                   struct onc_result *result)
{
  uint32_t i;

  remove_expired (table, now);
  if (key.len == 0 || key.len > ONC_KEY_MAX)
    return set_not_run (result, RW_E_RANGE, 0, "a key has 1 to 256 bytes");
  i = find_slot (table, key);
  if (i != NO_SLOT
      && (table->disabled_mechanisms & ONC_MECH_DEDUPLICATION) == 0)
    return set_repeated (table, i, result);
  if (i != NO_SLOT)
    remove_slot (table, i);
  if (deadline <= now)
    return set_not_run (result, RW_E_DEADLINE, 0,
                        "the request arrived too late");
  if (now < table->unknown_until)
    return set_not_run (result, RW_E_QUEUE_FULL, table->unknown_until - now,
                        "a key that was handed over did not fit");
  if (table->count == table->capacity)
    return set_not_run (result, RW_E_QUEUE_FULL,
                        table->slots[table->oldest].expires_at - now,
                        "the table of keys is full");
  add_key (table, key, id, deadline);
  return 0;
}

/* Returns the slot of KEY if it belongs to request ID and is in STATE, or
   NO_SLOT.  */
static uint32_t
find_in_state (const struct onc_table *table, struct rw_str key,
               struct qry_id id, enum onc_state state)
{
  uint32_t i = find_slot (table, key);

  if (i != NO_SLOT && qry_id_eq (table->slots[i].id, id)
      && table->slots[i].state == state)
    return i;
  return NO_SLOT;
}

/* Marks a request as dispatched, which succeeds at most once.  Call it
   immediately before the first byte is passed to the target's transport.
   Returns 0; RW_E_DEADLINE, with a "not run" RESULT, if the deadline has
   passed, for example because this process was frozen; RW_E_DUPLICATE, without
   a RESULT to report, if the request was dispatched, dropped or never
   accepted.  */
int
onc_holder_dispatch (struct onc_table *table, struct rw_str key,
                     struct qry_id id, rw_time now, struct onc_result *result)
{
  uint32_t i = find_in_state (table, key, id, ONC_NEW);

  if (i == NO_SLOT)
    return RW_E_DUPLICATE;
  if (table->slots[i].deadline <= now)
    {
      remove_slot (table, i);
      return set_not_run (result, RW_E_DEADLINE, 0,
                          "the request was not dispatched in time");
    }
  table->slots[i].state = ONC_DISPATCHED;
  return 0;
}

/* Ends a request that was accepted but not dispatched.  RESULT is "not run",
   and the key is forgotten, so that the entry daemon may send the request
   again; RESULT is "unknown" if the request is not in that state.  RETRY_AFTER
   is in microseconds, 0: none.  */
void
onc_holder_drop (struct onc_table *table, struct rw_str key, struct qry_id id,
                 const struct rw_err *cause, rw_time retry_after, rw_time now,
                 struct onc_result *result)
{
  uint32_t i = find_in_state (table, key, id, ONC_NEW);

  (void)now;
  *result = (struct onc_result){ .status = ONC_UNKNOWN, .cause = *cause };
  if (i == NO_SLOT)
    return;
  remove_slot (table, i);
  result->status = ONC_NOT_RUN;
  result->retry_after = retry_after;
}

/* Ends a dispatched request of which no byte was passed to the transport.
   RESULT is "not run", and the key is forgotten; RESULT is "unknown" if the
   request was not dispatched.  */
void
onc_holder_on_unsent (struct onc_table *table, struct rw_str key,
                      struct qry_id id, const struct rw_err *cause,
                      rw_time now, struct onc_result *result)
{
  uint32_t i = find_in_state (table, key, id, ONC_DISPATCHED);

  (void)now;
  *result = (struct onc_result){ .status = ONC_UNKNOWN, .cause = *cause };
  if (i == NO_SLOT)
    return;
  remove_slot (table, i);
  result->status = ONC_NOT_RUN;
}

/* Returns whether BODY, of a target's answer, says that the request did not
   run: {"ran":"no"}.  */
static bool
says_not_run (struct rw_str body)
{
  json_t *root = json_loadb (body.len != 0 ? body.ptr : "", body.len, 0, NULL);
  const char *ran = json_string_value (json_object_get (root, "ran"));
  bool no = ran != NULL && strcmp (ran, "no") == 0;

  json_decref (root);
  return no;
}

/* Marks slot I as done and records BODY, unless it is longer than
   ONC_ANSWER_MAX.  */
static void
record_answer (struct onc_table *table, uint32_t i, struct rw_str body)
{
  struct onc_slot *slot = &table->slots[i];

  slot->state = ONC_DONE;
  if (body.len > ONC_ANSWER_MAX)
    return;
  slot->has_answer = true;
  rw_buf_append_str (&slot->answer, body);
}

/* Ends a dispatched request with the target's answer.  Status 200 means that
   it ran; 409 or 503 with a body that says so means "not run"; anything else
   is "unknown".  RETRY_AFTER is in microseconds, 0 if the target named none.
 */
void
onc_holder_on_reply (struct onc_table *table, struct rw_str key,
                     struct qry_id id, int http_status, rw_time retry_after,
                     struct rw_str body, rw_time now,
                     struct onc_result *result)
{
  uint32_t i = find_in_state (table, key, id, ONC_DISPATCHED);

  (void)now;
  *result = (struct onc_result){ .status = ONC_UNKNOWN };
  if (http_status == 200)
    {
      result->status = ONC_OK;
      result->body = body;
      if (i != NO_SLOT)
        record_answer (table, i, body);
      return;
    }
  if ((http_status == 409 || http_status == 503) && says_not_run (body))
    {
      if (i != NO_SLOT)
        remove_slot (table, i);
      set_not_run (result, RW_E_SHED, retry_after,
                   "the target refused the request");
      return;
    }
  rw_err_set (&result->cause, RW_E_MISMATCH, "once", RW_LIT (""),
              "the target answered status %d", http_status);
  if (i != NO_SLOT)
    table->slots[i].state = ONC_DONE;
}

/* Ends a dispatched request as "unknown": its connection broke after the first
   byte, or its deadline passed.  The key stays remembered.  */
void
onc_holder_on_lost (struct onc_table *table, struct rw_str key,
                    struct qry_id id, const struct rw_err *cause, rw_time now,
                    struct onc_result *result)
{
  uint32_t i = find_in_state (table, key, id, ONC_DISPATCHED);

  (void)now;
  *result = (struct onc_result){ .status = ONC_UNKNOWN, .cause = *cause };
  if (i != NO_SLOT)
    table->slots[i].state = ONC_DONE;
}
