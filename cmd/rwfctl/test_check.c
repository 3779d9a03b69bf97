/* Tests the check of configurations: the same result and messages as in the
   daemon, what is printed, exit statuses, and large or broken input.  */

#include "ctl.h"

#include <time.h>

#include "platform.h"
#include "unit.h"

struct output
{
  FILE *file;
  char *text;
  size_t len;
};

struct fixture
{
  struct ctl_config_check check;
  struct output out;
  struct output err;
};

static void
open_output (struct output *output)
{
  output->file = open_memstream (&output->text, &output->len);
  assert_non_null (output->file);
}

static void
close_output (struct output *output)
{
  if (output->file != NULL)
    fclose (output->file);
  free (output->text);
  *output = (struct output){ 0 };
}

static void
begin (struct fixture *f)
{
  f->check.file = "f";
  f->check.quota_window = 5 * RW_SEC;
}

static void
end (struct fixture *f)
{
  close_output (&f->out);
  close_output (&f->err);
}

UNIT_FIXTURE (begin, end)

/* Checks TEXT; the outputs are closed, and their text stays.  */
static int
check (struct fixture *f, struct rw_str text)
{
  end (f);
  open_output (&f->out);
  open_output (&f->err);
  f->check.text = text;
  int status = ctl_check_config (&f->check, f->out.file, f->err.file);
  fclose (f->out.file);
  fclose (f->err.file);
  f->out.file = NULL;
  f->err.file = NULL;
  return status;
}

static int
check_cstr (struct fixture *f, const char *text)
{
  return check (f, rw_str_from (text));
}

static void
assert_part (const char *text, const char *part)
{
  if (strstr (text, part) == NULL)
    fail_msg ("'%s' is not in:\n%s", part, text);
}

#define ROUTE                                                                 \
  "{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":\"/a/\","                    \
  "\"timeoutMs\":600,\"service\":\"s\"}"
#define CONFIG(ROUTES, MORE)                                                  \
  "{\"version\":7,\"routes\":[" ROUTES "]," MORE                              \
  "\"services\":[{\"name\":\"s\"}]}"
#define TENANTS(LIST) "\"tenants\":[" LIST "],"

static const char *const valid[] = {
  CONFIG (ROUTE, ""),
  CONFIG ("", ""),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"apiKeys\":[\"k\"]}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"ratePerS\":1e300}")),
  CONFIG (ROUTE, "\"tenants\":null,"),
  CONFIG (ROUTE, "\"limits\":7,\"services\":8,"),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":1,\"gather\":[\"s\",\"s\"],"
          "\"maxAttempts\":99,\"priority\":-3,\"minShardShare\":0}",
          ""),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":1,\"targetLatencyMs\":"
          "9223372036854775807,\"trafficSplit\":[{\"service\":\"s\","
          "\"weight\":0.0001},{\"service\":\"s\",\"weight\":1}]}",
          ""),
  "{\"version\":0,\"routes\":[],\"version\":1}",
  "\r\n{\"version\":1,\"\\u0072outes\":[],\"z\":\"\xc3\xa9\"}\n",
};

static const char *const invalid[] = {
  "",
  "[]",
  "{}",
  "{",
  "{\"version\":1}",
  "{\"version\":-1,\"routes\":[]}",
  "{\"version\":1.5,\"routes\":[]}",
  "{\"version\":99999999999999999999,\"routes\":[]}",
  "{\"version\":1,\"routes\":{}}",
  "{\"version\":1,\"routes\":[7,null,[]]}",
  CONFIG (ROUTE, "") "x",
  "\xef\xbb\xbf" CONFIG (ROUTE, ""),
  CONFIG (ROUTE, "\"z\":\"\xff\","),
  CONFIG (ROUTE, "\"z\":\"\xc3\","),
  CONFIG (ROUTE, "\"z\":\"\xed\xa0\x80\","),
  CONFIG (ROUTE, "\"z\":\"\\u0000\","),
  CONFIG (ROUTE, "\"z\":\"\\ud800\","),
  CONFIG (ROUTE, "\"z\":1e999,"),
  CONFIG ("{\"name\":\"r\"}", ""),
  CONFIG ("{\"prefix\":\"a\",\"timeoutMs\":1,\"service\":\"s\"}", ""),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":0,\"service\":\"s\"}", ""),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":86400001,\"service\":\"s\"}", ""),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":1}", ""),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":1,\"gather\":[1]}", ""),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":1,\"gather\":[\"s\"],\"topK\":-1,"
          "\"minShardShare\":1.5}",
          ""),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":1,\"trafficSplit\":[{\"service\":"
          "\"s\",\"weight\":0}]}",
          ""),
  CONFIG ("{\"prefix\":\"/\",\"timeoutMs\":1,\"trafficSplit\":[{\"weight\":"
          "-1},7]}",
          ""),
  CONFIG (ROUTE, "\"tenants\":{},"),
  CONFIG (ROUTE, TENANTS ("7")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\"},{\"name\":\"a\"}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"apiKeys\":\"secret\"}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"apiKeys\":[\"secret\",\"\"]}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"apiKeys\":[\"secret\"]},"
                          "{\"name\":\"b\",\"apiKeys\":[\"secret\"]}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"apiKeys\":[\"secret\" 1]}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"apiKeys\":[\"secret\n\"]}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"apiKeys\":[\"secret")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"ratePerS\":-1,\"burst\":-1}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"a\",\"ratePerS\":\"5\"}")),
  CONFIG (ROUTE, TENANTS ("{\"name\":\"\\r\\nX: 1\"}")),
};

