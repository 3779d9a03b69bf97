#include "body.h"

#include <math.h>
#include <string.h>

#include <zlib.h>

/* State of the conversion from the generated structures to a wir_msg.  */
struct decoder
{
  struct rw_arena *arena; /* owns the strings and arrays of the message */
  const char *field;      /* the first invalid field; null: none */
};

/* Records FIELD as invalid, unless an earlier field is.  */
static void
reject (struct decoder *dec, const char *field)
{
  if (dec->field == NULL)
    dec->field = field;
}

static struct rw_str
get_bytes (struct decoder *dec, const char *val, u_int len)
{
  if (len == 0)
    return RW_LIT ("");
  return rw_arena_str (dec->arena, (struct rw_str){ val, len });
}

static struct rw_str
get_printable (struct decoder *dec, const char *field, const char *val,
               u_int len)
{
  if (!wir_is_printable ((struct rw_str){ val, len }))
    reject (dec, field);
  return get_bytes (dec, val, len);
}

static struct rw_str
get_name (struct decoder *dec, const char *field, const rwf_name *in)
{
  return get_printable (dec, field, in->val, in->len);
}

static struct rw_str
get_key (struct decoder *dec, const char *field, const rwf_key *in)
{
  return get_printable (dec, field, in->val, in->len);
}

static struct rw_str
get_text (struct decoder *dec, const rwf_text *in)
{
  return get_bytes (dec, in->val, in->len);
}

static struct rw_str
get_body (struct decoder *dec, const rwf_body *in)
{
  return get_bytes (dec, in->val, in->len);
}

/* Returns VALUE, or 0 after rejecting FIELD if VALUE is above MAX.  */
static unsigned int
get_bounded (struct decoder *dec, const char *field, u_int value, u_int max)
{
  if (value > max)
    reject (dec, field);
  return value <= max ? value : 0;
}

/* Returns VALUE.  Rejects FIELD if VALUE is negative, or so large that the sum
   of a few times could overflow.  */
static rw_time
get_time (struct decoder *dec, const char *field, quad_t value)
{
  if (value < 0 || value > INT64_MAX / 4)
    reject (dec, field);
  return value;
}

static struct wir_versions
get_versions (struct decoder *dec, const rwf_versions *in)
{
  return (struct wir_versions){ .rules = in->rules,
                                .vms = in->vms,
                                .maps_digest = in->maps_digest,
                                .map_key
                                = get_key (dec, "map_key", &in->map_key),
                                .map_version = in->map_version };
}

static struct wir_request_id
get_id (const rwf_request_id *in)
{
  return (struct wir_request_id){ in->incarnation, in->sequence };
}

static void
get_hello_call (struct decoder *dec, const rwf_hello_args *in,
                struct wir_msg *msg)
{
  struct wir_hello_call *out = &msg->u.hello_call;

  msg->versions = get_versions (dec, &in->versions);
  out->vm = get_name (dec, "vm", &in->vm);
  out->incarnation = in->incarnation;
  out->sent = get_time (dec, "sent", in->sent);
}

static void
get_hello_reply (struct decoder *dec, const rwf_hello_res *in,
                 struct wir_msg *msg)
{
  struct wir_hello_reply *out = &msg->u.hello_reply;

  msg->versions = get_versions (dec, &in->head.versions);
  out->vm = get_name (dec, "vm", &in->vm);
  out->incarnation = in->incarnation;
  out->echo = get_time (dec, "echo", in->echo);
  out->sent = get_time (dec, "sent", in->sent);
}

static void
get_parts (struct decoder *dec, const rwf_submit_args *in,
           struct wir_submit *out)
{
  out->part_count = in->parts.parts_len;
  out->parts
      = rw_arena_zalloc (dec->arena, out->part_count, sizeof *out->parts);
  for (u_int i = 0; i < out->part_count; i++)
    {
      const rwf_part *part = &in->parts.parts_val[i];

      out->parts[i].number = part->number;
      out->parts[i].attempt = part->attempt;
      out->parts[i].shard = part->shard;
      out->parts[i].target = get_name (dec, "target", &part->target);
    }
}

static void
get_submit (struct decoder *dec, const rwf_submit_args *in,
            struct wir_msg *msg)
{
  struct wir_submit *out = &msg->u.submit;

