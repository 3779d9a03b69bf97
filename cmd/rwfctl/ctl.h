/* rwfctl: what the operators see of the daemons.  */

#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <jansson.h>
#include <stdio.h>

#include "base.h"

#define CTL_DAEMONS_MAX 4096
#define CTL_EXIT_USAGE 64

/* Exit statuses: everything as it should be; not so, or a failure.  */
enum ctl_exit
{
  CTL_OK = 0,
  CTL_PROBLEM = 1
};

struct ctl_addr
{
  char host[46];
  uint16_t port;
};

/* What one daemon answered.  */
struct ctl_report
{
  struct ctl_addr addr;
  char name[64]; /* the VM; its address if there is no answer */
  json_t *body;  /* null: no answer */
  char error[128];
};

struct ctl_reports
{
  struct ctl_report *list;
  size_t len;
};

struct ctl_options
{
  struct ctl_addr daemons[CTL_DAEMONS_MAX];
  size_t daemons_len;
  int64_t timeout_ms;
  char **args; /* words after the command */
  int args_len;
};

int ctl_parse_daemons (struct rw_str list, struct ctl_options *options);
const char *ctl_parse_options (int argc, char **argv,
                               struct ctl_options *options);

void ctl_fetch (const struct ctl_options *options, const char *path,
                struct ctl_reports *reports);
void ctl_reports_finish (struct ctl_reports *reports);
int ctl_print_missing (const struct ctl_reports *reports, FILE *out);

/* Members of JSON objects, with a default for absent ones.  */
const char *ctl_str (const json_t *object, const char *name);
int64_t ctl_int (const json_t *object, const char *name, int64_t absent);
void ctl_print_age (FILE *out, int64_t ms);

int ctl_check (const struct ctl_options *options);
int ctl_request (const struct ctl_options *options);
int ctl_check_text (const char *file, struct rw_str text,
                    const struct ctl_reports *known, FILE *out, FILE *err);
int ctl_rules (const struct ctl_options *options);
int ctl_print_rules (const struct ctl_reports *reports, FILE *out);
int ctl_targets (const struct ctl_options *options);
int ctl_print_targets (const struct ctl_reports *reports, struct rw_str filter,
                       FILE *out);
int ctl_members (const struct ctl_options *options);
int ctl_print_members (const struct ctl_reports *reports, FILE *out);
int ctl_trace (const struct ctl_options *options);
int ctl_print_trace (FILE *const *files, size_t files_len, const char *id,
                     FILE *out);

#endif
