/* Messages between daemons: ONC RPC messages, encoded and decoded in memory by
   libtirpc's XDR routines, and the record marking of RPC over a byte stream
   (RFC 5531).  Nothing here reads a socket or a clock.  */

#ifndef WIR_WIRE_H
#define WIR_WIRE_H

#include "base.h"

#define WIR_PROGRAM 0x20524657U
#define WIR_VERSION 1U

/* Maximum length in bytes of one RPC message: of any type but FETCH replies,
   of a FETCH reply, and of a PROBE or its reply in a UDP datagram.  */
#define WIR_MAX_RECORD (1024 * 1024)
#define WIR_MAX_FETCH_RECORD (4 * 1024 * 1024)
#define WIR_MAX_DATAGRAM 1400

/* Maximum lengths in bytes and counts of the fields.  Encoding and decoding
   reject a message that exceeds one.  */
#define WIR_MAX_NAME 63
#define WIR_MAX_KEY 127
#define WIR_MAX_TEXT 255
#define WIR_MAX_BODY (1024 * 1024)
/* Bodies of FETCH replies above this length in bytes are compressed.  */
#define WIR_COMPRESS_ABOVE 1024
#define WIR_MAX_DOC (4 * 1024 * 1024 - 1024)
#define WIR_MAX_PARTS 4096
#define WIR_MAX_RECORDS 10000
#define WIR_MAX_TARGETS 4096
#define WIR_MAX_ONCE_IDS 32768
#define WIR_MAX_CHANGES 8
#define WIR_MAX_LEASES 64
#define WIR_MAX_VOTERS 5
#define WIR_MAX_OTHERS 8
#define WIR_MAX_PREDS 8

enum wir_type
{
  WIR_HELLO_CALL,
  WIR_HELLO_REPLY,
  WIR_SUBMIT, /* one-way */
  WIR_RESULT, /* one-way */
  WIR_CANCEL, /* one-way */
  WIR_FETCH_CALL,
  WIR_FETCH_REPLY,
  WIR_HANDOFF_CALL,
  WIR_HANDOFF_REPLY,
  WIR_PROBE_CALL,
  WIR_PROBE_REPLY
};

/* The versions of the configuration documents that the sender has.  Every
   message contains them, so that the receiver can fetch newer ones.  */
struct wir_versions
{
  uint64_t rules;
  uint64_t vms;
  uint64_t maps_digest;  /* of the keys and versions of all maps */
  struct rw_str map_key; /* key of the map that changed last; may be empty */
  uint64_t map_version;
};

/* Identifies a request.  The incarnation differs after each restart of the
   entry daemon, so that an id is never reused.  */
struct wir_request_id
{
  uint64_t incarnation; /* of the entry daemon */
  uint64_t sequence;
};

struct wir_trace
{
  uint64_t trace_hi;
  uint64_t trace_lo; /* both halves 0: no trace */
  uint64_t span;
  bool sampled;
};

struct wir_hello_call
{
  struct rw_str vm;
  uint64_t incarnation;
  rw_time sent; /* the sender's clock */
};

struct wir_hello_reply
{
  struct rw_str vm;
  uint64_t incarnation;
  rw_time echo; /* SENT of the call */
  rw_time sent; /* the replier's clock */
};

enum wir_kind
{
  WIR_KIND_SEARCH,
  WIR_KIND_ONCE
};

struct wir_part
{
  uint32_t number;
  uint32_t attempt; /* unique within the request */
  uint32_t shard;
  struct rw_str target;
};

struct wir_submit
{
  struct wir_request_id id;
  enum wir_kind kind;
  struct rw_str service;
  struct rw_str caller_class;
  struct rw_str snapshot;
  struct rw_str idempotency_key; /* once requests; else empty */
  rw_time remaining;             /* time from SENT to the deadline */
  rw_time sent;                  /* the sender's clock */
  struct wir_trace trace;
  struct rw_str body;
  struct wir_part *parts;
  uint32_t part_count;
};

/* Whether the target executed a part or once request.  */
enum wir_ran
{
  WIR_RAN_NO,
  WIR_RAN_YES,
  WIR_RAN_UNKNOWN
};

struct wir_record
{
  struct rw_str id;
  double score;
  struct rw_str text;
};

struct wir_part_result
{
  struct wir_request_id id;
  uint32_t part;
  uint32_t attempt;
  int32_t status; /* 0 or a negative error number */
  enum wir_ran ran;
  int32_t retry_after_ms; /* -1: none */
  uint32_t shard;
  struct rw_str target;
  uint64_t incarnation; /* of the target; 0: not known */
  struct rw_str snapshot;
  struct rw_str step;   /* where the error arose; empty without error */
  struct rw_str detail; /* text of the error; empty without error */
  struct rw_str hint;   /* RW_E_NOT_HOLDER: VM believed to hold the target */
  rw_time queued;       /* time spent in the holder's queue */
  rw_time exchange;     /* duration of the exchange with the target */
  int32_t http_status;  /* of a once request; else 0 */
  struct rw_str body;   /* of a once request; else empty */
  struct wir_record *records;
  uint32_t record_count;
};

struct wir_result
{
  struct wir_part_result *results;
  uint32_t result_count;
};

struct wir_part_ref
{
  uint32_t number;
  uint32_t attempt;
};

