/* rwfscn: runs a scenario file in virtual time.  A scenario passes if its
   expectations hold, and if at least one of them fails with each mechanism
   switched off that a line "fails-without" names.  */

#include "world.h"

#include <argp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "rules.h"

#define MAX_WORDS 16
#define MAX_EXPECTS 32
#define MAX_WITHOUT 8

struct step
{
  rw_time at;
  int line;
  struct rw_str text;
  struct rw_str rules; /* the lines with "|" that follow */
};

struct expect
{
  int line;
  struct rw_str metric;
  struct rw_str op;
  double value;
};

struct script
{
  const char *path;
  struct rw_arena arena;
  struct step *steps;
  size_t step_count;
  struct expect expects[MAX_EXPECTS];
  size_t expect_count;
  unsigned int without[MAX_WITHOUT];
  size_t without_count;
  uint64_t seed;
  rw_time run;
};

static const struct
{
  const char *name;
  unsigned int mask;
} MECHANISMS[] = {
  { "lease", NOD_MECH_LEASE },
  { "ramp", NOD_MECH_RAMP },
  { "hedge", NOD_MECH_HEDGE },
  { "budget", NOD_MECH_BUDGET },
  { "snapshot", NOD_MECH_SNAPSHOT },
  { "shares", NOD_MECH_SHARES },
  { "refusal", NOD_MECH_REFUSAL },
  { "at-most-once", NOD_MECH_AT_MOST_ONCE },
  { "message-age", NOD_MECH_MESSAGE_AGE },
  { "monotonic", NOD_MECH_MONOTONIC },
  { "spread", NOD_MECH_SPREAD },
  { "handoff", NOD_MECH_HANDOFF },
  { "route-out", NOD_MECH_ROUTE_OUT },
  { "true-coverage", NOD_MECH_TRUE_COVERAGE },
  { "identity", NOD_MECH_IDENTITY },
};

static void __attribute__ ((noreturn))
fail_at (const struct script *script, int line, const char *what)
{
  fprintf (stderr, "rwfscn: %s:%d: %s\n", script->path, line, what);
  exit (2);
}

static unsigned int
mechanism (struct rw_str name)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (MECHANISMS); i++)
    if (rw_str_eq_cstr (name, MECHANISMS[i].name))
      return MECHANISMS[i].mask;
  return 0;
}

static const char *
mechanism_name (unsigned int mask)
{
  for (size_t i = 0; i < RW_ARRAY_LEN (MECHANISMS); i++)
    if (MECHANISMS[i].mask == mask)
      return MECHANISMS[i].name;
  return "?";
}

static bool
duration (struct rw_str s, rw_time *value)
{
  int64_t number;

  if (s.len > 2 && s.ptr[s.len - 2] == 'u' && s.ptr[s.len - 1] == 's')
    {
      s.len -= 2;
      if (rw_str_to_int (s, 0, 1000000000, &number) < 0)
        return false;
      *value = number;
      return true;
    }
  if (rw_str_eq_cstr (s, "0s"))
    {
      *value = 0;
      return true;
    }
  return rw_str_to_duration (s, value) == 0;
}

/* Reading of the file.  */

static void
parse_expect (struct script *script, int line, struct rw_str rest)
{
  struct expect *expect = &script->expects[script->expect_count++];
  struct rw_str value;
  char text[32];

  if (script->expect_count == MAX_EXPECTS)
    fail_at (script, line, "too many expectations");
  expect->line = line;
  expect->metric = rw_str_token (&rest, " ");
  expect->op = rw_str_token (&rest, " ");
  value = rw_str_token (&rest, " ");
  rw_str_copy (text, sizeof text, value);
  expect->value = strtod (text, NULL);
  if (value.len == 0)
    fail_at (script, line, "expected METRIC OPERATOR NUMBER");
}

static void
parse_step (struct script *script, int line, rw_time at, struct rw_str text)
{
  struct step *step;

  script->steps = rw_xrealloc (script->steps, (script->step_count + 1)
                                                  * sizeof *script->steps);
  step = &script->steps[script->step_count++];
  *step = (struct step){ at, line, rw_str_trim (text), RW_LIT ("") };
}

static void
add_rule_line (struct script *script, int line, struct rw_str text)
{
  struct step *step;

  if (script->step_count == 0)
    fail_at (script, line, "a line with | follows a rules step");
  step = &script->steps[script->step_count - 1];
  step->rules = rw_arena_printf (&script->arena, "%.*s%.*s\n",
                                 RW_STR_ARG (step->rules), RW_STR_ARG (text));
}

