#include "query_impl.h"

#include <stdlib.h>
#include <string.h>

/* Retry-After of an error answer if no refusal named a time.  */
#define RETRY_AFTER_DEFAULT (100 * RW_MSEC)

/* Returns the value of "ran" in an error answer: "no", "yes" or "unknown".  */
const char *
qry_ran_name (enum qry_ran ran)
{
  switch (ran)
    {
    case QRY_RAN_NO:
      return "no";
    case QRY_RAN_YES:
      return "yes";
    case QRY_RAN_UNKNOWN:
      break;
    }
  return "unknown";
}

/* Returns the best records as a JSON array.  */
static json_t *
records_json (const struct qry_query *query)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < query->top_count; i++)
    {
      const struct qry_record *r = &query->top_records[i].record;
      json_t *item = json_object ();

      json_object_set_new (item, "id", qry_json_string (r->id));
      json_object_set_new (item, "score", json_real (r->score));
      json_object_set_new (item, "text", qry_json_string (r->text));
      json_array_append_new (array, item);
    }
  return array;
}

/* Returns the numbers of the shards that are not covered.  */
static json_t *
missing_json (const struct qry_query *query)
{
  json_t *array = json_array ();

  for (size_t i = 0; i < query->part_count; i++)
    if (query->parts[i].state != QRY_PART_COVERED)
      json_array_append_new (array, json_integer ((json_int_t)i));
  return array;
}

static json_t *
coverage_json (const struct qry_query *query)
{
  json_t *object = json_object ();

  json_object_set_new (object, "covered",
                       json_integer ((json_int_t)query->covered_count));
  json_object_set_new (object, "shards",
                       json_integer ((json_int_t)query->part_count));
  json_object_set_new (object, "missing", missing_json (query));
  return object;
}

/* Returns the JSON of a successful answer (docs/design.md, section 6),
   allocated from the arena of QUERY.  */
static struct rw_str
answer_body (struct qry_query *query, bool complete)
{
  json_t *root = json_object ();
  struct rw_str body;
  char *text;

  json_object_set_new (root, "service", qry_json_string (query->env->service));
  json_object_set_new (root, "snapshot",
                       qry_json_string (query->map->snapshot));
  json_object_set_new (root, "complete", json_boolean (complete));
  json_object_set_new (root, "coverage", coverage_json (query));
  json_object_set_new (root, "records", records_json (query));
  text = json_dumps (root, JSON_COMPACT | JSON_REAL_PRECISION (17));
  if (text == NULL)
    abort ();
  body = rw_arena_str (&query->arena, rw_str_from (text));
  free (text);
  json_decref (root);
  return body;
}

/* Builds the error answer of a query without a covered shard.  The status is
   504 if LATE, which means that the result deadline has passed, else 503:
   nothing is left that could run a part in time.  */
static void
build_error (struct qry_query *query, bool late)
{
  struct rw_buf buf;
  struct qry_command *answer = &query->answer;

  if (query->last_error.code == 0)
    rw_err_set (&query->last_error, late ? RW_E_DEADLINE : RW_E_NOT_FOUND,
                "query", query->env->service,
                late ? "no shard answered in time" : "no shard to ask");
  if (query->min_retry_after < 0)
    query->min_retry_after = RETRY_AFTER_DEFAULT;
  rw_buf_init (&buf);
  qry_encode_error (&query->last_error,
                    query->may_have_run ? QRY_RAN_UNKNOWN : QRY_RAN_NO,
                    query->min_retry_after, &buf);
  answer->u.answer.status = late ? 504 : 503;
  answer->u.answer.retry_after = query->min_retry_after;
  answer->u.answer.body = rw_arena_str (&query->arena, rw_buf_str (&buf));
  rw_buf_finish (&buf);
}

/* Builds the answer from the records merged so far, or an error answer if no
   shard is covered.  LATE: the result deadline has passed.  */
void
qry_build_answer (struct qry_query *query, bool late)
{
  struct qry_command *answer = &query->answer;
  bool complete
      = query->part_count > 0 && query->covered_count == query->part_count;

  answer->kind = QRY_ANSWER;
  answer->u.answer.complete = complete;
  answer->u.answer.covered = query->covered_count;
  answer->u.answer.shards = query->part_count;
  if (query->covered_count == 0)
    {
      build_error (query, late);
      return;
    }
  answer->u.answer.status = 200;
  answer->u.answer.retry_after = -1;
  answer->u.answer.body = answer_body (query, complete);
}
