#include <fcntl.h>
#include <string.h>
#include <unistd.h>

#include "event.h"
#include "unit.h"

static size_t
read_all (int fd, char *buf, size_t size)
{
  ssize_t n = read (fd, buf, size - 1);
  buf[n > 0 ? n : 0] = '\0';
  return n > 0 ? (size_t)n : 0;
}

/* Guards against a log that blocks the daemon or grows without bound when
   nobody reads it, and against suppressed lines that are not reported.  */
TEST (stalled_reader_only_suppresses_lines)
{
  struct evt_log log;
  int fds[2];
  static char buf[1 << 20];
  assert_int_equal (pipe (fds), 0);
  evt_init (&log, fds[1], 0);
  for (int i = 0; i < 20000; i++)
    evt_line (&log, EVT_NORMAL, "request", i * 100 * RW_MSEC,
              "failed: id=%d text=%0200d", i, 7);
  assert_true (log.suppressed_count > 0);
  assert_true (log.queue.len <= EVT_MAX_QUEUE_BYTES + 512);
  while (read_all (fds[0], buf, sizeof buf) == sizeof buf - 1)
    ;
  evt_flush (&log, 2000 * RW_SEC);
  while (log.queue.len > 0)
    {
      read_all (fds[0], buf, sizeof buf);
      evt_flush (&log, 2000 * RW_SEC);
    }
  evt_flush (&log, 2000 * RW_SEC);
  assert_int_equal (log.reported_count, log.suppressed_count);
  evt_finish (&log);
  close (fds[0]);
  close (fds[1]);
}

/* Guards against lines for ordinary requests that use up the tokens, so that
   failures are suppressed.  */
TEST (sampled_lines_leave_tokens_for_failures)
{
  struct evt_log log;
  int fd = open ("/dev/null", O_WRONLY);
  evt_init (&log, fd, 0);
  for (int i = 0; i < 1000; i++)
    evt_line (&log, EVT_SAMPLED, "request", 0, "whole: id=%d", i);
  assert_int_equal (log.written_count, EVT_BURST_LINES / 2 + 1);
  uint64_t before = log.written_count;
  evt_line (&log, EVT_NORMAL, "request", 0, "failed: id=1");
  assert_int_equal (log.written_count, before + 1);
  evt_finish (&log);
  close (fd);
}

/* Guards against a line break in a caller's header that forges a log line.  */
TEST (control_characters_are_replaced)
{
  struct evt_log log;
  int fds[2];
  char buf[256];
  assert_int_equal (pipe (fds), 0);
  evt_init (&log, fds[1], 0);
  evt_line (&log, EVT_NORMAL, "request", 1500000, "id=%s", "a\nb\r\x1b");
  read_all (fds[0], buf, sizeof buf);
  assert_string_equal (buf, "1.500000 request: id=a?b??\n");
  evt_finish (&log);
  close (fds[0]);
  close (fds[1]);
}

/* Guards against a space in a caller's id that forges a field.  */
TEST (values_do_not_forge_fields)
{
  char text[300];
  assert_string_equal (evt_value (RW_LIT ("a status=\"200\"")).text,
                       "a?status=?200?");
  assert_string_equal (evt_value (RW_LIT ("a\nb\r\tc\x7f")).text, "a?b??c?");
  assert_string_equal (evt_value ((struct rw_str){ NULL, 0 }).text, "");
  memset (text, 'x', sizeof text);
  assert_int_equal (
      strlen (evt_value ((struct rw_str){ text, sizeof text }).text),
      EVT_MAX_VALUE_LEN);
}
