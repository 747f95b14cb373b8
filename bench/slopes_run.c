/*
** slopes_run.c
** The queue of what will happen, the stand-ins, and the cores that run
*/

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "bench/slopes.h"
#include "conf/conf.h"
#include "wire/rpc.h"

#define UDP_IP 28 /* bytes of headers around a datagram */
#define SLOTS 48  /* decode slots of a worker's engine */

/*
** {==================================================================
** The queue
** ===================================================================
*/

static int before(const Due *a, const Due *b) {
  return a->t != b->t ? a->t < b->t : a->n < b->n;
}

void slopes_schedule(Run *R, Due *d) {
  guint i = R->heap->len;
  d->n = ++R->serial;
  g_ptr_array_add(R->heap, d);
  while (i > 0 && before(d, R->heap->pdata[(i - 1) / 2])) {
    R->heap->pdata[i] = R->heap->pdata[(i - 1) / 2];
    i = (i - 1) / 2;
  }
  R->heap->pdata[i] = d;
}

Due *slopes_take_event(Run *R) {
  Due *top = R->heap->pdata[0];
  Due *last = R->heap->pdata[R->heap->len - 1];
  guint n;
  guint i = 0;
  g_ptr_array_set_size(R->heap, (gint)R->heap->len - 1);
  n = R->heap->len;
  while (2 * i + 1 < n) {
    guint c = 2 * i + 1;
    if (c + 1 < n && before(R->heap->pdata[c + 1], R->heap->pdata[c]))
      c++;
    if (!before(R->heap->pdata[c], last))
      break;
    R->heap->pdata[i] = R->heap->pdata[c];
    i = c;
  }
  if (n > 0)
    R->heap->pdata[i] = last;
  return top;
}

Due *slopes_new_event(Run *R, mp_Time t, What w, unsigned node) {
  Due *d = g_new0(Due, 1);
  d->t = t;
  d->what = w;
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

static unsigned nodeof(mp_Addr a) {
  return (unsigned)(a >> 16) - 0x0a000000;
}

/* one worker in four of each data centre computes prefills */
int slopes_is_prefill_worker(const Run *R, unsigned i) {
  return i / R->centres % 4 == 0;
}

static uint64_t gonekey(unsigned node, uint64_t xcall) {
  return (uint64_t)node << 48 ^ xcall;
}

static void answerx(Run *R, unsigned node, mp_Time wait,
                    const mp_EndpointEvent *x, const char *text,
                    uint32_t tokens) {
  Due *d = slopes_new_event(R, R->now + wait, SCHEDULED_ENDPOINT, node);
  d->x = *x;
  d->text = g_strdup(text);
  d->tokens = tokens;
  slopes_schedule(R, d);
}

static void onxcall(Run *R, unsigned node, const mp_EndpointCall *x) {
  mp_EndpointEvent e = {0};
  char kv[64];
  e.xcall = x->xcall;
  e.what = MP_EP_DONE;
  switch (x->op) {
  case MP_X_PREFILL:
    mp_token_text(&x->token, x->attempt, kv);
    e.life_ms = 4000;
    answerx(R, node, 60 * MP_MS, &e, kv, 0);
    break;
  case MP_X_DECODE:
    e.what = MP_EP_CHUNK;
    e.tokens = 1;
    answerx(R, node, 25 * MP_MS, &e, "token ", R->tokens);
    break;
  case MP_X_LOAD: {
    Due *d = slopes_new_event(R, R->now + 2 * LINK, SCHEDULED_ENDPOINT, node);
    d->x = e;
    d->text = g_strdup("");
    d->load = 1;
    d->from = x->endpoint;
    slopes_schedule(R, d);
    break;
  }
  default:
    answerx(R, node, 2 * LINK, &e, "", 0);
    break;
  }
}

static void loadanswer(const Run *R, mp_Addr engine, mp_LoadReport *l) {
  unsigned i = (unsigned)(engine >> 16) - 0x0a400000;
  l->role = slopes_is_prefill_worker(R, i) ? MP_ROLE_PREFILL : MP_ROLE_DECODE;
  l->slots = SLOTS;
  l->rate = l->role == MP_ROLE_PREFILL ? 100000 : 25000;
}

static void onstore(Run *R, unsigned node, const mp_StoreCall *s) {
  Due *d;
  R->node[node].store++;
  R->node[node].writes += s->what == MP_ST_PUT;
  if (s->what == MP_ST_WATCH) {
    if (strcmp(s->key, "config/manifest") == 0) {
      d = slopes_new_event(R, 0, SCHEDULED_STORE, node);
      d->store.op = s->op;
      g_ptr_array_add(R->watches, d);
    }
    return; /* the core renews it by itself */
  }
  d = slopes_new_event(R, R->now + 2 * LINK, SCHEDULED_STORE, node);
  d->store.op = s->op;
  d->store.status = MP_STORE_OK;
  d->store.version = 1;
  if (s->what == MP_ST_PUT)
    d->store.version = s->version + 1;
  else if (strcmp(s->key, "instances") == 0)
    d->text = g_strdup(R->list);
  else if (strcmp(s->key, "config/manifest") == 0) {
    d->store.version = R->manifestversion;
    d->text = g_strdup(R->manifest);
  } else if (g_str_has_prefix(s->key, "config/section/"))
    d->text = g_strdup(strcmp(s->key + 15, R->digest[0]) == 0 ? R->section[0]
                                                              : R->section[1]);
  else
    d->store.status = MP_STORE_ABSENT;
  slopes_schedule(R, d);
}

static void onsend(Run *R, unsigned node, mp_Addr to, const mp_Msg *m) {
  char buf[MP_DATAGRAM_MAX];
  Due *d = slopes_new_event(R, R->now + LINK, SCHEDULED_MSG, nodeof(to));
  size_t n = rpc_encode(m, buf, sizeof buf) + UDP_IP;
  R->node[node].bytes += n;
  R->node[node].msgs++;
  R->kindmsgs[m->kind]++;
  R->kindbytes[m->kind] += n;
  R->node[d->node].bytes += n; /* in and out both count */
  d->from = slopes_node_address(node);
  d->msg = g_memdup2(m, sizeof *m);
  slopes_schedule(R, d);
}

/* }================================================================== */

/*
** {==================================================================
** Running
** ===================================================================
*/

static double cputime(void) {
  struct timespec t;
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &t);
  return (double)t.tv_sec + (double)t.tv_nsec / 1e9;
}

