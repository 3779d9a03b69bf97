#include "wire.h"

#include <string.h>

#define LAST_FRAGMENT 0x80000000U
/* An RPC message starts with its transaction id and its direction, of 4 bytes
   each.  */
#define DIRECTION_END 8

/* Prepares READER for the start of a stream.  */
void
wir_reader_init (struct wir_reader *reader)
{
  memset (reader, 0, sizeof *reader);
  rw_buf_init (&reader->record);
}

/* Frees the memory of READER, with a record received in part.  */
void
wir_reader_finish (struct wir_reader *reader)
{
  rw_buf_finish (&reader->record);
}

static uint32_t
read_u32 (const unsigned char *p)
{
  return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8
         | p[3];
}

/* Returns the maximum length of the record that begins with the LEN bytes at
   START.  Of all messages only FETCH replies may exceed WIR_MAX_RECORD, so the
   higher limit applies to replies and while the direction is unknown.  */
static size_t
record_limit (const char *start, size_t len)
{
  if (len < DIRECTION_END)
    return WIR_MAX_FETCH_RECORD;
  return read_u32 ((const unsigned char *)start + 4) == 1
             ? WIR_MAX_FETCH_RECORD
             : WIR_MAX_RECORD;
}

static int
check_length (size_t total, size_t limit, struct rw_str peer,
              struct rw_err *err)
{
  if (total <= limit)
    return 0;
  return rw_err_set (err, RW_E_RANGE, "read record", peer,
                     "record of at least %zu bytes, limit %zu", total, limit);
}

/* Reads a record mark, which may arrive in pieces.  Returns 1 when it is
   complete, 0 when INPUT is used up, or a negative error number.  */
static int
read_mark (struct wir_reader *reader, struct rw_str *input, struct rw_str peer,
           struct rw_err *err)
{
  size_t want = sizeof reader->mark - reader->mark_len;
  size_t n = input->len < want ? input->len : want;
  uint32_t mark;
  int code;

  if (n > 0)
    memcpy (reader->mark + reader->mark_len, input->ptr, n);
  reader->mark_len += n;
  input->ptr += n;
  input->len -= n;
  if (reader->mark_len < sizeof reader->mark)
    return 0;
  mark = read_u32 (reader->mark);
  reader->mark_len = 0;
  reader->last_fragment = (mark & LAST_FRAGMENT) != 0;
  reader->fragment_left = mark & ~LAST_FRAGMENT;
  reader->in_fragment = true;
  /* A peer could send empty fragments forever without reaching the length
     limit.  */
  if (reader->fragment_left == 0 && !reader->last_fragment)
    return rw_err_set (err, RW_E_PARSE, "read record", peer, "empty fragment");
  code = check_length (reader->record.len + reader->fragment_left,
                       WIR_MAX_FETCH_RECORD, peer, err);
  return code < 0 ? code : 1;
}

/* Returns whether INPUT contains the whole record in a single fragment, so
   that it can be returned without a copy.  */
static bool
record_in_input (const struct wir_reader *reader, const struct rw_str *input)
{
  return reader->last_fragment && reader->record.len == 0
         && reader->fragment_left <= input->len;
}

/* Reads bytes of the current fragment.  Returns 1 when its record is complete,
   0 if the record is not, or a negative error number.  */
static int
read_fragment (struct wir_reader *reader, struct rw_str *input,
               struct rw_str *record, struct rw_str peer, struct rw_err *err)
{
  bool whole = record_in_input (reader, input);
  size_t total = reader->record.len + reader->fragment_left;
  size_t n = input->len < reader->fragment_left ? input->len
                                                : reader->fragment_left;
  int code;

  if (whole)
    *record = (struct rw_str){ input->ptr, n };
  else
    {
      rw_buf_append (&reader->record, input->ptr, n);
      *record = rw_buf_str (&reader->record);
    }
  reader->fragment_left -= n;
  input->ptr += n;
  input->len -= n;
  code = check_length (total, record_limit (record->ptr, record->len), peer,
                       err);
  if (code < 0)
    return code;
  if (reader->fragment_left > 0)
    return 0;
  reader->in_fragment = false;
  reader->complete = reader->last_fragment;
  return reader->last_fragment ? 1 : 0;
}

/* Reads from INPUT until one record is complete or INPUT is used up, and
   advances INPUT past the bytes read.  PEER names the sender in errors.
   Returns 1 if a record is complete: *RECORD is then valid until the next
   call, and only as long as the bytes of INPUT, since it may point into them.
   Returns 0 if more input is needed.  Returns RW_E_PARSE for an empty fragment
   that is not the last, or RW_E_RANGE for a record above its limit; the stream
   must then be closed.  */
int
wir_reader_next (struct wir_reader *reader, struct rw_str *input,
                 struct rw_str *record, struct rw_str peer, struct rw_err *err)
{
  int code = 0;

  if (reader->complete)
    {
      reader->record.len = 0;
      reader->complete = false;
    }
  while (code == 0 && (input->len > 0 || reader->in_fragment))
    {
      if (!reader->in_fragment)
        {
          code = read_mark (reader, input, peer, err);
          if (code <= 0)
            return code;
        }
      if (input->len == 0 && reader->fragment_left > 0)
        return 0;
      code = read_fragment (reader, input, record, peer, err);
    }
  return code;
}

/* Writes to MARK the record mark of a single fragment of LEN bytes, at most
   WIR_MAX_FETCH_RECORD.  */
void
wir_write_record_mark (unsigned char mark[4], size_t len)
{
  uint32_t value = LAST_FRAGMENT | (uint32_t)len;

  mark[0] = (unsigned char)(value >> 24);
  mark[1] = (unsigned char)(value >> 16);
  mark[2] = (unsigned char)(value >> 8);
  mark[3] = (unsigned char)value;
}

/* Appends RECORD with its record mark to OUT.  */
void
wir_append_record (struct rw_buf *out, struct rw_str record)
{
  unsigned char mark[4];

  wir_write_record_mark (mark, record.len);
  rw_buf_append (out, mark, sizeof mark);
  rw_buf_append_str (out, record);
}