static void
parse_line (struct script *script, int line, struct rw_str text)
{
  struct rw_str rest = text;
  struct rw_str word = rw_str_token (&rest, " ");
  int64_t number;
  rw_time at;

  if (rw_str_eq_cstr (word, "seed"))
    {
      if (rw_str_to_int (rw_str_trim (rest), 0, INT64_MAX, &number) < 0)
        fail_at (script, line, "expected a number");
      script->seed = (uint64_t)number;
    }
  else if (rw_str_eq_cstr (word, "run"))
    {
      if (!duration (rw_str_trim (rest), &script->run))
        fail_at (script, line, "expected a duration");
    }
  else if (rw_str_eq_cstr (word, "fails-without"))
    {
      unsigned int mask = mechanism (rw_str_trim (rest));

      if (mask == 0 || script->without_count == MAX_WITHOUT)
        fail_at (script, line, "unknown mechanism");
      script->without[script->without_count++] = mask;
    }
  else if (rw_str_eq_cstr (word, "expect"))
    parse_expect (script, line, rest);
  else if (rw_str_eq_cstr (word, "at"))
    {
      if (!duration (rw_str_token (&rest, " "), &at))
        fail_at (script, line, "expected a time");
      parse_step (script, line, at, rest);
    }
  else
    parse_step (script, line, 0, text);
}

static void
parse_script (struct script *script, struct rw_str text)
{
  int line = 0;

  while (text.len > 0)
    {
      const char *end = memchr (text.ptr, '\n', text.len);
      size_t len = end != NULL ? (size_t)(end - text.ptr) : text.len;
      struct rw_str row = rw_str_trim ((struct rw_str){ text.ptr, len });

      line++;
      text.ptr += end != NULL ? len + 1 : len;
      text.len -= end != NULL ? len + 1 : len;
      if (row.len == 0 || row.ptr[0] == '#')
        continue;
      if (row.ptr[0] == '|')
        add_rule_line (script, line,
                       (struct rw_str){ row.ptr + 1, row.len - 1 });
      else
        parse_line (script, line, row);
    }
}

static struct rw_str
read_file (struct script *script)
{
  FILE *file = fopen (script->path, "r");
  struct rw_buf buf;
  char chunk[4096];
  size_t n;
  struct rw_str text;

  if (file == NULL)
    fail_at (script, 0, "cannot be opened");
  rw_buf_init (&buf);
  while ((n = fread (chunk, 1, sizeof chunk, file)) > 0)
    rw_buf_append (&buf, chunk, n);
  fclose (file);
  text = rw_arena_str (&script->arena, rw_buf_str (&buf));
  rw_buf_finish (&buf);
  return text;
}

/* Steps.  */

struct run
{
  const struct script *script;
  struct scn_world world;
  rw_time start;
  const struct step *step;
  char words[MAX_WORDS][SCN_NAME];
  size_t count;
};

static void __attribute__ ((noreturn))
fail_step (const struct run *run, const char *what)
{
  fail_at (run->script, run->step->line, what);
}

/* Returns the value of the word "NAME=VALUE", or DEFAULT_VALUE.  */
static const char *
option (const struct run *run, const char *name, const char *default_value)
{
  size_t len = strlen (name);

  for (size_t i = 1; i < run->count; i++)
    if (strncmp (run->words[i], name, len) == 0 && run->words[i][len] == '=')
      return run->words[i] + len + 1;
  return default_value;
}

static int
option_int (const struct run *run, const char *name, const char *fallback)
{
  int64_t value;

  if (rw_str_to_int (rw_str_from (option (run, name, fallback)), 0, 100000,
                     &value)
      < 0)
    fail_step (run, "expected a number");
  return (int)value;
}

static rw_time
option_time (const struct run *run, const char *name, const char *fallback)
{
  rw_time value;

  if (!duration (rw_str_from (option (run, name, fallback)), &value))
    fail_step (run, "expected a duration");
  return value;
}

static size_t
daemon_index (const struct run *run, const char *name)
{
  struct scn_daemon *daemon
      = scn_daemon ((struct scn_world *)&run->world, name);

  if (daemon == NULL)
    fail_step (run, "no such daemon");
  return (size_t)(daemon - run->world.daemons);
}

