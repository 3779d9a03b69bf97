#include <stdlib.h>
#include <string.h>

#include "quarantine.h"

/* An end is later than another one if its send began this long after it: the
   targets of a data centre that is lost end within this time, and times from
   other daemons are off by the delay of messages.  */
#define LATER_GAP (50 * RW_MSEC)
/* A send that a peer tells, and that seems to have begun up to QUA_MAX_DELAY
   after a completion, may have begun before it.  Its end is taken only if the
   request is not completed any more for this time; until then peers tell it
   again.  */
#define DOUBT_TIME RW_SEC
/* Evidence takes effect after this time, in which a daemon where the request
   was completed can say so.  */
#define HEARING_TIME (100 * RW_MSEC)
/* Least time between two refusals that are told to peers: five messages of 0.3
   KB in this time are well below the limit of 7 KB/s.  */
#define ASK_INTERVAL (500 * RW_MSEC)
/* The same for a request that the same software completed within LATELY before
   its first end.  When a request that crashes targets ends all targets of a
   service, and ends them again as they return, nobody can complete another one
   that was in flight there each time; it needs until the targets are back.  */
#define PROVEN_HEARING_TIME (1 * RW_SEC)
#define LATELY (10 * RW_SEC)
/* No trial is granted within this time of the last end or trial, so that its
   outcome is known everywhere.  */
#define TRIAL_INTERVAL (5 * RW_SEC)
/* A grant is used within this time.  */
#define GRANT_LIFE (1 * RW_SEC)
/* Software under which the request ended a target may be tried again once,
   this long after the last end: the evidence may have been chance.  If the
   software had completed it lately, that is the second trial.  */
#define RETRY_TIME (15 * RW_SEC)
#define SAME_END_MS (int)(QUA_SAME_END_TIME / RW_MSEC)
/* Times of peers that differ by less are the same.  */
#define SAME_TIME (50 * RW_MSEC)
/* The next send waits so long for the outcome of one that goes alone.  */
#define ALONE_INTERVAL (5 * RW_MSEC)
/* Lost sends of an attempt with several parts, without a completed one, after
   which its sends go alone.  With 2 the retry of the first loss ended another
   target.  An innocent request waits only until one of its parts is
   completed.  */
#define MAX_LOSSES 1
/* A request with fewer parts is hedged although none is completed: all its
   targets may pause or be slow at the same time by chance.  */
#define MIN_SUSPECT_PARTS 8
/* Records among which the one is chosen that is dropped from a full table.  */
#define DROP_CANDIDATES 16
/* Records are dropped when they have not changed for this time, those without
   an end that counts sooner.  */
#define RECORD_LIFE (86400 * RW_SEC)
#define CLEARED_LIFE (600 * RW_SEC)

void
qua_init (struct qua_table *table, uint32_t daemon, uint64_t seed)
{
  memset (table, 0, sizeof *table);
  table->daemon = daemon;
  rw_rng_init (&table->rng, seed);
  rw_map_init (&table->records);
}

void
qua_finish (struct qua_table *table)
{
  size_t position = 0;
  void *record;
  while ((record = rw_map_next (&table->records, &position)) != NULL)
    free (record);
  rw_map_finish (&table->records);
}

struct qua_record *
qua_find (const struct qua_table *table, uint64_t key)
{
  return table->records.len > 0 ? rw_map_get (&table->records, key) : NULL;
}

const struct qua_record *
qua_next (const struct qua_table *table, size_t *position)
{
  return rw_map_next (&table->records, position);
}

static bool
is_held_by_order (const struct qua_record *r)
{
  return r->held_at > r->released_at;
}

/* Returns whether A is dropped before B when the table is full.  */
static bool
goes_before (const struct qua_record *a, const struct qua_record *b)
{
  bool a_held = is_held_by_order (a) || a->known_at > 0;
  bool b_held = is_held_by_order (b) || b->known_at > 0;
  if (a_held != b_held)
    return b_held;
  if (a->end_count != b->end_count)
    return a->end_count < b->end_count;
  return a->changed_at < b->changed_at;
}

static void
drop (struct qua_table *table, struct qua_record *record)
{
  rw_map_remove (&table->records, record->key);
  free (record);
}

/* Drops a record if the table is full: of some in a row from a random place
   on, the one that goes first.  */
