#include "base.h"

#include <time.h>

rw_time
rw_now (void)
{
  struct timespec ts;

  clock_gettime (CLOCK_BOOTTIME, &ts);
  return (rw_time)ts.tv_sec * RW_SEC + ts.tv_nsec / 1000;
}
