/*
** relay_timing.c
** How long watches of the store wait, and how old what they bring may be
*/

#include "router/relay_timing.h"

/*
** While the store answers, its last answer to an instance is at most as old as
** the longest wait of a watch plus this margin, which covers the pause after
** changes (io/directory.c) and a slow answer.
*/
#define ANSWER_AGE_MARGIN (700 * MP_MS)
/*
** Time in which a slow answer of the store arrives: 200 ms in the store, 50
** times the usual 4 ms, and 100 ms on the network.
*/
#define SLOW_ANSWER_MAX (300 * MP_MS)
/*
** An answer that arrives within this time after the end of its watch does not
** shorten the next watch: the store would get more calls while nothing
** changes.
*/
#define USUAL_ANSWER_MAX (50 * MP_MS)
/*
** A relay's age allows at least for watches of this length, or they would be
** polls.
*/
#define REGULAR_WAIT_MIN (200 * MP_MS)
/*
** A change that ends a long watch leaves the lists as old as that watch's
** request. The next watch then waits no longer than this, which confirms them;
** the ones after it wait as usual.
*/
#define WATCH_WAIT_MIN (50 * MP_MS)
/*
** Number of members that may take over one after the other within
** RelayTiming.propagation_max: like the lost relay, the first of them may get
** no answer from the store.
*/
#define TAKEOVERS_MAX 2
/*
** Time in which a change gets from the store to all instances through a relay
** that has just taken over: the store's answer, a heartbeat that is lost, the
** next heartbeat, and a member's request to the relay.
*/
#define PROPAGATION_TIME (350 * MP_MS)

gint64 relay_news_age_max(const RelayTiming *times) {
  return times->watch_wait + ANSWER_AGE_MARGIN;
}

/*
** What is left of the bound suffices for TAKEOVERS_MAX and for changes to
** propagate.
*/
gint64 relay_freshness_max(const RelayTiming *times) {
  gint64 bound = times->propagation_max - TAKEOVERS_MAX * RELAY_TAKEOVER_STEP -
                 PROPAGATION_TIME;
  return MIN(relay_news_age_max(times),
             MAX(bound, REGULAR_WAIT_MIN + SLOW_ANSWER_MAX));
}

/*
** Returns the age at which the next answer must be on its way. What a relay
** knows reaches its members up to two heartbeats later.
*/
static gint64 answer_due_age(const RelayTiming *times, gboolean is_relay) {
  gint64 age = relay_news_age_max(times);
  if (is_relay)
    age = MIN(relay_freshness_max(times), age - 2 * RELAY_HEARTBEAT_INTERVAL);
  return age - SLOW_ANSWER_MAX;
}

gint64 relay_watch_due_age(const RelayTiming *times, gboolean is_relay) {
  return answer_due_age(times, is_relay) - WATCH_WAIT_MIN;
}

gint64 relay_watch_wait(const RelayTiming *times, gboolean is_relay,
                        gint64 age) {
  gint64 counted = age <= USUAL_ANSWER_MAX ? 0 : age;
  return CLAMP(answer_due_age(times, is_relay) - counted, WATCH_WAIT_MIN,
               times->watch_wait);
}
