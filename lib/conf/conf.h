/* Versions of the published documents: what this daemon has, what it should
   fetch from whom, and when it should read the service.  */

#ifndef CNF_CONF_H
#define CNF_CONF_H

#include "base.h"

#define CNF_KEY_MAX 95
#define CNF_DOCS_MAX 256
#define CNF_DIGESTS 16
#define CNF_START_PEERS 3
#define CNF_START_TIMEOUT (1500 * RW_MSEC)
#define CNF_WATCH_WAIT (20 * RW_SEC) /* wait of one held read */
/* Daemons that do not watch a key poll it, so that a new version is found
   while the service is down or stale for the watchers.  All daemons of a data
   centre together make so many reads a second of one key; each waits at least
   CNF_POLL_MIN.  With 2,300 daemons, 5 data centres and 10 other keys this is
   1,000 of the 2,000 reads a second that the service bears.  */
#define CNF_POLL_RULES_RATE 100
#define CNF_POLL_RATE 10
#define CNF_POLL_MIN (1 * RW_SEC)
#define CNF_BACKOFF_MIN (250 * RW_MSEC)
#define CNF_BACKOFF_MAX (8 * RW_SEC)
#define CNF_FETCH_TIMEOUT (500 * RW_MSEC)

/* What every probe and RPC message carries.  The maps are covered by a digest
   and by the one that changed last here.  */
struct cnf_versions
{
  uint64_t rules;
  uint64_t vms;
  uint64_t maps_digest; /* 0: no map */
  char map_key[CNF_KEY_MAX + 1];
  uint64_t map_version;
};

/* Parses and validates BODY and, if it is valid, puts it into effect.  Returns
   0 or a negative error number.  */
typedef int cnf_accept_fn (void *arg, struct rw_str key, uint64_t version,
                           struct rw_str body, struct rw_err *err);

struct cnf_doc;

struct cnf_settings
{
  uint64_t seed;
  cnf_accept_fn *accept;
  void *arg;
  bool allow_older; /* tests only: accepts older versions */
};

struct cnf_conf
{
  struct cnf_settings settings;
  struct rw_rng rng;
  struct cnf_doc *docs;
  size_t count;
  rw_time started;
  rw_time next_tick;
  size_t readers;                        /* daemons in this data centre */
  uint64_t start_peers[CNF_START_PEERS]; /* peers that answered the start */
  size_t start_peer_count;
  bool ready;
  uint64_t maps_digest;
  size_t newest_map;                   /* index, SIZE_MAX: none */
  rw_time list_until;                  /* a list of maps is being fetched */
  uint64_t known_digests[CNF_DIGESTS]; /* sets that have nothing newer */
  size_t next_digest;
};

void cnf_init (struct cnf_conf *conf, const struct cnf_settings *settings,
               rw_time now);
void cnf_finish (struct cnf_conf *conf);

/* Sets the number of daemons in this data centre, from which the interval of
   polls follows; 1 to begin with.  */
void cnf_set_daemon_count (struct cnf_conf *conf, size_t readers);

/* The keys this daemon needs: "rules", "vms" and "map/SERVICE".  Keys are
   never removed.  Returns 0, RW_E_RANGE (key too long or too many keys).  */
int cnf_add_key (struct cnf_conf *conf, struct rw_str key);

/* Offers a document from the service or a peer.  Returns 0 if it is now in
   effect, RW_E_NOT_NEWER if its version is not above the active one, or the
   error of the callback; a rejected version is remembered.  */
int cnf_offer (struct cnf_conf *conf, struct rw_str key, uint64_t version,
               struct rw_str body, rw_time now, struct rw_err *err);
/* The active document, or version 0 and an empty body.  The body stays owned
   by CONF, until the next version.  */
uint64_t cnf_get (const struct cnf_conf *conf, struct rw_str key,
                  struct rw_str *body);
size_t cnf_key_count (const struct cnf_conf *conf);
struct rw_str cnf_key (const struct cnf_conf *conf, size_t index);

void cnf_versions (const struct cnf_conf *conf, struct cnf_versions *versions);

/* One document to fetch from a peer.  The key CNF_MAPS_KEY stands for the list
   of all maps: the peer answers with the text of cnf_maps_list, which goes to
   cnf_on_maps_list.  */
#define CNF_MAPS_KEY "map/"
struct cnf_fetch
{
  char key[CNF_KEY_MAX + 1];
  uint64_t known_version; /* the version to send as "known" */
};

/* Notes that PEER was heard with the versions THEIRS and writes to FETCHES
   what to fetch from it now; returns their number.  A document that is being
   fetched is not fetched again within CNF_FETCH_TIMEOUT.  */
size_t cnf_on_versions (struct cnf_conf *conf, uint64_t peer,
                        const struct cnf_versions *theirs, rw_time now,
                        struct cnf_fetch *fetches, size_t max);
/* A fetch ended without a document.  */
void cnf_on_fetch_failed (struct cnf_conf *conf, struct rw_str key);
/* The text "KEY VERSION\n"... of all maps.  */
void cnf_maps_list (const struct cnf_conf *conf, struct rw_buf *out);
size_t cnf_on_maps_list (struct cnf_conf *conf, struct rw_str list,
                         rw_time now, struct cnf_fetch *fetches, size_t max);

/* Start.  A peer counts as queried when it was heard and nothing is left to
   fetch from it.  PEERS is the number of other members known.  Without rules
   and a VM list the daemon is never ready.  */
void cnf_on_peer_synced (struct cnf_conf *conf, uint64_t peer);
bool cnf_ready (struct cnf_conf *conf, size_t peers, rw_time now);

/* Reads of the service.  cnf_tick writes the reads to start now and returns
   their number; WATCHER tells by key whether this daemon watches it.  A
   started read ends with cnf_on_read.  */
struct cnf_read
{
  char key[CNF_KEY_MAX + 1];
  uint64_t after; /* 0: read at once */
  rw_time wait;   /* 0: not held */
};
typedef bool cnf_watcher_fn (void *arg, struct rw_str key);

size_t cnf_tick (struct cnf_conf *conf, cnf_watcher_fn *watcher, void *arg,
                 rw_time now, struct cnf_read *reads, size_t max);
/* When cnf_tick is due at the latest.  */
rw_time cnf_next_tick (const struct cnf_conf *conf);
/* OK: the service answered, with a document (offered before this call) or
   with "nothing newer".  */
void cnf_on_read (struct cnf_conf *conf, struct rw_str key, bool ok,
                  rw_time now);

#endif
