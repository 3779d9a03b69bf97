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

#define ORGANISATION(NAME, LIMIT, HERE, REFUSED)                              \
  "{\"name\":\"" NAME "\",\"limit_per_s\":" LIMIT ",\"burst\":4,\"keys\":2,"  \
  "\"here_per_s\":" HERE ",\"taken\":9,\"refused\":" REFUSED                  \
  ",\"tokens\":1.5,\"owner\":true,\"granted_per_s\":1,\"decided_ms_ago\":5}"

/* Guards against an organisation that is shown once for each daemon, against
   the limit of an older configuration, and against a daemon that is left out
   without a word.  */
TEST_WITH_FIXTURE (test_organisations)
{
  static const char *const texts[]
      = { "{\"vm\":\"m1\",\"version\":6,\"copy_age_ms\":3000,"
          "\"organisations\":[" ORGANISATION (
              "beta", "0", "0", "0") "," ORGANISATION ("alpha", "12", "1.5",
                                                       "2") "],"
                                                            "\"left_out\":3}",
          "{\"vm\":\"m2\",\"version\":7,\"copy_age_ms\":200,"
          "\"organisations\":[" ORGANISATION ("alpha", "10", "6",
                                              "5") "],"
                                                   "\"left_out\":0}",
          NULL };

  make_reports (&f->reports, texts, 2);
  assert_int_equal (ctl_print_organisations (&f->reports, f->out.file),
                    CTL_OK);
  fflush (f->out.file);
  assert_string_equal (
      f->out.text,
      "alpha  limit 10/s  burst 4 (version 7; other daemons have another "
      "limit)  use 7.5/s (75%)  refused 7  largest share 80% at m2  keys 2  "
      "oldest copy 3.0 s at m1\n"
      "beta  limit none  use 0.0/s  refused 0  keys 2  oldest copy 3.0 s at "
      "m1\n"
      "2 organisations, 2 daemons answered\n"
      "a daemon left out 3 organisations\n");
  ctl_reports_finish (&f->reports);
  reopen_output (&f->out);
  make_reports (&f->reports, texts, 3);
  assert_int_equal (ctl_print_organisations (&f->reports, f->out.file),
                    CTL_PROBLEM);
  assert_prints (&f->out, "no answer from 127.0.0.1:2: refused\n");
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

/* Prints the losses of the COUNT logs TEXTS.  */
static int
print_losses (const char *const *texts, size_t count, FILE *out)
{
  FILE *files[4] = { NULL };
  for (size_t i = 0; i < count; i++)
    {
      files[i]
          = fmemopen ((void *)(uintptr_t)texts[i], strlen (texts[i]), "r");
      assert_non_null (files[i]);
    }
  int status = ctl_print_losses (files, count, out);
  for (size_t i = 0; i < count; i++)
    fclose (files[i]);
  return status;
}

/* Guards against organisations whose losses are added up as if they were
   one.  */
TEST_WITH_FIXTURE (test_losses_by_organisation)
{
  static const char *const logs[] = {
    "10.100 request: refused: id=q1 route=all organisation=alpha status=429 "
    "ms=3 aim_ms=150 error=\"quota used up\" at=\n"
    "10.200 request: refused: id=q2 route=all organisation=beta status=429 "
    "ms=3 aim_ms=150 error=\"quota used up\" at=\n",
  };
  print_losses (logs, 1, f->out.file);
  assert_prints (&f->out, "all@alpha");
  assert_prints (&f->out, "all@beta");
}

/* Guards against a lost request without its cause.  The lines are of the form
   that rwfront writes.  */
TEST_WITH_FIXTURE (test_losses_by_cause)
{
  static const char *const logs[] = {
    "10.100 request: whole: id=w1 route=all status=200 ms=40 aim_ms=150 "
    "parts=8/8 lost=0 sends=8 denied=0 error=\"\" at= version=1\n"
    "10.200 request: whole: id=w2 route=all status=200 ms=150 "
    "aim_ms=150 parts=8/8 lost=0 sends=8 denied=0 error=\"\" at= "
    "version=1\n"
    "11.900 request: partial: id=p1 route=all status=200 ms=137 "
    "aim_ms=150 parts=7/8 lost=0 sends=9 denied=0 missing=shard0 "
    "target=s0-1 state=waiting running=1 queued=0 sent_ms_ago=95 "
    "error=\"\" at= version=1\n"
    "11.950 request: partial: id=p2 route=all status=200 ms=160 "
    "aim_ms=150 parts=7/8 lost=0 sends=9 denied=0 missing=shard0 "
    "target=s0-1 state=waiting running=1 queued=0 sent_ms_ago=95 "
    "error=\"\" at= version=1\n"
    "12.000 request: refused: id=o1 route=all status=503 ms=0 aim_ms=150 "
    "parts=0/8 lost=0 sends=0 denied=0 share=0.95 delay_ms=267 "
    "error=\"overload\" at= version=1\n"
    "12.100 request: refused: id=f1 route=all status=503 ms=0 aim_ms=150 "
    "parts=0/8 lost=0 sends=0 denied=0 possible=5 needed=6 "
    "error=\"too few shards\" at= version=1\n"
    "12.200 request: refused: id=h1 route=one status=503 ms=0 aim_ms=80 "
    "parts=0/1 lost=0 sends=0 error=\"held back: crashes targets\"\n"
    "12.300 request: failed: id=l1 route=one status=502 ms=20 aim_ms=80 "
    "parts=0/1 lost=1 sends=1 missing=one target=one-0 state=ended "
    "error=\"connection lost\" at=one-0 version=1\n"
    "12.400 request: failed: id=s1 route=one status=504 ms=1485 "
    "aim_ms=80 parts=0/1 lost=0 sends=1 missing=one target=one-0 "
    "state=waiting error=\"\" at= version=1\n"
    "12.500 request: failed: id=n1 route=one status=504 ms=1485 "
    "aim_ms=80 parts=0/1 lost=0 sends=1 missing=one target=one-0 "
    "state=no-link error=\"\" at= version=1\n"
    "12.600 request: no valid key: id=k1 path=/x status=401 version=1\n"
    "12.700 request: refused: id=c1 status=503 error=\"no configuration "
    "is known\"\n"
    "12.710 request: refused: id=q1 route=one status=429 ms=0 aim_ms=80 "
    "error=\"rate\"\n"
    "12.720 request: gone: id=g1 route=one status=0 ms=90 aim_ms=80 "
    "parts=0/1 error=\"\" at=\n"
    "12.800 span: waiting: id=s1 part=0 route=one status=504\n"
    "12.900 log: lines left out: count=17\n"
    "12.950 request: failed: id=cut route=one stat"
  };
  assert_int_equal (print_losses (logs, 1, f->out.file), CTL_PROBLEM);
  assert_prints (
      &f->out, "all                          10      1      1  0.250  late  ");
  assert_prints (&f->out, "all                          10      2      1  "
                          "0.500  left out: stalled                p1\n");
  assert_prints (&f->out, "all                          12      1      0  "
                          "0.500  overload                         o1\n");
  assert_prints (&f->out, "too few shards                   f1\n");
  assert_prints (&f->out, "held back                        h1\n");
  assert_prints (&f->out, "connection lost                  l1\n");
  assert_prints (&f->out, "stalled                          s1\n");
  assert_prints (&f->out, "no connection in time            n1\n");
  assert_prints (&f->out, "quota                            q1\n");
  assert_prints (&f->out, "caller left                      g1\n");
  assert_prints (&f->out, "-                            12      1      0  "
                          "0.500  no key                           k1\n");
  assert_prints (&f->out, "no configuration                 c1\n");
  assert_prints (&f->out, "15 requests in the logs, 14 lost, 0 forwarded ones "
                          "counted once, 17 lines left out of the logs\n");
  assert_prints (&f->out, "are sampled in the logs");
}

/* Guards against a forwarded request that counts twice, has the cause of the
   wrong daemon, or takes another request with it.  */
TEST_WITH_FIXTURE (test_losses_forwarded)
{
  static const char *const logs[]
      = { "500.100 request: passed: id=r1 route=all status=200 ms=170 "
          "aim_ms=150 parts=1/1 lost=0 sends=1 denied=0 error=\"\" "
          "at=peer-7f137602 version=1\n"
          "500.200 request: passed: id=r2 route=all status=200 ms=170 "
          "aim_ms=150 parts=1/1 lost=0 sends=1 denied=0 error=\"\" "
          "at=peer-7f137602 version=1\n"
          "500.300 request: refused: id=r3 route=all status=503 ms=4 "
          "aim_ms=150 parts=1/1 lost=0 sends=1 denied=0 error=\"\" "
          "at=peer-7f137602 version=1\n"
          "500.400 request: passed: id=r4 route=all status=200 ms=160 "
          "aim_ms=150 parts=1/1 lost=0 sends=1 denied=0 error=\"\" "
          "at=peer-7f137602 version=1\n",
          "90.100 request: partial: id=r1 route=all status=200 ms=130 "
          "aim_ms=150 parts=7/8 lost=0 sends=9 denied=0 missing=shard0 "
          "sent=no error=\"\" at= version=1\n"
          "90.200 request: whole: id=r2 route=all status=200 ms=130 "
          "aim_ms=150 parts=8/8 lost=0 sends=8 denied=0 error=\"\" at= "
          "version=1\n"
          "90.300 request: refused: id=r3 route=all status=503 ms=0 "
          "aim_ms=150 parts=0/8 lost=0 sends=0 denied=0 share=0.95 "
          "error=\"overload\" at= version=1\n"
          "90.400 request: whole: id=own route=all status=200 ms=200 "
          "aim_ms=150 parts=8/8 lost=0 sends=8 denied=0 error=\"\" at= "
          "version=1\n" };
  assert_int_equal (print_losses (logs, 2, f->out.file), CTL_PROBLEM);
  assert_prints (&f->out, "5 requests in the logs, 5 lost, 3 forwarded ones "
                          "counted once, 0 lines");
  assert_prints (&f->out, "all                         500      2      2  "
                          "0.500  late                             r2\n");
  assert_prints (&f->out, "all                         500      1      1  "
                          "0.250  left out: no target              r1\n");
  assert_prints (&f->out, "all                         500      1      0  "
                          "0.250  overload                         r3\n");
  assert_prints (&f->out, "all                          90      1      1  "
                          "1.000  late                             own\n");
}

/* Guards against a problem that is reported when all was answered in time, and
   against an end without output when the logs are empty.  */
TEST_WITH_FIXTURE (test_losses_none)
{
  static const char *const logs[]
      = { "10.100 request: whole: id=w1 route=all status=200 ms=40 aim_ms=150 "
          "parts=8/8\n\n: \n10 request:\n-1 request: failed: id=x\n",
          "\n" };
  assert_int_equal (print_losses (logs, 2, f->out.file), CTL_OK);
  assert_prints (&f->out, "1 requests in the logs, 0 lost");
}

/* Guards against an error message without the place, the line or the requester
   of the invalid rule.  */
TEST_WITH_FIXTURE (test_check)
{
  assert_int_equal (
      ctl_check_rules ("f", RW_LIT ("target a # x: y\ntarget b slots=0 # z\n"),
                       NULL, false, f->out.file, f->err.file),
      CTL_REFUSED);
  assert_prints (&f->err, "f:2:16: expected a number of 1 to 64, found '0'\n"
                          "    target b slots=0 # z\n"
                          "    requested by z\n");
  assert_int_equal (ctl_check_rules ("f", RW_LIT ("target a # x: y\n"), NULL,
                                     false, f->out.file, f->err.file),
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
                       &f->reports, false, f->out.file, f->err.file),
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
