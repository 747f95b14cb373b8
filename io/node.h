/*
** node.h
** One instance: the core, and the adapters that perform its effects
*/

#ifndef NODE_H
#define NODE_H

#include <event2/event.h>

#include "io/log.h"
#include "madderpier.h"

typedef struct Callers Callers;
typedef struct Endpoints Endpoints;
typedef struct Peers Peers;
typedef struct Platform Platform;
typedef struct Ops Ops;

/* what an instance needs to know; see docs/SETTINGS.md */
typedef struct NodeOptions {
  const char *dc;
  mp_Addr callers; /* HTTP for callers */
  mp_Addr rpc;     /* UDP for other instances */
  mp_Addr ops;     /* HTTP for operators */
  mp_Addr platform;
  const mp_Addr *seeds;
  unsigned nseed;
  uint32_t net, mask; /* network of the instance set */
  uint32_t max_body;  /* bytes */
  uint32_t max_headers;
  uint32_t caller_timeout_s;
} NodeOptions;

typedef struct Node {
  struct event_base *base;
  mp_State *state;
  Log *log;
  struct event *timer;
  int performing;
  int drained; /* the core said that nothing is left */
  Callers *callers;
  Endpoints *endpoints;
  Peers *peers;
  Platform *platform;
  Ops *ops;
} Node;

/* NULL and an error when an address cannot be bound */
Node *node_new(struct event_base *base, const NodeOptions *o, Log *log,
               GError **err);
void node_free(Node *node);

/* hand an event to the core and perform what it wants */
void node_feed(Node *node, const mp_Event *e);

#endif
