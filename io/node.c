/*
** node.c
** One instance: the core, and the adapters that perform its effects
**
** Effects are performed one by one after each event. No adapter feeds an
** event while an effect is performed; an event that arises meanwhile is
** deferred to the event loop.
**
** A planned stop has two parts. The core finishes all work and reports that
** its drain is complete. Then replies may still wait in this process, which
** are lost when it ends, or in the kernel, which discards them if the caller
** sends on after that: the event loop ends when callers have acknowledged all.
*/

#include <string.h>
#include <time.h>

#include "conf/conf.h"
#include "io/adapters.h"
#include "io/clock.h"
#include "io/node.h"

/* After the drain, how often it is checked whether all replies are sent. */
#define FLUSH_CHECK_INTERVAL (50 * MP_MS)
/* How long a planned stop waits after the drain for replies to be sent. Up to
** 4 MB of one are unsent (MAX_UNREAD_BYTES in callers.c), which take 3.4 s at
** 10 Mbit/s, the slowest link of an instance. */
#define FLUSH_MAX (10 * MP_SEC)

/*
** {==================================================================
** End of a planned stop
** ===================================================================
*/

static void log_stop(const Node *node, const CallersUnsent *unsent) {
  log_numbered(node->log, MP_LOG_STOP,
               " drained=%d open=%u sending=%u unsent=%zu cut=%u operators=%u",
               node->is_clean, unsent->open, unsent->sending, unsent->bytes,
               unsent->cut, ops_sending(node->ops));
}

static void start_flush_timer(Node *node, mp_Time wait) {
  struct timeval t = {wait / MP_SEC, wait % MP_SEC};
  event_add(node->flush_timer, &t);
}

static void on_flush_timer(evutil_socket_t fd, short what, void *arg) {
  Node *node = arg;
  CallersUnsent unsent;
  int is_finished;
  (void)fd;
  (void)what;
  callers_stop_accepting(node->callers);
  callers_unsent(node->callers, &unsent);
  is_finished =
      unsent.open == 0 && unsent.sending == 0 && ops_sending(node->ops) == 0;
  if (!is_finished && clock_now() - node->drained_at < FLUSH_MAX) {
    start_flush_timer(node, FLUSH_CHECK_INTERVAL);
    return;
  }
  node->is_clean = is_finished && unsent.cut == 0;
  log_stop(node, &unsent);
  event_base_loopbreak(node->base);
}

void node_stop_now(Node *node) {
  CallersUnsent unsent;
  callers_unsent(node->callers, &unsent);
  log_stop(node, &unsent);
  event_base_loopbreak(node->base);
}

/* }================================================================== */

static void perform(Node *node, const mp_Effect *e) {
  switch (e->kind) {
  case MP_FX_NONE:
    break;
  case MP_FX_SEND:
    peers_send(node->peers, e->u.send.to, &e->u.send.msg);
    break;
  case MP_FX_ENDPOINT_CALL:
    endpoints_call(node->endpoints, &e->u.xcall);
    break;
  case MP_FX_ENDPOINT_ABORT:
    endpoints_abort(node->endpoints, e->u.xabort);
    break;
  case MP_FX_REPLY:
    callers_reply(node->callers, &e->u.reply);
    break;
  case MP_FX_STORE:
    platform_call(node->platform, &e->u.store);
    break;
  case MP_FX_LOG:
    log_event(node->log, (int)e->u.log.no, e->u.log.level, e->u.log.text,
              e->u.log.fields);
    break;
  case MP_FX_DRAINED:
    node->drained_at = clock_now();
    /* requests that have arrived are read before the first check */
    start_flush_timer(node, FLUSH_CHECK_INTERVAL);
    break;
  }
}

static void start_timer(Node *node) {
  mp_Time wait = mp_next_tick(node->state) - clock_now();
  struct timeval t;
  wait = CLAMP(wait, 0, 10 * MP_SEC);
  t.tv_sec = wait / MP_SEC;
  t.tv_usec = wait % MP_SEC;
  event_add(node->timer, &t);
}

void node_feed(Node *node, const mp_Event *e) {
  mp_Effect fx;
  g_assert(!node->performing);
  mp_feed(node->state, clock_now(), e);
  if (e->kind == MP_EV_DRAIN)
    callers_drain(node->callers);
  node->performing = 1;
  while (mp_next_effect(node->state, &fx))
    perform(node, &fx);
  node->performing = 0;
  start_timer(node);
}

static void on_timer(evutil_socket_t fd, short what, void *arg) {
  mp_Event e = {0};
  (void)fd;
  (void)what;
  e.kind = MP_EV_TICK;
  node_feed(arg, &e);
}

static mp_State *new_core(const NodeOptions *o) {
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
  return mp_new(&m, clock_now());
}

Node *node_new(struct event_base *base, const NodeOptions *o, Log *log,
               GError **err) {
  Node *node = g_new0(Node, 1);
  mp_Event e = {0};
  node->base = base;
  node->log = log;
  node->timer = evtimer_new(base, on_timer, node);
  node->flush_timer = evtimer_new(base, on_flush_timer, node);
  node->intake = intake_new(base, log);
  node->state = new_core(o);
  node->endpoints = endpoints_new(node);
  node->platform = platform_new(node, o->platform);
  node->peers = peers_new(node, o->rpc, err);
  if (node->peers != NULL)
    node->ops = ops_new(node, o->ops, err);
  if (node->ops != NULL)
    node->callers = callers_new(node, o, err);
  if (node->callers == NULL) {
    node_free(node);
    return NULL;
  }
  e.kind = MP_EV_TICK;
  node_feed(node, &e);
  return node;
}

void node_free(Node *node) {
  if (node->callers != NULL)
    callers_free(node->callers);
  if (node->ops != NULL)
    ops_free(node->ops);
  if (node->peers != NULL)
    peers_free(node->peers);
  platform_free(node->platform);
  endpoints_free(node->endpoints);
  mp_free(node->state);
  intake_free(node->intake);
  event_free(node->timer);
  event_free(node->flush_timer);
  g_free(node);
}
