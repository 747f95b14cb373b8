/*
** caller.c
** One caller of the load tool: sends a request, times and verifies its answer
**
** The prompt is generated from a seed, and standin/model.c computes the whole
** answer from the prompt, so every token of the answer can be verified.
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "bench/load.h"
#include "io/http.h"
#include "standin/model.h"

/* A request that has not ended so long after its start is aborted. */
#define CALL_TIMEOUT_S 75

/* A request under way; freed once its result was passed on. */
typedef struct Caller {
  struct event_base *base;
  const MixClass *mix_class;
  Result result;
  uint64_t prompt_hash;
  uint32_t expected_tokens; /* tokens of the whole answer */
  GString *body;            /* what has arrived of the response's body */
  size_t parsed_bytes;      /* bytes of it whose events were handled */
  int status;               /* HTTP status; 0 until the header arrives */
  int has_error;            /* the router reported an error */
  int has_done_event;       /* the event [DONE] has arrived */
  int hangs_up;             /* the caller aborts half way through the answer */
  mp_Time sent_us;          /* monotonic clock, us, as the two below */
  mp_Time first_token_us;   /* arrival of the first token; 0: none yet */
  mp_Time last_token_us;    /* arrival of the newest token */
  HttpCall *call;           /* NULL once it has ended */
  struct event *timer;      /* aborts the call: at the timeout or to hang up */
  CallerDone done;
  void *ud;
} Caller;

static mp_Time now_us(void) {
  return g_get_monotonic_time();
}

static void report_and_free(Caller *c) {
  if (c->result.tokens > 1)
    c->result.token_gap_ms = (double)(c->last_token_us - c->first_token_us) /
                             1000 / (c->result.tokens - 1);
  if (c->first_token_us > 0)
    c->result.first_token_ms = (double)(c->first_token_us - c->sent_us) / 1000;
  c->done(c->ud, &c->result);
  event_free(c->timer);
  g_string_free(c->body, TRUE);
  g_free(c);
}

/*
** {==================================================================
** Verification
** ===================================================================
*/

/* Records the error object 'e' of a response; NULL counts as untyped. */
static void record_error(Caller *c, const json_t *e) {
  const char *kind = json_string_value(json_object_get(e, "kind"));
  const char *ran = json_string_value(json_object_get(e, "ran"));
  const char *id = json_string_value(json_object_get(e, "request"));
  c->has_error = 1;
  g_strlcpy(c->result.error_kind, kind != NULL ? kind : "untyped",
            sizeof c->result.error_kind);
  c->result.ran = ran == NULL || strcmp(ran, "unknown") == 0 ? MP_RAN_UNKNOWN
                  : strcmp(ran, "no") == 0                   ? MP_RAN_NO
                                                             : MP_RAN_YES;
  if (id != NULL)
    g_strlcpy(c->result.request_id, id, sizeof c->result.request_id);
}

/* Records the arrival of a token and compares it with the expected one. */
static void record_token(Caller *c, const char *s) {
  char want[32];
  model_text(c->prompt_hash, c->result.tokens, want);
  if (strcmp(s, want) != 0)
    c->result.is_wrong = 1;
  c->last_token_us = now_us();
  if (c->first_token_us == 0)
    c->first_token_us = c->last_token_us;
  c->result.tokens++;
}

/* Handles a line of an event stream; other lines than 'data' are skipped. */
static void handle_event(Caller *c, const char *line) {
  json_t *j;
  const char *id;
  const char *text;
  if (strcmp(line, "data: [DONE]") == 0) {
    c->has_done_event = 1;
    return;
  }
  if (!g_str_has_prefix(line, "data: "))
    return;
  j = json_loads(line + 6, 0, NULL);
  id = json_string_value(json_object_get(j, "id"));
  text = json_string_value(json_object_get(
      json_array_get(json_object_get(j, "choices"), 0), "text"));
  if (json_object_get(j, "error") != NULL)
    record_error(c, json_object_get(j, "error"));
  if (id != NULL)
    g_strlcpy(c->result.request_id, id, sizeof c->result.request_id);
  if (text != NULL)
    record_token(c, text);
  json_decref(j);
}

/* Handles the complete lines that have arrived since the last call. */
static void handle_lines(Caller *c) {
  char *nl;
  while ((nl = memchr(c->body->str + c->parsed_bytes, '\n',
                      c->body->len - c->parsed_bytes)) != NULL) {
    *nl = '\0';
    handle_event(c, c->body->str + c->parsed_bytes);
    c->parsed_bytes = (size_t)(nl - c->body->str) + 1;
  }
}

/*
** Classifies a response that was received in full: an event stream of a
** model, the JSON answer of a plain request, or an error.
*/
static void verify_response(Caller *c) {
  json_t *j;
  if (c->mix_class->model != NULL && c->status == 200) {
    c->result.is_complete = c->has_done_event && !c->has_error;
    if (c->result.is_complete && c->result.tokens != c->expected_tokens)
      c->result.is_wrong = 1;
    return;
  }
  j = json_loadb(c->body->str, c->body->len, 0, NULL);
  if (c->status == 200) {
    const char *id = json_string_value(json_object_get(j, "request"));
    c->result.is_complete = id != NULL;
    if (id != NULL)
      g_strlcpy(c->result.request_id, id, sizeof c->result.request_id);
    c->first_token_us = c->last_token_us = now_us();
  } else
    record_error(c, json_object_get(j, "error"));
  json_decref(j);
}

