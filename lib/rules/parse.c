#include "table.h"

#include <stdio.h>
#include <string.h>

enum setting_type
{
  TYPE_FLAG,        /* NAME */
  TYPE_NUMBER,      /* NAME=N */
  TYPE_PERCENT,     /* NAME=N% or NAME=N */
  TYPE_DURATION,    /* NAME=Nms or NAME=Ns */
  TYPE_SERVICE_KIND /* NAME=search or NAME=once */
};

/* One setting of a kind of rule.  Its value is stored at OFFSET in struct
   rul_rule, in the order of setting_type as a bool, an int, an int, a rw_time
   or an enum rul_service_kind.  */
struct setting
{
  enum rul_kind kind;
  const char *name;
  enum setting_type type;
  int min; /* of TYPE_NUMBER and TYPE_PERCENT */
  int max; /* likewise */
  size_t offset;
};

#define OFFSET(member) offsetof (struct rul_rule, u.member)

static const struct setting settings[] = {
  { RUL_DATA_CENTRE, "out", TYPE_FLAG, 0, 0, OFFSET (data_centre.out) },
  { RUL_DATA_CENTRE, "groups", TYPE_NUMBER, 1, 4096,
    OFFSET (data_centre.groups) },
  { RUL_SERVICE, "kind", TYPE_SERVICE_KIND, 0, 0, OFFSET (service.kind) },
  { RUL_SERVICE, "deadline", TYPE_DURATION, 0, 0, OFFSET (service.deadline) },
  { RUL_SERVICE, "hedge", TYPE_PERCENT, 0, 100,
    OFFSET (service.hedge_percent) },
  { RUL_SERVICE, "top", TYPE_NUMBER, 1, 10000, OFFSET (service.top_k) },
  { RUL_SERVICE, "slots", TYPE_NUMBER, 1, 64, OFFSET (service.slots) },
  { RUL_SERVICE, "connections", TYPE_NUMBER, 1, 10000,
    OFFSET (service.connections) },
  { RUL_SERVICE, "cold", TYPE_NUMBER, 1, 64, OFFSET (service.cold_limit) },
  { RUL_SERVICE, "ramp", TYPE_NUMBER, 1, 10000,
    OFFSET (service.ramp_successes) },
  { RUL_TARGET, "leaving", TYPE_FLAG, 0, 0, OFFSET (target.leaving) },
  { RUL_TARGET, "slots", TYPE_NUMBER, 1, 64, OFFSET (target.slots) },
  { RUL_TARGET, "cold", TYPE_NUMBER, 1, 64, OFFSET (target.cold_limit) },
  { RUL_CALLER, "share", TYPE_NUMBER, 1, 1000, OFFSET (caller.share) },
  { RUL_CALLER, "queue", TYPE_NUMBER, 1, 100000, OFFSET (caller.queue_max) },
};

/* A holder remembers once requests for 60 s; no request may take longer.  */
#define DEADLINE_MAX (60 * RW_SEC)

/* The line being parsed.  */
struct reader
{
  struct rw_str line;
  size_t pos; /* of the next byte to read in LINE */
  int number; /* of the line, from 1 */
  struct rul_error *error;
};

/* Records in READER->error that EXPECTED was expected at byte offset AT of the
   line and FOUND was found there.  Characters of FOUND that are not printable
   ASCII become '?'.  Returns CODE.  */
static int
parse_error (const struct reader *reader, int code, size_t at,
             struct rw_str found, const char *expected)
{
  struct rul_error *error = reader->error;
  size_t shown = 0;

  error->line = reader->number;
  error->column = (int)at + 1;
  rw_str_copy (error->expected, sizeof error->expected,
               rw_str_from (expected));
  while (shown < found.len && shown < sizeof error->found - 1)
    {
      unsigned char c = (unsigned char)found.ptr[shown];

      error->found[shown++] = c >= 0x20 && c < 0x7f ? (char)c : '?';
    }
  error->found[shown] = '\0';
  return code;
}

