#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "record.h"
#include "soak.h"

#define TOP 20
/* Trials of software that a request has crashed.  */
#define MAX_TRIALS 1
/* Retry-After of a request that is held back.  */
#define HELD_BACK "30.000"
#define MAX_PARTS 64

static struct rw_str
searcher_of (struct rw_str stamp)
{
  return rw_str_token (&stamp, ".");
}

static bool
is_stamp_for (struct rw_str stamp, const char *id)
{
  rw_str_token (&stamp, ".");
  return rw_str_eq_cstr (rw_str_token (&stamp, "."), id);
}

static int
compare_records (const void *a, const void *b)
{
  return memcmp (b, a, SITE_RECORD_SIZE);
}

static void
append_records (struct rw_buf *out, struct rw_str searcher, const char *id)
{
  for (uint64_t i = 0; i < SITE_RECORDS; i++)
    site_record (out, searcher, rw_str_from (id), i);
}

/* The shard of the searcher "sN-M".  */
static struct rw_str
shard_of (struct rw_str searcher)
{
  return rw_str_token (&searcher, "-");
}

static void
check_gather (struct sok_client *client, const struct h1_message *reply)
{
  struct sok_soak *soak = client->soak;
  struct rw_str list = h1_header_value (reply, "X-Redwingfork-Part-Stamps");
  struct rw_str text = h1_header_value (reply, "X-Redwingfork-Missing-Parts");
  struct rw_str shards[MAX_PARTS];
  struct rw_buf records;
  int64_t missing = 0;
  size_t count = 0;
  rw_str_to_int (text, 0, MAX_PARTS, &missing);
  rw_buf_init (&records);
  while (list.len > 0 && count < MAX_PARTS)
    {
      struct rw_str stamp = rw_str_trim (rw_str_token (&list, ","));
      struct rw_str searcher = searcher_of (stamp);
      if (!is_stamp_for (stamp, client->id))
        sok_fail (soak, "part of another request: id=%s", client->id);
      for (size_t i = 0; i < count; i++)
        if (rw_str_eq (shards[i], shard_of (searcher)))
          sok_fail (soak, "two parts of one shard: id=%s", client->id);
      append_records (&records, searcher, client->id);
      shards[count++] = shard_of (searcher);
    }
  /* Configurations name all shards, or the first half of them.  */
  size_t named = count + (size_t)missing;
  if (named != soak->shards && named != soak->shards / 2)
    sok_fail (soak, "parts of no configuration: id=%s named=%zu", client->id,
              named);
  if ((double)count < 0.75 * (double)named)
    sok_fail (soak, "too few parts: id=%s count=%zu", client->id, count);
  soak->whole += missing == 0;
  qsort (records.ptr, records.len / SITE_RECORD_SIZE, SITE_RECORD_SIZE,
         compare_records);
  size_t len = TOP * SITE_RECORD_SIZE;
  if (len > records.len)
    len = records.len;
  if (reply->body.len != len
      || memcmp (reply->body.ptr, records.ptr, len) != 0)
    sok_fail (soak, "wrong records: id=%s", client->id);
  rw_buf_finish (&records);
}

static void
check_single (struct sok_client *client, const struct h1_message *reply)
{
  struct rw_str stamp = h1_header_value (reply, "X-Redwingfork-Server-Stamp");
  struct rw_buf records;
  rw_buf_init (&records);
  append_records (&records, searcher_of (stamp), client->id);
  if (!is_stamp_for (stamp, client->id)
      || !rw_str_eq (reply->body, rw_buf_str (&records)))
    sok_fail (client->soak, "answer of another request: id=%s", client->id);
  rw_buf_finish (&records);
}

long
sok_crashing_runs (struct sok_soak *soak)
{
  char text[512];
  const char *found;
  if (sok_command (soak, "GET", "/report", "", text, sizeof text) != 0)
    return -1;
  found = strstr (text, " deadly=");
  return found != NULL ? strtol (found + strlen (" deadly="), NULL, 10) : -1;
}

void
sok_check_answer (struct sok_client *client, const struct h1_message *reply)
{
  struct sok_soak *soak = client->soak;
  bool gather = strcmp (client->route, "all") == 0;
  if (reply->status == 503 && !client->crashing
      && rw_str_eq_cstr (h1_header_value (reply, "Retry-After"), HELD_BACK))
    sok_fail (soak, "an innocent request is held back: id=%s", client->id);
  if (soak->organisations)
    sok_check_key (client, reply->status);
  if (reply->status == 200 && gather)
    check_gather (client, reply);
  else if (reply->status == 200)
    check_single (client, reply);
  else if (reply->status == 404)
    sok_fail (soak, "a known route is denied: id=%s", client->id);
  else if (reply->status == 503 && strcmp (client->route, "unsafe") == 0
           && soak->refused_count < SOK_MAX_REFUSED
           && h1_header_value (reply, "X-Redwingfork-Server-Stamp").len == 0)
    snprintf (soak->refused[soak->refused_count++], sizeof soak->refused[0],
              "%s", client->id);
}

