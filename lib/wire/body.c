#include "body.h"

struct type_info
{
  const char *name; /* in logs and errors */
  unsigned int procedure;
  bool reply;
  size_t max_len; /* of the RPC message, in bytes */
};

static const struct type_info TYPES[] = {
  [WIR_HELLO_CALL] = { "HELLO", RWF_HELLO, false, WIR_MAX_RECORD },
  [WIR_HELLO_REPLY] = { "HELLO reply", RWF_HELLO, true, WIR_MAX_RECORD },
  [WIR_SUBMIT] = { "SUBMIT", RWF_SUBMIT, false, WIR_MAX_RECORD },
  [WIR_RESULT] = { "RESULT", RWF_RESULT, false, WIR_MAX_RECORD },
  [WIR_CANCEL] = { "CANCEL", RWF_CANCEL, false, WIR_MAX_RECORD },
  [WIR_FETCH_CALL] = { "FETCH", RWF_FETCH, false, WIR_MAX_RECORD },
  [WIR_FETCH_REPLY] = { "FETCH reply", RWF_FETCH, true, WIR_MAX_FETCH_RECORD },
  [WIR_HANDOFF_CALL] = { "HANDOFF", RWF_HANDOFF, false, WIR_MAX_RECORD },
  [WIR_HANDOFF_REPLY] = { "HANDOFF reply", RWF_HANDOFF, true, WIR_MAX_RECORD },
  [WIR_PROBE_CALL] = { "PROBE", RWF_PROBE, false, WIR_MAX_DATAGRAM },
  [WIR_PROBE_REPLY] = { "PROBE reply", RWF_PROBE, true, WIR_MAX_DATAGRAM }
};

/* Returns the name of TYPE for logs, or "unknown" if TYPE is invalid.  */
const char *
wir_type_name (enum wir_type type)
{
  return (size_t)type < RW_ARRAY_LEN (TYPES) ? TYPES[type].name : "unknown";
}

unsigned int
wir_procedure (enum wir_type type)
{
  return TYPES[type].procedure;
}

bool
wir_is_reply (enum wir_type type)
{
  return TYPES[type].reply;
}

/* Returns the maximum length in bytes of an encoded message of TYPE.  */
size_t
wir_max_len (enum wir_type type)
{
  return TYPES[type].max_len;
}

/* Sets *TYPE to the type of the call to PROCEDURE or, if REPLY, of its reply.
   Returns 0, or RW_E_NOT_FOUND if there is no such message.  */
int
wir_type_of (unsigned int procedure, bool reply, enum wir_type *type)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (TYPES); i++)
    if (TYPES[i].procedure == procedure && TYPES[i].reply == reply)
      {
        *type = (enum wir_type)i;
        return 0;
      }
  return RW_E_NOT_FOUND;
}

/* Encodes, decodes or frees BODY, depending on x_op of XDRS.  Returns false if
   a limit is exceeded or the data ends early.  */
bool
wir_body_xdr (XDR *xdrs, enum wir_type type, union wir_body *body)
{
  switch (type)
    {
    case WIR_HELLO_CALL:
      return xdr_rwf_hello_args (xdrs, &body->hello_args);
    case WIR_HELLO_REPLY:
      return xdr_rwf_hello_res (xdrs, &body->hello_res);
    case WIR_SUBMIT:
      return xdr_rwf_submit_args (xdrs, &body->submit_args);
    case WIR_RESULT:
      return xdr_rwf_result_args (xdrs, &body->result_args);
    case WIR_CANCEL:
      return xdr_rwf_cancel_args (xdrs, &body->cancel_args);
    case WIR_FETCH_CALL:
      return xdr_rwf_fetch_args (xdrs, &body->fetch_args);
    case WIR_FETCH_REPLY:
      return xdr_rwf_fetch_res (xdrs, &body->fetch_res);
    case WIR_HANDOFF_CALL:
      return xdr_rwf_handoff_args (xdrs, &body->handoff_args);
    case WIR_HANDOFF_REPLY:
      return xdr_rwf_handoff_res (xdrs, &body->handoff_res);
    case WIR_PROBE_CALL:
      return xdr_rwf_probe_args (xdrs, &body->probe_args);
    case WIR_PROBE_REPLY:
      return xdr_rwf_probe_res (xdrs, &body->probe_res);
    }
  return false;
}

/* Does nothing.  libtirpc calls a results routine at the end of each reply
   header, but the results are encoded and decoded separately afterwards.  */
bool_t
wir_no_results (XDR *xdrs, ...)
{
  (void)xdrs;
  return TRUE;
}

/* Returns whether S contains no control character.  Names and keys must not,
   because they are written to logs and HTTP headers.  */
bool
wir_is_printable (struct rw_str s)
{
  for (size_t i = 0; i < s.len; i++)
    if ((unsigned char)s.ptr[i] < 0x20 || s.ptr[i] == 0x7f)
      return false;
  return true;
}
