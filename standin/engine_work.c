/*
** engine_work.c
** Stand-in engines: their work and memory, ledger and replies
*/

#include <string.h>

#include "standin/engine_work.h"

EngineSite engine_site;

mp_Time engine_now(void) {
  return g_get_monotonic_time();
}

/*
** {==================================================================
** Ledger
** ===================================================================
*/

void engine_add_to_ledger(Engine *e, const char *id, const char *op,
                          const char *outcome, uint32_t tokens,
                          uint32_t cached) {
  json_t *j = json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i}", "engine",
                        e->instance.name, "data_centre", e->instance.dc, "id",
                        id, "op", op, "outcome", outcome, "tokens",
                        (int)tokens, "cached", (int)cached);
  g_ptr_array_add(e->ledger, json_dumps(j, JSON_COMPACT));
  json_decref(j);
}

void engine_send_ledger(Engine *e, struct evhttp_request *r) {
  struct evbuffer *b = evbuffer_new();
  guint i;
  for (i = 0; i < e->ledger->len; i++)
    evbuffer_add_printf(b, "%s\n", (char *)e->ledger->pdata[i]);
  evhttp_send_reply(r, 200, NULL, b);
  evbuffer_free(b);
}

/* }================================================================== */

/*
** {==================================================================
** Work
** ===================================================================
*/

void engine_on_reader_closed(struct evhttp_connection *c, void *arg) {
  Work *w = arg;
  (void)c;
  w->request = NULL;
}

Work *engine_add_work(Engine *e, WorkKind k, const char *id,
                      struct evhttp_request *r) {
  Work *w = g_new0(Work, 1);
  w->engine = e;
  w->kind = k;
  w->request = r;
  g_strlcpy(w->id, id, sizeof w->id);
  g_ptr_array_add(e->work, w);
  if (r != NULL)
    evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                  engine_on_reader_closed, w);
  return w;
}

struct evhttp_request *engine_detach_reader(Work *w) {
  struct evhttp_request *r = w->request;
  w->request = NULL;
  if (r != NULL)
    evhttp_connection_set_closecb(evhttp_request_get_connection(r), NULL,
                                  NULL);
  return r;
}

void engine_break_reader(Work *w) {
  struct evhttp_request *r = engine_detach_reader(w);
  if (r != NULL)
    serve_cut(r);
}

void engine_destroy_work(void *p) {
  Work *w = p;
  engine_detach_reader(w);
  if (w->timer != NULL)
    event_free(w->timer);
  if (w->engine->running == w)
    w->engine->running = NULL;
  g_free(w->kv_id);
  g_free(w);
}

void engine_free_work(Work *w) {
  g_ptr_array_remove_fast(w->engine->work, w);
}

const char *engine_op_name(WorkKind kind) {
  static const char *const names[] = {"prefill", "kv", "import", "decode",
                                      "plain"};
  return names[kind];
}

Work *engine_find_work(Engine *e, const char *id, WorkKind k) {
  guint i;
  for (i = 0; i < e->work->len; i++) {
    Work *w = e->work->pdata[i];
    if (w->kind == k && strcmp(w->id, id) == 0)
      return w;
  }
  return NULL;
}

void engine_set_timer(Work *w, event_callback_fn fn, mp_Time wait) {
  struct timeval t;
  if (w->engine->slow_percent > 0)
    wait = wait * w->engine->slow_percent / 100;
  t.tv_sec = wait / MP_SEC;
  t.tv_usec = wait % MP_SEC;
  if (w->timer == NULL)
    w->timer = evtimer_new(engine_site.base, fn, w);
  event_add(w->timer, &t);
}

unsigned engine_count_work(const Engine *e, WorkKind a, WorkKind b) {
  unsigned n = 0;
  guint i;
  for (i = 0; i < e->work->len; i++) {
    const Work *w = e->work->pdata[i];
    n += w->kind == a || w->kind == b;
  }
  return n;
}

/* }================================================================== */

/*
** {==================================================================
** Replies
** ===================================================================
*/

void engine_refuse(struct evhttp_request *r, int status, const char *why) {
  serve_json(r, status, json_pack("{s:s}", "error", why));
}

void engine_reply(Work *w, json_t *j) {
  struct evhttp_request *r = w->request;
  if (r == NULL) {
    json_decref(j);
    return;
  }
  if (w->engine->replies_to_lose > 0) {
    w->engine->replies_to_lose--;
    json_decref(j);
    engine_break_reader(w);
    return;
  }
  engine_detach_reader(w);
  serve_json(r, 200, j);
}

int engine_admit(Engine *e, struct evhttp_request *r, const char *id,
                 mp_Role role) {
  const char *why = NULL;
  if (id == NULL)
    why = "request_id is missing";
  else if (g_hash_table_contains(e->cancelled, id))
    why = "cancelled";
  else if (e->is_leaving)
    why = "leaving";
  else if (e->role != role)
    why = "the engine has the other role";
  else if (e->work_to_refuse > 0) {
    e->work_to_refuse--;
    why = "refused";
  }
  if (why != NULL)
    engine_refuse(r, id != NULL ? 503 : 400, why);
  return why == NULL;
}

/* }================================================================== */
