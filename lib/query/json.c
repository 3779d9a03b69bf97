#include "query_impl.h"

#include <stdlib.h>
#include <string.h>

/* Returns S as a JSON string.  If S is not valid UTF-8, every byte of it that
   is not printable ASCII is replaced by '?', so that an answer can always be
   encoded.  */
json_t *
qry_json_string (struct rw_str s)
{
  json_t *text = json_stringn (s.len != 0 ? s.ptr : "", s.len);
  char *copy;

  if (text != NULL)
    return text;
  copy = rw_xmalloc (s.len);
  for (size_t i = 0; i < s.len; i++)
    copy[i] = s.ptr[i] >= ' ' && s.ptr[i] <= '~' ? s.ptr[i] : '?';
  text = json_stringn (copy, s.len);
  free (copy);
  return text;
}

/* Returns the text of the JSON string VALUE, which owns it, or an empty string
   if VALUE is not a JSON string.  */
static struct rw_str
string_of (const json_t *value)
{
  return (struct rw_str){ json_string_value (value),
                          json_string_length (value) };
}

/* Sets ERR to DETAIL and returns RW_E_PARSE.  */
static int
parse_error (struct rw_err *err, const char *detail)
{
  return rw_err_set (err, RW_E_PARSE, "decode", RW_LIT (""), "%s", detail);
}

/* Parses JSON.  Returns null with ERR set if it is malformed or longer than
   QRY_BODY_MAX bytes.  */
static json_t *
load_json (struct rw_str text, struct rw_err *err)
{
  json_error_t error;
  json_t *root;

  if (text.len > QRY_BODY_MAX)
    {
      rw_err_set (err, RW_E_RANGE, "decode", RW_LIT (""),
                  "%zu bytes, above the limit of %d", text.len, QRY_BODY_MAX);
      return NULL;
    }
  root = json_loadb (text.len != 0 ? text.ptr : "", text.len,
                     JSON_REJECT_DUPLICATES, &error);
  if (root == NULL)
    parse_error (err, error.text);
  return root;
}

static int
record_from_json (const json_t *item, struct rw_arena *arena,
                  struct qry_record *record, struct rw_err *err)
{
  const json_t *id = json_object_get (item, "id");
  const json_t *score = json_object_get (item, "score");
  const json_t *text = json_object_get (item, "text");

  if (!json_is_string (id) || !json_is_number (score)
      || !json_is_string (text))
    return parse_error (err, "a record needs id, score and text");
  if (json_string_length (id) == 0
      || json_string_length (id) > QRY_RECORD_ID_MAX)
    return parse_error (err, "a record id has 1 to 256 bytes");
  record->id = rw_arena_str (arena, string_of (id));
  record->score = json_number_value (score);
  record->text = rw_arena_str (arena, string_of (text));
  return 0;
}

static int
records_from_json (const json_t *array, struct rw_arena *arena,
                   struct qry_record **records, size_t *count,
                   struct rw_err *err)
{
  size_t len = json_array_size (array);

  if (!json_is_array (array))
    return parse_error (err, "records are not an array");
  if (len > QRY_RECORDS_MAX)
    return parse_error (err, "too many records");
  *records = rw_arena_zalloc (arena, len, sizeof **records);
  *count = len;
  for (size_t i = 0; i < len; i++)
    {
      int result = record_from_json (json_array_get (array, i), arena,
                                     &(*records)[i], err);

      if (result != 0)
        return result;
    }
  return 0;
}

/* Decodes a JSON array of records into ARENA.  Returns 0; or, with ERR (may be
   null) set, RW_E_RANGE if JSON is longer than QRY_BODY_MAX bytes, or
   RW_E_PARSE if it is malformed or has more than QRY_RECORDS_MAX records.  */
int
qry_parse_records (struct rw_str json, struct rw_arena *arena,
                   struct qry_record **records, size_t *count,
                   struct rw_err *err)
{
  json_t *root = load_json (json, err);
  int result;

  *records = NULL;
  *count = 0;
  if (root == NULL)
    return json.len > QRY_BODY_MAX ? RW_E_RANGE : RW_E_PARSE;
  result = records_from_json (root, arena, records, count, err);
  json_decref (root);
  return result;
}

static int
parts_from_json (const json_t *array, struct rw_arena *arena,
                 struct qry_reply *reply, struct rw_err *err)
{
  size_t len = json_array_size (array);

  reply->parts = rw_arena_zalloc (arena, len, sizeof *reply->parts);
  reply->part_count = len;
  for (size_t i = 0; i < len; i++)
    {
      const json_t *item = json_array_get (array, i);
      const json_t *id = json_object_get (item, "id");
      struct qry_reply_part *part = &reply->parts[i];
      int result;

      if (!json_is_string (id))
        return parse_error (err, "a result needs an id");
      part->id = rw_arena_str (arena, string_of (id));
      result = records_from_json (json_object_get (item, "records"), arena,
                                  &part->records, &part->record_count, err);
      if (result != 0)
        return result;
    }
  return 0;
}

/* Decodes an incarnation: a JSON integer, or a string of 1 to 16 lower-case
   hexadecimal digits, because many JSON writers lose bits of integers above
   2^53.  */
static int
incarnation_from_json (const json_t *value, uint64_t *incarnation)
{
  struct rw_str text = string_of (value);

  *incarnation = 0;
  if (json_is_integer (value))
    {
      *incarnation = (uint64_t)json_integer_value (value);
      return 0;
    }
  if (!json_is_string (value) || text.len == 0 || text.len > 16)
    return RW_E_PARSE;
  for (size_t i = 0; i < text.len; i++)
    {
      const char *digits = "0123456789abcdef";
      const char *digit = strchr (digits, text.ptr[i]);

      if (digit == NULL || *digit == '\0')
        return RW_E_PARSE;
      *incarnation = *incarnation << 4 | (uint64_t)(digit - digits);
    }
  return 0;
}