  msg->versions = get_versions (dec, &in->versions);
  out->id = get_id (&in->id);
  out->kind
      = (enum wir_kind)get_bounded (dec, "kind", in->kind, WIR_KIND_ONCE);
  out->service = get_name (dec, "service", &in->service);
  out->caller_class = get_name (dec, "caller_class", &in->caller_class);
  out->snapshot = get_key (dec, "snapshot", &in->snapshot);
  out->idempotency_key
      = get_key (dec, "idempotency_key", &in->idempotency_key);
  out->remaining = get_time (dec, "remaining", in->remaining);
  out->sent = get_time (dec, "sent", in->sent);
  out->trace.trace_hi = in->trace.trace_hi;
  out->trace.trace_lo = in->trace.trace_lo;
  out->trace.span = in->trace.span;
  out->trace.sampled = in->trace.sampled;
  out->body = get_body (dec, &in->body);
  get_parts (dec, in, out);
}

static void
get_records (struct decoder *dec, const rwf_part_result *in,
             struct wir_part_result *out)
{
  out->record_count = in->records.records_len;
  out->records
      = rw_arena_zalloc (dec->arena, out->record_count, sizeof *out->records);
  for (u_int i = 0; i < out->record_count; i++)
    {
      const rwf_record *record = &in->records.records_val[i];

      out->records[i].id = get_text (dec, &record->id);
      out->records[i].score = record->score;
      out->records[i].text = get_body (dec, &record->text);
      if (!isfinite (record->score))
        reject (dec, "score");
    }
}

static void
get_part_result (struct decoder *dec, const rwf_part_result *in,
                 struct wir_part_result *out)
{
  out->id = get_id (&in->id);
  out->part = in->part;
  out->attempt = in->attempt;
  out->status = in->status;
  out->ran = (enum wir_ran)get_bounded (dec, "ran", in->ran, WIR_RAN_UNKNOWN);
  out->retry_after_ms = in->retry_after_ms;
  out->shard = in->shard;
  out->target = get_name (dec, "target", &in->target);
  out->incarnation = in->incarnation;
  out->snapshot = get_key (dec, "snapshot", &in->snapshot);
  out->step = get_name (dec, "step", &in->step);
  out->detail = get_text (dec, &in->detail);
  out->hint = get_name (dec, "hint", &in->hint);
  out->queued = get_time (dec, "queued", in->queued);
  out->exchange = get_time (dec, "exchange", in->exchange);
  out->http_status = in->http_status;
  out->body = get_body (dec, &in->body);
  if (in->status > 0)
    reject (dec, "status");
  get_records (dec, in, out);
}

static void
get_result (struct decoder *dec, const rwf_result_args *in,
            struct wir_msg *msg)
{
  struct wir_result *out = &msg->u.result;

  msg->versions = get_versions (dec, &in->versions);
  out->result_count = in->results.results_len;
  out->results
      = rw_arena_zalloc (dec->arena, out->result_count, sizeof *out->results);
  for (u_int i = 0; i < out->result_count; i++)
    get_part_result (dec, &in->results.results_val[i], &out->results[i]);
}

static void
get_cancel (struct decoder *dec, const rwf_cancel_args *in,
            struct wir_msg *msg)
{
  struct wir_cancel *out = &msg->u.cancel;

  msg->versions = get_versions (dec, &in->versions);
  out->id = get_id (&in->id);
  out->part_count = in->parts.parts_len;
  out->parts
      = rw_arena_zalloc (dec->arena, out->part_count, sizeof *out->parts);
  for (u_int i = 0; i < out->part_count; i++)
    {
      out->parts[i].number = in->parts.parts_val[i].number;
      out->parts[i].attempt = in->parts.parts_val[i].attempt;
    }
}

static void
get_fetch_call (struct decoder *dec, const rwf_fetch_args *in,
                struct wir_msg *msg)
{
  msg->versions = get_versions (dec, &in->versions);
  msg->u.fetch_call.key = get_key (dec, "key", &in->key);
  msg->u.fetch_call.known_version = in->known;
}

/* Returns the document of IN, uncompressed.  At most plain_len bytes, which is
   limited to WIR_MAX_DOC, are allocated and written.  The whole body must
   uncompress to exactly that length.  */
static struct rw_str
get_doc (struct decoder *dec, const rwf_fetch_res *in)
{
  uLong used = in->body.len;
  uLongf len = in->plain_len;
  Bytef *out;

  if (in->plain_len == 0)
    return get_bytes (dec, in->body.val, in->body.len);
  if (in->plain_len > WIR_MAX_DOC)
    {
      reject (dec, "plain_len");
      return RW_LIT ("");
    }
  out = rw_arena_alloc (dec->arena, len);
  if (uncompress2 (out, &len, (const Bytef *)in->body.val, &used) != Z_OK
      || len != in->plain_len || used != in->body.len)
    {
      reject (dec, "body (compressed)");
      return RW_LIT ("");
    }
  return (struct rw_str){ (const char *)out, len };
}

