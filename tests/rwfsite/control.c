#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "site.h"

/* PUT /item/KEY (body: the value), DELETE /item/KEY
   POST /store/up|busy|silent|reset|compact
   POST /store/backup
   POST /store/restore (goes back to the backup, in the next era)
   POST /store/era (states an era from now on)
   POST /searcher/ID/none|hang|error|shed|reset|repeat|drain|stop
   POST /searcher/ID/start (as another process, if it had stopped or announced)
   POST /searcher/ID/publish (writes its entry again)
   POST /searcher/ID/announce/0|1 (says in its answers that it leaves)
   POST /searcher/ID/hold/MS (Retry-After of its refusals; 0: none)
   POST /searcher/ID/limit/N (names a limit of N tenths of a request a second
   in its answers; 0: none)
   POST /searcher/ID/pause/MS, POST /searcher/ID/work/MS
   POST /searcher/ID/waiting/N (requests that it reports as waiting)
   POST /searcher/ID/version/N (of its software, from its next entry on)
   POST /searcher/ID/crash
   POST /crash/N/PATH (requests for /PATH crash searchers of versions up to N;
   0: none)
   POST /ways/ADDRESS/open|refused|reset (of the daemon to all searchers)
   GET /report, GET /ran/SERVICE/ID
   POST /organisation/NAME/RATE/BURST (the quota that its requests are checked
   by) GET /organisation/NAME (requests in its name; no NAME: in that of none)
   GET /keys (requests that carried a caller's key)  */

static void
answer (struct h1_conn *conn, int status, struct rw_str body)
{
  struct h1_reply reply = { .status = status, .body = body };
  h1_conn_reply (conn, &reply);
}

static bool
set_store (struct site *site, struct rw_str mode)
{
  if (rw_str_eq_cstr (mode, "up"))
    site->mode = SITE_STORE_UP;
  else if (rw_str_eq_cstr (mode, "busy"))
    site->mode = SITE_STORE_BUSY;
  else if (rw_str_eq_cstr (mode, "silent"))
    site->mode = SITE_STORE_SILENT;
  else if (rw_str_eq_cstr (mode, "reset"))
    site->mode = SITE_STORE_RESET;
  else if (rw_str_eq_cstr (mode, "compact"))
    site->compacted = site->revision;
  else if (rw_str_eq_cstr (mode, "backup"))
    site_backup (site);
  else if (rw_str_eq_cstr (mode, "restore"))
    site_restore (site);
  else if (rw_str_eq_cstr (mode, "era"))
    site->era = site->era > 0 ? site->era : 1;
  else
    return false;
  return true;
}

static bool
set_fault (struct site_searcher *s, struct rw_str what)
{
  static const struct
  {
    const char *name;
    enum site_fault fault;
  } faults[]
      = { { "none", SITE_FAULT_NONE },   { "hang", SITE_FAULT_HANG },
          { "error", SITE_FAULT_ERROR }, { "shed", SITE_FAULT_SHED },
          { "reset", SITE_FAULT_RESET }, { "repeat", SITE_FAULT_REPEAT } };
  for (size_t i = 0; i < RW_ARRAY_LEN (faults); i++)
    if (rw_str_eq_cstr (what, faults[i].name))
      {
        s->fault = faults[i].fault;
        return true;
      }
  return false;
}

static bool
set_state (struct site_searcher *s, struct rw_str what)
{
  if (rw_str_eq_cstr (what, "drain"))
    s->draining = true;
  else if (rw_str_eq_cstr (what, "stop"))
    s->stopped = true;
  else if (rw_str_eq_cstr (what, "start"))
    {
      s->born += s->stopped || s->announces;
      s->stopped = s->draining = s->announces = false;
      s->announced = 0;
    }
  else if (!rw_str_eq_cstr (what, "publish"))
    return false;
  s->changed = s->stopped || s->draining ? rw_now () : 0;
  site_searcher_publish (s);
  return true;
}

static bool
set_searcher (struct site *site, struct rw_str path)
{
  struct rw_str id = rw_str_token (&path, "/");
  struct rw_str what = rw_str_token (&path, "/");
  struct rw_str value = rw_str_token (&path, "/");
  int64_t number = 0;
  for (size_t i = 0; i < site->searcher_count; i++)
    {
      struct site_searcher *s = &site->searchers[i];
      if (!rw_str_eq_cstr (id, s->id))
        continue;
      rw_str_to_int (value, 0, 600000, &number);
      if (rw_str_eq_cstr (what, "pause"))
        s->paused_until = rw_now () + number * RW_MSEC;
      else if (rw_str_eq_cstr (what, "work"))
        s->work = number * RW_MSEC;
      else if (rw_str_eq_cstr (what, "version"))
        s->version = (unsigned int)number;
      else if (rw_str_eq_cstr (what, "crash"))
        site_searcher_crash (s);
      else if (rw_str_eq_cstr (what, "waiting"))
        s->waiting = (unsigned int)number;
      else if (rw_str_eq_cstr (what, "announce"))
        {
          s->announces = number != 0;
          s->announced = 0;
        }
      else if (rw_str_eq_cstr (what, "limit"))
        site_searcher_limit (s, number > 0 ? (double)number / 10 : -1);
      else if (rw_str_eq_cstr (what, "hold"))
        s->hold_ms = (unsigned int)number;
      else if (!set_fault (s, what) && !set_state (s, what))
        return false;
      return true;
    }
  return false;
}

