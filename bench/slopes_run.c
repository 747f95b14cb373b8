/*
** slopes_run.c
** The event queue, the stand-ins, and the loop that feeds the cores
*/

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/slopes.h"
#include "conf/conf.h"
#include "wire/rpc.h"

/* Headers of a datagram: UDP 8 bytes, IPv4 20. */
#define UDP_IP_BYTES 28
/* Decode slots of an engine. */
#define ENGINE_SLOTS 48

/*
** {==================================================================
** The event queue
** ===================================================================
*/

static int is_due_before(const ScheduledEvent *a, const ScheduledEvent *b) {
  return a->due_at != b->due_at ? a->due_at < b->due_at
                                : a->sequence < b->sequence;
}

void slopes_schedule(Simulation *R, ScheduledEvent *d) {
  guint i = R->queue->len;
  d->sequence = ++R->last_sequence;
  g_ptr_array_add(R->queue, d);
  while (i > 0 && is_due_before(d, R->queue->pdata[(i - 1) / 2])) {
    R->queue->pdata[i] = R->queue->pdata[(i - 1) / 2];
    i = (i - 1) / 2;
  }
  R->queue->pdata[i] = d;
}

ScheduledEvent *slopes_take_event(Simulation *R) {
  ScheduledEvent *top = R->queue->pdata[0];
  ScheduledEvent *last = R->queue->pdata[R->queue->len - 1];
  guint n;
  guint i = 0;
  g_ptr_array_set_size(R->queue, (gint)R->queue->len - 1);
  n = R->queue->len;
  while (2 * i + 1 < n) {
    guint c = 2 * i + 1;
    if (c + 1 < n && is_due_before(R->queue->pdata[c + 1], R->queue->pdata[c]))
      c++;
    if (!is_due_before(R->queue->pdata[c], last))
      break;
    R->queue->pdata[i] = R->queue->pdata[c];
    i = c;
  }
  if (n > 0)
    R->queue->pdata[i] = last;
  return top;
}

ScheduledEvent *slopes_new_event(Simulation *R, mp_Time t, ScheduledKind w,
                                 unsigned node) {
  ScheduledEvent *d = g_new0(ScheduledEvent, 1);
  d->due_at = t;
  d->kind = w;
  d->node = node;
  return d;
  (void)R;
}

/* }================================================================== */

/*
** {==================================================================
** The stand-ins
** ===================================================================
*/

mp_Addr slopes_node_address(unsigned i) {
  return (mp_Addr)(0x0a000000 + i) << 16 | 7000;
}

mp_Addr slopes_worker_address(unsigned i) {
  return (mp_Addr)(0x0a400000 + i) << 16 | 8000;
}

static unsigned node_of_address(mp_Addr a) {
  return (unsigned)(a >> 16) - 0x0a000000;
}

/* Worker i is in data centre i % centres; one in four of each prefills. */
int slopes_is_prefill_worker(const Simulation *R, unsigned i) {
  return i / R->data_centres % 4 == 0;
}

/* Returns the key under which a node's endpoint call is marked aborted. */
static uint64_t aborted_call_key(unsigned node, uint64_t xcall) {
  return (uint64_t)node << 48 ^ xcall;
}

/* Schedules the answer of an engine; 'tokens' are still to come after it. */
static void schedule_answer(Simulation *R, unsigned node, mp_Time wait,
                            const mp_EndpointEvent *x, const char *text,
                            uint32_t tokens) {
  ScheduledEvent *d =
      slopes_new_event(R, R->now + wait, SCHEDULED_ENDPOINT, node);
  d->endpoint_event = *x;
  d->text = g_strdup(text);
  d->tokens = tokens;
  slopes_schedule(R, d);
}

/*
** Plays the engines: a prefill takes 60 ms and keeps its KV cache for 4 s, a
** token takes 25 ms, and all other calls take a round trip.
*/
static void on_endpoint_call(Simulation *R, unsigned node,
                             const mp_EndpointCall *x) {
  mp_EndpointEvent e = {0};
  char kv[64];
  e.xcall = x->xcall;
  e.what = MP_EP_DONE;
  switch (x->op) {
  case MP_X_PREFILL:
    mp_token_text(&x->token, x->attempt, kv);
    e.life_ms = 4000;
    schedule_answer(R, node, 60 * MP_MS, &e, kv, 0);
    break;
  case MP_X_DECODE:
    e.what = MP_EP_CHUNK;
    e.tokens = 1;
    schedule_answer(R, node, 25 * MP_MS, &e, "token ", R->answer_tokens);
    break;
  case MP_X_LOAD: {
    ScheduledEvent *d =
        slopes_new_event(R, R->now + 2 * LINK_DELAY, SCHEDULED_ENDPOINT, node);
    d->endpoint_event = e;
    d->text = g_strdup("");
    d->is_load_answer = 1;
    d->from = x->endpoint;
    slopes_schedule(R, d);
    break;
  }
  default:
    schedule_answer(R, node, 2 * LINK_DELAY, &e, "", 0);
    break;
  }
}

