#include "target.h"

#include <jansson.h>
#include <stdlib.h>

/* Changes one searcher as the parameters of REQUEST tell.  */
typedef void (*control) (struct tgt_searcher *searcher,
                         const struct srv_request *request);

static void
control_cold (struct tgt_searcher *searcher, const struct srv_request *request)
{
  (void)request;
  mdl_go_cold (&searcher->model, rw_now ());
}

static void
control_warm (struct tgt_searcher *searcher, const struct srv_request *request)
{
  (void)request;
  mdl_warm (&searcher->model);
}

static void
control_restart (struct tgt_searcher *searcher,
                 const struct srv_request *request)
{
  searcher->restarts++;
  mdl_restart (&searcher->model, srv_param_int (request, "ms", 500) * RW_MSEC,
               rw_now ());
}

static void
control_shed (struct tgt_searcher *searcher, const struct srv_request *request)
{
  searcher->sheds_until
      = rw_now () + srv_param_int (request, "ms", 1000) * RW_MSEC;
}

static void
control_straggle (struct tgt_searcher *searcher,
                  const struct srv_request *request)
{
  searcher->model.config.straggler_share
      = (double)srv_param_int (request, "permille", 10) / 1000;
  searcher->model.config.straggler_factor
      = (double)srv_param_int (request, "factor", 20);
}

static void
control_freeze (struct tgt_searcher *searcher,
                const struct srv_request *request)
{
  searcher->frozen_until
      = rw_now () + srv_param_int (request, "ms", 1000) * RW_MSEC;
}

static void
control_drain (struct tgt_searcher *searcher,
               const struct srv_request *request)
{
  mdl_set_draining (&searcher->model, srv_param_int (request, "on", 1) != 0);
}

static void
control_lie (struct tgt_searcher *searcher, const struct srv_request *request)
{
  searcher->lie_load = srv_param_int (request, "load", TGT_NO_LIE);
}

static void
control_snapshot (struct tgt_searcher *searcher,
                  const struct srv_request *request)
{
  struct rw_str name = srv_param (request, "name");

  if (name.len > 0)
    rw_str_copy (searcher->snapshot, sizeof searcher->snapshot, name);
}

static void
control_reset (struct tgt_searcher *searcher,
               const struct srv_request *request)
{
  (void)request;
  searcher->model.stats = (struct mdl_stats){ .arrived = 0 };
  searcher->listener.peak_connections = searcher->listener.connections;
  searcher->listener.refused = 0;
}

static const struct
{
  const char *path;
  control apply;
} controls[] = {
  { "/control/cold", control_cold },
  { "/control/warm", control_warm },
  { "/control/restart", control_restart },
  { "/control/shed", control_shed },
  { "/control/straggle", control_straggle },
  { "/control/freeze", control_freeze },
  { "/control/drain", control_drain },
  { "/control/lie", control_lie },
  { "/control/snapshot", control_snapshot },
  { "/control/reset", control_reset },
};

/* Tells whether REQUEST is about SEARCHER: all are meant unless a target or a
   data centre is named.  */
static bool
is_meant (const struct tgt_searcher *searcher,
          const struct srv_request *request)
{
  struct rw_str target = srv_param (request, "target");
  struct rw_str dc = srv_param (request, "dc");

  return (target.len == 0 || rw_str_eq_cstr (target, searcher->name))
         && (dc.len == 0 || rw_str_eq_cstr (dc, searcher->dc));
}

static json_t *
searcher_stats (const struct tgt_searcher *searcher, rw_time now)
{
  const struct mdl_stats *s = &searcher->model.stats;
  json_int_t last = searcher->last_arrival != 0
                        ? (now - searcher->last_arrival) / RW_MSEC
                        : -1;

  return json_pack (
      "{s:s,s:s,s:i,s:s,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,s:I,"
      "s:i,s:i,s:i,s:i,s:i,s:I,s:I}",
      "target", searcher->name, "dc", searcher->dc, "shard", searcher->shard,
      "snapshot", searcher->snapshot, "in_it", searcher->model.in_flight,
      "bears", mdl_capacity (&searcher->model), "arrived",
      (json_int_t)s->arrived, "ok", (json_int_t)s->ok, "parts",
      (json_int_t)s->parts_ok, "shed", (json_int_t)s->shed, "refused",
      (json_int_t)s->refused, "failed", (json_int_t)s->failed, "expired",
      (json_int_t)s->expired, "cancelled", (json_int_t)s->cancelled, "falls",
      (json_int_t)s->crashes, "peak", s->peak_in_flight, "peak_permille",
      s->peak_permille, "peak_permille_unnoticed", s->peak_permille_undetected,
      "connections", searcher->listener.connections, "peak_connections",
      searcher->listener.peak_connections, "connections_refused",
      (json_int_t)searcher->listener.refused, "last_arrival_ms_ago", last);
}

