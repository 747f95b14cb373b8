/*
** stage_plan.h
** Computes how many engines of a service should change their stage
**
** An engine is in one of two stages: it either prefills (reads prompts) or
** decodes (generates tokens). The plan aims at filling both stages at the same
** load, so that neither is idle while requests wait for the other. It uses the
** measured work that one full decode engine causes at the prefill engines;
** therefore the split that it aims at depends only on the mix of prompts and
** answers and not on the amount of traffic. The amount decides whether engines
** change at all: the result is 0 unless the memory in use, the prompts that
** queue and 'waiting' show that one stage is short of engines.
**
** stages.c calls this with the averaged use of a service. The function has no
** state and does not fail.
*/

#ifndef ROUTER_STAGE_PLAN_H
#define ROUTER_STAGE_PLAN_H

#include <glib.h>

/* How the engines of one service are used. */
typedef struct StageUse {
  guint prefill;       /* engines that prefill, or will after a change that is
                       ** under way */
  guint decode;        /* likewise engines that decode */
  guint zones;         /* data centres that have engines of the service */
  double prefill_busy; /* engines that are reading a prompt; stages.c gives the
                       ** slowly falling peak of the average */
  double prompts;      /* prompts at the prefill engines, queued ones too;
                       ** averaged */
  double decode_used;  /* memory of the runs, in units of the memory of one
                       ** engine; averaged */
  gboolean waiting;    /* requests, of this or another service, wait for room
                       ** at a decode engine */
} StageUse;

/* Returns how many engines should change their stage: a positive number from
** prefill to decode, a negative one from decode to prefill, 0 if no change is
** worth it. */
int stage_plan(const StageUse *use);

#endif
