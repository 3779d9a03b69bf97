#include <stdlib.h>
#include <string.h>

#include "lint.h"

#define INITIAL_CAP 64
#define NO_KEY SIZE_MAX
/* Longer names of fields are not found if they have escapes.  */
#define NAME_MAX_BYTES 256
/* More structure than node numbers can count is left out.  */
#define MAX_NODES (UINT32_MAX - 1)

/* Searches of one object in a row before its fields are mapped: most objects
   are small, and searched for one or two fields.  */
#define MAX_WALKS 4

/* The node 0 stands around the text; its child is the document.  */
#define OUTSIDE 0

/* Adds a value that starts at START, named by the string at KEY, to the node
   PARENT.  Returns its number, or OUTSIDE if there are too many.  */
static uint32_t
add_node (struct lin_text *index, uint32_t parent, size_t start, size_t key)
{
  if (index->len >= MAX_NODES)
    return OUTSIDE;
  if (index->len == index->cap)
    {
      index->cap = index->cap > 0 ? 2 * index->cap : INITIAL_CAP;
      index->nodes
          = rw_xrealloc (index->nodes, index->cap * sizeof *index->nodes);
    }
  uint32_t number = (uint32_t)index->len++;
  index->nodes[number] = (struct lin_node){ start, key, parent, 0, 0, 0 };
  if (number == OUTSIDE)
    return number;
  struct lin_node *around = &index->nodes[parent];
  if (around->first_child == 0)
    around->first_child = number;
  else
    index->nodes[around->last_child].next = number;
  around->last_child = number;
  return number;
}

static void
add_line (struct lin_text *index, size_t start)
{
  if (index->line_count == index->line_cap)
    {
      index->line_cap
          = index->line_cap > 0 ? 2 * index->line_cap : INITIAL_CAP;
      index->lines
          = rw_xrealloc (index->lines, index->line_cap * sizeof *index->lines);
    }
  index->lines[index->line_count++] = start;
}

/* Returns the offset after the string whose opening quote is at I.  */
static size_t
skip_string (struct rw_str text, size_t i)
{
  for (i++; i < text.len && text.ptr[i] != '"'; i++)
    if (text.ptr[i] == '\\')
      i++;
  return i < text.len ? i + 1 : text.len;
}

/* Returns the offset after the number or word at I.  */
static size_t
skip_word (struct rw_str text, size_t i)
{
  while (i < text.len && strchr (" \t\r\n,:{}[]\"", text.ptr[i]) == NULL)
    i++;
  return i;
}

static bool
is_kind (const struct lin_text *index, uint32_t node, char bracket)
{
  return node != OUTSIDE
         && index->text.ptr[index->nodes[node].start] == bracket;
}

static void
read_structure (struct lin_text *index)
{
  struct rw_str text = index->text;
  uint32_t around = add_node (index, OUTSIDE, 0, NO_KEY);
  size_t key = NO_KEY;
  size_t i = 0;
  while (i < text.len)
    {
      size_t start = i;
      uint32_t node;
      switch (text.ptr[i])
        {
        case '\0':
        case ' ':
        case '\t':
        case '\r':
        case '\n':
        case ',':
        case ':':
          i++;
          continue;
        case '}':
        case ']':
          around = index->nodes[around].parent;
          key = NO_KEY;
          i++;
          continue;
        case '{':
        case '[':
          node = add_node (index, around, start, key);
          /* Beyond MAX_NODES nothing more is read.  */
          if (node == OUTSIDE)
            return;
          around = node;
          i++;
          break;
        case '"':
          i = skip_string (text, i);
          if (key == NO_KEY && is_kind (index, around, '{'))
            {
              key = start;
              continue;
            }
          (void)add_node (index, around, start, key);
          break;
        default:
          i = skip_word (text, i);
          (void)add_node (index, around, start, key);
          break;
        }
      key = NO_KEY;
    }
}

void
lin_text_init (struct lin_text *index, struct rw_str text)
{
  memset (index, 0, sizeof *index);
  index->text = text;
  add_line (index, 0);
  for (size_t i = 0; i < text.len; i++)
    if (text.ptr[i] == '\n')
      add_line (index, i + 1);
  read_structure (index);
}

