/* Log lines, written by log4c, with a prefix that names the part of the daemon
   and a rate limit on repeated lines.  */

#ifndef LOG_LOG_H
#define LOG_LOG_H

#include "base.h"

enum log_level
{
  LOG_LEVEL_ERROR,
  LOG_LEVEL_WARN,
  LOG_LEVEL_INFO,
  LOG_LEVEL_DEBUG
};

enum log_format
{
  LOG_FORMAT_TEXT,
  LOG_FORMAT_JSON /* one object a line */
};

/* Of the lines that differ only in digits, at most LOG_BURST are written in
   each LOG_WINDOW; the number of suppressed ones is reported when the window
   ends.  LOG_SLOT_COUNT is the number of windows that are open at a time.  */
#define LOG_BURST 5
#define LOG_WINDOW (10 * RW_SEC)
#define LOG_SLOT_COUNT 64

/* The rate limit of one group of similar lines in the current window.  LEVEL,
   PART and SAMPLE are those of its first line.  */
struct log_repeat
{
  uint64_t key; /* hash of the part and the text without digits; 0: unused */
  rw_time window_start;
  uint32_t written;
  uint32_t suppressed;
  enum log_level level;
  const char *part; /* static */
  char sample[96];  /* cut to fit */
};

/* Receives a line without final newline.  LINE is valid during the call.  */
typedef void log_sink (void *arg, enum log_level level, const char *line);

struct log_log
{
  enum log_level level;
  enum log_format format;
  struct rw_str vm; /* JSON only; may be empty */
  log_sink *sink;
  void *sink_arg;
  struct log_repeat repeat[LOG_SLOT_COUNT];
};

int log_level_parse (struct rw_str name, enum log_level *level);
int log_format_parse (struct rw_str name, enum log_format *format);
int log_init (struct log_log *log, const char *program, enum log_level level,
              enum log_format format, struct rw_str vm);
void log_init_sink (struct log_log *log, enum log_level level, log_sink *sink,
                    void *arg);
void log_finish (struct log_log *log);
void log_text (struct log_log *log, enum log_level level, const char *part,
               rw_time now, struct rw_str text);
void log_line (struct log_log *log, enum log_level level, const char *part,
               rw_time now, const char *fmt, ...)
    __attribute__ ((format (printf, 5, 6)));
void log_err (struct log_log *log, enum log_level level, const char *part,
              rw_time now, const struct rw_err *err);
void log_tick (struct log_log *log, rw_time now);

#endif
