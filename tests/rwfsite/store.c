#include <openssl/evp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

#define PAGE_ITEMS 50
#define TICK_MS 5

static struct site_item *
find (struct site *site, const char *key)
{
  for (size_t i = 0; i < site->item_count; i++)
    if (strcmp (site->items[i].key, key) == 0)
      return &site->items[i];
  return NULL;
}

void
site_put (struct site *site, const char *key, const char *value, size_t len)
{
  struct site_item *item = find (site, key);
  if (item == NULL && site->item_count == SITE_MAX_ITEMS)
    return;
  if (item == NULL)
    {
      /* Kept in the order of the keys, in which pages are read.  */
      size_t at = site->item_count++;
      while (at > 0 && strcmp (site->items[at - 1].key, key) > 0)
        {
          site->items[at] = site->items[at - 1];
          at--;
        }
      item = &site->items[at];
      memset (item, 0, sizeof *item);
      snprintf (item->key, sizeof item->key, "%s", key);
    }
  free (item->value);
  item->value = NULL;
  item->value_len = 0;
  item->revision = ++site->revision;
  if (value == NULL)
    return;
  item->value = rw_xmalloc (len + 1);
  memcpy (item->value, value, len);
  item->value_len = len;
}

static void
free_items (struct site_item *items, size_t count)
{
  for (size_t i = 0; i < count; i++)
    free (items[i].value);
}

static size_t
copy_items (struct site_item *to, const struct site_item *from, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      to[i] = from[i];
      if (from[i].value == NULL)
        continue;
      to[i].value = rw_xmalloc (from[i].value_len + 1);
      memcpy (to[i].value, from[i].value, from[i].value_len);
    }
  return count;
}

void
site_backup (struct site *site)
{
  struct site_backup *backup = &site->backup;
  free_items (backup->items, backup->item_count);
  backup->item_count
      = copy_items (backup->items, site->items, site->item_count);
  backup->revision = site->revision;
}

void
site_restore (struct site *site)
{
  const struct site_backup *backup = &site->backup;
  free_items (site->items, site->item_count);
  site->item_count
      = copy_items (site->items, backup->items, backup->item_count);
  site->revision = backup->revision;
  site->era++;
}

static void
append_item (struct rw_buf *out, const struct site_item *item)
{
  rw_buf_printf (out, "{\"key\":\"%s\",\"revision\":%lld", item->key,
                 (long long)item->revision);
  if (item->value == NULL)
    {
      rw_buf_printf (out, ",\"deleted\":true}");
      return;
    }
  unsigned char *text = rw_xmalloc (item->value_len * 4 / 3 + 8);
  int len = EVP_EncodeBlock (text, (unsigned char *)item->value,
                             (int)item->value_len);
  rw_buf_printf (out, ",\"created\":1,\"leaseId\":0,\"value\":\"");
  rw_buf_append (out, text, (size_t)len);
  rw_buf_printf (out, "\"}");
  free (text);
}

static void
answer (const struct site *site, struct h1_conn *conn, int status,
        struct rw_buf *body)
{
  struct rw_buf headers;
  rw_buf_init (&headers);
  rw_buf_printf (&headers, "Content-Type: application/json\r\n");
  if (site->era > 0)
    rw_buf_printf (&headers, "Store-Era: %lld\r\n", (long long)site->era);
  struct h1_reply reply = { .status = status,
                            .headers = rw_buf_str (&headers),
                            .body = rw_buf_str (body) };
  h1_conn_reply (conn, &reply);
  rw_buf_finish (&headers);
  rw_buf_finish (body);
}

/* The value of NAME in the query of TARGET, or an empty string.  */
static struct rw_str
query_value (struct rw_str target, const char *name)
{
  struct rw_str word;
  rw_str_token (&target, "?");
  while ((word = rw_str_token (&target, "?&")).len > 0)
    if (word.len > strlen (name) && memcmp (word.ptr, name, strlen (name)) == 0
        && word.ptr[strlen (name)] == '=')
      {
        word.ptr += strlen (name) + 1;
        word.len -= strlen (name) + 1;
        return word;
      }
  return (struct rw_str){ NULL, 0 };
}

