#include <string.h>

#include "account.h"

void
acc_init (struct acc_account *account, size_t max, size_t max_places)
{
  memset (account, 0, sizeof *account);
  account->max = max;
  account->max_places = max_places;
}

void
acc_group_init (struct acc_group *group, struct acc_account *account,
                size_t max, size_t reserve,
                void (*drop) (struct acc_client *, enum acc_cause))
{
  *group = (struct acc_group){
    .account = account, .max = max, .reserve = reserve, .drop = drop
  };
}

void
acc_add (struct acc_account *account, size_t bytes)
{
  if (account == NULL)
    return;
  account->used += bytes;
  if (account->used > account->peak)
    account->peak = account->used;
}

void
acc_sub (struct acc_account *account, size_t bytes)
{
  if (account != NULL)
    account->used -= bytes;
}

/* How much is gained by the end of CLIENT: bytes times the time in which it
   has not advanced.  Negative if it must stay.  */
static double
weight (const struct acc_client *client, rw_time now)
{
  double age = now > client->since ? (double)(now - client->since) : 0;
  switch (client->state)
    {
    case ACC_SERVED:
      break;
    case ACC_ENDING:
      return (double)INT64_MAX + age;
    case ACC_IDLE:
    case ACC_ARRIVING:
    case ACC_UNREAD:
      return (double)(client->held + client->keeps) * (age + 1);
    }
  return -1;
}

/* Whether the memory of CLIENT is worth its end: an idle connection holds
   little, and a legal client may return to it.  */
static bool
holds_memory (const struct acc_client *client)
{
  return client->state != ACC_IDLE
         && client->held + client->keeps > ACC_SMALL_BYTES / 2;
}

/* The connections among which one is to be dropped.  */
struct choice
{
  const struct acc_group *only;      /* of this group; null: of all */
  const struct acc_group *for_group; /* others keep their reserve; null: no */
  bool with_memory;                  /* those that hold much */
};

static bool
is_candidate (const struct acc_client *client, const struct choice *choice)
{
  const struct acc_group *group = client->group;
  if (choice->only != NULL && group != choice->only)
    return false;
  if (choice->for_group != NULL && group != choice->for_group
      && group->count <= group->reserve)
    return false;
  return !choice->with_memory || holds_memory (client);
}

/* Returns the connection to be dropped first, or null.  */
static struct acc_client *
find_worst (const struct acc_account *account, const struct choice *choice,
            rw_time now)
{
  struct acc_client *worst = NULL;
  double most = -1;
  for (struct acc_client *c = account->clients; c != NULL; c = c->next)
    if (is_candidate (c, choice) && weight (c, now) > most)
      {
        worst = c;
        most = weight (c, now);
      }
  return worst;
}

static void
drop (struct acc_client *client, enum acc_cause cause)
{
  client->group->account->dropped[cause]++;
  client->group->drop (client, cause);
}

/* Returns the bytes that the end of all connections but SELF would free.  */
static size_t
droppable (const struct acc_account *account, const struct acc_client *self,
           rw_time now)
{
  size_t bytes = 0;
  for (const struct acc_client *c = account->clients; c != NULL; c = c->next)
    if (c != self && weight (c, now) >= 0)
      bytes += c->held + c->keeps;
  return bytes;
}

/* Drops connections until MORE bytes fit below LIMIT.  Returns false if that
   cannot be, or if SELF, which may be null, is the next one to be dropped.  */
static bool
free_memory (struct acc_account *account, size_t more, size_t limit,
             const struct acc_client *self, rw_time now)
{
  struct choice choice = { .with_memory = true };
  if (account->used + more > limit
      && account->used + more > limit + droppable (account, self, now))
    return false;
  while (account->used + more > limit)
    {
      size_t before = account->used;
      struct acc_client *worst = find_worst (account, &choice, now);
      if (worst == NULL && choice.with_memory)
        {
          choice.with_memory = false;
          continue;
        }
      if (worst == NULL || worst == self)
        return false;
      drop (worst, ACC_FOR_MEMORY);
      if (account->used >= before)
        return false;
    }
  return true;
}

