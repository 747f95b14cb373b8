/*
** carry_server.h
** Carries bytes to endpoints for instances that have lost their own paths
**
** Another instance connects, names an endpoint (MP_MSG_CARRY), and gets a
** verdict. After CARRY_CONNECTED the bytes of both sides are passed on as they
** are, in one record for each direction (io/record_stream.h). The asking
** instance decides everything about the request; nothing is read here.
**
** Invariants:
** - Only instances that the store lists may ask, and only for endpoints that
**   this instance knows; connections from elsewhere are closed and logged.
** - When one side ends, the other one ends: a caller that leaves is seen by
**   the endpoint through both connections. Only an end of the endpoint's
**   stream that was complete is passed on as one.
** - At most CARRIED_MAX connections are carried, and of each at most
**   CARRIED_BUFFER bytes are kept for a side that reads slowly.
*/

#ifndef CARRY_SERVER_H
#define CARRY_SERVER_H

#include <event2/event.h>

#include "io/log.h"
#include "router/router.h"

typedef struct CarryServer CarryServer;

/* Each carried connection takes two descriptors. */
#define CARRIED_MAX 512
/* bytes that are kept for one side while it does not read */
#define CARRIED_BUFFER (64 << 10)

typedef struct CarryServerHooks {
  void *data;
  /* As router_may_carry. */
  CarryVerdict (*may_carry)(void *data, guint32 endpoint, mp_Addr *address);
} CarryServerHooks;

/* Listens on 'address'. Returns NULL and sets an error when it cannot be
** bound. 'hooks' is copied, 'log' is borrowed. */
CarryServer *carry_server_new(struct event_base *base, mp_Addr address,
                              const CarryServerHooks *hooks, Log *log,
                              GError **error);
/* Closes all connections. */
void carry_server_free(CarryServer *server);

/* Sets the instances that may ask: an array of mp_Addr, of which the hosts
** count. */
void carry_server_set_peers(CarryServer *server, const GArray *addresses);
/* Takes no further call, and has the askers open no further request on the
** connections that they keep. */
void carry_server_drain(CarryServer *server);
/* Returns the number of connections that are carried. */
guint carry_server_count(const CarryServer *server);
/* Returns the number of those that were made since the start. */
guint64 carry_server_total(const CarryServer *server);

#endif