void
sok_put_config (struct sok_soak *soak)
{
  static const char *const kinds[] = { "safe", "unsafe" };
  struct rw_buf text;
  size_t count = soak->version % 2 == 0 ? soak->shards : soak->shards / 2;
  soak->version++;
  rw_buf_init (&text);
  rw_buf_printf (&text,
                 "{\"version\":%zu,\"routes\":[{\"name\":\"all\",\"hostname\":"
                 "\"site.example\",\"prefix\":\"/all/\",\"type\":\"safe\","
                 "\"timeoutMs\":1500,\"targetLatencyMs\":150,\"priority\":1,"
                 "\"maxAttempts\":2,\"topK\":20,\"minShardShare\":0.75,"
                 "\"gather\":[",
                 soak->version + 1);
  for (size_t i = 0; i < count; i++)
    rw_buf_printf (&text, "%s\"shard%zu\"", i > 0 ? "," : "", i);
  rw_buf_printf (&text, "]}");
  for (size_t i = 0; i < RW_ARRAY_LEN (kinds); i++)
    rw_buf_printf (&text,
                   ",{\"name\":\"%s\",\"hostname\":\"site.example\","
                   "\"prefix\":\"/%s/\",\"type\":\"%s\",\"timeoutMs\":1500,"
                   "\"targetLatencyMs\":300,\"priority\":2,\"maxAttempts\":2,"
                   "\"service\":\"one\"}",
                   kinds[i], kinds[i], kinds[i]);
  rw_buf_printf (&text, "],\"services\":[]");
  if (soak->organisations)
    sok_write_organisations (soak, &text);
  rw_buf_printf (&text, "}");
  rw_buf_append (&text, "", 1);
  sok_command (soak, "PUT", "/item/op/config", text.ptr, NULL, 0);
  sok_note_old_key (soak);
  rw_buf_finish (&text);
}

/* A cut counts when it has lasted this long.  */
#define CUT_SETTLE_TIME (4 * RW_SEC)

void
sok_count_by_cut (struct sok_client *client, bool success)
{
  struct sok_soak *soak = client->soak;
  rw_time since = client->sent;
  bool is_cut = client->daemon->cut_since > 0;
  /* A daemon that stops serves its own callers, but takes no requests of
     peers, so what it serves is no measure for them.  */
  if (!is_cut && client->daemon->stopping)
    return;
  if (soak->healing || !sok_is_calm (client->daemon, since)
      || since - client->daemon->ways_changed < CUT_SETTLE_TIME)
    return;
  sok_share_count (&soak->share, since - soak->began, is_cut, success);
}

/* Whether callers of daemons that were cut off were served much worse than
   those of others at the same time.  */
static void
check_cut_daemons (struct sok_soak *soak)
{
  struct sok_comparison c;
  if (sok_share_is_unfair (&soak->share, &c))
    sok_fail (soak,
              "daemons that were cut off served %llu of %llu, as others were "
              "served %.0f",
              (unsigned long long)c.cut_ok, (unsigned long long)c.cut_all,
              c.expected);
}

/* What the searchers saw, and whether every daemon serves again.  */
void
sok_check_end (struct sok_soak *soak)
{
  char text[512] = "";
  unsigned long long calls, ran, twice = 1, late = 0, over = 0;
  unsigned long long beyond = 0;
  long crashing = soak->crashes ? sok_crashing_runs (soak) : -1;
  if (crashing > soak->crashing_runs + MAX_TRIALS)
    sok_fail (soak, "a request that crashes searchers was sent %ld times more",
              crashing - soak->crashing_runs);
  if (sok_command (soak, "GET", "/report", "", text, sizeof text) != 0
      || sscanf (text,
                 "calls=%llu ran=%llu twice=%llu late=%llu uninvited=%*u "
                 "beyond=%llu ends=%*u deadly=%*u late_deadly=%*u over=%llu",
                 &calls, &ran, &twice, &late, &beyond, &over)
             != 6)
    sok_fail (soak, "no report from the stand-ins");
  if (soak->organisations)
    sok_check_ledger (soak, text);
  if (twice > 0)
    sok_fail (soak, "%llu unsafe requests ran twice", twice);
  if (over > 0)
    sok_fail (soak, "%llu parts ran more often than allowed", over);
  check_cut_daemons (soak);
  if (beyond > 0)
    sok_fail (soak, "%llu requests beyond the limits of searchers", beyond);
  if (late > 0 && !soak->store_faults && !soak->drills)
    sok_fail (soak, "%llu requests ran at searchers that had left", late);
  for (size_t i = 0; i < soak->refused_count; i++)
    {
      char path[96];
      snprintf (path, sizeof path, "/ran/one/%s", soak->refused[i]);
      if (sok_command (soak, "GET", path, "", text, sizeof text) == 0
          && strcmp (text, "0") != 0)
        sok_fail (soak, "refused, and ran: id=%s", soak->refused[i]);
    }
}
