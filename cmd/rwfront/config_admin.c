#include <jansson.h>
#include <stdlib.h>

#include "config_admin.h"

#define CONFIG_PATH "/config"

static void
answer_config (const struct frn_daemon *daemon, struct h1_conn *conn)
{
  struct h1_reply reply
      = { .status = 200,
          .headers = RW_LIT ("Content-Type: application/json\r\n") };
  const struct cat_config *config = daemon->config;
  json_t *root = json_object ();
  json_object_set_new (root, "vm", json_string (daemon->settings.name));
  json_object_set_new (root, "version",
                       config != NULL
                           ? json_integer ((json_int_t)config->version)
                           : json_null ());
  json_object_set_new (root, "config",
                       config != NULL
                           ? json_stringn (config->text.ptr, config->text.len)
                           : json_null ());
  char *dump = json_dumps (root, JSON_COMPACT);
  if (dump == NULL)
    reply.status = 500;
  else
    reply.body = rw_str_from (dump);
  h1_conn_reply (conn, &reply);
  free (dump);
  json_decref (root);
}

bool
frn_config_serve (struct frn_daemon *daemon, struct h1_conn *conn,
                  const struct h1_message *message)
{
  if (!rw_str_eq_cstr (message->target, CONFIG_PATH))
    return false;
  answer_config (daemon, conn);
  return true;
}
