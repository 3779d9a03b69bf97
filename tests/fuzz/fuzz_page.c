#include "fuzz.h"
#include "platform.h"

/* An answer of the store, and the entries of targets in it.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rw_arena arena;
  struct plt_page page;
  struct cat_target target;
  struct rw_err err;
  struct rw_str name;
  rw_arena_init (&arena, 4096);
  struct rw_str text = { (const char *)data, size };
  if (plt_decode_page (&arena, text, 0, &page, &err) == 0)
    for (size_t i = 0; i < page.count; i++)
      {
        plt_classify_key (page.changes[i].key, &name);
        plt_decode_target (&arena, name, page.changes[i].value, &target, &err);
      }
  if (plt_decode_target (&arena, RW_LIT ("i"), text, &target, &err) == 0)
    FUZZ_CHECK (target.port > 0 && target.service.len > 0);
  rw_arena_finish (&arena);
  return 0;
}

FUZZ_SAMPLES (
    "{\"items\":[{\"key\":\"servers/i\",\"value\":\"aGVsbG8=\",\"revision\":4}"
    "],\"hasMore\":true,\"at\":9}",
    "{\"service\":\"s\",\"address\":\"10.0.0.9:8080\",\"zone\":\"z\","
    "\"capacity\":2,\"state\":\"ready\",\"warmupLeftMs\":5,\"born\":9}")
