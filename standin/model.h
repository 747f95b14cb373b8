/*
** model.h
** What the stand-in engine computes, and at which rates
** Shared with the load tool, which verifies every answer by it.
*/

#ifndef MODEL_H
#define MODEL_H

#include <jansson.h>

#include "madderpier.h"

#define MODEL_BYTES_PER_TOKEN 4

/* rates of the stand-in; each can be set by the environment, see model.c */
typedef struct ModelRates {
  uint32_t prefill_rate; /* prompt tokens a second */
  uint32_t token_us;     /* time of one output token at an empty engine */
  uint32_t slots;
  uint32_t kv_life_ms;
  uint32_t kv_bytes;     /* a token */
  uint32_t link_mbytes;  /* a second, between data centres */
  uint32_t local_mbytes; /* a second, within one */
  uint32_t plain_ms;
  int checks_fence;
} ModelRates;

ModelRates model_rates(void);

/* the prompt (or all chat messages) as one text; the caller frees it */
GString *model_prompt(const json_t *request);

uint64_t model_hash(const GString *prompt);
uint32_t model_tokens(const GString *prompt);

/* text of the i-th token of the answer */
void model_text(uint64_t hash, uint32_t i, char out[32]);

/* how many tokens the answer has */
uint32_t model_length(uint64_t hash, uint32_t max);

/* is 'text' what the first 'n' tokens make? */
int model_partial(uint64_t hash, uint32_t n, const char *text);

#endif