static void
get_fetch_reply (struct decoder *dec, const rwf_fetch_res *in,
                 struct wir_msg *msg)
{
  struct wir_fetch_reply *out = &msg->u.fetch_reply;

  msg->versions = get_versions (dec, &in->head.versions);
  out->key = get_key (dec, "key", &in->key);
  out->version = in->doc_version;
  out->body = get_doc (dec, in);
}

static void
get_handoff_call (struct decoder *dec, const rwf_handoff_args *in,
                  struct wir_msg *msg)
{
  struct wir_handoff_call *out = &msg->u.handoff_call;

  msg->versions = get_versions (dec, &in->versions);
  out->vm = get_name (dec, "vm", &in->vm);
  out->incarnation = in->incarnation;
  out->dc = get_name (dec, "dc", &in->dc);
  out->group = in->group;
  out->electorate = in->electorate;
  out->sent = get_time (dec, "sent", in->sent);
  out->target_count = in->targets.targets_len;
  out->targets
      = rw_arena_zalloc (dec->arena, out->target_count, sizeof *out->targets);
  for (u_int i = 0; i < out->target_count; i++)
    {
      const rwf_handoff_target *target = &in->targets.targets_val[i];

      out->targets[i].target = get_name (dec, "target", &target->target);
      out->targets[i].cap = target->cap;
      out->targets[i].running = target->running;
      out->targets[i].incarnation = target->incarnation;
      out->targets[i].remaining
          = get_time (dec, "target remaining", target->remaining);
    }
  out->once_id_count = in->once_ids.once_ids_len;
  out->once_ids = rw_arena_zalloc (dec->arena, out->once_id_count,
                                   sizeof *out->once_ids);
  for (u_int i = 0; i < out->once_id_count; i++)
    {
      out->once_ids[i].key = in->once_ids.once_ids_val[i].key;
      out->once_ids[i].remaining
          = get_time (dec, "once id", in->once_ids.once_ids_val[i].left);
      out->once_ids[i].answer
          = get_body (dec, &in->once_ids.once_ids_val[i].answer);
    }
}

static void
get_handoff_reply (struct decoder *dec, const rwf_handoff_res *in,
                   struct wir_msg *msg)
{
  msg->versions = get_versions (dec, &in->head.versions);
  msg->u.handoff_reply.dc = get_name (dec, "dc", &in->dc);
  msg->u.handoff_reply.group = in->group;
  msg->u.handoff_reply.accepted = in->accepted;
}

static void
get_pred (const rwf_pred *in, struct wir_pred *out)
{
  out->hash = in->hash;
  out->stamp = in->stamp;
  out->member_count = in->members.members_len;
  for (u_int i = 0; i < out->member_count; i++)
    out->members[i] = in->members.members_val[i];
}

static void
get_lease (struct decoder *dec, const rwf_lease *in, struct wir_lease *out)
{
  out->group = in->group;
  out->electorate = in->electorate;
  out->claimed = (in->flags & RWF_LEASE_CLAIMED) != 0;
  out->released = (in->flags & RWF_LEASE_RELEASED) != 0;
  if (in->flags > (RWF_LEASE_CLAIMED | RWF_LEASE_RELEASED))
    reject (dec, "lease flags");
  out->claimants = get_bounded (dec, "claimants", in->claimants,
                                (1U << WIR_MAX_VOTERS) - 1);
  out->other_count = in->others.others_len;
  for (u_int i = 0; i < out->other_count; i++)
    out->others[i] = in->others.others_val[i];
  out->pred_count = in->preds.preds_len;
  for (u_int i = 0; i < out->pred_count; i++)
    get_pred (&in->preds.preds_val[i], &out->preds[i]);
}

static void
get_probe (struct decoder *dec, const rwf_probe *in, struct wir_probe *out)
{
  out->vm = get_name (dec, "vm", &in->vm);
  out->incarnation = in->incarnation;
  out->indirect_vm = get_name (dec, "target", &in->target);
  out->change_count = in->changes.changes_len;
  for (u_int i = 0; i < out->change_count; i++)
    {
      const rwf_change *change = &in->changes.changes_val[i];

      out->changes[i].vm = get_name (dec, "change vm", &change->vm);
      out->changes[i].state = (enum wir_member_state)get_bounded (
          dec, "change state", change->state, WIR_LEAVING);
      out->changes[i].incarnation = change->incarnation;
      out->changes[i].counter = change->counter;
      out->changes[i].addr = get_name (dec, "change addr", &change->addr);
      out->changes[i].port = (uint16_t)get_bounded (dec, "change port",
                                                    change->port, UINT16_MAX);
    }
  out->lease_count = in->leases.leases_len;
  out->leases
      = rw_arena_zalloc (dec->arena, out->lease_count, sizeof *out->leases);
  for (u_int i = 0; i < out->lease_count; i++)
    get_lease (dec, &in->leases.leases_val[i], &out->leases[i]);
}

