#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "front.h"

#define MAX_FILE_BYTES (64 * 1024)

static int
setting_error (struct rw_err *err, struct rw_str name, const char *what)
{
  return rw_err_set (err, RW_E_PARSE, "settings", name, "%s", what);
}

/* Parses "HOST:PORT", where HOST is a numeric IPv4 address.  */
static int
parse_addr (struct rw_str text, struct sockaddr_in *addr)
{
  char host[64];
  size_t colon = text.len;
  int64_t port;
  while (colon > 0 && text.ptr[colon - 1] != ':')
    colon--;
  if (colon < 2 || colon > sizeof host)
    return RW_E_PARSE;
  struct rw_str digits = { text.ptr + colon, text.len - colon };
  if (rw_str_to_int (digits, 1, 65535, &port) != 0)
    return RW_E_PARSE;
  rw_str_copy (host, sizeof host, (struct rw_str){ text.ptr, colon - 1 });
  return uv_ip4_addr (host, (int)port, addr) == 0 ? 0 : RW_E_PARSE;
}

/* Parses addresses separated by commas; those beyond FRN_MAX_SEEDS are
   ignored.  */
static int
parse_seeds (struct rw_str text, struct frn_settings *settings)
{
  settings->seed_count = 0;
  while (text.len > 0 && settings->seed_count < FRN_MAX_SEEDS)
    {
      struct rw_str word = rw_str_trim (rw_str_token (&text, ","));
      if (word.len == 0)
        continue;
      if (parse_addr (word, &settings->seeds[settings->seed_count]) != 0)
        return RW_E_PARSE;
      settings->seed_count++;
    }
  return 0;
}

/* Parses a number, as strtod does, from 0 to below 1e9.  */
static int
parse_number (struct rw_str text, double *value)
{
  char buf[32];
  char *end;
  if (text.len == 0 || text.len >= sizeof buf)
    return RW_E_PARSE;
  rw_str_copy (buf, sizeof buf, text);
  *value = strtod (buf, &end);
  return *end == '\0' && *value >= 0 && *value < 1e9 ? 0 : RW_E_PARSE;
}

/* Parses a number of units of UNIT microseconds.  */
static int
parse_time (struct rw_str text, double unit, rw_time *value)
{
  double number;
  if (parse_number (text, &number) != 0)
    return RW_E_PARSE;
  *value = (rw_time)(number * unit);
  return 0;
}

static int
parse_count (struct rw_str text, unsigned int *value)
{
  int64_t number;
  if (rw_str_to_int (text, 0, 10000000, &number) != 0)
    return RW_E_PARSE;
  *value = (unsigned int)number;
  return 0;
}

/* Parses an address without a port.  */
static int
parse_source (struct rw_str text, struct sockaddr_in *addr)
{
  char buf[INET_ADDRSTRLEN + 1];
  if (text.len >= sizeof buf)
    return RW_E_PARSE;
  rw_str_copy (buf, sizeof buf, text);
  return uv_ip4_addr (buf, 0, addr) == 0 ? 0 : RW_E_PARSE;
}

const char *
frn_mechanism_name (enum frn_mechanism mechanism)
{
  switch (mechanism)
    {
    case FRN_MECH_HEDGES:
      return "hedges";
    case FRN_MECH_PARTIAL:
      return "partial";
    case FRN_MECH_ABANDON:
      return "abandon";
    case FRN_MECH_RELAYS:
      return "relays";
    case FRN_MECH_FALLBACKS:
      return "fallbacks";
    case FRN_MECH_SUBQUERIES:
      return "subqueries";
    case FRN_MECH_OVERLOAD:
      return "overload";
    case FRN_MECH_RETURNED:
      return "returned";
    case FRN_MECH_LATENESS:
      return "lateness";
    case FRN_MECH_SUBSETS:
      return "subsets";
    case FRN_MECH_PREOPEN:
      return "preopen";
    case FRN_MECH_QUARANTINE:
      return "quarantine";
    case FRN_MECH_FAIR:
      return "fair";
    case FRN_MECH_QUOTAS:
      return "quotas";
    case FRN_MECH_INFEASIBLE:
      return "infeasible";
    case FRN_MECH_CAPACITY:
      return "capacity";
    case FRN_MECH_COUNT:
      break;
    }
  return "unknown";
}

