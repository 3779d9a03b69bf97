#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#include "rvw.h"

#define THREAD_STACK_BYTES (256 * 1024)

static FILE *record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_mutex_t random_lock = PTHREAD_MUTEX_INITIALIZER;

int64_t
rvw_now_ms (void)
{
  static int64_t start;
  struct timespec ts;
  clock_gettime (CLOCK_MONOTONIC, &ts);
  int64_t now = (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
  if (start == 0)
    start = now;
  return now - start;
}

void
rvw_sleep_us (int64_t us)
{
  struct timespec ts = { us / 1000000, us % 1000000 * 1000 };
  if (us > 0)
    nanosleep (&ts, NULL);
}

double
rvw_random (void)
{
  static unsigned int seed;
  pthread_mutex_lock (&random_lock);
  if (seed == 0)
    seed = (unsigned int)getpid ();
  double value = (double)rand_r (&seed) / ((double)RAND_MAX + 1);
  pthread_mutex_unlock (&random_lock);
  return value;
}

void
rvw_record_open (const char *path)
{
  (void)rvw_now_ms ();
  record_file = fopen (path, "we");
  if (record_file == NULL)
    exit (RVW_NOT_RUN);
}

void
rvw_record (const char *format, ...)
{
  va_list args;
  int64_t now = rvw_now_ms ();
  va_start (args, format);
  pthread_mutex_lock (&record_lock);
  fprintf (record_file, "%lld.%03lld ", (long long)(now / 1000),
           (long long)(now % 1000));
  vfprintf (record_file, format, args);
  fputc ('\n', record_file);
  pthread_mutex_unlock (&record_lock);
  va_end (args);
}

void
rvw_finish (enum rvw_verdict verdict)
{
  rvw_record ("exit %d", (int)verdict);
  pthread_mutex_lock (&record_lock);
  fclose (record_file);
  /* Other threads still run.  */
  _exit ((int)verdict);
}

void
rvw_start_thread (void *(*run) (void *), void *arg)
{
  pthread_t thread;
  pthread_attr_t attr;
  pthread_attr_init (&attr);
  pthread_attr_setstacksize (&attr, THREAD_STACK_BYTES);
  pthread_attr_setdetachstate (&attr, PTHREAD_CREATE_DETACHED);
  if (pthread_create (&thread, &attr, run, arg) != 0)
    rvw_finish (RVW_NOT_RUN);
  pthread_attr_destroy (&attr);
}