/* Decodes TEXT as a daemon does.  */
static bool
daemon_accepts (struct rw_str text, struct rw_err *err)
{
  struct cat_config *config = cat_config_new ();
  int r = plt_decode_config (text, config, err);
  cat_config_unref (config);
  return r == 0;
}

/* Fails unless the tool and the daemon agree about TEXT: both accept it, or
   both refuse it with the same message.  Returns whether they accept it.  */
static bool
agree (struct fixture *f, struct rw_str text)
{
  struct rw_err err;
  bool accepted = daemon_accepts (text, &err);
  int status = check (f, text);
  assert_int_equal (status, accepted ? CTL_OK : CTL_REFUSED);
  if (!accepted)
    assert_part (f->err.text, err.detail);
  assert_null (strstr (f->err.text, "secret"));
  assert_null (strstr (f->out.text, "secret"));
  return accepted;
}

/* Guards against a document that the tool accepts and a daemon refuses, or the
   reverse, against other messages, and against messages that show a key.  */
TEST_WITH_FIXTURE (tool_and_daemon_agree)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (valid); i++)
    assert_true (agree (f, rw_str_from (valid[i])));
  for (size_t i = 0; i < RW_ARRAY_LEN (invalid); i++)
    assert_false (agree (f, rw_str_from (invalid[i])));
  static const char nul[] = "{\"version\":1,\0\"routes\":[]}";
  assert_false (agree (f, (struct rw_str){ nul, sizeof nul - 1 }));
}

/* Guards against an error without its place, and against only the first one
   being reported.  */
TEST_WITH_FIXTURE (all_errors_are_reported_with_their_place)
{
  assert_int_equal (
      check_cstr (f, "{\"version\":\"1\",\n \"routes\":[\n"
                     "  {\"prefix\":\"/\",\"timeoutMs\": 0,\"service\":\"s\"},"
                     "\n  {\"prefix\":\"/x\",\"timeoutMs\":1}],\n"
                     " \"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k\",7],\n"
                     "   \"burst\":\"x\"},{\"name\":\"a\"}]}"),
      CTL_REFUSED);
  assert_string_equal (
      f->err.text,
      "f:1:12: error: version: expected an integer of 0 or more\n"
      "f:3:30: error: routes[0].timeoutMs: expected an integer of 1 to "
      "86400000\n"
      "f:4:3: error: routes[1].service: expected the name of a service, or a "
      "list in gather or trafficSplit\n"
      "f:5:40: error: tenants[0].apiKeys[1]: expected a key: a string that is "
      "not empty\n"
      "f:6:12: error: tenants[0].burst: expected a number of 0 or more\n"
      "f:6:25: error: tenants[1].name: \"a\" is the name of another "
      "organisation too\n");
  assert_string_equal (f->out.text, "f: 6 errors, 0 warnings\n");
  assert_int_equal (check_cstr (f, "{\"version\":1,\n\"routes\" []}"),
                    CTL_REFUSED);
  assert_part (f->err.text, "f:2:10: error: ':' expected at byte ");
}

/* Guards against values that the daemon replaces or ignores without a word, so
   that the operator believes that they are in force.  */
