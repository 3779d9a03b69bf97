/* Tests of the rules parser and of the look-up functions.  */

#include "rules.h"
#include "unit.h"

static void
parse (struct rul_table *table, const char *text)
{
  struct rul_error error;

  assert_int_equal (rul_parse (table, rw_str_from (text), &error), 0);
}

/* Guards against a setting that is stored in the wrong member.  */
TEST (test_all_settings)
{
  struct rul_table table;
  struct rul_service s;
  struct rul_target t;
  struct rul_caller c;
  struct rul_data_centre d;

  parse (&table,
         "data-centre midrand-a out groups=16 # thandi: power work\n"
         "service reserve-svc kind=once deadline=2s hedge=3% top=7 slots=4 "
         "connections=200 cold=2 ramp=9 # sipho\n"
         "target pd-01 leaving slots=3 cold=2 # thandi: disk replaced\r\n"
         "\n"
         "  # only a comment\n"
         "caller foreman share=40 queue=500 # sipho: crossings first");
  assert_int_equal (table.rule_count, 4);
  d = rul_data_centre (&table, RW_LIT ("midrand-a"));
  assert_true (d.out);
  assert_int_equal (d.groups, 16);
  s = rul_service (&table, RW_LIT ("reserve-svc"));
  assert_int_equal (s.kind, RUL_ONCE);
  assert_int_equal (s.deadline, 2 * RW_SEC);
  assert_int_equal (s.hedge_percent, 3);
  assert_int_equal (s.top_k, 7);
  assert_int_equal (s.slots, 4);
  assert_int_equal (s.connections, 200);
  assert_int_equal (s.cold_limit, 2);
  assert_int_equal (s.ramp_successes, 9);
  t = rul_target (&table, RW_LIT ("pd-01"), RW_LIT ("partsdesk"));
  assert_true (t.leaving);
  assert_int_equal (t.slots, 3);
  assert_int_equal (t.cold_limit, 2);
  c = rul_caller (&table, RW_LIT ("foreman"));
  assert_int_equal (c.share, 40);
  assert_int_equal (c.queue_max, 500);
  rul_finish (&table);
}

/* Guards against defaults that differ from the design page.
 */
TEST (test_defaults)
{
  struct rul_table table;
  struct rul_service s;
  struct rul_target t;

  parse (&table, "service once-svc kind=once # a\n"
                 "service wide slots=1 # a\n"
                 "service dispatch slots=6 cold=4 # a\n"
                 "target d-1 slots=3 # a\n");
  s = rul_service (&table, RW_LIT ("absent"));
  assert_int_equal (s.kind, RUL_SEARCH);
  assert_int_equal (s.deadline, 61 * RW_MSEC);
  assert_int_equal (s.hedge_percent, 5);
  assert_int_equal (s.top_k, 100);
  assert_int_equal (s.slots, 2);
  assert_int_equal (s.connections, 50);
  assert_int_equal (s.cold_limit, 1);
  assert_int_equal (s.ramp_successes, 8);
  s = rul_service (&table, RW_LIT ("once-svc"));
  assert_int_equal (s.deadline, 500 * RW_MSEC);
  t = rul_target (&table, RW_LIT ("d-1"), RW_LIT ("dispatch"));
  assert_false (t.leaving);
  assert_int_equal (t.slots, 3);
  /* The service's cold limit of 4 is reduced to the target's slots.  */
  assert_int_equal (t.cold_limit, 3);
  t = rul_target (&table, RW_LIT ("w-1"), RW_LIT ("wide"));
  assert_int_equal (t.slots, 1);
  assert_int_equal (t.cold_limit, 1);
  assert_int_equal (rul_caller (&table, RW_LIT ("x")).share, 10);
  assert_int_equal (rul_caller (&table, RW_LIT ("x")).queue_max, 200);
  assert_false (rul_data_centre (&table, RW_LIT ("x")).out);
  assert_int_equal (rul_data_centre (&table, RW_LIT ("x")).groups, 1);
  rul_finish (&table);
}

