#include "fuzz.h"
#include "lint.h"

/* The input is a path, a newline and a text.  */
int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rw_str text = { (const char *)data, size };
  struct rw_str path = { text.ptr, 0 };
  struct lin_text index;
  while (path.len < size && text.ptr[path.len] != '\n')
    path.len++;
  size_t start = path.len < size ? path.len + 1 : size;
  text = (struct rw_str){ text.ptr + start, size - start };
  lin_text_init (&index, text);
  size_t offset = lin_text_find (&index, path);
  FUZZ_CHECK (offset <= text.len);
  /* What was remembered by the first search does not change the second.  */
  (void)lin_text_find (&index, RW_LIT ("a[1].b"));
  FUZZ_CHECK (lin_text_find (&index, path) == offset);
  struct lin_place place = lin_text_place (&index, offset);
  size_t line = 1;
  size_t column = 1;
  for (size_t i = 0; i < offset; i++)
    {
      column = text.ptr[i] == '\n' ? 1 : column + 1;
      line += text.ptr[i] == '\n';
    }
  FUZZ_CHECK (place.line == line && place.column == column);
  lin_text_finish (&index);
  return 0;
}

FUZZ_SAMPLES ("a[1].b\n{\"a\":[7,\n{\"b\":\"x\\\"\"},[[]]],\"c\":{}}",
              "c[\"d e\"][0]\n{\"c\":{\"d e\":[true],\n\"\\u0061\":null}}")
