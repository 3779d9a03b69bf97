/* Tests the output of rwfctl for given reports.  */

#include "ctl.h"
#include "unit.h"

/* Output of the function under test.  */
struct output
{
  FILE *file;
  char *text;
  size_t len;
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
  fclose (output->file);
  free (output->text);
}

static void
assert_prints (struct output *output, const char *part)
{
  fflush (output->file);
  if (strstr (output->text, part) == NULL)
    fail_msg ("'%s' is not in:\n%s", part, output->text);
}

static void
assert_does_not_print (struct output *output, const char *part)
{
  fflush (output->file);
  if (strstr (output->text, part) != NULL)
    fail_msg ("'%s' is in:\n%s", part, output->text);
}

/* Fills REPORTS with one report for each text; a null text means no answer. */
static void
make_reports (struct ctl_reports *reports, const char *const *texts,
              size_t len)
{
  reports->len = len;
  reports->list = rw_xcalloc (len, sizeof *reports->list);
  for (size_t i = 0; i < len; i++)
    {
      struct ctl_report *report = &reports->list[i];

      snprintf (report->name, sizeof report->name, "127.0.0.1:%zu", i);
      snprintf (report->error, sizeof report->error, "refused");
      if (texts[i] == NULL)
        continue;
      report->body = json_loads (texts[i], 0, NULL);
      assert_non_null (report->body);
      snprintf (report->name, sizeof report->name, "%s",
                ctl_str (report->body, "vm"));
    }
}

/* The reports, and the text printed to standard output and standard error.  */
struct fixture
{
  struct ctl_reports reports;
  struct output out;
  struct output err;
};

static void
begin (struct fixture *f)
{
  open_output (&f->out);
  open_output (&f->err);
}

static void
end (struct fixture *f)
{
  close_output (&f->out);
  close_output (&f->err);
  ctl_reports_finish (&f->reports);
}

UNIT_FIXTURE (begin, end)

static void
reopen_output (struct output *output)
{
  close_output (output);
  open_output (output);
}

#define RULE_OUT                                                              \
  "{\"line\":2,\"text\":\"data-centre b out\",\"who\":\"thandi\","            \
  "\"why\":\"power\",\"since_ms_ago\":3000}"
#define RULE_OLD                                                              \
  "{\"line\":1,\"text\":\"target x leaving\",\"who\":\"sipho\",\"why\":\"\"}"

/* Guards against a rule that is shown as in force everywhere while a daemon
   has an older version.  */
TEST_WITH_FIXTURE (test_rules_behind)
{
  static const char *const texts[]
      = { "{\"vm\":\"m1\",\"version\":7,\"since_ms_ago\":2000,\"rules\":"
          "[" RULE_OUT "],\"behind\":[{\"vm\":\"m2\",\"version\":6},"
          "{\"vm\":\"m9\",\"version\":5}]}",
          "{\"vm\":\"m2\",\"version\":6,\"since_ms_ago\":9000,\"rules\":"
          "[" RULE_OLD "]}",
          NULL };

  make_reports (&f->reports, texts, RW_ARRAY_LEN (texts));
  assert_int_equal (ctl_print_rules (&f->reports, f->out.file), CTL_PROBLEM);
  assert_prints (&f->out, "version 7, in force in 1 of 3 daemons\n");
  assert_prints (&f->out, "2  data-centre b out\n"
                          "    requested by thandi: power\n"
                          "    in force in 1 of 2 for 3.0 s: m1\n"
                          "    not in force in m2\n");
  assert_prints (&f->out, "-  target x leaving  (not in version 7)\n"
                          "    requested by sipho\n"
                          "    in force in 1 of 2 for 9.0 s: m2\n");
  assert_prints (&f->out, "behind: m2 (version 6)\n");
  assert_prints (&f->out, "behind: m9 (version 5, not asked)\n");
  assert_prints (&f->out, "no answer from 127.0.0.1:2: refused\n");
}

