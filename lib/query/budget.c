#include "query.h"

/* Initialises BUDGET without tokens.  */
void
qry_budget_init (struct qry_budget *budget)
{
  *budget = (struct qry_budget){ 0 };
}

/* Adds PERCENT / 100 of a token (PERCENT from 0 to 100) for each of
   FIRST_SENDS first sends.  Tokens above QRY_BUDGET_TOKENS_MAX are lost.  */
void
qry_budget_earn (struct qry_budget *budget, size_t first_sends, double percent)
{
  budget->first_sends += first_sends;
  budget->tokens += (double)first_sends * percent / 100.0;
  if (budget->tokens > QRY_BUDGET_TOKENS_MAX)
    budget->tokens = QRY_BUDGET_TOKENS_MAX;
}

/* Takes one token for a hedge or a retry.  If there is less than one, returns
   false and counts the refusal.  */
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

/* With fewer samples, the percentile is not used.  */
#define P95_SAMPLES_MIN 20
/* The cached percentile is computed again after this number of samples.  */
#define P95_REFRESH_SAMPLES 64

/* Initialises LATENCY without samples; the first window begins at NOW.  */
void
qry_latency_init (struct qry_latency *latency, rw_time now)
{
  rw_hist_init (&latency->current);
  rw_hist_init (&latency->previous);
  latency->window_start = now;
  latency->p95 = 0;
  latency->new_samples = 0;
}

/* Starts a new window at NOW if the current one has ended, which drops the
   samples of the previous window.  If the current window began at least two
   windows' time ago, its samples are dropped, too.  The next qry_latency_p95
   computes the percentile again.  */
static void
rotate_window (struct qry_latency *latency, rw_time now)
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
  latency->new_samples = P95_REFRESH_SAMPLES;
}

/* Adds SAMPLE, the latency of a part, at NOW.  */
void
qry_latency_add (struct qry_latency *latency, rw_time sample, rw_time now)
{
  rotate_window (latency, now);
  rw_hist_add (&latency->current, sample);
  latency->new_samples++;
}

/* Returns the 95th percentile of the samples of the current and the previous
   window, about the last two to four seconds, or 0 if there are too few.  */
rw_time
qry_latency_p95 (struct qry_latency *latency, rw_time now)
{
  struct rw_hist merged;

  rotate_window (latency, now);
  if (latency->new_samples < P95_REFRESH_SAMPLES && latency->p95 != 0)
    return latency->p95;
  latency->new_samples = 0;
  if (latency->current.count + latency->previous.count < P95_SAMPLES_MIN)
    return latency->p95 = 0;
  merged = latency->previous;
  rw_hist_merge (&merged, &latency->current);
  latency->p95 = rw_hist_quantile (&merged, QRY_HEDGE_QUANTILE);
  return latency->p95;
}

/* Returns the time from a send without a result to its hedge: the 95th
   percentile of the recent latencies, but at least QRY_HEDGE_DELAY_MIN.  */
rw_time
qry_hedge_delay (struct qry_latency *latency, rw_time now)
{
  rw_time p95 = qry_latency_p95 (latency, now);

  if (p95 == 0)
    return QRY_HEDGE_DELAY_DEFAULT;
  return p95 > QRY_HEDGE_DELAY_MIN ? p95 : QRY_HEDGE_DELAY_MIN;
}
