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
  log->tokens = EVT_BURST;
  log->refilled = now;
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
admit (struct evt_log *log, enum evt_weight weight, rw_time now)
{
  double least = 1;
  if (now > log->refilled)
    log->tokens += (double)(now - log->refilled) / RW_SEC * EVT_RATE;
  log->refilled = now;
  if (log->tokens > EVT_BURST)
    log->tokens = EVT_BURST;
  if (weight == EVT_SAMPLE)
    least = EVT_BURST / 2.0;
  else if (weight == EVT_STATE)
    least = -EVT_BURST;
  if (log->tokens < least || log->queue.len > EVT_MAX_QUEUE)
    {
      log->left_out++;
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
  log->written++;
}

void
evt_line (struct evt_log *log, enum evt_weight weight, const char *part,
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
evt_tick (struct evt_log *log, rw_time now)
{
  if (log->left_out > log->reported && log->queue.len < EVT_MAX_QUEUE)
    {
      char text[64];
      int len = snprintf (text, sizeof text, "lines left out: count=%llu",
                          (unsigned long long)(log->left_out - log->reported));
      append (log, "log", now, text, (size_t)len);
      log->reported = log->left_out;
    }
  flush (log);
}