static void
service_config (const struct run *run, struct mdl_config *config)
{
  config->slots = option_int (run, "slots", "2");
  config->max_connections = option_int (run, "connections", "50");
  config->connect_time = option_time (run, "connect", "6ms");
  config->service_time.kind = MDL_TIME_LOGNORMAL;
  config->service_time.u.lognormal.median = option_time (run, "time", "3ms");
  config->service_time.u.lognormal.sigma = 0.35;
  config->time_per_part = config->service_time.u.lognormal.median / 10;
  config->cold_capacity = option_int (run, "cold", "1");
  config->requests_per_slot = option_int (run, "warm", "8");
  config->cold_factor = option_int (run, "cold-factor", "6");
  config->crash_downtime = option_time (run, "fall", "1s");
  config->straggler_share = option_int (run, "straggle", "0") / 100.0;
  config->straggler_factor = 20;
  config->detection_delay = option_time (run, "notice", "20ms");
}

static void
do_service (struct run *run)
{
  struct scn_service *service = rw_xcalloc (1, sizeof *service);
  struct mdl_config config = { 0 };
  char dcs[SCN_NAME];
  char *names[8] = { NULL };
  size_t dc_count = 0;

  rw_str_copy (service->name, sizeof service->name,
               rw_str_from (run->words[1]));
  service->once = option_int (run, "once", "0") != 0;
  service->shards = (uint32_t)option_int (run, "shards", "4");
  service->replicas = (uint32_t)option_int (run, "replicas", "2");
  service->records = (uint32_t)option_int (run, "records", "24");
  service->searcher_count = (size_t)service->shards * service->replicas;
  service->searchers
      = rw_xcalloc (service->searcher_count, sizeof *service->searchers);
  rw_str_copy (service->snapshot, sizeof service->snapshot,
               rw_str_from ("s1"));
  rw_str_copy (dcs, sizeof dcs, rw_str_from (option (run, "dcs", "a")));
  for (char *dc = strtok (dcs, ","); dc != NULL && dc_count < 8;
       dc = strtok (NULL, ","))
    names[dc_count++] = dc;
  if (dc_count == 0 || service->shards == 0)
    fail_step (run, "expected shards=N dcs=NAME,...");
  service_config (run, &config);
  for (size_t i = 0; i < service->searcher_count; i++)
    {
      struct scn_searcher *searcher = &service->searchers[i];

      snprintf (searcher->name, sizeof searcher->name, "%.40s-%02zu",
                service->name, i);
      /* The replicas of a shard are in different data centres.  */
      rw_str_copy (searcher->dc, sizeof searcher->dc,
                   rw_str_from (names[(i + i / service->shards) % dc_count]));
      searcher->service = service;
      rw_str_copy (searcher->snapshot, sizeof searcher->snapshot,
                   rw_str_from (service->snapshot));
      searcher->shards = service->shards;
      searcher->out_since = RW_TIME_NEVER;
      mdl_searcher_init (&searcher->model, &config,
                         rw_rng_next (&run->world.rng));
    }
  service->next = run->world.services;
  run->world.services = service;
  scn_publish_map (&run->world, service);
}

/* Notes since when the rules keep work from each searcher.  */
static void
note_out (struct run *run, const struct rul_table *rules)
{
  struct scn_world *world = &run->world;

  for (struct scn_service *s = world->services; s != NULL; s = s->next)
    for (size_t i = 0; i < s->searcher_count; i++)
      {
        struct scn_searcher *searcher = &s->searchers[i];
        bool out = rul_data_centre (rules, rw_str_from (searcher->dc)).out
                   || rul_target (rules, rw_str_from (searcher->name),
                                  rw_str_from (s->name))
                          .leaving;

        if (!out)
          searcher->out_since = RW_TIME_NEVER;
        else if (searcher->out_since == RW_TIME_NEVER)
          searcher->out_since = world->now;
      }
}

static void
do_rules (struct run *run)
{
  struct rul_table table;
  struct rul_error error;

  rul_init (&table);
  if (rul_parse (&table, run->step->rules, &error) == 0)
    note_out (run, &table);
  rul_finish (&table);
  scn_publish (&run->world, "rules", run->step->rules);
}

