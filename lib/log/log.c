#include "log.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>
#include <log4c.h>

#define LINE_SIZE 512 /* bytes; longer lines are cut */
/* A JSON escape takes at most six characters for a byte.  */
#define JSON_LINE_SIZE (6 * LINE_SIZE + 512)

static const char *const LEVEL_NAMES[] = { "error", "warn", "info", "debug" };
static const int PRIORITIES[] = { LOG4C_PRIORITY_ERROR, LOG4C_PRIORITY_WARN,
                                  LOG4C_PRIORITY_INFO, LOG4C_PRIORITY_DEBUG };

/* Parses the name of a level.  Returns 0, or RW_E_PARSE if it is unknown.  */
int
log_level_parse (struct rw_str name, enum log_level *level)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (LEVEL_NAMES); i++)
    if (rw_str_eq_cstr (name, LEVEL_NAMES[i]))
      {
        *level = (enum log_level)i;
        return 0;
      }
  return RW_E_PARSE;
}

/* Parses the name of a format.  Returns 0, or RW_E_PARSE if it is unknown.  */
int
log_format_parse (struct rw_str name, enum log_format *format)
{
  if (rw_str_eq_cstr (name, "text"))
    *format = LOG_FORMAT_TEXT;
  else if (rw_str_eq_cstr (name, "json"))
    *format = LOG_FORMAT_JSON;
  else
    return RW_E_PARSE;
  return 0;
}

static int
stderr_open (log4c_appender_t *appender)
{
  (void)appender;
  return 0;
}

/* Writes the time of EVENT to STAMP, in UTC with milliseconds.  */
static void
format_time (const log4c_logging_event_t *event, char *stamp, size_t size)
{
  time_t seconds = event->evt_timestamp.tv_sec;
  struct tm tm;
  size_t len;

  gmtime_r (&seconds, &tm);
  len = strftime (stamp, size, "%Y-%m-%dT%H:%M:%S", &tm);
  snprintf (stamp + len, size - len, ".%03dZ",
            (int)(event->evt_timestamp.tv_usec / 1000));
}

/* Writes one line in a single call of write, so that the lines of several
   processes are not interleaved.  LEN is the result of snprintf into a buffer
   of SIZE bytes; a line that did not fit is written as cut.  */
static int
write_line (const char *line, int len, size_t size)
{
  if (len <= 0)
    return -1;
  if ((size_t)len >= size)
    len = (int)size - 1;
  return write (STDERR_FILENO, line, (size_t)len) == len ? 0 : -1;
}

static int
text_append (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  char line[LINE_SIZE + 128];
  char stamp[64];
  int len;

  (void)appender;
  format_time (event, stamp, sizeof stamp);
  len = snprintf (
      line, sizeof line, "%s %s %s %s\n", stamp, event->evt_category,
      log4c_priority_to_string (event->evt_priority), event->evt_msg);
  return write_line (line, len, sizeof line);
}

/* Writes the JSON object in the message with the time inserted as its first
   member, after the opening brace.  */
static int
json_append (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  char line[JSON_LINE_SIZE];
  char stamp[64];
  int len;

  (void)appender;
  format_time (event, stamp, sizeof stamp);
  len = snprintf (line, sizeof line, "{\"time\":\"%s\",%s\n", stamp,
                  event->evt_msg + 1);
  return write_line (line, len, sizeof line);
}

static int
stderr_close (log4c_appender_t *appender)
{
  (void)appender;
  return 0;
}

static const log4c_appender_type_t TEXT_APPENDER_TYPE
    = { "rwf_stderr", stderr_open, text_append, stderr_close };
static const log4c_appender_type_t JSON_APPENDER_TYPE
    = { "rwf_json", stderr_open, json_append, stderr_close };

static void
write_log4c (void *arg, enum log_level level, const char *line)
{
  log4c_category_log ((const log4c_category_t *)arg, PRIORITIES[level], "%s",
                      line);
}

/* Prepares LOG.  Lines at LEVEL or more severe are passed to SINK with ARG. */
void
log_init_sink (struct log_log *log, enum log_level level, log_sink *sink,
               void *arg)
{
  memset (log, 0, sizeof *log);
  log->level = level;
  log->sink = sink;
  log->sink_arg = arg;
}

/* Prepares LOG.  Lines are written to standard error by the log4c category
   PROGRAM; configuration files of log4c are not read.  JSON lines contain VM,
   whose bytes must remain valid as long as LOG is used.  Returns 0, or
   RW_E_NOT_FOUND if log4c provides no category or appender.  */
int
log_init (struct log_log *log, const char *program, enum log_level level,
          enum log_format format, struct rw_str vm)
{
  log4c_category_t *category = log4c_category_get (program);
  log4c_appender_t *appender = log4c_appender_get ("rwf_stderr");

  log_init_sink (log, level, write_log4c, category);
  log->format = format;
  log->vm = vm;
  if (category == NULL || appender == NULL)
    return RW_E_NOT_FOUND;
  log4c_appender_set_type (appender, format == LOG_FORMAT_JSON
                                         ? &JSON_APPENDER_TYPE
                                         : &TEXT_APPENDER_TYPE);
  log4c_category_set_appender (category, appender);
  log4c_category_set_additivity (category, 0);
  log4c_category_set_priority (category, PRIORITIES[level]);
  return 0;
}

/* Returns S as a new JSON string.  If S is not valid UTF-8, for example
   because it was cut within a character, bytes outside ASCII become "?".  */
