#include "topo.h"
#include "unit.h"

#define VM(name, dc)                                                          \
  "{\"name\":\"" name "\",\"dc\":\"" dc "\",\"addr\":\"127.0.0.1\","          \
  "\"rpc\":7001,\"state\":\"live\"}"

static int
load_vms (struct top_vms *vms, const char *text, struct rw_err *err)
{
  return top_vms_init (vms, 1, rw_str_from (text), err);
}

/* Guards against a VM list that loses entries or splits a data centre whose
   VMs are not adjacent in the document.  */
TEST (vm_lists_are_indexed)
{
  struct top_vms vms;
  struct rw_err err;

  assert_int_equal (load_vms (&vms,
                              "{\"vms\":[" VM ("b", "x") "," VM (
                                  "a", "y") "," VM ("c", "x") "]}",
                              &err),
                    0);
  assert_int_equal (vms.vm_count, 3);
  assert_int_equal (vms.dc_count, 2);
  assert_int_equal (top_dc_by_name (&vms, RW_LIT ("x"))->live_count, 2);
  assert_true (rw_str_eq_cstr (top_vm_by_name (&vms, RW_LIT ("a"))->dc, "y"));
  assert_null (top_vm_by_name (&vms, RW_LIT ("d")));
  assert_null (top_dc_by_name (&vms, RW_LIT ("z")));
  top_vms_finish (&vms);
}

/* Guards against an invalid VM list that is accepted, or whose error does not
   name the position in the document.  */
TEST (invalid_vm_lists_are_rejected)
{
  static const struct
  {
    const char *text;
    const char *detail; /* substring of rw_err.detail */
  } cases[] = {
    { "{\"vms\":[", "line 1" },
    { "[]", "document" },
    { "{\"vms\":{}}", "vms: expected an array" },
    { "{\"vms\":[{\"name\":\"a\"}]}", "vms[0].dc" },
    { "{\"vms\":[" VM ("a", "x") "," VM ("a", "y") "]}", "appears twice" },
    { "{\"vms\":[" VM ("a b", "x") "]}", "vms[0].name" },
    { "{\"vms\":[{\"name\":\"a\",\"dc\":\"x\",\"addr\":\"host\"}]}",
      "vms[0].addr" },
    { "{\"vms\":[{\"name\":\"a\",\"dc\":\"x\",\"addr\":\"::1\",\"rpc\":0}]}",
      "vms[0].rpc" },
    { "{\"vms\":[{\"name\":\"a\",\"dc\":\"x\",\"addr\":\"::1\",\"rpc\":1,"
      "\"state\":\"up\"}]}",
      "vms[0].state" },
  };

  for (size_t i = 0; i < RW_ARRAY_LEN (cases); i++)
    {
      struct top_vms vms;
      struct rw_err err;

      assert_true (load_vms (&vms, cases[i].text, &err) < 0);
      assert_string_equal (err.peer, "vms");
      assert_non_null (strstr (err.detail, cases[i].detail));
    }
}

/* Guards against an invalid map that is accepted, such as one with a replica
   that is not a target, and against replicas with the index of another
   target.  */
TEST (maps_are_validated)
{
  static const char head[]
      = "{\"service\":\"s\",\"snapshot\":\"s1\",\"targets\":["
        "{\"name\":\"t2\",\"dc\":\"x\",\"addr\":\"127.0.0.1\",\"port\":1},"
        "{\"name\":\"t1\",\"dc\":\"x\",\"addr\":\"127.0.0.1\",\"port\":2}],";
  static const struct
  {
    const char *shards;
    const char *key;
    const char *detail; /* null: valid */
  } cases[] = {
    { "[[\"t1\",\"t2\"],[\"t2\"]]", "map/s", NULL },
    { "[[\"t1\"]]", "map/other", "service" },
    { "[]", "map/s", "shards" },
    { "[[]]", "map/s", "shards[0]" },
    { "[[\"t1\"],[\"t1\",\"t1\"]]", "map/s", "shards[1][1]" },
    { "[[\"t3\"]]", "map/s", "shards[0][0]" },
  };

  for (size_t i = 0; i < RW_ARRAY_LEN (cases); i++)
    {
      struct top_map map;
      struct rw_err err;
      char text[512];
      int rc;

      snprintf (text, sizeof text, "%s\"shards\":%s}", head, cases[i].shards);
      rc = top_map_init (&map, 1, rw_str_from (cases[i].key),
                         rw_str_from (text), &err);
      if (cases[i].detail == NULL)
        {
          assert_int_equal (rc, 0);
          assert_int_equal (map.shards[0].replicas[0], 0);
          assert_int_equal (map.shards[0].replicas[1], 1);
          assert_true (top_shard_of_key (&map, RW_LIT ("k")) < 2);
          top_map_finish (&map);
          continue;
        }
      assert_true (rc < 0);
      assert_non_null (strstr (err.detail, cases[i].detail));
    }
}

/* Makes a list of the VMs vm-0 to vm-(COUNT - 1) without number OMITTED, all
   live in the data centre x.  */