static void
make_room (struct qua_table *table)
{
  struct qua_record *first = NULL;
  if (table->records.len < QUA_MAX_RECORDS)
    return;
  size_t position = (size_t)rw_rng_below (&table->rng, table->records.cap);
  for (size_t i = 0; i < DROP_CANDIDATES; i++)
    {
      struct qua_record *r = rw_map_next (&table->records, &position);
      if (r == NULL)
        position = 0;
      else if (first == NULL || goes_before (r, first))
        first = r;
    }
  if (first != NULL)
    drop (table, first);
}

/* Returns the record of KEY, added if it is new.  */
static struct qua_record *
record_of (struct qua_table *table, uint64_t key, rw_time now)
{
  struct qua_record *r = qua_find (table, key);
  if (r != NULL)
    return r;
  make_room (table);
  r = rw_xcalloc (1, sizeof *r);
  r->key = key;
  r->changed_at = now;
  rw_map_put (&table->records, key, r);
  return r;
}

static void
mark_news (struct qua_table *table, struct qua_record *r, rw_time now)
{
  r->changed_at = now;
  r->is_news = true;
  table->has_news = true;
}

static struct qua_proof *
proof_of (const struct qua_record *r, uint32_t software)
{
  for (size_t i = 0; i < r->proof_count; i++)
    if (r->proofs[i].software == software)
      return (struct qua_proof *)&r->proofs[i];
  return NULL;
}

/* Whether END still counts.  */
static bool
counts (const struct qua_record *r, const struct qua_end *end)
{
  const struct qua_proof *proof = proof_of (r, end->software);
  return end->sent_at >= r->released_at
         && (proof == NULL || proof->at <= end->sent_at);
}

/* When the first of the ends that count was.  */
static rw_time
first_end (const struct qua_record *r)
{
  rw_time first = RW_TIME_NEVER;
  for (size_t i = 0; i < r->end_count; i++)
    if (r->ends[i].ended_at < first)
      first = r->ends[i].ended_at;
  return first;
}

static rw_time
last_end (const struct qua_record *r)
{
  rw_time last = 0;
  for (size_t i = 0; i < r->end_count; i++)
    if (r->ends[i].ended_at > last)
      last = r->ends[i].ended_at;
  return last;
}

/* Returns whether the software of an end completed the request lately before.
 */
static bool
was_completed (const struct qua_record *r)
{
  for (size_t i = 0; i < r->end_count; i++)
    {
      const struct qua_proof *proof = proof_of (r, r->ends[i].software);
      if (proof != NULL && first_end (r) - proof->at < LATELY)
        return true;
    }
  return false;
}

bool
qua_is_held (const struct qua_record *r, rw_time now)
{
  rw_time hearing = was_completed (r) ? PROVEN_HEARING_TIME : HEARING_TIME;
  return is_held_by_order (r)
         || (r->known_at > 0 && now - r->known_at >= hearing);
}

/* Returns whether the send of END began when the first target had ended.  */
static bool
is_later (const struct qua_record *r, const struct qua_end *end)
{
  return r->end_count > 0 && end->sent_at > first_end (r) + LATER_GAP;
}

/* Returns whether targets ended under the request one after the other, not
   only at one moment.  */
static bool
ended_repeatedly (const struct qua_record *r)
{
  for (size_t i = 0; i < r->end_count; i++)
    if (is_later (r, &r->ends[i]))
      return true;
  return false;
}

/* Returns whether END came when the request should have been held back.  */
static bool
is_late (const struct qua_record *r, const struct qua_end *end)
{
  rw_time third = 0;
  if (r->end_count < QUA_HELD_ENDS)
    return false;
  for (size_t i = 0; i < QUA_HELD_ENDS; i++)
    if (r->ends[i].ended_at > third)
      third = r->ends[i].ended_at;
  return end->ended_at > third + QUA_LEARN_TIME;
}

static size_t
late_ends (const struct qua_record *r)
{
  size_t count = 0;
  for (size_t i = 0; i < r->end_count; i++)
    count += is_late (r, &r->ends[i]);
  return count;
}

static bool
has_ended (const struct qua_record *r, uint32_t software)
{
  for (size_t i = 0; i < r->end_count; i++)
    if (r->ends[i].software == software)
      return true;
  return false;
}

/* Drops what does not count any more, and decides whether the rest suffices.
   Returns whether an end was dropped.  */
