#include "conf.h"

#include <stdlib.h>
#include <string.h>

#include "doc.h"

/* Initialises CONF without keys.  CNF_START_TIMEOUT counts from NOW.  */
void
cnf_init (struct cnf_conf *conf, const struct cnf_settings *settings,
          rw_time now)
{
  memset (conf, 0, sizeof *conf);
  conf->settings = *settings;
  conf->started_at = now;
  conf->next_tick_at = now;
  conf->daemon_count = 1;
  conf->last_changed_map = SIZE_MAX;
  rw_rng_init (&conf->rng, settings->seed);
}

void
cnf_set_daemon_count (struct cnf_conf *conf, size_t daemon_count)
{
  conf->daemon_count = daemon_count != 0 ? daemon_count : 1;
}

/* Frees all documents.  */
void
cnf_finish (struct cnf_conf *conf)
{
  for (size_t i = 0; i < conf->doc_count; i++)
    free (conf->docs[i].body);
  free (conf->docs);
  memset (conf, 0, sizeof *conf);
}

/* Returns the document KEY or null.  The pointer is valid until a key is
   added.  */
struct cnf_doc *
cnf_doc_find (const struct cnf_conf *conf, struct rw_str key)
{
  for (size_t i = 0; i < conf->doc_count; i++)
    if (rw_str_eq_cstr (key, conf->docs[i].key))
      return &conf->docs[i];
  return NULL;
}

int
cnf_add_key (struct cnf_conf *conf, struct rw_str key)
{
  struct cnf_doc *doc;

  if (cnf_doc_find (conf, key) != NULL)
    return 0;
  if (key.len > CNF_KEY_MAX || conf->doc_count == CNF_DOCS_MAX)
    return RW_E_RANGE;
  conf->docs
      = rw_xrealloc (conf->docs, (conf->doc_count + 1) * sizeof *conf->docs);
  doc = &conf->docs[conf->doc_count++];
  memset (doc, 0, sizeof *doc);
  rw_str_copy (doc->key, sizeof doc->key, key);
  doc->backoff = CNF_BACKOFF_MIN;
  conf->next_tick_at = 0;
  return 0;
}

static bool
is_map (const struct cnf_doc *doc)
{
  return rw_str_starts (rw_str_from (doc->key), RW_LIT (CNF_MAPS_KEY));
}

/* Returns DIGEST, the digest of a set of maps, with the map KEY added.  The
   order of the additions does not matter.  */
uint64_t
cnf_digest_add (uint64_t digest, struct rw_str key, uint64_t version)
{
  return digest ^ rw_hash_u64 (rw_hash (key), version);
}

/* Recomputes the digest of all maps after a new version of CHANGED, and
   records CHANGED as the last changed map if it is a map.  */
static void
update_digest (struct cnf_conf *conf, const struct cnf_doc *changed)
{
  conf->maps_digest = 0;
  for (size_t i = 0; i < conf->doc_count; i++)
    {
      const struct cnf_doc *doc = &conf->docs[i];

      if (is_map (doc) && doc->version != 0)
        conf->maps_digest = cnf_digest_add (
            conf->maps_digest, rw_str_from (doc->key), doc->version);
    }
  if (is_map (changed))
    conf->last_changed_map = (size_t)(changed - conf->docs);
}

/* Stores a copy of BODY.  */
static void
store_document (struct cnf_doc *doc, uint64_t version, struct rw_str body)
{
  char *copy = rw_xmalloc (body.len);

  if (body.len > 0)
    memcpy (copy, body.ptr, body.len);
  free (doc->body);
  doc->body = copy;
  doc->len = body.len;
  doc->version = version;
}

/* Returns 0 if VERSION may take the place of the one in force, or an error
   number with ERR filled.  */
static int
check_version (const struct cnf_conf *conf, const struct cnf_doc *doc,
               uint64_t version, struct rw_err *err)
{
  struct rw_str key = rw_str_from (doc->key);

  if (version == 0)
    return rw_err_set (err, RW_E_RANGE, "offer document", key,
                       "version must be at least 1");
  if (version == doc->rejected_version)
    return rw_err_set (err, doc->reject_error, "offer document", key,
                       "version %llu was rejected before",
                       (unsigned long long)version);
  if (version == doc->version
      || (version < doc->version && !conf->settings.allow_older))
    return rw_err_set (err, RW_E_NOT_NEWER, "offer document", key,
                       "version %llu is not newer than %llu",
                       (unsigned long long)version,
                       (unsigned long long)doc->version);
  return 0;
}

int
cnf_offer (struct cnf_conf *conf, struct rw_str key, uint64_t version,
           struct rw_str body, rw_time now, struct rw_err *err)
{
  struct cnf_doc *doc = cnf_doc_find (conf, key);
  int rc;

  if (doc == NULL)
    return rw_err_set (err, RW_E_NOT_FOUND, "offer document", key,
                       "this daemon does not use the document");
  doc->fetch_until = now;
  rc = check_version (conf, doc, version, err);
  if (rc != 0)
    return rc;
  rc = conf->settings.accept (conf->settings.arg, key, version, body, err);
  doc = cnf_doc_find (conf, key); /* the callback may have moved DOCS */
  if (rc != 0)
    {
      doc->rejected_version = version;
      doc->reject_error = rc;
      return rc;
    }
  store_document (doc, version, body);
  update_digest (conf, doc);
  return 0;
}

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

size_t
cnf_key_count (const struct cnf_conf *conf)
{
  return conf->doc_count;
}

struct rw_str
cnf_key (const struct cnf_conf *conf, size_t index)
{
  return rw_str_from (conf->docs[index].key);
}

void
cnf_on_peer_synced (struct cnf_conf *conf, uint64_t peer)
{
  for (size_t i = 0; i < conf->synced_peer_count; i++)
    if (conf->synced_peers[i] == peer)
      return;
  if (conf->synced_peer_count < CNF_START_PEERS_MAX)
    conf->synced_peers[conf->synced_peer_count++] = peer;
}

/* Whether the service and enough of the PEER_COUNT peers were queried.  */
static bool
start_queries_done (const struct cnf_conf *conf, size_t peer_count)
{
  size_t needed
      = peer_count < CNF_START_PEERS_MAX ? peer_count : CNF_START_PEERS_MAX;

  for (size_t i = 0; i < conf->doc_count; i++)
    if (!conf->docs[i].service_answered)
      return false;
  return conf->synced_peer_count >= needed;
}

static bool
has_required_documents (const struct cnf_conf *conf)
{
  const struct cnf_doc *rules = cnf_doc_find (conf, RW_LIT ("rules"));
  const struct cnf_doc *vms = cnf_doc_find (conf, RW_LIT ("vms"));

  return rules != NULL && rules->version != 0 && vms != NULL
         && vms->version != 0;
}

bool
cnf_ready (struct cnf_conf *conf, size_t peer_count, rw_time now)
{
  if (!conf->ready && has_required_documents (conf))
    conf->ready = start_queries_done (conf, peer_count)
                  || now - conf->started_at >= CNF_START_TIMEOUT;
  return conf->ready;
}
