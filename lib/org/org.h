/* The organisations of a configuration, and the keys by which callers show
   that they belong to one.  Keys are held as digests only.  A directory is
   filled while a configuration is decoded and is not changed afterwards.  */

#ifndef ORG_ORG_H
#define ORG_ORG_H

#include "base.h"

/* The first 128 bits of a SHA-256 digest.  */
#define ORG_DIGEST_BYTES 16
/* Keys of one directory; 40 bytes each at most.  */
#define ORG_MAX_KEYS 262144
/* Names are sent to targets in a header.  */
#define ORG_MAX_NAME_BYTES 256
/* Higher rates and bursts count as this.  */
#define ORG_MAX_RATE_PER_S 1e9

struct org_digest
{
  unsigned char bytes[ORG_DIGEST_BYTES];
};

struct org_organisation
{
  struct rw_str name;
  uint64_t id;           /* hash of the name */
  bool has_priority;     /* PRIORITY is stated */
  unsigned int priority; /* of its requests, 0 is the highest */
  double rate_per_s;     /* requests of all daemons together; 0: no limit */
  double burst;          /* requests beyond the rate, at once */
  size_t key_count;
};

/* A key of an organisation.  */
struct org_key
{
  struct org_digest digest;
  uint32_t organisation; /* index plus 1; 0: the slot is free */
};

struct org_directory
{
  struct org_organisation *list;
  size_t count;
  size_t cap;
  struct rw_map by_name; /* index plus 1, by the hash of the name */
  struct org_key *keys;  /* open addressing, by the first bytes */
  size_t key_count;
  size_t key_cap; /* 0 or a power of two */
};

/* Computes the digest of KEY.  */
void org_digest_key (struct rw_str key, struct org_digest *digest);
#define ORG_DIGEST_TEXT_BYTES (2 * ORG_DIGEST_BYTES)
/* Writes DIGEST in hexadecimal to TEXT, which has room for
   ORG_DIGEST_TEXT_BYTES + 1.  */
void org_write_digest (const struct org_digest *digest, char *text);
/* Reads such a text.  Returns 0 or RW_E_PARSE.  */
int org_read_digest (struct rw_str text, struct org_digest *digest);

/* A directory of zeros is empty; this is the same.  */
void org_init (struct org_directory *directory);
void org_finish (struct org_directory *directory);
/* Adds ORGANISATION without keys and stores its index in *INDEX.  The name is
   not copied and must outlive DIRECTORY; its hash is set here.  Returns 0,
   RW_E_DUPLICATE if the name is known, or RW_E_RANGE if it is empty, longer
   than ORG_MAX_NAME_BYTES, or has bytes that a header cannot carry.  */
int org_add (struct org_directory *directory,
             const struct org_organisation *organisation, size_t *index);
/* Adds a key to the organisation INDEX.  The same key twice is one key.
   Returns 0, RW_E_DUPLICATE if the key belongs to another organisation, or
   RW_E_RANGE if there are ORG_MAX_KEYS.  */
int org_add_key (struct org_directory *directory,
                 const struct org_digest *digest, size_t index);
/* Returns the organisation that holds KEY, or null.  Compares digests in
   constant time.  It belongs to DIRECTORY.  */
const struct org_organisation *
org_find_key (const struct org_directory *directory, struct rw_str key);
/* Returns the organisation that holds the key with DIGEST, or null.  */
const struct org_organisation *
org_find_digest (const struct org_directory *directory,
                 const struct org_digest *digest);
/* Returns the organisation NAME, or null.  */
const struct org_organisation *
org_find_name (const struct org_directory *directory, struct rw_str name);
/* Returns the organisation whose name has the hash ID, or null.  */
const struct org_organisation *
org_find_id (const struct org_directory *directory, uint64_t id);

#endif
