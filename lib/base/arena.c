#include "base.h"

#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ALIGN _Alignof(max_align_t)
#define LARGE_BLOCK_BYTES (128 * 1024)

struct rw_arena_block
{
  struct rw_arena_block *next;
  size_t size;
  size_t used;
  max_align_t data[];
};

/* Prepares ARENA to allocate blocks of at least BLOCK_SIZE bytes, or of a
   default size if BLOCK_SIZE is 0.  */
void
rw_arena_init (struct rw_arena *arena, size_t block_size)
{
  arena->head = NULL;
  arena->block_size = block_size != 0 ? block_size : 4096;
  arena->used = 0;
  arena->allocated = 0;
}

/* Frees all memory of ARENA, which may be used again afterwards.  */
void
rw_arena_finish (struct rw_arena *arena)
{
  while (arena->head != NULL)
    {
      struct rw_arena_block *next = arena->head->next;

      free (arena->head);
      arena->head = next;
    }
  arena->used = 0;
  arena->allocated = 0;
}

/* Invalidates all allocations and keeps the newest block for reuse.  */
void
rw_arena_reset (struct rw_arena *arena)
{
  struct rw_arena_block *kept = arena->head;

  if (kept == NULL)
    return;
  arena->head = kept->next;
  rw_arena_finish (arena);
  kept->next = NULL;
  kept->used = 0;
  arena->head = kept;
  arena->allocated = sizeof *kept + kept->size;
}

/* Returns SIZE bytes with the alignment of max_align_t, owned by ARENA.  */
void *
rw_arena_alloc (struct rw_arena *arena, size_t size)
{
  struct rw_arena_block *block = arena->head;
  size_t need = (size + ALIGN - 1) & ~(ALIGN - 1);
  void *ptr;

  if (block == NULL || block->size - block->used < need)
    {
      size_t room = need > arena->block_size ? need : arena->block_size;

      block = rw_xmalloc (sizeof *block + room);
      block->size = room;
      block->used = 0;
      block->next = arena->head;
      arena->head = block;
      arena->allocated += sizeof *block + room;
    }
  ptr = (char *)block->data + block->used;
  block->used += need;
  arena->used += need;
  return ptr;
}

/* Returns zeroed memory for COUNT elements of SIZE bytes, owned by ARENA.
   Aborts the process if the product is too large.  */
void *
rw_arena_zalloc (struct rw_arena *arena, size_t count, size_t size)
{
  void *ptr;

  if (size != 0 && count > SIZE_MAX / 2 / size)
    abort ();
  ptr = rw_arena_alloc (arena, count * size);
  memset (ptr, 0, count * size);
  return ptr;
}

/* Returns a copy of S in ARENA, followed by a NUL.  */
struct rw_str
rw_arena_str (struct rw_arena *arena, struct rw_str s)
{
  char *copy = rw_arena_cstr (arena, s);

  return (struct rw_str){ copy, s.len };
}

/* Returns a NUL-terminated copy of S in ARENA.  */
char *
rw_arena_cstr (struct rw_arena *arena, struct rw_str s)
{
  char *copy = rw_arena_alloc (arena, s.len + 1);

  if (s.len > 0)
    memcpy (copy, s.ptr, s.len);
  copy[s.len] = '\0';
  return copy;
}

/* Returns a formatted string in ARENA, followed by a NUL.  */
struct rw_str
rw_arena_printf (struct rw_arena *arena, const char *fmt, ...)
{
  va_list args;
  char *text;
  int len;

  va_start (args, fmt);
  len = vsnprintf (NULL, 0, fmt, args);
  va_end (args);
  if (len < 0)
    return RW_LIT ("");
  text = rw_arena_alloc (arena, (size_t)len + 1);
  va_start (args, fmt);
  vsnprintf (text, (size_t)len + 1, fmt, args);
  va_end (args);
  return (struct rw_str){ text, (size_t)len };
}

void
rw_return_large_blocks (void)
{
  (void)mallopt (M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
}

/* Returns SIZE bytes of heap memory.  Aborts the process when memory runs out,
   since a daemon cannot continue without it.  */
void *
rw_xmalloc (size_t size)
{
  void *ptr = malloc (size != 0 ? size : 1);

  if (ptr == NULL)
    abort ();
  return ptr;
}

/* Returns zeroed heap memory for COUNT elements of SIZE bytes.  */
void *
rw_xcalloc (size_t count, size_t size)
{
  void *ptr = calloc (count != 0 ? count : 1, size != 0 ? size : 1);

  if (ptr == NULL)
    abort ();
  return ptr;
}

/* Resizes heap memory to SIZE bytes and keeps its contents.  */
void *
rw_xrealloc (void *ptr, size_t size)
{
  void *grown = realloc (ptr, size != 0 ? size : 1);

  if (grown == NULL)
    abort ();
  return grown;
}