static void
make_vms (struct top_vms *vms, size_t count, size_t omitted)
{
  struct rw_buf text;
  struct rw_err err;
  const char *comma = "";

  rw_buf_init (&text);
  rw_buf_printf (&text, "{\"vms\":[");
  for (size_t i = 0; i < count; i++)
    {
      if (i == omitted)
        continue;
      rw_buf_printf (&text,
                     "%s{\"name\":\"vm-%zu\",\"dc\":\"x\",\"addr\":"
                     "\"127.0.0.1\",\"rpc\":7001,\"state\":\"live\"}",
                     comma, i);
      comma = ",";
    }
  rw_buf_printf (&text, "]}");
  assert_int_equal (top_vms_init (vms, 1, rw_buf_str (&text), &err), 0);
  rw_buf_finish (&text);
}

/* Guards against the removal of a VM that changes the electorate of a group in
   which it has no vote: each change of an electorate interrupts the group.  */
TEST (vm_removal_changes_only_its_groups)
{
  struct top_vms before, after;
  uint64_t removed = rw_hash (RW_LIT ("vm-7"));
  int changed = 0;

  make_vms (&before, 40, SIZE_MAX);
  make_vms (&after, 40, 7);
  for (uint32_t g = 0; g < 64; g++)
    {
      struct top_electorate a, b;
      bool voted = false;

      top_electorate (&before, RW_LIT ("x"), RW_LIT (""), 64, g, &a);
      top_electorate (&after, RW_LIT ("x"), RW_LIT (""), 64, g, &b);
      assert_int_equal (a.member_count, TOP_ELECTORATE_MAX);
      for (size_t i = 0; i < a.member_count; i++)
        voted = voted || a.members[i] == removed;
      assert_int_equal (a.hash != b.hash, voted);
      changed += voted;
    }
  assert_in_range (changed, 1, 24);
  top_vms_finish (&before);
  top_vms_finish (&after);
}

/* Guards against targets without an electorate when their data centre has no
   live VM, and against an electorate from another region.  */
TEST (fallback_is_the_largest_data_centre)
{
  static const char text[]
      = "{\"vms\":[" VM ("a", "x") "," VM ("b", "y") "," VM (
          "c", "y") ","
                    "{\"name\":\"d\",\"dc\":\"z\",\"region\":\"r\",\"addr\":"
                    "\"::1\","
                    "\"rpc\":1,\"state\":\"live\"},"
                    "{\"name\":\"e\",\"dc\":\"w\",\"addr\":\"::1\",\"rpc\":1,"
                    "\"state\":\"leaving\"}]}";
  struct top_vms vms;
  struct top_electorate e;
  struct rw_err err;

  assert_int_equal (load_vms (&vms, text, &err), 0);
  top_electorate (&vms, RW_LIT ("nowhere"), RW_LIT (""), 8, 0, &e);
  assert_int_equal (e.member_count, 2);
  top_electorate (&vms, RW_LIT ("nowhere"), RW_LIT ("r"), 8, 0, &e);
  assert_int_equal (e.member_count, 1);
  assert_true (e.members[0] == rw_hash (RW_LIT ("d")));
  top_electorate (&vms, RW_LIT ("w"), RW_LIT (""), 8, 0, &e);
  assert_int_equal (e.member_count, 2);
  top_electorate (&vms, RW_LIT ("nowhere"), RW_LIT ("none"), 8, 0, &e);
  assert_int_equal (e.member_count, 0);
  top_vms_finish (&vms);
}

static bool
not_vm_3 (void *arg, const struct top_vm *vm)
{
  (void)arg;
  return !rw_str_eq_cstr (vm->name, "vm-3");
}

/* Guards against a key with another number of watchers than two, or with a
   watcher that is not alive.  */
TEST (two_daemons_watch_a_key)
{
  struct top_vms vms;

  make_vms (&vms, 20, SIZE_MAX);
  for (int k = 0; k < 50; k++)
    {
      char key[32];
      int watchers = 0;

      snprintf (key, sizeof key, "map/%d", k);
      for (size_t i = 0; i < vms.vm_count; i++)
        watchers += top_is_watcher (&vms, rw_str_from (key), &vms.vms[i],
                                    not_vm_3, NULL);
      assert_int_equal (watchers, 2);
      assert_false (top_is_watcher (&vms, rw_str_from (key),
                                    top_vm_by_name (&vms, RW_LIT ("vm-3")),
                                    not_vm_3, NULL));
    }
  top_vms_finish (&vms);
}

/* Guards against a member of an electorate that ranks first for a much larger
   share of the targets than the others.  */
TEST (first_ranks_are_evenly_distributed)
{
  struct top_vms vms;
  struct top_electorate e;
  int first[TOP_ELECTORATE_MAX] = { 0 };

  make_vms (&vms, 5, SIZE_MAX);
  top_electorate (&vms, RW_LIT ("x"), RW_LIT (""), 8, 0, &e);
  for (uint64_t t = 0; t < 1000; t++)
    {
      uint64_t ranked[TOP_ELECTORATE_MAX];

      top_rank_members (&e, rw_hash_u64 (t, t), ranked);
      for (size_t i = 0; i < e.member_count; i++)
        first[i] += ranked[0] == e.members[i];
      assert_true (top_outranks (rw_hash_u64 (t, t), ranked[0], ranked[1]));
    }
  for (size_t i = 0; i < e.member_count; i++)
    assert_in_range (first[i], 150, 250);
  top_vms_finish (&vms);
}
