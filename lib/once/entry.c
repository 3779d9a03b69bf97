#include "once.h"

/* Retry-After of a "not run" answer when no refusal named a time.  */
#define DEFAULT_RETRY_AFTER (100 * RW_MSEC)

/* Prepares ENTRY for a request to be answered by DEADLINE.  DISABLED is 0
   except in tests.  */
void
onc_entry_init (struct onc_entry *entry, struct qry_id id, rw_time deadline,
                unsigned int disabled)
{
  *entry = (struct onc_entry){ .state = ONC_NEW,
                               .id = id,
                               .deadline = deadline,
                               .disabled_mechanisms = disabled,
                               .retry_after = -1 };
}

static void
nothing (struct onc_command *command)
{
  command->kind = ONC_WAIT;
}

/* Ends the request with an error.  A "not run" answer tells when to retry;
   an "unknown" one does not, because a repetition might run it twice.  */
static void
answer_error (struct onc_entry *entry, const struct rw_err *why,
              enum qry_ran ran, struct onc_command *command)
{
  rw_time retry_after = -1;

  if (ran == QRY_RAN_NO)
    retry_after
        = entry->retry_after > 0 ? entry->retry_after : DEFAULT_RETRY_AFTER;
  entry->state = ONC_DONE;
  command->kind = ONC_ANSWER;
  command->u.answer.status = ran == QRY_RAN_NO ? 503 : 504;
  command->u.answer.ran = ran;
  command->u.answer.retry_after = retry_after;
  rw_buf_init (&command->u.answer.body);
  qry_encode_error (why, ran, retry_after, &command->u.answer.body);
}

static void
answer_ok (struct onc_entry *entry, struct rw_str body,
           struct onc_command *command)
{
  entry->state = ONC_DONE;
  command->kind = ONC_ANSWER;
  command->u.answer.status = 200;
  command->u.answer.ran = QRY_RAN_YES;
  command->u.answer.retry_after = -1;
  rw_buf_init (&command->u.answer.body);
  rw_buf_append_str (&command->u.answer.body, body);
}

/* Sends the request, or ends it if the time or the tries are used up.  The
   request counts as sent from here on; only onc_entry_on_unsent takes that
   back.  */
static void
try_send (struct onc_entry *entry, rw_time now, struct onc_command *command)
{
  if (now >= entry->deadline)
    {
      if (entry->last_cause.code == 0)
        rw_err_set (&entry->last_cause, RW_E_DEADLINE, "once", RW_LIT (""),
                    "no time left to send");
      answer_error (entry, &entry->last_cause, QRY_RAN_NO, command);
      return;
    }
  if (entry->attempt >= ONC_ATTEMPTS_MAX)
    {
      answer_error (entry, &entry->last_cause, QRY_RAN_NO, command);
      return;
    }
  entry->state = ONC_SENT_TO_HOLDER;
  entry->attempt++;
  command->kind = ONC_SEND;
  command->u.send.attempt = entry->attempt;
  command->u.send.deadline = entry->deadline;
}

/* Starts the request.  */
void
onc_entry_start (struct onc_entry *entry, rw_time now,
                 struct onc_command *command)
{
  try_send (entry, now, command);
}

/* Takes an explicit "not run": the only outcome after which the request is
   sent again.  */
static void
on_not_run (struct onc_entry *entry, const struct rw_err *why,
            rw_time retry_after, rw_time now, struct onc_command *command)
{
  entry->state = ONC_NEW;
  entry->last_cause = *why;
  if (retry_after > 0)
    entry->retry_after = retry_after;
  try_send (entry, now, command);
}

/* Ends a request that may have run.  */
static void
on_unknown (struct onc_entry *entry, const struct rw_err *why, rw_time now,
            struct onc_command *command)
{
  if ((entry->disabled_mechanisms & ONC_MECH_AT_MOST_ONCE) != 0)
    {
      on_not_run (entry, why, 0, now, command);
      return;
    }
  answer_error (entry, why, QRY_RAN_UNKNOWN, command);
}

/* Takes the RESULT of try ATTEMPT of request ID.  Returns 0, or RW_E_MISMATCH
   if it does not belong to the running try and is ignored.  */
int
onc_entry_on_result (struct onc_entry *entry, struct qry_id id,
                     uint32_t attempt, const struct onc_result *result,
                     rw_time now, struct onc_command *command)
{
  nothing (command);
  if (entry->state != ONC_SENT_TO_HOLDER || !qry_id_eq (id, entry->id)
      || attempt != entry->attempt)
    return RW_E_MISMATCH;
  switch (result->status)
    {
    case ONC_OK:
    case ONC_RECORDED:
      answer_ok (entry, result->body, command);
      break;
    case ONC_NOT_RUN:
      on_not_run (entry, &result->cause, result->retry_after, now, command);
      break;
    case ONC_UNKNOWN:
    case ONC_DUPLICATE:
      on_unknown (entry, &result->cause, now, command);
      break;
    }
  return 0;
}

/* Takes the notice that not a single byte of try ATTEMPT was handed to a
   transport.  */
void
onc_entry_on_unsent (struct onc_entry *entry, uint32_t attempt,
                     const struct rw_err *why, rw_time now,
                     struct onc_command *command)
{
  nothing (command);
  if (entry->state == ONC_SENT_TO_HOLDER && attempt == entry->attempt)
    on_not_run (entry, why, 0, now, command);
}

/* Takes the notice that the connection on which try ATTEMPT was sent broke. */
void
onc_entry_on_lost (struct onc_entry *entry, uint32_t attempt,
                   const struct rw_err *why, rw_time now,
                   struct onc_command *command)
{
  nothing (command);
  if (entry->state == ONC_SENT_TO_HOLDER && attempt == entry->attempt)
    on_unknown (entry, why, now, command);
}

/* Takes the notice that there is no target or holder for the try that was
   commanded last; nothing was sent.  A refusal of an earlier try is the better
   reason.  */
void
onc_entry_on_no_target (struct onc_entry *entry, const struct rw_err *why,
                        rw_time now, struct onc_command *command)
{
  (void)now;
  nothing (command);
  if (entry->state == ONC_SENT_TO_HOLDER)
    answer_error (entry,
                  entry->last_cause.code != 0 ? &entry->last_cause : why,
                  QRY_RAN_NO, command);
}

/* Ends the request at its deadline: what was sent may still run.  */
void
onc_entry_tick (struct onc_entry *entry, rw_time now,
                struct onc_command *command)
{
  struct rw_err why = { 0 };

  nothing (command);
  if (entry->state == ONC_DONE || now < entry->deadline)
    return;
  rw_err_set (&why, RW_E_DEADLINE, "once", RW_LIT (""),
              "no result of the holder in time");
  answer_error (entry, &why,
                entry->state == ONC_SENT_TO_HOLDER ? QRY_RAN_UNKNOWN
                                                   : QRY_RAN_NO,
                command);
}
