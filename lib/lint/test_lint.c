#include "lint.h"
#include "unit.h"

/* Names that are unlike those of any platform: the library must not have any
   of its own.  */
static const struct lin_fields names = { .version = "V",
                                         .routes = "R",
                                         .host = "H",
                                         .prefix = "P",
                                         .priority = "Q",
                                         .timeout = "T",
                                         .aim = "A",
                                         .service = "S",
                                         .split = "SPLIT",
                                         .weight = "W",
                                         .gather = "G",
                                         .min_share = "M",
                                         .is_public = "U",
                                         .services = "SS",
                                         .organisations = "O",
                                         .keys = "K",
                                         .rate = "RATE",
                                         .burst = "B" };

#define MAX_ROUTES 4

struct fixture
{
  struct cat_config *before;
  struct cat_config *config;
  struct lin_findings findings;
  struct rw_buf text;
};

static struct cat_config *
new_config (void)
{
  struct cat_config *config = cat_config_new ();
  config->version = 1;
  config->routes
      = rw_arena_zalloc (&config->arena, MAX_ROUTES, sizeof *config->routes);
  return config;
}

static void
begin (struct fixture *f)
{
  f->before = new_config ();
  f->config = new_config ();
  lin_init (&f->findings, 100, 100);
  rw_buf_init (&f->text);
}

static void
end (struct fixture *f)
{
  cat_config_unref (f->before);
  cat_config_unref (f->config);
  lin_finish (&f->findings);
  rw_buf_finish (&f->text);
}

UNIT_FIXTURE (begin, end)

/* Adds the service NAME, with an entry in the list of services if LISTED.  */
static uint32_t
add_service (struct cat_config *config, const char *name, bool listed)
{
  uint32_t index = cat_config_service_index (config, rw_str_from (name));
  if (listed)
    config->services[index].entry = index + 1;
  return index;
}

static struct cat_route *
add_route (struct cat_config *config, const char *name, const char *prefix,
           const char *service)
{
  assert_true (config->route_count < MAX_ROUTES);
  struct cat_route *route = &config->routes[config->route_count++];
  route->name = rw_str_from (name);
  route->host = RW_LIT ("h");
  route->prefix = rw_str_from (prefix);
  route->timeout = 100 * RW_MSEC;
  route->aim = 100 * RW_MSEC;
  route->kind = CAT_ROUTE_SERVICE;
  route->u.service = add_service (config, service, true);
  return route;
}

/* Makes ROUTE gather COUNT shards, of the services A, B and so on.  */
static void
make_gather (struct cat_config *config, struct cat_route *route, size_t count,
             double min_share)
{
  route->kind = CAT_ROUTE_GATHER;
  route->u.gather.count = count;
  route->u.gather.min_share = min_share;
  route->u.gather.services
      = rw_arena_zalloc (&config->arena, count, sizeof (uint32_t));
  for (size_t i = 0; i < count; i++)
    route->u.gather.services[i]
        = add_service (config, (char[]){ (char)('A' + i), 0 }, true);
}

static struct org_organisation *
add_organisation (struct cat_config *config, const char *name, double rate,
                  double burst, const char *key)
{
  struct org_organisation o
      = { .name = rw_str_from (name), .rate_per_s = rate, .burst = burst };
  struct org_digest digest;
  size_t index;
  assert_int_equal (org_add (&config->organisations, &o, &index), 0);
  if (key != NULL)
    {
      org_digest_key (rw_str_from (key), &digest);
      org_add_key (&config->organisations, &digest, index);
    }
  return &config->organisations.list[index];
}

/* Returns all findings, one a line.  */
static const char *
write_findings (struct fixture *f)
{
  f->text.len = 0;
  for (size_t i = 0; i < f->findings.len; i++)
    {
      lin_write (&f->findings.list[i], &f->text);
      rw_buf_append (&f->text, "\n", 1);
    }
  rw_buf_append (&f->text, "", 1);
  return f->text.ptr;
}

static const char *
check (struct fixture *f)
{
  cat_config_index_routes (f->config);
  lin_check (f->config, &names, 5 * RW_SEC, &f->findings);
  return write_findings (f);
}

static const char *
compare (struct fixture *f)
{
  cat_config_index_routes (f->before);
  cat_config_index_routes (f->config);
  lin_compare (f->before, f->config, &names, &f->findings);
  return write_findings (f);
}

