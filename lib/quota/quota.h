/* Quotas of organisations: how many requests a second all daemons together let
   through, kept without a coordinator or a store.

   The rate and the burst of an organisation are divided over a few token
   buckets, each at an owner: the live daemon that rendezvous hashing chooses.
   A daemon that needs tokens asks an owner for some; the owner takes them out
   of its bucket and grants them for a short time.  Grants, not shares, bound
   the sum: what is lost on the way is lost, and what is granted twice cannot
   be used twice, as a grant answers one ask.

   Nothing here reads a clock or does I/O.  Messages are byte strings that the
   caller carries; times are those of rw_now.  */

#ifndef QUO_QUOTA_H
#define QUO_QUOTA_H

#include "base.h"
#include "bucket.h"

struct quo_limit
{
  uint64_t organisation; /* hash of its name */
  double rate_per_s;     /* of all daemons together, above 0 */
  double burst;          /* tokens that may be saved, at least 0 */
};

/* The rule that the sum of all daemons keeps: in each WINDOW at most
   (rate x window + burst) x (1 + overshoot) + slack requests.  */
struct quo_settings
{
  uint32_t daemon; /* address of this daemon, which identifies it */
  rw_time window;
  double overshoot;
  double slack;
};

/* What the caller knows of the other daemons and of the configuration.  */
struct quo_view
{
  void *arg;
  /* Returns the address of the live daemon that owns KEY by rendezvous
     hashing; it may be this one.  */
  uint32_t (*owner) (void *arg, uint64_t key, rw_time now);
  /* Sets *LIMIT to the limit in force of ORGANISATION.  Returns false if there
     is none.  */
  bool (*limit) (void *arg, uint64_t organisation, struct quo_limit *limit);
  size_t daemons;  /* that divide a limit; rather too many than too few */
  double fraction; /* live daemons of those seen in the last minute, 0 to 1 */
  /* Returns for how long this daemon has owned KEY without a break, at most
     some seconds; null: not known.  */
  rw_time (*owned_for) (void *arg, uint64_t key, rw_time now);
  /* Returns for how long no owner of any key has changed by this daemon's
     view, at most some seconds; null: not known.  */
  rw_time (*unchanged_for) (void *arg, rw_time now);
};

enum quo_verdict
{
  QUO_TAKEN,  /* the request may go on */
  QUO_WAIT,   /* an owner was asked; to be called again, see below */
  QUO_REFUSED /* the quota is used up */
};

/* Stripes of a limit.  Their buckets and the reserve's are the pools of an
   organisation.  */
#define QUO_MAX_STRIPES 3
#define QUO_RESERVE QUO_MAX_STRIPES
#define QUO_POOLS (QUO_MAX_STRIPES + 1)
/* Organisations with requests at a daemon, and buckets that it owns.  When a
   table is full, a new entry takes the place of one that is idle.  If none is,
   the new organisation is refused.  */
#define QUO_MAX_USERS 16384
#define QUO_MAX_BUCKETS 32768
#define QUO_MAX_LOTS 4
#define QUO_MAX_PEERS 64
#define QUO_MAX_QUEUE 4096
#define QUO_MAX_ASKS 8192
#define QUO_FRACTION_SLOTS 8

/* Mechanisms that tests switch off to show that the rule needs them.  */
#define QUO_WITHOUT_SETTLE 1U     /* a new owner waits before it grants */
#define QUO_WITHOUT_FRACTION 2U   /* owners scale by the live fraction */
#define QUO_WITHOUT_ONE_USE 4U    /* a grant answers one ask */
#define QUO_WITHOUT_EXPIRY 8U     /* granted tokens expire */
#define QUO_WITHOUT_RESERVE 16U   /* a reserve stands in for silent owners */
#define QUO_WITHOUT_LOCAL 32U     /* a local bucket stands in for all owners */
#define QUO_WITHOUT_AHEAD 64U     /* asks for the expected load */
#define QUO_WITHOUT_DIVISION 128U /* local rate divided by the daemons */
#define QUO_WITHOUT_FALL 256U     /* a lower limit cuts what is held */
#define QUO_WITHOUT_RETRY 512U    /* refused asks get successive times */

