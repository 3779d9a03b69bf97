#include <argp.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "front.h"

const char *argp_program_version = "rwfront 0.2";

struct options
{
  const char *settings;
  bool check;
};

static const struct argp_option option_list[] = {
  { "settings", 's', "FILE", 0, "settings file (RWF_SETTINGS)", 0 },
  { "check", 'c', NULL, 0, "check the settings file and exit", 0 },
  { 0 },
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct options *options = state->input;
  switch (key)
    {
    case 's':
      options->settings = arg;
      return 0;
    case 'c':
      options->check = true;
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp parser
    = { option_list, parse_option,
        NULL,        "Query daemon for a platform whose store is read-only.",
        NULL,        NULL,
        NULL };

static void
usage (void)
{
  argp_help (&parser, stderr, ARGP_HELP_STD_USAGE, (char *)"rwfront");
}

static int
report (const struct rw_err *err)
{
  char line[320];
  struct rw_str text = rw_err_format (err, line, sizeof line);
  fprintf (stderr, "rwfront: %.*s\n", RW_STR_ARG (text));
  return 1;
}

int
main (int argc, char **argv)
{
  struct options options = { getenv ("RWF_SETTINGS"), false };
  struct frn_daemon daemon;
  struct frn_settings settings;
  struct rw_err err = { 0 };
  uv_loop_t loop;

  if (options.settings == NULL)
    options.settings = plt_settings_path ();
  if (argp_parse (&parser, argc, argv, 0, NULL, &options) != 0)
    return 2;
  if (options.settings == NULL)
    {
      usage ();
      return 2;
    }
  if (options.check)
    return frn_settings_read (options.settings, &settings, &err) == 0
               ? 0
               : report (&err);
  signal (SIGPIPE, SIG_IGN);
  /* A SIGHUP before the handler is set must not end the process.  It needs no
     reload, as the start reads the settings.  */
  signal (SIGHUP, SIG_IGN);
  rw_return_large_blocks ();
  uv_loop_init (&loop);
  if (frn_daemon_init (&daemon, &loop, options.settings, &err) != 0)
    return report (&err);
  uv_run (&loop, UV_RUN_DEFAULT);
  frn_daemon_finish (&daemon);
  uv_loop_close (&loop);
  return 0;
}
