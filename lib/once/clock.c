#include "once.h"

/* Prepares CLOCK without a sample.  */
void
onc_clock_init (struct onc_clock *clock, unsigned int disabled)
{
  *clock = (struct onc_clock){ .disabled_mechanisms = disabled };
}

/* Takes a HELLO exchange: sent at SENT and answered at RECEIVED by the own
   clock, PEER_TIME by the peer's.  The sample with the lowest round trip wins,
   because its offset is off by at most half of it.  */
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

/* Returns the estimated age at NOW of a message that the peer sent at
   PEER_SENT by its clock; 0 without a sample.  The error is at most half the
   round trip.  */
rw_time
onc_clock_age (const struct onc_clock *clock, rw_time peer_sent, rw_time now)
{
  rw_time age = now - (peer_sent - clock->offset);

  if ((clock->disabled_mechanisms & ONC_MECH_MESSAGE_AGE) != 0
      || !clock->has_sample || age < 0)
    return 0;
  return age;
}

/* Returns the highest age that the message can have; RW_TIME_NEVER without a
   sample.  */
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

/* Returns what is left at NOW of the REMAINING time that a message named, 0 if
   nothing.  ONCE: the highest possible age counts, so that a request that may
   not be repeated never runs late; without a sample it has no time left.  */
rw_time
onc_clock_remaining (const struct onc_clock *clock, rw_time remaining,
                     rw_time peer_sent, rw_time now, bool once)
{
  rw_time age = once ? onc_clock_max_age (clock, peer_sent, now)
                     : onc_clock_age (clock, peer_sent, now);

  return age < remaining ? remaining - age : 0;
}
