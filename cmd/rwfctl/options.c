#include "ctl.h"

#include <argp.h>
#include <stdlib.h>
#include <string.h>

#define TIMEOUT_DEFAULT_MS 2000
#define TIMEOUT_MAX_MS 60000
#define QUOTA_WINDOW_DEFAULT_S 5
#define QUOTA_WINDOW_MAX_S 3600

/* Keys of options without a letter.  */
enum
{
  KEY_AGAINST = 256,
  KEY_JSON,
  KEY_STRICT,
  KEY_QUOTA_WINDOW
};

const char *argp_program_version = "rwfctl (redwingfork) 0.1";

static const char doc[]
    = "Checks rules and configurations, and shows what the daemons of the "
      "query tier do.\v"
      "Commands:\n"
      "  check FILE          check rules or the configuration before they "
      "are\n"
      "                      published\n"
      "  rules               rules, and the daemons that have them in force\n"
      "  targets [NAME]      admission of the targets; NAME is a target, a\n"
      "                      service or a data centre\n"
      "  members             the daemons as they see each other\n"
      "  trace ID FILE...    one request through its spans in trace files\n"
      "  request ID FILE...  one request through the logs of rwfront\n"
      "  losses FILE...      requests in logs of rwfront that were not "
      "answered\n"
      "                      in time or lacked parts, by cause\n"
      "  held                requests that rwfront holds back\n"
      "  held release KEY    let a request that is held back through\n"
      "  held hold KEY       hold a request back\n"
      "  organisations       limits and use of the organisations\n"
      "  estimates [NAME]    capacity of the targets as rwfront estimates "
      "it;\n"
      "                      NAME is a target or a service\n";

static const struct argp_option option_list[] = {
  { "daemons", 'd', "HOST:PORT,...", 0,
    "Admin ports of the daemons to ask (RWF_DAEMONS)", 0 },
  { "timeout", 't', "MS", 0,
    "Time for a daemon to answer, 1 to 60000, default 2000 (RWF_TIMEOUT)", 0 },
  { "against", KEY_AGAINST, "FILE", 0,
    "check: configuration to compare with (RWF_AGAINST)", 0 },
  { "json", KEY_JSON, NULL, 0, "check: print JSON (RWF_JSON=1)", 0 },
  { "strict", KEY_STRICT, NULL, 0,
    "check: exit with status 1 on warnings (RWF_STRICT=1)", 0 },
  { "quota-window", KEY_QUOTA_WINDOW, "S", 0,
    "check: seconds over which quotas are checked, 1 to 3600, default 5 "
    "(RWF_QUOTA_WINDOW_S)",
    0 },
  { 0 },
};

/* Replaces the daemons of OPTIONS by those of LIST, numeric "HOST:PORT,...".
   Empty items are ignored.  Returns 0, RW_E_PARSE, or RW_E_RANGE if there are
   more than CTL_DAEMONS_MAX.  */
int
ctl_parse_daemons (struct rw_str list, struct ctl_options *options)
{
  options->daemon_count = 0;
  while (list.len > 0)
    {
      struct rw_str item = rw_str_token (&list, ", ");
      struct rw_str host = rw_str_token (&item, ":");
      struct ctl_addr *addr = &options->daemons[options->daemon_count];
      int64_t port;

      if (host.len == 0 && item.len == 0)
        continue;
      if (options->daemon_count == CTL_DAEMONS_MAX)
        return RW_E_RANGE;
      if (host.len >= sizeof addr->host || item.len < 2
          || rw_str_to_int ((struct rw_str){ item.ptr + 1, item.len - 1 }, 1,
                            UINT16_MAX, &port)
                 < 0)
        return RW_E_PARSE;
      rw_str_copy (addr->host, sizeof addr->host, host);
      addr->port = (uint16_t)port;
      options->daemon_count++;
    }
  return 0;
}

