#include "node.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

#include "wire.h"

#define ADMIN_API_PAGE "docs/admin-api.md"
#define START (1000 * RW_SEC)

static rw_time now;

static void
drop_actions (struct nod_node *node)
{
  struct nod_action action;

  while (nod_next_action (node, &action))
    nod_action_finish (&action);
}

static void
offer (struct nod_node *node, const char *key, uint64_t version,
       const char *body)
{
  nod_on_doc (node, rw_str_from (key), version, rw_str_from (body), now);
  drop_actions (node);
}

static void
run_for (struct nod_node *node, rw_time time)
{
  for (rw_time end = now + time; now < end; now += 50 * RW_MSEC)
    {
      nod_tick (node, now);
      drop_actions (node);
    }
}

/* Delivers a probe from mid-2, which has no rules yet.  */
static void
hear_peer (struct nod_node *node)
{
  struct wir_msg msg = { .type = WIR_PROBE_CALL };
  struct nod_addr from = { "10.0.0.2", 7000 };
  struct rw_buf data;
  struct rw_err err;

  rw_buf_init (&data);
  msg.u.probe.vm = RW_LIT ("mid-2");
  msg.u.probe.incarnation = 2;
  assert_int_equal (wir_encode (&msg, &data, &err), 0);
  assert_int_equal (
      nod_on_datagram (node, &from, rw_buf_str (&data), now, &err), 0);
  rw_buf_finish (&data);
  drop_actions (node);
}

/* Creates the node mid-1, which holds t-1 and has mid-2 as the believed holder
   of t-2.  */
static int
set_up (void **state)
{
  struct nod_settings settings = { .vm = RW_LIT ("mid-1"),
                                   .dc = RW_LIT ("a"),
                                   .addr = RW_LIT ("10.0.0.1"),
                                   .rpc_port = 7000,
                                   .incarnation = 1 };
  struct nod_node *node;

  now = START;
  node = nod_new (&settings, now);
  offer (node, "rules", 1, "service s slots=4 cold=2 # me\n");
  offer (node, "vms", 1,
         "{\"vms\":[{\"name\":\"mid-1\",\"dc\":\"a\",\"addr\":\"10.0.0.1\","
         "\"rpc\":7000,\"state\":\"live\"},{\"name\":\"mid-2\",\"dc\":\"b\","
         "\"addr\":\"10.0.0.2\",\"rpc\":7000,\"state\":\"live\"}]}");
  offer (node, "map/s", 1,
         "{\"service\":\"s\",\"snapshot\":\"s1\",\"shards\":[[\"t-1\","
         "\"t-2\"]],\"targets\":[{\"name\":\"t-1\",\"dc\":\"a\",\"addr\":"
         "\"10.9.0.1\",\"port\":1},{\"name\":\"t-2\",\"dc\":\"b\",\"addr\":"
         "\"10.9.0.2\",\"port\":1}]}");
  run_for (node, 5 * RW_SEC);
  hear_peer (node);
  *state = node;
  return 0;
}

static int
tear_down (void **state)
{
  nod_free (*state);
  return 0;
}

static json_t *
report (struct nod_node *node, const char *name)
{
  struct rw_buf out;
  json_t *root;

  rw_buf_init (&out);
  assert_int_equal (nod_report (node, rw_str_from (name), &out, now), 0);
  root = json_loadb (out.ptr, out.len, 0, NULL);
  rw_buf_finish (&out);
  assert_non_null (root);
  return root;
}

/* Returns the JSON example in the section NAME of ADMIN_API_PAGE.  */
static json_t *
example (const char *name)
{
  static char page[65536];
  char title[32];
  FILE *file = fopen (ADMIN_API_PAGE, "r");
  char *start;
  json_t *root;

  assert_non_null (file);
  page[fread (page, 1, sizeof page - 1, file)] = '\0';
  fclose (file);
  snprintf (title, sizeof title, "\n## %s\n", name);
  start = strstr (page, title);
  assert_non_null (start);
  start = strchr (start, '{');
  assert_non_null (start);
  root = json_loads (start, JSON_DISABLE_EOF_CHECK, NULL);
  assert_non_null (root);
  return root;
}

