#include <string.h>

#include "fuzz.h"
#include "platform.h"

#define MAX_STORED 1000

/* What a valid document is compared with.  */
static const char before_text[]
    = "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
      "\"prefix\":\"/a/\",\"timeoutMs\":600,\"gather\":[\"s\",\"t\"]},"
      "{\"name\":\"q\",\"hostname\":\"h\",\"prefix\":\"/b/\",\"timeoutMs\":6,"
      "\"service\":\"s\"}],\"services\":[{\"name\":\"s\"}],\"tenants\":"
      "[{\"name\":\"a\",\"apiKeys\":[\"k1\",\"k2\"],\"ratePerS\":9}]}";

/* Each finding has a place in the text, and a message of one line.  */
static void
check_findings (const struct lin_findings *findings, struct rw_str text)
{
  struct lin_text index;
  lin_text_init (&index, text);
  for (size_t i = 0; i < findings->len; i++)
    {
      const struct lin_finding *f = &findings->list[i];
      size_t offset = f->offset != LIN_NO_OFFSET
                          ? f->offset
                          : lin_text_find (&index, f->path);
      struct lin_place place = lin_text_place (&index, offset);
      FUZZ_CHECK (offset <= text.len);
      FUZZ_CHECK (place.line >= 1 && place.line <= text.len + 1);
      FUZZ_CHECK (place.column >= 1 && place.column <= text.len + 1);
      FUZZ_CHECK (f->message.len > 0);
      FUZZ_CHECK (memchr (f->message.ptr, '\n', f->message.len) == NULL);
    }
  lin_text_finish (&index);
}

/* A daemon accepts TEXT if and only if ACCEPTED, and its message is the first
   error.  */
static void
check_daemon (struct rw_str text, bool accepted,
              const struct lin_findings *findings)
{
  struct rw_err err;
  struct rw_buf message;
  struct cat_config *config = cat_config_new ();
  FUZZ_CHECK ((plt_decode_config (text, config, &err) == 0) == accepted);
  cat_config_unref (config);
  if (accepted)
    return;
  size_t first = 0;
  while (findings->list[first].severity != LIN_ERROR)
    first++;
  rw_buf_init (&message);
  lin_write (&findings->list[first], &message);
  rw_buf_append (&message, "", 1);
  FUZZ_CHECK (strncmp (message.ptr, err.detail, strlen (err.detail)) == 0);
  rw_buf_finish (&message);
}

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rw_str text = { (const char *)data, size };
  struct lin_findings findings;
  struct cat_config *before = cat_config_new ();
  struct cat_config *config = cat_config_new ();
  struct rw_err err;
  lin_init (&findings, MAX_STORED, MAX_STORED);
  bool accepted = plt_check_config (text, config, &findings) == 0;
  check_daemon (text, accepted, &findings);
  if (accepted)
    {
      FUZZ_CHECK (plt_decode_config (RW_LIT (before_text), before, &err) == 0);
      lin_check (config, &plt_fields, 5 * RW_SEC, &findings);
      plt_compare_configs (RW_LIT (before_text), text, &findings);
      lin_compare (before, config, &plt_fields, &findings);
      size_t changes = findings.count[LIN_CHANGE];
      /* A document does not differ from itself.  */
      plt_compare_configs (text, text, &findings);
      FUZZ_CHECK (findings.count[LIN_CHANGE] == changes);
    }
  check_findings (&findings, text);
  lin_finish (&findings);
  cat_config_unref (before);
  cat_config_unref (config);
  return 0;
}

FUZZ_SAMPLES (
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":"
    "\"/a/\",\"type\":\"safe\",\"timeoutMs\":600,\"targetLatencyMs\":700,"
    "\"gather\":[\"s\",\"u\"],\"topK\":5,\"minShardShare\":0.9}],"
    "\"services\":[{\"name\":\"s\",\"maxConnections\":4},{\"name\":\"x\"}],"
    "\"tenants\":[{\"name\":\"a\",\"apiKeys\":[\"k1\",\"k3\"],\"ratePerS\":4,"
    "\"burst\":2,\"priority\":1},{\"name\":\"b\",\"apiKeys\":[]}]}",
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":"
    "\"/b/\",\"timeoutMs\":6,\"public\":true,\"trafficSplit\":[{\"service\":"
    "\"s\",\"weight\":1},{\"service\":\"t\",\"weight\":0}]},{\"name\":\"r2\","
    "\"hostname\":\"H:1\",\"prefix\":\"/b\",\"timeoutMs\":6,\"priority\":3,"
    "\"service\":\"s\"}],\"limits\":{\"maxBodyBytes\":0}}",
    "{\"version\":\"1\",\"routes\":[7,{\"prefix\":\"a\"}],\"tenants\":[7,"
    "{\"name\":\"a\",\"apiKeys\":[7,\"\"],\"burst\":-1},{\"name\":\"a\"}]}")
