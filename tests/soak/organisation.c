#include <stdio.h>
#include <string.h>

#include "soak.h"

/* Organisations and keys.  The first organisation has a quota far below what
   its callers send, which the searchers check; the last one has a second key
   that every other configuration revokes.  */

#define ORGANISATIONS 4
#define QUOTA_PER_S 20
#define QUOTA_BURST 10
/* One request in so many uses the key that is revoked at times.  */
#define OLD_KEY_INTERVAL 20
/* When a revoked key must be refused by a daemon that was not disturbed.  */
#define REVOCATION_TIME (5 * RW_SEC)
#define STATUS_NO_KEY 401

void
sok_write_organisations (const struct sok_soak *soak, struct rw_buf *out)
{
  bool has_old_key = soak->version % 2 == 0;
  rw_buf_printf (out, ",\"tenants\":[");
  for (int i = 0; i < ORGANISATIONS; i++)
    rw_buf_printf (out, "%s{\"name\":\"org%d\",\"apiKeys\":[\"key-%d\"%s],%s}",
                   i > 0 ? "," : "", i, i,
                   i == ORGANISATIONS - 1 && has_old_key ? ",\"key-old\"" : "",
                   i == 0 ? "\"ratePerS\":20,\"burst\":10" : "\"priority\":1");
  rw_buf_printf (out, "]");
}

void
sok_note_old_key (struct sok_soak *soak)
{
  bool has_old_key = soak->version % 2 == 0;
  if (has_old_key)
    soak->old_key_gone = 0;
  else if (soak->old_key_gone == 0)
    soak->old_key_gone = rw_now ();
}

void
sok_start_organisations (struct sok_soak *soak)
{
  char path[96];
  sok_put_config (soak);
  sok_command (soak, "POST", "/store/backup", "", NULL, 0);
  snprintf (path, sizeof path, "/organisation/org0/%d/%d", QUOTA_PER_S,
            QUOTA_BURST);
  sok_command (soak, "POST", path, "", NULL, 0);
}

void
sok_pick_key (struct sok_client *client)
{
  struct sok_soak *soak = client->soak;
  client->uses_old_key = rw_rng_below (&soak->rng, OLD_KEY_INTERVAL) == 0;
  if (client->uses_old_key)
    snprintf (client->key, sizeof client->key, "key-old");
  else
    snprintf (client->key, sizeof client->key, "key-%d",
              (int)rw_rng_below (&soak->rng, ORGANISATIONS));
}

void
sok_check_key (struct sok_client *client, int status)
{
  struct sok_soak *soak = client->soak;
  if (status == STATUS_NO_KEY && !client->uses_old_key)
    sok_fail (soak, "a valid key is denied: id=%s key=%s", client->id,
              client->key);
  if (status == 200 && client->uses_old_key && soak->old_key_gone > 0
      && client->sent - soak->old_key_gone > REVOCATION_TIME
      && !soak->store_faults && sok_is_calm (client->daemon, client->sent))
    sok_fail (soak, "a revoked key is served: id=%s", client->id);
}

void
sok_check_ledger (struct sok_soak *soak, const char *report)
{
  unsigned long long over = 1, keys = 1, unnamed = 1;
  const char *found = strstr (report, " over_quota=");
  if (found == NULL
      || sscanf (found, " over_quota=%llu keys=%llu unnamed=%llu", &over,
                 &keys, &unnamed)
             != 3)
    sok_fail (soak, "no report of organisations");
  if (over > 0)
    sok_fail (soak, "%llu requests beyond a quota", over);
  if (keys > 0)
    sok_fail (soak, "%llu requests reached searchers with a key", keys);
  if (unnamed > 0)
    sok_fail (soak, "%llu requests without an organisation", unnamed);
}
