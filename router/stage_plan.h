/*
** stage_plan.h
** How many engines of a service should read prompts, how many decode
**
** Both stages should run full at the same load: then none of them stands
** idle while requests wait for the other. What one decode engine, full,
** asks of the prefill engines is measured, so the plan does not depend on
** how much traffic there is, only on its mix of prompts and answers.
*/

#ifndef ROUTER_STAGE_PLAN_H
#define ROUTER_STAGE_PLAN_H

#include <glib.h>

/* how the engines of a service are used */
typedef struct StageUse {
  guint prefill;       /* engines that read prompts, or soon will */
  guint decode;        /* engines that decode, or soon will */
  guint zones;         /* data centres that have engines */
  double prefill_busy; /* engines reading a prompt, on average */
  double prompts;      /* at prefill engines, waiting ones too, on average */
  double decode_used;  /* memory of runs, in whole engines, on average */
  gboolean waiting;    /* requests wait for room */
} StageUse;

/*
** Engines that should change their stage: as many (positive) from prefill
** to decode, or (negative) from decode to prefill; 0 when a change would
** gain nothing.
*/
int stage_plan(const StageUse *use);

#endif
