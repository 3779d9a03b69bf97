#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "lint.h"

#define ARENA_BLOCK_BYTES 16384
#define INITIAL_CAP 16
/* Longer messages are formatted on the heap.  */
#define MESSAGE_BYTES 512

void
lin_init (struct lin_findings *findings, size_t max_errors, size_t max_others)
{
  memset (findings, 0, sizeof *findings);
  rw_arena_init (&findings->arena, ARENA_BLOCK_BYTES);
  rw_buf_init (&findings->scratch);
  for (size_t i = 0; i < LIN_SEVERITIES; i++)
    findings->max[i] = i == LIN_ERROR ? max_errors : max_others;
}

void
lin_finish (struct lin_findings *findings)
{
  rw_arena_finish (&findings->arena);
  rw_buf_finish (&findings->scratch);
  free (findings->list);
}

/* Whether FIELD can stand in a path without quotes.  */
static bool
is_word (const char *field)
{
  const char *c = field;
  while ((*c >= 'a' && *c <= 'z') || (*c >= 'A' && *c <= 'Z')
         || (*c >= '0' && *c <= '9') || *c == '_' || *c == '-')
    c++;
  return c > field && *c == '\0';
}

static void
write_field (const char *field, bool is_first, struct rw_buf *out)
{
  if (is_word (field))
    {
      if (!is_first)
        rw_buf_append (out, ".", 1);
      rw_buf_append (out, field, strlen (field));
      return;
    }
  rw_buf_append (out, "[\"", 2);
  for (const char *c = field; *c != '\0'; c++)
    {
      if (*c == '"' || *c == '\\')
        rw_buf_append (out, "\\", 1);
      rw_buf_append (out, c, 1);
    }
  rw_buf_append (out, "\"]", 2);
}

void
lin_write_path (const struct lin_path *path, struct rw_buf *out)
{
  const struct lin_path *chain[LIN_PATH_DEPTH];
  size_t depth = 0;
  for (; path != NULL && depth < LIN_PATH_DEPTH; path = path->parent)
    chain[depth++] = path;
  for (size_t i = depth; i-- > 0;)
    if (chain[i]->field != NULL)
      write_field (chain[i]->field, i + 1 == depth, out);
    else
      rw_buf_printf (out, "[%zu]", chain[i]->index);
}

/* Returns a copy of TEXT with '?' in place of each control character: names of
   a document end up in lines of logs and on terminals.  */
static struct rw_str
copy_text (struct rw_arena *arena, struct rw_str text)
{
  char *copy = rw_arena_alloc (arena, text.len + 1);
  if (text.len > 0)
    memcpy (copy, text.ptr, text.len);
  copy[text.len] = '\0';
  for (char *c = copy; c < copy + text.len; c++)
    if ((unsigned char)*c < ' ' || *c == 0x7f)
      *c = '?';
  return (struct rw_str){ copy, text.len };
}

static void
store (struct lin_findings *findings, enum lin_severity severity,
       struct rw_str path, struct rw_str message, size_t offset)
{
  if (findings->len == findings->cap)
    {
      findings->cap = findings->cap > 0 ? 2 * findings->cap : INITIAL_CAP;
      findings->list = rw_xrealloc (findings->list,
                                    findings->cap * sizeof *findings->list);
    }
  findings->list[findings->len++]
      = (struct lin_finding){ severity, copy_text (&findings->arena, path),
                              copy_text (&findings->arena, message), offset };
}

void
lin_add (struct lin_findings *findings, enum lin_severity severity,
         const struct lin_path *path, const char *fmt, ...)
{
  struct rw_buf *text = &findings->scratch;
  char buf[MESSAGE_BYTES];
  char *message = buf;
  va_list args;
  if (findings->count[severity]++ >= findings->max[severity])
    return;
  va_start (args, fmt);
  int len = vsnprintf (buf, sizeof buf, fmt, args);
  va_end (args);
  if (len >= (int)sizeof buf)
    {
      va_start (args, fmt);
      len = vasprintf (&message, fmt, args);
      va_end (args);
    }
  if (len < 0)
    return;
  text->len = 0;
  lin_write_path (path, text);
  store (findings, severity, rw_buf_str (text),
         (struct rw_str){ message, (size_t)len }, LIN_NO_OFFSET);
  if (message != buf)
    free (message);
}

void
lin_add_at (struct lin_findings *findings, enum lin_severity severity,
            size_t offset, const char *message)
{
  if (findings->count[severity]++ < findings->max[severity])
    store (findings, severity, RW_LIT (""), rw_str_from (message), offset);
}

void
lin_write (const struct lin_finding *finding, struct rw_buf *out)
{
  if (finding->path.len > 0)
    {
      rw_buf_append_str (out, finding->path);
      rw_buf_append (out, ": ", 2);
    }
  rw_buf_append_str (out, finding->message);
}

void
lin_write_key (const struct org_digest *digest, char *text)
{
  char whole[ORG_DIGEST_TEXT_BYTES + 1];
  org_write_digest (digest, whole);
  memcpy (text, whole, LIN_KEY_TEXT_BYTES - 1);
  text[LIN_KEY_TEXT_BYTES - 1] = '\0';
}
