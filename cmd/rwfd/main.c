/* rwfd: query tier between callers and sharded search targets.  */

#include "rwfd.h"

#include <signal.h>
#include <stdlib.h>
#include <sys/resource.h>

#define EXIT_INVALID_SETTINGS 2

const char *argp_program_version = "rwfd (redwingfork) 0.1";

static void
exit_with_usage (const struct rw_err *err)
{
  fprintf (stderr, "rwfd: %s\n", err->detail);
  argp_help (&opt_argp, stderr, ARGP_HELP_SEE, (char *)"rwfd");
  exit (EXIT_INVALID_SETTINGS);
}

static void
exit_with_error (const struct rw_err *err)
{
  char text[320];
  struct rw_str line = rw_err_format (err, text, sizeof text);

  fprintf (stderr, "rwfd: %.*s\n", RW_STR_ARG (line));
  exit (EXIT_FAILURE);
}

static const char *
read_env (const char *name)
{
  return getenv (name);
}

/* The usual soft limit of 1,024 descriptors is lower than the number of
   daemons, to each of which a connection may be open.  */
static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) == 0)
    {
      limit.rlim_cur = limit.rlim_max;
      setrlimit (RLIMIT_NOFILE, &limit);
    }
}

/* Prints the addresses in use, since port 0 selects a free port.  */
static void
print_addresses (const struct rwfd *rwfd)
{
  const uint16_t ports[]
      = { rwfd->callers.port, rwfd->admin.port, rwfd->rpc.port };
  static const char *const names[] = { "http", "admin", "rpc" };
  char text[NET_ADDR_TEXT_SIZE];
  struct net_addr addr;

  printf ("rwfd: listening");
  for (size_t i = 0; i < RW_ARRAY_LEN (ports); i++)
    {
      net_addr_set (&addr, rwfd->options->addr, ports[i]);
      printf (" %s=%.*s", names[i],
              RW_STR_ARG (net_addr_format (&addr, text)));
    }
  printf ("\n");
  fflush (stdout);
}

int
main (int argc, char **argv)
{
  static struct rwfd rwfd;
  static struct opt_options options;
  struct rw_err err;
  int status;

  argp_err_exit_status = EXIT_INVALID_SETTINGS;
  opt_init (&options);
  if (opt_read_env (&options, read_env, &err) < 0)
    exit_with_usage (&err);
  argp_parse (&opt_argp, argc, argv, 0, NULL, &options);
  if (opt_check (&options, &err) < 0)
    exit_with_usage (&err);
  if (options.check_only)
    {
      puts ("rwfd: the settings are valid");
      return EXIT_SUCCESS;
    }
  signal (SIGPIPE, SIG_IGN); /* libuv writes without MSG_NOSIGNAL */
  raise_descriptor_limit ();
  rw_return_large_blocks ();
  if (rwfd_init (&rwfd, &options, &err) < 0)
    exit_with_error (&err);
  print_addresses (&rwfd);
  status = rwfd_run (&rwfd);
  rwfd_finish (&rwfd);
  return status;
}
