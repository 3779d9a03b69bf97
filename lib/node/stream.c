#include "internal.h"

#include <stdlib.h>
#include <string.h>

/* Returns the stream NUMBER, or a null pointer.  */
struct nod_stream *
nod_stream_find (const struct nod_node *node, uint64_t number)
{
  return rw_map_get (&node->streams, number);
}

/* Sends MSG on STREAM or, if that is 0, to the address of PEER, which may be
   null otherwise.  Sets the document versions of MSG.  If nothing could be
   sent, nod_on_record_unsent is called with TOKEN, unless that is 0.  Returns
   the length of the message in bytes, or 0 if it could not be encoded.  */
size_t
nod_send_message (struct nod_node *node, uint64_t stream,
                  const struct nod_peer *peer, uint64_t token,
                  struct wir_msg *msg)
{
  struct nod_action *action;
  struct rw_err err = { 0 };
  struct rw_buf data;

  rw_buf_init (&data);
  nod_fill_versions (node, &msg->versions);
  if (wir_encode (msg, &data, &err) < 0)
    {
      nod_log (node, NOD_LOG_ERROR, "stream", "%s was not sent: %s.",
               wir_type_name (msg->type), err.detail);
      rw_buf_finish (&data);
      return 0;
    }
  action = nod_add_action (node, NOD_SEND_RECORD);
  action->u.record.stream = stream;
  if (peer != NULL)
    action->u.record.to = peer->addr;
  action->u.record.token = token;
  action->data = data;
  return data.len;
}

/* Returns the mechanisms of the clock of a stream that are switched off.  */
static unsigned int
clock_disabled (const struct nod_node *node)
{
  return nod_enabled (node, NOD_MECH_MESSAGE_AGE) ? 0 : ONC_MECH_MESSAGE_AGE;
}

/* Returns the stream NUMBER, created if it is new.  */
static struct nod_stream *
stream_get (struct nod_node *node, uint64_t number)
{
  struct nod_stream *stream = nod_stream_find (node, number);

  if (stream != NULL)
    return stream;
  stream = rw_xcalloc (1, sizeof *stream);
  stream->number = number;
  onc_clock_init (&stream->clock, clock_disabled (node));
  rw_map_put (&node->streams, number, stream);
  return stream;
}

/* Sends a HELLO call on an accepted stream, at most once in
   NOD_HELLO_INTERVAL.  The reply gives the clock of the other end, from which
   the age of its messages is computed.  */
static void
send_hello (struct nod_node *node, struct nod_stream *stream)
{
  struct wir_msg msg = { .type = WIR_HELLO_CALL, .xid = ++node->last_xid };

  if (stream->hello_sent_at != 0
      && node->now < stream->hello_sent_at + NOD_HELLO_INTERVAL)
    return;
  stream->hello_sent_at = node->now;
  msg.u.hello_call.vm = node->settings.vm;
  msg.u.hello_call.incarnation = node->settings.incarnation;
  msg.u.hello_call.sent = node->now;
  nod_send_message (node, stream->number, NULL, 0, &msg);
}

void
nod_on_stream_open (struct nod_node *node, uint64_t number,
                    const struct nod_addr *addr, rw_time now)
{
  struct nod_stream *stream;

  node->now = now;
  stream = stream_get (node, number);
  stream->opened_here = true;
  stream->addr = *addr;
}

/* Frees the deferred records of STREAM.  */
static void
free_deferred (struct nod_stream *stream)
{
  while (stream->deferred != NULL)
    {
      struct nod_deferred_record *next = stream->deferred->next;

      rw_buf_finish (&stream->deferred->data);
      free (stream->deferred);
      stream->deferred = next;
    }
}

/* Fails the parts that were sent to the address of STREAM, which broke, and
   have no result.  */
static void
fail_sent_parts (struct nod_node *node, const struct nod_stream *stream)
{
  struct rw_err why = { 0 };
  size_t position = 0;
  struct nod_peer *peer;

  rw_err_set (&why, RW_E_RESET, "stream", rw_str_from (stream->addr.host),
              "the connection to the holder broke");
  while ((peer = rw_map_next (&node->peers, &position)) != NULL)
    {
      if (peer->addr.port != stream->addr.port
          || strcmp (peer->addr.host, stream->addr.host) != 0)
        continue;
      while (peer->sent_parts != NULL)
        nod_on_sent_part_lost (node, peer->sent_parts, false, &why);
    }
}

/* Frees a stream that was closed by either end or broke: cancels the parts
   that came over it and fails those that were sent over it.  */
void
nod_on_stream_closed (struct nod_node *node, uint64_t number, rw_time now)
{
  struct nod_stream *stream = rw_map_remove (&node->streams, number);

  node->now = now;
  if (stream == NULL)
    return;
  nod_holder_cancel_stream (node, stream);
  if (stream->opened_here)
    fail_sent_parts (node, stream);
  free_deferred (stream);
  free (stream);
  nod_run_pending (node);
}

