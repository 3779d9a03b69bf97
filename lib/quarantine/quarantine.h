/* Requests that crash every target that runs them ("queries of death").  A
   target that ends takes all requests in flight there with it, so a single end
   blames none of them; a request is held back once several targets have ended
   under it, one after the other, and none has completed it since.  Evidence is
   shared by all daemons, as callers come back to any of them.

   A request is identified by a key, a hash of what is asked and by whom.
   Evidence counts for the software of the targets: a request that one version
   completes may still crash another.

   Daemons learn of ends and of completions at different times, and some late:
   after a pause, or when they were cut off.  So each daemon notes when it saw
   which request completed, whether or not there is evidence against it, and
   refutes the ends of before that it is told.

   A request that is held back may be sent in a trial, one send to one target:
   to software under which it has not ended a target, or once a while after the
   last end.  Trials are granted by one daemon for the whole fleet, and their
   number is bounded.

   Nothing here reads a clock or does I/O.  Times are those of rw_now; messages
   carry ages, so that daemons need no common clock.  */

#ifndef QUA_QUARANTINE_H
#define QUA_QUARANTINE_H

#include "base.h"

/* Targets that end under a request before it is held back.  */
#define QUA_HELD_ENDS 3
#define QUA_MAX_PROOFS 4
/* Trials of a request in the whole fleet, until an operator releases it.  */
#define QUA_MAX_TRIALS 3
/* Time from the third end until all daemons know it.  Sends that end a target
   later count as trials.  */
#define QUA_LEARN_TIME (4 * RW_SEC)
/* Time between two messages on evidence that is about to take effect.  */
#define QUA_REPEAT_INTERVAL (20 * RW_MSEC)
/* Of the ends of a request those are kept that matter: the first ones, one
   that shows that they go on, those of other software, and those that count as
   trials.  Others are remembered for a while, so that old news of them is not
   taken for new ends.  */
#define QUA_MAX_ENDS 8
#define QUA_MAX_SEEN 64
/* Requests that are kept.  If there are more, those that ended the fewest
   targets go first, and of several the ones that changed least lately; those
   that are held back go last.  */
#define QUA_MAX_RECORDS 1024

/* Completions that a daemon remembers, of any request, in groups in which the
   oldest one is replaced.  A daemon of the planned scale completes 160
   requests a second, so those of the last seconds are there.  */
#define QUA_MAX_DONES 1024
#define QUA_DONE_GROUP 4

/* A target's process that ended before it had answered the request.  Daemons
   may not agree on what tells a process from an earlier one at its place, and
   a daemon that was paused sees an end late.  So an end is known to lie
   between the send and the time at which it was seen, and two of a target
   count as one if less than QUA_SAME_END_TIME is between these times of the
   one and those of the other.  */
#define QUA_SAME_END_TIME RW_SEC
struct qua_end
{
  uint64_t target;   /* hash of its id */
  uint32_t software; /* hash of the service's name and version */
  rw_time sent_at;   /* when the request was sent there */
  rw_time ended_at;
};

/* A completion of the request.  Ends of the same software whose send began
   before it do not count.  */
struct qua_proof
{
  uint32_t software;
  bool is_told; /* by a peer */
  rw_time at;   /* of the last one that is known */
};

/* A message is under way for up to this time, as a daemon that lags by more
   reads none, and what it tells seems later by that.  So a completion that a
   peer told is told on as this much earlier.  Otherwise, two daemons that tell
   each other of one would make it ever later, until it refutes ends of long
   after it.  */
#define QUA_MAX_DELAY (200 * RW_MSEC)

struct qua_trial
{
  uint32_t id;     /* drawn at random */
  uint32_t daemon; /* address of the daemon that may send it */
  rw_time at;      /* when it was granted */
};

/* An end that is known.  */
struct qua_seen
{
  uint32_t target;  /* low half of the hash */
  uint32_t sent_ms; /* low halves of its times */
  uint32_t at_ms;
};

/* The last completion of a request that this daemon saw.  */
struct qua_done
{
  uint64_t key;
  uint32_t software;
  rw_time at; /* 0: the entry is free */
};