static bool
review (struct qua_record *r, rw_time now)
{
  size_t kept = 0;
  size_t before = r->end_count;
  for (size_t i = 0; i < r->end_count; i++)
    if (counts (r, &r->ends[i]))
      r->ends[kept++] = r->ends[i];
  r->end_count = kept;
  kept = 0;
  for (size_t i = 0; i < r->trial_count; i++)
    if (r->trials[i].at >= r->released_at)
      r->trials[kept++] = r->trials[i];
  r->trial_count = kept;
  if (r->end_count < QUA_HELD_ENDS || !ended_repeatedly (r))
    r->known_at = 0;
  else if (r->known_at == 0)
    r->known_at = now;
  return r->end_count < before;
}

/* Returns whether END was seen before, and remembers it.  */
static bool
note_seen (struct qua_record *r, const struct qua_end *end)
{
  struct qua_seen new
      = { (uint32_t)end->target, (uint32_t)(end->sent_at / RW_MSEC),
          (uint32_t)(end->ended_at / RW_MSEC) };
  size_t count = r->seen_count < QUA_MAX_SEEN ? r->seen_count : QUA_MAX_SEEN;
  for (size_t i = 0; i < count; i++)
    if (r->seen[i].target == new.target
        && (int32_t)(new.sent_ms - r->seen[i].at_ms) < SAME_END_MS
        && (int32_t)(r->seen[i].sent_ms - new.at_ms) < SAME_END_MS)
      return true;
  r->seen[r->seen_count++ % QUA_MAX_SEEN] = new;
  return false;
}

/* Returns whether END, which a peer tells, may be one of before the last
   completion.  */
static bool
is_doubtful (const struct qua_record *r, const struct qua_end *end,
             rw_time now)
{
  const struct qua_proof *proof = proof_of (r, end->software);
  return proof != NULL && now - proof->at < DOUBT_TIME
         && end->sent_at < proof->at + QUA_MAX_DELAY;
}

/* Keeps END if it matters.  Returns whether it does and is new.  */
static bool
add_end (struct qua_record *r, const struct qua_end *end)
{
  if (!counts (r, end) || note_seen (r, end) || r->end_count == QUA_MAX_ENDS)
    return false;
  if (r->end_count >= QUA_HELD_ENDS && has_ended (r, end->software)
      && (ended_repeatedly (r) || !is_later (r, end))
      && (late_ends (r) >= QUA_MAX_TRIALS || !is_late (r, end)))
    return false;
  r->ends[r->end_count++] = *end;
  return true;
}

/* Records a completion, which a peer told if IS_TOLD.  Returns whether it is
   later than those known.  */
static bool
add_proof (struct qua_record *r, uint32_t software, rw_time at, bool is_told)
{
  struct qua_proof *proof = proof_of (r, software);
  if (proof != NULL)
    {
      if (at <= proof->at)
        return false;
      proof->at = at;
      proof->is_told = is_told;
      return true;
    }
  if (r->proof_count < QUA_MAX_PROOFS)
    proof = &r->proofs[r->proof_count++];
  else
    {
      proof = &r->proofs[0];
      for (size_t i = 1; i < r->proof_count; i++)
        if (r->proofs[i].at < proof->at)
          proof = &r->proofs[i];
      if (at <= proof->at)
        return false;
    }
  *proof = (struct qua_proof){ software, is_told, at };
  return true;
}

static bool
add_trial (struct qua_record *r, const struct qua_trial *trial)
{
  if (trial->at < r->released_at)
    return false;
  for (size_t i = 0; i < r->trial_count; i++)
    if (r->trials[i].id == trial->id)
      return false;
  if (r->trial_count == QUA_MAX_TRIALS)
    return false;
  r->trials[r->trial_count++] = *trial;
  return true;
}

/* The entry for the completions of KEY with SOFTWARE; if there is none, the
   one that is replaced by it.  */
static struct qua_done *
done_of (const struct qua_table *table, uint64_t key, uint32_t software)
{
  size_t group
      = rw_hash_u64 (key, software) % (QUA_MAX_DONES / QUA_DONE_GROUP);
  const struct qua_done *first = &table->dones[group * QUA_DONE_GROUP];
  const struct qua_done *oldest = first;
  for (size_t i = 0; i < QUA_DONE_GROUP; i++)
    {
      if (first[i].key == key && first[i].software == software)
        return (struct qua_done *)&first[i];
      if (first[i].at < oldest->at)
        oldest = &first[i];
    }
  return (struct qua_done *)oldest;
}