/* Moving average of events per second.  */
struct quo_meter
{
  double per_s; /* at the time AT */
  rw_time at;
};

/* Tokens of one grant that are not used yet.  */
struct quo_lot
{
  uint32_t tokens;
  rw_time expires;
};

enum quo_answer
{
  QUO_GRANTED,  /* all tokens that were wanted */
  QUO_SHORT,    /* fewer: the bucket is empty */
  QUO_SETTLING, /* the daemon became the owner only lately */
  QUO_NOT_OWNER /* by its view, or it knows no such limit */
};

/* What a daemon knows of one pool of an organisation.  */
struct quo_pool
{
  uint32_t owner;
  rw_time owner_since; /* by this daemon's view */
  rw_time checked_at;  /* when the view was last asked; 0: never */
  uint32_t asked;      /* daemon that was asked */
  uint32_t number;     /* of the last ask; 0: it was answered */
  rw_time asked_at;
  uint32_t wanted;        /* in the last ask */
  bool is_pending;        /* asked, not answered, not timed out */
  bool is_silent;         /* the last ask timed out */
  enum quo_answer answer; /* the last one */
  rw_time closed_until;   /* not asked until then */
  rw_time token_at;       /* when it has a token, as far as known */
};

/* An organisation with requests at this daemon.  */
struct quo_user
{
  struct quo_limit limit;
  struct quo_pool pools[QUO_POOLS];
  struct quo_lot lots[QUO_MAX_LOTS];
  rw_time last_expiry; /* of the token that was taken last */
  struct bkt_bucket local;
  struct quo_meter demand;
  struct quo_meter use;
  /* Waiting requests by age: those of the current interval, of the one
     before, and older ones, which are decided at their next call.  */
  uint32_t young;
  uint32_t old;
  uint32_t overdue;
  rw_time interval_start;
  rw_time event_at;    /* of its earliest entry in EVENTS; 0: none */
  uint32_t entries;    /* in EVENTS */
  rw_time promised_at; /* when the caller that was refused last returns */
  rw_time used_at;
  rw_time decided_at;
  rw_time short_at; /* when no stripe had tokens last; 0: never */
  uint32_t first;   /* stripe that is asked first */
  uint64_t taken;
  uint64_t refused;
};

/* A bucket that this daemon owns.  */
struct quo_bucket
{
  uint64_t organisation;
  uint32_t pool;
  double rate; /* before it is scaled by the fraction */
  double cap;
  double tokens; /* at the time AT */
  rw_time at;
  rw_time owned_since;
  rw_time settled_at;
  bool is_settled;     /* it has granted since it settled */
  rw_time promised_at; /* when the caller that was refused last returns */
  rw_time asked_at;
  rw_time checked_at; /* when the view was last asked */
  struct quo_meter granted;
};

/* A daemon that did not answer.  */
struct quo_peer
{
  uint32_t daemon;
  uint32_t failures; /* asks without an answer one after the other */
  rw_time failed_at;
  rw_time avoid_until;
};

/* Which pool an ask was for, by its number.  */
struct quo_ask
{
  uint64_t organisation;
  uint32_t number; /* 0: none */
  uint32_t pool;
};

/* An ask or an answer, queued for the daemon TO.  */
struct quo_item
{
  uint32_t to;
  bool is_answer;
  uint64_t organisation;
  uint32_t number;
  uint32_t pool;
  uint32_t age_ms;  /* how long the asker has seen this owner */
  uint32_t wanted;  /* tokens */
  uint32_t waiting; /* requests that wait for one */
  enum quo_answer answer;
  uint32_t tokens;
  rw_time wait; /* until the next token is there for the asker */
};