static void
do_load (struct run *run)
{
  struct scn_world *world = &run->world;
  struct scn_load *load = rw_xcalloc (1, sizeof *load);

  if (run->count < 5)
    fail_step (run, "expected load CLASS SERVICE RATE DURATION");
  rw_str_copy (load->caller_class, sizeof load->caller_class,
               rw_str_from (run->words[1]));
  load->service = scn_service (world, run->words[2]);
  load->rate = strtod (run->words[3], NULL);
  if (load->service == NULL || load->rate <= 0
      || !duration (rw_str_from (run->words[4]), &load->until))
    fail_step (run, "expected load CLASS SERVICE RATE DURATION");
  load->until += world->now;
  load->timeout = option_time (run, "timeout", "0s");
  load->repeat = option_int (run, "repeat", "0") / 100.0;
  world->loads = rw_xrealloc (world->loads,
                              (world->load_count + 1) * sizeof *world->loads);
  world->loads[world->load_count++] = load;
  scn_event (world, world->now, SCN_LOAD)->object = load;
}

static void
do_cut (struct run *run, bool both)
{
  size_t from = daemon_index (run, run->words[1]);

  for (size_t i = 2; i < run->count; i++)
    {
      size_t to = daemon_index (run, run->words[i]);

      scn_cut (&run->world, from, to, true);
      if (both)
        scn_cut (&run->world, to, from, true);
    }
}

static void
do_heal (struct run *run)
{
  memset (run->world.cut, 0, sizeof run->world.cut);
  for (size_t i = 0; i < run->world.daemon_count; i++)
    run->world.daemons[i].targets_cut = false;
}

static void
do_platform (struct run *run)
{
  for (size_t i = 0; i < run->world.daemon_count; i++)
    {
      struct scn_daemon *daemon = &run->world.daemons[i];
      bool named = strcmp (run->words[2], "all") == 0;

      for (size_t j = 2; j < run->count; j++)
        named = named || strcmp (run->words[j], daemon->name) == 0;
      if (!named)
        continue;
      daemon->platform_down = strcmp (run->words[1], "down") == 0;
      daemon->platform_stale = strcmp (run->words[1], "stale") == 0;
    }
}

static void
do_repartition (struct run *run)
{
  struct scn_service *service = scn_service (&run->world, run->words[1]);
  rw_time spread = option_time (run, "spread", "0s");

  if (service == NULL || run->count < 4)
    fail_step (run, "expected repartition SERVICE SNAPSHOT SHARDS");
  rw_str_copy (service->snapshot, sizeof service->snapshot,
               rw_str_from (run->words[2]));
  service->shards = (uint32_t)strtoul (run->words[3], NULL, 10);
  for (size_t i = 0; i < service->searcher_count; i++)
    {
      struct scn_event *event = scn_event (
          &run->world,
          run->world.now
              + (rw_time)rw_rng_below (&run->world.rng, (uint64_t)spread + 1),
          SCN_SWITCH_SNAPSHOT);

      event->object = &service->searchers[i];
      event->value = service->shards;
      rw_str_copy (event->text, sizeof event->text,
                   rw_str_from (service->snapshot));
    }
  scn_publish_map (&run->world, service);
}

static void
do_targets (struct run *run)
{
  struct scn_world *world = &run->world;

  for (struct scn_service *s = world->services; s != NULL; s = s->next)
    for (size_t i = 0; i < s->searcher_count; i++)
      {
        struct scn_searcher *searcher = &s->searchers[i];

        if (strcmp (run->words[1], "all") != 0
            && strcmp (run->words[1], s->name) != 0
            && strcmp (run->words[1], searcher->name) != 0)
          continue;
        if (strcmp (run->words[0], "warm") == 0)
          mdl_warm (&searcher->model);
        else if (strcmp (run->words[0], "cold") == 0)
          mdl_go_cold (&searcher->model, world->now);
        else
          mdl_restart (&searcher->model, option_time (run, "down", "1s"),
                       world->now);
        scn_model_schedule (world, searcher);
      }
}