void
lin_text_finish (struct lin_text *index)
{
  for (size_t i = 0; i < LIN_PATH_DEPTH; i++)
    {
      free (index->last[i].elements);
      rw_map_finish (&index->last[i].fields);
    }
  free (index->nodes);
  free (index->lines);
}

/* Returns the value of the four hexadecimal digits at TEXT, or -1.  */
static int
hex_value (const char *text)
{
  int value = 0;
  for (size_t i = 0; i < 4; i++)
    {
      char c = text[i];
      int digit = -1;
      if (c >= '0' && c <= '9')
        digit = c - '0';
      else if ((c | 32) >= 'a' && (c | 32) <= 'f')
        digit = (c | 32) - 'a' + 10;
      if (digit < 0)
        return -1;
      value = value * 16 + digit;
    }
  return value;
}

/* Decodes the escape sequence at *I of TEXT and moves *I behind it.  Returns
   the character, or -1 if it is none or not in ASCII.  */
static int
decode_escape (struct rw_str text, size_t *i)
{
  static const char from[] = "\"\\/bfnrt";
  static const char to[] = "\"\\/\b\f\n\r\t";
  if (*i + 1 >= text.len)
    return -1;
  char c = text.ptr[*i + 1];
  if (c == 'u' && *i + 6 <= text.len)
    {
      int value = hex_value (text.ptr + *i + 2);
      *i += 6;
      return value > 0 && value < 128 ? value : -1;
    }
  const char *found = c != '\0' ? strchr (from, c) : NULL;
  *i += 2;
  return found != NULL ? to[found - from] : -1;
}

/* Sets *NAME to the name of the node NUMBER, decoded into BUF if it has
   escapes.  Returns false if it has none, or one that is not decoded.  */
static bool
read_name (const struct lin_text *index, uint32_t number,
           char buf[NAME_MAX_BYTES], struct rw_str *name)
{
  size_t key = index->nodes[number].key;
  size_t len = 0;
  if (key == NO_KEY)
    return false;
  size_t end = skip_string (index->text, key);
  struct rw_str raw = { index->text.ptr + key + 1, end - key - 1 };
  if (raw.len > 0 && raw.ptr[raw.len - 1] == '"')
    raw.len--;
  *name = raw;
  if (raw.len == 0 || memchr (raw.ptr, '\\', raw.len) == NULL)
    return true;
  for (size_t i = 0; i < raw.len;)
    {
      int c = (unsigned char)raw.ptr[i];
      if (c == '\\')
        c = decode_escape (raw, &i);
      else
        i++;
      if (c < 0 || len == NAME_MAX_BYTES)
        return false;
      buf[len++] = (char)c;
    }
  *name = (struct rw_str){ buf, len };
  return true;
}

/* Returns the last field NAME of the object NODE, which is the one that counts
   if there are several, or OUTSIDE.  */
static uint32_t
find_field (const struct lin_text *index, uint32_t node, struct rw_str name)
{
  uint32_t found = OUTSIDE;
  char buf[NAME_MAX_BYTES];
  struct rw_str other;
  if (!is_kind (index, node, '{'))
    return OUTSIDE;
  for (uint32_t i = index->nodes[node].first_child; i != 0;
       i = index->nodes[i].next)
    if (read_name (index, i, buf, &other) && rw_str_eq (other, name))
      found = i;
  return found;
}

/* Maps the names of the fields of the object NODE to their last nodes.  */
static void
map_fields (const struct lin_text *index, uint32_t node, struct rw_map *map)
{
  char buf[NAME_MAX_BYTES];
  struct rw_str name;
  if (!is_kind (index, node, '{'))
    return;
  for (uint32_t i = index->nodes[node].first_child; i != 0;
       i = index->nodes[i].next)
    if (read_name (index, i, buf, &name))
      rw_map_put (map, rw_hash (name), (void *)(uintptr_t)i);
}

/* A step of a path.  */
struct step
{
  bool is_element;
  size_t number;
  struct rw_str field;
};

/* Takes the first step from PATH.  Returns false if there is none, or no valid
   one.  A quoted field with escapes is not found.  */
