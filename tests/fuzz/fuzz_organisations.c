#include <jansson.h>
#include <string.h>

#include "fuzz.h"
#include "platform.h"

/* Shorter keys may be part of other texts by chance.  */
#define MIN_KEY_BYTES 8
#define MAX_STORED 100

/* Returns how often PART is in TEXT.  */
static size_t
count_in (struct rw_str text, struct rw_str part)
{
  size_t count = 0;
  const char *found;
  while (text.len >= part.len
         && (found = memmem (text.ptr, text.len, part.ptr, part.len)) != NULL)
    {
      count++;
      text.len -= (size_t)(found + 1 - text.ptr);
      text.ptr = found + 1;
    }
  return count;
}

/* The key KEY of the document TEXT is not in its copy HIDDEN, and not in
   FINDINGS.  A key that is also another value of TEXT is not tested.  */
static void
check_key (struct rw_str key, struct rw_str text, struct rw_str hidden,
           const struct lin_findings *findings)
{
  if (key.len < MIN_KEY_BYTES || count_in (text, key) != 1)
    return;
  FUZZ_CHECK (count_in (hidden, key) == 0);
  for (size_t i = 0; i < findings->len; i++)
    {
      FUZZ_CHECK (count_in (findings->list[i].message, key) == 0);
      FUZZ_CHECK (count_in (findings->list[i].path, key) == 0);
    }
}

static void
check_keys (const json_t *root, struct rw_str text, struct rw_str hidden,
            const struct lin_findings *findings)
{
  size_t i;
  size_t j;
  json_t *organisation;
  json_t *key;
  json_array_foreach (json_object_get (root, "tenants"), i, organisation)
  {
    json_array_foreach (json_object_get (organisation, "apiKeys"), j, key)
    {
      check_key (
          (struct rw_str){ json_string_value (key), json_string_length (key) },
          text, hidden, findings);
    }
  }
}

/* Both directories have the same organisations and keys.  */
static void
check_equal (const struct org_directory *a, const struct org_directory *b)
{
  FUZZ_CHECK (a->count == b->count && a->key_count == b->key_count);
  for (size_t i = 0; i < a->count; i++)
    {
      const struct org_organisation *x = &a->list[i];
      const struct org_organisation *y = &b->list[i];
      FUZZ_CHECK (rw_str_eq (x->name, y->name));
      FUZZ_CHECK (x->name.len > 0 && x->name.len <= ORG_MAX_NAME_BYTES);
      FUZZ_CHECK (x->rate_per_s >= 0 && x->rate_per_s <= ORG_MAX_RATE_PER_S);
      FUZZ_CHECK (x->burst >= 0 && x->burst <= ORG_MAX_RATE_PER_S);
      FUZZ_CHECK (x->rate_per_s == y->rate_per_s && x->burst == y->burst);
      FUZZ_CHECK (x->has_priority == y->has_priority
                  && x->priority == y->priority);
      FUZZ_CHECK (org_find_name (a, x->name) == x);
    }
  for (size_t i = 0; i < a->key_cap; i++)
    if (a->keys[i].organisation != 0)
      {
        const struct org_organisation *found
            = org_find_digest (b, &a->keys[i].digest);
        FUZZ_CHECK (found == &b->list[a->keys[i].organisation - 1]);
      }
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rw_str text = { (const char *)data, size };
  struct cat_config *config = cat_config_new ();
  struct cat_config *copy = cat_config_new ();
  struct rw_arena arena;
  struct rw_err err;
  struct lin_findings findings;
  json_t *root = json_loadb (text.ptr, text.len, 0, NULL);
  rw_arena_init (&arena, 4096);
  lin_init (&findings, MAX_STORED, MAX_STORED);
  struct rw_str hidden = plt_hide_keys (&arena, text);
  int r = plt_check_config (text, config, &findings);
  /* A copy may have another message, but is valid if the original is.  */
  FUZZ_CHECK ((plt_decode_config (hidden, copy, &err) == 0) == (r == 0));
  if (r == 0)
    {
      check_equal (&config->organisations, &copy->organisations);
      lin_check (config, &plt_fields, 5 * RW_SEC, &findings);
      plt_compare_configs (RW_LIT ("{\"tenants\":[]}"), text, &findings);
    }
  check_keys (root, text, hidden, &findings);
  json_decref (root);
  lin_finish (&findings);
  rw_arena_finish (&arena);
  cat_config_unref (config);
  cat_config_unref (copy);
  return 0;
}

FUZZ_SAMPLES (
    "{\"version\":7,\"routes\":[],\"tenants\":[{\"name\":\"alpha\","
    "\"apiKeys\":[\"long-key-of-alpha-1\",\"long-key-of-alpha-2\"],"
    "\"priority\":1,\"ratePerS\":9,\"burst\":4.5},{\"name\":\"beta\","
    "\"rwfKeyDigests\":[\"00112233445566778899aabbccddeeff\"]}]}",
    "{\"version\":7,\"routes\":[],\"tenants\":[{\"name\":\"a\",\"apiKeys\":"
    "[\"the-key-of-two-organisations\"]},{\"name\":\"b\",\"apiKeys\":"
    "[\"the-key-of-two-organisations\",\"\",7]},{\"name\":\"a\"}]}",
    "{\"version\":7,\"routes\":[],\"ten\\u0061nts\":[{\"name\":\"a b\","
    "\"api\\u004beys\":[\"key-with-an-escape\"],\"ratePerS\":1e300,"
    "\"burst\":-1,\"priority\":99}]}")