TEST_WITH_FIXTURE (values_that_are_not_used_give_warnings)
{
  assert_int_equal (
      check_cstr (f, CONFIG ("{\"name\":7,\"hostname\":\"h\",\"prefix\":\"/\","
                             "\"timeoutMs\":9,\"maxAttempts\":12,"
                             "\"priority\":\"1\",\"public\":1,"
                             "\"gather\":[\"s\"],\"service\":\"s\"}",
                             "\"limits\":{\"maxBodyBytes\":0},"
                             "\"version\":8,")),
      CTL_OK);
  assert_part (f->err.text, "warning: duplicate object key at byte ");
  assert_part (f->err.text,
               "warning: limits.maxBodyBytes: 0 counts as 1: expected an "
               "integer of 1 to 67108864\n");
  assert_part (f->err.text, "routes[0].name: ignored: expected a string\n");
  assert_part (f->err.text, "routes[0].maxAttempts: 12 counts as 8");
  assert_part (f->err.text,
               "routes[0].priority: ignored: expected an integer");
  assert_part (f->err.text, "routes[0].public: counts as false");
  assert_part (f->err.text,
               "routes[0].service: never takes effect beside gather\n");
  assert_part (f->out.text,
               "f: version 8, 1 routes, 1 services, 0 organisations, no "
               "errors, 7 warnings\n");
}

/* Guards against wrong exit statuses, which scripts rely on.  */
TEST_WITH_FIXTURE (exit_statuses)
{
  static const char *const reports_texts[]
      = { "{\"vm\":\"m1\",\"version\":7,\"config\":null}" };
  const char *clean = CONFIG (ROUTE, "");
  const char *warns = CONFIG (ROUTE, "\"limits\":7,");
  struct ctl_report list[1] = { { .name = "m1" } };
  struct ctl_reports reports = { list, 1 };

  assert_int_equal (check_cstr (f, clean), 0);
  assert_int_equal (check_cstr (f, warns), 0);
  f->check.strict = true;
  assert_int_equal (check_cstr (f, clean), 0);
  assert_int_equal (check_cstr (f, warns), 1);
  assert_int_equal (check_cstr (f, "{}"), 2);
  f->check.before = RW_LIT ("{}");
  snprintf (f->check.before_name, sizeof f->check.before_name, "old");
  assert_int_equal (check_cstr (f, clean), 2);
  assert_part (f->err.text, "old: cannot be compared: version: expected");
  f->check.before = RW_LIT ("");
  ctl_use_config_in_force (&f->check, &reports, stderr);
  assert_int_equal (check_cstr (f, clean), 3);
  assert_int_equal (check_cstr (f, warns), 3);
  assert_int_equal (check_cstr (f, "{}"), 2);
  list[0].body = json_loads (reports_texts[0], 0, NULL);
  ctl_use_config_in_force (&f->check, &reports, stderr);
  assert_int_equal (check_cstr (f, clean), 3);
  json_decref (list[0].body);
}

#define OLD                                                                   \
  CONFIG (ROUTE ",{\"name\":\"g\",\"hostname\":\"h\",\"prefix\":\"/g/\","     \
                "\"timeoutMs\":5,\"gather\":[\"s\",\"t\"]}",                  \
          TENANTS ("{\"name\":\"a\",\"apiKeys\":[\"secret-1\",\"secret-2\"]," \
                   "\"ratePerS\":9,\"apikeys\":\"secret-3\"},"                \
                   "{\"name\":\"b\",\"apiKeys\":[\"secret-4\"]}"))
#define NEW                                                                   \
  "{\"version\":8,\n\"routes\":[{\"name\":\"g\",\"hostname\":\"h\","          \
  "\"prefix\":\"/g/\",\"timeoutMs\":6,\"gather\":[\"s\",\"u\",\"v\"]},\n"     \
  "{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":\"/a/\","                    \
  "\"timeoutMs\":600,\"service\":\"t\"}],\n"                                  \
  "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"secret-2\",\"secret-5\"],\n"   \
  "\"ratePerS\":4,\"apikeys\":\"secret-6\",\"priority\":1}],\n"               \
  "\"services\":[{\"name\":\"s\"},{\"name\":\"t\"},{\"name\":\"u\"},"         \
  "{\"name\":\"v\"}]}"

/* Guards against a change that is not shown, and against a key in a list of
   changes, also under a misspelt name.  */