static void
answer_range (struct site *site, struct h1_conn *conn, struct rw_str target)
{
  char after[200];
  struct rw_buf body;
  size_t count = 0;
  bool more = false;
  rw_str_copy (after, sizeof after, query_value (target, "after"));
  rw_buf_init (&body);
  rw_buf_printf (&body, "{\"items\":[");
  for (size_t i = 0; i < site->item_count; i++)
    {
      const struct site_item *item = &site->items[i];
      if (item->value == NULL || strcmp (item->key, after) <= 0)
        continue;
      if (count == PAGE_ITEMS)
        {
          more = true;
          break;
        }
      rw_buf_printf (&body, "%s", count++ > 0 ? "," : "");
      append_item (&body, item);
    }
  rw_buf_printf (&body, "],\"hasMore\":%s,\"at\":%lld}",
                 more ? "true" : "false", (long long)site->revision);
  answer (site, conn, 200, &body);
}

/* Answers a watch if there are changes, or if its time is over.  */
static bool
answer_watch (struct site *site, struct h1_conn *conn, int64_t after,
              bool over)
{
  struct rw_buf body;
  size_t count = 0;
  rw_buf_init (&body);
  rw_buf_printf (&body, "{\"events\":[");
  for (size_t i = 0; i < site->item_count; i++)
    if (site->items[i].revision > after)
      {
        rw_buf_printf (&body, "%s", count++ > 0 ? "," : "");
        append_item (&body, &site->items[i]);
      }
  if (count == 0 && !over)
    {
      rw_buf_finish (&body);
      return false;
    }
  rw_buf_printf (&body, "],\"at\":%lld}", (long long)site->revision);
  answer (site, conn, 200, &body);
  return true;
}

static void
begin_watch (struct site *site, struct h1_conn *conn, struct rw_str target)
{
  int64_t after = 0;
  int64_t wait = 0;
  struct rw_buf body;
  rw_str_to_int (query_value (target, "after"), 0, INT64_MAX, &after);
  rw_str_to_int (query_value (target, "waitMs"), 0, 30000, &wait);
  if (after < site->compacted || after > site->revision)
    {
      rw_buf_init (&body);
      answer (site, conn, 410, &body);
      return;
    }
  if (answer_watch (site, conn, after, false))
    return;
  for (size_t i = 0; i < SITE_MAX_WATCHES; i++)
    if (site->watches[i].conn == NULL)
      {
        site->watches[i]
            = (struct site_watch){ conn, after, rw_now () + wait * RW_MSEC };
        return;
      }
  rw_buf_init (&body);
  answer (site, conn, 429, &body);
}

static void
on_request (void *arg, struct h1_conn *conn, const struct h1_message *message)
{
  struct site *site = arg;
  struct h1_reply reset = { .status = 503, .close = true };
  struct rw_buf body;
  site->calls++;
  switch (site->mode)
    {
    case SITE_STORE_SILENT:
      return;
    case SITE_STORE_RESET:
      h1_conn_reply (conn, &reset);
      return;
    case SITE_STORE_BUSY:
      rw_buf_init (&body);
      answer (site, conn, 503, &body);
      return;
    case SITE_STORE_UP:
      break;
    }
  if (rw_str_starts (message->target, RW_LIT ("/kv-range")))
    answer_range (site, conn, message->target);
  else if (rw_str_starts (message->target, RW_LIT ("/kv-watch")))
    begin_watch (site, conn, message->target);
  else
    {
      rw_buf_init (&body);
      answer (site, conn, 404, &body);
    }
}

static void
on_gone (void *arg, struct h1_conn *conn)
{
  struct site *site = arg;
  for (size_t i = 0; i < SITE_MAX_WATCHES; i++)
    if (site->watches[i].conn == conn)
      site->watches[i].conn = NULL;
}

static const struct h1_server_ops store_ops = {
  .on_request = on_request,
  .on_disconnect = on_gone,
};

static void
on_tick (uv_timer_t *timer)
{
  struct site *site = timer->data;
  rw_time now = rw_now ();
  if (site->mode != SITE_STORE_UP)
    return;
  for (size_t i = 0; i < SITE_MAX_WATCHES; i++)
    {
      struct site_watch watch = site->watches[i];
      if (watch.conn == NULL)
        continue;
      site->watches[i].conn = NULL;
      if (watch.after > site->revision)
        {
          struct rw_buf body;
          rw_buf_init (&body);
          answer (site, watch.conn, 410, &body);
        }
      else if (!answer_watch (site, watch.conn, watch.after,
                              now >= watch.until))
        site->watches[i] = watch;
    }
}

int
site_store_init (struct site *site, uint16_t port)
{
  int r = site_listen (site, &site->store, port, &store_ops, site);
  uv_timer_init (&site->loop, &site->timer);
  site->timer.data = site;
  uv_timer_start (&site->timer, on_tick, TICK_MS, TICK_MS);
  return r;
}