/* Guards against a reported problem when all daemons have the same version. */
TEST_WITH_FIXTURE (test_rules_current)
{
  static const char *const texts[]
      = { "{\"vm\":\"m1\",\"version\":7,\"since_ms_ago\":2000,\"rules\":"
          "[" RULE_OUT "]}",
          "{\"vm\":\"m2\",\"version\":7,\"since_ms_ago\":2000,\"rules\":"
          "[" RULE_OUT "]}" };

  make_reports (&f->reports, texts, RW_ARRAY_LEN (texts));
  assert_int_equal (ctl_print_rules (&f->reports, f->out.file), CTL_OK);
  assert_prints (&f->out, "version 7, in force in 2 of 2 daemons\n");
  assert_prints (&f->out, "in force in 2 of 2 for 3.0 s: m1, m2\n");
  assert_does_not_print (&f->out, "behind");
}

/* Guards against two acting daemons that are shown as one, and against the
   holder's numbers being replaced by another daemon's view.  */
TEST_WITH_FIXTURE (test_targets)
{
  static const char *const texts[]
      = { "{\"vm\":\"m1\",\"targets\":[{\"target\":\"t1\",\"service\":\"s\","
          "\"dc\":\"a\",\"holder\":\"m2\",\"acting\":false},"
          "{\"target\":\"t2\",\"service\":\"s\",\"dc\":\"b\","
          "\"holder\":\"\",\"acting\":false,\"limit\":\"rule\",\"line\":2}]}",
          "{\"vm\":\"m2\",\"targets\":[{\"target\":\"t1\",\"service\":\"s\","
          "\"dc\":\"a\",\"holder\":\"m2\",\"acting\":true,\"slots\":2,"
          "\"cap\":1,\"running\":1,\"queued\":4,\"limit\":\"cold\","
          "\"why\":\"shed\",\"since_ms_ago\":1500,\"line\":0}]}",
          "{\"vm\":\"m3\",\"targets\":[{\"target\":\"t1\",\"service\":\"s\","
          "\"dc\":\"a\",\"holder\":\"m3\",\"acting\":true}]}" };

  make_reports (&f->reports, texts, 2);
  assert_int_equal (ctl_print_targets (&f->reports, RW_LIT (""), f->out.file),
                    CTL_OK);
  assert_prints (&f->out, "m2             1/2         1      4  cold      "
                          "shed  since 1.5 s\n");
  assert_prints (&f->out, "rule      (rule on line 2)\n");
  reopen_output (&f->out);
  ctl_print_targets (&f->reports, RW_LIT ("b"), f->out.file);
  assert_prints (&f->out, "t2");
  assert_does_not_print (&f->out, "t1");
  reopen_output (&f->out);
  ctl_reports_finish (&f->reports);
  make_reports (&f->reports, texts, 3);
  assert_int_equal (ctl_print_targets (&f->reports, RW_LIT (""), f->out.file),
                    CTL_PROBLEM);
  assert_prints (&f->out, "CONFLICT: 2 daemons act");
}

/* Guards against hiding that one daemon suspects a member.  */
TEST_WITH_FIXTURE (test_members)
{
  static const char *const texts[]
      = { "{\"vm\":\"m1\",\"members\":[{\"vm\":\"m2\",\"dc\":\"a\","
          "\"addr\":\"127.0.0.1\",\"rpc\":7002,\"state\":\"suspect\","
          "\"published\":\"live\"}]}",
          "{\"vm\":\"m2\",\"members\":[{\"vm\":\"m2\",\"dc\":\"a\","
          "\"addr\":\"127.0.0.1\",\"rpc\":7002,\"state\":\"alive\","
          "\"published\":\"live\",\"rules\":7}]}" };

  make_reports (&f->reports, texts, RW_ARRAY_LEN (texts));
  assert_int_equal (ctl_print_members (&f->reports, f->out.file), CTL_PROBLEM);
  assert_prints (&f->out, "1/2        7  m1: suspect\n");
}

/* Guards against requests that are held back and that an operator cannot see,
   or sees once for each daemon.  */
