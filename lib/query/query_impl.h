/* Declarations shared by the source files of lib/query.  */

#ifndef QRY_QUERY_IMPL_H
#define QRY_QUERY_IMPL_H

#include "query.h"

#include <jansson.h>

/* Block size of the arenas of a query, in bytes.  */
#define QRY_ARENA_BLOCK (16 * 1024)

int qry_check_records (const struct qry_record *records, size_t count);
void qry_merge_records (struct qry_query *query,
                        const struct qry_record *records, size_t count);
void qry_build_answer (struct qry_query *query, bool late);
json_t *qry_json_string (struct rw_str s);

/* Defined in query.c and used by result.c.  */
bool qry_enabled (const struct qry_query *query, enum qry_mechanism mechanism);
struct rte_estimate *qry_target_estimate (const struct qry_query *query,
                                          uint32_t target);
void qry_close_part (struct qry_query *query, struct qry_part *part,
                     enum qry_part_state state);
void qry_send_part (struct qry_query *query, uint32_t shard, uint32_t target,
                    enum qry_send_reason reason, rw_time now);
void qry_end_attempt (struct qry_query *query, struct qry_attempt *attempt,
                      enum qry_attempt_state state);
void qry_cancel_part (struct qry_query *query, const struct qry_part *part,
                      rw_time now);
void qry_retry_part (struct qry_query *query, uint32_t shard, rw_time now);
bool qry_may_restart (const struct qry_query *query, rw_time now);
void qry_restart_or_answer (struct qry_query *query, rw_time now);

#endif
