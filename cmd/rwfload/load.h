/* Subcommands of rwfload.  Each has its own source file, parses its options
   with argp and returns an exit status.  */

#ifndef LOAD_LOAD_H
#define LOAD_LOAD_H

#include <argp.h>

#include "base.h"

struct load_command
{
  const char *name;
  const char *summary;
  int (*run) (int argc, char **argv);
};

/* Maps the environment variable NAME to the argp option KEY.  */
struct load_env
{
  int key;
  const char *name;
};

/* Parses the environment variables of ENV and then ARGV with ARGP, so that
   options override variables.  ENV ends with an entry whose name is null;
   empty variables are ignored.  INPUT is passed to the parser of ARGP. Returns
   0 or a positive error number, as argp_parse does.  */
error_t load_parse (const struct argp *argp, const struct load_env *env,
                    int argc, char **argv, void *input);

/* Parses TEXT, the value of option NAME, as a number from MIN to MAX.  If it
   is invalid, prints a message and exits with status 64.  */
int64_t load_number (const char *name, const char *text, int64_t min,
                     int64_t max);

#endif
