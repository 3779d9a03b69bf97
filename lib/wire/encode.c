#include "body.h"

#include <stdlib.h>
#include <string.h>

#include <zlib.h>

/* Compression blocks the event loop, and level 6 takes 1.6 to 3.4 times as
   long for 10 to 16% fewer bytes (rwfcost node).  */
#define COMPRESS_LEVEL 1

/* Upper bound in bytes of the RPC header with empty credentials, and of
   alignment.  */
#define HEADER_SIZE_MAX 64

/* State of the conversion from a wir_msg to the generated structures.  */
struct encoder
{
  struct rw_arena arena; /* owns the arrays of the generated structures */
  size_t size;           /* upper bound of the encoded length in bytes */
  const char *field;     /* the first invalid field; null: none */
  size_t field_len;      /* its length, or its count of elements */
  size_t field_max;
};

/* Records FIELD as invalid, unless an earlier field is.  */
static void
reject (struct encoder *enc, const char *field, size_t len, size_t max)
{
  if (enc->field != NULL)
    return;
  enc->field = field;
  enc->field_len = len;
  enc->field_max = max;
}

/* Points *VAL at the bytes of S without a copy.  The encoded form adds at most
   8 bytes, for the length and the padding.  */
static void
put_bytes (struct encoder *enc, const char *field, struct rw_str s, size_t max,
           u_int *len, char **val)
{
  if (s.len > max)
    {
      reject (enc, field, s.len, max);
      return;
    }
  *len = (u_int)s.len;
  *val = (char *)s.ptr;
  enc->size += s.len + 8;
}

static void
put_printable (struct encoder *enc, const char *field, struct rw_str s,
               size_t max, u_int *len, char **val)
{
  if (!wir_is_printable (s))
    reject (enc, field, s.len, max);
  put_bytes (enc, field, s, max, len, val);
}

static void
put_name (struct encoder *enc, const char *field, struct rw_str s,
          rwf_name *out)
{
  put_printable (enc, field, s, WIR_MAX_NAME, &out->len, &out->val);
}

static void
put_key (struct encoder *enc, const char *field, struct rw_str s, rwf_key *out)
{
  put_printable (enc, field, s, WIR_MAX_KEY, &out->len, &out->val);
}

static void
put_text (struct encoder *enc, const char *field, struct rw_str s,
          rwf_text *out)
{
  put_bytes (enc, field, s, WIR_MAX_TEXT, &out->len, &out->val);
}

static void
put_body (struct encoder *enc, const char *field, struct rw_str s,
          rwf_body *out)
{
  put_bytes (enc, field, s, WIR_MAX_BODY, &out->len, &out->val);
}

/* Sets *LEN to COUNT and returns zeroed memory for COUNT elements of SIZE
   bytes, or null if COUNT is 0.  If COUNT is above MAX, rejects FIELD and
   returns null with *LEN unchanged.  */
static void *
put_array (struct encoder *enc, const char *field, uint32_t count, size_t size,
           size_t max, u_int *len)
{
  if (count > max)
    {
      reject (enc, field, count, max);
      return NULL;
    }
  *len = count;
  enc->size += count * size + 4;
  return count != 0 ? rw_arena_zalloc (&enc->arena, count, size) : NULL;
}

static void
put_versions (struct encoder *enc, const struct wir_versions *in,
              rwf_versions *out)
{
  out->rules = in->rules;
  out->vms = in->vms;
  out->maps_digest = in->maps_digest;
  out->map_version = in->map_version;
  put_key (enc, "map_key", in->map_key, &out->map_key);
}

static void
put_head (struct encoder *enc, const struct wir_msg *msg, rwf_head *out)
{
  out->procedure = wir_procedure (msg->type);
  put_versions (enc, &msg->versions, &out->versions);
}

static rwf_request_id
id_of (struct wir_request_id id)
{
  return (rwf_request_id){ .incarnation = id.incarnation,
                           .sequence = id.sequence };
}

static void
put_hello_call (struct encoder *enc, const struct wir_msg *msg,
                rwf_hello_args *out)
{
  const struct wir_hello_call *in = &msg->u.hello_call;

  put_versions (enc, &msg->versions, &out->versions);
  put_name (enc, "vm", in->vm, &out->vm);
  out->incarnation = in->incarnation;
  out->sent = in->sent;
}

