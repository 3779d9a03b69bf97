#include <rpc/rpc.h>
#include <string.h>

#include "quarantine.h"

/* Kinds of items.  */
#define ITEM_RECORD 1U
#define ITEM_WANTED 2U
/* Ages in ms.  */
#define MAX_AGE_MS 86400000U
#define NO_AGE UINT32_MAX
/* Records without anything that counts are told regularly for this time after
   their last change.  */
#define TOLD_TIME (10 * RW_SEC)
/* Kind and length of an item.  */
#define ITEM_HEAD_BYTES 8

/* Encodes or decodes *AT as its age at NOW; 0 is no time.  */
static bool_t
code_time (XDR *xdr, rw_time *at, rw_time now)
{
  unsigned int age = NO_AGE;
  if (xdr->x_op == XDR_ENCODE && *at != 0)
    {
      rw_time ms = now > *at ? (now - *at) / RW_MSEC : 0;
      age = ms < (rw_time)MAX_AGE_MS ? (unsigned int)ms : MAX_AGE_MS;
    }
  if (!xdr_u_int (xdr, &age) || (age != NO_AGE && age > MAX_AGE_MS))
    return FALSE;
  if (xdr->x_op == XDR_DECODE)
    {
      /* A machine that runs for less than the age has no earlier time than 1.
       */
      rw_time time = now - (rw_time)age * RW_MSEC;
      *at = age == NO_AGE ? 0 : (time > 0 ? time : 1);
    }
  return TRUE;
}

/* Encodes or decodes the length of a list of at most MAX.  */
static bool_t
code_count (XDR *xdr, size_t *count, size_t max)
{
  unsigned int value = (unsigned int)*count;
  if (!xdr_u_int (xdr, &value) || value > max)
    return FALSE;
  *count = value;
  return TRUE;
}

static bool_t
code_record (XDR *xdr, struct qua_record *r, rw_time now)
{
  if (!xdr_uint64_t (xdr, &r->key) || !code_time (xdr, &r->released_at, now)
      || !code_time (xdr, &r->held_at, now)
      || !code_count (xdr, &r->end_count, QUA_MAX_ENDS)
      || !code_count (xdr, &r->proof_count, QUA_MAX_PROOFS)
      || !code_count (xdr, &r->trial_count, QUA_MAX_TRIALS))
    return FALSE;
  for (size_t i = 0; i < r->end_count; i++)
    if (!xdr_uint64_t (xdr, &r->ends[i].target)
        || !xdr_uint32_t (xdr, &r->ends[i].software)
        || !code_time (xdr, &r->ends[i].sent_at, now)
        || !code_time (xdr, &r->ends[i].ended_at, now))
      return FALSE;
  for (size_t i = 0; i < r->proof_count; i++)
    if (!xdr_uint32_t (xdr, &r->proofs[i].software)
        || !code_time (xdr, &r->proofs[i].at, now))
      return FALSE;
  for (size_t i = 0; i < r->trial_count; i++)
    if (!xdr_uint32_t (xdr, &r->trials[i].id)
        || !xdr_uint32_t (xdr, &r->trials[i].daemon)
        || !code_time (xdr, &r->trials[i].at, now))
      return FALSE;
  return TRUE;
}

/* Writes an item of KIND with the LEN bytes at BODY.  Returns its length, 0 if
   SIZE is too small.  */
static size_t
write_item (unsigned int kind, char *body, size_t len, char *out, size_t size)
{
  XDR xdr;
  unsigned int length = (unsigned int)len;
  if (size < ITEM_HEAD_BYTES + len)
    return 0;
  xdrmem_create (&xdr, out, (unsigned int)size, XDR_ENCODE);
  if (!xdr_u_int (&xdr, &kind) || !xdr_u_int (&xdr, &length))
    return 0;
  memcpy (out + ITEM_HEAD_BYTES, body, len);
  return ITEM_HEAD_BYTES + len;
}

static size_t
write_record (const struct qua_record *r, char *out, size_t size, rw_time now)
{
  XDR xdr;
  char body[QUA_MAX_ITEM];
  struct qua_record copy = *r;
  for (size_t i = 0; i < copy.proof_count; i++)
    copy.proofs[i].at = qua_told_time (&copy.proofs[i]);
  xdrmem_create (&xdr, body, sizeof body, XDR_ENCODE);
  if (!code_record (&xdr, &copy, now))
    return 0;
  return write_item (ITEM_RECORD, body, xdr_getpos (&xdr), out, size);
}

/* Writes the news that have enough evidence, or the others, as ARE_KNOWN says.
 *USED is the length so far.  Returns whether all fitted.  */