/* Returns the length in bytes of the UTF-8 sequence at the start of S, 1 to 4,
   or 0 if it is invalid.  S is not empty.  */
static size_t
utf8_length (struct rw_str s)
{
  unsigned char lead = (unsigned char)s.ptr[0];
  size_t len = lead < 0x80 ? 1 : lead < 0xe0 ? 2 : lead < 0xf0 ? 3 : 4;
  uint32_t code = len == 1 ? lead : lead & (0x7fU >> len);
  static const uint32_t min_code[] = { 0, 0, 0x80, 0x800, 0x10000 };

  if ((lead >= 0x80 && lead < 0xc2) || lead > 0xf4 || s.len < len)
    return 0;
  for (size_t i = 1; i < len; i++)
    {
      if (((unsigned char)s.ptr[i] & 0xc0) != 0x80)
        return 0;
      code = code << 6 | ((unsigned char)s.ptr[i] & 0x3f);
    }
  if (code < min_code[len] || code > 0x10ffff
      || (code >= 0xd800 && code <= 0xdfff))
    return 0;
  return len;
}

/* Checks that the line is UTF-8 without control characters other than tab,
   because it is printed on operators' terminals and in JSON.  */
static int
check_characters (const struct reader *reader)
{
  struct rw_str line = reader->line;

  for (size_t i = 0; i < line.len;)
    {
      unsigned char c = (unsigned char)line.ptr[i];
      size_t len = utf8_length ((struct rw_str){ line.ptr + i, line.len - i });

      if (len == 0 || (c < 0x20 && c != '\t') || c == 0x7f)
        return parse_error (reader, RW_E_PARSE, i,
                            (struct rw_str){ line.ptr + i, 1 },
                            "UTF-8 text without control characters");
      i += len;
    }
  return 0;
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t';
}

static void
skip_blanks (struct reader *reader)
{
  while (reader->pos < reader->line.len
         && is_blank (reader->line.ptr[reader->pos]))
    reader->pos++;
}

/* Returns the next word and stores its byte offset in the line in *AT.  The
   word is empty at a comment and at the end of the line.  */
static struct rw_str
next_word (struct reader *reader, size_t *at)
{
  const char *ptr = reader->line.ptr;
  size_t start;

  skip_blanks (reader);
  start = reader->pos;
  while (reader->pos < reader->line.len && !is_blank (ptr[reader->pos])
         && ptr[reader->pos] != '#')
    reader->pos++;
  *at = start;
  return (struct rw_str){ ptr + start, reader->pos - start };
}

static int
read_kind (struct reader *reader, enum rul_kind *kind)
{
  static const enum rul_kind kinds[]
      = { RUL_DATA_CENTRE, RUL_SERVICE, RUL_TARGET, RUL_CALLER };
  size_t at;
  struct rw_str word = next_word (reader, &at);

  for (size_t i = 0; i < RW_ARRAY_LEN (kinds); i++)
    if (rw_str_eq_cstr (word, rul_kind_name (kinds[i])))
      {
        *kind = kinds[i];
        return 0;
      }
  return parse_error (reader, RW_E_PARSE, at, word,
                      "data-centre, service, target or caller");
}

