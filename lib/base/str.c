#include "base.h"

#include <errno.h>
#include <string.h>

/* Returns a view of the NUL-terminated CSTR, whose bytes still belong to its
   owner.  The view is empty if CSTR is null.  */
struct rw_str
rw_str_from (const char *cstr)
{
  return (struct rw_str){ cstr, cstr != NULL ? strlen (cstr) : 0 };
}

/* Returns whether A and B have the same bytes.  */
bool
rw_str_eq (struct rw_str a, struct rw_str b)
{
  return a.len == b.len && (a.len == 0 || memcmp (a.ptr, b.ptr, a.len) == 0);
}

/* Returns whether A equals the NUL-terminated B.  */
bool
rw_str_eq_cstr (struct rw_str a, const char *b)
{
  return rw_str_eq (a, rw_str_from (b));
}

/* Compares bytewise; a prefix sorts before the longer string.  Returns a
   negative number, 0 or a positive number, as memcmp does.  */
int
rw_str_cmp (struct rw_str a, struct rw_str b)
{
  size_t common = a.len < b.len ? a.len : b.len;
  int order = common != 0 ? memcmp (a.ptr, b.ptr, common) : 0;

  if (order != 0)
    return order;
  return a.len < b.len ? -1 : a.len > b.len;
}

/* Returns whether S begins with PREFIX.  */
bool
rw_str_starts (struct rw_str s, struct rw_str prefix)
{
  return s.len >= prefix.len
         && rw_str_eq ((struct rw_str){ s.ptr, prefix.len }, prefix);
}

static bool
is_blank (char c)
{
  return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

/* Returns S without blanks, tabs and line ends at either end.  */
struct rw_str
rw_str_trim (struct rw_str s)
{
  while (s.len > 0 && is_blank (s.ptr[0]))
    {
      s.ptr++;
      s.len--;
    }
  while (s.len > 0 && is_blank (s.ptr[s.len - 1]))
    s.len--;
  return s;
}

/* Skips leading SEPARATORS of *REST, and returns the bytes up to the next
   separator and removes them from *REST.  The token is empty when no more is
   left.  */
struct rw_str
rw_str_token (struct rw_str *rest, const char *separators)
{
  struct rw_str token;

  while (rest->len > 0 && strchr (separators, rest->ptr[0]) != NULL
         && rest->ptr[0] != '\0')
    {
      rest->ptr++;
      rest->len--;
    }
  token = (struct rw_str){ rest->ptr, 0 };
  while (
      rest->len > 0
      && (rest->ptr[0] == '\0' || strchr (separators, rest->ptr[0]) == NULL))
    {
      token.len++;
      rest->ptr++;
      rest->len--;
    }
  return token;
}

/* Parses all of S as a decimal integer from MIN to MAX.  A leading "-" is
   allowed, a "+" or blanks are not.  Returns 0, RW_E_PARSE or RW_E_RANGE;
   *VALUE is set on success only.  */
int
rw_str_to_int (struct rw_str s, int64_t min, int64_t max, int64_t *value)
{
  int64_t number = 0;
  bool negative = s.len > 0 && s.ptr[0] == '-';
  size_t i = negative ? 1 : 0;

  if (i == s.len)
    return RW_E_PARSE;
  for (; i < s.len; i++)
    {
      if (s.ptr[i] < '0' || s.ptr[i] > '9')
        return RW_E_PARSE;
      if (number > (INT64_MAX - 9) / 10)
        return RW_E_RANGE;
      number = number * 10 + (s.ptr[i] - '0');
    }
  if (negative)
    number = -number;
  if (number < min || number > max)
    return RW_E_RANGE;
  *value = number;
  return 0;
}

/* Parses a duration such as "61ms" or "2s", from 1 ms to one hour.  Returns 0
   and sets *VALUE, in microseconds, or returns RW_E_PARSE or RW_E_RANGE.  */
int
rw_str_to_duration (struct rw_str s, rw_time *value)
{
  rw_time unit;
  int64_t number;
  int rc;

  if (s.len > 2 && s.ptr[s.len - 2] == 'm' && s.ptr[s.len - 1] == 's')
    {
      unit = RW_MSEC;
      s.len -= 2;
    }
  else if (s.len > 1 && s.ptr[s.len - 1] == 's')
    {
      unit = RW_SEC;
      s.len -= 1;
    }
  else
    return RW_E_PARSE;
  rc = rw_str_to_int (s, 1, 3600 * RW_SEC / unit, &number);
  if (rc < 0)
    return rc;
  *value = number * unit;
  return 0;
}

/* Copies S to DST of SIZE bytes, at least 1, with a final NUL and cut to fit.
   Returns the number of bytes copied, without the NUL.  */
size_t
rw_str_copy (char *dst, size_t size, struct rw_str s)
{
  size_t n = s.len < size ? s.len : size - 1;

  if (n > 0)
    memcpy (dst, s.ptr, n);
  dst[n] = '\0';
  return n;
}
