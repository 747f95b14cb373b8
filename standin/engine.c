/*
** engine.c
** Stand-in for model engines and plain services, many in one process
**
**   engine LIST.json [DATA-CENTRE...]
**
** Hosts every endpoint of the instance list that is in one of the data
** centres named, or all of them when none is named. A prefill engine computes
** prompts in chunks, by priority, without the prefix that it has cached, and
** the KV caches that it leaves expire. A transfer takes the time that its
** bytes need on the link between two data centres, which transfers share. A
** decode engine has slots, and its tokens take longer as the slots fill.
** All work is recorded in the ledger (GET /ledger). POST /fault sets faults,
** see handle_fault() below.
** The text of an answer is a function of the prompt and the token's number,
** so every reader can verify it.
*/

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin/engine_work.h"

/* The reported load is refreshed at this interval, so it is up to so old. */
#define LOAD_INTERVAL_US 200000L

/*
** {==================================================================
** Load, cancellation, orders
** ===================================================================
*/

/*
** Returns the present load; the caller frees it. The rate of a prefill engine
** is in tokens per second; that of the others is microseconds per token.
*/
static json_t *make_load(const Engine *e) {
  json_t *holds = json_array();
  uint64_t queued = 0;
  guint i;
  for (i = 0; i < e->work->len; i++) {
    const Work *w = e->work->pdata[i];
    if (w->kind != WORK_PLAIN)
      json_array_append_new(holds, json_string(w->id));
    if (w->kind == WORK_PREFILL)
      queued += w->tokens_left;
  }
  return json_pack(
      "{s:s, s:i, s:i, s:I, s:I, s:I, s:b, s:o}", "role",
      mp_role_name(e->role), "slots", (int)engine_site.rates.slots, "used",
      (int)engine_count_work(e, WORK_IMPORT, WORK_DECODE), "queued_tokens",
      (json_int_t)queued, "rate",
      (json_int_t)(e->role == MP_ROLE_PREFILL
                       ? engine_site.rates.prefill_tokens_per_s
                       : engine_token_interval(e)),
      "fence", (json_int_t)e->fence, "leaving", e->is_leaving, "holds", holds);
}

/* Refreshes the reported load of all engines. */
static void on_load_timer(evutil_socket_t fd, short what, void *arg) {
  GHashTableIter it;
  gpointer v;
  (void)fd;
  (void)what;
  (void)arg;
  g_hash_table_iter_init(&it, engine_site.engines);
  while (g_hash_table_iter_next(&it, NULL, &v)) {
    Engine *e = v;
    json_decref(e->reported_load);
    e->reported_load = make_load(e);
  }
}

/* Ends all work with the id, and refuses work with it from now on. */
static void handle_cancel(Engine *e, struct evhttp_request *r,
                          const char *id) {
  guint i = 0;
  int n = 0;
  if (e->cancels_to_lose > 0) {
    e->cancels_to_lose--;
    serve_cut(r);
    return;
  }
  if (id == NULL) {
    engine_refuse(r, 400, "request_id is missing");
    return;
  }
  g_hash_table_add(e->cancelled, g_strdup(id));
  while (i < e->work->len) {
    Work *w = e->work->pdata[i];
    if (strcmp(w->id, id) != 0) {
      i++;
      continue;
    }
    if (w->kind == WORK_PREFILL || w->kind == WORK_DECODE ||
        w->kind == WORK_PLAIN)
      engine_add_to_ledger(e, id, engine_op_name(w->kind), "cancelled",
                           w->kind == WORK_DECODE ? w->generated
                                                  : w->tokens - w->tokens_left,
                           w->cached);
    engine_break_reader(w);
    engine_free_work(w);
    n++;
  }
  engine_start_next_chunk(e);
  serve_json(r, 200, json_pack("{s:i}", "freed", n));
}

