#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "soak.h"

#define COMMAND_TIMEOUT_S 5

static void
on_site_exit (uv_process_t *process, int64_t status, int signum)
{
  struct sok_soak *soak = process->data;
  if (!soak->ended)
    sok_fail (soak, "the stand-ins ended: status=%lld signal=%d",
              (long long)status, signum);
}

/* Starts rwfsite and reads its ports from its first line.  */
int
sok_site_start (struct sok_soak *soak)
{
  char program[512];
  char shards[16];
  char line[128] = "";
  int fds[2];
  unsigned int store = 0;
  unsigned int control = 0;
  snprintf (program, sizeof program, "%s/rwfsite", soak->bin);
  snprintf (shards, sizeof shards, "%zu", soak->shards);
  char *args[] = { program, (char *)"-s", shards, NULL };
  uv_stdio_container_t stdio[3] = { { .flags = UV_IGNORE } };
  if (pipe (fds) != 0)
    return -1;
  stdio[1].flags = UV_INHERIT_FD;
  stdio[1].data.fd = fds[1];
  stdio[2].flags = UV_INHERIT_FD;
  stdio[2].data.fd = 2;
  uv_process_options_t options = { .file = program,
                                   .args = args,
                                   .stdio = stdio,
                                   .stdio_count = 3,
                                   .exit_cb = on_site_exit };
  soak->site.data = soak;
  if (uv_spawn (&soak->loop, &soak->site, &options) != 0)
    return -1;
  close (fds[1]);
  ssize_t n = read (fds[0], line, sizeof line - 1);
  close (fds[0]);
  if (n <= 0 || sscanf (line, "store=%u control=%u", &store, &control) != 2)
    return -1;
  uv_ip4_addr ("127.0.0.1", (int)store, &soak->store);
  uv_ip4_addr ("127.0.0.1", (int)control, &soak->control);
  return 0;
}

int
sok_command (struct sok_soak *soak, const char *method, const char *path,
             const char *body, char *answer, size_t size)
{
  char buf[8192];
  struct timeval limit = { COMMAND_TIMEOUT_S, 0 };
  size_t got = 0;
  ssize_t n;
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  if (connect (fd, (struct sockaddr *)&soak->control, sizeof soak->control)
      != 0)
    {
      close (fd);
      return -1;
    }
  int len = snprintf (buf, sizeof buf,
                      "%s %s HTTP/1.1\r\nConnection: close\r\n"
                      "Content-Length: %zu\r\n\r\n%s",
                      method, path, strlen (body), body);
  if (write (fd, buf, (size_t)len) != len)
    len = -1;
  while (got < sizeof buf - 1
         && (n = read (fd, buf + got, sizeof buf - 1 - got)) > 0)
    got += (size_t)n;
  close (fd);
  buf[got] = '\0';
  const char *end = strstr (buf, "\r\n\r\n");
  if (len < 0 || end == NULL)
    return -1;
  if (answer != NULL)
    snprintf (answer, size, "%s", end + 4);
  return 0;
}

static void
write_settings (struct sok_daemon *daemon)
{
  struct sok_soak *soak = daemon->soak;
  FILE *f = fopen (daemon->path, "w");
  if (f == NULL)
    return;
  fprintf (f,
           "RWF_NAME=vm-%zu\nRWF_DC=dc-%c\nRWF_CALLERS=%s:%d\n"
           "RWF_READY=%s:%d\nRWF_PEERS=%s:%d\nRWF_STORE=%s:%d\n"
           "RWF_SEEDS=%s.1:1,%s.2:1,%s.3:1\nRWF_MAX_FILES=1024\n"
           "RWF_CORES=%s\nRWF_TARGET_DRAIN_MS=3000\nRWF_STOP_S=6\n"
           "RWF_EXTRA_RATIO=0.2\nRWF_EXTRA_SLACK=100\n"
           "RWF_EXTRA_WINDOW_S=10\n"
           "RWF_QUOTA_OVERSHOOT=0.25\nRWF_QUOTA_SLACK=20\n",
           daemon->index, daemon->index % 2 == 0 ? 'a' : 'b', daemon->ip,
           SOK_CALLER_PORT, daemon->ip, SOK_READY_PORT, daemon->ip,
           SOK_PEER_PORT, daemon->ip, SOK_STORE_PORT, soak->net, soak->net,
           soak->net, daemon->index < 2 && soak->seed % 2 == 0 ? "1" : "0.2");
  if (soak->cuts)
    fprintf (f, "RWF_SOURCE=%s\n", daemon->ip);
  fclose (f);
}

