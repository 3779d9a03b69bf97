/* rwfctl: checks rules and configurations, and shows the daemons' reports.  */

#include "ctl.h"

#include <signal.h>
#include <string.h>

struct command
{
  const char *name;
  int (*run) (const struct ctl_options *options);
};

static const struct command commands[] = {
  { "check", ctl_check },
  { "rules", ctl_rules },
  { "targets", ctl_targets },
  { "members", ctl_members },
  { "trace", ctl_trace },
  { "request", ctl_request },
  { "losses", ctl_losses },
  { "held", ctl_held },
  { "organisations", ctl_organisations },
  { "estimates", ctl_estimates },
};

int
main (int argc, char **argv)
{
  static struct ctl_options options;
  const char *name = ctl_parse_options (argc, argv, &options);

  signal (SIGPIPE, SIG_IGN);
  for (size_t i = 0; i < RW_ARRAY_LEN (commands); i++)
    if (strcmp (name, commands[i].name) == 0)
      return commands[i].run (&options);
  fprintf (
      stderr,
      "rwfctl: %s: expected check, rules, targets, members, trace, request, "
      "losses, held, organisations or estimates\n",
      name);
  return CTL_EXIT_USAGE;
}
