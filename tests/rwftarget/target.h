/* Stand-in of the search targets: many searchers in one process.  */

#ifndef TGT_TARGET_H
#define TGT_TARGET_H

#include "../standin/http.h"
#include "model.h"

#define TGT_SEARCHERS 256
#define TGT_SNAPSHOT_MAX 64
#define TGT_QUERIES 16 /* in one exchange */
#define TGT_ONCE_KEYS 65536
#define TGT_NO_LIE (-1)

enum tgt_kind
{
  TGT_SEARCH,
  TGT_ONCE
};

struct tgt_query
{
  char id[96];
  char *text; /* on the heap */
  bool cancelled;
};

/* A request that the model holds, or whose answer is on its way.  */
struct tgt_exchange
{
  struct mdl_request model;
  struct srv_request *request;
  struct tgt_searcher *searcher;
  enum tgt_kind kind;
  bool started; /* the model ran it */
  struct tgt_query queries[TGT_QUERIES];
  int queries_len;
  char key[128];
};

struct tgt_searcher
{
  struct tgt *tgt;
  char name[64];
  const char *dc;
  int shard;
  char snapshot[TGT_SNAPSHOT_MAX];
  struct srv_listener listener;
  struct mdl_searcher model;
  rw_time last_arrival; /* 0: none yet */
  rw_time frozen_until;
  rw_time sheds_until;
  int64_t lie_load; /* TGT_NO_LIE: the true load is reported */
  uint64_t restarts;
};

/* How often the request with a key ran.  */
struct tgt_once
{
  char *key; /* on the heap; null: free */
  uint32_t runs;
};

struct tgt
{
  uv_loop_t *loop;
  char service[64];
  struct tgt_searcher *searchers;
  int searchers_len;
  int shards;
  rw_time delay; /* of every answer: the network */
  int timer_fd;
  uv_poll_t timer;
  struct rw_heap answers; /* exchanges whose answer is on its way */
  struct tgt_once *once;  /* open addressing */
  uint32_t once_len;
  uint32_t once_most;
  uint64_t once_runs;
};

int tgt_init_timer (struct tgt *tgt);
void tgt_schedule (struct tgt *tgt);
void tgt_run (struct tgt *tgt, struct tgt_searcher *searcher);
void tgt_accept (struct tgt_exchange *exchange, int parts);
void tgt_free_exchange (struct tgt_exchange *exchange);
void tgt_on_request (void *data, struct srv_request *request);
bool tgt_accepts (void *data);

void tgt_search (struct tgt_searcher *searcher, struct srv_request *request);
void tgt_search_done (struct tgt_exchange *exchange);
void tgt_once (struct tgt_searcher *searcher, struct srv_request *request);
void tgt_once_done (struct tgt_exchange *exchange);
void tgt_once_count (struct tgt *tgt, const char *key);
uint32_t tgt_once_runs (const struct tgt *tgt, struct rw_str key);
void tgt_reply_refused (struct srv_request *request, rw_time retry);

void tgt_on_control (void *data, struct srv_request *request);
void tgt_print_map (const struct tgt *tgt, const char *snapshot,
                    struct rw_buf *out);

#endif
