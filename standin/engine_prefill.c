/*
** engine_prefill.c
** Stand-in engines: prompts, and the transfer of what was read
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "standin/engine_work.h"

#define CHUNK 512         /* prompt tokens computed between two looks */
#define BLOCK 256         /* bytes of prompt in one cached block */
#define CACHE_BLOCKS 4096 /* blocks one engine's prefix cache keeps */

static mp_Time linkfree[MP_DCS_MAX][MP_DCS_MAX]; /* link busy until */
static GPtrArray *dcnames;                       /* places in that table */

/*
** {==================================================================
** Prefill
** ===================================================================
*/

/* tokens of the prompt's beginning that the cache has; and remember all */
static uint32_t usecache(Engine *e, const char *s, size_t n) {
  uint64_t chain = 0;
  size_t hit = 0;
  int still = 1;
  size_t i;
  mp_Time t = engine_now();
  for (i = 0; i + BLOCK <= n; i += BLOCK) {
    chain = XXH3_64bits_withSeed(s + i, BLOCK, chain);
    if (still && g_hash_table_contains(e->cache, &chain))
      hit += BLOCK;
    else
      still = 0;
    g_hash_table_replace(e->cache, g_memdup2(&chain, sizeof chain),
                         g_memdup2(&t, sizeof t));
  }
  if (g_hash_table_size(e->cache) > CACHE_BLOCKS)
    g_hash_table_remove_all(e->cache); /* evicted as a whole */
  return (uint32_t)(hit / MODEL_BYTES_PER_TOKEN);
}

static void kvexpired(evutil_socket_t fd, short what, void *arg) {
  Work *w = arg;
  (void)fd;
  (void)what;
  engine_add_to_ledger(w->e, w->id, "kv", "expired", w->tokens, 0);
  engine_free_work(w);
}

static void prefilldone(Work *w) {
  Engine *e = w->e;
  Work *kv;
  engine_add_to_ledger(e, w->id, "prefill", "done", w->tokens, w->cached);
  kv = engine_add_work(e, WORK_KV, w->id, NULL);
  kv->tokens = w->tokens;
  kv->hash = w->hash;
  engine_set_timer(kv, kvexpired, engine_site.rates.kv_life_ms * MP_MS);
  engine_reply(w, json_pack("{s:s, s:{s:s, s:i}, s:{s:i, s:i}}", "id", w->id,
                            "kv_transfer_params", "kv_id", w->id, "expires_ms",
                            (int)engine_site.rates.kv_life_ms, "usage",
                            "prompt_tokens", (int)w->tokens, "cached_tokens",
                            (int)w->cached));
  engine_free_work(w);
}

void engine_on_chunk_done(evutil_socket_t fd, short what, void *arg) {
  Engine *e = arg;
  Work *w = e->running;
  (void)fd;
  (void)what;
  e->running = NULL;
  if (w != NULL) {
    w->left -= MIN(w->left, CHUNK);
    if (w->left == 0)
      prefilldone(w);
  }
  engine_start_next_chunk(e);
}

void engine_start_next_chunk(Engine *e) {
  Work *win = NULL;
  struct timeval t;
  mp_Time us;
  guint i;
  if (e->running != NULL || e->frozen ||
      event_pending(e->chunk, EV_TIMEOUT, NULL))
    return;
  for (i = 0; i < e->work->len; i++) {
    Work *w = e->work->pdata[i];
    if (w->kind == WORK_PREFILL &&
        (win == NULL || w->priority < win->priority))
      win = w;
  }
  if (win == NULL)
    return;
  e->running = win;
  us =
      (mp_Time)MIN(win->left, CHUNK) * MP_SEC / engine_site.rates.prefill_rate;
  if (e->slow > 0)
    us = us * e->slow / 100;
  t.tv_sec = us / MP_SEC;
  t.tv_usec = us % MP_SEC;
  event_add(e->chunk, &t);
}

void engine_prefill(Engine *e, struct evhttp_request *r, json_t *j,
                    const char *id) {
  GString *p;
  Work *w;
  if (!engine_admit(e, r, id, MP_ROLE_PREFILL))
    return;
  p = model_prompt(j);
  w = engine_add_work(e, WORK_PREFILL, id, r);
  w->hash = model_hash(p);
  w->tokens = model_tokens(p);
  w->cached = usecache(e, p->str, p->len);
  w->cached = MIN(w->cached, w->tokens - 1);
  w->left = w->tokens - w->cached;
  w->priority = (int)json_integer_value(json_object_get(j, "priority"));
  g_string_free(p, TRUE);
  engine_start_next_chunk(e);
}

/* }================================================================== */

/*
** {==================================================================
** Transfer
** ===================================================================
*/

static unsigned dcno(const char *dc) {
  guint i;
  if (dcnames == NULL)
    dcnames = g_ptr_array_new_with_free_func(g_free);
  for (i = 0; i < dcnames->len; i++) {
    if (strcmp(dcnames->pdata[i], dc) == 0)
      return i;
  }
  g_ptr_array_add(dcnames, g_strdup(dc));
  return dcnames->len - 1;
}

static void imported(evutil_socket_t fd, short what, void *arg) {
  Work *w = arg;
  const Engine *src = g_hash_table_lookup(engine_site.engines, &w->from);
  const Work *kv;
  (void)fd;
  (void)what;
  kv = src != NULL ? engine_find_work((Engine *)src, w->kv, WORK_KV) : NULL;
  if (kv == NULL) { /* it expired on the way */
    struct evhttp_request *r = engine_detach_reader(w);
    if (r != NULL)
      engine_refuse(r, 404, "unknown KV");
    engine_free_work(w);
    return;
  }
  engine_add_to_ledger(w->e, w->id, "import", "done", w->tokens, 0);
  engine_reply(w, json_pack("{s:s}", "id", w->id));
}

void engine_import(Engine *e, struct evhttp_request *r, json_t *j,
                   const char *id) {
  const char *kv = json_string_value(json_object_get(j, "kv_id"));
  mp_Addr from = mp_addr_parse(json_string_value(json_object_get(j, "from")));
  Engine *src = g_hash_table_lookup(engine_site.engines, &from);
  const Work *k;
  Work *w;
  mp_Time *free_;
  mp_Time start;
  if (!engine_admit(e, r, id, MP_ROLE_DECODE))
    return;
  k = src != NULL && kv != NULL ? engine_find_work(src, kv, WORK_KV) : NULL;
  if (k == NULL) {
    engine_refuse(r, 404, "unknown KV");
    return;
  }
  if (engine_count_work(e, WORK_IMPORT, WORK_DECODE) >=
      engine_site.rates.slots) {
    engine_refuse(r, 429, "no slot");
    return;
  }
  w = engine_add_work(e, WORK_IMPORT, id, r);
  w->kv = g_strdup(kv);
  w->from = from;
  w->tokens = k->tokens;
  w->hash = k->hash;
  free_ = &linkfree[dcno(src->in.dc)][dcno(e->in.dc)];
  start = MAX(engine_now(), *free_);
  *free_ = start + (mp_Time)k->tokens * engine_site.rates.kv_bytes /
                       (strcmp(src->in.dc, e->in.dc) == 0
                            ? engine_site.rates.local_mbytes
                            : engine_site.rates.link_mbytes);
  engine_set_timer(w, imported, *free_ - engine_now());
}

/* }================================================================== */
