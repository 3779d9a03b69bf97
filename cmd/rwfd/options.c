#include "options.h"

#include <stdlib.h>
#include <string.h>
#include <unistd.h>

/* The texts of SETTINGS state these limits.  */
#define DRAIN_DELAY_MAX (9 * RW_SEC)
#define PATH_LEN_MAX 4095
/* Highest value of --memory, in MB, and of --max-files.  */
#define MAX_SIZE 1000000

/* Keys of argp; above the character codes, since there are no short flags.  */
enum
{
  KEY_VM = 256,
  KEY_DC,
  KEY_ADDR,
  KEY_RPC_PORT,
  KEY_HTTP_PORT,
  KEY_ADMIN_PORT,
  KEY_PLATFORM,
  KEY_PEERS,
  KEY_DRAIN_DELAY,
  KEY_TRACE_FILE,
  KEY_TRACE_SAMPLE,
  KEY_MEMORY,
  KEY_MAX_FILES,
  KEY_LOG_LEVEL,
  KEY_LOG_FORMAT,
  KEY_CHECK
};

/* A setting that has a flag and an environment variable.  */
struct setting
{
  int key;
  const char *flag;
  const char *variable;
  const char *valid; /* description of the valid values */
};

static const struct setting SETTINGS[] = {
  { KEY_VM, "--vm", "RWF_VM", "a name of 1 to 63 printable characters" },
  { KEY_DC, "--dc", "RWF_DC", "a name of 1 to 63 printable characters" },
  { KEY_ADDR, "--addr", "RWF_ADDR", "a numeric IPv4 or IPv6 address" },
  { KEY_RPC_PORT, "--rpc-port", "RWF_RPC_PORT", "0 to 65535" },
  { KEY_HTTP_PORT, "--http-port", "RWF_HTTP_PORT", "0 to 65535" },
  { KEY_ADMIN_PORT, "--admin-port", "RWF_ADMIN_PORT", "0 to 65535" },
  { KEY_PLATFORM, "--platform", "RWF_PLATFORM",
    "a numeric address and a port of 1 to 65535, as in 10.0.0.1:8500" },
  { KEY_PEERS, "--peers", "RWF_PEERS",
    "up to 32 numeric addresses with ports, separated by commas" },
  { KEY_DRAIN_DELAY, "--drain-delay", "RWF_DRAIN_DELAY", "1ms to 9s" },
  { KEY_TRACE_FILE, "--trace-file", "RWF_TRACE_FILE",
    "a path of 1 to 4095 characters" },
  { KEY_TRACE_SAMPLE, "--trace-sample", "RWF_TRACE_SAMPLE", "0 to 1" },
  { KEY_MEMORY, "--memory", "RWF_MEMORY_MB", "16 to 1000000" },
  { KEY_MAX_FILES, "--max-files", "RWF_MAX_FILES", "64 to 1000000" },
  { KEY_LOG_LEVEL, "--log-level", "RWF_LOG_LEVEL",
    "error, warn, info or debug" },
  { KEY_LOG_FORMAT, "--log-format", "RWF_LOG_FORMAT", "text or json" },
};

static const struct argp_option FLAGS[] = {
  { "vm", KEY_VM, "NAME", 0, "Name of this VM in the VM list (required)", 0 },
  { "dc", KEY_DC, "NAME", 0, "Data centre of this VM (required)", 0 },
  { "addr", KEY_ADDR, "IP", 0, "Address to listen on (required)", 0 },
  { "rpc-port", KEY_RPC_PORT, "N", 0,
    "Port of other daemons, TCP and UDP, default 7000", 0 },
  { "http-port", KEY_HTTP_PORT, "N", 0, "Port of callers, default 8080", 0 },
  { "admin-port", KEY_ADMIN_PORT, "N", 0, "Port of operators, default 8081",
    0 },
  { "platform", KEY_PLATFORM, "IP:PORT", 0, "Configuration service (required)",
    0 },
  { "peers", KEY_PEERS, "IP:PORT,...", 0,
    "Daemons to ask at the start if the service does not answer", 0 },
  { "drain-delay", KEY_DRAIN_DELAY, "TIME", 0,
    "From \"not ready\" to the hand-over at SIGTERM, default 500ms", 0 },
  { "trace-file", KEY_TRACE_FILE, "PATH", 0, "Append spans to this file", 0 },
  { "trace-sample", KEY_TRACE_SAMPLE, "SHARE", 0,
    "Share of requests without traceparent that are traced, default 0.01", 0 },
  { "memory", KEY_MEMORY, "MB", 0,
    "Memory that the process may use, default that of the machine", 0 },
  { "max-files", KEY_MAX_FILES, "N", 0,
    "Descriptors that it may use, default the limit of the process", 0 },
  { "log-level", KEY_LOG_LEVEL, "LEVEL", 0,
    "error, warn, info (default) or debug", 0 },
  { "log-format", KEY_LOG_FORMAT, "FORMAT", 0, "text (default) or json", 0 },
  { "check", KEY_CHECK, NULL, 0, "Check the settings and exit", 0 },
  { 0 }
};

