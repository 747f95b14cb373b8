/*
** engine_prefill.c
** Stand-in engines: prefills, and the transfer of their KV caches
*/

#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "standin/engine_work.h"

/* Prompt tokens computed before the next prefill is chosen, by priority. */
#define CHUNK_TOKENS 512
/* Bytes of the prompt in one block of the prefix cache. */
#define BLOCK_BYTES 256
/* Blocks that the prefix cache of one engine keeps. */
#define CACHE_BLOCKS_MAX 4096

/* When the link from one data centre to another becomes free, by index. */
static mp_Time link_free_at[MP_DCS_MAX][MP_DCS_MAX];
static GPtrArray *data_centre_names; /* char *; the position is the index */

/*
** {==================================================================
** Prefill
** ===================================================================
*/

/*
** Returns how many tokens at the beginning of the prompt are in the cache, and
** adds all of its blocks to the cache.
*/
static uint32_t look_up_prefix(Engine *e, const char *s, size_t n) {
  uint64_t chain = 0;
  size_t hit = 0;
  int still = 1;
  size_t i;
  mp_Time t = engine_now();
  for (i = 0; i + BLOCK_BYTES <= n; i += BLOCK_BYTES) {
    chain = XXH3_64bits_withSeed(s + i, BLOCK_BYTES, chain);
    if (still && g_hash_table_contains(e->cache, &chain))
      hit += BLOCK_BYTES;
    else
      still = 0;
    g_hash_table_replace(e->cache, g_memdup2(&chain, sizeof chain),
                         g_memdup2(&t, sizeof t));
  }
  if (g_hash_table_size(e->cache) > CACHE_BLOCKS_MAX)
    g_hash_table_remove_all(e->cache); /* evicted all at once */
  return (uint32_t)(hit / MODEL_BYTES_PER_TOKEN);
}

static void on_kv_expired(evutil_socket_t fd, short what, void *arg) {
  Work *w = arg;
  (void)fd;
  (void)what;
  engine_add_to_ledger(w->engine, w->id, "kv", "expired", w->tokens, 0);
  engine_free_work(w);
}

/* Leaves a KV cache in place of the prefill and replies to its reader. */
static void finish_prefill(Work *w) {
  Engine *e = w->engine;
  Work *kv;
  engine_add_to_ledger(e, w->id, "prefill", "done", w->tokens, w->cached);
  kv = engine_add_work(e, WORK_KV, w->id, NULL);
  kv->tokens = w->tokens;
  kv->prompt_hash = w->prompt_hash;
  engine_set_timer(kv, on_kv_expired,
                   engine_site.rates.kv_lifetime_ms * MP_MS);
  engine_reply(w, json_pack("{s:s, s:{s:s, s:i}, s:{s:i, s:i}}", "id", w->id,
                            "kv_transfer_params", "kv_id", w->id, "expires_ms",
                            (int)engine_site.rates.kv_lifetime_ms, "usage",
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
    w->tokens_left -= MIN(w->tokens_left, CHUNK_TOKENS);
    if (w->tokens_left == 0)
      finish_prefill(w);
  }
  engine_start_next_chunk(e);
}

void engine_start_next_chunk(Engine *e) {
  Work *next = NULL;
  struct timeval t;
  mp_Time us;
  guint i;
  if (e->running != NULL || e->is_frozen ||
      event_pending(e->chunk_timer, EV_TIMEOUT, NULL))
    return;
  for (i = 0; i < e->work->len; i++) {
    Work *w = e->work->pdata[i];
    if (w->kind == WORK_PREFILL &&
        (next == NULL || w->priority < next->priority))
      next = w;
  }
  if (next == NULL)
    return;
  e->running = next;
  us = (mp_Time)MIN(next->tokens_left, CHUNK_TOKENS) * MP_SEC /
       engine_site.rates.prefill_tokens_per_s;
  if (e->slow_percent > 0)
    us = us * e->slow_percent / 100;
  t.tv_sec = us / MP_SEC;
  t.tv_usec = us % MP_SEC;
  event_add(e->chunk_timer, &t);
}

void engine_prefill(Engine *e, struct evhttp_request *r, json_t *j,
                    const char *id) {
  GString *p;
  Work *w;
  if (!engine_admit(e, r, id, MP_ROLE_PREFILL))
    return;
  p = model_prompt(j);
  w = engine_add_work(e, WORK_PREFILL, id, r);
  w->prompt_hash = model_hash(p);
  w->tokens = model_tokens(p);
  w->cached = look_up_prefix(e, p->str, p->len);
  w->cached = MIN(w->cached, w->tokens - 1);
  w->tokens_left = w->tokens - w->cached;
  w->priority = (int)json_integer_value(json_object_get(j, "priority"));
  g_string_free(p, TRUE);
  engine_start_next_chunk(e);
}

/* }================================================================== */

/*
** {==================================================================
** Transfer of a KV cache
** ===================================================================
*/

/* Returns the index of a data centre, which is added when it is new. */
static unsigned data_centre_index(const char *dc) {
  guint i;
  if (data_centre_names == NULL)
    data_centre_names = g_ptr_array_new_with_free_func(g_free);
  for (i = 0; i < data_centre_names->len; i++) {
    if (strcmp(data_centre_names->pdata[i], dc) == 0)
      return i;
  }
  g_ptr_array_add(data_centre_names, g_strdup(dc));
  return data_centre_names->len - 1;
}

/* Replies at the end of a transfer; the work then holds the KV cache. */
static void on_transfer_done(evutil_socket_t fd, short what, void *arg) {
  Work *w = arg;
  const Engine *src = g_hash_table_lookup(engine_site.engines, &w->kv_source);
  const Work *kv;
  (void)fd;
  (void)what;
  kv = src != NULL ? engine_find_work((Engine *)src, w->kv_id, WORK_KV) : NULL;
  if (kv == NULL) { /* it expired during the transfer */
    struct evhttp_request *r = engine_detach_reader(w);
    if (r != NULL)
      engine_refuse(r, 404, "unknown KV");
    engine_free_work(w);
    return;
  }
  engine_add_to_ledger(w->engine, w->id, "import", "done", w->tokens, 0);
  engine_reply(w, json_pack("{s:s}", "id", w->id));
}

void engine_import(Engine *e, struct evhttp_request *r, json_t *j,
                   const char *id) {
  const char *kv = json_string_value(json_object_get(j, "kv_id"));
  mp_Addr from = mp_addr_parse(json_string_value(json_object_get(j, "from")));
  Engine *src = g_hash_table_lookup(engine_site.engines, &from);
  const Work *k;
  Work *w;
  mp_Time *free_at;
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
    engine_refuse(r, 429, "no free decode slot");
    return;
  }
  w = engine_add_work(e, WORK_IMPORT, id, r);
  w->kv_id = g_strdup(kv);
  w->kv_source = from;
  w->tokens = k->tokens;
  w->prompt_hash = k->prompt_hash;
  free_at = &link_free_at[data_centre_index(src->instance.dc)]
                         [data_centre_index(e->instance.dc)];
  /* Transfers over a link follow each other. Bytes divided by MB/s are us. */
  start = MAX(engine_now(), *free_at);
  *free_at = start + (mp_Time)k->tokens *
                         engine_site.rates.kv_bytes_per_token /
                         (strcmp(src->instance.dc, e->instance.dc) == 0
                              ? engine_site.rates.local_mbytes_per_s
                              : engine_site.rates.link_mbytes_per_s);
  engine_set_timer(w, on_transfer_done, *free_at - engine_now());
}

/* }================================================================== */
