#include "once.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define NO_SLOT UINT32_MAX

/* One remembered id.  */
struct onc_slot
{
  enum onc_state state;
  struct qry_id id;
  uint64_t hash;
  rw_time deadline;
  rw_time expires;
  uint32_t chain; /* next slot of the same bucket, or of the free list */
  uint32_t older;
  uint32_t newer;
  bool recorded;
  bool imported; /* the key itself is not known, only HASH */
  struct rw_buf key;
  struct rw_buf body;
};

/* Prepares TABLE for at most CAPACITY ids (1 to 2^31).  */
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
    table->slots[i].chain = i + 1 < capacity ? (uint32_t)i + 1 : NO_SLOT;
}

/* Frees all ids.  */
void
onc_table_finish (struct onc_table *table)
{
  for (size_t i = 0; i < table->capacity; i++)
    {
      rw_buf_finish (&table->slots[i].key);
      rw_buf_finish (&table->slots[i].body);
    }
  free (table->slots);
  free (table->buckets);
}

/* Returns the number of remembered ids.  */
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

static uint32_t
find (const struct onc_table *table, struct rw_str key)
{
  uint64_t hash = rw_hash (key);
  uint32_t i = *bucket_of (table, hash);

  while (i != NO_SLOT
         && (table->slots[i].hash != hash
             || (!table->slots[i].imported
                 && !rw_str_eq (rw_buf_str (&table->slots[i].key), key))))
    i = table->slots[i].chain;
  return i;
}

static void
unlink_age (struct onc_table *table, const struct onc_slot *slot)
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

/* Forgets slot I.  */
static void
forget (struct onc_table *table, uint32_t i)
{
  struct onc_slot *slot = &table->slots[i];
  uint32_t *link = bucket_of (table, slot->hash);

  while (*link != i)
    link = &table->slots[*link].chain;
  *link = slot->chain;
  unlink_age (table, slot);
  rw_buf_finish (&slot->key);
  rw_buf_finish (&slot->body);
  slot->chain = table->free_head;
  table->free_head = i;
  table->count--;
}

/* Forgets the ids whose time is over.  The list is in the order of
   acceptance, so one with a long deadline delays those behind it.  */
static void
expire (struct onc_table *table, rw_time now)
{
  while (table->oldest != NO_SLOT
         && table->slots[table->oldest].expires <= now)
    forget (table, table->oldest);
}

