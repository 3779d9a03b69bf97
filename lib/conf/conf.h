/* Versions of the published documents: which version this daemon has, which
   documents to fetch from a peer, and when to read the configuration service.
   A document is the rules, the VM list or the partition map of a search
   service.  Below, "the service" is the configuration service.  */

#ifndef CNF_CONF_H
#define CNF_CONF_H

#include "base.h"

#define CNF_KEY_MAX 95 /* bytes of a key */
#define CNF_DOCS_MAX 256
#define CNF_KNOWN_DIGESTS_MAX 16
/* Peers that a starting daemon queries before it is ready; fewer if it knows
   fewer.  */
#define CNF_START_PEERS_MAX 3
/* After this time a daemon stops waiting for the service and the peers and
   starts with the documents that it has.  */
#define CNF_START_TIMEOUT (1500 * RW_MSEC)
/* How long the service may delay its answer to a watch.  */
#define CNF_WATCH_WAIT (20 * RW_SEC)
/* Daemons that do not watch a key poll it, so that they find a new version
   while the service is down or stale for the watchers.  The rates are reads a
   second of one key by all daemons of a data centre together.  With 2,300
   daemons, 5 data centres and 10 keys besides the rules, polls make 1,000 of
   the 2,000 reads a second that the service can handle.  */
#define CNF_RULES_POLLS_PER_S 100
#define CNF_POLLS_PER_S 10
/* Shortest time between two polls of a key by one daemon.  */
#define CNF_POLL_INTERVAL_MIN (1 * RW_SEC)
/* Backoff after failed reads of the service: doubles from MIN to MAX.  MIN is
   also the delay after a watch that ended early without a new version.  */
#define CNF_BACKOFF_MIN (250 * RW_MSEC)
#define CNF_BACKOFF_MAX (8 * RW_SEC)
/* A document is not fetched again from a peer within this time.  */
#define CNF_FETCH_TIMEOUT (500 * RW_MSEC)

/* The versions in force at a daemon, sent with every probe and RPC message.
   0 stands for no version.  The maps are summarised by a digest of their keys
   and versions; the map that changed last at that daemon is also given by its
   key.  */
struct cnf_versions
{
  uint64_t rules;
  uint64_t vms;
  uint64_t maps_digest; /* 0: no map */
  char map_key[CNF_KEY_MAX + 1];
  uint64_t map_version;
};

/* Parses and validates BODY and, if it is valid, puts it into effect.  Returns
   0 or a negative error number with ERR filled.  May call cnf_add_key.  */
typedef int cnf_accept_fn (void *arg, struct rw_str key, uint64_t version,
                           struct rw_str body, struct rw_err *err);

struct cnf_doc;

struct cnf_settings
{
  uint64_t seed; /* of the jitter */
  cnf_accept_fn *accept;
  void *arg;
  bool allow_older; /* tests only: accepts older versions */
};

struct cnf_conf
{
  struct cnf_settings settings;
  struct rw_rng rng;
  struct cnf_doc *docs;
  size_t doc_count;
  rw_time started_at;
  rw_time next_tick_at;                       /* see cnf_next_tick */
  size_t daemon_count;                        /* daemons in this data centre */
  uint64_t synced_peers[CNF_START_PEERS_MAX]; /* see cnf_on_peer_synced */
  size_t synced_peer_count;
  bool ready;
  uint64_t maps_digest;
  size_t last_changed_map;       /* index in DOCS; SIZE_MAX: none */
  rw_time maps_list_fetch_until; /* no other fetch of a list before then */
  /* Digests of peers' sets of maps that held nothing newer; a ring.  */
  uint64_t known_digests[CNF_KNOWN_DIGESTS_MAX];
  size_t next_digest; /* modulo the size: the entry to overwrite next */
};

void cnf_init (struct cnf_conf *conf, const struct cnf_settings *settings,
               rw_time now);
void cnf_finish (struct cnf_conf *conf);

/* Sets the number of daemons in this data centre, which determines the
   interval between polls.  It is 1 after cnf_init; 0 counts as 1.  */
void cnf_set_daemon_count (struct cnf_conf *conf, size_t daemon_count);

/* Adds a key that this daemon needs: "rules", "vms" or "map/SERVICE".  Keys
   are never removed.  The document is read from the service at the next tick;
   if the key is added after the start, a daemon that does not watch it delays
   that read by up to 2 s.  Returns 0, also if the key is known, or RW_E_RANGE
   if it is too long or there are too many keys.  */
int cnf_add_key (struct cnf_conf *conf, struct rw_str key);