TEST_WITH_FIXTURE (changes_and_their_effects_are_shown)
{
  f->check.before = RW_LIT (OLD);
  snprintf (f->check.before_name, sizeof f->check.before_name, "old");
  assert_int_equal (check_cstr (f, NEW), CTL_OK);
  assert_null (strstr (f->out.text, "secret"));
  assert_null (strstr (f->err.text, "secret"));
  assert_string_equal (
      f->out.text,
      "f:1:12: change: version: changed from 7 to 8\n"
      "f:2:65: change: routes[0].timeoutMs: changed from 5 to 6 (\"g\")\n"
      "f:2:81: change: routes[0].gather[1]: changed from \"t\" to \"u\" "
      "(\"g\")\n"
      "f:2:85: change: routes[0].gather[2]: added: \"v\" (\"g\")\n"
      "f:3:69: change: routes[1].service: changed from \"s\" to \"t\" "
      "(\"r\")\n"
      "f:4:11: change: tenants: removed: an object (\"b\")\n"
      "f:4:34: change: tenants[0].apiKeys: added: 1 keys: 13fcafbc (\"a\")\n"
      "f:4:34: change: tenants[0].apiKeys: removed: 1 keys: f7e7c36e (\"a\")\n"
      "f:5:12: change: tenants[0].ratePerS: changed from 9 to 4 (\"a\")\n"
      "f:5:24: change: tenants[0].apikeys: changed from (not shown) to (not "
      "shown) (\"a\")\n"
      "f:5:46: change: tenants[0].priority: added: 1 (\"a\")\n"
      "f:6:26: change: services[1]: added: an object (\"t\")\n"
      "f:6:39: change: services[2]: added: an object (\"u\")\n"
      "f:6:52: change: services[3]: added: an object (\"v\")\n"
      "f:2:76: effect: routes[0].gather: shards of \"g\" are repartitioned: 2 "
      "shards before, 3 now, 2 of them at another service\n"
      "f:3:1: effect: routes[1]: requests of h/a/ move from \"s\" to \"t\"\n"
      "f:4:11: effect: tenants: key d3922561 of organisation \"b\" is "
      "revoked\n"
      "f:4:34: effect: tenants[0].apiKeys: key f7e7c36e of organisation \"a\" "
      "is revoked\n"
      "f:5:12: effect: tenants[0].ratePerS: quota of \"a\" lowered from 9 to "
      "4 "
      "requests per second\n"
      "f: compared with old: 14 changes\n"
      "f: version 8, 2 routes, 4 services, 1 organisations, no errors, 0 "
      "warnings\n");
}

/* Guards against differences that are none: other white space, another order
   of keys or of organisations, and digests in place of keys.  */
TEST_WITH_FIXTURE (a_copy_with_digests_is_no_change)
{
  struct rw_arena arena;
  rw_arena_init (&arena, 4096);
  f->check.before = plt_hide_keys (&arena, RW_LIT (OLD));
  f->check.strict = true;
  assert_int_equal (
      check_cstr (
          f, CONFIG (ROUTE " ,{\"name\":\"g\",\"hostname\":\"h\","
                           "\"prefix\":\"/g/\",\"timeoutMs\":5,\"gather\":"
                           "[\"s\",\"t\"]}",
                     TENANTS ("{\"name\":\"b\",\"apiKeys\":"
                              "[\"secret-4\"]},{\"apiKeys\":["
                              "\"secret-2\",\"secret-1\",\"secret-1\"],"
                              "\"ratePerS\":9,\"apikeys\":"
                              "\"secret-3\",\"name\":\"a\"}"))),
      CTL_WARNINGS);
  assert_part (f->out.text, "compared with : 0 changes\n");
  assert_part (f->err.text, "service \"t\" is not in services");
  rw_arena_finish (&arena);
}

/* Guards against a comparison with an older version while some daemons have a
   newer one, and against daemons that are counted though they have another. */