static size_t
limit_of (const struct acc_account *account, size_t held)
{
  return held <= ACC_SMALL_BYTES
             ? account->max
             : account->max - account->max / ACC_RESERVE_DIVISOR;
}

bool
acc_has_room (const struct acc_account *account, size_t bytes)
{
  return account == NULL || account->used + bytes <= limit_of (account, bytes);
}

bool
acc_make_room (struct acc_account *account, size_t bytes, rw_time now)
{
  return account == NULL
         || free_memory (account, bytes, limit_of (account, bytes), NULL, now);
}

/* Drops a connection, of ONLY or of any group, to free a place for FOR_GROUP.
   Returns whether one was dropped.  */
static bool
free_place (struct acc_account *account, const struct acc_group *only,
            const struct acc_group *for_group, rw_time now)
{
  struct choice choice = { .only = only, .for_group = for_group };
  size_t before = account->places;
  struct acc_client *worst = find_worst (account, &choice, now);
  if (worst == NULL)
    return false;
  drop (worst, ACC_FOR_PLACE);
  return account->places < before;
}

bool
acc_take_place (struct acc_account *account, rw_time now)
{
  static const struct acc_group none;
  if (account == NULL)
    return true;
  if (account->places >= account->max_places
      && !free_place (account, NULL, &none, now))
    return false;
  account->places++;
  return true;
}

void
acc_return_place (struct acc_account *account)
{
  if (account != NULL)
    account->places--;
}

static void
link_client (struct acc_account *account, struct acc_client *client)
{
  client->prev = NULL;
  client->next = account->clients;
  if (client->next != NULL)
    client->next->prev = client;
  account->clients = client;
}

static void
unlink_client (struct acc_account *account, struct acc_client *client)
{
  if (client->prev != NULL)
    client->prev->next = client->next;
  else
    account->clients = client->next;
  if (client->next != NULL)
    client->next->prev = client->prev;
}

bool
acc_enter (struct acc_client *client, struct acc_group *group, void *owner,
           size_t held, rw_time now)
{
  struct acc_account *account = group->account;
  memset (client, 0, sizeof *client);
  client->owner = owner;
  client->since = now;
  client->held = held;
  if (account == NULL)
    {
      if (group->count >= group->max)
        return false;
    }
  else if ((group->count >= group->max
            && !free_place (account, group, group, now))
           || (account->places >= account->max_places
               && !free_place (account, NULL, group, now))
           || !free_memory (account, held, account->max, NULL, now))
    return false;
  client->group = group;
  group->count++;
  if (account != NULL)
    {
      account->places++;
      acc_add (account, held);
      link_client (account, client);
    }
  return true;
}

void
acc_leave (struct acc_client *client)
{
  struct acc_group *group = client->group;
  if (group == NULL)
    return;
  client->group = NULL;
  group->count--;
  if (group->account == NULL)
    return;
  group->account->places--;
  acc_sub (group->account, client->held);
  unlink_client (group->account, client);
}

void
acc_set (struct acc_client *client, size_t held)
{
  if (client->group != NULL)
    {
      acc_sub (client->group->account, client->held);
      acc_add (client->group->account, held);
    }
  client->held = held;
}

bool
acc_charge (struct acc_client *client, size_t held, rw_time now)
{
  struct acc_account *account
      = client->group != NULL ? client->group->account : NULL;
  size_t before = client->held;
  if (account != NULL && held > before)
    {
      /* Its weight is that of what it will hold.  */
      client->held = held;
      bool is_free = free_memory (account, held - before,
                                  limit_of (account, held + client->keeps),
                                  client, now);
      client->held = before;
      if (!is_free)
        return false;
    }
  acc_set (client, held);
  return true;
}
