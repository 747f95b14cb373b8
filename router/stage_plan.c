/*
** stage_plan.c
** How many engines of a service should read prompts, how many decode
*/

#include <math.h>

#include "router/stage_plan.h"

/* runs fill no more than this share of the decode engines' memory */
#define DECODE_FILL 0.75
/* prefill engines beyond the load, times its square root: few engines need
** relatively more of them, so that prompts do not queue (0.1 and 0.5 on 18
** days of six deployments: mean worth 0.014 higher with 0.5) */
#define PREFILL_MARGIN 0.5
/* below this use of the decode engines nobody gains by more of them */
#define DECODE_PRESSURE 0.35
/* and below this one some of them may go */
#define DECODE_ROOM 0.7
/* engines' worth of use before the measured mix means anything */
#define LEAST_USE 0.5
/* prefill is short when each of its engines has so many prompts */
#define PREFILL_PRESSURE 2.0
/* a change must be worth one engine of so many, and one back this many */
#define LEAST_SHARE 30
#define LEAST_BACK 2

/* fewest prefill engines of 'all' that keep pace with the rest, full */
static guint balanced_prefill(const StageUse *use, guint all) {
  double asked = DECODE_FILL * use->prefill_busy / use->decode_used;
  guint prefill = MAX(use->zones, 1);
  while (prefill + 1 < all) {
    double load = asked * (all - prefill);
    if (prefill >= load + PREFILL_MARGIN * sqrt(load))
      break;
    prefill++;
  }
  return prefill;
}

static gboolean decode_is_short(const StageUse *use) {
  return use->waiting ||
         use->decode_used > DECODE_PRESSURE * (double)use->decode;
}

/* decode engines have room that the prompts that queue could use */
static gboolean decode_has_room(const StageUse *use) {
  return use->decode_used < DECODE_ROOM * (double)use->decode;
}

static gboolean prefill_is_short(const StageUse *use) {
  return use->prompts > PREFILL_PRESSURE * (double)use->prefill;
}

int stage_plan(const StageUse *use) {
  guint all = use->prefill + use->decode;
  int surplus;
  if (use->prefill == 0 || use->decode == 0 || use->decode_used < LEAST_USE)
    return 0;
  surplus = (int)use->prefill - (int)balanced_prefill(use, all);
  if (surplus >= (int)MAX(all / LEAST_SHARE, 1) && !prefill_is_short(use) &&
      decode_is_short(use))
    return surplus;
  if (surplus <= -LEAST_BACK && prefill_is_short(use) && decode_has_room(use))
    return surplus;
  return 0;
}
