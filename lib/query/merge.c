#include "query_impl.h"

#include <math.h>
#include <string.h>

/* Returns 0 if there are at most QRY_RECORDS_MAX records and each has an id of
   1 to QRY_RECORD_ID_MAX bytes and a finite score, else RW_E_RANGE.  */
int
qry_check_records (const struct qry_record *records, size_t count)
{
  if (count > QRY_RECORDS_MAX)
    return RW_E_RANGE;
  for (size_t i = 0; i < count; i++)
    if (records[i].id.len == 0 || records[i].id.len > QRY_RECORD_ID_MAX
        || !isfinite (records[i].score))
      return RW_E_RANGE;
  return 0;
}

/* Returns a negative number if A comes before B in an answer, a positive one
   if after.  Records are ordered by score, highest first, then by id.  Copies
   of a record that differ only in their text are ordered by the text, so that
   the answer does not depend on the order in which results arrive.  */
static int
compare_records (const struct qry_record *a, const struct qry_record *b)
{
  int order;

  if (a->score != b->score)
    return a->score > b->score ? -1 : 1;
  order = rw_str_cmp (a->id, b->id);
  return order != 0 ? order : rw_str_cmp (a->text, b->text);
}

/* Returns the index in top_records of the record with ID, whose hash is HASH,
   or top_count if there is none.  */
static size_t
find_id (const struct qry_query *query, struct rw_str id, uint64_t hash)
{
  for (size_t i = 0; i < query->top_count; i++)
    if (query->top_records[i].hash == hash
        && rw_str_eq (query->top_records[i].record.id, id))
      return i;
  return query->top_count;
}

/* Returns the index in top_records at which RECORD is to be inserted.  */
static size_t
insert_position (const struct qry_query *query,
                 const struct qry_record *record)
{
  size_t low = 0;
  size_t high = query->top_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (compare_records (&query->top_records[middle].record, record) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Inserts a copy of RECORD into top_records.  If they are full, drops the
   last, which is worse than RECORD.  */
static void
insert_record (struct qry_query *query, const struct qry_record *record,
               uint64_t hash)
{
  size_t position = insert_position (query, record);
  size_t tail_count;

  if (query->top_count == query->top_cap)
    query->top_count--;
  tail_count = query->top_count - position;
  memmove (&query->top_records[position + 1], &query->top_records[position],
           tail_count * sizeof *query->top_records);
  query->top_records[position].record.id
      = rw_arena_str (&query->arena, record->id);
  query->top_records[position].record.text
      = rw_arena_str (&query->arena, record->text);
  query->top_records[position].record.score = record->score;
  query->top_records[position].hash = hash;
  query->top_count++;
}

/* Merges RECORD into top_records, where each id has only its best copy.  A
   record that was dropped need not be kept for later: those that displaced it
   can only be replaced by better ones.  */
static void
merge_record (struct qry_query *query, const struct qry_record *record)
{
  bool full = query->top_count == query->top_cap;
  uint64_t hash;
  size_t i;

  if (full
      && compare_records (record,
                          &query->top_records[query->top_count - 1].record)
             >= 0)
    return;
  hash = rw_hash (record->id);
  i = find_id (query, record->id, hash);
  if (i < query->top_count)
    {
      if (compare_records (&query->top_records[i].record, record) <= 0)
        return;
      query->top_count--;
      memmove (&query->top_records[i], &query->top_records[i + 1],
               (query->top_count - i) * sizeof *query->top_records);
    }
  insert_record (query, record, hash);
}

/* Merges COUNT records of one shard, in any order, into the best records of
   QUERY.  The strings are copied.  */
void
qry_merge_records (struct qry_query *query, const struct qry_record *records,
                   size_t count)
{
  if (query->top_cap == 0)
    return;
  for (size_t i = 0; i < count; i++)
    merge_record (query, &records[i]);
}
