#include <math.h>

#include "fair.h"
#include "shed.h"
#include "unit.h"

/* Organisations of one daemon, and targets with room for CAPACITY_PER_S
   requests a second.  The controller of lib/shed sees the delay that follows
   from what it admits.  */
#define MAX_ORGANISATIONS 91
#define CAPACITY_PER_S 200.0
#define STEP RW_MSEC
#define TARGET_DELAY (20.0 * RW_MSEC)

struct load
{
  struct fai_table table;
  struct shd_route shed;
  struct rw_rng rng;
  bool is_fair; /* false: without this library */
  double queue; /* requests */
  size_t count;
  double per_s[MAX_ORGANISATIONS];
  double asked[MAX_ORGANISATIONS];
  double served[MAX_ORGANISATIONS];
  rw_time now;
};

static void
load_init (struct load *load, size_t count, double per_s, uint64_t seed)
{
  memset (load, 0, sizeof *load);
  fai_init (&load->table);
  shd_init (&load->shed);
  rw_rng_init (&load->rng, seed);
  load->is_fair = true;
  load->count = count;
  load->now = RW_SEC;
  for (size_t i = 0; i < count; i++)
    load->per_s[i] = per_s;
}

static bool
admits (struct load *load, uint64_t organisation)
{
  enum shd_order order = SHD_FIRST;
  enum fai_standing standing = FAI_NORMAL;
  fai_on_request (&load->table, organisation, load->now);
  if (load->is_fair)
    standing = fai_standing (&load->table, organisation, load->now);
  if (standing == FAI_ABOVE_USUAL)
    order = SHD_LAST;
  bool is_admitted = shd_admit (&load->shed, order);
  if (standing == FAI_NEGLECTED)
    is_admitted = true;
  if (load->shed.share > 0)
    fai_on_decision (&load->table, organisation, is_admitted, load->now);
  return is_admitted;
}

/* Runs the load for SECONDS; counts what happens then if IS_COUNTED.  */
static void
load_run (struct load *load, double seconds, bool is_counted)
{
  rw_time end = load->now + (rw_time)(seconds * RW_SEC);
  for (; load->now < end; load->now += STEP)
    {
      load->queue = fmax (0, load->queue - CAPACITY_PER_S * STEP / RW_SEC);
      if (shd_update_due (&load->shed, load->now))
        shd_update (&load->shed, load->queue / CAPACITY_PER_S * RW_SEC,
                    TARGET_DELAY, load->now);
      for (size_t i = 0; i < load->count; i++)
        {
          if (rw_rng_unit (&load->rng) >= load->per_s[i] * STEP / RW_SEC)
            continue;
          bool is_admitted = admits (load, i + 1);
          load->queue += is_admitted;
          load->asked[i] += is_counted;
          load->served[i] += is_counted && is_admitted;
        }
    }
}

static double
share_of (const struct load *load, size_t first, size_t end)
{
  double asked = 0;
  double served = 0;
  for (size_t i = first; i < end; i++)
    {
      asked += load->asked[i];
      served += load->served[i];
    }
  return served / asked;
}

/* Load: ninety organisations as usual, one at ten times its usual load, and
   room for two thirds of the sum.  Guards against refusals of those that did
   not bring the pressure about.  */
static double
ninety_beside_a_hot_one (bool is_fair)
{
  double least = 1;
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      struct load load;
      load_init (&load, 91, 1.6, seed);
      load.is_fair = is_fair;
      load.per_s[0] = 16;
      load_run (&load, 60, false);
      load.per_s[0] = 160;
      load_run (&load, 2, false);
      load_run (&load, 10, true);
      double others = share_of (&load, 1, 91);
      double all = share_of (&load, 0, 91);
      double hot = share_of (&load, 0, 1);
      print_message ("seed %d, %s: others %.3f hot %.3f all %.3f\n", (int)seed,
                     is_fair ? "fair" : "without", others, hot, all);
      least = fmin (least, others);
      if (is_fair)
        assert_true (hot >= all / 4);
      fai_finish (&load.table);
    }
  return least;
}

TEST (a_hot_organisation_gives_way_before_others)
{
  double with = ninety_beside_a_hot_one (true);
  assert_true (with >= 0.9);
  assert_true (ninety_beside_a_hot_one (false) < 0.9);
}

/* Load: all organisations rise to twice the room together.  Guards against an
   organisation that is served less than a quarter as often as all.  */
TEST (no_organisation_is_neglected)
{
  for (uint64_t seed = 1; seed <= 4; seed++)
    {
      struct load load;
      load_init (&load, 20, 8, seed);
      load_run (&load, 60, false);
      for (size_t i = 0; i < 20; i++)
        load.per_s[i] = i < 10 ? 12 : 28;
      load_run (&load, 2, false);
      load_run (&load, 20, true);
      double all = share_of (&load, 0, 20);
      for (size_t i = 0; i < 20; i++)
        assert_true (share_of (&load, i, i + 1) >= all / 4);
      fai_finish (&load.table);
    }
}

/* Load: as usual, without pressure.  Guards against an organisation that is
   taken to be above its usual load by chance.  */
TEST (a_usual_load_stands_out_for_nobody)
{
  struct load load;
  size_t above = 0;
  size_t seen = 0;
  load_init (&load, 40, 3, 7);
  load_run (&load, 20, false);
  for (int i = 0; i < 400; i++)
    {
      load_run (&load, 0.1, false);
      for (uint64_t o = 1; o <= 40; o++)
        above += fai_standing (&load.table, o, load.now) == FAI_ABOVE_USUAL;
      seen += 40;
    }
  assert_true (above * 100 < seen);
  fai_finish (&load.table);
}

/* Guards against memory that grows with the number of organisations, and
   against an account that is kept forever.  */
TEST (the_number_of_accounts_is_bounded)
{
  struct fai_table table;
  rw_time now = RW_SEC;
  fai_init (&table);
  for (uint64_t o = 1; o <= 10000; o++)
    {
      fai_on_request (&table, o, now);
      fai_on_decision (&table, o, false, now);
    }
  assert_int_equal (table.accounts.len, FAI_MAX_ORGANISATIONS);
  assert_int_equal (fai_standing (&table, 10000, now), FAI_NORMAL);
  now += 301 * RW_SEC;
  for (size_t i = 0; i < FAI_MAX_ORGANISATIONS; i++)
    fai_sweep (&table, now);
  assert_int_equal (table.accounts.len, 0);
  fai_finish (&table);
}
