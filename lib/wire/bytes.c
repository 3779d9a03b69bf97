#include "body.h"

/* Points BYTES into the encoded message instead of allocating a copy of each
   string, as xdr_bytes does.  wir_decode has set x_public to the start of the
   message.  */
static bool_t
decode_bytes (XDR *xdrs, struct rwf_bytes *bytes, u_int max)
{
  u_int len;
  u_int pos;

  if (!xdr_u_int (xdrs, &len) || len > max)
    return FALSE;
  pos = XDR_GETPOS (xdrs);
  if (!XDR_SETPOS (xdrs, pos + RNDUP (len)))
    return FALSE;
  bytes->len = len;
  bytes->val = (char *)xdrs->x_public + pos;
  return TRUE;
}

/* Encodes or decodes at most MAX bytes.  Decoding allocates nothing, so there
   is nothing to free.  */
static bool_t
xdr_limited_bytes (XDR *xdrs, struct rwf_bytes *bytes, u_int max)
{
  switch (xdrs->x_op)
    {
    case XDR_DECODE:
      return decode_bytes (xdrs, bytes, max);
    case XDR_ENCODE:
      return xdr_bytes (xdrs, &bytes->val, &bytes->len, max);
    case XDR_FREE:
      return TRUE;
    }
  return FALSE;
}

bool_t
xdr_rwf_name (XDR *xdrs, rwf_name *bytes)
{
  return xdr_limited_bytes (xdrs, bytes, RWF_MAX_NAME);
}

bool_t
xdr_rwf_key (XDR *xdrs, rwf_key *bytes)
{
  return xdr_limited_bytes (xdrs, bytes, RWF_MAX_KEY);
}

bool_t
xdr_rwf_text (XDR *xdrs, rwf_text *bytes)
{
  return xdr_limited_bytes (xdrs, bytes, RWF_MAX_TEXT);
}

bool_t
xdr_rwf_body (XDR *xdrs, rwf_body *bytes)
{
  return xdr_limited_bytes (xdrs, bytes, RWF_MAX_BODY);
}

bool_t
xdr_rwf_doc (XDR *xdrs, rwf_doc *bytes)
{
  return xdr_limited_bytes (xdrs, bytes, RWF_MAX_DOC);
}
