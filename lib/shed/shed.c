#include <math.h>
#include <string.h>

#include "shed.h"

#define UPDATE_INTERVAL (10 * RW_MSEC)
/* A route without requests for this long claims nothing.  */
#define CLAIM_TIME (10 * RW_SEC)

/* Target delays as fractions of the tightest slack: of the route with the
   lowest value in a group, and of the one with the highest.  */
#define MIN_TARGET_FRACTION 0.2
#define MAX_TARGET_FRACTION 0.7
/* Lower bound of a target delay, so that routes whose answers are always late
   are not refused for the usual short queues.  */
#define MIN_TARGET_DELAY (2.0 * RW_MSEC)

/* Parts of a request, of all its parts, that must be delayed for an overload.
 */
#define CRITICAL_DIVISOR 4

/* The controller is proportional and integral.  A share of 1 stops the inflow
   of a queue, whose delay then falls by 1 s per second; with about 50 ms until
   a change of the share shows in the reported queues, these gains leave a
   phase margin of about 40 degrees at a target delay of 10 ms.  */
#define PROPORTIONAL_GAIN 0.2
#define INTEGRAL_GAIN_PER_S 0.3
#define MAX_ERROR 4.0
/* Below this error the pressure is over, and the integral part decays with
   this time constant.  */
#define RELEASE_ERROR (-0.95)
#define RELEASE_TIME (400 * RW_MSEC)
/* The rest is admitted, to see how the targets are.  */
#define MAX_SHARE 0.95
/* Longest time for which one update lets the share rise or fall in proportion
   to the error.  The release takes the whole time into account.  */
#define MAX_STEP (200 * RW_MSEC)
/* The refused share of the requests that come last, relative to the others.
 */
#define LAST_SHARE_FACTOR 8.0

/* Bounds of Retry-After.  A shorter return meets the same queue.  */
#define MIN_RETRY_AFTER (25 * RW_MSEC)
#define MAX_RETRY_AFTER (5 * RW_SEC)
#define TIME_LEFT_DIVISOR 3

void
shd_group_claim (struct shd_group *group, const struct shd_claim *claim)
{
  struct shd_claim *slot = NULL;
  for (size_t i = 0; i < group->count; i++)
    {
      struct shd_claim *c = &group->claims[i];
      if (c->key == claim->key)
        {
          *c = *claim;
          return;
        }
      if (slot == NULL || c->seen_at < slot->seen_at)
        slot = c;
    }
  if (group->count < SHD_MAX_CLAIMS)
    slot = &group->claims[group->count++];
  *slot = *claim;
}

/* The value of a request for its work.  Serving the highest of it first is the
   c-mu rule (Cox and Smith, 1961); a step of priority counts as much as twice
   the work.  */
static double
value_of (const struct shd_claim *claim)
{
  return ldexp (1 / claim->work, -(int)claim->priority);
}

/* Whether the requests of A are served before those of B.  */
static bool
goes_before (const struct shd_claim *a, const struct shd_claim *b)
{
  return a->rank != b->rank ? a->rank < b->rank : value_of (a) > value_of (b);
}

double
shd_target_delay (const struct shd_group *group, uint64_t key, rw_time now)
{
  const struct shd_claim *own = group->claims;
  while (own->key != key)
    own++;
  double slack = own->slack;
  size_t above = 0;
  size_t others = 0;
  for (size_t i = 0; i < group->count; i++)
    {
      const struct shd_claim *c = &group->claims[i];
      if (c == own || now - c->seen_at > CLAIM_TIME)
        continue;
      others++;
      if (!goes_before (c, own))
        continue;
      above++;
      slack = fmin (slack, c->slack);
    }
  double rank = others > 0 ? (double)above / (double)others : 0;
  double fraction = MAX_TARGET_FRACTION
                    - rank * (MAX_TARGET_FRACTION - MIN_TARGET_FRACTION);
  return fmax (fraction * slack, MIN_TARGET_DELAY);
}