struct qua_record
{
  uint64_t key;
  struct qua_end ends[QUA_MAX_ENDS]; /* that count, as learned */
  size_t end_count;
  struct qua_seen seen[QUA_MAX_SEEN]; /* ends of all kinds, a ring */
  size_t seen_count;                  /* ever written to it */
  struct qua_proof proofs[QUA_MAX_PROOFS];
  size_t proof_count;
  struct qua_trial trials[QUA_MAX_TRIALS]; /* by their time */
  size_t trial_count;
  rw_time released_at; /* last order to release it; 0: none */
  rw_time held_at;     /* last order to hold it back; 0: none */
  rw_time known_at;    /* since when the evidence suffices; 0: it does not */
  rw_time changed_at;
  rw_time told_at;        /* last time as news */
  rw_time refused_at;     /* last refusal here; 0: none */
  uint64_t refused_count; /* refusals here */
  bool is_news;           /* peers are to be told */
  bool refutes;           /* so is the one whose message was read last */
  bool reported_held;     /* for the caller's log */
  uint32_t used_trial;    /* last trial that this daemon has sent; 0: none */
};

struct qua_table
{
  uint32_t daemon; /* address of this daemon */
  struct rw_rng rng;
  struct rw_map records; /* by key */
  bool has_news;
  bool has_refutations;
  rw_time asked_at; /* when a refusal was last told to peers */
  size_t next_told; /* position of the next record that is told regularly */
  struct qua_done dones[QUA_MAX_DONES];
};

/* What may be done with a request at a target.  */
enum qua_verdict
{
  QUA_PASS,
  QUA_CAREFUL, /* one send at a time until a target completes one */
  QUA_UNTRIED, /* held back, but a trial is possible */
  QUA_HELD     /* held back */
};

/* One attempt of a caller, as far as it matters here.  All zero at first.  */
struct qua_attempt
{
  bool held;       /* nothing more is sent */
  bool is_trial;   /* it may be sent to targets with TRIAL_SOFTWARE */
  bool sent_alone; /* a send is on its own until it has an outcome */
  bool lost_alone; /* that send ended its target */
  uint32_t trial_software;
  unsigned int losses; /* sends whose connection was lost */
};

void qua_init (struct qua_table *table, uint32_t daemon, uint64_t seed);
void qua_finish (struct qua_table *table);
/* Returns the record of KEY, owned by TABLE until the next call that changes
   it, or null.  */
struct qua_record *qua_find (const struct qua_table *table, uint64_t key);
/* Returns the records one after the other, null at the end; *POSITION starts
   at 0.  */
const struct qua_record *qua_next (const struct qua_table *table,
                                   size_t *position);
/* Returns whether the evidence or an order holds RECORD back from some
   software.  */
bool qua_is_held (const struct qua_record *record, rw_time now);

/* Records END, of a target under the request KEY.  */
void qua_on_end (struct qua_table *table, uint64_t key,
                 const struct qua_end *end, rw_time now);
/* Records that a target with SOFTWARE completed the request KEY.  */
void qua_on_done (struct qua_table *table, uint64_t key, uint32_t software,
                  rw_time now);
/* Returns what may be done with the request KEY at targets with SOFTWARE.  */
enum qua_verdict qua_verdict (const struct qua_table *table, uint64_t key,
                              uint32_t software, rw_time now);
/* Records that a send of ATTEMPT was lost with its connection, when DONE of
   its parts were completed.  */
void qua_on_loss (struct qua_attempt *attempt, size_t done);
/* Returns whether the sends of ATTEMPT, of the request KEY with PARTS parts of
   which DONE are completed, go alone: one at a time, and the next one only if
   the last one was completed.  So they do in a trial, while there is evidence
   against the request, and when targets were lost in the attempt itself, in
   which they may all have ended at once.  */
bool qua_sends_alone (const struct qua_table *table, uint64_t key,
                      const struct qua_attempt *attempt, size_t parts,
                      size_t done, rw_time now);
