#include "fuzz.h"
#include "platform.h"

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  struct rw_err err;
  struct cat_config *config = cat_config_new ();
  if (plt_decode_config ((struct rw_str){ (const char *)data, size }, config,
                         &err)
      == 0)
    for (size_t i = 0; i < config->route_count; i++)
      {
        const struct cat_route *route = &config->routes[i];
        FUZZ_CHECK (route->timeout > 0 && route->max_attempts > 0);
        if (route->kind == CAT_ROUTE_GATHER)
          for (size_t j = 0; j < route->u.gather.count; j++)
            FUZZ_CHECK (route->u.gather.services[j] < config->service_count);
        if (route->kind == CAT_ROUTE_SPLIT)
          FUZZ_CHECK (route->u.split.total > 0);
      }
  cat_config_unref (config);
  return 0;
}

FUZZ_SAMPLES (
    "{\"version\":7,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":"
    "\"/a/\",\"type\":\"safe\",\"timeoutMs\":600,\"gather\":[\"s\"],"
    "\"topK\":5,\"minShardShare\":0.5}],\"services\":[{\"name\":\"s\"}]}",
    "{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\",\"prefix\":"
    "\"/a/\",\"timeoutMs\":6,\"trafficSplit\":[{\"service\":\"s\","
    "\"weight\":1}]}]}")
