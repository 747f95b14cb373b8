/*
** engine.c
** Stand-in for model engines and plain services; one process hosts many
**
**   engine LIST.json [DATA-CENTRE...]
**
** Hosts every endpoint of the instance list (of the data centres named,
** or all). The model: a prefill engine computes prompts in chunks by
** priority, less the prefix it has cached; its KV results expire; a
** transfer takes its bytes at the link's rate, shared; a decode engine has
** slots and a pace that slows as they fill. Every piece of work stands in
** the ledger (GET /ledger). Faults by POST /fault, see fault() below.
** Text is a function of prompt and token number, so anyone can verify it.
*/

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/engine_work.h"

#define LOAD_LAG_US 200000L /* age of the load that is reported */

/*
** {==================================================================
** Load, cancel, orders
** ===================================================================
*/

static json_t *load(const Engine *e) {
  json_t *holds = json_array();
  uint64_t queued = 0;
  guint i;
  for (i = 0; i < e->work->len; i++) {
    const Work *w = e->work->pdata[i];
    if (w->kind != WORK_PLAIN)
      json_array_append_new(holds, json_string(w->id));
    if (w->kind == WORK_PREFILL)
      queued += w->left;
  }
  return json_pack(
      "{s:s, s:i, s:i, s:I, s:I, s:I, s:b, s:o}", "role",
      mp_role_name(e->role), "slots", (int)engine_site.rates.slots, "used",
      (int)engine_count_work(e, WORK_IMPORT, WORK_DECODE), "queued_tokens",
      (json_int_t)queued, "rate",
      (json_int_t)(e->role == MP_ROLE_PREFILL ? engine_site.rates.prefill_rate
                                              : engine_token_interval(e)),
      "fence", (json_int_t)e->fence, "leaving", e->leaving, "holds", holds);
}

static void takeload(evutil_socket_t fd, short what, void *arg) {
  GHashTableIter it;
  gpointer v;
  (void)fd;
  (void)what;
  (void)arg;
  g_hash_table_iter_init(&it, engine_site.engines);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Engine *e = v;
    json_decref(e->loadnow);
    e->loadnow = load(e);
  }
}

static void cancel(Engine *e, struct evhttp_request *r, const char *id) {
  guint i = 0;
  int n = 0;
  if (e->losecancel > 0) {
    e->losecancel--;
    serve_cut(r);
    return;
  }
  if (id == NULL) {
    engine_refuse(r, 400, "request_id is missing");
    return;
  }
  g_hash_table_add(e->dead, g_strdup(id));
  while (i < e->work->len) {
    Work *w = e->work->pdata[i];
    if (strcmp(w->id, id) != 0) {
      i++;
      continue;
    }
    if (w->kind == WORK_PREFILL || w->kind == WORK_DECODE ||
        w->kind == WORK_PLAIN)
      engine_add_to_ledger(
          e, id, engine_op_name(w->kind), "cancelled",
          w->kind == WORK_DECODE ? w->made : w->tokens - w->left, w->cached);
    engine_break_reader(w);
    engine_free_work(w);
    n++;
  }
  engine_start_next_chunk(e);
  serve_json(r, 200, json_pack("{s:i}", "freed", n));
}

static void order(Engine *e, struct evhttp_request *r, json_t *j) {
  uint64_t fence = (uint64_t)json_integer_value(json_object_get(j, "fence"));
  const char *role = json_string_value(json_object_get(j, "role"));
  if (engine_site.rates.checks_fence && fence < e->fence) {
    engine_refuse(r, 409, "old fence");
    return;
  }
  if (role == NULL || e->work->len > 0) {
    engine_refuse(r, role == NULL ? 400 : 409, "busy, or no role");
    return;
  }
  e->fence = MAX(e->fence, fence);
  e->role = strcmp(role, "prefill") == 0 ? MP_ROLE_PREFILL : MP_ROLE_DECODE;
  engine_add_to_ledger(e, "order", role, "done", 0, 0);
  serve_json(r, 200, json_pack("{s:s}", "role", role));
}

/* }================================================================== */

/*
** {==================================================================
** Faults
** ===================================================================
*/

static void handle(Engine *e, struct evhttp_request *r);

static void thaw(Engine *e) {
  GPtrArray *held = e->held;
  guint i;
  e->frozen = 0;
  e->held = g_ptr_array_new();
  for (i = 0; i < held->len; i++)
    handle(e, held->pdata[i]);
  g_ptr_array_unref(held);
  engine_start_next_chunk(e);
}

static void heldgone(struct evhttp_connection *c, void *arg) {
  Engine *e = arg;
  guint i = 0;
  while (i < e->held->len) {
    struct evhttp_request *r = e->held->pdata[i];
    if (evhttp_request_get_connection(r) == c)
      g_ptr_array_remove_index(e->held, i);
    else
      i++;
  }
}

static int number(const json_t *j, const char *k, int other) {
  const json_t *v = json_object_get(j, k);
  return v != NULL ? (int)json_integer_value(v) : other;
}

/* all work and memory is gone, and nobody answers for a while */
static void killfor(Engine *e, int ms) {
  e->deaduntil = engine_now() + (mp_Time)ms * MP_MS;
  while (e->work->len > 0) {
    Work *w = e->work->pdata[0];
    engine_add_to_ledger(e, w->id, engine_op_name(w->kind), "killed",
                         w->tokens - w->left, w->cached);
    engine_break_reader(w);
    engine_free_work(w);
  }
  g_hash_table_remove_all(e->cache);
}