/* Adds to R the completion with SOFTWARE that this daemon saw last.  */
static void
add_done (const struct qua_table *table, struct qua_record *r,
          uint32_t software)
{
  const struct qua_done *done = done_of (table, r->key, software);
  if (done->at > 0 && done->key == r->key && done->software == software)
    (void)add_proof (r, software, done->at, false);
}

void
qua_on_end (struct qua_table *table, uint64_t key, const struct qua_end *end,
            rw_time now)
{
  struct qua_record *r = record_of (table, key, now);
  add_done (table, r, end->software);
  if (add_end (r, end))
    mark_news (table, r, now);
  (void)review (r, now);
}

void
qua_on_done (struct qua_table *table, uint64_t key, uint32_t software,
             rw_time now)
{
  struct qua_record *r = qua_find (table, key);
  *done_of (table, key, software) = (struct qua_done){ key, software, now };
  if (r == NULL)
    return;
  bool is_first = proof_of (r, software) == NULL;
  if (add_proof (r, software, now, false) && (review (r, now) || is_first))
    mark_news (table, r, now);
}

/* Returns whether a trial with SOFTWARE may be granted.  */
static bool
may_try (const struct qua_record *r, uint32_t software, rw_time now)
{
  rw_time since_end = now - last_end (r);
  size_t late = late_ends (r);
  size_t used = late > r->trial_count ? late : r->trial_count;
  bool is_proven = was_completed (r);
  if (is_held_by_order (r) || used >= QUA_MAX_TRIALS)
    return false;
  /* It was most likely in flight beside another request: its first trial need
     not wait.  */
  if (is_proven && used == 0)
    return since_end >= PROVEN_HEARING_TIME;
  if (since_end < TRIAL_INTERVAL
      || (r->trial_count > 0
          && now - r->trials[r->trial_count - 1].at < TRIAL_INTERVAL))
    return false;
  return !has_ended (r, software)
         || (used <= is_proven && since_end >= RETRY_TIME);
}

enum qua_verdict
qua_verdict (const struct qua_table *table, uint64_t key, uint32_t software,
             rw_time now)
{
  const struct qua_record *r = qua_find (table, key);
  if (r == NULL)
    return QUA_PASS;
  if (is_held_by_order (r))
    return QUA_HELD;
  if (r->known_at == 0)
    return r->end_count >= QUA_HELD_ENDS ? QUA_CAREFUL : QUA_PASS;
  if (!qua_is_held (r, now))
    return QUA_CAREFUL;
  if (!has_ended (r, software) && proof_of (r, software) != NULL)
    return QUA_PASS;
  return may_try (r, software, now) ? QUA_UNTRIED : QUA_HELD;
}

void
qua_on_loss (struct qua_attempt *attempt, size_t done)
{
  attempt->losses++;
  if (attempt->sent_alone && done == 0)
    attempt->lost_alone = true;
}

bool
qua_sends_alone (const struct qua_table *table, uint64_t key,
                 const struct qua_attempt *attempt, size_t parts, size_t done,
                 rw_time now)
{
  const struct qua_record *r = qua_find (table, key);
  if (done > 0)
    return false;
  return attempt->is_trial || (attempt->losses >= MAX_LOSSES && parts > 1)
         || (r != NULL
             && (r->end_count >= QUA_HELD_ENDS || qua_is_held (r, now)));
}

rw_time
qua_delay (const struct qua_table *table, uint64_t key,
           struct qua_attempt *attempt, size_t parts, size_t done,
           bool is_open, enum qua_verdict best, rw_time now)
{
  if (attempt->held || (!attempt->is_trial && best >= QUA_UNTRIED))
    return -1;
  if (!qua_sends_alone (table, key, attempt, parts, done, now))
    return 0;
  if (is_open)
    return ALONE_INTERVAL;
  if (attempt->lost_alone)
    return -1;
  attempt->sent_alone = true;
  return 0;
}

bool
qua_may_hedge (size_t parts, size_t done)
{
  return done > 0 || parts < MIN_SUSPECT_PARTS;
}

void
qua_on_refused (struct qua_table *table, uint64_t key, rw_time now)
{
  struct qua_record *r = qua_find (table, key);
  if (r == NULL)
    return;
  r->refused_at = now;
  r->refused_count++;
  if (now - table->asked_at < ASK_INTERVAL && table->asked_at > 0)
    return;
  table->asked_at = now;
  r->is_news = table->has_news = true;
}