/* Offers a document from the service or a peer.  It is accepted as a whole or
   not at all.  Returns 0 if it is now in force, RW_E_NOT_NEWER if its version
   is not above the one in force, RW_E_NOT_FOUND if the key was not added,
   RW_E_RANGE for version 0, or the error of the callback.  The last rejected
   version is remembered; another offer of it returns the same error without a
   call of the callback.  ERR may be null.  */
int cnf_offer (struct cnf_conf *conf, struct rw_str key, uint64_t version,
               struct rw_str body, rw_time now, struct rw_err *err);
/* Returns the version in force of the document KEY and its text in BODY, or 0
   and an empty text.  CONF owns the text, which is valid until the next
   version is accepted.  */
uint64_t cnf_get (const struct cnf_conf *conf, struct rw_str key,
                  struct rw_str *body);
size_t cnf_key_count (const struct cnf_conf *conf);
/* INDEX is below cnf_key_count.  */
struct rw_str cnf_key (const struct cnf_conf *conf, size_t index);

/* Writes the versions that this daemon sends with its messages.  */
void cnf_versions (const struct cnf_conf *conf, struct cnf_versions *versions);

/* One document to fetch from a peer.  The key CNF_MAPS_KEY stands for the list
   of all maps: the peer answers with the text that cnf_maps_list writes, and
   the caller passes it to cnf_on_maps_list.  */
#define CNF_MAPS_KEY "map/"
struct cnf_fetch
{
  char key[CNF_KEY_MAX + 1];
  uint64_t known_version; /* version in force here, 0: none */
};

/* Compares the versions THEIRS, received from PEER, with this daemon's and
   writes to FETCHES, of size MAX, what to fetch from that peer now; returns
   their number.  The map that changed last at the peer is fetched directly.
   Any other difference between the sets of maps is resolved by the peer's list
   of maps, which is not fetched again if it held nothing newer.  A document
   that is being fetched is not fetched again within CNF_FETCH_TIMEOUT.  */
size_t cnf_on_versions (struct cnf_conf *conf, uint64_t peer,
                        const struct cnf_versions *theirs, rw_time now,
                        struct cnf_fetch *fetches, size_t max);
/* Reports a fetch from a peer that ended without a document; the document may
   be fetched again at once.  */
void cnf_on_fetch_failed (struct cnf_conf *conf, struct rw_str key);
/* Appends a line "KEY VERSION\n" to OUT for each map that has a version.  */
void cnf_maps_list (const struct cnf_conf *conf, struct rw_buf *out);
/* Reads a peer's list of maps, in the form that cnf_maps_list writes, up to
   the first malformed line.  Writes to FETCHES, of size MAX, what to fetch
   from that peer and returns their number.  */
size_t cnf_on_maps_list (struct cnf_conf *conf, struct rw_str list,
                         rw_time now, struct cnf_fetch *fetches, size_t max);

/* Reports that a message of PEER was received and that nothing is left to
   fetch from it.  Such a peer counts as queried for cnf_ready.  */
void cnf_on_peer_synced (struct cnf_conf *conf, uint64_t peer);
/* Whether the daemon may serve callers; once true, it stays true.  It needs
   rules and a VM list.  In addition, the service must have answered for every
   key and CNF_START_PEERS_MAX of the PEER_COUNT other members known (all, if
   fewer) must have been queried, or CNF_START_TIMEOUT must have passed.  */
bool cnf_ready (struct cnf_conf *conf, size_t peer_count, rw_time now);

/* One read of the service.  A read with WAIT is a watch: the service delays
   its answer until there is a version above AFTER, or for at most WAIT.  */
struct cnf_read
{
  char key[CNF_KEY_MAX + 1];
  uint64_t after; /* 0: any version */
  rw_time wait;   /* 0: answered at once */
};
/* Whether this daemon watches KEY.  */
typedef bool cnf_watcher_fn (void *arg, struct rw_str key);

/* Writes to READS, of size MAX, the reads to start now and returns their
   number.  Watchers always have one watch in flight, other daemons poll; the
   first read of a key is answered at once for both.  The caller reports the
   end of each read with cnf_on_read.  */
size_t cnf_tick (struct cnf_conf *conf, cnf_watcher_fn *watcher, void *arg,
                 rw_time now, struct cnf_read *reads, size_t max);
/* Returns the time by which cnf_tick must be called again.  */
rw_time cnf_next_tick (const struct cnf_conf *conf);
/* Ends a read.  OK means that the service answered, with a document, which the
   caller has offered before this call, or with "nothing newer".  */
void cnf_on_read (struct cnf_conf *conf, struct rw_str key, bool ok,
                  rw_time now);

#endif