/* Guards against warnings that an operator learns to ignore.  */
TEST_WITH_FIXTURE (a_configuration_without_faults_has_no_findings)
{
  add_route (f->config, "r", "/", "s");
  make_gather (f->config, add_route (f->config, "g", "/g/", "A"), 4, 0.75);
  add_organisation (f->config, "o", 0.2, 3, "k");
  add_organisation (f->config, "p", 0, 0, "l");
  assert_string_equal (check (f), "");
}

/* Guards against entries without effect that are not reported.  */
TEST_WITH_FIXTURE (entries_that_never_take_effect_are_reported)
{
  struct cat_route *route = add_route (f->config, "r", "/a/", "s");
  add_route (f->config, "q", "/a/", "s");
  f->config->routes[1].host = RW_LIT ("H");
  add_service (f->config, "unused", true);
  route->u.service = add_service (f->config, "missing", false);
  route = add_route (f->config, "t", "/t/", "s");
  route->kind = CAT_ROUTE_SPLIT;
  struct cat_share shares[] = { { 0, 0 }, { 0, 5 } };
  route->u.split.shares = shares;
  route->u.split.count = 2;
  route->u.split.total = 5;
  add_organisation (f->config, "o", 0, 0, NULL);
  assert_string_equal (
      check (f),
      "R[0].P: never takes effect: R[1] has the same H and P\n"
      "R[0].S: service \"missing\" is not in SS\n"
      "R[2].SPLIT[0].W: the weight counts as 0: the service gets no request\n"
      "SS[1]: no route names the service \"unused\"\n"
      "O[0].K: organisation \"o\" has no key: it cannot send requests\n");
}

/* Guards against warnings about each service of a document that lists none:
   services without settings need no entry.  */
TEST_WITH_FIXTURE (without_a_list_of_services_none_is_missing)
{
  struct cat_route *route = add_route (f->config, "r", "/a/", "s");
  f->config->services[route->u.service].entry = 0;
  assert_string_equal (check (f), "");
}

/* Guards against a warning for each of many shards, if the list of services
   has settings of other services only.  */
TEST_WITH_FIXTURE (shards_without_settings_give_one_warning)
{
  add_route (f->config, "r", "/a/", "s");
  struct cat_route *route = add_route (f->config, "g", "/g/", "s");
  make_gather (f->config, route, 4, 0.75);
  for (size_t i = 0; i < 4; i++)
    f->config->services[route->u.gather.services[i]].entry = 0;
  assert_string_equal (check (f), "R[1].G: none of the 4 services is in SS\n");
}

/* Guards against limits that contradict each other and are sent.  */
TEST_WITH_FIXTURE (contradictions_are_reported)
{
  struct cat_route *route = add_route (f->config, "r", "/a/", "A");
  route->aim = 200 * RW_MSEC;
  make_gather (f->config, route, 3, 0.9);
  route = add_route (f->config, "q", "/b/", "A");
  make_gather (f->config, route, 2, 0.9);
  route->u.gather.services[1] = add_service (f->config, "missing", false);
  route->priority = 3;
  route = add_route (f->config, "p", "/c/", "A");
  make_gather (f->config, route, 2, 0.5);
  route->u.gather.services[1] = route->u.gather.services[0];
  add_organisation (f->config, "o", 0.19, 3, "k");
  add_organisation (f->config, "p", 0, 3, "l")->priority = 1;
  f->config->organisations.list[1].has_priority = true;
  assert_string_equal (
      check (f),
      "R[0].T: 100 ms are below the A of 200 ms\n"
      "R[0].M: with 3 shards, no set that lacks one reaches 0.9: all are "
      "needed\n"
      "R[1].G[1]: service \"missing\" is not in SS\n"
      "R[1].M: 0.9 of 2 shards are 2, but only 1 of them are in SS\n"
      "R[2].G[1]: shard 0 is the service \"A\" too\n"
      "O[0].RATE: 0.19 requests per second are less than one in the window of "
      "5 s over which the limit is checked\n"
      "O[1].B: limits nothing without RATE\n"
      "O[1].Q: reverses the order of routes: a request of \"p\" (1) at route "
      "\"r\" (0) comes after one of \"o\" (0) at route \"q\" (3)\n");
}

/* Guards against a change of who is admitted, or of what an organisation may
   send, that is not shown, and against a key that is.  */
