#include <string.h>

#include "gather.h"

/* A caller whose time was stated so often before did not return: the times
   left of those that do are spread over hundreds of milliseconds.  */
#define MIN_KNOWN_COUNT 2
/* A caller can only lack time to a value that was stated this often.  */
#define MIN_USUAL_COUNT 8
#define MAX_USUAL_COUNT 1000

/* The table finds frequent values with few counters (Misra and Gries, "Finding
   repeated elements", 1982): a value without a counter lowers all others.  */
void
gat_count_patience (struct gat_patience *patience, int64_t time_left_ms)
{
  struct gat_stated *free_counter = NULL;
  for (size_t i = 0; i < GAT_MAX_USUAL; i++)
    {
      struct gat_stated *s = &patience->stated[i];
      if (s->count > 0 && s->time_left_ms == time_left_ms)
        {
          s->count += s->count < MAX_USUAL_COUNT;
          return;
        }
      if (s->count == 0)
        free_counter = s;
    }
  if (free_counter != NULL)
    {
      *free_counter = (struct gat_stated){ time_left_ms, 1 };
      return;
    }
  for (size_t i = 0; i < GAT_MAX_USUAL; i++)
    patience->stated[i].count--;
}

rw_time
gat_time_spent (const struct gat_patience *patience, int64_t time_left_ms)
{
  int64_t least = -1;
  for (size_t i = 0; i < GAT_MAX_USUAL; i++)
    {
      const struct gat_stated *s = &patience->stated[i];
      int64_t spent = s->time_left_ms - time_left_ms;
      if (spent == 0 && s->count >= MIN_KNOWN_COUNT)
        return 0;
      if (spent > 0 && s->count >= MIN_USUAL_COUNT
          && (least < 0 || spent < least))
        least = spent;
    }
  return least > 0 ? least * RW_MSEC : 0;
}
