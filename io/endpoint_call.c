/*
** endpoint_call.c
** One dispatch that was sent to an endpoint
*/

#include <string.h>

#include "io/clock.h"
#include "io/endpoint_call.h"

EndpointCall *endpoint_call_new(const Dispatch *dispatch) {
  EndpointCall *call = g_new0(EndpointCall, 1);
  call->dispatch = dispatch->number;
  call->request = dispatch->request;
  call->kind = dispatch->kind;
  call->life = dispatch->life;
  if (dispatch->deadline_ms > 0)
    call->deadline_at = clock_now() + dispatch->deadline_ms * MP_MS;
  call->may_stream = dispatch->stream;
  call->body = g_byte_array_new();
  event_splitter_init(&call->events);
  return call;
}

gboolean endpoint_call_is_late(const EndpointCall *call, gint64 now) {
  return call->deadline_at != 0 && now >= call->deadline_at;
}

void endpoint_call_free(EndpointCall *call) {
  if (call == NULL)
    return;
  g_free(call->request_id);
  if (call->message != NULL)
    evbuffer_free(call->message);
  http_head_free(call->head);
  event_splitter_clear(&call->events);
  g_byte_array_free(call->body, TRUE);
  g_free(call);
}

/* Returns TRUE if the response names another request than that of the call. */
static gboolean names_other_request(const EndpointCall *call) {
  const char *named = call->head_info.request_id;
  return named != NULL && call->request_id != NULL &&
         strcmp(named, call->request_id) != 0;
}

void endpoint_call_set_head(EndpointCall *call, const Dialect *dialect,
                            HttpHead *head) {
  const EndpointHead *info = &call->head_info;
  http_head_free(call->head);
  call->head = head;
  dialect->read_endpoint(head, &call->head_info);
  call->is_foreign = names_other_request(call);
  call->is_stream = !call->is_foreign && call->may_stream &&
                    info->is_event_stream && info->is_signed &&
                    head->status == 200 &&
                    http_head_get(head, "Content-Encoding") == NULL;
}

static void release_body(const void *bytes, size_t size, void *body) {
  (void)bytes;
  (void)size;
  g_byte_array_unref(body);
}

/* Adds a body without copying its bytes. */
static void add_body(struct evbuffer *message, GByteArray *body) {
  if (body->len > 0)
    evbuffer_add_reference(message, body->data, body->len, release_body,
                           g_byte_array_ref(body));
}

struct evbuffer *endpoint_call_message(const Dialect *dialect,
                                       const Dispatch *dispatch,
                                       const HttpHead *caller,
                                       GByteArray *body) {
  struct evbuffer *message = evbuffer_new();
  char *own = NULL;
  HttpHead *head = dialect->write_dispatch(dispatch, caller, &own);
  GString *text = g_string_new(NULL);
  if (own != NULL)
    http_head_add_number(head, "Content-Length", (gint64)strlen(own));
  else if (body != NULL &&
           (body->len > 0 || g_ascii_strcasecmp(head->method, "GET") != 0))
    http_head_add_number(head, "Content-Length", body->len);
  http_head_write(head, text);
  if (own != NULL)
    g_string_append(text, own);
  evbuffer_add(message, text->str, text->len);
  if (own == NULL && body != NULL)
    add_body(message, body);
  g_string_free(text, TRUE);
  http_head_free(head);
  g_free(own);
  return message;
}

gboolean endpoint_call_is_control(const EndpointCall *call) {
  return call->kind == DISPATCH_RELEASE || call->kind == DISPATCH_REPORT ||
         call->kind == DISPATCH_ORDER;
}

/*
** Does the status say that the request was not run? It is believed only with
** the endpoint's explicit promise (EndpointHead.not_run), which the caller of
** this function has to check first.
*/
static gboolean is_refusal_status(const EndpointCall *call) {
  int status = call->head->status;
  return status == 408 || status == 429 || status == 503;
}

OutcomeKind endpoint_call_classify(const EndpointCall *call) {
  const HttpHead *head = call->head;
  gboolean success = head->status >= 200 && head->status < 300;
  if (call->head_info.not_run)
    return OUTCOME_NOT_RUN;
  if (is_refusal_status(call) ||
      http_head_get(head, "Content-Encoding") != NULL)
    return OUTCOME_BROKEN;
  if (call->kind == DISPATCH_PREFILL)
    return head->status == 200 ? OUTCOME_ANSWER : OUTCOME_BROKEN;
  if (success && !call->head_info.is_signed && !endpoint_call_is_control(call))
    return OUTCOME_BROKEN;
  return OUTCOME_ANSWER;
}

/* Reads the answer to a prefill or to the question for a report. Returns FALSE
** if it cannot be read. */
static gboolean read_answer(const EndpointCall *call, const Dialect *dialect,
                            EndpointResult *out) {
  const char *bytes = out->answer.bytes;
  gsize size = out->answer.size;
  if (call->kind == DISPATCH_PREFILL) {
    gboolean is_read = dialect->read_prefill(bytes, size, &out->prefill, NULL);
    out->outcome.handle = out->prefill.handle;
    return is_read;
  }
  if (call->kind == DISPATCH_REPORT) {
    out->outcome.report = &out->report;
    return dialect->read_report(bytes, size, &out->report, NULL);
  }
  return TRUE;
}

/* Returns TRUE if the response has neither a length nor chunks. */
static gboolean ends_with_close(const EndpointCall *call) {
  return http_head_get(call->head, "Content-Length") == NULL &&
         http_head_get(call->head, "Transfer-Encoding") == NULL;
}

const char *endpoint_call_framing(const EndpointCall *call) {
  if (call->head == NULL || call->head->status < 200 || call->is_foreign)
    return "none";
  if (ends_with_close(call))
    return "close";
  return http_head_get(call->head, "Content-Length") != NULL ? "length"
                                                             : "chunked";
}

/* Returns TRUE if the stream ended where it cannot have been complete: within
** an event, or by the end of its connection before any event. */
static gboolean is_broken_stream(const EndpointCall *call) {
  return event_splitter_pending_size(&call->events) > 0 ||
         (ends_with_close(call) && !call->has_event);
}

void endpoint_call_result(EndpointCall *call, const Dialect *dialect,
                          EndpointResult *out) {
  Outcome *outcome = &out->outcome;
  memset(out, 0, sizeof *out);
  out->answer.head = call->head;
  out->answer.bytes = (const char *)call->body->data;
  out->answer.size = call->body->len;
  outcome->payload = &out->answer;
  outcome->status = call->head->status;
  outcome->misdirected = call->head_info.misdirected;
  outcome->kind =
      call->is_stream ? OUTCOME_STREAM_END : endpoint_call_classify(call);
  outcome->ends_with_close = ends_with_close(call);
  outcome->framing = endpoint_call_framing(call);
  if (call->is_stream && is_broken_stream(call))
    outcome->kind = OUTCOME_BROKEN;
  if (outcome->kind == OUTCOME_ANSWER && !read_answer(call, dialect, out))
    outcome->kind = OUTCOME_BROKEN;
}

void endpoint_result_clear(EndpointResult *result) {
  g_free(result->prefill.handle);
}

gboolean endpoint_call_has_served(const EndpointCall *call) {
  int status = call->head->status;
  return status >= 200 && status < 300 && !call->head_info.not_run &&
         (call->kind == DISPATCH_RUN || call->kind == DISPATCH_PREFILL);
}
