/* rwfload: experiments in virtual time, and load on running daemons.  */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "admission.h"
#include "compare.h"
#include "load.h"
#include "overload.h"
#include "run.h"

#define EXIT_USAGE 64

static const struct load_command commands[] = {
  { "admission", "compare three designs of admission control on one target",
    load_admission },
  { "compare", "compare naive tiers with this one under stragglers",
    load_compare },
  { "overload", "measure goodput, isolation and recovery under overload",
    load_overload },
  { "run", "send load to running daemons over HTTP", load_run },
};

static void
usage (FILE *out)
{
  fprintf (out, "Usage: rwfload COMMAND [OPTION...]\n\nCommands:\n");
  for (size_t i = 0; i < RW_ARRAY_LEN (commands); i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].summary);
  fprintf (out, "\nrwfload COMMAND --help lists the options of a command.\n");
}

int
main (int argc, char **argv)
{
  if (argc >= 2 && strcmp (argv[1], "--help") == 0)
    {
      usage (stdout);
      return 0;
    }
  if (argc >= 2 && strcmp (argv[1], "--version") == 0)
    {
      puts (argp_program_version);
      return 0;
    }
  for (size_t i = 0; argc >= 2 && i < RW_ARRAY_LEN (commands); i++)
    if (strcmp (argv[1], commands[i].name) == 0)
      return commands[i].run (argc - 1, argv + 1);
  usage (stderr);
  return EXIT_USAGE;
}
