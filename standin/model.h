/*
** model.h
** What the stand-in engines compute, and how fast
**
** The answer to a prompt is a pure function of the prompt's bytes. The load
** tool shares these functions with the engines and verifies every answer with
** them. Nothing here keeps state.
*/

#ifndef MODEL_H
#define MODEL_H

#include <jansson.h>

#include "madderpier.h"

/* A prompt's token is a run of so many bytes. */
#define MODEL_BYTES_PER_TOKEN 4

/* Speeds and sizes; the environment can set each of them, see model.c. */
typedef struct ModelRates {
  uint32_t prefill_tokens_per_s; /* of an engine */
  uint32_t token_us;           /* time of an output token at an idle engine */
  uint32_t slots;              /* decode slots of an engine */
  uint32_t kv_lifetime_ms;     /* of a KV cache, from the end of the prefill */
  uint32_t kv_bytes_per_token; /* of a KV cache */
  uint32_t link_mbytes_per_s;  /* between two data centres */
  uint32_t local_mbytes_per_s; /* within a data centre */
  uint32_t plain_ms;           /* time of a request at a plain service */
  int checks_fence;            /* engines refuse orders with a lower fence */
} ModelRates;

/* Returns the rates that the environment sets, or their defaults. */
ModelRates model_rates(void);

/*
** Returns the prompt of a completion, followed by the contents of the chat
** messages, as one text, which the caller frees. It is empty when there are
** neither.
*/
GString *model_prompt(const json_t *request);

/* Returns the hash that determines the answer to the prompt. */
uint64_t model_hash(const GString *prompt);
/* Returns how many tokens the prompt has; at least 1. */
uint32_t model_tokens(const GString *prompt);

/* Writes the text of token 'i' of the answer, counted from 0, into 'out'. */
void model_text(uint64_t hash, uint32_t i, char out[32]);

/*
** Returns how many tokens the answer has: more than half of 'max', which must
** not be 0, and at most 'max'.
*/
uint32_t model_length(uint64_t hash, uint32_t max);

/*
** Returns whether 'text' consists of the first 'n' tokens of the answer. With
** 'n' 0 every text does, also NULL.
*/
int model_partial(uint64_t hash, uint32_t n, const char *text);

#endif