/* Takes a free slot for an id of which the key has HASH.  */
static struct onc_slot *
take_slot (struct onc_table *table, uint64_t hash, struct qry_id id,
           rw_time deadline, rw_time expires)
{
  uint32_t i = table->free_head;
  struct onc_slot *slot = &table->slots[i];
  uint32_t *bucket = bucket_of (table, hash);

  table->free_head = slot->chain;
  *slot = (struct onc_slot){ .state = ONC_NEW,
                             .id = id,
                             .hash = hash,
                             .deadline = deadline,
                             .expires = expires,
                             .chain = *bucket,
                             .older = table->newest,
                             .newer = NO_SLOT };
  rw_buf_init (&slot->key);
  rw_buf_init (&slot->body);
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
remember (struct onc_table *table, struct rw_str key, struct qry_id id,
          rw_time deadline)
{
  struct onc_slot *slot = take_slot (table, rw_hash (key), id, deadline,
                                     deadline + ONC_RETENTION_TIME);

  rw_buf_append_str (&slot->key, key);
}

/* Writes the ids that may have run, the newest first.  An id that was accepted
   only is left out: this daemon refuses it, and it may run elsewhere.  */
size_t
onc_table_export (const struct onc_table *table, rw_time now,
                  struct onc_exported_key *memories, size_t max)
{
  size_t count = 0;

  for (uint32_t i = table->newest; i != NO_SLOT && count < max;
       i = table->slots[i].older)
    {
      const struct onc_slot *slot = &table->slots[i];

      if (slot->state != ONC_NEW && slot->expires > now)
        memories[count++]
            = (struct onc_exported_key){ slot->hash, slot->expires - now,
                                         rw_buf_str (&slot->body) };
    }
  return count;
}

/* Remembers an id of the predecessor, unless it is known or the table is
   full.  A time above ONC_RETENTION_TIME and the longest deadline is cut.  */
void
onc_table_import (struct onc_table *table,
                  const struct onc_exported_key *memory, rw_time now)
{
  uint32_t i;
  rw_time left = memory->time_left < 2 * ONC_RETENTION_TIME
                     ? memory->time_left
                     : 2 * ONC_RETENTION_TIME;
  struct onc_slot *slot;

  expire (table, now);
  i = *bucket_of (table, memory->key_hash);
  while (i != NO_SLOT && table->slots[i].hash != memory->key_hash)
    i = table->slots[i].chain;
  if (i != NO_SLOT || table->count == table->capacity)
    return;
  slot = take_slot (table, memory->key_hash, (struct qry_id){ 0, 0 }, now,
                    now + left);
  slot->state = ONC_DONE;
  slot->imported = true;
  slot->recorded = memory->answer.len != 0;
  rw_buf_append_str (&slot->body, memory->answer);
}

static int
not_run (struct onc_result *result, int code, rw_time retry_after,
         const char *detail)
{
  *result = (struct onc_result){ .status = ONC_NOT_RUN,
                                 .retry_after = retry_after };
  return rw_err_set (&result->cause, code, "once", RW_LIT (""), "%s", detail);
}

/* Fills RESULT for a key that slot I remembers.  */
static int
repeated (const struct onc_table *table, uint32_t i, struct onc_result *result)
{
  const struct onc_slot *slot = &table->slots[i];

  *result = (struct onc_result){ .status = ONC_DUPLICATE };
  if (slot->recorded)
    {
      result->status = ONC_RECORDED;
      result->body = rw_buf_str (&slot->body);
    }
  return rw_err_set (&result->cause, RW_E_DUPLICATE, "once", RW_LIT (""),
                     "the key was used within the last %d s",
                     (int)(ONC_RETENTION_TIME / RW_SEC));
}

/* Accepts a request that may run until DEADLINE.  Returns 0, or, with RESULT
   to report: RW_E_RANGE for an empty or long key, RW_E_DEADLINE if the time is
   over, RW_E_DUPLICATE for a remembered key, RW_E_QUEUE_FULL if the table is
   full.  */
int
onc_holder_accept (struct onc_table *table, struct rw_str key,
                   struct qry_id id, rw_time deadline, rw_time now,
                   struct onc_result *result)
{
  uint32_t i;

  expire (table, now);
  if (key.len == 0 || key.len > ONC_KEY_MAX)
    return not_run (result, RW_E_RANGE, 0, "a key has 1 to 256 bytes");
  i = find (table, key);
  if (i != NO_SLOT
      && (table->disabled_mechanisms & ONC_MECH_DEDUPLICATION) == 0)
    return repeated (table, i, result);
  if (i != NO_SLOT)
    forget (table, i);
  if (deadline <= now)
    return not_run (result, RW_E_DEADLINE, 0, "no time left on arrival");
  if (table->count == table->capacity)
    return not_run (result, RW_E_QUEUE_FULL,
                    table->slots[table->oldest].expires - now,
                    "the table of ids is full");
  remember (table, key, id, deadline);
  return 0;
}

/* Returns the slot of KEY if it belongs to request ID and is in STATE.  */
static uint32_t
find_in (const struct onc_table *table, struct rw_str key, struct qry_id id,
         enum onc_state state)
{
  uint32_t i = find (table, key);

  if (i != NO_SLOT && qry_id_eq (table->slots[i].id, id)
      && table->slots[i].state == state)
    return i;
  return NO_SLOT;
}

/* Marks a request as dispatched, which happens at most once.  Call it
   immediately before the first byte is handed to the target's transport.
   Returns 0; RW_E_DEADLINE, with a "not run" RESULT, if the time is over, for
   instance because this process was frozen; RW_E_DUPLICATE if the request was
   dispatched, dropped or never accepted: then there is nothing to report.  */
int
onc_holder_dispatch (struct onc_table *table, struct rw_str key,
                     struct qry_id id, rw_time now, struct onc_result *result)
{
  uint32_t i = find_in (table, key, id, ONC_NEW);

  if (i == NO_SLOT)
    return RW_E_DUPLICATE;
  if (table->slots[i].deadline <= now)
    {
      forget (table, i);
      return not_run (result, RW_E_DEADLINE, 0, "no time left to dispatch");
    }
  table->slots[i].state = ONC_DISPATCHED;
  return 0;
}

/* Ends a request that stays undispatched; the id is forgotten, so that the
   entry daemon may try again.  RESULT is "not run" if that is true.  */
void
onc_holder_drop (struct onc_table *table, struct rw_str key, struct qry_id id,
                 const struct rw_err *why, rw_time retry_after, rw_time now,
                 struct onc_result *result)
{
  uint32_t i = find_in (table, key, id, ONC_NEW);

  (void)now;
  *result = (struct onc_result){ .status = ONC_UNKNOWN, .cause = *why };
  if (i == NO_SLOT)
    return;
  forget (table, i);
  result->status = ONC_NOT_RUN;
  result->retry_after = retry_after;
}

/* Ends a dispatched request of which no byte was handed to the transport. */
void
onc_holder_on_unsent (struct onc_table *table, struct rw_str key,
                      struct qry_id id, const struct rw_err *why, rw_time now,
                      struct onc_result *result)
{
  uint32_t i = find_in (table, key, id, ONC_DISPATCHED);

  (void)now;
  *result = (struct onc_result){ .status = ONC_UNKNOWN, .cause = *why };
  if (i == NO_SLOT)
    return;
  forget (table, i);
  result->status = ONC_NOT_RUN;
}

/* Whether BODY is a target's statement that it did not run the request.  */
static bool
says_not_run (struct rw_str body)
{
  json_t *root = json_loadb (body.len != 0 ? body.ptr : "", body.len, 0, NULL);
  const char *ran = json_string_value (json_object_get (root, "ran"));
  bool no = ran != NULL && strcmp (ran, "no") == 0;

  json_decref (root);
  return no;
}

/* Marks slot I as ended; BODY is recorded if it is not too long.  */
static void
record (struct onc_table *table, uint32_t i, struct rw_str body)
{
  struct onc_slot *slot = &table->slots[i];

  slot->state = ONC_DONE;
  if (body.len > ONC_ANSWER_MAX)
    return;
  slot->recorded = true;
  rw_buf_append_str (&slot->body, body);
}

/* Ends a dispatched request with the target's answer.  Only 409 and 503 with
   a body that says so mean "not run"; only 200 means that it ran.  RETRY_AFTER
   is in microseconds, 0 if the target named none.  */
void
onc_holder_on_reply (struct onc_table *table, struct rw_str key,
                     struct qry_id id, int http_status, rw_time retry_after,
                     struct rw_str body, rw_time now,
                     struct onc_result *result)
{
  uint32_t i = find_in (table, key, id, ONC_DISPATCHED);

  (void)now;
  *result = (struct onc_result){ .status = ONC_UNKNOWN };
  if (http_status == 200)
    {
      result->status = ONC_OK;
      result->body = body;
      if (i != NO_SLOT)
        record (table, i, body);
      return;
    }
  if ((http_status == 409 || http_status == 503) && says_not_run (body))
    {
      if (i != NO_SLOT)
        forget (table, i);
      not_run (result, RW_E_SHED, retry_after, "the target refused");
      return;
    }
  rw_err_set (&result->cause, RW_E_MISMATCH, "once", RW_LIT (""),
              "the target answered %d", http_status);
  if (i != NO_SLOT)
    table->slots[i].state = ONC_DONE;
}

/* Ends a dispatched request whose connection broke after the first byte, or
   whose time is over.  The id stays remembered.  */
void
onc_holder_on_lost (struct onc_table *table, struct rw_str key,
                    struct qry_id id, const struct rw_err *why, rw_time now,
                    struct onc_result *result)
{
  uint32_t i = find_in (table, key, id, ONC_DISPATCHED);

  (void)now;
  *result = (struct onc_result){ .status = ONC_UNKNOWN, .cause = *why };
  if (i != NO_SLOT)
    table->slots[i].state = ONC_DONE;
}
