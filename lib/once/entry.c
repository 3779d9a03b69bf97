#include "once.h"

/* Retry-After of a "not run" answer if no refusal named a time.  */
#define DEFAULT_RETRY_AFTER (100 * RW_MSEC)

/* Initialises ENTRY for request ID, to be answered by DEADLINE.  DISABLED
   holds onc_mechanism bits, 0 in production.  */
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
set_wait (struct onc_command *command)
{
  command->kind = ONC_WAIT;
}

/* Ends the request with an error.  A "not run" answer says when to retry; an
   "unknown" answer does not, because a retry could run the request twice.  */
static void
answer_error (struct onc_entry *entry, const struct rw_err *cause,
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
  qry_encode_error (cause, ran, retry_after, &command->u.answer.body);
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

/* Fills COMMAND with the next attempt, or ends the request as "not run" if its
   deadline has passed or no attempt is left.  From here on the request counts
   as sent, until a refusal, onc_entry_on_unsent or onc_entry_on_no_target
   shows that the attempt did not run.  */
static void
try_send (struct onc_entry *entry, rw_time now, struct onc_command *command)
{
  if (now >= entry->deadline)
    {
      if (entry->last_cause.code == 0)
        rw_err_set (&entry->last_cause, RW_E_DEADLINE, "once", RW_LIT (""),
                    "the request was not sent in time");
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

/* Fills COMMAND with the first attempt, or with the answer if the deadline has
   passed.  */
void
onc_entry_start (struct onc_entry *entry, rw_time now,
                 struct onc_command *command)
{
  try_send (entry, now, command);
}

/* Handles an attempt that certainly did not run, the only outcome after which
   the request is sent again.  RETRY_AFTER is in microseconds, 0: none.  */
static void
on_not_run (struct onc_entry *entry, const struct rw_err *cause,
            rw_time retry_after, rw_time now, struct onc_command *command)
{
  entry->state = ONC_NEW;
  entry->last_cause = *cause;
  if (retry_after > 0)
    entry->retry_after = retry_after;
  try_send (entry, now, command);
}

/* Ends a request that may have run.  It is not retried, because a second
   attempt could run it twice.  */
static void
on_unknown (struct onc_entry *entry, const struct rw_err *cause, rw_time now,
            struct onc_command *command)
{
  if ((entry->disabled_mechanisms & ONC_MECH_AT_MOST_ONCE) != 0)
    {
      on_not_run (entry, cause, 0, now, command);
      return;
    }
  answer_error (entry, cause, QRY_RAN_UNKNOWN, command);
}

/* Handles the holder's RESULT for ATTEMPT of request ID.  Returns 0, or
   RW_E_MISMATCH if RESULT is ignored because it is not for the attempt in
   flight.  */
int
onc_entry_on_result (struct onc_entry *entry, struct qry_id id,
                     uint32_t attempt, const struct onc_result *result,
                     rw_time now, struct onc_command *command)
{
  set_wait (command);
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

/* Handles the failure of ATTEMPT before any byte was passed to a transport:
   the request did not run.  */
void
onc_entry_on_unsent (struct onc_entry *entry, uint32_t attempt,
                     const struct rw_err *cause, rw_time now,
                     struct onc_command *command)
{
  set_wait (command);
  if (entry->state == ONC_SENT_TO_HOLDER && attempt == entry->attempt)
    on_not_run (entry, cause, 0, now, command);
}

/* Handles the loss of the connection on which ATTEMPT was sent: the request
   may have run.  */
void
onc_entry_on_lost (struct onc_entry *entry, uint32_t attempt,
                   const struct rw_err *cause, rw_time now,
                   struct onc_command *command)
{
  set_wait (command);
  if (entry->state == ONC_SENT_TO_HOLDER && attempt == entry->attempt)
    on_unknown (entry, cause, now, command);
}

/* Ends the request as "not run" because the last commanded attempt found no
   target or holder, so that nothing was sent.  The cause of an earlier
   attempt's failure, if any, is reported instead of CAUSE, because it is
   more specific.  */
void
onc_entry_on_no_target (struct onc_entry *entry, const struct rw_err *cause,
                        rw_time now, struct onc_command *command)
{
  (void)now;
  set_wait (command);
  if (entry->state == ONC_SENT_TO_HOLDER)
    answer_error (entry,
                  entry->last_cause.code != 0 ? &entry->last_cause : cause,
                  QRY_RAN_NO, command);
}

/* Ends the request at its deadline.  An attempt in flight may still run, so
   the answer is "unknown" in that case and "not run" otherwise.  */
void
onc_entry_tick (struct onc_entry *entry, rw_time now,
                struct onc_command *command)
{
  struct rw_err cause = { 0 };

  set_wait (command);
  if (entry->state == ONC_DONE || now < entry->deadline)
    return;
  rw_err_set (&cause, RW_E_DEADLINE, "once", RW_LIT (""),
              "no result from the holder");
  answer_error (entry, &cause,
                entry->state == ONC_SENT_TO_HOLDER ? QRY_RAN_UNKNOWN
                                                   : QRY_RAN_NO,
                command);
}
