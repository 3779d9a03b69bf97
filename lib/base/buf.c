#include "base.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Prepares an empty buffer without allocating memory.  */
void
rw_buf_init (struct rw_buf *buf)
{
  *buf = (struct rw_buf){ NULL, 0, 0 };
}

/* Frees the bytes of BUF, which is then empty and may be used again.  */
void
rw_buf_finish (struct rw_buf *buf)
{
  free (buf->ptr);
  rw_buf_init (buf);
}

/* Returns the memory in bytes that BUF has once EXTRA more bytes are
   appended.  */
size_t
rw_buf_need (const struct rw_buf *buf, size_t extra)
{
  size_t cap = buf->cap != 0 ? buf->cap : 256;

  if (buf->cap - buf->len >= extra)
    return buf->cap;
  while (cap - buf->len < extra)
    cap *= 2;
  return cap;
}

/* Gives BUF room for EXTRA more bytes.  */
static void
reserve (struct rw_buf *buf, size_t extra)
{
  size_t cap = rw_buf_need (buf, extra);

  if (cap == buf->cap)
    return;
  buf->ptr = rw_xrealloc (buf->ptr, cap);
  buf->cap = cap;
}

/* Appends LEN bytes; DATA must not point into BUF.  */
void
rw_buf_append (struct rw_buf *buf, const void *data, size_t len)
{
  if (len == 0)
    return;
  reserve (buf, len);
  memcpy (buf->ptr + buf->len, data, len);
  buf->len += len;
}

/* Appends S, which must not point into BUF.  */
void
rw_buf_append_str (struct rw_buf *buf, struct rw_str s)
{
  rw_buf_append (buf, s.ptr, s.len);
}

/* Appends formatted text.  */
void
rw_buf_printf (struct rw_buf *buf, const char *fmt, ...)
{
  va_list args;
  int len;

  va_start (args, fmt);
  len = vsnprintf (NULL, 0, fmt, args);
  va_end (args);
  if (len <= 0)
    return;
  reserve (buf, (size_t)len + 1);
  va_start (args, fmt);
  vsnprintf (buf->ptr + buf->len, (size_t)len + 1, fmt, args);
  va_end (args);
  buf->len += (size_t)len;
}

/* Removes the first LEN bytes, or all if there are fewer.  */
void
rw_buf_consume (struct rw_buf *buf, size_t len)
{
  if (len >= buf->len)
    {
      buf->len = 0;
      return;
    }
  memmove (buf->ptr, buf->ptr + len, buf->len - len);
  buf->len -= len;
}

/* Returns a view of all bytes, which is valid until BUF changes.  */
struct rw_str
rw_buf_str (const struct rw_buf *buf)
{
  return (struct rw_str){ buf->ptr != NULL ? buf->ptr : "", buf->len };
}
