/* Fair shares of organisations while targets have too little room.  Each
   daemon decides for itself, from what it has seen of an organisation:

   - one that sends far more than it usually does gives way before others,
   since it brought the pressure about;
   - one that was served much less often than all are, is served first.

   An organisation's usual load is its own average over the last minutes, so a
   large organisation is not at a disadvantage for its size.  Nothing here
   reads a clock or does I/O.  */

#ifndef FAI_FAIR_H
#define FAI_FAIR_H

#include "base.h"

/* Organisations with a state of their own.  Those beyond this number share
   one, in which none stands out.  */
#define FAI_MAX_ORGANISATIONS 1024

/* A sum of events that decays with a time constant.  */
struct fai_sum
{
  double value;
  rw_time at; /* last event; 0: none yet */
};

struct fai_account
{
  uint64_t organisation;
  rw_time since;         /* first request */
  struct fai_sum recent; /* requests, over RECENT_TIME */
  struct fai_sum usual;  /* requests, over USUAL_TIME */
  struct fai_sum asked;  /* requests under pressure, over SERVED_TIME */
  struct fai_sum served; /* those of them that were admitted */
};

struct fai_table
{
  struct rw_map accounts;    /* by organisation */
  struct fai_account others; /* those without an account */
  struct fai_sum asked;      /* of all */
  struct fai_sum served;
};

enum fai_standing
{
  FAI_NORMAL,
  FAI_ABOVE_USUAL, /* gives way before others */
  FAI_NEGLECTED    /* is to be served before others */
};

void fai_init (struct fai_table *table);
void fai_finish (struct fai_table *table);
/* Counts a request of ORGANISATION, a hash of its name.  */
void fai_on_request (struct fai_table *table, uint64_t organisation,
                     rw_time now);
/* Returns how ORGANISATION stands among all.  */
enum fai_standing fai_standing (const struct fai_table *table,
                                uint64_t organisation, rw_time now);
/* Counts a decision under pressure on a request of ORGANISATION.  */
void fai_on_decision (struct fai_table *table, uint64_t organisation,
                      bool is_admitted, rw_time now);
/* Drops the accounts without a request for some minutes.  To be called
   regularly; drops one at a time.  */
void fai_sweep (struct fai_table *table, rw_time now);

#endif