static json_t *
json_text (struct rw_str s)
{
  json_t *value = json_stringn (s.len != 0 ? s.ptr : "", s.len);
  char ascii[LINE_SIZE + 1];

  if (value != NULL)
    return value;
  rw_str_copy (ascii, sizeof ascii, s);
  for (char *p = ascii; *p != '\0'; p++)
    if ((unsigned char)*p >= 0x80)
      *p = '?';
  return json_string (ascii);
}

/* Passes a JSON object to the sink.  The appender adds the time.  */
static void
write_json (struct log_log *log, enum log_level level, const char *part,
            struct rw_str text)
{
  json_t *root = json_object ();
  char *line;

  json_object_set_new (root, "level", json_string (LEVEL_NAMES[level]));
  json_object_set_new (root, "part", json_string (part));
  json_object_set_new (root, "vm", json_text (log->vm));
  json_object_set_new (root, "message", json_text (text));
  line = json_dumps (root, JSON_COMPACT | JSON_ENSURE_ASCII);
  json_decref (root);
  if (line != NULL)
    log->sink (log->sink_arg, level, line);
  free (line);
}

/* Passes TEXT with the prefix PART to the sink, in the format of LOG.  */
static void
write_entry (struct log_log *log, enum log_level level, const char *part,
             struct rw_str text)
{
  char line[LINE_SIZE];

  if (log->format == LOG_FORMAT_JSON)
    {
      if (text.len > LINE_SIZE)
        text.len = LINE_SIZE;
      write_json (log, level, part, text);
      return;
    }
  snprintf (line, sizeof line, "%s: %.*s", part, RW_STR_ARG (text));
  log->sink (log->sink_arg, level, line);
}

/* Reports the number of suppressed lines, if any, and frees the slot.  */
static void
end_window (struct log_log *log, struct log_repeat *repeat)
{
  char text[LINE_SIZE];

  if (repeat->suppressed > 0)
    {
      snprintf (text, sizeof text, "%u similar lines suppressed: %s",
                (unsigned int)repeat->suppressed, repeat->sample);
      write_entry (log, repeat->level, repeat->part, rw_str_from (text));
    }
  repeat->key = 0;
  repeat->suppressed = 0;
}

/* Reports the suppressed lines of all windows.  */
void
log_finish (struct log_log *log)
{
  for (size_t i = 0; i < LOG_SLOT_COUNT; i++)
    end_window (log, &log->repeat[i]);
}

/* Returns the hash of PART and of TEXT without its digits, so that lines that
   differ only in numbers have the same key.  The key is odd, since 0 marks an
   unused slot.  */
static uint64_t
line_key (const char *part, struct rw_str text)
{
  char buf[LINE_SIZE];
  size_t len = 0;

  for (size_t i = 0; i < text.len && len < sizeof buf; i++)
    if (text.ptr[i] < '0' || text.ptr[i] > '9')
      buf[len++] = text.ptr[i];
  return rw_hash_pair (rw_str_from (part), (struct rw_str){ buf, len }) | 1;
}

static void
start_window (struct log_repeat *repeat, uint64_t key, enum log_level level,
              const char *part, rw_time now, struct rw_str text)
{
  repeat->key = key;
  repeat->window_start = now;
  repeat->written = 0;
  repeat->level = level;
  repeat->part = part;
  rw_str_copy (repeat->sample, sizeof repeat->sample, text);
}

/* Writes TEXT after the prefix PART, which must be static, unless LEVEL is
   less severe than the level of LOG or LOG_BURST similar lines were written in
   this window.  A line with another key in the same slot ends the window
   early.  */
void
log_text (struct log_log *log, enum log_level level, const char *part,
          rw_time now, struct rw_str text)
{
  struct log_repeat *repeat;
  uint64_t key;

  if (level > log->level)
    return;
  key = line_key (part, text);
  repeat = &log->repeat[key / 2 % LOG_SLOT_COUNT];
  if (repeat->key != key || now - repeat->window_start >= LOG_WINDOW)
    {
      end_window (log, repeat);
      start_window (repeat, key, level, part, now, text);
    }
  if (repeat->written >= LOG_BURST)
    {
      repeat->suppressed++;
      return;
    }
  repeat->written++;
  write_entry (log, level, part, text);
}

/* Formats a text, cut to LINE_SIZE, and writes it as log_text does.  */
void
log_line (struct log_log *log, enum log_level level, const char *part,
          rw_time now, const char *fmt, ...)
{
  char text[LINE_SIZE];
  va_list args;

  if (level > log->level)
    return;
  va_start (args, fmt);
  vsnprintf (text, sizeof text, fmt, args);
  va_end (args);
  log_text (log, level, part, now, rw_str_from (text));
}

/* Writes ERR with its step and peer as log_text does.  */
void
log_err (struct log_log *log, enum log_level level, const char *part,
         rw_time now, const struct rw_err *err)
{
  char text[LINE_SIZE];

  log_text (log, level, part, now, rw_err_format (err, text, sizeof text));
}

/* Ends the windows that are over and reports their suppressed lines.  To be
   called about once a second.  */
void
log_tick (struct log_log *log, rw_time now)
{
  for (size_t i = 0; i < LOG_SLOT_COUNT; i++)
    if (log->repeat[i].key != 0
        && now - log->repeat[i].window_start >= LOG_WINDOW)
      end_window (log, &log->repeat[i]);
}
