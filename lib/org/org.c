#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <stdlib.h>
#include <string.h>

#include "org.h"

#define INITIAL_KEY_CAP 64
#define INITIAL_CAP 16
#define SHA256_BYTES 32

void
org_digest_key (struct rw_str key, struct org_digest *digest)
{
  unsigned char whole[SHA256_BYTES];
  unsigned int len = sizeof whole;
  memset (whole, 0, sizeof whole);
  /* Fails only for lack of memory; the digest of zeros belongs to no key.  */
  (void)EVP_Digest (key.len > 0 ? key.ptr : "", key.len, whole, &len,
                    EVP_sha256 (), NULL);
  memcpy (digest->bytes, whole, sizeof digest->bytes);
}

void
org_write_digest (const struct org_digest *digest, char *text)
{
  static const char digits[] = "0123456789abcdef";
  for (size_t i = 0; i < ORG_DIGEST_BYTES; i++)
    {
      text[2 * i] = digits[digest->bytes[i] >> 4];
      text[2 * i + 1] = digits[digest->bytes[i] & 15];
    }
  text[ORG_DIGEST_TEXT_BYTES] = '\0';
}

static int
digit_value (char c)
{
  if (c >= '0' && c <= '9')
    return c - '0';
  return c >= 'a' && c <= 'f' ? c - 'a' + 10 : -1;
}

int
org_read_digest (struct rw_str text, struct org_digest *digest)
{
  if (text.len != ORG_DIGEST_TEXT_BYTES)
    return RW_E_PARSE;
  for (size_t i = 0; i < ORG_DIGEST_BYTES; i++)
    {
      int high = digit_value (text.ptr[2 * i]);
      int low = digit_value (text.ptr[2 * i + 1]);
      if (high < 0 || low < 0)
        return RW_E_PARSE;
      digest->bytes[i] = (unsigned char)(high << 4 | low);
    }
  return 0;
}

void
org_init (struct org_directory *directory)
{
  memset (directory, 0, sizeof *directory);
}

void
org_finish (struct org_directory *directory)
{
  rw_map_finish (&directory->by_name);
  free (directory->list);
  free (directory->keys);
}

/* Whether NAME can be the value of a header: visible characters, and spaces
   between them.  */
static bool
is_valid_name (struct rw_str name)
{
  if (name.len == 0 || name.len > ORG_MAX_NAME_BYTES || name.ptr[0] == ' '
      || name.ptr[name.len - 1] == ' ')
    return false;
  for (size_t i = 0; i < name.len; i++)
    if ((unsigned char)name.ptr[i] < ' ' || name.ptr[i] == 0x7f)
      return false;
  return true;
}

int
org_add (struct org_directory *directory,
         const struct org_organisation *organisation, size_t *index)
{
  if (!is_valid_name (organisation->name))
    return RW_E_RANGE;
  uint64_t id = rw_hash (organisation->name);
  if (rw_map_get (&directory->by_name, id) != NULL)
    return RW_E_DUPLICATE;
  if (directory->count == directory->cap)
    {
      directory->cap = directory->cap > 0 ? 2 * directory->cap : INITIAL_CAP;
      directory->list = rw_xrealloc (
          directory->list, directory->cap * sizeof directory->list[0]);
    }
  struct org_organisation *added = &directory->list[directory->count];
  *added = *organisation;
  added->id = id;
  added->key_count = 0;
  *index = directory->count++;
  rw_map_put (&directory->by_name, id, (void *)(uintptr_t)directory->count);
  return 0;
}

/* Returns the slot of DIGEST, or the free one where it is to be added; one
   must be free.  */
static struct org_key *
slot_of (struct org_key *keys, size_t cap, const struct org_digest *digest)
{
  uint64_t first;
  memcpy (&first, digest->bytes, sizeof first);
  size_t i = (size_t)first & (cap - 1);
  while (
      keys[i].organisation != 0
      && CRYPTO_memcmp (keys[i].digest.bytes, digest->bytes, ORG_DIGEST_BYTES)
             != 0)
    i = (i + 1) & (cap - 1);
  return &keys[i];
}

static void
grow_keys (struct org_directory *directory)
{
  size_t cap
      = directory->key_cap > 0 ? 2 * directory->key_cap : INITIAL_KEY_CAP;
  struct org_key *keys = rw_xcalloc (cap, sizeof *keys);
  for (size_t i = 0; i < directory->key_cap; i++)
    if (directory->keys[i].organisation != 0)
      *slot_of (keys, cap, &directory->keys[i].digest) = directory->keys[i];
  free (directory->keys);
  directory->keys = keys;
  directory->key_cap = cap;
}

int
org_add_key (struct org_directory *directory, const struct org_digest *digest,
             size_t index)
{
  /* At most three quarters of the slots are used.  */
  if (4 * (directory->key_count + 1) > 3 * directory->key_cap)
    grow_keys (directory);
  struct org_key *key = slot_of (directory->keys, directory->key_cap, digest);
  if (key->organisation != 0)
    return key->organisation == index + 1 ? 0 : RW_E_DUPLICATE;
  if (directory->key_count == ORG_MAX_KEYS)
    return RW_E_RANGE;
  key->digest = *digest;
  key->organisation = (uint32_t)(index + 1);
  directory->key_count++;
  directory->list[index].key_count++;
  return 0;
}

const struct org_organisation *
org_find_digest (const struct org_directory *directory,
                 const struct org_digest *digest)
{
  if (directory->key_cap == 0)
    return NULL;
  const struct org_key *slot
      = slot_of (directory->keys, directory->key_cap, digest);
  return slot->organisation != 0 ? &directory->list[slot->organisation - 1]
                                 : NULL;
}

const struct org_organisation *
org_find_key (const struct org_directory *directory, struct rw_str key)
{
  struct org_digest digest;
  if (directory->key_cap == 0 || key.len == 0)
    return NULL;
  org_digest_key (key, &digest);
  return org_find_digest (directory, &digest);
}

const struct org_organisation *
org_find_id (const struct org_directory *directory, uint64_t id)
{
  uintptr_t stored = (uintptr_t)rw_map_get (&directory->by_name, id);
  return stored != 0 ? &directory->list[stored - 1] : NULL;
}

const struct org_organisation *
org_find_name (const struct org_directory *directory, struct rw_str name)
{
  const struct org_organisation *found
      = org_find_id (directory, rw_hash (name));
  return found != NULL && rw_str_eq (found->name, name) ? found : NULL;
}