TEST_WITH_FIXTURE (test_held)
{
  static const char *const texts[]
      = { "{\"vm\":\"m1\",\"requests\":[{\"key\":\"00000000000000ab\","
          "\"state\":\"held\",\"ends\":3,\"trials\":1,\"refused\":5,"
          "\"last_end_ms\":61000,\"by_order\":false}]}",
          "{\"vm\":\"m2\",\"requests\":[{\"key\":\"00000000000000aa\","
          "\"state\":\"watched\",\"ends\":0,\"trials\":0,\"refused\":0,"
          "\"last_end_ms\":-1,\"by_order\":true},"
          "{\"key\":\"00000000000000ab\",\"state\":\"held\",\"ends\":4,"
          "\"trials\":1,\"refused\":2,\"last_end_ms\":60000,"
          "\"by_order\":false}]}" };

  make_reports (&f->reports, texts, RW_ARRAY_LEN (texts));
  assert_int_equal (ctl_print_held (&f->reports, f->out.file), CTL_OK);
  assert_prints (&f->out,
                 "00000000000000aa  held at 0 of 2  ends 0  trials 0  "
                 "refused 0  by order\n"
                 "00000000000000ab  held at 2 of 2  ends 4  trials 1  "
                 "refused 7  last end 60.0 s ago\n"
                 "2 daemons answered\n");
}

#define TRACE "0af7651916cd43dd8448eb211c80319c"
#define SPAN(VM, ID, PARENT, START, END)                                      \
  "{\"resourceSpans\":[{\"resource\":{\"attributes\":[{\"key\":"              \
  "\"service.instance.id\",\"value\":{\"stringValue\":\"" VM                  \
  "\"}}]},\"scopeSpans\":[{\"spans\":[{\"traceId\":\"" TRACE                  \
  "\",\"spanId\":\"" ID "\"" PARENT ",\"name\":\"n" ID                        \
  "\",\"startTimeUnixNano\":\"" START "\",\"endTimeUnixNano\":\"" END         \
  "\",\"attributes\":[{\"key\":\"shard\",\"value\":{\"intValue\":\"4\"}}],"   \
  "\"status\":{\"code\":2,\"message\":\"deadline\"}}]}]}]}\n"

/* Guards against spans that are lost because the file of their parent is
   missing or ends in the middle of a line.  */
TEST_WITH_FIXTURE (test_trace)
{
  static const char text[]
      = SPAN ("m2", "b", ",\"parentSpanId\":\"a\"", "2000000", "3500000")
          SPAN ("m1", "a", "", "1000000", "9000000")
              SPAN ("m3", "c", ",\"parentSpanId\":\"lost\"", "4000000",
                    "5000000") "{\"resourceSpans\":[{\"traceId\":\"" TRACE;
  FILE *file = fmemopen ((void *)(uintptr_t)text, sizeof text - 1, "r");

  assert_non_null (file);
  assert_int_equal (ctl_print_trace (&file, 1, TRACE, f->out.file), CTL_OK);
  assert_prints (&f->out, "3 spans\n");
  assert_prints (&f->out, "     0.000      8.000  m1           na shard=4 "
                          "error=\"deadline\"\n"
                          "     1.000      1.500  m2             nb shard=4 "
                          "error=\"deadline\"\n"
                          "     3.000      1.000  m3           nc shard=4 "
                          "error=\"deadline\"\n");
  rewind (file);
  assert_int_equal (ctl_print_trace (&file, 1,
                                     "1af7651916cd43dd8448eb211c80319c",
                                     f->out.file),
                    CTL_PROBLEM);
  fclose (file);
}

/* Guards against an error message without the place, the line or the requester
   of the invalid rule.  */
