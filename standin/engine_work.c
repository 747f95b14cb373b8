/*
** engine_work.c
** Stand-in engines: their work and memory, their ledger, their answers
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
  json_t *j =
      json_pack("{s:s, s:s, s:s, s:s, s:s, s:i, s:i}", "engine", e->in.name,
                "data_centre", e->in.dc, "id", id, "op", op, "outcome",
                outcome, "tokens", (int)tokens, "cached", (int)cached);
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
  w->req = NULL;
}

Work *engine_add_work(Engine *e, WorkKind k, const char *id,
                      struct evhttp_request *r) {
  Work *w = g_new0(Work, 1);
  w->e = e;
  w->kind = k;
  w->req = r;
  g_strlcpy(w->id, id, sizeof w->id);
  g_ptr_array_add(e->work, w);
  if (r != NULL)
    evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                  engine_on_reader_closed, w);
  return w;
}

/* the reader has its whole answer, or another one takes over */
struct evhttp_request *engine_detach_reader(Work *w) {
  struct evhttp_request *r = w->req;
  w->req = NULL;
  if (r != NULL)
    evhttp_connection_set_closecb(evhttp_request_get_connection(r), NULL,
                                  NULL);
  return r;
}

/* break the reader's connection; evhttp frees it when it sees the end */
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
  if (w->e->running == w)
    w->e->running = NULL;
  g_free(w->kv);
  g_free(w);
}

void engine_free_work(Work *w) {
  g_ptr_array_remove_fast(w->e->work, w);
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
  if (w->e->slow > 0)
    wait = wait * w->e->slow / 100;
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
** Answers, and refusals
** ===================================================================
*/

void engine_refuse(struct evhttp_request *r, int status, const char *why) {
  serve_json(r, status, json_pack("{s:s}", "error", why));
}

/* reply to a piece of work, unless its reader is gone or it is lost */
void engine_reply(Work *w, json_t *j) {
  struct evhttp_request *r = w->req;
  if (r == NULL) {
    json_decref(j);
    return;
  }
  if (w->e->losereply > 0) {
    w->e->losereply--;
    json_decref(j);
    engine_break_reader(w);
    return;
  }
  engine_detach_reader(w);
  serve_json(r, 200, j);
}

/* may work with this id begin? Refuses it when not */
int engine_admit(Engine *e, struct evhttp_request *r, const char *id,
                 mp_Role role) {
  const char *why = NULL;
  if (id == NULL)
    why = "request_id is missing";
  else if (g_hash_table_contains(e->dead, id))
    why = "cancelled";
  else if (e->leaving)
    why = "leaving";
  else if (e->role != role)
    why = "other role";
  else if (e->refuse > 0) {
    e->refuse--;
    why = "refused";
  }
  if (why != NULL)
    engine_refuse(r, id != NULL ? 503 : 400, why);
  return why == NULL;
}

/* }================================================================== */
