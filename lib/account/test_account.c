/* The account of what clients make a process hold: its bounds, and who is
   dropped first.  */

#include "account.h"
#include "unit.h"

#define CLIENTS 8
#define MAX_BYTES 800000
#define MAX_PLACES 6

struct fixture
{
  struct acc_account account;
  struct acc_group callers;
  struct acc_group peers;
  struct acc_client clients[CLIENTS];
  int last_dropped; /* index; -1: none */
  size_t drops;
};

static void
drop (struct acc_client *client, enum acc_cause cause)
{
  struct fixture *f = client->owner;
  (void)cause;
  f->last_dropped = (int)(client - f->clients);
  f->drops++;
  acc_leave (client);
}

static void
begin (struct fixture *f)
{
  acc_init (&f->account, MAX_BYTES, MAX_PLACES);
  acc_group_init (&f->callers, &f->account, 4, 0, drop);
  acc_group_init (&f->peers, &f->account, 4, 2, drop);
  f->last_dropped = -1;
}

static void
end (struct fixture *f)
{
  for (size_t i = 0; i < CLIENTS; i++)
    acc_leave (&f->clients[i]);
  assert_int_equal (f->account.used, 0);
  assert_int_equal (f->account.places, 0);
}

UNIT_FIXTURE (begin, end)

static bool
enter (struct fixture *f, int i, struct acc_group *group, rw_time now)
{
  return acc_enter (&f->clients[i], group, f, 1000, now);
}

/* Lets client I hold BYTES of a message that began at SINCE.  */
static bool
arrive (struct fixture *f, int i, size_t bytes, rw_time since, rw_time now)
{
  f->clients[i].state = ACC_ARRIVING;
  f->clients[i].since = since;
  return acc_charge (&f->clients[i], bytes, now);
}

/* Guards against bodies that are kept beyond the memory, and against a client
   that pays for others that have waited longer with as much.  */
TEST_WITH_FIXTURE (the_one_that_holds_most_for_longest_goes_first)
{
  for (int i = 0; i < 3; i++)
    assert_true (enter (f, i, &f->callers, 0));
  assert_true (arrive (f, 0, 300000, 2 * RW_SEC, 3 * RW_SEC));
  assert_true (arrive (f, 1, 300000, 1 * RW_SEC, 3 * RW_SEC));
  assert_true (arrive (f, 2, 300000, 3 * RW_SEC, 3 * RW_SEC));
  assert_int_equal (f->last_dropped, 1);
  assert_int_equal (f->drops, 1);
  assert_true (f->account.used <= MAX_BYTES);
}

/* Guards against a client that is dropped although it holds little, beside one
   that sends without end.  */
TEST_WITH_FIXTURE (one_alone_gets_no_more_than_there_is)
{
  assert_true (enter (f, 0, &f->callers, 0));
  assert_true (enter (f, 1, &f->callers, 0));
  assert_true (arrive (f, 0, 12000, 0, RW_SEC));
  assert_true (arrive (f, 1, MAX_BYTES / 2, 0, RW_SEC));
  assert_false (arrive (f, 1, MAX_BYTES, 0, RW_SEC));
  assert_int_equal (f->drops, 0);
}

/* Guards against large messages that leave no room for small ones.  */
TEST_WITH_FIXTURE (a_reserve_is_left_for_small_messages)
{
  acc_add (&f->account, MAX_BYTES - MAX_BYTES / ACC_RESERVE_DIVISOR);
  assert_true (enter (f, 0, &f->callers, 0));
  assert_true (arrive (f, 0, ACC_SMALL_BYTES, 0, RW_SEC));
  assert_false (arrive (f, 0, ACC_SMALL_BYTES + 1, 0, RW_SEC));
  acc_sub (&f->account, MAX_BYTES - MAX_BYTES / ACC_RESERVE_DIVISOR);
}

/* Guards against dropping a request that is being served, which may have
   run.  */
TEST_WITH_FIXTURE (served_requests_stay)
{
  assert_true (enter (f, 0, &f->callers, 0));
  assert_true (arrive (f, 0, 600000, 0, RW_SEC));
  f->clients[0].state = ACC_SERVED;
  assert_true (enter (f, 1, &f->callers, 0));
  assert_false (arrive (f, 1, 300000, 0, RW_SEC));
  assert_false (acc_make_room (&f->account, 300000, RW_SEC));
  assert_int_equal (f->drops, 0);
}

/* Guards against unread answers that count as nothing, as their bytes belong
   to several owners.  */
TEST_WITH_FIXTURE (shared_bytes_count_once_and_for_their_reader)
{
  struct rw_buf buf;
  rw_buf_init (&buf);
  rw_buf_append (&buf, "x", 1);
  size_t cap = buf.cap;
  struct acc_blob *blob = acc_blob_new (&f->account, &buf);
  assert_int_equal (f->account.used, cap);
  assert_ptr_equal (acc_blob_ref (blob), blob);
  acc_blob_unref (blob);
  assert_int_equal (f->account.used, cap);
  acc_blob_unref (blob);
  assert_int_equal (f->account.used, 0);
  for (int i = 0; i < 2; i++)
    {
      assert_true (enter (f, i, &f->callers, 0));
      assert_true (arrive (f, i, 20000, 0, RW_SEC));
    }
  f->clients[1].state = ACC_UNREAD;
  f->clients[1].keeps = 100000;
  assert_true (acc_make_room (&f->account, 670000, RW_SEC));
  assert_int_equal (f->last_dropped, 1);
}

/* Guards against a listener whose crowd keeps all others out, and against more
   descriptors than there may be.  */
TEST_WITH_FIXTURE (the_oldest_leaves_its_place)
{
  for (int i = 0; i < 5; i++)
    assert_true (enter (f, i, &f->callers, i * RW_SEC));
  assert_int_equal (f->last_dropped, 0);
  assert_int_equal (f->callers.count, 4);
  assert_true (enter (f, 5, &f->peers, 5 * RW_SEC));
  assert_true (enter (f, 6, &f->peers, 5 * RW_SEC));
  assert_int_equal (f->drops, 1);
  assert_true (acc_take_place (&f->account, 6 * RW_SEC));
  assert_int_equal (f->last_dropped, 1);
  assert_int_equal (f->account.places, MAX_PLACES);
  /* The peers have no more than their reserve.  */
  for (int i = 0; i < 3; i++)
    assert_true (acc_take_place (&f->account, 60 * RW_SEC));
  assert_false (acc_take_place (&f->account, 60 * RW_SEC));
  assert_int_equal (f->peers.count, 2);
  for (int i = 0; i < 4; i++)
    acc_return_place (&f->account);
}

/* Guards against connections that end and keep a place from others.  */
TEST_WITH_FIXTURE (ending_connections_leave_first)
{
  for (int i = 0; i < 4; i++)
    assert_true (enter (f, i, &f->callers, 0));
  f->clients[2].state = ACC_ENDING;
  f->clients[2].since = 5 * RW_SEC;
  assert_true (enter (f, 4, &f->callers, 6 * RW_SEC));
  assert_int_equal (f->last_dropped, 2);
}

/* Guards against a newcomer that ends requests in progress.  */
TEST_WITH_FIXTURE (a_full_group_of_served_requests_takes_nobody)
{
  for (int i = 0; i < 4; i++)
    {
      assert_true (enter (f, i, &f->callers, 0));
      f->clients[i].state = ACC_SERVED;
    }
  assert_false (enter (f, 4, &f->callers, RW_SEC));
  assert_int_equal (f->drops, 0);
}
