/* Membership of the daemons.  A daemon learns of the others from a few
   configured seeds and from UDP messages that each daemon sends to random
   members.  A message also carries the revision of the sender's copy of the
   store, so that a daemon whose copy is behind knows which peer to fetch from.
   The membership is only a hint: it is used to divide limits that all daemons
   share, and to choose the daemons that read the store.  */

#ifndef GOS_GOSSIP_H
#define GOS_GOSSIP_H

#include "base.h"

/* Mean interval between two periodic messages of a daemon.  */
#define GOS_SEND_INTERVAL (500 * RW_MSEC)
/* How long a daemon is joining after its start.  Messages are then more
   frequent and request a reply, because after a start of all daemons each must
   know how many there are before they divide a limit.  */
#define GOS_JOIN_TIME (1000 * RW_MSEC)
/* Daemons of each data centre that read the store for the others.  */
#define GOS_READERS_PER_DC 2
/* A member that was not heard of for this time is dead.  News of a member
   reaches all of 140 daemons within about 6 s.  */
#define GOS_MEMBER_TIMEOUT (12 * RW_SEC)
/* How long the highest count of daemons stays in use after the count falls.  A
   daemon that is cut off from the others must not take over their shares.  */
#define GOS_COUNT_HOLD_TIME (60 * RW_SEC)
/* A member that says that it is cut off from the targets counts as such for
   this long after its last message.  */
#define GOS_CUT_OFF_LIFE (3 * RW_SEC)
#define GOS_MAX_MEMBERS 4096
/* Members that a daemon tells that the copies are current, when it learns
   that.  */
#define GOS_CONFIRM_FANOUT 3
#define GOS_MAX_SEEDS 8
/* A message lists up to GOS_MAX_ENTRIES members, 16 bytes each: first the live
   members with the lowest hashes, of which all daemons have recent news, then
   random ones.  */
#define GOS_LOWEST_HASHES 40
#define GOS_MAX_ENTRIES 60
#define GOS_MAX_DATAGRAM 1400 /* bytes */

/* What is known of another daemon.  Its IPv4 address, in host order,
   identifies it; all daemons use the same port.  */
struct gos_member
{
  uint32_t ip;
  uint32_t dc;           /* hash of the data centre's name */
  uint32_t capacity;     /* processor time, in thousandths of a core */
  rw_time last_heard;    /* its last message to any daemon, as far as known */
  bool left;             /* it said in that message that it stops */
  int64_t revision;      /* of its copy of the store, from its last message */
  rw_time current_at;    /* when its copy was last known to be current */
  rw_time cut_off_until; /* until then it takes no work from others */
};

/* A member as listed in a message; the fields are those of gos_member.  */
struct gos_entry
{
  uint32_t ip;
  uint32_t dc;
  uint32_t capacity;
  uint32_t age_ms; /* time since the sender last heard of the member */
};

struct gos_message
{
  uint32_t dc;
  uint32_t capacity;
  bool leaving; /* the sender is about to stop */
  bool cut_off; /* the sender reaches no target */
  bool reply_requested;
  int64_t revision;      /* of the sender's copy; 0: it has none */
  uint32_t staleness_ms; /* time since the sender's copy was known to be
                            current */
  size_t count;
  struct gos_entry entries[GOS_MAX_ENTRIES];
  /* Evidence against requests, in a form that its library knows; may be empty.
     In a decoded message it points into the data.  */
  struct rw_str evidence;
  /* Asks for tokens of quotas, or grants of them; likewise.  */
  struct rw_str quota;
};

struct gos_settings
{
  uint32_t ip; /* of this daemon, like DC and CAPACITY */
  uint32_t dc;
  uint32_t capacity;
  uint32_t seeds[GOS_MAX_SEEDS]; /* addresses; may include this daemon's */
  size_t seed_count;
  size_t min_daemons; /* lower bound of gos_daemon_count in the first 8 s; for
                         GOS_COUNT_HOLD_TIME while no member is known */
  uint64_t rng_seed;
};

/* The daemons that could own keys at some time.  */
struct gos_owners
{
  rw_time at;
  uint32_t ips[GOS_LOWEST_HASHES];
  size_t count;
};
/* The last of them that are kept: those of GOS_OWNERS_KEPT times
   GOS_OWNERS_INTERVAL.  */