/* Guards against look-ups that crash before the daemon has any rules.  */
TEST (test_empty)
{
  struct rul_table table;

  rul_init (&table);
  assert_null (rul_find (&table, RUL_TARGET, RW_LIT ("a")));
  assert_int_equal (rul_caller (&table, RW_LIT ("a")).share, 10);
  rul_finish (&table);
  parse (&table, "");
  assert_int_equal (table.rule_count, 0);
  rul_finish (&table);
}

/* Guards against a rule that is shown without its line or requester.  */
TEST (test_origin)
{
  struct rul_table table;
  const struct rul_rule *rule;

  parse (&table, "\n\ndata-centre  isando-b   out  #  thandi : work: 14:00 \n"
                 "target a # sipho\n");
  rule = rul_find (&table, RUL_DATA_CENTRE, RW_LIT ("isando-b"));
  assert_non_null (rule);
  assert_int_equal (rule->line, 3);
  assert_true (rw_str_eq_cstr (rule->text, "data-centre  isando-b   out"));
  assert_true (rw_str_eq_cstr (rule->who, "thandi"));
  assert_true (rw_str_eq_cstr (rule->why, "work: 14:00"));
  rule = rul_find (&table, RUL_TARGET, RW_LIT ("a"));
  assert_non_null (rule);
  assert_true (rw_str_eq_cstr (rule->who, "sipho"));
  assert_int_equal (rule->why.len, 0);
  /* Rules of different kinds may have the same name.  */
  assert_null (rul_find (&table, RUL_TARGET, RW_LIT ("isando-b")));
  rul_finish (&table);
}

struct rejection
{
  const char *text;
  int line;
  int column;
  const char *expected; /* substring of rul_error.expected */
};

static const struct rejection rejections[] = {
  { "dc a # x", 1, 1, "data-centre, service, target or caller" },
  { "\n\n  Target a # x", 3, 3, "data-centre" },
  { "target # x", 1, 8, "the name of a target" },
  { "target", 1, 7, "the name of a target" },
  { "target a/b # x", 1, 9, "a name of letters" },
  { "target a", 1, 9, "# WHO" },
  { "target a leaving  ", 1, 19, "# WHO" },
  { "target a #", 1, 11, "who requested" },
  { "target a # : why", 1, 11, "who requested" },
  { "target a slots=0 # x", 1, 16, "a number of 1 to 64" },
  { "target a slots=65 # x", 1, 16, "a number of 1 to 64" },
  { "target a slots= # x", 1, 16, "a number of 1 to 64" },
  { "target a slots=99999999999999999999 # x", 1, 16, "1 to 64" },
  { "target a slots # x", 1, 10, "leaving, slots=, cold= or # WHO" },
  { "target a leaving=1 # x", 1, 10, "leaving, slots=" },
  { "target a out # x", 1, 10, "leaving, slots=" },
  { "target a slots=2 slots=2 # x", 1, 18, "each setting once" },
  { "target a leaving leaving # x", 1, 18, "each setting once" },
  { "target a slots=2 cold=3 # x", 1, 1, "cold of at most slots" },
  { "service a cold=3 # x", 1, 1, "cold of at most slots" },
  { "data-centre a groups=4097 # x", 1, 22, "1 to 4096" },
  { "service a kind=any # x", 1, 16, "search or once" },
  { "service a deadline=61 # x", 1, 20, "a duration" },
  { "service a deadline=0ms # x", 1, 20, "a duration" },
  { "service a deadline=61s # x", 1, 20, "a duration of 1ms to 60s" },
  { "service a hedge=101% # x", 1, 17, "a percentage of 0 to 100" },
  { "service a hedge=% # x", 1, 17, "a percentage of 0 to 100" },
  { "service a top=10001 # x", 1, 15, "1 to 10000" },
  { "service a ramp=0 # x", 1, 16, "1 to 10000" },
  { "service a connections=10001 # x", 1, 23, "1 to 10000" },
  { "caller a share=1001 # x", 1, 16, "1 to 1000" },
  { "caller a queue=100001 # x", 1, 16, "1 to 100000" },
  { "caller a # x\ntarget a # x\ncaller a # y", 3, 8,
    "one rule for this name (the first is on line 1)" },
  { "target a # x\x1b[2J", 1, 13, "without control characters" },
  { "target a # \xc3", 1, 12, "UTF-8" },
  { "target a # \xed\xa0\x80", 1, 12, "UTF-8" },
  { "target a # \xc0\xaf", 1, 12, "UTF-8" },
  { "target a # x\rtarget b # x", 1, 13, "without control characters" },
};

