/* Shared by the sources of the library.  */

#ifndef ADM_INTERNAL_H
#define ADM_INTERNAL_H

#include "admit.h"

/* The time left until a deadline is sent in whole milliseconds: a shorter time
   would be sent as 0.  */
#define MIN_REMAINING_TIME RW_MSEC

/* A new sample has the weight 1/8 in a moving average.  */
#define MEAN_WEIGHT_SHIFT 3
/* In warm_mean it has the weight 1/64 while the target is below the full cap:
   an average of cold exchanges would hide that the target is cold.  */
#define COLD_MEAN_WEIGHT_SHIFT 6

int adm_slots_in_use (const struct adm_target *target);
int adm_slot_limit (const struct adm_target *target, rw_time now);
int adm_batch_limit (const struct adm_target *target, rw_time now);
bool adm_may_be_cold (const struct adm_target *target, rw_time now);
void adm_release_expired_slots (struct adm_target *target, rw_time now);
void adm_mark_cold (struct adm_target *target, enum adm_cold_reason reason,
                    rw_time now);
rw_time adm_exchange_time (const struct adm_target *target, int parts);
rw_time adm_queued_response_time (const struct adm_target *target,
                                  unsigned int class_id, size_t ahead,
                                  rw_time now);
bool adm_check_latency (struct adm_target *target,
                        const struct adm_exchange *exchange, bool completed,
                        rw_time now);
rw_time adm_straggler_threshold (const struct adm_target *target,
                                 size_t parts);
rw_time adm_recall_wakeup (const struct adm_target *target);
int adm_overload_code (const struct adm_target *target, rw_time now);
int adm_closed_code (const struct adm_target *target, rw_time now,
                     rw_time lease_end);

#endif
