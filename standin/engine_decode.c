/*
** engine_decode.c
** Stand-in engines: streams of tokens, and answers of plain services
*/

#include <stdlib.h>
#include <string.h>

#include "standin/engine_work.h"

/*
** {==================================================================
** Decode
** ===================================================================
*/

static void on_token_timer(evutil_socket_t fd, short what, void *arg);

/* Sends 'j', which it takes over, as one server-sent event. */
static void send_event(struct evhttp_request *r, json_t *j) {
  struct evbuffer *b = evbuffer_new();
  char *s = json_dumps(j, JSON_COMPACT);
  evbuffer_add_printf(b, "data: %s\n\n", s);
  evhttp_send_reply_chunk(r, b);
  evbuffer_free(b);
  free(s);
  json_decref(j);
}

static void send_token(Work *w, uint32_t i) {
  char text[32];
  model_text(w->prompt_hash, i, text);
  send_event(w->request, json_pack("{s:s, s:i, s:i, s:[{s:i, s:s}]}", "id",
                                   w->id, "index", (int)i, "tokens", 1,
                                   "choices", "index", 0, "text", text));
}

/* Ends a stream whose tokens were all sent, and frees its work and slot. */
static void finish_decode(Work *w) {
  struct evbuffer *b = evbuffer_new();
  struct evhttp_request *r = engine_detach_reader(w);
  send_event(r, json_pack("{s:s, s:{s:i}}", "id", w->id, "usage",
                          "completion_tokens", (int)w->total));
  evbuffer_add_printf(b, "data: [DONE]\n\n");
  evhttp_send_reply_chunk(r, b);
  evbuffer_free(b);
  evhttp_send_reply_end(r);
  engine_add_to_ledger(w->engine, w->id, "decode", "done", w->total, 0);
  engine_free_work(w);
}

/*
** Sends the tokens that were generated and not yet sent, if there is a reader.
** Returns 1 when the stream has ended and its work is freed.
*/
static int send_tokens(Work *w) {
  Engine *e = w->engine;
  while (w->request != NULL && w->sent < w->generated) {
    send_token(w, w->sent);
    w->sent++;
    if (e->break_after_tokens > 0 &&
        w->sent == (uint32_t)e->break_after_tokens) {
      e->break_after_tokens = 0;
      engine_break_reader(w);
      return 0;
    }
  }
  if (w->request == NULL || w->generated < w->total)
    return 0;
  finish_decode(w);
  return 1;
}

mp_Time engine_token_interval(const Engine *e) {
  unsigned busy = engine_count_work(e, WORK_IMPORT, WORK_DECODE);
  return engine_site.rates.token_us +
         engine_site.rates.token_us * busy / (2 * engine_site.rates.slots);
}

static void on_token_timer(evutil_socket_t fd, short what, void *arg) {
  Work *w = arg;
  (void)fd;
  (void)what;
  if (!w->engine->is_frozen && w->generated < w->total) {
    w->generated++;
    if (send_tokens(w))
      return;
  }
  if (w->generated < w->total)
    engine_set_timer(w, on_token_timer, engine_token_interval(w->engine));
}

/* Makes 'r' the reader of the stream and sends the header. */
static void start_stream(Work *w, struct evhttp_request *r) {
  evhttp_add_header(evhttp_request_get_output_headers(r), "Content-Type",
                    "text/event-stream");
  evhttp_send_reply_start(r, 200, NULL);
  w->request = r;
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
    engine_refuse(r, 409,
                  in == NULL ? "no KV cache was imported"
                             : "the stream exists already");
    return;
  }
  max = (uint32_t)MAX(json_integer_value(json_object_get(j, "max_tokens")), 0);
  from =
      (uint32_t)MAX(json_integer_value(json_object_get(j, "resume_from")), 0);
  if (!model_partial(in->prompt_hash, from, partial)) {
    engine_refuse(r, 422, "partial text differs from the answer");
    return;
  }
  w = engine_add_work(e, WORK_DECODE, id, NULL);
  w->prompt_hash = in->prompt_hash;
  w->tokens = in->tokens;
  w->total = model_length(in->prompt_hash, max > 0 ? max : 256);
  w->generated = w->sent = MIN(from, w->total);
  engine_free_work(in);
  start_stream(w, r);
  engine_set_timer(w, on_token_timer, engine_token_interval(e));
}

void engine_resume(Engine *e, struct evhttp_request *r, const char *id) {
  Work *w = engine_find_work(e, id, WORK_DECODE);
  int64_t from = serve_query_number(r, "from", 0);
  if (w == NULL || from < 0 || from > w->generated) {
    engine_refuse(r, 409, "unknown stream or position");
    return;
  }
  engine_break_reader(w); /* the previous reader, if it is still there */
  w->sent = (uint32_t)from;
  start_stream(w, r);
  send_tokens(w);
}

/* }================================================================== */

/*
** {==================================================================
** Plain services
** ===================================================================
*/

/* The query "bytes=N" asks for an answer that is longer by N bytes. */
static json_t *plain_answer(const Work *w, struct evhttp_request *r) {
  json_t *j =
      json_pack("{s:s, s:s, s:i, s:s}", "service", w->engine->instance.service,
                "uri", evhttp_request_get_uri(r), "bytes",
                (int)evbuffer_get_length(evhttp_request_get_input_buffer(r)),
                "request", w->id);
  int64_t n = serve_query_number(r, "bytes", 0);
  gchar *padding;
  if (n <= 0)
    return j;
  padding = g_strnfill((gsize)n, 'x');
  json_object_set_new(j, "padding", json_string(padding));
  g_free(padding);
  return j;
}

static void finish_plain(evutil_socket_t fd, short what, void *arg) {
  Work *w = arg;
  struct evhttp_request *r = w->request;
  Engine *e = w->engine;
  (void)fd;
  (void)what;
  engine_add_to_ledger(e, w->id, "plain", "done", 0, 0);
  if (r != NULL) {
    evhttp_add_header(evhttp_request_get_output_headers(r), "X-Served-By",
                      e->instance.name);
    engine_reply(w, plain_answer(w, r));
  }
  engine_free_work(w);
}

void engine_plain(Engine *e, struct evhttp_request *r) {
  const char *id =
      evhttp_find_header(evhttp_request_get_input_headers(r), "X-Request-Id");
  if (!engine_admit(e, r, id, MP_ROLE_PLAIN))
    return;
  engine_set_timer(engine_add_work(e, WORK_PLAIN, id, r), finish_plain,
                   engine_site.rates.plain_ms * MP_MS);
}

/* }================================================================== */
