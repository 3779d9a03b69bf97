#include <string.h>

#include "follow.h"

/* A page takes a few milliseconds, 60 times as long if the store is slow.  */
#define PAGE_TIMEOUT (1500 * RW_MSEC)
/* How long the store may wait for a change.  The end of a watch confirms that
   nothing has changed, and a copy that is not confirmed for 2.5 s is read from
   the store by every daemon.  A connection may stop delivering data without an
   error.  A watch then ends by its timeout, WATCH_WAIT plus
   WATCH_TIMEOUT_MARGIN, which is shorter than the time in which a new
   configuration must be in force.  */
#define WATCH_WAIT (2 * RW_SEC)
#define WATCH_TIMEOUT_MARGIN (1 * RW_SEC)
/* A store that recovers from an outage or drops its history may hold a watch
   for the whole wait and report nothing, so that changes are missed until the
   next call.  Watches therefore use a short wait for SHORT_WAIT_PERIOD after
   an error.  */
#define SHORT_WAIT_PERIOD (5 * RW_SEC)
#define SHORT_WATCH_WAIT (500 * RW_MSEC)
/* Pause between the reply of a watch and the next watch, so that changes in
   quick succession are read by one call.  */
#define WATCH_PAUSE (250 * RW_MSEC)
/* The backoff starts at RETRY_BACKOFF_BASE and doubles with each consecutive
   error.  The delay is random, uniformly between one half and three halves of
   it.  */
#define RETRY_BACKOFF_BASE (50 * RW_MSEC)
#define RETRY_BACKOFF_MAX (800 * RW_MSEC)
#define MAX_BACKOFF_DOUBLINGS 4

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
  call->wait = now < reader->short_waits_until ? SHORT_WATCH_WAIT : WATCH_WAIT;
  call->timeout = call->wait + WATCH_TIMEOUT_MARGIN;
  return true;
}

/* Ends the call in flight, and the outage if there was one.  */
static void
record_reply (struct fol_reader *reader, rw_time now)
{
  reader->in_call = false;
  reader->errors = 0;
  reader->failing_since = 0;
  reader->last_reply = now;
}

int64_t
fol_known_era (const struct fol_reader *reader)
{
  int64_t revision = reader->revision;
  if (reader->listing && !reader->first_page)
    revision = reader->listing_revision;
  return rw_revision_era (revision);
}

enum fol_era
fol_check_era (const struct fol_reader *reader, int64_t era)
{
  int64_t known = fol_known_era (reader);
  if (era < known)
    return FOL_ERA_OLDER;
  if (era == known || (reader->listing && reader->first_page))
    return FOL_ERA_SAME;
  return FOL_ERA_NEWER;
}

bool
fol_on_page (struct fol_reader *reader, int64_t revision, bool more,
             rw_time now)
{
  record_reply (reader, now);
  reader->next_call = now;
  if (reader->first_page)
    reader->listing_revision = revision;
  reader->first_page = false;
  if (more)
    return false;
  reader->listing = false;
  reader->revision = reader->listing_revision;
  return true;
}

void
fol_on_changes (struct fol_reader *reader, int64_t revision, rw_time now)
{
  record_reply (reader, now);
  if (revision > reader->revision)
    reader->revision = revision;
  reader->next_call = now + WATCH_PAUSE;
}

void
fol_on_error (struct fol_reader *reader, enum fol_error error, rw_time now)
{
  unsigned int doublings = reader->errors < MAX_BACKOFF_DOUBLINGS
                               ? reader->errors
                               : MAX_BACKOFF_DOUBLINGS;
  rw_time backoff = RETRY_BACKOFF_BASE << doublings;
  if (backoff > RETRY_BACKOFF_MAX)
    backoff = RETRY_BACKOFF_MAX;
  reader->in_call = false;
  reader->short_waits_until = now + SHORT_WAIT_PERIOD;
  if (reader->listing)
    reader->first_page = true;
  if (error == FOL_ERROR_COMPACTED || error == FOL_ERROR_NEW_ERA)
    {
      /* Not an outage: the store replied, and a listing can start at once.  */
      record_reply (reader, now);
      reader->listing = true;
      reader->first_page = true;
      reader->next_call = now;
      return;
    }
  reader->errors++;
  reader->last_error = now;
  if (reader->failing_since == 0)
    reader->failing_since = now;
  reader->next_call
      = now + backoff / 2 + (rw_time)rw_rng_below (&reader->rng, backoff);
}

void
fol_on_confirmed (struct fol_reader *reader, rw_time at)
{
  if (reader->in_call || at <= reader->last_error)
    return;
  reader->errors = 0;
  reader->failing_since = 0;
}

rw_time
fol_outage_time (const struct fol_reader *reader, rw_time now)
{
  return reader->failing_since == 0 ? 0 : now - reader->failing_since;
}
