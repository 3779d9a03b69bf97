#include "model.h"

#include <string.h>

/* Initializes arrivals of CLASSES classes, at most MDL_CLASS_MAX, all with
   rate 0.  */
void
mdl_arrivals_init (struct mdl_arrivals *arrivals, size_t classes,
                   uint64_t seed)
{
  memset (arrivals, 0, sizeof *arrivals);
  arrivals->class_count = classes < MDL_CLASS_MAX ? classes : MDL_CLASS_MAX;
  rw_rng_init (&arrivals->rng, seed);
  for (size_t i = 0; i < arrivals->class_count; i++)
    arrivals->next[i] = RW_TIME_NEVER;
}

static rw_time
draw_arrival (struct mdl_arrivals *arrivals, size_t class_id, rw_time now)
{
  double rate = arrivals->rate[class_id];

  if (rate <= 0)
    return RW_TIME_NEVER;
  return now + (rw_time)rw_rng_exponential (&arrivals->rng, RW_SEC / rate);
}

/* Sets the mean rate of a class, in arrivals per second, from NOW on.  An
   unknown class is ignored.  */
void
mdl_arrivals_set_rate (struct mdl_arrivals *arrivals, size_t class_id,
                       double rate, rw_time now)
{
  if (class_id >= arrivals->class_count)
    return;
  arrivals->rate[class_id] = rate;
  arrivals->next[class_id] = draw_arrival (arrivals, class_id, now);
}

static size_t
next_class (const struct mdl_arrivals *arrivals)
{
  size_t first = 0;

  for (size_t i = 1; i < arrivals->class_count; i++)
    if (arrivals->next[i] < arrivals->next[first])
      first = i;
  return first;
}

/* Returns the time of the next arrival, or RW_TIME_NEVER.  */
rw_time
mdl_arrivals_next (const struct mdl_arrivals *arrivals)
{
  return arrivals->class_count > 0 ? arrivals->next[next_class (arrivals)]
                                   : RW_TIME_NEVER;
}

/* Removes the next arrival, stores its time in AT and returns its class.  Call
   it only if mdl_arrivals_next does not return RW_TIME_NEVER.  */
size_t
mdl_arrivals_take (struct mdl_arrivals *arrivals, rw_time *at)
{
  size_t class_id = next_class (arrivals);

  *at = arrivals->next[class_id];
  arrivals->next[class_id] = draw_arrival (arrivals, class_id, *at);
  return class_id;
}
