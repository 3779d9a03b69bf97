#include <string.h>

#include "h1.h"

/* Bytes of chunk extensions and leading zeros of sizes that are accepted in
   one message: they carry no content, so a limit of bodies does not hold
   them.  */
#define MAX_CHUNK_PADDING 65536
#define MAX_SIZE_DIGITS 16 /* of 64 bits */

void
h1_grammar_init (struct h1_grammar *grammar, bool is_reply)
{
  memset (grammar, 0, sizeof *grammar);
  grammar->state = is_reply ? H1_GRAMMAR_STATUS_LINE : H1_GRAMMAR_REQUEST_LINE;
}

static bool
is_blank (unsigned char c)
{
  return c == ' ' || c == '\t';
}

/* HTAB, SP, VCHAR and obs-text.  */
static bool
is_text (unsigned char c)
{
  return c == '\t' || (c >= ' ' && c != 0x7f);
}

static bool
is_digit (unsigned char c)
{
  return c >= '0' && c <= '9';
}

/* tchar of RFC 9110, section 5.6.2.  */
static bool
is_token (unsigned char c)
{
  return is_digit (c) || (c >= 'A' && c <= 'Z') || (c >= 'a' && c <= 'z')
         || (c != '\0' && strchr ("!#$%&'*+-.^_`|~", c) != NULL);
}

/* Returns the value of a hexadecimal digit, or -1.  */
static int
hex_value (unsigned char c)
{
  if (is_digit (c))
    return c - '0';
  if (c >= 'A' && c <= 'F')
    return c - 'A' + 10;
  if (c >= 'a' && c <= 'f')
    return c - 'a' + 10;
  return -1;
}

static bool
go_to (struct h1_grammar *grammar, enum h1_grammar_state state)
{
  grammar->state = state;
  return true;
}

/* Goes to NEXT after a line feed, to AFTER_CR after a carriage return. Returns
   false for any other byte.  A sender may end its lines with a line feed
   alone, but then all of them: a line feed among other line ends is a stray
   byte.  */
static bool
end_line (struct h1_grammar *grammar, unsigned char c,
          enum h1_grammar_state after_cr, enum h1_grammar_state next)
{
  enum h1_line_end end = c == '\r' ? H1_LINE_END_CRLF : H1_LINE_END_LF;
  if (c != '\r' && c != '\n')
    return false;
  if (grammar->line_end == H1_LINE_END_UNKNOWN)
    grammar->line_end = end;
  return grammar->line_end == end
         && go_to (grammar, c == '\r' ? after_cr : next);
}

/* Takes C up to the status code: the version, of which the minor number is
   free, and three digits, of which the first is a class of RFC 9110.  */
static bool
take_status_code (struct h1_grammar *grammar, unsigned char c)
{
  static const char form[] = "HTTP/1.0 100";
  static const size_t minor = 7;
  static const size_t class = 9;
  size_t at = grammar->position++;
  if (grammar->position == sizeof form - 1)
    grammar->state = H1_GRAMMAR_STATUS_END;
  if (at == class)
    return c >= '1' && c <= '5';
  return at == minor || at > class ? is_digit (c) : c == form[at];
}

/* Takes C of a request line, which the parser checks.  */
static bool
take_request_line (struct h1_grammar *grammar, unsigned char c)
{
  if (c == '\n' && grammar->position > 0)
    return go_to (grammar, H1_GRAMMAR_FIELD);
  /* Empty lines before a request are ignored.  */
  if (c != '\r' && c != '\n')
    grammar->position = 1;
  return true;
}

/* Takes C of a start line or of a field.  */
static bool
take_head (struct h1_grammar *grammar, unsigned char c)
{
  switch (grammar->state)
    {
    case H1_GRAMMAR_REQUEST_LINE:
      return take_request_line (grammar, c);
    case H1_GRAMMAR_STATUS_LINE:
      return take_status_code (grammar, c);
    case H1_GRAMMAR_STATUS_END:
      /* Recipients may ignore that the space is missing.  */
      return (c == ' ' && go_to (grammar, H1_GRAMMAR_REASON))
             || end_line (grammar, c, H1_GRAMMAR_LINE_LF, H1_GRAMMAR_FIELD);
    case H1_GRAMMAR_REASON:
    case H1_GRAMMAR_VALUE:
      return is_text (c)
             || end_line (grammar, c, H1_GRAMMAR_LINE_LF, H1_GRAMMAR_FIELD);
    case H1_GRAMMAR_LINE_LF:
      return c == '\n' && go_to (grammar, H1_GRAMMAR_FIELD);
    case H1_GRAMMAR_FIELD:
      return (is_token (c) && go_to (grammar, H1_GRAMMAR_NAME))
             || end_line (grammar, c, H1_GRAMMAR_FIELDS_LF,
                          H1_GRAMMAR_FIELDS_END);
    case H1_GRAMMAR_NAME:
      return is_token (c) || (c == ':' && go_to (grammar, H1_GRAMMAR_VALUE));
    case H1_GRAMMAR_FIELDS_LF:
      return c == '\n' && go_to (grammar, H1_GRAMMAR_FIELDS_END);
    default:
      return false;
    }
}

/* Counts a byte that carries no content.  */
static bool
count_padding (struct h1_grammar *grammar)
{
  return ++grammar->padding <= MAX_CHUNK_PADDING;
}

