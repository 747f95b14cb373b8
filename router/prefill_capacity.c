/*
** prefill_capacity.c
** Decides whether a prefill engine can take another prompt now
*/

#include "mpconf.h"

#include "router/prefill_capacity.h"

/* A prompt should be read within this share of the objective after it was
** sent. The rest is left for the wait in the router, which is at most 0.55 of
** the objective (admission.c). With an objective of 0.8 s, prompts of 3,200
** tokens and 33.3 tokens per ms this allows four prompts at an engine. */
#define READ_SHARE 0.5
/* While the retry budget is used up, prompts are sent only to engines of which
** at most 1/CERTAIN_SLOTS of the slots are taken: the others may fill up
** before their load is known here. */
#define CERTAIN_SLOTS 2
/* The most prompts that are counted at one engine: more places than this for
** each engine are no shortage, and the count stays cheap. */
#define COUNT_MAX 4

const PrefillLimit prefill_limit_idle = {0, FALSE};

guint64 prefill_capacity_ahead_max(guint64 prompt, double pace,
                                   gint64 objective) {
  double tokens = READ_SHARE * (double)objective / MP_MS * pace;
  return tokens > (double)prompt ? (guint64)(tokens - (double)prompt) : 0;
}

gboolean prefill_capacity_allows(const PrefillLoad *load,
                                 const PrefillLimit *limit) {
  if (load->open == 0 && load->tokens == 0)
    return TRUE;
  if (load->tokens > limit->tokens_ahead_max)
    return FALSE;
  if (load->slots == 0)
    return limit->may_be_rejected;
  if (load->open >= load->slots)
    return FALSE;
  return limit->may_be_rejected ||
         CERTAIN_SLOTS * (guint64)load->open <= load->slots;
}

guint prefill_capacity_count(const PrefillLoad *load,
                             const PrefillLimit *limit, guint64 prompt) {
  PrefillLoad next = *load;
  guint count = 0;
  while (count < COUNT_MAX && prefill_capacity_allows(&next, limit)) {
    count++;
    next.open++;
    next.tokens += prompt;
  }
  return count;
}