static bool
set_ways (struct site *site, struct rw_str path)
{
  char source[32];
  struct sockaddr_in addr;
  rw_str_copy (source, sizeof source, rw_str_token (&path, "/"));
  struct rw_str ways = rw_str_token (&path, "/");
  if (uv_ip4_addr (source, 0, &addr) != 0)
    return false;
  site_set_ways (site, ntohl (addr.sin_addr.s_addr),
                 rw_str_eq_cstr (ways, "refused") ? SITE_WAYS_REFUSED
                 : rw_str_eq_cstr (ways, "reset") ? SITE_WAYS_RESET
                                                  : SITE_WAYS_OPEN);
  return true;
}

/* Counts anew, too.  */
static bool
set_crash (struct site *site, struct rw_str path)
{
  int64_t version = 0;
  if (rw_str_to_int (rw_str_token (&path, "/"), 0, 1000, &version) != 0)
    return false;
  site->crash = (struct site_crash){ .max_version = (unsigned int)version };
  rw_str_copy (site->crash.path, sizeof site->crash.path, path);
  return true;
}

static bool
set_quota (struct site *site, struct rw_str path)
{
  struct rw_str name = rw_str_token (&path, "/");
  int64_t rate;
  int64_t burst;
  if (rw_str_to_int (rw_str_token (&path, "/"), 0, 1000, &rate) != 0
      || rw_str_to_int (rw_str_token (&path, "/"), 0, 1000, &burst) != 0)
    return false;
  site_set_quota (site, name, (double)rate, (double)burst);
  return true;
}

static void
report (struct site *site, struct h1_conn *conn)
{
  struct rw_buf out;
  uint64_t late = 0;
  uint64_t uninvited = 0;
  uint64_t over_limit = 0;
  for (size_t i = 0; i < site->searcher_count; i++)
    {
      late += site->searchers[i].late;
      uninvited += site->searchers[i].uninvited;
      over_limit += site->searchers[i].over_limit;
    }
  rw_buf_init (&out);
  rw_buf_printf (&out,
                 "calls=%llu ran=%llu twice=%llu late=%llu "
                 "uninvited=%llu beyond=%llu ends=%llu deadly=%llu "
                 "late_deadly=%llu over=%llu over_quota=%llu keys=%llu "
                 "unnamed=%llu\n",
                 (unsigned long long)site->calls,
                 (unsigned long long)site->ran,
                 (unsigned long long)site->twice, (unsigned long long)late,
                 (unsigned long long)uninvited, (unsigned long long)over_limit,
                 (unsigned long long)site->crash.ends,
                 (unsigned long long)site->crash.runs,
                 (unsigned long long)site->crash.late_runs,
                 (unsigned long long)site->over,
                 (unsigned long long)site_over_quota (site),
                 (unsigned long long)site->keys_seen,
                 (unsigned long long)site_requests_of (site, RW_LIT ("")));
  answer (conn, 200, rw_buf_str (&out));
  rw_buf_finish (&out);
}

/* How often the request ID ran at SERVICE.  */
static void
report_runs (struct site *site, struct h1_conn *conn, struct rw_str path)
{
  char text[32];
  rw_str_token (&path, "/");
  struct rw_str service = rw_str_token (&path, "/");
  struct rw_str id = rw_str_token (&path, "/");
  const struct site_run *run
      = rw_map_get (&site->runs, rw_hash_pair (id, service));
  int len = snprintf (text, sizeof text, "%u", run != NULL ? run->count : 0);
  answer (conn, 200, (struct rw_str){ text, (size_t)len });
}

static void
answer_count (struct h1_conn *conn, uint64_t count)
{
  char text[32];
  int len = snprintf (text, sizeof text, "%llu", (unsigned long long)count);
  answer (conn, 200, (struct rw_str){ text, (size_t)len });
}

static bool
change (struct site *site, const struct h1_message *message)
{
  struct rw_str path = message->target;
  char key[200];
  if (rw_str_starts (path, RW_LIT ("/item/")))
    {
      path.ptr += 6;
      path.len -= 6;
      rw_str_copy (key, sizeof key, path);
      site_put (site, key,
                message->method == HTTP_DELETE ? NULL : message->body.ptr,
                message->body.len);
      return true;
    }
  struct rw_str kind = rw_str_token (&path, "/");
  if (rw_str_eq_cstr (kind, "store"))
    return set_store (site, rw_str_token (&path, "/"));
  if (rw_str_eq_cstr (kind, "crash"))
    return set_crash (site, path);
  if (rw_str_eq_cstr (kind, "ways"))
    return set_ways (site, path);
  if (rw_str_eq_cstr (kind, "organisation"))
    return set_quota (site, path);
  if (rw_str_eq_cstr (kind, "searcher"))
    return set_searcher (site, path);
  return false;
}

static void
on_request (void *arg, struct h1_conn *conn, const struct h1_message *message)
{
  struct site *site = arg;
  struct rw_str name = message->target;
  if (rw_str_eq_cstr (message->target, "/report"))
    report (site, conn);
  else if (rw_str_eq_cstr (message->target, "/keys"))
    answer_count (conn, site->keys_seen);
  else if (message->method == HTTP_GET
           && rw_str_starts (name, RW_LIT ("/organisation/")))
    {
      (void)rw_str_token (&name, "/");
      answer_count (conn, site_requests_of (site, rw_str_token (&name, "/")));
    }
  else if (rw_str_starts (message->target, RW_LIT ("/ran/")))
    report_runs (site, conn, message->target);
  else
    answer (conn, change (site, message) ? 200 : 404, RW_LIT (""));
}

static const struct h1_server_ops control_ops = {
  .on_request = on_request,
};

int
site_control_init (struct site *site, uint16_t port)
{
  return site_listen (site, &site->control, port, &control_ops, site);
}
