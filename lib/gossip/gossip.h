/* Which other daemons there are, learned from a few seeds and from messages
   that each daemon sends to random others.  A message also says how new the
   sender's copy of the store is, so that who is behind knows whom to ask.  The
   view is a hint: it shares out sums and chooses readers of the store.  */

#ifndef GOS_GOSSIP_H
#define GOS_GOSSIP_H

#include "base.h"

/* Interval of a daemon's messages.  */
#define GOS_SEND_INTERVAL (500 * RW_MSEC)
/* In the first second every tick sends, and asks for a reply: after a start of
   all the daemons must know how many they are before they share anything.  */
#define GOS_JOIN_TIME (1000 * RW_MSEC)
/* Daemons of a data centre that read the store for the others.  */
#define GOS_READERS_PER_DC 2
/* A member that nobody heard of for this time does not count: news of 140
   members reaches all within about 6 s.  */
#define GOS_MEMBER_TIMEOUT (12 * RW_SEC)
/* How long the highest count of members stands: a daemon that is cut off must
   not take the shares of the others.  */
#define GOS_COUNT_HOLD_TIME (60 * RW_SEC)
#define GOS_MAX_MEMBERS 4096
#define GOS_MAX_SEEDS 8
/* Entries of one message, 16 bytes each: the living members with the lowest
   hashes, which everybody knows well, and random ones.  */
#define GOS_LOWEST_HASHES 40
#define GOS_MAX_ENTRIES 60
#define GOS_MAX_DATAGRAM 1400

/* A daemon is named by its IPv4 address in host order; all use the same
   port.  */
struct gos_member
{
  uint32_t ip;
  uint32_t dc;       /* hash */
  uint32_t capacity; /* processor, in thousandths of a core */
  rw_time last_heard;
  int64_t revision;   /* of its copy, as far as known */
  rw_time current_at; /* when its copy was known to be current */
};

struct gos_entry
{
  uint32_t ip;
  uint32_t dc;
  uint32_t capacity;
  uint32_t age_ms;
};

struct gos_message
{
  uint32_t dc;
  uint32_t capacity;
  bool leaving;
  bool reply_requested;
  int64_t revision;      /* of the sender's copy; 0: it has none */
  uint32_t staleness_ms; /* since its copy was known to be current */
  size_t count;
  struct gos_entry entries[GOS_MAX_ENTRIES];
};

struct gos_settings
{
  uint32_t ip;
  uint32_t dc;
  uint32_t capacity;
  uint32_t seeds[GOS_MAX_SEEDS];
  size_t seed_count;
  size_t min_daemons; /* members assumed in the first seconds */
  uint64_t rng_seed;
};

struct gos_gossip
{
  struct gos_settings settings;
  struct rw_rng rng;
  struct gos_member *members; /* without this daemon */
  size_t count;
  size_t cap;
  rw_time started;
  rw_time next_send;
  size_t held_count; /* highest count of the last GOS_COUNT_HOLD_TIME */
  rw_time held_at;
};

void gos_init (struct gos_gossip *gossip, const struct gos_settings *settings,
               rw_time now);
void gos_finish (struct gos_gossip *gossip);
/* The daemons to send a message to at NOW: at most MAX addresses.  */
size_t gos_tick (struct gos_gossip *gossip, rw_time now, uint32_t *to,
                 size_t max);
/* Random members to tell of a change: most of them in the own data centre.  */
size_t gos_pick_members (struct gos_gossip *gossip, rw_time now, uint32_t *to,
                         size_t max);
/* Fills in the entries of a message.  */
void gos_fill_message (struct gos_gossip *gossip, rw_time now,
                       struct gos_message *message);
void gos_on_message (struct gos_gossip *gossip, uint32_t from,
                     const struct gos_message *message, rw_time now);
/* Whether so few members are known that a message should ask for a reply.  */
bool gos_should_request_reply (const struct gos_gossip *gossip, rw_time now);
/* Whether this daemon has just started and does not know the others yet.  */
bool gos_is_joining (const struct gos_gossip *gossip, rw_time now);
/* Daemons that share a sum, this one included: counted while all are known,
   estimated from the lowest hashes in a larger fleet, rather too high than too
   low.  */
size_t gos_daemon_count (struct gos_gossip *gossip, rw_time now);
/* This daemon's place among the living of its data centre, 0 is the first.
   Two daemons with the same view agree.  */
size_t gos_rank (const struct gos_gossip *gossip, rw_time now);
/* Whether a daemon that has no copy at all reads the store after it has WAITED
   for one from a peer: the first ones of each data centre that it
   knows at once, the others in waves, should those fail.  */
bool gos_initial_read_due (const struct gos_gossip *gossip, rw_time waited,
                           rw_time now);
/* The next living member of at least CAPACITY, or null; *POSITION starts at
   0.  */
const struct gos_member *gos_next_member (const struct gos_gossip *gossip,
                                          uint32_t capacity, rw_time now,
                                          size_t *position);
size_t gos_live_count (const struct gos_gossip *gossip, rw_time now);
/* A member whose copy has REVISION or more, in the own data centre if there
   is one; 0 if there is none.  */
uint32_t gos_pick_source (struct gos_gossip *gossip, int64_t revision,
                          rw_time now);

size_t gos_encode (const struct gos_message *message, char *data, size_t size);
int gos_decode (struct rw_str data, struct gos_message *message,
                struct rw_err *err);

#endif
