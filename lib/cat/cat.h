/* The operators' configuration as the data path uses it: the routes, services
   and limits of one version.  A configuration is not changed once it is
   complete, except for the user pointers.  Each request holds a reference to
   the version that was in force when it started.  */

#ifndef CAT_CAT_H
#define CAT_CAT_H

#include "org.h"

enum cat_route_kind
{
  CAT_ROUTE_SERVICE, /* one target of one service */
  CAT_ROUTE_SPLIT,   /* one target of a service drawn at random by weight */
  CAT_ROUTE_GATHER   /* one target of every shard */
};

/* The share of a split's requests that goes to one service.  */
struct cat_share
{
  uint32_t service; /* index into cat_config.services */
  uint32_t weight;  /* the share is this over the split's total */
};

struct cat_route
{
  struct rw_str name;
  struct rw_str host;
  struct rw_str prefix;      /* of the path; begins and ends with a slash */
  bool idempotent;           /* a request may run more than once */
  bool is_public;            /* needs no key of an organisation */
  unsigned int priority;     /* 0 is the highest */
  rw_time timeout;           /* from the start of a request to its answer */
  rw_time aim;               /* time in which an answer has its full value */
  unsigned int max_attempts; /* targets that may run a request, per shard */
  enum cat_route_kind kind;
  union
  {
    uint32_t service; /* index into cat_config.services */
    struct
    {
      struct cat_share *shares;
      size_t count;
      uint64_t total; /* of the weights, above 0 */
    } split;
    struct
    {
      uint32_t *services; /* of each shard; indices into cat_config.services */
      size_t count;       /* shards */
      size_t top;         /* maximum number of records in an answer */
      double min_share;   /* of the shards that an answer must cover, 0 to 1 */
    } gather;
  } u;
  void *user; /* set and owned by the caller */
};

/* The settings of a service.  */
struct cat_service
{
  struct rw_str name;
  unsigned int max_connections; /* that a target accepts; 0: not stated */
  double warmup_limit_per_s;    /* requests to a cold target; 0: not stated */
  uint32_t entry; /* position in the document's list of services, from 1; 0:
                     only routes name it */
  void *user;     /* set and owned by the caller */
};

/* What a caller may send, and how long it may take.  */
struct cat_limits
{
  size_t max_head_bytes;
  size_t max_body_bytes;
  rw_time request_timeout; /* from the first byte of a request to its end */
  rw_time idle_timeout;    /* between two requests of a connection */
};

struct cat_config
{
  struct rw_arena arena; /* holds the routes and all strings */
  unsigned int refs;
  uint64_t version;
  struct rw_str text; /* the document, without keys; empty: not kept */
  struct cat_limits limits;
  struct cat_route *routes;
  size_t route_count;
  struct cat_service *services; /* heap */
  size_t service_count;
  struct org_directory organisations; /* none: no request needs a key */
  struct rw_map routes_by_prefix;     /* by the hash of host and prefix */
  struct rw_map services_by_name; /* index plus 1, by the hash of the name */
};

/* An entry of the platform's list of targets.  */
/* The longest id of a target in bytes.  */
#define CAT_MAX_TARGET_ID 127

struct cat_target
{
  struct rw_str id;
  struct rw_str service;
  struct rw_str host; /* numeric address */
  uint16_t port;
  struct rw_str dc;
  struct rw_str version; /* of its software; empty: not stated */
  bool draining;
  rw_time warmup_left;   /* how long the target is still cold; 0: warm */
  unsigned int slots;    /* requests it runs at once */
  int64_t start_time_ms; /* of its process; 0: not stated */
};

/* Returns an empty configuration on the heap, with one reference.  The caller
   allocates the routes from its arena and fills them in.  */
struct cat_config *cat_config_new (void);
/* Adds a reference and returns CONFIG.  */
struct cat_config *cat_config_ref (struct cat_config *config);
/* Drops a reference; the last one frees CONFIG.  CONFIG may be null.  */
void cat_config_unref (struct cat_config *config);
/* Returns the index of the service NAME, which is added if it is new.  NAME is
   copied.  An added service may move the array of services, so refer to
   services by index, and not by pointer, until the configuration is
   complete.  */
uint32_t cat_config_service_index (struct cat_config *config,
                                   struct rw_str name);
/* Makes the routes known to cat_config_find_route.  To be called once, when
   all routes are filled in.  Of several routes with the same host and prefix,
   the last one is found.  */
void cat_config_index_routes (struct cat_config *config);
/* Returns the route of HOST with the longest prefix of PATH, or null.  The
   case of HOST and a port in it are ignored.  The route belongs to CONFIG.  */
struct cat_route *cat_config_find_route (const struct cat_config *config,
                                         struct rw_str host,
                                         struct rw_str path);

#endif
