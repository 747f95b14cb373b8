/*
** node.h
** One instance of madderpierd with madderpier's own HTTP interface: the core,
** and the adapters that do its input and output (adapters.h)
**
** The core is a state machine without input or output of its own. An adapter
** hands it an event (include/mpevent.h) by node_feed(). The core returns the
** actions that it wants performed, its effects (include/mpeffect.h), and they
** are performed before node_feed() returns. An instance for an external
** protocol is a Gateway (gateway.h) instead.
*/

#ifndef NODE_H
#define NODE_H

#include <event2/event.h>

#include "io/intake.h"
#include "io/log.h"
#include "madderpier.h"

typedef struct Callers Callers;
typedef struct Endpoints Endpoints;
typedef struct Peers Peers;
typedef struct Platform Platform;
typedef struct Ops Ops;

/* The settings of an instance; see docs/SETTINGS.md. */
typedef struct NodeOptions {
  const char *dc;       /* data centre */
  mp_Addr callers;      /* listens for callers (HTTP) */
  mp_Addr rpc;          /* listens for other instances (UDP) */
  mp_Addr ops;          /* listens for operators (HTTP) */
  mp_Addr platform;     /* the platform's object API (HTTP) */
  const mp_Addr *seeds; /* RPC addresses of instances to contact first */
  unsigned nseed;
  uint32_t net, mask;        /* IPv4 network in which all instances are */
  uint32_t max_body;         /* bytes of a request body */
  uint32_t max_headers;      /* number of header fields of a request */
  uint32_t caller_timeout_s; /* seconds without progress after which a caller's
                             ** connection is closed, and in which a request
                             ** must arrive */
  uint64_t memory_bound;     /* bytes that requests may hold while they arrive;
                             ** 0: not bounded */
  unsigned connections_max;  /* of callers; 0: as many as come */
} NodeOptions;

typedef struct Node {
  struct event_base *base;
  mp_State *state;
  Log *log;
  struct event *timer; /* runs when the core next has something to do */
  int performing;      /* effects are being performed */
  mp_Time drained_at;  /* when the core reported that its drain is complete;
                       ** 0: it has not */
  struct event *flush_timer; /* after that: is every reply sent? */
  int is_clean;              /* the stop has ended, and cut nothing off */
  Intake *intake;            /* what callers have under way */
  Callers *callers;
  Endpoints *endpoints;
  Peers *peers;
  Platform *platform;
  Ops *ops;
} Node;

/*
** Starts an instance. Returns NULL and sets 'err' when an address cannot be
** bound. 'base' and 'log' are borrowed and have to outlive the node.
*/
Node *node_new(struct event_base *base, const NodeOptions *o, Log *log,
               GError **err);
void node_free(Node *node);

/*
** Ends the event loop of a planned stop at once, and logs what that cuts off.
*/
void node_stop_now(Node *node);

/*
** Hands an event to the core and performs the resulting effects. It must not
** be called while effects are performed.
*/
void node_feed(Node *node, const mp_Event *e);

#endif