static void
get_msg (struct decoder *dec, const union wir_body *body, struct wir_msg *msg)
{
  switch (msg->type)
    {
    case WIR_HELLO_CALL:
      get_hello_call (dec, &body->hello_args, msg);
      break;
    case WIR_HELLO_REPLY:
      get_hello_reply (dec, &body->hello_res, msg);
      break;
    case WIR_SUBMIT:
      get_submit (dec, &body->submit_args, msg);
      break;
    case WIR_RESULT:
      get_result (dec, &body->result_args, msg);
      break;
    case WIR_CANCEL:
      get_cancel (dec, &body->cancel_args, msg);
      break;
    case WIR_FETCH_CALL:
      get_fetch_call (dec, &body->fetch_args, msg);
      break;
    case WIR_FETCH_REPLY:
      get_fetch_reply (dec, &body->fetch_res, msg);
      break;
    case WIR_HANDOFF_CALL:
      get_handoff_call (dec, &body->handoff_args, msg);
      break;
    case WIR_HANDOFF_REPLY:
      get_handoff_reply (dec, &body->handoff_res, msg);
      break;
    case WIR_PROBE_CALL:
      msg->versions = get_versions (dec, &body->probe_args.versions);
      get_probe (dec, &body->probe_args.probe, &msg->u.probe);
      break;
    case WIR_PROBE_REPLY:
      msg->versions = get_versions (dec, &body->probe_res.head.versions);
      get_probe (dec, &body->probe_res.probe, &msg->u.probe);
      break;
    }
}

static int
check_call (const struct rpc_msg *rpc, struct wir_msg *msg, struct rw_str peer,
            struct rw_err *err)
{
  const struct call_body *call = &rpc->rm_call;

  if (call->cb_prog != WIR_PROGRAM || call->cb_vers != WIR_VERSION)
    return rw_err_set (err, RW_E_PARSE, "decode", peer,
                       "program 0x%lx version %lu, expected 0x%x version %u",
                       (unsigned long)call->cb_prog,
                       (unsigned long)call->cb_vers, WIR_PROGRAM, WIR_VERSION);
  if (wir_type_of ((unsigned int)call->cb_proc, false, &msg->type) < 0)
    return rw_err_set (err, RW_E_PARSE, "decode", peer,
                       "unknown procedure %lu", (unsigned long)call->cb_proc);
  return 0;
}

/* Sets the type of MSG from the procedure number at the start of the result,
   and moves XDRS back to that start.  */
static int
check_reply (XDR *xdrs, const struct rpc_msg *rpc, struct wir_msg *msg,
             struct rw_str peer, struct rw_err *err)
{
  u_int procedure = 0;
  u_int start = XDR_GETPOS (xdrs);

  if (rpc->rm_reply.rp_stat != MSG_ACCEPTED)
    return rw_err_set (err, RW_E_PARSE, "decode", peer, "RPC call denied");
  if (rpc->acpted_rply.ar_stat != SUCCESS)
    return rw_err_set (err, RW_E_PARSE, "decode", peer,
                       "RPC reply with status %d",
                       (int)rpc->acpted_rply.ar_stat);
  if (!xdr_u_int (xdrs, &procedure) || !XDR_SETPOS (xdrs, start))
    return rw_err_set (err, RW_E_PARSE, "decode", peer, "truncated reply");
  if (wir_type_of (procedure, true, &msg->type) < 0)
    return rw_err_set (err, RW_E_PARSE, "decode", peer,
                       "reply of unknown procedure %u", procedure);
  return 0;
}

/* Returns the direction, CALL or REPLY, in the second 4-byte word of an RPC
   message; another number if it is invalid, or -1 if DATA is too short.  */
static int
direction_of (struct rw_str data)
{
  const unsigned char *p = (const unsigned char *)data.ptr;

  if (data.len < 8 || p[4] != 0 || p[5] != 0 || p[6] != 0)
    return -1;
  return p[7];
}

