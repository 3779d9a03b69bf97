/* Following a store that can only be read: first the whole content in pages,
   then its changes by calls that wait.  The pages are not a snapshot, so the
   changes are followed from the revision of the first page on; who applies
   them ignores what is older than what it has.  */

#ifndef FOL_FOLLOW_H
#define FOL_FOLLOW_H

#include "base.h"

enum fol_call_kind
{
  FOL_CALL_PAGE,
  FOL_CALL_WATCH
};

struct fol_call
{
  enum fol_call_kind kind;
  bool first_page;  /* PAGE: a new reading begins */
  int64_t revision; /* WATCH: changes after it */
  rw_time wait;     /* WATCH */
  rw_time timeout;  /* of the whole call */
};

enum fol_error
{
  FOL_ERROR_REFUSED,  /* the store answered that it did nothing */
  FOL_ERROR_NO_REPLY, /* no answer, or none that can be read */
  FOL_ERROR_COMPACTED /* the history is not there any more */
};

struct fol_reader
{
  bool listing;
  bool first_page;
  bool in_call;
  int64_t listing_revision; /* revision of the first page of this reading */
  int64_t revision;         /* changes up to it are known */
  rw_time next_call;        /* of the next call */
  unsigned int errors;      /* in a row */
  rw_time failing_since;    /* of the first error, 0: none */
  rw_time last_reply;       /* of the last answer */
  rw_time
      short_waits_until; /* until then changes may be missed: short waits */
  struct rw_rng rng;
};

void fol_init (struct fol_reader *reader, uint64_t seed);
/* The call to make at NOW; false if none is due.  */
bool fol_next_call (struct fol_reader *reader, rw_time now,
                    struct fol_call *call);
/* The content up to REVISION was learned from elsewhere: the next call goes on
   from there.  */
void fol_resume (struct fol_reader *reader, int64_t revision);
rw_time fol_next_call_time (const struct fol_reader *reader);
/* Returns true if this page ends the reading: entries that were not on its
   pages and are not newer than reader->first_at are gone.  */
bool fol_on_page (struct fol_reader *reader, int64_t at, bool more,
                  rw_time now);
void fol_on_changes (struct fol_reader *reader, int64_t at, rw_time now);
void fol_on_error (struct fol_reader *reader, enum fol_error error,
                   rw_time now);
/* Time since the store last answered, 0 while it answers.  */
rw_time fol_outage_time (const struct fol_reader *reader, rw_time now);

#endif
