/*
** gate.c
** May something be sent to an endpoint now?
*/

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/gate.h"

/* of the connections that an endpoint takes, new ones are opened up to this
** share: others open some before this instance hears of them */
#define OPENED_SHARE 0.92
/* beyond this share, instances keep no more than an even part of it */
#define KEPT_SHARE 0.7

static gboolean may_leave(DispatchKind kind) {
  return kind == DISPATCH_RELEASE || kind == DISPATCH_CHECK;
}

static gboolean may_disturb(const Availability *known, DispatchKind kind) {
  return kind == DISPATCH_CHECK ||
         (kind == DISPATCH_RELEASE && !known->has_dispatch_in_rest);
}

GateVerdict gate_check(const Endpoint *endpoint, DispatchKind kind,
                       gint64 now) {
  const Availability *known = &endpoint->availability;
  if (endpoint_is_leaving(endpoint) && !may_leave(kind))
    return GATE_LEAVING;
  if (availability_rest_remaining(known, now) > 0 && !may_disturb(known, kind))
    return GATE_RESTING;
  return GATE_OPEN;
}

/* from 0 to 1; another one for each connection, and after each delay */
static double draw(const Endpoint *endpoint, const GateLimits *limits,
                   gint64 now) {
  guint64 from[3] = {endpoint->hash, endpoint->connections,
                     (guint64)(now / limits->sharers.delay)};
  guint64 drawn = XXH3_64bits_withSeed(from, sizeof from, limits->seed);
  return (double)(drawn >> 11) / (double)(1ULL << 53);
}

/*
** A resting connection of ours is used; a new one must find room among those
** of all instances. While others may open some before this instance hears of
** it, it takes its part of the room by chance, as with named rates.
*/
static gboolean may_connect(const EndpointTable *table,
                            const Endpoint *endpoint, const GateLimits *limits,
                            gint64 now) {
  double room;
  if (limits->connections_max == 0 || endpoint->resting > 0)
    return TRUE;
  room = OPENED_SHARE * limits->connections_max -
         endpoint_connections(table, endpoint);
  return room > 0 &&
         draw(endpoint, limits, now) < room / (1 + limits->sharers.rivals);
}

GateVerdict gate_check_limits(const EndpointTable *table,
                              const Endpoint *endpoint,
                              const GateLimits *limits, gint64 now) {
  if (!may_connect(table, endpoint, limits, now))
    return GATE_CONNECTIONS;
  if (limits->rates == NULL ||
      rate_limits_allow(limits->rates, endpoint->hash, &limits->sharers, now))
    return GATE_OPEN;
  return GATE_RATE;
}

gboolean gate_keeps_connection(const EndpointTable *table,
                               const Endpoint *endpoint, guint connections_max,
                               guint instances) {
  double most = KEPT_SHARE * connections_max;
  if (connections_max == 0 ||
      endpoint_connections(table, endpoint) <= (guint)most)
    return TRUE;
  return endpoint->connections <= (guint)(most / MAX(instances, 1));
}

const char *gate_verdict_name(GateVerdict verdict) {
  static const char *const names[] = {"open", "leaving", "resting", "rate",
                                      "connections"};
  return names[verdict];
}
