/*
** engine_decode.c
** Stand-in engines: streams, and answers of plain services
*/

#include <stdlib.h>
#include <string.h>

#include "standin/engine_work.h"

/*
** {==================================================================
** Decode
** ===================================================================
*/

static void token(evutil_socket_t fd, short what, void *arg);

static void sendsse(struct evhttp_request *r, json_t *j) {
  struct evbuffer *b = evbuffer_new();
  char *s = json_dumps(j, JSON_COMPACT);
  evbuffer_add_printf(b, "data: %s\n\n", s);
  evhttp_send_reply_chunk(r, b);
  evbuffer_free(b);
  free(s);
  json_decref(j);
}

static void sendtoken(Work *w, uint32_t i) {
  char text[32];
  model_text(w->hash, i, text);
  sendsse(w->req,
          json_pack("{s:s, s:i, s:i, s:[{s:i, s:s}]}", "id", w->id, "index",
                    (int)i, "tokens", 1, "choices", "index", 0, "text", text));
}

/* the whole is with the reader: nothing is held any more */
static void decodedone(Work *w) {
  struct evbuffer *b = evbuffer_new();
  struct evhttp_request *r = engine_detach_reader(w);
  sendsse(r, json_pack("{s:s, s:{s:i}}", "id", w->id, "usage",
                       "completion_tokens", (int)w->total));
  evbuffer_add_printf(b, "data: [DONE]\n\n");
  evhttp_send_reply_chunk(r, b);
  evbuffer_free(b);
  evhttp_send_reply_end(r);
  engine_add_to_ledger(w->e, w->id, "decode", "done", w->total, 0);
  engine_free_work(w);
}

/* returns 1 when the work has ended, and is freed */
static int deliver(Work *w) {
  Engine *e = w->e;
  while (w->req != NULL && w->sent < w->made) {
    sendtoken(w, w->sent);
    w->sent++;
    if (e->breakafter > 0 && w->sent == (uint32_t)e->breakafter) {
      e->breakafter = 0;
      engine_break_reader(w);
      return 0;
    }
  }
  if (w->req == NULL || w->made < w->total)
    return 0;
  decodedone(w);
  return 1;
}

mp_Time engine_token_interval(const Engine *e) {
  unsigned busy = engine_count_work(e, WORK_IMPORT, WORK_DECODE);
  return engine_site.rates.token_us +
         engine_site.rates.token_us * busy / (2 * engine_site.rates.slots);
}

static void token(evutil_socket_t fd, short what, void *arg) {
  Work *w = arg;
  (void)fd;
  (void)what;
  if (!w->e->frozen && w->made < w->total) {
    w->made++;
    if (deliver(w))
      return;
  }
  if (w->made < w->total)
    engine_set_timer(w, token, engine_token_interval(w->e));
}

static void startstream(Work *w, struct evhttp_request *r) {
  evhttp_add_header(evhttp_request_get_output_headers(r), "Content-Type",
                    "text/event-stream");
  evhttp_send_reply_start(r, 200, NULL);
  w->req = r;
  evhttp_connection_set_closecb(evhttp_request_get_connection(r),
                                engine_on_reader_closed, w);
}

void engine_decode(Engine *e, struct evhttp_request *r, json_t *j,
                   const char *id) {
  Work *in;
  Work *w;
  uint32_t max;
  uint32_t from;
  const char *partial = json_string_value(json_object_get(j, "partial"));
  if (!engine_admit(e, r, id, MP_ROLE_DECODE))
    return;
  in = engine_find_work(e, id, WORK_IMPORT);
  if (in == NULL || engine_find_work(e, id, WORK_DECODE) != NULL) {
    engine_refuse(r, 409, in == NULL ? "no KV imported" : "decodes already");
    return;
  }
  max = (uint32_t)MAX(json_integer_value(json_object_get(j, "max_tokens")), 0);
  from =
      (uint32_t)MAX(json_integer_value(json_object_get(j, "resume_from")), 0);
  if (!model_partial(in->hash, from, partial)) {
    engine_refuse(r, 422, "partial text does not fit");
    return;
  }
  w = engine_add_work(e, WORK_DECODE, id, NULL);
  w->hash = in->hash;
  w->tokens = in->tokens;
  w->total = model_length(in->hash, max > 0 ? max : 256);
  w->made = w->sent = MIN(from, w->total);
  engine_free_work(in);
  startstream(w, r);
  engine_set_timer(w, token, engine_token_interval(e));
}

void engine_resume(Engine *e, struct evhttp_request *r, const char *id) {
  Work *w = engine_find_work(e, id, WORK_DECODE);
  int64_t from = serve_query_number(r, "from", 0);
  if (w == NULL || from < 0 || from > w->made) {
    engine_refuse(r, 409, "unknown stream");
    return;
  }
  engine_break_reader(w); /* the old reader, if it is still there */
  w->sent = (uint32_t)from;
  startstream(w, r);
  deliver(w);
}

/* }================================================================== */

/*
** {==================================================================
** Plain services
** ===================================================================
*/

static void plaindone(evutil_socket_t fd, short what, void *arg) {
  Work *w = arg;
  struct evhttp_request *r = w->req;
  Engine *e = w->e;
  (void)fd;
  (void)what;
  engine_add_to_ledger(e, w->id, "plain", "done", 0, 0);
  if (r != NULL) {
    const char *uri = evhttp_request_get_uri(r);
    struct evbuffer *b = evhttp_request_get_input_buffer(r);
    evhttp_add_header(evhttp_request_get_output_headers(r), "X-Served-By",
                      e->in.name);
    engine_reply(w, json_pack("{s:s, s:s, s:i, s:s}", "service", e->in.service,
                              "uri", uri, "bytes", (int)evbuffer_get_length(b),
                              "request", w->id));
  }
  engine_free_work(w);
}

void engine_plain(Engine *e, struct evhttp_request *r) {
  const char *id =
      evhttp_find_header(evhttp_request_get_input_headers(r), "X-Request-Id");
  if (!engine_admit(e, r, id, MP_ROLE_PLAIN))
    return;
  engine_set_timer(engine_add_work(e, WORK_PLAIN, id, r), plaindone,
                   engine_site.rates.plain_ms * MP_MS);
}

/* }================================================================== */
