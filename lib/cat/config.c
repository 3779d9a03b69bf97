#include <stdlib.h>
#include <string.h>

#include "cat.h"

#define ARENA_BLOCK_BYTES 16384

struct cat_config *
cat_config_new (void)
{
  struct cat_config *config = rw_xcalloc (1, sizeof *config);
  rw_arena_init (&config->arena, ARENA_BLOCK_BYTES);
  org_init (&config->organisations);
  rw_map_init (&config->routes_by_prefix);
  rw_map_init (&config->services_by_name);
  config->refs = 1;
  return config;
}

struct cat_config *
cat_config_ref (struct cat_config *config)
{
  config->refs++;
  return config;
}

void
cat_config_unref (struct cat_config *config)
{
  if (config == NULL || --config->refs > 0)
    return;
  org_finish (&config->organisations);
  rw_map_finish (&config->routes_by_prefix);
  rw_map_finish (&config->services_by_name);
  rw_arena_finish (&config->arena);
  free (config->services);
  free (config);
}

uint32_t
cat_config_service_index (struct cat_config *config, struct rw_str name)
{
  uint64_t key = rw_hash (name);
  /* The map holds the index plus 1, since a map can't hold null.  */
  uintptr_t stored = (uintptr_t)rw_map_get (&config->services_by_name, key);
  if (stored != 0)
    return (uint32_t)stored - 1;
  /* The array is full whenever its length is 0 or a power of two.  */
  size_t count = config->service_count;
  if ((count & (count - 1)) == 0)
    config->services
        = rw_xrealloc (config->services,
                       (count > 0 ? 2 * count : 1) * sizeof *config->services);
  struct cat_service *service = &config->services[config->service_count++];
  memset (service, 0, sizeof *service);
  service->name = rw_arena_str (&config->arena, name);
  rw_map_put (&config->services_by_name, key,
              (void *)(uintptr_t)config->service_count);
  return (uint32_t)config->service_count - 1;
}

static char
lower (char c)
{
  return c >= 'A' && c <= 'Z' ? (char)(c - 'A' + 'a') : c;
}

/* Returns the hash of a host name in lower case and without its port.  */
static uint64_t
host_hash (struct rw_str host)
{
  char buf[256];
  size_t len = 0;
  while (len < host.len && len < sizeof buf && host.ptr[len] != ':')
    {
      buf[len] = lower (host.ptr[len]);
      len++;
    }
  return rw_hash ((struct rw_str){ buf, len });
}

/* Returns the key of a route in the map, from the hash of its host.  */
static uint64_t
route_key (uint64_t host, struct rw_str prefix)
{
  return rw_hash_u64 (host, rw_hash (prefix)) | 1;
}

void
cat_config_index_routes (struct cat_config *config)
{
  for (size_t i = 0; i < config->route_count; i++)
    {
      struct cat_route *route = &config->routes[i];
      rw_map_put (&config->routes_by_prefix,
                  route_key (host_hash (route->host), route->prefix), route);
    }
}

struct cat_route *
cat_config_find_route (const struct cat_config *config, struct rw_str host,
                       struct rw_str path)
{
  uint64_t hash = host_hash (host);
  /* Prefixes end with a slash: looks up each such prefix of PATH, from the
     longest to the shortest.  */
  for (size_t len = path.len; len > 0; len--)
    {
      if (path.ptr[len - 1] != '/')
        continue;
      struct cat_route *route
          = rw_map_get (&config->routes_by_prefix,
                        route_key (hash, (struct rw_str){ path.ptr, len }));
      if (route != NULL)
        return route;
    }
  return NULL;
}