void slopes_perform_effects(Run *R, unsigned i) {
  Node *N = &R->node[i];
  mp_Effect fx;
  mp_Time w;
  for (;;) {
    double c = cputime();
    int more = mp_next_effect(N->M, &fx);
    N->cpu += cputime() - c;
    if (!more)
      break;
    if (fx.kind == MP_FX_SEND)
      onsend(R, i, fx.u.send.to, &fx.u.send.msg);
    else if (fx.kind == MP_FX_ENDPOINT_CALL)
      onxcall(R, i, &fx.u.xcall);
    else if (fx.kind == MP_FX_ENDPOINT_ABORT) {
      uint64_t k = gonekey(i, fx.u.xabort);
      g_hash_table_add(R->gone, g_memdup2(&k, sizeof k));
    } else if (fx.kind == MP_FX_STORE)
      onstore(R, i, &fx.u.store);
    else if (fx.kind == MP_FX_REPLY) {
      R->answered += fx.u.reply.what == MP_REPLY_END;
      R->refused += fx.u.reply.what == MP_REPLY_ERROR;
      R->errors[fx.u.reply.error] += fx.u.reply.what == MP_REPLY_ERROR;
    }
  }
  w = mp_next_tick(N->M);
  if (N->woken > R->now && N->woken <= w)
    return;
  N->woken = MAX(w, R->now);
  slopes_schedule(R, slopes_new_event(R, N->woken, SCHEDULED_TICK, i));
}

static void feed(Run *R, unsigned i, const mp_Event *e) {
  double c = cputime();
  mp_feed(R->node[i].M, R->now, e);
  R->node[i].cpu += cputime() - c;
  slopes_perform_effects(R, i);
}

static void call(Run *R, Due *d) {
  static const char *const classes[] = {"flag", "question", "summary"};
  mp_Event e = {0};
  Due *next = slopes_new_event(R, R->now + (mp_Time)(MP_SEC / R->rate),
                               SCHEDULED_REQUEST, (d->node + 7) % R->nodes);
  char bearer[32];
  char model[16];
  g_snprintf(bearer, sizeof bearer, "key-%u", (unsigned)(R->call % 280));
  g_snprintf(model, sizeof model, "m%u", (unsigned)(R->call % 16));
  e.kind = MP_EV_CALL;
  e.u.call.call = ++R->call;
  e.u.call.bearer = bearer;
  e.u.call.model = model;
  e.u.call.class_name = classes[R->call % 3];
  e.u.call.prompt_tokens = 1000;
  e.u.call.max_tokens = R->tokens;
  e.u.call.prefix = R->call % 500 + 1;
  slopes_schedule(R, next);
  feed(R, d->node, &e);
}

/* one token of a stream; the next one follows, and then the end */
static void token(Run *R, Due *d, mp_Event *e) {
  uint64_t k = gonekey(d->node, d->x.xcall);
  mp_LoadReport l = {0};
  if (g_hash_table_contains(R->gone, &k))
    return;
  if (d->x.what == MP_EP_CHUNK && d->tokens > 0) {
    mp_EndpointEvent x = d->x;
    x.index++;
    if (d->tokens == 1) {
      x.what = MP_EP_DONE;
      x.tokens = R->tokens;
    }
    answerx(R, d->node, 25 * MP_MS, &x, "token ", d->tokens - 1);
  }
  e->kind = MP_EV_ENDPOINT;
  e->u.endpoint = d->x;
  if (d->load) {
    loadanswer(R, d->from, &l);
    e->u.endpoint.load = &l;
  }
  e->u.endpoint.text = d->text;
  e->u.endpoint.len = strlen(d->text);
  feed(R, d->node, e);
  e->u.endpoint.load = NULL; /* it lives in this function */
}

static void happen(Run *R, Due *d) {
  mp_Event e = {0};
  switch (d->what) {
  case SCHEDULED_TICK:
    if (R->node[d->node].woken == d->t)
      R->node[d->node].woken = 0;
    feed(R, d->node, &e);
    break;
  case SCHEDULED_MSG:
    e.kind = MP_EV_MSG;
    e.u.msg.from = d->from;
    e.u.msg.msg = d->msg;
    feed(R, d->node, &e);
    break;
  case SCHEDULED_ENDPOINT:
    token(R, d, &e);
    break;
  case SCHEDULED_STORE:
    e.kind = MP_EV_STORE;
    e.u.store = d->store;
    e.u.store.value = d->text;
    e.u.store.len = d->text != NULL ? strlen(d->text) : 0;
    feed(R, d->node, &e);
    break;
  case SCHEDULED_REQUEST:
    call(R, d);
    break;
  }
  g_free(d->msg);
  g_free(d->text);
  g_free(d);
}

void slopes_run_until(Run *R, mp_Time until) {
  while (R->heap->len > 0 && ((Due *)R->heap->pdata[0])->t <= until) {
    Due *d = slopes_take_event(R);
    R->now = MAX(R->now, d->t);
    happen(R, d);
  }
  R->now = until;
}

/* }================================================================== */
