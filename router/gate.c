/*
** gate.c
** Decides whether a dispatch may go to an endpoint now
*/

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "router/gate.h"

/* New connections are opened while the endpoint has less than this share of
** the connections that it accepts, because other instances open some before
** this one hears of them. */
#define OPEN_NEW_SHARE 0.92
/* While an endpoint has more than this share of the connections that it
** accepts, each instance keeps at most an equal part of that share. */
#define KEEP_ALL_SHARE 0.7

/* Returns TRUE if a dispatch of this kind may go to a leaving endpoint. */
static gboolean may_send_while_leaving(DispatchKind kind) {
  return kind == DISPATCH_RELEASE || kind == DISPATCH_CHECK;
}

/* Returns TRUE if a dispatch of this kind may go to a resting endpoint. */
static gboolean may_send_in_rest(const Availability *known,
                                 DispatchKind kind) {
  return kind == DISPATCH_CHECK ||
         (kind == DISPATCH_RELEASE && !known->has_dispatch_in_rest);
}

/* Returns TRUE if a dispatch of this kind may take such a path. */
static gboolean may_send_on_path(PathState state, DispatchKind kind) {
  if (kind == DISPATCH_CHECK || state == PATH_DIRECT)
    return TRUE;
  return state == PATH_INDIRECT && kind != DISPATCH_ORDER &&
         kind != DISPATCH_REPORT;
}

GateVerdict gate_check(const Endpoint *endpoint, DispatchKind kind,
                       gint64 now) {
  const Availability *known = &endpoint->availability;
  if (endpoint_is_leaving(endpoint) && !may_send_while_leaving(kind))
    return GATE_LEAVING;
  if (availability_rest_remaining(known, now) > 0 &&
      !may_send_in_rest(known, kind))
    return GATE_RESTING;
  if (!may_send_on_path(endpoint->path.state, kind))
    return GATE_PATH;
  return GATE_OPEN;
}

/* Returns a pseudo-random number from 0 to less than 1. It depends on the
** instance (by the seed), on the endpoint and on the connections that this
** instance has there, and changes once in each period of sharers.delay. */
static double draw_fraction(const Endpoint *endpoint, const GateLimits *limits,
                            gint64 now) {
  guint64 from[3] = {endpoint->hash, endpoint->connections,
                     (guint64)(now / limits->sharers.delay)};
  guint64 drawn = XXH3_64bits_withSeed(from, sizeof from, limits->seed);
  return (double)(drawn >> 11) / (double)(1ULL << 53);
}

/*
** Returns TRUE if a dispatch may use a connection to the endpoint. An idle
** connection of this instance may be used always; a new one must fit among
** those of all instances. Other instances may open connections before this one
** hears of them, so it takes a random share of the remaining room, as it does
** with named rates (router/rate_limits.h).
*/
static gboolean may_use_connection(const EndpointTable *table,
                                   const Endpoint *endpoint,
                                   const GateLimits *limits, gint64 now) {
  double remaining;
  if (limits->connections_max == 0 || endpoint->idle > 0)
    return TRUE;
  remaining = OPEN_NEW_SHARE * limits->connections_max -
              endpoint_connections(table, endpoint);
  return remaining > 0 &&
         draw_fraction(endpoint, limits, now) <
             remaining / (1 + limits->sharers.competing_requests);
}

GateVerdict gate_check_limits(const EndpointTable *table,
                              const Endpoint *endpoint,
                              const GateLimits *limits, gint64 now) {
  if (!may_use_connection(table, endpoint, limits, now))
    return GATE_CONNECTIONS;
  if (limits->rates == NULL ||
      rate_limits_allow(limits->rates, endpoint->hash, &limits->sharers, now))
    return GATE_OPEN;
  return GATE_RATE;
}

gboolean gate_keeps_connection(const EndpointTable *table,
                               const Endpoint *endpoint, guint connections_max,
                               guint instances) {
  double most = KEEP_ALL_SHARE * connections_max;
  if (connections_max == 0 ||
      endpoint_connections(table, endpoint) <= (guint)most)
    return TRUE;
  return endpoint->connections <= (guint)(most / MAX(instances, 1));
}

const char *gate_verdict_name(GateVerdict verdict) {
  static const char *const names[] = {"open", "leaving",     "resting",
                                      "rate", "connections", "path"};
  return names[verdict];
}