/* Returns when the next send of ATTEMPT may begin: 0 at once, a negative time
   never, otherwise to be asked again after that time.  BEST is the best
   verdict at its targets; IS_OPEN says whether a send has no outcome yet.  The
   other arguments are as above.  */
rw_time qua_delay (const struct qua_table *table, uint64_t key,
                   struct qua_attempt *attempt, size_t parts, size_t done,
                   bool is_open, enum qua_verdict best, rw_time now);
/* Returns whether a part of a request of PARTS parts, of which DONE are
   completed, may be sent to a second target while the first one works on it.
   If none of many parts is completed when a hedge is due, the request may be
   about to end all of its targets.  */
bool qua_may_hedge (size_t parts, size_t done);
/* Counts a refusal of the request KEY.  Its record becomes news at times, so
   that a peer that knows of a completion can refute it.  */
void qua_on_refused (struct qua_table *table, uint64_t key, rw_time now);

/* Grants the daemon with the address DAEMON a trial of the request KEY with
   SOFTWARE, if one is possible.  To be called on one daemon only, the one that
   all others ask for KEY.  Returns whether it was granted.  */
bool qua_grant (struct qua_table *table, uint64_t key, uint32_t software,
                uint32_t daemon, rw_time now);
/* Returns whether this daemon was granted a trial of the request KEY that it
   has not sent yet, and counts it as sent.  */
bool qua_take_trial (struct qua_table *table, uint64_t key, rw_time now);

/* Carries out an operator's order.  A release drops all evidence of before, so
   that the request is held back only if it ends targets again; an order to
   hold it back stays in force until then.  */
void qua_release (struct qua_table *table, uint64_t key, rw_time now);
void qua_hold (struct qua_table *table, uint64_t key, rw_time now);

/* Drops records that are of no further use.  */
void qua_sweep (struct qua_table *table, rw_time now);

/* Messages to other daemons are lists of items.  Each states its kind and its
   length; kinds that are not known are skipped, and so is what follows the
   known fields of an item, so that later versions can add to them.  */

/* Longest item in bytes.  */
#define QUA_MAX_ITEM 320

/* Makes records news again whose evidence became sufficient so lately that it
   has no effect yet: a peer that refutes it may not have been told, or its
   answer may be lost.  Returns whether there are any; then it is to be called
   again after QUA_REPEAT_INTERVAL.  */
bool qua_repeat (struct qua_table *table, rw_time now);
/* Writes records that are news to OUT, as many as fit into SIZE bytes, those
   with enough evidence first; they then are no news any more.  Returns the
   length.  */
size_t qua_write_news (struct qua_table *table, char *out, size_t size,
                       rw_time now);
/* Writes the records that refute what the last message that was read has told,
   as many as fit into SIZE bytes; they are for its sender.  Returns the
   length.  */
size_t qua_write_refutations (struct qua_table *table, char *out, size_t size,
                              rw_time now);
/* Writes the next records that count, in turn, as many as fit into SIZE bytes.
   Returns the length.  */
size_t qua_write_next (struct qua_table *table, char *out, size_t size,
                       rw_time now);
/* Writes the record of KEY.  Returns the length, 0 if there is none or SIZE is
   too small.  */
size_t qua_write_record (const struct qua_table *table, uint64_t key,
                         char *out, size_t size, rw_time now);
/* Writes a request for a trial of KEY with SOFTWARE.  Returns the length, 0 if
   SIZE is too small.  */
size_t qua_write_wanted (uint64_t key, uint32_t software, char *out,
                         size_t size);
/* Takes the items of a message from a peer.  WANTED is called for each request
   for a trial.  Returns 0, or RW_E_PARSE if an item is malformed; those before
   it are taken.  */
int qua_read (struct qua_table *table, struct rw_str items,
              void (*wanted) (void *arg, uint64_t key, uint32_t software),
              void *arg, rw_time now);

/* For the codec: when PROOF was, as peers are told.  */
rw_time qua_told_time (const struct qua_proof *proof);
/* For the codec: merges COPY, as a peer told it, into the record of its key.
 */
void qua_merge (struct qua_table *table, const struct qua_record *copy,
                rw_time now);

#endif