/* Exits with a message that TEXT is invalid for option or variable NAME.  */
static void
exit_with_usage_error (const char *name, const char *text,
                       const char *expected)
{
  fprintf (stderr, "rwfctl: %s: %s: expected %s\n", name, text, expected);
  exit (CTL_EXIT_USAGE);
}

static void
set_daemons (struct ctl_options *options, const char *name, const char *text)
{
  if (ctl_parse_daemons (rw_str_from (text), options) < 0)
    exit_with_usage_error (name, text, "HOST:PORT,... with numeric addresses");
}

static void
set_timeout (struct ctl_options *options, const char *name, const char *text)
{
  if (rw_str_to_int (rw_str_from (text), 1, TIMEOUT_MAX_MS,
                     &options->timeout_ms)
      < 0)
    exit_with_usage_error (name, text, "a number of 1 to 60000");
}

static void
set_quota_window (struct ctl_options *options, const char *name,
                  const char *text)
{
  if (rw_str_to_int (rw_str_from (text), 1, QUOTA_WINDOW_MAX_S,
                     &options->quota_window_s)
      < 0)
    exit_with_usage_error (name, text, "a number of 1 to 3600");
}

/* Sets *FLAG if the variable NAME is 1.  */
static void
set_flag (bool *flag, const char *name)
{
  const char *text = getenv (name);

  if (text == NULL || text[0] == '\0')
    return;
  if (strcmp (text, "0") != 0 && strcmp (text, "1") != 0)
    exit_with_usage_error (name, text, "0 or 1");
  *flag = text[0] == '1';
}

/* Reads the environment variables.  This is called before the options are
   parsed, so that options take precedence.  An empty value counts as unset. */
static void
read_environment (struct ctl_options *options)
{
  const char *daemons = getenv ("RWF_DAEMONS");
  const char *timeout = getenv ("RWF_TIMEOUT");
  const char *against = getenv ("RWF_AGAINST");
  const char *window = getenv ("RWF_QUOTA_WINDOW_S");

  if (daemons != NULL && daemons[0] != '\0')
    set_daemons (options, "RWF_DAEMONS", daemons);
  if (timeout != NULL && timeout[0] != '\0')
    set_timeout (options, "RWF_TIMEOUT", timeout);
  if (against != NULL && against[0] != '\0')
    options->against = against;
  if (window != NULL && window[0] != '\0')
    set_quota_window (options, "RWF_QUOTA_WINDOW_S", window);
  set_flag (&options->json, "RWF_JSON");
  set_flag (&options->strict, "RWF_STRICT");
}

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct ctl_options *options = state->input;

  switch (key)
    {
    case 'd':
      set_daemons (options, "--daemons", arg);
      return 0;
    case 't':
      set_timeout (options, "--timeout", arg);
      return 0;
    case KEY_AGAINST:
      options->against = arg;
      return 0;
    case KEY_JSON:
      options->json = true;
      return 0;
    case KEY_STRICT:
      options->strict = true;
      return 0;
    case KEY_QUOTA_WINDOW:
      set_quota_window (options, "--quota-window", arg);
      return 0;
    case ARGP_KEY_ARGS:
      options->args = state->argv + state->next;
      options->arg_count = state->argc - state->next;
      return 0;
    case ARGP_KEY_NO_ARGS:
      argp_error (state, "expected a command");
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

/* Reads environment and options into OPTIONS.  Returns the command, a word of
   ARGV.  Exits with a message if an option or variable is invalid.  */
const char *
ctl_parse_options (int argc, char **argv, struct ctl_options *options)
{
  static const struct argp argp
      = { option_list, parse_option, "COMMAND [ARGUMENT...]", doc, NULL,
          NULL,        NULL };

  options->timeout_ms = TIMEOUT_DEFAULT_MS;
  options->quota_window_s = QUOTA_WINDOW_DEFAULT_S;
  read_environment (options);
  argp_parse (&argp, argc, argv, 0, NULL, options);
  options->args++;
  options->arg_count--;
  return options->args[-1];
}
