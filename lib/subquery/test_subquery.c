#include "subquery.h"
#include "unit.h"

struct fixture
{
  struct rw_arena arena;
  struct rw_buf out;
};

static void
begin (struct fixture *f)
{
  rw_arena_init (&f->arena, 1024);
  rw_buf_init (&f->out);
}

static void
end (struct fixture *f)
{
  rw_arena_finish (&f->arena);
  rw_buf_finish (&f->out);
}

UNIT_FIXTURE (begin, end)

/* A query over 20 shards, of which a third has no target in the daemon's data
   centre.  Guards against parts that go alone, to the wrong data centre, or
   twice.  */
TEST (parts_without_a_near_target_go_together)
{
  struct sbq_part parts[7] = { { 3, 9 }, { 1, 4 }, { 19, 9 }, { 7, 4 },
                               { 0, 9 }, { 5, 4 }, { 2, 8 } };
  struct sbq_group groups[4];
  assert_int_equal (sbq_group (parts, 7, groups, 4), 3);
  assert_int_equal (groups[0].dc, 4);
  assert_int_equal (groups[0].count, 3);
  assert_int_equal (parts[groups[0].first].part, 1);
  assert_int_equal (groups[1].count, 1);
  assert_int_equal (groups[2].dc, 9);
  assert_int_equal (parts[groups[2].first + 2].part, 19);
  assert_int_equal (sbq_group (parts, 7, groups, 2), 2);
  assert_int_equal (sbq_group (parts, 0, groups, 4), 0);
}

/* Seven parts that have a copy in each of two other data centres, which their
   best targets alternate between.  Guards against two subqueries where one
   serves, against a data centre whose copy of a part is slow, and against one
   data centre that gets the parts of all queries.  */
TEST (parts_with_copies_in_several_data_centres_go_to_one)
{
  double times[8 * SBQ_MAX_DCS];
  struct sbq_choices choices
      = { .dcs = { 4, 9, 7 }, .dc_count = 3, .times = times };
  size_t seen[10] = { 0 };
  for (uint64_t seed = 0; seed < 30; seed++)
    {
      struct sbq_part parts[8];
      for (uint32_t i = 0; i < 8; i++)
        {
          parts[i] = (struct sbq_part){ i, i % 2 == 0 ? 4 : 9 };
          times[i * SBQ_MAX_DCS] = i == 7 ? 1 / 0.0 : 30000;
          times[i * SBQ_MAX_DCS + 1] = i == 6 ? 60000 : 31000;
          times[i * SBQ_MAX_DCS + 2] = i == 7 ? 30000 : 1 / 0.0;
        }
      sbq_join (parts, 8, &choices, 8000, seed);
      for (size_t i = 1; i < 6; i++)
        assert_int_equal (parts[i].dc, parts[0].dc);
      assert_int_equal (parts[6].dc, 4);
      assert_true (parts[7].dc == 9 || parts[7].dc == 7);
      seen[parts[0].dc]++;
    }
  assert_true (seen[4] >= 9);
  assert_true (seen[9] >= 9);
}

/* Parts of 1,000 bytes of which 50 records are wanted, and parts of 100 bytes
   of which 5 are.  Guards against subqueries that cost more bytes than they
   save: a single part, or small parts of which a long list is wanted.  */
TEST (subqueries_are_used_where_they_save_bytes)
{
  struct sbq_sizes large = { 0 };
  struct sbq_sizes small = { 0 };
  for (int i = 0; i < 200; i++)
    {
      sbq_count_part (&large, 1000);
      sbq_count_part (&small, 100);
    }
  assert_true (sbq_saves_bytes (&large, 3, 50, 16));
  assert_true (sbq_saves_bytes (&small, 3, 5, 16));
  assert_false (sbq_saves_bytes (&large, 1, 100, 16));
  assert_false (sbq_saves_bytes (&small, 1, 50, 16));
}

/* Guards against a delegate that reads other shards or times than were
   meant.  */
TEST_WITH_FIXTURE (orders_are_read_as_written)
{
  uint32_t shards[] = { 0, 3, 4, 17, 179, 539 };
  struct sbq_order order = { .version = 1234567,
                             .max_attempts = 2,
                             .soft_ms = 87,
                             .spare = 3,
                             .shards = shards,
                             .shard_count = RW_ARRAY_LEN (shards) };
  struct sbq_order read;
  sbq_write_order (&order, &f->out);
  assert_int_equal (sbq_read_order (rw_buf_str (&f->out), &f->arena, &read),
                    0);
  assert_int_equal (read.version, 1234567);
  assert_int_equal (read.max_attempts, 2);
  assert_int_equal (read.soft_ms, 87);
  assert_int_equal (read.spare, 3);
  assert_int_equal (read.shard_count, RW_ARRAY_LEN (shards));
  assert_memory_equal (read.shards, shards, sizeof shards);
}

