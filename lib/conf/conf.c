#include "conf.h"

#include <stdlib.h>
#include <string.h>

#include "doc.h"

/* Starts without any key.  NOW is the start of the daemon, from which
   CNF_START_TIMEOUT counts.  */
void
cnf_init (struct cnf_conf *conf, const struct cnf_settings *settings,
          rw_time now)
{
  memset (conf, 0, sizeof *conf);
  conf->settings = *settings;
  conf->started = now;
  conf->next_tick = now;
  conf->readers = 1;
  conf->newest_map = SIZE_MAX;
  rw_rng_init (&conf->rng, settings->seed);
}

/* Sets the number of daemons in this data centre.  */
void
cnf_set_daemon_count (struct cnf_conf *conf, size_t readers)
{
  conf->readers = readers != 0 ? readers : 1;
}

/* Frees all documents.  */
void
cnf_finish (struct cnf_conf *conf)
{
  for (size_t i = 0; i < conf->count; i++)
    free (conf->docs[i].body);
  free (conf->docs);
  memset (conf, 0, sizeof *conf);
}

/* Returns the document KEY or null.  */
struct cnf_doc *
cnf_doc_find (const struct cnf_conf *conf, struct rw_str key)
{
  for (size_t i = 0; i < conf->count; i++)
    if (rw_str_eq_cstr (key, conf->docs[i].key))
      return &conf->docs[i];
  return NULL;
}

/* Adds a key that this daemon needs; it is read from the service at the next
   tick.  Returns 0, also if the key is known, or RW_E_RANGE.  */
int
cnf_add_key (struct cnf_conf *conf, struct rw_str key)
{
  struct cnf_doc *doc;

  if (cnf_doc_find (conf, key) != NULL)
    return 0;
  if (key.len > CNF_KEY_MAX || conf->count == CNF_DOCS_MAX)
    return RW_E_RANGE;
  conf->docs
      = rw_xrealloc (conf->docs, (conf->count + 1) * sizeof *conf->docs);
  doc = &conf->docs[conf->count++];
  memset (doc, 0, sizeof *doc);
  rw_str_copy (doc->key, sizeof doc->key, key);
  doc->backoff = CNF_BACKOFF_MIN;
  conf->next_tick = 0;
  return 0;
}

static bool
is_map (const struct cnf_doc *doc)
{
  return rw_str_starts (rw_str_from (doc->key), RW_LIT (CNF_MAPS_KEY));
}

/* Adds a map to the digest of a set of maps, of which the order does not
   count.  */
uint64_t
cnf_digest_add (uint64_t digest, struct rw_str key, uint64_t version)
{
  return digest ^ rw_hash_u64 (rw_hash (key), version);
}

static void
update_digest (struct cnf_conf *conf, const struct cnf_doc *changed)
{
  conf->maps_digest = 0;
  for (size_t i = 0; i < conf->count; i++)
    {
      const struct cnf_doc *doc = &conf->docs[i];

      if (is_map (doc) && doc->version != 0)
        conf->maps_digest = cnf_digest_add (
            conf->maps_digest, rw_str_from (doc->key), doc->version);
    }
  if (is_map (changed))
    conf->newest_map = (size_t)(changed - conf->docs);
}

static void
store (struct cnf_doc *doc, uint64_t version, struct rw_str body)
{
  char *copy = rw_xmalloc (body.len);

  if (body.len > 0)
    memcpy (copy, body.ptr, body.len);
  free (doc->body);
  doc->body = copy;
  doc->len = body.len;
  doc->version = version;
}

static int
check_version (const struct cnf_conf *conf, const struct cnf_doc *doc,
               uint64_t version, struct rw_err *err)
{
  struct rw_str key = rw_str_from (doc->key);

  if (version == 0)
    return rw_err_set (err, RW_E_RANGE, "offer document", key,
                       "a version is at least 1");
  if (version == doc->rejected)
    return rw_err_set (err, doc->reject_code, "offer document", key,
                       "version %llu was rejected before",
                       (unsigned long long)version);
  if (version == doc->version
      || (version < doc->version && !conf->settings.allow_older))
    return rw_err_set (err, RW_E_NOT_NEWER, "offer document", key,
                       "version %llu is not above %llu",
                       (unsigned long long)version,
                       (unsigned long long)doc->version);
  return 0;
}

/* Offers a document, which is accepted as a whole or not at all.  The callback
   may add keys.  */
int
cnf_offer (struct cnf_conf *conf, struct rw_str key, uint64_t version,
           struct rw_str body, rw_time now, struct rw_err *err)
{
  struct cnf_doc *doc = cnf_doc_find (conf, key);
  int rc;

  if (doc == NULL)
    return rw_err_set (err, RW_E_NOT_FOUND, "offer document", key,
                       "not a document that is needed");
  doc->fetch_until = now;
  rc = check_version (conf, doc, version, err);
  if (rc != 0)
    return rc;
  rc = conf->settings.accept (conf->settings.arg, key, version, body, err);
  doc = cnf_doc_find (conf, key);
  if (rc != 0)
    {
      doc->rejected = version;
      doc->reject_code = rc;
      return rc;
    }
  store (doc, version, body);
  update_digest (conf, doc);
  return 0;
}

/* Returns the version in force of the document KEY, and its text.  */
uint64_t
cnf_get (const struct cnf_conf *conf, struct rw_str key, struct rw_str *body)
{
  const struct cnf_doc *doc = cnf_doc_find (conf, key);

  *body = RW_LIT ("");
  if (doc == NULL || doc->version == 0)
    return 0;
  *body = (struct rw_str){ doc->body, doc->len };
  return doc->version;
}

/* Returns the number of keys.  */
size_t
cnf_key_count (const struct cnf_conf *conf)
{
  return conf->count;
}

/* Returns the key with that index, below cnf_key_count.  */
struct rw_str
cnf_key (const struct cnf_conf *conf, size_t index)
{
  return rw_str_from (conf->docs[index].key);
}

/* Counts a peer that was asked at the start for everything it has.  */
void
cnf_on_peer_synced (struct cnf_conf *conf, uint64_t peer)
{
  for (size_t i = 0; i < conf->start_peer_count; i++)
    if (conf->start_peers[i] == peer)
      return;
  if (conf->start_peer_count < CNF_START_PEERS)
    conf->start_peers[conf->start_peer_count++] = peer;
}

static bool
all_asked (const struct cnf_conf *conf, size_t peers)
{
  size_t need = peers < CNF_START_PEERS ? peers : CNF_START_PEERS;

  for (size_t i = 0; i < conf->count; i++)
    if (!conf->docs[i].from_service)
      return false;
  return conf->start_peer_count >= need;
}

static bool
has_basics (const struct cnf_conf *conf)
{
  const struct cnf_doc *rules = cnf_doc_find (conf, RW_LIT ("rules"));
  const struct cnf_doc *vms = cnf_doc_find (conf, RW_LIT ("vms"));

  return rules != NULL && rules->version != 0 && vms != NULL
         && vms->version != 0;
}

/* Whether the start is over, once and for all: there are rules and a VM list,
   and either the service answered for each document and enough of the PEERS
   other members were asked, or CNF_START_TIMEOUT has passed.  */
bool
cnf_ready (struct cnf_conf *conf, size_t peers, rw_time now)
{
  if (!conf->ready && has_basics (conf))
    conf->ready
        = all_asked (conf, peers) || now - conf->started >= CNF_START_TIMEOUT;
  return conf->ready;
}