static int
reply_from_json (const json_t *root, struct rw_arena *arena,
                 struct qry_reply *reply, struct rw_err *err)
{
  const json_t *target = json_object_get (root, "target");
  const json_t *snapshot = json_object_get (root, "snapshot");
  const json_t *shard = json_object_get (root, "shard");
  const json_t *results = json_object_get (root, "results");

  if (!json_is_string (target) || !json_is_string (snapshot)
      || !json_is_integer (shard) || !json_is_array (results))
    return parse_error (err, "a reply needs target, snapshot, shard, results");
  if (json_integer_value (shard) < 0
      || json_integer_value (shard) >= UINT32_MAX)
    return parse_error (err, "shard out of range");
  if (incarnation_from_json (json_object_get (root, "incarnation"),
                             &reply->incarnation)
      != 0)
    return parse_error (err, "incarnation is not a number");
  reply->target = rw_arena_str (arena, string_of (target));
  reply->snapshot = rw_arena_str (arena, string_of (snapshot));
  reply->shard = (uint32_t)json_integer_value (shard);
  reply->load = json_number_value (json_object_get (root, "load"));
  return parts_from_json (results, arena, reply, err);
}

/* Decodes a target's answer to POST /search into ARENA.  Returns 0; or, with
   ERR (may be null) set, RW_E_RANGE if JSON is longer than QRY_BODY_MAX bytes,
   or RW_E_PARSE if it is malformed or has too many records.  The caller must
   compare target, snapshot, shard and ids with the request.  */
int
qry_parse_reply (struct rw_str json, struct rw_arena *arena,
                 struct qry_reply *reply, struct rw_err *err)
{
  json_t *root = load_json (json, err);
  int result;

  *reply = (struct qry_reply){ 0 };
  if (root == NULL)
    return json.len > QRY_BODY_MAX ? RW_E_RANGE : RW_E_PARSE;
  result = reply_from_json (root, arena, reply, err);
  json_decref (root);
  return result;
}

/* Decodes a target's answer with status 409 into ARENA: the snapshot that the
   target serves.  Returns 0, or RW_E_PARSE with SNAPSHOT empty.  */
int
qry_parse_snapshot_refusal (struct rw_str json, struct rw_arena *arena,
                            struct rw_str *snapshot)
{
  json_t *root = load_json (json, NULL);
  const json_t *value = json_object_get (root, "snapshot");
  int result = json_is_string (value) ? 0 : RW_E_PARSE;

  *snapshot = RW_LIT ("");
  if (result == 0)
    *snapshot = rw_arena_str (arena, string_of (value));
  json_decref (root);
  return result;
}

/* Appends ROOT to OUT and frees ROOT.  */
static void
append_json (json_t *root, struct rw_buf *out)
{
  char *text = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (17));

  if (text == NULL)
    abort ();
  rw_buf_append (out, text, strlen (text));
  free (text);
  json_decref (root);
}

/* Appends RECORDS to OUT as the JSON array that qry_parse_records decodes.  */
void
qry_encode_records (const struct qry_record *records, size_t count,
                    struct rw_buf *out)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < count; i++)
    {
      json_t *item = json_object ();

      json_object_set_new (item, "id", qry_json_string (records[i].id));
      json_object_set_new (item, "score", json_real (records[i].score));
      json_object_set_new (item, "text", qry_json_string (records[i].text));
      json_array_append_new (array, item);
    }
  append_json (array, out);
}

/* Appends the body of POST /search to OUT, which asks to search SHARD of
   SNAPSHOT for COUNT queries with the ids IDS and the texts TEXTS.  */
void
qry_encode_search (struct rw_str snapshot, uint32_t shard,
                   const struct rw_str *ids, const struct rw_str *texts,
                   size_t count, struct rw_buf *out)
{
  json_t *root = json_object ();
  json_t *queries = json_array ();

  json_object_set_new (root, "snapshot", qry_json_string (snapshot));
  json_object_set_new (root, "shard", json_integer (shard));
  for (size_t i = 0; i < count; i++)
    {
      json_t *item = json_object ();

      json_object_set_new (item, "id", qry_json_string (ids[i]));
      json_object_set_new (item, "q", qry_json_string (texts[i]));
      json_array_append_new (queries, item);
    }
  json_object_set_new (root, "queries", queries);
  append_json (root, out);
}

/* Appends the JSON of an error answer to OUT.  RETRY_AFTER is in microseconds
   and is rounded up to milliseconds; if it is negative, it is omitted.  */
void
qry_encode_error (const struct rw_err *err, enum qry_ran ran,
                  rw_time retry_after, struct rw_buf *out)
{
  char text[256];
  json_t *root = json_object ();

  rw_err_format (err, text, sizeof text);
  json_object_set_new (root, "error", qry_json_string (rw_str_from (text)));
  json_object_set_new (root, "ran", json_string (qry_ran_name (ran)));
  if (retry_after >= 0)
    json_object_set_new (root, "retry_after_ms",
                         json_integer ((retry_after + RW_MSEC - 1) / RW_MSEC));
  json_object_set_new (root, "step",
                       qry_json_string (rw_str_from (err->step)));
  json_object_set_new (root, "peer",
                       qry_json_string (rw_str_from (err->peer)));
  append_json (root, out);
}
