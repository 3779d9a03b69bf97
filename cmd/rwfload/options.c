#include <errno.h>
#include <stdio.h>
#include <stdlib.h>

#include "load.h"

#define EXIT_USAGE 64

const char *argp_program_version = "rwfload (redwingfork) 0.1";

error_t
load_parse (const struct argp *argp, const struct load_env *env, int argc,
            char **argv, void *input)
{
  struct argp_state state = { 0 };

  state.root_argp = argp;
  state.argc = argc;
  state.argv = argv;
  state.input = input;
  state.name = argv[0];
  state.out_stream = stdout;
  state.err_stream = stderr;
  for (; env->name != NULL; env++)
    {
      char *value = getenv (env->name);

      if (value != NULL && value[0] != '\0')
        argp->parser (env->key, value, &state);
    }
  return argp_parse (argp, argc, argv, 0, NULL, input);
}

int64_t
load_number (const char *name, const char *text, int64_t min, int64_t max)
{
  int64_t value = 0;

  if (rw_str_to_int (rw_str_from (text), min, max, &value) != 0)
    {
      fprintf (stderr, "rwfload: %s: %s is not a number from %lld to %lld\n",
               name, text, (long long)min, (long long)max);
      exit (EXIT_USAGE);
    }
  return value;
}
