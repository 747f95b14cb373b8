/*
** estimate.c
** Estimates the memory that a run will take at an engine, from the earlier
** prompts and streams of its service
*/

#include "router/state.h"

/* Memory is planned for the output so far and this share of the mean output
** more. */
#define GROWTH_SHARE 0.3
/* With overload control, memory is planned for this share of the mean output,
** which the runs of an engine have generated on average, and for what each of
** them generates until the next one ends. With GROWTH_SHARE, eight runs of
** deployment 1 (prompts of 3,200 tokens, outputs of 900) are planned where an
** engine's memory is used up when each has generated 0.44 of its output. */
#define RUNNING_SHARE 0.5
/* Until a stream of the service has ended, its mean output is taken for this
** share of the most that the request may generate. */
#define FIRST_OUTPUT_SHARE 0.4
/* weight of the newest output in the moving mean */
#define OUTPUT_STEP 0.05
/* weight of the newest prompt in the moving mean */
#define PROMPT_STEP 0.1

/* Returns the share of the mean output 'mean' for which memory is planned. */
static double growth_share(const Router *router, const Request *request,
                           double mean) {
  double runs;
  if (!router->overload_control)
    return GROWTH_SHARE;
  runs = request->service->kv_tokens /
         MAX(request->prompt_tokens + RUNNING_SHARE * mean, 1.0);
  return RUNNING_SHARE + MIN(1 / MAX(runs, 1.0), RUNNING_SHARE);
}

guint64 estimate_memory(Router *router, const Request *request) {
  const ServiceState *state =
      router_service_state(router, request->service->name);
  double mean = state->mean_output;
  double output;
  if (mean <= 0)
    mean = FIRST_OUTPUT_SHARE * request->output_tokens;
  output = request->tokens_made + growth_share(router, request, mean) * mean;
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
