#include "base.h"

#include <math.h>

/* Returns the next number of the SplitMix64 generator, which expands the seed
   to the state of rw_rng.  */
static uint64_t
splitmix64_next (uint64_t *state)
{
  uint64_t z = *state += UINT64_C (0x9e3779b97f4a7c15);

  z = (z ^ (z >> 30)) * UINT64_C (0xbf58476d1ce4e5b9);
  z = (z ^ (z >> 27)) * UINT64_C (0x94d049bb133111eb);
  return z ^ (z >> 31);
}

/* Prepares RNG to generate the sequence of SEED.  */
void
rw_rng_init (struct rw_rng *rng, uint64_t seed)
{
  rng->state[0] = splitmix64_next (&seed);
  rng->state[1] = splitmix64_next (&seed);
}

/* Returns the next 64 random bits (xorshift128+).  */
uint64_t
rw_rng_next (struct rw_rng *rng)
{
  uint64_t a = rng->state[0];
  uint64_t b = rng->state[1];

  rng->state[0] = b;
  a ^= a << 23;
  rng->state[1] = a ^ b ^ (a >> 18) ^ (b >> 5);
  return rng->state[1] + b;
}

/* Returns a number below BOUND, or 0 when BOUND is 0.  The bias is below
   BOUND / 2^64.  */
uint64_t
rw_rng_below (struct rw_rng *rng, uint64_t bound)
{
  return bound != 0 ? rw_rng_next (rng) % bound : 0;
}

/* Returns a number in [0, 1).  */
double
rw_rng_unit (struct rw_rng *rng)
{
  return (double)(rw_rng_next (rng) >> 11) * 0x1.0p-53;
}

/* Returns an exponentially distributed number with the given MEAN.  */
double
rw_rng_exponential (struct rw_rng *rng, double mean)
{
  return -mean * log (1.0 - rw_rng_unit (rng));
}
