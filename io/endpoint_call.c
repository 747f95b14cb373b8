/*
** endpoint_call.c
** One dispatch on its way to an endpoint
*/

#include "io/endpoint_call.h"

EndpointCall *endpoint_call_new(const Dispatch *dispatch) {
  EndpointCall *call = g_new0(EndpointCall, 1);
  call->dispatch = dispatch->number;
  call->kind = dispatch->kind;
  call->life = dispatch->life;
  call->stream = dispatch->stream;
  call->body = g_byte_array_new();
  event_splitter_init(&call->events);
  return call;
}

void endpoint_call_free(EndpointCall *call) {
  if (call == NULL)
    return;
  g_free(call->request_id);
  if (call->text != NULL)
    g_string_free(call->text, TRUE);
  http_head_free(call->head);
  event_splitter_clear(&call->events);
  g_byte_array_free(call->body, TRUE);
  g_free(call);
}

gboolean endpoint_call_is_control(const EndpointCall *call) {
  return call->kind == DISPATCH_RELEASE || call->kind == DISPATCH_REPORT ||
         call->kind == DISPATCH_ORDER;
}

/* statuses that promise "not run" are believed only with that promise */
static gboolean promises_falsely(const EndpointCall *call) {
  int status = call->head->status;
  return status == 408 || status == 429 || status == 503;
}

OutcomeKind endpoint_call_classify(const EndpointCall *call) {
  const HttpHead *head = call->head;
  gboolean success = head->status >= 200 && head->status < 300;
  if (call->facts.not_run)
    return OUTCOME_NOT_RUN;
  if (promises_falsely(call) ||
      http_head_get(head, "Content-Encoding") != NULL)
    return OUTCOME_BROKEN;
  if (call->kind == DISPATCH_PREFILL)
    return head->status == 200 ? OUTCOME_ANSWER : OUTCOME_BROKEN;
  if (success && !call->facts.is_signed && !endpoint_call_is_control(call))
    return OUTCOME_BROKEN;
  return OUTCOME_ANSWER;
}

gboolean endpoint_call_has_served(const EndpointCall *call) {
  int status = call->head->status;
  return status >= 200 && status < 300 && !call->facts.not_run &&
         (call->kind == DISPATCH_RUN || call->kind == DISPATCH_PREFILL);
}
