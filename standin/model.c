/*
** model.c
** What the stand-in engines compute, and how fast
*/

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include "standin/model.h"

/*
** Returns a rate that the environment sets, as in MP_STANDIN_SLOTS=32; the
** default when it is missing, 0 or no 32-bit number.
*/
static uint32_t rate_from_environment(const char *name,
                                      uint32_t default_rate) {
  const char *s = getenv(name);
  uint64_t v = s != NULL ? g_ascii_strtoull(s, NULL, 10) : 0;
  return v > 0 && v <= UINT32_MAX ? (uint32_t)v : default_rate;
}

ModelRates model_rates(void) {
  ModelRates r;
  r.prefill_tokens_per_s =
      rate_from_environment("MP_STANDIN_PREFILL_RATE", 20000);
  r.token_us = rate_from_environment("MP_STANDIN_TOKEN_US", 18000);
  r.slots = rate_from_environment("MP_STANDIN_SLOTS", 16);
  r.kv_lifetime_ms = rate_from_environment("MP_STANDIN_KV_LIFE_MS", 4000);
  r.kv_bytes_per_token = rate_from_environment("MP_STANDIN_KV_BYTES", 131072);
  r.link_mbytes_per_s = rate_from_environment("MP_STANDIN_LINK_MBYTES", 2000);
  r.local_mbytes_per_s =
      rate_from_environment("MP_STANDIN_LOCAL_MBYTES", 10000);
  r.plain_ms = rate_from_environment("MP_STANDIN_PLAIN_MS", 5);
  r.checks_fence = rate_from_environment("MP_STANDIN_NO_FENCE", 0) == 0;
  return r;
}

GString *model_prompt(const json_t *request) {
  const json_t *m = json_object_get(request, "messages");
  const char *p = json_string_value(json_object_get(request, "prompt"));
  GString *g = g_string_new(p != NULL ? p : "");
  size_t i;
  for (i = 0; i < json_array_size(m); i++) {
    const json_t *row = json_array_get(m, i);
    const char *s = json_string_value(json_object_get(row, "content"));
    g_string_append(g, s != NULL ? s : "");
  }
  return g;
}

uint64_t model_hash(const GString *prompt) {
  return XXH3_64bits(prompt->str, prompt->len);
}

uint32_t model_tokens(const GString *prompt) {
  return (uint32_t)(prompt->len / MODEL_BYTES_PER_TOKEN + 1);
}

void model_text(uint64_t hash, uint32_t i, char out[32]) {
  uint64_t h = XXH3_64bits_withSeed(&hash, sizeof hash, i);
  snprintf(out, 32, "%04x ", (unsigned)(h & 0xffff));
}

uint32_t model_length(uint64_t hash, uint32_t max) {
  uint32_t least = max / 2 + 1;
  return least + (uint32_t)(hash % (max - least + 1));
}

int model_partial(uint64_t hash, uint32_t n, const char *text) {
  char one[32];
  uint32_t i;
  if (n == 0)
    return 1;
  if (text == NULL)
    return 0;
  for (i = 0; i < n; i++) {
    size_t len;
    model_text(hash, i, one);
    len = strlen(one);
    if (strncmp(text, one, len) != 0)
      return 0;
    text += len;
  }
  return *text == '\0';
}