/* Reorders VALUES so that the one at INDEX is the one that sorting would put
   there (quickselect).  */
static double
select_value (double *values, size_t count, size_t index)
{
  size_t low = 0;
  size_t high = count - 1;
  while (low < high)
    {
      double pivot = values[(low + high) / 2];
      size_t i = low;
      size_t j = high;
      while (i <= j)
        {
          while (values[i] < pivot)
            i++;
          while (values[j] > pivot)
            j--;
          if (i > j)
            break;
          double value = values[i];
          values[i++] = values[j];
          values[j] = value;
          if (j == 0)
            break;
          j--;
        }
      if (index <= j)
        high = j;
      else if (index >= i)
        low = i;
      else
        break;
    }
  return values[index];
}

double
shd_critical_delay (double *delays, size_t count, size_t needed)
{
  size_t most = count - count / CRITICAL_DIVISOR;
  if (needed > most)
    needed = most;
  return select_value (delays, count, needed > 0 ? needed - 1 : 0);
}

void
shd_init (struct shd_route *route)
{
  memset (route, 0, sizeof *route);
}

bool
shd_update_due (const struct shd_route *route, rw_time now)
{
  return now - route->updated_at >= UPDATE_INTERVAL;
}

void
shd_update (struct shd_route *route, double delay, double target, rw_time now)
{
  rw_time elapsed = route->updated_at == 0 ? 0 : now - route->updated_at;
  rw_time step = elapsed < MAX_STEP ? elapsed : MAX_STEP;
  double error = fmin (delay / target - 1, MAX_ERROR);
  route->integral += INTEGRAL_GAIN_PER_S * error * (double)step / RW_SEC;
  if (error < RELEASE_ERROR)
    route->integral *= exp (-(double)elapsed / RELEASE_TIME);
  route->integral = fmax (0, fmin (route->integral, MAX_SHARE));
  route->share = route->integral + PROPORTIONAL_GAIN * error;
  route->share = fmax (0, fmin (route->share, MAX_SHARE));
  route->delay = delay;
  route->target = target;
  route->updated_at = now;
  if (route->share == 0)
    route->pressed_since = 0;
  else if (route->pressed_since == 0)
    route->pressed_since = now;
}

enum shd_order
shd_order_of (rw_time time_spent, rw_time time_to_aim, double work)
{
  bool repeated_at_once = time_spent > 0 && time_spent < MIN_RETRY_AFTER;
  bool late = (double)time_to_aim < work;
  return repeated_at_once || late ? SHD_LAST : SHD_FIRST;
}

/* Spreads the refusals evenly over the requests, which a random draw would
   not.  */
bool
shd_admit (struct shd_route *route, enum shd_order order)
{
  double share = route->share;
  if (order == SHD_LAST)
    share = fmin (LAST_SHARE_FACTOR * share, 1);
  if (share == 0)
    route->balance[order] = 0;
  route->balance[order] += share;
  if (route->balance[order] < 1)
    return true;
  route->balance[order] -= 1;
  return false;
}

rw_time
shd_retry_after (rw_time lasted, rw_time time_left, struct rw_rng *rng)
{
  rw_time most = MAX_RETRY_AFTER;
  if (time_left >= 0 && time_left / TIME_LEFT_DIVISOR < most)
    most = time_left / TIME_LEFT_DIVISOR;
  double after = (double)lasted * (0.5 + rw_rng_unit (rng));
  /* A caller that cannot wait as long returns in the last half of its time. */
  if (after > (double)most)
    after = (double)most * (1 + rw_rng_unit (rng)) / 2;
  return (rw_time)fmax (after, MIN_RETRY_AFTER);
}

rw_time
shd_pressure_time (const struct shd_route *route, rw_time now)
{
  return route->pressed_since > 0 ? now - route->pressed_since : 0;
}