/* Fills in the load that an engine reports; rates are tokens per second. */
static void fill_load(const Simulation *R, mp_Addr engine, mp_LoadReport *l) {
  unsigned i = (unsigned)(engine >> 16) - 0x0a400000;
  l->role = slopes_is_prefill_worker(R, i) ? MP_ROLE_PREFILL : MP_ROLE_DECODE;
  l->slots = ENGINE_SLOTS;
  l->rate = l->role == MP_ROLE_PREFILL ? 100000 : 25000;
}

/*
** Plays the platform's store: a read or write takes a round trip. A watch of
** the manifest waits for slopes_answer_watches; other watches get no
** answer.
*/
static void on_store_call(Simulation *R, unsigned node,
                          const mp_StoreCall *s) {
  ScheduledEvent *d;
  R->node[node].store_calls++;
  R->node[node].store_writes += s->what == MP_ST_PUT;
  if (s->what == MP_ST_WATCH) {
    if (strcmp(s->key, "config/manifest") == 0) {
      d = slopes_new_event(R, 0, SCHEDULED_STORE, node);
      d->store_event.op = s->op;
      g_ptr_array_add(R->watches, d);
    }
    return; /* a core renews a watch that is not answered */
  }
  d = slopes_new_event(R, R->now + 2 * LINK_DELAY, SCHEDULED_STORE, node);
  d->store_event.op = s->op;
  d->store_event.status = MP_STORE_OK;
  d->store_event.version = 1;
  if (s->what == MP_ST_PUT)
    d->store_event.version = s->version + 1;
  else if (strcmp(s->key, "instances") == 0)
    d->text = g_strdup(R->instance_list);
  else if (strcmp(s->key, "config/manifest") == 0) {
    d->store_event.version = R->manifest_version;
    d->text = g_strdup(R->manifest);
  } else if (g_str_has_prefix(s->key, "config/section/"))
    d->text = g_strdup(strcmp(s->key + 15, R->digest[0]) == 0 ? R->section[0]
                                                              : R->section[1]);
  else
    d->store_event.status = MP_STORE_ABSENT;
  slopes_schedule(R, d);
}

/* Schedules the arrival of a message after the delay of the link. */
static void on_send(Simulation *R, unsigned node, mp_Addr to,
                    const mp_Msg *m) {
  char buf[MP_DATAGRAM_MAX];
  ScheduledEvent *d = slopes_new_event(R, R->now + LINK_DELAY, SCHEDULED_MSG,
                                       node_of_address(to));
  size_t n = rpc_encode(m, buf, sizeof buf) + UDP_IP_BYTES;
  R->node[node].bytes += n;
  R->node[node].messages++;
  R->sent_messages_by_kind[m->kind]++;
  R->sent_bytes_by_kind[m->kind] += n;
  /* Bytes count at the sender and at the receiver. */
  R->node[d->node].bytes += n;
  d->from = slopes_node_address(node);
  d->msg = g_memdup2(m, sizeof *m);
  slopes_schedule(R, d);
}

/* }================================================================== */

/*
** {==================================================================
** Feeding the cores
** ===================================================================
*/