static void
put_hello_reply (struct encoder *enc, const struct wir_msg *msg,
                 rwf_hello_res *out)
{
  const struct wir_hello_reply *in = &msg->u.hello_reply;

  put_head (enc, msg, &out->head);
  put_name (enc, "vm", in->vm, &out->vm);
  out->incarnation = in->incarnation;
  out->echo = in->echo;
  out->sent = in->sent;
}

static void
put_parts (struct encoder *enc, const struct wir_submit *in,
           rwf_submit_args *out)
{
  out->parts.parts_val
      = put_array (enc, "parts", in->part_count, sizeof *out->parts.parts_val,
                   WIR_MAX_PARTS, &out->parts.parts_len);
  for (u_int i = 0; i < out->parts.parts_len; i++)
    {
      rwf_part *part = &out->parts.parts_val[i];

      part->number = in->parts[i].number;
      part->attempt = in->parts[i].attempt;
      part->shard = in->parts[i].shard;
      put_name (enc, "target", in->parts[i].target, &part->target);
    }
}

static void
put_submit (struct encoder *enc, const struct wir_msg *msg,
            rwf_submit_args *out)
{
  const struct wir_submit *in = &msg->u.submit;

  put_versions (enc, &msg->versions, &out->versions);
  out->id = id_of (in->id);
  out->kind = in->kind;
  put_name (enc, "service", in->service, &out->service);
  put_name (enc, "caller_class", in->caller_class, &out->caller_class);
  put_key (enc, "snapshot", in->snapshot, &out->snapshot);
  put_key (enc, "idempotency_key", in->idempotency_key, &out->idempotency_key);
  out->remaining = in->remaining;
  out->sent = in->sent;
  out->trace.trace_hi = in->trace.trace_hi;
  out->trace.trace_lo = in->trace.trace_lo;
  out->trace.span = in->trace.span;
  out->trace.sampled = in->trace.sampled;
  put_body (enc, "body", in->body, &out->body);
  put_parts (enc, in, out);
}

static void
put_records (struct encoder *enc, const struct wir_part_result *in,
             rwf_part_result *out)
{
  out->records.records_val = put_array (
      enc, "records", in->record_count, sizeof *out->records.records_val,
      WIR_MAX_RECORDS, &out->records.records_len);
  for (u_int i = 0; i < out->records.records_len; i++)
    {
      rwf_record *record = &out->records.records_val[i];

      put_text (enc, "record id", in->records[i].id, &record->id);
      record->score = in->records[i].score;
      put_body (enc, "record text", in->records[i].text, &record->text);
    }
}

static void
put_part_result (struct encoder *enc, const struct wir_part_result *in,
                 rwf_part_result *out)
{
  out->id = id_of (in->id);
  out->part = in->part;
  out->attempt = in->attempt;
  out->status = in->status;
  out->ran = in->ran;
  out->retry_after_ms = in->retry_after_ms;
  out->shard = in->shard;
  put_name (enc, "target", in->target, &out->target);
  out->incarnation = in->incarnation;
  put_key (enc, "snapshot", in->snapshot, &out->snapshot);
  put_name (enc, "step", in->step, &out->step);
  put_text (enc, "detail", in->detail, &out->detail);
  put_name (enc, "hint", in->hint, &out->hint);
  out->queued = in->queued;
  out->exchange = in->exchange;
  out->http_status = in->http_status;
  put_body (enc, "body", in->body, &out->body);
  put_records (enc, in, out);
}

static void
put_result (struct encoder *enc, const struct wir_msg *msg,
            rwf_result_args *out)
{
  const struct wir_result *in = &msg->u.result;

  put_versions (enc, &msg->versions, &out->versions);
  out->results.results_val = put_array (
      enc, "results", in->result_count, sizeof *out->results.results_val,
      WIR_MAX_PARTS, &out->results.results_len);
  for (u_int i = 0; i < out->results.results_len; i++)
    put_part_result (enc, &in->results[i], &out->results.results_val[i]);
}