static error_t
parse_flag (int key, char *arg, struct argp_state *state)
{
  struct rw_err err;

  if (key == KEY_CHECK)
    {
      ((struct opt_options *)state->input)->check_only = true;
      return 0;
    }
  if (key < KEY_VM || key > KEY_CHECK)
    return ARGP_ERR_UNKNOWN;
  if (opt_set (state->input, key, arg, &err) < 0)
    argp_error (state, "%s", err.detail);
  return 0;
}

const struct argp opt_argp
    = { FLAGS,
        parse_flag,
        NULL,
        "Query tier between callers and sharded search targets.\v"
        "Each option has an environment variable: --rpc-port is "
        "RWF_RPC_PORT.  Port 0 selects a free port.",
        NULL,
        NULL,
        NULL };

/* Returns the memory of the machine in MB, within the limits of the setting.
 */
static size_t
machine_memory_mb (void)
{
  double bytes
      = (double)sysconf (_SC_PHYS_PAGES) * (double)sysconf (_SC_PAGESIZE);

  if (bytes < 16e6)
    return 16;
  return bytes < MAX_SIZE * 1e6 ? (size_t)(bytes / 1e6) : MAX_SIZE;
}

void
opt_init (struct opt_options *options)
{
  memset (options, 0, sizeof *options);
  options->rpc_port = 7000;
  options->http_port = 8080;
  options->admin_port = 8081;
  options->drain_delay = 500 * RW_MSEC;
  options->trace_sample_ratio = 0.01;
  options->memory_mb = machine_memory_mb ();
  options->max_files = MAX_SIZE;
  options->log_level = LOG_LEVEL_INFO;
}

/* Stores a VM or data centre name.  It must be printable ASCII without spaces,
   quotes and backslashes.  */
static int
set_name (struct rw_str text, struct rw_str *name)
{
  if (text.len == 0 || text.len > WIR_MAX_NAME)
    return RW_E_RANGE;
  for (size_t i = 0; i < text.len; i++)
    if (text.ptr[i] <= 0x20 || text.ptr[i] >= 0x7f || text.ptr[i] == '"'
        || text.ptr[i] == '\\')
      return RW_E_PARSE;
  *name = text;
  return 0;
}

/* Stores a numeric address; it is parsed only to check it.  */
static int
set_addr (struct rw_str text, struct rw_str *addr)
{
  struct net_addr parsed;
  int rc = net_addr_set (&parsed, text, 1);

  if (rc == 0)
    *addr = text;
  return rc;
}

static int
set_port (struct rw_str text, uint16_t *port)
{
  int64_t value;
  int rc = rw_str_to_int (text, 0, UINT16_MAX, &value);

  if (rc == 0)
    *port = (uint16_t)value;
  return rc;
}

static int
set_size (struct rw_str text, int64_t min, size_t *size)
{
  int64_t value;
  int rc = rw_str_to_int (text, min, MAX_SIZE, &value);

  if (rc == 0)
    *size = (size_t)value;
  return rc;
}

static int
set_peers (struct rw_str text, struct opt_options *options)
{
  options->peer_count = 0;
  while (text.len > 0)
    {
      struct rw_str item = rw_str_token (&text, ",");
      struct net_addr addr;
      struct nod_addr *peer;
      int rc;

      if (options->peer_count == OPT_MAX_PEERS)
        return RW_E_RANGE;
      rc = net_addr_parse (item, &addr);
      if (rc < 0)
        return rc;
      peer = &options->peers[options->peer_count++];
      memcpy (peer->host, addr.host, sizeof peer->host);
      peer->port = addr.port;
    }
  return 0;
}

static int
set_drain_delay (struct rw_str text, rw_time *delay)
{
  rw_time value;
  int rc = rw_str_to_duration (text, &value);

  if (rc == 0 && value > DRAIN_DELAY_MAX)
    rc = RW_E_RANGE;
  if (rc == 0)
    *delay = value;
  return rc;
}

