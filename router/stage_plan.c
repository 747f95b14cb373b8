/*
** stage_plan.c
** Computes how many engines of a service should change their stage
*/

#include <math.h>

#include "router/stage_plan.h"

/* A decode engine counts as full when runs use this share of its memory. */
#define DECODE_FULL_SHARE 0.75
/* Prefill engines kept beyond the load, as a multiple of its square root: a
** small group needs relatively more spare engines so that prompts do not
** queue. 0.5, because over 18 days of six deployments the mean worth of a
** day in the fleetbench benchmark was 0.014 higher with it than with 0.1. */
#define PREFILL_SPARE 0.5
/* Decode engines are short only if more than this share of their memory is in
** use, or requests wait: below it more of them gain nothing. */
#define DECODE_SHORT_SHARE 0.35
/* Decode engines may be taken away while less than this share of their memory
** is in use. */
#define DECODE_SPARE_SHARE 0.7
/* The measured mix means nothing while the runs use less memory than this, in
** units of one engine's. */
#define USED_ENGINES_MIN 0.5
/* Prefill engines are short when there are more prompts than this for each. */
#define PROMPTS_PER_ENGINE_MAX 2.0
/* Engines change from prefill to decode only if at least one in each full
** group of this many has to, and at least one in all; from decode to prefill
** only if at least CHANGE_BACK_MIN have to. */
#define ENGINES_PER_CHANGE 30
#define CHANGE_BACK_MIN 2

/* Returns the smallest number of prefill engines, of 'all' engines, that keeps
** pace with the remaining engines as full decode engines. It is at least one
** for each data centre; beyond that it leaves at least one decode engine. */
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