/* Parses a list of mechanisms separated by commas.  */
static int
parse_without (struct rw_str text, struct frn_settings *s)
{
  struct rw_str word;
  while ((word = rw_str_trim (rw_str_token (&text, ","))).len > 0)
    {
      int i = 0;
      while (i < FRN_MECH_COUNT
             && !rw_str_eq_cstr (word,
                                 frn_mechanism_name ((enum frn_mechanism)i)))
        i++;
      if (i == FRN_MECH_COUNT)
        return RW_E_PARSE;
      s->without[i] = true;
    }
  return 0;
}

static int
parse_setting (struct rw_str name, struct rw_str value, struct frn_settings *s)
{
  if (rw_str_eq_cstr (name, "RWF_NAME"))
    rw_str_copy (s->name, sizeof s->name, value);
  else if (rw_str_eq_cstr (name, "RWF_DC"))
    rw_str_copy (s->dc, sizeof s->dc, value);
  else if (rw_str_eq_cstr (name, "RWF_CALLERS"))
    return parse_addr (value, &s->caller_addr);
  else if (rw_str_eq_cstr (name, "RWF_READY"))
    return parse_addr (value, &s->ready_addr);
  else if (rw_str_eq_cstr (name, "RWF_STORE"))
    return parse_addr (value, &s->store_addr);
  else if (rw_str_eq_cstr (name, "RWF_PEERS"))
    return parse_addr (value, &s->peer_addr);
  else if (rw_str_eq_cstr (name, "RWF_SOURCE"))
    return parse_source (value, &s->source_addr);
  else if (rw_str_eq_cstr (name, "RWF_FIRST_START"))
    s->first_start = rw_str_eq_cstr (value, "true");
  else if (rw_str_eq_cstr (name, "RWF_SEEDS"))
    return parse_seeds (value, s);
  else if (rw_str_eq_cstr (name, "RWF_CORES"))
    return parse_number (value, &s->cores);
  else if (rw_str_eq_cstr (name, "RWF_MEMORY_MB"))
    return parse_count (value, &s->memory_mb);
  else if (rw_str_eq_cstr (name, "RWF_MAX_FILES"))
    return parse_count (value, &s->max_files);
  else if (rw_str_eq_cstr (name, "RWF_TARGET_DRAIN_MS"))
    return parse_time (value, RW_MSEC, &s->target_drain_time);
  else if (rw_str_eq_cstr (name, "RWF_TARGET_HEARTBEAT_MS"))
    return parse_time (value, RW_MSEC, &s->target_heartbeat);
  else if (rw_str_eq_cstr (name, "RWF_STOP_S"))
    return parse_time (value, RW_SEC, &s->stop_time);
  else if (rw_str_eq_cstr (name, "RWF_EXTRA_RATIO"))
    return parse_number (value, &s->budget_ratio);
  else if (rw_str_eq_cstr (name, "RWF_EXTRA_SLACK"))
    return parse_number (value, &s->budget_slack);
  else if (rw_str_eq_cstr (name, "RWF_EXTRA_WINDOW_S"))
    return parse_time (value, RW_SEC, &s->budget_window);
  else if (rw_str_eq_cstr (name, "RWF_STRICT_REVOCATION"))
    s->strict_revocation = rw_str_eq_cstr (value, "true");
  else if (rw_str_eq_cstr (name, "RWF_REVOCATION_MS"))
    return parse_time (value, RW_MSEC, &s->revocation_time);
  else if (rw_str_eq_cstr (name, "RWF_QUOTA_WINDOW_S"))
    return parse_time (value, RW_SEC, &s->quota_window);
  else if (rw_str_eq_cstr (name, "RWF_QUOTA_OVERSHOOT"))
    return parse_number (value, &s->quota_overshoot);
  else if (rw_str_eq_cstr (name, "RWF_QUOTA_SLACK"))
    return parse_number (value, &s->quota_slack);
  else if (rw_str_eq_cstr (name, "RWF_WITHOUT"))
    return parse_without (value, s);
  return 0; /* unknown names may be settings of a later version */
}