/* GET /control/stats[?target=T][&dc=D].  */
static void
reply_stats (struct tgt *tgt, struct srv_request *request)
{
  json_t *list = json_array ();
  json_t *body;
  char *text;
  rw_time now = rw_now ();

  for (int i = 0; i < tgt->searchers_len; i++)
    if (is_meant (&tgt->searchers[i], request))
      json_array_append_new (list, searcher_stats (&tgt->searchers[i], now));
  body = json_pack ("{s:s,s:o,s:{s:i,s:I,s:i}}", "service", tgt->service,
                    "targets", list, "once", "keys", (int)tgt->once_len,
                    "runs", (json_int_t)tgt->once_runs, "most_runs",
                    (int)tgt->once_most);
  text = json_dumps (body, JSON_COMPACT);
  srv_add_header (request, "content-type", RW_LIT ("application/json"));
  srv_reply (request, 200, rw_str_from (text));
  free (text);
  json_decref (body);
}

/* GET /control/once?key=K.  */
static void
reply_once (struct tgt *tgt, struct srv_request *request)
{
  struct rw_buf out;

  rw_buf_init (&out);
  rw_buf_printf (&out, "{\"runs\":%u}",
                 tgt_once_runs (tgt, srv_param (request, "key")));
  srv_reply (request, 200, rw_buf_str (&out));
  rw_buf_finish (&out);
}

/* GET /control/map?snapshot=S: the document map/SERVICE for a snapshot.  */
static void
reply_map (struct tgt *tgt, struct srv_request *request)
{
  struct rw_str name = srv_param (request, "snapshot");
  char snapshot[TGT_SNAPSHOT_MAX];
  struct rw_buf out;

  rw_str_copy (snapshot, sizeof snapshot,
               name.len > 0 ? name : rw_str_from (tgt->searchers[0].snapshot));
  rw_buf_init (&out);
  tgt_print_map (tgt, snapshot, &out);
  srv_add_header (request, "content-type", RW_LIT ("application/json"));
  srv_reply (request, 200, rw_buf_str (&out));
  rw_buf_finish (&out);
}

static void
apply (struct tgt *tgt, struct srv_request *request, control change)
{
  int meant = 0;

  for (int i = 0; i < tgt->searchers_len; i++)
    {
      if (!is_meant (&tgt->searchers[i], request))
        continue;
      change (&tgt->searchers[i], request);
      tgt_run (tgt, &tgt->searchers[i]);
      meant++;
    }
  tgt_schedule (tgt);
  if (meant > 0)
    srv_reply (request, 200, RW_LIT ("ok\n"));
  else
    srv_reply (request, 404, RW_LIT ("no such target\n"));
}

/* Serves the control port, which only tests use.  */
void
tgt_on_control (void *data, struct srv_request *request)
{
  struct tgt *tgt = data;

  if (rw_str_eq_cstr (request->path, "/control/stats"))
    {
      reply_stats (tgt, request);
      return;
    }
  if (rw_str_eq_cstr (request->path, "/control/once"))
    {
      reply_once (tgt, request);
      return;
    }
  if (rw_str_eq_cstr (request->path, "/control/map"))
    {
      reply_map (tgt, request);
      return;
    }
  for (size_t i = 0; i < RW_ARRAY_LEN (controls); i++)
    if (rw_str_eq_cstr (request->path, controls[i].path))
      {
        apply (tgt, request, controls[i].apply);
        return;
      }
  srv_reply (request, 404, RW_LIT ("no such control\n"));
}
