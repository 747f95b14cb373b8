/*
** node.c
** One instance: the core, and the adapters that perform its effects
**
** Effects are performed one by one after each event. No adapter feeds an
** event while an effect is performed; what must come at once is deferred
** to the loop.
*/

#include <string.h>
#include <time.h>

#include "conf/conf.h"
#include "io/adapters.h"
#include "io/node.h"

mp_Time node_now(void) {
  return g_get_monotonic_time();
}

static void perform(Node *N, const mp_Effect *e) {
  switch (e->kind) {
  case MP_FX_NONE:
    break;
  case MP_FX_SEND:
    peers_send(N->peers, e->u.send.to, &e->u.send.msg);
    break;
  case MP_FX_XCALL:
    endpoints_call(N->endpoints, &e->u.xcall);
    break;
  case MP_FX_XABORT:
    endpoints_abort(N->endpoints, e->u.xabort);
    break;
  case MP_FX_REPLY:
    callers_reply(N->callers, &e->u.reply);
    break;
  case MP_FX_STORE:
    platform_call(N->platform, &e->u.store);
    break;
  case MP_FX_LOG:
    log_event(N->log, (int)e->u.log.no, e->u.log.level, e->u.log.text,
              e->u.log.fields);
    break;
  case MP_FX_DRAINED:
    N->drained = 1;
    event_base_loopbreak(N->base);
    break;
  }
}

static void rearm(Node *N) {
  mp_Time wait = mp_wake(N->M) - node_now();
  struct timeval t;
  wait = CLAMP(wait, 0, 10 * MP_SEC);
  t.tv_sec = wait / MP_SEC;
  t.tv_usec = wait % MP_SEC;
  event_add(N->timer, &t);
}

void node_feed(Node *N, const mp_Event *e) {
  mp_Effect fx;
  g_assert(!N->performing);
  mp_feed(N->M, node_now(), e);
  N->performing = 1;
  while (mp_take(N->M, &fx))
    perform(N, &fx);
  N->performing = 0;
  rearm(N);
}

static void ontimer(evutil_socket_t fd, short what, void *arg) {
  mp_Event e = {0};
  (void)fd;
  (void)what;
  e.kind = MP_EV_TICK;
  node_feed(arg, &e);
}

static mp_State *newcore(const NodeOptions *o) {
  mp_Options m = {0};
  struct timespec t;
  clock_gettime(CLOCK_REALTIME, &t);
  m.self = o->rpc;
  m.dc = o->dc;
  m.start = (uint32_t)t.tv_sec;
  m.seed = (uint64_t)t.tv_nsec ^ o->rpc;
  m.seeds = o->seeds;
  m.nseed = o->nseed;
  m.net = o->net;
  m.mask = o->mask;
  m.codec = mp_codec();
  return mp_new(&m, node_now());
}

Node *node_new(struct event_base *base, const NodeOptions *o, Log *log,
               GError **err) {
  Node *N = g_new0(Node, 1);
  mp_Event e = {0};
  N->base = base;
  N->log = log;
  N->timer = evtimer_new(base, ontimer, N);
  N->M = newcore(o);
  N->endpoints = endpoints_new(N);
  N->platform = platform_new(N, o->platform);
  N->peers = peers_new(N, o->rpc, err);
  if (N->peers != NULL)
    N->ops = ops_new(N, o->ops, err);
  if (N->ops != NULL)
    N->callers = callers_new(N, o, err);
  if (N->callers == NULL) {
    node_free(N);
    return NULL;
  }
  e.kind = MP_EV_TICK;
  node_feed(N, &e);
  return N;
}

void node_free(Node *N) {
  if (N->callers != NULL)
    callers_free(N->callers);
  if (N->ops != NULL)
    ops_free(N->ops);
  if (N->peers != NULL)
    peers_free(N->peers);
  platform_free(N->platform);
  endpoints_free(N->endpoints);
  mp_free(N->M);
  event_free(N->timer);
  g_free(N);
}