/* Reports the parts of the record with TOKEN as not sent.  */
void
nod_on_record_unsent (struct nod_node *node, uint64_t token, rw_time now)
{
  struct rw_err why = { 0 };
  size_t position = 0;
  struct nod_peer *peer;

  node->now = now;
  while (token != 0 && (peer = rw_map_next (&node->peers, &position)) != NULL)
    {
      struct nod_sent_part *sent = peer->sent_parts;

      rw_err_set (&why, RW_E_RESET, "connect", rw_str_from (peer->name),
                  "nothing was sent");
      while (sent != NULL)
        {
          struct nod_sent_part *next = sent->next;

          if (sent->token == token)
            nod_on_sent_part_lost (node, sent, true, &why);
          sent = next;
        }
    }
  nod_run_pending (node);
}

/* Asks PEER for a document, if its address is known.  */
void
nod_fetch (struct nod_node *node, struct nod_peer *peer,
           const struct cnf_fetch *fetch)
{
  struct wir_msg msg = { .type = WIR_FETCH_CALL, .xid = ++node->last_xid };

  if (peer->addr.port == 0)
    return;
  msg.u.fetch_call.key
      = rw_arena_str (&node->scratch, rw_str_from (fetch->key));
  msg.u.fetch_call.known_version = fetch->known_version;
  rw_map_put (&node->fetches, msg.xid, peer);
  nod_send_message (node, 0, peer, 0, &msg);
}

/* Handles a FETCH call: replies with the list of maps, or with the document
   and its version.  Version 0: the document is unknown here, or no newer than
   the version that the peer has.  */
static void
on_fetch (struct nod_node *node, const struct nod_stream *stream,
          const struct wir_msg *call)
{
  struct wir_msg msg = { .type = WIR_FETCH_REPLY, .xid = call->xid };
  struct wir_fetch_reply *reply = &msg.u.fetch_reply;
  struct rw_buf list;

  rw_buf_init (&list);
  reply->key = call->u.fetch_call.key;
  reply->body = RW_LIT ("");
  if (rw_str_eq_cstr (reply->key, CNF_MAPS_KEY))
    {
      cnf_maps_list (&node->conf, &list);
      reply->version = 1;
      reply->body = rw_buf_str (&list);
    }
  else
    {
      reply->version = cnf_get (&node->conf, reply->key, &reply->body);
      if (reply->version <= call->u.fetch_call.known_version
          && nod_enabled (node, NOD_MECH_MONOTONIC))
        {
          reply->version = 0;
          reply->body = RW_LIT ("");
        }
    }
  sta_add (node->metrics.control_bytes,
           nod_send_message (node, stream->number, NULL, 0, &msg));
  rw_buf_finish (&list);
}

/* Handles the reply to FETCH: offers the document, or fetches the maps of the
   list that are newer.  */
static void
on_fetch_reply (struct nod_node *node, const struct wir_msg *msg)
{
  const struct wir_fetch_reply *reply = &msg->u.fetch_reply;
  struct nod_peer *peer = rw_map_remove (&node->fetches, msg->xid);
  struct cnf_fetch fetches[8];
  size_t count;

  if (peer == NULL)
    return;
  if (reply->version == 0)
    {
      cnf_on_fetch_failed (&node->conf, reply->key);
      return;
    }
  if (!rw_str_eq_cstr (reply->key, CNF_MAPS_KEY))
    {
      nod_config_offer (node, reply->key, reply->version, reply->body,
                        rw_str_from (peer->name));
      return;
    }
  count = cnf_on_maps_list (&node->conf, reply->body, node->now, fetches,
                            RW_ARRAY_LEN (fetches));
  for (size_t i = 0; i < count; i++)
    nod_fetch (node, peer, &fetches[i]);
}

/* Handles a HELLO call.  */
static void
on_hello (struct nod_node *node, const struct nod_stream *stream,
          const struct wir_msg *call)
{
  struct wir_msg msg = { .type = WIR_HELLO_REPLY, .xid = call->xid };

  msg.u.hello_reply.vm = node->settings.vm;
  msg.u.hello_reply.incarnation = node->settings.incarnation;
  msg.u.hello_reply.echo = call->u.hello_call.sent;
  msg.u.hello_reply.sent = node->now;
  nod_send_message (node, stream->number, NULL, 0, &msg);
}

static void dispatch (struct nod_node *node, struct nod_stream *stream,
                      struct rw_str data, const struct wir_msg *msg);

/* Dispatches the deferred records of STREAM, oldest first, now that the clock
   offset is known.  */
static void
dispatch_deferred (struct nod_node *node, struct nod_stream *stream)
{
  struct nod_deferred_record *record = stream->deferred;

  stream->deferred = NULL;
  while (record != NULL)
    {
      struct nod_deferred_record *next = record->next;
      struct rw_err err;
      struct wir_msg msg;

      if (wir_decode (rw_buf_str (&record->data), rw_str_from (stream->vm),
                      &node->scratch, &msg, &err)
          == 0)
        dispatch (node, stream, rw_buf_str (&record->data), &msg);
      rw_buf_finish (&record->data);
      free (record);
      record = next;
    }
}

