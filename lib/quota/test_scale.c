#include "fleet.h"

/* Losses count after this time.  */
#define START_TIME (2 * RW_SEC)
/* The most that may be lost below the limit.  */
#define MAX_LOST 0.01
#define MANY_ORGS 10000

/* Load pattern: 10,000 organisations, half of them at twice their limits, each
   at one of 30 daemons.  Guards against state that grows with organisations,
   and against small limits that are not kept because there are many.  */
TEST (ten_thousand_organisations_stay_within_the_rule)
{
  size_t most = 0;
  start_fleet (30, MANY_ORGS, 1, 1, 1, 0);
  run_until (WARM_UP);
  for (size_t i = 0; i < MANY_ORGS; i++)
    add_load (i, i % 2 == 0 ? 2 : 0.9, SPREAD_ONE, i % fleet.count, false);
  /* The first request of each comes within 1.2 s.  */
  fleet.count_from = fleet.now + START_TIME + 1200 * RW_MSEC;
  run_until (fleet.count_from + 8 * RW_SEC);
  double lost = 0;
  double used = 0;
  for (size_t i = 0; i < MANY_ORGS; i++)
    if (i % 2 == 0)
      used += (double)fleet.orgs[i].served / (8.0 * MANY_ORGS / 2);
    else
      lost += lost_part (i) / (MANY_ORGS / 2.0);
  for (size_t i = 0; i < fleet.count; i++)
    {
      const struct quo_table *table = &fleet.daemons[i].table;
      size_t bytes = table->users.len * sizeof (struct quo_user)
                     + table->buckets.len * sizeof (struct quo_bucket)
                     + (table->users.cap + table->buckets.cap)
                           * sizeof (struct rw_map_slot)
                     + table->queue_cap * sizeof (struct quo_item)
                     + table->events.cap * sizeof (struct rw_heap_entry)
                     + QUO_MAX_ASKS * sizeof (struct quo_ask) + sizeof *table;
      most = bytes > most ? bytes : most;
    }
  printf (
      "10,000 organisations: seed=1 sum/allowed=%.3f lost=%.4f below, used "
      "%.3f above, state of a daemon at most %zu KB\n",
      fleet.worst, lost, used, most / 1024);
  assert_true (fleet.worst <= 1);
  assert_true (lost <= MAX_LOST);
  assert_true (fleet.longest_wait <= MAX_VERDICT_TIME);
  assert_in_range (most, 1, 4 << 20);
  stop_fleet ();
}
