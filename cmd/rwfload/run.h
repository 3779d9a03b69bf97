/* Load on running daemons over HTTP, and its results.  */

#ifndef LOAD_RUN_H
#define LOAD_RUN_H

#include <stdio.h>

#include "base.h"

#define RUN_STREAM_MAX 8

/* Requests of one class to one service, and their outcomes.  */
struct run_stream
{
  const char *class_name;
  const char *service;
  bool once;
  int weight; /* share of the rate, relative to the other streams */
  uint64_t sent;
  uint64_t ok;
  uint64_t complete;
  uint64_t covered; /* shards covered, sum over the answers */
  uint64_t shards;  /* shards queried, sum over the answers */
  /* Requests without answer of status 200, by whether they ran.  */
  uint64_t not_run;
  uint64_t ran;
  uint64_t unknown;
  struct rw_hist latency; /* of the answers, from when the request was due */
};

struct run_results
{
  const char *profile;
  int64_t seed;
  double rate; /* intended, per second */
  rw_time duration;
  size_t stream_count;
  struct run_stream streams[RUN_STREAM_MAX];
};

int load_run (int argc, char **argv);
void run_count_answer (struct run_stream *stream, struct rw_str body,
                       rw_time latency);
void run_count_error (struct run_stream *stream, struct rw_str body);
void run_count_failure (struct run_stream *stream, bool sent);
void run_print_text (const struct run_results *results, FILE *out);
void run_print_csv (const struct run_results *results, bool header, FILE *out);

#endif