#define GOS_OWNERS_INTERVAL (250 * RW_MSEC)
#define GOS_OWNERS_KEPT 16

struct gos_gossip
{
  struct gos_settings settings;
  struct rw_rng rng;
  struct gos_member *members; /* without this daemon; some are dead */
  size_t count;
  size_t cap;
  rw_time started;
  rw_time next_send;
  rw_time passed_on_at; /* last gos_should_pass_on that was true */
  rw_time last_message; /* of any peer; 0: none */
  size_t held_count;    /* highest count, held for GOS_COUNT_HOLD_TIME */
  rw_time held_at;      /* when the count was last as high as that */
  struct gos_owners owners[GOS_OWNERS_KEPT]; /* a ring */
  size_t owners_next;
};

/* Copies SETTINGS.  */
void gos_init (struct gos_gossip *gossip, const struct gos_settings *settings,
               rw_time now);
void gos_finish (struct gos_gossip *gossip);
/* Stores in TO the addresses to which a periodic message is due at NOW, at
   most MAX, and returns their number: 0 until the next message is due, then up
   to one seed and one random member.  */
size_t gos_tick (struct gos_gossip *gossip, rw_time now, uint32_t *to,
                 size_t max);
/* Returns whether the owner of KEY among the live daemons is this one; else
   *OWNER is its address.  The owner is chosen by rendezvous hashing from the
   GOS_LOWEST_HASHES live daemons with the lowest hashes.  All daemons have
   recent news of these and so agree on it; of 144 daemons, each takes some of
   the others for dead at any time.  */
bool gos_owns (const struct gos_gossip *gossip, uint64_t key, rw_time now,
               uint32_t *owner);
/* Keeps who can own keys at NOW, at most each GOS_OWNERS_INTERVAL; to be
   called regularly.  */
void gos_note_owners (struct gos_gossip *gossip, rw_time now);
/* Returns for how long this daemon has owned KEY without a break: rather too
   short than too long, and at most the time that gos_note_owners covers.  */
rw_time gos_owned_for (const struct gos_gossip *gossip, uint64_t key,
                       rw_time now);
/* Returns for how long the daemons that can own keys have been the same, with
   the same bounds.  */
rw_time gos_owners_unchanged_for (const struct gos_gossip *gossip,
                                  rw_time now);
/* Returns whether this daemon may decide for all of them: it has run for a
   while, and it hears of most of the daemons that were live within
   GOS_COUNT_HOLD_TIME.  */
bool gos_may_decide (const struct gos_gossip *gossip, rw_time now);
/* Returns the live daemons over those that were heard of within
   GOS_COUNT_HOLD_TIME and did not say that they stop, 0 to 1.  Only the
   GOS_LOWEST_HASHES daemons with the lowest hashes count, of which all daemons
   have recent news.  Groups of daemons that cannot reach each other get
   fractions that add up to one when they have found the others silent.  */
double gos_live_fraction (const struct gos_gossip *gossip, rw_time now);
/* Stores in TO the addresses of up to MAX random live members, most of them in
   this daemon's data centre, and returns their number.  The caller announces a
   change to them.  An address may occur twice.  */
size_t gos_pick_members (struct gos_gossip *gossip, rw_time now, uint32_t *to,
                         size_t max);
/* Returns whether the news that this daemon's copy was current GAIN later than
   known so far is to be passed on at NOW, to GOS_CONFIRM_FANOUT members.  It
   then spreads from the readers to nearly all within a few messages, while the
   periodic ones would take seconds.  */
bool gos_should_pass_on (struct gos_gossip *gossip, rw_time gain, rw_time now);
/* Sets this daemon's data centre and capacity and the entries of MESSAGE; the
   caller sets the other fields.  */
void gos_fill_message (struct gos_gossip *gossip, rw_time now,
                       struct gos_message *message);
/* The same without entries, for a message that only tells of the copy.  */
void gos_fill_head (const struct gos_gossip *gossip,
                    struct gos_message *message);
/* Returns the age of a copy in the form of a message, at most a day.  */
uint32_t gos_staleness_ms (rw_time age);
/* Updates the members from a message that the daemon at address FROM sent.  */
void gos_on_message (struct gos_gossip *gossip, uint32_t from,
                     const struct gos_message *message, rw_time now);
