#include "rwfd.h"

#include <string.h>

#include "query.h"

#define SEARCH_PATH RW_LIT ("/v1/search/")
#define ONCE_PATH RW_LIT ("/v1/once/")
/* An hour, which is longer than any deadline of a service.  */
#define MAX_DEADLINE_MS 3600000

/* Answers with an error that says that the request was not run.  CODE is a
   negative error number, STATUS the HTTP status.  */
static void
respond_error (struct rwfd *rwfd, uint64_t id, int status, int code,
               const char *detail)
{
  struct net_response response = { .status = status,
                                   .content_type = "application/json",
                                   .retry_after_ms = -1 };
  struct rw_err err = { 0 };
  struct rw_buf body;

  rw_err_set (&err, code, "read request", rwfd->options->vm, "%s", detail);
  rw_buf_init (&body);
  qry_encode_error (&err, QRY_RAN_NO, -1, &body);
  response.body = rw_buf_str (&body);
  net_http_respond (&rwfd->callers, id, &response);
  rw_buf_finish (&body);
}

/* Returns whether S has at most MAX characters, all printable ASCII.  Header
   values and service names are written to messages and logs.  */
static bool
is_printable (struct rw_str s, size_t max)
{
  if (s.len > max)
    return false;
  for (size_t i = 0; i < s.len; i++)
    if (s.ptr[i] < 0x20 || s.ptr[i] >= 0x7f)
      return false;
  return true;
}

/* Reads the headers of REQUEST into OUT, whose kind is set; the texts belong
   to REQUEST.  A request without X-Deadline-Ms gets timeout 0.  Returns 0, or
   a negative error number with its text in *DETAIL.  */
static int
read_headers (const struct net_request *request, struct nod_request *out,
              const char **detail)
{
  struct rw_str deadline = net_http_header (request, "x-deadline-ms");
  int64_t ms = 0;

  out->caller_class = net_http_header (request, "x-caller-class");
  out->idempotency_key = net_http_header (request, "idempotency-key");
  out->traceparent = net_http_header (request, "traceparent");
  *detail = "X-Caller-Class: expected at most 63 printable characters";
  if (!is_printable (out->caller_class, WIR_MAX_NAME))
    return RW_E_RANGE;
  *detail = "Idempotency-Key: expected at most 127 printable characters";
  if (!is_printable (out->idempotency_key, WIR_MAX_KEY))
    return RW_E_RANGE;
  *detail = "Idempotency-Key: required";
  if (out->kind == NOD_REQUEST_ONCE && out->idempotency_key.len == 0)
    return RW_E_PARSE;
  *detail = "X-Deadline-Ms: expected 0 to 3600000";
  if (deadline.len > 0
      && rw_str_to_int (deadline, 0, MAX_DEADLINE_MS, &ms) < 0)
    return RW_E_PARSE;
  *detail = "X-Deadline-Ms: no time left";
  if (deadline.len > 0 && ms == 0)
    return RW_E_DEADLINE;
  out->timeout = ms * RW_MSEC;
  return 0;
}

static void
accept_request (struct rwfd *rwfd, const struct net_request *request,
                enum nod_request_kind kind, struct rw_str prefix)
{
  struct nod_request out = { .kind = kind,
                             .service = { request->path.ptr + prefix.len,
                                          request->path.len - prefix.len },
                             .body = request->body };
  const char *detail;
  int rc;

  if (!rw_str_eq_cstr (request->method, "POST"))
    {
      respond_error (rwfd, request->id, 405, RW_E_PARSE, "expected POST");
      return;
    }
  if (out.service.len == 0 || !is_printable (out.service, WIR_MAX_NAME))
    {
      respond_error (rwfd, request->id, 404, RW_E_NOT_FOUND,
                     "no such service");
      return;
    }
  rc = read_headers (request, &out, &detail);
  if (rc < 0)
    respond_error (rwfd, request->id, rc == RW_E_DEADLINE ? 504 : 400, rc,
                   detail);
  else
    {
      /* The node refuses the request if this does not succeed.  */
      (void)acc_make_room (&rwfd->account, 2 * out.body.len, rw_now ());
      nod_on_request (rwfd->node, request->id, &out, rw_now ());
    }
}

static void
on_request (void *arg, const struct net_request *request)
{
  struct rwfd *rwfd = arg;

  if (rw_str_starts (request->path, SEARCH_PATH))
    accept_request (rwfd, request, NOD_REQUEST_SEARCH, SEARCH_PATH);
  else if (rw_str_starts (request->path, ONCE_PATH))
    accept_request (rwfd, request, NOD_REQUEST_ONCE, ONCE_PATH);
  else if (!rwfd_handle_health (rwfd, &rwfd->callers, request))
    respond_error (rwfd, request->id, 404, RW_E_NOT_FOUND, "no such path");
}

static void
on_disconnect (void *arg, uint64_t id)
{
  struct rwfd *rwfd = arg;

  nod_on_caller_disconnect (rwfd->node, id, rw_now ());
}

const struct net_http_ops rwfd_caller_ops = { on_request, on_disconnect };

/* Sends the node's answer to the caller.  */
void
rwfd_send_answer (struct rwfd *rwfd, const struct nod_action *action)
{
  struct net_response response
      = { .status = action->u.answer.status,
          .content_type = "application/json",
          .retry_after_ms = action->u.answer.retry_after_ms,
          .traceparent = rw_str_from (action->u.answer.traceparent),
          .body = rw_buf_str (&action->data) };

  net_http_respond (&rwfd->callers, action->u.answer.request, &response);
}
