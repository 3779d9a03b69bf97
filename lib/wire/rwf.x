/* Messages between the daemons of redwingfork.  "make -C lib/wire gen" runs
   rpcgen on this file; its output is committed in gen/.  The fields and their
   units are described in wire.h; the limits must equal those in wire.h.  */

const RWF_MAX_NAME = 63;
const RWF_MAX_KEY = 127;
const RWF_MAX_TEXT = 255;
const RWF_MAX_BODY = 1048576;
const RWF_MAX_DOC = 4193280;
const RWF_MAX_PARTS = 4096;
const RWF_MAX_RECORDS = 10000;
const RWF_MAX_TARGETS = 4096;
const RWF_MAX_ONCE_IDS = 32768;
const RWF_MAX_CHANGES = 8;
const RWF_MAX_LEASES = 64;
const RWF_MAX_VOTERS = 5;
const RWF_MAX_OTHERS = 8;
const RWF_MAX_PREDS = 8;

/* Byte strings with a maximum length: rwf_name<RWF_MAX_NAME>,
   rwf_key<RWF_MAX_KEY>, rwf_text<RWF_MAX_TEXT>, rwf_body<RWF_MAX_BODY>,
   rwf_doc<RWF_MAX_DOC>.  Their routines in bytes.c decode them without
   allocating memory.  */
%#include "../bytes.h"

struct rwf_versions
{
  unsigned hyper rules;
  unsigned hyper vms;
  unsigned hyper maps_digest;
  rwf_key map_key;
  unsigned hyper map_version;
};

/* Each result starts with its procedure number, so that a reply can be decoded
   without knowing its call.  */
struct rwf_head
{
  unsigned int procedure;
  rwf_versions versions;
};

struct rwf_request_id
{
  unsigned hyper incarnation;
  unsigned hyper sequence;
};

struct rwf_trace
{
  unsigned hyper trace_hi;
  unsigned hyper trace_lo;
  unsigned hyper span;
  bool sampled;
};

struct rwf_hello_args
{
  rwf_versions versions;
  rwf_name vm;
  unsigned hyper incarnation;
  hyper sent;
};

struct rwf_hello_res
{
  rwf_head head;
  rwf_name vm;
  unsigned hyper incarnation;
  hyper echo;
  hyper sent;
};

struct rwf_part
{
  unsigned int number;
  unsigned int attempt;
  unsigned int shard;
  rwf_name target;
};

struct rwf_submit_args
{
  rwf_versions versions;
  rwf_request_id id;
  unsigned int kind;
  rwf_name service;
  rwf_name caller_class;
  rwf_key snapshot;
  rwf_key idempotency_key;
  hyper remaining;
  hyper sent;
  rwf_trace trace;
  rwf_body body;
  rwf_part parts<RWF_MAX_PARTS>;
};

struct rwf_record
{
  rwf_text id;
  double score;
  rwf_body text;
};

struct rwf_part_result
{
  rwf_request_id id;
  unsigned int part;
  unsigned int attempt;
  int status;
  unsigned int ran;
  int retry_after_ms;
  unsigned int shard;
  rwf_name target;
  unsigned hyper incarnation;
  rwf_key snapshot;
  rwf_name step;
  rwf_text detail;
  rwf_name hint;
  hyper queued;
  hyper exchange;
  int http_status;
  rwf_body body;
  rwf_record records<RWF_MAX_RECORDS>;
};

struct rwf_result_args
{
  rwf_versions versions;
  rwf_part_result results<RWF_MAX_PARTS>;
};

struct rwf_part_ref
{
  unsigned int number;
  unsigned int attempt;
};

struct rwf_cancel_args
{
  rwf_versions versions;
  rwf_request_id id;
  rwf_part_ref parts<RWF_MAX_PARTS>;
};

struct rwf_fetch_args
{
  rwf_versions versions;
  rwf_key key;
  unsigned hyper known;
};

struct rwf_fetch_res
{
  rwf_head head;
  rwf_key key;
  unsigned hyper doc_version;
  unsigned int plain_len; /* uncompressed length; 0: BODY is not compressed */
  rwf_doc body;
};

struct rwf_handoff_target
{
  rwf_name target;
  unsigned int cap;
  unsigned int running;
  unsigned hyper incarnation;
  hyper remaining;
};

struct rwf_once_id
{
  unsigned hyper key;
  hyper left;
  rwf_body answer;
};

struct rwf_handoff_args
{
  rwf_versions versions;
  rwf_name vm;
  unsigned hyper incarnation;
  rwf_name dc;
  unsigned int group;
  unsigned hyper electorate;
  hyper sent;
  rwf_handoff_target targets<RWF_MAX_TARGETS>;
  rwf_once_id once_ids<RWF_MAX_ONCE_IDS>;
};

struct rwf_handoff_res
{
  rwf_head head;
  rwf_name dc;
  unsigned int group;
  bool accepted;
};

struct rwf_change
{
  rwf_name vm;
  unsigned int state;
  unsigned hyper incarnation;
  unsigned int counter;
  rwf_name addr;
  unsigned int port;
};

/* Bits of the flags of rwf_lease.  */
const RWF_LEASE_CLAIMED = 1;
const RWF_LEASE_RELEASED = 2;

struct rwf_pred
{
  unsigned hyper hash;
  unsigned hyper stamp;
  unsigned hyper members<RWF_MAX_VOTERS>;
};

struct rwf_lease
{
  unsigned hyper group;
  unsigned hyper electorate;
  unsigned int flags;
  unsigned int claimants;
  unsigned hyper others<RWF_MAX_OTHERS>;
  rwf_pred preds<RWF_MAX_PREDS>;
};

struct rwf_probe
{
  rwf_name vm;
  unsigned hyper incarnation;
  rwf_name target;
  rwf_change changes<RWF_MAX_CHANGES>;
  rwf_lease leases<RWF_MAX_LEASES>;
};

struct rwf_probe_args
{
  rwf_versions versions;
  rwf_probe probe;
};

struct rwf_probe_res
{
  rwf_head head;
  rwf_probe probe;
};

program RWF_PROGRAM
{
  version RWF_VERSION
  {
    void RWF_NULL (void) = 0;
    rwf_hello_res RWF_HELLO (rwf_hello_args) = 1;
    void RWF_SUBMIT (rwf_submit_args) = 2;
    void RWF_RESULT (rwf_result_args) = 3;
    void RWF_CANCEL (rwf_cancel_args) = 4;
    rwf_fetch_res RWF_FETCH (rwf_fetch_args) = 5;
    rwf_handoff_res RWF_HANDOFF (rwf_handoff_args) = 6;
    rwf_probe_res RWF_PROBE (rwf_probe_args) = 7;
  } = 1;
} = 0x20524657;
