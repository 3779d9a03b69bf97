#include "admit.h"

#include <string.h>

/* Cost of one item.  Deficits are counted in 1/1000 of an item.  */
#define ITEM_COST INT64_C (1000)
/* Quantum per round of the class with the highest share: one full exchange.
   With larger quanta a class that has just become active waits longer.  */
#define QUANTUM_MAX (ADM_BATCH_MAX * ITEM_COST)

void
adm_classes_init (struct adm_classes *classes)
{
  for (size_t i = 0; i < ADM_CLASSES_MAX; i++)
    classes->by_id[i] = (struct adm_class){ 10, 200 };
}

/* Prepares an empty queue.  CLASSES remains the caller's and must live as long
   as QUEUE; DISABLED are bits of enum adm_mechanism.  */
void
adm_queue_init (struct adm_queue *queue, const struct adm_classes *classes,
                unsigned int disabled)
{
  memset (queue, 0, sizeof *queue);
  queue->classes = classes;
  queue->disabled = disabled;
  queue->earliest_deadline = RW_TIME_NEVER;
}

/* Returns the index in BY_CLASS of the list for items of CLASS_ID: 0 for an
   unknown class, and for every class if ADM_MECH_SHARES is switched off.  */
unsigned int
adm_queue_index (const struct adm_queue *queue, unsigned int class_id)
{
  if ((queue->disabled & ADM_MECH_SHARES) != 0 || class_id >= ADM_CLASSES_MAX)
    return 0;
  return class_id;
}

static int64_t
share_of (const struct adm_queue *queue, unsigned int index)
{
  int share = queue->classes->by_id[index].share;

  return share > 0 ? share : 1;
}

/* Returns the list for items of CLASS_ID.  */
struct adm_class_queue *
adm_queue_class (struct adm_queue *queue, unsigned int class_id)
{
  return &queue->by_class[adm_queue_index (queue, class_id)];
}

/* Returns the quantum of the class of INDEX: QUANTUM_MAX times its share,
   divided by the highest share of it and of the classes that have items.  */
static int64_t
quantum_of (const struct adm_queue *queue, unsigned int index)
{
  int64_t highest = share_of (queue, index);

  for (size_t i = 0; i < queue->ring_len; i++)
    if (queue->by_class[queue->ring[i]].len > 0
        && share_of (queue, queue->ring[i]) > highest)
      highest = share_of (queue, queue->ring[i]);
  return QUANTUM_MAX * share_of (queue, index) / highest;
}

static void
ring_add_first (struct adm_queue *queue, unsigned int index)
{
  memmove (queue->ring + 1, queue->ring,
           queue->ring_len * sizeof queue->ring[0]);
  queue->ring[0] = index;
  queue->ring_len++;
  queue->by_class[index].in_ring = true;
  queue->by_class[index].has_quantum = false;
}

/* Removes the first class from the ring.  It must not have a debt.  */
static void
ring_remove_first (struct adm_queue *queue)
{
  struct adm_class_queue *first = &queue->by_class[queue->ring[0]];

  first->in_ring = false;
  first->has_quantum = false;
  first->deficit = 0;
  queue->ring_len--;
  memmove (queue->ring, queue->ring + 1,
           queue->ring_len * sizeof queue->ring[0]);
}

/* Ends the turn of the first class: moves it to the end of the ring.  */
static void
ring_end_turn (struct adm_queue *queue)
{
  unsigned int first = queue->ring[0];

  queue->by_class[first].has_quantum = false;
  memmove (queue->ring, queue->ring + 1,
           (queue->ring_len - 1) * sizeof queue->ring[0]);
  queue->ring[queue->ring_len - 1] = first;
}

/* Continues the turn of a class that ran out of items before it used up its
   quantum: moves it to the front of the ring.  */
static void
ring_resume_turn (struct adm_queue *queue, unsigned int index)
{
  size_t i = 0;

  while (queue->ring[i] != index)
    i++;
  memmove (queue->ring + 1, queue->ring, i * sizeof queue->ring[0]);
  queue->ring[0] = index;
  queue->by_class[index].has_quantum = true;
}

/* Returns whether the queue of CLASS_ID has reached its bound.  */
bool
adm_queue_full (const struct adm_queue *queue, unsigned int class_id)
{
  unsigned int index = adm_queue_index (queue, class_id);
  unsigned int bound_index = class_id < ADM_CLASSES_MAX ? class_id : 0;

  return queue->by_class[index].len
         >= (size_t)queue->classes->by_id[bound_index].queue_max;
}

/* Updates the counts and the ring for ITEM, which was put into the list of
   INDEX.  */
static void
count_item (struct adm_queue *queue, unsigned int index,
            const struct adm_item *item)
{
  queue->by_class[index].len++;
  queue->len++;
  if (item->deadline < queue->earliest_deadline)
    queue->earliest_deadline = item->deadline;
  if (!queue->by_class[index].in_ring)
    ring_add_first (queue, index);
}

/* Appends ITEM to the queue of its class.  A class that was not in the ring
   gets the next turn, so that a class with little load does not wait for a
   round of the others.  It gains this only once per round, because it stays in
   the ring until its next turn begins without items and without debt.  */
void
adm_queue_push (struct adm_queue *queue, struct adm_item *item, rw_time now)
{
  unsigned int index = adm_queue_index (queue, item->class_id);
  struct adm_class_queue *class_queue = &queue->by_class[index];
  bool was_in_ring = class_queue->in_ring;

  item->state = ADM_ITEM_QUEUED;
  item->refusal = (struct adm_refusal){ 0, 0 };
  item->queued_at = now;
  item->next = NULL;
  item->prev = class_queue->tail;
  if (class_queue->tail != NULL)
    class_queue->tail->next = item;
  else
    class_queue->head = item;
  class_queue->tail = item;
  count_item (queue, index, item);
  if (was_in_ring && class_queue->len == 1 && !class_queue->has_quantum
      && class_queue->deficit > 0)
    ring_resume_turn (queue, index);
}

