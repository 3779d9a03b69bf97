#include <stdlib.h>
#include <string.h>

#include "lint.h"

/* What the comparison of two configurations has in common.  */
struct compare
{
  const struct cat_config *before;
  const struct cat_config *after;
  const struct lin_fields *fields;
  struct lin_findings *findings;
};

#define FIELD(name, path, field)                                              \
  const struct lin_path name = { &(path), field, 0 }

/* Adds the effect on the key with DIGEST, which FORMER holds.  */
static void
compare_key (const struct compare *c, const struct org_digest *digest,
             const struct org_organisation *former)
{
  char text[LIN_KEY_TEXT_BYTES];
  const struct org_directory *d = &c->after->organisations;
  const struct org_organisation *o = org_find_digest (d, digest);
  const struct lin_path list = { NULL, c->fields->organisations, 0 };
  if (o != NULL && rw_str_eq (o->name, former->name))
    return;
  lin_write_key (digest, text);
  if (o != NULL)
    {
      const struct lin_path path = { &list, NULL, (size_t)(o - d->list) };
      FIELD (keys, path, c->fields->keys);
      lin_add (c->findings, LIN_EFFECT, &keys,
               "key %s moves from organisation \"%.*s\" to \"%.*s\"", text,
               RW_STR_ARG (former->name), RW_STR_ARG (o->name));
      return;
    }
  const struct org_organisation *left = org_find_name (d, former->name);
  const struct lin_path path
      = { &list, NULL, left != NULL ? (size_t)(left - d->list) : 0 };
  FIELD (keys, path, c->fields->keys);
  lin_add (c->findings, LIN_EFFECT, left != NULL ? &keys : &list,
           "key %s of organisation \"%.*s\" is revoked", text,
           RW_STR_ARG (former->name));
}

static void
compare_keys (const struct compare *c)
{
  const struct org_directory *d = &c->before->organisations;
  /* Without organisations no key is checked, so none is revoked.  */
  if (c->after->organisations.count == 0)
    return;
  for (size_t i = 0; i < d->key_cap; i++)
    if (d->keys[i].organisation != 0)
      compare_key (c, &d->keys[i].digest,
                   &d->list[d->keys[i].organisation - 1]);
}

/* Adds an effect if the quota of O, element I of the organisations, is lower
   than that of FORMER.  */
static void
compare_quota (const struct compare *c, const struct org_organisation *former,
               const struct org_organisation *o, size_t i)
{
  const struct lin_path list = { NULL, c->fields->organisations, 0 };
  const struct lin_path path = { &list, NULL, i };
  FIELD (rate, path, c->fields->rate);
  FIELD (burst, path, c->fields->burst);
  if (o->rate_per_s == 0)
    return;
  if (former->rate_per_s == 0)
    lin_add (c->findings, LIN_EFFECT, &rate,
             "quota of \"%.*s\" lowered from no limit to %g requests per "
             "second and a burst of %g",
             RW_STR_ARG (o->name), o->rate_per_s, o->burst);
  else if (o->rate_per_s < former->rate_per_s)
    lin_add (c->findings, LIN_EFFECT, &rate,
             "quota of \"%.*s\" lowered from %g to %g requests per second",
             RW_STR_ARG (o->name), former->rate_per_s, o->rate_per_s);
  if (former->rate_per_s > 0 && o->burst < former->burst)
    lin_add (c->findings, LIN_EFFECT, &burst,
             "burst of \"%.*s\" lowered from %g to %g requests",
             RW_STR_ARG (o->name), former->burst, o->burst);
}

static void
compare_organisations (const struct compare *c)
{
  const struct org_directory *before = &c->before->organisations;
  const struct org_directory *after = &c->after->organisations;
  const struct lin_path list = { NULL, c->fields->organisations, 0 };
  if (before->count == 0 && after->count > 0)
    lin_add (c->findings, LIN_EFFECT, &list,
             "requests at routes that are not public need a key from now on");
  if (before->count > 0 && after->count == 0)
    lin_add (c->findings, LIN_EFFECT, NULL,
             "no request needs a key any more: there are no organisations");
  for (size_t i = 0; i < after->count; i++)
    {
      const struct org_organisation *former
          = org_find_name (before, after->list[i].name);
      if (former != NULL)
        compare_quota (c, former, &after->list[i], i);
    }
  compare_keys (c);
}

/* Appends the services of ROUTE, at most three by name.  */
static void
write_services (const struct cat_config *config, const struct cat_route *route,
                struct rw_buf *out)
{
  size_t count = 1;
  if (route->kind == CAT_ROUTE_SPLIT)
    count = route->u.split.count;
  else if (route->kind == CAT_ROUTE_GATHER)
    count = route->u.gather.count;
  for (size_t i = 0; i < count && i < 3; i++)
    {
      uint32_t service = route->u.service;
      if (route->kind == CAT_ROUTE_SPLIT)
        service = route->u.split.shares[i].service;
      else if (route->kind == CAT_ROUTE_GATHER)
        service = route->u.gather.services[i];
      rw_buf_printf (out, i > 0 ? ", \"%.*s\"" : "\"%.*s\"",
                     RW_STR_ARG (config->services[service].name));
    }
  if (count > 3)
    rw_buf_printf (out, " and %zu more", count - 3);
}

static struct rw_str
service_name (const struct cat_config *config, uint32_t service)
{
  return config->services[service].name;
}

/* Returns the number of shards of AFTER whose service at the same position of
   BEFORE is another one or missing.  */