static int
set_ratio (const char *text, double *ratio)
{
  char *end;
  double value = strtod (text, &end);

  if (end == text || *end != '\0')
    return RW_E_PARSE;
  /* This form of the condition also refuses NaN.  */
  if (!(value >= 0 && value <= 1))
    return RW_E_RANGE;
  *ratio = value;
  return 0;
}

static int
set_path (const char *text, const char **path)
{
  size_t len = strlen (text);

  if (len == 0 || len > PATH_LEN_MAX)
    return RW_E_RANGE;
  *path = text;
  return 0;
}

static int
parse_value (struct opt_options *options, int key, const char *value)
{
  struct rw_str text = rw_str_from (value);

  switch (key)
    {
    case KEY_VM:
      return set_name (text, &options->vm);
    case KEY_DC:
      return set_name (text, &options->dc);
    case KEY_ADDR:
      return set_addr (text, &options->addr);
    case KEY_RPC_PORT:
      return set_port (text, &options->rpc_port);
    case KEY_HTTP_PORT:
      return set_port (text, &options->http_port);
    case KEY_ADMIN_PORT:
      return set_port (text, &options->admin_port);
    case KEY_PLATFORM:
      return net_addr_parse (text, &options->platform);
    case KEY_PEERS:
      return set_peers (text, options);
    case KEY_DRAIN_DELAY:
      return set_drain_delay (text, &options->drain_delay);
    case KEY_TRACE_FILE:
      return set_path (value, &options->trace_file);
    case KEY_TRACE_SAMPLE:
      return set_ratio (value, &options->trace_sample_ratio);
    case KEY_MEMORY:
      return set_size (text, 16, &options->memory_mb);
    case KEY_MAX_FILES:
      return set_size (text, 64, &options->max_files);
    case KEY_LOG_LEVEL:
      return log_level_parse (text, &options->log_level);
    case KEY_LOG_FORMAT:
      return log_format_parse (text, &options->log_format);
    default:
      return RW_E_NOT_FOUND;
    }
}

static const struct setting *
find_setting (int key)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (SETTINGS); i++)
    if (SETTINGS[i].key == key)
      return &SETTINGS[i];
  return NULL;
}

/* Sets the setting KEY to VALUE, which must outlive OPTIONS.  Returns 0 or a
   negative error number; ERR then has the flag, the variable, the value and a
   description of the valid values.  */
int
opt_set (struct opt_options *options, int key, const char *value,
         struct rw_err *err)
{
  const struct setting *setting = find_setting (key);
  int rc = parse_value (options, key, value);

  if (rc == 0 || setting == NULL)
    return rc;
  return rw_err_set (err, rc, "settings", RW_LIT (""),
                     "%s (%s): \"%.40s\" is invalid: expected %s",
                     setting->flag, setting->variable, value, setting->valid);
}

/* Reads the environment variables by GET.  An empty value counts as unset.
   Returns 0 or the error of the first invalid variable.  */
int
opt_read_env (struct opt_options *options, opt_getenv *get, struct rw_err *err)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (SETTINGS); i++)
    {
      const char *value = get (SETTINGS[i].variable);
      int rc;

      if (value == NULL || value[0] == '\0')
        continue;
      rc = opt_set (options, SETTINGS[i].key, value, err);
      if (rc < 0)
        return rc;
    }
  return 0;
}

static int
missing_setting (int key, struct rw_err *err)
{
  const struct setting *setting = find_setting (key);

  return rw_err_set (err, RW_E_NOT_FOUND, "settings", RW_LIT (""),
                     "%s (%s) is required: expected %s", setting->flag,
                     setting->variable, setting->valid);
}

/* Checks that the required settings are set and that the three ports differ.
   Port 0 never conflicts.  Returns 0 or a negative error number.  */
int
opt_check (const struct opt_options *options, struct rw_err *err)
{
  uint16_t rpc = options->rpc_port;
  uint16_t http = options->http_port;
  uint16_t admin = options->admin_port;

  if (options->vm.len == 0)
    return missing_setting (KEY_VM, err);
  if (options->dc.len == 0)
    return missing_setting (KEY_DC, err);
  if (options->addr.len == 0)
    return missing_setting (KEY_ADDR, err);
  if (options->platform.port == 0)
    return missing_setting (KEY_PLATFORM, err);
  if ((rpc != 0 && (rpc == http || rpc == admin))
      || (http != 0 && http == admin))
    return rw_err_set (err, RW_E_RANGE, "settings", RW_LIT (""),
                       "--rpc-port, --http-port and --admin-port are %u, %u "
                       "and %u: expected three different ports",
                       (unsigned int)rpc, (unsigned int)http,
                       (unsigned int)admin);
  return 0;
}
