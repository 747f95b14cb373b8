/*
** slopes.c
** What a node spends, measured on real cores in one process
**
**   slopes [NODES CENTRES WORKERS RATE [TOKENS]]
**
** Without arguments: a table over growing sizes, up to the letter's. Each
** line runs NODES cores in virtual time between stand-ins that answer at
** once, first idle, then with RATE requests a second, then through one
** change of configuration. Bytes are those of the encoded datagrams with
** their UDP and IP headers; processor time is that of mp_feed and mp_take
** alone; memory is what the allocator handed out for the cores. HTTP and
** the kernel are not in it (docs/CAPACITY.md adds them, measured apart).
*/

#include <malloc.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "conf/conf.h"
#include "madderpier.h"
#include "wire/rpc.h"

#define UDP_IP 28 /* bytes of headers around a datagram */
#define SETTLE (6 * MP_SEC)
#define IDLE (20 * MP_SEC)
#define LOADED (4 * MP_SEC)
#define SLOTS 48 /* decode slots of a worker's engine */
#define LINK (1 * MP_MS)

/* something that will happen */
typedef enum What { W_TICK, W_MSG, W_X, W_STORE, W_CALL } What;

typedef struct Due {
  mp_Time t;
  uint64_t n;
  What what;
  unsigned node;
  mp_Addr from;
  mp_Msg *msg;
  mp_EndpointEvent x;
  char *text;
  mp_StoreEvent store;
  uint32_t tokens; /* W_X: of the answer that are still to come */
  int load;        /* W_X: an answer to a load call; 'from' is the engine */
} Due;

typedef struct Node {
  mp_State *M;
  mp_Time woken;
  uint64_t bytes, msgs, store, writes;
  double cpu; /* seconds */
  uint64_t config;
} Node;

typedef struct Run {
  unsigned nodes, centres, workers;
  double rate;
  uint32_t tokens;
  mp_Time now;
  uint64_t serial, call;
  GPtrArray *heap; /* Due, as a binary heap */
  Node *node;
  GHashTable *gone; /* xcalls that were aborted: node << 48 ^ xcall */
  char *list, *manifest;
  char *section[2]; /* accounts, and what changes */
  char digest[2][MP_DIGEST + 1];
  uint64_t manifestversion;
  GPtrArray *watches; /* Due, answered by the next change */
  uint64_t answered, refused;
  uint64_t kindmsgs[MP_MSG_LAST], kindbytes[MP_MSG_LAST];
  uint64_t errors[MP_ERR_COUNT];
} Run;

/*
** {==================================================================
** The queue
** ===================================================================
*/

static int before(const Due *a, const Due *b) {
  return a->t != b->t ? a->t < b->t : a->n < b->n;
}

static void push(Run *R, Due *d) {
  guint i = R->heap->len;
  d->n = ++R->serial;
  g_ptr_array_add(R->heap, d);
  while (i > 0 && before(d, R->heap->pdata[(i - 1) / 2])) {
    R->heap->pdata[i] = R->heap->pdata[(i - 1) / 2];
    i = (i - 1) / 2;
  }
  R->heap->pdata[i] = d;
}