/*
** Changes the role of an idle engine. Refuses an order whose fence is lower
** than that of the last order, unless the stand-in is set to ignore fences.
*/
static void handle_order(Engine *e, struct evhttp_request *r, json_t *j) {
  uint64_t fence = (uint64_t)json_integer_value(json_object_get(j, "fence"));
  const char *role = json_string_value(json_object_get(j, "role"));
  if (engine_site.rates.checks_fence && fence < e->fence) {
    engine_refuse(r, 409, "fence is lower than that of the last order");
    return;
  }
  if (role == NULL || e->work->len > 0) {
    engine_refuse(r, role == NULL ? 400 : 409, "busy, or role is missing");
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

static void handle_request(Engine *e, struct evhttp_request *r);

/* Ends the freeze and handles the requests that were held. */
static void thaw(Engine *e) {
  GPtrArray *held = e->held;
  guint i;
  e->is_frozen = 0;
  e->held = g_ptr_array_new();
  for (i = 0; i < held->len; i++)
    handle_request(e, held->pdata[i]);
  g_ptr_array_unref(held);
  engine_start_next_chunk(e);
}

/* The caller of a held request closed the connection. */
static void on_held_closed(struct evhttp_connection *c, void *arg) {
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

static int number_or(const json_t *j, const char *k, int other) {
  const json_t *v = json_object_get(j, k);
  return v != NULL ? (int)json_integer_value(v) : other;
}

/* Drops all work and memory, and cuts every connection for 'ms'. */
static void kill_engine(Engine *e, int ms) {
  e->dead_until = engine_now() + (mp_Time)ms * MP_MS;
  while (e->work->len > 0) {
    Work *w = e->work->pdata[0];
    engine_add_to_ledger(e, w->id, engine_op_name(w->kind), "killed",
                         w->tokens - w->tokens_left, w->cached);
    engine_break_reader(w);
    engine_free_work(w);
  }
  g_hash_table_remove_all(e->cache);
}

/*
** Sets the faults that the body names; the others stay as they are:
**   {"kill": MILLISECONDS, "freeze": 1 | 0, "leaving": 1 | 0,
**    "lose_reply": N, "lose_cancel": N, "break_after": TOKENS, "refuse": N,
**    "slow": PERCENT}
*/
static void handle_fault(Engine *e, struct evhttp_request *r) {
  json_t *j = serve_body(r);
  int frozen = number_or(j, "freeze", e->is_frozen);
  e->is_leaving = number_or(j, "leaving", e->is_leaving);
  e->replies_to_lose = number_or(j, "lose_reply", e->replies_to_lose);
  e->cancels_to_lose = number_or(j, "lose_cancel", e->cancels_to_lose);
  e->break_after_tokens = number_or(j, "break_after", e->break_after_tokens);
  e->work_to_refuse = number_or(j, "refuse", e->work_to_refuse);
  e->slow_percent = number_or(j, "slow", e->slow_percent);
  if (json_object_get(j, "kill") != NULL)
    kill_engine(e, number_or(j, "kill", 0));
  json_decref(j);
  if (frozen)
    e->is_frozen = 1;
  else if (e->is_frozen)
    thaw(e);
  serve_json(r, 200, json_pack("{s:s}", "engine", e->instance.name));
}

/* }================================================================== */

/*
** {==================================================================
** Requests
** ===================================================================
*/

/* Handles a prefill or a decode, as the parameters of the transfer say. */
static void handle_completion(Engine *e, struct evhttp_request *r, json_t *j,
                              const char *id) {
  const json_t *kv = json_object_get(j, "kv_transfer_params");
  if (json_is_true(json_object_get(kv, "do_remote_decode")))
    engine_prefill(e, r, j, id);
  else if (json_is_true(json_object_get(kv, "do_remote_prefill")))
    engine_decode(e, r, j, id);
  else
    engine_refuse(r, 400, "kv_transfer_params are missing");
}

static void handle_request(Engine *e, struct evhttp_request *r) {
  const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  json_t *j;
  const char *id;
  if (e->instance.role == MP_ROLE_PLAIN &&
      !g_str_has_prefix(path, "/v1/load")) {
    engine_plain(e, r);
    return;
  }
  j = serve_body(r);
  id = json_string_value(json_object_get(j, "request_id"));
  if (strcmp(path, "/v1/completions") == 0 ||
      strcmp(path, "/v1/chat/completions") == 0)
    handle_completion(e, r, j, id);
  else if (strcmp(path, "/v1/kv/import") == 0)
    engine_import(e, r, j, id);
  else if (strcmp(path, "/v1/cancel") == 0)
    handle_cancel(e, r, id);
  else if (strcmp(path, "/v1/order") == 0)
    handle_order(e, r, j);
  else if (strcmp(path, "/v1/load") == 0)
    serve_json(r, 200, json_incref(e->reported_load));
  else if (g_str_has_prefix(path, "/v1/streams/"))
    engine_resume(e, r, path + 12);
  else
    engine_refuse(r, 404, "unknown path");
  json_decref(j);
}

static void on_request(struct evhttp_request *r, void *arg) {
  Engine *e = arg;
  const char *path = evhttp_uri_get_path(evhttp_request_get_evhttp_uri(r));
  if (strcmp(path, "/fault") == 0)
    handle_fault(e, r);
  else if (strcmp(path, "/ledger") == 0)
    engine_send_ledger(e, r);
  else if (strcmp(path, "/holds") == 0)
    serve_json(r, 200, make_load(e)); /* the present load, for tests */
  else if (engine_now() < e->dead_until)
    serve_cut(r);
  else if (e->is_frozen) {
    g_ptr_array_add(e->held, r);
    evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                  on_held_closed, e);
  } else
    handle_request(e, r);
}

/* }================================================================== */

/* Starts the engine of an endpoint; it lives as long as the process. */
static void host_engine(const mp_Instance *in) {
  Engine *e = g_new0(Engine, 1);
  e->instance = *in;
  e->role = in->role;
  e->is_leaving = in->leaving;
  e->work = g_ptr_array_new_with_free_func(engine_destroy_work);
  e->held = g_ptr_array_new();
  e->ledger = g_ptr_array_new_with_free_func(free);
  e->cache =
      g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
  e->cancelled = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
  e->chunk_timer = evtimer_new(engine_site.base, engine_on_chunk_done, e);
  e->reported_load = make_load(e);
  g_hash_table_insert(engine_site.engines, &e->instance.addr, e);
  serve_new(engine_site.base, in->addr, on_request, e);
}

/* Returns whether this process hosts the instance. */
static int is_hosted_here(const mp_Instance *in, int argc, char **argv) {
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
  struct timeval lag = {0, LOAD_INTERVAL_US};
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
    if (is_hosted_here(&l->inst[i], argc, argv))
      host_engine(&l->inst[i]);
  }
  mp_list_free(l);
  event_add(event_new(engine_site.base, -1, EV_PERSIST, on_load_timer, NULL),
            &lag);
  event_base_dispatch(engine_site.base);
  return 0;
}