static bool
write_news (struct qua_table *table, bool are_known, char *out, size_t size,
            size_t *used, rw_time now)
{
  size_t position = 0;
  struct qua_record *r;
  while ((r = rw_map_next (&table->records, &position)) != NULL)
    {
      if (!r->is_news || (r->known_at > 0) != are_known)
        continue;
      size_t len = write_record (r, out + *used, size - *used, now);
      if (len == 0)
        return false;
      r->is_news = false;
      r->told_at = now;
      *used += len;
    }
  return true;
}

size_t
qua_write_news (struct qua_table *table, char *out, size_t size, rw_time now)
{
  size_t used = 0;
  if (write_news (table, true, out, size, &used, now)
      && write_news (table, false, out, size, &used, now))
    table->has_news = false;
  return used;
}

size_t
qua_write_refutations (struct qua_table *table, char *out, size_t size,
                       rw_time now)
{
  size_t used = 0;
  size_t position = 0;
  struct qua_record *r;
  if (!table->has_refutations)
    return 0;
  table->has_refutations = false;
  while ((r = rw_map_next (&table->records, &position)) != NULL)
    if (r->refutes)
      {
        r->refutes = false;
        used += write_record (r, out + used, size - used, now);
      }
  return used;
}

size_t
qua_write_next (struct qua_table *table, char *out, size_t size, rw_time now)
{
  size_t used = 0;
  for (size_t i = 0; i < table->records.len; i++)
    {
      size_t position = table->next_told;
      const struct qua_record *r = rw_map_next (&table->records, &position);
      if (r == NULL)
        {
          position = 0;
          r = rw_map_next (&table->records, &position);
        }
      size_t len = 0;
      if (r->end_count > 0 || r->trial_count > 0 || r->held_at > 0
          || now - r->changed_at < TOLD_TIME)
        {
          len = write_record (r, out + used, size - used, now);
          if (len == 0)
            return used;
        }
      used += len;
      table->next_told = position;
    }
  return used;
}

size_t
qua_write_record (const struct qua_table *table, uint64_t key, char *out,
                  size_t size, rw_time now)
{
  const struct qua_record *r = qua_find (table, key);
  return r != NULL ? write_record (r, out, size, now) : 0;
}

size_t
qua_write_wanted (uint64_t key, uint32_t software, char *out, size_t size)
{
  XDR xdr;
  char body[QUA_MAX_ITEM];
  xdrmem_create (&xdr, body, sizeof body, XDR_ENCODE);
  if (!xdr_uint64_t (&xdr, &key) || !xdr_uint32_t (&xdr, &software))
    return 0;
  return write_item (ITEM_WANTED, body, xdr_getpos (&xdr), out, size);
}

/* Takes the item of KIND with BODY.  Returns whether it is well formed.  */
static bool
read_item (struct qua_table *table, unsigned int kind, struct rw_str body,
           void (*wanted) (void *arg, uint64_t key, uint32_t software),
           void *arg, rw_time now)
{
  XDR xdr;
  char aligned[2 * QUA_MAX_ITEM];
  struct qua_record copy;
  uint64_t key;
  uint32_t software;
  /* Fields of later versions follow those that are known.  */
  size_t len = body.len < sizeof aligned ? body.len : sizeof aligned;
  memcpy (aligned, body.ptr, len);
  xdrmem_create (&xdr, aligned, (unsigned int)len, XDR_DECODE);
  switch (kind)
    {
    case ITEM_RECORD:
      memset (&copy, 0, sizeof copy);
      if (!code_record (&xdr, &copy, now))
        return false;
      qua_merge (table, &copy, now);
      return true;
    case ITEM_WANTED:
      if (!xdr_uint64_t (&xdr, &key) || !xdr_uint32_t (&xdr, &software))
        return false;
      wanted (arg, key, software);
      return true;
    default:
      return true;
    }
}

int
qua_read (struct qua_table *table, struct rw_str items,
          void (*wanted) (void *arg, uint64_t key, uint32_t software),
          void *arg, rw_time now)
{
  while (items.len > 0)
    {
      XDR xdr;
      unsigned int head[2];
      unsigned int kind;
      unsigned int length;
      if (items.len < ITEM_HEAD_BYTES)
        return RW_E_PARSE;
      memcpy (head, items.ptr, sizeof head);
      xdrmem_create (&xdr, (char *)head, sizeof head, XDR_DECODE);
      if (!xdr_u_int (&xdr, &kind) || !xdr_u_int (&xdr, &length)
          || length > items.len - ITEM_HEAD_BYTES)
        return RW_E_PARSE;
      struct rw_str body = { items.ptr + ITEM_HEAD_BYTES, length };
      if (!read_item (table, kind, body, wanted, arg, now))
        return RW_E_PARSE;
      items.ptr += ITEM_HEAD_BYTES + length;
      items.len -= ITEM_HEAD_BYTES + length;
    }
  return 0;
}