static Due *pop(Run *R) {
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

static Due *due(Run *R, mp_Time t, What w, unsigned node) {
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

static mp_Addr nodeaddr(unsigned i) {
  return (mp_Addr)(0x0a000000 + i) << 16 | 7000;
}

static mp_Addr workeraddr(unsigned i) {
  return (mp_Addr)(0x0a400000 + i) << 16 | 8000;
}

static unsigned nodeof(mp_Addr a) {
  return (unsigned)(a >> 16) - 0x0a000000;
}

/* one worker in four of each data centre computes prefills */
static int prefills(const Run *R, unsigned i) {
  return i / R->centres % 4 == 0;
}

static uint64_t gonekey(unsigned node, uint64_t xcall) {
  return (uint64_t)node << 48 ^ xcall;
}

static void answerx(Run *R, unsigned node, mp_Time wait,
                    const mp_EndpointEvent *x, const char *text,
                    uint32_t tokens) {
  Due *d = due(R, R->now + wait, W_X, node);
  d->x = *x;
  d->text = g_strdup(text);
  d->tokens = tokens;
  push(R, d);
}

static void onxcall(Run *R, unsigned node, const mp_Xcall *x) {
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
    e.what = MP_EP_PIECE;
    e.tokens = 1;
    answerx(R, node, 25 * MP_MS, &e, "token ", R->tokens);
    break;
  case MP_X_LOAD: {
    Due *d = due(R, R->now + 2 * LINK, W_X, node);
    d->x = e;
    d->text = g_strdup("");
    d->load = 1;
    d->from = x->endpoint;
    push(R, d);
    break;
  }
  default:
    answerx(R, node, 2 * LINK, &e, "", 0);
    break;
  }
}

static void loadanswer(const Run *R, mp_Addr engine, mp_LoadAnswer *l) {
  unsigned i = (unsigned)(engine >> 16) - 0x0a400000;
  l->role = prefills(R, i) ? MP_ROLE_PREFILL : MP_ROLE_DECODE;
  l->slots = SLOTS;
  l->rate = l->role == MP_ROLE_PREFILL ? 100000 : 25000;
}

static void onstore(Run *R, unsigned node, const mp_StoreCall *s) {
  Due *d;
  R->node[node].store++;
  R->node[node].writes += s->what == MP_ST_PUT;
  if (s->what == MP_ST_WATCH) {
    if (strcmp(s->key, "config/manifest") == 0) {
      d = due(R, 0, W_STORE, node);
      d->store.op = s->op;
      g_ptr_array_add(R->watches, d);
    }
    return; /* the core renews it by itself */
  }
  d = due(R, R->now + 2 * LINK, W_STORE, node);
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
  push(R, d);
}

static void onsend(Run *R, unsigned node, mp_Addr to, const mp_Msg *m) {
  char buf[MP_MAXDGRAM];
  Due *d = due(R, R->now + LINK, W_MSG, nodeof(to));
  size_t n = rpc_encode(m, buf, sizeof buf) + UDP_IP;
  R->node[node].bytes += n;
  R->node[node].msgs++;
  R->kindmsgs[m->kind]++;
  R->kindbytes[m->kind] += n;
  R->node[d->node].bytes += n; /* in and out both count */
  d->from = nodeaddr(node);
  d->msg = g_memdup2(m, sizeof *m);
  push(R, d);
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

static void perform(Run *R, unsigned i) {
  Node *N = &R->node[i];
  mp_Effect fx;
  mp_Time w;
  for (;;) {
    double c = cputime();
    int more = mp_take(N->M, &fx);
    N->cpu += cputime() - c;
    if (!more)
      break;
    if (fx.kind == MP_FX_SEND)
      onsend(R, i, fx.u.send.to, &fx.u.send.msg);
    else if (fx.kind == MP_FX_XCALL)
      onxcall(R, i, &fx.u.xcall);
    else if (fx.kind == MP_FX_XABORT) {
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
  w = mp_wake(N->M);
  if (N->woken > R->now && N->woken <= w)
    return;
  N->woken = MAX(w, R->now);
  push(R, due(R, N->woken, W_TICK, i));
}

static void feed(Run *R, unsigned i, const mp_Event *e) {
  double c = cputime();
  mp_feed(R->node[i].M, R->now, e);
  R->node[i].cpu += cputime() - c;
  perform(R, i);
}

static void call(Run *R, Due *d) {
  static const char *const classes[] = {"flag", "question", "summary"};
  mp_Event e = {0};
  Due *next = due(R, R->now + (mp_Time)(MP_SEC / R->rate), W_CALL,
                  (d->node + 7) % R->nodes);
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
  push(R, next);
  feed(R, d->node, &e);
}

/* one token of a stream; the next one follows, and then the end */
static void token(Run *R, Due *d, mp_Event *e) {
  uint64_t k = gonekey(d->node, d->x.xcall);
  mp_LoadAnswer l = {0};
  if (g_hash_table_contains(R->gone, &k))
    return;
  if (d->x.what == MP_EP_PIECE && d->tokens > 0) {
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
  case W_TICK:
    if (R->node[d->node].woken == d->t)
      R->node[d->node].woken = 0;
    feed(R, d->node, &e);
    break;
  case W_MSG:
    e.kind = MP_EV_MSG;
    e.u.msg.from = d->from;
    e.u.msg.msg = d->msg;
    feed(R, d->node, &e);
    break;
  case W_X:
    token(R, d, &e);
    break;
  case W_STORE:
    e.kind = MP_EV_STORE;
    e.u.store = d->store;
    e.u.store.value = d->text;
    e.u.store.len = d->text != NULL ? strlen(d->text) : 0;
    feed(R, d->node, &e);
    break;
  case W_CALL:
    call(R, d);
    break;
  }
  g_free(d->msg);
  g_free(d->text);
  g_free(d);
}

static void runto(Run *R, mp_Time until) {
  while (R->heap->len > 0 && ((Due *)R->heap->pdata[0])->t <= until) {
    Due *d = pop(R);
    R->now = MAX(R->now, d->t);
    happen(R, d);
  }
  R->now = until;
}

/* }================================================================== */

/*
** {==================================================================
** The world
** ===================================================================
*/

static void dcname(unsigned i, const Run *R, char out[16]) {
  g_snprintf(out, 16, "dc-%u", i % R->centres);
}

static char *makelist(const Run *R) {
  GString *g = g_string_new("{\"version\": 1, \"instances\": [");
  char a[24];
  char dc[16];
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    mp_addr_text(nodeaddr(i), a);
    dcname(i, R, dc);
    g_string_append_printf(g,
                           "%s{\"kind\":\"entry\",\"name\":\"e%u\","
                           "\"data_centre\":\"%s\",\"address\":\"%s\","
                           "\"state\":\"live\"}",
                           i > 0 ? "," : "", i, dc, a);
  }
  for (i = 0; i < R->workers; i++) {
    mp_addr_text(workeraddr(i), a);
    dcname(i, R, dc);
    g_string_append_printf(g,
                           ",{\"kind\":\"endpoint\",\"name\":\"w%u\","
                           "\"data_centre\":\"%s\",\"address\":\"%s\","
                           "\"service\":\"llm\",\"role\":\"%s\","
                           "\"state\":\"live\"}",
                           i, dc, a, prefills(R, i) ? "prefill" : "decode");
  }
  g_string_append(g, "]}");
  return g_string_free(g, FALSE);
}

static void manyaccounts(GString *g) {
  char d[MP_DIGEST + 1];
  char key[32];
  unsigned i;
  g_string_append(g, "accounts:\n");
  for (i = 0; i < 280; i++) {
    g_snprintf(key, sizeof key, "key-%u", i);
    mp_digest(key, strlen(key), d);
    g_string_append_printf(g,
                           "  - {name: acct-%u, key_sha256: %s, classes: "
                           "[flag, question, summary]}\n",
                           i, d);
  }
}

static char *makesection(const Run *R, unsigned change) {
  static const char *const classes[] = {"flag", "question", "summary"};
  GString *g = g_string_new("data_centres:\n");
  GString *all = g_string_new(NULL);
  unsigned i;
  for (i = 0; i < R->centres; i++) {
    g_string_append_printf(g, "  - {name: dc-%u, region: r%u}\n", i, i % 3);
    g_string_append_printf(all, "%sdc-%u", i > 0 ? ", " : "", i);
  }
  g_string_append(g, "services:\n  - {name: llm, kind: engine}\nmodels:\n");
  for (i = 0; i < 16; i++)
    g_string_append_printf(
        g, "  - {name: m%u, service: llm, kv_bytes_per_token: 100000}\n", i);
  g_string_append(g, "pools:\n");
  for (i = 0; i < 2; i++)
    g_string_append_printf(
        g,
        "  - {service: llm, role: %s, models: [m0, m1, m2, m3, m4, m5, "
        "m6, m7, m8, m9, m10, m11, m12, m13, m14, m15]}\n",
        i == 0 ? "prefill" : "decode");
  g_string_append(g, "classes:\n");
  for (i = 0; i < 3; i++)
    g_string_append_printf(g,
                           "  - {name: %s, first_token_ms: 520, token_ms: "
                           "32, deadline_ms: 60000, weight: 5, repeatable: "
                           "true}\n",
                           classes[i]);
  g_string_append(g, "rules:\n");
  for (i = 0; i < 3; i++)
    g_string_append_printf(g,
                           "  - {class: %s, run_in: [%s], kv_move: region}\n",
                           classes[i], all->str);
  g_string_append_printf(
      g,
      "drained: [none-%u]\npolicy: {pick: madderpier, decode_first: true, "
      "prefix_affinity: true, slack_order: true, long_cap: true, "
      "transfer_plan: true, keep_prefill: true, refuse_early: true, "
      "quota_slices: true, role_orders: false, refuse_at: 100}\n",
      change);
  g_string_free(all, TRUE);
  return g_string_free(g, FALSE);
}

static void publish(Run *R, uint64_t version) {
  static const char *const names[] = {"accounts.yaml", "rest.yaml"};
  GString *accounts = g_string_new(NULL);
  mp_Manifest m = {0};
  unsigned i;
  manyaccounts(accounts);
  g_free(R->section[0]);
  g_free(R->section[1]);
  g_free(R->manifest);
  R->section[0] = g_string_free(accounts, FALSE);
  R->section[1] = makesection(R, (unsigned)version);
  m.version = version;
  g_strlcpy(m.apply_id, "id", sizeof m.apply_id);
  g_strlcpy(m.by, "slopes", sizeof m.by);
  g_strlcpy(m.when, "now", sizeof m.when);
  m.n = 2;
  for (i = 0; i < 2; i++) {
    g_strlcpy(m.section[i].name, names[i], sizeof m.section[i].name);
    mp_digest(R->section[i], strlen(R->section[i]), R->digest[i]);
    g_strlcpy(m.section[i].digest, R->digest[i], sizeof m.section[i].digest);
  }
  R->manifest = mp_manifest_write(&m);
  R->manifestversion = version;
}

/* the platform tells those that watch */
static void tell(Run *R) {
  guint i;
  for (i = 0; i < R->watches->len; i++) {
    Due *d = R->watches->pdata[i];
    d->t = R->now + 2 * LINK;
    d->store.status = MP_STORE_OK;
    d->store.version = R->manifestversion;
    d->text = g_strdup(R->manifest);
    push(R, d);
  }
  g_ptr_array_set_size(R->watches, 0);
}

static void boot(Run *R) {
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    mp_Options o = {0};
    char dc[16];
    dcname(i, R, dc);
    o.self = nodeaddr(i);
    o.dc = dc;
    o.start = 1;
    o.seed = i + 1;
    o.net = 0x0a000000;
    o.mask = 0xff000000;
    o.codec = mp_codec();
    R->node[i].M = mp_new(&o, R->now);
    perform(R, i);
  }
}

/* }================================================================== */

/*
** {==================================================================
** Measuring
** ===================================================================
*/

typedef struct Sum {
  double bytes, msgs, cpu, store, writes; /* of all nodes */
  double most;                            /* bytes of the busiest */
  double mostcpu;
} Sum;

static void zero(Run *R) {
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    Node *N = &R->node[i];
    N->bytes = N->msgs = N->store = N->writes = 0;
    N->cpu = 0;
  }
  R->answered = R->refused = 0;
  memset(R->kindmsgs, 0, sizeof R->kindmsgs);
  memset(R->kindbytes, 0, sizeof R->kindbytes);
}

static Sum sum(const Run *R) {
  Sum s = {0};
  unsigned i;
  for (i = 0; i < R->nodes; i++) {
    const Node *N = &R->node[i];
    s.bytes += (double)N->bytes;
    s.msgs += (double)N->msgs;
    s.cpu += N->cpu;
    s.store += (double)N->store;
    s.writes += (double)N->writes;
    s.most = MAX(s.most, (double)N->bytes);
    s.mostcpu = MAX(s.mostcpu, N->cpu);
  }
  return s;
}

static void show(const Run *R, const char *what, const Sum *s,
                 double seconds) {
  double n = R->nodes;
  printf("  %-8s per node and second: %6.0f B (busiest %6.0f), %5.1f "
         "messages, %6.3f%% of a core (busiest %6.3f%%); platform %6.1f "
         "calls/s\n",
         what, s->bytes / n / seconds, s->most / seconds,
         s->msgs / n / seconds, 100 * s->cpu / n / seconds,
         100 * s->mostcpu / seconds, s->store / seconds);
}

static void showkinds(const Run *R) {
  static const char *const names[] = {
      "",        "probe", "probe via", "reserve", "grant", "renew",
      "release", "claim", "settle",    "quota",   "fetch", "digest"};
  double seconds = (double)LOADED / MP_SEC * R->nodes;
  int i;
  printf("  sent     per node and second:");
  for (i = 1; i < MP_MSG_LAST; i++) {
    if (R->kindmsgs[i] > 0)
      printf(" %s %.1f (%.0f B)", names[i], (double)R->kindmsgs[i] / seconds,
             (double)R->kindbytes[i] / seconds);
  }
  printf("\n");
  for (i = 1; i < MP_ERR_COUNT; i++) {
    if (R->errors[i] > 0)
      printf("  refused  %s: %" G_GUINT64_FORMAT "\n",
             mp_error_name((mp_Error)i), (guint64)R->errors[i]);
  }
}

static void change(Run *R, double idle) {
  double spent;
  mp_Time begun;
  unsigned i;
  unsigned behind;
  Sum s;
  zero(R);
  publish(R, 2);
  tell(R);
  begun = R->now;
  do {
    runto(R, R->now + 10 * MP_MS);
    behind = 0;
    for (i = 0; i < R->nodes; i++) {
      mp_Status st;
      mp_status(R->node[i].M, &st);
      behind += st.config_version < 2;
    }
  } while (behind > 0 && R->now - begun < 60 * MP_SEC);
  s = sum(R);
  spent = idle * (double)(R->now - begun) / MP_SEC;
  printf("  change   of a section of %zu bytes: everywhere after %.2f s (%u "
         "behind); %.0f B a node, busiest %.0f B, less the idle traffic\n",
         strlen(R->section[1]), (double)(R->now - begun) / MP_SEC, behind,
         MAX(0, s.bytes / R->nodes - spent), MAX(0, s.most - spent));
}

static void measure(unsigned nodes, unsigned centres, unsigned workers,
                    double rate, uint32_t tokens) {
  Run R = {0};
  Sum s;
  size_t before_;
  unsigned i;
  R.nodes = nodes;
  R.centres = centres;
  R.workers = workers;
  R.rate = rate;
  R.tokens = tokens;
  R.now = 10 * MP_SEC;
  R.heap = g_ptr_array_new();
  R.watches = g_ptr_array_new();
  R.node = g_new0(Node, nodes);
  R.gone = g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
  R.list = makelist(&R);
  publish(&R, 1);
  before_ = mallinfo2().uordblks;
  boot(&R);
  runto(&R, R.now + SETTLE);
  printf("%u nodes, %u data centres, %u workers: list %zu bytes\n", nodes,
         centres, workers, strlen(R.list));
  printf("  memory   of a core, idle: %.0f KB\n",
         (double)(mallinfo2().uordblks - before_) / nodes / 1024);
  zero(&R);
  runto(&R, R.now + IDLE);
  s = sum(&R);
  show(&R, "idle", &s, (double)IDLE / MP_SEC);
  change(&R, s.bytes / nodes / ((double)IDLE / MP_SEC));
  zero(&R);
  push(&R, due(&R, R.now, W_CALL, 0));
  runto(&R, R.now + LOADED);
  s = sum(&R);
  show(&R, "loaded", &s, (double)LOADED / MP_SEC);
  printf("  request  at %.0f/s of %u tokens: %.1f messages and %.0f bytes "
         "each, %.0f us; %.2f us a token; answered %" G_GUINT64_FORMAT
         " refused %" G_GUINT64_FORMAT "\n",
         rate, tokens, s.msgs / (rate * LOADED / MP_SEC),
         s.bytes / 2 / (rate * LOADED / MP_SEC),
         s.cpu * 1e6 / (rate * LOADED / MP_SEC),
         s.cpu * 1e6 / (rate * LOADED / MP_SEC) / tokens, (guint64)R.answered,
         (guint64)R.refused);
  showkinds(&R);
  printf("  memory   of a core, loaded: %.0f KB\n",
         (double)(mallinfo2().uordblks - before_) / nodes / 1024);
  fflush(stdout);
  for (i = 0; i < nodes; i++)
    mp_free(R.node[i].M);
  while (R.heap->len > 0) {
    Due *d = pop(&R);
    g_free(d->msg);
    g_free(d->text);
    g_free(d);
  }
  g_ptr_array_unref(R.heap);
  g_hash_table_destroy(R.gone);
  g_free(R.node);
  g_free(R.list);
  g_free(R.manifest);
  g_free(R.section[0]);
  g_free(R.section[1]);
  g_ptr_array_set_free_func(R.watches, g_free);
  g_ptr_array_unref(R.watches);
}

/* }================================================================== */

static double number(const char *s) {
  return g_ascii_strtod(s, NULL);
}

int main(int argc, char **argv) {
  if (argc >= 5) {
    measure((unsigned)number(argv[1]), (unsigned)number(argv[2]),
            (unsigned)number(argv[3]), number(argv[4]),
            argc > 5 ? (uint32_t)number(argv[5]) : 40);
    return 0;
  }
  measure(9, 3, 12, 50, 40);
  measure(41, 1, 77, 250, 40);
  measure(82, 2, 154, 500, 40);
  measure(205, 5, 385, 1250, 40);
  measure(410, 10, 770, 2500, 40);
  measure(410, 10, 770, 2500, 80);
  return 0;
}
