/* The operators' configuration as the data path uses it: routes, services and
   limits of one version.  It never changes once built; requests hold a
   reference to the version that they began with.  */

#ifndef CAT_CAT_H
#define CAT_CAT_H

#include "base.h"

enum cat_route_kind
{
  CAT_ROUTE_SERVICE, /* one target of one service */
  CAT_ROUTE_SPLIT,   /* one target of a service drawn by weight */
  CAT_ROUTE_GATHER   /* one target of every shard */
};

struct cat_share
{
  uint32_t service;
  uint32_t weight;
};

struct cat_route
{
  struct rw_str name;
  struct rw_str host;
  struct rw_str prefix; /* begins and ends with a slash */
  bool idempotent;      /* may run more than once */
  rw_time timeout;      /* the longest time to an answer */
  rw_time aim;          /* the time within which an answer has full value */
  unsigned int max_attempts; /* targets that may run one request, per shard */
  enum cat_route_kind kind;
  union
  {
    uint32_t service;
    struct
    {
      struct cat_share *shares;
      size_t count;
      uint64_t total;
    } split;
    struct
    {
      uint32_t *services;
      size_t count;
      size_t top;       /* records of an answer */
      double min_share; /* of the shards that an answer must cover */
    } gather;
  } u;
  void *user;
};

/* A service as a configuration names it.  Routes refer to it by its index.  */
struct cat_service
{
  struct rw_str name;
  unsigned int max_connections; /* that a target accepts; 0: not stated */
  double warmup_limit_per_s; /* requests a cold target bears; 0: not stated */
  void *user;
};

struct cat_limits
{
  size_t max_head_bytes;
  size_t max_body_bytes;
  rw_time request_timeout;
  rw_time idle_timeout;
};

struct cat_config
{
  struct rw_arena arena;
  unsigned int refs;
  uint64_t version;
  struct cat_limits limits;
  struct cat_route *routes;
  size_t route_count;
  struct cat_service *services;
  size_t service_count;
  struct rw_map routes_by_prefix; /* chains of routes, by host and prefix */
  struct rw_map services_by_name; /* services */
};

/* One target as the platform lists it.  */
struct cat_target
{
  struct rw_str id;
  struct rw_str service;
  struct rw_str host; /* numeric address */
  uint16_t port;
  struct rw_str dc;
  bool draining;
  rw_time warmup_left; /* from now */
  unsigned int slots;
  int64_t start_time_ms; /* time of its start, in ms; 0: not stated */
};

/* On the heap, with one reference.  */
struct cat_config *cat_config_new (void);
struct cat_config *cat_config_ref (struct cat_config *config);
void cat_config_unref (struct cat_config *config);
/* The index of the service NAME, added if it is new.  */
uint32_t cat_config_service_index (struct cat_config *config,
                                   struct rw_str name);
/* Builds the index of the routes once they are all filled in.  */
void cat_config_index_routes (struct cat_config *config);
/* The route with the longest prefix of PATH on HOST, or null.  HOST may carry
   a port, which is ignored.  */
struct cat_route *cat_config_find_route (const struct cat_config *config,
                                         struct rw_str host,
                                         struct rw_str path);

#endif
