#include <rpc/rpc.h>
#include <string.h>
#include <zlib.h>

#include "replica.h"

/* A packed transfer: the length of the XDR data as four bytes, then the data
   compressed by zlib.  The data: revision, full, count, then the items.  */
#define HEAD_SIZE 4
/* A configuration has up to 1 MB, and there may be thousands of targets.  */
#define MAX_UNPACKED (32U << 20)
#define MAX_ITEM (2U << 20)
#define MAX_KEY 512
/* Fast: the processor time of a small VM costs more than the bytes.  */
#define LEVEL 1

static size_t
item_size (const struct rep_item *item)
{
  return 5 * 4 + item->key.len + item->value.len + 8;
}

static bool_t
code_bytes (XDR *xdr, struct rw_str *s, unsigned int max)
{
  char *bytes = (char *)s->ptr;
  unsigned int len = (unsigned int)s->len;
  if (!xdr_u_int (xdr, &len) || len > max)
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    {
      bytes = (char *)xdr_inline (xdr, RNDUP (len));
      if (bytes == NULL && len > 0)
        return FALSE;
      *s = (struct rw_str){ bytes, len };
      return TRUE;
    }
  return len == 0 || xdr_opaque (xdr, bytes, len);
}

static bool_t
code_item (XDR *xdr, struct rep_item *item)
{
  bool_t removed = item->removed;
  int64_t revision = item->revision;
  if (!code_bytes (xdr, &item->key, MAX_KEY) || !xdr_int64_t (xdr, &revision)
      || !xdr_bool (xdr, &removed)
      || !code_bytes (xdr, &item->value, MAX_ITEM))
    return FALSE;
  item->removed = removed;
  item->revision = revision;
  return TRUE;
}

static bool_t
code_head (XDR *xdr, int64_t *revision, bool *full, unsigned int *count)
{
  bool_t whole = *full;
  if (!xdr_int64_t (xdr, revision) || !xdr_bool (xdr, &whole)
      || !xdr_u_int (xdr, count))
    return FALSE;
  *full = whole;
  return TRUE;
}

static bool
is_sent (const struct rep_item *item, int64_t after, bool full)
{
  return full ? !item->removed : item->revision > after;
}

static void
compress_to (struct rw_buf *out, const char *data, size_t len)
{
  uLongf size = compressBound (len);
  unsigned char *packed = rw_xmalloc (size);
  uint32_t head = htonl ((uint32_t)len);
  compress2 (packed, &size, (const unsigned char *)data, len, LEVEL);
  rw_buf_append (out, &head, HEAD_SIZE);
  rw_buf_append (out, packed, size);
  free (packed);
}

static void
pack (const struct rep_replica *replica, int64_t after, struct rw_buf *out)
{
  bool full = after < replica->purged_revision || after <= 0;
  int64_t revision = replica->revision;
  unsigned int count = 0;
  size_t size = 64;
  size_t position = 0;
  struct rep_item *item;
  XDR xdr;

  while ((item = rw_map_next (&replica->items, &position)) != NULL)
    if (is_sent (item, after, full))
      {
        count++;
        size += item_size (item);
      }
  char *data = rw_xmalloc (size);
  xdrmem_create (&xdr, data, (unsigned int)size, XDR_ENCODE);
  bool_t ok = code_head (&xdr, &revision, &full, &count);
  position = 0;
  while (ok && (item = rw_map_next (&replica->items, &position)) != NULL)
    if (is_sent (item, after, full))
      ok = code_item (&xdr, item);
  if (ok)
    compress_to (out, data, xdr_getpos (&xdr));
  free (data);
}

/* After a start of all many daemons ask for the same.  */
struct rw_str
rep_pack (struct rep_replica *replica, int64_t after)
{
  if (after < replica->purged_revision || after < 0)
    after = 0;
  if (replica->packed_change_count != replica->change_count
      || replica->packed_after != after)
    {
      replica->pack_count++;
      replica->packed.len = 0;
      pack (replica, after, &replica->packed);
      replica->packed_after = after;
      replica->packed_change_count = replica->change_count;
    }
  return rw_buf_str (&replica->packed);
}

static int
malformed (struct rw_err *err, const char *what)
{
  return rw_err_set (err, RW_E_PARSE, "transfer", RW_LIT ("peer"), "%s", what);
}

static int
decode (struct rw_arena *arena, char *data, size_t len,
        struct rep_transfer *transfer, struct rw_err *err)
{
  XDR xdr;
  unsigned int count = 0;
  memset (transfer, 0, sizeof *transfer);
  xdrmem_create (&xdr, data, (unsigned int)len, XDR_DECODE);
  if (!code_head (&xdr, &transfer->revision, &transfer->full, &count)
      || count > len / 16)
    return malformed (err, "invalid head");
  transfer->items
      = rw_arena_zalloc (arena, (size_t)count + 1, sizeof *transfer->items);
  for (transfer->count = 0; transfer->count < count; transfer->count++)
    if (!code_item (&xdr, &transfer->items[transfer->count]))
      return malformed (err, "invalid item");
  return 0;
}

int
rep_unpack (struct rw_arena *arena, struct rw_str data,
            struct rep_transfer *transfer, struct rw_err *err)
{
  uint32_t head;
  if (data.len < HEAD_SIZE)
    return malformed (err, "too short");
  memcpy (&head, data.ptr, HEAD_SIZE);
  uLongf len = ntohl (head);
  if (len > MAX_UNPACKED || len / 1000 > data.len)
    return malformed (err, "too long");
  /* XDR decodes in place and needs aligned memory, as the arena gives.  */
  char *bytes = rw_arena_alloc (arena, len + 8);
  if (uncompress ((unsigned char *)bytes, &len,
                  (const unsigned char *)data.ptr + HEAD_SIZE,
                  data.len - HEAD_SIZE)
          != Z_OK
      || len != ntohl (head))
    return malformed (err, "cannot uncompress");
  return decode (arena, bytes, len, transfer, err);
}