TEST_WITH_FIXTURE (effects_on_organisations_are_shown)
{
  add_organisation (f->before, "o", 9, 4, "secret-1");
  add_organisation (f->before, "p", 0, 0, "secret-2");
  add_organisation (f->before, "gone", 0, 0, "secret-3");
  add_organisation (f->before, "same", 5, 5, "secret-4");
  add_organisation (f->config, "p", 7, 1, "secret-1");
  add_organisation (f->config, "o", 8.5, 2, "new");
  add_organisation (f->config, "same", 5, 5, "secret-4");
  const char *text = compare (f);
  assert_non_null (strstr (text, "O[0].RATE: quota of \"p\" lowered from no "
                                 "limit to 7 requests per second and a burst "
                                 "of 1\n"));
  assert_non_null (strstr (text, "O[1].RATE: quota of \"o\" lowered from 9 to "
                                 "8.5 requests per second\n"
                                 "O[1].B: burst of \"o\" lowered from 4 to 2 "
                                 "requests\n"));
  /* The first digits of the SHA-256 digests of the keys.  */
  assert_non_null (strstr (text, "O[0].K: key f7e7c36e moves from "
                                 "organisation \"o\" to \"p\"\n"));
  assert_non_null (strstr (
      text, "O[0].K: key f4b6bb65 of organisation \"p\" is revoked\n"));
  assert_non_null (
      strstr (text, "O: key 2c7d3470 of organisation \"gone\" is revoked\n"));
  assert_null (strstr (text, "same"));
  assert_null (strstr (text, "secret"));
  assert_int_equal (f->findings.len, 6);
}

/* Guards against an unnoticed change of whether keys are needed at all.  */
TEST_WITH_FIXTURE (the_first_and_last_organisations_are_shown)
{
  add_organisation (f->before, "o", 0, 0, "k");
  assert_string_equal (
      compare (f),
      "no request needs a key any more: there are no organisations\n");
  lin_compare (f->config, f->before, &names, &f->findings);
  assert_non_null (
      strstr (write_findings (f),
              "O: requests at routes that are not public need a key"));
}

/* Guards against requests that move to other targets unnoticed.  */
TEST_WITH_FIXTURE (effects_on_requests_are_shown)
{
  add_route (f->before, "r", "/a/", "s");
  add_route (f->before, "old", "/old/", "s");
  add_route (f->before, "inner", "/a/b/", "t");
  make_gather (f->before, add_route (f->before, "g", "/g/", "A"), 3, 1);
  add_route (f->config, "r", "/a/", "t");
  add_route (f->config, "new", "/new/", "s");
  make_gather (f->config, add_route (f->config, "g", "/g/", "A"), 4, 1);
  f->config->routes[2].u.gather.services[0] = 1;
  assert_string_equal (
      compare (f),
      "R[0]: requests of h/a/ move from \"s\" to \"t\"\n"
      "R[1]: requests of h/new/ had no route before\n"
      "R[2].G: shards of \"g\" are repartitioned: 3 shards before, 4 now, 2 "
      "of "
      "them at another service\n"
      "R: requests of h/old/ (route \"old\") have no route any more\n");
}

/* Guards against a new version that every daemon ignores.  */
TEST_WITH_FIXTURE (a_version_that_is_not_newer_is_reported)
{
  assert_string_equal (compare (f), "");
  lin_add (&f->findings, LIN_CHANGE, NULL, "x");
  assert_string_equal (compare (f),
                       "x\nV: 1 is not above 1: daemons that have that "
                       "version ignore this one\n");
}

/* Guards against findings beyond the bound that are stored or not counted,
   and against lines of logs that a name in the document breaks.  */
TEST (findings_are_bounded_and_of_one_line)
{
  struct lin_findings findings;
  lin_init (&findings, 1, 0);
  lin_add (&findings, LIN_WARNING, NULL, "w");
  const struct lin_path list = { NULL, "a b", 0 };
  const struct lin_path path = { &list, NULL, 3 };
  const struct lin_path field = { &path, "c", 0 };
  lin_add (&findings, LIN_ERROR, &field, "a\nb\x1b%s", "\x7f");
  lin_add (&findings, LIN_ERROR, NULL, "second");
  assert_int_equal (findings.len, 1);
  assert_int_equal (findings.count[LIN_ERROR], 2);
  assert_int_equal (findings.count[LIN_WARNING], 1);
  assert_string_equal (findings.list[0].message.ptr, "a?b??");
  assert_string_equal (findings.list[0].path.ptr, "[\"a b\"][3].c");
  lin_finish (&findings);
}