static void
do_daemons (struct run *run)
{
  const char *verb = run->words[0];

  for (size_t i = 0; i < run->world.daemon_count; i++)
    {
      struct scn_daemon *daemon = &run->world.daemons[i];
      rw_time pause;

      if (strcmp (run->words[1], "all") != 0
          && strcmp (run->words[1], daemon->name) != 0)
        continue;
      if (strcmp (verb, "start") == 0)
        scn_start (&run->world, i);
      else if (strcmp (verb, "kill") == 0)
        scn_kill (&run->world, i, false);
      else if (strcmp (verb, "restart") == 0)
        {
          scn_kill (&run->world, i, false);
          scn_start (&run->world, i);
        }
      else if (strcmp (verb, "cut-targets") == 0)
        daemon->targets_cut = true;
      else if (strcmp (verb, "unlist") == 0)
        daemon->listed = false;
      else if (strcmp (verb, "stop") == 0 && daemon->node != NULL)
        {
          daemon->stopping = true;
          nod_drain (daemon->node, run->world.now);
          scn_drain_actions (&run->world, i);
        }
      else if (strcmp (verb, "freeze") == 0)
        {
          if (!duration (rw_str_from (run->words[2]), &pause))
            fail_step (run, "expected freeze NAME DURATION");
          daemon->frozen_until = run->world.now + pause;
        }
    }
}

static void
do_world (struct run *run)
{
  const char *verb = run->words[0];

  if (strcmp (verb, "daemon") == 0)
    scn_add_daemon (&run->world, run->words[1], run->words[2]);
  else if (strcmp (verb, "delay") == 0)
    {
      run->world.delay_local = option_time (run, "local", "200us");
      run->world.delay_dc = option_time (run, "dc", "1500us");
      run->world.platform_delay = option_time (run, "platform", "3ms");
    }
  else if (strcmp (verb, "loss") == 0)
    run->world.loss = strtod (run->words[1], NULL) / 100;
  else if (strcmp (verb, "crossed") == 0)
    run->world.crossed = strtod (run->words[1], NULL) / 100;
  else if (strcmp (verb, "service") == 0)
    do_service (run);
  else if (strcmp (verb, "vms") == 0)
    scn_publish_vms (&run->world);
  else if (strcmp (verb, "rules") == 0)
    do_rules (run);
  else if (strcmp (verb, "load") == 0)
    do_load (run);
  else if (strcmp (verb, "cut") == 0)
    do_cut (run, true);
  else if (strcmp (verb, "cut-from") == 0)
    do_cut (run, false);
  else if (strcmp (verb, "heal") == 0)
    do_heal (run);
  else if (strcmp (verb, "platform") == 0)
    do_platform (run);
  else if (strcmp (verb, "repartition") == 0)
    do_repartition (run);
  else
    fail_step (run, "unknown step");
}

static void
do_step (struct run *run, const struct step *step)
{
  static const char *const DAEMON_VERBS[] = { "start", "kill",   "restart",
                                              "stop",  "freeze", "cut-targets",
                                              "unlist" };
  static const char *const TARGET_VERBS[]
      = { "warm", "cold", "restart-target" };
  struct rw_str rest = step->text;

  run->step = step;
  memset (run->words, 0, sizeof run->words);
  for (run->count = 0; run->count < MAX_WORDS; run->count++)
    {
      struct rw_str word = rw_str_token (&rest, " ");

      if (word.len == 0)
        break;
      rw_str_copy (run->words[run->count], SCN_NAME, word);
    }
  for (size_t i = 0; i < RW_ARRAY_LEN (DAEMON_VERBS); i++)
    if (strcmp (run->words[0], DAEMON_VERBS[i]) == 0)
      {
        do_daemons (run);
        return;
      }
  for (size_t i = 0; i < RW_ARRAY_LEN (TARGET_VERBS); i++)
    if (strcmp (run->words[0], TARGET_VERBS[i]) == 0)
      {
        do_targets (run);
        return;
      }
  do_world (run);
}

/* Figures.  */

struct target_figures
{
  double overrun;
  uint64_t late_work;
  uint64_t double_runs;
  uint64_t false_not_run;
  uint64_t false_ran;
  uint64_t late_runs;
  uint64_t unanswered;
  uint64_t exchanges;
};

static struct target_figures
collect (const struct scn_world *world)
{
  struct target_figures f = { 0 };

  for (struct scn_service *s = world->services; s != NULL; s = s->next)
    for (size_t i = 0; i < s->searcher_count; i++)
      {
        const struct mdl_stats *stats = &s->searchers[i].model.stats;

        if (stats->peak_permille / 1000.0 > f.overrun)
          f.overrun = stats->peak_permille / 1000.0;
        f.late_work += s->searchers[i].late_work;
        f.exchanges += stats->arrived;
      }
  for (size_t i = 0; i < world->request_count; i++)
    {
      const struct scn_request *request = world->requests[i];

      f.unanswered += request->answered ? 0 : 1;
      if (!request->service->once)
        continue;
      if (request->first != NULL)
        {
          f.false_ran += request->ran == 1 && request->first->runs == 0;
          continue;
        }
      f.double_runs += request->runs > 1 ? 1 : 0;
      f.false_not_run += request->ran == 0 && request->runs != 0
                         && !request->repeated_unrun;
      f.late_runs += request->late ? 1 : 0;
      f.false_ran += request->ran == 1 && request->runs == 0 ? 1 : 0;
    }
  return f;
}

