/*
** estimate.c
** What a run will take of an engine, from the runs of its service so far
*/

#include "router/state.h"

/* a run is given room to grow by this share of the usual output */
#define GROWTH_SHARE 0.3
/* the usual output, while no stream has ended: share of the announced */
#define FIRST_OUTPUT_SHARE 0.4
/* weight of the newest output in the mean */
#define OUTPUT_STEP 0.05
/* weight of the newest prompt in the mean */
#define PROMPT_STEP 0.1

guint64 estimate_memory(Router *router, const Request *request) {
  const ServiceState *state =
      router_service_state(router, request->service->name);
  double usual = state->mean_output;
  double grown;
  if (usual <= 0)
    usual = FIRST_OUTPUT_SHARE * request->output_tokens;
  grown = request->made + GROWTH_SHARE * usual;
  return request->prompt_tokens +
         (guint64)MIN(grown, (double)request->output_tokens);
}

double estimate_mean_memory(Router *router, const Service *service) {
  const ServiceState *state = router_service_state(router, service->name);
  return state->mean_prompt + state->mean_output / 2;
}

/* learn how long the streams of a service are */
void estimate_observe_output(Router *router, const Request *request) {
  ServiceState *state = router_service_state(router, request->service->name);
  if (request->made == 0)
    return;
  if (state->mean_output <= 0)
    state->mean_output = FIRST_OUTPUT_SHARE * request->output_tokens;
  state->mean_output += OUTPUT_STEP * (request->made - state->mean_output);
}

void estimate_observe_prompt(Router *router, const Request *request) {
  ServiceState *state = router_service_state(router, request->service->name);
  if (state->mean_prompt <= 0)
    state->mean_prompt = request->prompt_tokens;
  state->mean_prompt +=
      PROMPT_STEP * (request->prompt_tokens - state->mean_prompt);
}