TEST_WITH_FIXTURE (the_newest_version_in_force_is_compared)
{
  static const char *const texts[]
      = { "{\"vm\":\"m1\",\"version\":6,\"config\":\"{}\"}",
          "{\"vm\":\"m2\",\"version\":7,\"config\":\"{\\\"version\\\":7,"
          "\\\"routes\\\":[]}\"}",
          "{\"vm\":\"m3\",\"version\":7,\"config\":\"{\\\"version\\\":7,"
          "\\\"routes\\\":[]}\"}",
          NULL, "{\"vm\":\"m5\",\"version\":8,\"config\":null}" };
  struct ctl_report list[5] = { 0 };
  struct ctl_reports reports = { list, 5 };
  struct output notes;

  for (size_t i = 0; i < reports.len; i++)
    {
      snprintf (list[i].name, sizeof list[i].name, "m%zu", i + 1);
      if (texts[i] != NULL)
        list[i].body = json_loads (texts[i], 0, NULL);
    }
  open_output (&notes);
  ctl_use_config_in_force (&f->check, &reports, notes.file);
  fflush (notes.file);
  assert_string_equal (
      notes.text,
      "m1 has another configuration (version 6)\n"
      "m5 has no readable copy of its configuration (version 8)\n");
  close_output (&notes);
  assert_int_equal (check_cstr (f, CONFIG (ROUTE, "")), CTL_OK);
  assert_part (
      f->out.text,
      "f: compared with version 7, which 2 of 5 daemons have: 2 changes\n");
  assert_part (f->err.text, "version: 7 is not above 7");
  for (size_t i = 0; i < reports.len; i++)
    json_decref (list[i].body);
}

/* Guards against output that programs cannot read.  */
TEST_WITH_FIXTURE (json_output)
{
  f->check.json = true;
  assert_int_equal (check_cstr (f, CONFIG ("{\"prefix\":\"/\\u001b\","
                                           "\"service\":\"s\"}",
                                           "")),
                    CTL_REFUSED);
  json_t *root = json_loads (f->out.text, 0, NULL);
  json_t *finding = json_array_get (json_object_get (root, "findings"), 0);
  assert_int_equal (ctl_int (root, "errors", 0), 1);
  assert_int_equal (ctl_int (root, "warnings", -1), 0);
  assert_string_equal (ctl_str (finding, "severity"), "error");
  assert_string_equal (ctl_str (finding, "path"), "routes[0].timeoutMs");
  assert_int_equal (ctl_int (finding, "line", 0), 1);
  assert_int_equal (ctl_int (finding, "column", 0), 24);
  assert_string_equal (ctl_str (finding, "message"),
                       "expected an integer of 1 to 86400000");
  assert_string_equal (f->err.text, "");
  json_decref (root);
}

/* Guards against rules that are read as a configuration, or the reverse.  */
TEST (the_kind_of_file_is_recognised)
{
  assert_true (ctl_is_config (RW_LIT (" \r\n{\"version\":1}")));
  assert_true (ctl_is_config (RW_LIT ("\xef\xbb\xbf{")));
  assert_true (ctl_is_config (RW_LIT ("[")));
  assert_false (ctl_is_config (RW_LIT ("target a # x: {\n")));
  assert_false (ctl_is_config (RW_LIT ("# {\n")));
  assert_false (ctl_is_config (RW_LIT ("")));
}

/* Returns the processor time of this process.  Other processes of the machine
   do not count, so that the bounds below hold beside them.  */
static rw_time
cpu_time (void)
{
  return (rw_time)clock () * (RW_SEC / CLOCKS_PER_SEC);
}

/* Guards against a check that takes longer than 1 s for 1 MB of nesting, or
   that exhausts the stack.  */
TEST_WITH_FIXTURE (unbounded_nesting_is_an_error)
{
  enum
  {
    BYTES = 1 << 20
  };
  static const char *const starts[]
      = { "{\"version\":1,\"routes\":",
          "{\"version\":1,\"routes\":[],\"x\":" };
  for (size_t i = 0; i < RW_ARRAY_LEN (starts); i++)
    for (size_t j = 0; j < 2; j++)
      {
        struct rw_buf text;
        rw_buf_init (&text);
        rw_buf_append_str (&text, rw_str_from (starts[i]));
        while (text.len < BYTES)
          rw_buf_append_str (&text,
                             j == 0 ? RW_LIT ("[") : RW_LIT ("{\"a\":"));
        rw_time start = cpu_time ();
        assert_false (agree (f, rw_buf_str (&text)));
        assert_true (cpu_time () - start < RW_SEC);
        assert_part (f->err.text, "maximum parsing depth reached");
        rw_buf_finish (&text);
      }
}

/* Writes a configuration of the given numbers of entries to TEXT; with VERSION
   0, each route has an error.  */