static bool
is_name_character (char c)
{
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z')
         || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

static int
read_name (struct reader *reader, enum rul_kind kind, struct rw_str *name)
{
  char expected[64];
  size_t at;
  struct rw_str word = next_word (reader, &at);

  snprintf (expected, sizeof expected, "the name of a %s",
            rul_kind_name (kind));
  if (word.len == 0)
    return parse_error (reader, RW_E_PARSE, at, word, expected);
  for (size_t i = 0; i < word.len; i++)
    if (!is_name_character (word.ptr[i]))
      return parse_error (reader, RW_E_PARSE, at + i,
                          (struct rw_str){ word.ptr + i, word.len - i },
                          "a name of letters, digits, '-', '_' and '.'");
  if (word.len > RUL_NAME_MAX)
    return parse_error (reader, RW_E_RANGE, at, word,
                        "a name of at most 63 characters");
  *name = word;
  return 0;
}

static int
read_number (const struct reader *reader, const struct setting *setting,
             size_t at, struct rw_str text, int *value)
{
  struct rw_str digits = text;
  char expected[64];
  int64_t number;
  int rc;

  if (setting->type == TYPE_PERCENT && text.len > 1
      && text.ptr[text.len - 1] == '%')
    digits.len--;
  rc = rw_str_to_int (digits, setting->min, setting->max, &number);
  if (rc < 0)
    {
      snprintf (expected, sizeof expected, "a %s of %d to %d",
                setting->type == TYPE_PERCENT ? "percentage" : "number",
                setting->min, setting->max);
      return parse_error (reader, rc, at, text, expected);
    }
  *value = (int)number;
  return 0;
}

static int
read_duration (const struct reader *reader, size_t at, struct rw_str text,
               rw_time *value)
{
  int rc = rw_str_to_duration (text, value);

  if (rc == 0 && *value > DEADLINE_MAX)
    rc = RW_E_RANGE;
  if (rc < 0)
    return parse_error (reader, rc, at, text,
                        "a duration of 1ms to 60s, such as 61ms");
  return 0;
}

static int
read_service_kind (const struct reader *reader, size_t at, struct rw_str text,
                   enum rul_service_kind *kind)
{
  if (rw_str_eq_cstr (text, "search"))
    *kind = RUL_SEARCH;
  else if (rw_str_eq_cstr (text, "once"))
    *kind = RUL_ONCE;
  else
    return parse_error (reader, RW_E_PARSE, at, text, "search or once");
  return 0;
}

/* Parses TEXT, the value of SETTING, and stores it in RULE.  AT is the byte
   offset of TEXT in the line.  */
static int
read_value (const struct reader *reader, const struct setting *setting,
            size_t at, struct rw_str text, struct rul_rule *rule)
{
  void *value = (char *)rule + setting->offset;

  switch (setting->type)
    {
    case TYPE_FLAG:
      *(bool *)value = true;
      return 0;
    case TYPE_NUMBER:
    case TYPE_PERCENT:
      return read_number (reader, setting, at, text, value);
    case TYPE_DURATION:
      return read_duration (reader, at, text, value);
    case TYPE_SERVICE_KIND:
      return read_service_kind (reader, at, text, value);
    }
  return RW_E_PARSE;
}

/* Reports that WORD is not a setting of rules of KIND and lists the settings
   that are.  */
static int
unknown_setting_error (const struct reader *reader, enum rul_kind kind,
                       size_t at, struct rw_str word)
{
  char expected[96] = "";
  size_t len = 0;

  for (size_t i = 0; i < RW_ARRAY_LEN (settings); i++)
    {
      if (settings[i].kind != kind)
        continue;
      len += (size_t)snprintf (expected + len, sizeof expected - len, "%s%s%s",
                               len > 0 ? ", " : "", settings[i].name,
                               settings[i].type == TYPE_FLAG ? "" : "=");
    }
  snprintf (expected + len, sizeof expected - len, " or # WHO");
  return parse_error (reader, RW_E_PARSE, at, word, expected);
}

/* Returns the index in SETTINGS of the setting in WORD, which is NAME for a
   flag and NAME=VALUE otherwise, or -1.  */
static int
find_setting (enum rul_kind kind, struct rw_str word)
{
  const char *equals = memchr (word.ptr, '=', word.len);
  size_t name_len = equals != NULL ? (size_t)(equals - word.ptr) : word.len;

  for (size_t i = 0; i < RW_ARRAY_LEN (settings); i++)
    if (settings[i].kind == kind
        && rw_str_eq_cstr ((struct rw_str){ word.ptr, name_len },
                           settings[i].name)
        && (settings[i].type == TYPE_FLAG) == (equals == NULL))
      return (int)i;
  return -1;
}

/* Reads the settings up to the comment or the end of the line.  */
static int
read_settings (struct reader *reader, struct rul_rule *rule)
{
  unsigned int seen = 0; /* bit I: settings[I] was read */

  for (;;)
    {
      size_t at;
      struct rw_str word = next_word (reader, &at);
      struct rw_str value;
      size_t name_len;
      int i;
      int rc;

      if (word.len == 0)
        return 0;
      i = find_setting (rule->kind, word);
      if (i < 0)
        return unknown_setting_error (reader, rule->kind, at, word);
      if ((seen & 1U << i) != 0)
        return parse_error (reader, RW_E_PARSE, at, word, "each setting once");
      seen |= 1U << i;
      name_len = strlen (settings[i].name);
      value = settings[i].type == TYPE_FLAG
                  ? RW_LIT ("")
                  : (struct rw_str){ word.ptr + name_len + 1,
                                     word.len - name_len - 1 };
      rc = read_value (reader, &settings[i], at + name_len + 1, value, rule);
      if (rc < 0)
        return rc;
    }
}

/* Reads "# WHO[: WHY]" up to the end of the line.  WHO is required.  */
static int
read_comment (struct reader *reader, struct rul_rule *rule)
{
  const char *ptr = reader->line.ptr;
  struct rw_str comment;
  const char *colon;

  skip_blanks (reader);
  if (reader->pos >= reader->line.len)
    return parse_error (reader, RW_E_PARSE, reader->line.len, RW_LIT (""),
                        "a comment that names who requested the rule: "
                        "# WHO[: WHY]");
  comment.ptr = ptr + reader->pos + 1;
  comment.len = reader->line.len - reader->pos - 1;
  colon = memchr (comment.ptr, ':', comment.len);
  rule->who = comment;
  if (colon != NULL)
    {
      rule->who.len = (size_t)(colon - comment.ptr);
      rule->why = rw_str_trim (
          (struct rw_str){ colon + 1, comment.len - rule->who.len - 1 });
    }
  rule->who = rw_str_trim (rule->who);
  if (rule->who.len == 0)
    return parse_error (reader, RW_E_PARSE, reader->pos + 1, RW_LIT (""),
                        "who requested the rule: # WHO[: WHY]");
  return 0;
}

/* Sets the deadline, whose default depends on the kind of the service, and
   checks that cold is at most slots where the rule determines both.  */
static int
complete_settings (const struct reader *reader, struct rul_rule *rule)
{
  int slots = 0;
  int cold = 0;

  if (rule->kind == RUL_SERVICE)
    {
      struct rul_service *service = &rule->u.service;

      if (service->deadline == 0)
        service->deadline = rul_default_deadline (service->kind);
      slots = service->slots;
      cold = service->cold_limit;
    }
  else if (rule->kind == RUL_TARGET)
    {
      slots = rule->u.target.slots;
      cold = rule->u.target.cold_limit;
    }
  if (slots != 0 && cold > slots)
    return parse_error (reader, RW_E_RANGE,
                        (size_t)(rule->text.ptr - reader->line.ptr),
                        rule->text, "cold of at most slots");
  return 0;
}

/* Parses the rule at the current position into RULE.  */
static int
read_rule (struct reader *reader, struct rul_rule *rule)
{
  size_t start = reader->pos;
  int rc;

  *rule = (struct rul_rule){ .line = reader->number };
  rc = read_kind (reader, &rule->kind);
  if (rc < 0)
    return rc;
  rul_set_defaults (rule);
  rc = read_name (reader, rule->kind, &rule->name);
  if (rc < 0)
    return rc;
  rc = read_settings (reader, rule);
  if (rc < 0)
    return rc;
  rule->text = rw_str_trim (
      (struct rw_str){ reader->line.ptr + start, reader->pos - start });
  rc = complete_settings (reader, rule);
  if (rc < 0)
    return rc;
  return read_comment (reader, rule);
}

/* Parses one line and adds its rule, if any, to TABLE.  */
static int
read_line (struct reader *reader, struct rul_table *table)
{
  struct rul_rule *rule;
  char expected[64];
  int rc = check_characters (reader);

  if (rc < 0)
    return rc;
  skip_blanks (reader);
  if (reader->pos == reader->line.len || reader->line.ptr[reader->pos] == '#')
    return 0;
  rule = &table->rules[table->rule_count];
  rc = read_rule (reader, rule);
  if (rc < 0)
    return rc;
  if (!rul_index_add (table, table->rule_count))
    {
      const struct rul_rule *first = rul_find (table, rule->kind, rule->name);

      snprintf (expected, sizeof expected,
                "one rule for this name (the first is on line %d)",
                first->line);
      return parse_error (reader, RW_E_PARSE,
                          (size_t)(rule->name.ptr - reader->line.ptr),
                          rule->name, expected);
    }
  table->rule_count++;
  return 0;
}

/* Returns the number of lines that are neither blank nor only a comment, an
   upper bound of the number of rules.  */
static size_t
count_rule_lines (struct rw_str text)
{
  size_t lines = 0;
  bool at_start = true;

  for (size_t i = 0; i < text.len; i++)
    {
      char c = text.ptr[i];

      if (at_start && c != '\n' && c != '\r' && !is_blank (c))
        {
          lines += c != '#';
          at_start = false;
        }
      if (c == '\n')
        at_start = true;
    }
  return lines;
}

/* Returns the next line of REST without its LF or CR LF and removes it from
   REST.  */
static struct rw_str
next_line (struct rw_str *rest)
{
  const char *end = memchr (rest->ptr, '\n', rest->len);
  struct rw_str line = *rest;

  if (end != NULL)
    line.len = (size_t)(end - rest->ptr);
  rest->ptr += line.len + (end != NULL);
  rest->len -= line.len + (end != NULL);
  if (line.len > 0 && line.ptr[line.len - 1] == '\r')
    line.len--;
  return line;
}

/* Parses a copy of the document TEXT into TABLE, which need not be
   initialised.  The document is accepted or rejected as a whole.  Returns 0,
   and the caller frees TABLE with rul_finish, or RW_E_PARSE or RW_E_RANGE with
   ERROR filled and TABLE empty and without memory.  */
int
rul_parse (struct rul_table *table, struct rw_str text,
           struct rul_error *error)
{
  struct reader reader = { .error = error };
  size_t lines = count_rule_lines (text);
  struct rw_str rest;
  int rc = 0;

  rul_init (table);
  *error = (struct rul_error){ .line = 0 };
  if (text.len > RUL_TEXT_MAX)
    {
      reader.number = 1;
      return parse_error (&reader, RW_E_RANGE, 0, RW_LIT (""),
                          "a document of at most 1 MB");
    }
  rest = rw_arena_str (&table->arena, text);
  table->rules = rw_arena_zalloc (&table->arena, lines, sizeof *table->rules);
  rul_index_init (table, lines);
  while (rc == 0 && rest.len > 0)
    {
      reader.line = next_line (&rest);
      reader.pos = 0;
      reader.number++;
      rc = read_line (&reader, table);
    }
  if (rc < 0)
    rul_finish (table);
  return rc;
}

/* Writes "line L, column C: expected ..., found ..." to BUF, cut to SIZE bytes
   with the final null, and returns a view of it.  */
struct rw_str
rul_error_format (const struct rul_error *error, char *buf, size_t size)
{
  int len;

  if (error->found[0] != '\0')
    len = snprintf (buf, size, "line %d, column %d: expected %s, found '%s'",
                    error->line, error->column, error->expected, error->found);
  else
    len = snprintf (buf, size, "line %d, column %d: expected %s", error->line,
                    error->column, error->expected);
  if (len < 0)
    return RW_LIT ("");
  return (struct rw_str){ buf, (size_t)len < size ? (size_t)len : size - 1 };
}
