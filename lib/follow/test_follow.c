#include "follow.h"
#include "unit.h"

/* Reads the content in one page; the next call is a watch.  */
static void
read_content (struct fol_reader *reader, int64_t at)
{
  struct fol_call call;
  assert_true (fol_next_call (reader, 0, &call));
  assert_int_equal (call.kind, FOL_CALL_PAGE);
  assert_true (call.first_page);
  assert_true (fol_on_page (reader, at, false, 0));
}

/* Pages are not a snapshot: guards against changes that fall between the first
   page and the last one.  */
TEST (changes_are_followed_from_the_first_page_on)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  assert_true (fol_next_call (&reader, 0, &call));
  assert_false (fol_on_page (&reader, 10, true, 0));
  assert_true (fol_next_call (&reader, 0, &call));
  assert_false (call.first_page);
  assert_true (fol_on_page (&reader, 15, false, 0));
  assert_true (fol_next_call (&reader, 0, &call));
  assert_int_equal (call.kind, FOL_CALL_WATCH);
  assert_int_equal (call.revision, 10);
}

/* Guards against a reading that goes on from a page of before an error.  */
TEST (a_broken_reading_begins_anew)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  fol_next_call (&reader, 0, &call);
  fol_on_page (&reader, 10, true, 0);
  fol_next_call (&reader, 0, &call);
  fol_on_error (&reader, FOL_ERROR_NO_REPLY, 0);
  assert_false (fol_next_call (&reader, 0, &call));
  assert_true (fol_next_call (&reader, RW_SEC, &call));
  assert_true (call.first_page);
}

/* A compacted history: guards against a watch that asks for it for ever.  */
TEST (a_lost_history_is_read_again_at_once)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  read_content (&reader, 10);
  fol_next_call (&reader, 0, &call);
  fol_on_error (&reader, FOL_ERROR_COMPACTED, 5);
  assert_true (fol_next_call (&reader, 5, &call));
  assert_int_equal (call.kind, FOL_CALL_PAGE);
  assert_true (call.first_page);
}

/* A store that dropped its history held the next watch for its whole wait of
   5 s, and the configuration was late: guards against long waits after an
   error.  */
TEST (waits_are_short_after_an_error)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  read_content (&reader, 10);
  fol_next_call (&reader, 0, &call);
  assert_true (call.wait > 2 * RW_SEC);
  fol_on_error (&reader, FOL_ERROR_NO_REPLY, RW_SEC);
  assert_true (fol_next_call (&reader, 2 * RW_SEC, &call));
  assert_true (call.wait <= 500 * RW_MSEC);
  fol_on_changes (&reader, 11, 3 * RW_SEC);
  assert_true (fol_next_call (&reader, 10 * RW_SEC, &call));
  assert_true (call.wait > 2 * RW_SEC);
}

/* Guards against a storm of calls at a store that is down.  */
TEST (calls_are_spread_while_the_store_is_down)
{
  struct fol_reader reader;
  struct fol_call call;
  size_t calls = 0;
  fol_init (&reader, 1);
  for (rw_time now = RW_SEC; now < 11 * RW_SEC; now += RW_MSEC)
    if (fol_next_call (&reader, now, &call))
      {
        calls++;
        fol_on_error (&reader, FOL_ERROR_REFUSED, now);
      }
  assert_in_range (calls, 8, 30);
  assert_int_equal (fol_outage_time (&reader, 11 * RW_SEC), 10 * RW_SEC);
}

/* Guards against changes being read again that peers have sent.  */
TEST (reading_resumes_where_peers_left_off)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  fol_resume (&reader, 40);
  assert_true (fol_next_call (&reader, 0, &call));
  assert_int_equal (call.kind, FOL_CALL_WATCH);
  assert_int_equal (call.revision, 40);
  fol_resume (&reader, 50);
  fol_on_changes (&reader, 45, 0);
  fol_resume (&reader, 44);
  assert_true (fol_next_call (&reader, RW_SEC, &call));
  assert_int_equal (call.revision, 45);
}