static void
put_cancel (struct encoder *enc, const struct wir_msg *msg,
            rwf_cancel_args *out)
{
  const struct wir_cancel *in = &msg->u.cancel;

  put_versions (enc, &msg->versions, &out->versions);
  out->id = id_of (in->id);
  out->parts.parts_val
      = put_array (enc, "parts", in->part_count, sizeof *out->parts.parts_val,
                   WIR_MAX_PARTS, &out->parts.parts_len);
  for (u_int i = 0; i < out->parts.parts_len; i++)
    {
      out->parts.parts_val[i].number = in->parts[i].number;
      out->parts.parts_val[i].attempt = in->parts[i].attempt;
    }
}

static void
put_fetch_call (struct encoder *enc, const struct wir_msg *msg,
                rwf_fetch_args *out)
{
  put_versions (enc, &msg->versions, &out->versions);
  put_key (enc, "key", msg->u.fetch_call.key, &out->key);
  out->known = msg->u.fetch_call.known_version;
}

/* Compresses BODY into the arena of ENC, sets *PLAIN_LEN to its uncompressed
   length and returns the result.  If BODY is at most WIR_COMPRESS_ABOVE long,
   is too long for a document or does not shrink, sets *PLAIN_LEN to 0 and
   returns BODY itself.  */
static struct rw_str
compress_body (struct encoder *enc, struct rw_str body, u_int *plain_len)
{
  uLongf len = compressBound (body.len);
  Bytef *out;

  *plain_len = 0;
  if (body.len <= WIR_COMPRESS_ABOVE || body.len > WIR_MAX_DOC)
    return body;
  out = rw_arena_alloc (&enc->arena, len);
  if (compress2 (out, &len, (const Bytef *)body.ptr, body.len, COMPRESS_LEVEL)
          != Z_OK
      || len >= body.len)
    return body;
  *plain_len = (u_int)body.len;
  return (struct rw_str){ (const char *)out, len };
}

static void
put_fetch_reply (struct encoder *enc, const struct wir_msg *msg,
                 rwf_fetch_res *out)
{
  const struct wir_fetch_reply *in = &msg->u.fetch_reply;
  struct rw_str body = compress_body (enc, in->body, &out->plain_len);

  put_head (enc, msg, &out->head);
  put_key (enc, "key", in->key, &out->key);
  out->doc_version = in->version;
  put_bytes (enc, "body", body, WIR_MAX_DOC, &out->body.len, &out->body.val);
}

static void
put_handoff_call (struct encoder *enc, const struct wir_msg *msg,
                  rwf_handoff_args *out)
{
  const struct wir_handoff_call *in = &msg->u.handoff_call;

  put_versions (enc, &msg->versions, &out->versions);
  put_name (enc, "vm", in->vm, &out->vm);
  out->incarnation = in->incarnation;
  put_name (enc, "dc", in->dc, &out->dc);
  out->group = in->group;
  out->electorate = in->electorate;
  out->sent = in->sent;
  out->targets.targets_val = put_array (
      enc, "targets", in->target_count, sizeof *out->targets.targets_val,
      WIR_MAX_TARGETS, &out->targets.targets_len);
  for (u_int i = 0; i < out->targets.targets_len; i++)
    {
      rwf_handoff_target *target = &out->targets.targets_val[i];

      put_name (enc, "target", in->targets[i].target, &target->target);
      target->cap = in->targets[i].cap;
      target->running = in->targets[i].running;
      target->incarnation = in->targets[i].incarnation;
      target->remaining = in->targets[i].remaining;
    }
  out->once_ids.once_ids_val = put_array (
      enc, "once ids", in->once_id_count, sizeof *out->once_ids.once_ids_val,
      WIR_MAX_ONCE_IDS, &out->once_ids.once_ids_len);
  for (u_int i = 0; i < out->once_ids.once_ids_len; i++)
    {
      out->once_ids.once_ids_val[i].key = in->once_ids[i].key;
      out->once_ids.once_ids_val[i].left = in->once_ids[i].remaining;
      put_body (enc, "once answer", in->once_ids[i].answer,
                &out->once_ids.once_ids_val[i].answer);
    }
}

