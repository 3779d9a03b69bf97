#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "event.h"

/* Includes the terminating NUL.  */
#define TEXT_BUF_BYTES 512

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
write_queue (struct evt_log *log)
{
  while (log->queue.len > 0)
    {
      ssize_t n = write (log->fd, log->queue.ptr, log->queue.len);
      if (n <= 0)
        return;
      rw_buf_consume (&log->queue, (size_t)n);
    }
}

/* Takes a token for a line of CLASS, or counts the line as suppressed and
   returns false.  */
static bool
take_token (struct evt_log *log, enum evt_class class, rw_time now)
{
  double min_tokens = 1;
  if (now > log->refilled_at)
    log->tokens += (double)(now - log->refilled_at) / RW_SEC * EVT_LINES_PER_S;
  log->refilled_at = now;
  if (log->tokens > EVT_BURST_LINES)
    log->tokens = EVT_BURST_LINES;
  if (class == EVT_SAMPLED)
    min_tokens = EVT_BURST_LINES / 2.0;
  else if (class == EVT_STATE)
    min_tokens = -EVT_BURST_LINES;
  if (log->tokens < min_tokens || log->queue.len > EVT_MAX_QUEUE_BYTES)
    {
      log->suppressed_count++;
      return false;
    }
  log->tokens -= 1;
  return true;
}

/* Queues a line.  TEXT may hold values from callers or peers, so control
   characters in it are replaced: a line break would forge another line.  */
static void
append_line (struct evt_log *log, const char *part, rw_time now, char *text,
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

struct evt_value
evt_value (struct rw_str text)
{
  struct evt_value value;
  size_t len = text.len < EVT_MAX_VALUE_LEN ? text.len : EVT_MAX_VALUE_LEN;
  for (size_t i = 0; i < len; i++)
    {
      unsigned char c = (unsigned char)text.ptr[i];
      value.text[i] = c <= ' ' || c == '"' || c == 0x7f ? '?' : text.ptr[i];
    }
  value.text[len] = '\0';
  return value;
}

void
evt_line (struct evt_log *log, enum evt_class class, const char *part,
          rw_time now, const char *fmt, ...)
{
  char text[TEXT_BUF_BYTES];
  va_list args;
  if (!take_token (log, class, now))
    return;
  va_start (args, fmt);
  int len = vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  if (len < 0)
    return;
  append_line (log, part, now, text,
               (size_t)len < sizeof text ? (size_t)len : sizeof text - 1);
  write_queue (log);
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
      append_line (log, "log", now, text, (size_t)len);
      log->reported_count = log->suppressed_count;
    }
  write_queue (log);
}