/* Decodes the RPC header and sets the type and xid of MSG.  Credentials are
   read into local buffers, so that libtirpc allocates none, and ignored.  */
static int
decode_header (XDR *xdrs, struct rw_str data, struct rw_str peer,
               struct wir_msg *msg, struct rw_err *err)
{
  struct rpc_msg rpc;
  char cred[MAX_AUTH_BYTES];
  char verf[MAX_AUTH_BYTES];
  int direction = direction_of (data);

  memset (&rpc, 0, sizeof rpc);
  if (direction == CALL)
    {
      rpc.rm_call.cb_cred.oa_base = cred;
      rpc.rm_call.cb_verf.oa_base = verf;
      if (!xdr_callmsg (xdrs, &rpc))
        return rw_err_set (err, RW_E_PARSE, "decode", peer,
                           "malformed RPC call header");
      msg->xid = rpc.rm_xid;
      return check_call (&rpc, msg, peer, err);
    }
  if (direction == REPLY)
    {
      rpc.acpted_rply.ar_verf.oa_base = verf;
      rpc.acpted_rply.ar_results.proc = wir_no_results;
      if (!xdr_replymsg (xdrs, &rpc))
        return rw_err_set (err, RW_E_PARSE, "decode", peer,
                           "malformed RPC reply header");
      msg->xid = rpc.rm_xid;
      return check_reply (xdrs, &rpc, msg, peer, err);
    }
  return rw_err_set (err, RW_E_PARSE, "decode", peer,
                     "neither an RPC call nor a reply");
}

static int
decode_body (XDR *xdrs, struct rw_str data, struct rw_str peer,
             struct rw_arena *arena, union wir_body *body, struct wir_msg *msg,
             struct rw_err *err)
{
  struct decoder dec = { arena, NULL };

  if (!wir_body_xdr (xdrs, msg->type, body))
    return rw_err_set (err, RW_E_PARSE, "decode", peer,
                       "%s: malformed at byte %u of %zu",
                       wir_type_name (msg->type), XDR_GETPOS (xdrs), data.len);
  if (XDR_GETPOS (xdrs) != data.len)
    return rw_err_set (
        err, RW_E_PARSE, "decode", peer, "%s: %zu bytes follow the message",
        wir_type_name (msg->type), data.len - XDR_GETPOS (xdrs));
  get_msg (&dec, body, msg);
  if (dec.field != NULL)
    return rw_err_set (err, RW_E_RANGE, "decode", peer,
                       "%s: invalid value of field %s",
                       wir_type_name (msg->type), dec.field);
  return 0;
}

static int
decode (XDR *xdrs, struct rw_str data, struct rw_str peer,
        struct rw_arena *arena, struct wir_msg *msg, struct rw_err *err)
{
  union wir_body body;
  int code = decode_header (xdrs, data, peer, msg, err);

  if (code < 0)
    return code;
  if (data.len > wir_max_len (msg->type))
    return rw_err_set (err, RW_E_RANGE, "decode", peer,
                       "%s: %zu bytes, limit %zu", wir_type_name (msg->type),
                       data.len, wir_max_len (msg->type));
  memset (&body, 0, sizeof body);
  code = decode_body (xdrs, data, peer, arena, &body, msg, err);
  xdrs->x_op = XDR_FREE;
  wir_body_xdr (xdrs, msg->type, &body);
  return code;
}

/* Decodes one RPC message, without record mark, into MSG.  Strings and arrays
   of MSG are allocated from ARENA, also when decoding fails.  PEER names the
   sender in errors.  Returns 0; RW_E_PARSE for a message that is malformed,
   truncated, followed by other bytes, of another program, version or
   procedure, or with a field above its maximum length; RW_E_RANGE for a
   message longer than its type allows or with a field value out of range.  */
int
wir_decode (struct rw_str data, struct rw_str peer, struct rw_arena *arena,
            struct wir_msg *msg, struct rw_err *err)
{
  XDR xdrs;
  int code;

  memset (msg, 0, sizeof *msg);
  if (data.len > WIR_MAX_FETCH_RECORD)
    return rw_err_set (err, RW_E_RANGE, "decode", peer, "%zu bytes, limit %d",
                       data.len, WIR_MAX_FETCH_RECORD);
  xdrmem_create (&xdrs, (char *)data.ptr, (u_int)data.len, XDR_DECODE);
  xdrs.x_public = (char *)data.ptr; /* see bytes.c */
  code = decode (&xdrs, data, peer, arena, msg, err);
  XDR_DESTROY (&xdrs);
  return code;
}
