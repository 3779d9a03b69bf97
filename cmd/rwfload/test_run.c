/* Tests of the results of rwfload run.  */

#include "run.h"
#include "unit.h"

/* Guards against counting errors as answers, and against counting an unknown
   outcome as "not run".  */
TEST (test_outcomes)
{
  struct run_stream s = { .class_name = "counter", .service = "partsdesk" };

  rw_hist_init (&s.latency);
  run_count_answer (&s,
                    RW_LIT ("{\"complete\":true,\"coverage\":{\"covered\":4,"
                            "\"shards\":4}}"),
                    1000);
  run_count_answer (&s,
                    RW_LIT ("{\"complete\":false,\"coverage\":{\"covered\":1,"
                            "\"shards\":4}}"),
                    2000);
  run_count_error (&s, RW_LIT ("{\"ran\":\"no\"}"));
  run_count_error (&s, RW_LIT ("{\"ran\":\"yes\"}"));
  run_count_error (&s, RW_LIT ("{\"ran\":\"unknown\"}"));
  run_count_error (&s, RW_LIT ("not JSON"));
  run_count_failure (&s, false);
  run_count_failure (&s, true);
  assert_int_equal (s.ok, 2);
  assert_int_equal (s.complete, 1);
  assert_int_equal (s.covered, 5);
  assert_int_equal (s.shards, 8);
  assert_int_equal (s.not_run, 2);
  assert_int_equal (s.ran, 1);
  assert_int_equal (s.unknown, 3);
  assert_int_equal (s.latency.count, 2);
}

/* Guards against CSV rows that do not match the header, and against printing a
   coverage when there was no answer.  */
TEST (test_csv)
{
  struct run_results results = { .profile = "gauteng",
                                 .seed = 7,
                                 .rate = 100,
                                 .duration = 2 * RW_SEC,
                                 .stream_count = 2 };
  char *text;
  size_t len;
  FILE *out = open_memstream (&text, &len);

  for (int i = 0; i < 2; i++)
    {
      results.streams[i]
          = (struct run_stream){ .class_name = "c", .service = "s" };
      rw_hist_init (&results.streams[i].latency);
    }
  results.streams[1].covered = 1;
  results.streams[1].shards = 4;
  results.streams[1].sent = 1;
  run_print_csv (&results, true, out);
  fclose (out);
  assert_string_equal (
      text, "profile,seed,rate,seconds,class,service,sent,ok,complete,"
            "coverage,p50_us,p99_us,p999_us,max_us,not_run,ran,unknown\n"
            "gauteng,7,100.0,2.0,c,s,0,0,0,,0,0,0,0,0,0,0\n"
            "gauteng,7,100.0,2.0,c,s,1,0,0,0.250000,0,0,0,0,0,0,0\n");
  free (text);
}
