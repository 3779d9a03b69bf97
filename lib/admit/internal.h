/* Shared by the sources of the library.  */

#ifndef ADM_INTERNAL_H
#define ADM_INTERNAL_H

#include "admit.h"

/* With less time a deadline in whole milliseconds would be 0.  */
#define MIN_REMAINING RW_MSEC

/* Weight of a new sample in a moving average: 1/8.  */
#define MEAN_SHIFT 3
#define COLD_MEAN_SHIFT 6

int adm_counted (const struct adm_target *target);
int adm_limit (const struct adm_target *target, rw_time now);
int adm_batch_limit (const struct adm_target *target, rw_time now);
bool adm_unconfirmed (const struct adm_target *target, rw_time now);
void adm_lapse (struct adm_target *target, rw_time now);
void adm_go_cold (struct adm_target *target, enum adm_cold_reason reason,
                  rw_time now);
rw_time adm_exchange_time (const struct adm_target *target, int parts);
rw_time adm_wait (const struct adm_target *target, unsigned int class_id,
                  size_t ahead, rw_time now);
bool adm_judge (struct adm_target *target, const struct adm_exchange *exchange,
                bool whole, rw_time now);
rw_time adm_overdue_after (const struct adm_target *target, size_t parts);
rw_time adm_recall_wakeup (const struct adm_target *target);
int adm_refusal_code (const struct adm_target *target, rw_time now);
int adm_closed (const struct adm_target *target, rw_time now, rw_time until);

#endif
