/* The messages as the structures that rpcgen generates from rwf.x, and the
   properties of each message type; shared by encoding and decoding.  */

#ifndef WIR_BODY_H
#define WIR_BODY_H

#include "wire.h"
#include "gen/rwf.h"

/* The arguments or results that follow the RPC header.  */
union wir_body
{
  rwf_hello_args hello_args;
  rwf_hello_res hello_res;
  rwf_submit_args submit_args;
  rwf_result_args result_args;
  rwf_cancel_args cancel_args;
  rwf_fetch_args fetch_args;
  rwf_fetch_res fetch_res;
  rwf_handoff_args handoff_args;
  rwf_handoff_res handoff_res;
  rwf_probe_args probe_args;
  rwf_probe_res probe_res;
};

unsigned int wir_procedure (enum wir_type type);
bool wir_is_reply (enum wir_type type);
int wir_type_of (unsigned int procedure, bool reply, enum wir_type *type);
size_t wir_max_len (enum wir_type type);
bool wir_body_xdr (XDR *xdrs, enum wir_type type, union wir_body *body);
bool_t wir_no_results (XDR *xdrs, ...);
bool wir_is_printable (struct rw_str s);

#endif