/* }================================================================== */

/*
** {==================================================================
** Sending a request
** ===================================================================
*/

static void on_head(void *ud, int status, struct evkeyvalq *h) {
  Caller *c = ud;
  (void)h;
  c->status = status;
}

static void on_data(void *ud, const char *s, size_t n) {
  Caller *c = ud;
  g_string_append_len(c->body, s, (gssize)n);
  if (c->mix_class->model != NULL && c->status == 200)
    handle_lines(c);
  if (c->hangs_up && c->result.tokens >= c->expected_tokens / 2 &&
      c->result.tokens > 0) {
    /* Hangs up from the event loop, after this callback. */
    struct timeval t = {0, 0};
    event_add(c->timer, &t);
  }
}

static void on_end(void *ud, HttpEnd e, int status) {
  Caller *c = ud;
  c->status = status;
  c->call = NULL;
  if (e == HTTP_END_OK)
    verify_response(c);
  /* The connection was lost, or never established, without an error. */
  c->result.is_silent = !c->result.is_complete && !c->has_error;
  report_and_free(c);
}

/*
** Aborts the call, at the timeout or to hang up. The two aren't told apart: a
** caller that was going to hang up and times out counts as hung up.
*/
static void on_timer(evutil_socket_t fd, short what, void *arg) {
  Caller *c = arg;
  (void)fd;
  (void)what;
  http_abort(c->call);
  c->result.has_hung_up = c->hangs_up;
  c->result.is_silent = !c->hangs_up;
  report_and_free(c);
}

/*
** Returns a prompt that the caller frees: the beginning that all prompts of
** the class share, then text that depends on the seed.
*/
static char *make_prompt(const MixClass *c, uint64_t seed) {
  GRand *g = g_rand_new_with_seed((guint32)(seed * 2654435761U));
  uint32_t mean = MAX(c->prompt_tokens - c->shared_tokens, 2);
  uint32_t own = mean / 2 + (uint32_t)(g_rand_double(g) * mean);
  GString *s = g_string_new(NULL);
  guint32 i;
  while (s->len < (gsize)c->shared_tokens * MODEL_BYTES_PER_TOKEN)
    g_string_append_printf(s, "%s rulebook %zu; ", c->class_name, s->len);
  g_string_truncate(s, (gsize)c->shared_tokens * MODEL_BYTES_PER_TOKEN);
  g_string_append_printf(s, "%016" G_GINT64_MODIFIER "x", (guint64)seed);
  for (i = 0; i < own; i++)
    g_string_append_printf(s, "%03x ", g_rand_int(g) & 0xfff);
  g_rand_free(g);
  return g_string_free(s, FALSE);
}

/* Returns the JSON body of a request, allocated with malloc. */
static char *make_body(const MixClass *c, uint64_t seed, Caller *o) {
  char *p = make_prompt(c, seed);
  GString g = {p, strlen(p), 0};
  json_t *j;
  char *s;
  o->prompt_hash = model_hash(&g);
  o->expected_tokens = model_length(o->prompt_hash, c->max_tokens);
  j = json_pack("{s:s, s:s, s:i, s:b}", "model", c->model, "prompt", p,
                "max_tokens", (int)c->max_tokens, "stream", 1);
  s = json_dumps(j, JSON_COMPACT);
  json_decref(j);
  g_free(p);
  return s;
}

void caller_start(struct event_base *base, mp_Addr to, const MixClass *c,
                  unsigned class_index, uint64_t seed, const char *key,
                  int hangs_up, CallerDone done, void *ud) {
  static const HttpHooks hooks = {on_head, on_data, on_end};
  Caller *o = g_new0(Caller, 1);
  char auth[128];
  HttpHeader h[] = {{"Authorization", auth},
                    {"X-Request-Class", c->class_name},
                    {"Content-Type", "application/json"},
                    {"Idempotency-Key", key},
                    {NULL, NULL}};
  struct timeval t = {CALL_TIMEOUT_S, 0};
  char *s = c->model != NULL ? make_body(c, seed, o) : strdup("{\"card\": 1}");
  g_snprintf(auth, sizeof auth, "Bearer %s", c->bearer_key);
  if (key == NULL)
    h[3].name = NULL;
  o->base = base;
  o->mix_class = c;
  o->result.class_index = class_index;
  o->hangs_up = hangs_up;
  o->body = g_string_new(NULL);
  o->done = done;
  o->ud = ud;
  o->sent_us = now_us();
  if (key != NULL)
    g_strlcpy(o->result.idempotency_key, key,
              sizeof o->result.idempotency_key);
  o->timer = evtimer_new(base, on_timer, o);
  event_add(o->timer, &t);
  o->call = http_call(base, to, EVHTTP_REQ_POST,
                      c->model != NULL ? "/v1/completions" : c->path, h, s,
                      strlen(s), &hooks, o);
  free(s);
  if (o->call == NULL) {
    o->result.is_silent = 1;
    report_and_free(o);
  }
}

/* }================================================================== */
