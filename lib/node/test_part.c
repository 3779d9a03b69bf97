#include "node.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>

#include <cmocka.h>

#include "wire.h"

#define START (1000 * RW_SEC)
#define STREAM 7
#define MAX_BYTES 1000000

static rw_time now;

struct results
{
  struct rw_arena arena;
  struct wir_part_result last;
  size_t count;
  size_t exchanges; /* started */
};

/* Takes all actions, and keeps the results that they send.  */
static void
take_actions (struct nod_node *node, struct results *results)
{
  struct nod_action action;
  struct wir_msg msg;
  struct rw_err err;

  while (nod_next_action (node, &action))
    {
      results->exchanges += action.kind == NOD_START_EXCHANGE;
      if (action.kind == NOD_SEND_RECORD
          && wir_decode (rw_buf_str (&action.data), RW_LIT ("mid-1"),
                         &results->arena, &msg, &err)
                 == 0
          && msg.type == WIR_RESULT)
        for (uint32_t i = 0; i < msg.u.result.result_count; i++)
          {
            results->last = msg.u.result.results[i];
            results->count++;
          }
      nod_action_finish (&action);
    }
}

static void
offer (struct nod_node *node, const char *key, const char *body)
{
  nod_on_doc (node, rw_str_from (key), 1, rw_str_from (body), now);
}

static void
deliver (struct nod_node *node, const struct wir_msg *msg)
{
  struct rw_buf data;
  struct rw_err err;

  rw_buf_init (&data);
  assert_int_equal (wir_encode (msg, &data, &err), 0);
  assert_int_equal (
      nod_on_record (node, STREAM, rw_buf_str (&data), now, &err), 0);
  rw_buf_finish (&data);
}

/* Lets the node measure the offset of this clock, which is the same.  */
static void
exchange_hello (struct nod_node *node)
{
  struct wir_msg msg = { .type = WIR_HELLO_CALL };

  msg.u.hello_call = (struct wir_hello_call){ RW_LIT ("mid-2"), 2, now };
  deliver (node, &msg);
  msg.type = WIR_HELLO_REPLY;
  msg.u.hello_reply
      = (struct wir_hello_reply){ RW_LIT ("mid-2"), 2, now, now };
  deliver (node, &msg);
}

/* Sends the only part of a request to t-1.  */
static void
submit (struct nod_node *node, enum wir_kind kind)
{
  struct wir_part part = { .attempt = 1, .target = RW_LIT ("t-1") };
  struct wir_msg msg = { .type = WIR_SUBMIT };

  msg.u.submit = (struct wir_submit){ .id = { 9, 1 },
                                      .kind = kind,
                                      .service = RW_LIT ("s"),
                                      .caller_class = RW_LIT ("default"),
                                      .snapshot = RW_LIT ("s1"),
                                      .idempotency_key = RW_LIT ("k"),
                                      .remaining = RW_SEC,
                                      .sent = now,
                                      .body = RW_LIT ("{}"),
                                      .parts = &part,
                                      .part_count = 1 };
  deliver (node, &msg);
}

/* Lets NODE hold t-1, and know the clock of its peer.  */
static void
prepare (struct nod_node *node, struct results *results, const char *rules)
{
  offer (node, "rules", rules);
  offer (node, "vms",
         "{\"vms\":[{\"name\":\"mid-1\",\"dc\":\"a\",\"addr\":"
         "\"10.0.0.1\",\"rpc\":7000,\"state\":\"live\"}]}");
  offer (node, "map/s",
         "{\"service\":\"s\",\"snapshot\":\"s1\",\"shards\":[[\"t-1\"]],"
         "\"targets\":[{\"name\":\"t-1\",\"dc\":\"a\",\"addr\":"
         "\"10.9.0.1\",\"port\":1}]}");
  for (; now < START + 5 * RW_SEC; now += 50 * RW_MSEC)
    {
      nod_tick (node, now);
      take_actions (node, results);
    }
  exchange_hello (node);
}

/* Sends an attempt twice, the second one while MEMORY is held.  Guards against
   "not run" for an attempt that arrives a second time while the first one
   runs.  */
static void
check_repeated (size_t memory)
{
  struct acc_account account;
  struct nod_settings settings = { .vm = RW_LIT ("mid-1"),
                                   .dc = RW_LIT ("a"),
                                   .addr = RW_LIT ("10.0.0.1"),
                                   .rpc_port = 7000,
                                   .incarnation = 1,
                                   .account = &account };

  acc_init (&account, MAX_BYTES, 10);
  for (int kind = WIR_KIND_SEARCH; kind <= WIR_KIND_ONCE; kind++)
    {
      struct results results = { .count = 0 };
      struct nod_node *node;

      now = START;
      rw_arena_init (&results.arena, 4096);
      node = nod_new (&settings, now);
      prepare (node, &results,
               kind == WIR_KIND_ONCE ? "service s kind=once slots=4 # me\n"
                                     : "service s slots=4 # me\n");
      submit (node, kind);
      take_actions (node, &results);
      assert_int_equal (results.exchanges, 1);
      assert_int_equal (results.count, 0);
      acc_add (&account, memory);
      submit (node, kind);
      take_actions (node, &results);
      assert_int_equal (results.exchanges, 1);
      assert_int_equal (results.count, 1);
      assert_int_equal (results.last.status, RW_E_DUPLICATE);
      assert_int_equal (results.last.ran, WIR_RAN_UNKNOWN);
      acc_sub (&account, memory);
      nod_free (node);
      rw_arena_finish (&results.arena);
    }
}

static void
repeated_attempt_is_not_reported_as_not_run (void **state)
{
  (void)state;
  check_repeated (0);
}

/* Guards against the answer "not run" for lack of memory in its place.  */
static void
repeated_attempt_without_room_is_not_reported_as_not_run (void **state)
{
  (void)state;
  check_repeated (MAX_BYTES + 1);
}

/* Guards against parts that need more memory than their record has bytes and
   are taken although there is only room for the record.  */
static void
parts_count_with_what_they_need (void **state)
{
  struct acc_account account;
  struct nod_settings settings = { .vm = RW_LIT ("mid-1"),
                                   .dc = RW_LIT ("a"),
                                   .addr = RW_LIT ("10.0.0.1"),
                                   .rpc_port = 7000,
                                   .incarnation = 1,
                                   .account = &account };
  struct results results = { .count = 0 };
  struct nod_node *node;

  (void)state;
  acc_init (&account, MAX_BYTES, 10);
  now = START;
  rw_arena_init (&results.arena, 4096);
  node = nod_new (&settings, now);
  prepare (node, &results, "service s slots=4 # me\n");
  acc_add (&account, MAX_BYTES - 100);
  submit (node, WIR_KIND_SEARCH);
  take_actions (node, &results);
  assert_int_equal (results.exchanges, 0);
  assert_int_equal (results.count, 1);
  assert_int_equal (results.last.status, RW_E_QUEUE_FULL);
  assert_int_equal (results.last.ran, WIR_RAN_NO);
  acc_sub (&account, MAX_BYTES - 100);
  submit (node, WIR_KIND_SEARCH);
  take_actions (node, &results);
  assert_int_equal (results.exchanges, 1);
  nod_free (node);
  rw_arena_finish (&results.arena);
}

int
main (void)
{
  const struct CMUnitTest tests[]
      = { cmocka_unit_test (repeated_attempt_is_not_reported_as_not_run),
          cmocka_unit_test (
              repeated_attempt_without_room_is_not_reported_as_not_run),
          cmocka_unit_test (parts_count_with_what_they_need) };

  return cmocka_run_group_tests_name ("part", tests, NULL, NULL);
}
