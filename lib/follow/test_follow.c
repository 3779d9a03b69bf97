#include "follow.h"
#include "unit.h"

/* Lists the content in one page, so that the next call is a watch.  */
static void
list_content (struct fol_reader *reader, int64_t revision)
{
  struct fol_call call;
  assert_true (fol_next_call (reader, 0, &call));
  assert_int_equal (call.kind, FOL_CALL_PAGE);
  assert_true (call.first_page);
  assert_true (fol_on_page (reader, revision, false, 0));
}

/* Guards against missing the changes made between the first and the last page
   of a listing: the pages are not one snapshot.  */
TEST (watch_starts_at_the_revision_of_the_first_page)
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

/* Guards against a listing that continues after an error from the page it had
   reached, not from the first page.  */
TEST (an_interrupted_listing_starts_again)
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

/* Guards against a watch that asks for a compacted history for ever.  */
TEST (a_compacted_history_causes_a_listing_at_once)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  list_content (&reader, 10);
  fol_next_call (&reader, 0, &call);
  fol_on_error (&reader, FOL_ERROR_COMPACTED, 5);
  assert_true (fol_next_call (&reader, 5, &call));
  assert_int_equal (call.kind, FOL_CALL_PAGE);
  assert_true (call.first_page);
}

/* Guards against long waits after an error: a store that dropped its history
   held the next watch for its whole wait of 5 s, and the new configuration was
   in force too late.  Otherwise watches last longer, which costs fewer calls,
   but end before a copy that they do not confirm counts as old, after
   2.5 s.  */
TEST (watches_use_a_short_wait_after_an_error)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  list_content (&reader, 10);
  fol_next_call (&reader, 0, &call);
  assert_in_range (call.wait, RW_SEC, 2 * RW_SEC);
  fol_on_error (&reader, FOL_ERROR_NO_REPLY, RW_SEC);
  assert_true (fol_next_call (&reader, 2 * RW_SEC, &call));
  assert_true (call.wait <= 500 * RW_MSEC);
  fol_on_changes (&reader, 11, 3 * RW_SEC);
  assert_true (fol_next_call (&reader, 10 * RW_SEC, &call));
  assert_in_range (call.wait, RW_SEC, 2 * RW_SEC);
}

/* Guards against retries without backoff while the store is down.  */
TEST (calls_back_off_while_the_store_is_down)
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

/* Guards against an outage without end: the daemon no longer reads the store,
   because its peers tell it that its copy is current.  */
TEST (a_copy_that_peers_confirm_ends_an_outage)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  list_content (&reader, 10);
  fol_next_call (&reader, RW_SEC, &call);
  fol_on_error (&reader, FOL_ERROR_REFUSED, RW_SEC);
  fol_next_call (&reader, 3 * RW_SEC, &call);
  fol_on_error (&reader, FOL_ERROR_REFUSED, 3 * RW_SEC);
  /* The news is older than the last failure.  */
  fol_on_confirmed (&reader, 2 * RW_SEC);
  assert_int_equal (fol_outage_time (&reader, 4 * RW_SEC), 3 * RW_SEC);
  fol_on_confirmed (&reader, 4 * RW_SEC);
  assert_int_equal (fol_outage_time (&reader, 9 * RW_SEC), 0);
}

/* Guards against reading changes from the store that peers have already
   sent.  */
TEST (watch_resumes_at_the_revision_of_the_peers)
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

static int64_t
revision_in (int64_t era, int64_t number)
{
  int64_t revision;
  assert_int_equal (rw_revision_make (era, number, &revision), 0);
  return revision;
}

/* Guards against a watch that goes on in a store that was restored from an
   older copy: the changes that were lost would stay in the copy.  */
TEST (a_new_era_causes_a_listing_at_once)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  list_content (&reader, revision_in (3, 10));
  fol_next_call (&reader, RW_SEC, &call);
  assert_int_equal (fol_known_era (&reader), 3);
  assert_int_equal (fol_check_era (&reader, 3), FOL_ERA_SAME);
  assert_int_equal (fol_check_era (&reader, 2), FOL_ERA_OLDER);
  assert_int_equal (fol_check_era (&reader, 4), FOL_ERA_NEWER);
  assert_int_equal (fol_check_era (&reader, 9), FOL_ERA_NEWER);
  fol_on_error (&reader, FOL_ERROR_NEW_ERA, RW_SEC);
  assert_true (fol_next_call (&reader, RW_SEC, &call));
  assert_true (call.first_page);
  assert_int_equal (fol_check_era (&reader, 4), FOL_ERA_SAME);
  assert_true (fol_on_page (&reader, revision_in (4, 2), false, RW_SEC));
  assert_int_equal (reader.revision, revision_in (4, 2));
}

/* Guards against a listing whose pages are of two eras.  */
TEST (a_listing_that_spans_two_eras_starts_again)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  fol_next_call (&reader, 0, &call);
  assert_int_equal (fol_check_era (&reader, 5), FOL_ERA_SAME);
  fol_on_page (&reader, revision_in (5, 10), true, 0);
  fol_next_call (&reader, 0, &call);
  assert_int_equal (fol_check_era (&reader, 5), FOL_ERA_SAME);
  assert_int_equal (fol_check_era (&reader, 6), FOL_ERA_NEWER);
  fol_on_error (&reader, FOL_ERROR_NEW_ERA, 0);
  assert_true (fol_next_call (&reader, 0, &call));
  assert_true (call.first_page);
}

/* Guards against listing the store by each reader although a peer has the copy
   of the new era, and against going on with a copy of the old one.  */
TEST (a_copy_of_the_new_era_from_a_peer_replaces_the_listing)
{
  struct fol_reader reader;
  struct fol_call call;
  fol_init (&reader, 1);
  list_content (&reader, revision_in (3, 10));
  fol_next_call (&reader, RW_SEC, &call);
  fol_on_error (&reader, FOL_ERROR_NEW_ERA, RW_SEC);
  fol_resume (&reader, revision_in (4, 2));
  assert_true (fol_next_call (&reader, RW_SEC, &call));
  assert_int_equal (call.kind, FOL_CALL_WATCH);
  assert_int_equal (call.revision, revision_in (4, 2));
}
