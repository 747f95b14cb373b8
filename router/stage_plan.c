/*
** stage_plan.c
** How many engines of a service should read prompts, how many decode
*/

#include <math.h>

#include "router/stage_plan.h"

/* prefill engines are busy this share of the time when decode is full:
** more, and prompts queue past the objective */
#define PREFILL_SHARE 1.2
/* below this use of the decode engines nobody gains by more of them */
#define DECODE_PRESSURE 0.35
/* engines' worth of use before the measured mix means anything */
#define LEAST_USE 0.5
/* prefill is short when each of its engines has so many prompts */
#define PREFILL_PRESSURE 2.0
/* a change must be worth one engine of so many, and one back this many */
#define LEAST_SHARE 30
#define LEAST_BACK 2

/* prefill engines of 'all' that keep pace with the rest as decode engines */
static double balanced_prefill(const StageUse *use, double all) {
  double asked = use->prefill_busy / use->decode_full;
  return all * asked / (PREFILL_SHARE + asked);
}

static gboolean decode_is_short(const StageUse *use) {
  return use->waiting ||
         use->decode_full > DECODE_PRESSURE * (double)use->decode;
}

static gboolean prefill_is_short(const StageUse *use) {
  return use->prompts > PREFILL_PRESSURE * (double)use->prefill;
}

int stage_plan(const StageUse *use) {
  guint all = use->prefill + use->decode;
  guint least = MAX(use->zones, 1);
  int wanted;
  int surplus;
  if (use->prefill == 0 || use->decode == 0 || use->decode_full < LEAST_USE ||
      use->prefill_busy <= 0)
    return 0;
  wanted = (int)ceil(balanced_prefill(use, all));
  wanted = CLAMP(wanted, (int)least, (int)all - 1);
  surplus = (int)use->prefill - wanted;
  if (surplus >= (int)MAX(all / LEAST_SHARE, 1) && !prefill_is_short(use) &&
      decode_is_short(use))
    return surplus;
  if (surplus <= -LEAST_BACK && prefill_is_short(use))
    return surplus;
  return 0;
}
