#include "fuzz.h"
#include "quota.h"

/* Number of the first ask, which the samples answer.  */
#define FIRST_NUMBER 0x61616161U

static uint32_t
choose_owner (void *arg, uint64_t key, rw_time now)
{
  (void)arg;
  (void)now;
  return 1 + (uint32_t)(key % 2);
}

static bool
find_limit (void *arg, uint64_t organisation, struct quo_limit *limit)
{
  (void)arg;
  *limit = (struct quo_limit){ organisation, 1000, 100 };
  return organisation % 7 != 0;
}

/* Asks and answers that peers send.  What is granted can be used, and answers
   can be written.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct quo_settings settings
      = { .daemon = 1, .window = 5 * RW_SEC, .overshoot = 0.25, .slack = 20 };
  struct quo_view view = { NULL, choose_owner, find_limit, 2, 1, NULL, NULL };
  struct quo_table table;
  struct quo_usage usage;
  char out[QUO_MAX_MESSAGE];
  uint32_t to;
  rw_time now = RW_SEC;
  rw_time retry;
  size_t position = 0;
  quo_init (&table, &settings, 1, now);
  table.next_number = FIRST_NUMBER;
  for (uint64_t i = 1; i <= 4; i++)
    {
      struct quo_limit limit = { i, 1000, 100 };
      (void)quo_take (&table, &view, &limit, false, now, &retry);
    }
  (void)quo_read (&table, &view, 2,
                  (struct rw_str){ (const char *)data, size }, now + RW_MSEC);
  FUZZ_CHECK (table.queue_len <= QUO_MAX_QUEUE);
  FUZZ_CHECK (table.buckets.len <= QUO_MAX_BUCKETS);
  for (int i = 0; i < 20; i++)
    {
      size_t len;
      now += 20 * RW_MSEC;
      while ((len = quo_next_message (&table, &view, now, &to, out)) > 0)
        FUZZ_CHECK (len <= QUO_MAX_MESSAGE);
      quo_tick (&table, &view, now);
    }
  while (quo_next_usage (&table, &position, &usage, now))
    FUZZ_CHECK (usage.held <= 4 * 1000);
  quo_finish (&table);
  return 0;
}

struct rw_str
fuzz_sample (size_t number)
{
  static const char ask[] = "\0\1\0\24"
                            "\0\0\0\0\0\0\0\3"
                            "\0\0\0\7"
                            "\0\1\7\320"
                            "\0\12\0\2";
  static const char answer[] = "\0\2\0\14"
                               "aaaa"
                               "\0\0\0\3"
                               "\0\1\0\0";
  switch (number)
    {
    case 0:
      return RW_LIT (ask);
    case 1:
      return RW_LIT (answer);
    default:
      return RW_LIT ("");
    }
}
