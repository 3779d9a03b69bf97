/* W3C trace contexts, and spans that are written as lines of JSON with the
   fields of an OTLP export request.  */

#ifndef TRC_TRACE_H
#define TRC_TRACE_H

#include "base.h"

/* Length of a version 00 traceparent header, and of a buffer for it with the
   final NUL.  */
#define TRC_HEADER_LEN 55
#define TRC_HEADER_SIZE (TRC_HEADER_LEN + 1)
#define TRC_MAX_ATTRS 16

/* The position of one span in its trace.  A trace id of zero means that there
   is no trace.  */
struct trc_context
{
  uint64_t trace_hi;
  uint64_t trace_lo;
  uint64_t span;
  bool sampled;
};

int trc_parse (struct rw_str header, struct trc_context *ctx);
struct rw_str trc_format (const struct trc_context *ctx,
                          char buf[TRC_HEADER_SIZE]);
bool trc_valid (const struct trc_context *ctx);
void trc_start_trace (struct trc_context *ctx, double sample,
                      struct rw_rng *rng);
void trc_child (struct trc_context *child, const struct trc_context *parent,
                struct rw_rng *rng);

enum trc_span_kind
{
  TRC_INTERNAL = 1,
  TRC_SERVER = 2,
  TRC_CLIENT = 3
};

struct trc_attr
{
  const char *key; /* static */
  bool is_int;
  int64_t number;
  char text[48]; /* NUL-terminated, cut to fit */
};

/* A span has a fixed size: attributes beyond TRC_MAX_ATTRS are dropped.  Times
   are those of the caller's clock.  */
struct trc_span
{
  struct trc_context ctx;
  uint64_t parent;  /* span id; 0: a root span */
  const char *name; /* static */
  enum trc_span_kind kind;
  rw_time start;
  rw_time end;
  int error; /* 0 or a negative error number */
  size_t attr_count;
  struct trc_attr attr[TRC_MAX_ATTRS];
};

void trc_begin (struct trc_span *span, const char *name,
                enum trc_span_kind kind, const struct trc_context *parent,
                rw_time now, struct rw_rng *rng);
void trc_attr_str (struct trc_span *span, const char *key,
                   struct rw_str value);
void trc_attr_int (struct trc_span *span, const char *key, int64_t value);
void trc_end (struct trc_span *span, int error, rw_time now);
void trc_write (const struct trc_span *span, struct rw_str service,
                struct rw_str vm, rw_time epoch, struct rw_buf *out);

#endif