/* Takes C as a digit of a chunk's size.  */
static bool
take_size_digit (struct h1_grammar *grammar, unsigned char c)
{
  int value = hex_value (c);
  if (value < 0)
    return false;
  if (value == 0 && grammar->chunk_left == 0)
    return count_padding (grammar);
  grammar->chunk_left = grammar->chunk_left * 16 + (uint64_t)value;
  return ++grammar->size_digits <= MAX_SIZE_DIGITS;
}

/* Takes C after the size of a chunk or an extension.  */
static bool
take_size_end (struct h1_grammar *grammar, unsigned char c)
{
  return (is_blank (c) && go_to (grammar, H1_GRAMMAR_SIZE_BLANK))
         || (c == ';' && go_to (grammar, H1_GRAMMAR_EXTENSION))
         || (c == '\r' && go_to (grammar, H1_GRAMMAR_SIZE_LF));
}

/* Takes C of a chunk extension: a name, "=" and a token or a quoted string,
   with blanks around each.  */
static bool
take_extension (struct h1_grammar *grammar, unsigned char c)
{
  switch (grammar->state)
    {
    case H1_GRAMMAR_SIZE_BLANK:
      return is_blank (c)
             || (c == ';' && go_to (grammar, H1_GRAMMAR_EXTENSION));
    case H1_GRAMMAR_EXTENSION:
      return is_blank (c)
             || (is_token (c) && go_to (grammar, H1_GRAMMAR_EXTENSION_NAME));
    case H1_GRAMMAR_EXTENSION_NAME:
      return is_token (c)
             || (is_blank (c) && go_to (grammar, H1_GRAMMAR_EXTENSION_BLANK))
             || (c == '=' && go_to (grammar, H1_GRAMMAR_EXTENSION_EQUALS))
             || take_size_end (grammar, c);
    case H1_GRAMMAR_EXTENSION_BLANK:
      return is_blank (c)
             || (c == '=' && go_to (grammar, H1_GRAMMAR_EXTENSION_EQUALS))
             || (c == ';' && go_to (grammar, H1_GRAMMAR_EXTENSION));
    case H1_GRAMMAR_EXTENSION_EQUALS:
      return is_blank (c) || (c == '"' && go_to (grammar, H1_GRAMMAR_QUOTED))
             || (is_token (c) && go_to (grammar, H1_GRAMMAR_EXTENSION_VALUE));
    case H1_GRAMMAR_EXTENSION_VALUE:
      return is_token (c) || take_size_end (grammar, c);
    case H1_GRAMMAR_QUOTED:
      if (c == '\\')
        return go_to (grammar, H1_GRAMMAR_QUOTED_PAIR);
      if (c == '"')
        return go_to (grammar, H1_GRAMMAR_QUOTED_END);
      return is_text (c);
    case H1_GRAMMAR_QUOTED_PAIR:
      return is_text (c) && go_to (grammar, H1_GRAMMAR_QUOTED);
    case H1_GRAMMAR_QUOTED_END:
      return take_size_end (grammar, c);
    default:
      return false;
    }
}

/* Takes C of the lines of a chunk.  */
static bool
take_chunk (struct h1_grammar *grammar, unsigned char c)
{
  switch (grammar->state)
    {
    case H1_GRAMMAR_SIZE:
      grammar->chunk_left = 0;
      grammar->size_digits = 0;
      return take_size_digit (grammar, c)
             && go_to (grammar, H1_GRAMMAR_SIZE_DIGITS);
    case H1_GRAMMAR_SIZE_DIGITS:
      return hex_value (c) >= 0 ? take_size_digit (grammar, c)
                                : take_size_end (grammar, c);
    case H1_GRAMMAR_SIZE_LF:
      return c == '\n'
             && go_to (grammar, grammar->chunk_left > 0 ? H1_GRAMMAR_DATA
                                                        : H1_GRAMMAR_FIELD);
    case H1_GRAMMAR_DATA_CR:
      return c == '\r' && go_to (grammar, H1_GRAMMAR_DATA_LF);
    case H1_GRAMMAR_DATA_LF:
      return c == '\n' && go_to (grammar, H1_GRAMMAR_SIZE);
    default:
      return take_extension (grammar, c) && count_padding (grammar);
    }
}

/* Skips the data of a chunk within LEN bytes.  Returns their number.  */
static size_t
skip_data (struct h1_grammar *grammar, size_t len)
{
  if (len > grammar->chunk_left)
    len = (size_t)grammar->chunk_left;
  grammar->chunk_left -= len;
  if (grammar->chunk_left == 0)
    grammar->state = H1_GRAMMAR_DATA_CR;
  return len;
}

size_t
h1_grammar_check (struct h1_grammar *grammar, const char *data, size_t len)
{
  size_t at = 0;
  while (at < len && !grammar->failed)
    {
      unsigned char c = (unsigned char)data[at];
      if (grammar->state == H1_GRAMMAR_FIELDS_END)
        break;
      if (grammar->state == H1_GRAMMAR_BODY)
        return len;
      if (grammar->state == H1_GRAMMAR_DATA)
        {
          at += skip_data (grammar, len - at);
          continue;
        }
      grammar->failed = grammar->state < H1_GRAMMAR_SIZE
                            ? !take_head (grammar, c)
                            : !take_chunk (grammar, c);
      at++;
    }
  return at;
}

void
h1_grammar_begin_body (struct h1_grammar *grammar, bool is_chunked)
{
  grammar->state = is_chunked ? H1_GRAMMAR_SIZE : H1_GRAMMAR_BODY;
}