struct quo_table
{
  struct quo_settings settings;
  unsigned int without; /* QUO_WITHOUT_... */
  struct rw_rng rng;
  rw_time started;
  struct rw_map users;   /* struct quo_user by organisation */
  struct rw_map buckets; /* struct quo_bucket by the key of the pool */
  size_t next_user;      /* where quo_tick continues */
  size_t next_bucket;
  struct rw_heap events; /* organisations, by the time of attention */
  struct quo_peer peers[QUO_MAX_PEERS];
  struct quo_item *queue; /* items in the order of their time */
  size_t queue_cap;
  size_t queue_len;
  struct quo_ask *asks; /* QUO_MAX_ASKS, by number modulo that */
  uint32_t next_number;
  double fractions[QUO_FRACTION_SLOTS]; /* lowest of each second */
  int64_t fraction_seconds[QUO_FRACTION_SLOTS];
  double fraction_mark; /* value since which a fall is measured */
  rw_time fraction_fell_at;
};

void quo_init (struct quo_table *table, const struct quo_settings *settings,
               uint64_t seed, rw_time now);
void quo_finish (struct quo_table *table);
/* Changes the figures of the rule; the daemon stays the same.  */
void quo_set_rule (struct quo_table *table,
                   const struct quo_settings *settings);
/* Takes a token for a request of the organisation of LIMIT.  IS_REPEAT: the
   same request got QUO_WAIT before; it is called again after each quo_read,
   and at quo_next_event, for requests of one organisation in the order in
   which they came.  A request that got QUO_WAIT gets another verdict
   after a bounded time.  With QUO_REFUSED, *RETRY_AFTER is set to the time
   after which a token will be there for this caller: callers that are refused
   one after the other are told to return one after the other.  */
enum quo_verdict quo_take (struct quo_table *table,
                           const struct quo_view *view,
                           const struct quo_limit *limit, bool is_repeat,
                           rw_time now, rw_time *retry_after);
/* A request that got QUO_WAIT has gone away.  */
void quo_cancel (struct quo_table *table, uint64_t organisation, rw_time now);
/* Gives back the token of a request that was not run.  */
void quo_give_back (struct quo_table *table, uint64_t organisation,
                    rw_time now);

/* Longest message in bytes.  */
#define QUO_MAX_MESSAGE 1024
/* Writes the next message that is due to OUT, which has room for
   QUO_MAX_MESSAGE, and its destination to *TO.  Returns its length, 0 if none
   is due.  To be called until it returns 0 after each quo_take that returned
   QUO_WAIT, after each quo_read, and at quo_next_event.  Tokens that are asked
   for ahead also make a message due: quo_next_event then returns NOW.  */
size_t quo_next_message (struct quo_table *table, const struct quo_view *view,
                         rw_time now, uint32_t *to, char *out);
/* Takes a message from the daemon FROM.  Returns 0, or RW_E_PARSE if it is
   malformed.  */
int quo_read (struct quo_table *table, const struct quo_view *view,
              uint32_t from, struct rw_str message, rw_time now);
/* Returns the time, not before NOW, by which waiting requests and messages
   need attention again; RW_TIME_NEVER if none does.  */
rw_time quo_next_event (const struct quo_table *table, rw_time now);
/* Periodic work: follows changes of owners, and drops state of organisations
   that nobody asked for lately.  To be called at least every 200 ms.  */
void quo_tick (struct quo_table *table, const struct quo_view *view,
               rw_time now);

/* What operators see of an organisation at this daemon.  */
struct quo_usage
{
  uint64_t organisation;
  double rate_per_s; /* requests let through here, moving average */
  uint64_t taken;    /* since the organisation was first seen here */
  uint64_t refused;
  double held;          /* tokens granted to this daemon and not used yet */
  bool is_owner;        /* of one of its buckets */
  double granted_per_s; /* by this daemon as owner, moving average */
  rw_time decided_at;   /* last grant or refusal of an owner; 0: none */
};
/* Stores the usage of the next organisation in *USAGE; false at the end.
 *POSITION starts at 0.  */
bool quo_next_usage (const struct quo_table *table, size_t *position,
                     struct quo_usage *usage, rw_time now);
/* The same of one; false if it is not known here.  */
bool quo_find_usage (const struct quo_table *table, uint64_t organisation,
                     struct quo_usage *usage, rw_time now);

#endif
