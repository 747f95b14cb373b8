/*
** stage_plan.c
** Computes how many engines of a service should change their stage
*/

#include <math.h>

#include "router/stage_plan.h"

/* A decode engine counts as full when runs use this share of its memory. */
#define DECODE_FULL_SHARE 0.75
/* For a load that keeps n prefill engines busy, n + PREFILL_SPARE * sqrt(n)
** engines are planned. The spare ones keep prompts from queueing when several
** arrive at once; a small group needs more of them in proportion. A factor of
** 0.1 is too small for that. */
#define PREFILL_SPARE 0.5
/* Decode engines are short only if more than this share of their memory is in
** use, or requests wait: below it more of them gain nothing. */
#define DECODE_SHORT_SHARE 0.35
/* Decode engines may be taken away while less than this share of their memory
** is in use. */
#define DECODE_SPARE_SHARE 0.7
/* While the runs use less memory than this, in units of one engine's, there is
** too little traffic to measure the mix of prompts and answers. */
#define USED_ENGINES_MIN 0.5
/* Prefill engines are short when there are more prompts than this for each. */
#define PROMPTS_PER_ENGINE_MAX 2.0
/* Engines change from prefill to decode only if at least 1/ENGINES_PER_CHANGE
** of all engines should, rounded down, but at least one engine; and from
** decode to prefill only if at least CHANGE_BACK_MIN engines should. */
#define ENGINES_PER_CHANGE 30
#define CHANGE_BACK_MIN 2

/* Returns how many of 'all' engines should prefill: the smallest number that
** can read the prompts for the remaining engines if these are full decode
** engines. It is at least one for each data centre; beyond that it leaves at
** least one decode engine. */
static guint balanced_prefill(const StageUse *use, guint all) {
  double asked = DECODE_FULL_SHARE * use->prefill_busy / use->decode_used;
  guint prefill = MAX(use->zones, 1);
  while (prefill + 1 < all) {
    double load = asked * (all - prefill);
    if (prefill >= load + PREFILL_SPARE * sqrt(load))
      break;
    prefill++;
  }
  return prefill;
}

/* Returns TRUE if more decode engines would be used. */
static gboolean decode_is_short(const StageUse *use) {
  return use->waiting ||
         use->decode_used > DECODE_SHORT_SHARE * (double)use->decode;
}

/* Returns TRUE if decode engines have room for the prompts that queue. */
static gboolean decode_has_room(const StageUse *use) {
  return use->decode_used < DECODE_SPARE_SHARE * (double)use->decode;
}

/* Returns TRUE if prompts queue at the prefill engines. */
static gboolean prefill_is_short(const StageUse *use) {
  return use->prompts > PROMPTS_PER_ENGINE_MAX * (double)use->prefill;
}

int stage_plan(const StageUse *use) {
  guint all = use->prefill + use->decode;
  int surplus;
  if (use->prefill == 0 || use->decode == 0 ||
      use->decode_used < USED_ENGINES_MIN)
    return 0;
  surplus = (int)use->prefill - (int)balanced_prefill(use, all);
  if (surplus >= (int)MAX(all / ENGINES_PER_CHANGE, 1) &&
      !prefill_is_short(use) && decode_is_short(use))
    return surplus;
  if (surplus <= -CHANGE_BACK_MIN && prefill_is_short(use) &&
      decode_has_room(use))
    return surplus;
  return 0;
}