/* Puts ITEM, which adm_queue_take removed, back before the others of its
   class.  The charge for it is not refunded.  */
void
adm_queue_push_front (struct adm_queue *queue, struct adm_item *item)
{
  unsigned int index = adm_queue_index (queue, item->class_id);
  struct adm_class_queue *class_queue = &queue->by_class[index];

  item->state = ADM_ITEM_QUEUED;
  item->prev = NULL;
  item->next = class_queue->head;
  if (class_queue->head != NULL)
    class_queue->head->prev = item;
  else
    class_queue->tail = item;
  class_queue->head = item;
  count_item (queue, index, item);
}

/* Removes a queued ITEM without charging its class.  */
void
adm_queue_remove (struct adm_queue *queue, struct adm_item *item)
{
  struct adm_class_queue *class_queue
      = &queue->by_class[adm_queue_index (queue, item->class_id)];

  if (item->prev != NULL)
    item->prev->next = item->next;
  else
    class_queue->head = item->next;
  if (item->next != NULL)
    item->next->prev = item->prev;
  else
    class_queue->tail = item->prev;
  item->prev = item->next = NULL;
  item->state = ADM_ITEM_UNLINKED;
  class_queue->len--;
  queue->len--;
  if (queue->len == 0)
    queue->earliest_deadline = RW_TIME_NEVER;
}

/* Returns the item to serve next, which stays queued, or null if the queue is
   empty.  A class without items stays in the ring for the rest of the round
   with what is left of its quantum.  The loop ends, because per round the
   class with the highest share receives one full exchange, and no debt is
   larger than that.  */
struct adm_item *
adm_queue_peek (struct adm_queue *queue)
{
  while (queue->len > 0)
    {
      unsigned int index = queue->ring[0];
      struct adm_class_queue *first = &queue->by_class[index];

      if (!first->has_quantum && first->len == 0 && first->deficit >= 0)
        {
          ring_remove_first (queue);
          continue;
        }
      if (!first->has_quantum)
        {
          if (first->deficit > 0)
            first->deficit = 0;
          first->deficit += quantum_of (queue, index);
        }
      first->has_quantum = true;
      if (first->deficit > 0 && first->len > 0)
        return first->head;
      ring_end_turn (queue);
    }
  return NULL;
}

/* Removes ITEM, of the class that adm_queue_peek chose, and charges the
   class.  A batch may leave a debt, which the quanta of its next turns pay
   off.  */
void
adm_queue_take (struct adm_queue *queue, struct adm_item *item)
{
  adm_queue_class (queue, item->class_id)->deficit -= ITEM_COST;
  adm_queue_remove (queue, item);
}

/* Moves a queued ITEM to the list of refused items, with the reason CODE.  */
void
adm_queue_refuse (struct adm_queue *queue, struct adm_item *item, int code,
                  rw_time retry_after)
{
  adm_queue_remove (queue, item);
  item->refusal = (struct adm_refusal){ code, retry_after };
  item->state = ADM_ITEM_REFUSED;
  item->prev = queue->refused_tail;
  if (queue->refused_tail != NULL)
    queue->refused_tail->next = item;
  else
    queue->refused_head = item;
  queue->refused_tail = item;
}

/* Removes ITEM, or the oldest one if ITEM is null, from the list of refused
   items.  Returns null if the list is empty.  */
static struct adm_item *
unlink_refused (struct adm_queue *queue, struct adm_item *item)
{
  if (item == NULL)
    item = queue->refused_head;
  if (item == NULL)
    return NULL;
  if (item->prev != NULL)
    item->prev->next = item->next;
  else
    queue->refused_head = item->next;
  if (item->next != NULL)
    item->next->prev = item->prev;
  else
    queue->refused_tail = item->prev;
  item->prev = item->next = NULL;
  item->state = ADM_ITEM_UNLINKED;
  return item;
}

/* Removes and returns the oldest refused item, or returns null.  */
struct adm_item *
adm_queue_next_refused (struct adm_queue *queue)
{
  return unlink_refused (queue, NULL);
}

/* Removes ITEM if it is queued or refused.  */
void
adm_queue_unlink (struct adm_queue *queue, struct adm_item *item)
{
  switch (item->state)
    {
    case ADM_ITEM_QUEUED:
      adm_queue_remove (queue, item);
      break;
    case ADM_ITEM_REFUSED:
      unlink_refused (queue, item);
      break;
    case ADM_ITEM_UNLINKED:
      break;
    }
}

/* Returns how many items are served before an item of CLASS_ID that has AHEAD
   items of its class before it.  Each other class is assumed to be served in
   proportion to its share, but not beyond the items it has.  */
size_t
adm_queue_items_before (const struct adm_queue *queue, unsigned int class_id,
                        size_t ahead)
{
  unsigned int own = adm_queue_index (queue, class_id);
  size_t before = ahead;

  for (size_t i = 0; i < queue->ring_len; i++)
    {
      unsigned int other = queue->ring[i];
      size_t len = queue->by_class[other].len;
      size_t by_share = (ahead + 1) * (size_t)share_of (queue, other)
                        / (size_t)share_of (queue, own);

      if (other != own)
        before += by_share < len ? by_share : len;
    }
  return before;
}
