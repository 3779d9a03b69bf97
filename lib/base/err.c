#include "base.h"

#include <stdio.h>
#include <string.h>

/* Returns a short text for CODE: 0, an error number of base.h or a negative
   errno value.  */
const char *
rw_strerror (int code)
{
  switch (code)
    {
    case 0:
      return "success";
    case RW_E_PARSE:
      return "malformed input";
    case RW_E_RANGE:
      return "value out of range";
    case RW_E_NOT_NEWER:
      return "version is not newer";
    case RW_E_NOT_HOLDER:
      return "not the holder of the target";
    case RW_E_SNAPSHOT:
      return "snapshot mismatch";
    case RW_E_SHED:
      return "shed by the target";
    case RW_E_QUEUE_FULL:
      return "queue full";
    case RW_E_DEADLINE:
      return "deadline exceeded";
    case RW_E_BUDGET:
      return "retry budget exhausted";
    case RW_E_OUT:
      return "taken out by a rule";
    case RW_E_RESET:
      return "connection reset";
    case RW_E_MISMATCH:
      return "answer does not match the request";
    case RW_E_DUPLICATE:
      return "duplicate request";
    case RW_E_STOPPING:
      return "shutting down";
    case RW_E_NOT_FOUND:
      return "not found";
    default:
      return code < 0 && code > -1000 ? strerror (-code) : "unknown error";
    }
}

/* Fills ERR, if not null, and returns CODE, so that a caller can write
   "return rw_err_set (...)".  Text that does not fit is cut.  */
int
rw_err_set (struct rw_err *err, int code, const char *step, struct rw_str peer,
            const char *fmt, ...)
{
  va_list args;

  if (err == NULL)
    return code;
  err->code = code;
  rw_str_copy (err->step, sizeof err->step, rw_str_from (step));
  rw_str_copy (err->peer, sizeof err->peer, peer);
  va_start (args, fmt);
  vsnprintf (err->detail, sizeof err->detail, fmt, args);
  va_end (args);
  return code;
}

/* Writes "step: peer: detail (text of the code)" to BUF, cut to SIZE bytes,
   and returns a view of it.  An empty peer is written as "-".  */
struct rw_str
rw_err_format (const struct rw_err *err, char *buf, size_t size)
{
  int len = snprintf (buf, size, "%s: %s: %s (%s)", err->step,
                      err->peer[0] != '\0' ? err->peer : "-", err->detail,
                      rw_strerror (err->code));

  if (len < 0)
    return RW_LIT ("");
  return (struct rw_str){ buf, (size_t)len < size ? (size_t)len : size - 1 };
}
