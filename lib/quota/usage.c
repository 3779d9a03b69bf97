#include "parts.h"

/* Adds what this daemon knows as the owner of pools.  */
static void
add_owned (const struct quo_table *table, struct quo_usage *usage, rw_time now)
{
  for (uint32_t i = 0; i < QUO_POOLS; i++)
    {
      const struct quo_bucket *bucket = rw_map_get (
          &table->buckets, quo_pool_key (usage->organisation, i));
      if (bucket == NULL)
        continue;
      usage->is_owner = true;
      usage->granted_per_s += quo_meter_rate (&bucket->granted, now);
    }
}

bool
quo_find_usage (const struct quo_table *table, uint64_t organisation,
                struct quo_usage *usage, rw_time now)
{
  const struct quo_user *user = rw_map_get (&table->users, organisation);
  *usage = (struct quo_usage){ .organisation = organisation };
  if (user != NULL)
    {
      usage->rate_per_s = quo_meter_rate (&user->use, now);
      usage->taken = user->taken;
      usage->refused = user->refused;
      usage->decided_at = user->decided_at;
      for (size_t i = 0; i < QUO_MAX_LOTS; i++)
        if (user->lots[i].expires > now)
          usage->held += user->lots[i].tokens;
    }
  add_owned (table, usage, now);
  return user != NULL || usage->is_owner;
}

/* Returns whether BUCKET is the first one of its organisation, which has no
   requests here.  */
static bool
is_listed (const struct quo_table *table, const struct quo_bucket *bucket)
{
  if (rw_map_get (&table->users, bucket->organisation) != NULL)
    return false;
  for (uint32_t i = 0; i < bucket->pool; i++)
    if (rw_map_get (&table->buckets, quo_pool_key (bucket->organisation, i))
        != NULL)
      return false;
  return true;
}

bool
quo_next_usage (const struct quo_table *table, size_t *position,
                struct quo_usage *usage, rw_time now)
{
  const struct quo_user *user = rw_map_next (&table->users, position);
  if (user != NULL)
    return quo_find_usage (table, user->limit.organisation, usage, now);
  /* Buckets follow the organisations.  */
  size_t rest = *position - table->users.cap;
  const struct quo_bucket *bucket;
  while ((bucket = rw_map_next (&table->buckets, &rest)) != NULL)
    if (is_listed (table, bucket))
      break;
  *position = table->users.cap + rest;
  return bucket != NULL
         && quo_find_usage (table, bucket->organisation, usage, now);
}
