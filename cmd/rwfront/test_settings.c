#include <unistd.h>

#include "front.h"
#include "unit.h"

#define REQUIRED                                                              \
  "RWF_CALLERS=10.0.0.1:1\nRWF_READY=10.0.0.1:2\nRWF_STORE=10.0.0.2:3\n"      \
  "RWF_PEERS=10.0.0.1:4\n"

static int
parse (const char *text, struct frn_settings *settings)
{
  struct rw_err err;
  return frn_settings_parse (rw_str_from (text), settings, &err);
}

/* Guards against settings that are parsed in a wrong unit or not at all.  */
TEST (settings_are_parsed)
{
  struct frn_settings s;
  assert_int_equal (
      parse ("# comment\n\n" REQUIRED
             "RWF_SEEDS=10.0.0.1:9,10.0.0.2:9\nRWF_EXTRA_RATIO=0.2\n"
             "RWF_TARGET_DRAIN_MS=3000\nRWF_STOP_S=6\nRWF_LATER=x\n"
             "RWF_WITHOUT=hedges, subsets,capacity\nRWF_SOURCE=10.0.0.7\n",
             &s),
      0);
  assert_true (s.without[FRN_MECH_HEDGES] && s.without[FRN_MECH_SUBSETS]);
  assert_true (s.without[FRN_MECH_CAPACITY]);
  assert_false (s.without[FRN_MECH_RELAYS]);
  assert_int_equal (s.seed_count, 2);
  assert_int_equal (ntohl (s.source_addr.sin_addr.s_addr), 0x0a000007);
  assert_true (s.budget_ratio > 0.19 && s.budget_ratio < 0.21);
  assert_int_equal (s.target_drain_time, 3 * RW_SEC);
  assert_int_equal (s.stop_time, 6 * RW_SEC);
  assert_int_equal (ntohs (s.store_addr.sin_port), 3);
}

/* Guards against an invalid file that replaces valid settings.  */
TEST (invalid_settings_change_nothing)
{
  static const char *const bad[] = { "",
                                     "RWF_CALLERS=10.0.0.1:1\n",
                                     REQUIRED "RWF_STOP_S=soon\n",
                                     REQUIRED "nonsense\n",
                                     REQUIRED "RWF_WITHOUT=hedges,x\n",
                                     REQUIRED "RWF_STORE=store:80\n",
                                     REQUIRED "RWF_EXTRA_WINDOW_S=0.1\n" };
  struct frn_settings s = { .name = "kept" };
  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    assert_int_not_equal (parse (bad[i], &s), 0);
  assert_string_equal (s.name, "kept");
}

/* Guards against a large file that is cut at 64 KiB: the settings after that
   would silently be the defaults.  */
TEST (a_file_that_is_too_large_is_refused)
{
  char path[] = "/tmp/rwfront-settings-XXXXXX";
  struct frn_settings s = { .name = "kept" };
  struct rw_err err;
  int fd = mkstemp (path);
  assert_true (fd >= 0);
  assert_true (dprintf (fd, REQUIRED) > 0);
  for (int i = 0; i < 7000; i++)
    assert_true (dprintf (fd, "# padding\n") > 0);
  close (fd);
  assert_int_equal (frn_settings_read (path, &s, &err), RW_E_RANGE);
  assert_string_equal (s.name, "kept");
  unlink (path);
}
