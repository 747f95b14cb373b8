/*
** endpoint_call.h
** One dispatch on its way to an endpoint, and what its answer amounts to
*/

#ifndef ENDPOINT_CALL_H
#define ENDPOINT_CALL_H

#include "dialect/dialect.h"
#include "http/events.h"

typedef struct EndpointCall {
  guint64 dispatch;
  DispatchKind kind;
  guint32 life;    /* of the endpoint: Dispatch.life */
  gboolean stream; /* the route's answers come as events */
  char *request_id;
  GString *text;  /* the request, until it is written */
  HttpHead *head; /* of the answer */
  EndpointHead facts;
  gboolean skip;      /* the answer that comes in is another request's */
  gboolean is_stream; /* it is passed on event by event */
  gboolean head_told;
  EventSplitter events;
  GByteArray *body;
} EndpointCall;

EndpointCall *endpoint_call_new(const Dispatch *dispatch);
/* NULL is allowed */
void endpoint_call_free(EndpointCall *call);

/* no caller asked for it */
gboolean endpoint_call_is_control(const EndpointCall *call);
/* the whole answer is there: how the dispatch ended */
OutcomeKind endpoint_call_classify(const EndpointCall *call);
/* the head is there: does the answer serve a caller's request? */
gboolean endpoint_call_has_served(const EndpointCall *call);

#endif
