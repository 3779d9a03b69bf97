#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "event.h"

#define LINE_MAX_BYTES 512

void
evt_init (struct evt_log *log, int fd, rw_time now)
{
  struct stat st;
  memset (log, 0, sizeof *log);
  log->fd = fd;
  log->tokens = EVT_BURST_LINES;
  log->refilled_at = now;
  rw_buf_init (&log->queue);
  if (fstat (fd, &st) != 0
      || (!S_ISFIFO (st.st_mode) && !S_ISSOCK (st.st_mode)))
    return;
  int flags = fcntl (fd, F_GETFL);
  if (flags >= 0)
    fcntl (fd, F_SETFL, flags | O_NONBLOCK);
}

void
evt_finish (struct evt_log *log)
{
  rw_buf_finish (&log->queue);
}

static void
flush (struct evt_log *log)
{
  while (log->queue.len > 0)
    {
      ssize_t n = write (log->fd, log->queue.ptr, log->queue.len);
      if (n <= 0)
        return;
      rw_buf_consume (&log->queue, (size_t)n);
    }
}

static bool
admit (struct evt_log *log, enum evt_class weight, rw_time now)
{
  double least = 1;
  if (now > log->refilled_at)
    log->tokens += (double)(now - log->refilled_at) / RW_SEC * EVT_LINES_PER_S;
  log->refilled_at = now;
  if (log->tokens > EVT_BURST_LINES)
    log->tokens = EVT_BURST_LINES;
  if (weight == EVT_SAMPLED)
    least = EVT_BURST_LINES / 2.0;
  else if (weight == EVT_STATE)
    least = -EVT_BURST_LINES;
  if (log->tokens < least || log->queue.len > EVT_MAX_QUEUE_BYTES)
    {
      log->suppressed_count++;
      return false;
    }
  log->tokens -= 1;
  return true;
}

/* Values may come from outside: a control character or a quote in them must
   not start another line or field.  */
static void
append (struct evt_log *log, const char *part, rw_time now, char *text,
        size_t len)
{
  for (size_t i = 0; i < len; i++)
    if ((unsigned char)text[i] < ' ' || text[i] == 127)
      text[i] = '?';
  rw_buf_printf (&log->queue, "%lld.%06lld %s: ", (long long)(now / RW_SEC),
                 (long long)(now % RW_SEC), part);
  rw_buf_append (&log->queue, text, len);
  rw_buf_append (&log->queue, "\n", 1);
  log->written_count++;
}

void
evt_line (struct evt_log *log, enum evt_class weight, const char *part,
          rw_time now, const char *fmt, ...)
{
  char text[LINE_MAX_BYTES];
  va_list args;
  if (!admit (log, weight, now))
    return;
  va_start (args, fmt);
  int len = vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  if (len < 0)
    return;
  append (log, part, now, text,
          (size_t)len < sizeof text ? (size_t)len : sizeof text - 1);
  flush (log);
}

void
evt_flush (struct evt_log *log, rw_time now)
{
  if (log->suppressed_count > log->reported_count
      && log->queue.len < EVT_MAX_QUEUE_BYTES)
    {
      char text[64];
      int len = snprintf (
          text, sizeof text, "lines left out: count=%llu",
          (unsigned long long)(log->suppressed_count - log->reported_count));
      append (log, "log", now, text, (size_t)len);
      log->reported_count = log->suppressed_count;
    }
  flush (log);
}