struct wir_cancel
{
  struct wir_request_id id;
  struct wir_part_ref *parts;
  uint32_t part_count;
};

struct wir_fetch_call
{
  struct rw_str key;
  uint64_t known_version; /* the version that the caller has; 0: none */
};

struct wir_fetch_reply
{
  struct rw_str key;
  uint64_t version; /* 0: no newer version, and BODY is empty */
  struct rw_str body;
};

struct wir_handoff_target
{
  struct rw_str target;
  uint32_t cap;         /* limit of concurrent exchanges */
  uint32_t running;     /* exchanges that the sender still counts */
  uint64_t incarnation; /* of the target; 0: not known */
  rw_time remaining;    /* until the last running exchange has ended */
};

/* A once request that may have been executed, kept by the holder to recognize
   duplicates.  */
struct wir_once_id
{
  uint64_t key;         /* hash of service and Idempotency-Key */
  rw_time remaining;    /* time for which the entry must still be kept */
  struct rw_str answer; /* empty: not known */
};

struct wir_handoff_call
{
  struct rw_str vm;
  uint64_t incarnation;
  struct rw_str dc;
  uint32_t group;
  uint64_t electorate; /* hash */
  rw_time sent;        /* the sender's clock */
  struct wir_handoff_target *targets;
  uint32_t target_count;
  struct wir_once_id *once_ids;
  uint32_t once_id_count;
};

struct wir_handoff_reply
{
  struct rw_str dc;
  uint32_t group;
  bool accepted;
};

enum wir_member_state
{
  WIR_ALIVE,
  WIR_SUSPECT,
  WIR_FAILED,
  WIR_LEAVING
};

/* A change of a VM's membership state, spread by gossip.  */
struct wir_change
{
  struct rw_str vm;
  enum wir_member_state state;
  uint64_t incarnation;
  uint32_t counter;
  struct rw_str addr; /* numeric IP address; may be empty */
  uint16_t port;
};

/* An earlier electorate of a group that may still have a holder.  */
struct wir_pred
{
  uint64_t hash;
  uint64_t stamp; /* orders the replacements; see struct lea_pred */
  uint64_t members[WIR_MAX_VOTERS]; /* VM ids */
  uint32_t member_count;
};

/* The lease of one group of which sender and receiver are members.  CLAIMED
   and RELEASED are used in a call; CLAIMANTS, OTHERS and PREDS in a reply.  */
struct wir_lease
{
  uint64_t group;      /* top_group_key */
  uint64_t electorate; /* hash */
  bool claimed;        /* the sender claims the lease */
  bool released;       /* the sender gave the lease up for good */
  uint32_t claimants;  /* bit i: the i-th member claims the lease */
  uint64_t others[WIR_MAX_OTHERS]; /* claimants outside the electorate */
  uint32_t other_count;
  struct wir_pred preds[WIR_MAX_PREDS];
  uint32_t pred_count;
};

/* A probe and its acknowledgement.  In a call, an INDIRECT_VM that is not
   empty asks the receiver to probe that VM and to acknowledge only when it has
   answered (an indirect probe); the reply repeats INDIRECT_VM.  */
struct wir_probe
{
  struct rw_str vm;
  uint64_t incarnation;
  struct rw_str indirect_vm;
  struct wir_change changes[WIR_MAX_CHANGES];
  uint32_t change_count;
  struct wir_lease *leases;
  uint32_t lease_count;
};

/* One message.  A reply has the XID of its call.  Strings and arrays belong to
   the caller of wir_encode, or to the arena given to wir_decode.  */
struct wir_msg
{
  enum wir_type type;
  uint32_t xid;
  struct wir_versions versions;
  union
  {
    struct wir_hello_call hello_call;
    struct wir_hello_reply hello_reply;
    struct wir_submit submit;
    struct wir_result result;
    struct wir_cancel cancel;
    struct wir_fetch_call fetch_call;
    struct wir_fetch_reply fetch_reply;
    struct wir_handoff_call handoff_call;
    struct wir_handoff_reply handoff_reply;
    struct wir_probe probe; /* both WIR_PROBE_CALL and WIR_PROBE_REPLY */
  } u;
};

const char *wir_type_name (enum wir_type type);
int wir_encode (const struct wir_msg *msg, struct rw_buf *out,
                struct rw_err *err);
int wir_decode (struct rw_str data, struct rw_str peer, struct rw_arena *arena,
                struct wir_msg *msg, struct rw_err *err);

/* Reassembles records from a byte stream that arrives in arbitrary pieces.  */
struct wir_reader
{
  struct rw_buf record; /* fragments received so far */
  unsigned char mark[4];
  size_t mark_len;      /* bytes of MARK received so far */
  size_t fragment_left; /* bytes of the current fragment to come */
  bool last_fragment;   /* the current fragment is the last of its record */
  bool in_fragment;     /* a mark was read and its fragment is incomplete */
  bool complete;        /* RECORD was returned; the next call discards it */
};

void wir_reader_init (struct wir_reader *reader);
void wir_reader_finish (struct wir_reader *reader);
int wir_reader_next (struct wir_reader *reader, struct rw_str *input,
                     struct rw_str *record, struct rw_str peer,
                     struct rw_err *err);
void wir_write_record_mark (unsigned char mark[4], size_t len);
void wir_append_record (struct rw_buf *out, struct rw_str record);

#endif