static void
set_defaults (struct frn_settings *settings)
{
  memset (settings, 0, sizeof *settings);
  settings->max_files = 1024;
  settings->cores = 1;
  settings->memory_mb = 512;
  settings->target_drain_time = 3 * RW_SEC;
  settings->target_heartbeat = 1200 * RW_MSEC;
  settings->stop_time = 6 * RW_SEC;
  settings->budget_ratio = 0.1;
  settings->budget_slack = 10;
  settings->budget_window = 10 * RW_SEC;
  settings->revocation_time = 5 * RW_SEC;
  settings->quota_window = 5 * RW_SEC;
}

/* Checks that the required settings are present and the window is valid.  */
static int
check_settings (const struct frn_settings *s, struct rw_err *err)
{
  if (s->caller_addr.sin_port == 0)
    return setting_error (err, RW_LIT ("RWF_CALLERS"), "is required");
  if (s->ready_addr.sin_port == 0)
    return setting_error (err, RW_LIT ("RWF_READY"), "is required");
  if (s->store_addr.sin_port == 0)
    return setting_error (err, RW_LIT ("RWF_STORE"), "is required");
  if (s->peer_addr.sin_port == 0)
    return setting_error (err, RW_LIT ("RWF_PEERS"), "is required");
  if (s->budget_window < RW_SEC)
    return setting_error (err, RW_LIT ("RWF_EXTRA_WINDOW_S"), "is below 1 s");
  if (s->quota_window < RW_SEC)
    return setting_error (err, RW_LIT ("RWF_QUOTA_WINDOW_S"), "is below 1 s");
  return 0;
}

int
frn_settings_parse (struct rw_str text, struct frn_settings *settings,
                    struct rw_err *err)
{
  struct frn_settings parsed;
  set_defaults (&parsed);
  while (text.len > 0)
    {
      struct rw_str line = rw_str_trim (rw_str_token (&text, "\n"));
      if (line.len == 0 || line.ptr[0] == '#')
        continue;
      const char *equals = memchr (line.ptr, '=', line.len);
      if (equals == NULL)
        return setting_error (err, line, "expected NAME=VALUE");
      struct rw_str name = { line.ptr, (size_t)(equals - line.ptr) };
      struct rw_str value = { equals + 1, line.len - name.len - 1 };
      if (value.len > 0 && parse_setting (name, value, &parsed) != 0)
        return setting_error (err, name, "invalid value");
    }
  int r = check_settings (&parsed, err);
  if (r == 0)
    *settings = parsed;
  return r;
}

int
frn_settings_read (const char *path, struct frn_settings *settings,
                   struct rw_err *err)
{
  char *text = rw_xmalloc (MAX_FILE_BYTES + 1);
  int fd = open (path, O_RDONLY | O_CLOEXEC);
  ssize_t n = fd < 0 ? -1 : read (fd, text, MAX_FILE_BYTES + 1);
  int r;
  if (n < 0)
    r = rw_err_set (err, -errno, "settings", rw_str_from (path), "%s",
                    strerror (errno));
  else if (n > MAX_FILE_BYTES)
    r = rw_err_set (err, RW_E_RANGE, "settings", rw_str_from (path),
                    "more than %d bytes", MAX_FILE_BYTES);
  else
    r = frn_settings_parse ((struct rw_str){ text, (size_t)n }, settings, err);
  if (fd >= 0)
    close (fd);
  free (text);
  return r;
}
