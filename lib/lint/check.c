#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "lint.h"

/* Covers the rounding error of a share times a number of shards, as in the
   plan of a request.  */
#define ROUNDING 1e-9

/* What the checks of one configuration have in common.  */
struct check
{
  const struct cat_config *config;
  const struct lin_fields *fields;
  struct lin_findings *findings;
  bool lists_services; /* the document has a list of services */
  bool *is_used;       /* for each service: a route names it */
};

#define ROUTE(check, i, name)                                                 \
  const struct lin_path name##_list = { NULL, (check)->fields->routes, 0 };   \
  const struct lin_path name = { &name##_list, NULL, i }

#define FIELD(name, path, field)                                              \
  const struct lin_path name = { &(path), field, 0 }

/* Warns at PATH if SERVICE, which a route names, is not in the document's list
   of services.  */
static void
use_service (struct check *check, uint32_t service,
             const struct lin_path *path)
{
  const struct cat_service *entry = &check->config->services[service];
  check->is_used[service] = true;
  if (check->lists_services && entry->entry == 0)
    lin_add (check->findings, LIN_WARNING, path,
             "service \"%.*s\" is not in %s", RW_STR_ARG (entry->name),
             check->fields->services);
}

/* Returns the number of shards that an answer must cover.  */
static size_t
shards_needed (const struct cat_route *route)
{
  double share = route->u.gather.min_share * (double)route->u.gather.count;
  double needed = ceil (share - ROUNDING);
  return needed < 1 ? 1 : (size_t)needed;
}

/* Returns the number of shards of ROUTE whose service is in the document's
   list of services.  */
static size_t
count_listed (const struct check *check, const struct cat_route *route)
{
  size_t listed = 0;
  for (size_t i = 0; i < route->u.gather.count; i++)
    listed += check->config->services[route->u.gather.services[i]].entry != 0;
  return listed;
}

static void
check_gather (struct check *check, const struct cat_route *route,
              const struct lin_path *path)
{
  FIELD (list, *path, check->fields->gather);
  FIELD (share, *path, check->fields->min_share);
  size_t count = route->u.gather.count;
  size_t listed = count_listed (check, route);
  bool lists_services = check->lists_services;
  size_t needed = shards_needed (route);
  struct rw_map seen; /* index plus 1, by service plus 1 */
  /* One warning for a route all of whose shards have no settings.  */
  if (lists_services && listed == 0)
    lin_add (check->findings, LIN_WARNING, &list,
             "none of the %zu services is in %s", count,
             check->fields->services);
  check->lists_services = lists_services && listed > 0;
  rw_map_init (&seen);
  for (size_t i = 0; i < count; i++)
    {
      const struct lin_path item = { &list, NULL, i };
      uint32_t service = route->u.gather.services[i];
      uintptr_t first = (uintptr_t)rw_map_get (&seen, (uint64_t)service + 1);
      use_service (check, service, &item);
      if (first == 0)
        rw_map_put (&seen, (uint64_t)service + 1, (void *)(uintptr_t)(i + 1));
      else
        lin_add (check->findings, LIN_WARNING, &item,
                 "shard %zu is the service \"%.*s\" too", (size_t)first - 1,
                 RW_STR_ARG (check->config->services[service].name));
    }
  rw_map_finish (&seen);
  check->lists_services = lists_services;
  if (listed > 0 && listed < needed)
    lin_add (check->findings, LIN_WARNING, &share,
             "%g of %zu shards are %zu, but only %zu of them are in %s",
             route->u.gather.min_share, count, needed, listed,
             check->fields->services);
  else if (needed == count && route->u.gather.min_share < 1)
    lin_add (check->findings, LIN_WARNING, &share,
             "with %zu shards, no set that lacks one reaches %g: all are "
             "needed",
             count, route->u.gather.min_share);
}

static void
check_split (struct check *check, const struct cat_route *route,
             const struct lin_path *path)
{
  FIELD (list, *path, check->fields->split);
  for (size_t i = 0; i < route->u.split.count; i++)
    {
      const struct lin_path item = { &list, NULL, i };
      FIELD (service, item, check->fields->service);
      FIELD (weight, item, check->fields->weight);
      use_service (check, route->u.split.shares[i].service, &service);
      if (route->u.split.shares[i].weight == 0)
        lin_add (check->findings, LIN_WARNING, &weight,
                 "the weight counts as 0: the service gets no request");
    }
}

static void
check_route (struct check *check, size_t i)
{
  const struct cat_route *route = &check->config->routes[i];
  ROUTE (check, i, path);
  FIELD (prefix, path, check->fields->prefix);
  FIELD (timeout, path, check->fields->timeout);
  FIELD (service, path, check->fields->service);
  const struct cat_route *found
      = cat_config_find_route (check->config, route->host, route->prefix);
  if (found != NULL && found != route)
    lin_add (check->findings, LIN_WARNING, &prefix,
             "never takes effect: %s[%zu] has the same %s and %s",
             check->fields->routes, (size_t)(found - check->config->routes),
             check->fields->host, check->fields->prefix);
  if (route->timeout < route->aim)
    lin_add (check->findings, LIN_WARNING, &timeout,
             "%lld ms are below the %s of %lld ms",
             (long long)(route->timeout / RW_MSEC), check->fields->aim,
             (long long)(route->aim / RW_MSEC));
  switch (route->kind)
    {
    case CAT_ROUTE_SERVICE:
      use_service (check, route->u.service, &service);
      break;
    case CAT_ROUTE_SPLIT:
      check_split (check, route, &path);
      break;
    case CAT_ROUTE_GATHER:
      check_gather (check, route, &path);
      break;
    }
}

static void
check_services (const struct check *check)
{
  for (size_t i = 0; i < check->config->service_count; i++)
    {
      const struct cat_service *service = &check->config->services[i];
      const struct lin_path list = { NULL, check->fields->services, 0 };
      const struct lin_path path
          = { &list, NULL, service->entry > 0 ? service->entry - 1 : 0 };
      if (service->entry > 0 && !check->is_used[i])
        lin_add (check->findings, LIN_WARNING, &path,
                 "no route names the service \"%.*s\"",
                 RW_STR_ARG (service->name));
    }
}

static void
check_organisation (const struct check *check, size_t i, rw_time window)
{
  const struct org_organisation *o = &check->config->organisations.list[i];
  const struct lin_path list = { NULL, check->fields->organisations, 0 };
  const struct lin_path path = { &list, NULL, i };
  FIELD (keys, path, check->fields->keys);
  FIELD (rate, path, check->fields->rate);
  FIELD (burst, path, check->fields->burst);
  double window_s = (double)window / RW_SEC;
  if (o->key_count == 0)
    lin_add (check->findings, LIN_WARNING, &keys,
             "organisation \"%.*s\" has no key: it cannot send requests",
             RW_STR_ARG (o->name));
  if (o->rate_per_s > 0 && o->rate_per_s * window_s < 1)
    lin_add (check->findings, LIN_WARNING, &rate,
             "%g requests per second are less than one in the window of %g s "
             "over which the limit is checked",
             o->rate_per_s, window_s);
  if (o->burst > 0 && o->rate_per_s == 0)
    lin_add (check->findings, LIN_WARNING, &burst, "limits nothing without %s",
             check->fields->rate);
}

/* The priority of an organisation's requests, which goes before that of the
   route, as the daemon ranks them.  */
static unsigned int
rank (const struct org_organisation *o)
{
  return o->has_priority ? o->priority : 0;
}

/* Finds two routes of different priorities.  Returns whether there are any. */
static bool
find_ranked_routes (const struct cat_config *config, size_t *high, size_t *low)
{
  *high = 0;
  *low = 0;
  for (size_t i = 1; i < config->route_count; i++)
    {
      if (config->routes[i].priority < config->routes[*high].priority)
        *high = i;
      if (config->routes[i].priority > config->routes[*low].priority)
        *low = i;
    }
  return config->route_count > 0
         && config->routes[*high].priority < config->routes[*low].priority;
}

/* One warning stands for all pairs: with priorities of both kinds there may be
   as many as organisations times routes.  */
static void
check_priorities (const struct check *check)
{
  const struct cat_config *config = check->config;
  const struct org_directory *d = &config->organisations;
  size_t first = 0;
  size_t last = 0;
  size_t high;
  size_t low;
  for (size_t i = 1; i < d->count; i++)
    {
      if (rank (&d->list[i]) < rank (&d->list[first]))
        first = i;
      if (rank (&d->list[i]) > rank (&d->list[last]))
        last = i;
    }
  if (d->count == 0 || rank (&d->list[first]) == rank (&d->list[last])
      || !find_ranked_routes (config, &high, &low))
    return;
  const struct lin_path list = { NULL, check->fields->organisations, 0 };
  const struct lin_path path = { &list, NULL, last };
  FIELD (priority, path, check->fields->priority);
  lin_add (check->findings, LIN_WARNING, &priority,
           "reverses the order of routes: a request of \"%.*s\" (%u) at route "
           "\"%.*s\" (%u) comes after one of \"%.*s\" (%u) at route \"%.*s\" "
           "(%u)",
           RW_STR_ARG (d->list[last].name), rank (&d->list[last]),
           RW_STR_ARG (config->routes[high].name),
           config->routes[high].priority, RW_STR_ARG (d->list[first].name),
           rank (&d->list[first]), RW_STR_ARG (config->routes[low].name),
           config->routes[low].priority);
}

void
lin_check (const struct cat_config *config, const struct lin_fields *fields,
           rw_time quota_window, struct lin_findings *findings)
{
  struct check check = { config, fields, findings, false, NULL };
  check.is_used = rw_xcalloc (config->service_count + 1, sizeof (bool));
  for (size_t i = 0; i < config->service_count; i++)
    check.lists_services
        = check.lists_services || config->services[i].entry > 0;
  for (size_t i = 0; i < config->route_count; i++)
    check_route (&check, i);
  check_services (&check);
  for (size_t i = 0; i < config->organisations.count; i++)
    check_organisation (&check, i, quota_window);
  check_priorities (&check);
  free (check.is_used);
}
