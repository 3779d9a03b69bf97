#include "trace.h"

#include <stdio.h>
#include <string.h>

/* Parses LEN lower-case hexadecimal digits; LEN is at most 16.  Returns 0, or
   RW_E_PARSE at any other character.  */
static int
parse_hex (const char *p, size_t len, uint64_t *value)
{
  uint64_t v = 0;

  for (size_t i = 0; i < len; i++)
    {
      if (p[i] >= '0' && p[i] <= '9')
        v = v << 4 | (uint64_t)(p[i] - '0');
      else if (p[i] >= 'a' && p[i] <= 'f')
        v = v << 4 | (uint64_t)(p[i] - 'a' + 10);
      else
        return RW_E_PARSE;
    }
  *value = v;
  return 0;
}

/* Returns whether the length of HEADER, at least TRC_HEADER_LEN, is valid for
   VERSION.  Only versions above 00 may have further fields.  */
static bool
length_valid (struct rw_str header, uint64_t version)
{
  if (header.len == TRC_HEADER_LEN)
    return true;
  return version != 0 && header.len > TRC_HEADER_LEN
         && header.ptr[TRC_HEADER_LEN] == '-';
}

/* Parses a W3C traceparent header.  Returns 0, or RW_E_PARSE if the header is
   malformed or has a zero id; CTX then belongs to no trace.  */
int
trc_parse (struct rw_str header, struct trc_context *ctx)
{
  const char *p = header.ptr;
  uint64_t version;
  uint64_t flags;
  struct trc_context c;

  memset (ctx, 0, sizeof *ctx);
  if (header.len < TRC_HEADER_LEN || p[2] != '-' || p[35] != '-'
      || p[52] != '-')
    return RW_E_PARSE;
  if (parse_hex (p, 2, &version) < 0 || version == 0xff
      || !length_valid (header, version)
      || parse_hex (p + 3, 16, &c.trace_hi) < 0
      || parse_hex (p + 19, 16, &c.trace_lo) < 0
      || parse_hex (p + 36, 16, &c.span) < 0
      || parse_hex (p + 53, 2, &flags) < 0)
    return RW_E_PARSE;
  if (!trc_valid (&c) || c.span == 0)
    return RW_E_PARSE;
  c.sampled = (flags & 1) != 0;
  *ctx = c;
  return 0;
}

/* Writes the traceparent header of CTX to BUF and returns a view of it, which
   is empty if CTX belongs to no trace.  */
struct rw_str
trc_format (const struct trc_context *ctx, char buf[TRC_HEADER_SIZE])
{
  buf[0] = '\0';
  if (!trc_valid (ctx))
    return (struct rw_str){ buf, 0 };
  snprintf (buf, TRC_HEADER_SIZE, "00-%016llx%016llx-%016llx-%02x",
            (unsigned long long)ctx->trace_hi,
            (unsigned long long)ctx->trace_lo, (unsigned long long)ctx->span,
            ctx->sampled ? 1U : 0U);
  return (struct rw_str){ buf, TRC_HEADER_LEN };
}

/* Returns whether CTX belongs to a trace.  */
bool
trc_valid (const struct trc_context *ctx)
{
  return (ctx->trace_hi | ctx->trace_lo) != 0;
}

/* Returns a random id; zero is not a valid one.  */
static uint64_t
random_id (struct rw_rng *rng)
{
  uint64_t v;

  do
    v = rw_rng_next (rng);
  while (v == 0);
  return v;
}

/* Sets CTX to a new trace that has no span yet: a span begun below CTX is a
   root span.  SAMPLE, 0 to 1, is the probability that the trace is sampled. */
void
trc_start_trace (struct trc_context *ctx, double sample, struct rw_rng *rng)
{
  ctx->trace_hi = random_id (rng);
  ctx->trace_lo = random_id (rng);
  ctx->span = 0;
  ctx->sampled = rw_rng_unit (rng) < sample;
}

/* Sets CHILD to a new span in the trace of PARENT, or to no trace if PARENT
   belongs to none.  */
void
trc_child (struct trc_context *child, const struct trc_context *parent,
           struct rw_rng *rng)
{
  if (!trc_valid (parent))
    {
      memset (child, 0, sizeof *child);
      return;
    }
  *child = *parent;
  child->span = random_id (rng);
}

/* Begins SPAN as a child of PARENT, which may belong to no trace.  NAME must
   be static.  */
void
trc_begin (struct trc_span *span, const char *name, enum trc_span_kind kind,
           const struct trc_context *parent, rw_time now, struct rw_rng *rng)
{
  memset (span, 0, sizeof *span);
  trc_child (&span->ctx, parent, rng);
  span->parent = parent->span;
  span->name = name;
  span->kind = kind;
  span->start = now;
  span->end = now;
}

/* Returns a new attribute of SPAN, or null if the trace is not sampled or SPAN
   has TRC_MAX_ATTRS attributes.  */
