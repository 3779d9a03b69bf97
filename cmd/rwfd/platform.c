#include "rwfd.h"

#include <stdlib.h>
#include <string.h>

/* Each read that waits for a newer version occupies a connection.  */
#define PLATFORM_CONNECTIONS_MAX 256
/* Timeout of a read, in addition to its wait for a newer version.  */
#define PLATFORM_ANSWER_TIMEOUT (2 * RW_SEC)

struct doc_read
{
  struct rwfd *rwfd;
  char key[96];
};

/* Passes the result to the node.  200 needs a version, since an answer without
   one is faulty; 204 (nothing newer) and 404 (no document) are version 0.  */
static void
on_done (void *arg, uint64_t tag, const struct net_reply *reply)
{
  struct doc_read *read = arg;
  struct nod_node *node = read->rwfd->node;
  struct rw_str key = rw_str_from (read->key);
  rw_time now = rw_now ();

  (void)tag;
  if (reply->err != NULL)
    {
      if (reply->err->code != RW_E_STOPPING)
        log_err (&read->rwfd->log, LOG_LEVEL_WARN, "platform", now,
                 reply->err);
      nod_on_doc_failed (node, key, now);
    }
  else if (reply->status == 200 && reply->version > 0)
    nod_on_doc (node, key, reply->version, reply->body, now);
  else if (reply->status == 204 || reply->status == 404)
    nod_on_doc (node, key, 0, RW_LIT (""), now);
  else
    {
      log_line (&read->rwfd->log, LOG_LEVEL_WARN, "platform", now,
                "Reading %s failed: HTTP status %d, version %llu.", read->key,
                reply->status, (unsigned long long)reply->version);
      nod_on_doc_failed (node, key, now);
    }
  free (read);
}

static void
write_path (const struct nod_action *action, struct rw_buf *path)
{
  rw_buf_printf (path, "/v1/docs/%s", action->u.read_doc.key);
  if (action->u.read_doc.wait > 0)
    rw_buf_printf (path, "?after=%llu&wait=%lld",
                   (unsigned long long)action->u.read_doc.after,
                   (long long)(action->u.read_doc.wait / RW_MSEC));
  else if (action->u.read_doc.after > 0)
    rw_buf_printf (path, "?after=%llu",
                   (unsigned long long)action->u.read_doc.after);
}

/* Reads a document from the configuration service, which waits for a version
   newer than the given one if the action has a wait.  Returns at once; the
   node gets the result from on_done.  */
void
rwfd_read_doc (struct rwfd *rwfd, const struct nod_action *action)
{
  struct doc_read *read = rw_xcalloc (1, sizeof *read);
  struct net_call_spec spec
      = { .to = rwfd->options->platform,
          .peer = RW_LIT ("platform"),
          .max_connections = PLATFORM_CONNECTIONS_MAX,
          .timeout = action->u.read_doc.wait + PLATFORM_ANSWER_TIMEOUT,
          .method = "GET",
          .done = on_done,
          .arg = read };
  struct rw_buf path;

  read->rwfd = rwfd;
  memcpy (read->key, action->u.read_doc.key, sizeof read->key);
  rw_buf_init (&path);
  write_path (action, &path);
  spec.path = rw_buf_str (&path);
  net_client_start (&rwfd->client, &spec);
  rw_buf_finish (&path);
}
