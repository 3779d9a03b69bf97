#include <string.h>

#include "follow.h"

/* An answer takes a few milliseconds, 60 times that when the store is slow. */
#define PAGE_TIMEOUT (1500 * RW_MSEC)
/* A waiting call may hang on a connection that went silent: it is given up
   before the time in which a configuration must be in force.  */
#define WATCH_WAIT (5 * RW_SEC)
#define WATCH_SLACK (1 * RW_SEC)
/* A store that comes back, or that drops its history, may hold a call and
   answer nothing: for a while after an error the waits are short.  */
#define UNSURE_TIME (5 * RW_SEC)
#define UNSURE_WAIT (500 * RW_MSEC)
/* Shortest time between two waiting calls: changes in quick succession are
   read together.  */
#define WATCH_PAUSE (250 * RW_MSEC)
#define RETRY_FIRST (50 * RW_MSEC)
#define RETRY_MAX (800 * RW_MSEC)

void
fol_init (struct fol_reader *reader, uint64_t seed)
{
  memset (reader, 0, sizeof *reader);
  reader->listing = true;
  reader->first_page = true;
  rw_rng_init (&reader->rng, seed);
}

rw_time
fol_next_call_time (const struct fol_reader *reader)
{
  return reader->in_call ? RW_TIME_NEVER : reader->next_call;
}

void
fol_resume (struct fol_reader *reader, int64_t revision)
{
  if (reader->in_call || revision <= reader->revision)
    return;
  reader->revision = revision;
  reader->listing = false;
}

bool
fol_next_call (struct fol_reader *reader, rw_time now, struct fol_call *call)
{
  if (reader->in_call || now < reader->next_call)
    return false;
  memset (call, 0, sizeof *call);
  reader->in_call = true;
  if (reader->listing)
    {
      call->kind = FOL_CALL_PAGE;
      call->first_page = reader->first_page;
      call->timeout = PAGE_TIMEOUT;
      return true;
    }
  call->kind = FOL_CALL_WATCH;
  call->revision = reader->revision;
  call->wait = now < reader->short_waits_until ? UNSURE_WAIT : WATCH_WAIT;
  call->timeout = call->wait + WATCH_SLACK;
  return true;
}

static void
answered (struct fol_reader *reader, rw_time now)
{
  reader->in_call = false;
  reader->errors = 0;
  reader->failing_since = 0;
  reader->last_reply = now;
}

bool
fol_on_page (struct fol_reader *reader, int64_t at, bool more, rw_time now)
{
  answered (reader, now);
  reader->next_call = now;
  if (reader->first_page)
    reader->listing_revision = at;
  reader->first_page = false;
  if (more)
    return false;
  reader->listing = false;
  reader->revision = reader->listing_revision;
  return true;
}

void
fol_on_changes (struct fol_reader *reader, int64_t at, rw_time now)
{
  answered (reader, now);
  if (at > reader->revision)
    reader->revision = at;
  reader->next_call = now + WATCH_PAUSE;
}

void
fol_on_error (struct fol_reader *reader, enum fol_error error, rw_time now)
{
  unsigned int shift = reader->errors < 4 ? reader->errors : 4;
  rw_time delay = RETRY_FIRST << shift;
  if (delay > RETRY_MAX)
    delay = RETRY_MAX;
  reader->in_call = false;
  reader->short_waits_until = now + UNSURE_TIME;
  if (reader->listing)
    reader->first_page = true;
  if (error == FOL_ERROR_COMPACTED)
    {
      answered (reader, now);
      reader->listing = true;
      reader->first_page = true;
      reader->next_call = now;
      return;
    }
  reader->errors++;
  if (reader->failing_since == 0)
    reader->failing_since = now;
  reader->next_call
      = now + delay / 2 + (rw_time)rw_rng_below (&reader->rng, delay);
}

rw_time
fol_outage_time (const struct fol_reader *reader, rw_time now)
{
  return reader->failing_since == 0 ? 0 : now - reader->failing_since;
}
