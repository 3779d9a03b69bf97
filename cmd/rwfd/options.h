/* Settings of rwfd.  A flag takes precedence over its environment variable.
   Texts are not copied: argv and the environment must outlive the options.  */

#ifndef RWFD_OPTIONS_H
#define RWFD_OPTIONS_H

#include <argp.h>

#include "log.h"
#include "net.h"
#include "node.h"

#define OPT_MAX_PEERS 32

struct opt_options
{
  struct rw_str vm;
  struct rw_str dc;
  struct rw_str addr;
  uint16_t rpc_port;  /* of the other daemons, TCP and UDP; 0: any free port */
  uint16_t http_port; /* of callers */
  uint16_t admin_port; /* of operators */
  struct net_addr platform;
  struct nod_addr peers[OPT_MAX_PEERS];
  size_t peer_count;
  rw_time drain_delay;       /* from "not ready" to the hand-over of targets */
  const char *trace_file;    /* null: no spans are written */
  double trace_sample_ratio; /* of requests without traceparent, 0 to 1 */
  size_t memory_mb;          /* of this process, at most */
  size_t max_files;          /* descriptors of this process, at most */
  enum log_level log_level;
  enum log_format log_format;
  bool check_only; /* check the settings and exit */
};

extern const struct argp opt_argp;

/* Returns the value of an environment variable, or null.  */
typedef const char *opt_getenv (const char *name);

void opt_init (struct opt_options *options);
int opt_read_env (struct opt_options *options, opt_getenv *get,
                  struct rw_err *err);
int opt_set (struct opt_options *options, int key, const char *value,
             struct rw_err *err);
int opt_check (const struct opt_options *options, struct rw_err *err);

#endif
