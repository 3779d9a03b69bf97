#include "query_impl.h"

#include <math.h>
#include <string.h>

/* Returns 0 if every record has an id of valid length and a finite score,
   else RW_E_RANGE.  */
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

/* Orders best first: higher score, then lower id.  Copies of one record that
   differ only in their text are ordered by it, so that the result does not
   depend on the order of arrival.  */
static int
compare (const struct qry_record *a, const struct qry_record *b)
{
  int order;

  if (a->score != b->score)
    return a->score > b->score ? -1 : 1;
  order = rw_str_cmp (a->id, b->id);
  return order != 0 ? order : rw_str_cmp (a->text, b->text);
}

/* Returns the place of the record with ID, or top_count.  */
static size_t
find_id (const struct qry_query *query, struct rw_str id, uint64_t hash)
{
  for (size_t i = 0; i < query->top_count; i++)
    if (query->top_records[i].hash == hash
        && rw_str_eq (query->top_records[i].record.id, id))
      return i;
  return query->top_count;
}

/* Returns the place at which RECORD belongs.  */
static size_t
place_of (const struct qry_query *query, const struct qry_record *record)
{
  size_t low = 0;
  size_t high = query->top_count;

  while (low < high)
    {
      size_t middle = low + (high - low) / 2;

      if (compare (&query->top_records[middle].record, record) < 0)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

static void
insert (struct qry_query *query, const struct qry_record *record,
        uint64_t hash)
{
  size_t place = place_of (query, record);
  size_t moved;

  if (query->top_count == query->top_cap)
    query->top_count--;
  moved = query->top_count - place;
  memmove (&query->top_records[place + 1], &query->top_records[place],
           moved * sizeof *query->top_records);
  query->top_records[place].record.id
      = rw_arena_str (&query->arena, record->id);
  query->top_records[place].record.text
      = rw_arena_str (&query->arena, record->text);
  query->top_records[place].record.score = record->score;
  query->top_records[place].hash = hash;
  query->top_count++;
}

/* Merges one record into the best ones.  A record that falls out of them can
   not come back: whatever displaced it stays ahead of it.  */
static void
merge_one (struct qry_query *query, const struct qry_record *record)
{
  bool full = query->top_count == query->top_cap;
  uint64_t hash;
  size_t same;

  if (full
      && compare (record, &query->top_records[query->top_count - 1].record)
             >= 0)
    return;
  hash = rw_hash (record->id);
  same = find_id (query, record->id, hash);
  if (same < query->top_count)
    {
      if (compare (&query->top_records[same].record, record) <= 0)
        return;
      query->top_count--;
      memmove (&query->top_records[same], &query->top_records[same + 1],
               (query->top_count - same) * sizeof *query->top_records);
    }
  insert (query, record, hash);
}

/* Merges the records of one shard, in any order, into the best of QUERY.  */
void
qry_merge_records (struct qry_query *query, const struct qry_record *records,
                   size_t count)
{
  if (query->top_cap == 0)
    return;
  for (size_t i = 0; i < count; i++)
    merge_one (query, &records[i]);
}