/* Returns whether messages should request a reply: while this daemon is
   joining, while it knows few live members, and after a silence of all peers:
   it may have been cut off or frozen, and have missed news.  */
bool gos_should_request_reply (const struct gos_gossip *gossip, rw_time now);
/* Returns whether this daemon started less than GOS_JOIN_TIME ago, so that it
   may not know all members yet.  */
bool gos_is_joining (const struct gos_gossip *gossip, rw_time now);
/* Returns the number of daemons that divide a shared limit, with this one.
   Live members are counted.  In a fleet so large that some are unknown, the
   number is estimated from the lowest hashes, rather too high than too low.
   The highest result is kept for GOS_COUNT_HOLD_TIME, so call this
   regularly.  */
size_t gos_daemon_count (struct gos_gossip *gossip, rw_time now);
/* Returns this daemon's rank by hash among the live daemons of its data
   centre, beginning at 0.  Daemons that know the same members agree on
   the ranks.  */
size_t gos_rank (const struct gos_gossip *gossip, rw_time now);
/* Returns whether this daemon, which has no copy of the store, should read the
   store after it waited for a copy from a peer for the time WAITED.  The first
   GOS_READERS_PER_DC daemons of each data centre, by the members known so far,
   read at once.  In case those reads fail, the number of readers then doubles
   with each wave.  */
bool gos_initial_read_due (const struct gos_gossip *gossip, rw_time waited,
                           rw_time now);
/* Returns the next live member with at least CAPACITY, or a null pointer at
   the end.  *POSITION starts at 0.  The member is valid until the next message
   is processed.  */
const struct gos_member *gos_next_member (const struct gos_gossip *gossip,
                                          uint32_t capacity, rw_time now,
                                          size_t *position);
#define GOS_MAX_DCS 16

/* Daemons of one data centre.  */
struct gos_dc_count
{
  uint32_t dc;
  size_t all;
  size_t large; /* those with at least a given capacity */
};

/* Counts the daemons by data centre, with this one, and those with at least
   CAPACITY.  Daemons that were not heard of for a while count for
   GOS_COUNT_HOLD_TIME, unless they said that they stop.  Stores the counts in
   OUT, which has room for GOS_MAX_DCS, and returns the number of data centres;
   daemons of further ones are not counted.  */
size_t gos_count_by_dc (const struct gos_gossip *gossip, uint32_t capacity,
                        rw_time now, struct gos_dc_count *out);

#define GOS_MAX_DELEGATE_DCS GOS_MAX_DCS
#define GOS_DELEGATES_PER_DC 3

/* The members of another data centre that take work from this daemon.  */
struct gos_delegates
{
  uint32_t dc;
  size_t count;
  const struct gos_member *members[GOS_DELEGATES_PER_DC];
};

/* Stores in OUT, which has room for GOS_MAX_DELEGATE_DCS, the delegates of
   each other data centre, and of this daemon's if WITH_OWN_DC, and returns the
   number of data centres.  They are the live members with at least CAPACITY
   that rank lowest for this daemon by rendezvous hashing, so the daemons
   spread evenly over them and one that comes or goes changes few choices.
   Members that are cut off are left out.  The members are valid until the next
   message is processed.  */
size_t gos_pick_delegates (const struct gos_gossip *gossip, uint32_t capacity,
                           bool with_own_dc, rw_time now,
                           struct gos_delegates *out);
/* Returns the number of live members, without this daemon.  */
size_t gos_live_count (const struct gos_gossip *gossip, rw_time now);
/* Returns the address of a random live member whose copy has at least
   REVISION, from which this daemon can fetch.  Members of this daemon's data
   centre are preferred.  Returns 0 if there is none.  */
uint32_t gos_pick_source (struct gos_gossip *gossip, int64_t revision,
                          rw_time now);

/* Returns how many bytes of evidence fit into MESSAGE besides its entries.  */
size_t gos_evidence_space (const struct gos_message *message);
/* Encodes MESSAGE into DATA and returns the length, or 0 if SIZE is too small
   or a field is out of range.  A staleness of more than a day is sent as a
   day.  */
size_t gos_encode (const struct gos_message *message, char *data, size_t size);
/* Returns RW_E_PARSE if DATA is not a valid message; MESSAGE is then
   undefined.  */
int gos_decode (struct rw_str data, struct gos_message *message,
                struct rw_err *err);

#endif