static double
ratio (uint64_t part, uint64_t whole)
{
  return whole != 0 ? (double)part / (double)whole : 0;
}

/* The figure NAME of the requests of one caller class: the 99th percentile of
   the latency, or the share of the shards that searches covered; a search
   without answer covers nothing.  */
static bool
class_figure (const struct scn_world *world, struct rw_str name,
              struct rw_str class_name, double *value)
{
  struct rw_hist *hist = rw_xcalloc (1, sizeof *hist);
  uint64_t covered = 0;
  uint64_t shards = 0;
  bool known = true;

  for (size_t i = 0; i < world->request_count; i++)
    {
      const struct scn_request *request = world->requests[i];

      if (!rw_str_eq_cstr (class_name, request->caller_class))
        continue;
      if (request->shards != 0)
        rw_hist_add (hist, request->took);
      covered += request->covered;
      shards += request->service->shards;
    }
  if (rw_str_eq_cstr (name, "p99-ms"))
    *value = (double)rw_hist_quantile (hist, 0.99) / 1000;
  else if (rw_str_eq_cstr (name, "coverage"))
    *value = ratio (covered, shards);
  else
    known = false;
  free (hist);
  return known;
}

static bool
figure (const struct scn_world *world, struct rw_str name, double *value)
{
  const struct scn_figures *f = &world->figures;
  struct target_figures t = collect (world);
  const struct
  {
    const char *name;
    double value;
  } table[] = {
    { "requests", (double)f->requests },
    { "answered", ratio (f->answered, f->requests) },
    { "errors", (double)f->errors },
    { "error-share", ratio (f->errors, f->requests) },
    { "complete-share", ratio (f->complete, f->requests) },
    { "coverage", ratio (f->covered, f->shards) },
    { "mixed-snapshots", (double)f->mixed_snapshots },
    { "false-coverage", (double)f->false_coverage },
    { "crossed", (double)f->crossed },
    { "double-answers", (double)f->double_answers },
    { "cut-by-stop", (double)f->cut_by_stop },
    { "cut-by-kill", (double)f->cut_by_kill },
    { "late-rules", (double)f->late_rules },
    { "reverted", (double)f->reverted },
    { "p50-ms", (double)rw_hist_quantile (&f->latency, 0.50) / 1000 },
    { "p99-ms", (double)rw_hist_quantile (&f->latency, 0.99) / 1000 },
    { "max-ms", (double)f->latency.max / 1000 },
    { "reads", (double)f->reads },
    { "overrun", t.overrun },
    { "late-work", (double)t.late_work },
    { "double-runs", (double)t.double_runs },
    { "false-not-run", (double)t.false_not_run },
    { "false-ran", (double)t.false_ran },
    { "late-runs", (double)t.late_runs },
    { "unanswered", (double)t.unanswered },
    { "exchanges", (double)t.exchanges },
  };

  if (memchr (name.ptr, ':', name.len) != NULL)
    {
      struct rw_str rest = name;
      struct rw_str first = rw_str_token (&rest, ":");

      return class_figure (world, first, rw_str_token (&rest, ":"), value);
    }
  for (size_t i = 0; i < RW_ARRAY_LEN (table); i++)
    if (rw_str_eq_cstr (name, table[i].name))
      {
        *value = table[i].value;
        return true;
      }
  return false;
}

static bool
holds (double value, struct rw_str op, double bound)
{
  if (rw_str_eq_cstr (op, "="))
    return value == bound;
  if (rw_str_eq_cstr (op, "<="))
    return value <= bound;
  return rw_str_eq_cstr (op, ">=") && value >= bound;
}

