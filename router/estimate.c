/*
** estimate.c
** Estimates the memory that a run will take at an engine, from the earlier
** prompts and streams of its service
*/

#include "router/state.h"

/* Memory is planned for the output so far and this share of the mean output
** more. */
#define GROWTH_SHARE 0.3
/* Until a stream of the service has ended, its mean output is taken for this
** share of the most that the request may generate. */
#define FIRST_OUTPUT_SHARE 0.4
/* weight of the newest output in the moving mean */
#define OUTPUT_STEP 0.05
/* weight of the newest prompt in the moving mean */
#define PROMPT_STEP 0.1

guint64 estimate_memory(Router *router, const Request *request) {
  const ServiceState *state =
      router_service_state(router, request->service->name);
  double mean = state->mean_output;
  double output;
  if (mean <= 0)
    mean = FIRST_OUTPUT_SHARE * request->output_tokens;
  output = request->tokens_made + GROWTH_SHARE * mean;
  return request->prompt_tokens +
         (guint64)MIN(output, (double)request->output_tokens);
}

double estimate_mean_memory(Router *router, const Service *service) {
  const ServiceState *state = router_service_state(router, service->name);
  return state->mean_prompt + state->mean_output / 2;
}

void estimate_observe_output(Router *router, const Request *request) {
  ServiceState *state = router_service_state(router, request->service->name);
  if (request->tokens_made == 0)
    return;
  if (state->mean_output <= 0)
    state->mean_output = FIRST_OUTPUT_SHARE * request->output_tokens;
  state->mean_output +=
      OUTPUT_STEP * (request->tokens_made - state->mean_output);
}

void estimate_observe_prompt(Router *router, const Request *request) {
  ServiceState *state = router_service_state(router, request->service->name);
  if (state->mean_prompt <= 0)
    state->mean_prompt = request->prompt_tokens;
  state->mean_prompt +=
      PROMPT_STEP * (request->prompt_tokens - state->mean_prompt);
}
