#include <rpc/rpc.h>
#include <string.h>
#include <zlib.h>

#include "replica.h"

/* A packed transfer is the length of the XDR data as four bytes in network
   order, followed by the data compressed by zlib.  The XDR data are a header
   (revision, full, count) and the items.  All sizes are in bytes.  */
#define LENGTH_PREFIX_SIZE 4
/* Limits for data from a peer.  A configuration has up to 1 MB, and there may
   be thousands of targets.  */
#define MAX_UNPACKED_SIZE (32U << 20)
/* A transfer whose length prefix is greater than its size by more than this
   factor is refused before memory is allocated for it.  */
#define MAX_COMPRESSION_RATIO 1000
/* Lower bound of the size of an encoded item.  It limits the memory that is
   allocated for the items of a malformed transfer.  */
#define MIN_ITEM_SIZE 16
/* The fastest level, as processor time on a small VM costs more than the bytes
   sent.  */
#define COMPRESSION_LEVEL 1

/* Returns an upper bound of the encoded size of ITEM: five words, the key and
   the value, each padded to a multiple of four bytes.  */
static size_t
max_item_size (const struct rep_item *item)
{
  return 5 * 4 + item->key.len + item->value.len + 8;
}

/* Encodes or decodes a string of at most MAX bytes.  A decoded string points
   into the memory of XDR.  */
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
  if (!code_bytes (xdr, &item->key, REP_MAX_KEY_BYTES)
      || !xdr_int64_t (xdr, &revision) || !xdr_bool (xdr, &removed)
      || !code_bytes (xdr, &item->value, REP_MAX_VALUE_BYTES))
    return FALSE;
  item->removed = removed;
  item->revision = revision;
  return TRUE;
}

static bool_t
code_header (XDR *xdr, int64_t *revision, bool *full, unsigned int *count)
{
  bool_t xdr_full = *full;
  if (!xdr_int64_t (xdr, revision) || !xdr_bool (xdr, &xdr_full)
      || !xdr_u_int (xdr, count))
    return FALSE;
  *full = xdr_full;
  return TRUE;
}

/* Returns whether a transfer of the changes after AFTER contains ITEM.  A full
   transfer needs no tombstones: the receiver removes what is not in it.  */
static bool
is_included (const struct rep_item *item, int64_t after, bool full)
{
  return full ? !item->removed : item->revision > after;
}

/* Appends the length prefix and the compressed data to OUT.  */
static void
append_compressed (struct rw_buf *out, const char *data, size_t len)
{
  uLongf size = compressBound (len);
  unsigned char *packed = rw_xmalloc (size);
  uint32_t length_prefix = htonl ((uint32_t)len);
  compress2 (packed, &size, (const unsigned char *)data, len,
             COMPRESSION_LEVEL);
  rw_buf_append (out, &length_prefix, LENGTH_PREFIX_SIZE);
  rw_buf_append (out, packed, size);
  free (packed);
}

/* Appends the packed changes after AFTER to OUT, or nothing if an item is too
   large to be encoded.  */
static void
pack (const struct rep_replica *replica, int64_t after, struct rw_buf *out)
{
  bool full = after < replica->purged_revision || after <= 0;
  int64_t revision = replica->revision;
  unsigned int count = 0;
  size_t size = 64; /* more than the header */
  size_t position = 0;
  struct rep_item *item;
  XDR xdr;

  while ((item = rw_map_next (&replica->items, &position)) != NULL)
    if (is_included (item, after, full))
      {
        count++;
        size += max_item_size (item);
      }
  char *data = rw_xmalloc (size);
  xdrmem_create (&xdr, data, (unsigned int)size, XDR_ENCODE);
  bool_t ok = code_header (&xdr, &revision, &full, &count);
  position = 0;
  while (ok && (item = rw_map_next (&replica->items, &position)) != NULL)
    if (is_included (item, after, full))
      ok = code_item (&xdr, item);
  if (ok)
    append_compressed (out, data, xdr_getpos (&xdr));
  free (data);
}

/* The packed transfer is kept, because after a start of all daemons many ask
   for the same changes.  */
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
malformed (struct rw_err *err, const char *detail)
{
  return rw_err_set (err, RW_E_PARSE, "transfer", RW_LIT ("peer"), "%s",
                     detail);
}

/* Decodes the LEN bytes of XDR data at DATA, into which the items of TRANSFER
   then point.  */
static int
decode (struct rw_arena *arena, char *data, size_t len,
        struct rep_transfer *transfer, struct rw_err *err)
{
  XDR xdr;
  unsigned int count = 0;
  memset (transfer, 0, sizeof *transfer);
  xdrmem_create (&xdr, data, (unsigned int)len, XDR_DECODE);
  if (!code_header (&xdr, &transfer->revision, &transfer->full, &count)
      || count > len / MIN_ITEM_SIZE)
    return malformed (err, "invalid header");
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
  uint32_t length_prefix;
  if (data.len < LENGTH_PREFIX_SIZE)
    return malformed (err, "shorter than its length prefix");
  memcpy (&length_prefix, data.ptr, LENGTH_PREFIX_SIZE);
  uLongf len = ntohl (length_prefix);
  if (len > MAX_UNPACKED_SIZE || len / MAX_COMPRESSION_RATIO > data.len)
    return malformed (err, "uncompressed length above the limit");
  /* The items point into these bytes.  XDR decodes strings in place only in
     aligned memory, which the arena returns.  */
  char *bytes = rw_arena_alloc (arena, len + 8);
  if (uncompress ((unsigned char *)bytes, &len,
                  (const unsigned char *)data.ptr + LENGTH_PREFIX_SIZE,
                  data.len - LENGTH_PREFIX_SIZE)
          != Z_OK
      || len != ntohl (length_prefix))
    return malformed (err, "cannot uncompress the data");
  return decode (arena, bytes, len, transfer, err);
}