/* Guards against acting on a malformed order.  */
TEST_WITH_FIXTURE (malformed_orders_are_refused)
{
  static const char *const texts[]
      = { "",           "1",          "1 2 3",       "1 2 3 0",
          "1 2 3 0 ",   "x 2 3 0 f",  "1 0 3 0 f",   "1 2 -3 0 f",
          "1 2 3 0 0",  "1 2 3 0 fg", "1 2 3 0 f f", "1 2000 3 0 f",
          "-1 2 3 0 f", "1 2 3 -1 f", "1 2 3 f",     "1 2 3 0 00000" };
  struct sbq_order order;
  char longest[SBQ_MAX_SHARDS];
  for (size_t i = 0; i < RW_ARRAY_LEN (texts); i++)
    assert_int_equal (
        sbq_read_order (rw_str_from (texts[i]), &f->arena, &order),
        RW_E_PARSE);
  memset (longest, 'f', sizeof longest);
  for (size_t i = 0; i < 8; i++)
    longest[i] = "1 2 3 0 "[i];
  assert_int_equal (sbq_read_order ((struct rw_str){ longest, sizeof longest },
                                    &f->arena, &order),
                    RW_E_PARSE);
}

/* Guards against naming a part that is not in the answer, and against calling
   one "not run" that ran: also for stamps that look like such a mark.  */
TEST_WITH_FIXTURE (results_are_read_as_written)
{
  enum sbq_result result;
  struct rw_str stamp;
  unsigned int attempts;
  assert_true (sbq_write_result (&f->out, SBQ_DONE, RW_LIT ("st.1"), 0));
  assert_true (sbq_write_result (&f->out, SBQ_NOT_RUN, RW_LIT (""), 0));
  assert_false (sbq_write_result (&f->out, SBQ_DONE, RW_LIT ("!"), 0));
  assert_false (sbq_write_result (&f->out, SBQ_DONE, RW_LIT ("a,b"), 0));
  assert_false (sbq_write_result (&f->out, SBQ_DONE, RW_LIT (""), 0));
  assert_true (sbq_write_result (&f->out, SBQ_FAILED, RW_LIT (""), 0));
  struct rw_str text = rw_buf_str (&f->out);
  assert_true (sbq_read_result (&text, &result, &stamp, &attempts));
  assert_int_equal (result, SBQ_DONE);
  assert_true (rw_str_eq_cstr (stamp, "st.1"));
  assert_true (sbq_read_result (&text, &result, &stamp, &attempts));
  assert_int_equal (result, SBQ_NOT_RUN);
  for (int i = 0; i < 4; i++)
    {
      assert_true (sbq_read_result (&text, &result, &stamp, &attempts));
      assert_int_equal (result, SBQ_FAILED);
      assert_int_equal (attempts, SBQ_ALL_ATTEMPTS);
    }
  assert_false (sbq_read_result (&text, &result, &stamp, &attempts));
}

/* Guards against a part that is never sent again although its delegate has
   used one of two attempts, and against taking more than were used for fewer.
 */
TEST_WITH_FIXTURE (the_attempts_of_a_failed_part_are_stated)
{
  enum sbq_result result;
  struct rw_str stamp;
  unsigned int attempts;
  assert_true (sbq_write_result (&f->out, SBQ_FAILED, RW_LIT (""), 1));
  assert_true (sbq_write_result (&f->out, SBQ_FAILED, RW_LIT (""), 2));
  struct rw_str text = rw_buf_str (&f->out);
  for (unsigned int i = 1; i <= 2; i++)
    {
      assert_true (sbq_read_result (&text, &result, &stamp, &attempts));
      assert_int_equal (result, SBQ_FAILED);
      assert_int_equal (attempts, i);
    }
  text = RW_LIT ("-0,-,-99999999999,-1001");
  while (sbq_read_result (&text, &result, &stamp, &attempts))
    {
      assert_int_equal (result, SBQ_FAILED);
      assert_int_equal (attempts, SBQ_ALL_ATTEMPTS);
    }
  /* Stamps that only begin like a mark.  */
  text = RW_LIT ("-1.2,-x,--1");
  while (sbq_read_result (&text, &result, &stamp, &attempts))
    assert_int_equal (result, SBQ_DONE);
  assert_false (sbq_write_result (&f->out, SBQ_DONE, RW_LIT ("-12"), 0));
  assert_true (sbq_write_result (&f->out, SBQ_DONE, RW_LIT ("-1a"), 0));
}
