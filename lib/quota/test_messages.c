#include "fleet.h"

/* The load planned for two years ahead, of all daemons.  */
#define PLANNED_DAEMONS 2300.0
#define PLANNED_REQUESTS 370000.0
/* What a daemon may spend on control, in bytes/s.  */
#define MAX_BYTES_PER_S 7168
/* The daemons and organisations that are simulated in their place.  */
#define COUNT 144
#define ORGS 626
#define MEASURED_S 5

/* The load of each daemon is that of NUMBER organisations with equal parts.
   Returns the bytes/s that an owner would send in a fleet of the planned size,
   and stores those of the simulated one in *MOST.  */
static double
measure (size_t number, double *most)
{
  double requests = PLANNED_REQUESTS / PLANNED_DAEMONS;
  start_fleet (COUNT, ORGS, 1, 1, 1, 0);
  run_until (WARM_UP);
  for (size_t i = 0; i < COUNT; i++)
    for (size_t j = 0; j < number; j++)
      {
        size_t org = (i * number + j) % ORGS;
        add_load (org, requests / (double)number, SPREAD_ONE, i, true);
        fleet.orgs[org].limit = (struct quo_limit){ org + 1, 60, 30 };
      }
  run_until (fleet.now + 9 * RW_SEC);
  fleet.messages = fleet.bytes = fleet.answer_bytes = 0;
  memset (fleet.sent, 0, sizeof fleet.sent);
  run_until (fleet.now + MEASURED_S * RW_SEC);
  uint64_t highest = 0;
  for (size_t i = 0; i < COUNT; i++)
    highest = fleet.sent[i] > highest ? fleet.sent[i] : highest;
  double answers = (double)fleet.answer_bytes / MEASURED_S / COUNT;
  double all = (double)fleet.bytes / MEASURED_S / COUNT;
  /* All daemons ask alike; the owners answer.  */
  double owner = all - answers + answers * PLANNED_DAEMONS / GOS_LOWEST_HASHES;
  *most = (double)highest / MEASURED_S;
  printf ("%zu organisations at a daemon: seed=1, each daemon sends %.0f "
          "messages and %.0f bytes/s on average, %.0f at most; with %.0f "
          "daemons, owners %.0f\n",
          number, (double)fleet.messages / MEASURED_S / COUNT, all, *most,
          PLANNED_DAEMONS, owner);
  assert_true (fleet.worst <= 1);
  stop_fleet ();
  return owner;
}

/* Load pattern: the planned load, each organisation at two daemons and at ten.
   Guards against messages that cost more than a daemon may spend.  */
TEST (messages_of_the_planned_load)
{
  double most[2];
  double owner[2];
  owner[0] = measure (9, &most[0]);
  owner[1] = measure (43, &most[1]);
  for (size_t i = 0; i < 2; i++)
    {
      assert_true (most[i] <= MAX_BYTES_PER_S);
      assert_true (owner[i] <= MAX_BYTES_PER_S);
    }
}
