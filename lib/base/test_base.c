#include "base.h"
#include "unit.h"

/* Guards against a parser that accepts blanks, an empty string, or a number
   that is out of range or overflows.  */
TEST (integer_parsing_is_strict)
{
  int64_t value = -1;

  assert_int_equal (rw_str_to_int (RW_LIT ("42"), 0, 100, &value), 0);
  assert_int_equal (value, 42);
  assert_int_equal (rw_str_to_int (RW_LIT ("101"), 0, 100, &value),
                    RW_E_RANGE);
  assert_int_equal (rw_str_to_int (RW_LIT ("4 2"), 0, 100, &value),
                    RW_E_PARSE);
  assert_int_equal (rw_str_to_int (RW_LIT (""), 0, 100, &value), RW_E_PARSE);
  assert_int_equal (
      rw_str_to_int (RW_LIT ("99999999999999999999"), 0, INT64_MAX, &value),
      RW_E_RANGE);
}

/* Guards against a duration without a unit being taken as seconds or
   milliseconds.  */
TEST (durations_need_a_unit)
{
  rw_time value = 0;

  assert_int_equal (rw_str_to_duration (RW_LIT ("61ms"), &value), 0);
  assert_int_equal (value, 61000);
  assert_int_equal (rw_str_to_duration (RW_LIT ("2s"), &value), 0);
  assert_int_equal (value, 2 * RW_SEC);
  assert_int_equal (rw_str_to_duration (RW_LIT ("61"), &value), RW_E_PARSE);
  assert_int_equal (rw_str_to_duration (RW_LIT ("0ms"), &value), RW_E_RANGE);
}

/* Guards against allocations that overlap or are misaligned.  */
TEST (arena_blocks_do_not_overlap)
{
  struct rw_arena arena;
  unsigned char *parts[64];

  rw_arena_init (&arena, 128);
  for (size_t i = 0; i < RW_ARRAY_LEN (parts); i++)
    {
      parts[i] = rw_arena_alloc (&arena, i * 3 + 1);
      assert_int_equal ((uintptr_t)parts[i] % _Alignof(max_align_t), 0);
      memset (parts[i], (int)i, i * 3 + 1);
    }
  for (size_t i = 0; i < RW_ARRAY_LEN (parts); i++)
    for (size_t j = 0; j < i * 3 + 1; j++)
      assert_int_equal (parts[i][j], i);
  rw_arena_finish (&arena);
}

/* Guards against a histogram error above the stated 1/32.  */
TEST (histogram_quantiles_are_close)
{
  struct rw_hist hist;

  rw_hist_init (&hist);
  for (rw_time v = 1; v <= 100000; v++)
    rw_hist_add (&hist, v);
  assert_in_range (rw_hist_quantile (&hist, 0.5), 50000, 51600);
  assert_in_range (rw_hist_quantile (&hist, 0.99), 99000, 100000);
  assert_int_equal (rw_hist_quantile (&hist, 1.0), 100000);
}

/* Guards against entries of equal time being popped in another order than they
   were pushed.  */
TEST (heap_is_stable)
{
  struct rw_heap heap;
  struct rw_rng rng;
  rw_time last = -1;
  uintptr_t last_item = 0;
  rw_time at = 0;
  void *item;

  rw_rng_init (&rng, 7);
  rw_heap_init (&heap);
  for (uintptr_t i = 1; i <= 1000; i++)
    rw_heap_push (&heap, (rw_time)rw_rng_below (&rng, 50), (void *)i);
  while ((item = rw_heap_pop (&heap, &at)) != NULL)
    {
      assert_true (at > last || (at == last && (uintptr_t)item > last_item));
      last = at;
      last_item = (uintptr_t)item;
    }
  rw_heap_finish (&heap);
}

/* Guards against entries that become unreachable when another is removed.  */
TEST (map_survives_removals)
{
  struct rw_map map;
  struct rw_rng rng;
  char present[512] = { 0 };

  rw_rng_init (&rng, 3);
  rw_map_init (&map);
  for (int i = 0; i < 20000; i++)
    {
      uint64_t key = rw_rng_below (&rng, sizeof present);

      if (rw_rng_below (&rng, 2) == 0)
        {
          rw_map_put (&map, key, &present[key]);
          present[key] = 1;
        }
      else
        {
          assert_int_equal (rw_map_remove (&map, key) != NULL, present[key]);
          present[key] = 0;
        }
      key = rw_rng_below (&rng, sizeof present);
      assert_ptr_equal (rw_map_get (&map, key),
                        present[key] ? &present[key] : NULL);
    }
  rw_map_finish (&map);
}

/* Guards against taking a number of an old era for a newer one, and against
   eras or numbers that run into each other.  */
TEST (revisions_are_ordered_by_era_first)
{
  int64_t old;
  int64_t new;
  int64_t greatest = (INT64_C (1) << 43) - 1;
  assert_int_equal (rw_revision_make (0, 7, &old), 0);
  assert_int_equal (old, 7);
  assert_int_equal (rw_revision_make (1, greatest, &old), 0);
  assert_int_equal (rw_revision_make (2, 1, &new), 0);
  assert_true (new > old);
  assert_int_equal (rw_revision_era (old), 1);
  assert_int_equal (rw_revision_number (old), greatest);
  assert_int_equal (rw_revision_make (RW_ERA_MAX, greatest, &new), 0);
  assert_true (new > old);
  assert_int_equal (rw_revision_make (RW_ERA_MAX + 1, 1, &new), RW_E_RANGE);
  assert_int_equal (rw_revision_make (-1, 1, &new), RW_E_RANGE);
  assert_int_equal (rw_revision_make (1, greatest + 1, &new), RW_E_RANGE);
  assert_int_equal (rw_revision_make (1, -1, &new), RW_E_RANGE);
}
