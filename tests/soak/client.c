#include <stdio.h>
#include <string.h>

#include "soak.h"

#define TIME_LEFT_MS 1500
/* An answer is due that long after the caller's time is over.  */
#define HELD_SLACK (700 * RW_MSEC)
/* A connection that ends earlier may have crossed the request.  */
#define LOSS_SLACK (200 * RW_MSEC)
#define MAX_PAUSE_MS 30
/* Least pause of a caller with a daemon of its own: about 7 requests in each
   SOK_WINDOW, which add little to the load.  */
#define OWN_PAUSE_MS 40
/* One of so many requests is the one that crashes searchers.  */
#define CRASHING_INTERVAL 20

static void client_next (struct sok_client *client);

bool
sok_is_calm (const struct sok_daemon *daemon, rw_time since)
{
  return daemon->running && !daemon->frozen
         && since - daemon->disturbed > SOK_CALM;
}

static void
on_timer (uv_timer_t *timer)
{
  struct sok_client *client = timer->data;
  struct sok_soak *soak = client->soak;
  if (!client->waiting)
    {
      client_next (client);
      return;
    }
  if (sok_is_calm (client->daemon, client->sent))
    sok_fail (soak, "no answer in time: id=%s daemon=%zu", client->id,
              client->daemon->index);
  soak->answers[0]++;
  sok_count_by_cut (client, false);
  client->waiting = false;
  h1_client_close (&client->link);
}

static void
pause_client (struct sok_client *client, uint64_t least_ms)
{
  uv_timer_start (&client->timer, on_timer,
                  least_ms + rw_rng_below (&client->soak->rng, MAX_PAUSE_MS),
                  0);
}

/* Whether DAEMON takes callers: one that stops is out of rotation after about
   2 s.  */
static bool
takes_callers (const struct sok_daemon *daemon, rw_time now)
{
  return daemon->running
         && (!daemon->stopping || now - daemon->stop_began < 2 * RW_SEC);
}

static struct sok_daemon *
pick_daemon (struct sok_soak *soak)
{
  rw_time now = rw_now ();
  for (int i = 0; i < 20; i++)
    {
      struct sok_daemon *daemon
          = &soak->daemons[rw_rng_below (&soak->rng, soak->daemon_count)];
      if (takes_callers (daemon, now))
        return daemon;
    }
  return &soak->daemons[0];
}

static void
send_request (struct sok_client *client)
{
  static const char *const routes[] = { "all", "all", "safe", "unsafe" };
  struct sok_soak *soak = client->soak;
  char text[512];
  client->route = routes[rw_rng_below (&soak->rng, 4)];
  client->crashing = soak->crashes && strcmp (client->route, "unsafe") != 0
                     && rw_rng_below (&soak->rng, CRASHING_INTERVAL) == 0;
  snprintf (client->id, sizeof client->id, "%llx-%llx",
            (unsigned long long)soak->seed,
            (unsigned long long)++soak->next_id);
  if (soak->organisations)
    sok_pick_key (client);
  int len = snprintf (
      text, sizeof text,
      "GET /%s/%s HTTP/1.1\r\nHost: site.example\r\n"
      "X-Redwingfork-Request-Id: %s\r\n"
      "X-Redwingfork-Deadline-Ms: %d\r\n%s%s%s\r\n",
      client->route, client->crashing ? SOK_CRASHING_PATH : "x", client->id,
      TIME_LEFT_MS, soak->organisations ? "Authorization: Bearer " : "",
      client->key, soak->organisations ? "\r\n" : "");
  client->waiting = true;
  client->sent = rw_now ();
  h1_client_send (&client->link, (struct rw_str){ text, (size_t)len }, false);
  uv_timer_start (&client->timer, on_timer,
                  TIME_LEFT_MS + HELD_SLACK / RW_MSEC, 0);
}

static void
on_idle (struct h1_client *link)
{
  struct sok_client *client = link->arg;
  if (!client->waiting)
    pause_client (client, client->own_daemon != NULL ? OWN_PAUSE_MS : 1);
}

static enum h1_reply_result
on_reply (struct h1_client *link, const struct h1_message *reply)
{
  struct sok_client *client = link->arg;
  client->waiting = false;
  client->soak->answers[reply->status / 100 % 6]++;
  sok_check_answer (client, reply);
  /* What the quota or a revoked key refuses says nothing about the daemon.  */
  if (reply->status != 429 && reply->status != 401)
    sok_count_by_cut (client, reply->status == 200);
  return H1_REPLY_ACCEPTED;
}

static void
on_lost (struct h1_client *link, int code)
{
  struct sok_client *client = link->arg;
  rw_time now = rw_now ();
  (void)code;
  if (!client->waiting)
    return;
  client->waiting = false;
  client->soak->answers[0]++;
  sok_count_by_cut (client, false);
  if (sok_is_calm (client->daemon, client->sent)
      && now - client->sent > LOSS_SLACK)
    sok_fail (client->soak,
              "connection ended without answer: id=%s "
              "daemon=%zu stopping=%d",
              client->id, client->daemon->index, client->daemon->stopping);
}

static void
on_finished (struct h1_client *link)
{
  struct sok_client *client = link->arg;
  client->link_used = false;
  if (!client->soak->ended)
    pause_client (client, 5);
}

static const struct h1_client_ops client_ops = { .on_idle = on_idle,
                                                 .on_reply = on_reply,
                                                 .on_disconnect = on_lost,
                                                 .on_closed = on_finished };

static void
client_next (struct sok_client *client)
{
  struct sok_soak *soak = client->soak;
  struct sockaddr_in addr;
  if (soak->ended)
    return;
  if (client->link_used)
    {
      if (client->link.state == H1_CLIENT_IDLE)
        send_request (client);
      return;
    }
  if (client->own_daemon != NULL
      && !takes_callers (client->own_daemon, rw_now ()))
    {
      pause_client (client, OWN_PAUSE_MS);
      return;
    }
  client->daemon
      = client->own_daemon != NULL ? client->own_daemon : pick_daemon (soak);
  uv_ip4_addr (client->daemon->ip, SOK_CALLER_PORT, &addr);
  client->link_used = true;
  h1_client_init (&client->link, &soak->loop, (struct sockaddr *)&addr,
                  soak->scratch, &client_ops, client);
}

void
sok_client_init (struct sok_soak *soak, size_t index)
{
  struct sok_client *client = &soak->clients[index];
  client->soak = soak;
  if (index < soak->daemon_count)
    client->own_daemon = &soak->daemons[index];
  uv_timer_init (&soak->loop, &client->timer);
  client->timer.data = client;
  pause_client (client, 1500);
}

void
sok_client_stop (struct sok_client *client)
{
  uv_timer_stop (&client->timer);
  if (client->link_used)
    h1_client_close (&client->link);
}
