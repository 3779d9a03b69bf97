/* Byte strings with a length, as they appear in the generated structures;
   included by gen/rwf.h.  */

#ifndef WIR_BYTES_H
#define WIR_BYTES_H

#include <rpc/rpc.h>

struct rwf_bytes
{
  u_int len;
  char *val;
};

/* One type for each maximum length; see rwf.x.  */
typedef struct rwf_bytes rwf_name;
typedef struct rwf_bytes rwf_key;
typedef struct rwf_bytes rwf_text;
typedef struct rwf_bytes rwf_body;
typedef struct rwf_bytes rwf_doc;

bool_t xdr_rwf_name (XDR *xdrs, rwf_name *bytes);
bool_t xdr_rwf_key (XDR *xdrs, rwf_key *bytes);
bool_t xdr_rwf_text (XDR *xdrs, rwf_text *bytes);
bool_t xdr_rwf_body (XDR *xdrs, rwf_body *bytes);
bool_t xdr_rwf_doc (XDR *xdrs, rwf_doc *bytes);

#endif