static void
put_handoff_reply (struct encoder *enc, const struct wir_msg *msg,
                   rwf_handoff_res *out)
{
  put_head (enc, msg, &out->head);
  put_name (enc, "dc", msg->u.handoff_reply.dc, &out->dc);
  out->group = msg->u.handoff_reply.group;
  out->accepted = msg->u.handoff_reply.accepted;
}

static void
put_pred (struct encoder *enc, const struct wir_pred *in, rwf_pred *out)
{
  out->hash = in->hash;
  out->stamp = in->stamp;
  out->members.members_val
      = put_array (enc, "members", in->member_count, sizeof (u_quad_t),
                   WIR_MAX_VOTERS, &out->members.members_len);
  for (u_int i = 0; i < out->members.members_len; i++)
    out->members.members_val[i] = in->members[i];
}

static void
put_lease (struct encoder *enc, const struct wir_lease *in, rwf_lease *out)
{
  out->group = in->group;
  out->electorate = in->electorate;
  out->flags = (in->claimed ? RWF_LEASE_CLAIMED : 0U)
               | (in->released ? RWF_LEASE_RELEASED : 0U);
  out->claimants = in->claimants;
  out->others.others_val
      = put_array (enc, "others", in->other_count, sizeof (u_quad_t),
                   WIR_MAX_OTHERS, &out->others.others_len);
  for (u_int i = 0; i < out->others.others_len; i++)
    out->others.others_val[i] = in->others[i];
  out->preds.preds_val
      = put_array (enc, "preds", in->pred_count, sizeof *out->preds.preds_val,
                   WIR_MAX_PREDS, &out->preds.preds_len);
  for (u_int i = 0; i < out->preds.preds_len; i++)
    put_pred (enc, &in->preds[i], &out->preds.preds_val[i]);
}

static void
put_changes (struct encoder *enc, const struct wir_probe *in, rwf_probe *out)
{
  out->changes.changes_val = put_array (
      enc, "changes", in->change_count, sizeof *out->changes.changes_val,
      WIR_MAX_CHANGES, &out->changes.changes_len);
  for (u_int i = 0; i < out->changes.changes_len; i++)
    {
      rwf_change *change = &out->changes.changes_val[i];

      put_name (enc, "change vm", in->changes[i].vm, &change->vm);
      change->state = in->changes[i].state;
      change->incarnation = in->changes[i].incarnation;
      change->counter = in->changes[i].counter;
      put_name (enc, "change addr", in->changes[i].addr, &change->addr);
      change->port = in->changes[i].port;
    }
}

static void
put_probe (struct encoder *enc, const struct wir_probe *in, rwf_probe *out)
{
  put_name (enc, "vm", in->vm, &out->vm);
  out->incarnation = in->incarnation;
  put_name (enc, "target", in->indirect_vm, &out->target);
  put_changes (enc, in, out);
  out->leases.leases_val = put_array (enc, "leases", in->lease_count,
                                      sizeof *out->leases.leases_val,
                                      WIR_MAX_LEASES, &out->leases.leases_len);
  for (u_int i = 0; i < out->leases.leases_len; i++)
    put_lease (enc, &in->leases[i], &out->leases.leases_val[i]);
}

static void
put_msg (struct encoder *enc, const struct wir_msg *msg, union wir_body *body)
{
  switch (msg->type)
    {
    case WIR_HELLO_CALL:
      put_hello_call (enc, msg, &body->hello_args);
      break;
    case WIR_HELLO_REPLY:
      put_hello_reply (enc, msg, &body->hello_res);
      break;
    case WIR_SUBMIT:
      put_submit (enc, msg, &body->submit_args);
      break;
    case WIR_RESULT:
      put_result (enc, msg, &body->result_args);
      break;
    case WIR_CANCEL:
      put_cancel (enc, msg, &body->cancel_args);
      break;
    case WIR_FETCH_CALL:
      put_fetch_call (enc, msg, &body->fetch_args);
      break;
    case WIR_FETCH_REPLY:
      put_fetch_reply (enc, msg, &body->fetch_res);
      break;
    case WIR_HANDOFF_CALL:
      put_handoff_call (enc, msg, &body->handoff_args);
      break;
    case WIR_HANDOFF_REPLY:
      put_handoff_reply (enc, msg, &body->handoff_res);
      break;
    case WIR_PROBE_CALL:
      put_versions (enc, &msg->versions, &body->probe_args.versions);
      put_probe (enc, &msg->u.probe, &body->probe_args.probe);
      break;
    case WIR_PROBE_REPLY:
      put_head (enc, msg, &body->probe_res.head);
      put_probe (enc, &msg->u.probe, &body->probe_res.probe);
      break;
    }
}

