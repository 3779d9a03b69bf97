#include "conf.h"

#include <string.h>

#include "doc.h"

void
cnf_versions (const struct cnf_conf *conf, struct cnf_versions *versions)
{
  const struct cnf_doc *rules = cnf_doc_find (conf, RW_LIT ("rules"));
  const struct cnf_doc *vms = cnf_doc_find (conf, RW_LIT ("vms"));

  memset (versions, 0, sizeof *versions);
  versions->rules = rules != NULL ? rules->version : 0;
  versions->vms = vms != NULL ? vms->version : 0;
  versions->maps_digest = conf->maps_digest;
  if (conf->last_changed_map == SIZE_MAX)
    return;
  memcpy (versions->map_key, conf->docs[conf->last_changed_map].key,
          sizeof versions->map_key);
  versions->map_version = conf->docs[conf->last_changed_map].version;
}

/* Whether VERSION of the document, which a peer has, should be fetched now. */
bool
cnf_doc_needs_fetch (const struct cnf_doc *doc, uint64_t version, rw_time now)
{
  return version > doc->version && version != doc->rejected_version
         && now >= doc->fetch_until;
}

/* The caller's array of fetches to start.  */
struct fetch_list
{
  struct cnf_fetch *fetches;
  size_t count;
  size_t max;
};

/* Adds a fetch of the document KEY to LIST if a peer's VERSION of it is
   needed.  */
static void
add_fetch (const struct cnf_conf *conf, struct fetch_list *list,
           struct rw_str key, uint64_t version, rw_time now)
{
  struct cnf_doc *doc = cnf_doc_find (conf, key);

  if (doc == NULL || list->count == list->max
      || !cnf_doc_needs_fetch (doc, version, now))
    return;
  doc->fetch_until = now + CNF_FETCH_TIMEOUT;
  memcpy (list->fetches[list->count].key, doc->key, sizeof doc->key);
  list->fetches[list->count++].known_version = doc->version;
}

/* Whether a set of maps with DIGEST holds nothing newer than this daemon's
   maps.  */
static bool
is_known_digest (const struct cnf_conf *conf, uint64_t digest)
{
  for (size_t i = 0; i < CNF_KNOWN_DIGESTS_MAX; i++)
    if (conf->known_digests[i] == digest)
      return true;
  return digest == conf->maps_digest;
}

/* Adds a fetch of the peer's list of maps, unless a list is being fetched or
   the digest is known to hold nothing newer.  */
static void
add_maps_list_fetch (struct cnf_conf *conf, struct fetch_list *list,
                     const struct cnf_versions *theirs, rw_time now)
{
  if (list->count == list->max || now < conf->maps_list_fetch_until
      || is_known_digest (conf, theirs->maps_digest))
    return;
  conf->maps_list_fetch_until = now + CNF_FETCH_TIMEOUT;
  list->fetches[list->count++] = (struct cnf_fetch){ .key = CNF_MAPS_KEY };
}

size_t
cnf_on_versions (struct cnf_conf *conf, uint64_t peer,
                 const struct cnf_versions *theirs, rw_time now,
                 struct cnf_fetch *fetches, size_t max)
{
  struct fetch_list list = { fetches, 0, max };
  struct rw_str map_key = rw_str_from (theirs->map_key);
  const struct cnf_doc *map = cnf_doc_find (conf, map_key);

  (void)peer;
  add_fetch (conf, &list, RW_LIT ("rules"), theirs->rules, now);
  add_fetch (conf, &list, RW_LIT ("vms"), theirs->vms, now);
  if (theirs->maps_digest == 0 || theirs->maps_digest == conf->maps_digest)
    return list.count;
  if (map != NULL && theirs->map_version > map->version
      && theirs->map_version != map->rejected_version)
    add_fetch (conf, &list, map_key, theirs->map_version, now);
  else
    add_maps_list_fetch (conf, &list, theirs, now);
  return list.count;
}

void
cnf_on_fetch_failed (struct cnf_conf *conf, struct rw_str key)
{
  struct cnf_doc *doc = cnf_doc_find (conf, key);

  if (rw_str_eq_cstr (key, CNF_MAPS_KEY))
    conf->maps_list_fetch_until = 0;
  else if (doc != NULL)
    doc->fetch_until = 0;
}

void
cnf_maps_list (const struct cnf_conf *conf, struct rw_buf *out)
{
  for (size_t i = 0; i < conf->doc_count; i++)
    {
      const struct cnf_doc *doc = &conf->docs[i];

      if (doc->version != 0
          && rw_str_starts (rw_str_from (doc->key), RW_LIT (CNF_MAPS_KEY)))
        rw_buf_printf (out, "%s %llu\n", doc->key,
                       (unsigned long long)doc->version);
    }
}

/* Whether VERSION of the map KEY is newer than the one in force and was not
   rejected.  */
static bool
is_newer (const struct cnf_conf *conf, struct rw_str key, uint64_t version)
{
  const struct cnf_doc *doc = cnf_doc_find (conf, key);

  return doc != NULL && version > doc->version
         && version != doc->rejected_version;
}

/* A list without newer versions is remembered by its digest and not fetched
   again.  Versions never decrease, so it can hold a newer map only if that
   map's key is added later; such a key is read from the service.  */
size_t
cnf_on_maps_list (struct cnf_conf *conf, struct rw_str text, rw_time now,
                  struct cnf_fetch *fetches, size_t max)
{
  struct fetch_list list = { fetches, 0, max };
  uint64_t digest = 0;
  bool newer = false;

  conf->maps_list_fetch_until = now;
  while (text.len > 0)
    {
      struct rw_str line = rw_str_token (&text, "\n");
      struct rw_str key = rw_str_token (&line, " ");
      int64_t version;

      if (key.len == 0
          || rw_str_to_int (rw_str_trim (line), 1, INT64_MAX, &version) != 0)
        break;
      digest = cnf_digest_add (digest, key, (uint64_t)version);
      newer = newer || is_newer (conf, key, (uint64_t)version);
      add_fetch (conf, &list, key, (uint64_t)version, now);
    }
  if (!newer)
    conf->known_digests[conf->next_digest++ % CNF_KNOWN_DIGESTS_MAX] = digest;
  return list.count;
}
