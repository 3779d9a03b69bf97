#include <jansson.h>
#include <stdlib.h>

#include "config_admin.h"

#define CONFIG_PATH "/config"

/* Returns the text of the configuration in force, with digests in place of
   keys, or an empty string if the copy holds none or another one: a version
   that is refused replaces the text, but not the configuration in force.  */
static struct rw_str
text_in_force (const struct frn_daemon *daemon)
{
  struct rw_err err;
  struct rw_str none = { NULL, 0 };
  const struct rep_item *item = rep_find (
      &daemon->view.replica, rw_str_from (daemon->view.config_key));
  if (item == NULL || daemon->config == NULL)
    return none;
  struct cat_config *config = cat_config_new ();
  bool is_in_force = plt_decode_config (item->value, config, &err) == 0
                     && config->version == daemon->config->version;
  cat_config_unref (config);
  return is_in_force ? item->value : none;
}

static void
answer_config (const struct frn_daemon *daemon, struct h1_conn *conn)
{
  struct h1_reply reply
      = { .status = 200,
          .headers = RW_LIT ("Content-Type: application/json\r\n") };
  struct rw_arena arena;
  rw_arena_init (&arena, 4096);
  /* A copy of an older daemon may have keys.  */
  struct rw_str text = plt_hide_keys (&arena, text_in_force (daemon));
  json_t *root = json_object ();
  json_object_set_new (root, "vm", json_string (daemon->settings.name));
  json_object_set_new (root, "version",
                       daemon->config != NULL
                           ? json_integer ((json_int_t)daemon->config->version)
                           : json_null ());
  json_object_set_new (root, "config",
                       text.len > 0 ? json_stringn (text.ptr, text.len)
                                    : json_null ());
  char *dump = json_dumps (root, JSON_COMPACT);
  if (dump == NULL)
    reply.status = 500;
  else
    reply.body = rw_str_from (dump);
  h1_conn_reply (conn, &reply);
  free (dump);
  json_decref (root);
  rw_arena_finish (&arena);
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