static bool
encode_header (XDR *xdrs, const struct wir_msg *msg)
{
  struct rpc_msg rpc;

  memset (&rpc, 0, sizeof rpc);
  rpc.rm_xid = msg->xid;
  if (wir_is_reply (msg->type))
    {
      rpc.rm_direction = REPLY;
      rpc.rm_reply.rp_stat = MSG_ACCEPTED;
      rpc.acpted_rply.ar_stat = SUCCESS;
      rpc.acpted_rply.ar_results.proc = wir_no_results;
      return xdr_replymsg (xdrs, &rpc);
    }
  rpc.rm_direction = CALL;
  rpc.rm_call.cb_rpcvers = RPC_MSG_VERSION;
  rpc.rm_call.cb_prog = WIR_PROGRAM;
  rpc.rm_call.cb_vers = WIR_VERSION;
  rpc.rm_call.cb_proc = wir_procedure (msg->type);
  return xdr_callmsg (xdrs, &rpc);
}

/* Appends the encoded message to OUT, which has room for ENC->size bytes.  */
static bool
encode_into (const struct encoder *enc, const struct wir_msg *msg,
             union wir_body *body, struct rw_buf *out)
{
  XDR xdrs;
  bool done;

  xdrmem_create (&xdrs, out->ptr + out->len, (u_int)enc->size, XDR_ENCODE);
  done = encode_header (&xdrs, msg) && wir_body_xdr (&xdrs, msg->type, body);
  if (done)
    out->len += XDR_GETPOS (&xdrs);
  XDR_DESTROY (&xdrs);
  return done;
}

/* Gives OUT room for SIZE more bytes.  */
static void
reserve (struct rw_buf *out, size_t size)
{
  if (out->cap - out->len >= size)
    return;
  out->cap = out->len + size;
  out->ptr = rw_xrealloc (out->ptr, out->cap);
}

static int
encode (struct encoder *enc, const struct wir_msg *msg, struct rw_buf *out,
        struct rw_err *err)
{
  union wir_body body;
  size_t start = out->len;

  memset (&body, 0, sizeof body);
  put_msg (enc, msg, &body);
  if (enc->field != NULL)
    return rw_err_set (err, RW_E_RANGE, "encode", RW_LIT (""),
                       "%s: field %s has length %zu (limit %zu) or contains "
                       "a control character",
                       wir_type_name (msg->type), enc->field, enc->field_len,
                       enc->field_max);
  reserve (out, enc->size);
  if (!encode_into (enc, msg, &body, out))
    return rw_err_set (err, RW_E_PARSE, "encode", RW_LIT (""),
                       "%s: XDR encoding failed", wir_type_name (msg->type));
  if (out->len - start > wir_max_len (msg->type))
    {
      size_t len = out->len - start;

      out->len = start;
      return rw_err_set (err, RW_E_RANGE, "encode", RW_LIT (""),
                         "%s: %zu bytes, limit %zu", wir_type_name (msg->type),
                         len, wir_max_len (msg->type));
    }
  return 0;
}

/* Appends MSG as an RPC message, without a record mark, to OUT.  Returns 0;
   RW_E_RANGE if a field or the whole message exceeds its limit or a name or
   key contains a control character; RW_E_PARSE if XDR encoding fails.  After
   an error the length of OUT is as before.  */
int
wir_encode (const struct wir_msg *msg, struct rw_buf *out, struct rw_err *err)
{
  struct encoder enc;
  int code;

  memset (&enc, 0, sizeof enc);
  rw_arena_init (&enc.arena, 4096);
  enc.size = sizeof (union wir_body) + HEADER_SIZE_MAX;
  code = encode (&enc, msg, out, err);
  rw_arena_finish (&enc.arena);
  return code;
}
