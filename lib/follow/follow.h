/* Follows the revisions of a read-only store by list and watch: lists the
   whole content page by page, then watches for changes by long-polling calls.
   After a new era of the store (see rw_revision_make) the content is listed
   again, as changes that were known may be lost.
   The pages are not one snapshot, so the watch starts at the revision of the
   first page; the caller must ignore a change that is older than its copy of
   the entry.  The caller does the I/O and reports the results: one call at a
   time is in flight, and nothing here reads a clock.  All times are on the
   clock of rw_now.  */

#ifndef FOL_FOLLOW_H
#define FOL_FOLLOW_H

#include "base.h"

enum fol_call_kind
{
  FOL_CALL_PAGE, /* reads one page of a listing */
  FOL_CALL_WATCH /* waits for changes */
};

struct fol_call
{
  enum fol_call_kind kind;
  bool first_page;  /* PAGE: the call starts a new listing */
  int64_t revision; /* WATCH: the store returns the changes after it */
  rw_time wait;     /* WATCH: how long the store may wait for a change */
  rw_time timeout;  /* from the call to its whole reply */
};

enum fol_error
{
  FOL_ERROR_REFUSED,   /* the store replied that it did nothing */
  FOL_ERROR_NO_REPLY,  /* no reply, or one that cannot be decoded */
  FOL_ERROR_COMPACTED, /* the store no longer has the changes asked for */
  FOL_ERROR_NEW_ERA    /* the reply is of a newer era than the call */
};

/* How the era of a reply compares with that of its call.  */
enum fol_era
{
  FOL_ERA_SAME,
  FOL_ERA_NEWER, /* its revisions cannot be compared with those known */
  FOL_ERA_OLDER  /* the reply is out of date */
};

struct fol_reader
{
  bool listing;              /* the content is being listed, not watched */
  bool first_page;           /* the next page starts a new listing */
  bool in_call;              /* a call is in flight */
  int64_t listing_revision;  /* revision of the listing's first page */
  int64_t revision;          /* all changes up to it are known */
  rw_time next_call;         /* earliest time of the next call */
  unsigned int errors;       /* consecutive failed calls */
  rw_time failing_since;     /* time of the first of them; 0: none */
  rw_time last_error;        /* time of the last failed call */
  rw_time last_reply;        /* time of the last call that did not fail */
  rw_time short_waits_until; /* until then, watches use a short wait */
  struct rw_rng rng;         /* for the jitter of retries */
};

/* Starts with a listing, due at once.  SEED is for the jitter of retries and
   should differ between daemons, so that they do not retry together.  */
void fol_init (struct fol_reader *reader, uint64_t seed);
/* Returns whether a call is due at NOW, and fills in CALL if so.  The call is
   then in flight until its result is reported by fol_on_page, fol_on_changes
   or fol_on_error.  */
bool fol_next_call (struct fol_reader *reader, rw_time now,
                    struct fol_call *call);
/* Records that the content up to REVISION was learned from a peer: the next
   call is a watch from there, and an unfinished listing is dropped.  Does
   nothing while a call is in flight, or if REVISION is not newer than the
   reader's.  */
void fol_resume (struct fol_reader *reader, int64_t revision);
/* Returns when the next call is due, RW_TIME_NEVER while one is in flight.  */
rw_time fol_next_call_time (const struct fol_reader *reader);
/* Returns the era of the content that is being read: of a reply that does not
   state its era.  */
int64_t fol_known_era (const struct fol_reader *reader);
/* Compares ERA, which the reply to the call in flight states.  The first page
   of a listing may be of a newer era than what was known: the result is then
   FOL_ERA_SAME.  */
enum fol_era fol_check_era (const struct fol_reader *reader, int64_t era);
/* Records a page that was read at REVISION; MORE says that it is not the last
   one.  Returns true if it is the last one: the store then no longer has those
   entries that were on none of the pages and are not newer than
   reader->listing_revision.  */
bool fol_on_page (struct fol_reader *reader, int64_t revision, bool more,
                  rw_time now);
/* Records the reply of a watch, which holds all changes up to REVISION.  */
void fol_on_changes (struct fol_reader *reader, int64_t revision, rw_time now);
/* Records that the call in flight failed.  The next call is due after an
   exponential backoff; a listing that failed starts again from its first page.
   If the history was compacted, or a new era began, a new listing is due at
   once.  */
void fol_on_error (struct fol_reader *reader, enum fol_error error,
                   rw_time now);
/* Records that the copy was current at AT, as a peer that reads the store
   tells.  */
void fol_on_confirmed (struct fol_reader *reader, rw_time at);
/* Returns the time since the first of the consecutive failed calls, 0 if the
   last call succeeded or found that the history was compacted, or if the copy
   was current after it.  */
rw_time fol_outage_time (const struct fol_reader *reader, rw_time now);

#endif