static void
write_large (struct rw_buf *text, size_t routes, size_t organisations,
             size_t keys, size_t version)
{
  rw_buf_printf (text, "{\"version\":%zu,\"routes\":[", version);
  for (size_t i = 0; i < routes; i++)
    rw_buf_printf (text,
                   "%s\n{\"name\":\"r%zu\",\"hostname\":\"h\",\"prefix\":"
                   "\"/%zu\",\"timeoutMs\":%zu,\"service\":\"s%zu\"}",
                   i > 0 ? "," : "", i, i, version, i);
  rw_buf_printf (text, "],\n\"tenants\":[");
  for (size_t i = 0; i < organisations; i++)
    {
      rw_buf_printf (text, "%s\n{\"name\":\"o%zu\",\"apiKeys\":[",
                     i > 0 ? "," : "", i);
      for (size_t j = 0; j < keys; j++)
        rw_buf_printf (text, "%s\"k%zu-%zu-%zu\"", j > 0 ? "," : "", version,
                       i, j);
      rw_buf_printf (text, "],\"ratePerS\":%zu,\"burst\":5}", 100 - version);
    }
  rw_buf_printf (text, "]}");
}

/* Checks TEXT against BEFORE.  Returns the processor time it took.  */
static rw_time
measure (struct fixture *f, const struct rw_buf *text,
         const struct rw_buf *before, int status)
{
  f->check.before = before != NULL ? rw_buf_str (before) : RW_LIT ("");
  rw_time start = cpu_time ();
  assert_int_equal (check (f, rw_buf_str (text)), status);
  rw_time took = cpu_time () - start;
  print_message ("%zu bytes: %.3f s\n", text->len, (double)took / RW_SEC);
  return took;
}

/* Guards against a check that takes longer than 1 s for a file of 1 MB, or for
   each of two such files that are compared and differ in every entry.  */
TEST_WITH_FIXTURE (one_megabyte_is_checked_within_a_second)
{
  struct rw_buf old;
  struct rw_buf new;
  rw_buf_init (&old);
  rw_buf_init (&new);
  write_large (&old, 4500, 6500, 4, 1);
  write_large (&new, 4500, 6500, 4, 2);
  assert_in_range (new.len, 1000000, 1200000);
  assert_true (measure (f, &new, NULL, CTL_OK) < RW_SEC);
  assert_true (measure (f, &new, &old, CTL_OK) < 2 * RW_SEC);
  assert_part (f->out.text, "effect: tenants[6499].apiKeys: key ");
  rw_buf_finish (&old);
  rw_buf_finish (&new);
}

/* Guards against time that grows with the square of the number of entries, of
   findings or of services: the bound is 1 s for each megabyte.  */
TEST_WITH_FIXTURE (a_hundred_thousand_entries_are_checked)
{
  struct rw_buf text;
  rw_buf_init (&text);
  write_large (&text, 100000, 0, 0, 1);
  assert_true (measure (f, &text, NULL, CTL_OK) < (rw_time)text.len);
  text.len = 0;
  write_large (&text, 100000, 0, 0, 0);
  assert_true (measure (f, &text, NULL, CTL_REFUSED) < (rw_time)text.len);
  assert_part (f->err.text, "f:100001:");
  assert_part (f->out.text, "f: 100000 errors, 0 warnings\n");
  text.len = 0;
  write_large (&text, 1, 10, 10000, 1);
  assert_true (measure (f, &text, NULL, CTL_OK) < (rw_time)text.len);
  text.len = 0;
  write_large (&text, 1, 100000, 1, 1);
  assert_true (measure (f, &text, NULL, CTL_OK) < (rw_time)text.len);
  rw_buf_finish (&text);
}

/* Guards against time that grows with the square of the number of fields of an
   object, all of which differ.  */
TEST_WITH_FIXTURE (one_megabyte_of_unknown_fields_is_compared)
{
  struct rw_buf texts[2];
  for (size_t i = 0; i < 2; i++)
    {
      rw_buf_init (&texts[i]);
      rw_buf_printf (&texts[i], "{\"version\":%zu,\"routes\":[]", i);
      for (size_t j = 0; texts[i].len < 1 << 20; j++)
        rw_buf_printf (&texts[i], ",\"f%zu\":%zu", j, i);
      rw_buf_append (&texts[i], "}", 1);
    }
  assert_true (measure (f, &texts[1], &texts[0], CTL_OK) < 2 * RW_SEC);
  for (size_t i = 0; i < 2; i++)
    rw_buf_finish (&texts[i]);
}
