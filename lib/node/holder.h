/* Declarations that the files of the holder role share: targets (holder.c),
   parts that entry daemons submit (part.c), exchanges with targets
   (exchange.c), and results sent back (result.c).  */

#ifndef NOD_HOLDER_H
#define NOD_HOLDER_H

#include "internal.h"

struct wir_part_result *nod_part_add_result (struct nod_node *node,
                                             const struct nod_part *part);
void nod_part_free (struct nod_node *node, struct nod_part *part);
void nod_part_error (struct nod_node *node, struct wir_part_result *result,
                     int status, enum wir_ran ran, const char *step,
                     const char *detail);
int32_t nod_retry_after_ms (rw_time usec);
void nod_part_end_span (struct nod_node *node, struct nod_part *part,
                        int error);
void nod_part_report_once (struct nod_node *node, struct nod_part *part,
                           const struct onc_result *outcome);
struct rw_str nod_part_once_key (struct nod_node *node,
                                 const struct nod_part *part);
struct qry_id nod_part_once_id (const struct nod_part *part);
void nod_exchange_cancel (struct nod_node *node,
                          struct nod_exchange *exchange);
void nod_part_refuse (struct nod_node *node, struct nod_part *part, int code,
                      rw_time retry_after, const char *detail);
void nod_part_refuse_not_holder (struct nod_node *node, struct nod_part *part);

#endif
