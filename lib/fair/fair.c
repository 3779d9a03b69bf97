#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "fair.h"

#define RECENT_TIME (2 * RW_SEC)
#define USUAL_TIME (60 * RW_SEC)
#define SERVED_TIME (10 * RW_SEC)
/* An organisation has a usual load after this time.  */
#define MIN_HISTORY (10 * RW_SEC)
/* A load above this multiple of the usual one is far above it.  Some requests
   more than that may be chance: three standard deviations of the number that
   is usual, and a few.  */
#define ABOVE_USUAL_RATIO 2.0
#define CHANCE_DEVIATIONS 3.0
#define MIN_EXCESS 3.0
/* An organisation that is served below this fraction of the share of all is
   neglected, if it asked a few times.  Twice the quarter that each must get.
 */
#define NEGLECTED_RATIO 0.5
#define MIN_ASKED 2.0
#define ACCOUNT_LIFE (300 * RW_SEC)

static double
sum_at (const struct fai_sum *sum, rw_time life, rw_time now)
{
  if (now <= sum->at)
    return sum->value;
  return sum->value * exp (-(double)(now - sum->at) / (double)life);
}

static void
sum_add (struct fai_sum *sum, double value, rw_time life, rw_time now)
{
  sum->value = sum_at (sum, life, now) + value;
  sum->at = now;
}

void
fai_init (struct fai_table *table)
{
  memset (table, 0, sizeof *table);
  rw_map_init (&table->accounts);
}

void
fai_finish (struct fai_table *table)
{
  size_t position = 0;
  void *account;
  while ((account = rw_map_next (&table->accounts, &position)) != NULL)
    free (account);
  rw_map_finish (&table->accounts);
}

/* Returns the account of ORGANISATION, added if there is room.  */
static struct fai_account *
account_of (struct fai_table *table, uint64_t organisation, rw_time now)
{
  struct fai_account *account = rw_map_get (&table->accounts, organisation);
  if (account != NULL)
    return account;
  if (table->accounts.len >= FAI_MAX_ORGANISATIONS)
    return &table->others;
  account = rw_xcalloc (1, sizeof *account);
  account->organisation = organisation;
  account->since = now;
  rw_map_put (&table->accounts, organisation, account);
  return account;
}

void
fai_on_request (struct fai_table *table, uint64_t organisation, rw_time now)
{
  struct fai_account *account = account_of (table, organisation, now);
  sum_add (&account->recent, 1, RECENT_TIME, now);
  sum_add (&account->usual, 1, USUAL_TIME, now);
}

/* The number of requests that ACCOUNT usually has within RECENT_TIME.  Its sum
   has not grown to its full size before USUAL_TIME is over.  */
static double
usual_count (const struct fai_account *account, rw_time now)
{
  double age = (double)(now - account->since) / USUAL_TIME;
  double span = USUAL_TIME * (1 - exp (-age));
  return sum_at (&account->usual, USUAL_TIME, now) * RECENT_TIME / span;
}

static bool
is_above_usual (const struct fai_account *account, rw_time now)
{
  if (now - account->since < MIN_HISTORY)
    return false;
  double usual = usual_count (account, now);
  return sum_at (&account->recent, RECENT_TIME, now)
         > ABOVE_USUAL_RATIO * usual + CHANCE_DEVIATIONS * sqrt (usual)
               + MIN_EXCESS;
}

static bool
is_neglected (const struct fai_table *table, const struct fai_account *account,
              rw_time now)
{
  double asked = sum_at (&account->asked, SERVED_TIME, now);
  double all = sum_at (&table->asked, SERVED_TIME, now);
  if (asked < MIN_ASKED || all <= 0)
    return false;
  double share = sum_at (&account->served, SERVED_TIME, now) / asked;
  return share
         < NEGLECTED_RATIO * sum_at (&table->served, SERVED_TIME, now) / all;
}

enum fai_standing
fai_standing (const struct fai_table *table, uint64_t organisation,
              rw_time now)
{
  const struct fai_account *account
      = rw_map_get (&table->accounts, organisation);
  if (account == NULL)
    return FAI_NORMAL;
  if (is_neglected (table, account, now))
    return FAI_NEGLECTED;
  return is_above_usual (account, now) ? FAI_ABOVE_USUAL : FAI_NORMAL;
}

void
fai_on_decision (struct fai_table *table, uint64_t organisation,
                 bool is_admitted, rw_time now)
{
  struct fai_account *account = account_of (table, organisation, now);
  double served = is_admitted ? 1 : 0;
  sum_add (&account->asked, 1, SERVED_TIME, now);
  sum_add (&account->served, served, SERVED_TIME, now);
  sum_add (&table->asked, 1, SERVED_TIME, now);
  sum_add (&table->served, served, SERVED_TIME, now);
}

void
fai_sweep (struct fai_table *table, rw_time now)
{
  size_t position = 0;
  struct fai_account *account;
  while ((account = rw_map_next (&table->accounts, &position)) != NULL)
    if (now - account->usual.at > ACCOUNT_LIFE)
      {
        rw_map_remove (&table->accounts, account->organisation);
        free (account);
        return; /* the map has moved its items */
      }
}