TEST_WITH_FIXTURE (test_check)
{
  assert_int_equal (
      ctl_check_rules ("f", RW_LIT ("target a # x: y\ntarget b slots=0 # z\n"),
                       NULL, f->out.file, f->err.file),
      CTL_PROBLEM);
  assert_prints (&f->err, "f:2:16: expected a number of 1 to 64, found '0'\n"
                          "    target b slots=0 # z\n"
                          "    requested by z\n");
  assert_int_equal (ctl_check_rules ("f", RW_LIT ("target a # x: y\n"), NULL,
                                     f->out.file, f->err.file),
                    CTL_OK);
  assert_prints (&f->out, "    1  target a  # x: y\nf: 1 rules, no errors\n");
}

/* Guards against a rule with a misspelt name, which has no effect, without a
   warning.  */
TEST_WITH_FIXTURE (test_check_names)
{
  static const char *const texts[]
      = { NULL, "{\"vm\":\"m1\",\"targets\":[{\"target\":\"pd-01\","
                "\"service\":\"partsdesk\",\"dc\":\"isando-b\"}]}" };

  make_reports (&f->reports, texts, RW_ARRAY_LEN (texts));
  assert_int_equal (
      ctl_check_rules ("f",
                       RW_LIT ("data-centre isando-b out # x\n"
                               "data-centre isando_b out # x\n"
                               "target pd-1 leaving # x\ntarget pd-01 # x\n"
                               "service partsdesk # x\nservice parts # x\n"
                               "caller c # x\n"),
                       &f->reports, f->out.file, f->err.file),
      CTL_OK);
  fflush (f->err.file);
  assert_string_equal (
      f->err.text, "f:2: warning: no daemon knows the data-centre isando_b\n"
                   "f:3: warning: no daemon knows the target pd-1\n"
                   "f:6: warning: no daemon knows the service parts\n");
}

/* Guards against estimates that are mixed up between targets or daemons.  */
TEST_WITH_FIXTURE (test_estimates)
{
  static const char *const texts[] = {
    "{\"vm\":\"m2\",\"targets\":[{\"target\":\"t1\",\"service\":\"s\","
    "\"speed\":0.5,\"bearable\":2.5,\"slots\":4,\"load\":1,\"figure\":1.2,"
    "\"confidence\":0.9,\"age_ms\":1500,\"used\":1,"
    "\"source\":\"replies\"}]}",
    "{\"vm\":\"m1\",\"targets\":[{\"target\":\"t2\",\"service\":\"r\","
    "\"speed\":1,\"bearable\":2,\"slots\":2,\"load\":-1,\"figure\":0,"
    "\"confidence\":0,\"age_ms\":-1,\"used\":0,\"source\":\"none\"},"
    "{\"target\":\"t1\",\"service\":\"s\",\"speed\":0.6,\"bearable\":4,"
    "\"slots\":4,\"load\":1,\"figure\":1,\"confidence\":0.8,"
    "\"age_ms\":20,\"used\":1,\"source\":\"replies\"}]}",
  };
  make_reports (&f->reports, texts, RW_ARRAY_LEN (texts));
  assert_int_equal (
      ctl_print_estimates (&f->reports, RW_LIT (""), f->out.file), CTL_OK);
  fflush (f->out.file);
  const char *first = strstr (f->out.text, "t2 ");
  const char *second = strstr (f->out.text, "m1           0.60");
  const char *third = strstr (f->out.text, "m2           0.50");
  assert_true (first != NULL && second > first && third > second);
  assert_non_null (strstr (third, "1.5s  replies"));
}

/* Guards against invalid addresses that are ignored without an error.  */
TEST (test_daemons)
{
  static struct ctl_options options;
  static const char *const bad[] = { "a", "a:", "a:0", "a:65536", "a:1,b" };

  assert_int_equal (
      ctl_parse_daemons (RW_LIT ("127.0.0.1:80, 10.0.0.2:81,"), &options), 0);
  assert_int_equal (options.daemon_count, 2);
  assert_string_equal (options.daemons[1].host, "10.0.0.2");
  assert_int_equal (options.daemons[1].port, 81);
  for (size_t i = 0; i < RW_ARRAY_LEN (bad); i++)
    assert_int_equal (ctl_parse_daemons (rw_str_from (bad[i]), &options),
                      RW_E_PARSE);
}
