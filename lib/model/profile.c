#include "model.h"

/* Sizes, limits and delays are those of section 1 of the design page.  The
   page does not state service times, cold behaviour or shedding; for these the
   model assumes 2 ms for a part, 0.15 ms for each further part of an exchange,
   three times that while cold, and 8 requests to warm up each slot after the
   first.  */
#define SEARCHER(SLOTS, CONNECTIONS, CONNECT)                                 \
  {                                                                           \
    .slots = (SLOTS), .max_connections = (CONNECTIONS),                       \
    .connect_time = (CONNECT),                                                \
    .service_time                                                             \
        = { .kind = MDL_TIME_LOGNORMAL,                                       \
            .u.lognormal = { .median = 2 * RW_MSEC, .sigma = 0.35 } },        \
    .time_per_part = 150 * RW_USEC, .cold_capacity = 1,                       \
    .requests_per_slot = 8, .cold_factor = 3,                                 \
    .crash_downtime = 500 * RW_MSEC, .shed_at = 4 * (SLOTS),                  \
    .shed_retry = 50 * RW_MSEC, .straggler_share = 0.01,                      \
    .straggler_factor = 20, .detection_delay = 10 * RW_MSEC                   \
  }

#define SEARCH(NAME, INSTANCES, CONNECTIONS)                                  \
  {                                                                           \
    .name = (NAME), .instances = (INSTANCES), .searchers = 2, .replicas = 2,  \
    .deadline = 61 * RW_MSEC,                                                 \
    .config = SEARCHER (2, (CONNECTIONS), 6 * RW_MSEC)                        \
  }

static const struct mdl_profile gauteng
    = { .name = "gauteng",
        .dcs = { "midrand-a", "isando-b", "centurion-c" },
        .one_way_dc = 1500 * RW_USEC,
        .one_way_local = 200 * RW_USEC,
        .one_way_client = 3 * RW_MSEC,
        .entry_vms = 15,
        .class_count = 3,
        .class_names = { "counter", "foreman", "portal" },
        .service_count = 4,
        .service = { SEARCH ("partsdesk", 20, 50),
                     SEARCH ("franchise-portal", 30, 50),
                     { .name = "reserve-svc",
                       .once = true,
                       .instances = 10,
                       .searchers = 1,
                       .replicas = 1,
                       .deadline = 500 * RW_MSEC,
                       .config = SEARCHER (4, 200, 1 * RW_MSEC) },
                     { .name = "dispatch-board",
                       .once = true,
                       .instances = 4,
                       .searchers = 1,
                       .replicas = 1,
                       .deadline = 500 * RW_MSEC,
                       .config = SEARCHER (4, 200, 1 * RW_MSEC) } } };

static const struct mdl_profile seoul
    = { .name = "seoul",
        .dcs = { "seoul-a", "seoul-b", "seoul-c" },
        .one_way_dc = 1 * RW_MSEC,
        .one_way_local = 200 * RW_USEC,
        .one_way_client = 1 * RW_MSEC,
        .entry_vms = 15,
        .class_count = 3,
        .class_names = { "crew", "office", "donor" },
        .service_count = 4,
        .service = { SEARCH ("dispatch", 20, 55),
                     SEARCH ("volunteer-roster", 30, 55),
                     { .name = "donor-portal",
                       .instances = 5,
                       .searchers = 1,
                       .replicas = 1,
                       .deadline = 61 * RW_MSEC,
                       .config = SEARCHER (3, 85, 1 * RW_MSEC) },
                     { .name = "photo-intake",
                       .once = true,
                       .instances = 3,
                       .searchers = 1,
                       .replicas = 1,
                       .deadline = 500 * RW_MSEC,
                       .config = SEARCHER (3, 85, 1 * RW_MSEC) } } };

/* Returns the deployment profile NAME, which is static, or null if there is
   none.  */
const struct mdl_profile *
mdl_profile (struct rw_str name)
{
  if (rw_str_eq_cstr (name, gauteng.name))
    return &gauteng;
  if (rw_str_eq_cstr (name, seoul.name))
    return &seoul;
  return NULL;
}
