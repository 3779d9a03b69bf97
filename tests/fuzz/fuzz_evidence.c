#include "fuzz.h"
#include "quarantine.h"

static void
ignore_wanted (void *arg, uint64_t key, uint32_t software)
{
  (void)arg;
  (void)key;
  (void)software;
}

/* Evidence against requests that peers send.  What is taken can be told on. */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct qua_table table;
  char out[1400];
  struct rw_str text = { (const char *)data, size };
  qua_init (&table, 1, 1);
  (void)qua_read (&table, text, ignore_wanted, NULL, RW_SEC);
  FUZZ_CHECK (table.records.len <= QUA_MAX_RECORDS);
  (void)qua_write_next (&table, out, sizeof out, 2 * RW_SEC);
  while (table.has_news
         && qua_write_news (&table, out, sizeof out, 2 * RW_SEC) > 0)
    continue;
  FUZZ_CHECK (!table.has_news);
  qua_finish (&table);
  return 0;
}

FUZZ_SAMPLES ("\0\0\0\1\0\0\0\x20")
