/* What clients make a process hold: one account of bytes and one of
   descriptors, each with a bound, for all connections of all listeners and for
   what is kept on their behalf.  Past a bound, the connections that hold most
   and have advanced least are dropped.

   The functions are pure but for the callback that drops a connection.  A null
   account counts nothing and has no bound.  */

#ifndef ACC_ACCOUNT_H
#define ACC_ACCOUNT_H

#include "base.h"

/* A connection that holds at most this many bytes may use the last
   1/ACC_RESERVE_DIVISOR of the memory.  */
#define ACC_SMALL_BYTES 16384
#define ACC_RESERVE_DIVISOR 8

/* What a connection waits for.  */
enum acc_state
{
  ACC_IDLE,     /* a message of the client */
  ACC_ARRIVING, /* the rest of a message of the client */
  ACC_SERVED,   /* an answer of this process; it is not dropped */
  ACC_UNREAD,   /* the client, which has not taken what was sent to it */
  ACC_ENDING    /* its end */
};

/* Why a connection is dropped.  */
enum acc_cause
{
  ACC_FOR_MEMORY,
  ACC_FOR_PLACE, /* its descriptor is needed */
  ACC_CAUSE_COUNT
};

struct acc_client;
struct acc_account;

/* The connections of one listener.  */
struct acc_group
{
  struct acc_account *account;
  size_t count;
  size_t max;
  size_t reserve; /* so many are not dropped for another group */
  /* Ends CLIENT at once, or at least frees most of what it holds: calls
     acc_leave or acc_set.  */
  void (*drop) (struct acc_client *client, enum acc_cause cause);
};

/* A connection.  In memory of its owner, which finds itself by OWNER.  */
struct acc_client
{
  struct acc_group *group; /* null: it has left */
  void *owner;
  struct acc_client *next;
  struct acc_client *prev;
  enum acc_state state;
  rw_time since; /* it has not advanced since then */
  size_t held;   /* bytes of its own */
  size_t keeps;  /* bytes of blobs that are kept for it, not counted here */
};

struct acc_account
{
  size_t used; /* bytes of clients, of blobs and of acc_add */
  size_t max;
  size_t places; /* descriptors of clients and of acc_take_place */
  size_t max_places;
  size_t peak; /* of USED */
  struct acc_client *clients;
  uint64_t dropped[ACC_CAUSE_COUNT];
};

void acc_init (struct acc_account *account, size_t max, size_t max_places);
void acc_group_init (struct acc_group *group, struct acc_account *account,
                     size_t max, size_t reserve,
                     void (*drop) (struct acc_client *, enum acc_cause));

/* Adds a connection that holds HELD bytes.  Drops others if the group, the
   places or the memory are full.  Returns false, and adds nothing, if that
   makes no room.  */
bool acc_enter (struct acc_client *client, struct acc_group *group,
                void *owner, size_t held, rw_time now);
/* Removes CLIENT with what it holds.  Does nothing if it has left.  */
void acc_leave (struct acc_client *client);
/* Sets what CLIENT holds without a check, as after memory was freed.  */
void acc_set (struct acc_client *client, size_t held);
/* Sets what CLIENT holds, and drops others if that is more than there is room
   for.  Returns false, and changes nothing, if CLIENT itself is the one to be
   dropped.  */
bool acc_charge (struct acc_client *client, size_t held, rw_time now);

/* Counts BYTES that are kept on behalf of clients.  There is no check; see
   acc_make_room.  */
void acc_add (struct acc_account *account, size_t bytes);
void acc_sub (struct acc_account *account, size_t bytes);
/* Whether BYTES more fit, without dropping a connection.  */
bool acc_has_room (const struct acc_account *account, size_t bytes);
/* Drops connections until BYTES more fit.  Returns whether they do.  */
bool acc_make_room (struct acc_account *account, size_t bytes, rw_time now);

/* Counts a descriptor that is opened for other ends than a client, and drops a
   client if there is none left.  Returns false, and counts nothing, if that
   makes no room.  */
bool acc_take_place (struct acc_account *account, rw_time now);
void acc_return_place (struct acc_account *account);

/* Bytes that several owners use.  They count in the account, once, until the
   last owner has released them.  */
struct acc_blob
{
  struct acc_account *account;
  size_t refs;
  struct rw_buf buf;
};

/* Moves the bytes of BUF, which is empty afterwards, to a new blob with one
   reference.  */
struct acc_blob *acc_blob_new (struct acc_account *account,
                               struct rw_buf *buf);
/* Returns BLOB, which may be null, with one reference more.  */
struct acc_blob *acc_blob_ref (struct acc_blob *blob);
/* Releases a reference to BLOB, which may be null.  */
void acc_blob_unref (struct acc_blob *blob);

#endif
