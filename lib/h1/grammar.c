#include <string.h>

#include "h1.h"

void
h1_grammar_init (struct h1_grammar *grammar, bool is_reply)
{
  memset (grammar, 0, sizeof *grammar);
  grammar->state = is_reply ? H1_GRAMMAR_STATUS_LINE : H1_GRAMMAR_REQUEST_LINE;
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
      grammar->failed = !take_head (grammar, c);
      at++;
    }
  return at;
}

void
h1_grammar_begin_body (struct h1_grammar *grammar)
{
  grammar->state = H1_GRAMMAR_BODY;
}