static void
on_daemon_exit (uv_process_t *process, int64_t status, int signum)
{
  struct sok_daemon *daemon = process->data;
  struct sok_soak *soak = daemon->soak;
  rw_time now = rw_now ();
  daemon->running = false;
  daemon->frozen = false;
  if (soak->ended)
    return;
  if (signum != SIGKILL && (!daemon->stopping || status != 0))
    sok_fail (soak, "daemon %zu ended by itself: status=%lld signal=%d",
              daemon->index, (long long)status, signum);
  if (daemon->stopping && signum == 0
      && now - daemon->stop_began > 6 * RW_SEC + RW_SEC / 2)
    sok_fail (soak, "daemon %zu took %lld ms to stop", daemon->index,
              (long long)((now - daemon->stop_began) / RW_MSEC));
  uv_close ((uv_handle_t *)process, NULL);
  /* The handle's memory is free once the loop has run.  */
  daemon->restart = true;
  daemon->disturbed = now;
}

void
sok_daemon_start (struct sok_daemon *daemon)
{
  char program[512];
  char log[512];
  snprintf (program, sizeof program, "%s/rwfront", daemon->soak->bin);
  snprintf (log, sizeof log, "%s/vm-%zu.log", daemon->soak->work,
            daemon->index);
  int fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  char *args[] = { program, (char *)"-s", daemon->path, NULL };
  uv_stdio_container_t stdio[3] = { { .flags = UV_IGNORE } };
  stdio[1].flags = stdio[2].flags = UV_INHERIT_FD;
  stdio[1].data.fd = stdio[2].data.fd = fd;
  uv_process_options_t options = { .file = program,
                                   .args = args,
                                   .stdio = stdio,
                                   .stdio_count = 3,
                                   .exit_cb = on_daemon_exit };
  write_settings (daemon);
  daemon->process.data = daemon;
  daemon->restart = daemon->stopping = daemon->frozen = false;
  int r = uv_spawn (&daemon->soak->loop, &daemon->process, &options);
  close (fd);
  if (r != 0)
    sok_fail (daemon->soak, "cannot start a daemon: %s", uv_strerror (r));
  daemon->running = r == 0;
  daemon->disturbed = rw_now ();
}

void
sok_daemon_init (struct sok_soak *soak, size_t index)
{
  struct sok_daemon *daemon = &soak->daemons[index];
  daemon->soak = soak;
  daemon->index = index;
  snprintf (daemon->ip, sizeof daemon->ip, "%s.%zu", soak->net, index + 1);
  snprintf (daemon->path, sizeof daemon->path, "%s/vm-%zu.settings",
            soak->work, index);
  if (sok_proxy_init (&daemon->proxy, soak, daemon->ip) != 0)
    sok_fail (soak, "cannot listen on %s", daemon->ip);
  sok_daemon_start (daemon);
}

void
sok_daemon_signal (struct sok_daemon *daemon, int signum)
{
  if (daemon->running)
    uv_process_kill (&daemon->process, signum);
}

/* Ends what this soak started, and nothing else.  */
void
sok_kill_all (struct sok_soak *soak)
{
  for (size_t i = 0; i < soak->daemon_count; i++)
    sok_daemon_signal (&soak->daemons[i], SIGKILL);
  uv_process_kill (&soak->site, SIGKILL);
}