static double cpu_seconds(void) {
  struct timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

void slopes_perform_effects(Simulation *R, unsigned i) {
  Node *N = &R->node[i];
  mp_Effect fx;
  mp_Time w;
  for (;;) {
    double c = cpu_seconds();
    int more = mp_next_effect(N->core, &fx);
    N->cpu_seconds += cpu_seconds() - c;
    if (!more)
      break;
    if (fx.kind == MP_FX_SEND)
      on_send(R, i, fx.u.send.to, &fx.u.send.msg);
    else if (fx.kind == MP_FX_ENDPOINT_CALL)
      on_endpoint_call(R, i, &fx.u.xcall);
    else if (fx.kind == MP_FX_ENDPOINT_ABORT) {
      uint64_t k = aborted_call_key(i, fx.u.xabort);
      g_hash_table_add(R->aborted_calls, g_memdup2(&k, sizeof k));
    } else if (fx.kind == MP_FX_STORE)
      on_store_call(R, i, &fx.u.store);
    else if (fx.kind == MP_FX_REPLY) {
      R->answered += fx.u.reply.what == MP_REPLY_END;
      R->refused += fx.u.reply.what == MP_REPLY_ERROR;
      R->errors_by_kind[fx.u.reply.error] += fx.u.reply.what == MP_REPLY_ERROR;
    }
  }
  w = mp_next_tick(N->core);
  if (N->tick_at > R->now && N->tick_at <= w)
    return;
  N->tick_at = MAX(w, R->now);
  slopes_schedule(R, slopes_new_event(R, N->tick_at, SCHEDULED_TICK, i));
}

/* Passes an event to node i's core and performs what the core asks for. */
static void feed_core(Simulation *R, unsigned i, const mp_Event *e) {
  double c = cpu_seconds();
  mp_feed(R->node[i].core, R->now, e);
  R->node[i].cpu_seconds += cpu_seconds() - c;
  slopes_perform_effects(R, i);
}

/*
** Delivers a request to the node and schedules the next one, at another node.
** The requests go round 280 accounts, 16 models, 3 classes and 500 prefixes.
*/
static void deliver_request(Simulation *R, ScheduledEvent *d) {
  static const char *const classes[] = {"flag", "question", "summary"};
  mp_Event e = {0};
  ScheduledEvent *next =
      slopes_new_event(R, R->now + (mp_Time)(MP_SEC / R->rate),
                       SCHEDULED_REQUEST, (d->node + 7) % R->nodes);
  char bearer[32];
  char model[16];
  g_snprintf(bearer, sizeof bearer, "key-%u", (unsigned)(R->last_call % 280));
  g_snprintf(model, sizeof model, "m%u", (unsigned)(R->last_call % 16));
  e.kind = MP_EV_CALL;
  e.u.call.call = ++R->last_call;
  e.u.call.bearer = bearer;
  e.u.call.model = model;
  e.u.call.class_name = classes[R->last_call % 3];
  e.u.call.prompt_tokens = 1000;
  e.u.call.max_tokens = R->answer_tokens;
  e.u.call.prefix = R->last_call % 500 + 1;
  slopes_schedule(R, next);
  feed_core(R, d->node, &e);
}

/*
** Delivers the answer of an engine, unless its call was aborted. For a token
** of a stream it schedules the next one, or the end after the last.
*/
static void deliver_answer(Simulation *R, ScheduledEvent *d, mp_Event *e) {
  uint64_t k = aborted_call_key(d->node, d->endpoint_event.xcall);
  mp_LoadReport l = {0};
  if (g_hash_table_contains(R->aborted_calls, &k))
    return;
  if (d->endpoint_event.what == MP_EP_CHUNK && d->tokens > 0) {
    mp_EndpointEvent x = d->endpoint_event;
    x.index++;
    if (d->tokens == 1) {
      x.what = MP_EP_DONE;
      x.tokens = R->answer_tokens;
    }
    schedule_answer(R, d->node, 25 * MP_MS, &x, "token ", d->tokens - 1);
  }
  e->kind = MP_EV_ENDPOINT;
  e->u.endpoint = d->endpoint_event;
  if (d->is_load_answer) {
    fill_load(R, d->from, &l);
    e->u.endpoint.load = &l;
  }
  e->u.endpoint.text = d->text;
  e->u.endpoint.len = strlen(d->text);
  feed_core(R, d->node, e);
  e->u.endpoint.load = NULL; /* 'l' is local */
}

/* Delivers an event that is due, and frees it. */
static void deliver_event(Simulation *R, ScheduledEvent *d) {
  mp_Event e = {0};
  switch (d->kind) {
  case SCHEDULED_TICK:
    if (R->node[d->node].tick_at == d->due_at)
      R->node[d->node].tick_at = 0;
    feed_core(R, d->node, &e);
    break;
  case SCHEDULED_MSG:
    e.kind = MP_EV_MSG;
    e.u.msg.from = d->from;
    e.u.msg.msg = d->msg;
    feed_core(R, d->node, &e);
    break;
  case SCHEDULED_ENDPOINT:
    deliver_answer(R, d, &e);
    break;
  case SCHEDULED_STORE:
    e.kind = MP_EV_STORE;
    e.u.store = d->store_event;
    e.u.store.value = d->text;
    e.u.store.len = d->text != NULL ? strlen(d->text) : 0;
    feed_core(R, d->node, &e);
    break;
  case SCHEDULED_REQUEST:
    deliver_request(R, d);
    break;
  }
  g_free(d->msg);
  g_free(d->text);
  g_free(d);
}

void slopes_run_until(Simulation *R, mp_Time until) {
  while (R->queue->len > 0 &&
         ((ScheduledEvent *)R->queue->pdata[0])->due_at <= until) {
    ScheduledEvent *d = slopes_take_event(R);
    R->now = MAX(R->now, d->due_at);
    deliver_event(R, d);
  }
  R->now = until;
}

/* }================================================================== */
