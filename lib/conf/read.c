#include "conf.h"

#include <string.h>

#include "doc.h"

/* Interval at which cnf_tick determines again which keys to watch.  */
#define WATCHER_CHECK_INTERVAL (1 * RW_SEC)
/* The first reads of a key that is added after the start are spread over this
   time, so that 2,300 daemons make fewer than the 2,000 reads a second that
   the service can handle.  */
#define FIRST_READ_SPREAD (2 * RW_SEC)

/* Returns a random time of 0 to just below SPAN.  */
static rw_time
jitter (struct cnf_conf *conf, rw_time span)
{
  return (rw_time)rw_rng_below (&conf->rng, (uint64_t)span);
}

static uint64_t
highest_seen_version (const struct cnf_doc *doc)
{
  return doc->version > doc->rejected_version ? doc->version
                                              : doc->rejected_version;
}

/* Fills in READ and marks it as in flight.  */
static void
start_read (const struct cnf_conf *conf, struct cnf_doc *doc, bool watch,
            rw_time now, struct cnf_read *read)
{
  doc->reading = true;
  doc->watching = watch;
  doc->read_started_at = now;
  doc->read_after = highest_seen_version (doc);
  memcpy (read->key, doc->key, sizeof read->key);
  read->after = !watch && conf->settings.allow_older ? 0 : doc->read_after;
  read->wait = watch ? CNF_WATCH_WAIT : 0;
}

static bool
is_starting (const struct cnf_conf *conf, rw_time now)
{
  return now - conf->started_at < CNF_START_TIMEOUT;
}

/* Returns the time until the next poll: the interval at which all daemons of
   the data centre together poll at the configured rate, plus up to a quarter,
   so that they do not poll in step.  */
static rw_time
poll_interval (struct cnf_conf *conf, const struct cnf_doc *doc)
{
  bool rules = strcmp (doc->key, "rules") == 0;
  rw_time interval = (rw_time)conf->daemon_count * RW_SEC
                     / (rules ? CNF_RULES_POLLS_PER_S : CNF_POLLS_PER_S);

  if (interval < CNF_POLL_INTERVAL_MIN)
    interval = CNF_POLL_INTERVAL_MIN;
  return interval + jitter (conf, interval / 4);
}

/* Sets the time of the first read.  After the start it is random, because a
   rule that adds a search service adds its map's key to all daemons at once.
 */
static void
schedule_first_read (struct cnf_conf *conf, struct cnf_doc *doc, bool watcher,
                     rw_time now)
{
  if (doc->first_read_scheduled)
    return;
  doc->first_read_scheduled = true;
  doc->next_read_at = watcher || is_starting (conf, now)
                          ? now
                          : now + jitter (conf, FIRST_READ_SPREAD);
}

/* Starts a read if one is due.  A daemon that has become a watcher starts its
   watch at once.  */
static bool
start_read_if_due (struct cnf_conf *conf, struct cnf_doc *doc, bool watcher,
                   rw_time now, struct cnf_read *read)
{
  if (doc->reading)
    return false;
  schedule_first_read (conf, doc, watcher, now);
  if (watcher && !doc->watching && doc->service_answered)
    doc->next_read_at = now;
  if (!watcher)
    doc->watching = false;
  if (now < doc->next_read_at)
    return false;
  start_read (conf, doc, watcher && doc->service_answered, now, read);
  return true;
}

size_t
cnf_tick (struct cnf_conf *conf, cnf_watcher_fn *watcher, void *arg,
          rw_time now, struct cnf_read *reads, size_t max)
{
  size_t count = 0;

  for (size_t i = 0; i < conf->doc_count && count < max; i++)
    {
      struct cnf_doc *doc = &conf->docs[i];
      bool watches = !doc->reading && watcher (arg, rw_str_from (doc->key));

      count += start_read_if_due (conf, doc, watches, now, &reads[count]);
    }
  conf->next_tick_at = count == max ? now : now + WATCHER_CHECK_INTERVAL;
  return count;
}

rw_time
cnf_next_tick (const struct cnf_conf *conf)
{
  rw_time next = conf->next_tick_at;

  for (size_t i = 0; i < conf->doc_count; i++)
    if (!conf->docs[i].reading && conf->docs[i].next_read_at < next)
      next = conf->docs[i].next_read_at;
  return next;
}

/* Returns the delay before a watcher's next read.  It is not 0 after an answer
   that came early and without a new version; otherwise a service that answers
   all watches at once would be read in a loop.  */
static rw_time
delay_after_answer (const struct cnf_doc *doc, rw_time now)
{
  if (!doc->watching || highest_seen_version (doc) > doc->read_after
      || now - doc->read_started_at >= CNF_BACKOFF_MIN)
    return 0;
  return CNF_BACKOFF_MIN;
}

static void
on_answer (struct cnf_conf *conf, struct cnf_doc *doc, rw_time now)
{
  bool first = !doc->service_answered;

  doc->service_answered = true;
  doc->backoff = CNF_BACKOFF_MIN;
  if (doc->watching)
    doc->next_read_at = now + delay_after_answer (doc, now);
  else
    doc->next_read_at = now + poll_interval (conf, doc);
  if (first)
    conf->next_tick_at = now;
}

/* Returns the delay before the next read and doubles the backoff.  The delay
   is half to all of the backoff; if this daemon does not watch and has some
   version, it is at least the time between two polls.  */
static rw_time
delay_after_failure (struct cnf_conf *conf, struct cnf_doc *doc)
{
  rw_time delay = doc->backoff / 2 + jitter (conf, doc->backoff / 2);
  rw_time poll = poll_interval (conf, doc);

  if (doc->backoff < CNF_BACKOFF_MAX)
    doc->backoff *= 2;
  return doc->watching || doc->version == 0 || delay > poll ? delay : poll;
}

void
cnf_on_read (struct cnf_conf *conf, struct rw_str key, bool ok, rw_time now)
{
  struct cnf_doc *doc = cnf_doc_find (conf, key);

  if (doc == NULL || !doc->reading)
    return;
  doc->reading = false;
  if (ok)
    on_answer (conf, doc, now);
  else
    doc->next_read_at = now + delay_after_failure (conf, doc);
}