/* Prints the expectations with the figures and returns how many fail.  */
static size_t
check (const struct script *script, const struct scn_world *world)
{
  size_t failed = 0;

  for (size_t i = 0; i < script->expect_count; i++)
    {
      const struct expect *expect = &script->expects[i];
      double value = 0;
      bool ok;

      if (!figure (world, expect->metric, &value))
        fail_at (script, expect->line, "unknown figure");
      ok = holds (value, expect->op, expect->value);
      printf ("  %s %.*s %.*s %g: %g\n", ok ? "ok  " : "FAIL",
              RW_STR_ARG (expect->metric), RW_STR_ARG (expect->op),
              expect->value, value);
      failed += ok ? 0 : 1;
    }
  return failed;
}

static int
compare_steps (const void *a, const void *b)
{
  const struct step *x = a;
  const struct step *y = b;

  if (x->at != y->at)
    return x->at < y->at ? -1 : 1;
  return x->line < y->line ? -1 : x->line > y->line;
}

static size_t
run_script (const struct script *script, unsigned int disabled, bool verbose)
{
  struct run *run = rw_xcalloc (1, sizeof *run);
  size_t failed;

  run->script = script;
  scn_init (&run->world, script->seed, disabled);
  run->world.verbose = verbose;
  run->start = run->world.now;
  for (size_t i = 0; i < script->step_count; i++)
    {
      scn_run_until (&run->world, run->start + script->steps[i].at);
      do_step (run, &script->steps[i]);
    }
  scn_run_until (&run->world, run->start + script->run);
  failed = check (script, &run->world);
  scn_finish (&run->world);
  free (run);
  return failed;
}

/* Runs the script with all mechanisms, and without each that it names.  */
static int
run_all (const struct script *script, unsigned int disabled, bool verbose)
{
  size_t failed;
  int rc = 0;

  printf ("%s seed %llu, %s:\n", script->path,
          (unsigned long long)script->seed,
          disabled == 0 ? "all mechanisms" : mechanism_name (disabled));
  failed = run_script (script, disabled, verbose);
  if (disabled != 0)
    return failed != 0;
  rc = failed != 0;
  for (size_t i = 0; i < script->without_count; i++)
    {
      printf ("%s seed %llu, without %s:\n", script->path,
              (unsigned long long)script->seed,
              mechanism_name (script->without[i]));
      if (run_script (script, script->without[i], false) == 0)
        {
          printf ("  FAIL: no expectation fails without %s\n",
                  mechanism_name (script->without[i]));
          rc = 1;
        }
    }
  printf ("%s\n", rc == 0 ? "passed" : "failed");
  return rc;
}

struct arguments
{
  struct script script;
  unsigned int disabled;
  bool verbose;
  int64_t seed; /* -1: that of the file */
};

static error_t
parse_option (int key, char *arg, struct argp_state *state)
{
  struct arguments *arguments = state->input;

  switch (key)
    {
    case 'o':
      arguments->disabled |= mechanism (rw_str_from (arg));
      return 0;
    case 's':
      if (rw_str_to_int (rw_str_from (arg), 0, INT64_MAX, &arguments->seed)
          < 0)
        argp_error (state, "--seed %s: expected a number", arg);
      return 0;
    case 'v':
      arguments->verbose = true;
      return 0;
    case ARGP_KEY_ARG:
      arguments->script.path = arg;
      return 0;
    case ARGP_KEY_END:
      if (arguments->script.path == NULL)
        argp_usage (state);
      return 0;
    default:
      return ARGP_ERR_UNKNOWN;
    }
}

int
main (int argc, char **argv)
{
  static const struct argp_option OPTIONS[]
      = { { "off", 'o', "MECHANISM", 0, "Switch a mechanism off", 0 },
          { "seed", 's', "N", 0, "Use another seed than the file's", 0 },
          { "verbose", 'v', NULL, 0, "Print the log lines of the daemons", 0 },
          { 0 } };
  static const struct argp ARGP
      = { .options = OPTIONS,
          .parser = parse_option,
          .args_doc = "FILE",
          .doc = "Runs a scenario file in virtual time." };
  struct arguments arguments = { .seed = -1 };
  struct script *script = &arguments.script;
  int rc;

  argp_parse (&ARGP, argc, argv, 0, NULL, &arguments);
  rw_arena_init (&script->arena, 0);
  script->seed = 1;
  parse_script (script, read_file (script));
  if (arguments.seed >= 0)
    script->seed = (uint64_t)arguments.seed;
  qsort (script->steps, script->step_count, sizeof *script->steps,
         compare_steps);
  rc = run_all (script, arguments.disabled, arguments.verbose);
  free (script->steps);
  rw_arena_finish (&script->arena);
  return rc;
}