bool
qua_grant (struct qua_table *table, uint64_t key, uint32_t software,
           uint32_t daemon, rw_time now)
{
  struct qua_record *r = qua_find (table, key);
  if (r == NULL || qua_verdict (table, key, software, now) != QUA_UNTRIED)
    return false;
  struct qua_trial trial
      = { .id = (uint32_t)rw_rng_next (&table->rng) | 1, daemon, now };
  if (!add_trial (r, &trial))
    return false;
  mark_news (table, r, now);
  return true;
}

bool
qua_take_trial (struct qua_table *table, uint64_t key, rw_time now)
{
  struct qua_record *r = qua_find (table, key);
  if (r == NULL || r->trial_count == 0)
    return false;
  const struct qua_trial *trial = &r->trials[r->trial_count - 1];
  if (trial->daemon != table->daemon || trial->id == r->used_trial
      || now - trial->at > GRANT_LIFE)
    return false;
  r->used_trial = trial->id;
  return true;
}

void
qua_release (struct qua_table *table, uint64_t key, rw_time now)
{
  struct qua_record *r = record_of (table, key, now);
  r->released_at = now;
  (void)review (r, now);
  mark_news (table, r, now);
}

void
qua_hold (struct qua_table *table, uint64_t key, rw_time now)
{
  struct qua_record *r = record_of (table, key, now);
  r->held_at = now;
  mark_news (table, r, now);
}

/* Sets *OWN to AT if that is later.  Returns whether it was.  */
static bool
take_later (rw_time *own, rw_time at)
{
  if (at <= *own + SAME_TIME)
    return false;
  *own = at;
  return true;
}

rw_time
qua_told_time (const struct qua_proof *proof)
{
  return proof->is_told ? proof->at - QUA_MAX_DELAY : proof->at;
}

/* Returns whether a completion that R has and COPY lacks refutes an end of
   COPY, also as its sender will see it.  */
static bool
refutes (const struct qua_record *r, const struct qua_record *copy)
{
  for (size_t i = 0; i < copy->end_count; i++)
    {
      const struct qua_end *end = &copy->ends[i];
      const struct qua_proof *own = proof_of (r, end->software);
      const struct qua_proof *known = proof_of (copy, end->software);
      if (own == NULL)
        continue;
      rw_time told = qua_told_time (own);
      if (told > end->sent_at && (known == NULL || known->at < told))
        return true;
    }
  return false;
}

void
qua_merge (struct qua_table *table, const struct qua_record *copy, rw_time now)
{
  struct qua_record *r = record_of (table, copy->key, now);
  bool is_news = take_later (&r->released_at, copy->released_at);
  is_news |= take_later (&r->held_at, copy->held_at);
  for (size_t i = 0; i < copy->end_count; i++)
    add_done (table, r, copy->ends[i].software);
  for (size_t i = 0; i < copy->proof_count; i++)
    {
      const struct qua_proof *proof = &copy->proofs[i];
      bool is_first = proof_of (r, proof->software) == NULL;
      is_news |= add_proof (r, proof->software, proof->at, true)
                 && (review (r, now) || is_first);
    }
  for (size_t i = 0; i < copy->end_count; i++)
    is_news |= !is_doubtful (r, &copy->ends[i], now)
               && add_end (r, &copy->ends[i]);
  for (size_t i = 0; i < copy->trial_count; i++)
    is_news |= add_trial (r, &copy->trials[i]);
  (void)review (r, now);
  if (is_news)
    mark_news (table, r, now);
  if (refutes (r, copy))
    r->refutes = table->has_refutations = true;
}

bool
qua_repeat (struct qua_table *table, rw_time now)
{
  size_t position = 0;
  bool any = false;
  struct qua_record *r;
  while ((r = rw_map_next (&table->records, &position)) != NULL)
    {
      if (r->known_at == 0 || now - r->known_at >= HEARING_TIME)
        continue;
      any = true;
      if (now - r->told_at >= QUA_REPEAT_INTERVAL)
        r->is_news = table->has_news = true;
    }
  return any;
}

void
qua_sweep (struct qua_table *table, rw_time now)
{
  size_t position = 0;
  struct qua_record *r;
  while ((r = rw_map_next (&table->records, &position)) != NULL)
    {
      bool is_cleared = r->end_count == 0 && !is_held_by_order (r);
      rw_time last
          = r->refused_at > r->changed_at ? r->refused_at : r->changed_at;
      if (now - last <= (is_cleared ? CLEARED_LIFE : RECORD_LIFE))
        continue;
      drop (table, r);
      return; /* the map has moved its items */
    }
}
