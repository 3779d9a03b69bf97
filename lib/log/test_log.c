#include "log.h"
#include "unit.h"

#include <unistd.h>

#include <jansson.h>

struct lines
{
  size_t count;
  char last[512];
};

static void
store_line (void *arg, enum log_level level, const char *line)
{
  struct lines *lines = arg;

  (void)level;
  lines->count++;
  snprintf (lines->last, sizeof lines->last, "%s", line);
}

/* Guards against a repeated error that fills the log: similar lines are
   limited and the number of suppressed ones is reported.  */
TEST (repeated_lines_are_counted)
{
  struct lines lines = { 0 };
  struct log_log log;

  log_init_sink (&log, LOG_LEVEL_INFO, store_line, &lines);
  for (int i = 0; i < 100; i++)
    log_line (&log, LOG_LEVEL_WARN, "net", i, "peer %d refused", i);
  assert_int_equal (lines.count, LOG_BURST);
  assert_string_equal (lines.last, "net: peer 4 refused");
  log_tick (&log, LOG_WINDOW - 1);
  assert_int_equal (lines.count, LOG_BURST);
  log_tick (&log, LOG_WINDOW);
  assert_string_equal (lines.last,
                       "net: 95 similar lines suppressed: peer 0 refused");
  log_line (&log, LOG_LEVEL_WARN, "net", LOG_WINDOW + 1, "peer 1 refused");
  assert_string_equal (lines.last, "net: peer 1 refused");
}

/* Guards against different lines that suppress each other, and against
   suppressed lines that are lost at exit.  */
TEST (different_lines_are_independent)
{
  struct lines lines = { 0 };
  struct log_log log;

  log_init_sink (&log, LOG_LEVEL_INFO, store_line, &lines);
  for (int i = 0; i <= LOG_BURST; i++)
    log_line (&log, LOG_LEVEL_INFO, "net", 0, "a");
  log_line (&log, LOG_LEVEL_INFO, "net", 0, "b");
  log_line (&log, LOG_LEVEL_INFO, "http", 0, "a");
  log_line (&log, LOG_LEVEL_DEBUG, "http", 0, "c");
  assert_int_equal (lines.count, LOG_BURST + 2);
  log_finish (&log);
  assert_int_equal (lines.count, LOG_BURST + 3);
}

/* Guards against errors that are logged without their step or peer.  */
TEST (errors_keep_step_and_peer)
{
  struct lines lines = { 0 };
  struct log_log log;
  struct rw_err err;

  log_init_sink (&log, LOG_LEVEL_INFO, store_line, &lines);
  rw_err_set (&err, RW_E_RESET, "connect", RW_LIT ("pd-01"), "attempt %d", 1);
  log_err (&log, LOG_LEVEL_WARN, "net", 0, &err);
  assert_string_equal (lines.last,
                       "net: connect: pd-01: attempt 1 (connection reset)");
}

/* Guards against a level name that is parsed as another one, such as a longer
   name with the same start.  */
TEST (level_names_are_exact)
{
  enum log_level level;

  assert_int_equal (log_level_parse (RW_LIT ("warn"), &level), 0);
  assert_int_equal (level, LOG_LEVEL_WARN);
  assert_int_equal (log_level_parse (RW_LIT ("warning"), &level), RW_E_PARSE);
}

/* Logs DATA and returns the JSON line that was written to standard error.  */
static json_t *
json_line (struct rw_str vm, struct rw_str data)
{
  char line[4096] = "";
  struct log_log log;
  int saved = dup (STDERR_FILENO);
  int ends[2];
  json_t *root;

  assert_int_equal (pipe (ends), 0);
  dup2 (ends[1], STDERR_FILENO);
  assert_int_equal (
      log_init (&log, "test", LOG_LEVEL_INFO, LOG_FORMAT_JSON, vm), 0);
  log_text (&log, LOG_LEVEL_WARN, "net", 0, data);
  dup2 (saved, STDERR_FILENO);
  assert_true (read (ends[0], line, sizeof line - 1) > 0);
  close (saved);
  close (ends[0]);
  close (ends[1]);
  assert_ptr_equal (strchr (line, '\n'), line + strlen (line) - 1);
  root = json_loads (line, JSON_REJECT_DUPLICATES, NULL);
  assert_non_null (root);
  return root;
}

static const char *
member (const json_t *root, const char *name)
{
  return json_string_value (json_object_get (root, name));
}

/* Guards against lines that a log collector cannot parse: with quotes, control
   characters, bytes that are not UTF-8, or of the maximum length.  */
TEST (json_lines_are_valid)
{
  char text[1000];
  json_t *root = json_line (RW_LIT ("mid-1"), RW_LIT ("a \"b\"\n\\\303\251"));
  int year;
  int ms;

  assert_int_equal (json_object_size (root), 5);
  assert_int_equal (sscanf (member (root, "time"),
                            "%d-%*d-%*dT%*d:%*d:%*d.%3dZ", &year, &ms),
                    2);
  assert_int_equal (strlen (member (root, "time")), 24);
  assert_string_equal (member (root, "level"), "warn");
  assert_string_equal (member (root, "part"), "net");
  assert_string_equal (member (root, "vm"), "mid-1");
  assert_string_equal (member (root, "message"), "a \"b\"\n\\\303\251");
  json_decref (root);
  root = json_line (RW_LIT (""), RW_LIT ("cut \303"));
  assert_string_equal (member (root, "message"), "cut ?");
  json_decref (root);
  memset (text, 1, sizeof text);
  root = json_line (RW_LIT (""), (struct rw_str){ text, sizeof text });
  assert_int_equal (strlen (member (root, "message")), 512);
  json_decref (root);
}