static bool
take_step (struct rw_str *path, struct step *step)
{
  size_t len = 0;
  memset (step, 0, sizeof *step);
  if (path->len > 0 && path->ptr[0] == '.')
    *path = (struct rw_str){ path->ptr + 1, path->len - 1 };
  if (path->len == 0)
    return false;
  if (path->ptr[0] != '[')
    {
      while (len < path->len && path->ptr[len] != '.' && path->ptr[len] != '[')
        len++;
      step->field = (struct rw_str){ path->ptr, len };
      *path = (struct rw_str){ path->ptr + len, path->len - len };
      return true;
    }
  bool quoted = path->len > 1 && path->ptr[1] == '"';
  size_t start = quoted ? 2 : 1;
  size_t end = start;
  while (end < path->len && path->ptr[end] != (quoted ? '"' : ']'))
    end++;
  struct rw_str inner = { path->ptr + start, end - start };
  size_t used = end + (quoted ? 2 : 1);
  if (used > path->len)
    return false;
  *path = (struct rw_str){ path->ptr + used, path->len - used };
  step->field = inner;
  step->is_element = !quoted;
  int64_t number = 0;
  if (!quoted && rw_str_to_int (inner, 0, UINT32_MAX, &number) != 0)
    return false;
  step->number = (size_t)number;
  return true;
}

/* Makes NODE the one that is searched at DEPTH, and lists its elements if it
   is an array.  */
static void
enter (struct lin_text *index, uint32_t node, size_t depth)
{
  if (index->last[depth].parent == node)
    return;
  index->last[depth].parent = node;
  index->last[depth].node = OUTSIDE;
  index->last[depth].element_count = 0;
  index->last[depth].searches = 0;
  rw_map_finish (&index->last[depth].fields);
  if (!is_kind (index, node, '['))
    return;
  for (uint32_t i = index->nodes[node].first_child; i != 0;
       i = index->nodes[i].next)
    {
      size_t count = index->last[depth].element_count++;
      if (count == index->last[depth].element_cap)
        {
          index->last[depth].element_cap = count > 0 ? 2 * count : INITIAL_CAP;
          index->last[depth].elements = rw_xrealloc (
              index->last[depth].elements,
              index->last[depth].element_cap * sizeof (uint32_t));
        }
      index->last[depth].elements[count] = i;
    }
}

/* Returns the field NAME of the object NODE, which is entered at DEPTH, or
   OUTSIDE.  The first searches of an object walk through it; further ones use
   a map of its fields.  */
static uint32_t
search (struct lin_text *index, uint32_t node, size_t depth,
        struct rw_str name)
{
  struct rw_map *fields = &index->last[depth].fields;
  if (index->last[depth].searches < MAX_WALKS)
    {
      index->last[depth].searches++;
      return find_field (index, node, name);
    }
  if (fields->len == 0)
    map_fields (index, node, fields);
  return (uint32_t)(uintptr_t)rw_map_get (fields, rw_hash (name));
}

/* Returns the node that STEP leads to from NODE, at DEPTH of the path, or
   OUTSIDE.  */
static uint32_t
follow (struct lin_text *index, uint32_t node, size_t depth,
        const struct step *step)
{
  enter (index, node, depth);
  if (step->is_element)
    return step->number < index->last[depth].element_count
               ? index->last[depth].elements[step->number]
               : OUTSIDE;
  if (index->last[depth].node == OUTSIDE
      || !rw_str_eq (index->last[depth].field, step->field))
    {
      index->last[depth].node = search (index, node, depth, step->field);
      index->last[depth].field = step->field;
    }
  return index->last[depth].node;
}

size_t
lin_text_find (struct lin_text *index, struct rw_str path)
{
  uint32_t node = index->nodes[OUTSIDE].first_child;
  struct step step;
  for (size_t depth = 0;
       depth < LIN_PATH_DEPTH && node != OUTSIDE && take_step (&path, &step);
       depth++)
    {
      uint32_t found = follow (index, node, depth, &step);
      if (found == OUTSIDE)
        break;
      node = found;
    }
  return node != OUTSIDE ? index->nodes[node].start : 0;
}

struct lin_place
lin_text_place (const struct lin_text *index, size_t offset)
{
  size_t low = 0;
  size_t high = index->line_count;
  if (offset > index->text.len)
    offset = index->text.len;
  /* The line LOW starts at or before the offset, the line HIGH after it.  */
  while (high - low > 1)
    {
      size_t middle = low + (high - low) / 2;
      if (index->lines[middle] <= offset)
        low = middle;
      else
        high = middle;
    }
  return (struct lin_place){ low + 1, offset - index->lines[low] + 1 };
}
