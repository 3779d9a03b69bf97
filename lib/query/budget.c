#include "query.h"

/* Prepares an empty BUDGET.  */
void
qry_budget_init (struct qry_budget *budget)
{
  *budget = (struct qry_budget){ 0 };
}

/* Adds what FIRST_SENDS first sends earn: PERCENT (0 to 100) of a token each,
   up to QRY_BUDGET_TOKENS_MAX saved tokens.  */
void
qry_budget_earn (struct qry_budget *budget, size_t first_sends, double percent)
{
  budget->first_sends += first_sends;
  budget->tokens += (double)first_sends * percent / 100.0;
  if (budget->tokens > QRY_BUDGET_TOKENS_MAX)
    budget->tokens = QRY_BUDGET_TOKENS_MAX;
}

/* Takes one token for a hedge or a retry.  Returns false, and counts the
   refusal, if less than one is saved.  */
bool
qry_budget_take (struct qry_budget *budget)
{
  if (budget->tokens < 1.0)
    {
      budget->refused++;
      return false;
    }
  budget->tokens -= 1.0;
  budget->taken++;
  return true;
}

/* A percentile of fewer samples is not used.  */
#define MIN_SAMPLES 20
/* The cached percentile is computed again after this many samples.  */
#define REFRESH_SAMPLES 64

/* Prepares a window without samples that begins at NOW.  */
void
qry_latency_init (struct qry_latency *latency, rw_time now)
{
  rw_hist_init (&latency->current);
  rw_hist_init (&latency->previous);
  latency->window_start = now;
  latency->p95 = 0;
  latency->new_samples = 0;
}

/* Drops samples that are older than two windows.  */
static void
rotate (struct qry_latency *latency, rw_time now)
{
  rw_time elapsed = now - latency->window_start;

  if (elapsed < QRY_LATENCY_WINDOW)
    return;
  if (elapsed < 2 * QRY_LATENCY_WINDOW)
    latency->previous = latency->current;
  else
    rw_hist_init (&latency->previous);
  rw_hist_init (&latency->current);
  latency->window_start = now;
  latency->new_samples = REFRESH_SAMPLES;
}

/* Adds the latency of a part, in microseconds.  */
void
qry_latency_add (struct qry_latency *latency, rw_time sample, rw_time now)
{
  rotate (latency, now);
  rw_hist_add (&latency->current, sample);
  latency->new_samples++;
}

/* Returns the 95th percentile of the last two to four seconds, or 0 if there
   are too few samples.  */
rw_time
qry_latency_p95 (struct qry_latency *latency, rw_time now)
{
  struct rw_hist both;

  rotate (latency, now);
  if (latency->new_samples < REFRESH_SAMPLES && latency->p95 != 0)
    return latency->p95;
  latency->new_samples = 0;
  if (latency->current.count + latency->previous.count < MIN_SAMPLES)
    return latency->p95 = 0;
  both = latency->previous;
  rw_hist_merge (&both, &latency->current);
  latency->p95 = rw_hist_quantile (&both, QRY_HEDGE_QUANTILE);
  return latency->p95;
}

/* Returns the time after which a part without result is hedged.  */
rw_time
qry_hedge_delay (struct qry_latency *latency, rw_time now)
{
  rw_time p95 = qry_latency_p95 (latency, now);

  if (p95 == 0)
    return QRY_HEDGE_DELAY_DEFAULT;
  return p95 > QRY_HEDGE_DELAY_MIN ? p95 : QRY_HEDGE_DELAY_MIN;
}
