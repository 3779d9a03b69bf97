#include <rpc/rpc.h>
#include <string.h>

#include "gossip.h"

/* The first word of a message: "RWG" and the version of the format, 1.  */
#define MAGIC 0x52574701U
#define FLAG_LEAVING 1U
#define FLAG_REPLY_REQUESTED 2U
#define FLAG_CUT_OFF 4U
/* Sections follow the entries, each with its tag and length.  Daemons skip the
   tags that they do not know, and those of before there were sections do not
   read that far.  */
#define TAG_EVIDENCE 1U
#define TAG_QUOTA 2U
#define SECTION_HEAD_BYTES 8
/* Encoded sizes of a message without entries, and of an entry.  */
#define HEAD_BYTES 32
#define ENTRY_BYTES 16
/* Upper limit of all ages in a message, a day: greater ages are of no use.  */
#define MAX_AGE_MS 86400000U

/* Encodes or decodes an entry, depending on the operation of XDR.  */
static bool_t
code_entry (XDR *xdr, struct gos_entry *entry)
{
  return xdr_u_int (xdr, &entry->ip) && xdr_u_int (xdr, &entry->dc)
         && xdr_u_int (xdr, &entry->capacity)
         && xdr_u_int (xdr, &entry->age_ms) && entry->age_ms <= MAX_AGE_MS;
}

/* Encodes or decodes a message.  Returns FALSE if XDR is too short or a field
   is out of range.  */
static bool_t
code_message (XDR *xdr, struct gos_message *m)
{
  unsigned int magic = MAGIC;
  unsigned int count = (unsigned int)m->count;
  unsigned int flags = (m->leaving ? FLAG_LEAVING : 0)
                       | (m->reply_requested ? FLAG_REPLY_REQUESTED : 0)
                       | (m->cut_off ? FLAG_CUT_OFF : 0);
  if (!xdr_u_int (xdr, &magic) || magic != MAGIC || !xdr_u_int (xdr, &flags)
      || !xdr_u_int (xdr, &m->dc) || !xdr_u_int (xdr, &m->capacity)
      || !xdr_int64_t (xdr, &m->revision) || !xdr_u_int (xdr, &m->staleness_ms)
      || m->staleness_ms > MAX_AGE_MS || m->revision < 0
      || !xdr_u_int (xdr, &count) || count > GOS_MAX_ENTRIES)
    return FALSE;
  m->leaving = (flags & FLAG_LEAVING) != 0;
  m->reply_requested = (flags & FLAG_REPLY_REQUESTED) != 0;
  m->cut_off = (flags & FLAG_CUT_OFF) != 0;
  m->count = count;
  for (unsigned int i = 0; i < count; i++)
    if (!code_entry (xdr, &m->entries[i]))
      return FALSE;
  return TRUE;
}

size_t
gos_evidence_space (const struct gos_message *message)
{
  return GOS_MAX_DATAGRAM - HEAD_BYTES - message->count * ENTRY_BYTES
         - SECTION_HEAD_BYTES;
}

/* Appends a section to the USED bytes of DATA, which has room for SIZE;
   nothing if BODY is empty.  Returns the bytes used then, 0 if SIZE is too
   small.  */
static size_t
append_section (char *data, size_t size, size_t used, unsigned int tag,
                struct rw_str body)
{
  XDR xdr;
  unsigned int len = (unsigned int)body.len;
  if (body.len == 0)
    return used;
  if (size - used < SECTION_HEAD_BYTES
      || body.len > size - used - SECTION_HEAD_BYTES)
    return 0;
  xdrmem_create (&xdr, data + used, SECTION_HEAD_BYTES, XDR_ENCODE);
  if (!xdr_u_int (&xdr, &tag) || !xdr_u_int (&xdr, &len))
    return 0;
  memcpy (data + used + SECTION_HEAD_BYTES, body.ptr, body.len);
  return used + SECTION_HEAD_BYTES + body.len;
}

size_t
gos_encode (const struct gos_message *message, char *data, size_t size)
{
  XDR xdr;
  struct gos_message copy = *message;
  if (copy.staleness_ms > MAX_AGE_MS)
    copy.staleness_ms = MAX_AGE_MS;
  xdrmem_create (&xdr, data, (unsigned int)size, XDR_ENCODE);
  if (!code_message (&xdr, &copy))
    return 0;
  size_t used = append_section (data, size, xdr_getpos (&xdr), TAG_EVIDENCE,
                                copy.evidence);
  return used > 0 ? append_section (data, size, used, TAG_QUOTA, copy.quota)
                  : 0;
}

/* Reads the sections of DATA from the position of XDR on.  What cannot be read
   is left out: the rest of the message holds.  */
static void
read_sections (XDR *xdr, struct rw_str data, struct gos_message *message)
{
  size_t at = xdr_getpos (xdr);
  unsigned int tag;
  unsigned int len;
  while (data.len - at >= SECTION_HEAD_BYTES && xdr_u_int (xdr, &tag)
         && xdr_u_int (xdr, &len) && len <= data.len - at - SECTION_HEAD_BYTES)
    {
      at += SECTION_HEAD_BYTES;
      if (tag == TAG_EVIDENCE)
        message->evidence = (struct rw_str){ data.ptr + at, len };
      else if (tag == TAG_QUOTA)
        message->quota = (struct rw_str){ data.ptr + at, len };
      at += len;
      if (len % sizeof (uint32_t) != 0 || !xdr_setpos (xdr, (unsigned int)at))
        return;
    }
}

int
gos_decode (struct rw_str data, struct gos_message *message,
            struct rw_err *err)
{
  XDR xdr;
  char aligned[GOS_MAX_DATAGRAM]; /* DATA may be at any address */
  if (data.len > sizeof aligned)
    return rw_err_set (err, RW_E_PARSE, "gossip", RW_LIT ("peer"),
                       "message too long");
  memcpy (aligned, data.ptr, data.len);
  memset (message, 0, sizeof *message);
  xdrmem_create (&xdr, aligned, (unsigned int)data.len, XDR_DECODE);
  if (!code_message (&xdr, message))
    return rw_err_set (err, RW_E_PARSE, "gossip", RW_LIT ("peer"),
                       "malformed message");
  read_sections (&xdr, data, message);
  return 0;
}
