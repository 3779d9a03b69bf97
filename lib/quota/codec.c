#include <rpc/rpc.h>
#include <string.h>

#include "parts.h"

/* An item begins with its kind, in the upper 16 bits, and the length of the
   rest.  Items of unknown kinds are skipped, and so are fields that follow the
   known ones.  */
#define HEAD_BYTES 4
#define KIND_ASK 1U
#define KIND_ANSWER 2U
#define ASK_BYTES 20
#define ANSWER_BYTES 12
#define MAX_U16 65535U
#define MAX_WAIT_US 4000000000U

static uint32_t
to_u16 (uint32_t value)
{
  return value < MAX_U16 ? value : MAX_U16;
}

/* Encodes or decodes two numbers of 16 bits as one of 32.  */
static bool_t
code_pair (XDR *xdr, uint32_t *high, uint32_t *low)
{
  uint32_t both = to_u16 (*high) << 16 | to_u16 (*low);
  if (!xdr_uint32_t (xdr, &both))
    return FALSE;
  *high = both >> 16;
  *low = both & MAX_U16;
  return TRUE;
}

static bool_t
code_ask (XDR *xdr, struct quo_item *item)
{
  return xdr_uint64_t (xdr, &item->organisation)
         && xdr_uint32_t (xdr, &item->number)
         && code_pair (xdr, &item->pool, &item->age_ms)
         && code_pair (xdr, &item->wanted, &item->waiting)
         && item->pool < QUO_POOLS;
}

static bool_t
code_answer (XDR *xdr, struct quo_item *item)
{
  uint32_t answer = (uint32_t)item->answer;
  uint32_t wait = MAX_WAIT_US;
  if (item->wait < (rw_time)MAX_WAIT_US)
    wait = item->wait > 0 ? (uint32_t)item->wait : 0;
  if (!xdr_uint32_t (xdr, &item->number)
      || !code_pair (xdr, &answer, &item->tokens) || answer > QUO_NOT_OWNER
      || !xdr_uint32_t (xdr, &wait))
    return FALSE;
  item->answer = (enum quo_answer)answer;
  item->wait = wait;
  return TRUE;
}

size_t
quo_write_item (const struct quo_item *item, char *out, size_t size)
{
  XDR xdr;
  struct quo_item copy = *item;
  uint32_t kind = item->is_answer ? KIND_ANSWER : KIND_ASK;
  uint32_t length = item->is_answer ? ANSWER_BYTES : ASK_BYTES;
  char data[HEAD_BYTES + ASK_BYTES];
  if (size < HEAD_BYTES + length)
    return 0;
  xdrmem_create (&xdr, data, sizeof data, XDR_ENCODE);
  if (!code_pair (&xdr, &kind, &length)
      || !(item->is_answer ? code_answer (&xdr, &copy)
                           : code_ask (&xdr, &copy)))
    return 0;
  memcpy (out, data, HEAD_BYTES + length);
  return HEAD_BYTES + length;
}

int
quo_read_item (struct rw_str *message, struct quo_item *item)
{
  XDR xdr;
  /* Aligned for XDR.  */
  uint32_t data[(HEAD_BYTES + ASK_BYTES) / sizeof (uint32_t)];
  uint32_t kind = 0;
  uint32_t length = 0;
  if (message->len < HEAD_BYTES)
    return RW_E_PARSE;
  memcpy (data, message->ptr, HEAD_BYTES);
  xdrmem_create (&xdr, (char *)data, HEAD_BYTES, XDR_DECODE);
  if (!code_pair (&xdr, &kind, &length) || length > message->len - HEAD_BYTES)
    return RW_E_PARSE;
  size_t known = length < sizeof data ? length : sizeof data;
  memcpy (data, message->ptr + HEAD_BYTES, known);
  message->ptr += HEAD_BYTES + length;
  message->len -= HEAD_BYTES + length;
  memset (item, 0, sizeof *item);
  xdrmem_create (&xdr, (char *)data, (unsigned int)known, XDR_DECODE);
  switch (kind)
    {
    case KIND_ASK:
      return code_ask (&xdr, item) ? 0 : RW_E_PARSE;
    case KIND_ANSWER:
      item->is_answer = true;
      return code_answer (&xdr, item) ? 0 : RW_E_PARSE;
    default:
      return 1;
    }
}
