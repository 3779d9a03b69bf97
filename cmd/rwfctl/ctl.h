/* rwfctl: shows the operators the daemons' reports.  Each command has a
   function that prints given reports, so that tests need no daemons.  */

#ifndef CTL_CTL_H
#define CTL_CTL_H

#include <jansson.h>
#include <stdio.h>

#include "base.h"

#define CTL_DAEMONS_MAX 4096
#define CTL_EXIT_USAGE 64

/* Exit statuses, besides CTL_EXIT_USAGE.  */
enum ctl_exit
{
  CTL_OK = 0,
  CTL_PROBLEM = 1,    /* a failure, or a state that needs attention */
  CTL_WARNINGS = 1,   /* rwfctl check: only warnings, with --strict */
  CTL_REFUSED = 2,    /* rwfctl check: errors, or a file cannot be read */
  CTL_UNREACHABLE = 3 /* rwfctl check: no daemon could be asked */
};

struct ctl_addr
{
  char host[46]; /* numeric */
  uint16_t port;
};

/* The answer of one daemon.  */
struct ctl_report
{
  struct ctl_addr addr;
  char name[64];   /* the VM, or the address if there is no answer */
  json_t *body;    /* null: no answer; owned by the report */
  char error[128]; /* why there is no answer */
};

struct ctl_reports
{
  struct ctl_report *list;
  size_t len;
};

struct ctl_options
{
  struct ctl_addr daemons[CTL_DAEMONS_MAX];
  size_t daemon_count;
  int64_t timeout_ms;
  const char *against;    /* file to compare with; null: none */
  int64_t quota_window_s; /* see lin_check */
  bool json;
  bool strict; /* warnings give an exit status */
  char **args; /* words after the command, in argv */
  int arg_count;
};

/* A configuration to check.  */
struct ctl_config_check
{
  const char *file; /* its name in messages */
  struct rw_str text;
  struct rw_str before;       /* to compare with; empty: none */
  char before_name[256];      /* in messages */
  size_t daemons_asked;       /* for BEFORE; 0: it is from a file */
  size_t daemons_with_before; /* of these */
  rw_time quota_window;
  bool json;
  bool strict;
};

int ctl_parse_daemons (struct rw_str list, struct ctl_options *options);
const char *ctl_parse_options (int argc, char **argv,
                               struct ctl_options *options);

void ctl_call (const struct ctl_options *options, const char *method,
               const char *path, struct ctl_reports *reports);
void ctl_fetch (const struct ctl_options *options, const char *path,
                struct ctl_reports *reports);
void ctl_reports_finish (struct ctl_reports *reports);
int ctl_print_unanswered (const struct ctl_reports *reports, FILE *out);

const char *ctl_str (const json_t *object, const char *name);
int64_t ctl_int (const json_t *object, const char *name, int64_t fallback);
void ctl_print_duration (FILE *out, int64_t ms);

int ctl_check (const struct ctl_options *options);
int ctl_request (const struct ctl_options *options);
int ctl_losses (const struct ctl_options *options);
int ctl_print_losses (FILE *const *files, size_t file_count, FILE *out);
int ctl_check_rules (const char *file, struct rw_str text,
                     const struct ctl_reports *known, bool strict, FILE *out,
                     FILE *err);
int ctl_check_rules_json (const char *file, struct rw_str text, FILE *out);
bool ctl_is_config (struct rw_str text);
int ctl_check_config (const struct ctl_config_check *check, FILE *out,
                      FILE *err);
void ctl_use_config_in_force (struct ctl_config_check *check,
                              const struct ctl_reports *reports, FILE *err);
int ctl_organisations (const struct ctl_options *options);
int ctl_print_organisations (const struct ctl_reports *reports, FILE *out);
int ctl_rules (const struct ctl_options *options);
int ctl_print_rules (const struct ctl_reports *reports, FILE *out);
int ctl_targets (const struct ctl_options *options);
int ctl_print_targets (const struct ctl_reports *reports, struct rw_str filter,
                       FILE *out);
int ctl_members (const struct ctl_options *options);
int ctl_print_members (const struct ctl_reports *reports, FILE *out);
int ctl_held (const struct ctl_options *options);
int ctl_print_held (const struct ctl_reports *reports, FILE *out);
int ctl_estimates (const struct ctl_options *options);
int ctl_print_estimates (const struct ctl_reports *reports,
                         struct rw_str filter, FILE *out);
int ctl_trace (const struct ctl_options *options);
int ctl_print_trace (FILE *const *files, size_t file_count, const char *id,
                     FILE *out);

#endif