static size_t
count_moved_shards (const struct compare *c, const struct cat_route *before,
                    const struct cat_route *after)
{
  size_t moved = 0;
  for (size_t i = 0; i < after->u.gather.count; i++)
    moved += i >= before->u.gather.count
             || !rw_str_eq (
                 service_name (c->before, before->u.gather.services[i]),
                 service_name (c->after, after->u.gather.services[i]));
  return moved;
}

static bool
has_same_services (const struct compare *c, const struct cat_route *before,
                   const struct cat_route *after)
{
  if (before->kind != after->kind)
    return false;
  switch (after->kind)
    {
    case CAT_ROUTE_SERVICE:
      return rw_str_eq (service_name (c->before, before->u.service),
                        service_name (c->after, after->u.service));
    case CAT_ROUTE_GATHER:
      return before->u.gather.count == after->u.gather.count
             && count_moved_shards (c, before, after) == 0;
    case CAT_ROUTE_SPLIT:
      break;
    }
  if (before->u.split.count != after->u.split.count)
    return false;
  for (size_t i = 0; i < after->u.split.count; i++)
    {
      const struct cat_share *x = &before->u.split.shares[i];
      const struct cat_share *y = &after->u.split.shares[i];
      if (x->weight != y->weight
          || !rw_str_eq (service_name (c->before, x->service),
                         service_name (c->after, y->service)))
        return false;
    }
  return true;
}

/* Adds the effects on requests that FORMER served before and that AFTER,
   element I of the routes, serves now.  */
static void
compare_served (const struct compare *c, const struct cat_route *former,
                const struct cat_route *route, size_t i)
{
  const struct lin_path list = { NULL, c->fields->routes, 0 };
  const struct lin_path path = { &list, NULL, i };
  FIELD (gather, path, c->fields->gather);
  FIELD (is_public, path, c->fields->is_public);
  struct rw_buf from;
  struct rw_buf to;
  if (former->is_public != route->is_public
      && c->before->organisations.count > 0
      && c->after->organisations.count > 0)
    lin_add (c->findings, LIN_EFFECT, &is_public,
             route->is_public ? "requests need no key any more"
                              : "requests need a key from now on");
  if (has_same_services (c, former, route))
    return;
  if (former->kind == CAT_ROUTE_GATHER && route->kind == CAT_ROUTE_GATHER)
    {
      lin_add (c->findings, LIN_EFFECT, &gather,
               "shards of \"%.*s\" are repartitioned: %zu shards before, %zu "
               "now, %zu of them at another service",
               RW_STR_ARG (route->name), former->u.gather.count,
               route->u.gather.count, count_moved_shards (c, former, route));
      return;
    }
  rw_buf_init (&from);
  rw_buf_init (&to);
  write_services (c->before, former, &from);
  write_services (c->after, route, &to);
  lin_add (c->findings, LIN_EFFECT, &path,
           "requests of %.*s%.*s move from %.*s to %.*s",
           RW_STR_ARG (route->host), RW_STR_ARG (route->prefix),
           RW_STR_ARG (rw_buf_str (&from)), RW_STR_ARG (rw_buf_str (&to)));
  rw_buf_finish (&from);
  rw_buf_finish (&to);
}

/* Adds the effects on the requests of the host and prefix of ROUTE, element I
   of the routes of AFTER.  */
static void
compare_route (const struct compare *c, const struct cat_route *route,
               size_t i)
{
  const struct lin_path list = { NULL, c->fields->routes, 0 };
  const struct lin_path path = { &list, NULL, i };
  const struct cat_route *former
      = cat_config_find_route (c->before, route->host, route->prefix);
  if (cat_config_find_route (c->after, route->host, route->prefix) != route)
    return;
  if (former == NULL)
    lin_add (c->findings, LIN_EFFECT, &path,
             "requests of %.*s%.*s had no route before",
             RW_STR_ARG (route->host), RW_STR_ARG (route->prefix));
  else
    compare_served (c, former, route, i);
}

/* Adds the effect on the requests of the host and prefix of FORMER if no route
   has them any more.  */
static void
compare_former (const struct compare *c, const struct cat_route *former)
{
  const struct lin_path list = { NULL, c->fields->routes, 0 };
  const struct cat_route *route
      = cat_config_find_route (c->after, former->host, former->prefix);
  if (cat_config_find_route (c->before, former->host, former->prefix)
      != former)
    return;
  if (route == NULL)
    lin_add (c->findings, LIN_EFFECT, &list,
             "requests of %.*s%.*s (route \"%.*s\") have no route any more",
             RW_STR_ARG (former->host), RW_STR_ARG (former->prefix),
             RW_STR_ARG (former->name));
  else if (!rw_str_eq (route->prefix, former->prefix))
    compare_served (c, former, route, (size_t)(route - c->after->routes));
}

void
lin_compare (const struct cat_config *before, const struct cat_config *after,
             const struct lin_fields *fields, struct lin_findings *findings)
{
  struct compare c = { before, after, fields, findings };
  const struct lin_path version = { NULL, fields->version, 0 };
  if (findings->count[LIN_CHANGE] > 0 && after->version <= before->version)
    lin_add (findings, LIN_WARNING, &version,
             "%llu is not above %llu: daemons that have that version ignore "
             "this one",
             (unsigned long long)after->version,
             (unsigned long long)before->version);
  for (size_t i = 0; i < after->route_count; i++)
    compare_route (&c, &after->routes[i], i);
  for (size_t i = 0; i < before->route_count; i++)
    compare_former (&c, &before->routes[i]);
  compare_organisations (&c);
}