/* Guards against errors with a wrong line, column or description, by which an
   operator cannot find them in the file.  */
TEST (test_rejections)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (rejections); i++)
    {
      const struct rejection *r = &rejections[i];
      struct rul_table table;
      struct rul_error error;
      int rc = rul_parse (&table, rw_str_from (r->text), &error);

      if (rc == 0 || error.line != r->line || error.column != r->column
          || strstr (error.expected, r->expected) == NULL)
        fail_msg ("%s: %d at %d:%d expected %s", r->text, rc, error.line,
                  error.column, error.expected);
      assert_true (rc == RW_E_PARSE || rc == RW_E_RANGE);
      assert_int_equal (table.rule_count, 0);
    }
}

/* Guards against a rejected document whose first rules, before the error, are
   in force.  */
TEST (test_rejected_as_a_whole)
{
  struct rul_table table;
  struct rul_error error;
  char text[200];

  assert_true (
      rul_parse (&table, RW_LIT ("target a leaving # x\ntarget b\n"), &error)
      < 0);
  assert_int_equal (table.rule_count, 0);
  assert_false (
      rul_target (&table, RW_LIT ("a"), RW_LIT ("partsdesk")).leaving);
  rul_error_format (&error, text, sizeof text);
  assert_string_equal (text, "line 2, column 9: expected a comment that names "
                             "who requested the rule: # WHO[: WHY]");
}

/* Guards against a document above the platform's limit of 1 MB and against a
   name that is too long for the daemon's buffers.  */
TEST (test_limits)
{
  struct rul_table table;
  struct rul_error error;
  size_t len = RUL_TEXT_MAX + 1;
  char *text = malloc (len);
  char line[128];

  assert_non_null (text);
  memset (text, '\n', len);
  assert_int_equal (rul_parse (&table, (struct rw_str){ text, len }, &error),
                    RW_E_RANGE);
  assert_int_equal (
      rul_parse (&table, (struct rw_str){ text, len - 1 }, &error), 0);
  rul_finish (&table);
  free (text);
  snprintf (line, sizeof line, "target %0*d # x", RUL_NAME_MAX, 0);
  assert_int_equal (rul_parse (&table, rw_str_from (line), &error), 0);
  rul_finish (&table);
  snprintf (line, sizeof line, "target %0*d # x", RUL_NAME_MAX + 1, 0);
  assert_int_equal (rul_parse (&table, rw_str_from (line), &error),
                    RW_E_RANGE);
}

/* Guards against rules that are not found after collisions in the index.  */
TEST (test_index_collisions)
{
  struct rul_table table;
  struct rul_error error;
  struct rw_buf text;
  char name[32];

  rw_buf_init (&text);
  for (int i = 0; i < 5000; i++)
    rw_buf_printf (&text, "target t-%d slots=%d # x\n", i, 1 + i % 64);
  assert_int_equal (rul_parse (&table, rw_buf_str (&text), &error), 0);
  rw_buf_finish (&text);
  assert_int_equal (table.rule_count, 5000);
  for (int i = 0; i < 5000; i++)
    {
      snprintf (name, sizeof name, "t-%d", i);
      assert_int_equal (
          rul_target (&table, rw_str_from (name), RW_LIT ("s")).slots,
          1 + i % 64);
    }
  rul_finish (&table);
}

/* Guards against a rule whose time in force restarts although only other lines
   of the document changed.  */
TEST (test_since)
{
  struct rul_table none;
  struct rul_table first;
  struct rul_table second;

  rul_init (&none);
  parse (&first, "target a leaving # x: disk\ntarget b # x\n");
  rul_set_since (&first, &none, 100);
  parse (&second,
         "# moved\ntarget b # x: again\ntarget a leaving # x: disk\n");
  rul_set_since (&second, &first, 200);
  assert_int_equal (rul_find (&second, RUL_TARGET, RW_LIT ("a"))->since, 100);
  assert_int_equal (rul_find (&second, RUL_TARGET, RW_LIT ("b"))->since, 200);
  rul_finish (&first);
  rul_finish (&second);
}
