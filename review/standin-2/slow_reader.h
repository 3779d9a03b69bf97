/* A planned stop while clients with a narrow link read large answers.  */

#ifndef SLOW_READER_H
#define SLOW_READER_H

#include <stddef.h>

struct slow_reader_plan
{
  int send_after_ms;   /* from the SIGTERM to the requests; negative: the
                          requests come before it */
  int clients;         /* each with a kept connection */
  size_t answer_bytes; /* of the searchers' answers */
  long bytes_per_s;    /* that the link of a client takes */
  long long deadline_ms;
};

/* Plays the case, and exits.  */
void slow_reader_run (int argc, char **argv,
                      const struct slow_reader_plan *plan)
    __attribute__ ((noreturn));

#endif