static struct trc_attr *
add_attr (struct trc_span *span, const char *key)
{
  struct trc_attr *attr;

  if (!span->ctx.sampled || span->attr_count == TRC_MAX_ATTRS)
    return NULL;
  attr = &span->attr[span->attr_count++];
  attr->key = key;
  return attr;
}

/* Adds a text attribute, cut to the size of struct trc_attr.  KEY must be
   static.  */
void
trc_attr_str (struct trc_span *span, const char *key, struct rw_str value)
{
  struct trc_attr *attr = add_attr (span, key);

  if (attr == NULL)
    return;
  attr->is_int = false;
  rw_str_copy (attr->text, sizeof attr->text, value);
}

/* Adds an integer attribute.  KEY must be static.  */
void
trc_attr_int (struct trc_span *span, const char *key, int64_t value)
{
  struct trc_attr *attr = add_attr (span, key);

  if (attr == NULL)
    return;
  attr->is_int = true;
  attr->number = value;
}

/* Sets the end and result of SPAN; ERROR is 0 or a negative error number.  */
void
trc_end (struct trc_span *span, int error, rw_time now)
{
  span->end = now;
  span->error = error;
}

/* Writes S as a JSON string.  Bytes outside ASCII become "?", because a text
   that was cut to fit may end within a UTF-8 character.  */
static void
write_string (struct rw_str s, struct rw_buf *out)
{
  rw_buf_append (out, "\"", 1);
  for (size_t i = 0; i < s.len; i++)
    {
      unsigned char c = (unsigned char)s.ptr[i];

      if (c == '"' || c == '\\')
        rw_buf_printf (out, "\\%c", c);
      else if (c < 0x20)
        rw_buf_printf (out, "\\u%04x", (unsigned int)c);
      else
        rw_buf_append (out, c < 0x7f ? (const char *)&c : "?", 1);
    }
  rw_buf_append (out, "\"", 1);
}

static void
write_text_attr (const char *key, struct rw_str value, struct rw_buf *out)
{
  rw_buf_printf (out, "{\"key\":\"%s\",\"value\":{\"stringValue\":", key);
  write_string (value, out);
  rw_buf_printf (out, "}}");
}

static void
write_attrs (const struct trc_span *span, struct rw_buf *out)
{
  for (size_t i = 0; i < span->attr_count; i++)
    {
      const struct trc_attr *attr = &span->attr[i];

      if (i > 0)
        rw_buf_printf (out, ",");
      if (attr->is_int)
        rw_buf_printf (out,
                       "{\"key\":\"%s\",\"value\":{\"intValue\":\"%lld\"}}",
                       attr->key, (long long)attr->number);
      else
        write_text_attr (attr->key, rw_str_from (attr->text), out);
    }
}

static void
write_span (const struct trc_span *span, rw_time epoch, struct rw_buf *out)
{
  rw_buf_printf (out, "{\"traceId\":\"%016llx%016llx\",\"spanId\":\"%016llx\"",
                 (unsigned long long)span->ctx.trace_hi,
                 (unsigned long long)span->ctx.trace_lo,
                 (unsigned long long)span->ctx.span);
  if (span->parent != 0)
    rw_buf_printf (out, ",\"parentSpanId\":\"%016llx\"",
                   (unsigned long long)span->parent);
  rw_buf_printf (out,
                 ",\"name\":\"%s\",\"kind\":%d,\"startTimeUnixNano\":\"%lld\","
                 "\"endTimeUnixNano\":\"%lld\",\"attributes\":[",
                 span->name, (int)span->kind,
                 (long long)(span->start + epoch) * 1000,
                 (long long)(span->end + epoch) * 1000);
  write_attrs (span, out);
  rw_buf_printf (out, "],\"status\":{");
  if (span->error != 0)
    rw_buf_printf (out, "\"code\":2,\"message\":\"%s\"",
                   rw_strerror (span->error));
  rw_buf_printf (out, "}}");
}

/* Appends SPAN to OUT as one line of JSON with the fields of an OTLP export
   request, or nothing if its trace is not sampled.  EPOCH, in microseconds, is
   added to the times of the span to convert them to Unix time.  SERVICE and VM
   become the resource attributes service.name and service.instance.id.  */
void
trc_write (const struct trc_span *span, struct rw_str service,
           struct rw_str vm, rw_time epoch, struct rw_buf *out)
{
  if (!trc_valid (&span->ctx) || !span->ctx.sampled)
    return;
  rw_buf_printf (out, "{\"resourceSpans\":[{\"resource\":{\"attributes\":[");
  write_text_attr ("service.name", service, out);
  rw_buf_printf (out, ",");
  write_text_attr ("service.instance.id", vm, out);
  rw_buf_printf (out, "]},\"scopeSpans\":[{\"spans\":[");
  write_span (span, epoch, out);
  rw_buf_printf (out, "]}]}]}\n");
}
