#include "cat.h"
#include "unit.h"

static struct cat_config *
make_config (void)
{
  static const char *const routes[][2] = { { "shop.example", "/a/" },
                                           { "shop.example", "/a/b/" },
                                           { "shop.example", "/" },
                                           { "other.example", "/a/" } };
  struct cat_config *config = cat_config_new ();
  config->route_count = RW_ARRAY_LEN (routes);
  config->routes = rw_arena_zalloc (&config->arena, config->route_count,
                                    sizeof *config->routes);
  for (size_t i = 0; i < config->route_count; i++)
    {
      config->routes[i].host = rw_str_from (routes[i][0]);
      config->routes[i].prefix = rw_str_from (routes[i][1]);
    }
  cat_config_index_routes (config);
  return config;
}

static int
find (const struct cat_config *config, const char *host, const char *path)
{
  struct cat_route *route
      = cat_config_find_route (config, rw_str_from (host), rw_str_from (path));
  return route == NULL ? -1 : (int)(route - config->routes);
}

/* Guards against choosing a prefix that matches but is not the longest, and
   against matching a prefix that ends within a path segment.  */
TEST (the_longest_prefix_wins)
{
  struct cat_config *config = make_config ();
  assert_int_equal (find (config, "shop.example", "/a/b/c"), 1);
  assert_int_equal (find (config, "shop.example", "/a/bc"), 0);
  assert_int_equal (find (config, "shop.example", "/a"), 2);
  assert_int_equal (find (config, "other.example", "/a/b/c"), 3);
  assert_int_equal (find (config, "other.example", "/b/"), -1);
  cat_config_unref (config);
}

/* Guards against comparing hosts with their port or their case.  */
TEST (host_names_ignore_port_and_case)
{
  struct cat_config *config = make_config ();
  assert_int_equal (find (config, "Shop.Example:8104", "/a/x"), 0);
  assert_int_equal (find (config, "", "/a/x"), -1);
  cat_config_unref (config);
}

/* Guards against freeing a configuration that a request still uses.  */
TEST (the_last_reference_frees_a_configuration)
{
  struct cat_config *config = make_config ();
  struct cat_config *held = cat_config_ref (config);
  cat_config_unref (config);
  assert_int_equal (find (held, "shop.example", "/a/"), 0);
  cat_config_unref (held);
}

/* Guards against giving one service two indices.  */
TEST (a_service_has_one_index)
{
  struct cat_config *config = cat_config_new ();
  uint32_t a = cat_config_service_index (config, RW_LIT ("a"));
  uint32_t b = cat_config_service_index (config, RW_LIT ("b"));
  assert_int_equal (cat_config_service_index (config, RW_LIT ("a")), a);
  assert_int_not_equal (a, b);
  assert_int_equal (config->service_count, 2);
  cat_config_unref (config);
}