/*
** {"kill": MILLISECONDS, "freeze": 1 | 0, "leaving": 1 | 0, "lose_reply": N,
** "lose_cancel": N,
**  "break_after": N, "refuse": N, "slow": PERCENT}
*/
static void fault(Engine *e, struct evhttp_request *r) {
  json_t *j = serve_body(r);
  int frozen = number(j, "freeze", e->frozen);
  e->leaving = number(j, "leaving", e->leaving);
  e->losereply = number(j, "lose_reply", e->losereply);
  e->losecancel = number(j, "lose_cancel", e->losecancel);
  e->breakafter = number(j, "break_after", e->breakafter);
  e->refuse = number(j, "refuse", e->refuse);
  e->slow = number(j, "slow", e->slow);
  if (json_object_get(j, "kill") != NULL)
    killfor(e, number(j, "kill", 0));
  json_decref(j);
  if (frozen)
    e->frozen = 1;
  else if (e->frozen)
    thaw(e);
  serve_json(r, 200, json_pack("{s:s}", "engine", e->in.name));
}

/* }================================================================== */

/*
** {==================================================================
** Requests
** ===================================================================
*/

static void completion(Engine *e, struct evhttp_request *r, json_t *j,
                       const char *id) {
  const json_t *kv = json_object_get(j, "kv_transfer_params");
  if (json_is_true(json_object_get(kv, "do_remote_decode")))
    engine_prefill(e, r, j, id);
  else if (json_is_true(json_object_get(kv, "do_remote_prefill")))
    engine_decode(e, r, j, id);
  else
    engine_refuse(r, 400, "kv_transfer_params are missing");
}

static void handle(Engine *e, struct evhttp_request *r) {
  const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  json_t *j;
  const char *id;
  if (e->in.role == MP_ROLE_PLAIN && !g_str_has_prefix(path, "/v1/load")) {
    engine_plain(e, r);
    return;
  }
  j = serve_body(r);
  id = json_string_value(json_object_get(j, "request_id"));
  if (strcmp(path, "/v1/completions") == 0 ||
      strcmp(path, "/v1/chat/completions") == 0)
    completion(e, r, j, id);
  else if (strcmp(path, "/v1/kv/import") == 0)
    engine_import(e, r, j, id);
  else if (strcmp(path, "/v1/cancel") == 0)
    cancel(e, r, id);
  else if (strcmp(path, "/v1/order") == 0)
    order(e, r, j);
  else if (strcmp(path, "/v1/load") == 0)
    serve_json(r, 200, json_incref(e->loadnow));
  else if (g_str_has_prefix(path, "/v1/streams/"))
    engine_resume(e, r, path + 12);
  else
    engine_refuse(r, 404, "unknown path");
  json_decref(j);
}

static void request(struct evhttp_request *r, void *arg) {
  Engine *e = arg;
  const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  if (strcmp(path, "/fault") == 0)
    fault(e, r);
  else if (strcmp(path, "/ledger") == 0)
    engine_send_ledger(e, r);
  else if (strcmp(path, "/holds") == 0)
    serve_json(r, 200, load(e)); /* without lag, for tests */
  else if (engine_now() < e->deaduntil)
    serve_cut(r);
  else if (e->frozen) {
    g_ptr_array_add(e->held, r);
    evhttp_connection_set_closecb(evhttp_request_get_connection(r), heldgone,
                                  e);
  } else
    handle(e, r);
}

/* }================================================================== */

static void host(const mp_Instance *in) {
  Engine *e = g_new0(Engine, 1);
  e->in = *in;
  e->role = in->role;
  e->leaving = in->leaving;
  e->work = g_ptr_array_new_with_free_func(engine_destroy_work);
  e->held = g_ptr_array_new();
  e->ledger = g_ptr_array_new_with_free_func(free);
  e->cache =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  e->dead = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  e->chunk = evtimer_new(engine_site.base, engine_on_chunk_done, e);
  e->loadnow = load(e);
  g_hash_table_insert(engine_site.engines, &e->in.addr, e);
  serve_new(engine_site.base, in->addr, request, e);
}

static int wanted(const mp_Instance *in, int argc, char **argv) {
  int i;
  if (in->kind != MP_INST_ENDPOINT)
    return 0;
  for (i = 2; i < argc; i++) {
    if (strcmp(argv[i], in->dc) == 0)
      return 1;
  }
  return argc <= 2;
}

int main(int argc, char **argv) {
  GError *err = NULL;
  size_t n;
  char *s;
  mp_InstanceList *l;
  unsigned i;
  struct timeval lag = {0, LOAD_LAG_US};
  if (argc < 2) {
    fprintf(stderr, "usage: engine LIST.json [DATA-CENTRE...]\n");
    return 2;
  }
  signal(SIGPIPE, SIG_IGN);
  engine_site.base = event_base_new();
  engine_site.engines = g_hash_table_new(g_int64_hash, g_int64_equal);
  engine_site.rates = model_rates();
  s = serve_read_file(argv[1], &n);
  l = mp_list_read(s, n, &err);
  g_free(s);
  if (l == NULL) {
    fprintf(stderr, "%s\n", err->message);
    return 2;
  }
  for (i = 0; i < l->n; i++) {
    if (wanted(&l->inst[i], argc, argv))
      host(&l->inst[i]);
  }
  mp_list_free(l);
  event_add(event_new(engine_site.base, -1, EV_PERSIST, takeload, NULL), &lag);
  event_base_dispatch(engine_site.base);
  return 0;
}
