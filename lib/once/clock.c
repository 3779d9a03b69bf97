#include "once.h"

/* Initialises CLOCK without a sample.  DISABLED holds onc_mechanism bits, 0 in
   production.  */
void
onc_clock_init (struct onc_clock *clock, unsigned int disabled)
{
  *clock = (struct onc_clock){ .disabled_mechanisms = disabled };
}

/* Adds the sample of a HELLO exchange.  SENT and RECEIVED are the times of the
   call and of the reply by this daemon's clock, PEER_TIME is the peer's clock
   in the reply.  The sample with the shortest round trip is kept, because the
   error of its offset is at most half the round trip.  */
void
onc_clock_add_sample (struct onc_clock *clock, rw_time sent, rw_time peer_time,
                      rw_time received)
{
  rw_time rtt = received - sent;

  if (rtt < 0 || (clock->has_sample && rtt >= clock->rtt))
    return;
  clock->has_sample = true;
  clock->rtt = rtt;
  clock->offset = peer_time - (sent + rtt / 2);
}

/* Returns the estimated age at NOW, in microseconds, of a message that the
   peer sent at PEER_SENT by its clock; 0 without a sample.  The error is at
   most half the round trip.  */
rw_time
onc_clock_age (const struct onc_clock *clock, rw_time peer_sent, rw_time now)
{
  rw_time age = now - (peer_sent - clock->offset);

  if ((clock->disabled_mechanisms & ONC_MECH_MESSAGE_AGE) != 0
      || !clock->has_sample || age < 0)
    return 0;
  return age;
}

/* Returns the upper bound of the message's age, in microseconds: the estimate
   plus half the round trip; RW_TIME_NEVER without a sample.  */
rw_time
onc_clock_max_age (const struct onc_clock *clock, rw_time peer_sent,
                   rw_time now)
{
  if ((clock->disabled_mechanisms & ONC_MECH_MESSAGE_AGE) != 0)
    return 0;
  if (!clock->has_sample)
    return RW_TIME_NEVER;
  return onc_clock_age (clock, peer_sent, now) + (clock->rtt + 1) / 2;
}

/* Returns the time left at NOW, in microseconds, for a request that had
   REMAINING time when the peer sent it at PEER_SENT by its clock; 0 if none.
   For a ONCE request the upper bound of the message's age is subtracted, so
   that it never runs late: without a sample it has no time left.  Other
   requests use the estimated age.  */
rw_time
onc_clock_remaining (const struct onc_clock *clock, rw_time remaining,
                     rw_time peer_sent, rw_time now, bool once)
{
  rw_time age = once ? onc_clock_max_age (clock, peer_sent, now)
                     : onc_clock_age (clock, peer_sent, now);

  return age < remaining ? remaining - age : 0;
}