/* Checks that each member of ACTUAL, at every depth, is in PAGE_VALUE with the
   same type.  If ALL_MEMBERS is set, each member of PAGE_VALUE must also be in
   ACTUAL.  The first entry of an array must have all members; the others may
   lack some.  */
static void
compare_members (json_t *page_value, json_t *actual, bool all_members)
{
  if (page_value == NULL)
    {
      fail_msg ("an array of the page has no entry");
      return;
    }
  if (json_is_boolean (page_value))
    assert_true (json_is_boolean (actual));
  else
    assert_int_equal (json_typeof (page_value), json_typeof (actual));
  if (json_is_array (actual))
    assert_true (json_array_size (actual) > 0);
  for (size_t i = 0; i < json_array_size (actual); i++)
    compare_members (json_array_get (page_value, 0),
                     json_array_get (actual, i), i == 0);
  for (void *at = json_object_iter (actual); at != NULL;
       at = json_object_iter_next (actual, at))
    {
      json_t *member = json_object_get (page_value, json_object_iter_key (at));

      if (member == NULL)
        fail_msg ("%s is not on the page", json_object_iter_key (at));
      else
        compare_members (member, json_object_iter_value (at), all_members);
    }
  for (void *at = json_object_iter (page_value); all_members && at != NULL;
       at = json_object_iter_next (page_value, at))
    if (json_object_get (actual, json_object_iter_key (at)) == NULL)
      fail_msg ("%s is not in the report", json_object_iter_key (at));
}

/* Guards against a member that is in a report but not on its page, or the
   other way round, or that has another type there.  */
static void
reports_match_the_admin_api_page (void **state)
{
  static const char *const NAMES[]
      = { "status", "rules", "targets", "members" };

  for (size_t i = 0; i < RW_ARRAY_LEN (NAMES); i++)
    {
      json_t *page_value = example (NAMES[i]);
      json_t *actual = report (*state, NAMES[i]);

      compare_members (page_value, actual, true);
      json_decref (page_value);
      json_decref (actual);
    }
}

/* Checks limit, reason and rule line in the entry of t-1, the first target. */
static void
check_target (struct nod_node *node, const char *limit, const char *why,
              int line)
{
  json_t *root = report (node, "targets");
  json_t *entry = json_array_get (json_object_get (root, "targets"), 0);

  assert_string_equal (json_string_value (json_object_get (entry, "limit")),
                       limit);
  assert_string_equal (json_string_value (json_object_get (entry, "why")),
                       why);
  assert_int_equal (json_integer_value (json_object_get (entry, "line")),
                    line);
  json_decref (root);
}

/* Guards against a cold limit above 1 that is reported as a ramp, and against
   a target that a rule takes out but whose report still has the reason of an
   earlier cold start.  */
static void
report_shows_the_current_limit (void **state)
{
  check_target (*state, "cold", "start", 0);
  offer (*state, "rules", 2,
         "service s slots=4 cold=2 # me\ntarget t-1 leaving # me\n");
  run_for (*state, RW_SEC);
  check_target (*state, "rule", "", 2);
}

/* Guards against a report of a document with the age or the source of an
   earlier version.  */
static void
documents_have_age_and_source (void **state)
{
  json_t *root;
  json_t *doc;

  offer (*state, "rules", 2, "service s slots=4 # me\n");
  now += 70 * RW_MSEC;
  root = report (*state, "status");
  doc = json_array_get (json_object_get (root, "docs"), 0);
  assert_string_equal (json_string_value (json_object_get (doc, "key")),
                       "rules");
  assert_int_equal (json_integer_value (json_object_get (doc, "version")), 2);
  assert_int_equal (json_integer_value (json_object_get (doc, "since_ms_ago")),
                    70);
  assert_string_equal (json_string_value (json_object_get (doc, "source")),
                       "service");
  json_decref (root);
}

#define TEST(f) cmocka_unit_test_setup_teardown (f, set_up, tear_down)

int
main (void)
{
  const struct CMUnitTest tests[] = { TEST (reports_match_the_admin_api_page),
                                      TEST (report_shows_the_current_limit),
                                      TEST (documents_have_age_and_source) };

  return cmocka_run_group_tests_name ("report", tests, NULL, NULL);
}
