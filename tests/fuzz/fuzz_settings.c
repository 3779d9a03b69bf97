#include "fuzz.h"

#include <string.h>

#include "../../cmd/rwfd/options.h"

#define INPUT_MAX 8192

/* The input: one environment variable NAME=VALUE a line.  */
static char environment[INPUT_MAX + 1];

/* Returns the value of NAME in the input, or null.  */
static const char *
read_input (const char *name)
{
  size_t len = strlen (name);

  for (const char *line = environment; *line != '\0';
       line += strlen (line) + 1)
    if (strncmp (line, name, len) == 0 && line[len] == '=')
      return line + len + 1;
  return NULL;
}

/* Ends each line of the input with a NUL, and the last with two.  */
static void
set_input (const uint8_t *data, size_t size)
{
  size_t len = 0;

  for (size_t i = 0; i < size && len < INPUT_MAX - 1; i++)
    {
      bool end = data[i] == '\n' || data[i] == '\0';

      if (end && (len == 0 || environment[len - 1] == '\0'))
        continue;
      environment[len++] = end ? '\0' : (char)data[i];
    }
  environment[len] = '\0';
  environment[len + 1] = '\0';
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct opt_options options;
  struct rw_err err = { .code = 0 };

  set_input (data, size);
  opt_init (&options);
  if (opt_read_env (&options, read_input, &err) < 0)
    {
      FUZZ_CHECK (err.code < 0 && strstr (err.detail, "expected") != NULL);
      return 0;
    }
  FUZZ_CHECK (options.vm.len <= 63 && options.dc.len <= 63);
  FUZZ_CHECK (options.peer_count <= OPT_MAX_PEERS);
  FUZZ_CHECK (options.drain_delay >= RW_MSEC
              && options.drain_delay <= 9 * RW_SEC);
  FUZZ_CHECK (options.trace_sample_ratio >= 0
              && options.trace_sample_ratio <= 1);
  if (opt_check (&options, &err) == 0)
    FUZZ_CHECK (options.vm.len > 0 && options.dc.len > 0
                && options.addr.len > 0 && options.platform.port > 0);
  return 0;
}

FUZZ_SAMPLES ("RWF_VM=mid-1\nRWF_DC=midrand-a\nRWF_ADDR=10.0.0.1\n"
              "RWF_RPC_PORT=7000\nRWF_HTTP_PORT=0\nRWF_ADMIN_PORT=0\n"
              "RWF_PLATFORM=10.0.0.9:8500\nRWF_PEERS=[::1]:1,10.0.0.2:7000\n"
              "RWF_DRAIN_DELAY=500ms\nRWF_TRACE_FILE=/x\n"
              "RWF_TRACE_SAMPLE=0.5\nRWF_LOG_LEVEL=warn\n"
              "RWF_LOG_FORMAT=json\n")