/* Handles the reply to HELLO: adds a sample to the clock of STREAM.  A reply
   whose echoed time is in the future is ignored.  */
static void
on_hello_reply (struct nod_node *node, struct nod_stream *stream,
                const struct wir_hello_reply *reply)
{
  if (reply->echo > node->now)
    return;
  rw_str_copy (stream->vm, sizeof stream->vm, reply->vm);
  if (node->now - stream->clock_sampled_at > NOD_CLOCK_SAMPLE_AGE_MAX)
    onc_clock_init (&stream->clock, clock_disabled (node));
  if (!stream->clock.has_sample
      || node->now - reply->echo <= stream->clock.rtt)
    stream->clock_sampled_at = node->now;
  onc_clock_add_sample (&stream->clock, reply->echo, reply->sent, node->now);
  dispatch_deferred (node, stream);
}

/* Keeps a copy of a record until the clock offset of the other end is known.
 */
static void
defer_record (struct nod_stream *stream, struct rw_str data)
{
  struct nod_deferred_record *record = rw_xcalloc (1, sizeof *record);
  struct nod_deferred_record **link = &stream->deferred;

  rw_buf_init (&record->data);
  rw_buf_append_str (&record->data, data);
  while (*link != NULL)
    link = &(*link)->next;
  *link = record;
}

/* Returns whether the age of MSG has to be known.  That is so for hand-overs,
   which are void when too old, and for once requests.  */
static bool
needs_clock (const struct wir_msg *msg)
{
  return msg->type == WIR_HANDOFF_CALL
         || (msg->type == WIR_SUBMIT && msg->u.submit.kind == WIR_KIND_ONCE);
}

/* Handles MSG, decoded from DATA, or defers it while its age is needed and not
   known.  */
static void
dispatch (struct nod_node *node, struct nod_stream *stream, struct rw_str data,
          const struct wir_msg *msg)
{
  if (needs_clock (msg) && !stream->clock.has_sample
      && nod_enabled (node, NOD_MECH_MESSAGE_AGE))
    {
      defer_record (stream, data);
      return;
    }
  switch (msg->type)
    {
    case WIR_HELLO_CALL:
      on_hello (node, stream, msg);
      break;
    case WIR_HELLO_REPLY:
      on_hello_reply (node, stream, &msg->u.hello_reply);
      break;
    case WIR_SUBMIT:
      nod_holder_submit (node, stream, &msg->u.submit);
      break;
    case WIR_RESULT:
      for (uint32_t i = 0; i < msg->u.result.result_count; i++)
        nod_entry_on_result (node, &msg->u.result.results[i]);
      break;
    case WIR_CANCEL:
      nod_holder_cancel (node, &msg->u.cancel);
      break;
    case WIR_FETCH_CALL:
      on_fetch (node, stream, msg);
      break;
    case WIR_FETCH_REPLY:
      on_fetch_reply (node, msg);
      break;
    case WIR_HANDOFF_CALL:
      nod_on_handoff (node, stream, msg->xid, &msg->u.handoff_call);
      break;
    case WIR_HANDOFF_REPLY:
      nod_on_handoff_reply (node, msg->xid, &msg->u.handoff_reply);
      break;
    case WIR_PROBE_CALL:
    case WIR_PROBE_REPLY:
      break;
    }
}

/* Handles one record of a stream.  A stream that is not known yet was accepted
   by the caller, and is created.  */
int
nod_on_record (struct nod_node *node, uint64_t number, struct rw_str data,
               rw_time now, struct rw_err *err)
{
  struct nod_stream *stream;
  struct wir_msg msg;
  int rc;

  node->now = now;
  stream = stream_get (node, number);
  rc = wir_decode (data, rw_str_from (stream->vm), &node->scratch, &msg, err);
  if (rc == 0 && (msg.type == WIR_PROBE_CALL || msg.type == WIR_PROBE_REPLY))
    rc = rw_err_set (err, RW_E_PARSE, "record", rw_str_from (stream->vm),
                     "a probe does not belong in a stream");
  if (rc < 0)
    {
      sta_inc (node->metrics.malformed);
      rw_arena_reset (&node->scratch);
      return rc;
    }
  if (!stream->opened_here)
    send_hello (node, stream);
  if (stream->vm[0] != '\0')
    nod_on_peer_versions (node, nod_peer_get (node, rw_str_from (stream->vm)),
                          &msg.versions);
  dispatch (node, stream, data, &msg);
  nod_run_pending (node);
  return 0;
}

/* Frees the streams and cancels the parts that came over them.  */
void
nod_streams_finish (struct nod_node *node)
{
  size_t position = 0;
  struct nod_stream *stream;

  while ((stream = rw_map_next (&node->streams, &position)) != NULL)
    {
      free_deferred (stream);
      nod_holder_cancel_stream (node, stream);
      free (stream);
    }
  rw_map_finish (&node->streams);
}
